//! A proxy of several nodes, driven by hand: what each of them does, and what an ACK then means.

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

struct Stage {
    nodes: Vec<(Box<dyn Node>, Outbox)>,
    now: Moment,
    planner: Link,
    trace: String,
}

impl Stage {
    /// A front and two workers, joined to a planner.
    fn new() -> Stage {
        let home = ProxyConfig {
            name: "p1".into(),
            zone: "north".into(),
            planners: vec![SocketAddr::from(([127, 0, 0, 1], 7100))],
            calls_per_s: 10.0,
        };
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let front = FrontConfig { listen, source_ip: None, max_calls: 100, keep_alive: Span::millis(5_000) };
        let route =
            Route { name: "order".into(), time_limit: Span::millis(1_000), mutating: true, resend: 0 };
        let shunning = EjectionConfig { consecutive_failures: 0, ejection_time: Span::millis(0) };
        let nodes = proxy_nodes(home, front, vec![route], shunning, &["127.0.0.1:8000".into()], 2, 7);
        let nodes = nodes.into_iter().map(|node| (node, Outbox::default())).collect();
        let mut stage = Stage { nodes, now: START, planner: Link(0), trace: String::new() };
        (0..3).for_each(|seat| stage.give(seat, Input::Start));
        let link = stage.planner;
        stage.give(0, Input::Opened { link });
        let (routes, planner) = (vec!["order".into()], "a".into());
        let welcome = Welcome { protocol: 1, planner, epoch: 1, routes, report_every_us: 500_000 };
        stage.down(planner_message::Kind::Welcome(welcome));
        stage.trace.clear();
        stage
    }

    fn give(&mut self, seat: usize, input: Input<'_>) {
        let (node, out) = &mut self.nodes[seat];
        node.handle(self.now, input, out);
        for effect in std::mem::take(&mut out.effects) {
            let what = match effect {
                Effect::Connect { link, to, .. } => {
                    self.planner = if to.port() == 7100 { link } else { self.planner };
                    format!("dials {}", to.port())
                }
                Effect::Send { link, bytes } if seat == 0 && link == self.planner => {
                    let mut frames = FrameReader::<ProxyMessage>::default();
                    frames.push(&bytes);
                    match frames.next_message().unwrap().unwrap().kind.unwrap() {
                        proxy_message::Kind::Ack(ack) => format!("acks {}", ack.nonce),
                        proxy_message::Kind::Arrivals(told) => format!("tells {} calls", told.rows[0].calls),
                        _ => continue,
                    }
                }
                Effect::Transfer { to, .. } => format!("hands a client to seat {}", to.0),
                Effect::Notify { reactor: seat } => format!("knocks at {}", seat.0),
                Effect::Cut { .. } => "cuts".into(),
                Effect::Exit { code } => format!("exits {code}"),
                _ => continue,
            };
            self.trace += &format!("seat {seat} {what}\n");
        }
    }

    fn down(&mut self, kind: planner_message::Kind) {
        let (link, bytes) = (self.planner, encode(&PlannerMessage::new(kind)));
        self.give(0, Input::Bytes { link, bytes: &bytes });
    }

    /// The planner has all calls go to one server.
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

    fn client(&mut self, seat: usize) {
        let link = Link(1_000_000 + self.trace.len() as u64);
        let from = SocketAddr::from(([127, 0, 0, 1], 9));
        self.give(seat, Input::Accepted { link, listener: 0, from });
        if seat > 0 {
            self.give(
                seat,
                Input::Bytes { link, bytes: b"POST /order/x HTTP/1.1\r\ncontent-length: 0\r\n\r\n" },
            );
        }
    }

    fn say(&mut self, what: &str) {
        self.trace += &format!("# {what}\n");
    }
}

#[test]
fn an_ack_means_that_every_worker_follows_and_a_late_one_serves_by_nothing_older() {
    let mut stage = Stage::new();
    stage.order(1, 8001);
    stage.say("one of two follows, and is heard of: no ACK");
    stage.give(1, Input::Notified);
    stage.give(0, Input::Notified);
    stage.say("a call comes to the other before it hears the knock: it goes by the new table");
    stage.client(2);
    stage.give(0, Input::Notified);
    stage.say("two changes while a worker stands still: it follows the last, and both are confirmed");
    stage.order(2, 8002);
    stage.order(3, 8003);
    stage.give(1, Input::Notified);
    stage.give(0, Input::Notified);
    stage.give(2, Input::Notified);
    stage.give(0, Input::Notified);
    stage.client(1);
    insta::assert_snapshot!(stage.trace);
}

#[test]
fn a_worker_that_stands_still_gets_no_clients_and_one_that_is_full_gives_them_back() {
    let mut stage = Stage::new();
    stage.say("both are awake: each has one");
    (0..2).for_each(|_| stage.client(0));
    stage.say("the second does nothing for two seconds");
    stage.now = START + Span::millis(2_000);
    stage.give(1, Input::TimerFired { timer: HOUSEKEEPING });
    (0..2).for_each(|_| stage.client(0));
    stage.say("no room at the first: the client is turned away, and does not count as its");
    stage.give(0, Input::TransferFailed { link: Link(5), to: ReactorId(1) });
    stage.give(2, Input::TimerFired { timer: HOUSEKEEPING });
    (0..2).for_each(|_| stage.client(0));
    insta::assert_snapshot!(stage.trace);
}

#[test]
fn what_workers_counted_is_told_as_one_proxys_and_once() {
    let mut stage = Stage::new();
    stage.client(1);
    (0..2).for_each(|_| stage.client(2));
    (1..3).for_each(|seat| stage.give(seat, Input::TimerFired { timer: HOUSEKEEPING }));
    stage.give(0, Input::TimerFired { timer: REPORT });
    stage.give(0, Input::TimerFired { timer: REPORT });
    stage.say("the end: workers without calls are done at once, those with one when it has ended");
    stage.give(0, Input::Stop);
    (1..3).for_each(|seat| stage.give(seat, Input::Notified));
    stage.now = START + Span::millis(1_000);
    for seat in 1..3 {
        (16..18).for_each(|call| stage.give(seat, Input::TimerFired { timer: call }));
    }
    stage.give(0, Input::Notified);
    insta::assert_snapshot!(stage.trace);
}
