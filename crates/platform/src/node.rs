//! The platform's planner as a node: converts messages to events, and the planner core's actions to messages.

use crate::config::{Config, Limits};
use crate::discovery::Discovery;
use crate::peers::{kind, transition, Effect as MessageEffect, Kind, Peer, PeerRole, Peers, Stream};
use crate::peers::{UnknownMark, JOINED, UNIDENTIFIED};
use crate::server_list::{Answer, ListUpdate, ServerList, Target};
use crate::start_times::StartTimes;
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

const LISTENER: u32 = 0;

/// Events within this time are processed in one turn.
const TURN_DELAY: Span = Span::millis(2);
const SWEEP_INTERVAL: Span = Span::millis(100);
/// A connection that has not joined by then is closed.
const JOIN_TIMEOUT: Span = Span::millis(1_050);
/// Descriptors for discovery, the listener, a connection that is being rejected, the configuration file, and what a
/// process has open anyway.
const RESERVED_SOCKETS: usize = 12;
/// Concurrent probes: at least, however many proxies have joined, and at most.
const PROBES: (usize, usize) = (1, 32);
/// Upper bound on the time a full channel takes to drain; used if the settings give no or a larger limit.
const MAX_CHANNEL_DRAIN: Span = Span::millis(5_000);
const PROBE_TIMEOUT: Span = Span::millis(400);
/// Incomplete messages of all peers together may use the memory limit divided by this.
const BUFFER_MEMORY_DIVISOR: u64 = 16;
/// Retries of an unreadable configuration file, which may be in the middle of a replacement: the number of quick
/// retries, their interval, and the interval after them.
const RELOAD_RETRY: (u32, Span, Span) = (5, Span::millis(100), Span::millis(1_000));
/// After this many consecutive failures of discovery the file is read again: the address may have been written late,
/// or the file may have been unreadable when the reload signal came.
const FAILURES_BEFORE_RELOAD: i32 = 4;
/// Retry interval for a listening address that the previous process still holds, and how long it is retried.
const LISTEN_RETRY: (Span, Span) = (Span::millis(100), Span::millis(10_000));
/// Maximum connections per zone from collectors: the current one, and old ones that the network has not closed yet.
const MAX_COLLECTORS: usize = 4;
/// Maximum log lines per second; lines beyond it are only counted.
const MAX_LOG_LINES_PER_S: f64 = 40.0;
const TALLY_INTERVAL: Span = Span::millis(5_000);
/// Maximum servers or changes named in one log line.
const MAX_NAMED: usize = 6;

mod streams;

mod timer {
    pub const TURN: u64 = 1;
    pub const WAKE: u64 = 2;
    pub const SWEEP: u64 = 3;
    pub const DISCOVERY: u64 = 4;
    pub const PROBES: u64 = 5;
    pub const RELOAD: u64 = 6;
    pub const LISTEN: u64 = 7;
}

/// Counters since the last `tally` log line, which prints them under these names.
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
    /// Server statistics that included a load report.
    reports: u64,
    arrivals: u64,
    /// Tries and dropped tries by server.
    tries: BTreeMap<usize, (u64, u64)>,
    probes: BTreeMap<&'static str, u64>,
    /// Probes whose answer included a load report.
    probe_reports: u64,
    /// Ignored messages by reason, out of a fixed set of reasons.
    omitted: BTreeMap<&'static str, u64>,
    turned_away: u64,
    unlogged: u64,
}

pub struct Platform {
    name: String,
    /// The configuration file, which is read again on a reload.
    config_file: String,
    listen: SocketAddr,
    limits: Limits,
    zones: Vec<String>,
    routes: Vec<String>,
    max_proxies: u64,
    /// A proxy whose stream leaves marks unacknowledged and sends nothing for this long counts as having left.
    unresponsive_after: Span,
    planner: Planner,
    servers: Interner<String>,
    proxies: Interner<u64>,
    /// Address and start time of each server, by index.
    endpoints: Vec<Option<(SocketAddr, Option<Moment>)>>,
    server_list: ServerList,
    start_times: StartTimes,
    discovery: Discovery,
    peers: Peers,
    tables: Tables,
    probes: Probes,
    events: Vec<Event>,
    turn_set: bool,
    wake_at: Option<Moment>,
    /// Quick retries left for reading the configuration file.
    reload_retries: u32,
    /// When reading the file is retried, if it is.
    reload_at: Option<Moment>,
    /// When the file was last read because of failures of discovery.
    last_unprompted_read: Moment,
    started: Moment,
    tally: Tally,
    last_tally: Moment,
    /// When the log allowance was last updated, and the lines it leaves.
    log_allowance: (Moment, f64),
}

/// Maximum concurrent probes: the descriptors that the accepted connections leave, within bounds.
fn max_probes(limits: Limits, connections: usize) -> usize {
    let left = limits.sockets.saturating_sub(RESERVED_SOCKETS + connections);
    left.min(limits.sockets / 8).clamp(PROBES.0, PROBES.1)
}

impl Platform {
    pub fn new(now: Moment, config: Config, config_file: String) -> Platform {
        let Config { name, listen, discovery, seed, limits, known, start } = config;
        let max_proxies = start.fleet.proxies as u64;
        // Twice the time in which a full channel drains, plus the round trip.
        let drain_time = start.channel.max_queued_lines / start.channel.lines_per_s;
        let drain_time =
            if drain_time.is_finite() { Span::of_seconds(drain_time) } else { MAX_CHANNEL_DRAIN };
        let unresponsive_after =
            drain_time.min(MAX_CHANNEL_DRAIN).times(2.0) + start.channel.max_transit.times(2.0);
        let drain_grace = start.contract.drain_grace;
        let planner = start.build_planner(now, seed);
        let probing = ProbeConfig {
            path: "/metrics/load".into(),
            timeout: PROBE_TIMEOUT,
            max_open: max_probes(limits, 0),
            body_fields: Some((UTIL, IN_FLIGHT)),
        };
        Platform {
            name,
            config_file,
            listen,
            limits,
            zones: start.zone_names,
            routes: start.route_names,
            max_proxies,
            unresponsive_after,
            planner,
            servers: Interner::default(),
            proxies: Interner::default(),
            endpoints: Vec::new(),
            server_list: ServerList::from_saved(now, known.0, known.1, drain_grace),
            start_times: StartTimes::default(),
            discovery: Discovery::new(discovery),
            peers: Peers::default(),
            tables: Tables::default(),
            probes: Probes::new(probing),
            events: vec![Event::Tick],
            turn_set: false,
            wake_at: None,
            reload_retries: 0,
            reload_at: None,
            last_unprompted_read: now,
            started: now,
            tally: Tally::default(),
            last_tally: now,
            log_allowance: (now, MAX_LOG_LINES_PER_S),
        }
    }

    fn start(&mut self, now: Moment, out: &mut Outbox) {
        let known: Vec<Target> = self.server_list.known().cloned().collect();
        if !known.is_empty() {
            self.apply_list(now, ListKind::Kept, &known, out);
        }
        out.push(Effect::Listen { listener: LISTENER, at: self.listen });
        out.set_timer(timer::SWEEP, now + SWEEP_INTERVAL);
        self.check_discovery(now, out);
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
        let allowance =
            self.log_allowance.1 + now.since(self.log_allowance.0).seconds() * MAX_LOG_LINES_PER_S;
        self.log_allowance = (now, allowance.min(MAX_LOG_LINES_PER_S));
        if self.log_allowance.1 < 1.0 {
            self.tally.unlogged += 1;
            return;
        }
        self.log_allowance.1 -= 1.0;
        out.log(level, event, fields);
    }

    // ---- the list

    /// Runs discovery's due step and schedules the next one.
    fn check_discovery(&mut self, now: Moment, out: &mut Outbox) {
        match self.discovery.due(now, out) {
            Some(why) => self.discovery_failed(now, why, out),
            None => out.set_timer(timer::DISCOVERY, self.discovery.deadline()),
        }
    }

    fn discovery_failed(&mut self, now: Moment, why: &'static str, out: &mut Outbox) {
        self.discovery.fail(now, out);
        self.log(now, Level::Warn, "discovery_failed", vec![("why", why.into())], out);
        out.set_timer(timer::DISCOVERY, self.discovery.deadline());
        if self.discovery.failures() >= FAILURES_BEFORE_RELOAD
            && now.since(self.last_unprompted_read) >= RELOAD_RETRY.2
            && self.reload_at.is_none()
        {
            self.last_unprompted_read = now;
            out.push(Effect::ReadFile { name: self.config_file.clone() });
        }
    }

    fn discovery_received(&mut self, now: Moment, bytes: &[u8], out: &mut Outbox) {
        match self.discovery.receive(now, bytes) {
            // The first piece of an answer brings its deadline forward.
            Ok(None) => out.set_timer(timer::DISCOVERY, self.discovery.deadline()),
            Ok(Some(body)) => self.apply_answer(now, &body, out),
            Err(why) => self.discovery_failed(now, why, out),
        }
    }

    /// The connection to discovery was closed, which may complete an answer.
    fn discovery_closed(&mut self, now: Moment, why: Ended, out: &mut Outbox) {
        match Some(why).filter(|why| *why == Ended::Done).and_then(|_| self.discovery.closed()) {
            Some(body) => self.apply_answer(now, &body, out),
            None => self.discovery_failed(now, "the connection broke", out),
        }
    }

    fn apply_answer(&mut self, now: Moment, body: &[u8], out: &mut Outbox) {
        let Ok(answer) = Answer::parse(body) else {
            return self.discovery_failed(now, "an answer that is not a server list", out);
        };
        for invalid in answer.targets.iter().filter_map(|target| target.as_ref().err()) {
            let name = invalid.name.clone().unwrap_or_default();
            let fields = vec![("server", name), ("why", invalid.reason.clone())];
            self.log(now, Level::Warn, "list_entry_refused", fields, out);
        }
        let version = answer.version;
        match self.server_list.apply(now, answer) {
            ListUpdate::Unchanged => {}
            ListUpdate::Stale => {
                let fields =
                    vec![("version", version.to_string()), ("known", self.server_list.version().to_string())];
                self.log(now, Level::Warn, "list_stale", fields, out);
            }
            ListUpdate::Changes(changes) => self.apply_list(now, ListKind::Changes, &changes, out),
            ListUpdate::Complete(all) => self.apply_list(now, ListKind::Complete, &all, out),
        }
        self.start_times.received_list(now);
        // A watch from a version that discovery has not reached would return nothing.
        if self.server_list.awaits_confirmation() {
            return self.discovery_failed(now, "a whole list of a lower version", out);
        }
        // Excess bytes would be taken for the answer to the next request and shift all later answers by one.
        if self.discovery.has_excess_bytes() {
            return self.discovery_failed(now, "more than the answer", out);
        }
        self.discovery.succeeded();
        self.discovery.watch(now, self.server_list.version(), out);
        out.set_timer(timer::DISCOVERY, self.discovery.deadline());
    }

    fn apply_list(&mut self, now: Moment, kind: ListKind, targets: &[Target], out: &mut Outbox) {
        let before = self.endpoints.clone();
        if kind != ListKind::Changes {
            self.endpoints.fill(None);
        }
        let mut entries = Vec::new();
        let mut logged_changes = Vec::new();
        for target in targets {
            let Some(zone) = self.zones.iter().position(|zone| *zone == target.zone) else {
                let why = format!("zone '{}' is not configured", target.zone);
                let fields = vec![("server", target.name.clone()), ("why", why)];
                self.log(now, Level::Warn, "list_entry_refused", fields, out);
                continue;
            };
            let server = self.servers.intern(&target.name);
            if self.endpoints.len() <= server {
                self.endpoints.resize(server + 1, None);
            }
            let exists = target.state != ListedState::Deleted;
            self.endpoints[server] = exists.then_some((target.address, target.started));
            let (cell, state, weight) = (target.cell, target.state, target.weight);
            let last_start = self.start_times.local_time(now, server, target.started);
            entries.push(ListEntry { server, zone, cell, state, weight, last_start });
            if kind == ListKind::Changes && logged_changes.len() < MAX_NAMED {
                let started = target.started.map_or(String::new(), |at| format!("@{}", at.0 / 1_000_000));
                logged_changes.push(format!("{}={state:?}{started}", target.name));
            }
        }
        for (server, known) in before.into_iter().enumerate().filter(|(_, known)| known.is_some()) {
            if self.endpoints[server] != known {
                self.reset_probe(server, out);
            }
        }
        let fields = vec![
            ("kind", format!("{kind:?}")),
            ("version", self.server_list.version().to_string()),
            ("entries", entries.len().to_string()),
            ("changes", logged_changes.join(" ")),
        ];
        self.log(now, Level::Info, "list", fields, out);
        self.event(now, Event::List { kind, entries }, out);
        self.start_probes(now, out);
    }

    /// Aborts the probe of a server that was replaced or removed under its name, since the result would be attributed to
    /// the wrong one.
    fn reset_probe(&mut self, server: usize, out: &mut Outbox) {
        let removed = self.endpoints[server].is_none();
        let link = if removed { self.probes.remove(server) } else { self.probes.restart(server) };
        if let Some(link) = link {
            out.cut(link);
        }
    }

    // ---- turns

    fn event(&mut self, now: Moment, event: Event, out: &mut Outbox) {
        self.events.push(event);
        if !self.turn_set {
            self.turn_set = true;
            out.set_timer(timer::TURN, now + TURN_DELAY);
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
        let actions = self.planner.turn(now, &events);
        for action in &actions {
            match action {
                Action::Probe { server } => self.probes.enqueue(*server),
                Action::Wake { at } => {
                    self.wake_at = Some(*at);
                    out.set_timer(timer::WAKE, *at);
                }
                Action::Log { text } => {
                    self.log(now, Level::Info, "planner", vec![("text", text.clone())], out)
                }
                Action::ReleaseServer { server } => {
                    if let Some(link) = self.probes.remove(*server) {
                        out.cut(link);
                    }
                    self.tally.tries.remove(server);
                    self.start_times.release(*server);
                    self.servers.release(*server);
                }
                // Discovery is followed at all times, there is nothing to request.
                Action::Subscribe
                | Action::SetLine { .. }
                | Action::Bind { .. }
                | Action::SetLevel { .. }
                | Action::Mark { .. } => {}
            }
        }
        let (mark, messages) = self.tables.apply(&actions, &self.servers, &self.routes);
        if !messages.is_empty() {
            let lines: usize = messages.iter().map(|message| message.lines).sum();
            let removals: usize = messages.iter().map(|message| message.removals).sum();
            self.tally.messages += messages.len() as u64;
            self.tally.lines += lines as u64;
            let binds = actions.iter().filter(|action| matches!(action, Action::Bind { .. })).count();
            let fields = vec![
                ("events", events.len().to_string()),
                ("messages", messages.len().to_string()),
                ("lines", lines.to_string()),
                ("removals", removals.to_string()),
                ("binds", binds.to_string()),
                ("mark", mark.map_or(String::new(), |mark| mark.to_string())),
            ];
            self.log(now, Level::Info, "orders", fields, out);
        }
        for message in messages {
            let Some(stream) = self.peers.streams.get_mut(&message.proxy) else { continue };
            if let Some(mark) = mark {
                stream.expect_mark(mark, now);
            }
            out.send(stream.link, message.bytes.to_vec());
        }
        self.start_probes(now, out);
    }

    // ---- probes

    fn start_probes(&mut self, now: Moment, out: &mut Outbox) {
        while let Some(server) = self.probes.next_server() {
            let Some((address, _)) = self.endpoints.get(server).copied().flatten() else { continue };
            let link = out.connect(address, None);
            let deadline = self.probes.start(now, server, link);
            out.set_timer(timer::PROBES, deadline);
        }
    }

    fn probe_ended(
        &mut self,
        now: Moment,
        (server, outcome, load): (usize, ProbeOutcome, Load),
        out: &mut Outbox,
    ) {
        let name = match outcome {
            ProbeOutcome::Answered => "answered",
            ProbeOutcome::Rejected => "refused",
            ProbeOutcome::Error => "erring",
            ProbeOutcome::TimedOut => "silent",
            ProbeOutcome::Unreachable => "dead",
        };
        *self.tally.probes.entry(name).or_default() += 1;
        self.tally.probe_reports += u64::from(load.util.is_some());
        if matches!(outcome, ProbeOutcome::Error | ProbeOutcome::TimedOut | ProbeOutcome::Unreachable) {
            let fields = vec![("server", self.servers.name(server).clone()), ("end", name.into())];
            self.log(now, Level::Info, "probe", fields, out);
        }
        self.event(now, Event::ProbeEnded { server, outcome, load }, out);
        self.start_probes(now, out);
    }

    /// This process had no resources for a probe. Waiting probes would fail likewise and are started later.
    fn probe_overflowed(&mut self, now: Moment, out: &mut Outbox) {
        *self.tally.probes.entry("no room").or_default() += 1;
        self.log(now, Level::Warn, "probe_without_room", vec![], out);
    }

    fn time_out_probes(&mut self, now: Moment, out: &mut Outbox) {
        for (link, server) in self.probes.take_timed_out(now) {
            out.cut(link);
            self.probe_ended(now, (server, ProbeOutcome::TimedOut, Load::default()), out);
        }
    }

    fn sweep(&mut self, now: Moment, out: &mut Outbox) {
        out.set_timer(timer::SWEEP, now + SWEEP_INTERVAL);
        let overdue: Vec<Link> = self
            .peers
            .unjoined()
            .filter(|(_, peer)| now.since(peer.since) >= JOIN_TIMEOUT)
            .map(|unjoined| unjoined.0)
            .collect();
        for link in overdue {
            self.reject(now, link, "no joining in time", out);
        }
        self.resend_unacknowledged(now, out);
        self.drop_unresponsive(now, out);
        // An answer in pieces may have extended the deadline.
        if now >= self.discovery.deadline() {
            self.check_discovery(now, out);
        }
        if now.since(self.last_tally) >= TALLY_INTERVAL {
            self.last_tally = now;
            let mut tally = std::mem::take(&mut self.tally);
            // The servers that dropped most tries.
            let mut worst: Vec<_> =
                std::mem::take(&mut tally.tries).into_iter().filter(|t| t.1 .1 > 0).collect();
            worst.sort_by_key(|entry| std::cmp::Reverse(entry.1 .1));
            worst.truncate(MAX_NAMED);
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
        let variable = |name: &str| match name {
            "NODE_NAME" => Some(self.name.clone()),
            "NODE_LISTEN" => Some(self.listen.to_string()),
            "NODE_DISCOVERY" => Some(self.discovery.address().to_string()),
            _ => None,
        };
        match Config::parse_file(bytes, variable) {
            Err(why) => {
                self.log(now, Level::Error, "configuration_refused", vec![("why", why)], out);
                // One retry timer at a time: otherwise each reload signal would start a timer that keeps itself going.
                if self.reload_at.is_none() {
                    let delay = if self.reload_retries > 0 { RELOAD_RETRY.1 } else { RELOAD_RETRY.2 };
                    self.reload_retries = self.reload_retries.saturating_sub(1);
                    self.reload_at = Some(now + delay);
                    out.set_timer(timer::RELOAD, now + delay);
                }
            }
            Ok(config) => {
                (self.reload_retries, self.reload_at) = (0, None);
                let fields = vec![("discovery", config.discovery.to_string())];
                self.log(now, Level::Info, "configuration", fields, out);
                self.limits = config.limits;
                self.probes.set_max_open(max_probes(self.limits, self.peers.all.len()));
                if config.discovery != self.discovery.address() {
                    self.discovery.set_address(now, config.discovery, out);
                    out.set_timer(timer::DISCOVERY, self.discovery.deadline());
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
                if now.since(self.started) < LISTEN_RETRY.1 {
                    out.set_timer(timer::LISTEN, now + LISTEN_RETRY.0);
                } else {
                    out.push(Effect::Exit { code: 3 });
                }
            }
            Input::TimerFired { timer: timer::LISTEN } => {
                out.push(Effect::Listen { listener: LISTENER, at: self.listen })
            }
            Input::Accepted { link, .. } => self.accepted(now, link, out),
            Input::Opened { link } if self.discovery.owns_link(link) => {
                self.discovery.opened(now, out);
                out.set_timer(timer::DISCOVERY, self.discovery.deadline());
            }
            Input::Opened { link } if self.probes.owns_link(link) => {
                let request = self.probes.request(&self.name);
                out.send(link, request);
            }
            Input::Opened { .. } => {}
            Input::Bytes { link, bytes } if self.discovery.owns_link(link) => {
                self.discovery_received(now, bytes, out)
            }
            Input::Bytes { link, bytes } if self.probes.owns_link(link) => {
                if let Some(ended) = self.probes.receive(link, bytes) {
                    out.cut(link);
                    self.probe_ended(now, ended, out);
                }
            }
            Input::Bytes { link, bytes } => self.receive(now, link, bytes, out),
            Input::Closed { link, why } if self.discovery.owns_link(link) => {
                self.discovery_closed(now, why, out)
            }
            Input::Closed { link, why } if self.probes.owns_link(link) => match self.probes.closed(link, why)
            {
                Some(ended) => self.probe_ended(now, ended, out),
                None => self.probe_overflowed(now, out),
            },
            Input::Closed { link, why } => self.closed(now, link, why, out),
            Input::TimerFired { timer: timer::TURN } => self.turn(now, out),
            Input::TimerFired { timer: timer::WAKE } if self.wake_at.is_some_and(|at| at <= now) => {
                self.wake_at = None;
                self.event(now, Event::Tick, out);
            }
            Input::TimerFired { timer: timer::SWEEP } => self.sweep(now, out),
            Input::TimerFired { timer: timer::DISCOVERY } if now >= self.discovery.deadline() => {
                self.check_discovery(now, out)
            }
            Input::TimerFired { timer: timer::PROBES } => self.time_out_probes(now, out),
            Input::Reload => {
                // A scheduled retry was for the old contents of the file.
                (self.reload_retries, self.reload_at) = (RELOAD_RETRY.0, None);
                out.push(Effect::ReadFile { name: self.config_file.clone() });
            }
            Input::TimerFired { timer: timer::RELOAD } if self.reload_at.is_some_and(|at| at <= now) => {
                self.reload_at = None;
                out.push(Effect::ReadFile { name: self.config_file.clone() });
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
