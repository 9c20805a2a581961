//! A planner as a process by servers in its list, by routes in its settings, by servers that it probes and by proxies that
//! follow it; a proxy by servers in its tables.

use super::catalog::{Catalog, Seen};
use super::origin::{Heard, Origin};
use super::{until, Hall};
use crate::slopes::Party;
use pewtergap_node::{Effect, Input, Node, Outbox};
use pewtergap_protocol::{proxy_message, FrameReader, PlannerMessage, ProxyMessage};
use pewtergap_proxy::{EjectionConfig, FrontConfig, Proxy, ProxyConfig, Route};
use pewtergap_time::{Moment, Span};
use serde::Serialize;
use std::any::Any;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::Arc;
use std::time::{Duration, Instant};

const ZONES: usize = 51;
/// After a start and after changes, until what was stirred up has come to rest.
const SETTLES: Duration = Duration::from_millis(2_500);

/// Sizes in bytes, seconds and parts of a core.
#[derive(Clone, Debug, Serialize)]
pub struct Served {
    pub servers: usize,
    pub a_slice: usize,
    pub list_bytes: f64,
    pub kept_bytes: f64,
    /// From the start until the list is taken in.
    pub start_s: f64,
    pub start_core_s: f64,
    pub memory: f64,
    pub descriptors: usize,
    pub core: f64,
    pub change_bytes: f64,
    pub change_core_s: f64,
    pub proxy_memory: f64,
    pub proxy_core: f64,
    /// Lines of its first tables and their bytes on the wire.
    pub table_bytes: f64,
    pub table_messages: f64,
}

#[derive(Clone, Debug, Serialize)]
pub struct Routed {
    pub routes: usize,
    pub servers: usize,
    pub proxies: usize,
    pub memory: f64,
    pub core: f64,
}

#[derive(Clone, Debug, Serialize)]
pub struct Probed {
    pub servers: usize,
    pub probes_per_s: f64,
    /// Both ways, and both of a probe's messages.
    pub messages_per_s: f64,
    pub bytes_per_s: f64,
    pub core: f64,
    pub memory: f64,
}

#[derive(Clone, Debug, Serialize)]
pub struct Streamed {
    pub proxies: usize,
    pub memory: f64,
    pub core: f64,
    pub messages_per_s: f64,
    pub bytes_per_s: f64,
    pub descriptors: usize,
}

/// What passed between proxies and their planner.
#[derive(Default)]
struct Passed {
    up_bytes: AtomicU64,
    up_messages: AtomicU64,
    down_bytes: AtomicU64,
    down_messages: AtomicU64,
    bound: AtomicU64,
}

impl Passed {
    fn messages(&self) -> u64 {
        self.up_messages.load(SeqCst) + self.down_messages.load(SeqCst)
    }

    fn bytes(&self) -> u64 {
        self.up_bytes.load(SeqCst) + self.down_bytes.load(SeqCst)
    }
}

/// A proxy without calls: all that passes its links is its planner's stream.
struct Meter {
    inner: Proxy,
    passed: Arc<Passed>,
    ups: FrameReader<ProxyMessage>,
    downs: FrameReader<PlannerMessage>,
    bound: bool,
}

impl Node for Meter {
    fn handle(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) {
        if let Input::Bytes { bytes, .. } = &input {
            self.passed.down_bytes.fetch_add(bytes.len() as u64, SeqCst);
            self.downs.push(bytes);
            while let Ok(Some(_)) = self.downs.next_message() {
                self.passed.down_messages.fetch_add(1, SeqCst);
            }
        }
        let before = out.effects.len();
        self.inner.handle(now, input, out);
        for effect in &out.effects[before..] {
            let Effect::Send { bytes, .. } = effect else { continue };
            self.passed.up_bytes.fetch_add(bytes.len() as u64, SeqCst);
            self.ups.push(bytes);
            while let Ok(Some(message)) = self.ups.next_message() {
                self.passed.up_messages.fetch_add(1, SeqCst);
                if matches!(message.kind, Some(proxy_message::Kind::Ack(_)))
                    && !std::mem::replace(&mut self.bound, true)
                {
                    self.passed.bound.fetch_add(1, SeqCst);
                }
            }
        }
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}

/// Where servers are listed: on loopback, whether somebody listens there or not.
pub(super) fn server(nth: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 64 + (nth >> 16) as u8, (nth >> 8) as u8, nth as u8))
}

fn zones(count: usize) -> Vec<String> {
    (0..count).map(|at| format!("z{at:02}")).collect()
}

fn routes(count: usize) -> String {
    let route = |at: usize| {
        format!("route(\"r{at}\", slo_time = \"500ms\", time_limit = \"2s\", repeats = \"repeatable\")")
    };
    (0..count).map(route).collect::<Vec<_>>().join(", ")
}

/// What a measured planner's settings say.
pub(super) struct Told {
    pub list: SocketAddr,
    pub zones: usize,
    pub proxies: usize,
    pub routes: usize,
    pub probes: bool,
}

pub(super) fn planner(program: &Path, dir: &Path, told: &Told) -> Result<Party, String> {
    let kept = dir.join("measured.list.json");
    for kept in [kept, dir.join("measured.record")].iter().filter(|kept| kept.exists()) {
        std::fs::remove_file(kept).map_err(|e| e.to_string())?;
    }
    let zones: Vec<String> = zones(told.zones).iter().map(|zone| format!("\"{zone}\"")).collect();
    let text = format!(
        "service(name = \"measured\", zones = [{}], listen = \"127.0.0.1:0\", admin = \"127.0.0.1:0\",\n    \
         list = list_watch(address = \"{}\"), state_dir = \"{}\", seed = 1, levels = \"off\",\n    \
         routes = [{}], fleet = fleet(proxies = {}), probes = probes(on = {}),\n    \
         channel = channel(lines_per_s = 1000000, most_waiting = 10000000),\n    \
         rules = rules(drain_grace = \"5s\", cold_for = \"2s\"))\n",
        zones.join(", "),
        told.list,
        dir.display(),
        routes(told.routes),
        told.proxies,
        if told.probes { "True" } else { "False" },
    );
    Party::start(program, dir, "measured", "run", &text, "admin")
}

/// A catalog of servers on a thread of its own, and where it is asked.
pub(super) fn catalog(
    dir: &Path,
    servers: Vec<IpAddr>,
    port: u16,
    a_slice: usize,
    zone_count: usize,
) -> Result<(Hall, Arc<Seen>, SocketAddr), String> {
    let seen = Arc::<Seen>::default();
    let for_it = seen.clone();
    let hall = Hall::open(
        dir,
        vec![Box::new(move || Box::new(Catalog::new(for_it, &servers, port, a_slice, &zones(zone_count))))],
    )?;
    let at = || *seen.at.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    until("the list to listen", || at().is_some())?;
    let at = at().ok_or("the list listens nowhere")?;
    Ok((hall, seen, at))
}

/// Proxies in this process that follow a planner, on a thread of their own.
fn follow(
    dir: &Path,
    planner: SocketAddr,
    count: usize,
    zone_count: usize,
    route_count: usize,
) -> Result<(Hall, Arc<Passed>), String> {
    let passed = Arc::<Passed>::default();
    let mut nodes: Vec<Box<dyn FnOnce() -> Box<dyn Node> + Send>> = Vec::new();
    for nth in 0..count {
        let passed = passed.clone();
        nodes.push(Box::new(move || {
            let home = ProxyConfig {
                name: format!("p{nth}"),
                zone: zones(zone_count)[nth % zone_count].clone(),
                planners: vec![planner],
                calls_per_s: 100.0,
            };
            let listen = SocketAddr::from(([127, 0, 0, 1], 0));
            let front =
                FrontConfig { listen, source_ip: None, max_calls: 10, keep_alive: Span::millis(1_000) };
            let route = |at: usize| Route {
                name: format!("r{at}"),
                time_limit: Span::millis(2_000),
                mutating: false,
                resend: 0,
            };
            let shunning = EjectionConfig { consecutive_failures: 0, ejection_time: Span(0) };
            let routes = (0..route_count).map(route).collect();
            let inner = Proxy::new(home, front, routes, shunning, &[], nth as u64);
            Box::new(Meter {
                inner,
                passed,
                ups: FrameReader::default(),
                downs: FrameReader::default(),
                bound: false,
            })
        }));
    }
    let hall = Hall::open(dir, nodes)?;
    until("all proxies to be bound", || passed.bound.load(SeqCst) == count as u64)?;
    Ok((hall, passed))
}

/// Part of a core that a process uses over a time.
fn core_over(process: &Party, lasts: Duration) -> f64 {
    let (before, begun) = (process.processor_s(), Instant::now());
    std::thread::sleep(lasts);
    (process.processor_s() - before) / begun.elapsed().as_secs_f64()
}

/// A planner, then a proxy, by servers in the list. Slices are a 51st of it or, if told, of a size.
pub fn by_servers(
    program: &Path,
    dir: &Path,
    servers: usize,
    a_slice: Option<usize>,
    rest: Duration,
) -> Result<Served, String> {
    let a_slice = a_slice.unwrap_or(servers.div_ceil(ZONES)).max(1);
    let all: Vec<IpAddr> = (0..servers).map(server).collect();
    let (list, seen, list_at) = catalog(dir, all, 9, a_slice, ZONES)?;
    let begun = Instant::now();
    let told = Told { list: list_at, zones: ZONES, proxies: 2, routes: 1, probes: false };
    let measured = planner(program, dir, &told)?;
    until("the list to be watched", || seen.watches.load(SeqCst) > 0)?;
    let start_s = begun.elapsed().as_secs_f64();
    std::thread::sleep(SETTLES);
    let start_core_s = measured.processor_s();
    let core = core_over(&measured, rest);
    let (memory, descriptors) = (measured.memory(), measured.descriptors());

    const CHANGES: usize = 100;
    let (before, from) = (measured.processor_s(), Instant::now());
    for change in 0..CHANGES {
        // Each second one brings a server back, so the fleet stays as it is.
        let nth = (change / 2 * 7_919) % servers;
        if !list.tell(format!("turn {nth}")) {
            return Err("the list has ended".into());
        }
        std::thread::sleep(Duration::from_millis(30));
    }
    std::thread::sleep(SETTLES);
    let spent = measured.processor_s() - before - core * from.elapsed().as_secs_f64();
    let said = seen.changes.load(SeqCst).max(1) as f64;

    let at = measured.doors["proxies"];
    let text = format!(
        "proxy(name = \"measured\", zone = \"z00\", listen = \"127.0.0.1:0\", planners = [\"{at}\"], state_dir = \"{}\",\n    \
         routes = [{}])\n",
        dir.display(),
        routes(1)
    );
    let proxy = Party::start(program, dir, "measured-proxy", "proxy", &text, "clients")?;
    let (followers, passed) = follow(dir, at, 1, ZONES, 1)?;
    std::thread::sleep(SETTLES);
    let (table_bytes, table_messages) = (passed.down_bytes.load(SeqCst), passed.down_messages.load(SeqCst));
    let proxy_core = core_over(&proxy, rest);
    let proxy_memory = proxy.memory();
    drop((followers, proxy, measured));
    let kept = std::fs::metadata(dir.join("measured.list.json")).map_or(0, |kept| kept.len());
    Ok(Served {
        servers,
        a_slice,
        list_bytes: seen.list_bytes.load(SeqCst) as f64 / seen.lists.load(SeqCst).max(1) as f64,
        kept_bytes: kept as f64,
        start_s,
        start_core_s,
        memory,
        descriptors,
        core,
        change_bytes: seen.change_bytes.load(SeqCst) as f64 / said,
        change_core_s: (spent / said).max(0.0),
        proxy_memory,
        proxy_core,
        table_bytes: table_bytes as f64,
        table_messages: table_messages as f64,
    })
}

/// A planner by routes in its settings, with so many servers and proxies.
pub fn by_routes(program: &Path, dir: &Path, routes: usize, rest: Duration) -> Result<Routed, String> {
    const SERVERS: usize = 200;
    const PROXIES: usize = 10;
    let (list, _, list_at) = catalog(dir, (0..SERVERS).map(server).collect(), 9, 100, 2)?;
    let told = Told { list: list_at, zones: 2, proxies: PROXIES, routes, probes: false };
    let measured = planner(program, dir, &told)?;
    let followers = follow(dir, measured.doors["proxies"], PROXIES, 2, routes)?;
    std::thread::sleep(SETTLES);
    let core = core_over(&measured, rest);
    let memory = measured.memory();
    drop((followers, measured, list));
    Ok(Routed { routes, servers: SERVERS, proxies: PROXIES, memory, core })
}

/// A planner that probes servers, which answer at once; no proxies.
pub fn by_probes(program: &Path, dir: &Path, servers: usize, rest: Duration) -> Result<Probed, String> {
    let all: Vec<IpAddr> = (0..servers).map(server).collect();
    let heard = Arc::<Heard>::default();
    let (for_it, own) = (heard.clone(), all.clone());
    let origins = Hall::open(dir, vec![Box::new(move || Box::new(Origin::new(for_it, own)))])?;
    until("all servers to listen", || heard.open.load(SeqCst) == servers || heard.failure().is_some())?;
    let Some(port) = heard.port().filter(|_| heard.failure().is_none()) else {
        return Err(heard.failure().unwrap_or_default());
    };
    let (list, seen, list_at) = catalog(dir, all, port, 100, 2)?;
    let told = Told { list: list_at, zones: 2, proxies: 2, routes: 1, probes: true };
    let measured = planner(program, dir, &told)?;
    until("the list to be watched", || seen.watches.load(SeqCst) > 0)?;
    // All are asked at once when they are first seen; what is measured comes after that.
    until("each server to be asked once", || heard.requests.load(SeqCst) >= servers as u64)?;
    std::thread::sleep(SETTLES);
    let (requests, bytes) = (heard.requests.load(SeqCst), heard.bytes.load(SeqCst));
    let begun = Instant::now();
    let core = core_over(&measured, rest);
    let memory = measured.memory();
    let lasted = begun.elapsed().as_secs_f64();
    let requests = (heard.requests.load(SeqCst) - requests) as f64 / lasted;
    let bytes_per_s = (heard.bytes.load(SeqCst) - bytes) as f64 / lasted;
    drop((measured, list, origins));
    let messages_per_s = 2.0 * requests;
    Ok(Probed { servers, probes_per_s: requests, messages_per_s, bytes_per_s, core, memory })
}

/// A planner by proxies that follow it and have no calls, 20 servers.
pub fn by_proxies(program: &Path, dir: &Path, proxies: usize, rest: Duration) -> Result<Streamed, String> {
    let (list, _, list_at) = catalog(dir, (0..20).map(server).collect(), 9, 10, 2)?;
    let told = Told { list: list_at, zones: 2, proxies, routes: 1, probes: false };
    let measured = planner(program, dir, &told)?;
    let (followers, passed) = follow(dir, measured.doors["proxies"], proxies, 2, 1)?;
    std::thread::sleep(SETTLES);
    let (messages, bytes) = (passed.messages(), passed.bytes());
    let begun = Instant::now();
    let core = core_over(&measured, rest);
    let lasted = begun.elapsed().as_secs_f64();
    let came = Streamed {
        proxies,
        memory: measured.memory(),
        core,
        messages_per_s: (passed.messages() - messages) as f64 / lasted,
        bytes_per_s: (passed.bytes() - bytes) as f64 / lasted,
        descriptors: measured.descriptors(),
    };
    drop((followers, measured, list));
    Ok(came)
}
