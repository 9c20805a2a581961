//! A node's way to the network, which can be cut for some of its peers.
//!
//! This is where a region is cut in the scale run: the hollow planners' process holds its own links, no relay stands
//! between. The peers see what a cut looks like, silence: nothing more comes from here, ends neither, and nothing is
//! read. What the node closes meanwhile stays open towards the peer until the cut heals. What was held goes on then.
//! The kernel still acknowledges what peers send, as far as its buffers reach; a real cut would have them repeat it.

use pewtergap_node::{Effect, Ended, Input, Link, Node, Outbox};
use pewtergap_time::Moment;
use std::any::Any;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// So much is held for one link; a node that sends more has the rest lost, and the link cut when the cut heals.
const MOST_HELD: usize = 256 * 1024;
/// What a node is told by itself, a moment later: a timer that no node here uses.
const LATER: u64 = u64::MAX;

/// Which peers are behind the cut.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Cut {
    #[default]
    None,
    All,
    Some(BTreeSet<SocketAddr>),
}

impl Cut {
    fn holds(&self, at: &SocketAddr) -> bool {
        match self {
            Cut::None => false,
            Cut::All => true,
            Cut::Some(some) => some.contains(at),
        }
    }
}

#[derive(Debug)]
enum Came {
    Opened,
    Bytes(Vec<u8>),
    Closed(Ended),
}

#[derive(Debug)]
struct Held {
    to: SocketAddr,
    /// Dialled behind the cut: nothing has left yet.
    undialled: bool,
    came: VecDeque<Came>,
    to_send: Vec<Vec<u8>>,
    bytes: usize,
    /// The node has closed it; the peer does not know.
    closed: bool,
    over: bool,
}

/// What passed, in bytes of the links, without the network's own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Passed {
    pub came: u64,
    pub went: u64,
}

/// A node behind a way that can be cut.
pub struct Wire<N> {
    pub inner: N,
    pub passed: Passed,
    cut: Cut,
    peers: BTreeMap<Link, SocketAddr>,
    held: BTreeMap<Link, Held>,
    /// Links whose end the node has yet to hear of.
    ends: VecDeque<Link>,
}

impl<N: Node> Wire<N> {
    pub fn new(inner: N) -> Wire<N> {
        Wire {
            inner,
            passed: Passed::default(),
            cut: Cut::None,
            peers: BTreeMap::new(),
            held: BTreeMap::new(),
            ends: VecDeque::new(),
        }
    }

    /// Cuts the way to these peers from here on; all others are whole.
    pub fn cut(&mut self, now: Moment, cut: Cut, out: &mut Outbox) {
        self.cut = cut;
        for (link, to) in &self.peers {
            if self.cut.holds(to) && !self.held.contains_key(link) {
                out.push(Effect::Pause { link: *link });
                self.held.insert(*link, held(*to, false));
            }
        }
        let healed = |held: &(&Link, &Held)| !self.cut.holds(&held.1.to);
        let healed: Vec<Link> = self.held.iter().filter(healed).map(|held| *held.0).collect();
        healed.into_iter().for_each(|link| self.heal(now, link, out));
    }

    fn heal(&mut self, now: Moment, link: Link, out: &mut Outbox) {
        let Some(held) = self.held.remove(&link) else { return };
        if held.undialled {
            if !held.closed {
                self.peers.insert(link, held.to);
                out.push(Effect::Connect { link, to: held.to, from: None });
            }
            return;
        }
        let gone = held.came.iter().any(|came| matches!(came, Came::Closed(_)));
        if held.closed || held.over {
            if !gone {
                out.cut(link);
            }
            if held.closed {
                return;
            }
        }
        if !gone {
            held.to_send.into_iter().for_each(|bytes| self.send(link, bytes, out));
            out.push(Effect::Resume { link });
        }
        for came in held.came {
            match came {
                Came::Opened => self.give(now, Input::Opened { link }, out),
                Came::Bytes(bytes) => self.give(now, Input::Bytes { link, bytes: &bytes }, out),
                Came::Closed(why) => {
                    self.peers.remove(&link);
                    self.give(now, Input::Closed { link, why }, out);
                }
            }
        }
    }

    /// The node is gone, as by a crash: its links are cut, those behind a cut once that heals. The node is told of none.
    pub fn drop_all(&mut self, now: Moment, out: &mut Outbox) {
        let all: Vec<Link> = self.peers.keys().chain(self.held.keys()).copied().collect();
        for link in all {
            self.pass(now, Effect::Cut { link }, out);
            self.peers.remove(&link);
        }
        self.ends.clear();
    }

    fn send(&mut self, link: Link, bytes: Vec<u8>, out: &mut Outbox) {
        self.passed.went += bytes.len() as u64;
        out.send(link, bytes);
    }

    /// Hands an input to the node and its effects on, as far as the way is whole.
    fn give(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) {
        let before = out.effects.len();
        self.inner.handle(now, input, out);
        let effects: Vec<Effect> = out.effects.drain(before..).collect();
        effects.into_iter().for_each(|effect| self.pass(now, effect, out));
    }

    /// The node's effects, all of them, pass here; also those of a word it is told directly.
    pub fn pass(&mut self, now: Moment, effect: Effect, out: &mut Outbox) {
        match effect {
            Effect::Connect { link, to, from } => {
                if self.cut.holds(&to) {
                    self.held.insert(link, held(to, true));
                } else {
                    self.peers.insert(link, to);
                    out.push(Effect::Connect { link, to, from });
                }
            }
            Effect::Send { link, bytes } => match self.held.get_mut(&link) {
                Some(held) if held.bytes + bytes.len() > MOST_HELD => held.over = true,
                Some(held) => {
                    held.bytes += bytes.len();
                    held.to_send.push(bytes);
                }
                None => self.send(link, bytes, out),
            },
            Effect::Finish { link } | Effect::Cut { link } if self.held.contains_key(&link) => {
                // Its own end is gone at once, as of a socket that is closed behind a cut.
                if let Some(held) = self.held.get_mut(&link).filter(|held| !held.closed) {
                    held.closed = true;
                    self.peers.remove(&link);
                    self.ends.push_back(link);
                    out.set_timer(LATER, now);
                }
            }
            effect => out.push(effect),
        }
    }
}

fn held(to: SocketAddr, undialled: bool) -> Held {
    Held { to, undialled, came: VecDeque::new(), to_send: Vec::new(), bytes: 0, closed: false, over: false }
}

impl<N: Node> Node for Wire<N> {
    fn handle(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) {
        let (link, came) = match &input {
            Input::TimerFired { timer: LATER } => {
                while let Some(link) = self.ends.pop_front() {
                    self.give(now, Input::Closed { link, why: Ended::Ours }, out);
                }
                return;
            }
            Input::Opened { link } => (*link, Came::Opened),
            Input::Bytes { link, bytes } => {
                self.passed.came += bytes.len() as u64;
                if !self.held.contains_key(link) {
                    return self.give(now, input, out);
                }
                (*link, Came::Bytes(bytes.to_vec()))
            }
            Input::Closed { link, why } => (*link, Came::Closed(*why)),
            _ => return self.give(now, input, out),
        };
        match self.held.get_mut(&link) {
            Some(held) => held.came.push_back(came),
            None => {
                if matches!(came, Came::Closed(_)) && self.peers.remove(&link).is_none() {
                    // Its end was told when the node closed it behind the cut.
                    return;
                }
                self.give(now, input, out);
            }
        }
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}
