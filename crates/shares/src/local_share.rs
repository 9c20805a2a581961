//! A planner's side of a budget: how much of its holding it may use now, and what it returns.
//!
//! | state | input | next state | effect |
//! | --- | --- | --- | --- |
//! | not claimed in this start | is a member | | claims; the base may be used |
//! | claimed, read confirmed | | full | the whole holding may be used |
//! | full | `share_validity` passed without a read | base | the base may be used |
//! | full | far more than its fair share | reducing to the fair share | no more than that may be used |
//! | reducing | `effect_timeout` passed | | the difference is returned |
//! | reducing | fair share again, nothing returned yet | full | the whole holding may be used |
//! | reducing | the record shows the reduction | full | |

use crate::{BudgetConfig, Holding, Shift};
use pewtergap_time::{Moment, Span};

/// Units are returned only beyond this multiple of the fair share and this excess, because demand fluctuates.
const RETURN_RATIO: f64 = 1.25;
const RETURN_MIN_UNITS: u64 = 10_000;
/// A command that does not appear in the record is repeated after this time.
const RETRY_INTERVAL: Span = Span::millis(1_000);

#[derive(Clone, Debug)]
struct Reduction {
    target: u64,
    started_at: Moment,
    returned_at: Option<Moment>,
}

#[derive(Clone, Debug)]
pub struct LocalShare {
    config: BudgetConfig,
    planner: u64,
    start: u64,
    /// The number of founders and whether this planner is one; a base is reserved for each until it is
    /// claimed.
    founder_count: u64,
    is_founder: bool,
    valid_until: Moment,
    reduction: Option<Reduction>,
    claimed_at: Option<Moment>,
}

impl LocalShare {
    pub fn new(
        config: BudgetConfig,
        planner: u64,
        start: u64,
        founder_count: u64,
        is_founder: bool,
    ) -> LocalShare {
        LocalShare {
            config,
            planner,
            start,
            founder_count,
            is_founder,
            valid_until: Moment(0),
            reduction: None,
            claimed_at: None,
        }
    }

    /// A read of the record was confirmed and applied; it had been requested at `requested_at`.
    pub fn on_renewed(&mut self, requested_at: Moment) {
        self.valid_until = self.valid_until.max(requested_at + self.config.holder_validity());
    }

    /// How much may be used right now.
    pub fn usable_units(&self, now: Moment, holding: Option<&Holding>) -> u64 {
        let Some(holding) = holding else {
            return if self.is_founder { self.config.base_units() } else { 0 };
        };
        if holding.start != self.start || now >= self.valid_until {
            return holding.base;
        }
        let max_extra = self.reduction.as_ref().map_or(u64::MAX, |reduction| reduction.target);
        holding.base + holding.extra.min(max_extra)
    }

    /// The next shift to write to the record. `fair_share`: the planner's share of the units that follow demand, if
    /// demands are known.
    pub fn next_shift(
        &mut self,
        now: Moment,
        holding: Option<&Holding>,
        fair_share: Option<u64>,
    ) -> Option<Shift> {
        let Some(holding) = holding.filter(|holding| holding.start == self.start) else {
            self.reduction = None;
            if self.claimed_at.is_some_and(|at| now.since(at) < RETRY_INTERVAL) {
                return None;
            }
            self.claimed_at = Some(now);
            let (by, start, founders, founded) =
                (self.planner, self.start, self.founder_count, self.is_founder);
            return Some(Shift::Claim { by, start, base: self.config.base_units(), founders, founded });
        };
        let far_above = |fair_share: u64| {
            holding.extra as f64 > fair_share as f64 * RETURN_RATIO
                && holding.extra - fair_share > RETURN_MIN_UNITS
        };
        match &mut self.reduction {
            None => {
                let target = fair_share.filter(|fair_share| far_above(*fair_share))?;
                self.reduction = Some(Reduction { target, started_at: now, returned_at: None });
                None
            }
            Some(reduction) if holding.extra <= reduction.target => {
                self.reduction = None;
                None
            }
            // Nothing was returned yet, so the units may be used again at once.
            Some(reduction)
                if reduction.returned_at.is_none()
                    && fair_share.is_some_and(|fair_share| !far_above(fair_share)) =>
            {
                self.reduction = None;
                None
            }
            Some(reduction) => {
                let effects_ended = now.since(reduction.started_at)
                    >= self.config.effect_timeout.times(1.0 + self.config.max_clock_drift);
                if !effects_ended || reduction.returned_at.is_some_and(|at| now.since(at) < RETRY_INTERVAL) {
                    return None;
                }
                reduction.returned_at = Some(now);
                let units = holding.extra - reduction.target;
                Some(Shift::Back { from: self.planner, units, number: holding.version })
            }
        }
    }
}
