//! Control machines, watching planners and a proxy as processes. Every process listens on port 0 and is reached by the others
//! through a forwarding gate of the test. A shut gate holds back all bytes, like a network partition.

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

/// Upper bound of every wait, for events that never happen. It is no part of what a test checks.
pub const MAX_WAIT: Duration = Duration::from_secs(40);
const PROGRAM: &str = env!("CARGO_BIN_EXE_pewtergap");

/// Polls until there is a result, and panics after `MAX_WAIT`.
pub fn wait_until<T>(event: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = poll() {
            return found;
        }
        assert!(start.elapsed() < MAX_WAIT, "no {event}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[derive(Default)]
struct GateState {
    target: Mutex<Option<SocketAddr>>,
    shut: Mutex<bool>,
    changed: Condvar,
}

/// A forwarding listener in front of a process.
pub struct Gate {
    pub at: SocketAddr,
    state: Arc<GateState>,
}

impl Gate {
    pub fn new() -> Gate {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let (at, state) = (listener.local_addr().expect("its address"), Arc::new(GateState::default()));
        let shared = state.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().map_while(Result::ok) {
                let target = *shared.target.lock().expect("a target");
                let Some(server) = target.and_then(|target| TcpStream::connect(target).ok()) else {
                    continue;
                };
                let pairs = [(client.try_clone(), server.try_clone()), (Ok(server), Ok(client))];
                for (from, to) in pairs {
                    let (Ok(from), Ok(to), state) = (from, to, shared.clone()) else { continue };
                    std::thread::spawn(move || pump(from, to, &state));
                }
            }
        });
        Gate { at, state }
    }

    pub fn set_target(&self, target: SocketAddr) {
        *self.state.target.lock().expect("a target") = Some(target);
    }

    pub fn set_shut(&self, shut: bool) {
        *self.state.shut.lock().expect("its state") = shut;
        self.state.changed.notify_all();
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, state: &GateState) {
    let mut buffer = [0; 16 * 1024];
    loop {
        let count = from.read(&mut buffer).unwrap_or(0);
        let shut = state.shut.lock().expect("its state");
        drop(state.changed.wait_while(shut, |shut| *shut).expect("its state"));
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            let _ = to.shutdown(Shutdown::Write);
            let _ = from.shutdown(Shutdown::Read);
            return;
        }
    }
}

/// A process of the program, killed on drop.
pub struct Process {
    child: Child,
    log: Receiver<String>,
    seen: Vec<String>,
    listeners: BTreeMap<String, SocketAddr>,
}

impl Process {
    pub fn start(command: &str, settings: &Path, listeners: &[&str]) -> Process {
        let mut child = Command::new(PROGRAM)
            .args([command, "--announce"])
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
        let mut process = Process { child, log, seen: Vec::new(), listeners: BTreeMap::new() };
        while listeners.iter().any(|name| !process.listeners.contains_key(*name)) {
            let line = lines.recv_timeout(MAX_WAIT);
            let line = line.unwrap_or_else(|_| {
                let log: Vec<String> = process.log.try_iter().collect();
                panic!("{command} tells of no {listeners:?}:\n{}", log.join("\n"))
            });
            if let ["listening", name, at] = line.split(' ').collect::<Vec<_>>()[..] {
                process.listeners.insert(name.into(), at.parse().expect("an address"));
            }
        }
        process
    }

    pub fn address(&self, name: &str) -> SocketAddr {
        self.listeners[name]
    }

    /// Waits for the next line of the log that contains `text`.
    pub fn wait_for_line(&mut self, text: &str) -> String {
        let start = Instant::now();
        loop {
            let line = self.log.recv_timeout(MAX_WAIT.saturating_sub(start.elapsed()));
            let line = line.unwrap_or_else(|_| panic!("no '{text}' after:\n{}", self.seen.join("\n")));
            self.seen.push(line.clone());
            if line.contains(text) {
                return line;
            }
        }
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().expect("kill").success());
    }

    pub fn view(&self, target: &str) -> Value {
        let answer = call(self.address("admin"), "GET", target, None);
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
        self.process().address("admin")
    }

    pub fn process(&self) -> &Process {
        self.process.as_ref().expect("it runs")
    }
}

pub struct Fleet {
    pub dir: PathBuf,
    pub machines: Vec<Machine>,
    voters: usize,
}

impl Fleet {
    /// Starts control machines, voters first and then observers, and waits until all are connected members.
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
        fleet.wait_until_connected();
        fleet
    }

    /// A list of settings of this kind, each with the address of a machine's gate.
    fn gate_list<'a>(kind: &str, gates: impl Iterator<Item = (&'a String, &'a Gate)>) -> String {
        let parts = gates.map(|(name, gate)| format!("{kind}(\"{name}\", address = \"{}\")", gate.at));
        format!("[{}]", parts.collect::<Vec<_>>().join(", "))
    }

    pub fn start(&mut self, at: usize) {
        let gates = || self.machines.iter().map(|machine| (&machine.name, &machine.members));
        let members = Fleet::gate_list("member", gates().take(self.voters));
        let observers = Fleet::gate_list("member", gates().skip(self.voters));
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
        self.machines[at].members.set_target(process.address("members"));
        self.machines[at].watches.set_target(process.address("watches"));
        self.machines[at].process = Some(process);
    }

    /// Waits until all running machines know and reach each other and serve watches.
    pub fn wait_until_connected(&self) {
        let up: Vec<&Machine> = self.machines.iter().filter(|machine| machine.process.is_some()).collect();
        for machine in &up {
            wait_until(&format!("whole cluster at {}", machine.name), || {
                let view = machine.process().view("/members");
                let seats = view["members"].as_array().cloned().unwrap_or_default();
                let linked = seats.iter().filter(|seat| seat["linked"] == true).count();
                let age = machine.process().view("/watchers")["here"]["age_ms"].as_u64();
                (seats.len() == self.machines.len() && linked >= up.len() && age.is_some()).then_some(())
            });
        }
    }

    pub fn kill(&mut self, at: usize) {
        self.machines[at].process = None;
    }

    pub fn leader(&self) -> usize {
        let leads = |machine: &Machine| {
            machine
                .process
                .as_ref()
                .is_some_and(|process| pewtergap_lab::ask::leads(process.address("admin")))
        };
        wait_until("leader", || self.machines.iter().position(leads))
    }

    /// The machine that serves this planner now.
    pub fn serving_machine(&self, planner: &Planner) -> usize {
        wait_until("watch", || {
            let view = planner.view("/record");
            self.machines.iter().position(|machine| view["watching"] == machine.name.as_str())
        })
    }

    /// Waits until exactly `count` planners are expected and heard at this machine.
    pub fn wait_until_heard(&self, at: usize, count: usize) {
        wait_until(&format!("{count} heard planners at {}", self.machines[at].name), || {
            let view = self.machines[at].process().view("/watchers");
            (view["heard"] == count && view["expected"] == count).then_some(())
        });
    }

    pub fn planner(&self, name: &str, watches: &[usize], servers: &[&Server]) -> Planner {
        let planner = Planner { name: name.into(), dir: self.dir.join(name), process: None };
        std::fs::create_dir_all(&planner.dir).expect("a folder");
        planner.write_list(servers);
        let gates = watches.iter().map(|at| (&self.machines[*at].name, &self.machines[*at].watches));
        let text = format!(
            "service(name = \"{name}\", zones = [\"z\"], listen = \"127.0.0.1:0\", admin = \"127.0.0.1:0\",\n\
             list = list_file(\"servers.json\"), state_dir = \"{}\",\n\
             routes = [route(\"r\", slo_time = \"400ms\", time_limit = \"2s\", repeats = \"repeatable\")],\n\
             fleet = fleet(proxies = 4), channel = channel(lines_per_s = 2000, most_waiting = 4000),\n\
             rules = rules(drain_grace = \"5s\", cold_for = \"1s\"), watch = watch(machines = {}))\n",
            planner.dir.display(),
            Fleet::gate_list("machine", gates)
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

    pub fn process(&mut self) -> &mut Process {
        self.process.as_mut().expect("it runs")
    }

    pub fn view(&self, target: &str) -> Value {
        self.process.as_ref().expect("it runs").view(target)
    }

    /// Writes the list of servers, which applies from its next read.
    pub fn write_list(&self, servers: &[&Server]) {
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

    /// Adds a control machine to the settings, which apply from the next start.
    pub fn add_machine(&self, name: &str, at: SocketAddr) {
        let file = self.dir.join("planner.star");
        let text = std::fs::read_to_string(&file).expect("settings");
        let machines = format!("machines = [machine(\"{name}\", address = \"{at}\"), ");
        std::fs::write(&file, text.replace("machines = [", &machines)).expect("settings");
    }

    /// Whether the planner applies this order.
    pub fn holds(&self, order: &str) -> bool {
        let orders = self.view("/record")["orders"].as_array().cloned().unwrap_or_default();
        orders.iter().any(|kept| kept["order"] == order && kept["here"] == 1.0)
    }

    pub fn wait_until_holds(&self, order: &str) {
        wait_until(&format!("{order} at {}", self.name), || self.holds(order).then_some(()));
    }
}

/// A server that answers every request with its own address.
pub struct Server {
    pub at: SocketAddr,
}

impl Server {
    pub fn start() -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let at = listener.local_addr().expect("its address");
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
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

/// Starts a proxy of this planner.
pub fn start_proxy(fleet: &Fleet, planner: &Planner) -> Process {
    let streams = planner.process.as_ref().expect("it runs").address("proxies");
    let text = format!(
        "proxy(name = \"x1\", zone = \"z\", listen = \"127.0.0.1:0\", planners = [\"{streams}\"], state_dir = \"{}\",\n\
         routes = [route(\"r\", slo_time = \"400ms\", time_limit = \"2s\", repeats = \"repeatable\")])\n",
        fleet.dir.display()
    );
    let file = fleet.dir.join("proxy.star");
    std::fs::write(&file, text).expect("settings");
    Process::start("proxy", &file, &["clients"])
}

/// The servers that answer this number of calls.
pub fn answering_servers(proxy: &Process, calls: usize) -> Vec<String> {
    let ask = |_| match call(proxy.address("clients"), "GET", "/r/x", None) {
        Ok((200, text)) => text,
        other => format!("{other:?}"),
    };
    let mut servers: Vec<String> = (0..calls).map(ask).collect();
    servers.sort();
    servers.dedup();
    servers
}

/// Runs the `order` command with --wait. Returns its exit status and output.
pub fn give_order(at: &[SocketAddr], args: &[&str]) -> (Option<i32>, String) {
    let at: Vec<String> = at.iter().map(SocketAddr::to_string).collect();
    let output = Command::new(PROGRAM)
        .args(["order", "--at", &at.join(","), "--by", "a test", "--why", "it", "--wait"])
        .args(args)
        .output()
        .expect("it runs");
    let text = [String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr)].concat();
    (output.status.code(), text)
}
