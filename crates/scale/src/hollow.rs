//! Hollow planners: the real watch client on real sockets, hundreds in one reactor, without module, list and proxies.
//!
//! The process is told what to do by lines on its standard input and answers each by one line; it ends when that ends, so
//! it never outlives its director. What a planner's disk would keep is kept in memory: a restart is one of the planner,
//! its link is cut and its client starts anew from what was kept.

use crate::track::{answer, Answer, Ask, Track};
use crate::wire::{Cut, Wire};
use pewtergap_node::{Input, Node, Outbox};
use pewtergap_reactor::{Clock, Handle, NodeId, Reactor};
use pewtergap_record::{ActiveOrder, OrderAction};
use pewtergap_time::{Moment, Span};
use pewtergap_watch::{ClientConfig, SavedState, Scope, WatchClient, WatchConfig, WatchEvent};
use prost::Message;
use serde::{Deserialize, Serialize};
use std::any::Any;
use std::collections::BTreeSet;
use std::io::{BufRead, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// A timer that the watch client does not use.
const RESTART: u64 = u64::MAX - 1;
/// Unwritten bytes on one link beyond which it is closed.
const MOST_UNWRITTEN: usize = 1024 * 1024;
/// Planners look into what they hold within this.
const PATIENCE: Duration = Duration::from_secs(20);

/// One hollow planner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Spec {
    pub name: String,
    pub region: usize,
    /// Servers of its scope; of routes and what concerns everybody it is told all.
    pub servers: BTreeSet<String>,
}

/// What one process holds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Crowd {
    pub planners: Vec<Spec>,
    pub machines: Vec<(String, SocketAddr)>,
    pub seed: u64,
}

type Tracks = Arc<Mutex<Vec<Track>>>;

fn lock(tracks: &Tracks) -> MutexGuard<'_, Vec<Track>> {
    tracks.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

struct Hollow {
    spec: Spec,
    machines: Vec<(String, SocketAddr)>,
    seed: u64,
    watching: WatchClient,
    at: usize,
    tracks: Tracks,
}

impl Hollow {
    fn home(spec: &Spec, machines: &[(String, SocketAddr)], start: u64, seed: u64) -> ClientConfig {
        ClientConfig {
            planner: spec.name.clone(),
            start,
            machines: machines.to_vec(),
            scope: Scope { servers: Some(spec.servers.clone()), routes: None },
            source_ip: None,
            seed,
            watch_config: WatchConfig::default(),
        }
    }

    /// What was kept is in force from the first moment, before any machine is heard.
    fn restart(&mut self, now: Moment) {
        let kept = SavedState::decode(&self.watching.encode_state()).ok();
        self.seed = self.seed.wrapping_add(1);
        let home = Self::home(&self.spec, &self.machines, now.0, self.seed);
        self.watching = WatchClient::new(home, kept);
        let (place, mut tracks) = (self.watching.index(), lock(&self.tracks));
        tracks[self.at].lost(now, "restart");
        tracks[self.at].stands(now, place);
    }

    /// Servers whose last weight this planner should hold and does not, and how many it looked at.
    fn holds(&self, weights: &[(String, f64)]) -> (u64, Vec<String>) {
        let held = &self.watching.client().saved_state().entries;
        let mine = weights.iter().filter(|weight| self.spec.servers.contains(&weight.0));
        let (mut checked, mut wrong) = (0, Vec::new());
        for (server, weight) in mine {
            checked += 1;
            let found = held.get(&format!("weight/{server}")).and_then(|bytes| weight_of(bytes));
            if found != Some(*weight) {
                wrong.push(format!("{}: weight of {server} is {found:?}, kept was {weight}", self.spec.name));
            }
        }
        let state = held.iter().map(|(key, value)| key.len() + value.len()).sum();
        lock(&self.tracks)[self.at].state = state;
        (checked, wrong)
    }
}

/// The wish of an order on a weight, as the record's keys have it.
fn weight_of(bytes: &[u8]) -> Option<f64> {
    match ActiveOrder::decode(bytes).ok()?.order?.action? {
        OrderAction::SetWeight(weight) => Some(weight.weight),
        _ => None,
    }
}

impl Node for Hollow {
    fn handle(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) {
        let mine = match &input {
            Input::Opened { link } | Input::Bytes { link, .. } | Input::Closed { link, .. } => {
                self.watching.owns_link(*link)
            }
            _ => true,
        };
        if !mine {
            return;
        }
        for heard in self.watching.handle(now, input, out) {
            match heard {
                WatchEvent::Changed { index: place, .. } => {
                    // In force at once: there is nobody to be told. Said upward after it is so.
                    lock(&self.tracks)[self.at].stands(now, place);
                    self.watching.applied(now, place, out);
                }
                WatchEvent::Watching(machine) => lock(&self.tracks)[self.at].watches(now, Some(machine)),
                WatchEvent::Lost(why) => lock(&self.tracks)[self.at].lost(now, &why),
            }
        }
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}

/// A hollow planner with its way to the machines.
struct Placed {
    wire: Wire<Hollow>,
    rng: fastrand::Rng,
    holds: Sender<(u64, Vec<String>)>,
}

impl Placed {
    fn told(&mut self, now: Moment, ask: Ask, out: &mut Outbox) {
        match ask {
            Ask::Cut { region, machines } if region == self.wire.inner.spec.region => {
                let some = machines.map(|machines| Cut::Some(machines.into_iter().collect()));
                self.wire.cut(now, some.unwrap_or(Cut::All), out);
            }
            Ask::Heal => self.wire.cut(now, Cut::None, out),
            Ask::Restart { within_ms } => {
                out.set_timer(RESTART, now + Span::micros(self.rng.u64(0..=within_ms * 1_000)));
            }
            Ask::Holds { weights } => drop(self.holds.send(self.wire.inner.holds(&weights))),
            _ => {}
        }
    }
}

impl Node for Placed {
    fn handle(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) {
        let before = self.wire.passed;
        match input {
            Input::Command(word) => {
                if let Ok(ask) = serde_json::from_str(word) {
                    self.told(now, ask, out);
                }
            }
            Input::TimerFired { timer: RESTART } => {
                self.wire.drop_all(now, out);
                self.wire.inner.restart(now);
                self.wire.handle(now, Input::Start, out);
            }
            // Its own crowd ends all at once; an order to end would have each of them leave.
            Input::Stop | Input::Reload => {}
            input => self.wire.handle(now, input, out),
        }
        if self.wire.passed != before {
            let mut tracks = lock(&self.wire.inner.tracks);
            let track = &mut tracks[self.wire.inner.at];
            (track.came, track.went) = (self.wire.passed.came, self.wire.passed.went);
        }
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}

/// Answers for a crowd whose reactor runs in another thread.
struct Front {
    tracks: Tracks,
    handle: Handle,
    places: Vec<NodeId>,
    holds: Receiver<(u64, Vec<String>)>,
}

impl Front {
    fn answer(&self, ask: &Ask) -> Answer {
        let tell = |ask: &Ask| {
            let word = serde_json::to_string(ask).unwrap_or_default();
            for place in &self.places {
                self.handle.send_command(*place, word.clone());
            }
        };
        match ask {
            Ask::Cut { .. } | Ask::Heal | Ask::Restart { .. } => tell(ask),
            Ask::Holds { .. } => {
                tell(ask);
                let (mut sum, mut wrong, mut first) = (0, 0, None);
                for _ in &self.places {
                    match self.holds.recv_timeout(PATIENCE) {
                        Ok((checked, names)) => {
                            sum += checked;
                            wrong += names.len() as u64;
                            first = first.or_else(|| names.into_iter().next());
                        }
                        Err(_) => {
                            wrong += 1;
                            first = first.or_else(|| Some("a planner gave no answer".into()));
                        }
                    }
                }
                return Answer::Holds { checked: sum, wrong, first };
            }
            Ask::PlantFall { by } => {
                let mut tracks = lock(&self.tracks);
                if let Some(track) = tracks.last_mut() {
                    let (now, place) = (Clock::default().now(), track.place());
                    track.stands(now, place.saturating_sub(*by));
                    track.stands(now, place);
                }
            }
            _ => return answer(&lock(&self.tracks), ask),
        }
        Answer::Done
    }
}

/// The process: runs until its standard input ends.
///
/// # Errors
/// The file of the crowd cannot be read, or there is no reactor to be had.
pub fn run(file: &Path) -> Result<(), String> {
    let told = |e: std::io::Error| format!("{}: {e}", file.display());
    let text = std::fs::read_to_string(file).map_err(told)?;
    let crowd: Crowd = serde_json::from_str(&text).map_err(|e| format!("{}: {e}", file.display()))?;
    let clock = Clock::default();
    let dir = file.parent().unwrap_or(Path::new(".")).to_path_buf();
    let mut reactor = Reactor::new(clock, MOST_UNWRITTEN, dir).map_err(told)?;
    let tracks: Vec<Track> = crowd.planners.iter().map(|p| Track::new(p.name.clone(), p.region)).collect();
    let tracks: Tracks = Arc::new(Mutex::new(tracks));
    let (sender, holds) = channel();
    let mut rng = fastrand::Rng::with_seed(crowd.seed);
    let mut places = Vec::new();
    for (at, spec) in crowd.planners.into_iter().enumerate() {
        let seed = rng.u64(..);
        let home = Hollow::home(&spec, &crowd.machines, clock.now().0, seed);
        let machines = crowd.machines.clone();
        let watching = WatchClient::new(home, None);
        let hollow = Hollow { spec, machines, seed, watching, at, tracks: tracks.clone() };
        let rng = fastrand::Rng::with_seed(rng.u64(..));
        places.push(reactor.add(Box::new(Placed { wire: Wire::new(hollow), rng, holds: sender.clone() })));
    }
    let front = Front { tracks, handle: reactor.handle(), places, holds };
    let thread = std::thread::spawn(move || reactor.run().map(drop));
    let mut out = std::io::stdout();
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        let Ok(ask) = serde_json::from_str::<Ask>(&line) else {
            return Err(format!("'{line}' is no order for hollow planners"));
        };
        let said = serde_json::to_string(&front.answer(&ask)).unwrap_or_default();
        // A director that has gone needs no answer.
        if writeln!(out, "{said}").and_then(|()| out.flush()).is_err() {
            break;
        }
    }
    front.handle.shut_down();
    thread.join().map_err(|_| "the reactor failed")?.map_err(told)
}
