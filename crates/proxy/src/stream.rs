//! The stream to a planner: one at a time, dialled again when it breaks, the next one when it does not stand.

use pewtergap_node::Link;
use pewtergap_protocol::{FrameReader, PlannerMessage};
use pewtergap_time::{Moment, Span};
use std::net::SocketAddr;

/// Where planners are, its own zone's first, and how it names itself to them.
#[derive(Clone, Debug)]
pub struct ProxyConfig {
    pub name: String,
    pub zone: String,
    pub planners: Vec<SocketAddr>,
    pub calls_per_s: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// A timer will have it dial.
    Waiting,
    Dialing,
    /// Connected, the hello is out.
    Greeting,
    Joined,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    Due,
    Opened,
    Welcomed,
    /// Refused, broken, silent, or what came cannot be used.
    Lost,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Dial,
    Greet,
    Join,
    /// Wait, and try the next planner.
    Next,
    /// Wait, and try the same planner again: it was there a moment ago.
    Again,
}

use Sign::*;
use State::*;
use Step::*;

const STEPS: &[(State, Sign, State, Step)] = &[
    (Waiting, Due, Dialing, Dial),
    (Dialing, Opened, Greeting, Greet),
    (Greeting, Welcomed, Joined, Join),
    (Dialing, Lost, Waiting, Next),
    (Greeting, Lost, Waiting, Next),
    (Joined, Lost, Waiting, Again),
];

/// Shortest and longest wait before dialling again.
const WAITS: (Span, Span) = (Span::millis(50), Span::millis(2_000));
/// A connection or a greeting that takes longer has failed: behind a cut nothing ever comes back.
pub const PATIENCE: Span = Span::millis(1_000);
/// Beats that may be missed.
const MISSED: f64 = 4.0;

pub struct Stream {
    pub state: State,
    pub link: Option<Link>,
    pub frames: FrameReader<PlannerMessage>,
    pub heard: Moment,
    pub every: Span,
    planners: Vec<SocketAddr>,
    at: usize,
    wait: Span,
}

impl Stream {
    pub fn new(planners: Vec<SocketAddr>) -> Stream {
        Stream {
            state: Waiting,
            link: None,
            frames: FrameReader::default(),
            heard: Moment(0),
            every: Span::millis(1_000),
            planners,
            at: 0,
            wait: WAITS.0,
        }
    }

    /// The planner to dial next, if any are known.
    pub fn planner(&self) -> Option<SocketAddr> {
        self.planners.get(self.at).copied()
    }

    /// What to do, and how long to wait before it where it is a wait.
    pub fn step(&mut self, sign: Sign, chance: f64) -> Option<(Step, Span)> {
        let row = STEPS.iter().find(|row| row.0 == self.state && row.1 == sign)?;
        self.state = row.2;
        let jitter = 0.5 + chance;
        Some(match row.3 {
            Join => {
                self.wait = WAITS.0;
                (Join, Span(0))
            }
            Again => {
                self.wait = WAITS.0;
                (Again, WAITS.0.times(jitter))
            }
            Next => {
                self.at = (self.at + 1) % self.planners.len().max(1);
                // All planners are tried once before the wait grows.
                let wait = self.wait;
                if self.at == 0 {
                    self.wait = self.wait.times(2.0).min(WAITS.1);
                }
                (Next, wait.times(jitter))
            }
            other => (other, Span(0)),
        })
    }

    /// Nothing was heard for too long.
    pub fn overdue(&self, now: Moment) -> bool {
        let silent = now.since(self.heard);
        match self.state {
            Waiting => false,
            Dialing | Greeting => silent > PATIENCE,
            Joined => silent > self.every.times(MISSED),
        }
    }
}
