//! A planner process whose system calls fail for a while in ways that Linux documents.

mod peer;

use peer::*;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long a planner may leave a healthy peer without an answer while its system calls fail.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(1_000);
/// Interval at which new peers connect.
const NEWCOMER_INTERVAL: Duration = Duration::from_millis(300);

fn start(test: &str, faults: &str) -> Process {
    Process::start_with_faults(test, &Config::new(closed_address()), faults)
}

/// Sends pings on one connection until `end` after the start, while others connect, and returns the longest wait for
/// an answer and the others.
fn slowest_answer(peer: &mut Peer, at: SocketAddr, end: Duration) -> (Duration, Vec<Peer>) {
    let start = Instant::now();
    let (mut slowest, mut newcomers) = (Duration::ZERO, Vec::new());
    while start.elapsed() < end {
        if start.elapsed() >= NEWCOMER_INTERVAL * newcomers.len() as u32 {
            let mut newcomer = Peer::connect(at);
            newcomer.send("PING");
            newcomers.push(newcomer);
        }
        let asked = Instant::now();
        peer.send("PING");
        assert_eq!(peer.receive(), "PONG");
        slowest = slowest.max(asked.elapsed());
    }
    (slowest, newcomers)
}

/// Joined streams are served while this call fails for two seconds, and those that connect meanwhile after that.
fn check_streams_are_served(test: &str, fault: &str) {
    let planner = start(test, fault);
    let mut joined = Peer::subscribed(planner.at, 1);
    assert!(joined.receive().starts_with("CONFIG"), "a table");
    let (slowest, mut newcomers) = slowest_answer(&mut joined, planner.at, Duration::from_millis(3_500));
    assert!(slowest < MAX_ANSWER_TIME, "{fault}: a joined stream waited {slowest:?} for its answer");
    newcomers.iter_mut().for_each(|newcomer| assert_eq!(newcomer.receive(), "PONG"));
}

#[test]
fn connections_aborted_before_they_are_accepted_hold_up_no_stream() {
    let aborted = libc::ECONNABORTED;
    check_streams_are_served("aborted", &format!("accept4={aborted}@1000-3000"));
}

#[test]
fn a_lack_of_descriptors_or_memory_at_accept_holds_up_no_stream() {
    for (name, errno) in [("enfile", libc::ENFILE), ("enobufs", libc::ENOBUFS), ("eproto", libc::EPROTO)] {
        check_streams_are_served(name, &format!("accept4={errno}@1000-3000"));
    }
}

#[test]
fn interrupted_waits_hold_up_no_timer() {
    // Strangers are closed after a second by a timer, also while each wait is interrupted.
    let planner = start("waits", &format!("epoll_wait={}@1000-4000", libc::EINTR));
    std::thread::sleep(Duration::from_millis(200));
    let mut stranger = Peer::connect(planner.at);
    planner.check_alive();
    let connected = Instant::now();
    stranger.read_to_end();
    let closed = connected.elapsed();
    assert!(closed < Duration::from_millis(2_500), "a silent connection was closed after {closed:?}");
}

#[test]
fn interrupted_and_short_reads_and_writes_lose_no_message() {
    let faults = [
        format!("recv={}", libc::EINTR),
        format!("writev={}", libc::EINTR),
        "recv=0".into(),
        "writev=0".into(),
    ];
    for (at, fault) in faults.iter().enumerate() {
        let planner = start(&format!("short-{at}"), &format!("{fault}@1000-2000"));
        let mut joined = Peer::subscribed(planner.at, 1);
        assert!(joined.receive().starts_with("CONFIG"), "a table");
        let (slowest, _) = slowest_answer(&mut joined, planner.at, Duration::from_millis(2_500));
        assert!(slowest < Duration::from_millis(1_500), "{fault}: waited {slowest:?} for an answer");
    }
}

#[test]
fn connections_that_fail_here_tell_nothing_of_a_server() {
    for (name, errno) in [("enetunreach", libc::ENETUNREACH), ("eaddrnotavail", libc::EADDRNOTAVAIL)] {
        let server = Listener::bind();
        let rows = vec![row("s-1", server.at, "Ready")];
        let config = Config { probes: true, rows, ..Config::new(closed_address()) };
        let mut planner = Process::start_with_faults(name, &config, &format!("connect={errno}@0-2000"));
        planner.wait_for_line("probe_without_room");
        // Probed again, and reached, once connections can be opened.
        assert_eq!(server.accept().request_target(), "/metrics/load");
        let dead: Vec<&String> = planner.seen.iter().filter(|line| line.contains("end=dead")).collect();
        assert!(dead.is_empty(), "{name}: {dead:?}");
    }
}

#[test]
fn a_lack_of_descriptors_at_the_start_is_no_refusal_to_start() {
    let planner = start("start-enfile", &format!("socket={}@0-3000", libc::ENFILE));
    planner.check_alive();
}

#[test]
fn a_step_of_the_wall_clock_moves_no_deadline() {
    for (name, seconds) in [("back", -3_600), ("forward", 3_600)] {
        let planner = start(&format!("clock-{name}"), &format!("wall_clock={seconds}@500-60000"));
        let mut stranger = Peer::connect(planner.at);
        let connected = Instant::now();
        stranger.read_to_end();
        let closed = connected.elapsed();
        assert!(
            closed >= Duration::from_millis(950),
            "{name}: a silent connection was closed after {closed:?}"
        );
        assert!(
            closed < Duration::from_millis(2_500),
            "{name}: a silent connection was closed after {closed:?}"
        );
        planner.check_alive();
    }
}

#[test]
fn an_unknown_fault_is_refused_before_anything_starts() {
    let config = Config::new(closed_address());
    for plan in ["reboot=5@0-1", "recv=five@0-1", "recv=5@9-1", "recv"] {
        let planner = std::panic::catch_unwind(|| Process::start_with_faults("bad-plan", &config, plan));
        let why =
            planner.err().and_then(|why| why.downcast::<String>().ok()).expect("no planner that listens");
        assert!(why.contains("is not CALL=ERRNO@FROM-TO"), "{plan}: {why}");
    }
}
