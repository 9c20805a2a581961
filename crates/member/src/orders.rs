//! What the record's orders say to the service beside it, as far as each has been let.
//!
//! An order in steps binds by the part that its releaser has reached: a cap by that part of the way to its level, a weight
//! by that part of the way from the listed one, a zone's drain by that part of its servers, the same ones everywhere. Where
//! the steps are by proxies, that part of the planners carry it out whole, each with all its proxies.

use pewtergap_control::{OverrideChange, Overrides, Service};
use pewtergap_record::{ActiveOrder as Kept, OrderAction, Record, Subject};
use pewtergap_time::Moment;
use std::collections::BTreeSet;
use xxhash_rust::xxh3::xxh3_64;

/// Which planner this is among those that belong, by name.
#[derive(Clone, Debug, Default)]
pub struct PlannerSet {
    pub name: String,
    pub planners: Vec<String>,
}

impl PlannerSet {
    /// Whether this planner is in that part of them, drawn anew for each order so that no planner goes first in all. Where
    /// nobody knows them all, about that part of them is.
    pub fn includes(&self, number: u64, part: f64) -> bool {
        let draw = |name: &str| xxh3_64(format!("{number}\n{name}").as_bytes());
        if self.planners.is_empty() {
            return (draw(&self.name) as f64) < part * u64::MAX as f64;
        }
        let before = self.planners.iter().filter(|name| draw(name) < draw(&self.name)).count();
        before < (self.planners.len().max(1) as f64 * part - 1e-9).ceil() as usize
    }
}

/// What is wished for, unless its time is over or it was taken back; and which part of it.
fn in_force<'a>(kept: &'a Kept, now: Moment, among: &PlannerSet) -> Option<(&'a OrderAction, f64)> {
    let order = kept
        .order
        .as_ref()
        .filter(|order| order.expires_at_ms == 0 || order.expires_at_ms > now.0 / 1_000_000)?;
    let part = match f64::from(kept.progress.min(1_000)) / 1e3 {
        _ if order.steps == 0 => 1.0,
        reached if !order.by_proxies => reached,
        reached => f64::from(u8::from(among.includes(kept.index, reached))),
    };
    order.action.as_ref().map(|wish| (wish, part)).filter(|_| part > 0.0)
}

/// Which part of an order this planner carries out now.
pub fn applied_share(kept: &Kept, now: Moment, among: &PlannerSet) -> f64 {
    in_force(kept, now, among).map_or(0.0, |force| force.1)
}

fn weight(service: &Service, at: &str, wished: f64, part: f64) -> f64 {
    let listed = service.endpoint(at).map_or(wished, |listed| listed.weight);
    listed + (wished - listed) * part
}

/// That part of a zone's servers, by a hash of their names: who joins the list moves nobody else in or out.
fn of_zone(service: &Service, zone: &str, part: f64) -> BTreeSet<String> {
    let mut all: Vec<&String> = service.servers_in_zone(zone).collect();
    all.sort_by_key(|at| xxh3_64(at.as_bytes()));
    let most = (all.len() as f64 * part).ceil() as usize;
    all.into_iter().take(most).cloned().collect()
}

fn runs(record: &Record, service: &Service, now: Moment, at: &str) -> bool {
    let drain =
        record.find_drain(at).filter(|drain| drain.notified_at_ms + drain.grace_ms > now.0 / 1_000_000);
    drain.is_some_and(|drain| service.lists_start(&drain.server, drain.started))
}

/// All of it.
pub fn all_overrides(record: &Record, service: &Service, now: Moment, among: &PlannerSet) -> Overrides {
    let mut standing = Overrides::default();
    for (subject, kept) in record.orders() {
        let Some((wish, part)) = in_force(kept, now, among) else { continue };
        match (subject, wish) {
            (Subject::Server(server), _) => drop(standing.drained.insert(server.clone())),
            (Subject::Zone(zone), _) => standing.drained.extend(of_zone(service, zone, part)),
            (Subject::Weight(server), OrderAction::SetWeight(w)) => {
                standing.weights.insert(server.clone(), weight(service, server, w.weight, part));
            }
            (Subject::Route(route), OrderAction::SetCap(cap)) => {
                standing.caps.insert(route.clone(), 1.0 - (1.0 - cap.level) * part);
            }
            (Subject::Releases, _) => standing.held = true,
            _ => {}
        }
    }
    // A grace that another planner began runs on here, also where this one's list is behind.
    let running = record.drains().filter(|drain| runs(record, service, now, &drain.server));
    standing.drained.extend(running.map(|drain| drain.server.clone()));
    standing
}

/// What is said of these, and no more: with 10,000 orders in force each commit went through all of them. None: only
/// the whole tells.
pub fn changes_for(
    record: &Record,
    service: &Service,
    now: Moment,
    subjects: &BTreeSet<Subject>,
    among: &PlannerSet,
) -> Option<Vec<OverrideChange>> {
    let zones = record.orders().rev().take_while(|(subject, _)| **subject > Subject::Releases);
    let zones = zones.filter(|(subject, _)| matches!(subject, Subject::Zone(_))).count();
    let mut all = Vec::new();
    for subject in subjects {
        let wish = record.active_order(subject).and_then(|kept| in_force(kept, now, among));
        all.push(match (subject, wish) {
            (Subject::Server(_), _) if zones > 0 => return None,
            (Subject::Server(at), wish) => {
                OverrideChange::Drained(at.clone(), wish.is_some() || runs(record, service, now, at))
            }
            (Subject::Weight(at), Some((OrderAction::SetWeight(w), part))) => {
                OverrideChange::Weight(at.clone(), Some(weight(service, at, w.weight, part)))
            }
            (Subject::Weight(at), _) => OverrideChange::Weight(at.clone(), None),
            (Subject::Route(route), Some((OrderAction::SetCap(cap), part))) => {
                OverrideChange::Cap(route.clone(), Some(1.0 - (1.0 - cap.level) * part))
            }
            (Subject::Route(route), _) => OverrideChange::Cap(route.clone(), None),
            (Subject::Releases, wish) => OverrideChange::Hold(wish.is_some()),
            (Subject::Zone(_), _) => return None,
            (Subject::Duties, _) => continue,
        });
    }
    Some(all)
}
