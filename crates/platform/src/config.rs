//! The configuration that the platform passes to a planner at startup, in a file and a few environment variables.

use crate::server_list::{Answer, Target};
use pewtergap_start::StartConfig;
use serde_json::Value;
use std::net::SocketAddr;

/// Resource limits of the process.
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
    /// The last known server list and its version.
    pub known: (u64, Vec<Target>),
    pub start: StartConfig,
}

/// Minimum limits under which a planner can run: sockets for proxies, collectors and outgoing requests, memory for
/// its lists.
const MIN_SOCKETS: usize = 64;
const MIN_MB: u64 = 16;

fn parse_address(field: &str, text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{field}: '{text}' is not an address and a port"))
}

/// A field of the file takes precedence over the variable: only the file can change while the planner runs.
fn text_field(
    file: &Value,
    field: &str,
    variable: &str,
    variable_value: Option<String>,
) -> Result<String, String> {
    match (file.get(field), variable_value) {
        (Some(Value::String(text)), _) => Ok(text.clone()),
        (None | Some(Value::Null), Some(text)) => Ok(text),
        (None | Some(Value::Null), None) => Err(format!("{field} is missing, and so is {variable}")),
        (Some(_), _) => Err(format!("{field} is not text")),
    }
}

impl Config {
    /// Parses the contents of the file, or returns why it could not be read.
    pub fn parse_file(
        bytes: Result<&[u8], String>,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Config, String> {
        let text = std::str::from_utf8(bytes?).map_err(|e| e.to_string())?;
        Config::parse(text, variable)
    }

    /// `variable` looks up an environment variable set by the platform.
    pub fn parse(json: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        let file: Value = serde_json::from_str(json).map_err(|e| format!("not JSON: {e}"))?;
        if !file.is_object() {
            return Err("not an object".into());
        }
        let text = |field: &str, name: &str| text_field(&file, field, name, variable(name));
        let limit = |field: &str, min: u64| match file.get("limits").and_then(|limits| limits.get(field)) {
            None => Err(format!("limits.{field} is missing")),
            Some(value) => {
                let number = value.as_f64().filter(|number| *number >= min as f64);
                number.ok_or(format!("limits.{field}: {value} is not a number of {min} or more"))
            }
        };
        let limits = Limits {
            memory_mb: limit("memory_mb", MIN_MB)? as u64,
            sockets: limit("sockets", MIN_SOCKETS as u64)? as usize,
        };
        let seed = match file.get("seed") {
            Some(Value::String(digits)) => u64::from_str_radix(digits, 16).ok(),
            Some(Value::Number(number)) => number.as_u64(),
            None => return Err("seed is missing".into()),
            Some(_) => None,
        };
        let seed = seed.ok_or("seed is not a number of 16 hexadecimal digits")?;
        // The list may be missing, as at the very first start; discovery will supply it.
        let known = match file.get("known") {
            None | Some(Value::Null) => (0, Vec::new()),
            Some(list) => {
                let answer = Answer::from_json(list.clone()).map_err(|e| format!("known: {e}"))?;
                (answer.version, answer.targets.into_iter().filter_map(|target| target.ok()).collect())
            }
        };
        let settings = file.get("settings").ok_or("settings is missing")?;
        let start = pewtergap_start::parse(settings).map_err(|e| format!("settings: {e}"))?;
        if start.zone_names.is_empty() || start.fleet.proxies == 0 {
            return Err("settings: the zones or the number of proxies are missing".into());
        }
        Ok(Config {
            name: text("name", "NODE_NAME")?,
            listen: parse_address("listen", &text("listen", "NODE_LISTEN")?)?,
            discovery: parse_address("discovery", &text("discovery", "NODE_DISCOVERY")?)?,
            seed,
            limits,
            known,
            start,
        })
    }
}
