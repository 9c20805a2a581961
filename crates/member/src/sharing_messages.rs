//! What members tell each other of who is heard, of counts and of servers, as protobuf, and the way to the machines' own types.

use crate::messages::MOST_NAME;
use pewtergap_counts::{CountEntry, CountReport, ReportRequest, MAX_KEYS};
use pewtergap_evidence::{PeerReport, ServerObservation, MAX_OBSERVATIONS};
use pewtergap_gossip::{MemberState, Message as Gossip, MessageKind, Update, MAX_MEMBERS};
use pewtergap_time::Span;
use prost::{Message, Oneof};

#[derive(Clone, PartialEq, Message)]
pub struct GossipMessage {
    #[prost(oneof = "GossipKind", tags = "1, 2, 3, 4, 5")]
    pub kind: Option<GossipKind>,
    #[prost(message, repeated, tag = "6")]
    pub updates: Vec<UpdateMessage>,
}

#[derive(Clone, PartialEq, Oneof)]
pub enum GossipKind {
    #[prost(uint64, tag = "1")]
    Ping(u64),
    #[prost(uint64, tag = "2")]
    Ack(u64),
    #[prost(message, tag = "3")]
    PingRequest(PingRequest),
    #[prost(uint64, tag = "4")]
    Nack(u64),
    /// All that is known; whether the same is wanted back.
    #[prost(bool, tag = "5")]
    FullSync(bool),
}

#[derive(Clone, PartialEq, Message)]
pub struct PingRequest {
    #[prost(uint64, tag = "1")]
    pub token: u64,
    #[prost(fixed64, tag = "2")]
    pub target: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct UpdateMessage {
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

impl GossipMessage {
    pub fn from_gossip(message: &Gossip) -> GossipMessage {
        let say = match message.kind {
            MessageKind::Ping(token) => GossipKind::Ping(token),
            MessageKind::Ack(token) => GossipKind::Ack(token),
            MessageKind::PingRequest(token, whom) => {
                GossipKind::PingRequest(PingRequest { token, target: whom })
            }
            MessageKind::Nack(token) => GossipKind::Nack(token),
            MessageKind::FullSync(back) => GossipKind::FullSync(back),
        };
        let news = |n: &Update| UpdateMessage {
            subject: n.member,
            incarnation: n.incarnation,
            state: n.state as u32,
            by: n.reported_by,
        };
        GossipMessage { kind: Some(say), updates: message.updates.iter().map(news).collect() }
    }

    pub fn to_gossip(&self) -> Option<Gossip> {
        let say = match self.kind.as_ref()? {
            GossipKind::Ping(token) => MessageKind::Ping(*token),
            GossipKind::Ack(token) => MessageKind::Ack(*token),
            GossipKind::PingRequest(ask) => MessageKind::PingRequest(ask.token, ask.target),
            GossipKind::Nack(token) => MessageKind::Nack(*token),
            GossipKind::FullSync(back) => MessageKind::FullSync(*back),
        };
        let news = |n: &UpdateMessage| {
            let state = *STATES.get(n.state as usize)?;
            Some(Update { member: n.subject, incarnation: n.incarnation, state, reported_by: n.by })
        };
        Some(Gossip { kind: say, updates: self.updates.iter().filter_map(news).collect() })
    }

    pub fn check(&self) -> Result<(), String> {
        match self.updates.len() {
            n if n > MAX_MEMBERS => Err(format!("news: {n}, {MAX_MEMBERS} at most")),
            _ => self.kind.as_ref().map(drop).ok_or("gossip says nothing of this format".into()),
        }
    }
}

#[derive(Clone, PartialEq, Message)]
pub struct CountsRequest {
    #[prost(uint64, tag = "1")]
    pub token: u64,
    #[prost(uint64, tag = "2")]
    pub start: u64,
    #[prost(uint64, tag = "3")]
    pub number: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct CountsResponse {
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
    pub min: f64,
    #[prost(double, tag = "4")]
    pub max: f64,
}

impl CountsRequest {
    pub fn from_request(ask: ReportRequest) -> CountsRequest {
        CountsRequest { token: ask.token, start: ask.start, number: ask.last_sequence }
    }

    pub fn to_request(&self) -> ReportRequest {
        ReportRequest { token: self.token, start: self.start, last_sequence: self.number }
    }
}

impl CountsResponse {
    pub fn from_report(part: CountReport) -> CountsResponse {
        let row = |r: CountEntry| CountRow { key: r.key, value: r.value, min: r.min, max: r.max };
        let rows = part.entries.into_iter().map(row).collect();
        CountsResponse {
            token: part.token,
            start: part.start,
            number: part.sequence,
            after: part.base_sequence,
            rows,
        }
    }

    pub fn into_report(self) -> CountReport {
        let row = |r: CountRow| CountEntry { key: r.key, value: r.value, min: r.min, max: r.max };
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
pub struct EvidenceReport {
    #[prost(uint64, tag = "1")]
    pub start: u64,
    #[prost(uint64, tag = "2")]
    pub number: u64,
    #[prost(message, repeated, tag = "3")]
    pub observations: Vec<ObservationEntry>,
    #[prost(uint64, tag = "4")]
    pub tried: u64,
    #[prost(uint64, tag = "5")]
    pub bad: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct ObservationEntry {
    #[prost(string, tag = "1")]
    pub server: String,
    #[prost(double, tag = "2")]
    pub tries: f64,
    #[prost(double, tag = "3")]
    pub dropped: f64,
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
}

impl EvidenceReport {
    pub fn from_peer_report(told: PeerReport) -> EvidenceReport {
        let seen = |s: ServerObservation| ObservationEntry {
            server: s.server,
            tries: s.tries,
            dropped: s.dropped,
            age_ms: s.age.0 / 1_000_000,
        };
        let rows = told.observations.into_iter().map(seen).collect();
        EvidenceReport {
            start: told.start,
            number: told.sequence,
            observations: rows,
            tried: told.servers_tried,
            bad: told.servers_bad,
        }
    }

    pub fn into_peer_report(self) -> PeerReport {
        let seen = |s: ObservationEntry| ServerObservation {
            server: s.server,
            tries: s.tries,
            dropped: s.dropped,
            age: Span::millis(s.age_ms.min(3_600_000)),
        };
        let rows = self.observations.into_iter().map(seen).collect();
        PeerReport {
            start: self.start,
            sequence: self.number,
            observations: rows,
            servers_tried: self.tried,
            servers_bad: self.bad,
        }
    }

    pub fn check(&self) -> Result<(), String> {
        match self.observations.len() {
            n if n > MAX_OBSERVATIONS => Err(format!("seen: {n}, {MAX_OBSERVATIONS} at most")),
            _ if self.observations.iter().any(|seen| seen.server.len() > MOST_NAME) => {
                Err("server: is too long".into())
            }
            _ => Ok(()),
        }
    }
}
