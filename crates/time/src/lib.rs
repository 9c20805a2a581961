//! Points in time and durations as separate types, so that two points in time cannot be added.
#![forbid(unsafe_code)]

use std::fmt;
use std::ops::{Add, Sub};

/// A point in time on a monotonic clock, in nanoseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment(pub u64);

/// A duration, in nanoseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub u64);

impl Moment {
    /// Time elapsed since `earlier`; zero if `earlier` is in the future.
    pub fn since(self, earlier: Moment) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Span {
    pub const fn millis(ms: u64) -> Span {
        Span(ms * 1_000_000)
    }

    pub const fn micros(us: u64) -> Span {
        Span(us * 1_000)
    }

    /// Zero for a negative number or NaN.
    pub fn of_seconds(seconds: f64) -> Span {
        Span((seconds * 1e9).max(0.0) as u64)
    }

    pub fn seconds(self) -> f64 {
        self.0 as f64 / 1e9
    }

    pub fn times(self, factor: f64) -> Span {
        Span((self.0 as f64 * factor) as u64)
    }
}

impl Add<Span> for Moment {
    type Output = Moment;
    fn add(self, span: Span) -> Moment {
        Moment(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Moment {
    type Output = Moment;
    fn sub(self, span: Span) -> Moment {
        Moment(self.0.saturating_sub(span.0))
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            0..=999_999 => write!(f, "{} us", self.0 / 1_000),
            1_000_000..=9_999_999_999 => write!(f, "{} ms", self.0 / 1_000_000),
            _ => write!(f, "{:.1} s", self.seconds()),
        }
    }
}
