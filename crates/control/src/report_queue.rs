//! Queue of proxies' reports, passed to the planner core at a limited number of lines per second, oldest first.
//!
//! The tries at a server by the proxies of a zone are one line, however many proxies report them, and further reports
//! are added to a line while it waits. The queue is thus bounded by servers times zones plus proxies times routes.

use pewtergap_planner::{Event, Load};
use pewtergap_time::{Moment, Span};
use std::collections::{HashMap, VecDeque};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Key {
    ServerStats { server: usize, zone: usize },
    Arrivals { proxy: usize, route: usize },
}

#[derive(Debug, Default)]
struct Line {
    count: f64,
    dropped: f64,
    /// Total latency of the tries that were not dropped.
    total_seconds: f64,
    period: Span,
    load: Load,
}

#[derive(Debug)]
pub struct ReportQueue {
    lines_per_s: f64,
    /// Lines that may be passed on now.
    allowance: f64,
    last_refill: Option<Moment>,
    queue: VecDeque<Key>,
    lines: HashMap<Key, Line>,
}

/// Maximum allowance that accumulates, in seconds' worth of lines.
const MAX_BURST_SECONDS: f64 = 0.2;

impl ReportQueue {
    pub fn new(lines_per_s: f64) -> ReportQueue {
        ReportQueue {
            lines_per_s,
            allowance: 0.0,
            last_refill: None,
            queue: VecDeque::new(),
            lines: HashMap::new(),
        }
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
    pub fn add_server_stats(
        &mut self,
        server: usize,
        zone: usize,
        tries: u64,
        dropped: u64,
        mean_latency: Span,
        period: Span,
        load: Load,
    ) {
        let line = self.line(Key::ServerStats { server, zone });
        line.total_seconds += mean_latency.seconds() * (tries.saturating_sub(dropped)) as f64;
        line.count += tries as f64;
        line.dropped += dropped as f64;
        // Reports of the proxies of a zone cover about the same time, so the longest period is used for all.
        line.period = line.period.max(period);
        line.load =
            Load { util: load.util.or(line.load.util), in_flight: load.in_flight.or(line.load.in_flight) };
    }

    pub fn add_arrivals(&mut self, proxy: usize, route: usize, calls: u64, dropped: u64, period: Span) {
        let line = self.line(Key::Arrivals { proxy, route });
        line.count += calls as f64;
        line.dropped += dropped as f64;
        line.period = line.period + period;
    }

    /// Discards the arrivals reported by a proxy that left.
    pub fn remove_proxy(&mut self, proxy: usize) {
        let removed = |key: &Key| matches!(key, Key::Arrivals { proxy: at, .. } if *at == proxy);
        self.queue.retain(|key| !removed(key));
        self.lines.retain(|key, _| !removed(key));
    }

    /// Discards the statistics of a server whose index is released and may be reused.
    pub fn remove_server(&mut self, server: usize) {
        let removed = |key: &Key| matches!(key, Key::ServerStats { server: at, .. } if *at == server);
        self.queue.retain(|key| !removed(key));
        self.lines.retain(|key, _| !removed(key));
    }

    /// Returns the events that may be passed on now.
    pub fn take_due(&mut self, now: Moment) -> Vec<Event> {
        let elapsed = self.last_refill.map_or(MAX_BURST_SECONDS, |last| now.since(last).seconds());
        self.last_refill = Some(now);
        self.allowance = (self.allowance + elapsed * self.lines_per_s)
            .min((MAX_BURST_SECONDS * self.lines_per_s).max(1.0));
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
        let Line { count, dropped, total_seconds, period, load } = self;
        match key {
            Key::ServerStats { server, zone } => {
                let mean_latency = Span::of_seconds(total_seconds / (count - dropped).max(1.0));
                Event::ServerStats { server, zone, tries: count, dropped, mean_latency, period, load }
            }
            Key::Arrivals { proxy, route } => Event::Arrivals { proxy, route, calls: count, dropped, period },
        }
    }
}
