//! A control machine: a voter or observer of the record together with the watches that it serves, as one
//! node.
//!
//! | event from the member | what watchers receive |
//! | --- | --- |
//! | commands were applied | what they may have changed, at the last applied index |
//! | the record was read from a snapshot | the full state, once it isn't behind what was published before |
//! | a read was confirmed | everything committed when the read was requested is applied here |

use crate::keys;
use pewtergap_control::{AdminRequest, AdminServer};
use pewtergap_member::{
    admin, Member, MemberConfig, MemberEvent, Reply, Request, FIRST_TIMER, MEMBER_LISTENER,
};
use pewtergap_node::{Effect, Input, Level, Link, Node, Outbox};
use pewtergap_record::RELEASE_DUTY;
use pewtergap_time::{Moment, Span};
use pewtergap_watch::{WatchConfig, WatchServer};
use serde_json::json;
use std::any::Any;
use std::collections::BTreeMap;
use std::net::SocketAddr;

const ADMIN_LISTENER: u32 = 1;
const WATCH_LISTENER: u32 = MEMBER_LISTENER + 1;

mod timer {
    pub const FRESH_READ: u64 = 1;
    pub const ROSTER_UPDATE: u64 = 2;
    pub const EXIT: u64 = 3;
    pub const WATCH_SERVER: u64 = 4;
}

/// Interval between confirmed reads; no reported age is lower than this.
const FRESH_READ_INTERVAL: Span = Span::millis(500);
/// Limit on pending reads: without a majority none of them is answered before its time limit.
const MAX_PENDING_READS: usize = 8;
/// Interval between roster updates to other control machines.
const ROSTER_INTERVAL: Span = Span::millis(200);
/// Time at shutdown for handing over leadership and writing the last messages.
const HANDOVER_TIME: Span = Span::millis(400);

/// Configuration of a control machine.
#[derive(Clone, Debug)]
pub struct ControlMachineConfig {
    /// Configuration as a member of the record.
    pub member: MemberConfig,
    /// Listen address for planners.
    pub watches: SocketAddr,
    pub admin: Option<SocketAddr>,
    pub watch_config: WatchConfig,
    pub seed: u64,
}

enum Purpose {
    Reply(Link),
    ShowRecord(Link),
    Freshness(Moment),
}

pub struct ControlMachine {
    config: ControlMachineConfig,
    member: Member,
    watch_server: WatchServer,
    admin: AdminServer,
    last_token: u64,
    pending_requests: BTreeMap<u64, Purpose>,
    /// Index up to which changes are published to watchers.
    published_index: u64,
    /// The changes since the published index are unknown.
    full_state_needed: bool,
    /// Id of the record that is served; 0: none yet.
    record_id: u64,
    stopping: bool,
}

impl ControlMachine {
    pub fn new(config: ControlMachineConfig) -> ControlMachine {
        let member_config = MemberConfig { serves_watches: true, seed: config.seed, ..config.member.clone() };
        let watch_config = WatchConfig { timer: timer::WATCH_SERVER, ..config.watch_config };
        ControlMachine {
            watch_server: WatchServer::new(watch_config, member_config.name.clone(), config.seed),
            member: Member::new(member_config),
            admin: AdminServer::default(),
            last_token: 0,
            pending_requests: BTreeMap::new(),
            published_index: 0,
            full_state_needed: true,
            record_id: 0,
            stopping: false,
            config,
        }
    }

    fn request(&mut self, now: Moment, purpose: Purpose, request: Request, out: &mut Outbox) {
        self.last_token += 1;
        self.pending_requests.insert(self.last_token, purpose);
        self.member.request(now, self.last_token, request, out);
    }

    fn start(&mut self, now: Moment, out: &mut Outbox) {
        self.member.handle(now, Input::Start, out);
        if let Some(at) = self.config.admin {
            out.push(Effect::Listen { listener: ADMIN_LISTENER, at });
        }
        out.push(Effect::Listen { listener: WATCH_LISTENER, at: self.config.watches });
        out.set_timer(timer::FRESH_READ, now + FRESH_READ_INTERVAL);
        out.set_timer(timer::ROSTER_UPDATE, now + ROSTER_INTERVAL);
    }

    // ---- the record

    /// Publishes the applied state to watchers.
    fn publish(&mut self, now: Moment, out: &mut Outbox) {
        let (index, record_id) =
            (self.member.raft().map_or(0, |raft| raft.applied_index()), self.member.cluster_id());
        // A member whose disk was lost reads the record from its beginning; watchers keep their state until
        // it has caught up.
        if index == 0
            || index < self.published_index
            || !self.full_state_needed && index == self.published_index
        {
            return;
        }
        if self.record_id != 0 && self.record_id != record_id {
            let fields =
                vec![("served", format!("{:016x}", self.record_id)), ("now", format!("{record_id:016x}"))];
            out.log(Level::Error, "another_record", fields);
            return out.push(Effect::Exit { code: 4 });
        }
        let touched = std::mem::take(&mut self.member.touched_subjects);
        if std::mem::take(&mut self.full_state_needed) {
            self.watch_server.restore(now, index, keys::all_entries(&self.member.record), out);
        } else {
            self.watch_server.apply(now, index, keys::entries_for(&self.member.record, &touched), out);
        }
        self.published_index = index;
        if self.record_id == 0 {
            self.record_id = record_id;
            self.watch_server.set_record_id(now, record_id, out);
            let fields = vec![("record", format!("{record_id:016x}")), ("place", index.to_string())];
            out.log(Level::Info, "serves", fields);
        }
    }

    /// Requests a confirmed read, which bounds the age of the applied state.
    fn request_fresh_read(&mut self, now: Moment, out: &mut Outbox) {
        out.set_timer(timer::FRESH_READ, now + FRESH_READ_INTERVAL);
        let pending_reads =
            self.pending_requests.values().filter(|purpose| matches!(purpose, Purpose::Freshness(_))).count();
        if pending_reads < MAX_PENDING_READS && self.member.raft().is_some() {
            self.request(now, Purpose::Freshness(now), Request::LinearizableRead, out);
        }
    }

    fn send_roster_updates(&mut self, now: Moment, out: &mut Outbox) {
        out.set_timer(timer::ROSTER_UPDATE, now + ROSTER_INTERVAL);
        for (id, name) in self.member.control_machines() {
            for update in self.watch_server.roster.updates_for(now, &name) {
                self.member.send_roster(id, update, out);
            }
        }
    }

    // ---- admin requests

    fn handle_admin(&mut self, now: Moment, request: AdminRequest, out: &mut Outbox) {
        let AdminRequest { link, method, target, body } = request;
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let refused = match (method.as_str(), path) {
            ("POST", "/orders") => {
                match admin::parse_order(&body).and_then(|command| self.check_steps(command)) {
                    Ok(command) => {
                        return self.request(now, Purpose::Reply(link), Request::Command(command), out)
                    }
                    Err(why) => (400, why),
                }
            }
            ("POST", "/members") => match admin::parse_member_change(&body, &self.member.member_views(now)) {
                Ok(change) => {
                    return self.request(now, Purpose::Reply(link), Request::MemberChange(change), out)
                }
                Err(why) => (400, why),
            },
            ("GET", "/members") => {
                let view = admin::members_view(&self.config.member.name, &self.member, now);
                return self.answer(link, 200, &view, out);
            }
            ("GET", "/record") => {
                let request = if query == "stale" { Request::StaleRead } else { Request::LinearizableRead };
                return self.request(now, Purpose::ShowRecord(link), request, out);
            }
            ("GET", "/watchers") => match self.render_watchers(now, query) {
                Ok(view) => return self.answer(link, 200, &view, out),
                Err(why) => (400, why),
            },
            ("GET", "/healthz") => match self.record_id {
                0 => (503, "this machine has no record yet".into()),
                _ => {
                    return self.answer(
                        link,
                        200,
                        &json!({ "serves": self.published_index }).to_string(),
                        out,
                    )
                }
            },
            _ => {
                let why =
                    "supported are POST /orders, /members, GET /members, /record, /record?stale, /watchers, \
                           /watchers?place=N and /healthz";
                (404, why.into())
            }
        };
        self.answer(link, refused.0, &json!({ "refused": refused.1 }).to_string(), out);
    }

    /// Refuses a stepped order if no member holds the duty to advance it: it would never take effect.
    fn check_steps(&self, command: pewtergap_record::Command) -> Result<pewtergap_record::Command, String> {
        let stepped = match &command.kind {
            Some(pewtergap_record::CommandKind::Order(order)) => order.steps > 0,
            _ => false,
        };
        let duty_held = self.member.record.duties().get(RELEASE_DUTY).is_some_and(|duty| duty.holder != 0);
        match stepped && !duty_held {
            true => Err(format!(
                "steps: no member holds the duty '{RELEASE_DUTY}', so the order would never advance"
            )),
            false => Ok(command),
        }
    }

    fn answer(&mut self, link: Link, status: u16, json: &str, out: &mut Outbox) {
        self.admin.answer(link, status, "application/json", json, out);
    }

    fn handle_reply(&mut self, now: Moment, token: u64, reply: Reply, out: &mut Outbox) {
        match (self.pending_requests.remove(&token), reply) {
            (Some(Purpose::Freshness(requested_at)), Reply::ReadReady { fresh: true, .. }) => {
                self.watch_server.confirm_fresh(requested_at)
            }
            (Some(Purpose::ShowRecord(link)), Reply::ReadReady { fresh, age }) => {
                let view = admin::record_view(&self.member, fresh, age, |_| 0.0);
                self.answer(link, 200, &view.to_string(), out);
            }
            (Some(Purpose::ShowRecord(link)), _) => {
                self.answer(link, 503, &json!({ "answer": "too much waits" }).to_string(), out);
            }
            (Some(Purpose::Reply(link)), reply) => {
                let (status, body) = admin::render_reply(&reply);
                self.answer(link, status, &body.to_string(), out);
            }
            (Some(Purpose::Freshness(_)) | None, _) => {}
        }
        let _ = now;
    }

    /// Which index each planner has applied, across all machines.
    fn render_watchers(&self, now: Moment, query: &str) -> Result<String, String> {
        let index = match query.strip_prefix("place=") {
            Some(value) => {
                value.parse().map_err(|_| format!("place: '{value}' is not an index of the record"))?
            }
            None if query.is_empty() => self.published_index,
            None => return Err(format!("'{query}': only place=N is supported")),
        };
        let counts = self.watch_server.roster.in_force(now, index);
        let stats = self.watch_server.stats();
        let refused: BTreeMap<String, u64> = stats
            .rejections
            .iter()
            .map(|(reason, count)| (format!("{reason:?}").to_lowercase(), *count))
            .collect();
        let ms = |span: Span| span.0.div_ceil(1_000_000);
        let slowest = counts.slowest.iter().map(|(planner, at)| json!({ "planner": planner, "place": at }));
        let unheard =
            counts.unheard.iter().map(|(planner, of)| json!({ "planner": planner, "for_ms": ms(*of) }));
        Ok(json!({ "name": self.config.member.name, "head": self.published_index, "place": index,
            "expected": counts.expected, "heard": counts.heard, "at_or_past": counts.at_or_past, "lowest": counts.lowest,
            "slowest": slowest.collect::<Vec<_>>(), "unheard": unheard.collect::<Vec<_>>(),
            "unheard_count": counts.unheard_count, "uncounted": counts.uncounted, "age_ms": counts.age.map(ms),
            "here": { "watches": stats.watches, "snapshots": stats.snapshots_active, "snapshots_waiting": stats.snapshots_queued,
                "bytes_out": stats.bytes_sent, "bytes_in": stats.bytes_received, "pieces": stats.chunks_sent, "made": stats.chunks_built,
                "refused": refused, "age_ms": self.watch_server.age(now).map(ms) } })
        .to_string())
    }

    // ---- events from both parts

    /// Handles the events that the member has queued.
    fn process_member_events(&mut self, now: Moment, out: &mut Outbox) {
        loop {
            let events = std::mem::take(&mut self.member.events);
            if events.is_empty() {
                break;
            }
            self.full_state_needed |= events.contains(&MemberEvent::Restored);
            // What a read has seen is published before the read counts as fresh.
            self.publish(now, out);
            for event in events {
                match event {
                    MemberEvent::Reply { token, reply } => self.handle_reply(now, token, reply, out),
                    MemberEvent::Roster(from, update) => {
                        if let Err(why) = self.watch_server.roster.receive(now, &from, update) {
                            out.log(Level::Warn, "roster_refused", vec![("from", from), ("why", why)]);
                        }
                    }
                    MemberEvent::PeerLost(id) => {
                        let name = self.member.raft().and_then(|raft| raft.member(id));
                        if let Some(name) = name.map(|member| member.name.clone()) {
                            self.watch_server.roster.machine_lost(now, &name);
                        }
                    }
                    _ => {}
                }
            }
        }
        self.publish(now, out);
    }

    fn handle_timer(&mut self, now: Moment, due: u64, out: &mut Outbox) {
        match due {
            timer::FRESH_READ => self.request_fresh_read(now, out),
            timer::ROSTER_UPDATE => self.send_roster_updates(now, out),
            timer::EXIT => out.push(Effect::Exit { code: 0 }),
            timer::WATCH_SERVER => self.watch_server.handle(now, Input::TimerFired { timer: due }, out),
            due if due >= FIRST_TIMER => self.member.handle(now, Input::TimerFired { timer: due }, out),
            _ => {}
        }
    }

    fn listening(&self, listener: u32, at: SocketAddr, out: &mut Outbox) {
        let what = if listener == WATCH_LISTENER { "watches" } else { "admin" };
        out.log(Level::Info, "listening", vec![("door", what.into()), ("at", at.to_string())]);
    }

    fn shut_down(&mut self, now: Moment, out: &mut Outbox) {
        self.stopping = true;
        self.member.stop(now, out);
        self.watch_server.stop(now, out);
        out.push(Effect::Unlisten { listener: WATCH_LISTENER });
        out.set_timer(timer::EXIT, now + HANDOVER_TIME);
    }
}

impl Node for ControlMachine {
    fn handle(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) {
        match input {
            Input::Start => self.start(now, out),
            Input::TimerFired { timer } => self.handle_timer(now, timer, out),
            Input::File { .. } | Input::Synced { .. } => self.member.handle(now, input, out),
            Input::Listening { listener: MEMBER_LISTENER, .. }
            | Input::NotListening { listener: MEMBER_LISTENER, .. }
            | Input::Accepted { listener: MEMBER_LISTENER, .. } => self.member.handle(now, input, out),
            Input::Listening { listener, at } => self.listening(listener, at, out),
            Input::NotListening { why, .. } => {
                out.log(Level::Error, "not_listening", vec![("why", why)]);
                out.push(Effect::Exit { code: 3 });
            }
            Input::Accepted { link, listener: ADMIN_LISTENER, .. } => self.admin.accepted(link, out),
            Input::Accepted { link, .. } if self.stopping => out.cut(link),
            Input::Accepted { link, .. } => self.watch_server.accepted(now, link, out),
            Input::Bytes { link, bytes } if self.admin.owns_link(link) => {
                if let Some(request) = self.admin.receive(link, bytes, out) {
                    self.handle_admin(now, request, out);
                }
            }
            Input::Closed { link, .. } if self.admin.owns_link(link) => drop(self.admin.closed(link)),
            Input::Opened { link } | Input::Bytes { link, .. } | Input::Closed { link, .. } => {
                if self.watch_server.owns_link(link) {
                    self.watch_server.handle(now, input, out);
                } else if self.member.owns_link(link) {
                    self.member.handle(now, input, out);
                }
            }
            Input::Stop if !self.stopping => self.shut_down(now, out),
            _ => {}
        }
        self.process_member_events(now, out);
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}
