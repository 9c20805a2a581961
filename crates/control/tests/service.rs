//! The service as a node: proxies that do not read, refuse, flood or come twice; a list kept for the next start.

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

struct Stage {
    service: Service,
    now: Moment,
    out: Outbox,
    trace: String,
    timers: Vec<(Moment, u64)>,
    streams: BTreeMap<Link, (String, FrameReader<PlannerMessage>, u64)>,
    kept: Option<Vec<u8>>,
    next: u64,
}

fn service(lines_per_s: f64) -> Service {
    let ms = Span::millis;
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
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
    };
    let slicing = Slicing { slices: 0, exclusive: false, write_stop_delay: ms(0), write_linger: ms(0) };
    let planner = Planner::new(START, 7, fleet, vec![route], channel, contract, capabilities, slicing);
    let charge = ServiceConfig {
        name: "a".into(),
        zones: vec!["north".into()],
        routes: vec!["order".into()],
        unresponsive_after: ms(3_000),
    };
    let doors = ListenConfig { proxies: listen, admin: None, source_ip: None };
    let reports = ReportConfig { interval: ms(1_000), lines_per_s: 100.0, max_streams: 5 };
    let probing = ProbeConfig { path: "/healthz".into(), timeout: ms(500), max_open: 4, body_fields: None };
    let queue = Queue::new(lines_per_s, 3.0, 400.0);
    Service::new(
        START,
        charge,
        doors,
        ListSource::File { name: "list".into() },
        planner,
        queue,
        reports,
        probing,
    )
}

impl Stage {
    fn new(lines_per_s: f64, kept: Option<&[u8]>, list: &str) -> Stage {
        let mut stage = Stage {
            service: service(lines_per_s),
            now: START,
            out: Outbox::default(),
            trace: String::new(),
            timers: Vec::new(),
            streams: BTreeMap::new(),
            kept: None,
            next: 1_000,
        };
        stage.give(Input::Start);
        stage.give(Input::File { name: "a.list.json", bytes: kept.ok_or("there is none".to_string()) });
        stage.give(Input::File { name: "list", bytes: Ok(list.as_bytes()) });
        stage.pass(10);
        stage
    }

    fn give(&mut self, input: Input<'_>) {
        self.service.handle(self.now, input, &mut self.out);
        self.carry_out();
    }

    fn orders(&mut self, standing: Overrides) {
        let stands = self.service.overrides().diff(&standing);
        self.service.apply_overrides(self.now, &stands, &mut self.out);
        self.carry_out();
    }

    fn carry_out(&mut self) {
        for effect in std::mem::take(&mut self.out.effects) {
            let at = self.now.since(START).0 / 1_000_000;
            match effect {
                Effect::SetTimer { timer, at } => self.timers.push((at, timer)),
                Effect::SaveFile { bytes, .. } => self.kept = Some(bytes),
                Effect::Cut { link } => self.trace += &format!("{at:>5} cuts {}\n", self.name(link)),
                Effect::Finish { link } => self.trace += &format!("{at:>5} finishes {}\n", self.name(link)),
                Effect::Send { link, bytes } => {
                    let Some((name, frames, nonce)) = self.streams.get_mut(&link) else { continue };
                    frames.push(&bytes);
                    let told = match frames.next_message().unwrap().unwrap().kind.unwrap() {
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
                    self.trace += &format!("{at:>5} to {name}: {told}\n");
                }
                _ => {}
            }
        }
    }

    fn name(&self, link: Link) -> String {
        self.streams.get(&link).map_or("one".into(), |stream| stream.0.clone())
    }

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

    fn open(&mut self, name: &str) -> Link {
        self.next += 1;
        let link = Link(self.next);
        self.streams.insert(link, (name.into(), FrameReader::default(), 0));
        self.give(Input::Accepted { link, listener: 0, from: SocketAddr::from(([127, 0, 0, 1], 9)) });
        link
    }

    fn join(&mut self, name: &str) -> Link {
        let link = self.open(name);
        let (proxy, zone, routes) = (name.into(), "north".into(), vec!["order".into()]);
        self.say(
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

    fn say(&mut self, link: Link, kind: proxy_message::Kind) {
        self.give(Input::Bytes { link, bytes: &encode(&ProxyMessage::new(kind)) });
    }

    /// Answers the last message.
    fn ack(&mut self, link: Link) {
        let nonce = self.streams[&link].2;
        self.say(link, proxy_message::Kind::Ack(Ack { nonce, mark: 0 }));
    }

    fn list(&mut self, text: &str) {
        self.give(Input::File { name: "list", bytes: Ok(text.as_bytes()) });
    }
}

fn without(server: &str) -> String {
    LIST.replace(&format!("{{\"addresses\":[\"{server}\"],\"zone\":\"north\"}}"), &format!(
        "{{\"addresses\":[\"{server}\"],\"zone\":\"north\",\"conditions\":{{\"ready\":false,\"terminating\":true}}}}"
    ))
}

#[test]
fn a_proxy_that_does_not_answer_keeps_no_removal_from_the_others_and_is_closed() {
    let mut stage = Stage::new(100.0, None, LIST);
    let (good, deaf) = (stage.join("good"), stage.join("deaf"));
    stage.pass(300);
    stage.ack(good);
    stage.trace += "# a server drains; only one proxy answers\n";
    stage.list(&without("10.0.0.2"));
    stage.pass(400);
    stage.ack(good);
    for _ in 0..8 {
        stage.pass(500);
        for link in [good, deaf] {
            stage.say(link, proxy_message::Kind::Heartbeat(pewtergap_protocol::Heartbeat {}));
        }
    }
    stage.trace += "# another drains\n";
    stage.list(&without("10.0.0.1"));
    stage.pass(300);
    insta::assert_snapshot!(stage.trace);
}

#[test]
fn a_refused_message_leads_to_the_whole_and_five_refusals_to_the_door() {
    let mut stage = Stage::new(10_000.0, None, LIST);
    let link = stage.join("p");
    for _ in 0..7 {
        stage.pass(300);
        let nonce = stage.streams[&link].2;
        stage.say(
            link,
            proxy_message::Kind::Nack(Nack { nonce, reason: "version gap".into(), table: 0, holds: 0 }),
        );
    }
    insta::assert_snapshot!(stage.trace);
}

#[test]
fn what_no_proxy_may_send_is_answered_with_the_reason() {
    let mut stage = Stage::new(10_000.0, None, LIST);
    let hello = |zone: &str, protocol, route: &str| {
        let (proxy, zone, routes) = ("p".into(), zone.into(), vec![route.into()]);
        proxy_message::Kind::Hello(Hello { protocol, proxy, zone, calls_per_s: 5.0, held: vec![], routes })
    };
    for (name, kind) in [
        ("far", hello("east", 1, "order")),
        ("old", hello("north", 0, "order")),
        ("odd", hello("north", 1, "refund")),
        ("hasty", proxy_message::Kind::Ack(Ack { nonce: 1, mark: 0 })),
    ] {
        let link = stage.open(name);
        stage.say(link, kind);
    }
    let link = stage.join("liar");
    stage.say(link, proxy_message::Kind::Ack(Ack { nonce: 77, mark: 0 }));
    let link = stage.open("noise");
    stage.give(Input::Bytes { link, bytes: b"GET / HTTP/1.1\r\n\r\n" });
    stage.trace += "# silent after connecting\n";
    stage.open("mute");
    stage.pass(5_000);
    stage.trace += "# one stream too many\n";
    for _ in 0..6 {
        stage.join("many");
    }
    for at in 0..6 {
        stage.join(&format!("q{at}"));
    }
    let open: Vec<Link> = stage.streams.keys().copied().collect();
    open.into_iter().for_each(|link| stage.give(Input::Closed { link, why: Ended::Done }));
    stage.trace += "# new names without end\n";
    for at in 0..20 {
        let link = stage.join(&format!("made-up-{at}"));
        stage.give(Input::Closed { link, why: Ended::Done });
    }
    insta::assert_snapshot!(stage
        .trace
        .lines()
        .filter(|line| !line.contains("set ["))
        .collect::<Vec<_>>()
        .join("\n"));
}

#[test]
fn a_fresh_start_goes_by_the_list_kept_on_disk_until_it_hears_better() {
    let mut stage = Stage::new(10_000.0, None, LIST);
    stage.pass(1_000);
    let kept = stage.kept.take().unwrap();
    let mut stage = Stage::new(10_000.0, Some(&kept), "{ not a list");
    stage.join("p");
    stage.pass(300);
    stage.trace += "# a kept list that was cut off is no list\n";
    let mut cut = Stage::new(10_000.0, Some(&kept[..kept.len() / 2]), LIST);
    cut.join("p");
    cut.pass(300);
    insta::assert_snapshot!(stage.trace + &cut.trace);
}

#[test]
fn a_proxy_that_comes_back_before_its_old_stream_broke_is_taken_over() {
    let mut stage = Stage::new(10_000.0, None, LIST);
    let old = stage.join("p");
    stage.pass(300);
    stage.ack(old);
    stage.join("p");
    stage.pass(300);
    // The end of the old stream comes late and means nothing.
    stage.give(Input::Closed { link: old, why: Ended::Ours });
    stage.list(&without("10.0.0.2"));
    stage.pass(300);
    stage.trace += "# stopped in order\n";
    stage.give(Input::Stop);
    stage.pass(500);
    insta::assert_snapshot!(stage.trace);
}

#[test]
fn orders_bind_whatever_the_list_says_until_they_are_taken_back() {
    let mut stage = Stage::new(1_000.0, None, LIST);
    let proxy = stage.join("p");
    stage.pass(300);
    stage.ack(proxy);
    stage.trace += "# drained by order, in the same turn\n";
    let drained = Overrides { drained: ["10.0.0.2:80".to_string()].into(), ..Overrides::default() };
    stage.orders(drained.clone());
    stage.pass(100);
    stage.ack(proxy);
    stage.trace += "# the list says once more that it runs\n";
    stage.list(LIST);
    stage.pass(1_000);
    stage.trace += "# a weight is held, and a cap\n";
    let caps = [("order".to_string(), 0.5)].into();
    let weights = [("10.0.0.3:80".to_string(), 0.25)].into();
    stage.orders(Overrides { weights, caps, ..drained });
    for _ in 0..8 {
        let before = stage.streams[&proxy].2;
        stage.say(proxy, proxy_message::Kind::Heartbeat(pewtergap_protocol::Heartbeat {}));
        stage.pass(500);
        if stage.streams[&proxy].2 != before {
            stage.ack(proxy);
        }
    }
    stage.trace += "# all taken back\n";
    stage.orders(Overrides::default());
    stage.pass(300);
    insta::assert_snapshot!(stage.trace);
}
