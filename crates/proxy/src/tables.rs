//! The tables a proxy holds, by versions: a message is taken whole or refused whole.

use pewtergap_protocol::{Gate, HeldTable, TableChange, Update, Welcome};
use std::collections::BTreeMap;
use std::fmt::Write;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    pub version: u64,
    pub lines: BTreeMap<String, f64>,
    pub gates: Vec<Gate>,
}

/// Why a message was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    pub table: u32,
    pub holds: u64,
    pub reason: String,
}

/// Who sent the tables.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sender {
    pub planner: String,
    pub epoch: u64,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tables {
    tables: BTreeMap<u32, Table>,
    /// Table by route; a route without one has no line to pick.
    bound: Vec<Option<u32>>,
    sender: Sender,
    /// The planner that is joined, where it is not the one that sent the tables.
    joined: Option<Sender>,
}

/// The table of the servers a proxy starts with; no planner writes to it.
const STANDING: u32 = u32::MAX;

impl Tables {
    /// What a proxy goes by until a planner has bound it.
    pub fn standing(servers: &[String], routes: usize) -> Tables {
        let lines = servers.iter().map(|server| (server.clone(), 1.0)).collect();
        let table = Table { version: 0, lines, gates: Vec::new() };
        let tables = BTreeMap::from([(STANDING, table)]);
        Tables { tables, bound: vec![Some(STANDING); routes], sender: Sender::default(), joined: None }
    }

    /// The table that a route follows.
    pub fn of(&self, route: usize) -> Option<(u32, &Table)> {
        let table = (*self.bound.get(route)?)?;
        self.tables.get(&table).map(|found| (table, found))
    }

    /// All that follow a server's part: servers of any table in use.
    pub fn names(&self, server: &str) -> bool {
        self.tables.values().any(|table| table.lines.contains_key(server))
    }

    /// What the next planner is told.
    pub fn held(&self) -> Vec<HeldTable> {
        let ours = self.tables.iter().filter(|table| *table.0 != STANDING);
        let held = |(table, found): (&u32, &Table)| HeldTable {
            planner: self.sender.planner.clone(),
            epoch: self.sender.epoch,
            table: *table,
            version: found.version,
        };
        ours.map(held).collect()
    }

    /// A planner took the proxy in. Its first binding replaces what another one, or an earlier start of the
    /// same, has sent; until then that stays in force.
    pub fn welcome(&mut self, welcome: &Welcome) {
        let sender = Sender { planner: welcome.planner.clone(), epoch: welcome.epoch };
        self.joined = (sender != self.sender).then_some(sender);
    }

    /// Takes a message, all of it or nothing.
    pub fn apply(&mut self, update: &Update) -> Result<(), Refusal> {
        *self = self.applied(update)?;
        Ok(())
    }

    /// The tables as a message leaves them.
    pub fn applied(&self, update: &Update) -> Result<Tables, Refusal> {
        let mut next = self.clone();
        if let Some(sender) = &next.joined {
            // Table numbers of two planners, or of two starts of one, have nothing to do with each other.
            if update.binds.is_empty() {
                let table = update.tables.first().map_or(0, |change| change.table);
                return Err(Refusal { table, holds: 0, reason: "a change before the first binding".into() });
            }
            next.sender = sender.clone();
            next.joined = None;
            next.tables.clear();
            next.bound.fill(None);
        }
        for change in &update.tables {
            next.change(change)?;
        }
        for bind in &update.binds {
            if !next.tables.contains_key(&bind.table) {
                let reason = format!("bound to table {}, of which nothing is held", bind.table);
                return Err(Refusal { table: bind.table, holds: 0, reason });
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

    fn change(&mut self, change: &TableChange) -> Result<(), Refusal> {
        let holds = self.tables.get(&change.table).map_or(0, |table| table.version);
        let refuse = |reason: String| Err(Refusal { table: change.table, holds, reason });
        if !change.whole && holds != change.from {
            return refuse(format!(
                "version gap: {holds} is held, the change is from {} to {}",
                change.from, change.to
            ));
        }
        // The same whole again changes nothing and does no harm.
        if change.whole && holds > change.to {
            return refuse(format!("an old whole: {holds} is held, {} came", change.to));
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

    /// For tests and those on call.
    pub fn print(&self) -> String {
        let mut text = String::new();
        for (table, found) in &self.tables {
            let lines: Vec<String> =
                found.lines.iter().map(|(server, weight)| format!("{server}={weight}")).collect();
            let name = if *table == STANDING { "standing".into() } else { format!("table {table}") };
            let _ = writeln!(text, "{name} version {}: {}", found.version, lines.join(" "));
        }
        text
    }
}

impl Table {
    /// Part of a route's calls let in, and how it is tried again: what names the route goes before what is
    /// said for all. Nothing where neither was ever said.
    pub fn gate(&self, route: usize) -> Option<(f64, u32)> {
        let named = self.gates.iter().rev().find(|gate| gate.routes >> route & 1 == 1);
        let all = || self.gates.iter().rev().find(|gate| gate.routes == 0);
        named.or_else(all).map(|gate| (gate.level, gate.resend))
    }
}
