//! The target: the fleet, its rates and budgets, and the parameters that the users' numbers leave open.

use crate::estimate::Estimate;
use crate::toml_reader::{parse, FileErrors, TableReader};
use serde::Serialize;

/// The two values of an open parameter, or of a figure at both.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Pair(pub [f64; 2]);

/// An open parameter: its name, description and valid range.
pub struct Parameter {
    pub name: &'static str,
    pub what: &'static str,
    min: f64,
    max: f64,
}

const fn parameter(name: &'static str, what: &'static str, min: f64, max: f64) -> Parameter {
    Parameter { name, what, min, max }
}

/// All open parameters, in the order of the file.
pub const PARAMETERS: &[Parameter] = &[
    parameter("services_a_planner", "services that one planner stands before", 1.0, 1e6),
    parameter("proxies_a_planner", "proxies that follow one planner", 1.0, 1e6),
    parameter("proxy_zones", "zones in which one planner's proxies stand, evenly", 1.0, 1e6),
    parameter("change_bytes", "bytes of one change of configuration", 1.0, 1e9),
    parameter("largest_planner", "work of a service's largest planner, in mean ones", 1.0, 1e6),
    parameter("list_changes_a_restart", "words of the list about one server's restart or loss", 1.0, 1e3),
    parameter(
        "servers_a_slice",
        "servers in one slice of the list, all said again when one changes",
        1.0,
        1e6,
    ),
    parameter("rack_part", "part of a zone's machines behind one rack or switch", 1e-6, 1.0),
    parameter("release_s", "seconds within which a release restarts all planners", 0.1, 1e6),
    parameter(
        "loss_told_s",
        "seconds within which the list says that a rack, zone or region is gone",
        0.1,
        1e6,
    ),
    parameter("machines_out", "of the machines set aside for control, how many are out", 0.0, 1e6),
    parameter("machine_memory", "bytes of memory that a control machine has for it", 1.0, 1e15),
    parameter("descriptors", "descriptors that one process may hold", 1.0, 1e9),
];

/// A validated target.
#[derive(Clone, Debug, Serialize)]
pub struct Target {
    pub planners: f64,
    pub servers: f64,
    pub services: f64,
    pub routes: f64,
    pub tenants: f64,
    pub regions: f64,
    pub zones: f64,
    /// Machines reserved for control. `voters` of them vote.
    pub machines: f64,
    pub voters: f64,
    /// Peak rate.
    pub requests_per_s: f64,
    pub changes_per_day: f64,
    /// Changes in the busiest second.
    pub changes_burst: f64,
    pub failures_per_day: f64,
    pub restarts_per_day: f64,
    /// Seconds for which a region may be partitioned.
    pub cut_s: f64,
    /// Seconds that the proxy may add to a request, 99th percentile.
    pub added_p99_s: f64,
    /// Seconds until a change is in force everywhere.
    pub in_force_s: f64,
    /// Seconds from the start of a planner until it serves.
    pub start_s: f64,
    /// What control may cost a planner: fraction of a core, bytes, bytes per second.
    pub planner_core: f64,
    pub planner_memory: f64,
    pub planner_bytes_per_s: f64,
    parameters: Vec<(String, Pair)>,
}

const MAX_NUMBER: f64 = 1e12;

impl Target {
    /// `file` is the name used in error messages.
    pub fn parse(file: &str, text: &str) -> Result<Target, FileErrors> {
        parse(file, text, |reader| {
            let mut target = Target::placeholder();
            reader.section("fleet", |reader| {
                let mut count = |name| reader.count(name, 1.0..=MAX_NUMBER);
                target.planners = count("planners");
                target.servers = count("servers");
                target.services = count("services");
                target.routes = count("routes");
                target.tenants = count("tenants");
                target.regions = count("regions");
                target.zones = count("zones");
                target.machines = count("machines");
                target.voters = count("voters");
                target.check_fleet(reader);
            });
            reader.section("rates", |reader| {
                target.requests_per_s = reader.number("requests_per_s", 1e-3..=MAX_NUMBER);
                target.changes_per_day = reader.number("changes_per_day", 1e-3..=MAX_NUMBER);
                target.changes_burst = reader.number("changes_burst", 1e-3..=MAX_NUMBER);
                target.failures_per_day = reader.number("failures_per_day", 0.0..=MAX_NUMBER);
                target.restarts_per_day = reader.number("restarts_per_day", 0.0..=MAX_NUMBER);
                target.cut_s = reader.number("cut_s", 1.0..=MAX_NUMBER);
            });
            reader.section("budgets", |reader| {
                target.added_p99_s = reader.number("added_p99_s", 1e-9..=MAX_NUMBER);
                target.in_force_s = reader.number("in_force_s", 1e-6..=MAX_NUMBER);
                target.start_s = reader.number("start_s", 1e-6..=MAX_NUMBER);
                target.planner_core = reader.number("planner_core", 1e-9..=1e6);
                target.planner_memory = reader.number("planner_memory", 1.0..=1e18);
                target.planner_bytes_per_s = reader.number("planner_bytes_per_s", 1e-3..=1e18);
            });
            reader.section("parameters", |reader| {
                for parameter in PARAMETERS {
                    let pair = Pair(reader.pair(parameter.name, parameter.min..=parameter.max));
                    target.parameters.push((parameter.name.into(), pair));
                }
                target.check_parameters(reader);
            });
            target
        })
    }

    fn check_fleet(&self, reader: &TableReader<'_>) {
        let limits = [
            ("regions", self.regions, "zones", self.zones),
            ("voters", self.voters, "machines", self.machines),
            ("services", self.services, "servers", self.servers),
        ];
        for (name, value, parent, max) in limits {
            if reader.is_valid() && value > max {
                reader.error(name, format!("{value} were said, of {max} {parent}"));
            }
        }
        if reader.is_valid() && self.voters % 2.0 == 0.0 {
            reader.error("voters", "an odd number was expected: an even one stands no more losses");
        }
    }

    fn check_parameters(&self, reader: &TableReader<'_>) {
        let limits = [
            ("services_a_planner", self.services),
            ("proxy_zones", self.zones),
            // At least one machine has to remain.
            ("machines_out", self.machines - 1.0),
        ];
        for (name, max) in limits {
            let highest = self.pair(name).0.into_iter().fold(0.0, f64::max);
            if reader.is_valid() && highest > max {
                reader.error(name, format!("{highest} came, {max} at most by the fleet"));
            }
        }
    }

    fn placeholder() -> Target {
        Target {
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

    /// One of the two values of a parameter, as an estimate that depends on it.
    pub(crate) fn parameter(&self, name: &str, index: usize) -> Estimate {
        Estimate::assumed(self.pair(name).0[index], name)
    }
}
