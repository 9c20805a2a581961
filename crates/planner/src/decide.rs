//! The decisions of the planner. Create a planner with `Planner::new` at each start, then call `turn` with
//! each batch of events and the time of the batch, and execute the returned actions in order. Events,
//! actions and state are defined in `types.rs`.
//!
//! Table assignment follows Niagara (docs/design.md). Health, warm-up, admission levels and the limits that
//! the rules demand are additions.

use crate::channel::ChannelPace;
use crate::cold_servers::Target;
use crate::grouping::{group_by_width, trim_lines};
use crate::message_budget::Purpose;
use crate::time::{Moment, Span};
use crate::types::*;
use crate::weights::{balance_subsets, centroid, imbalance};
use std::collections::BTreeSet;

const TICK_INTERVAL: Span = Span::millis(500);
const PLAN_INTERVAL: Span = Span::millis(3_000);
const REVIEW_INTERVAL: Span = Span::millis(2_500);
const LEVEL_CLOSE_INTERVAL: Span = Span::millis(1_250);
/// Interval at which levels open by one step. Faster opening oscillated and lost calls wherever the
/// protocol supports levels.
const LEVEL_OPEN_INTERVAL: Span = Span::millis(5_000);
const REBIND_INTERVAL: Span = Span::millis(60_000);
/// Minimum interval between pushes, per proxy and at most: lines sent together share the overhead of one
/// message.
const PUSH_INTERVAL: (Span, Span) = (Span::millis(1), Span::millis(100));
/// Imbalance, as a fraction of all demand, below which a grouping or a table is left unchanged.
pub(crate) const IMBALANCE_MARGIN: f64 = 0.02;
/// Weights are rounded to three binary digits, so that they stay within the error of their own values.
const WEIGHT_STEPS: f64 = 8.0;
/// Fraction of a table's weight up to which removals leave cold servers that the plan drops in the table.
const MAX_REMOVED_WEIGHT_SHARE: f64 = 0.25;
/// Additions sent with removals that would otherwise leave only cold servers in a table.
const MAX_LINES_WITH_REMOVALS: usize = 12;
/// Part of its weight below which a server that has just started has to lose the rest at once.
const MAX_KEPT_WEIGHT: f64 = 0.5;
/// Share of its weight that a cold server gets in each quarter of the longest warm-up. `limit_cold_servers`
/// keeps it to what the server can carry.
pub(crate) const WARMUP_SHARES: [f64; 5] = [0.25, 0.5, 0.75, 1.0, 1.0];
/// Fractions of the limit on queued lines that ordinary changes, changes for cold servers, removals and
/// bindings may fill. Except for removals, the limit is also what can leave the channel within the grace
/// period of a removal queued behind them.
const QUEUE_FILL_LIMITS: [f64; 4] = [0.3, 0.6, 0.95, 0.85];
const BALANCE_SWEEPS: (usize, f64) = (8, 1.5);
/// Weight, in calls, of the rate that a proxy declares when it joins. The estimate for a proxy with few
/// calls stays near that rate until it has reported often.
const PRIOR_CALLS: f64 = 3.0;
/// Routine probes per second, independent of the fleet's size.
const PROBES_PER_S: f64 = 60.0;
/// Utilization below which a zone keeps its calls while all servers answer, and the factor by which it may
/// then exceed its share.
const LOCAL_SPILL_LIMITS: (f64, f64) = (0.6, 1.15);
/// Smallest fraction of the weight on a zone's own servers where calls are bound to the zone and it cannot carry
/// its load.
const MIN_HOME_SHARE: f64 = 0.02;
/// Cost of a cross-zone call from which calls are kept in their zone, and from which all are, as far as the
/// proxies' demand is known.
const CROSS_ZONE_COSTS: (f64, f64) = (0.02, 0.06);
const UTIL_EDGES: &[f64] = &[0.2, 0.35, 0.5, 0.6, 0.7, 0.8, 0.9, 0.97];
/// Coarse corrections to listed weights, for servers whose utilization stays well above or below the rest.
const WEIGHT_CORRECTIONS: [f64; 7] = [0.3, 0.45, 0.6, 0.8, 1.0, 1.25, 1.5];
const NEUTRAL_CORRECTION: i32 = 4;
/// How long the state of an absent server is kept in case it returns.
const SERVER_RETENTION: Span = Span::millis(120_000);
/// A server is suspected when at least this many tries, and at least this fraction of them, were dropped.
const MIN_TRIES: f64 = 3.0;
const FAILING_FRACTION: f64 = 0.85;
const HEALTHY_FRACTION: f64 = 0.2;
/// Fraction of dropped tries from which a server loses weight at each review while the fleet as a whole
/// answers.
const WEIGHT_LOSS_FRACTION: f64 = 0.5;
/// Failed probes in a row that confirm a failure.
pub(crate) const STRIKES_TO_CONFIRM: usize = 2;
/// Servers are not ejected if less than this fraction of the listed weight would remain. The fleet as a whole
/// is failing if a smaller fraction of the servers answers as it should.
const QUORUM: f64 = 0.25;
/// Admitted fraction of calls on the least important routes and on the others, by level step.
pub(crate) const ADMISSION_LEVELS: [[f64; 2]; 6] =
    [[1.0, 1.0], [0.6, 1.0], [0.35, 1.0], [0.2, 1.0], [0.1, 0.8], [0.05, 0.55]];
/// Fractions of dropped tries at live servers that close the levels by one step and by two.
const OVERLOAD_DROP_FRACTIONS: (f64, f64) = (0.12, 0.3);
/// Utilization of a fully loaded fleet, utilization below which levels may open, and the utilization that
/// levels aim for.
pub(crate) const BUSY_UTIL: f64 = 0.9;
const CALM_UTIL: f64 = 0.75;
const TARGET_UTIL: f64 = 0.7;

use Effect::*;
use ServerState::{Draining, Ejected, InService, Suspect, Unverified};
use Signal::*;

/// State transitions by signal; a pair that is not listed changes nothing. A listed restart of an ejected
/// server only records the start time, and probes readmit it. Where leaving the list does not force a
/// removal, lists have omitted live servers and contained some that never existed or answered with errors,
/// so probes decide.
const TRANSITIONS: &[(&[ServerState], &[Signal], ServerState, Effect)] = &[
    (&[ServerState::Absent, Draining], &[ListedRunning], InService, Admit),
    (&[ServerState::Absent, Draining, InService, Suspect], &[Restarted], InService, Admit),
    (&[ServerState::Absent, Unverified], &[Appeared], Unverified, SendProbe),
    (&[Unverified], &[ProbeOk], InService, Admit),
    (&[Ejected], &[Restarted], Ejected, SendProbe),
    (&[ServerState::Absent, InService, Suspect, Ejected, Unverified], &[StopListed], Draining, Remove),
    (
        &[InService, Suspect, Ejected, Draining, Unverified],
        &[Signal::ListedGone],
        ServerState::Absent,
        Remove,
    ),
    (&[Ejected, Draining, Unverified], &[Unlisted], ServerState::Absent, Remove),
    (&[InService], &[TriesFailing, Unlisted], Suspect, SendProbe),
    (&[Suspect], &[TriesOk], InService, ClearStrikes),
    (&[InService, Suspect], &[ProbeOk], InService, ClearStrikes),
    (&[InService], &[ProbeTimedOut], InService, CountStrike),
    (&[InService], &[ProbeUnreachable], InService, ConfirmFailure),
    (&[Suspect], &[ProbeTimedOut, ProbeError], Suspect, CountStrike),
    (&[Suspect], &[ProbeUnreachable], Suspect, ConfirmFailure),
    (&[Suspect], &[FailureConfirmed], Ejected, Remove),
    (&[Ejected], &[ProbeOk], Ejected, CountStrike),
    (&[Ejected], &[ProbeTimedOut, ProbeUnreachable, ProbeError], Ejected, ClearStrikes),
    (&[Ejected], &[RecoveryConfirmed], InService, Readmit),
];

impl Planner {
    pub fn turn(&mut self, now: Moment, events: &[Event]) -> Vec<Action> {
        let mut actions = Vec::new();
        events.iter().for_each(|event| self.handle_event(now, event));
        if now >= self.state.wake_at {
            self.schedule_probes(now);
            self.set_levels(now);
            self.state.update_usual_joined(now);
            if now.since(self.state.reviewed_at) >= REVIEW_INTERVAL {
                self.review_servers(now);
                self.release_servers(now, &mut actions);
            }
            // Random jitter keeps planners that started together from probing and sending in step.
            self.state.wake_at = now + TICK_INTERVAL.times(0.9 + 0.2 * self.rng.f64());
            actions.push(Action::Wake { at: self.state.wake_at });
            let due = |at: Moment| now.since(at) > self.fleet.list_request_interval.times(0.4);
            if self.fleet.list_on_request && self.state.list_requested_at.is_none_or(due) {
                self.state.list_requested_at = Some(now);
                actions.push(Action::Subscribe);
            }
        }
        let pause = PUSH_INTERVAL.0.times(self.fleet.proxies as f64).min(PUSH_INTERVAL.1);
        if self.slicing.slices > 0 {
            self.repair_slices(now, &mut actions);
        } else if self.state.urgent || now.since(self.state.pushed_at) >= pause {
            if self.state.urgent || self.state.plan_due || now.since(self.state.planned_at) >= PLAN_INTERVAL {
                self.plan(now);
            }
            self.send_changes(now, &mut actions);
        }
        for server in
            std::mem::take(&mut self.state.to_probe).into_iter().filter(|_| self.capabilities.probes)
        {
            self.state.servers[server].probed_at = Some(now);
            actions.push(Action::Probe { server });
        }
        actions
    }

    fn handle_event(&mut self, now: Moment, event: &Event) {
        match event {
            Event::List { kind, entries } => self.handle_list(now, *kind, entries),
            Event::ServerStats { server, tries, dropped, load, .. } => {
                self.state.record_load(*server, UTIL_EDGES, load.util, *tries);
                let (tries, dropped) = self.state.record_tries(*server, *tries, *dropped);
                if dropped >= MIN_TRIES && dropped >= FAILING_FRACTION * tries {
                    self.apply_signal(now, *server, TriesFailing, None);
                } else if tries >= MIN_TRIES && dropped < HEALTHY_FRACTION * tries {
                    self.apply_signal(now, *server, TriesOk, None);
                }
            }
            Event::ProbeEnded { server, outcome, load } => {
                self.state.server(*server);
                // Where servers queue probes, a missing answer is the only sign of a full queue.
                let full = self.capabilities.load_on_probe && *outcome == ProbeOutcome::TimedOut;
                self.state.record_load(*server, UTIL_EDGES, if full { Some(1.0) } else { load.util }, 1.0);
                let signal = match outcome {
                    ProbeOutcome::Answered | ProbeOutcome::Rejected => ProbeOk,
                    // While the whole fleet is late, one more late answer says nothing about this server.
                    ProbeOutcome::TimedOut if self.fleet_failing() => return,
                    ProbeOutcome::TimedOut => ProbeTimedOut,
                    ProbeOutcome::Error => ProbeError,
                    ProbeOutcome::Unreachable => ProbeUnreachable,
                };
                self.apply_signal(now, *server, signal, None);
                let record = &self.state.servers[*server];
                let ejected = record.state == Ejected;
                if record.strikes >= STRIKES_TO_CONFIRM && (ejected || self.may_eject(now, *server)) {
                    self.apply_signal(
                        now,
                        *server,
                        if ejected { RecoveryConfirmed } else { FailureConfirmed },
                        None,
                    );
                }
            }
            Event::Applied { proxy, mark } => self.state.acknowledge(now, *proxy, *mark),
            Event::ProxyLeft { proxy }
            | Event::ProxyJoined { proxy, .. }
            | Event::AcknowledgementsLost { proxy } => {
                // Messages that a mass reconnect leaves in the channel have to count: without them the
                // channel exceeded its limit.
                let (drain_time, lines_per_s) = (self.drain_time(), self.channel.lines_per_s);
                self.state.abandon_messages(now, *proxy, drain_time, lines_per_s);
                self.state.apply_event(event);
                if matches!(event, Event::ProxyJoined { .. }) {
                    (self.state.last_join, self.state.proxy(*proxy).joined_at) = (Some(now), Some(now));
                }
            }
            Event::Arrivals { proxy, .. } => {
                self.state.proxy(*proxy).last_heard = now;
                self.state.apply_event(event);
            }
            _ => self.state.apply_event(event),
        }
    }

    /// Limits on queued lines for ordinary changes, cold servers, removals and bindings. Queued lines count
    /// against the grace period at the present throughput, because the channel has stayed full long after
    /// it became slow. Bindings are as urgent as removals: behind a slow channel they have waited for 15 s.
    pub(crate) fn queue_limits(&self, throughput: f64) -> [f64; 4] {
        let max = self.channel.max_queued_lines;
        let grace = self.contract.drain_grace.seconds() - self.channel.max_transit.seconds();
        // A grace period shorter than the transit time cannot be kept, and a limit derived from it would
        // only stop all messages.
        let within_grace = |throughput: f64| (grace.max(PUSH_INTERVAL.1.seconds()) * throughput).min(max);
        let (at_throughput, at_configured_rate) =
            (within_grace(throughput), within_grace(self.channel.lines_per_s));
        [
            QUEUE_FILL_LIMITS[0] * at_throughput,
            QUEUE_FILL_LIMITS[1] * at_throughput,
            QUEUE_FILL_LIMITS[2] * max,
            QUEUE_FILL_LIMITS[3] * at_configured_rate,
        ]
    }

    /// Time that a full channel takes to drain at its configured rate.
    fn drain_time(&self) -> Span {
        Span::of_seconds(self.channel.max_queued_lines / self.channel.lines_per_s)
    }

    fn handle_list(&mut self, now: Moment, kind: ListKind, entries: &[ListEntry]) {
        if kind == ListKind::Failed {
            self.state.list_requested_at = None;
        }
        let absence_signal = if self.contract.removal_is_binding { Signal::ListedGone } else { Unlisted };
        let needs_probe = absence_signal == Unlisted && kind != ListKind::Kept && self.capabilities.probes;
        for entry in entries {
            let server = self.state.server(entry.server);
            server.zone = entry.zone;
            server.weight = if entry.weight > 0.0 { entry.weight } else { 1.0 };
            let restarted = entry.last_start.is_some() && entry.last_start > server.started_at;
            let signal = match entry.state {
                ListedState::Running
                    if needs_probe && matches!(server.state, ServerState::Absent | Unverified) =>
                {
                    Appeared
                }
                ListedState::Running if restarted => Restarted,
                ListedState::Running => ListedRunning,
                ListedState::Stopping => StopListed,
                ListedState::Deleted => absence_signal,
            };
            self.apply_signal(now, entry.server, signal, entry.last_start);
        }
        if matches!(kind, ListKind::Complete | ListKind::Kept) {
            let listed: BTreeSet<ServerIndex> = entries.iter().map(|entry| entry.server).collect();
            for at in (0..self.state.servers.len()).filter(|at| !listed.contains(at)) {
                self.apply_signal(now, at, absence_signal, None);
            }
        }
    }

    fn apply_signal(&mut self, now: Moment, at: ServerIndex, signal: Signal, start: Option<Moment>) {
        let state = self.state.servers[at].state;
        let row = TRANSITIONS.iter().find(|row| row.0.contains(&state) && row.1.contains(&signal));
        let Some((_, _, next, effect)) = row else { return };
        let server = &mut self.state.servers[at];
        server.state = *next;
        match effect {
            Admit | Readmit | Remove => {
                server.started_at = if *effect == Readmit { Some(now) } else { start.or(server.started_at) };
                server.left_at = if *effect == Remove { server.left_at.or(Some(now)) } else { None };
                server.reset_measurements();
                (self.state.plan_due, self.state.urgent) = (true, true);
            }
            SendProbe => {
                server.started_at = start.or(server.started_at);
                self.state.to_probe.push(at);
            }
            CountStrike | ConfirmFailure => {
                server.strikes += if *effect == ConfirmFailure { STRIKES_TO_CONFIRM } else { 1 };
                self.state.plan_due |= server.strikes >= STRIKES_TO_CONFIRM;
            }
            ClearStrikes if state == Suspect => server.reset_measurements(),
            ClearStrikes => {
                self.state.plan_due |= server.strikes >= STRIKES_TO_CONFIRM;
                server.strikes = 0;
            }
        }
    }

    /// Whether hardly any server answers as it should: either the fleet is overloaded or this planner
    /// cannot see it.
    pub(crate) fn fleet_failing(&self) -> bool {
        let tried = |s: &&Server| matches!(s.state, InService | Suspect) && s.tries >= MIN_TRIES;
        let tried: Vec<&Server> = self.state.servers.iter().filter(tried).collect();
        let healthy = tried.iter().filter(|s| s.dropped < OVERLOAD_DROP_FRACTIONS.1 * s.tries).count();
        tried.len() > 1 && (healthy as f64) < QUORUM * tried.len() as f64
    }

    /// Whether enough weight would remain without the server. A partitioned planner sees all servers beyond
    /// the partition as dead and would otherwise send everything to those it can still reach.
    fn may_eject(&self, now: Moment, at: ServerIndex) -> bool {
        let counts = |s: &&Server| matches!(s.state, InService | Suspect | Ejected);
        let listed: f64 = self.state.servers.iter().filter(counts).map(|s| s.weight).sum();
        self.usable_weights(now).iter().sum::<f64>() - self.usable_weight(now, at) >= QUORUM * listed
    }

    pub(crate) fn warmup_step(&self, now: Moment, at: ServerIndex) -> usize {
        let Some(started_at) = self.state.servers[at].started_at else { return WARMUP_SHARES.len() - 1 };
        let progress = now.since(started_at).seconds() / self.contract.warmup.seconds().max(1e-9);
        ((progress * 4.0) as usize).min(WARMUP_SHARES.len() - 1)
    }

    pub(crate) fn usable_weight(&self, now: Moment, at: ServerIndex) -> f64 {
        let server = &self.state.servers[at];
        let listed = server.weight * (1.0 - server.weight_reduction);
        let weight = listed * WEIGHT_CORRECTIONS[(NEUTRAL_CORRECTION + server.correction) as usize];
        match server.state {
            // Probes alone do not eject a server, but one that fails them gets only a reduced weight in the
            // meantime.
            InService | Suspect if server.strikes >= STRIKES_TO_CONFIRM => WARMUP_SHARES[0] * weight,
            InService | Suspect => weight * WARMUP_SHARES[self.warmup_step(now, at)],
            _ => 0.0,
        }
    }

    pub(crate) fn demand(&self, proxy: &Proxy) -> f64 {
        proxy.rate(PRIOR_CALLS).unwrap_or(self.state.mean_demand).max(1e-6)
    }

    pub(crate) fn usable_weights(&self, now: Moment) -> Vec<f64> {
        (0..self.state.servers.len()).map(|at| self.usable_weight(now, at)).collect()
    }

    /// Calls per second at all proxies. Those of other planners count as reported, or otherwise as average.
    fn total_demand(&self) -> f64 {
        let estimate = self.state.mean_rate(PRIOR_CALLS).max(1e-6) * self.fleet.proxies.max(1) as f64;
        self.state
            .other_planners_rate
            .map_or(estimate, |others| others + self.state.joined_demand(|p| self.demand(p)).max(1e-6))
    }

    fn schedule_probes(&mut self, now: Moment) {
        let probe_round = Span::millis(1_000).times(self.state.servers.len() as f64 / PROBES_PER_S);
        for at in 0..self.state.servers.len() {
            self.state.plan_due |=
                self.warmup_step(now - TICK_INTERVAL.times(1.2), at) != self.warmup_step(now, at);
            let server = &self.state.servers[at];
            let interval = match server.state {
                Suspect | Unverified => Span::millis(400),
                Ejected => Span::millis(900),
                InService => Span::millis(1_900).max(probe_round),
                _ => continue,
            };
            if server.probed_at.is_none_or(|last| now.since(last) >= interval)
                && !self.state.to_probe.contains(&at)
            {
                self.state.to_probe.push(at);
            }
        }
    }

    fn review_servers(&mut self, now: Moment) {
        self.state.reviewed_at = now;
        let servers = self.state.servers.iter().enumerate().filter(|(_, s)| s.state == InService);
        let warmest = servers.clone().map(|(at, _)| self.warmup_step(now, at)).max().unwrap_or(0);
        // Uses the warmest servers there are: if all are cold, a utilization that is never updated would
        // keep the levels closed.
        let warm = servers.filter(|(at, _)| self.warmup_step(now, *at) == warmest);
        let util =
            warm.filter_map(|(at, s)| s.util.mean().map(|util| (at, util, self.usable_weight(now, at))));
        let util: Vec<(ServerIndex, f64, f64)> = util.collect();
        let weight: f64 = util.iter().map(|u| u.2).sum();
        let total_weight: f64 = self.usable_weights(now).iter().sum();
        if weight > 0.0 {
            let mean_util = util.iter().map(|u| u.1 * u.2).sum::<f64>() / weight;
            self.state.mean_util = mean_util;
            let demand = self.total_demand();
            if mean_util < BUSY_UTIL && demand > 0.0 && self.state.level_step == 0 {
                let weight_per_call = mean_util * total_weight / demand;
                self.state.weight_per_call = Some(
                    self.state
                        .weight_per_call
                        .map_or(weight_per_call, |before| 0.7 * before + 0.3 * weight_per_call),
                );
            }
            let (tries, dropped) = self.state.try_totals(|s| s.state == InService);
            let fleet_healthy = mean_util < BUSY_UTIL && dropped < OVERLOAD_DROP_FRACTIONS.0 * tries;
            for (at, util, _) in util {
                let server = &mut self.state.servers[at];
                // A server can be too slow for calls and still answer probes in time: six servers dropped
                // 57 of 73 tries in 5 s while answering all 60 probes. It loses a weight step whatever load
                // it reports.
                let drop_fraction = server.dropped / server.tries.max(MIN_TRIES);
                let failing = fleet_healthy && drop_fraction > WEIGHT_LOSS_FRACTION;
                let factor =
                    |by: i32| WEIGHT_CORRECTIONS.get((NEUTRAL_CORRECTION + server.correction + by) as usize);
                let wanted = factor(0).unwrap_or(&1.0) * mean_util / util.max(0.1);
                let above = factor(1).is_some_and(|next| wanted >= next * 0.95);
                let below = factor(-1).is_some_and(|next| wanted <= next / 0.95);
                let vote = if failing { -1 } else { i32::from(above) - i32::from(below) };
                server.correction_votes = if vote == server.correction_votes.signum() {
                    server.correction_votes + vote
                } else {
                    vote
                };
                let confirmed =
                    server.correction_votes.abs() >= 2 + i32::from(self.capabilities.load_on_probe);
                if confirmed && mean_util < BUSY_UTIL || failing {
                    server.correction = (server.correction + vote).max(-NEUTRAL_CORRECTION);
                    server.correction_votes = 0;
                    self.state.plan_due = true;
                }
            }
        }
        self.state.decay();
    }

    /// Releases the indices of servers that have long been absent. Each deployment assigned new ones, so
    /// they would accumulate as long as the planner runs.
    fn release_servers(&mut self, now: Moment, actions: &mut Vec<Action>) {
        let expired = |entry: &(ServerIndex, Moment)| now.since(entry.1) >= SERVER_RETENTION;
        for (server, _) in self.state.unreferenced_servers(now).into_iter().filter(expired) {
            self.state.servers[server] = Server::default();
            actions.push(Action::ReleaseServer { server });
        }
    }

    /// Closes levels quickly and opens them slowly, because congestion costs more than refusing some calls
    /// too many.
    fn set_levels(&mut self, now: Moment) {
        let total_weight: f64 = self.usable_weights(now).iter().sum();
        // Dead servers drop all their tries. What the others drop indicates overload, whatever its cause.
        let (tries, dropped) =
            self.state.try_totals(|s| s.state == InService && s.dropped < FAILING_FRACTION * s.tries);
        let overloaded = dropped > OVERLOAD_DROP_FRACTIONS.0 * tries
            || self.state.mean_util > BUSY_UTIL
            || self.fleet_failing();
        let offered = self.state.weight_per_call.unwrap_or(0.0) * self.total_demand();
        let max_step = ADMISSION_LEVELS.len() - 1;
        let target = (0..max_step)
            .find(|step| self.admitted_fraction(*step) * offered <= TARGET_UTIL * total_weight)
            .unwrap_or(max_step);
        let step = match self.state.level_step {
            // Queues must drain before admitted calls can be answered, so close further than the cost of
            // calls under normal load suggests.
            step if self.fleet_failing() || dropped > OVERLOAD_DROP_FRACTIONS.1 * tries => {
                target.max(step + 2).min(max_step)
            }
            step if self.state.mean_util < CALM_UTIL => target.min(step.saturating_sub(1)),
            step if overloaded => target.max(step + 1).min(max_step),
            step => step,
        };
        let interval = if step > self.state.level_step { LEVEL_CLOSE_INTERVAL } else { LEVEL_OPEN_INTERVAL };
        if step != self.state.level_step && now.since(self.state.level_changed_at) >= interval {
            (self.state.level_step, self.state.level_changed_at) = (step, now);
        }
    }

    /// Admitted fraction of a route's calls at a level step. The least important routes are reduced first.
    fn route_level(&self, route: usize, step: usize) -> f64 {
        let cap = self.state.route_caps.get(route).copied().unwrap_or(1.0);
        ADMISSION_LEVELS[step][usize::from(!is_least_important(&self.routes, route))].min(cap)
    }

    fn admitted_fraction(&self, step: usize) -> f64 {
        let calls = self.state.calls_by_route.iter().take(self.routes.len()).enumerate();
        let (sum, all) =
            calls.fold((1e-6, 1e-6), |a, (at, c)| (a.0 + c * self.route_level(at, step), a.1 + c));
        sum / all
    }

    /// Usable weights. Rule 1: where none is left, servers that are believed dead or not yet confirmed, but
    /// listed as running, are better than an empty table. With zone-bound calls each zone needs its own.
    fn weights_or_believed_dead(&self, now: Moment, zone_bound: bool) -> Vec<f64> {
        let usable = self.usable_weights(now);
        let same_scope = |a: &Server, b: &Server| !zone_bound || a.zone == b.zone;
        let servers = &self.state.servers;
        let has_usable = |server: &Server| {
            servers.iter().zip(&usable).any(|(other, weight)| same_scope(server, other) && *weight > 0.0)
        };
        let weight = |at: ServerIndex| {
            let server = &servers[at];
            match matches!(server.state, Ejected | Unverified) && !has_usable(server) {
                true => server.weight * WARMUP_SHARES[self.warmup_step(now, at)],
                false => usable[at],
            }
        };
        (0..servers.len()).map(weight).collect()
    }

    /// Target of each zone's proxies and their demand. Calls stay in their own zone, and what it cannot
    /// carry goes to others. A single target for all zones if cross-zone calls are cheap.
    fn zone_targets(&mut self, now: Moment) -> Vec<Target> {
        let zones = self.fleet.zones.max(1);
        let zone_bound = self.has_zone_bound_routes();
        let weights = self.weights_or_believed_dead(now, zone_bound);
        let mut zone_weight = vec![0.0; zones];
        self.state
            .servers
            .iter()
            .zip(&weights)
            .for_each(|(server, weight)| zone_weight[server.zone] += weight);
        let total_weight: f64 = zone_weight.iter().sum();
        let mut zone_demand = vec![0.0; zones];
        self.state.proxies.iter().filter(|p| p.joined).for_each(|p| zone_demand[p.zone] += self.demand(p));
        let joined_demand = zone_demand.clone();
        let known_demand: f64 = zone_demand.iter().sum();
        if total_weight <= 0.0 || known_demand <= 0.0 {
            return Vec::new();
        }
        // Assumes that the demand of other planners' proxies falls where the known demand leaves servers
        // idle.
        let (total_demand, unknown_demand) = (self.total_demand(), self.total_demand() - known_demand);
        let gaps: Vec<f64> = (0..zones)
            .map(|z| (total_demand * zone_weight[z] / total_weight - zone_demand[z]).max(0.0))
            .collect();
        let total_gap: f64 = gaps.iter().sum::<f64>().max(1e-9);
        zone_demand
            .iter_mut()
            .zip(&gaps)
            .for_each(|(demand, gap)| *demand += unknown_demand * gap / total_gap);
        let all_healthy =
            self.state.servers.iter().all(|s| s.strikes < STRIKES_TO_CONFIRM && s.state != Ejected);
        let headroom = if all_healthy {
            (LOCAL_SPILL_LIMITS.0 / self.state.mean_util.max(0.1)).clamp(1.0, LOCAL_SPILL_LIMITS.1)
        } else {
            1.0
        };
        let density = headroom * total_demand / total_weight;
        let spare_at = |z: ZoneIndex| (density * zone_weight[z] - zone_demand[z]).max(0.0);
        let spare: Vec<f64> = (0..zones).map(spare_at).collect();
        let known_fraction = known_demand / total_demand;
        let cost_factor = ((self.fleet.cross_zone_cost - CROSS_ZONE_COSTS.0)
            / (CROSS_ZONE_COSTS.1 - CROSS_ZONE_COSTS.0))
            .clamp(0.0, 1.0);
        let local_fraction = if zone_bound { 1.0 } else { cost_factor * known_fraction * known_fraction };
        let shares = |density_in: &dyn Fn(ZoneIndex) -> f64| -> Vec<WeightedServer> {
            let lines = weights.iter().enumerate().filter(|line| *line.1 > 0.0);
            lines.map(|(at, weight)| (at, weight * density_in(self.state.servers[at].zone))).collect()
        };
        if local_fraction <= 0.0 {
            let lines = shares(&|_| 1.0 / total_weight);
            let (demand, joined_demand) = (total_demand, known_demand);
            return vec![Target { lines, demand, joined_demand, bound_zone: None }];
        }
        // Where proxies keep zone-bound calls in their zone, these stay whatever the weights are: only the other
        // calls can leave a zone that cannot carry all.
        let bound_fraction = self.zone_bound_fraction().unwrap_or(0.0);
        let may_spill = self.capabilities.proxies_keep_zone_bound;
        let without_bound_calls = |fitting: f64| match fitting < 1.0 && bound_fraction > 0.0 {
            true => ((fitting - bound_fraction) / (1.0 - bound_fraction).max(1e-9)).max(MIN_HOME_SHARE),
            false => fitting,
        };
        let target = |zone: ZoneIndex| {
            let others_spare: f64 = (0..zones).filter(|z| *z != zone).map(|z| spare[z]).sum();
            let fitting = (density * zone_weight[zone] / zone_demand[zone].max(1e-9)).min(1.0);
            let own_fraction = match others_spare <= 0.0 || zone_bound && !may_spill {
                // Not even zone-bound calls can stay where no server is left. The zone's table takes other
                // zones' servers instead: it serves the other routes, and an empty one would keep the gone.
                _ if zone_weight[zone] <= 0.0 => 0.0,
                true => local_fraction,
                false => local_fraction * without_bound_calls(fitting),
            };
            let own_density = own_fraction / zone_weight[zone].max(1e-9);
            let spilled = local_fraction - own_fraction;
            let spill_density = |z: ZoneIndex| match others_spare > 0.0 {
                true => spilled * spare[z] / others_spare.max(1e-9) / zone_weight[z].max(1e-9),
                false => spilled / total_weight,
            };
            let density_in = |z: ZoneIndex| {
                (1.0 - local_fraction) / total_weight + if z == zone { own_density } else { spill_density(z) }
            };
            Target {
                lines: shares(&density_in).into_iter().filter(|line| line.1 > 0.0).collect(),
                demand: zone_demand[zone],
                joined_demand: joined_demand[zone],
                bound_zone: (zone_bound && may_spill).then_some(zone),
            }
        };
        (0..zones).map(target).collect()
    }

    fn plan(&mut self, now: Moment) {
        (self.state.planned_at, self.state.plan_due, self.state.urgent) = (now, false, false);
        self.state.mean_demand = self.state.mean_rate(PRIOR_CALLS);
        let mut targets = self.zone_targets(now);
        if targets.is_empty() {
            return self.remove_delisted();
        }
        self.assign_subsets(now, &targets);
        self.limit_cold_servers(now, &mut targets);
        let subset_demand = self.state.subset_demand(|proxy| self.demand(proxy));
        let mut rows: Vec<Target> =
            self.state.subsets.iter().zip(&subset_demand).map(row_of_subset(&targets)).collect();
        let active: Vec<usize> =
            (0..subset_demand.len()).filter(|subset| subset_demand[*subset].0 > 0).collect();
        for (target_index, target) in targets.iter().enumerate() {
            let of_target =
                active.iter().filter(|subset| self.state.subsets[**subset].target_index == target_index);
            let subsets: Vec<_> =
                of_target.clone().map(|at| (&self.state.subsets[*at], subset_demand[*at].1)).collect();
            let known_demand: f64 = subsets.iter().map(|subset| subset.1).sum();
            for (at, row) in
                of_target.zip(balance_subsets(&target.lines, &subsets, BALANCE_SWEEPS.0, BALANCE_SWEEPS.1))
            {
                // A subset of only cold servers would overload them, and an empty one would keep servers
                // that drain.
                let cold = row.iter().all(|line| !self.is_warm(now, line.0));
                rows[*at].lines = if cold { target.lines.clone() } else { row };
            }
            let demand = (target.demand - known_demand).max(0.0);
            rows.push(Target { demand, joined_demand: 0.0, ..target.clone() });
        }
        self.limit_cold_servers(now, &mut rows);
        let recently_bound = |proxy: &Proxy| proxy.bound_at.is_some_and(|at| now.since(at) < REBIND_INTERVAL);
        let member = |subset: usize| GroupMember {
            subset,
            demand: subset_demand[subset].1,
            target: &rows[subset].lines,
            bound_zone: rows[subset].bound_zone,
            group: self.state.subsets[subset].table,
            narrow: self.is_narrow(&self.state.subsets[subset]),
            settled: self
                .state
                .proxies
                .iter()
                .any(|proxy| proxy.subset == Some(subset) && recently_bound(proxy)),
        };
        let members = active.into_iter().map(member).collect();
        self.assign_tables(members);
    }

    /// No server is left to send to: takes those that drain or are gone out of all tables, though this may
    /// leave them empty.
    fn remove_delisted(&mut self) {
        let delisted: Vec<bool> = (0..self.state.servers.len()).map(|at| self.is_delisted(at)).collect();
        self.state.desired.iter_mut().for_each(|desired| desired.retain(|line| !delisted[line.0]));
    }

    /// Groups the subsets into tables if one has no table or the imbalance rose, and sets the desired
    /// contents of the tables.
    fn assign_tables(&mut self, mut members: Vec<GroupMember>) {
        let newcomers = members.iter().any(|m| m.group.is_none());
        let regroup = imbalance(&members) > self.state.grouping_imbalance + IMBALANCE_MARGIN;
        if newcomers || regroup {
            let groups = group_by_width(&members);
            let mut tables: Vec<TableIndex> = Vec::new();
            for group_index in 0..=groups.iter().copied().max().unwrap_or(0) {
                let in_group =
                    members.iter().zip(&groups).filter(|(_, group)| **group == group_index).map(|m| m.0);
                let unclaimed = in_group.filter(|m| m.group.is_some_and(|table| !tables.contains(&table)));
                let reused = unclaimed.max_by(|a, b| a.demand.total_cmp(&b.demand)).and_then(|m| m.group);
                let in_use =
                    |t: &TableIndex| tables.contains(t) || members.iter().any(|m| m.group == Some(*t));
                let table_count = self.state.tables.len();
                let table = reused.or_else(|| (0..table_count).find(|t| !in_use(t))).unwrap_or(table_count);
                self.state.tables.resize(table_count.max(table + 1), Table::default());
                self.state.desired.resize(table_count.max(table + 1), Vec::new());
                tables.push(table);
            }
            for (member, group_index) in members.iter_mut().zip(groups) {
                if member.group.is_none() || regroup && !member.settled {
                    member.group = Some(tables[group_index]);
                }
            }
            self.state.grouping_imbalance = imbalance(&members);
        }
        members.iter().for_each(|member| self.state.assign_table(member.subset, member.group));
        let zones: Vec<ZoneIndex> = self.state.servers.iter().map(|s| s.zone).collect();
        for table in 0..self.state.tables.len() {
            let sharing: Vec<&GroupMember> = members.iter().filter(|m| m.group == Some(table)).collect();
            if sharing.is_empty() {
                // Proxies may still use the table while they wait for another.
                let in_service =
                    |line: &WeightedServer| matches!(self.state.servers[line.0].state, InService | Suspect);
                self.state.desired[table].retain(in_service);
            } else {
                self.state.desired[table] = trim_lines(centroid(sharing.iter().copied()), &sharing, &zones);
            }
        }
    }

    fn send_changes(&mut self, now: Moment, actions: &mut Vec<Action>) {
        let round_trip = self.channel.max_transit.times(2.0);
        let throughput = self.state.measure_throughput(now, round_trip, self.channel.lines_per_s);
        let limits = self.queue_limits(throughput.lower_bound);
        self.state.pushed_at = now;
        // Acknowledgements tell what has arrived, so this limit holds however slow the channel has become.
        let pace =
            ChannelPace { configured: self.channel.lines_per_s, measured: throughput.expected, round_trip };
        let estimate = self.state.queued_lines(now, self.drain_time(), pace);
        let mut queued = estimate.expected;
        // Lines that may be queued in addition. They count for whatever is not urgent.
        let doubtful = estimate.upper_bound - estimate.expected;
        let mut message_cost = vec![0.0; self.state.proxies.len()];
        let overhead = self.channel.message_overhead + 1.0;
        let mut followers = self.state.followers();
        let leaving: Vec<bool> = (0..self.state.servers.len()).map(|at| self.is_leaving(at)).collect();
        let is_removal = |line: &WeightedServer| line.1 <= 0.0 && leaving[line.0];
        let pending_changes = |table: TableIndex| {
            let current = &self.state.tables[table];
            let changes = self.table_changes(table);
            let cold = changes.iter().any(|change| self.warmup_step(now, change.0) == 0);
            let priority = if changes.iter().any(is_removal) { 2 } else { usize::from(cold) };
            let weight_moved: f64 =
                changes.iter().map(|(at, weight)| (weight - current.weight(*at)).abs()).sum();
            (priority, weight_moved * followers[table].len() as f64, table, changes)
        };
        let mut pending: Vec<(usize, f64, TableIndex, Vec<WeightedServer>)> =
            (0..followers.len()).map(pending_changes).collect();
        pending.sort_by(|a, b| b.0.cmp(&a.0).then(b.1.total_cmp(&a.1)));
        // Lines of tables that nobody uses yet cost nothing, and proxies may wait for them.
        pending.sort_by_key(|pending| !followers[pending.2].is_empty());
        // Lines that the removals alone would take. If they exceed their limit, the smallest messages go
        // first, so that most proxies are updated in time. Levels are never included beyond the limit of
        // ordinary lines.
        let removal_count =
            |changes: &[WeightedServer]| changes.iter().filter(|change| is_removal(change)).count();
        let with_removals = pending.iter().filter(|pending| pending.0 == 2);
        let removals: f64 = with_removals
            .map(|pending| (removal_count(&pending.3) as f64 + overhead) * followers[pending.2].len() as f64)
            .sum();
        let congested = queued + removals > limits[2];
        if congested {
            pending
                .sort_by_key(|pending| if pending.0 == 2 { removal_count(&pending.3) } else { usize::MAX });
        }
        let (mut binds, mut delayed) = (None, 0.0);
        let rushed = self.is_rushed(now);
        for (priority, _, table, mut changes) in pending {
            let beyond_ordinary = queued + doubtful > limits[0];
            if priority < 2 && binds.is_none() && (beyond_ordinary || rushed && !followers[table].is_empty())
            {
                let bound = self.pending_binds(now, limits[3], &mut queued, &mut message_cost);
                // Later changes to their tables go to these proxies too. Without counting them, the queue
                // exceeded its limit.
                bound.iter().for_each(|(proxy, table)| followers[*table].push(*proxy));
                binds = Some(bound);
            }
            let followers = &followers[table];
            let stale =
                |at: usize| at != self.state.level_step && self.capabilities.throttle == Throttle::Fraction;
            let sent_step = self.state.tables[table].level_step;
            let queue_filled = congested || beyond_ordinary;
            let send_levels = sent_step.is_none_or(|step| stale(step) && !queue_filled);
            let overhead = overhead + if send_levels { self.routes.len() as f64 } else { 0.0 };
            // Lines of an unused table are sent to nobody. Holding them back kept the first proxies of a
            // zone from getting their table.
            let room = match priority {
                _ if followers.is_empty() => f64::INFINITY,
                2 => limits[2] - queued,
                _ => limits[priority] - queued - doubtful,
            };
            let fits = (room / followers.len().max(1) as f64 - overhead).max(0.0) as usize;
            let removed = |at: ServerIndex| changes.iter().any(|change| change.0 == at && is_removal(change));
            let is_warm = |line: &WeightedServer| self.is_warm(now, line.0);
            let keeps_warm = self.keeps_warm_lines(now, table, removed);
            // During an operator's hold or a rush, removals continue, and so do the lines that a table without a
            // warm server needs (rule 1).
            let used = !followers.is_empty();
            let on_hold = (self.state.changes_held || rushed && used) && keeps_warm;
            let limited = fits < changes.len() || beyond_ordinary || on_hold;
            if priority == 2 && limited {
                // Removals are sent alone, because they have waited for seconds behind lines of cold
                // servers. If they would leave only cold servers, a few additions are sent with them:
                // otherwise a single cold server got all calls and was overloaded. Cold servers that the
                // plan drops are sent along within their own limit, and beyond it where the removals would
                // raise their shares: after a partition they filled the channel, and proxies that had
                // joined again waited for their tables.
                let additions = changes.iter().filter(|change| change.1 > 0.0).take(if keeps_warm {
                    0
                } else {
                    MAX_LINES_WITH_REMOVALS
                });
                let sent_along: BTreeSet<ServerIndex> = additions.map(|change| change.0).collect();
                let raises_cold_share = self.removed_weight_share(table, &changes) > MAX_REMOVED_WEIGHT_SHARE;
                let within_cold_limit = queued + doubtful <= limits[1];
                let drops_sent_along = within_cold_limit || raises_cold_share || !keeps_warm;
                let is_cold_drop = |line: &WeightedServer| line.1 <= 0.0 && !is_warm(line);
                let allowed =
                    |line: &WeightedServer| is_removal(line) || drops_sent_along && is_cold_drop(line);
                changes.retain(|change| allowed(change) || sent_along.contains(&change.0));
            }
            if priority < 2 && on_hold {
                changes.retain(|change| !self.state.changes_held && self.loses_weight(now, table, change));
            } else if priority < 2 && fits < changes.len() {
                // The lines beyond the limit wait, those of cold servers first: sent ahead of warm ones, a
                // cold server once had a quarter of a table.
                let increases =
                    |(at, weight): &WeightedServer| *weight > self.state.tables[table].weight(*at);
                changes.sort_by_key(|change| increases(change) && !is_warm(change));
                // Zone-bound calls would all go to the few that fit.
                if self.calls_follow_zone_ratios() {
                    changes.retain(|change| is_warm(change) || !increases(change));
                }
            }
            // Removals are sent completely, unless even an empty channel could not take them.
            let max_removals = (limits[2] / followers.len().max(1) as f64 - overhead).max(1.0) as usize;
            changes.truncate(if priority == 2 { max_removals } else { fits });
            let cost = changes.len() as f64 + overhead;
            let over_limit = !followers.is_empty() && queued + cost * followers.len() as f64 > limits[2];
            let nothing_due = changes.is_empty() && !send_levels;
            delayed += if priority == 2 && over_limit { cost * followers.len() as f64 } else { 0.0 };
            if nothing_due || over_limit {
                continue;
            }
            let purpose = self.purpose(now, table, priority, &changes);
            if !followers.iter().all(|p| self.may_message(now, *p, purpose)) {
                if let Purpose::Removal { since } = purpose {
                    self.wake_by(now, since + self.removal_wait(), actions);
                }
                continue;
            }
            for (server, weight) in changes {
                actions.push(Action::SetLine { table, server, weight });
                self.state.tables[table].set((server, weight));
            }
            if send_levels {
                self.set_table_level(table, actions);
            }
            queued += cost * followers.len() as f64;
            followers.iter().for_each(|p| message_cost[*p] += cost);
        }
        if delayed > 0.0 && self.state.reviewed_at == now {
            let (beyond, wait) = (
                format!("{delayed:.0} lines beyond {queued:.0}"),
                (queued + delayed) / throughput.lower_bound,
            );
            let text = format!("removals wait: {beyond} in the channel, {wait:.1} s at its pace");
            actions.push(Action::Log { text });
        }
        let binds =
            binds.unwrap_or_else(|| self.pending_binds(now, limits[3], &mut queued, &mut message_cost));
        let unbound = self.state.proxies.iter().filter(|proxy| proxy.joined && proxy.bound_at.is_none());
        let waiting = unbound.count() - binds.len();
        if waiting > 0 && self.state.reviewed_at == now {
            let lines = format!("{queued:.0} lines of {:.0} queued", limits[3]);
            let abandoned = estimate.abandoned;
            let text =
                format!("tables wait: {waiting} proxies, {lines}, {abandoned:.0} for departed proxies");
            actions.push(Action::Log { text });
        }
        for (proxy, table) in binds {
            let record = &mut self.state.proxies[proxy];
            (record.bound_at, record.current_table) = (Some(now), Some(table));
            actions.push(Action::Bind { proxy, table, routes: 0 });
        }
        actions.extend(self.state.record_messages(now, &message_cost, self.counted_time()));
    }

    pub(crate) fn has_zone_bound_routes(&self) -> bool {
        self.routes.iter().any(|route| route.zone_bound)
    }

    /// Whether zone-bound calls follow the ratios within a zone, and not the weights of the whole table.
    fn calls_follow_zone_ratios(&self) -> bool {
        self.has_zone_bound_routes() && self.capabilities.proxies_keep_zone_bound
    }

    /// Whether a table keeps a warm server without the removed ones. With zone-bound routes, each zone that is
    /// left in the table has to keep one.
    fn keeps_warm_lines(
        &self,
        now: Moment,
        table: TableIndex,
        removed: impl Fn(ServerIndex) -> bool,
    ) -> bool {
        let lines = &self.state.tables[table].lines;
        let remaining: Vec<ServerIndex> =
            lines.iter().map(|line| line.0).filter(|at| !removed(*at)).collect();
        let zone = |at: &ServerIndex| self.state.servers[*at].zone;
        let mut warm = remaining.iter().filter(|at| self.is_warm(now, **at));
        if !self.calls_follow_zone_ratios() {
            return warm.next().is_some();
        }
        let warm_zones: BTreeSet<ZoneIndex> = warm.map(zone).collect();
        !warm_zones.is_empty() && remaining.iter().all(|at| warm_zones.contains(&zone(at)))
    }

    /// Why a table's changes are to be sent.
    fn purpose(
        &self,
        now: Moment,
        table: TableIndex,
        priority: usize,
        changes: &[WeightedServer],
    ) -> Purpose {
        let leaving = changes.iter().filter(|change| change.1 <= 0.0 && self.is_leaving(change.0));
        let left_at = leaving.filter_map(|change| self.state.servers[change.0].left_at).min();
        match priority {
            2 => Purpose::Removal { since: left_at.unwrap_or(now) },
            _ if changes.iter().any(|change| self.loses_weight(now, table, change)) => Purpose::Urgent,
            1 => Purpose::ColdServers,
            _ => Purpose::Ordinary,
        }
    }

    /// Whether a change takes most of its weight from a server that has just started (rule 4).
    fn loses_weight(&self, now: Moment, table: TableIndex, change: &WeightedServer) -> bool {
        self.warmup_step(now, change.0) == 0
            && change.1 < MAX_KEPT_WEIGHT * self.state.tables[table].weight(change.0)
    }

    /// Asks for a turn at the given time unless one is due before.
    fn wake_by(&mut self, now: Moment, at: Moment, actions: &mut Vec<Action>) {
        if now < at && at < self.state.wake_at {
            self.state.wake_at = at;
            actions.push(Action::Wake { at });
        }
    }

    /// Fraction of a table's weight on lines of leaving servers that the changes remove.
    fn removed_weight_share(&self, table: TableIndex, changes: &[WeightedServer]) -> f64 {
        let current = &self.state.tables[table];
        let total: f64 = current.lines.iter().map(|line| line.1).sum();
        let leaving = changes.iter().filter(|change| change.1 <= 0.0 && self.is_leaving(change.0));
        leaving.map(|change| current.weight(change.0)).sum::<f64>() / total.max(1e-9)
    }

    /// Whether a server drains, is gone or has been ejected.
    fn is_leaving(&self, at: ServerIndex) -> bool {
        self.is_delisted(at) || self.state.servers[at].state == Ejected
    }

    /// Whether the list has a server as draining or gone.
    fn is_delisted(&self, at: ServerIndex) -> bool {
        matches!(self.state.servers[at].state, ServerState::Absent | Draining)
    }

    /// Lines to write to a table. With no desired content it keeps its lines, except those of servers that
    /// drain or are gone.
    fn table_changes(&self, table: TableIndex) -> Vec<WeightedServer> {
        let (current, desired) = (&self.state.tables[table].lines, &self.state.desired[table]);
        if desired.is_empty() {
            let delisted = current.iter().filter(|line| self.is_delisted(line.0));
            return delisted.map(|line| (line.0, 0.0)).collect();
        }
        deltas(current, desired)
    }

    /// Proxies to give a table, those that joined first at the front. After a partition, proxies still hold
    /// servers that drained in the meantime, and they have waited behind lines of cold servers. In a filled
    /// channel their room is reserved first.
    fn pending_binds(
        &self,
        now: Moment,
        limit: f64,
        queued: &mut f64,
        message_cost: &mut [f64],
    ) -> Vec<(ProxyIndex, TableIndex)> {
        let unbound = |at: &ProxyIndex| self.state.proxies[*at].bound_at.is_none();
        let mut waiting: Vec<ProxyIndex> = (0..message_cost.len()).filter(unbound).collect();
        waiting.sort_by_key(|at| self.state.proxies[*at].join_number);
        let mut binds = Vec::new();
        for proxy in waiting {
            let Some(table) = self.state.table_of(&self.state.proxies[proxy]) else { continue };
            let current = &self.state.tables[table];
            let level_lines = current.level_step.map_or(0, |_| self.routes.len());
            let cost = (current.lines.len() + level_lines) as f64 + self.channel.message_overhead + 2.0;
            let fits = *queued + cost < limit;
            if !current.lines.is_empty() && fits && self.may_message(now, proxy, Purpose::Urgent) {
                binds.push((proxy, table));
                message_cost[proxy] += cost;
                *queued += cost;
            }
        }
        binds
    }

    fn set_table_level(&mut self, table: TableIndex, actions: &mut Vec<Action>) {
        let step = self.state.level_step;
        // Enforces rule 2. Retries are never allowed: what one full server rejects would only fill the
        // next.
        let set = |routes, level| Action::SetLevel { table, routes, level, resend: ResendPolicy::Never };
        match (self.capabilities.throttle, step) {
            (Throttle::Fraction, step) if step > 0 || !self.state.route_caps.is_empty() => {
                actions.extend((0..self.routes.len()).map(|at| set(1 << at, self.route_level(at, step))))
            }
            _ => actions.push(set(0, UNLIMITED)),
        }
        self.state.tables[table].level_step = Some(step);
    }

    /// Moves a slice whose server is not usable to another one. An exclusive slice moves only when no write
    /// can be left at the old server.
    fn repair_slices(&mut self, now: Moment, actions: &mut Vec<Action>) {
        let weights = self.usable_weights(now);
        let usable: Vec<ServerIndex> = (0..weights.len()).filter(|at| weights[*at] > 0.0).collect();
        for (table, slice) in self.state.slices.iter_mut().enumerate().filter(|(_, slice)| slice.assigned) {
            let (kept, lost): (Vec<WeightedServer>, _) = slice.lines.iter().partition(|l| weights[l.0] > 0.0);
            if usable.is_empty() || lost.is_empty() && !kept.is_empty() {
                continue;
            }
            let set_level = |level| Action::SetLevel { table, routes: 0, level, resend: ResendPolicy::Never };
            if self.slicing.exclusive && !lost.is_empty() {
                actions.extend(slice.paused_until.is_none().then(|| set_level(0.0)));
                let pause = self.slicing.write_stop_delay + self.slicing.write_linger;
                if now < *slice.paused_until.get_or_insert(now + pause) {
                    continue;
                }
            }
            let server = usable[table % usable.len()];
            actions.push(Action::SetLine { table, server, weight: 1.0 });
            actions.extend(slice.paused_until.take().map(|_| set_level(UNLIMITED)));
            let removed = lost.iter().filter(|_| !self.slicing.exclusive);
            actions.extend(removed.map(|(server, _)| Action::SetLine {
                table,
                server: *server,
                weight: 0.0,
            }));
            slice.lines = kept.into_iter().filter(|line| line.0 != server).chain([(server, 1.0)]).collect();
        }
    }
}

/// A row for a subset, without lines yet.
fn row_of_subset(targets: &[Target]) -> impl Fn((&Subset, &(usize, f64))) -> Target + '_ {
    |(subset, (_, demand))| Target {
        lines: Vec::new(),
        demand: *demand,
        joined_demand: *demand,
        bound_zone: targets.get(subset.target_index).and_then(|target| target.bound_zone),
    }
}

fn round_weight(weight: f64) -> f64 {
    let scale = 2f64.powi(weight.max(1e-9).log2().floor() as i32) / WEIGHT_STEPS;
    (weight / scale).round() * scale
}

/// Lines to write, largest change first and additions ahead of removals. Only weight ratios matter in a
/// table, so the new weights are scaled to the current ones, and a removal does not rewrite other lines.
fn deltas(current: &[WeightedServer], desired: &[WeightedServer]) -> Vec<WeightedServer> {
    let current_weight = |at: ServerIndex| current.iter().find(|l| l.0 == at).map_or(0.0, |l| l.1);
    let mut ratios: Vec<f64> =
        desired.iter().map(|l| current_weight(l.0) / l.1).filter(|ratio| *ratio > 0.0).collect();
    ratios.sort_by(f64::total_cmp);
    let scale = ratios.get(ratios.len() / 2).copied().filter(|r| (0.01..100.0).contains(r)).unwrap_or(1.0);
    let mut changes: Vec<(ServerIndex, f64, f64)> = desired
        .iter()
        .map(|(at, weight)| (*at, weight * scale, current_weight(*at)))
        // A weight that rounds to 0 would remove a line that is not there, again in every turn.
        .filter(|(_, weight, current_weight)| *current_weight > 0.0 || round_weight(*weight) > 0.0)
        .filter(|(_, weight, current_weight)| (weight - current_weight).abs() > weight / WEIGHT_STEPS)
        .map(|(at, weight, current_weight)| (at, round_weight(weight), (weight - current_weight).abs()))
        .collect();
    changes.sort_by(|a, b| b.2.total_cmp(&a.2));
    let removed = current.iter().filter(|l| !desired.iter().any(|w| w.0 == l.0)).map(|l| (l.0, 0.0));
    changes.iter().map(|c| (c.0, c.1)).chain(removed).collect()
}
