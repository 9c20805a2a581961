//! A day as a script: the fleet, the calls, the rules, and the troubles with their times.

use crate::clients::Asked;
use crate::server::Machine;
use pewtergap_planner::{ChannelLimits, Contract, RetrySafety};
use pewtergap_proxy::EjectionConfig;
use pewtergap_settings::{channel, routes, rules, run, Faults, Fraction, RouteFile, Section};
use pewtergap_time::Span;

/// A place in the fleet: a machine, and another of its kind that follows when it is replaced.
#[derive(Clone, Debug)]
pub struct Slot {
    pub name: String,
    pub zone: String,
    pub machine: Machine,
    pub weight: f64,
    /// Not there at the start.
    pub later: bool,
}

#[derive(Clone, Debug)]
pub struct Trouble {
    pub kind: Struck,
    pub at: Span,
    pub lasts: Span,
    pub zone: Option<String>,
    /// Part of the servers, streams or answers that it strikes.
    pub share: f64,
    pub factor: f64,
    pub delay: Span,
    /// How long a drained server stays after the grace.
    pub linger: Span,
}

/// Kinds of trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Struck {
    Deploy,
    Growth,
    ZoneCut,
    ZoneLost,
    StreamsBroken,
    PlannerKilled,
    PlannersRolled,
    PlannerStopped,
    ProxyDeaf,
    SlowChannel,
    SlowLink,
    LostAnswers,
    SilentServer,
    DeadServer,
    Flapping,
    SlowServers,
    Ageing,
    SlowOrigin,
    FewConnections,
    Burst,
    HotProxy,
    HeavyWork,
    WrongList,
    ListGoesBack,
    ListExpires,
    ListTorn,
    /// A planner's links to the other planners are cut; or it hears none of them; or nobody hears anybody.
    MemberCut,
    MemberDeaf,
    MajorityLost,
    /// The planner that leads is killed, and started again.
    LeaderKilled,
    /// A planner is lost with its record, and comes back with an empty disk.
    DiskLost,
}

use Struck::*;

impl Struck {
    /// Members may not hear each other for as long as it lasts.
    pub fn strikes_planners(self) -> bool {
        matches!(
            self,
            PlannerKilled
                | PlannersRolled
                | PlannerStopped
                | MemberCut
                | MemberDeaf
                | MajorityLost
                | LeaderKilled
                | DiskLost
        )
    }

    /// Whoever asks across it is not heard.
    pub fn hides_servers(self) -> bool {
        matches!(self, ZoneCut | ZoneLost)
    }
}

/// The names of the script.
pub const KINDS: &[(&str, Struck)] = &[
    ("deploy", Deploy),
    ("growth", Growth),
    ("zone_cut", ZoneCut),
    ("zone_lost", ZoneLost),
    ("streams_broken", StreamsBroken),
    ("planner_killed", PlannerKilled),
    ("planners_rolled", PlannersRolled),
    ("planner_stopped", PlannerStopped),
    ("proxy_deaf", ProxyDeaf),
    ("slow_channel", SlowChannel),
    ("slow_link", SlowLink),
    ("lost_answers", LostAnswers),
    ("silent_server", SilentServer),
    ("dead_server", DeadServer),
    ("flapping", Flapping),
    ("slow_servers", SlowServers),
    ("ageing", Ageing),
    ("slow_origin", SlowOrigin),
    ("few_connections", FewConnections),
    ("burst", Burst),
    ("hot_proxy", HotProxy),
    ("heavy_work", HeavyWork),
    ("wrong_list", WrongList),
    ("list_goes_back", ListGoesBack),
    ("list_expires", ListExpires),
    ("list_torn", ListTorn),
    ("member_cut", MemberCut),
    ("member_deaf", MemberDeaf),
    ("majority_lost", MajorityLost),
    ("leader_killed", LeaderKilled),
    ("disk_lost", DiskLost),
];

#[derive(Clone, Debug)]
pub struct Day {
    pub name: String,
    pub lasts: Span,
    pub zones: Vec<String>,
    pub slots: Vec<Slot>,
    pub proxies: usize,
    pub planners: usize,
    /// Planners are members of one cluster, and operators give them orders all day.
    pub agreed: bool,
    /// And hold duties: slices of probes, cleaning.
    pub duties: bool,
    /// And share what they see.
    pub sharing: bool,
    pub standing: usize,
    pub routes: Vec<RouteFile>,
    pub asked: Vec<Asked>,
    pub calls_per_s: f64,
    /// Demand of the heaviest proxy against the lightest.
    pub skew: f64,
    pub crossing_price: f64,
    pub contract: Contract,
    pub no_line: Span,
    pub channel: ChannelLimits,
    pub report_every: Span,
    pub intake_per_s: f64,
    pub shunning: EjectionConfig,
    pub troubles: Vec<Trouble>,
}

impl Day {
    pub fn read(file: &str, text: &str) -> Result<Day, Faults> {
        run(file, text)?.as_kind("day", Day::take)
    }

    fn take(part: &Section) -> Day {
        let zones: Vec<String> = part.required("zones");
        let lasts: Span = part.required("lasts");
        let (contract, no_line) = part.part_or_default("rules", "rules", rules);
        let mut slots: Vec<Slot> = Vec::new();
        let groups = part.parts("servers", "servers", |part| {
            let machine = Machine {
                cores: part.or_default("cores", 2),
                speed: part.or_default("speed", 1.0),
                queue: part.or_default("queue", 40),
                most_conns: part.or_default("connections", 200),
                cold_from: part.or_default("cold_from", Fraction(0.3)).0,
                cold_for: part.or_default("cold_for", Span::millis(4_000)),
            };
            if machine.cold_from < contract.cold_capacity || machine.cold_for > contract.warmup {
                part.conflict("cold_from", "colder, or cold for longer, than the rules say");
            }
            let zone: String = part.required("zone");
            if !zones.contains(&zone) {
                part.error("zone", format!("\"{zone}\" is not among the zones"));
            }
            let weight: f64 = part.or_default("weight", machine.cores as f64 * machine.speed);
            (part.required::<usize>("count"), zone, machine, weight, part.or_default("later", false))
        });
        for (count, zone, machine, weight, later) in groups {
            for _ in 0..count {
                let name = format!("s{}", slots.len() + 1);
                slots.push(Slot { name, zone: zone.clone(), machine, weight, later });
            }
        }
        if slots.iter().all(|slot| slot.later) {
            part.error("servers", "at least one server that is there at the start was expected");
        }
        let routes = routes(part);
        let asked = part.parts("calls", "calls", |part| {
            let name: String = part.required("name");
            let route = routes.iter().find(|route| route.name == name);
            if route.is_none() {
                part.error("name", format!("\"{name}\" is not among the routes"));
            }
            Asked {
                share: part.or_default("share", 1.0),
                work: part.or_default("work", Span::millis(40)),
                cv: part.or_default("scatter", 0.5),
                time_limit: route.map_or(Span::millis(1), |route| route.planned.time_limit),
                repeatable: route.is_some_and(|route| route.planned.retry_safety == RetrySafety::Repeatable),
                route: name,
            }
        });
        if asked.is_empty() {
            part.error("calls", "at least one calls() was expected");
        }
        let planners: usize = part.or_default("planners", 2);
        let agreed: bool = part.or_default("agreed", false);
        let duties: bool = part.or_default("duties", false);
        let sharing: bool = part.or_default("sharing", false);
        if sharing && !duties {
            part.conflict("sharing", "only planners with duties have it: duties = True");
        }
        if duties && !agreed {
            part.conflict("duties", "only planners that agree have them: agreed = True");
        }
        if agreed && ![1, 3, 5, 7].contains(&planners) {
            part.conflict("planners", "1, 3, 5 or 7 of them agree");
        }
        let troubles = part.parts("troubles", "trouble", |part| {
            let trouble = Trouble {
                kind: part.choice("name", KINDS),
                at: part.required("at"),
                lasts: part.or_default("lasts", Span::millis(1_000)),
                zone: part.optional("zone"),
                share: part.or_default("share", Fraction(0.2)).0,
                factor: part.or_default("factor", 0.5),
                delay: part.or_default("delay", Span::millis(50)),
                linger: part.or_default("linger", Span::millis(500)),
            };
            if trouble.at + trouble.lasts > lasts {
                part.conflict("at", format!("ends {} into a day of {lasts}", trouble.at + trouble.lasts));
            }
            if let Some(zone) = trouble.zone.as_ref().filter(|zone| !zones.contains(zone)) {
                part.error("zone", format!("\"{zone}\" is not among the zones"));
            }
            if !agreed
                && matches!(trouble.kind, MemberCut | MemberDeaf | MajorityLost | LeaderKilled | DiskLost)
            {
                part.conflict("name", "only planners that agree have it: agreed = True");
            }
            let zonal = matches!(trouble.kind, ZoneCut | ZoneLost);
            if zonal && trouble.zone.is_none() {
                part.error("zone", "is missing: which zone is struck?");
            }
            trouble
        });
        Day {
            name: part.required("name"),
            lasts,
            slots,
            proxies: part.or_default("proxies", 8),
            planners,
            agreed,
            duties,
            sharing,
            standing: part.or_default("standing", 4),
            routes,
            asked,
            calls_per_s: part.or_default("calls_per_s", 200.0),
            skew: part.or_default("skew", 2.0),
            crossing_price: part.or_default("crossing_price", Fraction(0.03)).0,
            contract,
            no_line,
            channel: part.part_or_default("channel", "channel", channel),
            report_every: part.or_default("report_every", Span::millis(500)),
            intake_per_s: part.or_default("intake_per_s", 500.0),
            shunning: part.part_or_default("shunning", "shunning", |part| EjectionConfig {
                consecutive_failures: part.or_default("after", 0u64) as u32,
                ejection_time: part.or_default("rest", Span::millis(2_000)),
            }),
            troubles,
            zones,
        }
    }

    /// By how much the channel is slower than told, at worst: times in the rules lengthen by it.
    pub fn slowest(&self) -> f64 {
        let slow = self.troubles.iter().filter(|trouble| trouble.kind == SlowChannel);
        slow.map(|trouble| 1.0 / trouble.factor.clamp(0.05, 1.0)).fold(1.0, f64::max)
    }
}

/// What the director does.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// The place's successor starts, cold, and is listed.
    Replace(usize),
    /// The place's former server is told to drain.
    Drain(usize),
    /// It is taken off the list and ends.
    Remove(usize),
    /// A place that was not there at the start is filled.
    Fill(usize),
    LoseZone(String),
    /// The list learns of a lost zone.
    UnlistZone(String),
    ReturnZone(String),
    /// A server dies; the list does not know.
    Die(usize),
    /// It is started again, cold, and listed with its new start.
    Revive(usize),
    /// A word for the place's present server.
    Server(usize, String),
    Relay(String),
    /// The relay is told of the proxy or planner of this number.
    RelayProxy(String, usize),
    RelayServers(String, Vec<usize>),
    List(String),
    /// The list says of a running server that it is gone, and takes it back.
    Unlist(usize),
    Relist(usize),
    /// The list names a server that never was.
    Invent(usize, bool),
    Clients(String),
    HotProxy(usize, f64),
    KillPlanner(usize),
    StopPlanner(usize),
    StartPlanner(usize),
    /// A word for the relay of members' links.
    Links(String),
    KillLeader,
    StartKilled,
    LosePlanner(usize),
    FreezePlanner(usize),
    ThawPlanner(usize),
}

/// The acts of a day in their order; chance from the seed decides whom a trouble strikes.
pub fn script(day: &Day, seed: u64) -> Vec<(Span, Act)> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut acts: Vec<(Span, Act)> = Vec::new();
    let present: Vec<usize> = (0..day.slots.len()).filter(|slot| !day.slots[*slot].later).collect();
    for trouble in &day.troubles {
        let (at, end) = (trouble.at, trouble.at + trouble.lasts);
        let mut struck: Vec<usize> = present.clone();
        if let Some(zone) = &trouble.zone {
            struck.retain(|slot| day.slots[*slot].zone == *zone);
        }
        rng.shuffle(&mut struck);
        let all = struck.clone();
        struck.truncate(((struck.len() as f64 * trouble.share).round() as usize).max(1));
        let planner = rng.usize(0..day.planners.max(1));
        let proxy = rng.usize(0..day.proxies);
        let zone = trouble.zone.clone().unwrap_or_default();
        let mut add = |at: Span, act: Act| acts.push((at, act));
        match trouble.kind {
            Deploy => {
                let batches = all.len().div_ceil(struck.len());
                let pause = trouble.lasts.times(1.0 / batches as f64);
                for (batch, slots) in all.chunks(struck.len()).enumerate() {
                    let from = at + pause.times(batch as f64);
                    let drain = from + Span::millis(800);
                    for slot in slots {
                        add(from, Act::Replace(*slot));
                        add(drain, Act::Drain(*slot));
                        add(
                            drain + day.contract.drain_grace.times(day.slowest()) + trouble.linger,
                            Act::Remove(*slot),
                        );
                    }
                }
            }
            Growth => {
                let later = (0..day.slots.len()).filter(|slot| day.slots[*slot].later);
                later.for_each(|slot| add(at, Act::Fill(slot)));
                add(end, Act::Clients(format!("rate all {}", trouble.factor)));
            }
            ZoneCut => {
                add(at, Act::Relay(format!("cut {zone}")));
                add(end, Act::Relay(format!("heal {zone}")));
            }
            ZoneLost => {
                add(at, Act::LoseZone(zone.clone()));
                add(at + Span::millis(700), Act::UnlistZone(zone.clone()));
                add(end, Act::ReturnZone(zone));
            }
            StreamsBroken => add(at, Act::Relay(format!("break {}", trouble.share))),
            PlannerKilled => {
                add(at, Act::KillPlanner(planner));
                add(end, Act::StartPlanner(planner));
            }
            PlannersRolled => {
                for which in 0..day.planners {
                    let pause = trouble.lasts.times(1.0 / day.planners as f64);
                    let from = at + pause.times(which as f64);
                    add(from, Act::StopPlanner(which));
                    add(from + pause.times(0.5), Act::StartPlanner(which));
                }
            }
            PlannerStopped => {
                add(at, Act::FreezePlanner(planner));
                add(end, Act::ThawPlanner(planner));
            }
            ProxyDeaf => {
                add(at, Act::RelayProxy("stall".into(), proxy));
                add(end, Act::RelayProxy("unstall".into(), proxy));
            }
            SlowChannel => {
                let bytes = 12_000.0 * trouble.factor;
                add(at, Act::Relay(format!("slow streams {} {bytes}", trouble.delay.0 / 1_000_000)));
                add(end, Act::Relay("quick streams".into()));
            }
            SlowLink => {
                add(at, Act::Relay(format!("slow crossing {} 200000", trouble.delay.0 / 1_000_000)));
                add(end, Act::Relay("quick crossing".into()));
            }
            LostAnswers => {
                add(at, Act::RelayServers(format!("lose {}", trouble.factor), struck));
                add(end, Act::Relay("lose 0".into()));
            }
            SilentServer => {
                for slot in struck {
                    add(at, Act::Server(slot, "silent".into()));
                    add(end, Act::Server(slot, "speak".into()));
                }
            }
            DeadServer => {
                for slot in struck {
                    add(at, Act::Die(slot));
                    add(end, Act::Revive(slot));
                }
            }
            Flapping => {
                for slot in struck {
                    let turns = 3;
                    for turn in 0..turns {
                        let from = at + trouble.lasts.times(f64::from(turn) / f64::from(turns));
                        add(from, Act::Die(slot));
                        add(from + trouble.lasts.times(0.5 / f64::from(turns)), Act::Revive(slot));
                    }
                }
            }
            SlowServers => {
                for slot in struck {
                    add(at, Act::Server(slot, format!("speed {}", trouble.factor)));
                    add(end, Act::Server(slot, "speed 1".into()));
                }
            }
            Ageing => {
                for slot in struck {
                    for step in 1..=4 {
                        let speed = 1.0 - (1.0 - trouble.factor) * f64::from(step) / 4.0;
                        let from = at + trouble.lasts.times(f64::from(step - 1) / 5.0);
                        add(from, Act::Server(slot, format!("speed {speed:.2}")));
                    }
                    add(at + trouble.lasts.times(0.8), Act::Die(slot));
                    add(end, Act::Revive(slot));
                }
            }
            SlowOrigin => {
                for slot in all {
                    add(at, Act::Server(slot, format!("speed {}", trouble.factor)));
                    add(end, Act::Server(slot, "speed 1".into()));
                }
            }
            FewConnections => {
                for slot in all {
                    add(at, Act::Server(slot, format!("conns {}", trouble.factor)));
                    add(end, Act::Server(slot, "conns".into()));
                }
            }
            Burst => {
                add(at, Act::Clients(format!("rate all {}", trouble.factor)));
                add(end, Act::Clients("rate all 1".into()));
            }
            HotProxy => {
                add(at, Act::HotProxy(proxy, trouble.factor));
                add(end, Act::HotProxy(proxy, 1.0));
            }
            HeavyWork => {
                add(at, Act::Clients(format!("work {}", trouble.factor)));
                add(end, Act::Clients("work 1".into()));
            }
            WrongList => {
                for slot in struck {
                    add(at, Act::Unlist(slot));
                    add(at, Act::Invent(slot, true));
                    add(end, Act::Invent(slot, false));
                    add(end, Act::Relist(slot));
                }
            }
            ListGoesBack => add(at, Act::List(format!("older {}", trouble.lasts.0 / 1_000_000))),
            ListExpires => add(at, Act::List("expire".into())),
            ListTorn => add(at, Act::List("tear".into())),
            MemberCut | MemberDeaf | MajorityLost => {
                for from in 0..day.planners {
                    for to in (0..day.planners).filter(|to| *to != from) {
                        let cut = match trouble.kind {
                            MemberCut => from == planner || to == planner,
                            MemberDeaf => to == planner,
                            _ => true,
                        };
                        if cut {
                            add(at, Act::Links(format!("cut {from} {to}")));
                            add(end, Act::Links(format!("open {from} {to}")));
                        }
                    }
                }
            }
            LeaderKilled => {
                add(at, Act::KillLeader);
                add(end, Act::StartKilled);
            }
            DiskLost => {
                add(at, Act::LosePlanner(planner));
                add(end, Act::StartPlanner(planner));
            }
        }
    }
    acts.sort_by_key(|act| act.0);
    acts
}
