//! Planners whose counts change all the time, whose parts come late, in part or never, that are killed and come back: the
//! interval holds what the sum truly was, at every read. And the breaks this has to find.

use pewtergap_counts::{CountReport, LocalCounts, PeerCounts, ReportRequest};
use pewtergap_time::{Moment, Span};
use proptest::prelude::*;
use std::collections::VecDeque;

const PLANNERS: usize = 4;
const KEY: &str = "joined";
const MOST: f64 = 60.0;
const FRESH: Span = Span::millis(2_000);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Planted {
    Nothing,
    /// Windows begin with the part that was sent, whether or not it came.
    FromSent,
    /// A planner that comes back counts beside what it was.
    Twice,
    /// Whoever is not heard counts for what it said last, exactly.
    Believed,
    /// A late answer counts for one to the question that is open.
    AnyAnswer,
}

/// A part under way: from whom, what it is in answer to.
struct Way {
    from: usize,
    part: CountReport,
}

struct World {
    now: u64,
    values: Vec<f64>,
    own: Vec<Option<LocalCounts>>,
    starts: Vec<u64>,
    /// The token of the last question to each.
    last: Vec<u64>,
    others: PeerCounts,
    /// What planner 0 has asked: of whom, and what it said that it has.
    asks: VecDeque<(usize, ReportRequest)>,
    ways: VecDeque<Way>,
    /// The true sum of the others, from each moment on.
    truth: Vec<(u64, f64)>,
    reads: usize,
    tight: usize,
    wrong: Option<String>,
}

impl World {
    fn new() -> World {
        World {
            now: 1_000,
            values: vec![0.0; PLANNERS],
            own: (0..PLANNERS).map(|_| Some(LocalCounts::new(1))).collect(),
            starts: vec![1; PLANNERS],
            last: vec![0; PLANNERS],
            others: PeerCounts::default(),
            asks: VecDeque::new(),
            ways: VecDeque::new(),
            truth: vec![(0, 0.0)],
            reads: 0,
            tight: 0,
            wrong: None,
        }
    }

    fn moment(&self) -> Moment {
        Moment(self.now * 1_000_000)
    }

    fn set(&mut self, at: usize, value: f64) {
        self.values[at] = value;
        if let Some(own) = &mut self.own[at] {
            own.set(KEY, value);
        }
        self.truth.push((self.now, self.values[1..].iter().sum()));
    }

    fn read(&mut self, planted: Planted) {
        let belong: Vec<u64> = (1..PLANNERS as u64).collect();
        let now = self.moment();
        let mut figure = self.others.estimate(now, KEY, &belong, FRESH, Some(MOST));
        if planted == Planted::Believed && figure.missing_peers > 0 {
            (figure.min, figure.max) = (figure.value, Some(figure.value));
        }
        let at = (now - figure.age).0 / 1_000_000;
        self.reads += 1;
        let Some(most) = figure.max else { return };
        // All values the sum had within that millisecond count as what it was then.
        let before = self.truth.iter().rev().find(|t| t.0 < at).map(|t| t.1);
        let within = self.truth.iter().filter(|t| t.0 == at).map(|t| t.1);
        let mut any = before.into_iter().chain(within);
        if !any.any(|sum| figure.min <= sum && sum <= most) {
            self.wrong = Some(format!("at {at} it was none of {figure:?}"));
        }
        self.tight += usize::from(most - figure.min < MOST);
    }
}

fn play(steps: &[(u8, u8, u8)], planted: Planted) -> World {
    let mut world = World::new();
    for (what, whom, much) in steps {
        let at = 1 + *whom as usize % (PLANNERS - 1);
        match what % 24 {
            0..=5 => {
                if world.own[at].is_some() {
                    world.set(at, f64::from(much % MOST as u8));
                }
            }
            6..=10 => {
                let has = world.others.request_report(world.moment(), at as u64);
                world.last[at] = has.map_or(world.last[at], |has| has.token);
                world.asks.extend(has.map(|has| (at, has)));
            }
            11..=14 => {
                if let Some((at, has)) = world.asks.pop_front() {
                    if let Some(own) = &mut world.own[at] {
                        if planted == Planted::FromSent {
                            // As if whatever was sent had come.
                            let sent = own.make_report(0, has).map_or(0, |part| part.sequence);
                            let part = own.make_report(
                                0,
                                ReportRequest { start: world.starts[at], last_sequence: sent, ..has },
                            );
                            let part =
                                part.map(|part| CountReport { base_sequence: has.last_sequence, ..part });
                            world.ways.extend(part.map(|part| Way { from: at, part }));
                        } else {
                            let part = own.make_report(0, has);
                            world.ways.extend(part.map(|part| Way { from: at, part }));
                        }
                    }
                }
            }
            15..=18 => {
                if !world.ways.is_empty() {
                    let way = world.ways.remove(*much as usize % world.ways.len());
                    if let Some(mut way) = way {
                        let now = world.moment();
                        if planted == Planted::AnyAnswer {
                            way.part.token = world.last[way.from];
                        }
                        world.others.receive(now, way.from as u64, &way.part);
                        // Again: it changes nothing.
                        world.others.receive(now, way.from as u64, &way.part);
                    }
                }
            }
            19 => {
                // The way to one breaks: what was on it is lost, or comes after the next question.
                if much % 2 == 0 {
                    world.ways.retain(|way| way.from != at);
                    world.asks.retain(|ask| ask.0 != at);
                }
                world.others.cancel_request(at as u64);
            }
            20 => {
                if much % 4 == 0 && world.own[at].is_some() {
                    world.own[at] = None;
                    world.set(at, 0.0);
                }
            }
            21 => {
                if world.own[at].is_none() {
                    world.starts[at] += 1;
                    let start = if planted == Planted::Twice { 1 } else { world.starts[at] };
                    world.own[at] = Some(LocalCounts::new(start));
                }
            }
            _ => world.read(planted),
        }
        world.now += 1 + u64::from(*much) / 32;
        world.read(planted);
        if world.wrong.is_some() {
            break;
        }
    }
    world
}

fn drawn(seed: u64) -> Vec<(u8, u8, u8)> {
    let mut rng = fastrand::Rng::with_seed(seed);
    (0..600).map(|_| (rng.u8(..), rng.u8(..), rng.u8(..))).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_interval_holds_the_true_sum(steps in prop::collection::vec(any::<(u8, u8, u8)>(), 100..600)) {
        prop_assert_eq!(play(&steps, Planted::Nothing).wrong, None);
    }
}

#[test]
fn thousands_of_schedules_hold_it_and_some_hold_it_closely() {
    let (mut reads, mut tight) = (0, 0);
    for seed in 0..2_000 {
        let world = play(&drawn(seed), Planted::Nothing);
        assert_eq!(world.wrong, None, "seed {seed}");
        (reads, tight) = (reads + world.reads, tight + world.tight);
    }
    // An interval as wide as all that may be would hold everything.
    assert!(tight * 100 > reads, "{tight} of {reads} reads are narrower than one planner's most");
}

#[test]
fn each_break_is_found() {
    for planted in [Planted::FromSent, Planted::Twice, Planted::Believed, Planted::AnyAnswer] {
        let found = (0..5_000).find_map(|seed| play(&drawn(seed), planted).wrong.map(|wrong| (seed, wrong)));
        println!("{planted:?}: {found:?}");
        assert!(found.is_some(), "{planted:?} is not found");
    }
}
