//! The five rules, judged from a recording alone: from what passed on the sockets, not from what a component
//! says of itself. And, as number 6, what planners together do and say: who asks servers how they are, how many proxies are
//! joined.

use crate::record::{Kind, Row};
use pewtergap_evidence::MAX_SERVER_REDUCTION;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fmt;

/// The facts of a day that an audit needs, kept in the recording's first row. Spans in nanoseconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Facts {
    pub day: String,
    pub seed: u64,
    pub started: i64,
    pub no_line: i64,
    pub drain_grace: i64,
    pub cold_from: f64,
    pub cold_for: i64,
    pub overload: f64,
    pub fall: i64,
    pub head: f64,
    pub most_waiting: f64,
    /// 0 where there is no limit.
    pub messages: usize,
    pub messages_over: i64,
    /// Leaving the list binds as draining does.
    pub removal_binds: bool,
    /// A channel that is slow by this factor at worst: times in the rules lengthen by it.
    pub slowest: f64,
    /// Name, SLO time, whether it must not run twice.
    pub routes: Vec<(String, i64, bool)>,
    /// Where one planner asks a server for all: the longest that it may go unasked, and be asked by two.
    #[serde(default)]
    pub asked: Option<(i64, i64)>,
    /// When members were struck: whoever has nobody to ask then asks for itself.
    #[serde(default)]
    pub struck: Vec<(i64, i64)>,
    /// When a zone was cut off or lost: what is asked across a cut never arrives, and is not seen.
    #[serde(default)]
    pub blind: Vec<(i64, i64)>,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Breach {
    pub rule: u8,
    /// Seconds into the day.
    pub at: f64,
    /// The parties concerned.
    pub peers: String,
    pub what: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "rule {} at {:.3} s, {}: {}", self.rule, self.at, self.peers, self.what)
    }
}

/// What was looked at, so that a rule kept is known to have been tried.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Looked {
    pub rows: usize,
    pub calls: usize,
    pub sent: usize,
    pub sent_joined: usize,
    pub mutating_sent: usize,
    pub answers_lost: usize,
    pub drains_told: usize,
    /// Drains by order that a planner went by, and orders that were kept.
    pub drains_ordered: usize,
    pub orders_kept: usize,
    /// Probes of servers, and the most planners that probed one of them within a second.
    pub probes: usize,
    pub most_probers: usize,
    /// Once duties have settled: the same, and the longest that a server went without a probe, in seconds.
    pub settled_probers: usize,
    pub longest_unprobed_s: f64,
    /// And was asked by two, while no member was struck.
    pub longest_doubled_s: f64,
    /// Counts of joined proxies that planners told, how many of them had bounds, and the mean width of these.
    pub counted: usize,
    pub bounded: usize,
    pub mean_width: f64,
    /// Of a planner's servers together, lightened by hearsay at most.
    pub most_lightened: f64,
    pub longest_lightened_s: f64,
    pub cold_starts: usize,
    pub messages: usize,
    /// The highest, as part of its limit.
    pub worst_waiting: f64,
    pub worst_messages: f64,
    pub worst_cold: f64,
    /// Seconds a proxy went on sending after its planner was told, at worst, and lacked a line.
    pub worst_drain_s: f64,
    pub worst_bare_s: f64,
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Audit {
    pub breaches: Vec<Breach>,
    pub looked: Looked,
}

#[derive(Clone, Debug, Default)]
struct Told {
    running: bool,
    started: i64,
    /// Since when it is stopping or gone.
    left: Option<i64>,
    /// Since when an operator's drain is known to it; and when that changed last.
    ordered: Option<i64>,
    order: i64,
    at: i64,
}

#[derive(Default)]
struct Proxy {
    planner: Option<String>,
    since: i64,
    bare: Option<i64>,
    bare_told: bool,
}

struct Cold {
    rate: f64,
    started: i64,
    window: VecDeque<(i64, f64)>,
    sum: f64,
}

/// A window's work is held against the capacity with this much room for chance.
const SLACK: f64 = 1.1;
/// So long after the day's begin duties have found their holders: a steady second, and what probes were on their way.
const SETTLED: i64 = 4_000_000_000;
/// When a stream begins or ends is seen on the wire a little before or after its planner counts it.
const UNSURE: i64 = 700_000_000;
/// Breaches of one rule that are kept; all are counted.
const KEPT: usize = 50;

pub fn facts(rows: &[Row]) -> Result<Facts, String> {
    let first =
        rows.iter().find(|row| row.kind == Kind::Day).ok_or("the recording has no facts of its day")?;
    serde_json::from_str(&first.text).map_err(|e| format!("the facts of the day cannot be read: {e}"))
}

pub fn audit(rows: &[Row]) -> Result<Audit, String> {
    let facts = facts(rows)?;
    let mut judge = Judge {
        facts: &facts,
        audit: Audit::default(),
        proxies: HashMap::new(),
        lists: HashMap::new(),
        cold: HashMap::new(),
        tries: HashMap::new(),
        updates: BTreeMap::new(),
        told: HashMap::new(),
        counts: [0; 7],
        joined: vec![(i64::MIN, 0)],
        counted: Vec::new(),
        doubled: HashMap::new(),
        probers: HashMap::new(),
        probed: HashMap::new(),
    };
    judge.audit.looked.rows = rows.len();
    let mut ordered: Vec<&Row> = rows.iter().collect();
    ordered.sort_by_key(|row| row.at);
    ordered.iter().for_each(|row| judge.see(row));
    judge.channels();
    judge.counts_of_joined();
    judge.audit.breaches.sort_by(|a, b| a.at.total_cmp(&b.at));
    Ok(judge.audit)
}

/// When, by which proxy, at which server.
type Tried = (i64, String, String);

struct Judge<'a> {
    facts: &'a Facts,
    audit: Audit,
    proxies: HashMap<String, Proxy>,
    /// By planner and server.
    lists: HashMap<String, HashMap<String, Told>>,
    cold: HashMap<String, Cold>,
    /// Tries of a client's try that may have run, by call and that try: when, proxy, server.
    tries: HashMap<(String, i64), Vec<Tried>>,
    /// By planner: when ordered, when on the socket, lines with their head.
    updates: BTreeMap<String, Vec<(i64, i64, f64)>>,
    /// When each proxy was sent messages by a planner.
    told: HashMap<(String, String), VecDeque<i64>>,
    counts: [usize; 7],
    /// How many proxies were joined from when on.
    joined: Vec<(i64, i64)>,
    counted: Vec<Row>,
    /// Since when a server has been asked by two.
    doubled: HashMap<String, i64>,
    /// By server: when probed by whom, the last second.
    probers: HashMap<String, VecDeque<(i64, String)>>,
    probed: HashMap<String, i64>,
}

impl Judge<'_> {
    fn seconds(&self, at: i64) -> f64 {
        (at - self.facts.started) as f64 / 1e9
    }

    fn breach(&mut self, rule: u8, at: i64, peers: String, what: String) {
        self.counts[usize::from(rule)] += 1;
        if self.counts[usize::from(rule)] <= KEPT {
            let at = self.seconds(at);
            self.audit.breaches.push(Breach { rule, at, peers, what });
        }
    }

    fn see(&mut self, row: &Row) {
        match row.kind {
            Kind::Asked => self.audit.looked.calls += 1,
            Kind::Counted => self.counted.push(row.clone()),
            Kind::Joined => {
                if self.proxies.get(&row.from).is_none_or(|proxy| proxy.planner.is_none()) {
                    self.joins(row.at, 1);
                }
                let proxy = self.proxies.entry(row.from.clone()).or_default();
                *proxy = Proxy { planner: Some(row.to.clone()), since: row.at, ..Proxy::default() };
                self.told.remove(&(row.to.clone(), row.from.clone()));
            }
            Kind::Left => {
                let proxy = self.proxies.entry(row.from.clone()).or_default();
                if proxy.planner.as_deref() == Some(&row.to) {
                    *proxy = Proxy::default();
                    self.joins(row.at, -1);
                }
            }
            Kind::Listed => self.listed(row),
            Kind::Ordered => self.ordered(row),
            Kind::Probed => self.probed(row),
            Kind::Capacity => self.capacity(row),
            Kind::Answered => self.answered(row),
            Kind::Sent => self.sent(row),
            Kind::Served => self.served(row),
            Kind::Update => self.update(row),
            _ => {}
        }
    }

    fn listed(&mut self, row: &Row) {
        let list = self.lists.entry(row.to.clone()).or_default();
        if row.text == "complete" && row.route.is_empty() {
            // What a complete list leaves out is gone.
            for told in list.values_mut().filter(|told| told.at < row.at && told.left.is_none()) {
                *told = Told { running: false, left: Some(row.at), at: row.at, ..told.clone() };
            }
            return;
        }
        let running = row.route == "running";
        let told = list.entry(row.text.clone()).or_default();
        let left = if running { None } else { told.left.or(Some(row.at)) };
        // Where leaving the list does not bind, only what was told to stop must be left.
        let binds = row.route == "stopping" || self.facts.removal_binds;
        let left = if binds || told.left.is_some() { left } else { None };
        if left.is_some() && told.left.is_none() {
            self.audit.looked.drains_told += 1;
        }
        let started = if running { row.m } else { told.started };
        *told = Told { running, started, left, ordered: told.ordered, order: told.order, at: row.at };
    }

    fn probed(&mut self, row: &Row) {
        self.audit.looked.probes += 1;
        let by = self.probers.entry(row.to.clone()).or_default();
        by.push_back((row.at, row.from.clone()));
        while by.front().is_some_and(|first| first.0 <= row.at - 1_000_000_000) {
            by.pop_front();
        }
        let settled = row.at > self.facts.started + SETTLED;
        let last = self.probed.insert(row.to.clone(), row.at);
        if let Some(last) = last.filter(|last| settled && *last > self.facts.started + SETTLED) {
            let unprobed = (row.at - last) as f64 / 1e9;
            self.audit.looked.longest_unprobed_s = self.audit.looked.longest_unprobed_s.max(unprobed);
        }
        let mut names: Vec<&String> = by.iter().map(|probe| &probe.1).collect();
        names.sort_unstable();
        names.dedup();
        let count = names.len();
        self.audit.looked.most_probers = self.audit.looked.most_probers.max(count);
        if settled {
            self.audit.looked.settled_probers = self.audit.looked.settled_probers.max(count);
            self.asked(row, last.filter(|last| *last > self.facts.started + SETTLED), count);
        }
    }

    /// Of servers that one planner asks for all: none goes unasked for long, none is asked by two for long.
    fn asked(&mut self, row: &Row, last: Option<i64>, count: usize) {
        let Some((unasked, doubled)) = self.facts.asked else { return };
        // Drains, by list or by order, are asked by nobody; nor is one that just came back from one.
        let away = |told: &Told| {
            !told.running || told.ordered.is_some() || last.is_some_and(|last| told.at.max(told.order) > last)
        };
        let gone = self.lists.values().any(|list| list.get(&row.to).is_some_and(away));
        let blind = |last: i64| self.facts.blind.iter().any(|span| span.0 < row.at && span.1 > last);
        let seen = last.filter(|last| !gone && !blind(*last));
        if let Some(gap) = seen.map(|last| row.at - last).filter(|gap| *gap > unasked) {
            let what = format!("nobody asked how it is for {:.1} s", gap as f64 / 1e9);
            self.breach(6, row.at, format!("server {}", row.to), what);
        }
        if count < 2 {
            self.doubled.remove(&row.to);
            return;
        }
        // From when members were last struck: then each that has nobody to ask asks for itself.
        let struck = self.facts.struck.iter().filter(|span| span.0 <= row.at).map(|span| span.1).max();
        let since = *self.doubled.entry(row.to.clone()).or_insert(row.at);
        let lasts = row.at - since.max(struck.unwrap_or(since));
        self.audit.looked.longest_doubled_s = self.audit.looked.longest_doubled_s.max(lasts as f64 / 1e9);
        if lasts > doubled {
            let what = format!("asked by {count} planners for {:.1} s", lasts as f64 / 1e9);
            self.breach(6, row.at, format!("server {}", row.to), what);
        }
    }

    fn joins(&mut self, at: i64, by: i64) {
        let now = self.joined.last().map_or(0, |last| last.1);
        self.joined.push((at, now + by));
    }

    /// What each planner told of how many proxies are joined, against how many were: the interval has to hold it.
    fn counts_of_joined(&mut self) {
        let mut width = 0.0;
        let mut since: BTreeMap<(String, String), i64> = BTreeMap::new();
        for row in std::mem::take(&mut self.counted) {
            self.audit.looked.counted += 1;
            let view: serde_json::Value = serde_json::from_str(&row.text).unwrap_or_default();
            let lighter = view["lighter"].as_object().cloned().unwrap_or_default();
            let light: f64 = lighter.values().filter_map(serde_json::Value::as_f64).sum();
            self.audit.looked.most_lightened = self.audit.looked.most_lightened.max(light);
            since.retain(|key, _| key.0 != row.from || lighter.contains_key(&key.1));
            for (server, part) in &lighter {
                let begin = *since.entry((row.from.clone(), server.clone())).or_insert(row.at);
                let lasts = (row.m - begin) as f64 / 1e9;
                self.audit.looked.longest_lightened_s = self.audit.looked.longest_lightened_s.max(lasts);
                if part.as_f64().is_none_or(|part| part > MAX_SERVER_REDUCTION) {
                    let what = format!("by hearsay alone it weighs less by {part} of its weight");
                    self.breach(6, row.at, format!("planner {}, server {server}", row.from), what);
                }
            }
            let figure = &view["joined"];
            let (Some(least), Some(most)) = (figure["least"].as_f64(), figure["most"].as_f64()) else {
                continue;
            };
            let age = figure["age_ms"].as_i64().unwrap_or(0) * 1_000_000;
            let (from, to) = (row.at - age - UNSURE, row.m - age + UNSURE);
            let before = self.joined.iter().rev().find(|step| step.0 <= from).map(|step| step.1);
            let within = self.joined.iter().filter(|step| step.0 > from && step.0 <= to).map(|step| step.1);
            let were: Vec<i64> = before.into_iter().chain(within).collect();
            self.audit.looked.bounded += 1;
            width += most - least;
            let (low, high) = (were.iter().min().copied(), were.iter().max().copied());
            let (Some(low), Some(high)) = (low, high) else { continue };
            if (high as f64) < least || (low as f64) > most {
                let what = format!("told of {least} to {most} joined proxies, it were {low} to {high}");
                self.breach(6, row.at, format!("planner {}", row.from), what);
            }
        }
        self.audit.looked.mean_width = width / self.audit.looked.bounded.max(1) as f64;
    }

    fn ordered(&mut self, row: &Row) {
        if row.route == "kept" {
            self.audit.looked.orders_kept += 1;
            return;
        }
        let told = self.lists.entry(row.to.clone()).or_default().entry(row.text.clone()).or_default();
        told.order = row.at;
        match row.route.as_str() {
            "drain" if told.ordered.is_none() => {
                told.ordered = Some(row.at);
                self.audit.looked.drains_ordered += 1;
            }
            "drain" => {}
            _ => told.ordered = None,
        }
    }

    fn capacity(&mut self, row: &Row) {
        let cold = self.cold.entry(row.from.clone()).or_insert(Cold {
            rate: row.x,
            started: row.m,
            window: VecDeque::new(),
            sum: 0.0,
        });
        if cold.started != row.m {
            cold.window.clear();
            cold.sum = 0.0;
            self.audit.looked.cold_starts += 1;
        }
        (cold.rate, cold.started) = (row.x, row.m);
    }

    /// Rule 1: from the first call answered "no line" on, until one is sent again.
    fn answered(&mut self, row: &Row) {
        if row.text != "no-line" {
            return;
        }
        let Some(proxy) = self.proxies.get(&row.from) else { return };
        let Some(planner) = proxy.planner.clone() else { return };
        let warm = |told: &Told| {
            told.running && told.ordered.is_none() && row.at - told.started >= self.facts.cold_for
        };
        let servers = self.lists.get(&planner).map(|list| list.values().filter(|told| warm(told)).count());
        let servers = servers.unwrap_or(0);
        let Some(proxy) = self.proxies.get_mut(&row.from) else { return };
        if servers == 0 {
            proxy.bare = None;
            return;
        }
        let from = proxy.bare.get_or_insert(row.at).max(&mut proxy.since);
        let lacked = row.at - *from;
        let seconds = lacked as f64 / 1e9;
        self.audit.looked.worst_bare_s = self.audit.looked.worst_bare_s.max(seconds);
        if lacked as f64 > self.facts.no_line as f64 * self.facts.slowest && !proxy.bare_told {
            proxy.bare_told = true;
            let peers = format!("proxy {} of planner {planner}", row.from);
            let what =
                format!("no line to pick for {seconds:.2} s while {servers} open, warm servers are listed");
            self.breach(1, row.at, peers, what);
        }
    }

    fn sent(&mut self, row: &Row) {
        let looked = &mut self.audit.looked;
        looked.sent += 1;
        let mutating = self.facts.routes.iter().any(|route| route.0 == row.route && route.2);
        if mutating {
            looked.mutating_sent += 1;
            let tries = self.tries.entry((row.call.clone(), row.n)).or_default();
            tries.push((row.at, row.from.clone(), row.to.clone()));
            if let [first, .., second] = tries.as_slice() {
                let peers = format!("proxy {}", second.1);
                let what =
                    format!("{} call {} sent to {} and again to {}", row.route, row.call, first.2, second.2);
                self.breach(2, row.at, peers, what);
            }
        }
        let Some(proxy) = self.proxies.get_mut(&row.from) else { return };
        (proxy.bare, proxy.bare_told) = (None, false);
        let Some(planner) = proxy.planner.clone() else { return };
        self.audit.looked.sent_joined += 1;
        let since = proxy.since;
        let told = self.lists.get(&planner).and_then(|list| list.get(&row.to));
        let left = told.and_then(|told| match (told.left, told.ordered) {
            (Some(left), Some(ordered)) => Some(left.min(ordered)),
            (left, ordered) => left.or(ordered),
        });
        if let Some(left) = left {
            let after = row.at - left.max(since);
            let seconds = after as f64 / 1e9;
            self.audit.looked.worst_drain_s = self.audit.looked.worst_drain_s.max(seconds);
            if after as f64 > self.facts.drain_grace as f64 * self.facts.slowest {
                let peers = format!("proxy {} of planner {planner}, server {}", row.from, row.to);
                let what =
                    format!("sent {seconds:.2} s after the planner was told that it drains or is gone");
                self.breach(3, row.at, peers, what);
            }
        }
        self.cold_work(row);
    }

    /// Rule 4: what joined proxies together bring a cold server within any window of the stated length.
    fn cold_work(&mut self, row: &Row) {
        let Some(cold) = self.cold.get_mut(&row.to) else { return };
        let age = row.at - cold.started;
        if age >= self.facts.cold_for {
            return;
        }
        cold.window.push_back((row.at, row.x));
        cold.sum += row.x;
        while let Some((_, work)) = cold.window.front().copied().filter(|f| f.0 <= row.at - self.facts.fall) {
            cold.window.pop_front();
            cold.sum -= work;
        }
        let warmth =
            self.facts.cold_from + (1.0 - self.facts.cold_from) * age as f64 / self.facts.cold_for as f64;
        let can = cold.rate * warmth * self.facts.fall as f64 / 1e9;
        let part = cold.sum / (can * self.facts.overload * SLACK).max(1.0);
        self.audit.looked.worst_cold = self.audit.looked.worst_cold.max(part);
        if part > 1.0 {
            let times = cold.sum / can;
            let peers = format!("server {}, last by proxy {}", row.to, row.from);
            let (window, age) = (self.facts.fall as f64 / 1e9, age as f64 / 1e9);
            let what = format!(
                "cold, {age:.1} s after its start, and sent {times:.1} times what it can do in {window} s"
            );
            self.breach(4, row.at, peers, what);
        }
    }

    fn served(&mut self, row: &Row) {
        if row.text == "lost" {
            self.audit.looked.answers_lost += 1;
        }
        // The server itself says that it did not run: this try does not count as an effect.
        if row.m == 0 && row.n == 503 {
            for tries in self.tries.iter_mut().filter(|tries| tries.0 .0 == row.call).map(|tries| tries.1) {
                tries.retain(|tried| !(tried.1 == row.to && tried.2 == row.from));
            }
        }
    }

    fn update(&mut self, row: &Row) {
        self.audit.looked.messages += 1;
        let ordered = row.m.min(row.at);
        let lines = row.n as f64 + self.facts.head;
        self.updates.entry(row.from.clone()).or_default().push((ordered, row.at, lines));
        if self.facts.messages == 0 {
            return;
        }
        let over = self.facts.messages_over;
        let told = self.told.entry((row.from.clone(), row.to.clone())).or_default();
        told.push_back(row.at);
        while told.front().is_some_and(|at| *at <= row.at - over) {
            told.pop_front();
        }
        let count = told.len();
        let part = count as f64 / self.facts.messages as f64;
        self.audit.looked.worst_messages = self.audit.looked.worst_messages.max(part);
        if count > self.facts.messages {
            let peers = format!("planner {}, proxy {}", row.from, row.to);
            let what = format!(
                "{count} messages within {} s, {} are allowed",
                over as f64 / 1e9,
                self.facts.messages
            );
            self.breach(5, row.at, peers, what);
        }
    }

    /// Rule 5: lines that are ordered and not yet on the socket, at each moment.
    fn channels(&mut self) {
        for (planner, messages) in std::mem::take(&mut self.updates) {
            let mut steps: Vec<(i64, f64)> = messages
                .iter()
                .flat_map(|(ordered, at, lines)| [(*ordered, *lines), (*at, -*lines)])
                .collect();
            // What leaves at a moment leaves before what is ordered then.
            steps.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
            let (mut waiting, mut over) = (0.0, false);
            for (at, lines) in steps {
                waiting += lines;
                let part = waiting / self.facts.most_waiting;
                self.audit.looked.worst_waiting = self.audit.looked.worst_waiting.max(part);
                if part > 1.0 && !over {
                    let what = format!("{waiting:.0} lines wait, {} are allowed", self.facts.most_waiting);
                    self.breach(5, at, format!("planner {planner}"), what);
                }
                over = part > 1.0;
            }
        }
    }
}
