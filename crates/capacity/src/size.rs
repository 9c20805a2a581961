//! The target: the fleet, its rates, what it may cost, and what the users' numbers leave open.

use crate::read::{read, Part, Wrongs};
use crate::worked::Worked;
use serde::Serialize;

/// Two values of what the target leaves open. The page has its figures at both.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Pair(pub [f64; 2]);

/// A parameter's name, what it says, and the bounds of a sensible value.
pub struct Open {
    pub name: &'static str,
    pub what: &'static str,
    least: f64,
    most: f64,
}

const fn open(name: &'static str, what: &'static str, least: f64, most: f64) -> Open {
    Open { name, what, least, most }
}

/// What the target leaves open, in the file's order.
pub const PARAMETERS: &[Open] = &[
    open("services_a_planner", "services that one planner stands before", 1.0, 1e6),
    open("proxies_a_planner", "proxies that follow one planner", 1.0, 1e6),
    open("proxy_zones", "zones in which one planner's proxies stand, evenly", 1.0, 1e6),
    open("change_bytes", "bytes of one change of configuration", 1.0, 1e9),
    open("largest_planner", "work of a service's largest planner, in mean ones", 1.0, 1e6),
    open("list_changes_a_restart", "words of the list about one server's restart or loss", 1.0, 1e3),
    open("servers_a_slice", "servers in one slice of the list, all said again when one changes", 1.0, 1e6),
    open("rack_part", "part of a zone's machines behind one rack or switch", 1e-6, 1.0),
    open("release_s", "seconds within which a release restarts all planners", 0.1, 1e6),
    open("loss_told_s", "seconds within which the list says that a rack, zone or region is gone", 0.1, 1e6),
    open("machines_out", "of the machines set aside for control, how many are out", 0.0, 1e6),
    open("machine_memory", "bytes of memory that a control machine has for it", 1.0, 1e15),
    open("descriptors", "descriptors that one process may hold", 1.0, 1e9),
];

/// The target, checked.
#[derive(Clone, Debug, Serialize)]
pub struct Size {
    pub planners: f64,
    pub servers: f64,
    pub services: f64,
    pub routes: f64,
    pub tenants: f64,
    pub regions: f64,
    pub zones: f64,
    /// Machines set aside for control; some of them vote.
    pub machines: f64,
    pub voters: f64,
    /// At the peak.
    pub requests_per_s: f64,
    pub changes_per_day: f64,
    /// Changes in the worst second.
    pub changes_burst: f64,
    pub failures_per_day: f64,
    pub restarts_per_day: f64,
    /// Seconds for which a region may be on its own.
    pub cut_s: f64,
    /// Seconds that the proxy may add to a request, for 99 in 100.
    pub added_p99_s: f64,
    /// Seconds until a change is in force everywhere.
    pub in_force_s: f64,
    /// Seconds from a planner's start to its service.
    pub start_s: f64,
    /// What control may cost a planner: part of a core, bytes, bytes a second.
    pub planner_core: f64,
    pub planner_memory: f64,
    pub planner_bytes_per_s: f64,
    parameters: Vec<(String, Pair)>,
}

const MANY: f64 = 1e12;

impl Size {
    /// `file` is the name by which faults are told.
    pub fn read(file: &str, text: &str) -> Result<Size, Wrongs> {
        read(file, text, |part| {
            let mut size = Size::none();
            part.part("fleet", |part| {
                let mut count = |name| part.count(name, 1.0..=MANY);
                size.planners = count("planners");
                size.servers = count("servers");
                size.services = count("services");
                size.routes = count("routes");
                size.tenants = count("tenants");
                size.regions = count("regions");
                size.zones = count("zones");
                size.machines = count("machines");
                size.voters = count("voters");
                size.check(part);
            });
            part.part("rates", |part| {
                size.requests_per_s = part.number("requests_per_s", 1e-3..=MANY);
                size.changes_per_day = part.number("changes_per_day", 1e-3..=MANY);
                size.changes_burst = part.number("changes_burst", 1e-3..=MANY);
                size.failures_per_day = part.number("failures_per_day", 0.0..=MANY);
                size.restarts_per_day = part.number("restarts_per_day", 0.0..=MANY);
                size.cut_s = part.number("cut_s", 1.0..=MANY);
            });
            part.part("budgets", |part| {
                size.added_p99_s = part.number("added_p99_s", 1e-9..=MANY);
                size.in_force_s = part.number("in_force_s", 1e-6..=MANY);
                size.start_s = part.number("start_s", 1e-6..=MANY);
                size.planner_core = part.number("planner_core", 1e-9..=1e6);
                size.planner_memory = part.number("planner_memory", 1.0..=1e18);
                size.planner_bytes_per_s = part.number("planner_bytes_per_s", 1e-3..=1e18);
            });
            part.part("parameters", |part| {
                for open in PARAMETERS {
                    let pair = Pair(part.pair(open.name, open.least..=open.most));
                    size.parameters.push((open.name.into(), pair));
                }
                size.check_parameters(part);
            });
            size
        })
    }

    fn check(&self, part: &Part<'_>) {
        let no_more = [
            ("regions", self.regions, "zones", self.zones),
            ("voters", self.voters, "machines", self.machines),
            ("services", self.services, "servers", self.servers),
        ];
        for (name, value, of, most) in no_more {
            if part.sound() && value > most {
                part.wrong(name, format!("{value} were said, of {most} {of}"));
            }
        }
        if part.sound() && self.voters % 2.0 == 0.0 {
            part.wrong("voters", "an odd number was expected: an even one stands no more losses");
        }
    }

    fn check_parameters(&self, part: &Part<'_>) {
        let most = [
            ("services_a_planner", self.services),
            ("proxy_zones", self.zones),
            // One has to be left.
            ("machines_out", self.machines - 1.0),
        ];
        for (name, most) in most {
            let high = self.pair(name).0.into_iter().fold(0.0, f64::max);
            if part.sound() && high > most {
                part.wrong(name, format!("{high} came, {most} at most by the fleet"));
            }
        }
    }

    fn none() -> Size {
        Size {
            planners: 1.0,
            servers: 1.0,
            services: 1.0,
            routes: 1.0,
            tenants: 1.0,
            regions: 1.0,
            zones: 1.0,
            machines: 1.0,
            voters: 1.0,
            requests_per_s: 1.0,
            changes_per_day: 1.0,
            changes_burst: 1.0,
            failures_per_day: 0.0,
            restarts_per_day: 0.0,
            cut_s: 1.0,
            added_p99_s: 1.0,
            in_force_s: 1.0,
            start_s: 1.0,
            planner_core: 1.0,
            planner_memory: 1.0,
            planner_bytes_per_s: 1.0,
            parameters: Vec::new(),
        }
    }

    /// Both values of a parameter.
    pub fn pair(&self, name: &str) -> Pair {
        let found = self.parameters.iter().find(|parameter| parameter.0 == name);
        found.map_or(Pair([1.0, 1.0]), |found| found.1)
    }

    /// One of the two values of a parameter, as an amount that says so.
    pub(crate) fn open(&self, name: &str, which: usize) -> Worked {
        Worked::assumed(self.pair(name).0[which], name)
    }
}
