//! The commands of the log, and their validation before they are proposed.

use pewtergap_shares::Shift;
use prost::{Message, Oneof};

pub const MAX_NAME_LEN: usize = 256;
pub const MAX_REASON_LEN: usize = 1024;

/// One command of the log. `id` is drawn by its issuer and reused on a retry; `issued_at_ms` is Unix time in
/// milliseconds.
#[derive(Clone, PartialEq, Message)]
pub struct Command {
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    #[prost(uint64, tag = "2")]
    pub issued_at_ms: u64,
    #[prost(oneof = "CommandKind", tags = "3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15")]
    pub kind: Option<CommandKind>,
}

#[derive(Clone, PartialEq, Oneof)]
pub enum CommandKind {
    #[prost(message, tag = "3")]
    Order(Order),
    /// Gives a starting planner the next start number; no other planner ever gets the same one.
    #[prost(message, tag = "4")]
    AllocateStartNumber(AllocateStartNumber),
    /// A planner was notified of a drain for the first time.
    #[prost(message, tag = "5")]
    Drain(Drain),
    /// Ends what has expired by a given time and forgets ids issued long before.
    #[prost(message, tag = "6")]
    Cleanup(Cleanup),
    /// Later commands are interpreted in this format; every member supports it.
    #[prost(uint32, tag = "7")]
    RaiseFormat(u32),
    /// Gives a duty a holder. This and all following commands exist from format 2 on.
    #[prost(message, tag = "8")]
    AssignDuty(AssignDuty),
    /// The holder has stopped and gives the duty up.
    #[prost(message, tag = "9")]
    ReleaseDuty(ReleaseDuty),
    /// An operator pins a duty to a planner, or unpins it.
    #[prost(message, tag = "10")]
    PinDuty(PinDuty),
    /// Closes an accounting period, which fixes its content; or records that it was delivered.
    #[prost(message, tag = "11")]
    ClosePeriod(PeriodReport),
    #[prost(message, tag = "12")]
    PeriodDelivered(PeriodReport),
    /// Advances a stepwise order, or reverts it.
    #[prost(message, tag = "13")]
    RolloutStep(RolloutStep),
    /// Sets the duration of leases in milliseconds.
    #[prost(uint64, tag = "14")]
    SetLease(u64),
    /// Moves a part of a budget between a planner and the free units. From format 3 on.
    #[prost(message, tag = "15")]
    BudgetShift(BudgetShift),
}

#[derive(Clone, PartialEq, Message)]
pub struct BudgetShift {
    #[prost(string, tag = "1")]
    pub budget: String,
    #[prost(oneof = "Shifts", tags = "2, 3, 4, 5")]
    pub shift: Option<Shifts>,
}

#[derive(Clone, PartialEq, Oneof)]
pub enum Shifts {
    #[prost(message, tag = "2")]
    Claim(Claim),
    #[prost(message, tag = "3")]
    Deal(Moved),
    #[prost(message, tag = "4")]
    Back(Moved),
    #[prost(message, tag = "5")]
    End(Moved),
}

#[derive(Clone, PartialEq, Message)]
pub struct Claim {
    #[prost(fixed64, tag = "1")]
    pub by: u64,
    #[prost(uint64, tag = "2")]
    pub start: u64,
    #[prost(uint64, tag = "3")]
    pub base: u64,
    #[prost(uint64, tag = "4")]
    pub founders: u64,
    #[prost(bool, tag = "5")]
    pub founded: bool,
}

/// A change to a planner's holding (by disk id), valid if the holding is still at this version.
#[derive(Clone, PartialEq, Message)]
pub struct Moved {
    #[prost(fixed64, tag = "1")]
    pub of: u64,
    #[prost(uint64, tag = "2")]
    pub units: u64,
    #[prost(uint64, tag = "3")]
    pub number: u64,
}

impl BudgetShift {
    pub fn of(budget: &str, shift: &Shift) -> BudgetShift {
        let moved = |of, units, number| Moved { of, units, number };
        let shift = match *shift {
            Shift::Claim { by, start, base, founders, founded } => {
                Shifts::Claim(Claim { by, start, base, founders, founded })
            }
            Shift::Deal { to, units, number } => Shifts::Deal(moved(to, units, number)),
            Shift::Back { from, units, number } => Shifts::Back(moved(from, units, number)),
            Shift::End { of, number } => Shifts::End(moved(of, 0, number)),
        };
        BudgetShift { budget: budget.into(), shift: Some(shift) }
    }

    pub fn shift(&self) -> Option<Shift> {
        Some(match self.shift.as_ref()? {
            Shifts::Claim(claim) => {
                let (by, start, base) = (claim.by, claim.start, claim.base);
                Shift::Claim { by, start, base, founders: claim.founders, founded: claim.founded }
            }
            Shifts::Deal(moved) => Shift::Deal { to: moved.of, units: moved.units, number: moved.number },
            Shifts::Back(moved) => Shift::Back { from: moved.of, units: moved.units, number: moved.number },
            Shifts::End(moved) => Shift::End { of: moved.of, number: moved.number },
        })
    }

    /// The planner whose holding shrinks.
    pub fn taken_from(&self) -> Option<u64> {
        match self.shift.as_ref()? {
            Shifts::Back(moved) | Shifts::End(moved) => Some(moved.of),
            _ => None,
        }
    }
}

#[derive(Clone, PartialEq, Message)]
pub struct RolloutStep {
    /// The log index of the order.
    #[prost(uint64, tag = "1")]
    pub order_index: u64,
    /// In thousandths of the whole order.
    #[prost(uint32, tag = "2")]
    pub progress: u32,
    #[prost(uint64, tag = "3")]
    pub fencing_token: u64,
    /// Why the order is reverted; empty if it is not.
    #[prost(string, tag = "4")]
    pub revert_reason: String,
}

#[derive(Clone, PartialEq, Message)]
pub struct AssignDuty {
    #[prost(string, tag = "1")]
    pub duty: String,
    /// The planner's disk id and name.
    #[prost(fixed64, tag = "2")]
    pub holder: u64,
    #[prost(string, tag = "3")]
    pub holder_name: String,
    /// The duty's fencing token at the time of the decision; the command is rejected if it has changed.
    #[prost(uint64, tag = "4")]
    pub expected_fencing_token: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct ReleaseDuty {
    #[prost(string, tag = "1")]
    pub duty: String,
    #[prost(uint64, tag = "2")]
    pub fencing_token: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct PinDuty {
    #[prost(string, tag = "1")]
    pub duty: String,
    /// Empty: any planner.
    #[prost(string, tag = "2")]
    pub planner: String,
    #[prost(string, tag = "3")]
    pub issued_by: String,
    #[prost(string, tag = "4")]
    pub reason: String,
}

/// An accounting period by its id, under the fencing token of the planner that does the accounting.
#[derive(Clone, PartialEq, Message)]
pub struct PeriodReport {
    #[prost(uint64, tag = "1")]
    pub period: u64,
    #[prost(uint64, tag = "2")]
    pub fencing_token: u64,
    /// From format 3 on: the calls each planner counted per route and zone, as last reported to the sender.
    #[prost(message, repeated, tag = "3")]
    pub usage: Vec<CallUsage>,
}

/// Calls that the proxies of a zone accepted on a route since this start of this planner.
#[derive(Clone, PartialEq, Message)]
pub struct CallUsage {
    #[prost(string, tag = "1")]
    pub planner: String,
    /// The planner's disk and start number; the sum restarts with either.
    #[prost(fixed64, tag = "2")]
    pub disk_id: u64,
    #[prost(uint64, tag = "3")]
    pub start: u64,
    #[prost(string, tag = "4")]
    pub route: String,
    #[prost(string, tag = "5")]
    pub zone: String,
    #[prost(uint64, tag = "6")]
    pub calls: u64,
    /// The age of the count.
    #[prost(uint64, tag = "7")]
    pub age_ms: u64,
}

/// Usage rows allowed in one period.
pub const MAX_USAGE_ROWS: usize = 1_024;

/// An operator's order. The most recent one on a subject is in force.
#[derive(Clone, PartialEq, Message)]
pub struct Order {
    #[prost(string, tag = "1")]
    pub issued_by: String,
    #[prost(string, tag = "2")]
    pub reason: String,
    /// Unix time in milliseconds; 0: until it is revoked.
    #[prost(uint64, tag = "3")]
    pub expires_at_ms: u64,
    #[prost(oneof = "OrderAction", tags = "4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 16, 17")]
    pub action: Option<OrderAction>,
    /// The number of steps and the minimum pause between them in milliseconds; 0 steps: the order takes
    /// effect at once.
    #[prost(uint32, tag = "14")]
    pub steps: u32,
    #[prost(uint64, tag = "15")]
    pub step_pause_ms: u64,
    /// Each step is a share of the planners, which apply the order in full with all their proxies. From
    /// format 3 on.
    #[prost(bool, tag = "18")]
    pub by_proxies: bool,
}

#[derive(Clone, PartialEq, Oneof)]
pub enum OrderAction {
    /// The server gets no more calls, whatever the server list says.
    #[prost(string, tag = "4")]
    Drain(String),
    /// The server list applies again.
    #[prost(string, tag = "5")]
    Undrain(String),
    #[prost(message, tag = "6")]
    SetWeight(Weight),
    #[prost(string, tag = "7")]
    ClearWeight(String),
    #[prost(message, tag = "8")]
    SetCap(Cap),
    #[prost(string, tag = "9")]
    ClearCap(String),
    /// Tables change only by removals.
    #[prost(message, tag = "10")]
    HoldReleases(Cleanup),
    #[prost(message, tag = "11")]
    ResumeReleases(Cleanup),
    /// Duties move only when their holder is lost.
    #[prost(message, tag = "12")]
    HoldDuties(Cleanup),
    #[prost(message, tag = "13")]
    ResumeDuties(Cleanup),
    /// All servers of a zone, whatever the server list says.
    #[prost(string, tag = "16")]
    DrainZone(String),
    #[prost(string, tag = "17")]
    UndrainZone(String),
}

#[derive(Clone, PartialEq, Message)]
pub struct Weight {
    #[prost(string, tag = "1")]
    pub server: String,
    #[prost(double, tag = "2")]
    pub weight: f64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Cap {
    #[prost(string, tag = "1")]
    pub route: String,
    /// The fraction of the route's calls that is admitted.
    #[prost(double, tag = "2")]
    pub level: f64,
}

#[derive(Clone, PartialEq, Message)]
pub struct AllocateStartNumber {
    #[prost(string, tag = "1")]
    pub planner: String,
    /// Higher than any number the planner has used without the record.
    #[prost(uint64, tag = "2")]
    pub at_least: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Drain {
    #[prost(string, tag = "1")]
    pub server: String,
    /// The start of the server as listed; a later start counts as another server.
    #[prost(uint64, tag = "2")]
    pub started: u64,
    /// When the planner was notified, as Unix time in milliseconds, and the length of the grace period.
    #[prost(uint64, tag = "3")]
    pub notified_at_ms: u64,
    #[prost(uint64, tag = "4")]
    pub grace_ms: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Cleanup {
    #[prost(uint64, tag = "1")]
    pub now_ms: u64,
    /// The fencing token of the duty, if the duty exists.
    #[prost(uint64, tag = "2")]
    pub fencing_token: u64,
}

/// What an order applies to. At most one order per subject is in force.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    Server(String),
    Weight(String),
    Route(String),
    Releases,
    Duties,
    Zone(String),
}

impl OrderAction {
    /// The subject, and whether the order leaves something in force on it.
    pub fn subject(&self) -> (Subject, bool) {
        match self {
            OrderAction::Drain(server) => (Subject::Server(server.clone()), true),
            OrderAction::Undrain(server) => (Subject::Server(server.clone()), false),
            OrderAction::SetWeight(weight) => (Subject::Weight(weight.server.clone()), true),
            OrderAction::ClearWeight(server) => (Subject::Weight(server.clone()), false),
            OrderAction::SetCap(cap) => (Subject::Route(cap.route.clone()), true),
            OrderAction::ClearCap(route) => (Subject::Route(route.clone()), false),
            OrderAction::HoldReleases(_) => (Subject::Releases, true),
            OrderAction::ResumeReleases(_) => (Subject::Releases, false),
            OrderAction::DrainZone(zone) => (Subject::Zone(zone.clone()), true),
            OrderAction::UndrainZone(zone) => (Subject::Zone(zone.clone()), false),
            OrderAction::HoldDuties(_) => (Subject::Duties, true),
            OrderAction::ResumeDuties(_) => (Subject::Duties, false),
        }
    }

    pub fn describe(&self) -> String {
        match self {
            OrderAction::Drain(server) => format!("drain {server}"),
            OrderAction::Undrain(server) => format!("take-back {server}"),
            OrderAction::SetWeight(w) => format!("weight {} {}", w.server, w.weight),
            OrderAction::ClearWeight(server) => format!("free-weight {server}"),
            OrderAction::SetCap(cap) => format!("cap {} {}", cap.route, cap.level),
            OrderAction::ClearCap(route) => format!("uncap {route}"),
            OrderAction::HoldReleases(_) => "hold-releases".into(),
            OrderAction::ResumeReleases(_) => "let-releases".into(),
            OrderAction::DrainZone(zone) => format!("drain-zone {zone}"),
            OrderAction::UndrainZone(zone) => format!("take-back-zone {zone}"),
            OrderAction::HoldDuties(_) => "hold-duties".into(),
            OrderAction::ResumeDuties(_) => "let-duties".into(),
        }
    }
}

impl CommandKind {
    /// Issued by planners themselves rather than by operators.
    pub(crate) fn is_planner_command(&self) -> bool {
        !matches!(
            self,
            CommandKind::Order(_)
                | CommandKind::PinDuty(_)
                | CommandKind::Cleanup(_)
                | CommandKind::RaiseFormat(_)
        )
    }
}

impl Command {
    /// What the command may change for followers of the record; `None`: anything.
    pub fn subject(&self) -> Option<Subject> {
        match self.kind.as_ref()? {
            CommandKind::Order(order) => Some(order.action.as_ref()?.subject().0),
            CommandKind::Drain(drain) => Some(Subject::Server(drain.server.clone())),
            _ => None,
        }
    }

    /// Reports the first invalid field. Protobuf decoding alone accepts commands that make no sense.
    pub fn check(&self) -> Result<(), String> {
        let check_text = |field: &str, text: &str, max_len: usize| match text {
            "" => Err(format!("{field} is missing")),
            text if text.len() > max_len => {
                Err(format!("{field} has {} bytes, {max_len} at most", text.len()))
            }
            text if text.chars().any(char::is_control) => Err(format!("{field} has control characters")),
            _ => Ok(()),
        };
        if self.id == 0 {
            return Err("id is missing".into());
        }
        match self.kind.as_ref().ok_or("no command")? {
            CommandKind::Order(order) => {
                check_text("who", &order.issued_by, MAX_NAME_LEN)?;
                check_text("why", &order.reason, MAX_REASON_LEN)?;
                let action = order.action.as_ref().ok_or("no order is given")?;
                if order.steps > 1_000 {
                    return Err(format!("steps: {}, 1000 at most", order.steps));
                }
                match action {
                    OrderAction::SetWeight(w) if !(w.weight > 0.0 && w.weight <= 1e6) => {
                        return Err(format!("weight {} is not above 0 and at most 1000000", w.weight));
                    }
                    OrderAction::SetCap(cap) if !(0.0..=1.0).contains(&cap.level) => {
                        return Err(format!("level {} is not between 0 and 1", cap.level));
                    }
                    _ => {}
                }
                match action.subject().0 {
                    Subject::Server(text) | Subject::Weight(text) => {
                        check_text("server", &text, MAX_NAME_LEN)
                    }
                    Subject::Zone(text) => check_text("zone", &text, MAX_NAME_LEN),
                    Subject::Route(text) => check_text("route", &text, MAX_NAME_LEN),
                    Subject::Releases | Subject::Duties => Ok(()),
                }
            }
            CommandKind::AllocateStartNumber(allocate) => {
                check_text("planner", &allocate.planner, MAX_NAME_LEN)
            }
            CommandKind::Drain(drain) => check_text("server", &drain.server, MAX_NAME_LEN),
            CommandKind::AssignDuty(assign) => check_text("duty", &assign.duty, MAX_NAME_LEN),
            CommandKind::ReleaseDuty(release) => check_text("duty", &release.duty, MAX_NAME_LEN),
            CommandKind::PinDuty(pin) => {
                check_text("duty", &pin.duty, MAX_NAME_LEN)?;
                check_text("who", &pin.issued_by, MAX_NAME_LEN)?;
                check_text("why", &pin.reason, MAX_REASON_LEN)
            }
            CommandKind::RolloutStep(step) if step.revert_reason.len() > MAX_REASON_LEN => {
                Err("why is too long".into())
            }
            CommandKind::RolloutStep(_) | CommandKind::SetLease(_) => Ok(()),
            CommandKind::BudgetShift(shift) => {
                check_text("budget", &shift.budget, MAX_NAME_LEN)?;
                shift.shift().map(drop).ok_or("nothing is shared out".into())
            }
            CommandKind::ClosePeriod(report) if report.usage.len() > MAX_USAGE_ROWS => {
                Err(format!("more than {MAX_USAGE_ROWS} usage rows"))
            }
            CommandKind::Cleanup(_)
            | CommandKind::RaiseFormat(_)
            | CommandKind::ClosePeriod(_)
            | CommandKind::PeriodDelivered(_) => Ok(()),
        }
    }
}
