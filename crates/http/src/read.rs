//! Incremental message reader: a state machine for bodies, with heads parsed by httparse.

use std::fmt;

const MAX_HEADERS: usize = 64;
/// Bytes of a chunk size line with its extensions, or of a trailer line.
const MAX_LINE_LEN: usize = 1024;
const MAX_TRAILERS: usize = 16;
/// Buffer capacity retained between messages, and the multiple of the buffered bytes above which it is reduced.
const RETAINED_CAPACITY: usize = 4 * 1024;
const SHRINK_FACTOR: usize = 2;

/// Line break before and at the end of a head.
const BLANK_LINE: &[u8] = b"\n\r\n";

/// Which kind of message is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    Requests,
    Responses,
}

#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size of a head, in bytes.
    pub head: usize,
    /// Maximum size of a body in bytes, after decoding.
    pub body: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { head: 16 * 1024, body: 1024 * 1024 }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartLine {
    Request { method: String, target: String },
    Response { status: u16 },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    pub first: StartLine,
    /// Headers in order of arrival, with lower-case names.
    pub headers: Vec<(String, String)>,
    /// Whether the connection may carry another message after this one.
    pub keep_alive: bool,
    /// Declared length of the body, if any.
    pub length: Option<u64>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|header| header.0 == name).map(|header| header.1.as_str())
    }

    /// Status of a response; 0 for a request.
    pub fn status(&self) -> u16 {
        match self.first {
            StartLine::Response { status } => status,
            StartLine::Request { .. } => 0,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    Head(Head),
    Data(Vec<u8>),
    /// The message is complete.
    End,
}

/// Why the stream cannot be parsed any further.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseError {
    /// Offset in the stream of the part that is invalid.
    pub offset: u64,
    pub reason: String,
    /// Status code that a server should respond with.
    pub status: u16,
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "byte {}: {}", self.offset, self.reason)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Head,
    /// Remaining bytes of the body.
    Length(u64),
    ChunkSize,
    Chunk(u64),
    ChunkEnd,
    Trailers(usize),
    UntilClose,
    /// The body is complete, [`Part::End`] is still to be returned.
    Done,
    Failed,
}

#[derive(Debug)]
pub struct Reader {
    side: Side,
    limits: Limits,
    state: State,
    buffer: Vec<u8>,
    from: usize,
    consumed: u64,
    body: u64,
    no_body: bool,
    /// Bytes of an incomplete head that hold no blank line, and the size at which it is parsed without one. Parsed at
    /// each byte, a head that arrives slowly would cost the square of its size.
    searched: usize,
    parse_at: usize,
}

impl Reader {
    pub fn new(side: Side, limits: Limits) -> Reader {
        let state = State::Head;
        Reader {
            side,
            limits,
            state,
            buffer: Vec::new(),
            from: 0,
            consumed: 0,
            body: 0,
            no_body: false,
            searched: 0,
            parse_at: 0,
        }
    }

    /// All parts must be taken after each push: what remains buffered is then less than a head.
    pub fn push(&mut self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        self.buffer.drain(..self.from);
        self.from = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// Allocated size of the buffer in bytes.
    pub fn capacity(&self) -> usize {
        self.buffer.capacity()
    }

    /// Releases the memory of a large read once little of it is left.
    pub fn shrink(&mut self) {
        let left = self.buffer.len() - self.from;
        if self.buffer.capacity() > RETAINED_CAPACITY.max(SHRINK_FACTOR * left) {
            self.buffer.drain(..self.from);
            self.from = 0;
            self.buffer.shrink_to(RETAINED_CAPACITY);
        }
    }

    /// The next response answers a HEAD request and has no body.
    pub fn expect_no_body(&mut self) {
        self.no_body = true;
    }

    /// Whether the reader is between two messages, with nothing buffered of the next.
    pub fn idle(&self) -> bool {
        self.state == State::Head && self.from == self.buffer.len()
    }

    /// Handles the end of the stream. It ends a response without a length; any other message is truncated.
    pub fn close(&mut self) -> Result<Option<Part>, ParseError> {
        match self.state {
            State::UntilClose => {
                self.state = State::Failed;
                Ok(Some(Part::End))
            }
            State::Head if self.from == self.buffer.len() => Ok(None),
            State::Failed => Ok(None),
            _ => Err(self.error(400, "the stream ended within a message")),
        }
    }

    pub fn next_part(&mut self) -> Result<Option<Part>, ParseError> {
        let part = self.step();
        if part.is_err() {
            self.state = State::Failed;
        }
        part
    }

    fn step(&mut self) -> Result<Option<Part>, ParseError> {
        loop {
            match self.state {
                State::Head => return self.head(),
                State::Done => {
                    self.state = State::Head;
                    return Ok(Some(Part::End));
                }
                State::Length(0) => self.state = State::Done,
                State::Length(left) => {
                    return Ok(self.data(left).map(|(data, left)| self.emit(data, State::Length(left))))
                }
                State::Chunk(0) => self.state = State::ChunkEnd,
                State::Chunk(left) => {
                    return Ok(self.data(left).map(|(data, left)| self.emit(data, State::Chunk(left))))
                }
                State::UntilClose => {
                    let Some((data, _)) = self.data(u64::MAX) else { return Ok(None) };
                    self.count_body(data.len() as u64)?;
                    return Ok(Some(self.emit(data, State::UntilClose)));
                }
                State::ChunkSize => {
                    let Some(line) = self.line()? else { return Ok(None) };
                    let size = line.split(';').next().unwrap_or("").trim();
                    let fine =
                        !size.is_empty() && size.len() <= 16 && size.bytes().all(|b| b.is_ascii_hexdigit());
                    let size = u64::from_str_radix(size, 16).ok().filter(|_| fine);
                    let size =
                        size.ok_or_else(|| self.error(400, "a chunk's size is not a hexadecimal number"))?;
                    self.count_body(size)?;
                    self.state = if size == 0 { State::Trailers(0) } else { State::Chunk(size) };
                }
                State::ChunkEnd => match self.line()? {
                    None => return Ok(None),
                    Some(line) if line.is_empty() => self.state = State::ChunkSize,
                    Some(_) => return Err(self.error(400, "a chunk is longer than its size")),
                },
                State::Trailers(count) => match self.line()? {
                    None => return Ok(None),
                    Some(line) if line.is_empty() => self.state = State::Done,
                    Some(_) if count < MAX_TRAILERS => self.state = State::Trailers(count + 1),
                    Some(_) => return Err(self.error(431, "too many trailers")),
                },
                State::Failed => return Err(self.error(400, "the stream failed before")),
            }
        }
    }

    fn error(&self, status: u16, reason: &str) -> ParseError {
        ParseError { offset: self.consumed, reason: reason.into(), status }
    }

    fn advance(&mut self, count: usize) {
        self.from += count;
        self.consumed += count as u64;
    }

    fn emit(&mut self, data: Vec<u8>, state: State) -> Part {
        self.state = state;
        Part::Data(data)
    }

    /// Takes up to `left` buffered bytes of the body, and returns them with the number still missing.
    fn data(&mut self, left: u64) -> Option<(Vec<u8>, u64)> {
        let rest = &self.buffer[self.from..];
        let count = (rest.len() as u64).min(left) as usize;
        let data = rest[..count].to_vec();
        self.advance(count);
        (count > 0).then_some((data, left - count as u64))
    }

    fn count_body(&mut self, by: u64) -> Result<(), ParseError> {
        self.body = self.body.saturating_add(by);
        if self.body > self.limits.body {
            return Err(self.error(413, &format!("a body of more than {} bytes", self.limits.body)));
        }
        Ok(())
    }

    fn line(&mut self) -> Result<Option<String>, ParseError> {
        let rest = &self.buffer[self.from..];
        let Some(end) = rest.iter().take(MAX_LINE_LEN + 1).position(|b| *b == b'\n') else {
            let long = rest.len() > MAX_LINE_LEN;
            return if long {
                Err(self.error(400, "a line of the chunked coding is too long"))
            } else {
                Ok(None)
            };
        };
        let Some(line) = rest[..end].strip_suffix(b"\r") else {
            return Err(self.error(400, "a line of the chunked coding ends without CR"));
        };
        let line = String::from_utf8_lossy(line).into_owned();
        self.advance(end + 1);
        Ok(Some(line))
    }

    fn head(&mut self) -> Result<Option<Part>, ParseError> {
        let rest = &self.buffer[self.from..];
        let unsearched = &rest[self.searched.saturating_sub(BLANK_LINE.len() - 1)..];
        if rest.len() < self.parse_at.min(self.limits.head) && !has_blank_line(unsearched) {
            self.searched = rest.len();
            return Ok(None);
        }
        if rest.is_empty() {
            return Ok(None);
        }
        let within = &rest[..rest.len().min(self.limits.head)];
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let parsed = match self.side {
            Side::Requests => {
                let mut request = httparse::Request::new(&mut headers);
                request.parse(within).map(|status| {
                    let (method, target) = (request.method.unwrap_or(""), request.path.unwrap_or(""));
                    let first = StartLine::Request { method: method.into(), target: target.into() };
                    (status, first, request.version.unwrap_or(0), to_owned_headers(request.headers))
                })
            }
            Side::Responses => {
                let mut answer = httparse::Response::new(&mut headers);
                answer.parse(within).map(|status| {
                    let first = StartLine::Response { status: answer.code.unwrap_or(0) };
                    (status, first, answer.version.unwrap_or(0), to_owned_headers(answer.headers))
                })
            }
        };
        let (status, first, version, headers) = parsed.map_err(|e| match e {
            httparse::Error::TooManyHeaders => self.error(431, "more than 64 headers"),
            other => self.error(400, &format!("not a head of HTTP/1: {other}")),
        })?;
        let httparse::Status::Complete(size) = status else {
            let full = rest.len() >= self.limits.head;
            let reason = format!("a head of more than {} bytes", self.limits.head);
            (self.searched, self.parse_at) = (rest.len(), 2 * rest.len());
            return if full { Err(self.error(431, &reason)) } else { Ok(None) };
        };
        (self.searched, self.parse_at) = (0, 0);
        let mut head = Head { first, headers, keep_alive: false, length: None };
        head.keep_alive = is_keep_alive(&head, version);
        let state = self.framing(&mut head, version)?;
        self.advance(size);
        self.body = 0;
        self.no_body = false;
        if let State::Length(length) = state {
            self.count_body(length)?;
        }
        self.state = state;
        Ok(Some(Part::Head(head)))
    }

    /// How the body is delimited. Ambiguous framing is rejected: a message with both a length and a transfer encoding,
    /// or with two lengths, has been used to smuggle requests past proxies.
    fn framing(&self, head: &mut Head, version: u8) -> Result<State, ParseError> {
        let mut lengths: Vec<&str> =
            head.headers.iter().filter(|h| h.0 == "content-length").map(|h| h.1.as_str()).collect();
        let encodings: Vec<&str> =
            head.headers.iter().filter(|h| h.0 == "transfer-encoding").map(|h| h.1.as_str()).collect();
        if !encodings.is_empty() {
            if !lengths.is_empty() {
                return Err(self.error(400, "both a length and a transfer coding"));
            }
            if version == 0 || encodings.len() > 1 || !encodings[0].eq_ignore_ascii_case("chunked") {
                return Err(self.error(501, "a transfer coding other than chunked"));
            }
        }
        lengths.dedup();
        if lengths.len() > 1 {
            return Err(self.error(400, "two lengths that differ"));
        }
        let digits = |text: &&str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
        let length = match lengths.first() {
            None => None,
            Some(text) => match Some(text).filter(|t| digits(t)).and_then(|t| t.parse::<u64>().ok()) {
                None => return Err(self.error(400, "content-length is not a number")),
                some => some,
            },
        };
        head.length = length;
        let empty = match head.first {
            StartLine::Response { status } => self.no_body || status < 200 || status == 204 || status == 304,
            StartLine::Request { .. } => false,
        };
        Ok(match (encodings.is_empty(), length) {
            _ if empty => State::Length(0),
            (false, _) => State::ChunkSize,
            (true, Some(length)) => State::Length(length),
            (true, None) if self.side == Side::Requests => State::Length(0),
            (true, None) => {
                head.keep_alive = false;
                State::UntilClose
            }
        })
    }
}

/// Whether a head may end here: at a line break that another one follows, with or without CR.
fn has_blank_line(bytes: &[u8]) -> bool {
    bytes.windows(BLANK_LINE.len()).any(|three| three == BLANK_LINE || three.ends_with(b"\n\n"))
        || bytes.starts_with(b"\n\n")
}

fn to_owned_headers(headers: &[httparse::Header]) -> Vec<(String, String)> {
    let text = |value: &[u8]| String::from_utf8_lossy(value).trim().to_string();
    headers.iter().map(|h| (h.name.to_ascii_lowercase(), text(h.value))).collect()
}

fn is_keep_alive(head: &Head, version: u8) -> bool {
    let has_token = |token: &str| {
        let values = head.headers.iter().filter(|h| h.0 == "connection");
        values.flat_map(|h| h.1.split(',')).any(|t| t.trim().eq_ignore_ascii_case(token))
    };
    if version == 0 {
        has_token("keep-alive")
    } else {
        !has_token("close")
    }
}
