//! What the processes of a run use, as the system counts it.

use pewtergap_lab::process::{descriptors, used};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const EVERY: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    Control,
    Hollow,
    Planner,
    Proxy,
    Director,
}

type Known = Arc<Mutex<BTreeMap<u32, Role>>>;

fn lock(known: &Known) -> MutexGuard<'_, BTreeMap<u32, Role>> {
    known.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Sums over the processes of a role, and the most that one has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Used {
    pub processes: usize,
    pub cpu_ms: f64,
    pub rss_kib: f64,
    pub most_rss_kib: f64,
    pub most_descriptors: usize,
}

/// Looks at all processes of a run, all the time, until dropped.
pub struct Sampler {
    known: Known,
    over: Arc<AtomicBool>,
    peak_kib: Arc<AtomicU64>,
    thread: Option<JoinHandle<()>>,
}

impl Sampler {
    /// `limit`: bytes beyond which the run has to end.
    pub fn new(limit: u64) -> Sampler {
        let (known, over, peak_kib) = (Known::default(), Arc::new(AtomicBool::new(false)), Arc::default());
        lock(&known).insert(std::process::id(), Role::Director);
        let (mine, done, peak) = (known.clone(), over.clone(), Arc::clone(&peak_kib));
        let thread = std::thread::spawn(move || {
            while !done.load(Ordering::SeqCst) {
                let all: Vec<u32> = lock(&mine).keys().copied().collect();
                let kib: f64 = all.iter().map(|process| used(*process).1).sum();
                AtomicU64::fetch_max(&peak, kib as u64, Ordering::SeqCst);
                let end = Instant::now() + EVERY;
                while Instant::now() < end && !done.load(Ordering::SeqCst) {
                    std::thread::sleep(Duration::from_millis(20));
                }
                if kib as u64 * 1024 > limit {
                    return;
                }
            }
        });
        Sampler { known, over, peak_kib, thread: Some(thread) }
    }

    pub fn add(&self, process: u32, role: Role) {
        lock(&self.known).insert(process, role);
    }

    pub fn gone(&self, process: u32) {
        lock(&self.known).remove(&process);
    }

    pub fn processes(&self) -> usize {
        lock(&self.known).len()
    }

    /// The most memory that all had together, in KiB.
    pub fn peak_kib(&self) -> u64 {
        self.peak_kib.load(Ordering::SeqCst)
    }

    /// By role, now.
    pub fn now(&self) -> BTreeMap<Role, Used> {
        let all: Vec<(u32, Role)> =
            lock(&self.known).iter().map(|(process, role)| (*process, *role)).collect();
        let mut by = BTreeMap::<Role, Used>::new();
        for (process, role) in all {
            let (cpu_ms, rss_kib) = used(process);
            let sum = by.entry(role).or_default();
            sum.processes += 1;
            sum.cpu_ms += cpu_ms;
            sum.rss_kib += rss_kib;
            sum.most_rss_kib = sum.most_rss_kib.max(rss_kib);
            sum.most_descriptors = sum.most_descriptors.max(descriptors(process));
        }
        by
    }
}

impl Drop for Sampler {
    fn drop(&mut self) {
        self.over.store(true, Ordering::SeqCst);
        self.thread.take().map(JoinHandle::join);
    }
}
