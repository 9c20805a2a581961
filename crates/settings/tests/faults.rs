//! What is said of wrong settings: place, setting, what was expected.

use pewtergap_settings::{proxy_file, run, service_file};

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
        Ok(file) => format!("fine: {} routes {:?}", file.charge.name, file.charge.routes),
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
