//! A planner's own part: how much of it may be used now, and what of it is handed back.
//!
//! | state | input | next | effect |
//! | --- | --- | --- | --- |
//! | not claimed in this start | belongs | | claim; the base may be used |
//! | claimed, read confirmed | | whole | all of it may be used |
//! | whole | `holds` over without a read | base | the base may be used |
//! | whole | more than its due by far | lowering, to its due | no more than that may be used |
//! | lowering | `lingers` over | | that is handed back |
//! | lowering | due again, nothing on its way | whole | all of it may be used |
//! | lowering | the record says so | whole | |

use crate::{BudgetConfig, Holding, Shift};
use pewtergap_time::{Moment, Span};

/// More than its due by so many times, and by so much, before anything is handed back: demand swings.
const FAR: f64 = 1.25;
const MUCH: u64 = 10_000;
/// A command that is not seen in the record is given again after this.
const AGAIN: Span = Span::millis(1_000);

#[derive(Clone, Debug)]
struct Lowering {
    to: u64,
    since: Moment,
    given: Option<Moment>,
}

#[derive(Clone, Debug)]
pub struct LocalShare {
    terms: BudgetConfig,
    own: u64,
    start: u64,
    /// Founders, and whether this is one: a base is kept for each until it claims it.
    founders: u64,
    founded: bool,
    until: Moment,
    lowering: Option<Lowering>,
    claimed: Option<Moment>,
}

impl LocalShare {
    pub fn new(terms: BudgetConfig, own: u64, start: u64, founders: u64, founded: bool) -> LocalShare {
        LocalShare { terms, own, start, founders, founded, until: Moment(0), lowering: None, claimed: None }
    }

    /// A read of the record was confirmed and is applied here; it had been asked for at this moment.
    pub fn on_renewed(&mut self, asked: Moment) {
        self.until = self.until.max(asked + self.terms.believed());
    }

    /// How much may be used at this very moment.
    pub fn usable_units(&self, now: Moment, holding: Option<&Holding>) -> u64 {
        let Some(holding) = holding else { return if self.founded { self.terms.base_units() } else { 0 } };
        if holding.start != self.start || now >= self.until {
            return holding.base;
        }
        let most = self.lowering.as_ref().map_or(u64::MAX, |lowering| lowering.to);
        holding.base + holding.extra.min(most)
    }

    /// What the record is to be told now. `due`: of the part that follows demand, where demands are known.
    pub fn next_shift(&mut self, now: Moment, holding: Option<&Holding>, due: Option<u64>) -> Option<Shift> {
        let Some(held) = holding.filter(|held| held.start == self.start) else {
            self.lowering = None;
            if self.claimed.is_some_and(|at| now.since(at) < AGAIN) {
                return None;
            }
            self.claimed = Some(now);
            let (by, start, founders, founded) = (self.own, self.start, self.founders, self.founded);
            return Some(Shift::Claim { by, start, base: self.terms.base_units(), founders, founded });
        };
        let far = |due: u64| held.extra as f64 > due as f64 * FAR && held.extra - due > MUCH;
        match &mut self.lowering {
            None => {
                let to = due.filter(|due| far(*due))?;
                self.lowering = Some(Lowering { to, since: now, given: None });
                None
            }
            Some(lowering) if held.extra <= lowering.to => {
                self.lowering = None;
                None
            }
            // Nothing has left: it may be used again at once.
            Some(lowering) if lowering.given.is_none() && due.is_some_and(|due| !far(due)) => {
                self.lowering = None;
                None
            }
            Some(lowering) => {
                let over = now.since(lowering.since)
                    >= self.terms.effect_timeout.times(1.0 + self.terms.max_clock_drift);
                if !over || lowering.given.is_some_and(|at| now.since(at) < AGAIN) {
                    return None;
                }
                lowering.given = Some(now);
                let units = held.extra - lowering.to;
                Some(Shift::Back { from: self.own, units, number: held.version })
            }
        }
    }
}
