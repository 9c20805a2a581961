//! The members' side of a day: planners that agree, operators that give orders all the time, and what of it the
//! recording has to say.
//!
//! Operators know planners by their admin doors only. That an order has reached a planner is seen from that planner's
//! own answer, so it is written down a little late, never early: rule 3 counts from then.

use crate::ask;
use crate::bell::{Bell, Rung};
use crate::record::{Kind, Row};
use pewtergap_reactor::Clock;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Between two looks at the planners.
const LOOK: Duration = Duration::from_millis(25);
/// An answer that is not known is asked for again so often, under the same id.
const AGAIN: usize = 40;

/// Where planners are reached, as their processes told.
pub type Doors = Arc<Mutex<Vec<Option<SocketAddr>>>>;

pub struct Operator {
    over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

/// What one operator needs.
pub struct Work {
    pub clock: Clock,
    pub bell: Bell,
    pub doors: Doors,
    /// Names under which servers are listed, and the recording's names for them.
    pub servers: Vec<(String, String)>,
    pub routes: Vec<String>,
    pub seed: u64,
    /// How long a drain stays before it is taken back: past the grace, so that it is judged.
    pub stays: Duration,
    /// The recording says that the first planner holds orders that nobody was given.
    pub ignored: bool,
    /// Planners share counts, and are asked for them all the time.
    pub shared: bool,
}

impl Operator {
    pub fn start(work: Work) -> Operator {
        let over = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        if work.shared {
            let planners = work.doors.lock().map_or(0, |doors| doors.len());
            let one = |at: usize| (at, work.clock, work.bell.clone(), work.doors.clone(), over.clone());
            threads.extend((0..planners).map(one).map(|(at, clock, bell, doors, over)| {
                std::thread::spawn(move || count(at, clock, &bell, &doors, &over))
            }));
        }
        let mine = over.clone();
        threads.push(std::thread::spawn(move || work.run(&mine)));
        Operator { over, threads }
    }
}

impl Drop for Operator {
    fn drop(&mut self) {
        self.over.store(true, Ordering::SeqCst);
        std::mem::take(&mut self.threads).into_iter().for_each(|thread| drop(thread.join()));
    }
}

/// Asks a planner how many proxies are joined, all the time.
fn count(at: usize, clock: Clock, bell: &Bell, doors: &Doors, over: &AtomicBool) {
    let from = crate::rehearse::planner_name(at);
    while !over.load(Ordering::SeqCst) {
        std::thread::sleep(LOOK);
        let Some(door) = doors.lock().ok().and_then(|doors| doors[at]) else { continue };
        let called = clock.now().0;
        let Ok((200, text)) = ask::call(door, "GET", "/shared", None) else { continue };
        let view: Value = serde_json::from_str(&text).unwrap_or_default();
        let told = json!({ "joined": view["joined"], "lighter": view["lighter"] }).to_string();
        let row =
            Row { m: clock.now().0 as i64, text: told, ..Row::new(called, Kind::Counted, &from, "operator") };
        bell.ring(Rung::Row(row));
    }
}

impl Work {
    fn run(self, over: &AtomicBool) {
        let mut rng = fastrand::Rng::with_seed(self.seed);
        let mut round = 0;
        while !over.load(Ordering::SeqCst) {
            let (server, name) = &self.servers[rng.usize(0..self.servers.len())];
            if self.ignored && round == 0 {
                // All of them: whichever has calls there betrays it.
                self.servers.iter().for_each(|server| self.tell(0, &server.1, "drain"));
            }
            round += 1;
            if self.kept(&mut rng, over, json!({ "order": "drain", "server": server })) {
                self.watch(server, name, over);
            }
            // Whatever became of it, from here on nobody is held to it.
            let planners = self.doors.lock().map_or(0, |doors| doors.len());
            (0..planners).for_each(|at| self.tell(at, name, "take-back"));
            while !self.kept(&mut rng, over, json!({ "order": "take-back", "server": server })) {
                if over.load(Ordering::SeqCst) {
                    return;
                }
            }
            let route = &self.routes[rng.usize(0..self.routes.len())];
            self.kept(&mut rng, over, json!({ "order": "cap", "route": route, "level": 0.9 }));
            self.kept(&mut rng, over, json!({ "order": "uncap", "route": route }));
        }
    }

    /// Until the drain has stayed long enough: who holds it by now.
    fn watch(&self, server: &str, name: &str, over: &AtomicBool) {
        let end = Instant::now() + self.stays;
        let words = format!("drain {server}");
        while Instant::now() < end && !over.load(Ordering::SeqCst) {
            let doors = self.doors.lock().map(|doors| doors.clone()).unwrap_or_default();
            for (at, door) in doors.iter().enumerate() {
                let view = door.and_then(|door| ask::call(door, "GET", "/record?stale", None).ok());
                let view: Value =
                    view.and_then(|(_, text)| serde_json::from_str(&text).ok()).unwrap_or_default();
                let orders = view["orders"].as_array().cloned().unwrap_or_default();
                if orders.iter().any(|order| order["order"] == json!(words)) {
                    self.tell(at, name, "drain");
                }
            }
            std::thread::sleep(LOOK);
        }
    }

    fn tell(&self, planner: usize, server: &str, what: &str) {
        let to = crate::rehearse::planner_name(planner);
        let now = self.clock.now().0;
        let row =
            Row { route: what.into(), text: server.into(), ..Row::new(now, Kind::Ordered, "operator", &to) };
        self.bell.ring(Rung::Row(row));
    }

    /// Gives an order until it is known to be kept; asked again, at whichever planner, it keeps its id.
    fn kept(&self, rng: &mut fastrand::Rng, over: &AtomicBool, order: Value) -> bool {
        let mut body = json!({ "id": format!("{:016x}", rng.u64(1..)), "given": self.clock.now().0 / 1_000_000,
            "who": "lab", "why": "a day" });
        if let (Some(body), Some(order)) = (body.as_object_mut(), order.as_object()) {
            body.extend(order.clone());
        }
        let mut tried = BTreeSet::new();
        for _ in 0..AGAIN {
            let doors = self.doors.lock().map(|doors| doors.clone()).unwrap_or_default();
            let at = rng.usize(0..doors.len().max(1));
            let answer = doors.get(at).copied().flatten();
            match answer.map(|door| ask::call(door, "POST", "/orders", Some(&body.to_string()))) {
                Some(Ok((200, _))) => {
                    self.tell(at, "", "kept");
                    return true;
                }
                Some(Ok((400 | 409, why))) => {
                    self.bell.ring(Rung::Failed(format!("an order was refused: {why}")));
                    return false;
                }
                _ => drop(tried.insert(at)),
            }
            if over.load(Ordering::SeqCst) {
                return false;
            }
            std::thread::sleep(LOOK);
        }
        false
    }
}
