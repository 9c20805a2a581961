//! Measurements by size, each at several sizes of one kind with everything else kept as it is: a planner and a proxy by
//! servers, routes, probes and proxies, and the time that a proxy adds to a request. docs/capacity/slopes.toml keeps their
//! points.

mod catalog;
mod origin;
mod path;
mod planner;

pub use path::{path, Path as AddedTime, Played};
pub use planner::{by_probes, by_proxies, by_routes, by_servers, Probed, Routed, Served, Streamed};

use crate::process::{descriptors, Process};
use pewtergap_node::Node;
use pewtergap_reactor::{Clock, Handle, NodeId, Reactor};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// No wait of a measurement is longer.
const CEILING: Duration = Duration::from_secs(60);
const LOOK: Duration = Duration::from_millis(2);

/// Nodes of this process on a thread of their own, until dropped.
struct Hall {
    handle: Handle,
    places: Vec<NodeId>,
    thread: Option<JoinHandle<()>>,
}

impl Hall {
    fn open(dir: &Path, nodes: Vec<Box<dyn FnOnce() -> Box<dyn Node> + Send>>) -> Result<Hall, String> {
        let mut reactor = Reactor::new(Clock::default(), 64 << 20, dir.into()).map_err(|e| e.to_string())?;
        let handle = reactor.handle();
        let places = nodes.into_iter().map(|node| reactor.add(node())).collect();
        let thread = std::thread::spawn(move || drop(reactor.run()));
        Ok(Hall { handle, places, thread: Some(thread) })
    }

    /// To the first of its nodes.
    fn tell(&self, word: String) -> bool {
        self.handle.send_command(self.places[0], word)
    }
}

impl Drop for Hall {
    fn drop(&mut self) {
        self.handle.shut_down();
        self.thread.take().map(JoinHandle::join);
    }
}

/// A process that is looked at.
struct Party {
    process: Process,
    /// Where it listens, by the names of its doors.
    doors: HashMap<String, SocketAddr>,
}

impl Party {
    /// Until its door named `last` is open.
    fn start(
        program: &Path,
        dir: &Path,
        name: &str,
        verb: &str,
        text: &str,
        last: &str,
    ) -> Result<Party, String> {
        let (process, doors) = Process::start(program, dir, verb, name, text, &[last])?;
        Ok(Party { process, doors })
    }

    /// Seconds of a processor so far.
    fn processor_s(&self) -> f64 {
        self.process.used().0 / 1e3
    }

    /// Bytes of memory in use.
    fn memory(&self) -> f64 {
        self.process.used().1 * 1024.0
    }

    fn descriptors(&self) -> usize {
        descriptors(self.process.id())
    }
}

/// Waits for what somebody else does.
fn until(what: &str, mut done: impl FnMut() -> bool) -> Result<(), String> {
    let end = Instant::now() + CEILING;
    while !done() {
        if Instant::now() > end {
            return Err(format!("waited {} s for {what}", CEILING.as_secs()));
        }
        std::thread::sleep(LOOK);
    }
    Ok(())
}
