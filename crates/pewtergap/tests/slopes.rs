//! Runs the measurements by size as commands. Checks that each figure is present and that the predictable ones are right;
//! times and processor time are not checked.

use serde_json::Value;
use std::process::Command;

fn measured(args: &[&str]) -> Vec<Value> {
    let output = Command::new(env!("CARGO_BIN_EXE_pewtergap"))
        .args(["--log", "warn", "measure"])
        .args(args)
        .output()
        .expect("the program");
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(0), "{args:?}: {errors}");
    let text = String::from_utf8(output.stdout).expect("text");
    text.lines().map(|line| serde_json::from_str(line).expect("a line of JSON")).collect()
}

fn number(row: &Value, name: &str) -> f64 {
    row[name].as_f64().unwrap_or_else(|| panic!("{name} is no number in {row}"))
}

#[test]
fn a_longer_list_says_more_and_reaches_planner_and_proxy() {
    let rows = measured(&["list", "--servers", "20,60", "--a-slice", "10", "--rest", "1"]);
    assert_eq!(rows.len(), 2);
    for row in &rows {
        // The list contains the addresses of all servers, and a change resends one slice of ten servers.
        assert!(number(row, "list_bytes") > number(row, "servers") * 50.0, "{row}");
        assert!(number(row, "change_bytes") > 500.0, "{row}");
        assert!(number(row, "kept_bytes") > number(row, "servers") * 20.0, "{row}");
        for name in ["memory", "proxy_memory", "descriptors", "table_bytes"] {
            assert!(number(row, name) > 0.0, "{name}: {row}");
        }
    }
    for name in ["list_bytes", "kept_bytes", "table_bytes"] {
        assert!(number(&rows[1], name) > number(&rows[0], name), "{name}");
    }
    // A slice has ten servers at both sizes, so a change differs only by the length of the addresses.
    let changes = (number(&rows[0], "change_bytes"), number(&rows[1], "change_bytes"));
    assert!((changes.0 - changes.1).abs() < 0.05 * changes.0, "{changes:?}");
}

#[test]
fn both_ways_of_the_data_path_have_the_same_requests_and_none_fails() {
    let rows = measured(&["path", "--rates", "100", "--seconds", "1"]);
    let row = &rows[0];
    assert_eq!(row["direct"]["due"], row["proxied"]["due"]);
    assert!(row["direct"]["due"].as_u64().is_some_and(|due| (150..600).contains(&due)), "{row}");
    assert_eq!((&row["direct"]["failed"], &row["proxied"]["failed"]), (&Value::from(0), &Value::from(0)));
    let added = number(&row["proxied"], "p50") - number(&row["direct"], "p50");
    assert!((added - number(row, "added_p50")).abs() < 1e-12, "{row}");
}

#[test]
fn voters_are_looked_at_while_orders_come_and_after_entries_came() {
    let rows = measured(&[
        "voter",
        "--rates",
        "0,20",
        "--entries",
        "300",
        "--voters",
        "3",
        "--kills",
        "1",
        "--seconds",
        "1",
    ]);
    assert_eq!(rows.len(), 5);
    assert!(number(&rows[1], "kept_per_s") > 0.0, "{}", rows[1]);
    assert!(number(&rows[1], "bytes_per_s") > 0.0 && number(&rows[1], "words_per_s") > 0.0);
    assert!(number(&rows[2], "entries") >= 300.0 && number(&rows[2], "leader_disk") > 3_000.0, "{}", rows[2]);
    assert_eq!((&rows[3]["voters"], &rows[4]["voters"]), (&Value::from(3), &Value::from(3)));
    assert_eq!(rows[4]["without_leader_ms"]["count"], 1);
}

#[test]
fn probes_streams_and_routes_are_looked_at() {
    // A round of probes takes 2 s, so 3 s at rest contain one.
    let probes = measured(&["probes", "--servers", "10", "--rest", "3"]);
    assert!(number(&probes[0], "probes_per_s") > 0.0, "{}", probes[0]);
    assert_eq!(number(&probes[0], "messages_per_s"), 2.0 * number(&probes[0], "probes_per_s"));
    let streams = measured(&["streams", "--proxies", "3", "--rest", "3"]);
    assert!(number(&streams[0], "messages_per_s") > 0.0, "{}", streams[0]);
    assert!(number(&streams[0], "bytes_per_s") > number(&streams[0], "messages_per_s"), "{}", streams[0]);
    let routes = measured(&["routes", "--routes", "2", "--rest", "1"]);
    assert!(number(&routes[0], "memory") > 0.0 && routes[0]["routes"] == 2, "{}", routes[0]);
}
