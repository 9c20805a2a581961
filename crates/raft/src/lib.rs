//! Raft consensus among 1 to 7 voters ("In Search of an Understandable Consensus Algorithm", 2014), with these
//! parts of the dissertation: pre-votes, leaders that step down without a majority's acknowledgements, leadership
//! transfer, reads confirmed by a heartbeat round, learners, and membership changes one voter at a time (including
//! the erratum: no change before the leader has committed an entry of its own term). Any number of observers
//! receive the log as well; they never vote.
//!
//! This is a state machine without I/O, clock or threads: inputs are method calls that carry the current time, and
//! the resulting actions are collected with `take_actions`. Transport, storage and the meaning of commands are the
//! caller's. Call `tick` at `next_tick()` or later; a spurious call is harmless.
//!
//! - **Durability.** Each `Action::Save` has a ticket. A vote or an acknowledgement is sent only after `on_synced` was
//!   called for the ticket it depends on; a leader counts its own log only up to what is synced. Entries are sent to
//!   other members in the meantime.
//! - **Identity.** A member's id is drawn when its disk is created. A member that lost its disk comes back as another
//!   member and cannot vote under the old id.
//! - **Limits.** Bounded are the entries in one message, the messages in flight to one member, the size of a snapshot
//!   and that of a chunk. The caller bounds the log in memory with `compact`.
#![forbid(unsafe_code)]

mod election;
mod leader;
mod log;
mod raft_node;

pub use log::{Log, Snapshot};
pub use raft_node::RaftNode;

use pewtergap_time::Span;

/// A member's id, drawn when its disk is created.
pub type Id = u64;
pub type Term = u64;
pub type Index = u64;

/// The membership. Names and addresses are kept on behalf of the caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    pub list: Vec<Member>,
    /// Ids that were replaced, oldest first; a connection under one of them is refused. Only the most recent
    /// are kept.
    pub retired: Vec<Id>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// 0 while the member is expected and the id of its disk is unknown.
    pub id: Id,
    pub name: String,
    pub address: String,
    pub is_voter: bool,
    /// Receives the log but never votes: it does not count towards a majority, grants no votes and never
    /// starts an election. Its disk stays an observer's for good; to get a vote, the member has to be removed
    /// and come back with a new disk.
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

    /// The number of voters that form a majority.
    pub fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// A leader's first entry; commits what earlier terms left uncommitted.
    Empty,
    Command(Vec<u8>),
    Members(Members),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub term: Term,
    pub body: Body,
}

/// A record in a member's log file. Records are ordered: the last one of a kind counts, and an entry replaces
/// the one with the same index and all that follow.
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
    /// Asks whether the receiver would grant a vote in this term. Changes no state on either side.
    PreVoteRequest {
        last_log: (Term, Index),
    },
    PreVoteResponse {
        granted: bool,
    },
    /// `leader_transfer`: sent at the leader's own request, so receivers ignore their contact with that
    /// leader.
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
    /// The logs match up to `match_index` and that part is on the member's disk; if `rejected`, the member
    /// has no matching entry beyond `match_index`.
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
    /// How many bytes of the snapshot with this index have arrived.
    SnapshotChunkAck {
        index: Index,
        bytes_received: u64,
    },
    /// Start an election at once.
    TimeoutNow,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    Send {
        to: Id,
        message: Message,
    },
    /// Write these records to disk after all earlier ones and report back with `on_synced`. With
    /// `replace_all` they replace everything written before.
    Save {
        ticket: u64,
        records: Vec<WalRecord>,
        replace_all: bool,
    },
    /// Delivered in log order, each entry once.
    Commit {
        index: Index,
        entry: Entry,
    },
    /// The snapshot replaces all state applied so far.
    Restore(Snapshot),
    /// A requested read may be answered once everything up to `index` is applied.
    ReadReady {
        token: u64,
        index: Index,
    },
    /// Leadership was lost before the read could be confirmed.
    ReadFailed {
        token: u64,
    },
    /// A member's log ends before what it has acknowledged, so its disk is an old copy.
    LogRegressed {
        id: Id,
    },
    /// The leader or this member's role has changed.
    RoleChanged,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    Follower,
    /// Sends pre-votes.
    Trying,
    Candidate,
    Leader,
}

/// Why a request was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RaftError {
    NotLeader,
    /// No entry of the current term is committed yet, or another membership change is pending.
    ChangePending,
    /// The change differs by more than one voter, leaves no voter, or gives an observer a vote.
    InvalidChange,
    /// Too many requests are waiting.
    QueueFull,
}

#[derive(Clone, Copy, Debug)]
pub struct RaftConfig {
    /// A leader sends to each member at least this often.
    pub heartbeat_interval: Span,
    /// A member starts an election after hearing from no leader for this time plus a random part of up to as
    /// much again.
    pub election_timeout: Span,
}
