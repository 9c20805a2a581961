//! What sharing costs and brings: words and work by number of planners, how soon a lost one is found at what loss, and days with
//! sharing off, on, and on but cut.

use crate::audit::facts;
use crate::day::{Struck, Trouble};
use crate::days;
use crate::record::{Kind, Row};
use crate::rehearse::{play, Play};
use pewtergap_counts::{LocalCounts, PeerCounts};
use pewtergap_evidence::Evidence;
use pewtergap_gossip::{Gossip, GossipConfig, MemberState, Message};
use pewtergap_member::sharing_messages::{CountsRequest, CountsResponse, EvidenceReport, GossipMessage};
use pewtergap_protocol::encode;
use pewtergap_time::{Moment, Span};
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::path::Path;
use std::time::Instant;

const EVERY: Span = Span::millis(500);
/// The kind in front of each word.
const HEAD: usize = 4;

#[derive(Debug, Serialize)]
pub struct Cost {
    pub planners: usize,
    pub servers: usize,
    pub bytes_a_second: f64,
    /// Reckoned before: at most so many.
    pub bound: f64,
    pub cpu_percent: f64,
}

/// The words of so many planners that tell each other of so many servers, all of which are busy and a tenth bad.
pub fn cost(planners: u64, servers: usize, seconds: u64, seed: u64) -> Cost {
    let mut rng = fastrand::Rng::with_seed(seed);
    let names: Vec<String> = (0..servers).map(|at| format!("10.0.{}.{}:8080", at / 250, at % 250)).collect();
    let mut own: Vec<LocalCounts> = (0..planners).map(|_| LocalCounts::new(1)).collect();
    let mut others: Vec<PeerCounts> = (0..planners).map(|_| PeerCounts::default()).collect();
    let mut evidence: Vec<Evidence> = (0..planners).map(|_| Evidence::new(1)).collect();
    let mut gossip: Vec<Gossip> = (0..planners)
        .map(|id| Gossip::new(Moment(0), id + 1, 1, GossipConfig::with_probe_interval(EVERY), seed + id))
        .collect();
    gossip.iter_mut().for_each(|gossip| gossip.set_members(Moment(0), 1..=planners));
    let (mut bytes, mut now) = (0, Moment(1));
    let (mut made, mut rounds) = (std::time::Duration::ZERO, 0);
    while now < Moment(1) + Span::millis(1_000 * seconds) {
        now = now + EVERY;
        rounds += 1;
        let met: Vec<(f64, f64)> = (0..planners as usize * servers)
            .map(|at| (10.0, if at % servers < servers / 10 { 8.0 } else { 0.0 }))
            .collect();
        let loads: Vec<f64> = (0..met.len()).map(|_| f64::from(rng.u32(0..400)) / 100.0).collect();
        let begun = Instant::now();
        for at in 0..planners as usize {
            for (server, name) in names.iter().enumerate() {
                own[at].set(&format!("work/{name}"), loads[at * servers + server]);
                let (tries, dropped) = met[at * servers + server];
                evidence[at].record_tries(now, name, tries, dropped);
            }
            let told = evidence[at].make_report(now);
            let length = encode(&EvidenceReport::from_peer_report(told.clone())).len() + HEAD;
            for to in (0..planners as usize).filter(|to| *to != at) {
                let Some(ask) = others[at].request_report(now, to as u64) else { continue };
                bytes += encode(&CountsRequest::from_request(ask)).len() + HEAD;
                if let Some(part) = own[to].make_report(at as u64, ask) {
                    bytes += encode(&CountsResponse::from_report(part.clone())).len() + HEAD;
                    others[at].receive(now, to as u64, &part);
                }
                bytes += length;
                evidence[to].receive_report(now, at as u64, &told);
            }
        }
        // Gossip looks more often than once a period.
        for _ in 0..5 {
            let mut ways: Vec<(u64, u64, Message)> = Vec::new();
            for gossip in &mut gossip {
                gossip.tick(now);
            }
            loop {
                for (at, gossip) in gossip.iter_mut().enumerate() {
                    ways.extend(
                        gossip.take_messages().into_iter().map(|(to, message)| (at as u64 + 1, to, message)),
                    );
                }
                if ways.is_empty() {
                    break;
                }
                for (from, to, message) in std::mem::take(&mut ways) {
                    bytes += encode(&GossipMessage::from_gossip(&message)).len() + HEAD;
                    gossip[to as usize - 1].receive(now, from, &message);
                }
            }
        }
        made += begun.elapsed();
    }
    let lasts = EVERY.seconds() * f64::from(rounds);
    // A part of all rows, evidence on a tenth of the servers and both questions to each other planner in each round; a few
    // messages of gossip, full of news.
    let row = 24.0 + 3.0 * 9.0 + 8.0;
    let each = row * servers as f64 + 50.0 * servers as f64 / 10.0 + 60.0;
    let bound = ((planners - 1) as f64 * each + 12.0 * 40.0 * 7.0) / EVERY.seconds();
    Cost {
        planners: planners as usize,
        servers,
        bytes_a_second: bytes as f64 / planners as f64 / lasts,
        bound,
        cpu_percent: made.as_secs_f64() / planners as f64 / lasts * 100.0,
    }
}

#[derive(Debug, Serialize)]
pub struct Found {
    pub planners: u64,
    pub loss: f64,
    /// From the end of one until the first and until all others hold it for gone, in seconds; p50 and worst over the rounds.
    pub first_p50_s: f64,
    pub all_p50_s: f64,
    pub all_worst_s: f64,
    /// Members that lived and were held for gone by somebody, by hour of all members together.
    pub wrong_an_hour: f64,
}

/// One is lost again and again under seeded delivery.
pub fn found(planners: u64, loss: f64, rounds: u64) -> Found {
    let (mut first, mut all, mut wrong, mut hours) = (Vec::new(), Vec::new(), 0, 0.0);
    for round in 0..rounds {
        let mut rng = fastrand::Rng::with_seed(round * 7 + planners);
        let one = |id: u64| {
            let mut gossip =
                Gossip::new(Moment(0), id, 1, GossipConfig::with_probe_interval(EVERY), round * 1_000 + id);
            gossip.set_members(Moment(0), 1..=planners);
            (id, gossip)
        };
        let mut members: BTreeMap<u64, Gossip> = (1..=planners).map(one).collect();
        let mut ways: BinaryHeap<Reverse<(Moment, u64, u64, u64)>> = BinaryHeap::new();
        let mut messages: HashMap<u64, Message> = HashMap::new();
        let (mut now, mut sent) = (Moment(0), 0);
        let (lost_at, most) = (Moment(0) + Span::millis(20_000), Span::millis(120_000));
        let mut held: BTreeMap<(u64, u64), bool> = BTreeMap::new();
        let (mut first_at, mut all_at) = (None, None);
        while now < lost_at + most && all_at.is_none() {
            now = now + Span::millis(10);
            let mut turn: Vec<u64> = members.keys().copied().filter(|id| *id != 1 || now < lost_at).collect();
            while ways.peek().is_some_and(|way| way.0 .0 <= now) {
                let Some(Reverse((_, number, from, to))) = ways.pop() else { break };
                let Some(message) = messages.remove(&number) else { continue };
                if let Some(gossip) = members.get_mut(&to).filter(|_| to != 1 || now < lost_at) {
                    gossip.receive(now, from, &message);
                    turn.push(to);
                }
            }
            for id in turn {
                let Some(gossip) = members.get_mut(&id) else { continue };
                gossip.tick(now);
                for (to, message) in gossip.take_messages() {
                    if rng.f64() >= loss {
                        sent += 1;
                        ways.push(Reverse((now + Span::millis(rng.u64(1..20)), sent, id, to)));
                        messages.insert(sent, message);
                    }
                }
            }
            let mut gone = 0;
            for (by, gossip) in members.iter().filter(|member| *member.0 != 1) {
                for whom in (1..=planners).filter(|whom| whom != by) {
                    let is = gossip.status(now, whom).is_some_and(|known| known.0 == MemberState::Gone);
                    let was = std::mem::replace(held.entry((*by, whom)).or_default(), is);
                    let lives = whom != 1 || now < lost_at;
                    wrong += usize::from(is && !was && lives);
                    gone += u64::from(is && whom == 1);
                }
            }
            if now >= lost_at && gone > 0 && first_at.is_none() {
                first_at = Some(now.since(lost_at).seconds());
            }
            if now >= lost_at && gone == planners - 1 {
                all_at = Some(now.since(lost_at).seconds());
            }
        }
        hours += now.since(Moment(0)).seconds() * planners as f64 / 3_600.0;
        first.push(first_at.unwrap_or(most.seconds()));
        all.push(all_at.unwrap_or(most.seconds()));
    }
    first.sort_by(f64::total_cmp);
    all.sort_by(f64::total_cmp);
    let middle = |all: &[f64]| all[all.len() / 2];
    Found {
        planners,
        loss,
        first_p50_s: middle(&first),
        all_p50_s: middle(&all),
        all_worst_s: all[all.len() - 1],
        wrong_an_hour: wrong as f64 / hours,
    }
}

/// How planners share on a day.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Sharing {
    Off,
    On,
    /// For the middle third of the day nobody hears anybody.
    Cut,
}

#[derive(Debug, Serialize)]
pub struct Shared {
    pub day: String,
    pub sharing: Sharing,
    pub seed: u64,
    pub served: f64,
    pub broken: Vec<String>,
    /// Calls sent to servers while they were cold; the highest part of what would push one over.
    pub tries_cold: usize,
    pub worst_cold: f64,
    /// From a server's start until it has had half of its even part of a second's calls; mean over starts, in seconds.
    pub half_of_its_part_s: f64,
    /// Part of the calls that went to servers while these were made slow.
    pub to_bad: f64,
    /// Calls sent to servers while they were silent, and when each was sent its last, in seconds after it fell silent.
    pub to_silent: usize,
    pub sent_last_s: Vec<f64>,
    pub probes: usize,
    pub mean_width: f64,
}

pub fn shared(
    program: &Path,
    dir: &Path,
    name: &str,
    planners: usize,
    sharing: Sharing,
    seed: u64,
) -> Result<Shared, String> {
    let _ = std::fs::remove_dir_all(dir);
    let mut day = days::built_in(name).ok_or("there is no such day")?.map_err(|faults| faults.to_string())?;
    (day.planners, day.sharing, day.lasts) = (planners, sharing != Sharing::Off, Span::millis(18_000));
    if sharing == Sharing::Cut {
        let (at, lasts) = (Span::millis(6_000), Span::millis(6_000));
        let like = day.troubles.first().cloned().ok_or("the day has no trouble")?;
        day.troubles.push(Trouble { kind: Struck::MajorityLost, at, lasts, ..like });
    }
    let play_it = Play {
        day: &day,
        seed,
        program,
        dir: dir.to_path_buf(),
        planners_off: false,
        plant: None,
        progress: &|_: &str| {},
    };
    let came = play(&play_it)?;
    let facts = facts(&came.rows)?;
    let mut starts: HashMap<String, (i64, f64)> = HashMap::new();
    let (mut tries_cold, mut slow): (usize, HashMap<String, bool>) = (0, HashMap::new());
    let mut sent: HashMap<String, Vec<i64>> = HashMap::new();
    let (mut to_bad, mut all) = (0usize, 0usize);
    let mut took: Vec<f64> = Vec::new();
    let mut rates: HashMap<String, f64> = HashMap::new();
    for row in &came.rows {
        match row.kind {
            Kind::Capacity => {
                let known = rates.insert(row.from.clone(), row.x);
                slow.insert(row.from.clone(), known.is_some_and(|known| row.x < 0.6 * known));
                if slow[&row.from] {
                    rates.insert(row.from.clone(), known.unwrap_or(row.x));
                }
                if row.m > facts.started && starts.get(&row.from).is_none_or(|start| start.0 != row.m) {
                    starts.insert(row.from.clone(), (row.m, 0.0));
                    sent.remove(&row.from);
                }
            }
            Kind::Sent => {
                all += 1;
                to_bad += usize::from(slow.get(&row.to).copied().unwrap_or(false));
                let Some((start, done)) = starts.get_mut(&row.to) else { continue };
                tries_cold += usize::from(row.at - *start < facts.cold_for);
                let times = sent.entry(row.to.clone()).or_default();
                times.push(row.at);
                times.retain(|at| row.at - at < 1_000_000_000);
                let even = day.calls_per_s / day.slots.len() as f64;
                if *done == 0.0 && times.len() as f64 >= even / 2.0 {
                    *done = (row.at - *start) as f64 / 1e9;
                    took.push(*done);
                }
            }
            _ => {}
        }
    }
    let (sent_last_s, to_silent) = crate::probing::to_silent(&day, seed, &came.rows)?;
    let probes = came.rows.iter().filter(|row: &&Row| row.kind == Kind::Probed).count();
    Ok(Shared {
        day: name.into(),
        sharing,
        seed,
        served: came.service.served,
        broken: came.audit.breaches.iter().map(ToString::to_string).collect(),
        tries_cold,
        worst_cold: came.audit.looked.worst_cold,
        half_of_its_part_s: took.iter().sum::<f64>() / took.len().max(1) as f64,
        to_bad: to_bad as f64 / all.max(1) as f64,
        to_silent,
        sent_last_s,
        probes,
        mean_width: came.audit.looked.mean_width,
    })
}
