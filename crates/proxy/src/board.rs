//! What the threads of one proxy share: the tables in force, and a desk for each worker.
//!
//! Nothing here queues. Tables are whole and never change once they are out, so a worker that was away needs
//! the last ones only; counts add up until they are taken. A worker looks at the version before each thing it
//! does: once it has said that it follows a version, it starts no try by an older one.

use crate::tables::Tables;
use crate::worker::Arrival;
use pewtergap_protocol::ServerStatsRow;
use pewtergap_time::{Moment, Span};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

pub struct SharedState {
    version: AtomicU64,
    tables: Mutex<Arc<Tables>>,
    desks: Vec<Desk>,
    stopping: AtomicBool,
}

/// What one worker says of itself; it alone writes here, but for the counts that are taken.
#[derive(Default)]
struct Desk {
    follows: AtomicU64,
    /// When it last did anything, in nanoseconds.
    beat: AtomicU64,
    /// Clients it ever took in, and those it has.
    taken: AtomicU64,
    clients: AtomicU64,
    done: AtomicBool,
    counted: Mutex<Counted>,
}

#[derive(Default)]
struct Counted {
    sums: BTreeMap<String, ServerStatsRow>,
    arrivals: Vec<Arrival>,
}

/// A worker as the front sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerStatus {
    pub beat: Moment,
    pub taken: u64,
    pub clients: u64,
    pub done: bool,
}

fn open<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    // A thread that panicked while it held this has not left it half written: all is replaced or added whole.
    shared.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl SharedState {
    pub fn new(workers: usize, tables: Arc<Tables>) -> SharedState {
        let desks = (0..workers).map(|_| Desk::default()).collect();
        SharedState { version: AtomicU64::new(0), tables: Mutex::new(tables), desks, stopping: false.into() }
    }

    pub fn workers(&self) -> usize {
        self.desks.len()
    }

    // ---- the front

    /// The tables go out before their number: whoever sees the number finds these or later ones.
    pub fn publish(&self, version: u64, tables: Arc<Tables>) {
        *open(&self.tables) = tables;
        self.version.store(version, Ordering::Release);
    }

    /// The version that all workers follow.
    pub fn followed(&self) -> u64 {
        self.desks.iter().map(|desk| desk.follows.load(Ordering::Acquire)).min().unwrap_or(0)
    }

    pub fn seen(&self, worker: usize) -> WorkerStatus {
        let desk = &self.desks[worker];
        WorkerStatus {
            beat: Moment(desk.beat.load(Ordering::Acquire)),
            taken: desk.taken.load(Ordering::Acquire),
            clients: desk.clients.load(Ordering::Acquire),
            done: desk.done.load(Ordering::Acquire),
        }
    }

    /// What all workers counted since the last time, as one proxy's: tries added up, times by their tries.
    pub fn take_counted(&self, routes: usize) -> (Vec<ServerStatsRow>, Vec<Arrival>) {
        let mut all = Counted { sums: BTreeMap::new(), arrivals: vec![Arrival::default(); routes] };
        for desk in &self.desks {
            let counted = std::mem::take(&mut *open(&desk.counted));
            all.add(counted.sums.into_values(), &counted.arrivals);
        }
        (all.sums.into_values().collect(), all.arrivals)
    }

    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    // ---- a worker

    pub fn stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Newer tables than those of this version, if there are any.
    pub fn newer(&self, version: u64) -> Option<(u64, Arc<Tables>)> {
        let current = self.version.load(Ordering::Acquire);
        (current != version).then(|| (current, open(&self.tables).clone()))
    }

    pub fn follows(&self, worker: usize, version: u64) {
        self.desks[worker].follows.store(version, Ordering::Release);
    }

    pub fn beat(&self, worker: usize, now: Moment, taken: u64, clients: usize) {
        let desk = &self.desks[worker];
        desk.beat.store(now.0, Ordering::Release);
        desk.taken.store(taken, Ordering::Release);
        desk.clients.store(clients as u64, Ordering::Release);
    }

    pub fn leave_counted(&self, worker: usize, sums: Vec<ServerStatsRow>, arrivals: &[Arrival]) {
        open(&self.desks[worker].counted).add(sums.into_iter(), arrivals);
    }

    pub fn done(&self, worker: usize) {
        self.desks[worker].done.store(true, Ordering::Release);
    }
}

impl Counted {
    fn add(&mut self, sums: impl Iterator<Item = ServerStatsRow>, arrivals: &[Arrival]) {
        for sum in sums {
            match self.sums.get_mut(&sum.server) {
                None => {
                    self.sums.insert(sum.server.clone(), sum);
                }
                Some(known) => {
                    let good = |sum: &ServerStatsRow| sum.tries - sum.dropped;
                    let took = known.mean_latency_us * good(known) + sum.mean_latency_us * good(&sum);
                    known.tries += sum.tries;
                    known.dropped += sum.dropped;
                    known.mean_latency_us = took / good(known).max(1);
                    known.util = sum.util.or(known.util);
                    known.in_flight = sum.in_flight.or(known.in_flight);
                }
            }
        }
        self.arrivals.resize(self.arrivals.len().max(arrivals.len()), Arrival::default());
        for (known, arrival) in self.arrivals.iter_mut().zip(arrivals) {
            known.calls += arrival.calls;
            known.dropped += arrival.dropped;
        }
    }
}

/// Which worker a new client goes to: the one with the fewest, among those that lately did anything. One that
/// stands still is passed over, so that only the calls it already has wait for it.
pub fn least_busy(workers: &[(WorkerStatus, u64)], now: Moment, patience: Span) -> Option<usize> {
    let load = |(seen, handed): &(WorkerStatus, u64)| handed.saturating_sub(seen.taken) + seen.clients;
    let stands = |(seen, _): &(WorkerStatus, u64)| now.since(seen.beat) > patience;
    let open = workers.iter().enumerate().filter(|worker| !worker.1 .0.done);
    open.min_by_key(|worker| (stands(worker.1), load(worker.1))).map(|worker| worker.0)
}
