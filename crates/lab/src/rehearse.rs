//! Plays a day: brings the parties up, lets the script strike, and gives the recording.
//!
//! Planners and proxies are processes of this program, as others run them; stand-ins, relay and clients share
//! one reactor in this process. Each wait is for an event, with one generous ceiling.

use crate::ask;
use crate::audit::{audit, Audit, Facts};
use crate::bell::{Bell, Rung};
use crate::clients::{Clients, Target};
use crate::cluster::links::{Links, Sightings};
use crate::day::{script, Act, Day};
use crate::list::List;
use crate::members::{Doors, Operator, Work};
use crate::record::{Kind, Row};
use crate::relay::{Door, Passes, Relay};
use crate::report::{service, Service};
use crate::server::Server;
use crate::wrong::{Plant, Wrong};
use pewtergap_planner::RetrySafety;
use pewtergap_reactor::{duration, Clock, Handle, NodeId, Reactor};
use pewtergap_settings::{proxy_file, run, service_file};
use pewtergap_time::{Moment, Span};
use rustix::process::{kill_process, Pid, Signal};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::Receiver;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How a day is played.
pub struct Play<'a> {
    pub day: &'a Day,
    pub seed: u64,
    /// The program whose planners and proxies are rehearsed.
    pub program: &'a Path,
    /// Settings, logs and kept lists of the parties go here.
    pub dir: PathBuf,
    /// No planner runs: proxies go by their standing tables.
    pub planners_off: bool,
    pub plant: Option<Plant>,
    pub progress: &'a (dyn Fn(&str) + Sync),
}

/// What a day came to.
pub struct Outcome {
    pub rows: Vec<Row>,
    pub audit: Audit,
    pub service: Service,
}

/// Nothing that is waited for takes longer, on however busy a machine, unless it has failed.
const CEILING: Duration = Duration::from_secs(60);
const MOST_UNWRITTEN: usize = 8 * 1024 * 1024;
/// Where one planner asks a server for all: it goes unasked no longer, and is asked by two no longer, in nanoseconds.
const ASKED: (i64, i64) = (6_000_000_000, 4_000_000_000);
/// Duties find their holders again so long after planners were struck.
const SETTLES: i64 = 4_000_000_000;

enum Party {
    Process(Child),
    Thread(Handle, Option<JoinHandle<()>>),
}

impl Party {
    /// At once and without a word.
    fn kill(&mut self) {
        match self {
            Party::Process(child) => {
                let _ = child.kill();
                let _ = child.wait();
            }
            Party::Thread(handle, thread) => {
                handle.shut_down();
                thread.take().map(JoinHandle::join);
            }
        }
    }

    fn signal(&self, signal: Signal) {
        if let Party::Process(child) = self {
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }
}

impl Drop for Party {
    fn drop(&mut self) {
        self.kill();
    }
}

struct Filled {
    present: String,
    former: Option<String>,
    up: bool,
    listed: bool,
}

fn ip(group: u8, at: usize) -> IpAddr {
    IpAddr::from([127, 0, group + (at / 250) as u8, (at % 250 + 1) as u8])
}

const PLANNERS: u8 = 10;
const SERVERS: u8 = 20;
const PROXIES: u8 = 30;
const CLIENTS: u8 = 40;

pub(crate) fn planner_name(at: usize) -> String {
    format!("planner-{}", at + 1)
}

fn proxy_name(at: usize) -> String {
    format!("p{}", at + 1)
}

/// A server's name when its place is filled anew: the two take turns.
fn other(name: &str) -> String {
    name.strip_suffix('b').map_or_else(|| format!("{name}b"), str::to_string)
}

struct Director<'a> {
    play: &'a Play<'a>,
    bell: Bell,
    rungs: Receiver<Rung>,
    lab: Handle,
    relay: NodeId,
    list: NodeId,
    clients: NodeId,
    /// The relay of members' links, where planners agree, and their admin doors.
    links: Option<NodeId>,
    doors: Doors,
    killed: Vec<usize>,
    servers: HashMap<String, NodeId>,
    clock: Clock,
    listens: HashMap<String, SocketAddr>,
    bound: BTreeSet<String>,
    rows: Vec<Row>,
    planners: BTreeMap<usize, Party>,
    proxies: Vec<Party>,
    places: Vec<Filled>,
    refused: BTreeSet<String>,
    lost_zones: BTreeSet<String>,
    failed: Option<String>,
}

/// Plays the day and judges it.
pub fn play(play: &Play) -> Result<Outcome, String> {
    let rows = record(play)?;
    let audit = audit(&rows)?;
    let facts = crate::audit::facts(&rows)?;
    let service = service(&rows, &facts);
    Ok(Outcome { rows, audit, service })
}

fn record(play: &Play) -> Result<Vec<Row>, String> {
    let told = |e: std::io::Error| format!("{}: {e}", play.dir.display());
    std::fs::create_dir_all(&play.dir).map_err(told)?;
    // What an earlier rehearsal left would be taken for this fleet's past: lists with other ports, and newer.
    // Only files of our own parties go: the folder may be anybody's.
    let day = play.day;
    let ours = (0..day.planners).map(planner_name).chain((0..day.proxies).map(proxy_name));
    for name in ours.flat_map(|name| ["list.json", "log", "record"].map(|kind| format!("{name}.{kind}"))) {
        match std::fs::remove_file(play.dir.join(name)) {
            Err(e) if e.kind() != std::io::ErrorKind::NotFound => return Err(told(e)),
            _ => {}
        }
    }
    let (bell, rungs) = Bell::new();
    let clock = Clock::default();
    let told = |e: std::io::Error| format!("the lab's reactor: {e}");
    let mut reactor = Reactor::new(clock, MOST_UNWRITTEN, play.dir.clone()).map_err(told)?;
    let lab = reactor.handle();
    let relay = reactor.add(Box::new(Relay::new(doors(day), parties(day), play.seed, bell.clone())));
    let list = reactor.add(Box::new(List::new(bell.clone())));
    let mut servers = HashMap::new();
    for slot in &day.slots {
        for (name, up) in [(slot.name.clone(), !slot.later), (other(&slot.name), false)] {
            let node = Server::new(name.clone(), slot.machine, up, bell.clone());
            servers.insert(name, reactor.add(Box::new(node)));
        }
    }
    let asked = day.asked.clone();
    let clients = Clients::new(ip(CLIENTS, 0), asked, targets(day), play.seed ^ 0x5eed, bell.clone());
    let clients = reactor.add(Box::new(clients));
    let links = Links::new(day.planners, bell.clone(), Sightings::default());
    let links = day.agreed.then(|| reactor.add(Box::new(links)));
    let thread = std::thread::spawn(move || reactor.run());
    let place = |slot: &crate::day::Slot| Filled {
        present: slot.name.clone(),
        former: None,
        up: !slot.later,
        listed: !slot.later,
    };
    let mut director = Director {
        play,
        bell,
        rungs,
        lab,
        relay,
        list,
        clients,
        links,
        doors: Arc::new(Mutex::new(vec![None; day.planners])),
        killed: Vec::new(),
        servers,
        clock,
        listens: HashMap::new(),
        bound: BTreeSet::new(),
        rows: Vec::new(),
        planners: BTreeMap::new(),
        proxies: Vec::new(),
        places: day.slots.iter().map(place).collect(),
        refused: BTreeSet::new(),
        lost_zones: BTreeSet::new(),
        failed: None,
    };
    let played = director.play();
    director.lab.shut_down();
    let ended = thread.join().map_err(|_| "the lab's reactor failed".to_string())?.map_err(told)?;
    played?;
    if director.bell.lost() > 0 {
        return Err(format!("{} rows found no room, the recording is not whole", director.bell.lost()));
    }
    let mut rows = director.finish();
    // The relay is the first node; its rows are the recording proper.
    let first = ended.1.into_iter().next().ok_or("the relay is missing")?;
    let relay = first.into_any().downcast::<Relay>().map_err(|_| "the relay is missing".to_string())?;
    rows.extend(relay.rows);
    rows.sort_by_key(|row| row.at);
    Ok(rows)
}

fn doors(day: &Day) -> Vec<Door> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let door = |passes, name: String, zone: &str, listen| Door { passes, name, zone: zone.into(), listen };
    let mut doors = vec![door(Passes::List, "list".into(), &day.zones[0], any)];
    for at in 0..day.planners {
        doors.push(door(Passes::Streams, planner_name(at), &day.zones[at % day.zones.len()], any));
    }
    for at in 0..day.proxies {
        doors.push(door(Passes::Calls, proxy_name(at), &day.zones[at % day.zones.len()], any));
    }
    for (at, slot) in day.slots.iter().enumerate() {
        for (nth, name) in [slot.name.clone(), other(&slot.name)].into_iter().enumerate() {
            let listen = SocketAddr::new(ip(SERVERS, 2 * at + nth), 0);
            doors.push(door(Passes::Work, name, &slot.zone, listen));
        }
    }
    doors
}

fn parties(day: &Day) -> HashMap<IpAddr, crate::relay::Party> {
    let party = |name: String, zone: &str| crate::relay::Party { name, zone: zone.into() };
    let zone = |at: usize| day.zones[at % day.zones.len()].as_str();
    let planners = (0..day.planners).map(|at| (ip(PLANNERS, at), party(planner_name(at), zone(at))));
    let proxies = (0..day.proxies).map(|at| (ip(PROXIES, at), party(proxy_name(at), zone(at))));
    // Clients stand at their proxies: no zone of their own, so that no cut parts them.
    planners.chain(proxies).chain([(ip(CLIENTS, 0), party("clients".into(), ""))]).collect()
}

/// Calls by proxy, from the lightest to the heaviest in even steps.
fn targets(day: &Day) -> Vec<Target> {
    let weight = |at: usize| 1.0 + (day.skew - 1.0) * at as f64 / (day.proxies.max(2) - 1) as f64;
    let all: f64 = (0..day.proxies).map(weight).sum();
    let at = SocketAddr::from(([127, 0, 0, 1], 0));
    (0..day.proxies)
        .map(|p| Target { proxy: proxy_name(p), at, per_s: day.calls_per_s * weight(p) / all })
        .collect()
}

fn span(span: Span) -> String {
    format!("\"{}us\"", span.0 / 1_000)
}

fn routes_text(day: &Day) -> String {
    let route = |route: &pewtergap_settings::RouteFile| {
        let planned = &route.planned;
        let repeats = match planned.retry_safety {
            RetrySafety::Mutating => "mutating",
            _ => "repeatable",
        };
        format!(
            "        route(\"{}\", importance = {}, slo_time = {}, time_limit = {}, repeats = \"{repeats}\"),\n",
            route.name,
            planned.importance,
            span(planned.slo_time),
            span(planned.time_limit)
        )
    };
    day.routes.iter().map(route).collect()
}

impl Director<'_> {
    fn play(&mut self) -> Result<(), String> {
        let day = self.play.day;
        (self.play.progress)("stand-ins");
        let mut names: Vec<String> = vec!["list".into(), "door list".into()];
        names.extend(self.servers.keys().cloned());
        names.extend(self.servers.keys().map(|name| format!("door {name}")));
        names.extend((0..day.planners).map(|at| format!("door {}", planner_name(at))));
        names.extend((0..day.proxies).map(|at| format!("door {}", proxy_name(at))));
        let pairs = (0..day.planners).flat_map(|from| (0..day.planners).map(move |to| (from, to)));
        names.extend(pairs.filter(|_| day.agreed).map(|(from, to)| Links::door_name(from, to)));
        self.wait_for(&names)?;
        self.upstream("list", self.listens["list"]);
        for name in self.servers.keys().cloned().collect::<Vec<_>>() {
            self.upstream(&name, self.listens[&name]);
        }
        let long_ago = self.clock.now() - Span::millis(3_600_000);
        for at in 0..day.slots.len() {
            if self.places[at].listed {
                self.list_put(at, long_ago);
            }
        }
        (self.play.progress)("planners and proxies");
        if !self.play.planners_off {
            for at in 0..day.planners {
                self.start_planner(at)?;
            }
            for at in 0..day.planners {
                self.wait_planner(at)?;
            }
        }
        self.start_proxies()?;
        if !self.play.planners_off {
            let all: BTreeSet<String> = (0..day.proxies).map(proxy_name).collect();
            self.wait("all proxies to be bound", |director| director.bound.is_superset(&all))?;
        }
        self.strike()
    }

    // ---- events

    fn heard(&mut self, rung: Rung) {
        match rung {
            Rung::Listens(name, at) => drop(self.listens.insert(name, at)),
            Rung::Bound(proxy) => drop(self.bound.insert(proxy)),
            Rung::Row(row) => self.rows.push(row),
            Rung::Failed(why) => self.failed = Some(why),
            Rung::Acked(..) => {}
        }
    }

    fn wait(&mut self, what: &str, done: impl Fn(&Self) -> bool) -> Result<(), String> {
        let until = Instant::now() + CEILING;
        while !done(self) {
            if let Some(why) = self.failed.take() {
                return Err(why);
            }
            match self.rungs.recv_timeout(until.saturating_duration_since(Instant::now())) {
                Ok(rung) => self.heard(rung),
                Err(_) => return Err(format!("waited {} s for {what}", CEILING.as_secs())),
            }
        }
        Ok(())
    }

    fn wait_for(&mut self, names: &[String]) -> Result<(), String> {
        self.wait("stand-ins to listen", |director| {
            names.iter().all(|name| director.listens.contains_key(name))
        })
    }

    /// Hears what is rung until a moment of the day.
    fn pass(&mut self, until: Moment) -> Result<(), String> {
        loop {
            let left = duration(until.since(self.clock.now()));
            if left.is_zero() {
                return self.failed.take().map_or(Ok(()), Err);
            }
            if let Ok(rung) = self.rungs.recv_timeout(left) {
                self.heard(rung);
            }
        }
    }

    // ---- parties

    fn upstream(&self, name: &str, at: SocketAddr) {
        self.say(self.relay, format!("upstream {name} {at}"));
    }

    fn planner_text(&self, at: usize) -> String {
        let day = self.play.day;
        let zones: Vec<String> = day.zones.iter().map(|zone| format!("\"{zone}\"")).collect();
        let (channel, contract) = (&day.channel, &day.contract);
        let messages = if channel.max_messages == usize::MAX {
            String::new()
        } else {
            format!(", messages = {}, messages_over = {}", channel.max_messages, span(channel.message_window))
        };
        let binds = if contract.removal_is_binding { "True" } else { "False" };
        let shun = if day.shunning.consecutive_failures > 0 { "True" } else { "False" };
        format!(
            "service(\n    name = \"{}\", zones = [{}], seed = {},\n    listen = \"127.0.0.1:0\", source_address = \"{}\",\n    \
             list = list_watch(address = \"{}\"),\n    routes = [\n{}    ],\n    \
             fleet = fleet(proxies = {}, planners = {}, crossing_price = {}),\n    \
             channel = channel(lines_per_s = {}, most_waiting = {}, head = {}{messages}),\n    \
             rules = rules(drain_grace = {}, removal_binds = {binds}, cold_from = {}, cold_for = {}, overload = {}, fall = {}),\n    \
             reports = reports(every = {}, intake_per_s = {}),\n    proxies_shun = {shun},\n    state_dir = \"{}\",\n{})\n",
            planner_name(at),
            zones.join(", "),
            self.play.seed * 100 + at as u64,
            ip(PLANNERS, at),
            self.listens["door list"],
            routes_text(day),
            day.proxies,
            day.planners,
            day.crossing_price,
            channel.lines_per_s,
            channel.max_queued_lines,
            channel.message_overhead,
            span(contract.drain_grace),
            contract.cold_capacity,
            span(contract.warmup),
            contract.overload_factor,
            span(contract.overload_time),
            span(day.report_every),
            day.intake_per_s,
            self.play.dir.display(),
            self.cluster_text(at),
        )
    }

    fn cluster_text(&self, at: usize) -> String {
        let day = self.play.day;
        if !day.agreed {
            return String::new();
        }
        let names: Vec<String> = (0..day.planners).map(planner_name).collect();
        let duties = if day.duties {
            let duties = crate::cluster::duties::settings(1, crate::cluster::duties::LEASE_MS);
            let sharing = "sharing = sharing(every = \"200ms\", fresh = \"1500ms\", holds = \"3s\"), ";
            format!("    {}{duties},\n", if day.sharing { sharing } else { "" })
        } else {
            String::new()
        };
        format!(
            "    admin = \"127.0.0.1:0\",\n    {}{duties}",
            Links::settings(&self.listens, at, &names, "")
        )
    }

    fn proxy_text(&self, at: usize) -> String {
        let day = self.play.day;
        let zone = &day.zones[at % day.zones.len()];
        // Its own zone's planner first, then the others.
        let mut planners: Vec<usize> = (0..day.planners).collect();
        planners.sort_by_key(|planner| {
            (day.zones[planner % day.zones.len()] != *zone, (planner + at) % day.planners)
        });
        let doors = planners.iter().filter(|_| !self.play.planners_off);
        let doors: Vec<String> =
            doors.map(|p| format!("\"{}\"", self.listens[&format!("door {}", planner_name(*p))])).collect();
        let mut rng = fastrand::Rng::with_seed(self.play.seed * 1_000 + at as u64);
        let present: Vec<usize> = (0..day.slots.len()).filter(|slot| !day.slots[*slot].later).collect();
        let mine: Vec<usize> =
            present.iter().copied().filter(|slot| day.slots[*slot].zone == *zone).collect();
        let mut drawn = if mine.len() >= 3 { mine } else { present };
        rng.shuffle(&mut drawn);
        drawn.truncate(day.standing);
        let standing: Vec<String> = drawn
            .iter()
            .map(|slot| format!("\"{}\"", self.listens[&format!("door {}", day.slots[*slot].name)]))
            .collect();
        let rate = targets(day)[at].per_s;
        format!(
            "proxy(\n    name = \"{}\", zone = \"{zone}\", seed = {}, calls_per_s = {rate:.3},\n    \
             listen = \"127.0.0.1:0\", source_address = \"{}\",\n    planners = [{}],\n    routes = [\n{}    ],\n    \
             standing = [{}],\n    shunning = shunning(after = {}, rest = {}),\n)\n",
            proxy_name(at),
            self.play.seed * 1_000 + at as u64,
            ip(PROXIES, at),
            doors.join(", "),
            routes_text(day),
            standing.join(", "),
            day.shunning.consecutive_failures,
            span(day.shunning.ejection_time),
        )
    }

    /// Starts a process of the program; what it says of its listeners is rung.
    fn process(&self, command: &str, name: &str, text: &str) -> Result<Party, String> {
        let file = self.play.dir.join(format!("{name}.star"));
        let log = self.play.dir.join(format!("{name}.log"));
        let told = |e: std::io::Error| format!("{name}: {e}");
        std::fs::write(&file, text).map_err(told)?;
        let log = File::options().create(true).append(true).open(log).map_err(told)?;
        let mut child = Command::new(self.play.program)
            .args(["--log", "debug", command, "--announce"])
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .map_err(told)?;
        let (bell, name) = (self.bell.clone(), name.to_string());
        let planner = (0..self.play.day.planners).find(|at| planner_name(*at) == name);
        let (doors, lab, links) = (self.doors.clone(), self.lab.clone(), self.links);
        if let Some(out) = child.stdout.take() {
            std::thread::spawn(move || {
                for line in BufReader::new(out).lines().map_while(Result::ok) {
                    let words: Vec<&str> = line.split_whitespace().collect();
                    let ["listening", door, at] = words.as_slice() else { continue };
                    let Ok(at) = at.parse::<SocketAddr>() else { continue };
                    match (*door, planner, links) {
                        ("proxies" | "clients", ..) => bell.listens(&name, at),
                        ("admin", Some(planner), _) => {
                            doors.lock().into_iter().for_each(|mut doors| doors[planner] = Some(at));
                        }
                        ("members", Some(planner), Some(links)) => {
                            lab.send_command(links, format!("target {planner} {at}"));
                        }
                        _ => {}
                    }
                }
            });
        }
        Ok(Party::Process(child))
    }

    /// A party in this process, with or without something wrong planted in it.
    fn thread(&self, node: Wrong) -> Result<Party, String> {
        let told = |e: std::io::Error| format!("a reactor: {e}");
        let mut reactor = Reactor::new(self.clock, MOST_UNWRITTEN, self.play.dir.clone()).map_err(told)?;
        let handle = reactor.handle();
        reactor.add(Box::new(node));
        let thread = std::thread::spawn(move || drop(reactor.run()));
        Ok(Party::Thread(handle, Some(thread)))
    }

    fn start_planner(&mut self, at: usize) -> Result<(), String> {
        let name = planner_name(at);
        self.listens.remove(&name);
        let mut text = self.planner_text(at);
        if self.play.plant == Some(Plant::LongQueue) && at == 0 {
            let limit = format!("most_waiting = {}", self.play.day.channel.max_queued_lines);
            text = text.replace(&limit, &format!("{limit}000"));
            // What may wait is reckoned from the pace as well: this planner believes in one it does not have.
            let pace = format!("lines_per_s = {}", self.play.day.channel.lines_per_s);
            text = text.replace(&pace, &format!("{pace}000"));
        }
        let party = match self.play.plant {
            Some(plant) if !matches!(plant, Plant::Repeat | Plant::IgnoredOrder) && at == 0 => {
                let file =
                    run(&name, &text).and_then(|script| service_file(&script)).map_err(|e| e.to_string())?;
                let service = file.service(self.clock.now(), self.play.seed);
                self.thread(Wrong::new(Box::new(service), Some(plant), name, self.bell.clone()))?
            }
            _ => self.process("run", &name, &text)?,
        };
        self.planners.insert(at, party);
        Ok(())
    }

    /// Until the planner listens; calls come to it from then on.
    fn wait_planner(&mut self, at: usize) -> Result<(), String> {
        let name = planner_name(at);
        self.wait(&format!("{name} to listen"), |director| director.listens.contains_key(&name))?;
        self.upstream(&name, self.listens[&name]);
        Ok(())
    }

    fn start_proxies(&mut self) -> Result<(), String> {
        for at in 0..self.play.day.proxies {
            let (name, text) = (proxy_name(at), self.proxy_text(at));
            let party = match self.play.plant {
                Some(Plant::Repeat) if at == 0 => {
                    let file = run(&name, &text)
                        .and_then(|script| proxy_file(&script))
                        .map_err(|e| e.to_string())?;
                    let proxy = file.proxy(self.play.seed);
                    self.thread(Wrong::new(Box::new(proxy), Some(Plant::Repeat), name, self.bell.clone()))?
                }
                _ => self.process("proxy", &name, &text)?,
            };
            self.proxies.push(party);
        }
        let names: Vec<String> = (0..self.play.day.proxies).map(proxy_name).collect();
        self.wait_for(&names)?;
        for name in names {
            self.upstream(&name, self.listens[&name]);
            self.say(self.clients, format!("at {name} {}", self.listens[&format!("door {name}")]));
        }
        Ok(())
    }

    // ---- the day

    fn facts(&self, started: Moment) -> Facts {
        let day = self.play.day;
        let (contract, channel) = (&day.contract, &day.channel);
        let route = |route: &pewtergap_settings::RouteFile| {
            (route.name.clone(), route.planned.slo_time.0 as i64, route.served.mutating)
        };
        let span = |trouble: &crate::day::Trouble| {
            let from = (started + trouble.at).0 as i64;
            (from, from + trouble.lasts.0 as i64 + SETTLES)
        };
        Facts {
            day: day.name.clone(),
            seed: self.play.seed,
            started: started.0 as i64,
            no_line: day.no_line.0 as i64,
            drain_grace: contract.drain_grace.0 as i64,
            cold_from: contract.cold_capacity,
            cold_for: contract.warmup.0 as i64,
            overload: contract.overload_factor,
            fall: contract.overload_time.0 as i64,
            head: channel.message_overhead,
            most_waiting: channel.max_queued_lines,
            messages: if channel.max_messages == usize::MAX { 0 } else { channel.max_messages },
            messages_over: channel.message_window.0 as i64,
            removal_binds: contract.removal_is_binding,
            slowest: day.slowest(),
            routes: day.routes.iter().map(route).collect(),
            asked: day.duties.then_some(ASKED),
            blind: day.troubles.iter().filter(|trouble| trouble.kind.hides_servers()).map(span).collect(),
            struck: day.troubles.iter().filter(|trouble| trouble.kind.strikes_planners()).map(span).collect(),
        }
    }

    fn strike(&mut self) -> Result<(), String> {
        let day = self.play.day;
        let started = self.clock.now();
        let facts = serde_json::to_string(&self.facts(started)).map_err(|e| e.to_string())?;
        self.rows.push(Row { text: facts, ..Row::new(started.0, Kind::Day, "director", "") });
        self.say(self.clients, "go");
        let operators = self.operators();
        for (at, act) in script(day, self.play.seed) {
            self.pass(started + at)?;
            (self.play.progress)(&format!("{:.1} s of {}: {act:?}", at.seconds(), day.lasts));
            self.carry_out(act)?;
        }
        self.pass(started + day.lasts)?;
        drop(operators);
        self.say(self.clients, "end");
        // The last calls have until their time limit.
        let longest = day.asked.iter().map(|asked| asked.time_limit).max().unwrap_or_default();
        self.pass(self.clock.now() + longest + Span::millis(100))
    }

    /// A word for a stand-in. If the lab has ended, the wait for what should follow says so.
    fn say(&self, place: NodeId, word: impl Into<String>) {
        self.lab.send_command(place, word);
    }

    fn server(&self, name: &str, word: &str) {
        if let Some(place) = self.servers.get(name) {
            self.say(*place, word);
        }
    }

    fn start(&mut self, name: &str) {
        self.server(name, "start");
        if self.refused.remove(name) {
            self.say(self.relay, format!("accept {name}"));
        }
    }

    fn end(&mut self, name: &str) {
        self.server(name, "kill");
        if self.refused.insert(name.into()) {
            self.say(self.relay, format!("refuse {name}"));
        }
    }

    fn list_put(&self, slot: usize, started: Moment) {
        let (place, slot) = (&self.places[slot], &self.play.day.slots[slot]);
        let at = self.listens[&format!("door {}", place.present)];
        let word = format!("put {at} {} running {} {}", slot.zone, slot.weight, started.0 / 1_000_000);
        self.say(self.list, word);
    }

    fn list_tell(&self, slot: usize, name: &str, word: &str) {
        let at = self.listens[&format!("door {name}")];
        let zone = &self.play.day.slots[slot].zone;
        let tail = if word == "gone" { String::new() } else { format!(" {word}") };
        let verb = if word == "gone" { "gone" } else { "state" };
        self.say(self.list, format!("{verb} {at} {zone}{tail}"));
    }

    fn in_zone(&self, zone: &str) -> Vec<usize> {
        (0..self.places.len()).filter(|slot| self.play.day.slots[*slot].zone == zone).collect()
    }

    fn carry_out(&mut self, act: Act) -> Result<(), String> {
        let now = self.clock.now();
        match act {
            Act::Replace(slot) => {
                let place = &self.places[slot];
                if place.up && place.former.is_none() {
                    let former = place.present.clone();
                    self.places[slot].present = other(&former);
                    self.places[slot].former = Some(former);
                    let present = self.places[slot].present.clone();
                    self.start(&present);
                    self.list_put(slot, now);
                }
            }
            Act::Drain(slot) => {
                if let Some(former) = self.places[slot].former.clone() {
                    self.list_tell(slot, &former, "stopping");
                }
            }
            Act::Remove(slot) => {
                if let Some(former) = self.places[slot].former.take() {
                    self.list_tell(slot, &former, "gone");
                    self.end(&former);
                }
            }
            Act::Fill(slot) => {
                let present = self.places[slot].present.clone();
                self.start(&present);
                (self.places[slot].up, self.places[slot].listed) = (true, true);
                self.list_put(slot, now);
            }
            Act::LoseZone(zone) => {
                for slot in self.in_zone(&zone) {
                    let names = [Some(self.places[slot].present.clone()), self.places[slot].former.clone()];
                    names.iter().flatten().for_each(|name| self.end(name));
                    self.places[slot].up = false;
                }
                self.lost_zones.insert(zone);
            }
            Act::UnlistZone(zone) => {
                for slot in self.in_zone(&zone) {
                    let names = [Some(self.places[slot].present.clone()), self.places[slot].former.take()];
                    names.iter().flatten().for_each(|name| self.list_tell(slot, name, "gone"));
                }
            }
            Act::ReturnZone(zone) => {
                self.lost_zones.remove(&zone);
                let mut slots = self.in_zone(&zone);
                slots.retain(|slot| self.places[*slot].listed);
                for slot in slots {
                    let present = self.places[slot].present.clone();
                    self.start(&present);
                    self.places[slot].up = true;
                    self.list_put(slot, now);
                }
            }
            Act::Die(slot) => {
                let present = self.places[slot].present.clone();
                self.end(&present);
                self.places[slot].up = false;
            }
            Act::Revive(slot) => {
                if !self.lost_zones.contains(&self.play.day.slots[slot].zone) {
                    let present = self.places[slot].present.clone();
                    self.start(&present);
                    self.places[slot].up = true;
                    self.list_put(slot, now);
                }
            }
            Act::Server(slot, word) => self.server(&self.places[slot].present, &word),
            Act::Relay(word) => self.say(self.relay, word),
            Act::RelayProxy(word, proxy) => self.say(self.relay, format!("{word} {}", proxy_name(proxy))),
            Act::RelayServers(word, slots) => {
                let names: Vec<&str> = slots.iter().map(|slot| self.places[*slot].present.as_str()).collect();
                self.say(self.relay, format!("{word} {}", names.join(" ")));
            }
            Act::List(word) => self.say(self.list, word),
            Act::Unlist(slot) => self.list_tell(slot, &self.places[slot].present, "gone"),
            Act::Relist(slot) => self.list_put(slot, now - Span::millis(3_600_000)),
            Act::Invent(slot, there) => {
                let name = other(&self.places[slot].present);
                let at = self.listens[&format!("door {name}")];
                let zone = &self.play.day.slots[slot].zone;
                let word =
                    if there { format!("put {at} {zone} running 1 0") } else { format!("gone {at} {zone}") };
                self.say(self.list, word);
            }
            Act::Clients(word) => self.say(self.clients, word),
            Act::HotProxy(proxy, factor) => {
                self.say(self.clients, format!("rate {} {factor}", proxy_name(proxy)));
            }
            Act::Links(word) => self.links.into_iter().for_each(|links| self.say(links, word.clone())),
            Act::KillPlanner(_)
            | Act::KillLeader
            | Act::StartKilled
            | Act::LosePlanner(_)
            | Act::StopPlanner(_)
            | Act::StartPlanner(_)
            | Act::FreezePlanner(_)
            | Act::ThawPlanner(_)
                if self.play.planners_off => {}
            Act::KillPlanner(at) => self.kill_planner(at),
            Act::LosePlanner(at) => {
                self.kill_planner(at);
                let record = self.play.dir.join(format!("{}.record", planner_name(at)));
                std::fs::remove_file(&record).map_err(|e| format!("{}: {e}", record.display()))?;
            }
            Act::KillLeader => {
                if let Some(at) = self.leader() {
                    self.kill_planner(at);
                    self.killed.push(at);
                }
            }
            Act::StartKilled => {
                for at in std::mem::take(&mut self.killed) {
                    self.start_planner(at)?;
                    self.wait_planner(at)?;
                }
            }
            Act::StopPlanner(at) => {
                if let Some(party) = self.planners.get(&at) {
                    party.signal(Signal::TERM);
                }
            }
            Act::StartPlanner(at) => {
                self.planners.remove(&at);
                self.start_planner(at)?;
                self.wait_planner(at)?;
            }
            Act::FreezePlanner(at) => {
                if let Some(party) = self.planners.get(&at) {
                    party.signal(Signal::STOP);
                }
            }
            Act::ThawPlanner(at) => {
                if let Some(party) = self.planners.get(&at) {
                    party.signal(Signal::CONT);
                }
            }
        }
        Ok(())
    }

    fn kill_planner(&mut self, at: usize) {
        self.planners.remove(&at);
        self.doors.lock().into_iter().for_each(|mut doors| doors[at] = None);
    }

    /// Who says of itself that it leads.
    fn leader(&self) -> Option<usize> {
        let doors = self.doors.lock().map(|doors| doors.clone()).unwrap_or_default();
        let leads = |door: &Option<SocketAddr>| door.is_some_and(ask::leads);
        doors.iter().position(leads)
    }

    fn operators(&self) -> Option<Operator> {
        let day = self.play.day;
        let servers = day
            .slots
            .iter()
            .filter(|slot| !slot.later)
            .map(|slot| (self.listens[&format!("door {}", slot.name)].to_string(), slot.name.clone()));
        let work = || Work {
            clock: self.clock,
            bell: self.bell.clone(),
            doors: self.doors.clone(),
            servers: servers.collect(),
            routes: day.routes.iter().map(|route| route.name.clone()).collect(),
            seed: self.play.seed,
            stays: duration(day.contract.drain_grace) + Duration::from_millis(1_500),
            ignored: self.play.plant == Some(Plant::IgnoredOrder),
            shared: day.sharing,
        };
        (day.agreed && !self.play.planners_off).then(|| Operator::start(work()))
    }

    /// Ends all parties and gives the rows that were rung.
    fn finish(&mut self) -> Vec<Row> {
        self.planners.clear();
        self.proxies.clear();
        while let Ok(rung) = self.rungs.try_recv() {
            self.heard(rung);
        }
        std::mem::take(&mut self.rows)
    }
}
