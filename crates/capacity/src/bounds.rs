//! Bounds that stand in the program, against what the target would put in them.

use crate::model::Role;
use crate::size::{Pair, Size};
use serde::Serialize;

/// One bound. The tests hold these figures against the program's own.
#[derive(Clone, Debug, Serialize)]
pub struct Bound {
    pub name: &'static str,
    pub role: Role,
    pub most: f64,
    /// Where it stands.
    pub source: &'static str,
    /// What the target would put in, at both values of the parameters.
    pub needs: Pair,
    /// The parameter that it depends on; empty if it is the target's own number.
    pub parameter: &'static str,
    pub carried_by: &'static str,
}

impl Bound {
    /// How often what is needed goes into the bound; without end where there is no place at all.
    pub fn factors(&self) -> [f64; 2] {
        self.needs.0.map(|needs| if self.most > 0.0 { needs / self.most } else { f64::INFINITY })
    }
}

const SCOPE: &str = "services_a_planner";

pub fn bounds(size: &Size) -> Vec<Bound> {
    let services = size.pair(SCOPE).0;
    let whole = |needs: f64| (Pair([needs, needs]), "");
    // What belongs to the services that one planner stands before, of so many in all.
    let scoped = |all: f64| (Pair(services.map(|services| services * all / size.services)), SCOPE);
    let bound = |role, name, most, source, (needs, parameter): (Pair, &'static str), carried_by| Bound {
        name,
        role,
        most,
        source,
        needs,
        parameter,
        carried_by,
    };
    use Role::*;
    vec![
        bound(
            Voter,
            "members of the record, each planner one",
            7.0,
            "member: MAX_MEMBERS",
            whole(size.planners),
            "tier between record and planners: few vote, the others watch",
        ),
        bound(
            Voter,
            "orders in force, those of a day",
            10_000.0,
            "record: MAX_ORDERS",
            whole(size.changes_per_day),
            "the record's table",
        ),
        bound(
            Voter,
            "ids remembered for 15 minutes, all of them the worst second's",
            100_000.0,
            "record: MAX_IDS",
            whole(size.changes_burst * 900.0),
            "the record's table; beyond it orders are refused until ids are forgotten",
        ),
        bound(
            Voter,
            "budgets in parts, one for each service",
            16.0,
            "record: MAX_BUDGETS",
            whole(size.services),
            "none: parts move as the record's commands",
        ),
        bound(
            Planner,
            "planners known by gossip",
            256.0,
            "gossip: MAX_MEMBERS",
            whole(size.planners),
            "none for all; the tier's roster for who is heard",
        ),
        bound(
            Planner,
            "routes in the settings, of one planner before all services",
            60.0,
            "settings: routes",
            whole(size.routes),
            "settings by scope: a planner has its own services' routes",
        ),
        bound(
            Planner,
            "routes in the settings, its services' own",
            60.0,
            "settings: routes",
            scoped(size.routes),
            "settings by scope",
        ),
        bound(
            Planner,
            "services that it tells apart",
            1.0,
            "settings: one list, one pool of servers",
            (Pair(services), SCOPE),
            "none: one process a service",
        ),
        bound(
            Planner,
            "tenants in the settings",
            0.0,
            "settings: no such field",
            scoped(size.tenants),
            "none: the settings have no notion of a tenant",
        ),
        bound(
            Planner,
            "figures it shares, one for each server listed",
            1_024.0,
            "counts: MAX_KEYS",
            whole(size.servers),
            "none: sharing is not scoped",
        ),
        bound(
            Proxy,
            "routes of a proxy, its planner's services' own",
            64.0,
            "protocol: MAX_ROUTES",
            scoped(size.routes),
            "the main protocol",
        ),
        bound(
            Proxy,
            "lines of one table, all servers",
            65_536.0,
            "protocol: MAX_LINES",
            whole(size.servers),
            "the main protocol",
        ),
        bound(
            Holder,
            "duties, one slice of probes for each service and three more",
            1_024.0,
            "duty: MAX_DUTIES",
            whole(size.services + 3.0),
            "the record's leases; none by scope yet",
        ),
    ]
}
