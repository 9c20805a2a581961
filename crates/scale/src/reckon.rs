//! What a run needs, reckoned beforehand, and whether the machine has it.
//!
//! Slopes: runs of 100 to 3,800 planners before 11 control machines, rounded up (docs/scale.md). A control machine had 14.6 MB
//! with 9 watches and 17.0 with 345, a hollow process 10.2 MB with 80 planners and 14.4 with 400; a process of a debug build
//! has up to 39 MB of its own, one of a release build 15. A run that uses more than half of the machine's memory all the
//! same is ended.

use rustix::process::{getrlimit, Resource};
use serde::{Deserialize, Serialize};

/// Processes that a run may have.
pub const MOST_PROCESSES: usize = 300;
/// Hollow planners of one process.
pub const CROWD: usize = 400;
/// Voters; all other control machines observe.
pub const MOST_VOTERS: usize = 5;

const MIB: u64 = 1024 * 1024;
/// Of a process of the program before it has a peer.
const PROCESS: u64 = 40 * MIB;
/// Of the director with relay and stand-ins.
const DIRECTOR: u64 = 96 * MIB;
/// Of a hollow planner, in its own process: its client, its link, its steps.
const HOLLOW: u64 = 24 * 1024;
/// Of a watch, at a control machine. A lost machine's go to the others, so each is reckoned with twice its even part.
const WATCH: u64 = 16 * 1024;
/// Rows of who has what in force: each machine has all planners'.
const ROW: u64 = 1024;
/// Descriptors of a process beside those of its peers: files, wakers, doors, operators.
const DESCRIPTORS: u64 = 64;

/// What a run consists of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Size {
    pub planners: usize,
    /// Of them real ones, each with so many proxies.
    pub real: usize,
    pub proxies: usize,
    pub control: usize,
    pub regions: usize,
}

/// Bytes, processes, and descriptors of the process that has most.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Need {
    pub memory: u64,
    pub processes: u64,
    pub descriptors: u64,
}

impl Size {
    pub fn hollow(&self) -> usize {
        self.planners - self.real.min(self.planners)
    }

    pub fn crowds(&self) -> usize {
        self.hollow().div_ceil(CROWD)
    }

    /// An odd number of them, as the record wants.
    pub fn voters(&self) -> usize {
        let most = self.control.min(MOST_VOTERS);
        most - usize::from(most.is_multiple_of(2) && most > 0)
    }

    pub fn need(&self) -> Need {
        let (control, planners) = (self.control as u64, self.planners as u64);
        let (real, proxies) = (self.real as u64, (self.real * self.proxies) as u64);
        let processes = control + real + proxies + self.crowds() as u64 + 1;
        let worst_watches = (planners.div_ceil(control.max(1)) * 2).min(planners);
        let memory = (processes - 1) * PROCESS
            + DIRECTOR
            + control * (worst_watches * WATCH + planners * ROW)
            + self.hollow() as u64 * HOLLOW;
        // A machine has two links with each other member. The relay between members has four ends for each pair of them.
        let machine = worst_watches + 2 * control;
        // A planner may have an old link on its way out beside the new one.
        let crowd = 2 * self.hollow().min(CROWD) as u64;
        let director = 4 * control * control + 8 * (real + proxies);
        Need { memory, processes, descriptors: machine.max(crowd).max(director) + DESCRIPTORS }
    }
}

/// What a run may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Limits {
    pub memory: u64,
    pub processes: u64,
    pub descriptors: u64,
}

impl Limits {
    /// Half of the machine's memory; descriptors as the limit is.
    ///
    /// # Errors
    /// The system does not say how much memory there is.
    pub fn here() -> Result<Limits, String> {
        let text = std::fs::read_to_string("/proc/meminfo").map_err(|e| format!("/proc/meminfo: {e}"))?;
        let total = text.lines().find_map(|line| line.strip_prefix("MemTotal:"));
        let kib: Option<u64> = total.and_then(|line| line.split_whitespace().next()?.parse().ok());
        let memory = kib.ok_or("/proc/meminfo does not say MemTotal")? * 1024 / 2;
        let descriptors = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
        Ok(Limits { memory, processes: MOST_PROCESSES as u64, descriptors })
    }
}

/// # Errors
/// What does not fit, with the need and the limit of each.
pub fn fits(size: &Size, limits: &Limits) -> Result<Need, String> {
    let need = size.need();
    let mut wrong = Vec::new();
    if size.control == 0 || size.control > 37 {
        wrong.push(format!("{} control machines: 1 to 37 were expected", size.control));
    }
    if size.regions == 0 {
        wrong.push("0 regions: 1 or more were expected".into());
    }
    if size.planners == 0 {
        wrong.push("0 planners: 1 or more were expected".into());
    }
    if size.real > size.planners {
        wrong.push(format!("{} real planners of {} in all", size.real, size.planners));
    }
    let mib = |bytes: u64| bytes.div_ceil(MIB);
    if need.memory > limits.memory {
        let (need, limit) = (mib(need.memory), mib(limits.memory));
        wrong.push(format!("memory: {need} MiB are needed, {limit} MiB are half of the machine's"));
    }
    if need.processes > limits.processes {
        wrong.push(format!("processes: {} are needed, the limit is {}", need.processes, limits.processes));
    }
    if need.descriptors > limits.descriptors {
        let (need, limit) = (need.descriptors, limits.descriptors);
        wrong.push(format!("descriptors: {need} are needed by one process, the limit is {limit}"));
    }
    match wrong.is_empty() {
        true => Ok(need),
        false => Err(wrong.join("\n")),
    }
}
