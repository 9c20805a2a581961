//! The service as a node: proxies that do not read, reject messages, flood or reconnect, and the list saved for the next
//! start.

use pewtergap_control::channel::Channel as Queue;
use pewtergap_control::{
    ListSource, ListenConfig, Overrides, ProbeConfig, ReportConfig, Service, ServiceConfig,
};
use pewtergap_node::{Effect, Ended, Input, Link, Node, Outbox};
use pewtergap_planner::*;
use pewtergap_protocol::{
    encode, planner_message, proxy_message, Ack, FrameReader, Hello, Nack, PlannerMessage, ProxyMessage,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;

const START: Moment = Moment(1_000_000_000_000);
const LIST: &str = r#"{"metadata":{"resourceVersion":"5"},"items":[{"metadata":{"name":"n"},
    "endpoints":[{"addresses":["10.0.0.1"],"zone":"north"},{"addresses":["10.0.0.2"],"zone":"north"},
                 {"addresses":["10.0.0.3"],"zone":"north"}],"ports":[{"port":80}]}]}"#;

struct Harness {
    service: Service,
    now: Moment,
    out: Outbox,
    trace: String,
    timers: Vec<(Moment, u64)>,
    streams: BTreeMap<Link, (String, FrameReader<PlannerMessage>, u64)>,
    saved_list: Option<Vec<u8>>,
    next_link: u64,
}

fn service(lines_per_s: f64) -> Service {
    let ms = Span::millis;
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let fleet = Fleet {
        zones: 1,
        proxies: 4,
        planners: 1,
        list_on_request: false,
        list_request_interval: ms(0),
        cross_zone_cost: 0.0,
        min_server_connections: f64::INFINITY,
        keep_alive: ms(15_000),
    };
    let route = Route {
        importance: 1.0,
        slo_time: ms(500),
        time_limit: ms(2_000),
        retry_safety: RetrySafety::Mutating,
        zone_bound: false,
        writes: true,
    };
    let channel = ChannelLimits {
        message_overhead: 3.0,
        max_queued_lines: 400.0,
        max_messages: usize::MAX,
        message_window: ms(10_000),
        lines_per_s,
        max_transit: ms(100),
    };
    let contract = Contract {
        drain_grace: ms(2_000),
        removal_is_binding: true,
        cold_capacity: 0.2,
        warmup: ms(4_000),
        overload_factor: 3.0,
        overload_time: ms(2_000),
    };
    let capabilities = Capabilities {
        throttle: Throttle::Fraction,
        probes: false,
        load_on_probe: false,
        ejects_servers: false,
        resend_wait_factor: 0.0,
        proxies_keep_zone_bound: false,
    };
    let slicing = Slicing { slices: 0, exclusive: false, write_stop_delay: ms(0), write_linger: ms(0) };
    let planner = Planner::new(START, 7, fleet, vec![route], channel, contract, capabilities, slicing);
    let config = ServiceConfig {
        name: "a".into(),
        zones: vec!["north".into()],
        routes: vec!["order".into()],
        unresponsive_after: ms(3_000),
    };
    let listen = ListenConfig { proxies: address, admin: None, source_ip: None };
    let reports = ReportConfig { interval: ms(1_000), lines_per_s: 100.0, max_streams: 5 };
    let probing = ProbeConfig { path: "/healthz".into(), timeout: ms(500), max_open: 4, body_fields: None };
    let queue = Queue::new(lines_per_s, 3.0, 400.0);
    Service::new(
        START,
        config,
        listen,
        ListSource::File { name: "list".into() },
        planner,
        queue,
        reports,
        probing,
    )
}

impl Harness {
    fn new(lines_per_s: f64, saved: Option<&[u8]>, list: &str) -> Harness {
        let mut harness = Harness {
            service: service(lines_per_s),
            now: START,
            out: Outbox::default(),
            trace: String::new(),
            timers: Vec::new(),
            streams: BTreeMap::new(),
            saved_list: None,
            next_link: 1_000,
        };
        harness.input(Input::Start);
        harness.input(Input::File { name: "a.list.json", bytes: saved.ok_or("there is none".to_string()) });
        harness.input(Input::File { name: "list", bytes: Ok(list.as_bytes()) });
        harness.advance(10);
        harness
    }

    fn input(&mut self, input: Input<'_>) {
        self.service.handle(self.now, input, &mut self.out);
        self.apply_effects();
    }

    fn set_overrides(&mut self, overrides: Overrides) {
        let changes = self.service.overrides().diff(&overrides);
        self.service.apply_overrides(self.now, &changes, &mut self.out);
        self.apply_effects();
    }

    fn apply_effects(&mut self) {
        for effect in std::mem::take(&mut self.out.effects) {
            let at = self.now.since(START).0 / 1_000_000;
            match effect {
                Effect::SetTimer { timer, at } => self.timers.push((at, timer)),
                Effect::SaveFile { bytes, .. } => self.saved_list = Some(bytes),
                Effect::Cut { link } => self.trace += &format!("{at:>5} cuts {}\n", self.name(link)),
                Effect::Finish { link } => self.trace += &format!("{at:>5} finishes {}\n", self.name(link)),
                Effect::Send { link, bytes } => {
                    let Some((name, frames, nonce)) = self.streams.get_mut(&link) else { continue };
                    frames.push(&bytes);
                    let message = match frames.next_message().unwrap().unwrap().kind.unwrap() {
                        planner_message::Kind::Welcome(_) | planner_message::Kind::Heartbeat(_) => continue,
                        planner_message::Kind::Bye(bye) => format!("bye: {}", bye.reason),
                        planner_message::Kind::Update(update) => {
                            *nonce = update.nonce;
                            let tables = update.tables.iter().map(|t| {
                                let set: Vec<&str> = t.set.iter().map(|line| &line.server[..8]).collect();
                                format!("{}->{} set {set:?} removed {:?}", t.from, t.to, t.removed)
                            });
                            format!("{} ({} lines)", tables.collect::<Vec<_>>().join(", "), update.lines)
                        }
                    };
                    self.trace += &format!("{at:>5} to {name}: {message}\n");
                }
                _ => {}
            }
        }
    }

    fn name(&self, link: Link) -> String {
        self.streams.get(&link).map_or("one".into(), |stream| stream.0.clone())
    }

    fn advance(&mut self, ms: u64) {
        let until = self.now + Span::millis(ms);
        loop {
            self.timers.sort();
            let Some((at, timer)) = self.timers.first().copied().filter(|t| t.0 <= until) else { break };
            self.timers.remove(0);
            self.now = self.now.max(at);
            self.input(Input::TimerFired { timer });
        }
        self.now = until;
    }

    fn open(&mut self, name: &str) -> Link {
        self.next_link += 1;
        let link = Link(self.next_link);
        self.streams.insert(link, (name.into(), FrameReader::default(), 0));
        self.input(Input::Accepted { link, listener: 0, from: SocketAddr::from(([127, 0, 0, 1], 9)) });
        link
    }

    fn join(&mut self, name: &str) -> Link {
        let link = self.open(name);
        let (proxy, zone, routes) = (name.into(), "north".into(), vec!["order".into()]);
        self.send(
            link,
            proxy_message::Kind::Hello(Hello {
                protocol: 1,
                proxy,
                zone,
                calls_per_s: 5.0,
                held: vec![],
                routes,
            }),
        );
        link
    }

    fn send(&mut self, link: Link, kind: proxy_message::Kind) {
        self.input(Input::Bytes { link, bytes: &encode(&ProxyMessage::new(kind)) });
    }

    /// Acknowledges the last message.
    fn ack(&mut self, link: Link) {
        let nonce = self.streams[&link].2;
        self.send(link, proxy_message::Kind::Ack(Ack { nonce, mark: 0 }));
    }

    fn list(&mut self, text: &str) {
        self.input(Input::File { name: "list", bytes: Ok(text.as_bytes()) });
    }
}

fn without(server: &str) -> String {
    LIST.replace(&format!("{{\"addresses\":[\"{server}\"],\"zone\":\"north\"}}"), &format!(
        "{{\"addresses\":[\"{server}\"],\"zone\":\"north\",\"conditions\":{{\"ready\":false,\"terminating\":true}}}}"
    ))
}

#[test]
fn an_unresponsive_proxy_delays_no_removal_for_others_and_is_closed() {
    let mut harness = Harness::new(100.0, None, LIST);
    let (responsive, unresponsive) = (harness.join("responsive"), harness.join("unresponsive"));
    harness.advance(300);
    harness.ack(responsive);
    harness.trace += "# a server drains; only one proxy acknowledges\n";
    harness.list(&without("10.0.0.2"));
    harness.advance(400);
    harness.ack(responsive);
    for _ in 0..8 {
        harness.advance(500);
        for link in [responsive, unresponsive] {
            harness.send(link, proxy_message::Kind::Heartbeat(pewtergap_protocol::Heartbeat {}));
        }
    }
    harness.trace += "# another drains\n";
    harness.list(&without("10.0.0.1"));
    harness.advance(300);
    insta::assert_snapshot!(harness.trace);
}

#[test]
fn a_rejected_message_leads_to_a_whole_table_and_five_rejections_to_a_disconnect() {
    let mut harness = Harness::new(10_000.0, None, LIST);
    let link = harness.join("p");
    for _ in 0..7 {
        harness.advance(300);
        let nonce = harness.streams[&link].2;
        harness.send(
            link,
            proxy_message::Kind::Nack(Nack { nonce, reason: "version gap".into(), table: 0, holds: 0 }),
        );
    }
    insta::assert_snapshot!(harness.trace);
}

#[test]
fn invalid_messages_of_proxies_are_answered_with_the_reason() {
    let mut harness = Harness::new(10_000.0, None, LIST);
    let hello = |zone: &str, protocol, route: &str| {
        let (proxy, zone, routes) = ("p".into(), zone.into(), vec![route.into()]);
        proxy_message::Kind::Hello(Hello { protocol, proxy, zone, calls_per_s: 5.0, held: vec![], routes })
    };
    for (name, kind) in [
        ("wrong-zone", hello("east", 1, "order")),
        ("wrong-protocol", hello("north", 0, "order")),
        ("unknown-route", hello("north", 1, "refund")),
        ("no-hello", proxy_message::Kind::Ack(Ack { nonce: 1, mark: 0 })),
    ] {
        let link = harness.open(name);
        harness.send(link, kind);
    }
    let link = harness.join("unknown-nonce");
    harness.send(link, proxy_message::Kind::Ack(Ack { nonce: 77, mark: 0 }));
    let link = harness.open("not-a-frame");
    harness.input(Input::Bytes { link, bytes: b"GET / HTTP/1.1\r\n\r\n" });
    harness.trace += "# silent after connecting\n";
    harness.open("silent");
    harness.advance(5_000);
    harness.trace += "# one stream too many\n";
    for _ in 0..6 {
        harness.join("many");
    }
    for at in 0..6 {
        harness.join(&format!("q{at}"));
    }
    let open: Vec<Link> = harness.streams.keys().copied().collect();
    open.into_iter().for_each(|link| harness.input(Input::Closed { link, why: Ended::Done }));
    harness.trace += "# an unlimited number of new names\n";
    for at in 0..20 {
        let link = harness.join(&format!("made-up-{at}"));
        harness.input(Input::Closed { link, why: Ended::Done });
    }
    insta::assert_snapshot!(harness
        .trace
        .lines()
        .filter(|line| !line.contains("set ["))
        .collect::<Vec<_>>()
        .join("\n"));
}

#[test]
fn a_start_uses_the_list_saved_on_disk_until_a_list_is_received() {
    let mut harness = Harness::new(10_000.0, None, LIST);
    harness.advance(1_000);
    let saved = harness.saved_list.take().unwrap();
    let mut harness = Harness::new(10_000.0, Some(&saved), "{ not a list");
    harness.join("p");
    harness.advance(300);
    harness.trace += "# a truncated saved list is ignored\n";
    let mut truncated = Harness::new(10_000.0, Some(&saved[..saved.len() / 2]), LIST);
    truncated.join("p");
    truncated.advance(300);
    insta::assert_snapshot!(harness.trace + &truncated.trace);
}

#[test]
fn a_reconnecting_proxy_replaces_its_old_stream() {
    let mut harness = Harness::new(10_000.0, None, LIST);
    let old = harness.join("p");
    harness.advance(300);
    harness.ack(old);
    harness.join("p");
    harness.advance(300);
    // The end of the old stream is noticed late and must have no effect.
    harness.input(Input::Closed { link: old, why: Ended::Ours });
    harness.list(&without("10.0.0.2"));
    harness.advance(300);
    harness.trace += "# regular stop\n";
    harness.input(Input::Stop);
    harness.advance(500);
    insta::assert_snapshot!(harness.trace);
}

#[test]
fn overrides_apply_whatever_the_list_says_until_they_are_lifted() {
    let mut harness = Harness::new(1_000.0, None, LIST);
    let proxy = harness.join("p");
    harness.advance(300);
    harness.ack(proxy);
    harness.trace += "# drained by an override\n";
    let drained = Overrides { drained: ["10.0.0.2:80".to_string()].into(), ..Overrides::default() };
    harness.set_overrides(drained.clone());
    harness.advance(100);
    harness.ack(proxy);
    harness.trace += "# the list still has it as running\n";
    harness.list(LIST);
    harness.advance(1_000);
    harness.trace += "# a weight and a cap are overridden\n";
    let caps = [("order".to_string(), 0.5)].into();
    let weights = [("10.0.0.3:80".to_string(), 0.25)].into();
    harness.set_overrides(Overrides { weights, caps, ..drained });
    for _ in 0..8 {
        let before = harness.streams[&proxy].2;
        harness.send(proxy, proxy_message::Kind::Heartbeat(pewtergap_protocol::Heartbeat {}));
        harness.advance(500);
        if harness.streams[&proxy].2 != before {
            harness.ack(proxy);
        }
    }
    harness.trace += "# all overrides lifted\n";
    harness.set_overrides(Overrides::default());
    harness.advance(300);
    insta::assert_snapshot!(harness.trace);
}

#[test]
fn peers_without_a_hello_make_room_and_cannot_keep_their_place_byte_by_byte() {
    // Guards against proxies that are refused for good: peers that send a byte now and then held all streams.
    let mut harness = Harness::new(100.0, None, LIST);
    let strangers: Vec<Link> = (0..5).map(|number| harness.open(&format!("stranger {number}"))).collect();
    let proxy = harness.join("proxy");
    assert!(harness.trace.contains("to stranger 0: bye: other peers wait"), "{}", harness.trace);
    // The header of a frame of 4,096 bytes, and the first of its bytes.
    for byte in [0, 0, 16, 0, 1, 1, 1, 1, 1, 1] {
        harness.advance(500);
        harness.ack(proxy);
        strangers[1..].iter().for_each(|link| harness.input(Input::Bytes { link: *link, bytes: &[byte] }));
    }
    for number in 1..5 {
        assert!(harness.trace.contains(&format!("cuts stranger {number}")), "{}", harness.trace);
    }
    assert!(!harness.trace.contains("cuts proxy"), "{}", harness.trace);
}

#[test]
fn incomplete_messages_of_many_peers_are_closed_largest_first() {
    // Guards against hundreds of peers that each stop half way through a large message.
    let mut streams = pewtergap_control::streams::Streams::default();
    let mut closed = Vec::new();
    for number in 0..200 {
        let link = Link(number);
        let mut stream = pewtergap_control::streams::Stream::new(START);
        let length = if number == 0 { 8 * 1024 } else { 1024 * 1024 };
        stream.frames.push(&(length as u32).to_be_bytes());
        stream.frames.push(&vec![0; length - 1]);
        assert!(stream.frames.next_message().is_ok_and(|message| message.is_none()));
        streams.by_link.insert(link, stream);
        while let Some(largest) = streams.account(link) {
            streams.by_link.remove(&largest);
            closed.push(largest);
        }
    }
    let held: usize = streams.by_link.values().map(|stream| stream.allocated).sum();
    assert!(held <= 64 * 1024 * 1024, "{held} bytes");
    assert!(closed.len() < 170 && !closed.contains(&Link(0)), "{} closed", closed.len());
}
