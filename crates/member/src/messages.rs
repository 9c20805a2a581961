//! Messages between members and the records of a state file, as protobuf, with conversions from and to the
//! types of the Raft crate.

use pewtergap_protocol::Validate;
use pewtergap_raft::{
    Body, Entry, Id, Index, Member, Members, Message as NodeMessage, Payload, Snapshot, Term, WalRecord,
};
use prost::{Message, Oneof};

/// The formats that this build supports. Messages are the same in all of them; commands differ, and follow
/// the record's format, which rises once all members support it.
pub const SUPPORTED_FORMATS: (u32, u32) = pewtergap_record::SUPPORTED_FORMATS;
pub(crate) const MAX_NAME_LEN: usize = 256;
/// Founders or members in a hello.
const MAX_LISTED_MEMBERS: usize = 64;
/// Bounds a message with entries or a snapshot chunk, including headers.
const MAX_MESSAGE_LEN: usize = 4 * 1024 * 1024;

#[derive(Clone, PartialEq, Message)]
pub struct PeerMessage {
    #[prost(
        oneof = "peer_message::Kind",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18"
    )]
    pub kind: Option<peer_message::Kind>,
}

pub mod peer_message {
    #[derive(Clone, PartialEq, super::Oneof)]
    pub enum Kind {
        /// First message on each connection, from the side that opened it.
        #[prost(message, tag = "1")]
        Hello(super::Hello),
        /// The reply to it. Apart from a rejection, nothing else is sent in this direction.
        #[prost(message, tag = "2")]
        Welcome(super::Hello),
        #[prost(message, tag = "3")]
        Reject(super::Rejection),
        #[prost(message, tag = "4")]
        Raft(super::RaftMessage),
        /// A command for the leader, resent until its outcome appears in the record.
        #[prost(bytes, tag = "5")]
        Command(Vec<u8>),
        #[prost(message, tag = "6")]
        MemberChange(super::MemberChange),
        #[prost(uint64, tag = "7")]
        ReadIndexRequest(u64),
        #[prost(message, tag = "8")]
        ReadIndex(super::ReadIndex),
        /// From format 2 on: requests a lease; answered by a read index.
        #[prost(message, tag = "9")]
        LeaseRenewal(super::LeaseRenewal),
        /// The leader requests that a duty be released; answered by a release command.
        #[prost(message, tag = "10")]
        HandoffRequest(super::HandoffRequest),
        /// Requests the holder of a slice to probe a server.
        #[prost(message, tag = "11")]
        ProbeRequest(super::ProbeRequest),
        /// The holder accepts the request.
        #[prost(message, tag = "12")]
        ProbeAccepted(super::ProbeAccepted),
        /// The result of a probe by the holder.
        #[prost(message, tag = "13")]
        ProbeResult(super::ProbeResult),
        /// Sent only to members whose hello says that they share.
        #[prost(message, tag = "14")]
        Gossip(crate::sharing_messages::GossipMessage),
        #[prost(message, tag = "15")]
        CountsRequest(crate::sharing_messages::CountsRequest),
        #[prost(message, tag = "16")]
        CountsResponse(crate::sharing_messages::CountsResponse),
        #[prost(message, tag = "17")]
        Evidence(crate::sharing_messages::EvidenceReport),
        /// The clients of a control machine and their state. Sent only to members whose hello says that they
        /// serve watches.
        #[prost(message, tag = "18")]
        Roster(pewtergap_watch::messages::RosterUpdate),
    }
}

#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    #[prost(uint32, tag = "1")]
    pub min_format: u32,
    #[prost(uint32, tag = "2")]
    pub max_format: u32,
    /// 0 if it belongs to none yet.
    #[prost(fixed64, tag = "3")]
    pub cluster_id: u64,
    #[prost(string, tag = "4")]
    pub name: String,
    /// Drawn when its disk was created.
    #[prost(fixed64, tag = "5")]
    pub id: Id,
    /// Number of starts from this disk, and a number drawn for this start.
    #[prost(uint64, tag = "6")]
    pub start: u64,
    #[prost(fixed64, tag = "7")]
    pub nonce: u64,
    /// The founders of the cluster.
    #[prost(message, repeated, tag = "8")]
    pub founders: Vec<MemberInfo>,
    /// Set on the connection for long messages.
    #[prost(bool, tag = "9")]
    pub bulk: bool,
    /// The current members: a joining member knows only the founders, and the leader may be none of them.
    #[prost(message, repeated, tag = "10")]
    pub members: Vec<MemberInfo>,
    /// Lease length in this member's settings, in milliseconds; 0 if it has no duties.
    #[prost(uint64, tag = "11")]
    pub lease_ms: u64,
    /// An older build closes a connection on messages it does not know.
    #[prost(bool, tag = "12")]
    pub supports_sharing: bool,
    /// Serves watches and accepts the rosters of others.
    #[prost(bool, tag = "13")]
    pub serves_watches: bool,
}

#[derive(Clone, PartialEq, Message)]
pub struct Rejection {
    #[prost(string, tag = "1")]
    pub reason: String,
    /// The disk is an older copy of one that others have heard from.
    #[prost(bool, tag = "2")]
    pub old_copy: bool,
    /// The place of this disk was given up, and a majority knows. A removed member learns it only from this
    /// message, since the others stop connecting to it.
    #[prost(bool, tag = "3")]
    pub retired: bool,
}

#[derive(Clone, PartialEq, Message)]
pub struct MemberInfo {
    #[prost(fixed64, tag = "1")]
    pub id: Id,
    #[prost(string, tag = "2")]
    pub name: String,
    #[prost(string, tag = "3")]
    pub address: String,
    #[prost(bool, tag = "4")]
    pub is_voter: bool,
    /// From format 4 on: a build that does not read this field treats an observer as a learner and grants it
    /// a vote.
    #[prost(bool, tag = "5")]
    pub is_observer: bool,
}

/// The members of a cluster.
#[derive(Clone, PartialEq, Message)]
pub struct Membership {
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<MemberInfo>,
    #[prost(fixed64, repeated, tag = "2")]
    pub retired: Vec<Id>,
}

/// An operator's change of members, for the leader.
#[derive(Clone, PartialEq, Message)]
pub struct MemberChange {
    #[prost(string, tag = "1")]
    pub name: String,
    /// Empty to remove the member.
    #[prost(string, tag = "2")]
    pub address: String,
    /// The disk id that is given up, so that another disk may join under the name; 0 for none.
    #[prost(fixed64, tag = "3")]
    pub replaced_id: Id,
}

#[derive(Clone, PartialEq, Message)]
pub struct LeaseRenewal {
    #[prost(uint64, tag = "1")]
    pub token: u64,
    /// It takes no more duties.
    #[prost(bool, tag = "2")]
    pub leaving: bool,
}

#[derive(Clone, PartialEq, Message)]
pub struct HandoffRequest {
    #[prost(string, tag = "1")]
    pub duty: String,
    #[prost(uint64, tag = "2")]
    pub fencing_token: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct ProbeRequest {
    #[prost(string, tag = "1")]
    pub duty: String,
    #[prost(string, tag = "2")]
    pub server: String,
}

#[derive(Clone, PartialEq, Message)]
pub struct ProbeAccepted {
    #[prost(string, tag = "1")]
    pub duty: String,
    #[prost(uint64, tag = "2")]
    pub fencing_token: u64,
    #[prost(string, tag = "3")]
    pub server: String,
}

#[derive(Clone, PartialEq, Message)]
pub struct ProbeResult {
    #[prost(string, tag = "1")]
    pub duty: String,
    #[prost(uint64, tag = "2")]
    pub fencing_token: u64,
    #[prost(string, tag = "3")]
    pub server: String,
    /// 0 answered, 1 rejected, 2 an error, 3 timed out, 4 unreachable.
    #[prost(uint32, tag = "4")]
    pub outcome: u32,
    #[prost(double, optional, tag = "5")]
    pub util: Option<f64>,
    #[prost(double, optional, tag = "6")]
    pub in_flight: Option<f64>,
    #[prost(uint64, tag = "7")]
    pub age_ms: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct ReadIndex {
    #[prost(uint64, tag = "1")]
    pub token: u64,
    #[prost(uint64, tag = "2")]
    pub index: Index,
}

#[derive(Clone, PartialEq, Message)]
pub struct RaftMessage {
    #[prost(uint64, tag = "1")]
    pub term: Term,
    #[prost(oneof = "RaftPayload", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub payload: Option<RaftPayload>,
}

#[derive(Clone, PartialEq, Oneof)]
pub enum RaftPayload {
    #[prost(message, tag = "2")]
    PreVoteRequest(LogPosition),
    #[prost(bool, tag = "3")]
    PreVoteResponse(bool),
    #[prost(message, tag = "4")]
    VoteRequest(VoteRequest),
    #[prost(bool, tag = "5")]
    VoteResponse(bool),
    #[prost(message, tag = "6")]
    AppendEntries(AppendEntries),
    #[prost(message, tag = "7")]
    AppendResponse(AppendResponse),
    #[prost(message, tag = "8")]
    SnapshotChunk(SnapshotChunk),
    #[prost(message, tag = "9")]
    SnapshotChunkAck(LogPosition),
    #[prost(bool, tag = "10")]
    TimeoutNow(bool),
}

/// A term and an index; for `SnapshotChunkAck` the received bytes and the snapshot's index.
#[derive(Clone, PartialEq, Message)]
pub struct LogPosition {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    #[prost(uint64, tag = "2")]
    pub index: Index,
}

#[derive(Clone, PartialEq, Message)]
pub struct VoteRequest {
    #[prost(message, required, tag = "1")]
    pub last_log: LogPosition,
    #[prost(bool, tag = "2")]
    pub leader_transfer: bool,
}

#[derive(Clone, PartialEq, Message)]
pub struct AppendEntries {
    #[prost(message, required, tag = "1")]
    pub prev: LogPosition,
    #[prost(message, repeated, tag = "2")]
    pub entries: Vec<LogEntry>,
    #[prost(uint64, tag = "3")]
    pub commit: Index,
    #[prost(uint64, tag = "4")]
    pub round: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct AppendResponse {
    #[prost(bool, tag = "1")]
    pub rejected: bool,
    #[prost(uint64, tag = "2")]
    pub match_index: Index,
    #[prost(uint64, tag = "3")]
    pub round: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct SnapshotChunk {
    #[prost(message, required, tag = "1")]
    pub snapshot: StoredSnapshot,
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    #[prost(uint64, tag = "3")]
    pub total_bytes: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct StoredSnapshot {
    #[prost(uint64, tag = "1")]
    pub index: Index,
    #[prost(uint64, tag = "2")]
    pub term: Term,
    #[prost(message, required, tag = "3")]
    pub members: Membership,
    #[prost(bytes, tag = "4")]
    pub data: Vec<u8>,
}

/// An entry of the log.
#[derive(Clone, PartialEq, Message)]
pub struct LogEntry {
    #[prost(uint64, tag = "1")]
    pub term: Term,
    #[prost(oneof = "EntryBody", tags = "2, 3, 4")]
    pub body: Option<EntryBody>,
    /// Set on disk; in messages the position follows from the request.
    #[prost(uint64, tag = "5")]
    pub index: Index,
}

#[derive(Clone, PartialEq, Oneof)]
pub enum EntryBody {
    #[prost(bool, tag = "2")]
    Empty(bool),
    #[prost(bytes, tag = "3")]
    Command(Vec<u8>),
    #[prost(message, tag = "4")]
    Members(Membership),
}

// State file

#[derive(Clone, PartialEq, Message)]
pub struct DiskRecord {
    #[prost(oneof = "DiskRecordKind", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub record: Option<DiskRecordKind>,
}

#[derive(Clone, PartialEq, Oneof)]
pub enum DiskRecordKind {
    /// The identity of this member; the last one counts.
    #[prost(message, tag = "1")]
    Identity(Hello),
    #[prost(message, tag = "2")]
    HardState(LogPosition),
    #[prost(message, tag = "3")]
    Entry(LogEntry),
    #[prost(message, tag = "4")]
    Snapshot(StoredSnapshot),
    /// The last known start of another member.
    #[prost(message, tag = "5")]
    PeerStart(Hello),
    /// The highest start number allocated to this planner, which is the one it used.
    #[prost(message, tag = "6")]
    StartNumber(LogPosition),
    /// Entries up to this index were known to be committed. Without it, a start that reaches no other member
    /// would apply no orders.
    #[prost(uint64, tag = "7")]
    Committed(Index),
}

impl Validate for PeerMessage {
    const MAX_LEN: usize = MAX_MESSAGE_LEN;
    fn validate(&self) -> Result<(), String> {
        let check_name = |name: &str| match name.len() {
            0 => Err("name: is missing".to_string()),
            n if n > MAX_NAME_LEN => Err(format!("name: {n} bytes, {MAX_NAME_LEN} at most")),
            _ => Ok(()),
        };
        match self.kind.as_ref().ok_or("message kind is missing or unknown")? {
            peer_message::Kind::Hello(hello) | peer_message::Kind::Welcome(hello) => {
                check_name(&hello.name)?;
                if hello.founders.len().max(hello.members.len()) > MAX_LISTED_MEMBERS {
                    return Err(format!("founders or members: more than {MAX_LISTED_MEMBERS}"));
                }
                if hello.id == 0 {
                    return Err("id: is missing".into());
                }
                Ok(())
            }
            peer_message::Kind::MemberChange(change) => {
                check_name(&change.name)?;
                if change.address.len() > MAX_NAME_LEN {
                    return Err(format!("address: {} bytes, {MAX_NAME_LEN} at most", change.address.len()));
                }
                Ok(())
            }
            peer_message::Kind::HandoffRequest(request) => check_name(&request.duty),
            peer_message::Kind::ProbeRequest(request) => {
                check_name(&request.duty).and(check_name(&request.server))
            }
            peer_message::Kind::ProbeAccepted(accepted) => {
                check_name(&accepted.duty).and(check_name(&accepted.server))
            }
            peer_message::Kind::ProbeResult(result) => {
                check_name(&result.duty).and(check_name(&result.server))
            }
            peer_message::Kind::Raft(message) => decode_raft(message.clone()).map(drop),
            peer_message::Kind::Gossip(message) => message.check(),
            peer_message::Kind::CountsResponse(counts) => counts.check(),
            peer_message::Kind::Evidence(report) => report.check(),
            peer_message::Kind::Roster(update) => update.check(),
            _ => Ok(()),
        }
    }
}

impl Rejection {
    pub fn new(reason: &str) -> Rejection {
        Rejection { reason: reason.into(), ..Rejection::default() }
    }
}

impl MemberInfo {
    pub fn founder(id: Id, name: &str) -> MemberInfo {
        MemberInfo { id, name: name.into(), is_voter: true, ..MemberInfo::default() }
    }
}

impl PeerMessage {
    pub fn new(kind: peer_message::Kind) -> PeerMessage {
        PeerMessage { kind: Some(kind) }
    }
}

pub fn encode_membership(members: &Members) -> Membership {
    let member = |m: &Member| {
        let (name, address) = (m.name.clone(), m.address.clone());
        MemberInfo { id: m.id, name, address, is_voter: m.is_voter, is_observer: m.is_observer }
    };
    Membership { members: members.list.iter().map(member).collect(), retired: members.retired.clone() }
}

pub fn decode_membership(membership: Membership) -> Members {
    let member = |m: MemberInfo| Member {
        id: m.id,
        name: m.name,
        address: m.address,
        is_voter: m.is_voter,
        is_observer: m.is_observer,
    };
    Members { list: membership.members.into_iter().map(member).collect(), retired: membership.retired }
}

fn position((term, index): (Term, Index)) -> LogPosition {
    LogPosition { term, index }
}

pub fn encode_entry(index: Index, entry: &Entry) -> LogEntry {
    let body = match &entry.body {
        Body::Empty => EntryBody::Empty(true),
        Body::Command(bytes) => EntryBody::Command(bytes.clone()),
        Body::Members(members) => EntryBody::Members(encode_membership(members)),
    };
    LogEntry { term: entry.term, body: Some(body), index }
}

fn entry(entry_message: LogEntry) -> Result<Entry, String> {
    let body = match entry_message.body.ok_or("entry body is missing or unknown")? {
        EntryBody::Empty(_) => Body::Empty,
        EntryBody::Command(bytes) => Body::Command(bytes),
        EntryBody::Members(membership) => Body::Members(decode_membership(membership)),
    };
    Ok(Entry { term: entry_message.term, body })
}

pub fn encode_snapshot(snapshot: &Snapshot) -> StoredSnapshot {
    let (index, term, data) = (snapshot.index, snapshot.term, snapshot.data.clone());
    StoredSnapshot { index, term, members: encode_membership(&snapshot.members), data }
}

fn snapshot(stored: StoredSnapshot) -> Snapshot {
    Snapshot {
        index: stored.index,
        term: stored.term,
        members: decode_membership(stored.members),
        data: stored.data,
    }
}

pub fn encode_raft(message: &NodeMessage) -> RaftMessage {
    let payload = match &message.payload {
        Payload::PreVoteRequest { last_log } => RaftPayload::PreVoteRequest(position(*last_log)),
        Payload::PreVoteResponse { granted } => RaftPayload::PreVoteResponse(*granted),
        Payload::VoteRequest { last_log, leader_transfer } => RaftPayload::VoteRequest(VoteRequest {
            last_log: position(*last_log),
            leader_transfer: *leader_transfer,
        }),
        Payload::VoteResponse { granted } => RaftPayload::VoteResponse(*granted),
        Payload::AppendEntries { prev, entries, commit, round } => {
            let entries = entries.iter().map(|entry| encode_entry(0, entry)).collect();
            RaftPayload::AppendEntries(AppendEntries {
                prev: position(*prev),
                entries,
                commit: *commit,
                round: *round,
            })
        }
        Payload::AppendResponse { rejected, match_index, round } => {
            RaftPayload::AppendResponse(AppendResponse {
                rejected: *rejected,
                match_index: *match_index,
                round: *round,
            })
        }
        Payload::SnapshotChunk { snapshot, offset, total_bytes } => {
            RaftPayload::SnapshotChunk(SnapshotChunk {
                snapshot: encode_snapshot(snapshot),
                offset: *offset,
                total_bytes: *total_bytes,
            })
        }
        Payload::SnapshotChunkAck { index, bytes_received } => {
            RaftPayload::SnapshotChunkAck(position((*bytes_received, *index)))
        }
        Payload::TimeoutNow => RaftPayload::TimeoutNow(true),
    };
    RaftMessage { term: message.term, payload: Some(payload) }
}

pub fn decode_raft(message: RaftMessage) -> Result<NodeMessage, String> {
    let payload = match message.payload.ok_or("raft payload is missing or unknown")? {
        RaftPayload::PreVoteRequest(last_log) => {
            Payload::PreVoteRequest { last_log: (last_log.term, last_log.index) }
        }
        RaftPayload::PreVoteResponse(granted) => Payload::PreVoteResponse { granted },
        RaftPayload::VoteRequest(request) => Payload::VoteRequest {
            last_log: (request.last_log.term, request.last_log.index),
            leader_transfer: request.leader_transfer,
        },
        RaftPayload::VoteResponse(granted) => Payload::VoteResponse { granted },
        RaftPayload::AppendEntries(request) => Payload::AppendEntries {
            prev: (request.prev.term, request.prev.index),
            entries: request.entries.into_iter().map(entry).collect::<Result<_, _>>()?,
            commit: request.commit,
            round: request.round,
        },
        RaftPayload::AppendResponse(response) => Payload::AppendResponse {
            rejected: response.rejected,
            match_index: response.match_index,
            round: response.round,
        },
        RaftPayload::SnapshotChunk(chunk) => Payload::SnapshotChunk {
            snapshot: snapshot(chunk.snapshot),
            offset: chunk.offset,
            total_bytes: chunk.total_bytes,
        },
        RaftPayload::SnapshotChunkAck(ack) => {
            Payload::SnapshotChunkAck { index: ack.index, bytes_received: ack.term }
        }
        RaftPayload::TimeoutNow(_) => Payload::TimeoutNow,
    };
    Ok(NodeMessage { term: message.term, payload })
}

pub fn encode_record(record: &WalRecord) -> DiskRecordKind {
    match record {
        WalRecord::HardState { term, vote } => DiskRecordKind::HardState(position((*term, *vote))),
        WalRecord::Entry { index, entry } => DiskRecordKind::Entry(encode_entry(*index, entry)),
        WalRecord::Snapshot(snapshot) => DiskRecordKind::Snapshot(encode_snapshot(snapshot)),
    }
}

/// Converts a record of the log; `None` for other records.
pub fn decode_record(record: DiskRecordKind) -> Result<Option<WalRecord>, String> {
    Ok(Some(match record {
        DiskRecordKind::HardState(state) => WalRecord::HardState { term: state.term, vote: state.index },
        DiskRecordKind::Entry(entry_message) => {
            WalRecord::Entry { index: entry_message.index, entry: entry(entry_message)? }
        }
        DiskRecordKind::Snapshot(stored) => WalRecord::Snapshot(snapshot(stored)),
        DiskRecordKind::Identity(_)
        | DiskRecordKind::PeerStart(_)
        | DiskRecordKind::StartNumber(_)
        | DiskRecordKind::Committed(_) => return Ok(None),
    }))
}

pub fn record_to_bytes(record: DiskRecordKind) -> Vec<u8> {
    DiskRecord { record: Some(record) }.encode_to_vec()
}

pub fn record_from_bytes(bytes: &[u8]) -> Result<DiskRecordKind, String> {
    let record = DiskRecord::decode(bytes).map_err(|e| e.to_string())?;
    record.record.ok_or_else(|| "record kind is missing or of a newer format".into())
}
