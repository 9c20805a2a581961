//! Selects the machine that a planner watches. Rendezvous hashing (Thaler and Ravishankar 1998) spreads the
//! planners of a lost machine over all others; backoff with full jitter keeps them from reconnecting at the
//! same moment.
//!
//! Each machine has its own backoff, and one that rejects it is not retried before the time it named. In
//! addition, any two dials are separated by a jittered pause that grows while none succeeds, so that a
//! planner that is rejected everywhere doesn't cycle through the machines.

use pewtergap_time::{Moment, Span};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// Pauses are drawn between zero and this value, which doubles with each consecutive failure up to
/// `MAX_BACKOFF`.
const FIRST_BACKOFF: Span = Span::millis(200);
const MAX_BACKOFF: Span = Span::millis(8_000);

#[derive(Clone, Debug)]
struct Machine {
    name: String,
    address: SocketAddr,
    not_before: Moment,
    failures: u32,
}

pub struct MachineSelector {
    /// In order of preference.
    machines: Vec<Machine>,
    /// Failed dials and lost watches since a watch last counted as stable.
    failures: u32,
    not_before: Moment,
    rng: fastrand::Rng,
}

/// Rendezvous weight of a machine for a planner; the highest is preferred.
pub fn rendezvous_weight(planner: &str, machine: &str) -> u64 {
    let bytes: Vec<u8> = [planner.as_bytes(), &[0], machine.as_bytes()].concat();
    xxh3_64(&bytes)
}

fn max_pause(first: Span, failures: u32) -> Span {
    Span((first.0 << failures.min(16)).min(MAX_BACKOFF.0))
}

impl MachineSelector {
    pub fn new(planner: &str, machines: Vec<(String, SocketAddr)>, seed: u64) -> MachineSelector {
        let mut machines: Vec<Machine> = machines
            .into_iter()
            .map(|(name, address)| Machine { name, address, not_before: Moment(0), failures: 0 })
            .collect();
        machines.sort_by_key(|machine| std::cmp::Reverse(rendezvous_weight(planner, &machine.name)));
        let rng = fastrand::Rng::with_seed(seed);
        MachineSelector { machines, failures: 0, not_before: Moment(0), rng }
    }

    fn jitter(&mut self, max: Span) -> Span {
        Span(self.rng.u64(0..=max.0))
    }

    /// The machine to dial now, or the time to ask again. `None` if there are no machines.
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

    /// Machine names in this planner's order of preference.
    pub fn by_preference(&self) -> impl Iterator<Item = &str> {
        self.machines.iter().map(|machine| machine.name.as_str())
    }

    pub fn delay_first_dial(&mut self, now: Moment) {
        self.not_before = now + self.jitter(FIRST_BACKOFF);
    }

    /// A watch ended or could not be established. `retry_after` is the delay that the machine asked for.
    pub fn record_failure(&mut self, now: Moment, at: usize, retry_after: Option<Span>) {
        let pause = self.jitter(max_pause(FIRST_BACKOFF, self.failures));
        self.not_before = now + pause;
        self.failures += 1;
        let Some(machine) = self.machines.get_mut(at) else { return };
        machine.failures += 1;
        let failures = machine.failures;
        let own = match retry_after {
            Some(retry_after) => retry_after,
            // The machine was just lost, so others are tried first.
            None => FIRST_BACKOFF + self.jitter(max_pause(FIRST_BACKOFF + FIRST_BACKOFF, failures)),
        };
        if let Some(machine) = self.machines.get_mut(at) {
            machine.not_before = now + own;
        }
    }

    /// A watch has been up for long enough to reset the backoff.
    pub fn record_success(&mut self, at: usize) {
        self.failures = 0;
        if let Some(machine) = self.machines.get_mut(at) {
            machine.failures = 0;
        }
    }
}
