//! Per-server state of a proxy: idle connections, consecutive failures, ejection, statistics of its tries.

use pewtergap_node::Link;
use pewtergap_protocol::load_report::LoadReport;
use pewtergap_protocol::ServerStatsRow;
use pewtergap_time::{Moment, Span};
use std::collections::HashMap;

#[derive(Debug, Default)]
struct Counters {
    tries: u64,
    dropped: u64,
    latency: Span,
    report: LoadReport,
}

#[derive(Debug, Default)]
struct ServerEntry {
    /// Idle connections, the most recently used one last.
    idle: Vec<(Link, Moment)>,
    consecutive_failures: u32,
    ejected_until: Option<Moment>,
    counters: Counters,
}

/// Outcome of a try.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TryOutcome {
    Success { latency: Span, report: LoadReport },
    Failure,
}

#[derive(Debug, Default)]
pub struct Servers {
    servers: HashMap<String, ServerEntry>,
}

impl Servers {
    /// Takes the most recently used idle connection, so that the others become old enough to be closed.
    pub fn take_idle(&mut self, server: &str) -> Option<Link> {
        self.servers.get_mut(server)?.idle.pop().map(|idle| idle.0)
    }

    pub fn put_idle(&mut self, server: &str, link: Link, now: Moment) {
        self.servers.entry(server.into()).or_default().idle.push((link, now));
    }

    /// Removes a closed connection from the idle ones; returns whether it was one.
    pub fn remove_idle(&mut self, link: Link) -> bool {
        let mut found = false;
        for server in self.servers.values_mut() {
            let before = server.idle.len();
            server.idle.retain(|idle| idle.0 != link);
            found |= before != server.idle.len();
        }
        found
    }

    /// Returns the idle connections to close: those too old, and those to servers in no table any more. Removes servers
    /// without any remaining state.
    pub fn expire_idle(
        &mut self,
        now: Moment,
        keep_alive: Span,
        is_in_tables: impl Fn(&str) -> bool,
    ) -> Vec<Link> {
        let mut expired = Vec::new();
        for (name, server) in &mut self.servers {
            let in_tables = is_in_tables(name);
            server.idle.retain(|(link, since)| {
                let keep = in_tables && now.since(*since) < keep_alive;
                if !keep {
                    expired.push(*link);
                }
                keep
            });
        }
        self.servers.retain(|name, server| {
            is_in_tables(name) || !server.idle.is_empty() || server.counters.tries > 0
        });
        expired
    }

    pub fn is_ejected(&self, server: &str, now: Moment) -> bool {
        self.servers.get(server).and_then(|s| s.ejected_until).is_some_and(|until| until > now)
    }

    /// Records a try. After `max_failures` consecutive failures (0 disables it) the server is ejected for
    /// `ejection_time`; returns whether this try did so.
    pub fn record_try(
        &mut self,
        server: &str,
        outcome: TryOutcome,
        now: Moment,
        max_failures: u32,
        ejection_time: Span,
    ) -> bool {
        let entry = self.servers.entry(server.into()).or_default();
        entry.counters.tries += 1;
        match outcome {
            TryOutcome::Success { latency, report } => {
                entry.consecutive_failures = 0;
                entry.counters.latency = entry.counters.latency + latency;
                let before = entry.counters.report;
                entry.counters.report = LoadReport {
                    util: report.util.or(before.util),
                    in_flight: report.in_flight.or(before.in_flight),
                };
                false
            }
            TryOutcome::Failure => {
                entry.consecutive_failures += 1;
                entry.counters.dropped += 1;
                let eject = max_failures > 0 && entry.consecutive_failures >= max_failures;
                if eject {
                    entry.consecutive_failures = 0;
                    entry.ejected_until = Some(now + ejection_time);
                }
                eject
            }
        }
    }

    /// Takes the statistics since the last call.
    pub fn take_stats(&mut self) -> Vec<ServerStatsRow> {
        let mut rows: Vec<ServerStatsRow> = Vec::new();
        for (name, server) in self.servers.iter_mut().filter(|entry| entry.1.counters.tries > 0) {
            let Counters { tries, dropped, latency, report } = std::mem::take(&mut server.counters);
            let mean_latency_us = latency.0 / 1_000 / (tries - dropped).max(1);
            let (util, in_hand) = (report.util, report.in_flight);
            rows.push(ServerStatsRow {
                server: name.clone(),
                tries,
                dropped,
                mean_latency_us,
                util,
                in_flight: in_hand,
            });
        }
        rows.sort_by(|a, b| a.server.cmp(&b.server));
        rows
    }
}
