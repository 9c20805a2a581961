//! The `rehearse` and `audit` commands.

use crate::cluster::{self, ClusterArgs};
use crate::ExitResult;
use clap::Args;
use pewtergap_lab::audit::{Audit, Breach};
use pewtergap_lab::day::Day;
use pewtergap_lab::rehearse::{play, Outcome, Play};
use pewtergap_lab::report::{table, Service};
use pewtergap_lab::wrong::{Plant, PLANTS};
use pewtergap_lab::{days, record};
use serde_json::json;
use std::io::IsTerminal;
use std::path::{Path, PathBuf};

#[derive(Args)]
pub struct RehearseArgs {
    /// File of a day, or the name of a built-in one; by default the bad day.
    day: Option<String>,
    /// Seed of all random decisions: targets of faults, times of calls, choices of planners and proxies.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Directory for the recording, settings and logs; by default a new one in the temporary directory.
    #[arg(long)]
    out: Option<PathBuf>,
    /// Print the figures as JSON on standard output.
    #[arg(long)]
    json: bool,
    /// Plant a violation that the audit must find: bare, repeat, late-drain, cold-push, long-queue,
    /// ignored-order (on a day with a cluster of planners).
    #[arg(long, value_parser = parse_plant)]
    plant: Option<Plant>,
    /// Do not play the day a second time with the planners off.
    #[arg(long)]
    alone: bool,
    /// List the built-in days.
    #[arg(long)]
    list: bool,
    #[command(flatten)]
    cluster: ClusterArgs,
}

fn parse_plant(name: &str) -> Result<Plant, String> {
    let names: Vec<&str> = PLANTS.iter().map(|plant| plant.0).collect();
    PLANTS
        .iter()
        .find(|plant| plant.0 == name)
        .map(|plant| plant.1)
        .ok_or(format!("one of {}", names.join(", ")))
}

fn load_day(args: &RehearseArgs) -> Result<Day, (u8, String)> {
    let name = match (&args.day, args.plant) {
        (Some(name), _) => name.as_str(),
        (None, Some(_)) => "planted",
        (None, None) => "bad",
    };
    let read = match days::built_in(name) {
        Some(day) if !Path::new(name).is_file() => day,
        _ => {
            let text = std::fs::read_to_string(name).map_err(|e| (2, format!("{name}: {e}")))?;
            Day::read(name, &text)
        }
    };
    read.map_err(|faults| (2, faults.to_string()))
}

pub fn rehearse(args: RehearseArgs) -> ExitResult {
    if args.day.as_deref() == Some("cluster") {
        return cluster::rehearse_cluster(&args.cluster, args.seed, args.out.as_deref(), args.json);
    }
    if args.list {
        println!("bad\nplanted");
        days::SHORT.iter().for_each(|day| println!("{}", day.0));
        return Ok(0);
    }
    let day = load_day(&args)?;
    let failed = |message: String| (3, format!("the rehearsal failed: {message}"));
    let program = std::env::current_exe().map_err(|e| failed(e.to_string()))?;
    let default_dir =
        || std::env::temp_dir().join(format!("pewtergap-{}-{}-{}", day.name, args.seed, std::process::id()));
    let dir = args.out.clone().unwrap_or_else(default_dir);
    let dir = std::path::absolute(&dir).map_err(|e| failed(e.to_string()))?;
    let is_terminal = std::io::stderr().is_terminal();
    let progress = |message: &str| {
        if is_terminal {
            eprint!("\r\x1b[K{message}");
        }
    };
    let quiet = |_: &str| {};
    let play_once = |planners_off: bool, dir: PathBuf, progress: &(dyn Fn(&str) + Sync)| {
        let (day, seed, plant) = (&day, args.seed, args.plant.filter(|_| !planners_off));
        play(&Play { day, seed, program: &program, dir, planners_off, plant, progress })
    };
    // Both run at the same time, so that other load on the machine affects both equally.
    let compare = !args.alone && args.plant.is_none();
    let (outcome, baseline_outcome) = std::thread::scope(|scope| {
        let baseline = compare.then(|| scope.spawn(|| play_once(true, dir.join("planners-off"), &quiet)));
        let outcome = play_once(false, dir.clone(), &progress);
        (outcome, baseline.map(|baseline| baseline.join().unwrap_or_else(|_| Err("it panicked".into()))))
    });
    if is_terminal {
        eprint!("\r\x1b[K");
    }
    let outcome = outcome.map_err(failed)?;
    let baseline_outcome = baseline_outcome.transpose().map_err(failed)?;
    let recording = dir.join("recording.parquet");
    record::write(&recording, &outcome.rows).map_err(failed)?;
    let baseline = baseline_outcome.as_ref().map(|baseline_outcome| &baseline_outcome.service);
    if args.json {
        let figures = json!({
            "day": day.name, "seed": args.seed, "recording": recording, "service": outcome.service,
            "planners_off": baseline, "breaches": outcome.audit.breaches, "looked": outcome.audit.looked,
        });
        println!("{figures}");
    } else {
        print!("{}", table(&outcome.service, baseline));
        print_coverage(&outcome.audit);
        outcome.audit.breaches.iter().for_each(|breach| println!("BROKEN {breach}"));
    }
    println!("{}", summary(&day.name, args.seed, &outcome, baseline, &recording));
    Ok(u8::from(!outcome.audit.breaches.is_empty()))
}

fn print_coverage(audit: &Audit) {
    let coverage = &audit.looked;
    println!(
        "looked at {} calls, {} sent ({} mutating, {} answers lost), {} drains told, {} cold starts, {} messages",
        coverage.calls,
        coverage.sent,
        coverage.mutating_sent,
        coverage.answers_lost,
        coverage.drains_told,
        coverage.cold_starts,
        coverage.messages
    );
    println!(
        "{} probes of servers, by at most {} planners within a second",
        coverage.probes, coverage.most_probers
    );
    if coverage.orders_kept > 0 {
        println!(
            "{} orders kept, {} drains by order that a planner went by",
            coverage.orders_kept, coverage.drains_ordered
        );
    }
    println!(
        "nearest to a limit: {:.2} s without a line, {:.2} s after a drain was told, cold work {:.0}%, waiting lines {:.0}%, \
         messages {:.0}%",
        coverage.worst_bare_s,
        coverage.worst_drain_s,
        coverage.worst_cold * 100.0,
        coverage.worst_waiting * 100.0,
        coverage.worst_messages * 100.0
    );
}

fn rules_summary(breaches: &[Breach]) -> String {
    match breaches {
        [] => "all five rules kept".into(),
        [first, ..] => {
            let mut violated: Vec<u8> = breaches.iter().map(|breach| breach.rule).collect();
            violated.sort_unstable();
            violated.dedup();
            let names: Vec<String> = violated.iter().map(u8::to_string).collect();
            format!(
                "rule {} BROKEN, first {:.1} s into the day by {}",
                names.join(" and "),
                first.at,
                first.peers
            )
        }
    }
}

fn summary(
    day: &str,
    seed: u64,
    outcome: &Outcome,
    baseline_service: Option<&Service>,
    recording: &Path,
) -> String {
    let baseline = baseline_service
        .map(|service| format!(" ({:.1}% with the planners off)", service.served * 100.0))
        .unwrap_or_default();
    format!(
        "Day {day}, seed {seed}: {}; {:.1}% of {} calls served in time{baseline}; recording in {}.",
        rules_summary(&outcome.audit.breaches),
        outcome.service.served * 100.0,
        outcome.service.calls,
        recording.display()
    )
}

pub fn audit(recording: &Path, as_json: bool) -> ExitResult {
    let rows = record::read(recording).map_err(|e| (2, e))?;
    let audit =
        pewtergap_lab::audit::audit(&rows).map_err(|e| (2, format!("{}: {e}", recording.display())))?;
    if as_json {
        println!("{}", json!({"breaches": audit.breaches, "looked": audit.looked}));
    } else {
        print_coverage(&audit);
        audit.breaches.iter().for_each(|breach| println!("BROKEN {breach}"));
    }
    println!("{}: {}.", recording.display(), rules_summary(&audit.breaches));
    Ok(u8::from(!audit.breaches.is_empty()))
}
