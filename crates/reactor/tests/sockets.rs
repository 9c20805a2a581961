//! The reactor's guarantees to its nodes, on real sockets.

use pewtergap_node::{Effect, Ended, Input, Level, Link, Node, Outbox};
use pewtergap_reactor::{Clock, Handle, Reactor};
use pewtergap_time::{Moment, Span};
use socket2::SockRef;
use std::any::Any;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Reports its inputs and executes commands.
struct Reporter {
    reports: Sender<String>,
    at: Option<SocketAddr>,
    links: Vec<Link>,
    /// The `hold` command blocks the reactor while the test holds this lock.
    gate: Arc<Mutex<()>>,
}

const TIMEOUT: Duration = Duration::from_secs(30);

impl Node for Reporter {
    fn handle(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) {
        let report = match input {
            Input::Start => {
                out.push(Effect::Listen { listener: 1, at: SocketAddr::from(([127, 0, 0, 1], 0)) });
                return;
            }
            Input::Listening { at, .. } => {
                self.at = Some(at);
                format!("{at}")
            }
            Input::Accepted { link, .. } => {
                self.links.push(link);
                "accepted".into()
            }
            Input::Bytes { link, bytes } => {
                out.send(link, bytes.to_vec());
                format!("{} bytes", bytes.len())
            }
            Input::Closed { why, .. } => format!("closed {why:?}"),
            Input::Opened { .. } => "opened".into(),
            Input::Command(word) if word.starts_with("connect ") => {
                let to = word["connect ".len()..].parse().unwrap();
                self.links.push(out.connect(to, None));
                return;
            }
            Input::Command("pause") => {
                self.links.iter().for_each(|link| out.push(Effect::Pause { link: *link }));
                return;
            }
            Input::Command("continue") => {
                self.links.iter().for_each(|link| out.push(Effect::Continue { link: *link }));
                return;
            }
            Input::TimerFired { timer } => format!("due {timer}"),
            Input::File { name, bytes } => {
                format!("{name}: {:?}", bytes.map(|b| b.len()).map_err(|_| "missing"))
            }
            Input::NotListening { .. } => "not listening".into(),
            Input::Command("flood") => {
                self.links.iter().for_each(|link| (0..64).for_each(|_| out.send(*link, vec![7; 1 << 20])));
                return;
            }
            Input::Command("hold") => {
                let _ = self.reports.send("holding".into());
                drop(self.gate.lock());
                return;
            }
            Input::Command("finish") => {
                self.links.iter().for_each(|link| {
                    out.send(*link, b"last words".to_vec());
                    out.finish(*link);
                });
                return;
            }
            Input::Command("timers") => {
                for (timer, ms) in [(3, 30), (1, 10), (2, 10), (4, 0)] {
                    out.set_timer(timer, now + Span::millis(ms));
                }
                return;
            }
            Input::Command("end") => {
                out.push(Effect::Exit { code: 7 });
                "asked to end".into()
            }
            Input::Command("send") => {
                self.links.iter().for_each(|link| out.send(*link, b"late".to_vec()));
                return;
            }
            Input::Command("unavailable source") => {
                // An address reserved for documentation, which no machine has.
                out.connect("127.0.0.1:1".parse().unwrap(), Some("192.0.2.1".parse().unwrap()));
                return;
            }
            Input::Command("address in use") => {
                out.push(Effect::Listen { listener: 2, at: self.at.unwrap() });
                return;
            }
            Input::Command("refused") => {
                out.connect("127.0.0.1:1".parse().unwrap(), Some("127.0.0.9".parse().unwrap()));
                return;
            }
            Input::Command("files") => {
                out.push(Effect::ReadFile { name: "none".into() });
                out.push(Effect::SaveFile { name: "kept".into(), bytes: vec![1; 5] });
                out.push(Effect::SaveFile { name: "kept".into(), bytes: vec![2; 9] });
                out.push(Effect::ReadFile { name: "kept".into() });
                return;
            }
            other => format!("{other:?}"),
        };
        let _ = self.reports.send(report);
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}

struct Setup {
    handle: Handle,
    place: pewtergap_reactor::NodeId,
    reports: Receiver<String>,
    at: SocketAddr,
    gate: Arc<Mutex<()>>,
}

fn setup() -> Setup {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let mut reactor = Reactor::new(Clock::default(), 4 << 20, dir).unwrap();
    let (sender, reports) = channel();
    let gate = Arc::new(Mutex::new(()));
    let place =
        reactor.add(Box::new(Reporter { reports: sender, at: None, links: Vec::new(), gate: gate.clone() }));
    let handle = reactor.handle();
    std::thread::spawn(move || reactor.run().unwrap());
    let at = reports.recv_timeout(TIMEOUT).unwrap().parse().unwrap();
    Setup { handle, place, reports, at, gate }
}

impl Setup {
    fn command(&self, word: &str) {
        assert!(self.handle.send_command(self.place, word));
    }

    fn next_report(&self) -> String {
        self.reports.recv_timeout(TIMEOUT).unwrap()
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.at).unwrap();
        assert_eq!(self.next_report(), "accepted");
        stream
    }
}

impl Drop for Setup {
    fn drop(&mut self) {
        self.handle.shut_down();
    }
}

#[test]
fn a_peer_that_does_not_read_is_closed_with_overflow() {
    let setup = setup();
    let _peer = setup.connect();
    setup.command("flood");
    assert_eq!(setup.next_report(), format!("closed {:?}", Ended::Overflow));
}

#[test]
fn a_finished_link_is_closed_after_its_last_bytes_are_written() {
    let setup = setup();
    let mut peer = setup.connect();
    peer.write_all(b"hello").unwrap();
    assert_eq!(setup.next_report(), "5 bytes");
    setup.command("finish");
    let mut all = String::new();
    peer.read_to_string(&mut all).unwrap();
    assert_eq!((all.as_str(), setup.next_report()), ("hellolast words", "closed Ours".into()));
    let peer = setup.connect();
    drop(peer);
    assert_eq!(setup.next_report(), "closed Done");
}

#[test]
fn bytes_received_before_a_reset_are_read_after_a_failed_write() {
    // A server's complete answer right before its reset: writing the request fails, and the unread answer must not be
    // lost with the link.
    let setup = setup();
    let server = TcpListener::bind("127.0.0.1:0").unwrap();
    setup.command(&format!("connect {}", server.local_addr().unwrap()));
    let (mut peer, _) = server.accept().unwrap();
    assert_eq!(setup.next_report(), "opened");
    let gate = setup.gate.lock().unwrap();
    setup.command("hold");
    assert_eq!(setup.next_report(), "holding");
    // Queued behind `hold` in the same round, so that the write precedes the read of what has arrived.
    setup.command("send");
    peer.write_all(b"answer").unwrap();
    reset(peer);
    drop(gate);
    assert_eq!(setup.next_report(), "6 bytes");
    assert_eq!(setup.next_report(), format!("closed {:?}", Ended::Reset));
}

fn reset(peer: TcpStream) {
    SockRef::from(&peer).set_linger(Some(Duration::ZERO)).unwrap();
    drop(peer);
}

#[test]
fn nothing_is_read_of_an_accepted_link_that_its_peer_has_reset() {
    // Guards against requests that are carried out for a client that is gone: what it had sent was read after its
    // reset, at once or when its link was resumed.
    for held_by in ["hold", "pause"] {
        let setup = setup();
        let mut peer = setup.connect();
        let gate = setup.gate.lock().unwrap();
        setup.command("hold");
        assert_eq!(setup.next_report(), "holding");
        if held_by == "pause" {
            setup.command("pause");
        }
        setup.command("send");
        peer.write_all(b"request").unwrap();
        reset(peer);
        drop(gate);
        assert_eq!(setup.next_report(), format!("closed {:?}", Ended::Reset), "{held_by}");
    }
}

#[test]
fn a_continued_link_is_called_again_behind_others() {
    let setup = setup();
    let (_continued, mut other) = (setup.connect(), setup.connect());
    let gate = setup.gate.lock().unwrap();
    setup.command("hold");
    assert_eq!(setup.next_report(), "holding");
    other.write_all(b"hello").unwrap();
    setup.command("pause");
    setup.command("continue");
    drop(gate);
    // Both links are called again, paused as they are, and neither is read.
    assert_eq!([setup.next_report(), setup.next_report()], ["0 bytes", "0 bytes"]);
    setup.command("finish");
    assert_eq!([setup.next_report(), setup.next_report()], ["closed Ours", "closed Ours"]);
}

#[test]
fn inputs_behind_an_exit_in_the_same_round_are_dropped() {
    let setup = setup();
    let gate = setup.gate.lock().unwrap();
    setup.command("hold");
    assert_eq!(setup.next_report(), "holding");
    setup.command("end");
    setup.command("timers");
    setup.command("too late");
    drop(gate);
    assert_eq!(setup.next_report(), "asked to end");
    // The node is dropped with its reactor without any further report.
    assert!(setup.reports.recv_timeout(TIMEOUT).is_err_and(|e| e == RecvTimeoutError::Disconnected));
}

#[test]
fn a_busy_link_does_not_starve_others() {
    let setup = setup();
    let (mut flooding, mut quiet) = (setup.connect(), setup.connect());
    let gate = setup.gate.lock().unwrap();
    setup.command("hold");
    assert_eq!(setup.next_report(), "holding");
    // Fills the kernel's buffers: enough for many reads.
    flooding.set_nonblocking(true).unwrap();
    let mut sent = 0;
    while let Ok(count) = flooding.write(&[1; 64 * 1024]) {
        sent += count;
    }
    assert!(sent > 8 * 64 * 1024, "only {sent} bytes");
    quiet.write_all(b"hello").unwrap();
    drop(gate);
    let report: Vec<String> = (0..4).map(|_| setup.next_report()).collect();
    assert!(report.contains(&"5 bytes".to_string()), "{report:?}");
}

#[test]
fn a_lack_of_local_resources_is_not_reported_as_refused() {
    let setup = setup();
    setup.command("unavailable source");
    assert_eq!(setup.next_report(), format!("closed {:?}", Ended::Unavailable));
}

#[test]
fn timers_fire_in_order_and_a_closed_port_is_reported_as_refused() {
    let setup = setup();
    setup.command("timers");
    let fired: Vec<String> = (0..4).map(|_| setup.next_report()).collect();
    assert_eq!(fired, ["due 4", "due 1", "due 2", "due 3"]);
    setup.command("refused");
    assert_eq!(setup.next_report(), format!("closed {:?}", Ended::Refused));
    setup.command("address in use");
    assert_eq!(setup.next_report(), "not listening");
}

#[test]
fn a_saved_file_is_replaced_atomically() {
    let setup = setup();
    setup.command("files");
    assert_eq!(setup.next_report(), "none: Err(\"missing\")");
    assert_eq!(setup.next_report(), "kept: Ok(9)");
    assert!(!PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("kept.new").exists());
}

#[test]
fn accepted_connections_are_read_before_more_are_accepted() {
    // If all were accepted at once, silent connections would displace those whose first bytes are under way.
    let setup = setup();
    let gate = setup.gate.lock().unwrap();
    setup.command("hold");
    assert_eq!(setup.next_report(), "holding");
    let mut peers: Vec<TcpStream> = (0..200).map(|_| TcpStream::connect(setup.at).unwrap()).collect();
    peers.iter_mut().for_each(|peer| peer.write_all(b"hello").unwrap());
    drop(gate);
    let report: Vec<String> = (0..400).map(|_| setup.next_report()).collect();
    let first_word = report.iter().position(|report| report == "5 bytes").unwrap();
    assert_eq!(report.iter().filter(|report| *report == "accepted").count(), 200);
    assert_eq!(first_word, 16, "accepted before the first read");
}

/// Replaces a file, appends and truncates, and writes once to a path that does not exist.
struct Writer;

impl Node for Writer {
    fn handle(&mut self, _: Moment, input: Input<'_>, out: &mut Outbox) {
        match input {
            Input::Start => {
                let file = |name: &str, at, bytes: &[u8], ticket| Effect::Append {
                    name: name.into(),
                    at,
                    bytes: bytes.to_vec(),
                    ticket,
                };
                let (name, bytes) = ("kept".to_string(), b"head".to_vec());
                out.push(Effect::ReplaceFile { name, bytes, ticket: 1 });
                out.push(file("kept", 4, b"torn", 2));
                out.push(file("kept", 4, b"one", 3));
                out.push(file("kept", 7, b"two", 4));
                out.push(file("no/such/file", 0, b"x", 5));
            }
            Input::Synced { ticket: 5, result } => {
                out.push(Effect::Exit { code: i32::from(result.is_ok()) });
            }
            Input::Synced { ticket, result } => {
                out.log(Level::Info, "synced", vec![("ticket", ticket.to_string())]);
                assert_eq!(result, Ok(()), "write {ticket}");
            }
            _ => {}
        }
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}

#[test]
fn writes_are_executed_in_order_and_errors_are_reported() {
    let dir = std::env::temp_dir().join(format!("pewtergap-writes-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let mut reactor = Reactor::new(Clock::default(), 1024, dir.clone()).expect("a reactor");
    reactor.add(Box::new(Writer));
    assert_eq!(reactor.run().expect("it runs").0, 0, "the write to a missing path was reported as an error");
    assert_eq!(std::fs::read(dir.join("kept")).expect("the file"), b"headonetwo");
    let _ = std::fs::remove_dir_all(dir);
}
