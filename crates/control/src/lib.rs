//! The planner's service: what stands between the module's decisions and the sockets.
//!
//! [`Service`] is a node (see `pewtergap-node`). It tells the module what happens and carries out what the
//! module orders. What it must settle by itself is in small machines without I/O: which message of the channel
//! leaves next (`channel`), what of the list is believed (`list_watch`, `endpoints`), which reports are taken in when
//! (`report_queue`), how orders become versions of tables (`tables`), which probe is under way (`probes`).
#![forbid(unsafe_code)]

mod admin;
pub mod channel;
pub mod endpoints;
mod kept;
pub mod list_watch;
mod overrides;
pub mod probes;
pub mod report_queue;
mod service;
mod streams;
pub mod tables;
mod traffic;

pub use admin::{AdminRequest, AdminServer};
pub use list_watch::ListSource;
pub use overrides::{OverrideChange, Overrides};
pub use pewtergap_planner::ProbeOutcome;
pub use probes::ProbeConfig;
pub use service::{DrainNotice, ListenConfig, PeerHint, ProbeResult, Service, ServiceConfig};
pub use streams::ReportConfig;
pub use traffic::{ServerTotals, TrafficStats};
