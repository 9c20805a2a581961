//! The proxy as a single node: the planner client and one worker.

use crate::planner_client::{log_listener, timer, PlannerClient, CLIENT_LISTENER};
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
    /// Resend policy until a planner sets one: 0 never, 1 if the try provably never ran, 2 once after any failure.
    pub resend: u32,
}

/// Configuration of the client and server side of a proxy.
#[derive(Clone, Copy, Debug)]
pub struct FrontConfig {
    pub listen: SocketAddr,
    pub source_ip: Option<IpAddr>,
    pub max_calls: usize,
    pub keep_alive: Span,
}

/// Ejection of a server after a number of consecutive failures of this proxy's own tries; 0 disables it.
#[derive(Clone, Copy, Debug)]
pub struct EjectionConfig {
    pub consecutive_failures: u32,
    pub ejection_time: Span,
}

/// Response header of a server that rejected a call before running it.
pub const NOT_RUN_HEADER: &str = "x-pewtergap-not-run";
/// Response header with the reason when the proxy itself responded to a call.
pub const ENDED_HEADER: &str = "x-pewtergap-ended";

pub struct Proxy {
    front: FrontConfig,
    planner_client: PlannerClient,
    worker: Worker,
    applied_version: u64,
    stopping: bool,
}

impl Proxy {
    pub fn new(
        config: ProxyConfig,
        front: FrontConfig,
        routes: Vec<Route>,
        ejection: EjectionConfig,
        standing: &[String],
        seed: u64,
    ) -> Proxy {
        let tables = Arc::new(Tables::initial(standing, routes.len()));
        let worker = Worker::new(&config.name, front, routes.clone(), ejection, tables.clone(), seed);
        let planner_client = PlannerClient::new(config, front.source_ip, routes, tables, seed);
        Proxy { front, planner_client, worker, applied_version: 0, stopping: false }
    }

    pub fn tables(&self) -> &Tables {
        self.planner_client.tables()
    }

    pub fn joined(&self) -> bool {
        self.planner_client.joined()
    }

    fn apply_tables(&mut self, now: Moment, out: &mut Outbox) {
        if self.applied_version != self.planner_client.version() {
            self.applied_version = self.planner_client.version();
            self.worker.set_tables(self.planner_client.tables().clone());
            self.planner_client.acknowledge(self.applied_version, out);
            self.worker.close_idle(now, out);
        }
    }

    fn timer_fired(&mut self, now: Moment, timer: u64, out: &mut Outbox) {
        if self.planner_client.timer_fired(now, timer, out) {
            let (rows, arrivals) = self.worker.take_counters();
            self.planner_client.report(now, rows, &arrivals, out);
        }
        match timer {
            timer::HOUSEKEEPING => self.worker.close_idle(now, out),
            id => self.worker.timer_fired(now, id, out),
        }
    }
}

impl Node for Proxy {
    fn handle(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) {
        match input {
            Input::Start => self.planner_client.start(now, self.front.listen, out),
            Input::Listening { .. } | Input::NotListening { .. } => log_listener(&input, out),
            Input::Accepted { link, .. } => self.worker.accept(now, link, out),
            Input::Opened { link } if self.planner_client.is_link(link) => {
                self.planner_client.connected(now, out)
            }
            Input::Opened { .. } => {}
            Input::Bytes { link, bytes } if self.planner_client.is_link(link) => {
                self.planner_client.receive(now, bytes, out);
                self.apply_tables(now, out);
            }
            Input::Bytes { link, bytes } => self.worker.receive(now, link, bytes, out),
            Input::Closed { link, .. } if self.planner_client.is_link(link) => {
                self.planner_client.disconnected(now, out)
            }
            Input::Closed { link, why } => self.worker.closed(now, link, why, out),
            Input::TimerFired { timer } => self.timer_fired(now, timer, out),
            Input::Stop if !self.stopping => {
                // Calls in flight are completed; no new clients are accepted.
                self.stopping = true;
                self.worker.stop();
                self.planner_client.stop();
                out.push(Effect::Unlisten { listener: CLIENT_LISTENER });
                let wait = if self.worker.idle() { Span::millis(50) } else { self.worker.max_time_limit() };
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
