//! The log in memory: the entries after a base index and the membership they imply.

use crate::{Body, Entry, Id, Index, Members, Term, WalRecord};
use std::collections::VecDeque;

/// The state that results from all entries up to an index.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    pub index: Index,
    pub term: Term,
    pub members: Members,
    pub data: Vec<u8>,
}

#[derive(Clone, Debug, Default)]
pub struct Log {
    pub term: Term,
    pub voted_for: Id,
    /// The entry before the first one held.
    base: (Term, Index),
    entries: VecDeque<Entry>,
    pub snapshot: Option<Snapshot>,
    /// The index of the entry that set the membership (0: none has), and the membership.
    pub members: (Index, Members),
}

impl Log {
    /// Rebuilds the log from a disk's records, in order. A record that cannot follow its predecessors is an
    /// error: the store has checked that the records are intact, so this would be a bug.
    pub fn from_records(records: impl IntoIterator<Item = WalRecord>) -> Result<Log, String> {
        let mut log = Log::default();
        for record in records {
            match record {
                WalRecord::HardState { term, vote } if term < log.term => {
                    return Err(format!("term {term} (vote {vote}) after term {}", log.term));
                }
                WalRecord::HardState { term, vote } => (log.term, log.voted_for) = (term, vote),
                WalRecord::Snapshot(snapshot) => log.restore(snapshot),
                WalRecord::Entry { index, entry } => {
                    if index <= log.base.1 || index > log.last().1 + 1 {
                        return Err(format!("entry {index} after entry {}", log.last().1));
                    }
                    log.truncate_from(index);
                    log.push(entry);
                }
            }
        }
        Ok(log)
    }

    pub fn last(&self) -> (Term, Index) {
        let index = self.base.1 + self.entries.len() as Index;
        (self.entries.back().map_or(self.base.0, |entry| entry.term), index)
    }

    pub fn base(&self) -> Index {
        self.base.1
    }

    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// The term of an entry; `None` before the base or after the end.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        match index.checked_sub(self.base.1)? {
            0 => Some(self.base.0),
            at => self.entries.get(at as usize - 1).map(|entry| entry.term),
        }
    }

    pub fn get(&self, index: Index) -> Option<&Entry> {
        self.entries.get(index.checked_sub(self.base.1 + 1)? as usize)
    }

    /// Entries from an index on, limited by their size in bytes but at least one.
    pub fn entries_from(&self, index: Index, max_bytes: usize) -> Vec<Entry> {
        let mut bytes = 0;
        let start = (index - self.base.1 - 1) as usize;
        let fits = |entry: &&Entry| {
            let first = bytes == 0;
            bytes += entry.size();
            first || bytes <= max_bytes
        };
        self.entries.iter().skip(start).take_while(fits).cloned().collect()
    }

    pub fn push(&mut self, entry: Entry) -> Index {
        if let Body::Members(members) = &entry.body {
            self.members = (self.last().1 + 1, members.clone());
        }
        self.entries.push_back(entry);
        self.last().1
    }

    /// Drops the entry at this index and all later ones.
    pub fn truncate_from(&mut self, index: Index) {
        self.entries.truncate((index - self.base.1 - 1) as usize);
        if self.members.0 >= index {
            self.members = self.members_at(index - 1);
        }
    }

    /// The membership according to the entries up to an index.
    pub fn members_at(&self, last: Index) -> (Index, Members) {
        let from_snapshot = self.snapshot.as_ref().map(|snapshot| (snapshot.index, snapshot.members.clone()));
        let from_entries = (self.base.1 + 1..=last).rev().find_map(|index| match &self.get(index)?.body {
            Body::Members(members) => Some((index, members.clone())),
            _ => None,
        });
        // A snapshot may reach beyond the base, so the newer of both wins.
        from_entries.into_iter().chain(from_snapshot).max_by_key(|found| found.0).unwrap_or_default()
    }

    /// Replaces the entries up to `base` by a snapshot that covers at least these.
    pub fn compact(&mut self, snapshot: Snapshot, base: Index) {
        let base = base.max(self.base.1);
        if let Some(term) = self.term_at(base) {
            self.entries.drain(..(base - self.base.1) as usize);
            self.base = (term, base);
        }
        self.snapshot = Some(snapshot);
    }

    /// Replaces the whole log by a snapshot.
    pub fn restore(&mut self, snapshot: Snapshot) {
        self.entries.clear();
        self.base = (snapshot.term, snapshot.index);
        self.members = (snapshot.index, snapshot.members.clone());
        self.snapshot = Some(snapshot);
    }

    /// The shortest sequence of records that restores this log.
    pub fn to_records(&self) -> Vec<WalRecord> {
        let from = self.snapshot.as_ref().map_or(self.base.1, |snapshot| snapshot.index);
        let mut records: Vec<WalRecord> = self.snapshot.iter().cloned().map(WalRecord::Snapshot).collect();
        records.push(WalRecord::HardState { term: self.term, vote: self.voted_for });
        let entries = (from + 1..=self.last().1).filter_map(|index| {
            self.get(index).map(|entry| WalRecord::Entry { index, entry: entry.clone() })
        });
        records.extend(entries);
        records
    }
}

impl Entry {
    /// The approximate size on the wire.
    pub fn size(&self) -> usize {
        16 + match &self.body {
            Body::Empty => 0,
            Body::Command(bytes) => bytes.len(),
            Body::Members(members) => members.list.iter().map(|m| 24 + m.name.len() + m.address.len()).sum(),
        }
    }
}
