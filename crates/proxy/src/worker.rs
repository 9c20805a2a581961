//! Serves calls: accepts requests of clients and forwards them to servers according to the current tables. A proxy has
//! any number of workers, each on its own thread; they share only the tables.

use crate::calls::{
    forwarded_headers, retry_decision, Call, CallError, RetryDecision, RetrySafety, TryFailure,
};
use crate::clients::{Clients, Request, MAX_REQUEST_MEMORY};
use crate::picker::{AdmissionLevel, WeightedPicker};
use crate::servers::{Servers, TryOutcome};
use crate::tables::Tables;
use crate::{EjectionConfig, FrontConfig, Route, ENDED_HEADER, NOT_RUN_HEADER};
use pewtergap_http::{chunk, request, response, Limits, Part, Reader, Side, StartLine, LAST_CHUNK};
use pewtergap_node::{Ended, Level as LogLevel, Link, Outbox};
use pewtergap_protocol::load_report::{LoadReport, HEADER};
use pewtergap_protocol::ServerStatsRow;
use pewtergap_time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

/// Ids of calls, which are also the ids of their timers, start here.
pub const FIRST_CALL_ID: u64 = 16;

/// Number of calls of a route that arrived, and of those that were dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ArrivalCount {
    pub calls: u64,
    pub dropped: u64,
}

pub struct Worker {
    via: String,
    config: FrontConfig,
    routes: Vec<Route>,
    ejection: EjectionConfig,
    rng: fastrand::Rng,
    tables: Arc<Tables>,
    pickers: HashMap<u32, WeightedPicker>,
    levels: Vec<AdmissionLevel>,
    servers: Servers,
    clients: Clients,
    calls: BTreeMap<u64, Call>,
    /// Memory of the requests in `calls`, in bytes.
    call_memory: usize,
    by_server_link: HashMap<Link, u64>,
    next_call: u64,
    arrivals: Vec<ArrivalCount>,
    stopping: bool,
}

impl Worker {
    /// `name` is the proxy's name in the `via` header.
    pub fn new(
        name: &str,
        config: FrontConfig,
        routes: Vec<Route>,
        ejection: EjectionConfig,
        tables: Arc<Tables>,
        seed: u64,
    ) -> Worker {
        let mut worker = Worker {
            via: format!("1.1 {name}"),
            config,
            pickers: HashMap::new(),
            levels: vec![AdmissionLevel::default(); routes.len()],
            arrivals: vec![ArrivalCount::default(); routes.len()],
            routes,
            ejection,
            rng: fastrand::Rng::with_seed(seed),
            tables: tables.clone(),
            servers: Servers::default(),
            clients: Clients::default(),
            calls: BTreeMap::new(),
            call_memory: 0,
            by_server_link: HashMap::new(),
            next_call: FIRST_CALL_ID,
            stopping: false,
        };
        worker.set_tables(tables);
        worker
    }

    /// Replaces the tables; the pickers of remaining tables keep their state.
    pub fn set_tables(&mut self, tables: Arc<Tables>) {
        self.tables = tables;
        let mut used = BTreeSet::new();
        for route in 0..self.routes.len() {
            if let Some((table, found)) = self.tables.for_route(route) {
                if used.insert(table) {
                    self.pickers.entry(table).or_default().update(&found.lines, &mut self.rng);
                }
            }
        }
        self.pickers.retain(|table, _| used.contains(table));
    }

    /// Takes the statistics by server and the arrivals by route since the last call.
    pub fn take_counters(&mut self) -> (Vec<ServerStatsRow>, Vec<ArrivalCount>) {
        let none = vec![ArrivalCount::default(); self.routes.len()];
        (self.servers.take_stats(), std::mem::replace(&mut self.arrivals, none))
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

    pub fn max_time_limit(&self) -> Span {
        self.routes.iter().map(|route| route.time_limit).max().unwrap_or_default()
    }

    pub fn accept(&mut self, now: Moment, link: Link, out: &mut Outbox) {
        self.clients.accept(now, link, out);
    }

    pub fn receive(&mut self, now: Moment, link: Link, bytes: &[u8], out: &mut Outbox) {
        if self.clients.contains(link) {
            if let Some(request) = self.clients.receive(now, link, bytes, out) {
                self.start_call(now, link, request, out);
            }
        } else {
            self.receive_from_server(now, link, bytes, out)
        }
    }

    pub fn closed(&mut self, now: Moment, link: Link, why: Ended, out: &mut Outbox) {
        let Some(call) = self.clients.remove(link) else {
            return self.server_closed(now, link, why, out);
        };
        // The client is gone, so the response is discarded. The request already sent cannot be revoked.
        if let Some(call) = call.and_then(|id| self.remove_call(id)) {
            self.by_server_link.remove(&call.link);
            out.cut(call.link);
            self.record_try(&call.server, TryOutcome::Failure, now, out);
        }
    }

    /// Handles the timer of a call's time limit.
    pub fn timer_fired(&mut self, now: Moment, id: u64, out: &mut Outbox) {
        if self.calls.get(&id).is_some_and(|call| call.deadline <= now) {
            if let Some(server) = self.calls.get(&id).filter(|c| c.tries > 0).map(|c| c.server.clone()) {
                self.record_try(&server, TryOutcome::Failure, now, out);
            }
            self.fail_call(id, CallError::TimedOut, out);
        }
    }

    /// Closes idle connections to servers, and rejects requests that have not arrived in time.
    pub fn close_idle(&mut self, now: Moment, out: &mut Outbox) {
        self.clients.time_out(now, out);
        let tables = &self.tables;
        for link in self.servers.expire_idle(now, self.config.keep_alive, |server| tables.contains(server)) {
            out.finish(link);
        }
    }

    fn remove_call(&mut self, id: u64) -> Option<Call> {
        let call = self.calls.remove(&id)?;
        self.call_memory -= call.request.len();
        Some(call)
    }

    fn start_call(&mut self, now: Moment, link: Link, received: Request, out: &mut Outbox) {
        let Request { head, body } = received;
        let StartLine::Request { method, target } = &head.first else { return };
        let first = target.trim_start_matches('/').split(['/', '?']).next().unwrap_or("");
        let Some(route) = self.routes.iter().position(|route| route.name == first) else {
            return self.respond_locally(link, CallError::NoRoute, out);
        };
        self.arrivals[route].calls += 1;
        let (level, resend) = self.gate(route);
        if !self.levels[route].admits(level) {
            return self.respond_locally(link, CallError::Throttled, out);
        }
        let memory = self.clients.memory() + self.call_memory + body.len();
        if self.calls.len() >= self.config.max_calls || memory > MAX_REQUEST_MEMORY {
            return self.respond_locally(link, CallError::TooManyCalls, out);
        }
        let mut headers = forwarded_headers(&head);
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
            deadline: now + self.routes[route].time_limit,
            tries: 0,
            resend,
            server: String::new(),
            link: Link(0),
            try_started: now,
            tried_servers: Vec::new(),
            response: response_reader(),
            head_forwarded: false,
            chunked: false,
            status: 0,
            report: LoadReport::default(),
            reuse_connection: false,
        };
        self.clients.set_call(link, id);
        self.call_memory += call.request.len();
        self.calls.insert(id, call);
        self.try_next(now, id, out);
        // A call that failed at once needs no timer, and clients can make many of them.
        if let Some(call) = self.calls.get(&id) {
            out.set_timer(id, call.deadline);
        }
    }

    /// Admission level and resend policy of a route.
    fn gate(&self, route: usize) -> (f64, u32) {
        let usual = (1.0, self.routes[route].resend);
        self.tables.for_route(route).and_then(|(_, table)| table.gate(route)).unwrap_or(usual)
    }

    /// Responds to a client without a server's response.
    fn respond_locally(&mut self, link: Link, error: CallError, out: &mut Outbox) {
        let keep_alive = self.clients.keeps_alive(link);
        let mut headers = vec![(ENDED_HEADER, error.name())];
        if !keep_alive {
            headers.push(("connection", "close"));
        }
        out.send(link, response(error.status(), &headers, Some(b"")));
        self.finish_response(link, keep_alive, out);
    }

    /// Ends a call after its response: the connection is kept for the next call, or closed.
    fn finish_response(&mut self, link: Link, keep_alive: bool, out: &mut Outbox) {
        if self.clients.contains(link) {
            self.clients.answered(link, keep_alive && !self.stopping, out);
        }
    }

    fn try_next(&mut self, now: Moment, id: u64, out: &mut Outbox) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Some((table, found)) = self.tables.for_route(call.route) else {
            return self.fail_call(id, CallError::NoLine, out);
        };
        let picker = self.pickers.entry(table).or_default();
        let servers = &self.servers;
        let is_untried = |server: &str| !call.tried_servers.iter().any(|tried| tried == server);
        let is_usable = |server: &str| is_untried(server) && !servers.is_ejected(server, now);
        // If all remaining servers are ejected, one of them is used anyway.
        let server = picker.pick(&found.lines, is_usable).or_else(|| picker.pick(&found.lines, is_untried));
        let Some(server) = server else {
            let error = if call.tries > 0 { CallError::Failed } else { CallError::NoLine };
            return self.fail_call(id, error, out);
        };
        call.tries += 1;
        call.try_started = now;
        call.server = server.clone();
        call.tried_servers.push(server.clone());
        call.response = response_reader();
        if !call.body_expected {
            call.response.expect_no_body();
        }
        let link = match self.servers.take_idle(&server) {
            Some(link) => link,
            None => match server.parse::<SocketAddr>() {
                Ok(at) => out.connect(at, self.config.source_ip),
                Err(_) => return self.try_failed(now, id, TryFailure::NeverRan, out),
            },
        };
        call.link = link;
        self.by_server_link.insert(link, id);
        out.send(link, call.request.clone());
    }

    /// Handles a try that ended without a response to forward.
    fn try_failed(&mut self, now: Moment, id: u64, failure: TryFailure, out: &mut Outbox) {
        let Some(call) = self.calls.get(&id) else { return };
        let server = call.server.clone();
        let retry = self.may_retry(call, failure) && !call.head_forwarded && now < call.deadline;
        self.record_try(&server, TryOutcome::Failure, now, out);
        if retry {
            return self.try_next(now, id, out);
        }
        self.fail_call(id, CallError::Failed, out);
    }

    fn may_retry(&self, call: &Call, failure: TryFailure) -> bool {
        let safety =
            if self.routes[call.route].mutating { RetrySafety::Mutating } else { RetrySafety::Repeatable };
        retry_decision(call.resend, safety, failure, call.tries) == RetryDecision::Retry
    }

    fn record_try(&mut self, server: &str, outcome: TryOutcome, now: Moment, out: &mut Outbox) {
        if self.servers.record_try(
            server,
            outcome,
            now,
            self.ejection.consecutive_failures,
            self.ejection.ejection_time,
        ) {
            out.log(LogLevel::Info, "shuns", vec![("server", server.into())]);
        }
    }

    /// Ends a call without a server's response.
    fn fail_call(&mut self, id: u64, error: CallError, out: &mut Outbox) {
        let Some(call) = self.remove_call(id) else { return };
        if error != CallError::NoLine {
            self.arrivals[call.route].dropped += 1;
        }
        if self.by_server_link.remove(&call.link).is_some() {
            out.cut(call.link);
        }
        if call.head_forwarded {
            // Part of a response was already forwarded: only closing the connection tells the client that it is incomplete.
            out.cut(call.client);
            self.clients.remove(call.client);
            return;
        }
        self.respond_locally(call.client, error, out);
    }

    fn receive_from_server(&mut self, now: Moment, link: Link, bytes: &[u8], out: &mut Outbox) {
        let Some(id) = self.by_server_link.get(&link).copied() else {
            // An idle connection on which bytes arrive cannot be reused.
            if self.servers.remove_idle(link) {
                out.cut(link);
            }
            return;
        };
        if let Some(call) = self.calls.get_mut(&id) {
            call.response.push(bytes);
        }
        loop {
            let Some(call) = self.calls.get_mut(&id).filter(|call| call.link == link) else { return };
            match call.response.next_part() {
                Ok(None) => return,
                Ok(Some(part)) => self.receive_part(now, id, part, out),
                Err(error) => {
                    out.log(
                        LogLevel::Warn,
                        "bad_answer",
                        vec![("server", call.server.clone()), ("why", error.to_string())],
                    );
                    self.by_server_link.remove(&link);
                    out.cut(link);
                    return self.try_failed(now, id, TryFailure::MayHaveRun, out);
                }
            }
        }
    }

    fn receive_part(&mut self, now: Moment, id: u64, part: Part, out: &mut Outbox) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        match part {
            // An interim response does not end the call.
            Part::Head(head) if head.status() < 200 => {}
            Part::Head(head) => {
                call.status = head.status();
                call.report = head.header(HEADER).map(LoadReport::parse).unwrap_or_default();
                call.reuse_connection = head.keep_alive;
                let never_ran = head.status() == 503 && head.header(NOT_RUN_HEADER).is_some();
                let failure = if never_ran { TryFailure::NeverRan } else { TryFailure::ServerError };
                let (link, status, in_time) = (call.link, call.status, now < call.deadline);
                if status >= 500
                    && in_time
                    && self.calls.get(&id).is_some_and(|call| self.may_retry(call, failure))
                {
                    self.by_server_link.remove(&link);
                    out.cut(link);
                    return self.try_failed(now, id, failure, out);
                }
                let Some(call) = self.calls.get_mut(&id) else { return };
                let mut headers = forwarded_headers(&head);
                let length = head.length.map(|length| length.to_string());
                call.chunked = length.is_none() && call.body_expected && !matches!(call.status, 204 | 304);
                match &length {
                    Some(length) => headers.push(("content-length", length)),
                    None if call.chunked => headers.push(("transfer-encoding", "chunked")),
                    None => {}
                }
                call.head_forwarded = true;
                out.send(call.client, response(call.status, &headers, None));
            }
            Part::Data(data) if call.head_forwarded => {
                out.send(call.client, if call.chunked { chunk(&data) } else { data });
            }
            Part::Data(_) => {}
            Part::End if !call.head_forwarded => {}
            Part::End => {
                if call.chunked {
                    out.send(call.client, LAST_CHUNK.to_vec());
                }
                let Some(call) = self.remove_call(id) else { return };
                self.by_server_link.remove(&call.link);
                if call.reuse_connection && self.tables.contains(&call.server) {
                    self.servers.put_idle(&call.server, call.link, now);
                } else {
                    out.finish(call.link);
                }
                let outcome = if call.status < 500 {
                    TryOutcome::Success { latency: now.since(call.try_started), report: call.report }
                } else {
                    self.arrivals[call.route].dropped += 1;
                    TryOutcome::Failure
                };
                self.record_try(&call.server, outcome, now, out);
                let keep_alive = self.clients.keeps_alive(call.client);
                self.finish_response(call.client, keep_alive, out);
            }
        }
    }

    fn server_closed(&mut self, now: Moment, link: Link, why: Ended, out: &mut Outbox) {
        let Some(id) = self.by_server_link.remove(&link) else {
            self.servers.remove_idle(link);
            return;
        };
        let Some(call) = self.calls.get_mut(&id).filter(|call| call.link == link) else { return };
        if why == Ended::Done {
            // A response without a length ends with its connection.
            if let Ok(Some(Part::End)) = call.response.close() {
                call.reuse_connection = false;
                return self.receive_part(now, id, Part::End, out);
            }
        }
        let failure = match why {
            Ended::Refused | Ended::Unavailable => TryFailure::NeverRan,
            _ => TryFailure::MayHaveRun,
        };
        self.try_failed(now, id, failure, out);
    }
}

fn response_reader() -> Reader {
    Reader::new(Side::Responses, Limits { body: u64::MAX, ..Limits::default() })
}
