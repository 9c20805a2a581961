//! What passes here that other planners may want to know: calls by route and zone, and what proxies met at servers. Kept only
//! where somebody asks for it, and handed over at each look.

use std::collections::BTreeMap;

/// Servers that are kept between two looks; what is met at more is left out.
const MOST: usize = 16_384;

/// What proxies met at one server since the last look.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerTotals {
    pub tries: f64,
    pub dropped: f64,
    /// Of all tries together, in seconds: by the time between two looks it is the calls under way.
    pub total_seconds: f64,
}

#[derive(Debug, Default)]
pub struct TrafficStats {
    pub enabled: bool,
    /// By route and zone, since the start.
    calls: BTreeMap<(usize, usize), u64>,
    met: BTreeMap<String, ServerTotals>,
}

impl TrafficStats {
    pub(crate) fn calls(&mut self, route: usize, zone: usize, calls: u64) {
        if self.enabled {
            let known = self.calls.entry((route, zone)).or_default();
            *known = known.saturating_add(calls);
        }
    }

    pub(crate) fn met(&mut self, server: &str, tries: u64, dropped: u64, mean: f64) {
        if !self.enabled || !self.met.contains_key(server) && self.met.len() >= MOST {
            return;
        }
        let met = self.met.entry(server.into()).or_default();
        met.tries += tries as f64;
        met.dropped += dropped as f64;
        met.total_seconds += tries as f64 * mean;
    }

    pub fn calls_by_route_and_zone(&self) -> impl Iterator<Item = (usize, usize, u64)> + '_ {
        self.calls.iter().map(|(key, calls)| (key.0, key.1, *calls))
    }

    pub fn take_server_totals(&mut self) -> BTreeMap<String, ServerTotals> {
        std::mem::take(&mut self.met)
    }
}
