//! What the record says, by key and by the place that changed each key last.
//!
//! | input | next | who is behind it |
//! | --- | --- | --- |
//! | a key changes at a place, to whatever value | it stands there, and no longer where it stood | watchers below that place |
//! | a key goes at a place | a tombstone stands there | as above |
//! | more tombstones than [`MOST_TOMBSTONES`] | the oldest is forgotten, `forgotten` is its place | who is below it begins anew |
//! | a key goes that never stood here | a tombstone: elsewhere it may have stood in between, and been told | as above |
//! | the whole of another place | what differs changes there; `forgotten` is that place | all below it begin anew |

use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};
use std::sync::Arc;

/// Keys that are gone and remembered as such; who was away for longer gets a snapshot.
pub const MOST_TOMBSTONES: usize = 10_000;

#[derive(Clone, Debug, PartialEq, Eq)]
struct Entry {
    position: (u64, u32),
    /// None: a tombstone.
    value: Option<Arc<[u8]>>,
}

/// What a walk comes upon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Found {
    pub key: Arc<str>,
    pub index: u64,
    pub value: Option<Arc<[u8]>>,
}

#[derive(Clone, Debug)]
pub struct Cache {
    max_tombstones: usize,
    head: u64,
    forgotten: u64,
    entries: BTreeMap<Arc<str>, Entry>,
    /// Places, and which of a place: several keys may change at one.
    order: BTreeMap<(u64, u32), Arc<str>>,
    tombstones: BTreeMap<(u64, u32), ()>,
}

impl Default for Cache {
    fn default() -> Cache {
        Cache::remembering(MOST_TOMBSTONES)
    }
}

impl Cache {
    /// So many keys that are gone.
    pub fn remembering(max_tombstones: usize) -> Cache {
        let (entries, order, tombstones) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Cache { max_tombstones, head: 0, forgotten: 0, entries, order, tombstones }
    }

    /// The place that is applied.
    pub fn head(&self) -> u64 {
        self.head
    }

    /// A cursor below it may have missed that a key went.
    pub fn forgotten(&self) -> u64 {
        self.forgotten
    }

    /// Keys that stand, and all bytes of theirs.
    pub fn size(&self) -> (usize, usize) {
        let standing = self.entries.iter().filter_map(|(key, entry)| Some((key, entry.value.as_ref()?)));
        standing.fold((0, 0), |(keys, bytes), (key, value)| (keys + 1, bytes + key.len() + value.len()))
    }

    /// What the commands up to this place changed; a place at or below the head changes nothing. Several places may come
    /// as one. What was told of one of those by another machine is not known here: so a change to the value that stood
    /// already, and the end of a key that did not stand, count as changes too.
    pub fn apply(&mut self, index: u64, changes: impl IntoIterator<Item = (String, Option<Vec<u8>>)>) {
        if index <= self.head {
            return;
        }
        self.head = index;
        for (key, value) in changes {
            self.put(index, key.as_str().into(), value.map(Arc::from));
        }
        while self.tombstones.len() > self.max_tombstones {
            let Some((at, ())) = self.tombstones.pop_first() else { break };
            self.forgotten = self.forgotten.max(at.0);
            if let Some(key) = self.order.remove(&at) {
                self.entries.remove(&key);
            }
        }
    }

    /// All that stands at a place, where the way to it is not known: the record was read from a snapshot.
    pub fn restore(&mut self, index: u64, all: BTreeMap<String, Vec<u8>>) {
        if index < self.head {
            return;
        }
        let gone: Vec<Arc<str>> =
            self.entries.keys().filter(|key| !all.contains_key(&***key)).cloned().collect();
        for key in gone {
            if let Some(entry) = self.entries.remove(&key) {
                self.order.remove(&entry.position);
                self.tombstones.remove(&entry.position);
            }
        }
        for (key, value) in all {
            // Whoever is below this place begins anew: nobody needs to be told what says what was said.
            let stands = self.entries.get(key.as_str()).and_then(|entry| entry.value.as_deref());
            if stands != Some(&value[..]) {
                self.put(index, key.as_str().into(), Some(value.into()));
            }
        }
        (self.head, self.forgotten) = (index, index);
    }

    fn put(&mut self, index: u64, key: Arc<str>, value: Option<Arc<[u8]>>) {
        if let Some(stood) = self.entries.get(&key) {
            self.order.remove(&stood.position);
            self.tombstones.remove(&stood.position);
        }
        let last = self.order.range((index, 0)..=(index, u32::MAX)).next_back();
        let at = (index, last.map_or(0, |(at, _)| at.1 + 1));
        if value.is_none() {
            self.tombstones.insert(at, ());
        }
        self.order.insert(at, key.clone());
        self.entries.insert(key, Entry { position: at, value });
    }

    /// What changed beyond a place, or within it beyond a count of its keys, in order; what went is told as gone.
    pub fn beyond(&self, index: u64, within: u32) -> impl Iterator<Item = (u32, Found)> + '_ {
        self.order.range((Excluded((index, within)), Unbounded)).filter_map(|(at, key)| {
            let value = self.entries.get(key)?.value.clone();
            Some((at.1, Found { key: key.clone(), index: at.0, value }))
        })
    }

    /// The keys that stand, in their order, after one of them; none: from the first.
    pub fn after(&self, key: Option<&str>) -> impl Iterator<Item = Found> + '_ {
        let from = key.map_or(Unbounded, Excluded);
        self.entries.range::<str, _>((from, Unbounded)).filter(|(_, entry)| entry.value.is_some()).map(
            |(key, entry)| Found { key: key.clone(), index: entry.position.0, value: entry.value.clone() },
        )
    }
}
