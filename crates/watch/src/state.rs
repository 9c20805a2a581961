//! The state that a planner holds as of an index, the pending changes that lead to the next one, and the
//! encoding for its disk.

use crate::messages::{Changes, EntryMessage, PartialSnapshot, ScopeMessage};
use crate::scope::Scope;
use prost::Message;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Limits on the keys that a planner holds and on their bytes; it disconnects from a machine that sends
/// more.
pub const MAX_KEYS: usize = 100_000;
pub const MAX_BYTES: usize = 32 << 20;

/// Everything within a scope as of an index of a record.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SavedState {
    pub record_id: u64,
    pub index: u64,
    /// `None`: nothing was received yet.
    pub scope: Option<Scope>,
    pub entries: BTreeMap<String, Vec<u8>>,
}

#[derive(Clone, PartialEq, Message)]
struct SavedStateMessage {
    #[prost(fixed64, tag = "1")]
    record_id: u64,
    #[prost(uint64, tag = "2")]
    index: u64,
    #[prost(message, optional, tag = "3")]
    scope: Option<ScopeMessage>,
    #[prost(message, repeated, tag = "4")]
    entries: Vec<EntryMessage>,
}

impl SavedState {
    /// Encodes the state for the disk, after its checksum.
    pub fn encode(&self) -> Vec<u8> {
        let entry = |(key, value): (&String, &Vec<u8>)| EntryMessage {
            key: key.clone(),
            index: 0,
            value: Some(value.clone()),
        };
        let message = SavedStateMessage {
            record_id: self.record_id,
            index: self.index,
            scope: self.scope.as_ref().map(|scope| scope.to_message(0)),
            entries: self.entries.iter().map(entry).collect(),
        };
        let body = message.encode_to_vec();
        let mut bytes = xxh3_64(&body).to_be_bytes().to_vec();
        bytes.extend_from_slice(&body);
        bytes
    }

    /// # Errors
    /// Says what is wrong with the bytes, none of which may be used then.
    pub fn decode(bytes: &[u8]) -> Result<SavedState, String> {
        let (checksum, body) = bytes.split_first_chunk::<8>().ok_or("shorter than its checksum")?;
        if xxh3_64(body).to_be_bytes() != *checksum {
            return Err("checksum mismatch".into());
        }
        let message = SavedStateMessage::decode(body).map_err(|e| format!("invalid saved state: {e}"))?;
        let entries =
            message.entries.into_iter().filter_map(|entry| Some((entry.key, entry.value?))).collect();
        Ok(SavedState {
            record_id: message.record_id,
            index: message.index,
            scope: message.scope.map(Scope::from),
            entries,
        })
    }
}

/// Chunks received since the last complete one.
#[derive(Clone, Debug, Default)]
pub struct PendingChanges {
    pub entries: BTreeMap<String, Option<Vec<u8>>>,
    bytes: usize,
    /// Progress of a snapshot.
    pub snapshot: Option<PartialSnapshot>,
}

impl PendingChanges {
    /// Adds a chunk.
    ///
    /// # Errors
    /// The limits are exceeded.
    pub fn add(&mut self, changes: Changes) -> Result<(), String> {
        if changes.reset {
            *self =
                PendingChanges { snapshot: Some(PartialSnapshot::default()), ..PendingChanges::default() };
        }
        if let Some(snapshot) = &mut self.snapshot {
            snapshot.seen = snapshot.seen.max(changes.head);
            snapshot.base = changes.through;
            snapshot.all_keys = changes.after.is_none();
            snapshot.after = changes.after.unwrap_or_default();
        }
        for EntryMessage { key, value, .. } in changes.entries {
            let bytes = key.len() + value.as_ref().map_or(0, Vec::len);
            if let Some(previous) = self.entries.insert(key, value) {
                self.bytes = self.bytes.saturating_sub(previous.map_or(0, |previous| previous.len()));
            }
            self.bytes += bytes;
        }
        match self.entries.len() > MAX_KEYS || self.bytes > MAX_BYTES {
            true => Err(format!("received more than {MAX_KEYS} keys or {MAX_BYTES} bytes")),
            false => Ok(()),
        }
    }
}
