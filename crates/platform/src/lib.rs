//! The planner as the platform runs it: a node that speaks the platform's protocol.
//!
//! [`Platform`] is one more way in and out of the module, beside the service of `pewtergap-control`. Messages
//! become events, orders become messages; it decides nothing of calls, routes, importance, weights or health.
//! What it settles by itself is in parts without I/O: what it is told at its start (`charge`), what of discovery
//! is believed (`discovery`, `roll`), who stands behind a connection (`peers`), what each stream holds (`books`).
#![forbid(unsafe_code)]

mod books;
mod charge;
mod discovery;
mod node;
mod peers;
mod roll;

pub use charge::{Charge, Limits};
pub use node::Platform;
