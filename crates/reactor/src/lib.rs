//! Drives nodes over real sockets: one mio loop, one thread, any number of nodes.
//!
//! Bounds: a link's unwritten bytes (`most_unwritten`; beyond it the link is closed as `Overflow`), the bytes
//! read from one link before others have their turn, the connections taken from a listener in one go, and
//! words from outside (a bounded queue; the teller waits).
#![forbid(unsafe_code)]

mod disk;
mod sockets;

use mio::{Events, Interest, Poll, Token, Waker};
use pewtergap_node::{Effect, Ended, Input, Level, Link, LogRecord, Node, Outbox, ReactorId, NO_FILE};
use pewtergap_time::{Moment, Span};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;
pub use sockets::write_atomically;
use sockets::{Conn, Door, Taken};
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
const FIRST: usize = 2;
const MOST_WORDS: usize = 4096;
/// Connections taken from a listener in one go, and how long it rests when descriptors have run out.
const MOST_TAKEN_IN: usize = 16;
const NO_ROOM: Span = Span::millis(50);

/// Which of the reactor's nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeId(pub usize);

/// One clock for a process: counted from its start by a clock that never goes back, and put on the scale of
/// the calendar once, so that moments of processes on one machine can be compared.
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

enum Told {
    Word(NodeId, String),
    Synced(NodeId, u64, Result<(), String>),
    /// A connection from another reactor of the house, and the door it came in at.
    Link(NodeId, std::net::TcpStream, u32),
    End,
}

/// Who of several reactors has which seat.
#[derive(Clone, Default)]
pub struct ReactorGroup {
    seats: Arc<Mutex<HashMap<ReactorId, Resident>>>,
}

#[derive(Clone)]
struct Resident {
    handle: Handle,
    place: NodeId,
    knocked: Arc<AtomicBool>,
}

impl ReactorGroup {
    fn resident(&self, seat: ReactorId) -> Option<Resident> {
        self.seats.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).get(&seat).cloned()
    }
}

/// Speaks to the nodes of a reactor that runs in another thread.
#[derive(Clone)]
pub struct Handle {
    words: SyncSender<Told>,
    waker: Arc<Waker>,
}

impl Handle {
    /// False when the reactor has ended.
    pub fn send_command(&self, place: NodeId, word: impl Into<String>) -> bool {
        self.words.send(Told::Word(place, word.into())).is_ok() && self.waker.wake().is_ok()
    }

    /// A reactor that does not keep up is not waited for: the connection goes back to whoever had it.
    fn hand(&self, place: NodeId, stream: std::net::TcpStream, door: u32) -> Result<(), std::net::TcpStream> {
        match self.words.try_send(Told::Link(place, stream, door)) {
            Ok(()) => {
                let _ = self.waker.wake();
                Ok(())
            }
            Err(TrySendError::Full(Told::Link(_, stream, _)))
            | Err(TrySendError::Disconnected(Told::Link(_, stream, _))) => Err(stream),
            Err(_) => Ok(()),
        }
    }

    pub fn shut_down(&self) {
        let _ = self.words.send(Told::End);
        let _ = self.waker.wake();
    }
}

/// A timer in the heap: earliest first, then in the order set.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Alarm(std::cmp::Reverse<(Moment, u64)>, usize, u64);

enum Source {
    Door { place: usize, door: u32 },
    Link { place: usize, link: Link },
}

struct Slot {
    node: Box<dyn Node>,
    out: Outbox,
    doors: HashMap<u32, (Token, Door)>,
    links: HashMap<Link, (Token, Conn)>,
}

/// What waits for a node while another input is being carried out.
enum Pending {
    Opened(Link),
    Closed(Link, Ended),
    Listening(u32, SocketAddr),
    NotListening(u32, String),
    File(String, Result<Vec<u8>, String>),
    Synced(u64, Result<(), String>),
    HandedBack(Link, ReactorId),
    Start,
    Stop,
    Reload,
}

pub struct Reactor {
    poll: Poll,
    clock: Clock,
    signals: Option<Signals>,
    words: Receiver<Told>,
    handle: Handle,
    house: ReactorGroup,
    /// Nodes here that have a seat in the house, and whether somebody knocked.
    seated: Vec<(NodeId, Arc<AtomicBool>)>,
    slots: Vec<Slot>,
    sources: HashMap<Token, Source>,
    next_token: usize,
    alarms: BinaryHeap<Alarm>,
    alarms_set: u64,
    pending: VecDeque<(usize, Pending)>,
    /// Links that had more to read when their turn ended.
    again: VecDeque<(usize, Link)>,
    /// Doors with more to take in, and when to look again.
    waiting: Vec<(usize, u32, Moment)>,
    most_unwritten: usize,
    /// Where kept files lie, and who writes what is synced there; made with the first write.
    dir: PathBuf,
    disk: Option<disk::Disk>,
    announces: bool,
    exit: Option<i32>,
    buffer: Vec<u8>,
}

impl Reactor {
    pub fn new(clock: Clock, most_unwritten: usize, dir: PathBuf) -> io::Result<Reactor> {
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKER)?);
        let (sender, words) = sync_channel(MOST_WORDS);
        Ok(Reactor {
            poll,
            clock,
            signals: None,
            words,
            handle: Handle { words: sender, waker },
            house: ReactorGroup::default(),
            seated: Vec::new(),
            slots: Vec::new(),
            sources: HashMap::new(),
            next_token: FIRST,
            alarms: BinaryHeap::new(),
            alarms_set: 0,
            pending: VecDeque::new(),
            again: VecDeque::new(),
            waiting: Vec::new(),
            most_unwritten,
            dir,
            disk: None,
            announces: false,
            exit: None,
            buffer: vec![0; 64 * 1024],
        })
    }

    /// SIGTERM and SIGINT end all nodes in order, SIGHUP has them read again.
    pub fn catch_signals(&mut self) -> io::Result<()> {
        let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
        self.poll.registry().register(&mut signals, SIGNALS, Interest::READABLE)?;
        self.signals = Some(signals);
        Ok(())
    }

    /// Each listener's address goes to standard output, a line each, for whoever started the program with
    /// ports of 0.
    pub fn announce(&mut self) {
        self.announces = true;
    }

    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    pub fn add(&mut self, node: Box<dyn Node>) -> NodeId {
        let out = Outbox::default();
        self.slots.push(Slot { node, out, doors: HashMap::new(), links: HashMap::new() });
        self.pending.push_back((self.slots.len() - 1, Pending::Start));
        NodeId(self.slots.len() - 1)
    }

    /// Gives a node a seat among those of other reactors; all seats are taken before any of them runs. A
    /// reactor belongs to one house.
    pub fn join_group(&mut self, house: &ReactorGroup, seat: ReactorId, place: NodeId) {
        let knocked = Arc::new(AtomicBool::new(false));
        self.house = house.clone();
        self.seated.push((place, knocked.clone()));
        let resident = Resident { handle: self.handle.clone(), place, knocked };
        self.house.seats.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).insert(seat, resident);
    }

    /// Runs until a node asks for the exit or the handle ends it; hands the nodes back.
    pub fn run(mut self) -> io::Result<(i32, Vec<Box<dyn Node>>)> {
        let mut events = Events::with_capacity(1024);
        self.settle();
        while self.exit.is_none() {
            let wait = if self.again.is_empty() { self.wait() } else { Some(Duration::ZERO) };
            let now = self.clock.now();
            let doors = self.waiting.iter().map(|door| duration(door.2.since(now)));
            let wait = doors.chain(wait).min();
            match self.poll.poll(&mut events, wait) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                other => other?,
            }
            for event in &events {
                // Who has asked for the exit promises nothing any more: what else this poll has is not heard.
                if self.exit.is_some() {
                    break;
                }
                match event.token() {
                    WAKER => self.hear_words(),
                    SIGNALS => self.hear_signals(),
                    token => {
                        self.ready(token, event.is_readable() || event.is_read_closed(), event.is_writable())
                    }
                }
                self.settle();
            }
            for (place, link) in std::mem::take(&mut self.again) {
                if self.exit.is_none() {
                    self.read(place, link);
                    self.settle();
                }
            }
            if self.exit.is_some() {
                break;
            }
            let now = self.clock.now();
            let (due, later): (Vec<_>, Vec<_>) =
                std::mem::take(&mut self.waiting).into_iter().partition(|door| door.2 <= now);
            self.waiting = later;
            for (place, door, _) in due {
                self.accept(place, door);
            }
            self.ring();
        }
        // Whoever ends in order has its last words written, as far as the peers take them at once.
        for slot in &mut self.slots {
            slot.links.values_mut().for_each(|(_, conn)| {
                let _ = conn.write();
            });
        }
        Ok((self.exit.unwrap_or(0), self.slots.into_iter().map(|slot| slot.node).collect()))
    }

    fn wait(&self) -> Option<Duration> {
        let next = self.alarms.peek()?;
        let left = next.0 .0 .0.since(self.clock.now());
        // The kernel waits whole milliseconds; rounding up keeps an alarm from ringing early and the loop
        // from spinning.
        Some(Duration::from_nanos(left.0))
    }

    fn ring(&mut self) {
        loop {
            let now = self.clock.now();
            match self.alarms.peek() {
                Some(alarm) if alarm.0 .0 .0 <= now && self.exit.is_none() => {}
                _ => return,
            }
            let Some(Alarm(_, place, timer)) = self.alarms.pop() else { return };
            self.give(place, Input::TimerFired { timer });
            self.settle();
        }
    }

    fn hear_words(&mut self) {
        // The flag falls before the node looks, so that what is left meanwhile rings anew.
        let knocked = |seated: &&(NodeId, Arc<AtomicBool>)| seated.1.swap(false, Ordering::AcqRel);
        let knocked: Vec<NodeId> = self.seated.iter().filter(knocked).map(|seated| seated.0).collect();
        for place in knocked {
            self.give(place.0, Input::Notified);
            self.settle();
        }
        while self.exit.is_none() {
            let Ok(told) = self.words.try_recv() else { return };
            match told {
                Told::End => self.exit = Some(self.exit.unwrap_or(0)),
                Told::Link(place, stream, door) => {
                    // One whose peer has gone is handed on all the same, so that both sides count alike.
                    let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
                    let from = stream.peer_addr().unwrap_or(nowhere);
                    let link = self.slots[place.0].out.link();
                    self.admit(place.0, link, Conn::taken_over(stream));
                    self.give(place.0, Input::Accepted { link, listener: door, from });
                    self.settle();
                }
                Told::Synced(place, ticket, result) => {
                    self.give(place.0, Input::Synced { ticket, result });
                    self.settle();
                }
                Told::Word(place, word) => {
                    self.give(place.0, Input::Command(&word));
                    self.settle();
                }
            }
        }
    }

    fn hear_signals(&mut self) {
        let caught: Vec<i32> = self.signals.iter_mut().flat_map(|signals| signals.pending()).collect();
        for signal in caught {
            for place in 0..self.slots.len() {
                let what = if signal == SIGHUP { Pending::Reload } else { Pending::Stop };
                self.pending.push_back((place, what));
            }
        }
    }

    fn give(&mut self, place: usize, input: Input<'_>) {
        let now = self.clock.now();
        let slot = &mut self.slots[place];
        slot.node.handle(now, input, &mut slot.out);
        let effects = std::mem::take(&mut slot.out.effects);
        effects.into_iter().for_each(|effect| self.carry_out(place, effect));
    }

    /// Hands out what waits until nothing does.
    fn settle(&mut self) {
        while let Some((place, what)) = self.pending.pop_front() {
            match what {
                Pending::Opened(link) => self.give(place, Input::Opened { link }),
                Pending::Closed(link, why) => self.give(place, Input::Closed { link, why }),
                Pending::Listening(door, at) => self.give(place, Input::Listening { listener: door, at }),
                Pending::NotListening(door, why) => {
                    self.give(place, Input::NotListening { listener: door, why })
                }
                Pending::File(name, bytes) => {
                    let bytes = bytes.as_deref().map_err(|why| why.clone());
                    self.give(place, Input::File { name: &name, bytes });
                }
                Pending::Synced(ticket, result) => self.give(place, Input::Synced { ticket, result }),
                Pending::HandedBack(link, to) => self.give(place, Input::TransferFailed { link, to }),
                Pending::Start => self.give(place, Input::Start),
                Pending::Stop => self.give(place, Input::Stop),
                Pending::Reload => self.give(place, Input::Reload),
            }
        }
    }

    fn carry_out(&mut self, place: usize, effect: Effect) {
        match effect {
            Effect::Listen { listener: door, at } => self.listen(place, door, at),
            Effect::Unlisten { listener: door } => {
                if let Some((token, mut open)) = self.slots[place].doors.remove(&door) {
                    let _ = self.poll.registry().deregister(&mut open.listener);
                    self.sources.remove(&token);
                }
            }
            Effect::Connect { link, to, from } => match Conn::connect(to, from) {
                Ok(conn) => self.admit(place, link, conn),
                Err(e) => {
                    // That this side has no room says nothing of the peer: taken for a refusal it was a dead server.
                    let why = if no_room(&e) { Ended::Overflow } else { Ended::Refused };
                    self.pending.push_back((place, Pending::Closed(link, why)));
                }
            },
            Effect::Send { link, bytes } => {
                let most = self.most_unwritten;
                let Some((_, conn)) = self.slots[place].links.get_mut(&link) else { return };
                conn.queue(bytes);
                let went = conn.write();
                let over = conn.unwritten() > most;
                match went {
                    Err(why) => self.broken(place, link, why),
                    Ok(()) if over => self.drop_link(place, link, Ended::Overflow),
                    Ok(()) => self.finished(place, link),
                }
            }
            Effect::Finish { link } => {
                if let Some((_, conn)) = self.slots[place].links.get_mut(&link) {
                    conn.finishing = true;
                    self.finished(place, link);
                }
            }
            Effect::Cut { link } => {
                if let Some((_, conn)) = self.slots[place].links.get_mut(&link) {
                    conn.reset_on_drop();
                    self.drop_link(place, link, Ended::Ours);
                }
            }
            Effect::Transfer { link, to, listener: door } => self.hand(place, link, to, door),
            Effect::Notify { reactor: seat } => {
                if let Some(resident) = self.house.resident(seat) {
                    if !resident.knocked.swap(true, Ordering::AcqRel) {
                        let _ = resident.handle.waker.wake();
                    }
                }
            }
            Effect::Pause { link } => {
                if let Some((_, conn)) = self.slots[place].links.get_mut(&link) {
                    conn.paused = true;
                }
            }
            Effect::Resume { link } => {
                if let Some((_, conn)) = self.slots[place].links.get_mut(&link) {
                    conn.paused = false;
                    self.again.push_back((place, link));
                }
            }
            Effect::SetTimer { timer, at } => {
                self.alarms_set += 1;
                self.alarms.push(Alarm(std::cmp::Reverse((at, self.alarms_set)), place, timer));
            }
            Effect::ReadFile { name } => {
                let told = |e: io::Error| match e.kind() {
                    io::ErrorKind::NotFound => NO_FILE.to_string(),
                    _ => e.to_string(),
                };
                let bytes = std::fs::read(self.dir.join(&name)).map_err(told);
                self.pending.push_back((place, Pending::File(name, bytes)));
            }
            Effect::SaveFile { name, bytes } => {
                if let Err(e) = sockets::write_atomically(&self.dir.join(&name), &bytes) {
                    tracing::error!(file = %name, error = %e, "not_kept");
                }
            }
            Effect::Append { name, at, bytes, ticket } => {
                self.write(place, ticket, disk::Job { name, at: Some(at), bytes });
            }
            Effect::ReplaceFile { name, bytes, ticket } => {
                self.write(place, ticket, disk::Job { name, at: None, bytes });
            }
            Effect::Log(line) => {
                if self.announces && line.event == "listening" {
                    let fields: Vec<&str> = line.fields.iter().map(|field| field.1.as_str()).collect();
                    // Who reads this may have gone; that is no reason to end.
                    let _ = writeln!(io::stdout(), "listening {}", fields.join(" "));
                }
                log(&line);
            }
            Effect::Exit { code } => self.exit = Some(self.exit.unwrap_or(code)),
        }
    }

    /// A sync takes milliseconds: on this thread, all links would wait for it.
    fn write(&mut self, place: usize, ticket: u64, job: disk::Job) {
        let (dir, handle) = (&self.dir, &self.handle);
        let disk = self.disk.get_or_insert_with(|| disk::Disk::new(dir.clone(), handle.clone()));
        if let Err(why) = disk.write(NodeId(place), ticket, job) {
            self.pending.push_back((place, Pending::Synced(ticket, Err(why))));
        }
    }

    fn listen(&mut self, place: usize, door: u32, at: SocketAddr) {
        let token = self.token();
        let opened = Door::open(at).and_then(|mut open| {
            self.poll.registry().register(&mut open.listener, token, Interest::READABLE)?;
            let at = open.listener.local_addr()?;
            Ok((open, at))
        });
        match opened {
            Ok((open, at)) => {
                self.sources.insert(token, Source::Door { place, door });
                self.slots[place].doors.insert(door, (token, open));
                self.pending.push_back((place, Pending::Listening(door, at)));
            }
            Err(e) => self.pending.push_back((place, Pending::NotListening(door, format!("{at}: {e}")))),
        }
    }

    fn hand(&mut self, place: usize, link: Link, to: ReactorId, door: u32) {
        let Some((token, mut conn)) = self.slots[place].links.remove(&link) else { return };
        let _ = self.poll.registry().deregister(&mut conn.stream);
        self.sources.remove(&token);
        let went = match self.house.resident(to) {
            Some(resident) => resident.handle.hand(resident.place, conn.given_away(), door),
            None => Err(conn.given_away()),
        };
        match went {
            Ok(()) => self.pending.push_back((place, Pending::Closed(link, Ended::Handed))),
            Err(stream) => {
                self.admit(place, link, Conn::taken_over(stream));
                self.pending.push_back((place, Pending::HandedBack(link, to)));
            }
        }
    }

    fn token(&mut self) -> Token {
        self.next_token += 1;
        Token(self.next_token - 1)
    }

    fn admit(&mut self, place: usize, link: Link, mut conn: Conn) {
        let token = self.token();
        let both = Interest::READABLE | Interest::WRITABLE;
        if self.poll.registry().register(&mut conn.stream, token, both).is_err() {
            self.pending.push_back((place, Pending::Closed(link, Ended::Overflow)));
            return;
        }
        self.sources.insert(token, Source::Link { place, link });
        self.slots[place].links.insert(link, (token, conn));
    }

    fn drop_link(&mut self, place: usize, link: Link, why: Ended) {
        if let Some((token, mut conn)) = self.slots[place].links.remove(&link) {
            let _ = self.poll.registry().deregister(&mut conn.stream);
            self.sources.remove(&token);
            if why == Ended::Overflow {
                conn.reset_on_drop();
            }
            self.pending.push_back((place, Pending::Closed(link, why)));
        }
    }

    /// Nothing can be written any more. What the peer had said before it broke the link may still wait to be read: a
    /// server's answer right ahead of its reset was thrown away, and the server taken for dead.
    fn broken(&mut self, place: usize, link: Link, why: Ended) {
        let Some((_, conn)) = self.slots[place].links.get_mut(&link) else { return };
        conn.give_up(why);
        // Nobody reads these any more, so their end would never be seen.
        if conn.paused || conn.finishing {
            return self.drop_link(place, link, why);
        }
        self.again.push_back((place, link));
    }

    /// Closes a link that was to be finished once all of it is written.
    fn finished(&mut self, place: usize, link: Link) {
        let done = |conn: &Conn| conn.finishing && conn.open && conn.unwritten() == 0;
        if self.slots[place].links.get(&link).is_some_and(|(_, conn)| done(conn)) {
            self.drop_link(place, link, Ended::Ours);
        }
    }

    fn ready(&mut self, token: Token, readable: bool, writable: bool) {
        match self.sources.get(&token) {
            // After the links of this round: those taken in before are heard first.
            Some(Source::Door { place, door }) => {
                let (place, door) = (*place, *door);
                self.waiting.retain(|waiting| (waiting.0, waiting.1) != (place, door));
                self.waiting.push((place, door, self.clock.now()));
            }
            Some(Source::Link { place, link }) => {
                let (place, link) = (*place, *link);
                if writable {
                    self.writable(place, link);
                    self.settle();
                }
                if readable {
                    self.read(place, link);
                }
            }
            None => {}
        }
    }

    /// Takes in a few, once a round: what these have to say is heard before more come, or hundreds that say nothing
    /// would push out those who are about to. When descriptors run out the door is looked at again after a while; the
    /// kernel tells of a waiting connection once only.
    fn accept(&mut self, place: usize, door: u32) {
        for _ in 0..MOST_TAKEN_IN {
            let Some((_, open)) = self.slots[place].doors.get_mut(&door) else { return };
            match open.accept() {
                Ok(Some((conn, from))) => {
                    let link = self.slots[place].out.link();
                    self.admit(place, link, conn);
                    self.give(place, Input::Accepted { link, listener: door, from });
                    self.settle();
                }
                Ok(None) => return,
                Err(e) => {
                    tracing::warn!(error = %e, "not_accepted");
                    return self.waiting.push((place, door, self.clock.now() + NO_ROOM));
                }
            }
        }
        self.waiting.push((place, door, self.clock.now()));
    }

    fn writable(&mut self, place: usize, link: Link) {
        let Some((_, conn)) = self.slots[place].links.get_mut(&link) else { return };
        if !conn.open {
            match conn.established() {
                Ok(true) => {
                    conn.open = true;
                    self.pending.push_back((place, Pending::Opened(link)));
                }
                Ok(false) => return,
                Err(_) => return self.drop_link(place, link, Ended::Refused),
            }
        }
        let Some((_, conn)) = self.slots[place].links.get_mut(&link) else { return };
        match conn.write() {
            Ok(()) => self.finished(place, link),
            Err(why) => self.broken(place, link, why),
        }
    }

    /// Reads one buffer; a link that has more comes again after the others.
    fn read(&mut self, place: usize, link: Link) {
        let Some((_, conn)) = self.slots[place].links.get_mut(&link) else { return };
        if conn.paused || !conn.open {
            return;
        }
        let mut buffer = std::mem::take(&mut self.buffer);
        let taken = conn.read(&mut buffer);
        match taken {
            Taken::Bytes(count) => {
                self.give(place, Input::Bytes { link, bytes: &buffer[..count] });
                self.again.push_back((place, link));
            }
            Taken::Nothing => {}
            Taken::Ended(why) => self.drop_link(place, link, why),
        }
        self.buffer = buffer;
    }
}

/// Whether a connection could not be opened for want of something on this side.
fn no_room(e: &io::Error) -> bool {
    use libc::{EADDRNOTAVAIL, EMFILE, ENFILE, ENOBUFS, ENOMEM};
    matches!(e.raw_os_error(), Some(EMFILE | ENFILE | ENOBUFS | ENOMEM | EADDRNOTAVAIL))
}

fn log(line: &LogRecord) {
    let fields: Vec<String> = line.fields.iter().map(|(name, value)| format!("{name}={value}")).collect();
    let (event, fields) = (line.event, fields.join(" "));
    match line.level {
        Level::Debug => tracing::debug!(event, "{fields}"),
        Level::Info => tracing::info!(event, "{fields}"),
        Level::Warn => tracing::warn!(event, "{fields}"),
        Level::Error => tracing::error!(event, "{fields}"),
    }
}

/// A span as the standard library has it.
pub fn duration(span: Span) -> Duration {
    Duration::from_nanos(span.0)
}
