//! Members on a bare stage: links that keep order and break, disks that sync when told, and the checks of safety.
#![allow(dead_code)] // each test takes what it needs

use pewtergap_raft::*;
use pewtergap_time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub const START: Moment = Moment(1_000_000_000_000);
pub const TIMES: RaftConfig =
    RaftConfig { heartbeat_interval: Span::millis(50), election_timeout: Span::millis(300) };

/// What goes wrong on purpose, so that the checks are seen to find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
    Nothing,
    /// The disk says it is synced before it is.
    LyingDisk,
    /// A wiped member comes back under its old number.
    OldNumber,
}

#[derive(Clone, Debug)]
struct Place {
    agree: Option<RaftNode>,
    disk: Vec<WalRecord>,
    /// Saved and not synced: ticket, rows, whether they replace all.
    waiting: VecDeque<(u64, Vec<WalRecord>, bool)>,
    /// What it was told is committed, by index; a restart tells again.
    applied: BTreeMap<Index, Entry>,
    starts: u64,
}

#[derive(Clone, Debug)]
pub struct Stage {
    pub now: Moment,
    places: BTreeMap<Id, Place>,
    links: BTreeMap<(Id, Id), VecDeque<Message>>,
    cut: BTreeSet<(Id, Id)>,
    /// Committed anywhere, ever.
    committed: BTreeMap<Index, Entry>,
    leaders: BTreeMap<Term, Id>,
    /// Reads under way: where, token, highest index that was committed anywhere when it was asked.
    reads: BTreeMap<(Id, u64), Index>,
    pub read: usize,
    tokens: u64,
    pub went_back: Vec<Id>,
    plant: Plant,
    /// From this number on members observe.
    observers: Id,
    /// Who held an entry on disk when it was committed is not checked; that it is never another one is.
    pub wrong: Option<String>,
}

pub fn founders(count: u64) -> Members {
    let member = |id| Member {
        id,
        name: format!("m{id}"),
        address: String::new(),
        is_voter: true,
        is_observer: false,
    };
    Members { list: (1..=count).map(member).collect(), retired: Vec::new() }
}

impl Stage {
    pub fn new(count: u64, plant: Plant) -> Stage {
        Stage::with_observers(count, 0, plant)
    }

    /// Members 1 to `count` vote, so many more observe.
    pub fn with_observers(count: u64, observers: u64, plant: Plant) -> Stage {
        let mut stage = Stage {
            now: START,
            places: BTreeMap::new(),
            links: BTreeMap::new(),
            cut: BTreeSet::new(),
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            reads: BTreeMap::new(),
            read: 0,
            tokens: 0,
            went_back: Vec::new(),
            plant,
            observers: count + 1,
            wrong: None,
        };
        let mut members = founders(count + observers);
        members.list.iter_mut().for_each(|m| (m.is_voter, m.is_observer) = (m.id <= count, m.id > count));
        let first = WalRecord::Snapshot(Snapshot { members, ..Snapshot::default() });
        for id in 1..=count + observers {
            stage.admit(id, vec![first.clone()]);
        }
        stage
    }

    pub fn admit(&mut self, id: Id, disk: Vec<WalRecord>) {
        let place =
            Place { agree: None, disk, waiting: VecDeque::new(), applied: BTreeMap::new(), starts: 0 };
        self.places.insert(id, place);
        self.start(id);
    }

    pub fn ids(&self) -> Vec<Id> {
        self.places.keys().copied().collect()
    }

    pub fn start(&mut self, id: Id) {
        let now = self.now;
        let Some(place) = self.places.get_mut(&id).filter(|place| place.agree.is_none()) else { return };
        place.starts += 1;
        match Log::from_records(place.disk.iter().cloned()) {
            Ok(log) => {
                place.applied.clear();
                place.agree = Some(RaftNode::new(now, id, TIMES, id * 1000 + place.starts, log, 0));
            }
            Err(why) => self.wrong = Some(format!("member {id} cannot read its disk: {why}")),
        }
        self.carry_out(id);
    }

    /// Killed; of what was not synced so many saves reached the disk all the same.
    pub fn kill(&mut self, id: Id, reached: usize) {
        let Some(place) = self.places.get_mut(&id) else { return };
        place.agree = None;
        let waiting = std::mem::take(&mut place.waiting);
        if self.plant != Plant::LyingDisk {
            waiting.into_iter().take(reached).for_each(|save| Stage::write(&mut place.disk, save));
        }
        self.links.retain(|link, _| link.0 != id && link.1 != id);
        self.reads.retain(|read, _| read.0 != id);
        let others: Vec<Id> = self.ids();
        for other in others {
            if let Some(agree) = self.places.get_mut(&other).and_then(|place| place.agree.as_mut()) {
                agree.on_connection_lost(id);
            }
        }
    }

    /// Whether a save waits at this member, and whether it runs.
    pub fn saving(&self, id: Id) -> (bool, bool) {
        self.places
            .get(&id)
            .map_or((false, false), |place| (!place.waiting.is_empty(), place.agree.is_some()))
    }

    pub fn disk(&self, id: Id) -> Vec<WalRecord> {
        self.places.get(&id).map_or(Vec::new(), |place| place.disk.clone())
    }

    /// The machine is lost with its disk; with another disk it is another member, unless the plant says otherwise.
    pub fn wipe(&mut self, id: Id, disk: Vec<WalRecord>) {
        self.kill(id, 0);
        if let Some(place) = self.places.get_mut(&id) {
            place.disk = disk;
        }
    }

    fn write(disk: &mut Vec<WalRecord>, (_, rows, anew): (u64, Vec<WalRecord>, bool)) {
        if anew {
            disk.clear();
        }
        disk.extend(rows);
    }

    pub fn sync(&mut self, id: Id) {
        let now = self.now;
        let Some(place) = self.places.get_mut(&id) else { return };
        let Some(save) = place.waiting.pop_front() else { return };
        let ticket = save.0;
        Stage::write(&mut place.disk, save);
        if let Some(agree) = &mut place.agree {
            agree.on_synced(now, ticket);
        }
        self.carry_out(id);
    }

    pub fn with<T>(&mut self, id: Id, act: impl FnOnce(&mut RaftNode, Moment) -> T) -> Option<T> {
        let now = self.now;
        let done = self.places.get_mut(&id)?.agree.as_mut().map(|agree| act(agree, now));
        self.carry_out(id);
        done
    }

    pub fn agree(&self, id: Id) -> Option<&RaftNode> {
        self.places.get(&id)?.agree.as_ref()
    }

    pub fn leader(&self) -> Option<Id> {
        let leads = |id: &Id| self.agree(*id).is_some_and(|agree| agree.role() == Role::Leader);
        let term = |id: &Id| self.agree(*id).map(|agree| agree.term());
        self.ids().into_iter().filter(leads).max_by_key(term)
    }

    pub fn read(&mut self, id: Id) {
        self.tokens += 1;
        let token = self.tokens;
        let known = self.committed.keys().next_back().copied().unwrap_or(0);
        self.reads.insert((id, token), known);
        if !matches!(self.with(id, |agree, now| agree.request_read(now, token)), Some(Ok(()))) {
            self.reads.remove(&(id, token));
        }
    }

    pub fn set_cut(&mut self, from: Id, to: Id, cut: bool) {
        if cut {
            self.cut.insert((from, to));
        } else {
            self.cut.remove(&(from, to));
        }
    }

    pub fn heal(&mut self) {
        self.cut.clear();
    }

    /// Messages under way on links that are not cut.
    pub fn under_way(&self) -> Vec<(Id, Id)> {
        let open = |link: &(&(Id, Id), &VecDeque<Message>)| !link.1.is_empty() && !self.cut.contains(link.0);
        self.links.iter().filter(open).map(|link| *link.0).collect()
    }

    pub fn deliver(&mut self, link: (Id, Id)) {
        let Some(message) = self.links.get_mut(&link).and_then(VecDeque::pop_front) else { return };
        self.with(link.1, |agree, now| agree.receive(now, link.0, message));
    }

    /// A connection breaks: what was under way is gone.
    pub fn drop_link(&mut self, link: (Id, Id)) {
        self.links.remove(&link);
        self.with(link.0, |agree, _| agree.on_connection_lost(link.1));
    }

    pub fn tick(&mut self, id: Id) {
        self.with(id, |agree, now| agree.tick(now));
    }

    /// Time goes by, all is synced and delivered as it comes.
    pub fn settle(&mut self, ms: u64) {
        let end = self.now + Span::millis(ms);
        while self.now < end {
            loop {
                let busy: Vec<Id> =
                    self.ids().into_iter().filter(|id| !self.places[id].waiting.is_empty()).collect();
                busy.iter().for_each(|id| self.sync(*id));
                let links = self.under_way();
                links.iter().for_each(|link| self.deliver(*link));
                if busy.is_empty() && links.is_empty() {
                    break;
                }
            }
            self.now = self.now + Span::millis(10);
            self.ids().into_iter().for_each(|id| self.tick(id));
        }
    }

    fn carry_out(&mut self, id: Id) {
        let now = self.now;
        let lies = self.plant == Plant::LyingDisk;
        loop {
            let Some(place) = self.places.get_mut(&id) else { return };
            let Some(agree) = &mut place.agree else { return };
            let effects = agree.take_actions(now);
            if effects.is_empty() {
                break;
            }
            for effect in effects {
                match effect {
                    Action::Send { to, message } => {
                        let gives = matches!(
                            message.payload,
                            Payload::VoteResponse { granted: true }
                                | Payload::PreVoteResponse { granted: true }
                                | Payload::VoteRequest { .. }
                        );
                        if gives && id >= self.observers {
                            self.wrong = Some(format!("observer {id} says {:?}", message.payload));
                        }
                        self.links.entry((id, to)).or_default().push_back(message);
                    }
                    Action::Save { ticket, records: rows, replace_all: anew } => {
                        place.waiting.push_back((ticket, rows, anew));
                        if lies {
                            agree.on_synced(now, ticket);
                        }
                    }
                    Action::Commit { index, entry } => {
                        let known = self.committed.entry(index).or_insert(entry.clone());
                        if *known != entry {
                            self.wrong = Some(format!("entry {index} committed twice, at {id} another one"));
                        }
                        place.applied.insert(index, entry);
                    }
                    Action::Restore(snapshot) => {
                        // The data names the index it stands for: a snapshot never is of another state.
                        if snapshot.data != snapshot.index.to_be_bytes() {
                            self.wrong = Some(format!("snapshot {} holds something else", snapshot.index));
                        }
                    }
                    Action::ReadReady { token, index } => {
                        let known = self.reads.remove(&(id, token)).unwrap_or(0);
                        self.read += 1;
                        if index < known {
                            self.wrong = Some(format!("a read at {id} up to {index}, committed was {known}"));
                        }
                    }
                    Action::ReadFailed { token } => drop(self.reads.remove(&(id, token))),
                    Action::LogRegressed { id } => self.went_back.push(id),
                    Action::RoleChanged => {}
                }
            }
            if id >= self.observers && agree.role() != Role::Follower {
                self.wrong = Some(format!("observer {id} is {:?}", agree.role()));
            }
            if agree.role() == Role::Leader {
                let known = *self.leaders.entry(agree.term()).or_insert(id);
                if known != id {
                    self.wrong = Some(format!("{known} and {id} lead in term {}", agree.term()));
                }
            }
        }
    }

    /// All that was committed is on the disks of a majority, or will be found from one: checked at the end, after
    /// all faults have passed.
    pub fn check_end(&mut self) -> usize {
        let Some(leader) = self.leader() else {
            self.wrong = Some("no leader though nothing is wrong any more".into());
            return 0;
        };
        for (index, entry) in &self.committed {
            let Some(agree) = self.agree(leader) else { continue };
            let held = agree.entry(*index);
            let compacted = *index <= agree.last().1 && held.is_none();
            if held != Some(entry) && !compacted {
                self.wrong = Some(format!("entry {index} was committed and is gone"));
                return 0;
            }
        }
        let applied = self.agree(leader).map_or(0, |agree| agree.applied_index());
        if applied < self.committed.keys().next_back().copied().unwrap_or(0) {
            self.wrong = Some("the leader has not applied what was committed".into());
        }
        self.committed.len()
    }
}
