//! The platform's planner driven directly: joining, forwarding of messages, and what is sent to whom.

mod harness;

use harness::*;
use pewtergap_node::{Ended, Input, Link};
use pewtergap_platform::Config;
use pewtergap_time::Span;

#[test]
fn a_planner_serves_from_its_saved_list_and_follows_discovery() {
    let mut harness = Harness::new(&settings(10, 256));
    let proxy = harness.join(7);
    harness.advance(10);
    let mut seen = vec![harness.take_output()];
    let list = harness.latest_connection(85);
    harness.input(Input::Opened { link: list });
    seen.push(harness.take_output());
    let whole = format!(
        r#"{{"rev":5,"all":true,"targets":[{},{}]}}"#,
        row("s-1", "a", "Ready"),
        row("s-2", "b", "Terminating")
    );
    harness.answer_list(list, &whole);
    harness.advance(120);
    harness.send(proxy, "ACK sidecar 7 version 1 lag_ms 12.5");
    seen.push(harness.take_output());
    // An older answer changes nothing; an invalid entry leaves the known state of its server.
    let invalid = row("s-1", "a", "Asleep");
    harness.answer_list(list, &format!(r#"{{"rev":3,"all":false,"targets":[{}]}}"#, row("s-1", "a", "Gone")));
    harness.answer_list(
        list,
        &format!(r#"{{"rev":6,"all":true,"targets":[{invalid},{}]}}"#, row("s-3", "a", "Ready")),
    );
    harness.advance(1_200);
    seen.push(harness.take_output());
    insta::assert_snapshot!(seen.join("\n--\n"));
}

/// What is ordered when a server restarts and its start is announced `skew_ms` off the planner's clock.
fn orders_after_restart(skew_ms: i64) -> String {
    let mut harness = Harness::new(&settings(10, 256));
    harness.join(7);
    harness.advance(10);
    let list = harness.latest_connection(85);
    harness.input(Input::Opened { link: list });
    let rows = [row("s-1", "a", "Ready"), row("s-2", "a", "Ready")].join(",");
    harness.answer_list(list, &format!(r#"{{"rev":5,"all":true,"targets":[{rows}]}}"#));
    harness.advance(1_000);
    harness.answer_list(list, r#"{"rev":5,"all":false,"targets":[]}"#);
    harness.take_output();
    let boot_ms = (START.0 / 1_000_000) as i64 + 1_000 + skew_ms;
    let restarted = row("s-2", "a", "Ready").replace(r#""boot_ms":0"#, &format!(r#""boot_ms":{boot_ms}"#));
    harness.answer_list(list, &format!(r#"{{"rev":6,"all":false,"targets":[{restarted}]}}"#));
    let mut orders = String::new();
    for _ in 0..80 {
        harness.advance(100);
        let sent = harness.take_output();
        orders.extend(sent.lines().filter(|line| line.contains("CONFIG")).map(|line| format!("{line}\n")));
    }
    orders
}

#[test]
fn a_restart_announced_by_a_clock_that_was_stepped_is_a_cold_server_all_the_same() {
    let expected = orders_after_restart(0);
    assert!(expected.contains("s-2"), "the restarted server is ordered a smaller share:\n{expected}");
    for skew_ms in [-3_600_000, -30_000, 500, 30_000, 3_600_000] {
        assert_eq!(orders_after_restart(skew_ms), expected, "announced {skew_ms} ms off");
    }
}

#[test]
fn a_server_listed_at_the_start_as_started_in_the_future_warms_up_from_the_start() {
    let boot_ms = START.0 / 1_000_000 + 3_600_000;
    let text = settings(10, 256).replacen(r#""boot_ms":0"#, &format!(r#""boot_ms":{boot_ms}"#), 1);
    let mut harness = Harness::new(&text);
    harness.join(7);
    harness.advance(8_000);
    let orders = harness.take_output();
    let last = orders.lines().rfind(|line| line.contains("s-1:")).expect("a line for the server");
    let weight = |name: &str| -> Option<f64> {
        let (_, rest) = last.split_once(&format!("{name}:"))?;
        rest.split([',', ' ']).next()?.parse().ok()
    };
    assert!(weight("s-1") >= weight("s-2"), "still cold after its warm-up of 5 s: {last}");
}

#[test]
fn an_unchanged_list_with_an_invalid_entry_is_not_applied_again() {
    let mut harness = Harness::new(&settings(10, 256));
    let list = harness.latest_connection(85);
    harness.input(Input::Opened { link: list });
    let rows = [row("s-1", "a", "Ready"), row("s-2", "b", "Asleep")].join(",");
    let whole = format!(r#"{{"rev":5,"all":true,"targets":[{rows}]}}"#);
    harness.answer_list(list, &whole);
    let lists_before = harness.list_events;
    harness.answer_list(list, &whole);
    assert_eq!((lists_before, harness.list_events), (2, 2), "the saved list, and the whole list once");
}

#[test]
fn a_peer_that_never_joins_is_rejected() {
    let mut harness = Harness::new(&settings(10, 256));
    harness.advance(10);
    harness.take_output();
    let messages = [
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
    for message in messages {
        let link = harness.accept();
        harness.send(link, message);
        seen.push(format!("{message}\n    {}", harness.take_output().replace('\n', "\n    ")));
    }
    for bytes in [&b"GET / HTTP/1.1\r\n\r\n"[..], b"*3\r\n$9999999\r\n", b"*999999999\r\n", b"*2\r\n$4\r\nPI"]
    {
        let link = harness.accept();
        harness.input(Input::Bytes { link, bytes });
        let text = String::from_utf8_lossy(bytes).replace("\r\n", " ");
        seen.push(format!("{text}\n    {}", harness.take_output().replace('\n', "\n    ")));
    }
    harness.accept();
    let endless = harness.accept();
    harness.input(Input::Bytes { link: endless, bytes: b"*60\r\n" });
    for _ in 0..60 {
        harness
            .input(Input::Bytes { link: endless, bytes: &[b"$100\r\n", &[b'x'; 100][..], b"\r\n"].concat() });
    }
    seen.push(format!("unterminated\n    {}", harness.take_output().replace('\n', "\n    ")));
    // Connections that sent only a ping, a partial message or nothing are closed at the joining timeout.
    harness.advance(1_200);
    seen.push(format!("later\n    {}", harness.take_output().replace('\n', "\n    ")));
    insta::assert_snapshot!(seen.join("\n"));
}

#[test]
fn invalid_messages_of_joined_peers_are_ignored_one_by_one() {
    let mut harness = Harness::new(&settings(10, 256));
    let (proxy, collector) = (harness.join(1), harness.accept());
    harness.send(collector, "SOURCE az a");
    harness.advance(10);
    harness.take_output();
    for message in [
        "LOAD az a host s-9 n 1 bad 0 avg 1 window 1000",
        "LOAD az c host s-1 n 1 bad 0 avg 1 window 1000",
        "LOAD az a host s-1 n 1",
        "RATE sidecar 5 kind lookup n 1 bad 0 window 1000",
        "ACK sidecar 1 version 1 lag_ms 1",
        "SOURCE az b",
        "SUBSCRIBE sidecar 2 az a share 5 standing 1",
        "CONFIG ticket 4",
    ] {
        harness.send(collector, message);
    }
    for message in [
        "RATE sidecar 1 kind none n 1 bad 0 window 1000",
        "RATE sidecar 2 kind lookup n 1 bad 0 window 1000",
        "ACK sidecar 1 version 77 lag_ms 1",
        "ACK sidecar 1 version x lag_ms 1",
        "SUBSCRIBE sidecar 1 az a share 5 standing 1",
    ] {
        harness.send(proxy, message);
    }
    let mut seen = vec![harness.take_output()];
    // Valid messages still count: the proxy's acknowledgement is forwarded, and both peers stay connected.
    harness.send(proxy, "ACK sidecar 1 version 1 lag_ms 1");
    harness.send(proxy, "PING");
    harness.send(collector, "PING");
    seen.push(harness.take_output());
    // A framing error closes only its own connection.
    harness.input(Input::Bytes { link: proxy, bytes: b"+OK\r\n" });
    harness.send(collector, "PING");
    seen.push(harness.take_output());
    insta::assert_snapshot!(seen.join("\n--\n"));
}

#[test]
fn a_second_stream_takes_over_and_the_end_of_the_first_changes_nothing() {
    let mut harness = Harness::new(&settings(10, 256));
    let first = harness.join(1);
    harness.advance(10);
    let second = harness.join(1);
    harness.advance(150);
    harness.take_output();
    harness.input(Input::Closed { link: first, why: Ended::Reset });
    let list = harness.latest_connection(85);
    harness.input(Input::Opened { link: list });
    let whole = format!(r#"{{"rev":5,"all":true,"targets":[{}]}}"#, row("s-1", "a", "Ready"));
    harness.answer_list(list, &whole);
    harness.advance(150);
    // The change goes to the second stream.
    assert!(harness.take_output().contains(&format!("{}: CONFIG lines s-2:0", second.0)));
}

#[test]
fn a_proxy_with_a_silent_stream_counts_as_left_until_the_stream_is_active_again() {
    // With one message unacknowledged, everything sent after it counts as waiting, and the accounting would fill up for
    // good.
    let mut harness = Harness::new(&settings(10, 256));
    let (silent, alive) = (harness.join(1), harness.join(2));
    harness.advance(200);
    let list = harness.latest_connection(85);
    harness.input(Input::Opened { link: list });
    let rows = [row("s-1", "a", "Ready"), row("s-2", "b", "Ready")].join(",");
    harness.answer_list(list, &format!(r#"{{"rev":5,"all":true,"targets":[{rows}]}}"#));
    harness.advance(1_000);
    let more = row("s-4", "a", "Ready");
    harness.answer_list(list, &format!(r#"{{"rev":6,"all":false,"targets":[{more}]}}"#));
    for _ in 0..20 {
        harness.send(alive, "RATE sidecar 2 kind lookup n 1 bad 0 window 1000");
        harness.advance(1_000);
    }
    harness.take_output();
    let before = harness.latest_connection(85);
    while harness.latest_connection(85) == before {
        harness.advance(10);
    }
    let list = harness.latest_connection(85);
    harness.input(Input::Opened { link: list });
    harness.answer_list(list, &format!(r#"{{"rev":7,"all":true,"targets":[{}]}}"#, row("s-1", "a", "Ready")));
    harness.advance(300);
    let seen = harness.take_output();
    assert!(
        seen.contains(&format!("{}: CONFIG lines s-2:0", alive.0)),
        "the responsive proxy gets the change: {seen}"
    );
    let reached = |seen: &str| seen.lines().any(|line| line.starts_with(&format!("{}: ", silent.0)));
    assert!(!reached(&seen), "the silent one gets nothing and is not closed: {seen}");
    harness.send(silent, "RATE sidecar 1 kind lookup n 1 bad 0 window 1000");
    harness.advance(300);
    let seen = harness.take_output();
    assert!(
        seen.contains(&format!("{}: CONFIG whole 1 lines s-1:", silent.0)),
        "it gets the whole table: {seen}"
    );
}

#[test]
fn an_invalid_acknowledgement_leaves_its_mark_open_for_a_limited_time() {
    // While the mark was open, all lines sent after it counted as waiting until that proxy happened to get another
    // message.
    let mut harness = Harness::new(&settings(10, 256));
    let proxy = harness.join(1);
    harness.advance(200);
    let list = harness.latest_connection(85);
    harness.input(Input::Opened { link: list });
    let rows = [row("s-1", "a", "Ready"), row("s-2", "b", "Ready")].join(",");
    harness.answer_list(list, &format!(r#"{{"rev":5,"all":true,"targets":[{rows}]}}"#));
    harness.advance(300);
    let seen = harness.take_output();
    assert!(seen.contains("CONFIG whole 1"), "it gets its table: {seen}");
    harness.send(proxy, "ACK sidecar 1 version x lag_ms 1");
    for _ in 0..4 {
        harness.send(proxy, "RATE sidecar 1 kind lookup n 5 bad 0 window 1000");
        harness.advance(1_000);
    }
    assert!(
        !harness.take_output().contains("CONFIG whole 1"),
        "a slow channel is not mistaken for a lost acknowledgement"
    );
    for _ in 0..4 {
        harness.send(proxy, "RATE sidecar 1 kind lookup n 5 bad 0 window 1000");
        harness.advance(1_000);
    }
    let seen = harness.take_output();
    assert!(seen.contains(&format!("{}: CONFIG whole 1", proxy.0)), "it gets the table again: {seen}");
    let mark = seen.split("ticket ").last().and_then(|rest| rest.split_whitespace().next()).expect("a mark");
    harness.send(proxy, &format!("ACK sidecar 1 version {mark} lag_ms 1"));
    for _ in 0..10 {
        harness.send(proxy, "RATE sidecar 1 kind lookup n 5 bad 0 window 1000");
        harness.advance(1_000);
    }
    assert!(!harness.take_output().contains("CONFIG whole 1"), "the table is sent again only once");
}

#[test]
fn acknowledgements_of_marks_that_were_never_sent_do_not_cut_a_proxy_off_from_drains() {
    // Guards against two spoilt acknowledgements of a proxy that sends nothing else on its stream: it counted as silent,
    // and no drain was sent to it any more.
    let mut harness = Harness::new(&settings(10, 256));
    let proxy = harness.join(1);
    harness.advance(200);
    let list = harness.latest_connection(85);
    harness.input(Input::Opened { link: list });
    let rows = [row("s-1", "a", "Ready"), row("s-2", "b", "Ready")].join(",");
    harness.answer_list(list, &format!(r#"{{"rev":5,"all":true,"targets":[{rows}]}}"#));
    harness.advance(300);
    harness.send(proxy, "ACK sidecar 1 version 60001 lag_ms 1");
    let drained = row("s-2", "b", "Terminating");
    harness.answer_list(list, &format!(r#"{{"rev":6,"all":false,"targets":[{drained}]}}"#));
    harness.advance(300);
    assert!(harness.take_output().contains(&format!("{}: CONFIG lines s-2:0", proxy.0)), "the drain is sent");
    harness.send(proxy, "ACK sidecar 1 version 60001 lag_ms 1");
    harness.advance(9_000);
    let seen = harness.take_output();
    assert!(
        seen.contains(&format!("{}: CONFIG whole 1 lines s-1:", proxy.0)),
        "it gets its table again: {seen}"
    );
    let mark = seen.split("ticket ").last().and_then(|rest| rest.split_whitespace().next()).expect("a mark");
    harness.send(proxy, &format!("ACK sidecar 1 version {mark} lag_ms 1"));
    harness.advance(20_000);
    let seen = harness.take_output();
    assert!(!seen.contains("CONFIG whole 1"), "the table is sent again only once: {seen}");
}

#[test]
fn a_late_acknowledgement_is_not_taken_for_a_spoilt_one() {
    // Guards against whole tables sent again and again into a slow channel: once a table was sent again, the late
    // acknowledgement of the first one named a mark that was no longer expected.
    let mut harness = Harness::new(&settings(10, 256));
    let proxy = harness.join(1);
    harness.advance(200);
    let list = harness.latest_connection(85);
    harness.input(Input::Opened { link: list });
    let rows = [row("s-1", "a", "Ready"), row("s-2", "b", "Ready")].join(",");
    harness.answer_list(list, &format!(r#"{{"rev":5,"all":true,"targets":[{rows}]}}"#));
    harness.advance(300);
    let seen = harness.take_output();
    let mark = seen.split("ticket ").last().and_then(|rest| rest.split_whitespace().next()).expect("a mark");
    harness.send(proxy, "ACK sidecar 1 version x lag_ms 1");
    harness.advance(7_000);
    assert!(harness.take_output().contains("CONFIG whole 1"), "the table is sent again");
    harness.send(proxy, &format!("ACK sidecar 1 version {mark} lag_ms 7000"));
    harness.advance(7_000);
    let seen = harness.take_output();
    assert!(!seen.contains("CONFIG whole 1"), "the late acknowledgement starts nothing: {seen}");
}

#[test]
fn a_reset_of_discovery_to_a_lower_version_is_accepted_late_and_undoes_no_drain() {
    let mut harness = Harness::new(&settings(10, 256));
    let proxy = harness.join(1);
    harness.advance(200);
    let list = harness.latest_connection(85);
    harness.input(Input::Opened { link: list });
    let rows = |second: &str, version: u64| {
        let rows = [row("s-1", "a", "Ready"), row("s-2", "b", second)].join(",");
        format!(r#"{{"rev":{version},"all":true,"targets":[{rows}]}}"#)
    };
    harness.answer_list(list, &rows("Terminating", 900));
    harness.advance(300);
    harness.take_output();
    let lowered = harness.now;
    // From here on every list is a whole one of a lower version, which does not have the drain yet.
    let mut list = list;
    harness.answer_list(list, &rows("Ready", 3));
    let mut accepted_after = None;
    while accepted_after.is_none() && harness.now.since(lowered) < Span::millis(40_000) {
        harness.advance(10);
        if harness.latest_connection(85) != list {
            list = harness.latest_connection(85);
            harness.input(Input::Opened { link: list });
            harness.answer_list(list, &rows("Ready", 3));
        }
        harness.send(proxy, "RATE sidecar 1 kind lookup n 5 bad 0 window 1000");
        accepted_after = harness.take_output().contains("lines s-2:").then_some(harness.now.since(lowered));
    }
    let accepted_after = accepted_after.expect("accepted in the end");
    assert!(
        accepted_after >= Span::millis(15_000) && accepted_after < Span::millis(17_000),
        "after {accepted_after}"
    );
    // Changes that follow the new version are applied; a list of a current version in between restarts the
    // confirmation.
    harness.answer_list(list, &rows("Terminating", 4));
    harness.advance(1_500);
    assert!(harness.take_output().contains("s-2:0"), "a drain after the reset is applied");
    harness.answer_list(list, &rows("Ready", 2));
    harness.advance(14_000);
    let again = harness.latest_connection(85);
    harness.input(Input::Opened { link: again });
    harness.answer_list(again, &rows("Terminating", 4));
    harness.answer_list(again, &rows("Ready", 2));
    harness.advance(3_000);
    assert!(
        !harness.take_output().contains("lines s-2:"),
        "a valid list in between restarts the confirmation"
    );
}

#[test]
fn the_oldest_unidentified_connections_are_closed_to_make_room_for_proxies() {
    let mut harness = Harness::new(&settings(100, 128));
    let idle: Vec<Link> = (0..120).map(|_| harness.accept()).collect();
    let closed = harness.take_output();
    assert!(closed.contains(&format!("{}: finished", idle[0].0)), "the oldest is closed");
    assert!(!closed.contains(&format!("{}: finished", idle[119].0)), "the newest stays");
    let joined: Vec<Link> = (0..80).map(|number| harness.join(number)).collect();
    let closed = harness.take_output();
    for link in joined {
        assert!(!closed.contains(&format!("{}: finished", link.0)), "a proxy was closed");
    }
}

#[test]
fn four_hundred_proxies_that_join_at_once_all_get_a_table() {
    let mut harness = Harness::new(&settings(400, 1024));
    let links: Vec<Link> = (0..400).map(|number| harness.join(number)).collect();
    let mut received = vec![false; links.len()];
    for _ in 0..200 {
        harness.advance(50);
        for line in harness.take_output().lines() {
            let (link, text) = line.split_once(": ").unwrap_or(("", ""));
            let number = links.iter().position(|known| known.0.to_string() == link);
            let (Some(number), Some((_, mark))) = (number, text.split_once("ticket ")) else { continue };
            received[number] |= text.starts_with("CONFIG whole 1 lines ");
            harness.send(links[number], &format!("ACK sidecar {number} version {mark} lag_ms 1"));
        }
    }
    assert_eq!(received.iter().filter(|received| **received).count(), 400);
}

#[test]
fn a_new_configuration_moves_discovery_and_an_unreadable_one_changes_nothing() {
    let mut harness = Harness::new(&settings(10, 256));
    let proxy = harness.join(1);
    let list = harness.latest_connection(85);
    harness.input(Input::Opened { link: list });
    harness.advance(10);
    harness.input(Input::Reload);
    let mut seen = vec![harness.take_output()];
    harness.input(Input::File { name: "config.json", bytes: Ok(b"{\"name\":") });
    // The file may be in the middle of its replacement, so reading is retried a few times.
    harness.advance(250);
    seen.push(harness.take_output());
    let moved = settings(10, 256).replace("127.0.0.2:85", "127.0.0.2:86");
    harness.input(Input::File { name: "config.json", bytes: Ok(moved.as_bytes()) });
    let list = harness.latest_connection(86);
    harness.input(Input::Opened { link: list });
    harness.send(proxy, "PING");
    seen.push(harness.take_output());
    harness.input(Input::Stop);
    seen.push(harness.take_output());
    insta::assert_snapshot!(seen.join("\n--\n"));
}

#[test]
fn discovery_is_reconnected_in_bounded_time_after_any_failure() {
    let mut harness = Harness::new(&settings(10, 256));
    let mut seen = Vec::new();
    let mut delays = Vec::new();
    for failure in ["no connection", "no answer", "reset", "not HTTP", "not a list"] {
        let (before, link) = (harness.now, harness.latest_connection(85));
        if failure != "no connection" {
            harness.input(Input::Opened { link });
        }
        match failure {
            "reset" => harness.input(Input::Closed { link, why: Ended::Reset }),
            "not HTTP" => harness.input(Input::Bytes { link, bytes: b"+OK\r\n" }),
            "not a list" => harness.answer_list(link, "[]"),
            _ => {}
        }
        while harness.latest_connection(85) == link {
            harness.advance(10);
            assert!(harness.now.since(before) < Span::millis(2_000), "{failure}: not reconnected");
        }
        delays.push(format!("{failure}: reconnected after {}", harness.now.since(before)));
        seen.push(harness.take_output());
    }
    insta::assert_snapshot!(delays.join("\n"));
}

#[test]
fn an_invalid_configuration_is_rejected_with_what_was_expected() {
    let valid = settings(10, 256);
    let changes = [
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
    let describe = |(from, to): &(&str, &str)| {
        let result = Config::parse(&valid.replacen(from, to, 1), |_| None);
        format!("{from} -> {to}: {}", result.err().unwrap_or("accepted".into()))
    };
    insta::assert_snapshot!(changes.iter().map(describe).collect::<Vec<_>>().join("\n"));
}

#[test]
fn incomplete_messages_of_many_short_items_are_closed_largest_first() {
    // Guards against memory beyond the limit: each item of an incomplete message takes 16 bytes that were not counted, so
    // that hundreds of peers took several times what they had sent.
    let mut harness = Harness::new(&settings(100, 256));
    let small = harness.join(0);
    harness.input(Input::Bytes { link: small, bytes: b"*3\r\n$4\r\nRATE\r\n" });
    let large: Vec<Link> = (1..60).map(|number| harness.join(number)).collect();
    harness.take_output();
    let incomplete = format!("*4000\r\n{}", "$0\r\n\r\n".repeat(3_000));
    for link in &large {
        harness.input(Input::Bytes { link: *link, bytes: incomplete.as_bytes() });
    }
    let output = harness.take_output();
    let is_closed = |link: &Link| output.lines().any(|line| line == format!("{}: cut", link.0));
    let open = large.iter().filter(|link| !is_closed(link)).count();
    // A sixteenth of 32 MB, and 3,000 items of 16 bytes for each peer.
    assert!(open * 3_000 * 16 <= 2 * 1024 * 1024, "{open} of 59 peers keep their incomplete messages");
    assert!(open > 10, "{open} of 59 peers keep theirs although there is room for more");
    assert!(!is_closed(&small), "the largest are closed, not the last one to send");
}

#[test]
fn a_poll_answer_that_comes_in_slow_pieces_is_asked_for_anew_in_time() {
    // Guards against drains that are taken in late: an answer in pieces was waited for up to 5 s, while its change counts as
    // announced 2 s after the end of the wait (review/10).
    let mut harness = Harness::new(&settings(10, 256));
    let list = harness.latest_connection(85);
    harness.input(Input::Opened { link: list });
    harness.answer_list(list, &format!(r#"{{"rev":5,"all":true,"targets":[{}]}}"#, row("s-1", "a", "Ready")));
    harness.advance(300);
    let began = harness.now;
    let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: 5000\r\n\r\n{}", " ".repeat(5_000));
    for piece in answer.as_bytes().chunks(600) {
        if harness.latest_connection(85) != list {
            break;
        }
        harness.input(Input::Bytes { link: list, bytes: piece });
        for _ in 0..58 {
            harness.advance(10);
        }
    }
    let reconnected = harness.now.since(began);
    assert!(harness.latest_connection(85) != list, "still waiting after {reconnected}");
    assert!(reconnected < Span::millis(2_000), "reconnected after {reconnected}");
}

#[test]
fn all_proxies_are_accepted_while_descriptors_are_free() {
    // Guards against proxies that are refused and learn of no drain: 32 descriptors and those of all probes were kept from
    // them, whether in use or not (review/8).
    for sockets in [256, 280, 320] {
        let mut harness = Harness::new(&settings(240, sockets));
        for zone in ["a", "b", "a"] {
            let collector = harness.accept();
            harness.send(collector, &format!("SOURCE az {zone}"));
        }
        harness.take_output();
        for number in 0..240 {
            harness.join(number);
        }
        let output = harness.take_output();
        let refused = output.lines().filter(|line| line.ends_with(": finished")).count();
        assert_eq!(refused, 0, "refused of 240 proxies with {sockets} descriptors");
    }
}
