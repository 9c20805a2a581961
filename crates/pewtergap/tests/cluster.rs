//! Several planners as processes, their links cut, their disks lost, while operators give orders.

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

fn kept(day: &ClusterDay) {
    let came = play(day).expect("the day is played");
    assert_eq!(came.breaches, [], "after {:?}", came.troubles);
    assert!(came.kept > 5 && came.fresh > 3 && came.sightings > 10, "{came:?}");
    let _ = std::fs::remove_dir_all(&day.dir);
}

#[test]
fn what_was_kept_stays_through_lost_and_old_and_damaged_disks() {
    use Trouble::*;
    for (seed, trouble) in (1..).zip([Wipe, OldCopy, Damage]) {
        kept(&ClusterDay { only: vec![trouble], strikes: 2, ..day(&format!("{trouble:?}"), seed) });
    }
}

#[test]
fn what_was_kept_stays_through_kills_stops_and_cuts_in_every_direction() {
    use Trouble::*;
    kept(&ClusterDay { only: vec![Kill, Stop, Terminate, Reset], strikes: 5, ..day("processes", 4) });
    kept(&ClusterDay { only: vec![Isolate, Mute, Deaf, OneWay, Chain, Slow], strikes: 5, ..day("links", 5) });
    kept(&ClusterDay { members: 5, founders: 5, strikes: 5, ..day("five", 6) });
    kept(&ClusterDay { duties: Some(2), strikes: 5, ..day("held", 10) });
    kept(&ClusterDay { members: 5, only: vec![Join], strikes: 2, ..day("join", 8) });
    let shared = ClusterDay { sharing: true, duties: Some(2), strikes: 6, ..day("shared", 11) };
    kept(&shared);
}

#[test]
fn the_hard_cases_each_at_its_moment() {
    // A roll-out of a newer format; kills at pieces of a snapshot; a full disk; a leader lost with its disk while
    // members change; places taken, given up and replaced.
    // Three at a time: elections of 300 ms are none on a machine that is busy for longer.
    let next = std::sync::atomic::AtomicUsize::new(0);
    let played: Vec<_> = std::thread::scope(|scope| {
        let some = || {
            let mut played = Vec::new();
            while let Some((name, ..)) = DRILLS.get(next.fetch_add(1, std::sync::atomic::Ordering::SeqCst)) {
                let (day, act) = day_of(name, day(name, 3)).expect("a drill");
                let came = play_with(&day, act);
                let _ = came.as_ref().map(|_| std::fs::remove_dir_all(&day.dir));
                played.push((*name, came));
            }
            played
        };
        let threads: Vec<_> = (0..3).map(|_| scope.spawn(some)).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("they are played")).collect()
    });
    for (name, came) in played {
        let came = came.unwrap_or_else(|why| panic!("{name}: {why}"));
        assert_eq!(came.breaches, [], "{name}");
        assert!(came.kept > 5 && came.fresh > 3, "{name}: {came:?}");
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
        let came = play(&day).expect("the day is played");
        assert!(came.breaches.iter().any(|breach| breach.rule == rule), "{planted:?}: {:?}", came.breaches);
        let _ = std::fs::remove_dir_all(&day.dir);
    }
}

#[test]
fn what_a_killed_planner_had_given_away_at_once_is_found() {
    let (day, act) = day_of("shares", day("freed", 3)).expect("a drill");
    let day = ClusterDay { planted: Some(Planted::FreedAtOnce), ..day };
    let came = play_with(&day, act).expect("the day is played");
    assert!(came.breaches.iter().any(|breach| breach.rule == "shares"), "{:?}", came.breaches);
    let _ = std::fs::remove_dir_all(&day.dir);
}

#[test]
fn of_three_that_lost_two_one_goes_on_alone_when_told_so() {
    let day = ClusterDay { only: vec![Trouble::Terminate], strikes: 1, ..day("lost", 9) };
    let came = play(&day).expect("the day is played");
    // The other two are lost with their disks: by itself it keeps nothing and says so.
    let settings = day.dir.join("m1.star");
    let (mut child, admin) = start(&settings);
    let refused = call(admin, "POST", "/orders", Some(&order(77, "s7"))).expect("an answer");
    assert_eq!(refused.0, 503, "{}", refused.1);
    let (_, text) = call(admin, "GET", "/record", None).expect("an answer");
    assert!(text.contains("\"fresh\":false") && text.contains("weight s"), "old, and told so: {text}");
    child.kill();
    let alone = |said: &[&str]| {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_pewtergap"));
        command.args(["members", "alone"]).arg(&settings).args(said).output().expect("it runs")
    };
    assert_eq!(alone(&[]).status.code(), Some(2), "not without the words for it");
    let told = alone(&["--what-is-lost-is-lost"]);
    let text = String::from_utf8_lossy(&told.stdout);
    assert!(told.status.success() && text.contains("goes on alone from entry"), "{text}");
    let (mut child, doors) = start_doors(&settings);
    let admin = doors.admin.expect("its admin address");
    let answer = call(admin, "POST", "/orders", Some(&order(78, "s8"))).expect("an answer");
    assert_eq!(answer.0, 200, "{}", answer.1);
    let (_, text) = call(admin, "GET", "/record", None).expect("an answer");
    let view: serde_json::Value = serde_json::from_str(&text).expect("a record");
    assert_eq!(view["fresh"], true);
    assert!(view["orders"].as_array().is_some_and(|orders| orders.len() > 1), "{text} after {came:?}");
    // Others are added again, as an operator does it: what went on alone is with them too.
    let members = doors.members.expect("its members' address");
    let cluster = format!(
        "cluster = cluster(listen = \"127.0.0.1:0\", election = \"300ms\", members = [member(\"m1\", address = \"{members}\")]),"
    );
    let (mut second, other) = alone_with(&day.dir.join("second"), "m9", &cluster);
    let typed = |said: &[&str]| {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_pewtergap"));
        let told = command.arg("members").args(said).args(["--at", &admin.to_string()]).output();
        let told = told.expect("it runs");
        (told.status.code(), String::from_utf8_lossy(&told.stdout).into_owned())
    };
    let at = other.members.expect("its members' address").to_string();
    let added = typed(&["add", "m9", &at]);
    assert_eq!(added.0, Some(0), "{}", added.1);
    let until = std::time::Instant::now() + std::time::Duration::from_secs(60);
    let there = other.admin.expect("its admin address");
    while !call(there, "GET", "/record", None).is_ok_and(|(_, text)| text.contains("drain s8")) {
        assert!(std::time::Instant::now() < until, "{:?}", typed(&["list"]));
    }
    while typed(&["list"]).1.matches("\"votes\":true").count() < 2 {
        assert!(std::time::Instant::now() < until, "{:?}", typed(&["list"]));
    }
    let removed = typed(&["remove", "m9"]);
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

/// A planner's process; it ends with the test, however that ends.
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

fn start_doors(settings: &Path) -> (Planner, Doors) {
    use std::io::BufRead;
    let mut child = std::process::Command::new(env!("CARGO_BIN_EXE_pewtergap"))
        .args(["--log", "error", "run", "--announce"])
        .arg(settings)
        .stdout(std::process::Stdio::piped())
        .spawn()
        .expect("a planner");
    let lines = std::io::BufReader::new(child.stdout.take().expect("its output")).lines();
    let mut doors = Doors::default();
    for line in lines.map_while(Result::ok) {
        // Members come in before the service begins.
        match line.split(' ').collect::<Vec<_>>()[..] {
            ["listening", "members", at] => doors.members = at.parse().ok(),
            ["listening", "admin", at] => {
                doors.admin = at.parse().ok();
                break;
            }
            _ => {}
        }
    }
    (Planner(child), doors)
}

#[derive(Default)]
struct Doors {
    admin: Option<std::net::SocketAddr>,
    members: Option<std::net::SocketAddr>,
}

fn start(settings: &Path) -> (Planner, std::net::SocketAddr) {
    let (planner, doors) = start_doors(settings);
    (planner, doors.admin.expect("its admin address"))
}

/// A planner alone, told apart by its folder; its admin address.
fn alone(dir: &Path) -> (Planner, std::net::SocketAddr) {
    let (planner, doors) = alone_with(dir, "a", "");
    (planner, doors.admin.expect("its admin address"))
}

fn alone_with(dir: &Path, name: &str, cluster: &str) -> (Planner, Doors) {
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
    start_doors(&file)
}

#[test]
fn an_order_is_kept_alone_through_kills_at_any_moment_and_never_made_twice() {
    let dir = std::env::temp_dir().join(format!("pewtergap-alone-{}", std::process::id()));
    let body = |id: u64| order(id, &format!("s{id}"));
    let mut numbers = Vec::new();
    for start in 0..4u64 {
        let (mut child, admin) = alone(&dir);
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
    let (mut child, admin) = alone(&dir);
    let (_, text) = call(admin, "GET", "/record", None).expect("an answer");
    let view: serde_json::Value = serde_json::from_str(&text).expect("a record");
    assert_eq!(view["orders"].as_array().map(Vec::len), Some(5), "{text}");
    assert_eq!(view["start"], 5);
    let refused = call(admin, "POST", "/orders", Some(r#"{"id":"1","who":"x"}"#)).expect("an answer");
    assert_eq!(refused.0, 400, "{}", refused.1);
    child.kill();
    // Damage in what was kept, with nobody to learn from: named, and no start that forgets it.
    let file = dir.join("a.record");
    let mut bytes = std::fs::read(&file).expect("a record");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    std::fs::write(&file, &bytes).expect("damaged");
    let ended = std::process::Command::new(env!("CARGO_BIN_EXE_pewtergap"))
        .arg("run")
        .arg(dir.join("a.star"))
        .output()
        .expect("a planner");
    let told = String::from_utf8_lossy(&ended.stderr);
    assert_eq!(ended.status.code(), Some(4), "{told}");
    assert!(told.contains("does not fit its checksum"), "{told}");
    assert_eq!(std::fs::read(&file).expect("a record"), bytes, "and left as it was");
    let _ = std::fs::remove_dir_all(&dir);
}
