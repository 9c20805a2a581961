//! The tier under virtual time: a fixed set of seeds, the same run twice, and each planted break found.

use pewtergap_lab::explore_watch::{explore, Explored, Planted};
use std::sync::atomic::{AtomicU64, Ordering};

fn all(seeds: u64) -> Vec<Explored> {
    let next = AtomicU64::new(0);
    let one = || {
        let mut came = Vec::new();
        loop {
            let seed = next.fetch_add(1, Ordering::SeqCst);
            if seed >= seeds {
                return came;
            }
            came.push(explore(seed, None));
        }
    };
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..4).map(|_| scope.spawn(one)).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("it is explored")).collect()
    })
}

#[test]
fn a_fixed_set_of_seeds_breaks_nothing() {
    let all = all(24);
    for came in &all {
        assert!(came.broken.is_empty(), "{came:?}");
    }
    // It did what it is for.
    let sum = |of: fn(&Explored) -> u64| all.iter().map(of).sum::<u64>();
    let planners = sum(|came| came.planners as u64);
    assert!(sum(|came| came.watches) > 2 * planners, "{} watches", sum(|came| came.watches));
    assert!(sum(|came| came.counted) > 0 && sum(|came| came.ages) > 0);
    for reason in ["Behind", "Full", "Deaf", "Stopping"] {
        assert!(all.iter().any(|came| came.refused.contains_key(reason)), "nobody was refused {reason}");
    }
}

#[test]
fn a_seed_is_the_same_run_each_time() {
    let (one, other) = (explore(7, None), explore(7, None));
    assert_eq!((one.trace, one.steps, one.watches), (other.trace, other.steps, other.watches));
    assert_ne!(one.trace, explore(8, None).trace);
}

/// The first seed of each that shows it; which rule says so.
#[test]
fn each_planted_break_is_found_by_its_rule() {
    for (planted, seed, rule) in PLANTED {
        let came = explore(*seed, Some(*planted));
        assert!(came.broken.iter().any(|broken| broken.0 == *rule), "{planted:?}: {came:?}");
    }
}

const PLANTED: &[(Planted, u64, &str)] = &[
    (Planted::TakenBack, 2, "never back"),
    (Planted::LostDelete, 0, "prefix"),
    (Planted::CountedUnheard, 1, "counted"),
    (Planted::YoungAge, 0, "age"),
];
