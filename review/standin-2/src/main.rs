//! Stand-ins for clients' proxies, servers, discovery and the platform, and one function for each case. The project's
//! planner runs as a process of its own, by the command of the deploy file.

mod platform;
mod proxies;
mod run;
mod sites;
mod world;

use platform::{start_server, stop_server};
use run::{Plan, Run};
use std::sync::Arc;
use world::State;

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("zone-bound") => zone_bound(),
        Some("replaced") => replaced(),
        Some("pieces") => pieces(),
        Some("descriptors") => descriptors(),
        Some("explore") => explore(),
        _ => world::quit("no such case"),
    }
}

/// A zone is lost and returns cold while one class stays within its zone.
fn zone_bound() -> ! {
    let mut site = sites::kigali();
    site.classes[2].bound = true;
    let servers = (0..15).map(|at| (at % 3, 3, 1.0)).collect();
    // 168 calls a second, a fifth more in the last zone. Its proxies are dealt to both planners.
    let rate = |zone: usize| [17.5, 17.5, 21.0][zone];
    let proxies =
        (0..9).map(|at| (at % 3, rate(at % 3), if at % 3 == 2 { (at / 3) % 2 } else { at % 3 })).collect();
    let run = Run::begin(Plan { site, servers, proxies });
    run.world.sleep(20.0);
    if run.trouble {
        let lost: Vec<usize> = (0..15).filter(|at| at % 3 == 2).collect();
        for at in &lost {
            stop_server(&run.world, *at);
        }
        run.world.sleep(2.0);
        for at in &lost {
            run.world.list_change(*at, State::Gone);
        }
        run.world.sleep(13.0);
        // Each is lost for 15 to 20 s, and is listed half a second to a second after it has started.
        let back = run.world.now();
        for (nth, at) in lost.iter().enumerate() {
            run.world.sleep_until(back + 1.25 * nth as f64);
            start_server(&run.world, *at, true);
            run.world.sleep(0.5 + 0.1 * nth as f64);
            run.world.list_change(*at, State::Ready);
        }
        run.world.sleep(20.0);
    } else {
        run.world.sleep(37.0);
    }
    run.finish()
}

/// Six in ten servers are replaced within 7 s, where a planner may write 12 messages to a proxy within 10 s.
fn replaced() -> ! {
    let site = sites::santiago();
    let servers = (0..14).map(|at| (at / 8, 2, 1.25)).collect();
    // 86 calls a second, in each zone by its servers.
    let proxies = (0..6).map(|at| (at % 2, 86.0 / 3.0 * [8.0, 6.0][at % 2] / 14.0, 0)).collect();
    let run = Run::begin(Plan { site, servers, proxies });
    // The deploy begins at a calm moment: nothing was written to the proxies for 10 s, or 75 s have passed.
    run.world.sleep(12.0);
    while run.fleet.quiet_for() < 10.0 && run.world.now() < 75.0 {
        run.world.sleep(0.1);
    }
    if run.trouble {
        let begun = run.world.now();
        for at in 0..8 {
            run.start_successor(format!("n-{at:02}"), at, 0.2 + 0.1 * at as f64);
        }
        for at in 0..8 {
            run.world.sleep_until(begun + 1.3 + 0.7 * at as f64);
            run.drain(at, 6.0);
        }
        run.world.sleep(20.0);
    } else {
        run.world.sleep(27.0);
    }
    run.finish()
}

/// Discovery's answer that tells of a drain comes in pieces.
fn pieces() -> ! {
    let site = sites::santiago();
    let servers = (0..12).map(|at| (at % 2, 2, 1.25)).collect();
    let proxies = (0..6).map(|at| (at % 2, 86.0 / 6.0, 0)).collect();
    let run = Run::begin(Plan { site, servers, proxies });
    run.world.sleep(12.0);
    // Two servers are drained, one shortly after the other.
    run.drain(0, 8.0);
    run.world.sleep(0.03);
    if run.trouble {
        *run.world.pieces.lock().unwrap() = Some((9, 0.58));
    }
    run.drain(2, 8.0);
    run.world.sleep(12.0);
    run.finish()
}

/// Two of three planners are killed, and all proxies come to the third, within its descriptors.
fn descriptors() -> ! {
    let mut site = sites::kigali();
    (site.planners, site.proxies, site.sockets, site.queue_max) = (3, 240, 280, 14000.0);
    (site.lines_per_s, site.grace_s) = (7000.0, 2.5);
    let servers = (0..30).map(|at| (at % 3, 3, 1.0)).collect();
    let proxies = (0..240).map(|at| (at % 3, 340.0 / 240.0, at % 3)).collect();
    let run = Arc::new(Run::begin(Plan { site, servers, proxies }));
    run.world.sleep(15.0);
    if run.trouble {
        let down: Vec<_> = (1..3)
            .map(|planner| {
                let run = run.clone();
                std::thread::spawn(move || run.restart_planner(planner, "-KILL", 8.5))
            })
            .collect();
        run.world.sleep(3.0);
        run.note_descriptors(0);
        run.drain(1, 8.0);
        run.drain(2, 8.0);
        for restarted in down {
            let _ = restarted.join();
        }
    } else {
        run.world.sleep(3.0);
        run.drain(1, 8.0);
        run.drain(2, 8.0);
        run.world.sleep(7.0);
    }
    run.world.sleep(10.0);
    run.end()
}

/// Disruptions within the pages' ranges, for exploration: `explore KIND SITE [bound]`.
fn explore() -> ! {
    let args: Vec<String> = std::env::args().collect();
    let (kind, name) = (args[2].as_str(), args[3].as_str());
    let mut site = match name {
        "kigali" => sites::kigali(),
        "regina" => sites::regina(),
        _ => sites::santiago(),
    };
    if args.get(4).is_some_and(|a| a == "bound") {
        site.classes[2].bound = true;
    }
    let zones = site.zones.len();
    let (count, cores, speed, rate) = match name {
        "kigali" => (18, 3, 1.0, 190.0),
        "regina" => (18, 1, 1.0, 66.0),
        _ => (14, 2, 1.25, 95.0),
    };
    let planners = site.planners;
    let n = site.proxies;
    let servers = (0..count).map(|at| (at % zones, cores, speed)).collect();
    let skew = |at: usize| [0.5, 0.6, 1.9, 0.7, 1.3, 1.0, 1.2, 0.8, 1.0][at % 9];
    let total: f64 = (0..n).map(skew).sum();
    let proxies = (0..n)
        .map(|at| {
            (
                at % zones,
                rate * skew(at) / total,
                if at % zones < planners { at % zones } else { (at / zones) % planners },
            )
        })
        .collect();
    let mut run = Run::begin(Plan { site, servers, proxies });
    run.world.sleep(20.0);
    let u = |run: &mut Run, a: f64, b: f64| a + (b - a) * run.rng.unit();
    match kind {
        "deploy" => {
            let length = u(&mut run, 21.0, 30.0);
            let begun = run.world.now();
            let batch = (count as f64 * 0.18) as usize;
            for at in 0..count {
                run.world.sleep_until(begun + (at / batch) as f64 * length / (count as f64 / batch as f64));
                let add = u(&mut run, 0.44, 2.1);
                run.start_successor(format!("n-{at:02}"), at, add);
                run.drain(at, 3.0);
                let gap = u(&mut run, 0.0, 0.5);
                run.world.sleep(gap);
            }
        }
        "join" => {
            let begun = run.world.now();
            for at in 0..count * 6 / 10 {
                run.world.sleep_until(begun + 7.0 * at as f64 / (count as f64 * 0.6));
                let add = u(&mut run, 0.2, 1.4);
                run.start_successor(format!("n-{at:02}"), at, add);
                run.drain(at, 3.0);
            }
        }
        "kill" => run.restart_planner(0, "-KILL", 2.0),
        "term" => {
            for at in 0..planners {
                run.restart_planner(at, "-TERM", 1.0);
                run.world.sleep(4.0);
            }
        }
        "reconnect" => {
            for _ in 0..3 {
                for at in 0..n {
                    if run.rng.unit() < 0.7 {
                        run.fleet.reset(at);
                    }
                }
                run.world.sleep(4.0);
            }
        }
        "silent" => {
            for at in 0..n {
                if at % zones == 0 {
                    run.fleet.proxies[at].silent.store(true, std::sync::atomic::Ordering::Relaxed);
                }
            }
            run.drain(1, 4.0);
            run.drain(2, 4.0);
            run.world.sleep(8.0);
            for at in 0..n {
                run.fleet.proxies[at].silent.store(false, std::sync::atomic::Ordering::Relaxed);
            }
        }
        "spoilt" | "spoiltjoin" => {
            for p in &run.fleet.proxies {
                p.spoilt.store(40, std::sync::atomic::Ordering::Relaxed);
            }
            let begun = run.world.now();
            for at in 0..count * 6 / 10 {
                run.world.sleep_until(begun + 1.9 * at as f64);
                let add = u(&mut run, 0.2, 1.4);
                run.start_successor(format!("n-{at:02}"), at, add);
                run.drain(at, 3.0);
            }
        }
        "zone" | "zonekill" => {
            let lost: Vec<usize> = (0..count).filter(|at| at % zones == zones - 1).collect();
            for at in &lost {
                stop_server(&run.world, *at);
            }
            for at in &lost {
                let d = u(&mut run, 0.0, 0.6);
                run.world.sleep(d);
                run.world.list_change(*at, State::Gone);
            }
            if kind == "zonekill" {
                run.restart_planner(planners - 1, "-KILL", 5.0);
            }
            run.world.sleep(8.0);
            for at in &lost {
                start_server(&run.world, *at, true);
                let d = u(&mut run, 0.1, 0.8);
                run.world.sleep(d);
                run.world.list_change(*at, State::Ready);
            }
        }
        "bounce" => {
            // Servers crash and come back at once, cold, under their names; the list shows only the new start.
            for at in 0..count / 3 {
                stop_server(&run.world, at);
                run.world.sleep(0.4);
                start_server(&run.world, at, true);
                run.world.sleep(0.6);
                run.world.list_change(at, State::Ready);
                run.world.sleep(1.0);
            }
        }
        _ => {}
    }
    run.world.sleep(20.0);
    run.finish()
}
