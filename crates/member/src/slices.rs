//! Probes by slice: who asks a server how it is, for all planners.
//!
//! Servers are sliced by zone and a hash of their address; each slice is a duty. What the module of any planner wants
//! asked goes to the holder, which asks once for all who want it and tells all what came. Whoever hears nothing asks for
//! itself, at a lower pace: doubt costs probes, never health.
//!
//! | state | input | next | effect |
//! | --- | --- | --- | --- |
//! | | wanted, seen by anybody a moment ago | | the module hears that |
//! | | wanted, slice is ours | | ask the server |
//! | | wanted, holder is linked | asked | to the holder |
//! | | wanted, nobody to ask | doubt, from the last own probe on | |
//! | asked | holder has it | taken | wait for what a probe may take, and a way |
//! | asked, taken | time is up | | ask the server |
//! | doubt | time is up | | ask the server |
//! | any | told under a number that is not older | | the module hears it |
//! | any | told under an older number | as it is | counted |

use crate::messages::{peer_message, ProbeAccepted, ProbeRequest, ProbeResult};
use pewtergap_control::ProbeOutcome;
use pewtergap_duty::Fence;
use pewtergap_time::{Moment, Span};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// A holder says so quickly that it takes a probe; else it is not there.
const TAKEN: Span = Span::millis(150);
/// On top of what a probe may take: the way of what came of it.
const WAY: Span = Span::millis(150);
/// Between two own probes of a server by one that has nobody to ask.
const DOUBT: Span = Span::millis(1_000);
/// What came of a probe is gone by instead of asking anew, for so long: by so much may a server's fall be seen later. With
/// 50 ms planners that ask at times of their own shared next to nothing (1.63 probes a server and second for 1.92).
const FRESH: Span = Span::millis(300);
/// Servers that are kept in mind; beyond, probes are asked here.
const MOST: usize = 100_000;

/// Utilization and calls in hand, where they were told.
pub type Loads = (Option<f64>, Option<f64>);

#[derive(Clone, Debug, PartialEq)]
pub enum Wants {
    /// Ask the server from here.
    Here(String),
    /// A word for the holder, by its disk's number.
    Tell(u64, peer_message::Kind),
    /// A word for all.
    TellAll(peer_message::Kind),
    /// What another saw.
    Heard { server: String, end: ProbeOutcome, load: Loads },
}

pub struct Slices {
    each: usize,
    within: Span,
    asked: BTreeMap<String, Moment>,
    own: BTreeMap<String, Moment>,
    last: BTreeMap<String, (Moment, ProbeOutcome, Loads)>,
    fence: Fence,
    pub doubts: u64,
}

/// The holder of a duty as far as the record says, and whether it is linked.
pub struct Holder {
    pub id: u64,
    pub linked: bool,
}

const ENDS: [ProbeOutcome; 5] = [
    ProbeOutcome::Answered,
    ProbeOutcome::Rejected,
    ProbeOutcome::Error,
    ProbeOutcome::TimedOut,
    ProbeOutcome::Unreachable,
];

pub fn probe_duty_names(zones: &[String], each: usize) -> Vec<String> {
    zones.iter().flat_map(|zone| (0..each).map(move |slice| format!("probe/{zone}/{slice}"))).collect()
}

impl Slices {
    pub fn new(each: usize, within: Span) -> Slices {
        let (asked, own, last) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Slices { each, within, asked, own, last, fence: Fence::default(), doubts: 0 }
    }

    pub fn duty(&self, zone: &str, server: &str) -> String {
        format!("probe/{zone}/{}", xxh3_64(server.as_bytes()) % self.each.max(1) as u64)
    }

    /// The module wants a server asked. `ours`: the number, where the slice is held here.
    pub fn wanted(
        &mut self,
        now: Moment,
        duty: String,
        server: String,
        ours: Option<u64>,
        holder: Holder,
    ) -> Option<Wants> {
        if let Some((_, end, load)) = self.last.get(&server).filter(|last| now.since(last.0) <= FRESH) {
            return Some(Wants::Heard { server, end: *end, load: *load });
        }
        if ours.is_some() || self.asked.len() >= MOST {
            return Some(Wants::Here(server));
        }
        if holder.linked {
            self.asked.insert(server.clone(), now + TAKEN);
            return Some(Wants::Tell(
                holder.id,
                peer_message::Kind::ProbeRequest(ProbeRequest { duty, server }),
            ));
        }
        self.doubts += 1;
        let from = self.own.get(&server).map_or(now, |last| (*last + DOUBT).max(now));
        self.asked.insert(server, from);
        None
    }

    /// Whose time is up is asked from here.
    pub fn tick(&mut self, now: Moment) -> Vec<Wants> {
        self.last.retain(|_, last| now.since(last.0) <= FRESH);
        self.own.retain(|_, own| now.since(*own) <= DOUBT);
        let late: Vec<String> =
            self.asked.iter().filter(|asked| *asked.1 <= now).map(|a| a.0.clone()).collect();
        late.iter().for_each(|server| {
            self.asked.remove(server);
            self.own.insert(server.clone(), now);
        });
        late.into_iter().map(Wants::Here).collect()
    }

    /// Another planner wants it asked, and the slice is ours.
    pub fn asked_for(&mut self, now: Moment, from: u64, asked: ProbeRequest, number: u64) -> Vec<Wants> {
        let (duty, server) = (asked.duty, asked.server);
        if let Some((at, end, load)) = self.last.get(&server).filter(|last| now.since(last.0) <= FRESH) {
            let told = probed(duty, server, number, *end, *load, now.since(*at));
            return vec![Wants::Tell(from, told)];
        }
        let taken = ProbeAccepted { duty, number, server: server.clone() };
        vec![Wants::Tell(from, peer_message::Kind::ProbeAccepted(taken)), Wants::Here(server)]
    }

    pub fn taken(&mut self, now: Moment, taken: &ProbeAccepted) {
        if self.fence.check(&taken.duty, taken.number).is_ok() {
            if let Some(asked) = self.asked.get_mut(&taken.server) {
                *asked = now + self.within + WAY;
            }
        }
    }

    pub fn told(&mut self, now: Moment, told: ProbeResult) -> Option<Wants> {
        self.fence.check(&told.duty, told.number).ok()?;
        self.asked.remove(&told.server);
        let end = *ENDS.get(told.outcome as usize)?;
        // What is no number says nothing.
        let number = |value: Option<f64>| value.filter(|value| value.is_finite());
        let load = (number(told.util), number(told.in_flight));
        if self.last.len() < MOST {
            let seen = now - Span::millis(told.age_ms.min(60_000));
            self.last.insert(told.server.clone(), (seen, end, load));
        }
        Some(Wants::Heard { server: told.server, end, load })
    }

    /// A probe from here has ended. `ours`: the number, where the slice is held here at this moment.
    pub fn ended(
        &mut self,
        now: Moment,
        duty: String,
        server: String,
        end: ProbeOutcome,
        load: Loads,
        ours: Option<u64>,
    ) -> Option<Wants> {
        self.asked.remove(&server);
        let number = ours?;
        self.last.insert(server.clone(), (now, end, load));
        Some(Wants::TellAll(probed(duty, server, number, end, load, Span(0))))
    }

    pub fn fenced(&self) -> u64 {
        self.fence.rejected
    }
}

fn probed(
    duty: String,
    server: String,
    number: u64,
    end: ProbeOutcome,
    load: Loads,
    age: Span,
) -> peer_message::Kind {
    let at = ENDS.iter().position(|known| *known == end).unwrap_or(0) as u32;
    let (util, in_hand) = load;
    peer_message::Kind::ProbeResult(ProbeResult {
        duty,
        number,
        server,
        outcome: at,
        util,
        in_flight: in_hand,
        age_ms: age.0 / 1_000_000,
    })
}
