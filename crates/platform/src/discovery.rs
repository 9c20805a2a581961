//! Follows discovery: the whole list, then watches on a kept connection, each going on at once.
//!
//! What goes wrong ends the connection; the next one begins with the whole list, which repairs whatever was
//! missed. A connection that ends as its last answer announced has missed nothing: the next one goes on from there.
//! No wait is so long that a change could count as told while a silent connection is still waited on.

use pewtergap_http::{request, Limits, Part, Reader, Side};
use pewtergap_node::{Link, Outbox};
use pewtergap_time::{Moment, Span};
use std::net::SocketAddr;

/// What a watch asks to be held for.
const WATCH: Span = Span::millis(1_500);
/// For an answer beyond that, and for one that should come at once; and for more of it while it comes in pieces.
const ANSWER: Span = Span::millis(700);
/// However many pieces: by then a change that was held back with them would count as told.
const LONGEST: Span = Span::millis(5_000);
const DIAL: Span = Span::millis(500);
/// Between attempts: the first, and the longest.
const BACK_OFF: (Span, Span) = (Span::millis(40), Span::millis(640));
const BOUNDS: Limits = Limits { head: 16 * 1024, body: 4 * 1024 * 1024 };
const PATH: &str = "/discovery/hosts";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Until it is time to dial.
    Resting,
    Dialling,
    /// The whole list is asked for; changes are.
    Listing,
    Watching,
}

pub struct Discovery {
    at: SocketAddr,
    phase: Phase,
    until: Moment,
    link: Option<Link>,
    reader: Reader,
    body: Vec<u8>,
    status: u16,
    failures: i32,
    /// When the answer that is waited for was asked.
    asked: Moment,
    /// The answer announced that the connection ends with it; and from which version the next one goes on.
    last: bool,
    follow: Option<u64>,
}

impl Discovery {
    pub fn new(at: SocketAddr) -> Discovery {
        Discovery {
            at,
            phase: Phase::Resting,
            until: Moment(0),
            link: None,
            reader: Reader::new(Side::Responses, BOUNDS),
            body: Vec::new(),
            status: 0,
            failures: 0,
            asked: Moment(0),
            last: false,
            follow: None,
        }
    }

    pub fn at(&self) -> SocketAddr {
        self.at
    }

    pub fn has(&self, link: Link) -> bool {
        self.link == Some(link)
    }

    /// When to look again.
    pub fn until(&self) -> Moment {
        self.until
    }

    /// Attempts in a row that came to nothing.
    pub fn failures(&self) -> i32 {
        self.failures
    }

    /// Discovery is at another address now.
    pub fn move_to(&mut self, now: Moment, at: SocketAddr, out: &mut Outbox) {
        self.drop_link(out);
        (self.at, self.failures, self.follow) = (at, 0, None);
        self.dial(now, out);
    }

    fn drop_link(&mut self, out: &mut Outbox) {
        if let Some(link) = self.link.take() {
            out.cut(link);
        }
    }

    fn dial(&mut self, now: Moment, out: &mut Outbox) {
        self.link = Some(out.connect(self.at, None));
        (self.phase, self.until) = (Phase::Dialling, now + DIAL);
        self.reader = Reader::new(Side::Responses, BOUNDS);
        self.body = Vec::new();
        self.last = false;
    }

    /// Its time is up: dial, or say what did not come.
    pub fn due(&mut self, now: Moment, out: &mut Outbox) -> Option<&'static str> {
        if now < self.until {
            return None;
        }
        match self.phase {
            Phase::Resting => {
                self.dial(now, out);
                None
            }
            Phase::Dialling => Some("no connection in time"),
            Phase::Listing | Phase::Watching => Some("no answer in time"),
        }
    }

    /// Gives the connection up and rests.
    pub fn fail(&mut self, now: Moment, out: &mut Outbox) {
        self.drop_link(out);
        let rest = BACK_OFF.0.times(2f64.powi(self.failures.min(16))).min(BACK_OFF.1);
        self.failures += 1;
        self.follow = None;
        (self.phase, self.until) = (Phase::Resting, now + rest);
    }

    pub fn opened(&mut self, now: Moment, out: &mut Outbox) {
        match self.follow.take() {
            Some(since) => self.watch(now, since, out),
            None => self.ask(now, PATH.to_string(), Phase::Listing, ANSWER, out),
        }
    }

    /// Goes on with a watch for what is newer.
    pub fn watch(&mut self, now: Moment, since: u64, out: &mut Outbox) {
        if std::mem::take(&mut self.last) {
            self.drop_link(out);
            self.follow = Some(since);
            // One that answers at once and closes each time would be dialled as fast as it answers.
            (self.phase, self.until) = (Phase::Resting, now + BACK_OFF.0);
            return;
        }
        let target = format!("{PATH}?since={since}&timeout_ms={}", WATCH.0 / 1_000_000);
        self.ask(now, target, Phase::Watching, WATCH + ANSWER, out);
    }

    fn ask(&mut self, now: Moment, target: String, phase: Phase, within: Span, out: &mut Outbox) {
        let Some(link) = self.link else { return };
        let host = self.at.to_string();
        out.send(link, request("GET", &target, &[("host", &host)], None));
        (self.phase, self.until, self.asked) = (phase, now + within, now);
    }

    /// The bodies of answers that are complete; what cannot be read is an error.
    pub fn bytes(&mut self, now: Moment, bytes: &[u8]) -> Result<Option<Vec<u8>>, &'static str> {
        self.reader.push(bytes);
        self.until = self.until.max((now + ANSWER).min(self.asked + LONGEST));
        loop {
            match self.reader.next_part() {
                Ok(None) => return Ok(None),
                Ok(Some(_)) if !matches!(self.phase, Phase::Listing | Phase::Watching) => {
                    return Err("an answer that was not asked for");
                }
                Ok(Some(Part::Head(head))) => {
                    (self.status, self.last) = (head.status(), !head.keep_alive);
                    self.body.clear();
                }
                Ok(Some(Part::Data(data))) => self.body.extend(data),
                Ok(Some(Part::End)) if self.status != 200 => return Err("an answer other than 200"),
                Ok(Some(Part::End)) => return Ok(Some(std::mem::take(&mut self.body))),
                Err(_) => return Err("not HTTP"),
            }
        }
    }

    /// The peer ended the connection in order: an answer without a length is complete with it.
    pub fn ended(&mut self) -> Option<Vec<u8>> {
        self.link = None;
        let whole = self.reader.close() == Ok(Some(Part::End)) && self.status == 200;
        whole.then(|| std::mem::take(&mut self.body))
    }

    /// Something stands behind the answer that nobody asked for.
    pub fn overran(&self) -> bool {
        self.link.is_some() && !self.reader.idle()
    }

    /// An answer was good; what follows goes on from it.
    pub fn went_well(&mut self) {
        self.failures = 0;
    }
}
