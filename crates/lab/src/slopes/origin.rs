//! Servers that answer at once: what is measured before them is not their own work. One node listens at all their
//! addresses, on one port.

use pewtergap_http::{response, Limits, Part, Reader, Side};
use pewtergap_node::{Effect, Input, Link, Node, Outbox};
use pewtergap_time::Moment;
use std::any::Any;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};

/// What others see of them.
#[derive(Default)]
pub struct Heard {
    pub open: AtomicUsize,
    pub port: Mutex<Option<u16>>,
    pub failed: Mutex<Option<String>>,
    pub requests: AtomicU64,
    /// Both ways.
    pub bytes: AtomicU64,
}

impl Heard {
    pub fn port(&self) -> Option<u16> {
        *self.port.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub fn failure(&self) -> Option<String> {
        self.failed.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).clone()
    }
}

pub struct Origin {
    heard: Arc<Heard>,
    servers: Vec<IpAddr>,
    conns: BTreeMap<Link, Reader>,
    said: Vec<u8>,
}

impl Origin {
    pub fn new(heard: Arc<Heard>, servers: Vec<IpAddr>) -> Origin {
        Origin { heard, servers, conns: BTreeMap::new(), said: response(200, &[], Some(b"done\n")) }
    }
}

impl Node for Origin {
    fn handle(&mut self, _: Moment, input: Input<'_>, out: &mut Outbox) {
        match input {
            Input::Start => {
                if let Some(first) = self.servers.first() {
                    out.push(Effect::Listen { listener: 0, at: SocketAddr::new(*first, 0) });
                }
            }
            Input::Listening { listener: door, at } => {
                self.heard.open.fetch_add(1, SeqCst);
                if door == 0 {
                    // The others take the port that the first was given.
                    for (door, server) in self.servers.iter().enumerate().skip(1) {
                        let at = SocketAddr::new(*server, at.port());
                        out.push(Effect::Listen { listener: door as u32, at });
                    }
                    *self.heard.port.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) =
                        Some(at.port());
                }
            }
            Input::NotListening { why, .. } => {
                *self.heard.failed.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) = Some(why);
            }
            Input::Accepted { link, .. } => {
                self.conns.insert(link, Reader::new(Side::Requests, Limits::default()));
            }
            Input::Bytes { link, bytes } => {
                let Some(reader) = self.conns.get_mut(&link) else { return };
                reader.push(bytes);
                let mut asked = 0;
                loop {
                    match reader.next_part() {
                        Ok(Some(Part::End)) => asked += 1,
                        Ok(Some(_)) => {}
                        Ok(None) => break,
                        Err(_) => return out.cut(link),
                    }
                }
                self.heard.requests.fetch_add(asked, SeqCst);
                let said = asked * self.said.len() as u64;
                self.heard.bytes.fetch_add(bytes.len() as u64 + said, SeqCst);
                (0..asked).for_each(|_| out.send(link, self.said.clone()));
            }
            Input::Closed { link, .. } => {
                self.conns.remove(&link);
            }
            _ => {}
        }
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}
