//! Runs a planner's watch on a real link: decodes and encodes frames, sets the timer.

use crate::client::{Action, Client, ClientConfig, WatchEvent};
use crate::messages::WatchMessage;
use crate::scope::Scope;
use crate::state::SavedState;
use pewtergap_node::{Ended, Input, Link, Outbox};
use pewtergap_protocol::{encode, FrameReader};
use pewtergap_time::{Moment, Span};
use std::collections::BTreeSet;
use std::net::IpAddr;

pub struct WatchClient {
    client: Client,
    timer: u64,
    source_ip: Option<IpAddr>,
    link: Option<Link>,
    /// Links closed by this end whose `Closed` has not arrived yet.
    closing: BTreeSet<Link>,
    frames: FrameReader<WatchMessage>,
    next_timer: Option<Moment>,
}

impl WatchClient {
    /// `saved`: the state read from the planner's disk.
    pub fn new(client_config: ClientConfig, saved: Option<SavedState>) -> WatchClient {
        WatchClient {
            timer: client_config.watch_config.timer,
            source_ip: client_config.source_ip,
            client: Client::new(client_config, saved),
            link: None,
            closing: BTreeSet::new(),
            frames: FrameReader::default(),
            next_timer: None,
        }
    }

    pub fn owns_link(&self, link: Link) -> bool {
        self.link == Some(link) || self.closing.contains(&link)
    }

    /// Handles `Start`, `Opened`, `Bytes` and `Closed` of its link and `TimerFired` of its timer; everything else
    /// is ignored.
    pub fn handle(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) -> Vec<WatchEvent> {
        let mut actions = Vec::new();
        match input {
            Input::Start => self.client.started(now),
            Input::Opened { link } if self.link == Some(link) => self.client.opened(now, &mut actions),
            Input::Bytes { link, bytes } if self.link == Some(link) => {
                return self.handle_bytes(now, bytes, out)
            }
            Input::Closed { link, why } => {
                if self.link == Some(link) {
                    self.link = None;
                    let why = match why {
                        Ended::Refused => "connection refused",
                        Ended::Done => "closed by the machine",
                        Ended::Unavailable => "no resources for the connection",
                        Ended::Overflow => "write buffer overflow",
                        Ended::Reset | Ended::Ours | Ended::Handed => "connection lost",
                    };
                    self.client.closed(now, why, &mut actions);
                }
                self.closing.remove(&link);
            }
            Input::TimerFired { timer } if timer == self.timer => {
                if let Some(due) = self.next_timer.take_if(|due| *due <= now) {
                    self.client.tick(now, due, &mut actions);
                }
            }
            _ => {}
        }
        self.execute(now, actions, out)
    }

    fn handle_bytes(&mut self, now: Moment, bytes: &[u8], out: &mut Outbox) -> Vec<WatchEvent> {
        let (mut events, link) = (Vec::new(), self.link);
        self.frames.push(bytes);
        // Until all messages are handled, or one of them made it give up the link.
        while self.link == link {
            let mut actions = Vec::new();
            match self.frames.next_message() {
                Ok(Some(WatchMessage { kind: Some(kind) })) => {
                    self.client.handle_message(now, kind, &mut actions)
                }
                Ok(_) => break,
                Err(error) => self.client.protocol_error(now, &error.to_string(), &mut actions),
            }
            events.extend(self.execute(now, actions, out));
        }
        events
    }

    fn execute(&mut self, now: Moment, actions: Vec<Action>, out: &mut Outbox) -> Vec<WatchEvent> {
        let mut events = Vec::new();
        for action in actions {
            match action {
                Action::Dial(to) => {
                    self.link = Some(out.connect(to, self.source_ip));
                    self.frames = FrameReader::default();
                }
                Action::Send(kind) => {
                    if let Some(link) = self.link {
                        out.send(link, encode(&WatchMessage::new(kind)));
                    }
                }
                Action::Close | Action::Abort => {
                    if let Some(link) = self.link.take() {
                        self.closing.insert(link);
                        match action {
                            Action::Close => out.finish(link),
                            _ => out.cut(link),
                        }
                    }
                }
                Action::Notify(event) => events.push(event),
            }
        }
        if let Some(due) = self.client.due(now).filter(|due| self.next_timer.is_none_or(|next| *due < next)) {
            self.next_timer = Some(due);
            out.set_timer(self.timer, due);
        }
        events
    }

    /// The state as of this index is applied and saved to disk; the machine is notified.
    pub fn applied(&mut self, now: Moment, index: u64, out: &mut Outbox) {
        let mut actions = Vec::new();
        self.client.applied(now, index, &mut actions);
        self.execute(now, actions, out);
    }

    /// Switches to another scope. The state stays in force until the snapshot of the new scope is complete.
    pub fn rescope(&mut self, now: Moment, scope: Scope, out: &mut Outbox) {
        let mut actions = Vec::new();
        self.client.rescope(now, scope, &mut actions);
        self.execute(now, actions, out);
    }

    /// Shuts down in order: the planner is no longer expected.
    pub fn leave(&mut self, now: Moment, out: &mut Outbox) {
        let mut actions = Vec::new();
        self.client.leave(now, &mut actions);
        self.execute(now, actions, out);
    }

    /// Index up to which all changes within the scope were received.
    pub fn index(&self) -> u64 {
        self.client.index()
    }

    /// Everything committed up to this long ago is applied here; `None`: unknown since this start.
    pub fn age(&self, now: Moment) -> Option<Span> {
        self.client.age(now)
    }

    /// The machine that is being watched.
    pub fn watching(&self) -> Option<&str> {
        self.client.watching()
    }

    /// The state for the planner's disk, from which its next start continues.
    pub fn encode_state(&self) -> Vec<u8> {
        self.client.saved_state().encode()
    }

    pub fn client(&self) -> &Client {
        &self.client
    }
}
