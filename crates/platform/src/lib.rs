//! The planner as a node that speaks the platform's protocol.
//!
//! [`Platform`] connects the planner core to the platform, as the service of `pewtergap-control` connects it to the
//! proxies' own protocol. It converts messages to events and the core's actions to messages, and makes no decision
//! about calls, routes, importance, weights or health. The rest is in modules without I/O: startup configuration
//! (`boot`, `config`), following discovery and validating its answers (`discovery`, `server_list`, `start_times`), the roles of
//! connected peers (`peers`) and the table each stream holds (`tables`).
#![forbid(unsafe_code)]

mod boot;
mod config;
mod discovery;
mod node;
mod peers;
mod server_list;
mod start_times;
mod tables;

pub use boot::Boot;
pub use config::{Config, Limits};
pub use node::Platform;
