//! The platform's side: discovery, servers, and the planner's process.

use crate::world::{host, quit, Server, State, Told, World, SLACK_S};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

pub fn free_port() -> u16 {
    let listener = TcpListener::bind((host(), 0)).unwrap_or_else(|e| quit(&format!("no port: {e}")));
    listener.local_addr().map(|at| at.port()).unwrap_or_else(|e| quit(&format!("no port: {e}")))
}

/// Reads a request's head and returns its first line.
fn request_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line.trim().is_empty() {
            return Some(first.trim().to_string());
        }
    }
}

fn respond(stream: &mut TcpStream, status: u16, body: &str, close: bool) -> std::io::Result<()> {
    let connection = if close { "close" } else { "keep-alive" };
    let text = format!(
        "HTTP/1.1 {status} {}\r\ncontent-type: text/plain\r\nconnection: {connection}\r\ncontent-length: {}\r\n\r\n{body}",
        if status == 200 { "OK" } else { "Service Unavailable" },
        body.len()
    );
    stream.write_all(text.as_bytes())
}

// ---- discovery

fn entry(server: &Server) -> String {
    format!(
        "{{\"uid\":\"{}\",\"endpoint\":\"{}:{}\",\"az\":\"{}\",\"model\":\"standard\",\"pod_group\":{},\
         \"state\":\"{}\",\"capacity_hint\":{:?},\"boot_ms\":{}}}",
        server.uid,
        host(),
        server.port,
        "@".to_string() + &server.zone.to_string(),
        server.zone,
        server.state.name(),
        server.hint,
        server.boot_ms
    )
}

fn answer(world: &World, servers: &[&Server], rev: u64, all: bool) -> String {
    let mut rows: Vec<String> = Vec::new();
    for server in servers {
        let row = entry(server);
        rows.push(
            row.replace(&format!("\"@{}\"", server.zone), &format!("\"{}\"", world.site.zones[server.zone])),
        );
    }
    format!("{{\"rev\":{rev},\"all\":{all},\"targets\":[{}]}}", rows.join(","))
}

/// The list as JSON, for `known` of the configuration.
pub fn whole_list(world: &World) -> String {
    let list = world.list.lock().unwrap();
    let servers: Vec<&Server> = list.servers.iter().filter(|s| s.state != State::Gone).collect();
    answer(world, &servers, list.rev, true)
}

/// The agent of one planner's machine.
pub fn discovery(world: &Arc<World>, planner: usize) -> u16 {
    let listener = TcpListener::bind((host(), 0)).unwrap_or_else(|e| quit(&format!("discovery: {e}")));
    let port = listener.local_addr().unwrap().port();
    let world = world.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let world = world.clone();
            thread::spawn(move || agent(&world, planner, stream));
        }
    });
    port
}

fn agent(world: &Arc<World>, planner: usize, mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    while let Some(line) = request_line(&mut reader) {
        let target = line.split(' ').nth(1).unwrap_or("").to_string();
        let argument = |name: &str| -> Option<u64> {
            let query = target.split_once('?')?.1;
            query.split('&').find_map(|pair| pair.strip_prefix(&format!("{name}=")))?.parse().ok()
        };
        let mut list = world.list.lock().unwrap();
        if let Some(since) = argument("since") {
            let until = world.now() + argument("timeout_ms").unwrap_or(0).min(60_000) as f64 / 1e3;
            while list.rev <= since && world.now() < until && !world.over() {
                let left = Duration::from_secs_f64((until - world.now()).max(0.001));
                list = world.changed.wait_timeout(list, left).unwrap().0;
            }
            let mut changed: Vec<usize> = list.log.iter().filter(|c| c.0 > since).map(|c| c.1).collect();
            changed.sort();
            changed.dedup();
            let servers: Vec<&Server> = changed.iter().map(|at| &list.servers[*at]).collect();
            let body = answer(world, &servers, list.rev, false);
            let pieces = if changed.is_empty() { None } else { world.pieces.lock().unwrap().take() };
            if let Some((count, gap)) = pieces {
                drop(list);
                if in_pieces(world, planner, &mut stream, &body, (count, gap), changed).is_err() {
                    return;
                }
                continue;
            }
            if respond(&mut stream, 200, &body, false).is_err() {
                return;
            }
            tell(world, &mut list, planner, &changed);
        } else {
            let present: Vec<usize> =
                (0..list.servers.len()).filter(|at| list.servers[*at].state != State::Gone).collect();
            let servers: Vec<&Server> = present.iter().map(|at| &list.servers[*at]).collect();
            let body = answer(world, &servers, list.rev, true);
            if respond(&mut stream, 200, &body, false).is_err() {
                return;
            }
            // Servers that are not in a whole list are told as gone.
            let all: Vec<usize> = (0..list.servers.len()).collect();
            tell(world, &mut list, planner, &all);
        }
    }
}

/// Writes an answer in pieces. It counts as told when it is written, and 2 s after the end of the wait at the latest.
fn in_pieces(
    world: &Arc<World>,
    planner: usize,
    stream: &mut TcpStream,
    body: &str,
    (count, gap): (usize, f64),
    changed: Vec<usize>,
) -> std::io::Result<()> {
    world.note(&format!("discovery's answer to planner {planner} begins, in {count} pieces, {gap} s apart"));
    let (late, at) = (world.clone(), changed.clone());
    thread::spawn(move || {
        late.sleep(2.0);
        let mut list = late.list.lock().unwrap();
        tell(&late, &mut list, planner, &at);
    });
    let text = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    for (nth, piece) in text.as_bytes().chunks(text.len().div_ceil(count)).enumerate() {
        if nth > 0 {
            world.sleep(gap);
        }
        stream.write_all(piece)?;
    }
    world.note(&format!("discovery's answer to planner {planner} is written"));
    let mut list = world.list.lock().unwrap();
    tell(world, &mut list, planner, &changed);
    Ok(())
}

fn tell(world: &World, list: &mut crate::world::List, planner: usize, servers: &[usize]) {
    let now = world.now();
    for at in servers {
        let (state, boot_ms) = (list.servers[*at].state, list.servers[*at].boot_ms);
        let known = list.told.get(&(planner, *at)).copied();
        if known.is_some_and(|k| k.state == state && k.boot_ms == boot_ms) {
            continue;
        }
        // A draining server that is now gone was told when it began to drain.
        let since = match known {
            Some(k) if k.state != State::Ready && state != State::Ready => k.since,
            _ => now,
        };
        list.told.insert((planner, *at), Told { state, boot_ms, since });
        let uid = &list.servers[*at].uid;
        world.note(&format!("told planner={planner} {uid} {} boot_ms={boot_ms}", state.name()));
    }
}

// ---- servers

pub struct NewServer {
    pub uid: String,
    pub zone: usize,
    pub cores: usize,
    pub speed: f64,
    pub hint: f64,
}

/// Adds a server that is not listed and does not run yet.
pub fn add_server(world: &Arc<World>, new: NewServer) -> usize {
    let mut list = world.list.lock().unwrap();
    list.servers.push(Server {
        uid: new.uid,
        zone: new.zone,
        hint: new.hint,
        cores: new.cores,
        speed: new.speed,
        port: free_port(),
        state: State::Gone,
        boot_ms: 0,
        started: None,
        up: false,
        fell: false,
        in_hand: 0,
        arrivals: Vec::new(),
        process: 0,
    });
    list.servers.len() - 1
}

/// Starts a server's process: long ago, or now and cold.
pub fn start_server(world: &Arc<World>, at: usize, cold: bool) {
    let (port, process, uid) = {
        let mut list = world.list.lock().unwrap();
        let server = &mut list.servers[at];
        server.process += 1;
        (server.up, server.fell) = (true, false);
        server.arrivals.clear();
        server.in_hand = 0;
        if cold {
            (server.started, server.boot_ms) = (Some(world.now()), world.unix_ms());
        }
        (server.port, server.process, server.uid.clone())
    };
    world.note(&format!("server {uid} starts cold={cold}"));
    // The process before may still be closing its listener.
    let bind =
        || (0..100).find_map(|_| TcpListener::bind((host(), port)).map_err(|_| world.sleep(0.01)).ok());
    let listener = bind().unwrap_or_else(|| quit(&format!("server {uid}: its port is taken")));
    let _ = listener.set_nonblocking(true);
    let world = world.clone();
    thread::spawn(move || loop {
        if world.over()
            || world.list.lock().unwrap().servers[at].process != process
            || !world.list.lock().unwrap().servers[at].up
        {
            return;
        }
        match listener.accept() {
            Ok((stream, _)) => {
                let _ = stream.set_nonblocking(false);
                let world = world.clone();
                thread::spawn(move || serve(&world, at, process, stream));
            }
            Err(_) => thread::sleep(Duration::from_millis(1)),
        }
    });
}

/// Ends a server's process; what it holds is lost.
pub fn stop_server(world: &World, at: usize) {
    let mut list = world.list.lock().unwrap();
    let server = &mut list.servers[at];
    server.up = false;
    server.process += 1;
    world.note(&format!("server {} stops", server.uid));
}

/// Present capacity as a fraction of the warm one: from the settings' fraction at the start, in a straight line to 1.
pub fn warmth(world: &World, server: &Server, now: f64) -> f64 {
    let Some(started) = server.started else { return 1.0 };
    let site = &world.site;
    (site.cold_from + (1.0 - site.cold_from) * (now - started) / site.cold_s).clamp(site.cold_from, 1.0)
}

pub fn capacity(server: &Server) -> f64 {
    server.cores as f64 * server.speed
}

fn util(world: &World, server: &Server, now: f64) -> f64 {
    let work: f64 = server.arrivals.iter().filter(|a| a.0 > now - 2.0).map(|a| a.1 / 2.0).sum();
    (work / (capacity(server) * warmth(world, server, now))).min(1.0)
}

fn serve(world: &Arc<World>, at: usize, process: u64, mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(20)));
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    while let Some(line) = request_line(&mut reader) {
        let target = line.split(' ').nth(1).unwrap_or("");
        let alive = |world: &World| {
            let list = world.list.lock().unwrap();
            let server = &list.servers[at];
            server.process == process && server.up
        };
        if !alive(world) {
            return;
        }
        if target == "/alive" || target == "/metrics/load" {
            let body = {
                let list = world.list.lock().unwrap();
                let server = &list.servers[at];
                format!("TEXT inflight={}, util={:.3}", server.in_hand, util(world, server, world.now()))
            };
            if respond(&mut stream, 200, &body, true).is_err() {
                return;
            }
            return;
        }
        // A call: /call/ID/CLASS/WORK_US/KNOWS
        let parts: Vec<&str> = target.split('/').collect();
        let (Some(id), Some(class), Some(work), Some(knows)) =
            (parts.get(2), parts.get(3), parts.get(4), parts.get(5))
        else {
            return;
        };
        let work = work.parse::<f64>().unwrap_or(0.0) / 1e6;
        let now = world.now();
        let (time, uid, taken) = {
            let mut list = world.list.lock().unwrap();
            let server = &mut list.servers[at];
            server.arrivals.retain(|a| a.0 > now - 20.0);
            server.arrivals.push((now, work, *knows == "1"));
            let fell = falls(world, server, now);
            let server = &mut list.servers[at];
            let warm = warmth(world, server, now);
            // Calls in hand share the cores; beyond the queue they are refused.
            let load = (server.in_hand as f64 + 1.0) / server.cores as f64;
            let taken = server.in_hand < server.cores * 12 && fell.is_none();
            if taken {
                server.in_hand += 1;
            }
            let uid = server.uid.clone();
            if let Some(why) = fell {
                (server.up, server.fell) = (false, true);
                drop(list);
                world.broke("failback", &format!("{uid} falls over: {why}"));
                return;
            }
            (work / server_speed(world, at, &list) / warm * load.max(1.0), uid, taken)
        };
        if !taken {
            world.note(&format!("refused {id} {class} at {uid}"));
            let _ = respond(&mut stream, 503, "full", true);
            return;
        }
        world.sleep(time);
        {
            let mut list = world.list.lock().unwrap();
            let server = &mut list.servers[at];
            if server.process != process || !server.up {
                return;
            }
            server.in_hand -= 1;
        }
        world.note(&format!("ran {id} {class} at {uid}"));
        if respond(&mut stream, 200, "done", false).is_err() {
            return;
        }
    }
}

fn server_speed(_world: &World, at: usize, list: &crate::world::List) -> f64 {
    list.servers[at].speed
}

/// Slack for chance on the budget of a cold server.
pub const CHANCE: f64 = 1.25;

/// Whether a cold server was sent more than the multiple of what it can do, over the span of the settings. Within the
/// first span after its start the budget of the whole span counts.
fn falls(world: &World, server: &Server, now: f64) -> Option<String> {
    let started = server.started?;
    // The time limit is extended on sockets.
    let (site, age, span) = (&world.site, now - started, world.site.fall_s + SLACK_S);
    if age >= site.cold_s {
        return None;
    }
    let from = started + (age - span).max(0.0);
    let in_span = server.arrivals.iter().filter(|a| a.0 >= from);
    let (work, known) = in_span.fold((0.0, 0.0), |sum, a| (sum.0 + a.1, sum.1 + if a.2 { a.1 } else { 0.0 }));
    let mean_warmth = (warmth(world, server, from) + warmth(world, server, from + span)) / 2.0;
    let budget = site.multiple * mean_warmth * capacity(server) * span;
    (work > CHANCE * budget).then(|| {
        let share = known / work;
        let text = format!(
            "{work:.2} core seconds within {:.2} s of its span, budget {budget:.2}, {:.2} s after its start, {:.0} in 100 of \
             it with knowledge of the start",
            (now - from).min(span),
            age,
            100.0 * share
        );
        // The rule is broken if two thirds came with knowledge; otherwise the server falls without a broken rule.
        if share < 2.0 / 3.0 {
            world.note(&format!("excused: {text}"));
        }
        (share >= 2.0 / 3.0).then_some(text)
    })?
}

// ---- the planner

pub struct Planner {
    pub index: usize,
    pub port: u16,
    pub child: Child,
}

/// Starts a planner by the command of the deploy file.
pub fn start_planner(
    world: &Arc<World>,
    index: usize,
    discovery: u16,
    port: u16,
    root: &str,
    run: &str,
    dir: &str,
) -> Planner {
    start_planner_with(world, index, discovery, port, (root, run, dir), &whole_list(world))
}

/// The same with the list that it last held.
pub fn start_planner_with(
    world: &Arc<World>,
    index: usize,
    discovery: u16,
    port: u16,
    (root, run, dir): (&str, &str, &str),
    known: &str,
) -> Planner {
    let config = std::path::Path::new(dir).join(format!("planner-{index}.json"));
    let text = format!(
        "{{\"name\":\"n{index}\",\"listen\":\"{at}:{port}\",\"discovery\":\"{at}:{discovery}\",\
         \"seed\":\"8c1f30d27a5be96{index}\",\"limits\":{{\"cores\":1.0,\"memory_mb\":128,\"sockets\":{sockets}}},\
         \"known\":{},\"settings\":{}}}",
        known,
        world.site.settings(index),
        sockets = world.site.sockets,
        at = host()
    );
    std::fs::write(&config, text).unwrap_or_else(|e| quit(&format!("configuration: {e}")));
    let log = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(std::path::Path::new(dir).join(format!("planner-{index}.log")))
        .ok();
    let log = log.map_or_else(Stdio::null, Stdio::from);
    let child = Command::new("/bin/sh")
        .args(["-c", run])
        .current_dir(root)
        .env("NODE_NAME", format!("n{index}"))
        .env("NODE_LISTEN", format!("{}:{port}", host()))
        .env("NODE_DISCOVERY", format!("{}:{discovery}", host()))
        .env("NODE_CONFIG", &config)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()
        .unwrap_or_else(|e| quit(&format!("planner: {e}")));
    world.note(&format!("planner {index} starts pid={}", child.id()));
    // For the script, which ends what is left should this program be ended itself.
    let _ = std::fs::write(
        std::path::Path::new(dir).join(format!("planner-{index}.pid")),
        child.id().to_string(),
    );
    Planner { index, port, child }
}

/// Waits for the planner's first answer to a sign of life.
pub fn wait_ready(world: &World, planner: &mut Planner) {
    let begun = world.now();
    while world.now() - begun < 30.0 {
        if let Ok(Some(status)) = planner.child.try_wait() {
            quit(&format!("the planner ended at its start: {status}"));
        }
        if let Ok(mut stream) = TcpStream::connect((host(), planner.port)) {
            let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
            let mut buffer = [0u8; 16];
            if stream.write_all(b"*1\r\n$4\r\nPING\r\n").is_ok()
                && stream.read(&mut buffer).is_ok_and(|n| n > 0)
            {
                world.ready_at.lock().unwrap()[planner.index] = Some(world.now());
                world.note(&format!("planner {} is ready", planner.index));
                return;
            }
        }
        world.sleep(0.05);
    }
    quit("the planner is not ready within 30 s")
}
