//! Links between members. Each dials each other one; on a link only its dialler's words go, and the welcome back, so
//! that a link cut in one direction is cut in just that.
//!
//! Two links to each: what settles who leads never waits behind entries and snapshots. A link that does not take what
//! is written is closed by the driver's bound, and dialled again.

use crate::member::{MAX_MEMBERS, MAX_OBSERVERS};
use crate::messages::{peer_message, Hello, PeerMessage, Rejection};
use pewtergap_node::{Link, Outbox};
use pewtergap_protocol::{encode, FrameReader};
use pewtergap_raft::Id;
use pewtergap_time::{Moment, Span};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

/// Between dials: the first, and the longest.
const BACK_OFF: (Span, Span) = (Span::millis(50), Span::millis(1_000));
/// A welcome that does not come by then: the way is cut, or somebody else is there.
const WELCOMED: Span = Span::millis(1_000);
/// Links that came in at once; strangers beyond it are turned away. Two of each other member, and some that are dialled anew
/// before the old ones are seen to be broken.
const MOST_INCOMING: usize = 2 * (MAX_MEMBERS + MAX_OBSERVERS) + 18;
/// Who came in and has not said who it is by then is closed.
const PATIENCE: Span = Span::millis(2_000);

/// What settles who leads, and all that is long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lane {
    Urgent,
    Bulk,
}

struct Way {
    link: Option<Link>,
    frames: FrameReader<PeerMessage>,
    /// The other end's welcome, once it came.
    welcome: Option<Hello>,
    /// When to dial, or until when the welcome has to come.
    until: Moment,
    failures: i32,
}

struct Peer {
    at: Option<SocketAddr>,
    ways: [Way; 2],
    /// Why it refused us last.
    refused: Option<String>,
}

pub struct Came {
    frames: FrameReader<PeerMessage>,
    pub hello: Option<Hello>,
    since: Moment,
}

/// What came of bytes on a link.
pub enum Heard {
    /// From a member that was let in, or its first word.
    Words(Vec<PeerMessage>),
    Welcome(String, Hello),
    Refused(String, Rejection),
    Wrong(String),
}

#[derive(Default)]
pub struct Peers {
    from: Option<IpAddr>,
    peers: BTreeMap<String, Peer>,
    pub came: BTreeMap<Link, Came>,
}

impl Way {
    fn new(now: Moment) -> Way {
        Way { link: None, frames: FrameReader::default(), welcome: None, until: now, failures: 0 }
    }
}

impl Peers {
    pub fn new(from: Option<IpAddr>) -> Peers {
        Peers { from, ..Peers::default() }
    }

    /// These are to be dialled, and no others.
    pub fn know(&mut self, now: Moment, wanted: &BTreeMap<String, Option<SocketAddr>>, out: &mut Outbox) {
        let gone: Vec<String> =
            self.peers.keys().filter(|name| !wanted.contains_key(*name)).cloned().collect();
        for name in gone {
            let links = self.peers.remove(&name).map(|peer| peer.ways.map(|way| way.link));
            links.into_iter().flatten().flatten().for_each(|link| out.cut(link));
        }
        for (name, at) in wanted {
            let new = || Peer { at: *at, ways: [Way::new(now), Way::new(now)], refused: None };
            self.peers.entry(name.clone()).or_insert_with(new).at = *at;
        }
    }

    pub fn has(&self, link: Link) -> bool {
        self.came.contains_key(&link) || self.way(link).is_some()
    }

    fn way(&self, link: Link) -> Option<(&String, usize)> {
        let ways = self.peers.iter().flat_map(|(name, peer)| (0..2).map(move |lane| (name, lane, peer)));
        ways.filter(|way| way.2.ways[way.1].link == Some(link)).map(|way| (way.0, way.1)).next()
    }

    /// Dials whom it is time to dial.
    pub fn dial(&mut self, now: Moment, out: &mut Outbox) {
        for peer in self.peers.values_mut() {
            let Some(at) = peer.at else { continue };
            for way in &mut peer.ways {
                if way.welcome.is_some() || now < way.until {
                    continue;
                }
                match way.link.take() {
                    Some(link) => {
                        out.cut(link);
                        way.rest(now);
                    }
                    None => {
                        way.link = Some(out.connect(at, self.from));
                        way.frames = FrameReader::default();
                        way.until = now + WELCOMED;
                    }
                }
            }
        }
        let late =
            self.came.iter().filter(|(_, came)| came.hello.is_none() && now.since(came.since) > PATIENCE);
        let late: Vec<Link> = late.map(|late| *late.0).collect();
        for link in late {
            self.came.remove(&link);
            out.cut(link);
        }
    }

    /// A link that we dialled stands: say who we are.
    pub fn opened(&mut self, link: Link, own: &Hello, out: &mut Outbox) {
        let Some((_, lane)) = self.way(link) else { return };
        let hello = Hello { bulk: lane == 1, ..own.clone() };
        out.send(link, encode(&PeerMessage::new(peer_message::Kind::Hello(hello))));
    }

    pub fn accepted(&mut self, now: Moment, link: Link, out: &mut Outbox) {
        if self.came.len() >= MOST_INCOMING {
            return out.cut(link);
        }
        self.came.insert(link, Came { frames: FrameReader::default(), hello: None, since: now });
    }

    /// A link ended; the id to which the way is now lost.
    pub fn closed(&mut self, now: Moment, link: Link) -> Option<Id> {
        if self.came.remove(&link).is_some() {
            return None;
        }
        let (name, lane) = self.way(link).map(|(name, lane)| (name.clone(), lane))?;
        let way = &mut self.peers.get_mut(&name)?.ways[lane];
        way.link = None;
        way.rest(now);
        way.welcome.take().map(|welcome| welcome.id)
    }

    pub fn heard(&mut self, link: Link, bytes: &[u8]) -> Heard {
        let take = |frames: &mut FrameReader<PeerMessage>| {
            frames.push(bytes);
            let mut words = Vec::new();
            loop {
                match frames.next_message() {
                    Ok(Some(word)) => words.push(word),
                    Ok(None) => return Ok(words),
                    Err(wrong) => return Err(wrong.to_string()),
                }
            }
        };
        if let Some(came) = self.came.get_mut(&link) {
            return match take(&mut came.frames) {
                Ok(words) => Heard::Words(words),
                Err(why) => Heard::Wrong(why),
            };
        }
        let Some((name, lane)) = self.way(link).map(|(name, lane)| (name.clone(), lane)) else {
            return Heard::Words(Vec::new());
        };
        let Some(peer) = self.peers.get_mut(&name) else { return Heard::Words(Vec::new()) };
        let way = &mut peer.ways[lane];
        match take(&mut way.frames).map(|words| words.into_iter().last().and_then(|word| word.kind)) {
            Ok(Some(peer_message::Kind::Welcome(hello))) => {
                way.welcome = Some(hello.clone());
                way.failures = 0;
                peer.refused = None;
                Heard::Welcome(name, hello)
            }
            Ok(Some(peer_message::Kind::Reject(refuse))) => {
                peer.refused = Some(refuse.reason.clone());
                Heard::Refused(name, refuse)
            }
            Ok(None) => Heard::Words(Vec::new()),
            Ok(Some(_)) => {
                Heard::Wrong("nothing but a welcome or a refusal comes on a link we dialled".into())
            }
            Err(why) => Heard::Wrong(why),
        }
    }

    /// False where no way to that very member stands now.
    pub fn send(&self, to: Id, lane: Lane, word: peer_message::Kind, out: &mut Outbox) -> bool {
        let lane = lane as usize;
        let way = self.peers.values().map(|peer| &peer.ways[lane]);
        let mut fits = way.filter(|way| way.welcome.as_ref().is_some_and(|welcome| welcome.id == to));
        let Some(link) = fits.next().and_then(|way| way.link) else { return false };
        out.send(link, encode(&PeerMessage::new(word)));
        true
    }

    /// The welcome of a peer, where a way stands.
    pub fn welcome(&self, name: &str) -> Option<&Hello> {
        self.peers.get(name)?.ways[0].welcome.as_ref()
    }

    /// Who is there under each name now, the newest of several. Not for so long after it came: a wiped member whose hello
    /// was forgotten before anybody led stayed out for as long as its link stood (found under virtual time, seed 6037).
    pub fn knocking(&self) -> BTreeMap<String, Id> {
        let mut newest: BTreeMap<String, (Moment, Id)> = BTreeMap::new();
        for came in self.came.values() {
            let Some(hello) = &came.hello else { continue };
            let known = newest.entry(hello.name.clone()).or_insert((came.since, hello.id));
            if came.since > known.0 {
                *known = (came.since, hello.id);
            }
        }
        newest.into_iter().map(|(name, (_, id))| (name, id)).collect()
    }

    /// Others to whom a way for all that is long stands.
    pub fn bulk_ways(&self) -> impl Iterator<Item = &Hello> + '_ {
        self.peers.values().filter_map(|peer| peer.ways[Lane::Bulk as usize].welcome.as_ref())
    }

    pub fn welcomes(&self) -> Vec<Hello> {
        self.peers.values().filter_map(|peer| peer.ways[0].welcome.clone()).collect()
    }

    pub fn refused(&self, name: &str) -> Option<&str> {
        self.peers.get(name)?.refused.as_deref()
    }

    /// Whoever belonged to nothing when it welcomed us is dialled again: that it belongs by now is told by another welcome.
    pub fn ask_anew(&mut self, now: Moment, out: &mut Outbox) {
        for way in self.peers.values_mut().flat_map(|peer| &mut peer.ways) {
            if way.welcome.take_if(|welcome| welcome.cluster_id == 0).is_some() {
                way.link.take().into_iter().for_each(|link| out.cut(link));
                way.rest(now);
            }
        }
    }

    /// All ways are given up and dialled again: this member has become another.
    pub fn hang_up(&mut self, now: Moment, out: &mut Outbox) {
        for way in self.peers.values_mut().flat_map(|peer| &mut peer.ways) {
            if let Some(link) = way.link.take() {
                out.cut(link);
            }
            way.welcome = None;
            way.rest(now);
        }
        let came = std::mem::take(&mut self.came);
        came.into_keys().for_each(|link| out.cut(link));
    }
}

impl Way {
    fn rest(&mut self, now: Moment) {
        let rest = BACK_OFF.0.times(2f64.powi(self.failures.min(16))).min(BACK_OFF.1);
        self.failures += 1;
        self.until = now + rest;
    }
}
