//! Transfers and notifications between nodes of a reactor group, each reactor on its own thread.

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

const TIMEOUT: Duration = Duration::from_secs(30);

/// Accepts connections and transfers them to the group's reactors in turn.
struct Acceptor {
    reports: Sender<String>,
    targets: Vec<ReactorId>,
    next: usize,
    counter: Arc<AtomicU64>,
}

impl Node for Acceptor {
    fn handle(&mut self, _: Moment, input: Input<'_>, out: &mut Outbox) {
        let report = match input {
            Input::Start => {
                let address = SocketAddr::from(([127, 0, 0, 1], 0));
                return out.push(Effect::Listen { listener: 7, at: address });
            }
            Input::Listening { at: address, .. } => address.to_string(),
            Input::Accepted { link, listener, .. } => {
                let to = self.targets[self.next % self.targets.len()];
                self.next += 1;
                return out.push(Effect::Transfer { link, to, listener });
            }
            Input::Command("increment") => {
                for _ in 0..1_000 {
                    self.counter.fetch_add(1, Ordering::AcqRel);
                    out.push(Effect::Notify { reactor: self.targets[0] });
                }
                return;
            }
            Input::Command(word) => word.into(),
            Input::Closed { why, .. } => format!("{why:?}"),
            Input::TransferFailed { link, .. } => {
                out.finish(link);
                "transfer failed".into()
            }
            _ => return,
        };
        let _ = self.reports.send(report);
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}

/// Answers each byte with its own id and the listener's, and reports the shared counter when notified.
struct Worker {
    id: u8,
    reports: Sender<String>,
    counter: Arc<AtomicU64>,
    listener: Option<(Link, u32)>,
}

impl Node for Worker {
    fn handle(&mut self, _: Moment, input: Input<'_>, out: &mut Outbox) {
        match input {
            Input::Accepted { link, listener, .. } => self.listener = Some((link, listener)),
            Input::Bytes { link, .. } => {
                let listener = self.listener.filter(|known| known.0 == link).map_or(0, |known| known.1 as u8);
                out.send(link, vec![self.id, listener]);
            }
            Input::Notified => {
                let _ = self.reports.send(self.counter.load(Ordering::Acquire).to_string());
            }
            _ => {}
        }
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}

struct Setup {
    /// Workers whose threads have not been started.
    unstarted: Vec<Reactor>,
    handles: Vec<Handle>,
    acceptor: NodeId,
    reports: Receiver<String>,
    notifications: Receiver<String>,
    address: SocketAddr,
}

fn reactor() -> Reactor {
    Reactor::new(Clock::default(), 1 << 20, PathBuf::from(env!("CARGO_TARGET_TMPDIR"))).unwrap()
}

/// An acceptor and two workers on their own reactors; the acceptor transfers to the given ids.
fn setup(targets: &[u32]) -> Setup {
    let (group, counter) = (ReactorGroup::default(), Arc::new(AtomicU64::new(0)));
    let ((sender, reports), (notified, notifications)) = (channel(), channel());
    let mut handles = Vec::new();
    let mut workers = Vec::new();
    for id in [1_u8, 2] {
        let mut worker_reactor = reactor();
        let worker = Worker { id, reports: notified.clone(), counter: counter.clone(), listener: None };
        let place = worker_reactor.add(Box::new(worker));
        worker_reactor.join_group(&group, ReactorId(id.into()), place);
        workers.push(worker_reactor);
    }
    let mut accepting = reactor();
    let targets = targets.iter().map(|id| ReactorId(*id)).collect();
    let acceptor = accepting.add(Box::new(Acceptor { reports: sender, targets, next: 0, counter }));
    accepting.join_group(&group, ReactorId(0), acceptor);
    handles.extend(workers.iter().chain([&accepting]).map(Reactor::handle));
    std::thread::spawn(move || accepting.run().unwrap());
    let address = reports.recv_timeout(TIMEOUT).unwrap().parse().unwrap();
    Setup { unstarted: workers, handles, acceptor, reports, notifications, address }
}

impl Setup {
    fn start_workers(&mut self) {
        for worker_reactor in self.unstarted.drain(..) {
            std::thread::spawn(move || worker_reactor.run().unwrap());
        }
    }

    fn increment(&self) {
        assert!(self.handles[2].send_command(self.acceptor, "increment"));
        // The echo arrives after all notifications were sent.
        assert!(self.handles[2].send_command(self.acceptor, "incremented"));
        assert_eq!(self.reports.recv_timeout(TIMEOUT).unwrap(), "incremented");
    }
}

impl Drop for Setup {
    fn drop(&mut self) {
        self.handles.iter().for_each(Handle::shut_down);
    }
}

#[test]
fn a_transferred_link_is_served_by_the_other_reactor_without_loss() {
    let mut setup = setup(&[1, 2]);
    setup.start_workers();
    let mut answers = Vec::new();
    for _ in 0..4 {
        let mut peer = TcpStream::connect(setup.address).unwrap();
        peer.set_read_timeout(Some(TIMEOUT)).unwrap();
        // Written before the connection is accepted: the bytes stay in the socket and are transferred with it.
        peer.write_all(b"?").unwrap();
        let mut answer = [0; 2];
        peer.read_exact(&mut answer).unwrap();
        answers.push(answer);
        assert_eq!(setup.reports.recv_timeout(TIMEOUT).unwrap(), "Handed");
    }
    assert_eq!(answers, [[1, 7], [2, 7], [1, 7], [2, 7]], "reactor and listener");
}

#[test]
fn a_transfer_to_an_unknown_reactor_fails_and_the_link_stays() {
    let setup = setup(&[9]);
    let mut peer = TcpStream::connect(setup.address).unwrap();
    assert_eq!(setup.reports.recv_timeout(TIMEOUT).unwrap(), "transfer failed");
    let mut rest = Vec::new();
    peer.read_to_end(&mut rest).unwrap();
    assert!(rest.is_empty(), "the acceptor closes it");
}

#[test]
fn notifications_are_coalesced_and_the_last_one_is_delivered() {
    let mut setup = setup(&[1]);
    setup.increment();
    setup.start_workers();
    assert_eq!(setup.notifications.recv_timeout(TIMEOUT).unwrap(), "1000");
    setup.increment();
    assert_eq!(
        setup.notifications.recv_timeout(TIMEOUT).unwrap(),
        "2000",
        "the thousand before were coalesced"
    );
}
