//! What a node is: a state machine that is handed a moment and an input and fills an outbox.
//!
//! A node has no socket, clock, thread or global. A driver feeds it and carries out its outbox: the reactor
//! with real sockets, a virtual clock with simulated ones. What a driver promises:
//!
//! - `Start` comes first and once; moments never go back.
//! - Nodes of one house share nothing but what they were made with; a knock is never lost, and links that are
//!   on their way from one driver to another are bounded.
//! - A link ends with exactly one `Closed`, also where the node itself closed it; nothing follows for it.
//! - `Due` may come late, never early. A timer cannot be withdrawn: a node must bear one it no longer needs.
//! - Writes of a file are carried out in order, each ends with one `Synced`. After an error the file's state is not
//!   known: a sync that failed is never tried again and believed.
//! - What a node sends on a link is written in order. If more than the driver's limit waits on a link, the
//!   link is closed with `Ended::Overflow`: a peer that does not read is never buffered for without end.
#![forbid(unsafe_code)]

use pewtergap_time::Moment;
use std::any::Any;
use std::net::{IpAddr, SocketAddr};

/// Why a file could not be read where there is none; any other reason says nothing of what was kept.
pub const NO_FILE: &str = "there is no such file";

/// A connection, of one driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Link(pub u64);

/// A node among those of one house: nodes of several drivers, each on a thread of its own, that work together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReactorId(pub u32);

/// How a link ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The peer closed it in order.
    Done,
    /// Nobody listens there, or no way leads there: nothing was ever sent.
    Refused,
    /// The peer or the network broke it.
    Reset,
    /// More waited to be written than the driver allows, or this side has no room for another connection.
    Overflow,
    /// The node closed it.
    Ours,
    /// The node gave it to another of its house.
    Handed,
}

#[derive(Debug)]
pub enum Input<'a> {
    Start,
    /// A listener is open, at this address (the port is known from here on).
    Listening {
        listener: u32,
        at: SocketAddr,
    },
    /// A listener could not be opened.
    NotListening {
        listener: u32,
        why: String,
    },
    /// A peer came in at a door.
    Accepted {
        link: Link,
        listener: u32,
        from: SocketAddr,
    },
    /// A connection the node asked for stands.
    Opened {
        link: Link,
    },
    Bytes {
        link: Link,
        bytes: &'a [u8],
    },
    Closed {
        link: Link,
        why: Ended,
    },
    TimerFired {
        timer: u64,
    },
    /// What a file holds that the node asked for, or why it could not be read.
    File {
        name: &'a str,
        bytes: Result<&'a [u8], String>,
    },
    /// A write is on disk, or why that is not known.
    Synced {
        ticket: u64,
        result: Result<(), String>,
    },
    /// A link that was to be handed stays here: the other node's driver has no room, or has ended.
    TransferFailed {
        link: Link,
        to: ReactorId,
    },
    /// Another node of the house has left something in what both share. Knocks that come before the node
    /// has heard the first are one.
    Notified,
    /// A word from whoever runs the node: the lab's director, a test.
    Command(&'a str),
    /// End in order.
    Stop,
    /// Read again what may have changed outside.
    Reload,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    Debug,
    Info,
    Warn,
    Error,
}

/// A line for the log: an event's name and its fields.
#[derive(Clone, Debug, PartialEq)]
pub struct LogRecord {
    pub level: Level,
    pub event: &'static str,
    pub fields: Vec<(&'static str, String)>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Listen {
        listener: u32,
        at: SocketAddr,
    },
    Unlisten {
        listener: u32,
    },
    /// `from` binds the near end, so that a peer can tell by address who calls.
    Connect {
        link: Link,
        to: SocketAddr,
        from: Option<IpAddr>,
    },
    Send {
        link: Link,
        bytes: Vec<u8>,
    },
    /// Close once all is written.
    Finish {
        link: Link,
    },
    /// Close at once; what waits is lost and the peer sees a reset.
    Cut {
        link: Link,
    },
    /// Give a link that came in, on which nothing was read or sent, to another node of the house: that one has it
    /// as `Accepted` at the same door, here it ends as `Handed`.
    Transfer {
        link: Link,
        to: ReactorId,
        listener: u32,
    },
    Notify {
        reactor: ReactorId,
    },
    /// Stop reading, so that the peer is held back, and read again.
    Pause {
        link: Link,
    },
    Resume {
        link: Link,
    },
    SetTimer {
        timer: u64,
        at: Moment,
    },
    /// Read a file; the answer comes as `File`.
    ReadFile {
        name: String,
    },
    /// Keep a file: the whole of it or nothing, also through a crash.
    SaveFile {
        name: String,
        bytes: Vec<u8>,
    },
    /// Write at this place of a file, cut what lies behind it, sync, and say so by `Synced`.
    Append {
        name: String,
        at: u64,
        bytes: Vec<u8>,
        ticket: u64,
    },
    /// Keep a file as by `Keep`, and say so by `Synced`.
    ReplaceFile {
        name: String,
        bytes: Vec<u8>,
        ticket: u64,
    },
    Log(LogRecord),
    Exit {
        code: i32,
    },
}

/// What a node wants done. Links are numbered here, so that a node can name one before it stands.
#[derive(Debug, Default)]
pub struct Outbox {
    pub effects: Vec<Effect>,
    next: u64,
}

impl Outbox {
    pub fn link(&mut self) -> Link {
        self.next += 1;
        Link(self.next)
    }

    pub fn connect(&mut self, to: SocketAddr, from: Option<IpAddr>) -> Link {
        let link = self.link();
        self.effects.push(Effect::Connect { link, to, from });
        link
    }

    pub fn send(&mut self, link: Link, bytes: Vec<u8>) {
        self.effects.push(Effect::Send { link, bytes });
    }

    pub fn finish(&mut self, link: Link) {
        self.effects.push(Effect::Finish { link });
    }

    pub fn cut(&mut self, link: Link) {
        self.effects.push(Effect::Cut { link });
    }

    pub fn set_timer(&mut self, timer: u64, at: Moment) {
        self.effects.push(Effect::SetTimer { timer, at });
    }

    pub fn log(&mut self, level: Level, event: &'static str, fields: Vec<(&'static str, String)>) {
        self.effects.push(Effect::Log(LogRecord { level, event, fields }));
    }

    pub fn push(&mut self, effect: Effect) {
        self.effects.push(effect);
    }
}

pub trait Node: Send + Any {
    fn handle(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox);

    /// For drivers that hand a node back when all is over.
    fn into_any(self: Box<Self>) -> Box<dyn Any>;
}
