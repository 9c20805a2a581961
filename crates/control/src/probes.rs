//! Probes under way: HTTP calls to servers, so many at once, each answered or given up within its time.
//!
//! A probe that finds all places taken waits; one server waits once, so the queue is bounded by the servers.

use pewtergap_http::{request, Limits, Part, Reader, Side};
use pewtergap_node::{Ended, Link};
use pewtergap_planner::{Load, ProbeOutcome};
use pewtergap_protocol::load_report::{LoadReport, HEADER};
use pewtergap_time::{Moment, Span};
use std::collections::{BTreeMap, VecDeque};

/// How servers are asked.
#[derive(Clone, Debug)]
pub struct ProbeConfig {
    pub path: String,
    /// No answer by then is silence.
    pub timeout: Span,
    pub max_open: usize,
    /// Names of utilization and of calls in hand, where the report comes as the answer's body; without them it
    /// comes in the header.
    pub body_fields: Option<(&'static [&'static str], &'static [&'static str])>,
}

/// Bytes of a report that are read.
const MOST_REPORT: usize = 4 * 1024;

struct Open {
    server: usize,
    until: Moment,
    reader: Reader,
    heard: Option<(ProbeOutcome, Load)>,
    body: Vec<u8>,
}

pub struct Probes {
    asked: ProbeConfig,
    open: BTreeMap<Link, Open>,
    waiting: VecDeque<usize>,
}

impl Probes {
    pub fn new(asked: ProbeConfig) -> Probes {
        Probes { asked, open: BTreeMap::new(), waiting: VecDeque::new() }
    }

    /// So many at once from here on; those under way go on.
    pub fn set_max_open(&mut self, max_open: usize) {
        self.asked.max_open = max_open;
    }

    pub fn enqueue(&mut self, server: usize) {
        if !self.waiting.contains(&server) && !self.open.values().any(|open| open.server == server) {
            self.waiting.push_back(server);
        }
    }

    /// The server's place is given up: its probe, if one is under way, ends untold.
    pub fn remove(&mut self, server: usize) -> Option<Link> {
        self.waiting.retain(|waiting| *waiting != server);
        self.give_up(server)
    }

    fn give_up(&mut self, server: usize) -> Option<Link> {
        let link = *self.open.iter().find(|open| open.1.server == server)?.0;
        self.open.remove(&link).map(|_| link)
    }

    /// The server has started anew or listens elsewhere: what the former one still says, or its end, tells nothing of
    /// it. The probe that is under way ends untold, and the server is asked again.
    pub fn restart(&mut self, server: usize) -> Option<Link> {
        let link = self.give_up(server)?;
        self.enqueue(server);
        Some(link)
    }

    /// The server to ask next, if one waits and there is room.
    pub fn next_server(&mut self) -> Option<usize> {
        (self.open.len() < self.asked.max_open).then(|| self.waiting.pop_front())?
    }

    /// Asked over this link; the call to write once it stands.
    pub fn start(&mut self, now: Moment, server: usize, link: Link) -> Moment {
        let until = now + self.asked.timeout;
        let reader = Reader::new(Side::Responses, Limits::default());
        self.open.insert(link, Open { server, until, reader, heard: None, body: Vec::new() });
        until
    }

    pub fn request(&self, host: &str) -> Vec<u8> {
        request("GET", &self.asked.path, &[("host", host), ("connection", "close")], None)
    }

    pub fn owns_link(&self, link: Link) -> bool {
        self.open.contains_key(&link)
    }

    pub fn counts(&self) -> (usize, usize) {
        (self.open.len(), self.waiting.len())
    }

    /// The end of the probe, when this was the end.
    pub fn receive(&mut self, link: Link, bytes: &[u8]) -> Option<(usize, ProbeOutcome, Load)> {
        let open = self.open.get_mut(&link)?;
        open.reader.push(bytes);
        loop {
            match open.reader.next_part() {
                Ok(Some(Part::Head(head))) => {
                    let report = head.header(HEADER).map(LoadReport::parse).unwrap_or_default();
                    let end = match head.status() {
                        200..=299 => ProbeOutcome::Answered,
                        429 | 503 => ProbeOutcome::Rejected,
                        _ => ProbeOutcome::Error,
                    };
                    open.heard = Some((end, Load { util: report.util, in_flight: report.in_flight }));
                }
                Ok(Some(Part::Data(data))) => {
                    if self.asked.body_fields.is_some() && open.body.len() + data.len() <= MOST_REPORT {
                        open.body.extend(data);
                    }
                }
                Ok(Some(Part::End)) => return self.whole(link),
                Ok(None) => return None,
                Err(_) => return self.end(link, ProbeOutcome::Error),
            }
        }
    }

    /// The answer is complete.
    fn whole(&mut self, link: Link) -> Option<(usize, ProbeOutcome, Load)> {
        let open = self.open.get_mut(&link)?;
        if let (Some((util, in_hand)), Some(heard)) = (&self.asked.body_fields, &mut open.heard) {
            let text = String::from_utf8_lossy(&open.body);
            let report = LoadReport::parse_named(&text, util, in_hand);
            heard.1 = Load { util: report.util, in_flight: report.in_flight };
        }
        self.end(link, ProbeOutcome::Error)
    }

    pub fn closed(&mut self, link: Link, why: Ended) -> Option<(usize, ProbeOutcome, Load)> {
        // A body without a length is complete with the end of the connection.
        let open = self.open.get_mut(&link)?;
        if why == Ended::Done && open.reader.close() == Ok(Some(Part::End)) {
            return self.whole(link);
        }
        match why {
            Ended::Refused | Ended::Reset | Ended::Done => self.end(link, ProbeOutcome::Unreachable),
            Ended::Ours | Ended::Handed => self.end(link, ProbeOutcome::TimedOut),
            // This side had no room for the call, which says nothing of the server: it is asked again in its turn.
            Ended::Overflow => self.open.remove(&link).and(None),
        }
    }

    /// Probes whose time is up.
    pub fn take_timed_out(&mut self, now: Moment) -> Vec<(Link, usize)> {
        let late: Vec<Link> =
            self.open.iter().filter(|open| open.1.until <= now).map(|open| *open.0).collect();
        late.into_iter().filter_map(|link| self.open.remove(&link).map(|open| (link, open.server))).collect()
    }

    /// What was heard goes before how the connection ended.
    fn end(&mut self, link: Link, end: ProbeOutcome) -> Option<(usize, ProbeOutcome, Load)> {
        let open = self.open.remove(&link)?;
        let (end, load) = open.heard.unwrap_or((end, Load::default()));
        Some((open.server, end, load))
    }
}
