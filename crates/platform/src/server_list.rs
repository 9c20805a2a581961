//! The servers as discovery lists them, and what of an answer is news.

use pewtergap_planner::ListedState;
use pewtergap_time::{Moment, Span};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// One server of a list.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    pub name: String,
    pub at: SocketAddr,
    pub zone: String,
    pub cell: u64,
    pub state: ListedState,
    pub weight: f64,
    pub started: Option<Moment>,
}

/// A list or the changes since another; an entry that cannot be read tells the name it is about, if it has one.
pub struct Answer {
    pub version: u64,
    pub whole: bool,
    pub targets: Vec<Result<Target, Unread>>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Unread {
    pub name: Option<String>,
    pub what: String,
}

#[derive(Deserialize)]
struct Wire {
    rev: u64,
    all: bool,
    targets: Vec<Value>,
}

#[derive(Deserialize)]
struct Row {
    uid: String,
    endpoint: String,
    az: String,
    #[serde(default)]
    pod_group: Option<u64>,
    state: String,
    #[serde(default)]
    capacity_hint: Option<f64>,
    #[serde(default)]
    boot_ms: Option<f64>,
}

/// Longer names are no names of servers: they stand in every line of every message.
const MOST_NAME: usize = 128;

fn target(row: Value) -> Result<Target, String> {
    let row: Row = serde_json::from_value(row).map_err(|e| e.to_string())?;
    // These would end a line or a field of an order.
    if row.uid.is_empty() || row.uid.len() > MOST_NAME || row.uid.contains([':', ',', '+', '\r', '\n', ' ']) {
        return Err("uid is not the name of a server".into());
    }
    let at = row.endpoint.parse().map_err(|_| format!("endpoint '{}' is no address", row.endpoint))?;
    let state = match row.state.as_str() {
        "Ready" => ListedState::Running,
        "Terminating" => ListedState::Stopping,
        "Gone" => ListedState::Deleted,
        other => return Err(format!("state '{other}' is not known")),
    };
    let weight = row.capacity_hint.unwrap_or(1.0);
    let started = row.boot_ms.unwrap_or(0.0);
    if !(0.0..=1e9).contains(&weight) || !(0.0..=1e15).contains(&started) {
        return Err("capacity_hint or boot_ms is out of range".into());
    }
    let started = Some(Moment((started * 1e6) as u64)).filter(|at| at.0 > 0);
    let cell = row.pod_group.unwrap_or(0);
    Ok(Target { name: row.uid, at, zone: row.az, cell, state, weight, started })
}

impl Answer {
    pub fn read(bytes: &[u8]) -> Result<Answer, String> {
        Answer::of(serde_json::from_slice(bytes).map_err(|e| e.to_string())?)
    }

    pub fn of(list: Value) -> Result<Answer, String> {
        let wire: Wire = serde_json::from_value(list).map_err(|e| e.to_string())?;
        let read = |row: Value| {
            let name = row.get("uid").and_then(Value::as_str).map(str::to_string);
            target(row).map_err(|what| Unread { name, what })
        };
        let targets = wire.targets.into_iter().map(read).collect();
        Ok(Answer { version: wire.rev, whole: wire.all, targets })
    }
}

/// What an answer changes.
#[derive(Debug, PartialEq)]
pub enum News {
    Nothing,
    /// Older than what is known.
    Stale,
    Changes(Vec<Target>),
    Complete(Vec<Target>),
}

/// Whole lists of a lower version in a row, each asked for anew, and over how long, that show discovery has begun
/// anew. A few may be answers that were long on their way, or a replica behind: believed at once, servers that are
/// gone would come back.
const DOUBTED: (u32, Span) = (5, Span::millis(15_000));

#[derive(Debug, Default)]
pub struct ServerList {
    version: u64,
    listed: BTreeMap<String, Target>,
    /// A whole list has come since the start.
    complete: bool,
    /// The grace of drains, and when the last drain or end of a server was told.
    grace: Span,
    left: Option<Moment>,
    /// The newest version of the whole lists that went back, how many there were in a row, and since when.
    back: Option<(u64, u32, Moment)>,
}

impl ServerList {
    /// As held before a start: what it says is told now.
    pub fn kept(now: Moment, version: u64, known: Vec<Target>, grace: Span) -> ServerList {
        let listed = known.into_iter().filter(|t| t.state != ListedState::Deleted);
        let listed: BTreeMap<String, Target> = listed.map(|t| (t.name.clone(), t)).collect();
        let left = listed.values().any(|target| target.state != ListedState::Running).then_some(now);
        ServerList { version, listed, complete: false, grace, left, back: None }
    }

    /// The last whole list went back and is not believed: it has to be asked for again.
    pub fn doubts(&self) -> bool {
        self.back.is_some()
    }

    /// Whether a whole list of a lower version is believed: there were enough in a row, none older than the one
    /// before, and the grace of each drain that was told has passed, so that none is undone within it.
    fn began_anew(&mut self, now: Moment, version: u64) -> bool {
        let row = self.back.filter(|back| version >= back.0).map_or((1, now), |back| (back.1 + 1, back.2));
        self.back = Some((version, row.0.min(DOUBTED.0), row.1));
        let shown = row.0 >= DOUBTED.0 && now.since(row.1) >= DOUBTED.1;
        shown && self.left.is_none_or(|left| now.since(left) > self.grace)
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    pub fn known(&self) -> impl Iterator<Item = &Target> {
        self.listed.values()
    }

    /// Takes an answer in. An older one never undoes what is known; an entry that cannot be read leaves what is
    /// known of that server in force; what is told again is no news.
    pub fn take(&mut self, now: Moment, answer: Answer) -> News {
        if answer.version < self.version && !(answer.whole && self.began_anew(now, answer.version)) {
            return News::Stale;
        }
        self.back = None;
        if answer.version == self.version && !answer.whole {
            return News::Nothing;
        }
        self.version = answer.version;
        let mut told: BTreeMap<String, Target> = BTreeMap::new();
        let mut unread: Vec<String> = Vec::new();
        for target in answer.targets {
            match target {
                Ok(target) => drop(told.insert(target.name.clone(), target)),
                Err(what) => unread.extend(what.name),
            }
        }
        if answer.whole {
            told.retain(|_, target| target.state != ListedState::Deleted);
            for target in unread.iter().filter_map(|name| self.listed.get(name)) {
                told.entry(target.name.clone()).or_insert(target.clone());
            }
            let stays =
                |name: &String| told.get(name).is_some_and(|target| target.state == ListedState::Running);
            let ends =
                self.listed.iter().any(|(name, target)| target.state == ListedState::Running && !stays(name));
            self.left = if ends { Some(now) } else { self.left };
            let same = self.complete && told == self.listed;
            self.complete = true;
            self.listed = told;
            return if same { News::Nothing } else { News::Complete(self.known().cloned().collect()) };
        }
        told.retain(|name, target| self.listed.get(name) != Some(target));
        let ends = told.values().any(|target| target.state != ListedState::Running);
        self.left = if ends { Some(now) } else { self.left };
        for (name, target) in &told {
            match target.state {
                ListedState::Deleted => drop(self.listed.remove(name)),
                _ => drop(self.listed.insert(name.clone(), target.clone())),
            }
        }
        if told.is_empty() {
            News::Nothing
        } else {
            News::Changes(told.into_values().collect())
        }
    }
}
