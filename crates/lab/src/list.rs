//! A stand-in for the discovery API: list and watch of endpoint slices, and what goes wrong with them.

use crate::bell::Bell;
use pewtergap_http::{chunk, response, Limits, Part, Reader, Side, StartLine};
use pewtergap_node::{Effect, Input, Link, Node, Outbox};
use pewtergap_time::{Moment, Span};
use serde_json::{json, Value};
use std::any::Any;
use std::collections::BTreeMap;
use std::net::SocketAddr;

#[derive(Clone, Debug)]
struct Endpoint {
    state: String,
    weight: f64,
    started_ms: u64,
}

#[derive(Clone, Debug, Default)]
struct Slice {
    version: u64,
    endpoints: BTreeMap<SocketAddr, Endpoint>,
}

pub struct List {
    bell: Bell,
    version: u64,
    slices: BTreeMap<String, Slice>,
    /// The state before each change, the last few.
    past: Vec<(u64, BTreeMap<String, Slice>)>,
    /// Answers come from the past until then.
    older_until: Moment,
    conns: BTreeMap<Link, Reader>,
    watches: Vec<Link>,
    /// The next change ends all watches in the middle of its line.
    tearing: bool,
}

const MOST_PAST: usize = 64;
const BOOKMARK: Span = Span::millis(2_000);

impl List {
    pub fn new(bell: Bell) -> List {
        List {
            bell,
            version: 100,
            slices: BTreeMap::new(),
            past: Vec::new(),
            older_until: Moment(0),
            conns: BTreeMap::new(),
            watches: Vec::new(),
            tearing: false,
        }
    }

    fn object(zone: &str, slice: &Slice) -> Value {
        let port = slice.endpoints.keys().next().map(SocketAddr::port);
        let pairs = |of: fn(&Endpoint) -> String| {
            let pairs = slice.endpoints.iter().map(|(at, endpoint)| format!("{}={}", at.ip(), of(endpoint)));
            pairs.collect::<Vec<_>>().join(",")
        };
        let endpoint = |(at, endpoint): (&SocketAddr, &Endpoint)| {
            let stopping = endpoint.state == "stopping";
            json!({
                "addresses": [at.ip().to_string()],
                "conditions": {"ready": !stopping, "serving": true, "terminating": stopping},
                "zone": zone,
            })
        };
        json!({
            "apiVersion": "discovery.k8s.io/v1", "kind": "EndpointSlice", "addressType": "IPv4",
            "metadata": {
                "name": format!("servers-{zone}"), "resourceVersion": slice.version.to_string(),
                "annotations": {
                    "pewtergap/weight": pairs(|e| e.weight.to_string()),
                    "pewtergap/started": pairs(|e| e.started_ms.to_string()),
                },
            },
            "endpoints": slice.endpoints.iter().map(endpoint).collect::<Vec<_>>(),
            "ports": port.map(|port| json!([{"name": "http", "port": port}])).unwrap_or(json!([])),
        })
    }

    fn change(&mut self, now: Moment, zone: &str, edit: impl FnOnce(&mut Slice), out: &mut Outbox) {
        self.past.push((self.version, self.slices.clone()));
        if self.past.len() > MOST_PAST {
            self.past.remove(0);
        }
        self.version += 1;
        let slice = self.slices.entry(zone.into()).or_default();
        edit(slice);
        slice.version = self.version;
        let line = Self::event("MODIFIED", Self::object(zone, slice));
        if now < self.older_until {
            return;
        }
        if std::mem::take(&mut self.tearing) {
            // The connection ends in the middle of a line.
            for link in std::mem::take(&mut self.watches) {
                out.send(link, chunk(&line[..line.len() / 2]));
                out.finish(link);
            }
            return;
        }
        self.watches.iter().for_each(|link| out.send(*link, chunk(&line)));
    }

    fn event(kind: &str, object: Value) -> Vec<u8> {
        format!("{}\n", json!({"type": kind, "object": object})).into_bytes()
    }

    fn told(&mut self, now: Moment, word: &str, out: &mut Outbox) {
        let words: Vec<&str> = word.split_whitespace().collect();
        match words.as_slice() {
            // put ADDRESS ZONE STATE WEIGHT STARTED_MS
            ["put", at, zone, state, weight, started] => {
                let Ok(at) = at.parse() else { return };
                let weight = weight.parse().unwrap_or(1.0);
                let started_ms = started.parse().unwrap_or(0);
                let endpoint = Endpoint { state: state.to_string(), weight, started_ms };
                self.change(now, zone, |slice| drop(slice.endpoints.insert(at, endpoint)), out);
            }
            ["state", at, zone, state] => {
                let Ok(at) = at.parse::<SocketAddr>() else { return };
                let set = |slice: &mut Slice| {
                    slice.endpoints.entry(at).and_modify(|endpoint| endpoint.state = state.to_string());
                };
                self.change(now, zone, set, out);
            }
            ["gone", at, zone] => {
                let Ok(at) = at.parse::<SocketAddr>() else { return };
                self.change(now, zone, |slice| drop(slice.endpoints.remove(&at)), out);
            }
            // All watches end, and whoever asks gets a state of some changes ago, for a while.
            ["older", ms] => {
                self.older_until = now + Span::millis(ms.parse().unwrap_or(1_000));
                std::mem::take(&mut self.watches).into_iter().for_each(|link| out.cut(link));
            }
            ["expire"] => {
                let gone = json!({"kind": "Status", "status": "Failure", "code": 410, "reason": "Expired"});
                for link in std::mem::take(&mut self.watches) {
                    out.send(link, chunk(&Self::event("ERROR", gone.clone())));
                    out.finish(link);
                }
                // Nothing of the past is known any more.
                self.past.clear();
            }
            ["tear"] => self.tearing = true,
            _ => {}
        }
    }

    fn asked(&mut self, now: Moment, link: Link, target: &str, out: &mut Outbox) {
        let query = target.split_once('?').map_or("", |parts| parts.1);
        let value = |name: &str| {
            query.split('&').filter_map(|p| p.split_once('=')).find(|p| p.0 == name).map(|p| p.1)
        };
        let older = now < self.older_until;
        if value("watch") != Some("1") {
            let oldest = self.past.first().filter(|_| older);
            let (version, slices) = oldest.map_or((self.version, &self.slices), |past| (past.0, &past.1));
            let items: Vec<Value> = slices.iter().map(|(zone, slice)| Self::object(zone, slice)).collect();
            let list = json!({
                "apiVersion": "discovery.k8s.io/v1", "kind": "EndpointSliceList",
                "metadata": {"resourceVersion": version.to_string()}, "items": items,
            });
            out.send(
                link,
                response(200, &[("content-type", "application/json")], Some(list.to_string().as_bytes())),
            );
            return;
        }
        let from: u64 = value("resourceVersion").and_then(|v| v.parse().ok()).unwrap_or(0);
        // What was changed while nothing of the past is kept cannot be told.
        let oldest = self.past.first().map_or(self.version, |past| past.0);
        if from < oldest && !older {
            out.send(link, response(410, &[], Some(b"{\"code\":410}")));
            return;
        }
        out.send(
            link,
            response(200, &[("content-type", "application/json"), ("transfer-encoding", "chunked")], None),
        );
        for (zone, slice) in self.slices.iter().filter(|s| s.1.version > from && !older) {
            out.send(link, chunk(&Self::event("MODIFIED", Self::object(zone, slice))));
        }
        self.watches.push(link);
    }

    fn bytes(&mut self, now: Moment, link: Link, bytes: &[u8], out: &mut Outbox) {
        let Some(reader) = self.conns.get_mut(&link) else { return };
        reader.push(bytes);
        let mut asked = Vec::new();
        loop {
            match reader.next_part() {
                Ok(Some(Part::Head(head))) => {
                    if let StartLine::Request { target, .. } = head.first {
                        asked.push(target);
                    }
                }
                Ok(Some(_)) => {}
                Ok(None) => break,
                Err(_) => return out.cut(link),
            }
        }
        asked.iter().for_each(|target| self.asked(now, link, target, out));
    }
}

impl Node for List {
    fn handle(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) {
        match input {
            Input::Start => {
                out.push(Effect::Listen { listener: 0, at: SocketAddr::from(([127, 0, 0, 1], 0)) });
                out.set_timer(0, now + BOOKMARK);
            }
            Input::Listening { at, .. } => self.bell.listens("list", at),
            Input::Accepted { link, .. } => {
                self.conns.insert(link, Reader::new(Side::Requests, Limits::default()));
            }
            Input::Bytes { link, bytes } => self.bytes(now, link, bytes, out),
            Input::Closed { link, .. } => {
                self.conns.remove(&link);
                self.watches.retain(|watch| *watch != link);
            }
            Input::TimerFired { .. } => {
                out.set_timer(0, now + BOOKMARK);
                let object = json!({"kind": "EndpointSlice", "metadata": {"resourceVersion": self.version.to_string()}});
                let line = chunk(&Self::event("BOOKMARK", object));
                if now >= self.older_until {
                    self.watches.iter().for_each(|link| out.send(*link, line.clone()));
                }
            }
            Input::Command(word) => self.told(now, word, out),
            _ => {}
        }
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}
