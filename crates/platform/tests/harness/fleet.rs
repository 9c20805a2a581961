//! A planner with a simulated fleet under virtual time: discovery, proxies behind a channel of limited throughput, and
//! servers that answer probes. Finds drained servers that a proxy still holds after the grace period.

use super::START;
use pewtergap_node::{Effect, Ended, Input, Link, Node, Outbox};
use pewtergap_platform::{Config, Platform};
use pewtergap_resp::{write_array, Bounds, Reader};
use pewtergap_time::{Moment, Span};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::net::SocketAddr;

pub const ZONES: [&str; 3] = ["gikondo", "kacyiru", "remera"];
const STEP: Span = Span::millis(10);
/// Proxies' tables are judged every this many steps.
const JUDGED_STEPS: u64 = 5;
/// Port of the first server; its index is added.
const FIRST_SERVER_PORT: usize = 1_000;
const DISCOVERY_PORT: u16 = 85;
/// What the platform's rules allow on top of a grace period.
const SLACK: Span = Span::millis(300);
/// Lines that a message costs in addition to those it contains.
const MESSAGE_OVERHEAD: f64 = 3.0;
/// Share of the answers to watches that carry the whole list.
const WHOLE_LIST_SHARE: f64 = 0.2;
/// Timer of the driver itself: the connection to discovery is established.
const DISCOVERY_OPENED: u64 = u64::MAX;
/// A request for the whole list, in place of a version.
const WHOLE: u64 = u64::MAX;

#[derive(Clone)]
pub struct FleetConfig {
    pub proxies: usize,
    pub planners: usize,
    pub servers: usize,
    pub lines_per_s: f64,
    pub max_queued_lines: f64,
    pub drain_grace: Span,
    pub max_transit: Span,
    pub warmup: Span,
    pub known_version: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Ready,
    Terminating,
    Gone,
}

#[derive(Clone)]
pub struct Server {
    pub name: String,
    pub zone: usize,
    pub state: State,
    pub boot_ms: u64,
    /// When discovery wrote to the planner that the server drains or is gone.
    pub told_at: Option<Moment>,
}

pub struct Proxy {
    pub zone: usize,
    pub rate: f64,
    pub link: Option<Link>,
    pub joined_at: Moment,
    pub table: BTreeMap<String, f64>,
    /// Its stream says and applies nothing until then.
    pub silent_until: Moment,
    /// Its next acknowledgements cannot be read.
    pub spoilt_acks: usize,
    reader: Reader,
    report_at: Moment,
}

struct Queued {
    proxy: usize,
    link: Link,
    lines: f64,
    whole: bool,
    changes: Vec<(String, f64)>,
    mark: Option<u64>,
}

/// A drained server that a proxy could still pick, and for how long after the end of its grace period.
#[derive(Clone, Debug, PartialEq)]
pub struct LateWork {
    pub at: Span,
    pub proxy: usize,
    pub server: String,
    pub late: Span,
}

pub struct Fleet {
    pub config: FleetConfig,
    pub now: Moment,
    pub servers: Vec<Server>,
    pub proxies: Vec<Proxy>,
    pub rng: fastrand::Rng,
    pub version: u64,
    /// Changed servers by list version.
    changes: VecDeque<(u64, BTreeSet<usize>)>,
    node: Platform,
    out: Outbox,
    timers: BinaryHeap<Reverse<(Moment, u64)>>,
    discovery: Option<Link>,
    watch: Option<(u64, Moment)>,
    links: BTreeMap<Link, usize>,
    probes: BTreeMap<Link, usize>,
    queue: VecDeque<Queued>,
    queued_lines: f64,
    /// Most lines that waited in the channel at a time.
    pub peak_queued_lines: f64,
    credit: f64,
    arriving: VecDeque<(Moment, Queued)>,
    acks: VecDeque<(Moment, usize, Link, u64)>,
    pub pace: f64,
    /// Zones whose servers no probe of the planner reaches.
    pub unreachable_zones: BTreeSet<usize>,
    started: Moment,
    pub late: Vec<LateWork>,
    late_seen: BTreeSet<(usize, String)>,
    collectors: Vec<Link>,
    report_at: Moment,
}

pub fn entry(server: &Server, index: usize) -> String {
    let state = match server.state {
        State::Ready => "Ready",
        State::Terminating => "Terminating",
        State::Gone => "Gone",
    };
    let port = FIRST_SERVER_PORT + index;
    format!(
        r#"{{"uid":"{}","endpoint":"127.0.0.3:{port}","az":"{}","model":"m","pod_group":{},"state":"{state}","capacity_hint":3.0,"boot_ms":{}}}"#,
        server.name,
        ZONES[server.zone],
        index % 30,
        server.boot_ms
    )
}

fn settings(config: &FleetConfig, seed: u64, known: &str) -> String {
    let FleetConfig {
        proxies,
        planners,
        lines_per_s,
        max_queued_lines,
        drain_grace,
        max_transit,
        warmup,
        ..
    } = config;
    let zones = ZONES.map(|zone| format!("\"{zone}\"")).join(",");
    format!(
        r#"{{"name":"n2","listen":"127.0.0.1:0","discovery":"127.0.0.2:85","seed":"{seed:016x}",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":2744}},"known":{known},
        "settings":{{"Zones":[{zones}],"Balancers":{planners},"Discovery":"pushed",
          "Profiles":[{{"Name":"view","Semantics":"free","Credit":2.0,"SloNs":1000000000,"DeadlineNs":2500000000}},
            {{"Name":"set","Semantics":"free","Credit":3.0,"SloNs":1000000000,"DeadlineNs":3000000000}},
            {{"Name":"record","Semantics":"single_shot","Credit":2.0,"SloNs":600000000,"DeadlineNs":1500000000}}],
          "Permissions":{{"Probes":true,"KeepaliveNs":15000000000}},"Feedback":{{"How":"inline"}},
          "Deductions":{{"CrossZone":0.08}},
          "Contract":{{"DrainGraceNs":{},"ColdNs":{},"ColdFrom":0.2,"FallNs":3000000000,"OverloadFactor":3.0}},
          "FamilyInfo":{{"DataPlaneSize":{proxies},"Head":3.0,"PendingMax":{max_queued_lines},"EgressPerS":{lines_per_s},
            "TransitMaxNs":{},"ThrottleBy":"off","FailsToEject":5,"SmallestConnTable":233.0,"FirstWait":1.2}}}}}}"#,
        drain_grace.0, warmup.0, max_transit.0
    )
}

impl Fleet {
    pub fn new(config: FleetConfig, seed: u64) -> Fleet {
        let mut rng = fastrand::Rng::with_seed(seed);
        let servers: Vec<Server> = (0..config.servers)
            .map(|index| Server {
                name: format!("s-{index:08x}"),
                zone: index % ZONES.len(),
                state: State::Ready,
                boot_ms: 0,
                told_at: None,
            })
            .collect();
        let proxies = (0..config.proxies)
            .map(|index| Proxy {
                zone: index % ZONES.len(),
                rate: 2.7 * (-(rng.f64().max(1e-6)).ln()).max(0.1),
                link: None,
                joined_at: START,
                table: BTreeMap::new(),
                silent_until: START,
                spoilt_acks: 0,
                reader: Reader::new(Bounds { bytes: 1 << 20, items: 8_192 }),
                report_at: START,
            })
            .collect();
        let version = config.known_version;
        let known = Fleet::list_of(&servers, version, true, None);
        let text = settings(&config, rng.u64(..), &known);
        let node = Platform::new(START, Config::parse(&text, |_| None).expect("a configuration"), "c".into());
        let pace = config.lines_per_s;
        let mut fleet = Fleet {
            config,
            now: START,
            servers,
            proxies,
            rng,
            version,
            changes: VecDeque::new(),
            node,
            out: Outbox::default(),
            timers: BinaryHeap::new(),
            discovery: None,
            watch: None,
            links: BTreeMap::new(),
            probes: BTreeMap::new(),
            queue: VecDeque::new(),
            queued_lines: 0.0,
            peak_queued_lines: 0.0,
            credit: 0.0,
            arriving: VecDeque::new(),
            acks: VecDeque::new(),
            pace,
            unreachable_zones: BTreeSet::new(),
            started: START,
            late: Vec::new(),
            late_seen: BTreeSet::new(),
            collectors: Vec::new(),
            report_at: START,
        };
        fleet.begin();
        fleet
    }

    fn begin(&mut self) {
        self.input(Input::Start);
        self.collectors = (0..ZONES.len())
            .map(|zone| {
                let link = self.accept();
                self.send(link, &format!("SOURCE az {}", ZONES[zone]));
                link
            })
            .collect();
    }

    fn list_of(servers: &[Server], version: u64, whole: bool, only: Option<&BTreeSet<usize>>) -> String {
        let rows = servers.iter().enumerate().filter(|(at, server)| match only {
            Some(only) => only.contains(at),
            None => server.state != State::Gone,
        });
        let rows: Vec<String> = rows.map(|(at, server)| entry(server, at)).collect();
        format!(r#"{{"rev":{version},"all":{whole},"targets":[{}]}}"#, rows.join(","))
    }

    pub fn elapsed(&self) -> Span {
        self.now.since(START)
    }

    fn input(&mut self, input: Input<'_>) {
        self.node.handle(self.now, input, &mut self.out);
        for effect in std::mem::take(&mut self.out.effects) {
            self.carry_out(effect);
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::SetTimer { timer, at } => self.timers.push(Reverse((at, timer))),
            Effect::Connect { link, to, .. } if to.port() == DISCOVERY_PORT => {
                self.discovery = Some(link);
                self.watch = None;
                self.timers.push(Reverse((self.now, DISCOVERY_OPENED)));
            }
            Effect::Connect { link, to, .. } => self.start_probe(link, to),
            Effect::Send { link, bytes } if self.discovery == Some(link) => {
                let text = String::from_utf8_lossy(&bytes).into_owned();
                let since =
                    text.split_once("since=").and_then(|(_, rest)| rest.split('&').next()?.parse().ok());
                self.watch = Some((since.unwrap_or(WHOLE), self.now + Span::millis(1_500)));
            }
            Effect::Send { link, bytes } => self.received_by_proxy(link, &bytes),
            Effect::Cut { link } | Effect::Finish { link } => {
                if self.discovery == Some(link) {
                    self.discovery = None;
                }
                self.probes.remove(&link);
                if let Some(proxy) =
                    self.links.remove(&link).filter(|at| self.proxies[*at].link == Some(link))
                {
                    self.proxies[proxy].link = None;
                }
            }
            _ => {}
        }
    }

    fn start_probe(&mut self, link: Link, to: SocketAddr) {
        self.probes.insert(link, usize::from(to.port()) - FIRST_SERVER_PORT);
    }

    fn received_by_proxy(&mut self, link: Link, bytes: &[u8]) {
        let Some(proxy) = self.links.get(&link).copied() else { return };
        self.proxies[proxy].reader.push(bytes);
        let mut message =
            Queued { proxy, link, lines: MESSAGE_OVERHEAD, whole: false, changes: Vec::new(), mark: None };
        while let Ok(Some(items)) = self.proxies[proxy].reader.next_message() {
            let words: Vec<String> =
                items.iter().map(|item| String::from_utf8_lossy(item).into_owned()).collect();
            let mut more = false;
            for pair in words[1..].chunks(2) {
                match pair[0].as_str() {
                    "whole" => message.whole = true,
                    "more" => more = true,
                    "ticket" => message.mark = pair[1].parse().ok(),
                    "lines" => message.changes.extend(pair[1].split(',').map(|line| {
                        let (name, weight) = line.split_once(':').expect("a line");
                        (name.to_string(), weight.parse().expect("a weight"))
                    })),
                    _ => continue,
                }
            }
            if !more {
                message.lines += message.changes.len() as f64
                    + f64::from(u8::from(message.whole))
                    + f64::from(u8::from(message.mark.is_some()));
                self.queued_lines += message.lines;
                self.peak_queued_lines = self.peak_queued_lines.max(self.queued_lines);
                self.queue.push_back(message);
                message = Queued {
                    proxy,
                    link,
                    lines: MESSAGE_OVERHEAD,
                    whole: false,
                    changes: Vec::new(),
                    mark: None,
                };
            }
        }
    }

    fn accept(&mut self) -> Link {
        let link = self.out.link();
        self.input(Input::Accepted { link, listener: 0, from: SocketAddr::from(([127, 0, 0, 9], 9)) });
        link
    }

    fn send(&mut self, link: Link, text: &str) {
        let mut bytes = Vec::new();
        write_array(text.split(' '), &mut bytes);
        self.input(Input::Bytes { link, bytes: &bytes });
    }

    pub fn join(&mut self, proxy: usize) {
        let link = self.accept();
        self.links.insert(link, proxy);
        self.proxies[proxy].link = Some(link);
        self.proxies[proxy].joined_at = self.now;
        self.proxies[proxy].reader = Reader::new(Bounds { bytes: 1 << 20, items: 8_192 });
        self.proxies[proxy].report_at = self.now + Span::millis(self.rng.u64(0..2_000));
        let (zone, rate) = (self.proxies[proxy].zone, self.proxies[proxy].rate);
        let bare = u8::from(self.proxies[proxy].table.is_empty());
        let text = format!("SUBSCRIBE sidecar {proxy} az {} share {rate:.2} standing {bare}", ZONES[zone]);
        self.send(link, &text);
    }

    pub fn leave(&mut self, proxy: usize) {
        if let Some(link) = self.proxies[proxy].link.take() {
            self.links.remove(&link);
            self.input(Input::Closed { link, why: Ended::Reset });
        }
    }

    /// Changes the states of servers; discovery reports it as one version.
    pub fn change(&mut self, changes: &[(usize, State)]) {
        self.version += 1;
        let boot_ms = self.now.0 / 1_000_000;
        for (at, state) in changes {
            let server = &mut self.servers[*at];
            if *state == State::Ready && server.state == State::Gone {
                server.boot_ms = boot_ms;
            }
            server.told_at = server.told_at.filter(|_| *state != State::Ready);
            server.state = *state;
        }
        self.changes.push_back((self.version, changes.iter().map(|change| change.0).collect()));
        self.answer_watch();
    }

    fn answer_watch(&mut self) {
        let (Some(link), Some((since, deadline))) = (self.discovery, self.watch) else { return };
        let whole = since == WHOLE;
        if !whole && since >= self.version && self.now < deadline {
            return;
        }
        self.watch = None;
        let whole = whole || self.rng.f64() < WHOLE_LIST_SHARE;
        let now = self.now;
        let drained = self.servers.iter_mut().filter(|server| server.state != State::Ready);
        drained.for_each(|server| server.told_at = server.told_at.or(Some(now)));
        let changed: BTreeSet<usize> = self
            .changes
            .iter()
            .filter(|change| change.0 > since)
            .flat_map(|change| change.1.clone())
            .collect();
        let body = Fleet::list_of(&self.servers, self.version, whole, (!whole).then_some(&changed));
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        self.input(Input::Bytes { link, bytes: answer.as_bytes() });
    }

    /// Kills the planner: all streams end. Messages in the channel are lost.
    pub fn kill(&mut self) {
        self.proxies.iter_mut().for_each(|proxy| proxy.link = None);
        self.links.clear();
        self.probes.clear();
        self.queue.clear();
        self.queued_lines = 0.0;
        self.arriving.clear();
        self.acks.clear();
        self.timers.clear();
        (self.discovery, self.watch) = (None, None);
    }

    /// Starts the planner anew from a list as it was at `known_version`.
    pub fn restart(&mut self, known: &[Server], known_version: u64) {
        let known = Fleet::list_of(known, known_version, true, None);
        let text = settings(&self.config, self.rng.u64(..), &known);
        self.node =
            Platform::new(self.now, Config::parse(&text, |_| None).expect("a configuration"), "c".into());
        self.out = Outbox::default();
        self.started = self.now;
        let now = self.now;
        let told = self.servers.iter_mut().filter(|server| server.state != State::Ready);
        told.for_each(|server| server.told_at = Some(now));
        self.begin();
    }

    pub fn run_until(&mut self, end: Span) {
        while self.elapsed() < end {
            self.step();
        }
    }

    fn step(&mut self) {
        let end = self.now + STEP;
        while let Some(Reverse((at, timer))) = self.timers.peek().copied() {
            if at > end {
                break;
            }
            self.timers.pop();
            self.now = self.now.max(at);
            match timer {
                DISCOVERY_OPENED => {
                    if let Some(link) = self.discovery {
                        self.input(Input::Opened { link });
                        self.answer_watch();
                    }
                }
                timer => self.input(Input::TimerFired { timer }),
            }
        }
        self.now = end;
        self.answer_watch();
        self.answer_probes();
        self.deliver();
        self.report();
        if (self.elapsed().0 / STEP.0).is_multiple_of(JUDGED_STEPS) {
            self.judge();
        }
    }

    fn answer_probes(&mut self) {
        for (link, server) in std::mem::take(&mut self.probes) {
            if self.unreachable_zones.contains(&self.servers[server].zone) {
                self.probes.insert(link, server);
            } else if self.servers[server].state == State::Gone {
                self.input(Input::Closed { link, why: Ended::Refused });
            } else {
                self.input(Input::Opened { link });
                let body = "TEXT inflight=3, util=0.55";
                let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
                self.input(Input::Bytes { link, bytes: answer.as_bytes() });
            }
        }
    }

    fn deliver(&mut self) {
        self.credit += self.pace * STEP.seconds();
        while let Some(message) = self.queue.front() {
            if message.lines > self.credit {
                break;
            }
            self.credit -= message.lines;
            let Some(message) = self.queue.pop_front() else { break };
            self.queued_lines -= message.lines;
            let transit = self.config.max_transit.times(0.2 + 0.6 * self.rng.f64());
            // Messages of one stream arrive in order.
            let proxy = message.proxy;
            let before = self.arriving.iter().filter(|sent| sent.1.proxy == proxy).map(|sent| sent.0).max();
            self.arriving.push_back(((self.now + transit).max(before.unwrap_or(self.now)), message));
        }
        if self.queue.is_empty() {
            self.credit = 0.0;
        }
        let mut waiting = VecDeque::new();
        for (at, message) in std::mem::take(&mut self.arriving) {
            if at > self.now {
                waiting.push_back((at, message));
                continue;
            }
            let proxy = &mut self.proxies[message.proxy];
            if proxy.link != Some(message.link) {
                continue;
            }
            if proxy.silent_until > self.now {
                waiting.push_back((proxy.silent_until, message));
                continue;
            }
            if message.whole {
                proxy.table.clear();
            }
            for (name, weight) in message.changes {
                if weight > 0.0 {
                    proxy.table.insert(name, weight);
                } else {
                    proxy.table.remove(&name);
                }
            }
            if let Some(mark) = message.mark {
                self.acks.push_back((self.now + Span::millis(20), message.proxy, message.link, mark));
            }
        }
        self.arriving = waiting;
        while self.acks.front().is_some_and(|ack| ack.0 <= self.now) {
            let Some((_, proxy, link, mark)) = self.acks.pop_front() else { break };
            if self.proxies[proxy].link == Some(link) {
                if self.proxies[proxy].spoilt_acks > 0 {
                    self.proxies[proxy].spoilt_acks -= 1;
                    self.send(link, &format!("ACK sidecar {proxy} version - lag_ms 10"));
                } else {
                    self.send(link, &format!("ACK sidecar {proxy} version {mark} lag_ms 10"));
                }
            }
        }
    }

    fn report(&mut self) {
        for at in 0..self.proxies.len() {
            let due = self.proxies[at].report_at <= self.now && self.proxies[at].silent_until <= self.now;
            if let Some(link) = self.proxies[at].link.filter(|_| due) {
                self.proxies[at].report_at = self.now + Span::millis(2_000);
                let calls = (self.proxies[at].rate * 2.0).round() as u64;
                self.send(link, &format!("RATE sidecar {at} kind view n {calls} bad 0 window 2000"));
            }
        }
        if self.report_at <= self.now {
            self.report_at = self.now + Span::millis(500);
            for _ in 0..60 {
                let (server, zone) = (self.rng.usize(0..self.servers.len()), self.rng.usize(0..ZONES.len()));
                let bad = if self.servers[server].state == State::Gone { 8 } else { 0 };
                let name = self.servers[server].name.clone();
                let zone_name = ZONES[zone];
                let link = self.collectors[zone];
                self.send(
                    link,
                    &format!(
                        "LOAD az {zone_name} host {name} n 8 bad {bad} avg 150 window 1000 report util:0.55"
                    ),
                );
            }
        }
    }

    fn judge(&mut self) {
        let allowed = self.config.drain_grace + SLACK;
        let told: BTreeMap<&str, Moment> =
            self.servers.iter().filter_map(|server| Some((server.name.as_str(), server.told_at?))).collect();
        for (at, proxy) in self
            .proxies
            .iter()
            .enumerate()
            .filter(|(_, proxy)| proxy.link.is_some() && proxy.silent_until <= self.now)
        {
            for name in proxy.table.keys() {
                let Some(told_at) = told.get(name.as_str()) else { continue };
                let due = (*told_at)
                    .max(proxy.joined_at)
                    .max(proxy.silent_until)
                    .max(self.started + Span::millis(1_000))
                    + allowed;
                if self.now > due && self.late_seen.insert((at, name.clone())) {
                    let late = self.now.since(due);
                    self.late.push(LateWork {
                        at: self.now.since(START),
                        proxy: at,
                        server: name.clone(),
                        late,
                    });
                }
            }
        }
        let still = |proxy: usize, name: &String| {
            self.proxies[proxy].link.is_some()
                && self.proxies[proxy].table.contains_key(name)
                && told.contains_key(name.as_str())
        };
        let seen = std::mem::take(&mut self.late_seen);
        self.late_seen = seen.into_iter().filter(|(proxy, name)| still(*proxy, name)).collect();
    }
}
