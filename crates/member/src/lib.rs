//! One planner among others: links between members, its disk, the agreed record, and the service beside it.
//!
//! It decides nothing on calls, tables or health: orders that are kept reach the planner module as observations. With
//! no other members named it is a cluster of one, the same code on its own disk.
#![forbid(unsafe_code)]

pub mod admin;
mod alone;
pub mod books;
mod disk;
mod member;
pub mod orders;
mod peers;
pub mod releaser;
pub mod shared;
mod sharing;
mod slices;
mod together;
pub mod words;

pub use alone::{alone, GoesOn};
pub use books::Receiver;
pub use member::{
    digest, Duties, Member, PartView, Post, Reply, Request, SeatView, Told, DOOR, MOST_MEMBERS,
    MOST_OBSERVERS, TIMERS,
};
pub use orders::Among;
pub use sharing::{Shares, COLD};
pub use slices::names as slice_names;
pub use together::Together;
