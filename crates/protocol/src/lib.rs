//! The main protocol between planner and proxy. docs/protocol.md is its specification.
//!
//! Not in here: sockets, time, and what either side does with a message.
#![forbid(unsafe_code)]

mod frames;
pub mod load_report;
mod messages;

pub use frames::{encode, FrameReader, FramingError, Validate, HEADER_LEN};
pub use messages::*;
