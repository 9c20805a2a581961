//! Intervals, timeouts and limits of a watch, for both ends.

use crate::cache::MAX_TOMBSTONES;
use pewtergap_time::Span;

#[derive(Clone, Copy, Debug)]
pub struct WatchConfig {
    /// Timer id used by this end, which must be unique within its node.
    pub timer: u64,
    /// Watches that a machine serves; further ones are rejected with `Full`.
    pub max_watches: usize,
    /// Concurrent snapshots; further ones wait.
    pub max_snapshots: usize,
    /// Minimum interval between the starts of two batches to one watcher.
    pub batch_interval: Span,
    /// Interval between pings.
    pub ping_interval: Span,
    /// A planner disconnects from a machine that was silent for this long.
    pub machine_timeout: Span,
    /// A machine closes the link to a planner that was silent for this long and counts it as unheard.
    pub planner_timeout: Span,
    /// A watcher that acknowledges nothing for this long is closed.
    pub ack_timeout: Span,
    /// Time limit from dialling to `Welcome`, and from accepting a link to its `Hello`.
    pub connect_timeout: Span,
    /// A snapshot that took this long yields to waiting ones and is resumed later.
    pub snapshot_slot: Span,
    /// Deleted keys that are remembered; a watcher that is behind the oldest needs a snapshot.
    pub max_tombstones: usize,
    /// Largest deviation of any clock's rate, as a fraction.
    pub max_clock_drift: f64,
}

impl Default for WatchConfig {
    fn default() -> WatchConfig {
        WatchConfig {
            timer: 0,
            max_watches: 1_024,
            max_snapshots: 64,
            batch_interval: Span::millis(100),
            ping_interval: Span::millis(1_000),
            machine_timeout: Span::millis(3_000),
            planner_timeout: Span::millis(4_000),
            ack_timeout: Span::millis(5_000),
            connect_timeout: Span::millis(2_000),
            snapshot_slot: Span::millis(2_000),
            max_tombstones: MAX_TOMBSTONES,
            max_clock_drift: 0.02,
        }
    }
}

impl WatchConfig {
    /// Upper bound of the true time that passed while the local clock measured this.
    pub fn max_elapsed(&self, measured: Span) -> Span {
        measured.times(1.0 / (1.0 - self.max_clock_drift)) + Span(1)
    }
}

/// Rounds up, so that a reported age is never too low.
pub(crate) fn to_ms_rounded_up(span: Span) -> u64 {
    span.0.div_ceil(1_000_000)
}
