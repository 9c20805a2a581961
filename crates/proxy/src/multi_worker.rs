//! The proxy as several nodes of a reactor group: an acceptor that accepts clients and talks to the planner, and
//! workers that serve calls. Not used by the program yet. One thread accepts and transfers connections, instead of a
//! listener per worker, so that an unresponsive worker gets no new clients.

use crate::planner_client::{log_listener, timer, PlannerClient, CLIENT_LISTENER, HOUSEKEEPING};
use crate::shared_state::{least_busy, SharedState, WorkerStatus};
use crate::stream::ProxyConfig;
use crate::tables::Tables;
use crate::worker::Worker;
use crate::{EjectionConfig, FrontConfig, Route};
use pewtergap_node::{Effect, Input, Level as LogLevel, Node, Outbox, ReactorId};
use pewtergap_time::{Moment, Span};
use std::any::Any;
use std::sync::Arc;

/// A worker inactive for this long gets no new clients; its housekeeping timer would have fired four times.
const UNRESPONSIVE_AFTER: Span = Span::millis(1_000);
/// Id of the acceptor in the reactor group; the workers' ids follow it.
pub const ACCEPTOR_ID: ReactorId = ReactorId(0);

fn worker_id(worker: usize) -> ReactorId {
    ReactorId(worker as u32 + 1)
}

/// The nodes of one proxy: the acceptor with the id `ACCEPTOR_ID`, then the workers with the ids after it.
pub fn proxy_nodes(
    config: ProxyConfig,
    listen_config: FrontConfig,
    routes: Vec<Route>,
    ejection: EjectionConfig,
    standing: &[String],
    workers: usize,
    seed: u64,
) -> Vec<Box<dyn Node>> {
    let tables = Arc::new(Tables::initial(standing, routes.len()));
    let shared = Arc::new(SharedState::new(workers, tables.clone()));
    let mut rng = fastrand::Rng::with_seed(seed);
    // The limit on calls is that of the whole proxy; each worker gets an equal share.
    let worker_config =
        FrontConfig { max_calls: listen_config.max_calls.div_ceil(workers.max(1)), ..listen_config };
    let worker = |at: usize| -> Box<dyn Node> {
        let (routes, tables) = (routes.clone(), tables.clone());
        let inner = Worker::new(&config.name, worker_config, routes, ejection, tables, rng.u64(..));
        Box::new(WorkerNode {
            at,
            shared: shared.clone(),
            inner,
            applied_version: 0,
            accepted: 0,
            stopping: false,
        })
    };
    let workers: Vec<Box<dyn Node>> = (0..workers).map(worker).collect();
    let max_time_limit = routes.iter().map(|route| route.time_limit).max().unwrap_or_default();
    let route_count = routes.len();
    let planner_client = PlannerClient::new(config, listen_config.source_ip, routes, tables, seed);
    let transferred = vec![0; workers.len()];
    let acceptor = Acceptor {
        listen_config,
        shared,
        planner_client,
        published: 0,
        transferred,
        routes: route_count,
        max_time_limit,
        stopping: false,
    };
    std::iter::once(Box::new(acceptor) as Box<dyn Node>).chain(workers).collect()
}

struct Acceptor {
    listen_config: FrontConfig,
    shared: Arc<SharedState>,
    planner_client: PlannerClient,
    published: u64,
    /// Total number of clients transferred to each worker.
    transferred: Vec<u64>,
    routes: usize,
    max_time_limit: Span,
    stopping: bool,
}

impl Acceptor {
    fn notify_workers(&self, out: &mut Outbox) {
        (0..self.shared.workers()).for_each(|worker| out.push(Effect::Notify { reactor: worker_id(worker) }));
    }

    fn publish(&mut self, out: &mut Outbox) {
        if self.published != self.planner_client.version() {
            self.published = self.planner_client.version();
            self.shared.publish(self.published, self.planner_client.tables().clone());
            self.notify_workers(out);
        }
    }

    fn due(&mut self, now: Moment, timer: u64, out: &mut Outbox) {
        if self.planner_client.timer_fired(now, timer, out) {
            let (rows, arrivals) = self.shared.take_counters(self.routes);
            self.planner_client.report(now, rows, &arrivals, out);
        }
        // Unresponsive workers are given no longer than the longest time limit of a call.
        if timer == timer::STOP {
            out.push(Effect::Exit { code: 0 });
        }
    }
}

impl Node for Acceptor {
    fn handle(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) {
        match input {
            Input::Start => self.planner_client.start(now, self.listen_config.listen, out),
            Input::Listening { .. } | Input::NotListening { .. } => log_listener(&input, out),
            Input::Accepted { link, .. } => {
                let statuses = self
                    .transferred
                    .iter()
                    .enumerate()
                    .map(|(at, transferred)| (self.shared.worker_status(at), *transferred));
                let statuses: Vec<(WorkerStatus, u64)> = statuses.collect();
                match least_busy(&statuses, now, UNRESPONSIVE_AFTER) {
                    Some(worker) => {
                        self.transferred[worker] += 1;
                        out.push(Effect::Transfer { link, to: worker_id(worker), listener: CLIENT_LISTENER });
                    }
                    None => out.cut(link),
                }
            }
            // The worker's queue is full: the client is disconnected and can connect to another proxy.
            Input::TransferFailed { link, to } => {
                self.transferred[to.0 as usize - 1] -= 1;
                out.log(LogLevel::Warn, "no_room_at_worker", Vec::new());
                out.cut(link);
            }
            Input::Opened { link } if self.planner_client.is_link(link) => {
                self.planner_client.connected(now, out)
            }
            Input::Bytes { link, bytes } if self.planner_client.is_link(link) => {
                self.planner_client.receive(now, bytes, out);
                self.publish(out);
            }
            Input::Closed { link, .. } if self.planner_client.is_link(link) => {
                self.planner_client.disconnected(now, out)
            }
            Input::TimerFired { timer } => self.due(now, timer, out),
            Input::Stop if !self.stopping => {
                self.stopping = true;
                self.planner_client.stop();
                self.shared.stop();
                self.notify_workers(out);
                out.push(Effect::Unlisten { listener: CLIENT_LISTENER });
                out.set_timer(timer::STOP, now + self.max_time_limit + HOUSEKEEPING);
            }
            _ => {}
        }
        // An ACK means that no worker starts a try with older tables any more.
        self.planner_client.acknowledge(self.shared.min_applied_version(), out);
        if self.stopping && (0..self.shared.workers()).all(|worker| self.shared.worker_status(worker).done) {
            out.push(Effect::Exit { code: 0 });
        }
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}

struct WorkerNode {
    at: usize,
    shared: Arc<SharedState>,
    inner: Worker,
    applied_version: u64,
    accepted: u64,
    stopping: bool,
}

impl WorkerNode {
    /// Called before any input is processed, so that it is handled with the tables now in force.
    fn apply_newer_tables(&mut self, now: Moment, out: &mut Outbox) {
        if let Some((version, tables)) = self.shared.newer_tables(self.applied_version) {
            self.applied_version = version;
            self.inner.set_tables(tables);
            self.shared.set_applied_version(self.at, version);
            out.push(Effect::Notify { reactor: ACCEPTOR_ID });
            self.inner.close_idle(now, out);
        }
        if self.shared.stopping() && !self.stopping {
            self.stopping = true;
            self.inner.stop();
        }
    }
}

impl Node for WorkerNode {
    fn handle(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) {
        self.apply_newer_tables(now, out);
        match input {
            Input::Start => out.set_timer(timer::HOUSEKEEPING, now + HOUSEKEEPING),
            Input::Accepted { link, .. } => {
                self.accepted += 1;
                self.inner.accept(now, link, out);
            }
            Input::Bytes { link, bytes } => self.inner.receive(now, link, bytes, out),
            Input::Closed { link, why } => self.inner.closed(now, link, why, out),
            Input::TimerFired { timer: timer::HOUSEKEEPING } => {
                out.set_timer(timer::HOUSEKEEPING, now + HOUSEKEEPING);
                self.inner.close_idle(now, out);
                let (stats, arrivals) = self.inner.take_counters();
                self.shared.add_counters(self.at, stats, &arrivals);
            }
            Input::TimerFired { timer } => self.inner.timer_fired(now, timer, out),
            _ => {}
        }
        self.shared.record_activity(self.at, now, self.accepted, self.inner.clients());
        if self.stopping && self.inner.idle() {
            let (stats, arrivals) = self.inner.take_counters();
            self.shared.add_counters(self.at, stats, &arrivals);
            self.shared.set_done(self.at);
            out.push(Effect::Notify { reactor: ACCEPTOR_ID });
            out.push(Effect::Exit { code: 0 });
        }
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}
