//! What a scale run came to, as a page with plots and as points for slopes.

use crate::director::{Came, Times};
use crate::faults::{Fault, Struck};
use crate::plot::{plot, Curve};
use crate::sample::{Role, Used};
use serde::Deserialize;
use std::fmt::Write;
use std::path::Path;

/// What is measured against the number of planners.
pub struct Figure {
    pub name: &'static str,
    pub unit: &'static str,
    pub of: fn(&Came) -> Option<f64>,
}

fn whole(times: &Times, value: f64) -> Option<f64> {
    Some(value).filter(|_| times.count > 0 && times.missing == 0)
}

fn hollow(came: &Came, value: f64) -> Option<f64> {
    Some(value).filter(|_| came.size.hollow() > 0)
}

fn real(came: &Came, value: f64) -> Option<f64> {
    Some(value).filter(|_| came.size.real > 0)
}

fn of_role(came: &Came, role: Role, value: impl Fn(&Used) -> f64) -> Option<f64> {
    came.used.get(&role).filter(|used| used.processes > 0).map(value)
}

/// By size; all but the times can be fitted with a line.
pub const FIGURES: &[Figure] = &[
    Figure { name: "rest_down", unit: "bytes/s a planner", of: |came| hollow(came, came.rest.down) },
    Figure { name: "rest_up", unit: "bytes/s a planner", of: |came| hollow(came, came.rest.up) },
    Figure {
        name: "burst_down",
        unit: "bytes a planner for 100 changes",
        of: |came| hollow(came, came.burst.load.whole(came.burst.load.down)),
    },
    Figure {
        name: "burst_up",
        unit: "bytes a planner for 100 changes",
        of: |came| hollow(came, came.burst.load.whole(came.burst.load.up)),
    },
    Figure {
        name: "rest_members",
        unit: "bytes/s on the members' links, sent by a control machine",
        of: |came| Some(came.rest.members).filter(|members| *members > 0.0),
    },
    Figure {
        name: "burst_members",
        unit: "bytes on the members' links for 100 changes, sent by a control machine",
        of: |came| Some(came.burst.load.whole(came.burst.load.members)).filter(|members| *members > 0.0),
    },
    Figure {
        name: "real_rest_down",
        unit: "bytes/s a real planner",
        of: |came| real(came, came.rest.real_down),
    },
    Figure { name: "real_rest_up", unit: "bytes/s a real planner", of: |came| real(came, came.rest.real_up) },
    Figure {
        name: "real_burst_down",
        unit: "bytes a real planner for 100 changes",
        of: |came| real(came, came.burst.load.whole(came.burst.load.real_down)),
    },
    Figure {
        name: "real_burst_up",
        unit: "bytes a real planner for 100 changes",
        of: |came| real(came, came.burst.load.whole(came.burst.load.real_up)),
    },
    Figure {
        name: "rest_planner_cpu",
        unit: "ms/s a planner",
        of: |came| hollow(came, came.rest.planner_cpu),
    },
    Figure {
        name: "burst_planner_cpu",
        unit: "ms a planner for 100 changes",
        of: |came| hollow(came, came.burst.load.whole(came.burst.load.planner_cpu)),
    },
    Figure {
        name: "rest_machine_cpu",
        unit: "ms/s a control machine",
        of: |came| Some(came.rest.machine_cpu),
    },
    Figure {
        name: "burst_machine_cpu",
        unit: "ms a control machine for 100 changes",
        of: |came| Some(came.burst.load.whole(came.burst.load.machine_cpu)),
    },
    Figure {
        name: "machine_rss",
        unit: "KiB of the largest control machine",
        of: |came| of_role(came, Role::Control, |used| used.most_rss_kib),
    },
    Figure {
        name: "machine_descriptors",
        unit: "descriptors of the control machine with most",
        of: |came| of_role(came, Role::Control, |used| used.most_descriptors as f64),
    },
    Figure {
        name: "hollow_rss",
        unit: "KiB of all hollow planners' processes",
        of: |came| of_role(came, Role::Hollow, |used| used.rss_kib),
    },
    Figure {
        name: "planner_rss",
        unit: "KiB of the largest real planner",
        of: |came| of_role(came, Role::Planner, |used| used.most_rss_kib),
    },
    Figure {
        name: "all_watch",
        unit: "s until all watch, from a cold start",
        of: |came| Some(came.planners_s),
    },
    Figure {
        name: "burst_p50",
        unit: "ms",
        of: |came| whole(&came.burst.in_force, came.burst.in_force.p50_ms),
    },
    Figure {
        name: "burst_p99",
        unit: "ms",
        of: |came| whole(&came.burst.in_force, came.burst.in_force.p99_ms),
    },
    Figure {
        name: "burst_worst",
        unit: "ms",
        of: |came| whole(&came.burst.in_force, came.burst.in_force.worst_ms),
    },
    Figure {
        name: "single_p99",
        unit: "ms",
        of: |came| whole(&came.singles.in_force, came.singles.in_force.p99_ms),
    },
    Figure {
        name: "single_worst",
        unit: "ms",
        of: |came| whole(&came.singles.in_force, came.singles.in_force.worst_ms),
    },
];

const PLOTS: &[(&str, &str, &str, &[&str])] = &[
    (
        "bytes",
        "Bytes of a watch",
        "bytes a planner: at rest a second, 100 changes in all",
        &["rest_down", "rest_up", "burst_down", "burst_up"],
    ),
    (
        "cpu",
        "Processor time of a control machine",
        "ms: at rest a second, 100 changes in all",
        &["rest_machine_cpu", "burst_machine_cpu"],
    ),
    ("memory", "Memory of a control machine", "KiB", &["machine_rss"]),
    ("in-force", "From kept to in force", "ms", &["burst_p50", "burst_p99", "burst_worst", "single_p99"]),
];

fn points(all: &[Came], name: &str) -> Vec<(f64, f64)> {
    let Some(figure) = FIGURES.iter().find(|figure| figure.name == name) else { return Vec::new() };
    all.iter().filter_map(|came| Some((came.size.planners as f64, (figure.of)(came)?))).collect()
}

fn times(text: &mut String, name: &str, times: &Times) {
    let Times { count, p50_ms, p99_ms, worst_ms, missing, .. } = times;
    let _ = writeln!(text, "| {name} | {count} | {p50_ms:.1} | {p99_ms:.1} | {worst_ms:.1} | {missing} |");
}

fn one(text: &mut String, came: &Came) {
    let size = &came.size;
    let _ = writeln!(
        text,
        "## {} planners, {} control machines\n\n{} of them real with {} proxies each, {} voters, {} regions; seed {}, {} build. \
         Machines agreed after {:.1} s, all planners watched {:.1} s after the first was started. {} answers judged, peak memory of all \
         processes {} MiB (reckoned {} MiB).\n",
        size.planners,
        size.control,
        size.real,
        size.proxies,
        size.voters(),
        size.regions,
        came.seed,
        came.build,
        came.machines_s,
        came.planners_s,
        came.answers,
        came.peak_mib,
        came.need.memory >> 20
    );
    let _ = writeln!(
        text,
        "| time | count | p50 ms | p99 ms | worst ms | not come |\n| --- | --- | --- | --- | --- | --- |"
    );
    for (name, changes) in [("burst", &came.burst), ("single", &came.singles)] {
        times(text, &format!("{name}: asked to kept"), &changes.answered);
        times(text, &format!("{name}: kept to in force, each planner"), &changes.in_force);
        times(text, &format!("{name}: asked to in force, each planner"), &changes.from_asked);
        times(text, &format!("{name}: kept to told in force at all heard"), &changes.told);
    }
    for struck in &came.faults {
        let name = format!("{:?}, {}", struck.fault, struck.who);
        times(text, &format!("{name}: kept to in force, heard planners"), &struck.in_force);
        times(text, &format!("{name}: until a lost watch stood again"), &struck.again);
        if let Some(healed) = &struck.healed {
            times(text, &format!("{name}: healed to in force, all planners"), healed);
        }
        if let Some(caught) = &struck.caught {
            times(text, &format!("{name}: heard again to in force"), caught);
        }
    }
    let _ = writeln!(text, "\n| aim | measured | most | |\n| --- | --- | --- | --- |");
    for aim in &came.aims {
        let measured = aim.measured.map_or("-".into(), |measured| format!("{measured:.2}"));
        let met = match aim.met() {
            Some(true) => "met",
            Some(false) => "**missed**",
            None => "not measured",
        };
        let _ = writeln!(text, "| {} ({}) | {measured} | {} | {met} |", aim.name, aim.unit, aim.most);
    }
    let _ = writeln!(text);
    for struck in &came.faults {
        let (before, after) = struck.control_kib;
        let _ = write!(text, "- {:?}: most watches over an even part", struck.fault);
        let _ =
            write!(text, " {:.2}; {} of {} orders kept", struck.most_over_even, struck.kept, struck.orders);
        let _ = write!(text, "; control machines' memory {before:.0} KiB before, {after:.0} after");
        let _ = match struck.ended {
            Some(true) => writeln!(text, "; its machine ended it"),
            Some(false) => writeln!(text, "; its machine had **not** ended it"),
            None => writeln!(text),
        };
    }
    for breach in &came.breaches {
        let _ = writeln!(text, "- **broken**: {breach}");
    }
    let _ = writeln!(text, "- {} rules broken.", came.breaches.len());
    let _ = writeln!(text, "- Watches lost, by the planners' word: {:?}\n", came.lost_why);
}

/// The page, and its plots beside it.
///
/// # Errors
/// A file could not be written.
pub fn write(dir: &Path, all: &[Came]) -> Result<(), String> {
    std::fs::create_dir_all(dir).map_err(|e| format!("{}: {e}", dir.display()))?;
    let put = |name: &str, text: &str| {
        std::fs::write(dir.join(name), text).map_err(|e| format!("{}: {e}", dir.join(name).display()))
    };
    let mut text = String::from("# A scale run\n\n");
    let _ = writeln!(text, "Bytes are those of the watches' links, counted in the hollow planners' processes, without the network's own; processor time and memory as the system counts them.\n");
    if all.len() > 1 {
        for (file, title, unit, names) in PLOTS {
            let curve = |name: &&'static str| Curve { name, points: points(all, name) };
            let curves: Vec<Curve> = names.iter().map(curve).collect();
            put(&format!("{file}.svg"), &plot(title, unit, &curves)?)?;
            let _ = writeln!(text, "![{title}]({file}.svg)");
        }
    }
    let _ = writeln!(text, "\n| figure | unit | {} |", sizes(all));
    let _ = writeln!(text, "| --- | --- |{}", " --- |".repeat(all.len()));
    for figure in FIGURES {
        let cell = |came: &Came| (figure.of)(came).map_or("-".into(), |value| format!("{value:.2}"));
        let cells: Vec<String> = all.iter().map(cell).collect();
        let _ = writeln!(text, "| {} | {} | {} |", figure.name, figure.unit, cells.join(" | "));
    }
    let _ = writeln!(text);
    all.iter().for_each(|came| one(&mut text, came));
    put("slopes.toml", &slopes(all))?;
    put("report.md", &text)
}

#[derive(Deserialize)]
struct Told {
    runs: Vec<Came>,
}

/// What came of an earlier run, as it was told with `--json`.
///
/// # Errors
/// The file can't be read, or is no such thing.
pub fn read(file: &Path) -> Result<Vec<Came>, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let told = serde_json::from_str::<Told>(&text).map_err(|e| format!("{}: {e}", file.display()))?;
    Ok(told.runs)
}

fn sizes(all: &[Came]) -> String {
    all.iter().map(|came| came.size.planners.to_string()).collect::<Vec<_>>().join(" | ")
}

/// A slope of docs/capacity: by which name, over what, and its points.
struct Slope {
    name: &'static str,
    x: &'static str,
    unit: &'static str,
    of: fn(&Came) -> Option<(f64, f64)>,
}

const WATCHING: &str = "planners watching it";
const ALL: &str = "planners in all";

fn each(came: &Came) -> f64 {
    came.size.planners as f64 / came.size.control as f64
}

fn in_all(came: &Came, value: Option<f64>) -> Option<(f64, f64)> {
    Some((came.size.planners as f64, value?))
}

fn struck(came: &Came, fault: Fault) -> Option<&Struck> {
    came.faults.iter().find(|struck| struck.fault == fault)
}

/// Seconds of what came whole.
fn seconds(times: &Times, ms: f64) -> Option<f64> {
    whole(times, ms).map(|ms| ms / 1e3)
}

const SLOPES: &[Slope] = &[
    Slope {
        name: "tier.machine.bytes",
        x: WATCHING,
        unit: "bytes/s",
        of: |came| Some((each(came), hollow(came, came.rest.down + came.rest.up)? * each(came))),
    },
    Slope {
        name: "tier.machine.core",
        x: WATCHING,
        unit: "core",
        of: |came| Some((each(came), came.rest.machine_cpu / 1e3)),
    },
    Slope {
        name: "tier.machine.memory",
        x: WATCHING,
        unit: "bytes",
        of: |came| {
            let mean = of_role(came, Role::Control, |used| used.rss_kib * 1_024.0 / used.processes as f64)?;
            Some((each(came), mean))
        },
    },
    Slope {
        name: "tier.machine.descriptors",
        x: WATCHING,
        unit: "descriptors",
        of: |came| Some((each(came), of_role(came, Role::Control, |used| used.most_descriptors as f64)?)),
    },
    Slope {
        name: "tier.machine.burst_bytes",
        x: WATCHING,
        unit: "bytes/s",
        of: |came| {
            let load = &came.burst.load;
            Some((each(came), hollow(came, load.whole(load.down + load.up))? * each(came)))
        },
    },
    Slope {
        name: "tier.machine.burst_core",
        x: WATCHING,
        unit: "core",
        of: |came| Some((each(came), came.burst.load.whole(came.burst.load.machine_cpu) / 1e3)),
    },
    Slope {
        name: "tier.planner.bytes",
        x: ALL,
        unit: "bytes/s",
        of: |came| in_all(came, hollow(came, came.rest.down + came.rest.up)),
    },
    Slope {
        name: "tier.planner.core",
        x: ALL,
        unit: "core",
        of: |came| in_all(came, hollow(came, came.rest.planner_cpu / 1e3)),
    },
    Slope {
        name: "tier.planner.memory",
        x: ALL,
        unit: "bytes",
        of: |came| {
            let each = |used: &Used| used.rss_kib * 1_024.0 / came.size.hollow().max(1) as f64;
            in_all(came, of_role(came, Role::Hollow, each))
        },
    },
    Slope {
        name: "tier.planner.burst_bytes",
        x: ALL,
        unit: "bytes/s",
        of: |came| {
            in_all(
                came,
                hollow(
                    came,
                    came.burst.load.whole(came.burst.load.down) + came.burst.load.whole(came.burst.load.up),
                ),
            )
        },
    },
    Slope {
        name: "tier.in_force_p99",
        x: ALL,
        unit: "s",
        of: |came| {
            let times = &struck(came, Fault::Machine)?.in_force;
            in_all(came, seconds(times, times.p99_ms))
        },
    },
    Slope {
        name: "tier.in_force_worst",
        x: ALL,
        unit: "s",
        of: |came| {
            let times = &struck(came, Fault::Machine)?.in_force;
            in_all(came, seconds(times, times.worst_ms))
        },
    },
    Slope {
        name: "tier.watch_again",
        x: ALL,
        unit: "s",
        of: |came| {
            let times = &struck(came, Fault::Machine)?.again;
            in_all(came, seconds(times, times.worst_ms))
        },
    },
    Slope {
        name: "tier.healed",
        x: "planners in a region",
        unit: "s",
        of: |came| {
            let times = struck(came, Fault::Region)?.healed.as_ref()?;
            let region = came.size.planners as f64 / came.size.regions as f64;
            Some((region, seconds(times, times.worst_ms)?))
        },
    },
    Slope {
        name: "tier.restarted",
        x: ALL,
        unit: "s",
        of: |came| {
            let times = &struck(came, Fault::Restart)?.again;
            in_all(came, seconds(times, times.p90_ms))
        },
    },
];

/// The measured slopes, in the form of docs/capacity/slopes.toml; run, date and build are for whoever enters them.
pub fn slopes(all: &[Came]) -> String {
    let mut text = String::new();
    for Slope { name, x, unit, of } in SLOPES {
        let points: Vec<String> =
            all.iter().filter_map(of).map(|(x, y)| format!("[{}, {}]", round(x), round(y))).collect();
        let points = points.join(", ");
        let _ = writeln!(text, "[[slope]]\nname = \"{name}\"\nx = \"{x}\"\nunit = \"{unit}\"");
        let _ = writeln!(text, "points = [{points}]\n");
    }
    text
}

/// To four digits.
fn round(value: f64) -> f64 {
    if value == 0.0 {
        return 0.0;
    }
    let scale = 10f64.powf(3.0 - value.abs().log10().floor());
    (value * scale).round() / scale
}
