//! The list of known failures as CI reads it.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const TESTS: &str = "a_test: test\nanother_test: test\n";
const REST: &str = "| a command, no seed | what was seen | 1";

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Runs CI's script on a list with one entry.
fn read_entry(case: &str, name: &str) -> Output {
    let folder = std::env::temp_dir().join(format!("known-red-{case}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let (file, list) = (folder.join("known"), folder.join("list"));
    std::fs::write(&file, format!("{name} {REST}\n")).expect("the entry is written");
    std::fs::write(&list, TESTS).expect("the tests are written");
    let output = Command::new("bash").arg(".ci/known-red").arg(&file).arg(&list).current_dir(root()).output();
    std::fs::remove_dir_all(&folder).expect("the folder is removed");
    output.expect("the script runs")
}

#[test]
fn a_known_failure_is_passed_over_alone() {
    let output = read_entry("test", "a_test");
    assert!(output.status.success());
    assert_eq!(String::from_utf8_lossy(&output.stdout), "--exact\n--skip\na_test\n");
}

#[test]
fn a_script_of_the_review_is_printed_and_nothing_is_passed_over_for_it() {
    let output = read_entry("script", "review/2/run.sh");
    assert!(output.status.success());
    assert_eq!(String::from_utf8_lossy(&output.stdout), "--exact\n");
    assert!(String::from_utf8_lossy(&output.stderr).contains("review/2/run.sh"));
}

#[test]
fn entries_that_name_neither_a_test_nor_a_script_are_refused() {
    for (case, name) in [("unknown", "no_such_test"), ("missing", "review/99/run.sh"), ("part", "a_tes")] {
        let output = read_entry(case, name);
        assert!(!output.status.success(), "{name} is refused");
        assert!(String::from_utf8_lossy(&output.stderr).contains(name), "{name} is named");
    }
}
