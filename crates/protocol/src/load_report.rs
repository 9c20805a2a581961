//! The open load-report header `endpoint-load-metrics`, in its TEXT and JSON forms, read leniently: what is
//! not understood is left out, a number that is none as well. A report never fails a call.

pub const HEADER: &str = "endpoint-load-metrics";
const IN_HAND: &str = "named_metrics.in_hand";

/// What we read of a report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Part of the capacity in use; `application_utilization` goes before `cpu_utilization`.
    pub util: Option<f64>,
    /// Calls in hand, under the named metric `in_hand`.
    pub in_flight: Option<f64>,
}

impl LoadReport {
    pub fn parse(text: &str) -> LoadReport {
        // `application_utilization` goes before `cpu_utilization`, unless it says nothing.
        let application = LoadReport::parse_named(text, &["application_utilization"], &[IN_HAND]);
        match application.util.filter(|util| *util > 0.0) {
            Some(_) => application,
            None => LoadReport::parse_named(text, &["cpu_utilization"], &[IN_HAND]),
        }
    }

    /// Reads a report of servers that have other names for the two, the first that is there.
    pub fn parse_named(text: &str, util: &[&str], in_hand: &[&str]) -> LoadReport {
        let text = text.trim();
        let (form, rest) = text.split_once(char::is_whitespace).unwrap_or(("", text));
        let sane = |number: &f64| number.is_finite() && *number >= 0.0;
        let of = |value: &dyn Fn(&str) -> Option<f64>| {
            let first = |names: &[&str]| names.iter().find_map(|name| value(name).filter(sane));
            LoadReport { util: first(util), in_flight: first(in_hand) }
        };
        match form {
            "JSON" => of(&json(rest)),
            "TEXT" => of(&pairs(rest)),
            // The binary form is not spoken here; what names no form is taken as TEXT.
            "BIN" => LoadReport::default(),
            _ => of(&pairs(text)),
        }
    }

    /// In the TEXT form.
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
