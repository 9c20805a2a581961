//! Frames: a length of four bytes, most significant first, then so many bytes of protobuf.

use prost::Message;
use std::fmt;
use std::marker::PhantomData;

/// Bytes of a frame's length.
pub const HEAD: usize = 4;

/// A message that can be checked after it was decoded: protobuf alone lets through what no peer may send.
pub trait Checked: Message + Default {
    /// The most bytes that one may have.
    const MOST: usize;
    /// What is wrong with it, naming the field.
    fn check(&self) -> Result<(), String>;
}

/// Why a stream cannot be read any further; the peer is closed with this as the reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wrong {
    /// Where in the stream the frame began, in bytes.
    pub at: u64,
    pub what: String,
}

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "frame at byte {}: {}", self.at, self.what)
    }
}

pub fn encode(message: &impl Message) -> Vec<u8> {
    let length = message.encoded_len();
    let mut bytes = Vec::with_capacity(HEAD + length);
    bytes.extend_from_slice(&(length as u32).to_be_bytes());
    // A Vec grows as needed, so this cannot fail for want of room.
    message.encode(&mut bytes).unwrap_or_default();
    bytes
}

/// Cuts a stream of bytes into messages, however the bytes come. Holds at most one frame and what was pushed
/// last: take all messages after each push.
pub struct Frames<M> {
    buffer: Vec<u8>,
    from: usize,
    /// Bytes before `from`, over the whole stream.
    passed: u64,
    kind: PhantomData<M>,
}

impl<M> Default for Frames<M> {
    fn default() -> Self {
        Frames { buffer: Vec::new(), from: 0, passed: 0, kind: PhantomData }
    }
}

impl<M: Checked> Frames<M> {
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.from);
        self.from = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// The next message, nothing while it has not come whole. After an error the stream is of no use.
    pub fn take(&mut self) -> Result<Option<M>, Wrong> {
        let rest = &self.buffer[self.from..];
        let wrong = |what: String| Wrong { at: self.passed, what };
        let Some(head) = rest.first_chunk::<HEAD>() else { return Ok(None) };
        let length = u32::from_be_bytes(*head) as usize;
        if length > M::MOST {
            return Err(wrong(format!("{length} bytes, at most {} are allowed", M::MOST)));
        }
        let Some(body) = rest[HEAD..].get(..length) else { return Ok(None) };
        let message = M::decode(body).map_err(|e| wrong(format!("not a message: {e}")))?;
        message.check().map_err(wrong)?;
        self.from += HEAD + length;
        self.passed += (HEAD + length) as u64;
        Ok(Some(message))
    }

    /// Bytes held of a message that has not come whole.
    pub fn held(&self) -> usize {
        self.buffer.len() - self.from
    }
}
