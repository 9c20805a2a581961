//! The platform's planner as a node: messages to events, orders to messages.

use crate::config::{Config, Limits};
use crate::discovery::Discovery;
use crate::peers::{kind, transition, Effect as Does, Kind, Peer, Peers, Stand, Stream};
use crate::peers::{JOINED, MOST_MARKS, STRANGERS};
use crate::server_list::{Answer, News, ServerList, Target};
use crate::tables::Tables;
use pewtergap_control::probes::Probes;
use pewtergap_control::ProbeConfig;
use pewtergap_node::{Effect, Ended, Input, Level, Link, Node, Outbox};
use pewtergap_planner::interner::Interner;
use pewtergap_planner::{Action, Event, ListEntry, ListKind, ListedState, Load, Planner, ProbeOutcome};
use pewtergap_resp::{nack, parse, pong, Message, Reader, IN_FLIGHT, UTIL};
use pewtergap_time::{Moment, Span};
use std::any::Any;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

const DOOR: u32 = 0;

/// Events that come within this time share a turn.
const ROUND: Span = Span::millis(2);
const SWEEP: Span = Span::millis(100);
/// Who has not joined by then is closed.
const PATIENCE: Span = Span::millis(1_050);
/// Sockets for discovery, its successor, the listener and what a process has open anyway.
const OWN_SOCKETS: usize = 32;
const MOST_PROBES: usize = 32;
/// Where the channel has no limit told, or a very long one.
const LONGEST_EMPTIES: Span = Span::millis(5_000);
/// No answer to a probe by then is silence.
const PROBED: Span = Span::millis(400);
/// Incomplete messages of all peers together may take one part in so many of the memory.
const HELD: u64 = 16;
/// A file that is being replaced is read again so often, so long apart; from then on this far apart.
const READ_AGAIN: (u32, Span, Span) = (5, Span::millis(100), Span::millis(1_000));
/// After so many failures of discovery in a row the file is read: its address may have been written late, or the file
/// may have stood unreadable while the signal was heard.
const LOST: i32 = 4;
/// An address that the process before still holds is tried again so long apart, up to so long.
const HELD_ADDRESS: (Span, Span) = (Span::millis(100), Span::millis(10_000));
/// Connections of one zone's collector: the present one, and former ones that the network has not ended yet.
const MOST_COLLECTORS: usize = 4;
/// Log lines in a second; what goes beyond is counted.
const MOST_LOGGED: f64 = 40.0;
const TALLY: Span = Span::millis(5_000);
/// Servers or changes named in one line.
const SHOWN: usize = 6;

mod streams;

mod timer {
    pub const TURN: u64 = 1;
    pub const WOKEN: u64 = 2;
    pub const SWEEP: u64 = 3;
    pub const DISCOVERY: u64 = 4;
    pub const PROBES: u64 = 5;
    pub const RELOAD: u64 = 6;
    pub const LISTEN: u64 = 7;
}

/// Counted since the last tally line.
#[derive(Debug, Default)]
struct Tally {
    turns: u64,
    events: u64,
    messages: u64,
    lines: u64,
    joins: u64,
    leaves: u64,
    applied: u64,
    worst_applied: Span,
    sums: u64,
    /// Sums that came with a load report.
    reports: u64,
    arrivals: u64,
    /// Tries and dropped ones by server.
    tries: BTreeMap<usize, (u64, u64)>,
    probes: BTreeMap<&'static str, u64>,
    /// Probes that were answered with a load report.
    probe_reports: u64,
    /// Messages left out, by reason; reasons are of a fixed set.
    omitted: BTreeMap<&'static str, u64>,
    turned_away: u64,
    unlogged: u64,
}

pub struct Platform {
    name: String,
    /// The file that is read again on a reload.
    file: String,
    listen: SocketAddr,
    limits: Limits,
    zones: Vec<String>,
    routes: Vec<String>,
    most_proxies: u64,
    /// A stream that leaves a message unanswered and says nothing for so long counts as left.
    unresponsive_after: Span,
    planner: Planner,
    servers: Interner<String>,
    proxies: Interner<u64>,
    /// Where each server is probed and when it started, by index.
    endpoints: Vec<Option<(SocketAddr, Option<Moment>)>>,
    server_list: ServerList,
    discovery: Discovery,
    peers: Peers,
    tables: Tables,
    probes: Probes,
    events: Vec<Event>,
    turn_set: bool,
    woken: Option<Moment>,
    read_again: u32,
    /// When the file is read next, if that is due; when it was read last without a signal.
    reload: Option<Moment>,
    reread: Moment,
    started: Moment,
    tally: Tally,
    tallied: Moment,
    /// When a line was logged last, and how many more may be.
    logged: (Moment, f64),
}

/// Probes at once: few where sockets are few.
fn most_probes(limits: Limits) -> usize {
    MOST_PROBES.min(limits.sockets / 8)
}

impl Platform {
    pub fn new(now: Moment, config: Config, file: String) -> Platform {
        let Config { name, listen, discovery, seed, limits, known, start } = config;
        let most_proxies = start.fleet.proxies as u64;
        // Twice what a full channel takes to empty, and the way there and back.
        let empties = start.channel.max_queued_lines / start.channel.lines_per_s;
        let empties = if empties.is_finite() { Span::of_seconds(empties) } else { LONGEST_EMPTIES };
        let unresponsive_after =
            empties.min(LONGEST_EMPTIES).times(2.0) + start.channel.max_transit.times(2.0);
        let drain_grace = start.contract.drain_grace;
        let planner = start.build_planner(now, seed);
        let probing = ProbeConfig {
            path: "/metrics/load".into(),
            timeout: PROBED,
            max_open: most_probes(limits),
            body_fields: Some((UTIL, IN_FLIGHT)),
        };
        Platform {
            name,
            file,
            listen,
            limits,
            zones: start.zone_names,
            routes: start.route_names,
            most_proxies,
            unresponsive_after,
            planner,
            servers: Interner::default(),
            proxies: Interner::default(),
            endpoints: Vec::new(),
            server_list: ServerList::kept(now, known.0, known.1, drain_grace),
            discovery: Discovery::new(discovery),
            peers: Peers::default(),
            tables: Tables::default(),
            probes: Probes::new(probing),
            events: vec![Event::Tick],
            turn_set: false,
            woken: None,
            read_again: 0,
            reload: None,
            reread: now,
            started: now,
            tally: Tally::default(),
            tallied: now,
            logged: (now, MOST_LOGGED),
        }
    }

    fn start(&mut self, now: Moment, out: &mut Outbox) {
        let known: Vec<Target> = self.server_list.known().cloned().collect();
        if !known.is_empty() {
            self.tell_list(now, ListKind::Kept, &known, out);
        }
        out.push(Effect::Listen { listener: DOOR, at: self.listen });
        out.set_timer(timer::SWEEP, now + SWEEP);
        self.look(now, out);
        self.turn(now, out);
    }

    fn log(
        &mut self,
        now: Moment,
        level: Level,
        event: &'static str,
        fields: Vec<(&'static str, String)>,
        out: &mut Outbox,
    ) {
        let saved = self.logged.1 + now.since(self.logged.0).seconds() * MOST_LOGGED;
        self.logged = (now, saved.min(MOST_LOGGED));
        if self.logged.1 < 1.0 {
            self.tally.unlogged += 1;
            return;
        }
        self.logged.1 -= 1.0;
        out.log(level, event, fields);
    }

    // ---- the list

    /// Whatever discovery is due for, and the next look.
    fn look(&mut self, now: Moment, out: &mut Outbox) {
        match self.discovery.due(now, out) {
            Some(why) => self.discovery_failed(now, why, out),
            None => out.set_timer(timer::DISCOVERY, self.discovery.until()),
        }
    }

    fn discovery_failed(&mut self, now: Moment, why: &'static str, out: &mut Outbox) {
        self.discovery.fail(now, out);
        self.log(now, Level::Warn, "discovery_failed", vec![("why", why.into())], out);
        out.set_timer(timer::DISCOVERY, self.discovery.until());
        if self.discovery.failures() >= LOST
            && now.since(self.reread) >= READ_AGAIN.2
            && self.reload.is_none()
        {
            self.reread = now;
            out.push(Effect::ReadFile { name: self.file.clone() });
        }
    }

    fn discovery_heard(&mut self, now: Moment, bytes: &[u8], out: &mut Outbox) {
        match self.discovery.bytes(now, bytes) {
            Ok(None) => {}
            Ok(Some(body)) => self.answered(now, &body, out),
            Err(why) => self.discovery_failed(now, why, out),
        }
    }

    /// The connection to discovery ended; with it an answer may be complete.
    fn discovery_ended(&mut self, now: Moment, why: Ended, out: &mut Outbox) {
        match Some(why).filter(|why| *why == Ended::Done).and_then(|_| self.discovery.ended()) {
            Some(body) => self.answered(now, &body, out),
            None => self.discovery_failed(now, "the connection broke", out),
        }
    }

    /// Takes an answer of discovery in.
    fn answered(&mut self, now: Moment, body: &[u8], out: &mut Outbox) {
        let Ok(answer) = Answer::read(body) else {
            return self.discovery_failed(now, "an answer that is no list", out);
        };
        for unread in answer.targets.iter().filter_map(|target| target.as_ref().err()) {
            let name = unread.name.clone().unwrap_or_default();
            let fields = vec![("server", name), ("why", unread.what.clone())];
            self.log(now, Level::Warn, "list_entry_refused", fields, out);
        }
        let version = answer.version;
        match self.server_list.take(now, answer) {
            News::Nothing => {}
            News::Stale => {
                let fields =
                    vec![("version", version.to_string()), ("known", self.server_list.version().to_string())];
                self.log(now, Level::Warn, "list_stale", fields, out);
            }
            News::Changes(changes) => self.tell_list(now, ListKind::Changes, &changes, out),
            News::Complete(all) => self.tell_list(now, ListKind::Complete, &all, out),
        }
        // A watch from a version that discovery has not reached yet would say nothing.
        if self.server_list.doubts() {
            return self.discovery_failed(now, "a whole list of a lower version", out);
        }
        // Taken for the answer to the next question, it would put each later answer to the wrong one.
        if self.discovery.overran() {
            return self.discovery_failed(now, "more than the answer", out);
        }
        self.discovery.went_well();
        self.discovery.watch(now, self.server_list.version(), out);
        out.set_timer(timer::DISCOVERY, self.discovery.until());
    }

    fn tell_list(&mut self, now: Moment, kind: ListKind, targets: &[Target], out: &mut Outbox) {
        let before = self.endpoints.clone();
        if kind != ListKind::Changes {
            self.endpoints.fill(None);
        }
        let mut entries = Vec::new();
        let mut shown = Vec::new();
        for target in targets {
            let Some(zone) = self.zones.iter().position(|zone| *zone == target.zone) else {
                let why = format!("zone '{}' is not among ours", target.zone);
                let fields = vec![("server", target.name.clone()), ("why", why)];
                self.log(now, Level::Warn, "list_entry_refused", fields, out);
                continue;
            };
            let server = self.servers.intern(&target.name);
            if self.endpoints.len() <= server {
                self.endpoints.resize(server + 1, None);
            }
            let stays = target.state != ListedState::Deleted;
            self.endpoints[server] = stays.then_some((target.at, target.started));
            let (cell, state, weight) = (target.cell, target.state, target.weight);
            entries.push(ListEntry { server, zone, cell, state, weight, last_start: target.started });
            if kind == ListKind::Changes && shown.len() < SHOWN {
                let started = target.started.map_or(String::new(), |at| format!("@{}", at.0 / 1_000_000));
                shown.push(format!("{}={state:?}{started}", target.name));
            }
        }
        for (server, known) in before.into_iter().enumerate().filter(|(_, known)| known.is_some()) {
            if self.endpoints[server] != known {
                self.former_probe(server, out);
            }
        }
        let fields = vec![
            ("kind", format!("{kind:?}")),
            ("version", self.server_list.version().to_string()),
            ("entries", entries.len().to_string()),
            ("changes", shown.join(" ")),
        ];
        self.log(now, Level::Info, "list", fields, out);
        self.event(now, Event::List { kind, entries }, out);
        self.ask_next(now, out);
    }

    /// A server is another one, or none, under its name: what its probe brings would be told of the wrong one.
    fn former_probe(&mut self, server: usize, out: &mut Outbox) {
        let gone = self.endpoints[server].is_none();
        let link = if gone { self.probes.remove(server) } else { self.probes.restart(server) };
        if let Some(link) = link {
            out.cut(link);
        }
    }

    // ---- turns

    fn event(&mut self, now: Moment, event: Event, out: &mut Outbox) {
        self.events.push(event);
        if !self.turn_set {
            self.turn_set = true;
            out.set_timer(timer::TURN, now + ROUND);
        }
    }

    fn turn(&mut self, now: Moment, out: &mut Outbox) {
        self.turn_set = false;
        let events = std::mem::take(&mut self.events);
        if events.is_empty() {
            return;
        }
        self.tally.turns += 1;
        self.tally.events += events.len() as u64;
        let orders = self.planner.turn(now, &events);
        for order in &orders {
            match order {
                Action::Probe { server } => self.probes.enqueue(*server),
                Action::Wake { at } => {
                    self.woken = Some(*at);
                    out.set_timer(timer::WOKEN, *at);
                }
                Action::Log { text } => {
                    self.log(now, Level::Info, "planner", vec![("text", text.clone())], out)
                }
                Action::ReleaseServer { server } => {
                    if let Some(link) = self.probes.remove(*server) {
                        out.cut(link);
                    }
                    self.tally.tries.remove(server);
                    self.servers.release(*server);
                }
                // Discovery is watched all the time; nothing has to be asked for.
                Action::Subscribe
                | Action::SetLine { .. }
                | Action::Bind { .. }
                | Action::SetLevel { .. }
                | Action::Mark { .. } => {}
            }
        }
        let (mark, messages) = self.tables.carry_out(&orders, &self.servers, &self.routes);
        if !messages.is_empty() {
            let lines: usize = messages.iter().map(|message| message.lines).sum();
            self.tally.messages += messages.len() as u64;
            self.tally.lines += lines as u64;
            let binds = orders.iter().filter(|order| matches!(order, Action::Bind { .. })).count();
            let fields = vec![
                ("events", events.len().to_string()),
                ("messages", messages.len().to_string()),
                ("lines", lines.to_string()),
                ("binds", binds.to_string()),
                ("mark", mark.map_or(String::new(), |mark| mark.to_string())),
            ];
            self.log(now, Level::Info, "orders", fields, out);
        }
        for message in messages {
            let Some(stream) = self.peers.streams.get_mut(&message.proxy) else { continue };
            if let Some(mark) = mark {
                if stream.marks.len() == MOST_MARKS {
                    stream.marks.pop_front();
                }
                stream.marks.push_back((mark, now));
            }
            out.send(stream.link, message.bytes.to_vec());
        }
        self.ask_next(now, out);
    }

    // ---- probes

    fn ask_next(&mut self, now: Moment, out: &mut Outbox) {
        while let Some(server) = self.probes.next_server() {
            let Some((at, _)) = self.endpoints.get(server).copied().flatten() else { continue };
            let link = out.connect(at, None);
            let until = self.probes.start(now, server, link);
            out.set_timer(timer::PROBES, until);
        }
    }

    fn probed(&mut self, now: Moment, (server, end, load): (usize, ProbeOutcome, Load), out: &mut Outbox) {
        let word = match end {
            ProbeOutcome::Answered => "answered",
            ProbeOutcome::Rejected => "refused",
            ProbeOutcome::Error => "erring",
            ProbeOutcome::TimedOut => "silent",
            ProbeOutcome::Unreachable => "dead",
        };
        *self.tally.probes.entry(word).or_default() += 1;
        self.tally.probe_reports += u64::from(load.util.is_some());
        if matches!(end, ProbeOutcome::Error | ProbeOutcome::TimedOut | ProbeOutcome::Unreachable) {
            let fields = vec![("server", self.servers.name(server).clone()), ("end", word.into())];
            self.log(now, Level::Info, "probe", fields, out);
        }
        self.event(now, Event::ProbeEnded { server, outcome: end, load }, out);
        self.ask_next(now, out);
    }

    /// A probe had no room on this side. Others that wait would have none either; they are asked with the next.
    fn no_room(&mut self, now: Moment, out: &mut Outbox) {
        *self.tally.probes.entry("no room").or_default() += 1;
        self.log(now, Level::Warn, "probe_without_room", vec![], out);
    }

    fn late_probes(&mut self, now: Moment, out: &mut Outbox) {
        for (link, server) in self.probes.take_timed_out(now) {
            out.cut(link);
            self.probed(now, (server, ProbeOutcome::TimedOut, Load::default()), out);
        }
    }

    fn sweep(&mut self, now: Moment, out: &mut Outbox) {
        out.set_timer(timer::SWEEP, now + SWEEP);
        let late: Vec<Link> = self
            .peers
            .loose()
            .filter(|(_, peer)| now.since(peer.since) >= PATIENCE)
            .map(|loose| loose.0)
            .collect();
        for link in late {
            self.turn_away(now, link, "no joining in time", out);
        }
        self.silence(now, out);
        self.tell_anew(now, out);
        // An answer that comes in pieces moved its time on.
        if now >= self.discovery.until() {
            self.look(now, out);
        }
        if now.since(self.tallied) >= TALLY {
            self.tallied = now;
            let mut tally = std::mem::take(&mut self.tally);
            // Of the servers, those that dropped most.
            let mut worst: Vec<_> =
                std::mem::take(&mut tally.tries).into_iter().filter(|t| t.1 .1 > 0).collect();
            worst.sort_by_key(|tried| std::cmp::Reverse(tried.1 .1));
            worst.truncate(SHOWN);
            let worst: Vec<String> =
                worst.iter().map(|(at, (n, bad))| format!("{}:{bad}/{n}", self.servers.name(*at))).collect();
            let unanswered: usize = self.peers.streams.values().map(|stream| stream.marks.len()).sum();
            let fields = vec![
                ("peers", self.peers.all.len().to_string()),
                ("proxies", self.peers.streams.len().to_string()),
                ("servers", self.server_list.known().count().to_string()),
                ("unanswered", unanswered.to_string()),
                ("dropping", worst.join(",")),
                ("since", format!("{tally:?}")),
            ];
            out.log(Level::Info, "tally", fields);
        }
    }

    // ---- signals

    fn reload(&mut self, now: Moment, bytes: Result<&[u8], String>, out: &mut Outbox) {
        let told = |name: &str| match name {
            "NODE_NAME" => Some(self.name.clone()),
            "NODE_LISTEN" => Some(self.listen.to_string()),
            "NODE_DISCOVERY" => Some(self.discovery.at().to_string()),
            _ => None,
        };
        match Config::of_file(bytes, told) {
            Err(why) => {
                self.log(now, Level::Error, "configuration_refused", vec![("why", why)], out);
                // However many signals came, one timer counts: each would keep its own going.
                if self.reload.is_none() {
                    let rest = if self.read_again > 0 { READ_AGAIN.1 } else { READ_AGAIN.2 };
                    self.read_again = self.read_again.saturating_sub(1);
                    self.reload = Some(now + rest);
                    out.set_timer(timer::RELOAD, now + rest);
                }
            }
            Ok(config) => {
                (self.read_again, self.reload) = (0, None);
                let fields = vec![("discovery", config.discovery.to_string())];
                self.log(now, Level::Info, "configuration", fields, out);
                self.limits = config.limits;
                self.probes.set_max_open(most_probes(self.limits));
                if config.discovery != self.discovery.at() {
                    self.discovery.move_to(now, config.discovery, out);
                    out.set_timer(timer::DISCOVERY, self.discovery.until());
                }
            }
        }
    }
}

impl Node for Platform {
    fn handle(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) {
        match input {
            Input::Start => self.start(now, out),
            Input::Listening { at, .. } => out.log(Level::Info, "listening", vec![("at", at.to_string())]),
            Input::NotListening { why, .. } => {
                out.log(Level::Error, "not_listening", vec![("why", why)]);
                if now.since(self.started) < HELD_ADDRESS.1 {
                    out.set_timer(timer::LISTEN, now + HELD_ADDRESS.0);
                } else {
                    out.push(Effect::Exit { code: 3 });
                }
            }
            Input::TimerFired { timer: timer::LISTEN } => {
                out.push(Effect::Listen { listener: DOOR, at: self.listen })
            }
            Input::Accepted { link, .. } => self.accepted(now, link, out),
            Input::Opened { link } if self.discovery.has(link) => {
                self.discovery.opened(now, out);
                out.set_timer(timer::DISCOVERY, self.discovery.until());
            }
            Input::Opened { link } if self.probes.owns_link(link) => {
                let call = self.probes.request(&self.name);
                out.send(link, call);
            }
            Input::Opened { .. } => {}
            Input::Bytes { link, bytes } if self.discovery.has(link) => self.discovery_heard(now, bytes, out),
            Input::Bytes { link, bytes } if self.probes.owns_link(link) => {
                if let Some(probed) = self.probes.receive(link, bytes) {
                    out.cut(link);
                    self.probed(now, probed, out);
                }
            }
            Input::Bytes { link, bytes } => self.heard(now, link, bytes, out),
            Input::Closed { link, why } if self.discovery.has(link) => self.discovery_ended(now, why, out),
            Input::Closed { link, why } if self.probes.owns_link(link) => match self.probes.closed(link, why)
            {
                Some(probed) => self.probed(now, probed, out),
                None => self.no_room(now, out),
            },
            Input::Closed { link, why } => self.closed(now, link, why, out),
            Input::TimerFired { timer: timer::TURN } => self.turn(now, out),
            Input::TimerFired { timer: timer::WOKEN } if self.woken.is_some_and(|at| at <= now) => {
                self.woken = None;
                self.event(now, Event::Tick, out);
            }
            Input::TimerFired { timer: timer::SWEEP } => self.sweep(now, out),
            Input::TimerFired { timer: timer::DISCOVERY } if now >= self.discovery.until() => {
                self.look(now, out)
            }
            Input::TimerFired { timer: timer::PROBES } => self.late_probes(now, out),
            Input::Reload => {
                // A reading that waits for its second was meant for the file as it was.
                (self.read_again, self.reload) = (READ_AGAIN.0, None);
                out.push(Effect::ReadFile { name: self.file.clone() });
            }
            Input::TimerFired { timer: timer::RELOAD } if self.reload.is_some_and(|at| at <= now) => {
                self.reload = None;
                out.push(Effect::ReadFile { name: self.file.clone() });
            }
            Input::File { bytes, .. } => self.reload(now, bytes, out),
            Input::Stop => {
                out.log(Level::Info, "stopped", vec![]);
                out.push(Effect::Exit { code: 0 });
            }
            Input::TimerFired { .. }
            | Input::Synced { .. }
            | Input::TransferFailed { .. }
            | Input::Notified
            | Input::Command(_) => {}
        }
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}
