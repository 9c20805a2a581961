//! The channel to the proxies: what is ordered waits here and leaves at so many lines a second.
//!
//! A proxy has at most one message waiting. What is ordered for it meanwhile is joined to that message, so the
//! queue is as long as there are proxies, and a later removal takes a line's addition with it. Messages that
//! remove lines leave first, by the time of their oldest part; all others after them, likewise.
//!
//! When the lines that wait would pass the limit, nothing is kept of the new order and the caller is told: the
//! module reckons with marks so that this never happens, and whoever is refused is closed and joins anew.

use pewtergap_protocol::{TableChange, Update};
use pewtergap_time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug)]
struct Waiting {
    update: Update,
    urgent: bool,
    since: Moment,
}

/// The limit on waiting lines would be passed.
#[derive(Debug, PartialEq, Eq)]
pub struct ChannelFull {
    pub waiting: u64,
    pub more: u64,
}

#[derive(Debug)]
pub struct Channel {
    lines_per_s: f64,
    head: f64,
    most: f64,
    free_at: Moment,
    waiting: BTreeMap<usize, Waiting>,
    /// Ordinary or urgent, by age: `false` sorts first.
    queue: BTreeSet<(bool, Moment, usize)>,
    lines: f64,
    /// Most lines that ever waited.
    pub peak: f64,
}

impl Channel {
    pub fn new(lines_per_s: f64, head: f64, most: f64) -> Channel {
        let (waiting, queue) = (BTreeMap::new(), BTreeSet::new());
        Channel { lines_per_s, head, most, free_at: Moment(0), waiting, queue, lines: 0.0, peak: 0.0 }
    }

    /// Lines that wait, heads included.
    pub fn lines(&self) -> f64 {
        self.lines
    }

    pub fn messages(&self) -> usize {
        self.waiting.len()
    }

    pub fn enqueue(&mut self, now: Moment, proxy: usize, update: Update) -> Result<(), ChannelFull> {
        let urgent = update.tables.iter().any(|change| !change.removed.is_empty());
        let before = self.waiting.remove(&proxy);
        let was = before.as_ref().map_or(0.0, |w| self.cost(&w.update));
        let next = match before {
            None => Waiting { update, urgent, since: now },
            Some(old) => {
                self.queue.remove(&(!old.urgent, old.since, proxy));
                Waiting { urgent: urgent || old.urgent, since: old.since, update: join(old.update, update) }
            }
        };
        self.lines += self.cost(&next.update) - was;
        self.peak = self.peak.max(self.lines);
        if self.lines > self.most {
            let full = ChannelFull { waiting: self.lines as u64, more: self.cost(&next.update) as u64 };
            self.lines -= self.cost(&next.update);
            return Err(full);
        }
        self.queue.insert((!next.urgent, next.since, proxy));
        self.waiting.insert(proxy, next);
        Ok(())
    }

    /// When the next message may leave.
    pub fn next_send_at(&self) -> Option<Moment> {
        (!self.queue.is_empty()).then_some(self.free_at)
    }

    /// The message that leaves now, if one may.
    pub fn pop(&mut self, now: Moment) -> Option<(usize, Update)> {
        if self.free_at > now {
            return None;
        }
        let (_, _, proxy) = self.queue.pop_first()?;
        let update = self.waiting.remove(&proxy)?.update;
        let cost = self.cost(&update);
        self.lines = if self.waiting.is_empty() { 0.0 } else { self.lines - cost };
        // A late call does not slow the channel: lines count from when it came free, at most a moment ago.
        let from = self.free_at.max(now - Span::millis(20));
        self.free_at = from + Span::of_seconds(cost / self.lines_per_s);
        Some((proxy, update))
    }

    /// The proxy left; nothing waits for it any more.
    pub fn forget(&mut self, proxy: usize) {
        if let Some(old) = self.waiting.remove(&proxy) {
            self.queue.remove(&(!old.urgent, old.since, proxy));
            self.lines -= self.cost(&old.update);
        }
    }

    fn cost(&self, update: &Update) -> f64 {
        f64::from(update.lines) + self.head
    }
}

/// Lines that a message counts: each line set or removed, each level, each binding, its mark.
pub fn count_lines(update: &Update) -> u32 {
    let of = |change: &TableChange| change.set.len() + change.removed.len() + change.gates.len();
    let tables: usize = update.tables.iter().map(of).sum();
    (tables + update.binds.len()) as u32 + u32::from(update.mark > 0)
}

/// Two messages as one that leads to the same tables. The first has not left, so the proxy never sees the
/// versions between; the later mark stands for both.
fn join(mut first: Update, later: Update) -> Update {
    for change in later.tables {
        match first.tables.iter().position(|known| known.table == change.table) {
            Some(at) => join_tables(&mut first.tables[at], change),
            None => first.tables.push(change),
        }
    }
    for bind in later.binds {
        first.binds.retain(|old| bind.routes != 0 && old.routes != bind.routes);
        first.binds.push(bind);
    }
    // A table that nothing is bound to any more need not travel; the proxy would drop it at once. Only where
    // the bindings are all known, though: a change of a table bound long ago has no binding in here.
    if let [all] = first.binds.as_slice() {
        if all.routes == 0 {
            let table = all.table;
            first.tables.retain(|change| change.table == table);
        }
    }
    let mark = if later.mark > 0 { later.mark } else { first.mark };
    let mut joined = Update { turn: later.turn, mark, nonce: 0, ..first };
    joined.lines = count_lines(&joined);
    joined
}

fn join_tables(first: &mut TableChange, later: TableChange) {
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
