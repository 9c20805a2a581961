//! Duties of a cluster day, struck while they are held; what the receiver saw is what counts.

use super::measure::{times, Times};
use super::receiver::{Became, Sent};
use super::{name, record_file, Director, CEILING};
use crate::ask;
use rustix::process::Signal;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// The lease that members of such a day have.
pub const LEASE_MS: u64 = 1_000;
pub fn settings(slices: usize, lease_ms: u64) -> String {
    format!(
        "duties = duties(lease = \"{lease_ms}ms\", renew = \"200ms\", pause = \"250ms\", drift = 0.02, steady = \"1s\", slices = {slices})"
    )
}

pub const PERIOD: &str = "100ms";

/// What strikes a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Struck {
    Killed,
    Stopped,
    CutOff,
    Terminated,
}

pub const STRUCK: [Struck; 4] = [Struck::Killed, Struck::Stopped, Struck::CutOff, Struck::Terminated];

impl Director<'_> {
    fn sent(&self) -> Vec<Sent> {
        self.ledger.lock().map(|ledger| ledger.clone()).unwrap_or_default()
    }

    fn duties(&self, at: usize) -> Value {
        let answer = self.admin(at).and_then(|admin| ask::call(admin, "GET", "/duties", None).ok());
        answer.and_then(|(_, text)| serde_json::from_str(&text).ok()).unwrap_or_default()
    }

    /// Who acts on a duty by its own word, and under which number.
    fn acts(&self, duty: &str) -> Option<(usize, u64)> {
        (0..self.day.members)
            .filter(|at| {
                let runs = self.running[*at].as_ref().is_some_and(|running| !running.stopped);
                runs || self.threads.contains_key(at)
            })
            .find_map(|at| {
                let view = self.duties(at);
                let mine = view["duties"]
                    .as_array()?
                    .iter()
                    .find(|d| d["duty"] == duty && d["acts"] == true)?
                    .clone();
                Some((at, mine["number"].as_u64()?))
            })
    }

    pub fn holder(&mut self, duty: &str) -> Result<(usize, u64), String> {
        let end = Instant::now() + CEILING;
        loop {
            if let Some(holder) = self.acts(duty) {
                return Ok(holder);
            }
            if Instant::now() > end {
                return Err(format!(
                    "nobody holds {duty}: {:?}",
                    (0..self.day.members).map(|at| self.duties(at)).collect::<Vec<_>>()
                ));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Until this member acts on a duty, whoever else has it before; under which number.
    fn until_holds(&mut self, duty: &str, member: usize) -> Result<u64, String> {
        let begin = Instant::now();
        loop {
            match self.holder(duty)? {
                (holder, number) if holder == member => return Ok(number),
                (holder, _) if begin.elapsed() > CEILING => {
                    return Err(format!("{duty} are at {} and not at {}", name(holder), name(member)));
                }
                _ => std::thread::sleep(Duration::from_millis(10)),
            }
        }
    }

    /// Until, of what came in from there on, something is taken under a number above this one; how long it took.
    fn until_taken(&self, from: usize, number: u64) -> Result<Duration, String> {
        let begin = Instant::now();
        while !self.sent()[from..].iter().any(|sent| sent.number > number && sent.became == Became::Taken) {
            if begin.elapsed() > CEILING {
                return Err(format!("nobody goes on with the books after {number}"));
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        Ok(begin.elapsed())
    }

    /// Strikes whoever keeps the books; from then until another goes on with them. Whole again afterwards.
    pub fn strike_holder(&mut self, struck: Struck) -> Result<Duration, String> {
        let (one, number) = self.holder("books")?;
        let from = self.sent().len();
        match struck {
            Struck::Killed => self.end(one, Signal::KILL),
            Struck::Stopped => self.signal(one, Signal::STOP),
            Struck::Terminated => self.signal(one, Signal::TERM),
            Struck::CutOff => {
                for other in (0..self.belong).filter(|other| *other != one) {
                    self.tell(format!("cut {one} {other}"));
                    self.tell(format!("cut {other} {one}"));
                }
            }
        }
        let took = self.until_taken(from, number)?;
        match struck {
            Struck::Killed => self.start(one)?,
            Struck::Stopped => self.signal(one, Signal::CONT),
            Struck::CutOff => self.tell("open-all".into()),
            Struck::Terminated => {
                self.end(one, Signal::TERM);
                self.start(one)?;
            }
        }
        self.wait_up(one)?;
        self.wait_all_fresh()?;
        Ok(took)
    }

    /// A holder is held between its check and its effect for longer than its lease: another goes on, and what the first
    /// sends then is refused by its number.
    pub fn held_at_the_effect(&mut self) -> Result<Vec<u64>, String> {
        let one = self.holder("books")?.0;
        self.end(one, Signal::TERM);
        self.start_here(one)?;
        self.wait_up(one)?;
        self.wait_all_fresh()?;
        let given = self.clock.now().0 / 1_000_000;
        let body = json!({ "id": format!("{:016x}", fastrand::u64(1..)), "given": given, "who": "lab",
            "why": "a drill", "duty": "books", "to": name(one) });
        let (_, admin) = self.leader_admin()?;
        ask::call(admin, "POST", "/duties", Some(&body.to_string())).map_err(|e| e.1)?;
        let begin = Instant::now();
        let number = loop {
            match self.holder("books")? {
                (at, number) if at == one => break number,
                _ if begin.elapsed() > CEILING => return Err("the books do not come here".into()),
                _ => std::thread::sleep(Duration::from_millis(20)),
            }
        };
        let from = self.sent().len();
        let (handle, place, _) = self.threads.get(&one).ok_or("it does not run here")?;
        let (handle, place) = (handle.clone(), *place);
        handle.send_command(place, "hold");
        // Only once it holds something: cut off before that it could close no period, and never had anything to send
        // (on a busy machine six of twelve drills waited for that in vain).
        self.wait(&format!("{} held", name(one)))?;
        // Cut off as a stopped process would be; its links stay as they are.
        for other in (0..self.belong).filter(|other| *other != one) {
            self.tell(format!("cut {one} {other}"));
        }
        self.until_taken(from, number)?;
        handle.send_command(place, "let");
        let begin = Instant::now();
        // Under that number, or one given anew before it was held.
        while !self.sent()[from..].iter().any(|sent| sent.number >= number && sent.became == Became::Fenced) {
            if begin.elapsed() > CEILING {
                let came = self.sent().split_off(from).into_iter().map(|sent| (sent.number, sent.became));
                return Err(format!(
                    "what was held under {number} was not refused: {:?}",
                    came.collect::<Vec<_>>()
                ));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        self.tell("open-all".into());
        self.end(one, Signal::TERM);
        self.start(one)?;
        self.wait_up(one)?;
        self.wait_all_fresh()?;
        Ok(Vec::new())
    }

    /// An order in steps whose releaser is killed in the middle: it goes on, never back.
    pub fn steps(&mut self) -> Result<Vec<u64>, String> {
        let body = json!({ "id": format!("{:016x}", fastrand::u64(1..)), "given": self.clock.now().0 / 1_000_000,
            "who": "lab", "why": "a drill", "order": "cap", "route": "r", "level": 0.5, "steps": 5, "pause_ms": 300 });
        let (_, admin) = self.leader_admin()?;
        let told = ask::call(admin, "POST", "/orders", Some(&body.to_string())).map_err(|e| e.1)?;
        if told.0 != 200 {
            return Err(format!("the order was refused: {}", told.1));
        }
        let (begin, mut reached, mut killed) = (Instant::now(), vec![0; self.day.members], false);
        while reached.iter().any(|reached| *reached < 1_000) {
            for (at, reached) in reached.iter_mut().enumerate() {
                let answer = self.admin(at).and_then(|admin| ask::call(admin, "GET", "/record", None).ok());
                let view: Value =
                    answer.and_then(|(_, text)| serde_json::from_str(&text).ok()).unwrap_or_default();
                let orders = view["orders"].as_array().cloned().unwrap_or_default();
                let Some(order) = orders.iter().find(|order| order["order"] == "cap r 0.5") else { continue };
                let now = order["reached"].as_u64().unwrap_or(0);
                if now < *reached && view["fresh"] == true {
                    return Err(format!("{} says {now} after {reached}", name(at)));
                }
                *reached = (*reached).max(now);
            }
            if !killed && reached.iter().any(|reached| *reached >= 400) {
                killed = true;
                let (one, _) = self.holder("release")?;
                self.end(one, Signal::KILL);
                self.start(one)?;
                self.wait_up(one)?;
            }
            if begin.elapsed() > CEILING {
                return Err(format!("the order stays at {reached:?}"));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        self.wait_all_fresh()?;
        let took = begin.elapsed().as_millis() as u64;
        self.steps_by_proxies()?;
        Ok(vec![took])
    }

    /// An order that one planner after the other carries out whole, and none goes back.
    fn steps_by_proxies(&mut self) -> Result<(), String> {
        let body = json!({ "id": format!("{:016x}", fastrand::u64(1..)), "given": self.clock.now().0 / 1_000_000,
            "who": "lab", "why": "a drill", "order": "cap", "route": "r", "level": 0.25, "steps": 3, "pause_ms": 400,
            "by_proxies": true });
        let (_, admin) = self.leader_admin()?;
        let told = ask::call(admin, "POST", "/orders", Some(&body.to_string())).map_err(|e| e.1)?;
        if told.0 != 200 {
            return Err(format!("the order was refused: {}", told.1));
        }
        let (begin, mut here, mut some) = (Instant::now(), vec![0.0; self.belong], 0);
        while here.iter().any(|part| *part < 1.0) {
            for (at, before) in here.iter_mut().enumerate() {
                let view = self.view(at, "/record?stale");
                let orders = view["orders"].as_array().cloned().unwrap_or_default();
                let order = orders.iter().find(|order| order["order"] == "cap r 0.25").cloned();
                let Some(part) = order.and_then(|order| order["here"].as_f64()) else { continue };
                if part < *before || part > 0.0 && part < 1.0 {
                    return Err(format!("{} carries out {part} after {before}", name(at)));
                }
                *before = part;
            }
            some += usize::from(here.contains(&0.0) && here.contains(&1.0));
            if begin.elapsed() > CEILING {
                return Err(format!("the order by proxies stays at {here:?}"));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        if some == 0 {
            return Err("all planners carried it out at once".into());
        }
        Ok(())
    }

    /// Every member gets a longer lease, one after the other, and a shorter one again. That nobody goes on before the other
    /// has ended is seen in what the receiver got; a time from the strike says nothing of it: on a busy machine the last
    /// renewal may be old by then.
    pub fn lease_changed(&mut self) -> Result<Vec<u64>, String> {
        let mut gaps = Vec::new();
        for lease in [2 * LEASE_MS, LEASE_MS] {
            for at in 0..self.belong {
                self.leases[at] = lease;
                self.end(at, Signal::TERM);
                self.start(at)?;
                self.wait_up(at)?;
                self.wait_all_fresh()?;
                // In the middle of the change and at its end.
                let took = self.strike_holder(Struck::Stopped)?.as_millis() as u64;
                gaps.push(took);
            }
            let begin = Instant::now();
            while (0..self.belong).any(|at| self.duties(at)["lease_ms"] != json!(lease)) {
                if begin.elapsed() > CEILING {
                    return Err(format!("the record's lease does not become {lease} ms"));
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        }
        Ok(gaps)
    }

    /// The hard cases of duties, one after the other; milliseconds without the books for each.
    pub fn struck_duties(&mut self) -> Result<Vec<u64>, String> {
        let mut gaps = Vec::new();
        for struck in STRUCK {
            let took = self.strike_holder(struck)?.as_millis() as u64;
            gaps.push(took);
        }
        // Stopped for less than its lease, and about as long.
        for pause in [LEASE_MS / 2, LEASE_MS] {
            let (one, _) = self.holder("books")?;
            self.signal(one, Signal::STOP);
            std::thread::sleep(Duration::from_millis(pause));
            self.signal(one, Signal::CONT);
            self.holder("books")?;
        }
        // Its holder and the record's leader at once.
        let (one, number) = self.holder("books")?;
        let leader = self.leader_admin()?.0;
        let both = if one == leader { vec![one] } else { vec![one, leader] };
        let from = self.sent().len();
        both.iter().for_each(|at| self.signal(*at, Signal::KILL));
        for at in both {
            self.end(at, Signal::KILL);
            self.start(at)?;
            self.wait_up(at)?;
        }
        // Back on the same disk within its lease it goes on under its number.
        self.until_taken(from, number - 1)?;
        self.wait_all_fresh()?;
        // Confirmed, the confirmation lost, and the holder with it.
        let (one, number) = self.holder("books")?;
        let seen = self.sent().len();
        self.relay.0.send_command(self.receiver.ok_or("there is no receiver")?, "lose 1000000");
        let begin = Instant::now();
        while self.sent().len() <= seen {
            if begin.elapsed() > CEILING {
                return Err("nothing is sent any more".into());
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        self.end(one, Signal::KILL);
        self.relay.0.send_command(self.receiver.ok_or("there is no receiver")?, "lose 0");
        self.until_taken(seen, number)?;
        self.start(one)?;
        self.wait_up(one)?;
        self.wait_all_fresh()?;
        // A majority lost while duties are held, and found again.
        let (one, number) = self.holder("books")?;
        let others: Vec<usize> = (0..self.belong).filter(|at| *at != one).collect();
        others.iter().for_each(|at| self.signal(*at, Signal::STOP));
        std::thread::sleep(Duration::from_millis(2 * LEASE_MS));
        let rests =
            self.duties(one)["duties"].as_array().is_some_and(|all| all.iter().all(|d| d["acts"] != true));
        if !rests {
            return Err(format!("{} acts without a majority past its lease", name(one)));
        }
        let from = self.sent().len();
        others.iter().for_each(|at| self.signal(*at, Signal::CONT));
        self.until_taken(from, number - 1)?;
        self.wait_all_fresh()?;
        // The whole machine stands still for longer than any lease: whoever wakes first knows no more than the others.
        let (one, number) = self.holder("books")?;
        let from = self.sent().len();
        (0..self.belong).for_each(|at| self.signal(at, Signal::STOP));
        std::thread::sleep(Duration::from_millis(LEASE_MS * 3 / 2));
        for next in 1..=self.belong {
            self.signal((one + next) % self.belong, Signal::CONT);
        }
        self.until_taken(from, number - 1)?;
        self.wait_all_fresh()?;
        // All restarted one after the other, one of them with an empty disk.
        for at in 0..self.belong {
            self.end(at, Signal::TERM);
            if at == 1 {
                std::fs::remove_file(record_file(&self.day.dir, at)).map_err(|e| e.to_string())?;
            }
            self.start(at)?;
            self.wait_up(at)?;
            self.wait_all_fresh()?;
        }
        // An operator moves it. The member that returned last may be given it first: its moves are under way.
        let from = self.sent().len();
        let target = (self.holder("books")?.0 + 1) % self.belong;
        let to = name(target);
        let body = json!({ "id": format!("{:016x}", fastrand::u64(1..)), "given": self.clock.now().0 / 1_000_000,
            "who": "lab", "why": "a drill", "duty": "books", "to": to });
        let (_, admin) = self.leader_admin()?;
        let told = ask::call(admin, "POST", "/duties", Some(&body.to_string())).map_err(|e| e.1)?;
        if told.0 != 200 {
            return Err(format!("handing on was refused: {}", told.1));
        }
        let number = self.until_holds("books", target)?;
        self.until_taken(from, number - 1)?;
        Ok(gaps)
    }
}

/// Milliseconds until another goes on, for each kind of strike.
impl Director<'_> {
    pub fn measure_strikes(&mut self, struck: Struck, rounds: usize) -> Result<(Times, f64), String> {
        let begin = Instant::now();
        let took: Result<Vec<Duration>, String> = (0..rounds).map(|_| self.strike_holder(struck)).collect();
        let took = took?;
        // What passed without the books, of all that passed.
        let without = took.iter().sum::<Duration>().as_secs_f64() / begin.elapsed().as_secs_f64();
        Ok((times(&took), without))
    }

    /// A day of restarts, each member in turn: how often a duty was given.
    pub fn measure_restarts(&mut self, rounds: usize) -> Result<Value, String> {
        self.holder("books")?;
        std::thread::sleep(Duration::from_secs(3));
        let given = |director: &Self| -> usize {
            let logs = (0..director.day.members).map(|at| director.day.dir.join(format!("{}.log", name(at))));
            logs.map(|log| std::fs::read_to_string(log).unwrap_or_default().matches("duty_given").count())
                .sum()
        };
        let before = given(self);
        for round in 0..rounds * self.day.members {
            let at = round % self.day.members;
            self.end(at, Signal::TERM);
            self.start(at)?;
            self.wait_up(at)?;
            self.wait_all_fresh()?;
            std::thread::sleep(Duration::from_secs(3));
        }
        let duties = self.duties(0)["duties"].as_array().map_or(0, Vec::len);
        Ok(json!({ "members": self.day.members, "duties": duties, "restarts": rounds * self.day.members,
            "moves": given(self) - before }))
    }

    /// With so many duties at rest: entries of the log in so many seconds, and what each planner used of a processor.
    pub fn measure_at_rest(&mut self, seconds: u64) -> Result<Value, String> {
        let (_, admin) = self.leader_admin()?;
        let view = |target: &str| -> Value {
            let answer = ask::call(admin, "GET", target, None).ok();
            answer.and_then(|(_, text)| serde_json::from_str(&text).ok()).unwrap_or_default()
        };
        let end = Instant::now() + CEILING;
        let counts = loop {
            let duties = view("/duties")["duties"].as_array().cloned().unwrap_or_default();
            let mut counts = std::collections::BTreeMap::<String, usize>::new();
            for duty in &duties {
                *counts.entry(duty["holder"].as_str().unwrap_or_default().into()).or_default() += 1;
            }
            let (least, most) = (counts.values().min().copied(), counts.values().max().copied());
            let even = least.zip(most).is_some_and(|(least, most)| most <= least + 1);
            if even && counts.len() == self.day.members {
                break counts;
            }
            if Instant::now() > end {
                return Err(format!("duties do not settle: {counts:?}"));
            }
            std::thread::sleep(Duration::from_millis(50));
        };
        let index = |view: Value| view["index"].as_u64().unwrap_or(0);
        let (before, periods) = (index(view("/record?stale")), self.sent().len());
        let used = |director: &Self| -> f64 {
            director.running.iter().flatten().map(|running| crate::process::used(running.child.id()).0).sum()
        };
        let cpu = used(self);
        std::thread::sleep(Duration::from_secs(seconds));
        let entries = index(view("/record?stale")) - before;
        let cpu = (used(self) - cpu) / seconds as f64 / self.day.members as f64 / 10.0;
        Ok(json!({ "duties": counts.values().sum::<usize>(), "members": self.day.members, "holders": counts,
            "seconds": seconds, "entries": entries, "periods_sent": self.sent().len() - periods,
            "cpu_percent_a_planner": cpu }))
    }
}
