//! A plain proxy: it obeys the tables that a planner publishes and decides nothing of its own.
//!
//! [`Proxy`] is a node. It picks evenly by weight, keeps its tables when its stream breaks, lets in what the
//! levels say, tries again only when ordered and only on proof for what must not run twice, keeps away from a
//! server after so many failures of its own in a row, and tells its planner what it met, in sums.
//!
//! For several cores [`proxy_nodes`] makes it of several nodes.
//!
//! Not in here: choosing servers by load, hedging, caching, HTTP/2, TLS.
#![forbid(unsafe_code)]

mod board;
mod calls;
mod house;
mod node;
mod orders;
mod picks;
mod servers;
mod stream;
pub mod tables;
mod worker;

pub use board::{least_busy, SharedState, WorkerStatus};
pub use house::{proxy_nodes, FRONT_ID};
pub use node::{EjectionConfig, FrontConfig, Proxy, Route, ENDED_HEADER, NOT_RUN_HEADER};
pub use stream::ProxyConfig;
