//! Who is heard: membership by gossip as SWIM has it (Das, Gupta, Motivala 2002), with a member's own slowness taken into
//! account as in Lifeguard (Dadgar, Phillips, Currey 2018). A state machine without I/O or clock; chance from a told seed.
//!
//! The record says who belongs. This says who is heard: by us, or by others that we hear.
//!
//! | state | input | next | effect |
//! | --- | --- | --- | --- |
//! | alive | no answer, nor by way of others | suspect | told to all |
//! | alive | news: suspect, of this incarnation or later | suspect | passed on |
//! | suspect | news: alive, of a later incarnation | alive | passed on |
//! | suspect | time is up | gone | told to all |
//! | alive, suspect | news: gone, of this incarnation or later | gone | passed on |
//! | gone | news: alive, of a later incarnation | alive | passed on |
//! | any | older news, or the same again | as it is | none |
//! | we ourselves | news: suspect or gone | alive | a higher incarnation, told to all |
//!
//! News of a subject are ordered by (incarnation, state), so that repeats, other orders and old news change nothing.
//! Bounds: `MOST_NEWS` a message, `MOST_KNOWN` subjects, `MOST_RELAYS` probes on behalf of others.
#![forbid(unsafe_code)]

use pewtergap_time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet};

pub type Id = u64;

/// News that go along with a message; whole comparisons carry all.
pub const MAX_UPDATES: usize = 6;
pub const MAX_MEMBERS: usize = 256;
const MOST_RELAYS: usize = 64;
/// A member that finds itself slow gives others so many times the time, at most.
const SLOWEST: u32 = 8;
/// News are told so many times the binary logarithm of the members.
const TOLD: u32 = 3;
/// Accusers that shorten a suspicion to its least.
const ACCUSERS: usize = 3;

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
    /// Who said so first.
    pub reported_by: Id,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    Ping(u64),
    Ack(u64),
    /// Ask that one in our place.
    PingRequest(u64, Id),
    /// That one did not answer us either.
    Nack(u64),
    /// All that is known, and whether the same is wanted back.
    FullSync(bool),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    pub kind: MessageKind,
    pub updates: Vec<Update>,
}

#[derive(Clone, Copy, Debug)]
pub struct GossipConfig {
    /// Between two probes, and until a probe goes by way of others.
    pub probe_interval: Span,
    pub ack_timeout: Span,
    /// How long a suspicion stands: with many accusers, and with one.
    pub suspicion_timeout: (Span, Span),
    /// Through how many others a probe goes.
    pub relay_count: usize,
    /// Periods between two whole comparisons.
    pub full_sync_interval: u32,
}

impl GossipConfig {
    pub fn with_probe_interval(period: Span) -> GossipConfig {
        let (answer, suspicion) = (period.times(0.4), (period.times(4.0), period.times(10.0)));
        GossipConfig {
            probe_interval: period,
            ack_timeout: answer,
            suspicion_timeout: suspicion,
            relay_count: 3,
            full_sync_interval: 30,
        }
    }
}

#[derive(Clone, Debug)]
struct Known {
    incarnation: u64,
    state: MemberState,
    since: Moment,
    accusers: BTreeSet<Id>,
    /// When a word of its own came, to us or to one that asked in our place.
    heard: Option<Moment>,
}

#[derive(Clone, Debug)]
struct Probe {
    whom: Id,
    token: u64,
    since: Moment,
    passed_on: bool,
    /// Others that were asked and have not said that they tried.
    silent: usize,
}

#[derive(Clone, Debug)]
struct Relay {
    token: u64,
    by: Id,
    until: Moment,
}

#[derive(Clone, Debug)]
pub struct Gossip {
    own: Id,
    incarnation: u64,
    pace: GossipConfig,
    rng: fastrand::Rng,
    known: BTreeMap<Id, Known>,
    /// Whom to probe next, drawn anew each round, so that each is asked once a round.
    round: Vec<Id>,
    /// How slow this one finds itself.
    health_score: u32,
    probe: Option<Probe>,
    relays: BTreeMap<u64, Relay>,
    tokens: u64,
    due: Moment,
    period: u32,
    news: BTreeMap<Id, (Update, u32)>,
    out: Vec<(Id, Message)>,
}

impl Gossip {
    /// `incarnation`: higher than any that an earlier start of this member had.
    pub fn new(now: Moment, own: Id, incarnation: u64, pace: GossipConfig, seed: u64) -> Gossip {
        Gossip {
            own,
            incarnation,
            pace,
            rng: fastrand::Rng::with_seed(seed),
            known: BTreeMap::new(),
            round: Vec::new(),
            health_score: 0,
            probe: None,
            relays: BTreeMap::new(),
            tokens: 0,
            due: now,
            period: 0,
            news: BTreeMap::new(),
            out: Vec::new(),
        }
    }

    /// Who belongs; whoever does not is forgotten, whoever is new counts as alive until it is found not to be.
    pub fn set_members(&mut self, now: Moment, belong: impl Iterator<Item = Id>) {
        let belong: BTreeSet<Id> = belong.filter(|id| *id != self.own).take(MAX_MEMBERS).collect();
        self.known.retain(|id, _| belong.contains(id));
        self.news.retain(|id, _| belong.contains(id) || *id == self.own);
        for id in belong {
            let new = Known {
                incarnation: 0,
                state: MemberState::Alive,
                since: now,
                accusers: BTreeSet::new(),
                heard: None,
            };
            self.known.entry(id).or_insert(new);
        }
    }

    pub fn take_messages(&mut self) -> Vec<(Id, Message)> {
        std::mem::take(&mut self.out)
    }

    /// What is believed of a member, and how long ago it was heard.
    pub fn status(&self, now: Moment, id: Id) -> Option<(MemberState, Option<Span>)> {
        if id == self.own {
            return Some((MemberState::Alive, Some(Span(0))));
        }
        self.known.get(&id).map(|known| (known.state, known.heard.map(|heard| now.since(heard))))
    }

    /// How slow this one finds itself, 0: not at all.
    pub fn health_score(&self) -> u32 {
        self.health_score
    }

    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    fn times(&self, span: Span) -> Span {
        span.times(f64::from(1 + self.health_score))
    }

    fn faster(&mut self) {
        self.health_score = self.health_score.saturating_sub(1);
    }

    fn slower(&mut self) {
        self.health_score = (self.health_score + 1).min(SLOWEST);
    }

    fn say(&mut self, to: Id, say: MessageKind) {
        let mut news: Vec<Update> = match say {
            MessageKind::FullSync(_) => self.all(),
            _ => self.next_news(),
        };
        // Whoever we hold for lost hears it from us first, and can say that it is not.
        if let Some(known) = self.known.get(&to).filter(|known| known.state != MemberState::Alive) {
            if !news.iter().any(|news| news.member == to) {
                let (incarnation, state) = (known.incarnation, known.state);
                news.push(Update { member: to, incarnation, state, reported_by: self.own });
            }
        }
        self.out.push((to, Message { kind: say, updates: news }));
    }

    fn all(&self) -> Vec<Update> {
        let own = Update {
            member: self.own,
            incarnation: self.incarnation,
            state: MemberState::Alive,
            reported_by: self.own,
        };
        let others = self.known.iter().map(|(id, known)| {
            let by = known.accusers.first().copied().unwrap_or(self.own);
            Update { member: *id, incarnation: known.incarnation, state: known.state, reported_by: by }
        });
        others.chain([own]).collect()
    }

    /// What was told least often, a few at a time.
    fn next_news(&mut self) -> Vec<Update> {
        let most = TOLD * (usize::BITS - self.known.len().leading_zeros()).max(1);
        let mut waiting: Vec<(u32, Id)> = self.news.iter().map(|(id, (_, told))| (*told, *id)).collect();
        waiting.sort_unstable();
        let mut news = Vec::new();
        for (_, id) in waiting.into_iter().take(MAX_UPDATES) {
            if let Some((one, told)) = self.news.get_mut(&id) {
                news.push(*one);
                *told += 1;
                if *told >= most {
                    self.news.remove(&id);
                }
            }
        }
        news
    }

    fn spread(&mut self, news: Update) {
        self.news.insert(news.member, (news, 0));
    }

    /// One piece of news; what is not newer changes nothing.
    fn learn(&mut self, now: Moment, news: Update) {
        if news.member == self.own {
            if news.state != MemberState::Alive && news.incarnation >= self.incarnation {
                // Somebody did not hear us: whether it was the way or we, we give others more time.
                self.incarnation = news.incarnation + 1;
                self.slower();
                let (subject, incarnation) = (self.own, self.incarnation);
                self.spread(Update {
                    member: subject,
                    incarnation,
                    state: MemberState::Alive,
                    reported_by: self.own,
                });
            }
            return;
        }
        let Some(known) = self.known.get_mut(&news.member) else { return };
        let same = (news.incarnation, news.state) == (known.incarnation, known.state);
        if same
            && known.state == MemberState::Suspect
            && known.accusers.len() < ACCUSERS
            && known.accusers.insert(news.reported_by)
        {
            return self.spread(news);
        }
        if (news.incarnation, news.state) <= (known.incarnation, known.state) {
            return;
        }
        (known.incarnation, known.state, known.since) = (news.incarnation, news.state, now);
        known.accusers.clear();
        if news.state == MemberState::Suspect {
            known.accusers.insert(news.reported_by);
        }
        self.spread(news);
    }

    /// A message from a member.
    pub fn receive(&mut self, now: Moment, from: Id, message: &Message) {
        if !self.known.contains_key(&from) {
            return;
        }
        if let Some(known) = self.known.get_mut(&from) {
            known.heard = Some(now);
        }
        let most =
            if matches!(message.kind, MessageKind::FullSync(_)) { MAX_MEMBERS } else { MAX_UPDATES + 1 };
        message.updates.iter().take(most).for_each(|news| self.learn(now, *news));
        match message.kind {
            MessageKind::Ping(token) => self.say(from, MessageKind::Ack(token)),
            MessageKind::Ack(token) => self.answered(now, from, token),
            MessageKind::PingRequest(token, whom) => {
                if self.known.contains_key(&whom) && self.relays.len() < MOST_RELAYS {
                    self.tokens += 1;
                    let (own, until) = (self.tokens, now + self.pace.ack_timeout);
                    self.relays.insert(own, Relay { token, by: from, until });
                    self.say(whom, MessageKind::Ping(own));
                }
            }
            MessageKind::Nack(token) => {
                if let Some(probe) = self.probe.as_mut().filter(|probe| probe.token == token) {
                    probe.silent = probe.silent.saturating_sub(1);
                }
            }
            MessageKind::FullSync(true) => self.say(from, MessageKind::FullSync(false)),
            MessageKind::FullSync(false) => {}
        }
    }

    fn answered(&mut self, now: Moment, from: Id, token: u64) {
        if let Some(relay) = self.relays.remove(&token) {
            return self.say(relay.by, MessageKind::Ack(relay.token));
        }
        if let Some(probe) = self.probe.take_if(|probe| probe.token == token) {
            if let Some(known) = self.known.get_mut(&probe.whom) {
                known.heard = Some(now);
            }
            if probe.whom == from || probe.passed_on {
                self.faster();
            }
        }
    }

    /// The turn at `due`, or later.
    pub fn tick(&mut self, now: Moment) {
        if now < self.due {
            return;
        }
        // Late by itself: what it took for silence of others may have been its own.
        if self.due > Moment(0) && now.since(self.due) > self.pace.probe_interval.times(0.5) {
            self.slower();
            if let Some(probe) = &mut self.probe {
                probe.since = now;
            }
        }
        let late: Vec<u64> = self.relays.iter().filter(|relay| relay.1.until <= now).map(|r| *r.0).collect();
        for token in late {
            if let Some(relay) = self.relays.remove(&token) {
                self.say(relay.by, MessageKind::Nack(relay.token));
            }
        }
        self.doubt(now);
        let begin = self
            .probe
            .as_ref()
            .is_none_or(|probe| now.since(probe.since) >= self.times(self.pace.probe_interval));
        if begin {
            self.conclude(now);
            self.begin(now);
        }
        self.pass_on(now);
        self.due = now + self.pace.ack_timeout.times(0.5);
    }

    /// Suspicions whose time is up.
    fn doubt(&mut self, now: Moment) {
        let (least, most) = self.pace.suspicion_timeout;
        // Among many, what is said against a member and its answer need more rounds (50 members at a tenth lost held one
        // that lived for gone).
        let rounds = (f64::from(self.known.len() as u32 + 1).log2() / 2.0).max(1.0);
        let over = |known: &Known| {
            // With each accuser the time shrinks towards the least, by the logarithm of their number.
            let part = (known.accusers.len().clamp(1, ACCUSERS) as f64).ln() / (ACCUSERS as f64).ln();
            let span = Span::of_seconds(most.seconds() - (most.seconds() - least.seconds()) * part);
            known.state == MemberState::Suspect && now.since(known.since) >= self.times(span.times(rounds))
        };
        let gone: Vec<(Id, u64)> = self
            .known
            .iter()
            .filter(|known| over(known.1))
            .map(|known| (*known.0, known.1.incarnation))
            .collect();
        for (subject, incarnation) in gone {
            self.learn(
                now,
                Update { member: subject, incarnation, state: MemberState::Gone, reported_by: self.own },
            );
        }
    }

    /// A probe that nobody answered in all of its time.
    fn conclude(&mut self, now: Moment) {
        let Some(probe) = self.probe.take() else { return };
        let Some(known) = self.known.get(&probe.whom) else { return };
        // Those asked in our place did not even say that they tried: it may be our own way that is bad. Of one that is held
        // for lost already nothing else was to be expected: with one of three gone the other two grew slow for good.
        let unexpected = u32::from(known.state == MemberState::Alive);
        self.health_score = (self.health_score + unexpected + probe.silent.min(2) as u32).min(SLOWEST);
        let (subject, incarnation) = (probe.whom, known.incarnation);
        self.learn(
            now,
            Update { member: subject, incarnation, state: MemberState::Suspect, reported_by: self.own },
        );
    }

    fn begin(&mut self, now: Moment) {
        self.period += 1;
        if self.round.is_empty() {
            self.round = self.known.keys().copied().collect();
            self.rng.shuffle(&mut self.round);
        }
        let Some(whom) = self.round.pop().filter(|id| self.known.contains_key(id)) else { return };
        self.tokens += 1;
        let token = self.tokens;
        self.probe = Some(Probe { whom, token, since: now, passed_on: false, silent: 0 });
        self.say(whom, MessageKind::Ping(token));
        if self.period.is_multiple_of(self.pace.full_sync_interval.max(1)) {
            let all: Vec<Id> = self.known.keys().copied().collect();
            let with = all[self.rng.usize(0..all.len())];
            self.say(with, MessageKind::FullSync(true));
        }
    }

    /// No direct answer: others are asked to try.
    fn pass_on(&mut self, now: Moment) {
        let within = self.times(self.pace.ack_timeout);
        let Some(probe) = self.probe.as_ref().filter(|p| !p.passed_on && now.since(p.since) >= within) else {
            return;
        };
        let (whom, token) = (probe.whom, probe.token);
        let mut others: Vec<Id> = self
            .known
            .iter()
            .filter(|k| *k.0 != whom && k.1.state == MemberState::Alive)
            .map(|k| *k.0)
            .collect();
        self.rng.shuffle(&mut others);
        others.truncate(self.pace.relay_count);
        others.iter().for_each(|other| self.say(*other, MessageKind::PingRequest(token, whom)));
        if let Some(probe) = &mut self.probe {
            (probe.passed_on, probe.silent) = (true, others.len());
        }
    }
}
