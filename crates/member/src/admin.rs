//! Admin requests about the replicated record: parses request bodies into commands and renders the state as
//! JSON. The HTTP listeners are in other crates.

use crate::member::{Member, MemberView, Reply};
use crate::messages::MemberChange;
use pewtergap_record::{
    ActiveOrder, Cap, Cleanup, Command, CommandKind, Drain, Order, OrderAction, PinDuty, Record, Weight,
};
use pewtergap_time::{Moment, Span};
use serde::Deserialize;
use serde_json::{json, Value};

/// Body of `POST /orders`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct OrderRequest {
    /// 16 hexadecimal digits, drawn by the sender and repeated when it resends the order.
    id: String,
    /// Milliseconds since the epoch at the first submission.
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
    /// 0 applies the order at once.
    #[serde(default)]
    steps: u32,
    #[serde(default)]
    pause_ms: u64,
    /// Each step applies the order at a share of the planners, with all their proxies.
    #[serde(default)]
    by_proxies: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct MemberChangeRequest {
    name: String,
    #[serde(default)]
    at: String,
    /// Retires the current disk, so that another one may join under the name.
    #[serde(default)]
    replace: bool,
}

/// Pins a duty to a planner; without a planner the pin is removed.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct DutyPlacementRequest {
    id: String,
    given: u64,
    who: String,
    why: String,
    duty: String,
    #[serde(default)]
    to: String,
}

impl DutyPlacementRequest {
    fn command(self) -> Result<Command, String> {
        let pin = PinDuty { duty: self.duty, planner: self.to, issued_by: self.who, reason: self.why };
        Ok(Command {
            id: parse_id(&self.id)?,
            issued_at_ms: self.given,
            kind: Some(CommandKind::PinDuty(pin)),
        })
    }
}

fn parse_id(text: &str) -> Result<u64, String> {
    u64::from_str_radix(text, 16).map_err(|_| format!("id: '{text}' is not 16 hexadecimal digits"))
}

impl OrderRequest {
    fn command(self) -> Result<Command, String> {
        let id = parse_id(&self.id)?;
        let empty = Cleanup::default();
        let action = match self.order.as_str() {
            "drain" => OrderAction::Drain(self.server),
            "take-back" => OrderAction::Undrain(self.server),
            "weight" => OrderAction::SetWeight(Weight { server: self.server, weight: self.weight }),
            "free-weight" => OrderAction::ClearWeight(self.server),
            "cap" => OrderAction::SetCap(Cap { route: self.route, level: self.level }),
            "uncap" => OrderAction::ClearCap(self.route),
            "drain-zone" => OrderAction::DrainZone(self.zone),
            "take-back-zone" => OrderAction::UndrainZone(self.zone),
            "hold-duties" => OrderAction::HoldDuties(empty),
            "let-duties" => OrderAction::ResumeDuties(empty),
            "hold-releases" => OrderAction::HoldReleases(empty),
            "let-releases" => OrderAction::ResumeReleases(empty),
            other => return Err(format!("order: '{other}' is unknown")),
        };
        let (steps, step_pause_ms) = (self.steps, self.pause_ms);
        let (issued_by, reason, expires_at_ms, by_proxies) =
            (self.who, self.why, self.until, self.by_proxies);
        if by_proxies && steps == 0 {
            return Err("by_proxies: steps are missing".into());
        }
        let order = Order {
            issued_by,
            reason,
            expires_at_ms,
            action: Some(action),
            steps,
            step_pause_ms,
            by_proxies,
        };
        Ok(Command { id, issued_at_ms: self.given, kind: Some(CommandKind::Order(order)) })
    }
}

/// Parses an order from the body of `POST /orders`.
pub fn parse_order(body: &[u8]) -> Result<Command, String> {
    serde_json::from_slice::<OrderRequest>(body).map_err(|e| e.to_string())?.command()
}

/// Parses the placement of a duty from the body of `POST /duties`.
pub fn parse_duty_placement(body: &[u8]) -> Result<Command, String> {
    serde_json::from_slice::<DutyPlacementRequest>(body).map_err(|e| e.to_string())?.command()
}

/// Parses a change of members; `members` are the current ones.
pub fn parse_member_change(body: &[u8], members: &[MemberView]) -> Result<MemberChange, String> {
    let request: MemberChangeRequest = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    let member = members.iter().find(|member| member.name == request.name);
    let replaced = member.filter(|_| request.replace).map(|member| u64::from_str_radix(&member.id, 16));
    Ok(MemberChange {
        name: request.name,
        address: request.at,
        replaced_id: replaced.and_then(Result::ok).unwrap_or(0),
    })
}

/// HTTP status and body of a reply.
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

/// Orders in force; `here` is the share of each that this process applies.
pub fn orders_view(record: &Record, here: impl Fn(&ActiveOrder) -> f64) -> Vec<Value> {
    let orders = record.orders().filter_map(|(_, active)| {
        let order = active.order.as_ref()?;
        let description = order.action.as_ref()?.describe();
        Some(json!({ "number": active.index, "order": description, "who": order.issued_by, "why": order.reason,
            "until": order.expires_at_ms, "given": active.issued_at_ms, "steps": order.steps, "reached": active.progress,
            "back": active.revert_reason, "here": here(active) }))
    });
    orders.collect()
}

pub fn drains_view(record: &Record) -> Vec<Value> {
    let view = |d: &Drain| json!({ "server": d.server, "started": d.started, "told": d.notified_at_ms, "grace": d.grace_ms });
    record.drains().map(view).collect()
}

/// The contents of a member's record.
pub fn record_view(member: &Member, fresh: bool, age: Span, here: impl Fn(&ActiveOrder) -> f64) -> Value {
    let record = &member.record;
    let (applied_index, term) = member.raft().map_or((0, 0), |raft| (raft.applied_index(), raft.term()));
    json!({ "fresh": fresh, "age_ms": age.0 / 1_000_000, "index": applied_index, "term": term,
        "format": record.format(), "number": record.last_start_number(), "orders": orders_view(record, here),
        "drains": drains_view(record), "start": member.disk_starts(), "id": format!("{:016x}", member.id()) })
}
