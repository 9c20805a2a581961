//! Reads what an instance is told at its start into the planner's terms. Absent keys mean "no such thing here".
//!
//! The simulator's first message and the platform's configuration carry the same object: one reader for both.
#![forbid(unsafe_code)]

use pewtergap_planner::{Channel, Fleet, KeyScope, Moment, Planner, Pledge, Reach, Repeats, Route, Slicing};
use pewtergap_planner::{Span, Throttle};
use serde_json::Value;

/// Orders name routes as a sum of 2^k; one more was taken for the first.
const MOST_ROUTES: usize = 64;

pub struct Start {
    pub fleet: Fleet,
    pub routes: Vec<Route>,
    pub channel: Channel,
    pub pledge: Pledge,
    pub reach: Reach,
    pub slicing: Slicing,
    pub zone_names: Vec<String>,
    pub route_names: Vec<String>,
}

impl Start {
    /// The module as it is told to start; chance comes from the seed alone.
    pub fn planner(&self, now: Moment, seed: u64) -> Planner {
        Planner::new(
            now,
            seed,
            self.fleet.clone(),
            self.routes.clone(),
            self.channel.clone(),
            self.pledge.clone(),
            self.reach.clone(),
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
    let repeats = match word(profile, "Semantics")? {
        "free" => Repeats::Repeatable,
        "guarded" => Repeats::Keyed {
            scope: match word(profile, "KeyScope")? {
                "all" => KeyScope::All,
                "zone" => KeyScope::Zone,
                _ => KeyScope::Cell,
            },
            window: span(profile, "WindowNs")?,
        },
        "single_shot" => Repeats::Mutating,
        other => return Err(format!("Profiles.Semantics is '{other}'")),
    };
    let route = Route {
        importance: number(profile, "Credit")?,
        slo_time: span(profile, "SloNs")?,
        time_limit: span(profile, "DeadlineNs")?,
        repeats,
        zone_bound,
        writes,
    };
    Ok((name.to_string(), route))
}

pub fn read(text: &Value) -> Result<Start, String> {
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
    Ok(Start {
        fleet: Fleet {
            zones: zone_names.len(),
            proxies: number(text, "FamilyInfo.DataPlaneSize")? as usize,
            planners: number(text, "Balancers")? as usize,
            on_request: word(text, "Discovery")? == "on_request",
            ask_within: span(text, "Contract.AskWithinNs")?,
            crossing_price: number(text, "Deductions.CrossZone")?,
            conns_least: limit(text, "FamilyInfo.SmallestConnTable")?,
            keep_alive: Span(limit(text, "Permissions.KeepaliveNs")? as u64),
        },
        routes,
        channel: Channel {
            head: number(text, "FamilyInfo.Head")?,
            most_waiting: limit(text, "FamilyInfo.PendingMax")?,
            messages_most: limit(text, "FamilyInfo.ReloadsMax")? as usize,
            messages_over: span(text, "FamilyInfo.ReloadSpanNs")?,
            lines_per_s: limit(text, "FamilyInfo.EgressPerS")?,
            longest_way: span(text, "FamilyInfo.TransitMaxNs")?,
        },
        pledge: Pledge {
            drain_grace: span(text, "Contract.DrainGraceNs")?,
            removal_binds: !flag(text, "Contract.RemovalNotBinding")?,
            cold_from: number(text, "Contract.ColdFrom")?,
            cold_for: span(text, "Contract.ColdNs")?,
            fall: span(text, "Contract.FallNs")?,
            overload_factor: number(text, "Contract.OverloadFactor")?,
        },
        reach: Reach {
            throttle: match word(text, "FamilyInfo.ThrottleBy")? {
                "fraction" => Throttle::Fraction,
                "per_second" => Throttle::PerSecond,
                _ => Throttle::Off,
            },
            probes: flag(text, "Permissions.Probes")?,
            load_on_probe: word(text, "Feedback.How")? == "on_probe",
            shuns: number(text, "FamilyInfo.FailsToEject")? > 0.0,
            first_wait: number(text, "FamilyInfo.FirstWait")?,
        },
        slicing: Slicing {
            slices: number(text, "FamilyInfo.PartitionsN")? as usize,
            exclusive: flag(text, "FamilyInfo.Exclusive")?,
            keeps_writing: span(text, "FamilyInfo.KeepsWritingNs")?,
            lingers: span(text, "FamilyInfo.LingersNs")?,
        },
        zone_names,
        route_names,
    })
}
