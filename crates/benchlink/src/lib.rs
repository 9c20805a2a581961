//! The simulator's wire, joined to the planner.
#![forbid(unsafe_code)]

mod start;
mod wire;

pub use wire::Link;
