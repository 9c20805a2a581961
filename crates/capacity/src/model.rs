//! Combines target and slopes into a figure for each role, situation, part and quantity.

use crate::bounds::{bounds, Bound};
use crate::estimate::{Estimate, Kind};
use crate::slopes::Slopes;
use crate::target::{Pair, Target};
use serde::Serialize;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Role {
    Voter,
    ControlMachine,
    Planner,
    Proxy,
    Holder,
    Operators,
}

impl Role {
    pub const ALL: [Role; 6] =
        [Role::Voter, Role::ControlMachine, Role::Planner, Role::Proxy, Role::Holder, Role::Operators];

    pub fn name(self) -> &'static str {
        match self {
            Role::Voter => "The record's voter",
            Role::ControlMachine => "Control machine",
            Role::Planner => "Planner",
            Role::Proxy => "Proxy",
            Role::Holder => "Holder of duties",
            Role::Operators => "Operators' side",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Situation {
    Rest,
    Day,
    /// The busiest second of an ordinary day.
    Burst,
    Release,
    Rack,
    Zone,
    Region,
    Healed,
}

impl Situation {
    pub const ALL: [Situation; 8] = [
        Situation::Rest,
        Situation::Day,
        Situation::Burst,
        Situation::Release,
        Situation::Rack,
        Situation::Zone,
        Situation::Region,
        Situation::Healed,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Situation::Rest => "at rest",
            Situation::Day => "ordinary day, mean",
            Situation::Burst => "its worst second",
            Situation::Release => "release of all planners",
            Situation::Rack => "a rack lost",
            Situation::Zone => "a zone lost",
            Situation::Region => "a region lost",
            Situation::Healed => "a region cut for an hour and healed",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Quantity {
    State,
    Messages,
    Bytes,
    Core,
    Memory,
    Descriptors,
    Time,
    /// Fraction of what is available.
    Part,
    Cores,
}

impl Quantity {
    pub fn name(self) -> &'static str {
        match self {
            Quantity::State => "state",
            Quantity::Messages => "messages",
            Quantity::Bytes => "bytes a second",
            Quantity::Core => "processor time",
            Quantity::Memory => "memory",
            Quantity::Descriptors => "descriptors",
            Quantity::Time => "time",
            Quantity::Part => "part of its most",
            Quantity::Cores => "cores",
        }
    }
}

/// One row of a role's table. A pair holds the values at the first and second values of the parameters.
#[derive(Clone, Debug, Serialize)]
pub struct Figure {
    pub role: Role,
    pub situation: Situation,
    /// The part of the system that the figure is about.
    pub part: &'static str,
    pub quantity: Quantity,
    /// `None` while a required slope has too few points.
    pub at: Option<Pair>,
    pub kind: Kind,
    /// Largest extrapolation of a line for it, as a multiple of the largest measured size; 1 within the measured range.
    pub beyond: f64,
    /// Required slopes with too few points.
    pub waits_for: Vec<String>,
    pub budget: Option<Pair>,
    /// The mechanism that carries this load.
    pub carried_by: &'static str,
}

impl Figure {
    /// Budget divided by figure, at the worse of both values.
    pub fn headroom(&self) -> Option<f64> {
        let (at, budget) = (self.at?.0, self.budget?.0);
        Some((budget[0] / at[0]).min(budget[1] / at[1]))
    }

    /// Figure divided by budget, at both values.
    pub fn factors(&self) -> Option<[f64; 2]> {
        let (at, budget) = (self.at?.0, self.budget?.0);
        Some([at[0] / budget[0], at[1] / budget[1]])
    }
}

/// A figure over its budget, or a bound that the target exceeds, with the factors.
#[derive(Clone, Debug, Serialize)]
pub enum Overrun {
    Figure(Box<Figure>, [f64; 2]),
    Bound(Bound, [f64; 2]),
}

impl Overrun {
    pub fn factors(&self) -> [f64; 2] {
        match self {
            Overrun::Figure(_, factors) | Overrun::Bound(_, factors) => *factors,
        }
    }

    pub fn max_factor(&self) -> f64 {
        self.factors().into_iter().fold(0.0, f64::max)
    }
}

/// The content of all tables.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    #[serde(rename = "size")]
    pub target: Target,
    pub slopes: Slopes,
    pub figures: Vec<Figure>,
    pub bounds: Vec<Bound>,
    /// Worst first.
    pub over: Vec<Overrun>,
}

/// Collects the figures at one of the two values of each parameter.
pub(crate) struct Worksheet<'a> {
    pub target: &'a Target,
    pub slopes: &'a Slopes,
    /// Selects the value of each parameter: 0 for the first, 1 for the second.
    choose: &'a dyn Fn(&str) -> usize,
    role: Role,
    rows: Vec<Row>,
}

pub(crate) struct Row {
    role: Role,
    situation: Situation,
    part: &'static str,
    quantity: Quantity,
    estimate: Estimate,
    budget: Option<f64>,
    carried_by: &'static str,
}

impl<'a> Worksheet<'a> {
    pub fn new(target: &'a Target, slopes: &'a Slopes, choose: &'a dyn Fn(&str) -> usize) -> Worksheet<'a> {
        Worksheet { target, slopes, choose, role: Role::Voter, rows: Vec::new() }
    }

    pub fn set_role(&mut self, role: Role) {
        self.role = role;
    }

    /// A parameter at its selected value.
    pub fn parameter(&self, name: &str) -> Estimate {
        self.target.parameter(name, (self.choose)(name))
    }

    /// The plain number, for budgets.
    pub fn parameter_value(&self, name: &str) -> f64 {
        self.target.pair(name).0[(self.choose)(name)]
    }

    pub fn value_at(&self, slope: &str, x: f64) -> Estimate {
        self.slopes.value_at(slope, x)
    }

    pub fn project(&self, slope: &str, x: Estimate) -> Estimate {
        self.slopes.project(slope, x)
    }

    pub fn unit_cost(&self, slope: &str) -> Estimate {
        self.slopes.unit_cost(slope)
    }

    /// Adds a row for the current role.
    pub fn add(
        &mut self,
        situation: Situation,
        part: &'static str,
        quantity: Quantity,
        estimate: Estimate,
        budget: Option<f64>,
        carried_by: &'static str,
    ) {
        self.rows.push(Row { role: self.role, situation, part, quantity, estimate, budget, carried_by });
    }
}

fn fill_worksheet(target: &Target, slopes: &Slopes, choose: &dyn Fn(&str) -> usize) -> Vec<Row> {
    let mut sheet = Worksheet::new(target, slopes, choose);
    crate::roles::add_all(&mut sheet);
    let mut rows = sheet.rows;
    rows.sort_by_key(|row| (row.role, row.situation));
    rows
}

/// The figure that changes most, and by which factor, if this parameter alone goes from its first to its second value.
/// `None` if it changes only budgets.
pub(crate) fn largest_effect(
    target: &Target,
    slopes: &Slopes,
    name: &str,
) -> Option<(Role, &'static str, Quantity, f64)> {
    let first = fill_worksheet(target, slopes, &|_| 0);
    let changed = fill_worksheet(target, slopes, &|other| usize::from(other == name));
    let mut largest: Option<(f64, &Row)> = None;
    for (before, after) in first.iter().zip(&changed) {
        let (Some(from), Some(to)) = (before.estimate.value(), after.estimate.value()) else { continue };
        if from <= 0.0 || to <= 0.0 || from == to {
            continue;
        }
        let magnitude = |factor: f64| factor.max(1.0 / factor);
        if largest.is_none_or(|largest| magnitude(to / from) > magnitude(largest.0) * 1.000_001) {
            largest = Some((to / from, before));
        }
    }
    largest.map(|(factor, row)| (row.role, row.part, row.quantity, factor))
}

/// Calculates all figures at both values of the parameters, all bounds, and the overruns, worst first.
pub fn build_report(target: Target, slopes: Slopes) -> Report {
    let (first, second) =
        (fill_worksheet(&target, &slopes, &|_| 0), fill_worksheet(&target, &slopes, &|_| 1));
    let figures: Vec<Figure> =
        first.into_iter().zip(second).map(|(first, second)| merge_rows(first, second)).collect();
    let bounds = bounds(&target);
    let mut over: Vec<Overrun> = figures
        .iter()
        .filter_map(|figure| Some(Overrun::Figure(Box::new(figure.clone()), figure.factors()?)))
        .chain(bounds.iter().map(|bound| Overrun::Bound(bound.clone(), bound.factors())))
        .filter(|over| over.max_factor() > 1.0)
        .collect();
    over.sort_by(|a, b| b.max_factor().total_cmp(&a.max_factor()));
    Report { target, slopes, figures, bounds, over }
}

fn merge_rows(first: Row, second: Row) -> Figure {
    let at = first.estimate.value().zip(second.estimate.value()).map(|(first, second)| Pair([first, second]));
    let mut waits_for = first.estimate.missing_slopes();
    waits_for.extend(
        second
            .estimate
            .missing_slopes()
            .into_iter()
            .filter(|slope| !first.estimate.missing_slopes().contains(slope)),
    );
    Figure {
        role: first.role,
        situation: first.situation,
        part: first.part,
        quantity: first.quantity,
        at,
        kind: first.estimate.kind(),
        beyond: first.estimate.extrapolation().max(second.estimate.extrapolation()),
        waits_for,
        budget: first.budget.zip(second.budget).map(|(first, second)| Pair([first, second])),
        carried_by: first.carried_by,
    }
}
