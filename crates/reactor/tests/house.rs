//! Nodes of several reactors, each on a thread of its own, that work together.

use pewtergap_node::{Effect, Input, Link, Node, Outbox, ReactorId};
use pewtergap_reactor::{Clock, Handle, NodeId, Reactor, ReactorGroup};
use pewtergap_time::Moment;
use std::any::Any;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::time::Duration;

const CEILING: Duration = Duration::from_secs(30);

/// Lets peers in and hands each to the next seat.
struct Porter {
    heard: Sender<String>,
    seats: Vec<ReactorId>,
    next: usize,
    left: Arc<AtomicU64>,
}

impl Node for Porter {
    fn handle(&mut self, _: Moment, input: Input<'_>, out: &mut Outbox) {
        let told = match input {
            Input::Start => {
                let at = SocketAddr::from(([127, 0, 0, 1], 0));
                return out.push(Effect::Listen { listener: 7, at });
            }
            Input::Listening { at, .. } => at.to_string(),
            Input::Accepted { link, listener: door, .. } => {
                let to = self.seats[self.next % self.seats.len()];
                self.next += 1;
                return out.push(Effect::Transfer { link, to, listener: door });
            }
            Input::Command("leave") => {
                for _ in 0..1_000 {
                    self.left.fetch_add(1, Ordering::AcqRel);
                    out.push(Effect::Notify { reactor: self.seats[0] });
                }
                return;
            }
            Input::Command(word) => word.into(),
            Input::Closed { why, .. } => format!("{why:?}"),
            Input::TransferFailed { link, .. } => {
                out.finish(link);
                "handed back".into()
            }
            _ => return,
        };
        let _ = self.heard.send(told);
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}

/// Answers each byte with the seat it sits at, and tells how much was left when it was knocked at.
struct Clerk {
    seat: u8,
    heard: Sender<String>,
    left: Arc<AtomicU64>,
    door: Option<(Link, u32)>,
}

impl Node for Clerk {
    fn handle(&mut self, _: Moment, input: Input<'_>, out: &mut Outbox) {
        match input {
            Input::Accepted { link, listener: door, .. } => self.door = Some((link, door)),
            Input::Bytes { link, .. } => {
                let door = self.door.filter(|known| known.0 == link).map_or(0, |known| known.1 as u8);
                out.send(link, vec![self.seat, door]);
            }
            Input::Notified => {
                let _ = self.heard.send(self.left.load(Ordering::Acquire).to_string());
            }
            _ => {}
        }
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}

struct Stage {
    /// Clerks whose threads have not begun.
    asleep: Vec<Reactor>,
    handles: Vec<Handle>,
    porter: NodeId,
    heard: Receiver<String>,
    knocks: Receiver<String>,
    at: SocketAddr,
}

fn reactor() -> Reactor {
    Reactor::new(Clock::default(), 1 << 20, PathBuf::from(env!("CARGO_TARGET_TMPDIR"))).unwrap()
}

/// A porter, and two clerks on reactors of their own; it hands to the seats named.
fn stage(seats: &[u32]) -> Stage {
    let (house, left) = (ReactorGroup::default(), Arc::new(AtomicU64::new(0)));
    let ((sender, heard), (knocked, knocks)) = (channel(), channel());
    let mut handles = Vec::new();
    let mut clerks = Vec::new();
    for seat in [1_u8, 2] {
        let mut own = reactor();
        let clerk = Clerk { seat, heard: knocked.clone(), left: left.clone(), door: None };
        let place = own.add(Box::new(clerk));
        own.join_group(&house, ReactorId(seat.into()), place);
        clerks.push(own);
    }
    let mut front = reactor();
    let seats = seats.iter().map(|seat| ReactorId(*seat)).collect();
    let porter = front.add(Box::new(Porter { heard: sender, seats, next: 0, left }));
    front.join_group(&house, ReactorId(0), porter);
    handles.extend(clerks.iter().chain([&front]).map(Reactor::handle));
    std::thread::spawn(move || front.run().unwrap());
    let at = heard.recv_timeout(CEILING).unwrap().parse().unwrap();
    Stage { asleep: clerks, handles, porter, heard, knocks, at }
}

impl Stage {
    fn wake_clerks(&mut self) {
        for own in self.asleep.drain(..) {
            std::thread::spawn(move || own.run().unwrap());
        }
    }

    fn leave(&self) {
        assert!(self.handles[2].send_command(self.porter, "leave"));
        // Heard once all knocks are out.
        assert!(self.handles[2].send_command(self.porter, "left"));
        assert_eq!(self.heard.recv_timeout(CEILING).unwrap(), "left");
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        self.handles.iter().for_each(Handle::shut_down);
    }
}

#[test]
fn a_link_that_is_handed_over_is_served_by_the_other_thread_and_nothing_of_it_is_lost() {
    let mut stage = stage(&[1, 2]);
    stage.wake_clerks();
    let mut answers = Vec::new();
    for _ in 0..4 {
        let mut peer = TcpStream::connect(stage.at).unwrap();
        peer.set_read_timeout(Some(CEILING)).unwrap();
        // Written before anybody has taken it in: the bytes wait in the socket and go along.
        peer.write_all(b"?").unwrap();
        let mut answer = [0; 2];
        peer.read_exact(&mut answer).unwrap();
        answers.push(answer);
        assert_eq!(stage.heard.recv_timeout(CEILING).unwrap(), "Handed");
    }
    assert_eq!(answers, [[1, 7], [2, 7], [1, 7], [2, 7]], "seat and door");
}

#[test]
fn a_link_for_a_seat_that_nobody_has_comes_back() {
    let stage = stage(&[9]);
    let mut peer = TcpStream::connect(stage.at).unwrap();
    assert_eq!(stage.heard.recv_timeout(CEILING).unwrap(), "handed back");
    let mut rest = Vec::new();
    peer.read_to_end(&mut rest).unwrap();
    assert!(rest.is_empty(), "it was the porter's to close");
}

#[test]
fn many_knocks_before_the_first_is_heard_are_one_and_the_last_is_always_heard() {
    let mut stage = stage(&[1]);
    stage.leave();
    stage.wake_clerks();
    assert_eq!(stage.knocks.recv_timeout(CEILING).unwrap(), "1000");
    stage.leave();
    assert_eq!(stage.knocks.recv_timeout(CEILING).unwrap(), "2000", "the thousand before were one knock");
}
