//! The service and the member beside it, one node of one process.
//!
//! The service never waits for the member, but once: before its first word to any proxy it takes the number of its
//! start from the record. Where none comes in time it counts on from its own last number and the calendar.

use crate::accounting::AccountingSender;
use crate::admin;
use crate::member::{Member, MemberConfig, MemberEvent, Reply, Request, FIRST_TIMER, MEMBER_LISTENER};
use crate::messages::peer_message;
use crate::orders;
use crate::rollout::RolloutController;
use crate::sharing::{Seats, Sharing, Wants as Shared};
use crate::slices::{Holder, Slices, Wants};
use pewtergap_control::{AdminRequest, PeerHint, ProbeResult, Service};
use pewtergap_node::{Effect, Input, Level, Link, Node, Outbox};
use pewtergap_record::{
    ActiveOrder, AllocateStartNumber, Command, CommandKind, Drain, Subject, ACCOUNTING_DUTY, RELEASE_DUTY,
};
use pewtergap_time::{Moment, Span};
use serde_json::json;
use std::any::Any;
use std::collections::{BTreeMap, BTreeSet};

const NUMBERED: u64 = FIRST_TIMER + 100;
const GONE: u64 = FIRST_TIMER + 101;
/// A start waits so long for its number.
const NUMBER: Span = Span::millis(2_000);
/// At the end, for leadership to be taken over.
const HANDED: Span = Span::millis(400);
/// Drains that wait to be kept, and those given at once.
const MOST_DRAINS: usize = 1_024;
const DRAINS_AT_ONCE: usize = 64;
const ELSEWHERE: &[&str] = &["/orders", "/record", "/members", "/duties", "/shared"];
const SHARING: u64 = FIRST_TIMER + 103;
/// Between two looks at the books.
const LOOK: Span = Span::millis(50);
const BOOKKEEPING: u64 = FIRST_TIMER + 102;

#[derive(Clone, Debug)]
enum Purpose {
    /// Answered to whoever asked at the admin door.
    Answer(Link),
    Look(Link),
    Number,
    Drain,
    AccountingSender,
}

pub struct PlannerNode {
    service: Service,
    member: Member,
    name: String,
    drain_grace: Span,
    numbered: bool,
    started: bool,
    stopping: bool,
    tokens: u64,
    purposes: BTreeMap<u64, Purpose>,
    /// Drains that are not yet known to be kept, and the id under which each is given.
    drains: Vec<Command>,
    books: Option<AccountingSender>,
    slices: Option<Slices>,
    releaser: RolloutController,
    sharing: Option<Sharing>,
    /// What the module was last told of its part.
    lent: Option<f64>,
    has_duties: bool,
}

impl PlannerNode {
    pub fn new(mut service: Service, home: MemberConfig, drain_grace: Span) -> PlannerNode {
        service.external_paths = ELSEWHERE;
        service.external_probes = home.probe_slices.0 > 0;
        service.traffic.enabled = home.sharing.is_some();
        PlannerNode {
            service,
            releaser: RolloutController::default(),
            lent: None,
            sharing: home.sharing.map(|shares| Sharing::new(shares, home.seed)),
            has_duties: home.duties.is_some(),
            slices: (home.probe_slices.0 > 0).then(|| Slices::new(home.probe_slices.0, home.probe_slices.1)),
            name: home.name.clone(),
            member: Member::new(home.clone()),
            drain_grace,
            numbered: false,
            started: false,
            stopping: false,
            tokens: 0,
            purposes: BTreeMap::new(),
            drains: Vec::new(),
            books: home.accounting.map(|receiver| AccountingSender::new(receiver, home.source_ip)),
        }
    }

    fn ask(&mut self, now: Moment, purpose: Purpose, what: Request, out: &mut Outbox) {
        self.tokens += 1;
        self.purposes.insert(self.tokens, purpose);
        self.member.request(now, self.tokens, what, out);
    }

    /// A number that no start of any planner had; the service begins once it is on disk.
    fn number(&mut self, now: Moment, number: Option<u64>, out: &mut Outbox) {
        if self.numbered {
            return;
        }
        let alone = now.0.max(self.member.last_start_number() + 1);
        let fields = vec![
            ("number", number.unwrap_or(alone).to_string()),
            ("from", if number.is_some() { "the record" } else { "its own disk" }.to_string()),
        ];
        out.log(Level::Info, "start_number", fields);
        let number = number.unwrap_or(alone);
        self.numbered = self.member.use_start_number(number, out);
    }

    fn begin(&mut self, now: Moment, number: u64, out: &mut Outbox) {
        if std::mem::replace(&mut self.started, true) {
            return;
        }
        self.service.set_epoch(number);
        self.service.handle(now, Input::Start, out);
        self.stand_by(now, None, out);
    }

    fn among(&self) -> orders::PlannerSet {
        let others = self.member.sharing_peers().into_values().chain([self.name.clone()]);
        orders::PlannerSet { name: self.name.clone(), planners: others.collect() }
    }

    /// What the record says, told to the service: of these subjects, or all of it.
    fn stand_by(&mut self, now: Moment, subjects: Option<&BTreeSet<Subject>>, out: &mut Outbox) {
        if !self.started {
            return;
        }
        let record = &self.member.record;
        let among = self.among();
        let these =
            subjects.and_then(|subjects| orders::changes_for(record, &self.service, now, subjects, &among));
        let whole = || orders::all_overrides(record, &self.service, now, &among);
        let stands = these.unwrap_or_else(|| self.service.overrides().diff(&whole()));
        self.service.apply_overrides(now, &stands, out);
    }

    /// Orders in steps, where it is ours to let them go on.
    fn release(&mut self, now: Moment, out: &mut Outbox) {
        let Some(number) = self.member.fencing_token(now, RELEASE_DUTY) else { return self.releaser.rest() };
        let tried = self.sharing.as_ref().map_or(self.service.try_counts(), Sharing::tried);
        for what in self.releaser.look(now, number, &self.member.record, tried) {
            self.tell_record(now, Some(what), out);
        }
    }

    fn asked(&mut self, now: Moment, asked: AdminRequest, out: &mut Outbox) {
        let AdminRequest { link, method, target, body } = asked;
        let refuse = |why: String| json!({ "refused": why }).to_string();
        match (method.as_str(), target.as_str()) {
            ("POST", "/orders") => match admin::parse_order(&body) {
                Ok(command) => self.ask(now, Purpose::Answer(link), Request::Command(command), out),
                Err(why) => self.service.answer_admin(link, 400, &refuse(why), out),
            },
            ("POST", "/duties") => match admin::parse_duty_placement(&body) {
                Ok(command) => self.ask(now, Purpose::Answer(link), Request::Command(command), out),
                Err(why) => self.service.answer_admin(link, 400, &refuse(why), out),
            },
            ("GET", "/shared") => {
                let view = self.shared_view(now);
                self.service.answer_admin(link, 200, &view, out);
            }
            ("GET", "/duties") => {
                let view = self.duties_view(now);
                self.service.answer_admin(link, 200, &view, out);
            }
            ("POST", "/members") => match admin::parse_member_change(&body, &self.member.member_views(now)) {
                Ok(change) => self.ask(now, Purpose::Answer(link), Request::MemberChange(change), out),
                Err(why) => self.service.answer_admin(link, 400, &refuse(why), out),
            },
            ("GET", "/record?stale") => self.ask(now, Purpose::Look(link), Request::StaleRead, out),
            ("GET", "/record") => self.ask(now, Purpose::Look(link), Request::LinearizableRead, out),
            ("GET", "/members") => {
                let view = admin::members_view(&self.name, &self.member, now);
                self.service.answer_admin(link, 200, &view, out);
            }
            _ => {
                let why =
                    "there are POST /orders, /members, /duties, GET /members, /duties, /shared, /record and /record?stale";
                self.service.answer_admin(link, 404, &refuse(why.into()), out);
            }
        }
    }

    fn replied(&mut self, now: Moment, token: u64, reply: Reply, out: &mut Outbox) {
        match (self.purposes.remove(&token), reply) {
            (Some(Purpose::Number), reply) => {
                let number = if let Reply::Committed(number) = reply { Some(number) } else { None };
                self.number(now, number, out);
            }
            (Some(Purpose::Answer(link)), reply) => {
                let (status, body) = admin::render_reply(&reply);
                self.service.answer_admin(link, status, &body.to_string(), out);
            }
            (Some(Purpose::Look(link)), Reply::ReadReady { fresh, age }) => {
                let view = self.view(now, fresh, age);
                self.service.answer_admin(link, 200, &view, out);
            }
            (Some(Purpose::Look(link)), _) => {
                self.service.answer_admin(link, 503, &json!({ "answer": "too much waits" }).to_string(), out);
            }
            (Some(Purpose::Drain | Purpose::AccountingSender) | None, _) => {}
        }
    }

    /// Who holds what by the record, and what of it this planner acts on.
    fn duties_view(&self, now: Moment) -> String {
        let held = self.member.held_duties(now);
        let ms = now.0 / 1_000_000;
        let view = |(duty, known): (&String, &pewtergap_record::Duty)| {
            let here = held.iter().find(|held| held.0 == *duty && held.1 == known.fencing_token);
            json!({ "duty": duty, "holder": if known.holder == 0 { "" } else { known.holder_name.as_str() },
                "number": known.fencing_token, "age_ms": ms.saturating_sub(known.since_ms), "wanted": known.pinned_to,
                "here": here.is_some(), "acts": here.is_some_and(|held| held.2) })
        };
        let duties: Vec<serde_json::Value> = self.member.record.duties().iter().map(view).collect();
        let (books, _) = self.member.record.accounting();
        json!({ "name": self.name, "duties": duties, "books": { "closed": books.closed_period, "arrived": books.delivered_period,
                "sent_here": self.books.as_ref().map(|books| books.sent), "refused_here": self.books.as_ref().map(|books| books.refused) },
            "lease_ms": self.member.record.lease_ms(), "probes": self.slices.as_ref().map(|slices| json!({ "doubts": slices.doubts, "fenced": slices.fenced() })) })
            .to_string()
    }

    /// The books, where they are ours to keep.
    fn keep_books(&mut self, now: Moment, out: &mut Outbox) {
        let Some(books) = &mut self.books else { return };
        let Some(number) = self.member.fencing_token(now, ACCOUNTING_DUTY) else {
            return books.give_up(now, out);
        };
        let used = self.sharing.as_ref().map(|sharing| sharing.used(now)).unwrap_or_default();
        let what = books.keep(now, number, self.member.record.accounting().0, used, out);
        self.tell_record(now, what, out);
    }

    fn tell_record(&mut self, now: Moment, what: Option<CommandKind>, out: &mut Outbox) {
        let Some(what) = what else { return };
        let command =
            Command { id: self.member.random_id(), issued_at_ms: now.0 / 1_000_000, kind: Some(what) };
        self.ask(now, Purpose::AccountingSender, Request::Command(command), out);
    }

    fn books_input(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) {
        let Some(books) = &mut self.books else { return };
        match input {
            // The link took its time: asked again at the effect itself.
            Input::Opened { .. } => {
                books.opened(
                    now,
                    self.member.fencing_token(now, ACCOUNTING_DUTY),
                    self.member.record.accounting(),
                    out,
                );
            }
            Input::Bytes { bytes, .. } => {
                let what = books.bytes(now, bytes, out);
                self.tell_record(now, what, out);
            }
            Input::Closed { .. } => books.closed(now),
            _ => {}
        }
    }

    // ---- what is shared

    fn share(&mut self, now: Moment, out: &mut Outbox) {
        let Some(sharing) = &mut self.sharing else { return };
        let own = (self.member.id(), self.member.disk_starts());
        let seats = Seats { own, name: self.name.clone(), others: self.member.sharing_peers() };
        let wants = sharing.look(now, &seats, &mut self.service);
        self.member.demands = sharing.demands(now);
        self.do_shared(now, wants, out);
    }

    /// The module's part of a budget, before anything is done by it: one that was stopped for longer than its lease would
    /// write cold servers' lines by its old part until the next look.
    fn lend(&mut self, now: Moment, out: &mut Outbox) {
        if self.sharing.is_some() && self.started {
            let share = self.member.cold_budget_share(now);
            if std::mem::replace(&mut self.lent, share) != share {
                self.service.apply_hint(now, PeerHint::ColdShare(share), out);
            }
        }
    }

    fn do_shared(&mut self, now: Moment, wants: Vec<Shared>, out: &mut Outbox) {
        for want in wants {
            match want {
                Shared::Tell(to, kind) => {
                    let asks = matches!(kind, peer_message::Kind::CountsRequest(_));
                    if !self.member.send_sharing(to, kind, out) && asks {
                        self.sharing.iter_mut().for_each(|sharing| sharing.lost(to));
                    }
                }
                Shared::TellAll(kind) => {
                    let others: Vec<u64> = self.member.sharing_peers().into_keys().collect();
                    for to in others {
                        self.member.send_sharing(to, kind.clone(), out);
                    }
                }
                Shared::Hint(hint) => self.service.apply_hint(now, hint, out),
                Shared::Heard(id, state) => {
                    let name = self.member.sharing_peers().remove(&id).unwrap_or_default();
                    out.log(Level::Info, "member_believed", vec![("member", name), ("state", state.into())]);
                }
            }
        }
    }

    fn shared_view(&self, now: Moment) -> String {
        let mut view =
            self.sharing.as_ref().map_or(json!({ "name": self.name }), |sharing| sharing.view(now));
        view["cold"] = json!(self.member.cold_budget_view(now));
        view["cold_share"] = json!(self.member.cold_budget_share(now));
        view["disk"] = json!(format!("{:016x}", self.member.id()));
        view.to_string()
    }

    // ---- probes by slice

    fn slice_of(&self, server: &str) -> Option<String> {
        Some(self.slices.as_ref()?.duty(self.service.zone_of(server)?, server))
    }

    /// What the module wants asked, and what came of probes from here.
    fn probes_wanted(&mut self, now: Moment, out: &mut Outbox) {
        let (asks, ends) = (
            std::mem::take(&mut self.service.probe_requests),
            std::mem::take(&mut self.service.probe_results),
        );
        for server in asks {
            let Some(duty) = self.slice_of(&server) else {
                self.service.probe_server(now, &server, out);
                continue;
            };
            let (ours, (id, linked)) = (self.member.fencing_token(now, &duty), self.member.holder(&duty));
            let holder = Holder { id, linked };
            let wants = self.slices.as_mut().and_then(|all| all.wanted(now, duty, server, ours, holder));
            wants.into_iter().for_each(|wants| self.do_probes(now, wants, out));
        }
        for ProbeResult { server, end, load } in ends {
            let Some(duty) = self.slice_of(&server) else { continue };
            let ours = self.member.fencing_token(now, &duty);
            let wants = self.slices.as_mut().and_then(|all| all.ended(now, duty, server, end, load, ours));
            wants.into_iter().for_each(|wants| self.do_probes(now, wants, out));
        }
    }

    fn probes_told(&mut self, now: Moment, from: u64, kind: peer_message::Kind, out: &mut Outbox) {
        let Some(slices) = &mut self.slices else { return };
        let wants = match kind {
            peer_message::Kind::ProbeRequest(asked) => match self.member.fencing_token(now, &asked.duty) {
                Some(number) => slices.asked_for(now, from, asked, number),
                // Ours no more: who asked finds out in time.
                None => Vec::new(),
            },
            peer_message::Kind::ProbeAccepted(taken) => {
                slices.taken(now, &taken);
                Vec::new()
            }
            peer_message::Kind::ProbeResult(told) => slices.told(now, told).into_iter().collect(),
            _ => Vec::new(),
        };
        wants.into_iter().for_each(|wants| self.do_probes(now, wants, out));
    }

    fn do_probes(&mut self, now: Moment, wants: Wants, out: &mut Outbox) {
        match wants {
            Wants::Here(server) => self.service.probe_server(now, &server, out),
            Wants::Tell(to, kind) => self.member.send_urgent(to, kind, out),
            Wants::TellAll(kind) => self.member.broadcast_urgent(&kind, out),
            Wants::Heard { server, end, load } => {
                self.service.remote_probe_ended(now, &server, end, load, out)
            }
        }
    }

    fn view(&self, now: Moment, fresh: bool, age: Span) -> String {
        let among = self.among();
        let here = |kept: &ActiveOrder| orders::applied_share(kept, now, &among);
        admin::record_view(&self.member, fresh, age, here).to_string()
    }

    /// Drains that the list told are kept, in the background: tables have changed already.
    fn keep_drains(&mut self, now: Moment, out: &mut Outbox) {
        let told = std::mem::take(&mut self.service.drain_notices);
        let grace = self.drain_grace.0 / 1_000_000;
        for told in told {
            let (started, server) = (told.started.0 / 1_000_000, told.server);
            if self.member.record.is_drained(&server, started) || self.drains.len() >= MOST_DRAINS {
                continue;
            }
            let given = told.notified_at.0 / 1_000_000;
            let drain = Drain { server, started, notified_at_ms: given, grace_ms: grace };
            let id = self.member.random_id();
            self.drains.push(Command { id, issued_at_ms: given, kind: Some(CommandKind::Drain(drain)) });
        }
        let under_way = self.purposes.values().any(|purpose| matches!(purpose, Purpose::Drain));
        if self.drains.is_empty() || under_way {
            return;
        }
        let (ms, record) = (now.0 / 1_000_000, &self.member.record);
        // What ran out meanwhile is of no use to anybody.
        self.drains.retain(|command| match &command.kind {
            Some(CommandKind::Drain(drain)) => {
                !record.is_drained(&drain.server, drain.started) && drain.notified_at_ms + drain.grace_ms > ms
            }
            _ => false,
        });
        let next: Vec<Command> = self.drains.iter().take(DRAINS_AT_ONCE).cloned().collect();
        for command in next {
            self.ask(now, Purpose::Drain, Request::Command(command), out);
        }
    }

    fn take_number(&mut self, now: Moment, out: &mut Outbox) {
        let least = now.0.max(self.member.last_start_number() + 1);
        let take = AllocateStartNumber { planner: self.name.clone(), at_least: least };
        let command = Command {
            id: self.member.random_id(),
            issued_at_ms: now.0 / 1_000_000,
            kind: Some(CommandKind::AllocateStartNumber(take)),
        };
        self.ask(now, Purpose::Number, Request::Command(command), out);
    }

    /// What each has left for the other.
    fn settle(&mut self, now: Moment, out: &mut Outbox) {
        loop {
            let (asked, told) = (
                std::mem::take(&mut self.service.external_requests),
                std::mem::take(&mut self.member.events),
            );
            if asked.is_empty() && told.is_empty() {
                break;
            }
            for asked in asked {
                self.asked(now, asked, out);
            }
            for told in told {
                match told {
                    MemberEvent::Reply { token, reply } => self.replied(now, token, reply, out),
                    MemberEvent::SubjectsChanged(subjects) => self.stand_by(now, subjects.as_ref(), out),
                    MemberEvent::StartNumberStored(number) => self.begin(now, number, out),
                    MemberEvent::Probe(from, kind) => self.probes_told(now, from, kind, out),
                    MemberEvent::Sharing(from, kind) => {
                        let heard = self.sharing.as_mut().map(|sharing| sharing.hear(now, from, kind));
                        self.do_shared(now, heard.unwrap_or_default(), out);
                    }
                    // Control machines alone serve watches; and what was restored is told as changed.
                    MemberEvent::Roster(..) | MemberEvent::Restored => {}
                    MemberEvent::PeerLost(id) => self.sharing.iter_mut().for_each(|sharing| sharing.lost(id)),
                }
            }
        }
        self.keep_drains(now, out);
        self.probes_wanted(now, out);
    }
}

impl Node for PlannerNode {
    fn handle(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) {
        let over = matches!(input, Input::TimerFired { timer: GONE });
        self.lend(now, out);
        match input {
            Input::Start => {
                self.member.handle(now, Input::Start, out);
                self.take_number(now, out);
                out.set_timer(NUMBERED, now + NUMBER);
                if self.has_duties {
                    out.set_timer(BOOKKEEPING, now + LOOK);
                }
                if self.sharing.is_some() {
                    out.set_timer(SHARING, now + LOOK);
                }
            }
            Input::TimerFired { timer: SHARING } => {
                if self.started {
                    self.share(now, out);
                }
                out.set_timer(SHARING, now + LOOK);
            }
            Input::TimerFired { timer: BOOKKEEPING } => {
                self.keep_books(now, out);
                self.release(now, out);
                let late = self.slices.as_mut().map(|slices| slices.tick(now)).unwrap_or_default();
                late.into_iter().for_each(|wants| self.do_probes(now, wants, out));
                out.set_timer(BOOKKEEPING, now + LOOK);
            }
            Input::TimerFired { timer: NUMBERED } => {
                // The time of orders that end is looked at now and then.
                self.number(now, None, out);
                self.stand_by(now, None, out);
                out.set_timer(NUMBERED, now + Span::millis(1_000));
            }
            Input::TimerFired { timer: GONE } => out.push(Effect::Exit { code: 0 }),
            Input::File { name, .. } if name == self.member.file_name() => {
                self.member.handle(now, input, out)
            }
            Input::Synced { .. } => self.member.handle(now, input, out),
            Input::Listening { listener: MEMBER_LISTENER, .. }
            | Input::NotListening { listener: MEMBER_LISTENER, .. }
            | Input::Accepted { listener: MEMBER_LISTENER, .. } => self.member.handle(now, input, out),
            Input::Opened { link } | Input::Bytes { link, .. } | Input::Closed { link, .. }
                if self.books.as_ref().is_some_and(|books| books.has(link)) =>
            {
                self.books_input(now, input, out)
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
                out.set_timer(GONE, now + HANDED);
                self.service.handle(now, Input::Stop, out);
            }
            input => self.service.handle(now, input, out),
        }
        self.settle(now, out);
        // The service would end sooner; the member's last words need their time.
        if self.stopping && !over {
            out.effects.retain(|effect| !matches!(effect, Effect::Exit { code: 0 }));
        }
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}
