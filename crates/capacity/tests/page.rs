//! Checks that the tables of docs/CAPACITY.md match what the command prints for the target and slopes of this repository, and
//! that each figure is of the kind that it claims.

use pewtergap_capacity::page::{render, sections, update_page};
use pewtergap_capacity::{build_report, Kind, Overrun, Report, Slopes, Target, SLOPES_FILE, TARGET_FILE};

const PAGE: &str = include_str!("../../../docs/CAPACITY.md");

fn report() -> Report {
    let target = Target::parse(TARGET_FILE.0, TARGET_FILE.1).expect("the target");
    build_report(target, Slopes::parse(SLOPES_FILE.0, SLOPES_FILE.1).expect("the slopes"))
}

/// The tables of the page, found by their markers.
fn tables(page: &str) -> Vec<String> {
    let begun = page.split("<!-- table: ").skip(1);
    let text = |block: &str| {
        let (name, rest) = block.split_once(" -->\n")?;
        let (text, _) = rest.split_once(&format!("<!-- end: {name} -->"))?;
        Some(text.to_string())
    };
    begun.map(|block| text(block).unwrap_or_default()).collect()
}

#[test]
fn the_pages_tables_are_what_the_command_prints() {
    let printed = render(&report());
    let page = tables(PAGE).join("\n");
    let difference = printed.lines().zip(page.lines()).find(|(printed, page)| printed != page);
    assert_eq!(difference, None, "`pewtergap capacity --renew docs/CAPACITY.md` writes them anew");
    assert_eq!(printed, page);
}

#[test]
fn another_slope_gives_another_page() {
    let target = Target::parse(TARGET_FILE.0, TARGET_FILE.1).expect("the target");
    let mut slopes = Slopes::parse(SLOPES_FILE.0, SLOPES_FILE.1).expect("the slopes");
    let sharing = slopes.0.iter_mut().find(|slope| slope.name == "sharing.bytes").expect("sharing");
    sharing.points.iter_mut().for_each(|point| point[1] *= 2.0);
    let other = build_report(target, slopes);
    assert_ne!(render(&other), render(&report()));
    let renewed = update_page(PAGE, &other).expect("the page has its marks");
    assert_ne!(renewed, PAGE);
    assert_eq!(tables(&renewed).join("\n"), render(&other));
    assert_eq!(update_page(&renewed, &report()).as_deref(), Ok(PAGE));
}

#[test]
fn a_page_that_lacks_a_mark_or_has_it_twice_is_refused() {
    let report = report();
    for section in sections(&report) {
        let mark = format!("<!-- table: {} -->\n", section.name);
        assert!(update_page(&PAGE.replace(&mark, ""), &report).is_err(), "{mark} taken out");
        assert!(update_page(&format!("{PAGE}{mark}"), &report).is_err(), "{mark} twice");
    }
}

#[test]
fn what_is_over_is_told_worst_first_and_all_of_it() {
    let report = report();
    let worst: Vec<f64> = report.over.iter().map(Overrun::max_factor).collect();
    assert!(worst.windows(2).all(|two| two[0] >= two[1]), "{worst:?}");
    assert!(worst.iter().all(|factor| *factor > 1.0));
    let figures = report
        .figures
        .iter()
        .filter(|figure| figure.headroom().is_some_and(|headroom| headroom < 1.0))
        .count();
    let bounds =
        report.bounds.iter().filter(|bound| bound.factors().into_iter().any(|factor| factor > 1.0)).count();
    assert_eq!(report.over.len(), figures + bounds);
    // With twice the budget, overruns by less than 2 disappear and the order of the others stays.
    let text = TARGET_FILE.1.replace("planner_bytes_per_s = 5_000", "planner_bytes_per_s = 10_000");
    let target = Target::parse(TARGET_FILE.0, &text).expect("the target");
    let relaxed = build_report(target, report.slopes.clone());
    assert!(relaxed.over.len() <= report.over.len());
    let worst: Vec<f64> = relaxed.over.iter().map(Overrun::max_factor).collect();
    assert!(worst.windows(2).all(|two| two[0] >= two[1]), "{worst:?}");
}

#[test]
fn a_factor_is_the_figure_over_its_budget() {
    let text = SLOPES_FILE.1.to_string();
    let mut slopes = Slopes::parse(SLOPES_FILE.0, &text).expect("the slopes");
    // A line with a known result: 100 bytes per second for each other planner and server.
    for slope in slopes.0.iter_mut().filter(|slope| slope.name == "sharing.bytes") {
        slope.points = vec![[0.0, 0.0], [1_000.0, 100_000.0]];
    }
    let target = Target::parse(TARGET_FILE.0, TARGET_FILE.1).expect("the target");
    let report = build_report(target, slopes);
    let found = report.over.iter().find_map(|over| match over {
        Overrun::Figure(figure, factors) if figure.part == "sharing with all planners" => {
            Some((figure.at, *factors))
        }
        _ => None,
    });
    let (at, factors) = found.expect("sharing is over its budget");
    assert_eq!(at.map(|at| at.0), Some([3_799.0 * 34_000.0 * 100.0; 2]));
    assert_eq!(factors, [3_799.0 * 34_000.0 * 100.0 / 5_000.0; 2]);
    // The figure also reports how far its line was extrapolated.
    let sharing = report.figures.iter().find(|figure| figure.part == "sharing with all planners");
    assert_eq!(sharing.map(|figure| figure.beyond), Some(3_799.0 * 34_000.0 / 1_000.0));
}

#[test]
fn each_figure_says_truly_of_which_kind_it_is() {
    let report = report();
    assert!(report.figures.len() > 60, "{}", report.figures.len());
    for figure in &report.figures {
        let context =
            format!("{:?} {:?} {} {:?}", figure.role, figure.situation, figure.part, figure.quantity);
        let Some(at) = figure.at else {
            assert!(!figure.waits_for.is_empty(), "{context} has no figure and waits for nothing");
            continue;
        };
        assert!(figure.waits_for.is_empty(), "{context}");
        assert!(at.0.iter().all(|value| value.is_finite() && *value >= 0.0), "{context}: {at:?}");
        match &figure.kind {
            Kind::Measured { slope, run } => {
                let slope = report.slopes.get(slope).expect("a slope");
                assert!(
                    slope.points.iter().any(|point| point[1] == at.0[0]),
                    "{context} is no point of {}",
                    slope.name
                );
                assert_eq!((&slope.run.command, at.0[0]), (run, at.0[1]), "{context}");
            }
            Kind::Reckoned { slopes } => {
                assert!(!slopes.is_empty(), "{context}");
                assert_eq!(at.0[0], at.0[1], "{context} moves with a parameter that it does not name");
            }
            Kind::Assumed { parameters, .. } => assert!(!parameters.is_empty(), "{context}"),
        }
        let used_slopes: &[String] = match &figure.kind {
            Kind::Measured { .. } => &[],
            Kind::Reckoned { slopes } | Kind::Assumed { slopes, .. } => slopes,
        };
        for name in used_slopes {
            assert!(report.slopes.get(name).is_some_and(|slope| slope.points.len() > 1), "{context}: {name}");
        }
    }
}

#[test]
fn each_parameter_moves_what_names_it() {
    let report = report();
    for parameter in pewtergap_capacity::PARAMETERS {
        let [_, second] = report.target.pair(parameter.name).0;
        let lines: Vec<String> = TARGET_FILE
            .1
            .lines()
            .map(|line| match line.starts_with(parameter.name) {
                true => format!("{} = [{}, {}]", parameter.name, second, second / 2.0),
                false => line.into(),
            })
            .collect();
        let Ok(target) = Target::parse(TARGET_FILE.0, &lines.join("\n")) else { continue };
        let other = build_report(target, report.slopes.clone());
        for (one, other) in report.figures.iter().zip(&other.figures) {
            let names = matches!(&one.kind, Kind::Assumed { parameters, .. } if parameters.iter().any(|p| p == parameter.name));
            if !names && one.at.is_some() {
                assert_eq!(one.at, other.at, "{} moves {} unnamed", parameter.name, one.part);
            }
        }
    }
}

#[test]
fn bounds_without_any_place_come_first() {
    let report = report();
    assert!(
        matches!(&report.over[0], Overrun::Bound(bound, factors) if bound.most == 0.0 && factors[0].is_infinite())
    );
}

#[test]
fn the_report_serializes_as_json() {
    let text = serde_json::to_string(&report()).expect("JSON");
    let back: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!(back["figures"].as_array().map(Vec::len), Some(report().figures.len()));
    assert_eq!(back["size"]["planners"], 3_800.0);
}
