//! A proxy that follows the tables published by a planner and makes no load balancing decisions of its own.
//!
//! [`Proxy`] is a node. It distributes calls by weight, keeps its tables when the stream to the planner breaks, admits
//! calls according to the admission levels, retries only as ordered and mutating calls only if the try provably never
//! ran, ejects a server after a number of consecutive failures, and reports statistics to its planner.
//!
//! [`proxy_nodes`] builds a proxy of several nodes, to use several cores.
//!
//! Not implemented: choosing servers by load, hedging, caching, HTTP/2, TLS.
#![forbid(unsafe_code)]

mod calls;
mod clients;
mod multi_worker;
mod node;
mod picker;
mod planner_client;
mod servers;
mod shared_state;
mod stream;
pub mod tables;
mod worker;

pub use multi_worker::{proxy_nodes, ACCEPTOR_ID};
pub use node::{EjectionConfig, FrontConfig, Proxy, Route, ENDED_HEADER, NOT_RUN_HEADER};
pub use shared_state::{least_busy, SharedState, WorkerStatus};
pub use stream::ProxyConfig;
