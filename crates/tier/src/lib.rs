//! Nodes of the distribution tier: a control machine, which is a member of the record and serves watches,
//! and a planner that watches one instead of being a member itself. Neither uses sockets, clocks or threads.
//!
//! Consensus, the watch protocol, the effect of orders on a planner and its decisions are in other crates.
#![forbid(unsafe_code)]

mod control_machine;
pub mod keys;
mod planner_file;
mod watching_planner;

pub use control_machine::{ControlMachine, ControlMachineConfig};
pub use planner_file::{encode as encode_planner_file, PlannerFile};
pub use watching_planner::{WatchTargetConfig, WatchingPlanner};
