//! Machines and planners in one thread that exchange messages with a delay in each direction, without
//! sockets.
#![allow(dead_code)]

use pewtergap_node::Link;
use pewtergap_protocol::FrameReader;
use pewtergap_time::{Moment, Span};
use pewtergap_watch::client::{Action as ClientAction, Client};
use pewtergap_watch::messages::{Changes, Hello, Kind, Ping, ScopeMessage, WatchMessage};
use pewtergap_watch::server::{Action as ServerAction, Server};
use pewtergap_watch::{ClientConfig, SavedState, Scope, WatchConfig, WatchEvent};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

pub const BEGIN: Moment = Moment(1_000_000_000_000);
pub const RECORD: u64 = 77;

pub fn ms(ms: u64) -> Moment {
    BEGIN + Span::millis(ms)
}

pub fn decode(frame: &[u8]) -> Kind {
    let mut frames = FrameReader::<WatchMessage>::default();
    frames.push(frame);
    frames
        .next_message()
        .expect("a valid frame")
        .expect("a complete frame")
        .kind
        .expect("a message with a kind")
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

/// A machine alone, with what it sent.
pub struct Machine {
    pub server: Server,
    pub now: Moment,
    pub actions: Vec<ServerAction>,
}

impl Machine {
    pub fn new(config: WatchConfig) -> Machine {
        let mut server = Server::new(config, "m0".into(), 5);
        server.set_record_id(BEGIN, RECORD, &mut Vec::new());
        Machine { server, now: BEGIN, actions: Vec::new() }
    }

    /// One key per index, each with a value of this many bytes.
    pub fn with_keys(config: WatchConfig, indexes: u64, bytes: usize) -> Machine {
        let mut machine = Machine::new(config);
        for index in 1..=indexes {
            machine.apply(index, vec![(format!("zone/{index:05}"), Some(vec![index as u8; bytes]))]);
        }
        machine
    }

    pub fn apply(&mut self, index: u64, changes: Vec<(String, Option<Vec<u8>>)>) {
        self.server.apply(self.now, index, changes, &mut self.actions);
    }

    pub fn accepted(&mut self, link: u64) {
        self.server.accepted(self.now, Link(link), &mut self.actions);
    }

    pub fn send(&mut self, link: u64, kind: Kind) {
        self.server.handle_message(self.now, Link(link), kind, &mut self.actions);
    }

    /// A planner connects and sends `Hello`.
    pub fn connect(&mut self, link: u64, hello: Hello) {
        self.accepted(link);
        self.send(link, Kind::Hello(hello));
    }

    pub fn ping(&mut self, link: u64, token: u64, applied: u64) {
        self.send(link, Kind::Ping(Ping { token, applied, echo: token.saturating_sub(1) }));
    }

    /// Lets time pass, and calls `tick` when it is due.
    pub fn advance(&mut self, ms: u64) {
        let until = self.now + Span::millis(ms);
        while let Some(due) = self.server.due().filter(|due| *due <= until) {
            self.now = self.now.max(due);
            self.server.tick(self.now, &mut self.actions);
        }
        self.now = until;
    }

    /// What was sent on a link since the last call.
    pub fn sent(&mut self, link: u64) -> Vec<Kind> {
        let (own, others) = std::mem::take(&mut self.actions).into_iter().partition(|action| match action {
            ServerAction::Send(to, _) | ServerAction::SendFrame(to, _) => to.0 == link,
            _ => false,
        });
        self.actions = others;
        let kind = |action| match action {
            ServerAction::Send(_, kind) => kind,
            ServerAction::SendFrame(_, frame) => decode(&frame),
            other => panic!("{other:?}"),
        };
        Vec::into_iter(own).map(kind).collect()
    }

    pub fn chunks(&mut self, link: u64) -> Vec<Changes> {
        let chunk = |kind| match kind {
            Kind::Changes(changes) => Some(changes),
            _ => None,
        };
        self.sent(link).into_iter().filter_map(chunk).collect()
    }
}

pub struct Planner {
    pub client: Client,
    /// What the caller has applied.
    pub state: BTreeMap<String, Vec<u8>>,
    pub index: u64,
    pub events: Vec<(Moment, WatchEvent)>,
    /// While this is false, it reads nothing that it is sent.
    pub reads: bool,
    link: Option<Link>,
    next_tick: Option<Moment>,
    /// Start of its current watch.
    pub watching_since: Option<Moment>,
    pub dials: Vec<(Moment, SocketAddr)>,
}

enum Item {
    ToMachine(Link, Kind),
    ToPlanner(Link, Kind),
    Opened(Link),
    /// The link was lost at the planner's end, or closed at the machine's.
    LostAtPlanner(Link),
    ClosedAtMachine(Link),
}

/// Machines by their addresses, and planners.
pub struct Network {
    pub now: Moment,
    pub servers: BTreeMap<SocketAddr, Server>,
    pub planners: Vec<Planner>,
    links: BTreeMap<Link, (usize, SocketAddr)>,
    links_made: u64,
    in_transit: VecDeque<(Moment, Item)>,
    delay: Span,
    /// The largest number of concurrent snapshots at any machine.
    pub max_snapshots: usize,
    pub chunks: u64,
}

impl Network {
    pub fn new(servers: Vec<(SocketAddr, Server)>) -> Network {
        Network {
            now: BEGIN,
            servers: servers.into_iter().collect(),
            planners: Vec::new(),
            links: BTreeMap::new(),
            links_made: 0,
            in_transit: VecDeque::new(),
            delay: Span::millis(2),
            max_snapshots: 0,
            chunks: 0,
        }
    }

    pub fn planner(&mut self, client_config: ClientConfig, saved: Option<SavedState>) -> usize {
        let state = saved.as_ref().map(|saved| saved.entries.clone()).unwrap_or_default();
        let index = saved.as_ref().map_or(0, |saved| saved.index);
        let mut client = Client::new(client_config, saved);
        client.started(self.now);
        let next_tick = client.due(self.now);
        self.planners.push(Planner {
            client,
            state,
            index,
            events: Vec::new(),
            reads: true,
            link: None,
            next_tick,
            watching_since: None,
            dials: Vec::new(),
        });
        self.planners.len() - 1
    }

    pub fn apply(&mut self, index: u64, changes: &[(String, Option<Vec<u8>>)]) {
        let at: Vec<SocketAddr> = self.servers.keys().copied().collect();
        at.into_iter().for_each(|at| self.apply_at(at, index, changes));
    }

    pub fn apply_at(&mut self, at: SocketAddr, index: u64, changes: &[(String, Option<Vec<u8>>)]) {
        let mut actions = Vec::new();
        if let Some(server) = self.servers.get_mut(&at) {
            server.apply(self.now, index, changes.to_vec(), &mut actions);
        }
        self.run_server_actions(actions);
    }

    /// A machine ends at once.
    pub fn kill(&mut self, at: SocketAddr) -> Option<Server> {
        let links: Vec<Link> = self.links.iter().filter(|link| link.1 .1 == at).map(|link| *link.0).collect();
        for link in links {
            self.in_transit.push_back((self.now + self.delay, Item::LostAtPlanner(link)));
        }
        self.servers.remove(&at)
    }

    /// A planner's link breaks, so that it changes its machine.
    pub fn break_link(&mut self, planner: usize) {
        if let Some(link) = self.planners[planner].link {
            self.in_transit.push_back((self.now + self.delay, Item::LostAtPlanner(link)));
            self.in_transit.push_back((self.now + self.delay, Item::ClosedAtMachine(link)));
        }
    }

    fn run_client_actions(&mut self, planner: usize, actions: Vec<ClientAction>) {
        for action in actions {
            match action {
                ClientAction::Dial(to) => {
                    self.links_made += 1;
                    let link = Link(self.links_made);
                    self.planners[planner].link = Some(link);
                    self.planners[planner].dials.push((self.now, to));
                    self.links.insert(link, (planner, to));
                    let there = self.servers.contains_key(&to);
                    let item = if there { Item::Opened(link) } else { Item::LostAtPlanner(link) };
                    self.in_transit.push_back((self.now + self.delay, item));
                }
                ClientAction::Send(kind) => {
                    let link = self.planners[planner].link.expect("a link");
                    self.in_transit.push_back((self.now + self.delay, Item::ToMachine(link, kind)));
                }
                ClientAction::Close | ClientAction::Abort => {
                    if let Some(link) = self.planners[planner].link.take() {
                        self.in_transit.push_back((self.now + self.delay, Item::ClosedAtMachine(link)));
                    }
                }
                ClientAction::Notify(event) => self.handle_event(planner, event),
            }
        }
        let due = self.planners[planner].client.due(self.now);
        self.planners[planner].next_tick = due;
    }

    fn handle_event(&mut self, at: usize, event: WatchEvent) {
        let planner = &mut self.planners[at];
        planner.events.push((self.now, event.clone()));
        match event {
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
                let mut actions = Vec::new();
                planner.client.applied(self.now, index, &mut actions);
                self.run_client_actions(at, actions);
            }
            WatchEvent::Watching(_) => drop(planner.watching_since.get_or_insert(self.now)),
            WatchEvent::Lost(_) => planner.watching_since = None,
        }
    }

    fn run_server_actions(&mut self, actions: Vec<ServerAction>) {
        for action in actions {
            match action {
                ServerAction::Send(link, kind) => {
                    self.in_transit.push_back((self.now + self.delay, Item::ToPlanner(link, kind)))
                }
                ServerAction::SendFrame(link, frame) => {
                    self.chunks += 1;
                    self.in_transit.push_back((self.now + self.delay, Item::ToPlanner(link, decode(&frame))));
                }
                ServerAction::Close(link) | ServerAction::Abort(link) => {
                    self.in_transit.push_back((self.now + self.delay, Item::LostAtPlanner(link)));
                    self.in_transit.push_back((self.now + self.delay, Item::ClosedAtMachine(link)));
                }
                ServerAction::PlannerHeard { .. } | ServerAction::WatchEnded { .. } => {}
            }
        }
    }

    fn deliver(&mut self, item: Item) {
        let mut actions = Vec::new();
        match item {
            Item::Opened(link) => {
                let Some((planner, to)) = self.links.get(&link).copied() else { return };
                if let Some(server) = self.servers.get_mut(&to) {
                    server.accepted(self.now, link, &mut actions);
                }
                self.run_server_actions(actions);
                if self.planners[planner].link == Some(link) {
                    let mut actions = Vec::new();
                    self.planners[planner].client.opened(self.now, &mut actions);
                    self.run_client_actions(planner, actions);
                }
            }
            Item::ToMachine(link, kind) => {
                let Some((_, to)) = self.links.get(&link).copied() else { return };
                if let Some(server) = self.servers.get_mut(&to) {
                    server.handle_message(self.now, link, kind, &mut actions);
                }
                self.run_server_actions(actions);
            }
            Item::ToPlanner(link, kind) => {
                let Some((planner, _)) = self.links.get(&link).copied() else { return };
                let recipient = &mut self.planners[planner];
                if recipient.link == Some(link) && recipient.reads {
                    let mut actions = Vec::new();
                    recipient.client.handle_message(self.now, kind, &mut actions);
                    self.run_client_actions(planner, actions);
                }
            }
            Item::LostAtPlanner(link) => {
                let Some((planner, _)) = self.links.get(&link).copied() else { return };
                let recipient = &mut self.planners[planner];
                if recipient.link == Some(link) {
                    recipient.link = None;
                    let mut actions = Vec::new();
                    recipient.client.closed(self.now, "lost", &mut actions);
                    self.run_client_actions(planner, actions);
                }
            }
            Item::ClosedAtMachine(link) => {
                let Some((_, to)) = self.links.remove(&link) else { return };
                if let Some(server) = self.servers.get_mut(&to) {
                    server.closed(self.now, link, &mut actions);
                }
                self.run_server_actions(actions);
            }
        }
    }

    /// Handles all events up to this moment.
    pub fn until(&mut self, moment: Moment) {
        loop {
            let arrival = self.in_transit.front().map(|item| item.0);
            let servers = self.servers.values().filter_map(Server::due).min();
            let planners = self.planners.iter().filter_map(|planner| planner.next_tick).min();
            let Some(next) =
                [arrival, servers, planners].into_iter().flatten().min().filter(|at| *at <= moment)
            else {
                break;
            };
            self.now = self.now.max(next);
            if arrival == Some(next) {
                if let Some((_, item)) = self.in_transit.pop_front() {
                    self.deliver(item);
                }
            } else if servers == Some(next) {
                let mut actions = Vec::new();
                for server in self.servers.values_mut() {
                    server.tick(self.now, &mut actions);
                }
                self.run_server_actions(actions);
            } else {
                for at in 0..self.planners.len() {
                    if let Some(wake) = self.planners[at].next_tick.filter(|wake| *wake <= self.now) {
                        let mut actions = Vec::new();
                        self.planners[at].client.tick(self.now, wake, &mut actions);
                        self.run_client_actions(at, actions);
                    }
                }
            }
            let max = self.servers.values().map(|server| server.stats().snapshots_active).max();
            self.max_snapshots = self.max_snapshots.max(max.unwrap_or(0));
        }
        self.now = moment;
    }

    pub fn advance(&mut self, ms: u64) {
        self.until(self.now + Span::millis(ms));
    }
}
