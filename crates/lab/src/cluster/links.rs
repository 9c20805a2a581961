//! The relay of members' links: a door for each ordered pair, with faults for each, and a reading of what passes.
//!
//! A cut holds bytes in both directions of a link; the sender is held back by not being read. Since each member dials
//! each other and speaks on its own links only, a cut of one door is a cut in one direction.

use crate::bell::{Bell, Rung};
use pewtergap_member::messages::{peer_message, PeerMessage, RaftPayload};
use pewtergap_node::{Effect, Input, Link, Node, Outbox};
use pewtergap_protocol::FrameReader;
use pewtergap_time::{Moment, Span};
use std::any::Any;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// What was seen on members' links, for the audit.
#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    /// A member said who it is, and which start of its disk.
    Hello { name: String, id: u64, start: u64 },
    /// A vote that was given: by whom, in which term, for whom.
    Vote { by: u64, start: u64, term: u64, to: u64 },
    /// Entries went out: who led in a term.
    Leads { id: u64, term: u64 },
    /// A piece of a snapshot, from which byte of how many.
    Piece { at: u64, total: u64 },
}

pub type Sightings = Arc<Mutex<Vec<(Moment, Seen)>>>;

#[derive(Default)]
struct Half {
    queue: VecDeque<(Moment, Vec<u8>)>,
    frames: FrameReader<PeerMessage>,
    ended: bool,
}

struct Pair {
    door: usize,
    /// The dialler's end and ours to the other member.
    ends: [Link; 2],
    open: bool,
    halves: [Half; 2],
    /// Who dialled, once it has said so; and who answered.
    who: [u64; 2],
    start: u64,
    words: Arc<AtomicU64>,
}

#[derive(Clone, Copy, Default)]
struct State {
    cut: bool,
    delay: Span,
}

/// Bytes that passed from whom a row of doors is for, and back to it.
pub type Passed = Arc<Mutex<Vec<[u64; 2]>>>;

pub struct Links {
    /// Whose doors they are, and to how many each.
    rows: usize,
    count: usize,
    /// Of the doors' names.
    what: &'static str,
    /// Members' words pass, and are read for the audit.
    reads: bool,
    passed: Passed,
    bell: Bell,
    targets: Vec<Option<SocketAddr>>,
    doors: Vec<State>,
    pairs: BTreeMap<u64, Pair>,
    by_link: BTreeMap<Link, (u64, usize)>,
    next: u64,
    sightings: Sightings,
    /// A door is cut when a piece of a snapshot from this byte on comes to it.
    hold_from: Option<u64>,
    /// Members' words that passed, on all doors.
    pub words: Arc<AtomicU64>,
}

/// So much is held for one direction; beyond it the sender is not read any more.
const MOST_HELD: usize = 1024 * 1024;

impl Links {
    pub fn new(count: usize, bell: Bell, sightings: Sightings) -> Links {
        Links { reads: true, ..Links::between(count, count, "link", bell, sightings) }
    }

    /// A door from each of `rows` parties to each of `count` others, of whose words nothing is read. Each row's bytes are
    /// counted in `passed`.
    pub fn between(rows: usize, count: usize, what: &'static str, bell: Bell, sightings: Sightings) -> Links {
        Links {
            rows,
            count,
            what,
            reads: false,
            passed: Arc::new(Mutex::new(vec![[0; 2]; rows])),
            bell,
            targets: vec![None; count],
            doors: vec![State::default(); rows * count],
            pairs: BTreeMap::new(),
            by_link: BTreeMap::new(),
            next: 0,
            sightings,
            hold_from: None,
            words: Arc::default(),
        }
    }

    pub fn door_name(from: usize, to: usize) -> String {
        format!("link {from} {to}")
    }

    pub fn passed(&self) -> Passed {
        self.passed.clone()
    }

    /// What a member's settings say of the others, each reached by its own door of this relay.
    pub fn settings(
        listens: &HashMap<String, SocketAddr>,
        at: usize,
        names: &[String],
        more: &str,
    ) -> String {
        let door = |to: usize| listens.get(&Links::door_name(at, to)).map(SocketAddr::to_string);
        let member = |(to, name): (usize, &String)| {
            format!("member(\"{name}\", address = \"{}\")", door(to).unwrap_or_default())
        };
        let members: Vec<String> = names.iter().enumerate().map(member).collect();
        format!(
            "cluster = cluster(listen = \"127.0.0.1:0\", election = \"300ms\", patience = \"2s\"{more}, members = [{}]),\n",
            members.join(", ")
        )
    }

    fn word(&mut self, now: Moment, word: &str, out: &mut Outbox) {
        let parts: Vec<&str> = word.split(' ').collect();
        let number = |at: usize| parts.get(at).and_then(|text| text.parse::<usize>().ok()).unwrap_or(0);
        let door = number(1) * self.count + number(2);
        match parts[0] {
            "target" => self.targets[number(1)] = parts.get(2).and_then(|at| at.parse().ok()),
            "cut" => self.doors[door].cut = true,
            "open" => self.doors[door] = State::default(),
            "slow" => self.doors[door].delay = Span::millis(number(3) as u64),
            "reset" => {
                let pairs: Vec<u64> =
                    self.pairs.iter().filter(|pair| pair.1.door == door).map(|p| *p.0).collect();
                pairs.into_iter().for_each(|pair| self.end(pair, out));
            }
            "hold-from" => self.hold_from = Some(number(1) as u64),
            "open-all" => {
                self.hold_from = None;
                self.doors.fill(State::default());
            }
            _ => {}
        }
        self.pump_all(now, out);
    }

    fn end(&mut self, at: u64, out: &mut Outbox) {
        let Some(pair) = self.pairs.remove(&at) else { return };
        for link in pair.ends {
            self.by_link.remove(&link);
            out.cut(link);
        }
    }

    fn pump_all(&mut self, now: Moment, out: &mut Outbox) {
        let pairs: Vec<u64> = self.pairs.keys().copied().collect();
        pairs.into_iter().for_each(|pair| self.pump(now, pair, out));
    }

    /// Passes on what is due.
    fn pump(&mut self, now: Moment, at: u64, out: &mut Outbox) {
        let Some(pair) = self.pairs.get_mut(&at) else { return };
        if self.doors[pair.door].cut {
            return;
        }
        for way in 0..2 {
            if way == 0 && !pair.open {
                continue;
            }
            while pair.halves[way].queue.front().is_some_and(|held| held.0 <= now) {
                let Some((_, bytes)) = pair.halves[way].queue.pop_front() else { break };
                out.send(pair.ends[1 - way], bytes);
            }
            out.push(Effect::Resume { link: pair.ends[way] });
            match pair.halves[way].queue.front() {
                Some(held) => out.set_timer(at, held.0),
                None if pair.halves[way].ended => return self.end(at, out),
                None => {}
            }
        }
    }
}

/// What passes, as the audit needs it; bytes that cannot be read still pass.
fn read(pair: &mut Pair, way: usize, bytes: &[u8]) -> Vec<Seen> {
    let mut seen = Vec::new();
    pair.halves[way].frames.push(bytes);
    while let Ok(Some(word)) = pair.halves[way].frames.next_message() {
        pair.words.fetch_add(1, Ordering::Relaxed);
        match word.kind {
            Some(peer_message::Kind::Hello(hello)) => {
                pair.who[0] = hello.id;
                pair.start = hello.start;
                seen.push(Seen::Hello { name: hello.name, id: hello.id, start: hello.start });
            }
            Some(peer_message::Kind::Welcome(hello)) => {
                pair.who[1] = hello.id;
            }
            Some(peer_message::Kind::Raft(agreeing)) => match agreeing.payload {
                Some(RaftPayload::VoteResponse(true)) => {
                    let (by, start) = (pair.who[0], pair.start);
                    seen.push(Seen::Vote { by, start, term: agreeing.term, to: pair.who[1] });
                }
                Some(RaftPayload::SnapshotChunk(piece)) => {
                    seen.push(Seen::Piece { at: piece.offset, total: piece.total_bytes })
                }
                Some(RaftPayload::AppendEntries(_)) => {
                    seen.push(Seen::Leads { id: pair.who[0], term: agreeing.term })
                }
                _ => {}
            },
            _ => {}
        }
    }
    seen
}

impl Node for Links {
    fn handle(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) {
        match input {
            Input::Start => {
                for door in 0..self.rows * self.count {
                    let at = SocketAddr::from(([127, 0, 0, 1], 0));
                    out.push(Effect::Listen { listener: door as u32, at });
                }
            }
            Input::Listening { listener: door, at } => {
                let door = door as usize;
                let name = format!("{} {} {}", self.what, door / self.count, door % self.count);
                self.bell.listens(&name, at);
            }
            Input::NotListening { why, .. } => self.bell.ring(Rung::Failed(why)),
            Input::Accepted { link, listener: door, .. } => {
                let door = door as usize;
                let Some(target) = self.targets[door % self.count] else { return out.cut(link) };
                let far = out.connect(target, None);
                self.next += 1;
                self.by_link.insert(link, (self.next, 0));
                self.by_link.insert(far, (self.next, 1));
                let pair = Pair {
                    door,
                    ends: [link, far],
                    open: false,
                    halves: Default::default(),
                    who: [0, 0],
                    start: 0,
                    words: self.words.clone(),
                };
                self.pairs.insert(self.next, pair);
            }
            Input::Opened { link } => {
                let Some((at, _)) = self.by_link.get(&link).copied() else { return };
                self.pairs.get_mut(&at).into_iter().for_each(|pair| pair.open = true);
                self.pump(now, at, out);
            }
            Input::Bytes { link, bytes } => {
                let Some((at, way)) = self.by_link.get(&link).copied() else { return };
                let Some(pair) = self.pairs.get_mut(&at) else { return };
                if let Ok(mut passed) = self.passed.lock() {
                    passed[pair.door / self.count][way] += bytes.len() as u64;
                }
                // As it was said, not as it passes: what a dead member said may pass long after.
                let seen = if self.reads { read(pair, way, bytes) } else { Vec::new() };
                let late = |seen: &Seen| match seen {
                    Seen::Piece { at, .. } => self.hold_from.is_some_and(|from| *at >= from),
                    _ => false,
                };
                if seen.iter().any(late) {
                    self.doors[pair.door].cut = true;
                }
                if let Ok(mut sightings) = self.sightings.lock() {
                    sightings.extend(seen.into_iter().map(|seen| (now, seen)));
                }
                let half = &mut pair.halves[way];
                half.queue.push_back((now + self.doors[pair.door].delay, bytes.to_vec()));
                if half.queue.iter().map(|held| held.1.len()).sum::<usize>() > MOST_HELD {
                    out.push(Effect::Pause { link });
                }
                self.pump(now, at, out);
            }
            Input::Closed { link, .. } => {
                let Some((at, way)) = self.by_link.remove(&link) else { return };
                let Some(pair) = self.pairs.get_mut(&at) else { return };
                pair.halves[way].ended = true;
                // Behind a cut nobody hears of it.
                self.pump(now, at, out);
            }
            Input::TimerFired { timer } => self.pump(now, timer, out),
            Input::Command(word) => self.word(now, word, out),
            _ => {}
        }
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}
