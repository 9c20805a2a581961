//! Planners with changing counts that crash and come back, and reports that are late, partial or lost: at
//! every read the interval contains the true sum. Injected faults show that the check detects violations.

use pewtergap_counts::{CountReport, LocalCounts, PeerCounts, ReportRequest};
use pewtergap_time::{Moment, Span};
use proptest::prelude::*;
use std::collections::VecDeque;

const PLANNERS: usize = 4;
const KEY: &str = "joined";
const MAX_VALUE: f64 = 60.0;
const MAX_AGE: Span = Span::millis(2_000);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InjectedFault {
    None,
    /// Ranges begin at the last report sent, even if it did not arrive.
    RangesFromSent,
    /// A planner that comes back keeps its start number, so it is not told apart from its earlier start.
    ReusedStart,
    /// A planner out of contact counts with exactly its last value.
    TrustsLastValue,
    /// A late answer counts for the open request.
    IgnoresTokens,
}

/// A report in flight and its sender.
struct ReportInFlight {
    from: usize,
    report: CountReport,
}

struct Simulation {
    now: u64,
    values: Vec<f64>,
    local_counts: Vec<Option<LocalCounts>>,
    starts: Vec<u64>,
    /// The token of the last request to each planner.
    last_tokens: Vec<u64>,
    peer_counts: PeerCounts,
    /// Requests by planner 0: the recipient and the request.
    requests: VecDeque<(usize, ReportRequest)>,
    in_flight: VecDeque<ReportInFlight>,
    /// The true sum of the others over time.
    true_sums: Vec<(u64, f64)>,
    reads: usize,
    narrow_reads: usize,
    violation: Option<String>,
}

impl Simulation {
    fn new() -> Simulation {
        Simulation {
            now: 1_000,
            values: vec![0.0; PLANNERS],
            local_counts: (0..PLANNERS).map(|_| Some(LocalCounts::new(1))).collect(),
            starts: vec![1; PLANNERS],
            last_tokens: vec![0; PLANNERS],
            peer_counts: PeerCounts::default(),
            requests: VecDeque::new(),
            in_flight: VecDeque::new(),
            true_sums: vec![(0, 0.0)],
            reads: 0,
            narrow_reads: 0,
            violation: None,
        }
    }

    fn moment(&self) -> Moment {
        Moment(self.now * 1_000_000)
    }

    fn set(&mut self, at: usize, value: f64) {
        self.values[at] = value;
        if let Some(local_counts) = &mut self.local_counts[at] {
            local_counts.set(KEY, value);
        }
        self.true_sums.push((self.now, self.values[1..].iter().sum()));
    }

    fn read(&mut self, fault: InjectedFault) {
        let members: Vec<u64> = (1..PLANNERS as u64).collect();
        let now = self.moment();
        let mut estimate = self.peer_counts.estimate(now, KEY, &members, MAX_AGE, Some(MAX_VALUE));
        if fault == InjectedFault::TrustsLastValue && estimate.missing_peers > 0 {
            (estimate.min, estimate.max) = (estimate.value, Some(estimate.value));
        }
        let at = (now - estimate.age).0 / 1_000_000;
        self.reads += 1;
        let Some(max) = estimate.max else { return };
        // Every value of the sum within that millisecond is accepted.
        let before = self.true_sums.iter().rev().find(|t| t.0 < at).map(|t| t.1);
        let within = self.true_sums.iter().filter(|t| t.0 == at).map(|t| t.1);
        let mut any = before.into_iter().chain(within);
        if !any.any(|sum| estimate.min <= sum && sum <= max) {
            self.violation = Some(format!("no true value at {at} lies in {estimate:?}"));
        }
        self.narrow_reads += usize::from(max - estimate.min < MAX_VALUE);
    }
}

fn run_schedule(steps: &[(u8, u8, u8)], fault: InjectedFault) -> Simulation {
    let mut simulation = Simulation::new();
    for (operation, target, parameter) in steps {
        let at = 1 + *target as usize % (PLANNERS - 1);
        match operation % 24 {
            0..=5 => {
                if simulation.local_counts[at].is_some() {
                    simulation.set(at, f64::from(parameter % MAX_VALUE as u8));
                }
            }
            6..=10 => {
                let request = simulation.peer_counts.request_report(simulation.moment(), at as u64);
                simulation.last_tokens[at] =
                    request.map_or(simulation.last_tokens[at], |request| request.token);
                simulation.requests.extend(request.map(|request| (at, request)));
            }
            11..=14 => {
                if let Some((at, request)) = simulation.requests.pop_front() {
                    if let Some(local_counts) = &mut simulation.local_counts[at] {
                        if fault == InjectedFault::RangesFromSent {
                            // As if everything sent had arrived.
                            let sent =
                                local_counts.make_report(0, request).map_or(0, |report| report.sequence);
                            let report = local_counts.make_report(
                                0,
                                ReportRequest {
                                    start: simulation.starts[at],
                                    last_sequence: sent,
                                    ..request
                                },
                            );
                            let report = report
                                .map(|report| CountReport { base_sequence: request.last_sequence, ..report });
                            simulation
                                .in_flight
                                .extend(report.map(|report| ReportInFlight { from: at, report }));
                        } else {
                            let report = local_counts.make_report(0, request);
                            simulation
                                .in_flight
                                .extend(report.map(|report| ReportInFlight { from: at, report }));
                        }
                    }
                }
            }
            15..=18 => {
                if !simulation.in_flight.is_empty() {
                    let in_flight_report =
                        simulation.in_flight.remove(*parameter as usize % simulation.in_flight.len());
                    if let Some(mut in_flight_report) = in_flight_report {
                        let now = simulation.moment();
                        if fault == InjectedFault::IgnoresTokens {
                            in_flight_report.report.token = simulation.last_tokens[in_flight_report.from];
                        }
                        simulation.peer_counts.receive(
                            now,
                            in_flight_report.from as u64,
                            &in_flight_report.report,
                        );
                        // A duplicate changes nothing.
                        simulation.peer_counts.receive(
                            now,
                            in_flight_report.from as u64,
                            &in_flight_report.report,
                        );
                    }
                }
            }
            19 => {
                // The connection to one planner breaks: what is in flight is lost, or arrives after the next
                // request.
                if parameter % 2 == 0 {
                    simulation.in_flight.retain(|in_flight_report| in_flight_report.from != at);
                    simulation.requests.retain(|request| request.0 != at);
                }
                simulation.peer_counts.cancel_request(at as u64);
            }
            20 => {
                if parameter % 4 == 0 && simulation.local_counts[at].is_some() {
                    simulation.local_counts[at] = None;
                    simulation.set(at, 0.0);
                }
            }
            21 => {
                if simulation.local_counts[at].is_none() {
                    simulation.starts[at] += 1;
                    let start = if fault == InjectedFault::ReusedStart { 1 } else { simulation.starts[at] };
                    simulation.local_counts[at] = Some(LocalCounts::new(start));
                }
            }
            _ => simulation.read(fault),
        }
        simulation.now += 1 + u64::from(*parameter) / 32;
        simulation.read(fault);
        if simulation.violation.is_some() {
            break;
        }
    }
    simulation
}

fn random_schedule(seed: u64) -> Vec<(u8, u8, u8)> {
    let mut rng = fastrand::Rng::with_seed(seed);
    (0..600).map(|_| (rng.u8(..), rng.u8(..), rng.u8(..))).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_interval_contains_the_true_sum(steps in prop::collection::vec(any::<(u8, u8, u8)>(), 100..600)) {
        prop_assert_eq!(run_schedule(&steps, InjectedFault::None).violation, None);
    }
}

#[test]
fn many_schedules_contain_the_sum_and_some_narrowly() {
    let (mut reads, mut narrow_reads) = (0, 0);
    for seed in 0..2_000 {
        let simulation = run_schedule(&random_schedule(seed), InjectedFault::None);
        assert_eq!(simulation.violation, None, "seed {seed}");
        (reads, narrow_reads) = (reads + simulation.reads, narrow_reads + simulation.narrow_reads);
    }
    // An interval that spans all possible values would always hold.
    assert!(
        narrow_reads * 100 > reads,
        "{narrow_reads} of {reads} reads are narrower than one planner's most"
    );
}

#[test]
fn injected_faults_are_detected() {
    for fault in [
        InjectedFault::RangesFromSent,
        InjectedFault::ReusedStart,
        InjectedFault::TrustsLastValue,
        InjectedFault::IgnoresTokens,
    ] {
        let found = (0..5_000).find_map(|seed| {
            run_schedule(&random_schedule(seed), fault).violation.map(|violation| (seed, violation))
        });
        println!("{fault:?}: {found:?}");
        assert!(found.is_some(), "{fault:?} is not detected");
    }
}
