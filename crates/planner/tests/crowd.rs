//! All proxies come to one planner, and servers drain: what is ordered has to arrive through a channel with a pace.

mod stage;

use pewtergap_planner::*;
use stage::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What the wire counts beside the lines of a message: its head, and its mark.
const BESIDE: usize = 4;
const LINES_PER_S: usize = 2_000;
const STEP_MS: u64 = 50;

/// A message on its way: to whom, its mark, its lines, and the servers its proxy goes to once it is applied.
type Sent = (usize, u64, usize, BTreeSet<usize>);

#[derive(Default)]
struct Wire {
    tables: BTreeMap<usize, BTreeSet<usize>>,
    follows: BTreeMap<usize, usize>,
    waiting: VecDeque<Sent>,
    /// Lines the channel could have taken since its last message left.
    room: usize,
    /// What each proxy was told last; one that was told nothing goes on with what its former planner gave it.
    told: BTreeMap<usize, BTreeSet<usize>>,
}

impl Wire {
    fn write(&mut self, orders: &[Action]) {
        let mut changed: BTreeMap<usize, usize> = BTreeMap::new();
        let (mut bound, mut marked) = (BTreeSet::new(), None);
        for order in orders {
            match order {
                Action::SetLine { table, server, weight } => {
                    let lines = self.tables.entry(*table).or_default();
                    let _ = if *weight > 0.0 { lines.insert(*server) } else { lines.remove(server) };
                    *changed.entry(*table).or_default() += 1;
                }
                Action::Bind { proxy, table, .. } => {
                    self.follows.insert(*proxy, *table);
                    bound.insert(*proxy);
                }
                Action::Mark { mark } => marked = Some(*mark),
                _ => {}
            }
        }
        let Some(mark) = marked else { return };
        for (proxy, table) in &self.follows {
            let lines = match (bound.contains(proxy), changed.get(table)) {
                (true, _) => 1 + self.tables[table].len(),
                (false, Some(lines)) => *lines,
                (false, None) => continue,
            };
            self.waiting.push_back((*proxy, mark, lines + BESIDE, self.tables[table].clone()));
        }
    }

    /// Lets one step's lines through, and tells what has been applied.
    fn step(&mut self) -> Vec<Event> {
        self.room += LINES_PER_S * STEP_MS as usize / 1_000;
        let mut applied = Vec::new();
        while let Some((_, _, lines, _)) = self.waiting.front() {
            if *lines > self.room {
                return applied;
            }
            self.room -= lines;
            let Some((proxy, mark, _, servers)) = self.waiting.pop_front() else { break };
            self.told.insert(proxy, servers);
            applied.push(Event::Applied { proxy, mark });
        }
        self.room = 0;
        applied
    }
}

/// Four of five planners are killed, 30 servers drain: of 240 proxies, those rid of them 2.3 s after the planner
/// was told.
/// `asks`: calls a second of those that come from the killed ones.
fn rid_in_time(asks: impl Fn(usize) -> f64) -> usize {
    let terms =
        Terms { zones: 3, proxies: 240, planners: 5, most_waiting: 4_400.0, longest_way: ms(300), ..terms() };
    let mut stage = Stage::new(terms);
    let mut wire = Wire::default();
    let drained: BTreeSet<usize> = (0..30).map(|server| server * 5).collect();
    let zones: Vec<usize> = (0..200).map(|server| server % 3).collect();
    for at in (0..8_300).step_by(STEP_MS as usize) {
        let mut events = wire.step();
        match at {
            0 => {
                events.push(kept(&zones));
                events.extend((0..48).map(|proxy| joined(proxy, 0, 6.0)));
            }
            // The other four planners are killed; their proxies dial again within 0.6 s.
            5_000..5_600 => {
                let first = 48 + (at - 5_000) as usize / STEP_MS as usize * 16;
                events.extend((first..first + 16).map(|proxy| joined(proxy, proxy % 3, asks(proxy))));
            }
            6_000 => {
                let entries = drained.iter().map(|at| entry(*at, at % 3, ListedState::Stopping, 1.0, None));
                events.push(Event::List { kind: ListKind::Changes, entries: entries.collect() });
            }
            _ => {}
        }
        events.push(Event::Tick);
        let orders = stage.planner.turn(START + ms(at), &events);
        wire.write(&orders);
    }
    wire.told.values().filter(|servers| servers.is_disjoint(&drained)).count()
}

#[test]
fn all_proxies_that_come_to_one_planner_are_told_of_a_drain_within_its_grace() {
    let rid = rid_in_time(|_| 6.0);
    assert_eq!(rid, 240, "proxies without a drained server 2.3 s after the planner was told");
}

#[test]
fn a_crowd_with_heavy_proxies_is_told_in_time_too() {
    // Sixteen tables of all servers took the channel for as long as the other 176 together.
    let rid = rid_in_time(|proxy| if proxy % 12 == 0 { 40.0 } else { 6.0 });
    assert_eq!(rid, 240, "proxies without a drained server 2.3 s after the planner was told");
}
