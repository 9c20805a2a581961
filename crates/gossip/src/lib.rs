//! Failure detection by gossip after SWIM (Das, Gupta, Motivala 2002), with Lifeguard's local health score (Dadgar, Phillips,
//! Currey 2018). A state machine without I/O or clock; its randomness comes from a given seed.
//!
//! The record defines the membership. This crate says which members are reachable, by us or by members we can reach.
//!
//! | state | input | next state | effect |
//! | --- | --- | --- | --- |
//! | alive | no answer, direct or relayed | suspect | spread |
//! | alive | update: suspect, of this incarnation or later | suspect | passed on |
//! | suspect | update: alive, of a later incarnation | alive | passed on |
//! | suspect | suspicion timed out | gone | spread |
//! | alive, suspect | update: gone, of this incarnation or later | gone | passed on |
//! | gone | update: alive, of a later incarnation | alive | passed on |
//! | any | an older update, or the same again | unchanged | none |
//! | ourselves | update: suspect or gone | alive | a higher incarnation is spread |
//!
//! Updates about a member are ordered by (incarnation, state), so duplicates, reordering and old updates change nothing.
//! Limits: `MAX_UPDATES` per message, `MAX_MEMBERS` members, `MAX_RELAYS` probes on behalf of others.
#![forbid(unsafe_code)]

use pewtergap_time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet};

pub type Id = u64;

/// Updates piggybacked on a message; a full sync carries all.
pub const MAX_UPDATES: usize = 6;
pub const MAX_MEMBERS: usize = 256;
const MAX_RELAYS: usize = 64;
/// The largest health score; timeouts grow by one multiple per point.
const MAX_HEALTH_SCORE: u32 = 8;
/// Each update is sent this many times the binary logarithm of the number of members.
const RETRANSMIT_FACTOR: u32 = 3;
/// This many independent accusers shorten a suspicion to its minimum.
const MAX_ACCUSERS: usize = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    Alive,
    Suspect,
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Update {
    pub member: Id,
    pub incarnation: u64,
    pub state: MemberState,
    /// The member that reported it first.
    pub reported_by: Id,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    Ping(u64),
    Ack(u64),
    /// Asks the receiver to ping a member on our behalf.
    PingRequest(u64, Id),
    /// The member did not answer the relayed ping either.
    Nack(u64),
    /// Everything that is known; `true` requests the same in return.
    FullSync(bool),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    pub kind: MessageKind,
    pub updates: Vec<Update>,
}

#[derive(Clone, Copy, Debug)]
pub struct GossipConfig {
    /// The time between two probes, and the time until a probe is relayed.
    pub probe_interval: Span,
    pub ack_timeout: Span,
    /// How long a suspicion lasts: with many accusers, and with one.
    pub suspicion_timeout: (Span, Span),
    /// How many members relay a probe.
    pub relay_count: usize,
    /// Probe intervals between two full syncs.
    pub full_sync_interval: u32,
}

impl GossipConfig {
    pub fn with_probe_interval(probe_interval: Span) -> GossipConfig {
        let (ack_timeout, suspicion_timeout) =
            (probe_interval.times(0.4), (probe_interval.times(4.0), probe_interval.times(10.0)));
        GossipConfig {
            probe_interval,
            ack_timeout,
            suspicion_timeout,
            relay_count: 3,
            full_sync_interval: 30,
        }
    }
}

#[derive(Clone, Debug)]
struct MemberEntry {
    incarnation: u64,
    state: MemberState,
    since: Moment,
    accusers: BTreeSet<Id>,
    /// When a message of its own last reached us, or a member that relayed our probe.
    last_contact: Option<Moment>,
}

#[derive(Clone, Debug)]
struct Probe {
    target: Id,
    token: u64,
    sent_at: Moment,
    relayed: bool,
    /// Relays that were asked and have not reported an attempt.
    unanswered_relays: usize,
}

#[derive(Clone, Debug)]
struct Relay {
    token: u64,
    requester: Id,
    deadline: Moment,
}

#[derive(Clone, Debug)]
pub struct Gossip {
    own_id: Id,
    incarnation: u64,
    config: GossipConfig,
    rng: fastrand::Rng,
    members: BTreeMap<Id, MemberEntry>,
    /// Members still to be probed in this round, in random order, so that each is probed once per round.
    probe_order: Vec<Id>,
    /// Lifeguard's local health score: how slow this member considers itself; 0 is healthy.
    health_score: u32,
    probe: Option<Probe>,
    relays: BTreeMap<u64, Relay>,
    last_token: u64,
    next_tick: Moment,
    interval_count: u32,
    pending_updates: BTreeMap<Id, (Update, u32)>,
    outbox: Vec<(Id, Message)>,
}

impl Gossip {
    /// `incarnation`: higher than any used by an earlier start of this member.
    pub fn new(now: Moment, own_id: Id, incarnation: u64, config: GossipConfig, seed: u64) -> Gossip {
        Gossip {
            own_id,
            incarnation,
            config,
            rng: fastrand::Rng::with_seed(seed),
            members: BTreeMap::new(),
            probe_order: Vec::new(),
            health_score: 0,
            probe: None,
            relays: BTreeMap::new(),
            last_token: 0,
            next_tick: now,
            interval_count: 0,
            pending_updates: BTreeMap::new(),
            outbox: Vec::new(),
        }
    }

    /// Sets the membership: former members are forgotten; new ones count as alive until found otherwise.
    pub fn set_members(&mut self, now: Moment, members: impl Iterator<Item = Id>) {
        let members: BTreeSet<Id> = members.filter(|id| *id != self.own_id).take(MAX_MEMBERS).collect();
        self.members.retain(|id, _| members.contains(id));
        self.pending_updates.retain(|id, _| members.contains(id) || *id == self.own_id);
        for id in members {
            let new = MemberEntry {
                incarnation: 0,
                state: MemberState::Alive,
                since: now,
                accusers: BTreeSet::new(),
                last_contact: None,
            };
            self.members.entry(id).or_insert(new);
        }
    }

    pub fn take_messages(&mut self) -> Vec<(Id, Message)> {
        std::mem::take(&mut self.outbox)
    }

    /// A member's state and how long ago it was last heard from.
    pub fn status(&self, now: Moment, id: Id) -> Option<(MemberState, Option<Span>)> {
        if id == self.own_id {
            return Some((MemberState::Alive, Some(Span(0))));
        }
        self.members
            .get(&id)
            .map(|entry| (entry.state, entry.last_contact.map(|last_contact| now.since(last_contact))))
    }

    /// How slow this member considers itself; 0 is healthy.
    pub fn health_score(&self) -> u32 {
        self.health_score
    }

    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    fn scaled(&self, span: Span) -> Span {
        span.times(f64::from(1 + self.health_score))
    }

    fn improve_health(&mut self) {
        self.health_score = self.health_score.saturating_sub(1);
    }

    fn degrade_health(&mut self) {
        self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
    }

    fn send(&mut self, to: Id, kind: MessageKind) {
        let mut updates: Vec<Update> = match kind {
            MessageKind::FullSync(_) => self.all_updates(),
            _ => self.next_updates(),
        };
        // A member that is not considered alive hears so from us first and can refute it.
        if let Some(entry) = self.members.get(&to).filter(|entry| entry.state != MemberState::Alive) {
            if !updates.iter().any(|updates| updates.member == to) {
                let (incarnation, state) = (entry.incarnation, entry.state);
                updates.push(Update { member: to, incarnation, state, reported_by: self.own_id });
            }
        }
        self.outbox.push((to, Message { kind, updates }));
    }

    fn all_updates(&self) -> Vec<Update> {
        let own = Update {
            member: self.own_id,
            incarnation: self.incarnation,
            state: MemberState::Alive,
            reported_by: self.own_id,
        };
        let others = self.members.iter().map(|(id, entry)| {
            let reported_by = entry.accusers.first().copied().unwrap_or(self.own_id);
            Update { member: *id, incarnation: entry.incarnation, state: entry.state, reported_by }
        });
        others.chain([own]).collect()
    }

    /// The updates sent least often, a few at a time.
    fn next_updates(&mut self) -> Vec<Update> {
        let max_sends = RETRANSMIT_FACTOR * (usize::BITS - self.members.len().leading_zeros()).max(1);
        let mut waiting: Vec<(u32, Id)> =
            self.pending_updates.iter().map(|(id, (_, sent))| (*sent, *id)).collect();
        waiting.sort_unstable();
        let mut updates = Vec::new();
        for (_, id) in waiting.into_iter().take(MAX_UPDATES) {
            if let Some((update, sent)) = self.pending_updates.get_mut(&id) {
                updates.push(*update);
                *sent += 1;
                if *sent >= max_sends {
                    self.pending_updates.remove(&id);
                }
            }
        }
        updates
    }

    fn queue_update(&mut self, update: Update) {
        self.pending_updates.insert(update.member, (update, 0));
    }

    /// Applies one update; one that is not newer changes nothing.
    fn apply_update(&mut self, now: Moment, update: Update) {
        if update.member == self.own_id {
            if update.state != MemberState::Alive && update.incarnation >= self.incarnation {
                // Someone did not hear us. Whether the network or we are slow, we give others more time.
                self.incarnation = update.incarnation + 1;
                self.degrade_health();
                let (member, incarnation) = (self.own_id, self.incarnation);
                self.queue_update(Update {
                    member,
                    incarnation,
                    state: MemberState::Alive,
                    reported_by: self.own_id,
                });
            }
            return;
        }
        let Some(entry) = self.members.get_mut(&update.member) else { return };
        let is_repeat = (update.incarnation, update.state) == (entry.incarnation, entry.state);
        if is_repeat
            && entry.state == MemberState::Suspect
            && entry.accusers.len() < MAX_ACCUSERS
            && entry.accusers.insert(update.reported_by)
        {
            return self.queue_update(update);
        }
        if (update.incarnation, update.state) <= (entry.incarnation, entry.state) {
            return;
        }
        (entry.incarnation, entry.state, entry.since) = (update.incarnation, update.state, now);
        entry.accusers.clear();
        if update.state == MemberState::Suspect {
            entry.accusers.insert(update.reported_by);
        }
        self.queue_update(update);
    }

    /// Handles a message from a member.
    pub fn receive(&mut self, now: Moment, from: Id, message: &Message) {
        if !self.members.contains_key(&from) {
            return;
        }
        if let Some(entry) = self.members.get_mut(&from) {
            entry.last_contact = Some(now);
        }
        let max_updates =
            if matches!(message.kind, MessageKind::FullSync(_)) { MAX_MEMBERS } else { MAX_UPDATES + 1 };
        message.updates.iter().take(max_updates).for_each(|update| self.apply_update(now, *update));
        match message.kind {
            MessageKind::Ping(token) => self.send(from, MessageKind::Ack(token)),
            MessageKind::Ack(token) => self.handle_ack(now, from, token),
            MessageKind::PingRequest(token, target) => {
                if self.members.contains_key(&target) && self.relays.len() < MAX_RELAYS {
                    self.last_token += 1;
                    let (own_token, deadline) = (self.last_token, now + self.config.ack_timeout);
                    self.relays.insert(own_token, Relay { token, requester: from, deadline });
                    self.send(target, MessageKind::Ping(own_token));
                }
            }
            MessageKind::Nack(token) => {
                if let Some(probe) = self.probe.as_mut().filter(|probe| probe.token == token) {
                    probe.unanswered_relays = probe.unanswered_relays.saturating_sub(1);
                }
            }
            MessageKind::FullSync(true) => self.send(from, MessageKind::FullSync(false)),
            MessageKind::FullSync(false) => {}
        }
    }

    fn handle_ack(&mut self, now: Moment, from: Id, token: u64) {
        if let Some(relay) = self.relays.remove(&token) {
            return self.send(relay.requester, MessageKind::Ack(relay.token));
        }
        if let Some(probe) = self.probe.take_if(|probe| probe.token == token) {
            if let Some(entry) = self.members.get_mut(&probe.target) {
                entry.last_contact = Some(now);
            }
            if probe.target == from || probe.relayed {
                self.improve_health();
            }
        }
    }

    /// To be called at `next_tick` or later.
    pub fn tick(&mut self, now: Moment) {
        if now < self.next_tick {
            return;
        }
        // We are late ourselves: what looked like silence of others may be our own delay.
        if self.next_tick > Moment(0) && now.since(self.next_tick) > self.config.probe_interval.times(0.5) {
            self.degrade_health();
            if let Some(probe) = &mut self.probe {
                probe.sent_at = now;
            }
        }
        let expired: Vec<u64> =
            self.relays.iter().filter(|relay| relay.1.deadline <= now).map(|r| *r.0).collect();
        for token in expired {
            if let Some(relay) = self.relays.remove(&token) {
                self.send(relay.requester, MessageKind::Nack(relay.token));
            }
        }
        self.expire_suspicions(now);
        let probe_ended = self
            .probe
            .as_ref()
            .is_none_or(|probe| now.since(probe.sent_at) >= self.scaled(self.config.probe_interval));
        if probe_ended {
            self.finish_probe(now);
            self.start_probe(now);
        }
        self.relay_probe(now);
        self.next_tick = now + self.config.ack_timeout.times(0.5);
    }

    /// Declares members gone whose suspicion has timed out.
    fn expire_suspicions(&mut self, now: Moment) {
        let (min, max) = self.config.suspicion_timeout;
        // In a larger cluster an accusation and its refutation need more rounds: with 50 members and a tenth
        // of the messages lost, a live member was declared gone.
        let rounds = (f64::from(self.members.len() as u32 + 1).log2() / 2.0).max(1.0);
        let timed_out = |entry: &MemberEntry| {
            // Each accuser shortens the suspicion towards its minimum, by the logarithm of their number.
            let progress =
                (entry.accusers.len().clamp(1, MAX_ACCUSERS) as f64).ln() / (MAX_ACCUSERS as f64).ln();
            let span = Span::of_seconds(max.seconds() - (max.seconds() - min.seconds()) * progress);
            entry.state == MemberState::Suspect && now.since(entry.since) >= self.scaled(span.times(rounds))
        };
        let gone: Vec<(Id, u64)> = self
            .members
            .iter()
            .filter(|entry| timed_out(entry.1))
            .map(|entry| (*entry.0, entry.1.incarnation))
            .collect();
        for (member, incarnation) in gone {
            self.apply_update(
                now,
                Update { member, incarnation, state: MemberState::Gone, reported_by: self.own_id },
            );
        }
    }

    /// Ends a probe that nobody answered in its interval.
    fn finish_probe(&mut self, now: Moment) {
        let Some(probe) = self.probe.take() else { return };
        let Some(entry) = self.members.get(&probe.target) else { return };
        // Relays that did not even report an attempt suggest that our own network path is bad. A member
        // already considered gone was not expected to answer: with one of three members gone, the other two
        // raised their health scores for good.
        let unexpected = u32::from(entry.state == MemberState::Alive);
        self.health_score =
            (self.health_score + unexpected + probe.unanswered_relays.min(2) as u32).min(MAX_HEALTH_SCORE);
        let (member, incarnation) = (probe.target, entry.incarnation);
        self.apply_update(
            now,
            Update { member, incarnation, state: MemberState::Suspect, reported_by: self.own_id },
        );
    }

    fn start_probe(&mut self, now: Moment) {
        self.interval_count += 1;
        if self.probe_order.is_empty() {
            self.probe_order = self.members.keys().copied().collect();
            self.rng.shuffle(&mut self.probe_order);
        }
        let Some(target) = self.probe_order.pop().filter(|id| self.members.contains_key(id)) else { return };
        self.last_token += 1;
        let token = self.last_token;
        self.probe = Some(Probe { target, token, sent_at: now, relayed: false, unanswered_relays: 0 });
        self.send(target, MessageKind::Ping(token));
        if self.interval_count.is_multiple_of(self.config.full_sync_interval.max(1)) {
            let all: Vec<Id> = self.members.keys().copied().collect();
            let partner = all[self.rng.usize(0..all.len())];
            self.send(partner, MessageKind::FullSync(true));
        }
    }

    /// Without a direct answer other members are asked to probe.
    fn relay_probe(&mut self, now: Moment) {
        let timeout = self.scaled(self.config.ack_timeout);
        let Some(probe) = self.probe.as_ref().filter(|p| !p.relayed && now.since(p.sent_at) >= timeout)
        else {
            return;
        };
        let (target, token) = (probe.target, probe.token);
        let mut relays: Vec<Id> = self
            .members
            .iter()
            .filter(|k| *k.0 != target && k.1.state == MemberState::Alive)
            .map(|k| *k.0)
            .collect();
        self.rng.shuffle(&mut relays);
        relays.truncate(self.config.relay_count);
        relays.iter().for_each(|other| self.send(*other, MessageKind::PingRequest(token, target)));
        if let Some(probe) = &mut self.probe {
            (probe.relayed, probe.unanswered_relays) = (true, relays.len());
        }
    }
}
