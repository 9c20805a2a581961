//! The proxy as a node: calls from clients to servers, and its planner's orders.

use crate::calls::{after, passed_on, After, Call, Given, Miss, Repeats};
use crate::picks::{Level, Picks};
use crate::servers::{Servers, TryEnd};
use crate::stream::{Home, Sign, State, Step, Stream, PATIENCE};
use crate::tables::Tables;
use pewtergap_http::{answer, chunk, request, Bounds, First, Head, Part, Reader, Side, LAST_CHUNK};
use pewtergap_node::{Effect, Ended, Input, Level as LogLevel, Link, Node, Outbox};
use pewtergap_protocol::load_report::{LoadReport, HEADER};
use pewtergap_protocol::{down, encode, up, Ack, Arrivals, Arrived, Beat, Hello, Nack, Sums, Up, VERSION};
use pewtergap_time::{Moment, Span};
use std::any::Any;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{IpAddr, SocketAddr};

#[derive(Clone, Debug)]
pub struct Route {
    pub name: String,
    pub time_limit: Span,
    pub mutating: bool,
    /// How it is tried again while no planner has said: 0 never, 1 on proof, 2 once.
    pub resend: u32,
}

/// Where clients come in, and what is taken from them.
#[derive(Clone, Copy, Debug)]
pub struct Front {
    pub listen: SocketAddr,
    pub from: Option<IpAddr>,
    pub most_calls: usize,
    pub keep_alive: Span,
}

/// Keeping away from a server after so many failures of its own calls there in a row; 0 for never.
#[derive(Clone, Copy, Debug)]
pub struct Shunning {
    pub after: u32,
    pub rest: Span,
}

/// What a server answers with when it turned a call away before running it.
pub const NOT_RUN: &str = "x-pewtergap-not-run";
/// How a call ended here, when the proxy answered itself.
pub const ENDED: &str = "x-pewtergap-ended";

const CLIENTS: u32 = 0;
const HOUSEKEEPING: Span = Span::millis(250);
const MOST_CLIENTS: usize = 10_000;

mod timer {
    /// Timers up to here are the proxy's own, above them each is a call's.
    pub const DIAL: u64 = 1;
    pub const REPORT: u64 = 2;
    pub const HOUSEKEEPING: u64 = 3;
    pub const PATIENCE: u64 = 4;
    pub const CALLS: u64 = 16;
}

#[derive(Default)]
struct Arrival {
    calls: u64,
    dropped: u64,
}

struct Client {
    reader: Reader,
    head: Option<Head>,
    body: Vec<u8>,
    call: Option<u64>,
    keep: bool,
}

pub struct Proxy {
    home: Home,
    front: Front,
    routes: Vec<Route>,
    shunning: Shunning,
    rng: fastrand::Rng,
    tables: Tables,
    picks: HashMap<u32, Picks>,
    levels: Vec<Level>,
    servers: Servers,
    stream: Stream,
    /// Places of our routes among the planner's.
    order: Vec<usize>,
    clients: BTreeMap<Link, Client>,
    calls: BTreeMap<u64, Call>,
    by_server_link: HashMap<Link, u64>,
    next_call: u64,
    arrivals: Vec<Arrival>,
    reported: Moment,
    reporting: bool,
    stopping: bool,
}

impl Proxy {
    pub fn new(
        home: Home,
        front: Front,
        routes: Vec<Route>,
        shunning: Shunning,
        standing: &[String],
        seed: u64,
    ) -> Proxy {
        let mut proxy = Proxy {
            stream: Stream::new(home.planners.clone()),
            tables: Tables::standing(standing, routes.len()),
            picks: HashMap::new(),
            levels: vec![Level::default(); routes.len()],
            arrivals: routes.iter().map(|_| Arrival::default()).collect(),
            order: (0..routes.len()).collect(),
            home,
            front,
            routes,
            shunning,
            rng: fastrand::Rng::with_seed(seed),
            servers: Servers::default(),
            clients: BTreeMap::new(),
            calls: BTreeMap::new(),
            by_server_link: HashMap::new(),
            next_call: timer::CALLS,
            reported: Moment(0),
            reporting: false,
            stopping: false,
        };
        proxy.follow();
        proxy
    }

    pub fn tables(&self) -> &Tables {
        &self.tables
    }

    pub fn joined(&self) -> bool {
        self.stream.state == State::Joined
    }

    /// The tables changed: picking goes on from where it is.
    fn follow(&mut self) {
        let mut used = BTreeSet::new();
        for route in 0..self.routes.len() {
            if let Some((table, found)) = self.tables.of(route) {
                if used.insert(table) {
                    self.picks.entry(table).or_default().follow(&found.lines, &mut self.rng);
                }
            }
        }
        self.picks.retain(|table, _| used.contains(table));
    }

    // ---- clients

    fn client_bytes(&mut self, now: Moment, link: Link, bytes: &[u8], out: &mut Outbox) {
        let Some(client) = self.clients.get_mut(&link) else { return };
        client.reader.push(bytes);
        self.read_client(now, link, out);
    }

    /// Reads the next request of a client, one at a time: while a call is under way it is not read from.
    fn read_client(&mut self, now: Moment, link: Link, out: &mut Outbox) {
        loop {
            let Some(client) = self.clients.get_mut(&link) else { return };
            if client.call.is_some() {
                out.push(Effect::Pause { link });
                return;
            }
            match client.reader.take() {
                Ok(None) => return,
                Ok(Some(Part::Head(head))) => {
                    client.keep = head.keep_alive;
                    client.head = Some(head);
                    client.body.clear();
                }
                Ok(Some(Part::Data(data))) => client.body.extend_from_slice(&data),
                Ok(Some(Part::End)) => self.called(now, link, out),
                Err(wrong) => {
                    let body = wrong.to_string();
                    out.send(link, answer(wrong.status, &[("connection", "close")], Some(body.as_bytes())));
                    out.finish(link);
                    self.clients.remove(&link);
                    return;
                }
            }
        }
    }

    fn called(&mut self, now: Moment, link: Link, out: &mut Outbox) {
        let Some(client) = self.clients.get_mut(&link) else { return };
        let (Some(head), body) = (client.head.take(), std::mem::take(&mut client.body)) else { return };
        let First::Request { method, target } = &head.first else { return };
        let first = target.trim_start_matches('/').split(['/', '?']).next().unwrap_or("");
        let Some(route) = self.routes.iter().position(|route| route.name == first) else {
            return self.give(link, Given::NoRoute, out);
        };
        self.arrivals[route].calls += 1;
        let (level, resend) = self.gate(route);
        if !self.levels[route].admits(level) {
            return self.give(link, Given::Throttled, out);
        }
        if self.calls.len() >= self.front.most_calls {
            return self.give(link, Given::TooMany, out);
        }
        let via = format!("1.1 {}", self.home.name);
        let mut headers = passed_on(&head);
        headers.push(("via", &via));
        let whole = (!body.is_empty() || head.length.is_some()).then_some(body.as_slice());
        let request = request(method, target, &headers, whole);
        let id = self.next_call;
        self.next_call += 1;
        let call = Call {
            client: link,
            route,
            request,
            body_expected: method != "HEAD",
            until: now + self.routes[route].time_limit,
            tries: 0,
            resend,
            server: String::new(),
            link: Link(0),
            tried: now,
            before: Vec::new(),
            answer: answers(),
            passing: false,
            chunked: false,
            status: 0,
            report: LoadReport::default(),
            keep_server: false,
        };
        out.wake(id, call.until);
        self.clients.entry(link).and_modify(|client| client.call = Some(id));
        self.calls.insert(id, call);
        self.try_next(now, id, out);
    }

    /// Part let in, and how it is tried again.
    fn gate(&self, route: usize) -> (f64, u32) {
        let usual = (1.0, self.routes[route].resend);
        self.tables.of(route).and_then(|(_, table)| table.gate(route)).unwrap_or(usual)
    }

    /// Answers a client from here; at once, whatever the reason.
    fn give(&mut self, link: Link, given: Given, out: &mut Outbox) {
        let keep = self.clients.get(&link).is_some_and(|client| client.keep);
        let mut headers = vec![(ENDED, given.name())];
        if !keep {
            headers.push(("connection", "close"));
        }
        out.send(link, answer(given.status(), &headers, Some(b"")));
        self.answered(link, keep, out);
    }

    /// A client has its answer; its connection goes on with the next call, or ends.
    fn answered(&mut self, link: Link, keep: bool, out: &mut Outbox) {
        let Some(client) = self.clients.get_mut(&link) else { return };
        client.call = None;
        if !keep || self.stopping {
            out.finish(link);
            self.clients.remove(&link);
        }
    }

    // ---- tries

    fn try_next(&mut self, now: Moment, id: u64, out: &mut Outbox) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Some((table, found)) = self.tables.of(call.route) else {
            return self.end(now, id, Given::NoLine, out);
        };
        let picks = self.picks.entry(table).or_default();
        let servers = &self.servers;
        let fresh = |server: &str| !call.before.iter().any(|tried| tried == server);
        let fine = |server: &str| fresh(server) && !servers.shunned(server, now);
        // Where all lines are shunned, one of them is better than none.
        let picked = picks.pick(&found.lines, fine).or_else(|| picks.pick(&found.lines, fresh));
        let Some(server) = picked else {
            let given = if call.tries > 0 { Given::Failed } else { Given::NoLine };
            return self.end(now, id, given, out);
        };
        call.tries += 1;
        call.tried = now;
        call.server = server.clone();
        call.before.push(server.clone());
        call.answer = answers();
        if !call.body_expected {
            call.answer.expect_no_body();
        }
        let link = match self.servers.idle(&server) {
            Some(link) => link,
            None => match server.parse::<SocketAddr>() {
                Ok(at) => out.connect(at, self.front.from),
                Err(_) => return self.missed(now, id, Miss::NeverRan, out),
            },
        };
        call.link = link;
        self.by_server_link.insert(link, id);
        out.send(link, call.request.clone());
    }

    /// A try ended without an answer to pass on.
    fn missed(&mut self, now: Moment, id: u64, miss: Miss, out: &mut Outbox) {
        let Some(call) = self.calls.get(&id) else { return };
        let server = call.server.clone();
        let again = self.again(call, miss) && !call.passing && now < call.until;
        self.count(&server, TryEnd::Bad, now, out);
        if again {
            return self.try_next(now, id, out);
        }
        self.end(now, id, Given::Failed, out);
    }

    fn again(&self, call: &Call, miss: Miss) -> bool {
        let repeats = if self.routes[call.route].mutating { Repeats::Mutating } else { Repeats::Repeatable };
        after(call.resend, repeats, miss, call.tries) == After::TryAgain
    }

    fn count(&mut self, server: &str, end: TryEnd, now: Moment, out: &mut Outbox) {
        if self.servers.ended_try(server, end, now, self.shunning.after, self.shunning.rest) {
            out.log(LogLevel::Info, "shuns", vec![("server", server.into())]);
        }
    }

    /// A call ends without a server's answer.
    fn end(&mut self, now: Moment, id: u64, given: Given, out: &mut Outbox) {
        let Some(call) = self.calls.remove(&id) else { return };
        if given != Given::NoLine {
            self.arrivals[call.route].dropped += 1;
        }
        if self.by_server_link.remove(&call.link).is_some() {
            out.cut(call.link);
        }
        if call.passing {
            // Part of an answer is out: only the end of the connection tells the client that it is not whole.
            out.cut(call.client);
            self.clients.remove(&call.client);
            return;
        }
        self.give(call.client, given, out);
        self.next_of(now, call.client, out);
    }

    fn next_of(&mut self, now: Moment, client: Link, out: &mut Outbox) {
        if self.clients.contains_key(&client) {
            out.push(Effect::Resume { link: client });
            self.read_client(now, client, out);
        }
    }

    fn server_bytes(&mut self, now: Moment, link: Link, bytes: &[u8], out: &mut Outbox) {
        let Some(id) = self.by_server_link.get(&link).copied() else {
            // An idle connection on which something comes is of no use any more.
            if self.servers.ended(link) {
                out.cut(link);
            }
            return;
        };
        if let Some(call) = self.calls.get_mut(&id) {
            call.answer.push(bytes);
        }
        loop {
            let Some(call) = self.calls.get_mut(&id).filter(|call| call.link == link) else { return };
            match call.answer.take() {
                Ok(None) => return,
                Ok(Some(part)) => self.part(now, id, part, out),
                Err(wrong) => {
                    out.log(
                        LogLevel::Warn,
                        "bad_answer",
                        vec![("server", call.server.clone()), ("why", wrong.to_string())],
                    );
                    self.by_server_link.remove(&link);
                    out.cut(link);
                    return self.missed(now, id, Miss::MayHaveRun, out);
                }
            }
        }
    }

    fn part(&mut self, now: Moment, id: u64, part: Part, out: &mut Outbox) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        match part {
            // An interim answer says nothing of the call.
            Part::Head(head) if head.status() < 200 => {}
            Part::Head(head) => {
                call.status = head.status();
                call.report = head.header(HEADER).map(LoadReport::read).unwrap_or_default();
                call.keep_server = head.keep_alive;
                let never_ran = head.status() == 503 && head.header(NOT_RUN).is_some();
                let miss = if never_ran { Miss::NeverRan } else { Miss::Erred };
                let (link, status, in_time) = (call.link, call.status, now < call.until);
                if status >= 500 && in_time && self.calls.get(&id).is_some_and(|call| self.again(call, miss))
                {
                    self.by_server_link.remove(&link);
                    out.cut(link);
                    return self.missed(now, id, miss, out);
                }
                let Some(call) = self.calls.get_mut(&id) else { return };
                let mut headers = passed_on(&head);
                let length = head.length.map(|length| length.to_string());
                call.chunked = length.is_none() && call.body_expected && !matches!(call.status, 204 | 304);
                match &length {
                    Some(length) => headers.push(("content-length", length)),
                    None if call.chunked => headers.push(("transfer-encoding", "chunked")),
                    None => {}
                }
                call.passing = true;
                out.send(call.client, answer(call.status, &headers, None));
            }
            Part::Data(data) if call.passing => {
                out.send(call.client, if call.chunked { chunk(&data) } else { data });
            }
            Part::Data(_) => {}
            Part::End if !call.passing => {}
            Part::End => {
                if call.chunked {
                    out.send(call.client, LAST_CHUNK.to_vec());
                }
                let Some(call) = self.calls.remove(&id) else { return };
                self.by_server_link.remove(&call.link);
                if call.keep_server && self.tables.names(&call.server) {
                    self.servers.rest(&call.server, call.link, now);
                } else {
                    out.finish(call.link);
                }
                let end = if call.status < 500 {
                    TryEnd::Good { took: now.since(call.tried), report: call.report }
                } else {
                    self.arrivals[call.route].dropped += 1;
                    TryEnd::Bad
                };
                self.count(&call.server, end, now, out);
                let keep = self.clients.get(&call.client).is_some_and(|client| client.keep);
                self.answered(call.client, keep, out);
                self.next_of(now, call.client, out);
            }
        }
    }

    fn server_closed(&mut self, now: Moment, link: Link, why: Ended, out: &mut Outbox) {
        let Some(id) = self.by_server_link.remove(&link) else {
            self.servers.ended(link);
            return;
        };
        let Some(call) = self.calls.get_mut(&id).filter(|call| call.link == link) else { return };
        if why == Ended::Done {
            // An answer without a length ends with its connection.
            if let Ok(Some(Part::End)) = call.answer.close() {
                call.keep_server = false;
                return self.part(now, id, Part::End, out);
            }
        }
        let miss = if why == Ended::Refused { Miss::NeverRan } else { Miss::MayHaveRun };
        self.missed(now, id, miss, out);
    }

    // ---- the planner

    fn stream_sign(&mut self, now: Moment, sign: Sign, out: &mut Outbox) {
        let Some((step, wait)) = self.stream.step(sign, self.rng.f64()) else { return };
        match step {
            Step::Dial => match self.stream.planner() {
                Some(at) if !self.stopping => {
                    self.stream.link = Some(out.connect(at, self.front.from));
                    self.stream.heard = now;
                    self.stream.frames = Default::default();
                    out.wake(timer::PATIENCE, now + PATIENCE + Span::millis(1));
                }
                _ => {}
            },
            Step::Greet => {
                self.stream.heard = now;
                let hello = Hello {
                    protocol: VERSION,
                    proxy: self.home.name.clone(),
                    zone: self.home.zone.clone(),
                    calls_per_s: self.home.calls_per_s,
                    held: self.tables.held(),
                    routes: self.routes.iter().map(|route| route.name.clone()).collect(),
                };
                self.tell(up::Kind::Hello(hello), out);
            }
            Step::Join => {}
            Step::Next | Step::Again => {
                if let Some(link) = self.stream.link.take() {
                    out.cut(link);
                }
                out.wake(timer::DIAL, now + wait);
            }
        }
    }

    fn tell(&mut self, kind: up::Kind, out: &mut Outbox) {
        if let Some(link) = self.stream.link {
            out.send(link, encode(&Up::of(kind)));
        }
    }

    fn planner_bytes(&mut self, now: Moment, bytes: &[u8], out: &mut Outbox) {
        self.stream.heard = now;
        self.stream.frames.push(bytes);
        while self.stream.link.is_some() {
            match self.stream.frames.take() {
                Ok(None) => return,
                Ok(Some(message)) => {
                    if let Some(kind) = message.kind {
                        self.ordered(now, kind, out);
                    }
                }
                Err(wrong) => {
                    out.log(LogLevel::Warn, "bad_message", vec![("why", wrong.to_string())]);
                    self.stream_sign(now, Sign::Lost, out);
                }
            }
        }
    }

    fn ordered(&mut self, now: Moment, kind: down::Kind, out: &mut Outbox) {
        match kind {
            down::Kind::Welcome(welcome) => {
                let place = |route: &Route| welcome.routes.iter().position(|name| *name == route.name);
                let order: Option<Vec<usize>> = self.routes.iter().map(place).collect();
                let Some(order) = order else {
                    out.log(LogLevel::Error, "routes_differ", vec![("planner", welcome.planner)]);
                    return self.stream_sign(now, Sign::Lost, out);
                };
                self.order = order;
                self.stream.every = Span::micros(welcome.report_every_us);
                self.tables.welcome(&welcome);
                out.log(
                    LogLevel::Info,
                    "joined",
                    vec![("planner", welcome.planner), ("epoch", welcome.epoch.to_string())],
                );
                self.stream_sign(now, Sign::Welcomed, out);
                self.reported = now;
                if !self.reporting {
                    self.reporting = true;
                    // Proxies that joined together should not report in step.
                    out.wake(timer::REPORT, now + self.stream.every.times(self.rng.f64()));
                }
            }
            down::Kind::Update(update) => {
                let mut ours = update;
                ours.binds.iter_mut().for_each(|bind| bind.routes = self.ours(bind.routes));
                ours.tables
                    .iter_mut()
                    .flat_map(|t| &mut t.gates)
                    .for_each(|gate| gate.routes = self.ours(gate.routes));
                match self.tables.apply(&ours) {
                    Ok(()) => {
                        self.follow();
                        let fields = vec![("turn", ours.turn.to_string()), ("nonce", ours.nonce.to_string())];
                        out.log(LogLevel::Debug, "applied", fields);
                        self.tell(up::Kind::Ack(Ack { nonce: ours.nonce, mark: ours.mark }), out);
                        self.reap(now, out);
                    }
                    Err(refusal) => {
                        let fields = vec![("turn", ours.turn.to_string()), ("why", refusal.reason.clone())];
                        out.log(LogLevel::Warn, "refuses", fields);
                        let (nonce, reason) = (ours.nonce, refusal.reason);
                        let nack = Nack { nonce, reason, table: refusal.table, holds: refusal.holds };
                        self.tell(up::Kind::Nack(nack), out);
                    }
                }
            }
            down::Kind::Bye(bye) => {
                out.log(LogLevel::Info, "sent_away", vec![("why", bye.reason)]);
                self.stream.state = State::Greeting;
                self.stream_sign(now, Sign::Lost, out);
            }
            down::Kind::Beat(_) => {}
        }
    }

    /// A mask of the planner's routes as one of ours; 0 stays "all", and what names none of ours names nothing.
    fn ours(&self, mask: u64) -> u64 {
        let bit = |(at, place): (usize, &usize)| (mask >> place & 1) << at;
        match mask {
            0 => 0,
            _ => {
                Some(self.order.iter().enumerate().map(bit).sum()).filter(|ours| *ours > 0).unwrap_or(1 << 63)
            }
        }
    }

    fn report(&mut self, now: Moment, out: &mut Outbox) {
        out.wake(timer::REPORT, now + self.stream.every);
        if !self.joined() {
            return;
        }
        let over_us = now.since(self.reported).0 / 1_000;
        self.reported = now;
        let rows = self.servers.sums();
        let none = rows.is_empty();
        if !none {
            self.tell(up::Kind::Sums(Sums { over_us, rows }), out);
        }
        let place = |(at, arrival): (usize, &mut Arrival)| {
            let Arrival { calls, dropped } = std::mem::take(arrival);
            Arrived { route: self.order[at] as u32, calls, dropped }
        };
        let mut rows: Vec<Arrived> = self.arrivals.iter_mut().enumerate().map(place).collect();
        rows.sort_by_key(|row| row.route);
        self.tell(up::Kind::Arrivals(Arrivals { over_us, rows }), out);
        if none {
            self.tell(up::Kind::Beat(Beat {}), out);
        }
    }

    fn reap(&mut self, now: Moment, out: &mut Outbox) {
        let tables = &self.tables;
        for link in self.servers.reap(now, self.front.keep_alive, |server| tables.names(server)) {
            out.finish(link);
        }
    }

    fn due(&mut self, now: Moment, timer: u64, out: &mut Outbox) {
        match timer {
            timer::DIAL => self.stream_sign(now, Sign::Due, out),
            timer::REPORT => self.report(now, out),
            timer::HOUSEKEEPING => {
                out.wake(timer::HOUSEKEEPING, now + HOUSEKEEPING);
                self.reap(now, out);
                self.check_stream(now, out);
            }
            timer::PATIENCE => self.check_stream(now, out),
            id if self.calls.get(&id).is_some_and(|call| call.until <= now) => {
                if let Some(server) = self.calls.get(&id).filter(|c| c.tries > 0).map(|c| c.server.clone()) {
                    self.count(&server, TryEnd::Bad, now, out);
                }
                self.end(now, id, Given::TimeUp, out);
            }
            _ => {}
        }
    }

    fn check_stream(&mut self, now: Moment, out: &mut Outbox) {
        if self.stream.overdue(now) {
            out.log(LogLevel::Warn, "stream_silent", Vec::new());
            self.stream_sign(now, Sign::Lost, out);
        }
    }

    fn closed(&mut self, now: Moment, link: Link, why: Ended, out: &mut Outbox) {
        if self.stream.link == Some(link) {
            self.stream.link = None;
            self.stream_sign(now, Sign::Lost, out);
        } else if let Some(client) = self.clients.remove(&link) {
            // Nobody waits for the answer any more. What was sent cannot be called back.
            if let Some(call) = client.call.and_then(|id| self.calls.remove(&id)) {
                self.by_server_link.remove(&call.link);
                out.cut(call.link);
                self.count(&call.server, TryEnd::Bad, now, out);
            }
        } else {
            self.server_closed(now, link, why, out);
        }
    }
}

fn answers() -> Reader {
    Reader::new(Side::Answers, Bounds { body: u64::MAX, ..Bounds::default() })
}

impl Node for Proxy {
    fn handle(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) {
        match input {
            Input::Start => {
                out.push(Effect::Listen { door: CLIENTS, at: self.front.listen });
                out.wake(timer::HOUSEKEEPING, now + HOUSEKEEPING);
                self.stream_sign(now, Sign::Due, out);
            }
            Input::Listening { at, .. } => {
                out.log(
                    LogLevel::Info,
                    "listening",
                    vec![("door", "clients".into()), ("at", at.to_string())],
                );
            }
            Input::NotListening { why, .. } => {
                out.log(LogLevel::Error, "not_listening", vec![("why", why)]);
                out.push(Effect::Exit { code: 3 });
            }
            Input::Accepted { link, .. } if self.clients.len() < MOST_CLIENTS => {
                let reader = Reader::new(Side::Requests, Bounds { head: 16 * 1024, body: 256 * 1024 });
                let client = Client { reader, head: None, body: Vec::new(), call: None, keep: false };
                self.clients.insert(link, client);
            }
            Input::Accepted { link, .. } => out.cut(link),
            Input::Opened { link } if self.stream.link == Some(link) => {
                self.stream_sign(now, Sign::Opened, out)
            }
            Input::Opened { .. } => {}
            Input::Bytes { link, bytes } if self.stream.link == Some(link) => {
                self.planner_bytes(now, bytes, out)
            }
            Input::Bytes { link, bytes } if self.clients.contains_key(&link) => {
                self.client_bytes(now, link, bytes, out)
            }
            Input::Bytes { link, bytes } => self.server_bytes(now, link, bytes, out),
            Input::Closed { link, why } => self.closed(now, link, why, out),
            Input::Due { timer } => self.due(now, timer, out),
            Input::Stop if !self.stopping => {
                // Calls under way are finished; nobody new is let in.
                self.stopping = true;
                out.push(Effect::Unlisten { door: CLIENTS });
                let longest = self.routes.iter().map(|route| route.time_limit).max().unwrap_or_default();
                let wait = if self.calls.is_empty() { Span::millis(50) } else { longest };
                out.wake(timer::CALLS - 1, now + wait);
            }
            Input::Stop | Input::Reload | Input::Word(_) | Input::File { .. } => {}
            Input::Knocked | Input::HandedBack { .. } => {}
        }
        if self.stopping && self.calls.is_empty() {
            out.push(Effect::Exit { code: 0 });
        }
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}
