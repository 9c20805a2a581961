//! Runs the `node` command as a process, as the platform starts and stops it.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

const GOOD: &str = r#"{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
    "limits":{"cores":1.0,"memory_mb":32,"sockets":256},"known":{"rev":0,"all":true,"targets":[]},
    "settings":{"Zones":["a"],"Profiles":[{"Name":"lookup","Semantics":"free"}],"FamilyInfo":{"DataPlaneSize":4}}}"#;

fn start(name: &str, text: &str) -> Child {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&file, text).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_pewtergap"));
    command.arg("node").env("NODE_CONFIG", file).stderr(Stdio::piped()).stdout(Stdio::null());
    command.spawn().unwrap()
}

/// Waits for a line of the log that contains `text`.
fn wait_for_line(log: &mut impl BufRead, text: &str) -> String {
    let mut line = String::new();
    while !line.contains(text) {
        line.clear();
        assert!(log.read_line(&mut line).unwrap() > 0, "the log ended without '{text}'");
    }
    line
}

fn signal(child: &Child, name: &str) {
    assert!(Command::new("kill").args([name, &child.id().to_string()]).status().unwrap().success());
}

#[test]
fn it_answers_reads_its_file_again_and_ends_in_order() {
    let mut child = start("good.json", GOOD);
    let mut log = BufReader::new(child.stderr.take().unwrap());
    let listening = wait_for_line(&mut log, "listening");
    let at = listening.split_whitespace().find_map(|word| word.strip_prefix("at=")).unwrap();
    let check_alive = || {
        let mut peer = TcpStream::connect(at).unwrap();
        peer.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
        peer.write_all(b"*1\r\n$4\r\nPING\r\n").unwrap();
        let mut answer = [0; 14];
        peer.read_exact(&mut answer).unwrap();
        assert_eq!(&answer, b"*1\r\n$4\r\nPONG\r\n");
    };
    check_alive();
    signal(&child, "-HUP");
    wait_for_line(&mut log, "\"configuration\"");
    check_alive();
    signal(&child, "-TERM");
    assert_eq!(child.wait().unwrap().code(), Some(0));
}

#[test]
fn a_log_on_a_full_disk_ends_no_planner() {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("full-log.json");
    let address = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    std::fs::write(&file, GOOD.replace("127.0.0.1:0", &address.to_string())).unwrap();
    // Each write to this device fails with ENOSPC.
    let full = std::fs::OpenOptions::new().write(true).open("/dev/full").unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_pewtergap"));
    let mut child =
        command.arg("node").env("NODE_CONFIG", file).stderr(full).stdout(Stdio::null()).spawn().unwrap();
    let start = std::time::Instant::now();
    let mut answer = [0; 14];
    loop {
        assert_eq!(child.try_wait().unwrap(), None, "the planner has ended");
        assert!(start.elapsed() < Duration::from_secs(30), "the planner does not answer");
        let Ok(mut peer) = TcpStream::connect(address) else {
            std::thread::sleep(Duration::from_millis(2));
            continue;
        };
        peer.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
        if peer.write_all(b"*1\r\n$4\r\nPING\r\n").and_then(|()| peer.read_exact(&mut answer)).is_ok() {
            break;
        }
    }
    assert_eq!(&answer, b"*1\r\n$4\r\nPONG\r\n");
    signal(&child, "-TERM");
    assert_eq!(child.wait().unwrap().code(), Some(0));
}

#[test]
fn a_bad_start_ends_with_a_reason() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let busy = GOOD.replace("127.0.0.1:0", &listener.local_addr().unwrap().to_string());
    let cases = [
        ("torn.json", GOOD[..40].to_string(), 2, "not JSON"),
        ("limits.json", GOOD.replace("256", "\"many\""), 2, "limits.sockets"),
        ("busy.json", busy, 3, "not_listening"),
    ];
    for (name, text, code, why) in cases {
        let mut child = start(name, &text);
        let mut errors = String::new();
        child.stderr.take().unwrap().read_to_string(&mut errors).unwrap();
        assert!(errors.contains(why), "{name}: {errors}");
        assert_eq!(child.wait().unwrap().code(), Some(code), "{name}");
    }
}
