//! How a budget is divided: a transition table that every member of the record applies in the same order.
//!
//! | state | shift | next state | rejected |
//! | --- | --- | --- | --- |
//! | unknown planner | claim | holds a base, as far as one is free | when too many planners hold one |
//! | known planner | claim by a later start | unchanged, now under that start | by an earlier start |
//! | enough free beyond the reserved bases | deal | the planner holds that much more | at another version |
//! | at least that much extra held | back | that much is free | at another version |
//! | known planner | end | everything it held is free | at another version |

use std::collections::BTreeMap;

/// Units in a budget; integers keep sums exact.
pub const TOTAL_UNITS: u64 = 1_000_000;
/// Holders, including planners that left and whose end is not written yet.
const MAX_HOLDINGS: usize = 64;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Holding {
    pub base: u64,
    pub extra: u64,
    /// The log index of the last change; a decision based on an older version comes too late.
    pub version: u64,
    /// The start of the planner that uses the holding; commands of an earlier start are rejected.
    pub start: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shift {
    /// `founders`: how many planners may use a base before they claim it; `founded`: whether this planner is
    /// one of them.
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
    /// Set by the first claim: differing settings would hand out more than there is.
    pub base: u64,
    /// Bases reserved for founders that have not claimed theirs.
    pub reserved_bases: u64,
    pub holdings: BTreeMap<u64, Holding>,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget { free: TOTAL_UNITS, base: 0, reserved_bases: 0, holdings: BTreeMap::new() }
    }
}

impl Budget {
    /// Applies a shift at a log index.
    pub fn apply(&mut self, index: u64, shift: &Shift) -> Result<(), String> {
        match *shift {
            Shift::Claim { by, start, base, founders, founded } => {
                if self.holdings.len() >= MAX_HOLDINGS && !self.holdings.contains_key(&by) {
                    return Err(format!("{MAX_HOLDINGS} planners hold a part"));
                }
                if self.base == 0 {
                    (self.base, self.reserved_bases) =
                        (base, founders.min(TOTAL_UNITS.checked_div(base).unwrap_or(0)));
                }
                if self.holdings.get(&by).is_some_and(|existing| existing.start > start) {
                    return Err("a later start has claimed it".into());
                }
                if let Some(existing) = self.holdings.get_mut(&by) {
                    (existing.start, existing.version) = (start, index);
                    return Ok(());
                }
                // Takes the base reserved for it, or an unreserved one.
                if founded && self.reserved_bases > 0 {
                    self.reserved_bases -= 1;
                }
                let base = self.base.min(self.available());
                self.free -= base;
                self.holdings.insert(by, Holding { base, extra: 0, version: index, start });
                Ok(())
            }
            Shift::Deal { to, units, number } => {
                let available = self.available();
                let holding = self.holding_at_version(to, number)?;
                if units > available {
                    return Err(format!("{units} of {available} that are free"));
                }
                (holding.extra, holding.version) = (holding.extra + units, index);
                self.free -= units;
                Ok(())
            }
            Shift::Back { from, units, number } => {
                let holding = self.holding_at_version(from, number)?;
                if units > holding.extra {
                    return Err(format!("{units} of {} that follow demand", holding.extra));
                }
                (holding.extra, holding.version) = (holding.extra - units, index);
                self.free += units;
                Ok(())
            }
            Shift::End { of, number } => {
                let removed = *self.holding_at_version(of, number)?;
                self.holdings.remove(&of);
                self.free += removed.base + removed.extra;
                Ok(())
            }
        }
    }

    fn holding_at_version(&mut self, planner: u64, version: u64) -> Result<&mut Holding, String> {
        match self.holdings.get_mut(&planner) {
            None => Err("it holds no part".into()),
            Some(holding) if holding.version != version => {
                Err(format!("it stands at number {} by now, not {version}", holding.version))
            }
            Some(holding) => Ok(holding),
        }
    }

    /// Free units beyond the bases reserved for planners that have not claimed theirs.
    pub fn available(&self) -> u64 {
        self.free.saturating_sub(self.reserved_bases * self.base)
    }

    /// The units that follow demand, whoever holds them.
    pub fn demand_pool(&self) -> u64 {
        self.available() + self.holdings.values().map(|holding| holding.extra).sum::<u64>()
    }

    /// Always `TOTAL_UNITS`.
    pub fn total(&self) -> u64 {
        self.free + self.holdings.values().map(|holding| holding.base + holding.extra).sum::<u64>()
    }
}
