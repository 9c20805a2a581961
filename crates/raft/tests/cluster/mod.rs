//! A cluster of members for tests: ordered links that may break, disks that sync on demand, and the safety
//! checks.
#![allow(dead_code)] // each test file uses a part

use pewtergap_raft::*;
use pewtergap_time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub const START: Moment = Moment(1_000_000_000_000);
pub const CONFIG: RaftConfig =
    RaftConfig { heartbeat_interval: Span::millis(50), election_timeout: Span::millis(300) };

/// Faults injected to show that the checks detect them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    None,
    /// The disk reports a sync that has not happened.
    FalseSync,
    /// A wiped member returns under its old id.
    ReusedId,
}

#[derive(Clone, Debug)]
struct Node {
    raft: Option<RaftNode>,
    disk: Vec<WalRecord>,
    /// Saves that are not synced: ticket, records, and whether they replace everything.
    pending_saves: VecDeque<(u64, Vec<WalRecord>, bool)>,
    /// Committed entries delivered to this member; delivered again after a restart.
    applied: BTreeMap<Index, Entry>,
    start_count: u64,
}

#[derive(Clone, Debug)]
pub struct TestCluster {
    pub now: Moment,
    nodes: BTreeMap<Id, Node>,
    links: BTreeMap<(Id, Id), VecDeque<Message>>,
    cut: BTreeSet<(Id, Id)>,
    /// Entries committed by any member at any time.
    committed: BTreeMap<Index, Entry>,
    leaders: BTreeMap<Term, Id>,
    /// Reads in progress, by member and token: the highest index committed anywhere when the read was
    /// requested.
    reads: BTreeMap<(Id, u64), Index>,
    pub read: usize,
    last_token: u64,
    pub regressed: Vec<Id>,
    fault: InjectedFault,
    /// Members from this id on are observers.
    first_observer: Id,
    /// The first violation found. It is checked that no other entry is ever committed at an index, but not
    /// which disks held an entry when it was committed.
    pub violation: Option<String>,
}

pub fn initial_members(count: u64) -> Members {
    let member = |id| Member {
        id,
        name: format!("m{id}"),
        address: String::new(),
        is_voter: true,
        is_observer: false,
    };
    Members { list: (1..=count).map(member).collect(), retired: Vec::new() }
}

impl TestCluster {
    pub fn new(count: u64, fault: InjectedFault) -> TestCluster {
        TestCluster::with_observers(count, 0, fault)
    }

    /// Members 1 to `count` are voters, followed by `observers` observers.
    pub fn with_observers(count: u64, observer_count: u64, fault: InjectedFault) -> TestCluster {
        let mut cluster = TestCluster {
            now: START,
            nodes: BTreeMap::new(),
            links: BTreeMap::new(),
            cut: BTreeSet::new(),
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            reads: BTreeMap::new(),
            read: 0,
            last_token: 0,
            regressed: Vec::new(),
            fault,
            first_observer: count + 1,
            violation: None,
        };
        let mut members = initial_members(count + observer_count);
        members.list.iter_mut().for_each(|m| (m.is_voter, m.is_observer) = (m.id <= count, m.id > count));
        let first = WalRecord::Snapshot(Snapshot { members, ..Snapshot::default() });
        for id in 1..=count + observer_count {
            cluster.add(id, vec![first.clone()]);
        }
        cluster
    }

    pub fn add(&mut self, id: Id, disk: Vec<WalRecord>) {
        let node = Node {
            raft: None,
            disk,
            pending_saves: VecDeque::new(),
            applied: BTreeMap::new(),
            start_count: 0,
        };
        self.nodes.insert(id, node);
        self.start(id);
    }

    pub fn ids(&self) -> Vec<Id> {
        self.nodes.keys().copied().collect()
    }

    pub fn start(&mut self, id: Id) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&id).filter(|node| node.raft.is_none()) else { return };
        node.start_count += 1;
        match Log::from_records(node.disk.iter().cloned()) {
            Ok(log) => {
                node.applied.clear();
                node.raft = Some(RaftNode::new(now, id, CONFIG, id * 1000 + node.start_count, log, 0));
            }
            Err(why) => self.violation = Some(format!("member {id} cannot read its disk: {why}")),
        }
        self.run_actions(id);
    }

    /// Crashes a member; the first `reached` unsynced saves still reach its disk.
    pub fn crash(&mut self, id: Id, reached: usize) {
        let Some(node) = self.nodes.get_mut(&id) else { return };
        node.raft = None;
        let pending_saves = std::mem::take(&mut node.pending_saves);
        if self.fault != InjectedFault::FalseSync {
            pending_saves.into_iter().take(reached).for_each(|save| TestCluster::write(&mut node.disk, save));
        }
        self.links.retain(|link, _| link.0 != id && link.1 != id);
        self.reads.retain(|read, _| read.0 != id);
        let others: Vec<Id> = self.ids();
        for other in others {
            if let Some(raft) = self.nodes.get_mut(&other).and_then(|node| node.raft.as_mut()) {
                raft.on_connection_lost(id);
            }
        }
    }

    /// Whether a save is pending at this member, and whether it is running.
    pub fn save_status(&self, id: Id) -> (bool, bool) {
        self.nodes
            .get(&id)
            .map_or((false, false), |node| (!node.pending_saves.is_empty(), node.raft.is_some()))
    }

    pub fn disk(&self, id: Id) -> Vec<WalRecord> {
        self.nodes.get(&id).map_or(Vec::new(), |node| node.disk.clone())
    }

    /// The member loses its disk. With another disk it is another member, unless the injected fault says
    /// otherwise.
    pub fn wipe(&mut self, id: Id, disk: Vec<WalRecord>) {
        self.crash(id, 0);
        if let Some(node) = self.nodes.get_mut(&id) {
            node.disk = disk;
        }
    }

    fn write(disk: &mut Vec<WalRecord>, (_, records, replace_all): (u64, Vec<WalRecord>, bool)) {
        if replace_all {
            disk.clear();
        }
        disk.extend(records);
    }

    pub fn sync(&mut self, id: Id) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&id) else { return };
        let Some(save) = node.pending_saves.pop_front() else { return };
        let ticket = save.0;
        TestCluster::write(&mut node.disk, save);
        if let Some(raft) = &mut node.raft {
            raft.on_synced(now, ticket);
        }
        self.run_actions(id);
    }

    pub fn with_raft<T>(&mut self, id: Id, act: impl FnOnce(&mut RaftNode, Moment) -> T) -> Option<T> {
        let now = self.now;
        let done = self.nodes.get_mut(&id)?.raft.as_mut().map(|raft| act(raft, now));
        self.run_actions(id);
        done
    }

    pub fn raft(&self, id: Id) -> Option<&RaftNode> {
        self.nodes.get(&id)?.raft.as_ref()
    }

    pub fn leader(&self) -> Option<Id> {
        let leads = |id: &Id| self.raft(*id).is_some_and(|raft| raft.role() == Role::Leader);
        let term = |id: &Id| self.raft(*id).map(|raft| raft.term());
        self.ids().into_iter().filter(leads).max_by_key(term)
    }

    pub fn read(&mut self, id: Id) {
        self.last_token += 1;
        let token = self.last_token;
        let known = self.committed.keys().next_back().copied().unwrap_or(0);
        self.reads.insert((id, token), known);
        if !matches!(self.with_raft(id, |raft, now| raft.request_read(now, token)), Some(Ok(()))) {
            self.reads.remove(&(id, token));
        }
    }

    pub fn set_link_cut(&mut self, from: Id, to: Id, cut: bool) {
        if cut {
            self.cut.insert((from, to));
        } else {
            self.cut.remove(&(from, to));
        }
    }

    pub fn heal(&mut self) {
        self.cut.clear();
    }

    /// Links that carry messages and are not cut.
    pub fn deliverable_links(&self) -> Vec<(Id, Id)> {
        let open = |link: &(&(Id, Id), &VecDeque<Message>)| !link.1.is_empty() && !self.cut.contains(link.0);
        self.links.iter().filter(open).map(|link| *link.0).collect()
    }

    pub fn deliver(&mut self, link: (Id, Id)) {
        let Some(message) = self.links.get_mut(&link).and_then(VecDeque::pop_front) else { return };
        self.with_raft(link.1, |raft, now| raft.receive(now, link.0, message));
    }

    /// Delivers what a link carries now, and syncs all that the receiver saved.
    pub fn deliver_all(&mut self, link: (Id, Id)) {
        let waiting = self.links.get(&link).map_or(0, VecDeque::len);
        (0..waiting).for_each(|_| self.deliver(link));
        while self.save_status(link.1).0 {
            self.sync(link.1);
        }
    }

    /// Breaks a connection; its messages are lost.
    pub fn drop_link(&mut self, link: (Id, Id)) {
        self.links.remove(&link);
        self.with_raft(link.0, |raft, _| raft.on_connection_lost(link.1));
    }

    pub fn tick(&mut self, id: Id) {
        self.with_raft(id, |raft, now| raft.tick(now));
    }

    /// Syncs and delivers everything, also what follows from it, without advancing time.
    pub fn settle(&mut self) {
        loop {
            let busy: Vec<Id> =
                self.ids().into_iter().filter(|id| !self.nodes[id].pending_saves.is_empty()).collect();
            busy.iter().for_each(|id| self.sync(*id));
            let links = self.deliverable_links();
            links.iter().for_each(|link| self.deliver(*link));
            if busy.is_empty() && links.is_empty() {
                return;
            }
        }
    }

    /// Advances time; syncs and delivers everything as it comes.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + Span::millis(ms);
        while self.now < end {
            self.settle();
            self.now = self.now + Span::millis(10);
            self.ids().into_iter().for_each(|id| self.tick(id));
        }
    }

    fn run_actions(&mut self, id: Id) {
        let now = self.now;
        let false_sync = self.fault == InjectedFault::FalseSync;
        loop {
            let Some(node) = self.nodes.get_mut(&id) else { return };
            let Some(raft) = &mut node.raft else { return };
            let effects = raft.take_actions(now);
            if effects.is_empty() {
                break;
            }
            for effect in effects {
                match effect {
                    Action::Send { to, message } => {
                        let sends_vote = matches!(
                            message.payload,
                            Payload::VoteResponse { granted: true }
                                | Payload::PreVoteResponse { granted: true }
                                | Payload::VoteRequest { .. }
                        );
                        if sends_vote && id >= self.first_observer {
                            self.violation = Some(format!("observer {id} sent {:?}", message.payload));
                        }
                        self.links.entry((id, to)).or_default().push_back(message);
                    }
                    Action::Save { ticket, records, replace_all } => {
                        node.pending_saves.push_back((ticket, records, replace_all));
                        if false_sync {
                            raft.on_synced(now, ticket);
                        }
                    }
                    Action::Commit { index, entry } => {
                        let known = self.committed.entry(index).or_insert(entry.clone());
                        if *known != entry {
                            self.violation =
                                Some(format!("entry {index} committed twice, differently at {id}"));
                        }
                        node.applied.insert(index, entry);
                    }
                    Action::Restore(snapshot) => {
                        // A snapshot's data is the index it covers, so a snapshot of any other state is
                        // detected.
                        if snapshot.data != snapshot.index.to_be_bytes() {
                            self.violation =
                                Some(format!("snapshot {} contains another state", snapshot.index));
                        }
                    }
                    Action::ReadReady { token, index } => {
                        let known = self.reads.remove(&(id, token)).unwrap_or(0);
                        self.read += 1;
                        if index < known {
                            self.violation = Some(format!(
                                "a read at {id} confirmed up to {index}, but {known} was committed"
                            ));
                        }
                    }
                    Action::ReadFailed { token } => drop(self.reads.remove(&(id, token))),
                    Action::LogRegressed { id } => self.regressed.push(id),
                    Action::RoleChanged => {}
                }
            }
            if id >= self.first_observer && raft.role() != Role::Follower {
                self.violation = Some(format!("observer {id} is {:?}", raft.role()));
            }
            if raft.role() == Role::Leader {
                let known = *self.leaders.entry(raft.term()).or_insert(id);
                if known != id {
                    self.violation =
                        Some(format!("{known} and {id} are both leaders in term {}", raft.term()));
                }
            }
        }
    }

    /// Everything committed is on a majority's disks or can be recovered from one. Checked at the end, when
    /// all faults are over.
    pub fn check_final_state(&mut self) -> usize {
        let Some(leader) = self.leader() else {
            self.violation = Some("no leader although all faults are over".into());
            return 0;
        };
        for (index, entry) in &self.committed {
            let Some(raft) = self.raft(leader) else { continue };
            let held = raft.entry(*index);
            let compacted = *index <= raft.last().1 && held.is_none();
            if held != Some(entry) && !compacted {
                self.violation = Some(format!("committed entry {index} is lost"));
                return 0;
            }
        }
        let applied = self.raft(leader).map_or(0, |raft| raft.applied_index());
        if applied < self.committed.keys().next_back().copied().unwrap_or(0) {
            self.violation = Some("the leader has not applied everything committed".into());
        }
        self.committed.len()
    }
}
