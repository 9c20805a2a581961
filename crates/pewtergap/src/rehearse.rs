//! `pewtergap rehearse` and `pewtergap audit`.

use crate::cluster::{self, ClusterLine};
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
pub struct Wanted {
    /// A script, or the name of a built-in day; the bad day if none is given.
    day: Option<String>,
    /// Decides whom troubles strike, when calls come and how planners and proxies draw.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Where the recording, settings and logs go; a folder of the day's own under the temporary one if not told.
    #[arg(long)]
    out: Option<PathBuf>,
    /// Figures as JSON on standard output.
    #[arg(long)]
    json: bool,
    /// Plant a break that the audit must find: bare, repeat, late-drain, cold-push, long-queue,
    /// ignored-order (on a day whose planners agree).
    #[arg(long, value_parser = plant)]
    plant: Option<Plant>,
    /// Do not play the day a second time with the planners off.
    #[arg(long)]
    alone: bool,
    /// Name the built-in days and end.
    #[arg(long)]
    list: bool,
    #[command(flatten)]
    cluster: ClusterLine,
}

fn plant(name: &str) -> Result<Plant, String> {
    let names: Vec<&str> = PLANTS.iter().map(|plant| plant.0).collect();
    PLANTS
        .iter()
        .find(|plant| plant.0 == name)
        .map(|plant| plant.1)
        .ok_or(format!("one of {}", names.join(", ")))
}

fn day(wanted: &Wanted) -> Result<Day, (u8, String)> {
    let name = match (&wanted.day, wanted.plant) {
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

pub fn rehearse(wanted: Wanted) -> ExitResult {
    if wanted.day.as_deref() == Some("cluster") {
        return cluster::days(&wanted.cluster, wanted.seed, wanted.out.as_deref(), wanted.json);
    }
    if wanted.list {
        println!("bad\nplanted");
        days::SHORT.iter().for_each(|day| println!("{}", day.0));
        return Ok(0);
    }
    let day = day(&wanted)?;
    let failed = |what: String| (3, format!("the rehearsal failed: {what}"));
    let program = std::env::current_exe().map_err(|e| failed(e.to_string()))?;
    let usual = || {
        std::env::temp_dir().join(format!("pewtergap-{}-{}-{}", day.name, wanted.seed, std::process::id()))
    };
    let dir = wanted.out.clone().unwrap_or_else(usual);
    let dir = std::path::absolute(&dir).map_err(|e| failed(e.to_string()))?;
    let shown = std::io::stderr().is_terminal();
    let progress = |what: &str| {
        if shown {
            eprint!("\r\x1b[K{what}");
        }
    };
    let quiet = |_: &str| {};
    let one = |off: bool, dir: PathBuf, progress: &(dyn Fn(&str) + Sync)| {
        let (day, seed, plant) = (&day, wanted.seed, wanted.plant.filter(|_| !off));
        play(&Play { day, seed, program: &program, dir, planners_off: off, plant, progress })
    };
    // Both at once: the machine is as busy for one as for the other.
    let beside = !wanted.alone && wanted.plant.is_none();
    let (with, without) = std::thread::scope(|scope| {
        let other = beside.then(|| scope.spawn(|| one(true, dir.join("planners-off"), &quiet)));
        let with = one(false, dir.clone(), &progress);
        (with, other.map(|other| other.join().unwrap_or_else(|_| Err("it panicked".into()))))
    });
    if shown {
        eprint!("\r\x1b[K");
    }
    let with = with.map_err(failed)?;
    let without = without.transpose().map_err(failed)?;
    let recording = dir.join("recording.parquet");
    record::write(&recording, &with.rows).map_err(failed)?;
    let other = without.as_ref().map(|without| &without.service);
    if wanted.json {
        let figures = json!({
            "day": day.name, "seed": wanted.seed, "recording": recording, "service": with.service,
            "planners_off": other, "breaches": with.audit.breaches, "looked": with.audit.looked,
        });
        println!("{figures}");
    } else {
        print!("{}", table(&with.service, other));
        looked(&with.audit);
        with.audit.breaches.iter().for_each(|breach| println!("BROKEN {breach}"));
    }
    println!("{}", sentence(&day.name, wanted.seed, &with, other, &recording));
    Ok(u8::from(!with.audit.breaches.is_empty()))
}

fn looked(audit: &Audit) {
    let l = &audit.looked;
    println!(
        "looked at {} calls, {} sent ({} mutating, {} answers lost), {} drains told, {} cold starts, {} messages",
        l.calls, l.sent, l.mutating_sent, l.answers_lost, l.drains_told, l.cold_starts, l.messages
    );
    println!("{} probes of servers, by at most {} planners within a second", l.probes, l.most_probers);
    if l.orders_kept > 0 {
        println!(
            "{} orders kept, {} drains by order that a planner went by",
            l.orders_kept, l.drains_ordered
        );
    }
    println!(
        "nearest to a limit: {:.2} s without a line, {:.2} s after a drain was told, cold work {:.0}%, waiting lines {:.0}%, \
         messages {:.0}%",
        l.worst_bare_s,
        l.worst_drain_s,
        l.worst_cold * 100.0,
        l.worst_waiting * 100.0,
        l.worst_messages * 100.0
    );
}

fn rules(breaches: &[Breach]) -> String {
    match breaches {
        [] => "all five rules kept".into(),
        [first, ..] => {
            let mut broken: Vec<u8> = breaches.iter().map(|breach| breach.rule).collect();
            broken.sort_unstable();
            broken.dedup();
            let names: Vec<String> = broken.iter().map(u8::to_string).collect();
            format!(
                "rule {} BROKEN, first {:.1} s into the day by {}",
                names.join(" and "),
                first.at,
                first.peers
            )
        }
    }
}

fn sentence(day: &str, seed: u64, with: &Outcome, off: Option<&Service>, recording: &Path) -> String {
    let beside =
        off.map(|off| format!(" ({:.1}% with the planners off)", off.served * 100.0)).unwrap_or_default();
    format!(
        "Day {day}, seed {seed}: {}; {:.1}% of {} calls served in time{beside}; recording in {}.",
        rules(&with.audit.breaches),
        with.service.served * 100.0,
        with.service.calls,
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
        looked(&audit);
        audit.breaches.iter().for_each(|breach| println!("BROKEN {breach}"));
    }
    println!("{}: {}.", recording.display(), rules(&audit.breaches));
    Ok(u8::from(!audit.breaches.is_empty()))
}
