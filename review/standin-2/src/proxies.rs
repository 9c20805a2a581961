//! Plain proxies and the zones' collectors, and the checks of the rules on what they do.

use crate::world::{host, Rng, State, World, SLACK_S};
use std::collections::{BTreeMap, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{mpsc, Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The channel of a planner: when it is free, and what waits in it.
#[derive(Default)]
pub struct Channel {
    free_at: f64,
    waiting: VecDeque<(f64, f64)>,
}

#[derive(Clone, Default, Debug)]
struct Part {
    classes: Vec<String>,
    whole: bool,
    lines: Vec<(String, f64)>,
    gate: Option<(f64, u8)>,
    out: Vec<String>,
    back: Vec<String>,
    ticket: Option<u64>,
    more: bool,
}

#[derive(Default)]
struct Tables {
    /// By class: lines, level, way of trying again.
    lines: Vec<BTreeMap<String, f64>>,
    /// Smooth weighted rounds, by class.
    credit: Vec<BTreeMap<String, f64>>,
    retry: Vec<Option<u8>>,
    out: Vec<String>,
    bound: bool,
    empty_since: Vec<Option<f64>>,
}

pub struct Proxy {
    pub number: usize,
    pub zone: usize,
    pub rate: f64,
    /// The planner of its own, and the one that it is joined to or dials.
    pub home: usize,
    planner: AtomicUsize,
    /// Takes and sends nothing on its stream while set.
    pub silent: AtomicBool,
    /// Share of its answers to marks that arrive spoilt, in 100.
    pub spoilt: AtomicU64,
    tables: Mutex<Tables>,
    joined_at: Mutex<Option<f64>>,
    /// Since when its planner, which runs, does not accept its stream.
    refused_since: Mutex<Option<f64>>,
    /// When the last applied message came into the channel.
    last_message: Mutex<f64>,
    /// When messages were written on the present stream.
    messages: Mutex<Vec<f64>>,
    stream: Mutex<Option<TcpStream>>,
    /// By server: tries, failed tries, sum of times of the good ones.
    met: Mutex<BTreeMap<String, (u64, u64, f64)>>,
    /// By class: calls, and those not served.
    came: Mutex<Vec<(u64, u64)>>,
    /// While set, the stream is not dialled.
    pub held: AtomicBool,
    /// Own failures in a row, and until when a server is shunned.
    shunned: Mutex<BTreeMap<String, (u32, f64)>>,
}

pub struct Fleet {
    pub world: Arc<World>,
    pub proxies: Vec<Arc<Proxy>>,
    pub channels: Vec<Arc<Mutex<Channel>>>,
    pub ports: Vec<u16>,
    pub calls: AtomicU64,
    pub served: AtomicU64,
    pub unserved: AtomicU64,
}

fn array(items: &[&str]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", items.len()).into_bytes();
    for item in items {
        bytes.extend(format!("${}\r\n{item}\r\n", item.len()).into_bytes());
    }
    bytes
}

fn read_array(reader: &mut impl BufRead) -> Option<Vec<String>> {
    let header = |reader: &mut dyn BufRead, mark: char| -> Option<usize> {
        let mut line = String::new();
        (reader.read_line(&mut line).ok()? > 0).then_some(())?;
        line.trim_end().strip_prefix(mark)?.parse().ok()
    };
    let count = header(reader, '*')?;
    let mut items = Vec::new();
    for _ in 0..count {
        let length = header(reader, '$')?;
        let mut bytes = vec![0; length + 2];
        reader.read_exact(&mut bytes).ok()?;
        bytes.truncate(length);
        items.push(String::from_utf8(bytes).ok()?);
    }
    Some(items)
}

fn part(items: &[String]) -> Option<Part> {
    if items.first()? != "CONFIG" || items.len() % 2 == 0 {
        return None;
    }
    let mut part = Part::default();
    for pair in items[1..].chunks(2) {
        let (name, value) = (pair[0].as_str(), pair[1].as_str());
        let names = || value.split(',').map(str::to_string).collect::<Vec<_>>();
        match name {
            "classes" => part.classes = value.split('+').map(str::to_string).collect(),
            "whole" => part.whole = value == "1",
            "lines" => {
                for line in value.split(',') {
                    let (server, weight) = line.split_once(':')?;
                    let weight: f64 = weight.parse().ok()?;
                    (weight >= 0.0).then_some(())?;
                    part.lines.push((server.to_string(), weight));
                }
            }
            "level" => part.gate = Some((value.parse().ok()?, part.gate.map_or(0, |g| g.1))),
            "retry" => part.gate = Some((part.gate.map_or(1.0, |g| g.0), value.parse().ok()?)),
            "out" => part.out = names(),
            "back" => part.back = names(),
            "ticket" => part.ticket = value.parse().ok(),
            "more" => part.more = value == "1",
            _ => return None,
        }
    }
    Some(part)
}

impl Proxy {
    pub fn planner(&self) -> usize {
        self.planner.load(Ordering::Relaxed)
    }
}

impl Fleet {
    /// Proxies with their standing tables, not joined yet. `place` gives zone, rate and planner of each.
    pub fn new(
        world: &Arc<World>,
        ports: Vec<u16>,
        place: &[(usize, f64, usize)],
        rng: &mut Rng,
    ) -> Arc<Fleet> {
        let classes = world.site.classes.len();
        let proxies = place.iter().enumerate().map(|(number, (zone, rate, planner))| {
            let standing = {
                let list = world.list.lock().unwrap();
                let ready: Vec<_> = list.servers.iter().filter(|s| s.state == State::Ready).collect();
                let own: Vec<_> = ready.iter().copied().filter(|s| s.zone == *zone).collect();
                let mut pool = if own.len() >= 3 { own } else { ready };
                let mut drawn = BTreeMap::new();
                while drawn.len() < world.site.standing && !pool.is_empty() {
                    drawn.insert(pool.swap_remove(rng.below(pool.len())).uid.clone(), 1.0);
                }
                drawn
            };
            Arc::new(Proxy {
                number,
                zone: *zone,
                rate: *rate,
                home: *planner,
                planner: AtomicUsize::new(*planner),
                silent: AtomicBool::new(false),
                spoilt: AtomicU64::new(0),
                tables: Mutex::new(Tables {
                    lines: vec![standing; classes],
                    credit: vec![BTreeMap::new(); classes],
                    retry: vec![None; classes],
                    empty_since: vec![None; classes],
                    ..Tables::default()
                }),
                joined_at: Mutex::default(),
                refused_since: Mutex::default(),
                last_message: Mutex::new(-1.0),
                messages: Mutex::default(),
                stream: Mutex::default(),
                met: Mutex::default(),
                came: Mutex::new(vec![(0, 0); classes]),
                held: AtomicBool::new(false),
                shunned: Mutex::default(),
            })
        });
        Arc::new(Fleet {
            world: world.clone(),
            proxies: proxies.collect(),
            channels: ports.iter().map(|_| Arc::default()).collect(),
            ports,
            calls: AtomicU64::new(0),
            served: AtomicU64::new(0),
            unserved: AtomicU64::new(0),
        })
    }

    pub fn run(self: &Arc<Fleet>, seed: u64) {
        for proxy in &self.proxies {
            let (fleet, own) = (self.clone(), proxy.clone());
            thread::spawn(move || fleet.keep_stream(&own));
            if self.ports.len() > 1 {
                let (fleet, own) = (self.clone(), proxy.clone());
                thread::spawn(move || fleet.go_home(&own));
            }
            let (fleet, own) = (self.clone(), proxy.clone());
            thread::spawn(move || fleet.send_calls(&own, seed));
            let (fleet, own) = (self.clone(), proxy.clone());
            thread::spawn(move || fleet.report_usage(&own));
        }
        for planner in 0..self.ports.len() {
            for zone in 0..self.world.site.zones.len() {
                let fleet = self.clone();
                thread::spawn(move || fleet.collect(planner, zone));
            }
        }
    }

    // ---- streams

    fn keep_stream(self: &Arc<Fleet>, proxy: &Arc<Proxy>) {
        let world = &self.world;
        while !world.over() {
            if proxy.held.load(Ordering::Relaxed) {
                world.sleep(0.02);
                continue;
            }
            // Its own planner first, then the others.
            let count = self.ports.len();
            for planner in (0..count).map(|nth| (proxy.home + nth) % count) {
                proxy.planner.store(planner, Ordering::Relaxed);
                let Ok(stream) = TcpStream::connect((host(), self.ports[planner])) else { continue };
                self.follow(proxy, stream);
                *proxy.joined_at.lock().unwrap() = None;
                *proxy.stream.lock().unwrap() = None;
                world.note(&format!("proxy {} stream ends", proxy.number));
                break;
            }
            let silent_for = world.now();
            while proxy.silent.load(Ordering::Relaxed) && world.now() - silent_for < 30.0 {
                world.sleep(0.02);
            }
            world.sleep(0.3 + 0.15 * (proxy.number % 7) as f64);
        }
    }

    /// Some time after its own planner is back a proxy returns to it.
    fn go_home(self: &Arc<Fleet>, proxy: &Arc<Proxy>) {
        let world = &self.world;
        let mut away_since: Option<f64> = None;
        while !world.over() {
            world.sleep(0.25);
            let away = proxy.planner() != proxy.home && proxy.joined_at.lock().unwrap().is_some();
            let back = away && TcpStream::connect((host(), self.ports[proxy.home])).is_ok();
            if !back {
                away_since = None;
            } else if world.now() - *away_since.get_or_insert(world.now()) > 4.0 + (proxy.number % 5) as f64 {
                self.reset(proxy.number);
                away_since = None;
            }
        }
    }

    /// Seconds since the last message to any proxy.
    pub fn quiet_for(&self) -> f64 {
        let last = self
            .proxies
            .iter()
            .filter_map(|p| p.messages.lock().unwrap().last().copied())
            .fold(0.0, f64::max);
        self.world.now() - last
    }

    /// Breaks a proxy's stream.
    pub fn reset(&self, proxy: usize) {
        if let Some(stream) = self.proxies[proxy].stream.lock().unwrap().as_ref() {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn follow(self: &Arc<Fleet>, proxy: &Arc<Proxy>, mut stream: TcpStream) {
        let (world, site) = (&self.world, &self.world.site);
        let _ = stream.set_nodelay(true);
        let standing = if proxy.tables.lock().unwrap().bound { "0" } else { "1" };
        let (number, rate) = (proxy.number.to_string(), format!("{:.2}", proxy.rate));
        let joining = array(&[
            "SUBSCRIBE",
            "sidecar",
            &number,
            "az",
            site.zones[proxy.zone],
            "share",
            &rate,
            "standing",
            standing,
        ]);
        let Ok(mut writer) = stream.try_clone() else { return };
        let Ok(kept) = stream.try_clone() else { return };
        proxy.messages.lock().unwrap().clear();
        if stream.write_all(&joining).is_err() {
            return;
        }
        *proxy.joined_at.lock().unwrap() = Some(world.now());
        *proxy.stream.lock().unwrap() = Some(kept);
        world.note(&format!("proxy {} joins planner {}", proxy.number, proxy.planner()));
        let (sender, due) = mpsc::channel::<(f64, f64, Vec<Part>)>();
        let (fleet, own) = (self.clone(), proxy.clone());
        let mut spoils = Rng::new(proxy.number as u64 + 77);
        let applier = thread::spawn(move || {
            while let Ok((entered, at, parts)) = due.recv() {
                fleet.world.sleep_until(at);
                let ticket = fleet.apply(&own, entered, parts);
                let Some(ticket) = ticket else { continue };
                if own.silent.load(Ordering::Relaxed) {
                    continue;
                }
                let lag = format!("{:.1}", (fleet.world.now() - entered) * 1e3);
                let number = own.number.to_string();
                let mut answer =
                    array(&["ACK", "sidecar", &number, "version", &ticket.to_string(), "lag_ms", &lag]);
                if spoils.unit() * 100.0 < own.spoilt.load(Ordering::Relaxed) as f64 {
                    // A field is missing.
                    answer = array(&["ACK", "sidecar", &number, "lag_ms", &lag]);
                    fleet.world.note(&format!("proxy {number} answers mark {ticket} spoilt"));
                }
                if writer.write_all(&answer).is_err() {
                    return;
                }
            }
        });
        let mut reader = BufReader::new(stream);
        let mut parts: Vec<Part> = Vec::new();
        let mut accepted = false;
        while let Some(items) = read_array(&mut reader) {
            if proxy.silent.load(Ordering::Relaxed) {
                break;
            }
            if items.first().is_some_and(|kind| kind == "NACK") {
                world.note(&format!(
                    "proxy {} refused by planner {}: {items:?}",
                    proxy.number,
                    proxy.planner()
                ));
                break;
            }
            let Some(part) = part(&items) else {
                world.broke("unusable", &format!("proxy {} can't use {items:?}", proxy.number));
                break;
            };
            accepted = true;
            *proxy.refused_since.lock().unwrap() = None;
            let more = part.more;
            parts.push(part);
            if !more {
                let parts = std::mem::take(&mut parts);
                let (entered, at) = self.enter_channel(proxy, &parts);
                if sender.send((entered, at, parts)).is_err() {
                    break;
                }
            }
        }
        drop(sender);
        if !accepted && TcpStream::connect((host(), self.ports[proxy.planner()])).is_ok() {
            // For this proxy the time limits run until a planner accepts it.
            proxy.refused_since.lock().unwrap().get_or_insert(world.now());
            world.note(&format!("proxy {} not accepted by planner {}", proxy.number, proxy.planner()));
        }
        // A silent stream stays open until the network is back; for the rules the proxy has left.
        *proxy.joined_at.lock().unwrap() = None;
        while proxy.silent.load(Ordering::Relaxed) && !world.over() {
            world.sleep(0.02);
        }
        let _ = reader.into_inner().shutdown(std::net::Shutdown::Both);
        let _ = applier.join();
    }

    /// A message goes into its planner's channel. Returns when it entered and when it takes effect.
    fn enter_channel(&self, proxy: &Proxy, parts: &[Part]) -> (f64, f64) {
        let (world, site) = (&self.world, &self.world.site);
        let now = world.now();
        let count = |p: &Part| {
            p.lines.len()
                + p.out.len()
                + p.back.len()
                + usize::from(p.whole)
                + usize::from(p.gate.is_some())
                + usize::from(p.ticket.is_some())
        };
        let lines = site.head + parts.iter().map(count).sum::<usize>() as f64;
        let mut channel = self.channels[proxy.planner()].lock().unwrap();
        channel.free_at = channel.free_at.max(now) + lines / site.lines_per_s;
        let left = channel.free_at;
        channel.waiting.retain(|message| message.0 > now);
        channel.waiting.push_back((left, lines));
        let waiting: f64 = channel.waiting.iter().map(|message| message.1).sum();
        drop(channel);
        if waiting > site.queue_max {
            world.broke(
                "backlog",
                &format!("{waiting:.0} lines wait in the channel of planner {}", proxy.planner()),
            );
        }
        let text: Vec<String> = parts
            .iter()
            .map(|p| {
                let lines: Vec<String> = p.lines.iter().map(|l| format!("{}:{}", l.0, l.1)).collect();
                format!(
                    "classes={} whole={} lines={} gate={:?}",
                    p.classes.join("+"),
                    p.whole,
                    lines.join(","),
                    p.gate
                )
            })
            .collect();
        world.note(&format!("message proxy={} lines={lines} {}", proxy.number, text.join(" | ")));
        {
            let mut messages = proxy.messages.lock().unwrap();
            messages.push(now);
            messages.retain(|at| now - at <= site.messages_over_s);
            if site.messages_most > 0 && messages.len() > site.messages_most {
                let count = messages.len();
                world.broke(
                    "messages",
                    &format!("{count} messages to proxy {} within the span", proxy.number),
                );
            }
        }
        (now, left + site.late_s)
    }

    fn apply(&self, proxy: &Proxy, entered: f64, parts: Vec<Part>) -> Option<u64> {
        let site = &self.world.site;
        let mut tables = proxy.tables.lock().unwrap();
        let mut ticket = None;
        for part in parts {
            for (at, class) in site.classes.iter().enumerate() {
                if !part.classes.is_empty() && !part.classes.iter().any(|name| name == class.name) {
                    continue;
                }
                if part.whole {
                    tables.lines[at].clear();
                    tables.retry[at] = None;
                }
                for (server, weight) in &part.lines {
                    if *weight > 0.0 {
                        tables.lines[at].insert(server.clone(), *weight);
                    } else {
                        tables.lines[at].remove(server);
                    }
                }
                if let Some((_, retry)) = part.gate {
                    tables.retry[at] = Some(retry);
                }
            }
            tables.out.retain(|server| !part.back.contains(server));
            tables.out.extend(part.out);
            ticket = part.ticket.or(ticket);
        }
        tables.bound = true;
        *proxy.last_message.lock().unwrap() = entered;
        ticket
    }

    // ---- calls

    fn send_calls(self: &Arc<Fleet>, proxy: &Arc<Proxy>, seed: u64) {
        let world = &self.world;
        let mut rng = Rng::new(seed ^ (proxy.number as u64 + 1) << 20);
        let mut next = world.now() + rng.unit() / proxy.rate;
        while !world.over() {
            world.sleep_until(next);
            next += (0.5 + rng.unit()) / proxy.rate;
            let mut draw = rng.unit() * world.site.classes.iter().map(|c| c.share).sum::<f64>();
            let class = world.site.classes.iter().position(|c| {
                draw -= c.share;
                draw < 0.0
            });
            self.call(proxy, class.unwrap_or(0));
        }
    }

    /// Picks a line evenly by weight, among the servers that the class may use.
    fn pick(&self, proxy: &Proxy, class: usize, except: Option<&str>) -> Option<String> {
        let world = &self.world;
        let now = world.now();
        let zones: BTreeMap<String, usize> = {
            let list = world.list.lock().unwrap();
            list.servers.iter().map(|s| (s.uid.clone(), s.zone)).collect()
        };
        let bound = world.site.classes[class].bound;
        let shunned = proxy.shunned.lock().unwrap();
        let mut tables = proxy.tables.lock().unwrap();
        let open: Vec<(String, f64)> = tables.lines[class]
            .iter()
            .filter(|line| !tables.out.contains(line.0))
            .filter(|line| !bound || zones.get(line.0) == Some(&proxy.zone))
            .map(|line| (line.0.clone(), *line.1))
            .collect();
        let left: Vec<(String, f64)> = open
            .iter()
            .filter(|line| Some(line.0.as_str()) != except && shunned.get(&line.0).is_none_or(|s| s.1 < now))
            .cloned()
            .collect();
        let lines = if left.is_empty() && except.is_none() { open } else { left };
        let total: f64 = lines.iter().map(|line| line.1).sum();
        let credit = &mut tables.credit[class];
        credit.retain(|server, _| lines.iter().any(|line| line.0 == *server));
        for (server, weight) in &lines {
            *credit.entry(server.clone()).or_default() += weight / total;
        }
        let chosen = credit.iter().max_by(|a, b| a.1.total_cmp(b.1)).map(|entry| entry.0.clone())?;
        *credit.get_mut(&chosen)? -= 1.0;
        Some(chosen)
    }

    fn call(self: &Arc<Fleet>, proxy: &Arc<Proxy>, class: usize) {
        let (world, site) = (&self.world, &self.world.site);
        let id = self.calls.fetch_add(1, Ordering::Relaxed);
        proxy.came.lock().unwrap()[class].0 += 1;
        let picked = self.pick(proxy, class, None);
        self.check_empty(proxy, class, picked.is_some());
        let Some(server) = picked else {
            world.note(&format!("call {id} proxy={} {} no line", proxy.number, site.classes[class].name));
            proxy.came.lock().unwrap()[class].1 += 1;
            self.unserved.fetch_add(1, Ordering::Relaxed);
            return;
        };
        let (fleet, own) = (self.clone(), proxy.clone());
        thread::spawn(move || {
            let mut result = fleet.try_at(&own, class, id, &server);
            let retry = own.tables.lock().unwrap().retry[class].unwrap_or(fleet.world.site.base_mode);
            if result == "not run" && retry == 1 {
                if let Some(other) = fleet.pick(&own, class, Some(&server)) {
                    result = fleet.try_at(&own, class, id, &other);
                }
            }
            if result == "served" {
                fleet.served.fetch_add(1, Ordering::Relaxed);
            } else {
                own.came.lock().unwrap()[class].1 += 1;
                fleet.unserved.fetch_add(1, Ordering::Relaxed);
            }
        });
    }

    fn try_at(&self, proxy: &Proxy, class: usize, id: u64, server: &str) -> &'static str {
        let (world, site) = (&self.world, &self.world.site);
        let sent = world.now();
        let port = self.check_send(proxy, id, class, server, sent);
        let Some((port, knows)) = port else { return "failed" };
        let work = site.classes[class].work;
        let result =
            call_server(port, id, site.classes[class].name, work, knows, site.classes[class].deadline_s);
        let good = result == "served";
        let taken = world.now() - sent;
        let mut met = proxy.met.lock().unwrap();
        let entry = met.entry(server.to_string()).or_default();
        *entry = (entry.0 + 1, entry.1 + u64::from(!good), entry.2 + if good { taken } else { 0.0 });
        drop(met);
        let mut shunned = proxy.shunned.lock().unwrap();
        let own = shunned.entry(server.to_string()).or_insert((0, 0.0));
        own.0 = if good { 0 } else { own.0 + 1 };
        if site.ejects > 0 && own.0 >= site.ejects {
            *own = (0, world.now() + 5.0);
        }
        drop(shunned);
        world.note(&format!("end {id} {result} {:.0}ms", taken * 1e3));
        result
    }

    // ---- rules

    /// Nobody left without a server.
    fn check_empty(&self, proxy: &Proxy, class: usize, has_line: bool) {
        let (world, site) = (&self.world, &self.world.site);
        let now = world.now();
        let joined = proxy.joined_at.lock().unwrap().filter(|_| !proxy.silent.load(Ordering::Relaxed));
        let open = {
            let list = world.list.lock().unwrap();
            list.servers.iter().enumerate().any(|(at, server)| {
                let told = list.told.get(&(proxy.planner(), at));
                told.is_some_and(|t| t.state == State::Ready)
                    && (!site.classes[class].bound || server.zone == proxy.zone)
                    && server.started.is_none_or(|started| now - started >= site.cold_s)
            })
        };
        let ready = world.ready_at.lock().unwrap()[proxy.planner()];
        let counts = joined.is_some() && open && !has_line && ready.is_some_and(|at| now > at + 1.0);
        let mut tables = proxy.tables.lock().unwrap();
        if !counts {
            tables.empty_since[class] = None;
            return;
        }
        let since = *tables.empty_since[class].get_or_insert(now);
        drop(tables);
        if now - since > site.empty_s + SLACK_S {
            let text = format!(
                "proxy {} has no line for {} since {since:.3}",
                proxy.number, site.classes[class].name
            );
            world.broke("lost", &text);
        }
    }

    /// Drains kept. Returns where to send, and whether the call counts as sent with knowledge of the server's start.
    fn check_send(
        &self,
        proxy: &Proxy,
        id: u64,
        class: usize,
        server: &str,
        now: f64,
    ) -> Option<(u16, bool)> {
        let (world, site) = (&self.world, &self.world.site);
        let joined = proxy.joined_at.lock().unwrap().filter(|_| !proxy.silent.load(Ordering::Relaxed));
        let joined = proxy.refused_since.lock().unwrap().or(joined);
        let last_message = *proxy.last_message.lock().unwrap();
        let ready = world.ready_at.lock().unwrap()[proxy.planner()];
        let (port, knows, late) = {
            let list = world.list.lock().unwrap();
            let Some(at) = list.servers.iter().position(|s| s.uid == server) else {
                drop(list);
                world.broke("unusable", &format!("server {server} was never listed"));
                return None;
            };
            let told = list.told.get(&(proxy.planner(), at)).copied();
            let draining = told.filter(|t| t.state != State::Ready);
            let late = draining.zip(joined).zip(ready).and_then(|((told, joined), ready)| {
                let from = told.since.max(joined).max(ready + 1.0);
                (now > from + site.grace_s + SLACK_S).then_some((told.since, joined, now - from))
            });
            let known = told.filter(|t| t.state == State::Ready && t.boot_ms == list.servers[at].boot_ms);
            let knows =
                known.is_some_and(|t| last_message >= t.since || now >= t.since + site.grace_s + SLACK_S);
            (list.servers[at].port, knows, late)
        };
        world.note(&format!("send {id} proxy={} {} to {server}", proxy.number, site.classes[class].name));
        if let Some((told, joined, after)) = late {
            world.broke(
                "drain",
                &format!(
                    "call {id} of proxy {} goes to {server}, {after:.2} s after the later of telling ({told:.2}) and \
                     joining ({joined:.2}); the grace is {} s and {SLACK_S} s",
                    proxy.number, site.grace_s
                ),
            );
        }
        Some((port, knows))
    }

    // ---- reports

    fn report_usage(&self, proxy: &Proxy) {
        let (world, site) = (&self.world, &self.world.site);
        while !world.over() {
            world.sleep(site.report_s);
            let came = std::mem::replace(&mut *proxy.came.lock().unwrap(), vec![(0, 0); site.classes.len()]);
            if proxy.silent.load(Ordering::Relaxed) {
                continue;
            }
            let Some(mut stream) = proxy.stream.lock().unwrap().as_ref().and_then(|s| s.try_clone().ok())
            else {
                continue;
            };
            let window = format!("{:.1}", site.report_s * 1e3);
            let number = proxy.number.to_string();
            let mut bytes = Vec::new();
            for (class, (calls, bad)) in site.classes.iter().zip(came).filter(|c| c.1 .0 > 0) {
                let (calls, bad) = (calls.to_string(), bad.to_string());
                bytes.extend(array(&[
                    "RATE", "sidecar", &number, "kind", class.name, "n", &calls, "bad", &bad, "window",
                    &window,
                ]));
            }
            let _ = stream.write_all(&bytes);
        }
    }

    /// The collector of a zone: sums of what the joined proxies met, half a second late.
    fn collect(&self, planner: usize, zone: usize) {
        let (world, site) = (&self.world, &self.world.site);
        let mut connection: Option<TcpStream> = None;
        while !world.over() {
            world.sleep(site.report_s);
            let mut sums: BTreeMap<String, (u64, u64, f64)> = BTreeMap::new();
            let own = self.proxies.iter().filter(|p| p.zone == zone && p.planner() == planner);
            for proxy in own {
                let met = std::mem::take(&mut *proxy.met.lock().unwrap());
                if proxy.joined_at.lock().unwrap().is_none() {
                    continue;
                }
                for (server, (n, bad, time)) in met {
                    let sum = sums.entry(server).or_default();
                    *sum = (sum.0 + n, sum.1 + bad, sum.2 + time);
                }
            }
            world.sleep(0.5);
            if connection.is_none() {
                connection = TcpStream::connect((host(), self.ports[planner])).ok();
                if let Some(stream) = &mut connection {
                    let _ = stream.write_all(&array(&["SOURCE", "az", site.zones[zone]]));
                }
            }
            let Some(stream) = &mut connection else { continue };
            let mut bytes = Vec::new();
            for (server, (n, bad, time)) in sums {
                let report = {
                    let list = world.list.lock().unwrap();
                    let found = list.servers.iter().find(|s| s.uid == server).cloned();
                    drop(list);
                    found.filter(|s| s.up && site.reports == "inline").map(|s| {
                        let now = world.now();
                        let work: f64 =
                            s.arrivals.iter().filter(|a| a.0 > now - 2.0).map(|a| a.1 / 2.0).sum();
                        let warm = crate::platform::warmth(world, &s, now);
                        format!(
                            "inflight:{},util:{:.3}",
                            s.in_hand,
                            (work / crate::platform::capacity(&s) / warm).min(1.0)
                        )
                    })
                };
                let (count, failed) = (n.to_string(), bad.to_string());
                let avg = format!("{:.1}", if n > bad { time / (n - bad) as f64 * 1e3 } else { 0.0 });
                let window = format!("{:.1}", site.report_s * 1e3);
                let mut items =
                    vec!["LOAD", "az", site.zones[zone], "host", &server, "n", &count, "bad", &failed];
                items.extend(["avg", &avg, "window", &window]);
                if let Some(report) = &report {
                    items.extend(["report", report]);
                }
                bytes.extend(array(&items));
            }
            if stream.write_all(&bytes).is_err() {
                connection = None;
            }
        }
    }
}

fn call_server(port: u16, id: u64, class: &str, work: f64, knows: bool, deadline_s: f64) -> &'static str {
    let to = SocketAddr::from((host(), port));
    let Ok(mut stream) = TcpStream::connect_timeout(&to, Duration::from_millis(250)) else {
        return "not run";
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs_f64(deadline_s)));
    let target = format!("/call/{id}/{class}/{:.0}/{}", work * 1e6, u8::from(knows));
    if stream.write_all(format!("GET {target} HTTP/1.1\r\nhost: s\r\n\r\n").as_bytes()).is_err() {
        return "failed";
    }
    let mut buffer = [0u8; 512];
    match stream.read(&mut buffer) {
        Ok(n) if buffer[..n].starts_with(b"HTTP/1.1 200") => "served",
        Ok(n) if buffer[..n].starts_with(b"HTTP/1.1 503") => "not run",
        _ => "failed",
    }
}
