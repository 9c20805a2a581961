//! pewtergap: a control service for a fleet of plain proxies, and the kit to rehearse it.
//!
//! Exit status: 0 done, and for a rehearsal or an audit all rules kept; 1 a rule broken; 2 bad usage, settings
//! or recording; 3 the rehearsal or the program itself failed.
#![forbid(unsafe_code)]

mod rehearse;

use clap::{Parser, Subcommand, ValueEnum};
use pewtergap_node::Node;
use pewtergap_reactor::{Clock, Reactor};
use pewtergap_settings::{proxy_file, run, service_file, Faults, Script};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Parser)]
#[command(version, about, long_about = None)]
struct Line {
    /// What is logged, to standard error: error, warn, info, debug.
    #[arg(long, global = true, default_value = "info")]
    log: String,
    #[arg(long, global = true, value_enum, default_value_t = Form::Compact)]
    log_form: Form,
    #[command(subcommand)]
    command: Verb,
}

#[derive(Clone, Copy, ValueEnum)]
enum Form {
    Compact,
    Json,
}

#[derive(Subcommand)]
enum Verb {
    /// Check a file of settings or a day and say what is wrong with it.
    Check { file: PathBuf },
    /// Run a planner.
    Run {
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
    /// Play a day against stand-ins on loopback and judge the five rules.
    Rehearse(rehearse::Wanted),
    /// Measure, with figures as ratios within one run.
    Measure {
        #[command(subcommand)]
        what: Measured,
    },
    /// Judge the five rules from a recording.
    Audit {
        recording: PathBuf,
        #[arg(long)]
        json: bool,
    },
}

#[derive(Subcommand)]
enum Measured {
    /// From a list change to the last proxy's ACK, by number of proxies; streams only, no calls.
    Order {
        #[arg(long, value_delimiter = ',', default_value = "10,100,1000")]
        proxies: Vec<usize>,
        #[arg(long, default_value_t = 20)]
        rounds: usize,
        #[arg(long)]
        json: bool,
    },
}

/// Unwritten bytes on one stream beyond which it is closed.
const MOST_UNWRITTEN: usize = 4 * 1024 * 1024;

fn main() -> ExitCode {
    let line = Line::parse();
    logs(&line);
    let ended = match line.command {
        Verb::Check { file } => check(&file),
        Verb::Run { file, announce } => load(&file).and_then(|script| {
            let file = service_file(&script).map_err(wrong)?;
            let dir = file.dir.clone();
            let clock = Clock::default();
            drive(clock, Box::new(file.service(clock.now(), clock.now().0)), dir, announce)
        }),
        Verb::Proxy { file, announce } => load(&file).and_then(|script| {
            let file = proxy_file(&script).map_err(wrong)?;
            let dir = file.dir.clone();
            let clock = Clock::default();
            drive(clock, Box::new(file.proxy(clock.now().0)), dir, announce)
        }),
        Verb::Rehearse(wanted) => rehearse::rehearse(wanted),
        Verb::Measure { what: Measured::Order { proxies, rounds, json } } => order(&proxies, rounds, json),
        Verb::Audit { recording, json } => rehearse::audit(&recording, json),
    };
    match ended {
        Ok(code) => ExitCode::from(code),
        Err((code, what)) => {
            eprintln!("{what}");
            ExitCode::from(code)
        }
    }
}

fn logs(line: &Line) {
    let filter = tracing_subscriber::EnvFilter::new(&line.log);
    let logs =
        tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).with_target(false);
    match line.log_form {
        Form::Compact => logs.with_ansi(false).compact().init(),
        Form::Json => logs.json().init(),
    }
}

type Ended = Result<u8, (u8, String)>;

fn wrong(faults: Faults) -> (u8, String) {
    (2, faults.to_string())
}

fn load(file: &Path) -> Result<Script, (u8, String)> {
    let text = std::fs::read_to_string(file).map_err(|e| (2, format!("{}: {e}", file.display())))?;
    run(&file.display().to_string(), &text).map_err(wrong)
}

fn check(file: &Path) -> Ended {
    let script = load(file)?;
    let what = match script.kind() {
        "service" => service_file(&script).map(|file| format!("a planner, {}", file.charge.name)),
        "proxy" => proxy_file(&script).map(|file| format!("a proxy, {}", file.home.name)),
        _ => {
            let text = std::fs::read_to_string(file).map_err(|e| (2, e.to_string()))?;
            pewtergap_lab::day::Day::read(&file.display().to_string(), &text)
                .map(|day| format!("a day, {}", day.name))
        }
    };
    println!("{}: fine: {}", file.display(), what.map_err(wrong)?);
    Ok(0)
}

/// One node in one reactor, until a signal or the node ends it.
fn drive(clock: Clock, node: Box<dyn Node>, dir: PathBuf, announce: bool) -> Ended {
    let told = |e: std::io::Error| (3, format!("the reactor: {e}"));
    let mut reactor = Reactor::new(clock, MOST_UNWRITTEN, dir).map_err(told)?;
    reactor.catch_signals().map_err(told)?;
    if announce {
        reactor.announce();
    }
    reactor.add(node);
    let (code, _) = reactor.run().map_err(told)?;
    Ok(code as u8)
}

fn order(counts: &[usize], rounds: usize, json: bool) -> Ended {
    let program = std::env::current_exe().map_err(|e| (3, e.to_string()))?;
    let dir = std::env::temp_dir().join(format!("pewtergap-measure-{}", std::process::id()));
    if !json {
        println!("proxies  rounds  last ACK p50, worst  each ACK p50, p99  all joined  channel's pace  CPU a round  a stream");
    }
    for proxies in counts {
        let m = pewtergap_lab::measure::order_to_effect(&program, &dir, *proxies, rounds)
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
