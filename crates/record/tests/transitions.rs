//! The transitions of the record, one by one.

use pewtergap_record::*;
use std::fmt::Write;

fn order(id: u64, issued_at_ms: u64, expires_at_ms: u64, action: OrderAction) -> Command {
    let order = Order {
        issued_by: "an operator".into(),
        reason: "a test".into(),
        expires_at_ms,
        action: Some(action),
        ..Order::default()
    };
    Command { id, issued_at_ms, kind: Some(CommandKind::Order(order)) }
}

fn drain(id: u64, started: u64, notified_at_ms: u64) -> Command {
    let drain = Drain { server: "s1".into(), started, notified_at_ms, grace_ms: 5_000 };
    Command { id, issued_at_ms: notified_at_ms, kind: Some(CommandKind::Drain(drain)) }
}

fn number(id: u64, issued_at_ms: u64) -> Command {
    Command {
        id,
        issued_at_ms,
        kind: Some(CommandKind::AllocateStartNumber(AllocateStartNumber {
            planner: "a".into(),
            at_least: if id == 11 { 40 } else { 0 },
        })),
    }
}

fn clean(now_ms: u64) -> Command {
    Command {
        id: 99,
        issued_at_ms: now_ms,
        kind: Some(CommandKind::Cleanup(Cleanup { now_ms, fencing_token: 0 })),
    }
}

#[test]
fn every_transition_and_its_outcome() {
    let mut record = Record::default();
    let mut trace = String::new();
    let hour = 3_600_000;
    let steps = [
        order(1, 1_000, 0, OrderAction::Drain("s1".into())),
        order(1, 1_000, 0, OrderAction::Drain("s1".into())),
        order(2, 1_001, 9_000, OrderAction::SetWeight(Weight { server: "s2".into(), weight: 0.5 })),
        order(3, 1_002, 0, OrderAction::Undrain("s1".into())),
        order(4, 1_003, 0, OrderAction::SetCap(Cap { route: "search".into(), level: 0.5 })),
        order(5, 1_004, 0, OrderAction::SetCap(Cap { route: "search".into(), level: 0.2 })),
        number(6, 1_005),
        number(7, 1_006),
        number(6, 1_005),
        drain(8, 100, 2_000),
        drain(9, 100, 3_000),
        drain(10, 200, 4_000),
        clean(10_000),
        clean(hour),
        order(1, 1_000, 0, OrderAction::Drain("s1".into())),
        number(11, hour),
    ];
    for (index, command) in (1..).zip(&steps) {
        let outcome = record.apply(index, command);
        let orders: Vec<String> = record
            .orders()
            .map(|(_, s)| {
                s.order.as_ref().and_then(|o| o.action.as_ref()).map_or(String::new(), OrderAction::describe)
            })
            .collect();
        let drains: Vec<String> = record
            .drains()
            .map(|d| format!("{}@{} from {}", d.server, d.started, d.notified_at_ms))
            .collect();
        let _ = writeln!(trace, "{index:>2} {outcome:?} | {} | {}", orders.join(", "), drains.join(", "));
        assert_eq!(
            Record::decode_snapshot(&record.encode_snapshot()).as_ref(),
            Ok(&record),
            "through a snapshot at {index}"
        );
    }
    insta::assert_snapshot!(trace);
}

#[test]
fn invalid_commands_are_rejected_with_a_reason() {
    let long = "x".repeat(300);
    let actions = [
        OrderAction::Drain(String::new()),
        OrderAction::Drain("a\nb".into()),
        OrderAction::Drain(long),
        OrderAction::SetWeight(Weight { server: "s".into(), weight: f64::NAN }),
        OrderAction::SetWeight(Weight { server: "s".into(), weight: 0.0 }),
        OrderAction::SetCap(Cap { route: "r".into(), level: 1.5 }),
        OrderAction::ClearCap(String::new()),
    ];
    let mut results: Vec<String> =
        actions.into_iter().map(|action| format!("{:?}", order(1, 1, 0, action).check())).collect();
    results.push(format!("{:?}", order(0, 1, 0, OrderAction::Drain("s".into())).check()));
    results.push(format!("{:?}", Command { id: 1, issued_at_ms: 1, kind: None }.check()));
    results.push(format!("{:?}", order(1, 1, 0, OrderAction::Drain("s".into())).check()));
    insta::assert_snapshot!(results.join("\n"));
}

#[test]
fn orders_in_force_and_remembered_ids_are_limited() {
    let mut record = Record::default();
    for at in 0..MAX_ORDERS as u64 {
        let action = OrderAction::Drain(format!("s{at}"));
        assert_eq!(record.apply(at + 1, &order(at + 1, 5, 0, action)), Outcome::Applied(at + 1));
    }
    let rejected = record.apply(1 << 20, &order(1 << 20, 5, 0, OrderAction::Drain("one more".into())));
    assert!(matches!(rejected, Outcome::Rejected(_)), "{rejected:?}");
    // A subject that already has an order does not count against the limit, and revoking an order makes room.
    assert_eq!(record.apply(2, &order(1 << 21, 5, 0, OrderAction::Drain("s7".into()))), Outcome::Applied(2));
    assert_eq!(
        record.apply(3, &order(1 << 22, 5, 0, OrderAction::Undrain("s7".into()))),
        Outcome::Applied(3)
    );
    assert_eq!(
        record.apply(4, &order(1 << 23, 5, 0, OrderAction::Drain("one more".into()))),
        Outcome::Applied(4)
    );
    // A rejected command stays rejected under its id, since its issuer may already have been told.
    assert_eq!(record.apply(5, &order(1 << 20, 5, 0, OrderAction::Drain("one more".into()))), rejected);
}

#[test]
fn planner_commands_do_not_count_against_the_limit_of_orders() {
    let mut record = Record::default();
    // In format 1 planners' commands shared the limit with orders; 111 per second used it up within a quarter
    // of an hour.
    assert_eq!((record.format(), record.apply(1, &number(1, 5))), (1, Outcome::Applied(1)));
    let raise = Command { id: 2, issued_at_ms: 5, kind: Some(CommandKind::RaiseFormat(2)) };
    assert_eq!((record.apply(2, &raise), record.format()), (Outcome::Applied(2), 2));
    let count = MAX_IDS as u64 + 10;
    for id in 100..100 + count {
        assert_eq!(record.apply(id, &drain(id, id, 5)), Outcome::Applied(id));
    }
    assert_eq!(record.apply(3, &order(50, 5, 0, OrderAction::Drain("s2".into()))), Outcome::Applied(3));
    // An id is remembered for as long as it may be retried; repeating a forgotten drain changes nothing.
    assert_eq!(record.apply(4, &drain(100 + count - 1, 7, 5)), Outcome::Applied(100 + count - 1));
    assert_eq!(record.past_outcome(100), None);
    record.apply(5, &drain(100, 100, 5));
    assert!(record.is_drained("s1", 100 + count - 1), "the newest one is kept");
    assert!(record.encode_snapshot().len() < 300_000, "{}", record.encode_snapshot().len());
    assert_eq!(Record::decode_snapshot(&record.encode_snapshot()), Ok(record.clone()));
    // The format is never lowered, and a snapshot of a newer format is refused.
    record.apply(6, &Command { id: 3, issued_at_ms: 5, kind: Some(CommandKind::RaiseFormat(1)) });
    assert_eq!(record.format(), 2);
    record.apply(
        7,
        &Command { id: 4, issued_at_ms: 5, kind: Some(CommandKind::RaiseFormat(SUPPORTED_FORMATS.1 + 1)) },
    );
    let rejected = Record::decode_snapshot(&record.encode_snapshot());
    assert!(
        rejected
            .as_ref()
            .is_err_and(|reason| reason.contains(&format!("stands at format {}", SUPPORTED_FORMATS.1 + 1))),
        "{rejected:?}"
    );
}

#[test]
fn duty_and_accounting_transitions() {
    let mut record = Record::default();
    let assign = |duty: &str, to, number| {
        CommandKind::AssignDuty(AssignDuty {
            duty: duty.into(),
            holder: to,
            holder_name: format!("p{to}"),
            expected_fencing_token: number,
        })
    };
    let release = |duty: &str, number| {
        CommandKind::ReleaseDuty(ReleaseDuty { duty: duty.into(), fencing_token: number })
    };
    let pin = |duty: &str| {
        CommandKind::PinDuty(PinDuty {
            duty: duty.into(),
            planner: "p2".into(),
            issued_by: "x".into(),
            reason: "y".into(),
        })
    };
    let close = |period, number| {
        CommandKind::ClosePeriod(PeriodReport { period, fencing_token: number, usage: Vec::new() })
    };
    let delivered = |period, number| {
        CommandKind::PeriodDelivered(PeriodReport { period, fencing_token: number, usage: Vec::new() })
    };
    let cleanup = |number| CommandKind::Cleanup(Cleanup { now_ms: 1, fencing_token: number });
    let steps = [
        CommandKind::RaiseFormat(2),
        assign(ACCOUNTING_DUTY, 1, 0),
        assign(ACCOUNTING_DUTY, 3, 0),
        close(10, 2),
        close(11, 2),
        delivered(12, 2),
        release(ACCOUNTING_DUTY, 1),
        release(ACCOUNTING_DUTY, 2),
        delivered(10, 2),
        assign(ACCOUNTING_DUTY, 2, 2),
        delivered(10, 2),
        close(11, 10),
        delivered(11, 10),
        pin("nothing"),
        pin(ACCOUNTING_DUTY),
        cleanup(0),
        assign(CLEANING_DUTY, 1, 0),
        cleanup(0),
        cleanup(17),
    ];
    let mut trace = String::new();
    for (index, kind) in (1..).zip(steps) {
        let answer = record.apply(index, &Command { id: index, issued_at_ms: 5, kind: Some(kind) });
        let duties: Vec<String> = record
            .duties()
            .iter()
            .map(|(n, d)| format!("{n} {} {} {}", d.holder, d.fencing_token, d.pinned_to))
            .collect();
        let _ =
            writeln!(trace, "{index:>2} {answer:?} | {} | {:?}", duties.join(", "), record.accounting().0);
        assert_eq!(
            Record::decode_snapshot(&record.encode_snapshot()).as_ref(),
            Ok(&record),
            "through a snapshot at {index}"
        );
    }
    insta::assert_snapshot!(trace);
}

#[test]
fn duties_pinned_to_a_removed_planner_are_found() {
    let mut record = Record::default();
    for (id, duty, to) in [(1, "books", "a"), (2, "release", "b"), (3, "cleaning", "")] {
        let assign =
            AssignDuty { duty: duty.into(), holder: 7, holder_name: "a".into(), expected_fencing_token: 0 };
        record.apply(id, &Command { id, issued_at_ms: 5, kind: Some(CommandKind::AssignDuty(assign)) });
        let pin =
            PinDuty { duty: duty.into(), planner: to.into(), issued_by: "x".into(), reason: "y".into() };
        record
            .apply(id + 10, &Command { id: id + 10, issued_at_ms: 5, kind: Some(CommandKind::PinDuty(pin)) });
    }
    assert_eq!(record.duties_pinned_to_absent(|name| name == "a"), ["release"]);
    assert_eq!(record.duties_pinned_to_absent(|_| false), ["books", "release"]);
}

#[test]
fn budget_shifts_always_add_up_to_the_total() {
    use pewtergap_shares::{Shift, TOTAL_UNITS};
    let mut record = Record::default();
    let mut trace = String::new();
    let claim = |by, start| Shift::Claim { by, start, base: 100_000, founders: 3, founded: by < 4 };
    let shifts = [
        claim(1, 1),
        claim(2, 1),
        Shift::Deal { to: 1, units: 800_000, number: 1 },
        Shift::Deal { to: 1, units: 600_000, number: 1 },
        // The base reserved for the third founder is not dealt out.
        Shift::Deal { to: 2, units: 100_001, number: 2 },
        Shift::Back { from: 1, units: 50_000, number: 1 },
        Shift::Back { from: 1, units: 50_000, number: 4 },
        claim(1, 2),
        // Commands of an earlier start, and decisions made before the units came back, are rejected.
        claim(1, 1),
        Shift::Back { from: 1, units: 50_000, number: 7 },
        claim(3, 1),
        claim(9, 1),
        Shift::End { of: 2, number: 2 },
        Shift::End { of: 2, number: 2 },
    ];
    for (index, shift) in (1..).zip(&shifts) {
        let command = Command {
            id: index,
            issued_at_ms: 1_000,
            kind: Some(CommandKind::BudgetShift(BudgetShift::of("cold", shift))),
        };
        assert_eq!(BudgetShift::of("cold", shift).shift(), Some(*shift));
        let outcome = record.apply(index, &command);
        let budget = record.budget("cold").expect("the budget");
        assert_eq!(budget.total(), TOTAL_UNITS);
        let held: Vec<String> = budget
            .holdings
            .iter()
            .map(|(id, h)| format!("{id}: {}+{} #{}", h.base, h.extra, h.version))
            .collect();
        writeln!(trace, "{index} {outcome:?}; free {}, {}", budget.free, held.join(", ")).expect("written");
    }
    assert_eq!(
        Record::decode_snapshot(&record.encode_snapshot()).expect("a snapshot").budget("cold"),
        record.budget("cold")
    );
    insta::assert_snapshot!(trace);
}
