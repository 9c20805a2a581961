//! What other planners observed of servers: evidence with a sample size and an age, not a verdict. No I/O and no clock.
//!
//! It may do two things: request a probe of a server, and reduce the server's weight within limits. Only the decision module
//! excludes servers, when probes confirm what the sums of its own proxies suggest.
//!
//! | own proxies report | others report | effect |
//! | --- | --- | --- |
//! | enough tries, mostly answered | anything | none: our own observations take precedence |
//! | few tries | many tries, most dropped | weight reduced, probe requested |
//! | few tries | few tries, or most answered | none |
//!
//! Limits: at most `MAX_SERVER_REDUCTION` of a server's weight and `MAX_ZONE_REDUCTION` of a zone's, starting with the worst
//! servers; observations lose half their weight every `HALF_LIFE`. A planner that finds more than `UNRELIABLE_RATIO` of its
//! servers failing while we do not has a network problem of its own: its reports count `UNRELIABLE_CREDIT`. At most
//! `MAX_OBSERVATIONS` rows are kept per planner, those with the most drops first.
#![forbid(unsafe_code)]

use pewtergap_time::{Moment, Span};
use std::collections::BTreeMap;

/// The largest fraction by which reports of others may reduce the weight of one server, and of all servers of
/// a zone together.
pub const MAX_SERVER_REDUCTION: f64 = 0.5;
pub const MAX_ZONE_REDUCTION: f64 = 0.15;
const HALF_LIFE: Span = Span::millis(4_000);
/// The tries needed for a judgement, the dropped fraction from which a server is failing, and the one up to
/// which it is healthy.
const MIN_TRIES: f64 = 12.0;
const FAILING_RATIO: f64 = 0.5;
const HEALTHY_RATIO: f64 = 0.2;
/// A planner whose fraction of failing servers is higher has a network problem of its own.
const UNRELIABLE_RATIO: f64 = 0.4;
const UNRELIABLE_CREDIT: f64 = 0.1;
/// Reductions are rounded down to multiples of this.
const REDUCTION_STEP: f64 = 0.125;
/// Limits on the probes requested by one evaluation and the rows kept per planner.
pub const MAX_PROBES: usize = 4;
pub const MAX_OBSERVATIONS: usize = 256;
/// Servers for which our own sums are kept.
const MAX_LOCAL_SERVERS: usize = 16_384;

/// What one planner recently observed of one server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerObservation {
    pub server: String,
    pub tries: f64,
    pub dropped: f64,
    pub age: Span,
}

/// A planner's whole report: the servers that look bad, and how many it tried.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerReport {
    pub start: u64,
    pub sequence: u64,
    pub observations: Vec<ServerObservation>,
    /// Servers with enough tries for a judgement, and how many of them are failing.
    pub servers_tried: u64,
    pub servers_bad: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct DecayedCounts {
    tries: f64,
    dropped: f64,
    updated_at: Moment,
}

impl DecayedCounts {
    fn decayed(&self, now: Moment) -> (f64, f64) {
        let left = 0.5f64.powf(now.since(self.updated_at).seconds() / HALF_LIFE.seconds());
        (self.tries * left, self.dropped * left)
    }

    fn add(&mut self, now: Moment, tries: f64, dropped: f64) {
        let before = self.decayed(now);
        *self = DecayedCounts { tries: before.0 + tries, dropped: before.1 + dropped, updated_at: now };
    }
}

#[derive(Clone, Debug, Default)]
struct Peer {
    start: u64,
    sequence: u64,
    is_unreliable: bool,
    servers: BTreeMap<String, DecayedCounts>,
}

/// What to do per server: the fraction by which to reduce its weight (0 restores it), and the servers to
/// probe.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Recommendations {
    pub weight_reductions: Vec<(String, f64)>,
    pub probe: Vec<String>,
}

#[derive(Clone, Debug, Default)]
pub struct Evidence {
    start: u64,
    sequence: u64,
    local: BTreeMap<String, DecayedCounts>,
    peers: BTreeMap<u64, Peer>,
    weight_reductions: BTreeMap<String, f64>,
    probed_at: BTreeMap<String, Moment>,
    /// Reports that were outdated or repeated, and rows with invalid numbers.
    pub rejected: u64,
}

fn failing_verdict((tries, dropped): (f64, f64)) -> Option<bool> {
    (tries >= MIN_TRIES).then_some(dropped >= FAILING_RATIO * tries)
}

impl Evidence {
    pub fn new(start: u64) -> Evidence {
        Evidence { start, ..Evidence::default() }
    }

    /// The tries of our own proxies at a server.
    pub fn record_tries(&mut self, now: Moment, server: &str, tries: f64, dropped: f64) {
        if !self.local.contains_key(server) && self.local.len() >= MAX_LOCAL_SERVERS {
            return;
        }
        let new = DecayedCounts { updated_at: now, ..DecayedCounts::default() };
        self.local.entry(server.into()).or_insert(new).add(now, tries, dropped);
    }

    fn failing_counts(&self, now: Moment) -> (u64, u64) {
        let verdicts = self.local.values().filter_map(|sum| failing_verdict(sum.decayed(now)));
        verdicts.fold((0, 0), |(judged, failing), is_failing| (judged + 1, failing + u64::from(is_failing)))
    }

    /// The report for the other planners: only the failing servers, those with the most drops first.
    pub fn make_report(&mut self, now: Moment) -> PeerReport {
        self.local.retain(|_, sum| sum.decayed(now).0 >= 0.5);
        self.sequence += 1;
        let (servers_tried, servers_bad) = self.failing_counts(now);
        let mut observations: Vec<ServerObservation> = self
            .local
            .iter()
            .map(|(server, sum)| (server, sum.decayed(now)))
            .filter(|(_, sum)| failing_verdict(*sum) == Some(true))
            .map(|(server, (tries, dropped))| ServerObservation {
                server: server.clone(),
                tries,
                dropped,
                age: Span(0),
            })
            .collect();
        observations.sort_by(|a, b| b.dropped.total_cmp(&a.dropped));
        observations.truncate(MAX_OBSERVATIONS);
        PeerReport { start: self.start, sequence: self.sequence, observations, servers_tried, servers_bad }
    }

    /// A newer report replaces the planner's earlier one; older ones change nothing.
    pub fn receive_report(&mut self, now: Moment, from: u64, report: &PeerReport) -> bool {
        let last_known = self.peers.get(&from).map(|peer| (peer.start, peer.sequence));
        if last_known.is_some_and(|last_known| (report.start, report.sequence) <= last_known) {
            self.rejected += 1;
            return false;
        }
        let mut peer = Peer { start: report.start, sequence: report.sequence, ..Peer::default() };
        peer.is_unreliable = report.servers_bad as f64
            > UNRELIABLE_RATIO * report.servers_tried.max(1) as f64
            && report.servers_bad > 1;
        for observation in report.observations.iter().take(MAX_OBSERVATIONS) {
            let is_finite = observation.tries.is_finite() && observation.dropped.is_finite();
            if !is_finite || observation.dropped < 0.0 || observation.dropped > observation.tries {
                self.rejected += 1;
                continue;
            }
            let observed_at = now - observation.age;
            peer.servers.insert(
                observation.server.clone(),
                DecayedCounts {
                    tries: observation.tries,
                    dropped: observation.dropped,
                    updated_at: observed_at,
                },
            );
        }
        self.peers.insert(from, peer);
        true
    }

    /// Drops the reports of planners that are no longer members.
    pub fn set_members(&mut self, members: &[u64]) {
        self.peers.retain(|id, _| members.contains(id));
    }

    /// What follows from all reports now. `zone`: a server's zone and weight, or `None` if it is not listed.
    pub fn evaluate(
        &mut self,
        now: Moment,
        zone: impl Fn(&str) -> Option<(String, f64)>,
        zones: &BTreeMap<String, f64>,
    ) -> Recommendations {
        let (judged, failing) = self.failing_counts(now);
        let few_failing_here = failing as f64 <= UNRELIABLE_RATIO * judged.max(1) as f64;
        let mut sums: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
        for peer in self.peers.values() {
            // It reports nearly all servers failing and we do not see that: its own network path is broken.
            let credit = if peer.is_unreliable && few_failing_here { UNRELIABLE_CREDIT } else { 1.0 };
            for (server, sum) in &peer.servers {
                let (tries, dropped) = sum.decayed(now);
                let all = sums.entry(server).or_default();
                *all = (all.0 + credit * tries, all.1 + credit * dropped);
            }
        }
        let mut candidates: Vec<(String, String, f64, f64)> = Vec::new();
        for (server, sum) in sums {
            let local = self.local.get(server).map_or((0.0, 0.0), |local| local.decayed(now));
            let healthy_here = local.0 >= MIN_TRIES && local.1 <= HEALTHY_RATIO * local.0;
            let Some((zone, weight)) =
                zone(server).filter(|_| failing_verdict(sum) == Some(true) && !healthy_here)
            else {
                continue;
            };
            // Confidence grows with the sample: at MIN_TRIES half of the largest reduction.
            let confidence = sum.0 / (sum.0 + MIN_TRIES);
            candidates.push((server.into(), zone, weight, MAX_SERVER_REDUCTION * confidence * sum.1 / sum.0));
        }
        candidates.sort_by(|a, b| b.3.total_cmp(&a.3).then(a.0.cmp(&b.0)));
        let mut zone_budget: BTreeMap<&String, f64> =
            zones.iter().map(|(zone, all)| (zone, MAX_ZONE_REDUCTION * all)).collect();
        let mut reductions: BTreeMap<String, f64> = BTreeMap::new();
        for (server, zone, weight, reduction) in &candidates {
            let Some(remaining) = zone_budget.get_mut(zone) else { continue };
            let reduction = reduction.min(*remaining / weight.max(1e-9));
            *remaining -= reduction * weight;
            // Rounded, because decaying sums would otherwise change the weight at each evaluation.
            let reduction = (reduction / REDUCTION_STEP).floor() * REDUCTION_STEP;
            if reduction > 0.0 {
                reductions.insert(server.clone(), reduction);
            }
        }
        let mut recommendations = Recommendations::default();
        let ended: Vec<String> = self
            .weight_reductions
            .keys()
            .filter(|server| !reductions.contains_key(*server))
            .cloned()
            .collect();
        recommendations.weight_reductions.extend(ended.into_iter().map(|server| (server, 0.0)));
        for (server, reduction) in &reductions {
            if self.weight_reductions.get(server) != Some(reduction) {
                recommendations.weight_reductions.push((server.clone(), *reduction));
            }
        }
        for (server, reduction) in &recommendations.weight_reductions {
            match *reduction {
                0.0 => drop(self.weight_reductions.remove(server)),
                reduction => drop(self.weight_reductions.insert(server.clone(), reduction)),
            }
        }
        self.probed_at.retain(|_, at| now.since(*at) < HALF_LIFE);
        for (server, ..) in candidates.iter().take(MAX_PROBES) {
            if !self.probed_at.contains_key(server) {
                self.probed_at.insert(server.clone(), now);
                recommendations.probe.push(server.clone());
            }
        }
        recommendations
    }

    /// The reductions in effect.
    pub fn weight_reductions(&self) -> &BTreeMap<String, f64> {
        &self.weight_reductions
    }

    /// Planners whose own network path is considered broken.
    pub fn unreliable_peers(&self) -> usize {
        self.peers.values().filter(|peer| peer.is_unreliable).count()
    }
}
