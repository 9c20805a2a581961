//! The load report header `endpoint-load-metrics` in its TEXT and JSON formats, parsed leniently: unknown entries and
//! invalid numbers are ignored. A malformed report never fails a call.

pub const HEADER: &str = "endpoint-load-metrics";
const IN_FLIGHT: &str = "named_metrics.in_hand";

/// The metrics taken from a report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Utilization as a fraction of capacity; `application_utilization` takes precedence over `cpu_utilization`.
    pub util: Option<f64>,
    /// Calls in flight, reported as the named metric `in_hand`.
    pub in_flight: Option<f64>,
}

impl LoadReport {
    pub fn parse(text: &str) -> LoadReport {
        // `application_utilization` takes precedence over `cpu_utilization`, unless it is missing or 0.
        let application = LoadReport::parse_named(text, &["application_utilization"], &[IN_FLIGHT]);
        match application.util.filter(|util| *util > 0.0) {
            Some(_) => application,
            None => LoadReport::parse_named(text, &["cpu_utilization"], &[IN_FLIGHT]),
        }
    }

    /// Parses a report with other metric names; of each list, the first name present is used.
    pub fn parse_named(text: &str, util: &[&str], in_hand: &[&str]) -> LoadReport {
        let text = text.trim();
        let (format, rest) = text.split_once(char::is_whitespace).unwrap_or(("", text));
        let is_valid = |number: &f64| number.is_finite() && *number >= 0.0;
        let of = |value: &dyn Fn(&str) -> Option<f64>| {
            let first = |names: &[&str]| names.iter().find_map(|name| value(name).filter(is_valid));
            LoadReport { util: first(util), in_flight: first(in_hand) }
        };
        match format {
            "JSON" => of(&json(rest)),
            "TEXT" => of(&pairs(rest)),
            // The binary format is not supported; a report without a format name is parsed as TEXT.
            "BIN" => LoadReport::default(),
            _ => of(&pairs(text)),
        }
    }

    /// Serializes the report in the TEXT format.
    pub fn to_text(&self) -> String {
        let util = self.util.map(|util| format!("application_utilization={util:.3}"));
        let in_hand = self.in_flight.map(|calls| format!("named_metrics.in_hand={calls}"));
        let pairs: Vec<String> = util.into_iter().chain(in_hand).collect();
        format!("TEXT {}", pairs.join(","))
    }
}

fn pairs(text: &str) -> impl Fn(&str) -> Option<f64> + '_ {
    move |name: &str| {
        let mut pairs = text.split(',').filter_map(|pair| pair.split_once(['=', ':']));
        pairs.find(|pair| pair.0.trim() == name).and_then(|pair| pair.1.trim().parse().ok())
    }
}

fn json(text: &str) -> impl Fn(&str) -> Option<f64> {
    let report = serde_json::from_str::<serde_json::Value>(text).unwrap_or_default();
    move |path: &str| {
        path.split('.').try_fold(&report, |value, key| value.get(key)).and_then(serde_json::Value::as_f64)
    }
}
