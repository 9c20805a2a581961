//! Who takes part in a scale run: control machines and real planners with proxies as processes, a list and servers that
//! stand in, the relay between control machines, hollow planners.

use crate::crowd::Crowds;
use crate::deaf::Deaf;
use crate::hollow::Spec;
use crate::orders::{server, ROUTES};
use crate::reckon::Size;
use crate::sample::{Role, Sampler};
use pewtergap_lab::ask;
use pewtergap_lab::bell::{Bell, Rung};
use pewtergap_lab::cluster::links::{Links, Passed, Sightings};
use pewtergap_lab::list::List;
use pewtergap_lab::process::Process;
use pewtergap_lab::server::{Machine as Hardware, Server};
use pewtergap_reactor::{Clock, Handle, NodeId, Reactor};
use pewtergap_time::Span;
use rustix::process::Signal;
use serde_json::Value;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::mpsc::Receiver;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Nothing that is waited for takes longer unless it has failed.
pub const CEILING: Duration = Duration::from_secs(90);
const LOOK: Duration = Duration::from_millis(20);
const SERVERS: usize = 4;
const MOST_UNWRITTEN: usize = 16 * 1024 * 1024;
/// Servers of the fleet for each planner: 34,000 before 3,800.
pub const SERVERS_EACH: usize = 9;

pub struct Machine {
    pub name: String,
    pub region: usize,
    pub admin: SocketAddr,
    pub watches: SocketAddr,
    process: Option<Process>,
}

impl Machine {
    pub fn runs(&self) -> bool {
        self.process.is_some()
    }

    pub fn signal(&self, signal: Signal) {
        self.process.iter().for_each(|process| process.signal(signal));
    }
}

struct Real {
    name: String,
    admin: SocketAddr,
    proxies: SocketAddr,
    /// The highest place that it told; a restart begins from its disk, and what it said before stays said.
    told: u64,
    process: Option<Process>,
}

/// All of it; ended when dropped.
pub struct Parties<'a> {
    program: &'a Path,
    dir: PathBuf,
    pub size: Size,
    pub clock: Clock,
    pub sampler: Sampler,
    pub machines: Vec<Machine>,
    reals: Vec<Real>,
    proxies: Vec<Process>,
    pub crowds: Crowds,
    relay: (Handle, NodeId),
    /// Between real planners and control machines, and what passed there.
    watches: NodeId,
    passed: Passed,
    /// What passed between control machines.
    between: Passed,
    list: NodeId,
    deaf: NodeId,
    listens: HashMap<String, SocketAddr>,
    rungs: Receiver<Rung>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for Parties<'_> {
    fn drop(&mut self) {
        self.machines.iter().for_each(|machine| machine.signal(Signal::CONT));
        self.relay.0.shut_down();
        self.thread.take().map(JoinHandle::join);
    }
}

fn machine_name(at: usize) -> String {
    format!("c{}", at + 1)
}

impl<'a> Parties<'a> {
    /// Control machines and stand-ins are up and agree; planners are yet to be started.
    ///
    /// # Errors
    /// What could not be started, or did not come up in time.
    pub fn start(program: &'a Path, dir: PathBuf, size: Size, memory: u64) -> Result<Parties<'a>, String> {
        let told = |e: std::io::Error| format!("{}: {e}", dir.display());
        std::fs::create_dir_all(&dir).map_err(told)?;
        let (clock, sampler) = (Clock::default(), Sampler::new(memory));
        let (bell, rungs) = Bell::new();
        let mut reactor = Reactor::new(clock, MOST_UNWRITTEN, dir.clone()).map_err(told)?;
        // Nobody audits votes here: to read a burst's rosters, some 200,000 rows a second, held the members' words up.
        let relay = Links::between(size.control, size.control, "link", bell.clone(), Sightings::default());
        let between = relay.passed();
        let relay = reactor.add(Box::new(relay));
        let real = size.real.min(size.planners);
        let watches = Links::between(real, size.control, "watch", bell.clone(), Sightings::default());
        let passed = watches.passed();
        let watches = reactor.add(Box::new(watches));
        let list = reactor.add(Box::new(List::new(bell.clone())));
        let hardware = Hardware {
            cores: 4,
            speed: 1.0,
            queue: 64,
            most_conns: 1_024,
            cold_from: 1.0,
            cold_for: Span::millis(1),
        };
        for nth in 0..SERVERS {
            let stand_in = Server::new(format!("server {nth}"), hardware, true, bell.clone());
            reactor.add(Box::new(stand_in));
        }
        let deaf = reactor.add(Box::new(Deaf::default()));
        let relay = (reactor.handle(), relay);
        let thread = Some(std::thread::spawn(move || drop(reactor.run())));
        let mut parties = Parties {
            program,
            dir,
            size,
            clock,
            sampler,
            machines: Vec::new(),
            reals: Vec::new(),
            proxies: Vec::new(),
            crowds: Crowds::none(),
            relay,
            watches,
            passed,
            between,
            list,
            deaf,
            listens: HashMap::new(),
            rungs,
            thread,
        };
        for from in 0..size.control {
            for to in 0..size.control {
                parties.listening(&Links::door_name(from, to))?;
            }
        }
        for nth in 0..real * size.control {
            parties.listening(&format!("watch {} {}", nth / size.control, nth % size.control))?;
        }
        parties.listening("list")?;
        for nth in 0..SERVERS {
            parties.listening(&format!("server {nth}"))?;
        }
        for at in 0..size.control {
            let (name, region) = (machine_name(at), at % size.regions);
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            parties.machines.push(Machine { name, region, admin: any, watches: any, process: None });
            parties.start_machine(at)?;
        }
        (0..size.control).try_for_each(|at| parties.wait_fresh(at))?;
        Ok(parties)
    }

    fn listening(&mut self, what: &str) -> Result<SocketAddr, String> {
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

    // ---- control machines

    /// Voters are founders; all others observe. It listens where it did before, if it did.
    fn machine_text(&self, at: usize) -> String {
        let machine = &self.machines[at];
        let address = |to: usize| self.listens[&Links::door_name(at, to)];
        let member = |to: usize| format!("member(\"{}\", address = \"{}\")", machine_name(to), address(to));
        let (voters, all) = (self.size.voters(), self.size.control);
        let list = |range: std::ops::Range<usize>| range.map(member).collect::<Vec<_>>().join(", ");
        format!(
            "control_machine(name = \"{}\", state_dir = \"{}\", admin = \"{}\",\n    \
             cluster = cluster(listen = \"127.0.0.1:0\", members = [{}], observers = [{}]),\n    \
             watches = watches(listen = \"{}\"))\n",
            machine.name,
            self.dir.join(&machine.name).display(),
            machine.admin,
            list(0..voters),
            list(voters..all),
            machine.watches,
        )
    }

    /// # Errors
    /// It did not start.
    pub fn start_machine(&mut self, at: usize) -> Result<(), String> {
        let home = self.dir.join(machine_name(at));
        std::fs::create_dir_all(&home).map_err(|e| format!("{}: {e}", home.display()))?;
        let text = self.machine_text(at);
        let (name, doors) = (machine_name(at), ["admin", "watches", "members"]);
        let (process, doors) = Process::start(self.program, &self.dir, "control", &name, &text, &doors)?;
        self.sampler.add(process.id(), Role::Control);
        self.say(format!("target {at} {}", doors["members"]));
        self.say_watches(format!("target {at} {}", doors["watches"]));
        let machine = &mut self.machines[at];
        (machine.admin, machine.watches) = (doors["admin"], doors["watches"]);
        machine.process = Some(process);
        Ok(())
    }

    pub fn kill_machine(&mut self, at: usize) {
        if let Some(process) = self.machines[at].process.take() {
            self.sampler.gone(process.id());
        }
    }

    /// To the relay between control machines.
    pub fn say(&self, word: String) {
        self.relay.0.send_command(self.relay.1, word);
    }

    /// To the relay between real planners and control machines.
    pub fn say_watches(&self, word: String) {
        self.relay.0.send_command(self.watches, word);
    }

    /// Bytes of the real planners' watches so far: to control machines, and from them.
    pub fn passed(&self) -> [u64; 2] {
        sum(&self.passed)
    }

    /// Bytes between control machines so far, all links and both ways.
    pub fn between(&self) -> u64 {
        sum(&self.between).iter().sum()
    }

    /// Until a machine gives a fresh read.
    ///
    /// # Errors
    /// It does not in time.
    pub fn wait_fresh(&self, at: usize) -> Result<(), String> {
        let end = Instant::now() + CEILING;
        loop {
            let view = get(self.machines[at].admin, "/record");
            if view["fresh"] == true {
                return Ok(());
            }
            if Instant::now() > end {
                return Err(format!("{} gives no fresh read: {view}", self.machines[at].name));
            }
            std::thread::sleep(LOOK);
        }
    }

    /// Machines that run, and whose door answers.
    pub fn admins(&self) -> Vec<SocketAddr> {
        self.machines.iter().filter(|machine| machine.runs()).map(|machine| machine.admin).collect()
    }

    /// # Errors
    /// Nobody leads in time.
    pub fn leader(&self) -> Result<usize, String> {
        let end = Instant::now() + CEILING;
        while Instant::now() < end {
            let leads = |machine: &Machine| machine.runs() && ask::leads(machine.admin);
            if let Some(at) = self.machines.iter().position(leads) {
                return Ok(at);
            }
            std::thread::sleep(LOOK);
        }
        Err("nobody leads".into())
    }

    // ---- planners

    fn addresses(&self) -> Vec<(String, SocketAddr)> {
        self.machines.iter().map(|machine| (machine.name.clone(), machine.watches)).collect()
    }

    /// Regions in turn; servers of the fleet, each in the scope of one planner or two.
    ///
    /// # Errors
    /// A process could not be started.
    pub fn start_hollow(&mut self, seed: u64) -> Result<(), String> {
        let (real, all) = (self.size.real, self.size.planners);
        let one = |nth: usize| {
            let first = nth * SERVERS_EACH;
            let servers = (first..=first + SERVERS_EACH).map(|nth| server(nth % (all * SERVERS_EACH)));
            Spec { name: format!("p{nth}"), region: nth % self.size.regions, servers: servers.collect() }
        };
        let planners = (real..all).map(one).collect();
        let machines = self.addresses();
        self.crowds = Crowds::start(self.program, &self.dir, planners, &machines, seed, &self.sampler)?;
        Ok(())
    }

    fn real_text(&self, nth: usize, admin: SocketAddr, proxies: SocketAddr) -> String {
        let machine = |(at, machine): (usize, &Machine)| {
            let door = self.listens[&format!("watch {nth} {at}")];
            format!("machine(\"{}\", address = \"{door}\")", machine.name)
        };
        let machines: Vec<String> = self.machines.iter().enumerate().map(machine).collect();
        let (name, dir) = (format!("p{nth}"), self.dir.join(format!("p{nth}")));
        format!(
            "service(name = \"{name}\", zones = [\"north\"], listen = \"{proxies}\", admin = \"{admin}\",\n    \
             list = list_watch(address = \"{}\"), state_dir = \"{}\",\n    \
             routes = [{}],\n    fleet = fleet(proxies = {}, planners = {}),\n    \
             channel = channel(lines_per_s = 10000, most_waiting = 10000),\n    \
             rules = rules(drain_grace = \"5s\", cold_for = \"2s\"),\n    \
             watch = watch(machines = [{}]))\n",
            self.listens["list"],
            dir.display(),
            routes_text(),
            self.size.proxies.max(1),
            self.size.planners,
            machines.join(", "),
        )
    }

    fn proxy_text(&self, name: &str, planner: SocketAddr) -> String {
        format!(
            "proxy(name = \"{name}\", zone = \"north\", calls_per_s = 10.0, listen = \"127.0.0.1:0\",\n    \
             planners = [\"{planner}\"], routes = [{}])\n",
            routes_text()
        )
    }

    /// Real planners with their proxies, regions in turn. Their watches pass a relay.
    ///
    /// # Errors
    /// One did not start.
    pub fn start_real(&mut self) -> Result<(), String> {
        for nth in 0..SERVERS {
            let at = self.listens[&format!("server {nth}")];
            self.relay.0.send_command(self.list, format!("put {at} north running 1 0"));
        }
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        for nth in 0..self.size.real {
            let dir = self.dir.join(format!("p{nth}"));
            std::fs::create_dir_all(&dir).map_err(|e| format!("{}: {e}", dir.display()))?;
            let name = format!("p{nth}");
            self.reals.push(Real { name, admin: any, proxies: any, told: 0, process: None });
            self.start_one_real(nth)?;
            for of in 0..self.size.proxies {
                let name = format!("x{nth}-{of}");
                let text = self.proxy_text(&name, self.reals[nth].proxies);
                let (process, _) = Process::start(self.program, &self.dir, "proxy", &name, &text, &[])?;
                self.sampler.add(process.id(), Role::Proxy);
                self.proxies.push(process);
            }
        }
        Ok(())
    }

    /// It listens where it did before, if it did.
    ///
    /// # Errors
    /// It did not start.
    pub fn start_one_real(&mut self, nth: usize) -> Result<(), String> {
        let real = &self.reals[nth];
        let text = self.real_text(nth, real.admin, real.proxies);
        let (process, doors) =
            Process::start(self.program, &self.dir, "run", &real.name, &text, &["admin", "proxies"])?;
        self.sampler.add(process.id(), Role::Planner);
        let real = &mut self.reals[nth];
        (real.admin, real.proxies) = (doors["admin"], doors["proxies"]);
        real.process = Some(process);
        Ok(())
    }

    pub fn kill_real(&mut self, nth: usize) {
        // Up to its end it may have said more than when it was asked last.
        self.real_places();
        if let Some(process) = self.reals[nth].process.take() {
            self.sampler.gone(process.id());
        }
    }

    /// What each real planner has in force, by its own word: place, and the machine it watches.
    pub fn real_places(&mut self) -> Vec<(u64, Option<String>)> {
        let one = |real: &mut Real| {
            let view = get(real.admin, "/record?stale");
            let place = view["index"].as_u64().unwrap_or(0);
            real.told = real.told.max(place);
            (place, view["watching"].as_str().map(str::to_string))
        };
        self.reals.iter_mut().map(one).collect()
    }

    /// Real planners that have had this place by now.
    pub fn real_past(&mut self, place: u64) -> u64 {
        self.real_places();
        self.reals.iter().filter(|real| real.told >= place).count() as u64
    }

    /// The watcher that reads nothing: `dial` or `leave`, at a machine.
    pub fn deaf(&self, what: &str, at: SocketAddr) {
        self.relay.0.send_command(self.deaf, format!("{what} {at}"));
    }
}

fn sum(passed: &Passed) -> [u64; 2] {
    let passed = passed.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    passed.iter().fold([0; 2], |sum, one| [sum[0] + one[0], sum[1] + one[1]])
}

fn routes_text() -> String {
    let route = |nth: usize| {
        format!("route(\"r{nth}\", slo_time = \"500ms\", time_limit = \"2s\", repeats = \"repeatable\")")
    };
    (0..ROUTES).map(route).collect::<Vec<_>>().join(", ")
}

/// What an admin door tells; nothing where it tells nothing.
pub fn get(at: SocketAddr, target: &str) -> Value {
    let answer = ask::call(at, "GET", target, None);
    let text = answer.ok().filter(|answer| answer.0 == 200).map(|answer| answer.1);
    text.and_then(|text| serde_json::from_str(&text).ok()).unwrap_or_default()
}
