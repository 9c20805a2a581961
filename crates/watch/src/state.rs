//! What a planner holds: its state at a place, what is told of the next and not done yet, and what it keeps on its disk.

use crate::messages::{Changes, EntryMessage, PartialSnapshot, ScopeMessage};
use crate::scope::Scope;
use prost::Message;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Keys that a planner holds, and their bytes; a machine that tells more is left.
pub const MOST_KEYS: usize = 100_000;
pub const MOST_BYTES: usize = 32 << 20;

/// All within a scope at a place of a record.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SavedState {
    pub record_id: u64,
    pub index: u64,
    /// None: nothing was told yet.
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
    /// As it is kept on a disk, with its sum before it.
    pub fn encode(&self) -> Vec<u8> {
        let entry = |(key, value): (&String, &Vec<u8>)| EntryMessage {
            key: key.clone(),
            index: 0,
            value: Some(value.clone()),
        };
        let told = SavedStateMessage {
            record_id: self.record_id,
            index: self.index,
            scope: self.scope.as_ref().map(|scope| scope.to_message(0)),
            entries: self.entries.iter().map(entry).collect(),
        };
        let body = told.encode_to_vec();
        let mut bytes = xxh3_64(&body).to_be_bytes().to_vec();
        bytes.extend_from_slice(&body);
        bytes
    }

    /// # Errors
    /// What is wrong with the bytes; nothing of them is to be used then.
    pub fn decode(bytes: &[u8]) -> Result<SavedState, String> {
        let (sum, body) = bytes.split_first_chunk::<8>().ok_or("it is shorter than its sum")?;
        if xxh3_64(body).to_be_bytes() != *sum {
            return Err("its sum does not fit".into());
        }
        let told = SavedStateMessage::decode(body).map_err(|e| format!("not a planner's state: {e}"))?;
        let entries = told.entries.into_iter().filter_map(|entry| Some((entry.key, entry.value?))).collect();
        Ok(SavedState {
            record_id: told.record_id,
            index: told.index,
            scope: told.scope.map(Scope::from),
            entries,
        })
    }
}

/// Pieces that were told and not done.
#[derive(Clone, Debug, Default)]
pub struct Held {
    pub entries: BTreeMap<String, Option<Vec<u8>>>,
    bytes: usize,
    /// Of a snapshot: how far it has come.
    pub snapshot: Option<PartialSnapshot>,
}

impl Held {
    /// A piece more.
    ///
    /// # Errors
    /// It is more than a planner holds.
    pub fn take(&mut self, changes: Changes) -> Result<(), String> {
        if changes.reset {
            *self = Held { snapshot: Some(PartialSnapshot::default()), ..Held::default() };
        }
        if let Some(snapshot) = &mut self.snapshot {
            snapshot.seen = snapshot.seen.max(changes.head);
            snapshot.base = changes.through;
            snapshot.all_keys = changes.after.is_none();
            snapshot.after = changes.after.unwrap_or_default();
        }
        for EntryMessage { key, value, .. } in changes.entries {
            let bytes = key.len() + value.as_ref().map_or(0, Vec::len);
            if let Some(was) = self.entries.insert(key, value) {
                self.bytes = self.bytes.saturating_sub(was.map_or(0, |was| was.len()));
            }
            self.bytes += bytes;
        }
        match self.entries.len() > MOST_KEYS || self.bytes > MOST_BYTES {
            true => Err(format!("more than {MOST_KEYS} keys or {MOST_BYTES} bytes were told")),
            false => Ok(()),
        }
    }
}
