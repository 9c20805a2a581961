//! One run: the world, planners by the deploy file's command, the fleet, a disruption, the verdict.

use crate::platform::{self, add_server, start_planner, start_server, wait_ready, NewServer, Planner};
use crate::proxies::Fleet;
use crate::world::{quit, Rng, Site, State, World};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;

pub struct Plan {
    pub site: Site,
    /// Zone, cores and speed of each server that runs at the start.
    pub servers: Vec<(usize, usize, f64)>,
    /// Zone, calls per second and planner of each proxy.
    pub proxies: Vec<(usize, f64, usize)>,
}

pub struct Run {
    pub world: Arc<World>,
    pub fleet: Arc<Fleet>,
    pub planners: Arc<Mutex<Vec<Planner>>>,
    pub discovery: Vec<u16>,
    pub root: String,
    pub command: String,
    pub dir: String,
    pub trouble: bool,
    pub rng: Rng,
    /// A planner that is ended on purpose.
    stopped: Arc<Mutex<Vec<usize>>>,
}

fn env(name: &str, default: &str) -> String {
    std::env::var(name).unwrap_or_else(|_| default.to_string())
}

fn run_command(root: &str) -> String {
    let file = format!("{root}/deploy/balancer.toml");
    let text = std::fs::read_to_string(&file).unwrap_or_else(|e| quit(&format!("{file}: {e}")));
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    line.and_then(|line| line.split('"').next()).unwrap_or_else(|| quit("no run command")).to_string()
}

impl Run {
    pub fn begin(plan: Plan) -> Run {
        let root = env("ROOT", ".");
        let record = env("RECORD", "record.txt");
        let dir = env("SCRATCH", "/tmp");
        let trouble = env("TROUBLE", "1") != "0";
        let seed: u64 = env("SEED", "1").parse().unwrap_or(1);
        let command = run_command(&root);
        let world = World::new(plan.site, &record);
        world.note(&format!("trouble={trouble} seed={seed} run command: {command}"));
        let mut rng = Rng::new(seed);
        for (at, (zone, cores, speed)) in plan.servers.iter().enumerate() {
            let new = NewServer {
                uid: format!("s-{at:02}"),
                zone: *zone,
                cores: *cores,
                speed: *speed,
                hint: *cores as f64 * *speed,
            };
            let server = add_server(&world, new);
            start_server(&world, server, false);
            world.list_change(server, State::Ready);
        }
        let discovery: Vec<u16> =
            (0..world.site.planners).map(|at| platform::discovery(&world, at)).collect();
        let ports: Vec<u16> = (0..world.site.planners).map(|_| platform::free_port()).collect();
        let mut planners = Vec::new();
        for at in 0..world.site.planners {
            let mut planner = start_planner(&world, at, discovery[at], ports[at], &root, &command, &dir);
            wait_ready(&world, &mut planner);
            planners.push(planner);
        }
        let planners = Arc::new(Mutex::new(planners));
        let fleet = Fleet::new(&world, ports, &plan.proxies, &mut rng);
        fleet.run(seed);
        let stopped: Arc<Mutex<Vec<usize>>> = Arc::default();
        let (watched, seen, on_purpose) = (planners.clone(), world.clone(), stopped.clone());
        thread::spawn(move || {
            while !seen.over() {
                for planner in watched.lock().unwrap().iter_mut() {
                    if on_purpose.lock().unwrap().contains(&planner.index) {
                        continue;
                    }
                    if let Ok(Some(status)) = planner.child.try_wait() {
                        if !seen.over() {
                            seen.broke("crash", &format!("planner {} ended: {status}", planner.index));
                            return;
                        }
                    }
                }
                seen.sleep(0.2);
            }
        });
        Run { world, fleet, planners, discovery, root, command, dir, trouble, rng, stopped }
    }

    /// Adds a server that starts now and cold, and is listed some time later.
    pub fn start_successor(&self, uid: String, like: usize, listed_after: f64) -> usize {
        let new = {
            let list = self.world.list.lock().unwrap();
            let old = &list.servers[like];
            NewServer { uid, zone: old.zone, cores: old.cores, speed: old.speed, hint: old.hint }
        };
        let server = add_server(&self.world, new);
        start_server(&self.world, server, true);
        let world = self.world.clone();
        thread::spawn(move || {
            world.sleep(listed_after);
            world.list_change(server, State::Ready);
        });
        server
    }

    /// A server drains as deploys do it: listed as Terminating, later ended and gone from the list.
    pub fn drain(&self, server: usize, ends_after: f64) {
        self.world.list_change(server, State::Terminating);
        let world = self.world.clone();
        thread::spawn(move || {
            world.sleep(ends_after);
            platform::stop_server(&world, server);
            world.list_change(server, State::Gone);
        });
    }

    /// Ends a planner by a signal and starts it again some time later, from nothing but the list that it held.
    pub fn restart_planner(&self, index: usize, signal: &str, down_s: f64) {
        let world = &self.world;
        let (port, held);
        self.stopped.lock().unwrap().push(index);
        {
            let mut planners = self.planners.lock().unwrap();
            let planner = &mut planners[index];
            let id = planner.child.id().to_string();
            let _ = std::process::Command::new("kill").args([signal, &id]).status();
            let _ = planner.child.wait();
            world.note(&format!("planner {index} ended by {signal}"));
            world.ready_at.lock().unwrap()[index] = None;
            let mut list = world.list.lock().unwrap();
            list.told.retain(|key, _| key.0 != index);
            drop(list);
            held = platform::whole_list(world);
            port = planner.port;
        }
        world.sleep(down_s);
        let mut planner = platform::start_planner_with(
            world,
            index,
            self.discovery[index],
            port,
            (&self.root, &self.command, &self.dir),
            &held,
        );
        wait_ready(world, &mut planner);
        self.planners.lock().unwrap()[index] = planner;
        self.stopped.lock().unwrap().retain(|at| *at != index);
    }

    /// Notes how many descriptors a planner holds, where the system shows it.
    pub fn note_descriptors(&self, index: usize) {
        let id = self.planners.lock().unwrap()[index].child.id();
        if let Ok(entries) = std::fs::read_dir(format!("/proc/{id}/fd")) {
            self.world.note(&format!("planner {index} holds {} descriptors", entries.count()));
        }
    }

    pub fn finish(self) -> ! {
        self.end()
    }

    pub fn end(&self) -> ! {
        let world = &self.world;
        let counts =
            [&self.fleet.calls, &self.fleet.served, &self.fleet.unserved].map(|c| c.load(Ordering::Relaxed));
        world.done.store(true, Ordering::Relaxed);
        for planner in self.planners.lock().unwrap().iter_mut() {
            let _ = planner.child.kill();
            let _ = planner.child.wait();
        }
        world.changed.notify_all();
        let broken = world.broken.lock().unwrap().clone();
        let mut rules: Vec<&str> = broken.iter().filter_map(|b| b.split(':').next()).collect();
        rules.sort();
        rules.dedup();
        let text = format!(
            "calls={} served={} not served={}; {}",
            counts[0],
            counts[1],
            counts[2],
            if broken.is_empty() {
                "every rule held".to_string()
            } else {
                format!("broken: {} ({} times)", rules.join(", "), broken.len())
            }
        );
        world.note(&text);
        println!("{text}");
        if let Ok(mut record) = world.record.lock() {
            let _ = std::io::Write::flush(&mut *record);
        }
        if counts[1] * 4 < counts[0] {
            quit("most calls were not served: the machine is too busy, or a stand-in failed");
        }
        std::process::exit(i32::from(!broken.is_empty()))
    }
}
