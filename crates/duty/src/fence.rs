//! The highest number seen of each duty. Whatever a duty touches keeps one: what a holder sends that was stopped
//! between its check and its effect is refused there.

use crate::MAX_DUTIES;
use std::collections::BTreeMap;

#[derive(Clone, Debug, Default)]
pub struct Fence {
    highest: BTreeMap<String, u64>,
    pub rejected: u64,
}

impl Fence {
    /// Takes what comes under this number, or says under which one the duty is done by now.
    pub fn check(&mut self, duty: &str, number: u64) -> Result<(), u64> {
        let known = self.highest.get(duty).copied().unwrap_or(0);
        if number < known || number == 0 || known == 0 && self.highest.len() >= MAX_DUTIES {
            self.rejected += 1;
            return Err(known);
        }
        if number > known {
            self.highest.insert(duty.into(), number);
        }
        Ok(())
    }
}
