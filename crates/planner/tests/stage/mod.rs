//! A planner on a bare stage: events in by short calls, orders out as text.

// Each test file uses its own part.
#![allow(dead_code)]

use pewtergap_planner::*;
use std::fmt::Write;

pub struct Stage {
    pub planner: Planner,
    pub now: Moment,
    pub trace: String,
    /// So many proxies confirm by the next call what they are told.
    pub confirming: usize,
    pub marks: Vec<u64>,
}

pub struct Terms {
    pub zones: usize,
    pub proxies: usize,
    pub planners: usize,
    pub crossing_price: f64,
    pub messages_most: usize,
    pub most_waiting: f64,
    pub longest_way: Span,
    pub throttle: Throttle,
    pub shuns: bool,
    pub conns_least: f64,
    pub removal_binds: bool,
    pub slices: usize,
    pub exclusive: bool,
    pub repeats: Vec<(f64, RetrySafety)>,
}

pub fn terms() -> Terms {
    let repeats = vec![(1.0, RetrySafety::Repeatable), (3.0, RetrySafety::Mutating)];
    Terms {
        zones: 2,
        proxies: 4,
        planners: 1,
        crossing_price: 0.08,
        messages_most: usize::MAX,
        most_waiting: 4000.0,
        longest_way: ms(100),
        throttle: Throttle::Fraction,
        shuns: false,
        conns_least: f64::INFINITY,
        removal_binds: true,
        slices: 0,
        exclusive: false,
        repeats,
    }
}

pub const START: Moment = Moment(1_000_000_000_000);

pub fn ms(ms: u64) -> Span {
    Span::millis(ms)
}

impl Stage {
    pub fn new(t: Terms) -> Stage {
        let route = |(importance, repeats): &(f64, RetrySafety)| Route {
            importance: *importance,
            slo_time: ms(1000),
            time_limit: ms(3000),
            retry_safety: *repeats,
            zone_bound: false,
            writes: *repeats == RetrySafety::Mutating,
        };
        let planner = Planner::new(
            START,
            7,
            Fleet {
                zones: t.zones,
                proxies: t.proxies,
                planners: t.planners,
                list_on_request: false,
                list_request_interval: ms(0),
                cross_zone_cost: t.crossing_price,
                min_server_connections: t.conns_least,
                keep_alive: ms(15_000),
            },
            t.repeats.iter().map(route).collect(),
            ChannelLimits {
                message_overhead: 3.0,
                max_queued_lines: t.most_waiting,
                max_messages: t.messages_most,
                message_window: ms(10_000),
                lines_per_s: 2000.0,
                max_transit: t.longest_way,
            },
            Contract {
                drain_grace: ms(2000),
                removal_is_binding: t.removal_binds,
                cold_capacity: 0.2,
                warmup: ms(16_000),
                overload_factor: 3.0,
                overload_time: ms(3000),
            },
            Capabilities {
                throttle: t.throttle,
                probes: true,
                load_on_probe: false,
                ejects_servers: t.shuns,
                resend_wait_factor: 1.0,
            },
            Slicing {
                slices: t.slices,
                exclusive: t.exclusive,
                write_stop_delay: ms(2500),
                write_linger: ms(1500),
            },
        );
        Stage { planner, now: START, trace: String::new(), confirming: 0, marks: Vec::new() }
    }

    /// Hands events over at a time after the start; prints the orders, wake-ups aside.
    pub fn at(&mut self, after_ms: u64, events: &[Event]) {
        self.now = START + ms(after_ms);
        let marks: Vec<u64> = self.marks.drain(..).collect();
        let applied = |mark: u64| (0..self.confirming).map(move |proxy| Event::Applied { proxy, mark });
        let events: Vec<Event> = marks.into_iter().flat_map(applied).chain(events.iter().cloned()).collect();
        for order in self.planner.turn(self.now, &events) {
            if let Action::Mark { mark } = order {
                self.marks.push(mark);
            }
            let line = match order {
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

    /// Lets time pass in half-second steps.
    pub fn pass(&mut self, from_ms: u64, to_ms: u64) {
        for at in (from_ms..=to_ms).step_by(500) {
            self.at(at, &[Event::Tick]);
        }
    }

    pub fn note(&mut self, text: &str) {
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

/// Servers by zone, all running and warm.
pub fn kept(zones: &[usize]) -> Event {
    let entries =
        zones.iter().enumerate().map(|(s, z)| entry(s, *z, ListedState::Running, 1.0, None)).collect();
    Event::List { kind: ListKind::Kept, entries }
}

pub fn change(entry: ListEntry) -> Event {
    Event::List { kind: ListKind::Changes, entries: vec![entry] }
}

pub fn joined(proxy: usize, zone: usize, calls_per_s: f64) -> Event {
    Event::ProxyJoined { proxy, zone, calls_per_s }
}

pub fn sums(server: usize, tries: f64, dropped: f64, util: Option<f64>) -> Event {
    let load = Load { util, in_flight: None };
    Event::ServerStats { server, zone: 0, tries, dropped, mean_latency: ms(100), period: ms(1000), load }
}

pub fn probed(server: usize, end: ProbeOutcome) -> Event {
    Event::ProbeEnded { server, outcome: end, load: Load::default() }
}
