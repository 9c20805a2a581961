//! The cache and its iterations against a plain log: chunks, interrupted and resumed at another machine,
//! must give the state of the log as of the stated index.

use pewtergap_watch::cache::Cache;
use pewtergap_watch::chunks::{ChunkCache, Position};
use pewtergap_watch::messages::{Changes, Kind, WatchMessage};
use pewtergap_watch::state::PendingChanges;
use pewtergap_watch::Scope;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet};

type Change = (u8, Option<u8>);
type All = BTreeMap<String, Vec<u8>>;

fn key(key: u8) -> String {
    let about = ["server", "weight", "route", "zone"][usize::from(key % 4)];
    format!("{about}/n{}", key / 4)
}

/// Values so large that a few fill a chunk.
fn value(value: u8) -> Vec<u8> {
    vec![value; 4_000]
}

fn prefix(log: &[Change], index: u64, scope: &Scope) -> All {
    let mut all = All::new();
    for (at, to) in &log[..index as usize] {
        match to {
            Some(to) => drop(all.insert(key(*at), value(*to))),
            None => drop(all.remove(&key(*at))),
        }
    }
    all.retain(|key, _| scope.contains(key));
    all
}

/// Applies several indexes at once: each key touched, with its value after them.
fn apply(cache: &mut Cache, log: &[Change], to: u64) {
    let from = cache.head();
    if to <= from {
        return;
    }
    let touched: BTreeSet<u8> = log[from as usize..to as usize].iter().map(|change| change.0).collect();
    let after = prefix(log, to, &Scope::ALL);
    cache.apply(to, touched.into_iter().map(|at| (key(at), after.get(&key(at)).cloned())));
}

#[derive(Clone, Debug)]
enum Step {
    /// A machine applies this many more indexes, at once or one by one.
    Apply { machine: usize, indexes: u64, as_one: bool },
    /// A machine reads the record from a snapshot this many indexes later.
    Restore { machine: usize, indexes: u64 },
    /// The watcher receives a chunk.
    Chunk,
    /// The watcher moves to the other machine and keeps a partial snapshot.
    Move,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..2_usize, 1..4_u64, any::<bool>())
            .prop_map(|(machine, indexes, as_one)| Step::Apply { machine, indexes, as_one }),
        1 => (0..2_usize, 0..9_u64).prop_map(|(machine, indexes)| Step::Restore { machine, indexes }),
        8 => Just(Step::Chunk),
        4 => Just(Step::Move),
    ]
}

fn decode(frame: &[u8]) -> Changes {
    let mut frames = pewtergap_protocol::FrameReader::<WatchMessage>::default();
    frames.push(frame);
    match frames.next_message().expect("a valid frame").expect("a complete frame").kind {
        Some(Kind::Changes(changes)) => changes,
        other => panic!("{other:?}"),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_500, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]
    #[test]
    fn a_watcher_holds_the_prefix_at_its_index(
        log in prop::collection::vec((0..16_u8, prop::option::weighted(0.5, 0..2_u8)), 60..120),
        steps in prop::collection::vec(step(), 20..60),
        limited_scope in any::<bool>(),
        max_tombstones in 3..20_usize,
    ) {
        let names = |names: &[&str]| Some(names.iter().map(|name| name.to_string()).collect());
        let scope = match limited_scope {
            true => Scope { servers: names(&["n0", "n2", "n4"]), routes: names(&["n1"]) },
            false => Scope::ALL,
        };
        let mut caches = [Cache::with_max_tombstones(max_tombstones), Cache::with_max_tombstones(9)];
        // With many keys set before the watch begins, a snapshot takes several chunks.
        let log: Vec<Change> = (0..16).map(|key| (key, Some(9))).chain(log).collect();
        caches.iter_mut().for_each(|cache| apply(cache, &log, 16));
        let mut shared = [ChunkCache::default(), ChunkCache::default()];
        let (mut at, mut index, mut state, mut pending) = (0, 0_u64, All::new(), PendingChanges::default());
        let mut position = Position::at_index(0);
        let mut reset = true;
        for step in steps {
            match step {
                Step::Apply { machine, indexes, as_one } => {
                    let to = (caches[machine].head() + indexes).min(log.len() as u64);
                    if as_one {
                        apply(&mut caches[machine], &log, to);
                    }
                    (caches[machine].head() + 1..=to).for_each(|to| apply(&mut caches[machine], &log, to));
                    shared[machine].clear();
                }
                Step::Restore { machine, indexes } => {
                    let to = (caches[machine].head() + indexes).min(log.len() as u64);
                    caches[machine].restore(to, prefix(&log, to, &Scope::ALL));
                    shared[machine].clear();
                }
                // The state never goes back; a snapshot is resumed if the other machine can.
                Step::Move if caches[1 - at].head() >= index => {
                    at = 1 - at;
                    let cache = &caches[at];
                    let partial = pending.snapshot.take().filter(|partial| {
                        partial.base >= cache.compacted_index() && partial.base.max(partial.seen) <= cache.head()
                    });
                    let can_continue = index > 0 && index >= cache.compacted_index();
                    reset = !can_continue && partial.is_none();
                    position = match &partial {
                        _ if can_continue => Position::at_index(index),
                        Some(partial) if partial.all_keys => Position::at_index(partial.base),
                        Some(partial) => {
                            Position::SnapshotKey { base: partial.base, after: Some(partial.after.as_str().into()) }
                        }
                        None => Position::at_index(0),
                    };
                    match partial {
                        Some(partial) if !can_continue => pending.snapshot = Some(partial),
                        _ => pending = PendingChanges::default(),
                    }
                }
                Step::Move => {}
                Step::Chunk => {
                    let cache = &caches[at];
                    if reset || position.is_compacted(cache) {
                        (position, reset) = (Position::SnapshotKey { base: cache.head(), after: None }, true);
                    }
                    let chunk = shared[at].chunk(cache, (1, &scope), &position, reset);
                    (position, reset) = (chunk.next.clone(), false);
                    let changes = decode(&chunk.frame(7, 3));
                    prop_assert_eq!((changes.number, changes.scope, changes.done), (7, 3, chunk.done));
                    prop_assert!(changes.entries.len() == 1 || changes.encoded_len_of_entries() <= 16 * 1024);
                    let through = changes.through;
                    pending.add(changes).expect("within the limits");
                    if chunk.done {
                        let done = std::mem::take(&mut pending);
                        if done.snapshot.is_some() {
                            state.clear();
                        }
                        for (key, value) in done.entries {
                            match value {
                                Some(value) => drop(state.insert(key, value)),
                                None => drop(state.remove(&key)),
                            }
                        }
                        prop_assert!(through >= index);
                        index = through;
                        prop_assert_eq!(&state, &prefix(&log, index, &scope));
                    }
                }
            }
        }
    }
}

trait Entries {
    fn encoded_len_of_entries(&self) -> usize;
}

impl Entries for Changes {
    fn encoded_len_of_entries(&self) -> usize {
        self.entries.iter().map(|entry| entry.key.len() + entry.value.as_ref().map_or(0, Vec::len)).sum()
    }
}

#[test]
fn tombstones_are_bounded_and_a_recreated_key_has_none() {
    let mut cache = Cache::with_max_tombstones(2);
    for index in 1..=4 {
        cache.apply(index, [(format!("zone/{index}"), Some(vec![1]))]);
    }
    cache.apply(5, [("zone/1".to_string(), None)]);
    cache.apply(6, [("zone/2".to_string(), None)]);
    assert_eq!((cache.compacted_index(), cache.live_size().0), (0, 2));
    cache.apply(7, [("zone/1".to_string(), Some(vec![2]))]);
    cache.apply(8, [("zone/3".to_string(), None)]);
    assert_eq!(cache.compacted_index(), 0);
    cache.apply(9, [("zone/4".to_string(), None)]);
    assert_eq!((cache.compacted_index(), cache.live_size().0), (6, 1));
    let received: Vec<(u64, bool)> =
        cache.changes_after(6, u32::MAX).map(|found| (found.1.index, found.1.value.is_some())).collect();
    assert_eq!(received, [(7, true), (8, false), (9, false)]);
    // Lower indexes are ignored.
    cache.apply(9, [("zone/9".to_string(), Some(vec![1]))]);
    cache.restore(8, BTreeMap::new());
    assert_eq!((cache.head(), cache.live_size().0), (9, 1));
}
