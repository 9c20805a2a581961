//! A planner's watch behind a real link: frames in, frames out, one timer.

use crate::client::{Act, Client, ClientConfig, WatchEvent};
use crate::messages::WatchMessage;
use crate::scope::Scope;
use crate::state::SavedState;
use pewtergap_node::{Ended, Input, Link, Outbox};
use pewtergap_protocol::{encode, Frames};
use pewtergap_time::{Moment, Span};
use std::collections::BTreeSet;
use std::net::IpAddr;

pub struct WatchClient {
    client: Client,
    timer: u64,
    source_ip: Option<IpAddr>,
    link: Option<Link>,
    /// Closed, and not yet said to be.
    closing: BTreeSet<Link>,
    frames: Frames<WatchMessage>,
    wake: Option<Moment>,
}

impl WatchClient {
    /// `kept`: what its own disk had.
    pub fn new(client_config: ClientConfig, kept: Option<SavedState>) -> WatchClient {
        WatchClient {
            timer: client_config.watch_config.timer,
            source_ip: client_config.source_ip,
            client: Client::new(client_config, kept),
            link: None,
            closing: BTreeSet::new(),
            frames: Frames::default(),
            wake: None,
        }
    }

    /// This link is one of its own.
    pub fn owns_link(&self, link: Link) -> bool {
        self.link == Some(link) || self.closing.contains(&link)
    }

    /// `Start`; `Opened`, `Bytes` and `Closed` of its link, `Due` of its timer; all else is none of its business.
    pub fn handle(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) -> Vec<WatchEvent> {
        let mut acts = Vec::new();
        match input {
            Input::Start => self.client.started(now),
            Input::Opened { link } if self.link == Some(link) => self.client.opened(now, &mut acts),
            Input::Bytes { link, bytes } if self.link == Some(link) => return self.bytes(now, bytes, out),
            Input::Closed { link, why } => {
                if self.link == Some(link) {
                    self.link = None;
                    let why = match why {
                        Ended::Refused => "nobody listens there",
                        Ended::Done => "closed in order",
                        Ended::Overflow => "too much waited to be written",
                        Ended::Reset | Ended::Ours | Ended::Handed => "the link broke",
                    };
                    self.client.closed(now, why, &mut acts);
                }
                self.closing.remove(&link);
            }
            Input::Due { timer } if timer == self.timer => {
                if let Some(wake) = self.wake.take_if(|wake| *wake <= now) {
                    self.client.tick(now, wake, &mut acts);
                }
            }
            _ => {}
        }
        self.carry_out(now, acts, out)
    }

    fn bytes(&mut self, now: Moment, bytes: &[u8], out: &mut Outbox) -> Vec<WatchEvent> {
        let (mut told, link) = (Vec::new(), self.link);
        self.frames.push(bytes);
        // Until all is taken, or the link was given up by what came.
        while self.link == link {
            let mut acts = Vec::new();
            match self.frames.take() {
                Ok(Some(WatchMessage { kind: Some(kind) })) => self.client.word(now, kind, &mut acts),
                Ok(_) => break,
                Err(wrong) => self.client.wrong(now, &wrong.to_string(), &mut acts),
            }
            told.extend(self.carry_out(now, acts, out));
        }
        told
    }

    fn carry_out(&mut self, now: Moment, acts: Vec<Act>, out: &mut Outbox) -> Vec<WatchEvent> {
        let mut told = Vec::new();
        for act in acts {
            match act {
                Act::Dial(to) => {
                    self.link = Some(out.connect(to, self.source_ip));
                    self.frames = Frames::default();
                }
                Act::Say(kind) => {
                    if let Some(link) = self.link {
                        out.send(link, encode(&WatchMessage::new(kind)));
                    }
                }
                Act::Finish | Act::Cut => {
                    if let Some(link) = self.link.take() {
                        self.closing.insert(link);
                        match act {
                            Act::Finish => out.finish(link),
                            _ => out.cut(link),
                        }
                    }
                }
                Act::Tell(what) => told.push(what),
            }
        }
        if let Some(due) = self.client.due(now).filter(|due| self.wake.is_none_or(|wake| *due < wake)) {
            self.wake = Some(due);
            out.wake(self.timer, due);
        }
        told
    }

    /// The state of this place is in force here, and on the disk: it is said upward.
    pub fn applied(&mut self, now: Moment, index: u64, out: &mut Outbox) {
        let mut acts = Vec::new();
        self.client.applied(now, index, &mut acts);
        self.carry_out(now, acts, out);
    }

    /// Another scope from here on; what is held stays in force until all within the new one was told.
    pub fn rescope(&mut self, now: Moment, scope: Scope, out: &mut Outbox) {
        let mut acts = Vec::new();
        self.client.rescope(now, scope, &mut acts);
        self.carry_out(now, acts, out);
    }

    /// It ends in order: it is expected no more.
    pub fn leave(&mut self, now: Moment, out: &mut Outbox) {
        let mut acts = Vec::new();
        self.client.leave(now, &mut acts);
        self.carry_out(now, acts, out);
    }

    /// Up to which all within the scope was told.
    pub fn index(&self) -> u64 {
        self.client.index()
    }

    /// All that had been kept so long ago is in force here; None: not known since this start.
    pub fn age(&self, now: Moment) -> Option<Span> {
        self.client.age(now)
    }

    /// The machine whose watch stands.
    pub fn watching(&self) -> Option<&str> {
        self.client.watching()
    }

    /// What a planner keeps on its disk, to start from.
    pub fn encode_state(&self) -> Vec<u8> {
        self.client.saved_state().encode()
    }

    pub fn client(&self) -> &Client {
        &self.client
    }
}
