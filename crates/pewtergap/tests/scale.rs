//! Small scale runs: hollow planners connected to real control machines, with faults. Checks that the judge finds planted
//! violations and that runs beyond the limits of the machine are refused.

use serde_json::Value;
use std::process::{Command, Output};

fn scale(args: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_pewtergap");
    Command::new(program).args(["scale", "--seed", "1"]).args(args).output().expect("it runs")
}

const SMALL: &[&str] = &[
    "--planners",
    "60",
    "--real",
    "0",
    "--control",
    "3",
    "--regions",
    "4",
    "--rest",
    "1",
    "--hold",
    "6",
    "--json",
];

fn run_small(args: &[&str]) -> (Option<i32>, Value) {
    let output = scale(&[SMALL, args].concat());
    let errors = String::from_utf8_lossy(&output.stderr);
    let report = serde_json::from_slice(&output.stdout).unwrap_or_else(|e| panic!("{e}: {errors}"));
    (output.status.code(), report)
}

#[test]
fn sixty_hollow_planners_and_three_machines_bear_a_kill_and_a_cut() {
    let (code, report) = run_small(&["--faults", "machine,region"]);
    let run = &report["runs"][0];
    assert_eq!(run["breaches"], serde_json::json!([]), "{run}");
    assert_eq!(code, Some(0));
    // Orders were stored, planners lost their watch and have one again, and answers were checked.
    assert_eq!(run["burst"]["kept"], 100, "{run}");
    assert_eq!(run["burst"]["in_force"]["missing"], 0, "{run}");
    let faults = run["faults"].as_array().expect("faults");
    assert_eq!(faults.len(), 2);
    for fault in faults {
        assert!(fault["kept"].as_u64() > Some(0), "{fault}");
        assert!(fault["again"]["count"].as_u64() > Some(0), "{fault}");
        assert_eq!(fault["again"]["missing"], 0, "{fault}");
        assert_eq!(fault["in_force"]["missing"], 0, "{fault}");
    }
    assert!(run["answers"].as_u64() > Some(10), "{run}");
}

#[test]
fn an_unheard_one_counted_in_force_is_found() {
    let (code, report) = run_small(&["--faults", "region", "--plant", "unheard-counted"]);
    let breaches = report["runs"][0]["breaches"].as_array().cloned().unwrap_or_default();
    assert_eq!(breaches.len(), 1, "{breaches:?}");
    assert_eq!(breaches[0]["rule"], "in force counts nobody who has it not");
    assert_eq!(code, Some(1));
}

#[test]
fn a_watcher_taken_back_is_found() {
    let (code, report) = run_small(&["--plant", "taken-back"]);
    let breaches = report["runs"][0]["breaches"].as_array().cloned().unwrap_or_default();
    assert_eq!(breaches.len(), 1, "{breaches:?}");
    assert_eq!(breaches[0]["rule"], "a place never falls");
    assert_eq!(code, Some(1));
}

#[test]
fn sizes_of_several_runs_go_into_one_report() {
    let dir = std::env::temp_dir().join(format!("pewtergap-scale-report-{}", std::process::id()));
    let run_size = |planners: &str| {
        let file = dir.join(format!("{planners}.json"));
        let size = ["--planners", planners, "--real", "0", "--control", "1", "--regions", "1", "--rest", "1"];
        let output = scale(&[&size[..], &["--json"]].concat());
        assert_eq!(output.status.code(), Some(0), "{}", String::from_utf8_lossy(&output.stderr));
        std::fs::create_dir_all(&dir).expect("a directory");
        std::fs::write(&file, output.stdout).expect("it is kept");
        file.display().to_string()
    };
    let (small, large) = (run_size("4"), run_size("8"));
    let out = dir.join("report");
    let output = scale(&["--beside", &large, "--beside", &small, "--out", &out.display().to_string()]);
    assert_eq!(output.status.code(), Some(0), "{}", String::from_utf8_lossy(&output.stderr));
    let read = |name: &str| std::fs::read_to_string(out.join(name)).expect("it is written");
    assert!(read("report.md").contains("| figure | unit | 4 | 8 |"));
    for plot in ["bytes.svg", "cpu.svg", "memory.svg", "in-force.svg"] {
        assert!(read(plot).contains("<svg") && read(plot).contains("planners"), "{plot}");
    }
    let slopes = read("slopes.toml");
    let bytes = slopes.split("[[slope]]").find(|slope| slope.contains("\"tier.planner.bytes\""));
    assert!(bytes.is_some_and(|slope| slope.contains("[[4, ") && slope.contains("[8, ")), "{slopes}");
    let wrong = scale(&["--beside", &out.join("report.md").display().to_string()]);
    assert_eq!(wrong.status.code(), Some(2));
    std::fs::remove_dir_all(&dir).expect("it goes");
}

#[test]
fn what_does_not_fit_is_refused_with_need_and_limit() {
    let output = scale(&["--planners", "1000000", "--control", "11", "--regions", "17"]);
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{errors}");
    assert!(
        errors.contains("memory: ") && errors.contains("processes: ") && errors.contains("the limit is"),
        "{errors}"
    );
    assert!(output.stdout.is_empty());
}
