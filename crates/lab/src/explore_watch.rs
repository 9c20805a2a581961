//! The tier under virtual time: control machines and planners of the product in one thread, from a seed. Their driver,
//! network, clocks and disks are simulated, and so is the log that the voters keep: each machine applies it at its own lag,
//! and one that starts again knows only some place of it. Agreement itself is explored in [`crate::explore`].
//!
//! Links are cut one way and both, machines killed, stopped, paused and made to lag, planners killed, paused, robbed of
//! their disks, told to leave, all restarted at once; scopes change, records burst, tombstones are few. Rules: `rules`.

mod nodes;
mod rules;

use nodes::{hold, scope_of, Control, ControlNode, Log, Planner, PlannerHome, PlannerNode, KEPT};
use pewtergap_time::{Moment, Span};
use pewtergap_virtual::{Nature, Place, World};
use pewtergap_watch::messages::{RosterUpdate, MAX_CHUNKS_IN_FLIGHT};
use pewtergap_watch::{Scope, WatchConfig, WatchServerStats};
use rules::Truth;
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

const BEGIN: Moment = Moment(1_700_000_000_000_000_000);
const KEYS: usize = 36;
const RECORD: u64 = 41;

/// What the search has to find: each is put into the world or a stand-in of it, never into the product's machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// A planner that changes machines takes whatever it is told there.
    TakenBack,
    /// A machine's feed leaves out that keys went where it puts several places together.
    LostDelete,
    /// What machines tell each other of planners that are not heard is left out on the way.
    CountedUnheard,
    /// A machine says that it is fresh without having applied what was kept.
    YoungAge,
}

pub const PLANTED: &[(&str, Planted)] = &[
    ("taken-back", Planted::TakenBack),
    ("lost-delete", Planted::LostDelete),
    ("counted-unheard", Planted::CountedUnheard),
    ("young-age", Planted::YoungAge),
];

/// What a seed came to.
#[derive(Clone, Debug, Serialize)]
pub struct Explored {
    pub seed: u64,
    pub machines: usize,
    pub planners: usize,
    pub steps: u64,
    pub virtual_s: f64,
    pub kept: u64,
    /// Watches that came to stand, pieces told, and snapshots that had to wait.
    pub watches: u64,
    pub pieces: u64,
    pub refused: BTreeMap<String, u64>,
    /// Planners in force at each check, and ages told.
    pub counted: u64,
    pub ages: u64,
    pub troubles: Vec<String>,
    /// Rule, step, virtual seconds, what.
    pub broken: Vec<(String, u64, f64, String)>,
    pub trace: u64,
}

impl Explored {
    /// What a machine did until it ended.
    fn tally(&mut self, view: &WatchServerStats) {
        self.pieces += view.chunks_sent;
        for (reason, count) in &view.rejections {
            *self.refused.entry(format!("{reason:?}")).or_default() += count;
        }
    }
}

/// Words of one machine to another; a cut holds them.
#[derive(Default)]
struct Road {
    words: VecDeque<(Moment, RosterUpdate)>,
    held_since: Option<Moment>,
}

struct Search {
    world: World,
    log: Arc<Mutex<Log>>,
    machines: Vec<(Place, Arc<Mutex<Control>>)>,
    planners: Vec<(Place, Arc<Mutex<Planner>>)>,
    truths: Vec<Truth>,
    roads: BTreeMap<(usize, usize), Road>,
    cuts: Vec<(Place, Place)>,
    paused: Vec<Place>,
    /// Machines that apply nothing until then.
    lagging: Vec<Moment>,
    terms: WatchConfig,
    values: u64,
    starts: u64,
    planted: Option<Planted>,
    came: Explored,
    next_feed: Moment,
    next_words: Moment,
    next_check: Moment,
}

fn address(at: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + at as u16))
}

fn key(at: usize) -> String {
    match at % 6 {
        0 => format!("zone/z{}", at / 6),
        1 | 2 => format!("route/r{}", at / 6),
        3 => "releases".into(),
        _ => format!("weight/s{}", at / 6),
    }
}

impl Search {
    fn new(seed: u64, planted: Option<Planted>) -> Search {
        // What may wait on a link is little more than its pieces: more would be a queue that nobody bounds.
        let most_waiting = 96 << 10;
        let nature =
            Nature { drift: WatchConfig::default().max_clock_drift, most_waiting, ..Nature::default() };
        let mut world = World::new(seed, BEGIN, nature);
        let (machines, planners) = (world.rng.usize(3..=5), world.rng.usize(16..=32));
        let terms = WatchConfig {
            max_watches: planners / (machines - 1) + 6,
            max_snapshots: world.rng.usize(2..=4),
            max_tombstones: world.rng.usize(3..=12),
            ..WatchConfig::default()
        };
        let came = Explored {
            seed,
            machines,
            planners,
            steps: 0,
            virtual_s: 0.0,
            kept: 0,
            watches: 0,
            pieces: 0,
            refused: BTreeMap::new(),
            counted: 0,
            ages: 0,
            troubles: Vec::new(),
            broken: Vec::new(),
            trace: 0,
        };
        let mut search = Search {
            world,
            log: Arc::default(),
            machines: Vec::new(),
            planners: Vec::new(),
            truths: (0..planners).map(|_| Truth::default()).collect(),
            roads: BTreeMap::new(),
            cuts: Vec::new(),
            paused: Vec::new(),
            lagging: vec![BEGIN; machines],
            terms,
            values: 0,
            starts: 0,
            planted,
            came,
            next_feed: BEGIN,
            next_words: BEGIN,
            next_check: BEGIN,
        };
        (0..40).for_each(|_| search.keep());
        for at in 0..machines {
            let place = search.world.machine();
            let control = search.control(at);
            search.machines.push((place, control));
            search.start_machine(at);
        }
        for at in 0..planners {
            let place = search.world.machine();
            let planner = Arc::new(Mutex::new(Planner::new(search.home(at, Scope::ALL))));
            search.planners.push((place, planner));
            search.start_planner(at);
        }
        search
    }

    // ---- starts and ends

    fn control(&mut self, at: usize) -> Arc<Mutex<Control>> {
        let seed = self.world.rng.u64(..);
        let name = (format!("m{at}"), address(at));
        Arc::new(Mutex::new(Control::new(name, self.terms, seed, self.log.clone(), self.planted)))
    }

    /// It knows some place of the log from its own disk, and reads the rest.
    fn start_machine(&mut self, at: usize) {
        if self.world.runs(self.machines[at].0) {
            return;
        }
        let fresh = self.control(at);
        let ended = std::mem::replace(&mut self.machines[at].1, fresh);
        self.came.tally(&hold(&ended).serving.stats());
        let place = self.machines[at].0;
        self.world.start(place, Box::new(ControlNode(self.machines[at].1.clone())));
        let head = hold(&self.log).head();
        let known = self.world.rng.u64(head / 2..=head);
        self.world.word(place, &format!("record {RECORD}"));
        self.world.word(place, &format!("restore {known}"));
        self.road_ends(at);
    }

    /// Its links to the others are new ones.
    fn road_ends(&mut self, at: usize) {
        for other in (0..self.machines.len()).filter(|other| *other != at) {
            self.road_lost(at, other);
        }
    }

    fn road_lost(&mut self, one: usize, other: usize) {
        for (from, to) in [(one, other), (other, one)] {
            self.roads.insert((from, to), Road::default());
            let (place, control) = &self.machines[to];
            let now = self.world.clock(*place);
            hold(control).serving.roster.machine_lost(now, &format!("m{from}"));
        }
    }

    fn home(&mut self, at: usize, scope: Scope) -> PlannerHome {
        self.starts += 1;
        let machines = (0..self.came.machines).map(|at| (format!("m{at}"), address(at))).collect();
        let (seed, planted) = (self.world.rng.u64(..), self.planted);
        PlannerHome { name: format!("p{at}"), start: self.starts << 20, machines, scope, seed, planted }
    }

    fn start_planner(&mut self, at: usize) {
        let (place, planner) = self.planners[at].clone();
        if self.world.runs(place) {
            return;
        }
        let scope = hold(&planner).home.scope.clone();
        self.came.watches += hold(&planner).watches;
        let planner = Arc::new(Mutex::new(Planner::new(self.home(at, scope))));
        self.planners[at].1 = planner.clone();
        self.truths[at].starts();
        self.world.start(place, Box::new(PlannerNode(planner)));
    }

    fn kill_planner(&mut self, at: usize) {
        self.check();
        self.truths[at].ends(self.world.now());
        self.paused.retain(|paused| *paused != self.planners[at].0);
        self.world.kill(self.planners[at].0);
    }

    // ---- the log, and who hears of it

    fn keep(&mut self) {
        let mut changes = Vec::new();
        for _ in 0..1 + self.world.rng.usize(0..3) / 2 {
            self.values += 1;
            let at = self.world.rng.usize(0..KEYS);
            let bytes = self.world.rng.usize(8..3_000);
            let value = format!("{:->bytes$}", self.values).into_bytes();
            let goes = self.world.rng.u8(0..3) == 0;
            // Some say again what is so.
            let same = self.world.rng.u8(0..8) == 0;
            let log = hold(&self.log);
            let value = if same { log.at(log.head()).get(&key(at)).cloned() } else { Some(value) };
            changes.push((key(at), value.filter(|_| !goes)));
        }
        // Of one key a place says one thing.
        changes.sort();
        changes.dedup_by(|one, other| one.0 == other.0);
        hold(&self.log).keep(self.world.now(), changes);
    }

    /// Each machine that does not lag applies what it has heard of, and asks how fresh it is.
    fn feed(&mut self) {
        let head = hold(&self.log).head();
        for at in 0..self.machines.len() {
            let place = self.machines[at].0;
            if !self.world.runs(place) || self.lagging[at] > self.world.now() {
                continue;
            }
            let known = head - self.world.rng.u64(0..=2).min(head);
            let how = if self.world.rng.bool() { "one" } else { "each" };
            if self.world.rng.u8(0..4) == 0 {
                self.world.word(place, "ask");
            }
            match self.world.rng.u8(0..60) {
                // Far behind, a machine is sent a snapshot.
                0 => self.world.word(place, &format!("restore {known}")),
                _ => self.world.word(place, &format!("apply {known} {how}")),
            }
        }
    }

    fn is_cut(&self, from: Place, to: Place) -> bool {
        self.cuts.contains(&(from, to))
    }

    /// Words of the rosters, along roads that a cut holds up and, after a while, ends.
    fn words(&mut self) {
        let now = self.world.now();
        for from in 0..self.machines.len() {
            for to in (0..self.machines.len()).filter(|to| *to != from) {
                let ((one, control), other) = (self.machines[from].clone(), self.machines[to].0);
                if !self.world.runs(one) || !self.world.runs(other) || self.paused.contains(&one) {
                    continue;
                }
                let own = self.world.clock(one);
                let mut words = hold(&control).serving.roster.updates_for(own, &format!("m{to}"));
                if self.planted == Some(Planted::CountedUnheard) {
                    for word in &mut words {
                        word.rows.retain(|row| row.connected || row.left);
                        word.max_contact_age_ms = 0;
                    }
                }
                let due = now + Span::millis(self.world.rng.u64(1..30));
                let held = self.is_cut(one, other) || self.paused.contains(&other);
                let road = self.roads.entry((from, to)).or_default();
                let due = road.words.back().map_or(due, |last| last.0.max(due));
                road.words.extend(words.into_iter().map(|word| (due, word)));
                road.held_since = held.then(|| road.held_since.unwrap_or(now));
                if road.held_since.is_some_and(|since| now.since(since) > Span::millis(3_000)) {
                    self.road_lost(from, to);
                }
            }
        }
        let roads: Vec<(usize, usize)> = self.roads.keys().copied().collect();
        for (from, to) in roads {
            let (place, control) = self.machines[to].clone();
            while let Some(road) = self.roads.get_mut(&(from, to)) {
                let held = road.held_since.is_some() || !self.world.runs(place);
                let Some((_, word)) = road.words.pop_front_if(|word| !held && word.0 <= now) else { break };
                let own = self.world.clock(place);
                let told = hold(&control).serving.roster.receive(own, &format!("m{from}"), word);
                hold(&control).touched = true;
                // After each: what a late word says is corrected by the next one at once.
                self.check();
                if let Err(why) = told {
                    self.breaks("words", why);
                }
            }
        }
    }

    // ---- rules

    fn breaks(&mut self, rule: &str, what: String) {
        if self.came.broken.len() < 10 {
            let at = self.world.now().since(BEGIN).seconds();
            self.came.broken.push((rule.into(), self.world.steps, at, what));
        }
    }

    /// At whoever did anything since.
    fn check(&mut self) {
        let now = self.world.now();
        let mut broken: Vec<(&'static str, String)> = Vec::new();
        let log = hold(&self.log);
        for (at, (place, planner)) in self.planners.iter().enumerate() {
            let mut planner = hold(planner);
            if !std::mem::take(&mut planner.touched) {
                continue;
            }
            let name = |(rule, what): (&'static str, String)| (rule, format!("p{at}: {what}"));
            if planner.watching.is_some() {
                broken.extend(self.truths[at].in_force(&log, &planner.in_force).into_iter().map(name));
            }
            broken.extend(rules::age(&log, now, self.world.clock(*place), &planner).map(name));
            broken.extend(rules::held(&planner, KEYS).map(name));
        }
        for (at, (place, control)) in self.machines.iter().enumerate() {
            let mut control = hold(control);
            if !std::mem::take(&mut control.touched) || !self.world.runs(*place) {
                continue;
            }
            let view = control.serving.stats();
            let terms = &self.terms;
            let flight = control.serving.server().max_in_flight();
            let within = flight <= MAX_CHUNKS_IN_FLIGHT
                && view.snapshots_active <= terms.max_snapshots
                && view.snapshots_queued <= view.watches
                && view.watches <= terms.max_watches
                && control.overflown == 0;
            if !within {
                broken.push(("bounds", format!("m{at}: {flight} pieces on their way, {view:?}")));
            }
            let own = self.world.clock(*place);
            let roster = &control.serving.roster;
            let counts = (0..self.truths.len()).map(|at| (at, roster.counted(own, &format!("p{at}"))));
            broken.extend(rules::counted(now, &format!("m{at}"), counts, &self.truths));
        }
        drop(log);
        broken.into_iter().for_each(|(rule, what)| self.breaks(rule, what));
    }

    /// At all, whether they did anything or not.
    fn check_all(&mut self) {
        for at in 0..self.planners.len() {
            let (place, planner) = &self.planners[at];
            let mut planner = hold(planner);
            planner.touched = self.world.runs(*place);
            let age = planner.watching.as_ref().and_then(|watching| watching.age(self.world.clock(*place)));
            self.came.ages += u64::from(planner.touched && age.is_some());
        }
        for (place, control) in &self.machines {
            let mut control = hold(control);
            control.touched = true;
            if self.world.runs(*place) {
                let found = control.serving.roster.in_force(self.world.clock(*place), 1);
                self.came.counted += found.at_or_past as u64;
            }
        }
        self.check();
    }

    // ---- time

    fn pass(&mut self, span: Span) {
        let until = self.world.now() + span;
        while self.world.now() < until {
            let now = self.world.now();
            if now >= self.next_feed {
                self.feed();
                if self.world.rng.u8(0..4) == 0 {
                    self.keep();
                }
                self.next_feed = now + Span::millis(self.world.rng.u64(20..100));
            }
            if now >= self.next_words {
                self.words();
                self.check();
                self.next_words = now + Span::millis(50);
            }
            if now >= self.next_check {
                self.check_all();
                self.next_check = now + Span::millis(100);
            }
            let stop = self.next_feed.min(self.next_words).min(self.next_check).min(until);
            while self.world.due().is_some_and(|due| due <= stop) {
                self.world.step();
                self.check();
            }
            self.world.rest_until(stop);
        }
    }

    // ---- troubles

    fn cut(&mut self, from: Place, to: Place) {
        self.world.cut(from, to);
        self.cuts.push((from, to));
    }

    fn pause(&mut self, place: Place) {
        if self.world.runs(place) && !self.paused.contains(&place) {
            self.world.pause(place);
            self.paused.push(place);
        }
    }

    fn mend(&mut self) {
        self.world.heal();
        self.cuts.clear();
        std::mem::take(&mut self.paused).into_iter().for_each(|place| self.world.resume(place));
        self.lagging.fill(BEGIN);
        (0..self.machines.len()).for_each(|at| self.start_machine(at));
        for at in 0..self.planners.len() {
            // One that ended by itself, having left.
            if !self.world.runs(self.planners[at].0) {
                self.truths[at].ends(self.world.now());
            }
            self.start_planner(at);
        }
    }

    fn strike(&mut self) {
        let machine = self.world.rng.usize(0..self.machines.len());
        let planner = self.world.rng.usize(0..self.planners.len());
        let (m, p) = (self.machines[machine].0, self.planners[planner].0);
        let name = match self.world.rng.u8(0..20) {
            0 | 1 => {
                self.paused.retain(|paused| *paused != m);
                self.world.kill(m);
                self.road_ends(machine);
                "machine killed"
            }
            2 => {
                self.world.stop(m);
                "machine stopped"
            }
            3 => {
                self.pause(m);
                "machine paused"
            }
            4 | 5 => {
                let span = Span::millis(self.world.rng.u64(500..6_000));
                self.lagging[machine] = self.world.now() + span;
                "machine lags"
            }
            6 | 7 => {
                // Some planners and this machine: one way, the other, or both.
                let which = self.world.rng.u8(1..4);
                for at in 0..self.planners.len() {
                    let place = self.planners[at].0;
                    if which & 1 > 0 && self.world.rng.u8(0..3) > 0 {
                        self.cut(m, place);
                    }
                    if which & 2 > 0 && self.world.rng.u8(0..3) > 0 {
                        self.cut(place, m);
                    }
                }
                "machine cut from planners"
            }
            8 => {
                let other = (machine + 1) % self.machines.len();
                let other = self.machines[other].0;
                self.cut(m, other);
                if self.world.rng.bool() {
                    self.cut(other, m);
                }
                "machines cut"
            }
            9 => {
                self.kill_planner(planner);
                self.start_planner(planner);
                "planner restarted"
            }
            10 => {
                self.kill_planner(planner);
                self.world.put(p, KEPT, None);
                self.truths[planner].lost_its_disk();
                self.start_planner(planner);
                "planner lost its disk"
            }
            11 => {
                for at in 0..self.planners.len() {
                    if self.world.rng.u8(0..3) == 0 {
                        self.pause(self.planners[at].0);
                    }
                }
                "planners take nothing"
            }
            12 => {
                for at in 0..self.planners.len() {
                    self.kill_planner(at);
                    self.start_planner(at);
                }
                "stampede"
            }
            13 => {
                self.world.stop(p);
                "planner leaves"
            }
            14 => {
                (0..self.world.rng.usize(5..40)).for_each(|_| self.keep());
                "burst"
            }
            15 => {
                // What they are told of the old ones is on its way.
                (0..4).for_each(|_| self.keep());
                self.feed();
                let moment = Span::micros(self.world.rng.u64(100..6_000));
                self.pass(moment);
                let word = ["* *", "s0,s1,s2 r0", "s3 r1,r2", "s0,s4 *"][self.world.rng.usize(0..4)];
                for at in 0..self.planners.len() {
                    if self.world.rng.bool() {
                        // One that does not run starts with it.
                        hold(&self.planners[at].1).home.scope = scope_of(word);
                        self.world.word(self.planners[at].0, word);
                    }
                }
                "scopes change"
            }
            16 => {
                self.kill_planner(planner);
                "planner killed"
            }
            17 | 18 => {
                for at in 0..self.planners.len() {
                    if self.world.rng.bool() {
                        self.kill_planner(at);
                        self.world.put(self.planners[at].0, KEPT, None);
                        self.truths[at].lost_its_disk();
                        self.start_planner(at);
                    }
                }
                // Some are told half of a snapshot by then.
                let moment = Span::millis(self.world.rng.u64(20..250));
                self.pass(moment);
                self.paused.retain(|paused| *paused != m);
                self.world.kill(m);
                self.road_ends(machine);
                "disks lost, then a machine killed"
            }
            _ => {
                self.mend();
                "mend"
            }
        };
        let at = self.world.now().since(BEGIN).seconds();
        self.came.troubles.push(format!("{name} m{machine} p{planner} at {at:.1}"));
    }

    /// All watch, have the whole log in force, and each machine counts all of them.
    fn whole(&self) -> Result<(), String> {
        let head = hold(&self.log).head();
        for (at, (_, planner)) in self.planners.iter().enumerate() {
            let planner = hold(planner);
            let watches = planner.watching.as_ref().is_some_and(|watching| watching.watching().is_some());
            if !watches || planner.in_force.place != head {
                return Err(format!(
                    "p{at} watches {watches}, {} of {head} in force",
                    planner.in_force.place
                ));
            }
        }
        for (at, (place, control)) in self.machines.iter().enumerate() {
            let found = hold(control).serving.roster.in_force(self.world.clock(*place), head);
            if found.at_or_past != self.planners.len() || found.expected != found.at_or_past {
                return Err(format!("m{at} of {head}: {found:?}"));
            }
        }
        Ok(())
    }

    /// Until all is whole again, within a stated time of the world; nothing more is kept meanwhile.
    fn settle(&mut self) {
        self.mend();
        for _ in 0..200 {
            let until = self.world.now() + Span::millis(200);
            while self.world.now() < until {
                let head = hold(&self.log).head();
                for at in 0..self.machines.len() {
                    self.world.word(self.machines[at].0, &format!("apply {head} one"));
                }
                self.words();
                let stop = self.world.now() + Span::millis(50);
                while self.world.due().is_some_and(|due| due <= stop) {
                    self.world.step();
                    self.check();
                }
                self.world.rest_until(stop);
            }
            self.check_all();
            if self.whole().is_ok() {
                return;
            }
            self.mend();
        }
        let what = self.whole().err().unwrap_or_default();
        self.breaks("whole again", format!("40 s after the last trouble: {what}"));
    }
}

/// One seed.
pub fn explore(seed: u64, planted: Option<Planted>) -> Explored {
    let mut search = Search::new(seed, planted);
    search.pass(Span::millis(2_000));
    for _ in 0..search.world.rng.usize(4..14) {
        search.strike();
        let span = Span::millis(search.world.rng.u64(50..3_500));
        search.pass(span);
        if search.world.rng.u8(0..3) == 0 {
            search.mend();
        }
    }
    search.settle();
    let Search { mut came, world, log, machines, planners, .. } = search;
    for (_, control) in &machines {
        came.tally(&hold(control).serving.stats());
    }
    came.watches += planners.iter().map(|planner| hold(&planner.1).watches).sum::<u64>();
    came.kept = hold(&log).head();
    (came.steps, came.trace) = (world.steps, world.trace);
    came.virtual_s = world.now().since(BEGIN).seconds();
    came
}
