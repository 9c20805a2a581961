//! The rehearsal kit: stand-ins, a relay through which every stream runs, a recording, the rule audit, days.
#![forbid(unsafe_code)]

pub mod ask;
pub mod audit;
mod bell;
mod clients;
pub mod cluster;
pub mod day;
pub mod days;
pub mod explore;
mod list;
pub mod measure;
mod members;
pub mod probing;
pub mod process;
pub mod record;
pub mod rehearse;
mod relay;
pub mod report;
pub mod server;
pub mod sharing;
pub mod slopes;
mod words;
pub mod wrong;
