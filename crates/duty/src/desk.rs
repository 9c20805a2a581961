//! A planner's own duties: what it holds by the record, and whether it may act on it now.

use crate::{LeaseConfig, MAX_DUTIES};
use pewtergap_time::{Moment, Span};
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DutyState {
    /// Somebody else's, or nobody's.
    NotHeld,
    Active,
    /// The record says it is ours, our clock says that the lease may have ended.
    Uncertain,
    /// We have stopped and say so; it is ours no more whatever the record still says.
    Releasing,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Input {
    /// The record says that it is ours, under a number that is new to us.
    Given,
    /// The record says that it is not.
    NotOurs,
    /// The lease is good, the lease may have ended.
    Good,
    Over,
    /// Asked to hand it on: by an operator, the leader, our own end, or since we are slow.
    Hand,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DutyAction {
    Nothing,
    Start,
    /// No effect any more, until it goes on.
    Pause,
    Resume,
    /// Stopped; the record has to be told.
    Release,
    Stop,
}

use DutyAction::*;
use DutyState::*;

/// State, input, next state, effect. What is not in it changes nothing.
#[rustfmt::skip]
const STEPS: &[(DutyState, Input, DutyState, DutyAction)] = &[
    (NotHeld, Input::Given,   Uncertain,     Nothing),
    (Uncertain,     Input::Good,    Active,    Start),
    (Uncertain,     Input::NotOurs, NotHeld, Stop),
    (Uncertain,     Input::Hand,    Releasing,   Release),
    (Uncertain,     Input::Given,   Uncertain,     Stop),
    (Active,    Input::Over,    Uncertain,     Pause),
    (Active,    Input::NotOurs, NotHeld, Stop),
    (Active,    Input::Hand,    Releasing,   Release),
    // Given anew without having been handed on: what was begun under the old number has ended.
    (Active,    Input::Given,   Uncertain,     Stop),
    (Releasing,   Input::NotOurs, NotHeld, Nothing),
    (Releasing,   Input::Given,   Uncertain,     Nothing),
];

#[derive(Clone, Copy, Debug)]
struct Post {
    state: DutyState,
    number: u64,
    /// Begun under this number: going on is no beginning.
    begun: bool,
}

#[derive(Clone, Debug)]
pub struct HeldDuties {
    lease: LeaseConfig,
    /// Our own clock's end of the lease.
    until: Moment,
    posts: BTreeMap<String, Post>,
    done: Vec<(String, u64, DutyAction)>,
}

impl HeldDuties {
    pub fn new(lease: LeaseConfig) -> HeldDuties {
        HeldDuties { lease, until: Moment(0), posts: BTreeMap::new(), done: Vec::new() }
    }

    /// Leases are so long from here on: what is believed already stays.
    pub fn set_lease_duration(&mut self, length: Span) {
        self.lease.duration = length;
    }

    fn step(&mut self, duty: &str, input: Input) {
        let Some(post) = self.posts.get_mut(duty) else { return };
        let Some(row) = STEPS.iter().find(|row| row.0 == post.state && row.1 == input) else { return };
        post.state = row.2;
        let does = match row.3 {
            Start if std::mem::replace(&mut post.begun, true) => Resume,
            // What never began has nothing to stop.
            Stop if !post.begun => Nothing,
            does => does,
        };
        if does != Nothing {
            self.done.push((duty.to_string(), post.number, does));
        }
    }

    fn settle(&mut self, now: Moment) {
        let input = if now < self.until { Input::Good } else { Input::Over };
        let duties: Vec<String> = self.posts.keys().cloned().collect();
        duties.iter().for_each(|duty| self.step(duty, input));
        self.posts.retain(|_, post| post.state != NotHeld);
    }

    /// What the record says that we hold, and under which numbers.
    pub fn update_assignments<'a>(&mut self, now: Moment, ours: impl Iterator<Item = (&'a str, u64)>) {
        let ours: BTreeMap<&str, u64> = ours.take(MAX_DUTIES).collect();
        let gone: Vec<String> =
            self.posts.keys().filter(|duty| !ours.contains_key(duty.as_str())).cloned().collect();
        gone.iter().for_each(|duty| self.step(duty, Input::NotOurs));
        for (duty, number) in ours {
            let new = Post { state: NotHeld, number: 0, begun: false };
            if self.posts.entry(duty.into()).or_insert(new).number < number {
                self.step(duty, Input::Given);
                if let Some(post) = self.posts.get_mut(duty) {
                    (post.number, post.begun) = (number, false);
                }
            }
        }
        self.settle(now);
    }

    /// A renewal was confirmed; it had been asked for at this moment, before the request left.
    pub fn on_renewed(&mut self, now: Moment, asked: Moment) {
        self.until = self.until.max(asked + self.lease.holder_validity());
        self.settle(now);
    }

    pub fn tick(&mut self, now: Moment) {
        self.settle(now);
    }

    /// Asked to hand it on; all of them with none.
    pub fn release(&mut self, duty: Option<&str>) {
        let duties: Vec<String> =
            self.posts.keys().filter(|held| duty.is_none_or(|duty| duty == held.as_str())).cloned().collect();
        duties.iter().for_each(|duty| self.step(duty, Input::Hand));
    }

    /// To be asked at the effect, not at the decision: the number under which it may be done now.
    pub fn fencing_token(&self, now: Moment, duty: &str) -> Option<u64> {
        let post = self.posts.get(duty).filter(|post| post.state == Active && now < self.until)?;
        Some(post.number)
    }

    /// Handed on and not yet seen to be so in the record.
    pub fn releasing(&self) -> Vec<(String, u64)> {
        let handing = self.posts.iter().filter(|post| post.1.state == Releasing);
        handing.map(|(duty, post)| (duty.clone(), post.number)).collect()
    }

    pub fn held(&self) -> impl Iterator<Item = (&str, u64, DutyState)> + '_ {
        self.posts.iter().map(|(duty, post)| (duty.as_str(), post.number, post.state))
    }

    /// What has begun, rests, goes on or has stopped since the last look.
    pub fn take_actions(&mut self) -> Vec<(String, u64, DutyAction)> {
        std::mem::take(&mut self.done)
    }
}
