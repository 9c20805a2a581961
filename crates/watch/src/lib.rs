//! Distribution of the record to planners. A **control machine** applies the record (as a voter or observer)
//! and serves **watches**: each planner watches one machine and is kept up to date with everything in force
//! within its scope.
//!
//! Consensus, the meaning of orders and sockets are elsewhere. Keys are text whose first part names the kind
//! of subject; values are opaque bytes.
//!
//! **State, not log.** Each key is stored once, at the index of the record entry that last changed it. A
//! watcher is a cursor in that order, and what is left to send is everything after its cursor within its
//! scope. A thousand changes of one key are therefore sent as one, and there are no queues per watcher.
#![forbid(unsafe_code)]

pub mod cache;
pub mod chunks;
pub mod client;
pub mod config;
pub mod machine_selector;
pub mod messages;
pub mod roster;
pub mod scope;
pub mod server;
pub mod session;
pub mod state;
pub mod watch_client;
pub mod watch_server;

pub use cache::Cache;
pub use client::{ClientConfig, WatchEvent};
pub use config::WatchConfig;
pub use roster::{InForce, Roster};
pub use scope::Scope;
pub use server::WatchServerStats;
pub use state::SavedState;
pub use watch_client::WatchClient;
pub use watch_server::WatchServer;
