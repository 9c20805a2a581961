//! What each role has to do, line by line. A day's restarts and failures count as the list's servers altogether: how they
//! spread over roles the target does not say, and this is the most that a planner can hear of.

use crate::model::{Quantity::*, Role, Sheet, Situation::*};
use crate::worked::Worked;

const DAY_S: f64 = 86_400.0;
const SCOPE: &str = "services_a_planner";
/// Beyond these a planner tells nothing (`MAX_KEYS` of counts).
const MOST_FIGURES: f64 = 1_024.0;

const LIST: &str = "list, whole at every planner";
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

pub(crate) fn all(sheet: &mut Sheet<'_>) {
    voter(sheet);
    control_machine(sheet);
    planner(sheet);
    proxy(sheet);
    holder(sheet);
    operators(sheet);
}

/// Of all that is spread evenly over services, the part of those that one planner stands before.
fn scoped(sheet: &Sheet<'_>, all: f64) -> Worked {
    sheet.open(SCOPE) * (all / sheet.size.services)
}

/// Words of the list a second on the ordinary day.
fn list_words(sheet: &Sheet<'_>) -> Worked {
    let (restarts, failures) = (sheet.size.restarts_per_day, sheet.size.failures_per_day);
    sheet.open("list_changes_a_restart") * ((restarts + failures) / DAY_S)
}

/// Watches that one control machine holds while some are out.
fn watches(sheet: &Sheet<'_>) -> Worked {
    sheet.size.planners / (sheet.open("machines_out") * -1.0 + sheet.size.machines)
}

/// Probes a second that a planner makes of so many servers, all in order: each every 2 s, 60 at most (the module's
/// `PROBES_PER_S`).
fn probes(servers: f64) -> f64 {
    (servers / 2.0).min(60.0)
}

fn voter(sheet: &mut Sheet<'_>) {
    sheet.of(Role::Voter);
    let size = sheet.size;
    let (memory, open) = (Some(sheet.value("machine_memory")), Some(sheet.value("descriptors")));
    let day = size.changes_per_day / DAY_S;
    let rest = [
        ("a day's entries", State, sheet.at("record.disk", size.changes_per_day), None),
        ("words to the other voters", Messages, sheet.at("record.messages", 0.0), None),
        ("words to the other voters", Bytes, sheet.at("record.bytes", 0.0), None),
        ("leader", Core, sheet.at("record.core", 0.0), Some(1.0)),
        ("leader, a day's entries", Memory, sheet.at("record.memory", size.changes_per_day), memory),
        ("voter", Descriptors, sheet.at("record.descriptors", size.voters), open),
    ];
    for (part, quantity, came, budget) in rest {
        sheet.put(Rest, part, quantity, came, budget, RECORD);
    }
    for (situation, rate) in [(Day, day), (Burst, size.changes_burst)] {
        sheet.put(situation, "changes", Messages, sheet.at("record.messages", rate), None, RECORD);
        sheet.put(situation, "changes", Bytes, sheet.at("record.bytes", rate), None, RECORD);
        sheet.put(situation, "changes", Core, sheet.at("record.core", rate), Some(1.0), RECORD);
    }
    let part = size.changes_burst / sheet.at("record.rate", size.voters);
    sheet.put(Burst, "orders, of those it can keep", Part, part, Some(1.0), RECORD);
    for situation in [Rack, Zone, Region] {
        let without = sheet.at("record.without_leader", size.voters);
        sheet.put(situation, "without a leader, were it there", Time, without, Some(size.in_force_s), RECORD);
    }
    let missed = sheet.each("record.disk") * (day * size.cut_s) / size.in_force_s;
    sheet.put(Healed, "a voter's entries of the hour", Bytes, missed, None, RECORD);
}

fn control_machine(sheet: &mut Sheet<'_>) {
    sheet.of(Role::ControlMachine);
    let size = sheet.size;
    let (memory, open) = (Some(sheet.value("machine_memory")), Some(sheet.value("descriptors")));
    let held = watches(sheet);
    // What the planners that watch it may spend in all.
    let bytes = Some(held.amount().unwrap_or(0.0) * size.planner_bytes_per_s);
    let rest = [
        (Messages, "tier.machine.messages", None),
        (Bytes, "tier.machine.bytes", bytes),
        (Core, "tier.machine.core", Some(1.0)),
        (Memory, "tier.machine.memory", memory),
        (Descriptors, "tier.machine.descriptors", open),
    ];
    sheet.put(
        Rest,
        "all changes of a day in force",
        State,
        sheet.at("tier.snapshot", size.changes_per_day),
        None,
        TIER,
    );
    for (quantity, slope, budget) in rest {
        sheet.put(Rest, "watches", quantity, sheet.through(slope, held.clone()), budget, TIER);
    }
    let scope = scoped(sheet, 1.0);
    let words = held.clone() * scope.clone() * sheet.open("change_bytes") * (size.changes_per_day / DAY_S);
    sheet.put(Day, "changes to those whose scope has them", Bytes, words, bytes, TIER);
    let words = held.clone() * scope.clone() * sheet.open("change_bytes") * size.changes_burst;
    sheet.put(Burst, "changes to those whose scope has them", Bytes, words, bytes, TIER);
    let burst = [(Bytes, "tier.machine.burst_bytes", bytes), (Core, "tier.machine.burst_core", Some(1.0))];
    for (quantity, slope, budget) in burst {
        sheet.put(Burst, "watches", quantity, sheet.through(slope, held.clone()), budget, TIER);
    }
    // Each tells each other whom it serves and what they have in force: one account with the watches.
    let links = [
        (Rest, "tier.machine.bytes", "tier.machine.members_bytes"),
        (Burst, "tier.machine.burst_bytes", "tier.machine.members_burst"),
    ];
    for (situation, watches, members) in links {
        let both = sheet.through(watches, held.clone()) + sheet.through(members, held.clone());
        sheet.put(situation, "watches and words to the other machines", Bytes, both, bytes, TIER);
    }
    let snapshot = sheet.through("tier.snapshot", scope * size.changes_per_day);
    let anew = held.clone() / sheet.open("release_s");
    sheet.put(Release, "watches anew", Messages, anew.clone(), None, TIER);
    sheet.put(Release, "snapshots", Bytes, anew * snapshot.clone(), bytes, TIER);
    for situation in [Rack, Zone, Region] {
        let again = sheet.at("tier.watch_again", size.planners);
        let part = "another machine's watches, were it there";
        sheet.put(situation, part, Time, again, Some(size.in_force_s), TIER);
    }
    let back = snapshot * (size.planners / size.regions) / size.in_force_s;
    let each = back / (sheet.open("machines_out") * -1.0 + size.machines);
    sheet.put(Healed, "a region's planners caught up", Bytes, each, bytes, TIER);
    let healed = sheet.at("tier.healed", (size.planners / size.regions).round());
    sheet.put(Healed, "a region's planners caught up", Time, healed, Some(size.in_force_s), TIER);
}

fn planner(sheet: &mut Sheet<'_>) {
    sheet.of(Role::Planner);
    at_rest(sheet);
    on_the_day(sheet);
    released(sheet);
    lost(sheet);
}

fn at_rest(sheet: &mut Sheet<'_>) {
    let size = sheet.size;
    let (core, memory) = (Some(size.planner_core), Some(size.planner_memory));
    let bytes = Some(size.planner_bytes_per_s);
    let open = Some(sheet.value("descriptors"));
    let servers = scoped(sheet, size.servers);
    let proxies = sheet.open("proxies_a_planner");
    let peers = scoped(sheet, size.planners);
    let (all, own) = ("list of all servers", "list of its services' servers");
    sheet.put(Rest, all, State, sheet.at("list.kept", size.servers), None, LIST);
    sheet.put(Rest, all, Core, sheet.at("list.core", size.servers), core, LIST);
    sheet.put(Rest, all, Memory, sheet.at("list.memory", size.servers), memory, LIST);
    sheet.put(Rest, own, Core, sheet.through("scope.core", servers.clone()), core, LIST_SCOPED);
    sheet.put(Rest, own, Memory, sheet.through("scope.memory", servers.clone()), memory, LIST_SCOPED);

    let streams = sheet.each("stream.memory") * proxies.clone();
    sheet.put(Rest, "streams", Messages, sheet.through("stream.messages", proxies.clone()), None, STREAMS);
    sheet.put(Rest, "streams", Bytes, sheet.through("stream.bytes", proxies.clone()), bytes, STREAMS);
    sheet.put(Rest, "streams", Core, sheet.each("stream.core") * proxies.clone(), core, STREAMS);
    sheet.put(Rest, "streams", Memory, streams.clone(), memory, STREAMS);
    let held = sheet.at("list.descriptors", size.servers) + proxies.clone();
    sheet.put(Rest, "list and streams", Descriptors, held, open, STREAMS);

    for (quantity, slope, budget) in
        [(Messages, "probes.messages", None), (Bytes, "probes.bytes", bytes), (Core, "probes.core", core)]
    {
        let all = sheet.each(slope) * probes(size.servers);
        sheet.put(Rest, "probes of all servers, as many as it makes at most", quantity, all, budget, PROBES);
        let own = servers.clone().map(probes) * sheet.each(slope);
        sheet.put(Rest, "probes of its services' servers", quantity, own, budget, PROBES);
    }
    let off = sheet.at("list.core_unprobed", size.servers);
    sheet.put(Rest, "list of all servers, probes off", Core, off, core, LIST);

    let everybody = (size.planners - 1.0) * size.servers;
    let among = (peers - 1.0) * servers.clone();
    for (quantity, slope, budget) in [(Bytes, "sharing.bytes", bytes), (Core, "sharing.core", core)] {
        sheet.put(Rest, "sharing with all planners", quantity, sheet.at(slope, everybody), budget, SHARING);
        let own = sheet.through(slope, among.clone());
        sheet.put(Rest, "sharing with its services' planners", quantity, own, budget, SHARING_SCOPED);
    }

    let told = (size.planners - 1.0) * size.servers.min(MOST_FIGURES);
    let part = "sharing with all planners, as many figures as it tells at most";
    sheet.put(Rest, part, Bytes, sheet.at("sharing.bytes", told), bytes, SHARING);

    let routes = scoped(sheet, size.routes);
    let settings = sheet.each("routes.memory") * routes.clone();
    sheet.put(Rest, "its services' routes", Memory, settings.clone(), memory, "settings, one file a planner");
    sheet.put(
        Rest,
        "its services' routes",
        Core,
        sheet.each("routes.core") * routes,
        core,
        "settings, one file a planner",
    );

    let tier = [
        (Bytes, "tier.planner.bytes", bytes),
        (Core, "tier.planner.core", core),
        (Memory, "tier.planner.memory", memory),
    ];
    for (quantity, slope, budget) in tier {
        sheet.put(Rest, "its watch", quantity, sheet.at(slope, size.planners), budget, TIER);
    }

    let whole = "all of today, but its watch and sharing";
    let used = sheet.at("list.memory", size.servers) + streams.clone() + settings.clone();
    sheet.put(Rest, whole, Memory, used, memory, LIST);
    let used = sheet.at("list.core", size.servers)
        + sheet.each("probes.core") * probes(size.servers)
        + sheet.each("stream.core") * proxies.clone();
    sheet.put(Rest, whole, Core, used, core, LIST);
    let part = "all by scope, but its watch";
    let used = sheet.through("scope.memory", servers.clone()) + streams + settings;
    sheet.put(Rest, part, Memory, used, memory, LIST_SCOPED);
    let rate = servers.clone().map(probes);
    let used = sheet.through("scope.core", servers.clone())
        + sheet.each("probes.core") * rate.clone()
        + sheet.each("stream.core") * proxies.clone()
        + sheet.through("sharing.core", among.clone());
    sheet.put(Rest, part, Core, used, core, LIST_SCOPED);
    let used = sheet.each("probes.bytes") * rate
        + sheet.through("stream.bytes", proxies)
        + sheet.through("sharing.bytes", among);
    sheet.put(Rest, part, Bytes, used, bytes, LIST_SCOPED);
}

fn on_the_day(sheet: &mut Sheet<'_>) {
    let size = sheet.size;
    let (core, bytes) = (Some(size.planner_core), Some(size.planner_bytes_per_s));
    let words = list_words(sheet);
    let scope = scoped(sheet, 1.0);
    let proxies = sheet.open("proxies_a_planner");
    let (all, own) = ("list of all servers", "list of its services' servers");
    let said = sheet.through("list.change_bytes", sheet.open("servers_a_slice")) * words.clone();
    let work = sheet.at("list.change_core", size.servers) * words.clone();
    sheet.put(Day, all, Messages, words.clone(), None, LIST);
    sheet.put(Day, all, Bytes, said.clone(), bytes, LIST);
    sheet.put(Day, all, Core, work, core, LIST);
    sheet.put(Day, own, Bytes, said * scope.clone(), bytes, LIST_SCOPED);
    let told = sheet.through("stream.removal_core", proxies.clone()) * words * scope.clone();
    sheet.put(Day, "its services' removals to its proxies", Core, told, core, STREAMS);
    for (situation, rate) in [(Day, size.changes_per_day / DAY_S), (Burst, size.changes_burst)] {
        let whole = sheet.open("change_bytes") * rate;
        sheet.put(situation, "all changes", Bytes, whole.clone(), bytes, "tier, were it not scoped");
        sheet.put(situation, "changes of its services", Bytes, whole * scope.clone(), bytes, TIER);
    }
    let burst = sheet.at("tier.planner.burst_bytes", size.planners);
    sheet.put(Burst, "its watch", Bytes, burst, bytes, TIER);
    let last = sheet.through("stream.removal_last", proxies);
    sheet.put(Burst, "a removal at its last proxy", Time, last, Some(size.in_force_s), STREAMS);
}

fn released(sheet: &mut Sheet<'_>) {
    let size = sheet.size;
    let (core, bytes, start) = (Some(size.planner_core), Some(size.planner_bytes_per_s), Some(size.start_s));
    let servers = scoped(sheet, size.servers);
    let (all, own) = ("list of all servers, taken in", "list of its services' servers, taken in");
    let whole = sheet.at("list.bytes", size.servers);
    sheet.put(Release, all, Bytes, whole.clone() / size.start_s, bytes, LIST);
    sheet.put(Release, all, Core, sheet.at("list.start_core", size.servers) / size.start_s, core, LIST);
    let some = sheet.through("scope.bytes", servers.clone()) / size.start_s;
    sheet.put(Release, own, Bytes, some, bytes, LIST_SCOPED);
    let some = sheet.through("scope.start_core", servers) / size.start_s;
    sheet.put(Release, own, Core, some, core, LIST_SCOPED);
    let source = whole * size.planners / sheet.open("release_s");
    sheet.put(Release, "what the list's source says to all", Bytes, source, None, LIST);
    let joined = sheet.through("stream.joined", sheet.open("proxies_a_planner"));
    sheet.put(Release, "all its proxies bound again", Time, joined, start, STREAMS);
    let restarted = sheet.at("tier.restarted", size.planners);
    sheet.put(Release, "nine in ten watch again, all restarted at once", Time, restarted, start, TIER);
}

fn lost(sheet: &mut Sheet<'_>) {
    let size = sheet.size;
    let (core, bytes) = (Some(size.planner_core), Some(size.planner_bytes_per_s));
    let rack = sheet.open("rack_part");
    let told = sheet.open("loss_told_s");
    let (zone, zone_planners) = (size.servers / size.zones, size.planners / size.zones);
    let (region, region_planners) = (size.servers / size.regions, size.planners / size.regions);
    // Planners lost for each that is left.
    let gone = |lost: f64| lost / (size.planners - lost).max(1.0);
    let zones = sheet.open("proxy_zones");
    // Proxies that stood elsewhere than their planner go to the planners that are left.
    let elsewhere = (zones.clone() - 1.0) / zones;
    let lost = [
        (Rack, rack.clone() * zone / told.clone(), elsewhere.clone() * rack * gone(zone_planners)),
        (Zone, zone / told.clone(), elsewhere.clone() * gone(zone_planners)),
        (Region, region / told, elsewhere * gone(region_planners)),
    ];
    for (situation, words, more) in lost {
        // One word each, and all of its slice with it.
        let said = sheet.through("list.change_bytes", sheet.open("servers_a_slice")) * words.clone();
        let work = sheet.at("list.change_core", size.servers) * words;
        sheet.put(situation, "list of all servers, a word each", Bytes, said, bytes, LIST);
        sheet.put(situation, "list of all servers, a word each", Core, work, core, LIST);
        let streams = sheet.each("stream.memory") * sheet.open("proxies_a_planner") * (more + 1.0);
        let part = "streams, with those of lost planners";
        sheet.put(situation, part, Memory, streams, Some(size.planner_memory), STREAMS);
    }
    let hour = size.cut_s / DAY_S;
    let missed = sheet.open("change_bytes") * scoped(sheet, size.changes_per_day * hour) / size.in_force_s;
    sheet.put(Healed, "changes of its services in that hour", Bytes, missed, bytes, TIER);
    let anew = sheet.at("list.bytes", size.servers) / size.in_force_s;
    sheet.put(Healed, "list of all servers, whole again", Bytes, anew, bytes, LIST);
    let some = sheet.through("scope.bytes", scoped(sheet, size.servers)) / size.in_force_s;
    sheet.put(Healed, "list of its services' servers, whole again", Bytes, some, bytes, LIST_SCOPED);
}

fn proxy(sheet: &mut Sheet<'_>) {
    sheet.of(Role::Proxy);
    let size = sheet.size;
    let (added, open) = (Some(size.added_p99_s), Some(sheet.value("descriptors")));
    let servers = scoped(sheet, size.servers);
    let rate = size.requests_per_s / (sheet.open("proxies_a_planner") * size.planners);
    let peak = "the peak's requests, even";
    sheet.put(
        Rest,
        "tables of its services",
        State,
        sheet.through("scope.table_bytes", servers.clone()),
        None,
        STREAMS,
    );
    sheet.put(
        Rest,
        "tables of its services",
        Memory,
        sheet.through("scope.proxy_memory", servers.clone()),
        None,
        STREAMS,
    );
    sheet.put(Rest, "tables of all servers", Memory, sheet.at("proxy.memory", size.servers), None, STREAMS);
    let all = "tables of all servers";
    sheet.put(Rest, all, State, sheet.at("proxy.table_bytes", size.servers), None, STREAMS);
    sheet.put(
        Rest,
        "tables of its services, no calls",
        Core,
        sheet.through("proxy.idle_core", servers.clone()),
        Some(1.0),
        STREAMS,
    );
    sheet.put(Rest, "sums to its planner, no calls", Bytes, sheet.each("stream.bytes"), None, STREAMS);
    sheet.put(Rest, "sums to its planner, no calls", Messages, sheet.each("stream.messages"), None, STREAMS);
    sheet.put(Rest, peak, Core, sheet.through("proxy.core_low", rate.clone()), Some(1.0), PATH);
    sheet.put(Rest, peak, Descriptors, sheet.through("proxy.descriptors", rate.clone()), open, PATH);
    let times = [
        ("added to a request, p50", "proxy.added_p50", None),
        ("added to a request, p99", "proxy.added_p99", added),
    ];
    for (part, slope, budget) in times {
        sheet.put(Rest, part, Time, sheet.through(slope, rate.clone()), budget, PATH);
    }
    let largest = rate * sheet.open("largest_planner");
    let part = "the peak's requests, at a service's largest planner";
    sheet.put(Rest, part, Core, sheet.through("proxy.core_low", largest.clone()), Some(1.0), PATH);
    let part = "added to a request, p99, at a service's largest planner";
    sheet.put(Rest, part, Time, sheet.through("proxy.added_p99", largest.clone()), added, PATH);
    let cores = sheet.each("proxy.core") * size.requests_per_s;
    sheet.put(Rest, "cores for all requests, proxies as full as can be", Cores, cores, None, PATH);
    let full = sheet.slopes.up_to("proxy.added_p99", size.added_p99_s);
    sheet.put(
        Rest,
        "fewest proxies that keep what may be added",
        Cores,
        size.requests_per_s / full,
        None,
        PATH,
    );
    let anew = sheet.through("scope.table_bytes", servers.clone()) / size.start_s;
    sheet.put(Release, "its planner's tables anew", Bytes, anew, None, STREAMS);
    for (situation, of) in [(Zone, size.zones), (Region, size.regions)] {
        let more = largest.clone() * (of / (of - 1.0).max(1.0));
        let part = "the peak's requests on those left, largest planner";
        sheet.put(situation, part, Core, sheet.through("proxy.core_low", more), Some(1.0), PATH);
    }
    sheet.put(
        Healed,
        "its planner's tables anew",
        Bytes,
        sheet.through("scope.table_bytes", servers) / size.in_force_s,
        None,
        STREAMS,
    );
}

fn holder(sheet: &mut Sheet<'_>) {
    sheet.of(Role::Holder);
    let size = sheet.size;
    let (core, bytes) = (Some(size.planner_core), Some(size.planner_bytes_per_s));
    let each = size.servers / size.planners;
    let part = "a lease for each service's probes, and three more";
    sheet.put(Rest, part, Core, sheet.at("duties.core", size.services + 3.0), core, DUTIES);
    let rate = probes(each);
    let sliced =
        [(Messages, "probes.messages", None), (Bytes, "probes.bytes", bytes), (Core, "probes.core", core)];
    for (quantity, slope, budget) in sliced {
        sheet.put(Rest, "probes of its slices", quantity, sheet.each(slope) * rate, budget, PROBES_SLICED);
    }
    for situation in [Day, Rack, Zone, Region] {
        let handed = sheet.at("duties.handed_on", size.voters);
        sheet.put(situation, "handed on after its holder's loss", Time, handed, None, DUTIES);
    }
}

fn operators(sheet: &mut Sheet<'_>) {
    sheet.of(Role::Operators);
    let size = sheet.size;
    let in_force = Some(size.in_force_s);
    let day = size.changes_per_day / DAY_S;
    let rate = sheet.at("record.rate", size.voters);
    sheet.put(Day, "orders, of those that are kept", Part, day / rate.clone(), Some(1.0), RECORD);
    sheet.put(
        Day,
        "orders",
        Bytes,
        sheet.open("change_bytes") * day,
        None,
        "admin door of a control machine",
    );
    sheet.put(Day, "until kept, p99", Time, sheet.at("record.kept_p99", size.voters), in_force, RECORD);
    sheet.put(Burst, "orders, of those that are kept", Part, size.changes_burst / rate, Some(1.0), RECORD);
    let burst = sheet.open("change_bytes") * size.changes_burst;
    sheet.put(Burst, "orders", Bytes, burst, None, "admin door of a control machine");
    let everywhere =
        [("until in force, p99", "tier.in_force_p99"), ("until in force, worst", "tier.in_force_worst")];
    for (part, slope) in everywhere {
        sheet.put(Day, part, Time, sheet.at(slope, size.planners), in_force, TIER);
    }
    for situation in [Rack, Zone, Region] {
        let without = sheet.at("record.without_leader", size.voters);
        sheet.put(situation, "orders not kept, were the leader there", Time, without, in_force, RECORD);
    }
    let healed = sheet.at("tier.healed", (size.planners / size.regions).round());
    sheet.put(Healed, "orders of that hour in force there", Time, healed, in_force, TIER);
}
