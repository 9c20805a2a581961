//! What waits in the channel to the proxies, and how fast the channel carries it, as far as acknowledgements tell.

use crate::time::{Moment, Span};
use crate::types::{Action, ProxyIndex, State};

/// Lower bound of the measured throughput, as a fraction of the configured one. A lower estimate could
/// never be seen to recover.
const MIN_THROUGHPUT_FRACTION: f64 = 0.02;

impl State {
    /// Records the messages of a turn by their cost per proxy, and returns the mark that the proxies will
    /// acknowledge.
    pub fn record_messages(&mut self, now: Moment, costs: &[f64], window: Span) -> Option<Action> {
        let mark = (self.last_mark + 1) % 65_536;
        let lines: f64 = costs.iter().sum();
        self.sent.extend((lines > 0.0).then_some((now, lines)));
        for (proxy, cost) in self.proxies.iter_mut().zip(costs).filter(|(_, cost)| **cost > 0.0) {
            self.last_mark = mark;
            proxy.unacknowledged.push((mark, *cost, now));
            proxy.sent_at.retain(|sent| now.since(*sent) <= window);
            proxy.sent_at.push(now);
        }
        (self.last_mark == mark).then_some(Action::Mark { mark })
    }

    /// Upper bound on the lines still on their way to proxies. While acknowledgements arrive within the
    /// time a full channel takes to drain, only unacknowledged messages count. After that, everything sent
    /// since the oldest of them counts: once streams have broken, later messages overtake earlier ones that
    /// remain queued.
    pub fn queued_lines(&mut self, now: Moment, drain_time: Span) -> f64 {
        self.abandoned.retain(|abandoned| abandoned.0 > now);
        let queued = self.proxies.iter().flat_map(|p| &p.unacknowledged);
        let unacknowledged =
            queued.clone().map(|sent| sent.1).chain(self.abandoned.iter().map(|abandoned| abandoned.1)).sum();
        let oldest = queued.map(|sent| sent.2).min().unwrap_or(now);
        self.sent.retain(|turn| turn.0 >= oldest);
        let sent_since = self.sent.iter().map(|turn| turn.1).sum();
        if now.since(oldest) > drain_time {
            f64::max(unacknowledged, sent_since)
        } else {
            unacknowledged
        }
    }

    pub fn acknowledge(&mut self, now: Moment, proxy: ProxyIndex, mark: u64) {
        let acknowledged: Vec<(u64, f64, Moment)> = self.proxy(proxy).take_acknowledged(mark).collect();
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
