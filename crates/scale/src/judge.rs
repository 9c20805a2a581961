//! What a scale run has to keep to, judged from what was seen alone; and the aims, met or not.

use serde::{Deserialize, Serialize};
use std::fmt;

/// What was seen, in the order of the run.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Seen {
    /// So many planners belong to the run from here on: all of them have been heard once.
    Belong { planners: u64 },
    /// An operator was told at how many an order is in force.
    Answer {
        place: u64,
        /// In nanoseconds: when the answer was there.
        returned: u64,
        told: InForce,
        /// Planners that had it by then, by their own processes' word.
        had: u64,
        /// Real planners of which that can't be said: they were asked later and had it.
        may: u64,
    },
    /// Planners' places fell, so often; one of them.
    Fell { times: u64, what: String },
    /// All is whole and heard: what was kept was looked for at so many, and was not there at some.
    Looked { checked: u64, wrong: u64, first: Option<String> },
}

/// What a control machine tells of a place.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct InForce {
    pub expected: u64,
    pub at_or_past: u64,
    pub unheard: u64,
}

impl InForce {
    /// All that are heard have it.
    pub fn done(&self) -> bool {
        self.at_or_past + self.unheard >= self.expected
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Breach {
    pub rule: String,
    pub what: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.rule, self.what)
    }
}

pub fn judge(all: &[Seen]) -> Vec<Breach> {
    let (mut breaches, mut belong) = (Vec::new(), 0);
    let mut wrong = |rule: &str, what: String| breaches.push(Breach { rule: rule.into(), what });
    for seen in all {
        match seen {
            Seen::Belong { planners } => belong = *planners,
            Seen::Answer { place, told, had, may, .. } => {
                if told.at_or_past > had + may {
                    let InForce { expected, at_or_past, .. } = told;
                    let most = had + may;
                    let what = format!(
                        "place {place} was told in force at {at_or_past} of {expected}, {most} had it"
                    );
                    wrong("in force counts nobody who has it not", what);
                }
                if told.expected < belong {
                    let what = format!("{} planners are expected, {belong} belong", told.expected);
                    wrong("whoever was heard once is counted or named", what);
                }
            }
            Seen::Fell { times: 0, .. } => {}
            Seen::Fell { times, what } => wrong("a place never falls", format!("{times} times, {what}")),
            Seen::Looked { wrong: 0, .. } => {}
            Seen::Looked { checked, wrong: missing, first } => {
                let first = first.clone().unwrap_or_default();
                wrong("what was kept is there once heard", format!("{missing} of {checked}, {first}"));
            }
        }
    }
    breaches
}

/// What the users want of a run: a figure, and the most it may be.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Aim {
    pub name: String,
    pub unit: String,
    pub most: f64,
    /// None: it was not measured in this run.
    pub measured: Option<f64>,
}

impl Aim {
    pub fn new(name: impl Into<String>, unit: &str, most: f64, measured: Option<f64>) -> Aim {
        Aim { name: name.into(), unit: unit.into(), most, measured }
    }

    /// None: not measured.
    pub fn met(&self) -> Option<bool> {
        self.measured.map(|measured| measured <= self.most)
    }
}

/// What the run shows to the judge in place of what it saw: a break that has to be found. The product has none of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// A watcher is taken back to what was before.
    TakenBack,
    /// An operator is told that one who is not heard has it.
    UnheardCounted,
}

pub const PLANTED: &[(&str, Planted)] =
    &[("taken-back", Planted::TakenBack), ("unheard-counted", Planted::UnheardCounted)];

/// The first answer during which somebody was not heard counts that one in.
pub fn plant_unheard(all: &mut [Seen]) {
    for seen in all {
        if let Seen::Answer { told, had, may, .. } = seen {
            if told.unheard > 0 && *had + *may < told.expected {
                told.at_or_past = *had + *may + 1;
                told.unheard -= 1;
                return;
            }
        }
    }
}
