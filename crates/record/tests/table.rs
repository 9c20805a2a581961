//! The table of the record, row by row.

use pewtergap_record::*;
use std::fmt::Write;

fn order(id: u64, given: u64, until: u64, wish: OrderAction) -> Command {
    let order = Order {
        issued_by: "an operator".into(),
        reason: "a test".into(),
        expires_at_ms: until,
        action: Some(wish),
        ..Order::default()
    };
    Command { id, issued_at_ms: given, kind: Some(CommandKind::Order(order)) }
}

fn drain(id: u64, started: u64, told: u64) -> Command {
    let drain = Drain { server: "s1".into(), started, notified_at_ms: told, grace_ms: 5_000 };
    Command { id, issued_at_ms: told, kind: Some(CommandKind::Drain(drain)) }
}

fn number(id: u64, given: u64) -> Command {
    Command {
        id,
        issued_at_ms: given,
        kind: Some(CommandKind::AllocateStartNumber(AllocateStartNumber {
            planner: "a".into(),
            at_least: if id == 11 { 40 } else { 0 },
        })),
    }
}

fn clean(now: u64) -> Command {
    Command {
        id: 99,
        issued_at_ms: now,
        kind: Some(CommandKind::Cleanup(Cleanup { now_ms: now, fencing_token: 0 })),
    }
}

#[test]
fn each_row_of_the_table() {
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
        let answer = record.apply(index, command);
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
        let _ = writeln!(trace, "{index:>2} {answer:?} | {} | {}", orders.join(", "), drains.join(", "));
        assert_eq!(
            Record::decode_snapshot(&record.encode_snapshot()).as_ref(),
            Ok(&record),
            "through a snapshot at {index}"
        );
    }
    insta::assert_snapshot!(trace);
}

#[test]
fn what_nobody_may_order_is_named() {
    let long = "x".repeat(300);
    let wishes = [
        OrderAction::Drain(String::new()),
        OrderAction::Drain("a\nb".into()),
        OrderAction::Drain(long),
        OrderAction::SetWeight(Weight { server: "s".into(), weight: f64::NAN }),
        OrderAction::SetWeight(Weight { server: "s".into(), weight: 0.0 }),
        OrderAction::SetCap(Cap { route: "r".into(), level: 1.5 }),
        OrderAction::ClearCap(String::new()),
    ];
    let mut told: Vec<String> =
        wishes.into_iter().map(|wish| format!("{:?}", order(1, 1, 0, wish).check())).collect();
    told.push(format!("{:?}", order(0, 1, 0, OrderAction::Drain("s".into())).check()));
    told.push(format!("{:?}", Command { id: 1, issued_at_ms: 1, kind: None }.check()));
    told.push(format!("{:?}", order(1, 1, 0, OrderAction::Drain("s".into())).check()));
    insta::assert_snapshot!(told.join("\n"));
}

#[test]
fn what_is_in_force_and_remembered_is_bounded() {
    let mut record = Record::default();
    for at in 0..MAX_ORDERS as u64 {
        let wish = OrderAction::Drain(format!("s{at}"));
        assert_eq!(record.apply(at + 1, &order(at + 1, 5, 0, wish)), Outcome::Applied(at + 1));
    }
    let more = record.apply(1 << 20, &order(1 << 20, 5, 0, OrderAction::Drain("one more".into())));
    assert!(matches!(more, Outcome::Rejected(_)), "{more:?}");
    // On a subject that has one there is room, and taking back makes some.
    assert_eq!(record.apply(2, &order(1 << 21, 5, 0, OrderAction::Drain("s7".into()))), Outcome::Applied(2));
    assert_eq!(
        record.apply(3, &order(1 << 22, 5, 0, OrderAction::Undrain("s7".into()))),
        Outcome::Applied(3)
    );
    assert_eq!(
        record.apply(4, &order(1 << 23, 5, 0, OrderAction::Drain("one more".into()))),
        Outcome::Applied(4)
    );
    // What was refused stays refused under its id: its answer may be known somewhere already.
    assert_eq!(record.apply(5, &order(1 << 20, 5, 0, OrderAction::Drain("one more".into()))), more);
}

#[test]
fn planners_own_commands_never_fill_the_places_of_operators_orders() {
    let mut record = Record::default();
    // In format 1 they did, at 111 a second over a quarter of an hour.
    assert_eq!((record.format(), record.apply(1, &number(1, 5))), (1, Outcome::Applied(1)));
    let raise = Command { id: 2, issued_at_ms: 5, kind: Some(CommandKind::RaiseFormat(2)) };
    assert_eq!((record.apply(2, &raise), record.format()), (Outcome::Applied(2), 2));
    let many = MAX_IDS as u64 + 10;
    for id in 100..100 + many {
        assert_eq!(record.apply(id, &drain(id, id, 5)), Outcome::Applied(id));
    }
    assert_eq!(record.apply(3, &order(50, 5, 0, OrderAction::Drain("s2".into()))), Outcome::Applied(3));
    // Remembered as far as anybody still asks; forgotten, a drain given again changes nothing.
    assert_eq!(record.apply(4, &drain(100 + many - 1, 7, 5)), Outcome::Applied(100 + many - 1));
    assert_eq!(record.past_outcome(100), None);
    record.apply(5, &drain(100, 100, 5));
    assert!(record.is_drained("s1", 100 + many - 1), "the newest stays");
    assert!(record.encode_snapshot().len() < 300_000, "{}", record.encode_snapshot().len());
    assert_eq!(Record::decode_snapshot(&record.encode_snapshot()), Ok(record.clone()));
    // Never back, and what a newer build wrote is refused.
    record.apply(6, &Command { id: 3, issued_at_ms: 5, kind: Some(CommandKind::RaiseFormat(1)) });
    assert_eq!(record.format(), 2);
    record.apply(
        7,
        &Command { id: 4, issued_at_ms: 5, kind: Some(CommandKind::RaiseFormat(SUPPORTED_FORMATS.1 + 1)) },
    );
    let refused = Record::decode_snapshot(&record.encode_snapshot());
    assert!(
        refused
            .as_ref()
            .is_err_and(|why| why.contains(&format!("stands at format {}", SUPPORTED_FORMATS.1 + 1))),
        "{refused:?}"
    );
}

#[test]
fn duties_and_books_row_by_row() {
    let mut record = Record::default();
    let give = |duty: &str, to, number| {
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
    let hand = |duty: &str| {
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
    let arrived = |period, number| {
        CommandKind::PeriodDelivered(PeriodReport { period, fencing_token: number, usage: Vec::new() })
    };
    let clean = |number| CommandKind::Cleanup(Cleanup { now_ms: 1, fencing_token: number });
    let steps = [
        CommandKind::RaiseFormat(2),
        give(ACCOUNTING_DUTY, 1, 0),
        give(ACCOUNTING_DUTY, 3, 0),
        close(10, 2),
        close(11, 2),
        arrived(12, 2),
        release(ACCOUNTING_DUTY, 1),
        release(ACCOUNTING_DUTY, 2),
        arrived(10, 2),
        give(ACCOUNTING_DUTY, 2, 2),
        arrived(10, 2),
        close(11, 10),
        arrived(11, 10),
        hand("nothing"),
        hand(ACCOUNTING_DUTY),
        clean(0),
        give(CLEANING_DUTY, 1, 0),
        clean(0),
        clean(17),
    ];
    let mut trace = String::new();
    for (index, what) in (1..).zip(steps) {
        let answer = record.apply(index, &Command { id: index, issued_at_ms: 5, kind: Some(what) });
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
fn what_an_operator_wanted_at_a_planner_that_left_is_found() {
    let mut record = Record::default();
    for (id, duty, to) in [(1, "books", "a"), (2, "release", "b"), (3, "cleaning", "")] {
        let give =
            AssignDuty { duty: duty.into(), holder: 7, holder_name: "a".into(), expected_fencing_token: 0 };
        record.apply(id, &Command { id, issued_at_ms: 5, kind: Some(CommandKind::AssignDuty(give)) });
        let hand =
            PinDuty { duty: duty.into(), planner: to.into(), issued_by: "x".into(), reason: "y".into() };
        record.apply(
            id + 10,
            &Command { id: id + 10, issued_at_ms: 5, kind: Some(CommandKind::PinDuty(hand)) },
        );
    }
    assert_eq!(record.duties_pinned_to_absent(|name| name == "a"), ["release"]);
    assert_eq!(record.duties_pinned_to_absent(|_| false), ["books", "release"]);
}

#[test]
fn parts_of_a_budget_go_from_hand_to_hand_and_come_to_the_whole() {
    use pewtergap_shares::{Shift, TOTAL_UNITS};
    let mut record = Record::default();
    let mut trace = String::new();
    let claim = |by, start| Shift::Claim { by, start, base: 100_000, founders: 3, founded: by < 4 };
    let shifts = [
        claim(1, 1),
        claim(2, 1),
        Shift::Deal { to: 1, units: 800_000, number: 1 },
        Shift::Deal { to: 1, units: 600_000, number: 1 },
        // Of the third founder's base nothing is dealt out.
        Shift::Deal { to: 2, units: 100_001, number: 2 },
        Shift::Back { from: 1, units: 50_000, number: 1 },
        Shift::Back { from: 1, units: 50_000, number: 4 },
        claim(1, 2),
        // An earlier start's word, and what was decided before it came back.
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
        let answer = record.apply(index, &command);
        let budget = record.budget("cold").expect("it is parted");
        assert_eq!(budget.total(), TOTAL_UNITS);
        let held: Vec<String> = budget
            .holdings
            .iter()
            .map(|(id, h)| format!("{id}: {}+{} #{}", h.base, h.extra, h.version))
            .collect();
        writeln!(trace, "{index} {answer:?}; free {}, {}", budget.free, held.join(", ")).expect("written");
    }
    assert_eq!(
        Record::decode_snapshot(&record.encode_snapshot()).expect("an image").budget("cold"),
        record.budget("cold")
    );
    insta::assert_snapshot!(trace);
}
