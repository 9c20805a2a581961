//! Picking evenly by weight: each line is taken in its turn, so that any stretch of picks is split by weight
//! to within one pick a line.
//!
//! Each line has the time of its next turn; the earliest is taken and put off by one over its weight. A line
//! that is new starts within its first turn at a place of the proxy's own chance: without that all proxies
//! picked the same server first whenever a table changed.

use std::collections::{BTreeMap, HashMap};

#[derive(Clone, Debug, Default)]
pub struct Picks {
    turns: HashMap<String, f64>,
    now: f64,
}

impl Picks {
    /// The table changed: lines keep their turns as far as they stay, by the weights they had.
    pub fn follow(&mut self, lines: &BTreeMap<String, f64>, rng: &mut fastrand::Rng) {
        self.turns.retain(|server, _| lines.contains_key(server));
        for (server, weight) in lines {
            let step = 1.0 / weight;
            let turn = self.turns.entry(server.clone()).or_insert_with(|| self.now + rng.f64() * step);
            // A heavier weight brings the next turn closer.
            *turn = turn.min(self.now + step);
        }
    }

    /// The line whose turn it is, among those allowed. One passed over keeps its turn, but does not save up
    /// more than one.
    pub fn pick(&mut self, lines: &BTreeMap<String, f64>, allowed: impl Fn(&str) -> bool) -> Option<String> {
        let next = |server: &str| self.turns.get(server).copied().unwrap_or(self.now);
        let open = lines.iter().filter(|line| allowed(line.0));
        let (server, weight) = open.min_by(|a, b| next(a.0).total_cmp(&next(b.0)))?;
        let turn = next(server);
        self.now = self.now.max(turn);
        self.turns.insert(server.clone(), turn.max(self.now - 1.0 / weight) + 1.0 / weight);
        Some(server.clone())
    }
}

/// Lets in a part of the calls, evenly: of ten at 0.3, three, and not three in a row.
#[derive(Clone, Copy, Debug, Default)]
pub struct Level {
    saved: f64,
}

impl Level {
    pub fn admits(&mut self, level: f64) -> bool {
        if level >= 1.0 {
            return true;
        }
        self.saved = (self.saved + level.max(0.0)).min(1.0 + level);
        let admits = self.saved >= 1.0;
        if admits {
            self.saved -= 1.0;
        }
        admits
    }
}
