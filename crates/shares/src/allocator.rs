//! The leader's side of a budget: hands out free units and takes units back from planners that are out of contact.
//!
//! As with leases, a new leader counts contact from the start of its term, since anything its predecessor confirmed was
//! confirmed before. The caller must not renew a planner while a command that takes units from it is in flight.

use crate::{fair_share, Budget, BudgetConfig, Shift};
use pewtergap_time::Moment;
use std::collections::BTreeMap;

/// A smaller transfer is not worth a command.
const MIN_SHIFT_UNITS: u64 = 5_000;

#[derive(Clone, Debug)]
pub struct BudgetAllocator {
    config: BudgetConfig,
    leading_since: Moment,
    last_contact: BTreeMap<u64, Moment>,
    /// When a holder was first seen not to be a member any more.
    departed: BTreeMap<u64, Moment>,
}

impl BudgetAllocator {
    pub fn new(now: Moment, config: BudgetConfig) -> BudgetAllocator {
        BudgetAllocator {
            config,
            leading_since: now,
            last_contact: BTreeMap::new(),
            departed: BTreeMap::new(),
        }
    }

    /// A planner requested a read of the record and will rely on it.
    pub fn on_renewal(&mut self, now: Moment, planner: u64) {
        self.last_contact.insert(planner, now);
    }

    /// Whether everything the planner may still cause has ended, by any clock within the drift limit.
    fn share_expired(&self, now: Moment, planner: u64) -> bool {
        let last_contact =
            self.last_contact.get(&planner).map_or(self.leading_since, |at| (*at).max(self.leading_since));
        now.since(last_contact) > self.config.reclaim_delay()
    }

    /// The next shift to write, one at a time. `members`: the planners that may hold a part, with their demand
    /// if known.
    pub fn next_shift(
        &mut self,
        now: Moment,
        budget: &Budget,
        members: &BTreeMap<u64, Option<f64>>,
    ) -> Option<Shift> {
        let (reclaim_delay, holdings) = (self.config.reclaim_delay(), &budget.holdings);
        self.last_contact.retain(|id, at| holdings.contains_key(id) || now.since(*at) <= reclaim_delay);
        self.departed.retain(|id, _| holdings.contains_key(id) && !members.contains_key(id));
        for id in holdings.keys().filter(|id| !members.contains_key(id)) {
            self.departed.entry(*id).or_insert(now);
        }
        for (id, holding) in holdings {
            if !self.share_expired(now, *id) {
                continue;
            }
            if let Some(departed_at) = self.departed.get(id) {
                // A base needs no lease: it may have been in use until its disk was abandoned, in contact or
                // not. In explored seed 159 a planner that resumed after a pause used its base and was wiped,
                // and its units were given away at once.
                if now.since(*departed_at) > reclaim_delay {
                    return Some(Shift::End { of: *id, number: holding.version });
                }
                continue;
            }
            if holding.extra > 0 {
                return Some(Shift::Back { from: *id, units: holding.extra, number: holding.version });
            }
        }
        let is_live = |id: &u64| {
            self.last_contact.get(id).is_some_and(|at| now.since(*at) <= self.config.share_validity)
        };
        let live: Vec<(u64, Option<f64>)> = members
            .iter()
            .filter(|member| is_live(member.0) && holdings.contains_key(member.0))
            .map(|member| (*member.0, *member.1))
            .collect();
        // A planner whose demand is unknown counts as the average of the others.
        let known_demands: Vec<f64> = live.iter().filter_map(|planner| planner.1).collect();
        let mean = known_demands.iter().sum::<f64>() / known_demands.len().max(1) as f64;
        let demands: Vec<f64> = live.iter().map(|planner| planner.1.unwrap_or(mean)).collect();
        let (pool, available) = (budget.demand_pool(), budget.available());
        let shortfall =
            |at: usize| fair_share(pool, &demands, at).saturating_sub(holdings[&live[at].0].extra);
        let (at, shortfall) =
            (0..live.len()).map(|at| (at, shortfall(at))).max_by_key(|shortfall| shortfall.1)?;
        let units = shortfall.min(available);
        let number = holdings[&live[at].0].version;
        (units >= MIN_SHIFT_UNITS).then_some(Shift::Deal { to: live[at].0, units, number })
    }
}
