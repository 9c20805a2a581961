//! Crossings within one look at the kernel, or of a timer and what comes: their order cannot be forced from outside, so
//! the node is driven by hand. Rows of docs/crossings.md name these tests.

mod hand;

use hand::*;
use pewtergap_node::{Effect, Ended, Input, Link};
use pewtergap_time::Span;

fn at(name: &str, port: u16, started: u64) -> String {
    format!(
        r#"{{"uid":"{name}","endpoint":"127.0.0.3:{port}","az":"a","model":"m","pod_group":3,"state":"Ready",
        "capacity_hint":1.0,"boot_ms":{started}}}"#
    )
}

/// A planner whose list names one server, and the connection its list came on.
fn listed(server: &str) -> (Hand, Link) {
    let mut hand = Hand::new(&settings(10, 256));
    hand.joined(1);
    let list = hand.dial(85);
    hand.give(Input::Opened { link: list });
    hand.discovery(list, &format!(r#"{{"rev":5,"all":true,"targets":[{server}]}}"#));
    hand.pass(600);
    (hand, list)
}

const GOOD: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\ninflight=";

#[test]
fn what_a_server_says_from_its_former_address_or_start_is_not_told_of_the_present_one() {
    for present in [at("s-9", 902, 0), at("s-9", 901, 1_700_000_000_500)] {
        let (mut hand, list) = listed(&at("s-9", 901, 0));
        let former = hand.dial(901);
        hand.give(Input::Opened { link: former });
        let asked = hand.dialled.len();
        hand.discovery(list, &format!(r#"{{"rev":6,"all":false,"targets":[{present}]}}"#));
        let seen = hand.seen();
        assert!(seen.contains(&format!("{}: cut", former.0)), "the former one's probe ends: {seen}");
        assert_eq!(hand.dialled.len(), asked + 1, "the present one is asked at once");
        // The former one's end, which is on its way, is nobody's.
        hand.give(Input::Closed { link: former, why: Ended::Reset });
        hand.pass(399);
        assert_eq!(hand.bad_probes, Vec::<String>::new());
    }
}

#[test]
fn a_server_that_leaves_and_comes_back_under_its_name_is_asked_anew() {
    let (mut hand, list) = listed(&at("s-9", 901, 0));
    let former = hand.dial(901);
    hand.give(Input::Opened { link: former });
    hand.discovery(list, r#"{"rev":6,"all":true,"targets":[]}"#);
    assert!(hand.seen().contains(&format!("{}: cut", former.0)));
    hand.discovery(list, &format!(r#"{{"rev":7,"all":true,"targets":[{}]}}"#, at("s-9", 901, 0)));
    hand.give(Input::Closed { link: former, why: Ended::Reset });
    hand.pass(2_500);
    assert_ne!(hand.dial(901), former, "asked again");
    assert!(!hand.bad_probes.iter().any(|told| told.contains("dead")), "{:?}", hand.bad_probes);
}

#[test]
fn a_server_whose_list_entry_says_nothing_new_is_not_asked_again_for_it() {
    let (mut hand, list) = listed(&at("s-9", 901, 0));
    let probe = hand.dial(901);
    hand.give(Input::Opened { link: probe });
    let leaves = at("s-9", 901, 0).replace("Ready", "Terminating");
    hand.discovery(list, &format!(r#"{{"rev":6,"all":false,"targets":[{leaves}]}}"#));
    assert!(!hand.seen().contains(&format!("{}: cut", probe.0)));
}

#[test]
fn a_probe_for_which_this_side_has_no_room_says_nothing_of_the_server() {
    let (mut hand, _) = listed(&at("s-9", 901, 0));
    for _ in 0..4 {
        let probe = hand.dial(901);
        hand.give(Input::Closed { link: probe, why: Ended::Overflow });
        while hand.dial(901) == probe {
            hand.pass(100);
        }
    }
    assert_eq!(hand.bad_probes, Vec::<String>::new(), "silent four times over, it would have lost its share");
}

#[test]
fn an_answer_in_the_round_of_its_deadline_counts_as_it_came_first() {
    // The reactor reads before it looks at timers; both orders are borne.
    let (mut hand, _) = listed(&at("s-9", 901, 0));
    let probe = hand.dial(901);
    hand.give(Input::Opened { link: probe });
    hand.give(Input::Bytes { link: probe, bytes: GOOD });
    hand.pass(1_000);
    assert!(!hand.bad_probes.iter().any(|told| told.starts_with("s-9")), "{:?}", hand.bad_probes);
    let (mut hand, _) = listed(&at("s-9", 901, 0));
    let probe = hand.dial(901);
    hand.give(Input::Opened { link: probe });
    hand.pass(1_000);
    hand.give(Input::Bytes { link: probe, bytes: GOOD });
    assert_eq!(hand.bad_probes.last().map(String::as_str), Some("s-9 silent"));
}

#[test]
fn a_list_that_comes_in_pieces_is_waited_for_while_it_comes_and_not_for_ever() {
    let mut hand = Hand::new(&settings(10, 256));
    let list = hand.dial(85);
    hand.give(Input::Opened { link: list });
    let body = format!(r#"{{"rev":5,"all":true,"targets":[{}]}}"#, at("s-9", 901, 0));
    let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    let told = hand.lists;
    for piece in answer.as_bytes().chunks(answer.len().div_ceil(6)) {
        hand.give(Input::Bytes { link: list, bytes: piece });
        hand.pass(500);
    }
    assert_eq!((hand.lists, hand.dial(85)), (told + 1, list), "taken in, on the connection it came on");
    // The watch's answer trickles without end.
    let begin = hand.now;
    hand.give(Input::Bytes { link: list, bytes: b"HTTP/1.1 200 OK\r\ncontent-length: 5000\r\n\r\n" });
    while hand.dial(85) == list {
        hand.give(Input::Bytes { link: list, bytes: b" " });
        hand.pass(100);
        assert!(hand.now.since(begin) < Span::millis(5_500), "a change could count as told by now");
    }
}

#[test]
fn a_dial_that_stands_after_it_was_given_up_is_asked_nothing() {
    let mut hand = Hand::new(&settings(10, 256));
    let given_up = hand.dial(85);
    while hand.dial(85) == given_up {
        hand.pass(10);
    }
    hand.seen();
    hand.give(Input::Opened { link: given_up });
    hand.discovery(given_up, r#"{"rev":9,"all":true,"targets":[]}"#);
    assert_eq!((hand.seen(), hand.lists), (String::new(), 1), "only the list as held was told");
    let present = hand.dial(85);
    hand.give(Input::Opened { link: present });
    assert!(hand.seen().starts_with(&format!("{}: GET /discovery/hosts", present.0)));
}

#[test]
fn however_many_signals_come_the_file_is_read_again_by_one_timer() {
    let mut hand = Hand::new(&settings(10, 256));
    for _ in 0..50 {
        hand.give(Input::Reload);
        hand.give(Input::File { name: "config.json", bytes: Ok(b"{") });
    }
    hand.done.clear();
    let fetched =
        |hand: &Hand| hand.done.iter().filter(|done| matches!(done, Effect::ReadFile { .. })).count();
    let mut before = 0;
    for _ in 0..100 {
        hand.pass(100);
        if fetched(&hand) > before {
            before = fetched(&hand);
            hand.give(Input::File { name: "config.json", bytes: Ok(b"{") });
        }
    }
    assert!((10..=15).contains(&before), "five soon, then one a second: {before} in 10 s");
}

#[test]
fn a_signal_while_the_next_reading_is_a_second_away_has_the_file_read_soon_again() {
    let mut hand = Hand::new(&settings(10, 256));
    let torn = |hand: &mut Hand| hand.give(Input::File { name: "config.json", bytes: Ok(b"{") });
    let fetched = |hand: &mut Hand, ms: u64| {
        hand.done.clear();
        hand.pass(ms);
        hand.done.iter().any(|done| matches!(done, Effect::ReadFile { .. }))
    };
    hand.give(Input::Reload);
    torn(&mut hand);
    for _ in 0..5 {
        assert!(fetched(&mut hand, 100));
        torn(&mut hand);
    }
    assert!(!fetched(&mut hand, 300), "from here on once a second");
    hand.give(Input::Reload);
    torn(&mut hand);
    assert!(fetched(&mut hand, 100), "the new file may be on its way as the first was");
}

#[test]
fn one_that_answers_at_once_and_closes_each_time_is_dialled_at_a_pace() {
    let mut hand = Hand::new(&settings(10, 256));
    let begin = hand.dialled.len();
    let mut answered = hand.dial(85);
    let end = hand.now + Span::millis(1_000);
    let body = r#"{"rev":5,"all":false,"targets":[]}"#;
    let answer =
        format!("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    while hand.now < end && hand.dialled.len() < 100 {
        hand.give(Input::Opened { link: answered });
        hand.give(Input::Bytes { link: answered, bytes: answer.as_bytes() });
        while hand.dial(85) == answered && hand.now < end {
            hand.pass(1);
        }
        answered = hand.dial(85);
    }
    let dials = hand.dialled.iter().skip(begin).filter(|dialled| dialled.1.port() == 85).count();
    assert!((5..=26).contains(&dials), "{dials} dials in a second");
}

#[test]
fn the_address_is_tried_for_ten_seconds_and_then_given_up() {
    let mut hand = Hand::new(&settings(10, 256));
    let begin = hand.now;
    while !hand.done.contains(&Effect::Exit { code: 3 }) {
        hand.give(Input::NotListening { listener: 0, why: "held".into() });
        hand.pass(100);
        assert!(hand.now.since(begin) < Span::millis(10_500));
    }
    assert!(hand.now.since(begin) > Span::millis(9_500));
}

#[test]
fn a_proxy_that_joins_and_leaves_within_one_turn_is_written_nothing_and_kept_by_nobody() {
    let mut hand = Hand::new(&settings(10, 256));
    hand.pass(10);
    hand.seen();
    let brief = hand.joined(3);
    hand.give(Input::Closed { link: brief, why: Ended::Reset });
    let (former, present) = (hand.joined(4), hand.joined(4));
    hand.give(Input::Closed { link: former, why: Ended::Done });
    hand.pass(200);
    let seen = hand.seen();
    let told = |link: Link| seen.lines().any(|line| line.starts_with(&format!("{}: CONFIG", link.0)));
    assert_eq!((told(brief), told(former), told(present)), (false, false, true), "{seen}");
}

#[test]
fn a_collector_that_comes_again_after_each_cut_leaves_no_more_than_a_few_connections() {
    let mut hand = Hand::new(&settings(10, 256));
    let other = hand.come();
    hand.say(other, "SOURCE az b");
    let proxy = hand.joined(1);
    hand.pass(10);
    hand.seen();
    let mut links = Vec::new();
    for _ in 0..1_000 {
        let link = hand.come();
        hand.say(link, "SOURCE az a");
        hand.pass(5);
        links.push(link);
    }
    let seen = hand.seen();
    let cut: Vec<bool> = links.iter().map(|link| seen.contains(&format!("{}: cut", link.0))).collect();
    assert!(cut[..996].iter().all(|cut| *cut), "the former ones are closed");
    assert!(!cut[996..].contains(&true), "the newest stay, whichever of them is alive");
    for link in [other, proxy] {
        assert!(!seen.lines().any(|line| line == format!("{}: cut", link.0)), "nobody else is closed");
    }
    hand.say(links[999], "PING");
    assert!(hand.seen().contains("PONG"));
}

#[test]
fn a_flood_of_what_would_be_logged_is_counted_and_not_written() {
    let mut hand = Hand::new(&settings(400, 1024));
    let links: Vec<Link> = (0..400).map(|number| hand.joined(number)).collect();
    hand.pass(100);
    let before = hand.logged;
    for link in links {
        hand.give(Input::Closed { link, why: Ended::Overflow });
    }
    assert!((1..=40).contains(&(hand.logged - before)), "{} lines for 400 ends", hand.logged - before);
    hand.pass(2_000);
    let later = hand.logged;
    let link = hand.joined(1);
    hand.give(Input::Closed { link, why: Ended::Overflow });
    assert!(hand.logged > later, "and is written again once there is room");
}
