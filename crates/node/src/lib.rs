//! The interface between a node and its driver: a state machine that takes a time and an input and fills an outbox.
//!
//! A node has no socket, clock, thread or global state. A driver feeds it inputs and executes its effects: the
//! reactor with real sockets, the virtual world with simulated ones. Guarantees of a driver:
//!
//! - `Start` is the first input and comes once; time never goes backwards.
//! - Nodes of one reactor group share only what they were constructed with. A notification is never lost, and the
//!   number of links in transfer between two drivers is bounded.
//! - Each link ends with exactly one `Closed`, also when the node closed it; no input for the link follows.
//! - `TimerFired` may come late, never early. Timers cannot be cancelled: a node must tolerate one it no longer needs.
//! - Writes to a file are executed in order, and each ends with one `Synced`. After an error the state of the file is
//!   unknown: a failed sync is never retried and then trusted.
//! - An accepted link that its peer has reset is closed at once, paused or not: what was not read of it is dropped.
//! - Bytes sent on a link are written in order. If the unwritten bytes of a link exceed the driver's limit, the
//!   link is closed with `Ended::Overflow`: buffering for a peer that does not read is bounded.
#![forbid(unsafe_code)]

use pewtergap_time::Moment;
use std::any::Any;
use std::net::{IpAddr, SocketAddr};

/// The error of [`Input::File`] if the file does not exist; with any other error its content is unknown.
pub const NO_FILE: &str = "there is no such file";

/// A connection, identified within one driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Link(pub u64);

/// A node of a reactor group: cooperating nodes of several drivers, each on its own thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReactorId(pub u32);

/// Why a link was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The peer closed the connection in an orderly way.
    Done,
    /// Connection refused or no route to the peer: nothing was sent.
    Refused,
    /// The peer or the network reset the connection.
    Reset,
    /// This process lacks the resources for the connection, or a way to the peer's network: nothing was sent.
    Unavailable,
    /// The unwritten bytes exceeded the driver's limit.
    Overflow,
    /// The node closed the connection.
    Ours,
    /// The node transferred the connection to another node of its reactor group.
    Handed,
}

#[derive(Debug)]
pub enum Input<'a> {
    Start,
    /// A listener is open; `at` has the port that was actually bound.
    Listening {
        listener: u32,
        at: SocketAddr,
    },
    /// A listener could not be opened.
    NotListening {
        listener: u32,
        why: String,
    },
    /// A listener accepted a connection.
    Accepted {
        link: Link,
        listener: u32,
        from: SocketAddr,
    },
    /// A connection requested by the node is established.
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
    /// The content of a requested file, or why it could not be read.
    File {
        name: &'a str,
        bytes: Result<&'a [u8], String>,
    },
    /// A write is durable, or why its state is unknown.
    Synced {
        ticket: u64,
        result: Result<(), String>,
    },
    /// A transfer failed and the link stays here: the other driver's queue is full, or it has ended.
    TransferFailed {
        link: Link,
        to: ReactorId,
    },
    /// Another node of the group changed the shared state. Notifications that arrive before the node has handled
    /// the first one are coalesced.
    Notified,
    /// A command from the process that runs the node, such as the lab's director or a test.
    Command(&'a str),
    /// Shut down in an orderly way.
    Stop,
    /// Reread configuration that may have changed.
    Reload,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    Debug,
    Info,
    Warn,
    Error,
}

/// A structured log record: the event's name and its fields.
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
    /// `from` binds the local address, so that the peer can identify the caller by address.
    Connect {
        link: Link,
        to: SocketAddr,
        from: Option<IpAddr>,
    },
    Send {
        link: Link,
        bytes: Vec<u8>,
    },
    /// Closes the link once all queued bytes are written.
    Finish {
        link: Link,
    },
    /// Closes the link at once; unwritten bytes are lost and the peer sees a reset.
    Cut {
        link: Link,
    },
    /// Transfers an accepted link, on which nothing was read or sent, to another node of the group: that node receives
    /// it as `Accepted` from the same listener, here it is closed with `Ended::Handed`.
    Transfer {
        link: Link,
        to: ReactorId,
        listener: u32,
    },
    Notify {
        reactor: ReactorId,
    },
    /// Stops reading, which applies backpressure to the peer, until `Resume`.
    Pause {
        link: Link,
    },
    Resume {
        link: Link,
    },
    /// Delivers an empty `Bytes` for the link after the inputs of other links: for a node that has received more on
    /// it than it handles at once. Works on a paused link too.
    Continue {
        link: Link,
    },
    SetTimer {
        timer: u64,
        at: Moment,
    },
    /// Reads a file; the result comes as `File`.
    ReadFile {
        name: String,
    },
    /// Saves a file atomically, also across a crash.
    SaveFile {
        name: String,
        bytes: Vec<u8>,
    },
    /// Writes at an offset of a file, truncates the file after the write, syncs it, and reports `Synced`.
    Append {
        name: String,
        at: u64,
        bytes: Vec<u8>,
        ticket: u64,
    },
    /// Saves a file as `SaveFile` does, and reports `Synced`.
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

/// Effects requested by a node. Links are numbered here, so that a node can refer to one before it is established.
#[derive(Debug, Default)]
pub struct Outbox {
    pub effects: Vec<Effect>,
    last_link: u64,
}

impl Outbox {
    pub fn link(&mut self) -> Link {
        self.last_link += 1;
        Link(self.last_link)
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

    /// For drivers that return their nodes after shutdown.
    fn into_any(self: Box<Self>) -> Box<dyn Any>;
}
