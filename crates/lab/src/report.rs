//! What a day was like for callers: the part of the calls answered within their SLO time, by route and window.

use crate::audit::Facts;
use crate::record::{Kind, Row};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::HashMap;
use std::fmt::Write;

const WINDOW_S: f64 = 5.0;

#[derive(Clone, Debug, Default, Serialize)]
pub struct Service {
    pub calls: usize,
    /// Part answered well within the SLO time, counted from when the client meant to send.
    pub served: f64,
    pub worst_window: f64,
    pub by_route: Vec<RouteService>,
    /// Worst time from an order to its ACK, and the median, in milliseconds.
    pub order_to_ack_ms: (f64, f64),
    pub proxies_acked: usize,
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct RouteService {
    pub route: String,
    pub calls: usize,
    pub served: f64,
    /// By windows of five seconds.
    pub windows: Vec<f64>,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub throttled: usize,
    pub no_line: usize,
    pub failed: usize,
}

struct Call {
    route: usize,
    meant: i64,
    good: Option<i64>,
    ended: String,
}

pub fn service(rows: &[Row], facts: &Facts) -> Service {
    let mut calls: HashMap<&str, Call> = HashMap::new();
    let route = |name: &str| facts.routes.iter().position(|route| route.0 == name);
    for row in rows {
        match row.kind {
            Kind::Asked | Kind::Unsent => {
                let Some(route) = route(&row.route) else { continue };
                let fresh = || Call { route, meant: row.m, good: None, ended: String::new() };
                calls.entry(&row.call).or_insert_with(fresh);
            }
            Kind::Answered => {
                let Some(call) = calls.get_mut(row.call.as_str()) else { continue };
                if (200..300).contains(&row.n) {
                    call.good.get_or_insert(row.at);
                } else {
                    call.ended = row.text.clone();
                }
            }
            _ => {}
        }
    }
    let last = calls.values().map(|call| call.meant).max().unwrap_or(facts.started);
    let window = |meant: i64| ((meant - facts.started).max(0) as f64 / 1e9 / WINDOW_S) as usize;
    // A last window of less than half its length says little.
    let whole = (last - facts.started) as f64 / 1e9 / WINDOW_S;
    let windows = (whole.round() as usize).max(1);
    let mut sums = vec![vec![(0usize, 0usize); windows]; facts.routes.len()];
    let mut service = Service { calls: calls.len(), worst_window: 1.0, ..Service::default() };
    for (at, (name, slo, _)) in facts.routes.iter().enumerate() {
        let Ok(mut took) = Histogram::<u64>::new(3) else { continue };
        let mut one = RouteService { route: name.clone(), ..RouteService::default() };
        for call in calls.values().filter(|call| call.route == at) {
            one.calls += 1;
            let within = call.good.is_some_and(|good| good - call.meant <= *slo);
            let place = window(call.meant).min(windows - 1);
            sums[at][place].0 += 1;
            sums[at][place].1 += usize::from(within);
            if let Some(good) = call.good {
                let _ = took.record(((good - call.meant).max(0) / 1_000) as u64);
            }
            match call.ended.as_str() {
                "throttled" => one.throttled += 1,
                "no-line" => one.no_line += 1,
                _ if call.good.is_none() => one.failed += 1,
                _ => {}
            }
        }
        let share = |sum: &(usize, usize)| sum.1 as f64 / sum.0.max(1) as f64;
        let all = sums[at].iter().fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
        one.served = share(&all);
        one.windows = sums[at].iter().map(share).collect();
        one.p50_ms = took.value_at_quantile(0.5) as f64 / 1e3;
        one.p99_ms = took.value_at_quantile(0.99) as f64 / 1e3;
        service.by_route.push(one);
    }
    let mut all = (0, 0);
    for place in 0..windows {
        let window = sums.iter().map(|route| route[place]).fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
        all = (all.0 + window.0, all.1 + window.1);
        if window.0 > 0 {
            service.worst_window = service.worst_window.min(window.1 as f64 / window.0 as f64);
        }
    }
    service.served = all.1 as f64 / all.0.max(1) as f64;
    acks(rows, &mut service);
    service
}

/// Times from order to ACK.
fn acks(rows: &[Row], service: &mut Service) {
    let mut sent: HashMap<(String, String, i64), i64> = HashMap::new();
    let mut took = Vec::new();
    for row in rows {
        match row.kind {
            Kind::Update => {
                let nonce = row.text.rsplit(' ').next().and_then(|nonce| nonce.parse().ok()).unwrap_or(0);
                sent.insert((row.from.clone(), row.to.clone(), nonce), row.m);
            }
            Kind::Acked => {
                if let Some(ordered) = sent.remove(&(row.to.clone(), row.from.clone(), row.n)) {
                    took.push((row.at - ordered) as f64 / 1e6);
                }
            }
            _ => {}
        }
    }
    took.sort_by(f64::total_cmp);
    service.proxies_acked = took.len();
    if let (Some(worst), Some(middle)) = (took.last(), took.get(took.len() / 2)) {
        service.order_to_ack_ms = (*worst, *middle);
    }
}

/// One table: routes down, windows across; beside it the same day with the planners off, where it was played.
pub fn table(service: &Service, without: Option<&Service>) -> String {
    let mut text = String::new();
    let line = |text: &mut String, name: &str, served: f64, windows: &[f64]| {
        let cells: Vec<String> = windows.iter().map(|share| format!("{:4.0}", share * 100.0)).collect();
        let _ = writeln!(text, "{name:<22}{:6.1} |{}", served * 100.0, cells.join(""));
    };
    let _ = writeln!(text, "{:<22}{:>6} | by {WINDOW_S} s", "served in time, %", "all");
    for (at, route) in service.by_route.iter().enumerate() {
        line(&mut text, &route.route, route.served, &route.windows);
        if let Some(other) = without.and_then(|without| without.by_route.get(at)) {
            line(&mut text, "  planners off", other.served, &other.windows);
        }
    }
    for route in &service.by_route {
        let _ = writeln!(
            text,
            "{:<22}{} calls, p50 {:.0} ms, p99 {:.0} ms, {} throttled, {} without a line, {} failed",
            route.route,
            route.calls,
            route.p50_ms,
            route.p99_ms,
            route.throttled,
            route.no_line,
            route.failed
        );
    }
    let (worst, middle) = service.order_to_ack_ms;
    let _ = writeln!(
        text,
        "order to ACK: median {middle:.1} ms, worst {worst:.0} ms, {} messages",
        service.proxies_acked
    );
    text
}
