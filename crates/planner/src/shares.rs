//! Arithmetic on shares: lists of servers and weights, in the order of the servers. Nothing here decides.

use crate::types::{Member, Part, ServerIx, Share, TableNo};
use std::collections::{BTreeMap, BTreeSet};

/// What a table gives beyond a proxy's target; both name their servers in order.
pub fn excess(table: &[Share], target: &[Share]) -> f64 {
    let mut beyond = 0.0;
    let mut wants = target.iter().peekable();
    for (at, have) in table {
        while wants.next_if(|want| want.0 < *at).is_some() {}
        let want = wants.next_if(|want| want.0 == *at).map_or(0.0, |want| want.1);
        beyond += (have - want).max(0.0);
    }
    beyond
}

pub fn rescale(shares: &mut [Share]) {
    let sum: f64 = shares.iter().map(|line| line.1).sum();
    shares.iter_mut().for_each(|line| line.1 /= sum.max(1e-12));
}

/// The demand-weighted mean of the members' targets.
pub fn centre<'a>(members: impl Iterator<Item = &'a Member<'a>>) -> Vec<Share> {
    let mut mean: BTreeMap<ServerIx, f64> = BTreeMap::new();
    for member in members {
        member.target.iter().for_each(|(at, want)| *mean.entry(*at).or_default() += member.demand * want);
    }
    let mut mean: Vec<Share> = mean.into_iter().collect();
    rescale(&mut mean);
    mean
}

/// The imbalance of a grouping, as part of all its demand.
pub fn imbalance(members: &[Member]) -> f64 {
    let tables: BTreeSet<TableNo> = members.iter().filter_map(|m| m.group).collect();
    let inside = |table: TableNo| members.iter().filter(move |m| m.group == Some(table));
    let beyond = |table: TableNo| {
        let middle = centre(inside(table));
        inside(table).map(|m| m.demand * excess(&middle, m.target)).sum::<f64>()
    };
    let total: f64 = members.iter().filter(|m| m.group.is_some()).map(|m| m.demand).sum();
    tables.iter().map(|table| beyond(*table)).sum::<f64>() / total.max(1e-9)
}

/// Weights for parts of a target's servers such that all parts together keep to it: corrected by server and
/// by part in turn, at most by a factor each time. What the parts' make-up cannot give stays as imbalance.
pub fn spread(target: &[Share], parts: &[(&Part, f64)], sweeps: usize, most: f64) -> Vec<Vec<Share>> {
    let all: f64 = parts.iter().map(|part| part.1).sum();
    let own = |part: &Part| {
        target.iter().filter(|line| part.whole || part.servers.contains(&line.0)).copied().collect()
    };
    let mut rows: Vec<Vec<Share>> = parts.iter().map(|part| own(part.0)).collect();
    let wanted: BTreeMap<ServerIx, f64> = target.iter().copied().collect();
    for _ in 0..sweeps {
        let mut sent: BTreeMap<ServerIx, f64> = BTreeMap::new();
        for (row, part) in rows.iter_mut().zip(parts) {
            rescale(row);
            row.iter().for_each(|line| *sent.entry(line.0).or_default() += line.1 * part.1 / all);
        }
        let due = |at: ServerIx| wanted[&at] / sent[&at].max(1e-12);
        rows.iter_mut().flatten().for_each(|line| line.1 *= due(line.0).clamp(1.0 / most, most));
    }
    rows.iter_mut().for_each(|row| rescale(row));
    rows
}
