//! Builds the next chunk for a watcher at a position, with at most [`MAX_ENTRIES`] entries and
//! [`MAX_CHUNK_BYTES`] bytes.
//!
//! Watchers with the same scope and position receive the same bytes: a chunk is built once and shared until
//! the head moves. Keys out of scope are skipped; building a chunk visits each key at most once.

use crate::cache::{Cache, CacheEntry};
use crate::messages::{Changes, EntryMessage, MAX_CHUNK_BYTES, MAX_ENTRIES};
use crate::scope::Scope;
use prost::encoding::{encode_key, encode_varint, encoded_len_varint, WireType};
use prost::Message;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Chunks kept for sharing.
const MAX_CACHED_CHUNKS: usize = 64;

/// How far a watcher has been sent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Position {
    /// Within a snapshot that began at index `base`: all keys up to `after`.
    SnapshotKey { base: u64, after: Option<Arc<str>> },
    /// All changes up to key number `sub_index` of `index`; `through` is the last index known to be complete.
    Change { index: u64, sub_index: u32, through: u64 },
}

impl Position {
    /// All changes up to an index.
    pub fn at_index(index: u64) -> Position {
        Position::Change { index, sub_index: u32::MAX, through: index }
    }

    /// Deletions after this position may have been compacted away.
    pub fn is_compacted(&self, cache: &Cache) -> bool {
        match self {
            Position::SnapshotKey { base, .. } => *base < cache.compacted_index(),
            Position::Change { index, sub_index, .. } => {
                (*index, *sub_index) < (cache.compacted_index(), u32::MAX)
            }
        }
    }
}

#[derive(Debug)]
pub struct Chunk {
    /// An encoded `Changes` without the fields that differ between links.
    bytes: Vec<u8>,
    pub next: Position,
    pub done: bool,
}

impl Chunk {
    /// The frame for one link. Fields of a message may come in any order, so the link's own fields are put
    /// before the shared ones.
    pub fn frame(&self, number: u64, scope: u64) -> Vec<u8> {
        const CHANGES_TAG: u32 = 4;
        let link_fields = Changes { number, scope, ..Changes::default() }.encode_to_vec();
        let body = link_fields.len() + self.bytes.len();
        let message = 1 + encoded_len_varint(body as u64) + body;
        let mut frame = Vec::with_capacity(4 + message);
        frame.extend_from_slice(&(message as u32).to_be_bytes());
        encode_key(CHANGES_TAG, WireType::LengthDelimited, &mut frame);
        encode_varint(body as u64, &mut frame);
        frame.extend_from_slice(&link_fields);
        frame.extend_from_slice(&self.bytes);
        frame
    }
}

#[derive(Default)]
struct ChunkBuilder {
    entries: Vec<EntryMessage>,
    bytes: usize,
}

impl ChunkBuilder {
    /// Returns false if the chunk is full. A single entry always fits.
    fn try_push(&mut self, found: &CacheEntry) -> bool {
        let bytes = found.key.len() + found.value.as_ref().map_or(0, |value| value.len()) + 16;
        let full = self.entries.len() >= MAX_ENTRIES || self.bytes + bytes > MAX_CHUNK_BYTES;
        if full && !self.entries.is_empty() {
            return false;
        }
        self.bytes += bytes;
        let value = found.value.as_ref().map(|value| value.to_vec());
        self.entries.push(EntryMessage { key: found.key.to_string(), index: found.index, value });
        true
    }
}

fn build(cache: &Cache, scope: &Scope, from: &Position, reset: bool) -> Chunk {
    let mut builder = ChunkBuilder::default();
    let mut next = from.clone();
    let mut done = false;
    if let Position::SnapshotKey { base, after } = from {
        let mut last = after.clone();
        let mut full = false;
        for found in cache.keys_after(after.as_deref()) {
            if scope.contains(&found.key) && !builder.try_push(&found) {
                full = true;
                break;
            }
            last = Some(found.key);
        }
        next =
            if full { Position::SnapshotKey { base: *base, after: last } } else { Position::at_index(*base) };
    }
    if let Position::Change { index, sub_index, through } = &mut next {
        done = true;
        for (at, found) in cache.changes_after(*index, *sub_index) {
            if scope.contains(&found.key) && !builder.try_push(&found) {
                done = false;
                break;
            }
            if found.index != *index {
                *through = *index;
            }
            (*index, *sub_index) = (found.index, at);
        }
    }
    if done {
        next = Position::at_index(cache.head());
    }
    let (after, through) = match &next {
        Position::SnapshotKey { base, after } => (after.as_ref().map(|after| after.to_string()), *base),
        Position::Change { through, .. } => (None, *through),
    };
    let (entries, head) = (builder.entries, cache.head());
    let changes = Changes { reset, after, through, done, entries, head, ..Changes::default() };
    Chunk { bytes: changes.encode_to_vec(), next, done }
}

/// Chunks built for the current head.
#[derive(Default)]
pub struct ChunkCache {
    chunks: BTreeMap<(u64, Position, bool), Arc<Chunk>>,
    /// Chunks built, and chunks reused.
    pub built: u64,
    pub reused: u64,
}

impl ChunkCache {
    /// To be called when the head has moved.
    pub fn clear(&mut self) {
        self.chunks.clear();
    }

    /// `scope_id` identifies the scope.
    pub fn chunk(
        &mut self,
        cache: &Cache,
        (scope_id, scope): (u64, &Scope),
        from: &Position,
        reset: bool,
    ) -> Arc<Chunk> {
        let key = (scope_id, from.clone(), reset);
        if let Some(chunk) = self.chunks.get(&key) {
            self.reused += 1;
            return chunk.clone();
        }
        let chunk = Arc::new(build(cache, scope, from, reset));
        if self.chunks.len() >= MAX_CACHED_CHUNKS {
            self.chunks.pop_first();
        }
        self.built += 1;
        self.chunks.insert(key, chunk.clone());
        chunk
    }
}
