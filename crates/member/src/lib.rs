//! One planner among others: links between members, its disk, the agreed record, and the service beside it.
//!
//! It decides nothing on calls, tables or health: orders that are kept reach the planner module as observations. With
//! no other members named it is a cluster of one, the same code on its own disk.
#![forbid(unsafe_code)]

pub mod accounting;
pub mod admin;
mod disk;
mod member;
pub mod messages;
pub mod orders;
mod peers;
mod planner_node;
mod recovery;
pub mod rollout;
mod sharing;
pub mod sharing_messages;
mod slices;

pub use accounting::AccountingConfig;
pub use member::{
    founders_digest, BudgetView, DutyConfig, Member, MemberConfig, MemberEvent, MemberView, Reply, Request,
    FIRST_TIMER, MAX_MEMBERS, MAX_OBSERVERS, MEMBER_LISTENER,
};
pub use orders::PlannerSet;
pub use planner_node::PlannerNode;
pub use recovery::{recover_single_member, Recovered};
pub use sharing::{SharingConfig, COLD_BUDGET};
pub use slices::probe_duty_names;
