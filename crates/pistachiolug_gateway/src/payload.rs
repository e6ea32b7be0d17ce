//! Body of a request as it is sent to servers.

use std::{
    cell::{Cell, RefCell},
    convert::Infallible,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

/// Whole body of a request, kept as long as it may be sent.
#[derive(Debug)]
pub struct Content {
    bytes: RefCell<Bytes>,
    /// Number of bytes, also once they are released.
    length: usize,
    /// Whether the request is sent to one server only, so that the first send takes the bytes along.
    is_sent_once: bool,
    is_released: Cell<bool>,
}

impl Content {
    /// Creates the body of a request that is sent to one server only, or to several.
    pub fn new(bytes: Bytes, is_sent_once: bool) -> Rc<Self> {
        Rc::new(Self {
            length: bytes.len(),
            bytes: RefCell::new(bytes),
            is_sent_once,
            is_released: Cell::default(),
        })
    }

    /// Gives the memory back. The request must not be sent any more.
    pub fn release(&self) {
        self.is_released.set(true);
        self.bytes.take();
    }

    /// Returns whether the bytes are gone, so that the request can't be sent again.
    pub fn is_released(&self) -> bool {
        self.is_released.get()
    }

    fn send(&self) -> Bytes {
        if self.is_sent_once {
            self.is_released.set(true);
            self.bytes.take()
        } else {
            self.bytes.borrow().clone()
        }
    }
}

/// Body of one send.
#[derive(Debug)]
pub struct Payload {
    content: Rc<Content>,
    is_sent: bool,
}

impl Payload {
    /// Creates the body of a send; the bytes are taken when the connection is ready for them.
    pub fn new(content: &Rc<Content>) -> Self {
        Self {
            content: Rc::clone(content),
            is_sent: content.length == 0,
        }
    }
}

impl Body for Payload {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.is_sent {
            return Poll::Ready(None);
        }
        self.is_sent = true;
        Poll::Ready(Some(Ok(Frame::data(self.content.send()))))
    }

    fn is_end_stream(&self) -> bool {
        self.is_sent
    }

    fn size_hint(&self) -> SizeHint {
        let left = if self.is_sent { 0 } else { self.content.length };
        SizeHint::with_exact(left as u64)
    }
}
