//! Connects planner instances to the simulator's line protocol.
#![forbid(unsafe_code)]

mod wire;

pub use wire::Host;
