//! What a hollow planner's process knows of its planners: when each place came into force, where each watches. Bounded,
//! and answered as a whole: times as a histogram, never a line a planner.

use hdrhistogram::Histogram;
use pewtergap_time::{Moment, Span};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Last steps of a planner's place that are kept, and of its watch. 100 changes in a second are some ten steps.
const MOST_STEPS: usize = 512;
const MOST_TURNS: usize = 32;

/// One planner.
#[derive(Clone, Debug, Default)]
pub struct Track {
    pub name: String,
    pub region: usize,
    steps: VecDeque<(u64, Moment)>,
    /// The highest place of which a step was forgotten.
    forgotten: u64,
    turns: VecDeque<(Moment, Option<String>)>,
    /// Times at which its place fell, and the first of them.
    falls: u64,
    fell: Option<(u64, u64)>,
    lost_why: BTreeMap<String, u64>,
    pub state: usize,
    pub came: u64,
    pub went: u64,
}

impl Track {
    pub fn new(name: String, region: usize) -> Track {
        Track { name, region, ..Track::default() }
    }

    pub fn place(&self) -> u64 {
        self.steps.back().map_or(0, |step| step.0)
    }

    /// All up to this place is in force here, from now on.
    pub fn stands(&mut self, now: Moment, place: u64) {
        let last = self.place();
        if place < last {
            self.falls += 1;
            self.fell.get_or_insert((last, place));
        }
        self.steps.push_back((place, now));
        if self.steps.len() > MOST_STEPS {
            let gone = self.steps.pop_front().map_or(0, |step| step.0);
            self.forgotten = self.forgotten.max(gone);
        }
    }

    pub fn watches(&mut self, now: Moment, at: Option<String>) {
        self.turns.push_back((now, at));
        if self.turns.len() > MOST_TURNS {
            self.turns.pop_front();
        }
    }

    pub fn lost(&mut self, now: Moment, why: &str) {
        *self.lost_why.entry(why.into()).or_default() += 1;
        self.watches(now, None);
    }

    fn watching(&self) -> Option<&str> {
        self.turns.back()?.1.as_deref()
    }

    /// When it had this place first, or a later one; none: it has not, or it is forgotten.
    pub fn first(&self, place: u64) -> Option<Moment> {
        if place <= self.forgotten {
            return None;
        }
        self.steps.iter().find(|step| step.0 >= place).map(|step| step.1)
    }

    /// The watch at that moment.
    fn at(&self, when: Moment) -> Option<&str> {
        self.turns.iter().rev().find(|turn| turn.0 <= when)?.1.as_deref()
    }

    /// From that moment until it watches again; nothing if its watch has stood all the time.
    fn again(&self, since: Moment) -> Option<Option<Span>> {
        let mut turns = self.turns.iter().filter(|turn| turn.0 > since);
        let lost = turns.clone().any(|turn| turn.1.is_none()) || self.at(since).is_none();
        lost.then(|| turns.find(|turn| turn.1.is_some()).map(|turn| turn.0.since(since)))
    }

    /// From its first loss after that moment until it watches.
    fn back(&self, since: Moment) -> Option<Option<Span>> {
        let mut turns = self.turns.iter().filter(|turn| turn.0 > since);
        let lost = turns.find(|turn| turn.1.is_none())?.0;
        Some(turns.find(|turn| turn.1.is_some()).map(|turn| turn.0.since(lost)))
    }

    fn caught(&self, place: u64, since: Moment) -> Option<Option<Span>> {
        if self.at(since).is_some() {
            return None;
        }
        let heard = self.turns.iter().find(|turn| turn.0 > since && turn.1.is_some());
        Some(heard.and_then(|heard| Some(self.first(place)?.since(heard.0))))
    }
}

/// Times in microseconds, as the values of a histogram of three digits and how often each came.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Spread {
    pub counts: Vec<(u64, u64)>,
}

impl Spread {
    pub fn of(all: impl Iterator<Item = Span>) -> Spread {
        let Ok(mut histogram) = Histogram::<u64>::new(3) else { return Spread::default() };
        for one in all {
            let _ = histogram.record((one.0 / 1_000).max(1));
        }
        Spread::from(&histogram)
    }

    pub fn add(&mut self, other: &Spread) {
        let Ok(mut histogram) = Histogram::<u64>::new(3) else { return };
        for (value, count) in self.counts.iter().chain(&other.counts) {
            let _ = histogram.record_n(*value, *count);
        }
        *self = Spread::from(&histogram);
    }

    pub fn count(&self) -> u64 {
        self.counts.iter().map(|pair| pair.1).sum()
    }

    /// In milliseconds, the value below which that part lies.
    pub fn quantile_ms(&self, part: f64) -> f64 {
        let wanted = ((self.count() as f64 * part).ceil() as u64).max(1);
        let mut sum = 0;
        let found = self.counts.iter().find(|pair| {
            sum += pair.1;
            sum >= wanted
        });
        found.map_or(0.0, |pair| pair.0 as f64 / 1e3)
    }

    pub fn worst_ms(&self) -> f64 {
        self.counts.last().map_or(0.0, |pair| pair.0 as f64 / 1e3)
    }
}

impl From<&Histogram<u64>> for Spread {
    fn from(histogram: &Histogram<u64>) -> Spread {
        let values = histogram.iter_recorded();
        Spread { counts: values.map(|v| (v.value_iterated_to(), v.count_at_value())).collect() }
    }
}

/// What the director asks a hollow process, a line of JSON each.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ask {
    /// When had each planner this place, counted from that moment (nanoseconds)? But for those of a region.
    When {
        place: u64,
        from: u64,
        except: Option<usize>,
    },
    /// How many had it by that moment?
    By {
        place: u64,
        moment: u64,
    },
    /// How is it now?
    State,
    /// How long after that moment did each planner watch again that lost its watch then?
    Again {
        since: u64,
    },
    /// How long was each planner without a watch that lost its watch after that moment, from its first loss on?
    Back {
        since: u64,
    },
    /// From being heard again to having this place, at those that were without a watch at that moment.
    Caught {
        place: u64,
        since: u64,
    },
    /// Some planners whose place is below this one.
    Below {
        place: u64,
    },
    /// Which planners do not hold the last word on a server's weight: name, weight.
    Holds {
        weights: Vec<(String, f64)>,
    },
    /// The way to these machines is cut for a region; none named: to all.
    Cut {
        region: usize,
        machines: Option<Vec<std::net::SocketAddr>>,
    },
    Heal,
    /// Each planner ends without a word and starts anew from what its disk has, at a moment within so many
    /// milliseconds; from now on it counts as a start.
    Restart {
        within_ms: u64,
    },
    /// The last planner is taken back by so many places: a break for the judge to find.
    PlantFall {
        by: u64,
    },
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Told {
    pub planners: u64,
    pub watching: u64,
    /// Watches by machine.
    pub by_machine: BTreeMap<String, u64>,
    pub lowest: u64,
    pub highest: u64,
    pub falls: u64,
    pub fell: Option<String>,
    /// Bytes of the links since the start, by the hollow planners' own count.
    pub came: u64,
    pub went: u64,
    /// Bytes of keys and values that planners hold, and the most that one does.
    pub state: u64,
    pub most_state: u64,
    pub lost_why: BTreeMap<String, u64>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// With those that have not got it, and those of which it is no longer known.
    When {
        spread: Spread,
        missing: u64,
        forgotten: u64,
    },
    By {
        count: u64,
        forgotten: u64,
    },
    State(Told),
    /// With those that do not watch yet.
    Again {
        spread: Spread,
        missing: u64,
    },
    Back {
        spread: Spread,
        missing: u64,
    },
    Below {
        names: Vec<String>,
    },
    Holds {
        checked: u64,
        wrong: u64,
        first: Option<String>,
    },
    Done,
}

/// What can be answered from tracks alone.
pub fn answer(tracks: &[Track], ask: &Ask) -> Answer {
    let forgotten = |place: u64| tracks.iter().filter(|track| place <= track.forgotten).count() as u64;
    match ask {
        Ask::When { place, from, except } => {
            let meant = || tracks.iter().filter(|track| Some(track.region) != *except);
            let had = meant().filter_map(|track| track.first(*place)).map(|at| at.since(Moment(*from)));
            let spread = Spread::of(had);
            let missing = meant().filter(|track| track.place() < *place).count() as u64;
            let forgotten = meant().filter(|track| *place <= track.forgotten).count() as u64;
            Answer::When { missing, forgotten, spread }
        }
        Ask::By { place, moment } => {
            let had = |track: &&Track| track.first(*place).is_some_and(|at| at.0 <= *moment);
            let count = tracks.iter().filter(had).count() as u64;
            Answer::By { count, forgotten: forgotten(*place) }
        }
        Ask::State => Answer::State(state(tracks)),
        Ask::Again { since } => {
            let all: Vec<Option<Span>> =
                tracks.iter().filter_map(|track| track.again(Moment(*since))).collect();
            let missing = all.iter().filter(|one| one.is_none()).count() as u64;
            Answer::Again { spread: Spread::of(all.into_iter().flatten()), missing }
        }
        Ask::Back { since } => {
            let back = tracks.iter().filter_map(|track| track.back(Moment(*since)));
            let all: Vec<Option<Span>> = back.collect();
            let missing = all.iter().filter(|one| one.is_none()).count() as u64;
            Answer::Back { spread: Spread::of(all.into_iter().flatten()), missing }
        }
        Ask::Caught { place, since } => {
            let all: Vec<Option<Span>> =
                tracks.iter().filter_map(|track| track.caught(*place, Moment(*since))).collect();
            let missing = all.iter().filter(|one| one.is_none()).count() as u64;
            Answer::Back { spread: Spread::of(all.into_iter().flatten()), missing }
        }
        Ask::Below { place } => {
            let below = tracks.iter().filter(|track| track.place() < *place);
            Answer::Below { names: below.take(8).map(|track| track.name.clone()).collect() }
        }
        _ => Answer::Done,
    }
}

fn state(tracks: &[Track]) -> Told {
    let mut told = Told { planners: tracks.len() as u64, lowest: u64::MAX, ..Told::default() };
    for track in tracks {
        if let Some(machine) = track.watching() {
            told.watching += 1;
            *told.by_machine.entry(machine.into()).or_default() += 1;
        }
        told.lowest = told.lowest.min(track.place());
        told.highest = told.highest.max(track.place());
        told.falls += track.falls;
        if let (None, Some((from, to))) = (&told.fell, track.fell) {
            told.fell = Some(format!("{} from {from} to {to}", track.name));
        }
        told.came += track.came;
        told.went += track.went;
        told.state += track.state as u64;
        told.most_state = told.most_state.max(track.state as u64);
        for (why, count) in &track.lost_why {
            *told.lost_why.entry(why.clone()).or_default() += count;
        }
    }
    if tracks.is_empty() {
        told.lowest = 0;
    }
    told
}
