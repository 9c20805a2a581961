//! The tier as processes: a control machine (a member of the record that serves watches) and a planner that watches one
//! instead of being a member itself. Both are nodes: no socket, clock or thread.
//!
//! Not in here: agreement, words and machines of a watch, what an order means at a planner, decisions.
#![forbid(unsafe_code)]

mod kept;
pub mod keys;
mod machine;
mod planner;

pub use kept::{write as write_kept, Kept};
pub use machine::{ControlMachine, Home};
pub use planner::{Watches, WatchingPlanner};
