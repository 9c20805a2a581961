//! Values that carry their provenance. An estimate starts as a slope's or a parameter's value and keeps its sources through
//! arithmetic, so the kind of a figure is derived and cannot be stated wrongly.

use serde::Serialize;
use std::collections::BTreeSet;
use std::ops::{Add, Div, Mul, Sub};

/// Where a figure comes from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Measured by a run at exactly this size.
    Measured { slope: String, run: String },
    /// Derived from points measured at other sizes and from the numbers of the target.
    Reckoned { slopes: Vec<String> },
    /// Depends on parameters that the target leaves open; shown at two values of each.
    Assumed { parameters: Vec<String>, slopes: Vec<String> },
}

#[derive(Clone, Debug)]
pub(crate) struct Estimate {
    value: f64,
    measured: Option<(String, String)>,
    slopes: BTreeSet<String>,
    parameters: BTreeSet<String>,
    /// Slopes without enough points. If there are any, the estimate has no value.
    missing: BTreeSet<String>,
    /// Largest extrapolation of a line, as a multiple of its largest measured size; 1 within the measured range.
    extrapolation: f64,
}

impl Estimate {
    /// Private, so that every value outside this module has a source.
    fn new(value: f64) -> Estimate {
        let (slopes, parameters, missing) = Default::default();
        Estimate { value, measured: None, slopes, parameters, missing, extrapolation: 1.0 }
    }

    pub fn measured(value: f64, slope: &str, run: &str) -> Estimate {
        let measured = Some((slope.to_string(), run.to_string()));
        Estimate { measured, slopes: [slope.to_string()].into(), ..Estimate::new(value) }
    }

    /// `extrapolation` is the size divided by the largest measured size.
    pub fn reckoned(value: f64, slope: &str, extrapolation: f64) -> Estimate {
        let extrapolation = extrapolation.max(1.0);
        Estimate { slopes: [slope.to_string()].into(), extrapolation, ..Estimate::new(value) }
    }

    pub fn extrapolation(&self) -> f64 {
        self.extrapolation
    }

    pub fn missing(slope: &str) -> Estimate {
        Estimate { missing: [slope.to_string()].into(), ..Estimate::new(0.0) }
    }

    pub fn assumed(value: f64, parameter: &str) -> Estimate {
        Estimate { parameters: [parameter.to_string()].into(), ..Estimate::new(value) }
    }

    /// `None` if a slope is missing.
    pub fn value(&self) -> Option<f64> {
        self.missing.is_empty().then_some(self.value)
    }

    pub fn missing_slopes(&self) -> Vec<String> {
        self.missing.iter().cloned().collect()
    }

    pub fn kind(&self) -> Kind {
        let list = |of: &BTreeSet<String>| of.iter().cloned().collect::<Vec<_>>();
        if !self.parameters.is_empty() {
            return Kind::Assumed { parameters: list(&self.parameters), slopes: list(&self.slopes) };
        }
        match &self.measured {
            Some((slope, run)) => Kind::Measured { slope: slope.clone(), run: run.clone() },
            None => Kind::Reckoned { slopes: list(&self.slopes) },
        }
    }

    /// Takes the value of `slope` and keeps the sources of both.
    pub fn with_value_of(self, slope: Estimate) -> Estimate {
        let value = slope.value;
        Estimate { value, ..self.merge_sources(slope) }
    }

    fn merge_sources(self, other: Estimate) -> Estimate {
        Estimate {
            value: self.value,
            measured: None,
            slopes: self.slopes.into_iter().chain(other.slopes).collect(),
            parameters: self.parameters.into_iter().chain(other.parameters).collect(),
            missing: self.missing.into_iter().chain(other.missing).collect(),
            extrapolation: self.extrapolation.max(other.extrapolation),
        }
    }

    /// Applies `function` to the value and keeps the sources.
    pub fn map(self, function: impl FnOnce(f64) -> f64) -> Estimate {
        self.transformed(function)
    }

    fn transformed(self, function: impl FnOnce(f64) -> f64) -> Estimate {
        Estimate { value: function(self.value), measured: None, ..self }
    }

    fn combine(self, other: Estimate, function: impl FnOnce(f64, f64) -> f64) -> Estimate {
        let value = function(self.value, other.value);
        Estimate { value, ..self.merge_sources(other) }
    }
}

impl Add for Estimate {
    type Output = Estimate;
    fn add(self, other: Estimate) -> Estimate {
        self.combine(other, |a, b| a + b)
    }
}

impl Mul for Estimate {
    type Output = Estimate;
    fn mul(self, other: Estimate) -> Estimate {
        self.combine(other, |a, b| a * b)
    }
}

impl Div for Estimate {
    type Output = Estimate;
    fn div(self, other: Estimate) -> Estimate {
        self.combine(other, |a, b| a / b)
    }
}

impl Add<f64> for Estimate {
    type Output = Estimate;
    fn add(self, other: f64) -> Estimate {
        self.transformed(|a| a + other)
    }
}

impl Sub<f64> for Estimate {
    type Output = Estimate;
    fn sub(self, other: f64) -> Estimate {
        self.transformed(|a| a - other)
    }
}

impl Mul<f64> for Estimate {
    type Output = Estimate;
    fn mul(self, other: f64) -> Estimate {
        self.transformed(|a| a * other)
    }
}

impl Div<f64> for Estimate {
    type Output = Estimate;
    fn div(self, other: f64) -> Estimate {
        self.transformed(|a| a / other)
    }
}

impl Div<Estimate> for f64 {
    type Output = Estimate;
    fn div(self, by: Estimate) -> Estimate {
        by.transformed(|b| self / b)
    }
}
