//! The highest fencing token seen of each duty. Every resource a duty acts on keeps a fence: it rejects what
//! a holder sends that was suspended between its check and its effect.

use crate::MAX_DUTIES;
use std::collections::BTreeMap;

#[derive(Clone, Debug, Default)]
pub struct Fence {
    highest: BTreeMap<String, u64>,
    pub rejected: u64,
}

impl Fence {
    /// Accepts a request under this token, or returns the current token of the duty.
    pub fn check(&mut self, duty: &str, token: u64) -> Result<(), u64> {
        let highest = self.highest.get(duty).copied().unwrap_or(0);
        if token < highest || token == 0 || highest == 0 && self.highest.len() >= MAX_DUTIES {
            self.rejected += 1;
            return Err(highest);
        }
        if token > highest {
            self.highest.insert(duty.into(), token);
        }
        Ok(())
    }
}
