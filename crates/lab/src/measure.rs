//! Long measurements, run as commands of the program.

use crate::ask::call;
use crate::bell::{Bell, Rung};
use crate::cluster::links::{Links, Sightings};
use crate::list::List;
use crate::process::Process;
use hdrhistogram::Histogram;
use pewtergap_node::{Effect, Input, Node, Outbox};
use pewtergap_protocol::{proxy_message, FrameReader, ProxyMessage};
use pewtergap_proxy::{EjectionConfig, FrontConfig, Proxy, ProxyConfig, Route};
use pewtergap_reactor::{Clock, Reactor};
use pewtergap_time::{Moment, Span};
use serde::Serialize;
use std::any::Any;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::path::Path;
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
            let mut frames = FrameReader::<ProxyMessage>::default();
            frames.push(bytes);
            if let Ok(Some(ProxyMessage { kind: Some(proxy_message::Kind::Ack(_)) })) = frames.next_message()
            {
                self.bell.ring(Rung::Acked(self.name.clone(), now));
            }
        }
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}

/// Members beside the measured planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Others {
    /// It keeps its record alone.
    None,
    /// Two more, and all hear each other.
    Whole,
    /// Two more, and nobody hears anybody.
    Cut,
}

const OTHERS: usize = 2;

fn other_name(at: usize) -> String {
    format!("other-{at}")
}

fn other_text(name: &str, dir: &Path, cluster: &str) -> String {
    let home = dir.join(name);
    format!(
        "service(name = \"{name}\", {cluster} zones = [\"north\"], listen = \"127.0.0.1:0\", admin = \"127.0.0.1:0\",\n    \
         list = list_file(\"servers.json\"), state_dir = \"{}\",\n    \
         routes = [route(\"search\", slo_time = \"500ms\", time_limit = \"2s\", repeats = \"repeatable\")],\n    \
         fleet = fleet(proxies = 4), channel = channel(lines_per_s = 1000, most_waiting = 1000),\n    \
         rules = rules(drain_grace = \"5s\", cold_for = \"2s\"))\n",
        home.display()
    )
}

/// Starts a planner, until it listens for proxies; its doors by name.
fn start(
    program: &Path,
    dir: &Path,
    name: &str,
    text: &str,
) -> Result<(Process, HashMap<String, SocketAddr>), String> {
    let told = |e: std::io::Error| format!("{name}: {e}");
    let home = dir.join(name);
    if name != "measured" {
        let _ = std::fs::remove_dir_all(&home);
        std::fs::create_dir_all(&home).map_err(told)?;
        std::fs::write(home.join("servers.json"), "").map_err(told)?;
    }
    // The last door that opens; with others it waits for its number, so they all have to be started first.
    let last = if text.contains("admin =") { "admin" } else { "proxies" };
    let last = if name == "measured" { last } else { "members" };
    Process::start(program, dir, "run", name, text, &[last])
}

/// Until the planner at this admin door and the others agree.
fn whole(admin: SocketAddr) -> Result<(), String> {
    let until = Instant::now() + CEILING;
    while !call(admin, "GET", "/record", None).is_ok_and(|(_, text)| text.contains("\"fresh\":true")) {
        if Instant::now() > until {
            return Err("the members do not agree".into());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Ok(())
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

fn planner_text(list: SocketAddr, proxies: usize, dir: &Path, cluster: &str) -> String {
    format!(
        "service(name = \"measured\", {cluster} zones = [\"north\", \"south\"], listen = \"127.0.0.1:0\",\n    \
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
    others: Others,
) -> Result<OrderToEffect, String> {
    let told = |e: std::io::Error| e.to_string();
    std::fs::create_dir_all(dir).map_err(told)?;
    for kept in ["measured.list.json", "measured.record"].map(|kept| dir.join(kept)) {
        if kept.exists() {
            std::fs::remove_file(kept).map_err(told)?;
        }
    }
    let (bell, rungs) = Bell::new();
    let clock = Clock::default();
    // The list has a reactor of its own: proxies that are many would delay its word.
    let mut reactor = Reactor::new(clock, 8 << 20, dir.into()).map_err(told)?;
    let lists = reactor.handle();
    let list = reactor.add(Box::new(List::new(bell.clone())));
    let links = Links::new(1 + OTHERS, bell.clone(), Sightings::default());
    let links = (others != Others::None).then(|| reactor.add(Box::new(links)));
    let list_thread = std::thread::spawn(move || reactor.run().is_ok());
    let wanted = 1 + if links.is_some() { (1 + OTHERS) * (1 + OTHERS) } else { 0 };
    let mut listens = HashMap::new();
    hear(&rungs, "the list to listen", |rung| {
        if let Rung::Listens(name, address) = rung {
            listens.insert(name, address);
        }
        listens.len() == wanted
    })?;
    let list_at = listens["list"];
    let server = |nth: usize| format!("127.0.50.{}:9", nth + 1);
    let put =
        |nth: usize| lists.send_command(list, format!("put {} {} running 1 0", server(nth), ZONES[nth % 2]));
    for nth in 0..SERVERS {
        put(nth);
    }

    let tell = |word: String| links.map(|links| lists.send_command(links, word)).unwrap_or(true);
    let mut beside = Vec::new();
    let mut cluster = String::new();
    if links.is_some() {
        let names: Vec<String> =
            std::iter::once("measured".to_string()).chain((1..=OTHERS).map(other_name)).collect();
        cluster = Links::settings(&listens, 0, &names, "") + "    admin = \"127.0.0.1:0\",";
        for at in 1..=OTHERS {
            let cluster = Links::settings(&listens, at, &names, "");
            let (other, doors) = start(program, dir, &names[at], &other_text(&names[at], dir, &cluster))?;
            tell(format!("target {at} {}", doors["members"]));
            beside.push(other);
        }
    }
    let (planner, doors) = start(program, dir, "measured", &planner_text(list_at, proxies, dir, &cluster))?;
    let planner_at = doors["proxies"];
    if let Some(members) = doors.get("members") {
        tell(format!("target 0 {members}"));
        whole(doors["admin"])?;
    }
    let (_, empty_kib) = planner.used();

    let mut reactor = Reactor::new(clock, 8 << 20, dir.into()).map_err(told)?;
    let fleet = reactor.handle();
    for nth in 0..proxies {
        let name = format!("p{nth}");
        let home = ProxyConfig {
            name: name.clone(),
            zone: ZONES[nth % 2].into(),
            planners: vec![planner_at],
            calls_per_s: 100.0,
        };
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let front = FrontConfig { listen, source_ip: None, max_calls: 10, keep_alive: Span::millis(1_000) };
        let route =
            Route { name: "search".into(), time_limit: Span::millis(2_000), mutating: false, resend: 0 };
        let shunning = EjectionConfig { consecutive_failures: 0, ejection_time: Span(0) };
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
    if others == Others::Cut {
        let pairs = (0..=OTHERS).flat_map(|from| (0..=OTHERS).map(move |to| (from, to)));
        for (from, to) in pairs.filter(|(from, to)| from != to) {
            tell(format!("cut {from} {to}"));
        }
        // Past an election: nobody leads any more.
        std::thread::sleep(REST);
    }
    for round in 0..rounds {
        let nth = round % SERVERS;
        let (before, _) = planner.used();
        let from = clock.now();
        lists.send_command(list, format!("state {} {} stopping", server(nth), ZONES[nth % 2]));
        let took = all_acked("all proxies to follow a removal", from, Some(&mut each))?;
        cpu += planner.used().0 - before;
        let _ = lasts.record(took.0 / 1_000);
        worst = worst.max(took);
        put(nth);
        std::thread::sleep(REST);
    }
    fleet.shut_down();
    lists.shut_down();
    drop((planner, beside));
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
