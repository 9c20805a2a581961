//! Versioned tables, and the proxy as a single node: calls, updates and failures.

use pewtergap_node::{Effect, Ended, Input, Link, Node, Outbox};
use pewtergap_protocol::{
    encode, planner_message, Binding, FrameReader, Gate, Line, PlannerMessage, ProxyMessage, TableChange,
    Update, Welcome,
};
use pewtergap_proxy::tables::Tables;
use pewtergap_proxy::{EjectionConfig, FrontConfig, Proxy, ProxyConfig, Route};
use pewtergap_time::{Moment, Span};
use std::collections::BTreeMap;
use std::net::SocketAddr;

fn welcome(planner: &str, epoch: u64) -> Welcome {
    let routes = vec!["search".into(), "order".into()];
    Welcome { protocol: 1, planner: planner.into(), epoch, routes, report_every_us: 500_000 }
}

fn change(table: u32, from: u64, to: u64, set: &[(&str, f64)], removed: &[&str]) -> TableChange {
    let set =
        set.iter().map(|(server, weight)| Line { server: server.to_string(), weight: *weight }).collect();
    let removed = removed.iter().map(|server| server.to_string()).collect();
    TableChange { table, from, to, whole: from == 0, set, removed, gates: Vec::new() }
}

fn update(nonce: u64, tables: Vec<TableChange>, binds: &[u32]) -> Update {
    let binds = binds.iter().map(|table| Binding { table: *table, routes: 0 }).collect();
    Update { nonce, tables, binds, ..Update::default() }
}

#[test]
fn missing_reordered_and_repeated_updates_are_rejected_as_a_whole() {
    let mut tables = Tables::initial(&["s0:1".into()], 2);
    let mut trace = tables.to_text();
    let mut apply = |tables: &mut Tables, what: &str, update: &Update| {
        let outcome = tables
            .apply(update)
            .map_or_else(|refusal| format!("rejected: {}", refusal.reason), |()| "applied".into());
        trace += &format!("{what}: {outcome}\n{}", tables.to_text());
    };
    tables.welcome(&welcome("a", 1));
    apply(
        &mut tables,
        "a change before the first binding",
        &update(1, vec![change(3, 1, 2, &[("s1:1", 1.0)], &[])], &[]),
    );
    apply(
        &mut tables,
        "full table",
        &update(2, vec![change(3, 0, 5, &[("s1:1", 1.0), ("s2:1", 1.0)], &[])], &[3]),
    );
    apply(&mut tables, "version 7 before 6", &update(4, vec![change(3, 6, 7, &[], &["s2:1"])], &[]));
    apply(&mut tables, "version 6", &update(3, vec![change(3, 5, 6, &[("s3:1", 0.5)], &[])], &[]));
    apply(&mut tables, "version 6 again", &update(3, vec![change(3, 5, 6, &[("s3:1", 0.5)], &[])], &[]));
    let both = vec![change(4, 0, 1, &[("s9:1", 1.0)], &[]), change(3, 8, 9, &[], &["s1:1"])];
    apply(&mut tables, "one table fits and one does not: nothing is applied", &update(5, both, &[4]));
    apply(
        &mut tables,
        "an older full table, late",
        &update(6, vec![change(3, 0, 4, &[("s0:1", 1.0)], &[])], &[3]),
    );
    tables.welcome(&welcome("b", 9));
    apply(
        &mut tables,
        "another planner's change of its own table 3",
        &update(1, vec![change(3, 6, 7, &[], &["s1:1"])], &[]),
    );
    apply(
        &mut tables,
        "another planner's first binding",
        &update(2, vec![change(0, 0, 1, &[("s4:1", 1.0)], &[])], &[0]),
    );
    insta::assert_snapshot!(trace);
}

const START: Moment = Moment(1_000_000_000_000);

/// A proxy driven by the test; its effects are recorded as text.
struct Setup {
    proxy: Proxy,
    now: Moment,
    out: Outbox,
    trace: String,
    names: BTreeMap<Link, String>,
    timers: Vec<(Moment, u64)>,
    planner: Option<Link>,
    next: u64,
}

impl Setup {
    fn new(max_failures: u32, servers: &[&str], resend: u32) -> Setup {
        let route = |name: &str, mutating| Route {
            name: name.into(),
            time_limit: Span::millis(1_000),
            mutating,
            resend,
        };
        let config = ProxyConfig {
            name: "p1".into(),
            zone: "north".into(),
            planners: vec!["127.0.0.1:7100".parse().unwrap(), "127.0.0.1:7200".parse().unwrap()],
            calls_per_s: 3.0,
        };
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let front = FrontConfig { listen, source_ip: None, max_calls: 100, keep_alive: Span::millis(5_000) };
        let routes = vec![route("search", false), route("order", true)];
        let initial_servers: Vec<String> =
            servers.iter().map(|server| format!("127.0.0.1:{server}")).collect();
        let ejection =
            EjectionConfig { consecutive_failures: max_failures, ejection_time: Span::millis(2_000) };
        let proxy = Proxy::new(config, front, routes, ejection, &initial_servers, 7);
        let mut setup = Setup {
            proxy,
            now: START,
            out: Outbox::default(),
            trace: String::new(),
            names: BTreeMap::new(),
            timers: Vec::new(),
            planner: None,
            next: 1_000_000,
        };
        setup.give(Input::Start);
        setup
    }

    fn give(&mut self, input: Input<'_>) {
        self.proxy.handle(self.now, input, &mut self.out);
        for effect in std::mem::take(&mut self.out.effects) {
            let at = self.now.since(START).0 / 1_000_000;
            let line = match effect {
                Effect::Connect { link, to, .. } => {
                    let planner = matches!(to.port(), 7100 | 7200);
                    self.planner = if planner { Some(link) } else { self.planner };
                    self.names.insert(
                        link,
                        format!("{}{}", if planner { "planner " } else { "server " }, to.port()),
                    );
                    format!("connects to {}", self.names[&link])
                }
                Effect::Send { link, bytes } => {
                    let name = self.names.get(&link).cloned().unwrap_or_default();
                    if name.starts_with("planner") {
                        let mut frames = FrameReader::<ProxyMessage>::default();
                        frames.push(&bytes);
                        format!("reports to {name}: {}", describe(&frames.next_message().unwrap().unwrap()))
                    } else {
                        let text = String::from_utf8_lossy(&bytes).into_owned();
                        let ended = text
                            .lines()
                            .find_map(|line| line.strip_prefix("x-pewtergap-ended: ").map(str::to_string));
                        format!(
                            "to {name}: {} {}",
                            text.lines().next().unwrap_or(""),
                            ended.unwrap_or_default()
                        )
                    }
                }
                Effect::Cut { link } => {
                    format!("cuts {}", self.names.get(&link).cloned().unwrap_or_default())
                }
                Effect::SetTimer { timer, at } => {
                    self.timers.push((at, timer));
                    continue;
                }
                Effect::Log(line) if line.event == "shuns" => format!("ejects {}", line.fields[0].1),
                _ => continue,
            };
            self.trace += &format!("{at:>5} {}\n", line.trim_end());
        }
    }

    /// Advances the time and fires the due timers in order.
    fn pass(&mut self, ms: u64) {
        let until = self.now + Span::millis(ms);
        loop {
            self.timers.sort();
            let Some((at, timer)) = self.timers.first().copied().filter(|t| t.0 <= until) else { break };
            self.timers.remove(0);
            self.now = self.now.max(at);
            self.give(Input::TimerFired { timer });
        }
        self.now = until;
    }

    fn call(&mut self, route: &str) -> Link {
        self.next += 1;
        let link = Link(self.next);
        self.names.insert(link, "client".into());
        self.give(Input::Accepted { link, listener: 0, from: SocketAddr::from(([127, 0, 0, 1], 9)) });
        let call = format!("POST /{route}/x HTTP/1.1\r\ncontent-length: 2\r\n\r\n{{}}");
        self.give(Input::Bytes { link, bytes: call.as_bytes() });
        link
    }

    /// The most recent connection to a server.
    fn server(&self) -> Link {
        *self
            .names
            .iter()
            .rev()
            .find(|(link, name)| name.starts_with("server") && link.0 < 1_000_000)
            .unwrap()
            .0
    }

    fn answer(&mut self, link: Link, answer: &str) {
        self.give(Input::Bytes { link, bytes: answer.as_bytes() });
    }

    fn close(&mut self, link: Link, why: Ended) {
        self.give(Input::Closed { link, why });
    }

    fn join(&mut self, planner: &str, epoch: u64) {
        let link = self.planner.unwrap();
        self.give(Input::Opened { link });
        self.down(planner_message::Kind::Welcome(welcome(planner, epoch)));
    }

    fn down(&mut self, kind: planner_message::Kind) {
        let (link, bytes) = (self.planner.unwrap(), encode(&PlannerMessage::new(kind)));
        self.give(Input::Bytes { link, bytes: &bytes });
    }
}

fn describe(up: &ProxyMessage) -> String {
    use pewtergap_protocol::proxy_message::Kind;
    match up.kind.as_ref().unwrap() {
        Kind::Hello(hello) => {
            format!("hello, holds {:?}", hello.held.iter().map(|h| (h.table, h.version)).collect::<Vec<_>>())
        }
        Kind::Ack(ack) => format!("ack {}", ack.nonce),
        Kind::Nack(nack) => format!("nack {}: {}", nack.nonce, nack.reason),
        Kind::ServerStats(sums) => {
            let rows: Vec<String> =
                sums.rows.iter().map(|r| format!("{} {}/{} dropped", r.server, r.dropped, r.tries)).collect();
            format!("sums {}", rows.join(", "))
        }
        Kind::Arrivals(arrivals) => {
            format!("arrivals {:?}", arrivals.rows.iter().map(|r| (r.calls, r.dropped)).collect::<Vec<_>>())
        }
        Kind::Heartbeat(_) => "beat".into(),
    }
}

const OK: &str =
    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nendpoint-load-metrics: TEXT cpu_utilization=0.5\r\n\r\nok";
const NOT_RUN: &str = "HTTP/1.1 503 Busy\r\nx-pewtergap-not-run: 1\r\ncontent-length: 0\r\n\r\n";

#[test]
fn mutating_calls_are_not_retried_after_a_lost_response() {
    let mut setup = Setup::new(0, &["8001", "8002"], 2);
    for (route, why) in [("order", Ended::Reset), ("order", Ended::Refused), ("search", Ended::Reset)] {
        setup.trace += &format!("# {route}, the connection ends: {why:?}\n");
        setup.call(route);
        let link = setup.server();
        setup.close(link, why);
    }
    setup.trace += "# order, rejected before it ran\n";
    setup.call("order");
    let link = setup.server();
    setup.answer(link, NOT_RUN);
    setup.trace += "# order, an incomplete response, then the end of the connection\n";
    setup.call("order");
    let link = setup.server();
    setup.answer(link, "HTTP/1.1 200 OK\r\ncontent-le");
    setup.close(link, Ended::Done);
    setup.trace += "# order, no response within the time limit: fails at once\n";
    setup.call("order");
    setup.pass(1_100);
    insta::assert_snapshot!(setup.trace);
}

#[test]
fn a_call_that_was_never_sent_is_retried_whatever_kept_it_here() {
    let trace_after = |why: Ended| {
        let mut setup = Setup::new(0, &["8001", "8002"], 2);
        setup.call("order");
        let link = setup.server();
        setup.close(link, why);
        setup.trace
    };
    let refused = trace_after(Ended::Refused);
    assert_eq!(trace_after(Ended::Unavailable), refused);
    assert_ne!(trace_after(Ended::Reset), refused, "a call that may have run is not retried");
}

#[test]
fn tables_stay_in_force_until_the_next_planner_replaces_them() {
    let mut setup = Setup::new(0, &["8001"], 0);
    setup.join("a", 5);
    setup.down(planner_message::Kind::Update(update(
        1,
        vec![change(2, 0, 4, &[("127.0.0.1:8002", 1.0)], &[])],
        &[2],
    )));
    setup.call("search");
    let planner = setup.planner.unwrap();
    setup.close(planner, Ended::Reset);
    setup.trace += "# the stream is broken; calls still follow the tables\n";
    setup.call("search");
    setup.pass(100);
    let planner = setup.planner.unwrap();
    setup.close(planner, Ended::Refused);
    setup.pass(200);
    setup.join("b", 6);
    setup.trace += "# another planner, an incremental change first: rejected; then its binding\n";
    setup.down(planner_message::Kind::Update(update(
        1,
        vec![change(2, 4, 5, &[], &["127.0.0.1:8002"])],
        &[],
    )));
    setup.call("search");
    setup.down(planner_message::Kind::Update(update(
        2,
        vec![change(0, 0, 1, &[("127.0.0.1:8003", 1.0)], &[])],
        &[0],
    )));
    setup.call("search");
    setup.trace += "# the planner is silent: after four missed heartbeats the proxy reconnects\n";
    setup.pass(3_500);
    insta::assert_snapshot!(setup.trace);
}

#[test]
fn levels_admit_their_fraction_and_a_table_without_lines_fails_at_once() {
    let mut setup = Setup::new(0, &["8001"], 0);
    setup.join("a", 5);
    let mut table = change(2, 0, 4, &[("127.0.0.1:8002", 1.0)], &[]);
    table.gates = vec![Gate { routes: 1, level: 0.25, resend: 0 }];
    setup.down(planner_message::Kind::Update(update(1, vec![table], &[2])));
    for _ in 0..40 {
        setup.call("search");
    }
    let throttled = setup.trace.matches("throttled").count();
    setup.trace = format!("{throttled} of 40 throttled at a level of 0.25\n");
    setup.down(planner_message::Kind::Update(update(
        2,
        vec![change(2, 4, 5, &[], &["127.0.0.1:8002"])],
        &[],
    )));
    setup.call("order");
    setup.call("nowhere");
    insta::assert_snapshot!(setup.trace);
}

#[test]
fn a_failing_server_is_ejected_unless_it_is_the_last() {
    let mut setup = Setup::new(2, &["8001", "8002"], 0);
    for _ in 0..6 {
        setup.call("search");
        let link = setup.server();
        if setup.names[&link].ends_with("8001") {
            setup.close(link, Ended::Refused);
        } else {
            setup.answer(link, OK);
            setup.close(link, Ended::Done);
        }
    }
    setup.trace += "# the other server fails too: an ejected server is better than none\n";
    for _ in 0..4 {
        setup.call("search");
        let link = setup.server();
        setup.close(link, Ended::Refused);
    }
    insta::assert_snapshot!(setup.trace);
}

#[test]
fn picks_are_split_by_weight_within_two_percent_over_a_long_run() {
    let mut setup = Setup::new(0, &["8001"], 0);
    setup.join("a", 5);
    let lines = [
        ("127.0.0.1:8001", 1.0),
        ("127.0.0.1:8002", 0.5),
        ("127.0.0.1:8003", 0.125),
        ("127.0.0.1:8004", 2.0),
    ];
    setup.down(planner_message::Kind::Update(update(1, vec![change(2, 0, 1, &lines, &[])], &[2])));
    let calls = 4_000;
    let mut counts: BTreeMap<String, f64> = BTreeMap::new();
    for at in 0..calls {
        if at == calls / 2 {
            // A table change halfway must not affect the distribution.
            setup.down(planner_message::Kind::Update(update(
                2,
                vec![change(2, 1, 2, &[("127.0.0.1:8003", 0.125)], &[])],
                &[],
            )));
        }
        setup.trace.clear();
        let client = setup.call("search");
        let link = setup.server();
        *counts.entry(setup.names[&link].clone()).or_default() += 1.0;
        setup.close(link, Ended::Refused);
        setup.close(client, Ended::Done);
        setup.names.retain(|link, _| link.0 < 10);
    }
    let all: f64 = lines.iter().map(|line| line.1).sum();
    for (server, weight) in lines {
        let share = counts[&format!("server {}", server.rsplit(':').next().unwrap())] / f64::from(calls);
        assert!(
            (share - weight / all).abs() < 0.02 * weight / all + 1.0 / f64::from(calls),
            "{server}: {share}"
        );
    }
}

#[test]
fn reports_contain_tries_and_load_reports() {
    let mut setup = Setup::new(0, &["8001"], 0);
    setup.join("a", 5);
    for status in ["200 OK", "500 Oops"] {
        setup.call("search");
        let link = setup.server();
        setup.answer(link, &OK.replace("200 OK", status));
    }
    setup.trace.clear();
    setup.pass(1_200);
    insta::assert_snapshot!(setup.trace);
}
