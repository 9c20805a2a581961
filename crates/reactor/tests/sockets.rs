//! What the reactor promises its nodes, on real sockets.

use pewtergap_node::{Effect, Ended, Input, Level, Link, Node, Outbox};
use pewtergap_reactor::{Clock, Handle, Reactor};
use pewtergap_time::{Moment, Span};
use socket2::SockRef;
use std::any::Any;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Tells what it is given, and does what it is told by words.
struct Parrot {
    heard: Sender<String>,
    at: Option<SocketAddr>,
    links: Vec<Link>,
    /// Who holds this holds up the whole reactor at the word.
    held: Arc<Mutex<()>>,
}

const CEILING: Duration = Duration::from_secs(30);

impl Node for Parrot {
    fn handle(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) {
        let told = match input {
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
                let _ = self.heard.send("holding".into());
                drop(self.held.lock());
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
            Input::Command("say") => {
                self.links.iter().for_each(|link| out.send(*link, b"late".to_vec()));
                return;
            }
            Input::Command("strange") => {
                // An address of documentation: no machine has it.
                out.connect("127.0.0.1:1".parse().unwrap(), Some("192.0.2.1".parse().unwrap()));
                return;
            }
            Input::Command("taken") => {
                out.push(Effect::Listen { listener: 2, at: self.at.unwrap() });
                return;
            }
            Input::Command("nobody") => {
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
        let _ = self.heard.send(told);
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}

struct Stage {
    handle: Handle,
    place: pewtergap_reactor::NodeId,
    heard: Receiver<String>,
    at: SocketAddr,
    held: Arc<Mutex<()>>,
}

fn stage() -> Stage {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let mut reactor = Reactor::new(Clock::default(), 4 << 20, dir).unwrap();
    let (sender, heard) = channel();
    let held = Arc::new(Mutex::new(()));
    let place =
        reactor.add(Box::new(Parrot { heard: sender, at: None, links: Vec::new(), held: held.clone() }));
    let handle = reactor.handle();
    std::thread::spawn(move || reactor.run().unwrap());
    let at = heard.recv_timeout(CEILING).unwrap().parse().unwrap();
    Stage { handle, place, heard, at, held }
}

impl Stage {
    fn tell(&self, word: &str) {
        assert!(self.handle.send_command(self.place, word));
    }

    fn hear(&self) -> String {
        self.heard.recv_timeout(CEILING).unwrap()
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.at).unwrap();
        assert_eq!(self.hear(), "accepted");
        stream
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        self.handle.shut_down();
    }
}

#[test]
fn a_peer_that_does_not_read_is_closed_and_not_buffered_for_without_end() {
    let stage = stage();
    let _peer = stage.connect();
    stage.tell("flood");
    assert_eq!(stage.hear(), format!("closed {:?}", Ended::Overflow));
}

#[test]
fn bytes_come_and_go_and_a_finished_link_has_its_last_words_written() {
    let stage = stage();
    let mut peer = stage.connect();
    peer.write_all(b"hello").unwrap();
    assert_eq!(stage.hear(), "5 bytes");
    stage.tell("finish");
    let mut all = String::new();
    peer.read_to_string(&mut all).unwrap();
    assert_eq!((all.as_str(), stage.hear()), ("hellolast words", "closed Ours".into()));
    let peer = stage.connect();
    drop(peer);
    assert_eq!(stage.hear(), "closed Done");
}

#[test]
fn what_a_peer_said_before_it_broke_the_link_is_heard_though_a_write_fails_first() {
    // A server's complete answer right ahead of its reset: the question could not be written any more, and the answer
    // was thrown away with the link.
    let stage = stage();
    let mut peer = stage.connect();
    let held = stage.held.lock().unwrap();
    stage.tell("hold");
    assert_eq!(stage.hear(), "holding");
    // Behind the hold in the same round, so that the write comes before any look at what has arrived.
    stage.tell("say");
    peer.write_all(b"answer").unwrap();
    SockRef::from(&peer).set_linger(Some(Duration::ZERO)).unwrap();
    drop(peer);
    drop(held);
    assert_eq!(stage.hear(), "6 bytes");
    assert_eq!(stage.hear(), format!("closed {:?}", Ended::Reset));
}

#[test]
fn what_comes_behind_an_exit_in_the_same_round_is_not_heard() {
    let stage = stage();
    let held = stage.held.lock().unwrap();
    stage.tell("hold");
    assert_eq!(stage.hear(), "holding");
    stage.tell("end");
    stage.tell("timers");
    stage.tell("too late");
    drop(held);
    assert_eq!(stage.hear(), "asked to end");
    // The node goes with its reactor, and nothing was told in between.
    assert!(stage.heard.recv_timeout(CEILING).is_err_and(|e| e == RecvTimeoutError::Disconnected));
}

#[test]
fn one_that_always_has_more_to_read_holds_up_nobody() {
    let stage = stage();
    let (mut much, mut little) = (stage.connect(), stage.connect());
    let held = stage.held.lock().unwrap();
    stage.tell("hold");
    assert_eq!(stage.hear(), "holding");
    // As much as the kernel takes: many reads' worth.
    much.set_nonblocking(true).unwrap();
    let mut sent = 0;
    while let Ok(count) = much.write(&[1; 64 * 1024]) {
        sent += count;
    }
    assert!(sent > 8 * 64 * 1024, "{sent} bytes are no flood");
    little.write_all(b"hello").unwrap();
    drop(held);
    let told: Vec<String> = (0..4).map(|_| stage.hear()).collect();
    assert!(told.contains(&"5 bytes".to_string()), "{told:?}");
}

#[test]
fn what_this_side_lacks_is_not_told_as_a_refusal_of_the_peer() {
    let stage = stage();
    stage.tell("strange");
    assert_eq!(stage.hear(), format!("closed {:?}", Ended::Overflow));
}

#[test]
fn timers_ring_in_their_order_and_nobody_there_is_told_as_refused() {
    let stage = stage();
    stage.tell("timers");
    let rung: Vec<String> = (0..4).map(|_| stage.hear()).collect();
    assert_eq!(rung, ["due 4", "due 1", "due 2", "due 3"]);
    stage.tell("nobody");
    assert_eq!(stage.hear(), format!("closed {:?}", Ended::Refused));
    stage.tell("taken");
    assert_eq!(stage.hear(), "not listening");
}

#[test]
fn a_kept_file_is_the_old_one_or_the_new_one() {
    let stage = stage();
    stage.tell("files");
    assert_eq!(stage.hear(), "none: Err(\"missing\")");
    assert_eq!(stage.hear(), "kept: Ok(9)");
    assert!(!PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("kept.new").exists());
}

#[test]
fn of_hundreds_that_come_at_once_the_first_are_heard_before_the_last_are_taken_in() {
    // Taken in all at once, those that say nothing pushed out the ones whose first word was on its way.
    let stage = stage();
    let held = stage.held.lock().unwrap();
    stage.tell("hold");
    assert_eq!(stage.hear(), "holding");
    let mut peers: Vec<TcpStream> = (0..200).map(|_| TcpStream::connect(stage.at).unwrap()).collect();
    peers.iter_mut().for_each(|peer| peer.write_all(b"hello").unwrap());
    drop(held);
    let told: Vec<String> = (0..400).map(|_| stage.hear()).collect();
    let first_word = told.iter().position(|told| told == "5 bytes").unwrap();
    assert_eq!(told.iter().filter(|told| *told == "accepted").count(), 200);
    assert_eq!(first_word, 16, "so many are taken in before the first is heard");
}

/// Writes twice at places of a file, cuts it back, and once where nothing can be written.
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
fn writes_are_carried_out_in_order_and_an_error_is_told() {
    let dir = std::env::temp_dir().join(format!("pewtergap-writes-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let mut reactor = Reactor::new(Clock::default(), 1024, dir.clone()).expect("a reactor");
    reactor.add(Box::new(Writer));
    assert_eq!(reactor.run().expect("it runs").0, 0, "the write into nowhere was told as an error");
    assert_eq!(std::fs::read(dir.join("kept")).expect("the file"), b"headonetwo");
    let _ = std::fs::remove_dir_all(dir);
}
