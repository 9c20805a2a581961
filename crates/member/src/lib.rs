//! A planner as a member of a cluster: connections between members, its state file, the replicated record,
//! and the planner service beside it.
//!
//! This crate decides nothing about calls, tables or health: committed orders reach the planner as input
//! events. Without other members it is a cluster of one, running the same code on its own disk.
#![forbid(unsafe_code)]

pub mod accounting;
pub mod admin;
mod member;
pub mod messages;
pub mod orders;
mod peers;
mod planner_node;
mod probe_slices;
mod recovery;
pub mod rollout;
mod sharing;
pub mod sharing_messages;
mod state_file;

pub use accounting::AccountingConfig;
pub use member::{
    founders_digest, BudgetView, DutyConfig, Member, MemberConfig, MemberEvent, MemberView, Reply, Request,
    FIRST_TIMER, MAX_MEMBERS, MAX_OBSERVERS, MEMBER_LISTENER,
};
pub use orders::PlannerSet;
pub use planner_node::PlannerNode;
pub use probe_slices::probe_duty_names;
pub use recovery::{recover_single_member, Recovered};
pub use sharing::{SharingConfig, COLD_BUDGET};
