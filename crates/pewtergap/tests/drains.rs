//! Drains announced to a planner process while some of its proxies misbehave.

mod peer;

use peer::*;
use std::collections::BTreeSet;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::{Duration, Instant};

const PROXIES: usize = 60;
const SERVERS: usize = 40;
/// Servers that drain together.
const BATCH: usize = 4;
/// The configured grace period, and what the platform's rules allow on top of it.
const GRACE_AND_SLACK: Duration = Duration::from_millis(2_300);
/// Time between two changes of the server list.
const CHANGE_INTERVAL: Duration = Duration::from_millis(50);

/// A line of weight zero, received by a proxy.
type Removal = (usize, String);

enum Received {
    Table { proxy: usize },
    Removal(Removal),
}

/// Acknowledges each message to a proxy and reports what it received.
fn follow(mut peer: Peer, proxy: usize, received: Sender<Received>) {
    while let Some(message) = peer.next_message() {
        let words: Vec<&str> = message.split(' ').collect();
        let field = |name: &str| words.iter().position(|word| *word == name).and_then(|at| words.get(at + 1));
        if field("whole").is_some() && received.send(Received::Table { proxy }).is_err() {
            return;
        }
        let lines = field("lines").into_iter().flat_map(|lines| lines.split(','));
        for removed in lines.filter_map(|line| line.strip_suffix(":0")) {
            if received.send(Received::Removal((proxy, removed.to_string()))).is_err() {
                return;
            }
        }
        if let Some(mark) = field("ticket") {
            peer.send(&format!("ACK sidecar {proxy} version {mark} lag_ms 1"));
        }
    }
}

fn rows(draining: &[usize]) -> Vec<String> {
    let state = |at: usize| if draining.contains(&at) { "Terminating" } else { "Ready" };
    (0..SERVERS).map(|at| row(&format!("s-{at:08x}"), closed_address(), state(at))).collect()
}

/// Waits until this many proxies have their table.
fn wait_for_tables(received: &Receiver<Received>, count: usize) {
    let mut tables = BTreeSet::new();
    while tables.len() < count {
        if let Received::Table { proxy } = received.recv_timeout(MAX_WAIT).expect("a table for each proxy") {
            tables.insert(proxy);
        }
    }
}

/// Waits until all these proxies were told to remove all these servers. Returns the pairs that are missing when the
/// grace period ends.
fn missing_removals(
    received: &Receiver<Received>,
    proxies: std::ops::Range<usize>,
    servers: &[usize],
) -> BTreeSet<Removal> {
    let names: Vec<String> = servers.iter().map(|at| format!("s-{at:08x}")).collect();
    let pairs = proxies.flat_map(|proxy| names.iter().map(move |name| (proxy, name.clone())));
    let mut missing: BTreeSet<Removal> = pairs.collect();
    let told = Instant::now();
    while !missing.is_empty() {
        match received.recv_timeout(GRACE_AND_SLACK.saturating_sub(told.elapsed())) {
            Ok(Received::Removal(removal)) => drop(missing.remove(&removal)),
            Ok(Received::Table { .. }) => {}
            Err(_) => break,
        }
    }
    missing
}

#[test]
fn a_silent_stream_delays_no_removal_for_other_proxies() {
    // The channel takes 4 s to empty when full; a proxy counts as left after 9 s of silence.
    let config = Config {
        proxies: PROXIES,
        max_queued_lines: 8_000,
        lines_per_s: 2_000,
        rows: rows(&[]),
        ..Config::new(closed_address())
    };
    let discovery = DiscoveryServer::start(&config.rows);
    let config = Config { discovery: discovery.at, ..config };
    let planner = Process::start_listening("silent-stream", &config);
    let (sender, received) = channel();
    let peers: Vec<Peer> = (0..PROXIES).map(|number| Peer::subscribed(planner.at, number)).collect();
    let mut peers = peers.into_iter();
    let _silent = peers.next();
    for (number, peer) in peers.enumerate().map(|(at, peer)| (at + 1, peer)) {
        let sender = sender.clone();
        std::thread::spawn(move || follow(peer, number, sender));
    }
    wait_for_tables(&received, PROXIES - 1);
    let start = Instant::now();
    for step in 0.. {
        if start.elapsed() > Duration::from_secs(6) {
            break;
        }
        let draining: Vec<usize> = (0..BATCH).map(|at| (step * BATCH + at) % SERVERS).collect();
        discovery.set_rows(&rows(&draining));
        let missing = missing_removals(&received, 1..PROXIES, &draining);
        let elapsed = start.elapsed();
        assert_eq!(
            missing.len(),
            0,
            "removals not ordered {GRACE_AND_SLACK:?} after the drain, {elapsed:?} into the silence"
        );
        std::thread::sleep(CHANGE_INTERVAL);
    }
}
