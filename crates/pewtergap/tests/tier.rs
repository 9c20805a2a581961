//! The tier by processes of the program: from an order at any control machine to its effect at a proxy, and back as what is
//! in force; with machines and planners lost, stopped, cut, restarted and of other builds.

mod fleet;

use fleet::*;
use pewtergap_member::messages as members;
use pewtergap_protocol::{encode, FrameReader, Validate};
use pewtergap_watch::messages::{Hello, Kind, Reason, ScopeMessage, WatchMessage, Welcome};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

fn in_force(told: &(Option<i32>, String), of: usize) {
    let (status, text) = told;
    assert_eq!(*status, Some(0), "{text}");
    assert!(text.contains(&format!("in force at {of} of {of}, unheard: none")), "{text}");
}

#[test]
fn an_order_at_any_control_machine_reaches_the_proxies_and_comes_back_as_in_force() {
    let fleet = Fleet::new("whole", 3, 1);
    let servers = [Server::start(), Server::start(), Server::start()];
    let listed = [&servers[0], &servers[1]];
    let all = [0, 1, 2, 3];
    let mut planners: Vec<Planner> =
        (1..4).map(|at| fleet.planner(&format!("p{at}"), &all, &listed)).collect();
    let proxy = proxy(&fleet, &planners[0]);
    let both = |proxy: &Process| (answered(proxy, 30).len() == 2).then_some(());
    until("calls at both servers", || both(&proxy));
    fleet.heard(0, 3);
    let drained = servers[0].at.to_string();
    for machine in &fleet.machines {
        in_force(&order(&[machine.admin()], &["drain", &drained]), 3);
        let without = [servers[1].at.to_string()];
        until("calls at the other server alone", || (answered(&proxy, 10) == without).then_some(()));
        assert_eq!(answered(&proxy, 50), without, "after {}", machine.name);
        in_force(&order(&[machine.admin()], &["take-back", &drained]), 3);
        until("calls at both servers again", || both(&proxy));
    }
    // Ordered before any list named it: out of everybody's scope, and in force all the same.
    in_force(&order(&[fleet.machines[3].admin()], &["drain", &servers[2].at.to_string()]), 3);
    assert!(planners.iter().all(|planner| !planner.holds(&servers[2].drain())), "nobody was told");
    planners[0].list(&[&servers[0], &servers[1], &servers[2]]);
    planners[0].up().signal("-HUP");
    planners[0].until_holds(&servers[2].drain());
    assert_eq!(answered(&proxy, 50).len(), 2, "the third gets none");
    // Steps need somebody who lets them go on.
    let (status, text) = order(&[fleet.machines[0].admin()], &["--steps", "4", "cap", "r", "0.5"]);
    assert_eq!(status, Some(1), "{text}");
    assert!(text.contains("no member holds the duty 'release'"), "{text}");
    // One that ends in order is expected no more, one that is killed is unheard and named.
    planners[1].up().signal("-TERM");
    fleet.heard(2, 2);
    planners[2].process = None;
    until("an unheard planner", || {
        let view = fleet.machines[1].up().view("/watchers");
        (view["unheard"][0]["planner"] == "p3" && view["heard"] == 1).then_some(())
    });
    let (status, text) = order(&[fleet.machines[1].admin()], &["drain", &drained]);
    assert_eq!(status, Some(0), "{text}");
    assert!(text.contains("in force at 1 of 2, unheard: 1: p3"), "{text}");
}

#[test]
fn machines_that_are_lost_leave_their_planners_to_the_others_and_orders_go_on() {
    let mut fleet = Fleet::new("lost", 3, 1);
    let server = Server::start();
    let all = [0, 1, 2, 3];
    let mut planners: Vec<Planner> =
        (1..6).map(|at| fleet.planner(&format!("p{at}"), &all, &[&server])).collect();
    fleet.heard(0, 5);
    // Whoever serves the first planner, and then whoever leads.
    for round in 0..2 {
        let lost = if round == 0 { fleet.serves(&planners[0]) } else { fleet.leader() };
        fleet.kill(lost);
        let others: Vec<usize> = all.into_iter().filter(|at| *at != lost).collect();
        let admin: Vec<SocketAddr> = others.iter().map(|at| fleet.machines[*at].admin()).collect();
        // An election may be under way: who gives an order gives it again under its id.
        let id = format!("{:016x}", 77 + round);
        let level = format!("0.{}", 5 + round);
        let kept = until("a kept order", || {
            let told = order(&admin, &["--id", &id, "cap", "r", &level]);
            (told.0 == Some(0)).then_some(told)
        });
        assert!(kept.1.contains("in force at"), "{}", kept.1);
        others.iter().for_each(|at| fleet.heard(*at, 5));
        in_force(&order(&admin, &["cap", "r", &level]), 5);
        assert!(planners.iter().all(|planner| planner.holds(&format!("cap r {level}"))));
        assert!(planners.iter().all(|planner| fleet.serves(planner) != lost));
        fleet.start(lost);
        fleet.whole();
        // Whoever led let the observer in, and whoever leads now gives it no vote.
        let seats = fleet.machines[0].up().view("/members")["members"].clone();
        let seats: Vec<_> = seats.as_array().into_iter().flatten().collect();
        let votes = |seat: &serde_json::Value| (seat["votes"] == true, seat["observes"] == true);
        assert!(
            seats.iter().all(|seat| votes(seat) == (seat["name"] != "c4", seat["name"] == "c4")),
            "{seats:?}"
        );
    }
    // All planners are killed at once and start again: what they held is in force before anybody is asked.
    planners.iter_mut().for_each(|planner| planner.process = None);
    planners.iter_mut().for_each(Planner::start);
    assert!(planners.iter().all(|planner| planner.holds("cap r 0.6")));
    fleet.heard(3, 5);
    in_force(&order(&[fleet.machines[3].admin()], &["cap", "r", "0.7"]), 5);
    // The whole tier is down: a start goes by its own disk, says of what age it knows nothing, and watches nobody.
    all.iter().for_each(|at| fleet.kill(*at));
    planners[0].process = None;
    planners[0].start();
    planners[0].until_holds("cap r 0.7");
    let view = planners[0].view("/record");
    assert!(view["watching"].is_null() && view["age_ms"].is_null(), "{view}");
    // It comes back, from its disks.
    all.iter().for_each(|at| fleet.start(*at));
    fleet.heard(1, 5);
    in_force(&order(&[fleet.machines[1].admin()], &["uncap", "r"]), 5);
    assert!(planners.iter().all(|planner| !planner.holds("cap r 0.7")));
}

#[test]
fn a_planner_never_goes_back_to_what_a_machine_that_lags_still_says() {
    let mut fleet = Fleet::new("lags", 3, 2);
    let server = Server::start();
    // It knows two observers; the one that it does not watch is cut off from the others, and serves on.
    let mut planner = fleet.planner("p1", &[3, 4], &[&server]);
    let (near, lags) = if fleet.serves(&planner) == 3 { (3, 4) } else { (4, 3) };
    fleet.machines[lags].members.shut(true);
    in_force(&order(&[fleet.machines[near].admin()], &["drain", &server.at.to_string()]), 1);
    let head = |at: usize| fleet.machines[at].up().view("/watchers")["head"].as_u64().expect("a place");
    let place = planner.view("/record")["index"].as_u64().expect("a place");
    assert!(head(lags) < place, "{} lags behind {place}", head(lags));
    fleet.kill(near);
    // It says how old its word is, and the planner asks it and stays with what it has.
    let refused = planner.up().line("Behind");
    assert!(refused.contains("watch_lost"), "{refused}");
    assert!(planner.holds(&server.drain()));
    // The record goes on by itself, by a cleaning: what was told of that before the other ended is no lower.
    let now = planner.view("/record")["index"].as_u64().expect("a place");
    assert!(now >= place, "{now} after {place}");
    assert!(planner.view("/record")["watching"].is_null());
    fleet.machines[lags].members.shut(false);
    assert_eq!(fleet.serves(&planner), lags);
    let kept = until("a kept order", || {
        let told = order(&[fleet.machines[lags].admin()], &["take-back", &server.at.to_string()]);
        (told.0 == Some(0)).then_some(told)
    });
    in_force(&kept, 1);
    assert!(!planner.holds(&server.drain()));
    // Stopped and continued: its planners go elsewhere, and it is heard of no watch that it had.
    fleet.start(near);
    fleet.whole();
    fleet.machines[lags].up().signal("-STOP");
    assert_eq!(until("another machine", || Some(fleet.serves(&planner)).filter(|at| *at == near)), near);
    in_force(&order(&[fleet.machines[near].admin()], &["drain", &server.at.to_string()]), 1);
    fleet.machines[lags].up().signal("-CONT");
    fleet.heard(lags, 1);
    in_force(&order(&[fleet.machines[lags].admin()], &["take-back", &server.at.to_string()]), 1);
}

fn say(stream: &mut TcpStream, kind: Kind) {
    stream.write_all(&encode(&WatchMessage::new(kind))).expect("written");
}

/// The next word that comes.
fn hear<M: Validate>(stream: &mut TcpStream) -> M {
    stream.set_read_timeout(Some(CEILING)).expect("set");
    let mut frames = FrameReader::<M>::default();
    loop {
        if let Some(word) = frames.next_message().expect("a word") {
            return word;
        }
        let mut byte = [0];
        assert_eq!(stream.read(&mut byte).expect("bytes"), 1, "it ended");
        frames.push(&byte);
    }
}

fn hello(planner: &str, versions: (u32, u32)) -> Kind {
    let scope = ScopeMessage { all_servers: true, all_routes: true, ..ScopeMessage::default() };
    Kind::Hello(Hello {
        min_version: versions.0,
        max_version: versions.1,
        planner: planner.into(),
        start: 1,
        watch_number: 1,
        scope,
        ..Hello::default()
    })
}

#[test]
fn a_watcher_that_reads_nothing_keeps_nobody_waiting_and_is_counted_as_unheard() {
    let fleet = Fleet::new("deaf", 1, 0);
    let server = Server::start();
    let planners: Vec<Planner> =
        (1..4).map(|at| fleet.planner(&format!("p{at}"), &[0], &[&server])).collect();
    fleet.heard(0, 3);
    let machine = &fleet.machines[0];
    let mut deaf = TcpStream::connect(machine.watches.at).expect("a link");
    say(&mut deaf, hello("deaf", (1, 1)));
    fleet.heard(0, 4);
    // All others have it while the deaf one's watch still stands.
    let body = format!(
        r#"{{"id":"0000000000000051","given":{},"who":"a test","why":"it","order":"drain","server":"{}"}}"#,
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a time").as_millis(),
        server.at
    );
    let kept = pewtergap_lab::ask::call(machine.admin(), "POST", "/orders", Some(&body)).expect("an answer");
    assert_eq!(kept.0, 200, "{}", kept.1);
    planners.iter().for_each(|planner| planner.until_holds(&server.drain()));
    let view = machine.up().view("/watchers");
    assert_eq!(view["here"]["watches"], 4, "{view}");
    // Then it is closed, and said to be unheard: in force never counts it.
    let (status, text) = order(&[machine.admin()], &["drain", &server.at.to_string()]);
    assert_eq!(status, Some(0), "{text}");
    assert!(text.contains("in force at 3 of 4, unheard: 1: deaf"), "{text}");
    assert_eq!(machine.up().view("/watchers")["here"]["refused"]["deaf"], 1);
}

#[test]
fn another_builds_planner_machine_and_member_are_refused_with_the_reason() {
    let fleet = Fleet::new("builds", 1, 0);
    let server = Server::start();
    let machine = &fleet.machines[0];
    // Planners that speak other versions of a watch.
    for versions in [(0, 0), (7, 9)] {
        let mut planner = TcpStream::connect(machine.watches.at).expect("a link");
        say(&mut planner, hello("older", versions));
        match hear::<WatchMessage>(&mut planner).kind {
            Some(Kind::Rejection(rejection)) => {
                assert_eq!(rejection.reason, Reason::Version as i32, "{rejection:?}");
                assert!(rejection.detail.contains("versions 1 to 1"), "{rejection:?}");
            }
            other => panic!("{other:?} to {versions:?}"),
        }
    }
    // A machine that welcomes under a version that nobody offered; the planner leaves it for the other one.
    let other = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let strange = Gate::new();
    strange.leads_to(other.local_addr().expect("its address"));
    std::thread::spawn(move || {
        for mut stream in other.incoming().map_while(Result::ok) {
            let word = hear::<WatchMessage>(&mut stream);
            assert!(matches!(word.kind, Some(Kind::Hello(_))), "{word:?}");
            let welcome = Welcome {
                version: 9,
                record_id: 5,
                head: 1 << 40,
                machine: "c0".into(),
                resumes_snapshot: false,
            };
            say(&mut stream, Kind::Welcome(welcome));
            let _ = stream.read_to_end(&mut Vec::new());
        }
    });
    // Whichever it takes first: as many planners as it takes for one of them to ask the strange one first.
    let mut met = false;
    for at in 1..6 {
        let mut planner = fleet.planner(&format!("p{at}"), &[0], &[&server]);
        planner.knows("c0", strange.at);
        planner.process = None;
        planner.start();
        let first = planner.up().line("watch");
        let first = if first.contains("watch_begins") { planner.up().line("watch") } else { first };
        met |= first.contains("watch_lost") && first.contains("version");
        assert_eq!(fleet.serves(&planner), 0);
        assert!(planner.view("/record")["index"].as_u64().is_some_and(|place| place < 1 << 40));
    }
    assert!(met, "none asked the strange machine first");
    // A member from before observers: whatever it came as, it would take an observer for one that learns.
    let mut member = TcpStream::connect(machine.members.at).expect("a link");
    let hello = members::Hello {
        min_format: 1,
        max_format: 3,
        name: "c2".into(),
        id: 5,
        start: 1,
        ..Default::default()
    };
    member
        .write_all(&encode(&members::PeerMessage::new(members::peer_message::Kind::Hello(hello))))
        .expect("written");
    match hear::<members::PeerMessage>(&mut member).kind {
        Some(members::peer_message::Kind::Reject(refuse)) => {
            assert_eq!(refuse.reason, "speaks formats 1 to 3, we 4 to 4");
        }
        other => panic!("{other:?}"),
    }
}
