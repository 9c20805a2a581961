//! Runs the `capacity` command as a process: its tables, and the errors for invalid files.

use std::process::{Command, Output};

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_pewtergap")).arg("capacity").args(args).output().expect("the program")
}

#[test]
fn the_command_prints_the_pages_tables() {
    let page = include_str!("../../../docs/CAPACITY.md");
    let output = run(&[]);
    assert_eq!(output.status.code(), Some(0), "{}", String::from_utf8_lossy(&output.stderr));
    let printed = String::from_utf8(output.stdout).expect("text");
    let missing: Vec<&str> = printed.lines().filter(|line| !page.contains(line)).collect();
    assert!(missing.is_empty() && printed.lines().count() > 100, "{missing:?}");
    let output = run(&["--json"]);
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(report["size"]["servers"], 34_000.0);
}

#[test]
fn a_wrong_file_ends_it_with_2_and_says_file_line_and_field() {
    let dir = std::env::temp_dir().join(format!("pewtergap-capacity-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let text = include_str!("../../../docs/capacity/target.toml");
    let file = dir.join("size.toml");
    std::fs::write(&file, text.replace("planners = 3_800", "planners = \"x\"")).expect("a file");
    let line = 1 + text.lines().position(|line| line == "planners = 3_800").expect("planners");
    let name = file.display().to_string();
    let cases = [
        (
            vec!["--size", &name],
            format!("{name}:{line}: fleet.planners: a number was expected, string came\n"),
        ),
        (vec!["--slopes", &name], format!("{name}:4: fleet: there is no such field\n")),
        (vec!["--size", "/nowhere/at-all"], "/nowhere/at-all: ".to_string()),
    ];
    for (args, expected) in cases {
        let output = run(&args);
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{errors}");
        assert!(errors.contains(&expected) && output.stdout.is_empty(), "{expected}\ncame: {errors}");
    }
    std::fs::remove_dir_all(&dir).expect("the folder goes");
}
