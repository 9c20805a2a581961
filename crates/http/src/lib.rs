//! HTTP/1.1 messages for clients and servers: bounded heads and bodies, chunked encoding, keep-alive. No sockets.
//!
//! A [`Reader`] accepts bytes in arbitrary pieces and yields parts: a head, data, the end. Heads are parsed by
//! httparse. Not supported: HTTP/2, upgrades, 100-continue. Trailers are read, bounded and discarded.
#![forbid(unsafe_code)]

mod read;
mod write;

pub use read::{Head, Limits, ParseError, Part, Reader, Side, StartLine};
pub use write::{chunk, request, response, LAST_CHUNK};
