//! The audit of a cluster day, from what was recorded alone: calls at admin doors with their answers, and what passed
//! on members' links, all by one clock.
//!
//! - Each key's orders and fresh reads fit one order in which each takes its effect between call and return (Herlihy
//!   and Wing 1990; the search of Wing and Gong 1993 with remembered states). An order whose answer is not known may
//!   take effect at any time after its call, or never. The search is bounded: beyond it says `not decided`.
//! - Numbers: of two orders kept one after the other the later has the higher number, and no number is given twice.
//! - Votes: a member gives one vote in a term; one leader in a term; no member votes from a disk older than one it had.

use crate::cluster::links::Seen;
use pewtergap_time::Moment;
use std::collections::{BTreeMap, BTreeSet, HashSet};

#[derive(Clone, Debug, PartialEq)]
pub enum Done {
    Kept(u64),
    /// Said not to be kept, or never sent.
    Not,
    Unknown,
    /// What a fresh read found: the value of each key that has one.
    Found(BTreeMap<usize, u64>),
    /// A read that was not fresh, or had no answer.
    Nothing,
}

/// One call at an admin door.
#[derive(Clone, Debug)]
pub struct Op {
    pub called: Moment,
    pub returned: Moment,
    pub at: usize,
    /// Key and value for an order; none for a read. 0: the key has none afterwards.
    pub order: Option<(usize, u64)>,
    pub done: Done,
}

/// States that the search for one key may look at.
const MOST_STATES: usize = 2_000_000;

#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    pub rule: &'static str,
    pub what: String,
}

struct Event {
    called: Moment,
    returned: Option<Moment>,
    write: Option<u64>,
    read: u64,
}

/// Whether one order fits; none if the search passed its bound.
fn fits(events: &mut [Event]) -> Option<bool> {
    events.sort_by_key(|event| event.called);
    // Which events are placed, and the value so far. An order of unknown outcome need not be placed.
    let words = events.len().div_ceil(64);
    let mut met: HashSet<(Vec<u64>, u64)> = HashSet::new();
    let mut stack = vec![(vec![0u64; words], 0u64)];
    while let Some((placed, value)) = stack.pop() {
        if met.len() > MOST_STATES {
            return None;
        }
        if !met.insert((placed.clone(), value)) {
            continue;
        }
        let is = |at: usize| placed[at / 64] >> (at % 64) & 1 == 1;
        let open = |at: &usize| !is(*at);
        let first = (0..events.len()).filter(open).filter_map(|at| events[at].returned).min();
        let Some(first) = first else { return Some(true) };
        for at in (0..events.len()).filter(open) {
            let event = &events[at];
            // Whatever is placed next was called before the first of the rest returned.
            if event.called > first {
                break;
            }
            let next = match event.write {
                Some(written) => written,
                None if event.read == value => value,
                None => continue,
            };
            let mut placed = placed.clone();
            placed[at / 64] |= 1 << (at % 64);
            stack.push((placed, next));
        }
    }
    Some(false)
}

pub fn judge(ops: &[Op], seen: &[(Moment, Seen)]) -> Vec<Breach> {
    let mut breaches = Vec::new();
    let keys: BTreeSet<usize> = ops.iter().filter_map(|op| op.order.map(|order| order.0)).collect();
    for key in keys {
        let mut events = Vec::new();
        for op in ops {
            match (&op.order, &op.done) {
                (Some((of, value)), done) if *of == key && *done != Done::Not => {
                    let returned = matches!(done, Done::Kept(_)).then_some(op.returned);
                    events.push(Event { called: op.called, returned, write: Some(*value), read: 0 });
                }
                (None, Done::Found(found)) => {
                    let read = found.get(&key).copied().unwrap_or(0);
                    events.push(Event { called: op.called, returned: Some(op.returned), write: None, read });
                }
                _ => {}
            }
        }
        // Reads that say the same within the same time add nothing but work: the search keeps them all the same.
        match fits(&mut events) {
            Some(true) => {}
            Some(false) => {
                let what = format!("key {key}: no order of its {} orders and reads fits", events.len());
                breaches.push(Breach { rule: "one order", what });
            }
            None => {
                let what = format!("key {key}: not decided within {MOST_STATES} states");
                breaches.push(Breach { rule: "not decided", what });
            }
        }
    }
    numbers(ops, &mut breaches);
    votes(seen, &mut breaches);
    breaches
}

fn numbers(ops: &[Op], breaches: &mut Vec<Breach>) {
    let kept = ops.iter().filter_map(|op| match op.done {
        Done::Kept(number) => Some((op, number)),
        _ => None,
    });
    let mut kept: Vec<(&Op, u64)> = kept.collect();
    kept.sort_by_key(|kept| kept.0.called);
    let mut given: BTreeSet<u64> = BTreeSet::new();
    for (op, number) in &kept {
        if !given.insert(*number) {
            let what = format!("number {number} was given twice, again at member {}", op.at);
            breaches.push(Breach { rule: "a number twice", what });
        }
    }
    let mut by_return: Vec<(Moment, u64)> = kept.iter().map(|kept| (kept.0.returned, kept.1)).collect();
    by_return.sort();
    let (mut highest, mut next) = (0, 0);
    for (op, number) in &kept {
        while next < by_return.len() && by_return[next].0 < op.called {
            highest = highest.max(by_return[next].1);
            next += 1;
        }
        if *number < highest {
            let what = format!("number {number} was given after {highest} had been");
            breaches.push(Breach { rule: "a number fell", what });
        }
    }
}

fn votes(seen: &[(Moment, Seen)], breaches: &mut Vec<Breach>) {
    let mut voted: BTreeMap<(u64, u64), u64> = BTreeMap::new();
    let mut leads: BTreeMap<u64, u64> = BTreeMap::new();
    let mut highest: BTreeMap<u64, u64> = BTreeMap::new();
    for (at, seen) in seen {
        match seen {
            Seen::Vote { by, start, term, to } if *by != 0 => {
                let known = *voted.entry((*by, *term)).or_insert(*to);
                if known != *to {
                    let what = format!("{by:016x} voted for {known:016x} and {to:016x} in term {term}");
                    breaches.push(Breach { rule: "two votes", what });
                }
                let newest = highest.get(by).copied().unwrap_or(0);
                if *start < newest {
                    let what = format!("{by:016x} voted as of start {start}, {newest} had been ({at:?})");
                    breaches.push(Breach { rule: "a vote from an old disk", what });
                }
            }
            Seen::Leads { id, term } if *id != 0 => {
                let known = *leads.entry(*term).or_insert(*id);
                if known != *id {
                    let what = format!("{known:016x} and {id:016x} led in term {term}");
                    breaches.push(Breach { rule: "two leaders", what });
                }
            }
            Seen::Hello { id, start, .. } => {
                let newest = highest.entry(*id).or_insert(*start);
                *newest = (*newest).max(*start);
            }
            _ => {}
        }
    }
}
