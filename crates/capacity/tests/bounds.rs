//! Checks that the bounds named on the page are the constants of the program.

use pewtergap_capacity::{bounds, Target, TARGET_FILE};

#[test]
fn bounds_of_the_page_are_the_programs_own() {
    let target = Target::parse(TARGET_FILE.0, TARGET_FILE.1).expect("the target");
    let defined = [
        ("member: MAX_MEMBERS", pewtergap_member::MAX_MEMBERS),
        ("record: MAX_ORDERS", pewtergap_record::MAX_ORDERS),
        ("record: MAX_IDS", pewtergap_record::MAX_IDS),
        ("record: MAX_BUDGETS", pewtergap_record::MAX_BUDGETS),
        ("gossip: MAX_MEMBERS", pewtergap_gossip::MAX_MEMBERS),
        ("counts: MAX_KEYS", pewtergap_counts::MAX_KEYS),
        ("protocol: MAX_ROUTES", pewtergap_protocol::MAX_ROUTES),
        ("protocol: MAX_LINES", pewtergap_protocol::MAX_LINES),
        ("duty: MAX_DUTIES", pewtergap_duty::MAX_DUTIES),
        ("settings: routes", max_routes()),
        ("settings: one list, one pool of servers", 1),
        ("settings: no such field", 0),
    ];
    for bound in bounds(&target) {
        let limit = defined.iter().find(|limit| limit.0 == bound.source).map(|limit| limit.1 as f64);
        assert_eq!(Some(bound.most), limit, "{}: {}", bound.name, bound.source);
    }
}

/// The largest number of routes that the settings accept.
fn max_routes() -> usize {
    let accepts = |count: usize| {
        let routes: Vec<String> = (0..count)
            .map(|index| {
                format!(
                    "route(\"r{index}\", slo_time = \"500ms\", time_limit = \"2s\", repeats = \"repeatable\")"
                )
            })
            .collect();
        let text = format!(
            "service(name = \"p\", zones = [\"z\"], listen = \"127.0.0.1:0\", list = list_file(\"servers.json\"),\n\
             routes = [{}], fleet = fleet(proxies = 4), channel = channel(lines_per_s = 1000, most_waiting = 1000),\n\
             rules = rules(drain_grace = \"5s\", cold_for = \"2s\"))\n",
            routes.join(", ")
        );
        let script = pewtergap_settings::run("p.star", &text).expect("a script");
        pewtergap_settings::service_file(&script).is_ok()
    };
    (1..200).take_while(|count| accepts(*count)).last().unwrap_or(0)
}
