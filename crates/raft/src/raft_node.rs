//! The state machine of one member: roles, terms and the dispatch of messages. Elections are in
//! `election.rs`, the leader's part is in `leader.rs`.

use crate::leader::LeaderState;
use crate::log::{Log, Snapshot};
use crate::{
    Action, Body, Entry, Id, Index, Members, Message, Payload, RaftConfig, RaftError, Role, Term, WalRecord,
};
use pewtergap_time::{Moment, Span};
use std::collections::{BTreeMap, VecDeque};

/// Messages held back until the disk has synced. Further ones are dropped, as a link may drop them: a stalled
/// disk must not fill the memory with answers to heartbeats.
const MAX_HELD_MESSAGES: usize = 4_096;
/// Larger snapshots are not accepted.
pub const MAX_SNAPSHOT_BYTES: u64 = 256 * 1024 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MessageType {
    PreVoteRequest,
    PreVoteResponse,
    VoteRequest,
    VoteResponse,
    AppendEntries,
    AppendResponse,
    SnapshotChunk,
    SnapshotChunkAck,
    TimeoutNow,
}

/// A message's term compared with ours.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TermOrder {
    Older,
    Same,
    Newer,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Handler {
    /// Answers whether we would grant a vote, without changing state.
    AnswerPreVote,
    CountPreVote,
    /// A vote request of a newer term: the term is adopted only if we have no live leader.
    ConsiderNewerTerm,
    AnswerVote,
    CountVote,
    /// Adopts the newer term and dispatches the message again.
    AdoptTerm,
    /// The sender is in an older term: tells it ours.
    SendOwnTerm,
    Append,
    StoreChunk,
    RecordProgress,
    ContinueSnapshot,
    StartElection,
    Ignore,
}

use MessageType::{
    AppendEntries, AppendResponse, PreVoteRequest, PreVoteResponse, SnapshotChunk, SnapshotChunkAck,
    TimeoutNow, VoteRequest, VoteResponse,
};
use Role::{Candidate, Follower, Leader, Trying};
use TermOrder::{Newer, Older, Same};

const ANY: &[Role] = &[Follower, Trying, Candidate, Leader];

type Transition = (&'static [Role], &'static [MessageType], &'static [TermOrder], Handler);

/// What a message leads to. The first matching row applies; combinations without a row are ignored. A term
/// has one leader, so a leader never follows another in its own term.
const TRANSITIONS: &[Transition] = &[
    (ANY, &[PreVoteRequest], &[Older, Same, Newer], Handler::AnswerPreVote),
    (&[Trying], &[PreVoteResponse], &[Older, Same, Newer], Handler::CountPreVote),
    (ANY, &[VoteRequest], &[Newer], Handler::ConsiderNewerTerm),
    (
        ANY,
        &[VoteResponse, AppendEntries, AppendResponse, SnapshotChunk, SnapshotChunkAck],
        &[Newer],
        Handler::AdoptTerm,
    ),
    (ANY, &[VoteRequest, AppendEntries, SnapshotChunk], &[Older], Handler::SendOwnTerm),
    (ANY, &[VoteRequest], &[Same], Handler::AnswerVote),
    (&[Candidate], &[VoteResponse], &[Same], Handler::CountVote),
    (&[Follower, Trying, Candidate], &[AppendEntries], &[Same], Handler::Append),
    (&[Follower, Trying, Candidate], &[SnapshotChunk], &[Same], Handler::StoreChunk),
    (&[Leader], &[AppendResponse], &[Same], Handler::RecordProgress),
    (&[Leader], &[SnapshotChunkAck], &[Same], Handler::ContinueSnapshot),
    (&[Follower], &[TimeoutNow], &[Same], Handler::StartElection),
];

fn handler_for(role: Role, message_type: MessageType, term_order: TermOrder) -> Handler {
    let row = TRANSITIONS
        .iter()
        .find(|r| r.0.contains(&role) && r.1.contains(&message_type) && r.2.contains(&term_order));
    row.map_or(Handler::Ignore, |row| row.3)
}

fn message_type(payload: &Payload) -> MessageType {
    match payload {
        Payload::PreVoteRequest { .. } => PreVoteRequest,
        Payload::PreVoteResponse { .. } => PreVoteResponse,
        Payload::VoteRequest { .. } => VoteRequest,
        Payload::VoteResponse { .. } => VoteResponse,
        Payload::AppendEntries { .. } => AppendEntries,
        Payload::AppendResponse { .. } => AppendResponse,
        Payload::SnapshotChunk { .. } => SnapshotChunk,
        Payload::SnapshotChunkAck { .. } => SnapshotChunkAck,
        Payload::TimeoutNow => TimeoutNow,
    }
}

/// A snapshot that is being received.
#[derive(Clone, Debug)]
struct IncomingSnapshot {
    from: Id,
    snapshot: Snapshot,
}

#[derive(Clone, Debug)]
pub struct RaftNode {
    pub(crate) id: Id,
    pub(crate) config: RaftConfig,
    pub(crate) rng: fastrand::Rng,
    pub(crate) role: Role,
    pub(crate) leader: Option<Id>,
    pub(crate) log: Log,
    pub(crate) commit_index: Index,
    applied_index: Index,
    /// The last ticket issued, the last one synced, and the last log index each pending save covers.
    last_save_ticket: u64,
    last_synced_ticket: u64,
    pending_saves: VecDeque<(u64, Index)>,
    /// Entries up to here are on our disk.
    pub(crate) stable_index: Index,
    /// Records not yet handed out for saving.
    unsaved_records: Vec<WalRecord>,
    replace_on_save: bool,
    /// Messages that may be sent only after their ticket is synced.
    held_messages: VecDeque<(u64, Id, Message)>,
    /// When a leader was last heard from, and when to start an election.
    pub(crate) last_leader_contact: Option<Moment>,
    pub(crate) election_deadline: Moment,
    /// After a restart the other members may know that this disk is an old copy, so until then this member
    /// neither votes nor starts an election.
    pub(crate) no_votes_until: Moment,
    pub(crate) votes: BTreeMap<Id, bool>,
    pub(crate) leader_state: LeaderState,
    incoming_snapshot: Option<IncomingSnapshot>,
    pub(crate) actions: Vec<Action>,
}

impl RaftNode {
    /// `committed`: the commit index known before the restart, or 0.
    pub fn new(now: Moment, id: Id, config: RaftConfig, seed: u64, log: Log, committed: Index) -> RaftNode {
        let applied = log.snapshot.as_ref().map_or(log.base(), |snapshot| snapshot.index);
        let mut node = RaftNode {
            id,
            config,
            rng: fastrand::Rng::with_seed(seed),
            role: Follower,
            leader: None,
            commit_index: applied.max(committed.min(log.last().1)),
            applied_index: applied,
            last_save_ticket: 0,
            last_synced_ticket: 0,
            pending_saves: VecDeque::new(),
            stable_index: log.last().1,
            unsaved_records: Vec::new(),
            replace_on_save: false,
            held_messages: VecDeque::new(),
            last_leader_contact: None,
            election_deadline: now,
            no_votes_until: now,
            votes: BTreeMap::new(),
            leader_state: LeaderState::default(),
            incoming_snapshot: None,
            actions: Vec::new(),
            log,
        };
        // An empty disk cannot be an old copy, and a single voter needs nobody's vote.
        let alone = node.log.members.1.voters().eq([id]);
        if node.log.last().1 > 0 && !alone {
            node.no_votes_until = now + config.election_timeout.times(2.0);
        }
        node.reset_election_deadline(now);
        if alone {
            node.election_deadline = now;
        }
        node
    }

    // ---- accessors

    pub fn id(&self) -> Id {
        self.id
    }
    pub fn role(&self) -> Role {
        self.role
    }
    pub fn term(&self) -> Term {
        self.log.term
    }
    pub fn leader(&self) -> Option<Id> {
        self.leader
    }
    pub fn members(&self) -> &Members {
        &self.log.members.1
    }
    /// The membership according to the committed entries.
    pub fn committed_members(&self) -> Members {
        self.log.members_at(self.commit_index).1
    }
    pub fn commit_index(&self) -> Index {
        self.commit_index
    }
    pub fn applied_index(&self) -> Index {
        self.applied_index
    }
    pub fn last(&self) -> (Term, Index) {
        self.log.last()
    }
    pub fn entry(&self, index: Index) -> Option<&Entry> {
        self.log.get(index)
    }
    pub fn entry_count(&self) -> usize {
        self.log.entry_count()
    }

    // ---- inputs

    /// When `tick` has work to do.
    pub fn next_tick(&self) -> Moment {
        match self.role {
            Leader => self.leader_state.next_heartbeat,
            _ => self.election_deadline,
        }
    }

    pub fn tick(&mut self, now: Moment) {
        if now < self.next_tick() {
            return;
        }
        if self.role == Leader {
            self.send_heartbeats(now);
        } else {
            self.start_pre_vote(now);
        }
    }

    /// A save was synced: messages that depend on it may be sent.
    pub fn on_synced(&mut self, now: Moment, ticket: u64) {
        self.last_synced_ticket = self.last_synced_ticket.max(ticket);
        while self.pending_saves.front().is_some_and(|save| save.0 <= self.last_synced_ticket) {
            let saved_index = self.pending_saves.pop_front().map_or(0, |save| save.1);
            self.stable_index = self.stable_index.max(saved_index.min(self.log.last().1));
        }
        while self.held_messages.front().is_some_and(|message| message.0 <= self.last_synced_ticket) {
            if let Some((_, to, message)) = self.held_messages.pop_front() {
                self.actions.push(Action::Send { to, message });
            }
        }
        match self.role {
            Leader => self.advance_commit(now),
            // Our own vote counts once it is on disk.
            Candidate if self.last_synced_ticket == self.last_save_ticket => {
                self.handle_vote_response(now, self.id, true)
            }
            _ => {}
        }
    }

    pub fn receive(&mut self, now: Moment, from: Id, message: Message) {
        let message_type = message_type(&message.payload);
        let term_order = match message.term.cmp(&self.log.term) {
            std::cmp::Ordering::Less => Older,
            std::cmp::Ordering::Equal => Same,
            std::cmp::Ordering::Greater => Newer,
        };
        match (handler_for(self.role, message_type, term_order), message.payload) {
            (Handler::AdoptTerm, payload) => {
                self.adopt_term(now, message.term);
                self.receive(now, from, Message { term: message.term, payload })
            }
            (Handler::ConsiderNewerTerm, payload) => {
                if !self.accepts_newer_term(now, &payload) {
                    return;
                }
                self.adopt_term(now, message.term);
                self.receive(now, from, Message { term: message.term, payload })
            }
            (Handler::AnswerPreVote, Payload::PreVoteRequest { last_log }) => {
                self.handle_pre_vote_request(now, from, message.term, last_log)
            }
            (Handler::CountPreVote, Payload::PreVoteResponse { granted }) => {
                self.handle_pre_vote_response(now, from, message.term, granted)
            }
            (Handler::AnswerVote, Payload::VoteRequest { last_log, .. }) => {
                self.handle_vote_request(now, from, last_log)
            }
            (Handler::CountVote, Payload::VoteResponse { granted }) => {
                self.handle_vote_response(now, from, granted)
            }
            (Handler::SendOwnTerm, Payload::VoteRequest { .. }) => {
                self.send_after_sync(from, Payload::VoteResponse { granted: false })
            }
            (Handler::SendOwnTerm, _) => self.send_after_sync(
                from,
                Payload::AppendResponse { rejected: true, match_index: self.log.last().1, round: 0 },
            ),
            (Handler::Append, Payload::AppendEntries { prev, entries, commit, round }) => {
                self.follow_leader(now, from);
                self.handle_append(from, prev, entries, commit, round);
            }
            (Handler::StoreChunk, Payload::SnapshotChunk { snapshot, offset, total_bytes }) => {
                self.follow_leader(now, from);
                self.handle_snapshot_chunk(from, snapshot, offset, total_bytes);
            }
            (Handler::RecordProgress, Payload::AppendResponse { rejected, match_index, round }) => {
                self.handle_append_response(now, from, rejected, match_index, round)
            }
            (Handler::ContinueSnapshot, Payload::SnapshotChunkAck { index, bytes_received }) => {
                self.handle_chunk_ack(now, from, index, bytes_received)
            }
            (Handler::StartElection, _) => self.start_election(now, true),
            _ => {}
        }
    }

    /// Appends a command. It is committed when `Action::Commit` reports its index with this term.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<(Term, Index), RaftError> {
        if self.role != Leader || self.leader_state.transfer.is_some() {
            return Err(RaftError::NotLeader);
        }
        Ok((self.log.term, self.append_local(Body::Command(command))))
    }

    /// Returns the actions since the last call. Commands proposed in between are sent together.
    pub fn take_actions(&mut self, now: Moment) -> Vec<Action> {
        if self.role == Leader {
            self.replicate_all(now);
            self.advance_commit(now);
        }
        self.flush_records();
        self.emit_commits();
        std::mem::take(&mut self.actions)
    }

    /// Replaces the log up to `index` by the caller's snapshot `data`. The last `trail` entries before it are
    /// kept so that members slightly behind can catch up without the snapshot.
    pub fn compact(&mut self, index: Index, data: Vec<u8>, trail: u64) {
        let Some(term) = self.log.term_at(index).filter(|_| index <= self.applied_index) else { return };
        let members = self.log.members_at(index).1;
        self.log.compact(Snapshot { index, term, members, data }, index.saturating_sub(trail));
        // The log already contains the records that wait to be saved.
        self.unsaved_records = self.log.to_records();
        self.replace_on_save = true;
    }

    // ---- common to all roles

    /// Whether this member may start an election: it is a voter by its newest entry or by the committed ones.
    /// A leader that was voted out and failed before a majority knew is the only one with the longest log; if
    /// it did not stand for election, nobody could win.
    pub(crate) fn may_stand(&self) -> bool {
        self.log.members.1.is_voter(self.id) || self.log.members_at(self.commit_index).1.is_voter(self.id)
    }

    /// Draws a new random deadline for hearing from a leader.
    pub(crate) fn reset_election_deadline(&mut self, now: Moment) {
        let span = self.config.election_timeout;
        self.election_deadline = now + span + Span(self.rng.u64(0..span.0.max(1)));
    }

    pub(crate) fn set_role(&mut self, role: Role, leader: Option<Id>) {
        if (self.role, self.leader) != (role, leader) {
            self.actions.push(Action::RoleChanged);
        }
        if self.role == Leader && role != Leader {
            self.clear_leader_state();
        }
        (self.role, self.leader) = (role, leader);
    }

    pub(crate) fn adopt_term(&mut self, now: Moment, term: Term) {
        (self.log.term, self.log.voted_for) = (term, 0);
        self.unsaved_records.push(WalRecord::HardState { term, vote: 0 });
        self.set_role(Follower, None);
        self.reset_election_deadline(now);
    }

    pub(crate) fn vote_for(&mut self, id: Id) {
        self.log.voted_for = id;
        self.unsaved_records.push(WalRecord::HardState { term: self.log.term, vote: id });
    }

    /// Sends a message once everything saved before is on disk.
    pub(crate) fn send_after_sync(&mut self, to: Id, payload: Payload) {
        self.flush_records();
        let message = Message { term: self.log.term, payload };
        if self.last_synced_ticket == self.last_save_ticket {
            self.actions.push(Action::Send { to, message });
        } else if self.held_messages.len() < MAX_HELD_MESSAGES {
            self.held_messages.push_back((self.last_save_ticket, to, message));
        }
    }

    /// Sends at once. For a leader's entries: they depend only on the term, which is on disk already.
    pub(crate) fn send_now(&mut self, to: Id, payload: Payload) {
        let message = Message { term: self.log.term, payload };
        self.actions.push(Action::Send { to, message });
    }

    pub(crate) fn append_local(&mut self, body: Body) -> Index {
        let entry = Entry { term: self.log.term, body };
        let index = self.log.push(entry.clone());
        self.unsaved_records.push(WalRecord::Entry { index, entry });
        index
    }

    pub(crate) fn flush_records(&mut self) {
        if self.unsaved_records.is_empty() {
            return;
        }
        self.last_save_ticket += 1;
        let (records, replace_all) =
            (std::mem::take(&mut self.unsaved_records), std::mem::take(&mut self.replace_on_save));
        self.pending_saves.push_back((self.last_save_ticket, self.log.last().1));
        self.actions.push(Action::Save { ticket: self.last_save_ticket, records, replace_all });
    }

    fn emit_commits(&mut self) {
        while self.applied_index < self.commit_index {
            let Some(entry) = self.log.get(self.applied_index + 1).cloned() else { return };
            self.applied_index += 1;
            self.actions.push(Action::Commit { index: self.applied_index, entry });
        }
    }

    // ---- following

    fn follow_leader(&mut self, now: Moment, leader: Id) {
        self.last_leader_contact = Some(now);
        self.no_votes_until = now;
        self.set_role(Follower, Some(leader));
        self.reset_election_deadline(now);
    }

    fn truncate_from(&mut self, index: Index) {
        self.log.truncate_from(index);
        self.stable_index = self.stable_index.min(index - 1);
        self.pending_saves.iter_mut().for_each(|saving| saving.1 = saving.1.min(index - 1));
    }

    fn handle_append(
        &mut self,
        from: Id,
        prev: (Term, Index),
        entries: Vec<Entry>,
        commit: Index,
        round: u64,
    ) {
        let reject = |match_index| Payload::AppendResponse { rejected: true, match_index, round };
        if prev.1 > self.log.last().1 {
            return self.send_after_sync(from, reject(self.log.last().1));
        }
        // Entries before the base are committed, so they match.
        if prev.1 >= self.log.base() && self.log.term_at(prev.1) != Some(prev.0) {
            // No entry of that term or a later one can match: skip back over them all.
            let leader_term = prev.0;
            let candidate =
                (self.log.base()..prev.1).rev().find(|at| self.log.term_at(*at) <= Some(leader_term));
            return self.send_after_sync(
                from,
                reject(candidate.unwrap_or(self.log.base()).max(self.commit_index.min(prev.1 - 1))),
            );
        }
        let match_index = prev.1 + entries.len() as Index;
        for (entry, index) in entries.into_iter().zip(prev.1 + 1..) {
            if index <= self.log.base() || self.log.term_at(index) == Some(entry.term) {
                continue;
            }
            if index <= self.log.last().1 {
                self.truncate_from(index);
            }
            self.log.push(entry.clone());
            self.unsaved_records.push(WalRecord::Entry { index, entry });
        }
        self.commit_index = self.commit_index.max(commit.min(match_index));
        self.send_after_sync(from, Payload::AppendResponse { rejected: false, match_index, round });
    }

    fn handle_snapshot_chunk(&mut self, from: Id, chunk: Snapshot, offset: u64, total_bytes: u64) {
        let index = chunk.index;
        // If the log holds all that the snapshot covers, restoring it would drop the entries that follow, which
        // the leader may have counted as stored here.
        if index <= self.commit_index || self.log.term_at(index) == Some(chunk.term) {
            self.commit_index = self.commit_index.max(index);
            let response = Payload::AppendResponse { rejected: false, match_index: index, round: 0 };
            return self.send_after_sync(from, response);
        }
        if total_bytes > MAX_SNAPSHOT_BYTES {
            return;
        }
        let is_same = |incoming: &IncomingSnapshot| {
            incoming.from == from && (incoming.snapshot.index, incoming.snapshot.term) == (index, chunk.term)
        };
        if offset == 0 && !self.incoming_snapshot.as_ref().is_some_and(is_same) {
            let snapshot = Snapshot { data: Vec::new(), ..chunk.clone() };
            self.incoming_snapshot = Some(IncomingSnapshot { from, snapshot });
        }
        let Some(incoming) = self.incoming_snapshot.as_mut().filter(|incoming| is_same(incoming)) else {
            return self.send_after_sync(from, Payload::SnapshotChunkAck { index, bytes_received: 0 });
        };
        if offset == incoming.snapshot.data.len() as u64 && offset + chunk.data.len() as u64 <= total_bytes {
            incoming.snapshot.data.extend(chunk.data);
        }
        let bytes_received = incoming.snapshot.data.len() as u64;
        if bytes_received < total_bytes {
            return self.send_after_sync(from, Payload::SnapshotChunkAck { index, bytes_received });
        }
        let Some(IncomingSnapshot { snapshot, .. }) = self.incoming_snapshot.take() else { return };
        self.log.restore(snapshot.clone());
        (self.commit_index, self.applied_index, self.stable_index) = (index, index, 0);
        self.pending_saves.clear();
        self.unsaved_records = self.log.to_records();
        self.replace_on_save = true;
        self.actions.push(Action::Restore(snapshot));
        self.send_after_sync(from, Payload::AppendResponse { rejected: false, match_index: index, round: 0 });
    }
}
