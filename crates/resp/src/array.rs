//! RESP2 arrays of bulk strings: an incremental reader with bounds, and a writer.

use std::fmt;

/// Maximum number of digits in a count or length; a longer number exceeds every bound.
const MAX_DIGITS: usize = 8;
/// Overhead counted per item, so that a message of empty items is bounded as well.
const ITEM_OVERHEAD: usize = 16;
/// Buffer capacity retained between messages.
const RETAINED_CAPACITY: usize = 4 * 1024;
/// Multiple of the buffered bytes above which the capacity is reduced.
const SHRINK_FACTOR: usize = 2;

#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Maximum size of a message in bytes, including the framing.
    pub bytes: usize,
    /// Maximum number of items in a message.
    pub items: usize,
}

/// A framing error; the stream cannot be read past it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FramingError {
    /// Offset of the error in the stream.
    pub offset: u64,
    pub reason: String,
}

impl fmt::Display for FramingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "byte {}: {}", self.offset, self.reason)
    }
}

/// Incremental message reader. A length out of bounds is rejected as soon as its header is read, before any
/// memory is allocated for it.
#[derive(Debug)]
pub struct Reader {
    bounds: Bounds,
    buffer: Vec<u8>,
    /// Start of the current message in the buffer, and how far it has been read.
    start: usize,
    position: usize,
    /// Bytes of the stream that were dropped from the front of the buffer.
    discarded: u64,
    /// Items still missing, once the array header has been read, and the ranges of those received, relative to
    /// `start`.
    remaining: Option<usize>,
    items: Vec<(usize, usize)>,
    failed: bool,
}

impl Reader {
    pub fn new(bounds: Bounds) -> Reader {
        Reader {
            bounds,
            buffer: Vec::new(),
            start: 0,
            position: 0,
            discarded: 0,
            remaining: None,
            items: Vec::new(),
            failed: false,
        }
    }

    /// Changes the bounds, which also apply to a partially received message.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Appends received bytes. The caller takes all complete messages after each push, so that less than one
    /// message stays buffered.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.failed {
            return;
        }
        self.compact();
        self.buffer.extend_from_slice(bytes);
    }

    /// Bytes buffered of an incomplete message.
    pub fn buffered(&self) -> usize {
        self.buffer.len() - self.start
    }

    /// Releases the memory of a large read once little of it is left. Retained for hundreds of peers it exceeded the
    /// memory limit without showing up in `buffered`.
    pub fn shrink(&mut self) {
        if self.buffer.capacity() > RETAINED_CAPACITY.max(SHRINK_FACTOR * self.buffered()) {
            self.compact();
            self.buffer.shrink_to(RETAINED_CAPACITY);
        }
    }

    /// Allocated size of the buffer in bytes.
    pub fn capacity(&self) -> usize {
        self.buffer.capacity()
    }

    /// Memory of an incomplete message in bytes, with that of its items: those of many short items take more than their
    /// bytes. 0 if nothing is received of the next one.
    pub fn held(&self) -> usize {
        match self.buffered() {
            0 => 0,
            _ => self.buffer.capacity() + self.items.capacity() * std::mem::size_of::<(usize, usize)>(),
        }
    }

    fn compact(&mut self) {
        self.discarded += self.start as u64;
        self.buffer.drain(..self.start);
        self.position -= self.start;
        self.start = 0;
    }

    /// Returns the items of the next complete message.
    pub fn next_message(&mut self) -> Result<Option<Vec<&[u8]>>, FramingError> {
        if self.failed {
            return Err(self.error("the stream could not be read before"));
        }
        match self.step() {
            Ok(false) => Ok(None),
            Ok(true) => {
                let start = self.start;
                self.start = self.position;
                self.remaining = None;
                let items = std::mem::take(&mut self.items);
                Ok(Some(items.iter().map(|(a, b)| &self.buffer[start + a..start + b]).collect()))
            }
            Err(error) => {
                self.failed = true;
                self.buffer = Vec::new();
                (self.start, self.position) = (0, 0);
                Err(error)
            }
        }
    }

    fn error(&self, reason: &str) -> FramingError {
        FramingError { offset: self.discarded + self.position as u64, reason: reason.into() }
    }

    /// Returns whether a message is complete.
    fn step(&mut self) -> Result<bool, FramingError> {
        let remaining = match self.remaining {
            Some(remaining) => remaining,
            None => {
                let Some(count) = self.header(b'*', "an array")? else { return Ok(false) };
                if count == 0 {
                    return Err(self.error("an array without a kind"));
                }
                if count > self.bounds.items {
                    return Err(self.error(&format!("an array of more than {} items", self.bounds.items)));
                }
                count
            }
        };
        self.remaining = Some(remaining);
        while let Some(remaining) = self.remaining.filter(|remaining| *remaining > 0) {
            let before = self.position;
            let Some(length) = self.header(b'$', "a bulk string")? else { return Ok(false) };
            let size = self.position - self.start + self.items.len() * ITEM_OVERHEAD;
            if size.saturating_add(length) > self.bounds.bytes {
                return Err(self.error(&format!("a message of more than {} bytes", self.bounds.bytes)));
            }
            let end = self.position + length;
            if self.buffer.len() < end + 2 {
                // The header is parsed again once more bytes have arrived.
                self.position = before;
                return Ok(false);
            }
            if &self.buffer[end..end + 2] != b"\r\n" {
                return Err(self.error("a bulk string is not as long as it says"));
            }
            self.items.push((self.position - self.start, end - self.start));
            self.position = end + 2;
            self.remaining = Some(remaining - 1);
        }
        Ok(true)
    }

    /// Parses a header line: a type byte and a number. Returns `None` if it is incomplete.
    fn header(&mut self, type_byte: u8, what: &str) -> Result<Option<usize>, FramingError> {
        let rest = &self.buffer[self.position..];
        let Some(first) = rest.first() else { return Ok(None) };
        if *first != type_byte {
            return Err(self.error(&format!("no header of {what}")));
        }
        let digits = rest[1..].iter().take_while(|byte| byte.is_ascii_digit()).count();
        if digits > MAX_DIGITS {
            return Err(self.error(&format!("the length of {what} is out of range")));
        }
        let after = &rest[1 + digits..];
        let ends = after.len().min(2);
        if after[..ends] != b"\r\n"[..ends] || digits == 0 && !after.is_empty() {
            return Err(self.error(&format!("the length of {what} is not a number of 0 or more")));
        }
        if ends < 2 {
            return Ok(None);
        }
        let number = rest[1..1 + digits].iter().fold(0, |sum, digit| sum * 10 + usize::from(digit - b'0'));
        self.position += digits + 3;
        Ok(Some(number))
    }
}

/// Appends one message: its kind, followed by its fields.
pub fn write_array<'a>(items: impl IntoIterator<Item = &'a str>, output: &mut Vec<u8>) {
    let items: Vec<&str> = items.into_iter().collect();
    output.extend_from_slice(format!("*{}\r\n", items.len()).as_bytes());
    for item in items {
        output.extend_from_slice(format!("${}\r\n", item.len()).as_bytes());
        output.extend_from_slice(item.as_bytes());
        output.extend_from_slice(b"\r\n");
    }
}
