//! A planner process, and scripted peers that control the order in which concurrent events reach it.

// Each test file uses only some of the items.
#![allow(dead_code)]

use pewtergap_resp::{write_array, Bounds, Reader};
use socket2::SockRef;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex, Weak};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Upper bound of every wait, for events that never happen. It is no part of what a test checks.
pub const MAX_WAIT: Duration = Duration::from_secs(40);

/// Start configuration of a planner.
pub struct Config {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub sockets: usize,
    pub proxies: usize,
    pub probes: bool,
    pub rows: Vec<String>,
    /// Lines that may wait in the channel, and lines that it carries in a second.
    pub max_queued_lines: u64,
    pub lines_per_s: u64,
}

impl Config {
    pub fn new(discovery: SocketAddr) -> Config {
        let rows = vec![row("s-1", closed_address(), "Ready"), row("s-2", closed_address(), "Ready")];
        Config {
            listen: free_address(),
            discovery,
            sockets: 1024,
            proxies: 400,
            probes: false,
            rows,
            max_queued_lines: 440_000,
            lines_per_s: 220_000,
        }
    }

    pub fn to_json(&self) -> String {
        let Config { listen, discovery, sockets, proxies, probes, rows, max_queued_lines, lines_per_s } =
            self;
        format!(
            r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":64,"sockets":{sockets}}},
            "known":{{"rev":4,"all":true,"targets":[{}]}},
            "settings":{{"Zones":["a"],"Balancers":1,"Discovery":"pushed",
              "Profiles":[{{"Name":"lookup","Semantics":"free","Credit":1.0}}],
              "Permissions":{{"Probes":{probes}}},
              "Contract":{{"DrainGraceNs":2000000000,"ColdNs":5000000000,"FallNs":3000000000,"OverloadFactor":3.0}},
              "FamilyInfo":{{"DataPlaneSize":{proxies},"Head":3.0,"PendingMax":{max_queued_lines},"EgressPerS":{lines_per_s},
                "TransitMaxNs":500000000,"ThrottleBy":"off"}}}}}}"#,
            rows.join(",")
        )
    }
}

pub fn row(name: &str, at: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"uid":"{name}","endpoint":"{at}","az":"a","model":"m","pod_group":3,"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#
    )
}

pub fn list(version: u64, whole: bool, rows: &[String]) -> String {
    format!(r#"{{"rev":{version},"all":{whole},"targets":[{}]}}"#, rows.join(","))
}

/// An address where nobody listens.
pub fn closed_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

/// A free address, since the port of a planner must be known before it starts.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a port")
}

pub struct Process {
    child: Child,
    log: Receiver<String>,
    /// All lines of the log read so far.
    pub seen: Vec<String>,
    pub file: PathBuf,
    pub at: SocketAddr,
}

impl Process {
    /// Starts a planner with `text` as its configuration file, which is named after `test`.
    pub fn start(test: &str, config: &Config, text: &str) -> Process {
        Process::start_with_limit(test, config, text, None)
    }

    /// Starts a planner whose system calls fail as `faults` says (see the crate `faults`).
    pub fn start_with_faults(test: &str, config: &Config, faults: &str) -> Process {
        let program = std::path::Path::new(env!("CARGO_BIN_EXE_pewtergap"));
        let library = program.with_file_name("deps").join("libpewtergap_faults.so");
        assert!(library.exists(), "no library at {}", library.display());
        let variables = [("LD_PRELOAD", library.as_os_str()), ("SYSCALL_FAULTS", faults.as_ref())];
        let mut process = Process::spawn(test, config, &config.to_json(), "", &variables);
        process.wait_for_line("event=\"listening\"");
        process
    }

    /// Starts a planner with a system limit on its descriptors.
    pub fn start_with_limit(test: &str, config: &Config, text: &str, descriptors: Option<usize>) -> Process {
        let limit = descriptors.map_or(String::new(), |max| format!("ulimit -n {max}; "));
        Process::spawn(test, config, text, &limit, &[])
    }

    fn spawn(
        test: &str,
        config: &Config,
        text: &str,
        shell: &str,
        variables: &[(&str, &std::ffi::OsStr)],
    ) -> Process {
        let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("crossing-{test}.json"));
        std::fs::write(&file, text).expect("the file");
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(format!("{shell}exec \"$0\" node")).arg(env!("CARGO_BIN_EXE_pewtergap"));
        command
            .envs(variables.iter().copied())
            .env("NODE_CONFIG", &file)
            .stderr(Stdio::piped())
            .stdout(Stdio::null());
        let mut child = command.spawn().expect("a process");
        let errors = BufReader::new(child.stderr.take().expect("its log"));
        let (sender, log) = channel();
        std::thread::spawn(move || {
            errors.lines().map_while(Result::ok).for_each(|line| drop(sender.send(line)));
        });
        Process { child, log, seen: Vec::new(), file, at: config.listen }
    }

    pub fn start_listening(test: &str, config: &Config) -> Process {
        let mut process = Process::start(test, config, &config.to_json());
        process.wait_for_line("listening");
        process
    }

    /// Waits for the next line of the log that contains `text`.
    pub fn wait_for_line(&mut self, text: &str) -> String {
        // The time limit covers all lines, so that a log without the wanted line cannot extend the wait forever.
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

    /// Stops the process until `resume`, so that it finds everything that arrives in between at its next poll.
    pub fn pause(&self) {
        self.signal("-STOP");
        let state = || std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        wait_until("stopped", || state().rsplit(") ").next().filter(|rest| rest.starts_with('T')).map(drop));
    }

    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Replaces the configuration file atomically.
    pub fn replace_file(&self, text: &str) {
        let temporary = self.file.with_extension("new");
        std::fs::write(&temporary, text)
            .and_then(|()| std::fs::rename(&temporary, &self.file))
            .expect("the file");
    }

    pub fn wait_for_exit(&mut self) -> ExitStatus {
        wait_until("the end", || self.child.try_wait().expect("its state"))
    }

    pub fn check_alive(&self) {
        let mut peer = Peer::connect(self.at);
        peer.send("PING");
        assert_eq!(peer.receive(), "PONG");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Polls until there is a result, and panics after `MAX_WAIT`.
pub fn wait_until<T>(event: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = poll() {
            return found;
        }
        assert!(start.elapsed() < MAX_WAIT, "no {event}");
        sleep(Duration::from_millis(2));
    }
}

/// A listener of the test, for discovery or a server.
pub struct Listener {
    pub socket: TcpListener,
    pub at: SocketAddr,
}

impl Listener {
    pub fn bind() -> Listener {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        listener.set_nonblocking(true).expect("set");
        Listener { at: listener.local_addr().expect("its address"), socket: listener }
    }

    pub fn accept(&self) -> Peer {
        let (stream, _) = wait_until("connection", || self.socket.accept().ok());
        stream.set_nonblocking(false).expect("set");
        Peer::new(stream)
    }
}

/// A well-behaved discovery server, for tests of other races: complete lists, and long polls of one second.
pub struct DiscoveryServer {
    pub at: SocketAddr,
    state: Arc<Mutex<(u64, Vec<String>)>>,
}

impl DiscoveryServer {
    pub fn start(rows: &[String]) -> DiscoveryServer {
        let listener = Listener::bind();
        let server = DiscoveryServer { at: listener.at, state: Arc::new(Mutex::new((5, rows.to_vec()))) };
        let state = Arc::downgrade(&server.state);
        std::thread::spawn(move || {
            while let Some(current) = state.upgrade() {
                drop(current);
                if let Ok((stream, _)) = listener.socket.accept() {
                    stream.set_nonblocking(false).expect("set");
                    DiscoveryServer::serve(Peer::new(stream), &state);
                }
                sleep(Duration::from_millis(2));
            }
        });
        server
    }

    /// Serves one connection until it ends. Connections are served one after the other.
    fn serve(mut peer: Peer, state: &Weak<Mutex<(u64, Vec<String>)>>) {
        while let Some(target) = peer.next_target() {
            let since =
                target.split_once("since=").and_then(|(_, rest)| rest.split('&').next()?.parse().ok());
            let start = Instant::now();
            let (version, rows) = loop {
                let Some(current) = state.upgrade() else { return };
                let (version, rows) = current.lock().expect("a list").clone();
                if since.is_none_or(|since| version > since) || start.elapsed() > Duration::from_secs(1) {
                    break (version, rows);
                }
                sleep(Duration::from_millis(2));
            };
            let body = list(version, true, &rows);
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
            if peer.stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    pub fn set_rows(&self, rows: &[String]) {
        let mut state = self.state.lock().expect("a list");
        *state = (state.0 + 1, rows.to_vec());
    }
}

/// A connection, accepted or opened by the test.
pub struct Peer {
    pub stream: TcpStream,
    reader: Reader,
}

impl Peer {
    fn new(stream: TcpStream) -> Peer {
        stream.set_read_timeout(Some(MAX_WAIT)).expect("set");
        stream.set_nodelay(true).expect("set");
        Peer { stream, reader: Reader::new(Bounds { bytes: 1 << 20, items: 8_192 }) }
    }

    pub fn connect(at: SocketAddr) -> Peer {
        Peer::new(TcpStream::connect(at).expect("a connection"))
    }

    pub fn subscribed(at: SocketAddr, number: usize) -> Peer {
        let mut peer = Peer::connect(at);
        peer.send(&format!("SUBSCRIBE sidecar {number} az a share 5 standing 1"));
        peer
    }

    pub fn send_raw(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("written");
    }

    pub fn send(&mut self, text: &str) {
        let mut bytes = Vec::new();
        write_array(text.split(' '), &mut bytes);
        self.send_raw(&bytes);
    }

    /// Receives the next message, with its items joined by spaces.
    pub fn receive(&mut self) -> String {
        self.next_message().expect("a message")
    }

    /// The next message, or nothing once the connection has ended.
    pub fn next_message(&mut self) -> Option<String> {
        let mut buffer = [0; 4_096];
        loop {
            if let Some(items) = self.reader.next_message().expect("a message") {
                return Some(String::from_utf8_lossy(&items.join(&b' ')).into_owned());
            }
            let count = self.stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
            self.reader.push(&buffer[..count]);
        }
    }

    /// Receives an HTTP request and returns its target.
    pub fn request_target(&mut self) -> String {
        self.next_target().expect("a request")
    }

    fn next_target(&mut self) -> Option<String> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            self.stream.read(&mut byte).ok().filter(|count| *count > 0)?;
            head.push(byte[0]);
        }
        String::from_utf8_lossy(&head).split(' ').nth(1).map(str::to_string)
    }

    /// Sends a response with a content length. `headers` are further header lines, each with its line ending.
    pub fn respond(&mut self, headers: &str, body: &str) {
        let length = body.len();
        self.send_raw(
            format!("HTTP/1.1 200 OK\r\n{headers}content-length: {length}\r\n\r\n{body}").as_bytes(),
        );
    }

    /// Reads exactly `count` bytes, regardless of message boundaries.
    pub fn read_exactly(&mut self, count: usize) -> Vec<u8> {
        let mut bytes = vec![0; count];
        self.stream.read_exact(&mut bytes).expect("bytes");
        bytes
    }

    /// Reads everything up to the end of the connection, whether it is closed or reset.
    pub fn read_to_end(&mut self) -> Vec<u8> {
        let mut all = Vec::new();
        let _ = self.stream.read_to_end(&mut all);
        all
    }

    /// Resets the connection; data written before is sent ahead of the reset.
    pub fn reset(self) {
        SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).expect("set");
    }
}
