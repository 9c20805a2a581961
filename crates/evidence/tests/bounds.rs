//! The effects of reported observations, and that their limits hold for any reports.

use pewtergap_evidence::{Evidence, PeerReport, ServerObservation, MAX_SERVER_REDUCTION, MAX_ZONE_REDUCTION};
use pewtergap_time::{Moment, Span};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::fmt::Write;

fn at(ms: u64) -> Moment {
    Moment((ms + 100_000) * 1_000_000)
}

fn report(number: u64, tried: u64, bad: u64, observations: &[(&str, f64, f64)]) -> PeerReport {
    let row = |(server, tries, dropped): &(&str, f64, f64)| ServerObservation {
        server: server.to_string(),
        tries: *tries,
        dropped: *dropped,
        age: Span(0),
    };
    PeerReport {
        start: 1,
        sequence: number,
        observations: observations.iter().map(row).collect(),
        servers_tried: tried,
        servers_bad: bad,
    }
}

fn zone(server: &str) -> Option<(String, f64)> {
    (server != "unknown").then(|| (server[..1].to_string(), 1.0))
}

fn zones() -> BTreeMap<String, f64> {
    [("a".to_string(), 10.0), ("b".to_string(), 10.0)].into()
}

#[test]
fn reported_drops_reduce_the_weight_and_request_a_probe_for_a_while() {
    let mut evidence = Evidence::new(1);
    let mut trace = String::new();
    let mut evaluate = |evidence: &mut Evidence, ms: u64, what: &str| {
        let recommendations = evidence.evaluate(at(ms), zone, &zones());
        let reductions: Vec<String> =
            recommendations.weight_reductions.iter().map(|l| format!("{} by {:.2}", l.0, l.1)).collect();
        writeln!(trace, "{ms} {what}: lighter {reductions:?}, ask {:?}", recommendations.probe)
            .expect("written");
    };
    evidence.receive_report(at(0), 2, &report(1, 20, 1, &[("a1", 5.0, 5.0)]));
    evaluate(&mut evidence, 0, "few tries");
    evidence.receive_report(at(100), 2, &report(2, 20, 1, &[("a1", 40.0, 38.0)]));
    evaluate(&mut evidence, 100, "many dropped");
    evaluate(&mut evidence, 200, "unchanged");
    evidence.receive_report(at(300), 2, &report(1, 20, 1, &[("a2", 90.0, 90.0)]));
    evaluate(&mut evidence, 300, "an outdated report");
    evidence.record_tries(at(400), "a1", 40.0, 1.0);
    evaluate(&mut evidence, 400, "healthy for our own proxies");
    evidence.receive_report(at(500), 3, &report(1, 20, 16, &[("b1", 60.0, 60.0), ("b2", 60.0, 60.0)]));
    evidence.record_tries(at(500), "b9", 40.0, 0.0);
    evaluate(&mut evidence, 500, "a planner that reports nearly all servers failing");
    evidence.receive_report(at(600), 2, &report(3, 20, 2, &[("b1", 60.0, 60.0), ("unknown", 90.0, 90.0)]));
    evaluate(&mut evidence, 600, "another planner reports one of them");
    evaluate(&mut evidence, 20_600, "no further reports");
    insta::assert_snapshot!(trace);
}

#[test]
fn a_flood_of_observations_is_limited_to_the_worst() {
    let mut evidence = Evidence::new(1);
    let names: Vec<String> = (0..5_000).map(|n| format!("a{n}")).collect();
    let observations: Vec<(&str, f64, f64)> = names.iter().map(|name| (name.as_str(), 100.0, 90.0)).collect();
    assert!(evidence.receive_report(at(0), 2, &report(1, 10_000, 3_000, &observations)));
    let recommendations = evidence.evaluate(at(0), zone, &[("a".to_string(), 5_000.0)].into());
    assert!(recommendations.probe.len() <= pewtergap_evidence::MAX_PROBES);
    assert!(recommendations.weight_reductions.len() <= pewtergap_evidence::MAX_OBSERVATIONS);
    // The observations of our own proxies are reported up to the limit.
    names.iter().for_each(|name| evidence.record_tries(at(0), name, 100.0, 90.0));
    assert_eq!(evidence.make_report(at(0)).observations.len(), pewtergap_evidence::MAX_OBSERVATIONS);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn reductions_stay_within_their_limits(
        reports in prop::collection::vec(
            (2u64..6, 1u64..50, 0u64..40, 0u64..40,
             prop::collection::vec((0usize..20, -5.0f64..1e9, -5.0f64..1e9), 0..30)),
            0..40,
        )
    ) {
        let mut evidence = Evidence::new(1);
        for (step, (from, number, tried, bad, observations)) in reports.into_iter().enumerate() {
            let names: Vec<String> = observations.iter().map(|s| format!("{}{}", ["a", "b"][s.0 % 2], s.0)).collect();
            let observations: Vec<(&str, f64, f64)> =
                observations.iter().zip(&names).map(|(s, name)| (name.as_str(), s.1, s.2)).collect();
            evidence.receive_report(at(step as u64 * 50), from, &report(number, tried, bad, &observations));
            evidence.evaluate(at(step as u64 * 50), zone, &zones());
            for zone in ["a", "b"] {
                let taken: f64 = evidence.weight_reductions().iter().filter(|l| l.0.starts_with(zone)).map(|l| l.1).sum();
                prop_assert!(taken <= MAX_ZONE_REDUCTION * 10.0 + 1e-6, "{}", taken);
            }
            prop_assert!(evidence.weight_reductions().values().all(|part| *part <= MAX_SERVER_REDUCTION));
        }
    }
}
