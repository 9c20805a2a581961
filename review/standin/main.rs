//! Stand-ins of the review: the platform's servers, discovery, collectors and proxies around real planner processes.
//!
//!     standin CASE ROOT RECORD        (TROUBLE=0 leaves the disruption out)
//!
//! The cases of the review are `cut`, `zone` and `answers`. `messages`, `herd` and `search` are what the report names
//! beside them; their figures come from the environment.
//!
//! Exit status: 1 a rule was broken, 0 it held, 2 the case could not run.

mod engine;
mod resp;
mod search;
mod world;

use engine::{Class, Day, Engine, Spoilt};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Instant;
use world::{List, World};

fn class(name: &'static str, share: f64, own_zone: bool) -> Class {
    Class { name, share, own_zone }
}

/// What differs between the settings of two deployments.
struct Figures {
    planners: usize,
    proxies: usize,
    zones: Vec<&'static str>,
    classes: Vec<Class>,
    profiles: &'static str,
    grace: f64,
    cold_from: f64,
    cold: f64,
    fall: f64,
    overload: f64,
    crossing: f64,
    feedback: &'static str,
    lines_per_s: f64,
    head: f64,
    pending: f64,
    late: f64,
    messages: usize,
    ejects: u32,
    standing: u32,
    throttle: &'static str,
    picks: &'static str,
    report_every: f64,
    retry: u32,
    intake: f64,
    connections: f64,
    by_zone: bool,
}

fn ns(seconds: f64) -> String {
    format!("{}", (seconds * 1e9).round() as u64)
}

fn day(figures: Figures) -> Day {
    let f = figures;
    let zones = f.zones.iter().map(|zone| format!("\"{zone}\"")).collect::<Vec<_>>().join(",");
    let bound = f.classes.iter().map(|class| class.own_zone.to_string()).collect::<Vec<_>>().join(",");
    let longest = 2.5 * f.late;
    let empty_for = 2.9;
    let settings = format!(
        r#"{{"Az":"@AZ@","Balancers":{},"Contract":{{"AskWithinNs":10000000000,"ColdFrom":{},"ColdNs":{},"DrainGraceNs":{},"FallNs":{},"OverloadFactor":{}}},
"Deductions":{{"Connection":0.02,"CrossZone":{},"Discovery":0.0,"Handshake":0.04,"LateFail":0.03,"Moves":0.0,"Peer":0.0,"Probe":0.02,"Waste":0.08}},
"Discovery":"pushed","FamilyInfo":{{"BaseMode":{},"ByZone":{},"ClassWrites":[false,false,true],"CostPerLine":0.02,"DataPlaneSize":{},"EgressPerS":{},"EmptyForNs":{},"Exclusive":false,"FailsToEject":{},"FirstWait":1.2,"HandoverFee":0.01,"Head":{},"InitialSet":{},"IntakePerS":{},"KeepsWritingNs":2500000000,"LateNs":{},"LingersNs":1520000000,"ParkNs":300000000,"PartitionsN":0,"PendingMax":{},"ReloadSpanNs":10000000000,"ReloadsMax":{},"ReportEveryNs":{},"SelectsBy":"{}","SmallestConnTable":{},"ThrottleBy":"{}","TransitMaxNs":{},"WarmKeys":false,"ZoneBound":[{bound}]}},
"Feedback":{{"How":"{}","Names":["cpu","active","avg_ms"]}},"KindOfService":"control","Me":"@ME@","Models":["m"],
"Permissions":{{"ConnectTimeoutNs":250000000,"CpuUsPerS":250000,"KeepaliveNs":15000000000,"PeerMessages":false,"Probes":true,"StreamsPerConn":32}},
"Profiles":{},"RoundNs":4000000,"ScoringMix":{{"Whole":0.7,"WorstClass":0.1,"WorstTenant":0.0,"WorstWindow":0.2}},"ValueBy":"request","WeightSource":"rough","Zones":[{zones}]}}"#,
        f.planners,
        f.cold_from,
        ns(f.cold),
        ns(f.grace),
        ns(f.fall),
        f.overload,
        f.crossing,
        f.retry,
        f.by_zone,
        f.proxies,
        f.lines_per_s,
        ns(empty_for),
        f.ejects,
        f.head,
        f.standing,
        f.intake,
        ns(f.late),
        f.pending,
        f.messages,
        ns(f.report_every),
        f.picks,
        f.connections,
        f.throttle,
        ns(longest),
        f.feedback,
        f.profiles,
    );
    Day {
        settings: settings.replace('\n', ""),
        zones: f.zones,
        classes: f.classes,
        drain_grace: f.grace,
        empty_for,
        cold: f.cold,
        pending_most: f.pending,
        lines_per_s: f.lines_per_s,
        head: f.head,
        late: (f.late, longest),
        messages: (f.messages, 10.0),
        report_every: f.report_every,
        report_late: 0.5,
        shun: (f.ejects, 5.0),
        memory_mb: 192,
        sockets: 1024,
    }
}

const KIGALI_PROFILES: &str = r#"[{"Credit":2.0,"DeadlineNs":2500000000,"KeyScope":"all","LateWorth":0.2,"Name":"item-view","Semantics":"free","SloNs":1000000000,"WindowNs":5000000000},{"Credit":3.0,"DeadlineNs":3000000000,"KeyScope":"all","LateWorth":0.1,"Name":"stock-set","Semantics":"free","SloNs":1000000000,"WindowNs":5000000000},{"Credit":2.0,"DeadlineNs":1500000000,"KeyScope":"all","LateWorth":0.2,"Name":"sale-record","Semantics":"single_shot","SloNs":600000000,"WindowNs":5000000000}]"#;
const REGINA_PROFILES: &str = r#"[{"Credit":1.0,"DeadlineNs":2000000000,"KeyScope":"all","LateWorth":0.1,"Name":"image-fetch","Semantics":"free","SloNs":600000000,"WindowNs":5000000000},{"Credit":1.0,"DeadlineNs":2500000000,"KeyScope":"all","LateWorth":0.2,"Name":"cutout","Semantics":"free","SloNs":1000000000,"WindowNs":5000000000},{"Credit":3.0,"DeadlineNs":2000000000,"KeyScope":"all","LateWorth":0.1,"Name":"reserve","Semantics":"single_shot","SloNs":600000000,"WindowNs":5000000000}]"#;

fn kigali(proxies: usize, bound: [bool; 3]) -> Figures {
    Figures {
        planners: 2,
        proxies,
        zones: vec!["gikondo", "kacyiru", "remera"],
        classes: vec![
            class("item-view", 0.65, bound[0]),
            class("stock-set", 0.24, bound[1]),
            class("sale-record", 0.11, bound[2]),
        ],
        profiles: KIGALI_PROFILES,
        grace: 2.0,
        cold_from: 0.15,
        cold: 17.0,
        fall: 3.0,
        overload: 3.0,
        crossing: 0.08,
        feedback: "inline",
        lines_per_s: 2200.0,
        head: 3.0,
        pending: 4400.0,
        late: 0.2,
        messages: 0,
        ejects: 5,
        standing: 5,
        throttle: "off",
        picks: "rotate",
        report_every: 2.0,
        retry: 1,
        intake: 150.0,
        connections: 233.0,
        by_zone: true,
    }
}

fn regina(planners: usize, proxies: usize) -> Figures {
    Figures {
        planners,
        proxies,
        zones: vec!["regina", "moose-jaw", "swift-current"],
        classes: vec![
            class("image-fetch", 0.49, false),
            class("cutout", 0.36, false),
            class("reserve", 0.15, false),
        ],
        profiles: REGINA_PROFILES,
        grace: 3.0,
        cold_from: 0.29,
        cold: 18.0,
        fall: 3.0,
        overload: 4.0,
        crossing: 0.01,
        feedback: "on_probe",
        lines_per_s: 5000.0,
        head: 4.0,
        pending: 5000.0,
        late: 0.08,
        messages: 12,
        ejects: 0,
        standing: 10,
        throttle: "per_second",
        picks: "rotate",
        report_every: 2.0,
        retry: 1,
        intake: 400.0,
        connections: 100.0,
        by_zone: true,
    }
}

struct Case {
    engine: Engine,
    world: Arc<World>,
    trouble: bool,
}

impl Case {
    /// Lists `count` warm servers, spread evenly over the zones.
    fn servers(&self, count: usize) -> Vec<usize> {
        let zones = &self.engine.day.zones;
        let all: Vec<usize> = (0..count)
            .map(|at| self.world.boot(&format!("s-{at:08x}"), zones[at % zones.len()], false))
            .collect();
        self.world.set_state(&all, "Ready");
        all
    }

    fn standing(&self, zone: usize, most: usize) -> Vec<usize> {
        let list = self.world.list.lock().unwrap();
        let own = list.servers.iter().enumerate().filter(|(_, s)| s.zone == self.engine.day.zones[zone]);
        own.map(|own| own.0).take(most).collect()
    }
}

fn run(name: &str, case: &mut Case) -> Result<(), String> {
    match name {
        "zone" => zone(case),
        "messages" => messages(case),
        "answers" => answers(case),
        "cut" => cut(case),
        "herd" => herd(case),
        "search" => search::run(case),
        _ => Err(format!("no case {name}")),
    }
}

/// All servers of one data centre are lost for 15 s, under a class that stays within its zone.
fn zone(case: &mut Case) -> Result<(), String> {
    let servers = case.servers(18);
    for planner in 0..2 {
        case.engine.start_planner(planner, planner)?;
    }
    for number in 0..9 {
        let zone = number % 3;
        let standing = case.standing(zone, 5);
        case.engine.add_proxy(zone, 5.0, zone.min(1), &standing);
    }
    let start = case.engine.now();
    case.engine.run_until(start + 12.0);
    let lost: Vec<usize> = servers.into_iter().filter(|at| at % 3 == 1).collect();
    if case.trouble {
        case.world.note("the servers of kacyiru are lost".into());
        lost.iter().for_each(|at| case.world.kill_server(*at));
    }
    case.engine.run_until(start + 14.0);
    if case.trouble {
        case.world.set_state(&lost, "Gone");
    }
    case.engine.run_until(start + 27.0);
    if case.trouble {
        lost.iter().for_each(|at| case.world.reboot(*at));
        case.world.set_state(&lost, "Ready");
    }
    case.engine.run_until(start + 35.0);
    Ok(())
}

/// Six in ten servers are replaced within 7 s, in two steps, and one answer to a mark arrives spoilt.
fn messages(case: &mut Case) -> Result<(), String> {
    let servers = case.servers(18);
    case.engine.start_planner(0, 0)?;
    let standing = case.standing(0, 6);
    case.engine.add_proxy(0, 12.0, 0, &standing);
    let start = case.engine.now();
    case.engine.run_until(start + 25.0);
    let begin = case.engine.now();
    // When each of 11 servers begins to drain; its successor is listed 0.2 s later, and it is gone 4.8 s later.
    let drains = (0..11).map(|k| if k < 6 { 0.2 * k as f64 } else { [5.2, 5.5, 5.9, 6.3, 6.7][k - 6] });
    let mut events: Vec<(f64, usize, &str)> = vec![(0.999, 0, "spoil")];
    for (k, at) in drains.enumerate() {
        events.extend([(at, k, "drain"), (at + 0.2, k, "next"), (at + 4.8, k, "gone")]);
    }
    events.sort_by(|a, b| a.0.total_cmp(&b.0));
    for (at, k, what) in events {
        case.engine.run_until(begin + at);
        match what {
            "drain" => case.world.set_state(&[servers[k]], "Terminating"),
            "gone" => case.world.set_state(&[servers[k]], "Gone"),
            "next" => {
                let next =
                    case.world.boot(&format!("s-{:08x}", 0x1000 + k), case.engine.day.zones[k % 3], true);
                case.world.set_state(&[next], "Ready");
            }
            // The answer to the proxy's next message, and no other.
            _ if case.trouble => {
                let proxy = &mut case.engine.proxies[0];
                proxy.spoil_number = Some((proxy.messages.len() as u32 + 1, Spoilt::MissingField));
            }
            _ => {}
        }
    }
    case.engine.run_until(begin + 15.0);
    Ok(())
}

/// Two answers of one proxy in a row arrive spoilt; then servers drain. Usage arrives through the collectors.
fn answers(case: &mut Case) -> Result<(), String> {
    let servers = case.servers(18);
    case.engine.rates_by_collector = true;
    for planner in 0..2 {
        case.engine.start_planner(planner, planner)?;
    }
    for number in 0..9 {
        let zone = number % 3;
        let standing = case.standing(zone, 5);
        case.engine.add_proxy(zone, 15.0, zone.min(1), &standing);
    }
    let start = case.engine.now();
    case.engine.run_until(start + 20.0);
    if case.trouble {
        case.engine.proxies[0].spoil.extend([Spoilt::UnknownMark; 2]);
    }
    // The servers of the proxy's own zone, one after the other.
    for (server, at) in [(0, 20.0), (3, 22.0), (6, 30.0), (9, 32.0)] {
        case.engine.run_until(start + at);
        case.world.set_state(&servers[server..=server], "Terminating");
    }
    case.engine.run_until(start + 40.0);
    Ok(())
}

/// The planner's zone is cut off from the others for 6.5 s in a rolling deploy, with all proxies at this planner.
fn cut(case: &mut Case) -> Result<(), String> {
    let (count, proxies) = (number("SERVERS", 30.0) as usize, number("PROXIES", 150.0) as usize);
    for _ in 0..number("SEED", 1.0) as usize * 7 {
        case.engine.chance();
    }
    let servers = case.servers(count);
    case.engine.start_planner(0, 0)?;
    for at in 0..proxies {
        let standing = case.standing(at % 3, 5);
        // A few carry far more than the rest; 270 calls a second in all.
        let rate = 270.0 / proxies as f64 * (0.2 + 3.2 * case.engine.chance().powi(3));
        case.engine.add_proxy(at % 3, rate, 0, &standing);
    }
    let start = case.engine.now();
    // The whole fleet is replaced within 24 s, 18% at a time.
    let batch = (count as f64 * 0.18) as usize;
    let batches = count.div_ceil(batch) as f64;
    let mut events: Vec<(f64, usize, &str)> = Vec::new();
    for k in 0..count {
        let at = 12.0 + 24.0 * (k / batch) as f64 / batches + case.engine.chance();
        events.extend([
            (at, k, "drain"),
            (at + 0.5 + 1.6 * case.engine.chance(), k, "next"),
            (at + 4.0, k, "gone"),
        ]);
    }
    let begin = number("WHEN", 18.0);
    if case.trouble {
        events.extend([(begin, 0, "cut"), (begin + number("CUT", 6.5), 0, "heal")]);
    }
    events.sort_by(|a, b| a.0.total_cmp(&b.0));
    for (at, k, what) in events {
        case.engine.run_until(start + at);
        match what {
            "drain" => case.world.set_state(&[servers[k]], "Terminating"),
            "gone" => case.world.set_state(&[servers[k]], "Gone"),
            "cut" => case.engine.cut_zone(0, number("CUT", 6.5), 0),
            "heal" => case.engine.heal(),
            _ => {
                let next =
                    case.world.boot(&format!("s-{:08x}", 0x1000 + k), case.engine.day.zones[k % 3], true);
                case.world.set_state(&[next], "Ready");
            }
        }
    }
    case.engine.run_until(start + 46.0);
    Ok(())
}

/// A release, and all planners but one are killed at once: their proxies come to the last one while servers drain.
fn herd(case: &mut Case) -> Result<(), String> {
    let (count, proxies) = (number("SERVERS", 100.0) as usize, number("PROXIES", 240.0) as usize);
    let planners = case.engine.planners.len();
    for _ in 0..number("SEED", 1.0) as usize * 7 {
        case.engine.chance();
    }
    let servers = case.servers(count);
    for planner in 0..planners {
        case.engine.start_planner(planner, planner % 3)?;
    }
    for at in 0..proxies {
        let standing = case.standing(at % 3, 5);
        let homes: Vec<usize> = (0..planners).filter(|planner| planner % 3 == at % 3).collect();
        let home = if homes.is_empty() { at / 3 % planners } else { homes[at / 3 % homes.len()] };
        let rate = number("CALLS", 500.0) / proxies as f64 * (0.2 + 3.2 * case.engine.chance().powi(3));
        case.engine.add_proxy(at % 3, rate, home, &standing);
    }
    let start = case.engine.now();
    let kill = number("WHEN", 16.0);
    let (part, every) = (number("PART", 0.18), number("EVERY", 4.0));
    let batch = (count as f64 * part) as usize;
    let batches = (number("BATCHES", 3.0) as usize).min(count / batch);
    let mut events: Vec<(f64, usize, &str)> = Vec::new();
    for k in 0..batch * batches {
        let at = kill
            + number("FIRST", 0.6)
            + every * (k / batch) as f64
            + number("SPREAD", 0.0) * case.engine.chance();
        events.extend([
            (at, k, "drain"),
            (at + 0.44 + 1.2 * case.engine.chance(), k, "next"),
            (at + 4.0, k, "gone"),
        ]);
    }
    if case.trouble {
        events.push((kill, 0, "kill"));
    }
    events.sort_by(|a, b| a.0.total_cmp(&b.0));
    for (at, k, what) in events {
        case.engine.run_until(start + at);
        match what {
            "drain" => case.world.set_state(&[servers[k]], "Terminating"),
            "gone" => case.world.set_state(&[servers[k]], "Gone"),
            "kill" => {
                let killed = number("KILL", 3.0) as usize;
                (1..=killed).for_each(|planner| case.engine.kill_planner(planner));
                for at in 0..proxies {
                    let wait = 0.27 + number("DIAL", 1.63) * case.engine.chance();
                    if (1..=killed).contains(&case.engine.proxies[at].planner) {
                        case.engine.break_stream(at, wait, "its planner died");
                        case.engine.proxies[at].planner = 0;
                    }
                }
            }
            _ => {
                let next =
                    case.world.boot(&format!("s-{:08x}", 0x1000 + k), case.engine.day.zones[k % 3], true);
                case.world.set_state(&[next], "Ready");
            }
        }
    }
    case.engine.run_until(start + kill + 20.0);
    Ok(())
}

/// A figure from the environment, for trying others than the case's own.
fn number(name: &str, or: f64) -> f64 {
    std::env::var(name).ok().and_then(|value| value.parse().ok()).unwrap_or(or)
}

/// The run command of the deploy file.
fn run_command(root: &str) -> Result<String, String> {
    let text = std::fs::read_to_string(format!("{root}/deploy/balancer.toml")).map_err(|e| e.to_string())?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = \"")).ok_or("no run command")?;
    Ok(line.split('"').next().unwrap_or("").to_string())
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    if args.len() < 4 {
        eprintln!("standin CASE ROOT RECORD");
        std::process::exit(2);
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = std::env::temp_dir().join(format!("review-{}-{}", args[1], std::process::id()));
    let folder_name = folder.to_string_lossy().into_owned();
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let world = Arc::new(World {
        start: Instant::now(),
        list: Mutex::new(List::default()),
        changed: Condvar::new(),
        end: false.into(),
    });
    let (figures, planners) = match args[1].as_str() {
        "zone" => {
            (kigali(9, [false, false, std::env::var("OWN_ZONE").map_or(true, |value| value != "0")]), 2)
        }
        "messages" => (regina(6, 9), 1),
        "cut" => {
            let proxies = number("PROXIES", 150.0) as usize;
            let lines_per_s = number("LINES", 2000.0);
            let pending = number("PENDING", 2.0 * lines_per_s);
            (Figures { late: number("LATE", 0.32), lines_per_s, pending, ..kigali(proxies, [false; 3]) }, 1)
        }
        "herd" => {
            let (planners, proxies) = (number("PLANNERS", 5.0) as usize, number("PROXIES", 240.0) as usize);
            let lines_per_s = number("LINES", 2200.0);
            let (pending, late) = (number("PENDING", 2.0 * lines_per_s), number("LATE", 0.2));
            (Figures { planners, late, lines_per_s, pending, ..kigali(proxies, [false; 3]) }, planners)
        }
        "search" => search::figures(),
        _ => (kigali(9, [false; 3]), 2),
    };
    let run_line = run_command(&args[2]).unwrap_or_else(|why| {
        eprintln!("{why}");
        std::process::exit(2)
    });
    let engine = Engine::new(world.clone(), day(figures), planners, &folder_name, &args[2], &run_line);
    let mut case = Case { engine, world: world.clone(), trouble };
    let result = run(&args[1], &mut case);
    case.engine.end();
    let engine = &case.engine;
    let calls = engine.calls.len();
    let sum = format!(
        "{} calls sent by joined proxies, {} refused for lack of a line, {} failed; channel peaks {:?} of {}; {} streams ended by planners; {} findings",
        calls,
        engine.refused,
        engine.failed,
        engine.planners.iter().map(|planner| planner.peak).collect::<Vec<_>>(),
        engine.day.pending_most,
        engine.resets,
        engine.broken.len()
    );
    let mut record = std::mem::take(&mut world.list.lock().unwrap().record);
    let servers = world.list.lock().unwrap().servers.clone();
    for call in &engine.calls {
        let class = engine.day.classes[call.class].name;
        record.push((call.at, format!("proxy {} sends {class} to {}", call.proxy, servers[call.server].uid)));
    }
    record.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut text: Vec<String> = record.iter().map(|(at, what)| format!("{at:.3} {what}")).collect();
    for planner in &engine.planners {
        let log = std::fs::read_to_string(format!("{folder_name}/{}.log", planner.name)).unwrap_or_default();
        text.push(format!("-- the log of {}", planner.name));
        text.extend(log.lines().map(str::to_string));
    }
    text.push("-- findings".into());
    text.extend(engine.broken.iter().cloned());
    text.push(sum.clone());
    let written = std::fs::write(&args[3], text.join("\n") + "\n");
    let _ = std::fs::remove_dir_all(&folder);
    engine.broken.iter().take(12).for_each(|finding| println!("{finding}"));
    println!("{sum}");
    let code = match (result, written) {
        (Err(why), _) => {
            println!("could not run: {why}");
            2
        }
        (_, Err(why)) => {
            println!("no record: {why}");
            2
        }
        _ if engine.broken.is_empty() => 0,
        _ => 1,
    };
    std::process::exit(code);
}
