//! What operators' orders say of servers and routes, and what of it changes.

use std::collections::{BTreeMap, BTreeSet};

/// What operators' orders say, as it is in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Standing {
    /// Servers that take no more calls, whatever the list says.
    pub drained: BTreeSet<String>,
    pub weights: BTreeMap<String, f64>,
    pub caps: BTreeMap<String, f64>,
    pub held: bool,
}

/// One thing that operators' orders say, or no longer say.
#[derive(Clone, Debug, PartialEq)]
pub enum Stands {
    Drained(String, bool),
    Weighs(String, Option<f64>),
    Capped(String, Option<f64>),
    Held(bool),
}

impl Standing {
    /// What leads from here to another one.
    pub fn towards(&self, other: &Standing) -> Vec<Stands> {
        fn parted(
            from: &BTreeMap<String, f64>,
            to: &BTreeMap<String, f64>,
            stands: fn(String, Option<f64>) -> Stands,
        ) -> Vec<Stands> {
            let names: BTreeSet<&String> = from.keys().chain(to.keys()).collect();
            let differ = names.into_iter().filter(|name| from.get(*name) != to.get(*name));
            differ.map(|name| stands(name.clone(), to.get(name).copied())).collect()
        }
        let drained = self.drained.symmetric_difference(&other.drained);
        let drained = drained.map(|at| Stands::Drained(at.clone(), other.drained.contains(at)));
        let held = (self.held != other.held).then_some(Stands::Held(other.held));
        let mut all: Vec<Stands> = drained.chain(held).collect();
        all.extend(parted(&self.weights, &other.weights, Stands::Weighs));
        all.extend(parted(&self.caps, &other.caps, Stands::Capped));
        all
    }

    /// Whether it was otherwise before.
    pub(crate) fn take(&mut self, stands: &Stands) -> bool {
        let put = |all: &mut BTreeMap<String, f64>, name: &String, value: &Option<f64>| match value {
            Some(value) => all.insert(name.clone(), *value) != Some(*value),
            None => all.remove(name).is_some(),
        };
        match stands {
            Stands::Drained(at, true) => self.drained.insert(at.clone()),
            Stands::Drained(at, false) => self.drained.remove(at),
            Stands::Weighs(at, weight) => put(&mut self.weights, at, weight),
            Stands::Capped(route, level) => put(&mut self.caps, route, level),
            Stands::Held(on) => std::mem::replace(&mut self.held, *on) != *on,
        }
    }
}
