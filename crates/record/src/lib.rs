//! The replicated state of a cluster. Commands arrive in the order of the agreed log; the same commands produce the same
//! state and the same outcomes on every member.
//!
//! This crate neither stores anything on disk nor communicates. All times are those carried by the commands; no clock is
//! read here.
//!
//! | state | command | next state | outcome |
//! | --- | --- | --- | --- |
//! | id known | any | unchanged | the earlier outcome |
//! | id older than the horizon | any | unchanged | `Unknown`: whether it was applied can no longer be told |
//! | below the limit | order that leaves something | in force on its subject, replacing the previous one | `Applied` |
//! | | order that revokes | nothing in force on its subject | `Applied` |
//! | at the limit of orders | order on a new subject | unchanged | `Rejected` |
//! | | start number | the next number is allocated | `Applied` with that number |
//! | no drain of that start | drain | runs from its notification on | `Applied` |
//! | a drain of that start | drain | unchanged: a grace period never restarts | `Applied` with the index of the first |
//! | a duty with that fencing token | assign | held by that planner; the log index is the new token | `Applied` with the token |
//! | a duty with another token | assign, release | unchanged: decided too late | `Rejected` |
//! | held under that token | release | no holder, the token stays | `Applied` |
//! | | pin | the planner that gets the duty when it is next free | `Applied` |
//! | the period after the last closed, current token | close | closed, not delivered | `Applied` |
//! | closed, current token | delivered | delivered; repeated: unchanged | `Applied` |
//! | an older token | cleanup, close, delivered | unchanged | `Rejected` |
//! | in force, not reverted, current token | rollout step | the progress, which never falls; or reverted for good | `Applied` |
//! | | lease | leases have this duration from now on | `Applied` |
//! | | budget shift | a part of a budget changes its holder, see the table in `shares` | `Applied` |
//! | a holding at another version | budget shift | unchanged: decided too late | `Rejected` |
//! | | raise format | the format of later commands, never a lower one | `Applied` |
//! | | cleanup | expired entries are removed; the horizon rises, never falls | `Applied` |
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

/// Limits on orders in force, active drains and remembered ids.
pub const MAX_ORDERS: usize = 10_000;
pub const MAX_DRAINS: usize = 100_000;
pub const MAX_IDS: usize = 100_000;
/// Outcomes of planners' own commands that are remembered. A drain that is repeated later changes nothing,
/// and a repeated allocation skips a number. In format 1 these commands shared the limit of operators'
/// orders, and more than 111 per second used it up.
pub const MAX_PLANNER_COMMANDS: usize = 4_096;
/// Further duties get no holder.
pub const MAX_DUTIES: usize = 1_024;
/// Names of the duties that this crate refers to.
pub const CLEANING_DUTY: &str = "cleaning";
pub const ACCOUNTING_DUTY: &str = "books";
pub const RELEASE_DUTY: &str = "release";
/// The lowest and highest command format that this build supports. Format 4 adds no command: it states that
/// every member supports observers.
pub const SUPPORTED_FORMATS: (u32, u32) = (1, 4);
/// From this format on the cluster may have observers; a build without support for them would give them
/// votes.
pub const OBSERVERS_FORMAT: u32 = 4;
/// Budgets that can be shared out.
pub const MAX_BUDGETS: usize = 16;
/// How long an id is remembered after it was issued: longer than any client keeps retrying.
pub const ID_RETENTION_MS: u64 = 15 * 60 * 1000;
/// How long a drain is remembered after its grace period, since proxies and planners may have been away.
const DRAIN_RETENTION_MS: u64 = 60 * 60 * 1000;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The log index, or the allocated number.
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
    /// For a stepwise order: its progress in thousandths, and why it was reverted.
    #[prost(uint32, tag = "4")]
    pub progress: u32,
    #[prost(string, tag = "5")]
    pub revert_reason: String,
}

/// The form in a snapshot. Maps are ordered, so that equal states have equal bytes.
#[derive(Clone, PartialEq, Message)]
struct SnapshotImage {
    #[prost(message, repeated, tag = "1")]
    orders: Vec<ActiveOrder>,
    #[prost(btree_map = "fixed64, message", tag = "2")]
    outcomes: BTreeMap<u64, PastOutcome>,
    #[prost(uint64, tag = "3")]
    last_start_number: u64,
    #[prost(btree_map = "string, message", tag = "4")]
    drains: BTreeMap<String, Drain>,
    #[prost(uint64, tag = "5")]
    horizon: u64,
    /// 0 stands for format 1.
    #[prost(uint32, tag = "6")]
    format: u32,
    #[prost(message, repeated, tag = "7")]
    planner_commands: Vec<PlannerCommand>,
    #[prost(btree_map = "string, message", tag = "8")]
    duties: BTreeMap<String, Duty>,
    #[prost(message, optional, tag = "9")]
    accounting: Option<AccountingState>,
    /// The content of the closed period, fixed when it was closed.
    #[prost(string, tag = "10")]
    accounting_extract: String,
    #[prost(uint64, tag = "11")]
    lease_ms: u64,
    #[prost(btree_map = "string, message", tag = "12")]
    budgets: BTreeMap<String, BudgetImage>,
}

/// A budget as stored in a snapshot.
#[derive(Clone, PartialEq, Message)]
struct BudgetImage {
    #[prost(uint64, tag = "1")]
    free: u64,
    #[prost(uint64, tag = "2")]
    base: u64,
    #[prost(uint64, tag = "3")]
    reserved_bases: u64,
    #[prost(btree_map = "fixed64, message", tag = "4")]
    holdings: BTreeMap<u64, HoldingImage>,
}

#[derive(Clone, PartialEq, Message)]
struct HoldingImage {
    #[prost(uint64, tag = "1")]
    base: u64,
    #[prost(uint64, tag = "2")]
    extra: u64,
    #[prost(uint64, tag = "3")]
    version: u64,
    #[prost(uint64, tag = "4")]
    start: u64,
}

impl BudgetImage {
    fn from_budget(budget: &Budget) -> BudgetImage {
        let to_image =
            |h: &Holding| HoldingImage { base: h.base, extra: h.extra, version: h.version, start: h.start };
        let holdings = budget.holdings.iter().map(|(id, holding)| (*id, to_image(holding))).collect();
        BudgetImage { free: budget.free, base: budget.base, reserved_bases: budget.reserved_bases, holdings }
    }

    fn to_budget(&self) -> Budget {
        let to_holding =
            |h: &HoldingImage| Holding { base: h.base, extra: h.extra, version: h.version, start: h.start };
        let holdings = self.holdings.iter().map(|(id, held)| (*id, to_holding(held))).collect();
        Budget { free: self.free, base: self.base, reserved_bases: self.reserved_bases, holdings }
    }
}

/// A duty; holder 0: none. The fencing token only rises.
#[derive(Clone, PartialEq, Message)]
pub struct Duty {
    #[prost(fixed64, tag = "1")]
    pub holder: u64,
    #[prost(string, tag = "2")]
    pub holder_name: String,
    #[prost(uint64, tag = "3")]
    pub fencing_token: u64,
    /// The planner that an operator pinned it to.
    #[prost(string, tag = "4")]
    pub pinned_to: String,
    /// When it was assigned or released, in Unix time of the issuer.
    #[prost(uint64, tag = "5")]
    pub since_ms: u64,
}

/// Accounting: the last closed period, the log index where it was closed, and the last delivered period.
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
struct PlannerCommand {
    #[prost(fixed64, tag = "1")]
    id: u64,
    #[prost(message, required, tag = "2")]
    outcome: PastOutcome,
}

/// The outcome of an id; an empty `rejection` means applied.
#[derive(Clone, PartialEq, Message)]
struct PastOutcome {
    #[prost(uint64, tag = "1")]
    number: u64,
    #[prost(string, tag = "2")]
    rejection: String,
    #[prost(uint64, tag = "3")]
    issued_at_ms: u64,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Record {
    orders: BTreeMap<Subject, ActiveOrder>,
    outcomes: BTreeMap<u64, PastOutcome>,
    last_start_number: u64,
    drains: BTreeMap<String, Drain>,
    /// Ids issued before this time are forgotten.
    horizon: u64,
    format: u32,
    /// Ids of planners' own commands, oldest first.
    planner_command_order: VecDeque<u64>,
    planner_outcomes: BTreeMap<u64, PastOutcome>,
    duties: BTreeMap<String, Duty>,
    accounting: AccountingState,
    accounting_extract: String,
    lease_ms: u64,
    budgets: BTreeMap<String, Budget>,
}

impl Record {
    /// Applies the command at a log index. The reason of a rejection is stored in snapshots and passed to other
    /// builds, so its text does not change.
    pub fn apply(&mut self, index: u64, command: &Command) -> Outcome {
        if let Some(outcome) = self.past_outcome(command.id) {
            return outcome;
        }
        if command.issued_at_ms < self.horizon {
            return Outcome::Unknown;
        }
        let is_planner_command =
            self.format >= 2 && command.kind.as_ref().is_some_and(CommandKind::is_planner_command);
        // Rejected without remembering the id, so that the command may be retried once there is room.
        if self.outcomes.len() >= MAX_IDS
            && !is_planner_command
            && !matches!(command.kind, Some(CommandKind::Cleanup(_)))
        {
            return Outcome::Rejected(format!("{MAX_IDS} commands are remembered, no more are taken"));
        }
        let outcome = match &command.kind {
            Some(CommandKind::Order(order)) => self.apply_order(index, command.issued_at_ms, order),
            Some(CommandKind::AllocateStartNumber(allocate)) => {
                self.last_start_number = (self.last_start_number + 1).max(allocate.at_least);
                Outcome::Applied(self.last_start_number)
            }
            Some(CommandKind::Drain(drain)) => self.apply_drain(index, drain),
            Some(CommandKind::RaiseFormat(format)) => {
                self.format = self.format().max(*format);
                return Outcome::Applied(index);
            }
            Some(CommandKind::AssignDuty(assign)) => self.assign_duty(index, command.issued_at_ms, assign),
            Some(CommandKind::ReleaseDuty(release)) => {
                self.release_duty(index, command.issued_at_ms, release)
            }
            Some(CommandKind::PinDuty(pin)) => self.pin_duty(index, pin),
            Some(CommandKind::ClosePeriod(close)) => self.close_period(index, close),
            Some(CommandKind::PeriodDelivered(close)) => self.mark_delivered(index, close),
            Some(CommandKind::SetLease(lease_ms)) => {
                self.lease_ms = *lease_ms;
                Outcome::Applied(index)
            }
            Some(CommandKind::RolloutStep(step)) => self.apply_rollout_step(index, step),
            Some(CommandKind::BudgetShift(shift)) => self.shift_budget(index, shift),
            Some(CommandKind::Cleanup(cleanup)) => {
                if let Err(rejection) = self.check_fencing_token(CLEANING_DUTY, cleanup.fencing_token) {
                    return Outcome::Rejected(rejection);
                }
                self.clean_up(cleanup.now_ms);
                return Outcome::Applied(index);
            }
            None => Outcome::Rejected("no command".into()),
        };
        let (number, rejection) = match &outcome {
            Outcome::Applied(number) => (*number, String::new()),
            Outcome::Rejected(rejection) => (0, rejection.clone()),
            Outcome::Unknown => return outcome,
        };
        let past_outcome = PastOutcome { number, rejection, issued_at_ms: command.issued_at_ms };
        if is_planner_command {
            self.planner_command_order.push_back(command.id);
            self.planner_outcomes.insert(command.id, past_outcome);
            let excess = self.planner_command_order.len().saturating_sub(MAX_PLANNER_COMMANDS);
            for id in self.planner_command_order.drain(..excess) {
                self.planner_outcomes.remove(&id);
            }
        } else {
            self.outcomes.insert(command.id, past_outcome);
        }
        outcome
    }

    fn apply_order(&mut self, index: u64, issued_at_ms: u64, order: &Order) -> Outcome {
        let Some(action) = &order.action else { return Outcome::Rejected("no order is given".into()) };
        let (subject, stays_in_force) = action.subject();
        if order.by_proxies && self.format() < 3 {
            return Outcome::Rejected("not everybody knows steps by proxies yet".into());
        }
        if !stays_in_force {
            self.orders.remove(&subject);
        } else if self.orders.len() >= MAX_ORDERS && !self.orders.contains_key(&subject) {
            return Outcome::Rejected(format!("{MAX_ORDERS} orders are in force, take one back first"));
        } else {
            self.orders.insert(
                subject,
                ActiveOrder { index, order: Some(order.clone()), issued_at_ms, ..ActiveOrder::default() },
            );
        }
        Outcome::Applied(index)
    }

    fn apply_drain(&mut self, index: u64, drain: &Drain) -> Outcome {
        match self.drains.get(&drain.server) {
            Some(existing) if existing.started >= drain.started => return Outcome::Applied(index),
            None if self.drains.len() >= MAX_DRAINS => {
                return Outcome::Rejected(format!("{MAX_DRAINS} drains run"));
            }
            _ => {}
        }
        self.drains.insert(drain.server.clone(), drain.clone());
        Outcome::Applied(index)
    }

    /// Rejects a command whose fencing token is not the duty's current one. A duty that does not exist has
    /// token 0.
    fn check_fencing_token(&self, duty: &str, token: u64) -> Result<(), String> {
        match self.duties.get(duty).map_or(0, |duty| duty.fencing_token) {
            current if current == token => Ok(()),
            current => Err(format!("{duty} is done under number {current} by now, not {token}")),
        }
    }

    fn assign_duty(&mut self, index: u64, issued_at_ms: u64, assign: &AssignDuty) -> Outcome {
        if let Err(why) = self.check_fencing_token(&assign.duty, assign.expected_fencing_token) {
            return Outcome::Rejected(why);
        }
        if !self.duties.contains_key(&assign.duty) && self.duties.len() >= MAX_DUTIES {
            return Outcome::Rejected(format!("{MAX_DUTIES} duties are known"));
        }
        let duty = self.duties.entry(assign.duty.clone()).or_default();
        (duty.holder, duty.holder_name, duty.fencing_token, duty.since_ms) =
            (assign.holder, assign.holder_name.clone(), index, issued_at_ms);
        Outcome::Applied(index)
    }

    fn release_duty(&mut self, index: u64, issued_at_ms: u64, release: &ReleaseDuty) -> Outcome {
        if let Err(why) = self.check_fencing_token(&release.duty, release.fencing_token) {
            return Outcome::Rejected(why);
        }
        if let Some(duty) = self.duties.get_mut(&release.duty) {
            (duty.holder, duty.since_ms) = (0, issued_at_ms);
        }
        Outcome::Applied(index)
    }

    fn pin_duty(&mut self, index: u64, pin: &PinDuty) -> Outcome {
        match self.duties.get_mut(&pin.duty) {
            Some(duty) => duty.pinned_to = pin.planner.clone(),
            None => return Outcome::Rejected(format!("there is no duty '{}'", pin.duty)),
        }
        Outcome::Applied(index)
    }

    fn shift_budget(&mut self, index: u64, command: &BudgetShift) -> Outcome {
        let Some(shift) = command.shift() else {
            return Outcome::Rejected("nothing is shared out".into());
        };
        if !self.budgets.contains_key(&command.budget) && self.budgets.len() >= MAX_BUDGETS {
            return Outcome::Rejected(format!("{MAX_BUDGETS} budgets are parted"));
        }
        let budget = self.budgets.entry(command.budget.clone()).or_default();
        budget.apply(index, &shift).map_or_else(Outcome::Rejected, |()| Outcome::Applied(index))
    }

    /// Progress only rises, or the order is reverted for good.
    fn apply_rollout_step(&mut self, index: u64, step: &RolloutStep) -> Outcome {
        if let Err(why) = self.check_fencing_token(RELEASE_DUTY, step.fencing_token) {
            return Outcome::Rejected(why);
        }
        match self.orders.values_mut().find(|order| order.index == step.order_index) {
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

    /// A period can be closed only after the previous one was delivered: its content is kept until then, so
    /// that every sender sends the same bytes.
    fn close_period(&mut self, index: u64, report: &PeriodReport) -> Outcome {
        if let Err(why) = self.check_fencing_token(ACCOUNTING_DUTY, report.fencing_token) {
            return Outcome::Rejected(why);
        }
        match self.accounting {
            accounting if report.period <= accounting.closed_period => Outcome::Applied(index),
            accounting if accounting.delivered_period < accounting.closed_period => {
                Outcome::Rejected(format!("period {} has not arrived", accounting.closed_period))
            }
            accounting => {
                self.accounting =
                    AccountingState { closed_period: report.period, closed_at_index: index, ..accounting };
                self.accounting_extract = self.build_extract(report, index);
                Outcome::Applied(index)
            }
        }
    }

    fn mark_delivered(&mut self, index: u64, report: &PeriodReport) -> Outcome {
        if let Err(why) = self.check_fencing_token(ACCOUNTING_DUTY, report.fencing_token) {
            return Outcome::Rejected(why);
        }
        if report.period > self.accounting.closed_period {
            return Outcome::Rejected(format!("period {} is not closed", report.period));
        }
        self.accounting.delivered_period = self.accounting.delivered_period.max(report.period);
        Outcome::Applied(index)
    }

    /// The content of the record as the receiver gets it: the same bytes from every sender.
    fn build_extract(&self, report: &PeriodReport, index: u64) -> String {
        let orders: Vec<serde_json::Value> = self
            .orders
            .values()
            .filter_map(|active| {
                let order = active.order.as_ref()?;
                Some(serde_json::json!({ "number": active.index, "order": order.action.as_ref()?.describe(),
                    "who": order.issued_by, "why": order.reason, "until": order.expires_at_ms, "given": active.issued_at_ms, "reached": active.progress, "back": active.revert_reason }))
            })
            .collect();
        let drains: Vec<serde_json::Value> = self
            .drains
            .values()
            .map(|d| serde_json::json!({ "server": d.server, "started": d.started, "told": d.notified_at_ms, "grace": d.grace_ms }))
            .collect();
        let mut extract = serde_json::json!({ "period": report.period, "index": index, "number": self.last_start_number,
            "orders": orders, "drains": drains });
        if self.format() >= 3 {
            let usage = report.usage.iter().map(|usage_row| {
                serde_json::json!({ "planner": usage_row.planner, "disk": format!("{:016x}", usage_row.disk_id), "start": usage_row.start,
                    "route": usage_row.route, "zone": usage_row.zone, "calls": usage_row.calls, "age_ms": usage_row.age_ms })
            });
            extract["used"] = usage.collect();
        }
        extract.to_string()
    }

    fn clean_up(&mut self, now_ms: u64) {
        self.orders.retain(|_, active| {
            active
                .order
                .as_ref()
                .is_some_and(|order| order.expires_at_ms == 0 || order.expires_at_ms > now_ms)
        });
        self.drains.retain(|_, drain| drain.notified_at_ms + drain.grace_ms + DRAIN_RETENTION_MS > now_ms);
        self.horizon = self.horizon.max(now_ms.saturating_sub(ID_RETENTION_MS));
        let horizon = self.horizon;
        self.outcomes.retain(|_, outcome| outcome.issued_at_ms >= horizon);
    }

    /// The subjects that a command may change, determined before it is applied; may include more than
    /// necessary.
    pub fn affected_subjects(&self, command: &Command) -> Vec<Subject> {
        match &command.kind {
            Some(CommandKind::Cleanup(cleanup)) => {
                let is_expired = |s: &ActiveOrder| {
                    s.order.as_ref().is_none_or(|o| o.expires_at_ms > 0 && o.expires_at_ms <= cleanup.now_ms)
                };
                let orders = self.orders.iter().filter(|(_, active)| is_expired(active));
                let drains = self
                    .drains
                    .values()
                    .filter(|d| d.notified_at_ms + d.grace_ms + DRAIN_RETENTION_MS <= cleanup.now_ms);
                let drains = drains.map(|drain| Subject::Server(drain.server.clone()));
                orders.map(|(subject, _)| subject.clone()).chain(drains).collect()
            }
            Some(CommandKind::RolloutStep(step)) => {
                let advanced = self.orders.iter().find(|(_, active)| active.index == step.order_index);
                advanced.map(|(subject, _)| subject.clone()).into_iter().collect()
            }
            _ => command.subject().into_iter().collect(),
        }
    }

    /// Whether a cleanup at this time would remove anything.
    pub fn needs_cleanup(&self, now_ms: u64) -> bool {
        let is_expired = |s: &ActiveOrder| {
            s.order.as_ref().is_some_and(|o| o.expires_at_ms > 0 && o.expires_at_ms <= now_ms)
        };
        self.orders.values().any(is_expired)
            || self.horizon + 2 * ID_RETENTION_MS < now_ms && !self.outcomes.is_empty()
            || self.outcomes.len() > MAX_IDS / 2 && self.horizon + ID_RETENTION_MS + 1_000 < now_ms
    }

    /// The orders in force, by subject.
    pub fn orders(&self) -> impl DoubleEndedIterator<Item = (&Subject, &ActiveOrder)> + '_ {
        self.orders.iter()
    }

    /// For followers that do not apply commands but are told the order on a subject, or the start of a server
    /// that a drain applies to. `None` removes it.
    pub fn set_order(&mut self, subject: Subject, order: Option<ActiveOrder>) {
        match order {
            Some(order) => drop(self.orders.insert(subject, order)),
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

    /// Duties pinned to a planner that is no longer a member.
    pub fn duties_pinned_to_absent(&self, is_member: impl Fn(&str) -> bool) -> Vec<String> {
        let is_absent = |duty: &&Duty| !duty.pinned_to.is_empty() && !is_member(&duty.pinned_to);
        let is_absent = self.duties.iter().filter(|(_, duty)| is_absent(duty));
        is_absent.map(|(name, _)| name.clone()).collect()
    }

    /// The lease duration in milliseconds; 0: never set.
    pub fn lease_ms(&self) -> u64 {
        self.lease_ms
    }

    /// The accounting state and the content of the last closed period.
    pub fn accounting(&self) -> (AccountingState, &str) {
        (self.accounting, &self.accounting_extract)
    }

    pub fn active_order(&self, subject: &Subject) -> Option<&ActiveOrder> {
        self.orders.get(subject)
    }

    /// Whether a drain of this start of the server, or of a later one, is recorded.
    pub fn is_drained(&self, server: &str, started: u64) -> bool {
        self.drains.get(server).is_some_and(|drain| drain.started >= started)
    }

    pub fn find_drain(&self, server: &str) -> Option<&Drain> {
        self.drains.get(server)
    }

    pub fn drains(&self) -> impl Iterator<Item = &Drain> + '_ {
        self.drains.values()
    }

    /// The format in which commands are interpreted.
    pub fn format(&self) -> u32 {
        self.format.max(SUPPORTED_FORMATS.0)
    }

    /// The highest number that was allocated.
    pub fn last_start_number(&self) -> u64 {
        self.last_start_number
    }

    /// The outcome of a command id, if it is remembered.
    pub fn past_outcome(&self, id: u64) -> Option<Outcome> {
        self.outcomes.get(&id).or_else(|| self.planner_outcomes.get(&id)).map(PastOutcome::to_outcome)
    }

    pub fn encode_snapshot(&self) -> Vec<u8> {
        let planner_commands = self.planner_command_order.iter().filter_map(|id| {
            Some(PlannerCommand { id: *id, outcome: self.planner_outcomes.get(id)?.clone() })
        });
        let image = SnapshotImage {
            orders: self.orders.values().cloned().collect(),
            outcomes: self.outcomes.clone(),
            last_start_number: self.last_start_number,
            drains: self.drains.clone(),
            horizon: self.horizon,
            format: self.format,
            planner_commands: planner_commands.collect(),
            duties: self.duties.clone(),
            accounting: Some(self.accounting),
            accounting_extract: self.accounting_extract.clone(),
            lease_ms: self.lease_ms,
            budgets: self
                .budgets
                .iter()
                .map(|(name, budget)| (name.clone(), BudgetImage::from_budget(budget)))
                .collect(),
        };
        image.encode_to_vec()
    }

    pub fn decode_snapshot(bytes: &[u8]) -> Result<Record, String> {
        let image = SnapshotImage::decode(bytes).map_err(|e| format!("invalid record snapshot: {e}"))?;
        let mut orders = BTreeMap::new();
        for active in image.orders {
            let action = active.order.as_ref().and_then(|order| order.action.as_ref());
            let (subject, _) = action.ok_or("an order in the snapshot has no action")?.subject();
            orders.insert(subject, active);
        }
        let accounting = image.accounting.unwrap_or_default();
        let SnapshotImage {
            outcomes,
            last_start_number,
            drains,
            horizon,
            format,
            planner_commands,
            duties,
            accounting_extract,
            lease_ms,
            budgets,
            ..
        } = image;
        if format > SUPPORTED_FORMATS.1 {
            return Err(format!(
                "the record stands at format {format}, this build knows {}",
                SUPPORTED_FORMATS.1
            ));
        }
        let planner_command_order =
            planner_commands.iter().map(|planner_commands| planner_commands.id).collect();
        let planner_outcomes = planner_commands
            .into_iter()
            .map(|planner_commands| (planner_commands.id, planner_commands.outcome))
            .collect();
        Ok(Record {
            orders,
            outcomes,
            last_start_number,
            drains,
            horizon,
            format,
            planner_command_order,
            planner_outcomes,
            duties,
            accounting,
            accounting_extract,
            lease_ms,
            budgets: budgets.iter().map(|(name, image)| (name.clone(), image.to_budget())).collect(),
        })
    }
}

impl PastOutcome {
    fn to_outcome(&self) -> Outcome {
        match self.rejection.as_str() {
            "" => Outcome::Applied(self.number),
            why => Outcome::Rejected(why.into()),
        }
    }
}
