//! Capacity model: the resources that each role needs at a target fleet size, compared with its budget.
//!
//! The model does no I/O. [`Target`] describes the fleet, its rates and budgets, [`Slopes`] holds the measurements,
//! [`build_report`] combines them and [`page`] renders the tables of docs/CAPACITY.md. Every figure is measured, derived
//! from slopes, or assumed ([`Kind`]). The kind cannot be misstated, because every value starts as a slope's or a
//! parameter's (`estimate::Estimate`).
#![forbid(unsafe_code)]

mod bounds;
mod estimate;
mod fit;
mod format;
mod model;
pub mod page;
mod roles;
mod slopes;
mod target;
mod toml_reader;

pub use bounds::{bounds, Bound};
pub use estimate::Kind;
pub use fit::{fit, Fit};
pub use model::{build_report, Figure, Overrun, Quantity, Report, Role, Situation};
pub use slopes::{Slope, SlopeSpec, Slopes, SLOPE_SPECS};
pub use target::{Pair, Target, PARAMETERS};
pub use toml_reader::{FileError, FileErrors};

/// The target file of this repository: its name in error messages, and its text.
pub const TARGET_FILE: (&str, &str) =
    ("docs/capacity/target.toml", include_str!("../../../docs/capacity/target.toml"));
/// The measured slopes of this repository: the file's name in error messages, and its text.
pub const SLOPES_FILE: (&str, &str) =
    ("docs/capacity/slopes.toml", include_str!("../../../docs/capacity/slopes.toml"));
