//! All decisions of the planner. Call `Planner::new` once per start, then `turn` with each batch of events
//! and its clock; carry out the orders in their order. Events, orders and state are in `types.rs`.
//! The ordinary path is Niagara's (docs/design.md); health, ramp, levels and guards of the rules are ours.

use crate::shares::{centre, excess, imbalance, rescale, spread};
use crate::time::{Moment, Span};
use crate::types::*;
use std::collections::{BTreeMap, BTreeSet};

const TICK: Span = Span::millis(500);
const PERIOD: Span = Span::millis(3_000);
const REVIEW: Span = Span::millis(2_500);
const CLOSE: Span = Span::millis(1_250);
/// Levels open one step in so long: opened faster, they swung and cost service wherever the wire has them.
const OPEN: Span = Span::millis(5_000);
const REBIND: Span = Span::millis(60_000);
/// Plans keep this far apart for each proxy, up to a limit: lines that go out together share a head.
const PAUSE: (Span, Span) = (Span::millis(1), Span::millis(100));
/// Ordinary messages keep this far apart; removals need not wait.
const GAP: Span = Span::millis(900);
/// Imbalance, as part of all demand, below which a grouping or a table is left as it is.
const MARGIN: f64 = 0.02;
/// Means are taken once the seeds alone are within so many times that.
const FAR: f64 = 4.0;
/// Three binary digits are kept of a weight, so that it stays within the error of its own value.
const DIGITS: f64 = 8.0;
/// Lines under this part of the average share may be trimmed.
const THIN: f64 = 0.1;
const LOOKED_AT: usize = 4;
/// Lines that go along with removals which would leave cold ones alone.
const ALONG: usize = 12;
/// What a cold server gets, by quarters of the longest warm-up; `shield_cold` keeps to what it can carry.
const RAMP: [f64; 5] = [0.25, 0.5, 0.75, 1.0, 1.0];
/// Part of what would topple a cold server that it may be sent, at ease and in a full fleet.
const SAFE: (f64, f64) = (0.6, 0.33);
/// Seconds of a server's work in a fall's budget from which chance evens out; a shorter one is used less.
const EVEN: f64 = 8.0;
/// Part of all tries dropped from which proxies that shun servers would heap their calls on cold ones.
const SHUNNED: (f64, f64) = (0.2, 2.0);
/// Parts of the limit on waiting lines that ordinary changes, cold ones, removals and bindings may fill; of
/// no more than leaves in the grace of a removal that is ordered behind them, removals themselves apart.
const FILLED: [f64; 4] = [0.3, 0.6, 0.95, 0.85];
/// Lines for a proxy that has left count for so many times what a full channel takes to empty.
const OUTLASTS: f64 = 2.0;
/// What bounds a table's lines: the time in which the channel can hand all tables out anew, the part of a
/// server's connections that all proxies may hold, the calls on a line while an idle connection is kept.
const HANDED_OUT: Span = Span::millis(1_800);
const CONNECTED: f64 = 0.3;
const CALLS_KEPT: f64 = 2.5;
const NARROW: f64 = 8.0;
/// Proxies to a part of the servers, parts a server is in, and averages of demand that ask for all servers.
const SHARERS: usize = 8;
const COVER: f64 = 4.0;
const HEAVY: f64 = 4.0;
/// How far a server's seats may fall under what they should be, so that a deploy rewrites few tables twice.
const SEATED: f64 = 0.7;
const SWEEPS: (usize, f64) = (8, 1.5);
/// Times our part of the proxies from which the channel may have to hand tables to all of them by itself.
const CROWDED: f64 = 1.8;
/// Calls that a proxy's first guess counts for: the demand of small ones stays near it until heard often.
const GUESS_CALLS: f64 = 3.0;
/// Routine probes a second, however large the fleet.
const PROBES_PER_S: f64 = 60.0;
/// Below how busy, and how far beyond its part, a zone keeps its calls while all servers answer.
const COMFORT: (f64, f64) = (0.6, 1.15);
/// From the first price on calls are kept at home, at the second all of them, as far as proxies are heard.
const CROSSING: (f64, f64) = (0.02, 0.06);
const UTIL_EDGES: &[f64] = &[0.2, 0.35, 0.5, 0.6, 0.7, 0.8, 0.9, 0.97];
/// Coarse corrections to listed weights, for servers that stay far busier or idler than the rest.
const CORRECTIONS: [f64; 7] = [0.3, 0.45, 0.6, 0.8, 1.0, 1.25, 1.5];
const UNCORRECTED: i32 = 4;
/// What was learned of a server that is gone is kept for so long, should it return.
const FORGOTTEN: Span = Span::millis(120_000);
/// Sums suggest trouble when at least so many tries, and such a part of them, were dropped.
const BAD_TRIES: f64 = 3.0;
const BAD_PART: f64 = 0.85;
const GOOD_PART: f64 = 0.2;
/// Part dropped from which a server loses weight at each review while the fleet as a whole answers.
const FAILS: f64 = 0.5;
/// Dead probes in a row that confirm it.
const CONFIRM: usize = 2;
/// Servers are not shut out when less than this part of the listed weight would remain.
const QUORUM: f64 = 0.25;
/// Part let in of calls on the least important route and on the others, by step.
const LEVELS: [[f64; 2]; 6] = [[1.0, 1.0], [0.6, 1.0], [0.35, 1.0], [0.2, 1.0], [0.1, 0.8], [0.05, 0.55]];
/// Dropped parts of the tries at live servers that close the levels by one step and by two.
const DROPS: (f64, f64) = (0.12, 0.3);
/// How busy a full fleet is, one that may open its levels, and how busy levels let it become.
const BUSY: f64 = 0.9;
const AT_EASE: f64 = 0.75;
const ROOM: f64 = 0.7;

use Effect::*;
use Sign::*;
use Stand::{Draining, Fresh, Open, Out, Suspect};

/// What a sign does to a server; a pair that is not listed changes nothing. A listed restart of one that is
/// shut out only tells when it started; probes bring it back. Where leaving the list does not bind, lists
/// were seen to lose live servers and to hold some that never were, or answered with errors: probes tell.
const STANDS: &[(&[Stand], &[Sign], Stand, Effect)] = &[
    (&[Stand::Gone, Draining], &[Runs], Open, Enter),
    (&[Stand::Gone, Draining, Open, Suspect], &[Restarted], Open, Enter),
    (&[Stand::Gone, Fresh], &[Appears], Fresh, Ask),
    (&[Fresh], &[ProbeGood], Open, Enter),
    (&[Out], &[Restarted], Out, Ask),
    (&[Stand::Gone, Open, Suspect, Out, Fresh], &[Stops], Draining, Remove),
    (&[Open, Suspect, Out, Draining, Fresh], &[Sign::Gone], Stand::Gone, Remove),
    (&[Out, Draining, Fresh], &[Unlisted], Stand::Gone, Remove),
    (&[Open], &[SumsBad, Unlisted], Suspect, Ask),
    (&[Suspect], &[SumsGood], Open, Pardon),
    (&[Open, Suspect], &[ProbeGood], Open, Pardon),
    (&[Open], &[ProbeSilent], Open, Strike),
    (&[Open], &[ProbeDead], Open, Condemn),
    (&[Suspect], &[ProbeSilent, ProbeErring], Suspect, Strike),
    (&[Suspect], &[ProbeDead], Suspect, Condemn),
    (&[Suspect], &[Confirmed], Out, Remove),
    (&[Out], &[ProbeGood], Out, Strike),
    (&[Out], &[ProbeSilent, ProbeDead, ProbeErring], Out, Pardon),
    (&[Out], &[Recovered], Open, Return),
];

impl Planner {
    pub fn turn(&mut self, now: Moment, events: &[Event]) -> Vec<Action> {
        let mut orders = Vec::new();
        events.iter().for_each(|event| self.hear(now, event));
        if now >= self.state.woken {
            self.upkeep(now);
            self.set_levels(now);
            if now.since(self.state.reviewed) >= REVIEW {
                self.review(now);
                self.forget(now, &mut orders);
            }
            // Planners that started together should not probe and push in step.
            self.state.woken = now + TICK.times(0.9 + 0.2 * self.rng.f64());
            orders.push(Action::Wake { at: self.state.woken });
            let due = |at: Moment| now.since(at) > self.fleet.list_request_interval.times(0.4);
            if self.fleet.list_on_request && self.state.asked_list.is_none_or(due) {
                self.state.asked_list = Some(now);
                orders.push(Action::Subscribe);
            }
        }
        let pause = PAUSE.0.times(self.fleet.proxies as f64).min(PAUSE.1);
        if self.slicing.slices > 0 {
            self.mend_slices(now, &mut orders);
        } else if self.state.pressed || now.since(self.state.pushed) >= pause {
            if self.state.pressed || self.state.stirred || now.since(self.state.planned) >= PERIOD {
                self.plan(now);
            }
            self.push(now, &mut orders);
        }
        for server in std::mem::take(&mut self.state.ask).into_iter().filter(|_| self.capabilities.probes) {
            self.state.servers[server].probed = Some(now);
            orders.push(Action::Probe { server });
        }
        orders
    }

    fn hear(&mut self, now: Moment, event: &Event) {
        match event {
            Event::List { kind, entries } => self.hear_list(now, *kind, entries),
            Event::ServerStats { server, tries, dropped, load, .. } => {
                self.state.note_load(*server, UTIL_EDGES, load.util, *tries);
                let (tries, dropped) = self.state.note_tries(*server, *tries, *dropped);
                if dropped >= BAD_TRIES && dropped >= BAD_PART * tries {
                    self.sign(now, *server, SumsBad, None);
                } else if tries >= BAD_TRIES && dropped < GOOD_PART * tries {
                    self.sign(now, *server, SumsGood, None);
                }
            }
            Event::ProbeEnded { server, outcome: end, load } => {
                self.state.server(*server);
                // Where a probe waits its turn, no answer in time is the only word of a full queue.
                let full = self.capabilities.load_on_probe && *end == ProbeOutcome::TimedOut;
                self.state.note_load(*server, UTIL_EDGES, if full { Some(1.0) } else { load.util }, 1.0);
                let sign = match end {
                    ProbeOutcome::Answered | ProbeOutcome::Rejected => ProbeGood,
                    // Where all are late, one more late answer says nothing of this server.
                    ProbeOutcome::TimedOut if self.strained() => return,
                    ProbeOutcome::TimedOut => ProbeSilent,
                    ProbeOutcome::Error => ProbeErring,
                    ProbeOutcome::Unreachable => ProbeDead,
                };
                self.sign(now, *server, sign, None);
                let known = &self.state.servers[*server];
                let out = known.stand == Out;
                if known.strikes >= CONFIRM && (out || self.may_shut_out(now, *server)) {
                    self.sign(now, *server, if out { Recovered } else { Confirmed }, None);
                }
            }
            Event::Applied { proxy, mark } => self.state.applied(now, *proxy, *mark),
            Event::ProxyLeft { proxy } | Event::ProxyJoined { proxy, .. } => {
                // Uncounted, what a mass reconnect left in the channel took it past its limit.
                self.state.depart(*proxy, now + self.empties().times(OUTLASTS));
                self.state.note(event);
            }
            _ => self.state.note(event),
        }
    }

    /// Lines that may wait once ordinary changes, cold ones, removals and bindings are written. What waits
    /// counts against the grace at the pace the channel has now: it was seen to stand long after it was slow.
    /// Bindings are as urgent as what drains: behind a slow channel they stood still for 15 s.
    fn claims(&self, pace: f64) -> [f64; 4] {
        let most = self.channel.max_queued_lines;
        let grace = self.contract.drain_grace.seconds() - self.channel.max_transit.seconds();
        // No account keeps a grace that is shorter than the way; it would only stand still.
        let in_time = |pace: f64| (grace.max(PAUSE.1.seconds()) * pace).min(most);
        let (soon, usually) = (in_time(pace), in_time(self.channel.lines_per_s));
        [FILLED[0] * soon, FILLED[1] * soon, FILLED[2] * most, FILLED[3] * usually]
    }

    /// What a full channel takes to empty at its pace.
    fn empties(&self) -> Span {
        Span::of_seconds(self.channel.max_queued_lines / self.channel.lines_per_s)
    }

    fn hear_list(&mut self, now: Moment, kind: ListKind, entries: &[ListEntry]) {
        if kind == ListKind::Failed {
            self.state.asked_list = None;
        }
        let leaves = if self.contract.removal_is_binding { Sign::Gone } else { Unlisted };
        let doubted = leaves == Unlisted && kind != ListKind::Kept && self.capabilities.probes;
        for entry in entries {
            let server = self.state.server(entry.server);
            server.zone = entry.zone;
            server.weight = if entry.weight > 0.0 { entry.weight } else { 1.0 };
            let restarted = entry.last_start.is_some() && entry.last_start > server.started;
            let sign = match entry.state {
                ListedState::Running if doubted && matches!(server.stand, Stand::Gone | Fresh) => Appears,
                ListedState::Running if restarted => Restarted,
                ListedState::Running => Runs,
                ListedState::Stopping => Stops,
                ListedState::Deleted => leaves,
            };
            self.sign(now, entry.server, sign, entry.last_start);
        }
        if matches!(kind, ListKind::Complete | ListKind::Kept) {
            let listed: BTreeSet<ServerIx> = entries.iter().map(|entry| entry.server).collect();
            for at in (0..self.state.servers.len()).filter(|at| !listed.contains(at)) {
                self.sign(now, at, leaves, None);
            }
        }
    }

    fn sign(&mut self, now: Moment, at: ServerIx, sign: Sign, start: Option<Moment>) {
        let stand = self.state.servers[at].stand;
        let row = STANDS.iter().find(|row| row.0.contains(&stand) && row.1.contains(&sign));
        let Some((_, _, next, effect)) = row else { return };
        let server = &mut self.state.servers[at];
        server.stand = *next;
        match effect {
            Enter | Return | Remove => {
                server.started = if *effect == Return { Some(now) } else { start.or(server.started) };
                server.forget();
                (self.state.stirred, self.state.pressed) = (true, true);
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
        let tried = |s: &&Server| matches!(s.stand, Open | Suspect) && s.tries >= BAD_TRIES;
        let tried: Vec<&Server> = self.state.servers.iter().filter(tried).collect();
        let fine = tried.iter().filter(|s| s.dropped < DROPS.1 * s.tries).count();
        tried.len() > 1 && (fine as f64) < QUORUM * tried.len() as f64
    }

    /// A planner behind a cut sees all others dead; without this it would heap all on what it still sees.
    fn may_shut_out(&self, now: Moment, at: ServerIx) -> bool {
        let stays = |s: &&Server| matches!(s.stand, Open | Suspect | Out);
        let listed: f64 = self.state.servers.iter().filter(stays).map(|s| s.weight).sum();
        self.carried(now).iter().sum::<f64>() - self.carries(now, at) >= QUORUM * listed
    }

    fn warmth(&self, now: Moment, at: ServerIx) -> usize {
        let Some(started) = self.state.servers[at].started else { return RAMP.len() - 1 };
        let gone = now.since(started).seconds() / self.contract.warmup.seconds().max(1e-9);
        ((gone * 4.0) as usize).min(RAMP.len() - 1)
    }

    fn carries(&self, now: Moment, at: ServerIx) -> f64 {
        let server = &self.state.servers[at];
        let listed = server.weight * (1.0 - server.lighter);
        let weight = listed * CORRECTIONS[(UNCORRECTED + server.step) as usize];
        match server.stand {
            // Probes alone don't shut out, but one that nobody answers is not sent its whole share meanwhile.
            Open | Suspect if server.strikes >= CONFIRM => RAMP[0] * weight,
            Open | Suspect => weight * RAMP[self.warmth(now, at)],
            _ => 0.0,
        }
    }

    fn demand(&self, proxy: &Proxy) -> f64 {
        proxy.rate(GUESS_CALLS).unwrap_or(self.state.average).max(1e-6)
    }

    fn carried(&self, now: Moment) -> Vec<f64> {
        (0..self.state.servers.len()).map(|at| self.carries(now, at)).collect()
    }

    /// Calls per second at all proxies; those of other planners as told, or else as average.
    fn calls(&self) -> f64 {
        let guess = self.state.mean_rate(GUESS_CALLS).max(1e-6) * self.fleet.proxies.max(1) as f64;
        self.state.elsewhere.map_or(guess, |told| told + self.state.seen(|p| self.demand(p)).max(1e-6))
    }

    fn upkeep(&mut self, now: Moment) {
        let round = Span::millis(1_000).times(self.state.servers.len() as f64 / PROBES_PER_S);
        for at in 0..self.state.servers.len() {
            self.state.stirred |= self.warmth(now - TICK.times(1.2), at) != self.warmth(now, at);
            let server = &self.state.servers[at];
            let rest = match server.stand {
                Suspect | Fresh => Span::millis(400),
                Out => Span::millis(900),
                Open => Span::millis(1_900).max(round),
                _ => continue,
            };
            if server.probed.is_none_or(|last| now.since(last) >= rest) && !self.state.ask.contains(&at) {
                self.state.ask.push(at);
            }
        }
    }

    fn review(&mut self, now: Moment) {
        self.state.reviewed = now;
        let servers = self.state.servers.iter().enumerate().filter(|(_, s)| s.stand == Open);
        let warmest = servers.clone().map(|(at, _)| self.warmth(now, at)).max().unwrap_or(0);
        // The warmest there are: where all are cold, a load that stood still would keep the levels closed.
        let warm = servers.filter(|(at, _)| self.warmth(now, *at) == warmest);
        let util = warm.filter_map(|(at, s)| s.util.mean().map(|util| (at, util, self.carries(now, at))));
        let util: Vec<(ServerIx, f64, f64)> = util.collect();
        let weight: f64 = util.iter().map(|u| u.2).sum();
        let held: f64 = self.carried(now).iter().sum();
        if weight > 0.0 {
            let common = util.iter().map(|u| u.1 * u.2).sum::<f64>() / weight;
            self.state.common = common;
            let calls = self.calls();
            if common < BUSY && calls > 0.0 && self.state.step == 0 {
                let work = common * held / calls;
                self.state.work = Some(self.state.work.map_or(work, |before| 0.7 * before + 0.3 * work));
            }
            let (tries, dropped) = self.state.tally(|s| s.stand == Open);
            let at_ease = common < BUSY && dropped < DROPS.0 * tries;
            for (at, util, _) in util {
                let server = &mut self.state.servers[at];
                // One that is too slow answers probes in time: six were seen to drop 57 of 73 tries in 5 s,
                // all 60 probes answered. It costs a step, whatever the load says.
                let drops = server.dropped / server.tries.max(BAD_TRIES);
                let fails = at_ease && drops > FAILS;
                let factor = |by: i32| CORRECTIONS.get((UNCORRECTED + server.step + by) as usize);
                let wanted = factor(0).unwrap_or(&1.0) * common / util.max(0.1);
                let above = factor(1).is_some_and(|next| wanted >= next * 0.95);
                let below = factor(-1).is_some_and(|next| wanted <= next / 0.95);
                let call = if fails { -1 } else { i32::from(above) - i32::from(below) };
                server.asked = if call == server.asked.signum() { server.asked + call } else { call };
                let asked = server.asked.abs() >= 2 + i32::from(self.capabilities.load_on_probe);
                if asked && common < BUSY || fails {
                    server.step = (server.step + call).max(-UNCORRECTED);
                    server.asked = 0;
                    self.state.stirred = true;
                }
            }
        }
        self.state.halve();
    }

    /// Gives up places of servers long gone: each deploy took new ones, for as long as the planner ran.
    fn forget(&mut self, now: Moment, orders: &mut Vec<Action>) {
        let forgotten = |bare: &(ServerIx, Moment)| now.since(bare.1) >= FORGOTTEN;
        for (server, _) in self.state.bare(now).into_iter().filter(forgotten) {
            self.state.servers[server] = Server::default();
            orders.push(Action::ReleaseServer { server });
        }
    }

    /// Closes levels soon and opens them late: a jam costs more than a call refused too many.
    fn set_levels(&mut self, now: Moment) {
        let held: f64 = self.carried(now).iter().sum();
        // Dead servers drop all their tries; what the others drop tells of overload, whatever its cause.
        let (tries, dropped) = self.state.tally(|s| s.stand == Open && s.dropped < BAD_PART * s.tries);
        let hot = dropped > DROPS.0 * tries || self.state.common > BUSY || self.strained();
        let offered = self.state.work.unwrap_or(0.0) * self.calls();
        let last = LEVELS.len() - 1;
        let aim = (0..last).find(|step| self.admitted(*step) * offered <= ROOM * held).unwrap_or(last);
        let step = match self.state.step {
            // A jam must drain before what is let in can be answered: close beyond what calls cost at ease.
            step if self.strained() || dropped > DROPS.1 * tries => aim.max(step + 2).min(last),
            step if self.state.common < AT_EASE => aim.min(step.saturating_sub(1)),
            step if hot => aim.max(step + 1).min(last),
            step => step,
        };
        let rest = if step > self.state.step { CLOSE } else { OPEN };
        if step != self.state.step && now.since(self.state.leveled) >= rest {
            (self.state.step, self.state.leveled) = (step, now);
        }
    }

    /// Part of a route's calls let in at a step: the least important routes give way first.
    fn level(&self, route: usize, step: usize) -> f64 {
        let cap = self.state.caps.get(route).copied().unwrap_or(1.0);
        LEVELS[step][usize::from(!gives_way(&self.routes, route))].min(cap)
    }

    fn admitted(&self, step: usize) -> f64 {
        let calls = self.state.by_route.iter().take(self.routes.len()).enumerate();
        let (sum, all) = calls.fold((1e-6, 1e-6), |a, (at, c)| (a.0 + c * self.level(at, step), a.1 + c));
        sum / all
    }

    /// The target of each zone's proxies and what they ask: own zone first, what it cannot carry elsewhere.
    /// One target for all where crossings are cheap.
    fn targets(&mut self, now: Moment) -> Vec<(Vec<Share>, f64)> {
        let zones = self.fleet.zones.max(1);
        let mut carries = self.carried(now);
        if carries.iter().all(|c| *c <= 0.0) {
            // Rule 1: believed dead or not yet seen, but listed as running, is better than no line at all.
            let listed = |s: &Server| matches!(s.stand, Out | Fresh);
            for (at, server) in self.state.servers.iter().enumerate().filter(|(_, s)| listed(s)) {
                carries[at] = server.weight * RAMP[self.warmth(now, at)];
            }
        }
        let mut room = vec![0.0; zones];
        self.state.servers.iter().zip(&carries).for_each(|(server, carries)| room[server.zone] += carries);
        let total: f64 = room.iter().sum();
        let mut load = vec![0.0; zones];
        self.state.proxies.iter().filter(|p| p.joined).for_each(|p| load[p.zone] += self.demand(p));
        let seen: f64 = load.iter().sum();
        if total <= 0.0 || seen <= 0.0 {
            return Vec::new();
        }
        // What other planners' proxies ask is laid where the seen ones leave servers idle.
        let (all, unseen) = (self.calls(), self.calls() - seen);
        let gaps: Vec<f64> = (0..zones).map(|z| (all * room[z] / total - load[z]).max(0.0)).collect();
        let gap: f64 = gaps.iter().sum::<f64>().max(1e-9);
        load.iter_mut().zip(&gaps).for_each(|(load, own)| *load += unseen * own / gap);
        let calm = self.state.servers.iter().all(|s| s.strikes < CONFIRM && s.stand != Out);
        let bears = if calm { (COMFORT.0 / self.state.common.max(0.1)).clamp(1.0, COMFORT.1) } else { 1.0 };
        let density = bears * all / total;
        let left = |z: ZoneIx| (density * room[z] - load[z]).max(0.0);
        let free: Vec<f64> = (0..zones).map(left).collect();
        let (heard, bound) = (seen / all, self.routes.iter().any(|route| route.zone_bound));
        let dear = ((self.fleet.cross_zone_cost - CROSSING.0) / (CROSSING.1 - CROSSING.0)).clamp(0.0, 1.0);
        let home = if bound { 1.0 } else { dear * heard * heard };
        let shares = |mass: &dyn Fn(ZoneIx) -> f64| -> Vec<Share> {
            let lines = carries.iter().enumerate().filter(|line| *line.1 > 0.0);
            lines.map(|(at, carries)| (at, carries * mass(self.state.servers[at].zone))).collect()
        };
        if home <= 0.0 {
            return vec![(shares(&|_| 1.0 / total), all)];
        }
        let target = |zone: ZoneIx| {
            let others: f64 = (0..zones).filter(|z| *z != zone).map(|z| free[z]).sum();
            let part = (density * room[zone] / load[zone].max(1e-9)).min(1.0);
            let stays = if bound || others <= 0.0 { home } else { home * part };
            let own = stays / room[zone].max(1e-9);
            let spilt = |z: ZoneIx| (home - stays) * free[z] / others.max(1e-9) / room[z].max(1e-9);
            let mass = |z: ZoneIx| (1.0 - home) / total + if z == zone { own } else { spilt(z) };
            let lines = shares(&mass).into_iter().filter(|line| line.1 > 0.0).collect();
            (lines, load[zone])
        };
        (0..zones).map(target).collect()
    }

    /// Rule 4 by construction: all proxies together bring a cold server a safe part of what it is sure to
    /// carry, warm ones the rest. Harms when load is low and the warm ones are few.
    fn shield_cold(&mut self, now: Moment, rows: &mut [(Vec<Share>, f64)]) {
        let last = RAMP.len() - 1;
        let all: f64 = rows.iter().map(|row| row.1).sum();
        let ripe: Vec<usize> = (0..self.state.servers.len()).map(|at| self.warmth(now, at)).collect();
        let cold = |at: ServerIx| ripe[at] < last;
        // All that is asked, as weight: a full fleet's load tells nothing, what calls cost at ease does. A
        // planner fresh from a crash knows neither and reckons with twice what is listed.
        let known = |s: &&Server| !matches!(s.stand, Stand::Gone | Fresh);
        let listed: f64 = self.state.servers.iter().filter(known).map(|s| s.weight).sum();
        let calls = self.state.work.map_or(2.0 * listed, |work| 1.2 * work * all);
        let full = self.state.step > 0 || self.state.common > BUSY || self.state.work.is_none();
        let even =
            (self.contract.overload_factor * self.contract.overload_time.seconds() / EVEN).min(1.0).powi(2);
        let grown =
            |at: usize| 1.0 - (1.0 - self.contract.cold_capacity) * (1.0 - ripe[at] as f64 / last as f64);
        let sure = |at: usize| self.contract.overload_factor * grown(at) * self.state.servers[at].weight;
        // Proxies that shun servers which fail them heap all on the last that answer, the cold: these wait
        // until they could bear it, and under strain. Harms a fleet that drops for want of new servers.
        let carries = self.carried(now);
        let bears: f64 = (0..ripe.len()).filter(|at| cold(*at) && carries[*at] > 0.0).map(sure).sum();
        let (tries, dropped) = self.state.tally(|_| true);
        let struck = self.state.servers.iter().filter(|s| s.stand == Out || s.strikes >= CONFIRM);
        let struck = struck.map(|s| s.weight).sum::<f64>() / listed.max(1e-9);
        let failing = (dropped / tries).max(struck).max(1.0 - carries.iter().sum::<f64>() / calls);
        let heaped =
            if self.capabilities.ejects_servers { (SHUNNED.1 * failing).min(1.0) * calls } else { 0.0 };
        let shunned = failing > SHUNNED.0 && bears < heaped || self.strained();
        let cap = if shunned { 0.0 } else { [SAFE.0, SAFE.1][usize::from(full)] };
        let mut sent = vec![0.0; ripe.len()];
        rows.iter().for_each(|row| row.0.iter().for_each(|line| sent[line.0] += line.1 * row.1 / all));
        // Ours of what all may bring: beyond it no line is written, however many proxies come to us at once.
        let seen = self.state.seen(|p| self.demand(p)).max(1e-9);
        let ours = self.state.share.map_or(1.0, |part| (part * all / seen).min(1.0));
        let most: Vec<f64> = (0..ripe.len()).map(|at| ours * cap * even * sure(at) / calls).collect();
        let over = |at: ServerIx| cold(at) && sent[at] > most[at];
        let mut bare = false;
        for (row, _) in rows {
            let warm: f64 = row.iter().filter(|line| !cold(line.0)).map(|line| line.1).sum();
            bare |= warm <= 0.0 && row.iter().any(|line| over(line.0));
            if warm > 0.0 {
                let capped = row.iter_mut().filter(|line| over(line.0));
                capped.for_each(|line| line.1 *= most[line.0] / sent[line.0]);
                let kept: f64 = row.iter().filter(|line| cold(line.0)).map(|line| line.1).sum();
                row.iter_mut().filter(|line| !cold(line.0)).for_each(|line| line.1 *= (1.0 - kept) / warm);
                row.retain(|line| line.1 > 0.0);
            }
        }
        // No warm server is left to take the rest, as when the last ones drain: levels keep rule 4 now.
        self.state.step = if bare { LEVELS.len() - 1 } else { self.state.step };
    }

    fn width(&self, planners: usize) -> usize {
        let servers = self.state.servers.iter().filter(|s| s.stand == Open).count();
        let proxies = self.fleet.proxies.max(1) as f64;
        let lines = HANDED_OUT.seconds() * self.channel.lines_per_s;
        let handed = lines * planners.max(1) as f64 / proxies - self.channel.message_overhead;
        let connected = CONNECTED * self.fleet.min_server_connections * servers as f64 / proxies;
        let kept = self.fleet.keep_alive.seconds() * self.state.average.max(1.0) / CALLS_KEPT;
        handed.min(connected).min(kept).clamp(NARROW, 1e6) as usize
    }

    /// Gives each proxy a part of the servers, and the parts their servers: all of them, unless a table may
    /// not be that wide. Then light proxies go to parts that overlap, each server in as many as its weight
    /// asks for. Harms when a part loses most servers at once: its proxies crowd on the rest until the plan.
    /// Where other planners' proxies have come to us, those that hold nothing yet go to narrower parts: with
    /// the usual ones, what drained in the meantime waited for the channel beyond its grace.
    fn seat(&mut self, now: Moment, targets: &[(Vec<Share>, f64)]) {
        let widths = self.state.widths.unwrap_or([self.fleet.planners, 1].map(|among| self.width(among)));
        self.state.widths = Some(widths);
        let mut held = self.state.held(|proxy| self.demand(proxy));
        let here = self.state.proxies.iter().filter(|p| p.joined).count() * self.fleet.planners;
        let crowded = usize::from(here as f64 > CROWDED * self.fleet.proxies as f64);
        let (width, among) = (widths[crowded], [self.fleet.planners, 1][crowded]);
        let heavy = [HEAVY, SHARERS as f64][crowded] * self.state.average;
        let other = |part: usize| self.state.parts[part].width != width;
        let waits = |p: &Proxy| p.joined && p.part.is_none_or(|part| p.holds.is_none() && other(part));
        let newcomers = (0..self.state.proxies.len()).filter(|at| waits(&self.state.proxies[*at]));
        for at in newcomers.collect::<Vec<ProxyIx>>() {
            let proxy = &self.state.proxies[at];
            let (class, demand) = (proxy.zone.min(targets.len() - 1), self.demand(proxy));
            let alike = |part: &Part| (part.class, part.width) == (class, width);
            if !self.state.parts.iter().any(alike) {
                let lines = targets[class].0.len();
                let most = (COVER * lines as f64 / width as f64).ceil() as usize;
                let least = [1, lines / width][crowded];
                let sharing = self.fleet.proxies / among.max(targets.len()) / SHARERS;
                let narrow = if width * 4 / 3 < lines { sharing.clamp(least, most) } else { 0 };
                let parts = (0..=narrow).map(|at| Part { class, whole: at == 0, width, ..Part::default() });
                self.state.parts.extend(parts);
                held.resize(self.state.parts.len(), (0, 0.0));
            }
            let unlike = |at: usize| self.state.parts[at].whole != (demand > heavy);
            let mine = (0..held.len()).filter(|at| alike(&self.state.parts[*at]));
            let by_demand = |a: &usize, b: &usize| held[*a].1.total_cmp(&held[*b].1);
            let part = mine.min_by(|a, b| unlike(*a).cmp(&unlike(*b)).then(by_demand(a, b)));
            part.iter().for_each(|part| held[*part].1 += demand);
            self.state.proxies[at].part = part;
        }
        let dealt = |width| targets.iter().enumerate().map(move |(class, target)| (class, &target.0, width));
        for (class, target, width) in BTreeSet::from(widths).into_iter().flat_map(dealt) {
            let warm = |line: &Share| line.1 / RAMP[self.warmth(now, line.0)];
            let warm: BTreeMap<ServerIx, f64> = target.iter().map(|line| (line.0, warm(line))).collect();
            let all: f64 = warm.values().sum();
            let ripe = |at: &ServerIx| self.warmth(now, *at) == RAMP.len() - 1;
            let ripe: Vec<ServerIx> = warm.keys().copied().filter(ripe).collect();
            let alike = |part: &&mut Part| (part.class, part.width, part.whole) == (class, width, false);
            let mut parts: Vec<&mut Part> = self.state.parts.iter_mut().filter(alike).collect();
            parts.iter_mut().for_each(|part| part.servers.retain(|at| warm.contains_key(at)));
            let count = parts.len() as f64;
            for (at, share) in &warm {
                let wanted = (share / all * count * width as f64).round().clamp(1.0, count.max(1.0));
                let mut has = parts.iter().filter(|part| part.servers.contains(at)).count() as f64;
                while has < wanted * SEATED {
                    self.rng.shuffle(&mut parts);
                    let free = parts.iter_mut().filter(|part| !part.servers.contains(at));
                    let Some(part) = free.min_by_key(|part| part.servers.len()) else { break };
                    part.servers.insert(*at);
                    has += 1.0;
                }
            }
            // A part of cold servers alone was given all lines of its class: in a deploy these filled the
            // channel.
            let seats = |at: ServerIx| parts.iter().filter(|part| part.servers.contains(&at)).count();
            let mut seated: Vec<(usize, ServerIx)> = ripe.iter().map(|at| (seats(*at), *at)).collect();
            for part in parts.into_iter().filter(|part| !ripe.iter().any(|at| part.servers.contains(at))) {
                seated.sort();
                for (seats, at) in seated.iter_mut().take(COVER as usize) {
                    *seats += 1;
                    part.servers.insert(*at);
                }
            }
        }
    }

    fn plan(&mut self, now: Moment) {
        (self.state.planned, self.state.stirred, self.state.pressed) = (now, false, false);
        self.state.average = self.state.mean_rate(GUESS_CALLS);
        let mut targets = self.targets(now);
        if targets.is_empty() {
            return;
        }
        self.seat(now, &targets);
        self.shield_cold(now, &mut targets);
        let held = self.state.held(|proxy| self.demand(proxy));
        let mut rows: Vec<(Vec<Share>, f64)> = held.iter().map(|held| (Vec::new(), held.1)).collect();
        let inside: Vec<usize> = (0..held.len()).filter(|part| held[*part].0 > 0).collect();
        for (class, (target, all)) in targets.iter().enumerate() {
            let mine = inside.iter().filter(|part| self.state.parts[**part].class == class);
            let parts: Vec<_> = mine.clone().map(|at| (&self.state.parts[*at], held[*at].1)).collect();
            let heard: f64 = parts.iter().map(|part| part.1).sum();
            for (at, row) in mine.zip(spread(target, &parts, SWEEPS.0, SWEEPS.1)) {
                // A part of cold servers alone would push them over; one of none would keep what drains.
                let cold = row.iter().all(|line| self.warmth(now, line.0) < RAMP.len() - 1);
                rows[*at].0 = if cold { target.clone() } else { row };
            }
            rows.push((target.clone(), (all - heard).max(0.0)));
        }
        self.shield_cold(now, &mut rows);
        let lately = |proxy: &Proxy| proxy.bound.is_some_and(|at| now.since(at) < REBIND);
        let member = |part: usize| Member {
            part,
            demand: held[part].1,
            target: &rows[part].0,
            group: self.state.parts[part].table,
            settled: self.state.proxies.iter().any(|proxy| proxy.part == Some(part) && lately(proxy)),
        };
        let members = inside.into_iter().map(member).collect();
        self.pack(members);
    }

    /// Groups the parts where one has no table or the imbalance rose, and writes what tables should hold.
    fn pack(&mut self, mut members: Vec<Member>) {
        let newcomers = members.iter().any(|m| m.group.is_none());
        let regroup = imbalance(&members) > self.state.packed + MARGIN;
        if newcomers || regroup {
            let groups = group(&members);
            let mut taken: Vec<TableNo> = Vec::new();
            for kind in 0..=groups.iter().copied().max().unwrap_or(0) {
                let mine = members.iter().zip(&groups).filter(|(_, group)| **group == kind).map(|m| m.0);
                let free = mine.filter(|m| m.group.is_some_and(|table| !taken.contains(&table)));
                let used = free.max_by(|a, b| a.demand.total_cmp(&b.demand)).and_then(|m| m.group);
                let busy = |t: &TableNo| taken.contains(t) || members.iter().any(|m| m.group == Some(*t));
                let known = self.state.tables.len();
                let table = used.or_else(|| (0..known).find(|t| !busy(t))).unwrap_or(known);
                self.state.tables.resize(known.max(table + 1), Table::default());
                self.state.wanted.resize(known.max(table + 1), Vec::new());
                taken.push(table);
            }
            for (member, kind) in members.iter_mut().zip(groups) {
                if member.group.is_none() || regroup && !member.settled {
                    member.group = Some(taken[kind]);
                }
            }
            self.state.packed = imbalance(&members);
        }
        members.iter().for_each(|member| self.state.move_part(member.part, member.group));
        let zone: Vec<ZoneIx> = self.state.servers.iter().map(|s| s.zone).collect();
        for table in 0..self.state.tables.len() {
            let inside: Vec<&Member> = members.iter().filter(|m| m.group == Some(table)).collect();
            if inside.is_empty() {
                // Proxies may still follow it, and wait to be given another.
                let serves = |line: &Share| matches!(self.state.servers[line.0].stand, Open | Suspect);
                self.state.wanted[table].retain(serves);
            } else {
                self.state.wanted[table] = trim(centre(inside.iter().copied()), &inside, &zone);
            }
        }
    }

    fn push(&mut self, now: Moment, orders: &mut Vec<Action>) {
        let there_and_back = self.channel.max_transit.times(2.0);
        let pace = self.state.measure_pace(now, there_and_back, self.channel.lines_per_s);
        let claims = self.claims(pace);
        self.state.pushed = now;
        // Marks tell what has arrived, so this holds however slow the channel has become.
        let mut queued = self.state.queued(now, self.empties());
        let mut spent = vec![0.0; self.state.proxies.len()];
        let head = self.channel.message_overhead + 1.0;
        let mut users = self.state.users();
        let leaves = |at: ServerIx| matches!(self.state.servers[at].stand, Stand::Gone | Draining | Out);
        let leaving: Vec<bool> = (0..self.state.servers.len()).map(leaves).collect();
        let leaves = |line: &Share| line.1 <= 0.0 && leaving[line.0];
        let due = |table: TableNo| {
            let standing = &self.state.tables[table];
            let changes = deltas(&standing.lines, &self.state.wanted[table]);
            let cold = changes.iter().any(|change| self.warmth(now, change.0) == 0);
            let haste = if changes.iter().any(leaves) { 2 } else { usize::from(cold) };
            let moved: f64 = changes.iter().map(|(at, weight)| (weight - standing.weight(*at)).abs()).sum();
            (haste, moved * users[table].len() as f64, table, changes)
        };
        let mut due: Vec<(usize, f64, TableNo, Vec<Share>)> = (0..users.len()).map(due).collect();
        due.sort_by(|a, b| b.0.cmp(&a.0).then(b.1.total_cmp(&a.1)));
        // What removals alone would take. Where that passes their claim the smallest messages go first: so
        // most proxies are told in time. Levels never go along beyond what ordinary lines may fill.
        let gone = |changes: &[Share]| changes.iter().filter(|change| leaves(change)).count();
        let urgent = due.iter().filter(|due| due.0 == 2);
        let removals: f64 = urgent.map(|due| (gone(&due.3) as f64 + head) * users[due.2].len() as f64).sum();
        let jammed = queued + removals > claims[2];
        if jammed {
            due.sort_by_key(|due| if due.0 == 2 { gone(&due.3) } else { usize::MAX });
        }
        let (mut binds, mut late) = (None, 0.0);
        for (haste, _, table, mut changes) in due {
            if haste < 2 && binds.is_none() && queued > claims[0] {
                let bound = self.binds(now, claims[3], &mut queued, &mut spent);
                // What changes in their tables after this goes to them too; uncounted it passed the limit.
                bound.iter().for_each(|(proxy, table)| users[*table].push(*proxy));
                binds = Some(bound);
            }
            let users = &users[table];
            let stale = |at: usize| at != self.state.step && self.capabilities.throttle == Throttle::Fraction;
            let known = self.state.tables[table].gates;
            let filled = jammed || queued > claims[0];
            let gates = known.is_none_or(|step| stale(step) && !filled);
            let head = head + if gates { self.routes.len() as f64 } else { 0.0 };
            // What nobody follows is sent to nobody: held back, it kept the first of a zone from their table.
            let room = if users.is_empty() { f64::INFINITY } else { claims[haste] - queued };
            let fits = (room / users.len().max(1) as f64 - head).max(0.0) as usize;
            let removed = |at: ServerIx| changes.iter().any(|change| change.0 == at && leaves(change));
            let warm = |line: &Share| self.warmth(now, line.0) == RAMP.len() - 1;
            let stays = self.state.tables[table].lines.iter().any(|line| warm(line) && !removed(line.0));
            // An operator's hold: removals go on, and what a table without a warm line needs (rule 1).
            let held = self.state.held && stays;
            let crowded = fits < changes.len() || queued > claims[0] || held;
            if haste == 2 && crowded {
                // Drains go alone: they were seen to wait for seconds behind the lines of cold servers. Where
                // only cold lines would be left, one took all calls and was pushed over: some go along.
                let few = changes.iter().filter(|change| change.1 > 0.0).take(if stays { 0 } else { ALONG });
                let along: BTreeSet<ServerIx> = few.map(|change| change.0).collect();
                let goes = |line: &Share| leaves(line) || line.1 <= 0.0 && !warm(line);
                changes.retain(|change| goes(change) || along.contains(&change.0));
            }
            if haste < 2 && held {
                changes.clear();
            } else if haste < 2 && fits < changes.len() {
                // What is cut off waits: a cold server's line ahead of warm ones had a quarter of a table.
                let grows = |(at, weight): &Share| *weight > self.state.tables[table].weight(*at);
                changes.sort_by_key(|change| grows(change) && !warm(change));
            }
            // Removals go whole, unless even an empty channel could not take them.
            let whole = (claims[2] / users.len().max(1) as f64 - head).max(1.0) as usize;
            changes.truncate(if haste == 2 { whole } else { fits });
            let cost = changes.len() as f64 + head;
            let full = !users.is_empty() && queued + cost * users.len() as f64 > claims[2];
            let idle = changes.is_empty() && !gates;
            late += if haste == 2 && full { cost * users.len() as f64 } else { 0.0 };
            if idle || full || !users.iter().all(|p| self.may_tell(now, *p, haste)) {
                continue;
            }
            for (server, weight) in changes {
                orders.push(Action::SetLine { table, server, weight });
                self.state.tables[table].set((server, weight));
            }
            if gates {
                self.gate(table, orders);
            }
            queued += cost * users.len() as f64;
            users.iter().for_each(|p| spent[*p] += cost);
        }
        if late > 0.0 && self.state.reviewed == now {
            let (beyond, wait) = (format!("{late:.0} lines beyond {queued:.0}"), (queued + late) / pace);
            let text = format!("removals wait: {beyond} in the channel, {wait:.1} s at its pace");
            orders.push(Action::Log { text });
        }
        let binds = binds.unwrap_or_else(|| self.binds(now, claims[3], &mut queued, &mut spent));
        for (proxy, table) in binds {
            let given = &mut self.state.proxies[proxy];
            (given.bound, given.holds) = (Some(now), Some(table));
            orders.push(Action::Bind { proxy, table, routes: 0 });
        }
        orders.extend(self.state.mark_messages(now, &spent, self.channel.message_window));
    }

    /// Whom to hand a table, longest joined first: behind a cut, proxies kept what has drained meanwhile, and
    /// were seen to wait for it behind cold servers' lines. In a filled channel their room is taken first.
    fn binds(&self, now: Moment, most: f64, queued: &mut f64, spent: &mut [f64]) -> Vec<(ProxyIx, TableNo)> {
        let waits = |at: &ProxyIx| self.state.proxies[*at].bound.is_none();
        let mut waiting: Vec<ProxyIx> = (0..spent.len()).filter(waits).collect();
        waiting.sort_by_key(|at| self.state.proxies[*at].joins);
        let mut binds = Vec::new();
        for proxy in waiting {
            let Some(table) = self.state.table(&self.state.proxies[proxy]) else { continue };
            let standing = &self.state.tables[table];
            let gates = standing.gates.map_or(0, |_| self.routes.len());
            let cost = (standing.lines.len() + gates) as f64 + self.channel.message_overhead + 2.0;
            let fits = *queued + cost < most;
            if !standing.lines.is_empty() && fits && self.may_tell(now, proxy, 2) {
                binds.push((proxy, table));
                spent[proxy] += cost;
                *queued += cost;
            }
        }
        binds
    }

    /// Messages to one proxy: half of the limit is for removals alone, cold servers' lines once took it all.
    fn may_tell(&self, now: Moment, at: ProxyIx, haste: usize) -> bool {
        let (told, most) = (&self.state.proxies[at].told, self.channel.max_messages);
        let recent = told.iter().filter(|told| now.since(**told) <= self.channel.message_window).count();
        let since = told.last().map_or(Span(u64::MAX), |last| now.since(*last));
        let joined = since >= self.contract.drain_grace.times(0.4);
        recent < most / 2 && (haste > 0 || since >= GAP) || haste == 2 && recent + 1 < most && joined
    }

    fn gate(&mut self, table: TableNo, orders: &mut Vec<Action>) {
        let step = self.state.step;
        // Rule 2 by construction; and what one full server turns away only fills the next.
        let set = |routes, level| Action::SetLevel { table, routes, level, resend: ResendPolicy::Never };
        match (self.capabilities.throttle, step) {
            (Throttle::Fraction, step) if step > 0 || !self.state.caps.is_empty() => {
                orders.extend((0..self.routes.len()).map(|at| set(1 << at, self.level(at, step))))
            }
            _ => orders.push(set(0, UNLIMITED)),
        }
        self.state.tables[table].gates = Some(step);
    }

    /// A slice whose server is not usable gets another, an exclusive one when no write can be left there.
    fn mend_slices(&mut self, now: Moment, orders: &mut Vec<Action>) {
        let carried = self.carried(now);
        let usable: Vec<ServerIx> = (0..carried.len()).filter(|at| carried[*at] > 0.0).collect();
        for (table, slice) in self.state.slices.iter_mut().enumerate().filter(|(_, slice)| slice.given) {
            let (kept, lost): (Vec<Share>, _) = slice.lines.iter().partition(|l| carried[l.0] > 0.0);
            if usable.is_empty() || lost.is_empty() && !kept.is_empty() {
                continue;
            }
            let gate = |level| Action::SetLevel { table, routes: 0, level, resend: ResendPolicy::Never };
            if self.slicing.exclusive && !lost.is_empty() {
                orders.extend(slice.held_until.is_none().then(|| gate(0.0)));
                let rest = self.slicing.write_stop_delay + self.slicing.write_linger;
                if now < *slice.held_until.get_or_insert(now + rest) {
                    continue;
                }
            }
            let server = usable[table % usable.len()];
            orders.push(Action::SetLine { table, server, weight: 1.0 });
            orders.extend(slice.held_until.take().map(|_| gate(UNLIMITED)));
            let gone = lost.iter().filter(|_| !self.slicing.exclusive);
            orders.extend(gone.map(|(server, _)| Action::SetLine { table, server: *server, weight: 0.0 }));
            slice.lines = kept.into_iter().filter(|line| line.0 != server).chain([(server, 1.0)]).collect();
        }
    }
}

/// Demand-weighted k-means, seeded by the heaviest proxies, with as few groups as the margin allows. While
/// the seeds alone are far from it no means are taken: for a hundred parts these took most of a second.
fn group(members: &[Member]) -> Vec<usize> {
    let mut order: Vec<&Member> = members.iter().collect();
    order.sort_by(|a, b| b.demand.total_cmp(&a.demand));
    let mut seeds: Vec<&Member> = Vec::new();
    let mut nearest: Vec<(f64, usize)> = vec![(f64::INFINITY, 0); members.len()];
    let most = MARGIN * members.iter().map(|m| m.demand).sum::<f64>();
    for next in &order {
        if seeds.iter().any(|seed| excess(seed.target, next.target) < MARGIN) {
            continue;
        }
        for (member, near) in members.iter().zip(&mut nearest) {
            let cost = excess(next.target, member.target);
            *near = if cost < near.0 { (cost, seeds.len()) } else { *near };
        }
        seeds.push(next);
        if members.iter().zip(&nearest).map(|(m, near)| m.demand * near.0).sum::<f64>() <= FAR * most {
            let (groups, beyond) = means(members, &seeds);
            if beyond <= most {
                return groups;
            }
        }
    }
    means(members, &seeds).0
}

/// Groups round the means that the seeds lead to, and what these give beyond the members' targets.
fn means(members: &[Member], seeds: &[&Member]) -> (Vec<usize>, f64) {
    let mut centres: Vec<Vec<Share>> = seeds.iter().map(|seed| seed.target.to_vec()).collect();
    let mut groups: Vec<usize> = vec![0; members.len()];
    for _ in 0..3 {
        let nearest = |member: &Member| {
            let cost: Vec<f64> = centres.iter().map(|middle| excess(middle, member.target)).collect();
            (0..cost.len()).min_by(|a, b| cost[*a].total_cmp(&cost[*b])).unwrap_or(0)
        };
        groups = members.iter().map(nearest).collect();
        for (kind, middle) in centres.iter_mut().enumerate().filter(|(kind, _)| groups.contains(kind)) {
            *middle = centre(members.iter().zip(&groups).filter(|p| *p.1 == kind).map(|p| p.0));
        }
    }
    let beyond = members.iter().zip(&groups).map(|(m, g)| m.demand * excess(&centres[*g], m.target)).sum();
    (groups, beyond)
}

fn trim(mut table: Vec<Share>, members: &[&Member], zone: &[ZoneIx]) -> Vec<Share> {
    loop {
        rescale(&mut table);
        let bound = THIN / table.len().max(1) as f64;
        let mut thin: Vec<&Share> = table.iter().filter(|line| line.1 < bound).collect();
        thin.sort_by(|a, b| a.1.total_cmp(&b.1));
        let alone = |at: ServerIx| !table.iter().any(|l| l.0 != at && zone[l.0] == zone[at]);
        let without = |thin: &Share| {
            let mut left: Vec<Share> = table.iter().filter(|line| line.0 != thin.0).copied().collect();
            rescale(&mut left);
            (members.iter().map(|m| m.demand * excess(&left, m.target)).sum::<f64>(), left)
        };
        // The thinnest are looked at alone: all of a fleet that doubles is thin, and took the CPU.
        let droppable = thin.into_iter().filter(|line| !alone(line.0)).take(LOOKED_AT);
        let least = droppable.map(without).min_by(|a, b| a.0.total_cmp(&b.0));
        let Some((_, left)) = least else { return table };
        table = left;
    }
}

fn round(weight: f64) -> f64 {
    let scale = 2f64.powi(weight.max(1e-9).log2().floor() as i32) / DIGITS;
    (weight / scale).round() * scale
}

/// The lines to write, largest change first, additions ahead of removals. Only ratios count in a table: the
/// new weights are put to the scale of the standing ones: a removal then rewrites no other line.
fn deltas(standing: &[Share], wanted: &[Share]) -> Vec<Share> {
    if wanted.is_empty() {
        return Vec::new();
    }
    let held = |at: ServerIx| standing.iter().find(|l| l.0 == at).map_or(0.0, |l| l.1);
    let mut ratios: Vec<f64> = wanted.iter().map(|l| held(l.0) / l.1).filter(|ratio| *ratio > 0.0).collect();
    ratios.sort_by(f64::total_cmp);
    let scale = ratios.get(ratios.len() / 2).copied().filter(|r| (0.01..100.0).contains(r)).unwrap_or(1.0);
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
