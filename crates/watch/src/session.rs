//! One watch as its machine sees it, and the table of what may follow what.
//!
//! | state | input | next | effect |
//! | --- | --- | --- | --- |
//! | came | hello, its place can be gone on from | following | welcome |
//! | came | hello, a snapshot is needed | waiting | welcome, and in the queue for a snapshot |
//! | waiting | its turn | snapshot | pieces |
//! | snapshot | what went can't be told from its base | snapshot | begins anew |
//! | snapshot | told to its end | following | the next one's turn |
//! | snapshot | its time is up and others wait | waiting | the next one's turn; goes on where it was |
//! | following | what went can't be told from its place | waiting | in the queue |
//! | any that watches | another scope | waiting | in the queue, all anew |
//! | any that watches | leaves | ending | expected no more |
//! | any | refused, for a reason | ending | told so, closed; unheard from when it was last heard |
//! | ending | anything | ending | nothing |

use crate::config::WatchConfig;
use crate::messages::{Reason, MAX_CHUNKS_IN_FLIGHT};
use crate::pieces::Position;
use crate::scope::Scope;
use pewtergap_time::Moment;
use std::collections::VecDeque;
use std::sync::Arc;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Came,
    Waiting,
    Snapshot,
    Following,
    Ending,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    GoesOn,
    NeedsSnapshot,
    Turn,
    Lost,
    SnapshotSent,
    TimeUp,
    Rescoped,
    Leaves,
    Refused(Reason),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Nothing,
    /// Into the queue for a snapshot, and told so if it has to wait.
    Queue,
    /// No snapshot is under way here any more.
    Release,
    ReleaseAndQueue,
    Anew,
    Leave,
    Refuse(Reason),
}

/// None: that cannot follow.
pub fn row(state: State, event: Event) -> Option<(State, Effect)> {
    use State::*;
    Some(match (state, event) {
        (Ending, _) => (Ending, Effect::Nothing),
        (_, Event::Refused(reason)) => (Ending, Effect::Refuse(reason)),
        (Came, Event::GoesOn) => (Following, Effect::Nothing),
        (Came, Event::NeedsSnapshot) => (Waiting, Effect::Queue),
        (Waiting, Event::Turn) => (Snapshot, Effect::Nothing),
        (Snapshot, Event::Lost) => (Snapshot, Effect::Anew),
        (Snapshot, Event::SnapshotSent) => (Following, Effect::Release),
        (Snapshot, Event::TimeUp) => (Waiting, Effect::ReleaseAndQueue),
        (Following, Event::Lost) => (Waiting, Effect::Queue),
        (Snapshot, Event::Rescoped) => (Waiting, Effect::ReleaseAndQueue),
        (Waiting | Following, Event::Rescoped) => (Waiting, Effect::Queue),
        (Waiting | Snapshot | Following, Event::Leaves) => (Ending, Effect::Leave),
        _ => return None,
    })
}

/// Answers that a planner may still echo.
pub const MOST_ANSWERS: usize = 4;

pub struct Session {
    pub state: State,
    pub planner: String,
    pub start: u64,
    pub watch_number: u64,
    pub scope: Arc<Scope>,
    /// What stands for the scope where pieces are shared, and the planner's own number of it.
    pub known: u64,
    pub scope_number: u64,
    pub position: Position,
    /// The next piece begins a snapshot.
    pub reset: bool,
    /// A batch is told in part.
    pub within: bool,
    pub number: u64,
    /// Pieces on their way, and when they were sent: [`MAX_CHUNKS_IN_FLIGHT`] at most.
    pub flight: VecDeque<(u64, Moment)>,
    /// No batch begins before.
    pub next: Moment,
    /// Since when it has its turn.
    pub turned: Moment,
    /// When anything came.
    pub heard: Moment,
    /// What it said last is no older than this.
    pub vouched: Moment,
    pub answers: VecDeque<(u64, Moment)>,
    pub applied: u64,
    /// When it came, or began to end.
    pub since: Moment,
    /// Under which moment it is looked at next.
    pub due: Moment,
}

impl Session {
    pub fn new(now: Moment) -> Session {
        Session {
            state: State::Came,
            planner: String::new(),
            start: 0,
            watch_number: 0,
            scope: Arc::new(Scope::ALL),
            known: 0,
            scope_number: 0,
            position: Position::at(0),
            reset: false,
            within: false,
            number: 0,
            flight: VecDeque::new(),
            next: now,
            turned: now,
            heard: now,
            vouched: now,
            answers: VecDeque::new(),
            applied: 0,
            since: now,
            due: now,
        }
    }

    pub fn watches(&self) -> bool {
        matches!(self.state, State::Waiting | State::Snapshot | State::Following)
    }

    /// When it is to be looked at though nothing came: silent, deaf, its pace. `grace`: nobody was heard before, by our own
    /// fault.
    pub fn wants(&self, config: &WatchConfig, head: u64, grace: Moment) -> Moment {
        if !self.watches() {
            return self.since.max(grace) + config.connect_timeout;
        }
        let silent = self.heard.max(grace) + config.planner_timeout;
        let deaf = self.flight.front().map(|(_, sent)| (*sent).max(grace) + config.ack_timeout);
        let paced = (self.state == State::Following
            && self.flight.len() < MAX_CHUNKS_IN_FLIGHT
            && self.position != Position::at(head))
        .then_some(self.next);
        [deaf, paced].into_iter().flatten().fold(silent, Moment::min)
    }
}
