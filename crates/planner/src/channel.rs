//! What waits in the channel to the proxies, and how fast the channel carries it, as far as acknowledgements tell.

use crate::time::{Moment, Span};
use crate::types::{Action, Proxy, ProxyIndex, State};
use std::collections::BTreeMap;

/// The messages of one turn.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SentTurn {
    pub at: Moment,
    /// Without messages to proxies that have left.
    pub lines: f64,
    /// Lines in the channel once they were sent, theirs included.
    pub backlog: f64,
    /// When the first of its messages was acknowledged.
    pub acknowledged_at: Option<Moment>,
}

/// A message to a proxy that it has not acknowledged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SentMessage {
    pub mark: u64,
    pub lines: f64,
    pub sent_at: Moment,
}

/// A message that its proxy has acknowledged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DeliveredMessage {
    pub at: Moment,
    pub sent_at: Moment,
    pub lines: f64,
}

/// A message to a proxy that has left. It will never be acknowledged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AbandonedMessage {
    pub lines: f64,
    /// When it has left the channel at the latest.
    pub until: Moment,
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

/// Throughput of the channel as measured lately, in lines per second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Throughput {
    /// Without messages to proxies of which nothing was heard a round trip after they were sent. These may
    /// have been cut off before they could acknowledge them, which says nothing about the channel.
    pub expected: f64,
    /// As if the channel held up every message that is not acknowledged.
    pub lower_bound: f64,
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

/// Lines for a proxy that has left count as queued for this multiple of the time that the channel needs for
/// what was queued up to them, and at most of the time that a full channel takes to drain.
const ABANDONED_DRAIN_TIMES: f64 = 2.0;

/// Lower bound of the measured throughput, as a fraction of the configured one. A lower estimate could
/// never be seen to recover.
const MIN_THROUGHPUT_FRACTION: f64 = 0.02;

impl State {
    /// Records the messages of a turn by their cost per proxy, and returns the mark that the proxies will
    /// acknowledge.
    pub fn record_messages(&mut self, now: Moment, costs: &[f64], window: Span) -> Option<Action> {
        let mark = (self.last_mark + 1) % 65_536;
        let lines: f64 = costs.iter().sum();
        self.backlog += lines;
        let turn = SentTurn { at: now, lines, backlog: self.backlog, acknowledged_at: None };
        self.sent.extend((lines > 0.0).then_some(turn));
        for (proxy, cost) in self.proxies.iter_mut().zip(costs).filter(|(_, cost)| **cost > 0.0) {
            self.last_mark = mark;
            proxy.unacknowledged.push(SentMessage { mark, lines: *cost, sent_at: now });
            proxy.sent_at.retain(|sent| now.since(*sent) <= window);
            proxy.sent_at.push(now);
        }
        (self.last_mark == mark).then_some(Action::Mark { mark })
    }

    /// Estimates the lines still in the channel. While acknowledgements arrive within the time a full channel
    /// takes to drain, only unacknowledged messages count. After that, everything sent since the oldest of them
    /// counts: once streams have broken, later messages overtake earlier ones that remain queued.
    pub fn queued_lines(&mut self, now: Moment, drain_time: Span, pace: ChannelPace) -> QueuedLines {
        self.abandoned.retain(|message| message.until > now);
        let abandoned: f64 = self.abandoned.iter().map(|message| message.lines).sum();
        let mut outstanding: BTreeMap<Moment, f64> = BTreeMap::new();
        for message in self.proxies.iter().flat_map(|proxy| &proxy.unacknowledged) {
            *outstanding.entry(message.sent_at).or_default() += message.lines;
        }
        self.sent.retain(|turn| outstanding.keys().next().is_some_and(|oldest| turn.at >= *oldest));
        let upper_bound = abandoned + self.queued_since_oldest(now, drain_time, &outstanding);
        if let Some(front) = self.departed_front(now, &outstanding, abandoned, pace) {
            outstanding.retain(|sent_at, _| *sent_at > front);
        }
        let expected = abandoned + self.queued_since_oldest(now, drain_time, &outstanding);
        QueuedLines { expected, upper_bound: upper_bound.max(expected), abandoned }
    }

    /// Lines of outstanding messages, or of all that was sent since the oldest of them if it is overdue.
    fn queued_since_oldest(&self, now: Moment, drain_time: Span, outstanding: &BTreeMap<Moment, f64>) -> f64 {
        let unacknowledged: f64 = outstanding.values().sum();
        let overdue = outstanding.keys().next().filter(|oldest| now.since(**oldest) > drain_time);
        let Some(oldest) = overdue else { return unacknowledged };
        let sent_since: f64 = self.sent.iter().filter(|turn| turn.at >= *oldest).map(|turn| turn.lines).sum();
        unacknowledged.max(sent_since)
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
        for message in self.delivered.iter().filter(|message| now.since(message.at) <= pace.round_trip) {
            *delivered.entry(message.sent_at).or_default() += message.lines;
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

    /// Records that a proxy applied the message with this mark and all earlier ones.
    pub fn acknowledge(&mut self, now: Moment, proxy: ProxyIndex, mark: u64) {
        self.proxy(proxy).last_heard = now;
        let acknowledged: Vec<SentMessage> = self.proxy(proxy).take_acknowledged(mark).collect();
        for SentMessage { lines, sent_at, .. } in acknowledged {
            let turn = self.sent.iter_mut().rev().find(|turn| turn.at == sent_at);
            turn.into_iter().for_each(|turn| turn.acknowledged_at = turn.acknowledged_at.or(Some(now)));
            self.delivered.push(DeliveredMessage { at: now, sent_at, lines });
        }
    }

    /// Estimates the throughput of the channel in lines per second. Messages leave in the order in which
    /// they were sent, so the channel has not been idle since the oldest message that may still be queued,
    /// and the lines delivered since then give its rate. A message overtaken more than a round trip ago is
    /// lost, or its proxy has stalled. `round_trip` is the longest time to a proxy and back.
    pub fn measure_throughput(&mut self, now: Moment, round_trip: Span, configured: f64) -> Throughput {
        let settled = |message: &&DeliveredMessage| now.since(message.at) > round_trip;
        let latest_sent = self.delivered.iter().filter(settled).map(|message| message.sent_at).max();
        self.delivered_front = self.delivered_front.max(latest_sent.unwrap_or(self.delivered_front));
        let previous =
            self.throughput.unwrap_or(Throughput { expected: configured, lower_bound: configured });
        let elapsed = now.since(self.pushed_at).seconds();
        let last_heard = self.proxies.iter().map(|proxy| proxy.last_heard).max().unwrap_or(now);
        let oldest_heard_of =
            self.oldest_queued(|proxy, sent| proxy.last_heard.since(sent.sent_at) > round_trip);
        let oldest = self.oldest_queued(|_, _| true).unwrap_or(now);
        self.delivered.retain(|message| message.at >= oldest || now.since(message.at) <= round_trip);
        let rate = |oldest: Moment, until: Moment, previous: f64| {
            let delivered = self.delivered.iter().filter(|message| message.at >= oldest);
            let lines: f64 = delivered.map(|message| message.lines).sum();
            let busy = until.since(oldest).seconds() - round_trip.seconds();
            let rate = if busy > 0.0 { lines / busy } else { previous * (1.0 + elapsed) };
            rate.clamp(MIN_THROUGHPUT_FRACTION * configured, configured)
        };
        let throughput = Throughput {
            expected: rate(oldest_heard_of.unwrap_or(now), last_heard, previous.expected),
            lower_bound: rate(oldest, now, previous.lower_bound),
        };
        self.throughput = Some(throughput);
        self.backlog = (self.backlog - throughput.expected * elapsed).max(0.0);
        throughput
    }

    /// When the oldest message that matches was sent, of those that may still be queued.
    fn oldest_queued(&self, matches: impl Fn(&Proxy, &SentMessage) -> bool) -> Option<Moment> {
        let queued = self.proxies.iter().flat_map(|proxy| {
            proxy.unacknowledged.iter().filter(|sent| matches(proxy, sent)).map(|sent| sent.sent_at)
        });
        queued.filter(|sent_at| *sent_at > self.delivered_front).min()
    }

    /// The proxy left or joined again: its unacknowledged messages will not be acknowledged any more. They
    /// stay in the channel for as long as it takes to carry what was queued up to them. Counted from the time
    /// of leaving instead, they kept tables from proxies that joined again after a partition, beside an empty
    /// channel.
    pub fn abandon_messages(&mut self, now: Moment, at: ProxyIndex, drain_time: Span, configured: f64) {
        let throughput = self.throughput.map_or(configured, |throughput| throughput.expected);
        let latest = now + drain_time.times(ABANDONED_DRAIN_TIMES);
        for SentMessage { lines, sent_at, .. } in std::mem::take(&mut self.proxy(at).unacknowledged) {
            let turn = self.sent.iter_mut().rev().find(|turn| turn.at == sent_at);
            let until = turn.map_or(latest, |turn| {
                turn.lines -= lines;
                sent_at + Span::of_seconds(ABANDONED_DRAIN_TIMES * turn.backlog / throughput)
            });
            self.abandoned.push(AbandonedMessage { lines, until: until.min(latest) });
        }
    }
}
