//! Smooth weighted round robin: any sequence of picks is distributed by weight to within one pick per line.
//!
//! Each line has a virtual time of its next pick; the earliest line is picked and its time advanced by one over its
//! weight. A new line starts at a random time within its first interval: without that all proxies picked the same
//! server first whenever a table changed.

use std::collections::{BTreeMap, HashMap};

#[derive(Clone, Debug, Default)]
pub struct WeightedPicker {
    next_picks: HashMap<String, f64>,
    now: f64,
}

impl WeightedPicker {
    /// Updates the lines after a change of the table; remaining lines keep their next pick.
    pub fn update(&mut self, lines: &BTreeMap<String, f64>, rng: &mut fastrand::Rng) {
        self.next_picks.retain(|server, _| lines.contains_key(server));
        for (server, weight) in lines {
            let interval = 1.0 / weight;
            let next_pick =
                self.next_picks.entry(server.clone()).or_insert_with(|| self.now + rng.f64() * interval);
            // A higher weight brings the next pick closer.
            *next_pick = next_pick.min(self.now + interval);
        }
    }

    /// Picks the next line among those allowed. A skipped line keeps its turn, but accumulates at most one.
    pub fn pick(&mut self, lines: &BTreeMap<String, f64>, allowed: impl Fn(&str) -> bool) -> Option<String> {
        let next = |server: &str| self.next_picks.get(server).copied().unwrap_or(self.now);
        let candidates = lines.iter().filter(|line| allowed(line.0));
        let (server, weight) = candidates.min_by(|a, b| next(a.0).total_cmp(&next(b.0)))?;
        let next_pick = next(server);
        self.now = self.now.max(next_pick);
        self.next_picks.insert(server.clone(), next_pick.max(self.now - 1.0 / weight) + 1.0 / weight);
        Some(server.clone())
    }
}

/// Admits a fraction of the calls, evenly spaced: at 0.3, three of ten and not three in a row.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdmissionLevel {
    credit: f64,
}

impl AdmissionLevel {
    pub fn admits(&mut self, level: f64) -> bool {
        if level >= 1.0 {
            return true;
        }
        self.credit = (self.credit + level.max(0.0)).min(1.0 + level);
        let admits = self.credit >= 1.0;
        if admits {
            self.credit -= 1.0;
        }
        admits
    }
}
