//! Races between inputs of one poll, or between a timer and an input. Their order cannot be forced from outside the
//! process, so the tests drive the node directly. Rows of docs/crossings.md name these tests.

mod harness;

use harness::*;
use pewtergap_node::{Effect, Ended, Input, Link};
use pewtergap_time::Span;

fn server_row(name: &str, port: u16, started: u64) -> String {
    format!(
        r#"{{"uid":"{name}","endpoint":"127.0.0.3:{port}","az":"a","model":"m","pod_group":3,"state":"Ready",
        "capacity_hint":1.0,"boot_ms":{started}}}"#
    )
}

/// A planner whose list has one server, and its connection to discovery.
fn planner_with_server(server: &str) -> (Harness, Link) {
    let mut harness = Harness::new(&settings(10, 256));
    harness.join(1);
    let list = harness.latest_connection(85);
    harness.input(Input::Opened { link: list });
    harness.answer_list(list, &format!(r#"{{"rev":5,"all":true,"targets":[{server}]}}"#));
    harness.advance(600);
    (harness, list)
}

const VALID_REPORT: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\ninflight=";

#[test]
fn what_a_server_says_from_its_former_address_or_start_is_not_told_of_the_present_one() {
    for present in [server_row("s-9", 902, 0), server_row("s-9", 901, 1_700_000_000_500)] {
        let (mut harness, list) = planner_with_server(&server_row("s-9", 901, 0));
        let former = harness.latest_connection(901);
        harness.input(Input::Opened { link: former });
        let connects_before = harness.connects.len();
        harness.answer_list(list, &format!(r#"{{"rev":6,"all":false,"targets":[{present}]}}"#));
        let seen = harness.take_output();
        assert!(seen.contains(&format!("{}: cut", former.0)), "the old one's probe is aborted: {seen}");
        assert_eq!(harness.connects.len(), connects_before + 1, "the new one is probed at once");
        // The old connection's end, which was already on its way, is attributed to no probe.
        harness.input(Input::Closed { link: former, why: Ended::Reset });
        harness.advance(399);
        assert_eq!(harness.failed_probes, Vec::<String>::new());
    }
}

#[test]
fn a_server_that_leaves_and_comes_back_under_its_name_is_asked_anew() {
    let (mut harness, list) = planner_with_server(&server_row("s-9", 901, 0));
    let former = harness.latest_connection(901);
    harness.input(Input::Opened { link: former });
    harness.answer_list(list, r#"{"rev":6,"all":true,"targets":[]}"#);
    assert!(harness.take_output().contains(&format!("{}: cut", former.0)));
    harness
        .answer_list(list, &format!(r#"{{"rev":7,"all":true,"targets":[{}]}}"#, server_row("s-9", 901, 0)));
    harness.input(Input::Closed { link: former, why: Ended::Reset });
    harness.advance(2_500);
    assert_ne!(harness.latest_connection(901), former, "probed again");
    assert!(!harness.failed_probes.iter().any(|probe| probe.contains("dead")), "{:?}", harness.failed_probes);
}

#[test]
fn a_server_whose_list_entry_says_nothing_new_is_not_asked_again_for_it() {
    let (mut harness, list) = planner_with_server(&server_row("s-9", 901, 0));
    let probe = harness.latest_connection(901);
    harness.input(Input::Opened { link: probe });
    let leaves = server_row("s-9", 901, 0).replace("Ready", "Terminating");
    harness.answer_list(list, &format!(r#"{{"rev":6,"all":false,"targets":[{leaves}]}}"#));
    assert!(!harness.take_output().contains(&format!("{}: cut", probe.0)));
}

#[test]
fn a_probe_for_which_this_side_has_no_room_says_nothing_of_the_server() {
    let (mut harness, _) = planner_with_server(&server_row("s-9", 901, 0));
    for _ in 0..4 {
        let probe = harness.latest_connection(901);
        harness.input(Input::Closed { link: probe, why: Ended::Unavailable });
        while harness.latest_connection(901) == probe {
            harness.advance(100);
        }
    }
    assert_eq!(
        harness.failed_probes,
        Vec::<String>::new(),
        "a server with four timed-out probes would have lost its share"
    );
}

#[test]
fn an_answer_in_the_round_of_its_deadline_counts_as_it_came_first() {
    // The reactor reads before it checks timers; either order must be handled.
    let (mut harness, _) = planner_with_server(&server_row("s-9", 901, 0));
    let probe = harness.latest_connection(901);
    harness.input(Input::Opened { link: probe });
    harness.input(Input::Bytes { link: probe, bytes: VALID_REPORT });
    harness.advance(1_000);
    assert!(
        !harness.failed_probes.iter().any(|probe| probe.starts_with("s-9")),
        "{:?}",
        harness.failed_probes
    );
    let (mut harness, _) = planner_with_server(&server_row("s-9", 901, 0));
    let probe = harness.latest_connection(901);
    harness.input(Input::Opened { link: probe });
    harness.advance(1_000);
    harness.input(Input::Bytes { link: probe, bytes: VALID_REPORT });
    assert_eq!(harness.failed_probes.last().map(String::as_str), Some("s-9 silent"));
}

#[test]
fn a_list_that_comes_in_pieces_is_waited_for_while_it_comes_and_not_for_ever() {
    let mut harness = Harness::new(&settings(10, 256));
    let list = harness.latest_connection(85);
    harness.input(Input::Opened { link: list });
    let body = format!(r#"{{"rev":5,"all":true,"targets":[{}]}}"#, server_row("s-9", 901, 0));
    let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    let lists_before = harness.list_events;
    for piece in answer.as_bytes().chunks(answer.len().div_ceil(6)) {
        harness.input(Input::Bytes { link: list, bytes: piece });
        harness.advance(500);
    }
    assert_eq!(
        (harness.list_events, harness.latest_connection(85)),
        (lists_before + 1, list),
        "applied, and the connection is kept"
    );
    // The answer to the watch trickles in without end.
    let start = harness.now;
    harness.input(Input::Bytes { link: list, bytes: b"HTTP/1.1 200 OK\r\ncontent-length: 5000\r\n\r\n" });
    while harness.latest_connection(85) == list {
        harness.input(Input::Bytes { link: list, bytes: b" " });
        harness.advance(100);
        assert!(harness.now.since(start) < Span::millis(5_500), "a change could already count as announced");
    }
}

#[test]
fn a_dial_that_stands_after_it_was_given_up_is_asked_nothing() {
    let mut harness = Harness::new(&settings(10, 256));
    let timed_out = harness.latest_connection(85);
    while harness.latest_connection(85) == timed_out {
        harness.advance(10);
    }
    harness.take_output();
    harness.input(Input::Opened { link: timed_out });
    harness.answer_list(timed_out, r#"{"rev":9,"all":true,"targets":[]}"#);
    assert_eq!(
        (harness.take_output(), harness.list_events),
        (String::new(), 1),
        "only the saved list was applied"
    );
    let present = harness.latest_connection(85);
    harness.input(Input::Opened { link: present });
    assert!(harness.take_output().starts_with(&format!("{}: GET /discovery/hosts", present.0)));
}

#[test]
fn however_many_signals_come_the_file_is_read_again_by_one_timer() {
    let mut harness = Harness::new(&settings(10, 256));
    for _ in 0..50 {
        harness.input(Input::Reload);
        harness.input(Input::File { name: "config.json", bytes: Ok(b"{") });
    }
    harness.effects.clear();
    let fetched = |harness: &Harness| {
        harness.effects.iter().filter(|effect| matches!(effect, Effect::ReadFile { .. })).count()
    };
    let mut before = 0;
    for _ in 0..100 {
        harness.advance(100);
        if fetched(&harness) > before {
            before = fetched(&harness);
            harness.input(Input::File { name: "config.json", bytes: Ok(b"{") });
        }
    }
    assert!((10..=15).contains(&before), "five quick retries, then one a second: {before} in 10 s");
}

#[test]
fn a_signal_while_the_next_reading_is_a_second_away_has_the_file_read_soon_again() {
    let mut harness = Harness::new(&settings(10, 256));
    let send_invalid_file =
        |harness: &mut Harness| harness.input(Input::File { name: "config.json", bytes: Ok(b"{") });
    let fetched = |harness: &mut Harness, ms: u64| {
        harness.effects.clear();
        harness.advance(ms);
        harness.effects.iter().any(|effect| matches!(effect, Effect::ReadFile { .. }))
    };
    harness.input(Input::Reload);
    send_invalid_file(&mut harness);
    for _ in 0..5 {
        assert!(fetched(&mut harness, 100));
        send_invalid_file(&mut harness);
    }
    assert!(!fetched(&mut harness, 300), "from here on, one retry a second");
    harness.input(Input::Reload);
    send_invalid_file(&mut harness);
    assert!(fetched(&mut harness, 100), "the new file may be in the middle of its replacement");
}

#[test]
fn one_that_answers_at_once_and_closes_each_time_is_dialled_at_a_pace() {
    let mut harness = Harness::new(&settings(10, 256));
    let connects_before = harness.connects.len();
    let mut connection = harness.latest_connection(85);
    let end = harness.now + Span::millis(1_000);
    let body = r#"{"rev":5,"all":false,"targets":[]}"#;
    let answer =
        format!("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    while harness.now < end && harness.connects.len() < 100 {
        harness.input(Input::Opened { link: connection });
        harness.input(Input::Bytes { link: connection, bytes: answer.as_bytes() });
        while harness.latest_connection(85) == connection && harness.now < end {
            harness.advance(1);
        }
        connection = harness.latest_connection(85);
    }
    let connects =
        harness.connects.iter().skip(connects_before).filter(|connect| connect.1.port() == 85).count();
    assert!((5..=26).contains(&connects), "{connects} connects in a second");
}

#[test]
fn the_address_is_tried_for_ten_seconds_and_then_given_up() {
    let mut harness = Harness::new(&settings(10, 256));
    let start = harness.now;
    while !harness.effects.contains(&Effect::Exit { code: 3 }) {
        harness.input(Input::NotListening { listener: 0, why: "held".into() });
        harness.advance(100);
        assert!(harness.now.since(start) < Span::millis(10_500));
    }
    assert!(harness.now.since(start) > Span::millis(9_500));
}

#[test]
fn a_proxy_that_joins_and_leaves_within_one_turn_is_written_nothing_and_kept_by_nobody() {
    let mut harness = Harness::new(&settings(10, 256));
    harness.advance(10);
    harness.take_output();
    let short_lived = harness.join(3);
    harness.input(Input::Closed { link: short_lived, why: Ended::Reset });
    let (former, present) = (harness.join(4), harness.join(4));
    harness.input(Input::Closed { link: former, why: Ended::Done });
    harness.advance(200);
    let seen = harness.take_output();
    let got_config = |link: Link| seen.lines().any(|line| line.starts_with(&format!("{}: CONFIG", link.0)));
    assert_eq!(
        (got_config(short_lived), got_config(former), got_config(present)),
        (false, false, true),
        "{seen}"
    );
}

#[test]
fn a_collector_that_comes_again_after_each_cut_leaves_no_more_than_a_few_connections() {
    let mut harness = Harness::new(&settings(10, 256));
    let other = harness.accept();
    harness.send(other, "SOURCE az b");
    let proxy = harness.join(1);
    harness.advance(10);
    harness.take_output();
    let mut links = Vec::new();
    for _ in 0..1_000 {
        let link = harness.accept();
        harness.send(link, "SOURCE az a");
        harness.advance(5);
        links.push(link);
    }
    let seen = harness.take_output();
    let cut: Vec<bool> = links.iter().map(|link| seen.contains(&format!("{}: cut", link.0))).collect();
    assert!(cut[..996].iter().all(|cut| *cut), "the old connections are closed");
    assert!(!cut[996..].contains(&true), "the newest stay, since any of them may be the live one");
    for link in [other, proxy] {
        assert!(
            !seen.lines().any(|line| line == format!("{}: cut", link.0)),
            "no other connection is closed"
        );
    }
    harness.send(links[999], "PING");
    assert!(harness.take_output().contains("PONG"));
}

#[test]
fn a_flood_of_what_would_be_logged_is_counted_and_not_written() {
    let mut harness = Harness::new(&settings(400, 1024));
    let links: Vec<Link> = (0..400).map(|number| harness.join(number)).collect();
    harness.advance(100);
    let before = harness.log_lines;
    for link in links {
        harness.input(Input::Closed { link, why: Ended::Overflow });
    }
    assert!(
        (1..=40).contains(&(harness.log_lines - before)),
        "{} lines for 400 closed connections",
        harness.log_lines - before
    );
    harness.advance(2_000);
    let later = harness.log_lines;
    let link = harness.join(1);
    harness.input(Input::Closed { link, why: Ended::Overflow });
    assert!(harness.log_lines > later, "logging resumes once the allowance is refilled");
}
