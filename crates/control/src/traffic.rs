//! Traffic statistics that other planners may request: calls by route and zone, and the results of tries by server.
//! They are collected only if enabled; the totals by server are reset when taken.

use std::collections::BTreeMap;

/// Maximum number of servers with statistics at a time; tries at further ones are not counted.
const MAX_SERVERS: usize = 16_384;

/// Results of the proxies' tries at one server since the totals were last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerTotals {
    pub tries: f64,
    pub dropped: f64,
    /// Total latency of all tries; divided by the time it covers, it is the mean number of calls in progress.
    pub total_seconds: f64,
}

#[derive(Debug, Default)]
pub struct TrafficStats {
    pub enabled: bool,
    /// By route and zone, since the start.
    calls: BTreeMap<(usize, usize), u64>,
    by_server: BTreeMap<String, ServerTotals>,
}

impl TrafficStats {
    pub(crate) fn add_calls(&mut self, route: usize, zone: usize, calls: u64) {
        if self.enabled {
            let total = self.calls.entry((route, zone)).or_default();
            *total = total.saturating_add(calls);
        }
    }

    pub(crate) fn add_tries(&mut self, server: &str, tries: u64, dropped: u64, mean_seconds: f64) {
        if !self.enabled || !self.by_server.contains_key(server) && self.by_server.len() >= MAX_SERVERS {
            return;
        }
        let totals = self.by_server.entry(server.into()).or_default();
        totals.tries += tries as f64;
        totals.dropped += dropped as f64;
        totals.total_seconds += tries as f64 * mean_seconds;
    }

    pub fn calls_by_route_and_zone(&self) -> impl Iterator<Item = (usize, usize, u64)> + '_ {
        self.calls.iter().map(|(key, calls)| (key.0, key.1, *calls))
    }

    pub fn take_server_totals(&mut self) -> BTreeMap<String, ServerTotals> {
        std::mem::take(&mut self.by_server)
    }
}
