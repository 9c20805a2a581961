//! What planners and control machines say on a watch, and machines to each other of their watchers, as protobuf in the
//! members' framing.
//!
//! A planner dials and says `Hello`; `Welcome` or `Refuse` answers. From then on the machine says `Changes` in pieces, at
//! most [`MAX_CHUNKS_IN_FLIGHT`] of them not yet answered by `Ack`, so that a word of life never waits behind more than those.

use pewtergap_protocol::Checked;
use prost::{Message, Oneof};

/// Versions of these words that this build speaks, lowest and highest.
pub const SUPPORTED_VERSIONS: (u32, u32) = (1, 1);
pub const MOST_NAME: usize = 256;
/// Of a key: what it is about, and a name.
pub const MOST_KEY: usize = MOST_NAME + 16;
/// Of a value: an order with its reason.
pub const MOST_VALUE: usize = 4 * 1024;
/// Names of servers, and of routes, that one scope may have.
pub const MAX_SCOPE_NAMES: usize = 4_096;
/// Entries of a piece, and their bytes; a single entry always fits.
pub const MOST_ENTRIES: usize = 512;
pub const MOST_PIECE: usize = 16 * 1024;
/// Pieces on their way to one watcher.
pub const MAX_CHUNKS_IN_FLIGHT: usize = 2;
/// Rows of one word about watchers.
pub const MOST_ROWS: usize = 512;
/// Bytes of a word: what a machine holds of each watcher that has said half of one. A scope that needs more is said as all.
pub const MOST_WORD: usize = 256 * 1024;

#[derive(Clone, PartialEq, Message)]
pub struct WatchMessage {
    #[prost(oneof = "Kind", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub kind: Option<Kind>,
}

#[derive(Clone, PartialEq, Oneof)]
pub enum Kind {
    /// First, from the planner.
    #[prost(message, tag = "1")]
    Hello(Hello),
    #[prost(message, tag = "2")]
    Welcome(Welcome),
    /// The machine's last word on a link.
    #[prost(message, tag = "3")]
    Refuse(Refuse),
    #[prost(message, tag = "4")]
    Changes(Changes),
    /// The planner has this piece.
    #[prost(message, tag = "5")]
    Ack(Ack),
    /// A word of life from the planner, one a second and when something new is in force; answered by `Pong`.
    #[prost(message, tag = "6")]
    Ping(Ping),
    #[prost(message, tag = "7")]
    Pong(Pong),
    /// Another scope from here on: all within it is told anew.
    #[prost(message, tag = "8")]
    Rescope(ScopeMessage),
    /// A snapshot has to wait, so long; the watch stands meanwhile.
    #[prost(message, tag = "9")]
    SnapshotDelayed(SnapshotDelayed),
    /// The planner ends in order and is expected no more.
    #[prost(message, tag = "10")]
    Leave(Leave),
}

#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    #[prost(uint32, tag = "1")]
    pub min_version: u32,
    #[prost(uint32, tag = "2")]
    pub max_version: u32,
    /// Whose state it holds; 0: nobody's yet.
    #[prost(fixed64, tag = "3")]
    pub record_id: u64,
    /// All within its scope up to this place is applied; 0: nothing.
    #[prost(uint64, tag = "4")]
    pub index: u64,
    /// How far a snapshot that was broken off has come. It goes on there, at any machine that has its base and is not
    /// behind `seen`.
    #[prost(message, optional, tag = "5")]
    pub partial_snapshot: Option<PartialSnapshot>,
    #[prost(string, tag = "6")]
    pub planner: String,
    /// Which start of the planner, and which of its watches in that start: the highest of both is where it is.
    #[prost(uint64, tag = "7")]
    pub start: u64,
    #[prost(uint64, tag = "8")]
    pub watch_number: u64,
    #[prost(message, required, tag = "9")]
    pub scope: ScopeMessage,
    /// What it holds is of another scope: all is told anew, but never of a lower place.
    #[prost(bool, tag = "10")]
    pub reset: bool,
}

#[derive(Clone, PartialEq, Message)]
pub struct PartialSnapshot {
    /// The place that was applied where it began.
    #[prost(uint64, tag = "1")]
    pub base: u64,
    /// All keys up to this one, in their order, were told; what changed beyond the base follows them.
    #[prost(string, tag = "2")]
    pub after: String,
    /// The highest place that was applied where any of it was told: a machine that has less would mix what was with what
    /// is. The entries' places don't do: a key that had gone was not told, and would be missing at a lower place.
    #[prost(uint64, tag = "3")]
    pub seen: u64,
    /// All keys were told; only what changed beyond the base follows.
    #[prost(bool, tag = "4")]
    pub all_keys: bool,
}

/// Zones, and what concerns everybody, are in each scope.
#[derive(Clone, PartialEq, Message)]
pub struct ScopeMessage {
    #[prost(bool, tag = "1")]
    pub all_servers: bool,
    #[prost(string, repeated, tag = "2")]
    pub servers: Vec<String>,
    #[prost(bool, tag = "3")]
    pub all_routes: bool,
    #[prost(string, repeated, tag = "4")]
    pub routes: Vec<String>,
    /// Counts the planner's scopes, so that it knows which one a piece is of.
    #[prost(uint64, tag = "5")]
    pub number: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Welcome {
    /// Spoken on this link.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    #[prost(fixed64, tag = "2")]
    pub record_id: u64,
    /// The place that is applied here.
    #[prost(uint64, tag = "3")]
    pub head: u64,
    #[prost(string, tag = "4")]
    pub machine: String,
    /// The snapshot that was broken off goes on; if not, what is held of it is of no use.
    #[prost(bool, tag = "5")]
    pub resumes_snapshot: bool,
}

/// Why a watch is refused or ended. What a planner does next is in its own table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Reason {
    /// A word that nobody may say here.
    Bad = 0,
    /// The versions spoken don't meet.
    Version = 1,
    /// The planner holds another record's state.
    Record = 2,
    /// This machine is behind the planner's place, or has no record yet.
    Behind = 3,
    /// No room for another watch.
    Full = 4,
    /// A newer start or watch of the same planner is here.
    Replaced = 5,
    /// The planner does not take what is sent, or was not heard.
    Deaf = 6,
    /// This machine ends.
    Stopping = 7,
}

#[derive(Clone, PartialEq, Message)]
pub struct Refuse {
    #[prost(enumeration = "Reason", tag = "1")]
    pub reason: i32,
    #[prost(string, tag = "2")]
    pub detail: String,
    /// When it may be tried here again.
    #[prost(uint64, tag = "3")]
    pub retry_after_ms: u64,
}

/// A piece of what has to be told. Pieces are held until one is `done`; then all of them are applied as one, and the
/// planner's place is `through`.
///
/// A snapshot goes through the keys in their order, each as it stands then, and after them through all that changed
/// beyond the place at which it began: by then both together are the state at `through`. It is no walk by places: a
/// machine that read the record from a snapshot has all keys at one place, and such a walk could not be broken off.
#[derive(Clone, PartialEq, Message)]
pub struct Changes {
    /// Counts from 1 on each link.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// A snapshot begins: what was held of an earlier one goes, and what is not told until it is done is not there.
    #[prost(bool, tag = "2")]
    pub reset: bool,
    /// Of a snapshot whose keys are not all told yet: all up to this one are.
    #[prost(string, optional, tag = "3")]
    pub after: Option<String>,
    /// All that changed up to this place within the scope was told; of a snapshot's keys the place at which it began.
    #[prost(uint64, tag = "4")]
    pub through: u64,
    #[prost(bool, tag = "5")]
    pub done: bool,
    #[prost(message, repeated, tag = "6")]
    pub entries: Vec<EntryMessage>,
    /// The place that was applied where this was said.
    #[prost(uint64, tag = "7")]
    pub head: u64,
    /// The number of the scope that this is of.
    #[prost(uint64, tag = "8")]
    pub scope: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct EntryMessage {
    #[prost(string, tag = "1")]
    pub key: String,
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// None: it is gone.
    #[prost(bytes = "vec", optional, tag = "3")]
    pub value: Option<Vec<u8>>,
}

#[derive(Clone, PartialEq, Message)]
pub struct Ack {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// What is in force at this planner.
    #[prost(uint64, tag = "2")]
    pub applied: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Ping {
    #[prost(uint64, tag = "1")]
    pub token: u64,
    #[prost(uint64, tag = "2")]
    pub applied: u64,
    /// The token of the newest `Pong` that was heard, 0 before the first: this word is no older than that one. Bytes that
    /// a cut held back may say what a planner had long ago, and it may have ended since.
    #[prost(uint64, tag = "3")]
    pub echo: u64,
}

/// When the machine answered, all that had been kept `age_ms` before was applied at `head`.
#[derive(Clone, PartialEq, Message)]
pub struct Pong {
    #[prost(uint64, tag = "1")]
    pub token: u64,
    #[prost(uint64, tag = "2")]
    pub head: u64,
    /// None: the machine has never known.
    #[prost(uint64, optional, tag = "3")]
    pub age_ms: Option<u64>,
}

#[derive(Clone, PartialEq, Message)]
pub struct SnapshotDelayed {
    #[prost(uint64, tag = "1")]
    pub in_ms: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Leave {}

/// What a control machine tells another of its own watchers, on the members' links. An empty one is a word of life.
#[derive(Clone, PartialEq, Message)]
pub struct RosterUpdate {
    /// Drawn anew for each word; `echo` is the newest one heard from whom this goes to: what a word says is no older than
    /// the moment at which the word that it echoes was sent.
    #[prost(fixed64, tag = "1")]
    pub token: u64,
    #[prost(fixed64, tag = "2")]
    pub echo: u64,
    /// The first of all rows: what was told before by this machine is put aside.
    #[prost(bool, tag = "3")]
    pub reset: bool,
    #[prost(message, repeated, tag = "4")]
    pub rows: Vec<RosterRow>,
    /// All that this machine holds for heard was heard so long ago at most.
    #[prost(uint64, tag = "5")]
    pub max_contact_age_ms: u64,
}

/// A planner, as its machine knows it.
#[derive(Clone, PartialEq, Message)]
pub struct RosterRow {
    #[prost(string, tag = "1")]
    pub planner: String,
    #[prost(uint64, tag = "2")]
    pub start: u64,
    #[prost(uint64, tag = "3")]
    pub watch_number: u64,
    #[prost(uint64, tag = "4")]
    pub applied: u64,
    /// For so long it has not been heard; for one that is `here` see `heard_ms`.
    #[prost(uint64, tag = "5")]
    pub contact_age_ms: u64,
    /// Its watch stands at the machine that tells, and it is heard.
    #[prost(bool, tag = "6")]
    pub connected: bool,
    /// It ended in order.
    #[prost(bool, tag = "7")]
    pub left: bool,
}

fn name(field: &str, text: &str, most: usize) -> Result<(), String> {
    match text {
        "" => Err(format!("{field} is missing")),
        text if text.len() > most => Err(format!("{field} has {} bytes, {most} at most", text.len())),
        text if text.chars().any(char::is_control) => Err(format!("{field} has control characters")),
        _ => Ok(()),
    }
}

impl ScopeMessage {
    pub fn check(&self) -> Result<(), String> {
        for (field, names) in [("servers", &self.servers), ("routes", &self.routes)] {
            if names.len() > MAX_SCOPE_NAMES {
                return Err(format!("{field}: {} of {MAX_SCOPE_NAMES} at most", names.len()));
            }
            names.iter().try_for_each(|text| name(field, text, MOST_NAME))?;
        }
        Ok(())
    }
}

impl WatchMessage {
    pub fn new(kind: Kind) -> WatchMessage {
        WatchMessage { kind: Some(kind) }
    }
}

impl Checked for WatchMessage {
    const MOST: usize = MOST_WORD;

    fn check(&self) -> Result<(), String> {
        match self.kind.as_ref().ok_or("no word")? {
            Kind::Hello(hello) => {
                name("planner", &hello.planner, MOST_NAME)?;
                let after = hello.partial_snapshot.as_ref().map_or("", |broken| &broken.after);
                if after.len() > MOST_KEY {
                    return Err(format!("after has {} bytes, {MOST_KEY} at most", after.len()));
                }
                hello.scope.check()
            }
            Kind::Welcome(welcome) => name("machine", &welcome.machine, MOST_NAME),
            Kind::Changes(changes) => {
                if changes.entries.len() > MOST_ENTRIES {
                    return Err(format!("entries: {} of {MOST_ENTRIES} at most", changes.entries.len()));
                }
                for entry in &changes.entries {
                    name("key", &entry.key, MOST_KEY)?;
                    let bytes = entry.value.as_ref().map_or(0, Vec::len);
                    if bytes > MOST_VALUE {
                        return Err(format!("value has {bytes} bytes, {MOST_VALUE} at most"));
                    }
                }
                Ok(())
            }
            Kind::Rescope(scope) => scope.check(),
            Kind::Refuse(_) | Kind::Ack(_) | Kind::Ping(_) | Kind::Pong(_) => Ok(()),
            Kind::SnapshotDelayed(_) | Kind::Leave(_) => Ok(()),
        }
    }
}

impl RosterUpdate {
    pub fn check(&self) -> Result<(), String> {
        if self.rows.len() > MOST_ROWS {
            return Err(format!("rows: {} of {MOST_ROWS} at most", self.rows.len()));
        }
        self.rows.iter().try_for_each(|row| name("planner", &row.planner, MOST_NAME))
    }
}
