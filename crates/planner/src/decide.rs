//! All decisions of the planner. Call `Planner::new` once per start, then `turn` with each batch of events
//! and its clock; carry out the orders in their order. Events, orders and state are in `types.rs`.
//! The ordinary path is Niagara's (docs/design.md): targets by listed weight, demand-weighted k-means into
//! few shared tables, greedy trimming, rounding within the error, paced deltas. Health, ramp, return,
//! levels and the guards of the five rules are ours.

use crate::time::{Moment, Span};
use crate::types::*;

const TICK: Span = Span::millis(500);
const PERIOD: Span = Span::millis(3_000);
const REVIEW: Span = Span::millis(2_500);
const REBIND: Span = Span::millis(60_000);
/// Ordinary messages keep this far apart; removals need not wait.
const GAP: Span = Span::millis(900);
/// Imbalance, as part of all demand, below which a grouping or a table is left as it is.
const MARGIN: f64 = 0.02;
/// Three binary digits are kept of a weight, so that it stays within the error of its own value.
const DIGITS: f64 = 8.0;
/// Lines under this part of the average share may be trimmed.
const THIN: f64 = 0.1;
/// What a cold server gets, by quarters of the longest warm-up; it enters at the design's quarter; most are
/// warm well before the longest time. What it is sure to carry is kept by `shield_cold`.
const RAMP: [f64; 5] = [0.25, 0.5, 0.75, 1.0, 1.0];
/// Part of what would topple a cold server that it may be sent, at ease and in a full fleet, where what it is
/// sent swings; 0.5 throughout was pushed over on overloaded deploys.
const SAFE: (f64, f64) = (0.6, 0.33);
/// Seconds of a server's work in a fall's budget from which chance evens out; a shorter one is used less.
const EVEN: f64 = 8.0;
/// Part of all tries dropped from which proxies that shun servers would heap their calls on cold ones.
const SHUNNED: f64 = 0.2;
const HEAPED: f64 = 2.0;
/// How busy a zone may get before it sends calls away.
const COMFORT: f64 = 0.6;
/// From the first price on calls are kept at home, at the second all of them, as far as the planner hears all
/// proxies and can tell what each zone is asked; the rest goes everywhere by weight, where errors even out.
const CHEAP: f64 = 0.02;
const DEAR: f64 = 0.06;
const UTIL_EDGES: &[f64] = &[0.2, 0.35, 0.5, 0.6, 0.7, 0.8, 0.9, 0.97];
/// Coarse corrections to listed weights, for servers that stay far busier or idler than the rest.
const CORRECTIONS: [f64; 7] = [0.3, 0.45, 0.6, 0.8, 1.0, 1.25, 1.5];
const UNCORRECTED: usize = 4;
/// Sums suggest trouble when at least so many tries, and such a part of them, were dropped.
const BAD_TRIES: f64 = 3.0;
const BAD_PART: f64 = 0.85;
const GOOD_PART: f64 = 0.2;
/// Dead probes in a row that confirm it.
const CONFIRM: usize = 2;
/// Servers are not shut out when less than this part of the listed weight would remain.
const QUORUM: f64 = 0.25;
/// Level of the least important route and of the others, by step.
const LEVELS: [(f64, f64); 6] = [(1.0, 1.0), (0.6, 1.0), (0.35, 1.0), (0.2, 1.0), (0.1, 0.8), (0.05, 0.55)];
const UNLIMITED: f64 = 1e9;
/// Dropped parts of the tries at live servers that close the levels by one step and by two.
const DROPS_SOME: f64 = 0.12;
const DROPS_MANY: f64 = 0.3;
/// How busy a full fleet is, one that may open its levels, and how busy levels let it become.
const BUSY: f64 = 0.9;
const AT_EASE: f64 = 0.75;
const ROOM: f64 = 0.7;

use Effect::*;
use Sign::*;
use Stand::{Draining, Open, Out, Suspect};

/// What a sign does to a server; a pair that is not listed changes nothing. A listed restart of one that is
/// shut out only tells when it started: a list knows that a process runs, probes bring the server back.
const STANDS: &[(&[Stand], Sign, Stand, Effect)] = &[
    (&[Stand::Gone, Draining], Runs, Open, Enter),
    (&[Stand::Gone, Draining, Open, Suspect], Restarted, Open, Enter),
    (&[Out], Restarted, Out, Ask),
    (&[Stand::Gone, Open, Suspect, Out], Stops, Draining, Remove),
    (&[Open, Suspect, Out, Draining], Sign::Gone, Stand::Gone, Remove),
    (&[Open], SumsBad, Suspect, Ask),
    (&[Suspect], SumsGood, Open, Pardon),
    (&[Open, Suspect], ProbeGood, Open, Pardon),
    (&[Open], ProbeSilent, Open, Strike),
    (&[Open], ProbeDead, Open, Condemn),
    (&[Suspect], ProbeSilent, Suspect, Strike),
    (&[Suspect], ProbeDead, Suspect, Condemn),
    (&[Suspect], Confirmed, Out, Remove),
    (&[Out], ProbeGood, Out, Strike),
    (&[Out], ProbeSilent, Out, Pardon),
    (&[Out], ProbeDead, Out, Pardon),
    (&[Out], Recovered, Open, Return),
];

pub struct Planner {
    rng: fastrand::Rng,
    fleet: Fleet,
    routes: Vec<Route>,
    channel: Channel,
    pledge: Pledge,
    reach: Reach,
    slicing: Slicing,
    state: State,
}

impl Planner {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        now: Moment,
        seed: u64,
        fleet: Fleet,
        routes: Vec<Route>,
        channel: Channel,
        pledge: Pledge,
        reach: Reach,
        slicing: Slicing,
    ) -> Planner {
        Planner {
            rng: fastrand::Rng::with_seed(seed),
            fleet,
            routes,
            channel,
            pledge,
            reach,
            slicing,
            state: State::new(UTIL_EDGES, UNCORRECTED, now),
        }
    }

    /// Takes in a batch and answers with orders.
    pub fn turn(&mut self, now: Moment, events: &[Event]) -> Vec<Order> {
        let mut orders = Vec::new();
        events.iter().for_each(|event| self.hear(now, event));
        if now >= self.state.woken {
            self.upkeep(now);
            // Planners that started together should not probe and push in step.
            self.state.woken = now + TICK.times(0.9 + 0.2 * self.rng.f64());
            orders.push(Order::Wake { at: self.state.woken });
            let due = |at: Moment| now.since(at) > self.fleet.ask_within.times(0.4);
            if self.fleet.on_request && self.state.asked_list.is_none_or(due) {
                self.state.asked_list = Some(now);
                orders.push(Order::Subscribe);
            }
        }
        if self.slicing.slices > 0 {
            self.mend_slices(now, &mut orders);
        } else {
            if self.state.stirred || now.since(self.state.planned) >= PERIOD {
                self.plan(now);
            }
            self.push(now, &mut orders);
        }
        if self.reach.probes {
            for server in std::mem::take(&mut self.state.ask) {
                self.state.servers[server].probed = Some(now);
                orders.push(Order::Probe { server });
            }
        }
        orders
    }

    fn hear(&mut self, now: Moment, event: &Event) {
        match event {
            Event::List { kind, entries } => self.hear_list(now, *kind, entries),
            Event::Joined { proxy, zone, calls_per_s } => self.state.join(*proxy, *zone, *calls_per_s),
            Event::Left { proxy } => *self.state.proxy(*proxy) = Proxy::default(),
            Event::Sums { server, tries, dropped, load, .. } => {
                self.state.note_load(*server, load.util, *tries);
                let (tries, dropped) = self.state.note_tries(*server, *tries, *dropped);
                if dropped >= BAD_TRIES && dropped >= BAD_PART * tries {
                    self.sign(now, *server, SumsBad, None);
                } else if tries >= BAD_TRIES && dropped < GOOD_PART * tries {
                    self.sign(now, *server, SumsGood, None);
                }
            }
            Event::Arrivals { proxy, route, calls, over, .. } => {
                self.state.arrive(*proxy, *route, *calls, *over)
            }
            Event::Probed { server, end, load } => {
                self.state.server(*server);
                // Where a probe waits its turn, no answer in time is the only word of a full queue.
                let full = self.reach.load_on_probe && *end == ProbeEnd::Silent;
                self.state.note_load(*server, if full { Some(1.0) } else { load.util }, 1.0);
                let sign = match end {
                    ProbeEnd::Answered | ProbeEnd::Refused => ProbeGood,
                    // Where all are late, one more late answer says nothing of this server.
                    ProbeEnd::Silent if self.strained() => return,
                    ProbeEnd::Silent => ProbeSilent,
                    ProbeEnd::Dead => ProbeDead,
                };
                self.sign(now, *server, sign, None);
                let server = *server;
                let again = self.state.servers[server].stand == Out;
                let confirmed = self.state.servers[server].strikes >= CONFIRM;
                if confirmed && (again || self.may_shut_out(now, server)) {
                    self.sign(now, server, if again { Recovered } else { Confirmed }, None);
                }
            }
            Event::Applied { proxy, mark } => self.state.proxy(*proxy).applied(*mark),
            Event::SliceGiven { slice, given } => self.state.give_slice(*slice, *given),
            Event::SliceLine { slice, server, weight } => self.state.slice_line(*slice, *server, *weight),
            Event::Tick => {}
        }
    }

    fn hear_list(&mut self, now: Moment, kind: ListKind, entries: &[Entry]) {
        if kind == ListKind::Failed {
            self.state.asked_list = None;
            return;
        }
        for entry in entries {
            let server = self.state.server(entry.server);
            server.zone = entry.zone;
            server.weight = if entry.weight > 0.0 { entry.weight } else { 1.0 };
            let restarted = entry.last_start.is_some() && entry.last_start > server.started;
            let sign = match entry.state {
                Listed::Running if restarted => Restarted,
                Listed::Running => Runs,
                Listed::Stopping => Stops,
                Listed::Deleted => Sign::Gone,
            };
            self.sign(now, entry.server, sign, entry.last_start);
        }
        if kind != ListKind::Changes {
            let absent = |at: &ServerIx| !entries.iter().any(|entry| entry.server == *at);
            for at in (0..self.state.servers.len()).filter(absent) {
                self.sign(now, at, Sign::Gone, None);
            }
        }
    }

    /// Reads the table of stands and carries the effect out.
    fn sign(&mut self, now: Moment, at: ServerIx, sign: Sign, start: Option<Moment>) {
        let stand = self.state.servers[at].stand;
        let Some((_, _, next, effect)) = STANDS.iter().find(|r| r.0.contains(&stand) && r.1 == sign) else {
            return;
        };
        let server = &mut self.state.servers[at];
        server.stand = *next;
        match effect {
            Enter | Return | Remove => {
                server.started = if *effect == Return { Some(now) } else { start.or(server.started) };
                server.forget();
                self.state.stirred = true;
            }
            Ask => {
                server.started = start.or(server.started);
                self.state.ask.push(at);
            }
            Strike | Condemn => {
                server.strikes += if *effect == Condemn { CONFIRM } else { 1 };
                self.state.stirred |= server.strikes >= CONFIRM;
            }
            Pardon if stand == Suspect => server.forget(),
            Pardon => {
                self.state.stirred |= server.strikes >= CONFIRM;
                server.strikes = 0;
            }
        }
    }

    /// Hardly any server answers as it should: the fleet is overloaded or the planner is blind.
    fn strained(&self) -> bool {
        let servers = self.state.servers.iter().filter(|s| matches!(s.stand, Open | Suspect));
        let tried: Vec<&Server> = servers.filter(|s| s.tries >= BAD_TRIES).collect();
        let fine = tried.iter().filter(|s| s.dropped < DROPS_MANY * s.tries).count();
        tried.len() > 1 && (fine as f64) < QUORUM * tried.len() as f64
    }

    /// Tries and dropped ones, lately, at the servers that count.
    fn tally(&self, counts: impl Fn(&Server) -> bool) -> (f64, f64) {
        let servers = self.state.servers.iter().filter(|s| counts(s));
        servers.fold((1.0, 0.0), |sum, s| (sum.0 + s.tries, sum.1 + s.dropped))
    }

    /// A planner behind a cut sees all others dead; without this it would heap all on what it still sees.
    fn may_shut_out(&self, now: Moment, at: ServerIx) -> bool {
        // What drains has its successor listed already.
        let stays = |s: &&Server| !matches!(s.stand, Stand::Gone | Draining);
        let listed: f64 = self.state.servers.iter().filter(stays).map(|s| s.weight).sum();
        let others = (0..self.state.servers.len()).filter(|other| *other != at);
        let left: f64 = others.map(|other| self.carries(now, other)).sum();
        left >= QUORUM * listed
    }

    fn warmth(&self, now: Moment, at: ServerIx) -> usize {
        let Some(started) = self.state.servers[at].started else { return RAMP.len() - 1 };
        let gone = now.since(started).seconds() / self.pledge.cold_for.seconds().max(1e-9);
        ((gone * 4.0) as usize).min(RAMP.len() - 1)
    }

    /// The weight a server may be given now: listed, corrected, eased in; nothing if it is not usable.
    fn carries(&self, now: Moment, at: ServerIx) -> f64 {
        let server = &self.state.servers[at];
        match server.stand {
            // Probes alone don't shut out, but one that nobody answers is not sent its whole share meanwhile.
            Open | Suspect if server.strikes >= CONFIRM => RAMP[0] * server.weight * CORRECTIONS[server.step],
            Open | Suspect => server.weight * CORRECTIONS[server.step] * RAMP[self.warmth(now, at)],
            _ => 0.0,
        }
    }

    /// A proxy not heard from counts as the average of the others.
    fn demand(&self, proxy: &Proxy) -> f64 {
        let rates: Vec<f64> = self.state.proxies.iter().filter_map(Proxy::rate).collect();
        proxy.rate().unwrap_or(rates.iter().sum::<f64>() / rates.len().max(1) as f64).max(1e-6)
    }

    /// Calls per second at all proxies; those of other planners count as average.
    fn calls(&self) -> f64 {
        let joined = self.state.proxies.iter().filter(|p| p.joined);
        let (seen, count) = joined.fold((0.0, 0), |a, p| (a.0 + self.demand(p), a.1 + 1));
        seen / count.max(1) as f64 * self.fleet.proxies.max(count) as f64
    }

    fn upkeep(&mut self, now: Moment) {
        for at in 0..self.state.servers.len() {
            self.state.stirred |= self.warmth(now - TICK.times(1.2), at) != self.warmth(now, at);
            let server = &self.state.servers[at];
            let rest = match server.stand {
                Suspect => Span::millis(400),
                Out => Span::millis(900),
                Open => Span::millis(1_900),
                _ => continue,
            };
            if server.probed.is_none_or(|last| now.since(last) >= rest) && !self.state.ask.contains(&at) {
                self.state.ask.push(at);
            }
        }
        if now.since(self.state.reviewed) >= REVIEW {
            self.state.reviewed = now;
            self.review(now);
        }
    }

    /// Looks at lasting symptoms: servers far off the common load, a fleet with no room left.
    fn review(&mut self, now: Moment) {
        let servers = self.state.servers.iter().enumerate().filter(|(_, s)| s.stand == Open);
        let warmest = servers.clone().map(|(at, _)| self.warmth(now, at)).max().unwrap_or(0);
        // The warmest there are: where all are cold, a load that stood still would keep the levels closed.
        let warm = servers.filter(|(at, _)| self.warmth(now, *at) == warmest);
        let util = warm.filter_map(|(at, s)| s.util.mean().map(|util| (at, util, self.carries(now, at))));
        let util: Vec<(ServerIx, f64, f64)> = util.collect();
        let weight: f64 = util.iter().map(|u| u.2).sum();
        if weight > 0.0 {
            let common = util.iter().map(|u| u.1 * u.2).sum::<f64>() / weight;
            self.state.common = common;
            let calls = self.calls();
            if common < BUSY && calls > 0.0 && self.state.step == 0 {
                let held: f64 = (0..self.state.servers.len()).map(|at| self.carries(now, at)).sum();
                let work = common * held / calls;
                self.state.work = Some(self.state.work.map_or(work, |before| 0.7 * before + 0.3 * work));
            }
            let patience = if self.reach.load_on_probe { 3 } else { 2 };
            for (at, util, _) in util {
                let server = &mut self.state.servers[at];
                let wanted = CORRECTIONS[server.step] * common / util.max(0.1);
                let above = CORRECTIONS.get(server.step + 1).is_some_and(|next| wanted >= next * 0.95);
                let below = server.step > 0 && wanted <= CORRECTIONS[server.step - 1] / 0.95;
                let call = i32::from(above) - i32::from(below);
                server.asked = if call == server.asked.signum() { server.asked + call } else { call };
                if server.asked.abs() >= patience && common < BUSY {
                    server.step = (server.step as i32 + call) as usize;
                    server.asked = 0;
                    self.state.stirred = true;
                }
            }
        }
        // Dead servers drop all their tries; what the others drop tells of overload, whatever its cause.
        let (tries, dropped) = self.tally(|s| s.stand == Open && s.dropped < BAD_PART * s.tries);
        let hot = dropped > DROPS_SOME * tries || self.state.common > BUSY || self.strained();
        let held: f64 = (0..self.state.servers.len()).map(|at| self.carries(now, at)).sum();
        let offered = self.state.work.unwrap_or(0.0) * self.calls();
        let last = LEVELS.len() - 1;
        let aim = (0..last).find(|step| self.admitted(*step) * offered <= ROOM * held).unwrap_or(last);
        self.state.step = match self.state.step {
            // A jam must drain before what is let in can be answered: close beyond what calls cost at ease.
            step if self.strained() || dropped > DROPS_MANY * tries => aim.max(step + 2).min(last),
            step if self.state.common < AT_EASE => aim.min(step.saturating_sub(1)),
            step if hot => aim.max(step + 1).min(last),
            step => step,
        };
        self.state.halve();
    }

    /// Part of a route's calls let in at a step: the least important routes give way first.
    fn level(&self, route: usize, step: usize) -> f64 {
        let least = self.routes.iter().map(|r| r.importance).fold(f64::MAX, f64::min);
        let most = self.routes.iter().map(|r| r.importance).fold(0.0, f64::max);
        let low = self.routes[route].importance <= least && least < most;
        if low {
            LEVELS[step].0
        } else {
            LEVELS[step].1
        }
    }

    /// Part of all calls let in at a step.
    fn admitted(&self, step: usize) -> f64 {
        let calls = self.state.by_route.iter().take(self.routes.len()).enumerate();
        let (sum, all) = calls.fold((1e-6, 1e-6), |a, (at, c)| (a.0 + c * self.level(at, step), a.1 + c));
        sum / all
    }

    /// Routes of a scope, as the wire's mask: 0 may go anywhere, 1 stays in the proxy's zone.
    fn scope_mask(&self, scope: usize) -> u64 {
        (0..self.routes.len()).map(|at| u64::from(self.routes[at].zone_bound == (scope == 1)) << at).sum()
    }

    /// The target of each zone's proxies: own zone first, what it cannot carry spread over room elsewhere.
    fn targets(&mut self, now: Moment, scope: usize) -> Vec<Vec<f64>> {
        let zones = self.fleet.zones.max(1);
        let mut carries: Vec<f64> = (0..self.state.servers.len()).map(|at| self.carries(now, at)).collect();
        if carries.iter().all(|c| *c <= 0.0) {
            // Rule 1: believed dead but listed as running is better than no line at all.
            for (at, server) in self.state.servers.iter().enumerate().filter(|(_, s)| s.stand == Out) {
                carries[at] = server.weight * RAMP[self.warmth(now, at)];
            }
        }
        let mut room = vec![0.0; zones];
        for (at, server) in self.state.servers.iter().enumerate() {
            room[server.zone] += carries[at];
        }
        let total: f64 = room.iter().sum();
        let mut load = vec![0.0; zones];
        self.state.proxies.iter().filter(|p| p.joined).for_each(|p| load[p.zone] += self.demand(p));
        let seen: f64 = load.iter().sum();
        if total <= 0.0 || seen <= 0.0 {
            return vec![carries; zones];
        }
        // What other planners' proxies ask is laid where the seen ones leave servers idle.
        let (all, unseen) = (self.calls(), self.calls() - seen);
        let gaps: Vec<f64> = (0..zones).map(|z| (all * room[z] / total - load[z]).max(0.0)).collect();
        let gap: f64 = gaps.iter().sum::<f64>().max(1e-9);
        load.iter_mut().zip(&gaps).for_each(|(load, own)| *load += unseen * own / gap);
        let density = all / total;
        let bearable = (COMFORT / self.state.common.max(0.1)).clamp(1.0, 1.5);
        let left = |z: ZoneIx| (bearable * density * room[z] - load[z]).max(0.0);
        let mut free: Vec<f64> = (0..zones).map(left).collect();
        if free.iter().sum::<f64>() <= 0.0 {
            free = room.clone();
        }
        let heard = seen / all;
        let dear = ((self.fleet.crossing_price - CHEAP) / (DEAR - CHEAP)).clamp(0.0, 1.0);
        let home = if scope == 1 { 1.0 } else { dear * heard * heard };
        let mut targets: Vec<Vec<f64>> = Vec::new();
        for zone in 0..zones {
            let over = (load[zone] - bearable * density * room[zone]).max(0.0);
            let others: f64 = (0..zones).filter(|z| *z != zone).map(|z| free[z]).sum();
            let away = match room[zone] {
                _ if scope == 1 || others <= 0.0 => 0.0,
                own if own <= 0.0 => 1.0,
                _ => over / load[zone].max(1e-9),
            };
            let own = home * (1.0 - away) / room[zone].max(1e-9);
            let spilt = |z: ZoneIx| home * away * free[z] / others.max(1e-9) / room[z].max(1e-9);
            let mass = |z: ZoneIx| (1.0 - home) / total + if z == zone { own } else { spilt(z) };
            let share = |at: ServerIx| carries[at] * mass(self.state.servers[at].zone);
            targets.push((0..carries.len()).map(share).collect());
        }
        if self.shield_cold(now, &load, &carries, &mut targets) {
            // No warm server is left to take the rest, as when the last ones drain: levels keep rule 4 now.
            self.state.step = LEVELS.len() - 1;
        }
        targets
    }

    /// Rule 4 by construction: whatever the zones' tables say, all proxies together bring a cold server no
    /// more than a safe part of what it is sure to carry; the rest goes to warm ones. Harms when the load is
    /// low and the warm servers are few: they then carry what the cold one could have.
    fn shield_cold(&self, now: Moment, load: &[f64], carries: &[f64], targets: &mut [Vec<f64>]) -> bool {
        let mut bare = false;
        let last = RAMP.len() - 1;
        let all: f64 = load.iter().sum();
        let cold = |at: usize| self.warmth(now, at) < last;
        // All that is asked, as weight: a full fleet's load tells nothing, what calls cost at ease does. A
        // planner fresh from a crash knows neither and reckons with twice what is listed.
        let listed: f64 =
            self.state.servers.iter().filter(|s| s.stand != Stand::Gone).map(|s| s.weight).sum();
        let calls = self.state.work.map_or(2.0 * listed, |work| 1.2 * work * all);
        let full = self.state.step > 0 || self.state.common > BUSY || self.state.work.is_none();
        let from = self.pledge.cold_from;
        let even = (self.pledge.overload_factor * self.pledge.fall.seconds() / EVEN).min(1.0).powi(2);
        let grown = |at: usize| from + (1.0 - from) * self.warmth(now, at) as f64 / last as f64;
        let sure = |at: usize| self.pledge.overload_factor * grown(at) * self.state.servers[at].weight;
        // Proxies that shun servers which fail them heap all on the last that answer, the cold: these wait
        // until they could bear it, and under strain. Harms a fleet that drops for want of new servers.
        let bears: f64 = (0..carries.len()).filter(|at| cold(*at) && carries[*at] > 0.0).map(sure).sum();
        let (tries, dropped) = self.tally(|_| true);
        let struck = self.state.servers.iter().filter(|s| s.stand == Out || s.strikes >= CONFIRM);
        let struck = struck.map(|s| s.weight).sum::<f64>() / listed.max(1e-9);
        let failing = (dropped / tries).max(struck).max(1.0 - carries.iter().sum::<f64>() / calls);
        let heaped = if self.reach.shuns { (HEAPED * failing).min(1.0) * calls } else { 0.0 };
        let shunned = failing > SHUNNED && bears < heaped || self.strained();
        let cap = if shunned { 0.0 } else { [SAFE.0, SAFE.1][usize::from(full)] };
        for at in (0..self.state.servers.len()).filter(|at| cold(*at)) {
            let most = cap * even * sure(at) / calls;
            let sent: f64 = targets.iter().zip(load).map(|(t, l)| t[at] * l / all).sum();
            for target in targets.iter_mut().filter(|_| sent > most) {
                let freed = target[at] * (1.0 - most / sent);
                let warm: f64 = (0..target.len()).filter(|w| !cold(*w)).map(|w| target[w]).sum();
                bare |= warm <= 0.0;
                if warm > 0.0 {
                    target[at] -= freed;
                    (0..target.len()).filter(|w| !cold(*w)).for_each(|w| target[w] *= 1.0 + freed / warm);
                }
            }
        }
        bare
    }

    fn plan(&mut self, now: Moment) {
        (self.state.planned, self.state.stirred) = (now, false);
        for scope in (0..2).filter(|scope| self.scope_mask(*scope) > 0).collect::<Vec<_>>() {
            let targets = self.targets(now, scope);
            let joined = self.state.proxies.iter().enumerate().filter(|(_, p)| p.joined);
            let members: Vec<Member> = joined
                .map(|(proxy, p)| Member::new(proxy, self.demand(p), &targets[p.zone], p.tables[scope]))
                .collect();
            if !members.is_empty() {
                self.pack(now, scope, members);
            }
        }
    }

    /// Groups the proxies where some have no table or the imbalance rose, and writes what tables should hold.
    fn pack(&mut self, now: Moment, scope: usize, mut members: Vec<Member>) {
        let newcomers = members.iter().any(|m| m.group.is_none());
        let regroup = imbalance(&members) > self.state.packed + MARGIN;
        if newcomers || regroup {
            let groups = group(&members);
            let mut taken: Vec<TableNo> = Vec::new();
            for kind in 0..=groups.iter().copied().max().unwrap_or(0) {
                // A group takes the table most of its demand already uses, else an idle one, else a new one.
                let votes = |table: TableNo| -> f64 {
                    let inside =
                        members.iter().zip(&groups).filter(|(m, g)| **g == kind && m.group == Some(table));
                    inside.map(|(m, _)| m.demand).sum()
                };
                let idle = |t: &TableNo| !members.iter().any(|m| m.group == Some(*t));
                let known = self.state.tables.len();
                let free = |t: &TableNo| !taken.contains(t) && self.state.tables[*t].scope == scope;
                let table = (0..known)
                    .filter(|t| free(t) && votes(*t) > 0.0)
                    .max_by(|a, b| votes(*a).total_cmp(&votes(*b)))
                    .or_else(|| (0..known).find(|t| free(t) && idle(t)))
                    .unwrap_or(known);
                if table == known {
                    self.state.tables.push(Table { scope, ..Table::default() });
                    self.state.wanted.push(Vec::new());
                }
                taken.push(table);
            }
            for (member, kind) in members.iter_mut().zip(groups) {
                let proxy = &mut self.state.proxies[member.proxy];
                let settled = proxy.bound.is_some_and(|at| now.since(at) < REBIND);
                if member.group != Some(taken[kind]) && (member.group.is_none() || regroup && !settled) {
                    member.group = Some(taken[kind]);
                    proxy.tables[scope] = member.group;
                    proxy.bound = None;
                }
            }
            self.state.packed = imbalance(&members);
        }
        let zone: Vec<ZoneIx> = self.state.servers.iter().map(|s| s.zone).collect();
        for table in 0..self.state.tables.len() {
            let inside: Vec<&Member> = members.iter().filter(|m| m.group == Some(table)).collect();
            if !inside.is_empty() {
                self.state.wanted[table] = trim(&centre(&inside), &inside, &zone);
            }
        }
    }

    /// Sends what differs, urgent changes at once and the rest at its pace, largest first; then binds.
    fn push(&mut self, now: Moment, orders: &mut Vec<Order>) {
        let waiting: f64 = self.state.proxies.iter().flat_map(|p| p.unapplied.iter().map(|u| u.1)).sum();
        // Marks tell what has arrived, so this holds however slow the channel has become.
        let mut left = self.channel.most_waiting / 2.0 - waiting;
        let mut spent = vec![0.0; self.state.proxies.len()];
        for table in 0..self.state.tables.len() {
            let scope = self.state.tables[table].scope;
            let uses = |p: &Proxy| p.tables[scope] == Some(table) && p.bound.is_some();
            let users: Vec<ProxyIx> =
                (0..self.state.proxies.len()).filter(|p| uses(&self.state.proxies[*p])).collect();
            let mut changes = deltas(&self.state.tables[table].lines, &self.state.wanted[table]);
            let gates = self.state.tables[table].gates != Some(self.state.step);
            let urgent = changes.iter().any(|(server, weight)| {
                let stand = self.state.servers[*server].stand;
                *weight <= 0.0 && matches!(stand, Stand::Gone | Draining | Out)
                    || *weight > 0.0 && self.warmth(now, *server) == 0
            });
            let head = self.channel.head + 1.0 + self.routes.len() as f64;
            if !users.is_empty() && !urgent {
                changes.truncate((left / users.len() as f64 - head).max(0.0) as usize);
            }
            if changes.is_empty() && !gates || !users.iter().all(|p| self.may_tell(now, *p, urgent)) {
                continue;
            }
            let cost = changes.len() as f64 + head;
            let lines = &mut self.state.tables[table].lines;
            for (server, weight) in changes {
                orders.push(Order::Line { table, server, weight });
                lines.retain(|line| line.0 != server);
                lines.extend((weight > 0.0).then_some((server, weight)));
            }
            if gates {
                self.gate(table, orders);
            }
            left -= cost * users.len() as f64;
            users.iter().for_each(|p| spent[*p] += cost);
        }
        for (proxy, spent) in spent.iter_mut().enumerate() {
            let known = &self.state.proxies[proxy];
            for (scope, table) in known.tables.iter().enumerate() {
                let Some(table) = table.filter(|t| !self.state.tables[*t].lines.is_empty()) else { continue };
                let cost = self.state.tables[table].lines.len() as f64 + self.channel.head + 5.0;
                let fits =
                    waiting + cost < self.channel.most_waiting * 0.9 && self.may_tell(now, proxy, true);
                if known.bound.is_none() && fits {
                    orders.push(Order::Bind { proxy, table, routes: self.scope_mask(scope) });
                    *spent += cost;
                }
            }
        }
        if spent.iter().all(|cost| *cost <= 0.0) {
            return;
        }
        self.state.mark = (self.state.mark + 1) % 65_536;
        orders.push(Order::Mark { mark: self.state.mark });
        for (proxy, cost) in spent.iter().enumerate().filter(|(_, cost)| **cost > 0.0) {
            let proxy = &mut self.state.proxies[proxy];
            proxy.bound = proxy.bound.or(Some(now));
            proxy.unapplied.push((self.state.mark, *cost));
            proxy.told.retain(|told| now.since(*told) <= self.channel.messages_over);
            proxy.told.push(now);
        }
    }

    /// Messages to one proxy: ordinary ones keep apart and leave half the limit to removals.
    fn may_tell(&self, now: Moment, at: ProxyIx, urgent: bool) -> bool {
        let proxy = &self.state.proxies[at];
        let most = if self.channel.messages_most == 0 { usize::MAX } else { self.channel.messages_most };
        let recent = proxy.told.iter().filter(|told| now.since(**told) <= self.channel.messages_over).count();
        let since = proxy.told.last().map_or(Span(u64::MAX), |last| now.since(*last));
        match urgent {
            true => recent < most / 2 || recent + 1 < most && since >= self.pledge.drain_grace.times(0.3),
            false => recent < most / 2 && since >= GAP,
        }
    }

    /// Sets how much of each route is let in and when proxies try again.
    fn gate(&mut self, table: TableNo, orders: &mut Vec<Order>) {
        let mask = self.scope_mask(self.state.tables[table].scope);
        for at in (0..self.routes.len()).filter(|at| mask >> at & 1 == 1) {
            let rated = self.reach.throttle == Throttle::PerSecond;
            let level = if rated { UNLIMITED } else { self.level(at, self.state.step) };
            // Rule 2 by construction; and what one full server turns away only fills the next.
            orders.push(Order::Gate { table, routes: 1 << at, level, resend: Resend::Never });
        }
        self.state.tables[table].gates = Some(self.state.step);
    }

    /// Sites with slices: each keeps its line; one whose server drains or is gone gets another, an exclusive
    /// one only after its writes have been held back until the former owner can have none.
    fn mend_slices(&mut self, now: Moment, orders: &mut Vec<Order>) {
        let usable = (0..self.state.servers.len()).filter(|at| self.carries(now, *at) > 0.0);
        let usable: Vec<ServerIx> = usable.collect();
        let open = if self.reach.throttle == Throttle::PerSecond { UNLIMITED } else { 1.0 };
        for (table, slice) in self.state.slices.iter_mut().enumerate() {
            let lost: Vec<ServerIx> =
                slice.lines.iter().map(|l| l.0).filter(|s| !usable.contains(s)).collect();
            if !slice.given || usable.is_empty() || !slice.lines.is_empty() && lost.is_empty() {
                continue;
            }
            let gate = |level| Order::Gate { table, routes: 0, level, resend: Resend::Never };
            if self.slicing.exclusive && !slice.lines.is_empty() {
                if slice.held_until.is_none() {
                    orders.push(gate(0.0));
                }
                let wait = self.slicing.keeps_writing + self.slicing.lingers;
                if now < *slice.held_until.get_or_insert(now + wait) {
                    continue;
                }
            }
            let server = usable[table % usable.len()];
            orders.push(Order::Line { table, server, weight: 1.0 });
            if self.slicing.exclusive {
                slice.lines.clear();
                orders.extend(slice.held_until.take().map(|_| gate(open)));
            }
            let gone = lost.iter().filter(|_| !self.slicing.exclusive);
            orders.extend(gone.map(|server| Order::Line { table, server: *server, weight: 0.0 }));
            slice.lines.retain(|line| line.0 != server && !lost.contains(&line.0));
            slice.lines.push((server, 1.0));
        }
    }
}

/// What a table gives beyond a proxy's target, over all servers.
fn excess(table: &[f64], target: &[f64]) -> f64 {
    table.iter().zip(target).map(|(have, want)| (have - want).max(0.0)).sum()
}

/// The demand-weighted mean of the members' targets.
fn centre(members: &[&Member]) -> Vec<f64> {
    let total: f64 = members.iter().map(|m| m.demand).sum();
    let width = members.iter().map(|m| m.target.len()).max().unwrap_or(0);
    (0..width).map(|at| members.iter().map(|m| m.demand * m.target[at]).sum::<f64>() / total).collect()
}

/// The imbalance of a grouping, as part of all its demand.
fn imbalance(members: &[Member]) -> f64 {
    let grouped: Vec<&Member> = members.iter().filter(|m| m.group.is_some()).collect();
    let total: f64 = grouped.iter().map(|m| m.demand).sum();
    let beyond = |m: &&Member| {
        let peers: Vec<&Member> = grouped.iter().filter(|p| p.group == m.group).copied().collect();
        m.demand * excess(&centre(&peers), m.target)
    };
    grouped.iter().map(beyond).sum::<f64>() / total.max(1e-9)
}

/// Demand-weighted k-means, seeded by the heaviest proxies, with as few groups as the margin allows.
fn group(members: &[Member]) -> Vec<usize> {
    let mut order: Vec<&Member> = members.iter().collect();
    order.sort_by(|a, b| b.demand.total_cmp(&a.demand));
    let mut seeds: Vec<&Member> = Vec::new();
    let mut groups = vec![0; members.len()];
    for next in order {
        // A seed whose target a group already serves would only split that group.
        if seeds.iter().any(|seed| excess(seed.target, next.target) < MARGIN) {
            continue;
        }
        seeds.push(next);
        let mut centres: Vec<Vec<f64>> = seeds.iter().map(|seed| seed.target.to_vec()).collect();
        for _ in 0..8 {
            for (member, kind) in members.iter().zip(&mut groups) {
                let cost = |kind: &usize| excess(&centres[*kind], member.target);
                *kind = (0..centres.len()).min_by(|a, b| cost(a).total_cmp(&cost(b))).unwrap_or(0);
            }
            for (kind, middle) in centres.iter_mut().enumerate() {
                let inside: Vec<_> =
                    members.iter().zip(&groups).filter(|p| *p.1 == kind).map(|p| p.0).collect();
                if !inside.is_empty() {
                    *middle = centre(&inside);
                }
            }
        }
        let beyond = members.iter().zip(&groups).map(|(m, g)| m.demand * excess(&centres[*g], m.target));
        if beyond.sum::<f64>() <= MARGIN * members.iter().map(|m| m.demand).sum::<f64>() {
            break;
        }
    }
    groups
}

/// Drops thin lines, those that add least imbalance first, never a zone's last; rescales and rounds.
fn trim(middle: &[f64], members: &[&Member], zone: &[ZoneIx]) -> Vec<(ServerIx, f64)> {
    let mut table = middle.to_vec();
    loop {
        let sum: f64 = table.iter().sum();
        table.iter_mut().for_each(|weight| *weight /= sum.max(1e-9));
        let lines: Vec<ServerIx> = (0..table.len()).filter(|at| table[*at] > 0.0).collect();
        let thin = THIN / lines.len().max(1) as f64;
        let alone = |at: ServerIx| !lines.iter().any(|l| *l != at && zone[*l] == zone[at]);
        let without = |at: ServerIx| {
            let rest = 1.0 - table[at];
            let left: Vec<f64> =
                (0..table.len()).map(|l| if l == at { 0.0 } else { table[l] / rest }).collect();
            members.iter().map(|m| m.demand * excess(&left, m.target)).sum::<f64>()
        };
        let droppable = lines.iter().filter(|at| table[**at] < thin && !alone(**at));
        match droppable.min_by(|a, b| without(**a).total_cmp(&without(**b))) {
            Some(at) => table[*at] = 0.0,
            None => return lines.iter().map(|at| (*at, table[*at])).collect(),
        }
    }
}

/// Keeps three binary digits, which stays within the error of the weight's own value.
fn round(weight: f64) -> f64 {
    let scale = 2f64.powi(weight.max(1e-9).log2().floor() as i32) / DIGITS;
    (weight / scale).round() * scale
}

/// The lines to write, largest change first, additions ahead of removals. Only ratios count in a table: the
/// new weights are put to the scale of the standing ones: a removal then rewrites no other line.
fn deltas(standing: &[(ServerIx, f64)], wanted: &[(ServerIx, f64)]) -> Vec<(ServerIx, f64)> {
    if wanted.is_empty() {
        return Vec::new();
    }
    let held = |at: ServerIx| standing.iter().find(|l| l.0 == at).map_or(0.0, |l| l.1);
    let mut ratios: Vec<f64> = wanted.iter().map(|l| held(l.0) / l.1).filter(|ratio| *ratio > 0.0).collect();
    ratios.sort_by(f64::total_cmp);
    let scale = ratios.get(ratios.len() / 2).copied().unwrap_or(1.0);
    let mut changes: Vec<(ServerIx, f64, f64)> = wanted
        .iter()
        .map(|(at, weight)| (*at, weight * scale, held(*at)))
        .filter(|(_, weight, held)| (weight - held).abs() > weight / DIGITS)
        .map(|(at, weight, held)| (at, round(weight), (weight - held).abs()))
        .collect();
    changes.sort_by(|a, b| b.2.total_cmp(&a.2));
    let gone = standing.iter().filter(|l| !wanted.iter().any(|w| w.0 == l.0)).map(|l| (l.0, 0.0));
    changes.iter().map(|c| (c.0, c.1)).chain(gone).collect()
}
