//! Duties: what only one planner may do at a time. Who holds which is in the record; this decides when a holder may
//! act on it, and who is given what. No I/O and no clock: moments are told.
//!
//! - `Lease`: how long a holder believes that it holds, and how long whoever gives waits.
//! - `Desk`: a planner's own duties. It acts on none that its own clock says may have ended.
//! - `Giver`: the leader's view: who is heard, who has been steady, what to give and what to ask back.
//! - `Fence`: the highest number that was seen of each duty, at whatever a duty touches.
//!
//! A lease is the planner's, not the duty's: one renewal covers all that the record says it holds, and nothing of it is
//! written to any disk. The member that leads confirms by a round of a majority that it leads; a later leader begins
//! to count when it begins to lead, after that round, so no lease is over before the holder's own clock has ended it.
#![forbid(unsafe_code)]

mod desk;
mod fence;
mod giver;

pub use desk::{DutyAction, DutyState, HeldDuties};
pub use fence::Fence;
pub use giver::{DutyAssigner, DutyAssignment, Move, Planner};

use pewtergap_time::Span;

/// Duties of one cluster.
pub const MAX_DUTIES: usize = 1_024;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseConfig {
    pub duration: Span,
    /// Between two renewals.
    pub renew_interval: Span,
    /// The largest pause of a planner, or of the way to the leader, that costs it nothing.
    pub max_pause: Span,
    /// By which part of it a clock may be fast or slow.
    pub max_clock_drift: f64,
}

impl LeaseConfig {
    /// What does not fit together, if anything.
    pub fn validate(&self) -> Result<(), String> {
        if !(0.0..0.2).contains(&self.max_clock_drift) {
            return Err(format!("drift {} is not a part between 0 and 0.2", self.max_clock_drift));
        }
        if self.renew_interval.0 == 0 {
            return Err("renew: a span above 0 was expected".into());
        }
        let needed = self.renew_interval + self.renew_interval + self.max_pause;
        if needed > self.holder_validity() {
            return Err(format!(
                "length {} holds for {} by a clock that may be off by {}%: less than two renewals of {} and a pause of {}",
                self.duration,
                self.holder_validity(),
                self.max_clock_drift * 100.0,
                self.renew_interval,
                self.max_pause
            ));
        }
        Ok(())
    }

    /// By the holder's clock, from before its request left: a slow clock takes at most `length` over it.
    pub fn holder_validity(&self) -> Span {
        self.duration.times(1.0 - self.max_clock_drift)
    }

    /// By the giver's clock, from when it heard the request: a fast clock takes at least `length` over it.
    pub fn assigner_wait(&self) -> Span {
        self.duration.times(1.0 + self.max_clock_drift)
    }
}
