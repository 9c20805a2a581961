//! Members under virtual time: agreement, disks, links and leases of a whole cluster in one thread, from a seed, thousands
//! of bad days in minutes. The members are the product's own; their driver, network, clocks and disks are simulated.
//!
//! Checked after each step: no duty is acted on by two planners at one moment, by their own clocks; what all may use of a
//! budget, and what lingers of what they used, is no more than the whole. Checked at the end, by the audit of cluster days: each key's orders and fresh reads fit one order, and no number is given twice.

use crate::cluster::judge::{judge, Breach, Done, Op};
use pewtergap_duty::LeaseConfig;
use pewtergap_member::messages::SUPPORTED_FORMATS;
use pewtergap_member::{DutyConfig, Member, MemberConfig, MemberEvent, Reply, Request, SharingConfig};
use pewtergap_node::{Effect, Input, Node, Outbox};
use pewtergap_raft::RaftConfig;
use pewtergap_record::{Command, CommandKind, Order, OrderAction, Subject, Weight};
use pewtergap_shares::{BudgetConfig, TOTAL_UNITS};
use pewtergap_time::{Moment, Span};
use pewtergap_virtual::{Logged, Nature, Place, World};
use serde::Serialize;
use std::any::Any;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

const BEGIN: Moment = Moment(1_700_000_000_000_000_000);
const KEYS: usize = 4;
const DUTIES: usize = 5;
const OPERATORS: usize = 4;
const GONE: u64 = 1 << 50;
const LEASE: LeaseConfig = LeaseConfig {
    duration: Span::millis(1_000),
    renew_interval: Span::millis(200),
    max_pause: Span::millis(250),
    max_clock_drift: 0.02,
};

const LINGERS: Span = Span::millis(500);

/// What the search has to find: each is put into the world or the recording, never into the members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// Clocks are off by ten times what the settings allow for.
    WildClocks,
    /// Disks say that a write is there before it is.
    LyingDisks,
    /// A fresh read tells what was so before.
    StaleRead,
    /// What a planner could cause is over at once, for all the others know.
    FreedAtOnce,
}

pub const PLANTED: &[(&str, Planted)] = &[
    ("wild-clocks", Planted::WildClocks),
    ("lying-disks", Planted::LyingDisks),
    ("stale-read", Planted::StaleRead),
    ("freed-at-once", Planted::FreedAtOnce),
];

/// What a seed came to.
#[derive(Clone, Debug, Serialize)]
pub struct Explored {
    pub seed: u64,
    pub members: usize,
    pub steps: u64,
    pub virtual_s: f64,
    pub kept: usize,
    pub unknown: usize,
    pub fresh: usize,
    /// Moments at which a duty was acted on, of those that were looked at.
    pub held: f64,
    /// The most that was in use of a budget at one moment, with what lingered, in parts of it; and in the mean.
    pub most_used: f64,
    pub mean_used: f64,
    pub troubles: Vec<String>,
    /// Rule, step, virtual seconds, what.
    pub broken: Vec<(String, u64, f64, String)>,
    /// All that happened, as one number.
    pub trace: u64,
}

#[derive(Default)]
struct Answers(Vec<(u64, Reply, BTreeMap<usize, u64>)>);

/// A member and nothing beside it.
struct Clerk {
    member: Arc<Mutex<Member>>,
    answers: Arc<Mutex<Answers>>,
}

fn hold<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl Node for Clerk {
    fn handle(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) {
        let mut member = hold(&self.member);
        match input {
            Input::Command(word) => {
                let parts: Vec<u64> = word.split(' ').filter_map(|part| part.parse().ok()).collect();
                match parts.as_slice() {
                    [token] => member.request(now, *token, Request::LinearizableRead, out),
                    [token, id, key, value, given] => {
                        let weight = Weight { server: format!("s{key}"), weight: *value as f64 };
                        let wish = Some(OrderAction::SetWeight(weight));
                        let order = Order {
                            issued_by: "x".into(),
                            reason: "y".into(),
                            action: wish,
                            ..Order::default()
                        };
                        let what = Some(CommandKind::Order(order));
                        let command = Command { id: *id, issued_at_ms: *given, kind: what };
                        member.request(now, *token, Request::Command(command), out);
                    }
                    _ => {}
                }
            }
            Input::Stop => {
                member.stop(now, out);
                out.set_timer(GONE, now + Span::millis(400));
            }
            // As the planner beside it does: one that only stopped would lead and take nothing in.
            Input::TimerFired { timer: GONE } => out.push(Effect::Exit { code: 0 }),
            input => member.handle(now, input, out),
        }
        for told in std::mem::take(&mut member.events) {
            let MemberEvent::Reply { token, reply } = told else { continue };
            let weights = member.record.orders().filter_map(|(subject, kept)| {
                let (Subject::Weight(at), Some(OrderAction::SetWeight(weight))) =
                    (subject, &kept.order.as_ref()?.action)
                else {
                    return None;
                };
                Some((at.trim_start_matches('s').parse().ok()?, weight.weight as u64))
            });
            let found = weights.collect();
            hold(&self.answers).0.push((token, reply, found));
        }
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}

struct Search {
    world: World,
    places: Vec<Place>,
    members: Vec<Arc<Mutex<Member>>>,
    answers: Vec<Arc<Mutex<Answers>>>,
    asked: BTreeMap<u64, Op>,
    /// The same order at a second member at once: under which token, and of which number it was told first.
    twins: BTreeMap<u64, u64>,
    numbers: BTreeMap<u64, u64>,
    ops: Vec<Op>,
    tokens: u64,
    paused: Vec<bool>,
    duties: Vec<String>,
    looked: (u64, u64),
    planted: Option<Planted>,
    /// By disk what it may use; and what was used before, until when it lingers.
    used: BTreeMap<u64, u64>,
    lingers: Vec<(Moment, u64, u64)>,
    used_sum: f64,
    came: Explored,
    old: Option<(usize, Vec<u8>)>,
}

fn address(at: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + at as u16))
}

fn file(at: usize) -> String {
    format!("m{at}.record")
}

impl Search {
    fn new(seed: u64, planted: Option<Planted>) -> Search {
        let drift = if planted == Some(Planted::WildClocks) {
            10.0 * LEASE.max_clock_drift
        } else {
            LEASE.max_clock_drift
        };
        let lies = planted == Some(Planted::LyingDisks);
        let mut world = World::new(seed, BEGIN, Nature { drift, lies, ..Nature::default() });
        let count = if world.rng.u8(0..4) == 0 { 5 } else { 3 };
        let places = (0..count).map(|_| world.machine()).collect();
        let duties: Vec<String> = (0..DUTIES).map(|duty| format!("d{duty}")).collect();
        let mut search = Search {
            world,
            places,
            members: Vec::new(),
            answers: Vec::new(),
            asked: BTreeMap::new(),
            twins: BTreeMap::new(),
            numbers: BTreeMap::new(),
            ops: Vec::new(),
            tokens: 0,
            paused: vec![false; count],
            duties,
            looked: (0, 0),
            planted,
            used: BTreeMap::new(),
            lingers: Vec::new(),
            used_sum: 0.0,
            came: Explored {
                seed,
                members: count,
                steps: 0,
                virtual_s: 0.0,
                kept: 0,
                unknown: 0,
                fresh: 0,
                held: 0.0,
                most_used: 0.0,
                mean_used: 0.0,
                troubles: Vec::new(),
                broken: Vec::new(),
                trace: 0,
            },
            old: None,
        };
        for at in 0..count {
            let (member, answers) = search.node(at);
            search.members.push(member);
            search.answers.push(answers);
        }
        search
    }

    fn shares(&self) -> SharingConfig {
        let lingers = if self.planted == Some(Planted::FreedAtOnce) { Span(0) } else { LINGERS };
        let (holds, planners) = (Span::millis(700), self.places.len() as u64);
        let budget = BudgetConfig {
            share_validity: holds,
            effect_timeout: lingers,
            max_clock_drift: LEASE.max_clock_drift,
            planner_count: planners,
        };
        SharingConfig {
            interval: Span::millis(100),
            max_age: Span::millis(1_000),
            budget,
            proxies: 0.0,
            max_streams: 0.0,
        }
    }

    /// Some members hear of other demands; what the others go by is old.
    fn demand(&mut self) {
        let ids: Vec<u64> = self.members.iter().map(|member| hold(member).id()).collect();
        let demands: BTreeMap<u64, f64> =
            ids.into_iter().map(|id| (id, f64::from(self.world.rng.u8(0..10)))).collect();
        for member in &self.members {
            if self.world.rng.u8(0..4) > 0 {
                hold(member).demands = demands.clone();
            }
        }
    }

    /// All that may be used of the budget now, and all that lingers.
    fn check_used(&mut self) {
        let now = self.world.now();
        let mut used: BTreeMap<u64, u64> = BTreeMap::new();
        for at in 0..self.places.len() {
            if self.world.runs(self.places[at]) && !self.paused[at] {
                let member = hold(&self.members[at]);
                let share = member.cold_budget_share(self.world.clock(self.places[at]));
                used.insert(member.id(), (share.unwrap_or(0.0) * TOTAL_UNITS as f64).round() as u64);
            }
        }
        self.lingers.retain(|past| past.0 > now);
        for (id, units) in &self.used {
            if *units > 0 && used.get(id) != Some(units) {
                self.lingers.push((now + LINGERS, *id, *units));
            }
        }
        self.used = used;
        let ids: std::collections::BTreeSet<u64> =
            self.used.keys().copied().chain(self.lingers.iter().map(|past| past.1)).collect();
        let most = |id: &u64| {
            let past = self.lingers.iter().filter(|past| past.1 == *id).map(|past| past.2).max();
            past.unwrap_or(0).max(self.used.get(id).copied().unwrap_or(0))
        };
        let sum: u64 = ids.iter().map(most).sum();
        self.used_sum += sum as f64 / TOTAL_UNITS as f64;
        self.came.most_used = self.came.most_used.max(sum as f64 / TOTAL_UNITS as f64);
        if sum > TOTAL_UNITS && self.came.broken.len() < 10 {
            let held: Vec<(u64, u64)> = ids.iter().map(|id| (*id, most(id))).collect();
            let what = format!("{sum} of {TOTAL_UNITS}: {held:?}");
            self.came.broken.push((
                "more than the whole".into(),
                self.world.steps,
                now.since(BEGIN).seconds(),
                what,
            ));
        }
    }

    /// A member starts on its machine, with what the disk has.
    fn node(&mut self, at: usize) -> (Arc<Mutex<Member>>, Arc<Mutex<Answers>>) {
        let all = (0..self.places.len()).map(|at| (format!("m{at}"), address(at))).collect();
        let post = MemberConfig {
            name: format!("m{at}"),
            listen: Some(address(at)),
            founders: all,
            source_ip: None,
            raft: RaftConfig { heartbeat_interval: Span::millis(50), election_timeout: Span::millis(300) },
            request_timeout: Span::millis(2_000),
            seed: self.world.rng.u64(..),
            max_format: SUPPORTED_FORMATS.1,
            duties: Some(DutyConfig {
                lease: LEASE,
                rejoin_delay: Span::millis(1_000),
                names: self.duties.clone(),
            }),
            accounting: None,
            sharing: Some(self.shares()),
            probe_slices: (0, Span(0)),
            observers: Vec::new(),
            serves_watches: false,
        };
        let member = Arc::new(Mutex::new(Member::new(post)));
        let answers = Arc::new(Mutex::new(Answers::default()));
        let clerk = Clerk { member: member.clone(), answers: answers.clone() };
        self.world.start(self.places[at], Box::new(clerk));
        (member, answers)
    }

    fn start(&mut self, at: usize) {
        if !self.world.runs(self.places[at]) {
            (self.members[at], self.answers[at]) = self.node(at);
            self.paused[at] = false;
        }
    }

    /// What was asked of it is not answered any more.
    fn lost(&mut self, at: usize) {
        let gone: Vec<u64> =
            self.asked.iter().filter(|asked| asked.1.at == at).map(|asked| *asked.0).collect();
        for token in gone {
            if let Some(op) = self.asked.remove(&token) {
                self.ops.push(op);
            }
        }
    }

    fn kill(&mut self, at: usize) {
        self.hear();
        self.world.kill(self.places[at]);
        self.lost(at);
    }

    /// A step's answers, and whether two act on one duty.
    fn hear(&mut self) {
        for at in 0..self.places.len() {
            let answers = std::mem::take(&mut hold(&self.answers[at]).0);
            for (token, reply, found) in answers {
                let order = self.twins.get(&token).copied().unwrap_or(token);
                if let Reply::Committed(number) = reply {
                    let known = *self.numbers.entry(order).or_insert(number);
                    if known != number {
                        let at = self.world.now().since(BEGIN).seconds();
                        let what = format!("one order was kept as {known} and as {number}");
                        self.came.broken.push(("one id, two numbers".into(), self.world.steps, at, what));
                    }
                }
                let Some(mut op) = self.asked.remove(&token) else { continue };
                op.returned = self.world.now();
                op.done = match reply {
                    Reply::Committed(number) => Done::Kept(number),
                    // What one was told by nobody the other may have given.
                    Reply::Rejected(_) | Reply::NoMajority
                        if self.twins.values().any(|first| *first == token) =>
                    {
                        Done::Unknown
                    }
                    Reply::Rejected(_) | Reply::NoMajority => Done::Not,
                    Reply::Unknown => Done::Unknown,
                    Reply::ReadReady { fresh: true, .. } => Done::Found(found),
                    Reply::ReadReady { .. } => Done::Nothing,
                };
                self.ops.push(op);
            }
        }
    }

    fn check(&mut self) {
        for duty in &self.duties {
            let mut acting = Vec::new();
            for at in 0..self.places.len() {
                if self.world.runs(self.places[at]) {
                    let now = self.world.clock(self.places[at]);
                    let may = hold(&self.members[at]).fencing_token(now, duty);
                    acting.extend(may.map(|number| (at, number)));
                }
            }
            self.looked.0 += 1;
            self.looked.1 += u64::from(!acting.is_empty());
            if acting.len() > 1 && self.came.broken.len() < 10 {
                let at = self.world.now().since(BEGIN).seconds();
                let what = format!("{duty} by members and numbers {acting:?}");
                self.came.broken.push(("two on one duty".into(), self.world.steps, at, what));
            }
        }
    }

    fn pass(&mut self, span: Span) {
        let until = self.world.now() + span;
        let mut next = self.world.now();
        while self.world.now() < until {
            if self.world.now() >= next {
                self.ask();
                if self.world.rng.u8(0..40) == 0 {
                    self.demand();
                }
                next = self.world.now() + Span::millis(self.world.rng.u64(10..60));
            }
            let stop = next.min(until);
            while self.world.due().is_some_and(|due| due <= stop) {
                self.world.step();
                self.hear();
                self.check();
                self.check_used();
            }
            self.world.rest_until(stop);
        }
    }

    fn ask(&mut self) {
        let at = self.world.rng.usize(0..self.places.len());
        // So many operators, each with one call at a time: more at once is more than the search for their order bears.
        if self.asked.len() >= OPERATORS || !self.world.runs(self.places[at]) {
            return;
        }
        self.tokens += 1;
        let called = self.world.now();
        let read = self.world.rng.u8(0..3) == 0;
        let order = (!read).then(|| (self.world.rng.usize(0..KEYS), self.tokens));
        let word = match order {
            None => self.tokens.to_string(),
            Some((key, value)) => {
                let (id, given) = (self.world.rng.u64(1..), called.0 / 1_000_000);
                format!("{} {id} {key} {value} {given}", self.tokens)
            }
        };
        self.world.word(self.places[at], &word);
        if order.is_some() && self.world.rng.u8(0..6) == 0 {
            let other = self.world.rng.usize(0..self.places.len());
            let (first, rest) = (self.tokens, word.split_once(' ').map_or("", |word| word.1));
            self.tokens += 1;
            self.twins.insert(self.tokens, first);
            self.world.word(self.places[other], &format!("{} {rest}", self.tokens));
            self.asked.insert(first, Op { called, returned: called, at, order, done: Done::Unknown });
            return;
        }
        let done = if read { Done::Nothing } else { Done::Unknown };
        self.asked.insert(self.tokens, Op { called, returned: called, at, order, done });
    }

    fn whole(&self) -> bool {
        let fine = |at: &usize| {
            let member = hold(&self.members[*at]);
            member.raft().is_some_and(|agree| {
                let list = &agree.members().list;
                list.len() == self.places.len() && list.iter().all(|m| m.is_voter) && agree.leader().is_some()
            })
        };
        (0..self.places.len()).all(|at| self.world.runs(self.places[at]) && !self.paused[at] && fine(&at))
    }

    fn mend(&mut self) {
        self.world.heal();
        for at in 0..self.places.len() {
            if std::mem::take(&mut self.paused[at]) {
                self.world.resume(self.places[at]);
            }
            self.start(at);
        }
    }

    fn strike(&mut self) {
        let count = self.places.len();
        let one = self.world.rng.usize(0..count);
        let other = (one + self.world.rng.usize(1..count)) % count;
        let (a, b) = (self.places[one], self.places[other]);
        let kind = self.world.rng.u8(0..12);
        let name = match kind {
            0 | 1 => {
                self.kill(one);
                "kill"
            }
            2 => {
                self.world.stop(a);
                "stop"
            }
            3 | 4 => {
                self.world.pause(a);
                self.paused[one] = self.world.runs(a);
                "pause"
            }
            5 => {
                self.world.cut(a, b);
                "one-way"
            }
            6 | 7 => {
                for at in (0..count).filter(|at| *at != one) {
                    let other = self.places[at];
                    if kind == 6 || self.world.rng.bool() {
                        self.world.cut(a, other);
                    }
                    if kind == 6 || self.world.rng.bool() {
                        self.world.cut(other, a);
                    }
                }
                "isolate"
            }
            8 => {
                self.world.reset(a, b);
                "reset"
            }
            9 | 10 if self.whole() => {
                // A disk lost, or put back from before: no more of them at a time than a majority bears.
                match (kind, self.old.take()) {
                    (10, Some((at, bytes))) => {
                        self.kill(at);
                        self.world.put(self.places[at], &file(at), Some(bytes));
                        self.start(at);
                        "old-copy"
                    }
                    _ => {
                        self.kill(one);
                        self.world.put(a, &file(one), None);
                        self.start(one);
                        "wipe"
                    }
                }
            }
            11 => {
                self.old = self.world.file(a, &file(one)).map(|bytes| (one, bytes));
                "copy"
            }
            _ => {
                self.mend();
                "mend"
            }
        };
        let at = self.world.now().since(BEGIN).seconds();
        self.came.troubles.push(format!("{name} m{one} at {at:.1}"));
    }

    /// Until all are whole again, within a stated time of the world.
    fn settle(&mut self) {
        self.mend();
        for _ in 0..300 {
            self.pass(Span::millis(100));
            if self.whole() {
                return;
            }
            // One that ended by itself is started again, as by whatever looks after processes.
            self.mend();
        }
        let at = self.world.now().since(BEGIN).seconds();
        let what = "not all belong and follow a leader 30 s after the last trouble".to_string();
        self.came.broken.push(("whole again".into(), self.world.steps, at, what));
    }
}

/// One seed.
pub fn explore(seed: u64, planted: Option<Planted>) -> Explored {
    run(seed, planted, false).0
}

/// One seed again, with what the members logged.
pub fn replay(seed: u64, planted: Option<Planted>) -> (Explored, Vec<String>) {
    run(seed, planted, true)
}

fn run(seed: u64, planted: Option<Planted>, listens: bool) -> (Explored, Vec<String>) {
    let mut search = Search::new(seed, planted);
    search.world.listens = listens;
    search.settle();
    search.pass(Span::millis(2_500));
    for _ in 0..search.world.rng.usize(4..12) {
        search.strike();
        let span = Span::millis(search.world.rng.u64(20..1_800));
        search.pass(span);
        if search.world.rng.u8(0..3) == 0 {
            search.mend();
        }
        if matches!(search.came.troubles.last().map(String::as_str), Some(last) if last.starts_with("wipe") || last.starts_with("old"))
        {
            search.settle();
        }
    }
    search.settle();
    search.pass(Span::millis(3_000));
    (0..search.places.len()).for_each(|at| search.lost(at));
    let Search { mut came, mut ops, world, looked, used_sum, .. } = search;
    came.mean_used = used_sum / world.steps.max(1) as f64;
    if planted == Some(Planted::StaleRead) {
        let mut reads: Vec<&mut Op> = ops.iter_mut().filter(|op| matches!(op.done, Done::Found(_))).collect();
        reads.sort_by_key(|op| op.called);
        let old = reads.first().map(|first| first.done.clone());
        if let (Some(last), Some(old)) = (reads.last_mut(), old) {
            last.done = old;
        }
    }
    let breaches: Vec<Breach> = judge(&ops, &[]);
    let at = world.now().since(BEGIN).seconds();
    came.broken.extend(breaches.into_iter().map(|b| (b.rule.to_string(), world.steps, at, b.what)));
    let count = |fits: fn(&Op) -> bool| ops.iter().filter(|op| fits(op)).count();
    came.kept = count(|op| matches!(op.done, Done::Kept(_)));
    came.unknown = count(|op| op.done == Done::Unknown);
    came.fresh = count(|op| matches!(op.done, Done::Found(_)));
    (came.steps, came.virtual_s, came.trace) = (world.steps, at, world.trace);
    came.held = looked.1 as f64 / looked.0.max(1) as f64;
    let line = |logged: &Logged| {
        let fields: Vec<String> =
            logged.line.fields.iter().map(|(name, value)| format!("{name}={value}")).collect();
        let at = logged.at.since(BEGIN).seconds();
        format!("{at:>9.4} m{} {} {}", logged.place.0, logged.line.event, fields.join(" "))
    };
    let mut lines: Vec<String> = world.logged.iter().map(line).collect();
    lines.extend(came.troubles.iter().cloned());
    (came, lines)
}
