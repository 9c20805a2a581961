//! Who has what in force, over all machines, as each of them knows it.
//!
//! Each machine knows its own watchers and tells the others; the highest (start, turn) of a planner is where it is.
//!
//! | row of a planner | input | next |
//! | --- | --- | --- |
//! | none, or an older (start, turn) | heard here, or told by a machine | that one; of the same start what was in force still is |
//! | of this (start, turn) | heard with a higher place | that place: it never falls within a start |
//! | here | its watch ends | unheard since it was heard last |
//! | any | left, or forgotten by an operator | expected no more; an older word does not bring it back |
//! | told by a machine | that machine is not heard, or begins anew | unheard since then, until a machine tells of it again |
//! | unheard, or left | an hour passed | forgotten, and said |
//!
//! **What counts as heard is reckoned back.** A word says what was so when it was sent, and a cut may have held it for
//! long: so each echoes the newest token of the other side, and is taken to be as old as that one. `in force` counts
//! nobody whose word, so reckoned, is older than its bound, and says how old the oldest counted one is.
//!
//! Bounds: [`MOST_KNOWN`] planners; further ones are counted as uncounted, so that nobody takes the rest for all.

use crate::config::{up_ms, WatchConfig};
use crate::messages::{RosterRow, RosterUpdate, MOST_ROWS};
use pewtergap_time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub const MOST_KNOWN: usize = 8_192;
/// Machines that may tell rows.
pub const MOST_MACHINES: usize = 64;
/// Names that one answer gives of the slowest, and of the unheard.
pub const MOST_NAMED: usize = 8;
const FORGOTTEN: Span = Span::millis(3_600_000);
const CHANGES: Span = Span::millis(200);
const LIFE: Span = Span::millis(1_000);
/// Words for one machine at a time; the rest is told at the next.
const MOST_WORDS: usize = 4;
/// Longer ago than anything is counted.
const NOT_VOUCHED: u64 = 1 << 40;
/// Tokens sent to a machine that it may still echo.
const MOST_TOKENS: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Whereabouts {
    /// It watches at this machine.
    Here,
    /// At another one, which holds it for heard.
    At(u16),
    /// At none that is known of; which machine it was at last.
    Unheard(Option<u16>),
    Left,
}

#[derive(Clone, Debug)]
struct Known {
    /// Start and turn.
    watch: (u64, u64),
    applied: u64,
    whereabouts: Whereabouts,
    /// What it said was so then or later. Of one at another machine: see [`Machine::vouched`].
    heard: Moment,
    /// When a machine told of it.
    came: Moment,
    /// Others may take it to be here: they are told what became of it, also where that is known from elsewhere. A machine
    /// that left it to the other one to say so vouched for it on and on (explore, seed 122).
    mine: bool,
    /// Under which number its last change stands.
    changed: u64,
}

struct Machine {
    /// What it holds for heard was so at this moment or later.
    vouched: Moment,
    /// Its link stands, and it has told of its rows on it.
    tells: bool,
    /// Tokens sent to it, and when.
    sent: VecDeque<(u64, Moment)>,
    /// The newest that it sent.
    echo: u64,
    /// It has echoed one of ours: if it stops to, it has begun anew.
    echoed: bool,
    /// When it was last told all anew.
    full_report_at: Option<Moment>,
    /// Changes up to this one it has been told, and up to where all rows are told.
    told: u64,
    whole: Option<u64>,
    said: Option<Moment>,
    said_life: Moment,
}

impl Machine {
    /// All that it was told is to be told again.
    fn forgets(&mut self) {
        (self.said, self.told, self.whole, self.full_report_at) = (None, 0, None, None);
    }
}

/// Who has a place in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InForce {
    /// All that are known and have not left.
    pub expected: usize,
    /// Heard ones that have this place, or a later one, in force.
    pub at_or_past: usize,
    pub heard: usize,
    /// Of all heard ones.
    pub lowest: Option<u64>,
    /// Heard ones below the place, the slowest first, [`MOST_NAMED`] at most.
    pub slowest: Vec<(String, u64)>,
    /// Those unheard for longest, [`MOST_NAMED`] at most.
    pub unheard: Vec<(String, Span)>,
    pub unheard_count: usize,
    /// Planners beyond [`MOST_KNOWN`], of whom nothing is known.
    pub uncounted: usize,
    /// What the counted ones said is no older. None: nobody is counted.
    pub age: Option<Span>,
}

pub struct Roster {
    machine: String,
    config: WatchConfig,
    known: BTreeMap<String, Known>,
    /// By the number of their last change: what a machine has not been told yet lies beyond a number.
    order: BTreeMap<u64, String>,
    changes: u64,
    machines: BTreeMap<String, u16>,
    of: BTreeMap<u16, Machine>,
    uncounted: BTreeSet<String>,
    /// Planners that were forgotten, to be said.
    pub forgotten: Vec<String>,
    rng: fastrand::Rng,
}

impl Roster {
    pub fn new(machine: String, seed: u64) -> Roster {
        Roster {
            machine,
            config: WatchConfig::default(),
            known: BTreeMap::new(),
            order: BTreeMap::new(),
            changes: 0,
            machines: BTreeMap::new(),
            of: BTreeMap::new(),
            uncounted: BTreeSet::new(),
            forgotten: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Other spans than the usual ones.
    pub fn with(mut self, config: WatchConfig) -> Roster {
        self.config = config;
        self
    }

    pub fn machine(&self) -> &str {
        &self.machine
    }

    /// Planners known, those that left with them.
    pub fn size(&self) -> usize {
        self.known.len()
    }

    // ---- what changes

    /// A row as it is from here on; false: there is no room for another one.
    fn put(&mut self, planner: &str, row: Known) -> bool {
        let was = self.known.get(planner).map(|was| was.changed);
        if was.is_none() && self.known.len() >= MOST_KNOWN && !self.room() {
            if self.uncounted.len() < MOST_KNOWN {
                self.uncounted.insert(planner.into());
            }
            return false;
        }
        self.uncounted.remove(planner);
        was.map(|was| self.order.remove(&was));
        self.changes += 1;
        self.order.insert(self.changes, planner.into());
        self.known.insert(planner.into(), Known { changed: self.changes, ..row });
        true
    }

    fn drop(&mut self, planner: &str) {
        if let Some(known) = self.known.remove(planner) {
            self.order.remove(&known.changed);
        }
    }

    /// One that left is remembered only against old words: it goes first.
    fn room(&mut self) -> bool {
        let left = self.known.iter().find(|known| known.1.whereabouts == Whereabouts::Left);
        let left = left.map(|known| known.0.clone());
        left.as_deref().map(|left| self.drop(left)).is_some()
    }

    /// A planner that watches here had this in force at `vouched` or later.
    pub fn planner_heard(&mut self, planner: &str, watch: (u64, u64), applied: u64, vouched: Moment) {
        let was = self.known.get_mut(planner);
        let here = Whereabouts::Here;
        if let Some(was) = was {
            if was.watch > watch {
                return;
            }
            let same_start = was.watch.0 == watch.0;
            let applied = if same_start { applied.max(was.applied) } else { applied };
            if (was.watch, was.whereabouts, was.applied) == (watch, here, applied) {
                was.heard = was.heard.max(vouched);
                return;
            }
            let row = Known {
                watch,
                applied,
                whereabouts: here,
                heard: vouched,
                came: vouched,
                mine: true,
                changed: 0,
            };
            self.put(planner, row);
            return;
        }
        self.put(
            planner,
            Known {
                watch,
                applied,
                whereabouts: here,
                heard: vouched,
                came: vouched,
                mine: true,
                changed: 0,
            },
        );
    }

    /// Its watch here ended.
    pub fn watch_ended(&mut self, planner: &str, watch: (u64, u64), left: bool) {
        self.uncounted.remove(planner);
        let Some(was) = self.known.get(planner).filter(|was| was.watch == watch) else { return };
        let whereabouts = if left { Whereabouts::Left } else { Whereabouts::Unheard(None) };
        if left || was.whereabouts == Whereabouts::Here {
            let row = Known { whereabouts, ..was.clone() };
            self.put(planner, row);
        }
    }

    /// An operator knows that it comes no more. False: it is heard, or not known.
    pub fn forget(&mut self, now: Moment, planner: &str) -> bool {
        let Some(was) = self.known.get(planner) else { return self.uncounted.remove(planner) };
        if self.since(now, was).is_ok() {
            return false;
        }
        let row = Known { whereabouts: Whereabouts::Left, heard: now, mine: true, ..was.clone() };
        self.put(planner, row)
    }

    fn number(&mut self, now: Moment, machine: &str) -> Option<u16> {
        if let Some(number) = self.machines.get(machine) {
            return Some(*number);
        }
        if self.machines.len() >= MOST_MACHINES {
            return None;
        }
        let number = self.machines.len() as u16;
        self.machines.insert(machine.into(), number);
        let machine = Machine {
            vouched: Moment(0),
            tells: false,
            sent: VecDeque::new(),
            echo: 0,
            echoed: false,
            full_report_at: None,
            told: 0,
            whole: None,
            said: None,
            said_life: now,
        };
        self.of.insert(number, machine);
        Some(number)
    }

    /// A machine's words.
    pub fn receive(&mut self, now: Moment, from: &str, word: RosterUpdate) -> Result<(), String> {
        word.check()?;
        let number = self.number(now, from).ok_or(format!("{MOST_MACHINES} machines tell rows already"))?;
        let Some(machine) = self.of.get_mut(&number) else { return Ok(()) };
        // The first that it was told may have been lost though the link stands.
        let unanswered =
            machine.full_report_at.is_some_and(|began| now.since(began) >= self.config.machine_timeout);
        if word.echo == 0 && (machine.echoed || unanswered) {
            machine.forgets();
        }
        machine.echoed = word.echo != 0;
        machine.tells |= word.reset;
        if !machine.tells {
            // The rest of what it told before its last link ended. What we say next echoes nothing: it begins anew.
            return Ok(());
        }
        machine.echo = word.token;
        let sent = machine.sent.iter().find(|(token, _)| *token == word.echo).map(|sent| sent.1);
        if word.reset {
            // What it told before its last link was of that link; what it says now is all that stands.
            self.aside(now, number);
        }
        let Some(machine) = self.of.get_mut(&number) else { return Ok(()) };
        if let Some(sent) = sent {
            machine.vouched = machine.vouched.max(sent - Span::millis(word.max_contact_age_ms.min(1 << 40)));
        }
        // No row is vouched for by a word that echoes nothing.
        let sent = sent.unwrap_or(machine.vouched);
        for row in word.rows {
            self.row(now, number, sent, row);
        }
        Ok(())
    }

    fn row(&mut self, now: Moment, number: u16, sent: Moment, row: RosterRow) {
        let watch = (row.start, row.watch_number);
        let quiet = Span::millis(row.contact_age_ms.min(1 << 40));
        let whereabouts = match (row.left, row.connected) {
            (true, _) => Whereabouts::Left,
            (false, true) => Whereabouts::At(number),
            (false, false) => Whereabouts::Unheard(Some(number)),
        };
        // Forgotten here already, or about to be.
        let old = quiet >= FORGOTTEN && !row.connected;
        // Of one that is not counted it is only told since when.
        let heard = if row.connected { sent - quiet } else { now - quiet };
        let at = |was: &Known| was.whereabouts == Whereabouts::At(number) && row.connected;
        let (applied, heard) = match self.known.get(&row.planner) {
            None if old => return,
            None => (row.applied, heard),
            Some(was) if was.watch > watch => return,
            Some(was) if was.watch == watch => {
                // Its own machine knows best; what others heard of that is no news.
                let own = !matches!(was.whereabouts, Whereabouts::Here | Whereabouts::At(_))
                    || was.whereabouts == Whereabouts::At(number);
                if !own || (was.whereabouts == Whereabouts::Left && !row.left) {
                    return;
                }
                (row.applied.max(was.applied), if at(was) { heard.max(was.heard) } else { heard })
            }
            Some(was) if was.watch.0 == watch.0 => (row.applied.max(was.applied), heard),
            Some(_) => (row.applied, heard),
        };
        let mine = self.known.get(&row.planner).is_some_and(|was| was.mine && !self.all_know(was));
        let changed = Known { watch, applied, whereabouts, heard, came: now, mine, changed: 0 };
        let same = self
            .known
            .get(&row.planner)
            .is_some_and(|was| (was.watch, was.applied, was.whereabouts) == (watch, applied, whereabouts));
        if !same {
            self.put(&row.planner, changed);
        }
    }

    /// It is not here any more, and all whose links stand were told; to the others all is told anew.
    fn all_know(&self, was: &Known) -> bool {
        let here = matches!(was.whereabouts, Whereabouts::Here | Whereabouts::Unheard(None));
        !here && self.of.values().all(|machine| machine.said.is_none() || machine.told >= was.changed)
    }

    /// What this machine told is not known to stand any more.
    fn aside(&mut self, now: Moment, number: u16) {
        let Some(vouched) = self.of.get(&number).map(|machine| machine.vouched) else { return };
        let at = Whereabouts::At(number);
        let rows: Vec<String> = self
            .known
            .iter()
            .filter(|known| known.1.whereabouts == at)
            .map(|known| known.0.clone())
            .collect();
        for planner in rows {
            if let Some(was) = self.known.get(&planner) {
                let whereabouts = Whereabouts::Unheard(Some(number));
                let heard = Some(was.heard.max(vouched)).filter(|heard| *heard > Moment(0)).unwrap_or(now);
                let row = Known { whereabouts, heard, ..was.clone() };
                self.put(&planner, row);
            }
        }
    }

    /// The link to a machine ended, or it is not heard. On its next link all is told anew, by both.
    pub fn machine_lost(&mut self, now: Moment, from: &str) {
        let Some(number) = self.number(now, from) else { return };
        self.aside(now, number);
        if let Some(machine) = self.of.get_mut(&number) {
            machine.forgets();
            (machine.tells, machine.echo, machine.echoed) = (false, 0, false);
            machine.sent.clear();
        }
    }

    // ---- what is told

    /// What a machine is to be told now; to be asked some times a second for each machine whose link stands.
    pub fn updates_for(&mut self, now: Moment, to: &str) -> Vec<RosterUpdate> {
        self.forget_old(now);
        self.quiet(now);
        let Some(number) = self.number(now, to) else { return Vec::new() };
        let max_contact_age_ms = up_ms(self.config.at_most(self.oldest_here(now)));
        let Some(machine) = self.of.get(&number) else { return Vec::new() };
        let reset = machine.said.is_none();
        let whole = if reset { Some(self.changes) } else { machine.whole };
        let (life, changes) = match machine.said {
            None => (true, true),
            Some(said) => (now.since(machine.said_life) >= LIFE, now.since(said) >= CHANGES),
        };
        let mut words: Vec<RosterUpdate> = Vec::new();
        let (mut told, mut rows) = (machine.told, Vec::new());
        let mut rest = false;
        if changes {
            for (change, planner) in self.order.range(told + 1..) {
                if words.len() == MOST_WORDS {
                    rest = true;
                    break;
                }
                told = *change;
                let Some(known) = self.known.get(planner) else { continue };
                rows.extend(self.row_of(now, planner, known, whole.is_some_and(|whole| *change <= whole)));
                if rows.len() == MOST_ROWS {
                    words.push(RosterUpdate { rows: std::mem::take(&mut rows), ..RosterUpdate::default() });
                }
            }
        }
        if !rows.is_empty() || (words.is_empty() && life) {
            words.push(RosterUpdate { rows, ..RosterUpdate::default() });
        }
        let Some(machine) = self.of.get_mut(&number) else { return Vec::new() };
        machine.whole = whole.filter(|whole| rest || told < *whole);
        machine.told = told;
        if reset {
            machine.full_report_at = Some(now);
        }
        let last = words.len();
        for (at, word) in words.iter_mut().enumerate() {
            word.token = self.rng.u64(1..);
            (word.echo, word.reset) = (machine.echo, reset && at == 0);
            // Before all that changed is told nothing is vouched for: one that is heard no more may be among the rest.
            word.max_contact_age_ms = if rest || at + 1 < last { NOT_VOUCHED } else { max_contact_age_ms };
            machine.sent.push_back((word.token, now));
            (machine.said, machine.said_life) = (Some(now), now);
        }
        while machine.sent.len() > MOST_TOKENS {
            machine.sent.pop_front();
        }
        words
    }

    /// Own rows; of others those that no machine may tell of any more, where all is told.
    fn row_of(&self, now: Moment, planner: &str, known: &Known, whole: bool) -> Option<RosterRow> {
        let heard = self.since(now, known);
        let nobodys = !matches!(known.whereabouts, Whereabouts::At(_));
        (known.mine || (whole && nobodys)).then(|| RosterRow {
            planner: planner.into(),
            start: known.watch.0,
            watch_number: known.watch.1,
            applied: known.applied,
            contact_age_ms: up_ms(self.config.at_most(heard.unwrap_or_else(|quiet| quiet))),
            connected: known.whereabouts == Whereabouts::Here && heard.is_ok(),
            left: known.whereabouts == Whereabouts::Left,
        })
    }

    /// Of those that are heard here the longest since.
    fn oldest_here(&self, now: Moment) -> Span {
        let here = self.known.values().filter(|known| known.whereabouts == Whereabouts::Here);
        here.filter_map(|known| self.since(now, known).ok()).max().unwrap_or(Span(0))
    }

    /// Of those that watch here and are not heard the others are told, whatever becomes of their links.
    fn quiet(&mut self, now: Moment) {
        let quiet = |known: &Known| known.whereabouts == Whereabouts::Here && self.since(now, known).is_err();
        let quiet: Vec<String> =
            self.known.iter().filter(|known| quiet(known.1)).map(|known| known.0.clone()).collect();
        for planner in quiet {
            if let Some(was) = self.known.get(&planner) {
                let row = Known { whereabouts: Whereabouts::Unheard(None), ..was.clone() };
                self.put(&planner, row);
            }
        }
    }

    fn forget_old(&mut self, now: Moment) {
        let old = |known: &Known| {
            let gone = matches!(known.whereabouts, Whereabouts::Unheard(_) | Whereabouts::Left);
            gone && now.since(known.heard) >= FORGOTTEN
        };
        let gone: Vec<(String, bool)> = self
            .known
            .iter()
            .filter(|known| old(known.1))
            .map(|known| (known.0.clone(), known.1.whereabouts == Whereabouts::Left))
            .collect();
        for (planner, left) in gone {
            self.drop(&planner);
            if !left && self.forgotten.len() < MOST_NAMED {
                self.forgotten.push(planner);
            }
        }
    }

    // ---- what is asked

    /// For how long a planner was not heard: within its bound, or beyond it.
    fn since(&self, now: Moment, known: &Known) -> Result<Span, Span> {
        let (heard, bound) = match known.whereabouts {
            Whereabouts::Here => (known.heard, self.config.planner_timeout),
            Whereabouts::At(number) => {
                let machine = self.of.get(&number);
                let vouched = machine.filter(|machine| machine.tells).map(|machine| machine.vouched);
                // A row may be newer than the last word that says how old all of them are at most.
                let heard = vouched.unwrap_or(Moment(0)).max(known.heard);
                (heard, self.config.planner_timeout + self.config.machine_timeout)
            }
            Whereabouts::Unheard(_) | Whereabouts::Left => (known.heard, Span(0)),
        };
        let quiet = now.since(heard);
        match (quiet < bound, known.whereabouts) {
            (true, _) => Ok(quiet),
            // Nothing vouches for it yet: not counted, and unheard for no longer than it is known of.
            (false, Whereabouts::At(_)) => Err(quiet.min(now.since(known.came))),
            (false, _) => Err(quiet),
        }
    }

    pub fn in_force(&self, now: Moment, index: u64) -> InForce {
        let mut found = InForce { uncounted: self.uncounted.len(), ..InForce::default() };
        for (planner, known) in &self.known {
            if known.whereabouts == Whereabouts::Left {
                continue;
            }
            found.expected += 1;
            let quiet = match self.since(now, known) {
                Ok(quiet) => quiet,
                Err(quiet) => {
                    found.unheard_count += 1;
                    found.unheard.push((planner.clone(), quiet));
                    continue;
                }
            };
            found.heard += 1;
            found.lowest = Some(found.lowest.map_or(known.applied, |lowest| lowest.min(known.applied)));
            if known.applied >= index {
                found.at_or_past += 1;
                let quiet = self.config.at_most(quiet);
                found.age = Some(found.age.map_or(quiet, |age| age.max(quiet)));
            } else {
                found.slowest.push((planner.clone(), known.applied));
            }
        }
        found.unheard.sort_by_key(|(planner, quiet)| (std::cmp::Reverse(*quiet), planner.clone()));
        found.unheard.truncate(MOST_NAMED);
        found.slowest.sort_by_key(|(planner, applied)| (*applied, planner.clone()));
        found.slowest.truncate(MOST_NAMED);
        found
    }

    /// What is believed of one planner: its place, and whether it is counted. For tests and explore.
    pub fn counted(&self, now: Moment, planner: &str) -> Option<(u64, Span)> {
        let known = self.known.get(planner)?;
        let quiet = self.since(now, known).ok()?;
        Some((known.applied, self.config.at_most(quiet)))
    }
}
