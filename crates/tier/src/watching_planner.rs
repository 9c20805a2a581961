//! A planner that watches: the service and its watch of a control machine, as one node.
//!
//! | state | input | next | effect |
//! | --- | --- | --- | --- |
//! | opening | its file, or that there is none | saving start | write the number of this start to disk, with the saved state |
//! | saving start | the write ended, successfully or not | running | start the service with the saved state, dial a machine |
//! | running | changes received | running | apply them to the service at once, write them to disk, then report them as applied |
//! | running | the list names servers out of scope | running | request another scope |
//! | running | stop | running, until the service has ended | leave the watch: this planner is no longer expected |
//!
//! Tables never wait: without a control machine, or before one answers, the service uses the saved state.

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

/// The service's timers have lower numbers.
const TICK_TIMER: u64 = 40;
const WATCH_TIMER: u64 = 41;
/// Interval for checking the list and expired orders.
const CHECK_INTERVAL: Span = Span::millis(250);
/// Delay before a failed write is retried.
const RETRY_DELAY: Span = Span::millis(1_000);
const EXTERNAL_PATHS: &[&str] = &["/orders", "/record"];

/// The control machines to watch, and how.
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
    /// The number of this start is being written to disk.
    SavingStart(PlannerFile),
    Running(Box<WatchClient>),
}

/// A write in progress, and the index that it covers.
struct PendingWrite {
    ticket: u64,
    index: u64,
}

pub struct WatchingPlanner {
    service: Service,
    target: WatchTargetConfig,
    stage: Stage,
    start: u64,
    scope: Scope,
    /// The received state, as a record from which orders are read.
    record: Record,
    planner_set: orders::PlannerSet,
    last_ticket: u64,
    pending_write: Option<PendingWrite>,
    /// Changes that no write covers yet.
    dirty: bool,
    retry_at: Moment,
}

impl WatchingPlanner {
    pub fn new(mut service: Service, target: WatchTargetConfig) -> WatchingPlanner {
        service.external_paths = EXTERNAL_PATHS;
        let routes = service.routes().iter().cloned().collect();
        WatchingPlanner {
            scope: Scope { servers: None, routes: Some(routes) },
            planner_set: orders::PlannerSet { name: target.planner.clone(), planners: Vec::new() },
            service,
            target,
            stage: Stage::Opening,
            start: 0,
            record: Record::default(),
            last_ticket: 0,
            pending_write: None,
            dirty: false,
            retry_at: Moment(0),
        }
    }

    fn file_name(&self) -> String {
        format!("{}.watched", self.target.planner)
    }

    fn watching(&self) -> Option<&WatchClient> {
        match &self.stage {
            Stage::Running(watching) => Some(watching),
            _ => None,
        }
    }

    // ---- disk

    fn handle_file(&mut self, now: Moment, bytes: Result<&[u8], String>, out: &mut Outbox) {
        let file = match bytes {
            Ok(bytes) => PlannerFile::decode(bytes).unwrap_or_else(|why| {
                let backup_name = format!("{}.damaged-{:08x}", self.file_name(), now.0 as u32);
                let fields = vec![("why", why), ("kept_as", backup_name.clone())];
                out.log(Level::Error, "watched_damaged", fields);
                out.push(Effect::SaveFile { name: backup_name, bytes: bytes.to_vec() });
                PlannerFile::default()
            }),
            Err(why) => {
                if why != NO_FILE {
                    out.log(Level::Error, "watched_unread", vec![("why", why)]);
                }
                PlannerFile::default()
            }
        };
        // Higher than all its earlier starts, also those on a lost disk.
        self.start = now.0.max(file.start + 1);
        // Keeps the servers of the last start until the list is known, so that an unchanged scope needs no
        // snapshot.
        let scope = file.state.as_ref().and_then(|state| state.scope.clone());
        if let Some(scope) = scope.filter(|scope| scope.routes == self.scope.routes) {
            self.scope = scope;
        }
        let state = file.state.as_ref().map(pewtergap_watch::SavedState::encode).unwrap_or_default();
        self.write_file(planner_file::encode(self.start, &state), 0, out);
        self.stage = Stage::SavingStart(file);
    }

    fn write_file(&mut self, bytes: Vec<u8>, index: u64, out: &mut Outbox) {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        self.pending_write = Some(PendingWrite { ticket, index });
        out.push(Effect::ReplaceFile { name: self.file_name(), bytes, ticket });
    }

    /// Writes the state to disk, one write at a time.
    fn save(&mut self, now: Moment, out: &mut Outbox) {
        let Stage::Running(watching) = &self.stage else { return };
        if self.pending_write.is_some() || !self.dirty || now < self.retry_at {
            return;
        }
        let (bytes, index) = (planner_file::encode(self.start, &watching.encode_state()), watching.index());
        self.dirty = false;
        self.write_file(bytes, index, out);
    }

    fn handle_synced(&mut self, now: Moment, ticket: u64, result: Result<(), String>, out: &mut Outbox) {
        let Some(pending_write) = self.pending_write.take_if(|write| write.ticket == ticket) else { return };
        if let Err(why) = &result {
            out.log(Level::Error, "watched_not_kept", vec![("why", why.clone())]);
        }
        match (&mut self.stage, result) {
            (Stage::SavingStart(file), _) => {
                let file = std::mem::take(file);
                self.start_service(now, file.state, out);
            }
            (Stage::Running(watching), Ok(())) => {
                // Indexes without changes in scope are covered by the last write.
                let index = if self.dirty { pending_write.index } else { watching.index() };
                watching.applied(now, index, out);
            }
            // Applied but not reported as such; the whole state is written again.
            (Stage::Running(_), Err(_)) => (self.dirty, self.retry_at) = (true, now + RETRY_DELAY),
            (Stage::Opening, _) => {}
        }
        self.save(now, out);
    }

    // ---- watch

    fn start_service(&mut self, now: Moment, state: Option<pewtergap_watch::SavedState>, out: &mut Outbox) {
        let fields = vec![
            ("start", self.start.to_string()),
            ("place", state.as_ref().map_or(0, |state| state.index).to_string()),
        ];
        out.log(Level::Info, "watch_begins", fields);
        let entries = state.iter().flat_map(|state| &state.entries);
        self.apply_entries(entries.map(|(key, value)| (key.clone(), Some(value.clone()))).collect(), out);
        let client_config = pewtergap_watch::ClientConfig {
            planner: self.target.planner.clone(),
            start: self.start,
            machines: self.target.machines.clone(),
            scope: self.scope.clone(),
            source_ip: self.target.source_ip,
            seed: self.target.seed,
            watch_config: WatchConfig { timer: WATCH_TIMER, ..self.target.watch_config },
        };
        self.stage = Stage::Running(Box::new(WatchClient::new(client_config, state)));
        self.service.set_epoch(self.start);
        self.service.handle(now, Input::Start, out);
        self.apply_orders(now, None, out);
        self.handle_watch(now, Input::Start, out);
        out.set_timer(TICK_TIMER, now + CHECK_INTERVAL);
    }

    /// Applies entries to the record and returns their subjects. Entries that this build cannot read are
    /// skipped and logged.
    fn apply_entries(&mut self, entries: Vec<keys::Entry>, out: &mut Outbox) -> BTreeSet<Subject> {
        let mut subjects = BTreeSet::new();
        for (key, value) in entries {
            match keys::apply_entry(&mut self.record, &key, value.as_deref()) {
                Ok(subject) => drop(subjects.insert(subject)),
                Err(why) => out.log(Level::Error, "entry_left_out", vec![("why", why)]),
            }
        }
        subjects
    }

    /// Passes the record's orders to the service: those of the given subjects, or all.
    fn apply_orders(&mut self, now: Moment, subjects: Option<&BTreeSet<Subject>>, out: &mut Outbox) {
        let (record, service, planner_set) = (&self.record, &self.service, &self.planner_set);
        let changed =
            subjects.and_then(|subjects| orders::changes_for(record, service, now, subjects, planner_set));
        let full_overrides =
            || service.overrides().diff(&orders::all_overrides(record, service, now, planner_set));
        let overrides = changed.unwrap_or_else(full_overrides);
        self.service.apply_overrides(now, &overrides, out);
    }

    fn handle_watch(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) {
        let Stage::Running(watching) = &mut self.stage else { return };
        for event in watching.handle(now, input, out) {
            match event {
                WatchEvent::Changed { index, reset, entries } => {
                    self.handle_changes(now, index, reset, entries, out)
                }
                WatchEvent::Watching(machine) => out.log(Level::Info, "watches", vec![("machine", machine)]),
                WatchEvent::Lost(why) => out.log(Level::Warn, "watch_lost", vec![("why", why)]),
            }
        }
    }

    fn handle_changes(
        &mut self,
        now: Moment,
        index: u64,
        reset: bool,
        entries: Vec<keys::Entry>,
        out: &mut Outbox,
    ) {
        let fields = vec![
            ("place", index.to_string()),
            ("entries", entries.len().to_string()),
            ("anew", reset.to_string()),
        ];
        out.log(Level::Debug, "told", fields);
        self.dirty |= reset || !entries.is_empty();
        if reset {
            self.record = Record::default();
        }
        let subjects = self.apply_entries(entries, out);
        self.apply_orders(now, Some(&subjects).filter(|_| !reset), out);
        if self.dirty || self.pending_write.is_some() {
            return self.save(now, out);
        }
        // Nothing changed within the scope, so there is nothing to write.
        if let Stage::Running(watching) = &mut self.stage {
            watching.applied(now, index, out);
        }
    }

    /// Listed servers must be in scope; a few that are no longer listed do no harm.
    fn update_scope(&mut self, now: Moment, out: &mut Outbox) {
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
        if let Stage::Running(watching) = &mut self.stage {
            watching.rescope(now, self.scope.clone(), out);
        }
    }

    fn tick(&mut self, now: Moment, out: &mut Outbox) {
        out.set_timer(TICK_TIMER, now + CHECK_INTERVAL);
        self.update_scope(now, out);
        // An order may have expired.
        self.apply_orders(now, None, out);
        self.save(now, out);
    }

    // ---- admin requests

    fn handle_admin(&mut self, now: Moment, request: AdminRequest, out: &mut Outbox) {
        let AdminRequest { link, method, target, .. } = request;
        let (status, view) = match (method.as_str(), target.as_str()) {
            ("GET", "/record" | "/record?stale") => (200, self.render_record(now)),
            _ => {
                let machines: Vec<&String> = self.target.machines.iter().map(|machine| &machine.0).collect();
                let why = "only GET /record is supported here; send orders to a control machine";
                (404, json!({ "refused": why, "machines": machines }))
            }
        };
        self.service.answer_admin(link, status, &view.to_string(), out);
    }

    fn render_record(&self, now: Moment) -> serde_json::Value {
        let watching = self.watching();
        let age = watching.and_then(|watching| watching.age(now));
        let here =
            |order: &pewtergap_record::ActiveOrder| orders::applied_share(order, now, &self.planner_set);
        json!({ "fresh": false, "age_ms": age.map(|age| age.0.div_ceil(1_000_000)),
            "index": watching.map_or(0, WatchClient::index), "watching": watching.and_then(WatchClient::watching),
            "orders": admin::orders_view(&self.record, here), "drains": admin::drains_view(&self.record),
            "start": self.start })
    }

    fn owns_link(&self, link: Link) -> bool {
        self.watching().is_some_and(|watching| watching.owns_link(link))
    }
}

impl Node for WatchingPlanner {
    fn handle(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) {
        match input {
            Input::Start => out.push(Effect::ReadFile { name: self.file_name() }),
            Input::File { name, bytes } if name == self.file_name() => self.handle_file(now, bytes, out),
            Input::Synced { ticket, result } => self.handle_synced(now, ticket, result, out),
            Input::TimerFired { timer: TICK_TIMER } => self.tick(now, out),
            Input::TimerFired { timer: WATCH_TIMER } => self.handle_watch(now, input, out),
            Input::Opened { link } | Input::Bytes { link, .. } | Input::Closed { link, .. }
                if self.owns_link(link) =>
            {
                self.handle_watch(now, input, out)
            }
            Input::Stop => {
                if let Stage::Running(watching) = &mut self.stage {
                    watching.leave(now, out);
                }
                // There is nothing to shut down before the service has started.
                if matches!(self.stage, Stage::Running(_)) {
                    self.service.handle(now, Input::Stop, out);
                } else {
                    out.push(Effect::Exit { code: 0 });
                }
            }
            input => self.service.handle(now, input, out),
        }
        // Drains found in the list are not stored by a watching planner.
        self.service.drain_notices.clear();
        for request in std::mem::take(&mut self.service.external_requests) {
            self.handle_admin(now, request, out);
        }
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}
