//! `pewtergap node`: a planner as the platform starts it.

use crate::{drive, ExitResult};
use pewtergap_platform::Boot;
use pewtergap_reactor::Clock;
use std::env;
use std::path::PathBuf;

/// A peer that leaves so much unread is closed; the platform resets it about there anyway.
const MOST_UNWRITTEN: usize = 128 * 1024;

pub fn node() -> ExitResult {
    let variable = |name: &str| env::var(name).ok();
    let file =
        variable("NODE_CONFIG").ok_or((2, "NODE_CONFIG is missing: the file of the configuration".into()))?;
    // Nothing is kept on disk; the file is read, and read again, by its own path.
    drive(Clock::default(), Box::new(Boot::new(file, variable)), PathBuf::new(), false, MOST_UNWRITTEN)
}
