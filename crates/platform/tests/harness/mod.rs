//! Test harness that feeds inputs to the platform's planner and records its effects.

// Each test file uses only some of the items.
#![allow(dead_code)]

pub mod fleet;
pub mod seeds;

use pewtergap_node::{Effect, Input, Link, Node, Outbox};
use pewtergap_platform::{Config, Platform};
use pewtergap_resp::{write_array, Bounds, Reader};
use pewtergap_time::{Moment, Span};
use std::net::SocketAddr;

pub const START: Moment = Moment(1_700_000_000_000_000_000);

pub fn settings(proxies: usize, sockets: usize) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.2:85","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":32,"sockets":{sockets}}},
        "known":{{"rev":4,"all":true,"targets":[{},{}]}},
        "settings":{{"Zones":["a","b"],"Balancers":1,"Discovery":"pushed",
          "Profiles":[{{"Name":"lookup","Semantics":"free","Credit":1.0}}],
          "Permissions":{{"Probes":true}},
          "Contract":{{"DrainGraceNs":2000000000,"ColdNs":5000000000,"FallNs":3000000000,"OverloadFactor":3.0}},
          "FamilyInfo":{{"DataPlaneSize":{proxies},"Head":3.0,"PendingMax":4400.0,"EgressPerS":2200.0,
            "TransitMaxNs":500000000,"ThrottleBy":"off"}}}}}}"#,
        row("s-1", "a", "Ready"),
        row("s-2", "b", "Ready")
    )
}

pub fn row(name: &str, zone: &str, state: &str) -> String {
    let port = name.bytes().map(usize::from).sum::<usize>();
    format!(
        r#"{{"uid":"{name}","endpoint":"127.0.0.3:{port}","az":"{zone}","model":"m","pod_group":3,
        "state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#
    )
}

/// A planner and the effects it has produced so far.
pub struct Harness {
    pub node: Platform,
    pub out: Outbox,
    pub now: Moment,
    pub timers: Vec<(Moment, u64)>,
    pub effects: Vec<Effect>,
    pub connects: Vec<(Link, SocketAddr)>,
    /// Number of lists passed to the planner core.
    pub list_events: usize,
    /// Failed probes, as logged.
    pub failed_probes: Vec<String>,
    /// Number of log lines of any kind.
    pub log_lines: usize,
}

impl Harness {
    pub fn new(text: &str) -> Harness {
        let config = Config::parse(text, |_| None).expect("a valid configuration");
        let node = Platform::new(START, config, "config.json".into());
        let (out, timers, effects, connects) = (Outbox::default(), vec![], vec![], vec![]);
        let (list_events, failed_probes) = (0, vec![]);
        let log_lines = 0;
        let mut harness = Harness {
            node,
            out,
            now: START,
            timers,
            effects,
            connects,
            list_events,
            failed_probes,
            log_lines,
        };
        harness.input(Input::Start);
        harness
    }

    pub fn input(&mut self, input: Input<'_>) {
        self.node.handle(self.now, input, &mut self.out);
        for effect in std::mem::take(&mut self.out.effects) {
            self.log_lines += usize::from(matches!(effect, Effect::Log(_)));
            match effect {
                Effect::SetTimer { timer, at } => self.timers.push((at, timer)),
                Effect::Connect { link, to, .. } => self.connects.push((link, to)),
                Effect::Log(line) if line.event == "probe" => {
                    let fields: Vec<&str> = line.fields.iter().map(|field| field.1.as_str()).collect();
                    self.failed_probes.push(fields.join(" "));
                }
                Effect::Log(line) => self.list_events += usize::from(line.event == "list"),
                other => self.effects.push(other),
            }
        }
    }

    /// Advances the time and fires the timers that fall due.
    pub fn advance(&mut self, ms: u64) {
        let end = self.now + Span::millis(ms);
        while let Some(at) = (0..self.timers.len()).min_by_key(|at| self.timers[*at]) {
            if self.timers[at].0 > end {
                break;
            }
            let (when, timer) = self.timers.remove(at);
            self.now = self.now.max(when);
            self.input(Input::TimerFired { timer });
        }
        self.now = end;
    }

    pub fn accept(&mut self) -> Link {
        let link = self.out.link();
        let from = SocketAddr::from(([127, 0, 0, 9], 9));
        self.input(Input::Accepted { link, listener: 0, from });
        link
    }

    pub fn send(&mut self, link: Link, text: &str) {
        let mut bytes = Vec::new();
        write_array(text.split(' '), &mut bytes);
        self.input(Input::Bytes { link, bytes: &bytes });
    }

    pub fn join(&mut self, number: usize) -> Link {
        let link = self.accept();
        self.send(link, &format!("SUBSCRIBE sidecar {number} az a share 5 standing 1"));
        link
    }

    /// The latest connection opened to this port.
    pub fn latest_connection(&self, port: u16) -> Link {
        self.connects.iter().rev().find(|connect| connect.1.port() == port).expect("a connection").0
    }

    /// Answers the pending request to discovery.
    pub fn answer_list(&mut self, link: Link, body: &str) {
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        self.input(Input::Bytes { link, bytes: answer.as_bytes() });
    }

    /// The effects since the last call, as text.
    pub fn take_output(&mut self) -> String {
        let text = |bytes: &[u8]| {
            let mut reader = Reader::new(Bounds { bytes: 1 << 20, items: 100 });
            reader.push(bytes);
            let mut parts = Vec::new();
            while let Ok(Some(items)) = reader.next_message() {
                parts.push(String::from_utf8_lossy(&items.join(&b' ')).into_owned());
            }
            match parts.is_empty() {
                true => String::from_utf8_lossy(bytes).lines().next().unwrap_or("").to_string(),
                false => parts.join(" | "),
            }
        };
        let effects = std::mem::take(&mut self.effects).into_iter().map(|effect| match effect {
            Effect::Send { link, bytes } => format!("{}: {}", link.0, text(&bytes)),
            Effect::Finish { link } => format!("{}: finished", link.0),
            Effect::Cut { link } => format!("{}: cut", link.0),
            other => format!("{other:?}"),
        });
        effects.collect::<Vec<_>>().join("\n")
    }
}
