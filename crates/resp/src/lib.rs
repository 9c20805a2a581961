//! The platform's wire protocol: RESP2 arrays of bulk strings and the messages they carry. No I/O.
//!
//! `array` reads and writes arrays within configured bounds; `messages` converts them to typed messages and back.
//! The platform's own terms (sidecar, ticket, kind) are used in this crate only.
#![forbid(unsafe_code)]

mod array;
mod messages;

pub use array::{write_array, Bounds, FramingError, Reader};
pub use messages::{nack, parse, pong, ConfigPart, InvalidMessage, Message, ServerStats, IN_FLIGHT, UTIL};
