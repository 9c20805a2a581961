//! The planner's service, which connects the planner core to its sockets.
//!
//! [`Service`] is a node (see `pewtergap-node`). It passes events to the planner core and executes the core's actions.
//! Its own logic is in state machines without I/O: pacing of messages to proxies (`channel`), following the server list
//! (`list_watch`, `endpoints`), pacing of reports (`report_queue`), versions of tables (`tables`) and probes in progress
//! (`probes`).
#![forbid(unsafe_code)]

mod admin;
pub mod channel;
pub mod endpoints;
pub mod list_watch;
mod overrides;
pub mod probes;
pub mod report_queue;
mod saved_list;
mod service;
pub mod streams;
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
