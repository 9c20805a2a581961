//! The desk row by row, who is given what, settings that do not fit, and what a fence lets through.

use pewtergap_duty::*;
use pewtergap_time::{Moment, Span};
use std::collections::BTreeMap;
use std::fmt::Write;

const LEASE: LeaseConfig = LeaseConfig {
    duration: Span::millis(1_000),
    renew_interval: Span::millis(200),
    max_pause: Span::millis(300),
    max_clock_drift: 0.02,
};

fn at(ms: u64) -> Moment {
    Moment(1_000_000_000_000) + Span::millis(ms)
}

#[test]
fn a_holder_acts_as_long_as_its_own_clock_lets_it() {
    let mut desk = HeldDuties::new(LEASE);
    let mut trace = String::new();
    let mut told = |ms: u64, what: &str, desk: &mut HeldDuties| {
        let done = desk.take_actions();
        let held: Vec<_> =
            desk.held().map(|(duty, number, state)| format!("{duty} {number} {state:?}")).collect();
        let _ = writeln!(
            trace,
            "{ms:>5} {what}: {} | {done:?} | may {:?}",
            held.join(", "),
            desk.fencing_token(at(ms), "a")
        );
    };
    desk.update_assignments(at(0), [("a", 7)].into_iter());
    told(0, "given, no lease yet", &mut desk);
    desk.on_renewed(at(50), at(10));
    told(50, "renewed, asked at 10", &mut desk);
    told(989, "before 10 and 980", &mut desk);
    told(990, "at the end", &mut desk);
    desk.tick(at(990));
    told(990, "its turn comes", &mut desk);
    desk.on_renewed(at(1_000), at(995));
    told(1_000, "renewed after all", &mut desk);
    desk.release(Some("a"));
    told(1_010, "asked to hand it on", &mut desk);
    desk.on_renewed(at(1_200), at(1_190));
    told(1_200, "renewed, but it has stopped", &mut desk);
    desk.update_assignments(at(1_300), [("a", 9)].into_iter());
    told(1_300, "given again", &mut desk);
    desk.update_assignments(at(1_310), std::iter::empty());
    told(1_310, "taken away", &mut desk);
    insta::assert_snapshot!(trace);
}

#[test]
fn duties_are_even_with_few_moves_and_none_for_who_flaps() {
    let names: Vec<String> = (0..20).map(|duty| format!("d{duty}")).collect();
    let planners: Vec<Planner> = (1..=3).map(|id| Planner { id, name: format!("p{id}") }).collect();
    let mut giver = DutyAssigner::new(at(0), LEASE, Span::millis(1_000));
    let (mut held, mut number) = (BTreeMap::<String, DutyAssignment>::new(), 0);
    let mut moves = 0;
    let mut trace = String::new();
    for ms in (0..20_000).step_by(50) {
        // The third is away from 4 to 8 s and flaps until 12.
        let away = (4_000..8_000).contains(&ms) || (8_000..12_000).contains(&ms) && (ms / 700) % 2 == 1;
        (1..=3).filter(|id| *id != 3 || !away).for_each(|id| giver.on_renewal(at(ms), id));
        for one in giver.plan(at(ms), &names, &held, &planners, false) {
            number += 1;
            moves += 1;
            let (duty, holder) = match one {
                Move::Assign { duty, to, .. } => (duty, to),
                Move::RequestRelease { duty, .. } => (duty, 0),
            };
            held.insert(duty, DutyAssignment { holder, fencing_token: number, pinned_to: None });
        }
        if ms % 2_000 == 0 {
            let count = |id| held.values().filter(|held| held.holder == id).count();
            let _ = writeln!(trace, "{ms:>5}: {} {} {}, {moves} moves", count(1), count(2), count(3));
        }
    }
    insta::assert_snapshot!(trace);
}

#[test]
fn settings_that_do_not_fit_are_refused_with_the_reason() {
    let told = [
        LEASE,
        LeaseConfig { renew_interval: Span::millis(400), ..LEASE },
        LeaseConfig { max_pause: Span::millis(700), ..LEASE },
        LeaseConfig { max_clock_drift: 0.5, ..LEASE },
        LeaseConfig { renew_interval: Span(0), ..LEASE },
    ];
    let told: Vec<String> = told.iter().map(|lease| format!("{:?}", lease.validate())).collect();
    insta::assert_snapshot!(told.join("\n"));
}

#[test]
fn a_fence_refuses_what_is_older_than_it_has_seen() {
    let mut fence = Fence::default();
    let told = [("a", 5), ("a", 5), ("b", 1), ("a", 4), ("a", 9), ("a", 5), ("c", 0)];
    let told: Vec<String> = told
        .iter()
        .map(|(duty, number)| format!("{duty} {number}: {:?}", fence.check(duty, *number)))
        .collect();
    assert_eq!(fence.rejected, 3);
    insta::assert_snapshot!(told.join("\n"));
    for duty in 0..2 * MAX_DUTIES {
        let _ = fence.check(&format!("x{duty}"), 1);
    }
    assert_eq!(fence.check("a", 9), Ok(()), "what is known stays known");
}
