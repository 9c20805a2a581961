//! What serves calls: clients in, servers out, by the tables it was last given. Any number of them work for
//! one proxy, each on a thread of its own; they share nothing but those tables.

use crate::calls::{after, passed_on, After, Call, Given, Miss, Repeats};
use crate::picks::{Level, Picks};
use crate::servers::{Servers, TryEnd};
use crate::tables::Tables;
use crate::{EjectionConfig, FrontConfig, Route, ENDED_HEADER, NOT_RUN_HEADER};
use pewtergap_http::{chunk, request, response, Head, Limits, Part, Reader, Side, StartLine, LAST_CHUNK};
use pewtergap_node::{Effect, Ended, Level as LogLevel, Link, Outbox};
use pewtergap_protocol::load_report::{LoadReport, HEADER};
use pewtergap_protocol::ServerStatsRow;
use pewtergap_time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

const MOST_CLIENTS: usize = 10_000;
/// Timers from here on are calls'.
pub const CALLS: u64 = 16;

/// Calls of a route that came and that were dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Arrival {
    pub calls: u64,
    pub dropped: u64,
}

struct Client {
    reader: Reader,
    head: Option<Head>,
    body: Vec<u8>,
    call: Option<u64>,
    keep: bool,
}

pub struct Worker {
    via: String,
    front: FrontConfig,
    routes: Vec<Route>,
    shunning: EjectionConfig,
    rng: fastrand::Rng,
    tables: Arc<Tables>,
    picks: HashMap<u32, Picks>,
    levels: Vec<Level>,
    servers: Servers,
    clients: BTreeMap<Link, Client>,
    calls: BTreeMap<u64, Call>,
    by_server_link: HashMap<Link, u64>,
    next_call: u64,
    arrivals: Vec<Arrival>,
    stopping: bool,
}

impl Worker {
    /// `name` is the proxy's, as servers see it.
    pub fn new(
        name: &str,
        front: FrontConfig,
        routes: Vec<Route>,
        shunning: EjectionConfig,
        tables: Arc<Tables>,
        seed: u64,
    ) -> Worker {
        let mut worker = Worker {
            via: format!("1.1 {name}"),
            front,
            picks: HashMap::new(),
            levels: vec![Level::default(); routes.len()],
            arrivals: vec![Arrival::default(); routes.len()],
            routes,
            shunning,
            rng: fastrand::Rng::with_seed(seed),
            tables: tables.clone(),
            servers: Servers::default(),
            clients: BTreeMap::new(),
            calls: BTreeMap::new(),
            by_server_link: HashMap::new(),
            next_call: CALLS,
            stopping: false,
        };
        worker.follow(tables);
        worker
    }

    /// The tables changed: picking goes on from where it is.
    pub fn follow(&mut self, tables: Arc<Tables>) {
        self.tables = tables;
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

    /// What was met at each server, and what came, since the last time.
    pub fn counted(&mut self) -> (Vec<ServerStatsRow>, Vec<Arrival>) {
        let none = vec![Arrival::default(); self.routes.len()];
        (self.servers.sums(), std::mem::replace(&mut self.arrivals, none))
    }

    pub fn clients(&self) -> usize {
        self.clients.len()
    }

    pub fn idle(&self) -> bool {
        self.calls.is_empty()
    }

    pub fn stop(&mut self) {
        self.stopping = true;
    }

    pub fn longest(&self) -> Span {
        self.routes.iter().map(|route| route.time_limit).max().unwrap_or_default()
    }

    pub fn accepted(&mut self, link: Link, out: &mut Outbox) {
        if self.clients.len() >= MOST_CLIENTS {
            return out.cut(link);
        }
        let reader = Reader::new(Side::Requests, Limits { head: 16 * 1024, body: 256 * 1024 });
        let client = Client { reader, head: None, body: Vec::new(), call: None, keep: false };
        self.clients.insert(link, client);
    }

    pub fn bytes(&mut self, now: Moment, link: Link, bytes: &[u8], out: &mut Outbox) {
        if self.clients.contains_key(&link) {
            self.client_bytes(now, link, bytes, out)
        } else {
            self.server_bytes(now, link, bytes, out)
        }
    }

    pub fn closed(&mut self, now: Moment, link: Link, why: Ended, out: &mut Outbox) {
        let Some(client) = self.clients.remove(&link) else {
            return self.server_closed(now, link, why, out);
        };
        // Nobody waits for the answer any more. What was sent cannot be called back.
        if let Some(call) = client.call.and_then(|id| self.calls.remove(&id)) {
            self.by_server_link.remove(&call.link);
            out.cut(call.link);
            self.count(&call.server, TryEnd::Bad, now, out);
        }
    }

    /// A call's time limit.
    pub fn due(&mut self, now: Moment, id: u64, out: &mut Outbox) {
        if self.calls.get(&id).is_some_and(|call| call.until <= now) {
            if let Some(server) = self.calls.get(&id).filter(|c| c.tries > 0).map(|c| c.server.clone()) {
                self.count(&server, TryEnd::Bad, now, out);
            }
            self.end(now, id, Given::TimeUp, out);
        }
    }

    pub fn reap(&mut self, now: Moment, out: &mut Outbox) {
        let tables = &self.tables;
        for link in self.servers.reap(now, self.front.keep_alive, |server| tables.names(server)) {
            out.finish(link);
        }
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
            match client.reader.next_part() {
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
                    out.send(link, response(wrong.status, &[("connection", "close")], Some(body.as_bytes())));
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
        let StartLine::Request { method, target } = &head.first else { return };
        let first = target.trim_start_matches('/').split(['/', '?']).next().unwrap_or("");
        let Some(route) = self.routes.iter().position(|route| route.name == first) else {
            return self.give(link, Given::NoRoute, out);
        };
        self.arrivals[route].calls += 1;
        let (level, resend) = self.gate(route);
        if !self.levels[route].admits(level) {
            return self.give(link, Given::Throttled, out);
        }
        if self.calls.len() >= self.front.max_calls {
            return self.give(link, Given::TooMany, out);
        }
        let mut headers = passed_on(&head);
        headers.push(("via", &self.via));
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
        out.set_timer(id, call.until);
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
        let mut headers = vec![(ENDED_HEADER, given.name())];
        if !keep {
            headers.push(("connection", "close"));
        }
        out.send(link, response(given.status(), &headers, Some(b"")));
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
                Ok(at) => out.connect(at, self.front.source_ip),
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
        if self.servers.ended_try(
            server,
            end,
            now,
            self.shunning.consecutive_failures,
            self.shunning.ejection_time,
        ) {
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
            match call.answer.next_part() {
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
                call.report = head.header(HEADER).map(LoadReport::parse).unwrap_or_default();
                call.keep_server = head.keep_alive;
                let never_ran = head.status() == 503 && head.header(NOT_RUN_HEADER).is_some();
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
                out.send(call.client, response(call.status, &headers, None));
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
}

fn answers() -> Reader {
    Reader::new(Side::Responses, Limits { body: u64::MAX, ..Limits::default() })
}
