//! Settings as a Starlark script, checked, to typed values.
//!
//! A script may use loops, functions and variables; it must end with one call that says what the file is for:
//! `service(...)`, `control_machine(...)`, `proxy(...)`, or `day(...)`. All faults of a file are told at once, each with file, line,
//! column, the setting, and what was expected.
#![forbid(unsafe_code)]

mod files;
mod read;
mod script;

pub use files::{
    channel, control_file, proxy_file, routes, rules, service_file, ControlFile, ProxyFile, RouteFile,
    ServiceFile,
};
pub use read::{Fault, Faults, Fraction, Section, Setting};
pub use script::{run, Script};
