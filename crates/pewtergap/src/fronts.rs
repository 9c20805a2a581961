//! The fronts by scripts and the rehearsal kit.

use crate::{capacity, cluster, drive, explore, operator, rehearse, scale, ExitResult};
use clap::Subcommand;
use pewtergap_lab::measure::Others;
use pewtergap_reactor::Clock;
use pewtergap_settings::{control_file, proxy_file, run, service_file, Faults, Script};
use std::path::{Path, PathBuf};

#[derive(Subcommand)]
pub enum Front {
    /// Check a file of settings or a day and say what is wrong with it.
    Check { file: PathBuf },
    /// Run a planner.
    Run {
        file: PathBuf,
        /// Say on standard output where it listens.
        #[arg(long)]
        announce: bool,
    },
    /// Run a control machine: it keeps the record, with a vote or as an observer, and planners watch it.
    Control {
        file: PathBuf,
        /// Say on standard output where it listens.
        #[arg(long)]
        announce: bool,
    },
    /// Run a plain proxy.
    Proxy {
        file: PathBuf,
        #[arg(long)]
        announce: bool,
    },
    /// Give an order to all planners, through any of them; done when it is kept by a majority.
    Order(operator::OrderLine),
    /// Who keeps the record together.
    Members {
        #[command(subcommand)]
        what: operator::MembersLine,
    },
    /// What the record holds.
    Record(operator::RecordLine),
    /// Which planners have what the record says in force, asked of a control machine.
    Watchers(operator::WatchersLine),
    /// Members under virtual time: bad days by seed, each checked after every step.
    Explore(explore::ExploreLine),
    /// One seed again.
    Replay(explore::ReplayLine),
    /// What one planner at a time does for all.
    Duties {
        #[command(subcommand)]
        what: operator::DutiesLine,
    },
    /// What planners share: who is heard, counts with age and interval, parts of budgets, servers lightened.
    Shared(operator::At),
    /// Play a day against stand-ins on loopback and judge the five rules.
    Rehearse(rehearse::Wanted),
    /// Run the tier at size: real control machines, some real planners, all others hollow; faults, a judge, a report.
    Scale(scale::ScaleLine),
    /// Hollow planners of a scale run, told on standard input what to do.
    #[command(hide = true)]
    Hollow { file: PathBuf },
    /// Measure, with figures as ratios within one run.
    Measure {
        #[command(subcommand)]
        what: Measured,
    },
    /// What each role needs at the target, and what is over its budget.
    Capacity(capacity::CapacityArgs),
    /// Judge the five rules from a recording.
    Audit {
        recording: PathBuf,
        #[arg(long)]
        json: bool,
    },
}

#[derive(Subcommand)]
pub enum Measured {
    #[command(flatten)]
    Sized(capacity::slopes::Sized),
    /// From a list change to the last proxy's ACK, by number of proxies; streams only, no calls.
    Order {
        #[arg(long, value_delimiter = ',', default_value = "10,100,1000")]
        proxies: Vec<usize>,
        #[arg(long, default_value_t = 20)]
        rounds: usize,
        /// With two more members beside it: none, whole, cut (nobody hears anybody).
        #[arg(long, value_parser = others, default_value = "none")]
        others: Others,
        #[arg(long)]
        json: bool,
    },
    /// Duties: handed on after each kind of strike, the record's load, probes with and without slices.
    Duties {
        #[arg(long, default_value_t = 10)]
        rounds: usize,
        #[arg(long, value_delimiter = ',', default_value = "1,3,5,7")]
        planners: Vec<usize>,
        /// Slices of probes at rest, 7 planners.
        #[arg(long, default_value_t = 198)]
        many: usize,
    },
    /// What sharing costs and brings: words by number of planners, lost ones found, days with it off, on, and on but cut.
    Sharing {
        #[arg(long, value_delimiter = ',', default_value = "3,7,20,50")]
        planners: Vec<u64>,
        #[arg(long, default_value_t = 20)]
        rounds: u64,
        #[arg(
            long,
            value_delimiter = ',',
            default_value = "sharing_moves,sharing_cut,sharing_silent,sharing_broken"
        )]
        days: Vec<String>,
        /// Seeds of each day.
        #[arg(long, default_value_t = 2)]
        seeds: u64,
    },
    /// What the record costs: orders to kept, kills of the leader, an empty member brought up.
    Record {
        #[arg(long, value_delimiter = ',', default_value = "1,3,5")]
        members: Vec<usize>,
        #[arg(long, default_value_t = 500)]
        orders: usize,
        #[arg(long, default_value_t = 50)]
        kills: usize,
        #[arg(long, value_delimiter = ',', default_value = "10000")]
        entries: Vec<usize>,
    },
}

/// Unwritten bytes on one stream beyond which it is closed.
const MOST_UNWRITTEN: usize = 4 * 1024 * 1024;

pub fn run_front(front: Front) -> ExitResult {
    match front {
        Front::Check { file } => check(&file),
        Front::Run { file, announce } => planner(&file, announce),
        Front::Control { file, announce } => control(&file, announce),
        Front::Proxy { file, announce } => proxy(&file, announce),
        Front::Order(line) => operator::order(line),
        Front::Members { what } => operator::members(what),
        Front::Record(line) => operator::record(line),
        Front::Duties { what } => operator::duties(what),
        Front::Shared(at) => operator::shared(at),
        Front::Rehearse(wanted) => rehearse::rehearse(wanted),
        Front::Scale(line) => scale::scale(line),
        Front::Hollow { file } => scale::hollow(&file),
        Front::Watchers(line) => operator::watchers(line),
        Front::Explore(line) => explore::run(&line),
        Front::Replay(line) => explore::replay(&line),
        Front::Measure { what: Measured::Sized(what) } => capacity::slopes::measure(&what),
        Front::Measure { what: Measured::Order { proxies, rounds, others, json } } => {
            order(&proxies, rounds, others, json)
        }
        Front::Measure { what: Measured::Duties { rounds, planners, many } } => {
            cluster::measure_duties(rounds, &planners, many)
        }
        Front::Measure { what: Measured::Sharing { planners, rounds, days, seeds } } => {
            cluster::measure_sharing(&planners, rounds, &days, seeds)
        }
        Front::Measure { what: Measured::Record { members, orders, kills, entries } } => {
            cluster::measure(&members, orders, kills, &entries)
        }
        Front::Capacity(line) => capacity::capacity(&line),
        Front::Audit { recording, json } => rehearse::audit(&recording, json),
    }
}

pub fn planner_file(file: &Path) -> Result<pewtergap_settings::ServiceFile, (u8, String)> {
    service_file(&load(file)?).map_err(wrong)
}

fn planner(file: &Path, announce: bool) -> ExitResult {
    let file = planner_file(file)?;
    let dir = file.dir.clone();
    let clock = Clock::default();
    drive(clock, file.node(clock.now(), seed(clock)), dir, announce, MOST_UNWRITTEN)
}

/// Told apart among processes that start at one moment.
fn seed(clock: Clock) -> u64 {
    clock.now().0 ^ u64::from(std::process::id()) << 40
}

fn control(file: &Path, announce: bool) -> ExitResult {
    let file = control_file(&load(file)?).map_err(wrong)?;
    let (dir, clock) = (file.dir.clone(), Clock::default());
    drive(clock, Box::new(file.machine(seed(clock))), dir, announce, MOST_UNWRITTEN)
}

fn proxy(file: &Path, announce: bool) -> ExitResult {
    let file = proxy_file(&load(file)?).map_err(wrong)?;
    let dir = file.dir.clone();
    let clock = Clock::default();
    drive(clock, Box::new(file.proxy(clock.now().0)), dir, announce, MOST_UNWRITTEN)
}

fn wrong(faults: Faults) -> (u8, String) {
    (2, faults.to_string())
}

fn load(file: &Path) -> Result<Script, (u8, String)> {
    let text = std::fs::read_to_string(file).map_err(|e| (2, format!("{}: {e}", file.display())))?;
    run(&file.display().to_string(), &text).map_err(wrong)
}

fn check(file: &Path) -> ExitResult {
    let script = load(file)?;
    let what = match script.kind() {
        "service" => service_file(&script).map(|file| format!("a planner, {}", file.service.name)),
        "control_machine" => {
            control_file(&script).map(|file| format!("a control machine, {}", file.config.member.name))
        }
        "proxy" => proxy_file(&script).map(|file| format!("a proxy, {}", file.proxy.name)),
        _ => {
            let text = std::fs::read_to_string(file).map_err(|e| (2, e.to_string()))?;
            pewtergap_lab::day::Day::read(&file.display().to_string(), &text)
                .map(|day| format!("a day, {}", day.name))
        }
    };
    println!("{}: fine: {}", file.display(), what.map_err(wrong)?);
    Ok(0)
}

fn others(name: &str) -> Result<Others, String> {
    let known = [("none", Others::None), ("whole", Others::Whole), ("cut", Others::Cut)];
    let found = known.iter().find(|known| known.0 == name).map(|known| known.1);
    found.ok_or("one of none, whole, cut".into())
}

fn order(counts: &[usize], rounds: usize, others: Others, json: bool) -> ExitResult {
    let program = std::env::current_exe().map_err(|e| (3, e.to_string()))?;
    let dir = std::env::temp_dir().join(format!("pewtergap-measure-{}", std::process::id()));
    if !json {
        println!("proxies  rounds  last ACK p50, worst  each ACK p50, p99  all joined  channel's pace  CPU a round  a stream");
    }
    for proxies in counts {
        let m = pewtergap_lab::measure::order_to_effect(&program, &dir, *proxies, rounds, others)
            .map_err(|e| (3, format!("the measurement failed: {e}")))?;
        if json {
            println!("{}", serde_json::to_string(&m).unwrap_or_default());
            continue;
        }
        println!(
            "{:>7}  {:>6}  {:>7.1} ms, {:>6.1}  {:>7.1} ms, {:>5.1}  {:>7.0} ms  {:>11.1} ms  {:>8.1} ms  {:.1} KiB",
            m.proxies,
            m.rounds,
            m.last_p50_ms,
            m.last_worst_ms,
            m.each_p50_ms,
            m.each_p99_ms,
            m.join_all_ms,
            m.pace_ms,
            m.planner_cpu_ms_a_round,
            m.planner_kib_a_stream
        );
    }
    Ok(0)
}
