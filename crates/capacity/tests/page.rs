//! docs/CAPACITY.md has the tables that the command prints from the repository's target and slopes, and the figures in them
//! are what they are called.

use pewtergap_capacity::page::{print, renew, sections};
use pewtergap_capacity::{work_out, Book, Kind, Over, Size, Slopes, MEASURED, TARGET};

const PAGE: &str = include_str!("../../../docs/CAPACITY.md");

fn book() -> Book {
    let size = Size::read(TARGET.0, TARGET.1).expect("the target");
    work_out(size, Slopes::read(MEASURED.0, MEASURED.1).expect("the slopes"))
}

/// The page's tables alone, as its marks have them.
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
    let printed = print(&book());
    let page = tables(PAGE).join("\n");
    let apart = printed.lines().zip(page.lines()).find(|(printed, page)| printed != page);
    assert_eq!(apart, None, "`pewtergap capacity --renew docs/CAPACITY.md` writes them anew");
    assert_eq!(printed, page);
}

#[test]
fn another_slope_gives_another_page() {
    let size = Size::read(TARGET.0, TARGET.1).expect("the target");
    let mut slopes = Slopes::read(MEASURED.0, MEASURED.1).expect("the slopes");
    let sharing = slopes.0.iter_mut().find(|slope| slope.name == "sharing.bytes").expect("sharing");
    sharing.points.iter_mut().for_each(|point| point[1] *= 2.0);
    let other = work_out(size, slopes);
    assert_ne!(print(&other), print(&book()));
    let renewed = renew(PAGE, &other).expect("the page has its marks");
    assert_ne!(renewed, PAGE);
    assert_eq!(tables(&renewed).join("\n"), print(&other));
    assert_eq!(renew(&renewed, &book()).as_deref(), Ok(PAGE));
}

#[test]
fn a_page_that_lacks_a_mark_or_has_it_twice_is_refused() {
    let book = book();
    for section in sections(&book) {
        let mark = format!("<!-- table: {} -->\n", section.name);
        assert!(renew(&PAGE.replace(&mark, ""), &book).is_err(), "{mark} taken out");
        assert!(renew(&format!("{PAGE}{mark}"), &book).is_err(), "{mark} twice");
    }
}

#[test]
fn what_is_over_is_told_worst_first_and_all_of_it() {
    let book = book();
    let worst: Vec<f64> = book.over.iter().map(Over::worst).collect();
    assert!(worst.windows(2).all(|two| two[0] >= two[1]), "{worst:?}");
    assert!(worst.iter().all(|by| *by > 1.0));
    let figures =
        book.figures.iter().filter(|figure| figure.headroom().is_some_and(|room| room < 1.0)).count();
    let bounds = book.bounds.iter().filter(|bound| bound.factors().into_iter().any(|by| by > 1.0)).count();
    assert_eq!(book.over.len(), figures + bounds);
    // Twice the budget: what is over by less than two is gone, the others' order stays.
    let text = TARGET.1.replace("planner_bytes_per_s = 5_000", "planner_bytes_per_s = 10_000");
    let size = Size::read(TARGET.0, &text).expect("the target");
    let eased = work_out(size, book.slopes.clone());
    assert!(eased.over.len() <= book.over.len());
    let worst: Vec<f64> = eased.over.iter().map(Over::worst).collect();
    assert!(worst.windows(2).all(|two| two[0] >= two[1]), "{worst:?}");
}

#[test]
fn a_factor_is_the_figure_over_its_budget() {
    let text = MEASURED.1.to_string();
    let mut slopes = Slopes::read(MEASURED.0, &text).expect("the slopes");
    // A line known by hand: 100 bytes a second for each other planner and server.
    for slope in slopes.0.iter_mut().filter(|slope| slope.name == "sharing.bytes") {
        slope.points = vec![[0.0, 0.0], [1_000.0, 100_000.0]];
    }
    let size = Size::read(TARGET.0, TARGET.1).expect("the target");
    let book = work_out(size, slopes);
    let found = book.over.iter().find_map(|over| match over {
        Over::Figure(figure, by) if figure.part == "sharing with all planners" => Some((figure.at, *by)),
        _ => None,
    });
    let (at, by) = found.expect("sharing is over its budget");
    assert_eq!(at.map(|at| at.0), Some([3_799.0 * 34_000.0 * 100.0; 2]));
    assert_eq!(by, [3_799.0 * 34_000.0 * 100.0 / 5_000.0; 2]);
    // And says how far it followed its line.
    let sharing = book.figures.iter().find(|figure| figure.part == "sharing with all planners");
    assert_eq!(sharing.map(|figure| figure.beyond), Some(3_799.0 * 34_000.0 / 1_000.0));
}

#[test]
fn each_figure_says_truly_of_which_kind_it_is() {
    let book = book();
    assert!(book.figures.len() > 60, "{}", book.figures.len());
    for figure in &book.figures {
        let told = format!("{:?} {:?} {} {:?}", figure.role, figure.situation, figure.part, figure.quantity);
        let Some(at) = figure.at else {
            assert!(!figure.waits_for.is_empty(), "{told} has no figure and waits for nothing");
            continue;
        };
        assert!(figure.waits_for.is_empty(), "{told}");
        assert!(at.0.iter().all(|value| value.is_finite() && *value >= 0.0), "{told}: {at:?}");
        match &figure.kind {
            Kind::Measured { slope, run } => {
                let slope = book.slopes.get(slope).expect("a slope");
                assert!(
                    slope.points.iter().any(|point| point[1] == at.0[0]),
                    "{told} is no point of {}",
                    slope.name
                );
                assert_eq!((&slope.run.command, at.0[0]), (run, at.0[1]), "{told}");
            }
            Kind::Reckoned { slopes } => {
                assert!(!slopes.is_empty(), "{told}");
                assert_eq!(at.0[0], at.0[1], "{told} moves with a parameter that it does not name");
            }
            Kind::Assumed { parameters, .. } => assert!(!parameters.is_empty(), "{told}"),
        }
        let through: &[String] = match &figure.kind {
            Kind::Measured { .. } => &[],
            Kind::Reckoned { slopes } | Kind::Assumed { slopes, .. } => slopes,
        };
        for name in through {
            assert!(book.slopes.get(name).is_some_and(|slope| slope.points.len() > 1), "{told}: {name}");
        }
    }
}

#[test]
fn each_parameter_moves_what_names_it() {
    let book = book();
    for open in pewtergap_capacity::PARAMETERS {
        let [_, second] = book.size.pair(open.name).0;
        let lines: Vec<String> = TARGET
            .1
            .lines()
            .map(|line| match line.starts_with(open.name) {
                true => format!("{} = [{}, {}]", open.name, second, second / 2.0),
                false => line.into(),
            })
            .collect();
        let Ok(size) = Size::read(TARGET.0, &lines.join("\n")) else { continue };
        let other = work_out(size, book.slopes.clone());
        for (one, other) in book.figures.iter().zip(&other.figures) {
            let names = matches!(&one.kind, Kind::Assumed { parameters, .. } if parameters.iter().any(|p| p == open.name));
            if !names && one.at.is_some() {
                assert_eq!(one.at, other.at, "{} moves {} unnamed", open.name, one.part);
            }
        }
    }
}

#[test]
fn bounds_without_any_place_come_first() {
    let book = book();
    assert!(matches!(&book.over[0], Over::Bound(bound, by) if bound.most == 0.0 && by[0].is_infinite()));
}

#[test]
fn a_book_goes_out_as_json() {
    let text = serde_json::to_string(&book()).expect("JSON");
    let back: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!(back["figures"].as_array().map(Vec::len), Some(book().figures.len()));
    assert_eq!(back["size"]["planners"], 3_800.0);
}
