//! The log in memory: entries after a base, and who belongs by the newest entry that says so.

use crate::{Body, Entry, Id, Index, Members, Term, WalRecord};
use std::collections::VecDeque;

/// All that entries up to an index led to.
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
    /// The entry before the first that is held.
    base: (Term, Index),
    entries: VecDeque<Entry>,
    pub snapshot: Option<Snapshot>,
    /// The entry that said who belongs (0: nobody has), and who.
    pub members: (Index, Members),
}

impl Log {
    /// From what a disk holds, in its order. Rows that cannot follow what was before are an error: the store has
    /// checked that they are whole, so this would be a fault of the program.
    pub fn from_records(rows: impl IntoIterator<Item = WalRecord>) -> Result<Log, String> {
        let mut log = Log::default();
        for row in rows {
            match row {
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

    /// The term of an entry; nothing if it lies before the base or after the end.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        match index.checked_sub(self.base.1)? {
            0 => Some(self.base.0),
            at => self.entries.get(at as usize - 1).map(|entry| entry.term),
        }
    }

    pub fn get(&self, index: Index) -> Option<&Entry> {
        self.entries.get(index.checked_sub(self.base.1 + 1)? as usize)
    }

    /// Entries from an index on, as many as the bytes allow, one at least.
    pub fn entries_from(&self, index: Index, most: usize) -> Vec<Entry> {
        let mut bytes = 0;
        let from = (index - self.base.1 - 1) as usize;
        let fits = |entry: &&Entry| {
            let first = bytes == 0;
            bytes += entry.size();
            first || bytes <= most
        };
        self.entries.iter().skip(from).take_while(fits).cloned().collect()
    }

    pub fn push(&mut self, entry: Entry) -> Index {
        if let Body::Members(members) = &entry.body {
            self.members = (self.last().1 + 1, members.clone());
        }
        self.entries.push_back(entry);
        self.last().1
    }

    /// Drops the entry of this index and all after it.
    pub fn truncate_from(&mut self, index: Index) {
        self.entries.truncate((index - self.base.1 - 1) as usize);
        if self.members.0 >= index {
            self.members = self.members_at(index - 1);
        }
    }

    /// Who belongs by the entries up to an index.
    pub fn members_at(&self, upto: Index) -> (Index, Members) {
        let from_snapshot = self.snapshot.as_ref().map(|snapshot| (snapshot.index, snapshot.members.clone()));
        let held = (self.base.1 + 1..=upto).rev().find_map(|index| match &self.get(index)?.body {
            Body::Members(members) => Some((index, members.clone())),
            _ => None,
        });
        // A snapshot may reach beyond the base: what is newer counts.
        held.into_iter().chain(from_snapshot).max_by_key(|said| said.0).unwrap_or_default()
    }

    /// A snapshot takes the place of the entries up to `base`, which is no further than it reaches.
    pub fn compact(&mut self, snapshot: Snapshot, base: Index) {
        let base = base.max(self.base.1);
        if let Some(term) = self.term_at(base) {
            self.entries.drain(..(base - self.base.1) as usize);
            self.base = (term, base);
        }
        self.snapshot = Some(snapshot);
    }

    /// A snapshot takes the place of everything.
    pub fn restore(&mut self, snapshot: Snapshot) {
        self.entries.clear();
        self.base = (snapshot.term, snapshot.index);
        self.members = (snapshot.index, snapshot.members.clone());
        self.snapshot = Some(snapshot);
    }

    /// All that has to be on a disk, shortest first.
    pub fn to_records(&self) -> Vec<WalRecord> {
        let from = self.snapshot.as_ref().map_or(self.base.1, |snapshot| snapshot.index);
        let mut rows: Vec<WalRecord> = self.snapshot.iter().cloned().map(WalRecord::Snapshot).collect();
        rows.push(WalRecord::HardState { term: self.term, vote: self.voted_for });
        let entries = (from + 1..=self.last().1).filter_map(|index| {
            self.get(index).map(|entry| WalRecord::Entry { index, entry: entry.clone() })
        });
        rows.extend(entries);
        rows
    }
}

impl Entry {
    /// About what it takes on a link.
    pub fn size(&self) -> usize {
        16 + match &self.body {
            Body::Empty => 0,
            Body::Command(bytes) => bytes.len(),
            Body::Members(members) => members.list.iter().map(|m| 24 + m.name.len() + m.address.len()).sum(),
        }
    }
}
