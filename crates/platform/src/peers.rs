//! The roles of connected peers, and what a message from a peer of each role does.

use pewtergap_node::Link;
use pewtergap_resp::{Bounds, Message, Reader};
use pewtergap_time::{Moment, Span};
use std::collections::{BTreeMap, VecDeque};

/// Message bounds before a peer has identified itself, and after it has joined, when a message may have the platform's
/// full length.
pub const UNIDENTIFIED: Bounds = Bounds { bytes: 4 * 1024, items: 64 };
pub const JOINED: Bounds = Bounds { bytes: 1024 * 1024, items: 4 * 1024 };
/// Maximum number of unacknowledged marks of a stream; the planner core's own accounting stops well before it.
pub const MAX_MARKS: usize = 256;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerRole {
    /// Has not identified itself.
    Stranger,
    Collector,
    Proxy,
    /// A proxy's stream that was replaced by a newer one.
    Former,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Ping,
    Register,
    ServerStats,
    Subscribe,
    Applied,
    Arrivals,
    /// Framed correctly, but otherwise invalid.
    Invalid,
}

pub fn kind(message: &Message) -> Kind {
    match message {
        Message::Ping => Kind::Ping,
        Message::Register { .. } => Kind::Register,
        Message::ServerStats(_) => Kind::ServerStats,
        Message::Subscribe { .. } => Kind::Subscribe,
        Message::Applied { .. } => Kind::Applied,
        Message::Arrivals { .. } => Kind::Arrivals,
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Pong,
    /// Assign the peer the role it claims, if the names in the message exist.
    Admit,
    /// Pass the message to the planner core, if the names in it exist.
    Forward,
    /// Close the connection.
    Reject,
    /// Ignore the message.
    Ignore,
}

use Effect::*;
use Kind::*;
use PeerRole::{Collector, Former, Proxy, Stranger};

/// The first matching row applies. A peer that has not joined is disconnected at its first invalid message; a joined
/// peer loses only the message.
pub const TRANSITIONS: &[(&[PeerRole], &[Kind], PeerRole, Effect)] = &[
    (&[Stranger], &[Ping], Stranger, Pong),
    (&[Collector], &[Ping], Collector, Pong),
    (&[Proxy], &[Ping], Proxy, Pong),
    (&[Stranger], &[Register], Collector, Admit),
    (&[Stranger], &[Subscribe], Proxy, Admit),
    (&[Stranger], &[ServerStats, Applied, Arrivals, Invalid], Stranger, Reject),
    (&[Collector], &[ServerStats, Arrivals], Collector, Forward),
    (&[Collector], &[Register, Subscribe, Applied, Invalid], Collector, Ignore),
    (&[Proxy], &[Applied, Arrivals], Proxy, Forward),
    (&[Proxy], &[Register, Subscribe, ServerStats, Invalid], Proxy, Ignore),
    (&[Former], &[Ping, Register, ServerStats, Subscribe, Applied, Arrivals, Invalid], Former, Ignore),
];

pub fn transition(role: PeerRole, kind: Kind) -> (PeerRole, Effect) {
    let row = TRANSITIONS.iter().find(|row| row.0.contains(&role) && row.1.contains(&kind));
    row.map_or((role, Ignore), |row| (row.2, row.3))
}

pub struct Peer {
    pub role: PeerRole,
    pub reader: Reader,
    /// When it took its present role.
    pub since: Moment,
    /// Index of the proxy, and of the collector's zone.
    pub proxy: usize,
    pub zone: usize,
}

/// A joined proxy's stream.
#[derive(Debug)]
pub struct Stream {
    pub link: Link,
    /// Unacknowledged marks and when each was sent.
    pub marks: VecDeque<(u64, Moment)>,
    /// Marks that are no longer waited for; a late acknowledgement of one of them is not spoilt.
    pub dismissed_marks: VecDeque<u64>,
    pub last_contact: Moment,
    /// As given by the proxy when it joined.
    pub zone: usize,
    pub calls_per_s: f64,
    /// Nothing was received for so long that the planner core was told that the proxy left.
    pub silent: bool,
    /// When the last message was received that may have been a spoilt acknowledgement.
    pub spoilt_at: Option<Moment>,
}

/// Why an acknowledgement was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownMark;

impl Stream {
    /// Waits for the acknowledgement of a mark; beyond the maximum number, not for the oldest any more.
    pub fn expect_mark(&mut self, mark: u64, now: Moment) {
        self.marks.push_back((mark, now));
        self.dismiss_down_to(MAX_MARKS);
    }

    /// Stops waiting for all acknowledgements.
    pub fn dismiss_marks(&mut self) {
        self.dismiss_down_to(0);
    }

    /// Stops waiting for the oldest acknowledgements, so that this many remain.
    fn dismiss_down_to(&mut self, remaining: usize) {
        let dismissed = self.marks.len().saturating_sub(remaining);
        self.dismissed_marks.extend(self.marks.drain(..dismissed).map(|sent| sent.0));
        let excess = self.dismissed_marks.len().saturating_sub(MAX_MARKS);
        self.dismissed_marks.drain(..excess);
    }

    /// Accepts the acknowledgement of a mark and of all earlier ones. Returns whether it was still waited for.
    pub fn acknowledge(&mut self, mark: u64) -> Result<bool, UnknownMark> {
        match self.marks.iter().position(|sent| sent.0 == mark) {
            Some(at) => {
                self.marks.drain(..=at);
                Ok(true)
            }
            None if self.dismissed_marks.contains(&mark) => Ok(false),
            None => Err(UnknownMark),
        }
    }

    /// Whether a healthy proxy would have sent something by now: marks are unacknowledged and nothing else was received.
    /// Two marks are required, since one acknowledgement may have been invalid, and an idle proxy must still be notified
    /// of drains.
    pub fn is_unresponsive(&self, now: Moment, unresponsive_after: Span) -> bool {
        let unanswered = self.marks.get(1).is_some_and(|sent| now.since(sent.1) > unresponsive_after);
        !self.silent && unanswered && now.since(self.last_contact) > unresponsive_after
    }

    /// Whether a mark has long been unacknowledged and a message that may have been its acknowledgement, spoilt, was
    /// received since it was sent.
    pub fn may_have_lost_ack(&self, now: Moment, unresponsive_after: Span) -> bool {
        self.marks.front().is_some_and(|(_, sent)| {
            now.since(*sent) > unresponsive_after
                && self.spoilt_at.is_some_and(|spoilt_at| spoilt_at >= *sent)
        })
    }
}

/// All accepted connections, and the proxies' streams among them.
#[derive(Default)]
pub struct Peers {
    pub all: BTreeMap<Link, Peer>,
    pub streams: BTreeMap<usize, Stream>,
    /// Memory of incomplete messages in bytes, of all peers together.
    pub held: usize,
}

impl Peers {
    /// The peer whose incomplete message takes the most memory.
    pub fn largest_incomplete(&self) -> Option<Link> {
        let held = self.all.iter().map(|(link, peer)| (*link, peer.reader.held()));
        held.max_by_key(|(_, held)| *held).filter(|(_, held)| *held > 0).map(|(link, _)| link)
    }

    /// Connections that have not joined or were replaced, oldest first.
    pub fn unjoined(&self) -> impl Iterator<Item = (Link, &Peer)> + '_ {
        let unjoined = |peer: &Peer| matches!(peer.role, Stranger | Former);
        self.all.iter().filter(move |(_, peer)| unjoined(peer)).map(|(link, peer)| (*link, peer))
    }
}
