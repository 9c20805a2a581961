//! A member's state file: its contents at a start, and appends to it.

use crate::messages::{self, DiskRecordKind, Hello, LogPosition};
use pewtergap_node::{Effect, Outbox};
use pewtergap_raft::{Index, Log, WalRecord};
use pewtergap_store::{WalFault, WalWriter};
use std::collections::{BTreeMap, VecDeque};

/// Contents of a state file.
#[derive(Debug, Default)]
pub struct Contents {
    pub identity: Option<Hello>,
    pub peer_starts: BTreeMap<String, Hello>,
    /// Start number that this planner used last.
    pub start_number: u64,
    pub commit_index: Index,
    pub log: Log,
    pub valid_len: u64,
    pub torn_tail: Option<String>,
}

/// Reads a state file; an error means damage, or a file that no version of this program wrote.
pub fn read(bytes: &[u8]) -> Result<Contents, WalFault> {
    let file = pewtergap_store::read_wal(bytes);
    let torn_tail = match file.fault {
        Some(WalFault::TornTail { .. }) => file.fault.as_ref().map(WalFault::to_string),
        Some(fault) => return Err(fault),
        None => None,
    };
    let unrecognized = |reason: String| WalFault::Unrecognized { reason };
    let mut contents = Contents { valid_len: file.valid_len, torn_tail, ..Contents::default() };
    let mut records: Vec<WalRecord> = Vec::new();
    for (position, bytes) in file.records.into_iter().enumerate() {
        let record = messages::record_from_bytes(bytes)
            .map_err(|e| unrecognized(format!("record {position}: {e}")))?;
        match record {
            DiskRecordKind::Identity(identity) => contents.identity = Some(identity),
            DiskRecordKind::PeerStart(hello) => drop(contents.peer_starts.insert(hello.name.clone(), hello)),
            DiskRecordKind::StartNumber(number) => {
                contents.start_number = contents.start_number.max(number.index)
            }
            DiskRecordKind::Committed(index) => contents.commit_index = contents.commit_index.max(index),
            other => records.extend(
                messages::decode_record(other)
                    .map_err(|e| unrecognized(format!("record {position}: {e}")))?,
            ),
        }
    }
    contents.log = Log::from_records(records).map_err(unrecognized)?;
    Ok(contents)
}

/// What a write was for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WritePurpose {
    /// A ticket of the Raft node.
    Raft(u64),
    /// The file was created or opened; from here on this member may send messages.
    FileReady,
    /// The number of a start.
    StartNumber,
    Other,
}

/// Pending writes in order, each with its purpose.
pub struct StateFile {
    name: String,
    wal: WalWriter,
    last_ticket: u64,
    pending: VecDeque<(u64, u64, WritePurpose)>,
    /// A write or sync failed; no later result is trusted.
    pub failed: bool,
}

impl StateFile {
    pub fn new(name: String) -> StateFile {
        StateFile { name, wal: WalWriter::default(), last_ticket: 0, pending: VecDeque::new(), failed: false }
    }

    /// Continues after the valid prefix; the results of pending writes are ignored.
    pub fn resume_at(&mut self, valid_len: u64) {
        self.wal = WalWriter { end: valid_len, synced_len: valid_len };
        self.pending.clear();
    }

    fn track(&mut self, purpose: WritePurpose) -> u64 {
        self.last_ticket += 1;
        self.pending.push_back((self.last_ticket, self.wal.end, purpose));
        self.last_ticket
    }

    pub fn append(&mut self, records: Vec<DiskRecordKind>, purpose: WritePurpose, out: &mut Outbox) {
        let records: Vec<Vec<u8>> = records.into_iter().map(messages::record_to_bytes).collect();
        let (at, bytes) = self.wal.encode_append(&records);
        let ticket = self.track(purpose);
        out.push(Effect::Append { name: self.name.clone(), at, bytes, ticket });
    }

    /// Replaces the whole file.
    pub fn replace(&mut self, records: Vec<DiskRecordKind>, purpose: WritePurpose, out: &mut Outbox) {
        let records: Vec<Vec<u8>> = records.into_iter().map(messages::record_to_bytes).collect();
        let bytes = self.wal.encode_new_file(&records);
        let ticket = self.track(purpose);
        out.push(Effect::ReplaceFile { name: self.name.clone(), bytes, ticket });
    }

    /// Returns the writes that are now durable. After an error the state on disk is unknown.
    pub fn on_synced(
        &mut self,
        ticket: u64,
        result: Result<(), String>,
    ) -> Result<Vec<WritePurpose>, String> {
        if let Err(reason) = result {
            self.failed = true;
            return Err(reason);
        }
        let mut done = Vec::new();
        while self.pending.front().is_some_and(|pending| pending.0 <= ticket) && !self.failed {
            if let Some((_, end, purpose)) = self.pending.pop_front() {
                // Once the file has been replaced, offsets in the old file have no meaning.
                if end <= self.wal.end {
                    self.wal.synced_len = end;
                }
                done.push(purpose);
            }
        }
        Ok(done)
    }
}

/// The records at the start of a file, before those of the log.
pub fn header_records(
    identity: &Hello,
    peer_starts: &BTreeMap<String, Hello>,
    start_number: u64,
) -> Vec<DiskRecordKind> {
    let mut records = vec![DiskRecordKind::Identity(identity.clone())];
    records.extend(peer_starts.values().cloned().map(DiskRecordKind::PeerStart));
    records.extend(
        (start_number > 0)
            .then_some(DiskRecordKind::StartNumber(LogPosition { term: 0, index: start_number })),
    );
    records
}
