//! Settings of other deployments: each is either rejected with a reason, or a joining proxy gets a table that keeps the
//! rules: it may contain every listed server that is open and warm, and no route is ever told to retry.

mod harness;

use harness::*;
use pewtergap_node::Input;
use pewtergap_platform::Config;
use serde_json::{json, Value};

fn valid_settings() -> Value {
    serde_json::from_str(&settings(10, 256)).expect("settings")
}

fn profile(name: &str, semantics: &str, scope: &str, window_ns: f64) -> Value {
    json!({"Name": name, "Semantics": semantics, "KeyScope": scope, "WindowNs": window_ns, "Credit": 1.0,
        "SloNs": 250e6, "DeadlineNs": 900e6})
}

/// The valid settings with one change; the last part of the path may be new.
fn with(path: &str, value: Value) -> Value {
    let mut all = valid_settings();
    let (parent, last) = path.rsplit_once('.').unwrap_or(("", path));
    let at = parent.split('.').filter(|part| !part.is_empty());
    let parent = at.fold(&mut all["settings"], |value, part| &mut value[part]);
    match value {
        Value::Null => drop(parent.as_object_mut().expect("an object").remove(last)),
        value => parent[last] = value,
    }
    all
}

/// The messages that a joining proxy receives within 15 s while servers drop some calls.
fn messages_for(settings: &Value) -> String {
    let mut harness = Harness::new(&settings.to_string());
    let list = harness.latest_connection(85);
    harness.input(Input::Opened { link: list });
    let rows = [row("s-1", "a", "Ready"), row("s-2", "a", "Ready")].join(",");
    harness.answer_list(list, &format!(r#"{{"rev":5,"all":true,"targets":[{rows}]}}"#));
    let proxy = harness.join(1);
    let collector = harness.accept();
    harness.send(collector, "SOURCE az a");
    let mut all = String::new();
    for _ in 0..30 {
        harness.advance(500);
        let seen = harness.take_output();
        for line in seen.lines().filter(|line| line.starts_with(&format!("{}: ", proxy.0))) {
            for mark in line.split("ticket ").skip(1).filter_map(|rest| rest.split(' ').next()) {
                harness.send(proxy, &format!("ACK sidecar 1 version {mark} lag_ms 1"));
            }
            all.push_str(line);
            all.push('\n');
        }
        for server in ["s-1", "s-2"] {
            harness.send(
                collector,
                &format!("LOAD az a host {server} n 50 bad 30 avg 900 window 500 report util:0.99"),
            );
        }
    }
    all
}

#[test]
fn settings_of_every_form_get_tables_that_keep_the_rules() {
    let one = |profile: Value| with("Profiles", json!([profile]));
    let many: Vec<Value> =
        (0..64).map(|at| profile(&format!("class-{at}"), "single_shot", "", 0.0)).collect();
    let cases = [
        ("one zone", with("Zones", json!(["a"]))),
        ("no probes", with("Permissions.Probes", json!(false))),
        ("probes unspecified", with("Permissions", Value::Null)),
        ("no repeatable route", one(profile("pay", "single_shot", "", 0.0))),
        ("a window of zero", one(profile("hold", "guarded", "zone", 0.0))),
        ("a short window", one(profile("hold", "guarded", "cell", 2e8))),
        ("a window longer than a day", one(profile("hold", "guarded", "all", 1e14))),
        ("the maximum number of routes", with("Profiles", Value::Array(many))),
        ("no limit on lines", with("FamilyInfo.PendingMax", Value::Null)),
        ("no line rate", with("FamilyInfo.EgressPerS", Value::Null)),
        ("no contract", with("Contract", Value::Null)),
        ("no drain grace", with("Contract.DrainGraceNs", json!(0))),
        ("few messages", with("FamilyInfo.ReloadsMax", json!(2))),
        ("levels by fraction", with("FamilyInfo.ThrottleBy", json!("fraction"))),
        ("levels by rate", with("FamilyInfo.ThrottleBy", json!("per_second"))),
        ("expensive cross-zone calls", with("Deductions", json!({"CrossZone": 5.0}))),
        ("a route worth nothing", one(json!({"Name": "x", "Semantics": "free", "Credit": 0.0}))),
        ("a route worth all", one(json!({"Name": "x", "Semantics": "free", "Credit": 1e9}))),
        ("small tables of connections", with("FamilyInfo.SmallestConnTable", json!(1))),
    ];
    for (name, settings) in cases {
        let messages = messages_for(&settings);
        assert!(messages.contains("CONFIG whole 1 "), "{name}: no table: {messages}");
        assert!(
            messages.contains("s-1:") && messages.contains("s-2:"),
            "{name}: a server is left out: {messages}"
        );
        let retries = messages.split(" retry ").skip(1).map(|rest| &rest[..1]);
        assert!(retries.clone().count() > 0, "{name}: no resend policy: {messages}");
        assert!(retries.clone().all(|how| how == "0"), "{name}: told to retry: {messages}");
    }
}

#[test]
fn settings_that_cannot_be_served_are_rejected_with_the_reason() {
    let many: Vec<Value> = (0..65).map(|at| profile(&format!("class-{at}"), "free", "", 0.0)).collect();
    let cases = [
        with("Zones", json!([])),
        with("Profiles", json!([])),
        with("Profiles", Value::Null),
        with("Profiles", Value::Array(many)),
        with("Profiles", json!([{"Name": "x", "Semantics": "twice"}])),
        with("FamilyInfo.DataPlaneSize", json!(0)),
        with("FamilyInfo.EgressPerS", json!(-1)),
        with("Contract.DrainGraceNs", json!("soon")),
    ];
    let rejections = cases.iter().map(|settings| match Config::parse(&settings.to_string(), |_| None) {
        Err(why) => why,
        Ok(_) => "accepted".into(),
    });
    insta::assert_snapshot!(rejections.collect::<Vec<_>>().join("\n"));
}
