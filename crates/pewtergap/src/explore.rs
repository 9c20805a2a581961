//! The `explore` and `replay` commands: members of the record in a deterministic simulation by seed, or with `--watch` the
//! tier between the record and the planners.

use crate::ExitResult;
use clap::Args;
use pewtergap_lab::explore::{explore, replay as replay_seed, Explored, Planted, PLANTED};
use pewtergap_lab::explore_watch as watch;
use serde_json::json;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

#[derive(Args)]
pub struct ExploreArgs {
    /// Range of seeds, without its end.
    #[arg(long, value_parser = parse_range, default_value = "0..100")]
    seeds: (u64, u64),
    #[arg(long, default_value_t = 1)]
    jobs: usize,
    /// Start no further seeds after so many seconds.
    #[arg(long)]
    seconds: Option<u64>,
    /// Plant a violation that has to be found: wild-clocks, lying-disks, stale-read, freed-at-once; with --watch taken-back,
    /// lost-delete, counted-unheard, young-age.
    #[arg(long)]
    plant: Option<String>,
    /// Simulate control machines and watching planners instead of members.
    #[arg(long)]
    watch: bool,
    /// Print each seed as JSON.
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
pub struct ReplayArgs {
    seed: u64,
    #[arg(long, value_parser = parse_planted)]
    plant: Option<Planted>,
    /// Print the logs of the members by virtual time.
    #[arg(long)]
    trace: bool,
}

fn parse_range(text: &str) -> Result<(u64, u64), String> {
    let bounds = text.split_once("..").and_then(|(from, to)| Some((from.parse().ok()?, to.parse().ok()?)));
    bounds.filter(|bounds| bounds.0 < bounds.1).ok_or("a range like 0..100 was expected".into())
}

fn parse_planted(name: &str) -> Result<Planted, String> {
    one_of(name, PLANTED)
}

fn one_of<T: Copy>(name: &str, all: &[(&str, T)]) -> Result<T, String> {
    let names: Vec<&str> = all.iter().map(|planted| planted.0).collect();
    let planted = all.iter().find(|planted| planted.0 == name).map(|planted| planted.1);
    planted.ok_or(format!("--plant: one of {}", names.join(", ")))
}

fn print_violations(result: &Explored) {
    for (rule, step, at, detail) in &result.broken {
        println!("seed {}: {rule} at step {step}, {at:.3} s: {detail}", result.seed);
    }
    if !result.broken.is_empty() {
        println!("  after {}", result.troubles.join(", "));
        println!("  again: pewtergap replay {}", result.seed);
    }
}

/// Runs all seeds of the range on `jobs` threads. Returns the results and the elapsed seconds.
fn run_seeds<T: Send>(
    args: &ExploreArgs,
    explore_seed: impl Fn(u64) -> T + Sync,
) -> Result<(Vec<T>, f64), (u8, String)> {
    let start = Instant::now();
    let next = AtomicU64::new(args.seeds.0);
    let results: Mutex<Vec<T>> = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..args.jobs.max(1) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::SeqCst);
                let expired =
                    args.seconds.is_some_and(|seconds| start.elapsed() > Duration::from_secs(seconds));
                if seed >= args.seeds.1 || expired {
                    return;
                }
                let result = explore_seed(seed);
                if let Ok(mut results) = results.lock() {
                    results.push(result);
                }
            });
        }
    });
    let results = results.into_inner().map_err(|_| (3, "a seed failed".to_string()))?;
    Ok((results, start.elapsed().as_secs_f64()))
}

pub fn run(args: &ExploreArgs) -> ExitResult {
    if args.watch {
        return explore_watch(args);
    }
    let plant = args.plant.as_deref().map(parse_planted).transpose().map_err(|reason| (2, reason))?;
    let (results, seconds) = run_seeds(args, |seed| {
        let result = explore(seed, plant);
        match args.json {
            true => println!("{}", serde_json::to_string(&result).unwrap_or_default()),
            false => print_violations(&result),
        }
        Explored { troubles: Vec::new(), ..result }
    })?;
    let total = |of: fn(&Explored) -> f64| results.iter().map(of).sum::<f64>();
    let broken = results.iter().filter(|result| !result.broken.is_empty()).count();
    println!(
        "{} seeds, {broken} broken, in {seconds:.1} s with {} jobs: {:.1} seeds a second and job, {:.0} virtual seconds a second, \
         {:.0} steps, {:.0} orders kept, {:.0} unknown, {:.0} fresh reads, duties held {:.0}% of the time",
        results.len(),
        args.jobs,
        results.len() as f64 / seconds / args.jobs.max(1) as f64,
        total(|result| result.virtual_s) / seconds,
        total(|result| result.steps as f64),
        total(|result| result.kept as f64),
        total(|result| result.unknown as f64),
        total(|result| result.fresh as f64),
        total(|result| result.held) / results.len().max(1) as f64 * 100.0,
    );
    Ok(u8::from(broken > 0))
}

fn explore_watch(args: &ExploreArgs) -> ExitResult {
    let plant = args.plant.as_deref().map(|name| one_of(name, watch::PLANTED)).transpose();
    let plant = plant.map_err(|reason| (2, reason))?;
    let (results, seconds) = run_seeds(args, |seed| {
        let result = watch::explore(seed, plant);
        if args.json {
            println!("{}", json!(result));
        } else {
            for (rule, step, at, detail) in &result.broken {
                println!("seed {seed}: {rule} at step {step}, {at:.3} s: {detail}");
            }
            if !result.broken.is_empty() {
                println!("  after {}", result.troubles.join(", "));
            }
        }
        watch::Explored { troubles: Vec::new(), ..result }
    })?;
    let total = |of: fn(&watch::Explored) -> f64| results.iter().map(of).sum::<f64>();
    let broken = results.iter().filter(|result| !result.broken.is_empty()).count();
    println!(
        "{} seeds, {broken} broken, in {seconds:.1} s with {} jobs: {:.0} virtual seconds a second, {:.0} steps, {:.0} places kept, \
         {:.0} watches, {:.0} pieces, {:.0} counted, {:.0} ages told",
        results.len(),
        args.jobs,
        total(|result| result.virtual_s) / seconds,
        total(|result| result.steps as f64),
        total(|result| result.kept as f64),
        total(|result| result.watches as f64),
        total(|result| result.pieces as f64),
        total(|result| result.counted as f64),
        total(|result| result.ages as f64),
    );
    Ok(u8::from(broken > 0))
}

pub fn replay(args: &ReplayArgs) -> ExitResult {
    let (result, trace) = replay_seed(args.seed, args.plant);
    if args.trace {
        trace.iter().for_each(|line| println!("{line}"));
    }
    println!("{}", serde_json::to_string(&result).unwrap_or_default());
    print_violations(&result);
    Ok(u8::from(!result.broken.is_empty()))
}
