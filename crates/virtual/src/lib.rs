//! Drives the same nodes as the reactor does, under simulated time, network and disks: one thread, all chance from a
//! seed, the same seed the same run.
//!
//! - A machine has a clock of its own (fast or slow by a part), files, and a node that may be killed and started anew.
//! - A wire brings bytes in order, in pieces cut at any byte, after a delay; a cut of a direction holds them until it
//!   heals. What waits on a wire is bounded as in the reactor.
//! - A write is on disk when it is answered. A kill loses what was not, but for as much of it as chance leaves: whole
//!   writes in their order, and a part of the next one.
//! - A paused machine hears nothing and does nothing; what comes for it waits.
//! - Of what falls due at one instant chance says what comes first.
#![forbid(unsafe_code)]

mod disk;
mod wire;

use disk::Disk;
use pewtergap_node::{Effect, Ended, Input, Link, LogRecord, Node, Outbox};
use pewtergap_time::{Moment, Span};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use wire::{End, Wire};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A machine's place in the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place(pub usize);

/// Delays and bounds of a world.
#[derive(Clone, Copy, Debug)]
pub struct Nature {
    /// Of bytes on a wire, at least and at most.
    pub way: (Span, Span),
    /// Of a sync.
    pub sync: (Span, Span),
    /// Bytes that may wait on one direction of a wire; beyond it the sender's link ends as overflown.
    pub most_waiting: usize,
    /// Clocks are fast or slow by this part at most.
    pub drift: f64,
    /// Disks answer before a write is on them.
    pub lies: bool,
}

impl Default for Nature {
    fn default() -> Nature {
        let ms = Span::millis;
        let way = (Span::micros(50), ms(3));
        Nature { way, sync: (Span::micros(100), ms(8)), most_waiting: 8 << 20, drift: 0.0, lies: false }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Start,
    Due(u64),
    Listening(u32, SocketAddr),
    /// A wire stands at this end.
    Stands(u64, usize),
    /// Whatever is due on this direction.
    Flow(u64, usize),
    /// The node asked to be called again for a link.
    Continue(Link),
    Closed(Link, u8),
    File(String),
    Synced(u64),
    Word(String),
    Stop,
}

/// When, chance among equals, order, machine, its life, what.
type Entry = Reverse<(u64, u64, u64, usize, u64, What)>;

struct Machine {
    node: Option<Box<dyn Node>>,
    out: Outbox,
    life: u64,
    rate: f64,
    disk: Disk,
    links: BTreeMap<Link, (u64, usize)>,
    doors: BTreeMap<u32, SocketAddr>,
    paused: Option<Vec<What>>,
}

/// What was heard of a machine's log.
pub struct Logged {
    pub place: Place,
    pub at: Moment,
    pub line: LogRecord,
}

pub struct World {
    nature: Nature,
    pub rng: fastrand::Rng,
    now: Moment,
    begin: Moment,
    queue: BinaryHeap<Entry>,
    order: u64,
    machines: Vec<Machine>,
    wires: BTreeMap<u64, Wire>,
    listeners: BTreeMap<SocketAddr, (usize, u32)>,
    cuts: BTreeSet<(usize, usize)>,
    wires_made: u64,
    ports: u16,
    /// All that happened so far, as one number: two runs of a seed come to the same.
    pub trace: u64,
    pub steps: u64,
    pub logged: Vec<Logged>,
    /// Lines of the log are kept.
    pub listens: bool,
}

fn ended(code: u8) -> Ended {
    [Ended::Done, Ended::Refused, Ended::Reset, Ended::Overflow, Ended::Ours][usize::from(code.min(4))]
}
const DONE: u8 = 0;
const REFUSED: u8 = 1;
const RESET: u8 = 2;
const OVERFLOW: u8 = 3;
const OURS: u8 = 4;

impl World {
    pub fn new(seed: u64, begin: Moment, nature: Nature) -> World {
        World {
            nature,
            rng: fastrand::Rng::with_seed(seed),
            now: begin,
            begin,
            queue: BinaryHeap::new(),
            order: 0,
            machines: Vec::new(),
            wires: BTreeMap::new(),
            listeners: BTreeMap::new(),
            cuts: BTreeSet::new(),
            wires_made: 0,
            ports: 20_000,
            trace: seed,
            steps: 0,
            logged: Vec::new(),
            listens: false,
        }
    }

    pub fn now(&self) -> Moment {
        self.now
    }

    /// A machine with an empty disk and nothing that runs.
    pub fn machine(&mut self) -> Place {
        let rate = 1.0 + self.nature.drift * (self.rng.f64() * 2.0 - 1.0);
        self.machines.push(Machine {
            node: None,
            out: Outbox::default(),
            life: 0,
            rate,
            disk: Disk::default(),
            links: BTreeMap::new(),
            doors: BTreeMap::new(),
            paused: None,
        });
        Place(self.machines.len() - 1)
    }

    /// A machine's own clock.
    pub fn clock(&self, place: Place) -> Moment {
        self.begin + self.now.since(self.begin).times(self.machines[place.0].rate)
    }

    fn true_time(&self, place: usize, local: Moment) -> Moment {
        self.begin + local.since(self.begin).times(1.0 / self.machines[place].rate)
    }

    fn at(&mut self, at: Moment, place: usize, what: What) {
        self.order += 1;
        let life = self.machines[place].life;
        let tie = self.rng.u64(..);
        self.queue.push(Reverse((at.0.max(self.now.0), tie, self.order, place, life, what)));
    }

    fn span(&mut self, (least, most): (Span, Span)) -> Span {
        Span(self.rng.u64(least.0..=most.0.max(least.0)))
    }

    // ---- what a director does

    pub fn start(&mut self, place: Place, node: Box<dyn Node>) {
        let machine = &mut self.machines[place.0];
        machine.life += 1;
        (machine.node, machine.out) = (Some(node), Outbox::default());
        self.at(self.now, place.0, What::Start);
    }

    /// At once: its wires break, what was not on disk is lost.
    pub fn kill(&mut self, place: Place) {
        self.end(place.0);
        let mut rng = self.rng.clone();
        self.machines[place.0].disk.lose(&mut rng);
        self.rng = rng;
    }

    fn end(&mut self, at: usize) {
        let machine = &mut self.machines[at];
        machine.life += 1;
        (machine.node, machine.paused) = (None, None);
        let links = std::mem::take(&mut machine.links);
        let doors = std::mem::take(&mut machine.doors);
        for door in doors.values() {
            self.listeners.remove(door);
        }
        for (wire, end) in links.into_values() {
            self.breaks(wire, end, RESET);
        }
    }

    pub fn runs(&self, place: Place) -> bool {
        self.machines[place.0].node.is_some()
    }

    pub fn pause(&mut self, place: Place) {
        if self.runs(place) {
            self.machines[place.0].paused.get_or_insert_with(Vec::new);
        }
    }

    pub fn resume(&mut self, place: Place) {
        let held = self.machines[place.0].paused.take().unwrap_or_default();
        held.into_iter().for_each(|what| self.at(self.now, place.0, what));
    }

    pub fn word(&mut self, place: Place, word: &str) {
        self.at(self.now, place.0, What::Word(word.into()));
    }

    pub fn stop(&mut self, place: Place) {
        self.at(self.now, place.0, What::Stop);
    }

    /// Bytes from one machine to the other do not arrive any more, until it heals.
    pub fn cut(&mut self, from: Place, to: Place) {
        self.cuts.insert((from.0, to.0));
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
        let wires: Vec<u64> = self.wires.keys().copied().collect();
        for wire in wires {
            (0..2).for_each(|way| self.flows(wire, way));
        }
    }

    /// All wires between two machines break.
    pub fn reset(&mut self, one: Place, other: Place) {
        let between = |wire: &Wire| {
            let ends = [wire.ends[0].machine, wire.ends[1].machine];
            ends == [one.0, other.0] || ends == [other.0, one.0]
        };
        let wires: Vec<u64> = self.wires.iter().filter(|wire| between(wire.1)).map(|wire| *wire.0).collect();
        for wire in wires {
            (0..2).for_each(|end| self.breaks(wire, end, RESET));
        }
    }

    pub fn file(&self, place: Place, name: &str) -> Option<Vec<u8>> {
        self.machines[place.0].disk.read(name)
    }

    /// Puts a file on the disk of a machine that does not run, or takes it away.
    pub fn put(&mut self, place: Place, name: &str, bytes: Option<Vec<u8>>) {
        self.machines[place.0].disk.put(name, bytes);
    }

    // ---- steps

    /// Whatever is next; false when nothing is.
    pub fn step(&mut self) -> bool {
        let Some(Reverse((at, _, _, place, life, what))) = self.queue.pop() else { return false };
        self.now = Moment(at);
        if self.machines[place].life != life || self.machines[place].node.is_none() {
            return true;
        }
        if let Some(paused) = &mut self.machines[place].paused {
            paused.push(what);
            return true;
        }
        self.steps += 1;
        self.trace = xxh3_64_with_seed(format!("{at} {place} {what:?}").as_bytes(), self.trace);
        match what {
            What::Start => self.give(place, Input::Start),
            What::Due(timer) => self.give(place, Input::TimerFired { timer }),
            What::Listening(door, at) => self.give(place, Input::Listening { listener: door, at }),
            What::Stands(wire, end) => self.stands(wire, end),
            What::Flow(wire, way) => self.flow(wire, way),
            What::Continue(link) if self.machines[place].links.contains_key(&link) => {
                self.give(place, Input::Bytes { link, bytes: &[] })
            }
            What::Continue(_) => {}
            What::Closed(link, why) => {
                if self.machines[place].links.remove(&link).is_some() || why == OURS || why == REFUSED {
                    self.give(place, Input::Closed { link, why: ended(why) });
                }
            }
            What::File(name) => {
                let read = self.machines[place].disk.read(&name);
                let bytes = read.as_deref().ok_or(pewtergap_node::NO_FILE.to_string());
                self.give(place, Input::File { name: &name, bytes });
            }
            What::Synced(ticket) => {
                if !self.nature.lies || self.rng.u8(0..4) == 0 {
                    self.machines[place].disk.synced(ticket);
                }
                self.give(place, Input::Synced { ticket, result: Ok(()) });
            }
            What::Word(word) => self.give(place, Input::Command(&word)),
            What::Stop => self.give(place, Input::Stop),
        }
        true
    }

    /// When something is next.
    pub fn due(&self) -> Option<Moment> {
        self.queue.peek().map(|next| Moment(next.0 .0))
    }

    /// Nothing is due before then.
    pub fn rest_until(&mut self, moment: Moment) {
        self.now = self.now.max(moment);
    }

    /// Steps until a moment; nothing of it is left out.
    pub fn until(&mut self, moment: Moment, mut after: impl FnMut(&mut World)) {
        while self.queue.peek().is_some_and(|next| next.0 .0 <= moment.0) {
            self.step();
            after(self);
        }
        self.now = self.now.max(moment);
    }

    fn give(&mut self, place: usize, input: Input<'_>) {
        let now = self.clock(Place(place));
        let machine = &mut self.machines[place];
        let Some(mut node) = machine.node.take() else { return };
        let mut out = std::mem::take(&mut machine.out);
        node.handle(now, input, &mut out);
        let effects = std::mem::take(&mut out.effects);
        (machine.node, machine.out) = (Some(node), out);
        for effect in effects {
            self.carry_out(place, effect);
        }
    }

    fn carry_out(&mut self, place: usize, effect: Effect) {
        match effect {
            Effect::Listen { listener: door, at } => self.listen(place, door, at),
            Effect::Unlisten { listener: door } => {
                if let Some(at) = self.machines[place].doors.remove(&door) {
                    self.listeners.remove(&at);
                }
            }
            Effect::Connect { link, to, .. } => self.connect(place, link, to),
            Effect::Send { link, bytes } => self.send(place, link, bytes),
            Effect::Finish { link } => self.close(place, link, true),
            Effect::Cut { link } => self.close(place, link, false),
            Effect::Continue { link } => self.at(self.now, place, What::Continue(link)),
            Effect::SetTimer { timer, at } => {
                let at = self.true_time(place, at);
                // Never early, by whatever rounding.
                self.at(at + Span(1_000), place, What::Due(timer));
            }
            Effect::ReadFile { name } => {
                let takes = self.span(self.nature.sync);
                self.at(self.now + takes, place, What::File(name));
            }
            Effect::SaveFile { name, bytes } => self.machines[place].disk.put(&name, Some(bytes)),
            Effect::Append { name, at, bytes, ticket } => {
                self.machines[place].disk.append(name, at, bytes, ticket);
                self.sync(place, ticket);
            }
            Effect::ReplaceFile { name, bytes, ticket } => {
                self.machines[place].disk.replace(name, bytes, ticket);
                self.sync(place, ticket);
            }
            Effect::Log(line) if self.listens => {
                self.logged.push(Logged { place: Place(place), at: self.now, line });
            }
            Effect::Exit { .. } => self.kill(Place(place)),
            // What comes is given at once, so that nothing waits to be read; houses of several reactors are none here.
            Effect::Log(_)
            | Effect::Pause { .. }
            | Effect::Resume { .. }
            | Effect::Transfer { .. }
            | Effect::Notify { .. } => {}
        }
    }

    /// Answers come in the order of the writes.
    fn sync(&mut self, place: usize, ticket: u64) {
        let takes = self.span(self.nature.sync);
        let at = self.machines[place].disk.ready.max(self.now + takes);
        self.machines[place].disk.ready = at + Span(1);
        self.at(at, place, What::Synced(ticket));
    }

    fn listen(&mut self, place: usize, door: u32, at: SocketAddr) {
        let mut at = at;
        if at.port() == 0 {
            self.ports += 1;
            at.set_port(self.ports);
        }
        self.listeners.insert(at, (place, door));
        self.machines[place].doors.insert(door, at);
        self.at(self.now, place, What::Listening(door, at));
    }

    // ---- wires

    fn connect(&mut self, place: usize, link: Link, to: SocketAddr) {
        let way = self.span(self.nature.way);
        let Some((other, door)) = self.listeners.get(&to).copied() else {
            // Held back by a cut or not there: after its way there and back nobody has answered.
            return self.at(self.now + way + way, place, What::Closed(link, REFUSED));
        };
        self.wires_made += 1;
        let wire = Wire::new(place, link, other, door);
        self.wires.insert(self.wires_made, wire);
        self.machines[place].links.insert(link, (self.wires_made, 0));
        self.at(self.now + way, other, What::Stands(self.wires_made, 1));
    }

    /// The far end first; then the near one.
    fn stands(&mut self, at: u64, end: usize) {
        let Some(wire) = self.wires.get(&at) else { return };
        let (near, far, door) = (wire.ends[0].machine, wire.ends[1].machine, wire.door);
        if end == 1 {
            if self.cuts.contains(&(near, far)) || self.cuts.contains(&(far, near)) {
                // Nobody hears of it until it heals.
                let again = self.now + Span::millis(20);
                return self.at(again, far, What::Stands(at, 1));
            }
            let link = self.machines[far].out.link();
            self.machines[far].links.insert(link, (at, 1));
            if let Some(wire) = self.wires.get_mut(&at) {
                wire.ends[1].link = Some(link);
            }
            let from = SocketAddr::from(([127, 0, 0, 1], 9));
            self.give(far, Input::Accepted { link, listener: door, from });
            let way = self.span(self.nature.way);
            return self.at(self.now + way, near, What::Stands(at, 0));
        }
        let Some(wire) = self.wires.get_mut(&at) else { return };
        wire.stands = true;
        if let Some(link) = wire.ends[0].link {
            self.give(near, Input::Opened { link });
            self.flows(at, 0);
        }
    }

    fn send(&mut self, place: usize, link: Link, bytes: Vec<u8>) {
        let Some((at, end)) = self.machines[place].links.get(&link).copied() else { return };
        let way = self.span(self.nature.way);
        let Some(wire) = self.wires.get_mut(&at) else { return };
        wire.put(end, self.now + way, bytes);
        if wire.waiting(end) > self.nature.most_waiting {
            self.breaks(at, 1 - end, OVERFLOW);
            return self.breaks(at, end, OVERFLOW);
        }
        self.flows(at, end);
    }

    /// Looks at a direction when its first piece is due.
    fn flows(&mut self, at: u64, way: usize) {
        let Some(wire) = self.wires.get(&at) else { return };
        let (due, to) = (wire.due(way), wire.ends[1 - way].machine);
        if let Some(due) = due.filter(|_| wire.stands || way == 1) {
            self.at(due, to, What::Flow(at, way));
        }
    }

    fn flow(&mut self, at: u64, way: usize) {
        let Some(wire) = self.wires.get_mut(&at) else { return };
        let (from, to) = (wire.ends[way].machine, wire.ends[1 - way].machine);
        if self.cuts.contains(&(from, to)) || wire.due(way).is_none_or(|due| due > self.now) {
            return;
        }
        let cut = self.rng.u8(0..4) == 0;
        let Some(piece) = wire.take(way, if cut { Some(self.rng.usize(1..64)) } else { None }) else {
            // In order: all that was sent has arrived.
            let link = wire.ends[1 - way].link;
            return link.into_iter().for_each(|link| self.at(self.now, to, What::Closed(link, DONE)));
        };
        if let Some(link) = wire.ends[1 - way].link {
            self.give(to, Input::Bytes { link, bytes: &piece });
        }
        self.flows(at, way);
    }

    fn close(&mut self, place: usize, link: Link, in_order: bool) {
        let Some((at, end)) = self.machines[place].links.remove(&link) else { return };
        self.at(self.now, place, What::Closed(link, OURS));
        if in_order {
            let now = self.now;
            if let Some(wire) = self.wires.get_mut(&at) {
                wire.ends[end].link = None;
                wire.finish(end, now);
            }
            return self.flows(at, end);
        }
        self.breaks(at, 1 - end, RESET);
    }

    /// An end hears that the wire is broken; what was on its way is lost.
    fn breaks(&mut self, at: u64, end: usize, why: u8) {
        let Some(wire) = self.wires.get_mut(&at) else { return };
        let End { machine, link } = wire.ends[end];
        wire.ends[end].link = None;
        let other = wire.ends[1 - end];
        let silent = self.cuts.contains(&(other.machine, machine));
        let way = self.span(self.nature.way);
        if let Some(link) = link {
            // Behind a cut nobody hears of it for long.
            let way = if silent { way + Span::millis(1_000) } else { way };
            self.at(self.now + way, machine, What::Closed(link, why));
        }
        if other.link.is_none() || why == RESET {
            self.wires.remove(&at);
            if let Some(link) =
                other.link.filter(|link| self.machines[other.machine].links.contains_key(link))
            {
                self.at(self.now + way, other.machine, What::Closed(link, RESET));
            }
        }
    }
}
