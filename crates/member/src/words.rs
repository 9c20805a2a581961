//! What members say to each other and what a member writes on its disk, as protobuf, and the way to and from the
//! machine's own types.

use pewtergap_protocol::Checked;
use pewtergap_raft::{
    Body, Entry, Id, Index, Member, Members, Message as Told, Payload, Snapshot, Term, WalRecord,
};
use prost::{Message, Oneof};

/// What this build speaks and understands. Words are the same in both; commands differ, and go by the record's format,
/// which rises once all who belong speak it.
pub const FORMATS: (u32, u32) = pewtergap_record::SUPPORTED_FORMATS;
pub(crate) const MOST_NAME: usize = 256;
const MOST_MEMBERS: usize = 64;
/// A message: entries or a piece, and their heads.
const MOST_WORD: usize = 4 * 1024 * 1024;

#[derive(Clone, PartialEq, Message)]
pub struct Word {
    #[prost(oneof = "word::Kind", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18")]
    pub kind: Option<word::Kind>,
}

pub mod word {
    #[derive(Clone, PartialEq, super::Oneof)]
    pub enum Kind {
        /// First on each link, from who dialled.
        #[prost(message, tag = "1")]
        Hello(super::Hello),
        /// The answer to it, and all that is said on the link in this direction.
        #[prost(message, tag = "2")]
        Welcome(super::Hello),
        #[prost(message, tag = "3")]
        Refuse(super::Refuse),
        #[prost(message, tag = "4")]
        Agree(super::Agreeing),
        /// A command for the leader; said again until its answer is seen in the record.
        #[prost(bytes, tag = "5")]
        Command(Vec<u8>),
        #[prost(message, tag = "6")]
        Change(super::Change),
        #[prost(uint64, tag = "7")]
        ReadAsk(u64),
        #[prost(message, tag = "8")]
        ReadAt(super::ReadAt),
        /// From format 2 on: a lease is asked for; answered by a read's place.
        #[prost(message, tag = "9")]
        Renew(super::Renew),
        /// The leader asks for a duty; answered by a command that releases it.
        #[prost(message, tag = "10")]
        HandOn(super::HandOn),
        /// A server is to be asked how it is, by whoever holds its slice; that it takes it; what came.
        #[prost(message, tag = "11")]
        ProbeAsk(super::ProbeAsk),
        #[prost(message, tag = "12")]
        ProbeTaken(super::ProbeTaken),
        #[prost(message, tag = "13")]
        Probed(super::Probed),
        /// To those only whose hello says that they share.
        #[prost(message, tag = "14")]
        Gossip(crate::shared::Gossiped),
        #[prost(message, tag = "15")]
        CountsAsk(crate::shared::CountsAsk),
        #[prost(message, tag = "16")]
        Counts(crate::shared::Counts),
        #[prost(message, tag = "17")]
        Evidence(crate::shared::EvidenceTold),
        /// Whom a control machine serves, and what is in force there. To those only whose hello says that they serve watches.
        #[prost(message, tag = "18")]
        Roster(pewtergap_watch::messages::RosterUpdate),
    }
}

#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    #[prost(uint32, tag = "1")]
    pub lowest: u32,
    #[prost(uint32, tag = "2")]
    pub highest: u32,
    /// 0: belongs to none yet.
    #[prost(fixed64, tag = "3")]
    pub cluster: u64,
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
    pub founders: Vec<Seat>,
    /// On the link for all that is long.
    #[prost(bool, tag = "9")]
    pub bulk: bool,
    /// Who belongs now: one that joins knows the founders only, and the leader may be none of them.
    #[prost(message, repeated, tag = "10")]
    pub seats: Vec<Seat>,
    /// How long this one's settings say that leases are, in milliseconds; 0: it has no duties.
    #[prost(uint64, tag = "11")]
    pub lease: u64,
    /// It shares what it sees: whoever is older closes a link on words that it does not know.
    #[prost(bool, tag = "12")]
    pub shares: bool,
    /// It serves watches, and wants to hear whom others serve.
    #[prost(bool, tag = "13")]
    pub watches: bool,
}

#[derive(Clone, PartialEq, Message)]
pub struct Refuse {
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
pub struct Seat {
    #[prost(fixed64, tag = "1")]
    pub id: Id,
    #[prost(string, tag = "2")]
    pub name: String,
    #[prost(string, tag = "3")]
    pub at: String,
    #[prost(bool, tag = "4")]
    pub votes: bool,
    /// From format 4 on: a build that reads no such field takes an observer for one that learns, and gives it a vote.
    #[prost(bool, tag = "5")]
    pub observes: bool,
}

/// Who belongs.
#[derive(Clone, PartialEq, Message)]
pub struct Seats {
    #[prost(message, repeated, tag = "1")]
    pub list: Vec<Seat>,
    #[prost(fixed64, repeated, tag = "2")]
    pub retired: Vec<Id>,
}

/// An operator's change of members, for the leader.
#[derive(Clone, PartialEq, Message)]
pub struct Change {
    #[prost(string, tag = "1")]
    pub name: String,
    /// Empty: remove it.
    #[prost(string, tag = "2")]
    pub at: String,
    /// The disk that is given up: another one may come under the name. 0: none is.
    #[prost(fixed64, tag = "3")]
    pub old: Id,
}

#[derive(Clone, PartialEq, Message)]
pub struct Renew {
    #[prost(uint64, tag = "1")]
    pub token: u64,
    /// It takes no more duties.
    #[prost(bool, tag = "2")]
    pub leaves: bool,
}

#[derive(Clone, PartialEq, Message)]
pub struct HandOn {
    #[prost(string, tag = "1")]
    pub duty: String,
    #[prost(uint64, tag = "2")]
    pub number: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct ProbeAsk {
    #[prost(string, tag = "1")]
    pub duty: String,
    #[prost(string, tag = "2")]
    pub server: String,
}

#[derive(Clone, PartialEq, Message)]
pub struct ProbeTaken {
    #[prost(string, tag = "1")]
    pub duty: String,
    #[prost(uint64, tag = "2")]
    pub number: u64,
    #[prost(string, tag = "3")]
    pub server: String,
}

#[derive(Clone, PartialEq, Message)]
pub struct Probed {
    #[prost(string, tag = "1")]
    pub duty: String,
    #[prost(uint64, tag = "2")]
    pub number: u64,
    #[prost(string, tag = "3")]
    pub server: String,
    /// 0 answered, 1 refused, 2 an error, 3 silent, 4 dead.
    #[prost(uint32, tag = "4")]
    pub end: u32,
    #[prost(double, optional, tag = "5")]
    pub util: Option<f64>,
    #[prost(double, optional, tag = "6")]
    pub in_hand: Option<f64>,
    #[prost(uint64, tag = "7")]
    pub age_ms: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct ReadAt {
    #[prost(uint64, tag = "1")]
    pub token: u64,
    #[prost(uint64, tag = "2")]
    pub index: Index,
}

#[derive(Clone, PartialEq, Message)]
pub struct Agreeing {
    #[prost(uint64, tag = "1")]
    pub term: Term,
    #[prost(oneof = "Saying", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub say: Option<Saying>,
}

#[derive(Clone, PartialEq, Oneof)]
pub enum Saying {
    #[prost(message, tag = "2")]
    Trial(Place),
    #[prost(bool, tag = "3")]
    Trialled(bool),
    #[prost(message, tag = "4")]
    Ask(Ask),
    #[prost(bool, tag = "5")]
    Vote(bool),
    #[prost(message, tag = "6")]
    Append(Append),
    #[prost(message, tag = "7")]
    Took(Took),
    #[prost(message, tag = "8")]
    Piece(Piece),
    #[prost(message, tag = "9")]
    Got(Place),
    #[prost(bool, tag = "10")]
    Stand(bool),
}

/// A term and an index; for `Got` bytes and the snapshot's index.
#[derive(Clone, PartialEq, Message)]
pub struct Place {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    #[prost(uint64, tag = "2")]
    pub index: Index,
}

#[derive(Clone, PartialEq, Message)]
pub struct Ask {
    #[prost(message, required, tag = "1")]
    pub last: Place,
    #[prost(bool, tag = "2")]
    pub handed: bool,
}

#[derive(Clone, PartialEq, Message)]
pub struct Append {
    #[prost(message, required, tag = "1")]
    pub prev: Place,
    #[prost(message, repeated, tag = "2")]
    pub entries: Vec<Kept>,
    #[prost(uint64, tag = "3")]
    pub commit: Index,
    #[prost(uint64, tag = "4")]
    pub round: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Took {
    #[prost(bool, tag = "1")]
    pub refused: bool,
    #[prost(uint64, tag = "2")]
    pub matched: Index,
    #[prost(uint64, tag = "3")]
    pub round: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Piece {
    #[prost(message, required, tag = "1")]
    pub snapshot: Image,
    #[prost(uint64, tag = "2")]
    pub at: u64,
    #[prost(uint64, tag = "3")]
    pub total: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Image {
    #[prost(uint64, tag = "1")]
    pub index: Index,
    #[prost(uint64, tag = "2")]
    pub term: Term,
    #[prost(message, required, tag = "3")]
    pub members: Seats,
    #[prost(bytes, tag = "4")]
    pub data: Vec<u8>,
}

/// An entry of the log.
#[derive(Clone, PartialEq, Message)]
pub struct Kept {
    #[prost(uint64, tag = "1")]
    pub term: Term,
    #[prost(oneof = "Holds", tags = "2, 3, 4")]
    pub body: Option<Holds>,
    /// On disk; on links the place tells.
    #[prost(uint64, tag = "5")]
    pub index: Index,
}

#[derive(Clone, PartialEq, Oneof)]
pub enum Holds {
    #[prost(bool, tag = "2")]
    Empty(bool),
    #[prost(bytes, tag = "3")]
    Command(Vec<u8>),
    #[prost(message, tag = "4")]
    Members(Seats),
}

// ---- on disk

#[derive(Clone, PartialEq, Message)]
pub struct DiskRow {
    #[prost(oneof = "OnDisk", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub row: Option<OnDisk>,
}

#[derive(Clone, PartialEq, Oneof)]
pub enum OnDisk {
    /// Who this is; the last one counts.
    #[prost(message, tag = "1")]
    Identity(Hello),
    #[prost(message, tag = "2")]
    Hard(Place),
    #[prost(message, tag = "3")]
    Entry(Kept),
    #[prost(message, tag = "4")]
    Snapshot(Image),
    /// What was heard of another member's starts.
    #[prost(message, tag = "5")]
    Seen(Hello),
    /// The highest number of a start that this planner was given, and the one it has used.
    #[prost(message, tag = "6")]
    Number(Place),
    /// Up to here entries were known to be committed. Without it a start that hears nobody would go by no order.
    #[prost(uint64, tag = "7")]
    Committed(Index),
}

impl Checked for Word {
    const MOST: usize = MOST_WORD;
    fn check(&self) -> Result<(), String> {
        let named = |name: &str| match name.len() {
            0 => Err("name: is missing".to_string()),
            n if n > MOST_NAME => Err(format!("name: {n} bytes, {MOST_NAME} at most")),
            _ => Ok(()),
        };
        match self.kind.as_ref().ok_or("no word of this format")? {
            word::Kind::Hello(hello) | word::Kind::Welcome(hello) => {
                named(&hello.name)?;
                if hello.founders.len().max(hello.seats.len()) > MOST_MEMBERS {
                    return Err(format!("founders or seats: more than {MOST_MEMBERS}"));
                }
                if hello.id == 0 {
                    return Err("id: is missing".into());
                }
                Ok(())
            }
            word::Kind::Change(change) => {
                named(&change.name)?;
                if change.at.len() > MOST_NAME {
                    return Err(format!("at: {} bytes, {MOST_NAME} at most", change.at.len()));
                }
                Ok(())
            }
            word::Kind::HandOn(asked) => named(&asked.duty),
            word::Kind::ProbeAsk(asked) => named(&asked.duty).and(named(&asked.server)),
            word::Kind::ProbeTaken(taken) => named(&taken.duty).and(named(&taken.server)),
            word::Kind::Probed(told) => named(&told.duty).and(named(&told.server)),
            word::Kind::Agree(agreeing) => told(agreeing.clone()).map(drop),
            word::Kind::Gossip(gossiped) => gossiped.check(),
            word::Kind::Counts(counts) => counts.check(),
            word::Kind::Evidence(told) => told.check(),
            word::Kind::Roster(told) => told.check(),
            _ => Ok(()),
        }
    }
}

impl Refuse {
    pub fn of(reason: &str) -> Refuse {
        Refuse { reason: reason.into(), ..Refuse::default() }
    }
}

impl Seat {
    pub fn founder(id: Id, name: &str) -> Seat {
        Seat { id, name: name.into(), votes: true, ..Seat::default() }
    }
}

impl Word {
    pub fn of(kind: word::Kind) -> Word {
        Word { kind: Some(kind) }
    }
}

pub fn seats(members: &Members) -> Seats {
    let seat = |m: &Member| {
        let (name, at) = (m.name.clone(), m.address.clone());
        Seat { id: m.id, name, at, votes: m.is_voter, observes: m.is_observer }
    };
    Seats { list: members.list.iter().map(seat).collect(), retired: members.retired.clone() }
}

pub fn members(seats: Seats) -> Members {
    let member = |s: Seat| Member {
        id: s.id,
        name: s.name,
        address: s.at,
        is_voter: s.votes,
        is_observer: s.observes,
    };
    Members { list: seats.list.into_iter().map(member).collect(), retired: seats.retired }
}

fn place((term, index): (Term, Index)) -> Place {
    Place { term, index }
}

pub fn kept(index: Index, entry: &Entry) -> Kept {
    let body = match &entry.body {
        Body::Empty => Holds::Empty(true),
        Body::Command(bytes) => Holds::Command(bytes.clone()),
        Body::Members(members) => Holds::Members(seats(members)),
    };
    Kept { term: entry.term, body: Some(body), index }
}

fn entry(kept: Kept) -> Result<Entry, String> {
    let body = match kept.body.ok_or("an entry holds nothing of this format")? {
        Holds::Empty(_) => Body::Empty,
        Holds::Command(bytes) => Body::Command(bytes),
        Holds::Members(seats) => Body::Members(members(seats)),
    };
    Ok(Entry { term: kept.term, body })
}

pub fn image(snapshot: &Snapshot) -> Image {
    let (index, term, data) = (snapshot.index, snapshot.term, snapshot.data.clone());
    Image { index, term, members: seats(&snapshot.members), data }
}

fn snapshot(image: Image) -> Snapshot {
    Snapshot { index: image.index, term: image.term, members: members(image.members), data: image.data }
}

pub fn agreeing(message: &Told) -> Agreeing {
    let say = match &message.payload {
        Payload::PreVoteRequest { last_log: last } => Saying::Trial(place(*last)),
        Payload::PreVoteResponse { granted } => Saying::Trialled(*granted),
        Payload::VoteRequest { last_log: last, leader_transfer: handed } => {
            Saying::Ask(Ask { last: place(*last), handed: *handed })
        }
        Payload::VoteResponse { granted } => Saying::Vote(*granted),
        Payload::AppendEntries { prev, entries, commit, round } => {
            let entries = entries.iter().map(|entry| kept(0, entry)).collect();
            Saying::Append(Append { prev: place(*prev), entries, commit: *commit, round: *round })
        }
        Payload::AppendResponse { rejected: refused, match_index: matched, round } => {
            Saying::Took(Took { refused: *refused, matched: *matched, round: *round })
        }
        Payload::SnapshotChunk { snapshot, offset: at, total_bytes: total } => {
            Saying::Piece(Piece { snapshot: image(snapshot), at: *at, total: *total })
        }
        Payload::SnapshotChunkAck { index, bytes_received: bytes } => Saying::Got(place((*bytes, *index))),
        Payload::TimeoutNow => Saying::Stand(true),
    };
    Agreeing { term: message.term, say: Some(say) }
}

pub fn told(agreeing: Agreeing) -> Result<Told, String> {
    let say = match agreeing.say.ok_or("nothing of this format is said")? {
        Saying::Trial(last) => Payload::PreVoteRequest { last_log: (last.term, last.index) },
        Saying::Trialled(granted) => Payload::PreVoteResponse { granted },
        Saying::Ask(ask) => {
            Payload::VoteRequest { last_log: (ask.last.term, ask.last.index), leader_transfer: ask.handed }
        }
        Saying::Vote(granted) => Payload::VoteResponse { granted },
        Saying::Append(append) => Payload::AppendEntries {
            prev: (append.prev.term, append.prev.index),
            entries: append.entries.into_iter().map(entry).collect::<Result<_, _>>()?,
            commit: append.commit,
            round: append.round,
        },
        Saying::Took(took) => {
            Payload::AppendResponse { rejected: took.refused, match_index: took.matched, round: took.round }
        }
        Saying::Piece(piece) => Payload::SnapshotChunk {
            snapshot: snapshot(piece.snapshot),
            offset: piece.at,
            total_bytes: piece.total,
        },
        Saying::Got(got) => Payload::SnapshotChunkAck { index: got.index, bytes_received: got.term },
        Saying::Stand(_) => Payload::TimeoutNow,
    };
    Ok(Told { term: agreeing.term, payload: say })
}

pub fn on_disk(row: &WalRecord) -> OnDisk {
    match row {
        WalRecord::HardState { term, vote } => OnDisk::Hard(place((*term, *vote))),
        WalRecord::Entry { index, entry } => OnDisk::Entry(kept(*index, entry)),
        WalRecord::Snapshot(snapshot) => OnDisk::Snapshot(image(snapshot)),
    }
}

/// A row of the log, if it is one.
pub fn row(row: OnDisk) -> Result<Option<WalRecord>, String> {
    Ok(Some(match row {
        OnDisk::Hard(hard) => WalRecord::HardState { term: hard.term, vote: hard.index },
        OnDisk::Entry(kept) => WalRecord::Entry { index: kept.index, entry: entry(kept)? },
        OnDisk::Snapshot(image) => WalRecord::Snapshot(snapshot(image)),
        OnDisk::Identity(_) | OnDisk::Seen(_) | OnDisk::Number(_) | OnDisk::Committed(_) => return Ok(None),
    }))
}

pub fn write(row: OnDisk) -> Vec<u8> {
    DiskRow { row: Some(row) }.encode_to_vec()
}

pub fn read(bytes: &[u8]) -> Result<OnDisk, String> {
    let row = DiskRow::decode(bytes).map_err(|e| e.to_string())?;
    row.row.ok_or_else(|| "a row of a newer format".into())
}
