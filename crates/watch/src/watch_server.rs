//! A control machine's watches behind real links: frames in, frames out, one timer.

use crate::config::WatchConfig;
use crate::messages::WatchMessage;
use crate::roster::Roster;
use crate::server::{Act, Server, WatchServerStats};
use pewtergap_node::{Input, Level, Link, Outbox};
use pewtergap_protocol::{encode, Frames};
use pewtergap_time::{Moment, Span};
use std::collections::BTreeMap;

pub struct WatchServer {
    server: Server,
    pub roster: Roster,
    timer: u64,
    frames: BTreeMap<Link, Frames<WatchMessage>>,
    wake: Option<Moment>,
    out: u64,
    heard: u64,
}

impl WatchServer {
    pub fn new(config: WatchConfig, machine: String, seed: u64) -> WatchServer {
        WatchServer {
            roster: Roster::new(machine.clone(), seed ^ 1).with(config),
            server: Server::new(config, machine, seed),
            timer: config.timer,
            frames: BTreeMap::new(),
            wake: None,
            out: 0,
            heard: 0,
        }
    }

    pub fn stats(&self) -> WatchServerStats {
        WatchServerStats { bytes_sent: self.out, bytes_received: self.heard, ..self.server.stats() }
    }

    pub fn server(&self) -> &Server {
        &self.server
    }

    /// The record's identity; until it is known all are refused `Behind`.
    pub fn set_record_id(&mut self, now: Moment, record_id: u64, out: &mut Outbox) {
        let mut acts = Vec::new();
        self.server.set_record_id(now, record_id, &mut acts);
        self.carry_out(acts, out);
    }

    /// What the commands up to this place changed; None: gone. Several places may come as one. A key that changed in
    /// between is named also where its value is what it was, and one that came and went as gone.
    pub fn apply(
        &mut self,
        now: Moment,
        index: u64,
        changes: Vec<(String, Option<Vec<u8>>)>,
        out: &mut Outbox,
    ) {
        let mut acts = Vec::new();
        self.server.apply(now, index, changes, &mut acts);
        self.carry_out(acts, out);
    }

    /// All that stands at a place, where the way to it is not known.
    pub fn restore(&mut self, now: Moment, index: u64, all: BTreeMap<String, Vec<u8>>, out: &mut Outbox) {
        let mut acts = Vec::new();
        self.server.restore(now, index, all, &mut acts);
        self.carry_out(acts, out);
    }

    /// All that had been kept at `asked` is applied here: said after it was.
    pub fn confirm_fresh(&mut self, asked: Moment) {
        self.server.confirm_fresh(asked);
    }

    /// All that was kept so long ago is applied here; None: never known.
    pub fn age(&self, now: Moment) -> Option<Span> {
        self.server.age(now)
    }

    /// This link is one of its own.
    pub fn owns_link(&self, link: Link) -> bool {
        self.frames.contains_key(&link)
    }

    pub fn accepted(&mut self, now: Moment, link: Link, out: &mut Outbox) {
        let mut acts = Vec::new();
        self.frames.insert(link, Frames::default());
        self.server.accepted(now, link, &mut acts);
        self.carry_out(acts, out);
    }

    /// `Bytes` and `Closed` of its links, `Due` of its timer; all else is none of its business.
    pub fn handle(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) {
        let mut acts = Vec::new();
        match input {
            Input::Bytes { link, bytes } => {
                let Some(frames) = self.frames.get_mut(&link) else { return };
                self.heard += bytes.len() as u64;
                frames.push(bytes);
                loop {
                    match frames.take() {
                        Ok(Some(WatchMessage { kind: Some(kind) })) => {
                            self.server.word(now, link, kind, &mut acts)
                        }
                        Ok(_) => break,
                        Err(wrong) => {
                            self.server.wrong(now, link, &wrong.to_string(), &mut acts);
                            *frames = Frames::default();
                            break;
                        }
                    }
                }
            }
            Input::Closed { link, .. } if self.frames.remove(&link).is_some() => {
                self.server.closed(now, link, &mut acts);
            }
            Input::Due { timer } if timer == self.timer && self.wake.is_some_and(|wake| wake <= now) => {
                self.wake = None;
                self.server.tick(now, &mut acts);
            }
            _ => {}
        }
        self.carry_out(acts, out);
    }

    /// All are told to go elsewhere, and whoever comes.
    pub fn stop(&mut self, now: Moment, out: &mut Outbox) {
        let mut acts = Vec::new();
        self.server.stop(now, &mut acts);
        self.carry_out(acts, out);
    }

    fn send(&mut self, link: Link, bytes: Vec<u8>, out: &mut Outbox) {
        self.out += bytes.len() as u64;
        out.send(link, bytes);
    }

    fn carry_out(&mut self, acts: Vec<Act>, out: &mut Outbox) {
        for act in acts {
            match act {
                Act::Say(link, kind) => self.send(link, encode(&WatchMessage::new(kind)), out),
                Act::Piece(link, frame) => self.send(link, frame, out),
                Act::Finish(link) => out.finish(link),
                Act::Cut(link) => out.cut(link),
                Act::Heard { planner, start, watch_number, applied, vouched } => {
                    self.roster.planner_heard(&planner, (start, watch_number), applied, vouched);
                }
                Act::Gone { planner, start, watch_number, left } => {
                    self.roster.watch_ended(&planner, (start, watch_number), left)
                }
            }
        }
        for planner in std::mem::take(&mut self.roster.forgotten) {
            out.log(Level::Warn, "planner_forgotten", vec![("planner", planner)]);
        }
        if let Some(due) = self.server.due().filter(|due| self.wake.is_none_or(|wake| *due < wake)) {
            self.wake = Some(due);
            out.wake(self.timer, due);
        }
    }
}
