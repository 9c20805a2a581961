//! HTTP/1.1 messages, both sides: bounded heads and bodies, chunked coding, keep-alive. No sockets.
//!
//! A [`Reader`] takes bytes however they are cut and gives parts: a head, data, the end. Heads are parsed by
//! httparse. Not in here: HTTP/2, upgrades, trailers' contents (read, bounded and dropped), 100-continue.
#![forbid(unsafe_code)]

mod read;
mod write;

pub use read::{Head, Limits, ParseError, Part, Reader, Side, StartLine};
pub use write::{chunk, request, response, LAST_CHUNK};
