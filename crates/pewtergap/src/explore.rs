//! `pewtergap explore` and `pewtergap replay`: members under virtual time, by seed; with `--watch` the tier between the record
//! and the planners.

use crate::ExitResult;
use clap::Args;
use pewtergap_lab::explore::{explore, replay as again, Explored, Planted, PLANTED};
use pewtergap_lab::explore_watch as watch;
use serde_json::json;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

#[derive(Args)]
pub struct ExploreLine {
    /// From the first to before the second.
    #[arg(long, value_parser = range, default_value = "0..100")]
    seeds: (u64, u64),
    #[arg(long, default_value_t = 1)]
    jobs: usize,
    /// Begin no further seed after so many seconds.
    #[arg(long)]
    seconds: Option<u64>,
    /// Plant a break that has to be found: wild-clocks, lying-disks, stale-read, freed-at-once; with --watch taken-back,
    /// lost-delete, counted-unheard, young-age.
    #[arg(long)]
    plant: Option<String>,
    /// Control machines and planners that watch, instead of members.
    #[arg(long)]
    watch: bool,
    /// Each seed as JSON.
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
pub struct ReplayLine {
    seed: u64,
    #[arg(long, value_parser = planted)]
    plant: Option<Planted>,
    /// What the members logged, by virtual time.
    #[arg(long)]
    trace: bool,
}

fn range(text: &str) -> Result<(u64, u64), String> {
    let ends = text.split_once("..").and_then(|(from, to)| Some((from.parse().ok()?, to.parse().ok()?)));
    ends.filter(|ends| ends.0 < ends.1).ok_or("a range like 0..100 was expected".into())
}

fn planted(name: &str) -> Result<Planted, String> {
    one_of(name, PLANTED)
}

fn one_of<T: Copy>(name: &str, all: &[(&str, T)]) -> Result<T, String> {
    let names: Vec<&str> = all.iter().map(|planted| planted.0).collect();
    let planted = all.iter().find(|planted| planted.0 == name).map(|planted| planted.1);
    planted.ok_or(format!("--plant: one of {}", names.join(", ")))
}

fn tell(came: &Explored) {
    for (rule, step, at, what) in &came.broken {
        println!("seed {}: {rule} at step {step}, {at:.3} s: {what}", came.seed);
    }
    if !came.broken.is_empty() {
        println!("  after {}", came.troubles.join(", "));
        println!("  again: pewtergap replay {}", came.seed);
    }
}

/// All seeds of a range, by so many threads, each told as soon as it came; and how long it took.
fn seeds<T: Send>(line: &ExploreLine, one: impl Fn(u64) -> T + Sync) -> Result<(Vec<T>, f64), (u8, String)> {
    let begin = Instant::now();
    let next = AtomicU64::new(line.seeds.0);
    let all: Mutex<Vec<T>> = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..line.jobs.max(1) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::SeqCst);
                let over = line.seconds.is_some_and(|seconds| begin.elapsed() > Duration::from_secs(seconds));
                if seed >= line.seeds.1 || over {
                    return;
                }
                let came = one(seed);
                if let Ok(mut all) = all.lock() {
                    all.push(came);
                }
            });
        }
    });
    let all = all.into_inner().map_err(|_| (3, "a seed failed".to_string()))?;
    Ok((all, begin.elapsed().as_secs_f64()))
}

pub fn run(line: &ExploreLine) -> ExitResult {
    if line.watch {
        return run_watch(line);
    }
    let plant = line.plant.as_deref().map(planted).transpose().map_err(|why| (2, why))?;
    let (all, seconds) = seeds(line, |seed| {
        let came = explore(seed, plant);
        match line.json {
            true => println!("{}", serde_json::to_string(&came).unwrap_or_default()),
            false => tell(&came),
        }
        Explored { troubles: Vec::new(), ..came }
    })?;
    let sum = |of: fn(&Explored) -> f64| all.iter().map(of).sum::<f64>();
    let broken = all.iter().filter(|came| !came.broken.is_empty()).count();
    println!(
        "{} seeds, {broken} broken, in {seconds:.1} s with {} jobs: {:.1} seeds a second and job, {:.0} virtual seconds a second, \
         {:.0} steps, {:.0} orders kept, {:.0} unknown, {:.0} fresh reads, duties held {:.0}% of the time",
        all.len(),
        line.jobs,
        all.len() as f64 / seconds / line.jobs.max(1) as f64,
        sum(|came| came.virtual_s) / seconds,
        sum(|came| came.steps as f64),
        sum(|came| came.kept as f64),
        sum(|came| came.unknown as f64),
        sum(|came| came.fresh as f64),
        sum(|came| came.held) / all.len().max(1) as f64 * 100.0,
    );
    Ok(u8::from(broken > 0))
}

fn run_watch(line: &ExploreLine) -> ExitResult {
    let plant = line.plant.as_deref().map(|name| one_of(name, watch::PLANTED)).transpose();
    let plant = plant.map_err(|why| (2, why))?;
    let (all, seconds) = seeds(line, |seed| {
        let came = watch::explore(seed, plant);
        if line.json {
            println!("{}", json!(came));
        } else {
            for (rule, step, at, what) in &came.broken {
                println!("seed {seed}: {rule} at step {step}, {at:.3} s: {what}");
            }
            if !came.broken.is_empty() {
                println!("  after {}", came.troubles.join(", "));
            }
        }
        watch::Explored { troubles: Vec::new(), ..came }
    })?;
    let sum = |of: fn(&watch::Explored) -> f64| all.iter().map(of).sum::<f64>();
    let broken = all.iter().filter(|came| !came.broken.is_empty()).count();
    println!(
        "{} seeds, {broken} broken, in {seconds:.1} s with {} jobs: {:.0} virtual seconds a second, {:.0} steps, {:.0} places kept, \
         {:.0} watches, {:.0} pieces, {:.0} counted, {:.0} ages told",
        all.len(),
        line.jobs,
        sum(|came| came.virtual_s) / seconds,
        sum(|came| came.steps as f64),
        sum(|came| came.kept as f64),
        sum(|came| came.watches as f64),
        sum(|came| came.pieces as f64),
        sum(|came| came.counted as f64),
        sum(|came| came.ages as f64),
    );
    Ok(u8::from(broken > 0))
}

pub fn replay(line: &ReplayLine) -> ExitResult {
    let (came, lines) = again(line.seed, line.plant);
    if line.trace {
        lines.iter().for_each(|line| println!("{line}"));
    }
    println!("{}", serde_json::to_string(&came).unwrap_or_default());
    tell(&came);
    Ok(u8::from(!came.broken.is_empty()))
}
