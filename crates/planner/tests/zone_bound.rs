//! Cold servers in a zone to which the calls of one route are bound.

mod harness;

use harness::*;
use pewtergap_planner::*;
use std::collections::BTreeMap;

/// Calls per second of each proxy, the zones of the proxies and servers, and the fraction of zone-bound calls.
const PROXY_RATE: f64 = 20.0;
const ZONES: usize = 3;
const PROXIES: usize = 9;
const SERVERS: usize = 15;
const BOUND_FRACTION: f64 = 0.1;
/// Utilization of all servers before any is lost.
const UTIL: f64 = 0.55;
/// Allowed multiple of a cold server's capacity, of what the contract allows.
const OVERLOAD_FACTOR: f64 = 3.0;

/// Weight of each table's lines, and the table of each proxy, as far as a trace tells.
#[derive(Default)]
struct Tables {
    lines: BTreeMap<String, BTreeMap<usize, f64>>,
    bound: BTreeMap<usize, String>,
}

impl Tables {
    fn read(trace: &str) -> Tables {
        let mut tables = Tables::default();
        for line in trace.lines() {
            match line.split_whitespace().collect::<Vec<_>>()[1..] {
                ["line", table, server, weight] => {
                    let weight: f64 = weight.parse().expect("a weight");
                    let server = server[1..].parse().expect("a server");
                    tables.lines.entry(table.to_string()).or_default().insert(server, weight);
                }
                ["bind", proxy, table, ..] => {
                    tables.bound.insert(proxy[1..].parse().expect("a proxy"), table.to_string());
                }
                _ => {}
            }
        }
        tables
    }

    /// Calls per second that a server gets from one proxy. Zone-bound calls use the lines of the zone alone.
    fn calls(&self, proxy: usize, server: usize) -> f64 {
        let Some(lines) = self.bound.get(&proxy).and_then(|table| self.lines.get(table)) else { return 0.0 };
        let weight = lines.get(&server).copied().unwrap_or(0.0);
        let total: f64 = lines.values().sum();
        let of_zone: f64 =
            lines.iter().filter(|line| line.0 % ZONES == proxy % ZONES).map(|line| line.1).sum();
        let bound = if server % ZONES == proxy % ZONES { weight / of_zone.max(1e-9) } else { 0.0 };
        PROXY_RATE * ((1.0 - BOUND_FRACTION) * weight / total.max(1e-9) + BOUND_FRACTION * bound)
    }
}

/// Calls per second that would overload a server at a time after its start.
fn overload(age_ms: u64) -> f64 {
    let capacity = PROXY_RATE * PROXIES as f64 / (UTIL * SERVERS as f64);
    OVERLOAD_FACTOR * capacity * (0.2 + 0.8 * (age_ms as f64 / 16_000.0).min(1.0))
}

/// Regular reports of the fleet: utilization and calls by route.
fn reports() -> Vec<Event> {
    let stats = (0..SERVERS).map(|server| server_stats(server, 20.0, 0.0, Some(UTIL)));
    let calls = |proxy| {
        [(0, BOUND_FRACTION), (1, 1.0 - BOUND_FRACTION)]
            .map(|(route, share)| arrivals(proxy, route, share * PROXY_RATE, ms(1_000)))
    };
    stats.chain((0..PROXIES).flat_map(calls)).collect()
}

/// Loses the servers of the last zone and lists them again one after the other, cold, `every` milliseconds apart. Calls
/// `check` with the trace after each turn, with the time and the start of each server. The planner has `joined` proxies.
fn lose_and_return(
    joined_proxies: &[usize],
    every: u64,
    mut check: impl FnMut(&str, u64, &BTreeMap<usize, u64>),
) {
    let planners = if joined_proxies.len() < PROXIES { 2 } else { 1 };
    let setup = Setup { zones: ZONES, proxies: PROXIES, planners, first_route_zone_bound: true, ..setup() };
    let mut harness = Harness::new(setup);
    harness.acknowledging = PROXIES;
    let zones: Vec<usize> = (0..SERVERS).map(|server| server % ZONES).collect();
    let joins = joined_proxies.iter().map(|proxy| joined(*proxy, proxy % ZONES, PROXY_RATE));
    harness.at(0, &[stored_list(&zones)].into_iter().chain(joins).collect::<Vec<_>>());
    let lost: Vec<usize> = (0..SERVERS).filter(|server| server % ZONES == ZONES - 1).collect();
    let mut started = BTreeMap::new();
    for at in (500..60_000).step_by(250) {
        let mut events = if at % 1_000 == 0 { reports() } else { vec![Event::Tick] };
        if at == 12_000 {
            let entries =
                lost.iter().map(|s| entry(*s, ZONES - 1, ListedState::Deleted, 1.0, None)).collect();
            events.push(Event::List { kind: ListKind::Changes, entries });
        }
        for (nth, server) in lost.iter().enumerate().filter(|(nth, _)| 25_000 + every * *nth as u64 == at) {
            let _ = nth;
            started.insert(*server, at - 500);
            events.push(list_change(entry(*server, ZONES - 1, ListedState::Running, 1.0, Some(at - 500))));
        }
        harness.at(at, &events);
        check(&harness.trace, at, &started);
    }
}

#[test]
fn a_lost_zone_that_returns_cold_is_not_overloaded_with_a_zone_bound_route() {
    // Guards against the fall of a zone's servers as they return: with a zone-bound route, the zone's calls of all
    // routes went to its first cold server (review/6).
    for every in [250, 1_250, 3_000, 8_000] {
        lose_and_return(&(0..PROXIES).collect::<Vec<_>>(), every, |trace, at, started| {
            let tables = Tables::read(trace);
            for (server, start) in started {
                let calls: f64 = (0..PROXIES).map(|proxy| tables.calls(proxy, *server)).sum();
                let allowed = overload(at - start);
                assert!(
                    calls <= allowed,
                    "server {server} gets {calls} calls/s at {at}, {allowed} overload it"
                );
            }
        });
    }
}

#[test]
fn planners_that_share_a_returning_zone_keep_to_their_parts_of_its_load() {
    // Guards against two planners that each send a cold server all it can carry: the second one's proxies of the zone
    // are not known to the first.
    let parts: [&[usize]; 2] = [&[0, 3, 6, 2, 8], &[1, 4, 7, 5]];
    let mut loads: BTreeMap<(u64, usize), f64> = BTreeMap::new();
    for part in parts {
        lose_and_return(part, 1_250, |trace, at, started| {
            let tables = Tables::read(trace);
            for (server, start) in started {
                let calls: f64 = part.iter().map(|proxy| tables.calls(*proxy, *server)).sum();
                let load = loads.entry((at, *server)).or_default();
                *load += calls;
                let allowed = overload(at - start);
                assert!(
                    *load <= allowed,
                    "server {server} gets {load} calls/s at {at}, {allowed} overload it"
                );
            }
        });
    }
}

#[test]
fn zone_bound_calls_return_to_their_zone_as_its_servers_warm_up() {
    // Guards against the opposite: servers that are kept out of the tables although they could carry the calls.
    let mut served_from = None;
    lose_and_return(&(0..PROXIES).collect::<Vec<_>>(), 1_250, |trace, at, started| {
        let tables = Tables::read(trace);
        let zone_calls: f64 = started.keys().map(|server| tables.calls(ZONES - 1, *server)).sum();
        let bound_calls = BOUND_FRACTION * PROXY_RATE;
        served_from = if zone_calls >= bound_calls { served_from.or(Some(at)) } else { None };
        if at >= 50_000 {
            let own = zone_calls / PROXY_RATE;
            assert!(own > 0.9, "{own} of the calls of the zone's proxies stay there once it is warm");
        }
    });
    let served_from = served_from.expect("zone-bound calls are served");
    assert!(
        served_from <= 35_000,
        "zone-bound calls have servers from {served_from} on, 25,000 is the first list"
    );
}
