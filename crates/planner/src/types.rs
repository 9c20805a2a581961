//! Inputs, outputs and state of the planner. The decisions are in `decide.rs`.

use crate::channel::{AbandonedMessage, DeliveredMessage, SentMessage, SentTurn, Throughput};
use crate::histogram::Histogram;
use crate::time::{Moment, Span};
use std::collections::BTreeSet;

/// Indices assigned by an [`Interner`](crate::interner::Interner), one index space per planner instance.
pub type ServerIndex = usize;
pub type ProxyIndex = usize;
pub type ZoneIndex = usize;
pub type TableIndex = usize;

pub type WeightedServer = (ServerIndex, f64);

/// Scope within which repeats of a keyed call are recognized and dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    Repeatable,
    Keyed { scope: KeyScope, window: Span },
    Mutating,
}

#[derive(Clone, Debug)]
pub struct Route {
    pub importance: f64,
    pub slo_time: Span,
    pub time_limit: Span,
    pub retry_safety: RetrySafety,
    /// Calls may only go to servers in the proxy's own zone.
    pub zone_bound: bool,
    pub writes: bool,
}

/// Admission level without a limit, both as a fraction and as a rate.
pub const UNLIMITED: f64 = 1e9;

/// Returns whether a route is one of the least important ones. False for all if every route has the same
/// importance.
pub fn is_least_important(routes: &[Route], at: usize) -> bool {
    let own = routes[at].importance;
    routes.iter().all(|r| r.importance >= own) && routes.iter().any(|r| r.importance > own)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Throttle {
    Fraction,
    PerSecond,
    Off,
}

/// What is known about the fleet at start.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub zones: usize,
    pub proxies: usize,
    pub planners: usize,
    /// The server list is only sent on request.
    pub list_on_request: bool,
    pub list_request_interval: Span,
    /// Cost of a call to another zone, as a fraction of the value of a call.
    pub cross_zone_cost: f64,
    /// Connection limit of the smallest servers, and how long an idle connection is kept open. Unlimited if
    /// not configured.
    pub min_server_connections: f64,
    pub keep_alive: Span,
}

/// Keyspace slices, for services that partition their keys.
#[derive(Clone, Debug)]
pub struct Slicing {
    pub slices: usize,
    pub exclusive: bool,
    pub write_stop_delay: Span,
    pub write_linger: Span,
}

/// Limits of the channel that carries messages to the proxies.
#[derive(Clone, Debug)]
pub struct ChannelLimits {
    /// Lines that a message costs in addition to its table lines.
    pub message_overhead: f64,
    pub max_queued_lines: f64,
    /// Messages allowed to one proxy within `message_window`.
    pub max_messages: usize,
    pub message_window: Span,
    pub lines_per_s: f64,
    /// Longest time from leaving the channel to reaching the proxy.
    pub max_transit: Span,
}

/// Parameters of the service rules.
#[derive(Clone, Debug)]
pub struct Contract {
    pub drain_grace: Span,
    /// A server missing from the list must be removed, as if it were draining.
    pub removal_is_binding: bool,
    /// Capacity of a server at its start, as a fraction of its capacity when warm.
    pub cold_capacity: f64,
    pub warmup: Span,
    /// A cold server fails when it is sent this many times its capacity for `overload_time`.
    pub overload_factor: f64,
    pub overload_time: Span,
}

/// What proxies and servers support.
#[derive(Clone, Debug)]
pub struct Capabilities {
    pub throttle: Throttle,
    pub probes: bool,
    /// Servers report their load only in answers to probes.
    pub load_on_probe: bool,
    /// Proxies eject servers that fail several calls in a row.
    pub ejects_servers: bool,
    /// How long a try waits before the next one may start, as a multiple of the SLO time.
    pub resend_wait_factor: f64,
    /// Proxies send zone-bound calls to servers of their own zone alone, whatever else their table holds.
    pub proxies_keep_zone_bound: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    Running,
    Stopping,
    Deleted,
}

#[derive(Clone, Debug)]
pub struct ListEntry {
    pub server: ServerIndex,
    pub zone: ZoneIndex,
    pub cell: u64,
    pub state: ListedState,
    pub weight: f64,
    pub last_start: Option<Moment>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    Changes,
    Complete,
    /// The last complete list that was stored locally; it may be out of date.
    Kept,
    Failed,
}

/// A load report. Values that the server does not report are `None`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    pub util: Option<f64>,
    pub in_flight: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    Answered,
    /// Refused by the server: it is alive but overloaded.
    Rejected,
    /// Answered with an error.
    Error,
    /// No answer in time. The server may be dead, unreachable or only busy.
    TimedOut,
    /// The connection failed: nothing listens at the address.
    Unreachable,
}

#[derive(Clone, Debug)]
pub enum Event {
    List {
        kind: ListKind,
        entries: Vec<ListEntry>,
    },
    ProxyJoined {
        proxy: ProxyIndex,
        zone: ZoneIndex,
        calls_per_s: f64,
    },
    ProxyLeft {
        proxy: ProxyIndex,
    },
    /// Acknowledgements of a joined proxy were lost: it is unknown whether it holds what it was sent.
    AcknowledgementsLost {
        proxy: ProxyIndex,
    },
    ServerStats {
        server: ServerIndex,
        zone: ZoneIndex,
        tries: f64,
        dropped: f64,
        mean_latency: Span,
        period: Span,
        load: Load,
    },
    Arrivals {
        proxy: ProxyIndex,
        route: usize,
        calls: f64,
        dropped: f64,
        period: Span,
    },
    ProbeEnded {
        server: ServerIndex,
        outcome: ProbeOutcome,
        load: Load,
    },
    Applied {
        proxy: ProxyIndex,
        mark: u64,
    },
    SliceAssigned {
        slice: TableIndex,
        assigned: bool,
    },
    /// An operator limits the admitted fraction of a route's calls. A level of 1 removes the limit.
    LimitRoute {
        route: usize,
        level: f64,
    },
    /// An operator suspends or resumes all table changes except removals.
    HoldChanges {
        on: bool,
    },
    SliceLine {
        slice: TableIndex,
        server: ServerIndex,
        weight: f64,
    },
    /// Calls per second at the proxies of all other planners, or `None` if unknown.
    OtherPlannersRate {
        calls_per_s: Option<f64>,
    },
    /// Fraction of the load that all proxies together may send to cold servers which this planner's proxies
    /// may use. `None` if the load was not divided between planners.
    ColdShare {
        share: Option<f64>,
    },
    /// Other planners observed a failing server: its weight is reduced by this fraction. 0 removes the
    /// reduction.
    ReduceWeight {
        server: ServerIndex,
        by: f64,
    },
    Tick,
}

/// When a proxy may retry a call at another server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResendPolicy {
    Never,
    IfNeverRan,
    Once,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    SetLine {
        table: TableIndex,
        server: ServerIndex,
        weight: f64,
    },
    Bind {
        proxy: ProxyIndex,
        table: TableIndex,
        routes: u64,
    },
    SetLevel {
        table: TableIndex,
        routes: u64,
        level: f64,
        resend: ResendPolicy,
    },
    Mark {
        mark: u64,
    },
    Probe {
        server: ServerIndex,
    },
    Wake {
        at: Moment,
    },
    Subscribe,
    /// The index of a server is no longer referenced and may be assigned to a new server.
    ReleaseServer {
        server: ServerIndex,
    },
    /// A message for the operators' log.
    Log {
        text: String,
    },
}

/// State of a server, as the planner sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    #[default]
    Absent,
    InService,
    Suspect,
    Ejected,
    Draining,
    /// Newly listed and not yet confirmed by a probe.
    Unverified,
}

/// An observation about a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    ListedRunning,
    /// Listed as running after having been unknown or absent.
    Appeared,
    /// Listed with a later start time than the known one.
    Restarted,
    StopListed,
    ListedGone,
    /// No longer listed, where leaving the list does not force a removal.
    Unlisted,
    TriesFailing,
    TriesOk,
    ProbeOk,
    /// No answer in time. The server may only be busy.
    ProbeTimedOut,
    /// Answered with an error, as a foreign process at the address would.
    ProbeError,
    ProbeUnreachable,
    FailureConfirmed,
    RecoveryConfirmed,
}

/// Effect of a signal on a server's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Put in service, with its warm-up counted from the listed start time.
    Admit,
    /// Put in service as if it had just started, because its state after an outage is unknown.
    Readmit,
    Remove,
    /// Probe the server.
    SendProbe,
    /// Count one more consecutive probe with the same result.
    CountStrike,
    /// Count enough strikes at once to confirm the failure.
    ConfirmFailure,
    ClearStrikes,
}

#[derive(Clone, Debug, Default)]
pub struct Server {
    pub state: ServerState,
    pub zone: ZoneIndex,
    pub weight: f64,
    /// Last start time as listed or, after an outage, as observed by probes.
    pub started_at: Option<Moment>,
    /// Since when it has to leave the tables: it drains, is gone or has been ejected.
    pub left_at: Option<Moment>,
    pub strikes: usize,
    pub probed_at: Option<Moment>,
    pub util: Histogram,
    pub tries: f64,
    pub dropped: f64,
    /// Index offset of the correction to the listed weight, and the net number of consecutive reviews that
    /// asked for another step.
    pub correction: i32,
    pub correction_votes: i32,
    /// Fraction by which the weight is reduced because other planners observed failures.
    pub weight_reduction: f64,
    /// Whether the index is assigned, and since when nothing but this record refers to the server.
    pub in_use: bool,
    pub unreferenced_since: Option<Moment>,
}

impl Server {
    /// Discards all earlier measurements.
    pub fn reset_measurements(&mut self) {
        self.strikes = 0;
        self.tries = 0.0;
        self.dropped = 0.0;
        self.util.clear();
    }
}

#[derive(Clone, Debug, Default)]
pub struct Proxy {
    pub joined: bool,
    pub zone: ZoneIndex,
    /// Sequence number of the join, which orders proxies by when they joined.
    pub join_number: u64,
    pub declared_rate: f64,
    pub calls: f64,
    pub observed_s: f64,
    /// The subset of servers it uses, and when it was given the table of that subset.
    pub subset: Option<usize>,
    pub bound_at: Option<Moment>,
    /// The table it uses until it receives another.
    pub current_table: Option<TableIndex>,
    /// Messages not yet acknowledged, oldest first.
    pub unacknowledged: Vec<SentMessage>,
    pub joined_at: Option<Moment>,
    /// When it last acknowledged a message or was named in a report.
    pub last_heard: Moment,
    pub sent_at: Vec<Moment>,
}

impl Proxy {
    /// Calls per second: the measured rate, with the rate declared at join weighted as `prior_calls` calls.
    /// `None` if neither is known.
    pub fn rate(&self, prior_calls: f64) -> Option<f64> {
        match self.declared_rate {
            declared if declared > 0.0 => {
                Some((self.calls + prior_calls) / (self.observed_s + prior_calls / declared))
            }
            _ => (self.observed_s > 0.0).then(|| self.calls / self.observed_s),
        }
    }

    /// Removes and returns the message with this mark and all earlier ones.
    pub fn take_acknowledged(&mut self, mark: u64) -> impl Iterator<Item = SentMessage> + '_ {
        let acknowledged =
            self.unacknowledged.iter().position(|sent| sent.mark == mark).map_or(0, |at| at + 1);
        self.unacknowledged.drain(..acknowledged)
    }
}

#[derive(Clone, Debug, Default)]
pub struct Table {
    pub lines: Vec<WeightedServer>,
    /// Level step last sent to the proxies.
    pub level_step: Option<usize>,
}

/// Servers used by a group of proxies that share a target: all of them or a subset.
#[derive(Clone, Debug, Default)]
pub struct Subset {
    pub target_index: usize,
    pub full: bool,
    /// Intended number of lines of its table when the subset was created.
    pub width: usize,
    /// Created for proxies of other planners.
    pub crowded: bool,
    pub table: Option<TableIndex>,
    pub servers: BTreeSet<ServerIndex>,
}

impl Table {
    pub fn weight(&self, at: ServerIndex) -> f64 {
        self.lines.iter().find(|line| line.0 == at).map_or(0.0, |line| line.1)
    }

    /// Sets a line; a weight of 0 removes it.
    pub fn set(&mut self, (server, weight): WeightedServer) {
        self.lines.retain(|line| line.0 != server);
        self.lines.extend((weight > 0.0).then_some((server, weight)));
    }
}

#[derive(Clone, Debug, Default)]
pub struct Slice {
    pub assigned: bool,
    pub lines: Vec<WeightedServer>,
    pub paused_until: Option<Moment>,
}

/// Time without a joining proxy from which the number of joined ones is the usual one.
const SETTLING_TIME: Span = Span::millis(3_000);
/// Factor by which the usual number of joined proxies falls at a tick while fewer are joined.
const USUAL_JOINED_DECAY: f64 = 0.996;

/// State of a planner instance.
#[derive(Clone, Debug, Default)]
pub struct State {
    pub servers: Vec<Server>,
    pub proxies: Vec<Proxy>,
    pub join_count: u64,
    pub last_join: Option<Moment>,
    /// The usual number of joined proxies: how many there were when none had joined for a while.
    pub usual_joined: Option<f64>,
    pub tables: Vec<Table>,
    /// Desired contents of each table; the difference to the current contents is sent as changes.
    pub desired: Vec<Vec<WeightedServer>>,
    pub subsets: Vec<Subset>,
    /// Intended lines of a subset's table: with the proxies spread over all planners, and with all proxies
    /// at this one.
    pub subset_widths: Option<[usize; 2]>,
    pub mean_demand: f64,
    pub slices: Vec<Slice>,
    /// Imbalance when the subsets were last grouped into tables.
    pub grouping_imbalance: f64,
    /// Index of the admission levels in force.
    pub level_step: usize,
    /// Recent calls by route.
    pub calls_by_route: Vec<f64>,
    /// Mean utilization of warm servers.
    pub mean_util: f64,
    /// Server weight that one call per second occupies, measured while the fleet was not overloaded.
    pub weight_per_call: Option<f64>,
    pub last_mark: u64,
    /// Recent turns that sent messages, back to the oldest unacknowledged message.
    pub sent: Vec<SentTurn>,
    /// Recently delivered messages, and the latest send time up to which messages have certainly left the
    /// channel.
    pub delivered: Vec<DeliveredMessage>,
    pub delivered_front: Moment,
    /// Last measured throughput of the channel.
    pub throughput: Option<Throughput>,
    /// Lines in the channel by the measured throughput alone, whatever is acknowledged.
    pub backlog: f64,
    /// Messages to proxies that have since left and that may still be queued.
    pub abandoned: Vec<AbandonedMessage>,
    /// Operators' limits on the admitted fraction of each route, and whether they suspended table changes.
    pub route_caps: Vec<f64>,
    pub changes_held: bool,
    /// Reported by other planners: calls per second at their proxies, and the fraction of the load for cold
    /// servers that this planner may use.
    pub other_planners_rate: Option<f64>,
    pub cold_share: Option<f64>,
    /// Servers to probe in this turn.
    pub to_probe: Vec<ServerIndex>,
    pub notes: Vec<String>,
    /// A new plan is due, and whether it must not wait for the push interval.
    pub plan_due: bool,
    pub urgent: bool,
    pub pushed_at: Moment,
    pub planned_at: Moment,
    pub reviewed_at: Moment,
    pub level_changed_at: Moment,
    pub wake_at: Moment,
    pub list_requested_at: Option<Moment>,
}

impl State {
    /// Returns a server's record, creating it on first use.
    pub fn server(&mut self, at: ServerIndex) -> &mut Server {
        if self.servers.len() <= at {
            self.servers.resize(at + 1, Server::default());
        }
        let server = &mut self.servers[at];
        // Any mention restarts the retention time. Otherwise a server that came and went between two checks
        // was released too early.
        (server.in_use, server.unreferenced_since) = (true, None);
        server
    }

    /// Indices of absent servers that no table, subset, slice or pending probe refers to, and since when.
    /// Excludes those that an unacknowledged message may still refer to, because it was sent before the
    /// last reference went away.
    pub fn unreferenced_servers(&mut self, now: Moment) -> Vec<(ServerIndex, Moment)> {
        let mut referenced = vec![false; self.servers.len()];
        let lines = self.tables.iter().map(|table| &table.lines).chain(&self.desired);
        let lines = lines.chain(self.slices.iter().map(|slice| &slice.lines)).flatten().map(|line| line.0);
        let subset_servers = self.subsets.iter().flat_map(|subset| subset.servers.iter().copied());
        lines.chain(subset_servers).chain(self.to_probe.iter().copied()).for_each(|at| referenced[at] = true);
        let oldest_sent = self.proxies.iter().flat_map(|p| &p.unacknowledged).map(|sent| sent.sent_at).min();
        let mut unreferenced = Vec::new();
        for (at, server) in self.servers.iter_mut().enumerate() {
            if referenced[at] || server.state != ServerState::Absent || !server.in_use {
                server.unreferenced_since = None;
                continue;
            }
            let since = *server.unreferenced_since.get_or_insert(now);
            unreferenced.extend(oldest_sent.is_none_or(|sent| sent > since).then_some((at, since)));
        }
        unreferenced
    }

    /// Halves all measurements so that older ones fade out.
    pub fn decay(&mut self) {
        self.calls_by_route.iter_mut().for_each(|calls| *calls /= 2.0);
        for server in &mut self.servers {
            server.util.halve();
            server.tries /= 2.0;
            server.dropped /= 2.0;
        }
        for proxy in &mut self.proxies {
            proxy.calls /= 2.0;
            proxy.observed_s /= 2.0;
        }
    }

    /// Recent tries and dropped tries at the servers that match, counting at least one try.
    pub fn try_totals(&self, counts: impl Fn(&Server) -> bool) -> (f64, f64) {
        let servers = self.servers.iter().filter(|s| counts(s));
        servers.fold((1.0, 0.0), |sum, s| (sum.0 + s.tries, sum.1 + s.dropped))
    }

    /// Mean demand of the proxies whose rate is known.
    pub fn mean_rate(&self, prior_calls: f64) -> f64 {
        let rates = self.proxies.iter().filter_map(|p| p.rate(prior_calls));
        let (sum, count) = rates.fold((0.0, 0), |a, rate| (a.0 + rate, a.1 + 1));
        sum / f64::from(count.max(1))
    }

    /// Total demand of the joined proxies.
    pub fn joined_demand(&self, demand: impl Fn(&Proxy) -> f64) -> f64 {
        self.proxies.iter().filter(|p| p.joined).map(demand).sum()
    }

    /// Proxies that use each table, including those waiting to be given another one.
    pub fn followers(&self) -> Vec<Vec<ProxyIndex>> {
        let mut followers: Vec<Vec<ProxyIndex>> = vec![Vec::new(); self.tables.len()];
        for (at, proxy) in self.proxies.iter().enumerate() {
            proxy.current_table.iter().for_each(|table| followers[*table].push(at));
        }
        followers
    }

    /// The table that a proxy should use.
    pub fn table_of(&self, proxy: &Proxy) -> Option<TableIndex> {
        proxy.subset.and_then(|subset| self.subsets[subset].table)
    }

    /// Assigns a table to a subset. The proxies of the subset then wait to be given it.
    pub fn assign_table(&mut self, subset: usize, table: Option<TableIndex>) {
        if self.subsets[subset].table != table {
            self.subsets[subset].table = table;
            self.proxies.iter_mut().filter(|p| p.subset == Some(subset)).for_each(|p| p.bound_at = None);
        }
    }

    /// Number of proxies in each subset, and their demand.
    pub fn subset_demand(&self, demand: impl Fn(&Proxy) -> f64) -> Vec<(usize, f64)> {
        let mut totals: Vec<(usize, f64)> = vec![(0, 0.0); self.subsets.len()];
        for proxy in self.proxies.iter().filter(|p| p.joined) {
            if let Some(subset) = proxy.subset {
                totals[subset] = (totals[subset].0 + 1, totals[subset].1 + demand(proxy));
            }
        }
        totals
    }

    pub fn record_load(&mut self, at: ServerIndex, edges: &'static [f64], util: Option<f64>, weight: f64) {
        if let Some(util) = util {
            self.server(at).util.add(edges, util, weight);
        }
    }

    /// Applies an event that only changes stored values.
    pub fn apply_event(&mut self, event: &Event) {
        match event {
            Event::ProxyJoined { proxy, zone, calls_per_s } => self.join(*proxy, *zone, *calls_per_s),
            Event::ProxyLeft { proxy } => *self.proxy(*proxy) = Proxy::default(),
            Event::AcknowledgementsLost { proxy } => self.unbind(*proxy),
            Event::Arrivals { proxy, route, calls, period, .. } => {
                self.record_arrivals(*proxy, *route, *calls, *period)
            }
            Event::LimitRoute { route, level } => self.set_route_cap(*route, *level),
            Event::HoldChanges { on } => self.changes_held = *on,
            Event::OtherPlannersRate { calls_per_s } => self.other_planners_rate = *calls_per_s,
            Event::ColdShare { share } => {
                self.plan_due |= std::mem::replace(&mut self.cold_share, *share) != *share
            }
            Event::ReduceWeight { server, by } => {
                let before = std::mem::replace(&mut self.server(*server).weight_reduction, *by);
                self.plan_due |= before != *by;
            }
            Event::SliceAssigned { slice, assigned } => self.assign_slice(*slice, *assigned),
            Event::SliceLine { slice, server, weight } => self.add_slice_line(*slice, *server, *weight),
            _ => {}
        }
    }

    /// Updates the usual number of joined proxies, at each tick. It follows a lower number slowly, so that
    /// proxies that return after a partition do not count as those of other planners.
    pub fn update_usual_joined(&mut self, now: Moment) {
        if self.last_join.is_none_or(|at| now.since(at) < SETTLING_TIME) {
            return;
        }
        let joined = self.proxies.iter().filter(|proxy| proxy.joined).count() as f64;
        let lowest = self.usual_joined.map_or(0.0, |usual| usual * USUAL_JOINED_DECAY);
        self.usual_joined = Some(joined.max(lowest)).filter(|usual| *usual >= 1.0);
    }

    /// Registers a proxy, discarding what was known about an earlier one with this index.
    pub fn join(&mut self, proxy: ProxyIndex, zone: ZoneIndex, declared_rate: f64) {
        self.join_count += 1;
        let join_number = self.join_count;
        *self.proxy(proxy) = Proxy { joined: true, join_number, zone, declared_rate, ..Proxy::default() };
        self.plan_due = true;
    }

    /// The proxy then waits to be given its table again. Its stream has stood, so that the messages on it still
    /// count against their limit: counted from 0, a 13th message followed within a window that allows 12.
    pub fn unbind(&mut self, proxy: ProxyIndex) {
        let record = self.proxy(proxy);
        (record.bound_at, record.current_table) = (None, None);
    }

    /// Changes the limit of a route. The levels of all tables have to be sent again.
    pub fn set_route_cap(&mut self, route: usize, level: f64) {
        self.route_caps.resize(self.route_caps.len().max(route + 1), 1.0);
        if std::mem::replace(&mut self.route_caps[route], level) == level {
            return;
        }
        self.tables.iter_mut().for_each(|table| table.level_step = table.level_step.map(|_| usize::MAX));
    }

    /// All routes report the same period, so only the first one is counted.
    pub fn record_arrivals(&mut self, proxy: ProxyIndex, route: usize, calls: f64, period: Span) {
        self.calls_by_route.resize(self.calls_by_route.len().max(route + 1), 0.0);
        self.calls_by_route[route] += calls;
        let record = self.proxy(proxy);
        record.calls += calls;
        record.observed_s += if route == 0 { period.seconds() } else { 0.0 };
    }

    /// Adds tries to a server's recent counts and returns the sums.
    pub fn record_tries(&mut self, server: ServerIndex, tries: f64, dropped: f64) -> (f64, f64) {
        let record = self.server(server);
        record.tries += tries;
        record.dropped += dropped;
        (record.tries, record.dropped)
    }

    pub fn assign_slice(&mut self, slice: TableIndex, assigned: bool) {
        if self.slices.len() <= slice {
            self.slices.resize(slice + 1, Slice::default());
        }
        self.slices[slice] = Slice { assigned, ..Slice::default() };
    }

    pub fn add_slice_line(&mut self, slice: TableIndex, server: ServerIndex, weight: f64) {
        self.server(server);
        if let Some(slice) = self.slices.get_mut(slice).filter(|slice| slice.assigned) {
            slice.lines.push((server, weight));
        }
    }

    /// Returns a proxy's record, creating it on first use.
    pub fn proxy(&mut self, at: ProxyIndex) -> &mut Proxy {
        if self.proxies.len() <= at {
            self.proxies.resize(at + 1, Proxy::default());
        }
        &mut self.proxies[at]
    }
}

/// A subset with its demand and current table, as input to the grouping.
#[derive(Clone, Copy)]
pub struct GroupMember<'a> {
    pub subset: usize,
    pub demand: f64,
    pub target: &'a [WeightedServer],
    /// The zone within which its zone-bound calls stay, if there are such routes.
    pub bound_zone: Option<ZoneIndex>,
    pub group: Option<TableIndex>,
    /// Its table has to stay narrower than usual, because proxies of other planners have joined this one.
    pub narrow: bool,
    /// Some of its proxies were given the table recently.
    pub settled: bool,
}

/// A planner instance: its configuration, random generator and state. Its methods are in `decide.rs`.
pub struct Planner {
    pub(crate) rng: fastrand::Rng,
    pub(crate) fleet: Fleet,
    pub(crate) routes: Vec<Route>,
    pub(crate) channel: ChannelLimits,
    pub(crate) contract: Contract,
    pub(crate) capabilities: Capabilities,
    pub(crate) slicing: Slicing,
    pub(crate) state: State,
}

impl Planner {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        now: Moment,
        seed: u64,
        fleet: Fleet,
        routes: Vec<Route>,
        channel: ChannelLimits,
        contract: Contract,
        capabilities: Capabilities,
        slicing: Slicing,
    ) -> Planner {
        let state = State {
            planned_at: now,
            reviewed_at: now,
            level_changed_at: now,
            wake_at: now,
            ..State::default()
        };
        let rng = fastrand::Rng::with_seed(seed);
        Planner { rng, fleet, routes, channel, contract, capabilities, slicing, state }
    }
}
