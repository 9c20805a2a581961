//! `pewtergap rehearse cluster`: days of planners that agree, with faults by seed.

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
pub struct ClusterLine {
    /// Planners of a cluster day.
    #[arg(long, default_value_t = 3)]
    members: usize,
    /// Troubles of a cluster day.
    #[arg(long, default_value_t = 6)]
    strikes: usize,
    /// Cluster days of so many seeds, from --seed on.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Cluster days at the same time.
    #[arg(long, default_value_t = 1)]
    jobs: usize,
    /// Plant a break in a cluster day that the audit must find: lost-order, stale-read, number-twice, vote-after-wipe,
    /// where duties are held no-fence, sent-twice, goes-on, and where a budget is parted freed-at-once, both-ends.
    #[arg(long, value_parser = planted)]
    cluster_plant: Option<Planted>,
    /// Duties are held meanwhile, and the books go to a receiver.
    #[arg(long)]
    duties: bool,
    /// And share what they see, and a budget's parts.
    #[arg(long)]
    sharing: bool,
    /// In place of drawn troubles one hard case: roll-out, pieces, full-disk, lost-in-a-change, places,
    /// duties, duty-lease, duty-steps, duty-at-the-effect, shares, shares-later.
    #[arg(long, value_parser = drill)]
    drill: Option<String>,
}

fn drill(name: &str) -> Result<String, String> {
    let names: Vec<&str> = DRILLS.iter().map(|drill| drill.0).collect();
    if names.contains(&name) {
        Ok(name.into())
    } else {
        Err(format!("one of {}", names.join(", ")))
    }
}

fn planted(name: &str) -> Result<Planted, String> {
    let names: Vec<&str> = PLANTED.iter().map(|planted| planted.0).collect();
    let planted = PLANTED.iter().find(|planted| planted.0 == name).map(|planted| planted.1);
    planted.ok_or(format!("one of {}", names.join(", ")))
}

fn tell(seed: u64, line: &ClusterLine, came: &Came, as_json: bool) {
    if as_json {
        let breaches: Vec<_> =
            came.breaches.iter().map(|b| json!({ "rule": b.rule, "what": b.what })).collect();
        let view = json!({ "seed": seed, "members": line.members, "troubles": came.troubles, "kept": came.kept,
            "not_kept": came.refused, "unknown": came.unknown, "fresh": came.fresh, "not_fresh": came.not_fresh,
            "sightings": came.sightings, "handed_ms": came.handed_ms, "breaches": breaches });
        println!("{view}");
        return;
    }
    println!(
        "seed {seed}: {} orders kept, {} not, {} unknown; {} fresh reads, {} not fresh; {}",
        came.kept,
        came.refused,
        came.unknown,
        came.fresh,
        came.not_fresh,
        came.troubles.join(", ")
    );
    for breach in &came.breaches {
        println!("  {}: {}", breach.rule, breach.what);
        println!(
            "  again: pewtergap rehearse cluster --seed {seed} --members {} --strikes {}",
            line.members, line.strikes
        );
    }
}

pub fn days(line: &ClusterLine, seed: u64, out: Option<&Path>, as_json: bool) -> ExitResult {
    let program = std::env::current_exe().map_err(|e| (3, e.to_string()))?;
    let base: PathBuf = match out {
        Some(out) => out.to_path_buf(),
        None => std::env::temp_dir().join(format!("pewtergap-cluster-{}", std::process::id())),
    };
    if line.members == 0 || line.members > 7 || line.members.is_multiple_of(2) {
        return Err((2, "--members: 1, 3, 5 or 7 were expected".into()));
    }
    let next = AtomicU64::new(seed);
    let worst: Mutex<(u8, String)> = Mutex::new((0, String::new()));
    std::thread::scope(|scope| {
        for _ in 0..line.jobs.max(1) {
            scope.spawn(|| loop {
                let mine = next.fetch_add(1, Ordering::SeqCst);
                if mine >= seed + line.seeds {
                    return;
                }
                let day = ClusterDay {
                    program: &program,
                    dir: base.join(format!("seed-{mine}")),
                    members: line.members,
                    founders: line.members,
                    seed: mine,
                    strikes: line.strikes,
                    only: Vec::new(),
                    planted: line.cluster_plant,
                    format: None,
                    duties: (line.duties || line.sharing).then_some(2),
                    sharing: line.sharing,
                    shares_nothing: None,
                };
                let came = match line.drill.as_deref().and_then(|drill| day_of(drill, day.clone())) {
                    Some((day, act)) => play_with(&day, act),
                    None => play(&day),
                };
                let ended = match came {
                    Ok(came) => {
                        tell(mine, line, &came, as_json);
                        (u8::from(!came.breaches.is_empty()), String::new())
                    }
                    Err(why) => (3, format!("seed {mine}: {why}")),
                };
                if ended.0 == 0 && out.is_none() {
                    let _ = std::fs::remove_dir_all(&day.dir);
                }
                if let Ok(mut worst) = worst.lock() {
                    if ended.0 > worst.0 {
                        *worst = ended;
                    }
                }
            });
        }
    });
    match worst.into_inner().unwrap_or((3, "a day failed".into())) {
        (3, why) => Err((3, format!("{why} (in {})", base.display()))),
        (code, _) => Ok(code),
    }
}

/// One line of JSON for each figure.
pub fn measure(members: &[usize], each: usize, kills: usize, entries: &[usize]) -> ExitResult {
    let program = std::env::current_exe().map_err(|e| (3, e.to_string()))?;
    let dir = std::env::temp_dir().join(format!("pewtergap-record-{}", std::process::id()));
    std::fs::create_dir_all(&dir).map_err(|e| (3, e.to_string()))?;
    let failed = |why: String| (3, format!("the measurement failed: {why}"));
    let bare = |e: std::io::Error| failed(e.to_string());
    println!("{}", json!({ "append_and_sync_ms": bare_sync(&dir, each).map_err(bare)? }));
    println!("{}", json!({ "round_trip_ms": bare_round_trip(each).map_err(bare)? }));
    for count in members {
        let orders = with_cluster(&program, &dir, *count, None, |director| director.measure_orders(each))
            .map_err(failed)?;
        orders.iter().for_each(|orders| println!("{}", json!({ "orders": orders })));
    }
    println!("{}", json!({ "append_and_sync_ms": bare_sync(&dir, each).map_err(bare)? }));
    if kills > 0 {
        let kills = with_cluster(&program, &dir, 3, None, |director| director.measure_kills(kills))
            .map_err(failed)?;
        println!("{}", json!({ "kill_of_the_leader_to_kept_ms": kills }));
    }
    for count in entries {
        let up = with_cluster(&program, &dir, 3, None, |director| director.measure_bringing_up(*count))
            .map_err(failed)?;
        println!("{}", json!({ "brought_up": up }));
    }
    let _ = std::fs::remove_dir_all(&dir);
    Ok(0)
}

/// What duties cost and how they are handed on, one line of JSON for each figure.
pub fn measure_duties(rounds: usize, planners: &[usize], many: usize) -> ExitResult {
    let program = std::env::current_exe().map_err(|e| (3, e.to_string()))?;
    let dir = std::env::temp_dir().join(format!("pewtergap-duties-{}", std::process::id()));
    std::fs::create_dir_all(&dir).map_err(|e| (3, e.to_string()))?;
    let failed = |why: String| (3, format!("the measurement failed: {why}"));
    for struck in STRUCK {
        let took =
            with_cluster(&program, &dir, 3, Some(2), |director| director.measure_strikes(struck, rounds));
        let (took, without) = took.map_err(failed)?;
        println!(
            "{}",
            json!({ "struck": format!("{struck:?}"), "lease_ms": LEASE_MS, "gone_on_ms": took,
            "part_without": without })
        );
    }
    let moved = with_cluster(&program, &dir, 5, Some(10), |director| director.measure_restarts(2));
    println!("{}", json!({ "restarts": moved.map_err(failed)? }));
    if many > 0 {
        let rest = with_cluster(&program, &dir, 7, Some(many), |director| director.measure_at_rest(10));
        println!("{}", json!({ "at_rest": rest.map_err(failed)? }));
    }
    // Off, on, on, off: what else the machine does falls on both.
    for count in planners {
        for on in [false, true, true, false] {
            let seen = probing(&program, &dir.join("probes"), *count, on).map_err(failed)?;
            println!("{}", json!({ "probing": seen }));
        }
    }
    let _ = std::fs::remove_dir_all(&dir);
    Ok(0)
}

/// What sharing costs and brings, one line of JSON for each figure.
pub fn measure_sharing(planners: &[u64], rounds: u64, days: &[String], seeds: u64) -> ExitResult {
    let program = std::env::current_exe().map_err(|e| (3, e.to_string()))?;
    let dir = std::env::temp_dir().join(format!("pewtergap-sharing-{}", std::process::id()));
    let failed = |why: String| (3, format!("the measurement failed: {why}"));
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
            // In turn and back: what else the machine does falls on all.
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
