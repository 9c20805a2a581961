//! Connections between members. Each member connects to every other one. Apart from the welcome, a connection
//! carries only the messages of the member that opened it, so a connection cut in one direction is cut in
//! that direction alone.
//!
//! There are two connections to each member, so that election traffic never waits behind entries and
//! snapshots. A connection that does not accept writes is closed by the driver's buffer limit and opened
//! again.

use crate::member::{MAX_MEMBERS, MAX_OBSERVERS};
use crate::messages::{peer_message, Hello, PeerMessage, Rejection};
use pewtergap_node::{Link, Outbox};
use pewtergap_protocol::{encode, FrameReader};
use pewtergap_raft::Id;
use pewtergap_time::{Moment, Span};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

/// Delay between connection attempts: initial and maximum.
const RECONNECT_DELAY: (Span, Span) = (Span::millis(50), Span::millis(1_000));
/// Timeout for the welcome: the path is cut, or another program listens at the address.
const WELCOME_TIMEOUT: Span = Span::millis(1_000);
/// Incoming connections at a time; further ones are closed. Two for each other member, and spare
/// ones for members that reconnect before their broken connections are detected.
const MAX_INCOMING: usize = 2 * (MAX_MEMBERS + MAX_OBSERVERS) + 18;
/// An incoming connection without a hello is closed after this time.
const HELLO_TIMEOUT: Span = Span::millis(2_000);
/// Maximum length of the first message of a connection, in bytes.
const MAX_HELLO_LEN: usize = 64 * 1024;

/// `Urgent` carries elections and other short messages, `Bulk` all long ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lane {
    Urgent,
    Bulk,
}

struct OutgoingLink {
    link: Option<Link>,
    frames: FrameReader<PeerMessage>,
    /// The welcome of the other end, once received.
    welcome: Option<Hello>,
    /// When to connect, or the deadline for the welcome.
    deadline: Moment,
    failures: i32,
}

struct Peer {
    address: Option<SocketAddr>,
    links: [OutgoingLink; 2],
    /// The reason of the last rejection.
    last_rejection: Option<String>,
}

pub struct IncomingLink {
    frames: FrameReader<PeerMessage>,
    pub hello: Option<Hello>,
    since: Moment,
}

/// What was received on a connection.
pub enum Received {
    /// From an accepted member, or its first message.
    Messages(Vec<PeerMessage>),
    Welcome(String, Hello),
    Rejected(String, Rejection),
    Invalid(String),
}

#[derive(Default)]
pub struct Peers {
    source_ip: Option<IpAddr>,
    peers: BTreeMap<String, Peer>,
    pub incoming: BTreeMap<Link, IncomingLink>,
}

impl OutgoingLink {
    fn new(now: Moment) -> OutgoingLink {
        OutgoingLink { link: None, frames: FrameReader::default(), welcome: None, deadline: now, failures: 0 }
    }
}

impl Peers {
    pub fn new(source_ip: Option<IpAddr>) -> Peers {
        Peers { source_ip, ..Peers::default() }
    }

    /// Sets the peers to connect to; connections to others are closed.
    pub fn set_peers(
        &mut self,
        now: Moment,
        wanted: &BTreeMap<String, Option<SocketAddr>>,
        out: &mut Outbox,
    ) {
        let removed: Vec<String> =
            self.peers.keys().filter(|name| !wanted.contains_key(*name)).cloned().collect();
        for name in removed {
            let links = self.peers.remove(&name).map(|peer| peer.links.map(|outgoing| outgoing.link));
            links.into_iter().flatten().flatten().for_each(|link| out.cut(link));
        }
        for (name, address) in wanted {
            let new_peer = || Peer {
                address: *address,
                links: [OutgoingLink::new(now), OutgoingLink::new(now)],
                last_rejection: None,
            };
            self.peers.entry(name.clone()).or_insert_with(new_peer).address = *address;
        }
    }

    pub fn owns_link(&self, link: Link) -> bool {
        self.incoming.contains_key(&link) || self.find_outgoing(link).is_some()
    }

    fn find_outgoing(&self, link: Link) -> Option<(&String, usize)> {
        let links = self.peers.iter().flat_map(|(name, peer)| (0..2).map(move |lane| (name, lane, peer)));
        links
            .filter(|outgoing| outgoing.2.links[outgoing.1].link == Some(link))
            .map(|outgoing| (outgoing.0, outgoing.1))
            .next()
    }

    /// Connects to peers whose retry delay is over, and closes connections without a hello or welcome.
    pub fn connect_due(&mut self, now: Moment, out: &mut Outbox) {
        for peer in self.peers.values_mut() {
            let Some(address) = peer.address else { continue };
            for outgoing in &mut peer.links {
                if outgoing.welcome.is_some() || now < outgoing.deadline {
                    continue;
                }
                match outgoing.link.take() {
                    Some(link) => {
                        out.cut(link);
                        outgoing.schedule_retry(now);
                    }
                    None => {
                        outgoing.link = Some(out.connect(address, self.source_ip));
                        outgoing.frames = FrameReader::default();
                        outgoing.deadline = now + WELCOME_TIMEOUT;
                    }
                }
            }
        }
        let expired = self
            .incoming
            .iter()
            .filter(|(_, incoming)| incoming.hello.is_none() && now.since(incoming.since) > HELLO_TIMEOUT);
        let expired: Vec<Link> = expired.map(|expired| *expired.0).collect();
        for link in expired {
            self.incoming.remove(&link);
            out.cut(link);
        }
    }

    /// Sends the hello on an established outgoing connection.
    pub fn on_opened(&mut self, link: Link, hello: &Hello, out: &mut Outbox) {
        let Some((_, lane)) = self.find_outgoing(link) else { return };
        let hello = Hello { bulk: lane == 1, ..hello.clone() };
        out.send(link, encode(&PeerMessage::new(peer_message::Kind::Hello(hello))));
    }

    pub fn on_accepted(&mut self, now: Moment, link: Link, out: &mut Outbox) {
        if self.incoming.len() >= MAX_INCOMING {
            return out.cut(link);
        }
        self.incoming.insert(
            link,
            IncomingLink { frames: FrameReader::with_limit(MAX_HELLO_LEN), hello: None, since: now },
        );
    }

    /// Handles a closed connection; returns the id of the member that can no longer be reached over it.
    pub fn on_closed(&mut self, now: Moment, link: Link) -> Option<Id> {
        if self.incoming.remove(&link).is_some() {
            return None;
        }
        let (name, lane) = self.find_outgoing(link).map(|(name, lane)| (name.clone(), lane))?;
        let outgoing = &mut self.peers.get_mut(&name)?.links[lane];
        outgoing.link = None;
        outgoing.schedule_retry(now);
        outgoing.welcome.take().map(|welcome| welcome.id)
    }

    pub fn receive(&mut self, link: Link, bytes: &[u8]) -> Received {
        let take = |frames: &mut FrameReader<PeerMessage>| {
            frames.push(bytes);
            let mut messages = Vec::new();
            loop {
                match frames.next_message() {
                    Ok(Some(message)) => {
                        frames.lift_limit();
                        messages.push(message);
                    }
                    Ok(None) => {
                        frames.shrink();
                        return Ok(messages);
                    }
                    Err(error) => return Err(error.to_string()),
                }
            }
        };
        if let Some(incoming) = self.incoming.get_mut(&link) {
            return match take(&mut incoming.frames) {
                Ok(messages) => Received::Messages(messages),
                Err(error) => Received::Invalid(error),
            };
        }
        let Some((name, lane)) = self.find_outgoing(link).map(|(name, lane)| (name.clone(), lane)) else {
            return Received::Messages(Vec::new());
        };
        let Some(peer) = self.peers.get_mut(&name) else { return Received::Messages(Vec::new()) };
        let outgoing = &mut peer.links[lane];
        match take(&mut outgoing.frames)
            .map(|messages| messages.into_iter().last().and_then(|message| message.kind))
        {
            Ok(Some(peer_message::Kind::Welcome(hello))) => {
                outgoing.welcome = Some(hello.clone());
                outgoing.failures = 0;
                peer.last_rejection = None;
                Received::Welcome(name, hello)
            }
            Ok(Some(peer_message::Kind::Reject(rejection))) => {
                peer.last_rejection = Some(rejection.reason.clone());
                Received::Rejected(name, rejection)
            }
            Ok(None) => Received::Messages(Vec::new()),
            Ok(Some(_)) => {
                Received::Invalid("only a welcome or a rejection may arrive on an outgoing connection".into())
            }
            Err(error) => Received::Invalid(error),
        }
    }

    /// Returns false if there is no connection to exactly this member.
    pub fn send(&self, to: Id, lane: Lane, message: peer_message::Kind, out: &mut Outbox) -> bool {
        let lane = lane as usize;
        let outgoing = self.peers.values().map(|peer| &peer.links[lane]);
        let mut matching =
            outgoing.filter(|outgoing| outgoing.welcome.as_ref().is_some_and(|welcome| welcome.id == to));
        let Some(link) = matching.next().and_then(|outgoing| outgoing.link) else { return false };
        out.send(link, encode(&PeerMessage::new(message)));
        true
    }

    /// The welcome of a connected peer.
    pub fn welcome(&self, name: &str) -> Option<&Hello> {
        self.peers.get(name)?.links[0].welcome.as_ref()
    }

    /// The id connected under each name, the most recent one of several. Age does not matter: when a hello
    /// was forgotten after some time and there was no leader until then, a wiped member stayed out for as
    /// long as its connection lasted (found under virtual time, seed 6037).
    pub fn connected_ids(&self) -> BTreeMap<String, Id> {
        let mut newest: BTreeMap<String, (Moment, Id)> = BTreeMap::new();
        for incoming in self.incoming.values() {
            let Some(hello) = &incoming.hello else { continue };
            let known = newest.entry(hello.name.clone()).or_insert((incoming.since, hello.id));
            if incoming.since > known.0 {
                *known = (incoming.since, hello.id);
            }
        }
        newest.into_iter().map(|(name, (_, id))| (name, id)).collect()
    }

    /// Peers connected on the bulk lane.
    pub fn bulk_peers(&self) -> impl Iterator<Item = &Hello> + '_ {
        self.peers.values().filter_map(|peer| peer.links[Lane::Bulk as usize].welcome.as_ref())
    }

    pub fn welcomes(&self) -> Vec<Hello> {
        self.peers.values().filter_map(|peer| peer.links[0].welcome.clone()).collect()
    }

    pub fn last_rejection(&self, name: &str) -> Option<&str> {
        self.peers.get(name)?.last_rejection.as_deref()
    }

    /// Reconnects to peers that belonged to no cluster when they sent their welcome; a new welcome tells when
    /// they do.
    pub fn reconnect_unjoined(&mut self, now: Moment, out: &mut Outbox) {
        for outgoing in self.peers.values_mut().flat_map(|peer| &mut peer.links) {
            if outgoing.welcome.take_if(|welcome| welcome.cluster_id == 0).is_some() {
                outgoing.link.take().into_iter().for_each(|link| out.cut(link));
                outgoing.schedule_retry(now);
            }
        }
    }

    /// Closes all connections and opens them again: this member has a new id.
    pub fn reset(&mut self, now: Moment, out: &mut Outbox) {
        for outgoing in self.peers.values_mut().flat_map(|peer| &mut peer.links) {
            if let Some(link) = outgoing.link.take() {
                out.cut(link);
            }
            outgoing.welcome = None;
            outgoing.schedule_retry(now);
        }
        let incoming = std::mem::take(&mut self.incoming);
        incoming.into_keys().for_each(|link| out.cut(link));
    }
}

impl OutgoingLink {
    fn schedule_retry(&mut self, now: Moment) {
        let delay = RECONNECT_DELAY.0.times(2f64.powi(self.failures.min(16))).min(RECONNECT_DELAY.1);
        self.failures += 1;
        self.deadline = now + delay;
    }
}
