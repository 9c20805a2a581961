//! The server driven by hand: admission, what is sent when, and what ends a watch.

mod common;

use common::{all, decode, gone, hello, ms, set, Machine, RECORD};
use pewtergap_node::Link;
use pewtergap_watch::chunks::{ChunkCache, Position};
use pewtergap_watch::messages::{
    Ack, Changes, Hello, Kind, Leave, PartialSnapshot, Reason, Rejection, MAX_CHUNKS_IN_FLIGHT,
};
use pewtergap_watch::server::{Action, MAX_UNIDENTIFIED};
use pewtergap_watch::{Cache, Scope, WatchConfig};

fn rejected(sent: &[Kind]) -> Option<Reason> {
    match sent.last() {
        Some(Kind::Rejection(Rejection { reason, .. })) => Reason::try_from(*reason).ok(),
        _ => None,
    }
}

fn keys(changes: &Changes) -> Vec<(&str, Option<&str>)> {
    let text = |value: &Vec<u8>| std::str::from_utf8(value).expect("valid UTF-8").to_string();
    let entries = changes.entries.iter();
    entries.map(|entry| (&*entry.key, entry.value.as_ref().map(|value| &*text(value).leak()))).collect()
}

fn ack(number: u64, applied: u64) -> Kind {
    Kind::Ack(Ack { number, applied })
}

#[test]
fn hello_is_accepted_or_rejected() {
    let cases: &[(&str, Hello, Option<Reason>)] = &[
        ("no state yet", hello("a", 0), None),
        ("same index as the machine", hello("a", 9), None),
        (
            "a build with newer versions only",
            Hello { min_version: 2, max_version: 3, ..hello("a", 0) },
            Some(Reason::Version),
        ),
        ("an older build", Hello { min_version: 0, max_version: 0, ..hello("a", 0) }, Some(Reason::Version)),
        ("a newer build that supports this version", Hello { max_version: 7, ..hello("a", 0) }, None),
        ("another record", Hello { record_id: 5, ..hello("a", 3) }, Some(Reason::Record)),
        ("ahead of the machine", hello("a", 10), Some(Reason::Behind)),
    ];
    for (what, hello, expected) in cases {
        let mut machine = Machine::with_keys(WatchConfig::default(), 9, 10);
        machine.connect(1, hello.clone());
        let sent = machine.sent(1);
        assert_eq!(rejected(&sent), *expected, "{what}");
        assert_eq!(matches!(sent[0], Kind::Welcome(_)), expected.is_none(), "{what}");
        assert_eq!(machine.server.stats().watches, usize::from(expected.is_none()), "{what}");
    }
}

#[test]
fn rejections_without_a_record_when_full_and_when_stopping() {
    let mut machine = Machine::with_keys(WatchConfig { max_watches: 2, ..WatchConfig::default() }, 3, 10);
    machine.connect(1, hello("a", 3));
    machine.connect(2, hello("b", 3));
    machine.connect(3, hello("c", 3));
    assert_eq!(rejected(&machine.sent(3)), Some(Reason::Full));
    // A newer watch of a connected planner needs no extra room; an older one is rejected.
    machine.connect(4, Hello { watch_number: 2, ..hello("b", 3) });
    assert_eq!(rejected(&machine.sent(2)), Some(Reason::Replaced));
    machine.connect(5, hello("b", 3));
    assert_eq!(rejected(&machine.sent(5)), Some(Reason::Replaced));
    machine.connect(6, Hello { start: 0, watch_number: 9, ..hello("b", 3) });
    assert_eq!(rejected(&machine.sent(6)), Some(Reason::Replaced));
    assert!(matches!(machine.sent(4)[..], [Kind::Welcome(_)]));
    machine.server.stop(machine.now, &mut machine.actions);
    assert_eq!(
        (rejected(&machine.sent(1)), rejected(&machine.sent(4))),
        (Some(Reason::Stopping), Some(Reason::Stopping))
    );
    machine.accepted(7);
    assert_eq!(rejected(&machine.sent(7)), Some(Reason::Stopping));
    let counts = machine.server.stats().rejections;
    assert_eq!((counts[&Reason::Replaced], counts[&Reason::Full], counts[&Reason::Stopping]), (3, 1, 3));

    let mut server = pewtergap_watch::server::Server::new(WatchConfig::default(), "m".into(), 1);
    let mut actions = Vec::new();
    server.accepted(ms(0), Link(1), &mut actions);
    server.handle_message(ms(0), Link(1), Kind::Hello(hello("a", 0)), &mut actions);
    let [Action::Send(_, sent), Action::Close(_)] = &actions[..] else { panic!("{actions:?}") };
    assert_eq!(rejected(std::slice::from_ref(sent)), Some(Reason::Behind));
}

#[test]
fn pending_links_are_bounded_and_closed() {
    let mut machine = Machine::with_keys(WatchConfig::default(), 1, 1);
    (0..MAX_UNIDENTIFIED as u64 + 5).for_each(|link| machine.accepted(link));
    assert_eq!(machine.server.stats().unidentified, MAX_UNIDENTIFIED);
    assert_eq!(machine.actions.iter().filter(|action| matches!(action, Action::Abort(_))).count(), 5);
    machine.advance(2_000);
    assert_eq!(rejected(&machine.sent(0)), Some(Reason::Deaf));
    machine.actions.clear();
    // A rejected link that isn't closed by the peer is reset.
    machine.advance(2_000);
    assert_eq!(machine.actions.len(), MAX_UNIDENTIFIED);
    assert!(machine.actions.iter().all(|action| matches!(action, Action::Abort(_))));
}

#[test]
fn unexpected_messages_end_a_watch() {
    let cases: &[(&str, bool, Kind)] = &[
        ("a message before hello", false, ack(1, 0)),
        ("hello twice", true, Kind::Hello(hello("a", 1))),
        ("an ack for a chunk that was not sent", true, ack(1, 0)),
        (
            "an applied index above the head",
            true,
            Kind::Ping(pewtergap_watch::messages::Ping { token: 1, applied: 2, echo: 0 }),
        ),
        (
            "a message that only machines send",
            true,
            Kind::SnapshotDelayed(pewtergap_watch::messages::SnapshotDelayed { in_ms: 1 }),
        ),
    ];
    for (what, after_hello, message) in cases {
        let mut machine = Machine::with_keys(WatchConfig::default(), 1, 1);
        machine.accepted(1);
        if *after_hello {
            machine.send(1, Kind::Hello(hello("a", 1)));
        }
        machine.send(1, message.clone());
        assert_eq!(rejected(&machine.sent(1)), Some(Reason::Bad), "{what}");
        assert_eq!(machine.server.stats().watches, 0, "{what}");
    }
}

/// A frequently changed key must not wake all its watchers each time: they are sent the first change at
/// once, then one state per batch interval.
#[test]
fn a_hot_key_is_sent_once_per_batch_interval() {
    let mut machine = Machine::with_keys(WatchConfig::default(), 1, 1);
    let watchers = 100;
    for link in 0..watchers {
        machine.connect(link, hello(&format!("p{link}"), 1));
    }
    machine.actions.clear();
    let mut received = vec![Vec::new(); watchers as usize];
    // 100 changes of one key within a second.
    for change in 0..100 {
        machine.apply(2 + change, vec![set("weight/s1", &change.to_string())]);
        for link in 0..watchers {
            for chunk in machine.chunks(link) {
                machine.send(link, ack(chunk.number, 1));
                received[link as usize].push((machine.now, chunk.through, chunk.entries.len()));
            }
        }
        machine.advance(10);
    }
    machine.advance(200);
    for link in 0..watchers {
        let received = &mut received[link as usize];
        received.extend(machine.chunks(link).iter().map(|p| (machine.now, p.through, p.entries.len())));
        assert_eq!(received[0], (ms(0), 2, 1));
        assert!((10..=12).contains(&received.len()), "{received:?}");
        assert!(received.iter().all(|(_, _, entries)| *entries == 1));
        assert_eq!(received.last().map(|received| received.1), Some(101));
    }
    // A chunk for all of them is built once.
    let stats = machine.server.stats();
    assert!(stats.chunks_built <= 12 && stats.chunks_reused >= 1_000, "{stats:?}");
}

#[test]
fn coalescing_never_loses_a_delete() {
    let mut machine = Machine::new(WatchConfig::default());
    machine.apply(1, vec![set("route/r", "a"), set("zone/z", "on")]);
    machine.connect(1, hello("a", 1));
    machine.apply(2, vec![set("route/x", "1")]);
    let first = machine.chunks(1);
    assert_eq!(keys(&first[0]), [("route/x", Some("1"))]);
    // Between two batches: deleted and set, set and deleted, created and deleted.
    machine.apply(3, vec![gone("zone/z")]);
    machine.apply(4, vec![set("zone/z", "off")]);
    machine.apply(5, vec![gone("route/r")]);
    machine.apply(6, vec![set("route/y", "1")]);
    machine.apply(7, vec![gone("route/y")]);
    assert!(machine.chunks(1).is_empty());
    machine.send(1, ack(1, 2));
    machine.advance(100);
    let [chunk] = &machine.chunks(1)[..] else { panic!("expected one chunk") };
    assert_eq!(keys(chunk), [("zone/z", Some("off")), ("route/r", None), ("route/y", None)]);
    assert_eq!((chunk.through, chunk.done, chunk.reset), (7, true, false));
}

#[test]
fn a_pong_waits_behind_at_most_two_chunks() {
    let mut machine = Machine::with_keys(WatchConfig::default(), 100, 4_000);
    machine.connect(1, hello("a", 0));
    let mut behind = 0;
    let mut received = 0;
    for token in 1..200 {
        machine.ping(1, token, 0);
        let sent = machine.sent(1);
        let before: Vec<u64> = sent
            .iter()
            .take_while(|kind| !matches!(kind, Kind::Pong(_)))
            .filter_map(|kind| match kind {
                Kind::Changes(changes) => Some(changes.number),
                _ => None,
            })
            .collect();
        // All chunks in flight precede this answer.
        assert!(
            before.len() <= MAX_CHUNKS_IN_FLIGHT && machine.server.max_in_flight() <= MAX_CHUNKS_IN_FLIGHT
        );
        behind = behind.max(before.len());
        received += before.len();
        before.into_iter().for_each(|number| machine.send(1, ack(number, 0)));
    }
    assert_eq!((behind, received), (MAX_CHUNKS_IN_FLIGHT, 25));
}

#[test]
fn unresponsive_and_silent_planners_are_closed() {
    let mut machine = Machine::with_keys(WatchConfig::default(), 100, 4_000);
    machine.connect(1, hello("deaf", 0));
    machine.connect(2, hello("silent", 100));
    machine.connect(3, hello("fine", 100));
    let mut ended = Vec::new();
    for second in 1..=6 {
        machine.advance(1_000);
        machine.ping(1, second, 0);
        machine.ping(3, second, 100);
        for link in 1..=3 {
            ended.extend(rejected(&machine.sent(link)).map(|reason| (second, link, reason)));
        }
    }
    assert_eq!(ended, [(4, 2, Reason::Deaf), (5, 1, Reason::Deaf)]);
    assert_eq!(machine.server.stats().watches, 1);
}

/// A machine that was stalled must not count its planners as silent before it has read what is waiting.
#[test]
fn after_a_stall_waiting_messages_are_read_first() {
    let mut machine = Machine::with_keys(WatchConfig::default(), 1, 1);
    machine.connect(1, hello("a", 1));
    machine.now = ms(10_000);
    machine.server.tick(machine.now, &mut machine.actions);
    assert!(rejected(&machine.sent(1)).is_none());
    machine.ping(1, 1, 1);
    machine.advance(3_900);
    assert_eq!(machine.server.stats().watches, 1);
    machine.advance(200);
    assert_eq!(rejected(&machine.sent(1)), Some(Reason::Deaf));
}

#[test]
fn compaction_during_a_snapshot_restarts_it() {
    let mut machine =
        Machine::with_keys(WatchConfig { max_tombstones: 2, ..WatchConfig::default() }, 40, 4_000);
    machine.connect(1, hello("a", 0));
    let first = machine.chunks(1);
    assert!(first[0].reset && !first[1].reset && first[1].after.is_some());
    // Keys that were already sent are deleted, and their tombstones removed.
    for index in 41..=44 {
        machine.apply(index, vec![gone(&format!("zone/{:05}", index - 40))]);
    }
    machine.send(1, ack(1, 0));
    let next = machine.chunks(1);
    assert!(next[0].reset, "{:?}", next[0].after);
    assert_eq!(keys(&next[0])[0].0, "zone/00005");
    // A snapshot whose base is not compacted continues.
    machine.apply(45, vec![gone("zone/00005")]);
    machine.send(1, ack(2, 0));
    assert!(machine.chunks(1).iter().all(|chunk| !chunk.reset));
}

/// Several keys changed at one index; a watcher was sent some of them before the tombstone of another was
/// removed.
#[test]
fn a_partly_sent_index_is_compacted_with_its_tombstones() {
    let mut cache = Cache::with_max_tombstones(1);
    cache.apply(1, [set("a", "1"), set("b", "1")]);
    cache.apply(2, [set("a", "2"), gone("b")]);
    let partly = Position::Change { index: 2, sub_index: 0, through: 1 };
    assert!(!partly.is_compacted(&cache));
    cache.apply(3, [set("c", "1")]);
    cache.apply(4, [gone("c")]);
    assert_eq!(cache.compacted_index(), 2);
    assert!(partly.is_compacted(&cache) && !Position::at_index(2).is_compacted(&cache));
}

#[test]
fn an_interrupted_snapshot_resumes_at_another_machine() {
    let mut one = Machine::with_keys(WatchConfig::default(), 40, 4_000);
    one.connect(1, hello("a", 0));
    let received = one.chunks(1);
    let last = received.last().expect("two chunks");
    let after = last.after.clone().expect("a snapshot in progress");
    let partial =
        PartialSnapshot { base: last.through, after: after.clone(), seen: last.head, all_keys: false };
    let resumes_snapshot = |machine: &mut Machine, partial: &PartialSnapshot| {
        machine.connect(1, Hello { partial_snapshot: Some(partial.clone()), ..hello("a", 0) });
        let sent = machine.sent(1);
        let Kind::Welcome(welcome) = &sent[0] else { panic!("{sent:?}") };
        let Kind::Changes(first) = &sent[1] else { panic!("{sent:?}") };
        (welcome.resumes_snapshot, first.reset, first.entries[0].key.clone())
    };
    let next = format!("zone/{:05}", after[5..].parse::<u64>().expect("a number") + 1);
    assert_eq!(
        resumes_snapshot(&mut Machine::with_keys(WatchConfig::default(), 40, 4_000), &partial),
        (true, false, next.clone())
    );
    // A machine that is further sends what changed since.
    assert_eq!(
        resumes_snapshot(&mut Machine::with_keys(WatchConfig::default(), 50, 4_000), &partial),
        (true, false, next)
    );
    // A machine that is behind `seen` starts over, and so does one that doesn't know the deletions since the
    // base.
    let first = "zone/00001".to_string();
    let seen = PartialSnapshot { seen: 45, ..partial.clone() };
    assert_eq!(
        resumes_snapshot(&mut Machine::with_keys(WatchConfig::default(), 44, 4_000), &seen),
        (false, true, first.clone())
    );
    let mut restored = Machine::with_keys(WatchConfig::default(), 40, 4_000);
    let all = (1..=41).map(|at| (format!("zone/{at:05}"), vec![1; 4_000])).collect();
    restored.server.restore(restored.now, 41, all, &mut restored.actions);
    assert_eq!(resumes_snapshot(&mut restored, &partial), (false, true, first));
}

#[test]
fn changes_of_scope_and_of_record() {
    let mut machine = Machine::new(WatchConfig::default());
    machine.apply(1, vec![set("server/s1", "a"), set("server/s2", "b"), set("releases", "r")]);
    machine.connect(1, hello("a", 1));
    let scope = Scope { servers: Some(["s2".to_string()].into()), routes: None };
    machine.actions.clear();
    machine.send(1, Kind::Rescope(scope.to_message(2)));
    let [chunk] = &machine.chunks(1)[..] else { panic!("expected one chunk") };
    assert_eq!(keys(chunk), [("releases", Some("r")), ("server/s2", Some("b"))]);
    assert_eq!((chunk.reset, chunk.done, chunk.scope), (true, true, 2));
    // Changes out of scope only move the index.
    machine.send(1, ack(1, 1));
    machine.advance(100);
    machine.apply(2, vec![set("server/s1", "c")]);
    let [chunk] = &machine.chunks(1)[..] else { panic!("expected one chunk") };
    assert_eq!((chunk.entries.len(), chunk.through, chunk.done), (0, 2, true));

    machine.server.set_record_id(machine.now, RECORD + 1, &mut machine.actions);
    assert_eq!(rejected(&machine.sent(1)), Some(Reason::Record));
    assert_eq!((machine.server.cache().head(), machine.server.age(machine.now)), (0, None));
}

/// Bytes delayed by a network partition report the state at the time of sending: no earlier than the pong
/// that they echo.
#[test]
fn a_report_is_as_old_as_the_pong_it_echoes() {
    let mut machine = Machine::with_keys(WatchConfig::default(), 2, 1);
    machine.connect(1, hello("a", 1));
    let as_of = |machine: &mut Machine| {
        let sent = std::mem::take(&mut machine.actions).into_iter().rev();
        sent.filter_map(|action| match action {
            Action::PlannerHeard { as_of, applied, .. } => Some((as_of, applied)),
            _ => None,
        })
        .next()
    };
    machine.now = ms(500);
    machine.send(1, ack(1, 1));
    assert_eq!(as_of(&mut machine), Some((ms(0), 1)), "the chunk was sent at 0");
    machine.now = ms(900);
    machine.ping(1, 1, 2);
    assert_eq!(as_of(&mut machine), Some((ms(0), 2)), "no echo");
    machine.now = ms(3_000);
    machine.ping(1, 2, 2);
    assert_eq!(as_of(&mut machine), Some((ms(900), 2)), "echoes the pong sent at 900");
}

#[test]
fn a_planner_that_leaves_is_no_longer_expected() {
    let mut machine = Machine::with_keys(WatchConfig::default(), 1, 1);
    machine.connect(1, hello("a", 1));
    machine.connect(2, hello("b", 1));
    machine.actions.clear();
    machine.send(1, Kind::Leave(Leave {}));
    machine.server.closed(machine.now, Link(2), &mut machine.actions);
    let ends: Vec<(&str, bool)> = machine
        .actions
        .iter()
        .filter_map(|action| match action {
            Action::WatchEnded { planner, left, .. } => Some((planner.as_str(), *left)),
            _ => None,
        })
        .collect();
    assert_eq!(ends, [("a", true), ("b", false)]);
}

/// A shared chunk is encoded to the same bytes as a message made for one link.
#[test]
fn a_shared_chunk_is_framed_like_a_message() {
    let mut cache = Cache::default();
    cache.apply(3, [set("zone/z", "on"), gone("route/r")]);
    let mut shared = ChunkCache::default();
    let chunk = shared.chunk(&cache, (1, &Scope::from(all())), &Position::at_index(1), false);
    let Kind::Changes(received) = decode(&chunk.frame(300, 9)) else { panic!("expected changes") };
    assert_eq!(
        (received.number, received.scope, received.through, received.head, received.done),
        (300, 9, 3, 3, true)
    );
    assert_eq!(keys(&received), [("zone/z", Some("on")), ("route/r", None)]);
}
