//! What is said of wrong settings: place, setting, what was expected.

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
fn each_fault_names_its_place_the_setting_and_what_was_expected() {
    let mut trace = format!("{}\n", service(GOOD));
    let mut say = |from: &str, to: &str| {
        assert!(GOOD.contains(from), "{from}");
        trace += &format!("--- {to}\n{}\n", service(&GOOD.replace(from, to)));
    };
    say("lines_per_s = 2000", "lines_per_sec = 2000");
    say("time_limit = \"2s\"", "time_limit = 2");
    say("drain_grace = \"2s\"", "drain_grace = \"2 parsecs\"");
    say("slo_time = \"1s\"", "slo_time = \"5s\"");
    say("importance = 3", "retries = \"once\"");
    say("importance = 3", "repeats = \"keyed\"");
    say("\"order\"", "\"search\"");
    say("lines_per_s = 2000", "lines_per_s = 10");
    say("most_waiting = 4000", "most_waiting = 20");
    say("list = list_watch(address = \"127.0.0.1:7000\")", "list = \"servers.json\"");
    say("zones = ZONES", "zones = ZONE");
    say("fleet = fleet(proxies = 8, planners = 2),", "");
    say("service(", "proxy(");
    say("name = \"planner-a\"", "name = \"../a\", nmae = 3");
    say("ZONES = [", "ZONES = [for");
    say("ZONES = [\"north\", \"south\"]", "def f(n):\n    f(n)\nf(1)\nZONES = []");
    insta::assert_snapshot!(trace);
}

#[test]
fn a_proxy_tries_nothing_twice_that_must_not_run_twice() {
    let text = r#"
proxy(
    name = "p1", zone = "north", listen = "127.0.0.1:0", planners = ["127.0.0.1:7100", "localhost"],
    routes = [route("order", slo_time = "1s", time_limit = "3s", repeats = "mutating", retries = "once")],
    standing = ["127.0.0.1:8001"], shunning = shunning(after = -1),
)
"#;
    let told =
        run("proxy.star", text).and_then(|script| proxy_file(&script)).err().map(|faults| faults.to_string());
    insta::assert_snapshot!(told.unwrap_or_default());
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
            let (post, terms) = (&file.config.member, &file.config.watch_config);
            format!(
                "fine: {}, {} vote, {} observe; {} watches, {} snapshots, each {}",
                post.name,
                post.founders.len(),
                post.observers.len(),
                terms.max_watches,
                terms.max_snapshots,
                terms.batch_interval
            )
        }
        Err(faults) => faults.to_string(),
    }
}

#[test]
fn a_control_machine_knows_its_place_and_its_bounds() {
    let mut trace = format!("{}\n", machine(MACHINE));
    let mut say = |from: &str, to: &str| {
        assert!(MACHINE.contains(from), "{from}");
        trace += &format!("--- {to}\n{}\n", machine(&MACHINE.replace(from, to)));
    };
    say("name = \"c6\"", "name = \"c9\"");
    say("name = \"c6\"", "name = \"c/6\"");
    say("member(\"c6\"", "member(\"c5\"");
    let many = "observers = [member(\"c%d\" % n, address = \"10.0.1.%d:1\" % n) for n in range(6, 40)]";
    say("observers = [member(\"c6\", address = \"10.0.0.6:7102\")]", many);
    say("members = VOTERS, ", "");
    say("members = VOTERS", "format = 3, members = VOTERS");
    say("range(1, 6)", "range(1, 5)");
    say("watches(listen = \"127.0.0.1:0\", ", "watches(");
    say("most = 800", "most = 20000");
    say("snapshots = 32", "snapshots = 900");
    say("pace = \"50ms\"", "pace = \"1ms\"");
    say("    watches = watches(", "    watch = watches(");
    say("listen = \"127.0.0.1:0\", members", "members");
    insta::assert_snapshot!(trace);
}

#[test]
fn a_planner_that_watches_is_no_member_and_knows_whom_to_watch() {
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
