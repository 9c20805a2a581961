//! The proxies, the collectors and the channels of the platform, and the rules as they see them.

use crate::resp;
use crate::world::{Told, World};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Slack of the rules on sockets, and the time from a planner's first answer for which limits do not run.
pub const SLACK: f64 = 0.3;
pub const AFTER_FIRST_ANSWER: f64 = 1.0;

#[derive(Clone)]
pub struct Class {
    pub name: &'static str,
    pub share: f64,
    pub own_zone: bool,
}

/// The figures of a day that the stand-ins follow. `settings` tells the planner the same.
#[derive(Clone)]
pub struct Day {
    pub settings: String,
    pub zones: Vec<&'static str>,
    pub classes: Vec<Class>,
    pub drain_grace: f64,
    pub empty_for: f64,
    pub cold: f64,
    pub pending_most: f64,
    pub lines_per_s: f64,
    pub head: f64,
    /// Mean and longest time of a message from the channel to its proxy.
    pub late: (f64, f64),
    /// Messages to one proxy within a span; 0: no limit.
    pub messages: (usize, f64),
    pub report_every: f64,
    pub report_late: f64,
    /// A proxy avoids a server after so many failures in a row, for so long.
    pub shun: (u32, f64),
    pub memory_mb: u32,
    pub sockets: u32,
}

pub struct Planner {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub child: Option<Child>,
    pub first_answer: Option<f64>,
    pub collectors: BTreeMap<usize, TcpStream>,
    queue: VecDeque<Waiting>,
    front_done: f64,
    pub slow: f64,
    /// The factor by which limits are lengthened, which outlasts a slow channel.
    pub lenient: f64,
    pub peak: f64,
}

struct Waiting {
    proxy: usize,
    stream: u32,
    cost: f64,
    entered: f64,
    parts: Vec<BTreeMap<String, String>>,
}

/// How an acknowledgement is spoilt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Spoilt {
    MissingField,
    UnknownMark,
}

pub struct Proxy {
    pub number: usize,
    pub zone: usize,
    pub rate: f64,
    pub planner: usize,
    pub stream: Option<TcpStream>,
    pub streams: u32,
    pub joined: f64,
    pub dial_at: Option<f64>,
    buffer: Vec<u8>,
    more: Vec<BTreeMap<String, String>>,
    pub lines: BTreeMap<usize, f64>,
    pub bound: bool,
    turns: BTreeMap<usize, f64>,
    out: BTreeSet<usize>,
    shunned: BTreeMap<usize, f64>,
    failures: BTreeMap<usize, u32>,
    next_call: f64,
    pub messages: Vec<f64>,
    last_apply: f64,
    pub spoil: VecDeque<Spoilt>,
    /// The answer of this number on the present stream is spoilt.
    pub spoil_number: Option<(u32, Spoilt)>,
    pub mute_until: f64,
    pub dial_after: f64,
    pub acknowledged: u32,
    counts: BTreeMap<usize, (u32, u32)>,
    lacking: Option<f64>,
}

pub struct Call {
    pub at: f64,
    pub proxy: usize,
    pub class: usize,
    pub server: usize,
}

enum Due {
    Apply { proxy: usize, stream: u32, entered: f64, parts: Vec<BTreeMap<String, String>> },
    Report { planner: usize, zone: usize, words: Vec<String> },
}

struct Ended {
    proxy: usize,
    class: usize,
    server: usize,
    good: bool,
    ms: f64,
}

pub struct Engine {
    pub world: Arc<World>,
    pub day: Day,
    pub planners: Vec<Planner>,
    pub proxies: Vec<Proxy>,
    pub calls: Vec<Call>,
    pub refused: u32,
    pub failed: u32,
    pub broken: Vec<String>,
    due: BinaryHeap<Reverse<(u64, u64)>>,
    dues: BTreeMap<u64, Due>,
    due_count: u64,
    sums: BTreeMap<(usize, usize, usize), (u32, u32, f64)>,
    next_report: f64,
    ended: (Sender<Ended>, Receiver<Ended>),
    random: u64,
    pub folder: String,
    pub root: String,
    pub run: String,
    drained: BTreeSet<(usize, usize)>,
    pub spoil_share: f64,
    /// The zone that is cut off from the others.
    pub cut: Option<usize>,
    /// Reports on usage arrive through the collectors and not on the streams.
    pub rates_by_collector: bool,
    pub resets: u32,
}

impl Engine {
    pub fn new(world: Arc<World>, day: Day, planners: usize, folder: &str, root: &str, run: &str) -> Engine {
        let mut engine = Engine {
            world,
            day,
            planners: Vec::new(),
            proxies: Vec::new(),
            calls: Vec::new(),
            refused: 0,
            failed: 0,
            broken: Vec::new(),
            due: BinaryHeap::new(),
            dues: BTreeMap::new(),
            due_count: 0,
            sums: BTreeMap::new(),
            next_report: 0.0,
            ended: channel(),
            random: 0x9e37_79b9_7f4a_7c15,
            folder: folder.into(),
            root: root.into(),
            run: run.into(),
            drained: BTreeSet::new(),
            spoil_share: 0.0,
            cut: None,
            rates_by_collector: false,
            resets: 0,
        };
        engine.world.list.lock().unwrap().told = vec![Told::new(); planners];
        for number in 0..planners {
            // An address of this run's own, so that no other program takes the port meanwhile.
            let id = std::process::id();
            let address = format!("127.{}.{}.{}:0", 100 + number, id >> 8 & 255, (id & 255).clamp(1, 254));
            let free = std::net::TcpListener::bind(address).unwrap();
            let listen = free.local_addr().unwrap();
            drop(free);
            let discovery = engine.world.discovery(number);
            engine.planners.push(Planner {
                name: format!("n{number}"),
                listen,
                discovery,
                child: None,
                first_answer: None,
                collectors: BTreeMap::new(),
                queue: VecDeque::new(),
                front_done: 0.0,
                slow: 1.0,
                lenient: 1.0,
                peak: 0.0,
            });
        }
        engine
    }

    pub fn now(&self) -> f64 {
        self.world.now()
    }

    pub fn chance(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Starts a planner by the deploy file's command and waits for its answer to PING.
    pub fn start_planner(&mut self, at: usize, zone: usize) -> Result<(), String> {
        let known = self.world.whole();
        let planner = &mut self.planners[at];
        // The settings tell each planner its own number and zone.
        let settings =
            self.day.settings.replace("\"@ME@\"", &at.to_string()).replace("@AZ@", self.day.zones[zone]);
        let config = format!(
            "{{\"name\":\"{}\",\"listen\":\"{}\",\"discovery\":\"{}\",\"seed\":\"8c1f30d27a5be96{}\",\"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"known\":{known},\"settings\":{settings}}}",
            planner.name, planner.listen, planner.discovery, at, self.day.memory_mb, self.day.sockets
        );
        let file = format!("{}/{}.json", self.folder, planner.name);
        std::fs::write(&file, config).map_err(|e| e.to_string())?;
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(format!("{}/{}.log", self.folder, planner.name))
            .map_err(|e| e.to_string())?;
        let tmp = format!("{}/{}.tmp", self.folder, planner.name);
        std::fs::create_dir_all(&tmp).map_err(|e| e.to_string())?;
        let child = Command::new("/bin/sh")
            .args(["-c", &self.run])
            .current_dir(&self.root)
            .env("NODE_NAME", &planner.name)
            .env("NODE_LISTEN", planner.listen.to_string())
            .env("NODE_DISCOVERY", planner.discovery.to_string())
            .env("NODE_CONFIG", &file)
            .env("TMPDIR", &tmp)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|e| e.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|e| e.to_string())?;
        self.world.note(format!("run: {} as {}, process {}", self.run, planner.name, child.id()));
        planner.child = Some(child);
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if let Ok(mut peer) = TcpStream::connect(planner.listen) {
                let _ = peer.set_read_timeout(Some(Duration::from_secs(3)));
                let mut answer = [0; 14];
                if peer.write_all(&resp::array(&["PING"])).is_ok() && peer.read_exact(&mut answer).is_ok() {
                    planner.first_answer = Some(self.world.now());
                    return Ok(());
                }
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Err("the planner does not answer".into())
    }

    pub fn add_proxy(&mut self, zone: usize, rate: f64, planner: usize, standing: &[usize]) {
        let number = self.proxies.len();
        let next_call = self.now() + 0.5 + self.chance();
        self.proxies.push(Proxy {
            number,
            zone,
            rate,
            planner,
            stream: None,
            streams: 0,
            joined: 0.0,
            dial_at: Some(0.0),
            buffer: Vec::new(),
            more: Vec::new(),
            lines: standing.iter().map(|at| (*at, 1.0)).collect(),
            bound: false,
            turns: BTreeMap::new(),
            out: BTreeSet::new(),
            shunned: BTreeMap::new(),
            failures: BTreeMap::new(),
            next_call,
            messages: Vec::new(),
            last_apply: 0.0,
            spoil: VecDeque::new(),
            spoil_number: None,
            mute_until: 0.0,
            dial_after: 0.3,
            acknowledged: 0,
            counts: BTreeMap::new(),
            lacking: None,
        });
    }

    fn dial(&mut self, at: usize) {
        let now = self.now();
        let proxy = &mut self.proxies[at];
        let Ok(mut stream) = TcpStream::connect(self.planners[proxy.planner].listen) else {
            proxy.dial_at = Some(now + 0.3);
            return;
        };
        let _ = stream.set_nodelay(true);
        let (number, share, standing) =
            (proxy.number.to_string(), format!("{:.2}", proxy.rate), if proxy.bound { "0" } else { "1" });
        let zone = self.day.zones[proxy.zone];
        let hello = ["SUBSCRIBE", "sidecar", &number, "az", zone, "share", &share, "standing", standing];
        if stream.write_all(&resp::array(&hello)).is_err() {
            proxy.dial_at = Some(now + 0.3);
            return;
        }
        let _ = stream.set_nonblocking(true);
        proxy.stream = Some(stream);
        proxy.streams += 1;
        (proxy.joined, proxy.dial_at) = (now, None);
        proxy.buffer.clear();
        proxy.more.clear();
        proxy.messages.clear();
        proxy.acknowledged = 0;
        proxy.last_apply = now;
        self.world.note(format!("proxy {at} joins planner {}", self.proxies[at].planner));
    }

    /// The proxy's stream breaks, and it dials again after a while.
    pub fn break_stream(&mut self, at: usize, dial_after: f64, why: &str) {
        let now = self.now();
        let proxy = &mut self.proxies[at];
        if proxy.stream.take().is_none() {
            return;
        }
        proxy.dial_at = Some(now + dial_after);
        let stream = proxy.streams;
        let queue = &mut self.planners[proxy.planner].queue;
        let front = queue.pop_front();
        queue.retain(|waiting| (waiting.proxy, waiting.stream) != (at, stream));
        if let Some(front) = front {
            queue.push_front(front);
        }
        self.world.note(format!("proxy {at}: its stream ends: {why}"));
    }

    fn later(&mut self, at: f64, what: Due) {
        self.due_count += 1;
        self.due.push(Reverse(((at * 1e6) as u64, self.due_count)));
        self.dues.insert(self.due_count, what);
    }

    fn read(&mut self, at: usize) {
        let mut bytes = [0; 16 * 1024];
        loop {
            let Some(stream) = self.proxies[at].stream.as_mut() else { return };
            match stream.read(&mut bytes) {
                Ok(0) => {
                    self.resets += 1;
                    return self.break_stream(at, 0.5, "the planner closed it");
                }
                Ok(count) => self.proxies[at].buffer.extend_from_slice(&bytes[..count]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) => {
                    self.resets += 1;
                    return self.break_stream(at, 0.5, &e.to_string());
                }
            }
        }
        loop {
            let taken = resp::take(&mut self.proxies[at].buffer);
            let words = match taken {
                Ok(None) => return,
                Ok(Some(words)) => words,
                Err(why) => return self.break_stream(at, 0.5, &why),
            };
            let fields: BTreeMap<String, String> = words[1..]
                .chunks(2)
                .map(|pair| (pair[0].clone(), pair.get(1).cloned().unwrap_or_default()))
                .collect();
            if words[0] != "CONFIG" {
                self.world.note(format!("proxy {at} received {words:?}"));
                continue;
            }
            let more = fields.get("more").is_some_and(|more| more == "1");
            self.proxies[at].more.push(fields);
            if !more {
                let parts = std::mem::take(&mut self.proxies[at].more);
                self.enter(at, parts);
            }
        }
    }

    /// A message's last byte has arrived: it enters the channel.
    fn enter(&mut self, at: usize, parts: Vec<BTreeMap<String, String>>) {
        let now = self.now();
        let mut cost = self.day.head;
        for part in &parts {
            let listed = |name: &str| part.get(name).map_or(0, |text| text.split(',').count());
            let flags = ["whole", "level", "ticket"].iter().filter(|name| part.contains_key(**name)).count();
            cost += (listed("lines") + listed("out") + listed("back") + flags) as f64;
        }
        let text: Vec<String> = parts
            .iter()
            .map(|part| {
                part.iter().map(|(name, value)| format!("{name} {value}")).collect::<Vec<_>>().join(" ")
            })
            .collect();
        self.world.note(format!("proxy {at} is sent CONFIG {}", text.join(" / ")));
        let proxy = &mut self.proxies[at];
        proxy.messages.push(now);
        let (most, span) = self.day.messages;
        let recent = proxy.messages.iter().filter(|sent| now - **sent <= span - 0.05).count();
        if most > 0 && recent > most {
            let first = now - proxy.messages[proxy.messages.len() - recent];
            self.broken.push(format!(
                "{now:.3} rule 5: message {recent} to proxy {at} within {first:.3} s, and {most} are allowed within {span} s; its stream has stood for {:.1} s",
                now - proxy.joined
            ));
        }
        let (stream, number) = (proxy.streams, proxy.planner);
        let pace = self.day.lines_per_s / self.planners[number].slow;
        let planner = &mut self.planners[number];
        if planner.queue.is_empty() {
            planner.front_done = now + cost / pace;
        }
        planner.queue.push_back(Waiting { proxy: at, stream, cost, entered: now, parts });
        let waiting: f64 = planner.queue.iter().map(|waiting| waiting.cost).sum();
        planner.peak = planner.peak.max(waiting);
        if waiting > self.day.pending_most {
            self.broken.push(format!(
                "{now:.3} rule 5: {waiting} lines wait in the channel of planner {number}, and {} are allowed",
                self.day.pending_most
            ));
        }
    }

    fn run_channels(&mut self) {
        for number in 0..self.planners.len() {
            loop {
                let now = self.now();
                let pace = self.day.lines_per_s / self.planners[number].slow;
                let planner = &mut self.planners[number];
                if planner.queue.is_empty() || planner.front_done > now {
                    break;
                }
                let Some(left) = planner.queue.pop_front() else { break };
                let left_at = planner.front_done;
                if let Some(next) = planner.queue.front() {
                    planner.front_done += next.cost / pace;
                }
                // Between half the mean and its longest, near the mean mostly.
                let (mean, longest) = self.day.late;
                let way = (mean * (0.5 + self.chance())).min(longest);
                let proxy = &mut self.proxies[left.proxy];
                proxy.last_apply = proxy.last_apply.max(left_at + way);
                let (at, proxy) = (proxy.last_apply, left.proxy);
                let (stream, entered, parts) = (left.stream, left.entered, left.parts);
                self.later(at, Due::Apply { proxy, stream, entered, parts });
            }
        }
    }

    fn apply(&mut self, at: usize, stream: u32, entered: f64, parts: Vec<BTreeMap<String, String>>) {
        let now = self.now();
        if self.proxies[at].streams != stream
            || self.proxies[at].stream.is_none()
            || self.proxies[at].mute_until > now
        {
            return;
        }
        let uids: BTreeMap<String, usize> = {
            let list = self.world.list.lock().unwrap();
            let listed = list.servers.iter().enumerate().filter(|(_, server)| !server.state.is_empty());
            listed.map(|(at, server)| (server.uid.clone(), at)).collect()
        };
        let mut ticket = None;
        for part in &parts {
            let proxy = &mut self.proxies[at];
            if part.contains_key("whole") {
                proxy.lines.clear();
                proxy.bound = true;
            }
            for line in part.get("lines").into_iter().flat_map(|lines| lines.split(',')) {
                let (uid, weight) = line.split_once(':').unwrap_or((line, ""));
                let known =
                    uids.get(uid).copied().zip(weight.parse::<f64>().ok().filter(|weight| *weight >= 0.0));
                let Some((server, weight)) = known else {
                    self.broken.push(format!("{now:.3} proxy {at} cannot use the line {line}"));
                    return self.break_stream(at, 0.5, "a line that cannot be used");
                };
                proxy.lines.retain(|known, _| *known != server);
                if weight > 0.0 {
                    proxy.lines.insert(server, weight);
                }
            }
            for (name, out) in [("out", true), ("back", false)] {
                for uid in part.get(name).into_iter().flat_map(|uids| uids.split(',')) {
                    if let Some(server) = uids.get(uid) {
                        let _ = if out { proxy.out.insert(*server) } else { proxy.out.remove(server) };
                    }
                }
            }
            ticket = part.get("ticket").cloned().or(ticket);
        }
        let Some(ticket) = ticket else { return };
        let lag = format!("{:.1}", (now - entered) * 1e3);
        let number = at.to_string();
        let draw = self.chance();
        let proxy = &mut self.proxies[at];
        proxy.acknowledged += 1;
        if draw < self.spoil_share && now > proxy.mute_until {
            proxy.spoil.push_back(if draw < self.spoil_share / 2.0 {
                Spoilt::MissingField
            } else {
                Spoilt::UnknownMark
            });
        }
        let numbered = proxy.spoil_number.filter(|spoil| spoil.0 == proxy.acknowledged).map(|spoil| spoil.1);
        let spoilt = numbered.or_else(|| proxy.spoil.pop_front());
        let unknown = "60001".to_string();
        let words: Vec<&str> = match spoilt {
            Some(Spoilt::MissingField) => vec!["ACK", "sidecar", &number, "lag_ms", &lag],
            Some(Spoilt::UnknownMark) => vec!["ACK", "sidecar", &number, "version", &unknown, "lag_ms", &lag],
            None => vec!["ACK", "sidecar", &number, "version", &ticket, "lag_ms", &lag],
        };
        let written = proxy.stream.as_mut().map(|stream| stream.write_all(&resp::array(&words)));
        let note = spoilt.map_or(String::new(), |how| format!(", spoilt ({how:?}); it should say {ticket}"));
        self.world.note(format!("proxy {at} answers {}{note}", words.join(" ")));
        if !matches!(written, Some(Ok(()))) {
            self.break_stream(at, 0.5, "a write failed");
        }
    }

    /// Breaks what is left of the rules: called once in a while.
    fn check_lines(&mut self) {
        let now = self.now();
        let list = self.world.list.lock().unwrap();
        for at in 0..self.proxies.len() {
            let proxy = &self.proxies[at];
            if proxy.stream.is_none() || proxy.mute_until > 0.0 {
                self.proxies[at].lacking = None;
                continue;
            }
            let lacks = self.day.classes.iter().any(|class| {
                let open = |server: &usize| {
                    !class.own_zone || list.servers[*server].zone == self.day.zones[proxy.zone]
                };
                let line = proxy.lines.keys().any(|server| open(server) && !proxy.out.contains(server));
                let told = &list.told[proxy.planner];
                let warm = told.iter().any(|(server, (state, since))| {
                    *state == "Ready"
                        && open(server)
                        && list.servers[*server].booted.is_none_or(|booted| now - booted >= self.day.cold)
                        && now > *since
                });
                !line && warm
            });
            let since = proxy.lacking.filter(|_| lacks).unwrap_or(now);
            self.proxies[at].lacking = lacks.then_some(since);
            if now - since > self.day.empty_for + SLACK {
                self.broken
                    .push(format!("{now:.3} rule 1: proxy {at} has had no line for {:.2} s", now - since));
                self.proxies[at].lacking = None;
            }
        }
    }

    fn call(&mut self, at: usize) {
        let now = self.now();
        let draw = self.chance();
        let mut sum = 0.0;
        let class = self.day.classes.iter().position(|class| {
            sum += class.share;
            draw < sum
        });
        let class = class.unwrap_or(self.day.classes.len() - 1);
        let own_zone = self.day.classes[class].own_zone;
        let servers = self.world.list.lock().unwrap().servers.clone();
        let zone = self.day.zones[self.proxies[at].zone];
        let proxy = &mut self.proxies[at];
        proxy.shunned.retain(|_, until| *until > now);
        let open = |server: usize| {
            !proxy.out.contains(&server)
                && !proxy.shunned.contains_key(&server)
                && (!own_zone || servers[server].zone == zone)
        };
        let lines: Vec<(usize, f64)> =
            proxy.lines.iter().map(|line| (*line.0, *line.1)).filter(|line| open(line.0)).collect();
        let total: f64 = lines.iter().map(|line| line.1).sum();
        proxy.turns.retain(|server, _| lines.iter().any(|line| line.0 == *server));
        for (server, weight) in &lines {
            *proxy.turns.entry(*server).or_default() += weight / total;
        }
        let picked = proxy.turns.iter().max_by(|a, b| a.1.total_cmp(b.1)).map(|turn| *turn.0);
        proxy.counts.entry(class).or_default().0 += 1;
        let Some(server) = picked else {
            proxy.counts.entry(class).or_default().1 += 1;
            self.refused += 1;
            return;
        };
        *proxy.turns.get_mut(&server).unwrap() -= 1.0;
        let joined = proxy.joined;
        if proxy.stream.is_some() && proxy.mute_until <= 0.0 {
            self.calls.push(Call { at: now, proxy: at, class, server });
            self.judge_call(at, server, now, joined);
        }
        let server_zone = self.day.zones.iter().position(|zone| *zone == servers[server].zone);
        let caller_zone = Some(self.proxies[at].zone);
        let across = self.cut.is_some() && (server_zone == self.cut) != (caller_zone == self.cut);
        let (address, ended, number) = (servers[server].address, self.ended.0.clone(), self.calls.len());
        std::thread::spawn(move || {
            let start = Instant::now();
            let good = (|| {
                if across {
                    std::thread::sleep(Duration::from_millis(250));
                    return None;
                }
                let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(250)).ok()?;
                stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
                let head = format!("GET /call HTTP/1.1\r\nHost: server\r\nX-Trace-Id: {number}\r\n\r\n");
                stream.write_all(head.as_bytes()).ok()?;
                let mut answer = [0; 12];
                stream.read_exact(&mut answer).ok()?;
                (&answer == b"HTTP/1.1 200").then_some(())
            })();
            let ms = start.elapsed().as_secs_f64() * 1e3;
            let _ = ended.send(Ended { proxy: at, class, server, good: good.is_some(), ms });
        });
    }

    fn judge_call(&mut self, proxy: usize, server: usize, now: f64, joined: f64) {
        let number = self.proxies[proxy].planner;
        let list = self.world.list.lock().unwrap();
        let Some((state, told)) = list.told[number].get(&server).copied() else { return };
        if state == "Ready" {
            return;
        }
        let uid = list.servers[server].uid.clone();
        drop(list);
        let first = self.planners[number].first_answer.unwrap_or(f64::INFINITY) + AFTER_FIRST_ANSWER;
        let from = told.max(joined).max(first);
        let limit = self.day.drain_grace * self.planners[number].lenient + SLACK;
        if now > from + limit {
            // One line for each proxy and server says the first such call.
            if self.drained.insert((proxy, server)) {
                self.broken.push(format!(
                    "{now:.3} rule 3: proxy {proxy} sends to {uid}, {state} as planner {number} was told {:.3} s ago; the grace is {} s and {SLACK} s",
                    now - from, self.day.drain_grace
                ));
            }
        }
    }

    fn report(&mut self) {
        let now = self.now();
        let window = format!("{:.1}", self.day.report_every * 1e3);
        for at in 0..self.proxies.len() {
            let counts = std::mem::take(&mut self.proxies[at].counts);
            let number = at.to_string();
            for (class, (calls, bad)) in counts {
                let (n, bad) = (calls.to_string(), bad.to_string());
                let kind = self.day.classes[class].name;
                let words =
                    ["RATE", "sidecar", &number, "kind", kind, "n", &n, "bad", &bad, "window", &window];
                if self.rates_by_collector {
                    let (planner, zone) = (self.proxies[at].planner, self.proxies[at].zone);
                    let words = words.iter().map(|word| word.to_string()).collect();
                    self.later(now + self.day.report_late, Due::Report { planner, zone, words });
                    continue;
                }
                let mute = self.proxies[at].mute_until > 0.0;
                if let Some(stream) = self.proxies[at].stream.as_mut().filter(|_| !mute) {
                    let _ = stream.write_all(&resp::array(&words));
                }
            }
        }
        for ((planner, zone, server), (n, bad, ms)) in std::mem::take(&mut self.sums) {
            let uid = self.world.list.lock().unwrap().servers[server].uid.clone();
            let good = f64::from(n - bad);
            let mut words: Vec<String> = ["LOAD", "az", self.day.zones[zone], "host", &uid, "n"]
                .iter()
                .map(|word| word.to_string())
                .collect();
            words.extend([n.to_string(), "bad".into(), bad.to_string()]);
            if good > 0.0 {
                words.extend(["avg".into(), format!("{:.1}", ms / good)]);
            }
            words.extend(["window".into(), window.clone()]);
            if good > 0.0 {
                words.extend(["report".into(), "inflight:2,util:0.45".into()]);
            }
            self.later(now + self.day.report_late, Due::Report { planner, zone, words });
        }
    }

    fn collector(&mut self, number: usize, zone: usize, words: &[String]) {
        let name = self.day.zones[zone];
        let planner = &mut self.planners[number];
        if planner.child.is_none() || self.cut.is_some_and(|cut| cut == zone || cut == number) {
            return;
        }
        if let std::collections::btree_map::Entry::Vacant(place) = planner.collectors.entry(zone) {
            let Ok(mut stream) = TcpStream::connect(planner.listen) else { return };
            let _ = stream.write_all(&resp::array(&["SOURCE", "az", name]));
            place.insert(stream);
        }
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        let written = planner.collectors.get_mut(&zone).map(|stream| stream.write_all(&resp::array(&words)));
        if !matches!(written, Some(Ok(()))) {
            planner.collectors.remove(&zone);
        }
    }

    /// Cuts a zone off from the others for so long; streams across the cut are silent, and their proxies dial again
    /// after it. `seen_by` is the planner whose probes do not get across.
    pub fn cut_zone(&mut self, zone: usize, length: f64, seen_by: usize) {
        let now = self.now();
        self.world.note(format!("{} is cut off for {length} s", self.day.zones[zone]));
        self.cut = Some(zone);
        for server in self.world.list.lock().unwrap().servers.iter() {
            let hidden = (server.zone == self.day.zones[zone]) != (seen_by == zone);
            server.hidden.store(hidden, std::sync::atomic::Ordering::Relaxed);
        }
        for at in 0..self.proxies.len() {
            if (self.proxies[at].zone == zone) != (self.proxies[at].planner == zone) {
                let dial = 0.27 + 1.63 * self.chance();
                (self.proxies[at].mute_until, self.proxies[at].dial_after) = (now + length, dial);
            }
        }
    }

    pub fn heal(&mut self) {
        self.world.note("the cut ends".into());
        self.cut = None;
        for server in self.world.list.lock().unwrap().servers.iter() {
            server.hidden.store(false, std::sync::atomic::Ordering::Relaxed);
        }
    }

    /// Lets the day go on until then.
    pub fn run_until(&mut self, until: f64) {
        let mut checked = 0.0;
        while self.now() < until {
            let now = self.now();
            for at in 0..self.proxies.len() {
                if self.proxies[at].dial_at.is_some_and(|at| at <= now) {
                    self.dial(at);
                }
                let mute = self.proxies[at].mute_until;
                if mute > 0.0 && now > mute {
                    self.proxies[at].mute_until = 0.0;
                    let dial = self.proxies[at].dial_after;
                    self.break_stream(at, dial, "the cut ends");
                }
                if mute <= now {
                    self.read(at);
                }
                if self.proxies[at].next_call <= now {
                    let wait = -(1.0 - self.chance()).ln() / self.proxies[at].rate;
                    self.proxies[at].next_call = now + wait;
                    self.call(at);
                }
            }
            self.run_channels();
            while self.due.peek().is_some_and(|due| due.0 .0 <= (self.now() * 1e6) as u64) {
                let Some(Reverse((_, number))) = self.due.pop() else { break };
                match self.dues.remove(&number) {
                    Some(Due::Apply { proxy, stream, entered, parts }) => {
                        self.apply(proxy, stream, entered, parts)
                    }
                    Some(Due::Report { planner, zone, words }) => self.collector(planner, zone, &words),
                    None => {}
                }
            }
            while let Ok(ended) = self.ended.1.try_recv() {
                self.call_ended(ended);
            }
            if now >= self.next_report {
                self.next_report = now + self.day.report_every;
                self.report();
            }
            if now - checked > 0.05 {
                checked = now;
                self.check_lines();
                self.check_processes();
            }
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    fn call_ended(&mut self, ended: Ended) {
        let now = self.now();
        let (after, rest) = self.day.shun;
        let proxy = &mut self.proxies[ended.proxy];
        let failures = proxy.failures.entry(ended.server).or_default();
        *failures = if ended.good { 0 } else { *failures + 1 };
        if after > 0 && *failures >= after {
            *failures = 0;
            proxy.shunned.insert(ended.server, now + rest);
        }
        if !ended.good {
            proxy.counts.entry(ended.class).or_default().1 += 1;
            self.failed += 1;
        }
        let key = (proxy.planner, proxy.zone, ended.server);
        if proxy.stream.is_some() {
            let sums = self.sums.entry(key).or_default();
            *sums = (
                sums.0 + 1,
                sums.1 + u32::from(!ended.good),
                sums.2 + if ended.good { ended.ms } else { 0.0 },
            );
        }
    }

    fn check_processes(&mut self) {
        let now = self.world.now();
        for planner in &mut self.planners {
            let ended = planner.child.as_mut().and_then(|child| child.try_wait().ok().flatten());
            if let Some(status) = ended {
                planner.child = None;
                self.broken.push(format!("{now:.3} {} has ended by itself: {status}", planner.name));
            }
        }
    }

    pub fn kill_planner(&mut self, at: usize) {
        self.planners[at].collectors.clear();
        if let Some(mut child) = self.planners[at].child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.world.note(format!("planner {at} is killed"));
        }
        self.planners[at].queue.clear();
    }

    pub fn end(&mut self) {
        for at in 0..self.planners.len() {
            self.kill_planner(at);
        }
        self.world.end.store(true, std::sync::atomic::Ordering::Relaxed);
    }
}
