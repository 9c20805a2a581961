//! The proxy's client of the planner: the stream, the tables received, and the reports sent.

use crate::stream::{Action, ProxyConfig, Signal, State, Stream, CONNECT_TIMEOUT};
use crate::tables::Tables;
use crate::worker::ArrivalCount;
use crate::Route;
use pewtergap_node::{Effect, Input, Level as LogLevel, Link, Outbox};
use pewtergap_protocol::{
    encode, planner_message, proxy_message, Ack, Arrivals, Heartbeat, Hello, Nack, ProxyMessage,
    RouteArrivals, ServerStats, ServerStatsRow, VERSION,
};
use pewtergap_time::{Moment, Span};
use std::collections::VecDeque;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

pub mod timer {
    pub const CONNECT: u64 = 1;
    pub const REPORT: u64 = 2;
    pub const HOUSEKEEPING: u64 = 3;
    pub const CONNECT_TIMEOUT: u64 = 4;
    /// Fires when the calls in flight at shutdown have reached their time limit.
    pub const STOP: u64 = 5;
}

/// The listener for clients.
pub const CLIENT_LISTENER: u32 = 0;
pub const HOUSEKEEPING: Span = Span::millis(250);

pub fn log_listener(input: &Input<'_>, out: &mut Outbox) {
    match input {
        Input::Listening { at, .. } => {
            let fields = vec![("door", "clients".into()), ("at", at.to_string())];
            out.log(LogLevel::Info, "listening", fields);
        }
        Input::NotListening { why, .. } => {
            out.log(LogLevel::Error, "not_listening", vec![("why", why.clone())]);
            out.push(Effect::Exit { code: 3 });
        }
        _ => {}
    }
}

/// Updates not yet applied by all workers; beyond this number the stream is closed.
const MAX_PENDING_ACKS: usize = 256;

pub struct PlannerClient {
    config: ProxyConfig,
    source_ip: Option<IpAddr>,
    routes: Vec<Route>,
    rng: fastrand::Rng,
    tables: Arc<Tables>,
    /// Number of updates applied.
    version: u64,
    /// ACKs of updates that not all workers have applied, with the resulting version.
    pending_acks: VecDeque<(u64, Ack)>,
    stream: Stream,
    /// For each route of the proxy its index in the planner's order.
    planner_index: Vec<usize>,
    last_report: Moment,
    reporting: bool,
    stopping: bool,
}

impl PlannerClient {
    pub fn new(
        config: ProxyConfig,
        source_ip: Option<IpAddr>,
        routes: Vec<Route>,
        tables: Arc<Tables>,
        seed: u64,
    ) -> PlannerClient {
        PlannerClient {
            stream: Stream::new(config.planners.clone()),
            planner_index: (0..routes.len()).collect(),
            config,
            source_ip,
            routes,
            rng: fastrand::Rng::with_seed(seed),
            tables,
            version: 0,
            pending_acks: VecDeque::new(),
            last_report: Moment(0),
            reporting: false,
            stopping: false,
        }
    }

    pub fn tables(&self) -> &Arc<Tables> {
        &self.tables
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    pub fn joined(&self) -> bool {
        self.stream.state == State::Joined
    }

    pub fn is_link(&self, link: Link) -> bool {
        self.stream.link == Some(link)
    }

    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// All workers have applied this version: acknowledges the updates up to it.
    pub fn acknowledge(&mut self, version: u64, out: &mut Outbox) {
        while self.pending_acks.front().is_some_and(|pending| pending.0 <= version) {
            if let Some((_, ack)) = self.pending_acks.pop_front() {
                self.send(proxy_message::Kind::Ack(ack), out);
            }
        }
    }

    pub fn connected(&mut self, now: Moment, out: &mut Outbox) {
        self.handle_signal(now, Signal::Connected, out);
    }

    pub fn disconnected(&mut self, now: Moment, out: &mut Outbox) {
        self.stream.link = None;
        self.handle_signal(now, Signal::Disconnected, out);
    }

    pub fn start(&mut self, now: Moment, listen: SocketAddr, out: &mut Outbox) {
        out.push(Effect::Listen { listener: CLIENT_LISTENER, at: listen });
        out.set_timer(timer::HOUSEKEEPING, now + HOUSEKEEPING);
        self.handle_signal(now, Signal::TimerFired, out);
    }

    /// Handles a timer; returns whether a report to the planner is due.
    pub fn timer_fired(&mut self, now: Moment, timer: u64, out: &mut Outbox) -> bool {
        match timer {
            timer::CONNECT => self.handle_signal(now, Signal::TimerFired, out),
            timer::HOUSEKEEPING => {
                out.set_timer(timer::HOUSEKEEPING, now + HOUSEKEEPING);
                self.check_stream(now, out);
            }
            timer::CONNECT_TIMEOUT => self.check_stream(now, out),
            timer::REPORT => {
                out.set_timer(timer::REPORT, now + self.stream.report_interval);
                return self.joined();
            }
            _ => {}
        }
        false
    }

    fn handle_signal(&mut self, now: Moment, signal: Signal, out: &mut Outbox) {
        let Some((action, delay)) = self.stream.step(signal, self.rng.f64()) else { return };
        match action {
            Action::Connect => match self.stream.planner() {
                Some(at) if !self.stopping => {
                    self.stream.link = Some(out.connect(at, self.source_ip));
                    self.stream.last_contact = now;
                    self.stream.frames = Default::default();
                    out.set_timer(timer::CONNECT_TIMEOUT, now + CONNECT_TIMEOUT + Span::millis(1));
                }
                _ => {}
            },
            Action::SendHello => {
                self.stream.last_contact = now;
                let hello = Hello {
                    protocol: VERSION,
                    proxy: self.config.name.clone(),
                    zone: self.config.zone.clone(),
                    calls_per_s: self.config.calls_per_s,
                    held: self.tables.held_versions(),
                    routes: self.routes.iter().map(|route| route.name.clone()).collect(),
                };
                self.send(proxy_message::Kind::Hello(hello), out);
            }
            Action::Join => {}
            Action::NextPlanner | Action::SamePlanner => {
                // After a reconnect the planner treats unacknowledged updates as lost.
                self.pending_acks.clear();
                if let Some(link) = self.stream.link.take() {
                    out.cut(link);
                }
                out.set_timer(timer::CONNECT, now + delay);
            }
        }
    }

    fn send(&mut self, kind: proxy_message::Kind, out: &mut Outbox) {
        if let Some(link) = self.stream.link {
            out.send(link, encode(&ProxyMessage::new(kind)));
        }
    }

    pub fn receive(&mut self, now: Moment, bytes: &[u8], out: &mut Outbox) {
        self.stream.last_contact = now;
        self.stream.frames.push(bytes);
        while self.stream.link.is_some() {
            match self.stream.frames.next_message() {
                Ok(None) => return,
                Ok(Some(message)) => {
                    if let Some(kind) = message.kind {
                        self.handle_message(now, kind, out);
                    }
                }
                Err(error) => {
                    out.log(LogLevel::Warn, "bad_message", vec![("why", error.to_string())]);
                    self.handle_signal(now, Signal::Disconnected, out);
                }
            }
        }
    }

    fn handle_message(&mut self, now: Moment, kind: planner_message::Kind, out: &mut Outbox) {
        match kind {
            planner_message::Kind::Welcome(welcome) => {
                let index = |route: &Route| welcome.routes.iter().position(|name| *name == route.name);
                let planner_index: Option<Vec<usize>> = self.routes.iter().map(index).collect();
                let Some(planner_index) = planner_index else {
                    out.log(LogLevel::Error, "routes_differ", vec![("planner", welcome.planner)]);
                    return self.handle_signal(now, Signal::Disconnected, out);
                };
                self.planner_index = planner_index;
                self.stream.report_interval = Span::micros(welcome.report_every_us);
                Arc::make_mut(&mut self.tables).welcome(&welcome);
                out.log(
                    LogLevel::Info,
                    "joined",
                    vec![("planner", welcome.planner), ("epoch", welcome.epoch.to_string())],
                );
                self.handle_signal(now, Signal::Welcomed, out);
                self.last_report = now;
                if !self.reporting {
                    self.reporting = true;
                    // The random delay keeps proxies that joined at the same time from reporting in step.
                    out.set_timer(timer::REPORT, now + self.stream.report_interval.times(self.rng.f64()));
                }
            }
            planner_message::Kind::Update(update) => {
                let mut own = update;
                own.binds.iter_mut().for_each(|bind| bind.routes = self.own_mask(bind.routes));
                own.tables
                    .iter_mut()
                    .flat_map(|t| &mut t.gates)
                    .for_each(|gate| gate.routes = self.own_mask(gate.routes));
                match self.tables.with_update(&own) {
                    Ok(next) => {
                        self.tables = Arc::new(next);
                        let fields = vec![("turn", own.turn.to_string()), ("nonce", own.nonce.to_string())];
                        out.log(LogLevel::Debug, "applied", fields);
                        self.version += 1;
                        self.pending_acks.push_back((self.version, Ack { nonce: own.nonce, mark: own.mark }));
                        if self.pending_acks.len() > MAX_PENDING_ACKS {
                            out.log(LogLevel::Error, "workers_do_not_follow", Vec::new());
                            self.handle_signal(now, Signal::Disconnected, out);
                        }
                    }
                    Err(rejection) => {
                        let fields = vec![("turn", own.turn.to_string()), ("why", rejection.reason.clone())];
                        out.log(LogLevel::Warn, "refuses", fields);
                        let (nonce, reason) = (own.nonce, rejection.reason);
                        let nack =
                            Nack { nonce, reason, table: rejection.table, holds: rejection.held_version };
                        self.send(proxy_message::Kind::Nack(nack), out);
                    }
                }
            }
            planner_message::Kind::Bye(bye) => {
                out.log(LogLevel::Info, "sent_away", vec![("why", bye.reason)]);
                self.stream.state = State::Handshake;
                self.handle_signal(now, Signal::Disconnected, out);
            }
            planner_message::Kind::Heartbeat(_) => {}
        }
    }

    /// Converts a mask of the planner's routes to the proxy's own order. 0 stays "all routes"; a mask without any of
    /// the proxy's routes becomes one that matches none.
    fn own_mask(&self, mask: u64) -> u64 {
        let bit = |(at, index): (usize, &usize)| (mask >> index & 1) << at;
        match mask {
            0 => 0,
            _ => Some(self.planner_index.iter().enumerate().map(bit).sum())
                .filter(|mask| *mask > 0)
                .unwrap_or(1 << 63),
        }
    }

    pub fn report(
        &mut self,
        now: Moment,
        rows: Vec<ServerStatsRow>,
        arrivals: &[ArrivalCount],
        out: &mut Outbox,
    ) {
        let over_us = now.since(self.last_report).0 / 1_000;
        self.last_report = now;
        let idle = rows.is_empty();
        if !idle {
            self.send(proxy_message::Kind::ServerStats(ServerStats { period_us: over_us, rows }), out);
        }
        let index = |(at, arrival): (usize, &ArrivalCount)| {
            let ArrivalCount { calls, dropped } = *arrival;
            RouteArrivals { route: self.planner_index[at] as u32, calls, dropped }
        };
        let mut rows: Vec<RouteArrivals> = arrivals.iter().enumerate().map(index).collect();
        rows.sort_by_key(|row| row.route);
        self.send(proxy_message::Kind::Arrivals(Arrivals { period_us: over_us, rows }), out);
        if idle {
            self.send(proxy_message::Kind::Heartbeat(Heartbeat {}), out);
        }
    }

    fn check_stream(&mut self, now: Moment, out: &mut Outbox) {
        if self.stream.is_timed_out(now) {
            out.log(LogLevel::Warn, "stream_silent", Vec::new());
            self.handle_signal(now, Signal::Disconnected, out);
        }
    }
}
