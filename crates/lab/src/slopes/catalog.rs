//! A discovery API with many servers in slices of a told size, that counts what it says. The list of the rehearsal kit
//! keeps its past and misleads; this one is only large.

use pewtergap_http::{chunk, response, Limits, Part, Reader, Side, StartLine};
use pewtergap_node::{Effect, Input, Link, Node, Outbox};
use pewtergap_time::Moment;
use serde_json::{json, Value};
use std::any::Any;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};

/// What others see of it.
#[derive(Default)]
pub struct Seen {
    pub at: Mutex<Option<SocketAddr>>,
    /// Bytes of whole lists and of changes that were said, and how many of each.
    pub list_bytes: AtomicU64,
    pub lists: AtomicU64,
    pub change_bytes: AtomicU64,
    pub changes: AtomicU64,
    pub watches: AtomicU64,
}

struct Slice {
    zone: String,
    /// Addresses, and whether each is stopping.
    servers: Vec<(IpAddr, bool)>,
}

pub struct Catalog {
    seen: Arc<Seen>,
    slices: Vec<Slice>,
    port: u16,
    version: u64,
    conns: BTreeMap<Link, Reader>,
    watches: Vec<Link>,
}

impl Catalog {
    /// Servers are spread over zones in turn by slices; all listen on one port.
    pub fn new(seen: Arc<Seen>, servers: &[IpAddr], port: u16, a_slice: usize, zones: &[String]) -> Catalog {
        let slices = servers.chunks(a_slice.max(1)).enumerate().map(|(at, servers)| Slice {
            zone: zones[at % zones.len()].clone(),
            servers: servers.iter().map(|server| (*server, false)).collect(),
        });
        Catalog {
            seen,
            slices: slices.collect(),
            port,
            version: 100,
            conns: BTreeMap::new(),
            watches: Vec::new(),
        }
    }

    fn object(&self, at: usize) -> Value {
        let slice = &self.slices[at];
        let endpoint = |(address, stopping): &(IpAddr, bool)| {
            json!({
                "addresses": [address.to_string()], "zone": slice.zone,
                "conditions": {"ready": !stopping, "serving": true, "terminating": stopping},
            })
        };
        json!({
            "apiVersion": "discovery.k8s.io/v1", "kind": "EndpointSlice", "addressType": "IPv4",
            "metadata": {"name": format!("slice-{at}"), "resourceVersion": self.version.to_string()},
            "endpoints": slice.servers.iter().map(endpoint).collect::<Vec<_>>(),
            "ports": [{"name": "http", "port": self.port}],
        })
    }

    fn asked(&mut self, link: Link, target: &str, out: &mut Outbox) {
        let kind = [("content-type", "application/json"), ("transfer-encoding", "chunked")];
        if target.contains("watch=1") {
            out.send(link, response(200, &kind, None));
            self.watches.push(link);
            self.seen.watches.fetch_add(1, SeqCst);
            return;
        }
        let items: Vec<Value> = (0..self.slices.len()).map(|at| self.object(at)).collect();
        let list = json!({
            "apiVersion": "discovery.k8s.io/v1", "kind": "EndpointSliceList",
            "metadata": {"resourceVersion": self.version.to_string()}, "items": items,
        });
        let said = response(200, &kind[..1], Some(list.to_string().as_bytes()));
        self.seen.list_bytes.fetch_add(said.len() as u64, SeqCst);
        self.seen.lists.fetch_add(1, SeqCst);
        out.send(link, said);
    }

    /// The server of this number stops, or runs again; its whole slice is said.
    fn turn(&mut self, nth: usize, out: &mut Outbox) {
        let a_slice = self.slices.first().map_or(1, |slice| slice.servers.len());
        let (slice, server) = (nth / a_slice, nth % a_slice);
        let Some(found) = self.slices.get_mut(slice).and_then(|slice| slice.servers.get_mut(server)) else {
            return;
        };
        found.1 = !found.1;
        self.version += 1;
        let line = format!("{}\n", json!({"type": "MODIFIED", "object": self.object(slice)}));
        let said = chunk(line.as_bytes());
        for link in &self.watches {
            self.seen.change_bytes.fetch_add(said.len() as u64, SeqCst);
            self.seen.changes.fetch_add(1, SeqCst);
            out.send(*link, said.clone());
        }
    }
}

impl Node for Catalog {
    fn handle(&mut self, _: Moment, input: Input<'_>, out: &mut Outbox) {
        match input {
            Input::Start => {
                out.push(Effect::Listen { listener: 0, at: SocketAddr::from(([127, 0, 0, 1], 0)) })
            }
            Input::Listening { at, .. } => {
                *self.seen.at.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) = Some(at);
            }
            Input::Accepted { link, .. } => {
                self.conns.insert(link, Reader::new(Side::Requests, Limits::default()));
            }
            Input::Bytes { link, bytes } => {
                let Some(reader) = self.conns.get_mut(&link) else { return };
                reader.push(bytes);
                let mut asked = Vec::new();
                while let Ok(Some(part)) = reader.next_part() {
                    if let Part::Head(head) = part {
                        if let StartLine::Request { target, .. } = head.first {
                            asked.push(target);
                        }
                    }
                }
                asked.iter().for_each(|target| self.asked(link, target, out));
            }
            Input::Closed { link, .. } => {
                self.conns.remove(&link);
                self.watches.retain(|watch| *watch != link);
            }
            Input::Command(word) => {
                if let Some(nth) = word.strip_prefix("turn ").and_then(|nth| nth.parse().ok()) {
                    self.turn(nth, out);
                }
            }
            _ => {}
        }
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}
