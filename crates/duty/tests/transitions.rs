//! The transitions of `HeldDuties`, assignment, invalid settings and fencing.

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
fn a_holder_acts_only_while_its_lease_is_valid_by_its_own_clock() {
    let mut held_duties = HeldDuties::new(LEASE);
    let mut trace = String::new();
    let mut log = |ms: u64, label: &str, held_duties: &mut HeldDuties| {
        let actions = held_duties.take_actions();
        let held: Vec<_> =
            held_duties.held().map(|(duty, number, state)| format!("{duty} {number} {state:?}")).collect();
        let _ = writeln!(
            trace,
            "{ms:>5} {label}: {} | {actions:?} | may {:?}",
            held.join(", "),
            held_duties.fencing_token(at(ms), "a")
        );
    };
    held_duties.update_assignments(at(0), [("a", 7)].into_iter());
    log(0, "assigned, no lease yet", &mut held_duties);
    held_duties.on_renewed(at(50), at(10));
    log(50, "renewed, requested at 10", &mut held_duties);
    log(989, "just before expiry at 10 + 980", &mut held_duties);
    log(990, "at expiry", &mut held_duties);
    held_duties.tick(at(990));
    log(990, "tick", &mut held_duties);
    held_duties.on_renewed(at(1_000), at(995));
    log(1_000, "renewed late", &mut held_duties);
    held_duties.release(Some("a"));
    log(1_010, "asked to release it", &mut held_duties);
    held_duties.on_renewed(at(1_200), at(1_190));
    log(1_200, "renewed after it stopped", &mut held_duties);
    held_duties.update_assignments(at(1_300), [("a", 9)].into_iter());
    log(1_300, "assigned again", &mut held_duties);
    held_duties.update_assignments(at(1_310), std::iter::empty());
    log(1_310, "unassigned", &mut held_duties);
    insta::assert_snapshot!(trace);
}

#[test]
fn duties_are_balanced_with_few_moves_and_none_to_a_flapping_planner() {
    let names: Vec<String> = (0..20).map(|duty| format!("d{duty}")).collect();
    let planners: Vec<Planner> = (1..=3).map(|id| Planner { id, name: format!("p{id}") }).collect();
    let mut assigner = DutyAssigner::new(at(0), LEASE, Span::millis(1_000));
    let (mut held, mut number) = (BTreeMap::<String, DutyAssignment>::new(), 0);
    let mut moves = 0;
    let mut trace = String::new();
    for ms in (0..20_000).step_by(50) {
        // The third planner is away from 4 to 8 s and flaps until 12 s.
        let away = (4_000..8_000).contains(&ms) || (8_000..12_000).contains(&ms) && (ms / 700) % 2 == 1;
        (1..=3).filter(|id| *id != 3 || !away).for_each(|id| assigner.on_renewal(at(ms), id));
        for step in assigner.plan(at(ms), &names, &held, &planners, false) {
            number += 1;
            moves += 1;
            let (duty, holder) = match step {
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
fn a_pinned_duty_is_moved_on_from_whoever_got_it_before_the_pinned_planner_was_stable() {
    let planners: Vec<Planner> = (1..=3).map(|id| Planner { id, name: format!("p{id}") }).collect();
    let names = ["books".to_string()];
    let assignment =
        |holder, fencing_token| DutyAssignment { holder, fencing_token, pinned_to: Some(planners[1].id) };
    // A new leader has heard planner 3 long enough, planner 2 not yet.
    let mut assigner = DutyAssigner::new(at(0), LEASE, Span::millis(1_000));
    let mut plan_at = |ms: u64, held: DutyAssignment| {
        let since = |id| if id == 2 { 1_000 } else { 0 };
        [2, 3].into_iter().filter(|id| ms >= since(*id)).for_each(|id| assigner.on_renewal(at(ms), id));
        assigner.plan(at(ms), &names, &[("books".to_string(), held)].into(), &planners, false)
    };
    for ms in (0..1_200).step_by(100) {
        plan_at(ms, assignment(3, 7));
    }
    let assigned = Move::Assign { duty: "books".into(), to: 3, expected_fencing_token: 7 };
    assert_eq!(plan_at(1_200, assignment(0, 7)), [assigned], "planner 2 is not stable");
    for ms in (1_300..2_000).step_by(100) {
        assert_eq!(plan_at(ms, assignment(3, 8)), [], "{ms}");
    }
    let released = Move::RequestRelease { duty: "books".into(), holder: 3, fencing_token: 8 };
    assert_eq!(plan_at(2_000, assignment(3, 8)), [released]);
    let assigned = Move::Assign { duty: "books".into(), to: 2, expected_fencing_token: 8 };
    assert_eq!(plan_at(2_100, assignment(0, 8)), [assigned]);
}

#[test]
fn contradictory_lease_settings_are_rejected() {
    let results = [
        LEASE,
        LeaseConfig { renew_interval: Span::millis(400), ..LEASE },
        LeaseConfig { max_pause: Span::millis(700), ..LEASE },
        LeaseConfig { max_clock_drift: 0.5, ..LEASE },
        LeaseConfig { renew_interval: Span(0), ..LEASE },
    ];
    let results: Vec<String> = results.iter().map(|lease| format!("{:?}", lease.validate())).collect();
    insta::assert_snapshot!(results.join("\n"));
}

#[test]
fn a_fence_rejects_older_tokens() {
    let mut fence = Fence::default();
    let results = [("a", 5), ("a", 5), ("b", 1), ("a", 4), ("a", 9), ("a", 5), ("c", 0)];
    let results: Vec<String> = results
        .iter()
        .map(|(duty, number)| format!("{duty} {number}: {:?}", fence.check(duty, *number)))
        .collect();
    assert_eq!(fence.rejected, 3);
    insta::assert_snapshot!(results.join("\n"));
    for duty in 0..2 * MAX_DUTIES {
        let _ = fence.check(&format!("x{duty}"), 1);
    }
    assert_eq!(fence.check("a", 9), Ok(()), "known duties stay known");
}
