//! Grouping of subsets into tables by demand-weighted k-means, and trimming of thin lines.

use crate::decide::IMBALANCE_MARGIN;
use crate::types::*;
use crate::weights::{centroid, excess, normalize};

/// Cluster means are computed once the seeds alone come within this multiple of the margin.
const SEED_MARGIN_FACTOR: f64 = 4.0;
/// Lines below this fraction of the average share may be trimmed.
const THIN_LINE_SHARE: f64 = 0.1;
const TRIM_CANDIDATES: usize = 4;

/// Groups narrow subsets apart from the others. A narrow one with little demand would otherwise share a wide
/// table, within the margin, and all proxies that come to it later would be sent that table.
pub(crate) fn group_by_width(members: &[GroupMember]) -> Vec<usize> {
    let mut groups = vec![0; members.len()];
    let mut group_count = 0;
    for narrow in [false, true] {
        let indices: Vec<usize> = (0..members.len()).filter(|at| members[*at].narrow == narrow).collect();
        let of_width: Vec<GroupMember> = indices.iter().map(|at| members[*at]).collect();
        let of_width = if of_width.is_empty() { Vec::new() } else { group_members(&of_width) };
        let next_count = of_width.iter().map(|group| group_count + group + 1).max().unwrap_or(group_count);
        indices.iter().zip(of_width).for_each(|(at, group)| groups[*at] = group_count + group);
        group_count = next_count;
    }
    groups
}

/// Demand-weighted k-means, seeded with the members of highest demand, with as few groups as the margin
/// allows. While the seeds alone are far from the margin no means are computed: with a hundred subsets they
/// took most of a second.
fn group_members(members: &[GroupMember]) -> Vec<usize> {
    let mut by_demand: Vec<&GroupMember> = members.iter().collect();
    by_demand.sort_by(|a, b| b.demand.total_cmp(&a.demand));
    let mut seeds: Vec<&GroupMember> = Vec::new();
    let mut nearest: Vec<(f64, usize)> = vec![(f64::INFINITY, 0); members.len()];
    let max_excess = IMBALANCE_MARGIN * members.iter().map(|m| m.demand).sum::<f64>();
    for next in &by_demand {
        if seeds.iter().any(|seed| excess(seed.target, next.target) < IMBALANCE_MARGIN) {
            continue;
        }
        for (member, near) in members.iter().zip(&mut nearest) {
            let cost = excess(next.target, member.target);
            *near = if cost < near.0 { (cost, seeds.len()) } else { *near };
        }
        seeds.push(next);
        if members.iter().zip(&nearest).map(|(m, near)| m.demand * near.0).sum::<f64>()
            <= SEED_MARGIN_FACTOR * max_excess
        {
            let (groups, total_excess) = k_means(members, &seeds);
            if total_excess <= max_excess {
                return groups;
            }
        }
    }
    k_means(members, &seeds).0
}

/// Groups around the means that the seeds lead to, and the weight that these give beyond the members'
/// targets.
fn k_means(members: &[GroupMember], seeds: &[&GroupMember]) -> (Vec<usize>, f64) {
    let mut centres: Vec<Vec<WeightedServer>> = seeds.iter().map(|seed| seed.target.to_vec()).collect();
    let mut groups: Vec<usize> = vec![0; members.len()];
    for _ in 0..3 {
        let nearest = |member: &GroupMember| {
            let cost: Vec<f64> = centres.iter().map(|centre| excess(centre, member.target)).collect();
            (0..cost.len()).min_by(|a, b| cost[*a].total_cmp(&cost[*b])).unwrap_or(0)
        };
        groups = members.iter().map(nearest).collect();
        for (group, centre) in centres.iter_mut().enumerate().filter(|(group, _)| groups.contains(group)) {
            *centre = centroid(members.iter().zip(&groups).filter(|p| *p.1 == group).map(|p| p.0));
        }
    }
    let total_excess =
        members.iter().zip(&groups).map(|(m, g)| m.demand * excess(&centres[*g], m.target)).sum();
    (groups, total_excess)
}

pub(crate) fn trim_lines(
    mut table: Vec<WeightedServer>,
    members: &[&GroupMember],
    zones: &[ZoneIndex],
) -> Vec<WeightedServer> {
    loop {
        normalize(&mut table);
        let threshold = THIN_LINE_SHARE / table.len().max(1) as f64;
        let mut thin: Vec<&WeightedServer> = table.iter().filter(|line| line.1 < threshold).collect();
        thin.sort_by(|a, b| a.1.total_cmp(&b.1));
        let last_in_zone = |at: ServerIndex| !table.iter().any(|l| l.0 != at && zones[l.0] == zones[at]);
        let without = |thin: &WeightedServer| {
            let mut remaining: Vec<WeightedServer> =
                table.iter().filter(|line| line.0 != thin.0).copied().collect();
            normalize(&mut remaining);
            (members.iter().map(|m| m.demand * excess(&remaining, m.target)).sum::<f64>(), remaining)
        };
        // The zone-bound calls follow the ratios within the zone, however thin its lines are in the table.
        let takes_bound_calls = |at: ServerIndex| members.iter().any(|m| m.bound_zone == Some(zones[at]));
        // Only the thinnest lines are examined: after a fleet doubles all of its lines are thin, and
        // examining all took too much CPU time.
        let needed = |line: &WeightedServer| last_in_zone(line.0) || takes_bound_calls(line.0);
        let droppable = thin.into_iter().filter(|line| !needed(line)).take(TRIM_CANDIDATES);
        let best = droppable.map(without).min_by(|a, b| a.0.total_cmp(&b.0));
        let Some((_, remaining)) = best else { return table };
        table = remaining;
    }
}
