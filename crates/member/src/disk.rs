//! A member's file: what is found in it at a start, and where the next rows go.

use crate::messages::{self, DiskRecordKind, Hello, LogPosition};
use pewtergap_node::{Effect, Outbox};
use pewtergap_raft::{Index, Log, WalRecord};
use pewtergap_store::{WalFault, WalWriter};
use std::collections::{BTreeMap, VecDeque};

/// What a file held.
#[derive(Debug, Default)]
pub struct Found {
    pub identity: Option<Hello>,
    pub seen: BTreeMap<String, Hello>,
    /// The number that this planner's last start had.
    pub number: u64,
    pub committed: Index,
    pub log: Log,
    pub whole: u64,
    pub torn: Option<String>,
}

/// Reads a file; an error is damage, or what no version of ours wrote.
pub fn open(bytes: &[u8]) -> Result<Found, WalFault> {
    let file = pewtergap_store::read_wal(bytes);
    let torn = match file.fault {
        Some(WalFault::TornTail { .. }) => file.fault.as_ref().map(WalFault::to_string),
        Some(fault) => return Err(fault),
        None => None,
    };
    let strange = |what: String| WalFault::Unrecognized { reason: what };
    let mut found = Found { whole: file.valid_len, torn, ..Found::default() };
    let mut rows: Vec<WalRecord> = Vec::new();
    for (at, bytes) in file.records.into_iter().enumerate() {
        let row = messages::record_from_bytes(bytes).map_err(|e| strange(format!("row {at}: {e}")))?;
        match row {
            DiskRecordKind::Identity(identity) => found.identity = Some(identity),
            DiskRecordKind::PeerSeen(hello) => drop(found.seen.insert(hello.name.clone(), hello)),
            DiskRecordKind::StartNumber(number) => found.number = found.number.max(number.index),
            DiskRecordKind::Committed(index) => found.committed = found.committed.max(index),
            other => {
                rows.extend(messages::decode_record(other).map_err(|e| strange(format!("row {at}: {e}")))?)
            }
        }
    }
    found.log = Log::from_records(rows).map_err(strange)?;
    Ok(found)
}

/// What a write was for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kept {
    /// The machine's ticket.
    Agreed(u64),
    /// The file as it was made or opened: from here on this member may speak.
    Opened,
    /// The number of a start.
    Number,
    Note,
}

/// Writes, in order, and what each was for.
pub struct Disk {
    name: String,
    pen: WalWriter,
    tickets: u64,
    waiting: VecDeque<(u64, u64, Kept)>,
    /// An error was told: nothing more is believed.
    pub failed: bool,
}

impl Disk {
    pub fn new(name: String) -> Disk {
        Disk { name, pen: WalWriter::default(), tickets: 0, waiting: VecDeque::new(), failed: false }
    }

    /// Goes on behind what is whole; what is still being written is of no concern any more.
    pub fn restart(&mut self, whole: u64) {
        self.pen = WalWriter { end: whole, synced_len: whole };
        self.waiting.clear();
    }

    fn note(&mut self, what: Kept) -> u64 {
        self.tickets += 1;
        self.waiting.push_back((self.tickets, self.pen.end, what));
        self.tickets
    }

    pub fn add(&mut self, rows: Vec<DiskRecordKind>, what: Kept, out: &mut Outbox) {
        let rows: Vec<Vec<u8>> = rows.into_iter().map(messages::record_to_bytes).collect();
        let (at, bytes) = self.pen.encode_append(&rows);
        let ticket = self.note(what);
        out.push(Effect::Append { name: self.name.clone(), at, bytes, ticket });
    }

    /// In place of all that was written before.
    pub fn anew(&mut self, rows: Vec<DiskRecordKind>, what: Kept, out: &mut Outbox) {
        let rows: Vec<Vec<u8>> = rows.into_iter().map(messages::record_to_bytes).collect();
        let bytes = self.pen.encode_new_file(&rows);
        let ticket = self.note(what);
        out.push(Effect::ReplaceFile { name: self.name.clone(), bytes, ticket });
    }

    /// What is on disk now; an error ends all belief in it.
    pub fn synced(&mut self, ticket: u64, result: Result<(), String>) -> Result<Vec<Kept>, String> {
        if let Err(why) = result {
            self.failed = true;
            return Err(why);
        }
        let mut done = Vec::new();
        while self.waiting.front().is_some_and(|waiting| waiting.0 <= ticket) && !self.failed {
            if let Some((_, at, what)) = self.waiting.pop_front() {
                // After a file was made anew, places in the old one say nothing.
                if at <= self.pen.end {
                    self.pen.synced_len = at;
                }
                done.push(what);
            }
        }
        Ok(done)
    }
}

/// All but the log that belongs at the head of a file.
pub fn head(identity: &Hello, seen: &BTreeMap<String, Hello>, number: u64) -> Vec<DiskRecordKind> {
    let mut rows = vec![DiskRecordKind::Identity(identity.clone())];
    rows.extend(seen.values().cloned().map(DiskRecordKind::PeerSeen));
    rows.extend((number > 0).then_some(DiskRecordKind::StartNumber(LogPosition { term: 0, index: number })));
    rows
}
