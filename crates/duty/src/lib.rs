//! Duties: work that only one planner may do at a time. The record says who holds which; this crate decides when a
//! holder may act on one and who gets it next. No I/O and no clock: the current time is a parameter.
//!
//! - `LeaseConfig`: how long a holder trusts its lease, and how long the leader waits before it reassigns.
//! - `HeldDuties`: a planner's own duties. It acts on none whose lease may have expired by its own clock.
//! - `DutyAssigner`: the leader's view: who is in contact, who is stable, what to assign and what to ask back.
//! - `Fence`: the highest fencing token seen of each duty, kept by every resource that a duty acts on.
//!
//! A lease belongs to a planner, not to a duty: one renewal covers everything the record assigns to it, and nothing is
//! written to disk for it. The leader confirms a renewal by a round of a majority. A later leader starts counting when
//! its term begins, which is after that round, so no lease is considered expired before the holder's own clock ended it.
#![forbid(unsafe_code)]

mod assigner;
mod fence;
mod held_duties;

pub use assigner::{DutyAssigner, DutyAssignment, Move, Planner};
pub use fence::Fence;
pub use held_duties::{DutyAction, DutyState, HeldDuties};

use pewtergap_time::Span;

/// Duties of one cluster.
pub const MAX_DUTIES: usize = 1_024;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseConfig {
    pub duration: Span,
    /// Between two renewals.
    pub renew_interval: Span,
    /// The longest pause of a planner, or of its path to the leader, that costs it no duty.
    pub max_pause: Span,
    /// The fraction by which a clock may run fast or slow.
    pub max_clock_drift: f64,
}

impl LeaseConfig {
    /// Reports values that contradict each other.
    pub fn validate(&self) -> Result<(), String> {
        if !(0.0..0.2).contains(&self.max_clock_drift) {
            return Err(format!("drift {} is not between 0 and 0.2", self.max_clock_drift));
        }
        if self.renew_interval.0 == 0 {
            return Err("renew: expected a duration above 0".into());
        }
        let needed = self.renew_interval + self.renew_interval + self.max_pause;
        if needed > self.holder_validity() {
            return Err(format!(
                "a lease of {} is valid for {} with a clock drift of {}%: less than two renewal intervals of {} and a pause of {}",
                self.duration,
                self.holder_validity(),
                self.max_clock_drift * 100.0,
                self.renew_interval,
                self.max_pause
            ));
        }
        Ok(())
    }

    /// By the holder's clock, counted from before its request was sent: even a slow clock ends it within
    /// `duration`.
    pub fn holder_validity(&self) -> Span {
        self.duration.times(1.0 - self.max_clock_drift)
    }

    /// By the leader's clock, counted from the arrival of the request: even a fast clock waits at least
    /// `duration`.
    pub fn assigner_wait(&self) -> Span {
        self.duration.times(1.0 + self.max_clock_drift)
    }
}
