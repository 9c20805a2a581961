//! The state of each table, which tables each stream follows, and the messages that a turn's actions result in.

use pewtergap_planner::interner::Interner;
use pewtergap_planner::{Action, ResendPolicy};
use pewtergap_resp::ConfigPart;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Maximum number of lines in one part of a message; a longer table is split.
const MAX_LINES_PER_PART: usize = 4_000;

/// Bit mask of routes, throttling level, resend policy.
type Gate = (u64, f64, u8);

/// A change to send to a proxy: bit mask of routes, table, and whether the whole table is sent.
type TableUpdate = (u64, usize, bool);

#[derive(Debug, Default)]
struct Table {
    lines: BTreeMap<usize, f64>,
    gates: Vec<Gate>,
    /// Servers whose lines the current turn changed.
    changed_lines: BTreeSet<usize>,
    changed_gates: Vec<Gate>,
}

/// A message to one proxy.
#[derive(Clone, Debug)]
pub struct Message {
    pub proxy: usize,
    pub bytes: Rc<[u8]>,
    /// Lines as the channel counts them, without the overhead per message.
    pub lines: usize,
    /// Those of them that remove a server.
    pub removals: usize,
}

/// An encoded message and its counts, shared by all proxies that receive it.
#[derive(Clone)]
struct Encoded {
    bytes: Rc<[u8]>,
    lines: usize,
    removals: usize,
}

#[derive(Debug, Default)]
pub struct Tables {
    tables: BTreeMap<usize, Table>,
    /// For each proxy, the routes and tables it was bound to on its present stream.
    bindings: BTreeMap<usize, Vec<(u64, usize)>>,
}

impl Tables {
    /// Clears a proxy's bindings when its stream begins or ends.
    pub fn unbind(&mut self, proxy: usize) {
        self.bindings.remove(&proxy);
    }

    /// Applies the actions of one turn and returns the mark and the messages to send. Proxies of one table get the same
    /// bytes.
    pub fn apply(
        &mut self,
        actions: &[Action],
        servers: &Interner<String>,
        routes: &[String],
    ) -> (Option<u64>, Vec<Message>) {
        let mut mark = None;
        let mut bound: BTreeMap<usize, Vec<u64>> = BTreeMap::new();
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
                    let policy = match resend {
                        ResendPolicy::Never => 0,
                        ResendPolicy::IfNeverRan => 1,
                        ResendPolicy::Once => 2,
                    };
                    let state = self.tables.entry(*table).or_default();
                    for gates in [&mut state.gates, &mut state.changed_gates] {
                        gates.retain(|known| *routes != 0 && known.0 != *routes);
                        gates.push((*routes, *level, policy));
                    }
                }
                Action::Bind { proxy, table, routes } => {
                    let bindings = self.bindings.entry(*proxy).or_default();
                    bindings.retain(|known| *routes != 0 && known.0 != *routes);
                    bindings.push((*routes, *table));
                    bound.entry(*proxy).or_default().push(*routes);
                }
                Action::Mark { mark: number } => mark = Some(*number),
                _ => {}
            }
        }
        let mut written: BTreeMap<Vec<TableUpdate>, Encoded> = BTreeMap::new();
        let mut messages = Vec::new();
        for (proxy, bindings) in &self.bindings {
            let whole = |routes: &u64| bound.get(proxy).is_some_and(|bound| bound.contains(routes));
            let changed = |table: &usize| {
                self.tables
                    .get(table)
                    .is_some_and(|t| !t.changed_lines.is_empty() || !t.changed_gates.is_empty())
            };
            let updates = bindings.iter().filter(|(mask, table)| whole(mask) || changed(table));
            let updates: Vec<TableUpdate> =
                updates.map(|(mask, table)| (*mask, *table, whole(mask))).collect();
            if updates.is_empty() {
                continue;
            }
            let Encoded { bytes, lines, removals } = written.entry(updates.clone()).or_insert_with(|| {
                let mut parts: Vec<ConfigPart> = Vec::new();
                for (mask, table, whole) in updates {
                    if let Some(state) = self.tables.get(&table) {
                        state.parts(mask, whole, servers, routes, &mut parts);
                    }
                }
                encode(parts, mark)
            });
            let (proxy, bytes) = (*proxy, bytes.clone());
            messages.push(Message { proxy, bytes, lines: *lines, removals: *removals });
        }
        for state in self.tables.values_mut() {
            state.changed_lines.clear();
            state.changed_gates.clear();
        }
        (mark, messages)
    }
}

/// Encodes a message. The mark is in its last part, so that acknowledging it acknowledges the whole message.
fn encode(mut parts: Vec<ConfigPart>, mark: Option<u64>) -> Encoded {
    let mut bytes = Vec::new();
    if let Some(last) = parts.last_mut() {
        last.mark = mark;
    }
    let count = parts.len();
    let (mut lines, mut removals) = (0, 0);
    for (at, part) in parts.iter().enumerate() {
        part.write(at + 1 < count, &mut bytes);
        let extras = [part.whole, part.gate.is_some(), part.mark.is_some()];
        lines += part.lines.len() + extras.iter().filter(|present| **present).count();
        removals += part.lines.iter().filter(|line| line.1 <= 0.0).count();
    }
    Encoded { bytes: bytes.into(), lines, removals }
}

impl Table {
    fn parts(
        &self,
        mask: u64,
        whole: bool,
        servers: &Interner<String>,
        routes: &[String],
        output: &mut Vec<ConfigPart>,
    ) {
        let names = |mask: u64| -> Vec<String> {
            let named = routes.iter().enumerate().filter(|(at, _)| mask >> (*at).min(63) & 1 == 1);
            named.map(|(_, name)| name.clone()).collect()
        };
        let line = |server: &usize, weight: f64| (servers.name(*server).clone(), weight);
        let lines: Vec<(String, f64)> = if whole {
            self.lines.iter().map(|(server, weight)| line(server, *weight)).collect()
        } else {
            self.changed_lines
                .iter()
                .map(|server| line(server, self.lines.get(server).copied().unwrap_or(0.0)))
                .collect()
        };
        let first = output.len();
        for lines in lines.chunks(MAX_LINES_PER_PART) {
            output.push(ConfigPart { routes: names(mask), lines: lines.to_vec(), ..ConfigPart::default() });
        }
        if whole {
            if output.len() == first {
                output.push(ConfigPart { routes: names(mask), ..ConfigPart::default() });
            }
            output[first].whole = true;
        }
        for (gate_routes, level, policy) in if whole { &self.gates } else { &self.changed_gates } {
            let for_routes = match (mask, *gate_routes) {
                (0, gate) => gate,
                (mask, 0) => mask,
                (mask, gate) => mask & gate,
            };
            // A gate for exactly the routes of the lines is sent in the same part.
            let same_routes = output.len() > first && for_routes == mask;
            match output.last_mut() {
                Some(last) if same_routes && last.gate.is_none() => last.gate = Some((*level, *policy)),
                _ if mask != 0 && for_routes == 0 => {}
                _ => output.push(ConfigPart {
                    routes: names(for_routes),
                    gate: Some((*level, *policy)),
                    ..ConfigPart::default()
                }),
            }
        }
    }
}
