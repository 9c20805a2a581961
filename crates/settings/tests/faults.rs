//! Error messages for invalid settings: location, setting, expected value.

use pewtergap_settings::{control_file, proxy_file, run, service_file};

const GOOD: &str = r#"
ZONES = ["north", "south"]

service(
    name = "planner-a",
    zones = ZONES,
    listen = "127.0.0.1:0",
    list = list_watch(address = "127.0.0.1:7000"),
    routes = [
        route("search", slo_time = "500ms", time_limit = "2s", repeats = "repeatable"),
        route("order", slo_time = "1s", time_limit = "3s", importance = 3),
    ],
    fleet = fleet(proxies = 8, planners = 2),
    channel = channel(lines_per_s = 2000, most_waiting = 4000),
    rules = rules(drain_grace = "2s", cold_for = "6s"),
)
"#;

fn service(text: &str) -> String {
    match run("planner.star", text).and_then(|script| service_file(&script)) {
        Ok(file) => format!("fine: {} routes {:?}", file.service.name, file.service.routes),
        Err(faults) => faults.to_string(),
    }
}

#[test]
fn errors_name_the_location_the_setting_and_the_expected_value() {
    let mut trace = format!("{}\n", service(GOOD));
    let mut replace = |from: &str, to: &str| {
        assert!(GOOD.contains(from), "{from}");
        trace += &format!("--- {to}\n{}\n", service(&GOOD.replace(from, to)));
    };
    replace("lines_per_s = 2000", "lines_per_sec = 2000");
    replace("time_limit = \"2s\"", "time_limit = 2");
    replace("drain_grace = \"2s\"", "drain_grace = \"2 parsecs\"");
    replace("slo_time = \"1s\"", "slo_time = \"5s\"");
    replace("importance = 3", "retries = \"once\"");
    replace("importance = 3", "repeats = \"keyed\"");
    replace("\"order\"", "\"search\"");
    replace("lines_per_s = 2000", "lines_per_s = 10");
    replace("most_waiting = 4000", "most_waiting = 20");
    replace("list = list_watch(address = \"127.0.0.1:7000\")", "list = \"servers.json\"");
    replace("zones = ZONES", "zones = ZONE");
    replace("fleet = fleet(proxies = 8, planners = 2),", "");
    replace("service(", "proxy(");
    replace("name = \"planner-a\"", "name = \"../a\", nmae = 3");
    replace("ZONES = [", "ZONES = [for");
    replace("ZONES = [\"north\", \"south\"]", "def f(n):\n    f(n)\nf(1)\nZONES = []");
    insta::assert_snapshot!(trace);
}

#[test]
fn a_proxy_cannot_retry_mutating_calls_after_any_failure() {
    let text = r#"
proxy(
    name = "p1", zone = "north", listen = "127.0.0.1:0", planners = ["127.0.0.1:7100", "localhost"],
    routes = [route("order", slo_time = "1s", time_limit = "3s", repeats = "mutating", retries = "once")],
    standing = ["127.0.0.1:8001"], shunning = shunning(after = -1),
)
"#;
    let errors =
        run("proxy.star", text).and_then(|script| proxy_file(&script)).err().map(|faults| faults.to_string());
    insta::assert_snapshot!(errors.unwrap_or_default());
}

const MACHINE: &str = r#"
VOTERS = [member("c%d" % n, address = "10.0.0.%d:7102" % n) for n in range(1, 6)]
control_machine(
    name = "c6",
    admin = "127.0.0.1:0",
    cluster = cluster(listen = "127.0.0.1:0", members = VOTERS, observers = [member("c6", address = "10.0.0.6:7102")]),
    watches = watches(listen = "127.0.0.1:0", most = 800, snapshots = 32, pace = "50ms"),
)
"#;

fn machine(text: &str) -> String {
    match run("machine.star", text).and_then(|script| control_file(&script)) {
        Ok(file) => {
            let (member, watch_config) = (&file.config.member, &file.config.watch_config);
            format!(
                "fine: {}, {} vote, {} observe; {} watches, {} snapshots, each {}",
                member.name,
                member.founders.len(),
                member.observers.len(),
                watch_config.max_watches,
                watch_config.max_snapshots,
                watch_config.batch_interval
            )
        }
        Err(faults) => faults.to_string(),
    }
}

#[test]
fn control_machine_settings_are_validated() {
    let mut trace = format!("{}\n", machine(MACHINE));
    let mut replace = |from: &str, to: &str| {
        assert!(MACHINE.contains(from), "{from}");
        trace += &format!("--- {to}\n{}\n", machine(&MACHINE.replace(from, to)));
    };
    replace("name = \"c6\"", "name = \"c9\"");
    replace("name = \"c6\"", "name = \"c/6\"");
    replace("member(\"c6\"", "member(\"c5\"");
    let many = "observers = [member(\"c%d\" % n, address = \"10.0.1.%d:1\" % n) for n in range(6, 40)]";
    replace("observers = [member(\"c6\", address = \"10.0.0.6:7102\")]", many);
    replace("members = VOTERS, ", "");
    replace("members = VOTERS", "format = 3, members = VOTERS");
    replace("range(1, 6)", "range(1, 5)");
    replace("watches(listen = \"127.0.0.1:0\", ", "watches(");
    replace("most = 800", "most = 20000");
    replace("snapshots = 32", "snapshots = 900");
    replace("pace = \"50ms\"", "pace = \"1ms\"");
    replace("    watches = watches(", "    watch = watches(");
    replace("listen = \"127.0.0.1:0\", members", "members");
    insta::assert_snapshot!(trace);
}

#[test]
fn a_watching_planner_is_not_a_member_and_needs_machines() {
    let watch =
        "watch = watch(machines = [machine(\"c1\", address = \"10.0.0.1:7103\")]),\n    fleet = fleet(";
    let with = |from: &str, to: &str| {
        let text = GOOD.replace("fleet = fleet(", watch);
        assert!(text.contains(from), "{from}");
        format!("--- {to}\n{}\n", service(&text.replace(from, to)))
    };
    let mut trace = with("c1", "c1");
    trace += &with("[machine(\"c1\", address = \"10.0.0.1:7103\")]", "[]");
    trace += &with("[machine(", "[machine(\"c1\", address = \"10.0.0.2:7103\"), machine(");
    trace += &with("machine(\"c1\"", "member(\"c1\"");
    trace += &with("address = \"10.0.0.1:7103\"", "address = \"c1\"");
    trace += &with("watch = watch(", "duties = duties(), watch = watch(");
    let cluster = "cluster = cluster(listen = \"127.0.0.1:0\", members = [member(\"planner-a\", address = \"127.0.0.1:1\")]),";
    trace += &with("watch = watch(", &format!("{cluster} watch = watch("));
    insta::assert_snapshot!(trace);
}
