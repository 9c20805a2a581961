//! A proxy of several nodes, driven by the test: transfers to workers, notifications, and the meaning of an ACK.

use pewtergap_node::{Effect, Input, Link, Node, Outbox, ReactorId};
use pewtergap_protocol::{
    encode, planner_message, proxy_message, Binding, FrameReader, Line, PlannerMessage, ProxyMessage,
    TableChange, Update, Welcome,
};
use pewtergap_proxy::{proxy_nodes, EjectionConfig, FrontConfig, ProxyConfig, Route};
use pewtergap_time::{Moment, Span};
use std::net::SocketAddr;

const START: Moment = Moment(1_000_000_000_000);
const REPORT: u64 = 2;
const HOUSEKEEPING: u64 = 3;

struct Setup {
    nodes: Vec<(Box<dyn Node>, Outbox)>,
    now: Moment,
    planner: Link,
    trace: String,
}

impl Setup {
    /// An acceptor and two workers, connected to a planner.
    fn new() -> Setup {
        let config = ProxyConfig {
            name: "p1".into(),
            zone: "north".into(),
            planners: vec![SocketAddr::from(([127, 0, 0, 1], 7100))],
            calls_per_s: 10.0,
        };
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let front = FrontConfig { listen, source_ip: None, max_calls: 100, keep_alive: Span::millis(5_000) };
        let route =
            Route { name: "order".into(), time_limit: Span::millis(1_000), mutating: true, resend: 0 };
        let ejection = EjectionConfig { consecutive_failures: 0, ejection_time: Span::millis(0) };
        let nodes = proxy_nodes(config, front, vec![route], ejection, &["127.0.0.1:8000".into()], 2, 7);
        let nodes = nodes.into_iter().map(|node| (node, Outbox::default())).collect();
        let mut setup = Setup { nodes, now: START, planner: Link(0), trace: String::new() };
        (0..3).for_each(|node_index| setup.give(node_index, Input::Start));
        let link = setup.planner;
        setup.give(0, Input::Opened { link });
        let (routes, planner) = (vec!["order".into()], "a".into());
        let welcome = Welcome { protocol: 1, planner, epoch: 1, routes, report_every_us: 500_000 };
        setup.down(planner_message::Kind::Welcome(welcome));
        setup.trace.clear();
        setup
    }

    fn give(&mut self, node_index: usize, input: Input<'_>) {
        let (node, out) = &mut self.nodes[node_index];
        node.handle(self.now, input, out);
        for effect in std::mem::take(&mut out.effects) {
            let what = match effect {
                Effect::Connect { link, to, .. } => {
                    self.planner = if to.port() == 7100 { link } else { self.planner };
                    format!("connects to {}", to.port())
                }
                Effect::Send { link, bytes } if node_index == 0 && link == self.planner => {
                    let mut frames = FrameReader::<ProxyMessage>::default();
                    frames.push(&bytes);
                    match frames.next_message().unwrap().unwrap().kind.unwrap() {
                        proxy_message::Kind::Ack(ack) => format!("acks {}", ack.nonce),
                        proxy_message::Kind::Arrivals(told) => {
                            format!("reports {} calls", told.rows[0].calls)
                        }
                        _ => continue,
                    }
                }
                Effect::Transfer { to, .. } => format!("transfers a client to node {}", to.0),
                Effect::Notify { reactor } => format!("notifies {}", reactor.0),
                Effect::Cut { .. } => "cuts".into(),
                Effect::Exit { code } => format!("exits {code}"),
                _ => continue,
            };
            self.trace += &format!("node {node_index} {what}\n");
        }
    }

    fn down(&mut self, kind: planner_message::Kind) {
        let (link, bytes) = (self.planner, encode(&PlannerMessage::new(kind)));
        self.give(0, Input::Bytes { link, bytes: &bytes });
    }

    /// The planner sends all calls to one server.
    fn order(&mut self, nonce: u64, server: u16) {
        let set = vec![Line { server: format!("127.0.0.1:{server}"), weight: 1.0 }];
        let (removed, gates) = (Vec::new(), Vec::new());
        let change = TableChange { table: 1, from: 0, to: nonce, whole: true, set, removed, gates };
        let binds = vec![Binding { table: 1, routes: 0 }];
        self.down(planner_message::Kind::Update(Update {
            nonce,
            tables: vec![change],
            binds,
            ..Update::default()
        }));
    }

    fn client(&mut self, node_index: usize) {
        let link = Link(1_000_000 + self.trace.len() as u64);
        let from = SocketAddr::from(([127, 0, 0, 1], 9));
        self.give(node_index, Input::Accepted { link, listener: 0, from });
        if node_index > 0 {
            self.give(
                node_index,
                Input::Bytes { link, bytes: b"POST /order/x HTTP/1.1\r\ncontent-length: 0\r\n\r\n" },
            );
        }
    }

    fn comment(&mut self, what: &str) {
        self.trace += &format!("# {what}\n");
    }
}

#[test]
fn ack_is_sent_once_every_worker_has_applied_the_tables() {
    let mut setup = Setup::new();
    setup.order(1, 8001);
    setup.comment("one of two workers applies the update and notifies the acceptor: no ACK");
    setup.give(1, Input::Notified);
    setup.give(0, Input::Notified);
    setup.comment("a call arrives at the other worker before its notification: it uses the new table");
    setup.client(2);
    setup.give(0, Input::Notified);
    setup.comment(
        "two updates while a worker is inactive: it applies the last one, and both are acknowledged",
    );
    setup.order(2, 8002);
    setup.order(3, 8003);
    setup.give(1, Input::Notified);
    setup.give(0, Input::Notified);
    setup.give(2, Input::Notified);
    setup.give(0, Input::Notified);
    setup.client(1);
    insta::assert_snapshot!(setup.trace);
}

#[test]
fn unresponsive_and_full_workers_get_no_new_clients() {
    let mut setup = Setup::new();
    setup.comment("both workers are active: each gets one client");
    (0..2).for_each(|_| setup.client(0));
    setup.comment("the second worker is inactive for two seconds");
    setup.now = START + Span::millis(2_000);
    setup.give(1, Input::TimerFired { timer: HOUSEKEEPING });
    (0..2).for_each(|_| setup.client(0));
    setup.comment("the first worker's queue is full: the client is disconnected and not counted for it");
    setup.give(0, Input::TransferFailed { link: Link(5), to: ReactorId(1) });
    setup.give(2, Input::TimerFired { timer: HOUSEKEEPING });
    (0..2).for_each(|_| setup.client(0));
    insta::assert_snapshot!(setup.trace);
}

#[test]
fn worker_counters_are_merged_and_reported_once() {
    let mut setup = Setup::new();
    setup.client(1);
    (0..2).for_each(|_| setup.client(2));
    (1..3).for_each(|node_index| setup.give(node_index, Input::TimerFired { timer: HOUSEKEEPING }));
    setup.give(0, Input::TimerFired { timer: REPORT });
    setup.give(0, Input::TimerFired { timer: REPORT });
    setup.comment("shutdown: workers without calls finish at once, others when their calls have ended");
    setup.give(0, Input::Stop);
    (1..3).for_each(|node_index| setup.give(node_index, Input::Notified));
    setup.now = START + Span::millis(1_000);
    for node_index in 1..3 {
        (16..18).for_each(|call| setup.give(node_index, Input::TimerFired { timer: call }));
    }
    setup.give(0, Input::Notified);
    insta::assert_snapshot!(setup.trace);
}
