//! A watcher that reads nothing: it says who it is and that it lives, all the time, and takes nothing of what it is told.

use pewtergap_node::{Effect, Input, Link, Node, Outbox};
use pewtergap_protocol::encode;
use pewtergap_time::{Moment, Span};
use pewtergap_watch::messages::{Hello, Kind, Leave, Ping, WatchMessage, SUPPORTED_VERSIONS};
use pewtergap_watch::Scope;
use std::any::Any;
use std::net::SocketAddr;

pub const NAME: &str = "deaf";
const LIFE: Span = Span::millis(1_000);

/// Told `dial ADDRESS` and `leave ADDRESS`.
#[derive(Default)]
pub struct Deaf {
    link: Option<Link>,
    leaves: bool,
    token: u64,
}

impl Deaf {
    fn say(&self, kind: Kind, out: &mut Outbox) {
        if let Some(link) = self.link {
            out.send(link, encode(&WatchMessage::new(kind)));
        }
    }
}

impl Node for Deaf {
    fn handle(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) {
        match input {
            Input::Command(word) => {
                let (what, at) = word.split_once(' ').unwrap_or((word, ""));
                let Ok(at) = at.parse::<SocketAddr>() else { return };
                self.leaves = what == "leave";
                if let Some(old) = self.link.replace(out.connect(at, None)) {
                    out.cut(old);
                }
            }
            Input::Opened { link } if self.link == Some(link) => {
                let (min_version, max_version) = SUPPORTED_VERSIONS;
                let scope = Scope::ALL.to_message(0);
                let hello = Hello {
                    min_version,
                    max_version,
                    planner: NAME.into(),
                    start: now.0,
                    watch_number: 1,
                    scope,
                    ..Hello::default()
                };
                self.say(Kind::Hello(hello), out);
                if self.leaves {
                    self.say(Kind::Leave(Leave {}), out);
                    out.finish(link);
                } else {
                    out.push(Effect::Pause { link });
                    out.set_timer(0, now + LIFE);
                }
            }
            Input::TimerFired { .. } if self.link.is_some() && !self.leaves => {
                self.token += 1;
                self.say(Kind::Ping(Ping { token: self.token, applied: 0, echo: 0 }), out);
                out.set_timer(0, now + LIFE);
            }
            Input::Closed { link, .. } if self.link == Some(link) => self.link = None,
            _ => {}
        }
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}
