//! What runs on the machines of the world: a control machine that applies a simulated log, and a planner that watches.
//! Both hold the product's own machines; what is planted is planted here, or in the words between them.

use super::Planted;
use pewtergap_node::{Effect, Ended, Input, Node, Outbox};
use pewtergap_time::{Moment, Span};
use pewtergap_watch::{ClientConfig, SavedState, Scope, WatchClient, WatchConfig, WatchEvent, WatchServer};
use std::any::Any;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

pub const KEPT: &str = "kept";
const GONE: u64 = 1 << 50;

pub type Changes = Vec<(String, Option<Vec<u8>>)>;
pub type All = BTreeMap<String, Vec<u8>>;

pub fn hold<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// What the voters kept: place by place, each with the moment by true time, and what stands after it.
#[derive(Default)]
pub struct Log {
    pub kept: Vec<(Moment, Changes)>,
    pub after: Vec<Arc<All>>,
}

impl Log {
    pub fn head(&self) -> u64 {
        self.kept.len() as u64
    }

    pub fn keep(&mut self, now: Moment, changes: Changes) {
        let mut all = self.at(self.head()).as_ref().clone();
        for (key, value) in &changes {
            match value {
                Some(value) => drop(all.insert(key.clone(), value.clone())),
                None => drop(all.remove(key)),
            }
        }
        self.kept.push((now, changes));
        self.after.push(Arc::new(all));
    }

    /// All that stands at a place.
    pub fn at(&self, place: u64) -> Arc<All> {
        match place {
            0 => Arc::default(),
            place => self.after[place as usize - 1].clone(),
        }
    }

    /// The last place that had been kept at a moment.
    pub fn kept_at(&self, moment: Moment) -> u64 {
        self.kept.partition_point(|kept| kept.0 <= moment) as u64
    }
}

// ---- a control machine

pub struct Control {
    pub serving: WatchServer,
    pub head: u64,
    /// Reads that wait for their place: when they were asked.
    asked: Vec<(Moment, u64)>,
    log: Arc<Mutex<Log>>,
    at: SocketAddr,
    planted: Option<Planted>,
    pub touched: bool,
    pub overflown: u64,
}

pub struct ControlNode(pub Arc<Mutex<Control>>);

impl Control {
    pub fn new(
        (name, at): (String, SocketAddr),
        terms: WatchConfig,
        seed: u64,
        log: Arc<Mutex<Log>>,
        planted: Option<Planted>,
    ) -> Control {
        let serving = WatchServer::new(terms, name, seed);
        Control { serving, head: 0, asked: Vec::new(), log, at, planted, touched: false, overflown: 0 }
    }

    /// `record ID`, `restore PLACE`, `apply PLACE one|each`, `ask`.
    fn word(&mut self, now: Moment, word: &str, out: &mut Outbox) {
        let parts: Vec<&str> = word.split(' ').collect();
        let place = parts.get(1).and_then(|place| place.parse().ok()).unwrap_or(0_u64);
        let log = self.log.clone();
        match parts[0] {
            "record" => self.serving.set_record_id(now, place, out),
            "restore" if place >= self.head => {
                let all = hold(&log).at(place).as_ref().clone();
                self.head = place;
                self.serving.restore(now, place, all, out);
            }
            "apply" if parts.get(2) == Some(&"one") => self.apply(now, place, out),
            "apply" => (self.head + 1..=place).for_each(|place| self.apply(now, place, out)),
            "ask" => {
                let head = hold(&log).head();
                self.asked.push((now, head));
            }
            _ => {}
        }
        let head = self.head;
        for (asked, _) in self.asked.extract_if(.., |(_, kept)| *kept <= head) {
            self.serving.confirm_fresh(asked);
        }
        if self.planted == Some(Planted::YoungAge) {
            self.serving.confirm_fresh(now);
        }
    }

    /// All up to a place as one: each key that was touched, as it stands then.
    fn apply(&mut self, now: Moment, place: u64, out: &mut Outbox) {
        let log = self.log.clone();
        let log = hold(&log);
        let place = place.min(log.head());
        if place <= self.head {
            return;
        }
        let several = place - self.head > 1;
        let touched: BTreeSet<&String> = log.kept[self.head as usize..place as usize]
            .iter()
            .flat_map(|kept| kept.1.iter().map(|change| &change.0))
            .collect();
        let after = log.at(place);
        let mut changes: Changes =
            touched.into_iter().map(|key| (key.clone(), after.get(key).cloned())).collect();
        if several && self.planted == Some(Planted::LostDelete) {
            changes.retain(|change| change.1.is_some());
        }
        self.head = place;
        self.serving.apply(now, place, changes, out);
    }
}

impl Node for ControlNode {
    fn handle(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) {
        let mut own = hold(&self.0);
        own.touched = true;
        match input {
            Input::Start => out.push(Effect::Listen { listener: 0, at: own.at }),
            Input::Accepted { link, .. } => own.serving.accepted(now, link, out),
            Input::Command(word) => own.word(now, word, out),
            Input::Stop => {
                own.serving.stop(now, out);
                out.set_timer(GONE, now + Span::millis(300));
            }
            Input::TimerFired { timer: GONE } => out.push(Effect::Exit { code: 0 }),
            input => {
                own.overflown += u64::from(overflown(&input));
                own.serving.handle(now, input, out);
            }
        }
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}

fn overflown(input: &Input<'_>) -> bool {
    matches!(input, Input::Closed { why: Ended::Overflow, .. })
}

// ---- a planner

/// What a planner has in force.
#[derive(Clone, Debug, Default)]
pub struct InForce {
    pub place: u64,
    pub scope: Option<Scope>,
    pub state: All,
}

pub struct Planner {
    pub home: PlannerHome,
    pub watching: Option<WatchClient>,
    pub in_force: InForce,
    /// On its way to the disk, under which ticket.
    writing: Option<(u64, InForce)>,
    /// What came meanwhile is written next.
    dirty: bool,
    ticket: u64,
    pub touched: bool,
    pub overflown: u64,
    pub watches: u64,
}

#[derive(Clone)]
pub struct PlannerHome {
    pub name: String,
    pub start: u64,
    pub machines: Vec<(String, SocketAddr)>,
    pub scope: Scope,
    pub seed: u64,
    pub planted: Option<Planted>,
}

impl PlannerHome {
    fn watching(&self, kept: Option<SavedState>) -> WatchClient {
        let client_config = ClientConfig {
            planner: self.name.clone(),
            start: self.start,
            machines: self.machines.clone(),
            scope: self.scope.clone(),
            source_ip: None,
            seed: self.seed,
            watch_config: WatchConfig::default(),
        };
        WatchClient::new(client_config, kept)
    }
}

pub struct PlannerNode(pub Arc<Mutex<Planner>>);

impl Planner {
    pub fn new(home: PlannerHome) -> Planner {
        Planner {
            home,
            watching: None,
            in_force: InForce::default(),
            writing: None,
            dirty: false,
            ticket: 0,
            touched: false,
            overflown: 0,
            watches: 0,
        }
    }

    /// What its disk had is in force before anybody was dialled.
    fn begins(&mut self, now: Moment, bytes: Result<&[u8], String>, out: &mut Outbox) {
        let kept = bytes.ok().and_then(|bytes| SavedState::decode(bytes).ok());
        if let Some(SavedState { index, scope, entries, .. }) = &kept {
            self.in_force = InForce { place: *index, scope: scope.clone(), state: entries.clone() };
        }
        let mut watching = self.home.watching(kept);
        watching.handle(now, Input::Start, out);
        self.watching = Some(watching);
    }

    fn told(&mut self, now: Moment, told: Vec<WatchEvent>, out: &mut Outbox) {
        for told in told {
            match told {
                WatchEvent::Changed { .. } => self.dirty = true,
                WatchEvent::Watching(_) => self.watches += 1,
                // One that begins from nothing elsewhere is taken back where the other is behind.
                WatchEvent::Lost(_) if self.home.planted == Some(Planted::TakenBack) => {
                    self.home.start += 1;
                    let mut watching = self.home.watching(None);
                    watching.handle(now, Input::Start, out);
                    self.watching = Some(watching);
                }
                WatchEvent::Lost(_) => {}
            }
        }
        self.write(out);
    }

    /// One write at a time.
    fn write(&mut self, out: &mut Outbox) {
        let Some(watching) = self.watching.as_ref().filter(|_| self.dirty && self.writing.is_none()) else {
            return;
        };
        let kept = watching.client().saved_state();
        let next = InForce { place: kept.index, scope: kept.scope.clone(), state: kept.entries.clone() };
        self.ticket += 1;
        let (name, bytes, ticket) = (KEPT.to_string(), watching.encode_state(), self.ticket);
        out.push(Effect::ReplaceFile { name, bytes, ticket });
        (self.writing, self.dirty) = (Some((self.ticket, next)), false);
    }

    fn synced(&mut self, now: Moment, ticket: u64, out: &mut Outbox) {
        let Some((_, next)) = self.writing.take_if(|(written, _)| *written == ticket) else { return };
        let place = next.place;
        self.in_force = next;
        if let Some(watching) = &mut self.watching {
            watching.applied(now, place, out);
        }
        self.write(out);
    }
}

impl Node for PlannerNode {
    fn handle(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) {
        let mut own = hold(&self.0);
        own.touched = true;
        match input {
            Input::Start => out.push(Effect::ReadFile { name: KEPT.into() }),
            Input::File { bytes, .. } => own.begins(now, bytes, out),
            Input::Synced { ticket, .. } => own.synced(now, ticket, out),
            Input::Command(word) => {
                let scope = scope_of(word);
                own.home.scope = scope.clone();
                if let Some(watching) = &mut own.watching {
                    watching.rescope(now, scope, out);
                }
            }
            Input::Stop => {
                if let Some(watching) = &mut own.watching {
                    watching.leave(now, out);
                }
                out.set_timer(GONE, now + Span::millis(200));
            }
            Input::TimerFired { timer: GONE } => out.push(Effect::Exit { code: 0 }),
            input => {
                own.overflown += u64::from(overflown(&input));
                let Some(watching) = &mut own.watching else { return };
                let told = watching.handle(now, input, out);
                own.told(now, told, out);
            }
        }
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}

/// `*` or names with commas, of servers and of routes.
pub fn scope_of(word: &str) -> Scope {
    let names = |part: &str| match part {
        "*" => None,
        names => Some(names.split(',').map(str::to_string).collect()),
    };
    let (servers, routes) = word.split_once(' ').unwrap_or(("*", "*"));
    Scope { servers: names(servers), routes: names(routes) }
}
