//! A leader's work: entries to all, what is committed, reads, hand-over, changes of members.

use crate::log::Snapshot;
use crate::machine::RaftNode;
use crate::{Action, Body, Id, Index, Member, Members, Payload, RaftError, Role, Term};
use pewtergap_time::Moment;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Bytes of entries in one message, messages under way to one member, bytes of a snapshot's piece.
const MOST_BYTES: usize = 64 * 1024;
const MOST_UNDER_WAY: usize = 16;
const PIECE: usize = 64 * 1024;
/// Reads that wait to be confirmed; more are refused.
const MOST_READS: usize = 4096;
/// A member this close to the end has caught up.
const CLOSE: Index = 64;

/// How a member is brought up.
#[derive(Clone, Debug)]
enum Feeding {
    /// Where its log ends is not known: one message at a time.
    Seeking,
    Streaming,
    /// It is given a snapshot, so many bytes so far.
    Pieces(Arc<Snapshot>, u64),
}

#[derive(Clone, Debug)]
struct Progress {
    next: Index,
    matched: Index,
    feeding: Feeding,
    /// Messages not answered.
    under_way: usize,
    /// When it was sent something and heard last, and the newest round it has answered.
    spoken: Moment,
    heard: Moment,
    round: u64,
}

#[derive(Clone, Debug, Default)]
pub struct Lead {
    members: BTreeMap<Id, Progress>,
    pub beat_at: Moment,
    /// Rounds of messages that confirm leadership.
    round: u64,
    /// Token, round that has to be answered, index to be applied.
    reads: VecDeque<(u64, u64, Index)>,
    /// To whom leadership is being handed, until when.
    pub handing: Option<(Id, Moment)>,
    since: Moment,
    /// Its first entry.
    first: Index,
}

impl RaftNode {
    pub(crate) fn begin(&mut self, now: Moment) {
        self.turn(Role::Leader, Some(self.id));
        self.lead = Lead { beat_at: now, since: now, ..Lead::default() };
        self.lead.first = self.extend(Body::Empty);
        self.meet(now);
        self.beat(now);
    }

    /// Whoever belongs is fed, whoever belongs no more is not.
    fn meet(&mut self, now: Moment) {
        let last = self.log.last().1;
        let ids: Vec<Id> = self.log.members.1.list.iter().map(|member| member.id).collect();
        self.lead.members.retain(|id, _| ids.contains(id));
        for id in ids.into_iter().filter(|id| *id != self.id && *id != 0) {
            self.lead.members.entry(id).or_insert(Progress {
                next: last,
                matched: 0,
                feeding: Feeding::Seeking,
                under_way: 0,
                spoken: Moment(0),
                heard: now,
                round: 0,
            });
        }
    }

    pub(crate) fn resign(&mut self) {
        let reads = std::mem::take(&mut self.lead.reads);
        self.out.extend(reads.into_iter().map(|read| Action::ReadFailed { token: read.0 }));
        self.lead = Lead::default();
    }

    /// Members of whom something was heard within an election's time, this one among them.
    fn hears_majority(&self, now: Moment) -> bool {
        let members = &self.log.members.1;
        let span = self.times.election_timeout;
        let hears =
            |id: &Id| *id == self.id || self.lead.members.get(id).is_some_and(|m| now.since(m.heard) < span);
        members.voters().filter(hears).count() >= members.majority()
    }

    pub(crate) fn beat(&mut self, now: Moment) {
        // Heard by nobody, it would serve old news; and others may not dare to stand while they hear it.
        if now.since(self.lead.since) >= self.times.election_timeout && !self.hears_majority(now) {
            self.turn(Role::Follower, None);
            return self.rest(now);
        }
        if self.lead.handing.is_some_and(|handing| now >= handing.1) {
            self.lead.handing = None;
        }
        self.lead.beat_at = now + self.times.heartbeat_interval;
        self.lead.round += 1;
        let ids: Vec<Id> = self.lead.members.keys().copied().collect();
        for id in ids {
            self.speak(now, id, true);
        }
    }

    pub(crate) fn feed_all(&mut self, now: Moment) {
        let ids: Vec<Id> = self.lead.members.keys().copied().collect();
        for id in ids {
            self.speak(now, id, false);
        }
    }

    /// Sends a member what it lacks, as far as it may be under way. `beat`: at least a sign of life.
    fn speak(&mut self, now: Moment, id: Id, beat: bool) {
        let (base, last, commit, round) =
            (self.log.base(), self.log.last().1, self.commit_index, self.lead.round);
        let Some(member) = self.lead.members.get_mut(&id) else { return };
        if member.next <= base && !matches!(member.feeding, Feeding::Pieces(..)) {
            let Some(snapshot) = &self.log.snapshot else { return };
            member.feeding = Feeding::Pieces(Arc::new(snapshot.clone()), 0);
            member.under_way = 0;
        }
        let mut says = Vec::new();
        match &member.feeding {
            Feeding::Pieces(snapshot, at) => {
                // Again at each beat: a piece may have been lost with its connection.
                if member.under_way == 0 || beat && now.since(member.spoken) >= self.times.election_timeout {
                    let from = *at as usize;
                    let upto = (from + PIECE).min(snapshot.data.len());
                    let data = snapshot.data[from..upto].to_vec();
                    let (index, term, members) = (snapshot.index, snapshot.term, snapshot.members.clone());
                    let piece = Snapshot { index, term, members, data };
                    says.push(Payload::SnapshotChunk {
                        snapshot: piece,
                        offset: *at,
                        total_bytes: snapshot.data.len() as u64,
                    });
                    member.under_way = 1;
                    member.spoken = now;
                }
                if beat {
                    let prev = (self.log.term_at(base).unwrap_or(0), base);
                    says.push(Payload::AppendEntries { prev, entries: Vec::new(), commit: 0, round });
                }
            }
            feeding => {
                let (window, streaming) = match feeding {
                    Feeding::Streaming => (MOST_UNDER_WAY, true),
                    _ => (1, false),
                };
                // A connection that broke took what was under way with it: begin again from what is known.
                if beat && member.under_way > 0 && now.since(member.heard) >= self.times.election_timeout {
                    (member.under_way, member.next) = (0, member.matched + 1);
                    member.feeding = Feeding::Seeking;
                }
                let mut spoke = false;
                while member.next <= last && member.under_way < window {
                    let prev = member.next - 1;
                    let Some(term) = self.log.term_at(prev) else { break };
                    let entries = self.log.entries_from(member.next, MOST_BYTES);
                    if streaming {
                        member.next += entries.len() as Index;
                    }
                    member.under_way += 1;
                    (spoke, member.spoken) = (true, now);
                    says.push(Payload::AppendEntries { prev: (term, prev), entries, commit, round });
                    if !streaming {
                        break;
                    }
                }
                if beat && !spoke {
                    let prev = member.next.min(last + 1) - 1;
                    let prev = (self.log.term_at(prev).unwrap_or(0), prev);
                    says.push(Payload::AppendEntries { prev, entries: Vec::new(), commit, round });
                }
            }
        }
        says.into_iter().for_each(|say| self.say_now(id, say));
    }

    pub(crate) fn count_took(&mut self, now: Moment, from: Id, refused: bool, matched: Index, round: u64) {
        let last = self.log.last().1;
        let Some(member) = self.lead.members.get_mut(&from) else { return };
        member.heard = now;
        member.round = member.round.max(round);
        member.under_way = member.under_way.saturating_sub(1);
        if refused {
            if matched < member.matched {
                self.out.push(Action::LogRegressed { id: from });
                return;
            }
            member.next = (matched + 1).min(last + 1).max(member.matched + 1);
            (member.feeding, member.under_way) = (Feeding::Seeking, 0);
            self.speak(now, from, false);
        } else {
            member.matched = member.matched.max(matched.min(last));
            match member.feeding {
                Feeding::Pieces(ref snapshot, _) if matched < snapshot.index => {}
                _ => {
                    member.feeding = Feeding::Streaming;
                    member.next = member.next.max(member.matched + 1);
                }
            }
            self.advance(now);
            self.hand_now(from);
            self.speak(now, from, false);
        }
        self.confirm(now);
    }

    pub(crate) fn count_got(&mut self, now: Moment, from: Id, index: Index, bytes: u64) {
        let Some(member) = self.lead.members.get_mut(&from) else { return };
        member.heard = now;
        if let Feeding::Pieces(snapshot, at) = &mut member.feeding {
            if snapshot.index == index && bytes <= snapshot.data.len() as u64 {
                (*at, member.under_way) = (bytes, 0);
                self.speak(now, from, false);
            }
        }
    }

    /// What a majority has on disk, of this very term, is committed; and all before it.
    pub(crate) fn advance(&mut self, now: Moment) {
        let members = &self.log.members.1;
        let has = |id: Id| match id == self.id {
            true => self.stable,
            false => self.lead.members.get(&id).map_or(0, |member| member.matched),
        };
        let mut held: Vec<Index> = members.voters().map(has).collect();
        held.sort_unstable_by(|a, b| b.cmp(a));
        let Some(index) = held.get(members.majority() - 1).copied() else { return };
        if index > self.commit_index && self.log.term_at(index) == Some(self.log.term) {
            let before = self.commit_index;
            self.commit_index = index;
            if before < self.lead.first && index >= self.lead.first {
                self.confirm(now);
            }
            // Who is no voter any more leads no longer, once that is committed.
            if self.log.members.0 <= index && !self.log.members.1.is_voter(self.id) {
                self.turn(Role::Follower, None);
                self.rest(now);
            }
        }
    }

    // ---- reads

    /// Asks for an index up to which a fresh read has to have applied.
    pub fn request_read(&mut self, now: Moment, token: u64) -> Result<(), RaftError> {
        if self.role != Role::Leader {
            return Err(RaftError::NotLeader);
        }
        if self.lead.reads.len() >= MOST_READS {
            return Err(RaftError::QueueFull);
        }
        // Of a round that begins after the read was asked for.
        let round = self.lead.round + 1;
        self.lead.reads.push_back((token, round, self.commit_index));
        if self.lead.reads.len() == 1 {
            self.beat(now);
        }
        self.confirm(now);
        Ok(())
    }

    /// Reads whose round a majority has answered. Before its first entry is committed a leader does not know what
    /// is.
    fn confirm(&mut self, now: Moment) {
        if self.commit_index < self.lead.first || self.role != Role::Leader {
            return;
        }
        let members = &self.log.members.1;
        let round_of = |id: Id| match id == self.id {
            true => u64::MAX,
            false => self.lead.members.get(&id).map_or(0, |member| member.round),
        };
        let mut rounds: Vec<u64> = members.voters().map(round_of).collect();
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        let confirmed = rounds.get(members.majority() - 1).copied().unwrap_or(0);
        let mut done = false;
        while self.lead.reads.front().is_some_and(|read| read.1 <= confirmed) {
            let Some((token, _, index)) = self.lead.reads.pop_front() else { break };
            done = true;
            self.out.push(Action::ReadReady { token, index: index.max(self.lead.first) });
        }
        if done && !self.lead.reads.is_empty() {
            self.beat(now);
        }
    }

    // ---- hand-over

    /// Hands leadership to the member that lacks least; takes no commands meanwhile. True if there is one.
    pub fn transfer_leadership(&mut self, now: Moment) -> bool {
        if self.role != Role::Leader {
            return false;
        }
        let members = &self.log.members.1;
        let fit = self
            .lead
            .members
            .iter()
            .filter(|(id, m)| members.is_voter(**id) && now.since(m.heard) < self.times.election_timeout);
        let Some(to) = fit.max_by_key(|(_, member)| member.matched).map(|fit| *fit.0) else { return false };
        self.lead.handing = Some((to, now + self.times.election_timeout));
        self.hand_now(to);
        true
    }

    fn hand_now(&mut self, id: Id) {
        let ready = self.lead.members.get(&id).is_some_and(|m| m.matched == self.log.last().1);
        if self.lead.handing.is_some_and(|handing| handing.0 == id) && ready {
            self.say_now(id, Payload::TimeoutNow);
        }
    }

    // ---- members

    /// A connection to a member broke: what was under way may be lost.
    pub fn on_connection_lost(&mut self, id: Id) {
        if let Some(member) = self.lead.members.get_mut(&id) {
            member.under_way = 0;
            member.next = member.matched + 1;
            if !matches!(member.feeding, Feeding::Pieces(..)) {
                member.feeding = Feeding::Seeking;
            }
        }
    }

    /// What a member is known to have on its disk, and when it was heard; for a leader.
    pub fn progress(&self, id: Id) -> Option<(Index, Moment)> {
        self.lead.members.get(&id).map(|member| (member.matched, member.heard))
    }

    /// Whether a learner has so little left to learn that its vote would not hold others up.
    pub fn is_caught_up(&self, id: Id) -> bool {
        let close = |member: &Progress| member.matched > 0 && member.matched + CLOSE >= self.log.last().1;
        self.lead.members.get(&id).is_some_and(close)
    }

    /// Proposes who belongs from here on. One voter more or less at a time: any two majorities then share a member.
    pub fn change_members(&mut self, now: Moment, members: Members) -> Result<(Term, Index), RaftError> {
        if self.role != Role::Leader || self.lead.handing.is_some() {
            return Err(RaftError::NotLeader);
        }
        // An earlier leader's change may not be committed, but may yet be: with ours it could be two at once.
        if self.commit_index < self.lead.first || self.log.members.0 > self.commit_index {
            return Err(RaftError::ChangePending);
        }
        let before: Vec<Id> = self.log.members.1.voters().collect();
        let after: Vec<Id> = members.voters().collect();
        let changed = before.iter().filter(|id| !after.contains(id)).count()
            + after.iter().filter(|id| !before.contains(id)).count();
        let known = &self.log.members.1;
        let raised = members
            .list
            .iter()
            .any(|member| member.is_voter && (member.is_observer || known.is_observer(member.id)));
        if changed > 1 || after.is_empty() || after.contains(&0) || raised {
            return Err(RaftError::InvalidChange);
        }
        let index = self.extend(Body::Members(members));
        self.meet(now);
        Ok((self.log.term, index))
    }

    pub fn member(&self, id: Id) -> Option<&Member> {
        self.log.members.1.find(id)
    }

    /// When this member last heard enough of the others to know what is committed: a leader a majority, others
    /// the leader.
    pub fn last_quorum_contact(&self, now: Moment) -> Option<Moment> {
        if self.role != Role::Leader {
            return self.heard;
        }
        let heard_of = |id: Id| {
            if id == self.id {
                now
            } else {
                self.lead.members.get(&id).map_or(Moment(0), |m| m.heard)
            }
        };
        let mut heard: Vec<Moment> = self.log.members.1.voters().map(heard_of).collect();
        heard.sort_unstable_by(|a, b| b.cmp(a));
        heard.get(self.log.members.1.majority() - 1).copied()
    }

    pub fn leading_since(&self) -> Option<(Moment, Term)> {
        (self.role == Role::Leader).then_some((self.lead.since, self.log.term))
    }
}
