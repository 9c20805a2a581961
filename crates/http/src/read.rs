//! Reading: a small state machine behind httparse.

use std::fmt;

const MOST_HEADERS: usize = 64;
/// A chunk's size with its extensions, and a trailer line.
const MOST_LINE: usize = 1024;
const MOST_TRAILERS: usize = 16;

/// Which messages come in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    Requests,
    Responses,
}

#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of a head.
    pub head: usize,
    /// Bytes of a body, after its coding is undone.
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
    /// Names in lower case, as they came otherwise.
    pub headers: Vec<(String, String)>,
    /// The connection may carry another message after this one.
    pub keep_alive: bool,
    /// Length of the body where it is told.
    pub length: Option<u64>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|header| header.0 == name).map(|header| header.1.as_str())
    }

    /// Answers only; 0 for a request.
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

/// Why a stream of messages cannot be read any further.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseError {
    /// Byte of the stream at which the part began that is wrong.
    pub offset: u64,
    pub reason: String,
    /// What a server answers.
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
    /// So many bytes of the body are still to come.
    Length(u64),
    ChunkSize,
    Chunk(u64),
    ChunkEnd,
    Trailers(usize),
    UntilClose,
    /// The body is done, which has still to be told.
    Done,
    Failed,
}

#[derive(Debug)]
pub struct Reader {
    side: Side,
    bounds: Limits,
    state: State,
    buffer: Vec<u8>,
    from: usize,
    passed: u64,
    body: u64,
    bodiless: bool,
}

impl Reader {
    pub fn new(side: Side, bounds: Limits) -> Reader {
        let state = State::Head;
        Reader { side, bounds, state, buffer: Vec::new(), from: 0, passed: 0, body: 0, bodiless: false }
    }

    /// Take all parts after each push: what is held then is less than a head.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.from);
        self.from = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// The next answer is to a HEAD request.
    pub fn expect_no_body(&mut self) {
        self.bodiless = true;
    }

    /// Between two messages, with nothing held of the next.
    pub fn idle(&self) -> bool {
        self.state == State::Head && self.from == self.buffer.len()
    }

    /// The stream ended in order. An answer without a length ends with it; anything else is cut off.
    pub fn close(&mut self) -> Result<Option<Part>, ParseError> {
        match self.state {
            State::UntilClose => {
                self.state = State::Failed;
                Ok(Some(Part::End))
            }
            State::Head if self.from == self.buffer.len() => Ok(None),
            State::Failed => Ok(None),
            _ => Err(self.wrong(400, "the stream ended within a message")),
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
                    return Ok(self.data(left).map(|(data, left)| self.more(data, State::Length(left))))
                }
                State::Chunk(0) => self.state = State::ChunkEnd,
                State::Chunk(left) => {
                    return Ok(self.data(left).map(|(data, left)| self.more(data, State::Chunk(left))))
                }
                State::UntilClose => {
                    let Some((data, _)) = self.data(u64::MAX) else { return Ok(None) };
                    self.grow(data.len() as u64)?;
                    return Ok(Some(self.more(data, State::UntilClose)));
                }
                State::ChunkSize => {
                    let Some(line) = self.line()? else { return Ok(None) };
                    let size = line.split(';').next().unwrap_or("").trim();
                    let fine =
                        !size.is_empty() && size.len() <= 16 && size.bytes().all(|b| b.is_ascii_hexdigit());
                    let size = u64::from_str_radix(size, 16).ok().filter(|_| fine);
                    let size =
                        size.ok_or_else(|| self.wrong(400, "a chunk's size is not a hexadecimal number"))?;
                    self.grow(size)?;
                    self.state = if size == 0 { State::Trailers(0) } else { State::Chunk(size) };
                }
                State::ChunkEnd => match self.line()? {
                    None => return Ok(None),
                    Some(line) if line.is_empty() => self.state = State::ChunkSize,
                    Some(_) => return Err(self.wrong(400, "a chunk is longer than its size")),
                },
                State::Trailers(count) => match self.line()? {
                    None => return Ok(None),
                    Some(line) if line.is_empty() => self.state = State::Done,
                    Some(_) if count < MOST_TRAILERS => self.state = State::Trailers(count + 1),
                    Some(_) => return Err(self.wrong(431, "too many trailers")),
                },
                State::Failed => return Err(self.wrong(400, "the stream failed before")),
            }
        }
    }

    fn wrong(&self, status: u16, what: &str) -> ParseError {
        ParseError { offset: self.passed, reason: what.into(), status }
    }

    fn pass(&mut self, count: usize) {
        self.from += count;
        self.passed += count as u64;
    }

    fn more(&mut self, data: Vec<u8>, state: State) -> Part {
        self.state = state;
        Part::Data(data)
    }

    /// What has come of a body, at most so much of it, and how much is left.
    fn data(&mut self, left: u64) -> Option<(Vec<u8>, u64)> {
        let rest = &self.buffer[self.from..];
        let count = (rest.len() as u64).min(left) as usize;
        let data = rest[..count].to_vec();
        self.pass(count);
        (count > 0).then_some((data, left - count as u64))
    }

    fn grow(&mut self, by: u64) -> Result<(), ParseError> {
        self.body = self.body.saturating_add(by);
        if self.body > self.bounds.body {
            return Err(self.wrong(413, &format!("a body of more than {} bytes", self.bounds.body)));
        }
        Ok(())
    }

    fn line(&mut self) -> Result<Option<String>, ParseError> {
        let rest = &self.buffer[self.from..];
        let Some(end) = rest.iter().take(MOST_LINE + 1).position(|b| *b == b'\n') else {
            let long = rest.len() > MOST_LINE;
            return if long {
                Err(self.wrong(400, "a line of the chunked coding is too long"))
            } else {
                Ok(None)
            };
        };
        let Some(line) = rest[..end].strip_suffix(b"\r") else {
            return Err(self.wrong(400, "a line of the chunked coding ends without CR"));
        };
        let line = String::from_utf8_lossy(line).into_owned();
        self.pass(end + 1);
        Ok(Some(line))
    }

    fn head(&mut self) -> Result<Option<Part>, ParseError> {
        let rest = &self.buffer[self.from..];
        if rest.is_empty() {
            return Ok(None);
        }
        let within = &rest[..rest.len().min(self.bounds.head)];
        let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
        let parsed = match self.side {
            Side::Requests => {
                let mut request = httparse::Request::new(&mut headers);
                request.parse(within).map(|status| {
                    let (method, target) = (request.method.unwrap_or(""), request.path.unwrap_or(""));
                    let first = StartLine::Request { method: method.into(), target: target.into() };
                    (status, first, request.version.unwrap_or(0), owned(request.headers))
                })
            }
            Side::Responses => {
                let mut answer = httparse::Response::new(&mut headers);
                answer.parse(within).map(|status| {
                    let first = StartLine::Response { status: answer.code.unwrap_or(0) };
                    (status, first, answer.version.unwrap_or(0), owned(answer.headers))
                })
            }
        };
        let (status, first, version, headers) = parsed.map_err(|e| match e {
            httparse::Error::TooManyHeaders => self.wrong(431, "more than 64 headers"),
            other => self.wrong(400, &format!("not a head of HTTP/1: {other}")),
        })?;
        let httparse::Status::Complete(size) = status else {
            let full = rest.len() >= self.bounds.head;
            let what = format!("a head of more than {} bytes", self.bounds.head);
            return if full { Err(self.wrong(431, &what)) } else { Ok(None) };
        };
        let mut head = Head { first, headers, keep_alive: false, length: None };
        head.keep_alive = keeps(&head, version);
        let state = self.framing(&mut head, version)?;
        self.pass(size);
        self.body = 0;
        self.bodiless = false;
        if let State::Length(length) = state {
            self.grow(length)?;
        }
        self.state = state;
        Ok(Some(Part::Head(head)))
    }

    /// How the body is delimited. What two readers could take differently is refused: a message with both a
    /// length and a coding, or two lengths, has been used to smuggle requests past a proxy.
    fn framing(&self, head: &mut Head, version: u8) -> Result<State, ParseError> {
        let mut lengths: Vec<&str> =
            head.headers.iter().filter(|h| h.0 == "content-length").map(|h| h.1.as_str()).collect();
        let codings: Vec<&str> =
            head.headers.iter().filter(|h| h.0 == "transfer-encoding").map(|h| h.1.as_str()).collect();
        if !codings.is_empty() {
            if !lengths.is_empty() {
                return Err(self.wrong(400, "both a length and a transfer coding"));
            }
            if version == 0 || codings.len() > 1 || !codings[0].eq_ignore_ascii_case("chunked") {
                return Err(self.wrong(501, "a transfer coding other than chunked"));
            }
        }
        lengths.dedup();
        if lengths.len() > 1 {
            return Err(self.wrong(400, "two lengths that differ"));
        }
        let digits = |text: &&str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
        let length = match lengths.first() {
            None => None,
            Some(text) => match Some(text).filter(|t| digits(t)).and_then(|t| t.parse::<u64>().ok()) {
                None => return Err(self.wrong(400, "content-length is not a number")),
                some => some,
            },
        };
        head.length = length;
        let empty = match head.first {
            StartLine::Response { status } => self.bodiless || status < 200 || status == 204 || status == 304,
            StartLine::Request { .. } => false,
        };
        Ok(match (codings.is_empty(), length) {
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

fn owned(headers: &[httparse::Header]) -> Vec<(String, String)> {
    let text = |value: &[u8]| String::from_utf8_lossy(value).trim().to_string();
    headers.iter().map(|h| (h.name.to_ascii_lowercase(), text(h.value))).collect()
}

fn keeps(head: &Head, version: u8) -> bool {
    let named = |token: &str| {
        let values = head.headers.iter().filter(|h| h.0 == "connection");
        values.flat_map(|h| h.1.split(',')).any(|t| t.trim().eq_ignore_ascii_case(token))
    };
    if version == 0 {
        named("keep-alive")
    } else {
        !named("close")
    }
}
