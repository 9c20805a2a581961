//! Machines and planners of a tier in one thread, over words, with a delay on each way and no sockets.
#![allow(dead_code)]

use pewtergap_node::Link;
use pewtergap_protocol::Frames;
use pewtergap_time::{Moment, Span};
use pewtergap_watch::client::{Act as Up, Client};
use pewtergap_watch::messages::{Changes, Hello, Kind, Ping, ScopeMessage, WatchMessage};
use pewtergap_watch::server::{Act as Down, Server};
use pewtergap_watch::{ClientConfig, SavedState, Scope, WatchConfig, WatchEvent};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

pub const BEGIN: Moment = Moment(1_000_000_000_000);
pub const RECORD: u64 = 77;

pub fn ms(ms: u64) -> Moment {
    BEGIN + Span::millis(ms)
}

pub fn decode(frame: &[u8]) -> Kind {
    let mut frames = Frames::<WatchMessage>::default();
    frames.push(frame);
    frames.take().expect("it can be read").expect("it is whole").kind.expect("it says something")
}

pub fn set(key: &str, value: &str) -> (String, Option<Vec<u8>>) {
    (key.into(), Some(value.as_bytes().to_vec()))
}

pub fn gone(key: &str) -> (String, Option<Vec<u8>>) {
    (key.into(), None)
}

pub fn all() -> ScopeMessage {
    Scope::ALL.to_message(1)
}

pub fn hello(planner: &str, index: u64) -> Hello {
    let record_id = if index > 0 { RECORD } else { 0 };
    let planner = planner.into();
    Hello {
        min_version: 1,
        max_version: 1,
        record_id,
        index,
        planner,
        start: 1,
        watch_number: 1,
        scope: all(),
        ..Hello::default()
    }
}

pub fn client_config(planner: &str, machines: &[&str]) -> ClientConfig {
    let address = |at: usize| SocketAddr::from(([127, 0, 0, 1], 1_000 + at as u16));
    let machines = machines.iter().enumerate().map(|(at, name)| (name.to_string(), address(at))).collect();
    let seed = planner.bytes().fold(7, |seed, byte| seed * 31 + u64::from(byte));
    let config = WatchConfig::default();
    ClientConfig {
        planner: planner.into(),
        start: 1,
        machines,
        scope: Scope::ALL,
        source_ip: None,
        seed,
        watch_config: config,
    }
}

/// A machine alone, and what it said.
pub struct Machine {
    pub server: Server,
    pub now: Moment,
    pub acts: Vec<Down>,
}

impl Machine {
    pub fn new(config: WatchConfig) -> Machine {
        let mut server = Server::new(config, "m0".into(), 5);
        server.set_record_id(BEGIN, RECORD, &mut Vec::new());
        Machine { server, now: BEGIN, acts: Vec::new() }
    }

    /// Several keys a place, so many bytes each.
    pub fn filled(config: WatchConfig, indexes: u64, bytes: usize) -> Machine {
        let mut machine = Machine::new(config);
        for index in 1..=indexes {
            machine.apply(index, vec![(format!("zone/{index:05}"), Some(vec![index as u8; bytes]))]);
        }
        machine
    }

    pub fn apply(&mut self, index: u64, changes: Vec<(String, Option<Vec<u8>>)>) {
        self.server.apply(self.now, index, changes, &mut self.acts);
    }

    pub fn accepted(&mut self, link: u64) {
        self.server.accepted(self.now, Link(link), &mut self.acts);
    }

    pub fn say(&mut self, link: u64, kind: Kind) {
        self.server.word(self.now, Link(link), kind, &mut self.acts);
    }

    /// A planner comes and says hello.
    pub fn comes(&mut self, link: u64, hello: Hello) {
        self.accepted(link);
        self.say(link, Kind::Hello(hello));
    }

    pub fn ping(&mut self, link: u64, token: u64, applied: u64) {
        self.say(link, Kind::Ping(Ping { token, applied, echo: token.saturating_sub(1) }));
    }

    /// Time passes, and whoever is due is looked at.
    pub fn pass(&mut self, ms: u64) {
        let until = self.now + Span::millis(ms);
        while let Some(due) = self.server.due().filter(|due| *due <= until) {
            self.now = self.now.max(due);
            self.server.tick(self.now, &mut self.acts);
        }
        self.now = until;
    }

    /// What was said on a link since this was asked last.
    pub fn said(&mut self, link: u64) -> Vec<Kind> {
        let (own, others) = std::mem::take(&mut self.acts).into_iter().partition(|act| match act {
            Down::Say(to, _) | Down::Piece(to, _) => to.0 == link,
            _ => false,
        });
        self.acts = others;
        let kind = |act| match act {
            Down::Say(_, kind) => kind,
            Down::Piece(_, frame) => decode(&frame),
            other => panic!("{other:?}"),
        };
        Vec::into_iter(own).map(kind).collect()
    }

    pub fn pieces(&mut self, link: u64) -> Vec<Changes> {
        let piece = |kind| match kind {
            Kind::Changes(changes) => Some(changes),
            _ => None,
        };
        self.said(link).into_iter().filter_map(piece).collect()
    }
}

pub struct Planner {
    pub client: Client,
    /// What the caller has in force.
    pub state: BTreeMap<String, Vec<u8>>,
    pub index: u64,
    pub told: Vec<(Moment, WatchEvent)>,
    /// It takes nothing of what it is sent while this is false.
    pub reads: bool,
    link: Option<Link>,
    wake: Option<Moment>,
    /// When it watched first.
    pub watched: Option<Moment>,
    pub dials: Vec<(Moment, SocketAddr)>,
}

enum Item {
    Up(Link, Kind),
    Down(Link, Kind),
    Opened(Link),
    /// At the planner's end, and at the machine's.
    Lost(Link),
    Left(Link),
}

/// Machines by their addresses.
pub struct Tier {
    pub now: Moment,
    pub servers: BTreeMap<SocketAddr, Server>,
    pub planners: Vec<Planner>,
    links: BTreeMap<Link, (usize, SocketAddr)>,
    made: u64,
    wire: VecDeque<(Moment, Item)>,
    way: Span,
    /// The most snapshots that any machine had under way.
    pub max_snapshots: usize,
    pub pieces: u64,
}

impl Tier {
    pub fn new(servers: Vec<(SocketAddr, Server)>) -> Tier {
        Tier {
            now: BEGIN,
            servers: servers.into_iter().collect(),
            planners: Vec::new(),
            links: BTreeMap::new(),
            made: 0,
            wire: VecDeque::new(),
            way: Span::millis(2),
            max_snapshots: 0,
            pieces: 0,
        }
    }

    pub fn planner(&mut self, client_config: ClientConfig, kept: Option<SavedState>) -> usize {
        let state = kept.as_ref().map(|kept| kept.entries.clone()).unwrap_or_default();
        let index = kept.as_ref().map_or(0, |kept| kept.index);
        let mut client = Client::new(client_config, kept);
        client.started(self.now);
        let wake = client.due(self.now);
        self.planners.push(Planner {
            client,
            state,
            index,
            told: Vec::new(),
            reads: true,
            link: None,
            wake,
            watched: None,
            dials: Vec::new(),
        });
        self.planners.len() - 1
    }

    pub fn apply(&mut self, index: u64, changes: &[(String, Option<Vec<u8>>)]) {
        let at: Vec<SocketAddr> = self.servers.keys().copied().collect();
        at.into_iter().for_each(|at| self.apply_at(at, index, changes));
    }

    pub fn apply_at(&mut self, at: SocketAddr, index: u64, changes: &[(String, Option<Vec<u8>>)]) {
        let mut acts = Vec::new();
        if let Some(server) = self.servers.get_mut(&at) {
            server.apply(self.now, index, changes.to_vec(), &mut acts);
        }
        self.down(acts);
    }

    /// A machine ends at once.
    pub fn kill(&mut self, at: SocketAddr) -> Option<Server> {
        let links: Vec<Link> = self.links.iter().filter(|link| link.1 .1 == at).map(|link| *link.0).collect();
        for link in links {
            self.wire.push_back((self.now + self.way, Item::Lost(link)));
        }
        self.servers.remove(&at)
    }

    /// A planner changes its machine by itself: its link breaks.
    pub fn breaks(&mut self, planner: usize) {
        if let Some(link) = self.planners[planner].link {
            self.wire.push_back((self.now + self.way, Item::Lost(link)));
            self.wire.push_back((self.now + self.way, Item::Left(link)));
        }
    }

    fn up(&mut self, planner: usize, acts: Vec<Up>) {
        for act in acts {
            match act {
                Up::Dial(to) => {
                    self.made += 1;
                    let link = Link(self.made);
                    self.planners[planner].link = Some(link);
                    self.planners[planner].dials.push((self.now, to));
                    self.links.insert(link, (planner, to));
                    let there = self.servers.contains_key(&to);
                    let item = if there { Item::Opened(link) } else { Item::Lost(link) };
                    self.wire.push_back((self.now + self.way, item));
                }
                Up::Say(kind) => {
                    let link = self.planners[planner].link.expect("it has one");
                    self.wire.push_back((self.now + self.way, Item::Up(link, kind)));
                }
                Up::Finish | Up::Cut => {
                    if let Some(link) = self.planners[planner].link.take() {
                        self.wire.push_back((self.now + self.way, Item::Left(link)));
                    }
                }
                Up::Tell(told) => self.tell(planner, told),
            }
        }
        let due = self.planners[planner].client.due(self.now);
        self.planners[planner].wake = due;
    }

    fn tell(&mut self, at: usize, told: WatchEvent) {
        let planner = &mut self.planners[at];
        planner.told.push((self.now, told.clone()));
        match told {
            WatchEvent::Changed { index, reset, entries } => {
                if reset {
                    planner.state.clear();
                }
                for (key, value) in entries {
                    match value {
                        Some(value) => drop(planner.state.insert(key, value)),
                        None => drop(planner.state.remove(&key)),
                    }
                }
                planner.index = index;
                let mut acts = Vec::new();
                planner.client.applied(self.now, index, &mut acts);
                self.up(at, acts);
            }
            WatchEvent::Watching(_) => drop(planner.watched.get_or_insert(self.now)),
            WatchEvent::Lost(_) => planner.watched = None,
        }
    }

    fn down(&mut self, acts: Vec<Down>) {
        for act in acts {
            match act {
                Down::Say(link, kind) => self.wire.push_back((self.now + self.way, Item::Down(link, kind))),
                Down::Piece(link, frame) => {
                    self.pieces += 1;
                    self.wire.push_back((self.now + self.way, Item::Down(link, decode(&frame))));
                }
                Down::Finish(link) | Down::Cut(link) => {
                    self.wire.push_back((self.now + self.way, Item::Lost(link)));
                    self.wire.push_back((self.now + self.way, Item::Left(link)));
                }
                Down::Heard { .. } | Down::Gone { .. } => {}
            }
        }
    }

    fn arrives(&mut self, item: Item) {
        let mut acts = Vec::new();
        match item {
            Item::Opened(link) => {
                let Some((planner, to)) = self.links.get(&link).copied() else { return };
                if let Some(server) = self.servers.get_mut(&to) {
                    server.accepted(self.now, link, &mut acts);
                }
                self.down(acts);
                if self.planners[planner].link == Some(link) {
                    let mut acts = Vec::new();
                    self.planners[planner].client.opened(self.now, &mut acts);
                    self.up(planner, acts);
                }
            }
            Item::Up(link, kind) => {
                let Some((_, to)) = self.links.get(&link).copied() else { return };
                if let Some(server) = self.servers.get_mut(&to) {
                    server.word(self.now, link, kind, &mut acts);
                }
                self.down(acts);
            }
            Item::Down(link, kind) => {
                let Some((planner, _)) = self.links.get(&link).copied() else { return };
                let one = &mut self.planners[planner];
                if one.link == Some(link) && one.reads {
                    let mut acts = Vec::new();
                    one.client.word(self.now, kind, &mut acts);
                    self.up(planner, acts);
                }
            }
            Item::Lost(link) => {
                let Some((planner, _)) = self.links.get(&link).copied() else { return };
                let one = &mut self.planners[planner];
                if one.link == Some(link) {
                    one.link = None;
                    let mut acts = Vec::new();
                    one.client.closed(self.now, "lost", &mut acts);
                    self.up(planner, acts);
                }
            }
            Item::Left(link) => {
                let Some((_, to)) = self.links.remove(&link) else { return };
                if let Some(server) = self.servers.get_mut(&to) {
                    server.closed(self.now, link, &mut acts);
                }
                self.down(acts);
            }
        }
    }

    /// Whatever is next, until then.
    pub fn until(&mut self, moment: Moment) {
        loop {
            let wire = self.wire.front().map(|item| item.0);
            let servers = self.servers.values().filter_map(Server::due).min();
            let planners = self.planners.iter().filter_map(|planner| planner.wake).min();
            let Some(next) = [wire, servers, planners].into_iter().flatten().min().filter(|at| *at <= moment)
            else {
                break;
            };
            self.now = self.now.max(next);
            if wire == Some(next) {
                if let Some((_, item)) = self.wire.pop_front() {
                    self.arrives(item);
                }
            } else if servers == Some(next) {
                let mut acts = Vec::new();
                for server in self.servers.values_mut() {
                    server.tick(self.now, &mut acts);
                }
                self.down(acts);
            } else {
                for at in 0..self.planners.len() {
                    if let Some(wake) = self.planners[at].wake.filter(|wake| *wake <= self.now) {
                        let mut acts = Vec::new();
                        self.planners[at].client.tick(self.now, wake, &mut acts);
                        self.up(at, acts);
                    }
                }
            }
            let most = self.servers.values().map(|server| server.stats().snapshots_active).max();
            self.max_snapshots = self.max_snapshots.max(most.unwrap_or(0));
        }
        self.now = moment;
    }

    pub fn pass(&mut self, ms: u64) {
        self.until(self.now + Span::millis(ms));
    }
}
