//! The reports of other planners and the estimates derived from them.

use crate::{CountReport, ReportRequest, MAX_KEYS, MAX_PEERS};
use pewtergap_time::{Moment, Span};
use std::collections::{BTreeMap, VecDeque};

/// Ranges kept per planner: a read goes back to the last report of the planner heard least often.
const MAX_WINDOWS: usize = 64;

/// A count summed over all planners. `min` to `max` contains its value `age` ago; `None`: unbounded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CountEstimate {
    pub value: f64,
    pub age: Span,
    pub min: f64,
    pub max: Option<f64>,
    /// Members that are out of contact.
    pub missing_peers: usize,
}

/// The earliest start and the latest end of a window, and the ranges of the counts that changed in it.
#[derive(Clone, Debug)]
struct Window {
    earliest: Moment,
    latest: Moment,
    /// From here on this window, or a later one, certainly covers.
    certain_from: Moment,
    ranges: BTreeMap<String, (f64, f64)>,
}

#[derive(Clone, Debug)]
struct PeerState {
    start: u64,
    sequence: u64,
    /// When the last report was requested and received.
    requested_at: Moment,
    received_at: Moment,
    values: BTreeMap<String, f64>,
    windows: VecDeque<Window>,
}

#[derive(Clone, Debug, Default)]
pub struct PeerCounts {
    peers: BTreeMap<u64, PeerState>,
    /// Requests in flight by planner: time and token.
    pending: BTreeMap<u64, (Moment, u64)>,
    last_token: u64,
}

impl PeerCounts {
    /// Starts a request, unless one is in flight: a second one would be answered by a complete report, which
    /// says nothing about the time before.
    pub fn request_report(&mut self, now: Moment, peer: u64) -> Option<ReportRequest> {
        if self.pending.contains_key(&peer) {
            return None;
        }
        self.last_token += 1;
        self.pending.insert(peer, (now, self.last_token));
        let (start, last_sequence) =
            self.peers.get(&peer).map_or((0, 0), |state| (state.start, state.sequence));
        Some(ReportRequest { token: self.last_token, start, last_sequence })
    }

    /// The connection broke or the request timed out; a late answer is ignored.
    pub fn cancel_request(&mut self, peer: u64) {
        self.pending.remove(&peer);
    }

    /// Drops requests older than this.
    pub fn expire_requests(&mut self, now: Moment, timeout: Span) {
        self.pending.retain(|_, request| now.since(request.0) <= timeout);
    }

    pub fn set_members(&mut self, members: &[u64]) {
        self.peers.retain(|id, _| members.contains(id));
        self.pending.retain(|id, _| members.contains(id));
    }

    /// Takes in a report. Returns false if it is old or answers no open request.
    pub fn receive(&mut self, now: Moment, from: u64, report: &CountReport) -> bool {
        let requested_at = self.pending.get(&from).filter(|requested_at| requested_at.1 == report.token);
        let Some(requested_at) = requested_at.map(|requested_at| requested_at.0) else { return false };
        let last_known = self.peers.get(&from).map(|state| (state.start, state.sequence));
        if last_known.is_some_and(|last_known| (report.start, report.sequence) <= last_known)
            || self.peers.len() >= MAX_PEERS && last_known.is_none()
            || report.entries.len() > MAX_KEYS
            || report.entries.iter().any(|entry| !(entry.min <= entry.value && entry.value <= entry.max))
        {
            return false;
        }
        self.pending.remove(&from);
        let fresh_state = PeerState {
            start: report.start,
            sequence: 0,
            requested_at,
            received_at: now,
            values: BTreeMap::new(),
            windows: VecDeque::new(),
        };
        let state = self.peers.entry(from).or_insert(fresh_state.clone());
        let is_incremental =
            report.base_sequence > 0 && (state.start, state.sequence) == (report.start, report.base_sequence);
        if !is_incremental {
            // A complete report: nothing is known of the time before, and nothing of another start remains.
            *state = fresh_state;
        }
        let ranges = report.entries.iter().map(|entry| (entry.key.clone(), (entry.min, entry.max))).collect();
        // A complete report describes one moment, no later than now; the next report begins there.
        let (from, certain_from) =
            if is_incremental { (state.requested_at, state.received_at) } else { (now, now) };
        state.windows.push_back(Window { earliest: from, latest: now, certain_from, ranges });
        if state.windows.len() > MAX_WINDOWS {
            state.windows.pop_front();
        }
        for entry in &report.entries {
            if entry.value == 0.0 {
                state.values.remove(&entry.key);
            } else if state.values.len() < MAX_KEYS || state.values.contains_key(&entry.key) {
                state.values.insert(entry.key.clone(), entry.value);
            }
        }
        (state.sequence, state.requested_at, state.received_at) = (report.sequence, requested_at, now);
        true
    }

    /// How long ago the last report was requested.
    pub fn age(&self, now: Moment, peer: u64) -> Option<Span> {
        self.peers.get(&peer).map(|state| now.since(state.requested_at))
    }

    pub fn value(&self, peer: u64, key: &str) -> f64 {
        self.peers.get(&peer).and_then(|state| state.values.get(key)).copied().unwrap_or(0.0)
    }

    /// All counts of a planner, and its start number.
    pub fn values(&self, peer: u64) -> Option<(u64, &BTreeMap<String, f64>)> {
        self.peers.get(&peer).map(|state| (state.start, &state.values))
    }

    /// A count summed over the given members. A member out of contact for longer than `max_age` counts with at
    /// least 0 and at most `max_each`.
    pub fn estimate(
        &self,
        now: Moment,
        key: &str,
        members: &[u64],
        max_age: Span,
        max_each: Option<f64>,
    ) -> CountEstimate {
        let is_fresh =
            |id: &&u64| self.peers.get(id).is_some_and(|state| now.since(state.requested_at) <= max_age);
        let fresh: Vec<&PeerState> =
            members.iter().filter(is_fresh).filter_map(|id| self.peers.get(id)).collect();
        let at = fresh.iter().map(|state| state.requested_at).min().unwrap_or(now);
        let missing_peers = members.len() - fresh.len();
        let mut estimate =
            CountEstimate { value: 0.0, age: now.since(at), min: 0.0, max: Some(0.0), missing_peers };
        for state in fresh {
            let value = state.values.get(key).copied().unwrap_or(0.0);
            let (min, max) = state.range_at(key, value, at);
            estimate.value += value;
            estimate.min += min;
            estimate.max = estimate.max.zip(max).map(|(sum, max)| sum + max);
        }
        for id in members.iter().filter(|id| !is_fresh(id)) {
            // The last known value serves as the guess; the interval does not rely on it.
            estimate.value += self.value(*id, key);
            estimate.max = estimate.max.zip(max_each).map(|(sum, max_each)| sum + max_each);
        }
        estimate
    }
}

impl PeerState {
    /// The range of a count at a time, over all windows that may cover it.
    fn range_at(&self, key: &str, value: f64, at: Moment) -> (f64, Option<f64>) {
        let covered_from = self.windows.front().map_or(self.received_at, |window| window.certain_from);
        if at < covered_from {
            // Nothing is known before the first report.
            return (0.0, None);
        }
        // A count that did not change in a window has its later value there: follow it back from now.
        let (mut min, mut max, mut later_range) = (f64::INFINITY, f64::NEG_INFINITY, (value, value));
        for window in self.windows.iter().rev() {
            let range = window.ranges.get(key).copied().unwrap_or(later_range);
            if window.earliest <= at && at <= window.latest {
                (min, max) = (min.min(range.0), max.max(range.1));
            }
            if window.latest < at {
                break;
            }
            // Earlier windows end within the bounds of this one.
            later_range = range;
        }
        if min > max {
            (min, max) = later_range;
        }
        (min, Some(max))
    }
}
