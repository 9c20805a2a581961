//! Who holds how much of a budget: a table that each member of the record carries out in the same order.
//!
//! | state | shift | next | refused |
//! | --- | --- | --- | --- |
//! | unknown | claim | holds a base, as far as one is free | when too many hold one |
//! | known | claim by a later start | as it was, under that start | by an earlier start |
//! | enough free beyond what is kept for others' bases | deal | the planner has so much more | under another number |
//! | so much more held | back | that much is free | under another number |
//! | known | end | all it held is free | under another number |

use std::collections::BTreeMap;

/// A budget in parts that are counted, so that sums are exact.
pub const TOTAL_UNITS: u64 = 1_000_000;
/// Holders, those included that left and whose end is not yet written.
const MOST: usize = 64;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Holding {
    pub base: u64,
    pub extra: u64,
    /// The place in the log of its last change: what was decided before that is decided too late.
    pub version: u64,
    /// Which start of its planner it is used under: what an earlier one had on its way is refused.
    pub start: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shift {
    /// `founders`: planners that may use a base before they claim it; this one is one of them, or not.
    Claim {
        by: u64,
        start: u64,
        base: u64,
        founders: u64,
        founded: bool,
    },
    Deal {
        to: u64,
        units: u64,
        number: u64,
    },
    Back {
        from: u64,
        units: u64,
        number: u64,
    },
    End {
        of: u64,
        number: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Budget {
    pub free: u64,
    /// As the first claim said; settings that differ would part more than there is.
    pub base: u64,
    /// Bases that are kept for founders that have not claimed theirs.
    pub reserved_bases: u64,
    pub holdings: BTreeMap<u64, Holding>,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget { free: TOTAL_UNITS, base: 0, reserved_bases: 0, holdings: BTreeMap::new() }
    }
}

impl Budget {
    /// Carries out a shift at a place of the log.
    pub fn apply(&mut self, index: u64, shift: &Shift) -> Result<(), String> {
        match *shift {
            Shift::Claim { by, start, base, founders, founded } => {
                if self.holdings.len() >= MOST && !self.holdings.contains_key(&by) {
                    return Err(format!("{MOST} planners hold a part"));
                }
                if self.base == 0 {
                    (self.base, self.reserved_bases) =
                        (base, founders.min(TOTAL_UNITS.checked_div(base).unwrap_or(0)));
                }
                if self.holdings.get(&by).is_some_and(|known| known.start > start) {
                    return Err("a later start has claimed it".into());
                }
                if let Some(known) = self.holdings.get_mut(&by) {
                    (known.start, known.version) = (start, index);
                    return Ok(());
                }
                // Kept for it, or of what is kept for nobody.
                if founded && self.reserved_bases > 0 {
                    self.reserved_bases -= 1;
                }
                let base = self.base.min(self.available());
                self.free -= base;
                self.holdings.insert(by, Holding { base, extra: 0, version: index, start });
                Ok(())
            }
            Shift::Deal { to, units, number } => {
                let room = self.available();
                let holding = self.numbered(to, number)?;
                if units > room {
                    return Err(format!("{units} of {room} that are free"));
                }
                (holding.extra, holding.version) = (holding.extra + units, index);
                self.free -= units;
                Ok(())
            }
            Shift::Back { from, units, number } => {
                let holding = self.numbered(from, number)?;
                if units > holding.extra {
                    return Err(format!("{units} of {} that follow demand", holding.extra));
                }
                (holding.extra, holding.version) = (holding.extra - units, index);
                self.free += units;
                Ok(())
            }
            Shift::End { of, number } => {
                let held = *self.numbered(of, number)?;
                self.holdings.remove(&of);
                self.free += held.base + held.extra;
                Ok(())
            }
        }
    }

    fn numbered(&mut self, of: u64, number: u64) -> Result<&mut Holding, String> {
        match self.holdings.get_mut(&of) {
            None => Err("it holds no part".into()),
            Some(holding) if holding.version != number => {
                Err(format!("it stands at number {} by now, not {number}", holding.version))
            }
            Some(holding) => Ok(holding),
        }
    }

    /// What is free beyond the bases that are kept for planners that have not claimed theirs.
    pub fn available(&self) -> u64 {
        self.free.saturating_sub(self.reserved_bases * self.base)
    }

    /// The part that follows demand, wherever it is.
    pub fn demand_pool(&self) -> u64 {
        self.available() + self.holdings.values().map(|holding| holding.extra).sum::<u64>()
    }

    /// Always the whole.
    pub fn total(&self) -> u64 {
        self.free + self.holdings.values().map(|holding| holding.base + holding.extra).sum::<u64>()
    }
}
