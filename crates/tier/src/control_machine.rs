//! A control machine: a member that votes or observes, and the watches it serves, one node of one process.
//!
//! | told by the member | what watchers hear |
//! | --- | --- |
//! | commands were carried out | what they may have changed, at the place up to which all is applied |
//! | the record was read from a snapshot | the whole, once it is not behind what was told before |
//! | a read was confirmed | all that had been kept when it was asked for is applied here |

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

const ADMIN: u32 = 1;
const WATCHES: u32 = MEMBER_LISTENER + 1;

mod timer {
    pub const FRESH: u64 = 1;
    pub const ROSTER: u64 = 2;
    pub const GONE: u64 = 3;
    pub const SERVING: u64 = 4;
}

/// Between two confirmed reads: nothing that is told of an age is younger than this.
const FRESH: Span = Span::millis(500);
/// Reads that wait; a majority that is gone answers none of them within their patience.
const MOST_FRESH: usize = 8;
/// Between two tellings to other control machines.
const ROSTER: Span = Span::millis(200);
/// At the end, for leadership to be taken over and last words to be written.
const HANDED: Span = Span::millis(400);

/// What a control machine starts from.
#[derive(Clone, Debug)]
pub struct ControlMachineConfig {
    /// Its place among the members.
    pub member: MemberConfig,
    /// Where planners come in.
    pub watches: SocketAddr,
    pub admin: Option<SocketAddr>,
    pub watch_config: WatchConfig,
    pub seed: u64,
}

enum Purpose {
    Answer(Link),
    Look(Link),
    Fresh(Moment),
}

pub struct ControlMachine {
    config: ControlMachineConfig,
    member: Member,
    serving: WatchServer,
    admin: AdminServer,
    tokens: u64,
    purposes: BTreeMap<u64, Purpose>,
    /// Up to here watchers are told.
    place: u64,
    /// The way from there to what the record says now is not known.
    restored: bool,
    /// Of which record watches are served; 0: of none yet.
    record: u64,
    stopping: bool,
}

impl ControlMachine {
    pub fn new(config: ControlMachineConfig) -> ControlMachine {
        let post = MemberConfig { serves_watches: true, seed: config.seed, ..config.member.clone() };
        let watch_config = WatchConfig { timer: timer::SERVING, ..config.watch_config };
        ControlMachine {
            serving: WatchServer::new(watch_config, post.name.clone(), config.seed),
            member: Member::new(post),
            admin: AdminServer::default(),
            tokens: 0,
            purposes: BTreeMap::new(),
            place: 0,
            restored: true,
            record: 0,
            stopping: false,
            config,
        }
    }

    fn ask(&mut self, now: Moment, purpose: Purpose, what: Request, out: &mut Outbox) {
        self.tokens += 1;
        self.purposes.insert(self.tokens, purpose);
        self.member.request(now, self.tokens, what, out);
    }

    fn start(&mut self, now: Moment, out: &mut Outbox) {
        self.member.handle(now, Input::Start, out);
        if let Some(at) = self.config.admin {
            out.push(Effect::Listen { door: ADMIN, at });
        }
        out.push(Effect::Listen { door: WATCHES, at: self.config.watches });
        out.wake(timer::FRESH, now + FRESH);
        out.wake(timer::ROSTER, now + ROSTER);
    }

    // ---- the record

    /// Tells watchers what is applied by now.
    fn publish(&mut self, now: Moment, out: &mut Outbox) {
        let (place, record) =
            (self.member.raft().map_or(0, |agree| agree.applied_index()), self.member.cluster_id());
        // One whose disk was lost reads the record anew, from its beginning: what was told stays until that is caught up.
        if place == 0 || place < self.place || !self.restored && place == self.place {
            return;
        }
        if self.record != 0 && self.record != record {
            let fields = vec![("served", format!("{:016x}", self.record)), ("now", format!("{record:016x}"))];
            out.log(Level::Error, "another_record", fields);
            return out.push(Effect::Exit { code: 4 });
        }
        let touched = std::mem::take(&mut self.member.touched_subjects);
        if std::mem::take(&mut self.restored) {
            self.serving.restore(now, place, keys::whole(&self.member.record), out);
        } else {
            self.serving.apply(now, place, keys::of(&self.member.record, &touched), out);
        }
        self.place = place;
        if self.record == 0 {
            self.record = record;
            self.serving.set_record_id(now, record, out);
            let fields = vec![("record", format!("{record:016x}")), ("place", place.to_string())];
            out.log(Level::Info, "serves", fields);
        }
    }

    /// A read that is confirmed tells how old what is applied is at most.
    fn look(&mut self, now: Moment, out: &mut Outbox) {
        out.wake(timer::FRESH, now + FRESH);
        let waiting = self.purposes.values().filter(|purpose| matches!(purpose, Purpose::Fresh(_))).count();
        if waiting < MOST_FRESH && self.member.raft().is_some() {
            self.ask(now, Purpose::Fresh(now), Request::LinearizableRead, out);
        }
    }

    fn tell_roster(&mut self, now: Moment, out: &mut Outbox) {
        out.wake(timer::ROSTER, now + ROSTER);
        for (id, name) in self.member.control_machines() {
            for told in self.serving.roster.updates_for(now, &name) {
                self.member.send_roster(id, told, out);
            }
        }
    }

    // ---- operators

    fn asked(&mut self, now: Moment, asked: AdminRequest, out: &mut Outbox) {
        let AdminRequest { link, method, target, body } = asked;
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let refused = match (method.as_str(), path) {
            ("POST", "/orders") => match admin::parse_order(&body).and_then(|command| self.steps(command)) {
                Ok(command) => return self.ask(now, Purpose::Answer(link), Request::Command(command), out),
                Err(why) => (400, why),
            },
            ("POST", "/members") => match admin::parse_member_change(&body, &self.member.member_views(now)) {
                Ok(change) => {
                    return self.ask(now, Purpose::Answer(link), Request::MemberChange(change), out)
                }
                Err(why) => (400, why),
            },
            ("GET", "/members") => {
                let view = admin::members_view(&self.config.member.name, &self.member, now);
                return self.answer(link, 200, &view, out);
            }
            ("GET", "/record") => {
                let what = if query == "stale" { Request::StaleRead } else { Request::LinearizableRead };
                return self.ask(now, Purpose::Look(link), what, out);
            }
            ("GET", "/watchers") => match self.watchers(now, query) {
                Ok(view) => return self.answer(link, 200, &view, out),
                Err(why) => (400, why),
            },
            ("GET", "/healthz") => match self.record {
                0 => (503, "it has no record yet".into()),
                _ => return self.answer(link, 200, &json!({ "serves": self.place }).to_string(), out),
            },
            _ => {
                let why =
                    "there are POST /orders, /members, GET /members, /record, /record?stale, /watchers, \
                           /watchers?place=N and /healthz";
                (404, why.into())
            }
        };
        self.answer(link, refused.0, &json!({ "refused": refused.1 }).to_string(), out);
    }

    /// Steps that nobody would ever let go on are refused: such an order would be in force nowhere.
    fn steps(&self, command: pewtergap_record::Command) -> Result<pewtergap_record::Command, String> {
        let in_steps = match &command.kind {
            Some(pewtergap_record::CommandKind::Order(order)) => order.steps > 0,
            _ => false,
        };
        let held = self.member.record.duties().get(RELEASE_DUTY).is_some_and(|duty| duty.holder != 0);
        match in_steps && !held {
            true => Err(format!(
                "steps: no member holds the duty '{RELEASE_DUTY}', so nobody would let them go on"
            )),
            false => Ok(command),
        }
    }

    fn answer(&self, link: Link, status: u16, json: &str, out: &mut Outbox) {
        self.admin.answer(link, status, "application/json", json, out);
    }

    fn replied(&mut self, now: Moment, token: u64, reply: Reply, out: &mut Outbox) {
        match (self.purposes.remove(&token), reply) {
            (Some(Purpose::Fresh(asked)), Reply::ReadReady { fresh: true, .. }) => {
                self.serving.confirm_fresh(asked)
            }
            (Some(Purpose::Look(link)), Reply::ReadReady { fresh, age }) => {
                let view = admin::record_view(&self.member, fresh, age, |_| 0.0);
                self.answer(link, 200, &view.to_string(), out);
            }
            (Some(Purpose::Look(link)), _) => {
                self.answer(link, 503, &json!({ "answer": "too much waits" }).to_string(), out);
            }
            (Some(Purpose::Answer(link)), reply) => {
                let (status, body) = admin::render_reply(&reply);
                self.answer(link, status, &body.to_string(), out);
            }
            (Some(Purpose::Fresh(_)) | None, _) => {}
        }
        let _ = now;
    }

    /// Who has what in force, over all machines.
    fn watchers(&self, now: Moment, query: &str) -> Result<String, String> {
        let place = match query.strip_prefix("place=") {
            Some(place) => {
                place.parse().map_err(|_| format!("place: '{place}' is no place of the record"))?
            }
            None if query.is_empty() => self.place,
            None => return Err(format!("'{query}': place=N is known")),
        };
        let force = self.serving.roster.in_force(now, place);
        let view = self.serving.stats();
        let refused: BTreeMap<String, u64> = view
            .refused
            .iter()
            .map(|(reason, count)| (format!("{reason:?}").to_lowercase(), *count))
            .collect();
        let ms = |span: Span| span.0.div_ceil(1_000_000);
        let slowest = force.slowest.iter().map(|(planner, at)| json!({ "planner": planner, "place": at }));
        let unheard =
            force.unheard.iter().map(|(planner, of)| json!({ "planner": planner, "for_ms": ms(*of) }));
        Ok(json!({ "name": self.config.member.name, "head": self.place, "place": place,
            "expected": force.expected, "heard": force.heard, "at_or_past": force.at_or_past, "lowest": force.lowest,
            "slowest": slowest.collect::<Vec<_>>(), "unheard": unheard.collect::<Vec<_>>(),
            "unheard_count": force.unheard_count, "uncounted": force.uncounted, "age_ms": force.age.map(ms),
            "here": { "watches": view.watches, "snapshots": view.snapshots_active, "snapshots_waiting": view.snapshots_queued,
                "bytes_out": view.bytes_sent, "bytes_in": view.bytes_received, "pieces": view.chunks_sent, "made": view.chunks_built,
                "refused": refused, "age_ms": self.serving.age(now).map(ms) } })
        .to_string())
    }

    // ---- both together

    /// What the member has left to be done.
    fn settle(&mut self, now: Moment, out: &mut Outbox) {
        loop {
            let told = std::mem::take(&mut self.member.events);
            if told.is_empty() {
                break;
            }
            self.restored |= told.contains(&MemberEvent::Restored);
            // Before a read is called fresh, what it saw is told.
            self.publish(now, out);
            for told in told {
                match told {
                    MemberEvent::Reply { token, reply } => self.replied(now, token, reply, out),
                    MemberEvent::Roster(from, told) => {
                        if let Err(why) = self.serving.roster.receive(now, &from, told) {
                            out.log(Level::Warn, "roster_refused", vec![("from", from), ("why", why)]);
                        }
                    }
                    MemberEvent::PeerLost(id) => {
                        let name = self.member.raft().and_then(|agree| agree.member(id));
                        if let Some(name) = name.map(|member| member.name.clone()) {
                            self.serving.roster.machine_lost(now, &name);
                        }
                    }
                    _ => {}
                }
            }
        }
        self.publish(now, out);
    }

    fn due(&mut self, now: Moment, due: u64, out: &mut Outbox) {
        match due {
            timer::FRESH => self.look(now, out),
            timer::ROSTER => self.tell_roster(now, out),
            timer::GONE => out.push(Effect::Exit { code: 0 }),
            timer::SERVING => self.serving.handle(now, Input::Due { timer: due }, out),
            due if due >= FIRST_TIMER => self.member.handle(now, Input::Due { timer: due }, out),
            _ => {}
        }
    }

    fn listening(&self, door: u32, at: SocketAddr, out: &mut Outbox) {
        let what = if door == WATCHES { "watches" } else { "admin" };
        out.log(Level::Info, "listening", vec![("door", what.into()), ("at", at.to_string())]);
    }

    fn stop(&mut self, now: Moment, out: &mut Outbox) {
        self.stopping = true;
        self.member.stop(now, out);
        self.serving.stop(now, out);
        out.push(Effect::Unlisten { door: WATCHES });
        out.wake(timer::GONE, now + HANDED);
    }
}

impl Node for ControlMachine {
    fn handle(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) {
        match input {
            Input::Start => self.start(now, out),
            Input::Due { timer } => self.due(now, timer, out),
            Input::File { .. } | Input::Synced { .. } => self.member.handle(now, input, out),
            Input::Listening { door: MEMBER_LISTENER, .. }
            | Input::NotListening { door: MEMBER_LISTENER, .. }
            | Input::Accepted { door: MEMBER_LISTENER, .. } => self.member.handle(now, input, out),
            Input::Listening { door, at } => self.listening(door, at, out),
            Input::NotListening { why, .. } => {
                out.log(Level::Error, "not_listening", vec![("why", why)]);
                out.push(Effect::Exit { code: 3 });
            }
            Input::Accepted { link, door: ADMIN, .. } => self.admin.accepted(link, out),
            Input::Accepted { link, .. } if self.stopping => out.cut(link),
            Input::Accepted { link, .. } => self.serving.accepted(now, link, out),
            Input::Bytes { link, bytes } if self.admin.owns_link(link) => {
                for asked in self.admin.receive(link, bytes, out) {
                    self.asked(now, asked, out);
                }
            }
            Input::Closed { link, .. } if self.admin.owns_link(link) => drop(self.admin.closed(link)),
            Input::Opened { link } | Input::Bytes { link, .. } | Input::Closed { link, .. } => {
                if self.serving.owns_link(link) {
                    self.serving.handle(now, input, out);
                } else if self.member.owns_link(link) {
                    self.member.handle(now, input, out);
                }
            }
            Input::Stop if !self.stopping => self.stop(now, out),
            _ => {}
        }
        self.settle(now, out);
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}
