//! What a proxy knows of each server by its own calls: connections, failures in a row, sums.

use pewtergap_node::Link;
use pewtergap_protocol::load_report::LoadReport;
use pewtergap_protocol::ServerStatsRow;
use pewtergap_time::{Moment, Span};
use std::collections::HashMap;

#[derive(Debug, Default)]
struct Counted {
    tries: u64,
    dropped: u64,
    took: Span,
    report: LoadReport,
}

#[derive(Debug, Default)]
struct Server {
    /// Connections without a call, the one used last at the end.
    idle: Vec<(Link, Moment)>,
    failed_in_row: u32,
    shunned_until: Option<Moment>,
    counted: Counted,
}

/// A try, as it ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TryEnd {
    Good { took: Span, report: LoadReport },
    Bad,
}

#[derive(Debug, Default)]
pub struct Servers {
    known: HashMap<String, Server>,
}

impl Servers {
    /// A connection that stands ready, the one used last: the others then grow old enough to be closed.
    pub fn idle(&mut self, server: &str) -> Option<Link> {
        self.known.get_mut(server)?.idle.pop().map(|idle| idle.0)
    }

    pub fn rest(&mut self, server: &str, link: Link, now: Moment) {
        self.known.entry(server.into()).or_default().idle.push((link, now));
    }

    /// An idle connection ended; whether it was one.
    pub fn ended(&mut self, link: Link) -> bool {
        let mut found = false;
        for server in self.known.values_mut() {
            let before = server.idle.len();
            server.idle.retain(|idle| idle.0 != link);
            found |= before != server.idle.len();
        }
        found
    }

    /// Idle connections to close: too old, or to servers that no table names any more. Forgets servers of
    /// which nothing is left to know.
    pub fn reap(&mut self, now: Moment, keep_alive: Span, named: impl Fn(&str) -> bool) -> Vec<Link> {
        let mut old = Vec::new();
        for (name, server) in &mut self.known {
            let stays = named(name);
            server.idle.retain(|(link, since)| {
                let keep = stays && now.since(*since) < keep_alive;
                if !keep {
                    old.push(*link);
                }
                keep
            });
        }
        self.known.retain(|name, server| named(name) || !server.idle.is_empty() || server.counted.tries > 0);
        old
    }

    pub fn shunned(&self, server: &str, now: Moment) -> bool {
        self.known.get(server).and_then(|s| s.shunned_until).is_some_and(|until| until > now)
    }

    /// A try ended. `most` failures in a row, where told, keep the proxy away for a while; true when they do.
    pub fn ended_try(&mut self, server: &str, end: TryEnd, now: Moment, most: u32, rest: Span) -> bool {
        let known = self.known.entry(server.into()).or_default();
        known.counted.tries += 1;
        match end {
            TryEnd::Good { took, report } => {
                known.failed_in_row = 0;
                known.counted.took = known.counted.took + took;
                let before = known.counted.report;
                known.counted.report = LoadReport {
                    util: report.util.or(before.util),
                    in_flight: report.in_flight.or(before.in_flight),
                };
                false
            }
            TryEnd::Bad => {
                known.failed_in_row += 1;
                known.counted.dropped += 1;
                let shun = most > 0 && known.failed_in_row >= most;
                if shun {
                    known.failed_in_row = 0;
                    known.shunned_until = Some(now + rest);
                }
                shun
            }
        }
    }

    /// What was counted since the last time.
    pub fn sums(&mut self) -> Vec<ServerStatsRow> {
        let mut rows: Vec<ServerStatsRow> = Vec::new();
        for (name, server) in self.known.iter_mut().filter(|known| known.1.counted.tries > 0) {
            let Counted { tries, dropped, took, report } = std::mem::take(&mut server.counted);
            let mean_us = took.0 / 1_000 / (tries - dropped).max(1);
            let (util, in_hand) = (report.util, report.in_flight);
            rows.push(ServerStatsRow {
                server: name.clone(),
                tries,
                dropped,
                mean_latency_us: mean_us,
                util,
                in_flight: in_hand,
            });
        }
        rows.sort_by(|a, b| a.server.cmp(&b.server));
        rows
    }
}
