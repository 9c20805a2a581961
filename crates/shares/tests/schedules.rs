//! Planners with drifting clocks that crash, lose their disks, pause and get cut off, under changing leaders
//! and late or lost commands: everything they may still cause together never exceeds the total. Injected
//! faults show that the check detects violations.

use pewtergap_shares::{Budget, BudgetAllocator, BudgetConfig, LocalShare, Shift, TOTAL_UNITS};
use pewtergap_time::{Moment, Span};
use proptest::prelude::*;
use std::collections::{BTreeMap, VecDeque};

const CONFIG: BudgetConfig = BudgetConfig {
    share_validity: Span::millis(400),
    effect_timeout: Span::millis(300),
    max_clock_drift: 0.02,
    planner_count: 4,
};
const FOUNDERS: usize = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InjectedFault {
    None,
    /// Returned units are free for others at once.
    NoEffectTimeout,
    /// A planner out of contact is considered gone with everything it caused.
    EarlyReclaim,
    /// Planners are renewed while units are being taken from them.
    RenewsDuringReclaim,
    /// Commands of an earlier start are applied.
    IgnoresStarts,
}

struct SimulatedPlanner {
    id: u64,
    start: u64,
    alive: bool,
    cut: bool,
    clock_rate: f64,
    share: LocalShare,
    applied: usize,
    /// The time of the request by its own clock, and the index it has to have applied.
    renewals: VecDeque<(Moment, Option<usize>)>,
    demand: f64,
    /// It knows nobody's demand.
    demand_unknown: bool,
}

struct Simulation {
    fault: InjectedFault,
    now: u64,
    planners: Vec<SimulatedPlanner>,
    log: Vec<Shift>,
    /// The state after each log index.
    states: Vec<Budget>,
    /// Proposed by the leader, not yet committed.
    pending: Vec<Shift>,
    commands: VecDeque<Shift>,
    leader: usize,
    allocator: BudgetAllocator,
    last_id: u64,
    /// Per disk: the units in use over time.
    in_use: BTreeMap<u64, VecDeque<(u64, u64)>>,
    max_in_use: u64,
    violation: Option<String>,
}

fn taken_from(shift: &Shift) -> Option<u64> {
    match shift {
        Shift::Back { from, .. } => Some(*from),
        Shift::End { of, .. } => Some(*of),
        _ => None,
    }
}

impl Simulation {
    fn new(fault: InjectedFault) -> Simulation {
        let config = Self::config(fault);
        let planner = |at: usize| SimulatedPlanner {
            id: at as u64 + 1,
            start: 1,
            alive: at < FOUNDERS,
            cut: false,
            clock_rate: 0.985 + 0.01 * at as f64,
            share: LocalShare::new(config, at as u64 + 1, 1, FOUNDERS as u64, at < FOUNDERS),
            applied: 0,
            renewals: VecDeque::new(),
            demand: 1.0 + at as f64,
            demand_unknown: false,
        };
        Simulation {
            fault,
            now: 1_000,
            planners: (0..4).map(planner).collect(),
            log: Vec::new(),
            states: vec![Budget::default()],
            pending: Vec::new(),
            commands: VecDeque::new(),
            leader: 0,
            allocator: BudgetAllocator::new(Moment(0), CONFIG),
            last_id: 4,
            in_use: BTreeMap::new(),
            max_in_use: 0,
            violation: None,
        }
    }

    fn config(fault: InjectedFault) -> BudgetConfig {
        match fault {
            InjectedFault::NoEffectTimeout | InjectedFault::EarlyReclaim => {
                BudgetConfig { effect_timeout: Span(0), ..CONFIG }
            }
            _ => CONFIG,
        }
    }

    fn clock(&self, at: usize) -> Moment {
        Moment((self.now as f64 * 1e6 * self.planners[at].clock_rate) as u64)
    }

    fn commit(&mut self, shift: Shift) {
        let mut state = self.states.last().cloned().unwrap_or_default();
        let index = self.log.len() as u64 + 1;
        let result = match (self.fault, &shift) {
            // Applies the shift as if versions were not checked.
            (InjectedFault::IgnoresStarts, Shift::Back { from, units, .. }) => {
                let number = state.holdings.get(from).map_or(0, |holding| holding.version);
                state.apply(index, &Shift::Back { from: *from, units: *units, number })
            }
            _ => state.apply(index, &shift),
        };
        let _ = result;
        if state.total() != TOTAL_UNITS {
            self.violation = Some(format!("the sum is {} after {shift:?}", state.total()));
        }
        self.log.push(shift);
        self.states.push(state);
    }

    fn become_leader(&mut self, at: usize, keep_pending: bool) {
        // What the old leader had in flight is in the new leader's log, or lost.
        for shift in std::mem::take(&mut self.pending) {
            if keep_pending {
                self.commit(shift);
            }
        }
        self.leader = at;
        let config = match self.fault {
            InjectedFault::EarlyReclaim => BudgetConfig { effect_timeout: Span(0), ..CONFIG },
            _ => CONFIG,
        };
        self.allocator = BudgetAllocator::new(self.clock(at), config);
    }

    fn has_leader(&self) -> bool {
        self.planners[self.leader].alive && !self.planners[self.leader].cut
    }

    fn propose(&mut self, shift: Shift) {
        if self.has_leader() && self.pending.len() < 8 {
            self.pending.push(shift);
        }
    }

    /// A planner's turn: it applies some entries, renews and issues its next shift.
    fn run_turn(&mut self, at: usize, parameter: usize) {
        if !self.planners[at].alive {
            return;
        }
        let (now, committed) = (self.clock(at), self.log.len());
        let planner = &mut self.planners[at];
        if !planner.cut {
            planner.applied = (planner.applied + parameter).min(committed);
        }
        let applied = planner.applied;
        while let Some((requested_at, Some(index))) = planner.renewals.front().copied() {
            if index > applied {
                break;
            }
            planner.share.on_renewed(requested_at);
            planner.renewals.pop_front();
        }
        if planner.renewals.len() > 4 {
            planner.renewals.pop_front();
        }
        if !planner.cut {
            planner.renewals.push_back((now, None));
        }
        let state = &self.states[applied];
        let demands: Vec<f64> =
            self.planners.iter().filter(|planner| planner.alive).map(|planner| planner.demand).collect();
        let position = self
            .planners
            .iter()
            .filter(|planner| planner.alive)
            .position(|planner| planner.id == self.planners[at].id);
        let fair_share = pewtergap_shares::fair_share(state.demand_pool(), &demands, position.unwrap_or(0));
        let holding = state.holdings.get(&self.planners[at].id).copied();
        let shift = {
            let planner = &mut self.planners[at];
            planner.share.next_shift(now, holding.as_ref(), (!planner.demand_unknown).then_some(fair_share))
        };
        if self.commands.len() < 16 {
            self.commands.extend(shift);
        }
    }

    /// The leader handles a renewal request.
    fn renew(&mut self, at: usize) {
        if !self.has_leader() || self.planners[at].cut || !self.planners[at].alive {
            return;
        }
        let (now, committed, id) = (self.clock(self.leader), self.log.len(), self.planners[at].id);
        let in_flight = self.pending.iter().any(|shift| taken_from(shift) == Some(id));
        if in_flight && self.fault != InjectedFault::RenewsDuringReclaim {
            return;
        }
        if let Some(open) = self.planners[at].renewals.iter_mut().find(|renewal| renewal.1.is_none()) {
            open.1 = Some(committed);
            self.allocator.on_renewal(now, id);
        }
    }

    fn allocate(&mut self) {
        if !self.has_leader() || !self.pending.is_empty() {
            return;
        }
        let now = self.clock(self.leader);
        // A confirmed leader acts on everything committed.
        let state = self.states[self.log.len()].clone();
        let members = self.planners.iter().map(|planner| (planner.id, Some(planner.demand))).collect();
        if let Some(shift) = self.allocator.next_shift(now, &state, &members) {
            self.propose(shift);
        }
    }

    fn restart(&mut self, at: usize, wiped: bool) {
        let config = Self::config(self.fault);
        if wiped {
            self.last_id += 1;
        }
        let (last_id, planner) = (self.last_id, &mut self.planners[at]);
        let is_founder = !wiped && (planner.id as usize) <= FOUNDERS;
        if wiped {
            (planner.id, planner.start, planner.applied) = (last_id, 0, 0);
        }
        planner.start += 1;
        let start = if self.fault == InjectedFault::IgnoresStarts { 1 } else { planner.start };
        planner.share = LocalShare::new(config, planner.id, start, FOUNDERS as u64, is_founder);
        planner.renewals.clear();
        planner.alive = true;
    }

    fn check(&mut self) {
        for at in 0..self.planners.len() {
            if !self.planners[at].alive {
                continue;
            }
            let (now, planner) = (self.clock(at), &self.planners[at]);
            let holding = self.states[planner.applied].holdings.get(&planner.id);
            let units = planner.share.usable_units(now, holding);
            self.in_use.entry(planner.id).or_default().push_back((self.now, units));
        }
        let effect_timeout = CONFIG.effect_timeout.0 / 1_000_000;
        let from = self.now.saturating_sub(effect_timeout);
        let mut sum = 0;
        for in_use in self.in_use.values_mut() {
            while in_use.front().is_some_and(|first| first.0 < from) {
                in_use.pop_front();
            }
            sum += in_use.iter().map(|c| c.1).max().unwrap_or(0);
        }
        self.max_in_use = self.max_in_use.max(sum);
        if sum > TOTAL_UNITS {
            let maxima: Vec<_> =
                self.in_use.iter().map(|(id, c)| (*id, c.iter().map(|c| c.1).max())).collect();
            self.violation = Some(format!("{sum} of {TOTAL_UNITS} are in use at {}: {maxima:?}", self.now));
        }
    }
}

type Step = (u8, u8, u8);

fn run_schedule(steps: &[Step], fault: InjectedFault) -> Simulation {
    let mut simulation = Simulation::new(fault);
    simulation.become_leader(0, true);
    for (operation, target, parameter) in steps {
        let at = *target as usize % simulation.planners.len();
        match operation % 32 {
            0..=7 => simulation.run_turn(at, *parameter as usize % 4),
            8..=14 => simulation.renew(at),
            15..=17 => simulation.allocate(),
            18..=20 => {
                if !simulation.pending.is_empty() && simulation.has_leader() {
                    let shift = simulation.pending.remove(0);
                    simulation.commit(shift);
                }
            }
            21..=23 => {
                // Commands arrive in any order and may be late.
                if !simulation.commands.is_empty() {
                    let at = *parameter as usize % simulation.commands.len();
                    if let Some(shift) = simulation.commands.remove(at) {
                        simulation.propose(shift);
                    }
                }
            }
            24 => simulation.planners[at].alive = false,
            25 => {
                if !simulation.planners[at].alive {
                    simulation.restart(at, *parameter % 4 == 0);
                }
            }
            26 => simulation.planners[at].cut = parameter % 2 == 0,
            27 => simulation.become_leader(at, parameter % 2 == 0),
            28 => simulation.planners[at].demand = f64::from(*parameter) / 16.0,
            29 => simulation.now += u64::from(*parameter),
            _ => (0..simulation.planners.len()).for_each(|at| {
                simulation.run_turn(at, 8);
                simulation.renew(at);
                simulation.run_turn(at, 8);
            }),
        }
        simulation.now += 1 + u64::from(*parameter) / 16;
        simulation.check();
        if simulation.violation.is_some() {
            break;
        }
    }
    simulation
}

fn random_schedule(seed: u64) -> Vec<Step> {
    let mut rng = fastrand::Rng::with_seed(seed);
    (0..900).map(|_| (rng.u8(..), rng.u8(..), rng.u8(..))).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn units_in_use_never_exceed_the_total(steps in prop::collection::vec(any::<Step>(), 200..900)) {
        prop_assert_eq!(run_schedule(&steps, InjectedFault::None).violation, None);
    }
}

#[test]
fn many_schedules_stay_within_the_total_and_use_most_of_it() {
    let mut max_in_use = 0;
    for seed in 0..1_500 {
        let simulation = run_schedule(&random_schedule(seed), InjectedFault::None);
        assert_eq!(simulation.violation, None, "seed {seed}");
        max_in_use = max_in_use.max(simulation.max_in_use);
    }
    // A limit that is never approached would also hold for a program that uses nothing.
    assert!(max_in_use > TOTAL_UNITS * 9 / 10, "{max_in_use}");
}

#[test]
fn injected_faults_are_detected() {
    for fault in [InjectedFault::NoEffectTimeout, InjectedFault::EarlyReclaim] {
        let found = (0..5_000).find_map(|seed| {
            run_schedule(&random_schedule(seed), fault).violation.map(|violation| (seed, violation))
        });
        println!("{fault:?}: {found:?}");
        assert!(found.is_some(), "{fault:?} is not detected");
    }
}

fn run(simulation: &mut Simulation, except: Option<usize>, rounds: usize) {
    for _ in 0..rounds {
        for at in (0..3).filter(|at| Some(*at) != except) {
            simulation.run_turn(at, 9);
            simulation.renew(at);
            simulation.run_turn(at, 9);
        }
        while let Some(shift) = simulation.commands.pop_front() {
            simulation.propose(shift);
        }
        while !simulation.pending.is_empty() {
            let shift = simulation.pending.remove(0);
            simulation.commit(shift);
        }
        simulation.allocate();
        simulation.now += 50;
        simulation.check();
    }
}

/// Units are being taken from a planner out of contact when it is heard again: it must not be renewed before
/// it has seen that.
fn contact_regained_during_reclaim(fault: InjectedFault) -> Simulation {
    let mut simulation = Simulation::new(fault);
    simulation.become_leader(0, true);
    run(&mut simulation, None, 40);
    simulation.planners[1].cut = true;
    while !simulation.pending.iter().any(|shift| taken_from(shift) == Some(2)) {
        run(&mut simulation, Some(1), 1);
    }
    // In contact again while units are being taken from it; it applies none of the following entries.
    (simulation.planners[1].cut, simulation.planners[1].demand, simulation.planners[1].demand_unknown) =
        (false, 0.0, true);
    simulation.planners[1].renewals.clear();
    simulation.planners[1].applied = simulation.log.len();
    simulation.run_turn(1, 0);
    simulation.renew(1);
    simulation.run_turn(1, 0);
    run(&mut simulation, Some(1), 5);
    simulation
}

/// A planner returns units and crashes while the command is in flight: after its restart it knows nothing of
/// it and uses all of them.
fn crash_during_return(fault: InjectedFault) -> Simulation {
    let mut simulation = Simulation::new(fault);
    simulation.become_leader(0, true);
    run(&mut simulation, None, 40);
    simulation.planners[1].demand = 0.0;
    let returned = loop {
        run(&mut simulation, Some(1), 1);
        simulation.run_turn(1, 9);
        simulation.renew(1);
        let back = simulation.commands.iter().position(|shift| taken_from(shift) == Some(2));
        if let Some(shift) = back.and_then(|at| simulation.commands.remove(at)) {
            break shift;
        }
    };
    simulation.planners[1].alive = false;
    simulation.restart(1, false);
    simulation.planners[1].demand_unknown = true;
    for _ in 0..3 {
        simulation.run_turn(1, 9);
        simulation.renew(1);
        run(&mut simulation, Some(1), 1);
    }
    simulation.propose(returned);
    run(&mut simulation, Some(1), 5);
    simulation
}

#[test]
fn no_planner_is_renewed_while_units_are_taken_from_it() {
    assert_eq!(contact_regained_during_reclaim(InjectedFault::None).violation, None);
    assert!(
        contact_regained_during_reclaim(InjectedFault::RenewsDuringReclaim).violation.is_some(),
        "the fault is not detected"
    );
}

#[test]
fn commands_of_an_earlier_start_are_rejected() {
    assert_eq!(crash_during_return(InjectedFault::None).violation, None);
    assert!(
        crash_during_return(InjectedFault::IgnoresStarts).violation.is_some(),
        "the fault is not detected"
    );
}
