//! The member itself: roles, terms, what a message does. Elections are in `ballot.rs`, a leader's work in `leader.rs`.

use crate::leader::Lead;
use crate::log::{Log, Snapshot};
use crate::{
    Action, Body, Entry, Id, Index, Members, Message, Payload, RaftConfig, RaftError, Role, Term, WalRecord,
};
use pewtergap_time::{Moment, Span};
use std::collections::{BTreeMap, VecDeque};

/// Messages that wait for the disk. Beyond it they are dropped, as a link may drop them: a disk that stands still
/// must not fill the memory with answers to beats.
const MOST_HELD: usize = 4_096;
/// A snapshot beyond this is not taken.
pub const MOST_SNAPSHOT: u64 = 256 * 1024 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Trial,
    Trialled,
    Ask,
    Vote,
    Append,
    Took,
    Piece,
    Got,
    Stand,
}

/// The term of a message, against ours.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Age {
    Older,
    Same,
    Newer,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Do {
    /// Say whether it would have our vote; nothing changes.
    WeighTrial,
    CountTrial,
    /// A vote is asked for in a newer term: only if no leader is held on to does the term become ours.
    WeighNewer,
    Weigh,
    Count,
    /// The newer term becomes ours, then look again.
    Adopt,
    /// Its sender does not know of our term: say so.
    Correct,
    Follow,
    TakePiece,
    CountTook,
    CountGot,
    StandNow,
    Ignore,
}

use Age::{Newer, Older, Same};
use Kind::{Append, Ask, Got, Piece, Stand, Took, Trial, Trialled, Vote};
use Role::{Candidate, Follower, Leader, Trying};

const ANY: &[Role] = &[Follower, Trying, Candidate, Leader];

type Step = (&'static [Role], &'static [Kind], &'static [Age], Do);

/// What a message does. The first row that fits counts; what is not listed is ignored. Two leaders of one term cannot
/// be, so a leader has nothing to follow in its own.
const STEPS: &[Step] = &[
    (ANY, &[Trial], &[Older, Same, Newer], Do::WeighTrial),
    (&[Trying], &[Trialled], &[Older, Same, Newer], Do::CountTrial),
    (ANY, &[Ask], &[Newer], Do::WeighNewer),
    (ANY, &[Vote, Append, Took, Piece, Got], &[Newer], Do::Adopt),
    (ANY, &[Ask, Append, Piece], &[Older], Do::Correct),
    (ANY, &[Ask], &[Same], Do::Weigh),
    (&[Candidate], &[Vote], &[Same], Do::Count),
    (&[Follower, Trying, Candidate], &[Append], &[Same], Do::Follow),
    (&[Follower, Trying, Candidate], &[Piece], &[Same], Do::TakePiece),
    (&[Leader], &[Took], &[Same], Do::CountTook),
    (&[Leader], &[Got], &[Same], Do::CountGot),
    (&[Follower], &[Stand], &[Same], Do::StandNow),
];

fn step(role: Role, kind: Kind, age: Age) -> Do {
    let row = STEPS.iter().find(|r| r.0.contains(&role) && r.1.contains(&kind) && r.2.contains(&age));
    row.map_or(Do::Ignore, |row| row.3)
}

fn kind(say: &Payload) -> Kind {
    match say {
        Payload::PreVoteRequest { .. } => Trial,
        Payload::PreVoteResponse { .. } => Trialled,
        Payload::VoteRequest { .. } => Ask,
        Payload::VoteResponse { .. } => Vote,
        Payload::AppendEntries { .. } => Append,
        Payload::AppendResponse { .. } => Took,
        Payload::SnapshotChunk { .. } => Piece,
        Payload::SnapshotChunkAck { .. } => Got,
        Payload::TimeoutNow => Stand,
    }
}

/// A snapshot on its way in.
#[derive(Clone, Debug)]
struct Incoming {
    from: Id,
    snapshot: Snapshot,
}

#[derive(Clone, Debug)]
pub struct RaftNode {
    pub(crate) id: Id,
    pub(crate) times: RaftConfig,
    pub(crate) rng: fastrand::Rng,
    pub(crate) role: Role,
    pub(crate) leader: Option<Id>,
    pub(crate) log: Log,
    pub(crate) commit_index: Index,
    applied_index: Index,
    /// Tickets given and answered, and what each brings to the disk.
    saved: u64,
    synced: u64,
    saving: VecDeque<(u64, Index)>,
    /// Entries up to here are on our disk.
    pub(crate) stable: Index,
    /// Rows not yet handed over for saving.
    rows: Vec<WalRecord>,
    anew: bool,
    /// What may leave only once a ticket is answered.
    held: VecDeque<(u64, Id, Message)>,
    /// When a leader was heard last, and when to stand.
    pub(crate) heard: Option<Moment>,
    pub(crate) deadline: Moment,
    /// Fresh from a start: somebody may know that this disk is an old copy, so it neither votes nor stands yet.
    pub(crate) hushed: Moment,
    pub(crate) votes: BTreeMap<Id, bool>,
    pub(crate) lead: Lead,
    incoming: Option<Incoming>,
    pub(crate) out: Vec<Action>,
}

impl RaftNode {
    /// `committed`: as far as it was known at an earlier time, or 0.
    pub fn new(now: Moment, id: Id, times: RaftConfig, seed: u64, log: Log, committed: Index) -> RaftNode {
        let applied = log.snapshot.as_ref().map_or(log.base(), |snapshot| snapshot.index);
        let mut agree = RaftNode {
            id,
            times,
            rng: fastrand::Rng::with_seed(seed),
            role: Follower,
            leader: None,
            commit_index: applied.max(committed.min(log.last().1)),
            applied_index: applied,
            saved: 0,
            synced: 0,
            saving: VecDeque::new(),
            stable: log.last().1,
            rows: Vec::new(),
            anew: false,
            held: VecDeque::new(),
            heard: None,
            deadline: now,
            hushed: now,
            votes: BTreeMap::new(),
            lead: Lead::default(),
            incoming: None,
            out: Vec::new(),
            log,
        };
        // What was never in use has nothing to be an old copy of; and who is alone asks nobody.
        let alone = agree.log.members.1.voters().eq([id]);
        if agree.log.last().1 > 0 && !alone {
            agree.hushed = now + times.election_timeout.times(2.0);
        }
        agree.rest(now);
        if alone {
            agree.deadline = now;
        }
        agree
    }

    // ---- what is seen from outside

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
    /// Who belongs by what is committed.
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

    /// When `tick` has something to do.
    pub fn next_tick(&self) -> Moment {
        match self.role {
            Leader => self.lead.beat_at,
            _ => self.deadline,
        }
    }

    pub fn tick(&mut self, now: Moment) {
        if now < self.next_tick() {
            return;
        }
        if self.role == Leader {
            self.beat(now);
        } else {
            self.stand(now);
        }
    }

    /// A ticket is answered: what rested on it may be said.
    pub fn on_synced(&mut self, now: Moment, ticket: u64) {
        self.synced = self.synced.max(ticket);
        while self.saving.front().is_some_and(|saving| saving.0 <= self.synced) {
            let upto = self.saving.pop_front().map_or(0, |saving| saving.1);
            self.stable = self.stable.max(upto.min(self.log.last().1));
        }
        while self.held.front().is_some_and(|held| held.0 <= self.synced) {
            if let Some((_, to, message)) = self.held.pop_front() {
                self.out.push(Action::Send { to, message });
            }
        }
        match self.role {
            Leader => self.advance(now),
            // A vote of one's own counts when it is on disk.
            Candidate if self.synced == self.saved => self.count(now, self.id, true),
            _ => {}
        }
    }

    pub fn receive(&mut self, now: Moment, from: Id, message: Message) {
        let what = kind(&message.payload);
        let age = match message.term.cmp(&self.log.term) {
            std::cmp::Ordering::Less => Older,
            std::cmp::Ordering::Equal => Same,
            std::cmp::Ordering::Greater => Newer,
        };
        match (step(self.role, what, age), message.payload) {
            (Do::Adopt, say) => {
                self.adopt(now, message.term);
                self.receive(now, from, Message { term: message.term, payload: say })
            }
            (Do::WeighNewer, say) => {
                if !self.weighs(now, &say) {
                    return;
                }
                self.adopt(now, message.term);
                self.receive(now, from, Message { term: message.term, payload: say })
            }
            (Do::WeighTrial, Payload::PreVoteRequest { last_log: last }) => {
                self.weigh_trial(now, from, message.term, last)
            }
            (Do::CountTrial, Payload::PreVoteResponse { granted }) => {
                self.count_trial(now, from, message.term, granted)
            }
            (Do::Weigh, Payload::VoteRequest { last_log: last, .. }) => self.weigh(now, from, last),
            (Do::Count, Payload::VoteResponse { granted }) => self.count(now, from, granted),
            (Do::Correct, Payload::VoteRequest { .. }) => {
                self.say(from, Payload::VoteResponse { granted: false })
            }
            (Do::Correct, _) => self.say(
                from,
                Payload::AppendResponse { rejected: true, match_index: self.log.last().1, round: 0 },
            ),
            (Do::Follow, Payload::AppendEntries { prev, entries, commit, round }) => {
                self.follow(now, from);
                self.append(from, prev, entries, commit, round);
            }
            (Do::TakePiece, Payload::SnapshotChunk { snapshot, offset: at, total_bytes: total }) => {
                self.follow(now, from);
                self.take_piece(from, snapshot, at, total);
            }
            (Do::CountTook, Payload::AppendResponse { rejected: refused, match_index: matched, round }) => {
                self.count_took(now, from, refused, matched, round)
            }
            (Do::CountGot, Payload::SnapshotChunkAck { index, bytes_received: bytes }) => {
                self.count_got(now, from, index, bytes)
            }
            (Do::StandNow, _) => self.ask(now, true),
            _ => {}
        }
    }

    /// Takes a command in; it is kept when `Commit` tells of its index in this term.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<(Term, Index), RaftError> {
        if self.role != Leader || self.lead.handing.is_some() {
            return Err(RaftError::NotLeader);
        }
        Ok((self.log.term, self.extend(Body::Command(command))))
    }

    /// Everything that is wanted since the last look. What was proposed meanwhile goes out together.
    pub fn take_actions(&mut self, now: Moment) -> Vec<Action> {
        if self.role == Leader {
            self.feed_all(now);
            self.advance(now);
        }
        self.hand_over_rows();
        self.deliver();
        std::mem::take(&mut self.out)
    }

    /// The caller has put all up to `index` into `data`: entries before it need not be kept, but for a few that
    /// members just behind can still be brought up with.
    pub fn compact(&mut self, index: Index, data: Vec<u8>, trail: u64) {
        let Some(term) = self.log.term_at(index).filter(|_| index <= self.applied_index) else { return };
        let members = self.log.members_at(index).1;
        self.log.compact(Snapshot { index, term, members, data }, index.saturating_sub(trail));
        // What waits to be saved is in the log already.
        self.rows = self.log.to_records();
        self.anew = true;
    }

    // ---- common to all roles

    /// A voter by the newest entry, or still by what is committed: a leader that was voted out, and fell before
    /// that was known to a majority, is the only one with the longest log. When it stood no more, nobody could win.
    pub(crate) fn is_member(&self) -> bool {
        self.log.members.1.is_voter(self.id) || self.log.members_at(self.commit_index).1.is_voter(self.id)
    }

    /// A leader is waited for, for a time by chance.
    pub(crate) fn rest(&mut self, now: Moment) {
        let span = self.times.election_timeout;
        self.deadline = now + span + Span(self.rng.u64(0..span.0.max(1)));
    }

    pub(crate) fn turn(&mut self, role: Role, leader: Option<Id>) {
        if (self.role, self.leader) != (role, leader) {
            self.out.push(Action::RoleChanged);
        }
        if self.role == Leader && role != Leader {
            self.resign();
        }
        (self.role, self.leader) = (role, leader);
    }

    pub(crate) fn adopt(&mut self, now: Moment, term: Term) {
        (self.log.term, self.log.voted_for) = (term, 0);
        self.rows.push(WalRecord::HardState { term, vote: 0 });
        self.turn(Follower, None);
        self.rest(now);
    }

    pub(crate) fn vote_for(&mut self, id: Id) {
        self.log.voted_for = id;
        self.rows.push(WalRecord::HardState { term: self.log.term, vote: id });
    }

    /// Says it once all that was saved before is on disk.
    pub(crate) fn say(&mut self, to: Id, say: Payload) {
        self.hand_over_rows();
        let message = Message { term: self.log.term, payload: say };
        if self.synced == self.saved {
            self.out.push(Action::Send { to, message });
        } else if self.held.len() < MOST_HELD {
            self.held.push_back((self.saved, to, message));
        }
    }

    /// For a leader's entries: they rest on a term that is on disk, and on nothing else of ours.
    pub(crate) fn say_now(&mut self, to: Id, say: Payload) {
        let message = Message { term: self.log.term, payload: say };
        self.out.push(Action::Send { to, message });
    }

    pub(crate) fn extend(&mut self, body: Body) -> Index {
        let entry = Entry { term: self.log.term, body };
        let index = self.log.push(entry.clone());
        self.rows.push(WalRecord::Entry { index, entry });
        index
    }

    pub(crate) fn hand_over_rows(&mut self) {
        if self.rows.is_empty() {
            return;
        }
        self.saved += 1;
        let (rows, anew) = (std::mem::take(&mut self.rows), std::mem::take(&mut self.anew));
        self.saving.push_back((self.saved, self.log.last().1));
        self.out.push(Action::Save { ticket: self.saved, records: rows, replace_all: anew });
    }

    fn deliver(&mut self) {
        while self.applied_index < self.commit_index {
            let Some(entry) = self.log.get(self.applied_index + 1).cloned() else { return };
            self.applied_index += 1;
            self.out.push(Action::Commit { index: self.applied_index, entry });
        }
    }

    // ---- following

    fn follow(&mut self, now: Moment, leader: Id) {
        self.heard = Some(now);
        self.hushed = now;
        self.turn(Follower, Some(leader));
        self.rest(now);
    }

    fn cut(&mut self, index: Index) {
        self.log.truncate_from(index);
        self.stable = self.stable.min(index - 1);
        self.saving.iter_mut().for_each(|saving| saving.1 = saving.1.min(index - 1));
    }

    fn append(&mut self, from: Id, prev: (Term, Index), entries: Vec<Entry>, commit: Index, round: u64) {
        let refuse = |matched| Payload::AppendResponse { rejected: true, match_index: matched, round };
        if prev.1 > self.log.last().1 {
            return self.say(from, refuse(self.log.last().1));
        }
        // What lies before the base is committed, so it is the same.
        if prev.1 >= self.log.base() && self.log.term_at(prev.1) != Some(prev.0) {
            // No entry of that term or later can be the same: skip back over them all.
            let theirs = prev.0;
            let same = (self.log.base()..prev.1).rev().find(|at| self.log.term_at(*at) <= Some(theirs));
            return self
                .say(from, refuse(same.unwrap_or(self.log.base()).max(self.commit_index.min(prev.1 - 1))));
        }
        let matched = prev.1 + entries.len() as Index;
        for (entry, index) in entries.into_iter().zip(prev.1 + 1..) {
            if index <= self.log.base() || self.log.term_at(index) == Some(entry.term) {
                continue;
            }
            if index <= self.log.last().1 {
                self.cut(index);
            }
            self.log.push(entry.clone());
            self.rows.push(WalRecord::Entry { index, entry });
        }
        self.commit_index = self.commit_index.max(commit.min(matched));
        self.say(from, Payload::AppendResponse { rejected: false, match_index: matched, round });
    }

    fn take_piece(&mut self, from: Id, piece: Snapshot, at: u64, total: u64) {
        let index = piece.index;
        if index <= self.commit_index {
            return self.say(from, Payload::AppendResponse { rejected: false, match_index: index, round: 0 });
        }
        if total > MOST_SNAPSHOT {
            return;
        }
        let same = |known: &Incoming| {
            known.from == from && (known.snapshot.index, known.snapshot.term) == (index, piece.term)
        };
        if at == 0 && !self.incoming.as_ref().is_some_and(same) {
            let snapshot = Snapshot { data: Vec::new(), ..piece.clone() };
            self.incoming = Some(Incoming { from, snapshot });
        }
        let Some(known) = self.incoming.as_mut().filter(|known| same(known)) else {
            return self.say(from, Payload::SnapshotChunkAck { index, bytes_received: 0 });
        };
        if at == known.snapshot.data.len() as u64 && at + piece.data.len() as u64 <= total {
            known.snapshot.data.extend(piece.data);
        }
        let bytes = known.snapshot.data.len() as u64;
        if bytes < total {
            return self.say(from, Payload::SnapshotChunkAck { index, bytes_received: bytes });
        }
        let Some(Incoming { snapshot, .. }) = self.incoming.take() else { return };
        self.log.restore(snapshot.clone());
        (self.commit_index, self.applied_index, self.stable) = (index, index, 0);
        self.saving.clear();
        self.rows = self.log.to_records();
        self.anew = true;
        self.out.push(Action::Restore(snapshot));
        self.say(from, Payload::AppendResponse { rejected: false, match_index: index, round: 0 });
    }
}
