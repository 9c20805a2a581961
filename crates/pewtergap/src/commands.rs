//! The commands that run nodes from settings scripts, the operator commands and the rehearsal tools.

use crate::{capacity, cluster, explore, operator, rehearse, run_node, scale, ExitResult};
use clap::Subcommand;
use pewtergap_lab::measure::Others;
use pewtergap_reactor::Clock;
use pewtergap_settings::{control_file, proxy_file, run as run_script, service_file, Faults, Script};
use std::path::{Path, PathBuf};

#[derive(Subcommand)]
pub enum ScriptCommand {
    /// Check a settings file or a day and report its errors.
    Check { file: PathBuf },
    /// Run a planner.
    Run {
        file: PathBuf,
        /// Print the listening addresses on standard output.
        #[arg(long)]
        announce: bool,
    },
    /// Run a control machine: it stores the record, as a voter or an observer, and serves the watches of planners.
    Control {
        file: PathBuf,
        /// Print the listening addresses on standard output.
        #[arg(long)]
        announce: bool,
    },
    /// Run a proxy.
    Proxy {
        file: PathBuf,
        #[arg(long)]
        announce: bool,
    },
    /// Give an order to all planners through any of them; done when a majority has stored it.
    Order(operator::OrderArgs),
    /// List and change the members of the record.
    Members {
        #[command(subcommand)]
        what: operator::MembersCommand,
    },
    /// Print the content of the record.
    Record(operator::RecordArgs),
    /// Ask a control machine which planners have the record in force.
    Watchers(operator::WatchersArgs),
    /// Simulate members in virtual time with faults by seed, and check the rules after every step.
    Explore(explore::ExploreArgs),
    /// Replay one seed of explore.
    Replay(explore::ReplayArgs),
    /// List and move duties, which one planner at a time does for all.
    Duties {
        #[command(subcommand)]
        what: operator::DutiesCommand,
    },
    /// Print what planners share: planners heard, counts with age and interval, parts of budgets, servers with reduced weight.
    Shared(operator::AdminAddresses),
    /// Play a day against simulated servers and clients on loopback and check the five rules.
    Rehearse(rehearse::RehearseArgs),
    /// Run the tier at scale: real control machines, some real planners and simulated (hollow) ones, with faults, checks and a
    /// report.
    Scale(scale::ScaleArgs),
    /// Simulate the hollow planners of a scale run, controlled through standard input.
    #[command(hide = true)]
    Hollow { file: PathBuf },
    /// Run a measurement; compare its figures as ratios within one run.
    Measure {
        #[command(subcommand)]
        what: MeasureCommand,
    },
    /// Print what each role needs at the target size, and what exceeds its budget.
    Capacity(capacity::CapacityArgs),
    /// Check the five rules against a recording.
    Audit {
        recording: PathBuf,
        #[arg(long)]
        json: bool,
    },
}

#[derive(Subcommand)]
pub enum MeasureCommand {
    #[command(flatten)]
    BySize(capacity::slopes::SlopeCommand),
    /// Time from a list change to the ACK of the last proxy, by number of proxies; streams only, no calls.
    Order {
        #[arg(long, value_delimiter = ',', default_value = "10,100,1000")]
        proxies: Vec<usize>,
        #[arg(long, default_value_t = 20)]
        rounds: usize,
        /// Run two more members: none, whole (connected) or cut (no member reaches another).
        #[arg(long, value_parser = parse_others, default_value = "none")]
        others: Others,
        #[arg(long)]
        json: bool,
    },
    /// Duties: handover after each kind of fault, load of the record, probes with and without slices.
    Duties {
        #[arg(long, default_value_t = 10)]
        rounds: usize,
        #[arg(long, value_delimiter = ',', default_value = "1,3,5,7")]
        planners: Vec<usize>,
        /// Slices of probes at rest, with 7 planners.
        #[arg(long, default_value_t = 198)]
        many: usize,
    },
    /// Sharing: messages by number of planners, detection of lost planners, days with sharing off, on, and on but cut.
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
        /// Number of seeds of each day.
        #[arg(long, default_value_t = 2)]
        seeds: u64,
    },
    /// The record: time until an order is stored, kills of the leader, catching up of an empty member.
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

/// Unwritten bytes after which a connection is closed.
const MAX_UNWRITTEN: usize = 4 * 1024 * 1024;

pub fn run(command: ScriptCommand) -> ExitResult {
    match command {
        ScriptCommand::Check { file } => check(&file),
        ScriptCommand::Run { file, announce } => run_planner(&file, announce),
        ScriptCommand::Control { file, announce } => run_control_machine(&file, announce),
        ScriptCommand::Proxy { file, announce } => run_proxy(&file, announce),
        ScriptCommand::Order(args) => operator::order(args),
        ScriptCommand::Members { what } => operator::members(what),
        ScriptCommand::Record(args) => operator::record(args),
        ScriptCommand::Duties { what } => operator::duties(what),
        ScriptCommand::Shared(at) => operator::shared(at),
        ScriptCommand::Rehearse(args) => rehearse::rehearse(args),
        ScriptCommand::Scale(args) => scale::scale(args),
        ScriptCommand::Hollow { file } => scale::run_hollow_planners(&file),
        ScriptCommand::Watchers(args) => operator::watchers(args),
        ScriptCommand::Explore(args) => explore::run(&args),
        ScriptCommand::Replay(args) => explore::replay(&args),
        ScriptCommand::Measure { what: MeasureCommand::BySize(what) } => capacity::slopes::measure(&what),
        ScriptCommand::Measure { what: MeasureCommand::Order { proxies, rounds, others, json } } => {
            measure_order(&proxies, rounds, others, json)
        }
        ScriptCommand::Measure { what: MeasureCommand::Duties { rounds, planners, many } } => {
            cluster::measure_duties(rounds, &planners, many)
        }
        ScriptCommand::Measure { what: MeasureCommand::Sharing { planners, rounds, days, seeds } } => {
            cluster::measure_sharing(&planners, rounds, &days, seeds)
        }
        ScriptCommand::Measure { what: MeasureCommand::Record { members, orders, kills, entries } } => {
            cluster::measure_record(&members, orders, kills, &entries)
        }
        ScriptCommand::Capacity(args) => capacity::capacity(&args),
        ScriptCommand::Audit { recording, json } => rehearse::audit(&recording, json),
    }
}

pub fn load_planner_file(file: &Path) -> Result<pewtergap_settings::ServiceFile, (u8, String)> {
    service_file(&load_script(file)?).map_err(settings_error)
}

fn run_planner(file: &Path, announce: bool) -> ExitResult {
    let file = load_planner_file(file)?;
    let dir = file.dir.clone();
    let clock = Clock::default();
    run_node(clock, file.node(clock.now(), seed(clock)), dir, announce, MAX_UNWRITTEN)
}

/// A seed that differs between processes started at the same time.
fn seed(clock: Clock) -> u64 {
    clock.now().0 ^ u64::from(std::process::id()) << 40
}

fn run_control_machine(file: &Path, announce: bool) -> ExitResult {
    let file = control_file(&load_script(file)?).map_err(settings_error)?;
    let (dir, clock) = (file.dir.clone(), Clock::default());
    run_node(clock, Box::new(file.machine(seed(clock))), dir, announce, MAX_UNWRITTEN)
}

fn run_proxy(file: &Path, announce: bool) -> ExitResult {
    let file = proxy_file(&load_script(file)?).map_err(settings_error)?;
    let dir = file.dir.clone();
    let clock = Clock::default();
    run_node(clock, Box::new(file.proxy(clock.now().0)), dir, announce, MAX_UNWRITTEN)
}

fn settings_error(faults: Faults) -> (u8, String) {
    (2, faults.to_string())
}

fn load_script(file: &Path) -> Result<Script, (u8, String)> {
    let text = std::fs::read_to_string(file).map_err(|e| (2, format!("{}: {e}", file.display())))?;
    run_script(&file.display().to_string(), &text).map_err(settings_error)
}

fn check(file: &Path) -> ExitResult {
    let script = load_script(file)?;
    let description = match script.kind() {
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
    println!("{}: fine: {}", file.display(), description.map_err(settings_error)?);
    Ok(0)
}

fn parse_others(name: &str) -> Result<Others, String> {
    let names = [("none", Others::None), ("whole", Others::Whole), ("cut", Others::Cut)];
    let found = names.iter().find(|pair| pair.0 == name).map(|pair| pair.1);
    found.ok_or("one of none, whole, cut".into())
}

fn measure_order(proxy_counts: &[usize], rounds: usize, others: Others, json: bool) -> ExitResult {
    let program = std::env::current_exe().map_err(|e| (3, e.to_string()))?;
    let dir = std::env::temp_dir().join(format!("pewtergap-measure-{}", std::process::id()));
    if !json {
        println!("proxies  rounds  last ACK p50, worst  each ACK p50, p99  all joined  channel's pace  CPU a round  a stream");
    }
    for proxies in proxy_counts {
        let row = pewtergap_lab::measure::order_to_effect(&program, &dir, *proxies, rounds, others)
            .map_err(|e| (3, format!("the measurement failed: {e}")))?;
        if json {
            println!("{}", serde_json::to_string(&row).unwrap_or_default());
            continue;
        }
        println!(
            "{:>7}  {:>6}  {:>7.1} ms, {:>6.1}  {:>7.1} ms, {:>5.1}  {:>7.0} ms  {:>11.1} ms  {:>8.1} ms  {:.1} KiB",
            row.proxies,
            row.rounds,
            row.last_p50_ms,
            row.last_worst_ms,
            row.each_p50_ms,
            row.each_p99_ms,
            row.join_all_ms,
            row.pace_ms,
            row.planner_cpu_ms_a_round,
            row.planner_kib_a_stream
        );
    }
    Ok(0)
}
