//! The planner as the platform runs it: a node that speaks the platform's protocol.
//!
//! [`Platform`] is one more way in and out of the module, beside the service of `pewtergap-control`. Messages
//! become events, orders become messages; it decides nothing of calls, routes, importance, weights or health.
//! What it settles by itself is in parts without I/O: what it is told at its start (`boot`, `config`), what of
//! discovery is believed (`discovery`, `server_list`), who stands behind a connection (`peers`), what each stream
//! holds (`tables`).
#![forbid(unsafe_code)]

mod boot;
mod config;
mod discovery;
mod node;
mod peers;
mod server_list;
mod tables;

pub use boot::Boot;
pub use config::{Config, Limits};
pub use node::Platform;
