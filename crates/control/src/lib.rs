//! The planner's service: what stands between the module's decisions and the sockets.
//!
//! [`Service`] is a node (see `pewtergap-node`). It tells the module what happens and carries out what the
//! module orders. What it must settle by itself is in small machines without I/O: which message of the channel
//! leaves next (`channel`), what of the list is believed (`watch`, `roll`), which reports are taken in when
//! (`intake`), how orders become versions of tables (`tables`), which probe is under way (`probes`).
#![forbid(unsafe_code)]

mod admin;
pub mod channel;
pub mod intake;
mod kept;
pub mod probes;
pub mod roll;
mod service;
mod sight;
mod standing;
mod streams;
pub mod tables;
pub mod watch;

pub use admin::{Admin, Asked};
pub use pewtergap_planner::ProbeOutcome;
pub use probes::Probing;
pub use service::{Charge, Doors, DrainTold, Hint, ProbeOver, Service};
pub use sight::{Met, Sight};
pub use standing::{Standing, Stands};
pub use streams::Reports;
pub use watch::Source;
