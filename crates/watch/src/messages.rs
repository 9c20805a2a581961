//! Protobuf messages between planners and control machines on a watch, and between control machines about
//! their watchers, in the framing of the members' links.
//!
//! A planner dials and sends `Hello`, which is answered by `Welcome` or `Rejection`. From then on the machine
//! sends `Changes` in chunks, of which at most [`MAX_CHUNKS_IN_FLIGHT`] may lack their `Ack`, so that a pong
//! never waits behind more than these.

use pewtergap_protocol::Validate;
use prost::{Message, Oneof};

/// Protocol versions that this build supports, lowest and highest.
pub const SUPPORTED_VERSIONS: (u32, u32) = (1, 1);
pub const MAX_NAME_BYTES: usize = 256;
/// A key is the kind of subject and a name.
pub const MAX_KEY_BYTES: usize = MAX_NAME_BYTES + 16;
/// A value is an order with its reason.
pub const MAX_VALUE_BYTES: usize = 4 * 1024;
/// Limit on the server names, and on the route names, of a scope.
pub const MAX_SCOPE_NAMES: usize = 4_096;
/// Limits on the entries of a chunk and on their bytes; a single entry always fits.
pub const MAX_ENTRIES: usize = 512;
pub const MAX_CHUNK_BYTES: usize = 16 * 1024;
/// Limit on unacknowledged chunks per watcher.
pub const MAX_CHUNKS_IN_FLIGHT: usize = 2;
/// Rows of one roster update.
pub const MAX_ROWS: usize = 512;
/// Limit on the bytes of a message, which a machine buffers for each watcher whose message is incomplete. A
/// scope that would not fit is widened to all.
pub const MAX_MESSAGE_BYTES: usize = 256 * 1024;

#[derive(Clone, PartialEq, Message)]
pub struct WatchMessage {
    #[prost(oneof = "Kind", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub kind: Option<Kind>,
}

#[derive(Clone, PartialEq, Oneof)]
pub enum Kind {
    /// The planner's first message.
    #[prost(message, tag = "1")]
    Hello(Hello),
    #[prost(message, tag = "2")]
    Welcome(Welcome),
    /// The machine's last message on a link.
    #[prost(message, tag = "3")]
    Rejection(Rejection),
    #[prost(message, tag = "4")]
    Changes(Changes),
    /// Acknowledges a chunk.
    #[prost(message, tag = "5")]
    Ack(Ack),
    /// From the planner, once a second and when a new index was applied; answered by `Pong`.
    #[prost(message, tag = "6")]
    Ping(Ping),
    #[prost(message, tag = "7")]
    Pong(Pong),
    /// Changes the scope; a snapshot of the new one follows.
    #[prost(message, tag = "8")]
    Rescope(ScopeMessage),
    /// A snapshot has to wait for this long; the watch stays open.
    #[prost(message, tag = "9")]
    SnapshotDelayed(SnapshotDelayed),
    /// The planner shuts down in order and is no longer expected.
    #[prost(message, tag = "10")]
    Leave(Leave),
}

#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    #[prost(uint32, tag = "1")]
    pub min_version: u32,
    #[prost(uint32, tag = "2")]
    pub max_version: u32,
    /// Record that the planner's state belongs to; 0: none yet.
    #[prost(fixed64, tag = "3")]
    pub record_id: u64,
    /// All changes within its scope up to this index are applied; 0: none.
    #[prost(uint64, tag = "4")]
    pub index: u64,
    /// Progress of an interrupted snapshot. It can be resumed at any machine that still has its base and is
    /// not behind `seen`.
    #[prost(message, optional, tag = "5")]
    pub partial_snapshot: Option<PartialSnapshot>,
    #[prost(string, tag = "6")]
    pub planner: String,
    /// Number of this start of the planner, and of the watch within that start. The watch with the highest
    /// pair is the planner's current one.
    #[prost(uint64, tag = "7")]
    pub start: u64,
    #[prost(uint64, tag = "8")]
    pub watch_number: u64,
    #[prost(message, required, tag = "9")]
    pub scope: ScopeMessage,
    /// The planner's state belongs to another scope: it needs a snapshot, but never one with a lower index.
    #[prost(bool, tag = "10")]
    pub reset: bool,
}

#[derive(Clone, PartialEq, Message)]
pub struct PartialSnapshot {
    /// The index that was applied when the snapshot began.
    #[prost(uint64, tag = "1")]
    pub base: u64,
    /// All keys up to this one, in key order, were sent; changes after the base follow them.
    #[prost(string, tag = "2")]
    pub after: String,
    /// The highest index that was applied at a machine while it sent a part. A machine that is behind it
    /// would mix older with newer state. The indexes of the entries don't suffice: a deleted key was not
    /// sent, and would be missing at a lower index.
    #[prost(uint64, tag = "3")]
    pub seen: u64,
    /// All keys were sent; only the changes after the base follow.
    #[prost(bool, tag = "4")]
    pub all_keys: bool,
}

/// Zones and global entries are part of every scope.
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
    /// Counts the planner's scopes, to tell which one a chunk belongs to.
    #[prost(uint64, tag = "5")]
    pub number: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Welcome {
    /// The version used on this link.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    #[prost(fixed64, tag = "2")]
    pub record_id: u64,
    /// The index that is applied here.
    #[prost(uint64, tag = "3")]
    pub head: u64,
    #[prost(string, tag = "4")]
    pub machine: String,
    /// The interrupted snapshot is resumed; otherwise its partial state must be discarded.
    #[prost(bool, tag = "5")]
    pub resumes_snapshot: bool,
}

/// Why a watch is rejected or ended. The planner's reaction is in the table of [`crate::client`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Reason {
    /// A message that is malformed or not allowed.
    Bad = 0,
    /// There is no common version.
    Version = 1,
    /// The planner's state belongs to another record.
    Record = 2,
    /// This machine is behind the planner's index, or has no record yet.
    Behind = 3,
    /// The limit on watches is reached.
    Full = 4,
    /// The planner has a watch with a higher start or watch number.
    Replaced = 5,
    /// The planner acknowledges nothing, or was silent.
    Deaf = 6,
    /// This machine is shutting down.
    Stopping = 7,
}

#[derive(Clone, PartialEq, Message)]
pub struct Rejection {
    #[prost(enumeration = "Reason", tag = "1")]
    pub reason: i32,
    /// For people. Its length changes the bytes on the wire, on which the simulation's fixed seeds depend.
    #[prost(string, tag = "2")]
    pub detail: String,
    /// When this machine may be tried again.
    #[prost(uint64, tag = "3")]
    pub retry_after_ms: u64,
}

/// A chunk of changes. Chunks are collected until one is `done`; then all of them are applied at once, and
/// the planner's index is `through`.
///
/// A snapshot goes through the keys in key order, sending each as it is at that time, and then through all
/// changes after the index at which it began; both together give the state at `through`. It doesn't go by
/// index: a machine that read the record from a snapshot has all keys at one index, and such an iteration
/// could not be resumed.
#[derive(Clone, PartialEq, Message)]
pub struct Changes {
    /// Counts from 1 on each link.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// A snapshot begins: a partial one is discarded, and keys that are not sent before it is done don't
    /// exist.
    #[prost(bool, tag = "2")]
    pub reset: bool,
    /// Within the keys of a snapshot: the last key that was sent.
    #[prost(string, optional, tag = "3")]
    pub after: Option<String>,
    /// All changes within the scope up to this index were sent; within the keys of a snapshot, the index at
    /// which it began.
    #[prost(uint64, tag = "4")]
    pub through: u64,
    #[prost(bool, tag = "5")]
    pub done: bool,
    #[prost(message, repeated, tag = "6")]
    pub entries: Vec<EntryMessage>,
    /// The index that was applied when this was sent.
    #[prost(uint64, tag = "7")]
    pub head: u64,
    /// Number of the scope that this belongs to.
    #[prost(uint64, tag = "8")]
    pub scope: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct EntryMessage {
    #[prost(string, tag = "1")]
    pub key: String,
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// `None`: the key was deleted.
    #[prost(bytes = "vec", optional, tag = "3")]
    pub value: Option<Vec<u8>>,
}

#[derive(Clone, PartialEq, Message)]
pub struct Ack {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The index that is applied at this planner.
    #[prost(uint64, tag = "2")]
    pub applied: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Ping {
    #[prost(uint64, tag = "1")]
    pub token: u64,
    #[prost(uint64, tag = "2")]
    pub applied: u64,
    /// The token of the newest `Pong` received, 0 before the first: this message was not sent before that
    /// pong. Bytes delayed by a network partition may report what a planner had applied long ago, and it may
    /// have ended since.
    #[prost(uint64, tag = "3")]
    pub echo: u64,
}

/// When the machine answered, everything committed up to `age_ms` before was applied, with `head` as its
/// index.
#[derive(Clone, PartialEq, Message)]
pub struct Pong {
    #[prost(uint64, tag = "1")]
    pub token: u64,
    #[prost(uint64, tag = "2")]
    pub head: u64,
    /// `None`: unknown to the machine.
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

/// A control machine's report on its own watchers to another one, on the members' links. An empty one is a
/// heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct RosterUpdate {
    /// Random for each update; `echo` is the newest token received from the machine that this is sent to.
    /// The contents are no older than the moment at which the echoed update was sent.
    #[prost(fixed64, tag = "1")]
    pub token: u64,
    #[prost(fixed64, tag = "2")]
    pub echo: u64,
    /// The first update of a full report: earlier ones from this machine no longer count.
    #[prost(bool, tag = "3")]
    pub reset: bool,
    #[prost(message, repeated, tag = "4")]
    pub rows: Vec<RosterRow>,
    /// Everything that this machine counts as heard was heard at most this long ago.
    #[prost(uint64, tag = "5")]
    pub max_contact_age_ms: u64,
}

/// A planner as its machine knows it.
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
    /// Time since it was last heard; for a `connected` one see `max_contact_age_ms`.
    #[prost(uint64, tag = "5")]
    pub contact_age_ms: u64,
    /// It watches the machine that sends this, and is heard.
    #[prost(bool, tag = "6")]
    pub connected: bool,
    /// It shut down in order.
    #[prost(bool, tag = "7")]
    pub left: bool,
}

fn check_name(field: &str, text: &str, max: usize) -> Result<(), String> {
    match text {
        "" => Err(format!("{field} is missing")),
        text if text.len() > max => Err(format!("{field} has {} bytes, {max} at most", text.len())),
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
            names.iter().try_for_each(|text| check_name(field, text, MAX_NAME_BYTES))?;
        }
        Ok(())
    }
}

impl WatchMessage {
    pub fn new(kind: Kind) -> WatchMessage {
        WatchMessage { kind: Some(kind) }
    }
}

impl Validate for WatchMessage {
    const MAX_LEN: usize = MAX_MESSAGE_BYTES;

    fn validate(&self) -> Result<(), String> {
        match self.kind.as_ref().ok_or("no word")? {
            Kind::Hello(hello) => {
                check_name("planner", &hello.planner, MAX_NAME_BYTES)?;
                let after = hello.partial_snapshot.as_ref().map_or("", |partial| &partial.after);
                if after.len() > MAX_KEY_BYTES {
                    return Err(format!("after has {} bytes, {MAX_KEY_BYTES} at most", after.len()));
                }
                hello.scope.check()
            }
            Kind::Welcome(welcome) => check_name("machine", &welcome.machine, MAX_NAME_BYTES),
            Kind::Changes(changes) => {
                if changes.entries.len() > MAX_ENTRIES {
                    return Err(format!("entries: {} of {MAX_ENTRIES} at most", changes.entries.len()));
                }
                for entry in &changes.entries {
                    check_name("key", &entry.key, MAX_KEY_BYTES)?;
                    let bytes = entry.value.as_ref().map_or(0, Vec::len);
                    if bytes > MAX_VALUE_BYTES {
                        return Err(format!("value has {bytes} bytes, {MAX_VALUE_BYTES} at most"));
                    }
                }
                Ok(())
            }
            Kind::Rescope(scope) => scope.check(),
            Kind::Rejection(_) | Kind::Ack(_) | Kind::Ping(_) | Kind::Pong(_) => Ok(()),
            Kind::SnapshotDelayed(_) | Kind::Leave(_) => Ok(()),
        }
    }
}

impl RosterUpdate {
    pub fn check(&self) -> Result<(), String> {
        if self.rows.len() > MAX_ROWS {
            return Err(format!("rows: {} of {MAX_ROWS} at most", self.rows.len()));
        }
        self.rows.iter().try_for_each(|row| check_name("planner", &row.planner, MAX_NAME_BYTES))
    }
}
