//! A planner's side: its one watch, as a machine without I/O, over words.
//!
//! | state | input | next | effect |
//! | --- | --- | --- | --- |
//! | resting | its moment has come | dialling | the first machine by rendezvous that may be dialled |
//! | dialling | the link stands | asking | hello, with record, place and what was broken off |
//! | asking | welcome, its record, its place or a later one | watching | a word of life; told |
//! | asking | welcome of another record, of a version that was not offered, or of a lower place | resting | left: never back |
//! | dialling, asking | refused, closed, or nothing in time | resting | the machine's own back-off, and a pause |
//! | watching | a piece | watching | took; if done all held are applied as one |
//! | watching | a piece out of its order, a place below the own, more than is held | resting | left |
//! | watching | refused, closed, the machine not heard | resting | told; a snapshot under way is held, to go on elsewhere |
//! | any but left | leaves | left | the machine is told; nothing more |
//!
//! Bounded: one link, one state and what is told of the next ([`crate::state::MOST_KEYS`], [`crate::state::MOST_BYTES`]),
//! [`MOST_PINGS`] words of life on their way and as many answers that wait for their place.

use crate::choice::Choice;
use crate::config::WatchConfig;
use crate::messages::{
    Ack, Changes, Hello, Kind, Leave, Ping, Pong, Reason, Refuse, Welcome, SUPPORTED_VERSIONS,
};
use crate::scope::Scope;
use crate::state::{Held, SavedState};
use pewtergap_time::{Moment, Span};
use std::collections::VecDeque;
use std::net::{IpAddr, SocketAddr};

pub const MOST_PINGS: usize = 4;
/// A watch that stood so long was a good one.
const GOOD: Span = Span::millis(5_000);
/// Late by more than this: it was not the machine that was silent.
const LATE: Span = Span::millis(1_000);
/// Between two words about what is in force, at least.
const SAID: Span = Span::millis(100);
/// What a machine that is wrong is left alone for.
const WRONG: Span = Span::millis(10_000);

pub struct ClientConfig {
    pub planner: String,
    /// Higher with each start of the planner, also when its disk was lost.
    pub start: u64,
    pub machines: Vec<(String, SocketAddr)>,
    pub scope: Scope,
    /// The near end of its links.
    pub source_ip: Option<IpAddr>,
    pub seed: u64,
    pub watch_config: WatchConfig,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// The state at a place. `anew`: the entries are all that stands, not what changed.
    Changed { index: u64, reset: bool, entries: Vec<(String, Option<Vec<u8>>)> },
    /// A watch stands at this machine.
    Watching(String),
    /// It stands no more, or could not be had, and why.
    Lost(String),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    Dial(SocketAddr),
    Say(Kind),
    Finish,
    Cut,
    Tell(WatchEvent),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Resting,
    Dialling,
    Asking,
    Watching,
    Left,
}

/// All that had been kept `age` before `sent` is in force here.
#[derive(Clone, Copy, Debug)]
struct Fresh {
    sent: Moment,
    age: Span,
    head: u64,
}

pub struct Client {
    planner: String,
    start: u64,
    watch_number: u64,
    config: WatchConfig,
    choice: Choice,
    /// Whom it dials or watches.
    at: usize,
    state: State,
    since: Moment,
    heard: Moment,
    scope: Scope,
    scope_number: u64,
    /// Which one the machine was told.
    said_scope: u64,
    /// What is told anew is not there yet: what is held is of another scope.
    other_scope: bool,
    kept: SavedState,
    held: Held,
    applied: u64,
    /// The last piece on this link.
    number: u64,
    /// What was said to be in force, and when by a word of its own.
    said: u64,
    said_at: Moment,
    pinged: Moment,
    tokens: u64,
    echo: u64,
    pings: VecDeque<(u64, Moment)>,
    /// Answers whose place is not in force yet.
    waiting: VecDeque<Fresh>,
    fresh: Option<Fresh>,
    grace: Moment,
}

impl Client {
    pub fn new(client_config: ClientConfig, kept: Option<SavedState>) -> Client {
        let kept = kept.unwrap_or_default();
        let scope = client_config.scope.or_all_if_too_large();
        Client {
            choice: Choice::new(&client_config.planner, client_config.machines, client_config.seed),
            planner: client_config.planner,
            start: client_config.start,
            watch_number: 0,
            config: client_config.watch_config,
            at: 0,
            state: State::Resting,
            since: Moment(0),
            heard: Moment(0),
            other_scope: kept.scope.as_ref().is_some_and(|of| *of != scope),
            scope,
            scope_number: 1,
            said_scope: 0,
            applied: kept.index,
            kept,
            held: Held::default(),
            number: 0,
            said: 0,
            said_at: Moment(0),
            pinged: Moment(0),
            tokens: 0,
            echo: 0,
            pings: VecDeque::new(),
            waiting: VecDeque::new(),
            fresh: None,
            grace: Moment(0),
        }
    }

    /// The place up to which all within the scope was told.
    pub fn index(&self) -> u64 {
        self.kept.index
    }

    pub fn in_force(&self) -> u64 {
        self.applied
    }

    pub fn saved_state(&self) -> &SavedState {
        &self.kept
    }

    pub fn choice(&self) -> &Choice {
        &self.choice
    }

    /// The machine whose watch stands.
    pub fn watching(&self) -> Option<&str> {
        (self.state == State::Watching).then(|| self.choice.name(self.at))
    }

    /// All that had been kept so long ago is in force here. None: not known since this start.
    pub fn age(&self, now: Moment) -> Option<Span> {
        self.fresh.map(|fresh| fresh.age + self.config.at_most(now.since(fresh.sent)))
    }

    /// Entries held of pieces that are not done.
    pub fn pending_len(&self) -> usize {
        self.held.entries.len()
    }

    // ---- what happens

    /// Planners that start together don't dial together.
    pub fn started(&mut self, now: Moment) {
        self.choice.started(now);
    }

    pub fn opened(&mut self, now: Moment, acts: &mut Vec<Act>) {
        if self.state != State::Dialling {
            return;
        }
        (self.state, self.number, self.said_scope) = (State::Asking, 0, self.scope_number);
        self.watch_number += 1;
        let partial_snapshot = self.held.snapshot.clone();
        let hello = Hello {
            min_version: SUPPORTED_VERSIONS.0,
            max_version: SUPPORTED_VERSIONS.1,
            record_id: self.kept.record_id,
            index: self.kept.index,
            partial_snapshot,
            planner: self.planner.clone(),
            start: self.start,
            watch_number: self.watch_number,
            scope: self.scope.to_message(self.scope_number),
            reset: self.other_scope,
        };
        self.heard = now;
        acts.push(Act::Say(Kind::Hello(hello)));
    }

    pub fn closed(&mut self, now: Moment, why: &str, acts: &mut Vec<Act>) {
        if !matches!(self.state, State::Resting | State::Left) {
            self.over(now, None, why, acts);
        }
    }

    /// What came can't be read.
    pub fn wrong(&mut self, now: Moment, why: &str, acts: &mut Vec<Act>) {
        if matches!(self.state, State::Asking | State::Watching) {
            acts.push(Act::Cut);
            self.held = Held::default();
            self.over(now, Some(WRONG), why, acts);
        }
    }

    pub fn word(&mut self, now: Moment, word: Kind, acts: &mut Vec<Act>) {
        self.heard = now;
        match (self.state, word) {
            (State::Asking, Kind::Welcome(welcome)) => self.welcome(now, welcome, acts),
            (State::Asking | State::Watching, Kind::Refuse(refuse)) => self.refused(now, refuse, acts),
            (State::Watching, Kind::Changes(changes)) => self.changes(now, changes, acts),
            (State::Watching, Kind::Pong(alive)) => self.alive(alive),
            (State::Watching, Kind::SnapshotDelayed(_)) => {}
            (State::Asking | State::Watching, _) => {
                self.wrong(now, "a word that no machine may say here", acts);
            }
            _ => {}
        }
    }

    fn welcome(&mut self, now: Moment, welcome: Welcome, acts: &mut Vec<Act>) {
        if !(SUPPORTED_VERSIONS.0..=SUPPORTED_VERSIONS.1).contains(&welcome.version) {
            return self.wrong(now, &format!("version {} was not offered", welcome.version), acts);
        }
        let own = self.kept.index;
        if self.kept.record_id != 0 && welcome.record_id != self.kept.record_id {
            return self.wrong(now, "another record stands there", acts);
        }
        if welcome.head < own {
            acts.push(Act::Cut);
            let why = format!("{} is applied there, {own} here", welcome.head);
            return self.over(now, None, &why, acts);
        }
        // A state of no place is nobody's yet.
        self.kept.record_id = welcome.record_id;
        if !welcome.resumes_snapshot || self.held.snapshot.is_none() {
            self.held = Held::default();
        }
        (self.state, self.since) = (State::Watching, now);
        self.pings.clear();
        self.echo = 0;
        acts.push(Act::Tell(WatchEvent::Watching(self.choice.name(self.at).into())));
        self.ping(now, acts);
        // Its hello named the scope of then.
        if self.said_scope != self.scope_number {
            self.held = Held::default();
            self.say_scope(now, acts);
        }
    }

    fn refused(&mut self, now: Moment, refuse: Refuse, acts: &mut Vec<Act>) {
        acts.push(Act::Finish);
        let reason = Reason::try_from(refuse.reason).unwrap_or(Reason::Bad);
        let again = Span::millis(refuse.retry_after_ms.min(3_600_000));
        self.over(now, Some(again), &format!("{reason:?}: {}", refuse.detail), acts);
    }

    fn changes(&mut self, now: Moment, changes: Changes, acts: &mut Vec<Act>) {
        let (number, through, done) = (changes.number, changes.through, changes.done);
        if number != self.number + 1 {
            return self.wrong(now, "a piece out of its order", acts);
        }
        self.number = number;
        if changes.scope != self.scope_number {
            return self.say(now, Kind::Ack(Ack { number, applied: self.applied }), acts);
        }
        if done && through < self.kept.index {
            return self.wrong(now, "a place below the own", acts);
        }
        // Another scope's state does not go on, and a snapshot has a beginning.
        let begun = changes.reset || self.held.snapshot.is_some();
        if (self.other_scope || changes.after.is_some()) && !begun {
            return self.wrong(now, "a snapshot without its beginning", acts);
        }
        if let Err(why) = self.held.take(changes) {
            return self.wrong(now, &why, acts);
        }
        self.say(now, Kind::Ack(Ack { number, applied: self.applied }), acts);
        if done {
            self.done(through, acts);
        }
    }

    /// All that is held is applied as one.
    fn done(&mut self, index: u64, acts: &mut Vec<Act>) {
        let held = std::mem::take(&mut self.held);
        let reset = held.snapshot.is_some();
        if reset {
            self.kept.entries.clear();
            self.other_scope = false;
            self.kept.scope = Some(self.scope.clone());
        }
        let mut entries = Vec::new();
        for (key, value) in held.entries {
            match &value {
                Some(value) => drop(self.kept.entries.insert(key.clone(), value.clone())),
                None => drop(self.kept.entries.remove(&key)),
            }
            if value.is_some() || !reset {
                entries.push((key, value));
            }
        }
        self.kept.index = index;
        acts.push(Act::Tell(WatchEvent::Changed { index, reset, entries }));
    }

    fn alive(&mut self, alive: Pong) {
        let Some(at) = self.pings.iter().position(|(token, _)| *token == alive.token) else { return };
        let sent = self.pings[at].1;
        self.pings.drain(..=at);
        self.echo = alive.token;
        // Where many wait already, those that wait are reached first.
        if let Some(age) = alive.age_ms.filter(|_| self.waiting.len() < MOST_PINGS) {
            let age = Span::millis(age.min(1 << 40));
            self.waiting.push_back(Fresh { sent, age, head: alive.head });
        }
        self.freshen();
    }

    /// Answers whose place is in force.
    fn freshen(&mut self) {
        let applied = self.applied;
        // What each of two would say at one moment.
        let newer = |one: &Fresh, than: &Fresh| {
            let later = one.sent.max(than.sent);
            one.age + self.config.at_most(later.since(one.sent))
                <= than.age + self.config.at_most(later.since(than.sent))
        };
        let mut best = self.fresh;
        for fresh in self.waiting.iter().filter(|fresh| fresh.head <= applied) {
            if best.as_ref().is_none_or(|best| newer(fresh, best)) {
                best = Some(*fresh);
            }
        }
        self.fresh = best;
        self.waiting.retain(|fresh| fresh.head > applied);
    }

    /// The caller has the state of this place in force, and on its disk.
    pub fn applied(&mut self, now: Moment, index: u64, acts: &mut Vec<Act>) {
        self.applied = self.applied.max(index.min(self.kept.index));
        self.freshen();
        if self.state == State::Watching && self.said < self.applied && now >= self.said_at + SAID {
            self.ping(now, acts);
        }
    }

    /// Another scope from here on; all within it is told anew.
    pub fn rescope(&mut self, now: Moment, scope: Scope, acts: &mut Vec<Act>) {
        let scope = scope.or_all_if_too_large();
        if scope == self.scope {
            return;
        }
        self.scope = scope;
        self.scope_number += 1;
        self.held = Held::default();
        self.other_scope = self.kept.scope.as_ref().is_some_and(|of| *of != self.scope);
        if self.state == State::Watching {
            self.say_scope(now, acts);
        }
    }

    fn say_scope(&mut self, now: Moment, acts: &mut Vec<Act>) {
        self.said_scope = self.scope_number;
        self.say(now, Kind::Rescope(self.scope.to_message(self.scope_number)), acts);
    }

    /// It ends in order and is expected no more.
    pub fn leave(&mut self, now: Moment, acts: &mut Vec<Act>) {
        match self.state {
            State::Watching => {
                self.say(now, Kind::Leave(Leave {}), acts);
                acts.push(Act::Finish);
            }
            State::Dialling | State::Asking => acts.push(Act::Cut),
            State::Resting | State::Left => {}
        }
        self.state = State::Left;
    }

    // ---- time

    /// When `tick` is to be called; None: never.
    pub fn due(&self, now: Moment) -> Option<Moment> {
        match self.state {
            State::Left => None,
            State::Resting => match self.choice.next(now)? {
                Ok(_) => Some(now),
                Err(when) => Some(when),
            },
            State::Dialling | State::Asking => Some(self.since.max(self.grace) + self.config.connect_timeout),
            State::Watching => {
                let ping = self.pinged + self.config.ping_interval;
                let silent = self.heard.max(self.grace) + self.config.machine_timeout;
                let say = (self.said < self.applied).then_some(self.said_at + SAID);
                Some(say.into_iter().chain([ping, silent]).fold(silent, Moment::min))
            }
        }
    }

    /// `was`: when it was to be called.
    pub fn tick(&mut self, now: Moment, was: Moment, acts: &mut Vec<Act>) {
        if now.since(was) > LATE {
            self.grace = now;
        }
        match self.state {
            State::Resting => {
                if let Some(Ok(at)) = self.choice.next(now) {
                    if let Some(address) = self.choice.address(at) {
                        (self.state, self.at, self.since) = (State::Dialling, at, now);
                        acts.push(Act::Dial(address));
                    }
                }
            }
            State::Dialling | State::Asking
                if now >= self.since.max(self.grace) + self.config.connect_timeout =>
            {
                acts.push(Act::Cut);
                self.over(now, None, "no answer in time", acts);
            }
            State::Watching => {
                if now >= self.heard.max(self.grace) + self.config.machine_timeout {
                    acts.push(Act::Cut);
                    return self.over(now, None, "it was not heard", acts);
                }
                if now >= self.since + GOOD {
                    self.choice.stands(self.at);
                }
                let news = self.said < self.applied && now >= self.said_at + SAID;
                if news || now >= self.pinged + self.config.ping_interval {
                    self.ping(now, acts);
                }
            }
            State::Dialling | State::Asking | State::Left => {}
        }
    }

    fn ping(&mut self, now: Moment, acts: &mut Vec<Act>) {
        self.tokens += 1;
        let (token, applied, echo) = (self.tokens, self.applied, self.echo);
        // Of one that was not answered for so long nothing is known any more.
        if self.pings.len() >= MOST_PINGS {
            self.pings.pop_front();
        }
        self.pings.push_back((token, now));
        self.pinged = now;
        self.say(now, Kind::Ping(Ping { token, applied, echo }), acts);
    }

    /// Each word upward that says what is in force says the newest.
    fn say(&mut self, now: Moment, word: Kind, acts: &mut Vec<Act>) {
        if matches!(word, Kind::Ack(_) | Kind::Ping(_)) {
            self.said = self.applied;
        }
        // What was just taken is in force a moment later, and that is not to wait.
        if matches!(word, Kind::Ping(_)) {
            self.said_at = now;
        }
        acts.push(Act::Say(word));
    }

    fn over(&mut self, now: Moment, again: Option<Span>, why: &str, acts: &mut Vec<Act>) {
        if self.state == State::Watching && now >= self.since + GOOD {
            self.choice.stands(self.at);
        }
        // What a batch told and did not end is told again from the place; a snapshot goes on.
        if self.held.snapshot.is_none() {
            self.held = Held::default();
        }
        self.state = State::Resting;
        self.said = 0;
        self.choice.over(now, self.at, again);
        acts.push(Act::Tell(WatchEvent::Lost(format!("{}: {why}", self.choice.name(self.at)))));
    }
}
