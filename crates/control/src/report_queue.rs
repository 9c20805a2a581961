//! Reports of proxies, taken in at so many lines a second, oldest first.
//!
//! What proxies of a zone met at a server is one line, however many of them say so, and what comes while that
//! line waits is added to it: the queue is bounded by servers times zones plus proxies times routes.

use pewtergap_planner::{Event, Load};
use pewtergap_time::{Moment, Span};
use std::collections::{HashMap, VecDeque};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Key {
    Sums { server: usize, zone: usize },
    Arrivals { proxy: usize, route: usize },
}

#[derive(Debug, Default)]
struct Line {
    count: f64,
    dropped: f64,
    /// Of the good tries, in all.
    took: f64,
    over: Span,
    load: Load,
}

#[derive(Debug)]
pub struct ReportQueue {
    per_s: f64,
    /// Lines that may be taken in now, part of a second's worth at most.
    allowance: f64,
    last: Option<Moment>,
    queue: VecDeque<Key>,
    lines: HashMap<Key, Line>,
}

/// A pause does not save up more than this of a second's lines.
const SAVED: f64 = 0.2;

impl ReportQueue {
    pub fn new(per_s: f64) -> ReportQueue {
        ReportQueue { per_s, allowance: 0.0, last: None, queue: VecDeque::new(), lines: HashMap::new() }
    }

    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    fn line(&mut self, key: Key) -> &mut Line {
        if !self.lines.contains_key(&key) {
            self.queue.push_back(key);
        }
        self.lines.entry(key).or_default()
    }

    #[allow(clippy::too_many_arguments)]
    pub fn sums(
        &mut self,
        server: usize,
        zone: usize,
        tries: u64,
        dropped: u64,
        mean: Span,
        over: Span,
        load: Load,
    ) {
        let line = self.line(Key::Sums { server, zone });
        line.took += mean.seconds() * (tries.saturating_sub(dropped)) as f64;
        line.count += tries as f64;
        line.dropped += dropped as f64;
        // Proxies of a zone report of about the same time, so the longest stands for all.
        line.over = line.over.max(over);
        line.load =
            Load { util: load.util.or(line.load.util), in_flight: load.in_flight.or(line.load.in_flight) };
    }

    pub fn arrivals(&mut self, proxy: usize, route: usize, calls: u64, dropped: u64, over: Span) {
        let line = self.line(Key::Arrivals { proxy, route });
        line.count += calls as f64;
        line.dropped += dropped as f64;
        line.over = line.over + over;
    }

    /// The proxy left: what it said of its calls counts no more.
    pub fn forget(&mut self, proxy: usize) {
        let gone = |key: &Key| matches!(key, Key::Arrivals { proxy: at, .. } if *at == proxy);
        self.queue.retain(|key| !gone(key));
        self.lines.retain(|key, _| !gone(key));
    }

    /// The server's place is given up: what was said of it must not be laid to the next that has the place.
    pub fn forget_server(&mut self, server: usize) {
        let gone = |key: &Key| matches!(key, Key::Sums { server: at, .. } if *at == server);
        self.queue.retain(|key| !gone(key));
        self.lines.retain(|key, _| !gone(key));
    }

    /// What may be taken in by now.
    pub fn take(&mut self, now: Moment) -> Vec<Event> {
        let gone = self.last.map_or(SAVED, |last| now.since(last).seconds());
        self.last = Some(now);
        self.allowance = (self.allowance + gone * self.per_s).min((SAVED * self.per_s).max(1.0));
        let mut events = Vec::new();
        while self.allowance >= 1.0 {
            let Some(key) = self.queue.pop_front() else { break };
            let Some(line) = self.lines.remove(&key) else { continue };
            self.allowance -= 1.0;
            events.push(line.event(key));
        }
        events
    }
}

impl Line {
    fn event(self, key: Key) -> Event {
        let Line { count, dropped, took, over, load } = self;
        match key {
            Key::Sums { server, zone } => {
                let mean = Span::of_seconds(took / (count - dropped).max(1.0));
                Event::ServerStats {
                    server,
                    zone,
                    tries: count,
                    dropped,
                    mean_latency: mean,
                    period: over,
                    load,
                }
            }
            Key::Arrivals { proxy, route } => {
                Event::Arrivals { proxy, route, calls: count, dropped, period: over }
            }
        }
    }
}
