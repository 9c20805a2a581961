//! What a planner that watches keeps on its own disk: the number of its start, and what was in force of which scope.
//!
//! One file, replaced as a whole, its rows with checksums as those of a member's file. Nothing of it is a promise to others:
//! damaged, it is set aside and the tier tells all again.

use pewtergap_store::WalWriter;
use pewtergap_watch::SavedState;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlannerFile {
    /// Of the last start.
    pub start: u64,
    /// None: nothing was ever told.
    pub watched: Option<SavedState>,
}

/// As it goes to the disk; `watched`: as the watch wrote it, or nothing.
pub fn encode(start: u64, watched: &[u8]) -> Vec<u8> {
    WalWriter::default().encode_new_file(&[start.to_be_bytes().to_vec(), watched.to_vec()])
}

impl PlannerFile {
    /// # Errors
    /// What is wrong with the file; nothing of it is to be used then.
    pub fn decode(bytes: &[u8]) -> Result<PlannerFile, String> {
        let found = pewtergap_store::read_wal(bytes);
        if let Some(fault) = found.fault {
            return Err(fault.to_string());
        }
        let [start, watched] = found.records[..] else {
            return Err(format!("{} rows, 2 were expected", found.records.len()));
        };
        let start = u64::from_be_bytes(start.try_into().map_err(|_| "the start has no 8 bytes")?);
        let watched = match watched {
            [] => None,
            watched => Some(SavedState::decode(watched)?),
        };
        Ok(PlannerFile { start, watched })
    }
}
