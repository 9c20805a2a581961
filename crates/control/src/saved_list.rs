//! The last server list, saved on disk for the next start.

use crate::endpoints::Endpoint;
use pewtergap_planner::ListedState;
use pewtergap_time::Moment;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[derive(Serialize, Deserialize)]
struct SavedList {
    /// Format version of the file.
    form: u32,
    highest: u64,
    servers: BTreeMap<String, SavedEndpoint>,
}

#[derive(Serialize, Deserialize)]
struct SavedEndpoint {
    zone: String,
    stopping: bool,
    weight: f64,
    started_ms: Option<u64>,
}

const FORMAT_VERSION: u32 = 1;

pub fn encode(highest: u64, endpoints: &BTreeMap<String, Endpoint>) -> Vec<u8> {
    let to_saved = |endpoint: &Endpoint| SavedEndpoint {
        zone: endpoint.zone.clone(),
        stopping: endpoint.state == ListedState::Stopping,
        weight: endpoint.weight,
        started_ms: endpoint.started.map(|at| at.0 / 1_000_000),
    };
    let servers = endpoints.iter().map(|(at, endpoint)| (at.clone(), to_saved(endpoint))).collect();
    serde_json::to_vec_pretty(&SavedList { form: FORMAT_VERSION, highest, servers }).unwrap_or_default()
}

pub fn decode(bytes: &[u8]) -> Result<(u64, BTreeMap<String, Endpoint>), String> {
    let saved: SavedList = serde_json::from_slice(bytes).map_err(|e| e.to_string())?;
    if saved.form != FORMAT_VERSION {
        return Err(format!("format version {}, expected {FORMAT_VERSION}", saved.form));
    }
    let endpoint = |row: SavedEndpoint| Endpoint {
        zone: row.zone,
        state: if row.stopping { ListedState::Stopping } else { ListedState::Running },
        weight: if row.weight.is_finite() && row.weight > 0.0 { row.weight } else { 1.0 },
        started: row.started_ms.map(|ms| Moment(ms.saturating_mul(1_000_000))),
    };
    Ok((saved.highest, saved.servers.into_iter().map(|(at, row)| (at, endpoint(row))).collect()))
}
