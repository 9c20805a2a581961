//! The relay: every stream of a rehearsal goes through it. It records what passes and injects faults.
//!
//! Each party that others call has a door here, and calls from an address of its own, so that both ends of a
//! stream are known when it opens. Bytes are passed on as they came; reading them is only for the recording.
//!
//! A cut holds bytes and ends of connections back in both directions, as a network does that loses all
//! packets: neither side notices until its own patience ends, and what was held goes on when the cut heals.

use crate::bell::{Bell, Rung};
use crate::record::{Kind, Row};
use crate::words::{ATTEMPT, CALL, MEANT, RAN, WORK};
use pewtergap_control::endpoints::{parse_slice, Slice, SliceList, WatchEvent};
use pewtergap_http::{Head, Limits, Part, Reader, Side, StartLine};
use pewtergap_node::{Effect, Ended, Input, Link, Node, Outbox};
use pewtergap_planner::ListedState;
use pewtergap_protocol::{planner_message, proxy_message, FrameReader, PlannerMessage, ProxyMessage};
use pewtergap_proxy::ENDED_HEADER;
use pewtergap_time::{Moment, Span};
use std::any::Any;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::{IpAddr, SocketAddr};

/// What goes through a door.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Passes {
    /// Streams of proxies to a planner.
    Streams,
    /// Calls of proxies, and probes of planners, to a server.
    Work,
    /// Calls of clients to a proxy.
    Calls,
    /// Planners asking for the list.
    List,
}

#[derive(Clone, Debug)]
pub struct Door {
    pub passes: Passes,
    /// The party behind it.
    pub name: String,
    pub zone: String,
    pub listen: SocketAddr,
}

/// Who calls from an address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Party {
    pub name: String,
    pub zone: String,
}

struct Opened {
    door: Door,
    upstream: Option<SocketAddr>,
    /// As bound.
    at: Option<SocketAddr>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// To the party behind the door.
    In,
    /// Back to the caller.
    Back,
}

/// What is read of a stream, for the recording.
enum Reads {
    Calls {
        asks: Box<Reader>,
        answers: Box<Reader>,
        head: Option<Head>,
        call: Option<Box<Row>>,
    },
    Stream {
        ups: FrameReader<ProxyMessage>,
        downs: FrameReader<PlannerMessage>,
        proxy: String,
        joined: bool,
        told: bool,
        bound: bool,
    },
    List {
        answers: Reader,
        body: Vec<u8>,
        watching: bool,
        known: BTreeMap<String, BTreeSet<String>>,
    },
    /// Something came that cannot be read; it still passes.
    Nothing,
}

#[derive(Default)]
struct Held {
    queue: VecDeque<(Moment, Vec<u8>)>,
    /// The sender closed; told on when the queue is empty.
    ended: bool,
    last: Moment,
}

struct Pair {
    door: usize,
    party: Party,
    /// The caller's end, and ours to the party behind the door.
    ends: [Option<Link>; 2],
    held: [Held; 2],
    reads: Reads,
}

#[derive(Clone, Copy, Debug)]
struct Slow {
    delay: Span,
    bytes_per_s: f64,
}

pub struct Relay {
    bell: Bell,
    doors: Vec<Opened>,
    parties: HashMap<IpAddr, Party>,
    /// Servers by the address at which others know them.
    names: HashMap<String, String>,
    pairs: BTreeMap<u64, Pair>,
    by_link: HashMap<Link, (u64, Way)>,
    next: u64,
    cut_zones: BTreeSet<String>,
    /// Parties of which nothing passes, though their connections stand.
    stalled: BTreeSet<String>,
    slow: BTreeMap<String, Slow>,
    /// Part of the answers of servers that is taken away, and at which.
    lost: Option<(f64, BTreeSet<String>)>,
    rng: fastrand::Rng,
    pub rows: Vec<Row>,
}

/// A recording is kept in memory until the day ends; beyond this it says so and stops.
const MOST_ROWS: usize = 5_000_000;
/// Held of one stream and way; beyond it the sender is no longer read from.
const MOST_HELD: usize = 4 * 1024 * 1024;
const RETRY: Span = Span::millis(20);

impl Relay {
    pub fn new(doors: Vec<Door>, parties: HashMap<IpAddr, Party>, seed: u64, bell: Bell) -> Relay {
        Relay {
            bell,
            doors: doors.into_iter().map(|door| Opened { door, upstream: None, at: None }).collect(),
            parties,
            names: HashMap::new(),
            pairs: BTreeMap::new(),
            by_link: HashMap::new(),
            next: 0,
            cut_zones: BTreeSet::new(),
            stalled: BTreeSet::new(),
            slow: BTreeMap::new(),
            lost: None,
            rng: fastrand::Rng::with_seed(seed),
            rows: Vec::new(),
        }
    }

    fn row(&mut self, row: Row) {
        if self.rows.len() >= MOST_ROWS {
            return;
        }
        self.rows.push(row);
        if self.rows.len() == MOST_ROWS {
            self.bell.ring(Rung::Failed(format!("the recording is full at {MOST_ROWS} rows")));
        }
    }

    fn listen(&mut self, at: usize, out: &mut Outbox) {
        let listen = self.doors[at].at.unwrap_or(self.doors[at].door.listen);
        out.push(Effect::Listen { listener: at as u32, at: listen });
    }

    /// Servers share a port, as the list tells one for all of a zone: the first finds it, the others follow.
    fn listening(&mut self, door: usize, at: SocketAddr, out: &mut Outbox) {
        let known = self.doors[door].at.replace(at).is_some();
        let opened = &self.doors[door].door;
        if opened.passes == Passes::Work {
            self.names.insert(at.to_string(), opened.name.clone());
        }
        if known {
            return;
        }
        self.bell.listens(&format!("door {}", opened.name), at);
        let first = self.doors.iter().position(|opened| opened.door.passes == Passes::Work);
        if first == Some(door) {
            for other in door + 1..self.doors.len() {
                if self.doors[other].door.passes == Passes::Work {
                    self.doors[other].door.listen.set_port(at.port());
                    self.listen(other, out);
                }
            }
        }
    }

    fn accepted(&mut self, link: Link, door: usize, from: SocketAddr, out: &mut Outbox) {
        let Some(upstream) = self.doors[door].upstream else { return out.cut(link) };
        let unknown = || Party { name: from.ip().to_string(), zone: String::new() };
        let party = self.parties.get(&from.ip()).cloned().unwrap_or_else(unknown);
        let up = out.connect(upstream, None);
        let calls = || Reader::new(Side::Requests, Limits { body: u64::MAX, ..Limits::default() });
        let answers = || Reader::new(Side::Responses, Limits { body: u64::MAX, ..Limits::default() });
        let reads = match self.doors[door].door.passes {
            Passes::Streams => Reads::Stream {
                ups: FrameReader::default(),
                downs: FrameReader::default(),
                proxy: String::new(),
                joined: false,
                told: false,
                bound: false,
            },
            Passes::List => {
                Reads::List { answers: answers(), body: Vec::new(), watching: false, known: BTreeMap::new() }
            }
            _ => {
                Reads::Calls { asks: Box::new(calls()), answers: Box::new(answers()), head: None, call: None }
            }
        };
        self.next += 1;
        let pair = Pair { door, party, ends: [Some(link), Some(up)], held: Default::default(), reads };
        self.by_link.insert(link, (self.next, Way::In));
        self.by_link.insert(up, (self.next, Way::Back));
        self.pairs.insert(self.next, pair);
    }

    /// Whether nothing passes between the two ends now.
    fn cut(&self, pair: &Pair) -> bool {
        let door = &self.doors[pair.door].door;
        // A cut zone talks within itself, and to its own clients, who stand at their proxies.
        let apart =
            |zone: &String| (*zone == pair.party.zone) != (*zone == door.zone) && !pair.party.zone.is_empty();
        let stalled = |name: &String| self.stalled.contains(name);
        self.cut_zones.iter().any(apart) || stalled(&door.name) || stalled(&pair.party.name)
    }

    fn slowness(&self, pair: &Pair) -> Option<Slow> {
        let door = &self.doors[pair.door].door;
        let kind = match door.passes {
            Passes::Streams => "streams",
            Passes::Work => "work",
            Passes::Calls => "calls",
            Passes::List => "list",
        };
        let crossing = (pair.party.zone != door.zone && !pair.party.zone.is_empty()).then_some("crossing");
        let names = [Some(kind), Some(door.name.as_str()), Some(pair.party.name.as_str()), crossing];
        names.into_iter().flatten().find_map(|name| self.slow.get(name)).copied()
    }

    // ---- passing on

    fn bytes(&mut self, now: Moment, link: Link, bytes: &[u8], out: &mut Outbox) {
        let Some((id, way)) = self.by_link.get(&link).copied() else { return };
        let Some(pair) = self.pairs.get(&id) else { return };
        let slow = self.slowness(pair);
        // A planner's message counts as out when it is on its socket; all else counts when it is delivered.
        let stream = matches!(pair.reads, Reads::Stream { .. });
        if stream {
            self.read(now, id, way, bytes);
        }
        let Some(pair) = self.pairs.get_mut(&id) else { return };
        let held = &mut pair.held[way as usize];
        let delay =
            slow.map_or(Span(0), |slow| slow.delay + Span::of_seconds(bytes.len() as f64 / slow.bytes_per_s));
        held.last = held.last.max(now) + delay;
        if delay.0 == 0 {
            held.last = now;
        }
        held.queue.push_back((held.last, bytes.to_vec()));
        if held.queue.iter().map(|part| part.1.len()).sum::<usize>() > MOST_HELD {
            out.push(Effect::Pause { link });
        }
        self.flush(now, id, out);
    }

    /// Passes on what is due of a pair, unless it is cut off.
    fn flush(&mut self, now: Moment, id: u64, out: &mut Outbox) {
        let mut next: Option<Moment> = None;
        for way in [Way::In, Way::Back] {
            loop {
                let Some(pair) = self.pairs.get(&id) else { return };
                if self.cut(pair) {
                    return;
                }
                let stream = matches!(pair.reads, Reads::Stream { .. });
                let Some(pair) = self.pairs.get_mut(&id) else { return };
                let held = &mut pair.held[way as usize];
                let Some((at, _)) = held.queue.front() else { break };
                if *at > now {
                    next = next.into_iter().chain([*at]).min();
                    break;
                }
                let Some((_, bytes)) = held.queue.pop_front() else { break };
                if !stream && !self.read(now, id, way, &bytes) {
                    // The answer vanishes: the server has done its work, and nobody hears of it.
                    return self.reset_one(now, id, out);
                }
                let Some(pair) = self.pairs.get(&id) else { return };
                // What comes from one end goes to the other.
                if let Some(to) = pair.ends[1 - way as usize] {
                    out.send(to, bytes);
                }
                if let Some(link) = pair.ends[way as usize] {
                    out.push(Effect::Resume { link });
                }
            }
            let Some(pair) = self.pairs.get_mut(&id) else { return };
            let held = &pair.held[way as usize];
            if held.ended && held.queue.is_empty() {
                if let Some(to) = pair.ends[1 - way as usize].take() {
                    self.by_link.remove(&to);
                    out.finish(to);
                }
            }
        }
        let Some(pair) = self.pairs.get(&id) else { return };
        if pair.ends.iter().all(Option::is_none) {
            self.end(now, id);
        } else if let Some(at) = next {
            out.set_timer(id, at);
        }
    }

    fn closed(&mut self, now: Moment, link: Link, why: Ended, out: &mut Outbox) {
        let Some((id, way)) = self.by_link.remove(&link) else { return };
        let Some(pair) = self.pairs.get_mut(&id) else { return };
        pair.ends[way as usize] = None;
        pair.held[way as usize].ended = true;
        // Nothing can be written to an end that is gone.
        pair.held[1 - way as usize].queue.clear();
        self.tell_joined(now, id);
        let hidden = self.pairs.get(&id).is_some_and(|pair| self.cut(pair));
        if matches!(why, Ended::Reset | Ended::Refused | Ended::Unavailable | Ended::Overflow) && !hidden {
            // A reset overtakes what waits.
            if let Some(other) = self.pairs.get_mut(&id).and_then(|pair| pair.ends[1 - way as usize].take()) {
                self.by_link.remove(&other);
                out.cut(other);
            }
            return self.end(now, id);
        }
        self.flush(now, id, out);
    }

    fn end(&mut self, now: Moment, id: u64) {
        if let Some(pair) = self.pairs.get_mut(&id) {
            pair.ends = [None, None];
        }
        self.tell_joined(now, id);
        self.pairs.remove(&id);
    }

    /// A proxy is joined while its stream stands and something can pass: behind a cut nobody can be told
    /// anything, and when it heals the time for that begins anew.
    fn tell_joined(&mut self, now: Moment, id: u64) {
        let Some(pair) = self.pairs.get(&id) else { return };
        let stands = pair.ends.iter().all(Option::is_some) && !self.cut(pair);
        let Some(pair) = self.pairs.get_mut(&id) else { return };
        let Reads::Stream { proxy, joined, told, .. } = &mut pair.reads else { return };
        let is = *joined && stands;
        if std::mem::replace(told, is) != is {
            let kind = if is { Kind::Joined } else { Kind::Left };
            let row = Row::new(now.0, kind, proxy, &self.doors[pair.door].door.name);
            self.row(row);
        }
    }

    // ---- the recording

    /// Reads what passes; false when it is to be taken away.
    fn read(&mut self, now: Moment, id: u64, way: Way, bytes: &[u8]) -> bool {
        let Some(pair) = self.pairs.get_mut(&id) else { return true };
        let (door, party) = (self.doors[pair.door].door.clone(), pair.party.clone());
        let mut reads = std::mem::replace(&mut pair.reads, Reads::Nothing);
        let fine = match &mut reads {
            Reads::Calls { .. } => self.read_calls(now, &door, &party, &mut reads, way, bytes),
            Reads::Stream { .. } => self.read_stream(now, &door, &mut reads, way, bytes),
            Reads::List { .. } => self.read_list(now, &party, &mut reads, way, bytes),
            Reads::Nothing => Some(true),
        };
        if let (Some(pair), Some(_)) = (self.pairs.get_mut(&id), fine) {
            pair.reads = reads;
        }
        self.tell_joined(now, id);
        fine.unwrap_or(true)
    }

    /// Nothing when it could not be read.
    fn read_calls(
        &mut self,
        now: Moment,
        door: &Door,
        party: &Party,
        reads: &mut Reads,
        way: Way,
        bytes: &[u8],
    ) -> Option<bool> {
        let Reads::Calls { asks, answers, head, call } = reads else { return Some(true) };
        let reader = if way == Way::In { asks } else { answers };
        reader.push(bytes);
        let mut passes = true;
        while let Some(part) = reader.next_part().ok()? {
            match (way, part) {
                (_, Part::Head(came)) => *head = Some(came),
                (_, Part::Data(_)) => {}
                (Way::In, Part::End) => {
                    let Some(head) = head.take() else { continue };
                    let (StartLine::Request { target, .. }, Some(id)) = (&head.first, head.header(CALL))
                    else {
                        // No client's call: a planner asks how the server is.
                        if door.passes == Passes::Work {
                            self.row(Row::new(now.0, Kind::Probed, &party.name, &door.name));
                        }
                        continue;
                    };
                    let kind = if door.passes == Passes::Work { Kind::Sent } else { Kind::Asked };
                    let whole =
                        |name: &str| head.header(name).and_then(|text| text.parse::<i64>().ok()).unwrap_or(0);
                    let row = Row {
                        call: id.into(),
                        route: target.trim_start_matches('/').split('/').next().unwrap_or("").into(),
                        n: whole(ATTEMPT),
                        m: whole(MEANT),
                        x: whole(WORK) as f64,
                        ..Row::new(now.0, kind, &party.name, &door.name)
                    };
                    *call = Some(Box::new(row.clone()));
                    self.row(row);
                }
                (Way::Back, Part::End) => {
                    let (Some(head), Some(asked)) = (head.take(), call.take()) else { continue };
                    let kind = if door.passes == Passes::Work { Kind::Served } else { Kind::Answered };
                    let mut text = head.header(ENDED_HEADER).unwrap_or("").to_string();
                    if kind == Kind::Served {
                        let lost = self
                            .lost
                            .as_ref()
                            .filter(|lost| lost.1.is_empty() || lost.1.contains(&door.name));
                        if lost.map(|lost| lost.0).is_some_and(|share| self.rng.f64() < share) {
                            text = "lost".into();
                            passes = false;
                        }
                    }
                    let row = Row {
                        call: asked.call,
                        route: asked.route,
                        n: i64::from(head.status()),
                        m: i64::from(head.header(RAN) == Some("1")),
                        text,
                        ..Row::new(now.0, kind, &door.name, &party.name)
                    };
                    self.row(row);
                }
            }
        }
        Some(passes)
    }

    fn read_stream(
        &mut self,
        now: Moment,
        door: &Door,
        reads: &mut Reads,
        way: Way,
        bytes: &[u8],
    ) -> Option<bool> {
        let Reads::Stream { ups, downs, proxy, joined, bound, .. } = reads else { return Some(true) };
        if way == Way::In {
            ups.push(bytes);
            while let Some(message) = ups.next_message().ok()? {
                match message.kind? {
                    proxy_message::Kind::Hello(hello) => *proxy = hello.proxy,
                    proxy_message::Kind::Ack(ack) => {
                        if !std::mem::replace(bound, true) {
                            self.bell.ring(Rung::Bound(proxy.clone()));
                        }
                        let row =
                            Row { n: ack.nonce as i64, ..Row::new(now.0, Kind::Acked, proxy, &door.name) };
                        self.row(row);
                    }
                    proxy_message::Kind::Nack(nack) => {
                        let (n, text) = (nack.nonce as i64, nack.reason);
                        self.row(Row { n, text, ..Row::new(now.0, Kind::Nacked, proxy, &door.name) });
                    }
                    _ => {}
                }
            }
            return Some(true);
        }
        downs.push(bytes);
        while let Some(message) = downs.next_message().ok()? {
            match message.kind? {
                planner_message::Kind::Welcome(_) => *joined = true,
                planner_message::Kind::Update(update) => {
                    let text = format!("turn {} nonce {}", update.turn, update.nonce);
                    let row = Row {
                        n: i64::from(update.lines),
                        m: update.ordered_at as i64,
                        text,
                        ..Row::new(now.0, Kind::Update, &door.name, proxy)
                    };
                    self.row(row);
                }
                _ => {}
            }
        }
        Some(true)
    }

    fn read_list(
        &mut self,
        now: Moment,
        party: &Party,
        reads: &mut Reads,
        way: Way,
        bytes: &[u8],
    ) -> Option<bool> {
        let Reads::List { answers, body, watching, known } = reads else { return Some(true) };
        if way == Way::In {
            return Some(true);
        }
        answers.push(bytes);
        while let Some(part) = answers.next_part().ok()? {
            match part {
                Part::Head(head) => {
                    body.clear();
                    *watching = head.header("transfer-encoding").is_some();
                }
                Part::Data(data) => body.extend_from_slice(&data),
                Part::End if !*watching => {
                    let list: SliceList = serde_json::from_slice(body).ok()?;
                    known.clear();
                    for slice in list.items.iter().flatten() {
                        let names = self.listed(now, party, slice);
                        known.insert(slice.metadata.name.clone(), names);
                    }
                    // What this planner was told before and is not in this list is gone.
                    let row =
                        Row { text: "complete".into(), ..Row::new(now.0, Kind::Listed, "list", &party.name) };
                    self.row(row);
                }
                Part::End => {}
            }
            while let Some(end) = body.iter().position(|b| *b == b'\n').filter(|_| *watching) {
                let line: Vec<u8> = body.drain(..=end).collect();
                let Ok(line) = serde_json::from_slice::<WatchEvent>(&line) else { continue };
                let Ok(slice) = serde_json::from_value::<Slice>(line.object) else { continue };
                if matches!(line.kind.as_str(), "ADDED" | "MODIFIED") {
                    let names = self.listed(now, party, &slice);
                    let before = known.insert(slice.metadata.name.clone(), names.clone()).unwrap_or_default();
                    for name in before.difference(&names) {
                        let row = Row::new(now.0, Kind::Listed, "list", &party.name);
                        self.row(Row { route: "gone".into(), text: name.clone(), ..row });
                    }
                }
            }
        }
        Some(true)
    }

    /// A slice was told to a planner: one row an endpoint; the servers it names.
    fn listed(&mut self, now: Moment, party: &Party, slice: &Slice) -> BTreeSet<String> {
        let mut names = BTreeSet::new();
        for (at, endpoint) in parse_slice(slice, &mut Vec::new()) {
            let name = self.names.get(&at).cloned().unwrap_or(at);
            let state = if endpoint.state == ListedState::Stopping { "stopping" } else { "running" };
            names.insert(name.clone());
            let row = Row {
                route: state.into(),
                m: endpoint.started.map_or(0, |started| started.0 as i64),
                x: endpoint.weight,
                text: name,
                ..Row::new(now.0, Kind::Listed, "list", &party.name)
            };
            self.row(row);
        }
        names
    }

    // ---- words

    fn told(&mut self, now: Moment, word: &str, out: &mut Outbox) {
        let words: Vec<&str> = word.split_whitespace().collect();
        let number = |text: &str| text.parse::<f64>().unwrap_or(0.0);
        if words.first() != Some(&"upstream") {
            self.row(Row { text: word.into(), ..Row::new(now.0, Kind::Fault, "director", "relay") });
        }
        match words.as_slice() {
            ["upstream", name, at] => {
                let door = self.doors.iter_mut().find(|opened| opened.door.name == *name);
                if let (Some(opened), Ok(at)) = (door, at.parse()) {
                    opened.upstream = Some(at);
                }
            }
            ["refuse", name] => {
                if let Some(door) = self.doors.iter().position(|opened| opened.door.name == *name) {
                    out.push(Effect::Unlisten { listener: door as u32 });
                    self.reset(now, |pair| pair.door == door, out);
                }
            }
            ["accept", name] => {
                if let Some(door) = self.doors.iter().position(|opened| opened.door.name == *name) {
                    self.listen(door, out);
                }
            }
            ["cut", zone] => {
                self.cut_zones.insert(zone.to_string());
                self.flush_all(now, out);
            }
            ["heal", zone] => {
                self.cut_zones.remove(*zone);
                self.flush_all(now, out);
            }
            ["stall", name] => {
                self.stalled.insert(name.to_string());
                self.flush_all(now, out);
            }
            ["unstall", name] => {
                self.stalled.remove(*name);
                self.flush_all(now, out);
            }
            ["slow", what, delay_ms, bytes_per_s] => {
                let delay = Span::of_seconds(number(delay_ms) / 1e3);
                self.slow.insert(what.to_string(), Slow { delay, bytes_per_s: number(bytes_per_s).max(1.0) });
            }
            ["quick", what] => drop(self.slow.remove(*what)),
            ["lose", share, servers @ ..] => {
                let servers: BTreeSet<String> = servers.iter().map(|name| name.to_string()).collect();
                self.lost = Some((number(share), servers)).filter(|lost| lost.0 > 0.0);
            }
            ["break", share] => {
                let share = number(share);
                let doors: Vec<bool> = self.doors.iter().map(|d| d.door.passes == Passes::Streams).collect();
                let mut streams: Vec<u64> =
                    self.pairs.iter().filter(|pair| doors[pair.1.door]).map(|pair| *pair.0).collect();
                self.rng.shuffle(&mut streams);
                streams.truncate((streams.len() as f64 * share).ceil() as usize);
                for id in streams {
                    self.reset_one(now, id, out);
                }
            }
            _ => {}
        }
    }

    fn flush_all(&mut self, now: Moment, out: &mut Outbox) {
        for id in self.pairs.keys().copied().collect::<Vec<_>>() {
            self.tell_joined(now, id);
            self.flush(now, id, out);
        }
    }

    fn reset(&mut self, now: Moment, which: impl Fn(&Pair) -> bool, out: &mut Outbox) {
        let ids: Vec<u64> = self.pairs.iter().filter(|pair| which(pair.1)).map(|pair| *pair.0).collect();
        ids.into_iter().for_each(|id| self.reset_one(now, id, out));
    }

    fn reset_one(&mut self, now: Moment, id: u64, out: &mut Outbox) {
        if let Some(pair) = self.pairs.get(&id) {
            for end in pair.ends.iter().flatten() {
                self.by_link.remove(end);
                out.cut(*end);
            }
        }
        self.end(now, id);
    }
}

impl Node for Relay {
    fn handle(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) {
        match input {
            Input::Start => {
                let first = self.doors.iter().position(|opened| opened.door.passes == Passes::Work);
                for at in 0..self.doors.len() {
                    if self.doors[at].door.passes != Passes::Work || Some(at) == first {
                        self.listen(at, out);
                    }
                }
            }
            Input::Listening { listener: door, at } => self.listening(door as usize, at, out),
            // A door that opens again may find its old connections still closing.
            Input::NotListening { listener: door, .. } if self.doors[door as usize].at.is_some() => {
                out.set_timer(u64::MAX - u64::from(door), now + RETRY);
            }
            Input::NotListening { why, .. } => self.bell.ring(Rung::Failed(why)),
            Input::Accepted { link, listener: door, from } => self.accepted(link, door as usize, from, out),
            Input::Bytes { link, bytes } => self.bytes(now, link, bytes, out),
            Input::Closed { link, why } => self.closed(now, link, why, out),
            Input::TimerFired { timer } if timer > u64::MAX - self.doors.len() as u64 - 1 => {
                self.listen((u64::MAX - timer) as usize, out);
            }
            Input::TimerFired { timer } => self.flush(now, timer, out),
            Input::Command(word) => self.told(now, word, out),
            _ => {}
        }
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}
