//! Clients in number, slow ones, and ones that send much on one connection: the proxy as a node, driven by the test.

use pewtergap_node::{Effect, Ended, Input, Link, Node, Outbox};
use pewtergap_proxy::{EjectionConfig, FrontConfig, Proxy, ProxyConfig, Route};
use pewtergap_time::{Moment, Span};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

const START: Moment = Moment(1_000_000_000_000);
const REQUEST: &str = "GET /search/x HTTP/1.1\r\n\r\n";
const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

struct Setup {
    proxy: Proxy,
    now: Moment,
    out: Outbox,
    timers: Vec<(Moment, u64)>,
    /// Links that the proxy asked to be called again for.
    continued: VecDeque<Link>,
    /// What was sent on each link, by the proxy to clients and to servers.
    sent: BTreeMap<Link, String>,
    /// Links to servers in the order in which they were opened.
    servers: Vec<Link>,
    ended: Vec<Link>,
    clients: u64,
}

impl Setup {
    fn new(servers: &[&str]) -> Setup {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let config = ProxyConfig {
            name: "p1".into(),
            zone: "north".into(),
            planners: vec!["127.0.0.1:7100".parse().unwrap()],
            calls_per_s: 3.0,
        };
        let front =
            FrontConfig { listen: address, source_ip: None, max_calls: 100, keep_alive: Span::millis(5_000) };
        let routes = vec![Route {
            name: "search".into(),
            time_limit: Span::millis(1_000),
            mutating: false,
            resend: 0,
        }];
        let ejection = EjectionConfig { consecutive_failures: 0, ejection_time: Span::millis(2_000) };
        let standing: Vec<String> = servers.iter().map(|server| server.to_string()).collect();
        let mut setup = Setup {
            proxy: Proxy::new(config, front, routes, ejection, &standing, 7),
            now: START,
            out: Outbox::default(),
            timers: Vec::new(),
            continued: VecDeque::new(),
            sent: BTreeMap::new(),
            servers: Vec::new(),
            ended: Vec::new(),
            clients: 1_000_000,
        };
        setup.give(Input::Start);
        setup
    }

    fn give(&mut self, input: Input<'_>) {
        self.proxy.handle(self.now, input, &mut self.out);
        for effect in std::mem::take(&mut self.out.effects) {
            match effect {
                Effect::Connect { link, to, .. } if to.port() != 7100 => self.servers.push(link),
                Effect::Send { link, bytes } => {
                    self.sent.entry(link).or_default().push_str(&String::from_utf8_lossy(&bytes))
                }
                Effect::Finish { link } | Effect::Cut { link } => self.ended.push(link),
                Effect::Continue { link } => self.continued.push_back(link),
                Effect::SetTimer { timer, at } => self.timers.push((at, timer)),
                _ => {}
            }
        }
    }

    fn connect(&mut self) -> Link {
        self.clients += 1;
        let link = Link(self.clients);
        self.give(Input::Accepted { link, listener: 0, from: SocketAddr::from(([127, 0, 0, 1], 9)) });
        link
    }

    fn receive(&mut self, link: Link, bytes: &str) {
        self.give(Input::Bytes { link, bytes: bytes.as_bytes() });
    }

    /// Calls the proxy again for the links that it asked for, until there are none.
    fn run_continued(&mut self) {
        while let Some(link) = self.continued.pop_front() {
            self.receive(link, "");
        }
    }

    fn pass(&mut self, span: Span) {
        let until = self.now + span;
        loop {
            self.timers.sort();
            let Some((at, timer)) = self.timers.first().copied().filter(|timer| timer.0 <= until) else {
                break;
            };
            self.timers.remove(0);
            self.now = self.now.max(at);
            self.give(Input::TimerFired { timer });
        }
        self.now = until;
    }

    fn responses(&self, link: Link, status: &str) -> usize {
        self.sent.get(&link).map_or(0, |sent| sent.matches(&format!("HTTP/1.1 {status}")).count())
    }
}

#[test]
fn requests_behind_one_another_are_answered_one_in_a_round() {
    // Guards against a client that holds up all others, and the stack: its requests were answered one within the other
    // where there is no line.
    let mut setup = Setup::new(&[]);
    let (busy, other) = (setup.connect(), setup.connect());
    let count = 3_000;
    setup.receive(busy, &REQUEST.repeat(count));
    assert_eq!(setup.responses(busy, "503"), 1, "one response before others have their turn");
    setup.receive(other, REQUEST);
    assert_eq!(setup.responses(other, "503"), 1, "the other client is answered at once");
    setup.run_continued();
    assert_eq!(setup.responses(busy, "503"), count);
}

#[test]
fn unknown_routes_at_full_speed_leave_no_timers_behind() {
    // Guards against memory that grows with each request of a client: one timer each until its time limit.
    let mut setup = Setup::new(&[]);
    let client = setup.connect();
    let before = setup.timers.len();
    for name in 0..5_000 {
        setup.receive(
            client,
            &format!("GET /search/{name} HTTP/1.1\r\n\r\nGET /none-{name} HTTP/1.1\r\n\r\n"),
        );
        setup.run_continued();
    }
    assert_eq!(setup.timers.len(), before);
    assert_eq!((setup.responses(client, "503"), setup.responses(client, "404")), (5_000, 5_000));
}

#[test]
fn incomplete_requests_of_many_clients_stay_within_the_memory_limit() {
    // Guards against hundreds of clients that stop half way through a large request: nothing bounded them together.
    let mut setup = Setup::new(&["127.0.0.1:8001"]);
    let half = "x".repeat(200 * 1024);
    let slow: Vec<Link> = (0..600).map(|_| setup.connect()).collect();
    for link in &slow {
        setup.receive(*link, "POST /search/x HTTP/1.1\r\ncontent-length: 262144\r\n\r\n");
        setup.receive(*link, &half);
    }
    let refused = slow.iter().filter(|link| setup.ended.contains(link)).count();
    let held = (slow.len() - refused) * half.len();
    assert!(held <= 64 * 1024 * 1024, "{held} bytes are held of {} clients", slow.len() - refused);
    assert!(refused < slow.len() / 2 + 100, "{refused} of 600 refused although there is room for some 300");
    assert!(
        slow.iter().filter(|link| setup.responses(**link, "503") == 1).count() == refused,
        "each is told"
    );
    let small = setup.connect();
    setup.receive(small, REQUEST);
    assert_eq!(setup.servers.len(), 1, "a small request is still served");
}

#[test]
fn a_request_that_does_not_arrive_is_rejected_in_time() {
    // Guards against connections that are held for good by clients that write a byte now and then.
    let mut setup = Setup::new(&["127.0.0.1:8001"]);
    let (slow, idle) = (setup.connect(), setup.connect());
    setup.receive(idle, "");
    for _ in 0..70 {
        setup.receive(slow, "G");
        setup.pass(Span::millis(1_000));
    }
    assert_eq!(setup.responses(slow, "408"), 1);
    assert!(setup.ended.contains(&slow) && !setup.ended.contains(&idle), "an idle connection is kept");
}

#[test]
fn requests_behind_one_another_are_not_sent_on_once_their_client_is_gone() {
    // Guards against requests of a client that has reset its connection: the next one was sent on together with the
    // answer before it, before the reset that the answer met could be seen.
    let mut setup = Setup::new(&["127.0.0.1:8001"]);
    let client = setup.connect();
    setup.receive(client, &REQUEST.repeat(3));
    let server = setup.servers[0];
    setup.give(Input::Opened { link: server });
    setup.receive(server, OK);
    setup.give(Input::Closed { link: client, why: Ended::Reset });
    setup.run_continued();
    let forwarded: usize =
        setup.servers.iter().map(|link| setup.sent[link].matches("GET /search/x").count()).sum();
    assert_eq!(forwarded, 1, "requests sent on");
}

#[test]
fn requests_behind_one_another_are_all_served_while_the_client_stays() {
    let mut setup = Setup::new(&["127.0.0.1:8001"]);
    let client = setup.connect();
    setup.receive(client, &REQUEST.repeat(3));
    for _ in 0..3 {
        let server = *setup.servers.last().unwrap();
        setup.receive(server, OK);
        setup.run_continued();
    }
    assert_eq!(setup.responses(client, "200"), 3);
}

#[test]
fn a_client_that_ends_its_connection_during_its_call_ends_the_call() {
    let mut setup = Setup::new(&["127.0.0.1:8001"]);
    let client = setup.connect();
    setup.receive(client, REQUEST);
    setup.give(Input::Closed { link: client, why: Ended::Done });
    assert!(setup.ended.contains(&setup.servers[0]), "the server's connection is closed");
}
