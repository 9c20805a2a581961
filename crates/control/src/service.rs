//! The service as a node: converts inputs to events, and the planner core's actions to messages.

use crate::admin::{AdminRequest, AdminServer};
use crate::channel::Channel;
use crate::endpoints::{EndpointChange, EndpointList, Slice, SliceList};
use crate::list_watch::{Action as ListAction, ListSource, ListWatch};
use crate::overrides::{OverrideChange, Overrides};
use crate::probes::{ProbeConfig, Probes};
use crate::report_queue::ReportQueue;
use crate::saved_list;
use crate::streams::{ReportConfig, Sent, Stream, Streams, MAX_UNANSWERED, TOO_MUCH_MEMORY};
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

/// The planner's name, and the zones and routes it serves.
#[derive(Clone, Debug)]
pub struct ServiceConfig {
    pub name: String,
    pub zones: Vec<String>,
    pub routes: Vec<String>,
    /// How long a proxy may leave a message unacknowledged.
    pub unresponsive_after: Span,
}

/// Listening addresses, and the source address of outgoing connections.
#[derive(Clone, Copy, Debug)]
pub struct ListenConfig {
    pub proxies: SocketAddr,
    /// Health, metrics and operators' requests over HTTP.
    pub admin: Option<SocketAddr>,
    pub source_ip: Option<IpAddr>,
}

const PROXY_LISTENER: u32 = 0;
const ADMIN_LISTENER: u32 = 1;

/// Events within this time are processed in one turn.
const TURN_DELAY: Span = Span::millis(2);
const HOUSEKEEPING_INTERVAL: Span = Span::millis(250);
const REPORT_INTERVAL: Span = Span::millis(50);
/// Delay between a change of the list and saving it on disk.
const SAVE_DELAY: Span = Span::millis(300);
/// Time to write the last messages before the process exits.
const EXIT_DELAY: Span = Span::millis(200);

mod timer {
    pub const TURN: u64 = 1;
    pub const WAKE: u64 = 2;
    pub const CHANNEL: u64 = 3;
    pub const HOUSEKEEPING: u64 = 4;
    pub const REPORTS: u64 = 5;
    pub const LIST: u64 = 6;
    pub const SAVE_LIST: u64 = 7;
    pub const PROBES: u64 = 8;
    pub const EXIT: u64 = 9;
}

/// Counters since the start, for metrics.
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

/// The outcome of a probe by this planner, with utilization and calls in flight if reported.
#[derive(Clone, Debug, PartialEq)]
pub struct ProbeResult {
    pub server: String,
    pub end: ProbeOutcome,
    pub load: (Option<f64>, Option<f64>),
}

/// A drain that the list announced: the server, its start time, and when this planner was notified.
#[derive(Clone, Debug, PartialEq)]
pub struct DrainNotice {
    pub server: String,
    pub started: Moment,
    pub notified_at: Moment,
}

/// Information derived from other planners' messages, for the planner core.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerHint {
    /// Calls per second at the proxies of all other planners, if known.
    OtherPlannersRate(Option<f64>),
    /// This planner's share of the calls that all planners may send to a cold server.
    ColdShare(Option<f64>),
    /// Reduce a server's weight by this fraction.
    ReduceWeight(String, f64),
    /// Probe a server.
    Probe(String),
}

/// Maximum number of drain notices not yet taken by the owner of the service.
const MAX_DRAIN_NOTICES: usize = 4_096;

pub struct Service {
    config: ServiceConfig,
    listen: ListenConfig,
    reports: ReportConfig,
    source: ListSource,
    planner: Planner,
    /// Identifies this run of the planner.
    epoch: u64,
    servers: Interner<String>,
    proxies: Interner<String>,
    endpoints: EndpointList,
    watch: Option<ListWatch>,
    list_link: Option<Link>,
    /// A complete list was received since the start.
    list_received: bool,
    save_scheduled: bool,
    streams: Streams,
    tables: Tables,
    channel: Channel,
    channel_timer: Option<Moment>,
    report_queue: ReportQueue,
    report_timer_set: bool,
    probes: Probes,
    /// The owner of the service coordinates probes with other planners: the planner core's requests go to `probe_requests`,
    /// and the outcomes of this planner's probes to `probe_results`.
    pub external_probes: bool,
    requested_probes: BTreeSet<usize>,
    pub probe_requests: Vec<String>,
    pub probe_results: Vec<ProbeResult>,
    admin: AdminServer,
    /// Path prefixes of admin requests that the owner of the service handles, and the requests waiting for it.
    pub external_paths: &'static [&'static str],
    pub external_requests: Vec<AdminRequest>,
    overrides: Overrides,
    try_counts: (u64, u64),
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
        config: ServiceConfig,
        listen: ListenConfig,
        source: ListSource,
        planner: Planner,
        channel: Channel,
        reports: ReportConfig,
        probing: ProbeConfig,
    ) -> Service {
        Service {
            config,
            listen,
            reports,
            source,
            planner,
            epoch: now.0,
            servers: Interner::default(),
            proxies: Interner::default(),
            endpoints: EndpointList::default(),
            watch: None,
            list_link: None,
            list_received: false,
            save_scheduled: false,
            streams: Streams::default(),
            tables: Tables::default(),
            channel,
            channel_timer: None,
            report_queue: ReportQueue::new(reports.lines_per_s),
            report_timer_set: false,
            probes: Probes::new(probing),
            external_probes: false,
            requested_probes: BTreeSet::new(),
            probe_requests: Vec::new(),
            probe_results: Vec::new(),
            admin: AdminServer::default(),
            external_paths: &[],
            external_requests: Vec::new(),
            overrides: Overrides::default(),
            try_counts: (0, 0),
            traffic: TrafficStats::default(),
            drain_notices: Vec::new(),
            events: vec![Event::Tick],
            turn_set: false,
            stopping: false,
            counts: Counts::default(),
        }
    }

    fn saved_list_name(&self) -> String {
        format!("{}.list.json", self.config.name)
    }

    fn start(&mut self, now: Moment, out: &mut Outbox) {
        out.push(Effect::Listen { listener: PROXY_LISTENER, at: self.listen.proxies });
        if let Some(at) = self.listen.admin {
            out.push(Effect::Listen { listener: ADMIN_LISTENER, at });
        }
        out.push(Effect::ReadFile { name: self.saved_list_name() });
        out.set_timer(timer::HOUSEKEEPING, now + HOUSEKEEPING_INTERVAL);
    }

    // ---- the list

    fn load_saved_list(&mut self, now: Moment, bytes: Result<&[u8], String>, out: &mut Outbox) {
        let mut highest_version = 0;
        match bytes.and_then(saved_list::decode) {
            Ok((version, known)) => {
                out.log(Level::Info, "kept_list", vec![("servers", known.len().to_string())]);
                let all: Vec<EndpointChange> = known.iter().map(|(at, e)| (at.clone(), e.clone())).collect();
                (highest_version, self.endpoints) = (version, EndpointList::from_saved(known));
                self.send_list(now, ListKind::Kept, &all, out);
            }
            Err(why) => out.log(Level::Info, "no_kept_list", vec![("why", why)]),
        }
        match &self.source {
            ListSource::Watch { address, path } => {
                self.watch = Some(ListWatch::new(*address, path.clone(), highest_version));
                out.set_timer(timer::LIST, now);
            }
            ListSource::File { name } => out.push(Effect::ReadFile { name: name.clone() }),
        }
    }

    fn load_list_file(&mut self, now: Moment, bytes: Result<&[u8], String>, out: &mut Outbox) {
        match bytes.and_then(parse_list_file) {
            Ok(slices) => self.apply_list_actions(now, vec![ListAction::Replace(slices)], out),
            // The current list stays in force.
            Err(why) => out.log(Level::Error, "list_file_refused", vec![("why", why)]),
        }
    }

    fn apply_list_actions(&mut self, now: Moment, actions: Vec<ListAction>, out: &mut Outbox) {
        for action in actions {
            let mut rejected = Vec::new();
            match action {
                ListAction::Connect(to) => self.list_link = Some(out.connect(to, self.listen.source_ip)),
                ListAction::Send(bytes) => {
                    if let Some(link) = self.list_link {
                        out.send(link, bytes);
                    }
                }
                ListAction::Disconnect { retry_at } => {
                    if let Some(link) = self.list_link.take() {
                        out.cut(link);
                    }
                    out.set_timer(timer::LIST, retry_at);
                }
                ListAction::Replace(slices) => {
                    let all = self.endpoints.replace(now, &slices, &mut rejected);
                    self.list_received = true;
                    self.send_list(now, ListKind::Complete, &all, out);
                }
                ListAction::Put(slice) => {
                    let changes = self.endpoints.put(now, &slice, &mut rejected);
                    self.send_list(now, ListKind::Changes, &changes, out);
                }
                ListAction::Delete(name) => {
                    let changes = self.endpoints.delete(now, &name);
                    self.send_list(now, ListKind::Changes, &changes, out);
                }
                ListAction::Log(event, why) => out.log(Level::Warn, event, vec![("why", why)]),
            }
            for what in rejected {
                out.log(Level::Warn, "list_entry_refused", vec![("what", what)]);
            }
        }
    }

    fn send_list(&mut self, now: Moment, kind: ListKind, changes: &[EndpointChange], out: &mut Outbox) {
        let mut entries = Vec::new();
        for (at, endpoint) in changes {
            let Some(zone) = self.config.zones.iter().position(|zone| *zone == endpoint.zone) else {
                let what = format!("{at}: zone '{}' is not configured", endpoint.zone);
                out.log(Level::Warn, "list_entry_refused", vec![("what", what)]);
                continue;
            };
            let server = self.servers.intern(at);
            let (mut state, mut weight) = (endpoint.state, endpoint.weight);
            if state != ListedState::Running
                && kind != ListKind::Kept
                && self.drain_notices.len() < MAX_DRAIN_NOTICES
            {
                let started = endpoint.started.unwrap_or_default();
                self.drain_notices.push(DrainNotice { server: at.clone(), started, notified_at: now });
            }
            if state == ListedState::Running && self.overrides.drained.contains(at) {
                state = ListedState::Stopping;
            }
            if let Some(overridden) = self.overrides.weights.get(at) {
                weight = *overridden;
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
        if kind != ListKind::Kept && !self.save_scheduled {
            self.save_scheduled = true;
            out.set_timer(timer::SAVE_LIST, now + SAVE_DELAY);
        }
        self.event(now, Event::List { kind, entries }, out);
    }

    fn save_list(&mut self, out: &mut Outbox) {
        self.save_scheduled = false;
        let highest_version = self.watch.as_ref().map_or(0, ListWatch::highest_version);
        let bytes = saved_list::encode(highest_version, self.endpoints.endpoints());
        out.push(Effect::SaveFile { name: self.saved_list_name(), bytes });
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
        self.counts.turns += 1;
        let turn = self.counts.turns;
        let actions = self.planner.turn(now, &events);
        for action in &actions {
            match action {
                Action::Probe { server } if self.external_probes => {
                    self.requested_probes.insert(*server);
                    self.probe_requests.push(self.servers.name(*server).clone());
                }
                Action::Probe { server } => self.probes.enqueue(*server),
                Action::Wake { at } => out.set_timer(timer::WAKE, *at),
                Action::Log { text } => out.log(Level::Info, "planner", vec![("text", text.clone())]),
                Action::ReleaseServer { server } => {
                    if let Some(link) = self.probes.remove(*server) {
                        out.cut(link);
                    }
                    self.requested_probes.remove(server);
                    self.report_queue.remove_server(*server);
                    self.servers.release(*server);
                }
                // The list is watched at all times, there is nothing to request.
                Action::Subscribe
                | Action::SetLine { .. }
                | Action::Bind { .. }
                | Action::SetLevel { .. }
                | Action::Mark { .. } => {}
            }
        }
        let updates = self.tables.apply(now, turn, &actions, &self.servers);
        if !updates.is_empty() {
            let lines: u32 = updates.iter().map(|update| update.1.lines).sum();
            let fields = vec![
                ("turn", turn.to_string()),
                ("events", events.len().to_string()),
                ("messages", updates.len().to_string()),
                ("lines", lines.to_string()),
                ("waiting", format!("{:.0}", self.channel.waiting_lines())),
            ];
            out.log(Level::Info, "orders", fields);
        }
        for (proxy, update) in updates {
            if let Err(full) = self.channel.enqueue(now, proxy, update) {
                // The planner core's accounting should prevent this; the affected proxy has to join anew.
                self.counts.channel_full += 1;
                let fields = vec![
                    ("proxy", self.proxies.name(proxy).clone()),
                    ("waiting", full.waiting.to_string()),
                    ("more", full.more.to_string()),
                ];
                out.log(Level::Error, "channel_full", fields);
                self.disconnect(now, proxy, "the planner's channel is full", out);
            }
        }
        self.start_probes(now, out);
        self.send_due(now, out);
    }

    /// Sends the messages that are due and schedules the next.
    fn send_due(&mut self, now: Moment, out: &mut Outbox) {
        while let Some((proxy, update)) = self.channel.pop(now) {
            self.send(now, proxy, update, out);
        }
        if let Some(due) = self.channel.next_send_at() {
            if self.channel_timer.is_none_or(|set| set > due || set <= now) {
                self.channel_timer = Some(due);
                out.set_timer(timer::CHANNEL, due);
            }
        }
    }

    fn send(&mut self, now: Moment, proxy: usize, mut update: Update, out: &mut Outbox) {
        let Some((link, stream)) = self.streams.get_mut(proxy) else { return };
        stream.nonce += 1;
        update.nonce = stream.nonce;
        let ordered_at = Moment(update.ordered_at);
        let sent =
            Sent { nonce: stream.nonce, mark: update.mark, turn: update.turn, sent_at: now, ordered_at };
        stream.unanswered.push_back(sent);
        stream.last_sent = now;
        let too_many = stream.unanswered.len() > MAX_UNANSWERED;
        self.counts.messages += 1;
        self.counts.lines += u64::from(update.lines);
        let fields = vec![
            ("turn", update.turn.to_string()),
            ("proxy", self.proxies.name(proxy).clone()),
            ("nonce", update.nonce.to_string()),
            ("lines", update.lines.to_string()),
            ("waited", now.since(ordered_at).to_string()),
        ];
        out.log(Level::Debug, "sent", fields);
        out.send(link, encode(&PlannerMessage::new(planner_message::Kind::Update(update))));
        if too_many {
            self.disconnect(now, proxy, "too many messages without an answer", out);
        }
    }

    // ---- proxies

    fn receive(&mut self, now: Moment, link: Link, bytes: &[u8], out: &mut Outbox) {
        let Some(stream) = self.streams.by_link.get_mut(&link) else { return };
        stream.last_contact = now;
        stream.frames.push(bytes);
        loop {
            let Some(stream) = self.streams.by_link.get_mut(&link) else { return };
            let result = match stream.frames.next_message() {
                Ok(None) => break,
                Ok(Some(message)) => match message.kind {
                    Some(kind) => self.message(now, link, kind, out),
                    None => Ok(()),
                },
                Err(error) => Err(error.to_string()),
            };
            if let Err(why) = result {
                self.close(now, link, &why, out);
                return;
            }
        }
        if let Some(largest) = self.streams.account(link) {
            self.close(now, largest, TOO_MUCH_MEMORY, out);
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
            proxy_message::Kind::Ack(ack) if ack.nonce <= stream.voided_nonce => {}
            proxy_message::Kind::Nack(nack) if nack.nonce <= stream.voided_nonce => {}
            proxy_message::Kind::Ack(ack) => {
                let sent = stream
                    .acknowledge(ack.nonce)
                    .ok_or(format!("ack of {}, which was not sent", ack.nonce))?;
                self.counts.acks += 1;
                let took = now.since(sent.ordered_at);
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
            proxy_message::Kind::Nack(nack) => return self.handle_nack(now, link, proxy, &nack, out),
            proxy_message::Kind::ServerStats(sums) => self.server_stats(now, link, &sums, out),
            proxy_message::Kind::Arrivals(arrivals) => {
                let (period, zone) = (Span::micros(arrivals.period_us), stream.zone);
                stream.record_calls(arrivals.rows.iter().map(|row| row.calls).sum(), period);
                for row in arrivals.rows.iter().filter(|row| (row.route as usize) < self.config.routes.len())
                {
                    self.traffic.add_calls(row.route as usize, zone, row.calls);
                    self.report_queue.add_arrivals(proxy, row.route as usize, row.calls, row.dropped, period);
                }
                self.schedule_reports(now, out);
            }
            proxy_message::Kind::Heartbeat(_) => {}
        }
        Ok(())
    }

    fn hello(&mut self, now: Moment, link: Link, hello: Hello, out: &mut Outbox) -> Result<(), String> {
        if hello.protocol != VERSION {
            return Err(format!("protocol {} is not spoken here, {VERSION} is", hello.protocol));
        }
        let zone = self.config.zones.iter().position(|zone| *zone == hello.zone);
        let zone = zone.ok_or(format!("zone '{}' is not known here", hello.zone))?;
        if let Some(route) = hello.routes.iter().find(|route| !self.config.routes.contains(route)) {
            return Err(format!("route '{route}' is not known here"));
        }
        // Each name uses an index for good, so a proxy that makes up new names must not exhaust the memory.
        let known = self.proxies.get(&hello.proxy).is_some();
        if !known && self.proxies.slots() >= 4 * self.reports.max_streams {
            return Err(format!(
                "{} proxies were named since the start, no new name is taken",
                self.proxies.slots()
            ));
        }
        let proxy = self.proxies.intern(&hello.proxy);
        // The proxy reconnected before the end of its old stream was noticed.
        if let Some(old) = self.streams.by_proxy.get(&proxy).copied() {
            self.remove_stream(now, old, out);
            out.cut(old);
        }
        let Some(stream) = self.streams.by_link.get_mut(&link) else { return Ok(()) };
        (stream.proxy, stream.zone, stream.calls_per_s) = (Some(proxy), zone, hello.calls_per_s);
        stream.rate = hello.calls_per_s;
        self.streams.by_proxy.insert(proxy, link);
        let (name, epoch) = (&self.config.name, self.epoch);
        let own_tables = hello.held.iter().filter(|held| held.planner == *name && held.epoch == epoch);
        self.tables.join(proxy, own_tables.map(|held| (held.table as usize, held.version)));
        self.counts.joins += 1;
        let welcome = Welcome {
            protocol: VERSION,
            planner: name.clone(),
            epoch,
            routes: self.config.routes.clone(),
            report_every_us: self.reports.interval.0 / 1_000,
        };
        out.send(link, encode(&PlannerMessage::new(planner_message::Kind::Welcome(welcome))));
        out.log(Level::Info, "joined", vec![("proxy", hello.proxy), ("zone", hello.zone)]);
        self.event(now, Event::ProxyJoined { proxy, zone, calls_per_s: hello.calls_per_s }, out);
        Ok(())
    }

    /// Handles a rejected message. For the planner core the proxy leaves and joins again, so that it is bound anew with
    /// whole tables and the cost of this is in the core's accounting.
    fn handle_nack(
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
        if stream.record_nack(now) {
            return Err("too many refusals".into());
        }
        stream.unanswered.clear();
        stream.voided_nonce = stream.nonce;
        let (zone, calls_per_s) = (stream.zone, stream.calls_per_s);
        self.channel.remove(proxy);
        self.tables.join(proxy, std::iter::empty());
        self.event(now, Event::ProxyLeft { proxy }, out);
        self.event(now, Event::ProxyJoined { proxy, zone, calls_per_s }, out);
        Ok(())
    }

    fn server_stats(&mut self, now: Moment, link: Link, sums: &ServerStats, out: &mut Outbox) {
        let zone = self.streams.by_link.get(&link).map_or(0, |stream| stream.zone);
        for row in &sums.rows {
            // Servers that were never in this planner's list are ignored; they belong to another planner.
            let Some(server) = self.servers.get(&row.server) else { continue };
            self.try_counts.0 = self.try_counts.0.saturating_add(row.tries);
            self.try_counts.1 = self.try_counts.1.saturating_add(row.dropped);
            let load = Load { util: row.util, in_flight: row.in_flight };
            let (mean_latency, period) = (Span::micros(row.mean_latency_us), Span::micros(sums.period_us));
            self.traffic.add_tries(&row.server, row.tries, row.dropped, mean_latency.seconds());
            self.report_queue.add_server_stats(
                server,
                zone,
                row.tries,
                row.dropped,
                mean_latency,
                period,
                load,
            );
        }
        self.schedule_reports(now, out);
    }

    fn schedule_reports(&mut self, now: Moment, out: &mut Outbox) {
        if !self.report_timer_set && self.report_queue.waiting() > 0 {
            self.report_timer_set = true;
            out.set_timer(timer::REPORTS, now + REPORT_INTERVAL);
        }
    }

    /// Closes a stream and tells the proxy why.
    fn close(&mut self, now: Moment, link: Link, why: &str, out: &mut Outbox) {
        out.log(Level::Warn, "stream_closed", vec![("link", link.0.to_string()), ("why", why.into())]);
        out.send(
            link,
            encode(&PlannerMessage::new(planner_message::Kind::Bye(Bye {
                reason: why.chars().take(512).collect(),
            }))),
        );
        out.finish(link);
        self.remove_stream(now, link, out);
    }

    fn disconnect(&mut self, now: Moment, proxy: usize, why: &str, out: &mut Outbox) {
        if let Some(link) = self.streams.by_proxy.get(&proxy).copied() {
            self.close(now, link, why, out);
        }
    }

    /// Removes a closed stream.
    fn remove_stream(&mut self, now: Moment, link: Link, out: &mut Outbox) {
        let Some(stream) = self.streams.by_link.remove(&link) else { return };
        let Some(proxy) = stream.proxy else { return };
        self.streams.by_proxy.remove(&proxy);
        self.channel.remove(proxy);
        self.tables.leave(proxy);
        self.report_queue.remove_proxy(proxy);
        self.counts.leaves += 1;
        out.log(Level::Info, "left", vec![("proxy", self.proxies.name(proxy).clone())]);
        self.event(now, Event::ProxyLeft { proxy }, out);
    }

    // ---- probes

    fn start_probes(&mut self, now: Moment, out: &mut Outbox) {
        while let Some(server) = self.probes.next_server() {
            let Ok(address) = self.servers.name(server).parse::<SocketAddr>() else { continue };
            let link = out.connect(address, self.listen.source_ip);
            self.counts.probes += 1;
            let deadline = self.probes.start(now, server, link);
            out.set_timer(timer::PROBES, deadline);
            out.send(link, self.probes.request(self.servers.name(server)));
        }
    }

    /// Handles the end of a probe by this planner.
    fn probe_ended(
        &mut self,
        now: Moment,
        server: usize,
        outcome: ProbeOutcome,
        load: Load,
        out: &mut Outbox,
    ) {
        if self.external_probes {
            let address = self.servers.name(server).clone();
            self.probe_results.push(ProbeResult {
                server: address,
                end: outcome,
                load: (load.util, load.in_flight),
            });
            if !self.requested_probes.remove(&server) {
                return;
            }
        }
        self.event(now, Event::ProbeEnded { server, outcome, load }, out);
    }

    /// Starts a probe by this planner.
    pub fn probe_server(&mut self, now: Moment, at: &str, out: &mut Outbox) {
        if let Some(server) = self.servers.get(&at.to_string()) {
            self.probes.enqueue(server);
            self.start_probes(now, out);
        }
    }

    /// Handles the outcome of another planner's probe; it goes to the planner core if the core requested it.
    pub fn remote_probe_ended(
        &mut self,
        now: Moment,
        at: &str,
        outcome: ProbeOutcome,
        (util, in_flight): (Option<f64>, Option<f64>),
        out: &mut Outbox,
    ) {
        let Some(server) = self.servers.get(&at.to_string()) else { return };
        if self.requested_probes.remove(&server) {
            self.event(now, Event::ProbeEnded { server, outcome, load: Load { util, in_flight } }, out);
        }
    }

    /// Passes information from other planners to the planner core.
    pub fn apply_hint(&mut self, now: Moment, hint: PeerHint, out: &mut Outbox) {
        let event = match hint {
            PeerHint::OtherPlannersRate(calls_per_s) => Event::OtherPlannersRate { calls_per_s },
            PeerHint::ColdShare(share) => Event::ColdShare { share },
            PeerHint::ReduceWeight(at, by) => match self.servers.get(&at) {
                Some(server) => Event::ReduceWeight { server, by },
                None => return,
            },
            PeerHint::Probe(at) => {
                let Some(server) = self.servers.get(&at) else { return };
                if self.external_probes {
                    self.requested_probes.insert(server);
                    self.probe_requests.push(at);
                } else {
                    self.probes.enqueue(server);
                    self.start_probes(now, out);
                }
                return;
            }
        };
        self.event(now, event, out);
    }

    /// Number of joined proxies, and their calls per second.
    pub fn joined_proxies(&self) -> (usize, f64) {
        (self.streams.joined_count(), self.streams.total_rate())
    }

    pub fn routes(&self) -> &[String] {
        &self.config.routes
    }

    pub fn zones(&self) -> &[String] {
        &self.config.zones
    }

    /// Sum of the listed weights of each zone.
    pub fn zone_weights(&self) -> BTreeMap<String, f64> {
        let mut weights = BTreeMap::new();
        for known in self.endpoints.endpoints().values() {
            *weights.entry(known.zone.clone()).or_default() += known.weight;
        }
        weights
    }

    /// Tries by this planner's proxies since the start, and how many of them servers dropped.
    pub fn try_counts(&self) -> (u64, u64) {
        self.try_counts
    }

    pub fn endpoint(&self, at: &str) -> Option<&crate::endpoints::Endpoint> {
        self.endpoints.endpoints().get(at)
    }

    pub fn servers_in_zone<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = &'a String> + 'a {
        self.endpoints.endpoints().iter().filter(move |known| known.1.zone == zone).map(|known| known.0)
    }

    /// All listed servers, once a list was received.
    pub fn server_names(&self) -> Option<impl Iterator<Item = &String> + '_> {
        self.list_received.then(|| self.endpoints.endpoints().keys())
    }

    pub fn zone_of(&self, at: &str) -> Option<&str> {
        self.endpoints.endpoints().get(at).map(|known| known.zone.as_str())
    }

    fn time_out_probes(&mut self, now: Moment, out: &mut Outbox) {
        for (link, server) in self.probes.take_timed_out(now) {
            out.cut(link);
            self.probe_ended(now, server, ProbeOutcome::TimedOut, Load::default(), out);
        }
        self.start_probes(now, out);
    }

    // ---- health and metrics

    fn admin(&mut self, link: Link, bytes: &[u8], out: &mut Outbox) {
        let Some(request) = self.admin.receive(link, bytes, out) else { return };
        if self.external_paths.iter().any(|prefix| request.target.starts_with(prefix)) {
            return self.external_requests.push(request);
        }
        let (status, body) = match request.target.as_str() {
            "/healthz" if self.list_received => (200, "ok\n".to_string()),
            "/healthz" => (503, "no list yet\n".to_string()),
            "/metrics" => (200, self.metrics()),
            _ => (404, "there are /healthz and /metrics\n".to_string()),
        };
        self.admin.answer(link, status, "text/plain; version=0.0.4", &body, out);
    }

    /// Answers an external request, unless its connection has been closed.
    pub fn answer_admin(&mut self, link: Link, status: u16, json: &str, out: &mut Outbox) {
        self.admin.answer(link, status, "application/json", json, out);
    }

    /// Whether the list has the server with this start time or an earlier one.
    pub fn lists_start(&self, at: &str, started_ms: u64) -> bool {
        let listed = self.endpoints.endpoints().get(at).map(|known| known.started.unwrap_or_default());
        listed.is_some_and(|listed| listed.0 / 1_000_000 <= started_ms)
    }

    /// Sets the identifier of this run; called before the start.
    pub fn set_epoch(&mut self, epoch: u64) {
        self.epoch = epoch;
    }

    pub fn overrides(&self) -> &Overrides {
        &self.overrides
    }

    /// Applies changes of operators' orders; the planner core gets the list and the orders combined.
    pub fn apply_overrides(&mut self, now: Moment, overrides: &[OverrideChange], out: &mut Outbox) {
        let mut changes: Vec<EndpointChange> = Vec::new();
        for change in overrides {
            if !self.overrides.apply(change) {
                continue;
            }
            match change {
                OverrideChange::Drained(at, _) | OverrideChange::Weight(at, _) => {
                    let known =
                        self.endpoints.endpoints().get(at).filter(|_| !changes.iter().any(|c| c.0 == *at));
                    changes.extend(known.map(|known| (at.clone(), known.clone())));
                }
                OverrideChange::Cap(name, level) => {
                    if let Some(route) = self.config.routes.iter().position(|route| route == name) {
                        self.event(now, Event::LimitRoute { route, level: level.unwrap_or(1.0) }, out);
                    }
                }
                OverrideChange::Hold(on) => self.event(now, Event::HoldChanges { on: *on }, out),
            }
        }
        if !changes.is_empty() {
            self.send_list(now, ListKind::Changes, &changes, out);
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
            ("streams", self.streams.joined_count() as f64),
            ("channel_lines", self.channel.waiting_lines()),
            ("channel_lines_peak", self.channel.peak_lines),
            ("channel_messages", self.channel.waiting_messages() as f64),
            ("reports_waiting", self.report_queue.waiting() as f64),
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

    // ---- housekeeping

    fn housekeeping(&mut self, now: Moment, out: &mut Outbox) {
        out.set_timer(timer::HOUSEKEEPING, now + HOUSEKEEPING_INTERVAL);
        let interval = self.reports.interval;
        let close_reason =
            |stream: &Stream| stream.close_reason(now, interval, self.config.unresponsive_after);
        let overdue: Vec<(Link, &str)> = self
            .streams
            .by_link
            .iter()
            .filter_map(|(link, s)| close_reason(s).map(|why| (*link, why)))
            .collect();
        for (link, why) in overdue {
            out.log(Level::Warn, "stream_closed", vec![("link", link.0.to_string()), ("why", why.into())]);
            // The peer may not be reading, so it could not receive a closing message.
            out.cut(link);
            self.remove_stream(now, link, out);
        }
        for (link, stream) in &mut self.streams.by_link {
            if stream.proxy.is_some() && now.since(stream.last_sent) >= interval {
                stream.last_sent = now;
                out.send(*link, encode(&PlannerMessage::new(planner_message::Kind::Heartbeat(Heartbeat {}))));
            }
        }
    }

    fn stop(&mut self, now: Moment, out: &mut Outbox) {
        self.stopping = true;
        out.log(Level::Info, "stopping", vec![("streams", self.streams.joined_count().to_string())]);
        let bye = encode(&PlannerMessage::new(planner_message::Kind::Bye(Bye {
            reason: "the planner stops".into(),
        })));
        for link in self.streams.by_link.keys() {
            out.send(*link, bye.clone());
            out.finish(*link);
        }
        if self.list_received {
            self.save_list(out);
        }
        out.push(Effect::Unlisten { listener: PROXY_LISTENER });
        out.set_timer(timer::EXIT, now + EXIT_DELAY);
    }

    fn due(&mut self, now: Moment, timer: u64, out: &mut Outbox) {
        match timer {
            timer::TURN => self.turn(now, out),
            timer::WAKE => self.event(now, Event::Tick, out),
            timer::CHANNEL => self.send_due(now, out),
            timer::HOUSEKEEPING => self.housekeeping(now, out),
            timer::REPORTS => {
                self.report_timer_set = false;
                for event in self.report_queue.take_due(now) {
                    self.event(now, event, out);
                }
                self.schedule_reports(now, out);
            }
            timer::LIST => {
                let actions = self.watch.as_mut().map(|watch| watch.due(now)).unwrap_or_default();
                self.apply_list_actions(now, actions, out);
            }
            timer::SAVE_LIST => self.save_list(out),
            timer::PROBES => self.time_out_probes(now, out),
            timer::EXIT => out.push(Effect::Exit { code: 0 }),
            _ => {}
        }
    }

    fn accepted(&mut self, now: Moment, link: Link, listener: u32, out: &mut Outbox) {
        if listener == ADMIN_LISTENER {
            return self.admin.accepted(link, out);
        }
        if self.streams.by_link.len() >= self.reports.max_streams {
            self.counts.refused_streams += 1;
            // A peer that has not said who it is makes room, so that a proxy can always join.
            if let Some(stranger) = self.streams.oldest_stranger() {
                self.close(now, stranger, "other peers wait", out);
                self.streams.by_link.insert(link, Stream::new(now));
                return;
            }
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
            let actions =
                self.watch.as_mut().map(|watch| watch.closed(now, format!("the connection ended: {why:?}")));
            self.apply_list_actions(now, actions.unwrap_or_default(), out);
        } else if self.probes.owns_link(link) {
            if let Some((server, outcome, load)) = self.probes.closed(link, why) {
                self.probe_ended(now, server, outcome, load, out);
            }
            self.start_probes(now, out);
        } else if !self.admin.closed(link) {
            if why == Ended::Overflow {
                out.log(Level::Warn, "stream_closed", vec![("why", "it does not read".into())]);
            }
            self.remove_stream(now, link, out);
        }
    }

    fn bytes(&mut self, now: Moment, link: Link, bytes: &[u8], out: &mut Outbox) {
        if self.list_link == Some(link) {
            let actions = self.watch.as_mut().map(|watch| watch.receive(now, bytes)).unwrap_or_default();
            self.apply_list_actions(now, actions, out);
        } else if self.probes.owns_link(link) {
            if let Some((server, outcome, load)) = self.probes.receive(link, bytes) {
                out.cut(link);
                self.probe_ended(now, server, outcome, load, out);
                self.start_probes(now, out);
            }
        } else if self.admin.owns_link(link) {
            self.admin(link, bytes, out);
        } else {
            self.receive(now, link, bytes, out);
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

/// Parses a list file: one `EndpointSliceList`, or one slice per line.
fn parse_list_file(bytes: &[u8]) -> Result<Vec<Slice>, String> {
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
            Input::Listening { listener, at } => {
                let what = if listener == PROXY_LISTENER { "proxies" } else { "admin" };
                out.log(Level::Info, "listening", vec![("door", what.into()), ("at", at.to_string())]);
            }
            Input::NotListening { why, .. } => {
                out.log(Level::Error, "not_listening", vec![("why", why)]);
                out.push(Effect::Exit { code: 3 });
            }
            Input::File { name, bytes } if name == self.saved_list_name() => {
                self.load_saved_list(now, bytes, out)
            }
            Input::File { bytes, .. } => self.load_list_file(now, bytes, out),
            Input::Accepted { link, listener, .. } => self.accepted(now, link, listener, out),
            Input::Opened { link } if self.list_link == Some(link) => {
                let actions = self.watch.as_mut().map(|watch| watch.opened(now)).unwrap_or_default();
                self.apply_list_actions(now, actions, out);
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
