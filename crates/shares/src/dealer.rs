//! The leader's side of a budget: it deals out what is free, and takes back what an unheard planner can cause no more.
//!
//! One that begins to lead counts from then on, as with leases: whatever its forerunner confirmed was confirmed before.
//! Whoever asks for what is written here must not renew a planner from whom something is on its way.

use crate::{fair_share, Budget, BudgetConfig, Shift};
use pewtergap_time::Moment;
use std::collections::BTreeMap;

/// Less than this of the whole is not worth a command.
const LITTLE: u64 = 5_000;

#[derive(Clone, Debug)]
pub struct BudgetAllocator {
    terms: BudgetConfig,
    leads_since: Moment,
    heard: BTreeMap<u64, Moment>,
    /// Since when those that hold a part and do not belong have been seen not to.
    left: BTreeMap<u64, Moment>,
}

impl BudgetAllocator {
    pub fn new(now: Moment, terms: BudgetConfig) -> BudgetAllocator {
        BudgetAllocator { terms, leads_since: now, heard: BTreeMap::new(), left: BTreeMap::new() }
    }

    /// A planner asked for a read of the record, and will believe in it.
    pub fn on_renewal(&mut self, now: Moment, planner: u64) {
        self.heard.insert(planner, now);
    }

    /// Whatever it could still cause is over, by whatever clock.
    fn over(&self, now: Moment, planner: u64) -> bool {
        let heard = self.heard.get(&planner).map_or(self.leads_since, |at| (*at).max(self.leads_since));
        now.since(heard) > self.terms.reclaim_delay()
    }

    /// What is to be written next, one thing at a time. `belong`: who may hold a part, and its demand where that is known.
    pub fn next_shift(
        &mut self,
        now: Moment,
        budget: &Budget,
        belong: &BTreeMap<u64, Option<f64>>,
    ) -> Option<Shift> {
        let (wait, holds) = (self.terms.reclaim_delay(), &budget.holdings);
        self.heard.retain(|id, at| holds.contains_key(id) || now.since(*at) <= wait);
        self.left.retain(|id, _| holds.contains_key(id) && !belong.contains_key(id));
        for id in holds.keys().filter(|id| !belong.contains_key(id)) {
            self.left.entry(*id).or_insert(now);
        }
        for (id, held) in holds {
            if !self.over(now, *id) {
                continue;
            }
            if let Some(left) = self.left.get(id) {
                // A base needs no lease: it may have been used until its disk was given up, heard or not (explored seed 159:
                // one that woke after a pause used its base, was wiped, and what it had was given away at once).
                if now.since(*left) > wait {
                    return Some(Shift::End { of: *id, number: held.version });
                }
                continue;
            }
            if held.extra > 0 {
                return Some(Shift::Back { from: *id, units: held.extra, number: held.version });
            }
        }
        let heard =
            |id: &u64| self.heard.get(id).is_some_and(|at| now.since(*at) <= self.terms.share_validity);
        let seats: Vec<(u64, Option<f64>)> = belong
            .iter()
            .filter(|seat| heard(seat.0) && holds.contains_key(seat.0))
            .map(|s| (*s.0, *s.1))
            .collect();
        // One whose demand is not known counts as the average of the others.
        let known: Vec<f64> = seats.iter().filter_map(|seat| seat.1).collect();
        let mean = known.iter().sum::<f64>() / known.len().max(1) as f64;
        let demands: Vec<f64> = seats.iter().map(|seat| seat.1.unwrap_or(mean)).collect();
        let (pool, room) = (budget.demand_pool(), budget.available());
        let lack = |at: usize| fair_share(pool, &demands, at).saturating_sub(holds[&seats[at].0].extra);
        let (at, lack) = (0..seats.len()).map(|at| (at, lack(at))).max_by_key(|lack| lack.1)?;
        let units = lack.min(room);
        let number = holds[&seats[at].0].version;
        (units >= LITTLE).then_some(Shift::Deal { to: seats[at].0, units, number })
    }
}
