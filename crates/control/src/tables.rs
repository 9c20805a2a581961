//! Converts the planner core's actions into table versions and messages to proxies.
//!
//! The version of a table increases by one with each turn that changes it. A newly bound proxy gets the whole table,
//! and one that follows the table gets the changes since the version it was last sent.

use crate::channel::count_lines;
use pewtergap_planner::interner::Interner;
use pewtergap_planner::{Action, ResendPolicy};
use pewtergap_protocol::{Binding, Gate, Line, TableChange, Update};
use pewtergap_time::Moment;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug, Default)]
struct Table {
    version: u64,
    lines: BTreeMap<usize, f64>,
    gates: Vec<Gate>,
    /// Servers whose lines the current turn changed.
    changed_lines: BTreeSet<usize>,
    changed_gates: Vec<Gate>,
}

#[derive(Debug, Default)]
struct Follower {
    /// Bit mask of routes and the table they are bound to.
    bindings: Vec<(u64, usize)>,
    /// Table versions that result from its messages, both sent and waiting.
    versions: BTreeMap<usize, u64>,
}

#[derive(Debug, Default)]
pub struct Tables {
    tables: BTreeMap<usize, Table>,
    followers: BTreeMap<usize, Follower>,
}

impl Tables {
    /// Adds a proxy that joined, with the table versions it holds from an earlier stream to this run of the planner.
    pub fn join(&mut self, proxy: usize, held: impl Iterator<Item = (usize, u64)>) {
        self.followers.insert(proxy, Follower { bindings: Vec::new(), versions: held.collect() });
    }

    pub fn leave(&mut self, proxy: usize) {
        self.followers.remove(&proxy);
    }

    /// Applies the actions of one turn and returns a message for each affected proxy.
    pub fn apply(
        &mut self,
        now: Moment,
        turn: u64,
        actions: &[Action],
        servers: &Interner<String>,
    ) -> Vec<(usize, Update)> {
        let mut mark = 0;
        let mut binds: Vec<(usize, usize, u64)> = Vec::new();
        for action in actions {
            match action {
                Action::SetLine { table, server, weight } => {
                    let state = self.tables.entry(*table).or_default();
                    state.changed_lines.insert(*server);
                    if *weight > 0.0 {
                        state.lines.insert(*server, *weight);
                    } else {
                        state.lines.remove(server);
                    }
                }
                Action::SetLevel { table, routes, level, resend } => {
                    let resend = match resend {
                        ResendPolicy::Never => 0,
                        ResendPolicy::IfNeverRan => 1,
                        ResendPolicy::Once => 2,
                    };
                    let gate = Gate { routes: *routes, level: *level, resend };
                    let state = self.tables.entry(*table).or_default();
                    for gates in [&mut state.gates, &mut state.changed_gates] {
                        gates.retain(|known| gate.routes != 0 && known.routes != gate.routes);
                        gates.push(gate.clone());
                    }
                }
                Action::Bind { proxy, table, routes } => binds.push((*proxy, *table, *routes)),
                Action::Mark { mark: number } => mark = *number as u32,
                _ => {}
            }
        }
        for state in
            self.tables.values_mut().filter(|t| !t.changed_lines.is_empty() || !t.changed_gates.is_empty())
        {
            state.version += 1;
        }
        let mut updates = Vec::new();
        for (proxy, follower) in &mut self.followers {
            let mut update = Update { turn, ordered_at: now.0, mark, ..Update::default() };
            for (_, table, routes) in binds.iter().filter(|bind| bind.0 == *proxy) {
                let state = self.tables.entry(*table).or_default();
                follower.bindings.retain(|known| *routes != 0 && known.0 != *routes);
                follower.bindings.push((*routes, *table));
                update.binds.push(Binding { table: *table as u32, routes: *routes });
                if state.version > 0 && follower.versions.get(table) != Some(&state.version) {
                    update.tables.push(state.full_change(*table, servers));
                    follower.versions.insert(*table, state.version);
                }
            }
            let Follower { bindings, versions } = follower;
            // The versions a proxy brought along are kept until it is bound, since it may be bound to one of them.
            if bindings.is_empty() {
                continue;
            }
            versions.retain(|table, _| bindings.iter().any(|known| known.1 == *table));
            for (table, version) in versions {
                let Some(state) = self.tables.get(table) else { continue };
                if *version < state.version {
                    update.tables.push(state.delta(*table, *version, servers));
                    *version = state.version;
                }
            }
            if !update.tables.is_empty() || !update.binds.is_empty() {
                update.lines = count_lines(&update);
                updates.push((*proxy, update));
            }
        }
        for state in self.tables.values_mut() {
            state.changed_lines.clear();
            state.changed_gates.clear();
        }
        updates
    }

    /// Number, version and line count of each table, for metrics.
    pub fn sizes(&self) -> impl Iterator<Item = (usize, u64, usize)> + '_ {
        self.tables.iter().map(|(table, state)| (*table, state.version, state.lines.len()))
    }
}

impl Table {
    fn line(&self, server: usize, weight: f64, servers: &Interner<String>) -> Line {
        Line { server: servers.name(server).clone(), weight }
    }

    fn full_change(&self, table: usize, servers: &Interner<String>) -> TableChange {
        let set = self.lines.iter().map(|(server, weight)| self.line(*server, *weight, servers)).collect();
        let (table, to, gates) = (table as u32, self.version, self.gates.clone());
        TableChange { table, from: 0, to, whole: true, set, removed: Vec::new(), gates }
    }

    fn delta(&self, table: usize, from: u64, servers: &Interner<String>) -> TableChange {
        let mut change = TableChange {
            table: table as u32,
            from,
            to: self.version,
            gates: self.changed_gates.clone(),
            ..TableChange::default()
        };
        for server in &self.changed_lines {
            match self.lines.get(server) {
                Some(weight) => change.set.push(self.line(*server, *weight, servers)),
                None => change.removed.push(servers.name(*server).clone()),
            }
        }
        change
    }
}
