//! `pewtergap capacity`: what each role needs at the target, from the slopes that were measured.

pub mod slopes;

use crate::Ended;
use clap::Args;
use pewtergap_capacity::{page, work_out, Book, Size, Slopes, Wrongs, MEASURED, TARGET};
use std::path::{Path, PathBuf};

#[derive(Args)]
pub struct CapacityLine {
    /// The target; left out, the users' own (docs/capacity/target.toml).
    #[arg(long)]
    size: Option<PathBuf>,
    /// What was measured; left out, the points of this build (docs/capacity/slopes.toml).
    #[arg(long)]
    slopes: Option<PathBuf>,
    #[arg(long)]
    json: bool,
    /// Renew the tables of this page in place of printing them.
    #[arg(long, conflicts_with = "json")]
    renew: Option<PathBuf>,
}

pub fn capacity(line: &CapacityLine) -> Ended {
    let size = given(line.size.as_deref(), TARGET, Size::read)?;
    let slopes = given(line.slopes.as_deref(), MEASURED, Slopes::read)?;
    let book: Book = work_out(size, slopes);
    if let Some(file) = &line.renew {
        let told = |what: String| (2, format!("{}: {what}", file.display()));
        let text = std::fs::read_to_string(file).map_err(|e| told(e.to_string()))?;
        let text = page::renew(&text, &book).map_err(told)?;
        std::fs::write(file, text).map_err(|e| (3, format!("{}: {e}", file.display())))?;
    } else if line.json {
        println!("{}", serde_json::to_string(&book).map_err(|e| (3, e.to_string()))?);
    } else {
        print!("{}", page::print(&book));
    }
    Ok(0)
}

/// What a file says, or what the build has.
fn given<T>(
    file: Option<&Path>,
    built_in: (&str, &str),
    read: impl Fn(&str, &str) -> Result<T, Wrongs>,
) -> Result<T, (u8, String)> {
    let came = match file {
        Some(file) => {
            let name = file.display().to_string();
            let text = std::fs::read_to_string(file).map_err(|e| (2, format!("{name}: {e}")))?;
            read(&name, &text)
        }
        None => read(built_in.0, built_in.1),
    };
    came.map_err(|wrongs| (2, wrongs.to_string()))
}
