//! What each table holds, which of them each stream follows, and what a turn's orders write to whom.

use pewtergap_planner::interner::Interner;
use pewtergap_planner::{Action, ResendPolicy};
use pewtergap_resp::ConfigPart;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Lines in one part of a message; a longer table goes in several.
const LINES_A_PART: usize = 4_000;

/// Routes it is for as a sum of 2^k, level, way of trying again.
type Gate = (u64, f64, u8);

/// What a proxy is to be told: for these routes, of this table, the whole of it or the changes.
type News = (u64, usize, bool);

#[derive(Debug, Default)]
struct Standing {
    lines: BTreeMap<usize, f64>,
    gates: Vec<Gate>,
    /// What the present turn changed.
    touched: BTreeSet<usize>,
    gated: Vec<Gate>,
}

/// One message for one proxy.
#[derive(Clone, Debug)]
pub struct Message {
    pub proxy: usize,
    pub bytes: Rc<[u8]>,
    /// As the channel counts them, without the head.
    pub lines: usize,
}

#[derive(Debug, Default)]
pub struct Tables {
    tables: BTreeMap<usize, Standing>,
    /// Table by routes, for each proxy that was given one on its present stream.
    follows: BTreeMap<usize, Vec<(u64, usize)>>,
}

impl Tables {
    /// A stream begins or ends: it follows nothing until it is given something.
    pub fn forget(&mut self, proxy: usize) {
        self.follows.remove(&proxy);
    }

    /// Takes the orders of one turn. Proxies of one table are written the same bytes.
    pub fn carry_out(
        &mut self,
        orders: &[Action],
        servers: &Interner<String>,
        routes: &[String],
    ) -> (Option<u64>, Vec<Message>) {
        let mut mark = None;
        let mut bound: BTreeMap<usize, Vec<u64>> = BTreeMap::new();
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
                    let how = match resend {
                        ResendPolicy::Never => 0,
                        ResendPolicy::IfNeverRan => 1,
                        ResendPolicy::Once => 2,
                    };
                    let standing = self.tables.entry(*table).or_default();
                    for gates in [&mut standing.gates, &mut standing.gated] {
                        gates.retain(|known| *routes != 0 && known.0 != *routes);
                        gates.push((*routes, *level, how));
                    }
                }
                Action::Bind { proxy, table, routes } => {
                    let follows = self.follows.entry(*proxy).or_default();
                    follows.retain(|known| *routes != 0 && known.0 != *routes);
                    follows.push((*routes, *table));
                    bound.entry(*proxy).or_default().push(*routes);
                }
                Action::Mark { mark: ordered } => mark = Some(*ordered),
                _ => {}
            }
        }
        let mut written: BTreeMap<Vec<News>, (Rc<[u8]>, usize)> = BTreeMap::new();
        let mut messages = Vec::new();
        for (proxy, follows) in &self.follows {
            let whole = |routes: &u64| bound.get(proxy).is_some_and(|bound| bound.contains(routes));
            let touched = |table: &usize| {
                self.tables.get(table).is_some_and(|t| !t.touched.is_empty() || !t.gated.is_empty())
            };
            let news = follows.iter().filter(|(mask, table)| whole(mask) || touched(table));
            let news: Vec<News> = news.map(|(mask, table)| (*mask, *table, whole(mask))).collect();
            if news.is_empty() {
                continue;
            }
            let (bytes, lines) = written.entry(news.clone()).or_insert_with(|| {
                let mut parts: Vec<ConfigPart> = Vec::new();
                for (mask, table, whole) in news {
                    if let Some(standing) = self.tables.get(&table) {
                        standing.parts(mask, whole, servers, routes, &mut parts);
                    }
                }
                finish(parts, mark)
            });
            messages.push(Message { proxy: *proxy, bytes: bytes.clone(), lines: *lines });
        }
        for standing in self.tables.values_mut() {
            standing.touched.clear();
            standing.gated.clear();
        }
        (mark, messages)
    }
}

/// The mark goes with the last part: it answers for all of the message.
fn finish(mut parts: Vec<ConfigPart>, mark: Option<u64>) -> (Rc<[u8]>, usize) {
    let mut bytes = Vec::new();
    if let Some(last) = parts.last_mut() {
        last.mark = mark;
    }
    let count = parts.len();
    let mut lines = 0;
    for (at, part) in parts.iter().enumerate() {
        part.write(at + 1 < count, &mut bytes);
        let single = [part.whole, part.gate.is_some(), part.mark.is_some()];
        lines += part.lines.len() + single.iter().filter(|counts| **counts).count();
    }
    (bytes.into(), lines)
}

impl Standing {
    fn parts(
        &self,
        mask: u64,
        whole: bool,
        servers: &Interner<String>,
        routes: &[String],
        into: &mut Vec<ConfigPart>,
    ) {
        let names = |mask: u64| -> Vec<String> {
            let named = routes.iter().enumerate().filter(|(at, _)| mask >> (*at).min(63) & 1 == 1);
            named.map(|(_, name)| name.clone()).collect()
        };
        let line = |at: &usize, weight: f64| (servers.name(*at).clone(), weight);
        let lines: Vec<(String, f64)> = if whole {
            self.lines.iter().map(|(at, weight)| line(at, *weight)).collect()
        } else {
            self.touched.iter().map(|at| line(at, self.lines.get(at).copied().unwrap_or(0.0))).collect()
        };
        let begin = into.len();
        for lines in lines.chunks(LINES_A_PART) {
            into.push(ConfigPart { routes: names(mask), lines: lines.to_vec(), ..ConfigPart::default() });
        }
        if whole {
            if into.len() == begin {
                into.push(ConfigPart { routes: names(mask), ..ConfigPart::default() });
            }
            into[begin].whole = true;
        }
        for (gated, level, how) in if whole { &self.gates } else { &self.gated } {
            let for_routes = match (mask, *gated) {
                (0, gated) => gated,
                (mask, 0) => mask,
                (mask, gated) => mask & gated,
            };
            // A level for just the routes whose lines a part carries goes with them.
            let carried = into.len() > begin && for_routes == mask;
            match into.last_mut() {
                Some(last) if carried && last.gate.is_none() => last.gate = Some((*level, *how)),
                _ if mask != 0 && for_routes == 0 => {}
                _ => into.push(ConfigPart {
                    routes: names(for_routes),
                    gate: Some((*level, *how)),
                    ..ConfigPart::default()
                }),
            }
        }
    }
}
