//! Information shared among planners, at one of them: reports what it observes, collects what others report,
//! and derives hints for its planner service. For planners that are not heard, the service uses its own
//! estimate. Nothing here blocks.

use crate::messages::peer_message::Kind;
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

/// Reporting interval of counts and evidence, the maximum age of usable counts, and the budgets.
#[derive(Clone, Copy, Debug)]
pub struct SharingConfig {
    pub interval: Span,
    pub max_age: Span,
    pub budget: BudgetConfig,
    /// Proxies in the whole fleet, and the maximum number of streams at one planner.
    pub proxies: f64,
    pub max_streams: f64,
}

/// The budget of load that all planners together may send to cold servers.
pub const COLD_BUDGET: &str = "cold";
/// A counts request without a response is dropped after this many reporting intervals.
const REQUEST_TIMEOUT_INTERVALS: f64 = 6.0;
/// In-flight work is reported for the servers that have the most.
const MAX_WORK_ENTRIES: usize = 256;
/// A change of the other planners' rate by up to this fraction is not passed to the service.
const RATE_TOLERANCE: f64 = 0.02;

pub enum SharingAction {
    Send(Id, Kind),
    Broadcast(Kind),
    Hint(PeerHint),
    /// The gossip state of a member changed.
    StateChanged(Id, &'static str),
}

/// This member's disk id and start, and the other members that share, by id.
pub struct SharingMembers {
    pub identity: (Id, u64),
    pub name: String,
    pub peers: BTreeMap<Id, String>,
}

pub struct Sharing {
    config: SharingConfig,
    identity: (Id, u64),
    name: String,
    peer_names: BTreeMap<Id, String>,
    gossip: Gossip,
    local_counts: LocalCounts,
    /// Also holds our own counts as reported, since an estimate needs their history as well as their current
    /// values.
    peer_counts: PeerCounts,
    evidence: Evidence,
    last_report: Moment,
    last_count: Moment,
    peer_rate: Option<f64>,
    peer_states: BTreeMap<Id, MemberState>,
    /// By planner: its start, and its tries and drops as last reported.
    tries_by_planner: BTreeMap<Id, (u64, f64, f64)>,
    /// Tries and drops over all planners.
    total_tries: (f64, f64),
    seed: u64,
}

fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Gone => "gone",
    }
}

impl Sharing {
    pub fn new(config: SharingConfig, seed: u64) -> Sharing {
        Sharing {
            config,
            identity: (0, 0),
            name: String::new(),
            peer_names: BTreeMap::new(),
            gossip: Gossip::new(Moment(0), 0, 0, GossipConfig::with_probe_interval(config.interval), seed),
            local_counts: LocalCounts::new(0),
            peer_counts: PeerCounts::default(),
            evidence: Evidence::new(0),
            last_report: Moment(0),
            last_count: Moment(0),
            peer_rate: None,
            peer_states: BTreeMap::new(),
            tries_by_planner: BTreeMap::new(),
            total_tries: (0.0, 0.0),
            seed,
        }
    }

    /// The connection to a member was lost: its pending counts response will not arrive.
    pub fn on_connection_lost(&mut self, peer: Id) {
        self.peer_counts.cancel_request(peer);
    }

    /// Resets the state if the disk or the start has changed: reports made under another identity must not be
    /// continued.
    fn set_identity(&mut self, now: Moment, members: &SharingMembers) {
        if self.identity != members.identity {
            let (id, start) = members.identity;
            // Above any incarnation by which an earlier start of this disk may have refuted a suspicion.
            self.gossip = Gossip::new(
                now,
                id,
                start << 20,
                GossipConfig::with_probe_interval(self.config.interval),
                self.seed ^ id,
            );
            (self.local_counts, self.evidence) = (LocalCounts::new(start), Evidence::new(start));
            self.peer_counts = PeerCounts::default();
            (self.identity, self.name) = (members.identity, members.name.clone());
            self.peer_names.clear();
        }
        if self.peer_names != members.peers || self.peer_names.is_empty() {
            self.peer_names = members.peers.clone();
            let ids: Vec<Id> = self.peer_names.keys().copied().collect();
            self.gossip.set_members(now, ids.iter().copied());
            let all = [ids.as_slice(), &[self.identity.0]].concat();
            self.peer_counts.set_members(&all);
            self.local_counts.set_members(&all);
            self.evidence.set_members(&ids);
            self.peer_states.retain(|id, _| ids.contains(id));
        }
    }

    pub fn receive(&mut self, now: Moment, from: Id, kind: Kind) -> Vec<SharingAction> {
        let mut actions = Vec::new();
        match kind {
            Kind::Gossip(message) => {
                if let Some(message) = message.to_gossip() {
                    self.gossip.receive(now, from, &message);
                    self.drain_gossip(&mut actions);
                }
            }
            Kind::CountsRequest(request) if self.peer_names.contains_key(&from) => {
                let report = self.local_counts.make_report(from, request.to_request());
                actions.extend(report.map(|report| {
                    SharingAction::Send(from, Kind::CountsResponse(CountsResponse::from_report(report)))
                }));
            }
            Kind::CountsResponse(counts) => drop(self.peer_counts.receive(now, from, &counts.into_report())),
            Kind::Evidence(report) if self.peer_names.contains_key(&from) => {
                self.evidence.receive_report(now, from, &report.into_peer_report());
            }
            _ => {}
        }
        actions
    }

    fn drain_gossip(&mut self, actions: &mut Vec<SharingAction>) {
        let messages = self.gossip.take_messages();
        actions.extend(
            messages
                .iter()
                .map(|(to, m)| SharingAction::Send(*to, Kind::Gossip(GossipMessage::from_gossip(m)))),
        );
    }

    /// Adds the traffic since the last call to the local counts.
    fn update_counts(&mut self, now: Moment, service: &mut Service) {
        let (joined, rate) = service.joined_proxies();
        self.local_counts.set("joined", joined as f64);
        self.local_counts.set("rate", rate);
        let (tries, dropped) = service.try_counts();
        self.local_counts.set("tries", tries as f64);
        self.local_counts.set("dropped", dropped as f64);
        let calls_by: Vec<(usize, usize, u64)> = service.traffic.calls_by_route_and_zone().collect();
        for (route, zone, calls) in calls_by {
            let key = format!("calls/{}/{}", service.routes()[route], service.zones()[zone]);
            self.local_counts.set(&key, calls as f64);
        }
        let span = now.since(self.last_count).seconds().max(1e-3);
        self.last_count = now;
        let mut work: Vec<(String, f64)> = Vec::new();
        for (server, totals) in service.traffic.take_server_totals() {
            self.evidence.record_tries(now, &server, totals.tries, totals.dropped);
            work.push((format!("work/{server}"), (totals.total_seconds / span * 100.0).round() / 100.0));
        }
        work.sort_by(|a, b| b.1.total_cmp(&a.1));
        work.truncate(MAX_WORK_ENTRIES);
        self.local_counts.set_group("work/", &work.into_iter().filter(|work| work.1 > 0.0).collect());
    }

    /// Called periodically: sends reports and requests, and derives hints.
    pub fn poll(
        &mut self,
        now: Moment,
        members: &SharingMembers,
        service: &mut Service,
    ) -> Vec<SharingAction> {
        self.set_identity(now, members);
        let mut actions = Vec::new();
        self.gossip.tick(now);
        self.drain_gossip(&mut actions);
        for id in self.peer_names.keys() {
            let Some((state, _)) = self.gossip.status(now, *id) else { continue };
            let before = self.peer_states.insert(*id, state).unwrap_or(MemberState::Alive);
            actions.extend((before != state).then(|| SharingAction::StateChanged(*id, state_name(state))));
        }
        if now.since(self.last_report) < self.config.interval {
            return actions;
        }
        self.last_report = now;
        self.update_counts(now, service);
        self.update_try_counts();
        self.peer_counts.expire_requests(now, self.config.interval.times(REQUEST_TIMEOUT_INTERVALS));
        for id in self.peer_names.keys() {
            let request = self.peer_counts.request_report(now, *id);
            actions.extend(request.map(|request| {
                SharingAction::Send(*id, Kind::CountsRequest(CountsRequest::from_request(request)))
            }));
        }
        let own = self.identity.0;
        if let Some(report) = self
            .peer_counts
            .request_report(now, own)
            .and_then(|request| self.local_counts.make_report(own, request))
        {
            self.peer_counts.receive(now, own, &report);
        }
        if !self.peer_names.is_empty() {
            actions.push(SharingAction::Broadcast(Kind::Evidence(EvidenceReport::from_peer_report(
                self.evidence.make_report(now),
            ))));
        }
        let peer_rate = self.estimate_peer_rate(now);
        let is_near = |a: f64, b: f64| (a - b).abs() <= RATE_TOLERANCE * b.max(1e-9);
        if !matches!((peer_rate, self.peer_rate), (Some(a), Some(b)) if is_near(a, b))
            && peer_rate != self.peer_rate
        {
            self.peer_rate = peer_rate;
            actions.push(SharingAction::Hint(PeerHint::OtherPlannersRate(peer_rate)));
        }
        let zones = service.zone_weights();
        let listed = |server: &str| service.endpoint(server).map(|known| (known.zone.clone(), known.weight));
        let recommendations = self.evidence.evaluate(now, listed, &zones);
        actions.extend(
            recommendations
                .weight_reductions
                .into_iter()
                .map(|(server, part)| SharingAction::Hint(PeerHint::ReduceWeight(server, part))),
        );
        actions.extend(
            recommendations.probe.into_iter().map(|server| SharingAction::Hint(PeerHint::Probe(server))),
        );
        actions
    }

    fn is_fresh(&self, now: Moment, id: Id) -> bool {
        self.peer_counts.age(now, id).is_some_and(|age| age <= self.config.max_age)
    }

    /// Calls per second at all other planners. Those that are heard report their rate; proxies that nobody
    /// reports count with the average rate. `None` if no planner is heard: then the service's own estimate is
    /// better.
    fn estimate_peer_rate(&self, now: Moment) -> Option<f64> {
        let heard: Vec<Id> = self.peer_names.keys().copied().filter(|id| self.is_fresh(now, *id)).collect();
        if heard.is_empty() {
            return None;
        }
        let sum = |key: &str| heard.iter().map(|id| self.peer_counts.value(*id, key)).sum::<f64>();
        let (peer_proxies, peer_rates) = (sum("joined"), sum("rate"));
        let (own_proxies, own_rate) = (self.local_counts.value("joined"), self.local_counts.value("rate"));
        let mean = (own_rate + peer_rates) / (own_proxies + peer_proxies).max(1.0);
        // A proxy that moves between planners is reported by both for a moment.
        let room = (self.config.proxies - own_proxies).max(0.0);
        let reported = if peer_proxies > room { peer_rates * room / peer_proxies } else { peer_rates };
        Some(reported + (room - peer_proxies).max(0.0) * mean)
    }

    /// The call rate of each member, where known.
    pub fn demands(&self, now: Moment) -> BTreeMap<Id, f64> {
        let others = self.peer_names.keys().copied().filter(|id| self.is_fresh(now, *id));
        let mut demands: BTreeMap<Id, f64> =
            others.map(|id| (id, self.peer_counts.value(id, "rate"))).collect();
        demands.insert(self.identity.0, self.local_counts.value("rate"));
        demands
    }

    /// A count over all planners, with its age.
    pub fn estimate(&self, now: Moment, key: &str, max_per_planner: Option<f64>) -> CountEstimate {
        let ids: Vec<Id> = self.peer_names.keys().copied().chain([self.identity.0]).collect();
        self.peer_counts.estimate(now, key, &ids, self.config.max_age, max_per_planner)
    }

    /// Tries and drops at all planners that are heard, each counted from when it was first heard: its earlier
    /// ones would appear as a jump.
    pub fn try_counts(&self) -> (u64, u64) {
        (self.total_tries.0 as u64, self.total_tries.1 as u64)
    }

    fn update_try_counts(&mut self) {
        let own = (
            self.identity.0,
            self.identity.1,
            self.local_counts.value("tries"),
            self.local_counts.value("dropped"),
        );
        let peers = self.peer_names.keys().filter_map(|id| {
            let start = self.peer_counts.values(*id)?.0;
            Some((*id, start, self.peer_counts.value(*id, "tries"), self.peer_counts.value(*id, "dropped")))
        });
        for (id, start, tries, dropped) in peers.chain([own]).collect::<Vec<_>>() {
            let before = self.tries_by_planner.insert(id, (start, tries, dropped));
            if let Some(before) = before.filter(|before| before.0 == start) {
                self.total_tries.0 += (tries - before.1).max(0.0);
                self.total_tries.1 += (dropped - before.2).max(0.0);
            }
        }
        let names = &self.peer_names;
        self.tries_by_planner.retain(|id, _| *id == own.0 || names.contains_key(id));
    }

    /// The calls that each planner counted by route and zone, for the accounting export.
    pub fn usage(&self, now: Moment) -> Vec<CallUsage> {
        let mut usage = Vec::new();
        let mut add = |name: &str, disk_id: Id, start: u64, age: Span, values: &BTreeMap<String, f64>| {
            for (key, calls) in values {
                let mut parts = key.splitn(3, '/');
                let (Some("calls"), Some(route), Some(zone)) = (parts.next(), parts.next(), parts.next())
                else {
                    continue;
                };
                usage.push(CallUsage {
                    planner: name.into(),
                    disk_id,
                    start,
                    route: route.into(),
                    zone: zone.into(),
                    calls: *calls as u64,
                    age_ms: age.0 / 1_000_000,
                });
            }
        };
        add(&self.name, self.identity.0, self.identity.1, Span(0), self.local_counts.values());
        for (id, name) in &self.peer_names {
            if let (Some((start, values)), Some(age)) =
                (self.peer_counts.values(*id), self.peer_counts.age(now, *id))
            {
                add(name, *id, start, age, values);
            }
        }
        usage.truncate(MAX_USAGE_ROWS);
        usage
    }

    /// The admin view.
    pub fn view(&self, now: Moment) -> Value {
        let figure = |estimate: CountEstimate| {
            json!({ "value": estimate.value, "age_ms": estimate.age.0 / 1_000_000, "least": estimate.min,
                "most": estimate.max, "unheard": estimate.missing_peers })
        };
        let members: Vec<Value> = self
            .peer_names
            .iter()
            .map(|(id, name)| {
                let (state, heard) = self.gossip.status(now, *id).unwrap_or((MemberState::Gone, None));
                json!({ "name": name, "state": state_name(state), "heard_ms": heard.map(|h| h.0 / 1_000_000),
                    "counts_ms": self.peer_counts.age(now, *id).map(|age| age.0 / 1_000_000),
                    "joined": self.peer_counts.value(*id, "joined"), "rate": self.peer_counts.value(*id, "rate") })
            })
            .collect();
        let keys = self.local_counts.values().keys().filter(|key| key.starts_with("calls/"));
        let calls: BTreeMap<&String, Value> =
            keys.map(|key| (key, figure(self.estimate(now, key, None)))).collect();
        json!({ "name": self.name, "start": self.identity.1, "slow": self.gossip.health_score(), "members": members,
            "joined": figure(self.estimate(now, "joined", Some(self.config.max_streams))),
            "here": self.local_counts.value("joined"), "elsewhere": self.peer_rate, "calls": calls,
            "lighter": self.evidence.weight_reductions(), "tellers_broken": self.evidence.unreliable_peers() })
    }
}
