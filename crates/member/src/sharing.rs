//! What planners share, at one of them: it says what it sees, hears what others see, and makes hints for its module of it.
//! What is not heard is left to the module's own guess. Nothing here waits for anybody.

use crate::messages::peer_message;
use crate::sharing_messages::{CountsRequest, CountsResponse, EvidenceReport, GossipMessage};
use pewtergap_control::{PeerHint, Service};
use pewtergap_counts::{CountEstimate, LocalCounts, PeerCounts};
use pewtergap_evidence::Evidence;
use pewtergap_gossip::{Gossip, GossipConfig, MemberState};
use pewtergap_raft::Id;
use pewtergap_record::{CallUsage, MAX_USAGE_ROWS};
use pewtergap_shares::BudgetConfig;
use pewtergap_time::{Moment, Span};
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// How often counts and evidence are told, how old a count may be that is gone by, and the terms of budgets.
#[derive(Clone, Copy, Debug)]
pub struct SharingConfig {
    pub interval: Span,
    pub max_age: Span,
    pub budget: BudgetConfig,
    /// Proxies of the whole fleet, and streams that one planner takes at most.
    pub proxies: f64,
    pub max_streams: f64,
}

/// Of what all may bring cold servers.
pub const COLD_BUDGET: &str = "cold";
/// An answer that has not come by so many times `every` does not come.
const LATE: f64 = 6.0;
/// Calls under way are told of the servers that have most.
const MOST_WORKED: usize = 256;
/// A rate elsewhere that differs by less is no news for the module.
const NEWS: f64 = 0.02;

pub enum Wants {
    Tell(Id, peer_message::Kind),
    TellAll(peer_message::Kind),
    Hint(PeerHint),
    /// What is believed of a member has changed.
    Heard(Id, &'static str),
}

/// Who this is, by disk and start, and who else belongs and shares, by name.
pub struct Seats {
    pub own: (Id, u64),
    pub name: String,
    pub others: BTreeMap<Id, String>,
}

pub struct Sharing {
    shares: SharingConfig,
    of: (Id, u64),
    name: String,
    others_names: BTreeMap<Id, String>,
    gossip: Gossip,
    own: LocalCounts,
    /// Our own counts among them, as we tell them: a read needs what they were, not only what they are.
    others: PeerCounts,
    evidence: Evidence,
    told_at: Moment,
    looked: Moment,
    elsewhere: Option<f64>,
    believed: BTreeMap<Id, MemberState>,
    /// By planner: its start, tries and drops as last told; and what came of all together.
    tried_by: BTreeMap<Id, (u64, f64, f64)>,
    tried: (f64, f64),
    seed: u64,
}

fn said(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Gone => "gone",
    }
}

impl Sharing {
    pub fn new(shares: SharingConfig, seed: u64) -> Sharing {
        Sharing {
            shares,
            of: (0, 0),
            name: String::new(),
            others_names: BTreeMap::new(),
            gossip: Gossip::new(Moment(0), 0, 0, GossipConfig::with_probe_interval(shares.interval), seed),
            own: LocalCounts::new(0),
            others: PeerCounts::default(),
            evidence: Evidence::new(0),
            told_at: Moment(0),
            looked: Moment(0),
            elsewhere: None,
            believed: BTreeMap::new(),
            tried_by: BTreeMap::new(),
            tried: (0.0, 0.0),
            seed,
        }
    }

    /// A way to a member broke: what was asked of it does not come.
    pub fn lost(&mut self, of: Id) {
        self.others.cancel_request(of);
    }

    /// Another disk or start is another member: what it told as the one before is not ours to go on with.
    fn become_one(&mut self, now: Moment, seats: &Seats) {
        if self.of != seats.own {
            let (id, start) = seats.own;
            // Above whatever an earlier start of this disk may have answered suspicions with.
            self.gossip = Gossip::new(
                now,
                id,
                start << 20,
                GossipConfig::with_probe_interval(self.shares.interval),
                self.seed ^ id,
            );
            (self.own, self.evidence) = (LocalCounts::new(start), Evidence::new(start));
            self.others = PeerCounts::default();
            (self.of, self.name) = (seats.own, seats.name.clone());
            self.others_names.clear();
        }
        if self.others_names != seats.others || self.others_names.is_empty() {
            self.others_names = seats.others.clone();
            let ids: Vec<Id> = self.others_names.keys().copied().collect();
            self.gossip.set_members(now, ids.iter().copied());
            let all = [ids.as_slice(), &[self.of.0]].concat();
            self.others.set_members(&all);
            self.own.set_members(&all);
            self.evidence.set_members(&ids);
            self.believed.retain(|id, _| ids.contains(id));
        }
    }

    pub fn hear(&mut self, now: Moment, from: Id, kind: peer_message::Kind) -> Vec<Wants> {
        let mut wants = Vec::new();
        match kind {
            peer_message::Kind::Gossip(gossiped) => {
                if let Some(message) = gossiped.to_gossip() {
                    self.gossip.receive(now, from, &message);
                    self.post(&mut wants);
                }
            }
            peer_message::Kind::CountsRequest(ask) if self.others_names.contains_key(&from) => {
                let part = self.own.make_report(from, ask.to_request());
                wants.extend(part.map(|part| {
                    Wants::Tell(from, peer_message::Kind::CountsResponse(CountsResponse::from_report(part)))
                }));
            }
            peer_message::Kind::CountsResponse(c) => drop(self.others.receive(now, from, &c.into_report())),
            peer_message::Kind::Evidence(told) if self.others_names.contains_key(&from) => {
                self.evidence.receive_report(now, from, &told.into_peer_report());
            }
            _ => {}
        }
        wants
    }

    fn post(&mut self, wants: &mut Vec<Wants>) {
        let out = self.gossip.take_messages();
        wants.extend(
            out.iter()
                .map(|(to, m)| Wants::Tell(*to, peer_message::Kind::Gossip(GossipMessage::from_gossip(m)))),
        );
    }

    /// What passed here since the last look, into our own counts.
    fn count(&mut self, now: Moment, service: &mut Service) {
        let (joined, rate) = service.joined_proxies();
        self.own.set("joined", joined as f64);
        self.own.set("rate", rate);
        let (tries, dropped) = service.try_counts();
        self.own.set("tries", tries as f64);
        self.own.set("dropped", dropped as f64);
        let by: Vec<(usize, usize, u64)> = service.traffic.calls_by_route_and_zone().collect();
        for (route, zone, calls) in by {
            let key = format!("calls/{}/{}", service.routes()[route], service.zones()[zone]);
            self.own.set(&key, calls as f64);
        }
        let span = now.since(self.looked).seconds().max(1e-3);
        self.looked = now;
        let mut work: Vec<(String, f64)> = Vec::new();
        for (server, met) in service.traffic.take_server_totals() {
            self.evidence.record_tries(now, &server, met.tries, met.dropped);
            work.push((format!("work/{server}"), (met.total_seconds / span * 100.0).round() / 100.0));
        }
        work.sort_by(|a, b| b.1.total_cmp(&a.1));
        work.truncate(MOST_WORKED);
        self.own.set_group("work/", &work.into_iter().filter(|work| work.1 > 0.0).collect());
    }

    /// Every now and then: says, asks, and makes hints.
    pub fn look(&mut self, now: Moment, seats: &Seats, service: &mut Service) -> Vec<Wants> {
        self.become_one(now, seats);
        let mut wants = Vec::new();
        self.gossip.tick(now);
        self.post(&mut wants);
        for id in self.others_names.keys() {
            let Some((state, _)) = self.gossip.status(now, *id) else { continue };
            let before = self.believed.insert(*id, state).unwrap_or(MemberState::Alive);
            wants.extend((before != state).then(|| Wants::Heard(*id, said(state))));
        }
        if now.since(self.told_at) < self.shares.interval {
            return wants;
        }
        self.told_at = now;
        self.count(now, service);
        self.add_tries();
        self.others.expire_requests(now, self.shares.interval.times(LATE));
        for id in self.others_names.keys() {
            let ask = self.others.request_report(now, *id);
            wants.extend(ask.map(|ask| {
                Wants::Tell(*id, peer_message::Kind::CountsRequest(CountsRequest::from_request(ask)))
            }));
        }
        let own = self.of.0;
        if let Some(part) =
            self.others.request_report(now, own).and_then(|ask| self.own.make_report(own, ask))
        {
            self.others.receive(now, own, &part);
        }
        if !self.others_names.is_empty() {
            wants.push(Wants::TellAll(peer_message::Kind::Evidence(EvidenceReport::from_peer_report(
                self.evidence.make_report(now),
            ))));
        }
        let elsewhere = self.elsewhere(now);
        let near = |a: f64, b: f64| (a - b).abs() <= NEWS * b.max(1e-9);
        if !matches!((elsewhere, self.elsewhere), (Some(a), Some(b)) if near(a, b))
            && elsewhere != self.elsewhere
        {
            self.elsewhere = elsewhere;
            wants.push(Wants::Hint(PeerHint::OtherPlannersRate(elsewhere)));
        }
        let zones = service.zone_weights();
        let listed = |at: &str| service.endpoint(at).map(|known| (known.zone.clone(), known.weight));
        let says = self.evidence.evaluate(now, listed, &zones);
        wants.extend(
            says.weight_reductions
                .into_iter()
                .map(|(at, part)| Wants::Hint(PeerHint::ReduceWeight(at, part))),
        );
        wants.extend(says.probe.into_iter().map(|at| Wants::Hint(PeerHint::Probe(at))));
        wants
    }

    fn fresh(&self, now: Moment, id: Id) -> bool {
        self.others.age(now, id).is_some_and(|age| age <= self.shares.max_age)
    }

    /// Calls per second at all others: as told by those that are heard; the proxies that nobody told of count as average.
    /// None where nobody is heard: that is the module's own guess, better than one of ours.
    fn elsewhere(&self, now: Moment) -> Option<f64> {
        let heard: Vec<Id> = self.others_names.keys().copied().filter(|id| self.fresh(now, *id)).collect();
        if heard.is_empty() {
            return None;
        }
        let sum = |key: &str| heard.iter().map(|id| self.others.value(*id, key)).sum::<f64>();
        let (there, rates) = (sum("joined"), sum("rate"));
        let (here, own) = (self.own.value("joined"), self.own.value("rate"));
        let mean = (own + rates) / (here + there).max(1.0);
        // Proxies on their way from one planner to another are for a moment told of by both.
        let room = (self.shares.proxies - here).max(0.0);
        let told = if there > room { rates * room / there } else { rates };
        Some(told + (room - there).max(0.0) * mean)
    }

    /// What each that belongs asks for, as far as that is known.
    pub fn demands(&self, now: Moment) -> BTreeMap<Id, f64> {
        let others = self.others_names.keys().copied().filter(|id| self.fresh(now, *id));
        let mut demands: BTreeMap<Id, f64> = others.map(|id| (id, self.others.value(id, "rate"))).collect();
        demands.insert(self.of.0, self.own.value("rate"));
        demands
    }

    /// A count of all planners, and of how long ago.
    pub fn read(&self, now: Moment, key: &str, each: Option<f64>) -> CountEstimate {
        let ids: Vec<Id> = self.others_names.keys().copied().chain([self.of.0]).collect();
        self.others.estimate(now, key, &ids, self.shares.max_age, each)
    }

    /// Tries and drops at all planners that are heard, since this one began to hear each: what one had before would make a
    /// jump when it is heard first.
    pub fn tried(&self) -> (u64, u64) {
        (self.tried.0 as u64, self.tried.1 as u64)
    }

    fn add_tries(&mut self) {
        let own = (self.of.0, self.of.1, self.own.value("tries"), self.own.value("dropped"));
        let there = self.others_names.keys().filter_map(|id| {
            let start = self.others.values(*id)?.0;
            Some((*id, start, self.others.value(*id, "tries"), self.others.value(*id, "dropped")))
        });
        for (id, start, tries, dropped) in there.chain([own]).collect::<Vec<_>>() {
            let before = self.tried_by.insert(id, (start, tries, dropped));
            if let Some(before) = before.filter(|before| before.0 == start) {
                self.tried.0 += (tries - before.1).max(0.0);
                self.tried.1 += (dropped - before.2).max(0.0);
            }
        }
        let names = &self.others_names;
        self.tried_by.retain(|id, _| *id == own.0 || names.contains_key(id));
    }

    /// What each planner counted of each route and zone, for the books.
    pub fn used(&self, now: Moment) -> Vec<CallUsage> {
        let mut rows = Vec::new();
        let mut add = |name: &str, disk: Id, start: u64, age: Span, values: &BTreeMap<String, f64>| {
            for (key, calls) in values {
                let mut words = key.splitn(3, '/');
                let (Some("calls"), Some(route), Some(zone)) = (words.next(), words.next(), words.next())
                else {
                    continue;
                };
                rows.push(CallUsage {
                    planner: name.into(),
                    disk_id: disk,
                    start,
                    route: route.into(),
                    zone: zone.into(),
                    calls: *calls as u64,
                    age_ms: age.0 / 1_000_000,
                });
            }
        };
        add(&self.name, self.of.0, self.of.1, Span(0), self.own.values());
        for (id, name) in &self.others_names {
            if let (Some((start, values)), Some(age)) = (self.others.values(*id), self.others.age(now, *id)) {
                add(name, *id, start, age, values);
            }
        }
        rows.truncate(MAX_USAGE_ROWS);
        rows
    }

    /// As operators see it.
    pub fn view(&self, now: Moment) -> Value {
        let figure = |figure: CountEstimate| {
            json!({ "value": figure.value, "age_ms": figure.age.0 / 1_000_000, "least": figure.min,
                "most": figure.max, "unheard": figure.missing_peers })
        };
        let members: Vec<Value> = self
            .others_names
            .iter()
            .map(|(id, name)| {
                let (state, heard) = self.gossip.status(now, *id).unwrap_or((MemberState::Gone, None));
                json!({ "name": name, "state": said(state), "heard_ms": heard.map(|h| h.0 / 1_000_000),
                    "counts_ms": self.others.age(now, *id).map(|age| age.0 / 1_000_000),
                    "joined": self.others.value(*id, "joined"), "rate": self.others.value(*id, "rate") })
            })
            .collect();
        let keys = self.own.values().keys().filter(|key| key.starts_with("calls/"));
        let calls: BTreeMap<&String, Value> =
            keys.map(|key| (key, figure(self.read(now, key, None)))).collect();
        json!({ "name": self.name, "start": self.of.1, "slow": self.gossip.health_score(), "members": members,
            "joined": figure(self.read(now, "joined", Some(self.shares.max_streams))),
            "here": self.own.value("joined"), "elsewhere": self.elsewhere, "calls": calls,
            "lighter": self.evidence.weight_reductions(), "tellers_broken": self.evidence.unreliable_peers() })
    }
}
