//! Arrays of bulk strings: a bounded reader for bytes in any pieces, and a writer.

use std::fmt;

/// Digits of a count or a length; a number with more is longer than any bound.
const MOST_DIGITS: usize = 8;
/// What an item costs beside its bytes, so that a message of empty items is bounded as well.
const ITEM: usize = 16;
/// A buffer this large is kept between messages.
const KEPT: usize = 4 * 1024;

#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Bytes of one message, the framing included.
    pub bytes: usize,
    pub items: usize,
}

/// Why a stream cannot be read any further.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FramingError {
    /// Byte of the stream at which it goes wrong.
    pub at: u64,
    pub what: String,
}

impl fmt::Display for FramingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "byte {}: {}", self.at, self.what)
    }
}

/// Reads messages one after the other. Lengths are refused by what their headers say, before anything is
/// kept for them.
#[derive(Debug)]
pub struct Reader {
    bounds: Bounds,
    buffer: Vec<u8>,
    /// Where the message begins, and up to where it is read.
    from: usize,
    at: usize,
    passed: u64,
    /// Items still to come, once the array's header is read; and what came, as places from `from` on.
    left: Option<usize>,
    items: Vec<(usize, usize)>,
    failed: bool,
}

impl Reader {
    pub fn new(bounds: Bounds) -> Reader {
        Reader {
            bounds,
            buffer: Vec::new(),
            from: 0,
            at: 0,
            passed: 0,
            left: None,
            items: Vec::new(),
            failed: false,
        }
    }

    /// From here on; a message that is begun falls under the new bounds.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Take all messages after each push: what is held then is less than one.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.failed {
            return;
        }
        self.compact();
        self.buffer.extend_from_slice(bytes);
    }

    /// Bytes held of a message that is not complete.
    pub fn buffered(&self) -> usize {
        self.buffer.len() - self.from
    }

    /// Gives back what a large read took, also where the next message has begun: kept for hundreds of peers it
    /// passed the memory, and `held` told nothing of it.
    pub fn shrink(&mut self) {
        if self.buffer.capacity() > KEPT {
            self.compact();
            self.buffer.shrink_to(KEPT);
        }
    }

    /// Bytes of memory taken.
    pub fn capacity(&self) -> usize {
        self.buffer.capacity()
    }

    fn compact(&mut self) {
        self.passed += self.from as u64;
        self.buffer.drain(..self.from);
        self.at -= self.from;
        self.from = 0;
    }

    /// The next message, its items as they came.
    pub fn next_message(&mut self) -> Result<Option<Vec<&[u8]>>, FramingError> {
        if self.failed {
            return Err(self.wrong("the stream could not be read before"));
        }
        match self.step() {
            Ok(false) => Ok(None),
            Ok(true) => {
                let start = self.from;
                self.from = self.at;
                self.left = None;
                let items = std::mem::take(&mut self.items);
                Ok(Some(items.iter().map(|(a, b)| &self.buffer[start + a..start + b]).collect()))
            }
            Err(wrong) => {
                self.failed = true;
                self.buffer = Vec::new();
                (self.from, self.at) = (0, 0);
                Err(wrong)
            }
        }
    }

    fn wrong(&self, what: &str) -> FramingError {
        FramingError { at: self.passed + self.at as u64, what: what.into() }
    }

    /// Whether a message is complete.
    fn step(&mut self) -> Result<bool, FramingError> {
        let left = match self.left {
            Some(left) => left,
            None => {
                let Some(count) = self.header(b'*', "an array")? else { return Ok(false) };
                if count == 0 {
                    return Err(self.wrong("an array without a kind"));
                }
                if count > self.bounds.items {
                    return Err(self.wrong(&format!("an array of more than {} items", self.bounds.items)));
                }
                count
            }
        };
        self.left = Some(left);
        while let Some(left) = self.left.filter(|left| *left > 0) {
            let before = self.at;
            let Some(length) = self.header(b'$', "a bulk string")? else { return Ok(false) };
            let taken = self.at - self.from + self.items.len() * ITEM;
            if taken.saturating_add(length) > self.bounds.bytes {
                return Err(self.wrong(&format!("a message of more than {} bytes", self.bounds.bytes)));
            }
            let end = self.at + length;
            if self.buffer.len() < end + 2 {
                // The header is read again with the rest: nothing but the place is kept.
                self.at = before;
                return Ok(false);
            }
            if &self.buffer[end..end + 2] != b"\r\n" {
                return Err(self.wrong("a bulk string is not as long as it says"));
            }
            self.items.push((self.at - self.from, end - self.from));
            self.at = end + 2;
            self.left = Some(left - 1);
        }
        Ok(true)
    }

    /// A line of a mark and a number; nothing if it has not come whole.
    fn header(&mut self, mark: u8, what: &str) -> Result<Option<usize>, FramingError> {
        let rest = &self.buffer[self.at..];
        let Some(first) = rest.first() else { return Ok(None) };
        if *first != mark {
            return Err(self.wrong(&format!("no header of {what}")));
        }
        let digits = rest[1..].iter().take_while(|byte| byte.is_ascii_digit()).count();
        if digits > MOST_DIGITS {
            return Err(self.wrong(&format!("the length of {what} is out of range")));
        }
        let after = &rest[1 + digits..];
        let ends = after.len().min(2);
        if after[..ends] != b"\r\n"[..ends] || digits == 0 && !after.is_empty() {
            return Err(self.wrong(&format!("the length of {what} is not a number of 0 or more")));
        }
        if ends < 2 {
            return Ok(None);
        }
        let number = rest[1..1 + digits].iter().fold(0, |sum, digit| sum * 10 + usize::from(digit - b'0'));
        self.at += digits + 3;
        Ok(Some(number))
    }
}

/// One message: its kind and whatever follows.
pub fn write_array<'a>(items: impl IntoIterator<Item = &'a str>, into: &mut Vec<u8>) {
    let items: Vec<&str> = items.into_iter().collect();
    into.extend_from_slice(format!("*{}\r\n", items.len()).as_bytes());
    for item in items {
        into.extend_from_slice(format!("${}\r\n", item.len()).as_bytes());
        into.extend_from_slice(item.as_bytes());
        into.extend_from_slice(b"\r\n");
    }
}
