//! The platform's planner fed by hand: what it is given, and what it had done.

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

/// A planner and what it had done so far.
pub struct Hand {
    pub node: Platform,
    pub out: Outbox,
    pub now: Moment,
    pub due: Vec<(Moment, u64)>,
    pub done: Vec<Effect>,
    pub dialled: Vec<(Link, SocketAddr)>,
    /// Lists the module was told.
    pub lists: usize,
    /// Probes that ended badly, as logged.
    pub bad_probes: Vec<String>,
    /// Lines of the log, whatever they say.
    pub logged: usize,
}

impl Hand {
    pub fn new(text: &str) -> Hand {
        let config = Config::read(text, |_| None).expect("a good configuration");
        let node = Platform::new(START, config, "config.json".into());
        let (out, due, done, dialled) = (Outbox::default(), vec![], vec![], vec![]);
        let (lists, bad_probes) = (0, vec![]);
        let logged = 0;
        let mut hand = Hand { node, out, now: START, due, done, dialled, lists, bad_probes, logged };
        hand.give(Input::Start);
        hand
    }

    pub fn give(&mut self, input: Input<'_>) {
        self.node.handle(self.now, input, &mut self.out);
        for effect in std::mem::take(&mut self.out.effects) {
            self.logged += usize::from(matches!(effect, Effect::Log(_)));
            match effect {
                Effect::SetTimer { timer, at } => self.due.push((at, timer)),
                Effect::Connect { link, to, .. } => self.dialled.push((link, to)),
                Effect::Log(line) if line.event == "probe" => {
                    let told: Vec<&str> = line.fields.iter().map(|field| field.1.as_str()).collect();
                    self.bad_probes.push(told.join(" "));
                }
                Effect::Log(line) => self.lists += usize::from(line.event == "list"),
                other => self.done.push(other),
            }
        }
    }

    /// Lets time go by; timers ring when they are due.
    pub fn pass(&mut self, ms: u64) {
        let end = self.now + Span::millis(ms);
        while let Some(at) = (0..self.due.len()).min_by_key(|at| self.due[*at]) {
            if self.due[at].0 > end {
                break;
            }
            let (when, timer) = self.due.remove(at);
            self.now = self.now.max(when);
            self.give(Input::TimerFired { timer });
        }
        self.now = end;
    }

    pub fn come(&mut self) -> Link {
        let link = self.out.link();
        let from = SocketAddr::from(([127, 0, 0, 9], 9));
        self.give(Input::Accepted { link, listener: 0, from });
        link
    }

    pub fn say(&mut self, link: Link, text: &str) {
        let mut bytes = Vec::new();
        write_array(text.split(' '), &mut bytes);
        self.give(Input::Bytes { link, bytes: &bytes });
    }

    pub fn joined(&mut self, number: usize) -> Link {
        let link = self.come();
        self.say(link, &format!("SUBSCRIBE sidecar {number} az a share 5 standing 1"));
        link
    }

    /// The newest connection that was asked for there.
    pub fn dial(&self, port: u16) -> Link {
        self.dialled.iter().rev().find(|dialled| dialled.1.port() == port).expect("a connection").0
    }

    /// Answers what is asked of discovery now.
    pub fn discovery(&mut self, link: Link, body: &str) {
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        self.give(Input::Bytes { link, bytes: answer.as_bytes() });
    }

    /// What was done since the last look.
    pub fn seen(&mut self) -> String {
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
        let done = std::mem::take(&mut self.done).into_iter().map(|effect| match effect {
            Effect::Send { link, bytes } => format!("{}: {}", link.0, text(&bytes)),
            Effect::Finish { link } => format!("{}: finished", link.0),
            Effect::Cut { link } => format!("{}: cut", link.0),
            other => format!("{other:?}"),
        });
        done.collect::<Vec<_>>().join("\n")
    }
}
