//! Agreement on a log among 1 to 7 members: Raft ("In Search of an Understandable Consensus Algorithm", 2014) with
//! the dissertation's trial votes, leaders that give up without a majority's answers, hand-over, reads that confirm
//! leadership, learners, and changes of members one voter at a time (with the erratum: none before the leader has
//! committed in its own term). Beside the voters any number of observers are kept up to date; they never vote.
//!
//! A state machine without I/O, clock or thread: inputs are method calls that carry the moment, what it wants done
//! comes out of `take`. It contains no transport, no disk and no meaning of commands. Call `tick` at `due()` or
//! later; a spurious call is harmless.
//!
//! - **Durable first.** Each `Effect::Save` has a ticket. A vote or an acknowledgement leaves only after `synced` of
//!   the ticket it rests on; a leader counts itself only up to what is synced. Entries go out to others meanwhile.
//! - **Identity is the disk.** A member's id is drawn when its disk is made. One that lost its disk is another
//!   member and cannot vote as its old self.
//! - **Bounds.** Entries in one message, messages under way to one member, a snapshot's bytes and those of a piece.
//!   The log in memory is the caller's to bound, by `compact`.
#![forbid(unsafe_code)]

mod ballot;
mod leader;
mod log;
mod machine;

pub use log::{Log, Snapshot};
pub use machine::RaftNode;

use pewtergap_time::Span;

/// A member, by the number drawn when its disk was made.
pub type Id = u64;
pub type Term = u64;
pub type Index = u64;

/// Who belongs, and where each is found. The names and addresses are for the caller's sake.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    pub list: Vec<Member>,
    /// Ids that were replaced, oldest first: whoever comes under one of them is refused. The last few are kept.
    pub retired: Vec<Id>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// 0 while it is expected and its disk is not known.
    pub id: Id,
    pub name: String,
    pub address: String,
    pub is_voter: bool,
    /// It is fed like all others and never gets a vote: no majority counts it, it grants nobody one and never stands. Its
    /// disk stays an observer for good; to vote, its place has to be given up and another disk to come.
    pub is_observer: bool,
}

impl Members {
    pub fn voters(&self) -> impl Iterator<Item = Id> + '_ {
        self.list.iter().filter(|member| member.is_voter).map(|member| member.id)
    }

    pub fn find(&self, id: Id) -> Option<&Member> {
        self.list.iter().find(|member| member.id == id && id != 0)
    }

    pub fn find_by_name(&self, name: &str) -> Option<&Member> {
        self.list.iter().find(|member| member.name == name)
    }

    pub fn is_voter(&self, id: Id) -> bool {
        self.find(id).is_some_and(|member| member.is_voter)
    }

    pub fn is_observer(&self, id: Id) -> bool {
        self.find(id).is_some_and(|member| member.is_observer)
    }

    /// More than half of the voters.
    pub fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// A leader's first entry: commits what earlier terms left.
    Empty,
    Command(Vec<u8>),
    Members(Members),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub term: Term,
    pub body: Body,
}

/// What a member keeps on its disk, in order; the last of a kind counts, and an entry replaces the one of its index
/// and all that follow it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WalRecord {
    HardState { term: Term, vote: Id },
    Entry { index: Index, entry: Entry },
    Snapshot(Snapshot),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    pub term: Term,
    pub payload: Payload,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Payload {
    /// Would you vote for me in this term? Changes nothing at either end.
    PreVoteRequest {
        last_log: (Term, Index),
    },
    PreVoteResponse {
        granted: bool,
    },
    /// `handed`: the leader itself asked for it, so nobody holds on to that leader.
    VoteRequest {
        last_log: (Term, Index),
        leader_transfer: bool,
    },
    VoteResponse {
        granted: bool,
    },
    AppendEntries {
        prev: (Term, Index),
        entries: Vec<Entry>,
        commit: Index,
        round: u64,
    },
    /// Up to `matched` the logs are the same and on the member's disk, or `refused`: it has nothing of that kind
    /// beyond `matched`.
    AppendResponse {
        rejected: bool,
        match_index: Index,
        round: u64,
    },
    SnapshotChunk {
        snapshot: Snapshot,
        offset: u64,
        total_bytes: u64,
    },
    /// So many bytes of the snapshot of this index are here.
    SnapshotChunkAck {
        index: Index,
        bytes_received: u64,
    },
    /// Stand for election at once.
    TimeoutNow,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    Send {
        to: Id,
        message: Message,
    },
    /// Put on disk, after all that was saved before, and answer by `synced`. With `anew` what was saved before is
    /// replaced by these rows.
    Save {
        ticket: u64,
        records: Vec<WalRecord>,
        replace_all: bool,
    },
    /// In the order of the log, each once.
    Commit {
        index: Index,
        entry: Entry,
    },
    /// All that was committed so far is replaced by this.
    Restore(Snapshot),
    /// A read that was asked for may be answered once all up to `index` is applied.
    ReadReady {
        token: u64,
        index: Index,
    },
    /// Leadership was lost before it could be confirmed.
    ReadFailed {
        token: u64,
    },
    /// A member's log is shorter than what it acknowledged: its disk is an old copy.
    LogRegressed {
        id: Id,
    },
    /// Who leads has changed, or the role of this one.
    RoleChanged,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    Follower,
    /// Asks whether it would be voted for.
    Trying,
    Candidate,
    Leader,
}

/// Why nothing was taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RaftError {
    NotLeader,
    /// Nothing of its own term is committed yet, or another change of members is under way.
    ChangePending,
    /// It is no change of one voter, or leaves none; or it gives an observer a vote.
    InvalidChange,
    /// Too much waits.
    QueueFull,
}

#[derive(Clone, Copy, Debug)]
pub struct RaftConfig {
    /// A leader speaks to each member at least this often.
    pub heartbeat_interval: Span,
    /// Silence of a leader that makes a member stand, at least; up to twice that by chance.
    pub election_timeout: Span,
}
