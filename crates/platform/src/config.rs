//! What the platform tells a planner at its start, by a file and a few variables.

use crate::server_list::{Answer, Target};
use pewtergap_start::StartConfig;
use serde_json::Value;
use std::net::SocketAddr;

/// What the process may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    pub memory_mb: u64,
    pub sockets: usize,
}

pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub limits: Limits,
    /// The list as this planner last held it.
    pub known: (u64, Vec<Target>),
    pub start: StartConfig,
}

/// Fewer and no planner can run: its proxies, collectors and calls need sockets, its lists memory.
const LEAST_SOCKETS: usize = 64;
const LEAST_MB: u64 = 16;

fn address(field: &str, text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{field}: '{text}' is not an address and a port"))
}

/// The file's word goes before the variable's: only the file can change under a running planner.
fn text(file: &Value, field: &str, variable: &str, told: Option<String>) -> Result<String, String> {
    match (file.get(field), told) {
        (Some(Value::String(text)), _) => Ok(text.clone()),
        (None | Some(Value::Null), Some(text)) => Ok(text),
        (None | Some(Value::Null), None) => Err(format!("{field} is missing, and so is {variable}")),
        (Some(_), _) => Err(format!("{field} is not text")),
    }
}

impl Config {
    /// From what a file holds, or why it could not be read.
    pub fn of_file(
        bytes: Result<&[u8], String>,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Config, String> {
        let text = std::str::from_utf8(bytes?).map_err(|e| e.to_string())?;
        Config::read(text, variable)
    }

    /// `variable` looks up one of the platform's variables.
    pub fn read(json: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        let file: Value = serde_json::from_str(json).map_err(|e| format!("not JSON: {e}"))?;
        if !file.is_object() {
            return Err("not an object".into());
        }
        let told = |field: &str, name: &str| text(&file, field, name, variable(name));
        let limit = |field: &str, least: u64| match file.get("limits").and_then(|limits| limits.get(field)) {
            None => Err(format!("limits.{field} is missing")),
            Some(value) => {
                let number = value.as_f64().filter(|number| *number >= least as f64);
                number.ok_or(format!("limits.{field}: {value} is not a number of {least} or more"))
            }
        };
        let limits = Limits {
            memory_mb: limit("memory_mb", LEAST_MB)? as u64,
            sockets: limit("sockets", LEAST_SOCKETS as u64)? as usize,
        };
        let seed = match file.get("seed") {
            Some(Value::String(digits)) => u64::from_str_radix(digits, 16).ok(),
            Some(Value::Number(number)) => number.as_u64(),
            None => return Err("seed is missing".into()),
            Some(_) => None,
        };
        let seed = seed.ok_or("seed is not a number of 16 hexadecimal digits")?;
        // The list may be missing, as before the first start of all; discovery will tell it.
        let known = match file.get("known") {
            None | Some(Value::Null) => (0, Vec::new()),
            Some(list) => {
                let answer = Answer::of(list.clone()).map_err(|e| format!("known: {e}"))?;
                (answer.version, answer.targets.into_iter().filter_map(|target| target.ok()).collect())
            }
        };
        let settings = file.get("settings").ok_or("settings is missing")?;
        let start = pewtergap_start::parse(settings).map_err(|e| format!("settings: {e}"))?;
        if start.zone_names.is_empty() || start.fleet.proxies == 0 {
            return Err("settings: the zones or the number of proxies are missing".into());
        }
        Ok(Config {
            name: told("name", "NODE_NAME")?,
            listen: address("listen", &told("listen", "NODE_LISTEN")?)?,
            discovery: address("discovery", &told("discovery", "NODE_DISCOVERY")?)?,
            seed,
            limits,
            known,
            start,
        })
    }
}
