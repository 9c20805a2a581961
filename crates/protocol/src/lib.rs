//! The protocol between planner and proxy, specified in docs/protocol.md.
//!
//! Only messages and framing: no sockets, no time, no handling of messages.
#![forbid(unsafe_code)]

mod frames;
pub mod load_report;
mod messages;

pub use frames::{
    encode, largest_beyond_limit, FrameReader, FramingError, Validate, HEADER_LEN, MAX_INCOMPLETE_MEMORY,
    RETAINED_CAPACITY,
};
pub use messages::*;
