//! The proxy as one node: the planner's side and one worker.

use crate::orders::{timer, told_of_door, Orders, CLIENTS};
use crate::stream::ProxyConfig;
use crate::tables::Tables;
use crate::worker::Worker;
use pewtergap_node::{Effect, Input, Node, Outbox};
use pewtergap_time::{Moment, Span};
use std::any::Any;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

#[derive(Clone, Debug)]
pub struct Route {
    pub name: String,
    pub time_limit: Span,
    pub mutating: bool,
    /// How it is tried again while no planner has said: 0 never, 1 on proof, 2 once.
    pub resend: u32,
}

/// Where clients come in, and what is taken from them.
#[derive(Clone, Copy, Debug)]
pub struct FrontConfig {
    pub listen: SocketAddr,
    pub source_ip: Option<IpAddr>,
    pub max_calls: usize,
    pub keep_alive: Span,
}

/// Keeping away from a server after so many failures of its own calls there in a row; 0 for never.
#[derive(Clone, Copy, Debug)]
pub struct EjectionConfig {
    pub consecutive_failures: u32,
    pub ejection_time: Span,
}

/// What a server answers with when it turned a call away before running it.
pub const NOT_RUN_HEADER: &str = "x-pewtergap-not-run";
/// How a call ended here, when the proxy answered itself.
pub const ENDED_HEADER: &str = "x-pewtergap-ended";

pub struct Proxy {
    front: FrontConfig,
    orders: Orders,
    worker: Worker,
    follows: u64,
    stopping: bool,
}

impl Proxy {
    pub fn new(
        home: ProxyConfig,
        front: FrontConfig,
        routes: Vec<Route>,
        shunning: EjectionConfig,
        standing: &[String],
        seed: u64,
    ) -> Proxy {
        let tables = Arc::new(Tables::standing(standing, routes.len()));
        let worker = Worker::new(&home.name, front, routes.clone(), shunning, tables.clone(), seed);
        let orders = Orders::new(home, front.source_ip, routes, tables, seed);
        Proxy { front, orders, worker, follows: 0, stopping: false }
    }

    pub fn tables(&self) -> &Tables {
        self.orders.tables()
    }

    pub fn joined(&self) -> bool {
        self.orders.joined()
    }

    fn follow(&mut self, now: Moment, out: &mut Outbox) {
        if self.follows != self.orders.version() {
            self.follows = self.orders.version();
            self.worker.follow(self.orders.tables().clone());
            self.orders.followed(self.follows, out);
            self.worker.reap(now, out);
        }
    }

    fn due(&mut self, now: Moment, timer: u64, out: &mut Outbox) {
        if self.orders.due(now, timer, out) {
            let (rows, arrivals) = self.worker.counted();
            self.orders.report(now, rows, &arrivals, out);
        }
        match timer {
            timer::HOUSEKEEPING => self.worker.reap(now, out),
            id => self.worker.due(now, id, out),
        }
    }
}

impl Node for Proxy {
    fn handle(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) {
        match input {
            Input::Start => self.orders.start(now, self.front.listen, out),
            Input::Listening { .. } | Input::NotListening { .. } => told_of_door(&input, out),
            Input::Accepted { link, .. } => self.worker.accepted(link, out),
            Input::Opened { link } if self.orders.is_link(link) => self.orders.opened(now, out),
            Input::Opened { .. } => {}
            Input::Bytes { link, bytes } if self.orders.is_link(link) => {
                self.orders.bytes(now, bytes, out);
                self.follow(now, out);
            }
            Input::Bytes { link, bytes } => self.worker.bytes(now, link, bytes, out),
            Input::Closed { link, .. } if self.orders.is_link(link) => self.orders.lost(now, out),
            Input::Closed { link, why } => self.worker.closed(now, link, why, out),
            Input::TimerFired { timer } => self.due(now, timer, out),
            Input::Stop if !self.stopping => {
                // Calls under way are finished; nobody new is let in.
                self.stopping = true;
                self.worker.stop();
                self.orders.stop();
                out.push(Effect::Unlisten { listener: CLIENTS });
                let wait = if self.worker.idle() { Span::millis(50) } else { self.worker.longest() };
                out.set_timer(timer::STOP, now + wait);
            }
            Input::Stop | Input::Reload | Input::Command(_) | Input::File { .. } => {}
            Input::Synced { .. } | Input::Notified | Input::TransferFailed { .. } => {}
        }
        if self.stopping && self.worker.idle() {
            out.push(Effect::Exit { code: 0 });
        }
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}
