//! What each role of a fleet needs at a stated size, against its budget: worked out from measured points.
//!
//! Text in, tables out: [`Size`] is the fleet, its rates and budgets, [`Slopes`] what was measured, [`work_out`] puts them
//! together, [`page`] writes the tables of docs/CAPACITY.md. A figure is measured, reckoned from slopes, or assumed
//! ([`Kind`]); it cannot be made otherwise, since every amount begins as a slope's or a parameter's ([`worked::Worked`]).
#![forbid(unsafe_code)]

mod bounds;
mod fit;
mod model;
pub mod page;
mod read;
mod roles;
mod size;
mod slopes;
mod worked;
mod write;

pub use bounds::{bounds, Bound};
pub use fit::{fit, Fit};
pub use model::{work_out, Book, Figure, Over, Quantity, Role, Situation};
pub use read::{Wrong, Wrongs};
pub use size::{Pair, Size, PARAMETERS};
pub use slopes::{Slope, Slopes, Spec, SPECS};
pub use worked::Kind;

/// The users' target as the repository has it, and the name by which faults in it are told.
pub const TARGET: (&str, &str) =
    ("docs/capacity/target.toml", include_str!("../../../docs/capacity/target.toml"));
/// The measured points as the repository has them.
pub const MEASURED: (&str, &str) =
    ("docs/capacity/slopes.toml", include_str!("../../../docs/capacity/slopes.toml"));
