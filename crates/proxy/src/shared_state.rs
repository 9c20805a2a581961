//! State shared by the threads of one proxy: the tables in force, and a slot for each worker.
//!
//! Nothing is queued here. Published tables are immutable and complete, so a worker that falls behind needs only the
//! latest; counters accumulate until they are taken. A worker compares the version before it processes any input:
//! once it has confirmed a version, it starts no try with an older one.

use crate::tables::Tables;
use crate::worker::ArrivalCount;
use pewtergap_protocol::ServerStatsRow;
use pewtergap_time::{Moment, Span};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

pub struct SharedState {
    version: AtomicU64,
    tables: Mutex<Arc<Tables>>,
    slots: Vec<WorkerSlot>,
    stopping: AtomicBool,
}

/// State of one worker, written by that worker alone, except that the acceptor takes the counters.
#[derive(Default)]
struct WorkerSlot {
    applied_version: AtomicU64,
    /// Time of its last activity, in nanoseconds.
    last_active: AtomicU64,
    /// Total number of clients accepted, and the number currently connected.
    accepted: AtomicU64,
    clients: AtomicU64,
    done: AtomicBool,
    counters: Mutex<Counters>,
}

#[derive(Default)]
struct Counters {
    stats: BTreeMap<String, ServerStatsRow>,
    arrivals: Vec<ArrivalCount>,
}

/// The state of a worker as seen by the acceptor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerStatus {
    pub last_active: Moment,
    pub accepted: u64,
    pub clients: u64,
    pub done: bool,
}

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    // Poisoning can be ignored: every update replaces or adds a complete value, so none is left half written.
    shared.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl SharedState {
    pub fn new(workers: usize, tables: Arc<Tables>) -> SharedState {
        let slots = (0..workers).map(|_| WorkerSlot::default()).collect();
        SharedState { version: AtomicU64::new(0), tables: Mutex::new(tables), slots, stopping: false.into() }
    }

    pub fn workers(&self) -> usize {
        self.slots.len()
    }

    /// Stores the tables before their version: a reader that sees the version finds these tables or later ones.
    pub fn publish(&self, version: u64, tables: Arc<Tables>) {
        *lock(&self.tables) = tables;
        self.version.store(version, Ordering::Release);
    }

    /// The oldest version applied by any worker.
    pub fn min_applied_version(&self) -> u64 {
        self.slots.iter().map(|slot| slot.applied_version.load(Ordering::Acquire)).min().unwrap_or(0)
    }

    pub fn worker_status(&self, worker: usize) -> WorkerStatus {
        let slot = &self.slots[worker];
        WorkerStatus {
            last_active: Moment(slot.last_active.load(Ordering::Acquire)),
            accepted: slot.accepted.load(Ordering::Acquire),
            clients: slot.clients.load(Ordering::Acquire),
            done: slot.done.load(Ordering::Acquire),
        }
    }

    /// Takes the counters of all workers and merges them: tries are added, latencies weighted by successful tries.
    pub fn take_counters(&self, routes: usize) -> (Vec<ServerStatsRow>, Vec<ArrivalCount>) {
        let mut all = Counters { stats: BTreeMap::new(), arrivals: vec![ArrivalCount::default(); routes] };
        for slot in &self.slots {
            let counters = std::mem::take(&mut *lock(&slot.counters));
            all.add(counters.stats.into_values(), &counters.arrivals);
        }
        (all.stats.into_values().collect(), all.arrivals)
    }

    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    pub fn stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Returns the current tables if their version differs from `version`.
    pub fn newer_tables(&self, version: u64) -> Option<(u64, Arc<Tables>)> {
        let current = self.version.load(Ordering::Acquire);
        (current != version).then(|| (current, lock(&self.tables).clone()))
    }

    pub fn set_applied_version(&self, worker: usize, version: u64) {
        self.slots[worker].applied_version.store(version, Ordering::Release);
    }

    pub fn record_activity(&self, worker: usize, now: Moment, accepted: u64, clients: usize) {
        let slot = &self.slots[worker];
        slot.last_active.store(now.0, Ordering::Release);
        slot.accepted.store(accepted, Ordering::Release);
        slot.clients.store(clients as u64, Ordering::Release);
    }

    pub fn add_counters(&self, worker: usize, stats: Vec<ServerStatsRow>, arrivals: &[ArrivalCount]) {
        lock(&self.slots[worker].counters).add(stats.into_iter(), arrivals);
    }

    pub fn set_done(&self, worker: usize) {
        self.slots[worker].done.store(true, Ordering::Release);
    }
}

impl Counters {
    fn add(&mut self, stats: impl Iterator<Item = ServerStatsRow>, arrivals: &[ArrivalCount]) {
        for row in stats {
            match self.stats.get_mut(&row.server) {
                None => {
                    self.stats.insert(row.server.clone(), row);
                }
                Some(known) => {
                    let successes = |row: &ServerStatsRow| row.tries - row.dropped;
                    let total_us =
                        known.mean_latency_us * successes(known) + row.mean_latency_us * successes(&row);
                    known.tries += row.tries;
                    known.dropped += row.dropped;
                    known.mean_latency_us = total_us / successes(known).max(1);
                    known.util = row.util.or(known.util);
                    known.in_flight = row.in_flight.or(known.in_flight);
                }
            }
        }
        self.arrivals.resize(self.arrivals.len().max(arrivals.len()), ArrivalCount::default());
        for (known, arrival) in self.arrivals.iter_mut().zip(arrivals) {
            known.calls += arrival.calls;
            known.dropped += arrival.dropped;
        }
    }
}

/// Selects the worker for a new client: the one with the fewest clients among those recently active. An unresponsive
/// worker is skipped, so that only its current calls are delayed.
pub fn least_busy(workers: &[(WorkerStatus, u64)], now: Moment, timeout: Span) -> Option<usize> {
    let load = |(status, transferred): &(WorkerStatus, u64)| {
        transferred.saturating_sub(status.accepted) + status.clients
    };
    let is_unresponsive = |(status, _): &(WorkerStatus, u64)| now.since(status.last_active) > timeout;
    let candidates = workers.iter().enumerate().filter(|worker| !worker.1 .0.done);
    candidates.min_by_key(|worker| (is_unresponsive(worker.1), load(worker.1))).map(|worker| worker.0)
}
