//! The `scale` command, and the process that simulates its hollow planners.

use crate::ExitResult;
use clap::Args;
use pewtergap_scale::director::{play, Came, Run};
use pewtergap_scale::faults::{Fault, FAULTS};
use pewtergap_scale::judge::{Planted, PLANTED};
use pewtergap_scale::reckon::{fits, Limits, Need, Size};
use pewtergap_scale::report::{read, write};
use serde_json::json;
use std::path::{Path, PathBuf};
use std::time::Duration;

#[derive(Args)]
pub struct ScaleArgs {
    /// Total number of planners; several sizes run one after the other.
    #[arg(long, value_delimiter = ',', required_unless_present = "beside")]
    planners: Vec<usize>,
    /// Number of control machines; at most five of them vote, the others are observers.
    #[arg(long, default_value_t = 11)]
    control: usize,
    #[arg(long, default_value_t = 17)]
    regions: usize,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of planners that are real processes of the program.
    #[arg(long, default_value_t = 20)]
    real: usize,
    /// Proxies of each real planner.
    #[arg(long, default_value_t = 1)]
    proxies: usize,
    /// Faults, in this order: machine, leader, region, region-of-machine, restart, deaf, stopped.
    #[arg(long, value_delimiter = ',', value_parser = parse_fault)]
    faults: Vec<Fault>,
    /// Seconds at rest.
    #[arg(long, default_value_t = 10)]
    rest: u64,
    /// Seconds for which a fault lasts.
    #[arg(long, default_value_t = 10)]
    hold: u64,
    /// Program to run, if not this one.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Results of other sizes, as printed with `--json`, to include in the report; without --planners only the report is written.
    #[arg(long)]
    beside: Vec<PathBuf>,
    /// Plant a violation that the judge must find: taken-back, unheard-counted.
    #[arg(long, value_parser = parse_planted)]
    plant: Option<Planted>,
    /// Print the results as JSON on standard output.
    #[arg(long)]
    json: bool,
    /// Directory for settings, logs and the report, which are kept.
    #[arg(long)]
    out: Option<PathBuf>,
}

fn one_of<T: Copy>(choices: &[(&str, T)], name: &str) -> Result<T, String> {
    let found = choices.iter().find(|choice| choice.0 == name).map(|choice| choice.1);
    found.ok_or_else(|| {
        let names: Vec<&str> = choices.iter().map(|choice| choice.0).collect();
        format!("one of {}", names.join(", "))
    })
}

fn parse_fault(name: &str) -> Result<Fault, String> {
    one_of(FAULTS, name)
}

fn parse_planted(name: &str) -> Result<Planted, String> {
    one_of(PLANTED, name)
}

pub fn run_hollow_planners(file: &Path) -> ExitResult {
    pewtergap_scale::hollow::run(file).map(|()| 0).map_err(|reason| (3, reason))
}

pub fn scale(args: ScaleArgs) -> ExitResult {
    let limits = Limits::here().map_err(|reason| (3, reason))?;
    let size = |planners: &usize| Size {
        planners: *planners,
        real: args.real,
        proxies: args.proxies,
        control: args.control,
        regions: args.regions,
    };
    let sizes: Vec<Size> = args.planners.iter().map(size).collect();
    let needs = sizes.iter().map(|size| {
        fits(size, &limits)
            .map_err(|reason| (2, format!("{} planners are not run:\n{reason}", size.planners)))
    });
    // Checks all sizes before any of them runs.
    let needs = needs.collect::<Result<Vec<Need>, _>>()?;
    let profile = if cfg!(debug_assertions) { "debug" } else { "release" };
    let (program, build) = match &args.program {
        Some(other) => (other.clone(), format!("{}, director {profile}", other.display())),
        None => (std::env::current_exe().map_err(|e| (3, e.to_string()))?, profile.to_string()),
    };
    let base = args.out.clone();
    let base =
        base.unwrap_or_else(|| std::env::temp_dir().join(format!("pewtergap-scale-{}", std::process::id())));
    let mut beside: Vec<Came> = Vec::new();
    for file in &args.beside {
        beside.extend(read(file).map_err(|reason| (2, reason))?);
    }
    let report = |all: &[Came]| {
        let mut merged = [&beside, all].concat();
        merged.sort_by_key(|result| result.size.planners);
        args.out.as_ref().map_or(Ok(()), |out| write(out, &merged)).map_err(|reason| (3, reason))
    };
    report(&[])?;
    let mut results: Vec<Came> = Vec::new();
    for (size, need) in sizes.iter().zip(needs) {
        let progress = |what: &str| eprintln!("{:>5} planners  {what}", size.planners);
        progress(&format!(
            "needs {} MiB, {} processes, {} descriptors",
            need.memory >> 20,
            need.processes,
            need.descriptors
        ));
        let run = Run {
            program: &program,
            build: &build,
            dir: base.join(size.planners.to_string()),
            size: *size,
            need,
            memory: limits.memory,
            seed: args.seed,
            faults: args.faults.clone(),
            rest: Duration::from_secs(args.rest),
            hold: Duration::from_secs(args.hold),
            planted: args.plant,
            progress: &progress,
        };
        results.push(play(&run).map_err(|reason| (3, format!("the scale run failed: {reason}")))?);
        // Writes the report after each size, so that a later failure does not lose it.
        report(&results)?;
    }
    if args.out.is_none() {
        let _ = std::fs::remove_dir_all(&base);
    }
    let violations: usize = results.iter().map(|result| result.breaches.len()).sum();
    if args.json {
        println!("{}", json!({ "runs": results }));
    } else {
        results.iter().for_each(print_result);
    }
    Ok(u8::from(violations > 0))
}

fn print_result(result: &Came) {
    println!(
        "{} planners, {} control machines, seed {}:",
        result.size.planners, result.size.control, result.seed
    );
    for aim in &result.aims {
        let measured = aim.measured.map_or("not measured".into(), |measured| format!("{measured:.2}"));
        let missed = if aim.met() == Some(false) { "  MISSED" } else { "" };
        println!("  {}: {measured} of {} {}{missed}", aim.name, aim.most, aim.unit);
    }
    result.breaches.iter().for_each(|breach| println!("  {breach}"));
    println!("  {} rules broken", result.breaches.len());
}
