//! Plays days with planners and proxies as processes and checks all five rules against the recording. Also checks that the
//! audit finds planted violations.

use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicUsize, Ordering};

fn dir(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name)
}

fn run_program(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_pewtergap")).args(["--log", "error"]).args(args).output().unwrap()
}

fn rehearse(args: &[&str], name: &str) -> (i32, String) {
    let out = dir(name);
    let output = run_program(&[&["rehearse", "--out", out.to_str().unwrap()], args].concat());
    let text =
        String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr);
    (output.status.code().unwrap_or(-1), text)
}

/// Plays days, four at a time, and returns the output of each failed one.
fn play_all(days: &[String]) -> Vec<String> {
    let next = AtomicUsize::new(0);
    let play = || {
        let mut failed = Vec::new();
        while let Some(day) = days.get(next.fetch_add(1, Ordering::Relaxed)) {
            let (code, text) = rehearse(&[day, "--alone"], day);
            if code != 0 {
                failed.push(format!("{day}: exit {code}\n{text}"));
            }
        }
        failed
    };
    std::thread::scope(|scope| {
        let threads = [(); 4].map(|()| scope.spawn(play));
        threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
    })
}

#[test]
fn the_bad_day_keeps_all_rules_and_serves_more_than_with_the_planners_off() {
    let (code, text) = rehearse(&["--json"], "bad");
    assert_eq!(code, 0, "{text}");
    let figures: serde_json::Value = serde_json::from_str(text.lines().next().unwrap()).unwrap();
    let served = |which: &str| figures[which]["served"].as_f64().unwrap();
    assert!(served("service") > served("planners_off") + 0.2, "{text}");
    // The day contained enough of the situations that the rules are about.
    let coverage = |expected: &str| figures["looked"][expected].as_u64().unwrap();
    assert!(
        coverage("drains_told") > 20 && coverage("cold_starts") > 10 && coverage("answers_lost") > 20,
        "{text}"
    );
    // An audit of the recording file alone gives the same result.
    let recording = dir("bad").join("recording.parquet");
    let audit = run_program(&["audit", recording.to_str().unwrap()]);
    assert_eq!(audit.status.code(), Some(0), "{}", String::from_utf8_lossy(&audit.stdout));
}

#[test]
fn every_kind_of_trouble_keeps_all_rules() {
    let listed = run_program(&["rehearse", "--list"]);
    let listed = String::from_utf8(listed.stdout).unwrap();
    let days: Vec<String> =
        listed.lines().filter(|day| !["bad", "planted"].contains(day)).map(str::to_string).collect();
    assert!(days.len() >= 20, "{listed}");
    let failed = play_all(&days);
    assert!(failed.is_empty(), "{}", failed.join("\n"));
    // With probes as a duty, each server is probed by one planner, or by two during a handover.
    let recording = dir("duties_silent_server").join("recording.parquet");
    let output = run_program(&["audit", "--json", recording.to_str().unwrap()]);
    let view: serde_json::Value =
        serde_json::from_str(String::from_utf8_lossy(&output.stdout).lines().next().unwrap()).unwrap();
    let (probers, unprobed) = (&view["looked"]["settled_probers"], &view["looked"]["longest_unprobed_s"]);
    assert!(probers.as_u64().unwrap() <= 2 && unprobed.as_f64().unwrap() < 5.0, "{view}");
    // In a cluster, orders given at one planner also apply at the others.
    let recording = dir("members_cut").join("recording.parquet");
    let output = run_program(&["audit", "--json", recording.to_str().unwrap()]);
    let view: serde_json::Value =
        serde_json::from_str(String::from_utf8_lossy(&output.stdout).lines().next().unwrap()).unwrap();
    let coverage = |expected: &str| view["looked"][expected].as_u64().unwrap();
    assert!(coverage("drains_ordered") > 3 && coverage("orders_kept") > 3, "{view}");
}

#[test]
fn each_planted_break_is_found_with_rule_time_and_peers() {
    for (plant, rule, peer) in [
        ("bare", 1, "planner-1"),
        ("repeat", 2, "proxy p1"),
        ("late-drain", 3, "planner-1"),
        ("cold-push", 4, "server s"),
        ("long-queue", 5, "planner-1"),
    ] {
        let (code, text) = rehearse(&["--plant", plant], &format!("plant-{plant}"));
        assert_eq!(code, 1, "{plant}: {text}");
        let found = format!("BROKEN rule {rule} at ");
        assert!(text.lines().any(|line| line.starts_with(&found) && line.contains(peer)), "{plant}: {text}");
    }
    // An order that a planner stores but does not apply.
    let (code, text) = rehearse(&["members", "--plant", "ignored-order"], "plant-ignored-order");
    assert!(code == 1 && text.contains("BROKEN rule 3 at "), "{text}");
    // The same day without a violation passes the audit.
    let (code, text) = rehearse(&["planted", "--alone"], "planted");
    assert_eq!(code, 0, "{text}");
}

#[test]
fn a_thousand_proxies_join_at_once_and_follow_a_removal() {
    let output = run_program(&["measure", "order", "--proxies", "1000", "--rounds", "1", "--json"]);
    let text =
        String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(0), "{text}");
    assert!(text.contains("\"proxies\":1000"), "{text}");
}

#[test]
fn wrong_usage_settings_and_recordings_end_with_2_and_say_why() {
    let file = dir("wrong.star");
    std::fs::create_dir_all(dir("")).unwrap();
    std::fs::write(&file, "day(name = \"x\", lasts = \"4 parsecs\")").unwrap();
    let path = file.to_str().unwrap();
    for (args, expected) in [
        (vec!["check", path], "wrong.star:1:17: day(): lasts: expected a span"),
        (vec!["rehearse", path], "wrong.star:1:17: day(): lasts: expected a span"),
        (vec!["run", path], "the script must end with a call of service(), it ends with day()"),
        (vec!["audit", path], "not a recording"),
        (vec!["rehearse", "no-such-day"], "No such file"),
        (vec!["rehearse", "--plant", "nothing"], "one of bare, repeat"),
    ] {
        let output = run_program(&args);
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{args:?}: {text}");
        assert!(text.contains(expected), "{args:?}: {text}");
    }
}
