//! Operators of a cluster day: what they ask, and what they were told.

use super::judge::{Done, Op};
use super::{Shared, KEYS, PAUSE};
use crate::ask;
use pewtergap_reactor::Clock;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// One operator: orders and reads at whichever planner, one after the other, until all is over.
pub fn operate(shared: &Shared, clock: Clock, mut rng: fastrand::Rng) {
    while !shared.over.load(Ordering::SeqCst) {
        let count = shared.admin.lock().map_or(1, |admin| admin.len());
        let at = rng.usize(0..count);
        let op = match rng.u8(0..3) {
            0 => read(shared, clock, at),
            _ => order(shared, clock, at, rng.usize(0..KEYS)),
        };
        if let Ok(mut ops) = shared.ops.lock() {
            ops.push(op);
        }
        std::thread::sleep(Duration::from_millis(rng.u64(PAUSE / 2..PAUSE * 2)));
    }
}

pub fn order(shared: &Shared, clock: Clock, at: usize, key: usize) -> Op {
    let value = shared.values.fetch_add(1, Ordering::SeqCst) + 1;
    let called = clock.now();
    let id = format!("{:016x}", fastrand::u64(1..));
    let body = json!({ "id": id, "given": called.0 / 1_000_000, "who": "lab", "why": "a cluster day",
        "order": "weight", "server": format!("s{key}"), "weight": value });
    let done = match shared.admin.lock().ok().and_then(|admin| admin[at]) {
        None => Done::Not,
        Some(admin) => match ask::call(admin, "POST", "/orders", Some(&body.to_string())) {
            Ok((200, text)) => {
                let view: Value = serde_json::from_str(&text).unwrap_or_default();
                view["number"].as_u64().map_or(Done::Unknown, Done::Kept)
            }
            Ok((409 | 503, _)) | Err((false, _)) => Done::Not,
            Ok(_) | Err((true, _)) => Done::Unknown,
        },
    };
    Op { called, returned: clock.now(), at, order: Some((key, value)), done }
}

pub fn read(shared: &Shared, clock: Clock, at: usize) -> Op {
    let called = clock.now();
    let answer = shared.admin.lock().ok().and_then(|admin| admin[at]);
    let answer = answer.and_then(|admin| ask::call(admin, "GET", "/record", None).ok());
    let view: Value = answer.and_then(|(_, text)| serde_json::from_str(&text).ok()).unwrap_or_default();
    let mut found = BTreeMap::new();
    for order in view["orders"].as_array().into_iter().flatten() {
        let words: Vec<&str> = order["order"].as_str().unwrap_or_default().split(' ').collect();
        if let ["weight", server, weight] = words.as_slice() {
            let key = server.trim_start_matches('s').parse::<usize>();
            let value = weight.parse::<f64>().map(|weight| weight as u64);
            if let (Ok(key), Ok(value)) = (key, value) {
                found.insert(key, value);
            }
        }
    }
    let done = if view["fresh"] == json!(true) { Done::Found(found) } else { Done::Nothing };
    Op { called, returned: clock.now(), at, order: None, done }
}
