//! Arithmetic on lists of weighted servers, which are sorted by server.

use crate::types::{GroupMember, ServerIndex, Subset, TableIndex, WeightedServer};
use std::collections::{BTreeMap, BTreeSet};

/// Weight that a table gives to servers beyond a proxy's target. Both lists are sorted by server.
pub fn excess(table: &[WeightedServer], target: &[WeightedServer]) -> f64 {
    let mut beyond = 0.0;
    let mut remaining = target.iter().peekable();
    for (at, weight) in table {
        while remaining.next_if(|wanted| wanted.0 < *at).is_some() {}
        let wanted = remaining.next_if(|wanted| wanted.0 == *at).map_or(0.0, |wanted| wanted.1);
        beyond += (weight - wanted).max(0.0);
    }
    beyond
}

pub fn normalize(shares: &mut [WeightedServer]) {
    let sum: f64 = shares.iter().map(|line| line.1).sum();
    shares.iter_mut().for_each(|line| line.1 /= sum.max(1e-12));
}

/// Demand-weighted mean of the members' targets.
pub fn centroid<'a>(members: impl Iterator<Item = &'a GroupMember<'a>>) -> Vec<WeightedServer> {
    let mut mean: BTreeMap<ServerIndex, f64> = BTreeMap::new();
    for member in members {
        member.target.iter().for_each(|(at, weight)| *mean.entry(*at).or_default() += member.demand * weight);
    }
    let mut mean: Vec<WeightedServer> = mean.into_iter().collect();
    normalize(&mut mean);
    mean
}

/// Imbalance of a grouping, as a fraction of its total demand.
pub fn imbalance(members: &[GroupMember]) -> f64 {
    let tables: BTreeSet<TableIndex> = members.iter().filter_map(|m| m.group).collect();
    let members_of = |table: TableIndex| members.iter().filter(move |m| m.group == Some(table));
    let beyond = |table: TableIndex| {
        let centre = centroid(members_of(table));
        members_of(table).map(|m| m.demand * excess(&centre, m.target)).sum::<f64>()
    };
    let total: f64 = members.iter().filter(|m| m.group.is_some()).map(|m| m.demand).sum();
    tables.iter().map(|table| beyond(*table)).sum::<f64>() / total.max(1e-9)
}

/// Weights for subsets of a target's servers such that all subsets together match the target. Corrects by
/// server and by subset in turn, each time by a factor of at most `max_factor`. What the composition of the
/// subsets does not allow remains as imbalance.
pub fn balance_subsets(
    target: &[WeightedServer],
    subsets: &[(&Subset, f64)],
    sweeps: usize,
    max_factor: f64,
) -> Vec<Vec<WeightedServer>> {
    let total_demand: f64 = subsets.iter().map(|subset| subset.1).sum();
    let initial = |subset: &Subset| {
        target.iter().filter(|line| subset.full || subset.servers.contains(&line.0)).copied().collect()
    };
    let mut rows: Vec<Vec<WeightedServer>> = subsets.iter().map(|subset| initial(subset.0)).collect();
    let wanted: BTreeMap<ServerIndex, f64> = target.iter().copied().collect();
    for _ in 0..sweeps {
        let mut sent: BTreeMap<ServerIndex, f64> = BTreeMap::new();
        for (row, subset) in rows.iter_mut().zip(subsets) {
            normalize(row);
            row.iter().for_each(|line| *sent.entry(line.0).or_default() += line.1 * subset.1 / total_demand);
        }
        let factor = |at: ServerIndex| wanted[&at] / sent[&at].max(1e-12);
        rows.iter_mut()
            .flatten()
            .for_each(|line| line.1 *= factor(line.0).clamp(1.0 / max_factor, max_factor));
    }
    rows.iter_mut().for_each(|row| normalize(row));
    rows
}
