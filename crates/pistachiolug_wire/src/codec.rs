//! Encoding of messages in `postcard` format, alone or as length-prefixed frames of a streamed body.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu, ensure};

/// Largest accepted message of a frame in bytes.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// Size of the length in front of each message in bytes; it is little endian.
const LENGTH_BYTES: usize = 4;

/// Error of received bytes that are not a valid message.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The bytes are not a message of the expected type.
    #[snafu(display("malformed message: {source}"))]
    Malformed {
        /// Error of the codec.
        source: postcard::Error,
    },
    /// The frame is longer than [`MAX_FRAME_BYTES`].
    #[snafu(display("frame of {length} bytes is too long"))]
    TooLong {
        /// Length of the message in bytes, as the prefix states it.
        length: usize,
    },
}

/// Encodes one message without a length.
///
/// # Panics
/// Never for the message types of this crate: they hold no values that `postcard` can't encode.
pub fn encode<T: Serialize>(message: &T) -> Bytes {
    postcard::to_stdvec(message)
        .expect("message types are serializable")
        .into()
}

/// Decodes one message without a length.
///
/// # Errors
/// Returns [`Error::Malformed`] if the bytes are not a message of type `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    postcard::from_bytes(bytes).context(MalformedSnafu)
}

/// Encodes a message as one frame of a stream, with its length in front.
pub fn encode_frame<T: Serialize>(message: &T) -> Bytes {
    let body = encode(message);
    let mut frame = BytesMut::with_capacity(LENGTH_BYTES + body.len());
    frame.put_u32_le(body.len() as u32);
    frame.extend_from_slice(&body);
    frame.freeze()
}

/// Decoder that splits a byte stream into messages.
#[derive(Debug, Default)]
pub struct Decoder {
    /// Received bytes that are not decoded yet; never more than one frame ahead of the reader.
    buffer: BytesMut,
}

impl Decoder {
    /// Adds received bytes.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buffer.extend_from_slice(chunk);
    }

    /// Decodes the next message; returns `None` if more bytes have to arrive first.
    ///
    /// # Errors
    /// Returns [`Error::TooLong`] or [`Error::Malformed`]; the rest of the stream can't be decoded then.
    pub fn next_message<T: DeserializeOwned>(&mut self) -> Result<Option<T>, Error> {
        let Some(length_bytes) = self.buffer.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_le_bytes(*length_bytes) as usize;
        ensure!(length <= MAX_FRAME_BYTES, TooLongSnafu { length });
        if self.buffer.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(LENGTH_BYTES);
        let body = self.buffer.split_to(length);
        decode(&body).map(Some)
    }
}
