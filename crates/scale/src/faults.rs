//! What strikes a scale run, one after the other, while an operator goes on giving orders.

use crate::director::{Director, Times};
use crate::judge::{Aim, Seen};
use crate::orders::{give, Drawn, Kept};
use crate::parties::{get, Parties, CEILING, SERVERS_EACH};
use crate::track::Ask;
use rustix::process::Signal;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Between two orders while something is struck.
const PACE: Duration = Duration::from_millis(250);
/// Between two answers that the judge gets while something is struck.
const LOOK: Duration = Duration::from_millis(400);
/// All planners are restarted within.
const RESTART_MS: u64 = 10_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// A control machine that does not lead is killed, and started again.
    Machine,
    Leader,
    /// A region without a control machine is cut, and healed.
    Region,
    /// One with a control machine.
    RegionOfMachine,
    /// All planners are restarted within 10 s.
    Restart,
    /// A watcher that reads nothing.
    Deaf,
    /// A control machine is stopped, and goes on.
    Stopped,
}

pub const FAULTS: &[(&str, Fault)] = &[
    ("machine", Fault::Machine),
    ("leader", Fault::Leader),
    ("region", Fault::Region),
    ("region-of-machine", Fault::RegionOfMachine),
    ("restart", Fault::Restart),
    ("deaf", Fault::Deaf),
    ("stopped", Fault::Stopped),
];

/// What came of one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Struck {
    pub fault: Fault,
    pub who: String,
    /// From the strike until all planners watched and had what was kept last.
    pub seconds: f64,
    pub orders: usize,
    pub kept: usize,
    /// From kept to in force at those that could be heard, orders during the fault.
    pub in_force: Times,
    /// From the strike until planners that lost their watch had one again; of a restart from each one's own.
    pub again: Times,
    /// Watches at the machine that had most, over an even part.
    pub most_over_even: f64,
    /// From being heard again to having what was kept last, at those that were cut.
    pub caught: Option<Times>,
    /// From the healing until what had been kept by then was in force at all.
    pub healed: Option<Times>,
    /// Memory of all control machines, before and after, in KiB.
    pub control_kib: (f64, f64),
    /// Of the watcher that reads nothing: whether its machine ended it.
    pub ended: Option<bool>,
}

impl Struck {
    pub fn line(&self) -> String {
        format!(
            "{:?} ({}): {} of {} orders kept, in force p99 {:.0} ms, worst {:.0} ms; {} watch again, p99 {:.0} ms, worst {:.0} ms",
            self.fault, self.who, self.kept, self.orders, self.in_force.p99_ms, self.in_force.worst_ms,
            self.again.count, self.again.p99_ms, self.again.worst_ms
        )
    }

    pub fn aims(&self) -> Vec<Aim> {
        let whole = |times: &Times, value: f64| Some(value).filter(|_| times.count > 0 && times.missing == 0);
        let name = |what: &str| format!("{:?}: {what}", self.fault);
        let (force, again) = (&self.in_force, &self.again);
        let force = [
            Aim::new(name("in force p99"), "ms", 1_000.0, whole(force, force.p99_ms)),
            Aim::new(name("in force worst"), "ms", 5_000.0, whole(force, force.worst_ms)),
        ];
        let mut aims = Vec::new();
        match self.fault {
            Fault::Machine | Fault::Leader => {
                aims.extend(force);
                aims.push(Aim::new(name("all watch again"), "ms", 5_000.0, whole(again, again.worst_ms)));
                aims.push(Aim::new(name("most over even"), "times", 2.0, Some(self.most_over_even)));
            }
            Fault::Region | Fault::RegionOfMachine => {
                aims.extend(force);
                let caught = self.caught.as_ref().and_then(|times| whole(times, times.worst_ms));
                aims.push(Aim::new(name("in force once heard again"), "ms", 5_000.0, caught));
            }
            Fault::Restart => {
                aims.push(Aim::new(name("nine in ten watch"), "ms", 10_000.0, whole(again, again.p90_ms)));
            }
            Fault::Deaf | Fault::Stopped => aims.extend(force),
        }
        aims
    }
}

/// An operator that goes on until stopped.
struct Stream {
    over: Arc<AtomicBool>,
    kept: Arc<Mutex<Vec<Kept>>>,
    thread: std::thread::JoinHandle<Drawn>,
}

impl Stream {
    fn start(parties: &Parties, mut drawn: Drawn, machines: Vec<SocketAddr>) -> Stream {
        let (over, kept) = (Arc::new(AtomicBool::new(false)), Arc::<Mutex<Vec<Kept>>>::default());
        let (done, all, clock) = (over.clone(), kept.clone(), parties.clock);
        let thread = std::thread::spawn(move || {
            for nth in 0.. {
                if done.load(Ordering::SeqCst) {
                    break;
                }
                let (id, what) = drawn.draw();
                let one = give(&clock, &machines, nth, id, what);
                all.lock().unwrap_or_else(PoisonError::into_inner).push(one);
                std::thread::sleep(PACE);
            }
            drawn
        });
        Stream { over, kept, thread }
    }

    fn last(&self) -> Option<Kept> {
        let all = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        all.iter().rev().find(|one| one.place.is_some()).cloned()
    }

    fn end(self) -> Result<(Vec<Kept>, Drawn), String> {
        self.over.store(true, Ordering::SeqCst);
        let drawn = self.thread.join().map_err(|_| "an operator failed")?;
        let all = std::mem::take(&mut *self.kept.lock().unwrap_or_else(PoisonError::into_inner));
        Ok((all, drawn))
    }
}

impl Director<'_> {
    fn somebody_unheard(&self) -> bool {
        let told = self.seen.iter().rev().find_map(|seen| match seen {
            Seen::Answer { told, .. } => Some(told.unheard > 0),
            _ => None,
        });
        told == Some(true)
    }

    fn control_kib(&self) -> f64 {
        let used = self.parties.sampler.now();
        used.get(&crate::sample::Role::Control).map_or(0.0, |used| used.rss_kib)
    }

    /// Answers for the judge, until that time is over.
    fn answers_for(&mut self, stream: &Stream, over: Duration) -> Result<(), String> {
        let end = Instant::now() + over;
        for turn in 0.. {
            if let Some(place) = stream.last().and_then(|last| last.place) {
                self.ask_in_force(place, turn)?;
            }
            if Instant::now() > end {
                return Ok(());
            }
            std::thread::sleep(LOOK);
        }
        Ok(())
    }

    /// Who is struck of the control machines: not the leader, unless it is meant.
    fn victim(&self, fault: Fault) -> Result<usize, String> {
        let leader = self.parties.leader()?;
        let machines = self.parties.machines.len();
        Ok(match fault {
            Fault::Leader => leader,
            _ => (0..machines).rev().find(|at| *at != leader).unwrap_or(leader),
        })
    }

    /// # Errors
    /// A party has failed, or is not whole again in time.
    pub fn strike(&mut self, fault: Fault) -> Result<Struck, String> {
        self.bounded()?;
        self.say(&format!("{fault:?}"));
        let kib = self.control_kib();
        let at = self.victim(fault)?;
        let who = self.parties.machines[at].name.clone();
        // Whoever operates knows which machine does not answer.
        let others = self.parties.machines.iter().enumerate();
        let others = others.filter(|(nth, _)| *nth != at || fault == Fault::Deaf).map(|one| one.1.admin);
        let others: Vec<SocketAddr> = others.collect();
        let all_admins = self.parties.admins();
        let admins = if others.is_empty() { all_admins } else { others };
        let drawn = std::mem::replace(&mut self.drawn, Drawn::new(0, SERVERS_EACH));
        let stream = Stream::start(&self.parties, drawn, admins);
        std::thread::sleep(PACE);
        let (begin, since) = (Instant::now(), self.parties.clock.now().0);
        let mut struck = Struck {
            fault,
            who,
            seconds: 0.0,
            orders: 0,
            kept: 0,
            in_force: Times::default(),
            again: Times::default(),
            most_over_even: 0.0,
            caught: None,
            healed: None,
            control_kib: (kib, 0.0),
            ended: None,
        };
        let (mut except, mut healed, mut before) = (None, since, None);
        match fault {
            Fault::Machine | Fault::Leader => self.kill(&stream, at, since, &mut struck)?,
            Fault::Region | Fault::RegionOfMachine => {
                (except, healed) = self.cut(&stream, fault == Fault::RegionOfMachine, &mut struck)?;
                before = stream.last().filter(|last| last.answered <= healed).and_then(|last| last.place);
            }
            Fault::Restart => self.restart(&stream)?,
            Fault::Deaf => self.deafen(&stream, at, &mut struck)?,
            Fault::Stopped => self.stop(&stream, at)?,
        }
        let (all, drawn) = stream.end()?;
        self.drawn = drawn;
        let last = all.iter().filter_map(|one| one.place).max().unwrap_or(0);
        self.all_watch(last)?;
        struck.seconds = begin.elapsed().as_secs_f64();
        // A planner belongs to those that can be heard again from here on.
        self.all_heard_but(fault)?;
        struck.orders = all.len();
        struck.kept = all.iter().filter(|one| one.place.is_some()).count();
        struck.in_force = self.times(&all, except)?.0;
        let ask = if fault == Fault::Restart { Ask::Back { since } } else { Ask::Again { since } };
        let (again, open) = self.parties.crowds.outages(&ask)?;
        struck.again = Times::of(&again, open);
        if except.is_some() {
            let (caught, open) = self.parties.crowds.outages(&Ask::Caught { place: last, since: healed })?;
            struck.caught = Some(Times::of(&caught, open));
            if let Some(place) = before {
                let (all, lost) = self.parties.crowds.when(place, healed, None)?;
                struck.healed = Some(Times::of(&all, lost));
            }
        }
        struck.control_kib.1 = self.control_kib();
        self.remember(&all);
        Ok(struck)
    }

    fn all_heard_but(&mut self, fault: Fault) -> Result<(), String> {
        match fault {
            // Its row stays, unheard, until it is told to leave.
            Fault::Deaf => Ok(()),
            _ => self.all_heard(),
        }
    }

    fn kill(&mut self, stream: &Stream, at: usize, since: u64, struck: &mut Struck) -> Result<(), String> {
        self.parties.kill_machine(at);
        self.answers_for(stream, self.run.hold.min(Duration::from_secs(6)))?;
        // All watch again without it.
        let end = Instant::now() + CEILING;
        loop {
            let told = self.parties.crowds.state()?;
            let (_, open) = self.parties.crowds.outages(&Ask::Again { since })?;
            if told.watching == told.planners && open == 0 {
                let even = told.planners as f64 / (self.parties.machines.len() - 1).max(1) as f64;
                let most = told.by_machine.values().max().copied().unwrap_or(0);
                struck.most_over_even = most as f64 / even.max(1e-9);
                break;
            }
            if Instant::now() > end {
                return Err(format!("{} of {} watch after the kill", told.watching, told.planners));
            }
            std::thread::sleep(LOOK);
        }
        self.parties.start_machine(at)?;
        self.parties.wait_fresh(at)
    }

    /// Which region was cut, and when that healed.
    fn cut(
        &mut self,
        stream: &Stream,
        of_machine: bool,
        struck: &mut Struck,
    ) -> Result<(Option<usize>, u64), String> {
        let size = self.run.size;
        let region = match of_machine {
            true if size.regions > 1 => (0..size.regions.min(size.control)).next_back(),
            true => None,
            false => (size.control..size.regions).next_back().or_else(|| (1..size.regions).next_back()),
        };
        let region = region.ok_or("there is one region only: nothing to cut from anything")?;
        struck.who = format!("region {region}");
        let inside = |at: &usize| at % size.regions == region;
        let (ours, others): (Vec<usize>, Vec<usize>) = (0..size.control).partition(inside);
        let watches =
            |some: &[usize]| some.iter().map(|at| self.parties.machines[*at].watches).collect::<Vec<_>>();
        let (away, home) = (watches(&others), watches(&ours));
        for (a, b) in ours.iter().flat_map(|a| others.iter().map(move |b| (a, b))) {
            self.parties.say(format!("cut {a} {b}"));
            self.parties.say(format!("cut {b} {a}"));
        }
        let machines = if ours.is_empty() { None } else { Some(away) };
        self.parties.crowds.ask(&Ask::Cut { region, machines })?;
        // Real planners' watches are cut in their relay.
        for nth in 0..size.real {
            let away = (0..size.control).filter(|at| inside(&nth) != inside(at));
            away.for_each(|at| self.parties.say_watches(format!("cut {nth} {at}")));
        }
        if !ours.is_empty() {
            for other in (0..size.regions).filter(|other| *other != region) {
                self.parties.crowds.ask(&Ask::Cut { region: other, machines: Some(home.clone()) })?;
            }
        }
        self.answers_for(stream, self.run.hold)?;
        // Whoever is cut has to be seen as such, however long that takes here.
        let end = Instant::now() + CEILING;
        while !self.somebody_unheard() {
            self.answers_for(stream, LOOK)?;
            if Instant::now() > end {
                return Err("no machine tells that the cut region is not heard".into());
            }
        }
        let healed = self.parties.clock.now().0;
        self.parties.say("open-all".into());
        self.parties.say_watches("open-all".into());
        self.parties.crowds.ask(&Ask::Heal)?;
        Ok((Some(region), healed))
    }

    /// Hollow ones each at a moment of its own, real ones one after the other over the same time.
    fn restart(&mut self, stream: &Stream) -> Result<(), String> {
        self.parties.crowds.ask(&Ask::Restart { within_ms: RESTART_MS })?;
        let begin = Instant::now();
        let (real, whole) = (self.run.size.real, Duration::from_millis(RESTART_MS));
        for nth in 0..real {
            let due = whole.mul_f64(nth as f64 / real as f64);
            self.answers_for(stream, due.saturating_sub(begin.elapsed()))?;
            self.parties.kill_real(nth);
            self.parties.start_one_real(nth)?;
        }
        self.answers_for(stream, whole.saturating_sub(begin.elapsed()))
    }

    fn deafen(&mut self, stream: &Stream, at: usize, struck: &mut Struck) -> Result<(), String> {
        let (watches, admin) = (self.parties.machines[at].watches, self.parties.machines[at].admin);
        self.parties.deaf("dial", watches);
        self.answers_for(stream, self.run.hold)?;
        let view = get(admin, "/watchers");
        let unheard = view["unheard"].as_array().cloned().unwrap_or_default();
        struck.ended = Some(unheard.iter().any(|one| one["planner"] == crate::deaf::NAME));
        self.parties.deaf("leave", watches);
        Ok(())
    }

    fn stop(&mut self, stream: &Stream, at: usize) -> Result<(), String> {
        self.parties.machines[at].signal(Signal::STOP);
        let came = self.answers_for(stream, self.run.hold);
        self.parties.machines[at].signal(Signal::CONT);
        came
    }
}
