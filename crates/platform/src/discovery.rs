//! Discovery client: requests the whole list, then long-polls for changes over a persistent connection.
//!
//! Any error closes the connection, and the next one starts with the whole list, which makes up for missed changes.
//! If the server announced the end of the connection with its last answer, nothing was missed, and the next
//! connection continues from that version. All timeouts are short enough that a silent connection is given up before
//! a change counts as announced to this planner.

use pewtergap_http::{request, Limits, Part, Reader, Side};
use pewtergap_node::{Link, Outbox};
use pewtergap_time::{Moment, Span};
use std::net::SocketAddr;

/// Long-poll timeout requested from the server.
const POLL_TIMEOUT: Span = Span::millis(1_500);
/// Time allowed for an immediate answer, for a long-poll answer beyond its timeout, and between pieces of an answer.
const ANSWER_TIMEOUT: Span = Span::millis(700);
/// Time allowed for a whole answer, in however many pieces: after it, a change delayed with them would already
/// count as announced.
const MAX_ANSWER_TIME: Span = Span::millis(5_000);
/// Time allowed for the pieces of a long-poll answer, from its first or from the end of the poll: a change in it counts as
/// announced 2 s after the wait has ended. It doubles with each failure, so that an answer that is slow every time
/// arrives at last.
const POLL_ANSWER_TIME: Span = Span::millis(1_200);
const CONNECT_TIMEOUT: Span = Span::millis(500);
/// Delay between connection attempts: the first, and the longest.
const BACK_OFF: (Span, Span) = (Span::millis(40), Span::millis(640));
const HTTP_BOUNDS: Limits = Limits { head: 16 * 1024, body: 4 * 1024 * 1024 };
const PATH: &str = "/discovery/hosts";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waiting to connect.
    Waiting,
    Connecting,
    /// The whole list was requested.
    Listing,
    /// Changes were requested.
    Watching,
}

pub struct Discovery {
    address: SocketAddr,
    phase: Phase,
    /// When the current phase times out.
    deadline: Moment,
    link: Option<Link>,
    reader: Reader,
    body: Vec<u8>,
    status: u16,
    failures: i32,
    /// When the pending request was sent.
    requested: Moment,
    /// When the pending answer has to be complete, once its first bytes have arrived.
    complete_by: Option<Moment>,
    /// The answer announced that the connection ends with it.
    last_answer: bool,
    /// The version from which the next connection continues.
    resume_from: Option<u64>,
}

impl Discovery {
    pub fn new(address: SocketAddr) -> Discovery {
        Discovery {
            address,
            phase: Phase::Waiting,
            deadline: Moment(0),
            link: None,
            reader: Reader::new(Side::Responses, HTTP_BOUNDS),
            body: Vec::new(),
            status: 0,
            failures: 0,
            requested: Moment(0),
            complete_by: None,
            last_answer: false,
            resume_from: None,
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn owns_link(&self, link: Link) -> bool {
        self.link == Some(link)
    }

    /// When `due` is to be called next.
    pub fn deadline(&self) -> Moment {
        self.deadline
    }

    /// Consecutive failures.
    pub fn failures(&self) -> i32 {
        self.failures
    }

    /// Switches to another address.
    pub fn set_address(&mut self, now: Moment, address: SocketAddr, out: &mut Outbox) {
        self.drop_link(out);
        (self.address, self.failures, self.resume_from) = (address, 0, None);
        self.connect(now, out);
    }

    fn drop_link(&mut self, out: &mut Outbox) {
        if let Some(link) = self.link.take() {
            out.cut(link);
        }
    }

    fn connect(&mut self, now: Moment, out: &mut Outbox) {
        self.link = Some(out.connect(self.address, None));
        (self.phase, self.deadline) = (Phase::Connecting, now + CONNECT_TIMEOUT);
        self.reader = Reader::new(Side::Responses, HTTP_BOUNDS);
        self.body = Vec::new();
        self.last_answer = false;
    }

    /// Connects when the delay is over, or returns what timed out.
    pub fn due(&mut self, now: Moment, out: &mut Outbox) -> Option<&'static str> {
        if now < self.deadline {
            return None;
        }
        match self.phase {
            Phase::Waiting => {
                self.connect(now, out);
                None
            }
            Phase::Connecting => Some("connecting timed out"),
            Phase::Listing | Phase::Watching => Some("the answer timed out"),
        }
    }

    /// Closes the connection and schedules the next attempt.
    pub fn fail(&mut self, now: Moment, out: &mut Outbox) {
        self.drop_link(out);
        let delay = BACK_OFF.0.times(2f64.powi(self.failures.min(16))).min(BACK_OFF.1);
        self.failures += 1;
        self.resume_from = None;
        (self.phase, self.deadline) = (Phase::Waiting, now + delay);
    }

    pub fn opened(&mut self, now: Moment, out: &mut Outbox) {
        match self.resume_from.take() {
            Some(since) => self.watch(now, since, out),
            None => self.request(now, PATH.to_string(), Phase::Listing, ANSWER_TIMEOUT, out),
        }
    }

    /// Requests the changes after a version.
    pub fn watch(&mut self, now: Moment, since: u64, out: &mut Outbox) {
        if std::mem::take(&mut self.last_answer) {
            self.drop_link(out);
            self.resume_from = Some(since);
            // A server that closes the connection after each immediate answer must not cause a tight reconnect loop.
            (self.phase, self.deadline) = (Phase::Waiting, now + BACK_OFF.0);
            return;
        }
        let target = format!("{PATH}?since={since}&timeout_ms={}", POLL_TIMEOUT.0 / 1_000_000);
        self.request(now, target, Phase::Watching, POLL_TIMEOUT + ANSWER_TIMEOUT, out);
    }

    fn request(&mut self, now: Moment, target: String, phase: Phase, timeout: Span, out: &mut Outbox) {
        let Some(link) = self.link else { return };
        let host = self.address.to_string();
        out.send(link, request("GET", &target, &[("host", &host)], None));
        (self.phase, self.deadline, self.requested) = (phase, now + timeout, now);
        self.complete_by = None;
    }

    /// When the answer whose first bytes have just arrived has to be complete.
    fn answer_deadline(&self, now: Moment) -> Moment {
        let latest = self.requested + MAX_ANSWER_TIME;
        if self.phase != Phase::Watching {
            return latest;
        }
        let poll_ended = now.min(self.requested + POLL_TIMEOUT);
        latest.min(poll_ended + POLL_ANSWER_TIME.times(2f64.powi(self.failures.min(16))))
    }

    /// Processes received bytes and returns the body of a complete answer.
    pub fn receive(&mut self, now: Moment, bytes: &[u8]) -> Result<Option<Vec<u8>>, &'static str> {
        self.reader.push(bytes);
        let complete_by = *self.complete_by.get_or_insert(self.answer_deadline(now));
        self.deadline = (now + ANSWER_TIMEOUT).min(complete_by);
        loop {
            match self.reader.next_part() {
                Ok(None) => return Ok(None),
                Ok(Some(_)) if !matches!(self.phase, Phase::Listing | Phase::Watching) => {
                    return Err("an answer without a request");
                }
                Ok(Some(Part::Head(head))) => {
                    (self.status, self.last_answer) = (head.status(), !head.keep_alive);
                    self.body.clear();
                }
                Ok(Some(Part::Data(data))) => self.body.extend(data),
                Ok(Some(Part::End)) if self.status != 200 => {
                    return Err("an answer with a status other than 200")
                }
                Ok(Some(Part::End)) => return Ok(Some(std::mem::take(&mut self.body))),
                Err(_) => return Err("an answer that is not valid HTTP"),
            }
        }
    }

    /// The server closed the connection in order, which completes an answer without a length.
    pub fn closed(&mut self) -> Option<Vec<u8>> {
        self.link = None;
        let complete = self.reader.close() == Ok(Some(Part::End)) && self.status == 200;
        complete.then(|| std::mem::take(&mut self.body))
    }

    /// Whether bytes follow the answer that belong to no request.
    pub fn has_excess_bytes(&self) -> bool {
        self.link.is_some() && !self.reader.idle()
    }

    /// A valid answer was received.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }
}
