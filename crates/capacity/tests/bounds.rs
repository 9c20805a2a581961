//! The bounds that the page names are those of the program.

use pewtergap_capacity::{bounds, Size, TARGET};

#[test]
fn bounds_of_the_page_are_the_programs_own() {
    let size = Size::read(TARGET.0, TARGET.1).expect("the target");
    let own = [
        ("member: MAX_MEMBERS", pewtergap_member::MAX_MEMBERS),
        ("record: MAX_ORDERS", pewtergap_record::MAX_ORDERS),
        ("record: MAX_IDS", pewtergap_record::MAX_IDS),
        ("record: MAX_BUDGETS", pewtergap_record::MAX_BUDGETS),
        ("gossip: MAX_MEMBERS", pewtergap_gossip::MAX_MEMBERS),
        ("counts: MAX_KEYS", pewtergap_counts::MAX_KEYS),
        ("protocol: MAX_ROUTES", pewtergap_protocol::MAX_ROUTES),
        ("protocol: MAX_LINES", pewtergap_protocol::MAX_LINES),
        ("duty: MAX_DUTIES", pewtergap_duty::MAX_DUTIES),
        ("settings: routes", most_routes()),
        ("settings: one list, one pool of servers", 1),
        ("settings: no such field", 0),
    ];
    for bound in bounds(&size) {
        let known = own.iter().find(|known| known.0 == bound.source).map(|known| known.1 as f64);
        assert_eq!(Some(bound.most), known, "{}: {}", bound.name, bound.source);
    }
}

/// So many routes the settings take, and not one more.
fn most_routes() -> usize {
    let takes = |count: usize| {
        let routes: Vec<String> = (0..count)
            .map(|at| {
                format!(
                    "route(\"r{at}\", slo_time = \"500ms\", time_limit = \"2s\", repeats = \"repeatable\")"
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
    (1..200).take_while(|count| takes(*count)).last().unwrap_or(0)
}
