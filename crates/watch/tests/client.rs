//! The client driven by hand: state never goes back, ages, interrupted snapshots, choice of machine and
//! backoff.

mod common;

use common::{client_config, ms, RECORD};
use pewtergap_time::{Moment, Span};
use pewtergap_watch::client::{Action, Client, MAX_PINGS};
use pewtergap_watch::machine_selector::MachineSelector;
use pewtergap_watch::messages::{
    Changes, EntryMessage, Hello, Kind, Ping, Pong, Reason, Rejection, SnapshotDelayed, Welcome,
};
use pewtergap_watch::{ClientConfig, SavedState, Scope, WatchEvent};
use std::collections::BTreeMap;

const MACHINES: &[&str] = &["m0", "m1", "m2", "m3"];

fn saved(index: u64) -> SavedState {
    let entries = [("zone/z".to_string(), b"on".to_vec())].into();
    SavedState { record_id: RECORD, index, scope: Some(Scope::ALL), entries }
}

struct TestClient {
    client: Client,
    now: Moment,
}

impl TestClient {
    fn new(client_config: ClientConfig, saved: Option<SavedState>) -> TestClient {
        let mut client = Client::new(client_config, saved);
        client.started(ms(0));
        TestClient { client, now: ms(0) }
    }

    fn run(&mut self, what: impl FnOnce(&mut Client, Moment, &mut Vec<Action>)) -> Vec<Action> {
        let mut actions = Vec::new();
        what(&mut self.client, self.now, &mut actions);
        actions
    }

    fn receive(&mut self, kind: Kind) -> Vec<Action> {
        self.run(|client, now, actions| client.handle_message(now, kind, actions))
    }

    /// Waits until it dials, and returns the machine.
    fn wait_for_dial(&mut self) -> usize {
        for _ in 0..100 {
            let due = self.client.due(self.now).expect("a next dial");
            self.now = self.now.max(due);
            let scheduled = due;
            let actions = self.run(|client, now, actions| client.tick(now, scheduled, actions));
            if let Some(Action::Dial(to)) = actions.first() {
                return usize::from(to.port() - 1_000);
            }
        }
        panic!("no dial");
    }

    fn send_hello(&mut self) -> Hello {
        self.wait_for_dial();
        let actions = self.run(|client, now, actions| client.opened(now, actions));
        match &actions[..] {
            [Action::Send(Kind::Hello(hello))] => hello.clone(),
            other => panic!("{other:?}"),
        }
    }

    /// Establishes a watch at a machine with this head.
    fn establish(&mut self, head: u64) -> Vec<Action> {
        self.send_hello();
        self.receive(welcome(head, false))
    }
}

fn welcome(head: u64, resumes_snapshot: bool) -> Kind {
    Kind::Welcome(Welcome { version: 1, record_id: RECORD, head, machine: "m".into(), resumes_snapshot })
}

fn chunk(number: u64, reset: bool, after: Option<&str>, through: u64, keys: &[(&str, Option<&str>)]) -> Kind {
    let entry = |(key, value): &(&str, Option<&str>)| {
        let value = value.map(|value| value.as_bytes().to_vec());
        EntryMessage { key: key.to_string(), index: through, value }
    };
    let done = after.is_none();
    let after = after.map(str::to_string);
    let entries = keys.iter().map(entry).collect();
    Kind::Changes(Changes { number, reset, after, through, done, entries, head: through, scope: 1 })
}

fn lost(actions: &[Action]) -> Option<&str> {
    actions.iter().find_map(|action| match action {
        Action::Notify(WatchEvent::Lost(why)) => Some(why.as_str()),
        _ => None,
    })
}

fn aborted(actions: &[Action]) -> bool {
    actions.contains(&Action::Abort)
}

fn state(client: &Client) -> BTreeMap<String, Vec<u8>> {
    client.saved_state().entries.clone()
}

/// Guards against a client whose state goes back when it moves to a machine that is behind.
#[test]
fn a_machine_that_is_behind_is_replaced_by_another() {
    let mut planner = TestClient::new(client_config("p", MACHINES), Some(saved(50)));
    let first = planner.wait_for_dial();
    let hello = planner.run(|client, now, actions| client.opened(now, actions));
    assert!(matches!(&hello[..], [Action::Send(Kind::Hello(Hello { index: 50, record_id: RECORD, .. }))]));
    let actions = planner.receive(welcome(49, false));
    assert!(aborted(&actions) && lost(&actions).is_some_and(|why| why.contains("49")), "{actions:?}");
    assert_eq!((planner.client.index(), planner.client.watching()), (50, None));
    assert_ne!(planner.wait_for_dial(), first);

    // A machine with another record is rejected as well.
    planner.run(|client, now, actions| client.opened(now, actions));
    let other = Kind::Welcome(Welcome {
        version: 1,
        record_id: 9,
        head: 900,
        machine: "m".into(),
        resumes_snapshot: false,
    });
    assert!(aborted(&planner.receive(other)));
    planner.send_hello();
    let other = Kind::Welcome(Welcome { version: 2, record_id: RECORD, head: 60, ..Welcome::default() });
    assert!(lost(&planner.receive(other)).is_some_and(|why| why.contains("version 2")));
    // A chunk with a lower index is rejected as well, whatever the welcome said.
    assert!(
        planner.establish(60).contains(&Action::Notify(WatchEvent::Watching("m0".into())))
            || planner.client.watching().is_some()
    );
    assert!(aborted(&planner.receive(chunk(1, false, None, 49, &[("zone/z", Some("off"))]))));
    assert!(!aborted(&planner.establish(60)));
    assert!(aborted(&planner.receive(chunk(1, true, None, 49, &[]))));
    assert_eq!((planner.client.index(), state(&planner.client)), (50, saved(50).entries));
}

#[test]
fn chunks_are_applied_at_once_and_in_order() {
    let mut planner = TestClient::new(client_config("p", MACHINES), Some(saved(50)));
    planner.establish(60);
    let mut more = chunk(1, false, None, 52, &[("route/r", Some("a")), ("zone/z", None)]);
    if let Kind::Changes(changes) = &mut more {
        changes.done = false;
    }
    let actions = planner.receive(more);
    assert!(matches!(&actions[..], [Action::Send(Kind::Ack(ack))] if (ack.number, ack.applied) == (1, 50)));
    assert_eq!((planner.client.index(), planner.client.pending_len()), (50, 2));
    let actions = planner.receive(chunk(2, false, None, 60, &[("route/r", Some("b"))]));
    let entries = vec![("route/r".to_string(), Some(b"b".to_vec())), ("zone/z".to_string(), None)];
    assert!(actions.contains(&Action::Notify(WatchEvent::Changed { index: 60, reset: false, entries })));
    assert_eq!((planner.client.index(), state(&planner.client).len()), (60, 1));
    let actions = planner.receive(chunk(4, false, None, 61, &[]));
    assert!(lost(&actions).is_some_and(|why| why.contains("order")));
}

#[test]
fn an_interrupted_snapshot_is_resumed_or_discarded() {
    let mut planner = TestClient::new(client_config("p", MACHINES), None);
    planner.establish(60);
    planner.receive(chunk(1, true, Some("route/r"), 60, &[("route/r", Some("a"))]));
    planner.run(|client, now, actions| client.closed(now, "gone", actions));
    let partial = planner.send_hello().partial_snapshot.expect("a partial snapshot");
    assert_eq!((partial.base, &*partial.after, partial.seen, partial.all_keys), (60, "route/r", 60, false));
    planner.receive(welcome(70, true));
    planner.receive(chunk(1, false, None, 70, &[("zone/z", Some("on"))]));
    assert_eq!(state(&planner.client).keys().collect::<Vec<_>>(), ["route/r", "zone/z"]);

    let mut planner = TestClient::new(client_config("p", MACHINES), None);
    planner.establish(60);
    planner.receive(chunk(1, true, Some("route/r"), 60, &[("route/r", Some("a"))]));
    planner.run(|client, now, actions| client.closed(now, "gone", actions));
    planner.send_hello();
    planner.receive(welcome(70, false));
    // A machine that resumes a snapshot whose partial state was discarded is in error.
    assert!(aborted(&planner.receive(chunk(1, false, Some("zone/a"), 70, &[]))));
    planner.establish(70);
    planner.receive(chunk(1, true, None, 70, &[("zone/z", Some("on"))]));
    assert_eq!(state(&planner.client).keys().collect::<Vec<_>>(), ["zone/z"]);
}

#[test]
fn a_new_scope_starts_with_a_snapshot() {
    let mut planner = TestClient::new(client_config("p", MACHINES), Some(saved(50)));
    planner.establish(60);
    let scope = Scope { servers: None, routes: Some(["r".to_string()].into()) };
    let actions = planner.run(|client, now, actions| client.rescope(now, scope.clone(), actions));
    assert!(matches!(&actions[..], [Action::Send(Kind::Rescope(scope))] if scope.number == 2));
    // Chunks of the old scope that were in flight are acknowledged but not applied.
    let actions = planner.receive(chunk(1, false, None, 55, &[("zone/z", Some("off"))]));
    assert!(matches!(&actions[..], [Action::Send(Kind::Ack(_))]));
    assert_eq!((planner.client.index(), state(&planner.client)), (50, saved(50).entries));
    // If the link is lost now, the next machine learns that the state belongs to another scope.
    planner.run(|client, now, actions| client.closed(now, "gone", actions));
    let hello = planner.send_hello();
    assert_eq!((hello.index, hello.reset, hello.scope.routes.len()), (50, true, 1));
    planner.receive(welcome(60, false));
    let mut whole = chunk(1, true, None, 60, &[("route/r", Some("a"))]);
    if let Kind::Changes(changes) = &mut whole {
        changes.scope = 2;
    }
    planner.receive(whole);
    assert_eq!(
        (planner.client.index(), planner.client.saved_state().scope.clone()),
        (60, Some(scope.clone()))
    );
    // The saved state names its own scope.
    let decoded = SavedState::decode(&planner.client.saved_state().encode()).expect("a valid encoding");
    assert_eq!(&decoded, planner.client.saved_state());
    assert!(TestClient::new(client_config("p", MACHINES), Some(decoded)).send_hello().reset);
    let mut bytes = planner.client.saved_state().encode();
    bytes[11] ^= 1;
    assert!(SavedState::decode(&bytes).is_err() && SavedState::decode(&[]).is_err());
}

/// A scope that is too large for a message is widened, not truncated.
#[test]
fn a_scope_that_is_too_large_is_widened_to_all() {
    let names = (0..4_000).map(|at| format!("{at:0200}")).collect();
    let scope = Scope { servers: Some(names), routes: Some(Default::default()) };
    let mut planner = TestClient::new(ClientConfig { scope, ..client_config("p", MACHINES) }, None);
    let hello = planner.send_hello();
    assert!(hello.scope.all_servers && hello.scope.all_routes);
}

#[test]
fn age_counts_from_the_ping_and_only_for_applied_indexes() {
    let mut planner = TestClient::new(client_config("p", MACHINES), Some(saved(50)));
    let actions = planner.establish(60);
    let [Action::Notify(_), Action::Send(Kind::Ping(ping))] = &actions[..] else { panic!("{actions:?}") };
    assert_eq!((ping.applied, ping.echo), (50, 0));
    planner.now = planner.now + Span::millis(400);
    let pong = |token, age_ms| Kind::Pong(Pong { token, head: 60, age_ms });
    planner.receive(pong(ping.token, Some(30)));
    assert_eq!(planner.client.age(planner.now), None, "60 is not received yet");
    planner.receive(chunk(1, false, None, 60, &[]));
    assert_eq!(planner.client.age(planner.now), None, "60 is not applied yet");
    let actions = planner.run(|client, now, actions| client.applied(now, 60, actions));
    // Answered 400 ms ago with an age of 30 ms; the clock may be slow by 2 %.
    let age = planner.client.age(planner.now).expect("a known age");
    assert!(age >= Span::millis(430) && age < Span::millis(440), "{age}");
    let next = Ping { token: ping.token + 1, applied: 60, echo: ping.token };
    assert_eq!(actions, [Action::Send(Kind::Ping(next))]);
    // A machine that doesn't know the age leaves it as it was.
    planner.receive(pong(ping.token + 1, None));
    assert!(planner.client.age(planner.now).is_some_and(|again| again == age));
    // A further applied index is reported with the next message, after 100 ms at the latest.
    planner.receive(chunk(2, false, None, 61, &[]));
    assert!(planner.run(|client, now, actions| client.applied(now, 61, actions)).is_empty());
    assert_eq!(planner.client.due(planner.now), Some(planner.now + Span::millis(100)));
    planner.now = planner.now + Span::millis(5_000);
    assert!(planner.client.age(planner.now).is_some_and(|later| later >= age + Span::millis(5_000)));
}

#[test]
fn the_client_leaves_a_silent_machine() {
    let mut planner = TestClient::new(client_config("p", MACHINES), Some(saved(50)));
    planner.establish(50);
    let since = planner.now;
    let mut pings = 0;
    let actions = loop {
        let due = planner.client.due(planner.now).expect("a next check");
        planner.now = due;
        let actions = planner.run(|client, now, actions| client.tick(now, due, actions));
        if aborted(&actions) {
            break actions;
        }
        pings += actions.len();
    };
    assert!(lost(&actions).is_some_and(|why| why.contains("silent")));
    assert_eq!((planner.now, pings), (since + Span::millis(3_000), 2));
    assert!(MAX_PINGS >= pings);
    // `SnapshotDelayed` also counts as a sign of life while no chunk arrives.
    planner.establish(50);
    planner.now = planner.now + Span::millis(2_900);
    planner.receive(Kind::SnapshotDelayed(SnapshotDelayed { in_ms: 900 }));
    planner.now = planner.now + Span::millis(2_000);
    let due = planner.client.due(planner.now).expect("a next check");
    assert!(!aborted(&planner.run(|client, now, actions| client.tick(now, due, actions))));
}

#[test]
fn the_retry_delay_of_a_rejection_is_respected() {
    let mut planner = TestClient::new(client_config("p", &["m0"]), None);
    planner.send_hello();
    let rejection = Rejection { reason: Reason::Full as i32, detail: "full".into(), retry_after_ms: 4_000 };
    let actions = planner.receive(Kind::Rejection(rejection));
    assert!(lost(&actions).is_some_and(|why| why.contains("Full")));
    let at = planner.now;
    planner.wait_for_dial();
    assert!(planner.now >= at + Span::millis(4_000) && planner.now <= at + Span::millis(4_300));
}

/// Guards against reconnects synchronised by a fixed backoff: 1,000 planners that all machines reject.
#[test]
fn reconnects_are_spread_by_full_jitter() {
    let mut selectors: Vec<MachineSelector> = (0..1_000)
        .map(|at| {
            let ClientConfig { planner, machines, seed, .. } = client_config(&format!("p{at}"), MACHINES);
            MachineSelector::new(&planner, machines, seed)
        })
        .collect();
    for (failure, max) in [200_u64, 400, 800, 1_600, 3_200, 6_400, 8_000, 8_000].into_iter().enumerate() {
        let mut pauses: Vec<u64> = Vec::new();
        for selector in &mut selectors {
            selector.record_failure(ms(0), failure % 4, Some(Span(0)));
            match selector.next(ms(0)) {
                Some(Err(when)) => pauses.push(when.since(ms(0)).0 / 1_000_000),
                other => pauses.push(u64::from(other.is_none()) * 1_000_000),
            }
        }
        assert!(pauses.iter().all(|pause| *pause <= max), "{max}");
        // Each tenth of the range gets a tenth of them, within four standard deviations.
        let mut tenths = [0_u32; 10];
        pauses.iter().for_each(|pause| tenths[(pause * 10 / (max + 1)) as usize] += 1);
        assert!(tenths.iter().all(|count| (62..=138).contains(count)), "{max}: {tenths:?}");
    }
    // The same seed gives the same pauses.
    let again = |seed| {
        let mut selector = MachineSelector::new("p", client_config("p", MACHINES).machines, seed);
        (0..4).for_each(|_| selector.record_failure(ms(0), 0, None));
        format!("{:?}", selector.next(ms(0)))
    };
    assert!(again(3) == again(3) && again(3) != again(4));
}

/// The planners of a lost machine spread over all others: none gets more than twice its even part.
#[test]
fn rendezvous_spreads_a_lost_machines_planners() {
    let machines: Vec<String> = (0..11).map(|at| format!("control-{at}")).collect();
    let names: Vec<&str> = machines.iter().map(String::as_str).collect();
    let mut first: BTreeMap<String, usize> = BTreeMap::new();
    let mut second: BTreeMap<String, usize> = BTreeMap::new();
    for at in 0..3_800 {
        let ClientConfig { planner, machines, seed, .. } = client_config(&format!("planner-{at}"), &names);
        let selector = MachineSelector::new(&planner, machines, seed);
        let order: Vec<&str> = selector.by_preference().collect();
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
fn a_client_that_left_does_nothing() {
    let mut planner = TestClient::new(client_config("p", MACHINES), Some(saved(50)));
    planner.establish(50);
    let actions = planner.run(|client, now, actions| client.leave(now, actions));
    assert!(matches!(&actions[..], [Action::Send(Kind::Leave(_)), Action::Close]));
    assert_eq!(planner.client.due(planner.now), None);
    assert!(planner.run(|client, now, actions| client.closed(now, "gone", actions)).is_empty());
}
