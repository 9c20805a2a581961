//! Test harness for a planner: passes events in and records the actions as text.

// Each test file uses only some of the items.
#![allow(dead_code)]

use pewtergap_planner::*;
use std::fmt::Write;

pub struct Harness {
    pub planner: Planner,
    pub now: Moment,
    pub trace: String,
    /// Number of proxies that acknowledge each message by the next turn.
    pub acknowledging: usize,
    pub marks: Vec<u64>,
}

pub struct Setup {
    pub zones: usize,
    pub proxies: usize,
    pub planners: usize,
    pub cross_zone_cost: f64,
    pub max_messages: usize,
    pub max_queued_lines: f64,
    pub max_transit: Span,
    pub throttle: Throttle,
    pub ejects_servers: bool,
    pub min_server_connections: f64,
    pub removal_is_binding: bool,
    pub slices: usize,
    pub exclusive: bool,
    /// Whether calls of the first route stay in their zone.
    pub first_route_zone_bound: bool,
    pub routes: Vec<(f64, RetrySafety)>,
}

pub fn setup() -> Setup {
    let routes = vec![(1.0, RetrySafety::Repeatable), (3.0, RetrySafety::Mutating)];
    Setup {
        zones: 2,
        proxies: 4,
        planners: 1,
        cross_zone_cost: 0.08,
        max_messages: usize::MAX,
        max_queued_lines: 4000.0,
        max_transit: ms(100),
        throttle: Throttle::Fraction,
        ejects_servers: false,
        min_server_connections: f64::INFINITY,
        removal_is_binding: true,
        slices: 0,
        exclusive: false,
        first_route_zone_bound: false,
        routes,
    }
}

pub const START: Moment = Moment(1_000_000_000_000);

pub fn ms(ms: u64) -> Span {
    Span::millis(ms)
}

impl Harness {
    pub fn new(setup: Setup) -> Harness {
        let route = |(at, (importance, retry_safety)): (usize, &(f64, RetrySafety))| Route {
            importance: *importance,
            slo_time: ms(1000),
            time_limit: ms(3000),
            retry_safety: *retry_safety,
            zone_bound: at == 0 && setup.first_route_zone_bound,
            writes: *retry_safety == RetrySafety::Mutating,
        };
        let planner = Planner::new(
            START,
            7,
            Fleet {
                zones: setup.zones,
                proxies: setup.proxies,
                planners: setup.planners,
                list_on_request: false,
                list_request_interval: ms(0),
                cross_zone_cost: setup.cross_zone_cost,
                min_server_connections: setup.min_server_connections,
                keep_alive: ms(15_000),
            },
            setup.routes.iter().enumerate().map(route).collect(),
            ChannelLimits {
                message_overhead: 3.0,
                max_queued_lines: setup.max_queued_lines,
                max_messages: setup.max_messages,
                message_window: ms(10_000),
                lines_per_s: 2000.0,
                max_transit: setup.max_transit,
            },
            Contract {
                drain_grace: ms(2000),
                removal_is_binding: setup.removal_is_binding,
                cold_capacity: 0.2,
                warmup: ms(16_000),
                overload_factor: 3.0,
                overload_time: ms(3000),
            },
            Capabilities {
                throttle: setup.throttle,
                probes: true,
                load_on_probe: false,
                ejects_servers: setup.ejects_servers,
                resend_wait_factor: 1.0,
                proxies_keep_zone_bound: true,
            },
            Slicing {
                slices: setup.slices,
                exclusive: setup.exclusive,
                write_stop_delay: ms(2500),
                write_linger: ms(1500),
            },
        );
        Harness { planner, now: START, trace: String::new(), acknowledging: 0, marks: Vec::new() }
    }

    /// Runs a turn at a time after the start and records the actions except wake-ups.
    pub fn at(&mut self, after_ms: u64, events: &[Event]) {
        self.now = START + ms(after_ms);
        let marks: Vec<u64> = self.marks.drain(..).collect();
        let applied = |mark: u64| (0..self.acknowledging).map(move |proxy| Event::Applied { proxy, mark });
        let events: Vec<Event> = marks.into_iter().flat_map(applied).chain(events.iter().cloned()).collect();
        for action in self.planner.turn(self.now, &events) {
            if let Action::Mark { mark } = action {
                self.marks.push(mark);
            }
            let line = match action {
                Action::Wake { .. } => continue,
                Action::SetLine { table, server, weight } => format!("line t{table} s{server} {weight:.3}"),
                Action::Bind { proxy, table, routes } => format!("bind p{proxy} t{table} routes {routes}"),
                Action::SetLevel { table, routes, level, resend } => {
                    format!("gate t{table} routes {routes} level {level} {resend:?}")
                }
                other => format!("{other:?}"),
            };
            let _ = writeln!(self.trace, "{after_ms:>6} {line}");
        }
    }

    /// Runs empty turns every half second.
    pub fn advance(&mut self, from_ms: u64, to_ms: u64) {
        for at in (from_ms..=to_ms).step_by(500) {
            self.at(at, &[Event::Tick]);
        }
    }

    pub fn comment(&mut self, text: &str) {
        let _ = writeln!(self.trace, "# {text}");
    }
}

pub fn entry(
    server: usize,
    zone: usize,
    state: ListedState,
    weight: f64,
    start_ms: Option<u64>,
) -> ListEntry {
    let last_start = start_ms.map(|at| START + ms(at));
    ListEntry { server, zone, cell: 0, state, weight, last_start }
}

/// A stored list of servers by zone, all running and warm.
pub fn stored_list(zones: &[usize]) -> Event {
    let entries =
        zones.iter().enumerate().map(|(s, z)| entry(s, *z, ListedState::Running, 1.0, None)).collect();
    Event::List { kind: ListKind::Kept, entries }
}

pub fn list_change(entry: ListEntry) -> Event {
    Event::List { kind: ListKind::Changes, entries: vec![entry] }
}

pub fn joined(proxy: usize, zone: usize, calls_per_s: f64) -> Event {
    Event::ProxyJoined { proxy, zone, calls_per_s }
}

pub fn server_stats(server: usize, tries: f64, dropped: f64, util: Option<f64>) -> Event {
    let load = Load { util, in_flight: None };
    Event::ServerStats { server, zone: 0, tries, dropped, mean_latency: ms(100), period: ms(1000), load }
}

pub fn arrivals(proxy: usize, route: usize, calls: f64, period: Span) -> Event {
    Event::Arrivals { proxy, route, calls, dropped: 0.0, period }
}

pub fn probe_ended(server: usize, outcome: ProbeOutcome) -> Event {
    Event::ProbeEnded { server, outcome, load: Load::default() }
}
