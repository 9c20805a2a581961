//! The `node` command: a planner as started by the platform.

use crate::{run_node, ExitResult};
use pewtergap_platform::Boot;
use pewtergap_reactor::Clock;
use std::env;
use std::path::PathBuf;

/// Unwritten bytes after which a connection is closed. The platform resets a connection at about the same amount.
const MAX_UNWRITTEN: usize = 128 * 1024;

pub fn node() -> ExitResult {
    let variable = |name: &str| env::var(name).ok();
    let file =
        variable("NODE_CONFIG").ok_or((2, "NODE_CONFIG is missing: the file of the configuration".into()))?;
    // Nothing is stored on disk, so there is no state directory. The file is read and reread by its own path.
    run_node(Clock::default(), Box::new(Boot::new(file, variable)), PathBuf::new(), false, MAX_UNWRITTEN)
}
