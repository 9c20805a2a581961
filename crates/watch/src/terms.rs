//! Spans and bounds of a watch, at both ends.

use crate::cache::MOST_TOMBSTONES;
use pewtergap_time::Span;

#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// The timer that this end sets for itself; nothing else of its node may use the number.
    pub timer: u64,
    /// Watches that a machine serves; further ones are refused `Full`.
    pub most_watches: usize,
    /// Snapshots at once; further ones wait.
    pub most_snapshots: usize,
    /// Between the beginnings of two batches for one watcher, at least.
    pub pace: Span,
    /// Between two words of life.
    pub ping: Span,
    /// A machine not heard for so long is left.
    pub machine_silent: Span,
    /// A planner not heard for so long is closed, and unheard.
    pub planner_silent: Span,
    /// A watcher that takes nothing of what was sent for so long is closed.
    pub deaf: Span,
    /// From dialling to `Welcome`, and from a link to its `Hello`, at most.
    pub dial: Span,
    /// A snapshot gives way to those that wait after so long, and goes on later.
    pub slot: Span,
    /// Keys that are gone and remembered as such; whoever is behind them begins anew.
    pub most_tombstones: usize,
    /// No clock is faster or slower than true time by more than this part.
    pub drift: f64,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms {
            timer: 0,
            most_watches: 1_024,
            most_snapshots: 64,
            pace: Span::millis(100),
            ping: Span::millis(1_000),
            machine_silent: Span::millis(3_000),
            planner_silent: Span::millis(4_000),
            deaf: Span::millis(5_000),
            dial: Span::millis(2_000),
            slot: Span::millis(2_000),
            most_tombstones: MOST_TOMBSTONES,
            drift: 0.02,
        }
    }
}

impl Terms {
    /// The longest that may truly have gone by when an own clock says this much.
    pub fn at_most(&self, measured: Span) -> Span {
        measured.times(1.0 / (1.0 - self.drift)) + Span(1)
    }
}

/// Rounded up: what is told of an age is never less.
pub(crate) fn up_ms(span: Span) -> u64 {
    span.0.div_ceil(1_000_000)
}
