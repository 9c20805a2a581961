//! What all stand-ins share: the clock, the record, the site, the servers and discovery's list.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[derive(Clone)]
pub struct Class {
    pub name: &'static str,
    pub share: f64,
    /// Work of one call in core seconds of speed 1.
    pub work: f64,
    pub aim_s: f64,
    pub deadline_s: f64,
    pub worth: f64,
    pub semantics: &'static str,
    pub writes: bool,
    /// May go only to servers of the proxy's zone.
    pub bound: bool,
}

/// The figures of a deployment, as its pages and its site file give them.
#[derive(Clone)]
pub struct Site {
    pub zones: Vec<&'static str>,
    pub classes: Vec<Class>,
    pub planners: usize,
    pub proxies: usize,
    pub by_zone: bool,
    pub throttle: &'static str,
    pub pick: &'static str,
    pub ejects: u32,
    pub base_mode: u8,
    pub standing: usize,
    pub head: f64,
    pub lines_per_s: f64,
    pub queue_max: f64,
    pub late_s: f64,
    pub late_most_s: f64,
    pub messages_most: usize,
    pub messages_over_s: f64,
    pub report_s: f64,
    pub empty_s: f64,
    pub reports: &'static str,
    pub cross_zone: f64,
    pub grace_s: f64,
    pub cold_from: f64,
    pub cold_s: f64,
    pub multiple: f64,
    pub fall_s: f64,
    pub weight_source: &'static str,
    pub least_conns: f64,
    /// Descriptors of a planner.
    pub sockets: usize,
}

/// Seconds by which the rules on empty tables, drains and cold servers are extended on sockets.
pub const SLACK_S: f64 = 0.3;

fn ns(s: f64) -> u64 {
    (s * 1e9).round() as u64
}

impl Site {
    pub fn settings(&self, me: usize) -> String {
        let list = |items: Vec<String>| items.join(",");
        let quoted = |items: &[&str]| list(items.iter().map(|i| format!("\"{i}\"")).collect());
        let profiles = self.classes.iter().map(|c| {
            format!(
                "{{\"Credit\":{:?},\"DeadlineNs\":{},\"KeyScope\":\"all\",\"LateWorth\":0.1,\"Name\":\"{}\",\
                 \"Semantics\":\"{}\",\"SloNs\":{},\"WindowNs\":5000000000}}",
                c.worth,
                ns(c.deadline_s),
                c.name,
                c.semantics,
                ns(c.aim_s)
            )
        });
        let flags =
            |f: &dyn Fn(&Class) -> bool| list(self.classes.iter().map(|c| f(c).to_string()).collect());
        format!(
            "{{\"Az\":\"{az}\",\"Balancers\":{planners},\
             \"Contract\":{{\"AskWithinNs\":10000000000,\"ColdFrom\":{cold_from:?},\"ColdNs\":{cold},\
             \"DrainGraceNs\":{grace},\"FallNs\":{fall},\"OverloadFactor\":{multiple:?}}},\
             \"Deductions\":{{\"Connection\":0.02,\"CrossZone\":{cross:?},\"Discovery\":0.0,\"Handshake\":0.02,\
             \"LateFail\":0.03,\"Moves\":0.0,\"Peer\":0.0,\"Probe\":0.02,\"Waste\":0.05}},\
             \"Discovery\":\"pushed\",\
             \"FamilyInfo\":{{\"BaseMode\":{base},\"ByZone\":{by_zone},\"ClassWrites\":[{writes}],\"CostPerLine\":0.02,\
             \"DataPlaneSize\":{proxies},\"EgressPerS\":{egress:?},\"EmptyForNs\":{empty},\"Exclusive\":false,\
             \"FailsToEject\":{ejects},\"FirstWait\":1.2,\"HandoverFee\":0.01,\"Head\":{head:?},\"InitialSet\":{standing},\
             \"IntakePerS\":400.0,\"KeepsWritingNs\":2500000000,\"LateNs\":{late},\"LingersNs\":1520000000,\
             \"ParkNs\":300000000,\"PartitionsN\":0,\"PendingMax\":{queue:?},\"ReloadSpanNs\":{over},\
             \"ReloadsMax\":{most},\"ReportEveryNs\":{report},\"SelectsBy\":\"{pick}\",\"SmallestConnTable\":{conns:?},\
             \"ThrottleBy\":\"{throttle}\",\"TransitMaxNs\":{late_most},\"WarmKeys\":false,\"ZoneBound\":[{bound}]}},\
             \"Feedback\":{{\"How\":\"{how}\",\"Names\":[\"cpu\",\"active\"]}},\"KindOfService\":\"control\",\"Me\":{me},\
             \"Models\":[\"standard\"],\
             \"Permissions\":{{\"ConnectTimeoutNs\":250000000,\"CpuUsPerS\":400000,\"KeepaliveNs\":15000000000,\
             \"PeerMessages\":false,\"Probes\":true,\"StreamsPerConn\":32}},\
             \"Profiles\":[{profiles}],\"RoundNs\":4000000,\
             \"ScoringMix\":{{\"Whole\":0.7,\"WorstClass\":0.1,\"WorstTenant\":0.0,\"WorstWindow\":0.2}},\
             \"ValueBy\":\"request\",\"WeightSource\":\"{source}\",\"Zones\":[{zones}]}}",
            az = self.zones[me % self.zones.len()],
            planners = self.planners,
            cold_from = self.cold_from,
            cold = ns(self.cold_s),
            grace = ns(self.grace_s),
            fall = ns(self.fall_s),
            multiple = self.multiple,
            cross = self.cross_zone,
            base = self.base_mode,
            by_zone = self.by_zone,
            writes = flags(&|c| c.writes),
            proxies = self.proxies,
            egress = self.lines_per_s,
            empty = ns(self.empty_s),
            ejects = self.ejects,
            head = self.head,
            standing = self.standing,
            late = ns(self.late_s),
            queue = self.queue_max,
            over = ns(self.messages_over_s),
            most = self.messages_most,
            report = ns(self.report_s),
            pick = self.pick,
            conns = self.least_conns,
            throttle = self.throttle,
            late_most = ns(self.late_most_s),
            bound = flags(&|c| c.bound),
            how = self.reports,
            profiles = list(profiles.collect()),
            source = self.weight_source,
            zones = quoted(&self.zones),
        )
    }
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum State {
    Ready,
    Terminating,
    Gone,
}

impl State {
    pub fn name(self) -> &'static str {
        match self {
            State::Ready => "Ready",
            State::Terminating => "Terminating",
            State::Gone => "Gone",
        }
    }
}

/// A server as discovery lists it and as it really is.
#[derive(Clone)]
pub struct Server {
    pub uid: String,
    pub zone: usize,
    pub hint: f64,
    pub cores: usize,
    pub speed: f64,
    pub port: u16,
    pub state: State,
    /// Unix milliseconds; 0 means long ago.
    pub boot_ms: u64,
    /// When it last started, on the run's clock; none means long ago.
    pub started: Option<f64>,
    pub up: bool,
    pub fell: bool,
    /// Core seconds in hand.
    pub in_hand: usize,
    /// Recent work that arrived: time, core seconds, and whether it came with knowledge of the last start.
    pub arrivals: Vec<(f64, f64, bool)>,
    /// Grows with each start; an older process takes nothing.
    pub process: u64,
}

#[derive(Default)]
pub struct List {
    pub servers: Vec<Server>,
    pub rev: u64,
    /// Revision and index of each change.
    pub log: Vec<(u64, usize)>,
    /// By planner, process, server and state or start: when discovery wrote it. Keyed by (planner, index).
    pub told: BTreeMap<(usize, usize), Told>,
}

#[derive(Clone, Copy, Debug)]
pub struct Told {
    pub state: State,
    pub boot_ms: u64,
    pub since: f64,
}

pub struct World {
    pub site: Site,
    pub start: Instant,
    pub unix0: f64,
    pub list: Mutex<List>,
    pub changed: Condvar,
    pub record: Mutex<BufWriter<File>>,
    pub broken: Mutex<Vec<String>>,
    pub done: AtomicBool,
    /// The next answer of a watch that has changes comes in so many pieces, so many seconds apart.
    pub pieces: Mutex<Option<(usize, f64)>>,
    /// When each planner gave its first answer.
    pub ready_at: Mutex<Vec<Option<f64>>>,
}

impl World {
    pub fn new(site: Site, record: &str) -> Arc<World> {
        let file = File::create(record).unwrap_or_else(|e| quit(&format!("record: {e}")));
        let planners = site.planners;
        Arc::new(World {
            site,
            start: Instant::now(),
            unix0: SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64()),
            list: Mutex::default(),
            changed: Condvar::new(),
            record: Mutex::new(BufWriter::new(file)),
            broken: Mutex::default(),
            done: AtomicBool::new(false),
            pieces: Mutex::default(),
            ready_at: Mutex::new(vec![None; planners]),
        })
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn unix_ms(&self) -> u64 {
        ((self.unix0 + self.now()) * 1e3) as u64
    }

    pub fn over(&self) -> bool {
        self.done.load(Ordering::Relaxed)
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.now());
        if let Ok(mut record) = self.record.lock() {
            let _ = record.write_all(line.as_bytes());
        }
    }

    /// Notes a broken rule; the first of a kind is printed too.
    pub fn broke(&self, rule: &str, text: &str) {
        self.note(&format!("BROKEN {rule}: {text}"));
        let mut broken = self.broken.lock().unwrap();
        if !broken.iter().any(|known| known.starts_with(rule)) {
            println!("{:9.3} {rule}: {text}", self.now());
        }
        broken.push(format!("{rule}: {text}"));
    }

    pub fn sleep(&self, s: f64) {
        std::thread::sleep(Duration::from_secs_f64(s.max(0.0)));
    }

    pub fn sleep_until(&self, at: f64) {
        self.sleep(at - self.now());
    }

    /// Adds a server to the list, or changes how it is listed.
    pub fn list_change(&self, at: usize, state: State) {
        let mut list = self.list.lock().unwrap();
        list.rev += 1;
        let rev = list.rev;
        list.servers[at].state = state;
        list.log.push((rev, at));
        let server = &list.servers[at];
        self.note(&format!("list rev={rev} {} {} boot_ms={}", server.uid, state.name(), server.boot_ms));
        drop(list);
        self.changed.notify_all();
    }
}

/// The loopback address of this run, so that runs beside each other don't take each other's ports.
pub fn host() -> std::net::Ipv4Addr {
    let id = std::process::id();
    std::net::Ipv4Addr::new(127, 1 + (id >> 16 & 0x3f) as u8, (id >> 8) as u8, (id as u8).max(1))
}

/// The case can't run.
pub fn quit(why: &str) -> ! {
    println!("could not run: {why}");
    std::process::exit(2)
}

/// xorshift64*, enough for choices.
pub struct Rng(pub u64);

impl Rng {
    pub fn new(seed: u64) -> Rng {
        Rng(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    pub fn unit(&mut self) -> f64 {
        self.0 ^= self.0 >> 12;
        self.0 ^= self.0 << 25;
        self.0 ^= self.0 >> 27;
        (self.0.wrapping_mul(0x2545_F491_4F6C_DD1D) >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn below(&mut self, n: usize) -> usize {
        ((self.unit() * n as f64) as usize).min(n.saturating_sub(1))
    }
}
