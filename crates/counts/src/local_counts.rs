//! A planner's own counts, and their ranges since what each peer has.

use crate::{CountEntry, CountReport, ReportRequest, MAX_KEYS, MAX_PEERS};
use std::collections::BTreeMap;

/// The minimum and maximum of each count that changed.
type Window = BTreeMap<String, (f64, f64)>;

/// What one peer has, and what was last sent to it.
#[derive(Clone, Debug, Default)]
struct PeerView {
    acked_sequence: u64,
    since_acked: Window,
    sent_sequence: u64,
    since_sent: Window,
}

#[derive(Clone, Debug)]
pub struct LocalCounts {
    start: u64,
    values: BTreeMap<String, f64>,
    peers: BTreeMap<u64, PeerView>,
    sequence: u64,
    /// Counts dropped for lack of room.
    pub omitted_keys: u64,
}

impl LocalCounts {
    pub fn new(start: u64) -> LocalCounts {
        LocalCounts { start, values: BTreeMap::new(), peers: BTreeMap::new(), sequence: 0, omitted_keys: 0 }
    }

    pub fn value(&self, key: &str) -> f64 {
        self.values.get(key).copied().unwrap_or(0.0)
    }

    pub fn values(&self) -> &BTreeMap<String, f64> {
        &self.values
    }

    /// Sets a count; non-finite values are ignored.
    pub fn set(&mut self, key: &str, value: f64) {
        let before = self.value(key);
        if value == before || !value.is_finite() {
            return;
        }
        if !self.values.contains_key(key) && self.values.len() >= MAX_KEYS {
            self.omitted_keys += 1;
            return;
        }
        self.values.insert(key.into(), value);
        for peer in self.peers.values_mut() {
            for window in [&mut peer.since_acked, &mut peer.since_sent] {
                let (min, max) = window.entry(key.into()).or_insert((before, before));
                (*min, *max) = (min.min(value), max.max(value));
            }
        }
    }

    /// Replaces the counts with this prefix. Those no longer present drop to 0 and are removed once every
    /// peer has been told.
    pub fn set_group(&mut self, prefix: &str, values: &BTreeMap<String, f64>) {
        let removed: Vec<String> = self
            .values
            .keys()
            .filter(|key| key.starts_with(prefix) && !values.contains_key(*key))
            .cloned()
            .collect();
        removed.iter().for_each(|key| self.set(key, 0.0));
        values.iter().for_each(|(key, value)| self.set(key, *value));
        let is_unreported = |key: &String| self.peers.values().any(|r| r.since_acked.contains_key(key));
        let reported: Vec<String> = removed.into_iter().filter(|key| !is_unreported(key)).collect();
        self.values.retain(|key, _| !reported.contains(key));
    }

    /// Drops the state of planners that are no longer members.
    pub fn set_members(&mut self, members: &[u64]) {
        self.peers.retain(|id, _| members.contains(id));
    }

    /// Builds the report for a request. `None`: too many planners are asking.
    pub fn make_report(&mut self, to: u64, request: ReportRequest) -> Option<CountReport> {
        if !self.peers.contains_key(&to) && self.peers.len() >= MAX_PEERS {
            return None;
        }
        self.sequence += 1;
        let peer = self.peers.entry(to).or_default();
        let is_current_start = request.start == self.start && request.last_sequence > 0;
        if is_current_start && request.last_sequence == peer.sent_sequence {
            peer.acked_sequence = peer.sent_sequence;
            peer.since_acked = std::mem::take(&mut peer.since_sent);
        } else if !is_current_start || request.last_sequence != peer.acked_sequence {
            // The requester has no report that we remember, so it starts with a complete one.
            (peer.acked_sequence, peer.since_acked) = (0, Window::new());
        }
        let entry = |key: &String, value: f64, window: Option<&(f64, f64)>| {
            let (min, max) = window.copied().unwrap_or((value, value));
            CountEntry { key: key.clone(), value, min, max }
        };
        let entries = match peer.acked_sequence {
            0 => self.values.iter().map(|(key, value)| entry(key, *value, None)).collect(),
            _ => {
                let value = |key: &String| self.values.get(key).copied().unwrap_or(0.0);
                peer.since_acked.iter().map(|(key, window)| entry(key, value(key), Some(window))).collect()
            }
        };
        (peer.sent_sequence, peer.since_sent) = (self.sequence, Window::new());
        Some(CountReport {
            token: request.token,
            start: self.start,
            sequence: self.sequence,
            base_sequence: peer.acked_sequence,
            entries,
        })
    }
}
