//! Many planners at once: stampedes, relists after a compaction, resyncs, a lost machine.

mod common;

use common::{client_config, ms, set, Planner, Tier, RECORD};
use pewtergap_time::{Moment, Span};
use pewtergap_watch::server::Server;
use pewtergap_watch::{SavedState, Scope, WatchConfig, WatchEvent};
use std::collections::BTreeMap;
use std::net::SocketAddr;

const BYTES: usize = 4_000;

fn address(at: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + at as u16))
}

fn machine(config: WatchConfig, indexes: u64) -> Server {
    let mut server = Server::new(config, "m".into(), 3);
    let mut acts = Vec::new();
    server.set_record_id(ms(0), RECORD, &mut acts);
    for index in 1..=indexes {
        server.apply(ms(0), index, [(format!("zone/{index:04}"), Some(vec![1; BYTES]))], &mut acts);
    }
    server
}

fn kept(indexes: u64) -> SavedState {
    let entries: BTreeMap<String, Vec<u8>> =
        (1..=indexes).map(|index| (format!("zone/{index:04}"), vec![1; BYTES])).collect();
    SavedState { record_id: RECORD, index: indexes, scope: Some(Scope::ALL), entries }
}

fn tier(config: WatchConfig, machines: usize, indexes: u64) -> Tier {
    Tier::new((0..machines).map(|at| (address(at), machine(config, indexes))).collect())
}

const NAMES: &[&str] = &["m0", "m1", "m2", "m3"];

fn all_at(tier: &Tier, index: u64) -> usize {
    tier.planners.iter().filter(|planner| planner.index == index).count()
}

/// When it had a place.
fn when(planner: &Planner, index: u64) -> Option<Moment> {
    let there = |told: &WatchEvent| matches!(told, WatchEvent::Changed { index: at, .. } if *at >= index);
    planner.told.iter().find(|(_, told)| there(told)).map(|told| told.0)
}

/// Resyncs that keep the tier from catching up: 300 that hold nothing, at one machine, while those that watch are served.
#[test]
fn snapshots_at_once_are_bounded_and_those_who_go_on_are_served() {
    let config = WatchConfig { max_snapshots: 8, ..WatchConfig::default() };
    let mut tier = tier(config, 1, 60);
    for at in 0..50 {
        tier.planner(client_config(&format!("old{at}"), &NAMES[..1]), Some(kept(60)));
    }
    tier.pass(1_000);
    for at in 0..300 {
        tier.planner(client_config(&format!("new{at}"), &NAMES[..1]), None);
    }
    tier.pass(250);
    assert!(
        tier.servers[&address(0)].stats().snapshots_queued > 100,
        "{:?}",
        tier.servers[&address(0)].stats()
    );
    let changed = tier.now;
    tier.apply(61, &[set("zone/0001", "new")]);
    tier.pass(50);
    let old: Vec<Moment> = tier.planners[..50].iter().filter_map(|planner| when(planner, 61)).collect();
    let served = old.iter().filter(|at| at.since(changed) <= Span::millis(10)).count();
    assert_eq!(served, 50, "each that goes on, at once");
    tier.pass(6_000);
    assert_eq!(all_at(&tier, 61), 350);
    assert_eq!(tier.max_snapshots, 8);
    assert!(tier.planners.iter().all(|planner| planner.state == tier.planners[0].state));
    // Nobody gave up its watch to come again.
    assert!(tier.planners.iter().all(|planner| planner.dials.len() == 1));
}

/// A relist storm after a compaction: the machine forgot what went, all at it were behind that.
#[test]
fn a_relist_after_compaction_drains() {
    let config = WatchConfig { max_snapshots: 8, ..WatchConfig::default() };
    let mut tier = tier(config, 2, 60);
    for at in 0..200 {
        let planner = tier.planner(client_config(&format!("p{at}"), &NAMES[..2]), Some(kept(50)));
        tier.planners[planner].reads = at % 10 != 0;
    }
    tier.pass(100);
    let all: BTreeMap<String, Vec<u8>> = kept(60).entries.into_iter().skip(5).collect();
    for at in 0..2 {
        let mut acts = Vec::new();
        let server = tier.servers.get_mut(&address(at)).expect("it runs");
        server.restore(tier.now, 70, all.clone(), &mut acts);
    }
    tier.pass(500);
    assert!(tier.max_snapshots <= 8);
    // One in ten reads nothing, and has its turn at most until it is closed as deaf.
    tier.planners.iter_mut().for_each(|planner| planner.reads = true);
    tier.pass(20_000);
    assert_eq!(all_at(&tier, 70), 200);
    assert!(tier.planners.iter().all(|planner| planner.state == all));
    assert_eq!(tier.max_snapshots, 8);
}

/// Slow watchers beside fast ones: their delay is unchanged, and what waits for the slow ones is no queue.
#[test]
fn a_slow_watcher_holds_up_nobody() {
    let mut tier = tier(WatchConfig::default(), 1, 10);
    for at in 0..40 {
        let planner = tier.planner(client_config(&format!("p{at}"), &NAMES[..1]), Some(kept(10)));
        tier.planners[planner].reads = at % 4 != 0;
    }
    // They hear their welcome, and nothing after it.
    tier.planners.iter_mut().for_each(|planner| planner.reads = true);
    tier.pass(500);
    (0..40).step_by(4).for_each(|at| tier.planners[at].reads = false);
    let begun = tier.now;
    for index in 11..=20 {
        tier.apply(index, &[set("zone/0001", &index.to_string())]);
        tier.pass(200);
    }
    for index in 11..=20 {
        let due = begun + Span::millis((index - 11) * 200 + 10);
        let at: Vec<Moment> = tier.planners.iter().filter_map(|planner| when(planner, index)).collect();
        assert_eq!((at.len(), at.iter().max().is_some_and(|last| *last <= due)), (30, true), "{index}");
    }
    assert!(tier.servers[&address(0)].max_in_flight() <= 2);
    (0..40).step_by(4).for_each(|at| tier.planners[at].reads = true);
    tier.pass(15_000);
    assert_eq!(all_at(&tier, 20), 40);
}

/// A machine ends: its planners spread over the others, none gets more than twice its even part, all watch within 5 s.
#[test]
fn a_killed_machines_planners_watch_elsewhere() {
    let mut tier = tier(WatchConfig { max_watches: 300, ..WatchConfig::default() }, 4, 10);
    for at in 0..400 {
        tier.planner(client_config(&format!("p{at}"), NAMES), Some(kept(10)));
    }
    tier.pass(2_000);
    let before = tier.servers[&address(1)].stats().watches;
    assert!((60..140).contains(&before), "{before}");
    let killed = tier.now;
    tier.kill(address(1));
    tier.pass(5_000);
    assert!(tier.planners.iter().all(|planner| planner.client.watching().is_some_and(|at| at != "m1")));
    let last = tier.planners.iter().filter_map(|planner| planner.watched).max().expect("they watch");
    assert!(last > killed && last.since(killed) < Span::millis(1_000), "{}", last.since(killed));
    for server in tier.servers.values() {
        let watches = server.stats().watches;
        assert!(watches <= 2 * 400 / 3, "{watches}");
    }
    // They did not come at one instant.
    let mut back: Vec<u64> = tier
        .planners
        .iter()
        .filter_map(|p| p.watched)
        .filter(|at| *at > killed)
        .map(|at| at.since(killed).0)
        .collect();
    back.sort_unstable();
    let within = |span: u64| back.windows(10).filter(|ten| ten[9] - ten[0] < span).count();
    assert_eq!((back.len(), within(1_000_000)), (before, 0));
}

/// All start within the same moment: those that hold a state watch at once, and a full machine sends elsewhere.
#[test]
fn a_stampede_finds_room_elsewhere() {
    let mut tier = tier(WatchConfig { max_watches: 110, ..WatchConfig::default() }, 4, 10);
    for at in 0..400 {
        tier.planner(client_config(&format!("p{at}"), NAMES), Some(kept(10)));
    }
    tier.pass(10_000);
    assert!(tier.planners.iter().all(|planner| planner.client.watching().is_some()));
    assert!(tier.servers.values().all(|server| server.stats().watches <= 110));
    tier.apply(11, &[set("zone/0001", "new")]);
    tier.pass(100);
    assert_eq!(all_at(&tier, 11), 400);
}
