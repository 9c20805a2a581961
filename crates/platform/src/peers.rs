//! Who stands behind a connection, and what a message from such a one does.

use pewtergap_node::Link;
use pewtergap_resp::{Bounds, Message, Reader};
use pewtergap_time::{Moment, Span};
use std::collections::{BTreeMap, VecDeque};

/// Before it has joined, a connection may hold this much; afterwards a message may be as long as the platform has
/// them.
pub const STRANGERS: Bounds = Bounds { bytes: 4 * 1024, items: 64 };
pub const JOINED: Bounds = Bounds { bytes: 1024 * 1024, items: 4 * 1024 };
/// Marks of one stream that are not answered; the module's account refuses far earlier.
pub const MOST_MARKS: usize = 256;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stand {
    /// Has not said who it is.
    Stranger,
    Collector,
    Proxy,
    /// A proxy's stream that another one has taken over.
    Former,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Ping,
    Collects,
    Sums,
    Joins,
    Applied,
    Arrivals,
    /// Framed as it should be, but spoilt.
    Spoilt,
}

pub fn kind(said: &Message) -> Kind {
    match said {
        Message::Ping => Kind::Ping,
        Message::Collects { .. } => Kind::Collects,
        Message::ServerStats(_) => Kind::Sums,
        Message::Joins { .. } => Kind::Joins,
        Message::Applied { .. } => Kind::Applied,
        Message::Arrivals { .. } => Kind::Arrivals,
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Pong,
    /// Take it in as what it says it is, if that exists.
    Admit,
    /// Tell the module, if all it names exists.
    Tell,
    /// Turn it away.
    Refuse,
    /// Leave the message out.
    Omit,
}

use Effect::*;
use Kind::*;
use Stand::{Collector, Former, Proxy, Stranger};

/// The first row that fits counts. Who has not joined is turned away at the first wrong word; who has joined
/// loses no more than the message.
pub const TRANSITIONS: &[(&[Stand], &[Kind], Stand, Effect)] = &[
    (&[Stranger], &[Ping], Stranger, Pong),
    (&[Collector], &[Ping], Collector, Pong),
    (&[Proxy], &[Ping], Proxy, Pong),
    (&[Stranger], &[Collects], Collector, Admit),
    (&[Stranger], &[Joins], Proxy, Admit),
    (&[Stranger], &[Sums, Applied, Arrivals, Spoilt], Stranger, Refuse),
    (&[Collector], &[Sums, Arrivals], Collector, Tell),
    (&[Collector], &[Collects, Joins, Applied, Spoilt], Collector, Omit),
    (&[Proxy], &[Applied, Arrivals], Proxy, Tell),
    (&[Proxy], &[Collects, Joins, Sums, Spoilt], Proxy, Omit),
    (&[Former], &[Ping, Collects, Sums, Joins, Applied, Arrivals, Spoilt], Former, Omit),
];

pub fn transition(stand: Stand, kind: Kind) -> (Stand, Effect) {
    let row = TRANSITIONS.iter().find(|row| row.0.contains(&stand) && row.1.contains(&kind));
    row.map_or((stand, Omit), |row| (row.2, row.3))
}

pub struct Peer {
    pub stand: Stand,
    pub reader: Reader,
    /// Since when it stands as it does.
    pub since: Moment,
    /// Index of the proxy, where it is one; of the zone, where it collects.
    pub proxy: usize,
    pub zone: usize,
}

/// A joined proxy's stream.
#[derive(Debug)]
pub struct Stream {
    pub link: Link,
    /// Marks sent and not answered, and when.
    pub marks: VecDeque<(u64, Moment)>,
    pub heard: Moment,
    /// What it said when it joined.
    pub zone: usize,
    pub calls_per_s: f64,
    /// Nothing came for so long that the module was told it had left.
    pub silent: bool,
    /// When something that could not be read came last.
    pub spoilt: Option<Moment>,
}

impl Stream {
    /// A healthy one would have said something by now: messages wait for their answers, and nothing else came. Two
    /// of them: one answer may have come spoilt, and a proxy that is only idle must still be told of drains.
    pub fn overdue(&self, now: Moment, unresponsive_after: Span) -> bool {
        let unanswered = self.marks.get(1).is_some_and(|sent| now.since(sent.1) > unresponsive_after);
        !self.silent && unanswered && now.since(self.heard) > unresponsive_after
    }

    /// A mark is open for long, and since it was sent something came that could not be read.
    pub fn unsure(&self, now: Moment, unresponsive_after: Span) -> bool {
        self.marks.front().is_some_and(|(_, sent)| {
            now.since(*sent) > unresponsive_after && self.spoilt.is_some_and(|spoilt| spoilt >= *sent)
        })
    }
}

/// All connections that came in at the door, and the streams among them.
#[derive(Default)]
pub struct Peers {
    pub all: BTreeMap<Link, Peer>,
    pub streams: BTreeMap<usize, Stream>,
    /// Bytes held of messages that are not complete, of all together.
    pub held: usize,
}

impl Peers {
    /// Connections that have not joined, oldest first.
    pub fn loose(&self) -> impl Iterator<Item = (Link, &Peer)> + '_ {
        let loose = |peer: &Peer| matches!(peer.stand, Stranger | Former);
        self.all.iter().filter(move |(_, peer)| loose(peer)).map(|(link, peer)| (*link, peer))
    }
}
