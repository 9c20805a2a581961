//! The driver itself: what a node is promised holds under cuts, kills, pauses and slow disks.

use pewtergap_node::{Effect, Input, Link, Node, Outbox};
use pewtergap_time::{Moment, Span};
use pewtergap_virtual::{Nature, Place, World};
use std::any::Any;
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

const BEGIN: Moment = Moment(1_000_000_000_000);

fn door() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7))
}

/// Listens or dials, sends numbers it is told, writes what it hears down, in a file and in the trace.
struct Party {
    name: &'static str,
    dials: bool,
    link: Option<Link>,
    heard: Vec<u8>,
    trace: Arc<Mutex<String>>,
}

impl Node for Party {
    fn handle(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) {
        let told = |what: String| {
            let ms = now.since(BEGIN).0 / 1_000_000;
            self.trace
                .lock()
                .map(|mut trace| writeln!(trace, "{ms:>4} {}: {what}", self.name))
                .into_iter()
                .for_each(drop);
        };
        match input {
            Input::Start if self.dials => drop(out.connect(door(), None)),
            Input::Start => out.push(Effect::Listen { listener: 0, at: door() }),
            Input::Accepted { link, .. } | Input::Opened { link } => {
                told("stands".into());
                self.link = Some(link);
            }
            Input::Closed { why, .. } => {
                told(format!("{why:?}"));
                self.link = None;
            }
            Input::Bytes { bytes, .. } => {
                let at = self.heard.len() as u64;
                self.heard.extend(bytes);
                out.push(Effect::Append { name: "heard".into(), at, bytes: bytes.to_vec(), ticket: at + 1 });
                if self.heard.len().is_multiple_of(1_000) {
                    told(format!("{} bytes", self.heard.len()));
                }
            }
            Input::TimerFired { timer } => told(format!("due {timer}")),
            Input::Command("later") => out.set_timer(5, now + Span::millis(100)),
            Input::Command(word) => {
                let (link, count) = (self.link, word.parse().unwrap_or(0));
                let bytes = (0..count).map(|at: usize| at as u8).collect();
                link.into_iter().for_each(|link| out.send(link, Vec::clone(&bytes)));
            }
            _ => {}
        }
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}

fn pair(seed: u64) -> (World, [Place; 2], Arc<Mutex<String>>) {
    let trace: Arc<Mutex<String>> = Arc::default();
    let mut world = World::new(seed, BEGIN, Nature::default());
    let places = [world.machine(), world.machine()];
    for (place, name, dials) in [(places[0], "listens", false), (places[1], "dials", true)] {
        let party = Party { name, dials, link: None, heard: Vec::new(), trace: trace.clone() };
        world.start(place, Box::new(party));
        pass(&mut world, 5);
    }
    (world, places, trace)
}

fn pass(world: &mut World, ms: u64) {
    let until = world.now() + Span::millis(ms);
    world.until(until, |_| {});
}

#[test]
fn bytes_come_in_order_wait_behind_a_cut_and_end_with_a_kill() {
    let (mut world, [listens, dials], trace) = pair(1);
    pass(&mut world, 20);
    world.word(dials, "1000");
    pass(&mut world, 50);
    // One direction is cut: what is sent waits, and comes whole when it heals.
    world.cut(dials, listens);
    world.word(dials, "1000");
    world.word(listens, "1000");
    pass(&mut world, 200);
    world.heal();
    pass(&mut world, 200);
    // Paused, it hears nothing, its timer neither; then all of it.
    world.pause(listens);
    world.word(listens, "later");
    world.word(dials, "1000");
    pass(&mut world, 300);
    world.resume(listens);
    pass(&mut world, 300);
    world.kill(dials);
    pass(&mut world, 100);
    let heard = world.file(listens, "heard").unwrap_or_default();
    let right: Vec<u8> = (0..3).flat_map(|_| (0..1000usize).map(|at| at as u8)).collect();
    assert!(heard == right, "{} bytes on disk", heard.len());
    insta::assert_snapshot!(trace.lock().map(|trace| trace.clone()).unwrap_or_default());
}

#[test]
fn a_kill_loses_what_was_not_synced_but_for_a_part_and_never_what_was() {
    let mut lost = 0;
    for seed in 0..200 {
        let (mut world, [listens, dials], _) = pair(seed);
        pass(&mut world, 20);
        world.word(dials, "1000");
        pass(&mut world, 50);
        world.word(dials, "1000");
        let ms = world.rng.u64(0..8);
        pass(&mut world, ms);
        world.kill(listens);
        let heard = world.file(listens, "heard").unwrap_or_default();
        assert!(heard.len() >= 1_000, "seed {seed}: {}", heard.len());
        assert!(heard.iter().enumerate().all(|(at, byte)| *byte == (at % 1_000) as u8), "seed {seed}");
        lost += usize::from(heard.len() < 2_000);
    }
    assert!(lost > 50, "{lost} of 200 lost something");
}
