//! A control machine's side: watches of planners, as a machine without I/O, over words.
//!
//! Nothing is queued for a watcher: it has a position in the cache and at most [`MAX_CHUNKS_IN_FLIGHT`] pieces on their way. What is
//! held for one is so bounded by its scope's names and two pieces; in all by [`WatchConfig::most_watches`] of them, and by
//! [`MOST_STRANGERS`] links beside that have not said who they are or are being closed.

mod admission;

use crate::cache::Cache;
use crate::config::{up_ms, WatchConfig};
use crate::messages::{Ack, Kind, Ping, Pong, Reason, ScopeMessage, MAX_CHUNKS_IN_FLIGHT};
use crate::pieces::{Position, Shared};
use crate::scope::Scope;
use crate::session::{row, Effect, Event, Session, State, MOST_ANSWERS};
use pewtergap_node::Link;
use pewtergap_time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Links that have not said hello, or are being closed; beyond it they are cut unheard.
pub const MOST_STRANGERS: usize = 1_024;
/// Late by more than this: it was not the others that were silent.
const LATE: Span = Span::millis(1_000);

/// What the machine wants done.
#[derive(Debug)]
pub enum Act {
    Say(Link, Kind),
    /// A piece, as a frame.
    Piece(Link, Vec<u8>),
    /// Close once all is written.
    Finish(Link),
    Cut(Link),
    /// A planner watches here, and had so much in force at this moment or later.
    Heard {
        planner: String,
        start: u64,
        watch_number: u64,
        applied: u64,
        vouched: Moment,
    },
    Gone {
        planner: String,
        start: u64,
        watch_number: u64,
        left: bool,
    },
}

/// For operators.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WatchServerStats {
    pub head: u64,
    pub watches: usize,
    /// Links that have not said hello, or are being closed.
    pub unidentified: usize,
    pub snapshots_active: usize,
    pub snapshots_queued: usize,
    pub chunks_sent: u64,
    /// Pieces that were made, and told from those made.
    pub chunks_built: u64,
    pub chunks_reused: u64,
    pub refused: BTreeMap<Reason, u64>,
    /// Bytes said, and heard.
    pub bytes_sent: u64,
    pub bytes_received: u64,
}

pub struct Server {
    config: WatchConfig,
    machine: String,
    record_id: Option<u64>,
    cache: Cache,
    asked: Option<Moment>,
    sessions: BTreeMap<Link, Session>,
    planners: BTreeMap<String, Link>,
    /// Who is to be looked at, and when.
    due: BTreeSet<(Moment, Link)>,
    /// Scopes in use: what stands for each, and by how many it is used.
    scopes: BTreeMap<Arc<Scope>, (u64, usize)>,
    scopes_made: u64,
    queue: VecDeque<Link>,
    snapshots: usize,
    turning: bool,
    shared: Shared,
    stopping: bool,
    grace: Moment,
    rng: fastrand::Rng,
    pieces: u64,
    refused: BTreeMap<Reason, u64>,
}

impl Server {
    pub fn new(config: WatchConfig, machine: String, seed: u64) -> Server {
        Server {
            config,
            machine,
            record_id: None,
            cache: Cache::remembering(config.max_tombstones),
            asked: None,
            sessions: BTreeMap::new(),
            planners: BTreeMap::new(),
            due: BTreeSet::new(),
            scopes: BTreeMap::new(),
            scopes_made: 0,
            queue: VecDeque::new(),
            snapshots: 0,
            turning: false,
            shared: Shared::default(),
            stopping: false,
            grace: Moment(0),
            rng: fastrand::Rng::with_seed(seed),
            pieces: 0,
            refused: BTreeMap::new(),
        }
    }

    pub fn cache(&self) -> &Cache {
        &self.cache
    }

    pub fn stats(&self) -> WatchServerStats {
        let watches = self.sessions.values().filter(|session| session.watches()).count();
        WatchServerStats {
            head: self.cache.head(),
            watches,
            unidentified: self.sessions.len() - watches,
            snapshots_active: self.snapshots,
            snapshots_queued: self.queue.len(),
            chunks_sent: self.pieces,
            chunks_built: self.shared.made,
            chunks_reused: self.shared.shared,
            refused: self.refused.clone(),
            bytes_sent: 0,
            bytes_received: 0,
        }
    }

    /// The most pieces on their way to any one watcher.
    pub fn max_in_flight(&self) -> usize {
        self.sessions.values().map(|session| session.flight.len()).max().unwrap_or(0)
    }

    pub fn owns_link(&self, link: Link) -> bool {
        self.sessions.contains_key(&link)
    }

    /// When `tick` is to be called next.
    pub fn due(&self) -> Option<Moment> {
        self.due.first().map(|due| due.0)
    }

    // ---- the record

    /// The record's identity. Whoever watched another one begins elsewhere.
    pub fn set_record_id(&mut self, now: Moment, record_id: u64, acts: &mut Vec<Act>) {
        if self.record_id.replace(record_id).is_some_and(|was| was != record_id) {
            (self.cache, self.asked) = (Cache::remembering(self.config.max_tombstones), None);
            self.shared.clear();
            self.everybody(now, Reason::Record, acts);
        }
    }

    pub fn apply(
        &mut self,
        now: Moment,
        index: u64,
        changes: impl IntoIterator<Item = (String, Option<Vec<u8>>)>,
        acts: &mut Vec<Act>,
    ) {
        self.cache.apply(index, changes);
        self.moved(now, acts);
    }

    pub fn restore(&mut self, now: Moment, index: u64, all: BTreeMap<String, Vec<u8>>, acts: &mut Vec<Act>) {
        self.cache.restore(index, all);
        self.moved(now, acts);
    }

    fn moved(&mut self, now: Moment, acts: &mut Vec<Act>) {
        self.shared.clear();
        let links: Vec<Link> = self.sessions.keys().copied().collect();
        links.into_iter().for_each(|link| self.pump(now, link, acts));
    }

    /// All that had been kept at this moment is applied here.
    pub fn confirm_fresh(&mut self, asked: Moment) {
        self.asked = Some(self.asked.map_or(asked, |was| was.max(asked)));
    }

    /// All that was kept so long ago is applied here.
    pub fn age(&self, now: Moment) -> Option<Span> {
        self.asked.map(|asked| self.config.at_most(now.since(asked)))
    }

    // ---- links

    pub fn accepted(&mut self, now: Moment, link: Link, acts: &mut Vec<Act>) {
        let watches = self.planners.len();
        if self.sessions.len() - watches >= MOST_STRANGERS {
            return acts.push(Act::Cut(link));
        }
        self.sessions.insert(link, Session::new(now));
        self.look_again(link);
        if self.stopping {
            self.event(now, link, Event::Refused(Reason::Stopping), "the machine ends", acts);
        }
    }

    pub fn closed(&mut self, now: Moment, link: Link, acts: &mut Vec<Act>) {
        if let Some(session) = self.sessions.get_mut(&link).filter(|session| session.watches()) {
            let was = std::mem::replace(&mut session.state, State::Ending);
            self.unwatch(now, link, was, false, acts);
            self.turns(now, acts);
        }
        if let Some(session) = self.sessions.remove(&link) {
            self.due.remove(&(session.due, link));
        }
    }

    /// What came can't be read.
    pub fn wrong(&mut self, now: Moment, link: Link, why: &str, acts: &mut Vec<Act>) {
        self.event(now, link, Event::Refused(Reason::Bad), why, acts);
    }

    pub fn word(&mut self, now: Moment, link: Link, word: Kind, acts: &mut Vec<Act>) {
        let Some(session) = self.sessions.get_mut(&link) else { return };
        session.heard = now;
        let watches = session.watches();
        match (word, session.state) {
            (_, State::Ending) => {}
            (Kind::Hello(hello), State::Came) => self.hello(now, link, hello, acts),
            (Kind::Ack(took), _) if watches => self.took(now, link, took, acts),
            (Kind::Ping(ping), _) if watches => self.ping(now, link, ping, acts),
            (Kind::Rescope(scope), _) if watches => self.rescope(now, link, scope, acts),
            (Kind::Leave(_), _) if watches => self.event(now, link, Event::Leaves, "", acts),
            _ => self.wrong(now, link, "a word that nobody may say here", acts),
        }
        self.look_again(link);
    }

    fn took(&mut self, now: Moment, link: Link, took: Ack, acts: &mut Vec<Act>) {
        let Some(session) = self.sessions.get_mut(&link) else { return };
        let Some((_, sent)) = session.flight.pop_front().filter(|(number, _)| *number == took.number) else {
            return self.wrong(now, link, "a piece was taken that is not on its way", acts);
        };
        self.said(now, link, took.applied, sent, acts);
        self.pump(now, link, acts);
    }

    fn ping(&mut self, now: Moment, link: Link, ping: Ping, acts: &mut Vec<Act>) {
        let (age, head) = (self.age(now), self.cache.head());
        let Some(session) = self.sessions.get_mut(&link) else { return };
        let echoed = session.answers.iter().find(|(token, _)| *token == ping.echo).map(|answer| answer.1);
        let vouched = echoed.unwrap_or(session.vouched);
        session.answers.push_back((ping.token, now));
        if session.answers.len() > MOST_ANSWERS {
            session.answers.pop_front();
        }
        acts.push(Act::Say(link, Kind::Pong(Pong { token: ping.token, head, age_ms: age.map(up_ms) })));
        self.said(now, link, ping.applied, vouched, acts);
    }

    /// What is in force at a planner, and at which moment or later it said so.
    fn said(&mut self, now: Moment, link: Link, applied: u64, vouched: Moment, acts: &mut Vec<Act>) {
        let head = self.cache.head();
        let Some(session) = self.sessions.get_mut(&link) else { return };
        if applied > head {
            return self.wrong(now, link, "more is in force than was told", acts);
        }
        session.applied = session.applied.max(applied);
        session.vouched = session.vouched.max(vouched);
        self.heard(link, acts);
    }

    fn heard(&self, link: Link, acts: &mut Vec<Act>) {
        let Some(session) = self.sessions.get(&link) else { return };
        acts.push(Act::Heard {
            planner: session.planner.clone(),
            start: session.start,
            watch_number: session.watch_number,
            applied: session.applied,
            vouched: session.vouched,
        });
    }

    fn rescope(&mut self, now: Moment, link: Link, told: ScopeMessage, acts: &mut Vec<Act>) {
        let number = told.number;
        let (known, scope) = self.learn(Arc::new(told.into()));
        let Some(session) = self.sessions.get_mut(&link) else { return };
        let old = std::mem::replace(&mut session.scope, scope);
        (session.known, session.scope_number) = (known, number);
        (session.reset, session.within) = (true, false);
        self.unlearn(&old);
        self.event(now, link, Event::Rescoped, "", acts);
    }

    fn learn(&mut self, scope: Arc<Scope>) -> (u64, Arc<Scope>) {
        if let Some((scope, (known, used))) = self.scopes.get_key_value(&scope) {
            let (known, used, scope) = (*known, *used, scope.clone());
            self.scopes.insert(scope.clone(), (known, used + 1));
            return (known, scope);
        }
        self.scopes_made += 1;
        self.scopes.insert(scope.clone(), (self.scopes_made, 1));
        (self.scopes_made, scope)
    }

    fn unlearn(&mut self, scope: &Arc<Scope>) {
        if let Some((_, used)) = self.scopes.get_mut(scope) {
            *used -= 1;
            if *used == 0 {
                self.scopes.remove(scope);
            }
        }
    }

    // ---- the table, and what it says

    fn event(&mut self, now: Moment, link: Link, event: Event, why: &str, acts: &mut Vec<Act>) {
        let Some(session) = self.sessions.get_mut(&link) else { return };
        let Some((next, effect)) = row(session.state, event) else {
            debug_assert!(false, "{event:?} in {:?}", session.state);
            return;
        };
        let was = std::mem::replace(&mut session.state, next);
        let watched = matches!(was, State::Waiting | State::Snapshot | State::Following);
        match effect {
            Effect::Leave | Effect::Refuse(_) if watched => {
                self.unwatch(now, link, was, effect == Effect::Leave, acts)
            }
            Effect::Refuse(_) if was == State::Came => session.since = now,
            Effect::Nothing | Effect::Leave | Effect::Refuse(_) => {}
            Effect::Queue => self.enqueue(link, acts),
            Effect::Release => self.snapshots -= 1,
            Effect::ReleaseAndQueue => {
                self.snapshots -= 1;
                self.enqueue(link, acts);
            }
            Effect::Anew => session.reset = true,
        }
        match effect {
            Effect::Leave => acts.push(Act::Finish(link)),
            Effect::Refuse(reason) => self.refuse(link, reason, why, acts),
            _ => {}
        }
        self.turns(now, acts);
        self.pump(now, link, acts);
    }

    /// No watch any more; the link is still to be closed.
    fn unwatch(&mut self, now: Moment, link: Link, was: State, left: bool, acts: &mut Vec<Act>) {
        let Some(session) = self.sessions.get_mut(&link) else { return };
        session.since = now;
        session.flight.clear();
        let (planner, scope) = (std::mem::take(&mut session.planner), session.scope.clone());
        let (start, watch_number) = (session.start, session.watch_number);
        match was {
            State::Snapshot => self.snapshots -= 1,
            State::Waiting => self.queue.retain(|waits| *waits != link),
            _ => {}
        }
        self.unlearn(&scope);
        self.planners.remove(&planner);
        acts.push(Act::Gone { planner, start, watch_number, left });
    }

    /// All that may be sent to a watcher now.
    fn pump(&mut self, now: Moment, link: Link, acts: &mut Vec<Act>) {
        while let Some(session) = self.sessions.get_mut(&link) {
            if session.flight.len() >= MAX_CHUNKS_IN_FLIGHT {
                break;
            }
            let lost = session.position.lost(&self.cache);
            match session.state {
                State::Snapshot
                    if !self.queue.is_empty() && now.since(session.turned) >= self.config.snapshot_slot =>
                {
                    self.event(now, link, Event::TimeUp, "", acts);
                    break;
                }
                State::Snapshot if session.reset || lost => {
                    session.position = Position::Keys { base: self.cache.head(), after: None };
                    session.reset = true;
                }
                State::Snapshot => {}
                State::Following if lost => {
                    (session.reset, session.within) = (true, false);
                    self.event(now, link, Event::Lost, "", acts);
                    break;
                }
                State::Following if session.within => {}
                State::Following
                    if now >= session.next && session.position != Position::at(self.cache.head()) => {}
                _ => break,
            }
            let Some(session) = self.sessions.get_mut(&link) else { break };
            let scope = (session.known, &*session.scope);
            let piece = self.shared.piece(&self.cache, scope, &session.position, session.reset);
            if !session.within {
                session.next = now + self.config.batch_interval;
            }
            session.number += 1;
            session.flight.push_back((session.number, now));
            (session.position, session.reset, session.within) = (piece.next.clone(), false, !piece.done);
            acts.push(Act::Piece(link, piece.frame(session.number, session.scope_number)));
            self.pieces += 1;
            if piece.done && session.state == State::Snapshot {
                self.event(now, link, Event::SnapshotSent, "", acts);
                break;
            }
        }
        self.look_again(link);
    }

    fn look_again(&mut self, link: Link) {
        let Some(session) = self.sessions.get_mut(&link) else { return };
        let due = session.wants(&self.config, self.cache.head(), self.grace);
        if session.due != due || !self.due.contains(&(due, link)) {
            self.due.remove(&(session.due, link));
            session.due = due;
            self.due.insert((due, link));
        }
    }

    // ---- time

    /// Whoever is due; to be called at [`Server::due`] or later.
    pub fn tick(&mut self, now: Moment, acts: &mut Vec<Act>) {
        // Stopped for long, this machine heard nobody: what waits at its door is heard first.
        if self.due().is_some_and(|due| now.since(due) > LATE) {
            self.grace = now;
        }
        while let Some((due, link)) = self.due.first().copied().filter(|due| due.0 <= now) {
            self.due.remove(&(due, link));
            self.look(now, link, acts);
            self.look_again(link);
        }
    }

    fn look(&mut self, now: Moment, link: Link, acts: &mut Vec<Act>) {
        let (config, grace) = (self.config, self.grace);
        let Some(session) = self.sessions.get_mut(&link) else { return };
        let deaf =
            session.flight.front().is_some_and(|(_, sent)| now >= (*sent).max(grace) + config.ack_timeout);
        let silent = now >= session.heard.max(grace) + config.planner_timeout;
        match session.state {
            State::Ending if now >= session.since.max(grace) + config.connect_timeout => {
                // Until it is closed it is looked at no more.
                session.since = now + Span(u64::MAX / 2);
                acts.push(Act::Cut(link));
            }
            State::Came if now >= session.since.max(grace) + config.connect_timeout => {
                self.event(now, link, Event::Refused(Reason::Deaf), "it does not say who it is", acts);
            }
            State::Came | State::Ending => {}
            _ if deaf => {
                self.event(now, link, Event::Refused(Reason::Deaf), "it takes nothing of what is sent", acts)
            }
            _ if silent => self.event(now, link, Event::Refused(Reason::Deaf), "it was not heard", acts),
            _ => self.pump(now, link, acts),
        }
    }

    /// All are told to go elsewhere.
    pub fn stop(&mut self, now: Moment, acts: &mut Vec<Act>) {
        self.stopping = true;
        self.everybody(now, Reason::Stopping, acts);
    }

    fn everybody(&mut self, now: Moment, reason: Reason, acts: &mut Vec<Act>) {
        let links: Vec<Link> = self.sessions.keys().copied().collect();
        for link in links {
            let why =
                if reason == Reason::Record { "another record stands here" } else { "the machine ends" };
            self.event(now, link, Event::Refused(reason), why, acts);
        }
    }
}
