//! Response bodies that a handler returns.

use bytes::Bytes;
use tokio::sync::mpsc;

/// Number of chunks a streamed body buffers before its writer waits.
pub const STREAM_BUFFER: usize = 64;

/// Holds what a handler sends back.
#[derive(Debug)]
pub enum Body {
    /// Sends all bytes at once with a content length.
    Full(Bytes),
    /// Sends chunks as they arrive; dropping the sender ends the body.
    Stream(mpsc::Receiver<Bytes>),
}

impl Body {
    /// Creates a streamed body and the writer that feeds it.
    ///
    /// A failed send means that the peer is gone.
    pub fn channel() -> (mpsc::Sender<Bytes>, Self) {
        let (sender, receiver) = mpsc::channel(STREAM_BUFFER);
        (sender, Self::Stream(receiver))
    }
}

impl From<Bytes> for Body {
    fn from(bytes: Bytes) -> Self {
        Self::Full(bytes)
    }
}

impl From<String> for Body {
    fn from(text: String) -> Self {
        Self::Full(text.into())
    }
}

impl From<Vec<u8>> for Body {
    fn from(bytes: Vec<u8>) -> Self {
        Self::Full(bytes.into())
    }
}

impl From<&'static str> for Body {
    fn from(text: &'static str) -> Self {
        Self::Full(Bytes::from_static(text.as_bytes()))
    }
}
