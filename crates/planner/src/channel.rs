//! What waits in the channel to the proxies, and how fast the channel carries it, as far as acknowledgements tell.

use crate::time::{Moment, Span};
use crate::types::{Action, ProxyIndex, State};
use std::collections::BTreeMap;

/// The messages of one turn.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SentTurn {
    pub at: Moment,
    pub lines: f64,
    /// When the first of its messages was acknowledged.
    pub acknowledged_at: Option<Moment>,
}

/// How fast a channel carries messages, in lines per second.
#[derive(Clone, Copy, Debug)]
pub struct ChannelPace {
    pub configured: f64,
    /// As measured lately.
    pub measured: f64,
    /// Longest time to a proxy and back.
    pub round_trip: Span,
}

/// Lines that wait in the channel.
#[derive(Clone, Copy, Debug)]
pub struct QueuedLines {
    /// Without messages that only their proxies hold up. For what is urgent.
    pub expected: f64,
    /// As if every message that is not acknowledged still waited. For what can wait itself.
    pub upper_bound: f64,
    /// Lines among both for proxies that have left.
    pub abandoned: f64,
}

/// Fraction of its configured pace that a slow channel keeps. A channel that still holds overtaken messages
/// delivers them at least that fast.
const MIN_SLOW_FRACTION: f64 = 0.1;

/// Lower bound of the measured throughput, as a fraction of the configured one. A lower estimate could
/// never be seen to recover.
const MIN_THROUGHPUT_FRACTION: f64 = 0.02;

impl State {
    /// Records the messages of a turn by their cost per proxy, and returns the mark that the proxies will
    /// acknowledge.
    pub fn record_messages(&mut self, now: Moment, costs: &[f64], window: Span) -> Option<Action> {
        let mark = (self.last_mark + 1) % 65_536;
        let lines: f64 = costs.iter().sum();
        self.sent.extend((lines > 0.0).then_some(SentTurn { at: now, lines, acknowledged_at: None }));
        for (proxy, cost) in self.proxies.iter_mut().zip(costs).filter(|(_, cost)| **cost > 0.0) {
            self.last_mark = mark;
            proxy.unacknowledged.push((mark, *cost, now));
            proxy.sent_at.retain(|sent| now.since(*sent) <= window);
            proxy.sent_at.push(now);
        }
        (self.last_mark == mark).then_some(Action::Mark { mark })
    }

    /// Estimates the lines still in the channel. While acknowledgements arrive within the time a full channel
    /// takes to drain, only unacknowledged messages count. After that, everything sent since the oldest of them
    /// counts: once streams have broken, later messages overtake earlier ones that remain queued.
    pub fn queued_lines(&mut self, now: Moment, drain_time: Span, pace: ChannelPace) -> QueuedLines {
        self.abandoned.retain(|abandoned| abandoned.0 > now);
        let abandoned: f64 = self.abandoned.iter().map(|abandoned| abandoned.1).sum();
        let mut outstanding: BTreeMap<Moment, f64> = BTreeMap::new();
        for (_, lines, sent_at) in self.proxies.iter().flat_map(|proxy| &proxy.unacknowledged) {
            *outstanding.entry(*sent_at).or_default() += lines;
        }
        self.sent.retain(|turn| outstanding.keys().next().is_some_and(|oldest| turn.at >= *oldest));
        let upper_bound = abandoned + self.queued_since_oldest(now, drain_time, abandoned, &outstanding);
        if let Some(front) = self.departed_front(now, &outstanding, abandoned, pace) {
            outstanding.retain(|sent_at, _| *sent_at > front);
        }
        let expected = abandoned + self.queued_since_oldest(now, drain_time, abandoned, &outstanding);
        QueuedLines { expected, upper_bound: upper_bound.max(expected), abandoned }
    }

    /// Lines of outstanding messages, or of all that was sent since the oldest of them if it is overdue; without
    /// those of abandoned messages, which are among the latter.
    fn queued_since_oldest(
        &self,
        now: Moment,
        drain_time: Span,
        abandoned: f64,
        outstanding: &BTreeMap<Moment, f64>,
    ) -> f64 {
        let unacknowledged: f64 = outstanding.values().sum();
        let overdue = outstanding.keys().next().filter(|oldest| now.since(**oldest) > drain_time);
        let Some(oldest) = overdue else { return unacknowledged };
        let sent_since: f64 = self.sent.iter().filter(|turn| turn.at >= *oldest).map(|turn| turn.lines).sum();
        unacknowledged.max(sent_since - abandoned)
    }

    /// The latest turn whose unacknowledged messages have all left the channel, so that only their proxies hold
    /// them up. It was overtaken by a later message long enough ago for the channel to carry all that is
    /// outstanding up to it, and what was acknowledged of that since is less than a slow channel would have
    /// delivered. One silent stream used to count as a full channel, and no removal was sent to any proxy.
    fn departed_front(
        &self,
        now: Moment,
        outstanding: &BTreeMap<Moment, f64>,
        abandoned: f64,
        pace: ChannelPace,
    ) -> Option<Moment> {
        let mut delivered: BTreeMap<Moment, f64> = BTreeMap::new();
        for (_, sent_at, lines) in self.delivered.iter().filter(|d| now.since(d.0) <= pace.round_trip) {
            *delivered.entry(*sent_at).or_default() += lines;
        }
        let min_delivered = MIN_SLOW_FRACTION * pace.configured * pace.round_trip.seconds();
        let overtaken = self.overtaken_at();
        let (mut lines, mut arrived, mut front) = (abandoned, 0.0, None);
        for (turn, overtaken_at) in self.sent.iter().zip(overtaken) {
            lines += outstanding.get(&turn.at).copied().unwrap_or(0.0);
            arrived += delivered.get(&turn.at).copied().unwrap_or(0.0);
            let needed = pace.round_trip + Span::of_seconds(lines / pace.measured);
            let departed = overtaken_at.is_some_and(|at| now.since(at) > needed) && arrived < min_delivered;
            front = if departed { Some(turn.at) } else { front };
        }
        front
    }

    /// For each recent turn, when a message of a later one was first acknowledged.
    fn overtaken_at(&self) -> Vec<Option<Moment>> {
        let mut earliest: Option<Moment> = None;
        let mut overtaken = Vec::with_capacity(self.sent.len());
        for turn in self.sent.iter().rev() {
            overtaken.push(earliest);
            earliest = earliest.into_iter().chain(turn.acknowledged_at).min();
        }
        overtaken.reverse();
        overtaken
    }

    pub fn acknowledge(&mut self, now: Moment, proxy: ProxyIndex, mark: u64) {
        let acknowledged: Vec<(u64, f64, Moment)> = self.proxy(proxy).take_acknowledged(mark).collect();
        for (_, _, sent_at) in &acknowledged {
            let turn = self.sent.iter_mut().rev().find(|turn| turn.at == *sent_at);
            turn.into_iter().for_each(|turn| turn.acknowledged_at = turn.acknowledged_at.or(Some(now)));
        }
        self.delivered.extend(acknowledged.into_iter().map(|sent| (now, sent.2, sent.1)));
    }

    /// Estimates the throughput of the channel in lines per second. Messages leave in the order in which
    /// they were sent, so the channel has not been idle since the oldest message that may still be queued,
    /// and the lines delivered since then give its rate. A message overtaken more than a round trip ago is
    /// lost, or its proxy has stalled. `round_trip` is the longest time to a proxy and back.
    pub fn measure_throughput(&mut self, now: Moment, round_trip: Span, configured: f64) -> f64 {
        let settled = |delivered: &&(Moment, Moment, f64)| now.since(delivered.0) > round_trip;
        let latest_sent = self.delivered.iter().filter(settled).map(|delivered| delivered.1).max();
        self.delivered_front = self.delivered_front.max(latest_sent.unwrap_or(self.delivered_front));
        let queued = self.proxies.iter().flat_map(|p| &p.unacknowledged).map(|sent| sent.2);
        let oldest = queued.filter(|sent| *sent > self.delivered_front).min().unwrap_or(now);
        self.delivered.retain(|delivered| delivered.0 >= oldest || now.since(delivered.0) <= round_trip);
        let previous = self.throughput.unwrap_or(configured);
        let elapsed = now.since(self.pushed_at).seconds();
        let busy = now.since(oldest).seconds() - round_trip.seconds();
        let lines =
            self.delivered.iter().filter(|delivered| delivered.0 >= oldest).map(|delivered| delivered.2);
        let throughput = if busy > 0.0 { lines.sum::<f64>() / busy } else { previous * (1.0 + elapsed) };
        let throughput = throughput.clamp(MIN_THROUGHPUT_FRACTION * configured, configured);
        self.throughput = Some(throughput);
        throughput
    }

    /// The proxy left or joined again: its unacknowledged messages stay in the channel for a while.
    pub fn abandon_messages(&mut self, at: ProxyIndex, until: Moment) {
        let lines: f64 = self.proxy(at).unacknowledged.drain(..).map(|sent| sent.1).sum();
        self.abandoned.extend((lines > 0.0).then_some((until, lines)));
    }
}
