//! The record: what planners hold for others. Commands come in the order of the agreed log; the same commands lead to
//! the same state and the same answers everywhere.
//!
//! Not a store and not agreement: it neither keeps anything on disk nor knows other members. Moments in it are those
//! that commands carry; no clock decides here.
//!
//! | state | command | next | answer |
//! | --- | --- | --- | --- |
//! | id known | any | as it is | the answer it had |
//! | id older than the horizon | any | as it is | `Unknown`: whether it was made can no longer be told |
//! | room for it | order that leaves something | in force on its subject, in place of what was | `Kept` |
//! | | order that takes back | nothing in force on its subject | `Kept` |
//! | too many in force | order on a new subject | as it is | `Refused` |
//! | | number | one more is taken | `Kept`, the number |
//! | no drain of that start | drain | it runs from when it was told | `Kept` |
//! | a drain of that start | drain | as it is: a grace never begins anew | `Kept`, the number of the first |
//! | a duty under that number | give | held by that planner, under the place in the log as its number | `Kept`, the number |
//! | a duty under another | give, release | as it is: decided too late | `Refused` |
//! | held under that number | release | nobody's, the number stays | `Kept` |
//! | | hand | where it goes when it is free next | `Kept` |
//! | the period after the last closed, under the books' number | close | closed, not arrived | `Kept` |
//! | closed, under the books' number | arrived | arrived; again: as it is | `Kept` |
//! | under an older number | clean, close, arrived | as it is | `Refused` |
//! | in force, not taken back, under the releaser's number | step | reached so far, never less; or taken back for good | `Kept` |
//! | | lease | leases are so long from here on | `Kept` |
//! | | share | a part of a budget has another holder, by the table of `shares` | `Kept` |
//! | a part under another number | share | as it is: decided too late | `Refused` |
//! | | raise | the format of the commands that follow, never a lower one | `Kept` |
//! | | clean | what ran out is gone, the horizon rises, never falls | `Kept` |
#![forbid(unsafe_code)]

mod commands;

pub use commands::{
    AllocateStartNumber, AssignDuty, BudgetShift, CallUsage, Cap, Claim, Cleanup, Command, CommandKind,
    Drain, Moved, Order, OrderAction, PeriodReport, PinDuty, ReleaseDuty, RolloutStep, Shifts, Subject,
    Weight, MAX_NAME_LEN, MAX_REASON_LEN, MAX_USAGE_ROWS,
};

use pewtergap_shares::{Budget, Holding};
use prost::Message;
use std::collections::{BTreeMap, VecDeque};

/// Orders in force, drains that run, and ids that are remembered.
pub const MAX_ORDERS: usize = 10_000;
pub const MAX_DRAINS: usize = 100_000;
pub const MAX_IDS: usize = 100_000;
/// Of planners' own commands the last so many are remembered: given again after that, a drain changes nothing and a
/// number is one more. In format 1 they took the places of operators' orders, and more than 111 a second filled them.
pub const MAX_PLANNER_COMMANDS: usize = 4_096;
/// Duties that are known; more get no holder.
pub const MAX_DUTIES: usize = 1_024;
/// Duties that the record itself is touched by.
pub const CLEANING_DUTY: &str = "cleaning";
pub const ACCOUNTING_DUTY: &str = "books";
pub const RELEASE_DUTY: &str = "release";
/// Formats of commands that this build can carry out. Format 4 has no command of its own: it says that everybody who
/// belongs knows observers.
pub const SUPPORTED_FORMATS: (u32, u32) = (1, 4);
/// From this format on there may be observers; a build that knows none would give them votes.
pub const OBSERVERS_FORMAT: u32 = 4;
/// Budgets that are parted.
pub const MAX_BUDGETS: usize = 16;
/// An id is remembered for so long after it was given, in milliseconds: longer than anybody goes on asking.
pub const ID_RETENTION_MS: u64 = 15 * 60 * 1000;
/// A drain is remembered for so long after its grace: proxies and planners may have been away.
const DRAINED: u64 = 60 * 60 * 1000;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The number is the place in the log, or for a number taken that number.
    Applied(u64),
    Rejected(String),
    Unknown,
}

#[derive(Clone, PartialEq, Message)]
pub struct ActiveOrder {
    #[prost(uint64, tag = "1")]
    pub index: u64,
    #[prost(message, optional, tag = "2")]
    pub order: Option<Order>,
    #[prost(uint64, tag = "3")]
    pub issued_at_ms: u64,
    /// Of an order in steps: thousandths that are reached, and why it was taken back.
    #[prost(uint32, tag = "4")]
    pub progress: u32,
    #[prost(string, tag = "5")]
    pub revert_reason: String,
}

/// As it goes into a snapshot. Maps are kept in order, so that the same state is the same bytes.
#[derive(Clone, PartialEq, Message)]
struct Image {
    #[prost(message, repeated, tag = "1")]
    orders: Vec<ActiveOrder>,
    #[prost(btree_map = "fixed64, message", tag = "2")]
    ids: BTreeMap<u64, Past>,
    #[prost(uint64, tag = "3")]
    number: u64,
    #[prost(btree_map = "string, message", tag = "4")]
    drains: BTreeMap<String, Drain>,
    #[prost(uint64, tag = "5")]
    horizon: u64,
    /// 0: 1.
    #[prost(uint32, tag = "6")]
    format: u32,
    #[prost(message, repeated, tag = "7")]
    own: Vec<Own>,
    #[prost(btree_map = "string, message", tag = "8")]
    duties: BTreeMap<String, Duty>,
    #[prost(message, optional, tag = "9")]
    books: Option<AccountingState>,
    /// What the closed period says, fixed when it was closed.
    #[prost(string, tag = "10")]
    extract: String,
    #[prost(uint64, tag = "11")]
    lease: u64,
    #[prost(btree_map = "string, message", tag = "12")]
    budgets: BTreeMap<String, Parted>,
}

/// A budget as it goes into a snapshot.
#[derive(Clone, PartialEq, Message)]
struct Parted {
    #[prost(uint64, tag = "1")]
    free: u64,
    #[prost(uint64, tag = "2")]
    base: u64,
    #[prost(uint64, tag = "3")]
    kept_for: u64,
    #[prost(btree_map = "fixed64, message", tag = "4")]
    holdings: BTreeMap<u64, Held>,
}

#[derive(Clone, PartialEq, Message)]
struct Held {
    #[prost(uint64, tag = "1")]
    base: u64,
    #[prost(uint64, tag = "2")]
    more: u64,
    #[prost(uint64, tag = "3")]
    number: u64,
    #[prost(uint64, tag = "4")]
    start: u64,
}

impl Parted {
    fn of(budget: &Budget) -> Parted {
        let held = |h: &Holding| Held { base: h.base, more: h.extra, number: h.version, start: h.start };
        let holdings = budget.holdings.iter().map(|(id, holding)| (*id, held(holding))).collect();
        Parted { free: budget.free, base: budget.base, kept_for: budget.reserved_bases, holdings }
    }

    fn budget(&self) -> Budget {
        let holding = |h: &Held| Holding { base: h.base, extra: h.more, version: h.number, start: h.start };
        let holdings = self.holdings.iter().map(|(id, held)| (*id, holding(held))).collect();
        Budget { free: self.free, base: self.base, reserved_bases: self.kept_for, holdings }
    }
}

/// A duty; holder 0: nobody's. The number only rises.
#[derive(Clone, PartialEq, Message)]
pub struct Duty {
    #[prost(fixed64, tag = "1")]
    pub holder: u64,
    #[prost(string, tag = "2")]
    pub holder_name: String,
    #[prost(uint64, tag = "3")]
    pub fencing_token: u64,
    /// Where an operator wants it.
    #[prost(string, tag = "4")]
    pub pinned_to: String,
    /// When it was given or handed on, by the calendar of whoever said so.
    #[prost(uint64, tag = "5")]
    pub since_ms: u64,
}

/// The books: the last period that was closed, at which place of the log, and the last that arrived.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct AccountingState {
    #[prost(uint64, tag = "1")]
    pub closed_period: u64,
    #[prost(uint64, tag = "2")]
    pub closed_at_index: u64,
    #[prost(uint64, tag = "3")]
    pub delivered_period: u64,
}

#[derive(Clone, PartialEq, Message)]
struct Own {
    #[prost(fixed64, tag = "1")]
    id: u64,
    #[prost(message, required, tag = "2")]
    past: Past,
}

/// An id's answer; empty `why`: kept.
#[derive(Clone, PartialEq, Message)]
struct Past {
    #[prost(uint64, tag = "1")]
    number: u64,
    #[prost(string, tag = "2")]
    why: String,
    #[prost(uint64, tag = "3")]
    given: u64,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Record {
    orders: BTreeMap<Subject, ActiveOrder>,
    ids: BTreeMap<u64, Past>,
    last_start_number: u64,
    drains: BTreeMap<String, Drain>,
    /// Ids given before are forgotten.
    horizon: u64,
    format: u32,
    /// Planners' own commands, in their order.
    own: VecDeque<u64>,
    own_ids: BTreeMap<u64, Past>,
    duties: BTreeMap<String, Duty>,
    accounting: AccountingState,
    extract: String,
    lease_ms: u64,
    budgets: BTreeMap<String, Budget>,
}

impl Record {
    /// Carries out the command at a place of the log.
    pub fn apply(&mut self, index: u64, command: &Command) -> Outcome {
        if let Some(answer) = self.past_outcome(command.id) {
            return answer;
        }
        if command.issued_at_ms < self.horizon {
            return Outcome::Unknown;
        }
        let own = self.format >= 2 && command.kind.as_ref().is_some_and(CommandKind::is_own);
        // Refused before it is remembered: it may be given again once there is room.
        if self.ids.len() >= MAX_IDS && !own && !matches!(command.kind, Some(CommandKind::Cleanup(_))) {
            return Outcome::Rejected(format!("{MAX_IDS} commands are remembered, no more are taken"));
        }
        let answer = match &command.kind {
            Some(CommandKind::Order(order)) => self.order(index, command.issued_at_ms, order),
            Some(CommandKind::AllocateStartNumber(take)) => {
                self.last_start_number = (self.last_start_number + 1).max(take.at_least);
                Outcome::Applied(self.last_start_number)
            }
            Some(CommandKind::Drain(drain)) => self.drain(index, drain),
            Some(CommandKind::RaiseFormat(format)) => {
                self.format = self.format().max(*format);
                return Outcome::Applied(index);
            }
            Some(CommandKind::AssignDuty(give)) => self.give(index, command.issued_at_ms, give),
            Some(CommandKind::ReleaseDuty(release)) => self.release(index, command.issued_at_ms, release),
            Some(CommandKind::PinDuty(hand)) => self.hand(index, hand),
            Some(CommandKind::ClosePeriod(close)) => self.close(index, close),
            Some(CommandKind::PeriodDelivered(close)) => self.arrived(index, close),
            Some(CommandKind::SetLease(length)) => {
                self.lease_ms = *length;
                Outcome::Applied(index)
            }
            Some(CommandKind::RolloutStep(step)) => self.step(index, step),
            Some(CommandKind::BudgetShift(share)) => self.share(index, share),
            Some(CommandKind::Cleanup(clean)) => {
                if let Err(why) = self.fenced(CLEANING_DUTY, clean.fencing_token) {
                    return Outcome::Rejected(why);
                }
                self.clean(clean.now_ms);
                return Outcome::Applied(index);
            }
            None => Outcome::Rejected("no command".into()),
        };
        let (number, why) = match &answer {
            Outcome::Applied(number) => (*number, String::new()),
            Outcome::Rejected(why) => (0, why.clone()),
            Outcome::Unknown => return answer,
        };
        let past = Past { number, why, given: command.issued_at_ms };
        if own {
            self.own.push_back(command.id);
            self.own_ids.insert(command.id, past);
            let over = self.own.len().saturating_sub(MAX_PLANNER_COMMANDS);
            for id in self.own.drain(..over) {
                self.own_ids.remove(&id);
            }
        } else {
            self.ids.insert(command.id, past);
        }
        answer
    }

    fn order(&mut self, index: u64, given: u64, order: &Order) -> Outcome {
        let Some(wish) = &order.action else { return Outcome::Rejected("no order is given".into()) };
        let (subject, stays) = wish.subject();
        if order.by_proxies && self.format() < 3 {
            return Outcome::Rejected("not everybody knows steps by proxies yet".into());
        }
        if !stays {
            self.orders.remove(&subject);
        } else if self.orders.len() >= MAX_ORDERS && !self.orders.contains_key(&subject) {
            return Outcome::Rejected(format!("{MAX_ORDERS} orders are in force, take one back first"));
        } else {
            self.orders.insert(
                subject,
                ActiveOrder {
                    index,
                    order: Some(order.clone()),
                    issued_at_ms: given,
                    ..ActiveOrder::default()
                },
            );
        }
        Outcome::Applied(index)
    }

    fn drain(&mut self, index: u64, drain: &Drain) -> Outcome {
        match self.drains.get(&drain.server) {
            Some(known) if known.started >= drain.started => return Outcome::Applied(index),
            None if self.drains.len() >= MAX_DRAINS => {
                return Outcome::Rejected(format!("{MAX_DRAINS} drains run"));
            }
            _ => {}
        }
        self.drains.insert(drain.server.clone(), drain.clone());
        Outcome::Applied(index)
    }

    /// What is done under a number that is not the duty's any more is refused. Without the duty there is none.
    fn fenced(&self, duty: &str, number: u64) -> Result<(), String> {
        match self.duties.get(duty).map_or(0, |duty| duty.fencing_token) {
            known if known == number => Ok(()),
            known => Err(format!("{duty} is done under number {known} by now, not {number}")),
        }
    }

    fn give(&mut self, index: u64, given: u64, give: &AssignDuty) -> Outcome {
        if let Err(why) = self.fenced(&give.duty, give.expected_fencing_token) {
            return Outcome::Rejected(why);
        }
        if !self.duties.contains_key(&give.duty) && self.duties.len() >= MAX_DUTIES {
            return Outcome::Rejected(format!("{MAX_DUTIES} duties are known"));
        }
        let duty = self.duties.entry(give.duty.clone()).or_default();
        (duty.holder, duty.holder_name, duty.fencing_token, duty.since_ms) =
            (give.holder, give.holder_name.clone(), index, given);
        Outcome::Applied(index)
    }

    fn release(&mut self, index: u64, given: u64, release: &ReleaseDuty) -> Outcome {
        if let Err(why) = self.fenced(&release.duty, release.fencing_token) {
            return Outcome::Rejected(why);
        }
        if let Some(duty) = self.duties.get_mut(&release.duty) {
            (duty.holder, duty.since_ms) = (0, given);
        }
        Outcome::Applied(index)
    }

    fn hand(&mut self, index: u64, hand: &PinDuty) -> Outcome {
        match self.duties.get_mut(&hand.duty) {
            Some(duty) => duty.pinned_to = hand.planner.clone(),
            None => return Outcome::Rejected(format!("there is no duty '{}'", hand.duty)),
        }
        Outcome::Applied(index)
    }

    fn share(&mut self, index: u64, share: &BudgetShift) -> Outcome {
        let Some(shift) = share.shift() else { return Outcome::Rejected("nothing is shared out".into()) };
        if !self.budgets.contains_key(&share.budget) && self.budgets.len() >= MAX_BUDGETS {
            return Outcome::Rejected(format!("{MAX_BUDGETS} budgets are parted"));
        }
        let budget = self.budgets.entry(share.budget.clone()).or_default();
        budget.apply(index, &shift).map_or_else(Outcome::Rejected, |()| Outcome::Applied(index))
    }

    /// Only up, or back to nothing for good.
    fn step(&mut self, index: u64, step: &RolloutStep) -> Outcome {
        if let Err(why) = self.fenced(RELEASE_DUTY, step.fencing_token) {
            return Outcome::Rejected(why);
        }
        match self.orders.values_mut().find(|standing| standing.index == step.order_index) {
            None => Outcome::Rejected(format!("order {} is not in force", step.order_index)),
            Some(order) if !order.revert_reason.is_empty() => Outcome::Rejected("it was taken back".into()),
            Some(order) if !step.revert_reason.is_empty() => {
                (order.progress, order.revert_reason) = (0, step.revert_reason.clone());
                Outcome::Applied(index)
            }
            Some(order) => {
                order.progress = order.progress.max(step.progress.min(1_000));
                Outcome::Applied(index)
            }
        }
    }

    /// Closed only when the last one arrived: what it says is kept until then, so whoever sends it sends the same.
    fn close(&mut self, index: u64, close: &PeriodReport) -> Outcome {
        if let Err(why) = self.fenced(ACCOUNTING_DUTY, close.fencing_token) {
            return Outcome::Rejected(why);
        }
        match self.accounting {
            books if close.period <= books.closed_period => Outcome::Applied(index),
            books if books.delivered_period < books.closed_period => {
                Outcome::Rejected(format!("period {} has not arrived", books.closed_period))
            }
            books => {
                self.accounting =
                    AccountingState { closed_period: close.period, closed_at_index: index, ..books };
                self.extract = self.extract_now(close, index);
                Outcome::Applied(index)
            }
        }
    }

    fn arrived(&mut self, index: u64, close: &PeriodReport) -> Outcome {
        if let Err(why) = self.fenced(ACCOUNTING_DUTY, close.fencing_token) {
            return Outcome::Rejected(why);
        }
        if close.period > self.accounting.closed_period {
            return Outcome::Rejected(format!("period {} is not closed", close.period));
        }
        self.accounting.delivered_period = self.accounting.delivered_period.max(close.period);
        Outcome::Applied(index)
    }

    /// What the record holds, as the receiver gets it: the same bytes from whoever sends it.
    fn extract_now(&self, close: &PeriodReport, index: u64) -> String {
        let orders: Vec<serde_json::Value> = self
            .orders
            .values()
            .filter_map(|standing| {
                let order = standing.order.as_ref()?;
                Some(serde_json::json!({ "number": standing.index, "order": order.action.as_ref()?.describe(),
                    "who": order.issued_by, "why": order.reason, "until": order.expires_at_ms, "given": standing.issued_at_ms, "reached": standing.progress, "back": standing.revert_reason }))
            })
            .collect();
        let drains: Vec<serde_json::Value> = self
            .drains
            .values()
            .map(|d| serde_json::json!({ "server": d.server, "started": d.started, "told": d.notified_at_ms, "grace": d.grace_ms }))
            .collect();
        let mut extract = serde_json::json!({ "period": close.period, "index": index, "number": self.last_start_number,
            "orders": orders, "drains": drains });
        if self.format() >= 3 {
            let used = close.usage.iter().map(|u| {
                serde_json::json!({ "planner": u.planner, "disk": format!("{:016x}", u.disk_id), "start": u.start,
                    "route": u.route, "zone": u.zone, "calls": u.calls, "age_ms": u.age_ms })
            });
            extract["used"] = used.collect();
        }
        extract.to_string()
    }

    fn clean(&mut self, now: u64) {
        self.orders.retain(|_, standing| {
            standing.order.as_ref().is_some_and(|order| order.expires_at_ms == 0 || order.expires_at_ms > now)
        });
        self.drains.retain(|_, drain| drain.notified_at_ms + drain.grace_ms + DRAINED > now);
        self.horizon = self.horizon.max(now.saturating_sub(ID_RETENTION_MS));
        let horizon = self.horizon;
        self.ids.retain(|_, past| past.given >= horizon);
    }

    /// What a command may change, before it is carried out; too much is not wrong.
    pub fn affected_subjects(&self, command: &Command) -> Vec<Subject> {
        match &command.kind {
            Some(CommandKind::Cleanup(clean)) => {
                let over = |s: &ActiveOrder| {
                    s.order.as_ref().is_none_or(|o| o.expires_at_ms > 0 && o.expires_at_ms <= clean.now_ms)
                };
                let orders = self.orders.iter().filter(|(_, standing)| over(standing));
                let drains =
                    self.drains.values().filter(|d| d.notified_at_ms + d.grace_ms + DRAINED <= clean.now_ms);
                let drains = drains.map(|drain| Subject::Server(drain.server.clone()));
                orders.map(|(subject, _)| subject.clone()).chain(drains).collect()
            }
            Some(CommandKind::RolloutStep(step)) => {
                let stepped = self.orders.iter().find(|(_, standing)| standing.index == step.order_index);
                stepped.map(|(subject, _)| subject.clone()).into_iter().collect()
            }
            _ => command.subject().into_iter().collect(),
        }
    }

    /// Whether a clean at this moment would end anything.
    pub fn needs_cleanup(&self, now: u64) -> bool {
        let ended =
            |s: &ActiveOrder| s.order.as_ref().is_some_and(|o| o.expires_at_ms > 0 && o.expires_at_ms <= now);
        self.orders.values().any(ended)
            || self.horizon + 2 * ID_RETENTION_MS < now && !self.ids.is_empty()
            || self.ids.len() > MAX_IDS / 2 && self.horizon + ID_RETENTION_MS + 1_000 < now
    }

    /// The orders in force, by subject.
    pub fn orders(&self) -> impl DoubleEndedIterator<Item = (&Subject, &ActiveOrder)> + '_ {
        self.orders.iter()
    }

    /// For whoever carries out no commands and is told by others what stands on a subject, or of which start of a server a
    /// drain runs. None: nothing.
    pub fn set_order(&mut self, subject: Subject, standing: Option<ActiveOrder>) {
        match standing {
            Some(standing) => drop(self.orders.insert(subject, standing)),
            None => drop(self.orders.remove(&subject)),
        }
    }

    pub fn set_drain(&mut self, server: &str, drain: Option<Drain>) {
        match drain {
            Some(drain) => drop(self.drains.insert(server.into(), drain)),
            None => drop(self.drains.remove(server)),
        }
    }

    pub fn duties(&self) -> &BTreeMap<String, Duty> {
        &self.duties
    }

    pub fn budget(&self, name: &str) -> Option<&Budget> {
        self.budgets.get(name)
    }

    /// Duties that an operator wants at a planner that does not belong any more.
    pub fn duties_pinned_to_absent(&self, belongs: impl Fn(&str) -> bool) -> Vec<String> {
        let lost = |duty: &&Duty| !duty.pinned_to.is_empty() && !belongs(&duty.pinned_to);
        let lost = self.duties.iter().filter(|(_, duty)| lost(duty));
        lost.map(|(name, _)| name.clone()).collect()
    }

    /// How long leases are, in milliseconds; 0: nobody has said so.
    pub fn lease_ms(&self) -> u64 {
        self.lease_ms
    }

    /// The books, and what the last closed period says.
    pub fn accounting(&self) -> (AccountingState, &str) {
        (self.accounting, &self.extract)
    }

    pub fn active_order(&self, subject: &Subject) -> Option<&ActiveOrder> {
        self.orders.get(subject)
    }

    /// Whether a drain of this start of the server, or of a later one, is kept.
    pub fn is_drained(&self, server: &str, started: u64) -> bool {
        self.drains.get(server).is_some_and(|drain| drain.started >= started)
    }

    pub fn find_drain(&self, server: &str) -> Option<&Drain> {
        self.drains.get(server)
    }

    pub fn drains(&self) -> impl Iterator<Item = &Drain> + '_ {
        self.drains.values()
    }

    /// The format in which commands are carried out.
    pub fn format(&self) -> u32 {
        self.format.max(SUPPORTED_FORMATS.0)
    }

    /// The highest number that was taken.
    pub fn last_start_number(&self) -> u64 {
        self.last_start_number
    }

    /// The answer that an id had, if it is remembered.
    pub fn past_outcome(&self, id: u64) -> Option<Outcome> {
        self.ids.get(&id).or_else(|| self.own_ids.get(&id)).map(Past::answer)
    }

    pub fn encode_snapshot(&self) -> Vec<u8> {
        let own = self.own.iter().filter_map(|id| Some(Own { id: *id, past: self.own_ids.get(id)?.clone() }));
        let image = Image {
            orders: self.orders.values().cloned().collect(),
            ids: self.ids.clone(),
            number: self.last_start_number,
            drains: self.drains.clone(),
            horizon: self.horizon,
            format: self.format,
            own: own.collect(),
            duties: self.duties.clone(),
            books: Some(self.accounting),
            extract: self.extract.clone(),
            lease: self.lease_ms,
            budgets: self.budgets.iter().map(|(name, budget)| (name.clone(), Parted::of(budget))).collect(),
        };
        image.encode_to_vec()
    }

    pub fn decode_snapshot(bytes: &[u8]) -> Result<Record, String> {
        let image = Image::decode(bytes).map_err(|e| format!("no image of a record: {e}"))?;
        let mut orders = BTreeMap::new();
        for standing in image.orders {
            let wish = standing.order.as_ref().and_then(|order| order.action.as_ref());
            let (subject, _) = wish.ok_or("an order in the image wishes for nothing")?.subject();
            orders.insert(subject, standing);
        }
        let books = image.books.unwrap_or_default();
        let Image { ids, number, drains, horizon, format, own, duties, extract, lease, budgets, .. } = image;
        if format > SUPPORTED_FORMATS.1 {
            return Err(format!(
                "the record stands at format {format}, this build knows {}",
                SUPPORTED_FORMATS.1
            ));
        }
        let ids_of_own = own.iter().map(|own| own.id).collect();
        let own_ids = own.into_iter().map(|own| (own.id, own.past)).collect();
        Ok(Record {
            orders,
            ids,
            last_start_number: number,
            drains,
            horizon,
            format,
            own: ids_of_own,
            own_ids,
            duties,
            accounting: books,
            extract,
            lease_ms: lease,
            budgets: budgets.iter().map(|(name, parted)| (name.clone(), parted.budget())).collect(),
        })
    }
}

impl Past {
    fn answer(&self) -> Outcome {
        match self.why.as_str() {
            "" => Outcome::Applied(self.number),
            why => Outcome::Rejected(why.into()),
        }
    }
}
