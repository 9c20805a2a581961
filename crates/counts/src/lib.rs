//! Counts shared between planners: each reports its own under sequence numbers, and a read yields a value, its age and an
//! interval that contains the true value as of that age. No I/O and no clock: the current time is a parameter.
//!
//! Why the interval always holds: for each count, a report carries the minimum and maximum since the previous report that
//! its receiver confirms to have. Reports are requested, so the time of one lies between its request and its arrival. At
//! any time before the last request the count was therefore within the ranges of the reports that may cover that time. A
//! read is for the latest time covered by the reports of all peers in contact. A peer out of contact widens the interval
//! to everything its count may be.
//!
//! Reports are ordered by (start of their planner, sequence): duplicates and old ones change nothing. A planner that comes
//! back has another start and its report replaces the old one; one that left for good is no longer a member.
#![forbid(unsafe_code)]

mod local_counts;
mod peer_counts;

pub use local_counts::LocalCounts;
pub use peer_counts::{CountEstimate, PeerCounts};

/// Counts in one report; further ones are omitted and counted as such.
pub const MAX_KEYS: usize = 1_024;
/// Planners whose reports are kept.
pub const MAX_PEERS: usize = 64;

/// A count in a report: its value and its range since the previous report.
#[derive(Clone, Debug, PartialEq)]
pub struct CountEntry {
    pub key: String,
    pub value: f64,
    pub min: f64,
    pub max: f64,
}

/// A request for a report: the last report the requester has, of which start, and a token that the answer
/// repeats. Without the token a late answer would pass for one made after the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportRequest {
    pub token: u64,
    pub start: u64,
    pub last_sequence: u64,
}

/// One planner's report to another. Counts that did not change since the base report are omitted.
#[derive(Clone, Debug, PartialEq)]
pub struct CountReport {
    pub token: u64,
    /// The start number of the reporting planner.
    pub start: u64,
    pub sequence: u64,
    /// The report at which the ranges begin; 0: the report is complete and says nothing about the time
    /// before.
    pub base_sequence: u64,
    pub entries: Vec<CountEntry>,
}
