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
    pub repeats: Vec<(f64, Repeats)>,
}

pub fn terms() -> Terms {
    let repeats = vec![(1.0, Repeats::Repeatable), (3.0, Repeats::Mutating)];
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
        let route = |(importance, repeats): &(f64, Repeats)| Route {
            importance: *importance,
            slo_time: ms(1000),
            time_limit: ms(3000),
            repeats: *repeats,
            zone_bound: false,
            writes: *repeats == Repeats::Mutating,
        };
        let planner = Planner::new(
            START,
            7,
            Fleet {
                zones: t.zones,
                proxies: t.proxies,
                planners: t.planners,
                on_request: false,
                ask_within: ms(0),
                crossing_price: t.crossing_price,
                conns_least: t.conns_least,
                keep_alive: ms(15_000),
            },
            t.repeats.iter().map(route).collect(),
            Channel {
                head: 3.0,
                most_waiting: t.most_waiting,
                messages_most: t.messages_most,
                messages_over: ms(10_000),
                lines_per_s: 2000.0,
                longest_way: t.longest_way,
            },
            Pledge {
                drain_grace: ms(2000),
                removal_binds: t.removal_binds,
                cold_from: 0.2,
                cold_for: ms(16_000),
                overload_factor: 3.0,
                fall: ms(3000),
            },
            Reach {
                throttle: t.throttle,
                probes: true,
                load_on_probe: false,
                shuns: t.shuns,
                first_wait: 1.0,
            },
            Slicing { slices: t.slices, exclusive: t.exclusive, keeps_writing: ms(2500), lingers: ms(1500) },
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
            if let Order::Mark { mark } = order {
                self.marks.push(mark);
            }
            let line = match order {
                Order::Wake { .. } => continue,
                Order::Line { table, server, weight } => format!("line t{table} s{server} {weight:.3}"),
                Order::Bind { proxy, table, routes } => format!("bind p{proxy} t{table} routes {routes}"),
                Order::Gate { table, routes, level, resend } => {
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

pub fn entry(server: usize, zone: usize, state: Listed, weight: f64, start_ms: Option<u64>) -> Entry {
    let last_start = start_ms.map(|at| START + ms(at));
    Entry { server, zone, cell: 0, state, weight, last_start }
}

/// Servers by zone, all running and warm.
pub fn kept(zones: &[usize]) -> Event {
    let entries = zones.iter().enumerate().map(|(s, z)| entry(s, *z, Listed::Running, 1.0, None)).collect();
    Event::List { kind: ListKind::Kept, entries }
}

pub fn change(entry: Entry) -> Event {
    Event::List { kind: ListKind::Changes, entries: vec![entry] }
}

pub fn joined(proxy: usize, zone: usize, calls_per_s: f64) -> Event {
    Event::Joined { proxy, zone, calls_per_s }
}

pub fn sums(server: usize, tries: f64, dropped: f64, util: Option<f64>) -> Event {
    let load = Load { util, in_hand: None };
    Event::Sums { server, zone: 0, tries, dropped, mean: ms(100), over: ms(1000), load }
}

pub fn probed(server: usize, end: ProbeEnd) -> Event {
    Event::Probed { server, end, load: Load::default() }
}
