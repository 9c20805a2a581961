//! The messages and their validation.

use crate::frames::Validate;
use prost::{Message, Oneof};

/// Protocol version of this build; a peer with another version is rejected with the reason.
pub const VERSION: u32 = 1;
pub const MAX_NAME_LEN: usize = 256;
pub const MAX_LINES: usize = 65_536;
pub const MAX_TABLES: usize = 4_096;
pub const MAX_ROUTES: usize = 64;
pub const MAX_ROWS: usize = 65_536;

/// A message from a proxy to a planner.
#[derive(Clone, PartialEq, Message)]
pub struct ProxyMessage {
    #[prost(oneof = "proxy_message::Kind", tags = "1, 2, 3, 4, 5, 6")]
    pub kind: Option<proxy_message::Kind>,
}

pub mod proxy_message {
    #[derive(Clone, PartialEq, super::Oneof)]
    pub enum Kind {
        #[prost(message, tag = "1")]
        Hello(super::Hello),
        #[prost(message, tag = "2")]
        Ack(super::Ack),
        #[prost(message, tag = "3")]
        Nack(super::Nack),
        #[prost(message, tag = "4")]
        ServerStats(super::ServerStats),
        #[prost(message, tag = "5")]
        Arrivals(super::Arrivals),
        #[prost(message, tag = "6")]
        Heartbeat(super::Heartbeat),
    }
}

/// The first message of a stream.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    #[prost(uint32, tag = "1")]
    pub protocol: u32,
    #[prost(string, tag = "2")]
    pub proxy: String,
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Usual rate of calls to this proxy.
    #[prost(double, tag = "4")]
    pub calls_per_s: f64,
    /// Tables in force at the proxy, with the planner that sent them.
    #[prost(message, repeated, tag = "5")]
    pub held: Vec<HeldTable>,
    /// Routes of the proxy in its own order. Route masks and `Arrivals` use the planner's order, given in `Welcome`.
    #[prost(string, repeated, tag = "6")]
    pub routes: Vec<String>,
}

#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct HeldTable {
    #[prost(string, tag = "1")]
    pub planner: String,
    /// Identifies one start of that planner.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    #[prost(uint32, tag = "3")]
    pub table: u32,
    #[prost(uint64, tag = "4")]
    pub version: u64,
}

/// The update is in force: every later call follows it.
#[derive(Clone, PartialEq, Message)]
pub struct Ack {
    #[prost(uint64, tag = "1")]
    pub nonce: u64,
    #[prost(uint32, tag = "2")]
    pub mark: u32,
}

/// The update was rejected as a whole; the tables stay in force as they were.
#[derive(Clone, PartialEq, Message)]
pub struct Nack {
    #[prost(uint64, tag = "1")]
    pub nonce: u64,
    #[prost(string, tag = "2")]
    pub reason: String,
    #[prost(uint32, tag = "3")]
    pub table: u32,
    /// Version of that table at the proxy, 0 for none.
    #[prost(uint64, tag = "4")]
    pub holds: u64,
}

/// Statistics of the proxy's tries by server since the last report.
#[derive(Clone, PartialEq, Message)]
pub struct ServerStats {
    #[prost(uint64, tag = "1")]
    pub period_us: u64,
    #[prost(message, repeated, tag = "2")]
    pub rows: Vec<ServerStatsRow>,
}

#[derive(Clone, PartialEq, Message)]
pub struct ServerStatsRow {
    #[prost(string, tag = "1")]
    pub server: String,
    #[prost(uint64, tag = "2")]
    pub tries: u64,
    /// Tries without a successful answer.
    #[prost(uint64, tag = "3")]
    pub dropped: u64,
    /// Mean latency of the successful tries.
    #[prost(uint64, tag = "4")]
    pub mean_latency_us: u64,
    /// From the last load report in an answer.
    #[prost(double, optional, tag = "5")]
    pub util: Option<f64>,
    #[prost(double, optional, tag = "6")]
    pub in_flight: Option<f64>,
}

#[derive(Clone, PartialEq, Message)]
pub struct Arrivals {
    #[prost(uint64, tag = "1")]
    pub period_us: u64,
    #[prost(message, repeated, tag = "2")]
    pub rows: Vec<RouteArrivals>,
}

#[derive(Clone, PartialEq, Message)]
pub struct RouteArrivals {
    #[prost(uint32, tag = "1")]
    pub route: u32,
    #[prost(uint64, tag = "2")]
    pub calls: u64,
    /// Calls admitted and not answered.
    #[prost(uint64, tag = "3")]
    pub dropped: u64,
}

/// Sent to show liveness when there is nothing else to send.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {}

/// A message from a planner to a proxy.
#[derive(Clone, PartialEq, Message)]
pub struct PlannerMessage {
    #[prost(oneof = "planner_message::Kind", tags = "1, 2, 3, 4")]
    pub kind: Option<planner_message::Kind>,
}

pub mod planner_message {
    #[derive(Clone, PartialEq, super::Oneof)]
    pub enum Kind {
        #[prost(message, tag = "1")]
        Welcome(super::Welcome),
        #[prost(message, tag = "2")]
        Update(super::Update),
        #[prost(message, tag = "3")]
        Bye(super::Bye),
        #[prost(message, tag = "4")]
        Heartbeat(super::Heartbeat),
    }
}

/// Response to `Hello`: the planner has accepted the proxy.
#[derive(Clone, PartialEq, Message)]
pub struct Welcome {
    #[prost(uint32, tag = "1")]
    pub protocol: u32,
    #[prost(string, tag = "2")]
    pub planner: String,
    #[prost(uint64, tag = "3")]
    pub epoch: u64,
    /// Names of the routes; bit k of a route mask stands for the k-th.
    #[prost(string, repeated, tag = "4")]
    pub routes: Vec<String>,
    /// Interval of the reports, and of the heartbeats of either side.
    #[prost(uint64, tag = "5")]
    pub report_every_us: u64,
}

/// All changes for this proxy since its last update was sent.
#[derive(Clone, PartialEq, Message)]
pub struct Update {
    #[prost(uint64, tag = "1")]
    pub nonce: u64,
    /// Id of the planning round that made the change, used from the list change to the ACK.
    #[prost(uint64, tag = "2")]
    pub turn: u64,
    /// When the oldest change was made, in nanoseconds since 1970 by the planner's clock.
    #[prost(uint64, tag = "3")]
    pub ordered_at: u64,
    /// Lines counted against the channel, without the overhead of the message.
    #[prost(uint32, tag = "4")]
    pub lines: u32,
    #[prost(uint32, tag = "5")]
    pub mark: u32,
    #[prost(message, repeated, tag = "6")]
    pub tables: Vec<TableChange>,
    #[prost(message, repeated, tag = "7")]
    pub binds: Vec<Binding>,
}

/// A change of a table from one version to another, or a full table.
#[derive(Clone, PartialEq, Message)]
pub struct TableChange {
    #[prost(uint32, tag = "1")]
    pub table: u32,
    /// 0 if `whole`.
    #[prost(uint64, tag = "2")]
    pub from: u64,
    #[prost(uint64, tag = "3")]
    pub to: u64,
    #[prost(bool, tag = "4")]
    pub whole: bool,
    #[prost(message, repeated, tag = "5")]
    pub set: Vec<Line>,
    #[prost(string, repeated, tag = "6")]
    pub removed: Vec<String>,
    #[prost(message, repeated, tag = "7")]
    pub gates: Vec<Gate>,
}

#[derive(Clone, PartialEq, Message)]
pub struct Line {
    /// Address and port of the server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Above 0; the line's share is its weight divided by the sum of all weights of the table.
    #[prost(double, tag = "2")]
    pub weight: f64,
}

/// Admission level of some routes, and when a proxy resends a call.
#[derive(Clone, PartialEq, Message)]
pub struct Gate {
    /// 0 for all routes.
    #[prost(uint64, tag = "1")]
    pub routes: u64,
    /// Fraction of calls admitted; 1 or more for all.
    #[prost(double, tag = "2")]
    pub level: f64,
    /// 0: never; 1: once, if the first try provably never ran; 2: once after any failure.
    #[prost(uint32, tag = "3")]
    pub resend: u32,
}

#[derive(Clone, PartialEq, Message)]
pub struct Binding {
    #[prost(uint32, tag = "1")]
    pub table: u32,
    /// 0 for all routes.
    #[prost(uint64, tag = "2")]
    pub routes: u64,
}

/// The planner closes the stream for this reason.
#[derive(Clone, PartialEq, Message)]
pub struct Bye {
    #[prost(string, tag = "1")]
    pub reason: String,
}

impl ProxyMessage {
    pub fn new(kind: proxy_message::Kind) -> ProxyMessage {
        ProxyMessage { kind: Some(kind) }
    }
}

impl PlannerMessage {
    pub fn new(kind: planner_message::Kind) -> PlannerMessage {
        PlannerMessage { kind: Some(kind) }
    }
}

fn ensure(valid: bool, what: impl FnOnce() -> String) -> Result<(), String> {
    if valid {
        Ok(())
    } else {
        Err(what())
    }
}

fn check_count(what: &str, count: usize, max: usize) -> Result<(), String> {
    ensure(count <= max, || format!("{what}: {count} entries, at most {max} are allowed"))
}

fn check_name(what: &str, text: &str) -> Result<(), String> {
    ensure(!text.is_empty() && text.len() <= MAX_NAME_LEN, || {
        format!("{what}: {} bytes, 1 to {MAX_NAME_LEN} are allowed", text.len())
    })
}

fn check_number(what: &str, value: f64) -> Result<(), String> {
    ensure(value.is_finite() && value >= 0.0, || {
        format!("{what}: {value}, a number of 0 or more was expected")
    })
}

impl Validate for ProxyMessage {
    const MAX_LEN: usize = 1024 * 1024;

    fn validate(&self) -> Result<(), String> {
        match self.kind.as_ref().ok_or("empty message, or of a kind not known")? {
            proxy_message::Kind::Hello(hello) => {
                check_name("hello.proxy", &hello.proxy)?;
                check_name("hello.zone", &hello.zone)?;
                check_number("hello.calls_per_s", hello.calls_per_s)?;
                check_count("hello.held", hello.held.len(), MAX_TABLES)?;
                check_count("hello.routes", hello.routes.len(), MAX_ROUTES)?;
                hello.routes.iter().try_for_each(|route| check_name("hello.routes", route))?;
                hello.held.iter().try_for_each(|held| check_name("hello.held.planner", &held.planner))
            }
            proxy_message::Kind::Ack(ack) => ensure(ack.nonce > 0, || "ack.nonce: 0 was never sent".into()),
            proxy_message::Kind::Nack(nack) => {
                ensure(nack.reason.len() <= 4 * MAX_NAME_LEN, || "nack.reason: too long".into())
            }
            proxy_message::Kind::ServerStats(sums) => {
                check_count("sums.rows", sums.rows.len(), MAX_ROWS)?;
                for row in &sums.rows {
                    check_name("sums.rows.server", &row.server)?;
                    ensure(row.dropped <= row.tries, || "sums.rows: more dropped than tried".into())?;
                    check_number("sums.rows.util", row.util.unwrap_or(0.0))?;
                    check_number("sums.rows.in_hand", row.in_flight.unwrap_or(0.0))?;
                }
                Ok(())
            }
            proxy_message::Kind::Arrivals(arrivals) => {
                check_count("arrivals.rows", arrivals.rows.len(), MAX_ROUTES)
            }
            proxy_message::Kind::Heartbeat(_) => Ok(()),
        }
    }
}

impl Validate for PlannerMessage {
    const MAX_LEN: usize = 4 * 1024 * 1024;

    fn validate(&self) -> Result<(), String> {
        match self.kind.as_ref().ok_or("empty message, or of a kind not known")? {
            planner_message::Kind::Welcome(welcome) => {
                check_name("welcome.planner", &welcome.planner)?;
                check_count("welcome.routes", welcome.routes.len(), MAX_ROUTES)?;
                ensure(welcome.report_every_us > 0, || "welcome.report_every_us: 0".into())?;
                welcome.routes.iter().try_for_each(|route| check_name("welcome.routes", route))
            }
            planner_message::Kind::Update(update) => {
                ensure(update.nonce > 0, || "update.nonce: 0".into())?;
                check_count("update.tables", update.tables.len(), MAX_TABLES)?;
                check_count("update.binds", update.binds.len(), MAX_TABLES)?;
                update.tables.iter().try_for_each(TableChange::validate)
            }
            planner_message::Kind::Bye(bye) => {
                ensure(bye.reason.len() <= 4 * MAX_NAME_LEN, || "bye.reason: too long".into())
            }
            planner_message::Kind::Heartbeat(_) => Ok(()),
        }
    }
}

impl TableChange {
    fn validate(&self) -> Result<(), String> {
        let place = |what: &str| format!("table {} {what}", self.table);
        check_count(&place("set"), self.set.len(), MAX_LINES)?;
        check_count(&place("removed"), self.removed.len(), MAX_LINES)?;
        check_count(&place("gates"), self.gates.len(), 2 * MAX_ROUTES)?;
        ensure(self.to > self.from, || {
            format!("table {}: version {} after {}, a later one was expected", self.table, self.to, self.from)
        })?;
        ensure(!self.whole || self.from == 0 && self.removed.is_empty(), || {
            format!("table {}: whole, and yet a change from version {}", self.table, self.from)
        })?;
        for line in &self.set {
            check_name(&place("set.server"), &line.server)?;
            ensure(line.weight.is_finite() && line.weight > 0.0, || {
                format!(
                    "table {}: {} has weight {}, above 0 was expected",
                    self.table, line.server, line.weight
                )
            })?;
        }
        for gate in &self.gates {
            check_number(&place("gates.level"), gate.level)?;
            ensure(gate.resend <= 2, || {
                format!("table {}: resend {}, 0 to 2 were expected", self.table, gate.resend)
            })?;
        }
        self.removed.iter().try_for_each(|server| check_name(&place("removed"), server))
    }
}
