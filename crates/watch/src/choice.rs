//! Which machine a planner watches at: by rendezvous hashing (Thaler and Ravishankar 1998), so that a lost machine's
//! planners spread over all others, and back-off with full jitter, so that they don't come at one instant.
//!
//! Each machine has its own back-off: one that refuses is left alone for as long as it says. Beside it any two dials lie a
//! jittered pause apart, growing while none succeeds, so that a planner whom nobody takes in does not go round and round.

use pewtergap_time::{Moment, Span};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// Pauses are drawn from nothing to this, doubled with each failure in a row.
const FIRST: Span = Span::millis(200);
const MOST: Span = Span::millis(8_000);

#[derive(Clone, Debug)]
struct Machine {
    name: String,
    address: SocketAddr,
    not_before: Moment,
    failures: u32,
}

pub struct Choice {
    /// First choice first.
    machines: Vec<Machine>,
    /// Dials since a watch stood for long.
    failures: u32,
    not_before: Moment,
    rng: fastrand::Rng,
}

/// What a machine is worth to a planner: the highest is its first choice.
pub fn worth(planner: &str, machine: &str) -> u64 {
    let bytes: Vec<u8> = [planner.as_bytes(), &[0], machine.as_bytes()].concat();
    xxh3_64(&bytes)
}

fn most(first: Span, failures: u32) -> Span {
    Span((first.0 << failures.min(16)).min(MOST.0))
}

impl Choice {
    pub fn new(planner: &str, machines: Vec<(String, SocketAddr)>, seed: u64) -> Choice {
        let mut machines: Vec<Machine> = machines
            .into_iter()
            .map(|(name, address)| Machine { name, address, not_before: Moment(0), failures: 0 })
            .collect();
        machines.sort_by_key(|machine| std::cmp::Reverse(worth(planner, &machine.name)));
        let rng = fastrand::Rng::with_seed(seed);
        Choice { machines, failures: 0, not_before: Moment(0), rng }
    }

    fn jitter(&mut self, most: Span) -> Span {
        Span(self.rng.u64(0..=most.0))
    }

    /// Whom to dial now, or when to ask again; None: there is nobody.
    pub fn next(&self, now: Moment) -> Option<Result<usize, Moment>> {
        let first = self.machines.iter().map(|machine| machine.not_before).min()?;
        let when = first.max(self.not_before);
        if when > now {
            return Some(Err(when));
        }
        self.machines.iter().position(|machine| machine.not_before <= now).map(Ok)
    }

    pub fn address(&self, at: usize) -> Option<SocketAddr> {
        self.machines.get(at).map(|machine| machine.address)
    }

    pub fn name(&self, at: usize) -> &str {
        self.machines.get(at).map_or("", |machine| &machine.name)
    }

    /// The planner's choices, the first one first.
    pub fn order(&self) -> impl Iterator<Item = &str> {
        self.machines.iter().map(|machine| machine.name.as_str())
    }

    pub fn started(&mut self, now: Moment) {
        self.not_before = now + self.jitter(FIRST);
    }

    /// A watch is over, or did not come about; `again`: the machine said when it may be tried.
    pub fn over(&mut self, now: Moment, at: usize, again: Option<Span>) {
        let pause = self.jitter(most(FIRST, self.failures));
        self.not_before = now + pause;
        self.failures += 1;
        let Some(machine) = self.machines.get_mut(at) else { return };
        machine.failures += 1;
        let failures = machine.failures;
        let own = match again {
            Some(again) => again,
            // Elsewhere first: it has just been lost.
            None => FIRST + self.jitter(most(FIRST + FIRST, failures)),
        };
        if let Some(machine) = self.machines.get_mut(at) {
            machine.not_before = now + own;
        }
    }

    /// A watch has stood for long enough that its end, if it comes, is news.
    pub fn stands(&mut self, at: usize) {
        self.failures = 0;
        if let Some(machine) = self.machines.get_mut(at) {
            machine.failures = 0;
        }
    }
}
