//! The service's state machines, tested by short traces.

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
fn removals_are_sent_first_and_merged_with_waiting_updates() {
    let mut channel = Channel::new(100.0, 3.0, 1000.0);
    let mut trace = String::new();
    for proxy in 0..3 {
        channel.enqueue(ms(0), proxy, change(1, 1, &[("a", 1.0), ("b", 2.0)], &[])).unwrap();
    }
    channel.enqueue(ms(5), 2, change(1, 2, &[], &["b"])).unwrap();
    channel.enqueue(ms(6), 1, change(1, 2, &[("b", 3.0)], &[])).unwrap();
    trace += &format!("{} lines wait\n", channel.waiting_lines());
    for at in 10..400 {
        while let Some((proxy, update)) = channel.pop(ms(at)) {
            trace += &format!("{at} ms to {proxy}: {} lines, {}\n", update.lines, shown(&update));
        }
    }
    insta::assert_snapshot!(trace);
}

#[test]
fn a_channel_never_exceeds_its_limit() {
    let mut channel = Channel::new(1.0, 3.0, 50.0);
    let mut rejected = 0;
    for turn in 0..1_000u64 {
        let server = format!("s{turn}");
        rejected +=
            usize::from(channel.enqueue(ms(turn), 7, change(1, turn, &[(&server, 1.0)], &[])).is_err());
        assert!(channel.waiting_lines() <= 50.0);
    }
    assert!(rejected > 10, "{rejected}");
    channel.remove(7);
    assert_eq!((channel.waiting_lines(), channel.waiting_messages()), (0.0, 0));
}

#[test]
fn a_proxy_gets_the_whole_table_once_and_then_changes() {
    let mut servers: Interner<String> = Interner::default();
    for name in ["a:1", "b:1", "c:1"] {
        servers.intern(&name.to_string());
    }
    let set = |table, server, weight| Action::SetLine { table, server, weight };
    let bind = |proxy, table| Action::Bind { proxy, table, routes: 0 };
    let mut tables = Tables::default();
    let mut trace = String::new();
    let mut turn = |tables: &mut Tables, at: u64, actions: &[Action]| {
        for (proxy, update) in tables.apply(ms(at), at, actions, &servers) {
            trace += &format!("turn {at} to {proxy}: {}\n", shown(&update));
        }
    };
    tables.join(0, std::iter::empty());
    turn(&mut tables, 1, &[set(0, 0, 1.0), set(0, 1, 0.5), bind(0, 0)]);
    let gate = Action::SetLevel { table: 0, routes: 1, level: 0.5, resend: ResendPolicy::Never };
    turn(&mut tables, 2, &[set(0, 2, 0.25), gate]);
    turn(&mut tables, 3, &[set(0, 1, 0.0)]);
    // The proxy reconnects with version 3 from this run of the planner and is bound a turn later; it must not be sent
    // the whole table again.
    tables.join(0, [(0, 3)].into_iter());
    turn(&mut tables, 4, &[Action::Mark { mark: 1 }]);
    turn(&mut tables, 5, &[bind(0, 0)]);
    // Another proxy joins with an older version, and the first leaves: nothing is sent to it any more.
    tables.join(1, [(0, 2)].into_iter());
    tables.leave(0);
    turn(&mut tables, 6, &[bind(1, 0)]);
    turn(&mut tables, 7, &[set(0, 0, 0.0)]);
    insta::assert_snapshot!(trace);
}

#[test]
fn reports_are_passed_on_at_their_rate_and_merged_while_they_wait() {
    let mut report_queue = ReportQueue::new(50.0);
    let load = Load { util: Some(0.5), in_flight: None };
    for _ in 0..100 {
        for server in 0..40 {
            report_queue.add_server_stats(server, 0, 10, 1, Span::millis(20), Span::millis(500), load);
        }
    }
    assert_eq!(report_queue.waiting(), 40);
    let taken: Vec<usize> = (0..10).map(|at| report_queue.take_due(ms(at * 100)).len()).collect();
    insta::assert_snapshot!(format!("{taken:?} then {} wait", report_queue.waiting()));
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
fn slices_become_changes_and_invalid_entries_are_described() {
    let mut list = EndpointList::default();
    let mut trace = String::new();
    let mut record = |what: &str, changes: Vec<(String, Endpoint)>, rejected: &[String]| {
        trace += &format!("{what}\n");
        for (at, e) in changes {
            let started = e.started.map(|started| started.since(START));
            trace += &format!("  {at} {:?} weight {} started {started:?}\n", e.state, e.weight);
        }
        rejected.iter().for_each(|what| trace += &format!("  rejected: {what}\n"));
    };
    let ready = r#""ready":true"#;
    let first = [endpoint("10.0.0.1", ready), endpoint("10.0.0.2", ready)].join(",");
    let mut rejected = Vec::new();
    let changes =
        list.replace(ms(0), &[slice(5, &first, r#""pewtergap/weight":"10.0.0.1=2.5""#)], &mut rejected);
    record("the first list: no start times, all count as warm", changes, &rejected);
    let second = [
        endpoint("10.0.0.1", r#""ready":false,"terminating":true"#),
        endpoint("10.0.0.3", ""),
        endpoint("10.0.0.4", r#""ready":false"#),
        endpoint("elsewhere", ready),
    ];
    let mut rejected = Vec::new();
    let changes = list.put(ms(50), &slice(6, &second.join(","), r#""pewtergap/weight":"-1""#), &mut rejected);
    record(
        "one stops, one is new, one is not ready, one has no valid address, one is gone",
        changes,
        &rejected,
    );
    let mut rejected = Vec::new();
    let changes = list.put(ms(60), &slice(5, &first, ""), &mut rejected);
    record("an older version of the slice arrives late", changes, &rejected);
    record("the slice is deleted", list.delete(ms(70), "n"), &[]);
    insta::assert_snapshot!(trace);
}

/// Drives a watch and records its actions as text.
struct Harness {
    watch: ListWatch,
    trace: String,
}

impl Harness {
    fn new(highest_version: u64) -> Harness {
        let at = SocketAddr::from(([127, 0, 0, 1], 7000));
        Harness { watch: ListWatch::new(at, "/slices".into(), highest_version), trace: String::new() }
    }

    fn record(&mut self, what: &str, actions: Vec<ListAction>) {
        self.trace += &format!("{what}\n");
        for action in actions {
            self.trace += &match action {
                ListAction::Connect(at) => format!("  connect {at}\n"),
                ListAction::Send(bytes) => {
                    format!("  {}\n", String::from_utf8_lossy(&bytes).lines().next().unwrap_or(""))
                }
                ListAction::Disconnect { retry_at } => {
                    format!("  disconnect, retry after {}\n", retry_at.since(START))
                }
                ListAction::Replace(slices) => format!("  replace: {} slices\n", slices.len()),
                ListAction::Put(slice) => {
                    format!("  put {} version {}\n", slice.metadata.name, slice.metadata.resource_version)
                }
                ListAction::Delete(name) => format!("  delete {name}\n"),
                ListAction::Log(event, why) => format!("  {event}: {why}\n"),
            };
        }
    }

    fn connect(&mut self) {
        let actions = self.watch.due(START);
        self.record("due", actions);
        let actions = self.watch.opened(START);
        self.record("opened", actions);
    }

    fn bytes(&mut self, what: &str, bytes: &str) {
        let actions = self.watch.receive(START, bytes.as_bytes());
        self.record(what, actions);
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
fn a_watch_resumes_from_its_version_and_lists_again_when_that_expired() {
    let mut harness = Harness::new(0);
    harness.connect();
    harness.list(10);
    harness.bytes(
        "one change and a bookmark",
        &(WATCH.to_string() + &event("MODIFIED", 11) + &event("BOOKMARK", 15)),
    );
    let partial = event("MODIFIED", 16);
    harness.bytes("half a line", &partial[..partial.len() / 2]);
    let closed = harness.watch.closed(START, "the connection ended".into());
    harness.record("the connection ends within the line", closed);
    harness.connect();
    harness.bytes("status 410", "HTTP/1.1 410 Gone\r\ncontent-length: 0\r\n\r\n");
    harness.connect();
    harness.list(30);
    let error = r#"{"type":"ERROR","object":{"code":410}}"#;
    harness.bytes("410 as an event", &format!("{WATCH}{:x}\r\n{error}\n\r\n", error.len() + 1));
    harness.connect();
    harness.bytes("invalid JSON instead of a list", "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n[1,2");
    harness.bytes("bytes after a disconnect", "HTTP/1.1 200 OK\r\n\r\n");
    insta::assert_snapshot!(harness.trace);
}

#[test]
fn an_older_list_is_accepted_only_after_repeated_confirmation() {
    let mut harness = Harness::new(50);
    for _ in 0..6 {
        harness.connect();
        harness.list(40);
    }
    insta::assert_snapshot!(harness.trace);
}

#[test]
fn a_watch_with_corrupted_bytes_fails_and_never_panics() {
    let mut rng = fastrand::Rng::with_seed(5);
    let valid = WATCH.to_string() + &event("MODIFIED", 11) + &event("DELETED", 12) + &event("ADDED", 13);
    let mut failed = 0;
    for _ in 0..3_000 {
        let mut bytes = valid.clone().into_bytes();
        for _ in 0..rng.usize(1..4) {
            let at = rng.usize(0..bytes.len());
            bytes[at] = rng.u8(..);
        }
        let mut harness = Harness::new(0);
        harness.connect();
        harness.list(10);
        let split = rng.usize(0..bytes.len());
        for part in [&bytes[..split], &bytes[split..]] {
            let actions = harness.watch.receive(START, part);
            failed += usize::from(actions.iter().any(|action| matches!(action, ListAction::Log(..))));
        }
    }
    assert!(failed > 500, "{failed}");
}
