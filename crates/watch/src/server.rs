//! The control machine's end of its watches, as a state machine without I/O that works on messages.
//!
//! There is no queue per watcher: each has a position in the cache and at most [`MAX_CHUNKS_IN_FLIGHT`]
//! chunks in flight. The memory per watcher is bounded by its scope's names and two chunks, the number of
//! watchers by [`WatchConfig::max_watches`], and the links that have not sent `Hello` or are being closed by
//! [`MAX_UNIDENTIFIED`].

mod admission;

use crate::cache::Cache;
use crate::chunks::{ChunkCache, Position};
use crate::config::{to_ms_rounded_up, WatchConfig};
use crate::messages::{Ack, Kind, Ping, Pong, Reason, ScopeMessage, MAX_CHUNKS_IN_FLIGHT};
use crate::scope::Scope;
use crate::session::{transition, Effect, Event, Session, State, MAX_ECHOED_PONGS};
use pewtergap_node::Link;
use pewtergap_time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Links that have not sent `Hello` or are being closed; further ones are reset on accept.
pub const MAX_UNIDENTIFIED: usize = 1_024;
/// If a timer fires later than this, this process was stalled and the peers' silence means nothing.
const STALL_THRESHOLD: Span = Span::millis(1_000);

/// What the caller has to do.
#[derive(Debug)]
pub enum Action {
    Send(Link, Kind),
    /// A chunk, as a frame.
    SendFrame(Link, Vec<u8>),
    /// Close once everything is written.
    Close(Link),
    Abort(Link),
    /// A planner watches here and had applied this index at `as_of` or later.
    PlannerHeard {
        planner: String,
        start: u64,
        watch_number: u64,
        applied: u64,
        as_of: Moment,
    },
    WatchEnded {
        planner: String,
        start: u64,
        watch_number: u64,
        left: bool,
    },
}

/// Statistics for operators.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WatchServerStats {
    pub head: u64,
    pub watches: usize,
    /// Links that have not sent `Hello` or are being closed.
    pub unidentified: usize,
    pub snapshots_active: usize,
    pub snapshots_queued: usize,
    pub chunks_sent: u64,
    /// Chunks built, and chunks reused.
    pub chunks_built: u64,
    pub chunks_reused: u64,
    pub rejections: BTreeMap<Reason, u64>,
    /// Set by the caller, which knows the links.
    pub bytes_sent: u64,
    pub bytes_received: u64,
}

pub struct Server {
    config: WatchConfig,
    machine: String,
    record_id: Option<u64>,
    cache: Cache,
    fresh_as_of: Option<Moment>,
    sessions: BTreeMap<Link, Session>,
    planners: BTreeMap<String, Link>,
    /// Sessions by the time of their next check.
    schedule: BTreeSet<(Moment, Link)>,
    /// Scopes in use, with their id and use count.
    scopes: BTreeMap<Arc<Scope>, (u64, usize)>,
    last_scope_id: u64,
    snapshot_queue: VecDeque<Link>,
    active_snapshots: usize,
    granting_slots: bool,
    chunk_cache: ChunkCache,
    stopping: bool,
    resumed_at: Moment,
    rng: fastrand::Rng,
    chunks_sent: u64,
    rejections: BTreeMap<Reason, u64>,
}

impl Server {
    pub fn new(config: WatchConfig, machine: String, seed: u64) -> Server {
        Server {
            config,
            machine,
            record_id: None,
            cache: Cache::with_max_tombstones(config.max_tombstones),
            fresh_as_of: None,
            sessions: BTreeMap::new(),
            planners: BTreeMap::new(),
            schedule: BTreeSet::new(),
            scopes: BTreeMap::new(),
            last_scope_id: 0,
            snapshot_queue: VecDeque::new(),
            active_snapshots: 0,
            granting_slots: false,
            chunk_cache: ChunkCache::default(),
            stopping: false,
            resumed_at: Moment(0),
            rng: fastrand::Rng::with_seed(seed),
            chunks_sent: 0,
            rejections: BTreeMap::new(),
        }
    }

    pub fn cache(&self) -> &Cache {
        &self.cache
    }

    pub fn stats(&self) -> WatchServerStats {
        let watches = self.sessions.values().filter(|session| session.is_watching()).count();
        WatchServerStats {
            head: self.cache.head(),
            watches,
            unidentified: self.sessions.len() - watches,
            snapshots_active: self.active_snapshots,
            snapshots_queued: self.snapshot_queue.len(),
            chunks_sent: self.chunks_sent,
            chunks_built: self.chunk_cache.built,
            chunks_reused: self.chunk_cache.reused,
            rejections: self.rejections.clone(),
            bytes_sent: 0,
            bytes_received: 0,
        }
    }

    /// The largest number of chunks in flight to any watcher.
    pub fn max_in_flight(&self) -> usize {
        self.sessions.values().map(|session| session.in_flight.len()).max().unwrap_or(0)
    }

    pub fn owns_link(&self, link: Link) -> bool {
        self.sessions.contains_key(&link)
    }

    /// When `tick` is to be called next.
    pub fn due(&self) -> Option<Moment> {
        self.schedule.first().map(|due| due.0)
    }

    // ---- the record

    /// Sets the record's id. Watchers of another record are closed.
    pub fn set_record_id(&mut self, now: Moment, record_id: u64, actions: &mut Vec<Action>) {
        if self.record_id.replace(record_id).is_some_and(|previous| previous != record_id) {
            (self.cache, self.fresh_as_of) = (Cache::with_max_tombstones(self.config.max_tombstones), None);
            self.chunk_cache.clear();
            self.reject_all(now, Reason::Record, actions);
        }
    }

    pub fn apply(
        &mut self,
        now: Moment,
        index: u64,
        changes: impl IntoIterator<Item = (String, Option<Vec<u8>>)>,
        actions: &mut Vec<Action>,
    ) {
        self.cache.apply(index, changes);
        self.send_changes(now, actions);
    }

    pub fn restore(
        &mut self,
        now: Moment,
        index: u64,
        all: BTreeMap<String, Vec<u8>>,
        actions: &mut Vec<Action>,
    ) {
        self.cache.restore(index, all);
        self.send_changes(now, actions);
    }

    fn send_changes(&mut self, now: Moment, actions: &mut Vec<Action>) {
        self.chunk_cache.clear();
        let links: Vec<Link> = self.sessions.keys().copied().collect();
        links.into_iter().for_each(|link| self.send_chunks(now, link, actions));
    }

    /// Everything committed at this moment is applied here.
    pub fn confirm_fresh(&mut self, requested_at: Moment) {
        self.fresh_as_of = Some(self.fresh_as_of.map_or(requested_at, |previous| previous.max(requested_at)));
    }

    /// Everything committed up to this long ago is applied here.
    pub fn age(&self, now: Moment) -> Option<Span> {
        self.fresh_as_of.map(|as_of| self.config.max_elapsed(now.since(as_of)))
    }

    // ---- links

    pub fn accepted(&mut self, now: Moment, link: Link, actions: &mut Vec<Action>) {
        let watches = self.planners.len();
        if self.sessions.len() - watches >= MAX_UNIDENTIFIED {
            return actions.push(Action::Abort(link));
        }
        self.sessions.insert(link, Session::new(now));
        self.reschedule(link);
        if self.stopping {
            self.apply_event(now, link, Event::Rejected(Reason::Stopping), "the machine ends", actions);
        }
    }

    pub fn closed(&mut self, now: Moment, link: Link, actions: &mut Vec<Action>) {
        if let Some(session) = self.sessions.get_mut(&link).filter(|session| session.is_watching()) {
            let previous = std::mem::replace(&mut session.state, State::Closing);
            self.end_watch(now, link, previous, false, actions);
            self.grant_slots(now, actions);
        }
        if let Some(session) = self.sessions.remove(&link) {
            self.schedule.remove(&(session.scheduled_check, link));
        }
    }

    /// A message is malformed or not allowed.
    pub fn protocol_error(&mut self, now: Moment, link: Link, detail: &str, actions: &mut Vec<Action>) {
        self.apply_event(now, link, Event::Rejected(Reason::Bad), detail, actions);
    }

    pub fn handle_message(&mut self, now: Moment, link: Link, message: Kind, actions: &mut Vec<Action>) {
        let Some(session) = self.sessions.get_mut(&link) else { return };
        session.last_contact = now;
        let watching = session.is_watching();
        match (message, session.state) {
            (_, State::Closing) => {}
            (Kind::Hello(hello), State::AwaitingHello) => self.handle_hello(now, link, hello, actions),
            (Kind::Ack(ack), _) if watching => self.handle_ack(now, link, ack, actions),
            (Kind::Ping(ping), _) if watching => self.handle_ping(now, link, ping, actions),
            (Kind::Rescope(scope), _) if watching => self.handle_rescope(now, link, scope, actions),
            (Kind::Leave(_), _) if watching => self.apply_event(now, link, Event::Left, "", actions),
            _ => self.protocol_error(now, link, "a word that nobody may say here", actions),
        }
        self.reschedule(link);
    }

    fn handle_ack(&mut self, now: Moment, link: Link, ack: Ack, actions: &mut Vec<Action>) {
        let Some(session) = self.sessions.get_mut(&link) else { return };
        let Some((_, sent)) = session.in_flight.pop_front().filter(|(number, _)| *number == ack.number)
        else {
            return self.protocol_error(now, link, "a piece was taken that is not on its way", actions);
        };
        self.record_report(now, link, ack.applied, sent, actions);
        self.send_chunks(now, link, actions);
    }

    fn handle_ping(&mut self, now: Moment, link: Link, ping: Ping, actions: &mut Vec<Action>) {
        let (age, head) = (self.age(now), self.cache.head());
        let Some(session) = self.sessions.get_mut(&link) else { return };
        let echoed = session.pongs.iter().find(|(token, _)| *token == ping.echo).map(|answer| answer.1);
        let as_of = echoed.unwrap_or(session.as_of);
        session.pongs.push_back((ping.token, now));
        if session.pongs.len() > MAX_ECHOED_PONGS {
            session.pongs.pop_front();
        }
        actions.push(Action::Send(
            link,
            Kind::Pong(Pong { token: ping.token, head, age_ms: age.map(to_ms_rounded_up) }),
        ));
        self.record_report(now, link, ping.applied, as_of, actions);
    }

    /// Records the index applied at a planner, which was so at `as_of` or later.
    fn record_report(
        &mut self,
        now: Moment,
        link: Link,
        applied: u64,
        as_of: Moment,
        actions: &mut Vec<Action>,
    ) {
        let head = self.cache.head();
        let Some(session) = self.sessions.get_mut(&link) else { return };
        if applied > head {
            return self.protocol_error(now, link, "more is in force than was told", actions);
        }
        session.applied = session.applied.max(applied);
        session.as_of = session.as_of.max(as_of);
        self.notify_heard(link, actions);
    }

    fn notify_heard(&self, link: Link, actions: &mut Vec<Action>) {
        let Some(session) = self.sessions.get(&link) else { return };
        actions.push(Action::PlannerHeard {
            planner: session.planner.clone(),
            start: session.start,
            watch_number: session.watch_number,
            applied: session.applied,
            as_of: session.as_of,
        });
    }

    fn handle_rescope(&mut self, now: Moment, link: Link, scope: ScopeMessage, actions: &mut Vec<Action>) {
        let number = scope.number;
        let (scope_id, scope) = self.acquire_scope(Arc::new(scope.into()));
        let Some(session) = self.sessions.get_mut(&link) else { return };
        let old = std::mem::replace(&mut session.scope, scope);
        (session.scope_id, session.scope_number) = (scope_id, number);
        (session.reset, session.mid_batch) = (true, false);
        self.release_scope(&old);
        self.apply_event(now, link, Event::Rescoped, "", actions);
    }

    fn acquire_scope(&mut self, scope: Arc<Scope>) -> (u64, Arc<Scope>) {
        if let Some((scope, (scope_id, used))) = self.scopes.get_key_value(&scope) {
            let (scope_id, used, scope) = (*scope_id, *used, scope.clone());
            self.scopes.insert(scope.clone(), (scope_id, used + 1));
            return (scope_id, scope);
        }
        self.last_scope_id += 1;
        self.scopes.insert(scope.clone(), (self.last_scope_id, 1));
        (self.last_scope_id, scope)
    }

    fn release_scope(&mut self, scope: &Arc<Scope>) {
        if let Some((_, used)) = self.scopes.get_mut(scope) {
            *used -= 1;
            if *used == 0 {
                self.scopes.remove(scope);
            }
        }
    }

    // ---- state transitions

    fn apply_event(
        &mut self,
        now: Moment,
        link: Link,
        event: Event,
        detail: &str,
        actions: &mut Vec<Action>,
    ) {
        let Some(session) = self.sessions.get_mut(&link) else { return };
        let Some((next, effect)) = transition(session.state, event) else {
            debug_assert!(false, "{event:?} in {:?}", session.state);
            return;
        };
        let previous = std::mem::replace(&mut session.state, next);
        let watched = matches!(previous, State::SnapshotQueued | State::SendingSnapshot | State::Following);
        match effect {
            Effect::Leave | Effect::Reject(_) if watched => {
                self.end_watch(now, link, previous, effect == Effect::Leave, actions)
            }
            Effect::Reject(_) if previous == State::AwaitingHello => session.since = now,
            Effect::Nothing | Effect::Leave | Effect::Reject(_) => {}
            Effect::Enqueue => self.enqueue_snapshot(link, actions),
            Effect::ReleaseSlot => self.active_snapshots -= 1,
            Effect::ReleaseAndEnqueue => {
                self.active_snapshots -= 1;
                self.enqueue_snapshot(link, actions);
            }
            Effect::Restart => session.reset = true,
        }
        match effect {
            Effect::Leave => actions.push(Action::Close(link)),
            Effect::Reject(reason) => self.send_rejection(link, reason, detail, actions),
            _ => {}
        }
        self.grant_slots(now, actions);
        self.send_chunks(now, link, actions);
    }

    /// Ends the watch; the link remains to be closed.
    fn end_watch(&mut self, now: Moment, link: Link, previous: State, left: bool, actions: &mut Vec<Action>) {
        let Some(session) = self.sessions.get_mut(&link) else { return };
        session.since = now;
        session.in_flight.clear();
        let (planner, scope) = (std::mem::take(&mut session.planner), session.scope.clone());
        let (start, watch_number) = (session.start, session.watch_number);
        match previous {
            State::SendingSnapshot => self.active_snapshots -= 1,
            State::SnapshotQueued => self.snapshot_queue.retain(|waits| *waits != link),
            _ => {}
        }
        self.release_scope(&scope);
        self.planners.remove(&planner);
        actions.push(Action::WatchEnded { planner, start, watch_number, left });
    }

    /// Sends a watcher all chunks that it may receive now.
    fn send_chunks(&mut self, now: Moment, link: Link, actions: &mut Vec<Action>) {
        while let Some(session) = self.sessions.get_mut(&link) {
            if session.in_flight.len() >= MAX_CHUNKS_IN_FLIGHT {
                break;
            }
            let lost = session.position.is_compacted(&self.cache);
            match session.state {
                State::SendingSnapshot
                    if !self.snapshot_queue.is_empty()
                        && now.since(session.slot_since) >= self.config.snapshot_slot =>
                {
                    self.apply_event(now, link, Event::SlotExpired, "", actions);
                    break;
                }
                State::SendingSnapshot if session.reset || lost => {
                    session.position = Position::SnapshotKey { base: self.cache.head(), after: None };
                    session.reset = true;
                }
                State::SendingSnapshot => {}
                State::Following if lost => {
                    (session.reset, session.mid_batch) = (true, false);
                    self.apply_event(now, link, Event::HistoryLost, "", actions);
                    break;
                }
                State::Following if session.mid_batch => {}
                State::Following
                    if now >= session.next_batch
                        && session.position != Position::at_index(self.cache.head()) => {}
                _ => break,
            }
            let Some(session) = self.sessions.get_mut(&link) else { break };
            let scope = (session.scope_id, &*session.scope);
            let chunk = self.chunk_cache.chunk(&self.cache, scope, &session.position, session.reset);
            if !session.mid_batch {
                session.next_batch = now + self.config.batch_interval;
            }
            session.last_chunk += 1;
            session.in_flight.push_back((session.last_chunk, now));
            (session.position, session.reset, session.mid_batch) = (chunk.next.clone(), false, !chunk.done);
            actions.push(Action::SendFrame(link, chunk.frame(session.last_chunk, session.scope_number)));
            self.chunks_sent += 1;
            if chunk.done && session.state == State::SendingSnapshot {
                self.apply_event(now, link, Event::SnapshotSent, "", actions);
                break;
            }
        }
        self.reschedule(link);
    }

    fn reschedule(&mut self, link: Link) {
        let Some(session) = self.sessions.get_mut(&link) else { return };
        let due = session.next_check(&self.config, self.cache.head(), self.resumed_at);
        if session.scheduled_check != due || !self.schedule.contains(&(due, link)) {
            self.schedule.remove(&(session.scheduled_check, link));
            session.scheduled_check = due;
            self.schedule.insert((due, link));
        }
    }

    // ---- timers

    /// Checks all sessions that are due; to be called at [`Server::due`] or later.
    pub fn tick(&mut self, now: Moment, actions: &mut Vec<Action>) {
        // After a long stall this process has not read anything: messages that are waiting in the sockets
        // come first.
        if self.due().is_some_and(|due| now.since(due) > STALL_THRESHOLD) {
            self.resumed_at = now;
        }
        while let Some((due, link)) = self.schedule.first().copied().filter(|due| due.0 <= now) {
            self.schedule.remove(&(due, link));
            self.check(now, link, actions);
            self.reschedule(link);
        }
    }

    fn check(&mut self, now: Moment, link: Link, actions: &mut Vec<Action>) {
        let (config, resumed_at) = (self.config, self.resumed_at);
        let Some(session) = self.sessions.get_mut(&link) else { return };
        let unresponsive = session
            .in_flight
            .front()
            .is_some_and(|(_, sent)| now >= (*sent).max(resumed_at) + config.ack_timeout);
        let silent = now >= session.last_contact.max(resumed_at) + config.planner_timeout;
        match session.state {
            State::Closing if now >= session.since.max(resumed_at) + config.connect_timeout => {
                // No further checks until the link is closed.
                session.since = now + Span(u64::MAX / 2);
                actions.push(Action::Abort(link));
            }
            State::AwaitingHello if now >= session.since.max(resumed_at) + config.connect_timeout => {
                self.apply_event(
                    now,
                    link,
                    Event::Rejected(Reason::Deaf),
                    "it does not say who it is",
                    actions,
                );
            }
            State::AwaitingHello | State::Closing => {}
            _ if unresponsive => self.apply_event(
                now,
                link,
                Event::Rejected(Reason::Deaf),
                "it takes nothing of what is sent",
                actions,
            ),
            _ if silent => {
                self.apply_event(now, link, Event::Rejected(Reason::Deaf), "it was not heard", actions)
            }
            _ => self.send_chunks(now, link, actions),
        }
    }

    /// Sends all planners to other machines.
    pub fn stop(&mut self, now: Moment, actions: &mut Vec<Action>) {
        self.stopping = true;
        self.reject_all(now, Reason::Stopping, actions);
    }

    fn reject_all(&mut self, now: Moment, reason: Reason, actions: &mut Vec<Action>) {
        let links: Vec<Link> = self.sessions.keys().copied().collect();
        for link in links {
            let detail =
                if reason == Reason::Record { "another record stands here" } else { "the machine ends" };
            self.apply_event(now, link, Event::Rejected(reason), detail, actions);
        }
    }
}
