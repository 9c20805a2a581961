//! Probe slices: which planner probes a server on behalf of all.
//!
//! Servers are divided into slices by zone and a hash of the address; each slice is a duty. A probe that any
//! planner's service requests goes to the slice's holder, which probes once for all that requested it and
//! broadcasts the result. A planner that gets no result probes the server itself, at a lower rate, so a failed
//! holder costs extra probes and does not affect health decisions.
//!
//! | state | input | next | effect |
//! | --- | --- | --- | --- |
//! | | requested, a recent result is known | | deliver that result |
//! | | requested, slice held here | | probe the server |
//! | | requested, holder connected | requested | send the request to the holder |
//! | | requested, no holder connected | fallback, due after the last own probe | |
//! | requested | accepted by the holder | accepted | wait for the probe timeout and the transit time |
//! | requested, accepted | deadline | | probe the server |
//! | fallback | deadline | | probe the server |
//! | any | result under a current token | | deliver the result |
//! | any | result under an older token | unchanged | counted |

use crate::messages::{peer_message::Kind, ProbeAccepted, ProbeRequest, ProbeResult};
use pewtergap_control::ProbeOutcome;
use pewtergap_duty::Fence;
use pewtergap_time::{Moment, Span};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// A holder accepts a probe request within this time, or is taken to be gone.
const ACCEPT_TIMEOUT: Span = Span::millis(150);
/// Added to the probe timeout: the time for the result to arrive.
const TRANSIT_TIME: Span = Span::millis(150);
/// Minimum interval between own probes of a server while no holder is connected.
const FALLBACK_INTERVAL: Span = Span::millis(1_000);
/// A result this recent is used instead of a new probe; a server's failure may be detected later by this
/// much. With 50 ms, planners that probe at different times shared almost nothing (1.63 probes per server and
/// second instead of 1.92).
const RESULT_MAX_AGE: Span = Span::millis(300);
/// Servers tracked; beyond this, servers are probed locally.
const MAX_TRACKED: usize = 100_000;

/// Utilization and calls in flight, where reported.
pub type Loads = (Option<f64>, Option<f64>);

#[derive(Clone, Debug, PartialEq)]
pub enum ProbeAction {
    /// Probe the server from here.
    ProbeLocally(String),
    /// Send a message to the holder with this disk id.
    Send(u64, Kind),
    /// Broadcast a message to all members.
    Broadcast(Kind),
    /// Deliver the result of another planner's probe.
    Deliver { server: String, outcome: ProbeOutcome, load: Loads },
}

pub struct ProbeSlices {
    per_zone: usize,
    probe_timeout: Span,
    deadlines: BTreeMap<String, Moment>,
    local_probes: BTreeMap<String, Moment>,
    recent: BTreeMap<String, (Moment, ProbeOutcome, Loads)>,
    fence: Fence,
    pub fallbacks: u64,
}

/// The holder of a duty according to the record, and whether it is connected.
pub struct Holder {
    pub id: u64,
    pub connected: bool,
}

const OUTCOMES: [ProbeOutcome; 5] = [
    ProbeOutcome::Answered,
    ProbeOutcome::Rejected,
    ProbeOutcome::Error,
    ProbeOutcome::TimedOut,
    ProbeOutcome::Unreachable,
];

pub fn probe_duty_names(zones: &[String], per_zone: usize) -> Vec<String> {
    zones.iter().flat_map(|zone| (0..per_zone).map(move |slice| format!("probe/{zone}/{slice}"))).collect()
}

impl ProbeSlices {
    pub fn new(per_zone: usize, probe_timeout: Span) -> ProbeSlices {
        let (deadlines, local_probes, recent) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        ProbeSlices {
            per_zone,
            probe_timeout,
            deadlines,
            local_probes,
            recent,
            fence: Fence::default(),
            fallbacks: 0,
        }
    }

    pub fn duty_name(&self, zone: &str, server: &str) -> String {
        format!("probe/{zone}/{}", xxh3_64(server.as_bytes()) % self.per_zone.max(1) as u64)
    }

    /// The service requests a probe. `ours` is the fencing token if the slice is held here.
    pub fn request(
        &mut self,
        now: Moment,
        duty: String,
        server: String,
        ours: Option<u64>,
        holder: Holder,
    ) -> Option<ProbeAction> {
        if let Some((_, outcome, load)) =
            self.recent.get(&server).filter(|known| now.since(known.0) <= RESULT_MAX_AGE)
        {
            return Some(ProbeAction::Deliver { server, outcome: *outcome, load: *load });
        }
        if ours.is_some() || self.deadlines.len() >= MAX_TRACKED {
            return Some(ProbeAction::ProbeLocally(server));
        }
        if holder.connected {
            self.deadlines.insert(server.clone(), now + ACCEPT_TIMEOUT);
            return Some(ProbeAction::Send(holder.id, Kind::ProbeRequest(ProbeRequest { duty, server })));
        }
        self.fallbacks += 1;
        let deadline =
            self.local_probes.get(&server).map_or(now, |last| (*last + FALLBACK_INTERVAL).max(now));
        self.deadlines.insert(server, deadline);
        None
    }

    /// Probes the servers whose deadline has passed.
    pub fn tick(&mut self, now: Moment) -> Vec<ProbeAction> {
        self.recent.retain(|_, known| now.since(known.0) <= RESULT_MAX_AGE);
        self.local_probes.retain(|_, last| now.since(*last) <= FALLBACK_INTERVAL);
        let expired: Vec<String> =
            self.deadlines.iter().filter(|entry| *entry.1 <= now).map(|entry| entry.0.clone()).collect();
        expired.iter().for_each(|server| {
            self.deadlines.remove(server);
            self.local_probes.insert(server.clone(), now);
        });
        expired.into_iter().map(ProbeAction::ProbeLocally).collect()
    }

    /// Another planner requests a probe of a slice held here.
    pub fn on_request(
        &mut self,
        now: Moment,
        from: u64,
        request: ProbeRequest,
        fencing_token: u64,
    ) -> Vec<ProbeAction> {
        let (duty, server) = (request.duty, request.server);
        if let Some((received_at, outcome, load)) =
            self.recent.get(&server).filter(|known| now.since(known.0) <= RESULT_MAX_AGE)
        {
            let message =
                result_message(duty, server, fencing_token, *outcome, *load, now.since(*received_at));
            return vec![ProbeAction::Send(from, message)];
        }
        let accepted = ProbeAccepted { duty, fencing_token, server: server.clone() };
        vec![ProbeAction::Send(from, Kind::ProbeAccepted(accepted)), ProbeAction::ProbeLocally(server)]
    }

    pub fn on_accepted(&mut self, now: Moment, accepted: &ProbeAccepted) {
        if self.fence.check(&accepted.duty, accepted.fencing_token).is_ok() {
            if let Some(deadline) = self.deadlines.get_mut(&accepted.server) {
                *deadline = now + self.probe_timeout + TRANSIT_TIME;
            }
        }
    }

    pub fn on_result(&mut self, now: Moment, result: ProbeResult) -> Option<ProbeAction> {
        self.fence.check(&result.duty, result.fencing_token).ok()?;
        self.deadlines.remove(&result.server);
        let outcome = *OUTCOMES.get(result.outcome as usize)?;
        // A load that is not finite is ignored.
        let finite = |value: Option<f64>| value.filter(|value| value.is_finite());
        let load = (finite(result.util), finite(result.in_flight));
        if self.recent.len() < MAX_TRACKED {
            let probed_at = now - Span::millis(result.age_ms.min(60_000));
            self.recent.insert(result.server.clone(), (probed_at, outcome, load));
        }
        Some(ProbeAction::Deliver { server: result.server, outcome, load })
    }

    /// A local probe has ended. `ours` is the fencing token if the slice is held here at this moment.
    pub fn on_local_result(
        &mut self,
        now: Moment,
        duty: String,
        server: String,
        outcome: ProbeOutcome,
        load: Loads,
        ours: Option<u64>,
    ) -> Option<ProbeAction> {
        self.deadlines.remove(&server);
        let fencing_token = ours?;
        self.recent.insert(server.clone(), (now, outcome, load));
        Some(ProbeAction::Broadcast(result_message(duty, server, fencing_token, outcome, load, Span(0))))
    }

    pub fn rejected_results(&self) -> u64 {
        self.fence.rejected
    }
}

fn result_message(
    duty: String,
    server: String,
    fencing_token: u64,
    outcome: ProbeOutcome,
    load: Loads,
    age: Span,
) -> Kind {
    let code = OUTCOMES.iter().position(|known| *known == outcome).unwrap_or(0) as u32;
    let (util, in_flight) = load;
    Kind::ProbeResult(ProbeResult {
        duty,
        fencing_token,
        server,
        outcome: code,
        util,
        in_flight,
        age_ms: age.0 / 1_000_000,
    })
}
