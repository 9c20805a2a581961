//! Two things that may come in either order, forced on a real process. Rows of docs/crossings.md name these tests.

mod peer;

use peer::*;
use pewtergap_resp::{Bounds, Reader};

// ---- start

#[test]
fn a_file_that_is_just_being_replaced_is_no_refusal_to_start() {
    let told = Told::new(nobody());
    let text = told.text();
    let mut planner = Process::start("torn-start", &told, &text[..text.len() / 2]);
    planner.line("configuration_refused");
    planner.rewrite(&text);
    planner.line("listening");
    planner.alive();
}

#[test]
fn an_address_that_the_process_before_still_holds_is_taken_once_it_lets_go() {
    let before = Door::open();
    let told = Told { listen: before.at, ..Told::new(nobody()) };
    let mut planner = Process::start("held-address", &told, &told.text());
    planner.line("not_listening");
    drop(before);
    planner.line("event=\"listening\"");
    planner.alive();
}

#[test]
fn hundreds_at_the_door_of_a_planner_that_starts_all_hear_that_it_lives() {
    let rows = (0..2_000).map(|at| row(&format!("s-{at:08x}"), nobody(), "Ready")).collect();
    let told = Told { rows, ..Told::new(nobody()) };
    let planner = Process::ready("full-door", &told);
    planner.hold();
    let mut peers: Vec<Peer> = (0..300).map(|_| Peer::connect(planner.at)).collect();
    peers.iter_mut().for_each(|peer| peer.say("PING"));
    planner.go_on();
    peers.iter_mut().for_each(|peer| assert_eq!(peer.hear(), "PONG"));
}

// ---- shutdown

#[test]
fn an_exit_asked_for_while_the_file_is_unreadable_is_an_end_in_order() {
    let told = Told::new(nobody());
    let mut planner = Process::start("exit-before-start", &told, "{");
    planner.line("configuration_refused");
    planner.signal("-TERM");
    assert_eq!(planner.ended().code(), Some(0));
}

#[test]
fn signals_that_come_in_one_batch_end_it_in_order() {
    let told = Told::new(nobody());
    let mut planner = Process::ready("signals", &told);
    planner.hold();
    ["-HUP", "-TERM", "-TERM"].iter().for_each(|name| planner.signal(name));
    planner.go_on();
    assert_eq!(planner.ended().code(), Some(0));
}

#[test]
fn streams_that_do_not_read_hold_up_no_end_and_none_is_left_within_a_message() {
    let rows = (0..500).map(|at| row(&format!("s-{at:08x}"), nobody(), "Ready")).collect();
    let told = Told { rows, ..Told::new(nobody()) };
    let mut planner = Process::ready("deaf-streams", &told);
    let mut proxies: Vec<Peer> = (0..200).map(|number| Peer::joined(planner.at, number)).collect();
    planner.line("event=\"orders\"");
    planner.signal("-TERM");
    assert_eq!(planner.ended().code(), Some(0));
    let mut whole = 0;
    for proxy in &mut proxies {
        let mut reader = Reader::new(Bounds { bytes: 1 << 20, items: 8_192 });
        reader.push(&proxy.rest());
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
    let (first, second) = (Door::open(), Door::open());
    let told = Told::new(first.at);
    let mut planner = Process::ready("long-torn", &told);
    planner.rewrite("{\"name\":");
    planner.signal("-HUP");
    // One reading at the signal and five soon after it; these were all there were.
    (0..7).for_each(|_| drop(planner.line("configuration_refused")));
    planner.rewrite(&Told { discovery: second.at, listen: told.listen, ..Told::new(nobody()) }.text());
    let mut agent = second.accept();
    assert_eq!(agent.asked(), "/discovery/hosts");
}

#[test]
fn an_old_file_behind_a_signal_and_the_new_one_after_it_still_lead_to_the_new_address() {
    let (first, second) = (Door::open(), Door::open());
    let told = Told::new(first.at);
    let mut planner = Process::ready("late-file", &told);
    let mut agent = first.accept();
    agent.asked();
    planner.signal("-HUP");
    planner.line("event=\"configuration\"");
    planner.rewrite(&Told { discovery: second.at, listen: told.listen, ..Told::new(nobody()) }.text());
    // The former address takes nothing new and closes what stands.
    drop((agent, first));
    assert_eq!(second.accept().asked(), "/discovery/hosts");
}

#[test]
fn an_address_moved_away_and_back_before_either_answered_is_followed_to_where_it_went_last() {
    let (first, second) = (Door::open(), Door::open());
    let told = Told::new(first.at);
    let mut planner = Process::ready("back-again", &told);
    let mut former = first.accept();
    former.asked();
    // Half an answer is read when the address moves.
    former.raw(b"HTTP/1.1 200 OK\r\ncontent-length: 5000\r\n\r\n{\"rev\":");
    planner.rewrite(&Told { discovery: second.at, listen: told.listen, ..Told::new(nobody()) }.text());
    planner.signal("-HUP");
    let between = second.accept();
    planner.rewrite(&told.text());
    planner.signal("-HUP");
    let mut back = first.accept();
    assert_eq!(back.asked(), "/discovery/hosts");
    back.answer("", &list(9, true, &[row("s-1", nobody(), "Ready")]));
    planner.line("kind=Complete version=9 entries=1");
    assert_eq!(back.asked(), "/discovery/hosts?since=9&timeout_ms=1500");
    drop(between);
}

// ---- the watch on the list

#[test]
fn an_answer_without_a_length_is_complete_with_the_end_of_its_connection() {
    let discovery = Door::open();
    let mut planner = Process::ready("no-length", &Told::new(discovery.at));
    let mut agent = discovery.accept();
    agent.asked();
    let body = list(7, true, &[row("s-1", nobody(), "Ready")]);
    agent.raw(format!("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{body}").as_bytes());
    drop(agent);
    planner.line("kind=Complete version=7 entries=1");
    assert_eq!(discovery.accept().asked(), "/discovery/hosts?since=7&timeout_ms=1500");
}

#[test]
fn an_answer_that_announces_its_connections_end_is_followed_up_on_another() {
    let discovery = Door::open();
    let mut planner = Process::ready("announced", &Told::new(discovery.at));
    for version in 7..10 {
        let mut agent = discovery.accept();
        let wanted = match version {
            7 => "/discovery/hosts".to_string(),
            _ => format!("/discovery/hosts?since={}&timeout_ms=1500", version - 1),
        };
        assert_eq!(agent.asked(), wanted);
        let body = list(version, version == 7, &[row(&format!("s-{version}"), nobody(), "Ready")]);
        agent.answer("connection: close\r\n", &body);
        planner.line(&format!("version={version} entries=1"));
        // The connection still stands here: nothing more may be asked on it.
        assert_eq!(agent.rest(), b"");
    }
    assert!(!planner.seen.iter().any(|line| line.contains("discovery_failed")), "{:#?}", planner.seen);
}

#[test]
fn a_close_right_behind_a_good_answer_loses_nothing_of_it() {
    let discovery = Door::open();
    let mut planner = Process::ready("close-behind", &Told::new(discovery.at));
    let mut agent = discovery.accept();
    agent.asked();
    planner.hold();
    agent.answer("", &list(7, true, &[row("s-1", nobody(), "Ready")]));
    drop(agent);
    planner.go_on();
    planner.line("kind=Complete version=7 entries=1");
    // And a reset, whose answer's next question cannot be written any more.
    let mut agent = discovery.accept();
    assert_eq!(agent.asked(), "/discovery/hosts", "the whole list repairs what may have been missed");
    planner.hold();
    agent.answer("", &list(8, true, &[row("s-2", nobody(), "Ready")]));
    agent.reset();
    planner.go_on();
    planner.line("kind=Complete version=8 entries=1");
    assert_eq!(discovery.accept().asked(), "/discovery/hosts");
}

#[test]
fn what_stands_behind_an_answer_is_not_taken_for_the_next_one() {
    let discovery = Door::open();
    let mut planner = Process::ready("two-answers", &Told::new(discovery.at));
    let mut agent = discovery.accept();
    agent.asked();
    let (good, unasked) = (list(7, true, &[row("s-1", nobody(), "Ready")]), list(9, true, &[]));
    let answer = |body: &str| format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    agent.raw((answer(&good) + &answer(&unasked)).as_bytes());
    planner.line("kind=Complete version=7 entries=1");
    planner.line("more than the answer");
    assert_eq!(discovery.accept().asked(), "/discovery/hosts");
    assert!(!planner.seen.iter().any(|line| line.contains("version=9")), "{:#?}", planner.seen);
}

#[test]
fn a_list_that_falls_silent_for_good_is_left_for_another_connection() {
    let discovery = Door::open();
    let mut planner = Process::ready("silent-list", &Told::new(discovery.at));
    let mut silent = discovery.accept();
    silent.asked();
    silent.answer("", &list(7, true, &[row("s-1", nobody(), "Ready")]));
    planner.line("kind=Complete version=7");
    silent.asked();
    // The connection stands and says nothing any more; what is new comes on the next one.
    let mut agent = discovery.accept();
    assert_eq!(agent.asked(), "/discovery/hosts");
    agent.answer("", &list(8, true, &[row("s-1", nobody(), "Ready"), row("s-2", nobody(), "Ready")]));
    planner.line("kind=Complete version=8 entries=2");
    assert_eq!(silent.rest(), b"");
}

#[test]
fn answers_of_every_broken_kind_end_their_connection_and_change_nothing() {
    let discovery = Door::open();
    let mut planner = Process::ready("broken-answers", &Told::new(discovery.at));
    let broken = [
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\n{\"rev\"\r\n",
        "HTTP/1.1 500 Oh\r\ncontent-length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\ncontent-length: 27\r\n\r\n{\"rev\":99,\"all\":\"very much\"}",
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n[]",
        "HTTP/1.1 200 OK\r\ncontent-length: many\r\n\r\n",
        "+OK\r\n",
    ];
    for bytes in broken {
        let mut agent = discovery.accept();
        assert_eq!(agent.asked(), "/discovery/hosts");
        agent.raw(bytes.as_bytes());
        planner.line("discovery_failed");
        assert_eq!(agent.rest(), b"");
    }
    // Cut short: the end comes before what was announced.
    let mut agent = discovery.accept();
    agent.asked();
    agent.raw(b"HTTP/1.1 200 OK\r\ncontent-length: 60\r\n\r\n{\"rev\":99,\"all\":true,\"targets\":[]}");
    drop(agent);
    planner.line("discovery_failed");
    let mut agent = discovery.accept();
    agent.asked();
    agent.answer("", &list(7, true, &[row("s-1", nobody(), "Ready")]));
    planner.line("kind=Complete version=7 entries=1");
}

// ---- streams

#[test]
fn the_end_and_the_last_words_of_a_former_stream_are_none_of_the_present_one() {
    let servers = |second: &str| [row("s-1", nobody(), "Ready"), row("s-2", nobody(), second)];
    let agent = Agent::start(&servers("Ready"));
    let planner = Process::ready("former-stream", &Told::new(agent.at));
    let mut former = Peer::joined(planner.at, 7);
    assert!(former.hear().contains("whole 1"));
    let mut present = Peer::joined(planner.at, 7);
    let told = present.hear();
    let ticket = told.rsplit(' ').next().expect("a mark").to_string();
    assert!(told.contains("whole 1"), "handed its table anew: {told}");
    // The former one answers for the present one, and breaks.
    former.say(&format!("ACK sidecar 7 version {ticket} lag_ms 1"));
    former.reset();
    present.say(&format!("ACK sidecar 7 version {ticket} lag_ms 1"));
    agent.tell(&servers("Terminating"));
    let told = present.hear();
    assert!(told.contains("lines s-2:0"), "{told}");
}

#[test]
fn a_reset_within_an_order_is_followed_by_the_whole_table_on_the_next_stream() {
    let rows = (0..3_000).map(|at| row(&format!("s-{at:08x}"), nobody(), "Ready")).collect();
    let told = Told { rows, proxies: 4, ..Told::new(nobody()) };
    let planner = Process::ready("half-order", &told);
    let mut former = Peer::joined(planner.at, 1);
    // Its order has begun and is not at its end.
    assert!(former.some(1_000).starts_with(b"*"));
    former.reset();
    let mut present = Peer::joined(planner.at, 1);
    let order = present.hear();
    assert!(order.starts_with("CONFIG ") && order.contains(" whole 1 "), "{}", &order[..60]);
    assert_eq!(order.matches("s-0000").count(), 3_000, "the table is whole");
}

// ---- floods

#[test]
fn hundreds_that_say_half_a_message_and_go_keep_no_proxy_out() {
    let planner = Process::ready("flood", &Told::new(nobody()));
    planner.hold();
    let mut strangers = Vec::new();
    let mut proxies = Vec::new();
    for number in 0..60 {
        for _ in 0..6 {
            let mut stranger = Peer::connect(planner.at);
            stranger.raw(b"*3\r\n$9\r\nSUBSCR");
            strangers.push(stranger);
        }
        proxies.push(Peer::joined(planner.at, number));
    }
    strangers.into_iter().for_each(Peer::reset);
    planner.go_on();
    proxies.iter_mut().for_each(|proxy| assert!(proxy.hear().contains("whole 1 lines s-1:")));
    planner.alive();
}

#[test]
fn a_planner_without_descriptors_thinks_no_worse_of_its_servers() {
    // Nobody listens where the server should: a call that goes out is refused, and nothing can be silent.
    let told = Told { sockets: 64, probes: true, ..Told::new(nobody()) };
    let mut planner = Process::limited("descriptors", &told, &told.text(), Some(24));
    planner.line("event=\"listening\"");
    let proxies: Vec<Peer> = (0..24).map(|number| Peer::joined(planner.at, number)).collect();
    planner.line("not_accepted");
    planner.line("probe_without_room");
    assert!(!planner.seen.iter().any(|line| line.contains("end=silent")), "{:#?}", planner.seen);
    drop(proxies);
    planner.line("end=dead");
    planner.alive();
}
