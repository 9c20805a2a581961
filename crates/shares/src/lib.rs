//! Budgets that all planners keep together and each uses a part of, without asking anybody at the use: escrow
//! (O'Neil 1986; bounded counters, Balegas and others 2015). No I/O and no clock: moments are told.
//!
//! - `Budget`: who holds how much. It is part of the agreed record, so that a transfer is one step there: the sum of all
//!   holdings and of what is free is the whole, always.
//! - `Purse`: a planner's own: how much of its holding it may use now, and when it hands some back.
//! - `Dealer`: the leader's: who gets what is free, and from whom something is taken that is not heard any more.
//!
//! A holding has a base, which stays its planner's for as long as that belongs, and more, which follows demand. The more
//! may be used while the planner's own clock says that the record may not have moved it; the base for as long as its disk is
//! its planner's: whoever takes a planner out stops it first. What was in use
//! outlasts its planner: proxies go on by its last tables. So nothing that is taken back, or handed back, goes to anybody
//! before `lingers` is over, after which no server that was cold under those tables is still cold.
#![forbid(unsafe_code)]

mod budget;
mod dealer;
mod purse;

pub use budget::{Budget, Holding, Shift, TOTAL_UNITS};
pub use dealer::BudgetAllocator;
pub use purse::LocalShare;

use pewtergap_time::Span;

/// How long a planner that is not heard goes on with what follows demand, and what it caused outlasts that.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetConfig {
    /// From before its last confirmed read of the record.
    pub share_validity: Span,
    /// Longer than any server stays cold, and the way of a table to its proxies.
    pub effect_timeout: Span,
    /// By which part of it a clock may be fast or slow.
    pub max_clock_drift: f64,
    /// Planners that the fleet is meant to have: each has its base kept for it.
    pub planner_count: u64,
}

impl BudgetConfig {
    /// Half of the budget is parted evenly for good; the other half follows demand.
    pub fn base_units(&self) -> u64 {
        TOTAL_UNITS / (2 * self.planner_count.max(1))
    }

    /// By the holder's clock.
    fn believed(&self) -> Span {
        self.share_validity.times(1.0 - self.max_clock_drift)
    }

    /// By the giver's clock, from when it heard the holder last until what that one caused is over.
    pub fn reclaim_delay(&self) -> Span {
        (self.share_validity + self.effect_timeout).times(1.0 + 2.0 * self.max_clock_drift)
    }
}

/// What each should have of the part that follows demand. Nobody's demand known: even parts.
pub fn fair_share(pool: u64, demands: &[f64], at: usize) -> u64 {
    let all: f64 = demands.iter().map(|demand| demand.max(0.0)).sum();
    match demands.get(at) {
        Some(demand) if all > 0.0 => (pool as f64 * demand.max(0.0) / all) as u64,
        Some(_) => pool / demands.len() as u64,
        None => 0,
    }
}
