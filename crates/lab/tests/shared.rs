//! What the audit has to find of planners that share: recordings made by hand, each sound one and its break.

use pewtergap_lab::audit::{audit, Facts};
use pewtergap_lab::record::{Kind, Row};

const SECOND: u64 = 1_000_000_000;

fn day(rows: Vec<Row>) -> Vec<String> {
    let facts = Facts {
        day: "by hand".into(),
        seed: 1,
        started: 0,
        no_line: 0,
        drain_grace: 0,
        cold_from: 0.2,
        cold_for: 0,
        overload: 3.0,
        fall: 0,
        head: 3.0,
        most_waiting: 1e9,
        messages: 0,
        messages_over: 0,
        removal_binds: true,
        slowest: 1.0,
        routes: Vec::new(),
        asked: Some((6 * SECOND as i64, 4 * SECOND as i64)),
        struck: vec![(30 * SECOND as i64, 40 * SECOND as i64)],
        blind: vec![(60 * SECOND as i64, 70 * SECOND as i64)],
    };
    let first = Row { text: serde_json::to_string(&facts).expect("facts"), ..Row::new(0, Kind::Day, "", "") };
    let came = audit(&[vec![first], rows].concat()).expect("it is judged");
    came.breaches.iter().map(|breach| breach.to_string()).collect()
}

fn joined(at: u64, proxy: &str, planner: &str) -> Row {
    Row::new(at, Kind::Joined, proxy, planner)
}

fn counted(at: u64, least: f64, most: f64, lighter: &str) -> Row {
    let text = format!(
        "{{\"joined\":{{\"value\":{least},\"age_ms\":200,\"least\":{least},\"most\":{most},\"unheard\":0}},\"lighter\":{lighter}}}"
    );
    Row { m: at as i64 + 1_000_000, text, ..Row::new(at, Kind::Counted, "planner-1", "operator") }
}

#[test]
fn a_proxy_that_is_counted_twice_after_a_return_is_found() {
    let rows = |told: f64| {
        vec![
            joined(SECOND, "p1", "planner-1"),
            joined(SECOND, "p2", "planner-2"),
            Row::new(5 * SECOND, Kind::Left, "p2", "planner-2"),
            joined(5 * SECOND, "p2", "planner-1"),
            counted(9 * SECOND, told, told, "{}"),
        ]
    };
    assert_eq!(day(rows(2.0)), [""; 0]);
    let found = day(rows(3.0));
    assert_eq!(
        found,
        ["rule 6 at 9.000 s, planner planner-1: told of 3 to 3 joined proxies, it were 2 to 2"]
    );
}

#[test]
fn a_verdict_taken_from_hearsay_is_found() {
    let rows = |part: f64| vec![counted(9 * SECOND, 0.0, 0.0, &format!("{{\"10.0.0.1:80\":{part}}}"))];
    assert_eq!(day(rows(0.5)), [""; 0]);
    assert_eq!(day(rows(1.0)).len(), 1);
}

#[test]
fn a_server_that_nobody_asks_or_two_ask_for_long_is_found() {
    let probed = |at: u64, by: &str| Row::new(at, Kind::Probed, by, "s1");
    let asked = |from: u64, to: u64, by: &str| -> Vec<Row> {
        (from * 2..to * 2).map(|half| probed(half * SECOND / 2, by)).collect()
    };
    assert_eq!(day(asked(5, 25, "planner-1")), [""; 0]);
    let gap = day([asked(5, 10, "planner-1"), asked(18, 20, "planner-2")].concat());
    assert_eq!(gap, ["rule 6 at 18.000 s, server s1: nobody asked how it is for 8.5 s"]);
    // Behind a cut nobody can be seen to ask.
    assert_eq!(day([asked(55, 59, "planner-1"), asked(68, 72, "planner-1")].concat()), [""; 0]);
    // Nor is one asked that an operator drains.
    let listed = Row {
        route: "running".into(),
        text: "s1".into(),
        ..Row::new(SECOND, Kind::Listed, "list", "planner-1")
    };
    let order = |at: u64, what: &str| Row {
        route: what.into(),
        text: "s1".into(),
        ..Row::new(at * SECOND, Kind::Ordered, "operator", "planner-1")
    };
    let drained = vec![listed, order(11, "drain"), order(17, "take-back")];
    assert_eq!(day([drained, asked(5, 11, "planner-1"), asked(19, 21, "planner-1")].concat()), [""; 0]);
    let two = day([asked(5, 15, "planner-1"), asked(5, 15, "planner-2")].concat());
    assert!(two.first().is_some_and(|two| two.contains("asked by 2 planners for 4.5 s")), "{two:?}");
    // While planners are struck each may have to ask for itself.
    let struck = [asked(29, 43, "planner-1"), asked(30, 43, "planner-2")].concat();
    assert_eq!(day(struck), [""; 0]);
}
