//! `pewtergap node`: a planner as the platform starts it.

use crate::{drive, Ended};
use pewtergap_platform::{Charge, Platform};
use pewtergap_reactor::Clock;
use std::env;
use std::path::PathBuf;

/// A peer that leaves so much unread is closed; the platform resets it about there anyway.
const MOST_UNWRITTEN: usize = 128 * 1024;

pub fn node() -> Ended {
    let variable = |name: &str| env::var(name).ok();
    let file =
        variable("NODE_CONFIG").ok_or((2, "NODE_CONFIG is missing: the file of the configuration".into()))?;
    let wrong = |what: String| (2, format!("{file}: {what}"));
    let text = std::fs::read_to_string(&file).map_err(|e| wrong(e.to_string()))?;
    let charge = Charge::read(&text, variable).map_err(wrong)?;
    let clock = Clock::default();
    // Nothing is kept on disk; the file is read again by its own path.
    let node = Platform::new(clock.now(), charge, file);
    drive(clock, Box::new(node), PathBuf::new(), false, MOST_UNWRITTEN)
}
