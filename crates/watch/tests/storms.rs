//! Many planners at once: simultaneous starts, full snapshots after a compaction, and a lost machine.

mod common;

use common::{client_config, ms, set, Network, Planner, RECORD};
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
    let mut actions = Vec::new();
    server.set_record_id(ms(0), RECORD, &mut actions);
    for index in 1..=indexes {
        server.apply(ms(0), index, [(format!("zone/{index:04}"), Some(vec![1; BYTES]))], &mut actions);
    }
    server
}

fn saved(indexes: u64) -> SavedState {
    let entries: BTreeMap<String, Vec<u8>> =
        (1..=indexes).map(|index| (format!("zone/{index:04}"), vec![1; BYTES])).collect();
    SavedState { record_id: RECORD, index: indexes, scope: Some(Scope::ALL), entries }
}

fn network(config: WatchConfig, machines: usize, indexes: u64) -> Network {
    Network::new((0..machines).map(|at| (address(at), machine(config, indexes))).collect())
}

const NAMES: &[&str] = &["m0", "m1", "m2", "m3"];

fn count_at(network: &Network, index: u64) -> usize {
    network.planners.iter().filter(|planner| planner.index == index).count()
}

/// When it reached an index.
fn when(planner: &Planner, index: u64) -> Option<Moment> {
    let there = |event: &WatchEvent| matches!(event, WatchEvent::Changed { index: at, .. } if *at >= index);
    planner.events.iter().find(|(_, event)| there(event)).map(|received| received.0)
}

/// 300 planners without any state at one machine must not delay those that are already watching.
#[test]
fn concurrent_snapshots_are_bounded_and_established_watches_are_served() {
    let config = WatchConfig { max_snapshots: 8, ..WatchConfig::default() };
    let mut network = network(config, 1, 60);
    for at in 0..50 {
        network.planner(client_config(&format!("old{at}"), &NAMES[..1]), Some(saved(60)));
    }
    network.advance(1_000);
    for at in 0..300 {
        network.planner(client_config(&format!("new{at}"), &NAMES[..1]), None);
    }
    network.advance(250);
    assert!(
        network.servers[&address(0)].stats().snapshots_queued > 100,
        "{:?}",
        network.servers[&address(0)].stats()
    );
    let changed = network.now;
    network.apply(61, &[set("zone/0001", "new")]);
    network.advance(50);
    let old: Vec<Moment> = network.planners[..50].iter().filter_map(|planner| when(planner, 61)).collect();
    let served = old.iter().filter(|at| at.since(changed) <= Span::millis(10)).count();
    assert_eq!(served, 50, "all established watches, at once");
    network.advance(6_000);
    assert_eq!(count_at(&network, 61), 350);
    assert_eq!(network.max_snapshots, 8);
    assert!(network.planners.iter().all(|planner| planner.state == network.planners[0].state));
    // Nobody gave up its watch to reconnect.
    assert!(network.planners.iter().all(|planner| planner.dials.len() == 1));
}

/// Snapshots for all after a compaction: the machines' tombstones are gone, and all planners were behind
/// them.
#[test]
fn snapshots_for_all_after_a_compaction_complete() {
    let config = WatchConfig { max_snapshots: 8, ..WatchConfig::default() };
    let mut network = network(config, 2, 60);
    for at in 0..200 {
        let planner = network.planner(client_config(&format!("p{at}"), &NAMES[..2]), Some(saved(50)));
        network.planners[planner].reads = at % 10 != 0;
    }
    network.advance(100);
    let all: BTreeMap<String, Vec<u8>> = saved(60).entries.into_iter().skip(5).collect();
    for at in 0..2 {
        let mut actions = Vec::new();
        let server = network.servers.get_mut(&address(at)).expect("a running server");
        server.restore(network.now, 70, all.clone(), &mut actions);
    }
    network.advance(500);
    assert!(network.max_snapshots <= 8);
    // One in ten reads nothing, and keeps its slot at most until its ack times out.
    network.planners.iter_mut().for_each(|planner| planner.reads = true);
    network.advance(20_000);
    assert_eq!(count_at(&network, 70), 200);
    assert!(network.planners.iter().all(|planner| planner.state == all));
    assert_eq!(network.max_snapshots, 8);
}

/// Slow watchers must not delay fast ones, nor may chunks be queued for them.
#[test]
fn a_slow_watcher_delays_no_other() {
    let mut network = network(WatchConfig::default(), 1, 10);
    for at in 0..40 {
        let planner = network.planner(client_config(&format!("p{at}"), &NAMES[..1]), Some(saved(10)));
        network.planners[planner].reads = at % 4 != 0;
    }
    // They receive their welcome, and nothing after it.
    network.planners.iter_mut().for_each(|planner| planner.reads = true);
    network.advance(500);
    (0..40).step_by(4).for_each(|at| network.planners[at].reads = false);
    let begun = network.now;
    for index in 11..=20 {
        network.apply(index, &[set("zone/0001", &index.to_string())]);
        network.advance(200);
    }
    for index in 11..=20 {
        let due = begun + Span::millis((index - 11) * 200 + 10);
        let at: Vec<Moment> = network.planners.iter().filter_map(|planner| when(planner, index)).collect();
        assert_eq!((at.len(), at.iter().max().is_some_and(|last| *last <= due)), (30, true), "{index}");
    }
    assert!(network.servers[&address(0)].max_in_flight() <= 2);
    (0..40).step_by(4).for_each(|at| network.planners[at].reads = true);
    network.advance(15_000);
    assert_eq!(count_at(&network, 20), 40);
}

/// A machine ends: its planners spread over the others, none of which gets more than twice its even part,
/// and all watch again within 5 s.
#[test]
fn the_planners_of_a_killed_machine_watch_others() {
    let mut network = network(WatchConfig { max_watches: 300, ..WatchConfig::default() }, 4, 10);
    for at in 0..400 {
        network.planner(client_config(&format!("p{at}"), NAMES), Some(saved(10)));
    }
    network.advance(2_000);
    let before = network.servers[&address(1)].stats().watches;
    assert!((60..140).contains(&before), "{before}");
    let killed = network.now;
    network.kill(address(1));
    network.advance(5_000);
    assert!(network.planners.iter().all(|planner| planner.client.watching().is_some_and(|at| at != "m1")));
    let last = network
        .planners
        .iter()
        .filter_map(|planner| planner.watching_since)
        .max()
        .expect("all planners watch");
    assert!(last > killed && last.since(killed) < Span::millis(1_000), "{}", last.since(killed));
    for server in network.servers.values() {
        let watches = server.stats().watches;
        assert!(watches <= 2 * 400 / 3, "{watches}");
    }
    // They didn't reconnect at the same moment.
    let mut back: Vec<u64> = network
        .planners
        .iter()
        .filter_map(|p| p.watching_since)
        .filter(|at| *at > killed)
        .map(|at| at.since(killed).0)
        .collect();
    back.sort_unstable();
    let within = |span: u64| back.windows(10).filter(|ten| ten[9] - ten[0] < span).count();
    assert_eq!((back.len(), within(1_000_000)), (before, 0));
}

/// All start at the same moment: those with a saved state watch at once, and a full machine rejects the
/// rest, which find room elsewhere.
#[test]
fn planners_rejected_by_a_full_machine_find_room_at_others() {
    let mut network = network(WatchConfig { max_watches: 110, ..WatchConfig::default() }, 4, 10);
    for at in 0..400 {
        network.planner(client_config(&format!("p{at}"), NAMES), Some(saved(10)));
    }
    network.advance(10_000);
    assert!(network.planners.iter().all(|planner| planner.client.watching().is_some()));
    assert!(network.servers.values().all(|server| server.stats().watches <= 110));
    network.apply(11, &[set("zone/0001", "new")]);
    network.advance(100);
    assert_eq!(count_at(&network, 11), 400);
}
