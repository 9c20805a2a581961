//! Fixed bounds of the program, compared with what the target requires of them.

use crate::model::Role;
use crate::target::{Pair, Target};
use serde::Serialize;

/// One bound. The tests compare these numbers with the constants of the program.
#[derive(Clone, Debug, Serialize)]
pub struct Bound {
    pub name: &'static str,
    pub role: Role,
    pub most: f64,
    /// Where it is defined.
    pub source: &'static str,
    /// What the target requires, at both values of the parameter.
    pub needs: Pair,
    /// The parameter that `needs` depends on; empty if it depends on none.
    pub parameter: &'static str,
    pub carried_by: &'static str,
}

impl Bound {
    /// Need divided by bound; infinite if the bound is 0.
    pub fn factors(&self) -> [f64; 2] {
        self.needs.0.map(|needs| if self.most > 0.0 { needs / self.most } else { f64::INFINITY })
    }
}

const SERVICES_PER_PLANNER: &str = "services_a_planner";

pub fn bounds(target: &Target) -> Vec<Bound> {
    let services = target.pair(SERVICES_PER_PLANNER).0;
    let fixed = |needs: f64| (Pair([needs, needs]), "");
    // The share of the services of one planner, out of so many in total.
    let per_planner =
        |all: f64| (Pair(services.map(|services| services * all / target.services)), SERVICES_PER_PLANNER);
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
            fixed(target.planners),
            "tier between record and planners: few vote, the others watch",
        ),
        bound(
            Voter,
            "orders in force, those of a day",
            10_000.0,
            "record: MAX_ORDERS",
            fixed(target.changes_per_day),
            "the record's table",
        ),
        bound(
            Voter,
            "ids remembered for 15 minutes, all of them the worst second's",
            100_000.0,
            "record: MAX_IDS",
            fixed(target.changes_burst * 900.0),
            "the record's table; beyond it orders are refused until ids are forgotten",
        ),
        bound(
            Voter,
            "budgets in parts, one for each service",
            16.0,
            "record: MAX_BUDGETS",
            fixed(target.services),
            "none: parts move as the record's commands",
        ),
        bound(
            Planner,
            "planners known by gossip",
            256.0,
            "gossip: MAX_MEMBERS",
            fixed(target.planners),
            "none for all; the tier's roster for who is heard",
        ),
        bound(
            Planner,
            "routes in the settings, of one planner before all services",
            60.0,
            "settings: routes",
            fixed(target.routes),
            "settings by scope: a planner has its own services' routes",
        ),
        bound(
            Planner,
            "routes in the settings, its services' own",
            60.0,
            "settings: routes",
            per_planner(target.routes),
            "settings by scope",
        ),
        bound(
            Planner,
            "services that it tells apart",
            1.0,
            "settings: one list, one pool of servers",
            (Pair(services), SERVICES_PER_PLANNER),
            "none: one process a service",
        ),
        bound(
            Planner,
            "tenants in the settings",
            0.0,
            "settings: no such field",
            per_planner(target.tenants),
            "none: the settings have no notion of a tenant",
        ),
        bound(
            Planner,
            "figures it shares, one for each server listed",
            1_024.0,
            "counts: MAX_KEYS",
            fixed(target.servers),
            "none: sharing is not scoped",
        ),
        bound(
            Proxy,
            "routes of a proxy, its planner's services' own",
            64.0,
            "protocol: MAX_ROUTES",
            per_planner(target.routes),
            "the main protocol",
        ),
        bound(
            Proxy,
            "lines of one table, all servers",
            65_536.0,
            "protocol: MAX_LINES",
            fixed(target.servers),
            "the main protocol",
        ),
        bound(
            Holder,
            "duties, one slice of probes for each service and three more",
            1_024.0,
            "duty: MAX_DUTIES",
            fixed(target.services + 3.0),
            "the record's leases; none by scope yet",
        ),
    ]
}
