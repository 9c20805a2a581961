//! The leader's part: replication, commit index, reads, leadership transfer and membership changes.

use crate::log::Snapshot;
use crate::raft_node::RaftNode;
use crate::{Action, Body, Id, Index, Member, Members, Payload, RaftError, Role, Term};
use pewtergap_time::{Moment, Span};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Limits on the entry bytes in one message, the unacknowledged messages to one member, and the bytes of a
/// snapshot chunk.
const MAX_APPEND_BYTES: usize = 64 * 1024;
const MAX_IN_FLIGHT: usize = 16;
const CHUNK_BYTES: usize = 64 * 1024;
/// Reads waiting for confirmation; further ones are rejected.
const MAX_PENDING_READS: usize = 4096;
/// A learner whose log ends within so many entries of the leader's has caught up.
const CAUGHT_UP_MARGIN: Index = 64;

/// How entries reach a member.
#[derive(Clone, Debug)]
enum ReplicationMode {
    /// The end of its log is unknown: one message at a time.
    Probe,
    Replicate,
    /// A snapshot is being sent; the number is how many bytes it has received.
    Snapshot(Arc<Snapshot>, u64),
}

#[derive(Clone, Debug)]
struct Progress {
    next_index: Index,
    match_index: Index,
    mode: ReplicationMode,
    /// Unacknowledged messages.
    in_flight: usize,
    /// When it was last sent something and last heard from, and the newest heartbeat round it has
    /// acknowledged.
    last_sent: Moment,
    last_contact: Moment,
    acked_round: u64,
}

impl Progress {
    /// Whether messages are in flight and nothing was heard for the timeout: a broken connection may have
    /// lost them.
    fn is_unresponsive(&self, now: Moment, timeout: Span) -> bool {
        self.in_flight > 0 && now.since(self.last_contact) >= timeout
    }

    /// Continues from the last acknowledged index, as if nothing were in flight. A snapshot goes on where it
    /// stands.
    fn restart_from_acknowledged(&mut self) {
        if !matches!(self.mode, ReplicationMode::Snapshot(..)) {
            self.mode = ReplicationMode::Probe;
            self.in_flight = 0;
            self.next_index = self.match_index + 1;
        }
    }
}

#[derive(Clone, Debug, Default)]
pub struct LeaderState {
    progress: BTreeMap<Id, Progress>,
    pub next_heartbeat: Moment,
    /// Counts heartbeat rounds; a majority's acknowledgement of one confirms leadership.
    round: u64,
    /// Token, the round that has to be acknowledged, and the index that has to be applied.
    pending_reads: VecDeque<(u64, u64, Index)>,
    /// The target of a leadership transfer and when the attempt expires.
    pub transfer: Option<(Id, Moment)>,
    leading_since: Moment,
    /// The first entry of its term.
    first_index: Index,
}

impl RaftNode {
    pub(crate) fn become_leader(&mut self, now: Moment) {
        self.set_role(Role::Leader, Some(self.id));
        self.leader_state = LeaderState { next_heartbeat: now, leading_since: now, ..LeaderState::default() };
        self.leader_state.first_index = self.append_local(Body::Empty);
        self.track_members(now);
        self.send_heartbeats(now);
    }

    /// Starts tracking new members and drops removed ones.
    fn track_members(&mut self, now: Moment) {
        let last_index = self.log.last().1;
        let ids: Vec<Id> = self.log.members.1.list.iter().map(|member| member.id).collect();
        self.leader_state.progress.retain(|id, _| ids.contains(id));
        for id in ids.into_iter().filter(|id| *id != self.id && *id != 0) {
            self.leader_state.progress.entry(id).or_insert(Progress {
                next_index: last_index,
                match_index: 0,
                mode: ReplicationMode::Probe,
                in_flight: 0,
                last_sent: Moment(0),
                last_contact: now,
                acked_round: 0,
            });
        }
    }

    pub(crate) fn clear_leader_state(&mut self) {
        let reads = std::mem::take(&mut self.leader_state.pending_reads);
        self.actions.extend(reads.into_iter().map(|read| Action::ReadFailed { token: read.0 }));
        self.leader_state = LeaderState::default();
    }

    /// Whether a majority of voters, this one included, was heard from within the election timeout.
    fn has_quorum_contact(&self, now: Moment) -> bool {
        let members = &self.log.members.1;
        let timeout = self.config.election_timeout;
        let in_contact = |id: &Id| {
            *id == self.id
                || self.leader_state.progress.get(id).is_some_and(|m| now.since(m.last_contact) < timeout)
        };
        members.voters().filter(in_contact).count() >= members.majority()
    }

    pub(crate) fn send_heartbeats(&mut self, now: Moment) {
        // Without a majority's contact a leader would serve stale reads, and its heartbeats could keep others
        // from an election.
        if now.since(self.leader_state.leading_since) >= self.config.election_timeout
            && !self.has_quorum_contact(now)
        {
            self.set_role(Role::Follower, None);
            return self.reset_election_deadline(now);
        }
        if self.leader_state.transfer.is_some_and(|transfer| now >= transfer.1) {
            self.leader_state.transfer = None;
        }
        self.leader_state.next_heartbeat = now + self.config.heartbeat_interval;
        self.leader_state.round += 1;
        let ids: Vec<Id> = self.leader_state.progress.keys().copied().collect();
        for id in ids {
            self.replicate_to(now, id, true);
        }
    }

    pub(crate) fn replicate_all(&mut self, now: Moment) {
        let ids: Vec<Id> = self.leader_state.progress.keys().copied().collect();
        for id in ids {
            self.replicate_to(now, id, false);
        }
    }

    /// Sends a member what it lacks, up to the in-flight limit. With `heartbeat` it sends at least an empty
    /// message.
    fn replicate_to(&mut self, now: Moment, id: Id, heartbeat: bool) {
        let Some(member) = self.leader_state.progress.get_mut(&id) else { return };
        // Before the choice between entries and a snapshot: the last acknowledged index may be compacted.
        if heartbeat && member.is_unresponsive(now, self.config.election_timeout) {
            member.restart_from_acknowledged();
        }
        if member.next_index <= self.log.base() && !matches!(member.mode, ReplicationMode::Snapshot(..)) {
            let Some(snapshot) = &self.log.snapshot else { return };
            member.mode = ReplicationMode::Snapshot(Arc::new(snapshot.clone()), 0);
            member.in_flight = 0;
        }
        let messages = match member.mode {
            ReplicationMode::Snapshot(..) => self.snapshot_messages(now, id, heartbeat),
            ReplicationMode::Probe | ReplicationMode::Replicate => self.append_messages(now, id, heartbeat),
        };
        messages.into_iter().for_each(|payload| self.send_now(id, payload));
    }

    /// The next chunk for a member that receives a snapshot, unless one is in flight.
    fn snapshot_messages(&mut self, now: Moment, id: Id, heartbeat: bool) -> Vec<Payload> {
        let (base, round) = (self.log.base(), self.leader_state.round);
        let Some(member) = self.leader_state.progress.get_mut(&id) else { return Vec::new() };
        let ReplicationMode::Snapshot(snapshot, offset) = &member.mode else { return Vec::new() };
        let mut messages = Vec::new();
        // Sent again by heartbeats: the connection may have lost the chunk.
        let retry = heartbeat && now.since(member.last_sent) >= self.config.election_timeout;
        if member.in_flight == 0 || retry {
            let from = *offset as usize;
            let end = (from + CHUNK_BYTES).min(snapshot.data.len());
            let data = snapshot.data[from..end].to_vec();
            let (index, term, members) = (snapshot.index, snapshot.term, snapshot.members.clone());
            messages.push(Payload::SnapshotChunk {
                snapshot: Snapshot { index, term, members, data },
                offset: *offset,
                total_bytes: snapshot.data.len() as u64,
            });
            member.in_flight = 1;
            member.last_sent = now;
        }
        if heartbeat {
            let prev = (self.log.term_at(base).unwrap_or(0), base);
            messages.push(Payload::AppendEntries { prev, entries: Vec::new(), commit: 0, round });
        }
        messages
    }

    /// The entries that a member lacks and the in-flight limit allows.
    fn append_messages(&mut self, now: Moment, id: Id, heartbeat: bool) -> Vec<Payload> {
        let (last, commit, round) = (self.log.last().1, self.commit_index, self.leader_state.round);
        let Some(member) = self.leader_state.progress.get_mut(&id) else { return Vec::new() };
        let streaming = matches!(member.mode, ReplicationMode::Replicate);
        let window = if streaming { MAX_IN_FLIGHT } else { 1 };
        let mut messages = Vec::new();
        while member.next_index <= last && member.in_flight < window {
            let prev = member.next_index - 1;
            let Some(term) = self.log.term_at(prev) else { break };
            let entries = self.log.entries_from(member.next_index, MAX_APPEND_BYTES);
            if streaming {
                member.next_index += entries.len() as Index;
            }
            member.in_flight += 1;
            member.last_sent = now;
            messages.push(Payload::AppendEntries { prev: (term, prev), entries, commit, round });
            if !streaming {
                break;
            }
        }
        if heartbeat && messages.is_empty() {
            let prev = member.next_index.min(last + 1) - 1;
            let prev = (self.log.term_at(prev).unwrap_or(0), prev);
            messages.push(Payload::AppendEntries { prev, entries: Vec::new(), commit, round });
        }
        messages
    }

    pub(crate) fn handle_append_response(
        &mut self,
        now: Moment,
        from: Id,
        rejected: bool,
        match_index: Index,
        round: u64,
    ) {
        let last = self.log.last().1;
        let Some(member) = self.leader_state.progress.get_mut(&from) else { return };
        member.last_contact = now;
        member.acked_round = member.acked_round.max(round);
        member.in_flight = member.in_flight.saturating_sub(1);
        if rejected {
            if match_index < member.match_index {
                self.actions.push(Action::LogRegressed { id: from });
                return;
            }
            member.next_index = (match_index + 1).min(last + 1).max(member.match_index + 1);
            (member.mode, member.in_flight) = (ReplicationMode::Probe, 0);
            self.replicate_to(now, from, false);
        } else {
            member.match_index = member.match_index.max(match_index.min(last));
            match member.mode {
                ReplicationMode::Snapshot(ref snapshot, _) if match_index < snapshot.index => {}
                _ => {
                    member.mode = ReplicationMode::Replicate;
                    member.next_index = member.next_index.max(member.match_index + 1);
                }
            }
            self.advance_commit(now);
            self.send_timeout_now(from);
            self.replicate_to(now, from, false);
        }
        self.confirm_reads(now);
    }

    pub(crate) fn handle_chunk_ack(&mut self, now: Moment, from: Id, index: Index, bytes_received: u64) {
        let Some(member) = self.leader_state.progress.get_mut(&from) else { return };
        member.last_contact = now;
        if let ReplicationMode::Snapshot(snapshot, offset) = &mut member.mode {
            if snapshot.index == index && bytes_received <= snapshot.data.len() as u64 {
                (*offset, member.in_flight) = (bytes_received, 0);
                self.replicate_to(now, from, false);
            }
        }
    }

    /// Commits what a majority has on disk, provided the entry is of the current term; all earlier entries
    /// follow.
    pub(crate) fn advance_commit(&mut self, now: Moment) {
        let members = &self.log.members.1;
        let stored_index = |id: Id| match id == self.id {
            true => self.stable_index,
            false => self.leader_state.progress.get(&id).map_or(0, |member| member.match_index),
        };
        let mut indexes: Vec<Index> = members.voters().map(stored_index).collect();
        indexes.sort_unstable_by(|a, b| b.cmp(a));
        let Some(index) = indexes.get(members.majority() - 1).copied() else { return };
        if index > self.commit_index && self.log.term_at(index) == Some(self.log.term) {
            let before = self.commit_index;
            self.commit_index = index;
            if before < self.leader_state.first_index && index >= self.leader_state.first_index {
                self.confirm_reads(now);
            }
            // A leader that lost its vote steps down once that change is committed.
            if self.log.members.0 <= index && !self.log.members.1.is_voter(self.id) {
                self.set_role(Role::Follower, None);
                self.reset_election_deadline(now);
            }
        }
    }

    // ---- reads

    /// Requests an index that a linearizable read has to wait for.
    pub fn request_read(&mut self, now: Moment, token: u64) -> Result<(), RaftError> {
        if self.role != Role::Leader {
            return Err(RaftError::NotLeader);
        }
        if self.leader_state.pending_reads.len() >= MAX_PENDING_READS {
            return Err(RaftError::QueueFull);
        }
        // Only a round that starts after the request confirms it.
        let round = self.leader_state.round + 1;
        self.leader_state.pending_reads.push_back((token, round, self.commit_index));
        if self.leader_state.pending_reads.len() == 1 {
            self.send_heartbeats(now);
        }
        self.confirm_reads(now);
        Ok(())
    }

    /// Answers the reads whose round a majority has acknowledged. Until the first entry of its term is
    /// committed, a leader does not know the commit index.
    fn confirm_reads(&mut self, now: Moment) {
        if self.commit_index < self.leader_state.first_index || self.role != Role::Leader {
            return;
        }
        let members = &self.log.members.1;
        let round_of = |id: Id| match id == self.id {
            true => u64::MAX,
            false => self.leader_state.progress.get(&id).map_or(0, |member| member.acked_round),
        };
        let mut rounds: Vec<u64> = members.voters().map(round_of).collect();
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        let confirmed = rounds.get(members.majority() - 1).copied().unwrap_or(0);
        let mut done = false;
        while self.leader_state.pending_reads.front().is_some_and(|read| read.1 <= confirmed) {
            let Some((token, _, index)) = self.leader_state.pending_reads.pop_front() else { break };
            done = true;
            self.actions.push(Action::ReadReady { token, index: index.max(self.leader_state.first_index) });
        }
        if done && !self.leader_state.pending_reads.is_empty() {
            self.send_heartbeats(now);
        }
    }

    // ---- leadership transfer

    /// Transfers leadership to the most up-to-date reachable voter and accepts no commands meanwhile. Returns
    /// false if there is no candidate.
    pub fn transfer_leadership(&mut self, now: Moment) -> bool {
        if self.role != Role::Leader {
            return false;
        }
        let members = &self.log.members.1;
        let candidates = self.leader_state.progress.iter().filter(|(id, m)| {
            members.is_voter(**id) && now.since(m.last_contact) < self.config.election_timeout
        });
        let Some(to) =
            candidates.max_by_key(|(_, member)| member.match_index).map(|candidates| *candidates.0)
        else {
            return false;
        };
        self.leader_state.transfer = Some((to, now + self.config.election_timeout));
        self.send_timeout_now(to);
        true
    }

    fn send_timeout_now(&mut self, id: Id) {
        let ready = self.leader_state.progress.get(&id).is_some_and(|m| m.match_index == self.log.last().1);
        if self.leader_state.transfer.is_some_and(|transfer| transfer.0 == id) && ready {
            self.send_now(id, Payload::TimeoutNow);
        }
    }

    // ---- membership

    /// The connection to a member broke; messages in flight may be lost.
    pub fn on_connection_lost(&mut self, id: Id) {
        if let Some(member) = self.leader_state.progress.get_mut(&id) {
            member.in_flight = 0;
            member.next_index = member.match_index + 1;
            if !matches!(member.mode, ReplicationMode::Snapshot(..)) {
                member.mode = ReplicationMode::Probe;
            }
        }
    }

    /// On the leader: the index a member is known to have on disk, and when it was last heard from.
    pub fn progress(&self, id: Id) -> Option<(Index, Moment)> {
        self.leader_state.progress.get(&id).map(|member| (member.match_index, member.last_contact))
    }

    /// Whether a learner is close enough to the end of the log that giving it a vote would not delay commits.
    pub fn is_caught_up(&self, id: Id) -> bool {
        let is_close = |member: &Progress| {
            member.match_index > 0 && member.match_index + CAUGHT_UP_MARGIN >= self.log.last().1
        };
        self.leader_state.progress.get(&id).is_some_and(is_close)
    }

    /// Proposes a new membership. It may differ by one voter, so that any two consecutive majorities overlap.
    pub fn change_members(&mut self, now: Moment, members: Members) -> Result<(Term, Index), RaftError> {
        if self.role != Role::Leader || self.leader_state.transfer.is_some() {
            return Err(RaftError::NotLeader);
        }
        // An uncommitted change by an earlier leader may still be committed; together with ours that would be
        // two changes at once.
        if self.commit_index < self.leader_state.first_index || self.log.members.0 > self.commit_index {
            return Err(RaftError::ChangePending);
        }
        let before: Vec<Id> = self.log.members.1.voters().collect();
        let after: Vec<Id> = members.voters().collect();
        let changed = before.iter().filter(|id| !after.contains(id)).count()
            + after.iter().filter(|id| !before.contains(id)).count();
        let current = &self.log.members.1;
        let gives_observer_vote = members
            .list
            .iter()
            .any(|member| member.is_voter && (member.is_observer || current.is_observer(member.id)));
        if changed > 1 || after.is_empty() || after.contains(&0) || gives_observer_vote {
            return Err(RaftError::InvalidChange);
        }
        let index = self.append_local(Body::Members(members));
        self.track_members(now);
        Ok((self.log.term, index))
    }

    pub fn member(&self, id: Id) -> Option<&Member> {
        self.log.members.1.find(id)
    }

    /// When this member last had contact that tells it what is committed: for a leader contact with a
    /// majority, for others with the leader.
    pub fn last_quorum_contact(&self, now: Moment) -> Option<Moment> {
        if self.role != Role::Leader {
            return self.last_leader_contact;
        }
        let contact_of = |id: Id| {
            if id == self.id {
                now
            } else {
                self.leader_state.progress.get(&id).map_or(Moment(0), |m| m.last_contact)
            }
        };
        let mut contacts: Vec<Moment> = self.log.members.1.voters().map(contact_of).collect();
        contacts.sort_unstable_by(|a, b| b.cmp(a));
        contacts.get(self.log.members.1.majority() - 1).copied()
    }

    pub fn leading_since(&self) -> Option<(Moment, Term)> {
        (self.role == Role::Leader).then_some((self.leader_state.leading_since, self.log.term))
    }
}
