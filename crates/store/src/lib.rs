//! The format of a member's log file: a magic number, then records, each with a length, a checksum and the length up
//! to which the file was known to be synced when the record was written. Works on bytes; the caller does the I/O.
//!
//! Only intact records are trusted. A file that ends inside a record, or in zeros where a record was never written, was
//! cut off during a write: nothing of that was reported as synced, so the tail is truncated and reported. A complete
//! record with a wrong checksum, or a damaged one before a position that was synced, is corruption: truncating there
//! would lose data that was acknowledged. Such a file is refused, and the error names the record.
#![forbid(unsafe_code)]

use std::fmt;

const MAGIC: &[u8; 8] = b"pgrec\0\0\x01";
/// Length, checksum, synced length.
const HEADER_LEN: usize = 16;
/// A longer length field does not come from this program.
pub const MAX_RECORD_LEN: usize = 512 * 1024 * 1024;
/// Disks write whole sectors; sectors never written read as zeros.
const SECTOR_BYTES: usize = 512;

/// What is wrong with a file or its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WalFault {
    /// The file ends inside a record that starts at `offset`; all earlier records are intact.
    TornTail { offset: u64, lost_bytes: u64 },
    /// A record that may have been acknowledged is damaged.
    Corrupt { record: usize, offset: u64 },
    /// Not a log file, or one in a newer format.
    Unrecognized { reason: String },
}

impl fmt::Display for WalFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WalFault::TornTail { offset, lost_bytes } => {
                write!(f, "cut off at byte {offset}, {lost_bytes} bytes that were not synced")
            }
            WalFault::Corrupt { record, offset } => {
                write!(f, "row {record} at byte {offset} does not fit its checksum")
            }
            WalFault::Unrecognized { reason } => write!(f, "{reason}"),
        }
    }
}

#[derive(Debug, PartialEq, Eq)]
pub struct WalContents<'a> {
    pub records: Vec<&'a [u8]>,
    /// The file is intact up to this length.
    pub valid_len: u64,
    pub fault: Option<WalFault>,
}

/// Where the next record goes, and how much of the file is known to be on disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WalWriter {
    pub end: u64,
    pub synced_len: u64,
}

impl WalWriter {
    /// The contents of a new file with these records.
    pub fn encode_new_file(&mut self, records: &[Vec<u8>]) -> Vec<u8> {
        let mut bytes = MAGIC.to_vec();
        (self.end, self.synced_len) = (MAGIC.len() as u64, 0);
        bytes.extend(self.encode_append(records).1);
        bytes
    }

    /// The offset to write these records at, and their bytes.
    pub fn encode_append(&mut self, records: &[Vec<u8>]) -> (u64, Vec<u8>) {
        let offset = self.end;
        let mut bytes = Vec::with_capacity(records.iter().map(|record| HEADER_LEN + record.len()).sum());
        for record in records {
            bytes.extend((record.len() as u32).to_le_bytes());
            bytes.extend(checksum(self.synced_len, record).to_le_bytes());
            bytes.extend(self.synced_len.to_le_bytes());
            bytes.extend(record);
        }
        self.end += bytes.len() as u64;
        (offset, bytes)
    }
}

fn checksum(synced_len: u64, record: &[u8]) -> u32 {
    let mut sum = crc32fast::Hasher::new();
    sum.update(&synced_len.to_le_bytes());
    sum.update(&(record.len() as u32).to_le_bytes());
    sum.update(record);
    sum.finalize()
}

/// The record at an offset and its synced length, if it is intact.
fn record_at(bytes: &[u8], offset: usize) -> Option<(&[u8], u64)> {
    let header = bytes.get(offset..offset + HEADER_LEN)?;
    let len = u32::from_le_bytes(header[..4].try_into().ok()?) as usize;
    let expected = u32::from_le_bytes(header[4..8].try_into().ok()?);
    let synced_len = u64::from_le_bytes(header[8..].try_into().ok()?);
    // The cheap test comes first: random bytes rarely give a synced length below their own offset.
    if synced_len > offset as u64 || len > MAX_RECORD_LEN {
        return None;
    }
    let body = bytes.get(offset + HEADER_LEN..offset + HEADER_LEN + len)?;
    (checksum(synced_len, body) == expected).then_some((body, synced_len))
}

pub fn read_wal(bytes: &[u8]) -> WalContents<'_> {
    let empty = |fault| WalContents { records: Vec::new(), valid_len: 0, fault };
    if bytes.len() < MAGIC.len() {
        let lost_bytes = bytes.len() as u64;
        return empty(Some(WalFault::TornTail { offset: 0, lost_bytes }));
    }
    if &bytes[..MAGIC.len()] != MAGIC {
        let newer = bytes[..5] == MAGIC[..5];
        let reason = if newer { "written by another version of the program" } else { "no file of a member" };
        return empty(Some(WalFault::Unrecognized { reason: reason.into() }));
    }
    let (mut records, mut offset) = (Vec::new(), MAGIC.len());
    while let Some((body, _)) = record_at(bytes, offset) {
        records.push(body);
        offset += HEADER_LEN + body.len();
    }
    let fault = (offset < bytes.len()).then(|| classify_fault(bytes, offset, records.len()));
    WalContents { records, valid_len: offset as u64, fault }
}

/// Decides what the first record that is not intact means.
fn classify_fault(bytes: &[u8], offset: usize, count: usize) -> WalFault {
    let corrupt = WalFault::Corrupt { record: count, offset: offset as u64 };
    // A later record that was written when this offset was known to be on disk.
    let later = (offset + 1..bytes.len())
        .find_map(|from| record_at(bytes, from).filter(|record| record.1 > offset as u64));
    if later.is_some() {
        return corrupt;
    }
    let stored_len =
        bytes.get(offset..offset + 4).and_then(|head| head.try_into().ok()).map(u32::from_le_bytes);
    let complete = stored_len.is_some_and(|length| offset + HEADER_LEN + length as usize <= bytes.len());
    let unwritten = bytes[offset..].chunks(SECTOR_BYTES).any(|sector| sector.iter().all(|byte| *byte == 0))
        || bytes[offset..].iter().rev().take(HEADER_LEN).all(|byte| *byte == 0);
    if complete && !unwritten {
        return corrupt;
    }
    WalFault::TornTail { offset: offset as u64, lost_bytes: (bytes.len() - offset) as u64 }
}
