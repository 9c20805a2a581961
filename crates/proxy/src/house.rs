//! The proxy as several nodes of one house: a front that lets clients in and speaks to the planner, and
//! workers that serve calls. The program does not start it yet. One thread lets in and hands over, rather than
//! each worker from a listener of its own, so that a worker that stands still gets no new clients.

use crate::board::{least_busy, SharedState, WorkerStatus};
use crate::orders::{timer, told_of_door, Orders, CLIENTS, HOUSEKEEPING};
use crate::stream::ProxyConfig;
use crate::tables::Tables;
use crate::worker::Worker;
use crate::{EjectionConfig, FrontConfig, Route};
use pewtergap_node::{Effect, Input, Level as LogLevel, Node, Outbox, ReactorId};
use pewtergap_time::{Moment, Span};
use std::any::Any;
use std::sync::Arc;

/// A worker that did nothing for so long gets no new clients; it would have looked up four times.
const STANDS: Span = Span::millis(1_000);
/// Seats of the house: the front's, and from there on the workers'.
pub const FRONT_ID: ReactorId = ReactorId(0);

fn seat(worker: usize) -> ReactorId {
    ReactorId(worker as u32 + 1)
}

/// The nodes of one proxy: the front first, for `FRONT`, then the workers for the seats after it.
pub fn proxy_nodes(
    home: ProxyConfig,
    front: FrontConfig,
    routes: Vec<Route>,
    shunning: EjectionConfig,
    standing: &[String],
    workers: usize,
    seed: u64,
) -> Vec<Box<dyn Node>> {
    let tables = Arc::new(Tables::standing(standing, routes.len()));
    let board = Arc::new(SharedState::new(workers, tables.clone()));
    let mut chance = fastrand::Rng::with_seed(seed);
    // The limit on calls is the proxy's; each worker has its part.
    let part = FrontConfig { max_calls: front.max_calls.div_ceil(workers.max(1)), ..front };
    let worker = |at: usize| -> Box<dyn Node> {
        let (routes, tables) = (routes.clone(), tables.clone());
        let inner = Worker::new(&home.name, part, routes, shunning, tables, chance.u64(..));
        Box::new(Clerk { at, board: board.clone(), inner, follows: 0, taken: 0, stopping: false })
    };
    let workers: Vec<Box<dyn Node>> = (0..workers).map(worker).collect();
    let longest = routes.iter().map(|route| route.time_limit).max().unwrap_or_default();
    let count = routes.len();
    let orders = Orders::new(home, front.source_ip, routes, tables, seed);
    let handed = vec![0; workers.len()];
    let porter =
        Porter { front, board, orders, published: 0, handed, routes: count, longest, stopping: false };
    std::iter::once(Box::new(porter) as Box<dyn Node>).chain(workers).collect()
}

struct Porter {
    front: FrontConfig,
    board: Arc<SharedState>,
    orders: Orders,
    published: u64,
    /// Clients ever handed to each worker.
    handed: Vec<u64>,
    routes: usize,
    longest: Span,
    stopping: bool,
}

impl Porter {
    fn knock(&self, out: &mut Outbox) {
        (0..self.board.workers()).for_each(|worker| out.push(Effect::Notify { reactor: seat(worker) }));
    }

    fn publish(&mut self, out: &mut Outbox) {
        if self.published != self.orders.version() {
            self.published = self.orders.version();
            self.board.publish(self.published, self.orders.tables().clone());
            self.knock(out);
        }
    }

    fn due(&mut self, now: Moment, timer: u64, out: &mut Outbox) {
        if self.orders.due(now, timer, out) {
            let (rows, arrivals) = self.board.take_counted(self.routes);
            self.orders.report(now, rows, &arrivals, out);
        }
        // Workers that stand still are not waited for any longer than their calls could last.
        if timer == timer::STOP {
            out.push(Effect::Exit { code: 0 });
        }
    }
}

impl Node for Porter {
    fn handle(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) {
        match input {
            Input::Start => self.orders.start(now, self.front.listen, out),
            Input::Listening { .. } | Input::NotListening { .. } => told_of_door(&input, out),
            Input::Accepted { link, .. } => {
                let seen = self.handed.iter().enumerate().map(|(at, handed)| (self.board.seen(at), *handed));
                let seen: Vec<(WorkerStatus, u64)> = seen.collect();
                match least_busy(&seen, now, STANDS) {
                    Some(worker) => {
                        self.handed[worker] += 1;
                        out.push(Effect::Transfer { link, to: seat(worker), listener: CLIENTS });
                    }
                    None => out.cut(link),
                }
            }
            // The worker has thousands on their way to it: a client that is turned away tries elsewhere.
            Input::TransferFailed { link, to } => {
                self.handed[to.0 as usize - 1] -= 1;
                out.log(LogLevel::Warn, "no_room_at_worker", Vec::new());
                out.cut(link);
            }
            Input::Opened { link } if self.orders.is_link(link) => self.orders.opened(now, out),
            Input::Bytes { link, bytes } if self.orders.is_link(link) => {
                self.orders.bytes(now, bytes, out);
                self.publish(out);
            }
            Input::Closed { link, .. } if self.orders.is_link(link) => self.orders.lost(now, out),
            Input::TimerFired { timer } => self.due(now, timer, out),
            Input::Stop if !self.stopping => {
                self.stopping = true;
                self.orders.stop();
                self.board.stop();
                self.knock(out);
                out.push(Effect::Unlisten { listener: CLIENTS });
                out.set_timer(timer::STOP, now + self.longest + HOUSEKEEPING);
            }
            _ => {}
        }
        // An ACK means that no worker starts a try by older tables any more.
        self.orders.followed(self.board.followed(), out);
        if self.stopping && (0..self.board.workers()).all(|worker| self.board.seen(worker).done) {
            out.push(Effect::Exit { code: 0 });
        }
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}

struct Clerk {
    at: usize,
    board: Arc<SharedState>,
    inner: Worker,
    follows: u64,
    taken: u64,
    stopping: bool,
}

impl Clerk {
    /// Before anything else: whatever it is woken for, it does by the tables that are in force now.
    fn look(&mut self, now: Moment, out: &mut Outbox) {
        if let Some((version, tables)) = self.board.newer(self.follows) {
            self.follows = version;
            self.inner.follow(tables);
            self.board.follows(self.at, version);
            out.push(Effect::Notify { reactor: FRONT_ID });
            self.inner.reap(now, out);
        }
        if self.board.stopping() && !self.stopping {
            self.stopping = true;
            self.inner.stop();
        }
    }
}

impl Node for Clerk {
    fn handle(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) {
        self.look(now, out);
        match input {
            Input::Start => out.set_timer(timer::HOUSEKEEPING, now + HOUSEKEEPING),
            Input::Accepted { link, .. } => {
                self.taken += 1;
                self.inner.accepted(link, out);
            }
            Input::Bytes { link, bytes } => self.inner.bytes(now, link, bytes, out),
            Input::Closed { link, why } => self.inner.closed(now, link, why, out),
            Input::TimerFired { timer: timer::HOUSEKEEPING } => {
                out.set_timer(timer::HOUSEKEEPING, now + HOUSEKEEPING);
                self.inner.reap(now, out);
                let (sums, arrivals) = self.inner.counted();
                self.board.leave_counted(self.at, sums, &arrivals);
            }
            Input::TimerFired { timer } => self.inner.due(now, timer, out),
            _ => {}
        }
        self.board.beat(self.at, now, self.taken, self.inner.clients());
        if self.stopping && self.inner.idle() {
            let (sums, arrivals) = self.inner.counted();
            self.board.leave_counted(self.at, sums, &arrivals);
            self.board.done(self.at);
            out.push(Effect::Notify { reactor: FRONT_ID });
            out.push(Effect::Exit { code: 0 });
        }
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}
