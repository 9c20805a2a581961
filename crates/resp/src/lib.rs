//! The platform's wire: RESP2 arrays of bulk strings, and the messages in them in the house's words. No I/O.
//!
//! `array` reads and writes arrays within stated bounds; `words` turns them into what was said and back. The
//! platform's names for things (sidecar, ticket, kind) end here.
#![forbid(unsafe_code)]

mod array;
mod words;

pub use array::{write, Bounds, Reader, Wrong};
pub use words::{nack, pong, read, Part, Said, Spoilt, Sums, IN_HAND, UTIL};
