//! The settings files of a planner, a control machine and a proxy.

use crate::read::{Faults, Fraction, Section};
use crate::script::Script;
use pewtergap_control::channel::Channel;
use pewtergap_control::{ListSource, ListenConfig, ProbeConfig, ReportConfig, Service, ServiceConfig};
use pewtergap_duty::LeaseConfig;
use pewtergap_member::messages::SUPPORTED_FORMATS;
use pewtergap_member::{
    probe_duty_names, AccountingConfig, DutyConfig, MemberConfig, PlannerNode, SharingConfig, MAX_MEMBERS,
    MAX_OBSERVERS,
};
use pewtergap_node::Node;
use pewtergap_planner::{
    Capabilities, ChannelLimits, Contract, Fleet, KeyScope, Planner, RetrySafety, Route, Slicing, Throttle,
};
use pewtergap_proxy::{EjectionConfig, FrontConfig, Proxy, ProxyConfig};
use pewtergap_raft::RaftConfig;
use pewtergap_record::{ACCOUNTING_DUTY, CLEANING_DUTY, OBSERVERS_FORMAT, RELEASE_DUTY};
use pewtergap_shares::BudgetConfig;
use pewtergap_tier::{ControlMachine, ControlMachineConfig, WatchTargetConfig, WatchingPlanner};
use pewtergap_time::{Moment, Span};
use pewtergap_watch::WatchConfig;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Maximum number of control machines configured for a planner.
const MAX_MACHINES: usize = 64;

/// The settings of `pewtergap run`.
pub struct ServiceFile {
    pub service: ServiceConfig,
    pub listen: ListenConfig,
    pub source: ListSource,
    pub fleet: Fleet,
    pub routes: Vec<Route>,
    pub channel: ChannelLimits,
    pub contract: Contract,
    pub capabilities: Capabilities,
    pub slicing: Slicing,
    pub reports: ReportConfig,
    pub probes: ProbeConfig,
    /// The cluster that this planner is a member of; it is the only member unless others are configured.
    pub member: MemberConfig,
    /// The control machines that it watches instead of being a member.
    pub watch: Option<WatchTargetConfig>,
    pub seed: Option<u64>,
    pub dir: PathBuf,
}

/// The settings of `pewtergap control`.
pub struct ControlFile {
    pub config: ControlMachineConfig,
    pub seed: Option<u64>,
    pub dir: PathBuf,
}

/// The settings of `pewtergap proxy`.
pub struct ProxyFile {
    pub proxy: ProxyConfig,
    pub front: FrontConfig,
    pub routes: Vec<pewtergap_proxy::Route>,
    pub shunning: EjectionConfig,
    pub standing: Vec<String>,
    pub seed: Option<u64>,
    pub dir: PathBuf,
}

/// A route, as configured for the planner and for the proxy.
#[derive(Clone, Debug)]
pub struct RouteFile {
    pub name: String,
    pub planned: Route,
    pub served: pewtergap_proxy::Route,
}

fn route(part: &Section) -> RouteFile {
    let name: String = part.required("name");
    if name.contains(['/', ' ', '?']) {
        part.error("name", "a route is the first segment of a path, without / or ?");
    }
    let (slo_time, time_limit): (Span, Span) = (part.required("slo_time"), part.required("time_limit"));
    if slo_time > time_limit {
        part.conflict("slo_time", format!("{slo_time} is beyond the time limit of {time_limit}"));
    }
    let window: Option<Span> = part.optional("window");
    let scope = part
        .choice("key_scope", &[("all", KeyScope::All), ("zone", KeyScope::Zone), ("cell", KeyScope::Cell)]);
    let retry_safety = match part.choice("repeats", &[("mutating", 0), ("repeatable", 1), ("keyed", 2)]) {
        0 => RetrySafety::Mutating,
        1 => RetrySafety::Repeatable,
        _ => {
            if window.is_none() {
                part.error("window", "is missing: the time for which repeats of a keyed call are dropped");
            }
            RetrySafety::Keyed { scope, window: window.unwrap_or_default() }
        }
    };
    let resend = part.choice("retries", &[("never", 0), ("on proof", 1), ("once", 2)]);
    let mutating = retry_safety != RetrySafety::Repeatable;
    if resend == 2 && mutating {
        part.error(
            "retries",
            "a route that is not repeatable may only be tried again \"on proof\" that it never ran",
        );
    }
    let planned = Route {
        importance: part.or_default("importance", 1.0),
        slo_time,
        time_limit,
        retry_safety,
        zone_bound: part.or_default("zone_bound", false),
        writes: part.or_default("writes", retry_safety == RetrySafety::Mutating),
    };
    let served = pewtergap_proxy::Route { name: name.clone(), time_limit, mutating, resend };
    RouteFile { name, planned, served }
}

/// The routes of a file: at least one, with unique names.
pub fn routes(part: &Section) -> Vec<RouteFile> {
    let routes = part.parts("routes", "route", route);
    if routes.is_empty() {
        part.error("routes", "at least one route() was expected");
    }
    if routes.len() > 60 {
        part.error("routes", "60 routes at most");
    }
    for (at, route) in routes.iter().enumerate() {
        if routes[..at].iter().any(|other| other.name == route.name) {
            part.error("routes", format!("duplicate route \"{}\"", route.name));
        }
    }
    routes
}

fn source(part: &Section) -> ListSource {
    match part.kind() {
        "list_watch" => ListSource::Watch {
            address: part.required("address"),
            path: part.or_default("path", "/apis/discovery.k8s.io/v1/endpointslices".to_string()),
        },
        _ => ListSource::File { name: part.required("name") },
    }
}

/// The values of `rules()`, and the time for which a proxy may be without a line.
pub fn rules(part: &Section) -> (Contract, Span) {
    let contract = Contract {
        drain_grace: part.required("drain_grace"),
        removal_is_binding: part.or_default("removal_binds", true),
        cold_capacity: part.or_default("cold_from", Fraction(0.2)).0,
        warmup: part.required("cold_for"),
        overload_factor: part.or_default("overload", 3.0),
        overload_time: part.or_default("fall", Span::millis(2_000)),
    };
    if contract.overload_factor < 1.0 {
        part.error("overload", "a server within its capacity is not overloaded, 1 or more was expected");
    }
    (contract, part.or_default("no_line", Span::millis(2_000)))
}

pub fn channel(part: &Section) -> ChannelLimits {
    ChannelLimits {
        message_overhead: part.or_default("head", 3.0),
        max_queued_lines: part.required("most_waiting"),
        max_messages: part.or_default("messages", usize::MAX),
        message_window: part.or_default("messages_over", Span::millis(10_000)),
        lines_per_s: part.required("lines_per_s"),
        max_transit: part.or_default("longest_way", Span::millis(250)),
    }
}

/// Names with their addresses; names are unique.
fn named_addresses(part: &Section, list: &str, kind: &str) -> Vec<(String, SocketAddr)> {
    let all = part.parts(list, kind, |part| (part.required::<String>("name"), part.required("address")));
    for (at, one) in all.iter().enumerate() {
        if all[..at].iter().any(|other| other.0 == one.0) {
            part.error(list, format!("duplicate {kind} \"{}\"", one.0));
        }
    }
    all
}

/// The members of the cluster. If omitted, the planner is the only member.
fn cluster(part: &Section) -> MemberConfig {
    let founders = named_addresses(part, "members", "member");
    let observers = named_addresses(part, "observers", "member");
    if let Some(both) = observers.iter().find(|one| founders.iter().any(|other| other.0 == one.0)) {
        part.error("observers", format!("\"{}\" is already among the voting members", both.0));
    }
    if observers.len() > MAX_OBSERVERS {
        part.error(
            "observers",
            format!("{} observers: {MAX_OBSERVERS} at most were expected", observers.len()),
        );
    }
    if founders.is_empty() && !observers.is_empty() {
        part.error("observers", "members is missing: observers need a cluster");
    }
    if founders.len() > MAX_MEMBERS || !founders.is_empty() && founders.len().is_multiple_of(2) {
        part.error("members", format!("{} members: 1, 3, 5 or 7 were expected", founders.len()));
    }
    let raft = RaftConfig {
        heartbeat_interval: part.or_default("beat", Span::millis(50)),
        election_timeout: part.or_default("election", Span::millis(500)),
    };
    if raft.heartbeat_interval.times(4.0) > raft.election_timeout {
        part.conflict(
            "election",
            format!(
                "{} is less than four heartbeat intervals of {}",
                raft.election_timeout, raft.heartbeat_interval
            ),
        );
    }
    let request_timeout = part.or_default("patience", Span::millis(3_000));
    let listen = part.optional("listen");
    let max_format = part.or_default("format", SUPPORTED_FORMATS.1 as usize) as u32;
    if !(SUPPORTED_FORMATS.0..=SUPPORTED_FORMATS.1).contains(&max_format) {
        part.error(
            "format",
            format!("{max_format}: this build supports {} to {}", SUPPORTED_FORMATS.0, SUPPORTED_FORMATS.1),
        );
    } else if max_format < OBSERVERS_FORMAT && !observers.is_empty() {
        part.error("format", format!("{max_format}: observers need {OBSERVERS_FORMAT}"));
    }
    MemberConfig {
        name: String::new(),
        listen,
        founders,
        source_ip: None,
        raft,
        request_timeout,
        seed: 0,
        max_format,
        duties: None,
        accounting: None,
        sharing: None,
        probe_slices: (0, Span(0)),
        observers,
        serves_watches: false,
    }
}

/// Duties that one planner holds at a time; if omitted, there are none and each planner does everything itself.
fn duties(part: &Section) -> (LeaseConfig, Span, usize) {
    let lease = LeaseConfig {
        duration: part.or_default("lease", Span::millis(3_000)),
        renew_interval: part.or_default("renew", Span::millis(500)),
        max_pause: part.or_default("pause", Span::millis(500)),
        max_clock_drift: part.or_default("drift", Fraction(0.02)).0,
    };
    if let Err(why) = lease.validate() {
        part.conflict("lease", why);
    }
    let slices = part.or_default("slices", 1);
    if slices > 200 {
        part.error("slices", format!("{slices} of each zone: 0 to 200 were expected"));
    }
    (lease, part.or_default("steady", Span::millis(5_000)), slices)
}

/// What planners share with each other; if omitted, nothing.
fn sharing(
    part: &Section,
    fleet: &Fleet,
    reports: &ReportConfig,
    contract: &Contract,
    drift: f64,
) -> SharingConfig {
    let interval = part.or_default("every", Span::millis(500));
    let max_age = part.or_default("fresh", Span::millis(3_000));
    if interval < Span::millis(50) {
        part.error("every", "at least 50ms were expected");
    }
    if max_age < interval.times(2.0) {
        part.conflict("fresh", format!("{max_age} is less than twice the interval of {interval}"));
    }
    let budget = BudgetConfig {
        share_validity: part.or_default("holds", Span::millis(30_000)),
        // After this time a server that was cold under a planner's last tables is warm, wherever they are still in force.
        effect_timeout: contract.warmup + contract.drain_grace,
        max_clock_drift: drift,
        planner_count: fleet.planners as u64,
    };
    let (proxies, max_streams) = (fleet.proxies as f64, reports.max_streams as f64);
    SharingConfig { interval, max_age, budget, proxies, max_streams }
}

fn accounting(part: &Section) -> AccountingConfig {
    let accounting = AccountingConfig {
        address: part.required("receiver"),
        period: part.or_default("period", Span::millis(60_000)),
    };
    if accounting.period < Span::millis(100) {
        part.error("period", "at least 100ms were expected");
    }
    accounting
}

/// The control machines watched by a planner that is not a member.
fn watch(part: &Section) -> WatchTargetConfig {
    let machines = named_addresses(part, "machines", "machine");
    if machines.is_empty() || machines.len() > MAX_MACHINES {
        part.error("machines", format!("{} machines: 1 to {MAX_MACHINES} were expected", machines.len()));
    }
    let defaults = WatchConfig::default();
    let watch_config =
        WatchConfig { connect_timeout: part.or_default("dial", defaults.connect_timeout), ..defaults };
    WatchTargetConfig { planner: String::new(), machines, source_ip: None, watch_config, seed: 0 }
}

/// The watch server of a control machine.
fn watches(part: &Section) -> (SocketAddr, WatchConfig) {
    let defaults = WatchConfig::default();
    let watch_config = WatchConfig {
        max_watches: part.or_default("most", defaults.max_watches),
        max_snapshots: part.or_default("snapshots", defaults.max_snapshots),
        batch_interval: part.or_default("pace", defaults.batch_interval),
        ..defaults
    };
    if watch_config.max_watches > 16_384 {
        part.error("most", format!("{}: 16384 watches at most were expected", watch_config.max_watches));
    }
    if watch_config.max_snapshots > watch_config.max_watches {
        part.conflict(
            "snapshots",
            format!("{} of {} watches", watch_config.max_snapshots, watch_config.max_watches),
        );
    }
    if watch_config.batch_interval < Span::millis(10) || watch_config.batch_interval > Span::millis(2_000) {
        part.error("pace", format!("{}: 10ms to 2s were expected", watch_config.batch_interval));
    }
    (part.required("listen"), watch_config)
}

/// A name that is also used as a file name.
fn file_name(part: &Section) -> String {
    let name: String = part.required("name");
    if !name.chars().all(|c| c.is_ascii_alphanumeric() || c == '-' || c == '_') {
        part.error("name", "letters, digits, - and _ only: it is used in file names");
    }
    name
}

pub fn control_file(script: &Script) -> Result<ControlFile, Faults> {
    script.as_kind("control_machine", |part| {
        let name = file_name(part);
        let from = part.optional("source_address");
        let post = part.part_or_default("cluster", "cluster", cluster);
        if !post.founders.is_empty() && post.listen.is_none() {
            part.error("cluster", "listen is missing: the address that other members connect to");
        }
        let mut belong = post.founders.iter().chain(&post.observers);
        if !post.founders.is_empty() && !belong.any(|one| one.0 == name) {
            part.conflict(
                "cluster",
                format!("\"{name}\" is neither among the members nor among the observers"),
            );
        }
        let (listen, terms) = part
            .required_part("watches", &["watches"], watches)
            .unwrap_or((SocketAddr::from(([127, 0, 0, 1], 0)), WatchConfig::default()));
        let home = ControlMachineConfig {
            member: MemberConfig { name, source_ip: from, ..post },
            watches: listen,
            admin: part.optional("admin"),
            watch_config: terms,
            seed: 0,
        };
        ControlFile {
            config: home,
            seed: part.optional("seed"),
            dir: part.or_default("state_dir", ".".to_string()).into(),
        }
    })
}

pub fn service_file(script: &Script) -> Result<ServiceFile, Faults> {
    script.as_kind("service", |part| {
        let name = file_name(part);
        let zones: Vec<String> = part.required("zones");
        if zones.is_empty() {
            part.error("zones", "at least one zone was expected");
        }
        let routes = routes(part);
        let fleet = part.part_or_default("fleet", "fleet", |part| Fleet {
            zones: zones.len(),
            proxies: part.required("proxies"),
            planners: part.or_default("planners", 1),
            list_on_request: false,
            list_request_interval: Span::millis(0),
            cross_zone_cost: part.or_default("crossing_price", Fraction(0.05)).0,
            min_server_connections: part.or_default("smallest_connections", f64::INFINITY),
            keep_alive: part.or_default("keep_alive", Span::millis(15_000)),
        });
        let channel = part.part_or_default("channel", "channel", channel);
        let contract = part.part_or_default("rules", "rules", rules).0;
        // A removal must reach all proxies of the fleet in time, even if all other planners are down.
        let leaves = fleet.proxies as f64 * (channel.message_overhead + 2.0) / channel.lines_per_s.max(1e-9);
        let removal = Span::of_seconds(channel.max_transit.seconds() + leaves);
        if removal > contract.drain_grace {
            let what = format!(
                "a removal to {} proxies takes {removal}, the drain grace is {}",
                fleet.proxies, contract.drain_grace
            );
            part.conflict("channel", what);
        }
        if channel.max_queued_lines < fleet.proxies as f64 * (channel.message_overhead + 2.0) {
            let what = format!(
                "{} queued lines cannot hold a removal to {} proxies",
                channel.max_queued_lines, fleet.proxies
            );
            part.conflict("channel", what);
        }
        let probing = part.part_or_default("probes", "probes", |part| {
            let probing = ProbeConfig {
                path: part.or_default("path", "/healthz".to_string()),
                timeout: part.or_default("within", Span::millis(500)),
                max_open: part.or_default("most_open", 64),
                body_fields: None,
            };
            (part.or_default("on", true), part.or_default("carry_load", false), probing)
        });
        let capabilities = Capabilities {
            throttle: part.choice("levels", &[("fraction", Throttle::Fraction), ("off", Throttle::Off)]),
            probes: probing.0,
            load_on_probe: probing.1,
            ejects_servers: part.or_default("proxies_shun", false),
            resend_wait_factor: 0.0,
            // The plain proxy knows no zones of servers: it uses its table for all routes.
            proxies_keep_zone_bound: false,
        };
        let reports = part.part_or_default("reports", "reports", |part| ReportConfig {
            interval: part.or_default("every", Span::millis(1_000)),
            lines_per_s: part.or_default("intake_per_s", 1_000.0),
            max_streams: part.or_default("most_streams", 16_384),
        });
        let doors = ListenConfig {
            proxies: part.required("listen"),
            admin: part.optional("admin"),
            source_ip: part.optional("source_address"),
        };
        let post = part.part_or_default("cluster", "cluster", cluster);
        if !post.founders.is_empty() && post.listen.is_none() {
            part.error("cluster", "listen is missing: the address that other members connect to");
        }
        let watch = part.optional_part("watch", "watch", watch);
        let receiver = part.optional_part("books", "books", accounting);
        let duties = part.optional_part("duties", "duties", duties).map(|(lease, steady, slices)| {
            let names = [Some(CLEANING_DUTY), Some(RELEASE_DUTY), receiver.map(|_| ACCOUNTING_DUTY)];
            let names = names.into_iter().flatten().map(str::to_string);
            let names = names.chain(probe_duty_names(&zones, slices)).collect();
            (DutyConfig { lease, rejoin_delay: steady, names }, slices)
        });
        let drift = duties.as_ref().map_or(0.0, |duties| duties.0.lease.max_clock_drift);
        let shares =
            part.optional_part("sharing", "sharing", |part| sharing(part, &fleet, &reports, &contract, drift));
        if shares.is_some() && duties.is_none() {
            part.error("sharing", "duties() is missing: its leases determine the shares of a budget");
        }
        if shares.is_some() && post.founders.len() > fleet.planners {
            let what = format!(
                "{} members, the fleet is meant to have {} planners",
                post.founders.len(),
                fleet.planners
            );
            part.conflict("sharing", what);
        }
        let slices = (duties.as_ref().map_or(0, |duties| duties.1), probing.2.timeout);
        let duties = duties.map(|duties| duties.0);
        if receiver.is_some() && duties.is_none() {
            part.error("books", "duties() is missing: accounting is a duty of one planner at a time");
        }
        let member = !post.founders.is_empty() || duties.is_some() || shares.is_some() || receiver.is_some();
        if watch.is_some() && member {
            let what = "a planner that watches is not a member: cluster(), duties(), sharing() and books() are for members only";
            part.error("watch", what);
        }
        let watch = watch.map(|watch| WatchTargetConfig { planner: name.clone(), source_ip: doors.source_ip, ..watch });
        let unresponsive_after = Span(contract.drain_grace.0.saturating_mul(4).max(Span::millis(5_000).0));
        ServiceFile {
            service: ServiceConfig {
                name: name.clone(),
                zones,
                routes: routes.iter().map(|r| r.name.clone()).collect(),
                unresponsive_after,
            },
            listen: doors,
            source: part
                .required_part("list", &["list_watch", "list_file"], source)
                .unwrap_or(ListSource::File { name: String::new() }),
            fleet,
            routes: routes.into_iter().map(|route| route.planned).collect(),
            channel,
            contract,
            capabilities,
            slicing: Slicing { slices: 0, exclusive: false, write_stop_delay: Span(0), write_linger: Span(0) },
            reports,
            probes: probing.2,
            member: MemberConfig { name: name.clone(), source_ip: doors.source_ip, duties, accounting: receiver, sharing: shares, probe_slices: slices, ..post },
            watch,
            seed: part.optional("seed"),
            dir: part.or_default("state_dir", ".".to_string()).into(),
        }
    })
}

pub fn proxy_file(script: &Script) -> Result<ProxyFile, Faults> {
    script.as_kind("proxy", |part| {
        let routes = routes(part);
        let home = ProxyConfig {
            name: part.required("name"),
            zone: part.required("zone"),
            planners: part.required("planners"),
            calls_per_s: part.or_default("calls_per_s", 0.0),
        };
        let front = FrontConfig {
            listen: part.required("listen"),
            source_ip: part.optional("source_address"),
            max_calls: part.or_default("most_calls", 4_096),
            keep_alive: part.or_default("keep_alive", Span::millis(15_000)),
        };
        let shunning = part.part_or_default("shunning", "shunning", |part| EjectionConfig {
            consecutive_failures: part.or_default("after", 0u64).min(u64::from(u32::MAX)) as u32,
            ejection_time: part.or_default("rest", Span::millis(5_000)),
        });
        let standing: Vec<SocketAddr> = part.or_default("standing", Vec::new());
        ProxyFile {
            proxy: home,
            front,
            routes: routes.into_iter().map(|route| route.served).collect(),
            shunning,
            standing: standing.iter().map(SocketAddr::to_string).collect(),
            seed: part.optional("seed"),
            dir: part.or_default("state_dir", ".".to_string()).into(),
        }
    })
}

impl ServiceFile {
    /// Builds the planner: the service and its cluster member.
    pub fn planner(self, now: Moment, seed: u64) -> PlannerNode {
        let (grace, post) = (self.contract.drain_grace, MemberConfig { seed, ..self.member.clone() });
        PlannerNode::new(self.service(now, seed), post, grace)
    }

    /// Builds the planner as a node, either watching or as a member.
    pub fn node(self, now: Moment, seed: u64) -> Box<dyn Node> {
        match self.watch.clone() {
            Some(watch) => {
                let watches = WatchTargetConfig { seed, ..watch };
                Box::new(WatchingPlanner::new(self.service(now, seed), watches))
            }
            None => Box::new(self.planner(now, seed)),
        }
    }

    /// Builds the service.
    pub fn service(self, now: Moment, seed: u64) -> Service {
        let seed = self.seed.unwrap_or(seed);
        let queue = Channel::new(
            self.channel.lines_per_s,
            self.channel.message_overhead,
            self.channel.max_queued_lines,
        );
        let (fleet, routes, channel) = (self.fleet, self.routes, self.channel);
        let planner =
            Planner::new(now, seed, fleet, routes, channel, self.contract, self.capabilities, self.slicing);
        Service::new(now, self.service, self.listen, self.source, planner, queue, self.reports, self.probes)
    }
}

impl ControlFile {
    /// Builds the control machine.
    pub fn machine(self, seed: u64) -> ControlMachine {
        let seed = self.seed.unwrap_or(seed);
        ControlMachine::new(ControlMachineConfig { seed, ..self.config })
    }
}

impl ProxyFile {
    /// Builds the proxy.
    pub fn proxy(self, seed: u64) -> Proxy {
        let seed = self.seed.unwrap_or(seed);
        Proxy::new(self.proxy, self.front, self.routes, self.shunning, &self.standing, seed)
    }
}
