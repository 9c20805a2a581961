//! Three members, two commands, one kill and one election: every order of what can happen next, to a stated depth.

mod stage;

use pewtergap_raft::Id;
use pewtergap_time::Span;
use stage::*;
use std::collections::hash_map::DefaultHasher;
use std::collections::HashSet;
use std::hash::{Hash, Hasher};

const DEPTH: usize = 7;

#[derive(Clone, Copy, Debug)]
enum Next {
    Deliver(Id, Id),
    Sync(Id),
    Kill(Id, usize),
    Start(Id),
    /// Long enough for this member to stand.
    Late(Id),
}

fn choices(stage: &Stage, kills: usize, lates: usize) -> Vec<Next> {
    let mut next: Vec<Next> =
        stage.under_way().into_iter().map(|link| Next::Deliver(link.0, link.1)).collect();
    for id in stage.ids() {
        let (saving, running) = stage.saving(id);
        next.extend((saving && running).then_some(Next::Sync(id)));
        next.extend((!running).then_some(Next::Start(id)));
        if running && kills > 0 {
            next.push(Next::Kill(id, 0));
            next.extend(saving.then_some(Next::Kill(id, 1)));
        }
        next.extend((running && lates > 0).then_some(Next::Late(id)));
    }
    next
}

fn explore(
    stage: &Stage,
    left: (usize, usize, usize),
    met: &mut HashSet<u64>,
    path: &mut Vec<Next>,
) -> usize {
    let (depth, kills, lates) = left;
    let mut digest = DefaultHasher::new();
    format!("{stage:?}{left:?}").hash(&mut digest);
    if depth == 0 || !met.insert(digest.finish()) {
        return 0;
    }
    let mut count = 1;
    for next in choices(stage, kills, lates) {
        let mut stage = stage.clone();
        let mut left = (depth - 1, kills, lates);
        match next {
            Next::Deliver(from, to) => stage.deliver((from, to)),
            Next::Sync(id) => stage.sync(id),
            Next::Kill(id, reached) => {
                stage.kill(id, reached);
                left.1 -= 1;
            }
            Next::Start(id) => stage.start(id),
            Next::Late(id) => {
                stage.now = stage.now + Span::millis(700);
                stage.tick(id);
                left.2 -= 1;
            }
        }
        path.push(next);
        assert!(stage.wrong.is_none(), "{:?} after {path:?}", stage.wrong);
        count += explore(&stage, left, met, path);
        path.pop();
    }
    count
}

#[test]
fn two_commands_one_kill_and_one_election_in_every_order() {
    let mut stage = Stage::new(3, Plant::Nothing);
    stage.settle(2_000);
    let leader = stage.leader().expect("a leader");
    for command in [b"one".to_vec(), b"two".to_vec()] {
        stage.with(leader, |agree, _| agree.propose(command)).expect("running").expect("taken in");
    }
    let mut met = HashSet::new();
    let states = explore(&stage, (DEPTH, 1, 1), &mut met, &mut Vec::new());
    println!("{states} states within {DEPTH} steps");
    assert!(states > 1_000, "{states}");
}
