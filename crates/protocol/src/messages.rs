//! The messages, and what is allowed in each.

use crate::frames::Validate;
use prost::{Message, Oneof};

/// What this build speaks; a peer of another number is refused with the reason.
pub const VERSION: u32 = 1;
pub const MAX_NAME_LEN: usize = 256;
pub const MAX_LINES: usize = 65_536;
pub const MAX_TABLES: usize = 4_096;
pub const MAX_ROUTES: usize = 64;
pub const MAX_ROWS: usize = 65_536;

// ---- proxy to planner

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
    /// Calls a second that it usually gets.
    #[prost(double, tag = "4")]
    pub calls_per_s: f64,
    /// Tables it holds from a planner, by whom they were sent.
    #[prost(message, repeated, tag = "5")]
    pub held: Vec<HeldTable>,
    /// Routes it knows, in its order: masks of routes and `Arrivals` follow the planner's order, told in `Welcome`.
    #[prost(string, repeated, tag = "6")]
    pub routes: Vec<String>,
}

#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct HeldTable {
    #[prost(string, tag = "1")]
    pub planner: String,
    /// Which start of that planner.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    #[prost(uint32, tag = "3")]
    pub table: u32,
    #[prost(uint64, tag = "4")]
    pub version: u64,
}

/// The message is in force: every call from now on follows it.
#[derive(Clone, PartialEq, Message)]
pub struct Ack {
    #[prost(uint64, tag = "1")]
    pub nonce: u64,
    #[prost(uint32, tag = "2")]
    pub mark: u32,
}

/// The message was refused as a whole; what the proxy held is in force as before.
#[derive(Clone, PartialEq, Message)]
pub struct Nack {
    #[prost(uint64, tag = "1")]
    pub nonce: u64,
    #[prost(string, tag = "2")]
    pub reason: String,
    #[prost(uint32, tag = "3")]
    pub table: u32,
    /// The version of that table that the proxy holds, 0 for none.
    #[prost(uint64, tag = "4")]
    pub holds: u64,
}

/// What the proxy met at servers since the last sums.
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
    /// Tries without a good answer.
    #[prost(uint64, tag = "3")]
    pub dropped: u64,
    /// Mean time of the good ones.
    #[prost(uint64, tag = "4")]
    pub mean_latency_us: u64,
    /// The last load report among the answers.
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
    /// Let in, and not answered.
    #[prost(uint64, tag = "3")]
    pub dropped: u64,
}

/// Nothing to say, but alive.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {}

// ---- planner to proxy

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

/// The answer to `Hello`: the proxy is joined.
#[derive(Clone, PartialEq, Message)]
pub struct Welcome {
    #[prost(uint32, tag = "1")]
    pub protocol: u32,
    #[prost(string, tag = "2")]
    pub planner: String,
    #[prost(uint64, tag = "3")]
    pub epoch: u64,
    /// Names of the routes; bit k of a mask is the k-th.
    #[prost(string, repeated, tag = "4")]
    pub routes: Vec<String>,
    /// How often sums are wanted, and how often either side says that it lives.
    #[prost(uint64, tag = "5")]
    pub report_every_us: u64,
}

/// All that was ordered for this proxy at one time, or since its last message left.
#[derive(Clone, PartialEq, Message)]
pub struct Update {
    #[prost(uint64, tag = "1")]
    pub nonce: u64,
    /// The turn of the planner that ordered it: one id from list change to ACK.
    #[prost(uint64, tag = "2")]
    pub turn: u64,
    /// When the oldest part was ordered, nanoseconds since 1970 by the planner's clock.
    #[prost(uint64, tag = "3")]
    pub ordered_at: u64,
    /// Lines it counts in the channel, without the head.
    #[prost(uint32, tag = "4")]
    pub lines: u32,
    #[prost(uint32, tag = "5")]
    pub mark: u32,
    #[prost(message, repeated, tag = "6")]
    pub tables: Vec<TableChange>,
    #[prost(message, repeated, tag = "7")]
    pub binds: Vec<Binding>,
}

/// A change from one version of a table to another, or the whole of it.
#[derive(Clone, PartialEq, Message)]
pub struct TableChange {
    #[prost(uint32, tag = "1")]
    pub table: u32,
    /// 0 where `whole`.
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
    /// Address and port.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Above 0; its part is its weight over the sum of all in the table.
    #[prost(double, tag = "2")]
    pub weight: f64,
}

/// How much of some routes is let in, and when a proxy tries again.
#[derive(Clone, PartialEq, Message)]
pub struct Gate {
    /// 0 for all routes.
    #[prost(uint64, tag = "1")]
    pub routes: u64,
    /// Part let in, 1 or more for all.
    #[prost(double, tag = "2")]
    pub level: f64,
    /// 0: never; 1: once, on proof that the first try never ran; 2: once after any failure.
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

/// The planner closes the stream, and why.
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

fn ensure(fine: bool, what: impl FnOnce() -> String) -> Result<(), String> {
    if fine {
        Ok(())
    } else {
        Err(what())
    }
}

fn few(what: &str, count: usize, most: usize) -> Result<(), String> {
    ensure(count <= most, || format!("{what}: {count} entries, at most {most} are allowed"))
}

fn name(what: &str, text: &str) -> Result<(), String> {
    ensure(!text.is_empty() && text.len() <= MAX_NAME_LEN, || {
        format!("{what}: {} bytes, 1 to {MAX_NAME_LEN} are allowed", text.len())
    })
}

fn number(what: &str, value: f64) -> Result<(), String> {
    ensure(value.is_finite() && value >= 0.0, || {
        format!("{what}: {value}, a number of 0 or more was expected")
    })
}

impl Validate for ProxyMessage {
    const MAX_LEN: usize = 1024 * 1024;

    fn validate(&self) -> Result<(), String> {
        match self.kind.as_ref().ok_or("empty message, or of a kind not known")? {
            proxy_message::Kind::Hello(hello) => {
                name("hello.proxy", &hello.proxy)?;
                name("hello.zone", &hello.zone)?;
                number("hello.calls_per_s", hello.calls_per_s)?;
                few("hello.held", hello.held.len(), MAX_TABLES)?;
                few("hello.routes", hello.routes.len(), MAX_ROUTES)?;
                hello.routes.iter().try_for_each(|route| name("hello.routes", route))?;
                hello.held.iter().try_for_each(|held| name("hello.held.planner", &held.planner))
            }
            proxy_message::Kind::Ack(ack) => ensure(ack.nonce > 0, || "ack.nonce: 0 was never sent".into()),
            proxy_message::Kind::Nack(nack) => {
                ensure(nack.reason.len() <= 4 * MAX_NAME_LEN, || "nack.reason: too long".into())
            }
            proxy_message::Kind::ServerStats(sums) => {
                few("sums.rows", sums.rows.len(), MAX_ROWS)?;
                for row in &sums.rows {
                    name("sums.rows.server", &row.server)?;
                    ensure(row.dropped <= row.tries, || "sums.rows: more dropped than tried".into())?;
                    number("sums.rows.util", row.util.unwrap_or(0.0))?;
                    number("sums.rows.in_hand", row.in_flight.unwrap_or(0.0))?;
                }
                Ok(())
            }
            proxy_message::Kind::Arrivals(arrivals) => few("arrivals.rows", arrivals.rows.len(), MAX_ROUTES),
            proxy_message::Kind::Heartbeat(_) => Ok(()),
        }
    }
}

impl Validate for PlannerMessage {
    const MAX_LEN: usize = 4 * 1024 * 1024;

    fn validate(&self) -> Result<(), String> {
        match self.kind.as_ref().ok_or("empty message, or of a kind not known")? {
            planner_message::Kind::Welcome(welcome) => {
                name("welcome.planner", &welcome.planner)?;
                few("welcome.routes", welcome.routes.len(), MAX_ROUTES)?;
                ensure(welcome.report_every_us > 0, || "welcome.report_every_us: 0".into())?;
                welcome.routes.iter().try_for_each(|route| name("welcome.routes", route))
            }
            planner_message::Kind::Update(update) => {
                ensure(update.nonce > 0, || "update.nonce: 0".into())?;
                few("update.tables", update.tables.len(), MAX_TABLES)?;
                few("update.binds", update.binds.len(), MAX_TABLES)?;
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
        few(&place("set"), self.set.len(), MAX_LINES)?;
        few(&place("removed"), self.removed.len(), MAX_LINES)?;
        few(&place("gates"), self.gates.len(), 2 * MAX_ROUTES)?;
        ensure(self.to > self.from, || {
            format!("table {}: version {} after {}, a later one was expected", self.table, self.to, self.from)
        })?;
        ensure(!self.whole || self.from == 0 && self.removed.is_empty(), || {
            format!("table {}: whole, and yet a change from version {}", self.table, self.from)
        })?;
        for line in &self.set {
            name(&place("set.server"), &line.server)?;
            ensure(line.weight.is_finite() && line.weight > 0.0, || {
                format!(
                    "table {}: {} has weight {}, above 0 was expected",
                    self.table, line.server, line.weight
                )
            })?;
        }
        for gate in &self.gates {
            number(&place("gates.level"), gate.level)?;
            ensure(gate.resend <= 2, || {
                format!("table {}: resend {}, 0 to 2 were expected", self.table, gate.resend)
            })?;
        }
        self.removed.iter().try_for_each(|server| name(&place("removed"), server))
    }
}
