//! The form of a member's file: a head, then rows, each with a length, a checksum and the length up to which the
//! file was known to be on disk when the row was written. Bytes in, bytes out; reading and writing is the driver's.
//!
//! What of a file can be believed: whole rows. A file that ends within a row, or in zeros that a row never was
//! written over, was cut off while it was written: nothing of that was answered as synced, it is cut back and said.
//! A row that is all there and does not fit its checksum, or one before a place that was synced, is damage: to cut
//! there would forget what was promised. The file is refused and the row named.
#![forbid(unsafe_code)]

use std::fmt;

const MAGIC: &[u8; 8] = b"pgrec\0\0\x01";
/// Length, checksum, synced length.
const HEAD: usize = 16;
/// A row beyond this is none of ours.
pub const MAX_RECORD_LEN: usize = 512 * 1024 * 1024;
/// A disk writes sectors; what was never written reads as zeros.
const SECTOR: usize = 512;

/// How a file ends, or what is wrong with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WalFault {
    /// Cut off within a row, at this byte; the rows before it are whole.
    TornTail { offset: u64, lost_bytes: u64 },
    /// A row that was kept is damaged.
    Corrupt { record: usize, offset: u64 },
    /// No file of ours, or of a newer form.
    Unrecognized { reason: String },
}

impl fmt::Display for WalFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WalFault::TornTail { offset: at, lost_bytes: lost } => {
                write!(f, "cut off at byte {at}, {lost} bytes that were not synced")
            }
            WalFault::Corrupt { record: row, offset: at } => {
                write!(f, "row {row} at byte {at} does not fit its checksum")
            }
            WalFault::Unrecognized { reason: what } => write!(f, "{what}"),
        }
    }
}

#[derive(Debug, PartialEq, Eq)]
pub struct WalContents<'a> {
    pub records: Vec<&'a [u8]>,
    /// Up to here the file is whole.
    pub valid_len: u64,
    pub fault: Option<WalFault>,
}

/// Where the next row goes, and what is known to be on disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WalWriter {
    pub end: u64,
    pub synced_len: u64,
}

impl WalWriter {
    /// The bytes of a fresh file with these rows.
    pub fn encode_new_file(&mut self, rows: &[Vec<u8>]) -> Vec<u8> {
        let mut bytes = MAGIC.to_vec();
        (self.end, self.synced_len) = (MAGIC.len() as u64, 0);
        bytes.extend(self.encode_append(rows).1);
        bytes
    }

    /// Where these rows go, and their bytes.
    pub fn encode_append(&mut self, rows: &[Vec<u8>]) -> (u64, Vec<u8>) {
        let from = self.end;
        let mut bytes = Vec::with_capacity(rows.iter().map(|row| HEAD + row.len()).sum());
        for row in rows {
            bytes.extend((row.len() as u32).to_le_bytes());
            bytes.extend(sum(self.synced_len, row).to_le_bytes());
            bytes.extend(self.synced_len.to_le_bytes());
            bytes.extend(row);
        }
        self.end += bytes.len() as u64;
        (from, bytes)
    }
}

fn sum(synced: u64, row: &[u8]) -> u32 {
    let mut sum = crc32fast::Hasher::new();
    sum.update(&synced.to_le_bytes());
    sum.update(&(row.len() as u32).to_le_bytes());
    sum.update(row);
    sum.finalize()
}

/// The row at a place: its bytes and its synced length, if it is whole.
fn row(bytes: &[u8], at: usize) -> Option<(&[u8], u64)> {
    let head = bytes.get(at..at + HEAD)?;
    let length = u32::from_le_bytes(head[..4].try_into().ok()?) as usize;
    let told = u32::from_le_bytes(head[4..8].try_into().ok()?);
    let synced = u64::from_le_bytes(head[8..].try_into().ok()?);
    // Cheap first: noise seldom names a place before its own.
    if synced > at as u64 || length > MAX_RECORD_LEN {
        return None;
    }
    let body = bytes.get(at + HEAD..at + HEAD + length)?;
    (sum(synced, body) == told).then_some((body, synced))
}

pub fn read_wal(bytes: &[u8]) -> WalContents<'_> {
    let nothing = |fault| WalContents { records: Vec::new(), valid_len: 0, fault };
    if bytes.len() < MAGIC.len() {
        let lost = bytes.len() as u64;
        return nothing(Some(WalFault::TornTail { offset: 0, lost_bytes: lost }));
    }
    if &bytes[..MAGIC.len()] != MAGIC {
        let newer = bytes[..5] == MAGIC[..5];
        let what = if newer { "written by another version of the program" } else { "no file of a member" };
        return nothing(Some(WalFault::Unrecognized { reason: what.into() }));
    }
    let (mut rows, mut at) = (Vec::new(), MAGIC.len());
    while let Some((body, _)) = row(bytes, at) {
        rows.push(body);
        at += HEAD + body.len();
    }
    let fault = (at < bytes.len()).then(|| judge(bytes, at, rows.len()));
    WalContents { records: rows, valid_len: at as u64, fault }
}

/// What the first row that is not whole means.
fn judge(bytes: &[u8], at: usize, count: usize) -> WalFault {
    let damaged = WalFault::Corrupt { record: count, offset: at as u64 };
    // A later row that knew this place to be on disk.
    let later = (at + 1..bytes.len()).find_map(|from| row(bytes, from).filter(|row| row.1 > at as u64));
    if later.is_some() {
        return damaged;
    }
    let told = bytes.get(at..at + 4).and_then(|head| head.try_into().ok()).map(u32::from_le_bytes);
    let whole = told.is_some_and(|length| at + HEAD + length as usize <= bytes.len());
    let unwritten = bytes[at..].chunks(SECTOR).any(|sector| sector.iter().all(|byte| *byte == 0))
        || bytes[at..].iter().rev().take(HEAD).all(|byte| *byte == 0);
    if whole && !unwritten {
        return damaged;
    }
    WalFault::TornTail { offset: at as u64, lost_bytes: (bytes.len() - at) as u64 }
}
