//! What members say to each other and what a member writes on its disk, as protobuf, and the way to and from the
//! machine's own types.

use pewtergap_protocol::Validate;
use pewtergap_raft::{
    Body, Entry, Id, Index, Member, Members, Message as Told, Payload, Snapshot, Term, WalRecord,
};
use prost::{Message, Oneof};

/// What this build speaks and understands. Words are the same in both; commands differ, and go by the record's format,
/// which rises once all who belong speak it.
pub const SUPPORTED_FORMATS: (u32, u32) = pewtergap_record::SUPPORTED_FORMATS;
pub(crate) const MOST_NAME: usize = 256;
const MAX_MEMBERS: usize = 64;
/// A message: entries or a piece, and their heads.
const MOST_WORD: usize = 4 * 1024 * 1024;

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
        /// First on each link, from who dialled.
        #[prost(message, tag = "1")]
        Hello(super::Hello),
        /// The answer to it, and all that is said on the link in this direction.
        #[prost(message, tag = "2")]
        Welcome(super::Hello),
        #[prost(message, tag = "3")]
        Reject(super::Rejection),
        #[prost(message, tag = "4")]
        Raft(super::RaftMessage),
        /// A command for the leader; said again until its answer is seen in the record.
        #[prost(bytes, tag = "5")]
        Command(Vec<u8>),
        #[prost(message, tag = "6")]
        MemberChange(super::MemberChange),
        #[prost(uint64, tag = "7")]
        ReadIndexRequest(u64),
        #[prost(message, tag = "8")]
        ReadIndex(super::ReadIndex),
        /// From format 2 on: a lease is asked for; answered by a read's place.
        #[prost(message, tag = "9")]
        LeaseRenewal(super::LeaseRenewal),
        /// The leader asks for a duty; answered by a command that releases it.
        #[prost(message, tag = "10")]
        HandoffRequest(super::HandoffRequest),
        /// A server is to be asked how it is, by whoever holds its slice; that it takes it; what came.
        #[prost(message, tag = "11")]
        ProbeRequest(super::ProbeRequest),
        #[prost(message, tag = "12")]
        ProbeAccepted(super::ProbeAccepted),
        #[prost(message, tag = "13")]
        ProbeResult(super::ProbeResult),
        /// To those only whose hello says that they share.
        #[prost(message, tag = "14")]
        Gossip(crate::sharing_messages::GossipMessage),
        #[prost(message, tag = "15")]
        CountsRequest(crate::sharing_messages::CountsRequest),
        #[prost(message, tag = "16")]
        CountsResponse(crate::sharing_messages::CountsResponse),
        #[prost(message, tag = "17")]
        Evidence(crate::sharing_messages::EvidenceReport),
        /// Whom a control machine serves, and what is in force there. To those only whose hello says that they serve watches.
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
    /// 0: belongs to none yet.
    #[prost(fixed64, tag = "3")]
    pub cluster_id: u64,
    #[prost(string, tag = "4")]
    pub name: String,
    /// Drawn when its disk was made.
    #[prost(fixed64, tag = "5")]
    pub id: Id,
    /// Starts from this disk, and a number drawn for this one.
    #[prost(uint64, tag = "6")]
    pub start: u64,
    #[prost(fixed64, tag = "7")]
    pub nonce: u64,
    /// Who founded the cluster.
    #[prost(message, repeated, tag = "8")]
    pub founders: Vec<MemberInfo>,
    /// On the link for all that is long.
    #[prost(bool, tag = "9")]
    pub bulk: bool,
    /// Who belongs now: one that joins knows the founders only, and the leader may be none of them.
    #[prost(message, repeated, tag = "10")]
    pub members: Vec<MemberInfo>,
    /// How long this one's settings say that leases are, in milliseconds; 0: it has no duties.
    #[prost(uint64, tag = "11")]
    pub lease_ms: u64,
    /// It shares what it sees: whoever is older closes a link on words that it does not know.
    #[prost(bool, tag = "12")]
    pub shares: bool,
    /// It serves watches, and wants to hear whom others serve.
    #[prost(bool, tag = "13")]
    pub serves_watches: bool,
}

#[derive(Clone, PartialEq, Message)]
pub struct Rejection {
    #[prost(string, tag = "1")]
    pub reason: String,
    /// The disk is an older copy of what others have heard from.
    #[prost(bool, tag = "2")]
    pub old_copy: bool,
    /// The place of this disk was given up, and a majority knows. Whoever is taken out hears it from nobody else: the
    /// others stop dialling it.
    #[prost(bool, tag = "3")]
    pub given_up: bool,
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
    /// From format 4 on: a build that reads no such field takes an observer for one that learns, and gives it a vote.
    #[prost(bool, tag = "5")]
    pub is_observer: bool,
}

/// Who belongs.
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
    /// Empty: remove it.
    #[prost(string, tag = "2")]
    pub address: String,
    /// The disk that is given up: another one may come under the name. 0: none is.
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
    pub number: u64,
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
    pub number: u64,
    #[prost(string, tag = "3")]
    pub server: String,
}

#[derive(Clone, PartialEq, Message)]
pub struct ProbeResult {
    #[prost(string, tag = "1")]
    pub duty: String,
    #[prost(uint64, tag = "2")]
    pub number: u64,
    #[prost(string, tag = "3")]
    pub server: String,
    /// 0 answered, 1 refused, 2 an error, 3 silent, 4 dead.
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

/// A term and an index; for `Got` bytes and the snapshot's index.
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
    /// On disk; on links the place tells.
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

// ---- on disk

#[derive(Clone, PartialEq, Message)]
pub struct DiskRecord {
    #[prost(oneof = "DiskRecordKind", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub row: Option<DiskRecordKind>,
}

#[derive(Clone, PartialEq, Oneof)]
pub enum DiskRecordKind {
    /// Who this is; the last one counts.
    #[prost(message, tag = "1")]
    Identity(Hello),
    #[prost(message, tag = "2")]
    HardState(LogPosition),
    #[prost(message, tag = "3")]
    Entry(LogEntry),
    #[prost(message, tag = "4")]
    Snapshot(StoredSnapshot),
    /// What was heard of another member's starts.
    #[prost(message, tag = "5")]
    PeerSeen(Hello),
    /// The highest number of a start that this planner was given, and the one it has used.
    #[prost(message, tag = "6")]
    StartNumber(LogPosition),
    /// Up to here entries were known to be committed. Without it a start that hears nobody would go by no order.
    #[prost(uint64, tag = "7")]
    Committed(Index),
}

impl Validate for PeerMessage {
    const MAX_LEN: usize = MOST_WORD;
    fn validate(&self) -> Result<(), String> {
        let named = |name: &str| match name.len() {
            0 => Err("name: is missing".to_string()),
            n if n > MOST_NAME => Err(format!("name: {n} bytes, {MOST_NAME} at most")),
            _ => Ok(()),
        };
        match self.kind.as_ref().ok_or("no word of this format")? {
            peer_message::Kind::Hello(hello) | peer_message::Kind::Welcome(hello) => {
                named(&hello.name)?;
                if hello.founders.len().max(hello.members.len()) > MAX_MEMBERS {
                    return Err(format!("founders or seats: more than {MAX_MEMBERS}"));
                }
                if hello.id == 0 {
                    return Err("id: is missing".into());
                }
                Ok(())
            }
            peer_message::Kind::MemberChange(change) => {
                named(&change.name)?;
                if change.address.len() > MOST_NAME {
                    return Err(format!("at: {} bytes, {MOST_NAME} at most", change.address.len()));
                }
                Ok(())
            }
            peer_message::Kind::HandoffRequest(asked) => named(&asked.duty),
            peer_message::Kind::ProbeRequest(asked) => named(&asked.duty).and(named(&asked.server)),
            peer_message::Kind::ProbeAccepted(taken) => named(&taken.duty).and(named(&taken.server)),
            peer_message::Kind::ProbeResult(told) => named(&told.duty).and(named(&told.server)),
            peer_message::Kind::Raft(agreeing) => decode_raft(agreeing.clone()).map(drop),
            peer_message::Kind::Gossip(gossiped) => gossiped.check(),
            peer_message::Kind::CountsResponse(counts) => counts.check(),
            peer_message::Kind::Evidence(told) => told.check(),
            peer_message::Kind::Roster(told) => told.check(),
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
    let seat = |m: &Member| {
        let (name, at) = (m.name.clone(), m.address.clone());
        MemberInfo { id: m.id, name, address: at, is_voter: m.is_voter, is_observer: m.is_observer }
    };
    Membership { members: members.list.iter().map(seat).collect(), retired: members.retired.clone() }
}

pub fn decode_membership(seats: Membership) -> Members {
    let member = |s: MemberInfo| Member {
        id: s.id,
        name: s.name,
        address: s.address,
        is_voter: s.is_voter,
        is_observer: s.is_observer,
    };
    Members { list: seats.members.into_iter().map(member).collect(), retired: seats.retired }
}

fn place((term, index): (Term, Index)) -> LogPosition {
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

fn entry(kept: LogEntry) -> Result<Entry, String> {
    let body = match kept.body.ok_or("an entry holds nothing of this format")? {
        EntryBody::Empty(_) => Body::Empty,
        EntryBody::Command(bytes) => Body::Command(bytes),
        EntryBody::Members(seats) => Body::Members(decode_membership(seats)),
    };
    Ok(Entry { term: kept.term, body })
}

pub fn encode_snapshot(snapshot: &Snapshot) -> StoredSnapshot {
    let (index, term, data) = (snapshot.index, snapshot.term, snapshot.data.clone());
    StoredSnapshot { index, term, members: encode_membership(&snapshot.members), data }
}

fn snapshot(image: StoredSnapshot) -> Snapshot {
    Snapshot {
        index: image.index,
        term: image.term,
        members: decode_membership(image.members),
        data: image.data,
    }
}

pub fn encode_raft(message: &Told) -> RaftMessage {
    let say = match &message.payload {
        Payload::PreVoteRequest { last_log: last } => RaftPayload::PreVoteRequest(place(*last)),
        Payload::PreVoteResponse { granted } => RaftPayload::PreVoteResponse(*granted),
        Payload::VoteRequest { last_log: last, leader_transfer: handed } => {
            RaftPayload::VoteRequest(VoteRequest { last_log: place(*last), leader_transfer: *handed })
        }
        Payload::VoteResponse { granted } => RaftPayload::VoteResponse(*granted),
        Payload::AppendEntries { prev, entries, commit, round } => {
            let entries = entries.iter().map(|entry| encode_entry(0, entry)).collect();
            RaftPayload::AppendEntries(AppendEntries {
                prev: place(*prev),
                entries,
                commit: *commit,
                round: *round,
            })
        }
        Payload::AppendResponse { rejected: refused, match_index: matched, round } => {
            RaftPayload::AppendResponse(AppendResponse {
                rejected: *refused,
                match_index: *matched,
                round: *round,
            })
        }
        Payload::SnapshotChunk { snapshot, offset: at, total_bytes: total } => {
            RaftPayload::SnapshotChunk(SnapshotChunk {
                snapshot: encode_snapshot(snapshot),
                offset: *at,
                total_bytes: *total,
            })
        }
        Payload::SnapshotChunkAck { index, bytes_received: bytes } => {
            RaftPayload::SnapshotChunkAck(place((*bytes, *index)))
        }
        Payload::TimeoutNow => RaftPayload::TimeoutNow(true),
    };
    RaftMessage { term: message.term, payload: Some(say) }
}

pub fn decode_raft(agreeing: RaftMessage) -> Result<Told, String> {
    let say = match agreeing.payload.ok_or("nothing of this format is said")? {
        RaftPayload::PreVoteRequest(last) => Payload::PreVoteRequest { last_log: (last.term, last.index) },
        RaftPayload::PreVoteResponse(granted) => Payload::PreVoteResponse { granted },
        RaftPayload::VoteRequest(ask) => Payload::VoteRequest {
            last_log: (ask.last_log.term, ask.last_log.index),
            leader_transfer: ask.leader_transfer,
        },
        RaftPayload::VoteResponse(granted) => Payload::VoteResponse { granted },
        RaftPayload::AppendEntries(append) => Payload::AppendEntries {
            prev: (append.prev.term, append.prev.index),
            entries: append.entries.into_iter().map(entry).collect::<Result<_, _>>()?,
            commit: append.commit,
            round: append.round,
        },
        RaftPayload::AppendResponse(took) => Payload::AppendResponse {
            rejected: took.rejected,
            match_index: took.match_index,
            round: took.round,
        },
        RaftPayload::SnapshotChunk(piece) => Payload::SnapshotChunk {
            snapshot: snapshot(piece.snapshot),
            offset: piece.offset,
            total_bytes: piece.total_bytes,
        },
        RaftPayload::SnapshotChunkAck(got) => {
            Payload::SnapshotChunkAck { index: got.index, bytes_received: got.term }
        }
        RaftPayload::TimeoutNow(_) => Payload::TimeoutNow,
    };
    Ok(Told { term: agreeing.term, payload: say })
}

pub fn encode_record(row: &WalRecord) -> DiskRecordKind {
    match row {
        WalRecord::HardState { term, vote } => DiskRecordKind::HardState(place((*term, *vote))),
        WalRecord::Entry { index, entry } => DiskRecordKind::Entry(encode_entry(*index, entry)),
        WalRecord::Snapshot(snapshot) => DiskRecordKind::Snapshot(encode_snapshot(snapshot)),
    }
}

/// A row of the log, if it is one.
pub fn decode_record(row: DiskRecordKind) -> Result<Option<WalRecord>, String> {
    Ok(Some(match row {
        DiskRecordKind::HardState(hard) => WalRecord::HardState { term: hard.term, vote: hard.index },
        DiskRecordKind::Entry(kept) => WalRecord::Entry { index: kept.index, entry: entry(kept)? },
        DiskRecordKind::Snapshot(image) => WalRecord::Snapshot(snapshot(image)),
        DiskRecordKind::Identity(_)
        | DiskRecordKind::PeerSeen(_)
        | DiskRecordKind::StartNumber(_)
        | DiskRecordKind::Committed(_) => return Ok(None),
    }))
}

pub fn record_to_bytes(row: DiskRecordKind) -> Vec<u8> {
    DiskRecord { row: Some(row) }.encode_to_vec()
}

pub fn record_from_bytes(bytes: &[u8]) -> Result<DiskRecordKind, String> {
    let row = DiskRecord::decode(bytes).map_err(|e| e.to_string())?;
    row.row.ok_or_else(|| "a row of a newer format".into())
}
