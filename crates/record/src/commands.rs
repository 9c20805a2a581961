//! Commands as they stand in the log, and what is wrong with one before it gets there.

use pewtergap_shares::Shift;
use prost::{Message, Oneof};

pub const MAX_NAME_LEN: usize = 256;
pub const MAX_REASON_LEN: usize = 1024;

/// One entry of the log. `id` is drawn by whoever gives it and stays when it is given again; `given` is when, in
/// milliseconds of the calendar.
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
    /// A planner starts and takes the next number; nobody else ever has it.
    #[prost(message, tag = "4")]
    AllocateStartNumber(AllocateStartNumber),
    /// A drain was told to a planner for the first time.
    #[prost(message, tag = "5")]
    Drain(Drain),
    /// Ends what has run out by this moment, and forgets ids given long before.
    #[prost(message, tag = "6")]
    Cleanup(Cleanup),
    /// From here on commands mean what this format says; all who belong speak it.
    #[prost(uint32, tag = "7")]
    RaiseFormat(u32),
    /// A duty gets a holder. From format 2 on, as all that follow.
    #[prost(message, tag = "8")]
    AssignDuty(AssignDuty),
    /// Its holder has stopped and hands it on.
    #[prost(message, tag = "9")]
    ReleaseDuty(ReleaseDuty),
    /// An operator wants a duty at a planner, or no longer anywhere.
    #[prost(message, tag = "10")]
    PinDuty(PinDuty),
    /// A period of the books is closed, what it says is fixed from here on; or it has arrived.
    #[prost(message, tag = "11")]
    ClosePeriod(PeriodReport),
    #[prost(message, tag = "12")]
    PeriodDelivered(PeriodReport),
    /// An order in steps is let go on, or is taken back.
    #[prost(message, tag = "13")]
    RolloutStep(RolloutStep),
    /// How long leases are, in milliseconds.
    #[prost(uint64, tag = "14")]
    SetLease(u64),
    /// A part of a budget goes from one planner to another, or is free. From format 3 on.
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

/// Of a planner by its disk's number, if its part still stands at this place of the log.
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
            Shifts::Claim(c) => {
                let (by, start, base) = (c.by, c.start, c.base);
                Shift::Claim { by, start, base, founders: c.founders, founded: c.founded }
            }
            Shifts::Deal(m) => Shift::Deal { to: m.of, units: m.units, number: m.number },
            Shifts::Back(m) => Shift::Back { from: m.of, units: m.units, number: m.number },
            Shifts::End(m) => Shift::End { of: m.of, number: m.number },
        })
    }

    /// The planner that has less by it.
    pub fn taken_from(&self) -> Option<u64> {
        match self.shift.as_ref()? {
            Shifts::Back(moved) | Shifts::End(moved) => Some(moved.of),
            _ => None,
        }
    }
}

#[derive(Clone, PartialEq, Message)]
pub struct RolloutStep {
    /// The order's number.
    #[prost(uint64, tag = "1")]
    pub order_index: u64,
    /// Thousandths of it.
    #[prost(uint32, tag = "2")]
    pub progress: u32,
    #[prost(uint64, tag = "3")]
    pub fencing_token: u64,
    /// Why it is taken back; empty: it is not.
    #[prost(string, tag = "4")]
    pub revert_reason: String,
}

#[derive(Clone, PartialEq, Message)]
pub struct AssignDuty {
    #[prost(string, tag = "1")]
    pub duty: String,
    /// The disk's number and the name of the planner.
    #[prost(fixed64, tag = "2")]
    pub holder: u64,
    #[prost(string, tag = "3")]
    pub holder_name: String,
    /// The number that it had when this was decided; another one: decided too late.
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
    /// Empty: wherever it falls.
    #[prost(string, tag = "2")]
    pub planner: String,
    #[prost(string, tag = "3")]
    pub issued_by: String,
    #[prost(string, tag = "4")]
    pub reason: String,
}

/// A period of the books by its id, under the number of whoever keeps them.
#[derive(Clone, PartialEq, Message)]
pub struct PeriodReport {
    #[prost(uint64, tag = "1")]
    pub period: u64,
    #[prost(uint64, tag = "2")]
    pub fencing_token: u64,
    /// From format 3 on: what each planner has counted of each route and zone, as its keeper has heard.
    #[prost(message, repeated, tag = "3")]
    pub usage: Vec<CallUsage>,
}

/// Calls that proxies of a zone took in on a route, since that start of that planner.
#[derive(Clone, PartialEq, Message)]
pub struct CallUsage {
    #[prost(string, tag = "1")]
    pub planner: String,
    /// Its disk and which start of it: a sum begins anew with each.
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
    /// How old the count is.
    #[prost(uint64, tag = "7")]
    pub age_ms: u64,
}

/// Rows of use that one period may have.
pub const MAX_USAGE_ROWS: usize = 1_024;

/// An operator's order. The newest on a subject is in force.
#[derive(Clone, PartialEq, Message)]
pub struct Order {
    #[prost(string, tag = "1")]
    pub issued_by: String,
    #[prost(string, tag = "2")]
    pub reason: String,
    /// In milliseconds of the calendar; 0: until it is taken back.
    #[prost(uint64, tag = "3")]
    pub expires_at_ms: u64,
    #[prost(oneof = "OrderAction", tags = "4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 16, 17")]
    pub action: Option<OrderAction>,
    /// In so many steps, with so many milliseconds between them at least; 0: it binds at once.
    #[prost(uint32, tag = "14")]
    pub steps: u32,
    #[prost(uint64, tag = "15")]
    pub step_pause_ms: u64,
    /// Steps are a share of the planners, each with its proxies, that carry it out whole. From format 3 on.
    #[prost(bool, tag = "18")]
    pub by_proxies: bool,
}

#[derive(Clone, PartialEq, Oneof)]
pub enum OrderAction {
    /// A server takes no more calls, whatever the list says.
    #[prost(string, tag = "4")]
    Drain(String),
    /// It goes by the list again.
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
    /// No table changes but removals.
    #[prost(message, tag = "10")]
    HoldReleases(Cleanup),
    #[prost(message, tag = "11")]
    ResumeReleases(Cleanup),
    /// No duty moves but what is lost.
    #[prost(message, tag = "12")]
    HoldDuties(Cleanup),
    #[prost(message, tag = "13")]
    ResumeDuties(Cleanup),
    /// All servers of a zone, whatever the list says.
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
    /// Part of the route's calls that are let in.
    #[prost(double, tag = "2")]
    pub level: f64,
}

#[derive(Clone, PartialEq, Message)]
pub struct AllocateStartNumber {
    #[prost(string, tag = "1")]
    pub planner: String,
    /// Above what it has counted without the record.
    #[prost(uint64, tag = "2")]
    pub at_least: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Drain {
    #[prost(string, tag = "1")]
    pub server: String,
    /// Which start of the server, as listed; a later one is another server.
    #[prost(uint64, tag = "2")]
    pub started: u64,
    /// When it was told, in milliseconds of the calendar, and for how long the grace is.
    #[prost(uint64, tag = "3")]
    pub notified_at_ms: u64,
    #[prost(uint64, tag = "4")]
    pub grace_ms: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Cleanup {
    #[prost(uint64, tag = "1")]
    pub now_ms: u64,
    /// Under which number of the duty, where there is one.
    #[prost(uint64, tag = "2")]
    pub fencing_token: u64,
}

/// What an order is about: two on one subject don't stand beside each other.
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
    /// The subject, and whether the order leaves something in force there.
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
    /// Given by planners themselves, not by operators.
    pub(crate) fn is_own(&self) -> bool {
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
    /// What it may change for those who go by the record; none: anything.
    pub fn subject(&self) -> Option<Subject> {
        match self.kind.as_ref()? {
            CommandKind::Order(order) => Some(order.action.as_ref()?.subject().0),
            CommandKind::Drain(drain) => Some(Subject::Server(drain.server.clone())),
            _ => None,
        }
    }

    /// What is wrong with it, naming the field; protobuf alone lets through what nobody may order.
    pub fn check(&self) -> Result<(), String> {
        let name = |field: &str, text: &str, most: usize| match text {
            "" => Err(format!("{field} is missing")),
            text if text.len() > most => Err(format!("{field} has {} bytes, {most} at most", text.len())),
            text if text.chars().any(char::is_control) => Err(format!("{field} has control characters")),
            _ => Ok(()),
        };
        if self.id == 0 {
            return Err("id is missing".into());
        }
        match self.kind.as_ref().ok_or("no command")? {
            CommandKind::Order(order) => {
                name("who", &order.issued_by, MAX_NAME_LEN)?;
                name("why", &order.reason, MAX_REASON_LEN)?;
                let wish = order.action.as_ref().ok_or("no order is given")?;
                if order.steps > 1_000 {
                    return Err(format!("steps: {} of 1000 at most", order.steps));
                }
                match wish {
                    OrderAction::SetWeight(w) if !(w.weight > 0.0 && w.weight <= 1e6) => {
                        return Err(format!("weight {} is not above 0 and at most 1000000", w.weight));
                    }
                    OrderAction::SetCap(cap) if !(0.0..=1.0).contains(&cap.level) => {
                        return Err(format!("level {} is not a part between 0 and 1", cap.level));
                    }
                    _ => {}
                }
                match wish.subject().0 {
                    Subject::Server(text) | Subject::Weight(text) => name("server", &text, MAX_NAME_LEN),
                    Subject::Zone(text) => name("zone", &text, MAX_NAME_LEN),
                    Subject::Route(text) => name("route", &text, MAX_NAME_LEN),
                    Subject::Releases | Subject::Duties => Ok(()),
                }
            }
            CommandKind::AllocateStartNumber(take) => name("planner", &take.planner, MAX_NAME_LEN),
            CommandKind::Drain(drain) => name("server", &drain.server, MAX_NAME_LEN),
            CommandKind::AssignDuty(give) => name("duty", &give.duty, MAX_NAME_LEN),
            CommandKind::ReleaseDuty(release) => name("duty", &release.duty, MAX_NAME_LEN),
            CommandKind::PinDuty(hand) => {
                name("duty", &hand.duty, MAX_NAME_LEN)?;
                name("who", &hand.issued_by, MAX_NAME_LEN)?;
                name("why", &hand.reason, MAX_REASON_LEN)
            }
            CommandKind::RolloutStep(step) if step.revert_reason.len() > MAX_REASON_LEN => {
                Err("why is too long".into())
            }
            CommandKind::RolloutStep(_) | CommandKind::SetLease(_) => Ok(()),
            CommandKind::BudgetShift(share) => {
                name("budget", &share.budget, MAX_NAME_LEN)?;
                share.shift().map(drop).ok_or("nothing is shared out".into())
            }
            CommandKind::ClosePeriod(close) if close.usage.len() > MAX_USAGE_ROWS => {
                Err(format!("{MAX_USAGE_ROWS} rows of use at most"))
            }
            CommandKind::Cleanup(_)
            | CommandKind::RaiseFormat(_)
            | CommandKind::ClosePeriod(_)
            | CommandKind::PeriodDelivered(_) => Ok(()),
        }
    }
}
