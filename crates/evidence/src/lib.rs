//! What other planners saw of servers: evidence with size and age, never a verdict. No I/O and no clock.
//!
//! It may do two things: have a server asked how it is, and lighten its weight within bounds. Shutting a server out stays with
//! the module, which does so when probes confirm what its own proxies' sums suggest.
//!
//! | own proxies say | others say | effect |
//! | --- | --- | --- |
//! | enough, and good | anything | none: what we see ourselves goes first |
//! | little | many tries, most dropped | lighter, and asked |
//! | little | few tries, or most answered | none |
//!
//! Bounds, by arithmetic: `LIGHTER` of one server's weight, `OF_A_ZONE` of a zone's, the worst first; what was seen halves with
//! each `HALVES`. A planner that finds more than `BROKEN` of what it tries to be bad, while we don't, has a broken network
//! rather than bad servers around it: it counts `DOUBTED`. What is kept: `MOST_SEEN` rows a planner, oldest out first.
#![forbid(unsafe_code)]

use pewtergap_time::{Moment, Span};
use std::collections::BTreeMap;

/// A server loses so much of its weight by hearsay, and a zone so much of all its servers' together.
pub const MAX_SERVER_REDUCTION: f64 = 0.5;
pub const MAX_ZONE_REDUCTION: f64 = 0.15;
const HALVES: Span = Span::millis(4_000);
/// Tries that say something, and the part of them dropped from which a server is held for bad.
const ENOUGH: f64 = 12.0;
const BAD: f64 = 0.5;
const GOOD: f64 = 0.2;
/// Servers that are bad, of those somebody tries: beyond it its own way is broken.
const BROKEN: f64 = 0.4;
const DOUBTED: f64 = 0.1;
/// Weights are lightened by steps.
const STEP: f64 = 0.125;
/// Servers asked about by hearsay within a look, and rows kept of one planner.
pub const MAX_PROBES: usize = 4;
pub const MAX_OBSERVATIONS: usize = 256;
/// Servers that our own sums are kept of.
const MOST_OWN: usize = 16_384;

/// What one planner saw of one server, lately.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerObservation {
    pub server: String,
    pub tries: f64,
    pub dropped: f64,
    pub age: Span,
}

/// All that a planner tells at once: what it saw of servers that look bad, and what these are among.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerReport {
    pub start: u64,
    pub sequence: u64,
    pub observations: Vec<ServerObservation>,
    /// Servers it tried enough to say something, and those of them that are bad.
    pub servers_tried: u64,
    pub servers_bad: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    tries: f64,
    dropped: f64,
    at: Moment,
}

impl Sum {
    fn now(&self, now: Moment) -> (f64, f64) {
        let left = 0.5f64.powf(now.since(self.at).seconds() / HALVES.seconds());
        (self.tries * left, self.dropped * left)
    }

    fn add(&mut self, now: Moment, tries: f64, dropped: f64) {
        let before = self.now(now);
        *self = Sum { tries: before.0 + tries, dropped: before.1 + dropped, at: now };
    }
}

#[derive(Clone, Debug, Default)]
struct Teller {
    start: u64,
    number: u64,
    broken: bool,
    rows: BTreeMap<String, Sum>,
}

/// What is to be done now, by server: lighter by which part, 0 again to what it was; and whom to ask.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Recommendations {
    pub weight_reductions: Vec<(String, f64)>,
    pub probe: Vec<String>,
}

#[derive(Clone, Debug, Default)]
pub struct Evidence {
    start: u64,
    number: u64,
    own: BTreeMap<String, Sum>,
    tellers: BTreeMap<u64, Teller>,
    weight_reductions: BTreeMap<String, f64>,
    asked: BTreeMap<String, Moment>,
    /// Rows of others that were old, repeated or no numbers.
    pub rejected: u64,
}

fn judged((tries, dropped): (f64, f64)) -> Option<bool> {
    (tries >= ENOUGH).then_some(dropped >= BAD * tries)
}

impl Evidence {
    pub fn new(start: u64) -> Evidence {
        Evidence { start, ..Evidence::default() }
    }

    /// What proxies here met at a server.
    pub fn record_tries(&mut self, now: Moment, server: &str, tries: f64, dropped: f64) {
        if !self.own.contains_key(server) && self.own.len() >= MOST_OWN {
            return;
        }
        let new = Sum { at: now, ..Sum::default() };
        self.own.entry(server.into()).or_insert(new).add(now, tries, dropped);
    }

    fn bad_part(&self, now: Moment) -> (u64, u64) {
        let judged = self.own.values().filter_map(|sum| judged(sum.now(now)));
        judged.fold((0, 0), |(tried, bad), is_bad| (tried + 1, bad + u64::from(is_bad)))
    }

    /// What the others are told: only what looks bad, the worst first.
    pub fn make_report(&mut self, now: Moment) -> PeerReport {
        self.own.retain(|_, sum| sum.now(now).0 >= 0.5);
        self.number += 1;
        let (tried, bad) = self.bad_part(now);
        let mut seen: Vec<ServerObservation> = self
            .own
            .iter()
            .map(|(server, sum)| (server, sum.now(now)))
            .filter(|(_, sum)| judged(*sum) == Some(true))
            .map(|(server, (tries, dropped))| ServerObservation {
                server: server.clone(),
                tries,
                dropped,
                age: Span(0),
            })
            .collect();
        seen.sort_by(|a, b| b.dropped.total_cmp(&a.dropped));
        seen.truncate(MAX_OBSERVATIONS);
        PeerReport {
            start: self.start,
            sequence: self.number,
            observations: seen,
            servers_tried: tried,
            servers_bad: bad,
        }
    }

    /// What another tells takes the place of what it told before; older words change nothing.
    pub fn receive_report(&mut self, now: Moment, from: u64, told: &PeerReport) -> bool {
        let known = self.tellers.get(&from).map(|teller| (teller.start, teller.number));
        if known.is_some_and(|known| (told.start, told.sequence) <= known) {
            self.rejected += 1;
            return false;
        }
        let mut teller = Teller { start: told.start, number: told.sequence, ..Teller::default() };
        teller.broken =
            told.servers_bad as f64 > BROKEN * told.servers_tried.max(1) as f64 && told.servers_bad > 1;
        for seen in told.observations.iter().take(MAX_OBSERVATIONS) {
            let sound = seen.tries.is_finite() && seen.dropped.is_finite();
            if !sound || seen.dropped < 0.0 || seen.dropped > seen.tries {
                self.rejected += 1;
                continue;
            }
            let at = now - seen.age;
            teller.rows.insert(seen.server.clone(), Sum { tries: seen.tries, dropped: seen.dropped, at });
        }
        self.tellers.insert(from, teller);
        true
    }

    /// Only who belongs is believed.
    pub fn set_members(&mut self, belong: &[u64]) {
        self.tellers.retain(|id, _| belong.contains(id));
    }

    /// What of all this counts now. `zone`: where a server is and its weight, none: it is not listed.
    pub fn evaluate(
        &mut self,
        now: Moment,
        zone: impl Fn(&str) -> Option<(String, f64)>,
        zones: &BTreeMap<String, f64>,
    ) -> Recommendations {
        let (tried, bad) = self.bad_part(now);
        let fine_here = bad as f64 <= BROKEN * tried.max(1) as f64;
        let mut sums: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
        for teller in self.tellers.values() {
            // It says that nearly all are bad, and we do not find so: its own way is broken.
            let credit = if teller.broken && fine_here { DOUBTED } else { 1.0 };
            for (server, sum) in &teller.rows {
                let (tries, dropped) = sum.now(now);
                let all = sums.entry(server).or_default();
                *all = (all.0 + credit * tries, all.1 + credit * dropped);
            }
        }
        let mut heard: Vec<(String, String, f64, f64)> = Vec::new();
        for (server, sum) in sums {
            let own = self.own.get(server).map_or((0.0, 0.0), |own| own.now(now));
            let good_here = own.0 >= ENOUGH && own.1 <= GOOD * own.0;
            let Some((zone, weight)) = zone(server).filter(|_| judged(sum) == Some(true) && !good_here)
            else {
                continue;
            };
            // As sure as it is many: at ENOUGH tries half of what hearsay may take.
            let sure = sum.0 / (sum.0 + ENOUGH);
            heard.push((server.into(), zone, weight, MAX_SERVER_REDUCTION * sure * sum.1 / sum.0));
        }
        heard.sort_by(|a, b| b.3.total_cmp(&a.3).then(a.0.cmp(&b.0)));
        let mut left: BTreeMap<&String, f64> =
            zones.iter().map(|(zone, all)| (zone, MAX_ZONE_REDUCTION * all)).collect();
        let mut light: BTreeMap<String, f64> = BTreeMap::new();
        for (server, zone, weight, part) in &heard {
            let Some(room) = left.get_mut(zone) else { continue };
            let part = part.min(*room / weight.max(1e-9));
            *room -= part * weight;
            // By steps: what fades would be another weight at each look.
            let part = (part / STEP).floor() * STEP;
            if part > 0.0 {
                light.insert(server.clone(), part);
            }
        }
        let mut says = Recommendations::default();
        let gone: Vec<String> =
            self.weight_reductions.keys().filter(|server| !light.contains_key(*server)).cloned().collect();
        says.weight_reductions.extend(gone.into_iter().map(|server| (server, 0.0)));
        for (server, part) in &light {
            if self.weight_reductions.get(server) != Some(part) {
                says.weight_reductions.push((server.clone(), *part));
            }
        }
        for (server, part) in &says.weight_reductions {
            match *part {
                0.0 => drop(self.weight_reductions.remove(server)),
                part => drop(self.weight_reductions.insert(server.clone(), part)),
            }
        }
        self.asked.retain(|_, at| now.since(*at) < HALVES);
        for (server, ..) in heard.iter().take(MAX_PROBES) {
            if !self.asked.contains_key(server) {
                self.asked.insert(server.clone(), now);
                says.probe.push(server.clone());
            }
        }
        says
    }

    /// What is lighter now, and by how much.
    pub fn weight_reductions(&self) -> &BTreeMap<String, f64> {
        &self.weight_reductions
    }

    /// Tellers whose own way is held for broken.
    pub fn unreliable_peers(&self) -> usize {
        self.tellers.values().filter(|teller| teller.broken).count()
    }
}
