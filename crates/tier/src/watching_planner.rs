//! A planner that watches: the service, and what it is told by a control machine, one node of one process.
//!
//! | state | input | next | effect |
//! | --- | --- | --- | --- |
//! | opening | its file, or that there is none | numbering | the number of this start goes to the disk with what was kept |
//! | numbering | that is on disk, or is not | up | the service begins, by what was kept; a machine is dialled |
//! | up | something is told | up | the service goes by it at once; it goes to the disk; then it is said to be in force |
//! | up | the list names servers out of scope | up | another scope is asked for |
//! | up | stop | up, until the service has ended | the watch is left: nobody expects this planner any more |
//!
//! Tables never wait: without the tier, or before it answers, the service goes by what was kept.

use crate::keys;
use crate::planner_file::{self, PlannerFile};
use pewtergap_control::{AdminRequest, Service};
use pewtergap_member::{admin, orders};
use pewtergap_node::{Effect, Input, Level, Link, Node, Outbox, NO_FILE};
use pewtergap_record::{Record, Subject};
use pewtergap_time::{Moment, Span};
use pewtergap_watch::messages::MAX_SCOPE_NAMES;
use pewtergap_watch::{Scope, WatchClient, WatchConfig, WatchEvent};
use serde_json::json;
use std::any::Any;
use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};

/// Those of the service lie below these.
const TICK: u64 = 40;
const WATCHING: u64 = 41;
/// Between two looks at the list and at orders whose time is over.
const LOOK: Span = Span::millis(250);
/// A file that could not be written is written anew after this.
const AGAIN: Span = Span::millis(1_000);
const ELSEWHERE: &[&str] = &["/orders", "/record"];

/// Whom it watches.
#[derive(Clone, Debug)]
pub struct WatchTargetConfig {
    pub planner: String,
    pub machines: Vec<(String, SocketAddr)>,
    pub source_ip: Option<IpAddr>,
    pub watch_config: WatchConfig,
    pub seed: u64,
}

enum Stage {
    Opening,
    /// The number of this start goes to the disk.
    Numbering(PlannerFile),
    Up(Box<WatchClient>),
}

/// A write under way, and up to which place it holds.
struct Writing {
    ticket: u64,
    place: u64,
}

pub struct WatchingPlanner {
    service: Service,
    watches: WatchTargetConfig,
    stage: Stage,
    start: u64,
    scope: Scope,
    /// What is told, in the form in which orders are read.
    record: Record,
    among: orders::PlannerSet,
    tickets: u64,
    writing: Option<Writing>,
    /// Something changed that no write holds.
    unwritten: bool,
    again_at: Moment,
}

impl WatchingPlanner {
    pub fn new(mut service: Service, watches: WatchTargetConfig) -> WatchingPlanner {
        service.external_paths = ELSEWHERE;
        let routes = service.routes().iter().cloned().collect();
        WatchingPlanner {
            scope: Scope { servers: None, routes: Some(routes) },
            among: orders::PlannerSet { name: watches.planner.clone(), planners: Vec::new() },
            service,
            watches,
            stage: Stage::Opening,
            start: 0,
            record: Record::default(),
            tickets: 0,
            writing: None,
            unwritten: false,
            again_at: Moment(0),
        }
    }

    fn file(&self) -> String {
        format!("{}.watched", self.watches.planner)
    }

    fn watching(&self) -> Option<&WatchClient> {
        match &self.stage {
            Stage::Up(watching) => Some(watching),
            _ => None,
        }
    }

    // ---- the disk

    fn opened(&mut self, now: Moment, bytes: Result<&[u8], String>, out: &mut Outbox) {
        let kept = match bytes {
            Ok(bytes) => PlannerFile::decode(bytes).unwrap_or_else(|why| {
                let aside = format!("{}.damaged-{:08x}", self.file(), now.0 as u32);
                let fields = vec![("why", why), ("kept_as", aside.clone())];
                out.log(Level::Error, "watched_damaged", fields);
                out.push(Effect::Keep { name: aside, bytes: bytes.to_vec() });
                PlannerFile::default()
            }),
            Err(why) => {
                if why != NO_FILE {
                    out.log(Level::Error, "watched_unread", vec![("why", why)]);
                }
                PlannerFile::default()
            }
        };
        // Above all its own starts, and above those of a disk that was lost.
        self.start = now.0.max(kept.start + 1);
        // Servers of the last start, until the list says otherwise: nothing has to be told anew where it is the same.
        let scope = kept.watched.as_ref().and_then(|watched| watched.scope.clone());
        if let Some(scope) = scope.filter(|scope| scope.routes == self.scope.routes) {
            self.scope = scope;
        }
        let watched = kept.watched.as_ref().map(pewtergap_watch::SavedState::encode).unwrap_or_default();
        self.replace(planner_file::encode(self.start, &watched), 0, out);
        self.stage = Stage::Numbering(kept);
    }

    fn replace(&mut self, bytes: Vec<u8>, place: u64, out: &mut Outbox) {
        self.tickets += 1;
        let ticket = self.tickets;
        self.writing = Some(Writing { ticket, place });
        out.push(Effect::Replace { name: self.file(), bytes, ticket });
    }

    /// Keeps what is in force, one write after the other.
    fn keep(&mut self, now: Moment, out: &mut Outbox) {
        let Stage::Up(watching) = &self.stage else { return };
        if self.writing.is_some() || !self.unwritten || now < self.again_at {
            return;
        }
        let (bytes, place) = (planner_file::encode(self.start, &watching.encode_state()), watching.index());
        self.unwritten = false;
        self.replace(bytes, place, out);
    }

    fn synced(&mut self, now: Moment, ticket: u64, result: Result<(), String>, out: &mut Outbox) {
        let Some(writing) = self.writing.take_if(|writing| writing.ticket == ticket) else { return };
        if let Err(why) = &result {
            out.log(Level::Error, "watched_not_kept", vec![("why", why.clone())]);
        }
        match (&mut self.stage, result) {
            (Stage::Numbering(kept), _) => {
                let kept = std::mem::take(kept);
                self.begin(now, kept.watched, out);
            }
            (Stage::Up(watching), Ok(())) => {
                // Places that changed nothing here hold what was written.
                let place = if self.unwritten { writing.place } else { watching.index() };
                watching.applied(now, place, out);
            }
            // In force, and not said to be: the whole is written again.
            (Stage::Up(_), Err(_)) => (self.unwritten, self.again_at) = (true, now + AGAIN),
            (Stage::Opening, _) => {}
        }
        self.keep(now, out);
    }

    // ---- what is told

    fn begin(&mut self, now: Moment, watched: Option<pewtergap_watch::SavedState>, out: &mut Outbox) {
        let fields = vec![
            ("start", self.start.to_string()),
            ("place", watched.as_ref().map_or(0, |kept| kept.index).to_string()),
        ];
        out.log(Level::Info, "watch_begins", fields);
        let entries = watched.iter().flat_map(|kept| &kept.entries);
        self.put(entries.map(|(key, value)| (key.clone(), Some(value.clone()))).collect(), out);
        let home = pewtergap_watch::ClientConfig {
            planner: self.watches.planner.clone(),
            start: self.start,
            machines: self.watches.machines.clone(),
            scope: self.scope.clone(),
            source_ip: self.watches.source_ip,
            seed: self.watches.seed,
            watch_config: WatchConfig { timer: WATCHING, ..self.watches.watch_config },
        };
        self.stage = Stage::Up(Box::new(WatchClient::new(home, watched)));
        self.service.set_epoch(self.start);
        self.service.handle(now, Input::Start, out);
        self.stand_by(now, None, out);
        self.watch(now, Input::Start, out);
        out.wake(TICK, now + LOOK);
    }

    /// Puts entries into the record; what they are about. One that this build cannot read is left out and said.
    fn put(&mut self, entries: Vec<keys::Entry>, out: &mut Outbox) -> BTreeSet<Subject> {
        let mut subjects = BTreeSet::new();
        for (key, value) in entries {
            match keys::put(&mut self.record, &key, value.as_deref()) {
                Ok(subject) => drop(subjects.insert(subject)),
                Err(why) => out.log(Level::Error, "entry_left_out", vec![("why", why)]),
            }
        }
        subjects
    }

    /// What the record says, told to the service: of these subjects, or all of it.
    fn stand_by(&mut self, now: Moment, subjects: Option<&BTreeSet<Subject>>, out: &mut Outbox) {
        let (record, service, among) = (&self.record, &self.service, &self.among);
        let these = subjects.and_then(|subjects| orders::changes_for(record, service, now, subjects, among));
        let whole = || service.overrides().diff(&orders::full_standing(record, service, now, among));
        let stands = these.unwrap_or_else(whole);
        self.service.apply_overrides(now, &stands, out);
    }

    fn watch(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) {
        let Stage::Up(watching) = &mut self.stage else { return };
        for told in watching.handle(now, input, out) {
            match told {
                WatchEvent::Changed { index, reset, entries } => {
                    self.changed(now, index, reset, entries, out)
                }
                WatchEvent::Watching(machine) => out.log(Level::Info, "watches", vec![("machine", machine)]),
                WatchEvent::Lost(why) => out.log(Level::Warn, "watch_lost", vec![("why", why)]),
            }
        }
    }

    fn changed(&mut self, now: Moment, place: u64, anew: bool, entries: Vec<keys::Entry>, out: &mut Outbox) {
        let fields = vec![
            ("place", place.to_string()),
            ("entries", entries.len().to_string()),
            ("anew", anew.to_string()),
        ];
        out.log(Level::Debug, "told", fields);
        self.unwritten |= anew || !entries.is_empty();
        if anew {
            self.record = Record::default();
        }
        let subjects = self.put(entries, out);
        self.stand_by(now, Some(&subjects).filter(|_| !anew), out);
        if self.unwritten || self.writing.is_some() {
            return self.keep(now, out);
        }
        // Nothing changed within its scope: there is nothing to write.
        if let Stage::Up(watching) = &mut self.stage {
            watching.applied(now, place, out);
        }
    }

    /// Servers that are listed have to be in scope; some that are not any more do no harm.
    fn rescope(&mut self, now: Moment, out: &mut Outbox) {
        let Some(listed) = self.service.server_names().map(|names| names.collect::<BTreeSet<_>>()) else {
            return;
        };
        let fits = match &self.scope.servers {
            _ if listed.len() > MAX_SCOPE_NAMES => self.scope.servers.is_none(),
            Some(known) => {
                known.len() <= 2 * listed.len() + 16 && listed.iter().all(|name| known.contains(*name))
            }
            None => false,
        };
        if fits {
            return;
        }
        let names = (listed.len() <= MAX_SCOPE_NAMES).then(|| listed.into_iter().cloned().collect());
        self.scope.servers = names;
        if let Stage::Up(watching) = &mut self.stage {
            watching.rescope(now, self.scope.clone(), out);
        }
    }

    fn tick(&mut self, now: Moment, out: &mut Outbox) {
        out.wake(TICK, now + LOOK);
        self.rescope(now, out);
        // The time of an order may be over.
        self.stand_by(now, None, out);
        self.keep(now, out);
    }

    // ---- operators

    fn asked(&mut self, now: Moment, asked: AdminRequest, out: &mut Outbox) {
        let AdminRequest { link, method, target, .. } = asked;
        let (status, view) = match (method.as_str(), target.as_str()) {
            ("GET", "/record" | "/record?stale") => (200, self.view(now)),
            _ => {
                let machines: Vec<&String> = self.watches.machines.iter().map(|machine| &machine.0).collect();
                let why = "there is GET /record; orders are given at a control machine";
                (404, json!({ "refused": why, "machines": machines }))
            }
        };
        self.service.answer_admin(link, status, &view.to_string(), out);
    }

    fn view(&self, now: Moment) -> serde_json::Value {
        let watching = self.watching();
        let age = watching.and_then(|watching| watching.age(now));
        let here = |kept: &pewtergap_record::ActiveOrder| orders::applied_share(kept, now, &self.among);
        json!({ "fresh": false, "age_ms": age.map(|age| age.0.div_ceil(1_000_000)),
            "index": watching.map_or(0, WatchClient::index), "watching": watching.and_then(WatchClient::watching),
            "orders": admin::orders_view(&self.record, here), "drains": admin::drains_view(&self.record),
            "start": self.start })
    }

    fn has(&self, link: Link) -> bool {
        self.watching().is_some_and(|watching| watching.owns_link(link))
    }
}

impl Node for WatchingPlanner {
    fn handle(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) {
        match input {
            Input::Start => out.push(Effect::Fetch { name: self.file() }),
            Input::File { name, bytes } if name == self.file() => self.opened(now, bytes, out),
            Input::Synced { ticket, result } => self.synced(now, ticket, result, out),
            Input::Due { timer: TICK } => self.tick(now, out),
            Input::Due { timer: WATCHING } => self.watch(now, input, out),
            Input::Opened { link } | Input::Bytes { link, .. } | Input::Closed { link, .. }
                if self.has(link) =>
            {
                self.watch(now, input, out)
            }
            Input::Stop => {
                if let Stage::Up(watching) = &mut self.stage {
                    watching.leave(now, out);
                }
                // Before its start it has nothing to end in order.
                if matches!(self.stage, Stage::Up(_)) {
                    self.service.handle(now, Input::Stop, out);
                } else {
                    out.push(Effect::Exit { code: 0 });
                }
            }
            input => self.service.handle(now, input, out),
        }
        // Drains that the list tells are kept by nobody here.
        self.service.drain_notices.clear();
        for asked in std::mem::take(&mut self.service.external_requests) {
            self.asked(now, asked, out);
        }
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}
