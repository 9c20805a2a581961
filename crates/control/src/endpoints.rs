//! The server list: parses endpoint slices of the Kubernetes discovery API (`discovery.k8s.io/v1`), merges all slices
//! and reports changes.
//!
//! A `ready` endpoint is running, a `terminating` one is stopping, and one that is neither is not listed. A slice may
//! have two annotations for its endpoints, each with comma-separated `ADDRESS=VALUE` pairs or one value for all:
//! `pewtergap/weight`, and `pewtergap/started` in milliseconds since 1970. Without a start time, an endpoint that
//! appears after the first list counts as started when it was first seen.

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

/// The new state of the endpoint at an address; `Deleted` if it was removed.
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

/// One line of a watch response.
#[derive(Deserialize, Debug)]
pub struct WatchEvent {
    #[serde(rename = "type")]
    pub kind: String,
    pub object: serde_json::Value,
}

fn annotation<'a>(slice: &'a Slice, name: &str, address: &str) -> Option<&'a str> {
    let text = slice.metadata.annotations.get(name)?;
    let pairs = || text.split(',').filter_map(|pair| pair.split_once('='));
    match pairs().find(|pair| pair.0.trim() == address) {
        Some(pair) => Some(pair.1.trim()),
        None if text.contains('=') => None,
        None => Some(text.trim()),
    }
}

/// Returns the endpoints of a slice by address and port. Invalid entries are skipped and described in `rejected`.
pub fn parse_slice(slice: &Slice, rejected: &mut Vec<String>) -> Vec<EndpointChange> {
    let name = &slice.metadata.name;
    let mut listed = Vec::new();
    let Some(port) = slice.ports.iter().flatten().find_map(|port| port.port) else {
        if slice.endpoints.as_ref().is_some_and(|endpoints| !endpoints.is_empty()) {
            rejected.push(format!("slice {name}: no port"));
        }
        return listed;
    };
    for (at, endpoint) in slice.endpoints.iter().flatten().enumerate() {
        // All addresses of an endpoint reach the same server; the API specifies to use the first.
        let Some(text) = endpoint.addresses.first() else {
            rejected.push(format!("slice {name} endpoints[{at}]: no address"));
            continue;
        };
        let Ok(ip) = text.parse::<IpAddr>() else {
            rejected.push(format!("slice {name} endpoints[{at}]: '{text}' is not an IP address"));
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
        let weight = annotation(slice, "pewtergap/weight", text).map(str::parse::<f64>);
        let weight = match weight {
            Some(Ok(weight)) if weight.is_finite() && weight > 0.0 => weight,
            None => 1.0,
            Some(_) => {
                rejected.push(format!("slice {name} endpoints[{at}]: the weight is not above 0, using 1"));
                1.0
            }
        };
        let started = annotation(slice, "pewtergap/started", text).and_then(|ms| ms.parse::<u64>().ok());
        let started = started.map(|ms| Moment(ms.saturating_mul(1_000_000)));
        let zone = endpoint.zone.clone().unwrap_or_default();
        listed.push((SocketAddr::new(ip, port).to_string(), Endpoint { zone, state, weight, started }));
    }
    listed
}

/// The current server list.
#[derive(Debug, Default)]
pub struct EndpointList {
    slices: BTreeMap<String, Vec<EndpointChange>>,
    versions: BTreeMap<String, u64>,
    endpoints: BTreeMap<String, Endpoint>,
    complete: bool,
}

/// Parses a resource version. The API defines versions as opaque, but in practice they are increasing numbers; any
/// other value never counts as older.
pub fn parse_version(text: &str) -> u64 {
    text.parse().unwrap_or(u64::MAX)
}

impl EndpointList {
    /// Starts from endpoints saved on disk, which the first complete list replaces.
    pub fn from_saved(endpoints: BTreeMap<String, Endpoint>) -> EndpointList {
        EndpointList { endpoints, ..EndpointList::default() }
    }

    pub fn endpoints(&self) -> &BTreeMap<String, Endpoint> {
        &self.endpoints
    }

    /// Replaces the list with a complete one and returns all endpoints in it.
    pub fn replace(
        &mut self,
        now: Moment,
        slices: &[Slice],
        rejected: &mut Vec<String>,
    ) -> Vec<EndpointChange> {
        self.slices.clear();
        self.versions.clear();
        for slice in slices {
            self.store(slice, rejected);
        }
        self.merge(now);
        self.complete = true;
        self.endpoints.iter().map(|(at, endpoint)| (at.clone(), endpoint.clone())).collect()
    }

    /// Adds or replaces a slice, unless it is older than the stored one.
    pub fn put(&mut self, now: Moment, slice: &Slice, rejected: &mut Vec<String>) -> Vec<EndpointChange> {
        let stored = self.versions.get(&slice.metadata.name).copied().unwrap_or(0);
        let version = parse_version(&slice.metadata.resource_version);
        if version < stored && stored != u64::MAX {
            rejected.push(format!("slice {}: version {version} after {stored}", slice.metadata.name));
            return Vec::new();
        }
        self.store(slice, rejected);
        self.merge(now)
    }

    pub fn delete(&mut self, now: Moment, name: &str) -> Vec<EndpointChange> {
        self.slices.remove(name);
        self.versions.remove(name);
        self.merge(now)
    }

    fn store(&mut self, slice: &Slice, rejected: &mut Vec<String>) {
        let name = slice.metadata.name.clone();
        self.versions.insert(name.clone(), parse_version(&slice.metadata.resource_version));
        self.slices.insert(name, parse_slice(slice, rejected));
    }

    /// Merges all slices and returns the changes. An address may be in two slices while one replaces the other; it is
    /// stopping if it is in either.
    fn merge(&mut self, now: Moment) -> Vec<EndpointChange> {
        let mut listed: BTreeMap<String, Endpoint> = BTreeMap::new();
        for (at, endpoint) in self.slices.values().flatten() {
            let merged = listed.entry(at.clone()).or_insert_with(|| endpoint.clone());
            if endpoint.state == ListedState::Stopping {
                merged.state = ListedState::Stopping;
            }
        }
        let mut changes = Vec::new();
        for (at, endpoint) in &mut listed {
            let previous = self.endpoints.get(at);
            if endpoint.started.is_none() {
                let appeared = (previous.is_none() && self.complete).then_some(now);
                endpoint.started = previous.and_then(|endpoint| endpoint.started).or(appeared);
            }
            if previous != Some(endpoint) {
                changes.push((at.clone(), endpoint.clone()));
            }
        }
        let removed = self.endpoints.iter().filter(|entry| !listed.contains_key(entry.0));
        changes.extend(removed.map(|(at, endpoint)| {
            (at.clone(), Endpoint { state: ListedState::Deleted, ..endpoint.clone() })
        }));
        self.endpoints = listed;
        changes
    }
}
