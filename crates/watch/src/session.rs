//! The state of one watch at its machine, and its transition table.
//!
//! | state | event | next | effect |
//! | --- | --- | --- | --- |
//! | awaiting hello | hello, its index can be continued from | following | welcome |
//! | awaiting hello | hello, a snapshot is needed | snapshot queued | welcome, join the queue for snapshots |
//! | snapshot queued | a slot is free | sending snapshot | send chunks |
//! | sending snapshot | deletions after its base were compacted | sending snapshot | start over |
//! | sending snapshot | sent completely | following | the next in the queue gets the slot |
//! | sending snapshot | its slot expired and others wait | snapshot queued | the next gets the slot; this one resumes where it stopped |
//! | following | deletions after its index were compacted | snapshot queued | join the queue |
//! | any watch | scope changed | snapshot queued | join the queue for a full snapshot |
//! | any watch | the planner leaves | closing | no longer expected |
//! | any | rejected, with a reason | closing | send the reason, close; unheard from when it was last heard |
//! | closing | anything | closing | nothing |

use crate::chunks::Position;
use crate::config::WatchConfig;
use crate::messages::{Reason, MAX_CHUNKS_IN_FLIGHT};
use crate::scope::Scope;
use pewtergap_time::Moment;
use std::collections::VecDeque;
use std::sync::Arc;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    AwaitingHello,
    SnapshotQueued,
    SendingSnapshot,
    Following,
    Closing,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    Continued,
    NeedsSnapshot,
    SlotGranted,
    HistoryLost,
    SnapshotSent,
    SlotExpired,
    Rescoped,
    Left,
    Rejected(Reason),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Nothing,
    /// Join the queue for a snapshot, and tell the planner if it has to wait.
    Enqueue,
    /// Free the snapshot slot.
    ReleaseSlot,
    ReleaseAndEnqueue,
    Restart,
    Leave,
    Reject(Reason),
}

/// Returns `None` if the event is not allowed in this state.
pub fn transition(state: State, event: Event) -> Option<(State, Effect)> {
    use State::*;
    Some(match (state, event) {
        (Closing, _) => (Closing, Effect::Nothing),
        (_, Event::Rejected(reason)) => (Closing, Effect::Reject(reason)),
        (AwaitingHello, Event::Continued) => (Following, Effect::Nothing),
        (AwaitingHello, Event::NeedsSnapshot) => (SnapshotQueued, Effect::Enqueue),
        (SnapshotQueued, Event::SlotGranted) => (SendingSnapshot, Effect::Nothing),
        (SendingSnapshot, Event::HistoryLost) => (SendingSnapshot, Effect::Restart),
        (SendingSnapshot, Event::SnapshotSent) => (Following, Effect::ReleaseSlot),
        (SendingSnapshot, Event::SlotExpired) => (SnapshotQueued, Effect::ReleaseAndEnqueue),
        (Following, Event::HistoryLost) => (SnapshotQueued, Effect::Enqueue),
        (SendingSnapshot, Event::Rescoped) => (SnapshotQueued, Effect::ReleaseAndEnqueue),
        (SnapshotQueued | Following, Event::Rescoped) => (SnapshotQueued, Effect::Enqueue),
        (SnapshotQueued | SendingSnapshot | Following, Event::Left) => (Closing, Effect::Leave),
        _ => return None,
    })
}

/// Pongs that a planner may still echo.
pub const MAX_ECHOED_PONGS: usize = 4;

pub struct Session {
    pub state: State,
    pub planner: String,
    pub start: u64,
    pub watch_number: u64,
    pub scope: Arc<Scope>,
    /// Id of the scope for sharing chunks, and the planner's own number of it.
    pub scope_id: u64,
    pub scope_number: u64,
    pub position: Position,
    /// The next chunk begins a snapshot.
    pub reset: bool,
    /// A batch is sent in part.
    pub mid_batch: bool,
    pub last_chunk: u64,
    /// Chunks in flight with the time of sending, at most [`MAX_CHUNKS_IN_FLIGHT`].
    pub in_flight: VecDeque<(u64, Moment)>,
    /// Earliest start of the next batch.
    pub next_batch: Moment,
    /// When it got its snapshot slot.
    pub slot_since: Moment,
    /// When the last message arrived.
    pub last_contact: Moment,
    /// Its last report was made at this moment or later.
    pub as_of: Moment,
    pub pongs: VecDeque<(u64, Moment)>,
    pub applied: u64,
    /// When the link was accepted, or began to be closed.
    pub since: Moment,
    /// Time of its next check, as in the server's schedule.
    pub scheduled_check: Moment,
}

impl Session {
    pub fn new(now: Moment) -> Session {
        Session {
            state: State::AwaitingHello,
            planner: String::new(),
            start: 0,
            watch_number: 0,
            scope: Arc::new(Scope::ALL),
            scope_id: 0,
            scope_number: 0,
            position: Position::at_index(0),
            reset: false,
            mid_batch: false,
            last_chunk: 0,
            in_flight: VecDeque::new(),
            next_batch: now,
            slot_since: now,
            last_contact: now,
            as_of: now,
            pongs: VecDeque::new(),
            applied: 0,
            since: now,
            scheduled_check: now,
        }
    }

    pub fn is_watching(&self) -> bool {
        matches!(self.state, State::SnapshotQueued | State::SendingSnapshot | State::Following)
    }

    /// When it has to be checked even if nothing arrives: silence, a missing ack, the start of the next
    /// batch. Time before `resumed_at`, while this process was stalled, doesn't count.
    pub fn next_check(&self, config: &WatchConfig, head: u64, resumed_at: Moment) -> Moment {
        if !self.is_watching() {
            return self.since.max(resumed_at) + config.connect_timeout;
        }
        let silent = self.last_contact.max(resumed_at) + config.planner_timeout;
        let ack_due = self.in_flight.front().map(|(_, sent)| (*sent).max(resumed_at) + config.ack_timeout);
        let next_batch = (self.state == State::Following
            && self.in_flight.len() < MAX_CHUNKS_IN_FLIGHT
            && self.position != Position::at_index(head))
        .then_some(self.next_batch);
        [ack_due, next_batch].into_iter().flatten().fold(silent, Moment::min)
    }
}
