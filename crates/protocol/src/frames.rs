//! FrameReader: a length of four bytes, most significant first, then so many bytes of protobuf.

use prost::Message;
use std::fmt;
use std::marker::PhantomData;

/// Bytes of a frame's length.
pub const HEADER_LEN: usize = 4;

/// A message that can be checked after it was decoded: protobuf alone lets through what no peer may send.
pub trait Validate: Message + Default {
    /// The most bytes that one may have.
    const MAX_LEN: usize;
    /// What is wrong with it, naming the field.
    fn validate(&self) -> Result<(), String>;
}

/// Why a stream cannot be read any further; the peer is closed with this as the reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FramingError {
    /// Where in the stream the frame began, in bytes.
    pub offset: u64,
    pub reason: String,
}

impl fmt::Display for FramingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "frame at byte {}: {}", self.offset, self.reason)
    }
}

pub fn encode(message: &impl Message) -> Vec<u8> {
    let length = message.encoded_len();
    let mut bytes = Vec::with_capacity(HEADER_LEN + length);
    bytes.extend_from_slice(&(length as u32).to_be_bytes());
    // A Vec grows as needed, so this cannot fail for want of room.
    message.encode(&mut bytes).unwrap_or_default();
    bytes
}

/// Cuts a stream of bytes into messages, however the bytes come. Holds at most one frame and what was pushed
/// last: take all messages after each push.
pub struct FrameReader<M> {
    buffer: Vec<u8>,
    from: usize,
    /// Bytes before `from`, over the whole stream.
    passed: u64,
    kind: PhantomData<M>,
}

impl<M> Default for FrameReader<M> {
    fn default() -> Self {
        FrameReader { buffer: Vec::new(), from: 0, passed: 0, kind: PhantomData }
    }
}

impl<M: Validate> FrameReader<M> {
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.from);
        self.from = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// The next message, nothing while it has not come whole. After an error the stream is of no use.
    pub fn next_message(&mut self) -> Result<Option<M>, FramingError> {
        let rest = &self.buffer[self.from..];
        let wrong = |what: String| FramingError { offset: self.passed, reason: what };
        let Some(head) = rest.first_chunk::<HEADER_LEN>() else { return Ok(None) };
        let length = u32::from_be_bytes(*head) as usize;
        if length > M::MAX_LEN {
            return Err(wrong(format!("{length} bytes, at most {} are allowed", M::MAX_LEN)));
        }
        let Some(body) = rest[HEADER_LEN..].get(..length) else { return Ok(None) };
        let message = M::decode(body).map_err(|e| wrong(format!("not a message: {e}")))?;
        message.validate().map_err(wrong)?;
        self.from += HEADER_LEN + length;
        self.passed += (HEADER_LEN + length) as u64;
        Ok(Some(message))
    }

    /// Bytes held of a message that has not come whole.
    pub fn buffered(&self) -> usize {
        self.buffer.len() - self.from
    }
}
