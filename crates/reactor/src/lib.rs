//! Drives nodes over real sockets: one mio event loop on one thread, with any number of nodes.
//!
//! Bounds: the unwritten bytes of a link (`max_unwritten`; beyond it the link is closed with `Overflow`), the bytes
//! read from one link per turn, the connections accepted from a listener per turn, and the queue of events from
//! other threads (the sender blocks when it is full).
#![forbid(unsafe_code)]

mod disk;
mod sockets;

use mio::{Events, Interest, Poll, Token, Waker};
use pewtergap_node::{Effect, Ended, Input, Level, Link, LogRecord, Node, Outbox, ReactorId, NO_FILE};
use pewtergap_time::{Moment, Span};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;
pub use sockets::write_atomically;
use sockets::{Conn, Listener, ReadOutcome};
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

const WAKER: Token = Token(0);
const SIGNALS: Token = Token(1);
const FIRST_TOKEN: usize = 2;
const MAX_QUEUED_EVENTS: usize = 4096;
/// Connections accepted from a listener per turn, and the delay before the next accept when descriptors have run out.
const MAX_ACCEPTS_PER_ROUND: usize = 16;
const ACCEPT_RETRY_DELAY: Span = Span::millis(50);

/// A node of one reactor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeId(pub usize);

/// The clock of a process: monotonic, with the wall-clock time of the process start as its offset, so that times of
/// processes on one machine are comparable.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base: u64,
    start: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        let base = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Clock { base: base.as_nanos() as u64, start: Instant::now() }
    }
}

impl Clock {
    pub fn now(&self) -> Moment {
        Moment(self.base + self.start.elapsed().as_nanos() as u64)
    }
}

enum Event {
    Command(NodeId, String),
    Synced(NodeId, u64, Result<(), String>),
    /// A connection transferred from another reactor of the group, and the listener that accepted it.
    Link(NodeId, std::net::TcpStream, u32),
    End,
}

/// The nodes of several reactors by their ids.
#[derive(Clone, Default)]
pub struct ReactorGroup {
    members: Arc<Mutex<HashMap<ReactorId, GroupMember>>>,
}

#[derive(Clone)]
struct GroupMember {
    handle: Handle,
    node: NodeId,
    notified: Arc<AtomicBool>,
}

impl ReactorGroup {
    fn member(&self, id: ReactorId) -> Option<GroupMember> {
        self.members.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).get(&id).cloned()
    }
}

/// Sends commands to the nodes of a reactor on another thread.
#[derive(Clone)]
pub struct Handle {
    events: SyncSender<Event>,
    waker: Arc<Waker>,
}

impl Handle {
    /// Returns false if the reactor has ended.
    pub fn send_command(&self, node: NodeId, command: impl Into<String>) -> bool {
        self.events.send(Event::Command(node, command.into())).is_ok() && self.waker.wake().is_ok()
    }

    /// Does not block when the target's queue is full: the connection is returned to the sender.
    fn transfer(
        &self,
        node: NodeId,
        stream: std::net::TcpStream,
        listener: u32,
    ) -> Result<(), std::net::TcpStream> {
        match self.events.try_send(Event::Link(node, stream, listener)) {
            Ok(()) => {
                let _ = self.waker.wake();
                Ok(())
            }
            Err(TrySendError::Full(Event::Link(_, stream, _)))
            | Err(TrySendError::Disconnected(Event::Link(_, stream, _))) => Err(stream),
            Err(_) => Ok(()),
        }
    }

    pub fn shut_down(&self) {
        let _ = self.events.send(Event::End);
        let _ = self.waker.wake();
    }
}

/// A timer in the heap, ordered by time, then by the order in which they were set.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Timer(std::cmp::Reverse<(Moment, u64)>, usize, u64);

enum Source {
    Listener { node: usize, listener: u32 },
    Link { node: usize, link: Link },
}

struct NodeSlot {
    node: Box<dyn Node>,
    out: Outbox,
    listeners: HashMap<u32, (Token, Listener)>,
    links: HashMap<Link, (Token, Conn)>,
}

/// An input queued for a node while another one is processed.
enum Pending {
    Opened(Link),
    Closed(Link, Ended),
    Listening(u32, SocketAddr),
    NotListening(u32, String),
    File(String, Result<Vec<u8>, String>),
    Synced(u64, Result<(), String>),
    TransferFailed(Link, ReactorId),
    Start,
    Stop,
    Reload,
}

pub struct Reactor {
    poll: Poll,
    clock: Clock,
    signals: Option<Signals>,
    events: Receiver<Event>,
    handle: Handle,
    group: ReactorGroup,
    /// Local nodes that belong to the group, and whether each has a pending notification.
    group_members: Vec<(NodeId, Arc<AtomicBool>)>,
    slots: Vec<NodeSlot>,
    sources: HashMap<Token, Source>,
    next_token: usize,
    timers: BinaryHeap<Timer>,
    timers_set: u64,
    pending: VecDeque<(usize, Pending)>,
    /// Links that may have more to read.
    readable: VecDeque<(usize, Link)>,
    /// Links for which a node has asked to be called again.
    continued: VecDeque<(usize, Link)>,
    /// Links whose last write was interrupted.
    interrupted_writes: Vec<(usize, Link)>,
    /// Listeners that may have more connections to accept, and when to try again.
    accept_queue: Vec<(usize, u32, Moment)>,
    max_unwritten: usize,
    /// Directory of the nodes' files.
    dir: PathBuf,
    /// Thread for synced writes, started by the first one.
    disk: Option<disk::Disk>,
    announce_listeners: bool,
    exit: Option<i32>,
    buffer: Vec<u8>,
}

impl Reactor {
    pub fn new(clock: Clock, max_unwritten: usize, dir: PathBuf) -> io::Result<Reactor> {
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKER)?);
        let (sender, events) = sync_channel(MAX_QUEUED_EVENTS);
        Ok(Reactor {
            poll,
            clock,
            signals: None,
            events,
            handle: Handle { events: sender, waker },
            group: ReactorGroup::default(),
            group_members: Vec::new(),
            slots: Vec::new(),
            sources: HashMap::new(),
            next_token: FIRST_TOKEN,
            timers: BinaryHeap::new(),
            timers_set: 0,
            pending: VecDeque::new(),
            readable: VecDeque::new(),
            continued: VecDeque::new(),
            interrupted_writes: Vec::new(),
            accept_queue: Vec::new(),
            max_unwritten,
            dir,
            disk: None,
            announce_listeners: false,
            exit: None,
            buffer: vec![0; 64 * 1024],
        })
    }

    /// SIGTERM and SIGINT send `Stop` to all nodes, SIGHUP sends `Reload`.
    pub fn catch_signals(&mut self) -> io::Result<()> {
        let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
        self.poll.registry().register(&mut signals, SIGNALS, Interest::READABLE)?;
        self.signals = Some(signals);
        Ok(())
    }

    /// Prints each listener's address as a line on standard output, for a parent process that configured port 0.
    pub fn announce(&mut self) {
        self.announce_listeners = true;
    }

    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    pub fn add(&mut self, node: Box<dyn Node>) -> NodeId {
        let out = Outbox::default();
        self.slots.push(NodeSlot { node, out, listeners: HashMap::new(), links: HashMap::new() });
        self.pending.push_back((self.slots.len() - 1, Pending::Start));
        NodeId(self.slots.len() - 1)
    }

    /// Registers a node with a reactor group; all nodes must be registered before any reactor of the group runs. A
    /// reactor belongs to at most one group.
    pub fn join_group(&mut self, group: &ReactorGroup, id: ReactorId, node: NodeId) {
        let notified = Arc::new(AtomicBool::new(false));
        self.group = group.clone();
        self.group_members.push((node, notified.clone()));
        let member = GroupMember { handle: self.handle.clone(), node, notified };
        self.group.members.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).insert(id, member);
    }

    /// Runs until a node requests the exit or the handle shuts it down; returns the exit code and the nodes.
    pub fn run(mut self) -> io::Result<(i32, Vec<Box<dyn Node>>)> {
        let mut events = Events::with_capacity(1024);
        self.deliver_pending();
        while self.exit.is_none() {
            let idle =
                self.readable.is_empty() && self.continued.is_empty() && self.interrupted_writes.is_empty();
            let poll_timeout = if idle { self.poll_timeout() } else { Some(Duration::ZERO) };
            let now = self.clock.now();
            let listeners = self.accept_queue.iter().map(|listener| duration(listener.2.since(now)));
            let poll_timeout = listeners.chain(poll_timeout).min();
            match self.poll.poll(&mut events, poll_timeout) {
                // Without events, but timers and accepts may be due: signals can interrupt one wait after another.
                Err(e) if e.kind() == io::ErrorKind::Interrupted => events.clear(),
                other => other?,
            }
            for event in &events {
                // A node that has requested the exit expects no further input, so the rest of this poll is dropped.
                if self.exit.is_some() {
                    break;
                }
                match event.token() {
                    WAKER => self.drain_events(),
                    SIGNALS => self.handle_signals(),
                    token => {
                        if event.is_error() || event.is_read_closed() && event.is_write_closed() {
                            self.reset_by_peer(token);
                        }
                        self.ready(token, event.is_readable() || event.is_read_closed(), event.is_writable())
                    }
                }
                self.deliver_pending();
            }
            for (node, link) in std::mem::take(&mut self.interrupted_writes) {
                if self.exit.is_none() {
                    self.writable(node, link);
                    self.deliver_pending();
                }
            }
            for (node, link) in std::mem::take(&mut self.readable) {
                if self.exit.is_none() {
                    self.read(node, link);
                    self.deliver_pending();
                }
            }
            for (node, link) in std::mem::take(&mut self.continued) {
                if self.exit.is_none() && self.slots[node].links.contains_key(&link) {
                    self.deliver(node, Input::Bytes { link, bytes: &[] });
                    self.deliver_pending();
                }
            }
            if self.exit.is_some() {
                break;
            }
            let now = self.clock.now();
            let (due, later): (Vec<_>, Vec<_>) =
                std::mem::take(&mut self.accept_queue).into_iter().partition(|listener| listener.2 <= now);
            self.accept_queue = later;
            for (node, listener, _) in due {
                self.accept(node, listener);
            }
            self.fire_timers();
        }
        // Flushes what the peers accept without blocking.
        for slot in &mut self.slots {
            slot.links.values_mut().for_each(|(_, conn)| {
                let _ = conn.write();
            });
        }
        Ok((self.exit.unwrap_or(0), self.slots.into_iter().map(|slot| slot.node).collect()))
    }

    fn poll_timeout(&self) -> Option<Duration> {
        let next = self.timers.peek()?;
        let left = next.0 .0 .0.since(self.clock.now());
        // The kernel waits whole milliseconds; rounding up keeps a timer from firing early and the loop from spinning.
        Some(Duration::from_nanos(left.0))
    }

    fn fire_timers(&mut self) {
        loop {
            let now = self.clock.now();
            match self.timers.peek() {
                Some(next) if next.0 .0 .0 <= now && self.exit.is_none() => {}
                _ => return,
            }
            let Some(Timer(_, node, timer)) = self.timers.pop() else { return };
            self.deliver(node, Input::TimerFired { timer });
            self.deliver_pending();
        }
    }

    fn drain_events(&mut self) {
        // The flag is cleared before the node reads the shared state, so that a change made meanwhile notifies again.
        let notified = |member: &&(NodeId, Arc<AtomicBool>)| member.1.swap(false, Ordering::AcqRel);
        let notified: Vec<NodeId> =
            self.group_members.iter().filter(notified).map(|member| member.0).collect();
        for node in notified {
            self.deliver(node.0, Input::Notified);
            self.deliver_pending();
        }
        while self.exit.is_none() {
            let Ok(event) = self.events.try_recv() else { return };
            match event {
                Event::End => self.exit = Some(self.exit.unwrap_or(0)),
                Event::Link(node, stream, listener) => {
                    // Also passed on if the peer is gone, so that both sides count the same number of transfers.
                    let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
                    let from = stream.peer_addr().unwrap_or(nowhere);
                    let link = self.slots[node.0].out.link();
                    self.register(node.0, link, Conn::from_std(stream));
                    self.deliver(node.0, Input::Accepted { link, listener, from });
                    self.deliver_pending();
                }
                Event::Synced(node, ticket, result) => {
                    self.deliver(node.0, Input::Synced { ticket, result });
                    self.deliver_pending();
                }
                Event::Command(node, command) => {
                    self.deliver(node.0, Input::Command(&command));
                    self.deliver_pending();
                }
            }
        }
    }

    fn handle_signals(&mut self) {
        let caught: Vec<i32> = self.signals.iter_mut().flat_map(|signals| signals.pending()).collect();
        for signal in caught {
            for node in 0..self.slots.len() {
                let what = if signal == SIGHUP { Pending::Reload } else { Pending::Stop };
                self.pending.push_back((node, what));
            }
        }
    }

    fn deliver(&mut self, node: usize, input: Input<'_>) {
        let now = self.clock.now();
        let slot = &mut self.slots[node];
        slot.node.handle(now, input, &mut slot.out);
        let effects = std::mem::take(&mut slot.out.effects);
        effects.into_iter().for_each(|effect| self.execute(node, effect));
    }

    /// Delivers queued inputs until the queue is empty.
    fn deliver_pending(&mut self) {
        while let Some((node, what)) = self.pending.pop_front() {
            match what {
                Pending::Opened(link) => self.deliver(node, Input::Opened { link }),
                Pending::Closed(link, why) => self.deliver(node, Input::Closed { link, why }),
                Pending::Listening(listener, at) => self.deliver(node, Input::Listening { listener, at }),
                Pending::NotListening(listener, why) => {
                    self.deliver(node, Input::NotListening { listener, why })
                }
                Pending::File(name, bytes) => {
                    let bytes = bytes.as_deref().map_err(|why| why.clone());
                    self.deliver(node, Input::File { name: &name, bytes });
                }
                Pending::Synced(ticket, result) => self.deliver(node, Input::Synced { ticket, result }),
                Pending::TransferFailed(link, to) => self.deliver(node, Input::TransferFailed { link, to }),
                Pending::Start => self.deliver(node, Input::Start),
                Pending::Stop => self.deliver(node, Input::Stop),
                Pending::Reload => self.deliver(node, Input::Reload),
            }
        }
    }

    fn execute(&mut self, node: usize, effect: Effect) {
        match effect {
            Effect::Listen { listener, at } => self.listen(node, listener, at),
            Effect::Unlisten { listener } => {
                if let Some((token, mut open)) = self.slots[node].listeners.remove(&listener) {
                    let _ = self.poll.registry().deregister(&mut open.listener);
                    self.sources.remove(&token);
                }
            }
            Effect::Connect { link, to, from } => match Conn::connect(to, from) {
                Ok(conn) => self.register(node, link, conn),
                Err(e) => self.pending.push_back((node, Pending::Closed(link, connect_failure(&e)))),
            },
            Effect::Send { link, bytes } => {
                let max = self.max_unwritten;
                let Some((_, conn)) = self.slots[node].links.get_mut(&link) else { return };
                conn.queue(bytes);
                let result = conn.write();
                let interrupted = conn.write_interrupted;
                let over = conn.unwritten() > max;
                match result {
                    Err(why) => self.write_failed(node, link, why),
                    Ok(()) if over => self.drop_link(node, link, Ended::Overflow),
                    Ok(()) if interrupted => self.interrupted_writes.push((node, link)),
                    Ok(()) => self.close_if_written(node, link),
                }
            }
            Effect::Finish { link } => {
                if let Some((_, conn)) = self.slots[node].links.get_mut(&link) {
                    conn.finishing = true;
                    self.close_if_written(node, link);
                }
            }
            Effect::Cut { link } => {
                if let Some((_, conn)) = self.slots[node].links.get_mut(&link) {
                    conn.reset_on_drop();
                    self.drop_link(node, link, Ended::Ours);
                }
            }
            Effect::Transfer { link, to, listener } => self.transfer(node, link, to, listener),
            Effect::Notify { reactor } => {
                if let Some(member) = self.group.member(reactor) {
                    if !member.notified.swap(true, Ordering::AcqRel) {
                        let _ = member.handle.waker.wake();
                    }
                }
            }
            Effect::Pause { link } => {
                if let Some((_, conn)) = self.slots[node].links.get_mut(&link) {
                    conn.paused = true;
                }
            }
            Effect::Resume { link } => {
                if let Some((_, conn)) = self.slots[node].links.get_mut(&link) {
                    conn.paused = false;
                    self.readable.push_back((node, link));
                }
            }
            Effect::Continue { link } => self.continued.push_back((node, link)),
            Effect::SetTimer { timer, at } => {
                self.timers_set += 1;
                self.timers.push(Timer(std::cmp::Reverse((at, self.timers_set)), node, timer));
            }
            Effect::ReadFile { name } => {
                let describe = |e: io::Error| match e.kind() {
                    io::ErrorKind::NotFound => NO_FILE.to_string(),
                    _ => e.to_string(),
                };
                let bytes = std::fs::read(self.dir.join(&name)).map_err(describe);
                self.pending.push_back((node, Pending::File(name, bytes)));
            }
            Effect::SaveFile { name, bytes } => {
                if let Err(e) = sockets::write_atomically(&self.dir.join(&name), &bytes) {
                    tracing::error!(file = %name, error = %e, "not_kept");
                }
            }
            Effect::Append { name, at, bytes, ticket } => {
                self.write(node, ticket, disk::FileWrite { name, at: Some(at), bytes });
            }
            Effect::ReplaceFile { name, bytes, ticket } => {
                self.write(node, ticket, disk::FileWrite { name, at: None, bytes });
            }
            Effect::Log(record) => {
                if self.announce_listeners && record.event == "listening" {
                    let fields: Vec<&str> = record.fields.iter().map(|field| field.1.as_str()).collect();
                    // The reader of standard output may be gone, which is not an error.
                    let _ = writeln!(io::stdout(), "listening {}", fields.join(" "));
                }
                log(&record);
            }
            Effect::Exit { code } => self.exit = Some(self.exit.unwrap_or(code)),
        }
    }

    /// Writes on the disk thread: a sync takes milliseconds, during which all links would wait on this thread.
    fn write(&mut self, node: usize, ticket: u64, write: disk::FileWrite) {
        let (dir, handle) = (&self.dir, &self.handle);
        let disk = self.disk.get_or_insert_with(|| disk::Disk::new(dir.clone(), handle.clone()));
        if let Err(why) = disk.write(NodeId(node), ticket, write) {
            self.pending.push_back((node, Pending::Synced(ticket, Err(why))));
        }
    }

    fn listen(&mut self, node: usize, listener: u32, at: SocketAddr) {
        let token = self.token();
        let opened = Listener::open(at).and_then(|mut open| {
            self.poll.registry().register(&mut open.listener, token, Interest::READABLE)?;
            let at = open.listener.local_addr()?;
            Ok((open, at))
        });
        match opened {
            Ok((open, at)) => {
                self.sources.insert(token, Source::Listener { node, listener });
                self.slots[node].listeners.insert(listener, (token, open));
                self.pending.push_back((node, Pending::Listening(listener, at)));
            }
            Err(e) => self.pending.push_back((node, Pending::NotListening(listener, format!("{at}: {e}")))),
        }
    }

    fn transfer(&mut self, node: usize, link: Link, to: ReactorId, listener: u32) {
        let Some((token, mut conn)) = self.slots[node].links.remove(&link) else { return };
        let _ = self.poll.registry().deregister(&mut conn.stream);
        self.sources.remove(&token);
        let result = match self.group.member(to) {
            Some(member) => member.handle.transfer(member.node, conn.into_std(), listener),
            None => Err(conn.into_std()),
        };
        match result {
            Ok(()) => self.pending.push_back((node, Pending::Closed(link, Ended::Handed))),
            Err(stream) => {
                self.register(node, link, Conn::from_std(stream));
                self.pending.push_back((node, Pending::TransferFailed(link, to)));
            }
        }
    }

    fn token(&mut self) -> Token {
        self.next_token += 1;
        Token(self.next_token - 1)
    }

    fn register(&mut self, node: usize, link: Link, mut conn: Conn) {
        let token = self.token();
        let both = Interest::READABLE | Interest::WRITABLE;
        if self.poll.registry().register(&mut conn.stream, token, both).is_err() {
            self.pending.push_back((node, Pending::Closed(link, Ended::Unavailable)));
            return;
        }
        self.sources.insert(token, Source::Link { node, link });
        self.slots[node].links.insert(link, (token, conn));
    }

    fn drop_link(&mut self, node: usize, link: Link, why: Ended) {
        if let Some((token, mut conn)) = self.slots[node].links.remove(&link) {
            let _ = self.poll.registry().deregister(&mut conn.stream);
            self.sources.remove(&token);
            if why == Ended::Overflow {
                conn.reset_on_drop();
            }
            self.pending.push_back((node, Pending::Closed(link, why)));
        }
    }

    /// Closes an accepted link that its peer has reset, with what was not read of it: on a paused link the node would
    /// otherwise be given requests of a client that is gone.
    fn reset_by_peer(&mut self, token: Token) {
        let Some(Source::Link { node, link }) = self.sources.get(&token) else { return };
        let (node, link) = (*node, *link);
        if self.slots[node].links.get(&link).is_some_and(|(_, conn)| conn.accepted) {
            self.drop_link(node, link, Ended::Reset);
        }
    }

    /// Handles a failed write. Bytes that the peer sent before it reset the connection may still be unread and are read
    /// first: otherwise a server's answer right before its reset is lost and the server taken for dead.
    fn write_failed(&mut self, node: usize, link: Link, why: Ended) {
        let Some((_, conn)) = self.slots[node].links.get_mut(&link) else { return };
        conn.stop_writing(why);
        // These links are not read, so their end would never be noticed, or nobody waits for what is done with it.
        if conn.paused || conn.finishing || conn.accepted {
            return self.drop_link(node, link, why);
        }
        self.readable.push_back((node, link));
    }

    /// Closes a finishing link once all queued bytes are written.
    fn close_if_written(&mut self, node: usize, link: Link) {
        let done = |conn: &Conn| conn.finishing && conn.open && conn.unwritten() == 0;
        if self.slots[node].links.get(&link).is_some_and(|(_, conn)| done(conn)) {
            self.drop_link(node, link, Ended::Ours);
        }
    }

    fn ready(&mut self, token: Token, readable: bool, writable: bool) {
        match self.sources.get(&token) {
            // Accepts after this round's links, so that connections accepted earlier are read first.
            Some(Source::Listener { node, listener }) => {
                let (node, listener) = (*node, *listener);
                self.accept_queue.retain(|entry| (entry.0, entry.1) != (node, listener));
                self.accept_queue.push((node, listener, self.clock.now()));
            }
            Some(Source::Link { node, link }) => {
                let (node, link) = (*node, *link);
                if writable {
                    self.writable(node, link);
                    self.deliver_pending();
                }
                if readable {
                    self.read(node, link);
                }
            }
            None => {}
        }
    }

    /// Accepts a bounded number of connections per round, so that they are read before more are accepted: otherwise
    /// hundreds of silent connections displace those whose first message is under way. When descriptors run out,
    /// accepting is retried after a delay, since the kernel reports a pending connection only once.
    fn accept(&mut self, node: usize, listener: u32) {
        for _ in 0..MAX_ACCEPTS_PER_ROUND {
            let Some((_, open)) = self.slots[node].listeners.get_mut(&listener) else { return };
            match open.accept() {
                Ok(Some((conn, from))) => {
                    let link = self.slots[node].out.link();
                    self.register(node, link, conn);
                    self.deliver(node, Input::Accepted { link, listener, from });
                    self.deliver_pending();
                }
                Ok(None) => return,
                Err(e) if sockets::accept_may_be_repeated(&e) => {}
                Err(e) => {
                    tracing::warn!(error = %e, "not_accepted");
                    return self.accept_queue.push((node, listener, self.clock.now() + ACCEPT_RETRY_DELAY));
                }
            }
        }
        self.accept_queue.push((node, listener, self.clock.now()));
    }

    fn writable(&mut self, node: usize, link: Link) {
        let Some((_, conn)) = self.slots[node].links.get_mut(&link) else { return };
        if !conn.open {
            match conn.established() {
                Ok(true) => {
                    conn.open = true;
                    self.pending.push_back((node, Pending::Opened(link)));
                }
                Ok(false) => return,
                Err(e) => return self.drop_link(node, link, connect_failure(&e)),
            }
        }
        let Some((_, conn)) = self.slots[node].links.get_mut(&link) else { return };
        match conn.write() {
            Ok(()) if conn.write_interrupted => self.interrupted_writes.push((node, link)),
            Ok(()) => self.close_if_written(node, link),
            Err(why) => self.write_failed(node, link, why),
        }
    }

    /// Reads one buffer; a link with more to read is queued behind the others.
    fn read(&mut self, node: usize, link: Link) {
        let Some((_, conn)) = self.slots[node].links.get_mut(&link) else { return };
        if conn.paused || !conn.open {
            return;
        }
        let mut buffer = std::mem::take(&mut self.buffer);
        let outcome = conn.read(&mut buffer);
        match outcome {
            ReadOutcome::Bytes(count) => {
                self.deliver(node, Input::Bytes { link, bytes: &buffer[..count] });
                self.readable.push_back((node, link));
            }
            ReadOutcome::Interrupted => self.readable.push_back((node, link)),
            ReadOutcome::Nothing => {}
            ReadOutcome::Ended(why) => self.drop_link(node, link, why),
        }
        self.buffer = buffer;
    }
}

/// Why a connection could not be opened. A lack of local resources, of which the network interface is one, is no
/// refusal: the server would be taken for dead.
fn connect_failure(e: &io::Error) -> Ended {
    use libc::{EADDRNOTAVAIL, EMFILE, ENETDOWN, ENETUNREACH, ENFILE, ENOBUFS, ENOMEM};
    match e.raw_os_error() {
        Some(EMFILE | ENFILE | ENOBUFS | ENOMEM | EADDRNOTAVAIL | ENETDOWN | ENETUNREACH) => {
            Ended::Unavailable
        }
        _ => Ended::Refused,
    }
}

fn log(record: &LogRecord) {
    let fields: Vec<String> = record.fields.iter().map(|(name, value)| format!("{name}={value}")).collect();
    let (event, fields) = (record.event, fields.join(" "));
    match record.level {
        Level::Debug => tracing::debug!(event, "{fields}"),
        Level::Info => tracing::info!(event, "{fields}"),
        Level::Warn => tracing::warn!(event, "{fields}"),
        Level::Error => tracing::error!(event, "{fields}"),
    }
}

/// Converts a span to the standard library's duration.
pub fn duration(span: Span) -> Duration {
    Duration::from_nanos(span.0)
}
