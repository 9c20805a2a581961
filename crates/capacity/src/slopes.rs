//! Measured slopes: points by size, the run that produced them, and the line fitted through them.

use crate::estimate::Estimate;
use crate::fit::{fit, Fit};
use crate::toml_reader::{parse, FileErrors, TableReader};
use serde::Serialize;

/// A slope that figures are derived from, and the meaning of its points.
pub struct SlopeSpec {
    pub name: &'static str,
    /// What the first number of a point counts.
    pub x: &'static str,
    /// The unit of the second number.
    pub unit: &'static str,
    pub what: &'static str,
}

impl SlopeSpec {
    /// The time that the proxy adds is a difference of two measurements, which may be negative if they are nearly equal.
    fn min_value(&self) -> f64 {
        if self.name.starts_with("proxy.added") {
            -1e18
        } else {
            0.0
        }
    }
}

const fn spec(name: &'static str, x: &'static str, unit: &'static str, what: &'static str) -> SlopeSpec {
    SlopeSpec { name, x, unit, what }
}

/// All slopes. A file lists each of them; a slope without points is a placeholder, and its figures are reported as waiting
/// for it.
pub const SLOPE_SPECS: &[SlopeSpec] = &[
    spec("record.rate", "voters", "orders/s", "orders kept, 16 operators at once"),
    spec("record.kept_p99", "voters", "s", "from order to kept, 16 operators at once"),
    spec("record.without_leader", "voters", "s", "from the leader's kill to the next kept order, worst"),
    spec("record.core", "orders/s", "core", "the leader's processor time"),
    spec("record.bytes", "orders/s", "bytes/s", "words among five voters, nearly all the leader's"),
    spec("record.messages", "orders/s", "messages/s", "words among five voters, nearly all the leader's"),
    spec("record.memory", "entries", "bytes", "the leader's memory"),
    spec("record.disk", "entries", "bytes", "a voter's disk"),
    spec("record.descriptors", "voters", "descriptors", "held by a voter at rest"),
    spec(
        "duties.core",
        "duties",
        "core",
        "a planner's processor time, the record's work among seven included",
    ),
    spec("duties.handed_on", "voters", "s", "from a holder's kill to the next one's work, worst"),
    spec("sharing.bytes", "other planners x servers", "bytes/s", "words of one planner to the others"),
    spec("sharing.core", "other planners x servers", "core", "its work for them"),
    spec("list.memory", "servers", "bytes", "a planner's memory with the list and no proxies"),
    spec("list.bytes", "servers", "bytes", "the whole list as its source sends it"),
    spec("list.kept", "servers", "bytes", "the list as the planner keeps it on its disk"),
    spec(
        "list.start_core",
        "servers",
        "core x s",
        "processor time from a planner's start to the list taken in",
    ),
    spec("list.core", "servers", "core", "a planner with the list at rest, between its rounds of probes"),
    spec("list.core_unprobed", "servers", "core", "a planner with the list at rest, probes off"),
    spec("list.change_bytes", "servers a slice", "bytes", "one change as the source sends it"),
    spec("list.change_core", "servers", "core x s", "a planner's work for one change in a slice of a 51st"),
    spec("list.descriptors", "servers", "descriptors", "held by a planner with the list and no proxies"),
    spec("probes.messages", "probes/s", "messages/s", "probes and their answers"),
    spec("probes.bytes", "probes/s", "bytes/s", "probes and their answers"),
    spec("probes.core", "probes/s", "core", "a planner's work for probes"),
    spec("stream.memory", "proxies", "bytes", "a planner's memory with so many proxies joined"),
    spec("stream.messages", "proxies", "messages/s", "sums and signs of life of proxies that have no calls"),
    spec("stream.bytes", "proxies", "bytes/s", "sums and signs of life of proxies that have no calls"),
    spec("stream.core", "proxies", "core", "a planner's work for proxies that have no calls"),
    spec("stream.removal_core", "proxies", "core x s", "a planner's work for one removal told to all"),
    spec("stream.removal_last", "proxies", "s", "from the list's change to the last proxy's ACK, median"),
    spec("stream.joined", "proxies", "s", "until all proxies have their first table"),
    spec("routes.memory", "routes", "bytes", "a planner's memory by routes in its settings"),
    spec("routes.core", "routes", "core", "a planner at rest by routes in its settings"),
    spec("scope.memory", "servers", "bytes", "a planner's memory with a short list and no proxies"),
    spec("scope.bytes", "servers", "bytes", "a short list as its source sends it"),
    spec(
        "scope.start_core",
        "servers",
        "core x s",
        "processor time from a planner's start to a short list taken in",
    ),
    spec("scope.core", "servers", "core", "a planner with a short list at rest, probes off"),
    spec("scope.table_bytes", "servers", "bytes", "a proxy's first tables on the wire, short list"),
    spec("scope.proxy_memory", "servers", "bytes", "a proxy's memory, short list"),
    spec("proxy.memory", "servers", "bytes", "a proxy's memory by servers in its tables"),
    spec("proxy.table_bytes", "servers", "bytes", "a proxy's first tables on the wire"),
    spec("proxy.idle_core", "servers", "core", "a proxy without calls by servers in its tables"),
    spec("proxy.core", "requests/s", "core", "a proxy's processor time, 19 servers"),
    spec("proxy.core_low", "requests/s", "core", "the same, the run's rates up to 2,000 alone"),
    spec("proxy.added_p50", "requests/s", "s", "median with the proxy less median without"),
    spec("proxy.added_p99", "requests/s", "s", "99th percentile with the proxy less that without"),
    spec("proxy.descriptors", "requests/s", "descriptors", "held by a proxy, 19 servers and 32 clients"),
    spec("tier.machine.bytes", "planners watching it", "bytes/s", "a control machine at rest, both ways"),
    spec(
        "tier.machine.messages",
        "planners watching it",
        "messages/s",
        "a control machine at rest, both ways",
    ),
    spec("tier.machine.core", "planners watching it", "core", "a control machine at rest"),
    spec("tier.machine.memory", "planners watching it", "bytes", "a control machine at rest"),
    spec("tier.machine.descriptors", "planners watching it", "descriptors", "a control machine at rest"),
    spec(
        "tier.machine.burst_bytes",
        "planners watching it",
        "bytes/s",
        "a control machine at 100 changes in a second",
    ),
    spec(
        "tier.machine.burst_core",
        "planners watching it",
        "core",
        "a control machine at 100 changes in a second",
    ),
    spec(
        "tier.machine.members_bytes",
        "planners watching it",
        "bytes/s",
        "what a control machine says to the others at rest",
    ),
    spec(
        "tier.machine.members_burst",
        "planners watching it",
        "bytes/s",
        "what a control machine says to the others at 100 changes in a second",
    ),
    spec("tier.planner.bytes", "planners in all", "bytes/s", "a watching planner at rest, both ways"),
    spec("tier.planner.core", "planners in all", "core", "a watching planner at rest"),
    spec("tier.planner.memory", "planners in all", "bytes", "a watching planner's state of the tier"),
    spec(
        "tier.planner.burst_bytes",
        "planners in all",
        "bytes/s",
        "a watching planner at 100 changes in a second",
    ),
    spec("tier.snapshot", "changes in force", "bytes", "all that is in force within a scope, as a snapshot"),
    spec(
        "tier.in_force_p99",
        "planners in all",
        "s",
        "from order to in force at a planner, a control machine lost meanwhile",
    ),
    spec("tier.in_force_worst", "planners in all", "s", "from order to in force at the last heard planner"),
    spec(
        "tier.watch_again",
        "planners in all",
        "s",
        "after a killed control machine until all its planners watch again",
    ),
    spec("tier.healed", "planners in a region", "s", "after a cut of a region until all is in force there"),
    spec(
        "tier.restarted",
        "planners in all",
        "s",
        "all restarted within 10 s: until nine in ten watch again",
    ),
];

/// The run that produced the points.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Run {
    pub command: String,
    pub date: String,
    pub build: String,
    /// The page of docs/ where the points were first published, or other remarks on the run.
    pub note: String,
}

#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    pub name: String,
    pub points: Vec<[f64; 2]>,
    pub run: Run,
}

impl Slope {
    pub fn spec(&self) -> Option<&'static SlopeSpec> {
        SLOPE_SPECS.iter().find(|spec| spec.name == self.name)
    }

    pub fn fit(&self) -> Option<Fit> {
        fit(&self.points)
    }

    fn read(reader: &mut TableReader<'_>) -> Slope {
        let name = reader.text("name");
        reader.set_name(&name);
        let spec = SLOPE_SPECS.iter().find(|spec| spec.name == name);
        if !name.is_empty() && spec.is_none() {
            reader.error("name", "there is no such slope");
        }
        let points = reader.points("points", spec.map_or(0.0, SlopeSpec::min_value));
        let units = [("x", spec.map(|spec| spec.x)), ("unit", spec.map(|spec| spec.unit))];
        for (field, expected) in units {
            let found = reader.text(field);
            if expected.is_some_and(|expected| !found.is_empty() && found != expected) {
                reader.error(
                    field,
                    format!("\"{}\" was expected, \"{found}\" came", expected.unwrap_or_default()),
                );
            }
        }
        let run = if points.is_empty() {
            // A placeholder without points has no run.
            let note = reader.optional_text("note");
            Run { command: String::new(), date: String::new(), build: String::new(), note }
        } else {
            Run {
                command: reader.text("run"),
                date: reader.date("date"),
                build: reader.text("build"),
                note: reader.optional_text("note"),
            }
        };
        Slope { name, points, run }
    }
}

/// All slopes, in the order of [`SLOPE_SPECS`].
#[derive(Clone, Debug, Serialize)]
pub struct Slopes(pub Vec<Slope>);

impl Slopes {
    /// `file` is the name used in error messages.
    pub fn parse(file: &str, text: &str) -> Result<Slopes, FileErrors> {
        parse(file, text, |reader| {
            let mut slopes: Vec<Slope> = Vec::new();
            let sections = reader.sections("slope", |reader| {
                let slope = Slope::read(reader);
                if !slope.name.is_empty() && slopes.iter().any(|other| other.name == slope.name) {
                    reader.error("name", "is there twice");
                }
                slopes.push(slope);
            });
            for spec in SLOPE_SPECS.iter().filter(|_| !sections.is_empty()) {
                if !slopes.iter().any(|slope| slope.name == spec.name) {
                    reader
                        .error("slope", format!("{} is missing; without points it keeps a place", spec.name));
                }
            }
            slopes.sort_by_key(|slope| SLOPE_SPECS.iter().position(|spec| spec.name == slope.name));
            Slopes(slopes)
        })
    }

    pub fn get(&self, name: &str) -> Option<&Slope> {
        self.0.iter().find(|slope| slope.name == name)
    }

    /// The value at a fixed size: the mean of the points measured there, otherwise the fitted line.
    pub(crate) fn value_at(&self, name: &str, x: f64) -> Estimate {
        let Some(slope) = self.get(name) else { return Estimate::missing(name) };
        let measured: Vec<f64> =
            slope.points.iter().filter(|point| point[0] == x).map(|point| point[1]).collect();
        if !measured.is_empty() {
            let mean = measured.iter().sum::<f64>() / measured.len() as f64;
            return Estimate::measured(mean, name, &slope.run.command);
        }
        let largest = slope.points.iter().map(|point| point[0]).fold(0.0, f64::max);
        slope
            .fit()
            .map_or(Estimate::missing(name), |fit| Estimate::reckoned(fit.evaluate(x), name, x / largest))
    }

    /// The value at a size that is itself an estimate.
    pub(crate) fn project(&self, name: &str, x: Estimate) -> Estimate {
        match x.value() {
            Some(value) => x.with_value_of(self.value_at(name, value)),
            None => x,
        }
    }

    /// The cost of one more unit, without the fixed part.
    pub(crate) fn unit_cost(&self, name: &str) -> Estimate {
        let fit = self.get(name).and_then(Slope::fit);
        fit.map_or(Estimate::missing(name), |fit| Estimate::reckoned(fit.gradient.max(0.0), name, 1.0))
    }

    /// The largest measured size up to which no measured value exceeds `max`.
    pub(crate) fn largest_size_within(&self, name: &str, max: f64) -> Estimate {
        let Some(slope) = self.get(name) else { return Estimate::missing(name) };
        let mut points = slope.points.clone();
        points.sort_by(|a, b| a[0].total_cmp(&b[0]));
        let largest = points.iter().take_while(|point| point[1] <= max).last();
        largest
            .map_or(Estimate::missing(name), |point| Estimate::measured(point[0], name, &slope.run.command))
    }
}
