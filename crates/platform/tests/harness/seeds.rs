//! Seeds of a test: a short range by default, another by hand.

use std::ops::Range;

/// The seeds to play, or why the range that was asked for cannot be.
pub fn parse_seeds(variable: &str, text: &str) -> Result<Range<u64>, String> {
    let range = text.split_once("..").and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?));
    range
        .filter(|range| !range.is_empty())
        .ok_or(format!("{variable}: '{text}' is no range of seeds such as 1..50"))
}

/// The range in an environment variable, or the default.
pub fn seeds_from(variable: &str, default: Range<u64>) -> Range<u64> {
    let asked = std::env::var(variable).map(|text| parse_seeds(variable, &text));
    asked.unwrap_or(Ok(default)).unwrap_or_else(|why| panic!("{why}"))
}
