//! Counts that planners share: each tells its own part, numbered, and a read gives value, age and an interval that holds the
//! true value as of that age. No I/O and no clock: moments are told.
//!
//! How an interval can be true always, and not nearly: a part carries for each count the least and the most that it was
//! since the part before, which its receiver says that it has. A part is asked for; its time lies between when it was
//! asked for and when it came. So at any moment up to when the last part was asked for, the count was within the window of
//! whichever parts may have covered that moment. A read is of the latest moment that the parts of all who are heard cover.
//! Whoever is not heard widens it, to all that it may have.
//!
//! Parts are ordered by (start of their planner, number): repeats and old ones change nothing. A planner that came back is
//! another start, and its part takes the place of the old one; one that left for good no longer belongs and is left out.
#![forbid(unsafe_code)]

mod others;
mod own;

pub use others::{CountEstimate, PeerCounts};
pub use own::LocalCounts;

/// Counts that a part may have; more are left out, and told as left out.
pub const MAX_KEYS: usize = 1_024;
/// Planners whose parts are kept.
pub const MAX_PEERS: usize = 64;

/// A count in a part: what it is, and within what it was since the part before.
#[derive(Clone, Debug, PartialEq)]
pub struct CountEntry {
    pub key: String,
    pub value: f64,
    pub min: f64,
    pub max: f64,
}

/// What a planner says of itself when it asks for a part: what it has, of which start, and a number that comes back with the
/// answer. Without that a late answer would be taken for one that was made after the question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportRequest {
    pub token: u64,
    pub start: u64,
    pub last_sequence: u64,
}

/// What one planner tells another. Rows whose count did not change since the part before are left out.
#[derive(Clone, Debug, PartialEq)]
pub struct CountReport {
    pub token: u64,
    /// Which start of its planner.
    pub start: u64,
    pub sequence: u64,
    /// The part after which its windows begin; 0: it is whole, and says nothing of the time before.
    pub base_sequence: u64,
    pub entries: Vec<CountEntry>,
}
