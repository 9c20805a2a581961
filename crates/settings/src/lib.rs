//! Reads settings from a Starlark script into validated, typed values.
//!
//! A script may use loops, functions and variables. Its last expression is a call that determines the kind of the file:
//! `service(...)`, `control_machine(...)`, `proxy(...)`, or `day(...)`. All errors of a file are reported at once, each
//! with file, line, column, the setting, and the expected value.
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
