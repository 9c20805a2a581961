//! Framing: a four-byte big-endian length followed by a protobuf message of that length.

use prost::Message;
use std::fmt;
use std::marker::PhantomData;

/// Size of the length prefix, in bytes.
pub const HEADER_LEN: usize = 4;

/// Buffer capacity retained between messages, and the multiple of the buffered bytes above which it is reduced.
pub const RETAINED_CAPACITY: usize = 4 * 1024;
const SHRINK_FACTOR: usize = 2;
/// Memory that the incomplete messages of all connections of a listener may take.
pub const MAX_INCOMPLETE_MEMORY: usize = 64 * 1024 * 1024;

/// Validation of a decoded message: protobuf alone accepts values that no peer may send.
pub trait Validate: Message + Default {
    /// Maximum encoded size, in bytes.
    const MAX_LEN: usize;
    /// Describes the first invalid field, by name.
    fn validate(&self) -> Result<(), String>;
}

/// Why a stream cannot be decoded any further; the connection is closed with this as the reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FramingError {
    /// Offset in the stream at which the frame starts.
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
    // Encoding only fails for lack of capacity, and a Vec grows as needed.
    message.encode(&mut bytes).unwrap_or_default();
    bytes
}

/// Splits a byte stream that arrives in arbitrary pieces into messages. All messages must be taken after each push;
/// the buffer then holds at most one frame and the bytes pushed last.
pub struct FrameReader<M> {
    buffer: Vec<u8>,
    from: usize,
    /// Offset of `from` in the whole stream.
    consumed: u64,
    max_len: usize,
    message: PhantomData<M>,
}

impl<M: Validate> Default for FrameReader<M> {
    fn default() -> Self {
        FrameReader::with_limit(M::MAX_LEN)
    }
}

impl<M: Validate> FrameReader<M> {
    /// A reader for a peer that has not said who it is: of messages up to `max_len` bytes, or their own limit if that
    /// is lower.
    pub fn with_limit(max_len: usize) -> FrameReader<M> {
        let max_len = max_len.min(M::MAX_LEN);
        FrameReader { buffer: Vec::new(), from: 0, consumed: 0, max_len, message: PhantomData }
    }

    /// Messages may have their full length from now on.
    pub fn lift_limit(&mut self) {
        self.max_len = M::MAX_LEN;
    }

    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.from);
        self.from = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// The next message, or `None` while it is incomplete. After an error the stream must not be used any more.
    pub fn next_message(&mut self) -> Result<Option<M>, FramingError> {
        let rest = &self.buffer[self.from..];
        let error = |reason: String| FramingError { offset: self.consumed, reason };
        let Some(header) = rest.first_chunk::<HEADER_LEN>() else { return Ok(None) };
        let length = u32::from_be_bytes(*header) as usize;
        if length > self.max_len {
            return Err(error(format!("{length} bytes, at most {} are allowed", self.max_len)));
        }
        let Some(body) = rest[HEADER_LEN..].get(..length) else { return Ok(None) };
        let message = M::decode(body).map_err(|e| error(format!("not a message: {e}")))?;
        message.validate().map_err(error)?;
        self.from += HEADER_LEN + length;
        self.consumed += (HEADER_LEN + length) as u64;
        Ok(Some(message))
    }

    /// Number of buffered bytes of an incomplete message.
    pub fn buffered(&self) -> usize {
        self.buffer.len() - self.from
    }

    /// Releases the memory of a large read once little of it is left, and returns the allocated size in bytes.
    pub fn shrink(&mut self) -> usize {
        if self.buffer.capacity() > RETAINED_CAPACITY.max(SHRINK_FACTOR * self.buffered()) {
            self.buffer.drain(..self.from);
            self.from = 0;
            self.buffer.shrink_to(RETAINED_CAPACITY);
        }
        self.buffer.capacity()
    }
}

/// The connection whose incomplete message takes the most memory, if all together take more than
/// [`MAX_INCOMPLETE_MEMORY`]. Takes each connection with its allocated size.
pub fn largest_beyond_limit<K>(allocated: impl Iterator<Item = (K, usize)>) -> Option<K> {
    let mut total = 0;
    let counted = allocated.inspect(|(_, size)| total += size);
    let largest = counted.max_by_key(|(_, size)| *size);
    largest.filter(|_| total > MAX_INCOMPLETE_MEMORY).map(|(key, _)| key)
}
