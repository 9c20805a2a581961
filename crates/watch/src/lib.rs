//! The tier between the record and the planners. A **control machine** applies the record (it votes or observes) and serves
//! **watches**: a planner holds one, at one machine, and is kept up to date with all that is in force within its scope.
//!
//! Not in here: agreement, what an order means, sockets. Keys are text whose first part says what they are about, values
//! are bytes that only their reader understands.
//!
//! **State, not log.** Each key stands once, at the place of the record that changed it last. A watcher is a cursor in
//! that order: what waits for it is what stands beyond its cursor within its scope, so a thousand changes of one key wait
//! as one, and nothing is queued for anybody.
#![forbid(unsafe_code)]

pub mod cache;
pub mod choice;
pub mod client;
pub mod config;
pub mod messages;
pub mod pieces;
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
