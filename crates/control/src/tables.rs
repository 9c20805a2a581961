//! How the module's orders become versions of tables and messages to proxies.
//!
//! Each table has a version that rises by one with each turn that changes it. A proxy that is bound anew gets
//! the whole table, one that follows it the change from the version it was sent last.

use crate::channel::count_lines;
use pewtergap_planner::interner::Interner;
use pewtergap_planner::{Action, ResendPolicy};
use pewtergap_protocol::{Binding, Gate, Line, TableChange, Update};
use pewtergap_time::Moment;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug, Default)]
struct Standing {
    version: u64,
    lines: BTreeMap<usize, f64>,
    gates: Vec<Gate>,
    /// What the present turn changed.
    touched: BTreeSet<usize>,
    gated: Vec<Gate>,
}

#[derive(Debug, Default)]
struct Follower {
    /// Table by mask of routes.
    bound: Vec<(u64, usize)>,
    /// Versions that its messages lead to, sent and waiting ones.
    versions: BTreeMap<usize, u64>,
}

#[derive(Debug, Default)]
pub struct Tables {
    tables: BTreeMap<usize, Standing>,
    followers: BTreeMap<usize, Follower>,
}

impl Tables {
    /// The proxy joined; it holds these tables at these versions from an earlier stream to this very start.
    pub fn join(&mut self, proxy: usize, held: impl Iterator<Item = (usize, u64)>) {
        self.followers.insert(proxy, Follower { bound: Vec::new(), versions: held.collect() });
    }

    pub fn leave(&mut self, proxy: usize) {
        self.followers.remove(&proxy);
    }

    /// Takes the orders of one turn and gives the message for each proxy concerned.
    pub fn carry_out(
        &mut self,
        now: Moment,
        turn: u64,
        orders: &[Action],
        servers: &Interner<String>,
    ) -> Vec<(usize, Update)> {
        let mut mark = 0;
        let mut binds: Vec<(usize, usize, u64)> = Vec::new();
        for order in orders {
            match order {
                Action::SetLine { table, server, weight } => {
                    let standing = self.tables.entry(*table).or_default();
                    standing.touched.insert(*server);
                    if *weight > 0.0 {
                        standing.lines.insert(*server, *weight);
                    } else {
                        standing.lines.remove(server);
                    }
                }
                Action::SetLevel { table, routes, level, resend } => {
                    let resend = match resend {
                        ResendPolicy::Never => 0,
                        ResendPolicy::IfNeverRan => 1,
                        ResendPolicy::Once => 2,
                    };
                    let gate = Gate { routes: *routes, level: *level, resend };
                    let standing = self.tables.entry(*table).or_default();
                    for gates in [&mut standing.gates, &mut standing.gated] {
                        gates.retain(|known| gate.routes != 0 && known.routes != gate.routes);
                        gates.push(gate.clone());
                    }
                }
                Action::Bind { proxy, table, routes } => binds.push((*proxy, *table, *routes)),
                Action::Mark { mark: ordered } => mark = *ordered as u32,
                _ => {}
            }
        }
        for standing in self.tables.values_mut().filter(|t| !t.touched.is_empty() || !t.gated.is_empty()) {
            standing.version += 1;
        }
        let mut updates = Vec::new();
        for (proxy, follower) in &mut self.followers {
            let mut update = Update { turn, ordered_at: now.0, mark, ..Update::default() };
            for (_, table, routes) in binds.iter().filter(|bind| bind.0 == *proxy) {
                let standing = self.tables.entry(*table).or_default();
                follower.bound.retain(|known| *routes != 0 && known.0 != *routes);
                follower.bound.push((*routes, *table));
                update.binds.push(Binding { table: *table as u32, routes: *routes });
                if standing.version > 0 && follower.versions.get(table) != Some(&standing.version) {
                    update.tables.push(standing.whole(*table, servers));
                    follower.versions.insert(*table, standing.version);
                }
            }
            let Follower { bound, versions } = follower;
            // What a proxy came with stays known until it is bound: it may be bound to just that.
            if bound.is_empty() {
                continue;
            }
            versions.retain(|table, _| bound.iter().any(|known| known.1 == *table));
            for (table, version) in versions {
                let Some(standing) = self.tables.get(table) else { continue };
                if *version < standing.version {
                    update.tables.push(standing.change(*table, *version, servers));
                    *version = standing.version;
                }
            }
            if !update.tables.is_empty() || !update.binds.is_empty() {
                update.lines = count_lines(&update);
                updates.push((*proxy, update));
            }
        }
        for standing in self.tables.values_mut() {
            standing.touched.clear();
            standing.gated.clear();
        }
        updates
    }

    /// Lines and version of each table, for those on call.
    pub fn sizes(&self) -> impl Iterator<Item = (usize, u64, usize)> + '_ {
        self.tables.iter().map(|(table, standing)| (*table, standing.version, standing.lines.len()))
    }
}

impl Standing {
    fn line(&self, server: usize, weight: f64, servers: &Interner<String>) -> Line {
        Line { server: servers.name(server).clone(), weight }
    }

    fn whole(&self, table: usize, servers: &Interner<String>) -> TableChange {
        let set = self.lines.iter().map(|(server, weight)| self.line(*server, *weight, servers)).collect();
        let (table, to, gates) = (table as u32, self.version, self.gates.clone());
        TableChange { table, from: 0, to, whole: true, set, removed: Vec::new(), gates }
    }

    fn change(&self, table: usize, from: u64, servers: &Interner<String>) -> TableChange {
        let mut change = TableChange {
            table: table as u32,
            from,
            to: self.version,
            gates: self.gated.clone(),
            ..TableChange::default()
        };
        for server in &self.touched {
            match self.lines.get(server) {
                Some(weight) => change.set.push(self.line(*server, *weight, servers)),
                None => change.removed.push(servers.name(*server).clone()),
            }
        }
        change
    }
}
