//! The state of a call, and whether it is retried after a failed try.

use pewtergap_http::{Head, Reader};
use pewtergap_node::Link;
use pewtergap_protocol::load_report::LoadReport;
use pewtergap_time::Moment;

/// How a try ended without a response to forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryFailure {
    /// It provably never ran: the connection was refused, or the server rejected the call before running it.
    NeverRan,
    /// It may have run: the response is missing or incomplete.
    MayHaveRun,
    /// The server responded with an error of its own.
    ServerError,
}

/// Whether the calls of a route may run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    Repeatable,
    Mutating,
}

/// What happens after a failed try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    Retry,
    GiveUp,
}

/// Values of `resend` in a gate besides 0 for never: once if the try provably never ran, once after any failure.
pub const RESEND_IF_NEVER_RAN: u32 = 1;
pub const RESEND_ONCE: u32 = 2;

/// Combinations that allow a retry. A mutating call is only retried if the try provably never ran, whatever the planner
/// ordered: an order that would break rule 2 is only obeyed as far as the rule allows.
const RETRY_RULES: &[(u32, RetrySafety, TryFailure, RetryDecision)] = &[
    (RESEND_IF_NEVER_RAN, RetrySafety::Repeatable, TryFailure::NeverRan, RetryDecision::Retry),
    (RESEND_IF_NEVER_RAN, RetrySafety::Mutating, TryFailure::NeverRan, RetryDecision::Retry),
    (RESEND_ONCE, RetrySafety::Repeatable, TryFailure::NeverRan, RetryDecision::Retry),
    (RESEND_ONCE, RetrySafety::Repeatable, TryFailure::MayHaveRun, RetryDecision::Retry),
    (RESEND_ONCE, RetrySafety::Repeatable, TryFailure::ServerError, RetryDecision::Retry),
    (RESEND_ONCE, RetrySafety::Mutating, TryFailure::NeverRan, RetryDecision::Retry),
];

pub fn retry_decision(resend: u32, safety: RetrySafety, failure: TryFailure, tries: u32) -> RetryDecision {
    let row = RETRY_RULES.iter().find(|row| (row.0, row.1, row.2) == (resend, safety, failure));
    row.filter(|_| tries < 2).map_or(RetryDecision::GiveUp, |row| row.3)
}

/// A call between a client and a server.
pub struct Call {
    pub client: Link,
    pub route: usize,
    /// The request as sent to servers.
    pub request: Vec<u8>,
    pub body_expected: bool,
    pub deadline: Moment,
    pub tries: u32,
    pub resend: u32,
    pub server: String,
    pub link: Link,
    /// Start of the current try.
    pub try_started: Moment,
    /// Servers already tried.
    pub tried_servers: Vec<String>,
    pub response: Reader,
    /// Whether the head of the response was forwarded to the client.
    pub head_forwarded: bool,
    pub chunked: bool,
    pub status: u16,
    pub report: LoadReport,
    pub reuse_connection: bool,
}

/// Why the proxy itself responded to a call, sent to the client in a header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    Throttled,
    NoLine,
    TimedOut,
    Failed,
    NoRoute,
    TooManyCalls,
}

impl CallError {
    pub fn status(self) -> u16 {
        match self {
            CallError::Throttled => 429,
            CallError::NoLine | CallError::TooManyCalls => 503,
            CallError::TimedOut => 504,
            CallError::Failed => 502,
            CallError::NoRoute => 404,
        }
    }

    pub fn name(self) -> &'static str {
        match self {
            CallError::Throttled => "throttled",
            CallError::NoLine => "no-line",
            CallError::TimedOut => "time-up",
            CallError::Failed => "failed",
            CallError::NoRoute => "no-route",
            CallError::TooManyCalls => "too-many",
        }
    }
}

/// Headers that apply to a single connection and are not forwarded.
pub fn hop_by_hop(name: &str) -> bool {
    matches!(
        name,
        "connection"
            | "keep-alive"
            | "proxy-connection"
            | "transfer-encoding"
            | "te"
            | "trailer"
            | "upgrade"
            | "content-length"
    )
}

/// Headers to forward: all but hop-by-hop headers and those named in the `connection` header.
pub fn forwarded_headers(head: &Head) -> Vec<(&str, &str)> {
    let named = head.header("connection").unwrap_or("").to_ascii_lowercase();
    let names: Vec<&str> = named.split(',').map(str::trim).collect();
    let forwarded = |name: &str| !hop_by_hop(name) && !names.contains(&name);
    head.headers.iter().filter(|h| forwarded(&h.0)).map(|h| (h.0.as_str(), h.1.as_str())).collect()
}
