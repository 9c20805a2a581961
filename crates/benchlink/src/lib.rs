//! The simulator's wire, joined to the planner.
#![forbid(unsafe_code)]

mod wire;

pub use wire::Link;
