//! The channel to the proxies: a queue of updates, sent at a limited number of lines per second.
//!
//! At most one message waits for each proxy. Further updates for it are merged into that message, so that the queue is
//! bounded by the number of proxies, and a later removal of a line cancels its addition. Messages that remove lines
//! are sent before all others; within both groups the order is by the time of the oldest merged update.
//!
//! If the waiting lines would exceed the limit, the new update is discarded and the caller gets an error. The planner
//! core's accounting with marks prevents this; a proxy that it happens to is disconnected and joins anew.

use pewtergap_protocol::{TableChange, Update};
use pewtergap_time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug)]
struct Waiting {
    update: Update,
    urgent: bool,
    since: Moment,
}

/// The limit on waiting lines would be exceeded.
#[derive(Debug, PartialEq, Eq)]
pub struct ChannelFull {
    pub waiting: u64,
    pub more: u64,
}

#[derive(Debug)]
pub struct Channel {
    lines_per_s: f64,
    message_overhead: f64,
    max_lines: f64,
    free_at: Moment,
    waiting: BTreeMap<usize, Waiting>,
    /// Not urgent, oldest update, proxy: urgent messages sort first.
    queue: BTreeSet<(bool, Moment, usize)>,
    lines: f64,
    /// Maximum number of lines that have been waiting.
    pub peak_lines: f64,
}

impl Channel {
    pub fn new(lines_per_s: f64, message_overhead: f64, max_lines: f64) -> Channel {
        let (waiting, queue) = (BTreeMap::new(), BTreeSet::new());
        Channel {
            lines_per_s,
            message_overhead,
            max_lines,
            free_at: Moment(0),
            waiting,
            queue,
            lines: 0.0,
            peak_lines: 0.0,
        }
    }

    /// Waiting lines, including the overhead of their messages.
    pub fn waiting_lines(&self) -> f64 {
        self.lines
    }

    pub fn waiting_messages(&self) -> usize {
        self.waiting.len()
    }

    pub fn enqueue(&mut self, now: Moment, proxy: usize, update: Update) -> Result<(), ChannelFull> {
        let urgent = update.tables.iter().any(|change| !change.removed.is_empty());
        let previous = self.waiting.remove(&proxy);
        let previous_cost = previous.as_ref().map_or(0.0, |w| self.cost(&w.update));
        let next = match previous {
            None => Waiting { update, urgent, since: now },
            Some(old) => {
                self.queue.remove(&(!old.urgent, old.since, proxy));
                Waiting { urgent: urgent || old.urgent, since: old.since, update: merge(old.update, update) }
            }
        };
        self.lines += self.cost(&next.update) - previous_cost;
        self.peak_lines = self.peak_lines.max(self.lines);
        if self.lines > self.max_lines {
            let full = ChannelFull { waiting: self.lines as u64, more: self.cost(&next.update) as u64 };
            self.lines -= self.cost(&next.update);
            return Err(full);
        }
        self.queue.insert((!next.urgent, next.since, proxy));
        self.waiting.insert(proxy, next);
        Ok(())
    }

    /// When the next message may be sent.
    pub fn next_send_at(&self) -> Option<Moment> {
        (!self.queue.is_empty()).then_some(self.free_at)
    }

    /// Returns the next message if it may be sent now.
    pub fn pop(&mut self, now: Moment) -> Option<(usize, Update)> {
        if self.free_at > now {
            return None;
        }
        let (_, _, proxy) = self.queue.pop_first()?;
        let update = self.waiting.remove(&proxy)?.update;
        let cost = self.cost(&update);
        self.lines = if self.waiting.is_empty() { 0.0 } else { self.lines - cost };
        // A late call does not reduce the rate: time counts from when the channel became free, up to 20 ms ago.
        let from = self.free_at.max(now - Span::millis(20));
        self.free_at = from + Span::of_seconds(cost / self.lines_per_s);
        Some((proxy, update))
    }

    /// Discards the message waiting for a proxy that left.
    pub fn remove(&mut self, proxy: usize) {
        if let Some(old) = self.waiting.remove(&proxy) {
            self.queue.remove(&(!old.urgent, old.since, proxy));
            self.lines -= self.cost(&old.update);
        }
    }

    fn cost(&self, update: &Update) -> f64 {
        f64::from(update.lines) + self.message_overhead
    }
}

/// Number of lines a message counts as: each line set or removed, each gate, each binding, and its mark.
pub fn count_lines(update: &Update) -> u32 {
    let of = |change: &TableChange| change.set.len() + change.removed.len() + change.gates.len();
    let tables: usize = update.tables.iter().map(of).sum();
    (tables + update.binds.len()) as u32 + u32::from(update.mark > 0)
}

/// Merges two messages into one that results in the same tables. The first was not sent, so the proxy never sees the
/// versions in between, and the later mark covers both.
fn merge(mut first: Update, later: Update) -> Update {
    for change in later.tables {
        match first.tables.iter().position(|known| known.table == change.table) {
            Some(at) => merge_tables(&mut first.tables[at], change),
            None => first.tables.push(change),
        }
    }
    for bind in later.binds {
        first.binds.retain(|old| bind.routes != 0 && old.routes != bind.routes);
        first.binds.push(bind);
    }
    // Changes of a table that is no longer bound need not be sent, as the proxy would drop it at once. This holds only if
    // all bindings are in this message: a table bound earlier may have a change here without a binding.
    if let [all] = first.binds.as_slice() {
        if all.routes == 0 {
            let table = all.table;
            first.tables.retain(|change| change.table == table);
        }
    }
    let mark = if later.mark > 0 { later.mark } else { first.mark };
    let mut merged = Update { turn: later.turn, mark, nonce: 0, ..first };
    merged.lines = count_lines(&merged);
    merged
}

fn merge_tables(first: &mut TableChange, later: TableChange) {
    if later.whole {
        *first = later;
        return;
    }
    for line in later.set {
        first.removed.retain(|server| *server != line.server);
        first.set.retain(|known| known.server != line.server);
        first.set.push(line);
    }
    for server in later.removed {
        first.set.retain(|known| known.server != server);
        if !first.whole && !first.removed.contains(&server) {
            first.removed.push(server);
        }
    }
    for gate in later.gates {
        first.gates.retain(|known| gate.routes != 0 && known.routes != gate.routes);
        first.gates.push(gate);
    }
    first.to = later.to;
}
