//! pewtergap: a control service for a fleet of plain proxies, and the kit to rehearse it.
//!
//! Exit status: 0 done, and for a rehearsal or an audit all rules kept; 1 a rule broken; 2 bad usage, settings
//! or recording; 3 the rehearsal or the program itself failed.
#![forbid(unsafe_code)]

#[cfg(feature = "fronts")]
mod capacity;
#[cfg(feature = "fronts")]
mod cluster;
#[cfg(feature = "fronts")]
mod explore;
#[cfg(feature = "fronts")]
mod fronts;
#[cfg(feature = "fronts")]
mod operator;
mod platform;
#[cfg(feature = "fronts")]
mod rehearse;
#[cfg(feature = "fronts")]
mod scale;

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
    #[cfg(feature = "fronts")]
    #[command(flatten)]
    Front(fronts::Front),
}

fn main() -> ExitCode {
    let line = Line::parse();
    logs(&line);
    let ended = match line.command {
        Verb::Node => platform::node(),
        #[cfg(feature = "fronts")]
        Verb::Front(front) => fronts::run_front(front),
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

type ExitResult = Result<u8, (u8, String)>;

/// One node in one reactor, until a signal or the node ends it.
fn drive(
    clock: Clock,
    node: Box<dyn Node>,
    dir: PathBuf,
    announce: bool,
    most_unwritten: usize,
) -> ExitResult {
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
