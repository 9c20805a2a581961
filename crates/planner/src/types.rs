//! What the planner is told, what it may order, and what it keeps; nothing here decides.

use crate::histogram::Histogram;
use crate::time::{Moment, Span};
use std::collections::BTreeSet;

/// Indices handed out at the door, one space per instance.
pub type ServerIx = usize;
pub type ProxyIx = usize;
pub type ZoneIx = usize;
pub type TableNo = usize;

/// A server and its weight.
pub type Share = (ServerIx, f64);

/// Where a repeat of a keyed call is dropped.
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
    /// May only go to servers of the proxy's zone.
    pub zone_bound: bool,
    pub writes: bool,
}

/// A level that lets everything in, as a share and as a rate.
pub const UNLIMITED: f64 = 1e9;

/// Whether a route is among the least important ones, where importance differs.
pub fn gives_way(routes: &[Route], at: usize) -> bool {
    let own = routes[at].importance;
    routes.iter().all(|r| r.importance >= own) && routes.iter().any(|r| r.importance > own)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Throttle {
    Fraction,
    PerSecond,
    Off,
}

/// The fleet as it is known at start.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub zones: usize,
    pub proxies: usize,
    pub planners: usize,
    /// The list must be asked for.
    pub list_on_request: bool,
    pub list_request_interval: Span,
    /// What a crossing call costs, in parts of a call's worth.
    pub cross_zone_cost: f64,
    /// Connections that the smallest servers accept, and how long an idle one is kept; 0 where not told.
    pub min_server_connections: f64,
    pub keep_alive: Span,
}

/// Slices, where keys fall into them.
#[derive(Clone, Debug)]
pub struct Slicing {
    pub slices: usize,
    pub exclusive: bool,
    pub write_stop_delay: Span,
    pub write_linger: Span,
}

/// What the channel to the proxies takes.
#[derive(Clone, Debug)]
pub struct ChannelLimits {
    pub message_overhead: f64,
    pub max_queued_lines: f64,
    /// Messages to one proxy within `messages_over`.
    pub max_messages: usize,
    pub message_window: Span,
    pub lines_per_s: f64,
    /// From leaving the channel to reaching the proxy, at most.
    pub max_transit: Span,
}

/// The figures of the rules.
#[derive(Clone, Debug)]
pub struct Contract {
    pub drain_grace: Span,
    /// Leaving the list binds as draining does.
    pub removal_is_binding: bool,
    pub cold_capacity: f64,
    pub warmup: Span,
    /// A cold server falls when sent this many times what it can do.
    pub overload_factor: f64,
    /// For so long, that is.
    pub overload_time: Span,
}

/// What proxies and servers let the planner do and see.
#[derive(Clone, Debug)]
pub struct Capabilities {
    pub throttle: Throttle,
    pub probes: bool,
    /// Load reports come with probes only.
    pub load_on_probe: bool,
    /// Proxies keep away from servers that fail them several times in a row.
    pub ejects_servers: bool,
    /// How many times the SLO time a try waits before another may follow.
    pub resend_wait_factor: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    Running,
    Stopping,
    Deleted,
}

#[derive(Clone, Debug)]
pub struct ListEntry {
    pub server: ServerIx,
    pub zone: ZoneIx,
    pub cell: u64,
    pub state: ListedState,
    pub weight: f64,
    pub last_start: Option<Moment>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    Changes,
    Complete,
    /// The complete list as last held, possibly old.
    Kept,
    Failed,
}

/// A load report; what a site does not tell is absent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    pub util: Option<f64>,
    pub in_flight: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    Answered,
    /// Turned away: alive, but not at ease.
    Rejected,
    /// Answered with an error.
    Error,
    /// No answer in time: dead, cut off, or only busy.
    TimedOut,
    /// Nothing there to talk to.
    Unreachable,
}

#[derive(Clone, Debug)]
pub enum Event {
    List {
        kind: ListKind,
        entries: Vec<ListEntry>,
    },
    ProxyJoined {
        proxy: ProxyIx,
        zone: ZoneIx,
        calls_per_s: f64,
    },
    ProxyLeft {
        proxy: ProxyIx,
    },
    ServerStats {
        server: ServerIx,
        zone: ZoneIx,
        tries: f64,
        dropped: f64,
        mean_latency: Span,
        period: Span,
        load: Load,
    },
    Arrivals {
        proxy: ProxyIx,
        route: usize,
        calls: f64,
        dropped: f64,
        period: Span,
    },
    ProbeEnded {
        server: ServerIx,
        outcome: ProbeOutcome,
        load: Load,
    },
    Applied {
        proxy: ProxyIx,
        mark: u64,
    },
    SliceAssigned {
        slice: TableNo,
        assigned: bool,
    },
    /// An operator lets in no more than this part of a route's calls; 1 takes that back.
    LimitRoute {
        route: usize,
        level: f64,
    },
    /// An operator holds all changes of tables but removals, or lets them go on.
    HoldChanges {
        on: bool,
    },
    SliceLine {
        slice: TableNo,
        server: ServerIx,
        weight: f64,
    },
    /// Calls per second at the proxies of all other planners; none: nobody knows.
    OtherPlannersRate {
        calls_per_s: Option<f64>,
    },
    /// Of what all proxies may bring a cold server, the part that those of this planner may; none: nobody has parted it.
    ColdShare {
        share: Option<f64>,
    },
    /// Others saw a server do badly: it is to weigh less by this part, 0 takes that back.
    ReduceWeight {
        server: ServerIx,
        by: f64,
    },
    Tick,
}

/// When a proxy tries another server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResendPolicy {
    Never,
    IfNeverRan,
    Once,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    SetLine {
        table: TableNo,
        server: ServerIx,
        weight: f64,
    },
    Bind {
        proxy: ProxyIx,
        table: TableNo,
        routes: u64,
    },
    SetLevel {
        table: TableNo,
        routes: u64,
        level: f64,
        resend: ResendPolicy,
    },
    Mark {
        mark: u64,
    },
    Probe {
        server: ServerIx,
    },
    Wake {
        at: Moment,
    },
    Subscribe,
    /// Nothing names this place any more: its server's name is given up, the next new one may have the place.
    ReleaseServer {
        server: ServerIx,
    },
    /// For the people on call.
    Log {
        text: String,
    },
}

/// Where a server stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stand {
    #[default]
    Gone,
    Open,
    Suspect,
    Out,
    Draining,
    /// Newly listed, and not yet seen to answer.
    Fresh,
}

/// What is learned of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    Runs,
    /// Listed as running by a later list, unknown or gone before.
    Appears,
    /// Listed with a later start than known.
    Restarted,
    Stops,
    Gone,
    /// No longer listed, where that does not bind.
    Unlisted,
    SumsBad,
    SumsGood,
    ProbeGood,
    /// No answer in time: it may only be busy.
    ProbeSilent,
    /// Something answers, but not as a server of ours should.
    ProbeErring,
    ProbeDead,
    Confirmed,
    Recovered,
}

/// What follows from a sign.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Let in by its listed start.
    Enter,
    /// Let in as if it had started now: what it went through is not known.
    Return,
    Remove,
    /// Ask the server itself.
    Ask,
    /// One more probe in a row that points the same way.
    Strike,
    /// Enough strikes at once.
    Condemn,
    Pardon,
}

#[derive(Clone, Debug, Default)]
pub struct Server {
    pub stand: Stand,
    pub zone: ZoneIx,
    pub weight: f64,
    /// Last start as listed or, after an outage, as seen by probes.
    pub started: Option<Moment>,
    pub strikes: usize,
    pub probed: Option<Moment>,
    pub util: Histogram,
    pub tries: f64,
    pub dropped: f64,
    /// Step of the correction to the listed weight, and how often a review asked for another.
    pub step: i32,
    pub asked: i32,
    /// By which part it weighs less for what others saw.
    pub lighter: f64,
    /// Somebody has it; and since when nothing but the place itself remembers the server.
    pub taken: bool,
    pub left: Option<Moment>,
}

impl Server {
    /// Nothing measured before counts any more.
    pub fn forget(&mut self) {
        self.strikes = 0;
        self.tries = 0.0;
        self.dropped = 0.0;
        self.util.clear();
    }
}

#[derive(Clone, Debug, Default)]
pub struct Proxy {
    pub joined: bool,
    pub zone: ZoneIx,
    /// Joins counted when it joined: the order in which proxies came.
    pub joins: u64,
    pub first_guess: f64,
    pub calls: f64,
    pub over: f64,
    /// The part of the servers it goes to, and when it was given that one's table.
    pub part: Option<usize>,
    pub bound: Option<Moment>,
    /// The table it follows until it is given another.
    pub holds: Option<TableNo>,
    /// Messages not known to have arrived: mark, lines, when ordered.
    pub unapplied: Vec<(u64, f64, Moment)>,
    pub told: Vec<Moment>,
}

impl Proxy {
    /// Calls per second: as heard, the figure told when it joined counting for so many calls; nothing if
    /// neither is known.
    pub fn rate(&self, guess_calls: f64) -> Option<f64> {
        match self.first_guess {
            guess if guess > 0.0 => Some((self.calls + guess_calls) / (self.over + guess_calls / guess)),
            _ => (self.over > 0.0).then(|| self.calls / self.over),
        }
    }

    /// The message with this mark and all before it have arrived.
    pub fn applied(&mut self, mark: u64) -> impl Iterator<Item = (u64, f64, Moment)> + '_ {
        let done = self.unapplied.iter().position(|sent| sent.0 == mark).map_or(0, |at| at + 1);
        self.unapplied.drain(..done)
    }
}

#[derive(Clone, Debug, Default)]
pub struct Table {
    pub lines: Vec<Share>,
    /// Level step and resends as last set.
    pub gates: Option<usize>,
}

/// Servers that a group of proxies of a class goes to; the whole of them or some.
#[derive(Clone, Debug, Default)]
pub struct Part {
    pub class: usize,
    pub whole: bool,
    /// Lines that its table was to have when the part was made.
    pub width: usize,
    pub table: Option<TableNo>,
    pub servers: BTreeSet<ServerIx>,
}

impl Table {
    pub fn weight(&self, at: ServerIx) -> f64 {
        self.lines.iter().find(|line| line.0 == at).map_or(0.0, |line| line.1)
    }

    /// Sets a line; a weight of 0 removes it.
    pub fn set(&mut self, (server, weight): Share) {
        self.lines.retain(|line| line.0 != server);
        self.lines.extend((weight > 0.0).then_some((server, weight)));
    }
}

#[derive(Clone, Debug, Default)]
pub struct Slice {
    pub given: bool,
    pub lines: Vec<Share>,
    pub held_until: Option<Moment>,
}

/// A channel is not taken for slower than this part of its pace: it could not be seen to be quick again.
const SLOWEST: f64 = 0.02;

/// All that an instance remembers.
#[derive(Clone, Debug, Default)]
pub struct State {
    pub servers: Vec<Server>,
    pub proxies: Vec<Proxy>,
    pub joins: u64,
    pub tables: Vec<Table>,
    /// What each table should hold; deltas lead there.
    pub wanted: Vec<Vec<Share>>,
    pub parts: Vec<Part>,
    /// Lines of a table that goes to a part of the servers, among all planners and with all proxies come here.
    pub widths: Option<[usize; 2]>,
    /// Mean demand of a proxy.
    pub average: f64,
    pub slices: Vec<Slice>,
    /// Imbalance when the proxies were last grouped.
    pub packed: f64,
    /// Step of the levels.
    pub step: usize,
    /// Calls by route, lately.
    pub by_route: Vec<f64>,
    /// How busy warm servers are on average.
    pub common: f64,
    /// Weight that one call a second keeps busy, as seen while the fleet was at ease.
    pub work: Option<f64>,
    pub mark: u64,
    /// Lines ordered lately, by turn, back to the oldest message that has not arrived.
    pub ordered: Vec<(Moment, f64)>,
    /// Messages that arrived lately: when, ordered when, lines. And the newest order that surely has left.
    pub arrived: Vec<(Moment, Moment, f64)>,
    pub front: Moment,
    /// Lines a second that the channel was last seen to take.
    pub pace: Option<f64>,
    /// Lines for proxies that have left, and until when they count as waiting: nobody will confirm them.
    pub departed: Vec<(Moment, f64)>,
    /// What operators let in of each route at most, and whether they hold changes of tables.
    pub caps: Vec<f64>,
    pub held: bool,
    /// What other planners told: calls per second at their proxies; the part of a cold server's budget that is ours.
    pub elsewhere: Option<f64>,
    pub share: Option<f64>,
    /// Servers to probe in this turn.
    pub ask: Vec<ServerIx>,
    pub notes: Vec<String>,
    /// Something changed; and it cannot wait.
    pub stirred: bool,
    pub pressed: bool,
    pub pushed: Moment,
    pub planned: Moment,
    pub reviewed: Moment,
    pub leveled: Moment,
    pub woken: Moment,
    pub asked_list: Option<Moment>,
}

impl State {
    /// A server's record, made at first sight.
    pub fn server(&mut self, at: ServerIx) -> &mut Server {
        if self.servers.len() <= at {
            self.servers.resize(at + 1, Server::default());
        }
        let server = &mut self.servers[at];
        // Whoever speaks of it begins its time anew: one that came and went between two looks was forgotten early.
        (server.taken, server.left) = (true, None);
        server
    }

    /// Places taken by servers that are gone and stand in no table, part, slice or question, since when. Those
    /// that a message under way may name are none of them: it is older than the place is bare.
    pub fn bare(&mut self, now: Moment) -> Vec<(ServerIx, Moment)> {
        let mut named = vec![false; self.servers.len()];
        let lines = self.tables.iter().map(|table| &table.lines).chain(&self.wanted);
        let lines = lines.chain(self.slices.iter().map(|slice| &slice.lines)).flatten().map(|line| line.0);
        let parts = self.parts.iter().flat_map(|part| part.servers.iter().copied());
        lines.chain(parts).chain(self.ask.iter().copied()).for_each(|at| named[at] = true);
        let under_way = self.proxies.iter().flat_map(|p| &p.unapplied).map(|sent| sent.2).min();
        let mut bare = Vec::new();
        for (at, server) in self.servers.iter_mut().enumerate() {
            if named[at] || server.stand != Stand::Gone || !server.taken {
                server.left = None;
                continue;
            }
            let left = *server.left.get_or_insert(now);
            bare.extend(under_way.is_none_or(|ordered| ordered > left).then_some((at, left)));
        }
        bare
    }

    /// Halves what was measured, so that it fades.
    pub fn halve(&mut self) {
        self.by_route.iter_mut().for_each(|calls| *calls /= 2.0);
        for server in &mut self.servers {
            server.util.halve();
            server.tries /= 2.0;
            server.dropped /= 2.0;
        }
        for proxy in &mut self.proxies {
            proxy.calls /= 2.0;
            proxy.over /= 2.0;
        }
    }

    /// Tries and dropped ones, lately, at the servers that count; at least one try.
    pub fn tally(&self, counts: impl Fn(&Server) -> bool) -> (f64, f64) {
        let servers = self.servers.iter().filter(|s| counts(s));
        servers.fold((1.0, 0.0), |sum, s| (sum.0 + s.tries, sum.1 + s.dropped))
    }

    /// Mean demand of the proxies of which something is known.
    pub fn mean_rate(&self, guess_calls: f64) -> f64 {
        let rates = self.proxies.iter().filter_map(|p| p.rate(guess_calls));
        let (sum, count) = rates.fold((0.0, 0), |a, rate| (a.0 + rate, a.1 + 1));
        sum / f64::from(count.max(1))
    }

    /// What joined proxies ask together.
    pub fn seen(&self, demand: impl Fn(&Proxy) -> f64) -> f64 {
        self.proxies.iter().filter(|p| p.joined).map(demand).sum()
    }

    /// Marks the messages of a turn, by what each proxy's costs, so that their arrival will be told.
    pub fn mark_messages(&mut self, now: Moment, costs: &[f64], kept: Span) -> Option<Action> {
        let mark = (self.mark + 1) % 65_536;
        let lines: f64 = costs.iter().sum();
        self.ordered.extend((lines > 0.0).then_some((now, lines)));
        for (proxy, cost) in self.proxies.iter_mut().zip(costs).filter(|(_, cost)| **cost > 0.0) {
            self.mark = mark;
            proxy.unapplied.push((mark, *cost, now));
            proxy.told.retain(|told| now.since(*told) <= kept);
            proxy.told.push(now);
        }
        (self.mark == mark).then_some(Action::Mark { mark })
    }

    /// Lines on their way to proxies, at most. While marks come back within the time a full channel takes to
    /// empty, what they have not confirmed; beyond it all that was ordered after the oldest such message:
    /// once streams have broken, later messages overtake those that stay.
    pub fn queued(&mut self, now: Moment, full: Span) -> f64 {
        self.departed.retain(|left| left.0 > now);
        let waiting = self.proxies.iter().flat_map(|p| &p.unapplied);
        let held = waiting.clone().map(|sent| sent.1).chain(self.departed.iter().map(|left| left.1)).sum();
        let oldest = waiting.map(|sent| sent.2).min().unwrap_or(now);
        self.ordered.retain(|turn| turn.0 >= oldest);
        let since = self.ordered.iter().map(|turn| turn.1).sum();
        if now.since(oldest) > full {
            f64::max(held, since)
        } else {
            held
        }
    }

    pub fn applied(&mut self, now: Moment, proxy: ProxyIx, mark: u64) {
        let done: Vec<(u64, f64, Moment)> = self.proxy(proxy).applied(mark).collect();
        self.arrived.extend(done.into_iter().map(|sent| (now, sent.2, sent.1)));
    }

    /// Lines a second that the channel takes. Messages leave in the order they were ordered in: since the
    /// oldest that may still stand in it the channel was never idle, and what arrived since tells how fast it
    /// is. One that was overtaken a whole way ago is lost or its proxy stands still. `way`: there and back.
    pub fn measure_pace(&mut self, now: Moment, way: Span, stated: f64) -> f64 {
        let old = |arrived: &&(Moment, Moment, f64)| now.since(arrived.0) > way;
        let left = self.arrived.iter().filter(old).map(|arrived| arrived.1).max();
        self.front = self.front.max(left.unwrap_or(self.front));
        let standing = self.proxies.iter().flat_map(|p| &p.unapplied).map(|sent| sent.2);
        let oldest = standing.filter(|ordered| *ordered > self.front).min().unwrap_or(now);
        self.arrived.retain(|arrived| arrived.0 >= oldest || now.since(arrived.0) <= way);
        let before = self.pace.unwrap_or(stated);
        let span = now.since(self.pushed).seconds();
        let busy = now.since(oldest).seconds() - way.seconds();
        let since = self.arrived.iter().filter(|arrived| arrived.0 >= oldest).map(|arrived| arrived.2);
        let pace = if busy > 0.0 { since.sum::<f64>() / busy } else { before * (1.0 + span) };
        let pace = pace.clamp(SLOWEST * stated, stated);
        self.pace = Some(pace);
        pace
    }

    /// A proxy leaves, or comes anew: what was on its way stays in the channel for a while.
    pub fn depart(&mut self, at: ProxyIx, until: Moment) {
        let lines: f64 = self.proxy(at).unapplied.drain(..).map(|sent| sent.1).sum();
        self.departed.extend((lines > 0.0).then_some((until, lines)));
    }

    /// The proxies that follow each table, also where they wait to be given another.
    pub fn users(&self) -> Vec<Vec<ProxyIx>> {
        let mut users: Vec<Vec<ProxyIx>> = vec![Vec::new(); self.tables.len()];
        for (at, proxy) in self.proxies.iter().enumerate() {
            proxy.holds.iter().for_each(|table| users[*table].push(at));
        }
        users
    }

    /// The table a proxy should have.
    pub fn table(&self, proxy: &Proxy) -> Option<TableNo> {
        proxy.part.and_then(|part| self.parts[part].table)
    }

    /// Puts a part on a table; its proxies wait to be given it.
    pub fn move_part(&mut self, part: usize, table: Option<TableNo>) {
        if self.parts[part].table != table {
            self.parts[part].table = table;
            self.proxies.iter_mut().filter(|p| p.part == Some(part)).for_each(|p| p.bound = None);
        }
    }

    /// Proxies in each part, and what they ask.
    pub fn held(&self, demand: impl Fn(&Proxy) -> f64) -> Vec<(usize, f64)> {
        let mut held: Vec<(usize, f64)> = vec![(0, 0.0); self.parts.len()];
        for proxy in self.proxies.iter().filter(|p| p.joined) {
            if let Some(part) = proxy.part {
                held[part] = (held[part].0 + 1, held[part].1 + demand(proxy));
            }
        }
        held
    }

    pub fn note_load(&mut self, at: ServerIx, edges: &'static [f64], util: Option<f64>, times: f64) {
        if let Some(util) = util {
            self.server(at).util.add(edges, util, times);
        }
    }

    /// What needs no more than to be kept.
    pub fn note(&mut self, event: &Event) {
        match event {
            Event::ProxyJoined { proxy, zone, calls_per_s } => self.join(*proxy, *zone, *calls_per_s),
            Event::ProxyLeft { proxy } => *self.proxy(*proxy) = Proxy::default(),
            Event::Arrivals { proxy, route, calls, period: over, .. } => {
                self.arrive(*proxy, *route, *calls, *over)
            }
            Event::LimitRoute { route, level } => self.cap(*route, *level),
            Event::HoldChanges { on } => self.held = *on,
            Event::OtherPlannersRate { calls_per_s: calls } => self.elsewhere = *calls,
            Event::ColdShare { share: part } => {
                self.stirred |= std::mem::replace(&mut self.share, *part) != *part
            }
            Event::ReduceWeight { server, by: part } => {
                let before = std::mem::replace(&mut self.server(*server).lighter, *part);
                self.stirred |= before != *part;
            }
            Event::SliceAssigned { slice, assigned: given } => self.give_slice(*slice, *given),
            Event::SliceLine { slice, server, weight } => self.slice_line(*slice, *server, *weight),
            _ => {}
        }
    }

    /// A proxy joined: nothing known of it before counts.
    pub fn join(&mut self, proxy: ProxyIx, zone: ZoneIx, first_guess: f64) {
        self.joins += 1;
        let joins = self.joins;
        *self.proxy(proxy) = Proxy { joined: true, joins, zone, first_guess, ..Proxy::default() };
        self.stirred = true;
    }

    /// A cap changes: all tables are to be told their levels anew.
    pub fn cap(&mut self, route: usize, level: f64) {
        self.caps.resize(self.caps.len().max(route + 1), 1.0);
        if std::mem::replace(&mut self.caps[route], level) == level {
            return;
        }
        self.tables.iter_mut().for_each(|table| table.gates = table.gates.map(|_| usize::MAX));
    }

    /// Every route tells of the same period; the first stands for all.
    pub fn arrive(&mut self, proxy: ProxyIx, route: usize, calls: f64, over: Span) {
        self.by_route.resize(self.by_route.len().max(route + 1), 0.0);
        self.by_route[route] += calls;
        let known = self.proxy(proxy);
        known.calls += calls;
        known.over += if route == 0 { over.seconds() } else { 0.0 };
    }

    /// Adds tries to a server's count and answers with its counts of late.
    pub fn note_tries(&mut self, server: ServerIx, tries: f64, dropped: f64) -> (f64, f64) {
        let known = self.server(server);
        known.tries += tries;
        known.dropped += dropped;
        (known.tries, known.dropped)
    }

    pub fn give_slice(&mut self, slice: TableNo, given: bool) {
        if self.slices.len() <= slice {
            self.slices.resize(slice + 1, Slice::default());
        }
        self.slices[slice] = Slice { given, ..Slice::default() };
    }

    pub fn slice_line(&mut self, slice: TableNo, server: ServerIx, weight: f64) {
        self.server(server);
        if let Some(slice) = self.slices.get_mut(slice).filter(|slice| slice.given) {
            slice.lines.push((server, weight));
        }
    }

    /// A proxy's record, made at first sight.
    pub fn proxy(&mut self, at: ProxyIx) -> &mut Proxy {
        if self.proxies.len() <= at {
            self.proxies.resize(at + 1, Proxy::default());
        }
        &mut self.proxies[at]
    }
}

/// Proxies of one target and table, as the grouping sees them.
pub struct Member<'a> {
    pub part: usize,
    pub demand: f64,
    pub target: &'a [Share],
    pub group: Option<TableNo>,
    /// Some of them were given the table lately.
    pub settled: bool,
}

/// One instance: what it read at start, its chance and its state. `decide.rs` has what it does.
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
        let state = State { planned: now, reviewed: now, leveled: now, woken: now, ..State::default() };
        let rng = fastrand::Rng::with_seed(seed);
        Planner { rng, fleet, routes, channel, contract, capabilities, slicing, state }
    }
}
