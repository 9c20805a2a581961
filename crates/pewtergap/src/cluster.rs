//! The `rehearse cluster` command: simulated days of a cluster of planners, with faults drawn by seed.

use crate::ExitResult;
use clap::Args;
use pewtergap_lab::cluster::drill::{day_of, DRILLS};
use pewtergap_lab::cluster::duties::{LEASE_MS, STRUCK};
use pewtergap_lab::cluster::measure::{bare_round_trip, bare_sync, with_cluster};
use pewtergap_lab::cluster::{play, play_with, Came, ClusterDay, Planted, PLANTED};
use pewtergap_lab::probing::probing;
use pewtergap_lab::sharing::{cost, found, shared, Sharing};
use serde_json::json;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

#[derive(Args)]
pub struct ClusterArgs {
    /// Number of planners in a cluster day.
    #[arg(long, default_value_t = 3)]
    members: usize,
    /// Number of faults in a cluster day.
    #[arg(long, default_value_t = 6)]
    strikes: usize,
    /// Number of cluster days, with consecutive seeds from --seed on.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Number of cluster days that run at the same time.
    #[arg(long, default_value_t = 1)]
    jobs: usize,
    /// Plant a violation in a cluster day that the audit must find: lost-order, stale-read, number-twice, vote-after-wipe,
    /// with duties no-fence, sent-twice, goes-on, and with a shared budget freed-at-once, both-ends.
    #[arg(long, value_parser = parse_planted)]
    cluster_plant: Option<Planted>,
    /// Planners also hold duties, and send their accounting to a receiver.
    #[arg(long)]
    duties: bool,
    /// Planners also share their observations and the parts of a budget.
    #[arg(long)]
    sharing: bool,
    /// Run one scripted scenario instead of random faults: roll-out, pieces, full-disk, lost-in-a-change, places,
    /// duties, duty-lease, duty-steps, duty-at-the-effect, shares, shares-later.
    #[arg(long, value_parser = parse_drill)]
    drill: Option<String>,
}

fn parse_drill(name: &str) -> Result<String, String> {
    let names: Vec<&str> = DRILLS.iter().map(|drill| drill.0).collect();
    if names.contains(&name) {
        Ok(name.into())
    } else {
        Err(format!("one of {}", names.join(", ")))
    }
}

fn parse_planted(name: &str) -> Result<Planted, String> {
    let names: Vec<&str> = PLANTED.iter().map(|planted| planted.0).collect();
    let planted = PLANTED.iter().find(|planted| planted.0 == name).map(|planted| planted.1);
    planted.ok_or(format!("one of {}", names.join(", ")))
}

fn print_result(seed: u64, args: &ClusterArgs, result: &Came, as_json: bool) {
    if as_json {
        let breaches: Vec<_> =
            result.breaches.iter().map(|b| json!({ "rule": b.rule, "what": b.what })).collect();
        let view = json!({ "seed": seed, "members": args.members, "troubles": result.troubles, "kept": result.kept,
            "not_kept": result.refused, "unknown": result.unknown, "fresh": result.fresh, "not_fresh": result.not_fresh,
            "sightings": result.sightings, "handed_ms": result.handed_ms, "breaches": breaches });
        println!("{view}");
        return;
    }
    println!(
        "seed {seed}: {} orders kept, {} not, {} unknown; {} fresh reads, {} not fresh; {}",
        result.kept,
        result.refused,
        result.unknown,
        result.fresh,
        result.not_fresh,
        result.troubles.join(", ")
    );
    for breach in &result.breaches {
        println!("  {}: {}", breach.rule, breach.what);
        println!(
            "  again: pewtergap rehearse cluster --seed {seed} --members {} --strikes {}",
            args.members, args.strikes
        );
    }
}

pub fn rehearse_cluster(args: &ClusterArgs, seed: u64, out: Option<&Path>, as_json: bool) -> ExitResult {
    let program = std::env::current_exe().map_err(|e| (3, e.to_string()))?;
    let base: PathBuf = match out {
        Some(out) => out.to_path_buf(),
        None => std::env::temp_dir().join(format!("pewtergap-cluster-{}", std::process::id())),
    };
    if args.members == 0 || args.members > 7 || args.members.is_multiple_of(2) {
        return Err((2, "--members: 1, 3, 5 or 7 were expected".into()));
    }
    let next = AtomicU64::new(seed);
    let worst: Mutex<(u8, String)> = Mutex::new((0, String::new()));
    std::thread::scope(|scope| {
        for _ in 0..args.jobs.max(1) {
            scope.spawn(|| loop {
                let seed_of_day = next.fetch_add(1, Ordering::SeqCst);
                if seed_of_day >= seed + args.seeds {
                    return;
                }
                let day = ClusterDay {
                    program: &program,
                    dir: base.join(format!("seed-{seed_of_day}")),
                    members: args.members,
                    founders: args.members,
                    seed: seed_of_day,
                    strikes: args.strikes,
                    only: Vec::new(),
                    planted: args.cluster_plant,
                    format: None,
                    duties: (args.duties || args.sharing).then_some(2),
                    sharing: args.sharing,
                    shares_nothing: None,
                };
                let result = match args.drill.as_deref().and_then(|drill| day_of(drill, day.clone())) {
                    Some((day, steps)) => play_with(&day, steps),
                    None => play(&day),
                };
                let status = match result {
                    Ok(result) => {
                        print_result(seed_of_day, args, &result, as_json);
                        (u8::from(!result.breaches.is_empty()), String::new())
                    }
                    Err(reason) => (3, format!("seed {seed_of_day}: {reason}")),
                };
                if status.0 == 0 && out.is_none() {
                    let _ = std::fs::remove_dir_all(&day.dir);
                }
                if let Ok(mut worst) = worst.lock() {
                    if status.0 > worst.0 {
                        *worst = status;
                    }
                }
            });
        }
    });
    match worst.into_inner().unwrap_or((3, "a day failed".into())) {
        (3, reason) => Err((3, format!("{reason} (in {})", base.display()))),
        (code, _) => Ok(code),
    }
}

/// Measures the cost of the record, one line of JSON per figure.
pub fn measure_record(members: &[usize], count_each: usize, kills: usize, entries: &[usize]) -> ExitResult {
    let program = std::env::current_exe().map_err(|e| (3, e.to_string()))?;
    let dir = std::env::temp_dir().join(format!("pewtergap-record-{}", std::process::id()));
    std::fs::create_dir_all(&dir).map_err(|e| (3, e.to_string()))?;
    let failed = |reason: String| (3, format!("the measurement failed: {reason}"));
    let io_failed = |e: std::io::Error| failed(e.to_string());
    println!("{}", json!({ "append_and_sync_ms": bare_sync(&dir, count_each).map_err(io_failed)? }));
    println!("{}", json!({ "round_trip_ms": bare_round_trip(count_each).map_err(io_failed)? }));
    for count in members {
        let orders =
            with_cluster(&program, &dir, *count, None, |director| director.measure_orders(count_each))
                .map_err(failed)?;
        orders.iter().for_each(|orders| println!("{}", json!({ "orders": orders })));
    }
    println!("{}", json!({ "append_and_sync_ms": bare_sync(&dir, count_each).map_err(io_failed)? }));
    if kills > 0 {
        let kills = with_cluster(&program, &dir, 3, None, |director| director.measure_kills(kills))
            .map_err(failed)?;
        println!("{}", json!({ "kill_of_the_leader_to_kept_ms": kills }));
    }
    for count in entries {
        let catch_up = with_cluster(&program, &dir, 3, None, |director| director.measure_bringing_up(*count))
            .map_err(failed)?;
        println!("{}", json!({ "brought_up": catch_up }));
    }
    let _ = std::fs::remove_dir_all(&dir);
    Ok(0)
}

/// Measures the cost and the handover of duties, one line of JSON per figure.
pub fn measure_duties(rounds: usize, planners: &[usize], many: usize) -> ExitResult {
    let program = std::env::current_exe().map_err(|e| (3, e.to_string()))?;
    let dir = std::env::temp_dir().join(format!("pewtergap-duties-{}", std::process::id()));
    std::fs::create_dir_all(&dir).map_err(|e| (3, e.to_string()))?;
    let failed = |reason: String| (3, format!("the measurement failed: {reason}"));
    for struck in STRUCK {
        let durations =
            with_cluster(&program, &dir, 3, Some(2), |director| director.measure_strikes(struck, rounds));
        let (durations, missing_fraction) = durations.map_err(failed)?;
        println!(
            "{}",
            json!({ "struck": format!("{struck:?}"), "lease_ms": LEASE_MS, "gone_on_ms": durations,
            "part_without": missing_fraction })
        );
    }
    let moved = with_cluster(&program, &dir, 5, Some(10), |director| director.measure_restarts(2));
    println!("{}", json!({ "restarts": moved.map_err(failed)? }));
    if many > 0 {
        let rest = with_cluster(&program, &dir, 7, Some(many), |director| director.measure_at_rest(10));
        println!("{}", json!({ "at_rest": rest.map_err(failed)? }));
    }
    // Off, on, on, off: other load on the machine affects both equally.
    for count in planners {
        for on in [false, true, true, false] {
            let seen = probing(&program, &dir.join("probes"), *count, on).map_err(failed)?;
            println!("{}", json!({ "probing": seen }));
        }
    }
    let _ = std::fs::remove_dir_all(&dir);
    Ok(0)
}

/// Measures the cost and the benefit of sharing, one line of JSON per figure.
pub fn measure_sharing(planners: &[u64], rounds: u64, days: &[String], seeds: u64) -> ExitResult {
    let program = std::env::current_exe().map_err(|e| (3, e.to_string()))?;
    let dir = std::env::temp_dir().join(format!("pewtergap-sharing-{}", std::process::id()));
    let failed = |reason: String| (3, format!("the measurement failed: {reason}"));
    for count in planners.iter().copied().filter(|count| *count > 1) {
        println!("{}", json!({ "cost": cost(count, 200, 20, 1) }));
    }
    for loss in [0.0, 0.01, 0.05, 0.1, 0.3] {
        for count in planners.iter().copied().filter(|count| *count > 1 && rounds > 0) {
            println!("{}", json!({ "found": found(count, loss, rounds) }));
        }
    }
    for day in days {
        for seed in 1..=seeds {
            // Forwards and backwards: other load on the machine affects all equally.
            use Sharing::*;
            for sharing in [Off, On, Cut, Cut, On, Off] {
                let seen = shared(&program, &dir, day, 5, sharing, seed).map_err(failed)?;
                println!("{}", json!({ "day": seen }));
            }
        }
    }
    let _ = std::fs::remove_dir_all(&dir);
    Ok(0)
}
