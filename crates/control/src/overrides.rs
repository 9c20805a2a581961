//! Operators' orders on servers and routes that are in force, and changes of them.

use std::collections::{BTreeMap, BTreeSet};

/// The operators' orders in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Overrides {
    /// Servers that get no more calls, whatever the list says.
    pub drained: BTreeSet<String>,
    pub weights: BTreeMap<String, f64>,
    pub caps: BTreeMap<String, f64>,
    /// Changes of tables other than removals are held back.
    pub held: bool,
}

/// One change of the overrides; `None` and `false` lift an override.
#[derive(Clone, Debug, PartialEq)]
pub enum OverrideChange {
    Drained(String, bool),
    Weight(String, Option<f64>),
    Cap(String, Option<f64>),
    Hold(bool),
}

impl Overrides {
    /// Returns the changes that lead from these overrides to others.
    pub fn diff(&self, other: &Overrides) -> Vec<OverrideChange> {
        fn changed(
            from: &BTreeMap<String, f64>,
            to: &BTreeMap<String, f64>,
            change: fn(String, Option<f64>) -> OverrideChange,
        ) -> Vec<OverrideChange> {
            let names: BTreeSet<&String> = from.keys().chain(to.keys()).collect();
            let differ = names.into_iter().filter(|name| from.get(*name) != to.get(*name));
            differ.map(|name| change(name.clone(), to.get(name).copied())).collect()
        }
        let drained = self.drained.symmetric_difference(&other.drained);
        let drained = drained.map(|at| OverrideChange::Drained(at.clone(), other.drained.contains(at)));
        let held = (self.held != other.held).then_some(OverrideChange::Hold(other.held));
        let mut all: Vec<OverrideChange> = drained.chain(held).collect();
        all.extend(changed(&self.weights, &other.weights, OverrideChange::Weight));
        all.extend(changed(&self.caps, &other.caps, OverrideChange::Cap));
        all
    }

    /// Applies a change and returns whether it made a difference.
    pub(crate) fn apply(&mut self, change: &OverrideChange) -> bool {
        let set = |all: &mut BTreeMap<String, f64>, name: &String, value: &Option<f64>| match value {
            Some(value) => all.insert(name.clone(), *value) != Some(*value),
            None => all.remove(name).is_some(),
        };
        match change {
            OverrideChange::Drained(at, true) => self.drained.insert(at.clone()),
            OverrideChange::Drained(at, false) => self.drained.remove(at),
            OverrideChange::Weight(at, weight) => set(&mut self.weights, at, weight),
            OverrideChange::Cap(route, level) => set(&mut self.caps, route, level),
            OverrideChange::Hold(on) => std::mem::replace(&mut self.held, *on) != *on,
        }
    }
}
