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
/// Servers that drain and come back, in turn.
const RETURNING_SERVERS: usize = 20;
/// Time after which the other servers drain: longer than a full channel takes to empty, shorter than after which a silent
/// proxy counts as left.
const SILENCE: Duration = Duration::from_millis(4_500);
/// The configured grace period, and what the platform's rules allow on top of it.
const GRACE_AND_SLACK: Duration = Duration::from_millis(2_300);
/// Time between two changes of the server list.
const CHANGE_INTERVAL: Duration = Duration::from_millis(50);

/// A server that a proxy may pick.
type Held = (usize, String);

enum Received {
    Table { proxy: usize },
    Line { held: Held, removed: bool },
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
        for (server, weight) in lines.filter_map(|line| line.split_once(':')) {
            let held = (proxy, server.to_string());
            if received.send(Received::Line { held, removed: weight == "0" }).is_err() {
                return;
            }
        }
        if let Some(mark) = field("ticket") {
            peer.send(&format!("ACK sidecar {proxy} version {mark} lag_ms 1"));
        }
    }
}

/// What the proxies may pick, as far as their messages were received.
struct Fleet {
    received: Receiver<Received>,
    held: BTreeSet<Held>,
    tables: BTreeSet<usize>,
}

impl Fleet {
    /// Takes in the next message within the time; returns whether there was one.
    fn receive(&mut self, timeout: Duration) -> bool {
        match self.received.recv_timeout(timeout) {
            Ok(Received::Table { proxy }) => {
                self.tables.insert(proxy);
                self.held.retain(|held| held.0 != proxy);
            }
            Ok(Received::Line { held, removed: true }) => drop(self.held.remove(&held)),
            Ok(Received::Line { held, removed: false }) => drop(self.held.insert(held)),
            Err(_) => return false,
        }
        true
    }

    /// Number of pairs of a proxy and one of these servers that it may pick.
    fn count_held(&self, servers: &[usize]) -> usize {
        let names: Vec<String> = servers.iter().map(|at| server_name(*at)).collect();
        self.held.iter().filter(|held| names.contains(&held.1)).count()
    }

    /// Waits until no proxy holds these servers. Returns how many pairs are left when the grace period ends.
    fn left_after_grace(&mut self, servers: &[usize]) -> usize {
        let told = Instant::now();
        while self.count_held(servers) > 0 && self.receive(GRACE_AND_SLACK.saturating_sub(told.elapsed())) {}
        self.count_held(servers)
    }
}

fn server_name(at: usize) -> String {
    format!("s-{at:08x}")
}

fn rows(draining: &[usize]) -> Vec<String> {
    let state = |at: usize| if draining.contains(&at) { "Terminating" } else { "Ready" };
    (0..SERVERS).map(|at| row(&server_name(at), closed_address(), state(at))).collect()
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
    let mut fleet = Fleet { received, held: BTreeSet::new(), tables: BTreeSet::new() };
    while fleet.count_held(&(0..SERVERS).collect::<Vec<usize>>()) < (PROXIES - 1) * SERVERS {
        assert!(fleet.receive(MAX_WAIT), "each proxy gets its table");
    }
    // Some servers drain and come back all the time, so that a channel's worth of lines is sent. Once the silence has
    // lasted longer than the channel takes to empty, the others drain, which all proxies hold.
    let start = Instant::now();
    let mut step = 0;
    while start.elapsed() < SILENCE {
        let draining: Vec<usize> = (0..BATCH).map(|at| (step * BATCH + at) % RETURNING_SERVERS).collect();
        discovery.set_rows(&rows(&draining));
        let elapsed = start.elapsed();
        assert_eq!(
            fleet.left_after_grace(&draining),
            0,
            "proxies still hold a server {elapsed:?} into the silence"
        );
        std::thread::sleep(CHANGE_INTERVAL);
        step += 1;
    }
    for first in (RETURNING_SERVERS..SERVERS).step_by(BATCH) {
        let draining: Vec<usize> = (RETURNING_SERVERS..first + BATCH).collect();
        let last: Vec<usize> = (first..first + BATCH).collect();
        assert_eq!(fleet.count_held(&last), (PROXIES - 1) * BATCH, "all proxies hold what drains next");
        discovery.set_rows(&rows(&draining));
        let elapsed = start.elapsed();
        assert_eq!(
            fleet.left_after_grace(&last),
            0,
            "proxies still hold a server {elapsed:?} into the silence"
        );
    }
}
