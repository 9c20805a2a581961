//! Sizes and slopes put together: a figure for each role, situation, part and quantity.

use crate::bounds::{bounds, Bound};
use crate::size::{Pair, Size};
use crate::slopes::Slopes;
use crate::worked::{Kind, Worked};
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
    /// The ordinary day's worst second.
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
    /// Of what can be had.
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

/// One line of a role's table. Pairs are at the first and the second values of the parameters.
#[derive(Clone, Debug, Serialize)]
pub struct Figure {
    pub role: Role,
    pub situation: Situation,
    /// Of what.
    pub part: &'static str,
    pub quantity: Quantity,
    /// `None` while a slope that it needs has no points.
    pub at: Option<Pair>,
    pub kind: Kind,
    /// How far beyond the largest measured size a line was followed for it, in such sizes; 1 within.
    pub beyond: f64,
    /// Slopes that it waits for.
    pub waits_for: Vec<String>,
    pub budget: Option<Pair>,
    /// The mechanism that carries it.
    pub carried_by: &'static str,
}

impl Figure {
    /// How often it fits its budget, at the worse of both values.
    pub fn headroom(&self) -> Option<f64> {
        let (at, budget) = (self.at?.0, self.budget?.0);
        Some((budget[0] / at[0]).min(budget[1] / at[1]))
    }

    /// How often it passes its budget, at both values.
    pub fn factors(&self) -> Option<[f64; 2]> {
        let (at, budget) = (self.at?.0, self.budget?.0);
        Some([at[0] / budget[0], at[1] / budget[1]])
    }
}

/// What is over its budget or bound.
#[derive(Clone, Debug, Serialize)]
pub enum Over {
    Figure(Box<Figure>, [f64; 2]),
    Bound(Bound, [f64; 2]),
}

impl Over {
    pub fn factors(&self) -> [f64; 2] {
        match self {
            Over::Figure(_, factors) | Over::Bound(_, factors) => *factors,
        }
    }

    pub fn worst(&self) -> f64 {
        self.factors().into_iter().fold(0.0, f64::max)
    }
}

/// Everything that the page's tables say.
#[derive(Clone, Debug, Serialize)]
pub struct Book {
    pub size: Size,
    pub slopes: Slopes,
    pub figures: Vec<Figure>,
    pub bounds: Vec<Bound>,
    /// Worst first.
    pub over: Vec<Over>,
}

/// The same figures at one of the two values of each parameter.
pub(crate) struct Sheet<'a> {
    pub size: &'a Size,
    pub slopes: &'a Slopes,
    /// Which value each parameter has: the first or the second.
    which: &'a dyn Fn(&str) -> usize,
    role: Role,
    rows: Vec<Row>,
}

pub(crate) struct Row {
    role: Role,
    situation: Situation,
    part: &'static str,
    quantity: Quantity,
    came: Worked,
    budget: Option<f64>,
    carried_by: &'static str,
}

impl<'a> Sheet<'a> {
    pub fn new(size: &'a Size, slopes: &'a Slopes, which: &'a dyn Fn(&str) -> usize) -> Sheet<'a> {
        Sheet { size, slopes, which, role: Role::Voter, rows: Vec::new() }
    }

    pub fn of(&mut self, role: Role) {
        self.role = role;
    }

    /// A parameter at the value that this sheet has.
    pub fn open(&self, name: &str) -> Worked {
        self.size.open(name, (self.which)(name))
    }

    /// The bare value, for budgets.
    pub fn value(&self, name: &str) -> f64 {
        self.size.pair(name).0[(self.which)(name)]
    }

    pub fn at(&self, slope: &str, x: f64) -> Worked {
        self.slopes.at(slope, x)
    }

    pub fn through(&self, slope: &str, x: Worked) -> Worked {
        self.slopes.through(slope, x)
    }

    pub fn each(&self, slope: &str) -> Worked {
        self.slopes.each(slope)
    }

    /// A line of the role at hand.
    pub fn put(
        &mut self,
        situation: Situation,
        part: &'static str,
        quantity: Quantity,
        came: Worked,
        budget: Option<f64>,
        carried_by: &'static str,
    ) {
        self.rows.push(Row { role: self.role, situation, part, quantity, came, budget, carried_by });
    }
}

fn sheet(size: &Size, slopes: &Slopes, which: &dyn Fn(&str) -> usize) -> Vec<Row> {
    let mut sheet = Sheet::new(size, slopes, which);
    crate::roles::all(&mut sheet);
    let mut rows = sheet.rows;
    rows.sort_by_key(|row| (row.role, row.situation));
    rows
}

/// What the parameter alone does, gone from its first value to its second: the figure that it moves most, and by what
/// factor. `None` if it moves no figure, but a budget.
pub(crate) fn moves_most(
    size: &Size,
    slopes: &Slopes,
    name: &str,
) -> Option<(Role, &'static str, Quantity, f64)> {
    let first = sheet(size, slopes, &|_| 0);
    let moved = sheet(size, slopes, &|other| usize::from(other == name));
    let mut most: Option<(f64, &Row)> = None;
    for (before, after) in first.iter().zip(&moved) {
        let (Some(from), Some(to)) = (before.came.amount(), after.came.amount()) else { continue };
        if from <= 0.0 || to <= 0.0 || from == to {
            continue;
        }
        let far = |factor: f64| factor.max(1.0 / factor);
        if most.is_none_or(|most| far(to / from) > far(most.0) * 1.000_001) {
            most = Some((to / from, before));
        }
    }
    most.map(|(factor, row)| (row.role, row.part, row.quantity, factor))
}

/// All figures at both values of the parameters, all bounds, and what is over, worst first.
pub fn work_out(size: Size, slopes: Slopes) -> Book {
    let (first, second) = (sheet(&size, &slopes, &|_| 0), sheet(&size, &slopes, &|_| 1));
    let figures: Vec<Figure> =
        first.into_iter().zip(second).map(|(first, second)| both(first, second)).collect();
    let bounds = bounds(&size);
    let mut over: Vec<Over> = figures
        .iter()
        .filter_map(|figure| Some(Over::Figure(Box::new(figure.clone()), figure.factors()?)))
        .chain(bounds.iter().map(|bound| Over::Bound(bound.clone(), bound.factors())))
        .filter(|over| over.worst() > 1.0)
        .collect();
    over.sort_by(|a, b| b.worst().total_cmp(&a.worst()));
    Book { size, slopes, figures, bounds, over }
}

fn both(first: Row, second: Row) -> Figure {
    let at = first.came.amount().zip(second.came.amount()).map(|(first, second)| Pair([first, second]));
    let mut waits_for = first.came.without();
    waits_for.extend(second.came.without().into_iter().filter(|slope| !first.came.without().contains(slope)));
    Figure {
        role: first.role,
        situation: first.situation,
        part: first.part,
        quantity: first.quantity,
        at,
        kind: first.came.kind(),
        beyond: first.came.beyond().max(second.came.beyond()),
        waits_for,
        budget: first.budget.zip(second.budget).map(|(first, second)| Pair([first, second])),
        carried_by: first.carried_by,
    }
}
