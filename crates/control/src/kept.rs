//! The last list, as kept on disk for the next start.

use crate::endpoints::Endpoint;
use pewtergap_planner::ListedState;
use pewtergap_time::Moment;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[derive(Serialize, Deserialize)]
struct Kept {
    /// Of this form.
    form: u32,
    highest: u64,
    servers: BTreeMap<String, Row>,
}

#[derive(Serialize, Deserialize)]
struct Row {
    zone: String,
    stopping: bool,
    weight: f64,
    started_ms: Option<u64>,
}

const FORM: u32 = 1;

pub fn write(highest: u64, known: &BTreeMap<String, Endpoint>) -> Vec<u8> {
    let row = |endpoint: &Endpoint| Row {
        zone: endpoint.zone.clone(),
        stopping: endpoint.state == ListedState::Stopping,
        weight: endpoint.weight,
        started_ms: endpoint.started.map(|at| at.0 / 1_000_000),
    };
    let servers = known.iter().map(|(at, endpoint)| (at.clone(), row(endpoint))).collect();
    serde_json::to_vec_pretty(&Kept { form: FORM, highest, servers }).unwrap_or_default()
}

pub fn read(bytes: &[u8]) -> Result<(u64, BTreeMap<String, Endpoint>), String> {
    let kept: Kept = serde_json::from_slice(bytes).map_err(|e| e.to_string())?;
    if kept.form != FORM {
        return Err(format!("form {}, {FORM} was expected", kept.form));
    }
    let endpoint = |row: Row| Endpoint {
        zone: row.zone,
        state: if row.stopping { ListedState::Stopping } else { ListedState::Running },
        weight: if row.weight.is_finite() && row.weight > 0.0 { row.weight } else { 1.0 },
        started: row.started_ms.map(|ms| Moment(ms.saturating_mul(1_000_000))),
    };
    Ok((kept.highest, kept.servers.into_iter().map(|(at, row)| (at, endpoint(row))).collect()))
}
