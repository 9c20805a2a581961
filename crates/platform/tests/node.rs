//! The platform's planner fed by hand: who is let in, what is told on, what is written to whom.

mod hand;

use hand::*;
use pewtergap_node::{Ended, Input, Link};
use pewtergap_platform::Config;
use pewtergap_time::Span;

#[test]
fn a_planner_serves_from_what_it_held_and_follows_discovery() {
    let mut hand = Hand::new(&settings(10, 256));
    let proxy = hand.joined(7);
    hand.pass(10);
    let mut seen = vec![hand.seen()];
    let list = hand.dial(85);
    hand.give(Input::Opened { link: list });
    seen.push(hand.seen());
    let whole = format!(
        r#"{{"rev":5,"all":true,"targets":[{},{}]}}"#,
        row("s-1", "a", "Ready"),
        row("s-2", "b", "Terminating")
    );
    hand.discovery(list, &whole);
    hand.pass(120);
    hand.say(proxy, "ACK sidecar 7 version 1 lag_ms 12.5");
    seen.push(hand.seen());
    // An older answer undoes nothing, an entry that cannot be read leaves what is known of that server.
    let odd = row("s-1", "a", "Asleep");
    hand.discovery(list, &format!(r#"{{"rev":3,"all":false,"targets":[{}]}}"#, row("s-1", "a", "Gone")));
    hand.discovery(
        list,
        &format!(r#"{{"rev":6,"all":true,"targets":[{odd},{}]}}"#, row("s-3", "a", "Ready")),
    );
    hand.pass(1_200);
    seen.push(hand.seen());
    insta::assert_snapshot!(seen.join("\n--\n"));
}

#[test]
fn what_is_told_again_is_no_news_though_an_entry_cannot_be_read() {
    let mut hand = Hand::new(&settings(10, 256));
    let list = hand.dial(85);
    hand.give(Input::Opened { link: list });
    let rows = [row("s-1", "a", "Ready"), row("s-2", "b", "Asleep")].join(",");
    let whole = format!(r#"{{"rev":5,"all":true,"targets":[{rows}]}}"#);
    hand.discovery(list, &whole);
    let told = hand.lists;
    hand.discovery(list, &whole);
    assert_eq!((told, hand.lists), (2, 2), "the list as held, and once the whole one");
}

#[test]
fn who_never_joins_is_turned_away() {
    let mut hand = Hand::new(&settings(10, 256));
    hand.pass(10);
    hand.seen();
    let words = [
        "PING",
        "SUBSCRIBE sidecar 10 az a share 5 standing 1",
        "SUBSCRIBE sidecar 1 az c share 5 standing 1",
        "SOURCE az c",
        "ACK sidecar 1 version 1 lag_ms 1",
        "RATE sidecar 1 kind lookup n 1 bad 0 window 1000",
        "LOAD az a host s-1 n 1 bad 0 avg 1 window 1000",
        "CONFIG ticket 4",
    ];
    let mut seen = Vec::new();
    for word in words {
        let link = hand.come();
        hand.say(link, word);
        seen.push(format!("{word}\n    {}", hand.seen().replace('\n', "\n    ")));
    }
    for bytes in [&b"GET / HTTP/1.1\r\n\r\n"[..], b"*3\r\n$9999999\r\n", b"*999999999\r\n", b"*2\r\n$4\r\nPI"]
    {
        let link = hand.come();
        hand.give(Input::Bytes { link, bytes });
        let text = String::from_utf8_lossy(bytes).replace("\r\n", " ");
        seen.push(format!("{text}\n    {}", hand.seen().replace('\n', "\n    ")));
    }
    hand.come();
    let endless = hand.come();
    hand.give(Input::Bytes { link: endless, bytes: b"*60\r\n" });
    for _ in 0..60 {
        hand.give(Input::Bytes { link: endless, bytes: &[b"$100\r\n", &[b'x'; 100][..], b"\r\n"].concat() });
    }
    seen.push(format!("without end\n    {}", hand.seen().replace('\n', "\n    ")));
    // What asked for a sign of life, said half a message or nothing is closed when its time is up.
    hand.pass(1_200);
    seen.push(format!("later\n    {}", hand.seen().replace('\n', "\n    ")));
    insta::assert_snapshot!(seen.join("\n"));
}

#[test]
fn spoilt_words_of_joined_peers_are_left_out_alone() {
    let mut hand = Hand::new(&settings(10, 256));
    let (proxy, collector) = (hand.joined(1), hand.come());
    hand.say(collector, "SOURCE az a");
    hand.pass(10);
    hand.seen();
    for word in [
        "LOAD az a host s-9 n 1 bad 0 avg 1 window 1000",
        "LOAD az c host s-1 n 1 bad 0 avg 1 window 1000",
        "LOAD az a host s-1 n 1",
        "RATE sidecar 5 kind lookup n 1 bad 0 window 1000",
        "ACK sidecar 1 version 1 lag_ms 1",
        "SOURCE az b",
        "SUBSCRIBE sidecar 2 az a share 5 standing 1",
        "CONFIG ticket 4",
    ] {
        hand.say(collector, word);
    }
    for word in [
        "RATE sidecar 1 kind none n 1 bad 0 window 1000",
        "RATE sidecar 2 kind lookup n 1 bad 0 window 1000",
        "ACK sidecar 1 version 77 lag_ms 1",
        "ACK sidecar 1 version x lag_ms 1",
        "SUBSCRIBE sidecar 1 az a share 5 standing 1",
    ] {
        hand.say(proxy, word);
    }
    let mut seen = vec![hand.seen()];
    // The good ones around them still count: the proxy answers and is told on; both are still there.
    hand.say(proxy, "ACK sidecar 1 version 1 lag_ms 1");
    hand.say(proxy, "PING");
    hand.say(collector, "PING");
    seen.push(hand.seen());
    // What breaks the framing ends that connection alone.
    hand.give(Input::Bytes { link: proxy, bytes: b"+OK\r\n" });
    hand.say(collector, "PING");
    seen.push(hand.seen());
    insta::assert_snapshot!(seen.join("\n--\n"));
}

#[test]
fn a_second_stream_takes_over_and_the_end_of_the_first_changes_nothing() {
    let mut hand = Hand::new(&settings(10, 256));
    let first = hand.joined(1);
    hand.pass(10);
    let second = hand.joined(1);
    hand.pass(150);
    hand.seen();
    hand.give(Input::Closed { link: first, why: Ended::Reset });
    let list = hand.dial(85);
    hand.give(Input::Opened { link: list });
    let whole = format!(r#"{{"rev":5,"all":true,"targets":[{}]}}"#, row("s-1", "a", "Ready"));
    hand.discovery(list, &whole);
    hand.pass(150);
    // The change goes to the second stream.
    assert!(hand.seen().contains(&format!("{}: CONFIG lines s-2:0", second.0)));
}

#[test]
fn a_stream_that_goes_silent_counts_as_left_until_it_is_heard_again() {
    // Unanswered, one message counts all that is ordered after it as waiting: the account would fill for good.
    let mut hand = Hand::new(&settings(10, 256));
    let (silent, alive) = (hand.joined(1), hand.joined(2));
    hand.pass(200);
    let list = hand.dial(85);
    hand.give(Input::Opened { link: list });
    let rows = [row("s-1", "a", "Ready"), row("s-2", "b", "Ready")].join(",");
    hand.discovery(list, &format!(r#"{{"rev":5,"all":true,"targets":[{rows}]}}"#));
    hand.pass(1_000);
    let more = row("s-4", "a", "Ready");
    hand.discovery(list, &format!(r#"{{"rev":6,"all":false,"targets":[{more}]}}"#));
    for _ in 0..20 {
        hand.say(alive, "RATE sidecar 2 kind lookup n 1 bad 0 window 1000");
        hand.pass(1_000);
    }
    hand.seen();
    let before = hand.dial(85);
    while hand.dial(85) == before {
        hand.pass(10);
    }
    let list = hand.dial(85);
    hand.give(Input::Opened { link: list });
    hand.discovery(list, &format!(r#"{{"rev":7,"all":true,"targets":[{}]}}"#, row("s-1", "a", "Ready")));
    hand.pass(300);
    let seen = hand.seen();
    assert!(seen.contains(&format!("{}: CONFIG lines s-2:0", alive.0)), "who answered is told: {seen}");
    let told = |seen: &str| seen.lines().any(|line| line.starts_with(&format!("{}: ", silent.0)));
    assert!(!told(&seen), "who is silent is neither told nor closed: {seen}");
    hand.say(silent, "RATE sidecar 1 kind lookup n 1 bad 0 window 1000");
    hand.pass(300);
    let seen = hand.seen();
    assert!(seen.contains(&format!("{}: CONFIG whole 1 lines s-1:", silent.0)), "handed it whole: {seen}");
}

#[test]
fn a_spoilt_answer_to_a_mark_leaves_it_open_for_no_longer_than_an_unresponsive_streams_time() {
    // Open, it counted all lines ordered after it as waiting until that proxy happened to be told something else.
    let mut hand = Hand::new(&settings(10, 256));
    let proxy = hand.joined(1);
    hand.pass(200);
    let list = hand.dial(85);
    hand.give(Input::Opened { link: list });
    let rows = [row("s-1", "a", "Ready"), row("s-2", "b", "Ready")].join(",");
    hand.discovery(list, &format!(r#"{{"rev":5,"all":true,"targets":[{rows}]}}"#));
    hand.pass(300);
    let seen = hand.seen();
    assert!(seen.contains("CONFIG whole 1"), "handed its table: {seen}");
    hand.say(proxy, "ACK sidecar 1 version x lag_ms 1");
    for _ in 0..4 {
        hand.say(proxy, "RATE sidecar 1 kind lookup n 5 bad 0 window 1000");
        hand.pass(1_000);
    }
    assert!(!hand.seen().contains("CONFIG whole 1"), "a slow channel is not mistaken for it");
    for _ in 0..4 {
        hand.say(proxy, "RATE sidecar 1 kind lookup n 5 bad 0 window 1000");
        hand.pass(1_000);
    }
    let seen = hand.seen();
    assert!(seen.contains(&format!("{}: CONFIG whole 1", proxy.0)), "handed it anew: {seen}");
    let mark = seen.split("ticket ").last().and_then(|rest| rest.split_whitespace().next()).expect("a mark");
    hand.say(proxy, &format!("ACK sidecar 1 version {mark} lag_ms 1"));
    for _ in 0..10 {
        hand.say(proxy, "RATE sidecar 1 kind lookup n 5 bad 0 window 1000");
        hand.pass(1_000);
    }
    assert!(!hand.seen().contains("CONFIG whole 1"), "and that is the end of it");
}

#[test]
fn discovery_that_began_anew_at_a_lower_version_is_believed_late_and_undoes_no_drain() {
    let mut hand = Hand::new(&settings(10, 256));
    let proxy = hand.joined(1);
    hand.pass(200);
    let list = hand.dial(85);
    hand.give(Input::Opened { link: list });
    let rows = |second: &str, version: u64| {
        let rows = [row("s-1", "a", "Ready"), row("s-2", "b", second)].join(",");
        format!(r#"{{"rev":{version},"all":true,"targets":[{rows}]}}"#)
    };
    hand.discovery(list, &rows("Terminating", 900));
    hand.pass(300);
    hand.seen();
    let lowered = hand.now;
    // From here on every list is a whole one of a lower version, in which the drain has not been heard of.
    let mut list = list;
    hand.discovery(list, &rows("Ready", 3));
    let mut back = None;
    while back.is_none() && hand.now.since(lowered) < Span::millis(40_000) {
        hand.pass(10);
        if hand.dial(85) != list {
            list = hand.dial(85);
            hand.give(Input::Opened { link: list });
            hand.discovery(list, &rows("Ready", 3));
        }
        hand.say(proxy, "RATE sidecar 1 kind lookup n 5 bad 0 window 1000");
        back = hand.seen().contains("lines s-2:").then_some(hand.now.since(lowered));
    }
    let back = back.expect("believed in the end");
    assert!(back >= Span::millis(15_000) && back < Span::millis(17_000), "after {back}");
    // What follows on the new count is news; a list between that went on from the old count ends the doubts.
    hand.discovery(list, &rows("Terminating", 4));
    hand.pass(1_500);
    assert!(hand.seen().contains("s-2:0"), "a drain of the new count binds");
    hand.discovery(list, &rows("Ready", 2));
    hand.pass(14_000);
    let again = hand.dial(85);
    hand.give(Input::Opened { link: again });
    hand.discovery(again, &rows("Terminating", 4));
    hand.discovery(again, &rows("Ready", 2));
    hand.pass(3_000);
    assert!(!hand.seen().contains("lines s-2:"), "one good list in between and the doubts begin anew");
}

#[test]
fn room_is_kept_for_proxies_by_closing_the_oldest_strangers() {
    let mut hand = Hand::new(&settings(100, 128));
    let idle: Vec<Link> = (0..120).map(|_| hand.come()).collect();
    let closed = hand.seen();
    assert!(closed.contains(&format!("{}: finished", idle[0].0)), "the oldest goes");
    assert!(!closed.contains(&format!("{}: finished", idle[119].0)), "the newest stays");
    let joined: Vec<Link> = (0..80).map(|number| hand.joined(number)).collect();
    let closed = hand.seen();
    for link in joined {
        assert!(!closed.contains(&format!("{}: finished", link.0)), "a proxy was closed");
    }
}

#[test]
fn four_hundred_that_join_at_once_are_all_handed_a_table() {
    let mut hand = Hand::new(&settings(400, 1024));
    let links: Vec<Link> = (0..400).map(|number| hand.joined(number)).collect();
    let mut given = vec![false; links.len()];
    for _ in 0..200 {
        hand.pass(50);
        for told in hand.seen().lines() {
            let (link, text) = told.split_once(": ").unwrap_or(("", ""));
            let number = links.iter().position(|known| known.0.to_string() == link);
            let (Some(number), Some((_, mark))) = (number, text.split_once("ticket ")) else { continue };
            given[number] |= text.starts_with("CONFIG whole 1 lines ");
            hand.say(links[number], &format!("ACK sidecar {number} version {mark} lag_ms 1"));
        }
    }
    assert_eq!(given.iter().filter(|given| **given).count(), 400);
}

#[test]
fn a_new_configuration_moves_discovery_and_an_unreadable_one_changes_nothing() {
    let mut hand = Hand::new(&settings(10, 256));
    let proxy = hand.joined(1);
    let list = hand.dial(85);
    hand.give(Input::Opened { link: list });
    hand.pass(10);
    hand.give(Input::Reload);
    let mut seen = vec![hand.seen()];
    hand.give(Input::File { name: "config.json", bytes: Ok(b"{\"name\":") });
    // The file may be on its way: it is read again a few times.
    hand.pass(250);
    seen.push(hand.seen());
    let moved = settings(10, 256).replace("127.0.0.2:85", "127.0.0.2:86");
    hand.give(Input::File { name: "config.json", bytes: Ok(moved.as_bytes()) });
    let list = hand.dial(86);
    hand.give(Input::Opened { link: list });
    hand.say(proxy, "PING");
    seen.push(hand.seen());
    hand.give(Input::Stop);
    seen.push(hand.seen());
    insta::assert_snapshot!(seen.join("\n--\n"));
}

#[test]
fn a_silent_or_torn_discovery_is_dialled_again_in_bounded_time() {
    let mut hand = Hand::new(&settings(10, 256));
    let mut seen = Vec::new();
    let mut spent = Vec::new();
    for trouble in ["no connection", "no answer", "reset", "not HTTP", "not a list"] {
        let (before, link) = (hand.now, hand.dial(85));
        if trouble != "no connection" {
            hand.give(Input::Opened { link });
        }
        match trouble {
            "reset" => hand.give(Input::Closed { link, why: Ended::Reset }),
            "not HTTP" => hand.give(Input::Bytes { link, bytes: b"+OK\r\n" }),
            "not a list" => hand.discovery(link, "[]"),
            _ => {}
        }
        while hand.dial(85) == link {
            hand.pass(10);
            assert!(hand.now.since(before) < Span::millis(2_000), "{trouble}: not dialled again");
        }
        spent.push(format!("{trouble}: dialled again after {}", hand.now.since(before)));
        seen.push(hand.seen());
    }
    insta::assert_snapshot!(spent.join("\n"));
}

#[test]
fn a_bad_start_says_what_was_expected() {
    let good = settings(10, 256);
    let bad = [
        ("{", "{{"),
        ("\"limits\"", "\"limit\""),
        ("\"sockets\":256", "\"sockets\":\"many\""),
        ("\"sockets\":256", "\"sockets\":8"),
        ("8c1f30d27a5be964", "xyz"),
        ("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"here\""),
        ("\"listen\":\"127.0.0.1:0\",", ""),
        ("\"settings\"", "\"setting\""),
        ("\"Zones\":[\"a\",\"b\"]", "\"Zones\":1"),
        ("\"DataPlaneSize\":10", "\"DataPlaneSize\":0"),
        ("\"rev\":4", "\"rev\":\"four\""),
    ];
    let tell = |(from, to): &(&str, &str)| {
        let read = Config::read(&good.replacen(from, to, 1), |_| None);
        format!("{from} -> {to}: {}", read.err().unwrap_or("accepted".into()))
    };
    insta::assert_snapshot!(bad.iter().map(tell).collect::<Vec<_>>().join("\n"));
}
