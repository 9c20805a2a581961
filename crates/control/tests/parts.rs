//! The service's small machines, as short printed traces.

use pewtergap_control::channel::{count_lines, Channel};
use pewtergap_control::endpoints::{Endpoint, EndpointList, Slice};
use pewtergap_control::list_watch::{Action as ListAction, ListWatch};
use pewtergap_control::report_queue::ReportQueue;
use pewtergap_control::tables::Tables;
use pewtergap_planner::interner::Interner;
use pewtergap_planner::{Action, Load, ResendPolicy};
use pewtergap_protocol::{Line, TableChange, Update};
use pewtergap_time::{Moment, Span};
use std::net::SocketAddr;

const START: Moment = Moment(1_000_000_000_000);

fn ms(ms: u64) -> Moment {
    START + Span::millis(ms)
}

fn change(table: u32, from: u64, set: &[(&str, f64)], removed: &[&str]) -> Update {
    let set =
        set.iter().map(|(server, weight)| Line { server: server.to_string(), weight: *weight }).collect();
    let removed: Vec<String> = removed.iter().map(|server| server.to_string()).collect();
    let table = TableChange { table, from, to: from + 1, set, removed, ..TableChange::default() };
    let mut update = Update { tables: vec![table], mark: from as u32, ..Update::default() };
    update.lines = count_lines(&update);
    update
}

fn shown(update: &Update) -> String {
    let tables = update.tables.iter().map(|t| {
        let set: Vec<String> = t.set.iter().map(|l| format!("{}={}", l.server, l.weight)).collect();
        format!("table {} {}->{} set [{}] removed {:?}", t.table, t.from, t.to, set.join(" "), t.removed)
    });
    let binds = update.binds.iter().map(|bind| format!("bind {}", bind.table));
    tables.chain(binds).collect::<Vec<_>>().join(", ")
}

#[test]
fn removals_leave_first_and_join_what_waits_for_the_same_proxy() {
    let mut channel = Channel::new(100.0, 3.0, 1000.0);
    let mut trace = String::new();
    for proxy in 0..3 {
        channel.enqueue(ms(0), proxy, change(1, 1, &[("a", 1.0), ("b", 2.0)], &[])).unwrap();
    }
    channel.enqueue(ms(5), 2, change(1, 2, &[], &["b"])).unwrap();
    channel.enqueue(ms(6), 1, change(1, 2, &[("b", 3.0)], &[])).unwrap();
    trace += &format!("{} lines wait\n", channel.lines());
    for at in 10..400 {
        while let Some((proxy, update)) = channel.pop(ms(at)) {
            trace += &format!("{at} ms to {proxy}: {} lines, {}\n", update.lines, shown(&update));
        }
    }
    insta::assert_snapshot!(trace);
}

#[test]
fn a_channel_takes_no_more_than_its_limit_however_long_nobody_reads() {
    let mut channel = Channel::new(1.0, 3.0, 50.0);
    let mut refused = 0;
    for turn in 0..1_000u64 {
        let server = format!("s{turn}");
        refused +=
            usize::from(channel.enqueue(ms(turn), 7, change(1, turn, &[(&server, 1.0)], &[])).is_err());
        assert!(channel.lines() <= 50.0);
    }
    assert!(refused > 10, "{refused}");
    channel.forget(7);
    assert_eq!((channel.lines(), channel.messages()), (0.0, 0));
}

#[test]
fn a_proxy_gets_the_whole_once_and_changes_from_then_on() {
    let mut servers: Interner<String> = Interner::default();
    for name in ["a:1", "b:1", "c:1"] {
        servers.intern(&name.to_string());
    }
    let set = |table, server, weight| Action::SetLine { table, server, weight };
    let bind = |proxy, table| Action::Bind { proxy, table, routes: 0 };
    let mut tables = Tables::default();
    let mut trace = String::new();
    let mut turn = |tables: &mut Tables, at: u64, orders: &[Action]| {
        for (proxy, update) in tables.carry_out(ms(at), at, orders, &servers) {
            trace += &format!("turn {at} to {proxy}: {}\n", shown(&update));
        }
    };
    tables.join(0, std::iter::empty());
    turn(&mut tables, 1, &[set(0, 0, 1.0), set(0, 1, 0.5), bind(0, 0)]);
    let gate = Action::SetLevel { table: 0, routes: 1, level: 0.5, resend: ResendPolicy::Never };
    turn(&mut tables, 2, &[set(0, 2, 0.25), gate]);
    turn(&mut tables, 3, &[set(0, 1, 0.0)]);
    // Seen in a rehearsal: it came back with version 3 of this very start, was bound a turn later and sent the
    // whole again.
    tables.join(0, [(0, 3)].into_iter());
    turn(&mut tables, 4, &[Action::Mark { mark: 1 }]);
    turn(&mut tables, 5, &[bind(0, 0)]);
    // Another came with an older version, and one left: nothing is ordered for it.
    tables.join(1, [(0, 2)].into_iter());
    tables.leave(0);
    turn(&mut tables, 6, &[bind(1, 0)]);
    turn(&mut tables, 7, &[set(0, 0, 0.0)]);
    insta::assert_snapshot!(trace);
}

#[test]
fn reports_are_taken_in_at_their_rate_and_joined_while_they_wait() {
    let mut intake = ReportQueue::new(50.0);
    let load = Load { util: Some(0.5), in_flight: None };
    for _ in 0..100 {
        for server in 0..40 {
            intake.sums(server, 0, 10, 1, Span::millis(20), Span::millis(500), load);
        }
    }
    assert_eq!(intake.waiting(), 40);
    let taken: Vec<usize> = (0..10).map(|at| intake.take(ms(at * 100)).len()).collect();
    insta::assert_snapshot!(format!("{taken:?} then {} wait", intake.waiting()));
}

fn slice(version: u64, endpoints: &str, annotations: &str) -> Slice {
    let text = format!(
        r#"{{"metadata":{{"name":"n","resourceVersion":"{version}","annotations":{{{annotations}}}}},
        "endpoints":[{endpoints}],"ports":[{{"port":80}}]}}"#
    );
    serde_json::from_str(&text).unwrap()
}

fn endpoint(ip: &str, conditions: &str) -> String {
    format!(r#"{{"addresses":["{ip}"],"conditions":{{{conditions}}},"zone":"north"}}"#)
}

#[test]
fn slices_become_changes_and_what_cannot_be_used_is_named() {
    let mut roll = EndpointList::default();
    let mut trace = String::new();
    let mut say = |what: &str, changes: Vec<(String, Endpoint)>, refused: &[String]| {
        trace += &format!("{what}\n");
        for (at, e) in changes {
            let started = e.started.map(|started| started.since(START));
            trace += &format!("  {at} {:?} weight {} started {started:?}\n", e.state, e.weight);
        }
        refused.iter().for_each(|what| trace += &format!("  refused: {what}\n"));
    };
    let ready = r#""ready":true"#;
    let first = [endpoint("10.0.0.1", ready), endpoint("10.0.0.2", ready)].join(",");
    let mut refused = Vec::new();
    let changes =
        roll.replace(ms(0), &[slice(5, &first, r#""pewtergap/weight":"10.0.0.1=2.5""#)], &mut refused);
    say("the first list: no start is told, all count as warm", changes, &refused);
    let second = [
        endpoint("10.0.0.1", r#""ready":false,"terminating":true"#),
        endpoint("10.0.0.3", ""),
        endpoint("10.0.0.4", r#""ready":false"#),
        endpoint("elsewhere", ready),
    ];
    let mut refused = Vec::new();
    let changes = roll.put(ms(50), &slice(6, &second.join(","), r#""pewtergap/weight":"-1""#), &mut refused);
    say("one stops, one is new, one is not ready, one has no address, one is gone", changes, &refused);
    let mut refused = Vec::new();
    let changes = roll.put(ms(60), &slice(5, &first, ""), &mut refused);
    say("an older version of the slice comes late", changes, &refused);
    say("the slice is deleted", roll.delete(ms(70), "n"), &[]);
    insta::assert_snapshot!(trace);
}

/// A watch on a bare stage, what it wants done as text.
struct Stage {
    watch: ListWatch,
    trace: String,
}

impl Stage {
    fn new(highest: u64) -> Stage {
        let at = SocketAddr::from(([127, 0, 0, 1], 7000));
        Stage { watch: ListWatch::new(at, "/slices".into(), highest), trace: String::new() }
    }

    fn say(&mut self, what: &str, told: Vec<ListAction>) {
        self.trace += &format!("{what}\n");
        for told in told {
            self.trace += &match told {
                ListAction::Dial(at) => format!("  dial {at}\n"),
                ListAction::Send(bytes) => {
                    format!("  {}\n", String::from_utf8_lossy(&bytes).lines().next().unwrap_or(""))
                }
                ListAction::Hangup { until } => format!("  hang up, wait {}\n", until.since(START)),
                ListAction::All(slices) => format!("  all: {} slices\n", slices.len()),
                ListAction::Put(slice) => {
                    format!("  put {} version {}\n", slice.metadata.name, slice.metadata.resource_version)
                }
                ListAction::Delete(name) => format!("  delete {name}\n"),
                ListAction::Note(event, why) => format!("  {event}: {why}\n"),
            };
        }
    }

    fn connect(&mut self) {
        let told = self.watch.due(START);
        self.say("due", told);
        let told = self.watch.opened(START);
        self.say("opened", told);
    }

    fn bytes(&mut self, what: &str, bytes: &str) {
        let told = self.watch.bytes(START, bytes.as_bytes());
        self.say(what, told);
    }

    fn list(&mut self, version: u64) {
        let body = format!(r#"{{"metadata":{{"resourceVersion":"{version}"}},"items":[]}}"#);
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        self.bytes(&format!("a list of version {version}"), &answer);
    }
}

const WATCH: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

fn event(kind: &str, version: u64) -> String {
    let line = format!(
        r#"{{"type":"{kind}","object":{{"metadata":{{"name":"n","resourceVersion":"{version}"}}}}}}"#
    );
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

#[test]
fn a_watch_goes_on_from_its_place_and_lists_anew_when_that_is_too_old() {
    let mut stage = Stage::new(0);
    stage.connect();
    stage.list(10);
    stage.bytes(
        "one change and a bookmark",
        &(WATCH.to_string() + &event("MODIFIED", 11) + &event("BOOKMARK", 15)),
    );
    let torn = event("MODIFIED", 16);
    stage.bytes("half a line", &torn[..torn.len() / 2]);
    let closed = stage.watch.closed(START, "the connection ended".into());
    stage.say("the connection ends within the line", closed);
    stage.connect();
    stage.bytes("410 as the answer", "HTTP/1.1 410 Gone\r\ncontent-length: 0\r\n\r\n");
    stage.connect();
    stage.list(30);
    let error = r#"{"type":"ERROR","object":{"code":410}}"#;
    stage.bytes("410 as an event", &format!("{WATCH}{:x}\r\n{error}\n\r\n", error.len() + 1));
    stage.connect();
    stage.bytes("no list at all", "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n[1,2");
    stage.bytes("what comes after a hang-up", "HTTP/1.1 200 OK\r\n\r\n");
    insta::assert_snapshot!(stage.trace);
}

#[test]
fn a_list_that_went_back_is_doubted_and_believed_when_it_stays() {
    let mut stage = Stage::new(50);
    for _ in 0..6 {
        stage.connect();
        stage.list(40);
    }
    insta::assert_snapshot!(stage.trace);
}

#[test]
fn a_watch_of_damaged_bytes_breaks_and_never_panics() {
    let mut rng = fastrand::Rng::with_seed(5);
    let good = WATCH.to_string() + &event("MODIFIED", 11) + &event("DELETED", 12) + &event("ADDED", 13);
    let mut broken = 0;
    for _ in 0..3_000 {
        let mut bytes = good.clone().into_bytes();
        for _ in 0..rng.usize(1..4) {
            let at = rng.usize(0..bytes.len());
            bytes[at] = rng.u8(..);
        }
        let mut stage = Stage::new(0);
        stage.connect();
        stage.list(10);
        let cut = rng.usize(0..bytes.len());
        for part in [&bytes[..cut], &bytes[cut..]] {
            let heard = stage.watch.bytes(START, part);
            broken += usize::from(heard.iter().any(|told| matches!(told, ListAction::Note(..))));
        }
    }
    assert!(broken > 500, "{broken}");
}
