//! The `capacity` command: the resources that each role needs at the target size, derived from measured slopes.

pub mod slopes;

use crate::ExitResult;
use clap::Args;
use pewtergap_capacity::{build_report, page, FileErrors, Report, Slopes, Target, SLOPES_FILE, TARGET_FILE};
use std::path::{Path, PathBuf};

#[derive(Args)]
pub struct CapacityArgs {
    /// File of the target; by default the built-in copy of docs/capacity/target.toml.
    #[arg(long)]
    size: Option<PathBuf>,
    /// File of the measured slopes; by default the built-in copy of docs/capacity/slopes.toml.
    #[arg(long)]
    slopes: Option<PathBuf>,
    #[arg(long)]
    json: bool,
    /// Update the tables of this page instead of printing them.
    #[arg(long, conflicts_with = "json")]
    renew: Option<PathBuf>,
}

pub fn capacity(args: &CapacityArgs) -> ExitResult {
    let target = read_or_default(args.size.as_deref(), TARGET_FILE, Target::parse)?;
    let slopes = read_or_default(args.slopes.as_deref(), SLOPES_FILE, Slopes::parse)?;
    let report: Report = build_report(target, slopes);
    if let Some(file) = &args.renew {
        let usage_error = |message: String| (2, format!("{}: {message}", file.display()));
        let text = std::fs::read_to_string(file).map_err(|e| usage_error(e.to_string()))?;
        let text = page::update_page(&text, &report).map_err(usage_error)?;
        std::fs::write(file, text).map_err(|e| (3, format!("{}: {e}", file.display())))?;
    } else if args.json {
        println!("{}", serde_json::to_string(&report).map_err(|e| (3, e.to_string()))?);
    } else {
        print!("{}", page::render(&report));
    }
    Ok(0)
}

/// Parses the given file, or the built-in text if there is none.
fn read_or_default<T>(
    file: Option<&Path>,
    built_in: (&str, &str),
    parse: impl Fn(&str, &str) -> Result<T, FileErrors>,
) -> Result<T, (u8, String)> {
    let result = match file {
        Some(file) => {
            let name = file.display().to_string();
            let text = std::fs::read_to_string(file).map_err(|e| (2, format!("{name}: {e}")))?;
            parse(&name, &text)
        }
        None => parse(built_in.0, built_in.1),
    };
    result.map_err(|errors| (2, errors.to_string()))
}
