//! Translates the record's orders into overrides for the planner service, at the progress each order has
//! reached.
//!
//! An order in steps applies in part: a cap moves that fraction of the way to its level, a weight that
//! fraction of the way from the listed weight, and a zone drain covers that fraction of the zone's servers,
//! the same ones at every planner. With steps by proxies, that fraction of the planners apply the whole
//! order, each with all its proxies.

use pewtergap_control::{OverrideChange, Overrides, Service};
use pewtergap_record::{ActiveOrder, OrderAction, Record, Subject};
use pewtergap_time::Moment;
use std::collections::BTreeSet;
use xxhash_rust::xxh3::xxh3_64;

/// This planner's name and the names of all planners.
#[derive(Clone, Debug, Default)]
pub struct PlannerSet {
    pub name: String,
    pub planners: Vec<String>,
}

impl PlannerSet {
    /// Whether this planner is in the given fraction of the planners. The selection differs between orders,
    /// so that no planner is always among the first. If the planners are not known, about that fraction of
    /// them is selected.
    pub fn includes(&self, number: u64, share: f64) -> bool {
        let hash = |name: &str| xxh3_64(format!("{number}\n{name}").as_bytes());
        if self.planners.is_empty() {
            return (hash(&self.name) as f64) < share * u64::MAX as f64;
        }
        let rank = self.planners.iter().filter(|name| hash(name) < hash(&self.name)).count();
        rank < (self.planners.len().max(1) as f64 * share - 1e-9).ceil() as usize
    }
}

/// The action of an order that has not expired or been reverted, and the fraction of it that applies here.
fn active_action<'a>(
    active: &'a ActiveOrder,
    now: Moment,
    planners: &PlannerSet,
) -> Option<(&'a OrderAction, f64)> {
    let order = active
        .order
        .as_ref()
        .filter(|order| order.expires_at_ms == 0 || order.expires_at_ms > now.0 / 1_000_000)?;
    let share = match f64::from(active.progress.min(1_000)) / 1e3 {
        _ if order.steps == 0 => 1.0,
        progress if !order.by_proxies => progress,
        progress => f64::from(u8::from(planners.includes(active.index, progress))),
    };
    order.action.as_ref().map(|action| (action, share)).filter(|_| share > 0.0)
}

/// The fraction of an order that this planner applies now.
pub fn applied_share(active: &ActiveOrder, now: Moment, planners: &PlannerSet) -> f64 {
    active_action(active, now, planners).map_or(0.0, |active| active.1)
}

fn interpolate_weight(service: &Service, server: &str, target: f64, share: f64) -> f64 {
    let listed = service.endpoint(server).map_or(target, |listed| listed.weight);
    listed + (target - listed) * share
}

/// The given fraction of a zone's servers, selected by a hash of their names. A server that joins the list moves
/// at most one other in or out.
fn zone_servers(service: &Service, zone: &str, share: f64) -> BTreeSet<String> {
    let mut all: Vec<&String> = service.servers_in_zone(zone).collect();
    all.sort_by_key(|server| xxh3_64(server.as_bytes()));
    let count = (all.len() as f64 * share).ceil() as usize;
    all.into_iter().take(count).cloned().collect()
}

fn is_draining(record: &Record, service: &Service, now: Moment, server: &str) -> bool {
    let drain =
        record.find_drain(server).filter(|drain| drain.notified_at_ms + drain.grace_ms > now.0 / 1_000_000);
    drain.is_some_and(|drain| service.lists_start(&drain.server, drain.started))
}

/// The overrides of all orders.
pub fn all_overrides(record: &Record, service: &Service, now: Moment, planners: &PlannerSet) -> Overrides {
    let mut overrides = Overrides::default();
    for (subject, active) in record.orders() {
        let Some((action, share)) = active_action(active, now, planners) else { continue };
        match (subject, action) {
            (Subject::Server(server), _) => drop(overrides.drained.insert(server.clone())),
            (Subject::Zone(zone), _) => overrides.drained.extend(zone_servers(service, zone, share)),
            (Subject::Weight(server), OrderAction::SetWeight(w)) => {
                overrides
                    .weights
                    .insert(server.clone(), interpolate_weight(service, server, w.weight, share));
            }
            (Subject::Route(route), OrderAction::SetCap(cap)) => {
                overrides.caps.insert(route.clone(), 1.0 - (1.0 - cap.level) * share);
            }
            (Subject::Releases, _) => overrides.held = true,
            _ => {}
        }
    }
    // A drain announced at another planner applies here too, even if this planner's list is behind.
    let draining = record.drains().filter(|drain| is_draining(record, service, now, &drain.server));
    overrides.drained.extend(draining.map(|drain| drain.server.clone()));
    overrides
}

/// The changes for these subjects alone. Evaluating all orders at each commit was too slow with 10,000 of
/// them in force. Returns `None` if that takes the complete overrides.
pub fn changes_for(
    record: &Record,
    service: &Service,
    now: Moment,
    subjects: &BTreeSet<Subject>,
    planners: &PlannerSet,
) -> Option<Vec<OverrideChange>> {
    let later = record.orders().rev().take_while(|(subject, _)| **subject > Subject::Releases);
    let zone_drains = later.filter(|(subject, _)| matches!(subject, Subject::Zone(_))).count();
    let mut changes = Vec::new();
    for subject in subjects {
        let action = record.active_order(subject).and_then(|active| active_action(active, now, planners));
        changes.push(match (subject, action) {
            (Subject::Server(_), _) if zone_drains > 0 => return None,
            (Subject::Server(at), action) => {
                OverrideChange::Drained(at.clone(), action.is_some() || is_draining(record, service, now, at))
            }
            (Subject::Weight(at), Some((OrderAction::SetWeight(w), share))) => {
                OverrideChange::Weight(at.clone(), Some(interpolate_weight(service, at, w.weight, share)))
            }
            (Subject::Weight(at), _) => OverrideChange::Weight(at.clone(), None),
            (Subject::Route(route), Some((OrderAction::SetCap(cap), share))) => {
                OverrideChange::Cap(route.clone(), Some(1.0 - (1.0 - cap.level) * share))
            }
            (Subject::Route(route), _) => OverrideChange::Cap(route.clone(), None),
            (Subject::Releases, action) => OverrideChange::Hold(action.is_some()),
            (Subject::Zone(_), _) => return None,
            (Subject::Duties, _) => continue,
        });
    }
    Some(changes)
}
