//! pewtergap: a control service for a fleet of plain proxies, and the kit to rehearse it.
//!
//! Exit status: 0 done, and for a rehearsal or an audit all rules kept; 1 a rule broken; 2 bad usage, settings
//! or recording; 3 the rehearsal or the program itself failed.
#![forbid(unsafe_code)]

#[cfg(feature = "fronts")]
mod fronts;
mod platform;
#[cfg(feature = "fronts")]
mod rehearse;

use clap::{Parser, Subcommand, ValueEnum};
use pewtergap_node::Node;
use pewtergap_reactor::{Clock, Reactor};
use std::path::PathBuf;
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
    /// Run a planner on the platform's protocol, told what it is by the NODE_ variables.
    Node,
    /// Check a file of settings or a day and say what is wrong with it.
    #[cfg(feature = "fronts")]
    Check { file: PathBuf },
    /// Run a planner.
    #[cfg(feature = "fronts")]
    Run {
        file: PathBuf,
        /// Say on standard output where it listens.
        #[arg(long)]
        announce: bool,
    },
    /// Run a plain proxy.
    #[cfg(feature = "fronts")]
    Proxy {
        file: PathBuf,
        #[arg(long)]
        announce: bool,
    },
    /// Play a day against stand-ins on loopback and judge the five rules.
    #[cfg(feature = "fronts")]
    Rehearse(rehearse::Wanted),
    /// Measure, with figures as ratios within one run.
    #[cfg(feature = "fronts")]
    Measure {
        #[command(subcommand)]
        what: fronts::Measured,
    },
    /// Judge the five rules from a recording.
    #[cfg(feature = "fronts")]
    Audit {
        recording: PathBuf,
        #[arg(long)]
        json: bool,
    },
}

/// Unwritten bytes on one stream beyond which it is closed.
#[cfg(feature = "fronts")]
const MOST_UNWRITTEN: usize = 4 * 1024 * 1024;

fn main() -> ExitCode {
    let line = Line::parse();
    logs(&line);
    let ended = match line.command {
        Verb::Node => platform::node(),
        #[cfg(feature = "fronts")]
        Verb::Check { file } => fronts::check(&file),
        #[cfg(feature = "fronts")]
        Verb::Run { file, announce } => fronts::planner(&file, announce),
        #[cfg(feature = "fronts")]
        Verb::Proxy { file, announce } => fronts::proxy(&file, announce),
        #[cfg(feature = "fronts")]
        Verb::Rehearse(wanted) => rehearse::rehearse(wanted),
        #[cfg(feature = "fronts")]
        Verb::Measure { what } => fronts::measure(what),
        #[cfg(feature = "fronts")]
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

/// One node in one reactor, until a signal or the node ends it.
fn drive(clock: Clock, node: Box<dyn Node>, dir: PathBuf, announce: bool, most_unwritten: usize) -> Ended {
    let told = |e: std::io::Error| (3, format!("the reactor: {e}"));
    let mut reactor = Reactor::new(clock, most_unwritten, dir).map_err(told)?;
    reactor.catch_signals().map_err(told)?;
    if announce {
        reactor.announce();
    }
    reactor.add(node);
    let (code, _) = reactor.run().map_err(told)?;
    Ok(code as u8)
}
