//! A planner as a process, and scripted peers that hold both sides of a crossing and let them go in the order wanted.

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

/// Every wait is for an event; this only ends a test whose event never comes.
pub const CEILING: Duration = Duration::from_secs(40);

/// What a planner is told at its start.
pub struct Told {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub sockets: usize,
    pub proxies: usize,
    pub probes: bool,
    pub rows: Vec<String>,
}

impl Told {
    pub fn new(discovery: SocketAddr) -> Told {
        let rows = vec![row("s-1", nobody(), "Ready"), row("s-2", nobody(), "Ready")];
        Told { listen: free(), discovery, sockets: 1024, proxies: 400, probes: false, rows }
    }

    pub fn text(&self) -> String {
        let Told { listen, discovery, sockets, proxies, probes, rows } = self;
        format!(
            r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":64,"sockets":{sockets}}},
            "known":{{"rev":4,"all":true,"targets":[{}]}},
            "settings":{{"Zones":["a"],"Balancers":1,"Discovery":"pushed",
              "Profiles":[{{"Name":"lookup","Semantics":"free","Credit":1.0}}],
              "Permissions":{{"Probes":{probes}}},
              "Contract":{{"DrainGraceNs":2000000000,"ColdNs":5000000000,"FallNs":3000000000,"OverloadFactor":3.0}},
              "FamilyInfo":{{"DataPlaneSize":{proxies},"Head":3.0,"PendingMax":440000.0,"EgressPerS":220000.0,
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

/// Where nobody listens.
pub fn nobody() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

/// An address of its own: a planner's port must be known before it starts.
pub fn free() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|door| door.local_addr()).expect("a port")
}

pub struct Process {
    child: Child,
    log: Receiver<String>,
    /// All lines of the log so far.
    pub seen: Vec<String>,
    pub file: PathBuf,
    pub at: SocketAddr,
}

impl Process {
    /// Starts it with this text as its file; `test` names the file.
    pub fn start(test: &str, told: &Told, text: &str) -> Process {
        Process::limited(test, told, text, None)
    }

    /// With a limit of the system's own on its descriptors.
    pub fn limited(test: &str, told: &Told, text: &str, descriptors: Option<usize>) -> Process {
        let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("crossing-{test}.json"));
        std::fs::write(&file, text).expect("the file");
        let limit = descriptors.map_or(String::new(), |most| format!("ulimit -n {most}; "));
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(format!("{limit}exec \"$0\" node")).arg(env!("CARGO_BIN_EXE_pewtergap"));
        command.env("NODE_CONFIG", &file).stderr(Stdio::piped()).stdout(Stdio::null());
        let mut child = command.spawn().expect("a process");
        let errors = BufReader::new(child.stderr.take().expect("its log"));
        let (sender, log) = channel();
        std::thread::spawn(move || {
            errors.lines().map_while(Result::ok).for_each(|line| drop(sender.send(line)));
        });
        Process { child, log, seen: Vec::new(), file, at: told.listen }
    }

    pub fn ready(test: &str, told: &Told) -> Process {
        let mut process = Process::start(test, told, &told.text());
        process.line("listening");
        process
    }

    /// The next line of the log that has this in it.
    pub fn line(&mut self, what: &str) -> String {
        // One ceiling for all lines together: a log that goes on without this one would never end the wait.
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

    /// Stands still until told to go on: what comes meanwhile is all there at its next look.
    pub fn hold(&self) {
        self.signal("-STOP");
        let state = || std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        until("stopped", || state().rsplit(") ").next().filter(|rest| rest.starts_with('T')).map(drop));
    }

    pub fn go_on(&self) {
        self.signal("-CONT");
    }

    /// The file is replaced as a whole.
    pub fn rewrite(&self, text: &str) {
        let beside = self.file.with_extension("new");
        std::fs::write(&beside, text).and_then(|()| std::fs::rename(&beside, &self.file)).expect("the file");
    }

    pub fn ended(&mut self) -> ExitStatus {
        until("the end", || self.child.try_wait().expect("its state"))
    }

    pub fn alive(&self) {
        let mut peer = Peer::connect(self.at);
        peer.say("PING");
        assert_eq!(peer.hear(), "PONG");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Looks until there is something; the ceiling is no part of any verdict but 'it never came'.
pub fn until<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let begin = Instant::now();
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(begin.elapsed() < CEILING, "no {what}");
        sleep(Duration::from_millis(2));
    }
}

/// A listener of the test's: discovery or a server.
pub struct Door {
    pub listener: TcpListener,
    pub at: SocketAddr,
}

impl Door {
    pub fn open() -> Door {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        listener.set_nonblocking(true).expect("set");
        Door { at: listener.local_addr().expect("its address"), listener }
    }

    pub fn accept(&self) -> Peer {
        let (stream, _) = until("connection", || self.listener.accept().ok());
        stream.set_nonblocking(false).expect("set");
        Peer::new(stream)
    }
}

/// A discovery that answers as it should, for tests whose crossing lies elsewhere: whole lists, a watch held for a
/// second.
pub struct Agent {
    pub at: SocketAddr,
    told: Arc<Mutex<(u64, Vec<String>)>>,
}

impl Agent {
    pub fn start(rows: &[String]) -> Agent {
        let door = Door::open();
        let agent = Agent { at: door.at, told: Arc::new(Mutex::new((5, rows.to_vec()))) };
        let told = Arc::downgrade(&agent.told);
        std::thread::spawn(move || {
            while let Some(present) = told.upgrade() {
                drop(present);
                if let Ok((stream, _)) = door.listener.accept() {
                    stream.set_nonblocking(false).expect("set");
                    Agent::serve(Peer::new(stream), &told);
                }
                sleep(Duration::from_millis(2));
            }
        });
        agent
    }

    /// One connection after the other is served, each until it ends.
    fn serve(mut peer: Peer, told: &Weak<Mutex<(u64, Vec<String>)>>) {
        while let Some(target) = peer.target() {
            let since =
                target.split_once("since=").and_then(|(_, rest)| rest.split('&').next()?.parse().ok());
            let begin = Instant::now();
            let (version, rows) = loop {
                let Some(present) = told.upgrade() else { return };
                let (version, rows) = present.lock().expect("a list").clone();
                if since.is_none_or(|since| version > since) || begin.elapsed() > Duration::from_secs(1) {
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

    pub fn tell(&self, rows: &[String]) {
        let mut told = self.told.lock().expect("a list");
        *told = (told.0 + 1, rows.to_vec());
    }
}

/// A connection, from either side.
pub struct Peer {
    pub stream: TcpStream,
    reader: Reader,
}

impl Peer {
    fn new(stream: TcpStream) -> Peer {
        stream.set_read_timeout(Some(CEILING)).expect("set");
        stream.set_nodelay(true).expect("set");
        Peer { stream, reader: Reader::new(Bounds { bytes: 1 << 20, items: 8_192 }) }
    }

    pub fn connect(at: SocketAddr) -> Peer {
        Peer::new(TcpStream::connect(at).expect("a connection"))
    }

    pub fn joined(at: SocketAddr, number: usize) -> Peer {
        let mut peer = Peer::connect(at);
        peer.say(&format!("SUBSCRIBE sidecar {number} az a share 5 standing 1"));
        peer
    }

    pub fn raw(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("written");
    }

    pub fn say(&mut self, text: &str) {
        let mut bytes = Vec::new();
        write_array(text.split(' '), &mut bytes);
        self.raw(&bytes);
    }

    /// The next message, its items with spaces between.
    pub fn hear(&mut self) -> String {
        let mut buffer = [0; 4_096];
        loop {
            if let Some(items) = self.reader.next_message().expect("a message") {
                return String::from_utf8_lossy(&items.join(&b' ')).into_owned();
            }
            let count = self.stream.read(&mut buffer).expect("bytes");
            assert!(count > 0, "the connection ended");
            self.reader.push(&buffer[..count]);
        }
    }

    /// The target of the next HTTP request.
    pub fn asked(&mut self) -> String {
        self.target().expect("a request")
    }

    fn target(&mut self) -> Option<String> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            self.stream.read(&mut byte).ok().filter(|count| *count > 0)?;
            head.push(byte[0]);
        }
        String::from_utf8_lossy(&head).split(' ').nth(1).map(str::to_string)
    }

    /// A good answer with a length; `headers` stand before it, each with its line's end.
    pub fn answer(&mut self, headers: &str, body: &str) {
        let length = body.len();
        self.raw(format!("HTTP/1.1 200 OK\r\n{headers}content-length: {length}\r\n\r\n{body}").as_bytes());
    }

    /// So many bytes as they come, of whatever message.
    pub fn some(&mut self, count: usize) -> Vec<u8> {
        let mut bytes = vec![0; count];
        self.stream.read_exact(&mut bytes).expect("bytes");
        bytes
    }

    /// Everything up to the end, whether that is in order or a reset.
    pub fn rest(&mut self) -> Vec<u8> {
        let mut all = Vec::new();
        let _ = self.stream.read_to_end(&mut all);
        all
    }

    /// Breaks the connection at once: what was written before goes ahead of the reset.
    pub fn reset(self) {
        SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).expect("set");
    }
}
