//! The planner's side of a proxy: its stream, the tables it orders, and what is told it.

use crate::stream::{ProxyConfig, Sign, State, Step, Stream, PATIENCE};
use crate::tables::Tables;
use crate::worker::Arrival;
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
    /// Timers of the planner's side.
    pub const DIAL: u64 = 1;
    pub const REPORT: u64 = 2;
    pub const HOUSEKEEPING: u64 = 3;
    pub const PATIENCE: u64 = 4;
    /// The proxy is told to end: calls under way have had their time.
    pub const STOP: u64 = 5;
}

/// The door that clients come in at.
pub const CLIENTS: u32 = 0;
pub const HOUSEKEEPING: Span = Span::millis(250);

pub fn told_of_door(input: &Input<'_>, out: &mut Outbox) {
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

/// Messages that not all workers follow yet; a planner that sends more is not waited for.
const MOST_UNFOLLOWED: usize = 256;

pub struct Orders {
    home: ProxyConfig,
    from: Option<IpAddr>,
    routes: Vec<Route>,
    rng: fastrand::Rng,
    tables: Arc<Tables>,
    /// Counts the tables that were in force, one after the other.
    version: u64,
    /// Messages applied here and not yet followed by all workers, with the version each led to.
    unfollowed: VecDeque<(u64, Ack)>,
    stream: Stream,
    /// Places of our routes among the planner's.
    order: Vec<usize>,
    reported: Moment,
    reporting: bool,
    stopping: bool,
}

impl Orders {
    pub fn new(
        home: ProxyConfig,
        from: Option<IpAddr>,
        routes: Vec<Route>,
        tables: Arc<Tables>,
        seed: u64,
    ) -> Orders {
        Orders {
            stream: Stream::new(home.planners.clone()),
            order: (0..routes.len()).collect(),
            home,
            from,
            routes,
            rng: fastrand::Rng::with_seed(seed),
            tables,
            version: 0,
            unfollowed: VecDeque::new(),
            reported: Moment(0),
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

    /// All workers follow this version: what led to it, and to those before, is confirmed.
    pub fn followed(&mut self, version: u64, out: &mut Outbox) {
        while self.unfollowed.front().is_some_and(|waits| waits.0 <= version) {
            if let Some((_, ack)) = self.unfollowed.pop_front() {
                self.tell(proxy_message::Kind::Ack(ack), out);
            }
        }
    }

    pub fn opened(&mut self, now: Moment, out: &mut Outbox) {
        self.stream_sign(now, Sign::Opened, out);
    }

    pub fn lost(&mut self, now: Moment, out: &mut Outbox) {
        self.stream.link = None;
        self.stream_sign(now, Sign::Lost, out);
    }

    pub fn start(&mut self, now: Moment, listen: SocketAddr, out: &mut Outbox) {
        out.push(Effect::Listen { listener: CLIENTS, at: listen });
        out.set_timer(timer::HOUSEKEEPING, now + HOUSEKEEPING);
        self.stream_sign(now, Sign::Due, out);
    }

    /// A timer; whether a planner is to be told what was counted.
    pub fn due(&mut self, now: Moment, timer: u64, out: &mut Outbox) -> bool {
        match timer {
            timer::DIAL => self.stream_sign(now, Sign::Due, out),
            timer::HOUSEKEEPING => {
                out.set_timer(timer::HOUSEKEEPING, now + HOUSEKEEPING);
                self.check_stream(now, out);
            }
            timer::PATIENCE => self.check_stream(now, out),
            timer::REPORT => {
                out.set_timer(timer::REPORT, now + self.stream.every);
                return self.joined();
            }
            _ => {}
        }
        false
    }

    fn stream_sign(&mut self, now: Moment, sign: Sign, out: &mut Outbox) {
        let Some((step, wait)) = self.stream.step(sign, self.rng.f64()) else { return };
        match step {
            Step::Dial => match self.stream.planner() {
                Some(at) if !self.stopping => {
                    self.stream.link = Some(out.connect(at, self.from));
                    self.stream.heard = now;
                    self.stream.frames = Default::default();
                    out.set_timer(timer::PATIENCE, now + PATIENCE + Span::millis(1));
                }
                _ => {}
            },
            Step::Greet => {
                self.stream.heard = now;
                let hello = Hello {
                    protocol: VERSION,
                    proxy: self.home.name.clone(),
                    zone: self.home.zone.clone(),
                    calls_per_s: self.home.calls_per_s,
                    held: self.tables.held(),
                    routes: self.routes.iter().map(|route| route.name.clone()).collect(),
                };
                self.tell(proxy_message::Kind::Hello(hello), out);
            }
            Step::Join => {}
            Step::Next | Step::Again => {
                // A planner that is joined anew counts what was on its way as lost.
                self.unfollowed.clear();
                if let Some(link) = self.stream.link.take() {
                    out.cut(link);
                }
                out.set_timer(timer::DIAL, now + wait);
            }
        }
    }

    fn tell(&mut self, kind: proxy_message::Kind, out: &mut Outbox) {
        if let Some(link) = self.stream.link {
            out.send(link, encode(&ProxyMessage::new(kind)));
        }
    }

    pub fn bytes(&mut self, now: Moment, bytes: &[u8], out: &mut Outbox) {
        self.stream.heard = now;
        self.stream.frames.push(bytes);
        while self.stream.link.is_some() {
            match self.stream.frames.next_message() {
                Ok(None) => return,
                Ok(Some(message)) => {
                    if let Some(kind) = message.kind {
                        self.ordered(now, kind, out);
                    }
                }
                Err(wrong) => {
                    out.log(LogLevel::Warn, "bad_message", vec![("why", wrong.to_string())]);
                    self.stream_sign(now, Sign::Lost, out);
                }
            }
        }
    }

    fn ordered(&mut self, now: Moment, kind: planner_message::Kind, out: &mut Outbox) {
        match kind {
            planner_message::Kind::Welcome(welcome) => {
                let place = |route: &Route| welcome.routes.iter().position(|name| *name == route.name);
                let order: Option<Vec<usize>> = self.routes.iter().map(place).collect();
                let Some(order) = order else {
                    out.log(LogLevel::Error, "routes_differ", vec![("planner", welcome.planner)]);
                    return self.stream_sign(now, Sign::Lost, out);
                };
                self.order = order;
                self.stream.every = Span::micros(welcome.report_every_us);
                Arc::make_mut(&mut self.tables).welcome(&welcome);
                out.log(
                    LogLevel::Info,
                    "joined",
                    vec![("planner", welcome.planner), ("epoch", welcome.epoch.to_string())],
                );
                self.stream_sign(now, Sign::Welcomed, out);
                self.reported = now;
                if !self.reporting {
                    self.reporting = true;
                    // Proxies that joined together should not report in step.
                    out.set_timer(timer::REPORT, now + self.stream.every.times(self.rng.f64()));
                }
            }
            planner_message::Kind::Update(update) => {
                let mut ours = update;
                ours.binds.iter_mut().for_each(|bind| bind.routes = self.ours(bind.routes));
                ours.tables
                    .iter_mut()
                    .flat_map(|t| &mut t.gates)
                    .for_each(|gate| gate.routes = self.ours(gate.routes));
                match self.tables.applied(&ours) {
                    Ok(next) => {
                        self.tables = Arc::new(next);
                        let fields = vec![("turn", ours.turn.to_string()), ("nonce", ours.nonce.to_string())];
                        out.log(LogLevel::Debug, "applied", fields);
                        self.version += 1;
                        self.unfollowed.push_back((self.version, Ack { nonce: ours.nonce, mark: ours.mark }));
                        if self.unfollowed.len() > MOST_UNFOLLOWED {
                            out.log(LogLevel::Error, "workers_do_not_follow", Vec::new());
                            self.stream_sign(now, Sign::Lost, out);
                        }
                    }
                    Err(refusal) => {
                        let fields = vec![("turn", ours.turn.to_string()), ("why", refusal.reason.clone())];
                        out.log(LogLevel::Warn, "refuses", fields);
                        let (nonce, reason) = (ours.nonce, refusal.reason);
                        let nack = Nack { nonce, reason, table: refusal.table, holds: refusal.holds };
                        self.tell(proxy_message::Kind::Nack(nack), out);
                    }
                }
            }
            planner_message::Kind::Bye(bye) => {
                out.log(LogLevel::Info, "sent_away", vec![("why", bye.reason)]);
                self.stream.state = State::Greeting;
                self.stream_sign(now, Sign::Lost, out);
            }
            planner_message::Kind::Heartbeat(_) => {}
        }
    }

    /// A mask of the planner's routes as one of ours; 0 stays "all", and what names none of ours names nothing.
    fn ours(&self, mask: u64) -> u64 {
        let bit = |(at, place): (usize, &usize)| (mask >> place & 1) << at;
        match mask {
            0 => 0,
            _ => {
                Some(self.order.iter().enumerate().map(bit).sum()).filter(|ours| *ours > 0).unwrap_or(1 << 63)
            }
        }
    }

    pub fn report(&mut self, now: Moment, rows: Vec<ServerStatsRow>, arrivals: &[Arrival], out: &mut Outbox) {
        let over_us = now.since(self.reported).0 / 1_000;
        self.reported = now;
        let none = rows.is_empty();
        if !none {
            self.tell(proxy_message::Kind::ServerStats(ServerStats { period_us: over_us, rows }), out);
        }
        let place = |(at, arrival): (usize, &Arrival)| {
            let Arrival { calls, dropped } = *arrival;
            RouteArrivals { route: self.order[at] as u32, calls, dropped }
        };
        let mut rows: Vec<RouteArrivals> = arrivals.iter().enumerate().map(place).collect();
        rows.sort_by_key(|row| row.route);
        self.tell(proxy_message::Kind::Arrivals(Arrivals { period_us: over_us, rows }), out);
        if none {
            self.tell(proxy_message::Kind::Heartbeat(Heartbeat {}), out);
        }
    }

    fn check_stream(&mut self, now: Moment, out: &mut Outbox) {
        if self.stream.overdue(now) {
            out.log(LogLevel::Warn, "stream_silent", Vec::new());
            self.stream_sign(now, Sign::Lost, out);
        }
    }
}
