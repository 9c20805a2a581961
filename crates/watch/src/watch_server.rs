//! Runs a control machine's watches on real links: decodes and encodes frames, sets the timer.

use crate::config::WatchConfig;
use crate::messages::WatchMessage;
use crate::roster::Roster;
use crate::server::{Action, Server, WatchServerStats};
use pewtergap_node::{Input, Level, Link, Outbox};
use pewtergap_protocol::{encode, largest_beyond_limit, FrameReader, RETAINED_CAPACITY};
use pewtergap_time::{Moment, Span};
use std::collections::BTreeMap;

pub struct WatchServer {
    server: Server,
    pub roster: Roster,
    timer: u64,
    frames: BTreeMap<Link, FrameReader<WatchMessage>>,
    /// Memory of incomplete messages, in bytes, of links that hold more than usual.
    allocated: BTreeMap<Link, usize>,
    next_timer: Option<Moment>,
    bytes_sent: u64,
    bytes_received: u64,
}

impl WatchServer {
    pub fn new(config: WatchConfig, machine: String, seed: u64) -> WatchServer {
        WatchServer {
            roster: Roster::new(machine.clone(), seed ^ 1).with_config(config),
            server: Server::new(config, machine, seed),
            timer: config.timer,
            frames: BTreeMap::new(),
            allocated: BTreeMap::new(),
            next_timer: None,
            bytes_sent: 0,
            bytes_received: 0,
        }
    }

    pub fn stats(&self) -> WatchServerStats {
        WatchServerStats {
            bytes_sent: self.bytes_sent,
            bytes_received: self.bytes_received,
            ..self.server.stats()
        }
    }

    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Sets the record's id; until then all planners are rejected with `Behind`.
    pub fn set_record_id(&mut self, now: Moment, record_id: u64, out: &mut Outbox) {
        let mut actions = Vec::new();
        self.server.set_record_id(now, record_id, &mut actions);
        self.execute(actions, out);
    }

    /// Applies the changes of all commands up to `index`; `None` is a deletion. Several indexes may be
    /// applied at once. Every key touched in between must be included, even if its value is the same as
    /// before, and one that was created and deleted as deleted.
    pub fn apply(
        &mut self,
        now: Moment,
        index: u64,
        changes: Vec<(String, Option<Vec<u8>>)>,
        out: &mut Outbox,
    ) {
        let mut actions = Vec::new();
        self.server.apply(now, index, changes, &mut actions);
        self.execute(actions, out);
    }

    /// Replaces the state by a full one whose intermediate changes are unknown.
    pub fn restore(&mut self, now: Moment, index: u64, all: BTreeMap<String, Vec<u8>>, out: &mut Outbox) {
        let mut actions = Vec::new();
        self.server.restore(now, index, all, &mut actions);
        self.execute(actions, out);
    }

    /// Everything committed at `requested_at` is applied here; to be called after it was.
    pub fn confirm_fresh(&mut self, requested_at: Moment) {
        self.server.confirm_fresh(requested_at);
    }

    /// Everything committed up to this long ago is applied here; `None` if it was never known.
    pub fn age(&self, now: Moment) -> Option<Span> {
        self.server.age(now)
    }

    pub fn owns_link(&self, link: Link) -> bool {
        self.frames.contains_key(&link)
    }

    pub fn accepted(&mut self, now: Moment, link: Link, out: &mut Outbox) {
        let mut actions = Vec::new();
        self.frames.insert(link, FrameReader::default());
        self.server.accepted(now, link, &mut actions);
        self.execute(actions, out);
    }

    /// Handles `Bytes` and `Closed` of its links and `TimerFired` of its timer; everything else is ignored.
    pub fn handle(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) {
        let mut actions = Vec::new();
        match input {
            Input::Bytes { link, bytes } => {
                let Some(frames) = self.frames.get_mut(&link) else { return };
                self.bytes_received += bytes.len() as u64;
                frames.push(bytes);
                loop {
                    match frames.next_message() {
                        Ok(Some(WatchMessage { kind: Some(kind) })) => {
                            self.server.handle_message(now, link, kind, &mut actions)
                        }
                        Ok(_) => break,
                        Err(error) => {
                            self.server.protocol_error(now, link, &error.to_string(), &mut actions);
                            *frames = FrameReader::default();
                            break;
                        }
                    }
                }
                self.account(now, link, &mut actions);
            }
            Input::Closed { link, .. } if self.frames.remove(&link).is_some() => {
                self.allocated.remove(&link);
                self.server.closed(now, link, &mut actions);
            }
            Input::TimerFired { timer }
                if timer == self.timer && self.next_timer.is_some_and(|due| due <= now) =>
            {
                self.next_timer = None;
                self.server.tick(now, &mut actions);
            }
            _ => {}
        }
        self.execute(actions, out);
    }

    /// Notes the memory of a link's incomplete message. The largest one is rejected if all take too much.
    fn account(&mut self, now: Moment, link: Link, actions: &mut Vec<Action>) {
        let Some(allocated) = self.frames.get_mut(&link).map(FrameReader::shrink) else { return };
        if allocated <= RETAINED_CAPACITY {
            self.allocated.remove(&link);
            return;
        }
        self.allocated.insert(link, allocated);
        let allocated = self.allocated.iter().map(|(link, allocated)| (*link, *allocated));
        if let Some(largest) = largest_beyond_limit(allocated) {
            self.frames.insert(largest, FrameReader::default());
            self.allocated.remove(&largest);
            self.server.protocol_error(now, largest, "incomplete messages take too much memory", actions);
        }
    }

    /// Sends all planners, also new ones, to other machines.
    pub fn stop(&mut self, now: Moment, out: &mut Outbox) {
        let mut actions = Vec::new();
        self.server.stop(now, &mut actions);
        self.execute(actions, out);
    }

    fn send(&mut self, link: Link, bytes: Vec<u8>, out: &mut Outbox) {
        self.bytes_sent += bytes.len() as u64;
        out.send(link, bytes);
    }

    fn execute(&mut self, actions: Vec<Action>, out: &mut Outbox) {
        for action in actions {
            match action {
                Action::Send(link, kind) => self.send(link, encode(&WatchMessage::new(kind)), out),
                Action::SendFrame(link, frame) => self.send(link, frame, out),
                Action::Close(link) => out.finish(link),
                Action::Abort(link) => out.cut(link),
                Action::PlannerHeard { planner, start, watch_number, applied, as_of } => {
                    self.roster.planner_heard(&planner, (start, watch_number), applied, as_of);
                }
                Action::WatchEnded { planner, start, watch_number, left } => {
                    self.roster.watch_ended(&planner, (start, watch_number), left)
                }
            }
        }
        for planner in std::mem::take(&mut self.roster.forgotten) {
            out.log(Level::Warn, "planner_forgotten", vec![("planner", planner)]);
        }
        if let Some(due) = self.server.due().filter(|due| self.next_timer.is_none_or(|next| *due < next)) {
            self.next_timer = Some(due);
            out.set_timer(self.timer, due);
        }
    }
}
