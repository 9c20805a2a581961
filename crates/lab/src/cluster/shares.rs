//! Parts of a budget while members are cut off, killed, stopped and wiped: what each says that it may use, asked for all the time,
//! and what of it all together could still cause.
//!
//! What a planner may use at a moment outlasts that moment: its proxies go on by its tables, whether it lives or not. So each
//! answer counts from when it came until `lingers` after it was asked for, for the disk that gave it.

use super::judge::Breach;
use super::{name, record_file, Director, Shared, CEILING};
use crate::ask::Client;
use pewtergap_reactor::Clock;
use pewtergap_shares::TOTAL_UNITS;
use pewtergap_time::{Moment, Span};
use rustix::process::Signal;
use serde_json::Value;
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Servers are cold for so long on such a day, and drains have so long a grace: parts linger for both.
pub const COLD_FOR: Span = Span::millis(1_200);
pub const GRACE: Span = Span::millis(800);
pub const HOLDS_MS: u64 = 1_200;
/// Between two questions.
const LOOK: Duration = Duration::from_millis(15);
/// So much of the whole is in use once things have settled; and with one of three gone, whose base waits for it.
const SETTLED: u64 = TOTAL_UNITS * 95 / 100;
const ONE_GONE: u64 = TOTAL_UNITS * 80 / 100;

pub fn lingers() -> Span {
    COLD_FOR + GRACE
}

pub fn settings() -> String {
    format!("sharing = sharing(every = \"100ms\", fresh = \"1s\", holds = \"{HOLDS_MS}ms\")")
}

/// What a member said: by which disk, how much, asked for and answered when.
#[derive(Clone, Debug)]
pub struct Said {
    pub disk: String,
    pub units: u64,
    pub called: Moment,
    pub returned: Moment,
}

pub type Sayings = Arc<Mutex<Vec<Said>>>;

/// Asks one member all the time.
pub(super) fn listen(shared: Arc<Shared>, clock: Clock, at: usize, said: Sayings) -> JoinHandle<()> {
    std::thread::spawn(move || {
        let mut client: Option<(std::net::SocketAddr, Client)> = None;
        while !shared.over.load(Ordering::SeqCst) {
            std::thread::sleep(LOOK);
            let Some(admin) = shared.admin.lock().ok().and_then(|admin| admin[at]) else { continue };
            if client.as_ref().is_none_or(|client| client.0 != admin) {
                client = Some((admin, Client::new(admin)));
            }
            let Some((_, open)) = &mut client else { continue };
            let called = clock.now();
            let answer = open.call("GET", "/shared", None);
            let returned = clock.now();
            let Ok((200, text)) = answer else {
                client = None;
                continue;
            };
            let view: Value = serde_json::from_str(&text).unwrap_or_default();
            let disk = view["disk"].as_str().unwrap_or_default().to_string();
            let (Some(units), false) = (view["cold"]["in_force"].as_u64(), disk.is_empty()) else { continue };
            if let Ok(mut said) = said.lock() {
                said.push(Said { disk, units, called, returned });
            }
        }
    })
}

/// At no moment may all that was said and still lingers come to more than the whole.
pub fn judge_shares(said: &[Said], lingers: Span) -> Vec<Breach> {
    // Each from when it had come, so that what is added up was all so at one moment.
    let mut steps: Vec<(Moment, bool, usize)> = said
        .iter()
        .enumerate()
        .flat_map(|(at, one)| [(one.returned, false, at), (one.called + lingers, true, at)])
        .filter(|step| said[step.2].returned < said[step.2].called + lingers)
        .collect();
    // What ends at a moment ends before what begins there.
    steps.sort_by_key(|step| (step.0, !step.1));
    let mut open: BTreeMap<&str, BTreeMap<u64, usize>> = BTreeMap::new();
    for (moment, ends, at) in steps {
        let one = &said[at];
        let counts = open.entry(&one.disk).or_default();
        if ends {
            if let Some(count) = counts.get_mut(&one.units) {
                *count -= 1;
                if *count == 0 {
                    counts.remove(&one.units);
                }
            }
            continue;
        }
        *counts.entry(one.units).or_default() += 1;
        let most = |counts: &BTreeMap<u64, usize>| counts.keys().next_back().copied().unwrap_or(0);
        let sum: u64 = open.values().map(most).sum();
        if sum > TOTAL_UNITS {
            let held: Vec<String> = open
                .iter()
                .filter(|o| !o.1.is_empty())
                .map(|(disk, counts)| format!("{disk} {}", most(counts)))
                .collect();
            let what = format!(
                "{sum} of {TOTAL_UNITS} could be used at {}: {}",
                moment.0 / 1_000_000,
                held.join(", ")
            );
            return vec![Breach { rule: "shares", what }];
        }
    }
    Vec::new()
}

impl Director<'_> {
    /// One member is of settings that share nothing: it is counted as unheard and loses no link by it; then it shares too.
    pub fn shares_later(&mut self) -> Result<Vec<u64>, String> {
        let unheard = |director: &Self| director.view(0, "/shared")["joined"]["unheard"].as_u64();
        self.until("the one that shares nothing to be unheard", |director| unheard(director) == Some(1))?;
        // Words that it does not know would have it close their links. For how long the others hear each other's counts is no
        // matter here: on a busy machine these were once older than a second.
        std::thread::sleep(Duration::from_secs(1));
        self.until("the others to hear each other", |director| unheard(director) == Some(1))?;
        let log = std::fs::read_to_string(self.day.dir.join(format!("{}.log", name(2)))).unwrap_or_default();
        if log.contains("member_closed") {
            return Err(format!("{} closed a link", name(2)));
        }
        let view = self.view(0, "/shared");
        let told =
            view["members"].as_array().and_then(|all| all.iter().find(|one| one["name"] == name(2)).cloned());
        if told.as_ref().is_none_or(|told| !told["counts_ms"].is_null()) {
            return Err(format!("{} told of counts: {told:?}", name(2)));
        }
        // Parts move while one leads that shares. What the others may use is theirs; the third's base is kept for it.
        while self.leader_admin()?.0 == 2 {
            self.end(2, Signal::TERM);
            self.start(2)?;
            self.wait_up(2)?;
            self.wait_all_fresh()?;
        }
        self.until_shared("two of three that share", TOTAL_UNITS * 80 / 100)?;
        self.shares_nothing = None;
        self.end(2, Signal::TERM);
        self.start(2)?;
        self.wait_up(2)?;
        self.wait_all_fresh()?;
        self.until("all to be heard", |director| unheard(director) == Some(0))?;
        Ok(vec![self.until_shared("all share", SETTLED)?])
    }

    fn said_last(&self) -> BTreeMap<String, Said> {
        let said = self.said.lock().map(|said| said.clone()).unwrap_or_default();
        let recent = self.clock.now() - Span::millis(300);
        said.into_iter().filter(|one| one.returned > recent).map(|one| (one.disk.clone(), one)).collect()
    }

    /// Until those that answer may use most of the whole; how long it took.
    pub fn until_shared(&mut self, what: &str, least: u64) -> Result<u64, String> {
        let begin = Instant::now();
        loop {
            let last = self.said_last();
            if last.values().map(|one| one.units).sum::<u64>() >= least {
                return Ok(begin.elapsed().as_millis() as u64);
            }
            if begin.elapsed() > CEILING {
                return Err(format!("{what}: no more than {last:?} is in use"));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    fn apart(&mut self, one: usize) {
        for other in (0..self.belong).filter(|other| *other != one) {
            self.tell(format!("cut {one} {other}"));
            self.tell(format!("cut {other} {one}"));
        }
    }

    /// The hard cases of shared budgets, one after the other; milliseconds until most of the whole is in use again.
    pub fn shares(&mut self) -> Result<Vec<u64>, String> {
        let mut took = vec![self.until_shared("at first", SETTLED)?];
        // Cut off with its part: it falls back by its own clock, and the others get what followed demand only then.
        self.apart(0);
        took.push(self.until_shared("one cut off", SETTLED)?);
        std::thread::sleep(Duration::from_millis(HOLDS_MS));
        took.push(self.until_shared("what the one cut off had", SETTLED)?);
        self.tell("open-all".into());
        self.wait_all_fresh()?;
        took.push(self.until_shared("the cut healed", SETTLED)?);
        // A cut that comes and goes faster than anybody notices.
        for _ in 0..6 {
            self.apart(1);
            self.rest(50, 250);
            self.tell("open-all".into());
            self.rest(20, 120);
        }
        self.wait_all_fresh()?;
        took.push(self.until_shared("a cut that came and went", SETTLED)?);
        // In three parts: nobody hears anybody, each goes on with its base.
        (0..self.belong).for_each(|one| self.apart(one));
        std::thread::sleep(Duration::from_millis(2 * HOLDS_MS));
        self.tell("open-all".into());
        self.wait_all_fresh()?;
        took.push(self.until_shared("three parts", SETTLED)?);
        // Killed for longer than anything of it lasts, its part goes to the others; back, it gets its due again.
        let leader = self.leader_admin()?.0;
        self.end(leader, Signal::KILL);
        self.until_kept()?;
        took.push(self.until_shared("the leader killed", ONE_GONE)?);
        self.start(leader)?;
        self.wait_up(leader)?;
        self.wait_all_fresh()?;
        took.push(self.until_shared("the leader back", SETTLED)?);
        // Killed again as parts are on their way to it.
        self.end(leader, Signal::KILL);
        self.rest(50, 400);
        self.start(leader)?;
        self.wait_up(leader)?;
        self.wait_all_fresh()?;
        took.push(self.until_shared("killed with parts on their way", SETTLED)?);
        // Stopped for long, it wakes with an old part.
        let other = (leader + 1) % self.belong;
        self.signal(other, Signal::STOP);
        std::thread::sleep(Duration::from_millis(4 * HOLDS_MS));
        self.signal(other, Signal::CONT);
        self.wait_all_fresh()?;
        took.push(self.until_shared("one that woke", SETTLED)?);
        // Wiped, it is another; what its old disk had is not given away while it could still be in use.
        self.end(other, Signal::KILL);
        std::fs::remove_file(record_file(&self.day.dir, other)).map_err(|e| e.to_string())?;
        self.start(other)?;
        self.wait_up(other)?;
        self.wait_all_fresh()?;
        took.push(self.until_shared("one wiped", SETTLED)?);
        for at in 0..self.belong {
            self.end(at, Signal::TERM);
            self.start(at)?;
            self.wait_up(at)?;
            self.wait_all_fresh()?;
        }
        took.push(self.until_shared("all restarted", SETTLED)?);
        let least = (0..self.belong).map(|at| (name(at), self.view(at, "/shared"))).find(|(_, view)| {
            let (value, least) = (view["joined"]["value"].as_f64(), view["joined"]["least"].as_f64());
            value != Some(0.0) || least != Some(0.0)
        });
        least.map_or(Ok(took), |(name, view)| {
            Err(format!("{name} counts proxies where there are none: {view}"))
        })
    }
}
