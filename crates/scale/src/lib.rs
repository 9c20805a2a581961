//! The scale run: real control machines and some real planners as processes, all other planners hollow, faults, a judge
//! and a report. `docs/scale.md` says what it measures and what it can't.
#![forbid(unsafe_code)]

pub mod crowd;
mod deaf;
pub mod director;
pub mod faults;
pub mod hollow;
pub mod judge;
pub mod orders;
pub mod parties;
pub mod plot;
pub mod reckon;
pub mod report;
pub mod sample;
pub mod track;
pub mod wire;
