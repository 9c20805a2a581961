//! A machine's side, by hand: who is taken in, what is told when, and what ends a watch.

mod common;

use common::{all, decode, gone, hello, ms, set, Machine, RECORD};
use pewtergap_node::Link;
use pewtergap_watch::messages::{
    Ack, Changes, Hello, Kind, Leave, PartialSnapshot, Reason, Refuse, MAX_CHUNKS_IN_FLIGHT,
};
use pewtergap_watch::pieces::{Position, Shared};
use pewtergap_watch::server::{Act, MOST_STRANGERS};
use pewtergap_watch::{Cache, Scope, WatchConfig};

fn refused(said: &[Kind]) -> Option<Reason> {
    match said.last() {
        Some(Kind::Refuse(Refuse { reason, .. })) => Reason::try_from(*reason).ok(),
        _ => None,
    }
}

fn keys(changes: &Changes) -> Vec<(&str, Option<&str>)> {
    let text = |value: &Vec<u8>| std::str::from_utf8(value).expect("it is text").to_string();
    let entries = changes.entries.iter();
    entries.map(|entry| (&*entry.key, entry.value.as_ref().map(|value| &*text(value).leak()))).collect()
}

fn took(number: u64, applied: u64) -> Kind {
    Kind::Ack(Ack { number, applied })
}

#[test]
fn who_is_taken_in() {
    let cases: &[(&str, Hello, Option<Reason>)] = &[
        ("nothing yet", hello("a", 0), None),
        ("as far as the machine", hello("a", 9), None),
        ("another build", Hello { min_version: 2, max_version: 3, ..hello("a", 0) }, Some(Reason::Version)),
        ("an older build", Hello { min_version: 0, max_version: 0, ..hello("a", 0) }, Some(Reason::Version)),
        ("a newer build that speaks this too", Hello { max_version: 7, ..hello("a", 0) }, None),
        ("another record", Hello { record_id: 5, ..hello("a", 3) }, Some(Reason::Record)),
        ("further than the machine", hello("a", 10), Some(Reason::Behind)),
    ];
    for (what, hello, expected) in cases {
        let mut machine = Machine::filled(WatchConfig::default(), 9, 10);
        machine.comes(1, hello.clone());
        let said = machine.said(1);
        assert_eq!(refused(&said), *expected, "{what}");
        assert_eq!(matches!(said[0], Kind::Welcome(_)), expected.is_none(), "{what}");
        assert_eq!(machine.server.stats().watches, usize::from(expected.is_none()), "{what}");
    }
}

#[test]
fn without_a_record_stopping_and_full() {
    let mut machine = Machine::filled(WatchConfig { max_watches: 2, ..WatchConfig::default() }, 3, 10);
    machine.comes(1, hello("a", 3));
    machine.comes(2, hello("b", 3));
    machine.comes(3, hello("c", 3));
    assert_eq!(refused(&machine.said(3)), Some(Reason::Full));
    // A newer watch of one that is here needs no other room; an older one is not taken in.
    machine.comes(4, Hello { watch_number: 2, ..hello("b", 3) });
    assert_eq!(refused(&machine.said(2)), Some(Reason::Replaced));
    machine.comes(5, hello("b", 3));
    assert_eq!(refused(&machine.said(5)), Some(Reason::Replaced));
    machine.comes(6, Hello { start: 0, watch_number: 9, ..hello("b", 3) });
    assert_eq!(refused(&machine.said(6)), Some(Reason::Replaced));
    assert!(matches!(machine.said(4)[..], [Kind::Welcome(_)]));
    machine.server.stop(machine.now, &mut machine.acts);
    assert_eq!(
        (refused(&machine.said(1)), refused(&machine.said(4))),
        (Some(Reason::Stopping), Some(Reason::Stopping))
    );
    machine.accepted(7);
    assert_eq!(refused(&machine.said(7)), Some(Reason::Stopping));
    let counts = machine.server.stats().refused;
    assert_eq!((counts[&Reason::Replaced], counts[&Reason::Full], counts[&Reason::Stopping]), (3, 1, 3));

    let mut server = pewtergap_watch::server::Server::new(WatchConfig::default(), "m".into(), 1);
    let mut acts = Vec::new();
    server.accepted(ms(0), Link(1), &mut acts);
    server.word(ms(0), Link(1), Kind::Hello(hello("a", 0)), &mut acts);
    let [Act::Say(_, said), Act::Finish(_)] = &acts[..] else { panic!("{acts:?}") };
    assert_eq!(refused(std::slice::from_ref(said)), Some(Reason::Behind));
}

#[test]
fn strangers_are_bounded_and_closed() {
    let mut machine = Machine::filled(WatchConfig::default(), 1, 1);
    (0..MOST_STRANGERS as u64 + 5).for_each(|link| machine.accepted(link));
    assert_eq!(machine.server.stats().unidentified, MOST_STRANGERS);
    assert_eq!(machine.acts.iter().filter(|act| matches!(act, Act::Cut(_))).count(), 5);
    machine.pass(2_000);
    assert_eq!(refused(&machine.said(0)), Some(Reason::Deaf));
    machine.acts.clear();
    // One that is told and does not go is cut.
    machine.pass(2_000);
    assert_eq!(machine.acts.len(), MOST_STRANGERS);
    assert!(machine.acts.iter().all(|act| matches!(act, Act::Cut(_))));
}

#[test]
fn words_out_of_place_end_a_watch() {
    let cases: &[(&str, bool, Kind)] = &[
        ("a word before hello", false, took(1, 0)),
        ("hello twice", true, Kind::Hello(hello("a", 1))),
        ("a piece that was not sent", true, took(1, 0)),
        (
            "more in force than was told",
            true,
            Kind::Ping(pewtergap_watch::messages::Ping { token: 1, applied: 2, echo: 0 }),
        ),
        (
            "a machine's word",
            true,
            Kind::SnapshotDelayed(pewtergap_watch::messages::SnapshotDelayed { in_ms: 1 }),
        ),
    ];
    for (what, after_hello, word) in cases {
        let mut machine = Machine::filled(WatchConfig::default(), 1, 1);
        machine.accepted(1);
        if *after_hello {
            machine.say(1, Kind::Hello(hello("a", 1)));
        }
        machine.say(1, word.clone());
        assert_eq!(refused(&machine.said(1)), Some(Reason::Bad), "{what}");
        assert_eq!(machine.server.stats().watches, 0, "{what}");
    }
}

/// A hot key whose watchers all wake at once: told at once after quiet, then once a pace, and once each time.
#[test]
fn a_hot_key_is_told_once_a_pace() {
    let mut machine = Machine::filled(WatchConfig::default(), 1, 1);
    let watchers = 100;
    for link in 0..watchers {
        machine.comes(link, hello(&format!("p{link}"), 1));
    }
    machine.acts.clear();
    let mut told = vec![Vec::new(); watchers as usize];
    // 100 changes of one key within a second.
    for change in 0..100 {
        machine.apply(2 + change, vec![set("weight/s1", &change.to_string())]);
        for link in 0..watchers {
            for piece in machine.pieces(link) {
                machine.say(link, took(piece.number, 1));
                told[link as usize].push((machine.now, piece.through, piece.entries.len()));
            }
        }
        machine.pass(10);
    }
    machine.pass(200);
    for link in 0..watchers {
        let told = &mut told[link as usize];
        told.extend(machine.pieces(link).iter().map(|p| (machine.now, p.through, p.entries.len())));
        assert_eq!(told[0], (ms(0), 2, 1));
        assert!((10..=12).contains(&told.len()), "{told:?}");
        assert!(told.iter().all(|(_, _, entries)| *entries == 1));
        assert_eq!(told.last().map(|told| told.1), Some(101));
    }
    // What all are told is made once.
    let view = machine.server.stats();
    assert!(view.chunks_built <= 12 && view.chunks_reused >= 1_000, "{view:?}");
}

#[test]
fn a_delete_is_never_lost_by_coalescing() {
    let mut machine = Machine::new(WatchConfig::default());
    machine.apply(1, vec![set("route/r", "a"), set("zone/z", "on")]);
    machine.comes(1, hello("a", 1));
    machine.apply(2, vec![set("route/x", "1")]);
    let first = machine.pieces(1);
    assert_eq!(keys(&first[0]), [("route/x", Some("1"))]);
    // While nothing is told: gone and set, set and gone, come and gone.
    machine.apply(3, vec![gone("zone/z")]);
    machine.apply(4, vec![set("zone/z", "off")]);
    machine.apply(5, vec![gone("route/r")]);
    machine.apply(6, vec![set("route/y", "1")]);
    machine.apply(7, vec![gone("route/y")]);
    assert!(machine.pieces(1).is_empty());
    machine.say(1, took(1, 2));
    machine.pass(100);
    let [piece] = &machine.pieces(1)[..] else { panic!("one piece") };
    assert_eq!(keys(piece), [("zone/z", Some("off")), ("route/r", None), ("route/y", None)]);
    assert_eq!((piece.through, piece.done, piece.reset), (7, true, false));
}

#[test]
fn a_word_of_life_waits_behind_no_more_than_two_pieces() {
    let mut machine = Machine::filled(WatchConfig::default(), 100, 4_000);
    machine.comes(1, hello("a", 0));
    let mut behind = 0;
    let mut told = 0;
    for token in 1..200 {
        machine.ping(1, token, 0);
        let said = machine.said(1);
        let before: Vec<u64> = said
            .iter()
            .take_while(|kind| !matches!(kind, Kind::Pong(_)))
            .filter_map(|kind| match kind {
                Kind::Changes(changes) => Some(changes.number),
                _ => None,
            })
            .collect();
        // All that is on its way and not taken lies before this answer.
        assert!(
            before.len() <= MAX_CHUNKS_IN_FLIGHT && machine.server.max_in_flight() <= MAX_CHUNKS_IN_FLIGHT
        );
        behind = behind.max(before.len());
        told += before.len();
        before.into_iter().for_each(|number| machine.say(1, took(number, 0)));
    }
    assert_eq!((behind, told), (MAX_CHUNKS_IN_FLIGHT, 25));
}

#[test]
fn one_that_takes_nothing_is_closed_and_one_that_is_silent() {
    let mut machine = Machine::filled(WatchConfig::default(), 100, 4_000);
    machine.comes(1, hello("deaf", 0));
    machine.comes(2, hello("silent", 100));
    machine.comes(3, hello("fine", 100));
    let mut ended = Vec::new();
    for second in 1..=6 {
        machine.pass(1_000);
        machine.ping(1, second, 0);
        machine.ping(3, second, 100);
        for link in 1..=3 {
            ended.extend(refused(&machine.said(link)).map(|reason| (second, link, reason)));
        }
    }
    assert_eq!(ended, [(4, 2, Reason::Deaf), (5, 1, Reason::Deaf)]);
    assert_eq!(machine.server.stats().watches, 1);
}

/// A machine that was stopped does not hold its planners for silent before it has read what waits.
#[test]
fn after_a_stop_of_its_own_all_are_heard_first() {
    let mut machine = Machine::filled(WatchConfig::default(), 1, 1);
    machine.comes(1, hello("a", 1));
    machine.now = ms(10_000);
    machine.server.tick(machine.now, &mut machine.acts);
    assert!(refused(&machine.said(1)).is_none());
    machine.ping(1, 1, 1);
    machine.pass(3_900);
    assert_eq!(machine.server.stats().watches, 1);
    machine.pass(200);
    assert_eq!(refused(&machine.said(1)), Some(Reason::Deaf));
}

#[test]
fn compaction_while_a_snapshot_is_told_begins_it_anew() {
    let mut machine = Machine::filled(WatchConfig { max_tombstones: 2, ..WatchConfig::default() }, 40, 4_000);
    machine.comes(1, hello("a", 0));
    let first = machine.pieces(1);
    assert!(first[0].reset && !first[1].reset && first[1].after.is_some());
    // Keys that were told go, and are forgotten.
    for index in 41..=44 {
        machine.apply(index, vec![gone(&format!("zone/{:05}", index - 40))]);
    }
    machine.say(1, took(1, 0));
    let next = machine.pieces(1);
    assert!(next[0].reset, "{:?}", next[0].after);
    assert_eq!(keys(&next[0])[0].0, "zone/00005");
    // A base that is not forgotten goes on.
    machine.apply(45, vec![gone("zone/00005")]);
    machine.say(1, took(2, 0));
    assert!(machine.pieces(1).iter().all(|piece| !piece.reset));
}

/// Several keys of one place, of which a watcher was told some before another was forgotten.
#[test]
fn a_place_told_in_part_is_lost_with_its_tombstones() {
    let mut cache = Cache::remembering(1);
    cache.apply(1, [set("a", "1"), set("b", "1")]);
    cache.apply(2, [set("a", "2"), gone("b")]);
    let partly = Position::Beyond { index: 2, within: 0, through: 1 };
    assert!(!partly.lost(&cache));
    cache.apply(3, [set("c", "1")]);
    cache.apply(4, [gone("c")]);
    assert_eq!(cache.forgotten(), 2);
    assert!(partly.lost(&cache) && !Position::at(2).lost(&cache));
}

#[test]
fn a_snapshot_broken_off_goes_on_at_another_machine() {
    let mut one = Machine::filled(WatchConfig::default(), 40, 4_000);
    one.comes(1, hello("a", 0));
    let told = one.pieces(1);
    let last = told.last().expect("two pieces");
    let after = last.after.clone().expect("keys are told");
    let broken =
        PartialSnapshot { base: last.through, after: after.clone(), seen: last.head, all_keys: false };
    let resumes_snapshot = |machine: &mut Machine, broken: &PartialSnapshot| {
        machine.comes(1, Hello { partial_snapshot: Some(broken.clone()), ..hello("a", 0) });
        let said = machine.said(1);
        let Kind::Welcome(welcome) = &said[0] else { panic!("{said:?}") };
        let Kind::Changes(first) = &said[1] else { panic!("{said:?}") };
        (welcome.resumes_snapshot, first.reset, first.entries[0].key.clone())
    };
    let next = format!("zone/{:05}", after[5..].parse::<u64>().expect("a number") + 1);
    assert_eq!(
        resumes_snapshot(&mut Machine::filled(WatchConfig::default(), 40, 4_000), &broken),
        (true, false, next.clone())
    );
    // One that is further has what changed since.
    assert_eq!(
        resumes_snapshot(&mut Machine::filled(WatchConfig::default(), 50, 4_000), &broken),
        (true, false, next)
    );
    // One that is behind what was seen, and one that does not know what went since the base, begin anew.
    let first = "zone/00001".to_string();
    let seen = PartialSnapshot { seen: 45, ..broken.clone() };
    assert_eq!(
        resumes_snapshot(&mut Machine::filled(WatchConfig::default(), 44, 4_000), &seen),
        (false, true, first.clone())
    );
    let mut restored = Machine::filled(WatchConfig::default(), 40, 4_000);
    let all = (1..=41).map(|at| (format!("zone/{at:05}"), vec![1; 4_000])).collect();
    restored.server.restore(restored.now, 41, all, &mut restored.acts);
    assert_eq!(resumes_snapshot(&mut restored, &broken), (false, true, first));
}

#[test]
fn another_record_and_another_scope() {
    let mut machine = Machine::new(WatchConfig::default());
    machine.apply(1, vec![set("server/s1", "a"), set("server/s2", "b"), set("releases", "r")]);
    machine.comes(1, hello("a", 1));
    let scope = Scope { servers: Some(["s2".to_string()].into()), routes: None };
    machine.acts.clear();
    machine.say(1, Kind::Rescope(scope.to_message(2)));
    let [piece] = &machine.pieces(1)[..] else { panic!("one piece") };
    assert_eq!(keys(piece), [("releases", Some("r")), ("server/s2", Some("b"))]);
    assert_eq!((piece.reset, piece.done, piece.scope), (true, true, 2));
    // What is out of scope moves the place alone.
    machine.say(1, took(1, 1));
    machine.pass(100);
    machine.apply(2, vec![set("server/s1", "c")]);
    let [piece] = &machine.pieces(1)[..] else { panic!("one piece") };
    assert_eq!((piece.entries.len(), piece.through, piece.done), (0, 2, true));

    machine.server.set_record_id(machine.now, RECORD + 1, &mut machine.acts);
    assert_eq!(refused(&machine.said(1)), Some(Reason::Record));
    assert_eq!((machine.server.cache().head(), machine.server.age(machine.now)), (0, None));
}

/// Bytes that a cut held back say what was so when they were sent: no earlier than what they answer.
#[test]
fn what_a_planner_says_is_as_old_as_what_it_echoes() {
    let mut machine = Machine::filled(WatchConfig::default(), 2, 1);
    machine.comes(1, hello("a", 1));
    let vouched = |machine: &mut Machine| {
        let said = std::mem::take(&mut machine.acts).into_iter().rev();
        said.filter_map(|act| match act {
            Act::Heard { vouched, applied, .. } => Some((vouched, applied)),
            _ => None,
        })
        .next()
    };
    machine.now = ms(500);
    machine.say(1, took(1, 1));
    assert_eq!(vouched(&mut machine), Some((ms(0), 1)), "the piece was sent at 0");
    machine.now = ms(900);
    machine.ping(1, 1, 2);
    assert_eq!(vouched(&mut machine), Some((ms(0), 2)), "it echoes nothing");
    machine.now = ms(3_000);
    machine.ping(1, 2, 2);
    assert_eq!(vouched(&mut machine), Some((ms(900), 2)), "it echoes what was answered at 900");
}

#[test]
fn one_that_leaves_is_expected_no_more() {
    let mut machine = Machine::filled(WatchConfig::default(), 1, 1);
    machine.comes(1, hello("a", 1));
    machine.comes(2, hello("b", 1));
    machine.acts.clear();
    machine.say(1, Kind::Leave(Leave {}));
    machine.server.closed(machine.now, Link(2), &mut machine.acts);
    let ends: Vec<(&str, bool)> = machine
        .acts
        .iter()
        .filter_map(|act| match act {
            Act::Gone { planner, left, .. } => Some((planner.as_str(), *left)),
            _ => None,
        })
        .collect();
    assert_eq!(ends, [("a", true), ("b", false)]);
}

/// What is shared is the same bytes as what is made for one.
#[test]
fn a_frame_is_the_word_it_stands_for() {
    let mut cache = Cache::default();
    cache.apply(3, [set("zone/z", "on"), gone("route/r")]);
    let mut shared = Shared::default();
    let piece = shared.piece(&cache, (1, &Scope::from(all())), &Position::at(1), false);
    let Kind::Changes(told) = decode(&piece.frame(300, 9)) else { panic!("changes") };
    assert_eq!((told.number, told.scope, told.through, told.head, told.done), (300, 9, 3, 3, true));
    assert_eq!(keys(&told), [("zone/z", Some("on")), ("route/r", None)]);
}
