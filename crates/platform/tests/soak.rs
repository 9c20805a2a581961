//! A seeded soak over virtual time: the server list changes every second or two, streams break, fall silent or spoil their
//! acknowledgements, and the planner is killed and starts from an older list. Judged by what the proxies hold.
//!
//! Short here; a longer run by hand, with a range of seeds:
//! `SOAK_SEEDS=100..200 cargo test --release -p pewtergap-platform --test soak`.

mod harness;

use harness::fleet::*;
use harness::seeds::{parse_seeds, seeds_from};
use pewtergap_time::Span;
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};

const DAY_MS: u64 = 24_000;
const STEP_MS: u64 = 10;
const KILLED_AT_MS: u64 = 12_000;
const RESTARTED_AT_MS: u64 = 12_310;
/// The list with which the planner starts again is as old as this.
const KNOWN_LIST_AGE_MS: u64 = 3_000;
/// Proxies that this planner has before its restart, and those that may join it after.
const OWN_PROXIES: usize = 200;
const PROXIES_AFTER_RESTART: usize = 290;
const SERVERS: usize = 100;
/// Servers stay in service down to this number.
const MIN_READY: usize = 60;
const THREADS: usize = 4;
const DEFAULT_SEEDS: Range<u64> = 1..9;

/// Faults played in a day, by kind.
#[derive(Debug, Default)]
struct Played {
    list_changes: u64,
    silent_streams: u64,
    spoilt_acknowledgements: u64,
    broken_streams: u64,
    mass_breaks: u64,
}

fn config() -> FleetConfig {
    FleetConfig {
        proxies: 1_000,
        planners: 5,
        servers: SERVERS,
        lines_per_s: 4_600.0,
        max_queued_lines: 9_200.0,
        drain_grace: Span::millis(2_600),
        max_transit: Span::millis(600),
        warmup: Span::millis(15_000),
        known_version: 40,
    }
}

/// Draws which servers change: drained, gone, gone without a drain, back from draining, back with a new start.
fn draw_changes(fleet: &mut Fleet) -> Vec<(usize, State)> {
    let count = fleet.rng.usize(1..16);
    let mut ready = fleet.servers.iter().filter(|server| server.state == State::Ready).count();
    let mut changes = Vec::new();
    for server in 0..SERVERS {
        let roll = fleet.rng.f64();
        let next = match fleet.servers[server].state {
            State::Ready if ready > MIN_READY && roll < 0.15 => State::Terminating,
            State::Ready if ready > MIN_READY && roll < 0.2 => State::Gone,
            State::Terminating if roll < 0.3 => State::Gone,
            State::Terminating if roll < 0.35 => State::Ready,
            State::Gone if roll < 0.4 => State::Ready,
            _ => continue,
        };
        ready -= usize::from(fleet.servers[server].state == State::Ready);
        changes.push((server, next));
        if changes.len() == count {
            break;
        }
    }
    changes
}

/// Streams that have broken, and when each comes back.
type Rejoining = Vec<(u64, usize)>;

fn break_stream(fleet: &mut Fleet, proxy: usize, at: u64, rejoining: &mut Rejoining) -> u64 {
    if fleet.proxies[proxy].link.is_none() {
        return 0;
    }
    fleet.leave(proxy);
    rejoining.push((at + fleet.rng.u64(270..1_900), proxy));
    1
}

fn draw_stream_faults(fleet: &mut Fleet, at: u64, rejoining: &mut Rejoining, played: &mut Played) {
    if fleet.rng.f64() < 0.004 {
        let proxy = fleet.rng.usize(0..OWN_PROXIES);
        let until = fleet.now + Span::millis(fleet.rng.u64(500..9_000));
        // A silence is not cut short by the next one: what waits for the stream has its time already.
        fleet.proxies[proxy].silent_until = fleet.proxies[proxy].silent_until.max(until);
        played.silent_streams += 1;
    }
    if fleet.rng.f64() < 0.01 {
        let proxy = fleet.rng.usize(0..OWN_PROXIES);
        fleet.proxies[proxy].spoilt_acks = fleet.rng.usize(1..3);
        played.spoilt_acknowledgements += 1;
    }
    if fleet.rng.f64() < 0.02 {
        let proxy = fleet.rng.usize(0..OWN_PROXIES);
        played.broken_streams += break_stream(fleet, proxy, at, rejoining);
    }
    if fleet.rng.f64() < 0.000_5 {
        let share = 0.28 + 0.5 * fleet.rng.f64();
        for proxy in 0..PROXIES_AFTER_RESTART {
            if fleet.rng.f64() < share {
                break_stream(fleet, proxy, at, rejoining);
            }
        }
        played.mass_breaks += 1;
    }
}

/// Plays the day of a seed and returns the work that could go to drained servers too late.
fn play(seed: u64) -> (Vec<LateWork>, Played) {
    let mut fleet = Fleet::new(config(), seed);
    (0..OWN_PROXIES).for_each(|proxy| fleet.join(proxy));
    let (mut next_change, mut rejoining, mut played) = (2_000, Rejoining::new(), Played::default());
    let mut known = (fleet.servers.clone(), fleet.version);
    for at in (0..DAY_MS).step_by(STEP_MS as usize) {
        if at >= next_change {
            let changes = draw_changes(&mut fleet);
            fleet.change(&changes);
            played.list_changes += 1;
            next_change = at + fleet.rng.u64(300..2_500);
        }
        match at {
            _ if at == KILLED_AT_MS - KNOWN_LIST_AGE_MS => known = (fleet.servers.clone(), fleet.version),
            KILLED_AT_MS => {
                fleet.kill();
                rejoining.clear();
            }
            RESTARTED_AT_MS => {
                fleet.restart(&known.0, known.1);
                for proxy in 0..PROXIES_AFTER_RESTART {
                    let delay = if proxy < OWN_PROXIES { 270..1_900 } else { 3_000..9_000 };
                    rejoining.push((at + fleet.rng.u64(delay), proxy));
                }
            }
            _ => {}
        }
        if !(KILLED_AT_MS..RESTARTED_AT_MS).contains(&at) {
            let due = |entry: &(u64, usize)| entry.0 <= at;
            let joining: Vec<usize> =
                rejoining.iter().filter(|entry| due(entry)).map(|entry| entry.1).collect();
            rejoining.retain(|entry| !due(entry));
            joining.into_iter().for_each(|proxy| fleet.join(proxy));
            draw_stream_faults(&mut fleet, at, &mut rejoining, &mut played);
        }
        fleet.run_until(Span::millis(at + STEP_MS));
    }
    (fleet.late, played)
}

#[test]
fn no_proxy_holds_a_drained_server_beyond_the_grace_whatever_its_streams_do() {
    let seeds = seeds_from("SOAK_SEEDS", DEFAULT_SEEDS);
    let next = AtomicU64::new(seeds.start);
    std::thread::scope(|scope| {
        let worker = || loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= seeds.end {
                return;
            }
            let (late, played) = play(seed);
            println!("seed {seed}: {} late, {played:?}", late.len());
            assert_eq!(late.first(), None, "seed {seed}: {} pairs of proxy and server", late.len());
        };
        let workers: Vec<_> = (0..THREADS).map(|_| scope.spawn(worker)).collect();
        workers.into_iter().for_each(|worker| worker.join().expect("each seed keeps the rule"));
    });
}

#[test]
fn a_range_of_seeds_that_cannot_be_played_is_refused() {
    assert_eq!(parse_seeds("SOAK_SEEDS", "3..5"), Ok(3..5));
    for text in ["", "5", "5..3", "1..many", "-1..4"] {
        assert!(
            parse_seeds("SOAK_SEEDS", text).is_err_and(|why| why.contains("no range of seeds")),
            "{text}"
        );
    }
}
