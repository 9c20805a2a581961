//! Probes with and without slices on the same day: how many, and how long servers that fall silent go on being sent calls.

use crate::day::{script, Act, Day};
use crate::days;
use crate::record::{Kind, Row};
use crate::rehearse::{play, Play};
use pewtergap_time::Span;
use serde::Serialize;
use std::collections::BTreeMap;
use std::path::Path;

#[derive(Clone, Debug, Serialize)]
pub struct Probing {
    pub planners: usize,
    pub duties: bool,
    pub probes_a_server_and_second: f64,
    /// From when a server falls silent to the last call that a proxy of any planner sends it, by server.
    pub sent_last_s: Vec<f64>,
    /// Calls sent to them meanwhile.
    pub calls_to_silent: usize,
    pub served: f64,
    pub broken: usize,
}

const DAY: &str = "duties_silent_server";

pub fn probing(program: &Path, dir: &Path, planners: usize, duties: bool) -> Result<Probing, String> {
    let _ = std::fs::remove_dir_all(dir);
    let mut day = days::built_in(DAY).ok_or("there is no such day")?.map_err(|faults| faults.to_string())?;
    (day.planners, day.duties) = (planners, duties);
    // Long enough that the silent ones are shut out.
    day.lasts = Span::millis(30_000);
    day.troubles.iter_mut().for_each(|trouble| trouble.lasts = Span::millis(24_000));
    let quiet = |_: &str| {};
    let dir = dir.to_path_buf();
    let seed = 1;
    let came =
        play(&Play { day: &day, seed, program, dir, planners_off: false, plant: None, progress: &quiet })?;
    let (sent_last_s, calls_to_silent) = to_silent(&day, seed, &came.rows)?;
    let probes = came.rows.iter().filter(|row| row.kind == Kind::Probed).count();
    let a_second = probes as f64 / day.slots.len() as f64 / day.lasts.seconds();
    Ok(Probing {
        planners,
        duties,
        probes_a_server_and_second: a_second,
        sent_last_s,
        calls_to_silent,
        served: came.service.served,
        broken: came.audit.breaches.len(),
    })
}

/// From when each server fell silent to the last call that it was sent, in seconds; and all calls sent to them meanwhile.
pub fn to_silent(day: &Day, seed: u64, rows: &[Row]) -> Result<(Vec<f64>, usize), String> {
    let started = crate::audit::facts(rows)?.started;
    let mut silent: BTreeMap<String, (i64, i64)> = BTreeMap::new();
    for (at, act) in script(day, seed) {
        if let Act::Server(slot, word) = act {
            let name = day.slots[slot].name.clone();
            let at = started + at.0 as i64;
            match word.as_str() {
                "silent" => drop(silent.insert(name, (at, i64::MAX))),
                _ => silent.entry(name).and_modify(|span| span.1 = at).or_insert((at, at)).1 = at,
            }
        }
    }
    let sent_last_s = silent
        .iter()
        .map(|(name, (from, until))| {
            let sent = rows.iter().filter(|row| row.kind == Kind::Sent && row.to == *name);
            let last = sent.map(|row| row.at).filter(|at| at > from && at < until).max().unwrap_or(*from);
            (last - from) as f64 / 1e9
        })
        .collect();
    let calls = rows.iter().filter(|row| {
        let span = silent.get(&row.to).filter(|_| row.kind == Kind::Sent);
        span.is_some_and(|span| row.at > span.0 && row.at < span.1)
    });
    Ok((sent_last_s, calls.count()))
}
