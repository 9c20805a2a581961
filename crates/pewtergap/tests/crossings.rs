//! Races between two events, forced in a given order on a real process. The rows of docs/crossings.md name these tests.

mod peer;

use peer::*;
use pewtergap_resp::{Bounds, Reader};

// ---- start

#[test]
fn a_file_that_is_just_being_replaced_is_no_refusal_to_start() {
    let config = Config::new(closed_address());
    let text = config.to_json();
    let mut planner = Process::start("torn-start", &config, &text[..text.len() / 2]);
    planner.wait_for_line("configuration_refused");
    planner.replace_file(&text);
    planner.wait_for_line("listening");
    planner.check_alive();
}

#[test]
fn an_address_that_the_process_before_still_holds_is_taken_once_it_lets_go() {
    let before = Listener::bind();
    let config = Config { listen: before.at, ..Config::new(closed_address()) };
    let mut planner = Process::start("held-address", &config, &config.to_json());
    planner.wait_for_line("not_listening");
    drop(before);
    planner.wait_for_line("event=\"listening\"");
    planner.check_alive();
}

#[test]
fn hundreds_at_the_door_of_a_planner_that_starts_all_hear_that_it_lives() {
    let rows = (0..2_000).map(|at| row(&format!("s-{at:08x}"), closed_address(), "Ready")).collect();
    let config = Config { rows, ..Config::new(closed_address()) };
    let planner = Process::start_listening("full-door", &config);
    planner.pause();
    let mut peers: Vec<Peer> = (0..300).map(|_| Peer::connect(planner.at)).collect();
    peers.iter_mut().for_each(|peer| peer.send("PING"));
    planner.resume();
    peers.iter_mut().for_each(|peer| assert_eq!(peer.receive(), "PONG"));
}

// ---- shutdown

#[test]
fn an_exit_asked_for_while_the_file_is_unreadable_is_an_end_in_order() {
    let config = Config::new(closed_address());
    let mut planner = Process::start("exit-before-start", &config, "{");
    planner.wait_for_line("configuration_refused");
    planner.signal("-TERM");
    assert_eq!(planner.wait_for_exit().code(), Some(0));
}

#[test]
fn signals_that_come_in_one_batch_end_it_in_order() {
    let config = Config::new(closed_address());
    let mut planner = Process::start_listening("signals", &config);
    planner.pause();
    ["-HUP", "-TERM", "-TERM"].iter().for_each(|name| planner.signal(name));
    planner.resume();
    assert_eq!(planner.wait_for_exit().code(), Some(0));
}

#[test]
fn streams_that_do_not_read_hold_up_no_end_and_none_is_left_within_a_message() {
    let rows = (0..500).map(|at| row(&format!("s-{at:08x}"), closed_address(), "Ready")).collect();
    let config = Config { rows, ..Config::new(closed_address()) };
    let mut planner = Process::start_listening("deaf-streams", &config);
    let mut proxies: Vec<Peer> = (0..200).map(|number| Peer::subscribed(planner.at, number)).collect();
    planner.wait_for_line("event=\"orders\"");
    planner.signal("-TERM");
    assert_eq!(planner.wait_for_exit().code(), Some(0));
    let mut whole = 0;
    for proxy in &mut proxies {
        let mut reader = Reader::new(Bounds { bytes: 1 << 20, items: 8_192 });
        reader.push(&proxy.read_to_end());
        while let Some(message) = reader.next_message().expect("nothing that cannot be read") {
            whole += usize::from(message.first() == Some(&&b"CONFIG"[..]));
        }
        assert_eq!(reader.buffered(), 0, "a message is left half written");
    }
    assert!(whole > 0, "the orders before the end have gone out");
}

// ---- reload

#[test]
fn a_file_that_stays_unreadable_for_long_is_read_once_it_can_be() {
    let (first, second) = (Listener::bind(), Listener::bind());
    let config = Config::new(first.at);
    let mut planner = Process::start_listening("long-torn", &config);
    planner.replace_file("{\"name\":");
    planner.signal("-HUP");
    // One read at the signal and five retries soon after it; an earlier version made no more attempts.
    (0..7).for_each(|_| drop(planner.wait_for_line("configuration_refused")));
    planner.replace_file(
        &Config { discovery: second.at, listen: config.listen, ..Config::new(closed_address()) }.to_json(),
    );
    let mut discovery_peer = second.accept();
    assert_eq!(discovery_peer.request_target(), "/discovery/hosts");
}

#[test]
fn an_old_file_behind_a_signal_and_the_new_one_after_it_still_lead_to_the_new_address() {
    let (first, second) = (Listener::bind(), Listener::bind());
    let config = Config::new(first.at);
    let mut planner = Process::start_listening("late-file", &config);
    let mut discovery_peer = first.accept();
    discovery_peer.request_target();
    planner.signal("-HUP");
    planner.wait_for_line("event=\"configuration\"");
    planner.replace_file(
        &Config { discovery: second.at, listen: config.listen, ..Config::new(closed_address()) }.to_json(),
    );
    // The former address accepts no new connections and closes the existing one.
    drop((discovery_peer, first));
    assert_eq!(second.accept().request_target(), "/discovery/hosts");
}

#[test]
fn an_address_moved_away_and_back_before_either_answered_is_followed_to_where_it_went_last() {
    let (first, second) = (Listener::bind(), Listener::bind());
    let config = Config::new(first.at);
    let mut planner = Process::start_listening("back-again", &config);
    let mut former = first.accept();
    former.request_target();
    // Half of a response has been read when the address changes.
    former.send_raw(b"HTTP/1.1 200 OK\r\ncontent-length: 5000\r\n\r\n{\"rev\":");
    planner.replace_file(
        &Config { discovery: second.at, listen: config.listen, ..Config::new(closed_address()) }.to_json(),
    );
    planner.signal("-HUP");
    let between = second.accept();
    planner.replace_file(&config.to_json());
    planner.signal("-HUP");
    let mut back = first.accept();
    assert_eq!(back.request_target(), "/discovery/hosts");
    back.respond("", &list(9, true, &[row("s-1", closed_address(), "Ready")]));
    planner.wait_for_line("kind=Complete version=9 entries=1");
    assert_eq!(back.request_target(), "/discovery/hosts?since=9&timeout_ms=1500");
    drop(between);
}

// ---- the watch on the list

#[test]
fn an_answer_without_a_length_is_complete_with_the_end_of_its_connection() {
    let discovery = Listener::bind();
    let mut planner = Process::start_listening("no-length", &Config::new(discovery.at));
    let mut discovery_peer = discovery.accept();
    discovery_peer.request_target();
    let body = list(7, true, &[row("s-1", closed_address(), "Ready")]);
    discovery_peer.send_raw(format!("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{body}").as_bytes());
    drop(discovery_peer);
    planner.wait_for_line("kind=Complete version=7 entries=1");
    assert_eq!(discovery.accept().request_target(), "/discovery/hosts?since=7&timeout_ms=1500");
}

#[test]
fn an_answer_that_announces_its_connections_end_is_followed_up_on_another() {
    let discovery = Listener::bind();
    let mut planner = Process::start_listening("announced", &Config::new(discovery.at));
    for version in 7..10 {
        let mut discovery_peer = discovery.accept();
        let expected = match version {
            7 => "/discovery/hosts".to_string(),
            _ => format!("/discovery/hosts?since={}&timeout_ms=1500", version - 1),
        };
        assert_eq!(discovery_peer.request_target(), expected);
        let body = list(version, version == 7, &[row(&format!("s-{version}"), closed_address(), "Ready")]);
        discovery_peer.respond("connection: close\r\n", &body);
        planner.wait_for_line(&format!("version={version} entries=1"));
        // The connection is still open, but no further request may be sent on it.
        assert_eq!(discovery_peer.read_to_end(), b"");
    }
    assert!(!planner.seen.iter().any(|line| line.contains("discovery_failed")), "{:#?}", planner.seen);
}

#[test]
fn a_close_right_behind_a_good_answer_loses_nothing_of_it() {
    let discovery = Listener::bind();
    let mut planner = Process::start_listening("close-behind", &Config::new(discovery.at));
    let mut discovery_peer = discovery.accept();
    discovery_peer.request_target();
    planner.pause();
    discovery_peer.respond("", &list(7, true, &[row("s-1", closed_address(), "Ready")]));
    drop(discovery_peer);
    planner.resume();
    planner.wait_for_line("kind=Complete version=7 entries=1");
    // The same with a reset, after which the next request cannot be written.
    let mut discovery_peer = discovery.accept();
    assert_eq!(
        discovery_peer.request_target(),
        "/discovery/hosts",
        "the whole list repairs what may have been missed"
    );
    planner.pause();
    discovery_peer.respond("", &list(8, true, &[row("s-2", closed_address(), "Ready")]));
    discovery_peer.reset();
    planner.resume();
    planner.wait_for_line("kind=Complete version=8 entries=1");
    assert_eq!(discovery.accept().request_target(), "/discovery/hosts");
}

#[test]
fn what_stands_behind_an_answer_is_not_taken_for_the_next_one() {
    let discovery = Listener::bind();
    let mut planner = Process::start_listening("two-answers", &Config::new(discovery.at));
    let mut discovery_peer = discovery.accept();
    discovery_peer.request_target();
    let (good, unasked) = (list(7, true, &[row("s-1", closed_address(), "Ready")]), list(9, true, &[]));
    let answer = |body: &str| format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    discovery_peer.send_raw((answer(&good) + &answer(&unasked)).as_bytes());
    planner.wait_for_line("kind=Complete version=7 entries=1");
    planner.wait_for_line("more than the answer");
    assert_eq!(discovery.accept().request_target(), "/discovery/hosts");
    assert!(!planner.seen.iter().any(|line| line.contains("version=9")), "{:#?}", planner.seen);
}

#[test]
fn a_list_that_falls_silent_for_good_is_left_for_another_connection() {
    let discovery = Listener::bind();
    let mut planner = Process::start_listening("silent-list", &Config::new(discovery.at));
    let mut silent = discovery.accept();
    silent.request_target();
    silent.respond("", &list(7, true, &[row("s-1", closed_address(), "Ready")]));
    planner.wait_for_line("kind=Complete version=7");
    silent.request_target();
    // The connection stays open but silent; new data arrives on the next one.
    let mut discovery_peer = discovery.accept();
    assert_eq!(discovery_peer.request_target(), "/discovery/hosts");
    discovery_peer.respond(
        "",
        &list(8, true, &[row("s-1", closed_address(), "Ready"), row("s-2", closed_address(), "Ready")]),
    );
    planner.wait_for_line("kind=Complete version=8 entries=2");
    assert_eq!(silent.read_to_end(), b"");
}

#[test]
fn answers_of_every_broken_kind_end_their_connection_and_change_nothing() {
    let discovery = Listener::bind();
    let mut planner = Process::start_listening("broken-answers", &Config::new(discovery.at));
    let broken = [
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\n{\"rev\"\r\n",
        "HTTP/1.1 500 Oh\r\ncontent-length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\ncontent-length: 27\r\n\r\n{\"rev\":99,\"all\":\"very much\"}",
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n[]",
        "HTTP/1.1 200 OK\r\ncontent-length: many\r\n\r\n",
        "+OK\r\n",
    ];
    for bytes in broken {
        let mut discovery_peer = discovery.accept();
        assert_eq!(discovery_peer.request_target(), "/discovery/hosts");
        discovery_peer.send_raw(bytes.as_bytes());
        planner.wait_for_line("discovery_failed");
        assert_eq!(discovery_peer.read_to_end(), b"");
    }
    // Truncated: the connection ends before the announced length.
    let mut discovery_peer = discovery.accept();
    discovery_peer.request_target();
    discovery_peer
        .send_raw(b"HTTP/1.1 200 OK\r\ncontent-length: 60\r\n\r\n{\"rev\":99,\"all\":true,\"targets\":[]}");
    drop(discovery_peer);
    planner.wait_for_line("discovery_failed");
    let mut discovery_peer = discovery.accept();
    discovery_peer.request_target();
    discovery_peer.respond("", &list(7, true, &[row("s-1", closed_address(), "Ready")]));
    planner.wait_for_line("kind=Complete version=7 entries=1");
}

// ---- streams

#[test]
fn the_end_and_the_last_words_of_a_former_stream_are_none_of_the_present_one() {
    let servers =
        |second: &str| [row("s-1", closed_address(), "Ready"), row("s-2", closed_address(), second)];
    let discovery_peer = DiscoveryServer::start(&servers("Ready"));
    let planner = Process::start_listening("former-stream", &Config::new(discovery_peer.at));
    let mut former = Peer::subscribed(planner.at, 7);
    assert!(former.receive().contains("whole 1"));
    let mut present = Peer::subscribed(planner.at, 7);
    let order = present.receive();
    let ticket = order.rsplit(' ').next().expect("a mark").to_string();
    assert!(order.contains("whole 1"), "handed its table anew: {order}");
    // The former stream acknowledges the order of the present one, and is reset.
    former.send(&format!("ACK sidecar 7 version {ticket} lag_ms 1"));
    former.reset();
    present.send(&format!("ACK sidecar 7 version {ticket} lag_ms 1"));
    discovery_peer.set_rows(&servers("Terminating"));
    let order = present.receive();
    assert!(order.contains("lines s-2:0"), "{order}");
}

#[test]
fn a_reset_within_an_order_is_followed_by_the_whole_table_on_the_next_stream() {
    let rows = (0..3_000).map(|at| row(&format!("s-{at:08x}"), closed_address(), "Ready")).collect();
    let config = Config { rows, proxies: 4, ..Config::new(closed_address()) };
    let planner = Process::start_listening("half-order", &config);
    let mut former = Peer::subscribed(planner.at, 1);
    // Its order has been sent in part.
    assert!(former.read_exactly(1_000).starts_with(b"*"));
    former.reset();
    let mut present = Peer::subscribed(planner.at, 1);
    let order = present.receive();
    assert!(order.starts_with("CONFIG ") && order.contains(" whole 1 "), "{}", &order[..60]);
    assert_eq!(order.matches("s-0000").count(), 3_000, "the table is whole");
}

// ---- floods

#[test]
fn hundreds_that_say_half_a_message_and_go_keep_no_proxy_out() {
    let planner = Process::start_listening("flood", &Config::new(closed_address()));
    planner.pause();
    let mut incomplete_peers = Vec::new();
    let mut proxies = Vec::new();
    for number in 0..60 {
        for _ in 0..6 {
            let mut incomplete_peer = Peer::connect(planner.at);
            incomplete_peer.send_raw(b"*3\r\n$9\r\nSUBSCR");
            incomplete_peers.push(incomplete_peer);
        }
        proxies.push(Peer::subscribed(planner.at, number));
    }
    incomplete_peers.into_iter().for_each(Peer::reset);
    planner.resume();
    proxies.iter_mut().for_each(|proxy| assert!(proxy.receive().contains("whole 1 lines s-1:")));
    planner.check_alive();
}

#[test]
fn a_planner_without_descriptors_thinks_no_worse_of_its_servers() {
    // Nobody listens at the server's address: a probe that is sent is refused, so none can time out.
    let config = Config { sockets: 64, probes: true, ..Config::new(closed_address()) };
    let mut planner = Process::start_with_limit("descriptors", &config, &config.to_json(), Some(24));
    planner.wait_for_line("event=\"listening\"");
    let proxies: Vec<Peer> = (0..24).map(|number| Peer::subscribed(planner.at, number)).collect();
    planner.wait_for_line("not_accepted");
    planner.wait_for_line("probe_without_room");
    assert!(!planner.seen.iter().any(|line| line.contains("end=silent")), "{:#?}", planner.seen);
    drop(proxies);
    planner.wait_for_line("end=dead");
    planner.check_alive();
}
