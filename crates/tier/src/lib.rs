//! The tier as processes: a control machine (a member of the record that serves watches) and a planner that watches one
//! instead of being a member itself. Both are nodes: no socket, clock or thread.
//!
//! Not in here: agreement, words and machines of a watch, what an order means at a planner, decisions.
#![forbid(unsafe_code)]

mod control_machine;
pub mod keys;
mod planner_file;
mod watching_planner;

pub use control_machine::{ControlMachine, ControlMachineConfig};
pub use planner_file::{encode as encode_planner_file, PlannerFile};
pub use watching_planner::{WatchTargetConfig, WatchingPlanner};
