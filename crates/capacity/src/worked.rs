//! An amount with what it was worked out from. It begins as a slope's or as a parameter's and keeps that through sums
//! and products, so nobody has to say of a figure what kind it is, and nobody can say it wrongly.

use serde::Serialize;
use std::collections::BTreeSet;
use std::ops::{Add, Div, Mul, Sub};

/// What a figure is. There is no fourth kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Of a run at this very size.
    Measured { slope: String, run: String },
    /// From measured points at other sizes, and the target's own numbers.
    Reckoned { slopes: Vec<String> },
    /// Depends on what the target leaves open; shown at two values of it.
    Assumed { parameters: Vec<String>, slopes: Vec<String> },
}

#[derive(Clone, Debug)]
pub(crate) struct Worked {
    amount: f64,
    measured: Option<(String, String)>,
    slopes: BTreeSet<String>,
    parameters: BTreeSet<String>,
    /// Slopes without enough points: there is no amount then.
    missing: BTreeSet<String>,
    /// The farthest that a line was followed, in largest measured sizes; 1 within them.
    beyond: f64,
}

impl Worked {
    /// Not to be had outside: an amount has to come from somewhere.
    fn bare(amount: f64) -> Worked {
        let (slopes, parameters, missing) = Default::default();
        Worked { amount, measured: None, slopes, parameters, missing, beyond: 1.0 }
    }

    pub fn measured(amount: f64, slope: &str, run: &str) -> Worked {
        let measured = Some((slope.to_string(), run.to_string()));
        Worked { measured, slopes: [slope.to_string()].into(), ..Worked::bare(amount) }
    }

    /// `beyond`: the size over the largest measured one.
    pub fn reckoned(amount: f64, slope: &str, beyond: f64) -> Worked {
        let beyond = beyond.max(1.0);
        Worked { slopes: [slope.to_string()].into(), beyond, ..Worked::bare(amount) }
    }

    pub fn beyond(&self) -> f64 {
        self.beyond
    }

    pub fn missing(slope: &str) -> Worked {
        Worked { missing: [slope.to_string()].into(), ..Worked::bare(0.0) }
    }

    pub fn assumed(amount: f64, parameter: &str) -> Worked {
        Worked { parameters: [parameter.to_string()].into(), ..Worked::bare(amount) }
    }

    /// `None` where a slope is missing.
    pub fn amount(&self) -> Option<f64> {
        self.missing.is_empty().then_some(self.amount)
    }

    pub fn without(&self) -> Vec<String> {
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

    /// The amount went through a slope: what it was worked out from stays with it.
    pub fn through(self, slope: Worked) -> Worked {
        let amount = slope.amount;
        Worked { amount, ..self.with(slope) }
    }

    fn with(self, other: Worked) -> Worked {
        Worked {
            amount: self.amount,
            measured: None,
            slopes: self.slopes.into_iter().chain(other.slopes).collect(),
            parameters: self.parameters.into_iter().chain(other.parameters).collect(),
            missing: self.missing.into_iter().chain(other.missing).collect(),
            beyond: self.beyond.max(other.beyond),
        }
    }

    /// Another amount that follows from this one.
    pub fn map(self, to: impl FnOnce(f64) -> f64) -> Worked {
        self.changed(to)
    }

    fn changed(self, to: impl FnOnce(f64) -> f64) -> Worked {
        Worked { amount: to(self.amount), measured: None, ..self }
    }

    fn both(self, other: Worked, to: impl FnOnce(f64, f64) -> f64) -> Worked {
        let amount = to(self.amount, other.amount);
        Worked { amount, ..self.with(other) }
    }
}

impl Add for Worked {
    type Output = Worked;
    fn add(self, other: Worked) -> Worked {
        self.both(other, |a, b| a + b)
    }
}

impl Mul for Worked {
    type Output = Worked;
    fn mul(self, other: Worked) -> Worked {
        self.both(other, |a, b| a * b)
    }
}

impl Div for Worked {
    type Output = Worked;
    fn div(self, other: Worked) -> Worked {
        self.both(other, |a, b| a / b)
    }
}

impl Add<f64> for Worked {
    type Output = Worked;
    fn add(self, other: f64) -> Worked {
        self.changed(|a| a + other)
    }
}

impl Sub<f64> for Worked {
    type Output = Worked;
    fn sub(self, other: f64) -> Worked {
        self.changed(|a| a - other)
    }
}

impl Mul<f64> for Worked {
    type Output = Worked;
    fn mul(self, other: f64) -> Worked {
        self.changed(|a| a * other)
    }
}

impl Div<f64> for Worked {
    type Output = Worked;
    fn div(self, other: f64) -> Worked {
        self.changed(|a| a / other)
    }
}

impl Div<Worked> for f64 {
    type Output = Worked;
    fn div(self, by: Worked) -> Worked {
        by.changed(|b| self / b)
    }
}
