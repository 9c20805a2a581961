//! Explores every order of events, to a fixed depth, for three members with two commands, one crash and one
//! election timeout.

mod cluster;

use cluster::*;
use pewtergap_raft::Id;
use pewtergap_time::Span;
use std::collections::hash_map::DefaultHasher;
use std::collections::HashSet;
use std::hash::{Hash, Hasher};

const DEPTH: usize = 7;

#[derive(Clone, Copy, Debug)]
enum Event {
    Deliver(Id, Id),
    Sync(Id),
    Crash(Id, usize),
    Start(Id),
    /// Time advances far enough for this member to start an election.
    ElectionTimeout(Id),
}

fn choices(cluster: &TestCluster, crashes: usize, timeouts: usize) -> Vec<Event> {
    let mut next: Vec<Event> =
        cluster.deliverable_links().into_iter().map(|link| Event::Deliver(link.0, link.1)).collect();
    for id in cluster.ids() {
        let (saving, running) = cluster.save_status(id);
        next.extend((saving && running).then_some(Event::Sync(id)));
        next.extend((!running).then_some(Event::Start(id)));
        if running && crashes > 0 {
            next.push(Event::Crash(id, 0));
            next.extend(saving.then_some(Event::Crash(id, 1)));
        }
        next.extend((running && timeouts > 0).then_some(Event::ElectionTimeout(id)));
    }
    next
}

fn explore(
    cluster: &TestCluster,
    left: (usize, usize, usize),
    seen: &mut HashSet<u64>,
    path: &mut Vec<Event>,
) -> usize {
    let (depth, crashes, timeouts) = left;
    let mut digest = DefaultHasher::new();
    format!("{cluster:?}{left:?}").hash(&mut digest);
    if depth == 0 || !seen.insert(digest.finish()) {
        return 0;
    }
    let mut count = 1;
    for next in choices(cluster, crashes, timeouts) {
        let mut cluster = cluster.clone();
        let mut left = (depth - 1, crashes, timeouts);
        match next {
            Event::Deliver(from, to) => cluster.deliver((from, to)),
            Event::Sync(id) => cluster.sync(id),
            Event::Crash(id, reached) => {
                cluster.crash(id, reached);
                left.1 -= 1;
            }
            Event::Start(id) => cluster.start(id),
            Event::ElectionTimeout(id) => {
                cluster.now = cluster.now + Span::millis(700);
                cluster.tick(id);
                left.2 -= 1;
            }
        }
        path.push(next);
        assert!(cluster.violation.is_none(), "{:?} after {path:?}", cluster.violation);
        count += explore(&cluster, left, seen, path);
        path.pop();
    }
    count
}

#[test]
fn every_order_of_two_commands_one_crash_and_one_election_is_safe() {
    let mut cluster = TestCluster::new(3, InjectedFault::None);
    cluster.run(2_000);
    let leader = cluster.leader().expect("a leader");
    for command in [b"one".to_vec(), b"two".to_vec()] {
        cluster.with_raft(leader, |raft, _| raft.propose(command)).expect("running").expect("accepted");
    }
    let mut seen = HashSet::new();
    let states = explore(&cluster, (DEPTH, 1, 1), &mut seen, &mut Vec::new());
    println!("{states} states within {DEPTH} steps");
    assert!(states > 1_000, "{states}");
}
