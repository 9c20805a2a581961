//! The planner of pewtergap: events in, orders out, with no wire, clock or I/O of its own.
//!
//! Build a [`Planner`], hand it each batch of [`Event`]s with the batch's [`Moment`], and carry out the
//! [`Order`]s in the order given. All decisions are in `decide.rs`.
#![forbid(unsafe_code)]

mod decide;
mod histogram;
pub mod interner;
mod shares;
mod types;

pub use pewtergap_time as time;

pub use histogram::Histogram;
pub use time::{Moment, Span};
pub use types::*;
