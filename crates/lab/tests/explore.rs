//! Members under virtual time: a fixed set of seeds, the same run twice, and each planted break found.

use pewtergap_lab::explore::{explore, Planted};
use std::sync::atomic::{AtomicU64, Ordering};

#[test]
fn a_fixed_set_of_seeds_breaks_nothing() {
    let next = AtomicU64::new(0);
    let one = || {
        let mut came = Vec::new();
        loop {
            let seed = next.fetch_add(1, Ordering::SeqCst);
            if seed >= 300 {
                return came;
            }
            came.push(explore(seed, None));
        }
    };
    let all: Vec<_> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..4).map(|_| scope.spawn(one)).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("it is explored")).collect()
    });
    for came in &all {
        assert!(came.broken.is_empty(), "{came:?}");
    }
    // It did what it is for.
    let kept: usize = all.iter().map(|came| came.kept).sum();
    let held = all.iter().map(|came| came.held).sum::<f64>() / all.len() as f64;
    let used = all.iter().map(|came| came.mean_used).sum::<f64>() / all.len() as f64;
    assert!(used > 0.7, "{used} of a budget is used");
    assert!(kept > 30_000 && held > 0.5, "{kept} orders kept, duties held {held}");
}

/// Seeds that found something: a wiped member whose hello was forgotten before anybody led stayed out for good; what a wiped
/// member's old disk had of a budget was given away while it could still be in use (159).
#[test]
fn seeds_that_found_something_break_nothing_any_more() {
    for seed in [159, 2217, 2806, 2916, 6037] {
        let came = explore(seed, None);
        assert!(came.broken.is_empty(), "{came:?}");
    }
}

#[test]
fn a_seed_is_the_same_run_each_time() {
    let (one, other) = (explore(7, None), explore(7, None));
    assert_eq!((one.trace, one.steps, one.kept), (other.trace, other.steps, other.kept));
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
    (Planted::WildClocks, 1, "two on one duty"),
    (Planted::LyingDisks, 51, "one order"),
    (Planted::StaleRead, 0, "one order"),
    (Planted::FreedAtOnce, 0, "more than the whole"),
];
