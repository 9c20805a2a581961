//! Clients: an open-loop schedule drawn from a seed, by proxy and route. A slow answer never delays a call
//! that is due. Small by intention; the load generator will take its place.

use crate::bell::{Bell, Rung};
use crate::record::{Kind, Row};
use crate::words::{ATTEMPT, CALL, MEANT, WORK};
use pewtergap_http::{request, Limits, Part, Reader, Side};
use pewtergap_node::{Input, Link, Node, Outbox};
use pewtergap_proxy::ENDED_HEADER;
use pewtergap_time::{Moment, Span};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use std::any::Any;
use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, SocketAddr};

/// What is asked.
#[derive(Clone, Debug)]
pub struct Asked {
    pub route: String,
    pub share: f64,
    /// Mean work and how it scatters.
    pub work: Span,
    pub cv: f64,
    pub time_limit: Span,
    /// A client repeats it once after any failure; what is not repeatable only when it surely did not run.
    pub repeatable: bool,
}

/// A proxy and the calls a second that come to it.
#[derive(Clone, Debug)]
pub struct Target {
    pub proxy: String,
    pub at: SocketAddr,
    pub per_s: f64,
}

struct Conn {
    target: usize,
    reader: Reader,
    call: Option<u64>,
    status: u16,
    ended: String,
    keep: bool,
}

struct Open {
    target: usize,
    asked: usize,
    attempt: u32,
    work: Span,
    meant: Moment,
    link: Link,
}

const MOST_OPEN: usize = 4_000;
const KEPT: usize = 64;

pub struct Clients {
    from: IpAddr,
    bell: Bell,
    asked: Vec<Asked>,
    targets: Vec<Target>,
    rng: StdRng,
    factors: Vec<f64>,
    heavy: f64,
    running: bool,
    next_call: u64,
    open: BTreeMap<u64, Open>,
    conns: HashMap<Link, Conn>,
    idle: Vec<Vec<Link>>,
    /// Places of timers: a target's next call below, a call's time limit above.
    arrivals: Vec<Moment>,
}

impl Clients {
    pub fn new(from: IpAddr, asked: Vec<Asked>, targets: Vec<Target>, seed: u64, bell: Bell) -> Clients {
        Clients {
            from,
            bell,
            asked,
            rng: StdRng::seed_from_u64(seed),
            factors: vec![1.0; targets.len()],
            heavy: 1.0,
            running: false,
            next_call: targets.len() as u64,
            open: BTreeMap::new(),
            conns: HashMap::new(),
            idle: vec![Vec::new(); targets.len()],
            arrivals: vec![Moment(0); targets.len()],
            targets,
        }
    }

    fn draw(&mut self, target: usize, from: Moment, out: &mut Outbox) {
        let rate = (self.targets[target].per_s * self.factors[target]).max(1e-3);
        let gap = Exp::new(rate).map_or(1.0, |exp| exp.sample(&mut self.rng));
        self.arrivals[target] = from + Span::of_seconds(gap);
        out.set_timer(target as u64, self.arrivals[target]);
    }

    fn arrive(&mut self, now: Moment, target: usize, out: &mut Outbox) {
        // All that is due by now, each with the time it was meant for.
        while self.running && self.arrivals[target] <= now {
            let meant = self.arrivals[target];
            self.draw(target, meant, out);
            let mut place = self.rng.random_range(0.0..1.0) * self.asked.iter().map(|a| a.share).sum::<f64>();
            let asked = self.asked.iter().position(|asked| {
                place -= asked.share;
                place < 0.0
            });
            let asked = asked.unwrap_or(0);
            let (mean, cv) = (self.asked[asked].work.seconds() * self.heavy, self.asked[asked].cv);
            let sigma = (1.0 + cv * cv).ln().sqrt();
            let drawn =
                LogNormal::new(mean.ln() - sigma * sigma / 2.0, sigma).map(|d| d.sample(&mut self.rng));
            let work = Span::of_seconds(drawn.unwrap_or(mean).min(50.0 * mean));
            let id = self.next_call;
            self.next_call += 1;
            let open = Open { target, asked, attempt: 1, work, meant, link: Link(0) };
            if self.open.len() >= MOST_OPEN {
                let row = Row {
                    call: id.to_string(),
                    route: self.asked[asked].route.clone(),
                    m: meant.0 as i64,
                    ..Row::new(now.0, Kind::Unsent, "clients", &self.targets[target].proxy)
                };
                self.bell.ring(Rung::Row(row));
                continue;
            }
            out.set_timer(id, meant + self.asked[asked].time_limit);
            self.open.insert(id, open);
            self.send(id, out);
        }
    }

    fn send(&mut self, id: u64, out: &mut Outbox) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let target = &self.targets[open.target];
        let link = match self.idle[open.target].pop() {
            Some(link) => link,
            None => {
                let link = out.connect(target.at, Some(self.from));
                let reader = Reader::new(Side::Responses, Limits::default());
                let conn = Conn {
                    target: open.target,
                    reader,
                    call: None,
                    status: 0,
                    ended: String::new(),
                    keep: true,
                };
                self.conns.insert(link, conn);
                link
            }
        };
        open.link = link;
        if let Some(conn) = self.conns.get_mut(&link) {
            conn.call = Some(id);
        }
        let asked = &self.asked[open.asked];
        let (call, attempt) = (id.to_string(), open.attempt.to_string());
        let (work, meant) = ((open.work.0 / 1_000).to_string(), open.meant.0.to_string());
        let headers = [("host", "lab"), (CALL, &call), (ATTEMPT, &attempt), (WORK, &work), (MEANT, &meant)];
        out.send(link, request("POST", &format!("/{}/x", asked.route), &headers, Some(b"{}")));
    }

    /// A try ended: `sure` that it never ran, or the status of its answer.
    fn ended(&mut self, id: u64, status: u16, sure: bool, out: &mut Outbox) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let asked = &self.asked[open.asked];
        let failed = !(200..300).contains(&status);
        if failed && open.attempt == 1 && (asked.repeatable || sure) && self.running {
            open.attempt = 2;
            self.send(id, out);
        } else {
            self.open.remove(&id);
        }
    }

    fn bytes(&mut self, link: Link, bytes: &[u8], out: &mut Outbox) {
        let Some(conn) = self.conns.get_mut(&link) else { return };
        conn.reader.push(bytes);
        loop {
            let Some(conn) = self.conns.get_mut(&link) else { return };
            match conn.reader.next_part() {
                Ok(Some(Part::Head(head))) => {
                    conn.status = head.status();
                    conn.ended = head.header(ENDED_HEADER).unwrap_or("").into();
                    conn.keep = head.keep_alive;
                }
                Ok(Some(Part::Data(_))) => {}
                Ok(Some(Part::End)) => {
                    let (id, status, target) = (conn.call.take(), conn.status, conn.target);
                    let sure = matches!(conn.ended.as_str(), "throttled" | "no-line" | "too-many");
                    if conn.keep && self.idle[target].len() < KEPT {
                        self.idle[target].push(link);
                    } else {
                        out.finish(link);
                    }
                    if let Some(id) = id {
                        self.ended(id, status, sure, out);
                    }
                }
                Ok(None) => return,
                Err(_) => return out.cut(link),
            }
        }
    }

    fn told(&mut self, now: Moment, word: &str, out: &mut Outbox) {
        let words: Vec<&str> = word.split_whitespace().collect();
        match words.as_slice() {
            ["go"] => {
                self.running = true;
                (0..self.targets.len()).for_each(|target| self.draw(target, now, out));
            }
            ["end"] => self.running = false,
            // at PROXY ADDRESS
            ["at", who, at] => {
                let target = self.targets.iter_mut().find(|target| target.proxy == *who);
                if let (Some(target), Ok(at)) = (target, at.parse()) {
                    target.at = at;
                }
            }
            // rate PROXY|all FACTOR
            ["rate", who, factor] => {
                let factor: f64 = factor.parse().unwrap_or(1.0);
                for (at, target) in self.targets.iter().enumerate() {
                    if *who == "all" || target.proxy == *who {
                        self.factors[at] = factor;
                    }
                }
            }
            ["work", factor] => self.heavy = factor.parse().unwrap_or(1.0),
            _ => {}
        }
    }
}

impl Node for Clients {
    fn handle(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) {
        match input {
            Input::Command(word) => self.told(now, word, out),
            Input::TimerFired { timer } if (timer as usize) < self.targets.len() => {
                self.arrive(now, timer as usize, out)
            }
            Input::TimerFired { timer } => {
                // Its time is up: the client goes away.
                if let Some(open) = self.open.remove(&timer) {
                    out.cut(open.link);
                }
            }
            Input::Bytes { link, bytes } => self.bytes(link, bytes, out),
            Input::Closed { link, .. } => {
                if let Some(conn) = self.conns.remove(&link) {
                    self.idle[conn.target].retain(|idle| *idle != link);
                    if let Some(id) = conn.call {
                        self.ended(id, 0, false, out);
                    }
                }
            }
            _ => {}
        }
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}
