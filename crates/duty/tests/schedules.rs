//! Planners with fast and slow clocks that are paused at any step, a leader that changes, and messages that
//! are late or lost: no two planners may act on one duty at the same time. Injected faults show that the
//! check detects violations.

use pewtergap_duty::{DutyAssigner, DutyAssignment, HeldDuties, LeaseConfig, Move, Planner};
use pewtergap_time::{Moment, Span};
use proptest::prelude::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const NANOS_PER_MS: u64 = 1_000_000;
const LEASE: LeaseConfig = LeaseConfig {
    duration: Span::millis(600),
    renew_interval: Span::millis(100),
    max_pause: Span::millis(200),
    max_clock_drift: 0.02,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InjectedFault {
    None,
    /// The lease counts from the arrival of the answer.
    LeaseFromAnswer,
    /// Planners are renewed while one of their duties is being reassigned.
    RenewsDuringReassignment,
    /// The leader waits for less time than the holder trusts its lease.
    ShortWait,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick(usize),
    /// Sender, time of the request by its clock, receiver.
    Renew(usize, u64, usize),
    /// The leader's round: for whom, time of the request, leader, term, index of the record.
    Confirm(usize, u64, usize, u64, u64),
    Renewed(usize, u64, u64),
    Commit {
        term: u64,
        duty: String,
        to: Option<usize>,
        number: u64,
    },
    Applied(usize, u64),
    ReleaseRequested(usize, String, u64),
    Elect,
    Pause(usize),
    Resume(usize),
}

struct Simulation {
    rng: fastrand::Rng,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_count: u64,
    planners: Vec<SimulatedPlanner>,
    leader: usize,
    term: u64,
    /// The states of the record in order: holder and fencing token of each duty.
    log: Vec<BTreeMap<String, (Option<usize>, u64)>>,
    duties: Vec<String>,
    fault: InjectedFault,
    active_count: usize,
}

struct SimulatedPlanner {
    held_duties: HeldDuties,
    assigner: Option<(DutyAssigner, u64)>,
    clock_rate: f64,
    applied: usize,
    pending_assignments: BTreeMap<String, Option<usize>>,
    paused: Option<Vec<Event>>,
}

impl Simulation {
    fn new(seed: u64, fault: InjectedFault) -> Simulation {
        let mut rng = fastrand::Rng::with_seed(seed);
        let count = rng.usize(2..6);
        let planner = |rng: &mut fastrand::Rng| SimulatedPlanner {
            held_duties: HeldDuties::new(LEASE),
            assigner: None,
            clock_rate: 1.0 + LEASE.max_clock_drift * (rng.f64() * 2.0 - 1.0),
            applied: 0,
            pending_assignments: BTreeMap::new(),
            paused: None,
        };
        let planners = (0..count).map(|_| planner(&mut rng)).collect();
        let duties = (0..rng.usize(1..5)).map(|at| format!("d{at}")).collect();
        let mut simulation = Simulation {
            rng,
            now: 1_000_000 * NANOS_PER_MS,
            queue: BinaryHeap::new(),
            event_count: 0,
            planners,
            leader: 0,
            term: 1,
            log: vec![BTreeMap::new()],
            duties,
            fault,
            active_count: 0,
        };
        (0..count).for_each(|at| simulation.after(1, Event::Tick(at)));
        simulation.after(700, Event::Elect);
        simulation.after(300, Event::Pause(0));
        simulation
    }

    fn after(&mut self, ms: u64, event: Event) {
        self.event_count += 1;
        self.queue.push(Reverse((
            self.now + ms * NANOS_PER_MS + self.rng.u64(0..NANOS_PER_MS),
            self.event_count,
            event,
        )));
    }

    /// Delivers an event quickly, slowly or never.
    fn send_lossy(&mut self, event: Event) {
        let ms = match self.rng.u8(0..20) {
            0 => return,
            1..=3 => self.rng.u64(20..400),
            _ => self.rng.u64(0..4),
        };
        self.after(ms, event);
    }

    fn clock(&self, at: usize) -> Moment {
        Moment((self.now as f64 * self.planners[at].clock_rate) as u64)
    }

    fn learn(&mut self, at: usize, index: usize) {
        let now = self.clock(at);
        let planner = &mut self.planners[at];
        planner.applied = planner.applied.max(index);
        let state = &self.log[planner.applied];
        let ours = state.iter().filter(|assignment| assignment.1 .0 == Some(at));
        planner
            .held_duties
            .update_assignments(now, ours.map(|(duty, assignment)| (duty.as_str(), assignment.1)));
        planner.held_duties.take_actions();
    }

    fn target_planner(event: &Event) -> Option<usize> {
        match event {
            Event::Tick(at)
            | Event::Renewed(at, ..)
            | Event::Applied(at, _)
            | Event::ReleaseRequested(at, ..) => Some(*at),
            Event::Renew(_, _, to) => Some(*to),
            _ => None,
        }
    }

    fn step(&mut self) {
        let Some(Reverse((at, _, event))) = self.queue.pop() else { return };
        self.now = at;
        if let Some(paused) =
            Simulation::target_planner(&event).and_then(|planner| self.planners[planner].paused.as_mut())
        {
            return paused.push(event);
        }
        match event {
            Event::Tick(at) => self.tick(at),
            Event::Renew(from, requested_at, to) => self.renew(from, requested_at, to),
            Event::Confirm(from, requested_at, by, term, index) => {
                // A majority acknowledges a leader's round only while there is no later leader.
                if self.term == term && self.leader == by {
                    self.send_lossy(Event::Renewed(from, requested_at, index));
                }
            }
            Event::Renewed(at, requested_at, index) => {
                self.learn(at, index as usize);
                let now = self.clock(at);
                let requested_at =
                    if self.fault == InjectedFault::LeaseFromAnswer { now } else { Moment(requested_at) };
                self.planners[at].held_duties.on_renewed(now, requested_at);
            }
            Event::Commit { term, duty, to, number } => self.commit(term, duty, to, number),
            Event::Applied(at, index) => self.learn(at, index as usize),
            Event::ReleaseRequested(at, duty, number) => {
                let planner = &mut self.planners[at];
                if planner.held_duties.held().any(|held| held.0 == duty && held.1 == number) {
                    planner.held_duties.release(Some(&duty));
                }
            }
            Event::Elect => {
                (self.leader, self.term) = (self.rng.usize(0..self.planners.len()), self.term + 1);
                let ms = self.rng.u64(100..3_000);
                self.after(ms, Event::Elect);
            }
            Event::Pause(at) => {
                self.planners[at].paused = Some(Vec::new());
                let (duration, next) = (self.rng.u64(5..1_500), self.rng.u64(50..800));
                self.after(duration, Event::Resume(at));
                let planner = self.rng.usize(0..self.planners.len());
                self.after(duration + next, Event::Pause(planner));
            }
            Event::Resume(at) => {
                let events = self.planners[at].paused.take().unwrap_or_default();
                events.into_iter().for_each(|event| self.after(0, event));
            }
        }
    }

    fn tick(&mut self, at: usize) {
        let now = self.clock(at);
        self.after(20, Event::Tick(at));
        self.planners[at].held_duties.tick(now);
        if self.rng.u8(0..5) == 0 {
            // The planner it takes for the leader: the present one or an arbitrary one.
            let leader =
                if self.rng.u8(0..6) == 0 { self.rng.usize(0..self.planners.len()) } else { self.leader };
            self.send_lossy(Event::Renew(at, now.0, leader));
        }
        for (duty, number) in self.planners[at].held_duties.releasing() {
            let term = self.term;
            self.send_lossy(Event::Commit { term, duty, to: None, number });
        }
        // A former leader keeps planning until it hears of the new one; its proposals are not committed.
        if self.leader == at {
            self.lead(at, now);
        }
    }

    fn lead(&mut self, at: usize, now: Moment) {
        let term = self.term;
        if self.planners[at].assigner.as_ref().is_none_or(|assigner| assigner.1 != term) {
            let lease = match self.fault {
                InjectedFault::ShortWait => LeaseConfig { duration: Span::millis(300), ..LEASE },
                _ => LEASE,
            };
            self.planners[at].assigner = Some((DutyAssigner::new(now, lease, Span::millis(200)), term));
            self.planners[at].pending_assignments.clear();
            // Its first entry is committed, so it knows everything that was.
            let last = self.log.len() - 1;
            self.learn(at, last);
        }
        let state = self.log[self.planners[at].applied].clone();
        // An assignment that is neither committed nor lost blocks further plans and renewals.
        if !self.planners[at].pending_assignments.is_empty() {
            return;
        }
        let assignments = state.iter().map(|(duty, (holder, number))| {
            let holder = holder.map_or(0, |holder| holder as u64 + 1);
            (duty.clone(), DutyAssignment { holder, fencing_token: *number, pinned_to: None })
        });
        let assignments: BTreeMap<String, DutyAssignment> = assignments.collect();
        let planners: Vec<Planner> = (0..self.planners.len())
            .map(|id| Planner { id: id as u64 + 1, name: format!("p{id}") })
            .collect();
        let duties = self.duties.clone();
        let Some((assigner, _)) = &mut self.planners[at].assigner else { return };
        for next_move in assigner.plan(now, &duties, &assignments, &planners, false) {
            match next_move {
                Move::Assign { duty, to, expected_fencing_token: number } => {
                    let from = assignments.get(&duty).map_or(0, |assignments| assignments.holder);
                    self.planners[at]
                        .pending_assignments
                        .insert(duty.clone(), from.checked_sub(1).map(|from| from as usize));
                    let to = Some(to as usize - 1);
                    let ms = self.rng.u64(0..60);
                    self.after(ms, Event::Commit { term, duty, to, number });
                }
                Move::RequestRelease { duty, holder, fencing_token: number } => {
                    self.send_lossy(Event::ReleaseRequested(holder as usize - 1, duty, number));
                }
            }
        }
    }

    fn renew(&mut self, from: usize, requested_at: u64, to: usize) {
        let now = self.clock(to);
        let (term, index) = (self.term, self.log.len() as u64 - 1);
        let planner = &mut self.planners[to];
        let Some((assigner, led)) = &mut planner.assigner else { return };
        // It may have been deposed without knowing; then no majority acknowledges its round.
        let own_term = *led;
        if planner.pending_assignments.values().any(|holder| *holder == Some(from))
            && self.fault != InjectedFault::RenewsDuringReassignment
        {
            return;
        }
        assigner.on_renewal(now, from as u64 + 1);
        if own_term == term && self.leader == to {
            let ms = self.rng.u64(0..30);
            self.after(ms, Event::Confirm(from, requested_at, to, term, index));
        }
    }

    fn commit(&mut self, term: u64, duty: String, to: Option<usize>, number: u64) {
        let mut state = self.log.last().cloned().unwrap_or_default();
        let current = state.get(&duty).map_or(0, |assignment| assignment.1);
        // Proposals of a former leader are lost; decisions made under another token are rejected.
        let committed = term == self.term && current == number;
        if committed {
            let next = if to.is_some() { self.log.len() as u64 } else { number };
            state.insert(duty.clone(), (to, next));
            self.log.push(state);
        }
        // A leader's own commands are committed in its own term, or it is no longer the leader.
        if term != self.term {
            return;
        }
        let leader = self.leader;
        let last = self.log.len() - 1;
        // The leader applies it at once, the others when they learn of it.
        self.learn(leader, last);
        self.planners[leader].pending_assignments.remove(&duty);
        for at in 0..self.planners.len() {
            self.send_lossy(Event::Applied(at, last as u64));
        }
    }

    /// Looks for two planners that may act on one duty at the same time.
    fn find_violation(&mut self) -> Option<String> {
        for duty in &self.duties {
            let acting: Vec<(usize, u64)> = (0..self.planners.len())
                .filter_map(|at| {
                    Some((at, self.planners[at].held_duties.fencing_token(self.clock(at), duty)?))
                })
                .collect();
            self.active_count += acting.len();
            if acting.len() > 1 {
                return Some(format!("{duty} performed by {acting:?}"));
            }
        }
        None
    }

    fn run(seed: u64, fault: InjectedFault, steps: usize) -> Result<usize, String> {
        let mut simulation = Simulation::new(seed, fault);
        for step in 0..steps {
            simulation.step();
            if let Some(violation) = simulation.find_violation() {
                return Err(format!("seed {seed}, step {step}: {violation}"));
            }
        }
        Ok(simulation.active_count)
    }
}

#[test]
fn no_two_planners_act_on_one_duty_at_once() {
    let mut active_count = 0;
    for seed in 0..1_500 {
        active_count +=
            Simulation::run(seed, InjectedFault::None, 1_500).unwrap_or_else(|why| panic!("{why}"));
    }
    // Duties are held most of the time; otherwise the check would prove nothing.
    assert!(active_count > 1_500_000, "{active_count}");
}

#[test]
fn injected_faults_are_detected() {
    for fault in
        [InjectedFault::LeaseFromAnswer, InjectedFault::RenewsDuringReassignment, InjectedFault::ShortWait]
    {
        let found = (0..1_500).find_map(|seed| Simulation::run(seed, fault, 1_500).err());
        assert!(found.is_some(), "{fault:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn no_two_planners_act_at_once_in_random_schedules(seed in any::<u64>()) {
        prop_assert!(Simulation::run(seed, InjectedFault::None, 1_000).is_ok());
    }
}
