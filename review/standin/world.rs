//! Servers, their list and discovery: what the platform runs and what it has told each planner.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

#[derive(Clone)]
pub struct Server {
    pub uid: String,
    pub zone: String,
    /// Ready, Terminating or Gone; empty before it is listed.
    pub state: &'static str,
    pub boot_ms: u64,
    /// Monotonic time of that start; None for long ago.
    pub booted: Option<f64>,
    pub address: SocketAddr,
    pub alive: Arc<AtomicBool>,
    /// Cut off from the planners: it stays silent to their probes.
    pub hidden: Arc<AtomicBool>,
    pub changed_rev: u64,
}

impl Server {
    pub fn row(&self) -> String {
        format!(
            "{{\"uid\":\"{}\",\"endpoint\":\"{}\",\"az\":\"{}\",\"model\":\"m\",\"pod_group\":0,\"state\":\"{}\",\"capacity_hint\":1.0,\"boot_ms\":{}}}",
            self.uid, self.address, self.zone, self.state, self.boot_ms
        )
    }
}

/// What one planner was told of a server: its state, and since when.
pub type Told = BTreeMap<usize, (&'static str, f64)>;

#[derive(Default)]
pub struct List {
    pub rev: u64,
    pub servers: Vec<Server>,
    pub told: Vec<Told>,
    pub record: Vec<(f64, String)>,
}

pub struct World {
    pub start: Instant,
    pub list: Mutex<List>,
    pub changed: Condvar,
    pub end: AtomicBool,
}

impl World {
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn note(&self, text: String) {
        let now = self.now();
        self.list.lock().unwrap().record.push((now, text));
    }

    /// Starts a server process's stand-in, which is not listed yet.
    pub fn boot(self: &Arc<World>, uid: &str, zone: &str, cold: bool) -> usize {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let alive = Arc::new(AtomicBool::new(true));
        let hidden = Arc::new(AtomicBool::new(false));
        self.serve(listener, alive.clone(), hidden.clone());
        let (boot_ms, booted) = if cold { (wall_ms(), Some(self.now())) } else { (0, None) };
        let mut list = self.list.lock().unwrap();
        list.servers.push(Server {
            uid: uid.into(),
            zone: zone.into(),
            state: "",
            boot_ms,
            booted,
            address,
            alive,
            hidden,
            changed_rev: 0,
        });
        list.servers.len() - 1
    }

    fn serve(self: &Arc<World>, listener: TcpListener, alive: Arc<AtomicBool>, hidden: Arc<AtomicBool>) {
        listener.set_nonblocking(true).unwrap();
        let world = self.clone();
        std::thread::spawn(move || {
            while alive.load(Ordering::Relaxed) && !world.end.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let (alive, hidden) = (alive.clone(), hidden.clone());
                        std::thread::spawn(move || answer_calls(stream, alive, hidden));
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(8)),
                }
            }
        });
    }

    /// Ends a server's process: its connections are refused from now on.
    pub fn kill_server(&self, at: usize) {
        self.list.lock().unwrap().servers[at].alive.store(false, Ordering::Relaxed);
    }

    /// Starts the process of a server that died again, cold, under its name.
    pub fn reboot(self: &Arc<World>, at: usize) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let alive = Arc::new(AtomicBool::new(true));
        let now = self.now();
        let mut list = self.list.lock().unwrap();
        let server = &mut list.servers[at];
        server.address = listener.local_addr().unwrap();
        (server.alive, server.boot_ms, server.booted) = (alive.clone(), wall_ms(), Some(now));
        let hidden = server.hidden.clone();
        drop(list);
        self.serve(listener, alive, hidden);
    }

    pub fn set_state(&self, which: &[usize], state: &'static str) {
        let now = self.now();
        let mut list = self.list.lock().unwrap();
        list.rev += 1;
        let rev = list.rev;
        for at in which {
            list.servers[*at].state = state;
            list.servers[*at].changed_rev = rev;
            let text =
                format!("list rev {rev}: {} in {} is {state}", list.servers[*at].uid, list.servers[*at].zone);
            list.record.push((now, text));
        }
        drop(list);
        self.changed.notify_all();
    }

    /// The whole list as the file of the configuration has it.
    pub fn whole(&self) -> String {
        whole(&self.list.lock().unwrap())
    }

    /// The agent on the machine of planner number `planner`.
    pub fn discovery(self: &Arc<World>, planner: usize) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let world = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let world = world.clone();
                std::thread::spawn(move || world.answer_lists(stream, planner));
            }
        });
        address
    }

    fn answer_lists(&self, mut stream: TcpStream, planner: usize) {
        let _ = stream.set_nodelay(true);
        while let Some(request) = read_head(&mut stream) {
            let path = request.split(' ').nth(1).unwrap_or("").to_string();
            let field = |name: &str| {
                let query = path.split('?').nth(1).unwrap_or("");
                query
                    .split('&')
                    .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
            };
            let mut list = self.list.lock().unwrap();
            let body = match field("since") {
                None => whole(&list),
                Some(since) => {
                    let until =
                        Instant::now() + Duration::from_millis(field("timeout_ms").unwrap_or(0).min(60_000));
                    while list.rev <= since && Instant::now() < until && !self.end.load(Ordering::Relaxed) {
                        let left = until.saturating_duration_since(Instant::now());
                        list = self.changed.wait_timeout(list, left).unwrap().0;
                    }
                    let rows: Vec<String> =
                        list.servers.iter().filter(|s| s.changed_rev > since).map(Server::row).collect();
                    format!("{{\"rev\":{},\"all\":false,\"targets\":[{}]}}", list.rev, rows.join(","))
                }
            };
            let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json";
            let answer = format!("{head}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            let now = self.now();
            let servers = list.servers.clone();
            for (at, server) in servers.iter().enumerate().filter(|(_, server)| !server.state.is_empty()) {
                let told = list.told[planner].get(&at).map(|told| told.0);
                if told != Some(server.state) {
                    list.told[planner].insert(at, (server.state, now));
                    let text = format!("planner {planner} was told: {} {}", server.uid, server.state);
                    list.record.push((now, text));
                }
            }
        }
    }
}

fn whole(list: &List) -> String {
    let rows: Vec<String> =
        list.servers.iter().filter(|s| !s.state.is_empty() && s.state != "Gone").map(Server::row).collect();
    format!("{{\"rev\":{},\"all\":true,\"targets\":[{}]}}", list.rev, rows.join(","))
}

/// Reads one HTTP head, without a body.
fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut one = [0; 512];
    while !bytes.ends_with(b"\r\n\r\n") {
        match stream.read(&mut one) {
            Ok(count) if count > 0 => bytes.extend_from_slice(&one[..count]),
            _ => return None,
        }
    }
    Some(String::from_utf8_lossy(&bytes).into_owned())
}

/// A server: answers calls and probes.
fn answer_calls(mut stream: TcpStream, alive: Arc<AtomicBool>, hidden: Arc<AtomicBool>) {
    let _ = stream.set_nonblocking(false);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
    while let Some(request) = read_head(&mut stream) {
        if !alive.load(Ordering::Relaxed) {
            return;
        }
        if request.contains("/metrics/load") && hidden.load(Ordering::Relaxed) {
            while hidden.load(Ordering::Relaxed) {
                std::thread::sleep(Duration::from_millis(20));
            }
            return;
        }
        let body =
            if request.contains("/metrics/load") { "TEXT inflight=2, queue=0, util=0.45" } else { "ok" };
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}
