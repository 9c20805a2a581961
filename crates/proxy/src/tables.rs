//! The versioned tables of a proxy: an update is applied as a whole or rejected as a whole.

use pewtergap_protocol::{Gate, HeldTable, TableChange, Update, Welcome};
use std::collections::BTreeMap;
use std::fmt::Write;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    pub version: u64,
    pub lines: BTreeMap<String, f64>,
    pub gates: Vec<Gate>,
}

/// Why an update was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    pub table: u32,
    pub held_version: u64,
    pub reason: String,
}

/// The planner that sent the tables, and which start of it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sender {
    pub planner: String,
    pub epoch: u64,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tables {
    tables: BTreeMap<u32, Table>,
    /// Table by route; a route without a table has no lines.
    bound: Vec<Option<u32>>,
    sender: Sender,
    /// The connected planner, if it is not the one that sent the tables.
    joined: Option<Sender>,
}

/// The table of the configured initial servers, never changed by a planner.
const INITIAL_TABLE: u32 = u32::MAX;

impl Tables {
    /// The tables used until a planner has sent the first binding.
    pub fn initial(servers: &[String], routes: usize) -> Tables {
        let lines = servers.iter().map(|server| (server.clone(), 1.0)).collect();
        let table = Table { version: 0, lines, gates: Vec::new() };
        let tables = BTreeMap::from([(INITIAL_TABLE, table)]);
        Tables { tables, bound: vec![Some(INITIAL_TABLE); routes], sender: Sender::default(), joined: None }
    }

    /// The table bound to a route.
    pub fn for_route(&self, route: usize) -> Option<(u32, &Table)> {
        let table = (*self.bound.get(route)?)?;
        self.tables.get(&table).map(|found| (table, found))
    }

    /// Whether a server is in any table in use.
    pub fn contains(&self, server: &str) -> bool {
        self.tables.values().any(|table| table.lines.contains_key(server))
    }

    /// The tables and versions listed in `Hello`.
    pub fn held_versions(&self) -> Vec<HeldTable> {
        let received = self.tables.iter().filter(|table| *table.0 != INITIAL_TABLE);
        let held = |(number, table): (&u32, &Table)| HeldTable {
            planner: self.sender.planner.clone(),
            epoch: self.sender.epoch,
            table: *number,
            version: table.version,
        };
        received.map(held).collect()
    }

    /// A planner has accepted the proxy. Its first binding replaces the tables of another planner, or of an earlier
    /// start of the same one; until then they stay in force.
    pub fn welcome(&mut self, welcome: &Welcome) {
        let sender = Sender { planner: welcome.planner.clone(), epoch: welcome.epoch };
        self.joined = (sender != self.sender).then_some(sender);
    }

    /// Applies an update, or leaves the tables unchanged.
    pub fn apply(&mut self, update: &Update) -> Result<(), Rejection> {
        *self = self.with_update(update)?;
        Ok(())
    }

    /// The tables after an update.
    pub fn with_update(&self, update: &Update) -> Result<Tables, Rejection> {
        let mut next = self.clone();
        if let Some(sender) = &next.joined {
            // Table numbers of two planners, or of two starts of one, are unrelated.
            if update.binds.is_empty() {
                let table = update.tables.first().map_or(0, |change| change.table);
                return Err(Rejection {
                    table,
                    held_version: 0,
                    reason: "a change before the first binding".into(),
                });
            }
            next.sender = sender.clone();
            next.joined = None;
            next.tables.clear();
            next.bound.fill(None);
        }
        for change in &update.tables {
            next.apply_change(change)?;
        }
        for bind in &update.binds {
            if !next.tables.contains_key(&bind.table) {
                let reason = format!("bound to table {}, of which nothing is held", bind.table);
                return Err(Rejection { table: bind.table, held_version: 0, reason });
            }
            for (route, bound) in next.bound.iter_mut().enumerate() {
                if bind.routes == 0 || bind.routes >> route & 1 == 1 {
                    *bound = Some(bind.table);
                }
            }
        }
        let Tables { tables, bound, .. } = &mut next;
        tables.retain(|table, _| bound.contains(&Some(*table)));
        Ok(next)
    }

    fn apply_change(&mut self, change: &TableChange) -> Result<(), Rejection> {
        let held_version = self.tables.get(&change.table).map_or(0, |table| table.version);
        let reject = |reason: String| Err(Rejection { table: change.table, held_version, reason });
        if !change.whole && held_version != change.from {
            return reject(format!(
                "version gap: {held_version} is held, the change is from {} to {}",
                change.from, change.to
            ));
        }
        // Applying the same full table again is harmless.
        if change.whole && held_version > change.to {
            return reject(format!("an old whole: {held_version} is held, {} came", change.to));
        }
        let table = self.tables.entry(change.table).or_default();
        if change.whole {
            *table = Table::default();
        }
        table.version = change.to;
        table.lines.extend(change.set.iter().map(|line| (line.server.clone(), line.weight)));
        table.lines.retain(|server, _| !change.removed.contains(server));
        for gate in &change.gates {
            table.gates.retain(|known| gate.routes != 0 && known.routes != gate.routes);
            table.gates.push(gate.clone());
        }
        Ok(())
    }

    /// Text form, for tests and debugging.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        for (number, table) in &self.tables {
            let lines: Vec<String> =
                table.lines.iter().map(|(server, weight)| format!("{server}={weight}")).collect();
            let name = if *number == INITIAL_TABLE { "standing".into() } else { format!("table {number}") };
            let _ = writeln!(text, "{name} version {}: {}", table.version, lines.join(" "));
        }
        text
    }
}

impl Table {
    /// Admission level and resend policy of a route: a gate for the route takes precedence over one for all routes.
    /// `None` if there is neither.
    pub fn gate(&self, route: usize) -> Option<(f64, u32)> {
        let named = self.gates.iter().rev().find(|gate| gate.routes >> route & 1 == 1);
        let all = || self.gates.iter().rev().find(|gate| gate.routes == 0);
        named.or_else(all).map(|gate| (gate.level, gate.resend))
    }
}
