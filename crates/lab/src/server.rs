//! A stand-in server: cores, speed, a cold start, a queue, a connection table, load reports in answers, probes.
//!
//! It burns no CPU: work is a time that a core is taken. A call brings its work in a header; an answer says
//! whether it ran.

use crate::bell::Bell;
use crate::words::{CALL, RAN, WORK};
use pewtergap_http::{response, Head, Limits, Part, Reader, Side, StartLine};
use pewtergap_node::{Effect, Input, Link, Node, Outbox};
use pewtergap_protocol::load_report::{LoadReport, HEADER};
use pewtergap_proxy::NOT_RUN_HEADER;
use pewtergap_time::{Moment, Span};
use std::any::Any;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// What a machine can do.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    pub cores: usize,
    /// Work done by a core in a second, in seconds of work.
    pub speed: f64,
    pub queue: usize,
    pub most_conns: usize,
    /// Part of its speed that it starts with, and how long until all of it is there.
    pub cold_from: f64,
    pub cold_for: Span,
}

struct Job {
    link: Link,
    work: Span,
    runs: bool,
    keep: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    Up,
    /// Accepts and never answers.
    Silent,
    Down,
}

pub struct Server {
    name: String,
    at: SocketAddr,
    machine: Machine,
    bell: Bell,
    mode: Mode,
    factor: f64,
    started: Moment,
    conns: BTreeMap<Link, (Reader, Option<Head>)>,
    queue: VecDeque<Job>,
    running: BTreeMap<u64, Job>,
    next: u64,
    /// Cores taken, on average over the last second or so.
    busy: f64,
    since: Moment,
    most_conns: usize,
}

impl Server {
    pub fn new(name: String, machine: Machine, up: bool, bell: Bell) -> Server {
        Server {
            name,
            at: SocketAddr::from(([127, 0, 0, 1], 0)),
            machine,
            bell,
            mode: if up { Mode::Up } else { Mode::Down },
            factor: 1.0,
            started: Moment(0),
            conns: BTreeMap::new(),
            queue: VecDeque::new(),
            running: BTreeMap::new(),
            next: 0,
            busy: 0.0,
            since: Moment(0),
            most_conns: machine.most_conns,
        }
    }

    fn speed(&self, now: Moment) -> f64 {
        let warm = (now.since(self.started).seconds() / self.machine.cold_for.seconds().max(1e-9)).min(1.0);
        let warmth = self.machine.cold_from + (1.0 - self.machine.cold_from) * warm;
        self.machine.speed * self.factor * warmth
    }

    fn settle_busy(&mut self, now: Moment) {
        let gone = now.since(self.since).seconds();
        let fade = (-gone).exp();
        self.busy = self.busy * fade + self.running.len() as f64 * (1.0 - fade);
        self.since = now;
    }

    fn report(&mut self, now: Moment) -> String {
        self.settle_busy(now);
        let util = (self.busy / self.machine.cores as f64).min(1.0);
        let in_hand = (self.running.len() + self.queue.len()) as f64;
        LoadReport { util: Some(util), in_flight: Some(in_hand) }.to_text()
    }

    fn asked(&mut self, now: Moment, link: Link, head: Head, out: &mut Outbox) {
        let StartLine::Request { target, .. } = &head.first else { return };
        if target == "/healthz" {
            let report = self.report(now);
            out.send(link, response(200, &[(HEADER, &report)], Some(b"ok\n")));
            return;
        }
        let work = head.header(WORK).and_then(|work| work.parse().ok()).unwrap_or(1_000);
        let job =
            Job { link, work: Span::micros(work), runs: head.header(CALL).is_some(), keep: head.keep_alive };
        if self.queue.len() >= self.machine.queue {
            let report = self.report(now);
            out.send(link, response(503, &[(NOT_RUN_HEADER, "1"), (HEADER, &report)], Some(b"full\n")));
            return;
        }
        self.queue.push_back(job);
        self.start_jobs(now, out);
    }

    fn start_jobs(&mut self, now: Moment, out: &mut Outbox) {
        self.settle_busy(now);
        while self.running.len() < self.machine.cores {
            let Some(job) = self.queue.pop_front() else { return };
            self.next += 1;
            out.set_timer(self.next, now + job.work.times(1.0 / self.speed(now).max(1e-3)));
            self.running.insert(self.next, job);
        }
    }

    fn done(&mut self, now: Moment, timer: u64, out: &mut Outbox) {
        self.settle_busy(now);
        let Some(job) = self.running.remove(&timer) else { return };
        if self.conns.contains_key(&job.link) && self.mode == Mode::Up {
            let report = self.report(now);
            let ran = if job.runs { "1" } else { "0" };
            out.send(job.link, response(200, &[(RAN, ran), (HEADER, &report)], Some(b"done\n")));
            if !job.keep {
                out.finish(job.link);
            }
        }
        self.start_jobs(now, out);
    }

    /// All it held is gone; nobody is told.
    fn drop_all(&mut self, out: &mut Outbox) {
        std::mem::take(&mut self.conns).into_keys().for_each(|link| out.cut(link));
        self.queue.clear();
        self.running.clear();
        self.busy = 0.0;
    }

    fn rate(&self) -> f64 {
        self.machine.cores as f64 * self.machine.speed * self.factor * 1e6
    }

    fn told(&mut self, now: Moment, word: &str, out: &mut Outbox) {
        let (what, value) = word.split_once(' ').unwrap_or((word, ""));
        let number = || value.parse::<f64>().unwrap_or(1.0);
        match what {
            "start" => {
                self.drop_all(out);
                (self.mode, self.factor, self.started) = (Mode::Up, 1.0, now);
            }
            "kill" => {
                self.drop_all(out);
                self.mode = Mode::Down;
            }
            "silent" => self.mode = Mode::Silent,
            "speak" => self.mode = Mode::Up,
            "speed" => self.factor = number(),
            "conns" => {
                self.most_conns = if value.is_empty() { self.machine.most_conns } else { number() as usize }
            }
            _ => return,
        }
        self.bell.capacity(now, &self.name, self.rate(), self.started);
    }

    fn bytes(&mut self, now: Moment, link: Link, bytes: &[u8], out: &mut Outbox) {
        let Some((reader, _)) = self.conns.get_mut(&link) else { return };
        reader.push(bytes);
        loop {
            let Some((reader, head)) = self.conns.get_mut(&link) else { return };
            match reader.next_part() {
                Ok(Some(Part::Head(came))) => *head = Some(came),
                Ok(Some(Part::Data(_))) => {}
                Ok(Some(Part::End)) => {
                    if let Some(head) = head.take().filter(|_| self.mode == Mode::Up) {
                        self.asked(now, link, head, out);
                    }
                }
                Ok(None) => return,
                Err(wrong) => {
                    out.send(link, response(wrong.status, &[("connection", "close")], Some(b"")));
                    out.finish(link);
                    self.conns.remove(&link);
                    return;
                }
            }
        }
    }
}

impl Node for Server {
    fn handle(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) {
        match input {
            Input::Start => {
                out.push(Effect::Listen { listener: 0, at: self.at });
                // What stands at the start has been up for long.
                self.started = now - Span::millis(3_600_000);
                self.since = now;
                self.bell.capacity(now, &self.name, self.rate(), self.started);
            }
            Input::Listening { at, .. } => self.bell.listens(&self.name, at),
            Input::Accepted { link, .. } => {
                if self.mode == Mode::Down || self.conns.len() >= self.most_conns {
                    out.cut(link);
                } else {
                    self.conns.insert(link, (Reader::new(Side::Requests, Limits::default()), None));
                }
            }
            Input::Bytes { link, bytes } => self.bytes(now, link, bytes, out),
            Input::Closed { link, .. } => {
                self.conns.remove(&link);
                // What waits for a caller that has gone is not begun.
                self.queue.retain(|job| job.link != link);
            }
            Input::TimerFired { timer } => self.done(now, timer, out),
            Input::Command(word) => self.told(now, word, out),
            _ => {}
        }
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}
