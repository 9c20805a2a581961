//! A planner's side, by hand: never back, age, what is broken off, whom it dials and when.

mod common;

use common::{client_config, ms, RECORD};
use pewtergap_time::{Moment, Span};
use pewtergap_watch::choice::Choice;
use pewtergap_watch::client::{Act, Client, MOST_PINGS};
use pewtergap_watch::messages::{
    Changes, EntryMessage, Hello, Kind, Ping, Pong, Reason, Refuse, SnapshotDelayed, Welcome,
};
use pewtergap_watch::{ClientConfig, SavedState, Scope, WatchEvent};
use std::collections::BTreeMap;

const MACHINES: &[&str] = &["m0", "m1", "m2", "m3"];

fn kept(index: u64) -> SavedState {
    let entries = [("zone/z".to_string(), b"on".to_vec())].into();
    SavedState { record_id: RECORD, index, scope: Some(Scope::ALL), entries }
}

struct One {
    client: Client,
    now: Moment,
}

impl One {
    fn new(client_config: ClientConfig, kept: Option<SavedState>) -> One {
        let mut client = Client::new(client_config, kept);
        client.started(ms(0));
        One { client, now: ms(0) }
    }

    fn does(&mut self, what: impl FnOnce(&mut Client, Moment, &mut Vec<Act>)) -> Vec<Act> {
        let mut acts = Vec::new();
        what(&mut self.client, self.now, &mut acts);
        acts
    }

    fn word(&mut self, kind: Kind) -> Vec<Act> {
        self.does(|client, now, acts| client.word(now, kind, acts))
    }

    /// Until it dials, and whom.
    fn dials(&mut self) -> usize {
        for _ in 0..100 {
            let due = self.client.due(self.now).expect("it wants to");
            self.now = self.now.max(due);
            let was = due;
            let acts = self.does(|client, now, acts| client.tick(now, was, acts));
            if let Some(Act::Dial(to)) = acts.first() {
                return usize::from(to.port() - 1_000);
            }
        }
        panic!("it dials nobody");
    }

    fn asks(&mut self) -> Hello {
        self.dials();
        let acts = self.does(|client, now, acts| client.opened(now, acts));
        match &acts[..] {
            [Act::Say(Kind::Hello(hello))] => hello.clone(),
            other => panic!("{other:?}"),
        }
    }

    /// A watch stands, at a machine of this head.
    fn watches(&mut self, head: u64) -> Vec<Act> {
        self.asks();
        self.word(welcome(head, false))
    }
}

fn welcome(head: u64, resumes_snapshot: bool) -> Kind {
    Kind::Welcome(Welcome { version: 1, record_id: RECORD, head, machine: "m".into(), resumes_snapshot })
}

fn piece(number: u64, reset: bool, after: Option<&str>, through: u64, keys: &[(&str, Option<&str>)]) -> Kind {
    let entry = |(key, value): &(&str, Option<&str>)| {
        let value = value.map(|value| value.as_bytes().to_vec());
        EntryMessage { key: key.to_string(), index: through, value }
    };
    let done = after.is_none();
    let after = after.map(str::to_string);
    let entries = keys.iter().map(entry).collect();
    Kind::Changes(Changes { number, reset, after, through, done, entries, head: through, scope: 1 })
}

fn lost(acts: &[Act]) -> Option<&str> {
    acts.iter().find_map(|act| match act {
        Act::Tell(WatchEvent::Lost(why)) => Some(why.as_str()),
        _ => None,
    })
}

fn cut(acts: &[Act]) -> bool {
    acts.contains(&Act::Cut)
}

fn state(client: &Client) -> BTreeMap<String, Vec<u8>> {
    client.saved_state().entries.clone()
}

/// A client that is taken back when it changes machines.
#[test]
fn a_machine_that_is_behind_is_left_and_another_dialled() {
    let mut one = One::new(client_config("p", MACHINES), Some(kept(50)));
    let first = one.dials();
    let hello = one.does(|client, now, acts| client.opened(now, acts));
    assert!(matches!(&hello[..], [Act::Say(Kind::Hello(Hello { index: 50, record_id: RECORD, .. }))]));
    let acts = one.word(welcome(49, false));
    assert!(cut(&acts) && lost(&acts).is_some_and(|why| why.contains("49")), "{acts:?}");
    assert_eq!((one.client.index(), one.client.watching()), (50, None));
    assert_ne!(one.dials(), first);

    // Another record's state is none.
    one.does(|client, now, acts| client.opened(now, acts));
    let other = Kind::Welcome(Welcome {
        version: 1,
        record_id: 9,
        head: 900,
        machine: "m".into(),
        resumes_snapshot: false,
    });
    assert!(cut(&one.word(other)));
    one.asks();
    let other = Kind::Welcome(Welcome { version: 2, record_id: RECORD, head: 60, ..Welcome::default() });
    assert!(lost(&one.word(other)).is_some_and(|why| why.contains("version 2")));
    // Nor does a piece bring it back, whatever the welcome said.
    assert!(
        one.watches(60).contains(&Act::Tell(WatchEvent::Watching("m0".into())))
            || one.client.watching().is_some()
    );
    assert!(cut(&one.word(piece(1, false, None, 49, &[("zone/z", Some("off"))]))));
    assert!(!cut(&one.watches(60)));
    assert!(cut(&one.word(piece(1, true, None, 49, &[]))));
    assert_eq!((one.client.index(), state(&one.client)), (50, kept(50).entries));
}

#[test]
fn pieces_apply_as_one_and_in_their_order() {
    let mut one = One::new(client_config("p", MACHINES), Some(kept(50)));
    one.watches(60);
    let mut more = piece(1, false, None, 52, &[("route/r", Some("a")), ("zone/z", None)]);
    if let Kind::Changes(changes) = &mut more {
        changes.done = false;
    }
    let acts = one.word(more);
    assert!(matches!(&acts[..], [Act::Say(Kind::Ack(took))] if (took.number, took.applied) == (1, 50)));
    assert_eq!((one.client.index(), one.client.pending_len()), (50, 2));
    let acts = one.word(piece(2, false, None, 60, &[("route/r", Some("b"))]));
    let entries = vec![("route/r".to_string(), Some(b"b".to_vec())), ("zone/z".to_string(), None)];
    assert!(acts.contains(&Act::Tell(WatchEvent::Changed { index: 60, reset: false, entries })));
    assert_eq!((one.client.index(), state(&one.client).len()), (60, 1));
    let acts = one.word(piece(4, false, None, 61, &[]));
    assert!(lost(&acts).is_some_and(|why| why.contains("order")));
}

#[test]
fn a_snapshot_broken_off_goes_on_elsewhere_or_is_dropped() {
    let mut one = One::new(client_config("p", MACHINES), None);
    one.watches(60);
    one.word(piece(1, true, Some("route/r"), 60, &[("route/r", Some("a"))]));
    one.does(|client, now, acts| client.closed(now, "gone", acts));
    let broken = one.asks().partial_snapshot.expect("it was broken off");
    assert_eq!((broken.base, &*broken.after, broken.seen, broken.all_keys), (60, "route/r", 60, false));
    one.word(welcome(70, true));
    one.word(piece(1, false, None, 70, &[("zone/z", Some("on"))]));
    assert_eq!(state(&one.client).keys().collect::<Vec<_>>(), ["route/r", "zone/z"]);

    let mut one = One::new(client_config("p", MACHINES), None);
    one.watches(60);
    one.word(piece(1, true, Some("route/r"), 60, &[("route/r", Some("a"))]));
    one.does(|client, now, acts| client.closed(now, "gone", acts));
    one.asks();
    one.word(welcome(70, false));
    // A machine that goes on with what nobody holds is wrong.
    assert!(cut(&one.word(piece(1, false, Some("zone/a"), 70, &[]))));
    one.watches(70);
    one.word(piece(1, true, None, 70, &[("zone/z", Some("on"))]));
    assert_eq!(state(&one.client).keys().collect::<Vec<_>>(), ["zone/z"]);
}

#[test]
fn another_scope_comes_anew_before_anything_of_it_counts() {
    let mut one = One::new(client_config("p", MACHINES), Some(kept(50)));
    one.watches(60);
    let scope = Scope { servers: None, routes: Some(["r".to_string()].into()) };
    let acts = one.does(|client, now, acts| client.rescope(now, scope.clone(), acts));
    assert!(matches!(&acts[..], [Act::Say(Kind::Rescope(told))] if told.number == 2));
    // What was on its way is of the old one: taken, and not applied.
    let acts = one.word(piece(1, false, None, 55, &[("zone/z", Some("off"))]));
    assert!(matches!(&acts[..], [Act::Say(Kind::Ack(_))]));
    assert_eq!((one.client.index(), state(&one.client)), (50, kept(50).entries));
    // Broken off here, the next machine is told that what is held is of another scope.
    one.does(|client, now, acts| client.closed(now, "gone", acts));
    let hello = one.asks();
    assert_eq!((hello.index, hello.reset, hello.scope.routes.len()), (50, true, 1));
    one.word(welcome(60, false));
    let mut whole = piece(1, true, None, 60, &[("route/r", Some("a"))]);
    if let Kind::Changes(changes) = &mut whole {
        changes.scope = 2;
    }
    one.word(whole);
    assert_eq!((one.client.index(), one.client.saved_state().scope.clone()), (60, Some(scope.clone())));
    // On its disk, it is of the scope that it says.
    let read = SavedState::decode(&one.client.saved_state().encode()).expect("it was just written");
    assert_eq!(&read, one.client.saved_state());
    assert!(One::new(client_config("p", MACHINES), Some(read)).asks().reset);
    let mut bytes = one.client.saved_state().encode();
    bytes[11] ^= 1;
    assert!(SavedState::decode(&bytes).is_err() && SavedState::decode(&[]).is_err());
}

/// A scope that no word holds is widened, not cut.
#[test]
fn a_scope_too_long_is_all() {
    let names = (0..4_000).map(|at| format!("{at:0200}")).collect();
    let scope = Scope { servers: Some(names), routes: Some(Default::default()) };
    let mut one = One::new(ClientConfig { scope, ..client_config("p", MACHINES) }, None);
    let hello = one.asks();
    assert!(hello.scope.all_servers && hello.scope.all_routes);
}

#[test]
fn age_is_counted_from_when_it_was_asked_and_only_in_force() {
    let mut one = One::new(client_config("p", MACHINES), Some(kept(50)));
    let acts = one.watches(60);
    let [Act::Tell(_), Act::Say(Kind::Ping(ping))] = &acts[..] else { panic!("{acts:?}") };
    assert_eq!((ping.applied, ping.echo), (50, 0));
    one.now = one.now + Span::millis(400);
    let alive = |token, age_ms| Kind::Pong(Pong { token, head: 60, age_ms });
    one.word(alive(ping.token, Some(30)));
    assert_eq!(one.client.age(one.now), None, "60 is not told yet");
    one.word(piece(1, false, None, 60, &[]));
    assert_eq!(one.client.age(one.now), None, "60 is not in force yet");
    let acts = one.does(|client, now, acts| client.applied(now, 60, acts));
    // 400 ms ago all that had been kept 30 ms before; the clock may be slow by a fiftieth.
    let age = one.client.age(one.now).expect("it is known");
    assert!(age >= Span::millis(430) && age < Span::millis(440), "{age}");
    let next = Ping { token: ping.token + 1, applied: 60, echo: ping.token };
    assert_eq!(acts, [Act::Say(Kind::Ping(next))]);
    // A machine that never knew says nothing of it.
    one.word(alive(ping.token + 1, None));
    assert!(one.client.age(one.now).is_some_and(|again| again == age));
    // More in force at once is said with the next word, a tenth of a second later at the latest.
    one.word(piece(2, false, None, 61, &[]));
    assert!(one.does(|client, now, acts| client.applied(now, 61, acts)).is_empty());
    assert_eq!(one.client.due(one.now), Some(one.now + Span::millis(100)));
    one.now = one.now + Span::millis(5_000);
    assert!(one.client.age(one.now).is_some_and(|later| later >= age + Span::millis(5_000)));
}

#[test]
fn a_machine_that_is_not_heard_is_left() {
    let mut one = One::new(client_config("p", MACHINES), Some(kept(50)));
    one.watches(50);
    let since = one.now;
    let mut pings = 0;
    let acts = loop {
        let due = one.client.due(one.now).expect("it looks");
        one.now = due;
        let acts = one.does(|client, now, acts| client.tick(now, due, acts));
        if cut(&acts) {
            break acts;
        }
        pings += acts.len();
    };
    assert!(lost(&acts).is_some_and(|why| why.contains("not heard")));
    assert_eq!((one.now, pings), (since + Span::millis(3_000), 2));
    assert!(MOST_PINGS >= pings);
    // Later is a word of life, and no piece needs to come.
    one.watches(50);
    one.now = one.now + Span::millis(2_900);
    one.word(Kind::SnapshotDelayed(SnapshotDelayed { in_ms: 900 }));
    one.now = one.now + Span::millis(2_000);
    let due = one.client.due(one.now).expect("it looks");
    assert!(!cut(&one.does(|client, now, acts| client.tick(now, due, acts))));
}

#[test]
fn a_refusal_is_kept_to() {
    let mut one = One::new(client_config("p", &["m0"]), None);
    one.asks();
    let refuse = Refuse { reason: Reason::Full as i32, detail: "full".into(), retry_after_ms: 4_000 };
    let acts = one.word(Kind::Refuse(refuse));
    assert!(lost(&acts).is_some_and(|why| why.contains("Full")));
    let at = one.now;
    one.dials();
    assert!(one.now >= at + Span::millis(4_000) && one.now <= at + Span::millis(4_300));
}

/// Reconnects synchronised by a fixed back-off: 1,000 planners whose machines all refuse them.
#[test]
fn reconnects_are_spread_by_full_jitter() {
    let mut choices: Vec<Choice> = (0..1_000)
        .map(|at| {
            let ClientConfig { planner, machines, seed, .. } = client_config(&format!("p{at}"), MACHINES);
            Choice::new(&planner, machines, seed)
        })
        .collect();
    for (failure, most) in [200_u64, 400, 800, 1_600, 3_200, 6_400, 8_000, 8_000].into_iter().enumerate() {
        let mut pauses: Vec<u64> = Vec::new();
        for choice in &mut choices {
            choice.over(ms(0), failure % 4, Some(Span(0)));
            match choice.next(ms(0)) {
                Some(Err(when)) => pauses.push(when.since(ms(0)).0 / 1_000_000),
                other => pauses.push(u64::from(other.is_none()) * 1_000_000),
            }
        }
        assert!(pauses.iter().all(|pause| *pause <= most), "{most}");
        // In each tenth of the span a tenth of them, within four deviations.
        let mut tenths = [0_u32; 10];
        pauses.iter().for_each(|pause| tenths[(pause * 10 / (most + 1)) as usize] += 1);
        assert!(tenths.iter().all(|count| (62..=138).contains(count)), "{most}: {tenths:?}");
    }
    // The same seed, the same pauses.
    let again = |seed| {
        let mut choice = Choice::new("p", client_config("p", MACHINES).machines, seed);
        (0..4).for_each(|_| choice.over(ms(0), 0, None));
        format!("{:?}", choice.next(ms(0)))
    };
    assert!(again(3) == again(3) && again(3) != again(4));
}

/// A lost machine's planners spread over all others: none gets more than twice its even part.
#[test]
fn rendezvous_spreads_a_lost_machines_planners() {
    let machines: Vec<String> = (0..11).map(|at| format!("control-{at}")).collect();
    let names: Vec<&str> = machines.iter().map(String::as_str).collect();
    let mut first: BTreeMap<String, usize> = BTreeMap::new();
    let mut second: BTreeMap<String, usize> = BTreeMap::new();
    for at in 0..3_800 {
        let ClientConfig { planner, machines, seed, .. } = client_config(&format!("planner-{at}"), &names);
        let choice = Choice::new(&planner, machines, seed);
        let order: Vec<&str> = choice.order().collect();
        *first.entry(order[0].into()).or_default() += 1;
        if order[0] == "control-3" {
            *second.entry(order[1].into()).or_default() += 1;
        }
    }
    let even = 3_800 / 11;
    assert!(first.len() == 11 && first.values().all(|count| (even * 4 / 5..even * 6 / 5).contains(count)));
    let lost = first["control-3"] / 10;
    assert!(second.len() == 10 && second.values().all(|count| *count <= 2 * lost), "{second:?}");
}

#[test]
fn one_that_left_does_nothing_more() {
    let mut one = One::new(client_config("p", MACHINES), Some(kept(50)));
    one.watches(50);
    let acts = one.does(|client, now, acts| client.leave(now, acts));
    assert!(matches!(&acts[..], [Act::Say(Kind::Leave(_)), Act::Finish]));
    assert_eq!(one.client.due(one.now), None);
    assert!(one.does(|client, now, acts| client.closed(now, "gone", acts)).is_empty());
}
