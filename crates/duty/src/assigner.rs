//! How a leader assigns duties. A live planner keeps its duties until it releases them on request. The duties of an
//! unreachable planner are reassigned once its lease has expired by the most cautious estimate.
//!
//! - A free duty goes to a planner with the fewest duties. A hash of both names chooses among equals, and also which
//!   duty moves, so that successive leaders decide alike.
//! - To rebalance, one duty at a time moves from the planner with the most to the one with the fewest, while they
//!   differ by more than one.
//! - A planner that returns gets nothing until it has been in contact without a gap for a configured time.

use crate::LeaseConfig;
use pewtergap_time::{Moment, Span};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// The assignment in the record; holder 0: none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyAssignment {
    pub holder: u64,
    pub fencing_token: u64,
    /// The planner that an operator pinned it to.
    pub pinned_to: Option<u64>,
}

/// A planner that may hold duties.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Planner {
    pub id: u64,
    pub name: String,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Move {
    /// For the record: assign the duty, provided it still has this fencing token.
    Assign { duty: String, to: u64, expected_fencing_token: u64 },
    /// For the holder: release the duty.
    RequestRelease { duty: String, holder: u64, fencing_token: u64 },
}

#[derive(Clone, Copy, Debug)]
struct Contact {
    last_contact: Moment,
    /// In contact without a gap since then.
    continuous_since: Moment,
}

#[derive(Clone, Debug)]
pub struct DutyAssigner {
    lease: LeaseConfig,
    stable_after: Span,
    leading_since: Moment,
    contacts: BTreeMap<u64, Contact>,
    /// The last renewal of each planner, including those that are leaving: their leases still run.
    last_renewals: BTreeMap<u64, Moment>,
}

impl DutyAssigner {
    /// A new leader knows of no renewals, so every holder is granted a full lease from now on.
    pub fn new(now: Moment, lease: LeaseConfig, stable_after: Span) -> DutyAssigner {
        DutyAssigner {
            lease,
            stable_after,
            leading_since: now,
            contacts: BTreeMap::new(),
            last_renewals: BTreeMap::new(),
        }
    }

    /// Applies from now on.
    pub fn set_lease_duration(&mut self, duration: Span) {
        self.lease.duration = duration;
    }

    /// A renewal request arrived.
    pub fn on_renewal(&mut self, now: Moment, planner: u64) {
        let max_gap = self.max_gap();
        self.last_renewals.insert(planner, now);
        let contact =
            self.contacts.entry(planner).or_insert(Contact { last_contact: now, continuous_since: now });
        if now.since(contact.last_contact) > max_gap {
            contact.continuous_since = now;
        }
        contact.last_contact = now;
    }

    /// The planner takes no more duties, because it shuts down or is slow.
    pub fn on_leaving(&mut self, planner: u64) {
        self.contacts.remove(&planner);
    }

    /// Two missed renewals make a gap.
    fn max_gap(&self) -> Span {
        self.lease.renew_interval.times(2.5)
    }

    /// Whether the planner's lease has expired by any clock within the drift limit.
    pub fn lease_expired(&self, now: Moment, planner: u64) -> bool {
        let last_contact = self
            .last_renewals
            .get(&planner)
            .map_or(self.leading_since, |renewed_at| (*renewed_at).max(self.leading_since));
        now.since(last_contact) > self.lease.assigner_wait()
    }

    fn is_live(&self, now: Moment, planner: u64) -> bool {
        self.contacts.get(&planner).is_some_and(|contact| now.since(contact.last_contact) <= self.max_gap())
    }

    fn is_stable(&self, now: Moment, planner: u64) -> bool {
        self.is_live(now, planner)
            // Counts the time it was in contact, not the time since: otherwise silence made a planner stable,
            // and one that flapped got duties during its gaps.
            && self.contacts.get(&planner).is_some_and(|contact| contact.last_contact.since(contact.continuous_since) >= self.stable_after)
    }

    /// What to do now. `duties`: the existing ones; `frozen`: an operator allows no moves except of lost
    /// duties.
    pub fn plan(
        &mut self,
        now: Moment,
        duties: &[String],
        assignments: &BTreeMap<String, DutyAssignment>,
        planners: &[Planner],
        frozen: bool,
    ) -> Vec<Move> {
        let is_member = |id: &u64| planners.iter().any(|planner| planner.id == *id);
        self.contacts.retain(|id, _| is_member(id));
        // Planners that were removed may still believe in their lease.
        let lease = self.lease.assigner_wait();
        self.last_renewals.retain(|id, renewed_at| is_member(id) || now.since(*renewed_at) <= lease);
        let holder = |duty: &String| assignments.get(duty).map_or(0, |assignment| assignment.holder);
        // A planner that holds something was stable before; a new leader does not make it wait again.
        let eligible: Vec<&Planner> = planners
            .iter()
            .filter(|p| {
                self.is_stable(now, p.id)
                    || self.is_live(now, p.id) && duties.iter().any(|d| holder(d) == p.id)
            })
            .collect();
        // After a change of leader no planner may be known to be stable, and released duties would wait for
        // all that time. In a new cluster the wait applies, or the first planner in contact would get
        // everything.
        let live_planners = || planners.iter().filter(|planner| self.is_live(now, planner.id)).collect();
        let eligible =
            if eligible.is_empty() && !assignments.is_empty() { live_planners() } else { eligible };
        if eligible.is_empty() {
            return Vec::new();
        }
        let mut counts: BTreeMap<u64, usize> = eligible.iter().map(|planner| (planner.id, 0)).collect();
        let mut free = Vec::new();
        for duty in duties {
            let holder = holder(duty);
            if let Some(count) = counts.get_mut(&holder) {
                *count += 1;
            } else if holder == 0 || self.lease_expired(now, holder) {
                free.push(duty);
            }
        }
        let preference =
            |duty: &str, planner: &Planner| xxh3_64(format!("{duty}\n{}", planner.name).as_bytes());
        let mut moves = Vec::new();
        for duty in free {
            let expected_fencing_token =
                assignments.get(duty).map_or(0, |assignment| assignment.fencing_token);
            let pinned = assignments
                .get(duty)
                .and_then(|assignment| assignment.pinned_to)
                .filter(|id| counts.contains_key(id));
            let least_loaded =
                eligible.iter().min_by_key(|p| (counts[&p.id], std::cmp::Reverse(preference(duty, p))));
            let Some(to) = pinned.or(least_loaded.map(|planner| planner.id)) else { continue };
            *counts.entry(to).or_default() += 1;
            moves.push(Move::Assign { duty: duty.clone(), to, expected_fencing_token });
        }
        for duty in duties {
            let Some(assignments) =
                assignments.get(duty).filter(|assignment| counts.contains_key(&assignment.holder))
            else {
                continue;
            };
            if assignments.pinned_to.is_some_and(|to| to != assignments.holder && counts.contains_key(&to)) {
                moves.push(Move::RequestRelease {
                    duty: duty.clone(),
                    holder: assignments.holder,
                    fencing_token: assignments.fencing_token,
                });
            }
        }
        if moves.is_empty() && !frozen {
            moves.extend(self.rebalance(duties, assignments, &counts, &eligible));
        }
        moves
    }

    /// Moves one duty from the planner with the most to the one with the fewest.
    fn rebalance(
        &self,
        duties: &[String],
        assignments: &BTreeMap<String, DutyAssignment>,
        counts: &BTreeMap<u64, usize>,
        eligible: &[&Planner],
    ) -> Option<Move> {
        let most_loaded = eligible.iter().max_by_key(|planner| (counts[&planner.id], planner.id))?;
        let least_loaded = eligible.iter().min_by_key(|planner| (counts[&planner.id], planner.id))?;
        if counts[&most_loaded.id] <= counts[&least_loaded.id] + 1 {
            return None;
        }
        // Pinned duties stay.
        let movable = duties.iter().filter_map(|duty| Some((duty, assignments.get(duty)?)));
        let movable = movable.filter(|(_, assignments)| {
            assignments.holder == most_loaded.id && assignments.pinned_to != Some(most_loaded.id)
        });
        let hash = |duty: &str| xxh3_64(format!("{duty}\n{}", least_loaded.name).as_bytes());
        let (duty, assignments) = movable.max_by_key(|(duty, _)| hash(duty))?;
        Some(Move::RequestRelease {
            duty: duty.clone(),
            holder: assignments.holder,
            fencing_token: assignments.fencing_token,
        })
    }
}
