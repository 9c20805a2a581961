//! A follower that was silent for the election timeout while the leader compacted its log: what the leader counts as
//! stored there must stay, and its disk must not be taken for an old copy.

mod cluster;

use cluster::*;
use pewtergap_raft::{Id, Index};
use pewtergap_time::Span;

struct SilentFollower {
    cluster: TestCluster,
    leader: Id,
    silent: Id,
    other: Id,
}

impl SilentFollower {
    /// Three voters. One has received nothing for longer than the election timeout; what is sent to it waits on the
    /// link from the leader.
    fn new() -> SilentFollower {
        let mut cluster = TestCluster::new(3, InjectedFault::None);
        cluster.run(2_000);
        let leader = cluster.leader().expect("a leader");
        let mut followers = cluster.ids().into_iter().filter(|id| *id != leader);
        let (silent, other) = (followers.next().expect("a follower"), followers.next().expect("a follower"));
        cluster.set_link_cut(leader, silent, true);
        cluster.run(400);
        assert_eq!(cluster.leader(), Some(leader), "one silent follower does not depose the leader");
        SilentFollower { cluster, leader, silent, other }
    }

    fn propose(&mut self, command: &[u8]) -> Index {
        let proposed = self.cluster.with_raft(self.leader, |raft, _| raft.propose(command.to_vec()));
        proposed.expect("running").expect("leads").1
    }

    fn compact_leader(&mut self) {
        self.cluster.with_raft(self.leader, |raft, _| {
            let applied = raft.applied_index();
            raft.compact(applied, applied.to_be_bytes().to_vec(), 0);
        });
    }

    fn send_heartbeats(&mut self) {
        self.cluster.now = self.cluster.now + Span::millis(50);
        self.cluster.tick(self.leader);
    }
}

/// Guards against a heartbeat that names an entry the leader has compacted: its rejection made the leader report a
/// healthy disk as an old copy.
#[test]
fn a_heartbeat_after_compaction_does_not_report_a_regressed_log() {
    let mut run = SilentFollower::new();
    let last = run.propose(b"a");
    run.cluster.settle();
    run.compact_leader();
    run.send_heartbeats();
    run.cluster.heal();
    run.cluster.settle();
    assert_eq!(run.cluster.regressed, Vec::<Id>::new());
    assert_eq!(run.cluster.raft(run.silent).expect("running").last().1, last);
}

/// Guards against a snapshot that arrives behind newer entries and drops them: the leader had counted them, so that a
/// committed entry was lost with the leader.
#[test]
fn a_snapshot_behind_newer_entries_keeps_what_was_acknowledged() {
    let mut run = SilentFollower::new();
    // The silent follower is sent both entries before the first is committed, the other one only the first.
    run.propose(b"a");
    run.cluster.deliver((run.leader, run.other));
    run.cluster.set_link_cut(run.leader, run.other, true);
    let newest = run.propose(b"b");
    run.cluster.settle();
    run.compact_leader();
    run.send_heartbeats();
    run.cluster.deliver_all((run.leader, run.silent));
    run.cluster.deliver_all((run.silent, run.leader));
    assert_eq!(run.cluster.raft(run.leader).expect("running").commit_index(), newest, "two of three have it");
    run.cluster.crash(run.leader, 0);
    run.cluster.heal();
    run.cluster.run(3_000);
    assert_eq!(run.cluster.regressed, Vec::<Id>::new());
    run.cluster.check_final_state();
    assert_eq!(run.cluster.violation, None);
}
