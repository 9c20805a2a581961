//! What is asked at an admin door of who keeps the record, and how it is answered: bytes to commands, and what is known to
//! text. The doors themselves are elsewhere.

use crate::member::{Member, MemberView, Reply};
use crate::messages::MemberChange;
use pewtergap_record::{
    ActiveOrder, Cap, Cleanup, Command, CommandKind, Drain, Order, OrderAction, PinDuty, Record, Weight,
};
use pewtergap_time::{Moment, Span};
use serde::Deserialize;
use serde_json::{json, Value};

/// An order as it is given at the admin door.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Given {
    /// 16 hexadecimal digits, drawn by who gives it and the same when it is given again.
    id: String,
    /// When it was given first, milliseconds of the calendar.
    given: u64,
    who: String,
    why: String,
    #[serde(default)]
    until: u64,
    order: String,
    #[serde(default)]
    server: String,
    #[serde(default)]
    route: String,
    #[serde(default)]
    weight: f64,
    #[serde(default)]
    level: f64,
    #[serde(default)]
    zone: String,
    /// 0: it binds at once.
    #[serde(default)]
    steps: u32,
    #[serde(default)]
    pause_ms: u64,
    /// Steps are a share of the planners with their proxies.
    #[serde(default)]
    by_proxies: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Changed {
    name: String,
    #[serde(default)]
    at: String,
    /// Another disk may come under the name.
    #[serde(default)]
    replace: bool,
}

/// A duty that an operator wants at a planner; with no planner wherever it falls.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Handed {
    id: String,
    given: u64,
    who: String,
    why: String,
    duty: String,
    #[serde(default)]
    to: String,
}

impl Handed {
    fn command(self) -> Result<Command, String> {
        let hand = PinDuty { duty: self.duty, planner: self.to, issued_by: self.who, reason: self.why };
        Ok(Command { id: id_of(&self.id)?, issued_at_ms: self.given, kind: Some(CommandKind::PinDuty(hand)) })
    }
}

fn id_of(text: &str) -> Result<u64, String> {
    u64::from_str_radix(text, 16).map_err(|_| format!("id: '{text}' is not 16 hexadecimal digits"))
}

impl Given {
    fn command(self) -> Result<Command, String> {
        let id = id_of(&self.id)?;
        let nothing = Cleanup::default();
        let wish = match self.order.as_str() {
            "drain" => OrderAction::Drain(self.server),
            "take-back" => OrderAction::Undrain(self.server),
            "weight" => OrderAction::SetWeight(Weight { server: self.server, weight: self.weight }),
            "free-weight" => OrderAction::ClearWeight(self.server),
            "cap" => OrderAction::SetCap(Cap { route: self.route, level: self.level }),
            "uncap" => OrderAction::ClearCap(self.route),
            "drain-zone" => OrderAction::DrainZone(self.zone),
            "take-back-zone" => OrderAction::UndrainZone(self.zone),
            "hold-duties" => OrderAction::HoldDuties(nothing),
            "let-duties" => OrderAction::ResumeDuties(nothing),
            "hold-releases" => OrderAction::HoldReleases(nothing),
            "let-releases" => OrderAction::ResumeReleases(nothing),
            other => return Err(format!("order: '{other}' is none")),
        };
        let (steps, pause) = (self.steps, self.pause_ms);
        let (who, why, until, by_proxies) = (self.who, self.why, self.until, self.by_proxies);
        if by_proxies && steps == 0 {
            return Err("by_proxies: steps are missing".into());
        }
        let order = Order {
            issued_by: who,
            reason: why,
            expires_at_ms: until,
            action: Some(wish),
            steps,
            step_pause_ms: pause,
            by_proxies,
        };
        Ok(Command { id, issued_at_ms: self.given, kind: Some(CommandKind::Order(order)) })
    }
}

/// The command of an order that was given.
pub fn parse_order(body: &[u8]) -> Result<Command, String> {
    serde_json::from_slice::<Given>(body).map_err(|e| e.to_string())?.command()
}

/// The command by which a duty is wanted somewhere.
pub fn parse_duty_placement(body: &[u8]) -> Result<Command, String> {
    serde_json::from_slice::<Handed>(body).map_err(|e| e.to_string())?.command()
}

/// A change of members; `seats`: who belongs now.
pub fn parse_member_change(body: &[u8], seats: &[MemberView]) -> Result<MemberChange, String> {
    let changed: Changed = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    let seat = seats.iter().find(|seat| seat.name == changed.name);
    let old = seat.filter(|_| changed.replace).map(|seat| u64::from_str_radix(&seat.id, 16));
    Ok(MemberChange {
        name: changed.name,
        address: changed.at,
        replaced_id: old.and_then(Result::ok).unwrap_or(0),
    })
}

/// Status and body of the answer to what was asked for.
pub fn render_reply(reply: &Reply) -> (u16, Value) {
    match reply {
        Reply::Committed(number) => (200, json!({ "answer": "kept", "number": number })),
        Reply::Rejected(why) => (409, json!({ "answer": "refused", "why": why })),
        Reply::NoMajority => (503, json!({ "answer": "no majority" })),
        Reply::Unknown | Reply::ReadReady { .. } => (504, json!({ "answer": "unknown" })),
    }
}

pub fn members_view(name: &str, member: &Member, now: Moment) -> String {
    json!({ "name": name, "members": member.member_views(now) }).to_string()
}

/// Orders in force; `here`: which part of each is carried out where it is looked at.
pub fn orders_view(record: &Record, here: impl Fn(&ActiveOrder) -> f64) -> Vec<Value> {
    let orders = record.orders().filter_map(|(_, kept)| {
        let order = kept.order.as_ref()?;
        let words = order.action.as_ref()?.describe();
        Some(json!({ "number": kept.index, "order": words, "who": order.issued_by, "why": order.reason,
            "until": order.expires_at_ms, "given": kept.issued_at_ms, "steps": order.steps, "reached": kept.progress,
            "back": kept.revert_reason, "here": here(kept) }))
    });
    orders.collect()
}

pub fn drains_view(record: &Record) -> Vec<Value> {
    let view = |d: &Drain| json!({ "server": d.server, "started": d.started, "told": d.notified_at_ms, "grace": d.grace_ms });
    record.drains().map(view).collect()
}

/// What a member's record holds.
pub fn record_view(member: &Member, fresh: bool, age: Span, here: impl Fn(&ActiveOrder) -> f64) -> Value {
    let record = &member.record;
    let (applied, term) = member.raft().map_or((0, 0), |agree| (agree.applied_index(), agree.term()));
    json!({ "fresh": fresh, "age_ms": age.0 / 1_000_000, "index": applied, "term": term,
        "format": record.format(), "number": record.last_start_number(), "orders": orders_view(record, here),
        "drains": drains_view(record), "start": member.disk_starts(), "id": format!("{:016x}", member.id()) })
}
