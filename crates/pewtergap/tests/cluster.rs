//! Clusters of planners as processes, with partitions and lost disks, while operators give orders.

use pewtergap_lab::ask::call;
use pewtergap_lab::cluster::drill::{day_of, DRILLS};
use pewtergap_lab::cluster::{play, play_with, ClusterDay, Planted, Trouble};
use std::path::Path;

fn day(name: &str, seed: u64) -> ClusterDay<'static> {
    let dir = std::env::temp_dir().join(format!("pewtergap-cluster-{}-{name}", std::process::id()));
    let program = Path::new(env!("CARGO_BIN_EXE_pewtergap"));
    let only = Vec::new();
    ClusterDay {
        program,
        dir,
        members: 3,
        founders: 3,
        seed,
        strikes: 3,
        only,
        planted: None,
        format: None,
        duties: None,
        sharing: false,
        shares_nothing: None,
    }
}

fn check_day(day: &ClusterDay) {
    let result = play(day).expect("the day is played");
    assert_eq!(result.breaches, [], "after {:?}", result.troubles);
    assert!(result.kept > 5 && result.fresh > 3 && result.sightings > 10, "{result:?}");
    let _ = std::fs::remove_dir_all(&day.dir);
}

#[test]
fn what_was_kept_stays_through_lost_and_old_and_damaged_disks() {
    use Trouble::*;
    for (seed, trouble) in (1..).zip([Wipe, OldCopy, Damage]) {
        check_day(&ClusterDay { only: vec![trouble], strikes: 2, ..day(&format!("{trouble:?}"), seed) });
    }
}

#[test]
fn what_was_kept_stays_through_kills_stops_and_cuts_in_every_direction() {
    use Trouble::*;
    check_day(&ClusterDay { only: vec![Kill, Stop, Terminate, Reset], strikes: 5, ..day("processes", 4) });
    check_day(&ClusterDay {
        only: vec![Isolate, Mute, Deaf, OneWay, Chain, Slow],
        strikes: 5,
        ..day("links", 5)
    });
    check_day(&ClusterDay { members: 5, founders: 5, strikes: 5, ..day("five", 6) });
    check_day(&ClusterDay { duties: Some(2), strikes: 5, ..day("held", 10) });
    check_day(&ClusterDay { members: 5, only: vec![Join], strikes: 2, ..day("join", 8) });
    let shared = ClusterDay { sharing: true, duties: Some(2), strikes: 6, ..day("shared", 11) };
    check_day(&shared);
}

#[test]
fn the_hard_cases_each_at_its_moment() {
    // A rollout of a newer format; kills at chunks of a snapshot; a full disk; a leader lost with its disk while
    // members change; seats taken, given up and replaced.
    // At most three at a time: an overloaded machine stalls for longer than the election timeout of 300 ms.
    let next = std::sync::atomic::AtomicUsize::new(0);
    let played: Vec<_> = std::thread::scope(|scope| {
        let play_some = || {
            let mut played = Vec::new();
            while let Some((name, ..)) = DRILLS.get(next.fetch_add(1, std::sync::atomic::Ordering::SeqCst)) {
                let (day, steps) = day_of(name, day(name, 3)).expect("a drill");
                let result = play_with(&day, steps);
                let _ = result.as_ref().map(|_| std::fs::remove_dir_all(&day.dir));
                played.push((*name, result));
            }
            played
        };
        let threads: Vec<_> = (0..3).map(|_| scope.spawn(play_some)).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("they are played")).collect()
    });
    for (name, result) in played {
        let result = result.unwrap_or_else(|why| panic!("{name}: {why}"));
        assert_eq!(result.breaches, [], "{name}");
        assert!(result.kept > 5 && result.fresh > 3, "{name}: {result:?}");
    }
}

#[test]
fn each_break_that_is_planted_is_found_with_its_rule() {
    let planted = [
        (Planted::LostOrder, "one order"),
        (Planted::StaleRead, "one order"),
        (Planted::NumberTwice, "a number twice"),
        (Planted::VoteAfterWipe, "a vote from an old disk"),
        (Planted::NoFence, "a number that fell"),
        (Planted::SentTwice, "a period once"),
        (Planted::GoesOn, "two holders"),
        (Planted::BothEnds, "shares"),
    ];
    for (planted, rule) in planted {
        let day = ClusterDay {
            planted: Some(planted),
            duties: Some(1),
            sharing: rule == "shares",
            only: vec![Trouble::Terminate],
            strikes: 2,
            ..day(&format!("{planted:?}"), 7)
        };
        let result = play(&day).expect("the day is played");
        assert!(
            result.breaches.iter().any(|breach| breach.rule == rule),
            "{planted:?}: {:?}",
            result.breaches
        );
        let _ = std::fs::remove_dir_all(&day.dir);
    }
}

#[test]
fn what_a_killed_planner_had_given_away_at_once_is_found() {
    let (day, steps) = day_of("shares", day("freed", 3)).expect("a drill");
    let day = ClusterDay { planted: Some(Planted::FreedAtOnce), ..day };
    let result = play_with(&day, steps).expect("the day is played");
    assert!(result.breaches.iter().any(|breach| breach.rule == "shares"), "{:?}", result.breaches);
    let _ = std::fs::remove_dir_all(&day.dir);
}

#[test]
fn of_three_that_lost_two_one_goes_on_alone_when_told_so() {
    let day = ClusterDay { only: vec![Trouble::Terminate], strikes: 1, ..day("lost", 9) };
    let result = play(&day).expect("the day is played");
    // The other two are lost with their disks, so the remaining one cannot commit and reports that.
    let settings = day.dir.join("m1.star");
    let (mut child, admin) = start_with_admin(&settings);
    let refused = call(admin, "POST", "/orders", Some(&order(77, "s7"))).expect("an answer");
    assert_eq!(refused.0, 503, "{}", refused.1);
    let (_, text) = call(admin, "GET", "/record", None).expect("an answer");
    assert!(text.contains("\"fresh\":false") && text.contains("weight s"), "old, and told so: {text}");
    child.kill();
    let recover_alone = |args: &[&str]| {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_pewtergap"));
        command.args(["members", "alone"]).arg(&settings).args(args).output().expect("it runs")
    };
    assert_eq!(recover_alone(&[]).status.code(), Some(2), "not without the words for it");
    let output = recover_alone(&["--what-is-lost-is-lost"]);
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success() && text.contains("goes on alone from entry"), "{text}");
    let (mut child, listeners) = start_planner(&settings);
    let admin = listeners.admin.expect("its admin address");
    let answer = call(admin, "POST", "/orders", Some(&order(78, "s8"))).expect("an answer");
    assert_eq!(answer.0, 200, "{}", answer.1);
    let (_, text) = call(admin, "GET", "/record", None).expect("an answer");
    let view: serde_json::Value = serde_json::from_str(&text).expect("a record");
    assert_eq!(view["fresh"], true);
    assert!(view["orders"].as_array().is_some_and(|orders| orders.len() > 1), "{text} after {result:?}");
    // Members are added again as by an operator, and receive the record of the recovered one.
    let members = listeners.members.expect("its members' address");
    let cluster = format!(
        "cluster = cluster(listen = \"127.0.0.1:0\", election = \"300ms\", members = [member(\"m1\", address = \"{members}\")]),"
    );
    let (mut second, other) = start_alone_with(&day.dir.join("second"), "m9", &cluster);
    let members_command = |args: &[&str]| {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_pewtergap"));
        let output = command.arg("members").args(args).args(["--at", &admin.to_string()]).output();
        let output = output.expect("it runs");
        (output.status.code(), String::from_utf8_lossy(&output.stdout).into_owned())
    };
    let at = other.members.expect("its members' address").to_string();
    let added = members_command(&["add", "m9", &at]);
    assert_eq!(added.0, Some(0), "{}", added.1);
    let deadline = std::time::Instant::now() + std::time::Duration::from_secs(60);
    let other_admin = other.admin.expect("its admin address");
    while !call(other_admin, "GET", "/record", None).is_ok_and(|(_, text)| text.contains("drain s8")) {
        assert!(std::time::Instant::now() < deadline, "{:?}", members_command(&["list"]));
    }
    while members_command(&["list"]).1.matches("\"votes\":true").count() < 2 {
        assert!(std::time::Instant::now() < deadline, "{:?}", members_command(&["list"]));
    }
    let removed = members_command(&["remove", "m9"]);
    assert_eq!(removed.0, Some(0), "{}", removed.1);
    let answer = call(admin, "POST", "/orders", Some(&order(79, "s9"))).expect("an answer");
    assert_eq!(answer.0, 200, "alone again: {}", answer.1);
    second.kill();
    child.kill();
    let _ = std::fs::remove_dir_all(&day.dir);
}

fn order(id: u64, server: &str) -> String {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a time").as_millis();
    format!(
        r#"{{"id":"{id:016x}","given":{now},"who":"a test","why":"it","order":"drain","server":"{server}"}}"#
    )
}

/// A planner process, killed on drop.
struct Planner(std::process::Child);

impl Planner {
    fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Drop for Planner {
    fn drop(&mut self) {
        self.kill();
    }
}

fn start_planner(settings: &Path) -> (Planner, Listeners) {
    use std::io::BufRead;
    let mut child = std::process::Command::new(env!("CARGO_BIN_EXE_pewtergap"))
        .args(["--log", "error", "run", "--announce"])
        .arg(settings)
        .stdout(std::process::Stdio::piped())
        .spawn()
        .expect("a planner");
    let lines = std::io::BufReader::new(child.stdout.take().expect("its output")).lines();
    let mut listeners = Listeners::default();
    for line in lines.map_while(Result::ok) {
        // The members' listener is announced before the service starts.
        match line.split(' ').collect::<Vec<_>>()[..] {
            ["listening", "members", at] => listeners.members = at.parse().ok(),
            ["listening", "admin", at] => {
                listeners.admin = at.parse().ok();
                break;
            }
            _ => {}
        }
    }
    (Planner(child), listeners)
}

#[derive(Default)]
struct Listeners {
    admin: Option<std::net::SocketAddr>,
    members: Option<std::net::SocketAddr>,
}

fn start_with_admin(settings: &Path) -> (Planner, std::net::SocketAddr) {
    let (planner, listeners) = start_planner(settings);
    (planner, listeners.admin.expect("its admin address"))
}

/// Starts a single planner with its state in `dir`. Returns it and its admin address.
fn start_alone(dir: &Path) -> (Planner, std::net::SocketAddr) {
    let (planner, listeners) = start_alone_with(dir, "a", "");
    (planner, listeners.admin.expect("its admin address"))
}

fn start_alone_with(dir: &Path, name: &str, cluster: &str) -> (Planner, Listeners) {
    std::fs::create_dir_all(dir).expect("a folder");
    std::fs::write(dir.join("servers.json"), "").expect("a list");
    let text = format!(
        "service(name = \"{name}\", {cluster} zones = [\"z\"], listen = \"127.0.0.1:0\", admin = \"127.0.0.1:0\",\n\
         list = list_file(\"servers.json\"), state_dir = \"{}\",\n\
         routes = [route(\"r\", slo_time = \"400ms\", time_limit = \"2s\", repeats = \"repeatable\")],\n\
         fleet = fleet(proxies = 4), channel = channel(lines_per_s = 2000, most_waiting = 4000),\n\
         rules = rules(drain_grace = \"5s\", cold_for = \"20s\"))\n",
        dir.display()
    );
    let file = dir.join("a.star");
    std::fs::write(&file, text).expect("settings");
    start_planner(&file)
}

#[test]
fn an_order_is_kept_alone_through_kills_at_any_moment_and_never_made_twice() {
    let dir = std::env::temp_dir().join(format!("pewtergap-alone-{}", std::process::id()));
    let body = |id: u64| order(id, &format!("s{id}"));
    let mut numbers = Vec::new();
    for start in 0..4u64 {
        let (mut child, admin) = start_alone(&dir);
        let again = numbers.first().copied();
        let (status, text) = call(admin, "POST", "/orders", Some(&body(1))).expect("an answer");
        assert_eq!(status, 200, "{text}");
        let view: serde_json::Value = serde_json::from_str(&text).expect("an answer");
        let number = view["number"].as_u64().expect("a number");
        assert_eq!(again.unwrap_or(number), number, "the same order has the same number");
        numbers.push(number);
        call(admin, "POST", "/orders", Some(&body(10 + start))).expect("an answer");
        child.kill();
    }
    let (mut child, admin) = start_alone(&dir);
    let (_, text) = call(admin, "GET", "/record", None).expect("an answer");
    let view: serde_json::Value = serde_json::from_str(&text).expect("a record");
    assert_eq!(view["orders"].as_array().map(Vec::len), Some(5), "{text}");
    assert_eq!(view["start"], 5);
    let refused = call(admin, "POST", "/orders", Some(r#"{"id":"1","who":"x"}"#)).expect("an answer");
    assert_eq!(refused.0, 400, "{}", refused.1);
    child.kill();
    // A damaged record without other members to recover from is reported, and the planner refuses to start.
    let file = dir.join("a.record");
    let mut bytes = std::fs::read(&file).expect("a record");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    std::fs::write(&file, &bytes).expect("damaged");
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_pewtergap"))
        .arg("run")
        .arg(dir.join("a.star"))
        .output()
        .expect("a planner");
    let errors = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(4), "{errors}");
    assert!(errors.contains("does not fit its checksum"), "{errors}");
    assert_eq!(std::fs::read(&file).expect("a record"), bytes, "and left as it was");
    let _ = std::fs::remove_dir_all(&dir);
}
