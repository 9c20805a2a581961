//! Operators of a scale run: orders at a pace, and what each was answered.

use pewtergap_lab::ask::Client;
use pewtergap_reactor::Clock;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Routes that the run's orders cap; every planner has all of them in its scope.
pub const ROUTES: usize = 32;
/// Tries of an order at one machine after the other, under its one id.
const AGAIN: usize = 60;
const REST: Duration = Duration::from_millis(100);

/// An order that was kept, or was not.
#[derive(Clone, Debug)]
pub struct Kept {
    /// When it was asked for first, and when the answer was there; in nanoseconds.
    pub called: u64,
    pub answered: u64,
    /// Where it stands in the record; none: it was not kept.
    pub place: Option<u64>,
    pub what: What,
}

/// Every other one concerns all planners, and every other one those of one server.
#[derive(Clone, Debug, PartialEq)]
pub enum What {
    Cap(usize, f64),
    Weight(String, f64),
}

/// Draws the orders of a run; each wishes for something that none wished for before.
pub struct Drawn {
    rng: fastrand::Rng,
    servers: usize,
    count: u64,
}

pub fn server(nth: usize) -> String {
    format!("s{nth}")
}

impl Drawn {
    pub fn new(seed: u64, servers: usize) -> Drawn {
        Drawn { rng: fastrand::Rng::with_seed(seed ^ 0x5ca1e), servers, count: 0 }
    }

    /// Its id, and what it says.
    pub fn draw(&mut self) -> (u64, What) {
        self.count += 1;
        // Digits that are told and read without a loss.
        let part = (self.count % 1_000_000) as f64 / 1_048_576.0 / 2.0;
        let what = match self.count % 2 {
            0 => What::Cap(self.rng.usize(0..ROUTES), 0.25 + part),
            _ => What::Weight(server(self.rng.usize(0..self.servers)), 1.0 + part),
        };
        (self.rng.u64(1..), what)
    }
}

/// Gives one order until it is known to be kept, at the machines in turn from `first` on.
pub fn give(clock: &Clock, machines: &[SocketAddr], first: usize, id: u64, what: What) -> Kept {
    let called = clock.now().0;
    let mut body = json!({ "id": format!("{id:016x}"), "given": called / 1_000_000, "who": "scale", "why": "a scale run" });
    let order = match &what {
        What::Cap(route, level) => json!({ "order": "cap", "route": format!("r{route}"), "level": level }),
        What::Weight(server, weight) => json!({ "order": "weight", "server": server, "weight": weight }),
    };
    if let (Some(body), Some(order)) = (body.as_object_mut(), order.as_object()) {
        body.extend(order.clone());
    }
    let body = body.to_string();
    for at in (first..).take(AGAIN) {
        let answer = Client::new(machines[at % machines.len()]).call("POST", "/orders", Some(&body));
        let number = match answer {
            Ok((200, text)) => serde_json::from_str::<Value>(&text).unwrap_or_default()["number"].as_u64(),
            _ => None,
        };
        if number.is_some() {
            return Kept { called, answered: clock.now().0, place: number, what };
        }
        std::thread::sleep(REST);
    }
    Kept { called, answered: clock.now().0, place: None, what }
}

/// So many orders, evenly over that time, none waiting for another; each at another machine.
pub fn burst(
    clock: &Clock,
    machines: &[SocketAddr],
    drawn: &mut Drawn,
    count: usize,
    over: Duration,
) -> Vec<Kept> {
    let all: Vec<(u64, What)> = (0..count).map(|_| drawn.draw()).collect();
    let begin = Instant::now();
    // An answer takes a few milliseconds; each operator has its own share of the orders and its own pace.
    let operators = count.clamp(1, 16);
    let one = |operator: usize, all: &[(u64, What)]| -> Vec<Kept> {
        let mine = all.iter().enumerate().skip(operator).step_by(operators);
        mine.map(|(nth, (id, what))| {
            let due = over.mul_f64(nth as f64 / count as f64);
            std::thread::sleep(due.saturating_sub(begin.elapsed()));
            give(clock, machines, nth, *id, what.clone())
        })
        .collect()
    };
    std::thread::scope(|scope| {
        let all = &all;
        let threads: Vec<_> =
            (0..operators).map(|operator| scope.spawn(move || one(operator, all))).collect();
        threads.into_iter().filter_map(|thread| thread.join().ok()).flatten().collect()
    })
}
