//! Long measurements, run as commands of the program.

use crate::bell::{Bell, Rung};
use crate::list::List;
use hdrhistogram::Histogram;
use pewtergap_node::{Effect, Input, Node, Outbox};
use pewtergap_protocol::{up, Frames, Up};
use pewtergap_proxy::{Front, Home, Proxy, Route, Shunning};
use pewtergap_reactor::{Clock, Reactor};
use pewtergap_time::{Moment, Span};
use serde::Serialize;
use std::any::Any;
use std::collections::BTreeSet;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

/// From a list change to the proxies' ACKs, by number of proxies.
#[derive(Clone, Debug, Serialize)]
pub struct OrderToEffect {
    pub proxies: usize,
    pub rounds: usize,
    /// Until the last proxy's ACK, over the rounds, in milliseconds.
    pub last_p50_ms: f64,
    pub last_worst_ms: f64,
    /// Until each proxy's ACK.
    pub each_p50_ms: f64,
    pub each_p99_ms: f64,
    /// From the first hello until all proxies had their first table.
    pub join_all_ms: f64,
    /// What the planner's channel alone takes at its stated pace.
    pub pace_ms: f64,
    pub planner_cpu_ms_a_round: f64,
    pub planner_kib_a_stream: f64,
}

const SERVERS: usize = 20;
const ZONES: [&str; 2] = ["north", "south"];
const LINES_PER_S: f64 = 100_000.0;
const CEILING: Duration = Duration::from_secs(60);
/// Between rounds, so that what a round stirred up has come to rest.
const REST: Duration = Duration::from_millis(1_500);

/// A proxy that tells when it has answered a message.
struct Tap {
    inner: Proxy,
    name: String,
    bell: Bell,
}

impl Node for Tap {
    fn handle(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) {
        let before = out.effects.len();
        self.inner.handle(now, input, out);
        for effect in &out.effects[before..] {
            let Effect::Send { bytes, .. } = effect else { continue };
            let mut frames = Frames::<Up>::default();
            frames.push(bytes);
            if let Ok(Some(Up { kind: Some(up::Kind::Ack(_)) })) = frames.take() {
                self.bell.ring(Rung::Acked(self.name.clone(), now));
            }
        }
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}

struct Planner(Child);

impl Drop for Planner {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Planner {
    /// Time of a processor so far, and memory in use, as the system counts them.
    fn used(&self) -> (f64, f64) {
        let read =
            |name: &str| std::fs::read_to_string(format!("/proc/{}/{name}", self.0.id())).unwrap_or_default();
        let stat = read("stat");
        let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or("").split_whitespace().collect();
        let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
        let status = read("status");
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0.0);
        // Clock ticks are hundredths of a second on Linux.
        ((ticks(11) + ticks(12)) * 10.0, kib)
    }
}

fn hear(rungs: &Receiver<Rung>, what: &str, mut done: impl FnMut(Rung) -> bool) -> Result<(), String> {
    let until = Instant::now() + CEILING;
    loop {
        match rungs.recv_timeout(until.saturating_duration_since(Instant::now())) {
            Ok(Rung::Failed(why)) => return Err(why),
            Ok(rung) if done(rung.clone()) => return Ok(()),
            Ok(_) => {}
            Err(_) => return Err(format!("waited {} s for {what}", CEILING.as_secs())),
        }
    }
}

fn planner_text(list: SocketAddr, proxies: usize, dir: &Path) -> String {
    format!(
        "service(name = \"measured\", zones = [\"north\", \"south\"], listen = \"127.0.0.1:0\",\n    \
         list = list_watch(address = \"{list}\"), state_dir = \"{}\", seed = 1,\n    \
         routes = [route(\"search\", slo_time = \"500ms\", time_limit = \"2s\", repeats = \"repeatable\")],\n    \
         fleet = fleet(proxies = {proxies}, crossing_price = 0.05), probes = probes(on = False),\n    \
         channel = channel(lines_per_s = {LINES_PER_S}, most_waiting = {}),\n    \
         rules = rules(drain_grace = \"5s\", cold_for = \"2s\"), reports = reports(every = \"2s\"))\n",
        dir.display(),
        proxies * 200 + 1_000,
    )
}

pub fn order_to_effect(
    program: &Path,
    dir: &Path,
    proxies: usize,
    rounds: usize,
) -> Result<OrderToEffect, String> {
    let told = |e: std::io::Error| e.to_string();
    std::fs::create_dir_all(dir).map_err(told)?;
    let kept = dir.join("measured.list.json");
    if kept.exists() {
        std::fs::remove_file(kept).map_err(told)?;
    }
    let (bell, rungs) = Bell::new();
    let clock = Clock::default();
    // The list has a reactor of its own: proxies that are many would delay its word.
    let mut reactor = Reactor::new(clock, 8 << 20, dir.into()).map_err(told)?;
    let lists = reactor.handle();
    let list = reactor.add(Box::new(List::new(bell.clone())));
    let list_thread = std::thread::spawn(move || reactor.run().is_ok());
    let mut at = None;
    hear(&rungs, "the list to listen", |rung| {
        if let Rung::Listens(_, address) = rung {
            at = Some(address);
        }
        at.is_some()
    })?;
    let list_at = at.ok_or("the list does not listen")?;
    let server = |nth: usize| format!("127.0.50.{}:9", nth + 1);
    let put = |nth: usize| lists.tell(list, format!("put {} {} running 1 0", server(nth), ZONES[nth % 2]));
    for nth in 0..SERVERS {
        put(nth);
    }

    let file = dir.join("measured.star");
    std::fs::write(&file, planner_text(list_at, proxies, dir)).map_err(told)?;
    let log = File::create(dir.join("measured.log")).map_err(told)?;
    let mut child = Command::new(program)
        .args(["--log", "warn", "run", "--announce"])
        .arg(&file)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(log)
        .spawn()
        .map_err(told)?;
    let mut line = String::new();
    if let Some(out) = child.stdout.take() {
        BufReader::new(out).read_line(&mut line).map_err(told)?;
    }
    let planner = Planner(child);
    let planner_at: SocketAddr = line
        .split_whitespace()
        .last()
        .and_then(|at| at.parse().ok())
        .ok_or("the planner did not start, see its log")?;
    let (_, empty_kib) = planner.used();

    let mut reactor = Reactor::new(clock, 8 << 20, dir.into()).map_err(told)?;
    let fleet = reactor.handle();
    for nth in 0..proxies {
        let name = format!("p{nth}");
        let home = Home {
            name: name.clone(),
            zone: ZONES[nth % 2].into(),
            planners: vec![planner_at],
            calls_per_s: 100.0,
        };
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let front = Front { listen, from: None, most_calls: 10, keep_alive: Span::millis(1_000) };
        let route =
            Route { name: "search".into(), time_limit: Span::millis(2_000), mutating: false, resend: 0 };
        let shunning = Shunning { after: 0, rest: Span(0) };
        let inner = Proxy::new(home, front, vec![route], shunning, &[], nth as u64);
        reactor.add(Box::new(Tap { inner, name, bell: bell.clone() }));
    }
    let began = clock.now();
    let fleet_thread = std::thread::spawn(move || reactor.run().is_ok());
    let mut last = began;
    let mut all_acked =
        |what: &str, since: Moment, mut each: Option<&mut Histogram<u64>>| -> Result<Span, String> {
            let mut acked: BTreeSet<String> = BTreeSet::new();
            hear(&rungs, what, |rung| {
                if let Rung::Acked(name, at) = rung {
                    if at >= since && acked.insert(name) {
                        last = at;
                        if let Some(each) = each.as_mut() {
                            let _ = each.record(at.since(since).0 / 1_000);
                        }
                    }
                }
                acked.len() == proxies
            })?;
            Ok(last.since(since))
        };
    let joined = all_acked("all proxies to be bound", began, None)?;
    std::thread::sleep(REST);
    let (_, full_kib) = planner.used();
    let no = |e: hdrhistogram::CreationError| e.to_string();
    let (mut lasts, mut each) =
        (Histogram::<u64>::new(3).map_err(no)?, Histogram::<u64>::new(3).map_err(no)?);
    let (mut cpu, mut worst) = (0.0, Span(0));
    for round in 0..rounds {
        let nth = round % SERVERS;
        let (before, _) = planner.used();
        let from = clock.now();
        lists.tell(list, format!("state {} {} stopping", server(nth), ZONES[nth % 2]));
        let took = all_acked("all proxies to follow a removal", from, Some(&mut each))?;
        cpu += planner.used().0 - before;
        let _ = lasts.record(took.0 / 1_000);
        worst = worst.max(took);
        put(nth);
        std::thread::sleep(REST);
    }
    fleet.end();
    lists.end();
    drop(planner);
    let _ = (fleet_thread.join(), list_thread.join());
    Ok(OrderToEffect {
        proxies,
        rounds,
        last_p50_ms: lasts.value_at_quantile(0.5) as f64 / 1e3,
        last_worst_ms: worst.seconds() * 1e3,
        each_p50_ms: each.value_at_quantile(0.5) as f64 / 1e3,
        each_p99_ms: each.value_at_quantile(0.99) as f64 / 1e3,
        join_all_ms: joined.seconds() * 1e3,
        pace_ms: proxies as f64 * 5.0 / LINES_PER_S * 1e3,
        planner_cpu_ms_a_round: cpu / rounds.max(1) as f64,
        planner_kib_a_stream: (full_kib - empty_kib) / proxies as f64,
    })
}
