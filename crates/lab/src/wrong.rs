//! Planted breaks: a planner or proxy of ours with one thing done wrong on its way out. They belong to the lab;
//! the product has no such switch. Each must be found by the audit, or the audit is worth nothing.

use crate::bell::Bell;
use pewtergap_node::{Effect, Input, Link, Node, Outbox};
use pewtergap_protocol::{encode, planner_message, FrameReader, PlannerMessage, Update};
use pewtergap_time::{Moment, Span};
use std::any::Any;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::{IpAddr, SocketAddr};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
    /// Tables without lines (rule 1).
    Bare,
    /// A proxy that sends each mutating call twice (rule 2).
    Repeat,
    /// Removals are left out of the messages (rule 3).
    LateDrain,
    /// Servers that come later get many times their weight, the newest most (rule 4).
    ColdPush,
    /// Messages are ordered and not sent for seconds, and the planner reckons with a limit far above the stated
    /// one (rule 5).
    LongQueue,
    /// The recording has an operator's drain at a planner that never heard of it (rule 3).
    IgnoredOrder,
}

pub const PLANTS: &[(&str, Plant, u8)] = &[
    ("bare", Plant::Bare, 1),
    ("repeat", Plant::Repeat, 2),
    ("late-drain", Plant::LateDrain, 3),
    ("cold-push", Plant::ColdPush, 4),
    ("long-queue", Plant::LongQueue, 5),
    ("ignored-order", Plant::IgnoredOrder, 3),
];

/// How long a queue is held, and then let go at once.
const HELD: Span = Span::millis(4_000);
const TIMER: u64 = 1 << 60;

/// Stands around a node and changes what it sends.
pub struct Wrong {
    inner: Box<dyn Node>,
    plant: Option<Plant>,
    name: String,
    bell: Bell,
    frames: HashMap<Link, FrameReader<PlannerMessage>>,
    /// Servers of the first tables; what comes later is new.
    first: BTreeSet<String>,
    later: Vec<String>,
    settled: Option<Moment>,
    held: VecDeque<(Moment, Link, Vec<u8>)>,
    dialled: HashMap<Link, (SocketAddr, Option<IpAddr>)>,
    twins: BTreeSet<Link>,
}

impl Wrong {
    /// With no plant it only tells the director where the node listens.
    pub fn new(inner: Box<dyn Node>, plant: Option<Plant>, name: String, bell: Bell) -> Wrong {
        Wrong {
            inner,
            plant,
            name,
            bell,
            frames: HashMap::new(),
            first: BTreeSet::new(),
            later: Vec::new(),
            settled: None,
            held: VecDeque::new(),
            dialled: HashMap::new(),
            twins: BTreeSet::new(),
        }
    }

    fn spoil(&mut self, now: Moment, update: &mut Update) {
        let settled = *self.settled.get_or_insert(now + Span::millis(2_000));
        for change in &mut update.tables {
            match self.plant {
                Some(Plant::Bare) => change.set.clear(),
                Some(Plant::LateDrain) => change.removed.clear(),
                Some(Plant::ColdPush) => {
                    for line in &mut change.set {
                        if now < settled {
                            self.first.insert(line.server.clone());
                        } else if !self.first.contains(&line.server) {
                            if !self.later.contains(&line.server) {
                                self.later.push(line.server.clone());
                            }
                            // Each newer one outweighs all before it.
                            let place = self.later.iter().position(|server| *server == line.server);
                            line.weight *= 200f64.powi(place.unwrap_or(0) as i32 + 1);
                        }
                    }
                }
                _ => {}
            }
        }
    }

    /// What a planner writes to a proxy, with the one thing wrong.
    fn planner_sends(&mut self, now: Moment, link: Link, bytes: Vec<u8>, out: &mut Outbox) {
        let frames = self.frames.entry(link).or_default();
        frames.push(&bytes);
        let Ok(Some(PlannerMessage { kind: Some(planner_message::Kind::Update(mut update)) })) =
            frames.next_message()
        else {
            return out.send(link, bytes);
        };
        self.spoil(now, &mut update);
        let bytes = encode(&PlannerMessage::new(planner_message::Kind::Update(update)));
        if self.plant == Some(Plant::LongQueue) {
            // The first seconds pass as they should, so that all are bound.
            let settled = self.settled.is_some_and(|settled| now > settled);
            if settled {
                out.set_timer(TIMER, now + HELD);
                self.held.push_back((now + HELD, link, bytes));
                return;
            }
        }
        out.send(link, bytes);
    }

    fn proxy_sends(&mut self, link: Link, bytes: Vec<u8>, out: &mut Outbox) {
        let again = bytes.starts_with(b"POST /order").then(|| self.dialled.get(&link).copied()).flatten();
        if let Some((at, from)) = again {
            let twin = out.connect(at, from);
            self.twins.insert(twin);
            out.send(twin, bytes.clone());
        }
        out.send(link, bytes);
    }
}

impl Node for Wrong {
    fn handle(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) {
        match &input {
            Input::Listening { listener: 0, at } => self.bell.listens(&self.name, *at),
            Input::TimerFired { timer: TIMER } => {
                while self.held.front().is_some_and(|held| held.0 <= now) {
                    if let Some((_, link, bytes)) = self.held.pop_front() {
                        out.send(link, bytes);
                    }
                }
                return;
            }
            Input::Opened { link } | Input::Bytes { link, .. } if self.twins.contains(link) => return,
            Input::Closed { link, .. } if self.twins.remove(link) => return,
            Input::Closed { link, .. } => {
                self.frames.remove(link);
                self.dialled.remove(link);
            }
            _ => {}
        }
        let before = out.effects.len();
        self.inner.handle(now, input, out);
        let effects: Vec<Effect> = out.effects.drain(before..).collect();
        for effect in effects {
            match effect {
                Effect::Send { link, bytes } if self.plant == Some(Plant::Repeat) => {
                    self.proxy_sends(link, bytes, out)
                }
                Effect::Send { link, bytes } if self.plant.is_some() => {
                    self.planner_sends(now, link, bytes, out)
                }
                Effect::Connect { link, to, from } => {
                    self.dialled.insert(link, (to, from));
                    out.push(Effect::Connect { link, to, from });
                }
                other => out.push(other),
            }
        }
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}
