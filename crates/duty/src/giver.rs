//! What a leader gives to whom. Nothing is taken from a planner that is heard: it is asked to hand it on. What a planner
//! held that is not heard is given to others once its lease is over by the longest reckoning.
//!
//! - Free duties go to whoever has fewest; which of several, and which duty moves, a hash of both names says, so that two
//!   leaders one after the other mean the same.
//! - One duty moves at a time, from the fullest to the emptiest, while they differ by more than one.
//! - Whoever comes back gets nothing until it has been heard without a gap for the time told.

use crate::LeaseConfig;
use pewtergap_time::{Moment, Span};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// As the record has it; holder 0: nobody's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyAssignment {
    pub holder: u64,
    pub fencing_token: u64,
    /// An operator wants it there.
    pub pinned_to: Option<u64>,
}

/// Who may hold duties.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Planner {
    pub id: u64,
    pub name: String,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Move {
    /// To the record: given to this one, if it still has this number.
    Assign { duty: String, to: u64, expected_fencing_token: u64 },
    /// To the holder: hand it on.
    RequestRelease { duty: String, holder: u64, fencing_token: u64 },
}

#[derive(Clone, Copy, Debug)]
struct Known {
    heard: Moment,
    /// Heard without a gap since then.
    since: Moment,
}

#[derive(Clone, Debug)]
pub struct DutyAssigner {
    lease: LeaseConfig,
    steady: Span,
    leads_since: Moment,
    known: BTreeMap<u64, Known>,
    /// The last renewal of each, also of those that said they leave: their leases run on.
    last: BTreeMap<u64, Moment>,
}

impl DutyAssigner {
    /// One that begins to lead knows of no renewal: every holder has a whole lease from here.
    pub fn new(now: Moment, lease: LeaseConfig, steady: Span) -> DutyAssigner {
        DutyAssigner { lease, steady, leads_since: now, known: BTreeMap::new(), last: BTreeMap::new() }
    }

    /// Leases are so long from here on.
    pub fn set_lease_duration(&mut self, length: Span) {
        self.lease.duration = length;
    }

    /// A request to renew came.
    pub fn on_renewal(&mut self, now: Moment, planner: u64) {
        let gap = self.gap();
        self.last.insert(planner, now);
        let known = self.known.entry(planner).or_insert(Known { heard: now, since: now });
        if now.since(known.heard) > gap {
            known.since = now;
        }
        known.heard = now;
    }

    /// It says that it takes no more: its end, or it is slow.
    pub fn on_leaving(&mut self, planner: u64) {
        self.known.remove(&planner);
    }

    /// Two renewals that did not come are a gap.
    fn gap(&self) -> Span {
        self.lease.renew_interval.times(2.5)
    }

    /// Its lease is over, by whatever clock.
    pub fn lease_expired(&self, now: Moment, planner: u64) -> bool {
        let heard = self.last.get(&planner).map_or(self.leads_since, |heard| (*heard).max(self.leads_since));
        now.since(heard) > self.lease.assigner_wait()
    }

    fn heard(&self, now: Moment, planner: u64) -> bool {
        self.known.get(&planner).is_some_and(|known| now.since(known.heard) <= self.gap())
    }

    fn ready(&self, now: Moment, planner: u64) -> bool {
        self.heard(now, planner)
            // By what was heard: silence had made it steady, and one that flaps got duties in its gaps.
            && self.known.get(&planner).is_some_and(|known| known.heard.since(known.since) >= self.steady)
    }

    /// What is to be done now. `wanted`: the duties there are; `frozen`: an operator lets nothing move but what is lost.
    pub fn plan(
        &mut self,
        now: Moment,
        wanted: &[String],
        held: &BTreeMap<String, DutyAssignment>,
        planners: &[Planner],
        frozen: bool,
    ) -> Vec<Move> {
        let belongs = |id: &u64| planners.iter().any(|planner| planner.id == *id);
        self.known.retain(|id, _| belongs(id));
        // Those that left keep what they may still believe in.
        let lease = self.lease.assigner_wait();
        self.last.retain(|id, heard| belongs(id) || now.since(*heard) <= lease);
        let holder = |duty: &String| held.get(duty).map_or(0, |held| held.holder);
        // Whoever holds something has been steady once; a new leader does not make it wait again.
        let fit: Vec<&Planner> = planners
            .iter()
            .filter(|p| {
                self.ready(now, p.id) || self.heard(now, p.id) && wanted.iter().any(|d| holder(d) == p.id)
            })
            .collect();
        // After a leader's end nobody may be known to be steady, and what was handed on lay there for all of that time.
        // At the very first all are waited for, or the first one heard would get everything.
        let heard = || planners.iter().filter(|planner| self.heard(now, planner.id)).collect();
        let fit = if fit.is_empty() && !held.is_empty() { heard() } else { fit };
        if fit.is_empty() {
            return Vec::new();
        }
        let mut counts: BTreeMap<u64, usize> = fit.iter().map(|planner| (planner.id, 0)).collect();
        let mut free = Vec::new();
        for duty in wanted {
            let holder = holder(duty);
            if let Some(count) = counts.get_mut(&holder) {
                *count += 1;
            } else if holder == 0 || self.lease_expired(now, holder) {
                free.push(duty);
            }
        }
        let liking = |duty: &str, planner: &Planner| xxh3_64(format!("{duty}\n{}", planner.name).as_bytes());
        let mut moves = Vec::new();
        for duty in free {
            let number = held.get(duty).map_or(0, |held| held.fencing_token);
            let asked = held.get(duty).and_then(|held| held.pinned_to).filter(|id| counts.contains_key(id));
            let least = fit.iter().min_by_key(|p| (counts[&p.id], std::cmp::Reverse(liking(duty, p))));
            let Some(to) = asked.or(least.map(|planner| planner.id)) else { continue };
            *counts.entry(to).or_default() += 1;
            moves.push(Move::Assign { duty: duty.clone(), to, expected_fencing_token: number });
        }
        for duty in wanted {
            let Some(held) = held.get(duty).filter(|held| counts.contains_key(&held.holder)) else {
                continue;
            };
            if held.pinned_to.is_some_and(|to| to != held.holder && counts.contains_key(&to)) {
                moves.push(Move::RequestRelease {
                    duty: duty.clone(),
                    holder: held.holder,
                    fencing_token: held.fencing_token,
                });
            }
        }
        if moves.is_empty() && !frozen {
            moves.extend(self.even_out(wanted, held, &counts, &fit));
        }
        moves
    }

    /// One duty from the fullest to the emptiest.
    fn even_out(
        &self,
        wanted: &[String],
        held: &BTreeMap<String, DutyAssignment>,
        counts: &BTreeMap<u64, usize>,
        fit: &[&Planner],
    ) -> Option<Move> {
        let fullest = fit.iter().max_by_key(|planner| (counts[&planner.id], planner.id))?;
        let emptiest = fit.iter().min_by_key(|planner| (counts[&planner.id], planner.id))?;
        if counts[&fullest.id] <= counts[&emptiest.id] + 1 {
            return None;
        }
        // What an operator has put there stays.
        let movable = wanted.iter().filter_map(|duty| Some((duty, held.get(duty)?)));
        let movable =
            movable.filter(|(_, held)| held.holder == fullest.id && held.pinned_to != Some(fullest.id));
        let hash = |duty: &str| xxh3_64(format!("{duty}\n{}", emptiest.name).as_bytes());
        let (duty, held) = movable.max_by_key(|(duty, _)| hash(duty))?;
        Some(Move::RequestRelease {
            duty: duty.clone(),
            holder: held.holder,
            fencing_token: held.fencing_token,
        })
    }
}
