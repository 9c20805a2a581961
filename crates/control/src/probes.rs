//! Probes: HTTP requests to servers, limited in number and each with a timeout.
//!
//! Probes beyond the limit wait. Each server waits at most once, so the queue is bounded by the number of servers.

use pewtergap_http::{request, Limits, Part, Reader, Side};
use pewtergap_node::{Ended, Link};
use pewtergap_planner::{Load, ProbeOutcome};
use pewtergap_protocol::load_report::{LoadReport, HEADER};
use pewtergap_time::{Moment, Span};
use std::collections::{BTreeMap, VecDeque};

/// How servers are probed.
#[derive(Clone, Debug)]
pub struct ProbeConfig {
    pub path: String,
    pub timeout: Span,
    pub max_open: usize,
    /// Field names of utilization and calls in flight if the load report is the response body; otherwise the report is
    /// in a header.
    pub body_fields: Option<(&'static [&'static str], &'static [&'static str])>,
}

/// Maximum size of a load report in bytes.
const MAX_REPORT_LEN: usize = 4 * 1024;

struct Open {
    server: usize,
    deadline: Moment,
    reader: Reader,
    result: Option<(ProbeOutcome, Load)>,
    body: Vec<u8>,
}

pub struct Probes {
    config: ProbeConfig,
    open: BTreeMap<Link, Open>,
    waiting: VecDeque<usize>,
}

impl Probes {
    pub fn new(config: ProbeConfig) -> Probes {
        Probes { config, open: BTreeMap::new(), waiting: VecDeque::new() }
    }

    /// Changes the limit; probes in progress continue.
    pub fn set_max_open(&mut self, max_open: usize) {
        self.config.max_open = max_open;
    }

    pub fn enqueue(&mut self, server: usize) {
        if !self.waiting.contains(&server) && !self.open.values().any(|open| open.server == server) {
            self.waiting.push_back(server);
        }
    }

    /// Drops the probe of a server whose index is released; returns the link to close if one was in progress.
    pub fn remove(&mut self, server: usize) -> Option<Link> {
        self.waiting.retain(|waiting| *waiting != server);
        self.abort(server)
    }

    fn abort(&mut self, server: usize) -> Option<Link> {
        let link = *self.open.iter().find(|open| open.1.server == server)?.0;
        self.open.remove(&link).map(|_| link)
    }

    /// Restarts the probe of a server that was restarted or has another address, since a response of the old one says
    /// nothing about it. Returns the link to close if a probe was in progress.
    pub fn restart(&mut self, server: usize) -> Option<Link> {
        let link = self.abort(server)?;
        self.enqueue(server);
        Some(link)
    }

    /// Returns the next waiting server if the limit allows another probe.
    pub fn next_server(&mut self) -> Option<usize> {
        (self.open.len() < self.config.max_open).then(|| self.waiting.pop_front())?
    }

    /// Registers the link of a probe and returns its deadline; the request is sent once the link is connected.
    pub fn start(&mut self, now: Moment, server: usize, link: Link) -> Moment {
        let deadline = now + self.config.timeout;
        let reader = Reader::new(Side::Responses, Limits::default());
        self.open.insert(link, Open { server, deadline, reader, result: None, body: Vec::new() });
        deadline
    }

    pub fn request(&self, host: &str) -> Vec<u8> {
        request("GET", &self.config.path, &[("host", host), ("connection", "close")], None)
    }

    pub fn owns_link(&self, link: Link) -> bool {
        self.open.contains_key(&link)
    }

    pub fn counts(&self) -> (usize, usize) {
        (self.open.len(), self.waiting.len())
    }

    /// Processes received bytes and returns the outcome if the probe is complete.
    pub fn receive(&mut self, link: Link, bytes: &[u8]) -> Option<(usize, ProbeOutcome, Load)> {
        let open = self.open.get_mut(&link)?;
        open.reader.push(bytes);
        loop {
            match open.reader.next_part() {
                Ok(Some(Part::Head(head))) => {
                    let report = head.header(HEADER).map(LoadReport::parse).unwrap_or_default();
                    let outcome = match head.status() {
                        200..=299 => ProbeOutcome::Answered,
                        429 | 503 => ProbeOutcome::Rejected,
                        _ => ProbeOutcome::Error,
                    };
                    open.result = Some((outcome, Load { util: report.util, in_flight: report.in_flight }));
                }
                Ok(Some(Part::Data(data))) => {
                    if self.config.body_fields.is_some() && open.body.len() + data.len() <= MAX_REPORT_LEN {
                        open.body.extend(data);
                    }
                }
                Ok(Some(Part::End)) => return self.completed(link),
                Ok(None) => return None,
                Err(_) => return self.end(link, ProbeOutcome::Error),
            }
        }
    }

    /// The response is complete.
    fn completed(&mut self, link: Link) -> Option<(usize, ProbeOutcome, Load)> {
        let open = self.open.get_mut(&link)?;
        if let (Some((util, in_flight)), Some(result)) = (&self.config.body_fields, &mut open.result) {
            let text = String::from_utf8_lossy(&open.body);
            let report = LoadReport::parse_named(&text, util, in_flight);
            result.1 = Load { util: report.util, in_flight: report.in_flight };
        }
        self.end(link, ProbeOutcome::Error)
    }

    pub fn closed(&mut self, link: Link, why: Ended) -> Option<(usize, ProbeOutcome, Load)> {
        // A body without a length is complete with the end of the connection.
        let open = self.open.get_mut(&link)?;
        if why == Ended::Done && open.reader.close() == Ok(Some(Part::End)) {
            return self.completed(link);
        }
        match why {
            Ended::Refused | Ended::Reset | Ended::Done => self.end(link, ProbeOutcome::Unreachable),
            Ended::Ours | Ended::Handed => self.end(link, ProbeOutcome::TimedOut),
            // This process had no resources for the request, which says nothing about the server; it is probed again later.
            Ended::Unavailable | Ended::Overflow => self.open.remove(&link).and(None),
        }
    }

    /// Removes and returns the probes that timed out.
    pub fn take_timed_out(&mut self, now: Moment) -> Vec<(Link, usize)> {
        let expired: Vec<Link> =
            self.open.iter().filter(|open| open.1.deadline <= now).map(|open| *open.0).collect();
        expired
            .into_iter()
            .filter_map(|link| self.open.remove(&link).map(|open| (link, open.server)))
            .collect()
    }

    /// Ends a probe; a response that was received takes precedence over how the connection ended.
    fn end(&mut self, link: Link, outcome: ProbeOutcome) -> Option<(usize, ProbeOutcome, Load)> {
        let open = self.open.remove(&link)?;
        let (outcome, load) = open.result.unwrap_or((outcome, Load::default()));
        Some((open.server, outcome, load))
    }
}
