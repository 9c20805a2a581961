//! What members tell each other of who is heard, of counts and of servers, as protobuf, and the way to the machines' own types.

use crate::words::MOST_NAME;
use pewtergap_counts::{CountEntry, CountReport, ReportRequest, MAX_KEYS};
use pewtergap_evidence::{PeerReport, ServerObservation, MAX_OBSERVATIONS};
use pewtergap_gossip::{MemberState, Message as Gossip, MessageKind, Update, MAX_MEMBERS};
use pewtergap_time::Span;
use prost::{Message, Oneof};

#[derive(Clone, PartialEq, Message)]
pub struct Gossiped {
    #[prost(oneof = "Saying", tags = "1, 2, 3, 4, 5")]
    pub say: Option<Saying>,
    #[prost(message, repeated, tag = "6")]
    pub news: Vec<NewsTold>,
}

#[derive(Clone, PartialEq, Oneof)]
pub enum Saying {
    #[prost(uint64, tag = "1")]
    Ping(u64),
    #[prost(uint64, tag = "2")]
    Ack(u64),
    #[prost(message, tag = "3")]
    Ask(AskFor),
    #[prost(uint64, tag = "4")]
    Nack(u64),
    /// All that is known; whether the same is wanted back.
    #[prost(bool, tag = "5")]
    Whole(bool),
}

#[derive(Clone, PartialEq, Message)]
pub struct AskFor {
    #[prost(uint64, tag = "1")]
    pub token: u64,
    #[prost(fixed64, tag = "2")]
    pub whom: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct NewsTold {
    #[prost(fixed64, tag = "1")]
    pub subject: u64,
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// 0 alive, 1 suspect, 2 gone.
    #[prost(uint32, tag = "3")]
    pub state: u32,
    #[prost(fixed64, tag = "4")]
    pub by: u64,
}

const STATES: [MemberState; 3] = [MemberState::Alive, MemberState::Suspect, MemberState::Gone];

impl Gossiped {
    pub fn of(message: &Gossip) -> Gossiped {
        let say = match message.kind {
            MessageKind::Ping(token) => Saying::Ping(token),
            MessageKind::Ack(token) => Saying::Ack(token),
            MessageKind::PingRequest(token, whom) => Saying::Ask(AskFor { token, whom }),
            MessageKind::Nack(token) => Saying::Nack(token),
            MessageKind::FullSync(back) => Saying::Whole(back),
        };
        let news = |n: &Update| NewsTold {
            subject: n.member,
            incarnation: n.incarnation,
            state: n.state as u32,
            by: n.reported_by,
        };
        Gossiped { say: Some(say), news: message.updates.iter().map(news).collect() }
    }

    pub fn message(&self) -> Option<Gossip> {
        let say = match self.say.as_ref()? {
            Saying::Ping(token) => MessageKind::Ping(*token),
            Saying::Ack(token) => MessageKind::Ack(*token),
            Saying::Ask(ask) => MessageKind::PingRequest(ask.token, ask.whom),
            Saying::Nack(token) => MessageKind::Nack(*token),
            Saying::Whole(back) => MessageKind::FullSync(*back),
        };
        let news = |n: &NewsTold| {
            let state = *STATES.get(n.state as usize)?;
            Some(Update { member: n.subject, incarnation: n.incarnation, state, reported_by: n.by })
        };
        Some(Gossip { kind: say, updates: self.news.iter().filter_map(news).collect() })
    }

    pub fn check(&self) -> Result<(), String> {
        match self.news.len() {
            n if n > MAX_MEMBERS => Err(format!("news: {n}, {MAX_MEMBERS} at most")),
            _ => self.say.as_ref().map(drop).ok_or("gossip says nothing of this format".into()),
        }
    }
}

#[derive(Clone, PartialEq, Message)]
pub struct CountsAsk {
    #[prost(uint64, tag = "1")]
    pub token: u64,
    #[prost(uint64, tag = "2")]
    pub start: u64,
    #[prost(uint64, tag = "3")]
    pub number: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Counts {
    #[prost(uint64, tag = "1")]
    pub token: u64,
    #[prost(uint64, tag = "2")]
    pub start: u64,
    #[prost(uint64, tag = "3")]
    pub number: u64,
    #[prost(uint64, tag = "4")]
    pub after: u64,
    #[prost(message, repeated, tag = "5")]
    pub rows: Vec<CountRow>,
}

#[derive(Clone, PartialEq, Message)]
pub struct CountRow {
    #[prost(string, tag = "1")]
    pub key: String,
    #[prost(double, tag = "2")]
    pub value: f64,
    #[prost(double, tag = "3")]
    pub least: f64,
    #[prost(double, tag = "4")]
    pub most: f64,
}

impl CountsAsk {
    pub fn of(ask: ReportRequest) -> CountsAsk {
        CountsAsk { token: ask.token, start: ask.start, number: ask.last_sequence }
    }

    pub fn ask(&self) -> ReportRequest {
        ReportRequest { token: self.token, start: self.start, last_sequence: self.number }
    }
}

impl Counts {
    pub fn of(part: CountReport) -> Counts {
        let row = |r: CountEntry| CountRow { key: r.key, value: r.value, least: r.min, most: r.max };
        let rows = part.entries.into_iter().map(row).collect();
        Counts {
            token: part.token,
            start: part.start,
            number: part.sequence,
            after: part.base_sequence,
            rows,
        }
    }

    pub fn part(self) -> CountReport {
        let row = |r: CountRow| CountEntry { key: r.key, value: r.value, min: r.least, max: r.most };
        let rows = self.rows.into_iter().map(row).collect();
        CountReport {
            token: self.token,
            start: self.start,
            sequence: self.number,
            base_sequence: self.after,
            entries: rows,
        }
    }

    pub fn check(&self) -> Result<(), String> {
        match self.rows.len() {
            n if n > MAX_KEYS => Err(format!("rows: {n}, {MAX_KEYS} at most")),
            _ if self.rows.iter().any(|row| row.key.len() > 2 * MOST_NAME) => Err("key: is too long".into()),
            _ => Ok(()),
        }
    }
}

#[derive(Clone, PartialEq, Message)]
pub struct EvidenceTold {
    #[prost(uint64, tag = "1")]
    pub start: u64,
    #[prost(uint64, tag = "2")]
    pub number: u64,
    #[prost(message, repeated, tag = "3")]
    pub seen: Vec<SeenTold>,
    #[prost(uint64, tag = "4")]
    pub tried: u64,
    #[prost(uint64, tag = "5")]
    pub bad: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct SeenTold {
    #[prost(string, tag = "1")]
    pub server: String,
    #[prost(double, tag = "2")]
    pub tries: f64,
    #[prost(double, tag = "3")]
    pub dropped: f64,
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
}

impl EvidenceTold {
    pub fn of(told: PeerReport) -> EvidenceTold {
        let seen = |s: ServerObservation| SeenTold {
            server: s.server,
            tries: s.tries,
            dropped: s.dropped,
            age_ms: s.age.0 / 1_000_000,
        };
        let rows = told.observations.into_iter().map(seen).collect();
        EvidenceTold {
            start: told.start,
            number: told.sequence,
            seen: rows,
            tried: told.servers_tried,
            bad: told.servers_bad,
        }
    }

    pub fn told(self) -> PeerReport {
        let seen = |s: SeenTold| ServerObservation {
            server: s.server,
            tries: s.tries,
            dropped: s.dropped,
            age: Span::millis(s.age_ms.min(3_600_000)),
        };
        let rows = self.seen.into_iter().map(seen).collect();
        PeerReport {
            start: self.start,
            sequence: self.number,
            observations: rows,
            servers_tried: self.tried,
            servers_bad: self.bad,
        }
    }

    pub fn check(&self) -> Result<(), String> {
        match self.seen.len() {
            n if n > MAX_OBSERVATIONS => Err(format!("seen: {n}, {MAX_OBSERVATIONS} at most")),
            _ if self.seen.iter().any(|seen| seen.server.len() > MOST_NAME) => {
                Err("server: is too long".into())
            }
            _ => Ok(()),
        }
    }
}
