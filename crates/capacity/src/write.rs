//! Amounts as a reader takes them in: three digits, a unit.

use crate::model::Quantity;

/// Three significant digits, thousands apart.
pub(crate) fn number(value: f64) -> String {
    if !value.is_finite() {
        return "no end".into();
    }
    if value.abs() >= 1_000.0 {
        let digits = 10f64.powf(value.abs().log10().floor() - 2.0);
        return thousands((value / digits).round() * digits);
    }
    let whole = value.abs().max(1e-12).log10().floor() as i32;
    let places = (2 - whole).clamp(0, 9) as usize;
    let text = format!("{value:.places$}");
    if text.contains('.') {
        text.trim_end_matches('0').trim_end_matches('.').into()
    } else {
        text
    }
}

fn thousands(value: f64) -> String {
    let digits = format!("{:.0}", value.abs());
    let mut text = String::new();
    for (at, digit) in digits.chars().enumerate() {
        if at > 0 && (digits.len() - at).is_multiple_of(3) {
            text.push(',');
        }
        text.push(digit);
    }
    if value < 0.0 {
        text.insert(0, '-');
    }
    text
}

/// A target's own number, all of its digits.
pub(crate) fn whole(value: f64) -> String {
    if value.fract() == 0.0 && value.abs() >= 1_000.0 {
        thousands(value)
    } else {
        format!("{value}")
    }
}

fn scaled(value: f64, units: &[(f64, &str)]) -> String {
    let unit = units.iter().find(|unit| value.abs() >= unit.0 * 0.999_5).or(units.last());
    let Some((one, name)) = unit else { return number(value) };
    format!("{} {name}", number(value / one))
}

const BYTES: [(f64, &str); 5] = [(1e12, "TB"), (1e9, "GB"), (1e6, "MB"), (1e3, "KB"), (1.0, "B")];
const SECONDS: [(f64, &str); 4] = [(1.0, "s"), (1e-3, "ms"), (1e-6, "us"), (1e-9, "ns")];

pub(crate) fn amount(quantity: Quantity, value: f64) -> String {
    if value == 0.0 {
        return "0".into();
    }
    match quantity {
        Quantity::State | Quantity::Memory => scaled(value, &BYTES),
        Quantity::Bytes => format!("{}/s", scaled(value, &BYTES)),
        Quantity::Messages => format!("{}/s", number(value)),
        Quantity::Core if value == 1.0 => "1 core".into(),
        Quantity::Core if value >= 1.0 => format!("{} cores", number(value)),
        Quantity::Core | Quantity::Part => format!("{}%", number(value * 100.0)),
        Quantity::Time => scaled(value, &SECONDS),
        Quantity::Descriptors if value.fract() == 0.0 => whole(value),
        Quantity::Descriptors | Quantity::Cores => number(value),
    }
}

/// A value in the unit of a slope's points.
pub(crate) fn in_unit(unit: &str, value: f64) -> String {
    let amount_of = |quantity| amount(quantity, value);
    match unit {
        "bytes" => amount_of(Quantity::Memory),
        "bytes/s" => amount_of(Quantity::Bytes),
        "core" => amount_of(Quantity::Core),
        "s" => amount_of(Quantity::Time),
        "core x s" => format!("{} of a core", amount_of(Quantity::Time)),
        _ => format!("{} {unit}", number(value)),
    }
}

/// A factor or two: "2.4 x", "0.3 to 5.6 x".
pub(crate) fn factors(both: [f64; 2]) -> String {
    let (least, most) = (both[0].min(both[1]), both[0].max(both[1]));
    match (most.is_finite(), number(least) == number(most)) {
        (false, _) => "no place".into(),
        (true, true) => format!("{} x", number(most)),
        (true, false) => format!("{} to {} x", number(least), number(most)),
    }
}
