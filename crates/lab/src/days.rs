//! The built-in days: the bad day, and a short one for each kind of trouble.

use crate::day::Day;
use pewtergap_settings::Faults;

const FLEET: &str = include_str!("../days/fleet.star");
const BAD: &str = include_str!("../days/bad.star");
const PLANTED: &str = include_str!("../days/planted.star");

/// The short days: name, and what goes into them.
pub const SHORT: &[(&str, &str)] = &[
    ("ageing", "trouble(\"ageing\", at = \"1s\", lasts = \"8s\", share = 0.2, factor = 0.3)"),
    ("lost_answers", "trouble(\"lost_answers\", at = \"2s\", lasts = \"5s\", share = 0.4, factor = 0.3)"),
    ("planner_killed", "trouble(\"planner_killed\", at = \"2s\", lasts = \"3s\")"),
    ("planners_rolled", "trouble(\"planners_rolled\", at = \"1s\", lasts = \"6s\")"),
    ("planner_stopped", "trouble(\"planner_stopped\", at = \"2s\", lasts = \"4s\")"),
    ("burst", "trouble(\"burst\", at = \"2s\", lasts = \"4s\", factor = 2.5)"),
    ("few_connections", "trouble(\"few_connections\", at = \"2s\", lasts = \"5s\", factor = 6)"),
    ("deploy", "trouble(\"deploy\", at = \"1s\", lasts = \"6s\", share = 0.34)"),
    ("flapping", "trouble(\"flapping\", at = \"1s\", lasts = \"8s\", share = 0.1)"),
    ("growth", "trouble(\"growth\", at = \"1s\", lasts = \"4s\", factor = 1.6)"),
    ("heavy_work", "trouble(\"heavy_work\", at = \"2s\", lasts = \"4s\", factor = 2.5)"),
    ("hot_proxy", "trouble(\"hot_proxy\", at = \"2s\", lasts = \"5s\", factor = 5)"),
    ("noisy_neighbour", "trouble(\"slow_servers\", at = \"2s\", lasts = \"6s\", share = 0.25, factor = 0.4)"),
    ("slow_origin", "trouble(\"slow_origin\", at = \"2s\", lasts = \"4s\", factor = 0.5)"),
    ("mass_reconnect", "trouble(\"streams_broken\", at = \"3s\", share = 1.0)"),
    ("slow_link", "trouble(\"slow_link\", at = \"2s\", lasts = \"5s\", delay = \"60ms\")"),
    ("slow_channel", "trouble(\"slow_channel\", at = \"1s\", lasts = \"7s\", factor = 0.5), \
                      trouble(\"deploy\", at = \"2s\", lasts = \"5s\", share = 0.5)"),
    ("silent_server", "trouble(\"silent_server\", at = \"2s\", lasts = \"5s\", share = 0.1)"),
    ("dead_server", "trouble(\"dead_server\", at = \"2s\", lasts = \"4s\", share = 0.2)"),
    ("wrong_list", "trouble(\"wrong_list\", at = \"2s\", lasts = \"4s\", share = 0.3)"),
    ("zone_cut", "trouble(\"zone_cut\", at = \"2s\", lasts = \"5s\", zone = \"south\")"),
    ("zone_lost", "trouble(\"zone_lost\", at = \"2s\", lasts = \"4s\", zone = \"west\")"),
    ("proxy_deaf", "trouble(\"proxy_deaf\", at = \"1s\", lasts = \"6s\"), trouble(\"deploy\", at = \"2s\", lasts = \"5s\", share = 0.5)"),
    ("killed_while_lines_wait", "trouble(\"deploy\", at = \"1s\", lasts = \"7s\", share = 0.34), \
                                 trouble(\"slow_channel\", at = \"1s\", lasts = \"6s\", factor = 0.3), \
                                 trouble(\"planner_killed\", at = \"2s\", lasts = \"3s\"), \
                                 trouble(\"streams_broken\", at = \"4s\", share = 0.5)"),
    ("members_cut", "trouble(\"member_cut\", at = \"2s\", lasts = \"3s\"), trouble(\"deploy\", at = \"1s\", lasts = \"5s\", share = 0.34), \
                     trouble(\"member_deaf\", at = \"6s\", lasts = \"2s\")"),
    ("members", "trouble(\"member_cut\", at = \"1s\", lasts = \"2s\"), trouble(\"leader_killed\", at = \"3500ms\", lasts = \"1s\"), \
                 trouble(\"deploy\", at = \"1s\", lasts = \"6s\", share = 0.34), trouble(\"disk_lost\", at = \"5500ms\", lasts = \"1s\"), \
                 trouble(\"majority_lost\", at = \"7500ms\", lasts = \"1500ms\")"),
    ("duties_silent_server", "trouble(\"silent_server\", at = \"4s\", lasts = \"4s\", share = 0.3)"),
    ("duties_members", "trouble(\"member_cut\", at = \"3s\", lasts = \"2s\"), trouble(\"leader_killed\", at = \"6s\", lasts = \"1s\"), \
                 trouble(\"dead_server\", at = \"3500ms\", lasts = \"4s\", share = 0.2), trouble(\"planner_stopped\", at = \"7500ms\", lasts = \"1500ms\")"),
    // Proxies move in masses, twice half of them and then one planner's, while servers come and go cold.
    ("sharing_moves", "trouble(\"leader_killed\", at = \"1500ms\", lasts = \"1500ms\"), trouble(\"streams_broken\", at = \"4s\", share = 0.5), \
                 trouble(\"leader_killed\", at = \"6s\", lasts = \"1500ms\"), trouble(\"deploy\", at = \"1s\", lasts = \"8s\", share = 0.5)"),
    // Members hear nothing of each other while a zone restarts cold, and its servers go on being pushed by both sides.
    ("sharing_cut", "trouble(\"member_cut\", at = \"2s\", lasts = \"3s\"), trouble(\"zone_lost\", at = \"2500ms\", lasts = \"2s\", zone = \"west\"), \
                 trouble(\"majority_lost\", at = \"6s\", lasts = \"2s\"), trouble(\"deploy\", at = \"1s\", lasts = \"8s\", share = 0.34)"),
    // Servers fall silent one after the other: whoever tries them first says so.
    ("sharing_silent", "trouble(\"silent_server\", at = \"3s\", lasts = \"6s\", share = 0.3)"),
    // One planner's proxies reach hardly anybody: it says so of all servers, and the others know better.
    ("sharing_broken", "trouble(\"zone_cut\", at = \"2s\", lasts = \"5s\", zone = \"south\"), trouble(\"slow_servers\", at = \"2s\", lasts = \"6s\", share = 0.2, factor = 0.2)"),
    ("majority_lost", "trouble(\"majority_lost\", at = \"2s\", lasts = \"5s\"), \
                       trouble(\"deploy\", at = \"1s\", lasts = \"7s\", share = 0.34)"),
    ("leader_killed", "trouble(\"leader_killed\", at = \"2s\", lasts = \"1500ms\"), \
                       trouble(\"leader_killed\", at = \"5s\", lasts = \"2s\")"),
    ("disk_lost", "trouble(\"disk_lost\", at = \"2s\", lasts = \"1s\"), trouble(\"zone_cut\", at = \"4s\", lasts = \"3s\", zone = \"south\")"),
    ("list_trouble", "trouble(\"list_goes_back\", at = \"5s\", lasts = \"2s\"), trouble(\"list_expires\", at = \"3s\"), \
                      trouble(\"list_torn\", at = \"1s\"), trouble(\"deploy\", at = \"2s\", lasts = \"4s\", share = 0.34)"),
];

/// The text of a built-in day, if there is one of that name.
pub fn text(name: &str) -> Option<String> {
    if name == "bad" {
        return Some(format!("{FLEET}{BAD}"));
    }
    if name == "planted" {
        return Some(format!("{FLEET}{PLANTED}"));
    }
    let troubles = SHORT.iter().find(|day| day.0 == name)?.1;
    let binds = if name == "wrong_list" { "False" } else { "True" };
    let agreed = ["members_cut", "majority_lost", "leader_killed", "disk_lost", "members"].contains(&name);
    let sharing = name.starts_with("sharing_");
    let duties = name.starts_with("duties_") || sharing;
    let truth = |so: bool| if so { "True" } else { "False" };
    let (agreed, duties, sharing) = (truth(agreed || duties), truth(duties), truth(sharing));
    let later = if name == "growth" { 2 } else { 0 };
    Some(format!("{FLEET}\nday(**short(\"{name}\", [{troubles}], binds = {binds}, later = {later}, agreed = {agreed}, duties = {duties}, sharing = {sharing}))\n"))
}

pub fn built_in(name: &str) -> Option<Result<Day, Faults>> {
    text(name).map(|text| Day::read(&format!("built-in {name}"), &text))
}
