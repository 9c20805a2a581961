//! State machine of the stream to a planner: one at a time; reconnects to the same planner when an established stream
//! breaks, and tries the next planner when a connection cannot be established.

use pewtergap_node::Link;
use pewtergap_protocol::{FrameReader, PlannerMessage};
use pewtergap_time::{Moment, Span};
use std::net::SocketAddr;

/// How the proxy identifies itself, and the planners' addresses, those in its own zone first.
#[derive(Clone, Debug)]
pub struct ProxyConfig {
    pub name: String,
    pub zone: String,
    pub planners: Vec<SocketAddr>,
    pub calls_per_s: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Waiting for the reconnect timer.
    Waiting,
    Connecting,
    /// Connected, `Hello` is sent.
    Handshake,
    Joined,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    TimerFired,
    Connected,
    Welcomed,
    /// Connection refused, reset or timed out, or an invalid message was received.
    Disconnected,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    Connect,
    SendHello,
    Join,
    /// Wait, then connect to the next planner.
    NextPlanner,
    /// Wait, then reconnect to the same planner, which was reachable a moment ago.
    SamePlanner,
}

use Action::*;
use Signal::*;
use State::*;

const TRANSITIONS: &[(State, Signal, State, Action)] = &[
    (Waiting, TimerFired, Connecting, Connect),
    (Connecting, Connected, Handshake, SendHello),
    (Handshake, Welcomed, Joined, Join),
    (Connecting, Disconnected, Waiting, NextPlanner),
    (Handshake, Disconnected, Waiting, NextPlanner),
    (Joined, Disconnected, Waiting, SamePlanner),
];

/// Minimum and maximum delay before reconnecting.
const RECONNECT_DELAYS: (Span, Span) = (Span::millis(50), Span::millis(2_000));
/// Time limit for connecting and for the handshake: behind a network partition no response ever arrives.
pub const CONNECT_TIMEOUT: Span = Span::millis(1_000);
/// Heartbeat intervals without any message after which the stream has timed out.
const MAX_MISSED_HEARTBEATS: f64 = 4.0;

pub struct Stream {
    pub state: State,
    pub link: Option<Link>,
    pub frames: FrameReader<PlannerMessage>,
    pub last_contact: Moment,
    pub report_interval: Span,
    planners: Vec<SocketAddr>,
    next_planner: usize,
    delay: Span,
}

impl Stream {
    pub fn new(planners: Vec<SocketAddr>) -> Stream {
        Stream {
            state: Waiting,
            link: None,
            frames: FrameReader::default(),
            last_contact: Moment(0),
            report_interval: Span::millis(1_000),
            planners,
            next_planner: 0,
            delay: RECONNECT_DELAYS.0,
        }
    }

    /// The planner to connect to next, if any is configured.
    pub fn planner(&self) -> Option<SocketAddr> {
        self.planners.get(self.next_planner).copied()
    }

    /// The action for a signal, and its delay if it is a reconnect.
    pub fn step(&mut self, signal: Signal, random: f64) -> Option<(Action, Span)> {
        let row = TRANSITIONS.iter().find(|row| row.0 == self.state && row.1 == signal)?;
        self.state = row.2;
        let jitter = 0.5 + random;
        Some(match row.3 {
            Join => {
                self.delay = RECONNECT_DELAYS.0;
                (Join, Span(0))
            }
            SamePlanner => {
                self.delay = RECONNECT_DELAYS.0;
                (SamePlanner, RECONNECT_DELAYS.0.times(jitter))
            }
            NextPlanner => {
                self.next_planner = (self.next_planner + 1) % self.planners.len().max(1);
                // All planners are tried once before the delay grows.
                let delay = self.delay;
                if self.next_planner == 0 {
                    self.delay = self.delay.times(2.0).min(RECONNECT_DELAYS.1);
                }
                (NextPlanner, delay.times(jitter))
            }
            other => (other, Span(0)),
        })
    }

    /// Whether nothing was received for too long.
    pub fn is_timed_out(&self, now: Moment) -> bool {
        let contact_age = now.since(self.last_contact);
        match self.state {
            Waiting => false,
            Connecting | Handshake => contact_age > CONNECT_TIMEOUT,
            Joined => contact_age > self.report_interval.times(MAX_MISSED_HEARTBEATS),
        }
    }
}
