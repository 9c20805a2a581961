//! Parses the start configuration of a planner instance. An absent key means that the feature is not
//! present.
//!
//! The simulator's first message and the platform's configuration contain the same object, so both use this
//! parser.
#![forbid(unsafe_code)]

use pewtergap_planner::{
    Capabilities, ChannelLimits, Contract, Fleet, KeyScope, Moment, Planner, RetrySafety, Route, Slicing,
};
use pewtergap_planner::{Span, Throttle};
use serde_json::Value;

/// Actions select routes by a 64-bit mask. A 65th route was once taken for the first one.
const MAX_ROUTES: usize = 64;

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
    /// Creates the planner. All of its randomness comes from the seed.
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

/// Looks up a dotted path. Absent and null are treated alike.
fn find<'a>(config: &'a Value, path: &str) -> Option<&'a Value> {
    path.split('.').try_fold(config, |value, key| value.get(key)).filter(|value| !value.is_null())
}

fn number(config: &Value, path: &str) -> Result<f64, String> {
    match find(config, path) {
        None => Ok(0.0),
        Some(value) => {
            value.as_f64().filter(|n| *n >= 0.0).ok_or(format!("{path} is not a number of 0 or more"))
        }
    }
}

/// An absent or zero limit means no limit.
fn limit(config: &Value, path: &str) -> Result<f64, String> {
    Ok(Some(number(config, path)?).filter(|limit| *limit > 0.0).unwrap_or(f64::INFINITY))
}

fn span(config: &Value, path: &str) -> Result<Span, String> {
    Ok(Span(number(config, path)? as u64))
}

fn flag(config: &Value, path: &str) -> Result<bool, String> {
    match find(config, path) {
        None => Ok(false),
        Some(value) => value.as_bool().ok_or(format!("{path} is not true or false")),
    }
}

fn string<'a>(config: &'a Value, path: &str) -> Result<&'a str, String> {
    match find(config, path) {
        None => Ok(""),
        Some(value) => value.as_str().ok_or(format!("{path} is not text")),
    }
}

fn array<'a>(config: &'a Value, path: &str) -> Result<&'a [Value], String> {
    match find(config, path) {
        None => Ok(&[]),
        Some(value) => value.as_array().map(Vec::as_slice).ok_or(format!("{path} is not a list")),
    }
}

fn strings(config: &Value, path: &str) -> Result<Vec<String>, String> {
    array(config, path)?
        .iter()
        .map(|name| name.as_str().map(str::to_string).ok_or(format!("{path} holds no names")))
        .collect()
}

fn route(profile: &Value, zone_bound: bool, writes: bool) -> Result<(String, Route), String> {
    let name = profile.get("Name").and_then(Value::as_str).ok_or("Profiles.Name is missing")?;
    let retry_safety = match string(profile, "Semantics")? {
        "free" => RetrySafety::Repeatable,
        "guarded" => RetrySafety::Keyed {
            scope: match string(profile, "KeyScope")? {
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

pub fn parse(config: &Value) -> Result<StartConfig, String> {
    if !config.is_object() {
        return Err("not an object".into());
    }
    let flag_at = |path: &str, at: usize| -> Result<bool, String> {
        Ok(array(config, path)?.get(at).and_then(Value::as_bool).unwrap_or(false))
    };
    let mut routes = Vec::new();
    let mut route_names = Vec::new();
    for (at, profile) in array(config, "Profiles")?.iter().enumerate() {
        let (name, route) =
            route(profile, flag_at("FamilyInfo.ZoneBound", at)?, flag_at("FamilyInfo.ClassWrites", at)?)?;
        route_names.push(name);
        routes.push(route);
    }
    if routes.is_empty() {
        return Err("Profiles is missing or empty".into());
    }
    if routes.len() > MAX_ROUTES {
        return Err(format!("Profiles holds {}, and an order can name {MAX_ROUTES}", routes.len()));
    }
    let zone_names = strings(config, "Zones")?;
    Ok(StartConfig {
        fleet: Fleet {
            zones: zone_names.len(),
            proxies: number(config, "FamilyInfo.DataPlaneSize")? as usize,
            planners: number(config, "Balancers")? as usize,
            list_on_request: string(config, "Discovery")? == "on_request",
            list_request_interval: span(config, "Contract.AskWithinNs")?,
            cross_zone_cost: number(config, "Deductions.CrossZone")?,
            min_server_connections: limit(config, "FamilyInfo.SmallestConnTable")?,
            keep_alive: Span(limit(config, "Permissions.KeepaliveNs")? as u64),
        },
        routes,
        channel: ChannelLimits {
            message_overhead: number(config, "FamilyInfo.Head")?,
            max_queued_lines: limit(config, "FamilyInfo.PendingMax")?,
            max_messages: limit(config, "FamilyInfo.ReloadsMax")? as usize,
            message_window: span(config, "FamilyInfo.ReloadSpanNs")?,
            lines_per_s: limit(config, "FamilyInfo.EgressPerS")?,
            max_transit: span(config, "FamilyInfo.TransitMaxNs")?,
        },
        contract: Contract {
            drain_grace: span(config, "Contract.DrainGraceNs")?,
            removal_is_binding: !flag(config, "Contract.RemovalNotBinding")?,
            cold_capacity: number(config, "Contract.ColdFrom")?,
            warmup: span(config, "Contract.ColdNs")?,
            overload_time: span(config, "Contract.FallNs")?,
            overload_factor: number(config, "Contract.OverloadFactor")?,
        },
        capabilities: Capabilities {
            throttle: match string(config, "FamilyInfo.ThrottleBy")? {
                "fraction" => Throttle::Fraction,
                "per_second" => Throttle::PerSecond,
                _ => Throttle::Off,
            },
            probes: flag(config, "Permissions.Probes")?,
            load_on_probe: string(config, "Feedback.How")? == "on_probe",
            ejects_servers: number(config, "FamilyInfo.FailsToEject")? > 0.0,
            resend_wait_factor: number(config, "FamilyInfo.FirstWait")?,
            proxies_keep_zone_bound: true,
        },
        slicing: Slicing {
            slices: number(config, "FamilyInfo.PartitionsN")? as usize,
            exclusive: flag(config, "FamilyInfo.Exclusive")?,
            write_stop_delay: span(config, "FamilyInfo.KeepsWritingNs")?,
            write_linger: span(config, "FamilyInfo.LingersNs")?,
        },
        zone_names,
        route_names,
    })
}
