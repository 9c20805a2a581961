//! The planner service and the cluster member as one node of a process.
//!
//! The service waits for the member only once: before its first message to any proxy it takes its start
//! number from the record. If none arrives in time, it derives one from its own last number and the wall
//! clock.

use crate::accounting::AccountingSender;
use crate::admin;
use crate::member::{Member, MemberConfig, MemberEvent, Reply, Request, FIRST_TIMER, MEMBER_LISTENER};
use crate::messages::peer_message::Kind;
use crate::orders;
use crate::probe_slices::{Holder, ProbeAction, ProbeSlices};
use crate::rollout::RolloutController;
use crate::sharing::{Sharing, SharingAction, SharingMembers};
use pewtergap_control::{AdminRequest, PeerHint, ProbeResult, Service};
use pewtergap_node::{Effect, Input, Level, Link, Node, Outbox};
use pewtergap_record::{
    ActiveOrder, AllocateStartNumber, Command, CommandKind, Drain, Subject, ACCOUNTING_DUTY, RELEASE_DUTY,
};
use pewtergap_time::{Moment, Span};
use serde_json::json;
use std::any::Any;
use std::collections::{BTreeMap, BTreeSet};

const CLOCK_TIMER: u64 = FIRST_TIMER + 100;
const EXIT_TIMER: u64 = FIRST_TIMER + 101;
/// Timeout for the start number.
const START_NUMBER_TIMEOUT: Span = Span::millis(2_000);
/// Time allowed for the leadership transfer on shutdown.
const HANDOVER_TIMEOUT: Span = Span::millis(400);
/// Drains that may wait to be committed.
const MAX_PENDING_DRAINS: usize = 1_024;
/// Drains submitted at once.
const DRAIN_BATCH: usize = 64;
const MEMBER_PATHS: &[&str] = &["/orders", "/record", "/members", "/duties", "/shared"];
const SHARING_TIMER: u64 = FIRST_TIMER + 103;
/// Polling interval of duties and sharing.
const POLL_INTERVAL: Span = Span::millis(50);
const DUTY_TIMER: u64 = FIRST_TIMER + 102;

#[derive(Clone, Debug)]
enum Purpose {
    /// The reply goes to this admin connection.
    AdminCommand(Link),
    AdminRead(Link),
    StartNumber,
    Drain,
    Background,
}

pub struct PlannerNode {
    service: Service,
    member: Member,
    name: String,
    drain_grace: Span,
    has_start_number: bool,
    started: bool,
    stopping: bool,
    last_token: u64,
    purposes: BTreeMap<u64, Purpose>,
    /// Drains not yet known to be committed; each keeps its command id.
    pending_drains: Vec<Command>,
    accounting: Option<AccountingSender>,
    probe_slices: Option<ProbeSlices>,
    rollout: RolloutController,
    sharing: Option<Sharing>,
    /// The share of the cold budget that the service was last told.
    last_cold_share: Option<f64>,
    has_duties: bool,
}

impl PlannerNode {
    pub fn new(mut service: Service, config: MemberConfig, drain_grace: Span) -> PlannerNode {
        service.external_paths = MEMBER_PATHS;
        service.external_probes = config.probe_slices.0 > 0;
        service.traffic.enabled = config.sharing.is_some();
        PlannerNode {
            service,
            rollout: RolloutController::default(),
            last_cold_share: None,
            sharing: config.sharing.map(|sharing| Sharing::new(sharing, config.seed)),
            has_duties: config.duties.is_some(),
            probe_slices: (config.probe_slices.0 > 0)
                .then(|| ProbeSlices::new(config.probe_slices.0, config.probe_slices.1)),
            name: config.name.clone(),
            member: Member::new(config.clone()),
            drain_grace,
            has_start_number: false,
            started: false,
            stopping: false,
            last_token: 0,
            purposes: BTreeMap::new(),
            pending_drains: Vec::new(),
            accounting: config
                .accounting
                .map(|accounting| AccountingSender::new(accounting, config.source_ip)),
        }
    }

    fn submit(&mut self, now: Moment, purpose: Purpose, request: Request, out: &mut Outbox) {
        self.last_token += 1;
        self.purposes.insert(self.last_token, purpose);
        self.member.request(now, self.last_token, request, out);
    }

    /// Chooses a start number that no start of any planner has used; the service starts once it is on disk.
    fn choose_start_number(&mut self, now: Moment, number: Option<u64>, out: &mut Outbox) {
        if self.has_start_number {
            return;
        }
        let fallback = now.0.max(self.member.last_start_number() + 1);
        let fields = vec![
            ("number", number.unwrap_or(fallback).to_string()),
            ("from", if number.is_some() { "the record" } else { "its own disk" }.to_string()),
        ];
        out.log(Level::Info, "start_number", fields);
        let number = number.unwrap_or(fallback);
        self.has_start_number = self.member.use_start_number(number, out);
    }

    fn start_service(&mut self, now: Moment, number: u64, out: &mut Outbox) {
        if std::mem::replace(&mut self.started, true) {
            return;
        }
        self.service.set_epoch(number);
        self.service.handle(now, Input::Start, out);
        self.apply_orders(now, None, out);
    }

    fn planner_set(&self) -> orders::PlannerSet {
        let others = self.member.sharing_peers().into_values().chain([self.name.clone()]);
        orders::PlannerSet { name: self.name.clone(), planners: others.collect() }
    }

    /// Applies the record's orders to the service: for these subjects, or all of them.
    fn apply_orders(&mut self, now: Moment, subjects: Option<&BTreeSet<Subject>>, out: &mut Outbox) {
        if !self.started {
            return;
        }
        let record = &self.member.record;
        let planners = self.planner_set();
        let changes = subjects
            .and_then(|subjects| orders::changes_for(record, &self.service, now, subjects, &planners));
        let all = || orders::all_overrides(record, &self.service, now, &planners);
        let changes = changes.unwrap_or_else(|| self.service.overrides().diff(&all()));
        self.service.apply_overrides(now, &changes, out);
    }

    /// Advances orders in steps while the release duty is held.
    fn advance_rollouts(&mut self, now: Moment, out: &mut Outbox) {
        let Some(fencing_token) = self.member.fencing_token(now, RELEASE_DUTY) else {
            return self.rollout.reset();
        };
        let counts = self.sharing.as_ref().map_or(self.service.try_counts(), Sharing::try_counts);
        for command in self.rollout.poll(now, fencing_token, &self.member.record, counts) {
            self.propose(now, Some(command), out);
        }
    }

    fn on_admin_request(&mut self, now: Moment, request: AdminRequest, out: &mut Outbox) {
        let AdminRequest { link, method, target, body } = request;
        let rejection = |why: String| json!({ "refused": why }).to_string();
        match (method.as_str(), target.as_str()) {
            ("POST", "/orders") => match admin::parse_order(&body) {
                Ok(command) => self.submit(now, Purpose::AdminCommand(link), Request::Command(command), out),
                Err(why) => self.service.answer_admin(link, 400, &rejection(why), out),
            },
            ("POST", "/duties") => match admin::parse_duty_placement(&body) {
                Ok(command) => self.submit(now, Purpose::AdminCommand(link), Request::Command(command), out),
                Err(why) => self.service.answer_admin(link, 400, &rejection(why), out),
            },
            ("GET", "/shared") => {
                let view = self.sharing_view(now);
                self.service.answer_admin(link, 200, &view, out);
            }
            ("GET", "/duties") => {
                let view = self.duties_view(now);
                self.service.answer_admin(link, 200, &view, out);
            }
            ("POST", "/members") => match admin::parse_member_change(&body, &self.member.member_views(now)) {
                Ok(change) => {
                    self.submit(now, Purpose::AdminCommand(link), Request::MemberChange(change), out)
                }
                Err(why) => self.service.answer_admin(link, 400, &rejection(why), out),
            },
            ("GET", "/record?stale") => self.submit(now, Purpose::AdminRead(link), Request::StaleRead, out),
            ("GET", "/record") => self.submit(now, Purpose::AdminRead(link), Request::LinearizableRead, out),
            ("GET", "/members") => {
                let view = admin::members_view(&self.name, &self.member, now);
                self.service.answer_admin(link, 200, &view, out);
            }
            _ => {
                let why =
                    "unknown path: there are POST /orders, /members, /duties and GET /members, /duties, /shared, /record, /record?stale";
                self.service.answer_admin(link, 404, &rejection(why.into()), out);
            }
        }
    }

    fn on_reply(&mut self, now: Moment, token: u64, reply: Reply, out: &mut Outbox) {
        match (self.purposes.remove(&token), reply) {
            (Some(Purpose::StartNumber), reply) => {
                let number = if let Reply::Committed(number) = reply { Some(number) } else { None };
                self.choose_start_number(now, number, out);
            }
            (Some(Purpose::AdminCommand(link)), reply) => {
                let (status, body) = admin::render_reply(&reply);
                self.service.answer_admin(link, status, &body.to_string(), out);
            }
            (Some(Purpose::AdminRead(link)), Reply::ReadReady { fresh, age }) => {
                let view = self.record_view(now, fresh, age);
                self.service.answer_admin(link, 200, &view, out);
            }
            (Some(Purpose::AdminRead(link)), _) => {
                self.service.answer_admin(link, 503, &json!({ "answer": "too much waits" }).to_string(), out);
            }
            (Some(Purpose::Drain | Purpose::Background) | None, _) => {}
        }
    }

    /// The holders of duties according to the record, and the duties this planner acts on.
    fn duties_view(&self, now: Moment) -> String {
        let held = self.member.held_duties(now);
        let ms = now.0 / 1_000_000;
        let view = |(duty, assigned): (&String, &pewtergap_record::Duty)| {
            let here = held.iter().find(|held| held.0 == *duty && held.1 == assigned.fencing_token);
            json!({ "duty": duty, "holder": if assigned.holder == 0 { "" } else { assigned.holder_name.as_str() },
                "number": assigned.fencing_token, "age_ms": ms.saturating_sub(assigned.since_ms), "wanted": assigned.pinned_to,
                "here": here.is_some(), "acts": here.is_some_and(|held| held.2) })
        };
        let duties: Vec<serde_json::Value> = self.member.record.duties().iter().map(view).collect();
        let (state, _) = self.member.record.accounting();
        json!({ "name": self.name, "duties": duties,
            "books": { "closed": state.closed_period, "arrived": state.delivered_period,
                "sent_here": self.accounting.as_ref().map(|accounting| accounting.sent),
                "refused_here": self.accounting.as_ref().map(|accounting| accounting.rejected) },
            "lease_ms": self.member.record.lease_ms(), "probes": self.probe_slices.as_ref().map(|slices| json!({
                "doubts": slices.fallbacks, "fenced": slices.rejected_results() })) })
            .to_string()
    }

    /// Runs the accounting export while its duty is held.
    fn run_accounting(&mut self, now: Moment, out: &mut Outbox) {
        let Some(accounting) = &mut self.accounting else { return };
        let Some(fencing_token) = self.member.fencing_token(now, ACCOUNTING_DUTY) else {
            return accounting.abort(now, out);
        };
        let usage = self.sharing.as_ref().map(|sharing| sharing.usage(now)).unwrap_or_default();
        let command = accounting.poll(now, fencing_token, self.member.record.accounting().0, usage, out);
        self.propose(now, command, out);
    }

    fn propose(&mut self, now: Moment, kind: Option<CommandKind>, out: &mut Outbox) {
        let Some(kind) = kind else { return };
        let command =
            Command { id: self.member.random_id(), issued_at_ms: now.0 / 1_000_000, kind: Some(kind) };
        self.submit(now, Purpose::Background, Request::Command(command), out);
    }

    fn accounting_input(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) {
        let Some(accounting) = &mut self.accounting else { return };
        match input {
            // Connecting took time, so the duty is checked again right before the effect.
            Input::Opened { .. } => {
                accounting.on_opened(
                    now,
                    self.member.fencing_token(now, ACCOUNTING_DUTY),
                    self.member.record.accounting(),
                    out,
                );
            }
            Input::Bytes { bytes, .. } => {
                let command = accounting.on_bytes(now, bytes, out);
                self.propose(now, command, out);
            }
            Input::Closed { .. } => accounting.on_closed(now),
            _ => {}
        }
    }

    fn run_sharing(&mut self, now: Moment, out: &mut Outbox) {
        let Some(sharing) = &mut self.sharing else { return };
        let identity = (self.member.id(), self.member.disk_starts());
        let members =
            SharingMembers { identity, name: self.name.clone(), peers: self.member.sharing_peers() };
        let actions = sharing.poll(now, &members, &mut self.service);
        self.member.demands = sharing.demands(now);
        self.run_sharing_actions(now, actions, out);
    }

    /// Updates the service's share of the cold budget before it acts. A process that was suspended for longer
    /// than its lease would otherwise write lines for cold servers by its old share until the next poll.
    fn update_cold_share(&mut self, now: Moment, out: &mut Outbox) {
        if self.sharing.is_some() && self.started {
            let share = self.member.cold_budget_share(now);
            if std::mem::replace(&mut self.last_cold_share, share) != share {
                self.service.apply_hint(now, PeerHint::ColdShare(share), out);
            }
        }
    }

    fn run_sharing_actions(&mut self, now: Moment, actions: Vec<SharingAction>, out: &mut Outbox) {
        for action in actions {
            match action {
                SharingAction::Send(to, kind) => {
                    let is_request = matches!(kind, Kind::CountsRequest(_));
                    if !self.member.send_sharing(to, kind, out) && is_request {
                        self.sharing.iter_mut().for_each(|sharing| sharing.on_connection_lost(to));
                    }
                }
                SharingAction::Broadcast(kind) => {
                    let peers: Vec<u64> = self.member.sharing_peers().into_keys().collect();
                    for to in peers {
                        self.member.send_sharing(to, kind.clone(), out);
                    }
                }
                SharingAction::Hint(hint) => self.service.apply_hint(now, hint, out),
                SharingAction::StateChanged(id, state) => {
                    let name = self.member.sharing_peers().remove(&id).unwrap_or_default();
                    out.log(Level::Info, "member_believed", vec![("member", name), ("state", state.into())]);
                }
            }
        }
    }

    fn sharing_view(&self, now: Moment) -> String {
        let mut view =
            self.sharing.as_ref().map_or(json!({ "name": self.name }), |sharing| sharing.view(now));
        view["cold"] = json!(self.member.cold_budget_view(now));
        view["cold_share"] = json!(self.member.cold_budget_share(now));
        view["disk"] = json!(format!("{:016x}", self.member.id()));
        view.to_string()
    }

    fn slice_duty(&self, server: &str) -> Option<String> {
        Some(self.probe_slices.as_ref()?.duty_name(self.service.zone_of(server)?, server))
    }

    /// Routes the probes that the service requests, and reports the results of local ones.
    fn route_probes(&mut self, now: Moment, out: &mut Outbox) {
        let (requests, results) = (
            std::mem::take(&mut self.service.probe_requests),
            std::mem::take(&mut self.service.probe_results),
        );
        for server in requests {
            let Some(duty) = self.slice_duty(&server) else {
                self.service.probe_server(now, &server, out);
                continue;
            };
            let (ours, (id, connected)) = (self.member.fencing_token(now, &duty), self.member.holder(&duty));
            let holder = Holder { id, connected };
            let action =
                self.probe_slices.as_mut().and_then(|slices| slices.request(now, duty, server, ours, holder));
            action.into_iter().for_each(|action| self.run_probe_action(now, action, out));
        }
        for ProbeResult { server, end, load } in results {
            let Some(duty) = self.slice_duty(&server) else { continue };
            let ours = self.member.fencing_token(now, &duty);
            let action = self
                .probe_slices
                .as_mut()
                .and_then(|slices| slices.on_local_result(now, duty, server, end, load, ours));
            action.into_iter().for_each(|action| self.run_probe_action(now, action, out));
        }
    }

    fn on_probe_message(&mut self, now: Moment, from: u64, kind: Kind, out: &mut Outbox) {
        let Some(slices) = &mut self.probe_slices else { return };
        let actions = match kind {
            Kind::ProbeRequest(request) => match self.member.fencing_token(now, &request.duty) {
                Some(fencing_token) => slices.on_request(now, from, request, fencing_token),
                // The slice is no longer held here; the sender's deadline makes it probe by itself.
                None => Vec::new(),
            },
            Kind::ProbeAccepted(accepted) => {
                slices.on_accepted(now, &accepted);
                Vec::new()
            }
            Kind::ProbeResult(result) => slices.on_result(now, result).into_iter().collect(),
            _ => Vec::new(),
        };
        actions.into_iter().for_each(|action| self.run_probe_action(now, action, out));
    }

    fn run_probe_action(&mut self, now: Moment, action: ProbeAction, out: &mut Outbox) {
        match action {
            ProbeAction::ProbeLocally(server) => self.service.probe_server(now, &server, out),
            ProbeAction::Send(to, kind) => self.member.send_urgent(to, kind, out),
            ProbeAction::Broadcast(kind) => self.member.broadcast_urgent(&kind, out),
            ProbeAction::Deliver { server, outcome: end, load } => {
                self.service.remote_probe_ended(now, &server, end, load, out)
            }
        }
    }

    fn record_view(&self, now: Moment, fresh: bool, age: Span) -> String {
        let planners = self.planner_set();
        let here = |active: &ActiveOrder| orders::applied_share(active, now, &planners);
        admin::record_view(&self.member, fresh, age, here).to_string()
    }

    /// Stores drains seen in the server list in the record, in the background: the tables have already
    /// changed.
    fn store_drains(&mut self, now: Moment, out: &mut Outbox) {
        let notices = std::mem::take(&mut self.service.drain_notices);
        let grace_ms = self.drain_grace.0 / 1_000_000;
        for notice in notices {
            let (started, server) = (notice.started.0 / 1_000_000, notice.server);
            if self.member.record.is_drained(&server, started)
                || self.pending_drains.len() >= MAX_PENDING_DRAINS
            {
                continue;
            }
            let notified_at_ms = notice.notified_at.0 / 1_000_000;
            let drain = Drain { server, started, notified_at_ms, grace_ms };
            let id = self.member.random_id();
            self.pending_drains.push(Command {
                id,
                issued_at_ms: notified_at_ms,
                kind: Some(CommandKind::Drain(drain)),
            });
        }
        let in_flight = self.purposes.values().any(|purpose| matches!(purpose, Purpose::Drain));
        if self.pending_drains.is_empty() || in_flight {
            return;
        }
        let (ms, record) = (now.0 / 1_000_000, &self.member.record);
        // Drains whose grace period has ended need not be stored.
        self.pending_drains.retain(|command| match &command.kind {
            Some(CommandKind::Drain(drain)) => {
                !record.is_drained(&drain.server, drain.started) && drain.notified_at_ms + drain.grace_ms > ms
            }
            _ => false,
        });
        let next: Vec<Command> = self.pending_drains.iter().take(DRAIN_BATCH).cloned().collect();
        for command in next {
            self.submit(now, Purpose::Drain, Request::Command(command), out);
        }
    }

    fn request_start_number(&mut self, now: Moment, out: &mut Outbox) {
        let at_least = now.0.max(self.member.last_start_number() + 1);
        let allocate = AllocateStartNumber { planner: self.name.clone(), at_least };
        let command = Command {
            id: self.member.random_id(),
            issued_at_ms: now.0 / 1_000_000,
            kind: Some(CommandKind::AllocateStartNumber(allocate)),
        };
        self.submit(now, Purpose::StartNumber, Request::Command(command), out);
    }

    /// Exchanges pending events between the service and the member.
    fn exchange_events(&mut self, now: Moment, out: &mut Outbox) {
        loop {
            let (requests, events) = (
                std::mem::take(&mut self.service.external_requests),
                std::mem::take(&mut self.member.events),
            );
            if requests.is_empty() && events.is_empty() {
                break;
            }
            for request in requests {
                self.on_admin_request(now, request, out);
            }
            for event in events {
                match event {
                    MemberEvent::Reply { token, reply } => self.on_reply(now, token, reply, out),
                    MemberEvent::SubjectsChanged(subjects) => self.apply_orders(now, subjects.as_ref(), out),
                    MemberEvent::StartNumberStored(number) => self.start_service(now, number, out),
                    MemberEvent::Probe(from, kind) => self.on_probe_message(now, from, kind, out),
                    MemberEvent::Sharing(from, kind) => {
                        let actions = self.sharing.as_mut().map(|sharing| sharing.receive(now, from, kind));
                        self.run_sharing_actions(now, actions.unwrap_or_default(), out);
                    }
                    // Only control machines serve watches; a restored record is also reported as changed.
                    MemberEvent::Roster(..) | MemberEvent::Restored => {}
                    MemberEvent::PeerLost(id) => {
                        self.sharing.iter_mut().for_each(|sharing| sharing.on_connection_lost(id))
                    }
                }
            }
        }
        self.store_drains(now, out);
        self.route_probes(now, out);
    }
}

impl Node for PlannerNode {
    fn handle(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) {
        let exiting = matches!(input, Input::TimerFired { timer: EXIT_TIMER });
        self.update_cold_share(now, out);
        match input {
            Input::Start => {
                self.member.handle(now, Input::Start, out);
                self.request_start_number(now, out);
                out.set_timer(CLOCK_TIMER, now + START_NUMBER_TIMEOUT);
                if self.has_duties {
                    out.set_timer(DUTY_TIMER, now + POLL_INTERVAL);
                }
                if self.sharing.is_some() {
                    out.set_timer(SHARING_TIMER, now + POLL_INTERVAL);
                }
            }
            Input::TimerFired { timer: SHARING_TIMER } => {
                if self.started {
                    self.run_sharing(now, out);
                }
                out.set_timer(SHARING_TIMER, now + POLL_INTERVAL);
            }
            Input::TimerFired { timer: DUTY_TIMER } => {
                self.run_accounting(now, out);
                self.advance_rollouts(now, out);
                let expired = self.probe_slices.as_mut().map(|slices| slices.tick(now)).unwrap_or_default();
                expired.into_iter().for_each(|action| self.run_probe_action(now, action, out));
                out.set_timer(DUTY_TIMER, now + POLL_INTERVAL);
            }
            Input::TimerFired { timer: CLOCK_TIMER } => {
                self.choose_start_number(now, None, out);
                // Orders may have expired.
                self.apply_orders(now, None, out);
                out.set_timer(CLOCK_TIMER, now + Span::millis(1_000));
            }
            Input::TimerFired { timer: EXIT_TIMER } => out.push(Effect::Exit { code: 0 }),
            Input::File { name, .. } if name == self.member.file_name() => {
                self.member.handle(now, input, out)
            }
            Input::Synced { .. } => self.member.handle(now, input, out),
            Input::Listening { listener: MEMBER_LISTENER, .. }
            | Input::NotListening { listener: MEMBER_LISTENER, .. }
            | Input::Accepted { listener: MEMBER_LISTENER, .. } => self.member.handle(now, input, out),
            Input::Opened { link } | Input::Bytes { link, .. } | Input::Closed { link, .. }
                if self.accounting.as_ref().is_some_and(|accounting| accounting.owns_link(link)) =>
            {
                self.accounting_input(now, input, out)
            }
            Input::Opened { link } | Input::Bytes { link, .. } | Input::Closed { link, .. }
                if self.member.owns_link(link) =>
            {
                self.member.handle(now, input, out)
            }
            Input::TimerFired { timer } if timer >= FIRST_TIMER => self.member.handle(now, input, out),
            Input::Stop if !self.stopping => {
                self.stopping = true;
                self.member.stop(now, out);
                out.set_timer(EXIT_TIMER, now + HANDOVER_TIMEOUT);
                self.service.handle(now, Input::Stop, out);
            }
            input => self.service.handle(now, input, out),
        }
        self.exchange_events(now, out);
        // The service would exit sooner; the member needs time for its last messages.
        if self.stopping && !exiting {
            out.effects.retain(|effect| !matches!(effect, Effect::Exit { code: 0 }));
        }
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}
