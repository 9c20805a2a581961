//! The duties of one planner: what the record assigns to it, and whether it may act on it now.

use crate::{LeaseConfig, MAX_DUTIES};
use pewtergap_time::{Moment, Span};
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DutyState {
    /// Held by another planner, or by none.
    NotHeld,
    Active,
    /// Assigned to us by the record, but by our clock the lease may have expired.
    Uncertain,
    /// We have stopped and want to give it up; it is no longer ours, whatever the record says.
    Releasing,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Input {
    /// The record assigns it to us under a new fencing token.
    Assigned,
    /// The record does not assign it to us.
    Unassigned,
    /// The lease is valid, or may have expired.
    LeaseValid,
    LeaseExpired,
    /// Asked to give it up: by an operator, by the leader, because we shut down or because we are slow.
    ReleaseRequested,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DutyAction {
    Nothing,
    Start,
    /// Must have no effect until it resumes.
    Pause,
    Resume,
    /// Stopped; the record has to be told.
    Release,
    Stop,
}

use DutyAction::*;
use DutyState::*;

/// State, input, next state, effect. Combinations without a row change nothing.
#[rustfmt::skip]
const TRANSITIONS: &[(DutyState, Input, DutyState, DutyAction)] = &[
    (NotHeld, Input::Assigned,   Uncertain,     Nothing),
    (Uncertain,     Input::LeaseValid,    Active,    Start),
    (Uncertain,     Input::Unassigned, NotHeld, Stop),
    (Uncertain,     Input::ReleaseRequested,    Releasing,   Release),
    (Uncertain,     Input::Assigned,   Uncertain,     Stop),
    (Active,    Input::LeaseExpired,    Uncertain,     Pause),
    (Active,    Input::Unassigned, NotHeld, Stop),
    (Active,    Input::ReleaseRequested,    Releasing,   Release),
    // Assigned anew without a release: what was started under the old token has ended.
    (Active,    Input::Assigned,   Uncertain,     Stop),
    (Releasing,   Input::Unassigned, NotHeld, Nothing),
    (Releasing,   Input::Assigned,   Uncertain,     Nothing),
];

#[derive(Clone, Copy, Debug)]
struct HeldDuty {
    state: DutyState,
    fencing_token: u64,
    /// Started under this token: continuing is a resume, not a start.
    started: bool,
}

#[derive(Clone, Debug)]
pub struct HeldDuties {
    lease: LeaseConfig,
    /// The end of the lease by our own clock.
    valid_until: Moment,
    duties: BTreeMap<String, HeldDuty>,
    actions: Vec<(String, u64, DutyAction)>,
}

impl HeldDuties {
    pub fn new(lease: LeaseConfig) -> HeldDuties {
        HeldDuties { lease, valid_until: Moment(0), duties: BTreeMap::new(), actions: Vec::new() }
    }

    /// Applies from the next renewal on; the current lease is not shortened.
    pub fn set_lease_duration(&mut self, duration: Span) {
        self.lease.duration = duration;
    }

    fn transition(&mut self, duty: &str, input: Input) {
        let Some(held) = self.duties.get_mut(duty) else { return };
        let Some(row) = TRANSITIONS.iter().find(|row| row.0 == held.state && row.1 == input) else { return };
        held.state = row.2;
        let action = match row.3 {
            Start if std::mem::replace(&mut held.started, true) => Resume,
            // What never started needs no stop.
            Stop if !held.started => Nothing,
            action => action,
        };
        if action != Nothing {
            self.actions.push((duty.to_string(), held.fencing_token, action));
        }
    }

    fn refresh(&mut self, now: Moment) {
        let input = if now < self.valid_until { Input::LeaseValid } else { Input::LeaseExpired };
        let duties: Vec<String> = self.duties.keys().cloned().collect();
        duties.iter().for_each(|duty| self.transition(duty, input));
        self.duties.retain(|_, held| held.state != NotHeld);
    }

    /// Takes over the duties that the record assigns to us, with their fencing tokens.
    pub fn update_assignments<'a>(&mut self, now: Moment, assigned: impl Iterator<Item = (&'a str, u64)>) {
        let assigned: BTreeMap<&str, u64> = assigned.take(MAX_DUTIES).collect();
        let removed: Vec<String> =
            self.duties.keys().filter(|duty| !assigned.contains_key(duty.as_str())).cloned().collect();
        removed.iter().for_each(|duty| self.transition(duty, Input::Unassigned));
        for (duty, token) in assigned {
            let new = HeldDuty { state: NotHeld, fencing_token: 0, started: false };
            if self.duties.entry(duty.into()).or_insert(new).fencing_token < token {
                self.transition(duty, Input::Assigned);
                if let Some(held) = self.duties.get_mut(duty) {
                    (held.fencing_token, held.started) = (token, false);
                }
            }
        }
        self.refresh(now);
    }

    /// A renewal was confirmed. `requested_at` is the time just before the request was sent.
    pub fn on_renewed(&mut self, now: Moment, requested_at: Moment) {
        self.valid_until = self.valid_until.max(requested_at + self.lease.holder_validity());
        self.refresh(now);
    }

    pub fn tick(&mut self, now: Moment) {
        self.refresh(now);
    }

    /// Gives up one duty, or all of them with `None`.
    pub fn release(&mut self, duty: Option<&str>) {
        let duties: Vec<String> = self
            .duties
            .keys()
            .filter(|held| duty.is_none_or(|duty| duty == held.as_str()))
            .cloned()
            .collect();
        duties.iter().for_each(|duty| self.transition(duty, Input::ReleaseRequested));
    }

    /// The fencing token under which the duty may be performed right now. To be called at the effect itself,
    /// not when deciding about it.
    pub fn fencing_token(&self, now: Moment, duty: &str) -> Option<u64> {
        let held = self.duties.get(duty).filter(|held| held.state == Active && now < self.valid_until)?;
        Some(held.fencing_token)
    }

    /// Duties given up whose release is not yet in the record.
    pub fn releasing(&self) -> Vec<(String, u64)> {
        let releasing = self.duties.iter().filter(|held| held.1.state == Releasing);
        releasing.map(|(duty, held)| (duty.clone(), held.fencing_token)).collect()
    }

    pub fn held(&self) -> impl Iterator<Item = (&str, u64, DutyState)> + '_ {
        self.duties.iter().map(|(duty, held)| (duty.as_str(), held.fencing_token, held.state))
    }

    /// What has started, paused, resumed or stopped since the last call.
    pub fn take_actions(&mut self) -> Vec<(String, u64, DutyAction)> {
        std::mem::take(&mut self.actions)
    }
}
