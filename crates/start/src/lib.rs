//! Reads what an instance is told at its start into the planner's terms. Absent keys mean "no such thing here".
//!
//! The simulator's first message and the platform's configuration carry the same object: one reader for both.
#![forbid(unsafe_code)]

use pewtergap_planner::{
    Capabilities, ChannelLimits, Contract, Fleet, KeyScope, Moment, Planner, RetrySafety, Route, Slicing,
};
use pewtergap_planner::{Span, Throttle};
use serde_json::Value;

/// Orders name routes as a sum of 2^k; one more was taken for the first.
const MOST_ROUTES: usize = 64;

pub struct StartConfig {
    pub fleet: Fleet,
    pub routes: Vec<Route>,
    pub channel: ChannelLimits,
    pub contract: Contract,
    pub capabilities: Capabilities,
    pub slicing: Slicing,
    pub zone_names: Vec<String>,
    pub route_names: Vec<String>,
}

impl StartConfig {
    /// The module as it is told to start; chance comes from the seed alone.
    pub fn build_planner(&self, now: Moment, seed: u64) -> Planner {
        Planner::new(
            now,
            seed,
            self.fleet.clone(),
            self.routes.clone(),
            self.channel.clone(),
            self.contract.clone(),
            self.capabilities.clone(),
            self.slicing.clone(),
        )
    }
}

/// Looks a dotted path up; absent and null are the same.
fn find<'a>(text: &'a Value, path: &str) -> Option<&'a Value> {
    path.split('.').try_fold(text, |value, key| value.get(key)).filter(|value| !value.is_null())
}

fn number(text: &Value, path: &str) -> Result<f64, String> {
    match find(text, path) {
        None => Ok(0.0),
        Some(value) => {
            value.as_f64().filter(|n| *n >= 0.0).ok_or(format!("{path} is not a number of 0 or more"))
        }
    }
}

/// Where no limit is told there is none.
fn limit(text: &Value, path: &str) -> Result<f64, String> {
    Ok(Some(number(text, path)?).filter(|limit| *limit > 0.0).unwrap_or(f64::INFINITY))
}

fn span(text: &Value, path: &str) -> Result<Span, String> {
    Ok(Span(number(text, path)? as u64))
}

fn flag(text: &Value, path: &str) -> Result<bool, String> {
    match find(text, path) {
        None => Ok(false),
        Some(value) => value.as_bool().ok_or(format!("{path} is not true or false")),
    }
}

fn word<'a>(text: &'a Value, path: &str) -> Result<&'a str, String> {
    match find(text, path) {
        None => Ok(""),
        Some(value) => value.as_str().ok_or(format!("{path} is not text")),
    }
}

fn list<'a>(text: &'a Value, path: &str) -> Result<&'a [Value], String> {
    match find(text, path) {
        None => Ok(&[]),
        Some(value) => value.as_array().map(Vec::as_slice).ok_or(format!("{path} is not a list")),
    }
}

fn names(text: &Value, path: &str) -> Result<Vec<String>, String> {
    list(text, path)?
        .iter()
        .map(|name| name.as_str().map(str::to_string).ok_or(format!("{path} holds no names")))
        .collect()
}

fn route(profile: &Value, zone_bound: bool, writes: bool) -> Result<(String, Route), String> {
    let name = profile.get("Name").and_then(Value::as_str).ok_or("Profiles.Name is missing")?;
    let retry_safety = match word(profile, "Semantics")? {
        "free" => RetrySafety::Repeatable,
        "guarded" => RetrySafety::Keyed {
            scope: match word(profile, "KeyScope")? {
                "all" => KeyScope::All,
                "zone" => KeyScope::Zone,
                _ => KeyScope::Cell,
            },
            window: span(profile, "WindowNs")?,
        },
        "single_shot" => RetrySafety::Mutating,
        other => return Err(format!("Profiles.Semantics is '{other}'")),
    };
    let route = Route {
        importance: number(profile, "Credit")?,
        slo_time: span(profile, "SloNs")?,
        time_limit: span(profile, "DeadlineNs")?,
        retry_safety,
        zone_bound,
        writes,
    };
    Ok((name.to_string(), route))
}

pub fn parse(text: &Value) -> Result<StartConfig, String> {
    if !text.is_object() {
        return Err("not an object".into());
    }
    let marked = |path: &str, at: usize| -> Result<bool, String> {
        Ok(list(text, path)?.get(at).and_then(Value::as_bool).unwrap_or(false))
    };
    let mut routes = Vec::new();
    let mut route_names = Vec::new();
    for (at, profile) in list(text, "Profiles")?.iter().enumerate() {
        let (name, route) =
            route(profile, marked("FamilyInfo.ZoneBound", at)?, marked("FamilyInfo.ClassWrites", at)?)?;
        route_names.push(name);
        routes.push(route);
    }
    if routes.is_empty() {
        return Err("Profiles is missing or empty".into());
    }
    if routes.len() > MOST_ROUTES {
        return Err(format!("Profiles holds {}, and an order can name {MOST_ROUTES}", routes.len()));
    }
    let zone_names = names(text, "Zones")?;
    Ok(StartConfig {
        fleet: Fleet {
            zones: zone_names.len(),
            proxies: number(text, "FamilyInfo.DataPlaneSize")? as usize,
            planners: number(text, "Balancers")? as usize,
            list_on_request: word(text, "Discovery")? == "on_request",
            list_request_interval: span(text, "Contract.AskWithinNs")?,
            cross_zone_cost: number(text, "Deductions.CrossZone")?,
            min_server_connections: limit(text, "FamilyInfo.SmallestConnTable")?,
            keep_alive: Span(limit(text, "Permissions.KeepaliveNs")? as u64),
        },
        routes,
        channel: ChannelLimits {
            message_overhead: number(text, "FamilyInfo.Head")?,
            max_queued_lines: limit(text, "FamilyInfo.PendingMax")?,
            max_messages: limit(text, "FamilyInfo.ReloadsMax")? as usize,
            message_window: span(text, "FamilyInfo.ReloadSpanNs")?,
            lines_per_s: limit(text, "FamilyInfo.EgressPerS")?,
            max_transit: span(text, "FamilyInfo.TransitMaxNs")?,
        },
        contract: Contract {
            drain_grace: span(text, "Contract.DrainGraceNs")?,
            removal_is_binding: !flag(text, "Contract.RemovalNotBinding")?,
            cold_capacity: number(text, "Contract.ColdFrom")?,
            warmup: span(text, "Contract.ColdNs")?,
            overload_time: span(text, "Contract.FallNs")?,
            overload_factor: number(text, "Contract.OverloadFactor")?,
        },
        capabilities: Capabilities {
            throttle: match word(text, "FamilyInfo.ThrottleBy")? {
                "fraction" => Throttle::Fraction,
                "per_second" => Throttle::PerSecond,
                _ => Throttle::Off,
            },
            probes: flag(text, "Permissions.Probes")?,
            load_on_probe: word(text, "Feedback.How")? == "on_probe",
            ejects_servers: number(text, "FamilyInfo.FailsToEject")? > 0.0,
            resend_wait_factor: number(text, "FamilyInfo.FirstWait")?,
        },
        slicing: Slicing {
            slices: number(text, "FamilyInfo.PartitionsN")? as usize,
            exclusive: flag(text, "FamilyInfo.Exclusive")?,
            write_stop_delay: span(text, "FamilyInfo.KeepsWritingNs")?,
            write_linger: span(text, "FamilyInfo.LingersNs")?,
        },
        zone_names,
        route_names,
    })
}
