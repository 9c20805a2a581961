//! The cluster day: several planners as processes of the program, their links through a relay, faults by seed, and
//! operators that give orders and read all the time.

pub mod drill;
pub mod duties;
mod held;
pub mod judge;
pub mod links;
pub mod measure;
mod operators;
pub mod receiver;
pub mod shares;

use crate::ask;
use crate::bell::{Bell, Rung};
use judge::{judge, Breach, Done, Op};
use links::{Links, Sightings};
use operators::{operate, order, read};
use pewtergap_reactor::{Clock, Handle, NodeId, Reactor};
use receiver::{judge_books, Ledger};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::Receiver;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const CEILING: Duration = Duration::from_secs(60);
const KEYS: usize = 6;
const OPERATORS: usize = 3;
/// Between two calls of an operator.
const PAUSE: u64 = 40;

/// What the audit has to find: wrong answers put into the recording where the program would have given right ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// An order that was answered as kept is not there afterwards.
    LostOrder,
    /// A fresh read tells what was so before.
    StaleRead,
    /// Two orders have one number.
    NumberTwice,
    /// A member whose disk was lost votes again as its old self.
    VoteAfterWipe,
    /// The receiver takes in what comes under a lower number; takes a period twice; a holder goes on after its lease.
    NoFence,
    SentTwice,
    GoesOn,
    /// Parts of a budget that a dead planner had are free at once; a part that is handed on is there at both ends.
    FreedAtOnce,
    BothEnds,
}

pub const PLANTED: &[(&str, Planted)] = &[
    ("lost-order", Planted::LostOrder),
    ("stale-read", Planted::StaleRead),
    ("number-twice", Planted::NumberTwice),
    ("vote-after-wipe", Planted::VoteAfterWipe),
    ("no-fence", Planted::NoFence),
    ("sent-twice", Planted::SentTwice),
    ("goes-on", Planted::GoesOn),
    ("freed-at-once", Planted::FreedAtOnce),
    ("both-ends", Planted::BothEnds),
];

/// What strikes. Each day has some of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Trouble {
    Kill,
    Terminate,
    Stop,
    Isolate,
    /// One direction of one pair.
    OneWay,
    /// A member is heard by none, or hears none.
    Mute,
    Deaf,
    /// Only neighbours hear each other.
    Chain,
    Slow,
    Reset,
    Wipe,
    OldCopy,
    Damage,
    /// Another member is added, and the leader killed while it learns.
    Join,
}

use Trouble::*;
const ALL: [Trouble; 13] =
    [Kill, Terminate, Stop, Isolate, OneWay, Mute, Deaf, Chain, Slow, Reset, Wipe, OldCopy, Damage];

#[derive(Clone)]
pub struct ClusterDay<'a> {
    pub program: &'a Path,
    pub dir: PathBuf,
    pub members: usize,
    /// So many of them found the cluster; the others are added by `Join`.
    pub founders: usize,
    pub seed: u64,
    pub strikes: usize,
    /// Only these, where any are named.
    pub only: Vec<Trouble>,
    pub planted: Option<Planted>,
    /// The newest format that all may speak at first.
    pub format: Option<u32>,
    /// Duties are held, and the books go to a receiver: so many slices of probes.
    pub duties: Option<usize>,
    /// Members share what they see, and a budget's parts.
    pub sharing: bool,
    /// But for this one, as long as it is not started again with other settings.
    pub shares_nothing: Option<usize>,
}

#[derive(Debug)]
pub struct Came {
    pub breaches: Vec<Breach>,
    pub troubles: Vec<String>,
    pub kept: usize,
    pub refused: usize,
    pub unknown: usize,
    pub fresh: usize,
    pub not_fresh: usize,
    pub sightings: usize,
    /// What members said of their part of a budget.
    pub said: usize,
    /// From a kill of the leader to the next kept order, in milliseconds.
    pub handed_ms: Vec<u64>,
}

struct Running {
    child: Child,
    stopped: bool,
}

struct Shared {
    admin: Mutex<Vec<Option<SocketAddr>>>,
    ops: Mutex<Vec<Op>>,
    over: AtomicBool,
    values: AtomicU64,
}

pub struct Director<'a> {
    day: &'a ClusterDay<'a>,
    shared: Arc<Shared>,
    clock: Clock,
    relay: (Handle, NodeId),
    rungs: Receiver<Rung>,
    bell: Bell,
    listens: HashMap<String, SocketAddr>,
    running: Vec<Option<Running>>,
    rng: fastrand::Rng,
    troubles: Vec<String>,
    copies: BTreeMap<usize, Vec<u8>>,
    /// The newest format a member may speak, and how many blocks a file of its may have.
    formats: Vec<Option<u32>>,
    most_blocks: Vec<Option<u64>>,
    leases: Vec<u64>,
    sightings: Sightings,
    /// Bytes on members' links by who dialled, and words.
    passed: (links::Passed, Arc<AtomicU64>),
    said: shares::Sayings,
    shares_nothing: Option<usize>,
    receiver: Option<NodeId>,
    ledger: Ledger,
    /// Members that run in this process, to be held where no signal can.
    threads: BTreeMap<usize, (Handle, NodeId, JoinHandle<()>)>,
    /// Members that belong now.
    belong: usize,
}

fn name(at: usize) -> String {
    format!("m{}", at + 1)
}

fn record_file(dir: &Path, at: usize) -> PathBuf {
    dir.join(name(at)).join(format!("{}.record", name(at)))
}

/// The relay's thread and the director, until dropped.
pub struct Started<'a> {
    pub director: Director<'a>,
    sightings: Sightings,
    handle: Handle,
    thread: Option<JoinHandle<()>>,
}

impl<'a> Started<'a> {
    pub fn new(day: &'a ClusterDay<'a>) -> Result<Started<'a>, String> {
        let told = |e: std::io::Error| e.to_string();
        let _ = std::fs::remove_dir_all(&day.dir);
        std::fs::create_dir_all(&day.dir).map_err(told)?;
        let clock = Clock::default();
        let (bell, rungs) = Bell::new();
        let sightings: Sightings = Arc::default();
        let mut reactor = Reactor::new(clock, 16 * 1024 * 1024, day.dir.clone()).map_err(told)?;
        let links = Links::new(day.members, bell.clone(), sightings.clone());
        let passed = (links.passed(), links.words.clone());
        let relay = reactor.add(Box::new(links));
        let ledger = Ledger::default();
        let receiver = receiver::Receiver::new(bell.clone(), ledger.clone());
        let receiver = day.duties.is_some().then(|| reactor.add(Box::new(receiver)));
        let handle = reactor.handle();
        let thread = std::thread::spawn(move || drop(reactor.run()));
        let shared = Arc::new(Shared {
            admin: Mutex::new(vec![None; day.members]),
            ops: Mutex::default(),
            over: AtomicBool::new(false),
            values: AtomicU64::new(0),
        });
        let director = Director {
            day,
            shared,
            clock,
            relay: (handle.clone(), relay),
            rungs,
            bell,
            listens: HashMap::new(),
            running: (0..day.members).map(|_| None).collect(),
            rng: fastrand::Rng::with_seed(day.seed),
            troubles: Vec::new(),
            copies: BTreeMap::new(),
            formats: vec![day.format; day.members],
            most_blocks: vec![None; day.members],
            leases: vec![duties::LEASE_MS; day.members],
            sightings: sightings.clone(),
            passed,
            said: shares::Sayings::default(),
            shares_nothing: day.shares_nothing,
            receiver,
            ledger,
            threads: BTreeMap::new(),
            belong: day.founders,
        };
        Ok(Started { director, sightings, handle, thread: Some(thread) })
    }
}

impl Drop for Started<'_> {
    fn drop(&mut self) {
        self.director.shared.over.store(true, Ordering::SeqCst);
        (0..self.director.running.len()).for_each(|at| self.director.end(at, Signal::KILL));
        self.handle.shut_down();
        self.thread.take().map(JoinHandle::join);
    }
}

/// Plays a day; an error says why it could not be played.
pub fn play(day: &ClusterDay) -> Result<Came, String> {
    play_with(day, |director| director.strikes())
}

/// Plays a day of which this is the middle: all are up before, and whole again after it.
pub fn play_with(
    day: &ClusterDay,
    middle: impl FnOnce(&mut Director) -> Result<Vec<u64>, String>,
) -> Result<Came, String> {
    let mut started = Started::new(day)?;
    let handed_ms = started.director.run(middle)?;
    let troubles = std::mem::take(&mut started.director.troubles);
    let (shared, sightings) = (started.director.shared.clone(), started.sightings.clone());
    let ledger = started.director.ledger.clone();
    let said = started.director.said.clone();
    drop(started);
    let mut ops = shared.ops.lock().map_err(|_| "an operator failed")?.clone();
    let mut seen = sightings.lock().map_err(|_| "the relay failed")?.clone();
    plant(day.planted, &mut ops, &mut seen);
    let mut ledger = ledger.lock().map_err(|_| "the receiver failed")?.clone();
    plant_books(day.planted, &mut ledger);
    let mut breaches = judge(&ops, &seen);
    breaches.extend(judge_books(&ledger));
    let mut said = said.lock().map_err(|_| "a listener failed")?.clone();
    plant_shares(day.planted, &mut said);
    breaches.extend(shares::judge_shares(&said, shares::lingers()));
    let count = |fits: fn(&Op) -> bool| ops.iter().filter(|op| fits(op)).count();
    Ok(Came {
        breaches,
        troubles,
        kept: count(|op| matches!(op.done, Done::Kept(_))),
        refused: count(|op| op.order.is_some() && op.done == Done::Not),
        unknown: count(|op| op.done == Done::Unknown),
        fresh: count(|op| matches!(op.done, Done::Found(_))),
        not_fresh: count(|op| op.done == Done::Nothing),
        sightings: seen.len(),
        said: said.len(),
        handed_ms,
    })
}

fn plant_books(planted: Option<Planted>, ledger: &mut Vec<receiver::Sent>) {
    use receiver::Became;
    let Some(first) = ledger.first().cloned() else { return };
    let Some(last) = ledger.last().cloned() else { return };
    match planted {
        Some(Planted::NoFence) => ledger.push(receiver::Sent { number: first.number - 1, ..last }),
        Some(Planted::SentTwice) => ledger.push(receiver::Sent { became: Became::Taken, ..last }),
        Some(Planted::GoesOn) => {
            let late = receiver::Sent { became: Became::Fenced, number: first.number, ..last };
            ledger.extend([late.clone(), late]);
        }
        _ => {}
    }
}

/// Whoever handed a part on says that it has it for a while longer, as the other already does.
fn plant_shares(planted: Option<Planted>, said: &mut Vec<shares::Said>) {
    if planted != Some(Planted::BothEnds) {
        return;
    }
    let Some(last) = said.iter().rev().find(|one| one.units > 0).cloned() else { return };
    let other = said.iter().rev().find(|one| one.disk != last.disk).map(|one| one.disk.clone());
    let units = pewtergap_shares::TOTAL_UNITS - last.units + 1;
    said.extend(other.map(|disk| shares::Said { disk, units, ..last }));
}

/// What a wrong program would have left in the recording.
fn plant(planted: Option<Planted>, ops: &mut [Op], seen: &mut Vec<(pewtergap_time::Moment, links::Seen)>) {
    use links::Seen;
    match planted {
        None
        | Some(Planted::NoFence | Planted::SentTwice | Planted::GoesOn)
        | Some(Planted::FreedAtOnce | Planted::BothEnds) => {}
        Some(Planted::LostOrder) => {
            // The last order on a key, and all reads from then on do without it.
            let last = ops.iter().filter(|op| matches!(op.done, Done::Kept(_))).max_by_key(|op| op.called);
            let Some((key, value)) = last.and_then(|op| op.order) else { return };
            for op in ops.iter_mut() {
                if let Done::Found(found) = &mut op.done {
                    if found.get(&key) == Some(&value) {
                        found.remove(&key);
                    }
                }
            }
        }
        Some(Planted::StaleRead) => {
            let mut reads: Vec<&mut Op> =
                ops.iter_mut().filter(|op| matches!(op.done, Done::Found(_))).collect();
            reads.sort_by_key(|op| op.called);
            let old = reads[reads.len() / 4].done.clone();
            if let Some(last) = reads.last_mut() {
                last.done = old;
            }
        }
        Some(Planted::NumberTwice) => {
            let number = ops.iter().find_map(|op| if let Done::Kept(n) = op.done { Some(n) } else { None });
            let other = ops.iter_mut().rev().find(|op| matches!(op.done, Done::Kept(_)));
            if let (Some(other), Some(number)) = (other, number) {
                other.done = Done::Kept(number);
            }
        }
        Some(Planted::VoteAfterWipe) => {
            let hello = seen.iter().rev().find_map(|seen| match &seen.1 {
                Seen::Hello { id, start, .. } if *start > 1 => Some((seen.0, *id)),
                _ => None,
            });
            if let Some((at, by)) = hello {
                seen.push((at, Seen::Vote { by, start: 1, term: u64::MAX, to: 1 }));
            }
        }
    }
}

impl Director<'_> {
    /// All members run, know each other and give fresh reads.
    pub fn bring_up(&mut self) -> Result<(), String> {
        let count = self.day.members;
        for from in 0..count {
            for to in 0..count {
                self.wait(&Links::door_name(from, to))?;
            }
        }
        if self.receiver.is_some() {
            self.wait("receiver")?;
        }
        (0..self.belong).try_for_each(|at| self.start(at))?;
        (0..self.belong).try_for_each(|at| self.wait_up(at))?;
        self.wait_all_fresh()
    }

    fn run(
        &mut self,
        middle: impl FnOnce(&mut Self) -> Result<Vec<u64>, String>,
    ) -> Result<Vec<u64>, String> {
        self.bring_up()?;
        let operators: Vec<_> = (0..OPERATORS)
            .map(|at| {
                let (shared, clock) = (self.shared.clone(), self.clock);
                let rng = fastrand::Rng::with_seed(self.day.seed * 31 + at as u64);
                std::thread::spawn(move || operate(&shared, clock, rng))
            })
            .collect();
        let listeners: Vec<_> = (0..self.day.members * usize::from(self.day.sharing))
            .map(|at| shares::listen(self.shared.clone(), self.clock, at, self.said.clone()))
            .collect();
        let handed = middle(self)?;
        self.tell("open-all".into());
        for at in 0..self.belong {
            self.go_on(at);
            if self.running[at].is_none() {
                self.start(at)?;
                self.wait_up(at)?;
            }
        }
        self.wait_all_fresh()?;
        self.shared.over.store(true, Ordering::SeqCst);
        for operator in operators {
            operator.join().map_err(|_| "an operator failed")?;
        }
        for listener in listeners {
            listener.join().map_err(|_| "a listener failed")?;
        }
        // Read once more at each: what was kept is there.
        for at in 0..self.belong {
            let op = read(&self.shared, self.clock, at);
            self.shared.ops.lock().map_err(|_| "an operator failed")?.push(op);
        }
        Ok(handed)
    }

    fn strikes(&mut self) -> Result<Vec<u64>, String> {
        let some: Vec<Trouble> = match self.day.only.is_empty() {
            true => ALL.into_iter().filter(|_| self.rng.bool()).collect(),
            false => self.day.only.clone(),
        };
        let some = if some.is_empty() { vec![Kill] } else { some };
        let mut handed = Vec::new();
        for _ in 0..self.day.strikes {
            self.rest(100, 500);
            let trouble = some[self.rng.usize(0..some.len())];
            handed.extend(self.strike(trouble)?);
        }
        Ok(handed)
    }

    fn tell(&self, word: String) {
        self.relay.0.send_command(self.relay.1, word);
    }

    fn rest(&mut self, least: u64, most: u64) {
        std::thread::sleep(Duration::from_millis(self.rng.u64(least..most)));
    }

    fn wait(&mut self, what: &str) -> Result<SocketAddr, String> {
        let end = Instant::now() + CEILING;
        loop {
            if let Some(at) = self.listens.get(what) {
                return Ok(*at);
            }
            match self.rungs.recv_timeout(end.saturating_duration_since(Instant::now())) {
                Ok(Rung::Listens(name, at)) => drop(self.listens.insert(name, at)),
                Ok(Rung::Failed(why)) => return Err(why),
                Ok(_) => {}
                Err(_) => return Err(format!("waited {} s for {what}", CEILING.as_secs())),
            }
        }
    }

    fn rules(&self) -> String {
        let ms = |span: pewtergap_time::Span| span.0 / 1_000_000;
        match (self.day.sharing, self.day.planted) {
            (false, _) => "drain_grace = \"5s\", cold_for = \"20s\"".into(),
            // What it caused is over at once, for all it knows.
            (_, Some(Planted::FreedAtOnce)) => "drain_grace = \"280ms\", cold_for = \"1ms\"".into(),
            _ => format!(
                "drain_grace = \"{}ms\", cold_for = \"{}ms\"",
                ms(shares::GRACE),
                ms(shares::COLD_FOR)
            ),
        }
    }

    fn text(&self, at: usize) -> String {
        let names: Vec<String> = (0..self.day.founders).map(name).collect();
        let more = self.formats[at].map(|format| format!(", format = {format}")).unwrap_or_default();
        format!(
            "service(\n    name = \"{}\", zones = [\"z\"], listen = \"127.0.0.1:0\", admin = \"127.0.0.1:0\",\n    \
             list = list_file(\"servers.json\"), state_dir = \"{}\",\n    \
             routes = [route(\"r\", slo_time = \"400ms\", time_limit = \"2s\", repeats = \"repeatable\")],\n    \
             fleet = fleet(proxies = 4, planners = {}),\n    \
             channel = channel(lines_per_s = 2000, most_waiting = 4000),\n    \
             rules = rules({}),\n    \
             {})\n",
            name(at),
            self.day.dir.join(name(at)).display(),
            self.day.members,
            self.rules(),
            Links::settings(&self.listens, at, &names, &more) + &self.duties_text(at)
        )
    }

    fn duties_text(&self, at: usize) -> String {
        let (Some(receiver), Some(slices)) = (self.listens.get("receiver"), self.day.duties) else {
            return String::new();
        };
        let (settings, period) = (duties::settings(slices, self.leases[at]), duties::PERIOD);
        let shares = self.day.sharing && self.shares_nothing != Some(at);
        let sharing = if shares { format!("    {},\n", shares::settings()) } else { String::new() };
        format!("    {settings}, books = books(receiver = \"{receiver}\", period = \"{period}\"),\n{sharing}")
    }

    fn start(&mut self, at: usize) -> Result<(), String> {
        let told = |e: std::io::Error| e.to_string();
        let home = self.day.dir.join(name(at));
        std::fs::create_dir_all(&home).map_err(told)?;
        std::fs::write(home.join("servers.json"), "").map_err(told)?;
        let settings = self.day.dir.join(format!("{}.star", name(at)));
        std::fs::write(&settings, self.text(at)).map_err(told)?;
        let log = File::options()
            .append(true)
            .create(true)
            .open(self.day.dir.join(format!("{}.log", name(at))))
            .map_err(told)?;
        let mut command = match self.most_blocks[at] {
            None => Command::new(self.day.program),
            // A disk that is full, for this process alone: what passes the limit is refused.
            Some(most) => {
                let mut command = Command::new("/bin/sh");
                let script = format!("trap '' XFSZ; ulimit -f {most}; exec \"$0\" \"$@\"");
                command.arg("-c").arg(script).arg(self.day.program);
                command
            }
        };
        let mut child = command
            .arg("run")
            .arg(&settings)
            .arg("--announce")
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .map_err(told)?;
        let (bell, me) = (self.bell.clone(), name(at));
        self.listens.remove(&format!("{me} admin"));
        self.listens.remove(&format!("{me} members"));
        let (shared, relay) = (self.shared.clone(), self.relay.clone());
        if let Some(out) = child.stdout.take() {
            std::thread::spawn(move || {
                for line in BufReader::new(out).lines().map_while(Result::ok) {
                    let words: Vec<&str> = line.split_whitespace().collect();
                    let ["listening", door @ ("members" | "admin"), heard] = words.as_slice() else {
                        continue;
                    };
                    let Ok(heard) = heard.parse::<SocketAddr>() else { continue };
                    if *door == "admin" {
                        shared.admin.lock().into_iter().for_each(|mut known| known[at] = Some(heard));
                    } else {
                        relay.0.send_command(relay.1, format!("target {at} {heard}"));
                    }
                    bell.listens(&format!("{me} {door}"), heard);
                }
            });
        }
        self.running[at] = Some(Running { child, stopped: false });
        Ok(())
    }

    /// The same planner in this process.
    fn start_here(&mut self, at: usize) -> Result<(), String> {
        let home = self.day.dir.join(name(at));
        let file = pewtergap_settings::run(&name(at), &self.text(at))
            .and_then(|script| pewtergap_settings::service_file(&script))
            .map_err(|faults| faults.to_string())?;
        let mut reactor = Reactor::new(self.clock, 16 * 1024 * 1024, home).map_err(|e| e.to_string())?;
        let (bell, shared, relay, me) =
            (self.bell.clone(), self.shared.clone(), self.relay.clone(), name(at));
        for door in ["admin", "members", "held"] {
            self.listens.remove(&format!("{me} {door}"));
        }
        let announce = move |door: &str, heard: SocketAddr| {
            match door {
                "admin" => shared.admin.lock().into_iter().for_each(|mut known| known[at] = Some(heard)),
                "members" => drop(relay.0.send_command(relay.1, format!("target {at} {heard}"))),
                _ => {}
            }
            bell.listens(&format!("{me} {door}"), heard);
        };
        let planner = Box::new(file.planner(self.clock.now(), self.day.seed + at as u64));
        let place = reactor.add(Box::new(held::Held::new(planner, Box::new(announce))));
        let handle = reactor.handle();
        let thread = std::thread::spawn(move || drop(reactor.run()));
        self.threads.insert(at, (handle, place, thread));
        Ok(())
    }

    fn wait_up(&mut self, at: usize) -> Result<(), String> {
        self.wait(&format!("{} admin", name(at))).map(drop)
    }

    /// Every member gives a fresh read, and everybody who belongs has a vote.
    fn wait_all_fresh(&mut self) -> Result<(), String> {
        let end = Instant::now() + CEILING;
        for at in 0..self.belong {
            loop {
                let whole = self.admin(at).and_then(|admin| ask::call(admin, "GET", "/members", None).ok());
                let votes = |view: &Value| {
                    let list = view["members"].as_array().cloned().unwrap_or_default();
                    list.len() == self.belong && list.iter().all(|m| m["votes"] == json!(true))
                };
                let whole = whole.and_then(|(_, text)| serde_json::from_str::<Value>(&text).ok());
                let fresh = matches!(read(&self.shared, self.clock, at).done, Done::Found(_));
                if fresh && whole.as_ref().is_some_and(votes) {
                    break;
                }
                if Instant::now() > end {
                    return Err(format!("{} is not whole again: {whole:?}", name(at)));
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }

    fn admin(&self, at: usize) -> Option<SocketAddr> {
        self.shared.admin.lock().ok()?[at]
    }

    fn signal(&mut self, at: usize, signal: Signal) {
        if let Some(running) = &mut self.running[at] {
            let _ = kill_process(Pid::from_child(&running.child), signal);
            running.stopped = signal == Signal::STOP;
        }
    }

    fn go_on(&mut self, at: usize) {
        if self.running[at].as_ref().is_some_and(|running| running.stopped) {
            self.signal(at, Signal::CONT);
        }
    }

    fn end(&mut self, at: usize, signal: Signal) {
        if let Some((handle, _, thread)) = self.threads.remove(&at) {
            handle.shut_down();
            let _ = thread.join();
        }
        self.go_on(at);
        self.signal(at, signal);
        if let Some(mut running) = self.running[at].take() {
            let _ = running.child.wait();
        }
        self.shared.admin.lock().into_iter().for_each(|mut admin| admin[at] = None);
    }

    fn leader(&self) -> Option<usize> {
        let leads = |at: &usize| self.admin(*at).is_some_and(ask::leads);
        (0..self.day.members).filter(|at| self.running[*at].as_ref().is_some_and(|r| !r.stopped)).find(leads)
    }

    /// From now until an order that is given afterwards is kept.
    fn until_kept(&mut self) -> Result<u64, String> {
        let (begin, end) = (Instant::now(), Instant::now() + CEILING);
        loop {
            for at in 0..self.day.members {
                if self.running[at].as_ref().is_some_and(|running| !running.stopped)
                    && self.admin(at).is_some()
                {
                    let op = order(&self.shared, self.clock, at, self.rng.usize(0..KEYS));
                    let kept = matches!(op.done, Done::Kept(_));
                    self.shared.ops.lock().map_err(|_| "an operator failed")?.push(op);
                    if kept {
                        return Ok(begin.elapsed().as_millis() as u64);
                    }
                }
            }
            if Instant::now() > end {
                return Err("no order was kept any more".into());
            }
        }
    }

    fn strike(&mut self, trouble: Trouble) -> Result<Option<u64>, String> {
        let count = self.belong;
        let leader = self.leader();
        let one = match (self.rng.bool(), leader) {
            (true, Some(leader)) => leader,
            _ => self.rng.usize(0..count),
        };
        let other = (one + self.rng.usize(1..count.max(2))) % count;
        self.troubles.push(format!(
            "{trouble:?} {}{}",
            name(one),
            if leader == Some(one) { " (leader)" } else { "" }
        ));
        let others: Vec<usize> = (0..count).filter(|at| *at != one).collect();
        match trouble {
            Kill => {
                self.end(one, Signal::KILL);
                let handed = if leader == Some(one) { Some(self.until_kept()?) } else { None };
                self.rest(50, 900);
                self.start(one)?;
                self.wait_up(one)?;
                return Ok(handed);
            }
            Terminate => {
                self.end(one, Signal::TERM);
                self.rest(10, 300);
                self.start(one)?;
                self.wait_up(one)?;
            }
            Stop => {
                self.signal(one, Signal::STOP);
                self.rest(100, 2_000);
                self.signal(one, Signal::CONT);
            }
            Isolate | Mute | Deaf => {
                for other in others {
                    if trouble != Deaf {
                        self.tell(format!("cut {one} {other}"));
                    }
                    if trouble != Mute {
                        self.tell(format!("cut {other} {one}"));
                    }
                }
                self.rest(300, 1_800);
                self.tell("open-all".into());
            }
            OneWay => {
                self.tell(format!("cut {one} {other}"));
                self.rest(300, 1_500);
                self.tell(format!("open {one} {other}"));
            }
            Chain => {
                for from in 0..count {
                    for to in (0..count).filter(|to| from.abs_diff(*to) > 1) {
                        self.tell(format!("cut {from} {to}"));
                    }
                }
                self.rest(500, 2_000);
                self.tell("open-all".into());
            }
            Slow => {
                for other in others {
                    let delay = self.rng.u64(5..80);
                    self.tell(format!("slow {one} {other} {delay}"));
                }
            }
            Reset => {
                for other in others {
                    self.tell(format!("reset {one} {other}"));
                    self.tell(format!("reset {other} {one}"));
                }
            }
            Join => return self.join(leader).map(|()| None),
            Wipe | OldCopy | Damage => return self.lose_disk(trouble, one).map(|()| None),
        }
        Ok(None)
    }

    fn join(&mut self, leader: Option<usize>) -> Result<(), String> {
        let at = self.belong;
        if at >= self.day.members {
            return Ok(());
        }
        let door = self.listens[&Links::door_name(at, at)];
        let body = json!({ "name": name(at), "at": door.to_string() }).to_string();
        let end = Instant::now() + CEILING;
        while !(0..at).filter_map(|known| self.admin(known)).any(|admin| {
            ask::call(admin, "POST", "/members", Some(&body)).is_ok_and(|answer| answer.0 == 200)
        }) {
            if Instant::now() > end {
                return Err(format!("{} could not be added", name(at)));
            }
        }
        self.belong += 1;
        self.start(at)?;
        if let Some(leader) = leader {
            self.end(leader, Signal::KILL);
            self.until_kept()?;
            self.start(leader)?;
            self.wait_up(leader)?;
        }
        self.wait_up(at)?;
        self.wait_all_fresh()
    }

    /// A disk is lost, put back from an older copy, or damaged: no more of them at a time than a majority bears.
    fn lose_disk(&mut self, trouble: Trouble, one: usize) -> Result<(), String> {
        self.tell("open-all".into());
        for at in 0..self.day.members {
            self.go_on(at);
        }
        self.wait_all_fresh()?;
        let path = record_file(&self.day.dir, one);
        let told = |e: std::io::Error| format!("{}: {e}", path.display());
        if trouble == OldCopy {
            let bytes = std::fs::read(&path).map_err(told)?;
            self.copies.insert(one, bytes);
            self.until_kept()?;
        }
        self.end(one, Signal::KILL);
        match (trouble, self.copies.remove(&one)) {
            (Wipe, _) => std::fs::remove_file(&path).map_err(told)?,
            (OldCopy, Some(bytes)) => std::fs::write(&path, bytes).map_err(told)?,
            _ => {
                let mut bytes = std::fs::read(&path).map_err(told)?;
                let at = self.rng.usize(8..bytes.len().max(9));
                if let Some(byte) = bytes.get_mut(at) {
                    *byte ^= 1 << self.rng.u32(0..8);
                }
                std::fs::write(&path, bytes).map_err(told)?;
            }
        }
        self.rest(50, 500);
        self.start(one)?;
        self.wait_up(one)?;
        self.wait_all_fresh()
    }
}
