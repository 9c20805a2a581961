//! The planner of pewtergap: turns events into actions, without any network, clock or I/O of its own.
//!
//! Create a [`Planner`], pass it each batch of [`Event`]s with the batch's [`Moment`], and execute the
//! returned [`Action`]s in order. The decisions are in `decide.rs`,
//! `subsets.rs`, `grouping.rs`, `cold_servers.rs` and `message_budget.rs`.
#![forbid(unsafe_code)]

mod channel;
mod cold_servers;
mod decide;
mod grouping;
mod histogram;
pub mod interner;
mod message_budget;
mod subsets;
mod types;
mod weights;

pub use pewtergap_time as time;

pub use histogram::Histogram;
pub use time::{Moment, Span};
pub use types::*;
