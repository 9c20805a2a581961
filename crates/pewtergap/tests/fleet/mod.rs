//! Control machines, planners that watch them and a proxy, as processes of the program. Every process listens on port 0 and
//! is reached by the others through a gate of the test's, which can be shut: bytes are held, as by a network that is cut.

use pewtergap_lab::ask::call;
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Every wait is for an event; this only ends a test whose event never comes.
pub const CEILING: Duration = Duration::from_secs(40);
const PROGRAM: &str = env!("CARGO_BIN_EXE_pewtergap");

/// Looks until there is something.
pub fn until<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let begin = Instant::now();
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(begin.elapsed() < CEILING, "no {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[derive(Default)]
struct Way {
    target: Mutex<Option<SocketAddr>>,
    shut: Mutex<bool>,
    turned: Condvar,
}

/// A door of the test's before a process.
pub struct Gate {
    pub at: SocketAddr,
    way: Arc<Way>,
}

impl Gate {
    pub fn new() -> Gate {
        let door = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let (at, way) = (door.local_addr().expect("its address"), Arc::new(Way::default()));
        let ours = way.clone();
        std::thread::spawn(move || {
            for near in door.incoming().map_while(Result::ok) {
                let target = *ours.target.lock().expect("a target");
                let Some(far) = target.and_then(|target| TcpStream::connect(target).ok()) else { continue };
                let pairs = [(near.try_clone(), far.try_clone()), (Ok(far), Ok(near))];
                for (from, to) in pairs {
                    let (Ok(from), Ok(to), way) = (from, to, ours.clone()) else { continue };
                    std::thread::spawn(move || pump(from, to, &way));
                }
            }
        });
        Gate { at, way }
    }

    pub fn leads_to(&self, target: SocketAddr) {
        *self.way.target.lock().expect("a target") = Some(target);
    }

    pub fn shut(&self, shut: bool) {
        *self.way.shut.lock().expect("its state") = shut;
        self.way.turned.notify_all();
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, way: &Way) {
    let mut buffer = [0; 16 * 1024];
    loop {
        let count = from.read(&mut buffer).unwrap_or(0);
        let shut = way.shut.lock().expect("its state");
        drop(way.turned.wait_while(shut, |shut| *shut).expect("its state"));
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            let _ = to.shutdown(Shutdown::Write);
            let _ = from.shutdown(Shutdown::Read);
            return;
        }
    }
}

/// A process of the program; it ends with the test, however that ends.
pub struct Process {
    child: Child,
    log: Receiver<String>,
    seen: Vec<String>,
    doors: BTreeMap<String, SocketAddr>,
}

impl Process {
    pub fn start(verb: &str, settings: &Path, doors: &[&str]) -> Process {
        let mut child = Command::new(PROGRAM)
            .args([verb, "--announce"])
            .arg(settings)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("a process");
        let (sender, log) = channel();
        let errors = BufReader::new(child.stderr.take().expect("its log"));
        std::thread::spawn(move || {
            errors.lines().map_while(Result::ok).for_each(|line| drop(sender.send(line)));
        });
        let (sender, lines) = channel();
        let output = BufReader::new(child.stdout.take().expect("its output"));
        std::thread::spawn(move || {
            output.lines().map_while(Result::ok).for_each(|line| drop(sender.send(line)));
        });
        let mut process = Process { child, log, seen: Vec::new(), doors: BTreeMap::new() };
        while doors.iter().any(|door| !process.doors.contains_key(*door)) {
            let line = lines.recv_timeout(CEILING);
            let line = line.unwrap_or_else(|_| {
                let log: Vec<String> = process.log.try_iter().collect();
                panic!("{verb} tells of no {doors:?}:\n{}", log.join("\n"))
            });
            if let ["listening", door, at] = line.split(' ').collect::<Vec<_>>()[..] {
                process.doors.insert(door.into(), at.parse().expect("an address"));
            }
        }
        process
    }

    pub fn door(&self, name: &str) -> SocketAddr {
        self.doors[name]
    }

    /// The next line of the log that has this in it.
    pub fn line(&mut self, what: &str) -> String {
        let begin = Instant::now();
        loop {
            let line = self.log.recv_timeout(CEILING.saturating_sub(begin.elapsed()));
            let line = line.unwrap_or_else(|_| panic!("no '{what}' after:\n{}", self.seen.join("\n")));
            self.seen.push(line.clone());
            if line.contains(what) {
                return line;
            }
        }
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().expect("kill").success());
    }

    pub fn view(&self, target: &str) -> Value {
        let answer = call(self.door("admin"), "GET", target, None);
        answer.ok().and_then(|(_, text)| serde_json::from_str(&text).ok()).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Machine {
    pub name: String,
    pub members: Gate,
    pub watches: Gate,
    pub process: Option<Process>,
}

impl Machine {
    pub fn admin(&self) -> SocketAddr {
        self.up().door("admin")
    }

    pub fn up(&self) -> &Process {
        self.process.as_ref().expect("it runs")
    }
}

pub struct Fleet {
    pub dir: PathBuf,
    pub machines: Vec<Machine>,
    voters: usize,
}

impl Fleet {
    /// So many control machines that vote, and more that observe, all up and seated.
    pub fn new(test: &str, voters: usize, observers: usize) -> Fleet {
        let dir = std::env::temp_dir().join(format!("pewtergap-tier-{}-{test}", std::process::id()));
        let _ = std::fs::remove_dir_all(&dir);
        let machine = |at: usize| Machine {
            name: format!("c{}", at + 1),
            members: Gate::new(),
            watches: Gate::new(),
            process: None,
        };
        let machines = (0..voters + observers).map(machine).collect();
        let mut fleet = Fleet { dir, machines, voters };
        (0..voters + observers).for_each(|at| fleet.start(at));
        fleet.whole();
        fleet
    }

    /// A list of parts of settings, each found at the gate of its machine.
    fn found<'a>(kind: &str, gates: impl Iterator<Item = (&'a String, &'a Gate)>) -> String {
        let parts = gates.map(|(name, gate)| format!("{kind}(\"{name}\", address = \"{}\")", gate.at));
        format!("[{}]", parts.collect::<Vec<_>>().join(", "))
    }

    pub fn start(&mut self, at: usize) {
        let gates = || self.machines.iter().map(|machine| (&machine.name, &machine.members));
        let members = Fleet::found("member", gates().take(self.voters));
        let observers = Fleet::found("member", gates().skip(self.voters));
        let (name, dir) = (&self.machines[at].name, self.dir.join(&self.machines[at].name));
        std::fs::create_dir_all(&dir).expect("a folder");
        let text = format!(
            "control_machine(name = \"{name}\", state_dir = \"{}\", admin = \"127.0.0.1:0\",\n\
             watches = watches(listen = \"127.0.0.1:0\"), cluster = cluster(listen = \"127.0.0.1:0\",\n\
             election = \"300ms\", patience = \"2s\", members = {members}, observers = {observers}))\n",
            dir.display()
        );
        let file = dir.join("machine.star");
        std::fs::write(&file, text).expect("settings");
        let process = Process::start("control", &file, &["admin", "watches", "members"]);
        self.machines[at].members.leads_to(process.door("members"));
        self.machines[at].watches.leads_to(process.door("watches"));
        self.machines[at].process = Some(process);
    }

    /// All that run know each other, have the same applied and serve.
    pub fn whole(&self) {
        let up: Vec<&Machine> = self.machines.iter().filter(|machine| machine.process.is_some()).collect();
        for machine in &up {
            until(&format!("whole cluster at {}", machine.name), || {
                let view = machine.up().view("/members");
                let seats = view["members"].as_array().cloned().unwrap_or_default();
                let linked = seats.iter().filter(|seat| seat["linked"] == true).count();
                let age = machine.up().view("/watchers")["here"]["age_ms"].as_u64();
                (seats.len() == self.machines.len() && linked >= up.len() && age.is_some()).then_some(())
            });
        }
    }

    pub fn kill(&mut self, at: usize) {
        self.machines[at].process = None;
    }

    pub fn leader(&self) -> usize {
        let leads = |machine: &Machine| {
            machine.process.as_ref().is_some_and(|process| pewtergap_lab::ask::leads(process.door("admin")))
        };
        until("leader", || self.machines.iter().position(leads))
    }

    /// Which machine serves this planner now.
    pub fn serves(&self, planner: &Planner) -> usize {
        until("watch", || {
            let view = planner.view("/record");
            self.machines.iter().position(|machine| view["watching"] == machine.name.as_str())
        })
    }

    /// All these planners, and no more, are heard at this machine; nobody is unheard.
    pub fn heard(&self, at: usize, count: usize) {
        until(&format!("{count} heard planners at {}", self.machines[at].name), || {
            let view = self.machines[at].up().view("/watchers");
            (view["heard"] == count && view["expected"] == count).then_some(())
        });
    }

    pub fn planner(&self, name: &str, watches: &[usize], servers: &[&Server]) -> Planner {
        let planner = Planner { name: name.into(), dir: self.dir.join(name), process: None };
        std::fs::create_dir_all(&planner.dir).expect("a folder");
        planner.list(servers);
        let gates = watches.iter().map(|at| (&self.machines[*at].name, &self.machines[*at].watches));
        let text = format!(
            "service(name = \"{name}\", zones = [\"z\"], listen = \"127.0.0.1:0\", admin = \"127.0.0.1:0\",\n\
             list = list_file(\"servers.json\"), state_dir = \"{}\",\n\
             routes = [route(\"r\", slo_time = \"400ms\", time_limit = \"2s\", repeats = \"repeatable\")],\n\
             fleet = fleet(proxies = 4), channel = channel(lines_per_s = 2000, most_waiting = 4000),\n\
             rules = rules(drain_grace = \"5s\", cold_for = \"1s\"), watch = watch(machines = {}))\n",
            planner.dir.display(),
            Fleet::found("machine", gates)
        );
        std::fs::write(planner.dir.join("planner.star"), text).expect("settings");
        let mut planner = planner;
        planner.start();
        planner
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.machines.iter_mut().for_each(|machine| machine.process = None);
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

pub struct Planner {
    pub name: String,
    dir: PathBuf,
    pub process: Option<Process>,
}

impl Planner {
    pub fn start(&mut self) {
        let file = self.dir.join("planner.star");
        self.process = Some(Process::start("run", &file, &["proxies", "admin"]));
    }

    pub fn up(&mut self) -> &mut Process {
        self.process.as_mut().expect("it runs")
    }

    pub fn view(&self, target: &str) -> Value {
        self.process.as_ref().expect("it runs").view(target)
    }

    /// Its list names these from the next reading on.
    pub fn list(&self, servers: &[&Server]) {
        let slice = |server: &&Server| {
            format!(
                "{{\"metadata\":{{\"name\":\"{0}\",\"resourceVersion\":\"1\"}},\"endpoints\":[{{\"addresses\":[\"127.0.0.1\"],\
                 \"conditions\":{{\"ready\":true}},\"zone\":\"z\"}}],\"ports\":[{{\"port\":{0}}}]}}\n",
                server.at.port()
            )
        };
        let text: String = servers.iter().map(slice).collect();
        std::fs::write(self.dir.join("servers.json"), text).expect("a list");
    }

    /// From its next start on it knows one machine more.
    pub fn knows(&self, name: &str, at: SocketAddr) {
        let file = self.dir.join("planner.star");
        let text = std::fs::read_to_string(&file).expect("settings");
        let more = format!("machines = [machine(\"{name}\", address = \"{at}\"), ");
        std::fs::write(&file, text.replace("machines = [", &more)).expect("settings");
    }

    /// Whether it goes by this order.
    pub fn holds(&self, order: &str) -> bool {
        let orders = self.view("/record")["orders"].as_array().cloned().unwrap_or_default();
        orders.iter().any(|kept| kept["order"] == order && kept["here"] == 1.0)
    }

    pub fn until_holds(&self, order: &str) {
        until(&format!("{order} at {}", self.name), || self.holds(order).then_some(()));
    }
}

/// A server that answers everything with its own address.
pub struct Server {
    pub at: SocketAddr,
}

impl Server {
    pub fn start() -> Server {
        let door = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let at = door.local_addr().expect("its address");
        std::thread::spawn(move || {
            for stream in door.incoming().map_while(Result::ok) {
                std::thread::spawn(move || Server::answer(stream, at));
            }
        });
        Server { at }
    }

    fn answer(mut stream: TcpStream, at: SocketAddr) {
        let (body, mut head) = (at.to_string(), Vec::new());
        let mut byte = [0];
        while stream.read(&mut byte).is_ok_and(|count| count == 1) {
            head.push(byte[0]);
            if head.ends_with(b"\r\n\r\n") {
                head.clear();
                let text = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
                if stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
            }
        }
    }

    pub fn drain(&self) -> String {
        format!("drain {}", self.at)
    }
}

/// A proxy of this planner.
pub fn proxy(fleet: &Fleet, planner: &Planner) -> Process {
    let streams = planner.process.as_ref().expect("it runs").door("proxies");
    let text = format!(
        "proxy(name = \"x1\", zone = \"z\", listen = \"127.0.0.1:0\", planners = [\"{streams}\"], state_dir = \"{}\",\n\
         routes = [route(\"r\", slo_time = \"400ms\", time_limit = \"2s\", repeats = \"repeatable\")])\n",
        fleet.dir.display()
    );
    let file = fleet.dir.join("proxy.star");
    std::fs::write(&file, text).expect("settings");
    Process::start("proxy", &file, &["clients"])
}

/// Which servers answer so many calls.
pub fn answered(proxy: &Process, calls: usize) -> Vec<String> {
    let ask = |_| match call(proxy.door("clients"), "GET", "/r/x", None) {
        Ok((200, text)) => text,
        other => format!("{other:?}"),
    };
    let mut servers: Vec<String> = (0..calls).map(ask).collect();
    servers.sort();
    servers.dedup();
    servers
}

/// An order as an operator types it, waited for; exit status and what was printed.
pub fn order(at: &[SocketAddr], said: &[&str]) -> (Option<i32>, String) {
    let at: Vec<String> = at.iter().map(SocketAddr::to_string).collect();
    let told = Command::new(PROGRAM)
        .args(["order", "--at", &at.join(","), "--by", "a test", "--why", "it", "--wait"])
        .args(said)
        .output()
        .expect("it runs");
    let text = [String::from_utf8_lossy(&told.stdout), String::from_utf8_lossy(&told.stderr)].concat();
    (told.status.code(), text)
}
