//! The streams of proxies: who is behind each, what was sent and not yet answered.

use pewtergap_node::Link;
use pewtergap_protocol::{FrameReader, ProxyMessage};
use pewtergap_time::{Moment, Span};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// How proxies report, and how long one may keep silent.
#[derive(Clone, Copy, Debug)]
pub struct ReportConfig {
    pub interval: Span,
    /// Lines of reports that the module takes in a second.
    pub lines_per_s: f64,
    /// Streams at once; one more is refused.
    pub max_streams: usize,
}

/// Reports that a proxy may miss before its stream counts as broken.
pub const MISSED: f64 = 4.0;
/// Messages that a proxy may leave unanswered.
pub const MOST_UNANSWERED: usize = 256;
/// Refusals within a minute after which a proxy is sent away: it would be sent whole tables without end.
pub const MOST_NACKS: usize = 5;

/// A message that was sent and not yet answered.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    pub nonce: u64,
    pub mark: u32,
    pub turn: u64,
    pub at: Moment,
    pub ordered: Moment,
}

pub struct Stream {
    pub frames: FrameReader<ProxyMessage>,
    /// Known once it said hello.
    pub proxy: Option<usize>,
    pub zone: usize,
    pub calls_per_s: f64,
    /// Calls per second by its reports, from its own word at first.
    pub rate: f64,
    /// Messages up to this nonce no longer count: one of them was refused, and all is sent anew.
    pub void: u64,
    pub heard: Moment,
    pub beat: Moment,
    pub nonce: u64,
    pub unanswered: VecDeque<Sent>,
    pub nacks: VecDeque<Moment>,
}

impl Stream {
    pub fn new(now: Moment) -> Stream {
        Stream {
            frames: FrameReader::default(),
            proxy: None,
            zone: 0,
            calls_per_s: 0.0,
            rate: 0.0,
            void: 0,
            heard: now,
            beat: now,
            nonce: 0,
            unanswered: VecDeque::new(),
            nacks: VecDeque::new(),
        }
    }

    /// The message with this nonce and all before it are answered; the one it names, if it was sent.
    pub fn answered(&mut self, nonce: u64) -> Option<Sent> {
        let at = self.unanswered.iter().position(|sent| sent.nonce == nonce)?;
        self.unanswered.drain(..=at).next_back()
    }

    /// One refusal more; true when they are too many.
    pub fn refused(&mut self, now: Moment) -> bool {
        self.nacks.retain(|at| now.since(*at) < Span::millis(60_000));
        self.nacks.push_back(now);
        self.nacks.len() > MOST_NACKS
    }

    /// Why the stream should be closed now, if it should.
    pub fn overdue(&self, now: Moment, every: Span, unresponsive_after: Span) -> Option<&'static str> {
        let silent = now.since(self.heard) > every.times(MISSED);
        let deaf = self.unanswered.front().is_some_and(|sent| now.since(sent.at) > unresponsive_after);
        match (self.proxy, silent, deaf) {
            (None, true, _) => Some("no hello"),
            (_, true, _) => Some("silent"),
            (_, _, true) => Some("does not answer messages"),
            _ => None,
        }
    }
}

/// A report's part in what a proxy's rate is held to be.
const REPORT: f64 = 0.3;

impl Stream {
    pub fn reported(&mut self, calls: u64, over: Span) {
        let seen = calls as f64 / over.seconds().max(1e-3);
        self.rate = if self.rate > 0.0 { self.rate + REPORT * (seen - self.rate) } else { seen };
    }
}

/// All streams, found by link or by proxy.
#[derive(Default)]
pub struct Streams {
    pub by_link: BTreeMap<Link, Stream>,
    pub by_proxy: HashMap<usize, Link>,
}

impl Streams {
    pub fn of(&mut self, proxy: usize) -> Option<(Link, &mut Stream)> {
        let link = *self.by_proxy.get(&proxy)?;
        self.by_link.get_mut(&link).map(|stream| (link, stream))
    }

    /// Calls per second at all that joined.
    pub fn rate(&self) -> f64 {
        self.by_link.values().filter(|stream| stream.proxy.is_some()).map(|stream| stream.rate).sum()
    }

    pub fn joined(&self) -> usize {
        self.by_proxy.len()
    }
}
