//! Response bodies of handlers.

use bytes::Bytes;
use tokio::sync::mpsc;

/// Number of chunks that a streamed body buffers before its sender waits.
pub const STREAM_BUFFER_CHUNKS: usize = 64;

/// Response body of a handler.
#[derive(Debug)]
pub enum Body {
    /// All bytes, sent with a content length.
    Full(Bytes),
    /// Chunks, sent as they arrive; the body ends when the sender of the channel is dropped.
    Stream(mpsc::Receiver<Bytes>),
}

impl Body {
    /// Creates a streamed body and the sender of its chunks.
    ///
    /// A failed send means that the peer has disconnected.
    pub fn channel() -> (mpsc::Sender<Bytes>, Self) {
        let (sender, receiver) = mpsc::channel(STREAM_BUFFER_CHUNKS);
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
