//! What operators' orders say of servers and routes, and what of it changes.

use std::collections::{BTreeMap, BTreeSet};

/// What operators' orders say, as it is in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Overrides {
    /// Servers that take no more calls, whatever the list says.
    pub drained: BTreeSet<String>,
    pub weights: BTreeMap<String, f64>,
    pub caps: BTreeMap<String, f64>,
    pub held: bool,
}

/// One thing that operators' orders say, or no longer say.
#[derive(Clone, Debug, PartialEq)]
pub enum OverrideChange {
    Drained(String, bool),
    Weight(String, Option<f64>),
    Cap(String, Option<f64>),
    Hold(bool),
}

impl Overrides {
    /// What leads from here to another one.
    pub fn diff(&self, other: &Overrides) -> Vec<OverrideChange> {
        fn parted(
            from: &BTreeMap<String, f64>,
            to: &BTreeMap<String, f64>,
            stands: fn(String, Option<f64>) -> OverrideChange,
        ) -> Vec<OverrideChange> {
            let names: BTreeSet<&String> = from.keys().chain(to.keys()).collect();
            let differ = names.into_iter().filter(|name| from.get(*name) != to.get(*name));
            differ.map(|name| stands(name.clone(), to.get(name).copied())).collect()
        }
        let drained = self.drained.symmetric_difference(&other.drained);
        let drained = drained.map(|at| OverrideChange::Drained(at.clone(), other.drained.contains(at)));
        let held = (self.held != other.held).then_some(OverrideChange::Hold(other.held));
        let mut all: Vec<OverrideChange> = drained.chain(held).collect();
        all.extend(parted(&self.weights, &other.weights, OverrideChange::Weight));
        all.extend(parted(&self.caps, &other.caps, OverrideChange::Cap));
        all
    }

    /// Whether it was otherwise before.
    pub(crate) fn take(&mut self, stands: &OverrideChange) -> bool {
        let put = |all: &mut BTreeMap<String, f64>, name: &String, value: &Option<f64>| match value {
            Some(value) => all.insert(name.clone(), *value) != Some(*value),
            None => all.remove(name).is_some(),
        };
        match stands {
            OverrideChange::Drained(at, true) => self.drained.insert(at.clone()),
            OverrideChange::Drained(at, false) => self.drained.remove(at),
            OverrideChange::Weight(at, weight) => put(&mut self.weights, at, weight),
            OverrideChange::Cap(route, level) => put(&mut self.caps, route, level),
            OverrideChange::Hold(on) => std::mem::replace(&mut self.held, *on) != *on,
        }
    }
}
