//! Clients' connections: reads their requests one at a time, within limits on connections, memory and time.

use crate::calls::CallError;
use crate::ENDED_HEADER;
use pewtergap_http::{response, Head, Limits, Part, Reader, Side};
use pewtergap_node::{Effect, Link, Outbox};
use pewtergap_time::{Moment, Span};
use std::collections::BTreeMap;

/// Maximum connections; beyond it the one that has been idle for longest is closed.
const MAX_CLIENTS: usize = 10_000;
const LIMITS: Limits = Limits { head: 16 * 1024, body: 256 * 1024 };
/// Memory that requests may take, both those being received and those being forwarded.
pub const MAX_REQUEST_MEMORY: usize = 64 * 1024 * 1024;
/// Memory counted for a header in addition to its text.
const HEADER_OVERHEAD: usize = 80;
/// Time within which a request has to arrive completely.
const REQUEST_TIMEOUT: Span = Span::millis(60_000);

/// A complete request.
pub struct Request {
    pub head: Head,
    pub body: Vec<u8>,
}

struct Client {
    reader: Reader,
    head: Option<Head>,
    body: Vec<u8>,
    /// The call in flight. Nothing more is read meanwhile.
    call: Option<u64>,
    /// A request was taken and not answered yet.
    busy: bool,
    keep_alive: bool,
    paused: bool,
    /// When the request that is being received began.
    request_began: Option<Moment>,
    last_used: Moment,
    /// Memory of what was received, as counted in the total.
    memory: usize,
}

impl Client {
    fn new(now: Moment) -> Client {
        Client {
            reader: Reader::new(Side::Requests, LIMITS),
            head: None,
            body: Vec::new(),
            call: None,
            busy: false,
            keep_alive: false,
            paused: false,
            request_began: None,
            last_used: now,
            memory: 0,
        }
    }

    fn allocated(&self) -> usize {
        let header = |header: &(String, String)| header.0.len() + header.1.len() + HEADER_OVERHEAD;
        let head = self.head.as_ref().map_or(0, |head| head.headers.iter().map(header).sum());
        self.reader.capacity() + self.body.capacity() + head
    }

    fn pause(&mut self, link: Link, out: &mut Outbox) {
        if !std::mem::replace(&mut self.paused, true) {
            out.push(Effect::Pause { link });
        }
    }

    fn resume(&mut self, link: Link, out: &mut Outbox) {
        if std::mem::take(&mut self.paused) {
            out.push(Effect::Resume { link });
        }
    }
}

/// All clients of a worker.
#[derive(Default)]
pub struct Clients {
    by_link: BTreeMap<Link, Client>,
    /// Memory of everything received and not taken.
    memory: usize,
}

impl Clients {
    pub fn len(&self) -> usize {
        self.by_link.len()
    }

    pub fn contains(&self, link: Link) -> bool {
        self.by_link.contains_key(&link)
    }

    /// Memory of requests that are being received, in bytes.
    pub fn memory(&self) -> usize {
        self.memory
    }

    pub fn keeps_alive(&self, link: Link) -> bool {
        self.by_link.get(&link).is_some_and(|client| client.keep_alive)
    }

    pub fn accept(&mut self, now: Moment, link: Link, out: &mut Outbox) {
        if self.by_link.len() >= MAX_CLIENTS {
            let waiting = self.by_link.iter().filter(|(_, client)| !client.busy);
            let Some((idlest, _)) = waiting.min_by_key(|(_, client)| client.last_used) else {
                return out.cut(link);
            };
            let idlest = *idlest;
            self.remove(idlest);
            out.cut(idlest);
        }
        self.by_link.insert(link, Client::new(now));
    }

    /// Takes received bytes, and returns a request once it is complete. The next one is returned by a later call, after
    /// [`Clients::answered`].
    pub fn receive(&mut self, now: Moment, link: Link, bytes: &[u8], out: &mut Outbox) -> Option<Request> {
        let client = self.by_link.get_mut(&link)?;
        client.reader.push(bytes);
        client.last_used = now;
        let request = if client.busy {
            client.pause(link, out);
            None
        } else {
            self.next_request(now, link, out)
        };
        self.account(link);
        self.shed(out);
        request
    }

    fn next_request(&mut self, now: Moment, link: Link, out: &mut Outbox) -> Option<Request> {
        loop {
            let client = self.by_link.get_mut(&link)?;
            match client.reader.next_part() {
                Ok(None) => {
                    let incomplete = client.head.is_some() || !client.reader.idle();
                    client.request_began = incomplete.then(|| client.request_began.unwrap_or(now));
                    client.resume(link, out);
                    return None;
                }
                Ok(Some(Part::Head(head))) => {
                    client.keep_alive = head.keep_alive;
                    client.head = Some(head);
                }
                Ok(Some(Part::Data(data))) => client.body.extend_from_slice(&data),
                Ok(Some(Part::End)) => {
                    // Without more received, the link is read on: the end of the connection ends the call.
                    if !client.reader.idle() {
                        client.pause(link, out);
                    }
                    client.busy = true;
                    client.request_began = None;
                    let body = std::mem::take(&mut client.body);
                    return client.head.take().map(|head| Request { head, body });
                }
                Err(error) => {
                    let body = error.to_string();
                    self.reject(link, error.status, &[], body.as_bytes(), out);
                    return None;
                }
            }
        }
    }

    /// Notes the call that a client's request became.
    pub fn set_call(&mut self, link: Link, call: u64) {
        self.by_link.entry(link).and_modify(|client| client.call = Some(call));
    }

    /// The response to the request was sent: the connection is kept for the next request, or closed. What has already
    /// been received of the next one is handled in a later round, behind other clients.
    pub fn answered(&mut self, link: Link, keep: bool, out: &mut Outbox) {
        if !keep {
            self.remove(link);
            return out.finish(link);
        }
        let Some(client) = self.by_link.get_mut(&link) else { return };
        (client.call, client.busy) = (None, false);
        if client.reader.idle() {
            client.resume(link, out);
        } else {
            client.pause(link, out);
            out.push(Effect::Continue { link });
        }
    }

    /// Forgets a client whose connection has ended. Returns whether it was one, and its call in flight.
    pub fn remove(&mut self, link: Link) -> Option<Option<u64>> {
        let client = self.by_link.remove(&link)?;
        self.memory -= client.memory;
        Some(client.call)
    }

    /// Rejects the requests that have not arrived completely in time.
    pub fn time_out(&mut self, now: Moment, out: &mut Outbox) {
        let overdue =
            |client: &Client| client.request_began.is_some_and(|began| now.since(began) > REQUEST_TIMEOUT);
        let overdue: Vec<Link> =
            self.by_link.iter().filter(|(_, client)| overdue(client)).map(|(link, _)| *link).collect();
        for link in overdue {
            self.reject(link, 408, &[], b"the request did not arrive in time", out);
        }
    }

    fn reject(&mut self, link: Link, status: u16, more: &[(&str, &str)], body: &[u8], out: &mut Outbox) {
        let headers: Vec<(&str, &str)> = [("connection", "close")].iter().chain(more).copied().collect();
        out.send(link, response(status, &headers, Some(body)));
        out.finish(link);
        self.remove(link);
    }

    /// Updates the memory counted for a client.
    fn account(&mut self, link: Link) {
        let Some(client) = self.by_link.get_mut(&link) else { return };
        client.reader.shrink();
        let allocated = client.allocated();
        let before = std::mem::replace(&mut client.memory, allocated);
        self.memory = self.memory + allocated - before;
    }

    /// Rejects the largest incomplete requests while all together take too much memory.
    fn shed(&mut self, out: &mut Outbox) {
        while self.memory > MAX_REQUEST_MEMORY {
            let incomplete = self.by_link.iter().filter(|(_, client)| !client.busy);
            let Some((largest, _)) = incomplete.max_by_key(|(_, client)| client.memory) else { return };
            let largest = *largest;
            let error = CallError::TooManyCalls;
            self.reject(largest, error.status(), &[(ENDED_HEADER, error.name())], b"", out);
        }
    }
}
