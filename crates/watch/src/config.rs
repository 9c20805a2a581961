//! Spans and bounds of a watch, at both ends.

use crate::cache::MOST_TOMBSTONES;
use pewtergap_time::Span;

#[derive(Clone, Copy, Debug)]
pub struct WatchConfig {
    /// The timer that this end sets for itself; nothing else of its node may use the number.
    pub timer: u64,
    /// Watches that a machine serves; further ones are refused `Full`.
    pub max_watches: usize,
    /// Snapshots at once; further ones wait.
    pub max_snapshots: usize,
    /// Between the beginnings of two batches for one watcher, at least.
    pub batch_interval: Span,
    /// Between two words of life.
    pub ping_interval: Span,
    /// A machine not heard for so long is left.
    pub machine_timeout: Span,
    /// A planner not heard for so long is closed, and unheard.
    pub planner_timeout: Span,
    /// A watcher that takes nothing of what was sent for so long is closed.
    pub ack_timeout: Span,
    /// From dialling to `Welcome`, and from a link to its `Hello`, at most.
    pub connect_timeout: Span,
    /// A snapshot gives way to those that wait after so long, and goes on later.
    pub snapshot_slot: Span,
    /// Keys that are gone and remembered as such; whoever is behind them begins anew.
    pub max_tombstones: usize,
    /// No clock is faster or slower than true time by more than this part.
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
            max_tombstones: MOST_TOMBSTONES,
            max_clock_drift: 0.02,
        }
    }
}

impl WatchConfig {
    /// The longest that may truly have gone by when an own clock says this much.
    pub fn at_most(&self, measured: Span) -> Span {
        measured.times(1.0 / (1.0 - self.max_clock_drift)) + Span(1)
    }
}

/// Rounded up: what is told of an age is never less.
pub(crate) fn up_ms(span: Span) -> u64 {
    span.0.div_ceil(1_000_000)
}
