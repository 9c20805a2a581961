//! The current state of the record, by key and by the index of the entry that last changed each key.
//!
//! | input | effect | watchers affected |
//! | --- | --- | --- |
//! | a key is set at an index, to any value | the key moves to that index | those below that index |
//! | a key is deleted at an index | a tombstone is stored at that index | as above |
//! | more tombstones than [`MAX_TOMBSTONES`] | the oldest is removed and `compacted_index` becomes its index | those below it need a snapshot |
//! | a key that is unknown here is deleted | a tombstone: another machine may have sent the key in between | as above |
//! | full state at another index | what differs changes there; `compacted_index` becomes that index | all below it need a snapshot |

use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};
use std::sync::Arc;

/// Default for the tombstones kept. A watcher that is behind the oldest one gets a snapshot.
pub const MAX_TOMBSTONES: usize = 10_000;

#[derive(Clone, Debug, PartialEq, Eq)]
struct Entry {
    position: (u64, u32),
    /// `None` is a tombstone.
    value: Option<Arc<[u8]>>,
}

/// A key as it is returned by an iteration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheEntry {
    pub key: Arc<str>,
    pub index: u64,
    pub value: Option<Arc<[u8]>>,
}

#[derive(Clone, Debug)]
pub struct Cache {
    max_tombstones: usize,
    head: u64,
    compacted_index: u64,
    entries: BTreeMap<Arc<str>, Entry>,
    /// Keys by index and by their number within the index: several keys may change at one index.
    by_position: BTreeMap<(u64, u32), Arc<str>>,
    tombstones: BTreeMap<(u64, u32), ()>,
}

impl Default for Cache {
    fn default() -> Cache {
        Cache::with_max_tombstones(MAX_TOMBSTONES)
    }
}

impl Cache {
    pub fn with_max_tombstones(max_tombstones: usize) -> Cache {
        let (entries, by_position, tombstones) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Cache { max_tombstones, head: 0, compacted_index: 0, entries, by_position, tombstones }
    }

    /// The last index that was applied.
    pub fn head(&self) -> u64 {
        self.head
    }

    /// A cursor below this index may have missed a deletion.
    pub fn compacted_index(&self) -> u64 {
        self.compacted_index
    }

    /// Number of live keys, and the bytes of these keys and their values.
    pub fn live_size(&self) -> (usize, usize) {
        let live = self.entries.iter().filter_map(|(key, entry)| Some((key, entry.value.as_ref()?)));
        live.fold((0, 0), |(keys, bytes), (key, value)| (keys + 1, bytes + key.len() + value.len()))
    }

    /// Applies the changes of all commands up to `index`; an index at or below the head is ignored. Several
    /// indexes may be applied at once. Another machine may have sent an intermediate state that is unknown
    /// here, so setting a key to its present value and deleting an absent key count as changes too.
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
            self.compacted_index = self.compacted_index.max(at.0);
            if let Some(key) = self.by_position.remove(&at) {
                self.entries.remove(&key);
            }
        }
    }

    /// Replaces the state by a full one whose intermediate changes are unknown, as after the record was read
    /// from a snapshot.
    pub fn restore(&mut self, index: u64, all: BTreeMap<String, Vec<u8>>) {
        if index < self.head {
            return;
        }
        let deleted: Vec<Arc<str>> =
            self.entries.keys().filter(|key| !all.contains_key(&***key)).cloned().collect();
        for key in deleted {
            if let Some(entry) = self.entries.remove(&key) {
                self.by_position.remove(&entry.position);
                self.tombstones.remove(&entry.position);
            }
        }
        for (key, value) in all {
            // Watchers below this index get a snapshot, so unchanged values need not be sent again.
            let current = self.entries.get(key.as_str()).and_then(|entry| entry.value.as_deref());
            if current != Some(&value[..]) {
                self.put(index, key.as_str().into(), Some(value.into()));
            }
        }
        (self.head, self.compacted_index) = (index, index);
    }

    fn put(&mut self, index: u64, key: Arc<str>, value: Option<Arc<[u8]>>) {
        if let Some(previous) = self.entries.get(&key) {
            self.by_position.remove(&previous.position);
            self.tombstones.remove(&previous.position);
        }
        let last = self.by_position.range((index, 0)..=(index, u32::MAX)).next_back();
        let at = (index, last.map_or(0, |(at, _)| at.1 + 1));
        if value.is_none() {
            self.tombstones.insert(at, ());
        }
        self.by_position.insert(at, key.clone());
        self.entries.insert(key, Entry { position: at, value });
    }

    /// Changes after key number `sub_index` of an index, in order; deletions have no value.
    pub fn changes_after(&self, index: u64, sub_index: u32) -> impl Iterator<Item = (u32, CacheEntry)> + '_ {
        self.by_position.range((Excluded((index, sub_index)), Unbounded)).filter_map(|(at, key)| {
            let value = self.entries.get(key)?.value.clone();
            Some((at.1, CacheEntry { key: key.clone(), index: at.0, value }))
        })
    }

    /// Live keys in key order after `key`, or from the first.
    pub fn keys_after(&self, key: Option<&str>) -> impl Iterator<Item = CacheEntry> + '_ {
        let from = key.map_or(Unbounded, Excluded);
        self.entries.range::<str, _>((from, Unbounded)).filter(|(_, entry)| entry.value.is_some()).map(
            |(key, entry)| CacheEntry {
                key: key.clone(),
                index: entry.position.0,
                value: entry.value.clone(),
            },
        )
    }
}
