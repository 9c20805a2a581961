//! Drills: the hard cases that need their faults at one certain moment, each in the middle of a day with operators
//! and judged like any other day.

use super::links::Seen;
use super::{name, record_file, ClusterDay, Director, CEILING};
use crate::ask;
use crate::cluster::links::Links;
use pewtergap_member::messages::SUPPORTED_FORMATS;
use rustix::process::Signal;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// What a drill has its figures in: nothing, or what the caller asked to be measured.
pub type Drilled = Result<Vec<u64>, String>;

/// Each with the day it is played on.
pub type Drill = fn(&mut Director) -> Drilled;

/// Name, members, founders, and what is done.
pub const DRILLS: &[(&str, usize, usize, Drill)] = &[
    ("roll-out", 3, 3, |director| director.roll_out()),
    ("pieces", 3, 3, |director| director.killed_at_pieces()),
    ("full-disk", 3, 3, |director| director.full_disk()),
    ("lost-in-a-change", 5, 3, |director| director.lost_in_a_change()),
    ("places", 5, 3, |director| director.places()),
    ("duties", 3, 3, |director| director.struck_duties()),
    ("duty-lease", 3, 3, |director| director.lease_changed()),
    ("duty-steps", 3, 3, |director| director.steps()),
    ("duty-at-the-effect", 3, 3, |director| director.held_at_the_effect()),
    ("shares", 3, 3, |director| director.shares()),
    ("shares-later", 3, 3, |director| director.shares_later()),
];

/// A snapshot's pieces are of this many bytes.
const PIECE: u64 = 64 * 1024;
/// Orders that make a log be put into a snapshot, of many pieces.
const MANY: usize = 5_400;

/// The day a drill is played on.
pub fn day_of<'a>(drill: &str, like: ClusterDay<'a>) -> Option<(ClusterDay<'a>, Drill)> {
    let (_, members, founders, act) = DRILLS.iter().find(|known| known.0 == drill)?;
    // A record that was raised does not go back: this one begins as what came before.
    let format = (drill == "roll-out").then_some(1);
    Some((
        ClusterDay {
            members: *members,
            founders: *founders,
            format,
            duties: (drill.starts_with("dut") || drill.starts_with("shares")).then_some(2),
            sharing: drill.starts_with("shares"),
            shares_nothing: (drill == "shares-later").then_some(2),
            ..like
        },
        *act,
    ))
}

impl Director<'_> {
    pub(super) fn until(
        &mut self,
        what: &str,
        mut done: impl FnMut(&mut Self) -> bool,
    ) -> Result<(), String> {
        let end = Instant::now() + CEILING;
        while !done(self) {
            if Instant::now() > end {
                return Err(format!("waited {} s for {what}", CEILING.as_secs()));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }

    pub(super) fn view(&self, at: usize, target: &str) -> Value {
        let answer = self.admin(at).and_then(|admin| ask::call(admin, "GET", target, None).ok());
        answer.and_then(|(_, text)| serde_json::from_str(&text).ok()).unwrap_or_default()
    }

    /// Given to whoever takes it.
    fn change(&mut self, body: Value) -> Result<(), String> {
        let body = body.to_string();
        self.until("a change of members", |director| {
            let mut admins = (0..director.day.members).filter_map(|at| director.admin(at));
            admins
                .any(|at| ask::call(at, "POST", "/members", Some(&body)).is_ok_and(|answer| answer.0 == 200))
        })
    }

    fn add(&mut self, at: usize) -> Result<(), String> {
        let door = self.listens[&Links::door_name(at, at)];
        self.change(json!({ "name": name(at), "at": door.to_string() }))
    }

    /// Ends by itself, with this status.
    fn ends_with(&mut self, at: usize, code: i32) -> Result<(), String> {
        let mut status = None;
        self.until(&format!("{} to end", name(at)), |director| {
            let running = director.running[at].as_mut();
            status = running.and_then(|running| running.child.try_wait().ok().flatten());
            status.is_some()
        })?;
        self.running[at] = None;
        self.shared.admin.lock().into_iter().for_each(|mut admin| admin[at] = None);
        match status.and_then(|status| status.code()) {
            Some(ended) if ended == code => Ok(()),
            other => Err(format!("{} ended with {other:?} where {code} was expected", name(at))),
        }
    }

    fn restart(&mut self, at: usize, signal: Signal) -> Result<(), String> {
        self.end(at, signal);
        self.start(at)?;
        self.wait_up(at)
    }

    /// All members get a newer format one after the other, under load; the record rises only with the last.
    pub fn roll_out(&mut self) -> Drilled {
        let count = self.belong;
        for at in 0..count {
            let stands = self.view(at, "/record")["format"].clone();
            if stands != json!(1) {
                return Err(format!("{} stands at format {stands} before all speak a newer one", name(at)));
            }
            self.formats[at] = None;
            self.restart(at, Signal::TERM)?;
            self.until_kept()?;
            self.wait_all_fresh()?;
            if let Some(leader) = self.leader().filter(|_| at == 1) {
                // Half of them new, and the leader falls.
                self.end(leader, Signal::KILL);
                self.until_kept()?;
                self.start(leader)?;
                self.wait_up(leader)?;
                self.wait_all_fresh()?;
            }
        }
        self.until("the record to rise", |director| {
            (0..count).all(|at| director.view(at, "/record")["format"] == json!(SUPPORTED_FORMATS.1))
        })?;
        // No way back: by its own disk, and with an empty one by the others.
        self.formats[0] = Some(1);
        self.end(0, Signal::TERM);
        self.start(0)?;
        self.ends_with(0, 4)?;
        std::fs::remove_file(record_file(&self.day.dir, 0)).map_err(|e| e.to_string())?;
        self.start(0)?;
        self.wait_up(0)?;
        self.until("the old one to be refused", |director| {
            let text = std::fs::read_to_string(director.day.dir.join(format!("{}.log", name(0))));
            text.is_ok_and(|text| {
                text.contains(&format!("speaks formats 1 to 1, we {0} to {0}", SUPPORTED_FORMATS.1))
            })
        })?;
        self.formats[0] = None;
        self.restart(0, Signal::KILL)?;
        self.wait_all_fresh()?;
        Ok(Vec::new())
    }

    /// So many orders with long reasons that a new member is sent a snapshot.
    fn many_orders(&mut self, many: usize) -> Result<(), String> {
        let (_, admin) = self.leader_admin()?;
        let given = self.clock.now().0 / 1_000_000;
        let failed: usize = std::thread::scope(|scope| {
            let one = |part: usize| {
                let mut client = ask::Client::new(admin);
                let fails = |at: &usize| {
                    let body = json!({ "id": format!("{:016x}", (1u64 << 40) + *at as u64), "given": given, "who": "lab",
                        "why": "x".repeat(300), "order": "drain", "server": format!("many-{at}") });
                    !matches!(client.call("POST", "/orders", Some(&body.to_string())), Ok((200, _)))
                };
                (part..many).step_by(16).filter(fails).count()
            };
            let threads: Vec<_> = (0..16).map(|part| scope.spawn(move || one(part))).collect();
            threads.into_iter().map(|thread| thread.join().unwrap_or(1)).sum()
        });
        if failed > 0 {
            return Err(format!("{failed} of {many} orders were not kept"));
        }
        Ok(())
    }

    /// An empty member is killed at each so many-th piece of its snapshot, or who sends it; then it is let through.
    pub fn killed_at_pieces(&mut self) -> Drilled {
        self.many_orders(MANY)?;
        let lost = (self.leader_admin()?.0 + 1) % self.belong;
        self.end(lost, Signal::KILL);
        std::fs::remove_file(record_file(&self.day.dir, lost)).map_err(|e| e.to_string())?;
        let mut kills = Vec::new();
        for piece in [0, 1, 2, 5, 9, 14, 20] {
            let from = piece * PIECE;
            let before = self.sightings.lock().map_err(|_| "the relay failed")?.len();
            self.tell(format!("hold-from {from}"));
            self.start(lost)?;
            let mut total = 0;
            self.until(&format!("piece {piece} of a snapshot"), |director| {
                let seen = director.sightings.lock().map(|seen| seen[before..].to_vec()).unwrap_or_default();
                let held = seen.iter().find_map(|(_, seen)| match seen {
                    Seen::Piece { at, total } if *at >= from => Some(*total),
                    _ => None,
                });
                total = held.unwrap_or(0);
                held.is_some()
            })?;
            if total < (piece + 1) * PIECE {
                return Err(format!("a snapshot of {total} bytes has no piece {piece} to be killed at"));
            }
            kills.push(piece);
            self.end(lost, Signal::KILL);
            self.tell("open-all".into());
            if let Some(leader) = self.leader().filter(|_| piece % 2 == 1) {
                // And who sent it.
                self.end(leader, Signal::KILL);
                self.start(leader)?;
                self.wait_up(leader)?;
                self.until_kept()?;
            }
        }
        self.start(lost)?;
        self.wait_up(lost)?;
        self.wait_all_fresh()?;
        let orders = self.view(lost, "/record")["orders"].as_array().map_or(0, Vec::len);
        if orders < MANY {
            return Err(format!("{} holds {orders} orders of {MANY}", name(lost)));
        }
        Ok(kills)
    }

    /// A member's disk is full: it ends, what it had acknowledged is there when there is room again.
    pub fn full_disk(&mut self) -> Drilled {
        let one = (self.leader_admin()?.0 + self.day.seed as usize) % self.belong;
        self.end(one, Signal::TERM);
        let bytes = std::fs::metadata(record_file(&self.day.dir, one)).map_err(|e| e.to_string())?.len();
        self.most_blocks[one] = Some(bytes / 512 + 12);
        self.start(one)?;
        self.ends_with(one, 4)?;
        self.until_kept()?;
        self.most_blocks[one] = None;
        self.start(one)?;
        self.wait_up(one)?;
        self.wait_all_fresh()?;
        Ok(Vec::new())
    }

    /// A fourth is being added as the leader's machine is lost with its disk.
    pub fn lost_in_a_change(&mut self) -> Drilled {
        let at = self.belong;
        self.start(at)?;
        let (leader, _) = self.leader_admin()?;
        self.add(at)?;
        self.end(leader, Signal::KILL);
        std::fs::remove_file(record_file(&self.day.dir, leader)).map_err(|e| e.to_string())?;
        self.belong += 1;
        self.until_kept()?;
        self.start(leader)?;
        self.wait_up(leader)?;
        self.wait_up(at)?;
        self.wait_all_fresh()?;
        Ok(Vec::new())
    }

    /// Two more come, one is taken out, one is replaced while its old disk still runs.
    pub fn places(&mut self) -> Drilled {
        for at in [3, 4] {
            self.add(at)?;
            self.start(at)?;
            self.wait_up(at)?;
            self.belong += 1;
            self.wait_all_fresh()?;
        }
        self.change(json!({ "name": name(4), "at": "" }))?;
        self.until("the one taken out to say so", |director| {
            let text = std::fs::read_to_string(director.day.dir.join(format!("{}.log", name(4))));
            text.is_ok_and(|text| text.contains("record_given_up"))
        })?;
        self.end(4, Signal::TERM);
        self.belong -= 1;
        self.wait_all_fresh()?;
        let door = self.listens[&Links::door_name(3, 3)].to_string();
        self.change(json!({ "name": name(3), "at": door, "replace": true }))?;
        self.until("the old disk to be given up", |director| {
            let text = std::fs::read_to_string(director.day.dir.join(format!("{}.log", name(3))));
            text.is_ok_and(|text| text.contains("record_given_up"))
        })?;
        self.end(3, Signal::KILL);
        std::fs::remove_file(record_file(&self.day.dir, 3)).map_err(|e| e.to_string())?;
        self.start(3)?;
        self.wait_up(3)?;
        self.wait_all_fresh()?;
        Ok(Vec::new())
    }
}
