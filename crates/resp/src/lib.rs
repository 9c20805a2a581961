//! The platform's wire: RESP2 arrays of bulk strings, and the messages in them in the house's words. No I/O.
//!
//! `array` reads and writes arrays within stated bounds; `words` turns them into what was said and back. The
//! platform's names for things (sidecar, ticket, kind) end here.
#![forbid(unsafe_code)]

mod array;
mod messages;

pub use array::{write_array, Bounds, FramingError, Reader};
pub use messages::{nack, parse, pong, ConfigPart, InvalidMessage, Message, ServerStats, IN_FLIGHT, UTIL};
