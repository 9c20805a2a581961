//! Plays a scale run of one size: brings all up, measures at rest and under changes, strikes, measures again, judges.

use crate::faults::{Fault, Struck};
use crate::judge::{judge, plant_unheard, Aim, Breach, InForce, Planted, Seen};
use crate::orders::{burst, Drawn, Kept, What};
use crate::parties::{get, Parties, CEILING, SERVERS_EACH};
use crate::reckon::{Need, Size};
use crate::sample::{Role, Used};
use crate::track::{Answer, Ask, Spread, Told};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Changes of the burst, all within one second; and those that are given one after the other.
const BURST: usize = 100;
const SINGLES: usize = 10;
const BETWEEN: Duration = Duration::from_millis(500);
const LOOK: Duration = Duration::from_millis(20);

/// One run.
pub struct Run<'a> {
    pub program: &'a Path,
    /// How it is called in what is told.
    pub build: &'a str,
    pub dir: PathBuf,
    pub size: Size,
    pub need: Need,
    /// Bytes that all processes together may use.
    pub memory: u64,
    pub seed: u64,
    pub faults: Vec<Fault>,
    /// At rest, and how long a fault stands.
    pub rest: Duration,
    pub hold: Duration,
    pub planted: Option<Planted>,
    pub progress: &'a (dyn Fn(&str) + Sync),
}

/// p50, p99 and worst in milliseconds, of so many.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Times {
    pub count: u64,
    pub p50_ms: f64,
    pub p90_ms: f64,
    pub p99_ms: f64,
    pub worst_ms: f64,
    /// Did not come in time, or is no longer known.
    pub missing: u64,
}

impl Times {
    pub fn of(spread: &Spread, missing: u64) -> Times {
        let at = |part| spread.quantile_ms(part);
        Times {
            count: spread.count(),
            p50_ms: at(0.5),
            p90_ms: at(0.9),
            p99_ms: at(0.99),
            worst_ms: spread.worst_ms(),
            missing,
        }
    }
}

/// What a stretch of time cost. Bytes are those of the hollow planners' links, by their own count.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    pub seconds: f64,
    /// Bytes a second and planner, to it and from it.
    pub down: f64,
    pub up: f64,
    /// The same of real planners, as counted in the relay that their watches pass.
    pub real_down: f64,
    pub real_up: f64,
    /// Bytes a second on the members' links, sent by one control machine in the mean.
    #[serde(default)]
    pub members: f64,
    /// Milliseconds of a processor a second: all control machines, by planner; the one planner itself.
    pub control_cpu: f64,
    pub planner_cpu: f64,
    /// Of one control machine in the mean.
    pub machine_cpu: f64,
}

impl Load {
    /// Of so much a second, all that this stretch had.
    pub fn whole(&self, a_second: f64) -> f64 {
        a_second * self.seconds
    }
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Changes {
    pub orders: usize,
    pub kept: usize,
    /// From asked to answered as kept, at the operator.
    pub answered: Times,
    /// From answered as kept to in force, over all orders and hollow planners.
    pub in_force: Times,
    /// The same from when the order was asked for.
    pub from_asked: Times,
    /// From answered to told by a machine that it is in force at all heard planners.
    pub told: Times,
    pub load: Load,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Came {
    pub size: Size,
    pub need: Need,
    pub seed: u64,
    pub build: String,
    /// Until all machines gave fresh reads, and until all planners watched, in seconds.
    pub machines_s: f64,
    pub planners_s: f64,
    pub rest: Load,
    pub burst: Changes,
    pub singles: Changes,
    pub faults: Vec<Struck>,
    pub used: BTreeMap<Role, Used>,
    pub peak_mib: u64,
    /// Bytes of keys and values: in the mean, and at the planner that has most.
    pub state: (f64, u64),
    pub lost_why: BTreeMap<String, u64>,
    pub answers: usize,
    pub breaches: Vec<Breach>,
    pub aims: Vec<Aim>,
}

/// A moment of a run: what planners tell, what processes have used, what passed at real planners and
/// between control machines.
type Mark = (Instant, Told, BTreeMap<Role, Used>, [u64; 2], u64);

/// The run while it is played.
pub struct Director<'a> {
    pub run: &'a Run<'a>,
    pub parties: Parties<'a>,
    pub drawn: Drawn,
    pub seen: Vec<Seen>,
    /// The last word on each server's weight; none: it was asked for, and may be kept or not.
    weights: BTreeMap<String, (u64, Option<f64>)>,
    begin: Instant,
}

pub fn play(run: &Run) -> Result<Came, String> {
    let begin = Instant::now();
    let _ = std::fs::remove_dir_all(&run.dir);
    let size = run.size;
    let parties = Parties::start(run.program, run.dir.clone(), size, run.memory)?;
    let machines_s = begin.elapsed().as_secs_f64();
    let drawn = Drawn::new(run.seed, size.planners * SERVERS_EACH);
    let mut director = Director { run, parties, drawn, seen: Vec::new(), weights: BTreeMap::new(), begin };
    director.say(&format!("{} control machines agree", size.control));
    let before = Instant::now();
    director.parties.start_hollow(run.seed)?;
    director.parties.start_real()?;
    director.all_watch(0)?;
    let planners_s = before.elapsed().as_secs_f64();
    director.say(&format!("{} planners watch, {} of them real", size.planners, size.real));
    director.all_heard()?;
    director.seen.push(Seen::Belong { planners: size.planners as u64 });

    let rest = director.load(run.rest)?;
    director.say(&format!("at rest: {:.0} B/s down, {:.0} up a planner", rest.down, rest.up));
    let burst = director.changes(BURST, Duration::from_secs(1))?;
    director.say(&format!("{BURST} changes in a second: in force p99 {:.0} ms", burst.in_force.p99_ms));
    let singles = director.singles()?;
    director.say(&format!("{SINGLES} changes: in force p99 {:.1} ms", singles.in_force.p99_ms));
    let used = director.parties.sampler.now();
    let mut faults = Vec::new();
    for fault in &run.faults {
        faults.push(director.strike(*fault)?);
        let struck = faults.last().map(|struck| struck.line()).unwrap_or_default();
        director.say(&struck);
    }
    if run.planted == Some(Planted::TakenBack) {
        director.parties.crowds.ask(&Ask::PlantFall { by: 1 })?;
    }
    director.look()?;
    let told = director.parties.crowds.state()?;
    director.seen.push(Seen::Fell { times: told.falls, what: told.fell.clone().unwrap_or_default() });
    if run.planted == Some(Planted::UnheardCounted) {
        plant_unheard(&mut director.seen);
    }
    let breaches = judge(&director.seen);
    let answers = director.seen.iter().filter(|seen| matches!(seen, Seen::Answer { .. })).count();
    let mut came = Came {
        size,
        need: run.need,
        seed: run.seed,
        build: run.build.to_string(),
        machines_s,
        planners_s,
        rest,
        burst,
        singles,
        faults,
        used,
        peak_mib: director.parties.sampler.peak_kib() / 1024,
        state: (told.state as f64 / told.planners.max(1) as f64, told.most_state),
        lost_why: told.lost_why,
        answers,
        breaches,
        aims: Vec::new(),
    };
    came.aims = aims(&came);
    Ok(came)
}

fn aims(came: &Came) -> Vec<Aim> {
    let whole = |times: &Times| Some(times.worst_ms).filter(|_| times.count > 0 && times.missing == 0);
    let p99 = |times: &Times| Some(times.p99_ms).filter(|_| times.count > 0 && times.missing == 0);
    let hollow = came.size.hollow() > 0;
    let some = |value: f64| Some(value).filter(|_| hollow);
    let rest = &came.rest;
    let mut aims = vec![
        Aim::new("at rest, bytes a planner", "B/s", 1_024.0, some(rest.down + rest.up)),
        Aim::new(
            "at rest, control and planner",
            "ms of a core a second",
            2.0,
            some(rest.control_cpu + rest.planner_cpu),
        ),
        Aim::new("a planner's keys and values", "B", 4.0 * 1_048_576.0, some(came.state.1 as f64)),
        Aim::new("100 changes in a second, in force p99", "ms", 1_000.0, p99(&came.burst.in_force)),
        Aim::new("100 changes in a second, in force worst", "ms", 5_000.0, whole(&came.burst.in_force)),
    ];
    came.faults.iter().for_each(|struck| aims.extend(struck.aims()));
    aims
}

impl Director<'_> {
    pub fn say(&self, what: &str) {
        (self.run.progress)(&format!("{:6.1} s  {what}", self.begin.elapsed().as_secs_f64()));
    }

    /// # Errors
    /// The run uses more than it may.
    pub fn bounded(&self) -> Result<(), String> {
        let (kib, processes) = (self.parties.sampler.peak_kib(), self.parties.sampler.processes());
        if kib * 1024 > self.run.memory {
            let limit = self.run.memory >> 20;
            return Err(format!("ended: {} MiB are used, {limit} MiB are half of the machine's", kib >> 10));
        }
        if processes > crate::reckon::MOST_PROCESSES {
            return Err(format!("ended: {processes} processes"));
        }
        Ok(())
    }

    /// Until every planner watches and is at this place.
    ///
    /// # Errors
    /// Some do not in time.
    pub fn all_watch(&mut self, place: u64) -> Result<(), String> {
        let end = Instant::now() + CEILING;
        loop {
            self.bounded()?;
            let told = self.parties.crowds.state()?;
            let real = self.parties.real_places();
            let up = real.iter().filter(|real| real.1.is_some() && real.0 >= place).count();
            if told.watching == told.planners && told.lowest >= place && up == real.len() {
                return Ok(());
            }
            if Instant::now() > end {
                let Told { watching, planners, lowest, lost_why, .. } = told;
                return Err(format!(
                    "after {} s {watching} of {planners} hollow planners watch, the lowest at {lowest} of {place}, \
                     {up} of {} real ones; lost: {lost_why:?}",
                    CEILING.as_secs(),
                    real.len()
                ));
            }
            std::thread::sleep(LOOK);
        }
    }

    /// Until each machine expects all planners and has heard them.
    ///
    /// # Errors
    /// One does not in time.
    pub fn all_heard(&mut self) -> Result<(), String> {
        let end = Instant::now() + CEILING;
        for at in 0..self.parties.machines.len() {
            loop {
                let view = get(self.parties.machines[at].admin, "/watchers?place=0");
                let told = in_force(&view);
                if told.expected >= self.run.size.planners as u64 && told.unheard == 0 {
                    break;
                }
                if Instant::now() > end {
                    return Err(format!("{} has not heard all: {view}", self.parties.machines[at].name));
                }
                std::thread::sleep(LOOK);
            }
        }
        Ok(())
    }

    /// What passes and is used over such a stretch, from here on.
    ///
    /// # Errors
    /// A process has ended.
    pub fn load(&mut self, over: Duration) -> Result<Load, String> {
        let before = self.mark()?;
        std::thread::sleep(over);
        self.since(&before)
    }

    fn mark(&mut self) -> Result<Mark, String> {
        let (told, passed) = (self.parties.crowds.state()?, self.parties.passed());
        Ok((Instant::now(), told, self.parties.sampler.now(), passed, self.parties.between()))
    }

    fn since(&mut self, before: &Mark) -> Result<Load, String> {
        let after = self.mark()?;
        let seconds = after.0.duration_since(before.0).as_secs_f64();
        let real = (self.run.size.real as f64).max(1.0);
        let passed = |way: usize| (after.3[way] - before.3[way]) as f64 / seconds / real;
        let cpu = |role: Role| {
            let of = |used: &BTreeMap<Role, Used>| used.get(&role).map_or(0.0, |used| used.cpu_ms);
            ((of(&after.2) - of(&before.2)) / seconds).max(0.0)
        };
        let hollow = (after.1.planners as f64).max(1.0);
        let bytes = |after: u64, before: u64| after.saturating_sub(before) as f64 / seconds / hollow;
        let control = cpu(Role::Control);
        Ok(Load {
            seconds,
            down: bytes(after.1.came, before.1.came),
            up: bytes(after.1.went, before.1.went),
            real_down: passed(1),
            real_up: passed(0),
            members: (after.4 - before.4) as f64 / seconds / self.run.size.control as f64,
            control_cpu: control / self.run.size.planners as f64,
            planner_cpu: cpu(Role::Hollow) / hollow,
            machine_cpu: control / self.run.size.control as f64,
        })
    }

    /// What machines said as kept, and what they did not.
    pub fn remember(&mut self, all: &[Kept]) {
        for one in all {
            let What::Weight(server, weight) = &one.what else { continue };
            match one.place {
                Some(place) => {
                    let known = self.weights.entry(server.clone()).or_insert((0, None));
                    if known.0 <= place {
                        *known = (place, Some(*weight));
                    }
                }
                // It may be kept yet: nothing can be said of this server any more.
                None => drop(self.weights.insert(server.clone(), (u64::MAX, None))),
            }
        }
    }

    /// Answers to an operator until a machine says that all who are heard have it; the time since the order was kept.
    ///
    /// # Errors
    /// A process has ended.
    pub fn wait_in_force(&mut self, order: &Kept) -> Result<Option<Duration>, String> {
        let Some(place) = order.place else { return Ok(None) };
        let end = Instant::now() + CEILING;
        for turn in 0.. {
            let done = self.ask_in_force(place, turn)?;
            if done.is_some_and(|(done, _)| done) {
                let took = done.map_or(0, |done| done.1).saturating_sub(order.answered);
                return Ok(Some(Duration::from_nanos(took)));
            }
            if Instant::now() > end {
                return Ok(None);
            }
            std::thread::sleep(LOOK);
        }
        Ok(None)
    }

    /// One answer, kept for the judge: whether all heard ones have it, and when that was told.
    ///
    /// # Errors
    /// A process has ended.
    pub fn ask_in_force(&mut self, place: u64, turn: usize) -> Result<Option<(bool, u64)>, String> {
        let admins = self.parties.admins();
        let view = get(admins[turn % admins.len()], &format!("/watchers?place={place}"));
        let returned = self.parties.clock.now().0;
        if view["expected"].is_null() {
            return Ok(None);
        }
        let told = in_force(&view);
        let (count, forgotten) = self.parties.crowds.by(place, returned)?;
        let may = self.parties.real_past(place);
        let done = told.done();
        self.seen.push(Seen::Answer { place, returned, told, had: count + forgotten, may });
        Ok(Some((done, returned)))
    }

    /// From kept to in force, over orders and planners but those of a region.
    ///
    /// # Errors
    /// A process has ended.
    pub fn times(&mut self, all: &[Kept], except: Option<usize>) -> Result<(Times, Times), String> {
        let (mut kept, mut asked, mut lost) = (Spread::default(), Spread::default(), 0);
        for one in all {
            let Some(place) = one.place else { continue };
            let (spread, missing) = self.parties.crowds.when(place, one.answered, except)?;
            kept.add(&spread);
            lost += missing;
            asked.add(&self.parties.crowds.when(place, one.called, except)?.0);
        }
        Ok((Times::of(&kept, lost), Times::of(&asked, lost)))
    }

    fn changes(&mut self, count: usize, over: Duration) -> Result<Changes, String> {
        let before = self.mark()?;
        let admins = self.parties.admins();
        let all = burst(&self.parties.clock, &admins, &mut self.drawn, count, over);
        let last = all.iter().max_by_key(|kept| kept.place).cloned();
        let told = match &last {
            Some(last) => self.wait_in_force(last)?,
            None => None,
        };
        // A second at least, whatever it took to be in force.
        std::thread::sleep(over.saturating_sub(before.0.elapsed()));
        let load = self.since(&before)?;
        let told = told.into_iter().collect::<Vec<_>>();
        self.came_of(&all, &told, load)
    }

    fn singles(&mut self) -> Result<Changes, String> {
        let before = self.mark()?;
        let (mut all, mut told) = (Vec::new(), Vec::new());
        for nth in 0..SINGLES {
            std::thread::sleep(BETWEEN);
            let admins = self.parties.admins();
            let (id, what) = self.drawn.draw();
            let kept = crate::orders::give(&self.parties.clock, &admins, nth, id, what);
            told.extend(self.wait_in_force(&kept)?);
            all.push(kept);
        }
        let load = self.since(&before)?;
        self.came_of(&all, &told, load)
    }

    fn came_of(&mut self, all: &[Kept], told: &[Duration], load: Load) -> Result<Changes, String> {
        self.remember(all);
        let span = |nanos: u64| pewtergap_time::Span(nanos);
        let kept: Vec<&Kept> = all.iter().filter(|one| one.place.is_some()).collect();
        let answered = Spread::of(kept.iter().map(|one| span(one.answered.saturating_sub(one.called))));
        let missing = (all.len() - kept.len()) as u64;
        let told = Spread::of(told.iter().map(|one| span(one.as_nanos() as u64)));
        let (in_force, from_asked) = self.times(all, None)?;
        Ok(Changes {
            orders: all.len(),
            kept: kept.len(),
            answered: Times::of(&answered, missing),
            in_force,
            from_asked,
            told: Times::of(&told, 0),
            load,
        })
    }

    /// All is whole: what was kept of the servers' weights is looked for at every hollow planner.
    fn look(&mut self) -> Result<(), String> {
        let last = self.weights.values().filter(|one| one.1.is_some()).map(|one| one.0).max().unwrap_or(0);
        self.all_watch(last)?;
        let known = self.weights.iter().filter_map(|(server, one)| Some((server.clone(), one.1?)));
        let weights = known.collect();
        for answer in self.parties.crowds.ask(&Ask::Holds { weights })? {
            if let Answer::Holds { checked, wrong, first } = answer {
                self.seen.push(Seen::Looked { checked, wrong, first });
            }
        }
        Ok(())
    }
}

fn in_force(view: &Value) -> InForce {
    let number = |name: &str| view[name].as_u64().unwrap_or(0);
    InForce {
        expected: number("expected"),
        at_or_past: number("at_or_past"),
        unheard: number("unheard_count"),
    }
}
