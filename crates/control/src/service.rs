//! The service as a node: inputs to events, orders to messages.

use crate::admin::{AdminRequest, AdminServer};
use crate::channel::Channel;
use crate::endpoints::{EndpointChange, EndpointList, Slice, SliceList};
use crate::kept;
use crate::list_watch::{Action as ListAction, ListSource, ListWatch};
use crate::overrides::{OverrideChange, Overrides};
use crate::probes::{ProbeConfig, Probes};
use crate::report_queue::ReportQueue;
use crate::streams::{ReportConfig, Sent, Stream, Streams, MOST_UNANSWERED};
use crate::tables::Tables;
use crate::traffic::TrafficStats;
use pewtergap_node::{Effect, Ended, Input, Level, Link, Node, Outbox};
use pewtergap_planner::interner::Interner;
use pewtergap_planner::{Action, Event, ListEntry, ListKind, ListedState, Load, Planner, ProbeOutcome};
use pewtergap_protocol::{
    encode, planner_message, proxy_message, Bye, Heartbeat, Hello, Nack, PlannerMessage, ServerStats, Update,
    Welcome, VERSION,
};
use pewtergap_time::{Moment, Span};
use std::any::Any;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};

/// Who this planner is, and whom it serves.
#[derive(Clone, Debug)]
pub struct ServiceConfig {
    pub name: String,
    pub zones: Vec<String>,
    pub routes: Vec<String>,
    /// How long a proxy may leave a message unanswered.
    pub unresponsive_after: Span,
}

/// Where it listens and whence it calls.
#[derive(Clone, Copy, Debug)]
pub struct ListenConfig {
    pub proxies: SocketAddr,
    /// Health and metrics over HTTP.
    pub admin: Option<SocketAddr>,
    pub source_ip: Option<IpAddr>,
}

const PROXIES: u32 = 0;
const ADMIN: u32 = 1;

/// Events that come within this time share a turn.
const ROUND: Span = Span::millis(2);
const HOUSEKEEPING: Span = Span::millis(250);
const INTAKE: Span = Span::millis(50);
/// The list is kept on disk so long after it changed.
const KEEP: Span = Span::millis(300);
/// For last words to be written.
const FAREWELL: Span = Span::millis(200);

mod timer {
    pub const TURN: u64 = 1;
    pub const WOKEN: u64 = 2;
    pub const CHANNEL: u64 = 3;
    pub const HOUSEKEEPING: u64 = 4;
    pub const INTAKE: u64 = 5;
    pub const LIST: u64 = 6;
    pub const KEEP: u64 = 7;
    pub const PROBES: u64 = 8;
    pub const EXIT: u64 = 9;
}

/// What is counted since the start, for metrics.
#[derive(Default)]
struct Counts {
    turns: u64,
    joins: u64,
    leaves: u64,
    messages: u64,
    lines: u64,
    acks: u64,
    nacks: u64,
    probes: u64,
    list_changes: u64,
    refused_streams: u64,
    channel_full: u64,
    worst_ack: Span,
}

/// How a probe from here ended: utilization and calls in hand, where they were told.
#[derive(Clone, Debug, PartialEq)]
pub struct ProbeResult {
    pub server: String,
    pub end: ProbeOutcome,
    pub load: (Option<f64>, Option<f64>),
}

/// A drain that was told, which start of the server it is of, and when.
#[derive(Clone, Debug, PartialEq)]
pub struct DrainNotice {
    pub server: String,
    pub started: Moment,
    pub notified_at: Moment,
}

/// What other planners' words come to, for the module.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerHint {
    /// Calls per second at the proxies of all others; none: nobody knows.
    OtherPlannersRate(Option<f64>),
    /// Our part of what all may bring a cold server.
    ColdShare(Option<f64>),
    /// A server weighs less by this part.
    ReduceWeight(String, f64),
    /// A server is to be asked how it is.
    Probe(String),
}

/// Drains told and not yet taken note of by whoever keeps them.
const MOST_DRAINS: usize = 4_096;

pub struct Service {
    charge: ServiceConfig,
    doors: ListenConfig,
    reports: ReportConfig,
    source: ListSource,
    planner: Planner,
    /// Which start of this planner.
    epoch: u64,
    servers: Interner<String>,
    proxies: Interner<String>,
    roll: EndpointList,
    watch: Option<ListWatch>,
    list_link: Option<Link>,
    /// A complete list has come since the start.
    listed: bool,
    keep_set: bool,
    streams: Streams,
    tables: Tables,
    channel: Channel,
    channel_set: Option<Moment>,
    intake: ReportQueue,
    intake_set: bool,
    probes: Probes,
    /// Probes are asked for, and told, by who stands beside: what the module wants goes to `probe_requests`, what came of those
    /// from here to `probe_results`.
    pub external_probes: bool,
    probes_wanted: BTreeSet<usize>,
    pub probe_requests: Vec<String>,
    pub probe_results: Vec<ProbeResult>,
    admin: AdminServer,
    /// Prefixes of what is answered by others, and what waits for them.
    pub external_paths: &'static [&'static str],
    pub external_requests: Vec<AdminRequest>,
    standing: Overrides,
    tried: (u64, u64),
    pub traffic: TrafficStats,
    pub drain_notices: Vec<DrainNotice>,
    events: Vec<Event>,
    turn_set: bool,
    stopping: bool,
    counts: Counts,
}

impl Service {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        now: Moment,
        charge: ServiceConfig,
        doors: ListenConfig,
        source: ListSource,
        planner: Planner,
        channel: Channel,
        reports: ReportConfig,
        probing: ProbeConfig,
    ) -> Service {
        Service {
            charge,
            doors,
            reports,
            source,
            planner,
            epoch: now.0,
            servers: Interner::default(),
            proxies: Interner::default(),
            roll: EndpointList::default(),
            watch: None,
            list_link: None,
            listed: false,
            keep_set: false,
            streams: Streams::default(),
            tables: Tables::default(),
            channel,
            channel_set: None,
            intake: ReportQueue::new(reports.lines_per_s),
            intake_set: false,
            probes: Probes::new(probing),
            external_probes: false,
            probes_wanted: BTreeSet::new(),
            probe_requests: Vec::new(),
            probe_results: Vec::new(),
            admin: AdminServer::default(),
            external_paths: &[],
            external_requests: Vec::new(),
            standing: Overrides::default(),
            tried: (0, 0),
            traffic: TrafficStats::default(),
            drain_notices: Vec::new(),
            events: vec![Event::Tick],
            turn_set: false,
            stopping: false,
            counts: Counts::default(),
        }
    }

    fn kept_name(&self) -> String {
        format!("{}.list.json", self.charge.name)
    }

    fn start(&mut self, now: Moment, out: &mut Outbox) {
        out.push(Effect::Listen { listener: PROXIES, at: self.doors.proxies });
        if let Some(at) = self.doors.admin {
            out.push(Effect::Listen { listener: ADMIN, at });
        }
        out.push(Effect::ReadFile { name: self.kept_name() });
        out.set_timer(timer::HOUSEKEEPING, now + HOUSEKEEPING);
    }

    // ---- the list

    fn kept(&mut self, now: Moment, bytes: Result<&[u8], String>, out: &mut Outbox) {
        let mut highest = 0;
        match bytes.and_then(kept::read) {
            Ok((version, known)) => {
                out.log(Level::Info, "kept_list", vec![("servers", known.len().to_string())]);
                let all: Vec<EndpointChange> = known.iter().map(|(at, e)| (at.clone(), e.clone())).collect();
                (highest, self.roll) = (version, EndpointList::kept(known));
                self.tell_list(now, ListKind::Kept, &all, out);
            }
            Err(why) => out.log(Level::Info, "no_kept_list", vec![("why", why)]),
        }
        match &self.source {
            ListSource::Watch { address, path } => {
                self.watch = Some(ListWatch::new(*address, path.clone(), highest));
                out.set_timer(timer::LIST, now);
            }
            ListSource::File { name } => out.push(Effect::ReadFile { name: name.clone() }),
        }
    }

    fn list_file(&mut self, now: Moment, bytes: Result<&[u8], String>, out: &mut Outbox) {
        match bytes.and_then(read_list_file) {
            Ok(slices) => self.follow(now, vec![ListAction::All(slices)], out),
            // What is held stays in force.
            Err(why) => out.log(Level::Error, "list_file_refused", vec![("why", why)]),
        }
    }

    fn follow(&mut self, now: Moment, told: Vec<ListAction>, out: &mut Outbox) {
        for told in told {
            let mut refused = Vec::new();
            match told {
                ListAction::Dial(to) => self.list_link = Some(out.connect(to, self.doors.source_ip)),
                ListAction::Send(bytes) => {
                    if let Some(link) = self.list_link {
                        out.send(link, bytes);
                    }
                }
                ListAction::Hangup { until } => {
                    if let Some(link) = self.list_link.take() {
                        out.cut(link);
                    }
                    out.set_timer(timer::LIST, until);
                }
                ListAction::All(slices) => {
                    let all = self.roll.replace(now, &slices, &mut refused);
                    self.listed = true;
                    self.tell_list(now, ListKind::Complete, &all, out);
                }
                ListAction::Put(slice) => {
                    let changes = self.roll.put(now, &slice, &mut refused);
                    self.tell_list(now, ListKind::Changes, &changes, out);
                }
                ListAction::Delete(name) => {
                    let changes = self.roll.delete(now, &name);
                    self.tell_list(now, ListKind::Changes, &changes, out);
                }
                ListAction::Note(event, why) => out.log(Level::Warn, event, vec![("why", why)]),
            }
            for what in refused {
                out.log(Level::Warn, "list_entry_refused", vec![("what", what)]);
            }
        }
    }

    fn tell_list(&mut self, now: Moment, kind: ListKind, changes: &[EndpointChange], out: &mut Outbox) {
        let mut entries = Vec::new();
        for (at, endpoint) in changes {
            let Some(zone) = self.charge.zones.iter().position(|zone| *zone == endpoint.zone) else {
                let what = format!("{at}: zone '{}' is not among ours", endpoint.zone);
                out.log(Level::Warn, "list_entry_refused", vec![("what", what)]);
                continue;
            };
            let server = self.servers.intern(at);
            let (mut state, mut weight) = (endpoint.state, endpoint.weight);
            if state != ListedState::Running
                && kind != ListKind::Kept
                && self.drain_notices.len() < MOST_DRAINS
            {
                let started = endpoint.started.unwrap_or_default();
                self.drain_notices.push(DrainNotice { server: at.clone(), started, notified_at: now });
            }
            if state == ListedState::Running && self.standing.drained.contains(at) {
                state = ListedState::Stopping;
            }
            if let Some(held) = self.standing.weights.get(at) {
                weight = *held;
            }
            entries.push(ListEntry { server, zone, cell: 0, state, weight, last_start: endpoint.started });
            if kind == ListKind::Changes {
                let fields = vec![
                    ("turn", (self.counts.turns + 1).to_string()),
                    ("server", at.clone()),
                    ("state", state_name(state).into()),
                ];
                out.log(Level::Info, "list_change", fields);
            }
        }
        if entries.is_empty() && kind == ListKind::Changes {
            return;
        }
        self.counts.list_changes += entries.len() as u64;
        if kind != ListKind::Changes {
            let fields = vec![
                ("turn", (self.counts.turns + 1).to_string()),
                ("kind", format!("{kind:?}")),
                ("servers", entries.len().to_string()),
            ];
            out.log(Level::Info, "list", fields);
        }
        if kind != ListKind::Kept && !self.keep_set {
            self.keep_set = true;
            out.set_timer(timer::KEEP, now + KEEP);
        }
        self.event(now, Event::List { kind, entries }, out);
    }

    fn keep(&mut self, out: &mut Outbox) {
        self.keep_set = false;
        let highest = self.watch.as_ref().map_or(0, ListWatch::highest);
        let bytes = kept::write(highest, self.roll.known());
        out.push(Effect::SaveFile { name: self.kept_name(), bytes });
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
        self.counts.turns += 1;
        let turn = self.counts.turns;
        let orders = self.planner.turn(now, &events);
        for order in &orders {
            match order {
                Action::Probe { server } if self.external_probes => {
                    self.probes_wanted.insert(*server);
                    self.probe_requests.push(self.servers.name(*server).clone());
                }
                Action::Probe { server } => self.probes.enqueue(*server),
                Action::Wake { at } => out.set_timer(timer::WOKEN, *at),
                Action::Log { text } => out.log(Level::Info, "planner", vec![("text", text.clone())]),
                Action::ReleaseServer { server } => {
                    if let Some(link) = self.probes.remove(*server) {
                        out.cut(link);
                    }
                    self.probes_wanted.remove(server);
                    self.intake.forget_server(*server);
                    self.servers.release(*server);
                }
                // The list is watched all the time; nothing has to be asked for.
                Action::Subscribe
                | Action::SetLine { .. }
                | Action::Bind { .. }
                | Action::SetLevel { .. }
                | Action::Mark { .. } => {}
            }
        }
        let updates = self.tables.carry_out(now, turn, &orders, &self.servers);
        if !updates.is_empty() {
            let lines: u32 = updates.iter().map(|update| update.1.lines).sum();
            let fields = vec![
                ("turn", turn.to_string()),
                ("events", events.len().to_string()),
                ("messages", updates.len().to_string()),
                ("lines", lines.to_string()),
                ("waiting", format!("{:.0}", self.channel.lines())),
            ];
            out.log(Level::Info, "orders", fields);
        }
        for (proxy, update) in updates {
            if let Err(full) = self.channel.enqueue(now, proxy, update) {
                // The module's arithmetic should never let this be; whoever it hits joins anew.
                self.counts.channel_full += 1;
                let fields = vec![
                    ("proxy", self.proxies.name(proxy).clone()),
                    ("waiting", full.waiting.to_string()),
                    ("more", full.more.to_string()),
                ];
                out.log(Level::Error, "channel_full", fields);
                self.send_away(now, proxy, "the planner's channel is full", out);
            }
        }
        self.ask_next(now, out);
        self.drain(now, out);
    }

    /// Lets leave what may, and sets the timer for the next.
    fn drain(&mut self, now: Moment, out: &mut Outbox) {
        while let Some((proxy, update)) = self.channel.pop(now) {
            self.send(now, proxy, update, out);
        }
        if let Some(due) = self.channel.next_send_at() {
            if self.channel_set.is_none_or(|set| set > due || set <= now) {
                self.channel_set = Some(due);
                out.set_timer(timer::CHANNEL, due);
            }
        }
    }

    fn send(&mut self, now: Moment, proxy: usize, mut update: Update, out: &mut Outbox) {
        let Some((link, stream)) = self.streams.of(proxy) else { return };
        stream.nonce += 1;
        update.nonce = stream.nonce;
        let ordered = Moment(update.ordered_at);
        let sent = Sent { nonce: stream.nonce, mark: update.mark, turn: update.turn, at: now, ordered };
        stream.unanswered.push_back(sent);
        stream.beat = now;
        let crowded = stream.unanswered.len() > MOST_UNANSWERED;
        self.counts.messages += 1;
        self.counts.lines += u64::from(update.lines);
        let fields = vec![
            ("turn", update.turn.to_string()),
            ("proxy", self.proxies.name(proxy).clone()),
            ("nonce", update.nonce.to_string()),
            ("lines", update.lines.to_string()),
            ("waited", now.since(ordered).to_string()),
        ];
        out.log(Level::Debug, "sent", fields);
        out.send(link, encode(&PlannerMessage::new(planner_message::Kind::Update(update))));
        if crowded {
            self.send_away(now, proxy, "too many messages without an answer", out);
        }
    }

    // ---- proxies

    fn heard(&mut self, now: Moment, link: Link, bytes: &[u8], out: &mut Outbox) {
        let Some(stream) = self.streams.by_link.get_mut(&link) else { return };
        stream.heard = now;
        stream.frames.push(bytes);
        loop {
            let Some(stream) = self.streams.by_link.get_mut(&link) else { return };
            let done = match stream.frames.next_message() {
                Ok(None) => return,
                Ok(Some(message)) => match message.kind {
                    Some(kind) => self.message(now, link, kind, out),
                    None => Ok(()),
                },
                Err(wrong) => Err(wrong.to_string()),
            };
            if let Err(why) = done {
                self.close(now, link, &why, out);
                return;
            }
        }
    }

    fn message(
        &mut self,
        now: Moment,
        link: Link,
        kind: proxy_message::Kind,
        out: &mut Outbox,
    ) -> Result<(), String> {
        let Some(stream) = self.streams.by_link.get_mut(&link) else { return Ok(()) };
        let Some(proxy) = stream.proxy else {
            return match kind {
                proxy_message::Kind::Hello(hello) => self.hello(now, link, hello, out),
                _ => Err("the first message must be a hello".into()),
            };
        };
        match kind {
            proxy_message::Kind::Hello(_) => return Err("a second hello".into()),
            proxy_message::Kind::Ack(ack) if ack.nonce <= stream.void => {}
            proxy_message::Kind::Nack(nack) if nack.nonce <= stream.void => {}
            proxy_message::Kind::Ack(ack) => {
                let sent =
                    stream.answered(ack.nonce).ok_or(format!("ack of {}, which was not sent", ack.nonce))?;
                self.counts.acks += 1;
                let took = now.since(sent.ordered);
                self.counts.worst_ack = self.counts.worst_ack.max(took);
                let fields = vec![
                    ("turn", sent.turn.to_string()),
                    ("proxy", self.proxies.name(proxy).clone()),
                    ("nonce", ack.nonce.to_string()),
                    ("after", took.to_string()),
                ];
                out.log(Level::Debug, "acked", fields);
                if sent.mark > 0 {
                    self.event(now, Event::Applied { proxy, mark: u64::from(sent.mark) }, out);
                }
            }
            proxy_message::Kind::Nack(nack) => return self.refused(now, link, proxy, &nack, out),
            proxy_message::Kind::ServerStats(sums) => self.sums(now, link, &sums, out),
            proxy_message::Kind::Arrivals(arrivals) => {
                let (over, zone) = (Span::micros(arrivals.period_us), stream.zone);
                stream.reported(arrivals.rows.iter().map(|row| row.calls).sum(), over);
                for row in arrivals.rows.iter().filter(|row| (row.route as usize) < self.charge.routes.len())
                {
                    self.traffic.calls(row.route as usize, zone, row.calls);
                    self.intake.arrivals(proxy, row.route as usize, row.calls, row.dropped, over);
                }
                self.set_intake(now, out);
            }
            proxy_message::Kind::Heartbeat(_) => {}
        }
        Ok(())
    }

    fn hello(&mut self, now: Moment, link: Link, hello: Hello, out: &mut Outbox) -> Result<(), String> {
        if hello.protocol != VERSION {
            return Err(format!("protocol {} is not spoken here, {VERSION} is", hello.protocol));
        }
        let zone = self.charge.zones.iter().position(|zone| *zone == hello.zone);
        let zone = zone.ok_or(format!("zone '{}' is not known here", hello.zone))?;
        if let Some(route) = hello.routes.iter().find(|route| !self.charge.routes.contains(route)) {
            return Err(format!("route '{route}' is not known here"));
        }
        // A name is kept for good, as an index; whoever made up a new one each time would fill the memory.
        let known = self.proxies.get(&hello.proxy).is_some();
        if !known && self.proxies.slots() >= 4 * self.reports.max_streams {
            return Err(format!(
                "{} proxies were named since the start, no new name is taken",
                self.proxies.slots()
            ));
        }
        let proxy = self.proxies.intern(&hello.proxy);
        // It came back before its old stream was seen to be broken.
        if let Some(old) = self.streams.by_proxy.get(&proxy).copied() {
            self.forget(now, old, out);
            out.cut(old);
        }
        let Some(stream) = self.streams.by_link.get_mut(&link) else { return Ok(()) };
        (stream.proxy, stream.zone, stream.calls_per_s) = (Some(proxy), zone, hello.calls_per_s);
        stream.rate = hello.calls_per_s;
        self.streams.by_proxy.insert(proxy, link);
        let (name, epoch) = (&self.charge.name, self.epoch);
        let ours = hello.held.iter().filter(|held| held.planner == *name && held.epoch == epoch);
        self.tables.join(proxy, ours.map(|held| (held.table as usize, held.version)));
        self.counts.joins += 1;
        let welcome = Welcome {
            protocol: VERSION,
            planner: name.clone(),
            epoch,
            routes: self.charge.routes.clone(),
            report_every_us: self.reports.interval.0 / 1_000,
        };
        out.send(link, encode(&PlannerMessage::new(planner_message::Kind::Welcome(welcome))));
        out.log(Level::Info, "joined", vec![("proxy", hello.proxy), ("zone", hello.zone)]);
        self.event(now, Event::ProxyJoined { proxy, zone, calls_per_s: hello.calls_per_s }, out);
        Ok(())
    }

    /// A message was refused. The module hears that the proxy left and joined: it is bound anew, with whole
    /// tables, and what that costs is in the module's account.
    fn refused(
        &mut self,
        now: Moment,
        link: Link,
        proxy: usize,
        nack: &Nack,
        out: &mut Outbox,
    ) -> Result<(), String> {
        self.counts.nacks += 1;
        let fields = vec![
            ("proxy", self.proxies.name(proxy).clone()),
            ("nonce", nack.nonce.to_string()),
            ("reason", nack.reason.clone()),
        ];
        out.log(Level::Warn, "refused", fields);
        let Some(stream) = self.streams.by_link.get_mut(&link) else { return Ok(()) };
        if stream.refused(now) {
            return Err("too many refusals".into());
        }
        stream.unanswered.clear();
        stream.void = stream.nonce;
        let (zone, calls_per_s) = (stream.zone, stream.calls_per_s);
        self.channel.forget(proxy);
        self.tables.join(proxy, std::iter::empty());
        self.event(now, Event::ProxyLeft { proxy }, out);
        self.event(now, Event::ProxyJoined { proxy, zone, calls_per_s }, out);
        Ok(())
    }

    fn sums(&mut self, now: Moment, link: Link, sums: &ServerStats, out: &mut Outbox) {
        let zone = self.streams.by_link.get(&link).map_or(0, |stream| stream.zone);
        for row in &sums.rows {
            // A server that no list of ours ever named is another planner's affair.
            let Some(server) = self.servers.get(&row.server) else { continue };
            self.tried.0 = self.tried.0.saturating_add(row.tries);
            self.tried.1 = self.tried.1.saturating_add(row.dropped);
            let load = Load { util: row.util, in_flight: row.in_flight };
            let (mean, over) = (Span::micros(row.mean_latency_us), Span::micros(sums.period_us));
            self.traffic.met(&row.server, row.tries, row.dropped, mean.seconds());
            self.intake.sums(server, zone, row.tries, row.dropped, mean, over, load);
        }
        self.set_intake(now, out);
    }

    fn set_intake(&mut self, now: Moment, out: &mut Outbox) {
        if !self.intake_set && self.intake.waiting() > 0 {
            self.intake_set = true;
            out.set_timer(timer::INTAKE, now + INTAKE);
        }
    }

    /// Says why and closes.
    fn close(&mut self, now: Moment, link: Link, why: &str, out: &mut Outbox) {
        out.log(Level::Warn, "stream_closed", vec![("link", link.0.to_string()), ("why", why.into())]);
        out.send(
            link,
            encode(&PlannerMessage::new(planner_message::Kind::Bye(Bye {
                reason: why.chars().take(512).collect(),
            }))),
        );
        out.finish(link);
        self.forget(now, link, out);
    }

    fn send_away(&mut self, now: Moment, proxy: usize, why: &str, out: &mut Outbox) {
        if let Some(link) = self.streams.by_proxy.get(&proxy).copied() {
            self.close(now, link, why, out);
        }
    }

    /// The stream is no more.
    fn forget(&mut self, now: Moment, link: Link, out: &mut Outbox) {
        let Some(stream) = self.streams.by_link.remove(&link) else { return };
        let Some(proxy) = stream.proxy else { return };
        self.streams.by_proxy.remove(&proxy);
        self.channel.forget(proxy);
        self.tables.leave(proxy);
        self.intake.forget(proxy);
        self.counts.leaves += 1;
        out.log(Level::Info, "left", vec![("proxy", self.proxies.name(proxy).clone())]);
        self.event(now, Event::ProxyLeft { proxy }, out);
    }

    // ---- probes

    fn ask_next(&mut self, now: Moment, out: &mut Outbox) {
        while let Some(server) = self.probes.next_server() {
            let Ok(at) = self.servers.name(server).parse::<SocketAddr>() else { continue };
            let link = out.connect(at, self.doors.source_ip);
            self.counts.probes += 1;
            let until = self.probes.start(now, server, link);
            out.set_timer(timer::PROBES, until);
            out.send(link, self.probes.request(self.servers.name(server)));
        }
    }

    /// The end of a probe from here.
    fn probe_ended(&mut self, now: Moment, server: usize, end: ProbeOutcome, load: Load, out: &mut Outbox) {
        if self.external_probes {
            let at = self.servers.name(server).clone();
            self.probe_results.push(ProbeResult { server: at, end, load: (load.util, load.in_flight) });
            if !self.probes_wanted.remove(&server) {
                return;
            }
        }
        self.event(now, Event::ProbeEnded { server, outcome: end, load }, out);
    }

    /// Asks a server from here, for whomever.
    pub fn probe_server(&mut self, now: Moment, at: &str, out: &mut Outbox) {
        if let Some(server) = self.servers.get(&at.to_string()) {
            self.probes.enqueue(server);
            self.ask_next(now, out);
        }
    }

    /// What another planner saw; the module hears it if it wanted to know.
    pub fn remote_probe_ended(
        &mut self,
        now: Moment,
        at: &str,
        end: ProbeOutcome,
        (util, in_hand): (Option<f64>, Option<f64>),
        out: &mut Outbox,
    ) {
        let Some(server) = self.servers.get(&at.to_string()) else { return };
        if self.probes_wanted.remove(&server) {
            self.event(
                now,
                Event::ProbeEnded { server, outcome: end, load: Load { util, in_flight: in_hand } },
                out,
            );
        }
    }

    /// What others told, for the module.
    pub fn apply_hint(&mut self, now: Moment, hint: PeerHint, out: &mut Outbox) {
        let event = match hint {
            PeerHint::OtherPlannersRate(calls) => Event::OtherPlannersRate { calls_per_s: calls },
            PeerHint::ColdShare(part) => Event::ColdShare { share: part },
            PeerHint::ReduceWeight(at, part) => match self.servers.get(&at) {
                Some(server) => Event::ReduceWeight { server, by: part },
                None => return,
            },
            PeerHint::Probe(at) => {
                let Some(server) = self.servers.get(&at) else { return };
                if self.external_probes {
                    self.probes_wanted.insert(server);
                    self.probe_requests.push(at);
                } else {
                    self.probes.enqueue(server);
                    self.ask_next(now, out);
                }
                return;
            }
        };
        self.event(now, event, out);
    }

    /// Proxies that are joined, and their calls per second.
    pub fn joined_proxies(&self) -> (usize, f64) {
        (self.streams.joined(), self.streams.rate())
    }

    pub fn routes(&self) -> &[String] {
        &self.charge.routes
    }

    pub fn zones(&self) -> &[String] {
        &self.charge.zones
    }

    /// Listed weight of each zone.
    pub fn zone_weights(&self) -> BTreeMap<String, f64> {
        let mut weights = BTreeMap::new();
        for known in self.roll.known().values() {
            *weights.entry(known.zone.clone()).or_default() += known.weight;
        }
        weights
    }

    /// Tries of proxies here, and those dropped by servers, since the start.
    pub fn try_counts(&self) -> (u64, u64) {
        self.tried
    }

    pub fn endpoint(&self, at: &str) -> Option<&crate::endpoints::Endpoint> {
        self.roll.known().get(at)
    }

    pub fn servers_in_zone<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = &'a String> + 'a {
        self.roll.known().iter().filter(move |known| known.1.zone == zone).map(|known| known.0)
    }

    /// All that are listed, once a list was heard.
    pub fn server_names(&self) -> Option<impl Iterator<Item = &String> + '_> {
        self.listed.then(|| self.roll.known().keys())
    }

    pub fn zone_of(&self, at: &str) -> Option<&str> {
        self.roll.known().get(at).map(|known| known.zone.as_str())
    }

    fn late_probes(&mut self, now: Moment, out: &mut Outbox) {
        for (link, server) in self.probes.take_timed_out(now) {
            out.cut(link);
            self.probe_ended(now, server, ProbeOutcome::TimedOut, Load::default(), out);
        }
        self.ask_next(now, out);
    }

    // ---- health and metrics

    fn admin(&mut self, link: Link, bytes: &[u8], out: &mut Outbox) {
        for asked in self.admin.receive(link, bytes, out) {
            if self.external_paths.iter().any(|prefix| asked.target.starts_with(prefix)) {
                self.external_requests.push(asked);
                continue;
            }
            let (status, body) = match asked.target.as_str() {
                "/healthz" if self.listed => (200, "ok\n".to_string()),
                "/healthz" => (503, "no list yet\n".to_string()),
                "/metrics" => (200, self.metrics()),
                _ => (404, "there are /healthz and /metrics\n".to_string()),
            };
            self.admin.answer(link, status, "text/plain; version=0.0.4", &body, out);
        }
    }

    /// The answer to what was asked elsewhere; who asked may have gone.
    pub fn answer_admin(&mut self, link: Link, status: u16, json: &str, out: &mut Outbox) {
        self.admin.answer(link, status, "application/json", json, out);
    }

    /// Whether the list names this very start of a server, or an earlier one.
    pub fn lists_start(&self, at: &str, started_ms: u64) -> bool {
        let listed = self.roll.known().get(at).map(|known| known.started.unwrap_or_default());
        listed.is_some_and(|listed| listed.0 / 1_000_000 <= started_ms)
    }

    /// Which start of this planner it is; told before the start.
    pub fn set_epoch(&mut self, epoch: u64) {
        self.epoch = epoch;
    }

    pub fn overrides(&self) -> &Overrides {
        &self.standing
    }

    /// Operators' orders reach the module as what the list and they together say.
    pub fn apply_overrides(&mut self, now: Moment, stands: &[OverrideChange], out: &mut Outbox) {
        let mut changes: Vec<EndpointChange> = Vec::new();
        for stands in stands {
            if !self.standing.take(stands) {
                continue;
            }
            match stands {
                OverrideChange::Drained(at, _) | OverrideChange::Weight(at, _) => {
                    let known = self.roll.known().get(at).filter(|_| !changes.iter().any(|c| c.0 == *at));
                    changes.extend(known.map(|known| (at.clone(), known.clone())));
                }
                OverrideChange::Cap(name, level) => {
                    if let Some(route) = self.charge.routes.iter().position(|route| route == name) {
                        self.event(now, Event::LimitRoute { route, level: level.unwrap_or(1.0) }, out);
                    }
                }
                OverrideChange::Hold(on) => self.event(now, Event::HoldChanges { on: *on }, out),
            }
        }
        if !changes.is_empty() {
            self.tell_list(now, ListKind::Changes, &changes, out);
        }
    }

    fn metrics(&self) -> String {
        let c = &self.counts;
        let (probing, probes_waiting) = self.probes.counts();
        let rows: [(&str, f64); 19] = [
            ("turns_total", c.turns as f64),
            ("joins_total", c.joins as f64),
            ("leaves_total", c.leaves as f64),
            ("messages_total", c.messages as f64),
            ("lines_total", c.lines as f64),
            ("acks_total", c.acks as f64),
            ("nacks_total", c.nacks as f64),
            ("probes_total", c.probes as f64),
            ("list_changes_total", c.list_changes as f64),
            ("list_failures_total", self.watch.as_ref().map_or(0.0, |watch| watch.failures as f64)),
            ("streams_refused_total", c.refused_streams as f64),
            ("channel_full_total", c.channel_full as f64),
            ("streams", self.streams.joined() as f64),
            ("channel_lines", self.channel.lines()),
            ("channel_lines_peak", self.channel.peak),
            ("channel_messages", self.channel.messages() as f64),
            ("reports_waiting", self.intake.waiting() as f64),
            ("probes_open", (probing + probes_waiting) as f64),
            ("worst_ack_seconds", c.worst_ack.seconds()),
        ];
        let mut text: String =
            rows.iter().map(|(name, value)| format!("pewtergap_{name} {value}\n")).collect();
        for (table, version, lines) in self.tables.sizes() {
            text += &format!("pewtergap_table_lines{{table=\"{table}\"}} {lines}\n");
            text += &format!("pewtergap_table_version{{table=\"{table}\"}} {version}\n");
        }
        text
    }

    // ---- upkeep

    fn housekeeping(&mut self, now: Moment, out: &mut Outbox) {
        out.set_timer(timer::HOUSEKEEPING, now + HOUSEKEEPING);
        let every = self.reports.interval;
        let overdue = |stream: &Stream| stream.overdue(now, every, self.charge.unresponsive_after);
        let late: Vec<(Link, &str)> =
            self.streams.by_link.iter().filter_map(|(link, s)| overdue(s).map(|why| (*link, why))).collect();
        for (link, why) in late {
            out.log(Level::Warn, "stream_closed", vec![("link", link.0.to_string()), ("why", why.into())]);
            // It does not read: nothing that is written would reach it in order.
            out.cut(link);
            self.forget(now, link, out);
        }
        for (link, stream) in &mut self.streams.by_link {
            if stream.proxy.is_some() && now.since(stream.beat) >= every {
                stream.beat = now;
                out.send(*link, encode(&PlannerMessage::new(planner_message::Kind::Heartbeat(Heartbeat {}))));
            }
        }
    }

    fn stop(&mut self, now: Moment, out: &mut Outbox) {
        self.stopping = true;
        out.log(Level::Info, "stopping", vec![("streams", self.streams.joined().to_string())]);
        let bye = encode(&PlannerMessage::new(planner_message::Kind::Bye(Bye {
            reason: "the planner stops".into(),
        })));
        for link in self.streams.by_link.keys() {
            out.send(*link, bye.clone());
            out.finish(*link);
        }
        if self.listed {
            self.keep(out);
        }
        out.push(Effect::Unlisten { listener: PROXIES });
        out.set_timer(timer::EXIT, now + FAREWELL);
    }

    fn due(&mut self, now: Moment, timer: u64, out: &mut Outbox) {
        match timer {
            timer::TURN => self.turn(now, out),
            timer::WOKEN => self.event(now, Event::Tick, out),
            timer::CHANNEL => self.drain(now, out),
            timer::HOUSEKEEPING => self.housekeeping(now, out),
            timer::INTAKE => {
                self.intake_set = false;
                for event in self.intake.take(now) {
                    self.event(now, event, out);
                }
                self.set_intake(now, out);
            }
            timer::LIST => {
                let told = self.watch.as_mut().map(|watch| watch.due(now)).unwrap_or_default();
                self.follow(now, told, out);
            }
            timer::KEEP => self.keep(out),
            timer::PROBES => self.late_probes(now, out),
            timer::EXIT => out.push(Effect::Exit { code: 0 }),
            _ => {}
        }
    }

    fn accepted(&mut self, now: Moment, link: Link, door: u32, out: &mut Outbox) {
        if door == ADMIN {
            return self.admin.accepted(link, out);
        }
        if self.streams.by_link.len() >= self.reports.max_streams {
            self.counts.refused_streams += 1;
            let reason = format!("{} streams are open, no more are taken", self.streams.by_link.len());
            out.send(link, encode(&PlannerMessage::new(planner_message::Kind::Bye(Bye { reason }))));
            out.finish(link);
            return;
        }
        self.streams.by_link.insert(link, Stream::new(now));
    }

    fn closed(&mut self, now: Moment, link: Link, why: Ended, out: &mut Outbox) {
        if self.list_link == Some(link) {
            self.list_link = None;
            let told =
                self.watch.as_mut().map(|watch| watch.closed(now, format!("the connection ended: {why:?}")));
            self.follow(now, told.unwrap_or_default(), out);
        } else if self.probes.owns_link(link) {
            if let Some((server, end, load)) = self.probes.closed(link, why) {
                self.probe_ended(now, server, end, load, out);
            }
            self.ask_next(now, out);
        } else if !self.admin.closed(link) {
            if why == Ended::Overflow {
                out.log(Level::Warn, "stream_closed", vec![("why", "it does not read".into())]);
            }
            self.forget(now, link, out);
        }
    }

    fn bytes(&mut self, now: Moment, link: Link, bytes: &[u8], out: &mut Outbox) {
        if self.list_link == Some(link) {
            let told = self.watch.as_mut().map(|watch| watch.bytes(now, bytes)).unwrap_or_default();
            self.follow(now, told, out);
        } else if self.probes.owns_link(link) {
            if let Some((server, end, load)) = self.probes.receive(link, bytes) {
                out.cut(link);
                self.probe_ended(now, server, end, load, out);
                self.ask_next(now, out);
            }
        } else if self.admin.owns_link(link) {
            self.admin(link, bytes, out);
        } else {
            self.heard(now, link, bytes, out);
        }
    }
}

fn state_name(state: ListedState) -> &'static str {
    match state {
        ListedState::Running => "running",
        ListedState::Stopping => "stopping",
        ListedState::Deleted => "gone",
    }
}

/// One `EndpointSliceList`, or slices one a line.
fn read_list_file(bytes: &[u8]) -> Result<Vec<Slice>, String> {
    if let Ok(list) = serde_json::from_slice::<SliceList>(bytes) {
        if let Some(items) = list.items {
            return Ok(items);
        }
    }
    let text = std::str::from_utf8(bytes).map_err(|e| format!("not UTF-8 after byte {}", e.valid_up_to()))?;
    let lines = text.lines().enumerate().filter(|line| !line.1.trim().is_empty());
    lines.map(|(at, line)| serde_json::from_str(line).map_err(|e| format!("line {}: {e}", at + 1))).collect()
}

impl Node for Service {
    fn handle(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) {
        match input {
            Input::Start => self.start(now, out),
            Input::Listening { listener: door, at } => {
                let what = if door == PROXIES { "proxies" } else { "admin" };
                out.log(Level::Info, "listening", vec![("door", what.into()), ("at", at.to_string())]);
            }
            Input::NotListening { why, .. } => {
                out.log(Level::Error, "not_listening", vec![("why", why)]);
                out.push(Effect::Exit { code: 3 });
            }
            Input::File { name, bytes } if name == self.kept_name() => self.kept(now, bytes, out),
            Input::File { bytes, .. } => self.list_file(now, bytes, out),
            Input::Accepted { link, listener: door, .. } => self.accepted(now, link, door, out),
            Input::Opened { link } if self.list_link == Some(link) => {
                let told = self.watch.as_mut().map(|watch| watch.opened(now)).unwrap_or_default();
                self.follow(now, told, out);
            }
            Input::Opened { .. } => {}
            Input::Bytes { link, bytes } => self.bytes(now, link, bytes, out),
            Input::Closed { link, why } => self.closed(now, link, why, out),
            Input::TimerFired { timer } => self.due(now, timer, out),
            Input::Reload => {
                out.log(Level::Info, "reload", Vec::new());
                if let ListSource::File { name } = &self.source {
                    out.push(Effect::ReadFile { name: name.clone() });
                }
            }
            Input::Stop if !self.stopping => self.stop(now, out),
            Input::Synced { .. }
            | Input::Stop
            | Input::Command(_)
            | Input::Notified
            | Input::TransferFailed { .. } => {}
        }
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}
