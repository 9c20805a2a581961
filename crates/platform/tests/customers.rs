//! Other customers' settings: each is refused with a reason, or a proxy that joins is handed a table that keeps the
//! rules: every listed server that is open and warm may stand in it, and no route is ever ordered to try again.

mod hand;

use hand::*;
use pewtergap_node::Input;
use pewtergap_platform::Config;
use serde_json::{json, Value};

fn good() -> Value {
    serde_json::from_str(&settings(10, 256)).expect("settings")
}

fn profile(name: &str, semantics: &str, scope: &str, window_ns: f64) -> Value {
    json!({"Name": name, "Semantics": semantics, "KeyScope": scope, "WindowNs": window_ns, "Credit": 1.0,
        "SloNs": 250e6, "DeadlineNs": 900e6})
}

/// These settings with that changed; a path's last part may be new.
fn with(path: &str, value: Value) -> Value {
    let mut all = good();
    let (parent, last) = path.rsplit_once('.').unwrap_or(("", path));
    let at = parent.split('.').filter(|part| !part.is_empty());
    let parent = at.fold(&mut all["settings"], |value, part| &mut value[part]);
    match value {
        Value::Null => drop(parent.as_object_mut().expect("an object").remove(last)),
        value => parent[last] = value,
    }
    all
}

/// What a proxy that joins is told within a while, under calls that are dropped as well.
fn told(settings: &Value) -> String {
    let mut hand = Hand::new(&settings.to_string());
    let list = hand.dial(85);
    hand.give(Input::Opened { link: list });
    let rows = [row("s-1", "a", "Ready"), row("s-2", "a", "Ready")].join(",");
    hand.discovery(list, &format!(r#"{{"rev":5,"all":true,"targets":[{rows}]}}"#));
    let proxy = hand.joined(1);
    let collector = hand.come();
    hand.say(collector, "SOURCE az a");
    let mut all = String::new();
    for _ in 0..30 {
        hand.pass(500);
        let seen = hand.seen();
        for line in seen.lines().filter(|line| line.starts_with(&format!("{}: ", proxy.0))) {
            for mark in line.split("ticket ").skip(1).filter_map(|rest| rest.split(' ').next()) {
                hand.say(proxy, &format!("ACK sidecar 1 version {mark} lag_ms 1"));
            }
            all.push_str(line);
            all.push('\n');
        }
        for server in ["s-1", "s-2"] {
            hand.say(
                collector,
                &format!("LOAD az a host {server} n 50 bad 30 avg 900 window 500 report util:0.99"),
            );
        }
    }
    all
}

#[test]
fn settings_of_every_form_get_orders_that_keep_the_rules() {
    let one = |profile: Value| with("Profiles", json!([profile]));
    let many: Vec<Value> =
        (0..64).map(|at| profile(&format!("class-{at}"), "single_shot", "", 0.0)).collect();
    let cases = [
        ("one zone", with("Zones", json!(["a"]))),
        ("no probes", with("Permissions.Probes", json!(false))),
        ("nothing said of probes", with("Permissions", Value::Null)),
        ("none that may be repeated", one(profile("pay", "single_shot", "", 0.0))),
        ("a window of zero", one(profile("hold", "guarded", "zone", 0.0))),
        ("a short window", one(profile("hold", "guarded", "cell", 2e8))),
        ("a window longer than the day", one(profile("hold", "guarded", "all", 1e14))),
        ("as many routes as an order can name", with("Profiles", Value::Array(many))),
        ("no limit on lines", with("FamilyInfo.PendingMax", Value::Null)),
        ("no pace", with("FamilyInfo.EgressPerS", Value::Null)),
        ("no terms", with("Contract", Value::Null)),
        ("no grace", with("Contract.DrainGraceNs", json!(0))),
        ("few messages", with("FamilyInfo.ReloadsMax", json!(2))),
        ("levels by fraction", with("FamilyInfo.ThrottleBy", json!("fraction"))),
        ("levels by rate", with("FamilyInfo.ThrottleBy", json!("per_second"))),
        ("dear crossings", with("Deductions", json!({"CrossZone": 5.0}))),
        ("a route worth nothing", one(json!({"Name": "x", "Semantics": "free", "Credit": 0.0}))),
        ("a route worth all", one(json!({"Name": "x", "Semantics": "free", "Credit": 1e9}))),
        ("small tables of connections", with("FamilyInfo.SmallestConnTable", json!(1))),
    ];
    for (name, settings) in cases {
        let told = told(&settings);
        assert!(told.contains("CONFIG whole 1 "), "{name}: no table: {told}");
        assert!(told.contains("s-1:") && told.contains("s-2:"), "{name}: a server is left out: {told}");
        let retries = told.split(" retry ").skip(1).map(|rest| &rest[..1]);
        assert!(retries.clone().count() > 0, "{name}: nothing said of trying again: {told}");
        assert!(retries.clone().all(|how| how == "0"), "{name}: ordered to try again: {told}");
    }
}

#[test]
fn what_no_planner_can_serve_is_refused_with_its_reason() {
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
    let refusals = cases.iter().map(|settings| match Config::read(&settings.to_string(), |_| None) {
        Err(why) => why,
        Ok(_) => "accepted".into(),
    });
    insta::assert_snapshot!(refusals.collect::<Vec<_>>().join("\n"));
}
