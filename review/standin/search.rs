//! A search over drawn days: no case of its own, the report says what it found.
//!
//!     SITE=kigali|regina|santiago KINDS=break+slow SEED=1 PROXIES=98 SERVERS=27 SPAN=24 LATE=0.32 standin search ROOT RECORD

use crate::{kigali, regina, Case, Figures};

pub fn figures() -> (Figures, usize) {
    let proxies = std::env::var("PROXIES").ok().and_then(|v| v.parse().ok()).unwrap_or(98);
    let late: f64 = std::env::var("LATE").ok().and_then(|v| v.parse().ok()).unwrap_or(0.32);
    match std::env::var("SITE").as_deref() {
        Ok("regina") => (Figures { late, ..regina(3, proxies) }, 3),
        Ok("santiago") => (
            Figures {
                late,
                planners: 1,
                zones: vec!["quilicura", "san-bernardo"],
                grace: 1.5,
                cold_from: 0.17,
                overload: 4.0,
                fall: 2.0,
                crossing: 0.06,
                lines_per_s: 7000.0,
                head: 3.0,
                pending: 10500.0,
                throttle: "fraction",
                report_every: 0.5,
                retry: 0,
                ..regina(1, proxies)
            },
            1,
        ),
        _ => (Figures { late, lines_per_s: 2000.0, pending: 4000.0, ..kigali(proxies, [false; 3]) }, 2),
    }
}

/// A rolling deploy of the whole fleet, and the troubles that KINDS names beside it, from SEED.
pub fn run(case: &mut Case) -> Result<(), String> {
    let env = |name: &str, or: f64| std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(or);
    let seed = env("SEED", 1.0) as u64;
    for _ in 0..seed * 7 {
        case.engine.chance();
    }
    let kinds = std::env::var("KINDS").unwrap_or_default();
    let (count, proxies) = (env("SERVERS", 27.0) as usize, env("PROXIES", 98.0) as usize);
    case.engine.rates_by_collector = std::env::var("USAGE").is_ok_and(|value| value == "collector");
    let planners = case.engine.planners.len();
    let zones = case.engine.day.zones.len();
    let servers = case.servers(count);
    for planner in 0..planners {
        case.engine.start_planner(planner, planner % zones)?;
    }
    for number in 0..proxies {
        let zone = number % zones;
        let standing = case.standing(zone, 5);
        let rate = env("CALLS", 120.0) / proxies as f64 * (0.2 + 3.2 * case.engine.chance().powi(3));
        case.engine.add_proxy(zone, rate, zone.min(planners - 1), &standing);
    }
    let start = case.engine.now();
    let mut events: Vec<(f64, usize, &str)> = Vec::new();
    let span = env("SPAN", 24.0);
    let batch = (count as f64 * 0.18).floor().max(1.0) as usize;
    let batches = count.div_ceil(batch);
    for k in 0..count {
        let at = 12.0 + span * (k / batch) as f64 / batches as f64 + case.engine.chance() * 1.0;
        events.extend([
            (at, k, "drain"),
            (at + 0.5 + case.engine.chance() * 2.0, k, "next"),
            (at + 4.0, k, "gone"),
        ]);
    }
    let when = 14.0 + 16.0 * case.engine.chance();
    for kind in kinds.split('+') {
        match kind {
            "break" => events.push((when, 0, "break")),
            "break2" => events.extend([(when, 0, "break"), (when + 0.4 + case.engine.chance(), 0, "break")]),
            "slow" => {
                events.extend([(when - 3.0, 0, "slow"), (when + 9.0, 0, "fast"), (when + 19.0, 0, "strict")])
            }
            "kill" => events.extend([
                (when, 0, "kill"),
                (when + 4.0 + 4.0 * case.engine.chance(), 0, "start"),
                (when + 14.0, 0, "home"),
            ]),
            "zone" => events.extend([(when, 0, "lose"), (when + 1.5, 0, "lost"), (when + 15.0, 0, "found")]),
            "own" => events.extend([(when + 3.5, 0, "cut own"), (when + 3.5 + env("CUT", 6.5), 0, "heal")]),
            "cut" => events.extend([(when, 0, "cut"), (when + env("CUT", 6.5), 0, "heal")]),
            "spoil" => events.push((12.0, 0, "spoil")),
            "mute" => events.push((when, 0, "mute")),
            "hush" => events.push((when, 0, "hush")),
            "hush2" => events.extend([(when, 0, "hush"), (when + 4.0, 0, "hush")]),
            _ => {}
        }
    }
    events.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut next = 0;
    for (at, k, what) in events {
        case.engine.run_until(start + at);
        match what {
            "drain" => case.world.set_state(&[servers[k]], "Terminating"),
            "gone" => case.world.set_state(&[servers[k]], "Gone"),
            "next" => {
                next += 1;
                let at = case.world.boot(
                    &format!("s-{:08x}", 0x1000 + next),
                    case.engine.day.zones[k % zones],
                    true,
                );
                case.world.set_state(&[at], "Ready");
            }
            "break" => {
                for at in 0..proxies {
                    let (draw, wait) = (case.engine.chance(), 0.27 + 1.0 * case.engine.chance());
                    if draw < 0.79 {
                        case.engine.break_stream(at, wait, "a mass break");
                    }
                }
            }
            "slow" => {
                let f = 2.7 + 2.1 * case.engine.chance();
                case.engine.planners.iter_mut().for_each(|p| (p.slow, p.lenient) = (f, f));
            }
            "lose" => (0..count).filter(|at| at % zones == 0).for_each(|at| case.world.kill_server(at)),
            "lost" => {
                let ready = |at: &usize| case.world.list.lock().unwrap().servers[*at].state == "Ready";
                let lost: Vec<usize> = (0..count).filter(|at| at % zones == 0).filter(ready).collect();
                case.world.set_state(&lost, "Gone");
            }
            "found" => {}
            "cut" => case.engine.cut_zone(zones - 1, env("CUT", 6.5), planners - 1),
            "cut own" => case.engine.cut_zone(planners - 1, env("CUT", 6.5), planners - 1),
            // Most streams break without a word; a proxy notices within 0.94 to 1.8 s and dials 0.27 to 1.9 s later.
            "hush" => {
                let now = case.engine.now();
                for at in 0..proxies {
                    let draws = [case.engine.chance(), case.engine.chance(), case.engine.chance()];
                    if draws[0] < 0.79 {
                        let proxy = &mut case.engine.proxies[at];
                        (proxy.mute_until, proxy.dial_after) =
                            (now + 0.94 + 0.86 * draws[1], 0.27 + env("DIAL", 1.63) * draws[2]);
                    }
                }
            }
            "heal" => case.engine.heal(),
            "strict" => case.engine.planners.iter_mut().for_each(|p| p.lenient = 1.0),
            "fast" => case.engine.planners.iter_mut().for_each(|p| p.slow = 1.0),
            "kill" => {
                case.engine.kill_planner(0);
                for at in 0..proxies {
                    if case.engine.proxies[at].planner == 0 {
                        let wait = 0.27 + 1.6 * case.engine.chance();
                        case.engine.break_stream(at, wait, "its planner died");
                        case.engine.proxies[at].planner = planners - 1;
                    }
                }
            }
            "start" => case.engine.start_planner(0, 0)?,
            "home" => {
                for at in (0..proxies).filter(|at| at % zones == 0) {
                    let wait = 0.1 + 1.0 * case.engine.chance();
                    case.engine.break_stream(at, wait, "goes back");
                    case.engine.proxies[at].planner = 0;
                }
            }
            "spoil" => case.engine.spoil_share = 0.2,
            "mute" => {
                let now = case.engine.now();
                for at in 0..proxies {
                    if case.engine.chance() < 0.5 {
                        case.engine.proxies[at].mute_until = now + 6.0 + case.engine.chance();
                    }
                }
            }
            _ => {}
        }
    }
    case.engine.run_until(start + 12.0 + span + 14.0);
    Ok(())
}
