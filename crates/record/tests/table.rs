//! The table of the record, row by row.

use pewtergap_record::*;
use std::fmt::Write;

fn order(id: u64, given: u64, until: u64, wish: Wish) -> Command {
    let order = Order {
        who: "an operator".into(),
        why: "a test".into(),
        until,
        wish: Some(wish),
        ..Order::default()
    };
    Command { id, given, what: Some(What::Order(order)) }
}

fn drain(id: u64, started: u64, told: u64) -> Command {
    let drain = Drain { server: "s1".into(), started, told, grace: 5_000 };
    Command { id, given: told, what: Some(What::Drain(drain)) }
}

fn number(id: u64, given: u64) -> Command {
    Command {
        id,
        given,
        what: Some(What::TakeNumber(TakeNumber {
            planner: "a".into(),
            least: if id == 11 { 40 } else { 0 },
        })),
    }
}

fn clean(now: u64) -> Command {
    Command { id: 99, given: now, what: Some(What::Clean(Clean { now, number: 0 })) }
}

#[test]
fn each_row_of_the_table() {
    let mut record = Record::default();
    let mut trace = String::new();
    let hour = 3_600_000;
    let steps = [
        order(1, 1_000, 0, Wish::Drain("s1".into())),
        order(1, 1_000, 0, Wish::Drain("s1".into())),
        order(2, 1_001, 9_000, Wish::Weight(Weight { server: "s2".into(), weight: 0.5 })),
        order(3, 1_002, 0, Wish::TakeBack("s1".into())),
        order(4, 1_003, 0, Wish::Cap(Cap { route: "search".into(), level: 0.5 })),
        order(5, 1_004, 0, Wish::Cap(Cap { route: "search".into(), level: 0.2 })),
        number(6, 1_005),
        number(7, 1_006),
        number(6, 1_005),
        drain(8, 100, 2_000),
        drain(9, 100, 3_000),
        drain(10, 200, 4_000),
        clean(10_000),
        clean(hour),
        order(1, 1_000, 0, Wish::Drain("s1".into())),
        number(11, hour),
    ];
    for (index, command) in (1..).zip(&steps) {
        let answer = record.apply(index, command);
        let orders: Vec<String> = record
            .orders()
            .map(|(_, s)| s.order.as_ref().and_then(|o| o.wish.as_ref()).map_or(String::new(), Wish::words))
            .collect();
        let drains: Vec<String> =
            record.drains().map(|d| format!("{}@{} from {}", d.server, d.started, d.told)).collect();
        let _ = writeln!(trace, "{index:>2} {answer:?} | {} | {}", orders.join(", "), drains.join(", "));
        assert_eq!(Record::read(&record.write()).as_ref(), Ok(&record), "through a snapshot at {index}");
    }
    insta::assert_snapshot!(trace);
}

#[test]
fn what_nobody_may_order_is_named() {
    let long = "x".repeat(300);
    let wishes = [
        Wish::Drain(String::new()),
        Wish::Drain("a\nb".into()),
        Wish::Drain(long),
        Wish::Weight(Weight { server: "s".into(), weight: f64::NAN }),
        Wish::Weight(Weight { server: "s".into(), weight: 0.0 }),
        Wish::Cap(Cap { route: "r".into(), level: 1.5 }),
        Wish::Uncap(String::new()),
    ];
    let mut told: Vec<String> =
        wishes.into_iter().map(|wish| format!("{:?}", order(1, 1, 0, wish).check())).collect();
    told.push(format!("{:?}", order(0, 1, 0, Wish::Drain("s".into())).check()));
    told.push(format!("{:?}", Command { id: 1, given: 1, what: None }.check()));
    told.push(format!("{:?}", order(1, 1, 0, Wish::Drain("s".into())).check()));
    insta::assert_snapshot!(told.join("\n"));
}

#[test]
fn what_is_in_force_and_remembered_is_bounded() {
    let mut record = Record::default();
    for at in 0..MOST_ORDERS as u64 {
        let wish = Wish::Drain(format!("s{at}"));
        assert_eq!(record.apply(at + 1, &order(at + 1, 5, 0, wish)), Answer::Kept(at + 1));
    }
    let more = record.apply(1 << 20, &order(1 << 20, 5, 0, Wish::Drain("one more".into())));
    assert!(matches!(more, Answer::Refused(_)), "{more:?}");
    // On a subject that has one there is room, and taking back makes some.
    assert_eq!(record.apply(2, &order(1 << 21, 5, 0, Wish::Drain("s7".into()))), Answer::Kept(2));
    assert_eq!(record.apply(3, &order(1 << 22, 5, 0, Wish::TakeBack("s7".into()))), Answer::Kept(3));
    assert_eq!(record.apply(4, &order(1 << 23, 5, 0, Wish::Drain("one more".into()))), Answer::Kept(4));
    // What was refused stays refused under its id: its answer may be known somewhere already.
    assert_eq!(record.apply(5, &order(1 << 20, 5, 0, Wish::Drain("one more".into()))), more);
}

#[test]
fn planners_own_commands_never_fill_the_places_of_operators_orders() {
    let mut record = Record::default();
    // In format 1 they did, at 111 a second over a quarter of an hour.
    assert_eq!((record.format(), record.apply(1, &number(1, 5))), (1, Answer::Kept(1)));
    let raise = Command { id: 2, given: 5, what: Some(What::Raise(2)) };
    assert_eq!((record.apply(2, &raise), record.format()), (Answer::Kept(2), 2));
    let many = MOST_IDS as u64 + 10;
    for id in 100..100 + many {
        assert_eq!(record.apply(id, &drain(id, id, 5)), Answer::Kept(id));
    }
    assert_eq!(record.apply(3, &order(50, 5, 0, Wish::Drain("s2".into()))), Answer::Kept(3));
    // Remembered as far as anybody still asks; forgotten, a drain given again changes nothing.
    assert_eq!(record.apply(4, &drain(100 + many - 1, 7, 5)), Answer::Kept(100 + many - 1));
    assert_eq!(record.answered(100), None);
    record.apply(5, &drain(100, 100, 5));
    assert!(record.drained("s1", 100 + many - 1), "the newest stays");
    assert!(record.write().len() < 300_000, "{}", record.write().len());
    assert_eq!(Record::read(&record.write()), Ok(record.clone()));
    // Never back, and what a newer build wrote is refused.
    record.apply(6, &Command { id: 3, given: 5, what: Some(What::Raise(1)) });
    assert_eq!(record.format(), 2);
    record.apply(7, &Command { id: 4, given: 5, what: Some(What::Raise(FORMATS.1 + 1)) });
    let refused = Record::read(&record.write());
    assert!(
        refused.as_ref().is_err_and(|why| why.contains(&format!("stands at format {}", FORMATS.1 + 1))),
        "{refused:?}"
    );
}

#[test]
fn duties_and_books_row_by_row() {
    let mut record = Record::default();
    let give =
        |duty: &str, to, number| What::Give(Give { duty: duty.into(), to, name: format!("p{to}"), number });
    let release = |duty: &str, number| What::Release(Release { duty: duty.into(), number });
    let hand = |duty: &str| {
        What::Hand(Hand { duty: duty.into(), to: "p2".into(), who: "x".into(), why: "y".into() })
    };
    let close = |period, number| What::Close(Close { period, number, used: Vec::new() });
    let arrived = |period, number| What::Arrived(Close { period, number, used: Vec::new() });
    let clean = |number| What::Clean(Clean { now: 1, number });
    let steps = [
        What::Raise(2),
        give(BOOKS, 1, 0),
        give(BOOKS, 3, 0),
        close(10, 2),
        close(11, 2),
        arrived(12, 2),
        release(BOOKS, 1),
        release(BOOKS, 2),
        arrived(10, 2),
        give(BOOKS, 2, 2),
        arrived(10, 2),
        close(11, 10),
        arrived(11, 10),
        hand("nothing"),
        hand(BOOKS),
        clean(0),
        give(CLEANING, 1, 0),
        clean(0),
        clean(17),
    ];
    let mut trace = String::new();
    for (index, what) in (1..).zip(steps) {
        let answer = record.apply(index, &Command { id: index, given: 5, what: Some(what) });
        let duties: Vec<String> = record
            .duties()
            .iter()
            .map(|(n, d)| format!("{n} {} {} {}", d.holder, d.number, d.wanted))
            .collect();
        let _ = writeln!(trace, "{index:>2} {answer:?} | {} | {:?}", duties.join(", "), record.books().0);
        assert_eq!(Record::read(&record.write()).as_ref(), Ok(&record), "through a snapshot at {index}");
    }
    insta::assert_snapshot!(trace);
}

#[test]
fn what_an_operator_wanted_at_a_planner_that_left_is_found() {
    let mut record = Record::default();
    for (id, duty, to) in [(1, "books", "a"), (2, "release", "b"), (3, "cleaning", "")] {
        let give = Give { duty: duty.into(), to: 7, name: "a".into(), number: 0 };
        record.apply(id, &Command { id, given: 5, what: Some(What::Give(give)) });
        let hand = Hand { duty: duty.into(), to: to.into(), who: "x".into(), why: "y".into() };
        record.apply(id + 10, &Command { id: id + 10, given: 5, what: Some(What::Hand(hand)) });
    }
    assert_eq!(record.wanted_at_none(|name| name == "a"), ["release"]);
    assert_eq!(record.wanted_at_none(|_| false), ["books", "release"]);
}

#[test]
fn parts_of_a_budget_go_from_hand_to_hand_and_come_to_the_whole() {
    use pewtergap_shares::{Shift, WHOLE};
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
        let command = Command { id: index, given: 1_000, what: Some(What::Share(Share::of("cold", shift))) };
        assert_eq!(Share::of("cold", shift).shift(), Some(*shift));
        let answer = record.apply(index, &command);
        let budget = record.budget("cold").expect("it is parted");
        assert_eq!(budget.sum(), WHOLE);
        let held: Vec<String> = budget
            .holdings
            .iter()
            .map(|(id, h)| format!("{id}: {}+{} #{}", h.base, h.more, h.number))
            .collect();
        writeln!(trace, "{index} {answer:?}; free {}, {}", budget.free, held.join(", ")).expect("written");
    }
    assert_eq!(Record::read(&record.write()).expect("an image").budget("cold"), record.budget("cold"));
    insta::assert_snapshot!(trace);
}
