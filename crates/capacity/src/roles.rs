//! The figures of each role. All restarts and failures of a day are counted as those of listed servers: the target does not
//! say how they are distributed over the roles, and this is the upper bound of what a planner is notified about.

use crate::estimate::Estimate;
use crate::model::{Quantity::*, Role, Situation::*, Worksheet};

const DAY_S: f64 = 86_400.0;
const SERVICES_PER_PLANNER: &str = "services_a_planner";
/// A planner shares no more figures than this (`MAX_KEYS` in the counts crate).
const MAX_SHARED_FIGURES: f64 = 1_024.0;

const LIST_WHOLE: &str = "list, whole at every planner";
const LIST_SCOPED: &str = "none yet: a list by scope";
const RECORD: &str = "agreement among the voters";
const TIER: &str = "tier: watches at control machines";
const SHARING: &str = "sharing, each with each";
const SHARING_SCOPED: &str = "none yet: sharing by scope, summed on the way";
const STREAMS: &str = "main protocol: one stream a proxy";
const PROBES: &str = "probes, each planner by itself";
const PROBES_SLICED: &str = "duties: slices of probes";
const PATH: &str = "proxy, one core";
const DUTIES: &str = "leases of the record";

pub(crate) fn add_all(sheet: &mut Worksheet<'_>) {
    voter(sheet);
    control_machine(sheet);
    planner(sheet);
    proxy(sheet);
    holder(sheet);
    operators(sheet);
}

/// The share of one planner's services, out of a total that is spread evenly over all services.
fn per_planner(sheet: &Worksheet<'_>, all: f64) -> Estimate {
    sheet.parameter(SERVICES_PER_PLANNER) * (all / sheet.target.services)
}

/// Changes of the list per second on an ordinary day.
fn list_changes_per_s(sheet: &Worksheet<'_>) -> Estimate {
    let (restarts, failures) = (sheet.target.restarts_per_day, sheet.target.failures_per_day);
    sheet.parameter("list_changes_a_restart") * ((restarts + failures) / DAY_S)
}

/// Watches per control machine while some machines are out.
fn watches_per_machine(sheet: &Worksheet<'_>) -> Estimate {
    sheet.target.planners / (sheet.parameter("machines_out") * -1.0 + sheet.target.machines)
}

/// Probes per second of one planner for so many healthy servers: each server every 2 s, at most 60 per second in total
/// (`PROBES_PER_S` in the planner crate).
fn probes_per_s(servers: f64) -> f64 {
    (servers / 2.0).min(60.0)
}

fn voter(sheet: &mut Worksheet<'_>) {
    sheet.set_role(Role::Voter);
    let target = sheet.target;
    let (memory, descriptors) =
        (Some(sheet.parameter_value("machine_memory")), Some(sheet.parameter_value("descriptors")));
    let day = target.changes_per_day / DAY_S;
    let rest = [
        ("a day's entries", State, sheet.value_at("record.disk", target.changes_per_day), None),
        ("words to the other voters", Messages, sheet.value_at("record.messages", 0.0), None),
        ("words to the other voters", Bytes, sheet.value_at("record.bytes", 0.0), None),
        ("leader", Core, sheet.value_at("record.core", 0.0), Some(1.0)),
        ("leader, a day's entries", Memory, sheet.value_at("record.memory", target.changes_per_day), memory),
        ("voter", Descriptors, sheet.value_at("record.descriptors", target.voters), descriptors),
    ];
    for (part, quantity, estimate, budget) in rest {
        sheet.add(Rest, part, quantity, estimate, budget, RECORD);
    }
    for (situation, rate) in [(Day, day), (Burst, target.changes_burst)] {
        sheet.add(situation, "changes", Messages, sheet.value_at("record.messages", rate), None, RECORD);
        sheet.add(situation, "changes", Bytes, sheet.value_at("record.bytes", rate), None, RECORD);
        sheet.add(situation, "changes", Core, sheet.value_at("record.core", rate), Some(1.0), RECORD);
    }
    let part = target.changes_burst / sheet.value_at("record.rate", target.voters);
    sheet.add(Burst, "orders, of those it can keep", Part, part, Some(1.0), RECORD);
    for situation in [Rack, Zone, Region] {
        let without_leader = sheet.value_at("record.without_leader", target.voters);
        sheet.add(
            situation,
            "without a leader, were it there",
            Time,
            without_leader,
            Some(target.in_force_s),
            RECORD,
        );
    }
    let missed = sheet.unit_cost("record.disk") * (day * target.cut_s) / target.in_force_s;
    sheet.add(Healed, "a voter's entries of the hour", Bytes, missed, None, RECORD);
}

fn control_machine(sheet: &mut Worksheet<'_>) {
    sheet.set_role(Role::ControlMachine);
    let target = sheet.target;
    let (memory, descriptors) =
        (Some(sheet.parameter_value("machine_memory")), Some(sheet.parameter_value("descriptors")));
    let watches = watches_per_machine(sheet);
    // The sum of the budgets of the planners that watch this machine.
    let bytes = Some(watches.value().unwrap_or(0.0) * target.planner_bytes_per_s);
    let rest = [
        (Messages, "tier.machine.messages", None),
        (Bytes, "tier.machine.bytes", bytes),
        (Core, "tier.machine.core", Some(1.0)),
        (Memory, "tier.machine.memory", memory),
        (Descriptors, "tier.machine.descriptors", descriptors),
    ];
    sheet.add(
        Rest,
        "all changes of a day in force",
        State,
        sheet.value_at("tier.snapshot", target.changes_per_day),
        None,
        TIER,
    );
    for (quantity, slope, budget) in rest {
        sheet.add(Rest, "watches", quantity, sheet.project(slope, watches.clone()), budget, TIER);
    }
    let scope = per_planner(sheet, 1.0);
    let changes =
        watches.clone() * scope.clone() * sheet.parameter("change_bytes") * (target.changes_per_day / DAY_S);
    sheet.add(Day, "changes to those whose scope has them", Bytes, changes, bytes, TIER);
    let changes = watches.clone() * scope.clone() * sheet.parameter("change_bytes") * target.changes_burst;
    sheet.add(Burst, "changes to those whose scope has them", Bytes, changes, bytes, TIER);
    let burst = [(Bytes, "tier.machine.burst_bytes", bytes), (Core, "tier.machine.burst_core", Some(1.0))];
    for (quantity, slope, budget) in burst {
        sheet.add(Burst, "watches", quantity, sheet.project(slope, watches.clone()), budget, TIER);
    }
    // The machines tell each other which planners they serve and what those have in force, which shares the budget of the
    // watches.
    let links = [
        (Rest, "tier.machine.bytes", "tier.machine.members_bytes"),
        (Burst, "tier.machine.burst_bytes", "tier.machine.members_burst"),
    ];
    for (situation, watch_slope, member_slope) in links {
        let both = sheet.project(watch_slope, watches.clone()) + sheet.project(member_slope, watches.clone());
        sheet.add(situation, "watches and words to the other machines", Bytes, both, bytes, TIER);
    }
    let snapshot = sheet.project("tier.snapshot", scope * target.changes_per_day);
    let reconnects = watches.clone() / sheet.parameter("release_s");
    sheet.add(Release, "watches anew", Messages, reconnects.clone(), None, TIER);
    sheet.add(Release, "snapshots", Bytes, reconnects * snapshot.clone(), bytes, TIER);
    for situation in [Rack, Zone, Region] {
        let recovery = sheet.value_at("tier.watch_again", target.planners);
        let part = "another machine's watches, were it there";
        sheet.add(situation, part, Time, recovery, Some(target.in_force_s), TIER);
    }
    let resent = snapshot * (target.planners / target.regions) / target.in_force_s;
    let each = resent / (sheet.parameter("machines_out") * -1.0 + target.machines);
    sheet.add(Healed, "a region's planners caught up", Bytes, each, bytes, TIER);
    let healed = sheet.value_at("tier.healed", (target.planners / target.regions).round());
    sheet.add(Healed, "a region's planners caught up", Time, healed, Some(target.in_force_s), TIER);
}

fn planner(sheet: &mut Worksheet<'_>) {
    sheet.set_role(Role::Planner);
    planner_at_rest(sheet);
    planner_by_day(sheet);
    planner_at_release(sheet);
    planner_after_loss(sheet);
}

fn planner_at_rest(sheet: &mut Worksheet<'_>) {
    let target = sheet.target;
    let (core, memory) = (Some(target.planner_core), Some(target.planner_memory));
    let bytes = Some(target.planner_bytes_per_s);
    let descriptors = Some(sheet.parameter_value("descriptors"));
    let servers = per_planner(sheet, target.servers);
    let proxies = sheet.parameter("proxies_a_planner");
    let peers = per_planner(sheet, target.planners);
    let (all, own) = ("list of all servers", "list of its services' servers");
    sheet.add(Rest, all, State, sheet.value_at("list.kept", target.servers), None, LIST_WHOLE);
    sheet.add(Rest, all, Core, sheet.value_at("list.core", target.servers), core, LIST_WHOLE);
    sheet.add(Rest, all, Memory, sheet.value_at("list.memory", target.servers), memory, LIST_WHOLE);
    sheet.add(Rest, own, Core, sheet.project("scope.core", servers.clone()), core, LIST_SCOPED);
    sheet.add(Rest, own, Memory, sheet.project("scope.memory", servers.clone()), memory, LIST_SCOPED);

    let streams = sheet.unit_cost("stream.memory") * proxies.clone();
    sheet.add(Rest, "streams", Messages, sheet.project("stream.messages", proxies.clone()), None, STREAMS);
    sheet.add(Rest, "streams", Bytes, sheet.project("stream.bytes", proxies.clone()), bytes, STREAMS);
    sheet.add(Rest, "streams", Core, sheet.unit_cost("stream.core") * proxies.clone(), core, STREAMS);
    sheet.add(Rest, "streams", Memory, streams.clone(), memory, STREAMS);
    let held = sheet.value_at("list.descriptors", target.servers) + proxies.clone();
    sheet.add(Rest, "list and streams", Descriptors, held, descriptors, STREAMS);

    for (quantity, slope, budget) in
        [(Messages, "probes.messages", None), (Bytes, "probes.bytes", bytes), (Core, "probes.core", core)]
    {
        let all = sheet.unit_cost(slope) * probes_per_s(target.servers);
        sheet.add(Rest, "probes of all servers, as many as it makes at most", quantity, all, budget, PROBES);
        let own = servers.clone().map(probes_per_s) * sheet.unit_cost(slope);
        sheet.add(Rest, "probes of its services' servers", quantity, own, budget, PROBES);
    }
    let off = sheet.value_at("list.core_unprobed", target.servers);
    sheet.add(Rest, "list of all servers, probes off", Core, off, core, LIST_WHOLE);

    let all_figures = (target.planners - 1.0) * target.servers;
    let scoped_figures = (peers - 1.0) * servers.clone();
    for (quantity, slope, budget) in [(Bytes, "sharing.bytes", bytes), (Core, "sharing.core", core)] {
        sheet.add(
            Rest,
            "sharing with all planners",
            quantity,
            sheet.value_at(slope, all_figures),
            budget,
            SHARING,
        );
        let own = sheet.project(slope, scoped_figures.clone());
        sheet.add(Rest, "sharing with its services' planners", quantity, own, budget, SHARING_SCOPED);
    }

    let shared = (target.planners - 1.0) * target.servers.min(MAX_SHARED_FIGURES);
    let part = "sharing with all planners, as many figures as it tells at most";
    sheet.add(Rest, part, Bytes, sheet.value_at("sharing.bytes", shared), bytes, SHARING);

    let routes = per_planner(sheet, target.routes);
    let settings = sheet.unit_cost("routes.memory") * routes.clone();
    sheet.add(Rest, "its services' routes", Memory, settings.clone(), memory, "settings, one file a planner");
    sheet.add(
        Rest,
        "its services' routes",
        Core,
        sheet.unit_cost("routes.core") * routes,
        core,
        "settings, one file a planner",
    );

    let tier = [
        (Bytes, "tier.planner.bytes", bytes),
        (Core, "tier.planner.core", core),
        (Memory, "tier.planner.memory", memory),
    ];
    for (quantity, slope, budget) in tier {
        sheet.add(Rest, "its watch", quantity, sheet.value_at(slope, target.planners), budget, TIER);
    }

    let whole = "all of today, but its watch and sharing";
    let total = sheet.value_at("list.memory", target.servers) + streams.clone() + settings.clone();
    sheet.add(Rest, whole, Memory, total, memory, LIST_WHOLE);
    let total = sheet.value_at("list.core", target.servers)
        + sheet.unit_cost("probes.core") * probes_per_s(target.servers)
        + sheet.unit_cost("stream.core") * proxies.clone();
    sheet.add(Rest, whole, Core, total, core, LIST_WHOLE);
    let part = "all by scope, but its watch";
    let total = sheet.project("scope.memory", servers.clone()) + streams + settings;
    sheet.add(Rest, part, Memory, total, memory, LIST_SCOPED);
    let rate = servers.clone().map(probes_per_s);
    let total = sheet.project("scope.core", servers.clone())
        + sheet.unit_cost("probes.core") * rate.clone()
        + sheet.unit_cost("stream.core") * proxies.clone()
        + sheet.project("sharing.core", scoped_figures.clone());
    sheet.add(Rest, part, Core, total, core, LIST_SCOPED);
    let total = sheet.unit_cost("probes.bytes") * rate
        + sheet.project("stream.bytes", proxies)
        + sheet.project("sharing.bytes", scoped_figures);
    sheet.add(Rest, part, Bytes, total, bytes, LIST_SCOPED);
}

fn planner_by_day(sheet: &mut Worksheet<'_>) {
    let target = sheet.target;
    let (core, bytes) = (Some(target.planner_core), Some(target.planner_bytes_per_s));
    let changes = list_changes_per_s(sheet);
    let scope = per_planner(sheet, 1.0);
    let proxies = sheet.parameter("proxies_a_planner");
    let (all, own) = ("list of all servers", "list of its services' servers");
    let bytes_received =
        sheet.project("list.change_bytes", sheet.parameter("servers_a_slice")) * changes.clone();
    let work = sheet.value_at("list.change_core", target.servers) * changes.clone();
    sheet.add(Day, all, Messages, changes.clone(), None, LIST_WHOLE);
    sheet.add(Day, all, Bytes, bytes_received.clone(), bytes, LIST_WHOLE);
    sheet.add(Day, all, Core, work, core, LIST_WHOLE);
    sheet.add(Day, own, Bytes, bytes_received * scope.clone(), bytes, LIST_SCOPED);
    let removal_work = sheet.project("stream.removal_core", proxies.clone()) * changes * scope.clone();
    sheet.add(Day, "its services' removals to its proxies", Core, removal_work, core, STREAMS);
    for (situation, rate) in [(Day, target.changes_per_day / DAY_S), (Burst, target.changes_burst)] {
        let whole = sheet.parameter("change_bytes") * rate;
        sheet.add(situation, "all changes", Bytes, whole.clone(), bytes, "tier, were it not scoped");
        sheet.add(situation, "changes of its services", Bytes, whole * scope.clone(), bytes, TIER);
    }
    let burst = sheet.value_at("tier.planner.burst_bytes", target.planners);
    sheet.add(Burst, "its watch", Bytes, burst, bytes, TIER);
    let last = sheet.project("stream.removal_last", proxies);
    sheet.add(Burst, "a removal at its last proxy", Time, last, Some(target.in_force_s), STREAMS);
}

fn planner_at_release(sheet: &mut Worksheet<'_>) {
    let target = sheet.target;
    let (core, bytes, start) =
        (Some(target.planner_core), Some(target.planner_bytes_per_s), Some(target.start_s));
    let servers = per_planner(sheet, target.servers);
    let (all, own) = ("list of all servers, taken in", "list of its services' servers, taken in");
    let whole = sheet.value_at("list.bytes", target.servers);
    sheet.add(Release, all, Bytes, whole.clone() / target.start_s, bytes, LIST_WHOLE);
    sheet.add(
        Release,
        all,
        Core,
        sheet.value_at("list.start_core", target.servers) / target.start_s,
        core,
        LIST_WHOLE,
    );
    let scoped = sheet.project("scope.bytes", servers.clone()) / target.start_s;
    sheet.add(Release, own, Bytes, scoped, bytes, LIST_SCOPED);
    let scoped = sheet.project("scope.start_core", servers) / target.start_s;
    sheet.add(Release, own, Core, scoped, core, LIST_SCOPED);
    let source = whole * target.planners / sheet.parameter("release_s");
    sheet.add(Release, "what the list's source says to all", Bytes, source, None, LIST_WHOLE);
    let joined = sheet.project("stream.joined", sheet.parameter("proxies_a_planner"));
    sheet.add(Release, "all its proxies bound again", Time, joined, start, STREAMS);
    let restarted = sheet.value_at("tier.restarted", target.planners);
    sheet.add(Release, "nine in ten watch again, all restarted at once", Time, restarted, start, TIER);
}

fn planner_after_loss(sheet: &mut Worksheet<'_>) {
    let target = sheet.target;
    let (core, bytes) = (Some(target.planner_core), Some(target.planner_bytes_per_s));
    let rack = sheet.parameter("rack_part");
    let report_time = sheet.parameter("loss_told_s");
    let (zone, zone_planners) = (target.servers / target.zones, target.planners / target.zones);
    let (region, region_planners) = (target.servers / target.regions, target.planners / target.regions);
    // Lost planners per remaining planner.
    let lost_per_remaining = |lost: f64| lost / (target.planners - lost).max(1.0);
    let zones = sheet.parameter("proxy_zones");
    // Proxies outside the zone of their lost planner move to the remaining planners.
    let elsewhere = (zones.clone() - 1.0) / zones;
    let losses = [
        (
            Rack,
            rack.clone() * zone / report_time.clone(),
            elsewhere.clone() * rack * lost_per_remaining(zone_planners),
        ),
        (Zone, zone / report_time.clone(), elsewhere.clone() * lost_per_remaining(zone_planners)),
        (Region, region / report_time, elsewhere * lost_per_remaining(region_planners)),
    ];
    for (situation, changes, more) in losses {
        // One change per server, and each change resends its whole slice.
        let bytes_received =
            sheet.project("list.change_bytes", sheet.parameter("servers_a_slice")) * changes.clone();
        let work = sheet.value_at("list.change_core", target.servers) * changes;
        sheet.add(situation, "list of all servers, a word each", Bytes, bytes_received, bytes, LIST_WHOLE);
        sheet.add(situation, "list of all servers, a word each", Core, work, core, LIST_WHOLE);
        let streams = sheet.unit_cost("stream.memory") * sheet.parameter("proxies_a_planner") * (more + 1.0);
        let part = "streams, with those of lost planners";
        sheet.add(situation, part, Memory, streams, Some(target.planner_memory), STREAMS);
    }
    let hour = target.cut_s / DAY_S;
    let missed = sheet.parameter("change_bytes") * per_planner(sheet, target.changes_per_day * hour)
        / target.in_force_s;
    sheet.add(Healed, "changes of its services in that hour", Bytes, missed, bytes, TIER);
    let resent = sheet.value_at("list.bytes", target.servers) / target.in_force_s;
    sheet.add(Healed, "list of all servers, whole again", Bytes, resent, bytes, LIST_WHOLE);
    let scoped = sheet.project("scope.bytes", per_planner(sheet, target.servers)) / target.in_force_s;
    sheet.add(Healed, "list of its services' servers, whole again", Bytes, scoped, bytes, LIST_SCOPED);
}

fn proxy(sheet: &mut Worksheet<'_>) {
    sheet.set_role(Role::Proxy);
    let target = sheet.target;
    let (added, descriptors) = (Some(target.added_p99_s), Some(sheet.parameter_value("descriptors")));
    let servers = per_planner(sheet, target.servers);
    let rate = target.requests_per_s / (sheet.parameter("proxies_a_planner") * target.planners);
    let peak = "the peak's requests, even";
    sheet.add(
        Rest,
        "tables of its services",
        State,
        sheet.project("scope.table_bytes", servers.clone()),
        None,
        STREAMS,
    );
    sheet.add(
        Rest,
        "tables of its services",
        Memory,
        sheet.project("scope.proxy_memory", servers.clone()),
        None,
        STREAMS,
    );
    sheet.add(
        Rest,
        "tables of all servers",
        Memory,
        sheet.value_at("proxy.memory", target.servers),
        None,
        STREAMS,
    );
    let all = "tables of all servers";
    sheet.add(Rest, all, State, sheet.value_at("proxy.table_bytes", target.servers), None, STREAMS);
    sheet.add(
        Rest,
        "tables of its services, no calls",
        Core,
        sheet.project("proxy.idle_core", servers.clone()),
        Some(1.0),
        STREAMS,
    );
    sheet.add(Rest, "sums to its planner, no calls", Bytes, sheet.unit_cost("stream.bytes"), None, STREAMS);
    sheet.add(
        Rest,
        "sums to its planner, no calls",
        Messages,
        sheet.unit_cost("stream.messages"),
        None,
        STREAMS,
    );
    sheet.add(Rest, peak, Core, sheet.project("proxy.core_low", rate.clone()), Some(1.0), PATH);
    sheet.add(Rest, peak, Descriptors, sheet.project("proxy.descriptors", rate.clone()), descriptors, PATH);
    let times = [
        ("added to a request, p50", "proxy.added_p50", None),
        ("added to a request, p99", "proxy.added_p99", added),
    ];
    for (part, slope, budget) in times {
        sheet.add(Rest, part, Time, sheet.project(slope, rate.clone()), budget, PATH);
    }
    let largest = rate * sheet.parameter("largest_planner");
    let part = "the peak's requests, at a service's largest planner";
    sheet.add(Rest, part, Core, sheet.project("proxy.core_low", largest.clone()), Some(1.0), PATH);
    let part = "added to a request, p99, at a service's largest planner";
    sheet.add(Rest, part, Time, sheet.project("proxy.added_p99", largest.clone()), added, PATH);
    let cores = sheet.unit_cost("proxy.core") * target.requests_per_s;
    sheet.add(Rest, "cores for all requests, proxies as full as can be", Cores, cores, None, PATH);
    let full = sheet.slopes.largest_size_within("proxy.added_p99", target.added_p99_s);
    sheet.add(
        Rest,
        "fewest proxies that keep what may be added",
        Cores,
        target.requests_per_s / full,
        None,
        PATH,
    );
    let table_bytes = sheet.project("scope.table_bytes", servers.clone()) / target.start_s;
    sheet.add(Release, "its planner's tables anew", Bytes, table_bytes, None, STREAMS);
    for (situation, of) in [(Zone, target.zones), (Region, target.regions)] {
        let more = largest.clone() * (of / (of - 1.0).max(1.0));
        let part = "the peak's requests on those left, largest planner";
        sheet.add(situation, part, Core, sheet.project("proxy.core_low", more), Some(1.0), PATH);
    }
    sheet.add(
        Healed,
        "its planner's tables anew",
        Bytes,
        sheet.project("scope.table_bytes", servers) / target.in_force_s,
        None,
        STREAMS,
    );
}

fn holder(sheet: &mut Worksheet<'_>) {
    sheet.set_role(Role::Holder);
    let target = sheet.target;
    let (core, bytes) = (Some(target.planner_core), Some(target.planner_bytes_per_s));
    let each = target.servers / target.planners;
    let part = "a lease for each service's probes, and three more";
    sheet.add(Rest, part, Core, sheet.value_at("duties.core", target.services + 3.0), core, DUTIES);
    let rate = probes_per_s(each);
    let sliced =
        [(Messages, "probes.messages", None), (Bytes, "probes.bytes", bytes), (Core, "probes.core", core)];
    for (quantity, slope, budget) in sliced {
        sheet.add(
            Rest,
            "probes of its slices",
            quantity,
            sheet.unit_cost(slope) * rate,
            budget,
            PROBES_SLICED,
        );
    }
    for situation in [Day, Rack, Zone, Region] {
        let handover = sheet.value_at("duties.handed_on", target.voters);
        sheet.add(situation, "handed on after its holder's loss", Time, handover, None, DUTIES);
    }
}

fn operators(sheet: &mut Worksheet<'_>) {
    sheet.set_role(Role::Operators);
    let target = sheet.target;
    let in_force = Some(target.in_force_s);
    let day = target.changes_per_day / DAY_S;
    let rate = sheet.value_at("record.rate", target.voters);
    sheet.add(Day, "orders, of those that are kept", Part, day / rate.clone(), Some(1.0), RECORD);
    sheet.add(
        Day,
        "orders",
        Bytes,
        sheet.parameter("change_bytes") * day,
        None,
        "admin door of a control machine",
    );
    sheet.add(
        Day,
        "until kept, p99",
        Time,
        sheet.value_at("record.kept_p99", target.voters),
        in_force,
        RECORD,
    );
    sheet.add(Burst, "orders, of those that are kept", Part, target.changes_burst / rate, Some(1.0), RECORD);
    let burst = sheet.parameter("change_bytes") * target.changes_burst;
    sheet.add(Burst, "orders", Bytes, burst, None, "admin door of a control machine");
    let everywhere =
        [("until in force, p99", "tier.in_force_p99"), ("until in force, worst", "tier.in_force_worst")];
    for (part, slope) in everywhere {
        sheet.add(Day, part, Time, sheet.value_at(slope, target.planners), in_force, TIER);
    }
    for situation in [Rack, Zone, Region] {
        let without_leader = sheet.value_at("record.without_leader", target.voters);
        sheet.add(
            situation,
            "orders not kept, were the leader there",
            Time,
            without_leader,
            in_force,
            RECORD,
        );
    }
    let healed = sheet.value_at("tier.healed", (target.planners / target.regions).round());
    sheet.add(Healed, "orders of that hour in force there", Time, healed, in_force, TIER);
}
