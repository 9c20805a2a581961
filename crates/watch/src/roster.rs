//! Which index each planner has applied, across all machines, as known at each of them.
//!
//! Each machine knows its own watchers and reports them to the others; the highest (start, watch number) of
//! a planner tells where it is.
//!
//! | planner's row | input | next |
//! | --- | --- | --- |
//! | none, or an older (start, watch number) | heard here, or reported by a machine | that one; within a start the applied index is kept |
//! | same (start, watch number) | heard with a higher index | that index: it never decreases within a start |
//! | here | its watch ends | unheard since it was last heard |
//! | any | left, or forgotten by an operator | no longer expected; older messages don't bring it back |
//! | reported by a machine | that machine is silent, or starts a new report | unheard since then, until a machine reports it again |
//! | unheard, or left | an hour passed | removed, and logged |
//!
//! **Ages are upper bounds.** An update reports the state at the time of sending and may have been delayed
//! by a network partition. Each update therefore echoes the newest token of the other side and is taken to
//! be as old as the update that carried it. `in_force` counts no planner whose report, measured this way, is
//! older than its limit, and returns the age of the oldest one counted.
//!
//! At most [`MAX_PLANNERS`] planners are tracked; further ones are returned as uncounted, so that the counts
//! are not mistaken for totals.

use crate::config::{to_ms_rounded_up, WatchConfig};
use crate::messages::{RosterRow, RosterUpdate, MAX_ROWS};
use pewtergap_time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub const MAX_PLANNERS: usize = 8_192;
/// Machines that may send reports.
pub const MAX_MACHINES: usize = 64;
/// Names listed as slowest, and as unheard, in one answer.
pub const MAX_LISTED: usize = 8;
const FORGET_AFTER: Span = Span::millis(3_600_000);
const UPDATE_INTERVAL: Span = Span::millis(200);
const HEARTBEAT_INTERVAL: Span = Span::millis(1_000);
/// Updates sent to a machine at a time; the rest follows with the next call.
const MAX_UPDATES_PER_CALL: usize = 4;
/// Older than any limit, so nothing is counted.
const UNCONFIRMED_MS: u64 = 1 << 40;
/// Tokens sent to a machine that it may still echo.
const MAX_TOKENS: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Location {
    /// It watches this machine.
    Here,
    /// It watches another machine, which counts it as heard.
    AtMachine(u16),
    /// It watches no machine as far as is known; the last machine that reported it.
    Unheard(Option<u16>),
    Left,
}

#[derive(Clone, Debug)]
struct PlannerRow {
    /// Start number and watch number.
    watch: (u64, u64),
    applied: u64,
    location: Location,
    /// Its last report was made at this moment or later. For one at another machine see also
    /// [`Machine::as_of`].
    last_contact: Moment,
    /// When another machine reported it.
    reported_at: Moment,
    /// Other machines may believe that it is here, so this machine reports its changes to them, even those
    /// learned from others. When a machine left that to the others, its outdated report kept counting
    /// indefinitely (explore, seed 122).
    must_report: bool,
    /// Number of its last change.
    change: u64,
}

struct Machine {
    /// Everything that it counts as heard was so at this moment or later.
    as_of: Moment,
    /// Its link is up, and a full report has begun on it.
    reporting: bool,
    /// Tokens sent to it, with the time of sending.
    sent_tokens: VecDeque<(u64, Moment)>,
    /// The newest token received from it.
    echo: u64,
    /// It has echoed one of our tokens. If it stops doing so, it has started over.
    echoed: bool,
    /// When the last full report to it began.
    full_report_at: Option<Moment>,
    /// Changes up to this one were sent to it, and up to where a full report includes all rows.
    sent_up_to: u64,
    full_report_end: Option<u64>,
    last_update: Option<Moment>,
    last_heartbeat: Moment,
}

impl Machine {
    /// Starts a new full report.
    fn restart_report(&mut self) {
        (self.last_update, self.sent_up_to, self.full_report_end, self.full_report_at) =
            (None, 0, None, None);
    }
}

/// How many planners have applied an index.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InForce {
    /// All known planners that have not left.
    pub expected: usize,
    /// Heard planners that have applied this index or a later one.
    pub at_or_past: usize,
    pub heard: usize,
    /// Lowest applied index of all heard planners.
    pub lowest: Option<u64>,
    /// Heard planners below the index, slowest first, at most [`MAX_LISTED`].
    pub slowest: Vec<(String, u64)>,
    /// Planners unheard for longest, at most [`MAX_LISTED`].
    pub unheard: Vec<(String, Span)>,
    pub unheard_count: usize,
    /// Planners beyond [`MAX_PLANNERS`], whose state is unknown.
    pub uncounted: usize,
    /// Reports of the counted planners are at most this old. `None`: none is counted.
    pub age: Option<Span>,
}

pub struct Roster {
    machine: String,
    config: WatchConfig,
    planners: BTreeMap<String, PlannerRow>,
    /// Planners by the number of their last change: a machine still has to be sent what is above the last
    /// number sent.
    by_change: BTreeMap<u64, String>,
    changes: u64,
    machine_numbers: BTreeMap<String, u16>,
    machine_states: BTreeMap<u16, Machine>,
    uncounted: BTreeSet<String>,
    /// Planners that were removed, to be logged by the caller.
    pub forgotten: Vec<String>,
    rng: fastrand::Rng,
}

impl Roster {
    pub fn new(machine: String, seed: u64) -> Roster {
        Roster {
            machine,
            config: WatchConfig::default(),
            planners: BTreeMap::new(),
            by_change: BTreeMap::new(),
            changes: 0,
            machine_numbers: BTreeMap::new(),
            machine_states: BTreeMap::new(),
            uncounted: BTreeSet::new(),
            forgotten: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    pub fn with_config(mut self, config: WatchConfig) -> Roster {
        self.config = config;
        self
    }

    pub fn machine(&self) -> &str {
        &self.machine
    }

    /// Number of planners tracked, including those that left.
    pub fn planner_count(&self) -> usize {
        self.planners.len()
    }

    // ---- changes

    /// Inserts or updates a row. Returns false if there is no room for a new one.
    fn put_row(&mut self, planner: &str, row: PlannerRow) -> bool {
        let previous = self.planners.get(planner).map(|previous| previous.change);
        if previous.is_none() && self.planners.len() >= MAX_PLANNERS && !self.make_room() {
            if self.uncounted.len() < MAX_PLANNERS {
                self.uncounted.insert(planner.into());
            }
            return false;
        }
        self.uncounted.remove(planner);
        previous.map(|previous| self.by_change.remove(&previous));
        self.changes += 1;
        self.by_change.insert(self.changes, planner.into());
        self.planners.insert(planner.into(), PlannerRow { change: self.changes, ..row });
        true
    }

    fn remove_row(&mut self, planner: &str) {
        if let Some(row) = self.planners.remove(planner) {
            self.by_change.remove(&row.change);
        }
    }

    /// Removes a planner that left, whose row only guards against outdated messages.
    fn make_room(&mut self) -> bool {
        let left = self.planners.iter().find(|row| row.1.location == Location::Left);
        let left = left.map(|row| row.0.clone());
        left.as_deref().map(|left| self.remove_row(left)).is_some()
    }

    /// A planner that watches here had applied this index at `as_of` or later.
    pub fn planner_heard(&mut self, planner: &str, watch: (u64, u64), applied: u64, as_of: Moment) {
        let previous = self.planners.get_mut(planner);
        let here = Location::Here;
        if let Some(previous) = previous {
            if previous.watch > watch {
                return;
            }
            let same_start = previous.watch.0 == watch.0;
            let applied = if same_start { applied.max(previous.applied) } else { applied };
            if (previous.watch, previous.location, previous.applied) == (watch, here, applied) {
                previous.last_contact = previous.last_contact.max(as_of);
                return;
            }
            let row = PlannerRow {
                watch,
                applied,
                location: here,
                last_contact: as_of,
                reported_at: as_of,
                must_report: true,
                change: 0,
            };
            self.put_row(planner, row);
            return;
        }
        self.put_row(
            planner,
            PlannerRow {
                watch,
                applied,
                location: here,
                last_contact: as_of,
                reported_at: as_of,
                must_report: true,
                change: 0,
            },
        );
    }

    /// A watch at this machine ended.
    pub fn watch_ended(&mut self, planner: &str, watch: (u64, u64), left: bool) {
        self.uncounted.remove(planner);
        let Some(previous) = self.planners.get(planner).filter(|previous| previous.watch == watch) else {
            return;
        };
        let location = if left { Location::Left } else { Location::Unheard(None) };
        if left || previous.location == Location::Here {
            let row = PlannerRow { location, ..previous.clone() };
            self.put_row(planner, row);
        }
    }

    /// An operator knows that this planner won't return. Returns false if it is heard, or unknown.
    pub fn forget(&mut self, now: Moment, planner: &str) -> bool {
        let Some(previous) = self.planners.get(planner) else { return self.uncounted.remove(planner) };
        if self.contact_age(now, previous).is_ok() {
            return false;
        }
        let row =
            PlannerRow { location: Location::Left, last_contact: now, must_report: true, ..previous.clone() };
        self.put_row(planner, row)
    }

    fn machine_number(&mut self, now: Moment, machine: &str) -> Option<u16> {
        if let Some(number) = self.machine_numbers.get(machine) {
            return Some(*number);
        }
        if self.machine_numbers.len() >= MAX_MACHINES {
            return None;
        }
        let number = self.machine_numbers.len() as u16;
        self.machine_numbers.insert(machine.into(), number);
        let machine = Machine {
            as_of: Moment(0),
            reporting: false,
            sent_tokens: VecDeque::new(),
            echo: 0,
            echoed: false,
            full_report_at: None,
            sent_up_to: 0,
            full_report_end: None,
            last_update: None,
            last_heartbeat: now,
        };
        self.machine_states.insert(number, machine);
        Some(number)
    }

    /// Handles an update from another machine.
    pub fn receive(&mut self, now: Moment, from: &str, update: RosterUpdate) -> Result<(), String> {
        update.check()?;
        let number = self
            .machine_number(now, from)
            .ok_or(format!("roster limit of {MAX_MACHINES} machines reached"))?;
        let Some(machine) = self.machine_states.get_mut(&number) else { return Ok(()) };
        // The start of the report to it may have been lost although the link is up.
        let unanswered =
            machine.full_report_at.is_some_and(|began| now.since(began) >= self.config.machine_timeout);
        if update.echo == 0 && (machine.echoed || unanswered) {
            machine.restart_report();
        }
        machine.echoed = update.echo != 0;
        machine.reporting |= update.reset;
        if !machine.reporting {
            // The rest of a report from before its last link ended. Our next update echoes nothing, so that
            // it starts over.
            return Ok(());
        }
        machine.echo = update.token;
        let sent = machine.sent_tokens.iter().find(|(token, _)| *token == update.echo).map(|sent| sent.1);
        if update.reset {
            // Earlier reports belong to an earlier link; this one replaces them.
            self.discard_report(now, number);
        }
        let Some(machine) = self.machine_states.get_mut(&number) else { return Ok(()) };
        if let Some(sent) = sent {
            machine.as_of = machine.as_of.max(sent - Span::millis(update.max_contact_age_ms.min(1 << 40)));
        }
        // An update that echoes nothing doesn't confirm any row.
        let sent = sent.unwrap_or(machine.as_of);
        for row in update.rows {
            self.receive_row(now, number, sent, row);
        }
        Ok(())
    }

    fn receive_row(&mut self, now: Moment, number: u16, sent: Moment, row: RosterRow) {
        let watch = (row.start, row.watch_number);
        let contact_age = Span::millis(row.contact_age_ms.min(1 << 40));
        let location = match (row.left, row.connected) {
            (true, _) => Location::Left,
            (false, true) => Location::AtMachine(number),
            (false, false) => Location::Unheard(Some(number)),
        };
        // Already removed here, or about to be.
        let expired = contact_age >= FORGET_AFTER && !row.connected;
        // For a planner that isn't counted, only the time of its silence is reported.
        let last_contact = if row.connected { sent - contact_age } else { now - contact_age };
        let at = |previous: &PlannerRow| previous.location == Location::AtMachine(number) && row.connected;
        let (applied, last_contact) = match self.planners.get(&row.planner) {
            None if expired => return,
            None => (row.applied, last_contact),
            Some(previous) if previous.watch > watch => return,
            Some(previous) if previous.watch == watch => {
                // The machine that it watches knows best; reports by others don't override it.
                let authoritative = !matches!(previous.location, Location::Here | Location::AtMachine(_))
                    || previous.location == Location::AtMachine(number);
                if !authoritative || (previous.location == Location::Left && !row.left) {
                    return;
                }
                (
                    row.applied.max(previous.applied),
                    if at(previous) { last_contact.max(previous.last_contact) } else { last_contact },
                )
            }
            Some(previous) if previous.watch.0 == watch.0 => {
                (row.applied.max(previous.applied), last_contact)
            }
            Some(_) => (row.applied, last_contact),
        };
        let must_report = self
            .planners
            .get(&row.planner)
            .is_some_and(|previous| previous.must_report && !self.all_machines_notified(previous));
        let update =
            PlannerRow { watch, applied, location, last_contact, reported_at: now, must_report, change: 0 };
        let same = self.planners.get(&row.planner).is_some_and(|previous| {
            (previous.watch, previous.applied, previous.location) == (watch, applied, location)
        });
        if !same {
            self.put_row(&row.planner, update);
        }
    }

    /// It is no longer here, and all machines with a link were notified; the others will get a full report.
    fn all_machines_notified(&self, previous: &PlannerRow) -> bool {
        let here = matches!(previous.location, Location::Here | Location::Unheard(None));
        !here
            && self
                .machine_states
                .values()
                .all(|machine| machine.last_update.is_none() || machine.sent_up_to >= previous.change)
    }

    /// What this machine reported is no longer known to be current.
    fn discard_report(&mut self, now: Moment, number: u16) {
        let Some(as_of) = self.machine_states.get(&number).map(|machine| machine.as_of) else { return };
        let at = Location::AtMachine(number);
        let rows: Vec<String> =
            self.planners.iter().filter(|row| row.1.location == at).map(|row| row.0.clone()).collect();
        for planner in rows {
            if let Some(previous) = self.planners.get(&planner) {
                let location = Location::Unheard(Some(number));
                let last_contact = Some(previous.last_contact.max(as_of))
                    .filter(|last_contact| *last_contact > Moment(0))
                    .unwrap_or(now);
                let row = PlannerRow { location, last_contact, ..previous.clone() };
                self.put_row(&planner, row);
            }
        }
    }

    /// The link to a machine ended, or it is silent. On the next link both sides send a full report.
    pub fn machine_lost(&mut self, now: Moment, from: &str) {
        let Some(number) = self.machine_number(now, from) else { return };
        self.discard_report(now, number);
        if let Some(machine) = self.machine_states.get_mut(&number) {
            machine.restart_report();
            (machine.reporting, machine.echo, machine.echoed) = (false, 0, false);
            machine.sent_tokens.clear();
        }
    }

    // ---- updates to other machines

    /// Updates to send to a machine now; to be called several times a second for each machine with a link.
    pub fn updates_for(&mut self, now: Moment, to: &str) -> Vec<RosterUpdate> {
        self.remove_expired(now);
        self.mark_silent(now);
        let Some(number) = self.machine_number(now, to) else { return Vec::new() };
        let max_contact_age_ms = to_ms_rounded_up(self.config.max_elapsed(self.oldest_here(now)));
        let Some(machine) = self.machine_states.get(&number) else { return Vec::new() };
        let reset = machine.last_update.is_none();
        let full_report_end = if reset { Some(self.changes) } else { machine.full_report_end };
        let (heartbeat_due, update_due) = match machine.last_update {
            None => (true, true),
            Some(last_update) => (
                now.since(machine.last_heartbeat) >= HEARTBEAT_INTERVAL,
                now.since(last_update) >= UPDATE_INTERVAL,
            ),
        };
        let mut updates: Vec<RosterUpdate> = Vec::new();
        let (mut sent_up_to, mut rows) = (machine.sent_up_to, Vec::new());
        let mut more = false;
        if update_due {
            for (change, planner) in self.by_change.range(sent_up_to + 1..) {
                if updates.len() == MAX_UPDATES_PER_CALL {
                    more = true;
                    break;
                }
                sent_up_to = *change;
                let Some(row) = self.planners.get(planner) else { continue };
                rows.extend(self.to_row(
                    now,
                    planner,
                    row,
                    full_report_end.is_some_and(|end| *change <= end),
                ));
                if rows.len() == MAX_ROWS {
                    updates.push(RosterUpdate { rows: std::mem::take(&mut rows), ..RosterUpdate::default() });
                }
            }
        }
        if !rows.is_empty() || (updates.is_empty() && heartbeat_due) {
            updates.push(RosterUpdate { rows, ..RosterUpdate::default() });
        }
        let Some(machine) = self.machine_states.get_mut(&number) else { return Vec::new() };
        machine.full_report_end = full_report_end.filter(|end| more || sent_up_to < *end);
        machine.sent_up_to = sent_up_to;
        if reset {
            machine.full_report_at = Some(now);
        }
        let last = updates.len();
        for (at, update) in updates.iter_mut().enumerate() {
            update.token = self.rng.u64(1..);
            (update.echo, update.reset) = (machine.echo, reset && at == 0);
            // Nothing is confirmed until all changes are sent: a planner that is no longer heard may be
            // among the rest.
            update.max_contact_age_ms =
                if more || at + 1 < last { UNCONFIRMED_MS } else { max_contact_age_ms };
            machine.sent_tokens.push_back((update.token, now));
            (machine.last_update, machine.last_heartbeat) = (Some(now), now);
        }
        while machine.sent_tokens.len() > MAX_TOKENS {
            machine.sent_tokens.pop_front();
        }
        updates
    }

    /// Rows of own watchers and, in a full report, those that no other machine may report any more.
    fn to_row(
        &self,
        now: Moment,
        planner: &str,
        row: &PlannerRow,
        in_full_report: bool,
    ) -> Option<RosterRow> {
        let age = self.contact_age(now, row);
        let not_elsewhere = !matches!(row.location, Location::AtMachine(_));
        (row.must_report || (in_full_report && not_elsewhere)).then(|| RosterRow {
            planner: planner.into(),
            start: row.watch.0,
            watch_number: row.watch.1,
            applied: row.applied,
            contact_age_ms: to_ms_rounded_up(self.config.max_elapsed(age.unwrap_or_else(|age| age))),
            connected: row.location == Location::Here && age.is_ok(),
            left: row.location == Location::Left,
        })
    }

    /// Longest time since a planner that counts as heard here was last heard.
    fn oldest_here(&self, now: Moment) -> Span {
        let here = self.planners.values().filter(|row| row.location == Location::Here);
        here.filter_map(|row| self.contact_age(now, row).ok()).max().unwrap_or(Span(0))
    }

    /// Marks planners that watch here but are silent as unheard, so that the others are notified even if the
    /// link stays open.
    fn mark_silent(&mut self, now: Moment) {
        let silent = |row: &PlannerRow| row.location == Location::Here && self.contact_age(now, row).is_err();
        let silent: Vec<String> =
            self.planners.iter().filter(|row| silent(row.1)).map(|row| row.0.clone()).collect();
        for planner in silent {
            if let Some(previous) = self.planners.get(&planner) {
                let row = PlannerRow { location: Location::Unheard(None), ..previous.clone() };
                self.put_row(&planner, row);
            }
        }
    }

    fn remove_expired(&mut self, now: Moment) {
        let expired = |row: &PlannerRow| {
            let gone = matches!(row.location, Location::Unheard(_) | Location::Left);
            gone && now.since(row.last_contact) >= FORGET_AFTER
        };
        let removed: Vec<(String, bool)> = self
            .planners
            .iter()
            .filter(|row| expired(row.1))
            .map(|row| (row.0.clone(), row.1.location == Location::Left))
            .collect();
        for (planner, left) in removed {
            self.remove_row(&planner);
            if !left && self.forgotten.len() < MAX_LISTED {
                self.forgotten.push(planner);
            }
        }
    }

    // ---- queries

    /// Time since a planner was last heard: `Ok` within its limit, `Err` beyond it.
    fn contact_age(&self, now: Moment, row: &PlannerRow) -> Result<Span, Span> {
        let (last_contact, bound) = match row.location {
            Location::Here => (row.last_contact, self.config.planner_timeout),
            Location::AtMachine(number) => {
                let machine = self.machine_states.get(&number);
                let as_of = machine.filter(|machine| machine.reporting).map(|machine| machine.as_of);
                // A row may be newer than the last update that bounds the age of all rows.
                let last_contact = as_of.unwrap_or(Moment(0)).max(row.last_contact);
                (last_contact, self.config.planner_timeout + self.config.machine_timeout)
            }
            Location::Unheard(_) | Location::Left => (row.last_contact, Span(0)),
        };
        let contact_age = now.since(last_contact);
        match (contact_age < bound, row.location) {
            (true, _) => Ok(contact_age),
            // Not confirmed yet: not counted, and unheard for no longer than it has been known.
            (false, Location::AtMachine(_)) => Err(contact_age.min(now.since(row.reported_at))),
            (false, _) => Err(contact_age),
        }
    }

    pub fn in_force(&self, now: Moment, index: u64) -> InForce {
        let mut found = InForce { uncounted: self.uncounted.len(), ..InForce::default() };
        for (planner, row) in &self.planners {
            if row.location == Location::Left {
                continue;
            }
            found.expected += 1;
            let contact_age = match self.contact_age(now, row) {
                Ok(contact_age) => contact_age,
                Err(contact_age) => {
                    found.unheard_count += 1;
                    found.unheard.push((planner.clone(), contact_age));
                    continue;
                }
            };
            found.heard += 1;
            found.lowest = Some(found.lowest.map_or(row.applied, |lowest| lowest.min(row.applied)));
            if row.applied >= index {
                found.at_or_past += 1;
                let contact_age = self.config.max_elapsed(contact_age);
                found.age = Some(found.age.map_or(contact_age, |age| age.max(contact_age)));
            } else {
                found.slowest.push((planner.clone(), row.applied));
            }
        }
        found.unheard.sort_by_key(|(planner, age)| (std::cmp::Reverse(*age), planner.clone()));
        found.unheard.truncate(MAX_LISTED);
        found.slowest.sort_by_key(|(planner, applied)| (*applied, planner.clone()));
        found.slowest.truncate(MAX_LISTED);
        found
    }

    /// The applied index of one planner and the age of its report, if it is counted. For tests and
    /// simulation.
    pub fn counted(&self, now: Moment, planner: &str) -> Option<(u64, Span)> {
        let row = self.planners.get(planner)?;
        let contact_age = self.contact_age(now, row).ok()?;
        Some((row.applied, self.config.max_elapsed(contact_age)))
    }
}
