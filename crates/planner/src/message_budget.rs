//! When a message may be sent to a proxy, where the number of messages within a window is limited. Messages are kept for
//! removals that are still to come: a removal has to arrive within its grace period.

use crate::time::{Moment, Span};
use crate::types::*;

/// Minimum interval between ordinary messages to one proxy. Removals need not wait for it.
const MESSAGE_GAP: Span = Span::millis(900);
/// Messages count against the limit for this much longer than the window, since they may arrive at uneven
/// intervals.
const WINDOW_MARGIN: Span = Span::millis(500);
/// Fraction of the messages of a window that other changes may use while removals follow one another.
const ORDINARY_SHARE: f64 = 0.25;
/// Part of the grace period that a removal may always wait for others, however long messages can take.
const MIN_WAIT_SHARE: f64 = 0.6;
/// Time for a turn to begin after it is due.
const TURN_MARGIN: Span = Span::millis(50);
/// Minimum interval between urgent messages that use what is kept for removals, as a part of the grace period.
const URGENT_GAP_SHARE: f64 = 0.4;

/// Why a message is to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    Ordinary,
    /// Lines for cold servers.
    ColdServers,
    /// A table for a proxy that has none, or far less weight for a server that has just started.
    Urgent,
    /// Lines of leaving servers. They have been known to leave since this time.
    Removal {
        since: Moment,
    },
}

impl Planner {
    /// Whether a message may be sent to a proxy now.
    pub(crate) fn may_message(&self, now: Moment, at: ProxyIndex, purpose: Purpose) -> bool {
        let sent = &self.state.proxies[at].sent_at;
        let elapsed = sent.last().map_or(Span(u64::MAX), |last| now.since(*last));
        let max_messages = self.channel.max_messages;
        if max_messages == usize::MAX {
            return purpose != Purpose::Ordinary || elapsed >= MESSAGE_GAP;
        }
        let counted = sent.iter().filter(|sent| now.since(**sent) <= self.counted_time()).count();
        let leaves_enough = self.leaves_enough_for_removals(now, sent);
        match purpose {
            Purpose::Ordinary | Purpose::ColdServers => {
                counted < (max_messages / 2).max(1) && elapsed >= MESSAGE_GAP && leaves_enough
            }
            Purpose::Urgent => {
                let gap_over = elapsed >= self.contract.drain_grace.times(URGENT_GAP_SHARE);
                leaves_enough || counted + 1 < max_messages && gap_over
            }
            Purpose::Removal { since } => {
                leaves_enough || counted < max_messages && now >= since + self.removal_wait()
            }
        }
    }

    /// How long a removal may wait for others that can be sent in the same message.
    pub(crate) fn removal_wait(&self) -> Span {
        let grace = self.contract.drain_grace;
        let without_transit = Span(grace.0.saturating_sub(self.channel.max_transit.0));
        let wait = without_transit.max(grace.times(MIN_WAIT_SHARE));
        Span(wait.0.saturating_sub(TURN_MARGIN.0))
    }

    /// Time for which a message counts against the limit.
    pub(crate) fn counted_time(&self) -> Span {
        self.channel.message_window + WINDOW_MARGIN
    }

    /// Whether a message now leaves enough of them for removals that follow one another from now on, each
    /// after the time that it may wait.
    fn leaves_enough_for_removals(&self, now: Moment, sent: &[Moment]) -> bool {
        let max_messages = self.channel.max_messages;
        let ordinary = ((max_messages as f64 * ORDINARY_SHARE) as usize).max(1);
        let reserved = max_messages.saturating_sub(ordinary);
        if reserved == 0 {
            return sent.iter().all(|sent| now.since(*sent) > self.counted_time());
        }
        let shortest = self.counted_time().times(1.0 / reserved as f64);
        let interval = self.removal_wait().max(shortest);
        let max_counted = (self.counted_time().0 / interval.0.max(1)) as usize + 1;
        (0..=reserved).all(|removals| {
            let at = now + interval.times(removals as f64);
            let counts = |sent: &Moment| at.since(*sent) <= self.counted_time();
            let earlier = sent.iter().filter(|sent| counts(sent)).count() + usize::from(counts(&now));
            earlier + removals.min(max_counted) <= max_messages
        })
    }
}
