//! Invalid target and slope files: all errors of a file are reported at once, each with file, line and field.

use pewtergap_capacity::{Slopes, Target, SLOPES_FILE, TARGET_FILE};

/// The text with one replacement, and the line of the replacement.
fn changed(text: &str, from: &str, to: &str) -> (String, usize) {
    assert_eq!(text.matches(from).count(), 1, "'{from}' stands once in the file");
    let line = 1 + text.split(from).next().unwrap_or("").matches('\n').count();
    (text.replace(from, to), line)
}

fn target_error(from: &str, to: &str) -> (String, usize) {
    let (text, line) = changed(TARGET_FILE.1, from, to);
    (Target::parse("size.toml", &text).expect_err(to).to_string(), line)
}

#[test]
fn a_wrong_size_is_told_with_file_line_and_field() {
    let cases = [
        ("planners = 3_800", "planners = \"many\"", "fleet.planners: a number was expected, string came"),
        ("planners = 3_800", "planners = 0", "fleet.planners: between 1 and 1000000000000 was expected, 0 came"),
        ("planners = 3_800", "planners = 3.5", "fleet.planners: a whole number was expected, 3.5 came"),
        ("planners = 3_800", "planners = nan", "fleet.planners: a number was expected, float came"),
        ("regions = 17", "regions = 52", "fleet.regions: 52 were said, of 51 zones"),
        ("voters = 5", "voters = 4", "fleet.voters: an odd number was expected: an even one stands no more losses"),
        ("voters = 5", "voters = 13", "fleet.voters: 13 were said, of 11 machines"),
        ("planner_core = 0.019", "planner_cores = 0.019", "budgets.planner_cores: there is no such field"),
        ("proxies_a_planner = [4, 100]", "proxies_a_planner = 4", "parameters.proxies_a_planner: two values were expected, [a, b]"),
        ("proxies_a_planner = [4, 100]", "proxies_a_planner = [4, 4]", "parameters.proxies_a_planner: two values that differ were expected: the page has its figures at both"),
        ("rack_part = [0.05, 0.25]", "rack_part = [0.05, 2]", "parameters.rack_part: between 0.000001 and 1 was expected, 2 came"),
        ("machines_out = [0, 1]", "machines_out = [0, 11]", "parameters.machines_out: 11 came, 10 at most by the fleet"),
        ("services_a_planner = [1, 19]", "services_a_planner = [1, 1_900]", "parameters.services_a_planner: 1900 came, 1800 at most by the fleet"),
    ];
    for (from, to, error) in cases {
        let (message, line) = target_error(from, to);
        let expected = format!("size.toml:{line}: {error}");
        assert!(message.lines().any(|message| message == expected), "{expected}\ncame:\n{message}");
    }
}

#[test]
fn what_is_missing_is_told_where_it_was_missed() {
    let (message, _) = target_error("zones = 51\n", "");
    let section = 1 + TARGET_FILE.1.split("[fleet]").next().unwrap_or("").matches('\n').count();
    assert_eq!(message, format!("size.toml:{section}: fleet.zones: is missing"));
    let (message, _) = target_error("[budgets]", "[budget]");
    assert!(message.lines().any(|message| message.ends_with(" budgets: is missing")), "{message}");
    assert!(message.lines().any(|message| message.ends_with(" budget: there is no such field")), "{message}");
}

#[test]
fn what_is_no_toml_is_told_with_its_line() {
    let (message, line) = target_error("routes = 32_000", "routes = 32_000 and more");
    assert!(message.starts_with(&format!("size.toml:{line}: ")), "{message}");
}

#[test]
fn all_faults_of_a_file_are_told_at_once_in_the_files_order() {
    let text = TARGET_FILE
        .1
        .replace("planners = 3_800", "planners = -1")
        .replace("tenants = 82_000", "tenants = true");
    let errors = Target::parse("size.toml", &text).expect_err("two faults");
    let fields: Vec<&str> = errors.0.iter().map(|error| error.field.as_str()).collect();
    assert_eq!(fields, ["fleet.planners", "fleet.tenants"]);
    assert!(errors.0[0].line < errors.0[1].line);
}

const SLOPE: &str = "[[slope]]\nname = \"list.bytes\"\nx = \"servers\"\nunit = \"bytes\"\n\
                     points = [[1, 100], [2, 200]]\nrun = \"a command\"\ndate = 2026-12-01\nbuild = \"1234567\"\n";

fn slope_error(from: &str, to: &str) -> String {
    let (text, line) = changed(SLOPE, from, to);
    let message = Slopes::parse("slopes.toml", &text).expect_err(to).to_string();
    let prefix = format!("slopes.toml:{line}: ");
    message.lines().find_map(|message| message.strip_prefix(&prefix)).unwrap_or(&message).to_string()
}

#[test]
fn wrong_points_are_told_with_file_line_and_field() {
    let cases = [
        ("\"list.bytes\"", "\"list.bites\"", "slope(list.bites).name: there is no such slope"),
        (
            "x = \"servers\"",
            "x = \"planners\"",
            "slope(list.bytes).x: \"servers\" was expected, \"planners\" came",
        ),
        ("unit = \"bytes\"", "unit = \"KB\"", "slope(list.bytes).unit: \"bytes\" was expected, \"KB\" came"),
        (
            "[[1, 100], [2, 200]]",
            "7",
            "slope(list.bytes).points: a list of points was expected, [[x, y], ...]",
        ),
        ("[2, 200]", "[2]", "slope(list.bytes).points: a point was expected, [x, y]"),
        (
            "[2, 200]",
            "[2, -200]",
            "slope(list.bytes).points: between 0 and 1000000000000000000 was expected, -200 came",
        ),
        (
            "date = 2026-12-01",
            "date = \"yesterday\"",
            "slope(list.bytes).date: a date was expected, 2026-12-31",
        ),
        ("date = 2026-12-01", "date = 12:00:00", "slope(list.bytes).date: a date was expected, 2026-12-31"),
        ("build = \"1234567\"", "build = \"\"", "slope(list.bytes).build: is empty"),
        ("run =", "runs =", "slope(list.bytes).runs: there is no such field"),
    ];
    for (from, to, error) in cases {
        assert_eq!(slope_error(from, to), error);
    }
}

#[test]
fn only_a_difference_may_be_below_zero() {
    let text = SLOPE.replace("[2, 200]", "[-2, 200]");
    let message = Slopes::parse("slopes.toml", &text).expect_err("a size below zero").to_string();
    assert!(message.contains("slope(list.bytes).points: between 0 and "), "{message}");
    let added = "name = \"proxy.added_p99\"\nx = \"requests/s\"\nunit = \"s\"\npoints = [";
    assert_eq!(SLOPES_FILE.1.matches(added).count(), 1);
    let text = SLOPES_FILE.1.replace(added, &format!("{added}[7, -0.5], "));
    assert!(Slopes::parse("slopes.toml", &text).is_ok());
}

#[test]
fn points_without_a_run_are_refused_and_a_place_without_points_needs_none() {
    let text = SLOPE.replace("run = \"a command\"\n", "");
    let message = Slopes::parse("slopes.toml", &text).expect_err("no run").to_string();
    assert!(message.contains("slopes.toml:1: slope(list.bytes).run: is missing"), "{message}");
    // A file stays valid if the points of one of its slopes are removed.
    let place = "name = \"tier.snapshot\"\nx = \"changes in force\"\nunit = \"bytes\"\n";
    assert!(SLOPES_FILE.1.contains(place));
    let start = SLOPES_FILE.1.find(place).unwrap_or(0);
    let rest = &SLOPES_FILE.1[start..];
    let section = &rest[..rest.find("[[slope]]").unwrap_or(rest.len())];
    let emptied = SLOPES_FILE.1.replace(section, &format!("{place}points = []\n"));
    assert!(Slopes::parse("slopes.toml", &emptied).is_ok());
}

#[test]
fn a_slope_twice_or_one_left_out_is_told() {
    let message = Slopes::parse("slopes.toml", &SLOPE.repeat(2)).expect_err("twice").to_string();
    assert!(message.contains("slopes.toml:10: slope(list.bytes).name: is there twice"), "{message}");
    assert!(message.contains("slope: list.memory is missing; without points it keeps a place"), "{message}");
}
