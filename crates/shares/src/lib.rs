//! Budgets shared by all planners, each of which uses its part without asking anybody at the time of use: escrow (O'Neil
//! 1986) and bounded counters (Balegas et al. 2015). No I/O and no clock: the current time is a parameter.
//!
//! - `Budget`: who holds how much. It is part of the replicated record, so a transfer is atomic: holdings and free units
//!   always add up to the total.
//! - `LocalShare`: a planner's own side: how much of its holding it may use now, and when it returns some.
//! - `BudgetAllocator`: the leader's side: who gets free units, and who loses units because it is out of contact.
//!
//! A holding has a base, which stays with its planner for as long as it is a member, and extra units, which follow
//! demand. The extra units may be used while, by the planner's own clock, the record cannot have moved them; the base
//! may be used as long as the disk belongs to the planner, so whoever removes a planner has to stop it first. What was
//! in use outlasts its planner, because proxies keep working with its last tables. Units that are taken back or returned
//! are therefore not reused before `effect_timeout` has passed; after that no server that was cold under those tables is
//! still cold.
#![forbid(unsafe_code)]

mod allocator;
mod budget;
mod local_share;

pub use allocator::BudgetAllocator;
pub use budget::{Budget, Holding, Shift, TOTAL_UNITS};
pub use local_share::LocalShare;

use pewtergap_time::Span;

/// How long a planner out of contact keeps using its extra units, and how long their effect lasts after that.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetConfig {
    /// Counted from before its last confirmed read of the record.
    pub share_validity: Span,
    /// Longer than any server stays cold plus the delivery of a table to its proxies.
    pub effect_timeout: Span,
    /// The fraction by which a clock may run fast or slow.
    pub max_clock_drift: f64,
    /// Planners the fleet is configured for; a base is reserved for each.
    pub planner_count: u64,
}

impl BudgetConfig {
    /// Half of the budget is divided evenly for good; the other half follows demand.
    pub fn base_units(&self) -> u64 {
        TOTAL_UNITS / (2 * self.planner_count.max(1))
    }

    /// By the holder's clock.
    fn holder_validity(&self) -> Span {
        self.share_validity.times(1.0 - self.max_clock_drift)
    }

    /// By the leader's clock: from the last contact with the holder until its effects have ended.
    pub fn reclaim_delay(&self) -> Span {
        (self.share_validity + self.effect_timeout).times(1.0 + 2.0 * self.max_clock_drift)
    }
}

/// A planner's share of the units that follow demand; without any known demand all shares are equal.
pub fn fair_share(pool: u64, demands: &[f64], at: usize) -> u64 {
    let total: f64 = demands.iter().map(|demand| demand.max(0.0)).sum();
    match demands.get(at) {
        Some(demand) if total > 0.0 => (pool as f64 * demand.max(0.0) / total) as u64,
        Some(_) => pool / demands.len() as u64,
        None => 0,
    }
}
