//! Formatting of numbers and quantities for the tables.

use crate::model::Quantity;

/// Formats with three significant digits and thousands separators.
pub(crate) fn format_number(value: f64) -> String {
    if !value.is_finite() {
        return "no end".into();
    }
    if value.abs() >= 1_000.0 {
        let unit = 10f64.powf(value.abs().log10().floor() - 2.0);
        return group_thousands((value / unit).round() * unit);
    }
    let exponent = value.abs().max(1e-12).log10().floor() as i32;
    let places = (2 - exponent).clamp(0, 9) as usize;
    let text = format!("{value:.places$}");
    if text.contains('.') {
        text.trim_end_matches('0').trim_end_matches('.').into()
    } else {
        text
    }
}

fn group_thousands(value: f64) -> String {
    let digits = format!("{:.0}", value.abs());
    let mut text = String::new();
    for (index, digit) in digits.chars().enumerate() {
        if index > 0 && (digits.len() - index).is_multiple_of(3) {
            text.push(',');
        }
        text.push(digit);
    }
    if value < 0.0 {
        text.insert(0, '-');
    }
    text
}

/// Formats with all digits, for the numbers of the target.
pub(crate) fn format_exact(value: f64) -> String {
    if value.fract() == 0.0 && value.abs() >= 1_000.0 {
        group_thousands(value)
    } else {
        format!("{value}")
    }
}

fn format_scaled(value: f64, units: &[(f64, &str)]) -> String {
    let unit = units.iter().find(|unit| value.abs() >= unit.0 * 0.999_5).or(units.last());
    let Some((scale, name)) = unit else { return format_number(value) };
    format!("{} {name}", format_number(value / scale))
}

const BYTES: [(f64, &str); 5] = [(1e12, "TB"), (1e9, "GB"), (1e6, "MB"), (1e3, "KB"), (1.0, "B")];
const SECONDS: [(f64, &str); 4] = [(1.0, "s"), (1e-3, "ms"), (1e-6, "us"), (1e-9, "ns")];

pub(crate) fn format_quantity(quantity: Quantity, value: f64) -> String {
    if value == 0.0 {
        return "0".into();
    }
    match quantity {
        Quantity::State | Quantity::Memory => format_scaled(value, &BYTES),
        Quantity::Bytes => format!("{}/s", format_scaled(value, &BYTES)),
        Quantity::Messages => format!("{}/s", format_number(value)),
        Quantity::Core if value == 1.0 => "1 core".into(),
        Quantity::Core if value >= 1.0 => format!("{} cores", format_number(value)),
        Quantity::Core | Quantity::Part => format!("{}%", format_number(value * 100.0)),
        Quantity::Time => format_scaled(value, &SECONDS),
        Quantity::Descriptors if value.fract() == 0.0 => format_exact(value),
        Quantity::Descriptors | Quantity::Cores => format_number(value),
    }
}

/// Formats a value in the unit of a slope's points.
pub(crate) fn format_in_unit(unit: &str, value: f64) -> String {
    let as_quantity = |quantity| format_quantity(quantity, value);
    match unit {
        "bytes" => as_quantity(Quantity::Memory),
        "bytes/s" => as_quantity(Quantity::Bytes),
        "core" => as_quantity(Quantity::Core),
        "s" => as_quantity(Quantity::Time),
        "core x s" => format!("{} of a core", as_quantity(Quantity::Time)),
        _ => format!("{} {unit}", format_number(value)),
    }
}

/// Formats one factor or a range of two: "2.4 x", "0.3 to 5.6 x".
pub(crate) fn format_factors(pair: [f64; 2]) -> String {
    let (min, max) = (pair[0].min(pair[1]), pair[0].max(pair[1]));
    match (max.is_finite(), format_number(min) == format_number(max)) {
        (false, _) => "no place".into(),
        (true, true) => format!("{} x", format_number(max)),
        (true, false) => format!("{} to {} x", format_number(min), format_number(max)),
    }
}
