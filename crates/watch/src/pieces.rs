//! What is told next to a watcher at a position, as a piece of at most [`MOST_ENTRIES`] entries and [`MOST_PIECE`] bytes.
//!
//! Watchers of one scope at one position are told the same bytes: a piece is made once and shared until the head moves.
//! A walk passes over what is out of scope at the cost of looking at it; a piece costs no more than one look at each key.

use crate::cache::{Cache, Found};
use crate::messages::{Changes, EntryMessage, MOST_ENTRIES, MOST_PIECE};
use crate::scope::Scope;
use prost::encoding::{encode_key, encode_varint, encoded_len_varint, WireType};
use prost::Message;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Pieces that are kept to be shared.
const MOST_SHARED: usize = 64;

/// How far a watcher has been told.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Position {
    /// Of a snapshot that began at `base` all keys up to this one.
    Keys { base: u64, after: Option<Arc<str>> },
    /// All up to this place, and of its keys so many; all of the places up to `through` for certain.
    Beyond { index: u64, within: u32, through: u64 },
}

impl Position {
    /// All up to a place.
    pub fn at(index: u64) -> Position {
        Position::Beyond { index, within: u32::MAX, through: index }
    }

    /// What went since can't be told any more from here.
    pub fn lost(&self, cache: &Cache) -> bool {
        match self {
            Position::Keys { base, .. } => *base < cache.forgotten(),
            Position::Beyond { index, within, .. } => (*index, *within) < (cache.forgotten(), u32::MAX),
        }
    }
}

#[derive(Debug)]
pub struct Piece {
    /// `Changes` without what is each link's own.
    bytes: Vec<u8>,
    pub next: Position,
    pub done: bool,
}

impl Piece {
    /// The frame for one link. Fields of a message may come in any order, so that each link's own are put before what all share.
    pub fn frame(&self, number: u64, scope: u64) -> Vec<u8> {
        const CHANGES: u32 = 4;
        let own = Changes { number, scope, ..Changes::default() }.encode_to_vec();
        let body = own.len() + self.bytes.len();
        let word = 1 + encoded_len_varint(body as u64) + body;
        let mut frame = Vec::with_capacity(4 + word);
        frame.extend_from_slice(&(word as u32).to_be_bytes());
        encode_key(CHANGES, WireType::LengthDelimited, &mut frame);
        encode_varint(body as u64, &mut frame);
        frame.extend_from_slice(&own);
        frame.extend_from_slice(&self.bytes);
        frame
    }
}

#[derive(Default)]
struct Filling {
    entries: Vec<EntryMessage>,
    bytes: usize,
}

impl Filling {
    /// False: it is full. A single entry always fits.
    fn take(&mut self, found: &Found) -> bool {
        let bytes = found.key.len() + found.value.as_ref().map_or(0, |value| value.len()) + 16;
        let full = self.entries.len() >= MOST_ENTRIES || self.bytes + bytes > MOST_PIECE;
        if full && !self.entries.is_empty() {
            return false;
        }
        self.bytes += bytes;
        let value = found.value.as_ref().map(|value| value.to_vec());
        self.entries.push(EntryMessage { key: found.key.to_string(), index: found.index, value });
        true
    }
}

fn make(cache: &Cache, scope: &Scope, from: &Position, reset: bool) -> Piece {
    let mut filling = Filling::default();
    let mut next = from.clone();
    let mut done = false;
    if let Position::Keys { base, after } = from {
        let mut last = after.clone();
        let mut full = false;
        for found in cache.after(after.as_deref()) {
            if scope.contains(&found.key) && !filling.take(&found) {
                full = true;
                break;
            }
            last = Some(found.key);
        }
        next = if full { Position::Keys { base: *base, after: last } } else { Position::at(*base) };
    }
    if let Position::Beyond { index, within, through } = &mut next {
        done = true;
        for (at, found) in cache.beyond(*index, *within) {
            if scope.contains(&found.key) && !filling.take(&found) {
                done = false;
                break;
            }
            if found.index != *index {
                *through = *index;
            }
            (*index, *within) = (found.index, at);
        }
    }
    if done {
        next = Position::at(cache.head());
    }
    let (after, through) = match &next {
        Position::Keys { base, after } => (after.as_ref().map(|after| after.to_string()), *base),
        Position::Beyond { through, .. } => (None, *through),
    };
    let (entries, head) = (filling.entries, cache.head());
    let changes = Changes { reset, after, through, done, entries, head, ..Changes::default() };
    Piece { bytes: changes.encode_to_vec(), next, done }
}

/// Pieces of the head as it is.
#[derive(Default)]
pub struct Shared {
    pieces: BTreeMap<(u64, Position, bool), Arc<Piece>>,
    /// Made, and told from what was made already.
    pub made: u64,
    pub shared: u64,
}

impl Shared {
    /// The head has moved.
    pub fn clear(&mut self) {
        self.pieces.clear();
    }

    /// `known` stands for the scope.
    pub fn piece(
        &mut self,
        cache: &Cache,
        (known, scope): (u64, &Scope),
        from: &Position,
        reset: bool,
    ) -> Arc<Piece> {
        let key = (known, from.clone(), reset);
        if let Some(piece) = self.pieces.get(&key) {
            self.shared += 1;
            return piece.clone();
        }
        let piece = Arc::new(make(cache, scope, from, reset));
        if self.pieces.len() >= MOST_SHARED {
            self.pieces.pop_first();
        }
        self.made += 1;
        self.pieces.insert(key, piece.clone());
        piece
    }
}
