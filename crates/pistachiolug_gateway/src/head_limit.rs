//! Connection that fails if a server sends too much before the head of its answer is whole.
//!
//! The HTTP library skips any number of interim answers (status 1xx) while it waits for the final one.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Number of bytes that may still arrive before the head is whole; `None` once it is. Clones share it.
#[derive(Debug, Clone)]
pub struct Allowance(Rc<Cell<Option<usize>>>);

impl Allowance {
    /// Allows this many bytes before the head is whole.
    pub fn new(bytes: usize) -> Self {
        Self(Rc::new(Cell::new(Some(bytes))))
    }

    /// Allows any number of bytes from now on, because the head has arrived.
    pub fn lift(&self) {
        self.0.set(None);
    }

    /// Takes bytes that have arrived.
    ///
    /// # Errors
    /// [`io::ErrorKind::InvalidData`] if they are more than allowed.
    fn take(&self, bytes: usize) -> io::Result<()> {
        let Some(left) = self.0.get() else {
            return Ok(());
        };
        let left = left.checked_sub(bytes).ok_or_else(|| {
            let reason = "too many bytes before the head of the answer was whole";
            io::Error::new(io::ErrorKind::InvalidData, reason)
        })?;
        self.0.set(Some(left));
        Ok(())
    }
}

/// Connection whose reads take from an allowance.
#[derive(Debug)]
pub struct Limited<S> {
    inner: S,
    allowance: Allowance,
}

impl<S> Limited<S> {
    /// Creates a connection with an allowance.
    pub fn new(inner: S, allowance: Allowance) -> Self {
        Self { inner, allowance }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Limited<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(context, buffer);
        if let Poll::Ready(Ok(())) = polled {
            return Poll::Ready(self.allowance.take(buffer.filled().len() - before));
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Limited<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
