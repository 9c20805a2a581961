//! The judge, by traces made by hand: each sound one and its break.

use pewtergap_scale::judge::{judge, plant_unheard, Aim, InForce, Seen};

fn answer(expected: u64, at_or_past: u64, unheard: u64, had: u64, may: u64) -> Seen {
    Seen::Answer { place: 7, returned: 1, told: InForce { expected, at_or_past, unheard }, had, may }
}

fn rules(all: &[Seen]) -> Vec<String> {
    judge(all).into_iter().map(|breach| breach.rule).collect()
}

#[test]
fn in_force_counts_nobody_who_has_it_not() {
    let belong = Seen::Belong { planners: 10 };
    let day = |answer| rules(&[belong.clone(), answer]);
    assert_eq!(day(answer(10, 8, 2, 8, 0)), [""; 0]);
    assert_eq!(day(answer(10, 8, 2, 7, 1)), [""; 0]);
    // Fewer than had it is late, never wrong.
    assert_eq!(day(answer(10, 3, 2, 8, 0)), [""; 0]);
    assert_eq!(day(answer(10, 9, 1, 8, 0)), ["in force counts nobody who has it not"]);
}

#[test]
fn whoever_was_heard_once_is_counted_or_named() {
    let all = |expected| vec![Seen::Belong { planners: 10 }, answer(expected, 2, 0, 2, 0)];
    assert_eq!(rules(&all(10)), [""; 0]);
    assert_eq!(rules(&all(9)), ["whoever was heard once is counted or named"]);
    // Before all have been heard nobody can be missed.
    assert_eq!(rules(&[answer(3, 2, 0, 2, 0), Seen::Belong { planners: 10 }]), [""; 0]);
}

#[test]
fn a_place_that_fell_and_an_order_that_is_not_there_are_found() {
    let fell = |times| Seen::Fell { times, what: "p3 from 9 to 8".into() };
    let looked = |wrong| Seen::Looked { checked: 50, wrong, first: Some("p3".into()) };
    assert_eq!(rules(&[fell(0), looked(0)]), [""; 0]);
    assert_eq!(rules(&[fell(1)]), ["a place never falls"]);
    assert_eq!(rules(&[looked(1)]), ["what was kept is there once heard"]);
}

#[test]
fn the_planted_one_who_is_counted_unheard_is_found() {
    let mut all = vec![Seen::Belong { planners: 10 }, answer(10, 10, 0, 10, 0), answer(10, 8, 2, 8, 0)];
    assert_eq!(rules(&all), [""; 0]);
    plant_unheard(&mut all);
    assert_eq!(rules(&all), ["in force counts nobody who has it not"]);
    // Where all are heard there is nobody to count in.
    let mut whole = vec![answer(10, 10, 0, 10, 0)];
    plant_unheard(&mut whole);
    assert_eq!(whole, [answer(10, 10, 0, 10, 0)]);
}

#[test]
fn an_aim_is_met_missed_or_not_measured() {
    let aim = |measured| Aim::new("p99", "ms", 1_000.0, measured).met();
    assert_eq!([aim(Some(1_000.0)), aim(Some(1_000.1)), aim(None)], [Some(true), Some(false), None]);
}
