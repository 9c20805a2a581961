//! Proxies' streams: the proxy of each, and the messages sent and not yet acknowledged.

use pewtergap_node::Link;
use pewtergap_protocol::{largest_beyond_limit, FrameReader, ProxyMessage, RETAINED_CAPACITY};
use pewtergap_time::{Moment, Span};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// How often proxies report, and limits on reports and streams.
#[derive(Clone, Copy, Debug)]
pub struct ReportConfig {
    pub interval: Span,
    /// Report lines per second that are passed to the planner core.
    pub lines_per_s: f64,
    /// Maximum concurrent streams; further ones are rejected.
    pub max_streams: usize,
}

/// Report intervals without any message after which a stream counts as broken.
pub const MAX_MISSED_REPORTS: f64 = 4.0;
/// Maximum number of unacknowledged messages of a proxy.
pub const MAX_UNANSWERED: usize = 256;
/// Maximum rejected messages within a minute; beyond it a proxy is disconnected, as it would be sent whole tables without
/// end.
pub const MAX_NACKS: usize = 5;

/// A message that was sent and not yet acknowledged.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    pub nonce: u64,
    pub mark: u32,
    pub turn: u64,
    pub sent_at: Moment,
    pub ordered_at: Moment,
}

pub struct Stream {
    pub frames: FrameReader<ProxyMessage>,
    /// Memory of what was received of its next message, in bytes.
    pub allocated: usize,
    pub accepted_at: Moment,
    /// Known once it has sent its hello.
    pub proxy: Option<usize>,
    pub zone: usize,
    pub calls_per_s: f64,
    /// Calls per second according to its reports, starting from the value in its hello.
    pub rate: f64,
    /// Acknowledgements up to this nonce are ignored: one of these messages was rejected, and everything is sent again.
    pub voided_nonce: u64,
    pub last_contact: Moment,
    pub last_sent: Moment,
    pub nonce: u64,
    pub unanswered: VecDeque<Sent>,
    pub nacks: VecDeque<Moment>,
}

impl Stream {
    pub fn new(now: Moment) -> Stream {
        Stream {
            frames: FrameReader::default(),
            allocated: 0,
            accepted_at: now,
            proxy: None,
            zone: 0,
            calls_per_s: 0.0,
            rate: 0.0,
            voided_nonce: 0,
            last_contact: now,
            last_sent: now,
            nonce: 0,
            unanswered: VecDeque::new(),
            nacks: VecDeque::new(),
        }
    }

    /// Marks the message with this nonce and all before it as acknowledged; returns it if it was sent.
    pub fn acknowledge(&mut self, nonce: u64) -> Option<Sent> {
        let at = self.unanswered.iter().position(|sent| sent.nonce == nonce)?;
        self.unanswered.drain(..=at).next_back()
    }

    /// Counts a rejected message; returns whether there were too many.
    pub fn record_nack(&mut self, now: Moment) -> bool {
        self.nacks.retain(|at| now.since(*at) < Span::millis(60_000));
        self.nacks.push_back(now);
        self.nacks.len() > MAX_NACKS
    }

    /// Returns why the stream should be closed now, if it should.
    pub fn close_reason(
        &self,
        now: Moment,
        interval: Span,
        unresponsive_after: Span,
    ) -> Option<&'static str> {
        // Before its hello, a peer that sends a byte now and then does not keep its place.
        let silent_since = if self.proxy.is_some() { self.last_contact } else { self.accepted_at };
        let silent = now.since(silent_since) > interval.times(MAX_MISSED_REPORTS);
        let unresponsive =
            self.unanswered.front().is_some_and(|sent| now.since(sent.sent_at) > unresponsive_after);
        match (self.proxy, silent, unresponsive) {
            (None, true, _) => Some("no hello"),
            (_, true, _) => Some("silent"),
            (_, _, true) => Some("does not answer messages"),
            _ => None,
        }
    }
}

/// Weight of a new report in a proxy's smoothed call rate.
const RATE_SMOOTHING: f64 = 0.3;

impl Stream {
    pub fn record_calls(&mut self, calls: u64, period: Span) {
        let measured = calls as f64 / period.seconds().max(1e-3);
        self.rate =
            if self.rate > 0.0 { self.rate + RATE_SMOOTHING * (measured - self.rate) } else { measured };
    }
}

/// Why a stream is closed whose incomplete message is the largest when all take too much memory.
pub const TOO_MUCH_MEMORY: &str = "incomplete messages take too much memory";

/// All streams, by link and by proxy.
#[derive(Default)]
pub struct Streams {
    pub by_link: BTreeMap<Link, Stream>,
    pub by_proxy: HashMap<usize, Link>,
}

impl Streams {
    pub fn get_mut(&mut self, proxy: usize) -> Option<(Link, &mut Stream)> {
        let link = *self.by_proxy.get(&proxy)?;
        self.by_link.get_mut(&link).map(|stream| (link, stream))
    }

    /// Notes the memory of a stream's incomplete message. Returns the stream to close if all take too much.
    pub fn account(&mut self, link: Link) -> Option<Link> {
        let stream = self.by_link.get_mut(&link)?;
        stream.allocated = stream.frames.shrink();
        if stream.allocated <= RETAINED_CAPACITY {
            return None;
        }
        largest_beyond_limit(self.by_link.iter().map(|(link, stream)| (*link, stream.allocated)))
    }

    /// The peer that has waited for longest without a hello.
    pub fn oldest_stranger(&self) -> Option<Link> {
        let strangers = self.by_link.iter().filter(|(_, stream)| stream.proxy.is_none());
        strangers.min_by_key(|(_, stream)| stream.accepted_at).map(|(link, _)| *link)
    }

    /// Calls per second at all joined proxies.
    pub fn total_rate(&self) -> f64 {
        self.by_link.values().filter(|stream| stream.proxy.is_some()).map(|stream| stream.rate).sum()
    }

    pub fn joined_count(&self) -> usize {
        self.by_proxy.len()
    }
}
