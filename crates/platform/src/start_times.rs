//! When servers started, on this process's clock.
//!
//! Discovery tells starts as wall-clock times, and the wall clock of any machine may be stepped, by an hour too. A start
//! that happens while this process follows the list is therefore only believed as far as it agrees with what the
//! process has seen.

use pewtergap_time::{Moment, Span};

/// Longest time after which a change counts as announced to a planner.
const MAX_ANNOUNCEMENT_DELAY: Span = Span::millis(6_000);

/// The last start of a server.
#[derive(Clone, Copy, Debug)]
struct Start {
    announced: Moment,
    local: Moment,
}

/// Last starts by server index.
#[derive(Debug, Default)]
pub struct StartTimes {
    starts: Vec<Option<Start>>,
    /// When the previous list was received from discovery.
    list_received: Option<Moment>,
}

impl StartTimes {
    /// Converts an announced start time. The same announcement always gives the same time. A start in the future is
    /// taken for one at this moment, and so is one that an earlier list should have contained.
    pub fn local_time(&mut self, now: Moment, server: usize, announced: Option<Moment>) -> Option<Moment> {
        let announced = announced?;
        if self.starts.len() <= server {
            self.starts.resize(server + 1, None);
        }
        if let Some(known) = self.starts[server].filter(|known| known.announced == announced) {
            return Some(known.local);
        }
        let earliest = self.list_received.map(|at| at - MAX_ANNOUNCEMENT_DELAY);
        let plausible = announced <= now && earliest.is_none_or(|earliest| announced >= earliest);
        let local = if plausible { announced } else { now };
        self.starts[server] = Some(Start { announced, local });
        Some(local)
    }

    /// Records that a list was received from discovery.
    pub fn received_list(&mut self, now: Moment) {
        self.list_received = Some(now);
    }

    /// Forgets a server whose index may be assigned to another one.
    pub fn release(&mut self, server: usize) {
        if let Some(start) = self.starts.get_mut(server) {
            *start = None;
        }
    }
}
