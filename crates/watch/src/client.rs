//! The planner's end of its watch, as a state machine without I/O that works on messages.
//!
//! | state | input | next | effect |
//! | --- | --- | --- | --- |
//! | idle | the backoff has expired | connecting | dial the preferred machine that may be dialled |
//! | connecting | link established | handshaking | send `Hello` with record id, index and partial snapshot |
//! | handshaking | `Welcome` for the same record with the same or a later index | watching | send a ping, report the watch |
//! | handshaking | `Welcome` for another record, with an unknown version or a lower index | idle | disconnect: state never goes back |
//! | connecting, handshaking | rejected, closed or timed out | idle | back off from this machine, and pause |
//! | watching | a chunk | watching | send an ack; if it is the last, apply all pending chunks at once |
//! | watching | a chunk out of order, an index below the own, more than the limits | idle | disconnect |
//! | watching | rejected, closed, machine silent | idle | report the loss; keep a partial snapshot to resume elsewhere |
//! | any but left | `leave` | left | tell the machine; nothing more happens |
//!
//! Memory is bounded: one link, one state and one set of pending changes ([`crate::state::MAX_KEYS`],
//! [`crate::state::MAX_BYTES`]), [`MAX_PINGS`] unanswered pings and as many answers that wait for their
//! index.

use crate::config::WatchConfig;
use crate::machine_selector::MachineSelector;
use crate::messages::{
    Ack, Changes, Hello, Kind, Leave, Ping, Pong, Reason, Rejection, Welcome, SUPPORTED_VERSIONS,
};
use crate::scope::Scope;
use crate::state::{PendingChanges, SavedState};
use pewtergap_time::{Moment, Span};
use std::collections::VecDeque;
use std::net::{IpAddr, SocketAddr};

pub const MAX_PINGS: usize = 4;
/// A watch that was up for this long resets the backoff.
const STABLE_AFTER: Span = Span::millis(5_000);
/// If a timer fires later than this, the process was stalled and the peer's silence means nothing.
const STALL_THRESHOLD: Span = Span::millis(1_000);
/// Minimum interval between two pings that report a new applied index.
const REPORT_INTERVAL: Span = Span::millis(100);
/// Backoff from a machine that broke the protocol.
const PROTOCOL_ERROR_BACKOFF: Span = Span::millis(10_000);

pub struct ClientConfig {
    pub planner: String,
    /// Higher with each start of the planner, even if its disk was lost.
    pub start: u64,
    pub machines: Vec<(String, SocketAddr)>,
    pub scope: Scope,
    /// Local address of its links.
    pub source_ip: Option<IpAddr>,
    pub seed: u64,
    pub watch_config: WatchConfig,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// The state as of an index. With `reset`, `entries` is the full state rather than the changes.
    Changed { index: u64, reset: bool, entries: Vec<(String, Option<Vec<u8>>)> },
    /// A watch was established at this machine.
    Watching(String),
    /// The watch was lost or could not be established, with the reason.
    Lost(String),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Dial(SocketAddr),
    Send(Kind),
    Close,
    Abort,
    Notify(WatchEvent),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Idle,
    Connecting,
    Handshaking,
    Watching,
    Left,
}

/// Everything committed up to `age` before `sent` is covered by the index `head`.
#[derive(Clone, Copy, Debug)]
struct Freshness {
    sent: Moment,
    age: Span,
    head: u64,
}

pub struct Client {
    planner: String,
    start: u64,
    watch_number: u64,
    config: WatchConfig,
    selector: MachineSelector,
    /// Index of the machine that it dials or watches.
    machine_index: usize,
    state: State,
    since: Moment,
    last_contact: Moment,
    scope: Scope,
    scope_number: u64,
    /// Number of the scope that the machine was last sent.
    sent_scope: u64,
    /// The saved state belongs to another scope, and the snapshot of the new one has not arrived yet.
    scope_outdated: bool,
    saved: SavedState,
    pending: PendingChanges,
    applied: u64,
    /// Number of the last chunk on this link.
    last_chunk: u64,
    /// Applied index that was last reported, and when a ping last reported one.
    reported: u64,
    reported_at: Moment,
    last_ping: Moment,
    last_token: u64,
    echo: u64,
    unanswered_pings: VecDeque<(u64, Moment)>,
    /// Answers whose index is not applied yet.
    waiting_pongs: VecDeque<Freshness>,
    freshness: Option<Freshness>,
    resumed_at: Moment,
}

impl Client {
    pub fn new(client_config: ClientConfig, saved: Option<SavedState>) -> Client {
        let saved = saved.unwrap_or_default();
        let scope = client_config.scope.or_all_if_too_large();
        Client {
            selector: MachineSelector::new(
                &client_config.planner,
                client_config.machines,
                client_config.seed,
            ),
            planner: client_config.planner,
            start: client_config.start,
            watch_number: 0,
            config: client_config.watch_config,
            machine_index: 0,
            state: State::Idle,
            since: Moment(0),
            last_contact: Moment(0),
            scope_outdated: saved.scope.as_ref().is_some_and(|of| *of != scope),
            scope,
            scope_number: 1,
            sent_scope: 0,
            applied: saved.index,
            saved,
            pending: PendingChanges::default(),
            last_chunk: 0,
            reported: 0,
            reported_at: Moment(0),
            last_ping: Moment(0),
            last_token: 0,
            echo: 0,
            unanswered_pings: VecDeque::new(),
            waiting_pongs: VecDeque::new(),
            freshness: None,
            resumed_at: Moment(0),
        }
    }

    /// Index up to which all changes within the scope were received.
    pub fn index(&self) -> u64 {
        self.saved.index
    }

    pub fn applied_index(&self) -> u64 {
        self.applied
    }

    pub fn saved_state(&self) -> &SavedState {
        &self.saved
    }

    pub fn selector(&self) -> &MachineSelector {
        &self.selector
    }

    /// The machine that is being watched.
    pub fn watching(&self) -> Option<&str> {
        (self.state == State::Watching).then(|| self.selector.name(self.machine_index))
    }

    /// Everything committed up to this long ago is applied here. `None`: unknown since this start.
    pub fn age(&self, now: Moment) -> Option<Span> {
        self.freshness.map(|fresh| fresh.age + self.config.max_elapsed(now.since(fresh.sent)))
    }

    /// Number of entries in chunks that are not complete yet.
    pub fn pending_len(&self) -> usize {
        self.pending.entries.len()
    }

    // ---- events

    /// Delays the first dial, so that planners that start together don't dial together.
    pub fn started(&mut self, now: Moment) {
        self.selector.delay_first_dial(now);
    }

    pub fn opened(&mut self, now: Moment, actions: &mut Vec<Action>) {
        if self.state != State::Connecting {
            return;
        }
        (self.state, self.last_chunk, self.sent_scope) = (State::Handshaking, 0, self.scope_number);
        self.watch_number += 1;
        let partial_snapshot = self.pending.snapshot.clone();
        let hello = Hello {
            min_version: SUPPORTED_VERSIONS.0,
            max_version: SUPPORTED_VERSIONS.1,
            record_id: self.saved.record_id,
            index: self.saved.index,
            partial_snapshot,
            planner: self.planner.clone(),
            start: self.start,
            watch_number: self.watch_number,
            scope: self.scope.to_message(self.scope_number),
            reset: self.scope_outdated,
        };
        self.last_contact = now;
        actions.push(Action::Send(Kind::Hello(hello)));
    }

    pub fn closed(&mut self, now: Moment, detail: &str, actions: &mut Vec<Action>) {
        if !matches!(self.state, State::Idle | State::Left) {
            self.disconnect(now, None, detail, actions);
        }
    }

    /// A message is malformed or not allowed.
    pub fn protocol_error(&mut self, now: Moment, detail: &str, actions: &mut Vec<Action>) {
        if matches!(self.state, State::Handshaking | State::Watching) {
            actions.push(Action::Abort);
            self.pending = PendingChanges::default();
            self.disconnect(now, Some(PROTOCOL_ERROR_BACKOFF), detail, actions);
        }
    }

    pub fn handle_message(&mut self, now: Moment, message: Kind, actions: &mut Vec<Action>) {
        self.last_contact = now;
        match (self.state, message) {
            (State::Handshaking, Kind::Welcome(welcome)) => self.handle_welcome(now, welcome, actions),
            (State::Handshaking | State::Watching, Kind::Rejection(rejection)) => {
                self.handle_rejection(now, rejection, actions)
            }
            (State::Watching, Kind::Changes(changes)) => self.handle_changes(now, changes, actions),
            (State::Watching, Kind::Pong(pong)) => self.handle_pong(pong),
            (State::Watching, Kind::SnapshotDelayed(_)) => {}
            (State::Handshaking | State::Watching, _) => {
                self.protocol_error(now, "unexpected message", actions);
            }
            _ => {}
        }
    }

    fn handle_welcome(&mut self, now: Moment, welcome: Welcome, actions: &mut Vec<Action>) {
        if !(SUPPORTED_VERSIONS.0..=SUPPORTED_VERSIONS.1).contains(&welcome.version) {
            return self.protocol_error(
                now,
                &format!("version {} was not offered", welcome.version),
                actions,
            );
        }
        let own_index = self.saved.index;
        if self.saved.record_id != 0 && welcome.record_id != self.saved.record_id {
            return self.protocol_error(now, "another record stands there", actions);
        }
        if welcome.head < own_index {
            actions.push(Action::Abort);
            let detail = format!("the machine has applied index {}, the planner {own_index}", welcome.head);
            return self.disconnect(now, None, &detail, actions);
        }
        // A saved state with index 0 belongs to no record yet.
        self.saved.record_id = welcome.record_id;
        if !welcome.resumes_snapshot || self.pending.snapshot.is_none() {
            self.pending = PendingChanges::default();
        }
        (self.state, self.since) = (State::Watching, now);
        self.unanswered_pings.clear();
        self.echo = 0;
        actions.push(Action::Notify(WatchEvent::Watching(self.selector.name(self.machine_index).into())));
        self.send_ping(now, actions);
        // The scope changed after `Hello` was sent.
        if self.sent_scope != self.scope_number {
            self.pending = PendingChanges::default();
            self.send_scope(now, actions);
        }
    }

    fn handle_rejection(&mut self, now: Moment, rejection: Rejection, actions: &mut Vec<Action>) {
        actions.push(Action::Close);
        let reason = Reason::try_from(rejection.reason).unwrap_or(Reason::Bad);
        let retry_after = Span::millis(rejection.retry_after_ms.min(3_600_000));
        self.disconnect(now, Some(retry_after), &format!("{reason:?}: {}", rejection.detail), actions);
    }

    fn handle_changes(&mut self, now: Moment, changes: Changes, actions: &mut Vec<Action>) {
        let (number, through, done) = (changes.number, changes.through, changes.done);
        if number != self.last_chunk + 1 {
            return self.protocol_error(now, "chunk out of order", actions);
        }
        self.last_chunk = number;
        if changes.scope != self.scope_number {
            return self.send(now, Kind::Ack(Ack { number, applied: self.applied }), actions);
        }
        if done && through < self.saved.index {
            return self.protocol_error(now, "index below the planner's own", actions);
        }
        // A snapshot must begin with a `reset`, and the state of another scope cannot be continued.
        let snapshot_begun = changes.reset || self.pending.snapshot.is_some();
        if (self.scope_outdated || changes.after.is_some()) && !snapshot_begun {
            return self.protocol_error(now, "snapshot without its beginning", actions);
        }
        if let Err(detail) = self.pending.add(changes) {
            return self.protocol_error(now, &detail, actions);
        }
        self.send(now, Kind::Ack(Ack { number, applied: self.applied }), actions);
        if done {
            self.apply_pending(through, actions);
        }
    }

    /// Applies all pending changes at once.
    fn apply_pending(&mut self, index: u64, actions: &mut Vec<Action>) {
        let pending = std::mem::take(&mut self.pending);
        let reset = pending.snapshot.is_some();
        if reset {
            self.saved.entries.clear();
            self.scope_outdated = false;
            self.saved.scope = Some(self.scope.clone());
        }
        let mut entries = Vec::new();
        for (key, value) in pending.entries {
            match &value {
                Some(value) => drop(self.saved.entries.insert(key.clone(), value.clone())),
                None => drop(self.saved.entries.remove(&key)),
            }
            if value.is_some() || !reset {
                entries.push((key, value));
            }
        }
        self.saved.index = index;
        actions.push(Action::Notify(WatchEvent::Changed { index, reset, entries }));
    }

    fn handle_pong(&mut self, pong: Pong) {
        let Some(at) = self.unanswered_pings.iter().position(|(token, _)| *token == pong.token) else {
            return;
        };
        let sent = self.unanswered_pings[at].1;
        self.unanswered_pings.drain(..=at);
        self.echo = pong.token;
        // If too many answers wait already, the older ones, whose index is reached first, are kept.
        if let Some(age) = pong.age_ms.filter(|_| self.waiting_pongs.len() < MAX_PINGS) {
            let age = Span::millis(age.min(1 << 40));
            self.waiting_pongs.push_back(Freshness { sent, age, head: pong.head });
        }
        self.update_freshness();
    }

    /// Evaluates the answers whose index is applied.
    fn update_freshness(&mut self) {
        let applied = self.applied;
        // Compares the ages that both would give at the same moment.
        let newer = |one: &Freshness, than: &Freshness| {
            let later = one.sent.max(than.sent);
            one.age + self.config.max_elapsed(later.since(one.sent))
                <= than.age + self.config.max_elapsed(later.since(than.sent))
        };
        let mut best = self.freshness;
        for fresh in self.waiting_pongs.iter().filter(|fresh| fresh.head <= applied) {
            if best.as_ref().is_none_or(|best| newer(fresh, best)) {
                best = Some(*fresh);
            }
        }
        self.freshness = best;
        self.waiting_pongs.retain(|fresh| fresh.head > applied);
    }

    /// The caller has applied the state as of this index and saved it to disk.
    pub fn applied(&mut self, now: Moment, index: u64, actions: &mut Vec<Action>) {
        self.applied = self.applied.max(index.min(self.saved.index));
        self.update_freshness();
        if self.state == State::Watching
            && self.reported < self.applied
            && now >= self.reported_at + REPORT_INTERVAL
        {
            self.send_ping(now, actions);
        }
    }

    /// Switches to another scope, whose whole state is sent by the machine.
    pub fn rescope(&mut self, now: Moment, scope: Scope, actions: &mut Vec<Action>) {
        let scope = scope.or_all_if_too_large();
        if scope == self.scope {
            return;
        }
        self.scope = scope;
        self.scope_number += 1;
        self.pending = PendingChanges::default();
        self.scope_outdated = self.saved.scope.as_ref().is_some_and(|of| *of != self.scope);
        if self.state == State::Watching {
            self.send_scope(now, actions);
        }
    }

    fn send_scope(&mut self, now: Moment, actions: &mut Vec<Action>) {
        self.sent_scope = self.scope_number;
        self.send(now, Kind::Rescope(self.scope.to_message(self.scope_number)), actions);
    }

    /// Shuts down in order; the planner is no longer expected anywhere.
    pub fn leave(&mut self, now: Moment, actions: &mut Vec<Action>) {
        match self.state {
            State::Watching => {
                self.send(now, Kind::Leave(Leave {}), actions);
                actions.push(Action::Close);
            }
            State::Connecting | State::Handshaking => actions.push(Action::Abort),
            State::Idle | State::Left => {}
        }
        self.state = State::Left;
    }

    // ---- timers

    /// When `tick` is to be called; `None` if never.
    pub fn due(&self, now: Moment) -> Option<Moment> {
        match self.state {
            State::Left => None,
            State::Idle => match self.selector.next(now)? {
                Ok(_) => Some(now),
                Err(when) => Some(when),
            },
            State::Connecting | State::Handshaking => {
                Some(self.since.max(self.resumed_at) + self.config.connect_timeout)
            }
            State::Watching => {
                let ping = self.last_ping + self.config.ping_interval;
                let silent = self.last_contact.max(self.resumed_at) + self.config.machine_timeout;
                let report = (self.reported < self.applied).then_some(self.reported_at + REPORT_INTERVAL);
                Some(report.into_iter().chain([ping, silent]).fold(silent, Moment::min))
            }
        }
    }

    /// `scheduled`: the time for which the call was scheduled.
    pub fn tick(&mut self, now: Moment, scheduled: Moment, actions: &mut Vec<Action>) {
        if now.since(scheduled) > STALL_THRESHOLD {
            self.resumed_at = now;
        }
        match self.state {
            State::Idle => {
                if let Some(Ok(at)) = self.selector.next(now) {
                    if let Some(address) = self.selector.address(at) {
                        (self.state, self.machine_index, self.since) = (State::Connecting, at, now);
                        actions.push(Action::Dial(address));
                    }
                }
            }
            State::Connecting | State::Handshaking
                if now >= self.since.max(self.resumed_at) + self.config.connect_timeout =>
            {
                actions.push(Action::Abort);
                self.disconnect(now, None, "no answer within the time limit", actions);
            }
            State::Watching => {
                if now >= self.last_contact.max(self.resumed_at) + self.config.machine_timeout {
                    actions.push(Action::Abort);
                    return self.disconnect(now, None, "the machine is silent", actions);
                }
                if now >= self.since + STABLE_AFTER {
                    self.selector.record_success(self.machine_index);
                }
                let news = self.reported < self.applied && now >= self.reported_at + REPORT_INTERVAL;
                if news || now >= self.last_ping + self.config.ping_interval {
                    self.send_ping(now, actions);
                }
            }
            State::Connecting | State::Handshaking | State::Left => {}
        }
    }

    fn send_ping(&mut self, now: Moment, actions: &mut Vec<Action>) {
        self.last_token += 1;
        let (token, applied, echo) = (self.last_token, self.applied, self.echo);
        // The oldest unanswered ping is given up.
        if self.unanswered_pings.len() >= MAX_PINGS {
            self.unanswered_pings.pop_front();
        }
        self.unanswered_pings.push_back((token, now));
        self.last_ping = now;
        self.send(now, Kind::Ping(Ping { token, applied, echo }), actions);
    }

    /// Acks and pings report the latest applied index.
    fn send(&mut self, now: Moment, message: Kind, actions: &mut Vec<Action>) {
        if matches!(message, Kind::Ack(_) | Kind::Ping(_)) {
            self.reported = self.applied;
        }
        // Only pings are rate limited: a chunk that was just acknowledged is applied a moment later, and
        // that index must not have to wait.
        if matches!(message, Kind::Ping(_)) {
            self.reported_at = now;
        }
        actions.push(Action::Send(message));
    }

    fn disconnect(
        &mut self,
        now: Moment,
        retry_after: Option<Span>,
        detail: &str,
        actions: &mut Vec<Action>,
    ) {
        if self.state == State::Watching && now >= self.since + STABLE_AFTER {
            self.selector.record_success(self.machine_index);
        }
        // An incomplete batch of changes is sent again from the index; a snapshot can be resumed.
        if self.pending.snapshot.is_none() {
            self.pending = PendingChanges::default();
        }
        self.state = State::Idle;
        self.reported = 0;
        self.selector.record_failure(now, self.machine_index, retry_after);
        actions.push(Action::Notify(WatchEvent::Lost(format!(
            "{}: {detail}",
            self.selector.name(self.machine_index)
        ))));
    }
}
