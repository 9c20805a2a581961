//! The file that a watching planner keeps on its own disk: the number of its start, and the state that it
//! received with its scope.
//!
//! The file is replaced as a whole, and its rows have checksums as in a member's file. Nobody relies on its
//! contents: a damaged file is set aside, and the planner gets a snapshot.

use pewtergap_store::WalWriter;
use pewtergap_watch::SavedState;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlannerFile {
    /// Number of the last start.
    pub start: u64,
    /// `None`: nothing was ever received.
    pub state: Option<SavedState>,
}

/// Encodes the file. `state` is the state as encoded by the watch, or empty.
pub fn encode(start: u64, state: &[u8]) -> Vec<u8> {
    WalWriter::default().encode_new_file(&[start.to_be_bytes().to_vec(), state.to_vec()])
}

impl PlannerFile {
    /// # Errors
    /// Says what is wrong with the file, none of which may be used then.
    pub fn decode(bytes: &[u8]) -> Result<PlannerFile, String> {
        let found = pewtergap_store::read_wal(bytes);
        if let Some(fault) = found.fault {
            return Err(fault.to_string());
        }
        let [start, state] = found.records[..] else {
            return Err(format!("expected 2 rows, found {}", found.records.len()));
        };
        let start = u64::from_be_bytes(start.try_into().map_err(|_| "the start number is not 8 bytes long")?);
        let state = match state {
            [] => None,
            state => Some(SavedState::decode(state)?),
        };
        Ok(PlannerFile { start, state })
    }
}
