//! The server list as received from discovery, and the changes that an answer makes to it.

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
    pub address: SocketAddr,
    pub zone: String,
    pub cell: u64,
    pub state: ListedState,
    pub weight: f64,
    pub started: Option<Moment>,
}

/// A whole list, or the changes since another. An invalid entry keeps the name it is about, if it has one.
pub struct Answer {
    pub version: u64,
    pub whole: bool,
    pub targets: Vec<Result<Target, InvalidEntry>>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct InvalidEntry {
    pub name: Option<String>,
    pub reason: String,
}

#[derive(Deserialize)]
struct AnswerJson {
    rev: u64,
    all: bool,
    targets: Vec<Value>,
}

#[derive(Deserialize)]
struct TargetJson {
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

/// Maximum length of a server's name, which is part of every line of every message.
const MAX_NAME_LEN: usize = 128;

fn parse_target(row: Value) -> Result<Target, String> {
    let row: TargetJson = serde_json::from_value(row).map_err(|e| e.to_string())?;
    // These characters would end a line or a field of a message.
    if row.uid.is_empty()
        || row.uid.len() > MAX_NAME_LEN
        || row.uid.contains([':', ',', '+', '\r', '\n', ' '])
    {
        return Err("uid is not the name of a server".into());
    }
    let address =
        row.endpoint.parse().map_err(|_| format!("endpoint '{}' is not an address", row.endpoint))?;
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
    Ok(Target { name: row.uid, address, zone: row.az, cell, state, weight, started })
}

impl Answer {
    pub fn parse(bytes: &[u8]) -> Result<Answer, String> {
        Answer::from_json(serde_json::from_slice(bytes).map_err(|e| e.to_string())?)
    }

    pub fn from_json(list: Value) -> Result<Answer, String> {
        let json: AnswerJson = serde_json::from_value(list).map_err(|e| e.to_string())?;
        let parse = |row: Value| {
            let name = row.get("uid").and_then(Value::as_str).map(str::to_string);
            parse_target(row).map_err(|reason| InvalidEntry { name, reason })
        };
        let targets = json.targets.into_iter().map(parse).collect();
        Ok(Answer { version: json.rev, whole: json.all, targets })
    }
}

/// What an answer changes.
#[derive(Debug, PartialEq)]
pub enum ListUpdate {
    Unchanged,
    /// Older than the list held.
    Stale,
    Changes(Vec<Target>),
    Complete(Vec<Target>),
}

/// How many consecutive whole lists of a lower version, each requested again, and over how long, show that discovery
/// has restarted. A few may be delayed answers or come from a replica that is behind: accepted at once, they would
/// bring back servers that are gone.
const RESET_CONFIRMATION: (u32, Span) = (5, Span::millis(15_000));

#[derive(Debug, Default)]
pub struct ServerList {
    version: u64,
    listed: BTreeMap<String, Target>,
    /// A whole list was received since the start.
    complete: bool,
    /// The grace period of drains, and when the last drain or removal of a server was received.
    drain_grace: Span,
    last_removal: Option<Moment>,
    /// Of consecutive whole lists of a lower version: the latest version, their count, and when the first came.
    regression: Option<(u64, u32, Moment)>,
}

impl ServerList {
    /// Starts from a saved list, whose removals count as received now.
    pub fn from_saved(now: Moment, version: u64, known: Vec<Target>, drain_grace: Span) -> ServerList {
        let listed = known.into_iter().filter(|t| t.state != ListedState::Deleted);
        let listed: BTreeMap<String, Target> = listed.map(|t| (t.name.clone(), t)).collect();
        let last_removal = listed.values().any(|target| target.state != ListedState::Running).then_some(now);
        ServerList { version, listed, complete: false, drain_grace, last_removal, regression: None }
    }

    /// Whether the last whole list had a lower version that is not accepted yet, and must be requested again.
    pub fn awaits_confirmation(&self) -> bool {
        self.regression.is_some()
    }

    /// Whether a whole list of a lower version is accepted: enough came in a row, none older than the one before, and
    /// the grace period of each received drain has passed, so that no drain is undone within it.
    fn confirms_reset(&mut self, now: Moment, version: u64) -> bool {
        let run =
            self.regression.filter(|seen| version >= seen.0).map_or((1, now), |seen| (seen.1 + 1, seen.2));
        self.regression = Some((version, run.0.min(RESET_CONFIRMATION.0), run.1));
        let confirmed = run.0 >= RESET_CONFIRMATION.0 && now.since(run.1) >= RESET_CONFIRMATION.1;
        confirmed && self.last_removal.is_none_or(|removal| now.since(removal) > self.drain_grace)
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    pub fn known(&self) -> impl Iterator<Item = &Target> {
        self.listed.values()
    }

    /// Applies an answer. An older answer changes nothing, an invalid entry leaves the known state of its server in
    /// force, and entries equal to what is known are not reported as changes.
    pub fn apply(&mut self, now: Moment, answer: Answer) -> ListUpdate {
        if answer.version < self.version && !(answer.whole && self.confirms_reset(now, answer.version)) {
            return ListUpdate::Stale;
        }
        self.regression = None;
        if answer.version == self.version && !answer.whole {
            return ListUpdate::Unchanged;
        }
        self.version = answer.version;
        let mut received: BTreeMap<String, Target> = BTreeMap::new();
        let mut invalid: Vec<String> = Vec::new();
        for target in answer.targets {
            match target {
                Ok(target) => drop(received.insert(target.name.clone(), target)),
                Err(entry) => invalid.extend(entry.name),
            }
        }
        if answer.whole {
            received.retain(|_, target| target.state != ListedState::Deleted);
            for target in invalid.iter().filter_map(|name| self.listed.get(name)) {
                received.entry(target.name.clone()).or_insert(target.clone());
            }
            let still_runs =
                |name: &String| received.get(name).is_some_and(|target| target.state == ListedState::Running);
            let removes = self
                .listed
                .iter()
                .any(|(name, target)| target.state == ListedState::Running && !still_runs(name));
            self.last_removal = if removes { Some(now) } else { self.last_removal };
            let unchanged = self.complete && received == self.listed;
            self.complete = true;
            self.listed = received;
            return if unchanged {
                ListUpdate::Unchanged
            } else {
                ListUpdate::Complete(self.known().cloned().collect())
            };
        }
        received.retain(|name, target| self.listed.get(name) != Some(target));
        let removes = received.values().any(|target| target.state != ListedState::Running);
        self.last_removal = if removes { Some(now) } else { self.last_removal };
        for (name, target) in &received {
            match target.state {
                ListedState::Deleted => drop(self.listed.remove(name)),
                _ => drop(self.listed.insert(name.clone(), target.clone())),
            }
        }
        if received.is_empty() {
            ListUpdate::Unchanged
        } else {
            ListUpdate::Changes(received.into_values().collect())
        }
    }
}
