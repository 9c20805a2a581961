//! Subsets of the servers: how many lines a table may have, which proxies use which subset, and whether proxies of other
//! planners have joined this one.

use crate::cold_servers::Target;
use crate::decide::WARMUP_SHARES;
use crate::time::{Moment, Span};
use crate::types::*;
use std::collections::BTreeMap;

/// Limits on the number of lines in a table: the time in which the channel can send all tables again, the
/// fraction of a server's connections that all proxies together may hold, and the calls on a line within
/// the lifetime of an idle connection.
const REDISTRIBUTION_TIME: Span = Span::millis(1_800);
const MAX_CONNECTION_SHARE: f64 = 0.3;
const CALLS_PER_KEEP_ALIVE: f64 = 2.5;
const MIN_SUBSET_WIDTH: f64 = 8.0;
/// Proxies per subset of servers, subsets per server, and the multiple of the mean demand above which a
/// proxy uses all servers.
const PROXIES_PER_SUBSET: usize = 8;
const SUBSETS_PER_SERVER: f64 = 4.0;
const HEAVY_DEMAND_FACTOR: f64 = 4.0;
/// Fraction of its intended subsets below which a server is added to more. The tolerance keeps a deployment
/// from rewriting many tables twice.
const MIN_MEMBERSHIP_SHARE: f64 = 0.7;
/// Multiples of the usual number of joined proxies, and of an equal share of all proxies, above which the
/// channel may have to send tables to all proxies. Zones with few planners have more than an equal share.
const CROWDED_FACTORS: (f64, f64) = (1.2, 1.8);
/// Fraction of the proxies of a crowded planner that have just joined from which they count as a rush.
const RUSH_SHARE: f64 = 0.1;

impl Planner {
    fn subset_width(&self, planners: usize) -> usize {
        let servers = self.state.servers.iter().filter(|s| s.state == ServerState::InService).count();
        let proxies = self.fleet.proxies.max(1) as f64;
        let lines = REDISTRIBUTION_TIME.seconds() * self.channel.lines_per_s;
        let by_channel = lines * planners.max(1) as f64 / proxies - self.channel.message_overhead;
        let by_connections =
            MAX_CONNECTION_SHARE * self.fleet.min_server_connections * servers as f64 / proxies;
        let by_keep_alive =
            self.fleet.keep_alive.seconds() * self.state.mean_demand.max(1.0) / CALLS_PER_KEEP_ALIVE;
        by_channel.min(by_connections).min(by_keep_alive).clamp(MIN_SUBSET_WIDTH, 1e6) as usize
    }

    /// Whether proxies of other planners have joined this one, as when those have been killed.
    fn is_crowded(&self) -> bool {
        let joined = self.state.proxies.iter().filter(|p| p.joined).count() as f64;
        if self.fleet.planners <= 1 {
            return false;
        }
        let part = self.fleet.proxies as f64 / self.fleet.planners as f64;
        let beyond_usual = |usual: f64| joined > CROWDED_FACTORS.0 * usual;
        self.state.usual_joined.is_some_and(beyond_usual) || joined > CROWDED_FACTORS.1 * part
    }

    /// Whether proxies are joining in number: those of other planners, or after a cut more than have room beside
    /// ordinary lines. The channel then carries their tables and removals alone.
    pub(crate) fn is_rushed(&self, now: Moment) -> bool {
        let is_recent = |at: Moment| now.since(at) < self.contract.drain_grace;
        if !self.state.last_join.is_some_and(is_recent) {
            return false;
        }
        let joined = self.state.proxies.iter().filter(|proxy| proxy.joined);
        let recent = joined.clone().filter(|proxy| proxy.joined_at.is_some_and(is_recent));
        let table_lines = |proxy: &Proxy| {
            let table = self.state.table_of(proxy).map_or(0, |table| self.state.tables[table].lines.len());
            table as f64 + self.channel.message_overhead + 2.0
        };
        // Single streams that break and come back must not hold up ordinary lines for good.
        let many = recent.clone().count() as f64 >= RUSH_SHARE * joined.count() as f64;
        let joining_lines: f64 = recent.map(table_lines).sum();
        many && self.is_crowded() || joining_lines > self.queue_limits(self.channel.lines_per_s)[0]
    }

    /// Whether a subset was made narrower than usual, for proxies of other planners.
    pub(crate) fn is_narrow(&self, subset: &Subset) -> bool {
        subset.crowded && !subset.full
    }

    /// Assigns each proxy to a subset of the servers, and servers to the subsets. Subsets contain all
    /// servers unless that makes tables too wide. Otherwise light proxies go to overlapping subsets, and
    /// each server is in as many of them as its weight requires. This is harmful when a subset loses most
    /// of its servers at once: its proxies crowd onto the rest until the next plan. If proxies of other
    /// planners have joined this one, those that hold no table yet go to narrower subsets: with subsets of
    /// the usual width, removals waited in the channel beyond their grace period.
    pub(crate) fn assign_subsets(&mut self, now: Moment, targets: &[Target]) {
        let widths = self
            .state
            .subset_widths
            .unwrap_or([self.fleet.planners, 1].map(|sharing_planners| self.subset_width(sharing_planners)));
        self.state.subset_widths = Some(widths);
        let mut subset_demand = self.state.subset_demand(|proxy| self.demand(proxy));
        let crowded = self.is_crowded();
        let kind = usize::from(crowded);
        let (width, sharing_planners) = (widths[kind], [self.fleet.planners, 1][kind]);
        let heavy_demand = [HEAVY_DEMAND_FACTOR, PROXIES_PER_SUBSET as f64][kind] * self.state.mean_demand;
        let other_kind = |subset: usize| self.state.subsets[subset].crowded != crowded;
        let unassigned = |p: &Proxy| {
            p.joined && p.subset.is_none_or(|subset| p.current_table.is_none() && other_kind(subset))
        };
        let newcomers = (0..self.state.proxies.len()).filter(|at| unassigned(&self.state.proxies[*at]));
        for at in newcomers.collect::<Vec<ProxyIndex>>() {
            let proxy = &self.state.proxies[at];
            let (target_index, demand) = (proxy.zone.min(targets.len() - 1), self.demand(proxy));
            let same_kind =
                |subset: &Subset| (subset.target_index, subset.crowded) == (target_index, crowded);
            if !self.state.subsets.iter().any(same_kind) {
                let lines = targets[target_index].lines.len();
                let max_count = (SUBSETS_PER_SERVER * lines as f64 / width as f64).ceil() as usize;
                let min_count = [1, lines / width][kind];
                let shared_count =
                    self.fleet.proxies / sharing_planners.max(targets.len()) / PROXIES_PER_SUBSET;
                let narrow_count =
                    if width * 4 / 3 < lines { shared_count.clamp(min_count, max_count) } else { 0 };
                let subsets = (0..=narrow_count).map(|at| Subset {
                    target_index,
                    full: at == 0,
                    width,
                    crowded,
                    ..Subset::default()
                });
                self.state.subsets.extend(subsets);
                subset_demand.resize(self.state.subsets.len(), (0, 0.0));
            }
            let mismatched = |at: usize| self.state.subsets[at].full != (demand > heavy_demand);
            let candidates = (0..subset_demand.len()).filter(|at| same_kind(&self.state.subsets[*at]));
            let by_demand = |a: &usize, b: &usize| subset_demand[*a].1.total_cmp(&subset_demand[*b].1);
            let subset = candidates.min_by(|a, b| mismatched(*a).cmp(&mismatched(*b)).then(by_demand(a, b)));
            subset.iter().for_each(|subset| subset_demand[*subset].1 += demand);
            self.state.proxies[at].subset = subset;
        }
        for (kind, width) in widths.into_iter().enumerate() {
            for (target_index, target) in targets.iter().enumerate() {
                self.seat_servers(now, target_index, target, kind == 1, width);
            }
        }
    }

    /// Assigns the servers of a target to its subsets of one kind, each to as many as its weight requires.
    fn seat_servers(
        &mut self,
        now: Moment,
        target_index: usize,
        target: &Target,
        crowded: bool,
        width: usize,
    ) {
        let warm_weight = |line: &WeightedServer| line.1 / WARMUP_SHARES[self.warmup_step(now, line.0)];
        let warm_weights: BTreeMap<ServerIndex, f64> =
            target.lines.iter().map(|line| (line.0, warm_weight(line))).collect();
        let total_weight: f64 = warm_weights.values().sum();
        let warm_servers: Vec<ServerIndex> = self.required_warm_servers(now, target);
        let same_kind = |subset: &&mut Subset| {
            (subset.target_index, subset.crowded, subset.full) == (target_index, crowded, false)
        };
        let mut subsets: Vec<&mut Subset> = self.state.subsets.iter_mut().filter(same_kind).collect();
        subsets.iter_mut().for_each(|subset| subset.servers.retain(|at| warm_weights.contains_key(at)));
        let count = subsets.len() as f64;
        for (at, share) in &warm_weights {
            let wanted = (share / total_weight * count * width as f64).round().clamp(1.0, count.max(1.0));
            let mut memberships = subsets.iter().filter(|subset| subset.servers.contains(at)).count() as f64;
            while memberships < wanted * MIN_MEMBERSHIP_SHARE {
                self.rng.shuffle(&mut subsets);
                let candidates = subsets.iter_mut().filter(|subset| !subset.servers.contains(at));
                let Some(subset) = candidates.min_by_key(|subset| subset.servers.len()) else { break };
                subset.servers.insert(*at);
                memberships += 1.0;
            }
        }
        // A subset without any of these servers gets a few. One of only cold servers used to get all lines
        // of its target, which filled the channel during deployments.
        let count_memberships =
            |at: ServerIndex| subsets.iter().filter(|subset| subset.servers.contains(&at)).count();
        let mut memberships: Vec<(usize, ServerIndex)> =
            warm_servers.iter().map(|at| (count_memberships(*at), *at)).collect();
        for subset in
            subsets.into_iter().filter(|subset| !warm_servers.iter().any(|at| subset.servers.contains(at)))
        {
            memberships.sort();
            for (membership, at) in memberships.iter_mut().take(SUBSETS_PER_SERVER as usize) {
                *membership += 1;
                subset.servers.insert(*at);
            }
        }
    }

    /// Warm servers of which each subset needs some: with zone-bound calls those of the zone, if it has any.
    fn required_warm_servers(&self, now: Moment, target: &Target) -> Vec<ServerIndex> {
        let servers = target.lines.iter().map(|line| line.0);
        let warm: Vec<ServerIndex> = servers.filter(|at| self.is_warm(now, *at)).collect();
        let in_zone = |at: &ServerIndex| target.bound_zone == Some(self.state.servers[*at].zone);
        let of_zone: Vec<ServerIndex> = warm.iter().copied().filter(in_zone).collect();
        if of_zone.is_empty() {
            warm
        } else {
            of_zone
        }
    }
}
