//! A call on its way: states and what follows from each ending of a try.

use pewtergap_http::{Head, Reader};
use pewtergap_node::Link;
use pewtergap_protocol::load_report::LoadReport;
use pewtergap_time::Moment;

/// How a try ended without an answer to pass on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Miss {
    /// It surely never ran: nobody listened, or the server says that it turned it away before running it.
    NeverRan,
    /// It may have run: the answer did not come, or not whole.
    MayHaveRun,
    /// The server answered with an error of its own.
    Erred,
}

/// Whether a route's calls may run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeats {
    Repeatable,
    Mutating,
}

/// What happens after a miss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum After {
    TryAgain,
    GiveUp,
}

/// Ways of trying again, as ordered: 0 never, once on proof, once after any failure.
pub const ON_PROOF: u32 = 1;
pub const ONCE: u32 = 2;

/// For what must not run twice only proof counts, whatever is ordered: an order that would break rule 2 is
/// not obeyed beyond it.
const AFTER: &[(u32, Repeats, Miss, After)] = &[
    (ON_PROOF, Repeats::Repeatable, Miss::NeverRan, After::TryAgain),
    (ON_PROOF, Repeats::Mutating, Miss::NeverRan, After::TryAgain),
    (ONCE, Repeats::Repeatable, Miss::NeverRan, After::TryAgain),
    (ONCE, Repeats::Repeatable, Miss::MayHaveRun, After::TryAgain),
    (ONCE, Repeats::Repeatable, Miss::Erred, After::TryAgain),
    (ONCE, Repeats::Mutating, Miss::NeverRan, After::TryAgain),
];

pub fn after(resend: u32, repeats: Repeats, miss: Miss, tries: u32) -> After {
    let row = AFTER.iter().find(|row| (row.0, row.1, row.2) == (resend, repeats, miss));
    row.filter(|_| tries < 2).map_or(After::GiveUp, |row| row.3)
}

/// A call between a client and a server.
pub struct Call {
    pub client: Link,
    pub route: usize,
    /// As it goes to a server.
    pub request: Vec<u8>,
    pub body_expected: bool,
    pub until: Moment,
    pub tries: u32,
    pub resend: u32,
    pub server: String,
    pub link: Link,
    /// When the present try began.
    pub tried: Moment,
    /// Servers that were tried.
    pub before: Vec<String>,
    pub answer: Reader,
    /// The head of the answer went on to the client.
    pub passing: bool,
    pub chunked: bool,
    pub status: u16,
    pub report: LoadReport,
    pub keep_server: bool,
}

/// How a call ended at the proxy, told to the client in a header when the proxy itself answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Given {
    Throttled,
    NoLine,
    TimeUp,
    Failed,
    NoRoute,
    TooMany,
}

impl Given {
    pub fn status(self) -> u16 {
        match self {
            Given::Throttled => 429,
            Given::NoLine | Given::TooMany => 503,
            Given::TimeUp => 504,
            Given::Failed => 502,
            Given::NoRoute => 404,
        }
    }

    pub fn name(self) -> &'static str {
        match self {
            Given::Throttled => "throttled",
            Given::NoLine => "no-line",
            Given::TimeUp => "time-up",
            Given::Failed => "failed",
            Given::NoRoute => "no-route",
            Given::TooMany => "too-many",
        }
    }
}

/// Headers that concern one connection only, and are not passed on.
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

/// Headers to pass on: without those of the connection, and without those that the connection header names.
pub fn passed_on(head: &Head) -> Vec<(&str, &str)> {
    let named = head.header("connection").unwrap_or("").to_ascii_lowercase();
    let names: Vec<&str> = named.split(',').map(str::trim).collect();
    let pass = |name: &str| !hop_by_hop(name) && !names.contains(&name);
    head.headers.iter().filter(|h| pass(&h.0)).map(|h| (h.0.as_str(), h.1.as_str())).collect()
}
