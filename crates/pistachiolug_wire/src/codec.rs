//! Length-prefixed postcard frames for streamed bodies.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu, ensure};

/// Longest accepted frame in bytes.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// Bytes of the length in front of each frame (little endian).
const PREFIX_BYTES: usize = 4;

/// Reports a body that is not what its peer should send.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The bytes are no message of the wanted type.
    #[snafu(display("malformed message: {source}"))]
    Malformed {
        /// Cause given by the codec.
        source: postcard::Error,
    },
    /// The frame is longer than [`MAX_FRAME_BYTES`].
    #[snafu(display("frame of {length} bytes is too long"))]
    TooLong {
        /// Length in bytes that the prefix states.
        length: usize,
    },
}

/// Encodes one whole message.
///
/// # Panics
/// Never for the message types of this crate: they hold no unsized or unsupported values.
pub fn encode<T: Serialize>(message: &T) -> Bytes {
    postcard::to_stdvec(message)
        .expect("message types are serializable")
        .into()
}

/// Decodes one whole message.
///
/// # Errors
/// [`Error::Malformed`].
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    postcard::from_bytes(bytes).context(MalformedSnafu)
}

/// Encodes a message as one frame of a stream.
pub fn encode_frame<T: Serialize>(message: &T) -> Bytes {
    let body = encode(message);
    let mut whole = BytesMut::with_capacity(PREFIX_BYTES + body.len());
    whole.put_u32_le(body.len() as u32);
    whole.extend_from_slice(&body);
    whole.freeze()
}

/// Splits a byte stream into frames.
#[derive(Debug, Default)]
pub struct Decoder {
    /// Bytes of the frames not yet taken; never more than one frame ahead of the reader.
    buffer: BytesMut,
}

impl Decoder {
    /// Adds received bytes.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buffer.extend_from_slice(chunk);
    }

    /// Takes the next whole message, or `None` until more bytes arrive.
    ///
    /// # Errors
    /// [`Error::TooLong`] and [`Error::Malformed`]; the stream is then useless.
    pub fn next_message<T: DeserializeOwned>(&mut self) -> Result<Option<T>, Error> {
        let Some(prefix) = self.buffer.first_chunk::<PREFIX_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_le_bytes(*prefix) as usize;
        ensure!(length <= MAX_FRAME_BYTES, TooLongSnafu { length });
        if self.buffer.len() < PREFIX_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(PREFIX_BYTES);
        let body = self.buffer.split_to(length);
        decode(&body).map(Some)
    }
}
