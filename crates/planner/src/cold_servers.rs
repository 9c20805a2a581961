//! Rule 4: all proxies together send a cold server no more than a safe fraction of the load that would overload it.

use crate::decide::{ADMISSION_LEVELS, BUSY_UTIL, STRIKES_TO_CONFIRM, WARMUP_SHARES};
use crate::time::Moment;
use crate::types::*;
use crate::weights::normalize;

/// Fraction of the load that would overload a cold server which it may be sent: with spare capacity, and in
/// a fully loaded fleet.
const COLD_LOAD_SHARES: (f64, f64) = (0.6, 0.33);
/// Seconds of work within the overload budget from which random arrivals average out. With a shorter
/// budget, less of it is used.
const SMOOTHING_SECONDS: f64 = 8.0;
/// Fraction of failing tries from which proxies that eject servers would concentrate their calls on cold
/// ones, and the factor by which the failing fraction estimates those calls.
const EJECTION_RISK: (f64, f64) = (0.2, 2.0);
/// Rounds in which the shares of cold servers approach their limits. The calls of zone-bound routes follow
/// the ratios within a zone, so that lowering one share raises others.
const ZONE_BOUND_ROUNDS: usize = 12;
/// Multiple of its limit above which a cold server counts as overloaded after these rounds.
const LIMIT_TOLERANCE: f64 = 1.05;
/// Weight with which warm servers enter a target that has none, before they take what its cold servers may
/// not be sent.
const INITIAL_WARM_WEIGHT: f64 = 1e-6;

/// Step of the warm-up at which a server is warm.
pub(crate) const WARM_STEP: usize = WARMUP_SHARES.len() - 1;

/// Weights that proxies of one kind should use, in order of the servers, and the demand that follows them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Target {
    pub lines: Vec<WeightedServer>,
    /// Calls per second, with those assumed at proxies of other planners.
    pub demand: f64,
    /// Calls per second of proxies that have joined this planner.
    pub joined_demand: f64,
    /// The zone within which the proxies' zone-bound calls stay, if there are such routes.
    pub bound_zone: Option<ZoneIndex>,
}

impl Planner {
    /// Fraction of the calls that may only go to servers in the proxy's zone. `None` if no calls have been
    /// reported yet.
    pub(crate) fn zone_bound_fraction(&self) -> Option<f64> {
        let calls = self.routes.iter().zip(&self.state.calls_by_route);
        let (bound, all) = calls.fold((0.0, 0.0), |(bound, all), (route, calls)| {
            (bound + if route.zone_bound { *calls } else { 0.0 }, all + calls)
        });
        (all > 0.0).then(|| bound / all)
    }

    pub(crate) fn is_warm(&self, now: Moment, at: ServerIndex) -> bool {
        self.warmup_step(now, at) == WARM_STEP
    }

    /// Enforces rule 4: all proxies together send a cold server a safe fraction of what it can certainly
    /// carry, and the warm servers get the rest. This is harmful when the load is low and few servers are
    /// warm.
    pub(crate) fn limit_cold_servers(&mut self, now: Moment, targets: &mut [Target]) {
        let limits = self.cold_limits(now, targets);
        let warm = self.warm_lines(now);
        let zone_bound = targets.iter().any(|target| target.bound_zone.is_some());
        // Lines of other zones would take zone-bound calls with them where proxies do not keep these.
        let may_add_warm = zone_bound || !self.has_zone_bound_routes();
        let mut only_cold = false;
        for _ in 0..if zone_bound { ZONE_BOUND_ROUNDS } else { 1 } {
            let planned = self.planned_shares(targets);
            let exceeds = |at: ServerIndex| limits[at].is_some_and(|limit| planned[at] > limit);
            let reduced = |at: ServerIndex| {
                limits[at].filter(|limit| planned[at] > *limit).map_or(1.0, |limit| limit / planned[at])
            };
            for target in targets.iter_mut() {
                let overloads = target.lines.iter().any(|line| exceeds(line.0));
                if overloads && may_add_warm && !target.lines.iter().any(|line| limits[line.0].is_none()) {
                    target.lines.extend(&warm);
                    target.lines.sort_by_key(|line| line.0);
                }
                only_cold |= !scale_cold_lines(&mut target.lines, &limits, reduced) && overloads;
            }
        }
        if zone_bound {
            self.withhold_overloaded(targets, &limits);
        }
        // No warm server is left to take the rest, as when the last ones drain. From now on the admission
        // levels enforce rule 4.
        self.state.level_step = if only_cold { ADMISSION_LEVELS.len() - 1 } else { self.state.level_step };
    }

    /// Lines for all warm servers in service.
    fn warm_lines(&self, now: Moment) -> Vec<WeightedServer> {
        let weights = self.usable_weights(now).into_iter().enumerate();
        let mut lines: Vec<WeightedServer> =
            weights.filter(|line| line.1 > 0.0 && self.is_warm(now, line.0)).collect();
        normalize(&mut lines);
        lines.iter_mut().for_each(|line| line.1 *= INITIAL_WARM_WEIGHT);
        lines
    }

    /// Fraction of the whole load that each cold server may be sent. `None` for warm servers.
    fn cold_limits(&self, now: Moment, targets: &[Target]) -> Vec<Option<f64>> {
        let total_demand: f64 = targets.iter().map(|target| target.demand).sum();
        let warmup: Vec<usize> = (0..self.state.servers.len()).map(|at| self.warmup_step(now, at)).collect();
        let cold = |at: ServerIndex| warmup[at] < WARM_STEP;
        // The total demand as server weight. The utilization of a full fleet does not tell it, but the cost
        // of calls under normal load does. A planner that restarted after a crash knows neither and assumes
        // twice the listed weight.
        let counts = |s: &&Server| !matches!(s.state, ServerState::Absent | ServerState::Unverified);
        let listed: f64 = self.state.servers.iter().filter(counts).map(|s| s.weight).sum();
        let demand_weight = self
            .state
            .weight_per_call
            .map_or(2.0 * listed, |weight_per_call| 1.2 * weight_per_call * total_demand);
        let saturated = self.state.level_step > 0
            || self.state.mean_util > BUSY_UTIL
            || self.state.weight_per_call.is_none();
        let smoothing = (self.contract.overload_factor * self.contract.overload_time.seconds()
            / SMOOTHING_SECONDS)
            .min(1.0)
            .powi(2);
        let capacity_fraction = |at: usize| {
            1.0 - (1.0 - self.contract.cold_capacity) * (1.0 - warmup[at] as f64 / WARM_STEP as f64)
        };
        let tolerated_weight =
            |at: usize| self.contract.overload_factor * capacity_fraction(at) * self.state.servers[at].weight;
        // Proxies that eject failing servers concentrate all calls on the last ones that answer, the cold
        // ones. Cold servers therefore wait until they could carry those calls, and while the fleet is
        // overloaded. This is harmful to a fleet that drops calls for lack of new servers.
        let weights = self.usable_weights(now);
        let total_tolerated: f64 =
            (0..warmup.len()).filter(|at| cold(*at) && weights[*at] > 0.0).map(tolerated_weight).sum();
        let (tries, dropped) = self.state.try_totals(|_| true);
        let failed = self
            .state
            .servers
            .iter()
            .filter(|s| s.state == ServerState::Ejected || s.strikes >= STRIKES_TO_CONFIRM);
        let failed = failed.map(|s| s.weight).sum::<f64>() / listed.max(1e-9);
        let failing = (dropped / tries).max(failed).max(1.0 - weights.iter().sum::<f64>() / demand_weight);
        let redirected = if self.capabilities.ejects_servers {
            (EJECTION_RISK.1 * failing).min(1.0) * demand_weight
        } else {
            0.0
        };
        let withheld = failing > EJECTION_RISK.0 && total_tolerated < redirected || self.fleet_failing();
        let load_share =
            if withheld { 0.0 } else { [COLD_LOAD_SHARES.0, COLD_LOAD_SHARES.1][usize::from(saturated)] };
        // This planner's fraction of the load that all planners may send. No line is written beyond it,
        // however many proxies join this planner at once.
        let joined_demand = self.state.joined_demand(|p| self.demand(p)).max(1e-9);
        let own_fraction =
            self.state.cold_share.map_or(1.0, |fraction| (fraction * total_demand / joined_demand).min(1.0));
        let limit =
            |at: ServerIndex| own_fraction * load_share * smoothing * tolerated_weight(at) / demand_weight;
        (0..warmup.len()).map(|at| cold(at).then(|| limit(at))).collect()
    }

    /// Fraction of the whole load that the targets send each server. With zone-bound routes, other planners'
    /// proxies may all be in the zone of a cold server: this planner then counts its own proxies alone, and
    /// its limit is its part of the load.
    fn planned_shares(&self, targets: &[Target]) -> Vec<f64> {
        let bound_fraction = self.zone_bound_fraction().unwrap_or(1.0);
        let demand = |target: &Target| match target.bound_zone {
            Some(_) => target.joined_demand,
            None => target.demand,
        };
        let total: f64 = targets.iter().map(demand).sum::<f64>().max(1e-9);
        let mut planned = vec![0.0; self.state.servers.len()];
        for target in targets {
            let bound_fraction = target.bound_zone.map_or(0.0, |_| bound_fraction);
            let in_zone = |at: ServerIndex| target.bound_zone == Some(self.state.servers[at].zone);
            let zone_weight: f64 =
                target.lines.iter().filter(|line| in_zone(line.0)).map(|line| line.1).sum();
            for (at, weight) in &target.lines {
                let bound = if in_zone(*at) { bound_fraction * weight / zone_weight.max(1e-12) } else { 0.0 };
                let share = (1.0 - bound_fraction) * weight + bound;
                planned[*at] += share * demand(target) / total;
            }
        }
        planned
    }

    /// Takes a zone's cold servers out of its targets if the zone-bound calls alone would overload them: no
    /// weight sends these calls elsewhere. Until they can carry them, they are refused.
    fn withhold_overloaded(&self, targets: &mut [Target], limits: &[Option<f64>]) {
        let planned = self.planned_shares(targets);
        let overloaded =
            |at: ServerIndex| limits[at].is_some_and(|limit| planned[at] > LIMIT_TOLERANCE * limit);
        for target in targets.iter_mut().filter(|target| target.lines.iter().any(|line| overloaded(line.0))) {
            let in_zone = |at: ServerIndex| target.bound_zone == Some(self.state.servers[at].zone);
            let withheld = |at: ServerIndex| if in_zone(at) { 0.0 } else { 1.0 };
            scale_cold_lines(&mut target.lines, limits, withheld);
        }
    }
}

/// Scales the weights of cold servers, those with a limit, and gives the rest to the warm ones. Returns
/// false and changes nothing if there are none.
fn scale_cold_lines(
    lines: &mut Vec<WeightedServer>,
    limits: &[Option<f64>],
    factor: impl Fn(ServerIndex) -> f64,
) -> bool {
    let cold = |at: ServerIndex| limits[at].is_some();
    let warm: f64 = lines.iter().filter(|line| !cold(line.0)).map(|line| line.1).sum();
    if warm <= 0.0 {
        return false;
    }
    lines.iter_mut().filter(|line| cold(line.0)).for_each(|line| line.1 *= factor(line.0));
    let cold_weight: f64 = lines.iter().filter(|line| cold(line.0)).map(|line| line.1).sum();
    lines.iter_mut().filter(|line| !cold(line.0)).for_each(|line| line.1 *= (1.0 - cold_weight) / warm);
    lines.retain(|line| line.1 > 0.0);
    true
}
