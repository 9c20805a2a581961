//! The list of servers: endpoint slices of the published discovery API (`discovery.k8s.io/v1`), read, joined
//! over all slices, and told as changes.
//!
//! `ready` is running, `terminating` is stopping, neither is not listed. A slice may carry two annotations for
//! its endpoints, each `ADDRESS=VALUE` pairs set apart by commas, or one value for all: `pewtergap/weight`, and
//! `pewtergap/started` in milliseconds since 1970. Where no start is told, an endpoint that appears after the
//! first list counts as started when it was seen.

use pewtergap_planner::ListedState;
use pewtergap_time::Moment;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    pub zone: String,
    pub state: ListedState,
    pub weight: f64,
    pub started: Option<Moment>,
}

/// What changed at an address; nothing left of it is `Deleted`.
pub type EndpointChange = (String, Endpoint);

#[derive(Deserialize, Serialize, Debug, Default)]
#[serde(default)]
pub struct Meta {
    pub name: String,
    #[serde(rename = "resourceVersion")]
    pub resource_version: String,
    pub annotations: BTreeMap<String, String>,
}

#[derive(Deserialize, Serialize, Debug, Default)]
#[serde(default)]
pub struct Conditions {
    pub ready: Option<bool>,
    pub serving: Option<bool>,
    pub terminating: Option<bool>,
}

#[derive(Deserialize, Serialize, Debug, Default)]
#[serde(default)]
pub struct SliceEndpoint {
    pub addresses: Vec<String>,
    pub conditions: Conditions,
    pub zone: Option<String>,
}

#[derive(Deserialize, Serialize, Debug, Default)]
#[serde(default)]
pub struct Port {
    pub name: Option<String>,
    pub port: Option<u16>,
}

#[derive(Deserialize, Serialize, Debug, Default)]
#[serde(default)]
pub struct Slice {
    pub metadata: Meta,
    pub endpoints: Option<Vec<SliceEndpoint>>,
    pub ports: Option<Vec<Port>>,
}

#[derive(Deserialize, Debug, Default)]
#[serde(default)]
pub struct SliceList {
    pub metadata: Meta,
    pub items: Option<Vec<Slice>>,
}

/// A line of a watch.
#[derive(Deserialize, Debug)]
pub struct WatchEvent {
    #[serde(rename = "type")]
    pub kind: String,
    pub object: serde_json::Value,
}

fn annotated<'a>(slice: &'a Slice, name: &str, address: &str) -> Option<&'a str> {
    let text = slice.metadata.annotations.get(name)?;
    let pairs = || text.split(',').filter_map(|pair| pair.split_once('='));
    match pairs().find(|pair| pair.0.trim() == address) {
        Some(pair) => Some(pair.1.trim()),
        None if text.contains('=') => None,
        None => Some(text.trim()),
    }
}

/// The endpoints of a slice by address and port. What cannot be used is left out and named; the rest counts.
pub fn parse_slice(slice: &Slice, refused: &mut Vec<String>) -> Vec<EndpointChange> {
    let name = &slice.metadata.name;
    let mut listed = Vec::new();
    let Some(port) = slice.ports.iter().flatten().find_map(|port| port.port) else {
        if slice.endpoints.as_ref().is_some_and(|endpoints| !endpoints.is_empty()) {
            refused.push(format!("slice {name}: no port"));
        }
        return listed;
    };
    for (at, endpoint) in slice.endpoints.iter().flatten().enumerate() {
        // All addresses of an endpoint lead to one server; the API says to use the first.
        let Some(text) = endpoint.addresses.first() else {
            refused.push(format!("slice {name} endpoints[{at}]: no address"));
            continue;
        };
        let Ok(ip) = text.parse::<IpAddr>() else {
            refused.push(format!("slice {name} endpoints[{at}]: '{text}' is not an IP address"));
            continue;
        };
        let conditions = &endpoint.conditions;
        let state = if conditions.terminating == Some(true) {
            ListedState::Stopping
        } else if conditions.ready.unwrap_or(true) {
            ListedState::Running
        } else {
            continue;
        };
        let weight = annotated(slice, "pewtergap/weight", text).map(str::parse::<f64>);
        let weight = match weight {
            Some(Ok(weight)) if weight.is_finite() && weight > 0.0 => weight,
            None => 1.0,
            Some(_) => {
                refused.push(format!("slice {name} endpoints[{at}]: the weight is not above 0, 1 counts"));
                1.0
            }
        };
        let started = annotated(slice, "pewtergap/started", text).and_then(|ms| ms.parse::<u64>().ok());
        let started = started.map(|ms| Moment(ms.saturating_mul(1_000_000)));
        let zone = endpoint.zone.clone().unwrap_or_default();
        listed.push((SocketAddr::new(ip, port).to_string(), Endpoint { zone, state, weight, started }));
    }
    listed
}

/// The list as held.
#[derive(Debug, Default)]
pub struct EndpointList {
    slices: BTreeMap<String, Vec<EndpointChange>>,
    versions: BTreeMap<String, u64>,
    known: BTreeMap<String, Endpoint>,
    complete: bool,
}

/// Versions are opaque by the API's letter and rising numbers in practice; what is no number is never older.
pub fn parse_version(text: &str) -> u64 {
    text.parse().unwrap_or(u64::MAX)
}

impl EndpointList {
    /// Starts from endpoints kept on disk, which the first complete list will replace.
    pub fn kept(known: BTreeMap<String, Endpoint>) -> EndpointList {
        EndpointList { known, ..EndpointList::default() }
    }

    pub fn known(&self) -> &BTreeMap<String, Endpoint> {
        &self.known
    }

    /// A complete list: gives all that is listed now.
    pub fn replace(
        &mut self,
        now: Moment,
        slices: &[Slice],
        refused: &mut Vec<String>,
    ) -> Vec<EndpointChange> {
        self.slices.clear();
        self.versions.clear();
        for slice in slices {
            self.hold(slice, refused);
        }
        self.update(now);
        self.complete = true;
        self.known.iter().map(|(at, endpoint)| (at.clone(), endpoint.clone())).collect()
    }

    /// A slice came or changed. One that is older than what is held changes nothing.
    pub fn put(&mut self, now: Moment, slice: &Slice, refused: &mut Vec<String>) -> Vec<EndpointChange> {
        let held = self.versions.get(&slice.metadata.name).copied().unwrap_or(0);
        let came = parse_version(&slice.metadata.resource_version);
        if came < held && held != u64::MAX {
            refused.push(format!("slice {}: version {came} after {held}", slice.metadata.name));
            return Vec::new();
        }
        self.hold(slice, refused);
        self.update(now)
    }

    pub fn delete(&mut self, now: Moment, name: &str) -> Vec<EndpointChange> {
        self.slices.remove(name);
        self.versions.remove(name);
        self.update(now)
    }

    fn hold(&mut self, slice: &Slice, refused: &mut Vec<String>) {
        let name = slice.metadata.name.clone();
        self.versions.insert(name.clone(), parse_version(&slice.metadata.resource_version));
        self.slices.insert(name, parse_slice(slice, refused));
    }

    /// Joins all slices and tells what differs. An address may stand in two slices while one replaces the
    /// other: stopping in either is stopping.
    fn update(&mut self, now: Moment) -> Vec<EndpointChange> {
        let mut listed: BTreeMap<String, Endpoint> = BTreeMap::new();
        for (at, endpoint) in self.slices.values().flatten() {
            let stands = listed.entry(at.clone()).or_insert_with(|| endpoint.clone());
            if endpoint.state == ListedState::Stopping {
                stands.state = ListedState::Stopping;
            }
        }
        let mut changes = Vec::new();
        for (at, endpoint) in &mut listed {
            let before = self.known.get(at);
            if endpoint.started.is_none() {
                let appeared = (before.is_none() && self.complete).then_some(now);
                endpoint.started = before.and_then(|b| b.started).or(appeared);
            }
            if before != Some(endpoint) {
                changes.push((at.clone(), endpoint.clone()));
            }
        }
        let gone = self.known.iter().filter(|known| !listed.contains_key(known.0));
        changes.extend(
            gone.map(|(at, known)| (at.clone(), Endpoint { state: ListedState::Deleted, ..known.clone() })),
        );
        self.known = listed;
        changes
    }
}
