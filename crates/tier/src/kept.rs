//! What a planner that watches keeps on its own disk: the number of its start, the scope, and what was in force.
//!
//! One file, replaced as a whole, its rows with checksums as those of a member's file. Nothing of it is a promise to others:
//! damaged, it is set aside and the tier tells all again.

use pewtergap_store::{Fault, Pen};
use pewtergap_watch::words::ScopeTold;
use pewtergap_watch::Scope;
use prost::Message;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Kept {
    /// Of the last start.
    pub start: u64,
    pub scope: Option<Scope>,
    /// As the watch wrote it; empty: nothing was ever told.
    pub watched: Vec<u8>,
}

impl Kept {
    pub fn write(&self) -> Vec<u8> {
        let scope = self.scope.as_ref().map(|scope| scope.told(0).encode_to_vec()).unwrap_or_default();
        Pen::default().anew(&[self.start.to_be_bytes().to_vec(), scope, self.watched.clone()])
    }

    pub fn read(bytes: &[u8]) -> Result<Kept, String> {
        let found = pewtergap_store::read(bytes);
        if let Some(fault) = found.fault {
            return Err(Fault::to_string(&fault));
        }
        let [start, scope, watched] = found.rows[..] else {
            return Err(format!("{} rows, 3 were expected", found.rows.len()));
        };
        let start = u64::from_be_bytes(start.try_into().map_err(|_| "the start has no 8 bytes")?);
        let scope = match scope {
            [] => None,
            scope => Some(Scope::from(ScopeTold::decode(scope).map_err(|e| format!("scope: {e}"))?)),
        };
        Ok(Kept { start, scope, watched: watched.to_vec() })
    }
}
