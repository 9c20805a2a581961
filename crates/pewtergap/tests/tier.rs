//! The tier as processes: an order given at any control machine takes effect at a proxy and is reported as in force, with
//! machines and planners lost, stopped, partitioned, restarted and of other versions.

mod fleet;

use fleet::*;
use pewtergap_member::messages as members;
use pewtergap_protocol::{encode, FrameReader, Validate};
use pewtergap_watch::messages::{Hello, Kind, Reason, ScopeMessage, WatchMessage, Welcome};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

fn check_in_force(result: &(Option<i32>, String), of: usize) {
    let (status, text) = result;
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
    let proxy = start_proxy(&fleet, &planners[0]);
    let both = |proxy: &Process| (answering_servers(proxy, 30).len() == 2).then_some(());
    wait_until("calls at both servers", || both(&proxy));
    fleet.wait_until_heard(0, 3);
    let drained = servers[0].at.to_string();
    for machine in &fleet.machines {
        check_in_force(&give_order(&[machine.admin()], &["drain", &drained]), 3);
        let without = [servers[1].at.to_string()];
        wait_until("calls at the other server alone", || {
            (answering_servers(&proxy, 10) == without).then_some(())
        });
        assert_eq!(answering_servers(&proxy, 50), without, "after {}", machine.name);
        check_in_force(&give_order(&[machine.admin()], &["take-back", &drained]), 3);
        wait_until("calls at both servers again", || both(&proxy));
    }
    // An order for a server that no list names yet is outside every scope and still counts as in force.
    check_in_force(&give_order(&[fleet.machines[3].admin()], &["drain", &servers[2].at.to_string()]), 3);
    assert!(planners.iter().all(|planner| !planner.holds(&servers[2].drain())), "nobody was told");
    planners[0].write_list(&[&servers[0], &servers[1], &servers[2]]);
    planners[0].process().signal("-HUP");
    planners[0].wait_until_holds(&servers[2].drain());
    assert_eq!(answering_servers(&proxy, 50).len(), 2, "the third gets none");
    // An order in steps needs a member that holds the release duty.
    let (status, text) = give_order(&[fleet.machines[0].admin()], &["--steps", "4", "cap", "r", "0.5"]);
    assert_eq!(status, Some(1), "{text}");
    assert!(text.contains("no member holds the duty 'release'"), "{text}");
    // A planner that terminates cleanly is no longer expected; a killed one is reported as unheard by name.
    planners[1].process().signal("-TERM");
    fleet.wait_until_heard(2, 2);
    planners[2].process = None;
    wait_until("an unheard planner", || {
        let view = fleet.machines[1].process().view("/watchers");
        (view["unheard"][0]["planner"] == "p3" && view["heard"] == 1).then_some(())
    });
    let (status, text) = give_order(&[fleet.machines[1].admin()], &["drain", &drained]);
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
    fleet.wait_until_heard(0, 5);
    // First the machine that serves the first planner, then the leader.
    for round in 0..2 {
        let lost = if round == 0 { fleet.serving_machine(&planners[0]) } else { fleet.leader() };
        fleet.kill(lost);
        let others: Vec<usize> = all.into_iter().filter(|at| *at != lost).collect();
        let admin: Vec<SocketAddr> = others.iter().map(|at| fleet.machines[*at].admin()).collect();
        // During an election the operator repeats the order under the same id.
        let id = format!("{:016x}", 77 + round);
        let level = format!("0.{}", 5 + round);
        let kept = wait_until("a kept order", || {
            let result = give_order(&admin, &["--id", &id, "cap", "r", &level]);
            (result.0 == Some(0)).then_some(result)
        });
        assert!(kept.1.contains("in force at"), "{}", kept.1);
        others.iter().for_each(|at| fleet.wait_until_heard(*at, 5));
        check_in_force(&give_order(&admin, &["cap", "r", &level]), 5);
        assert!(planners.iter().all(|planner| planner.holds(&format!("cap r {level}"))));
        assert!(planners.iter().all(|planner| fleet.serving_machine(planner) != lost));
        fleet.start(lost);
        fleet.wait_until_connected();
        // The observer was admitted by an earlier leader, and the current one gives it no vote.
        let seats = fleet.machines[0].process().view("/members")["members"].clone();
        let seats: Vec<_> = seats.as_array().into_iter().flatten().collect();
        let votes = |seat: &serde_json::Value| (seat["votes"] == true, seat["observes"] == true);
        assert!(
            seats.iter().all(|seat| votes(seat) == (seat["name"] != "c4", seat["name"] == "c4")),
            "{seats:?}"
        );
    }
    // After all planners are killed and restarted, their stored orders are in force before they reach a machine.
    planners.iter_mut().for_each(|planner| planner.process = None);
    planners.iter_mut().for_each(Planner::start);
    assert!(planners.iter().all(|planner| planner.holds("cap r 0.6")));
    fleet.wait_until_heard(3, 5);
    check_in_force(&give_order(&[fleet.machines[3].admin()], &["cap", "r", "0.7"]), 5);
    // With the whole tier down, a planner starts from its own disk, reports an unknown age and watches no machine.
    all.iter().for_each(|at| fleet.kill(*at));
    planners[0].process = None;
    planners[0].start();
    planners[0].wait_until_holds("cap r 0.7");
    let view = planners[0].view("/record");
    assert!(view["watching"].is_null() && view["age_ms"].is_null(), "{view}");
    // The tier restarts from its disks.
    all.iter().for_each(|at| fleet.start(*at));
    fleet.wait_until_heard(1, 5);
    check_in_force(&give_order(&[fleet.machines[1].admin()], &["uncap", "r"]), 5);
    assert!(planners.iter().all(|planner| !planner.holds("cap r 0.7")));
}

#[test]
fn a_planner_never_goes_back_to_what_a_machine_that_lags_still_says() {
    let mut fleet = Fleet::new("lags", 3, 2);
    let server = Server::start();
    // The planner knows two observers; the one it does not watch is partitioned from the members but still serves.
    let mut planner = fleet.planner("p1", &[3, 4], &[&server]);
    let (current, lagging) = if fleet.serving_machine(&planner) == 3 { (3, 4) } else { (4, 3) };
    fleet.machines[lagging].members.set_shut(true);
    check_in_force(&give_order(&[fleet.machines[current].admin()], &["drain", &server.at.to_string()]), 1);
    let head = |at: usize| fleet.machines[at].process().view("/watchers")["head"].as_u64().expect("a place");
    let index = planner.view("/record")["index"].as_u64().expect("a place");
    assert!(head(lagging) < index, "{} lags behind {index}", head(lagging));
    fleet.kill(current);
    // The planner asks the lagging machine, which reports an older index, and keeps its own state.
    let refused = planner.process().wait_for_line("Behind");
    assert!(refused.contains("watch_lost"), "{refused}");
    assert!(planner.holds(&server.drain()));
    // The record may have advanced by a cleanup before the other machine ended, but the index never decreases.
    let now = planner.view("/record")["index"].as_u64().expect("a place");
    assert!(now >= index, "{now} after {index}");
    assert!(planner.view("/record")["watching"].is_null());
    fleet.machines[lagging].members.set_shut(false);
    assert_eq!(fleet.serving_machine(&planner), lagging);
    let kept = wait_until("a kept order", || {
        let result = give_order(&[fleet.machines[lagging].admin()], &["take-back", &server.at.to_string()]);
        (result.0 == Some(0)).then_some(result)
    });
    check_in_force(&kept, 1);
    assert!(!planner.holds(&server.drain()));
    // When a machine is stopped and continued, its planners move to another one and it no longer counts its former watches.
    fleet.start(current);
    fleet.wait_until_connected();
    fleet.machines[lagging].process().signal("-STOP");
    assert_eq!(
        wait_until("another machine", || Some(fleet.serving_machine(&planner)).filter(|at| *at == current)),
        current
    );
    check_in_force(&give_order(&[fleet.machines[current].admin()], &["drain", &server.at.to_string()]), 1);
    fleet.machines[lagging].process().signal("-CONT");
    fleet.wait_until_heard(lagging, 1);
    check_in_force(
        &give_order(&[fleet.machines[lagging].admin()], &["take-back", &server.at.to_string()]),
        1,
    );
}

fn send(stream: &mut TcpStream, kind: Kind) {
    stream.write_all(&encode(&WatchMessage::new(kind))).expect("written");
}

/// Receives the next message.
fn receive<M: Validate>(stream: &mut TcpStream) -> M {
    stream.set_read_timeout(Some(MAX_WAIT)).expect("set");
    let mut frames = FrameReader::<M>::default();
    loop {
        if let Some(message) = frames.next_message().expect("a word") {
            return message;
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
    fleet.wait_until_heard(0, 3);
    let machine = &fleet.machines[0];
    let mut deaf = TcpStream::connect(machine.watches.at).expect("a link");
    send(&mut deaf, hello("deaf", (1, 1)));
    fleet.wait_until_heard(0, 4);
    // All others receive the order while the watch of the unresponsive one is still open.
    let body = format!(
        r#"{{"id":"0000000000000051","given":{},"who":"a test","why":"it","order":"drain","server":"{}"}}"#,
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a time").as_millis(),
        server.at
    );
    let kept = pewtergap_lab::ask::call(machine.admin(), "POST", "/orders", Some(&body)).expect("an answer");
    assert_eq!(kept.0, 200, "{}", kept.1);
    planners.iter().for_each(|planner| planner.wait_until_holds(&server.drain()));
    let view = machine.process().view("/watchers");
    assert_eq!(view["here"]["watches"], 4, "{view}");
    // Then its watch is closed and it is reported as unheard, so it is never counted as in force.
    let (status, text) = give_order(&[machine.admin()], &["drain", &server.at.to_string()]);
    assert_eq!(status, Some(0), "{text}");
    assert!(text.contains("in force at 3 of 4, unheard: 1: deaf"), "{text}");
    assert_eq!(machine.process().view("/watchers")["here"]["refused"]["deaf"], 1);
}

#[test]
fn another_builds_planner_machine_and_member_are_refused_with_the_reason() {
    let fleet = Fleet::new("builds", 1, 0);
    let server = Server::start();
    let machine = &fleet.machines[0];
    // Planners with other versions of the watch protocol.
    for versions in [(0, 0), (7, 9)] {
        let mut planner = TcpStream::connect(machine.watches.at).expect("a link");
        send(&mut planner, hello("older", versions));
        match receive::<WatchMessage>(&mut planner).kind {
            Some(Kind::Rejection(rejection)) => {
                assert_eq!(rejection.reason, Reason::Version as i32, "{rejection:?}");
                assert!(rejection.detail.contains("versions 1 to 1"), "{rejection:?}");
            }
            other => panic!("{other:?} to {versions:?}"),
        }
    }
    // A machine that answers with a version that was not offered; the planner switches to the other one.
    let other = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let incompatible = Gate::new();
    incompatible.set_target(other.local_addr().expect("its address"));
    std::thread::spawn(move || {
        for mut stream in other.incoming().map_while(Result::ok) {
            let message = receive::<WatchMessage>(&mut stream);
            assert!(matches!(message.kind, Some(Kind::Hello(_))), "{message:?}");
            let welcome = Welcome {
                version: 9,
                record_id: 5,
                head: 1 << 40,
                machine: "c0".into(),
                resumes_snapshot: false,
            };
            send(&mut stream, Kind::Welcome(welcome));
            let _ = stream.read_to_end(&mut Vec::new());
        }
    });
    // Which machine a planner tries first is random, so several planners are started until one tries the incompatible one.
    let mut rejected = false;
    for at in 1..6 {
        let mut planner = fleet.planner(&format!("p{at}"), &[0], &[&server]);
        planner.add_machine("c0", incompatible.at);
        planner.process = None;
        planner.start();
        let first = planner.process().wait_for_line("watch");
        let first =
            if first.contains("watch_begins") { planner.process().wait_for_line("watch") } else { first };
        rejected |= first.contains("watch_lost") && first.contains("version");
        assert_eq!(fleet.serving_machine(&planner), 0);
        assert!(planner.view("/record")["index"].as_u64().is_some_and(|index| index < 1 << 40));
    }
    assert!(rejected, "none asked the strange machine first");
    // A member of a version without observers, which would mistake an observer for a learner.
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
    match receive::<members::PeerMessage>(&mut member).kind {
        Some(members::peer_message::Kind::Reject(reject)) => {
            assert_eq!(reject.reason, "speaks formats 1 to 3, we 4 to 4");
        }
        other => panic!("{other:?}"),
    }
}
