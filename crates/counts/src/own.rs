//! A planner's own counts, and the windows since what each other planner has.

use crate::{CountEntry, CountReport, ReportRequest, MAX_KEYS, MAX_PEERS};
use std::collections::BTreeMap;

/// Least and most of counts that changed.
type Window = BTreeMap<String, (f64, f64)>;

/// What one other planner has, and what was sent to it last.
#[derive(Clone, Debug, Default)]
struct Receiver {
    has: u64,
    since_had: Window,
    sent: u64,
    since_sent: Window,
}

#[derive(Clone, Debug)]
pub struct LocalCounts {
    start: u64,
    values: BTreeMap<String, f64>,
    receivers: BTreeMap<u64, Receiver>,
    number: u64,
    /// Counts that found no room.
    pub omitted_keys: u64,
}

impl LocalCounts {
    pub fn new(start: u64) -> LocalCounts {
        LocalCounts { start, values: BTreeMap::new(), receivers: BTreeMap::new(), number: 0, omitted_keys: 0 }
    }

    pub fn value(&self, key: &str) -> f64 {
        self.values.get(key).copied().unwrap_or(0.0)
    }

    pub fn values(&self) -> &BTreeMap<String, f64> {
        &self.values
    }

    /// A count is this from now on. What is no number is not taken.
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
        for receiver in self.receivers.values_mut() {
            for window in [&mut receiver.since_had, &mut receiver.since_sent] {
                let (least, most) = window.entry(key.into()).or_insert((before, before));
                (*least, *most) = (least.min(value), most.max(value));
            }
        }
    }

    /// Counts of this kind that are no longer told of go to nothing, and are forgotten once all have heard so.
    pub fn set_group(&mut self, prefix: &str, keys: &BTreeMap<String, f64>) {
        let gone: Vec<String> = self
            .values
            .keys()
            .filter(|key| key.starts_with(prefix) && !keys.contains_key(*key))
            .cloned()
            .collect();
        gone.iter().for_each(|key| self.set(key, 0.0));
        keys.iter().for_each(|(key, value)| self.set(key, *value));
        let open = |key: &String| self.receivers.values().any(|r| r.since_had.contains_key(key));
        let done: Vec<String> = gone.into_iter().filter(|key| !open(key)).collect();
        self.values.retain(|key, _| !done.contains(key));
    }

    /// Whoever no longer belongs is told nothing any more.
    pub fn set_members(&mut self, belong: &[u64]) {
        self.receivers.retain(|id, _| belong.contains(id));
    }

    /// A part for one that asks. None: too many ask.
    pub fn make_report(&mut self, to: u64, has: ReportRequest) -> Option<CountReport> {
        if !self.receivers.contains_key(&to) && self.receivers.len() >= MAX_PEERS {
            return None;
        }
        self.number += 1;
        let receiver = self.receivers.entry(to).or_default();
        let ours = has.start == self.start && has.last_sequence > 0;
        if ours && has.last_sequence == receiver.sent {
            receiver.has = receiver.sent;
            receiver.since_had = std::mem::take(&mut receiver.since_sent);
        } else if !ours || has.last_sequence != receiver.has {
            // It has nothing that we remember: it begins with the whole.
            (receiver.has, receiver.since_had) = (0, Window::new());
        }
        let row = |key: &String, value: f64, window: Option<&(f64, f64)>| {
            let (least, most) = window.copied().unwrap_or((value, value));
            CountEntry { key: key.clone(), value, min: least, max: most }
        };
        let rows = match receiver.has {
            0 => self.values.iter().map(|(key, value)| row(key, *value, None)).collect(),
            _ => {
                let value = |key: &String| self.values.get(key).copied().unwrap_or(0.0);
                receiver.since_had.iter().map(|(key, window)| row(key, value(key), Some(window))).collect()
            }
        };
        (receiver.sent, receiver.since_sent) = (self.number, Window::new());
        Some(CountReport {
            token: has.token,
            start: self.start,
            sequence: self.number,
            base_sequence: receiver.has,
            entries: rows,
        })
    }
}
