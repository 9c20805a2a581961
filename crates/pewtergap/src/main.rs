//! pewtergap: a control service for a fleet of proxies, and the tools to rehearse it.
//!
//! Exit status: 0 success, for a rehearsal or an audit with all rules kept; 1 a rule was violated; 2 invalid usage, settings
//! or recording; 3 the rehearsal or the program itself failed.
#![forbid(unsafe_code)]

#[cfg(feature = "fronts")]
mod capacity;
#[cfg(feature = "fronts")]
mod cluster;
#[cfg(feature = "fronts")]
mod commands;
#[cfg(feature = "fronts")]
mod explore;
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
struct Cli {
    /// Log level, for standard error: error, warn, info, debug.
    #[arg(long, global = true, default_value = "info")]
    log: String,
    #[arg(long, global = true, value_enum, default_value_t = LogFormat::Compact)]
    log_form: LogFormat,
    #[command(subcommand)]
    command: CliCommand,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    Compact,
    Json,
}

#[derive(Subcommand)]
enum CliCommand {
    /// Run a planner on the platform's protocol, configured by the NODE_ environment variables.
    Node,
    #[cfg(feature = "fronts")]
    #[command(flatten)]
    Script(commands::ScriptCommand),
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    init_logging(&cli);
    let result = match cli.command {
        CliCommand::Node => platform::node(),
        #[cfg(feature = "fronts")]
        CliCommand::Script(command) => commands::run(command),
    };
    match result {
        Ok(code) => ExitCode::from(code),
        Err((code, message)) => {
            eprintln!("{message}");
            ExitCode::from(code)
        }
    }
}

fn init_logging(cli: &Cli) {
    let filter = tracing_subscriber::EnvFilter::new(&cli.log);
    // A log line that cannot be written is lost. Reporting that on standard error would panic if it is the log itself.
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_target(false)
        .log_internal_errors(false);
    match cli.log_form {
        LogFormat::Compact => builder.with_ansi(false).compact().init(),
        LogFormat::Json => builder.json().init(),
    }
}

/// The exit status of a command, or its exit status and message if it failed.
type ExitResult = Result<u8, (u8, String)>;

/// Runs one node in a reactor until a signal or the node itself ends it.
fn run_node(
    clock: Clock,
    node: Box<dyn Node>,
    dir: PathBuf,
    announce: bool,
    max_unwritten: usize,
) -> ExitResult {
    let reactor_error = |e: std::io::Error| (3, format!("the reactor: {e}"));
    let mut reactor = Reactor::new(clock, max_unwritten, dir).map_err(reactor_error)?;
    reactor.catch_signals().map_err(reactor_error)?;
    if announce {
        reactor.announce();
    }
    reactor.add(node);
    let (code, _) = reactor.run().map_err(reactor_error)?;
    Ok(code as u8)
}
