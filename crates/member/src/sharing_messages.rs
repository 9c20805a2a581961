//! Gossip, counts and evidence as protobuf messages, with conversions from and to the types of the protocol
//! crates.

use crate::messages::MAX_NAME_LEN;
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
    /// The full state; the value tells whether the receiver should send its own in return.
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
    pub member: u64,
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// 0 alive, 1 suspect, 2 gone.
    #[prost(uint32, tag = "3")]
    pub state: u32,
    #[prost(fixed64, tag = "4")]
    pub reported_by: u64,
}

const STATES: [MemberState; 3] = [MemberState::Alive, MemberState::Suspect, MemberState::Gone];

impl GossipMessage {
    pub fn from_gossip(message: &Gossip) -> GossipMessage {
        let kind = match message.kind {
            MessageKind::Ping(token) => GossipKind::Ping(token),
            MessageKind::Ack(token) => GossipKind::Ack(token),
            MessageKind::PingRequest(token, target) => GossipKind::PingRequest(PingRequest { token, target }),
            MessageKind::Nack(token) => GossipKind::Nack(token),
            MessageKind::FullSync(reply) => GossipKind::FullSync(reply),
        };
        let update = |n: &Update| UpdateMessage {
            member: n.member,
            incarnation: n.incarnation,
            state: n.state as u32,
            reported_by: n.reported_by,
        };
        GossipMessage { kind: Some(kind), updates: message.updates.iter().map(update).collect() }
    }

    pub fn to_gossip(&self) -> Option<Gossip> {
        let kind = match self.kind.as_ref()? {
            GossipKind::Ping(token) => MessageKind::Ping(*token),
            GossipKind::Ack(token) => MessageKind::Ack(*token),
            GossipKind::PingRequest(request) => MessageKind::PingRequest(request.token, request.target),
            GossipKind::Nack(token) => MessageKind::Nack(*token),
            GossipKind::FullSync(reply) => MessageKind::FullSync(*reply),
        };
        let update = |n: &UpdateMessage| {
            let state = *STATES.get(n.state as usize)?;
            Some(Update { member: n.member, incarnation: n.incarnation, state, reported_by: n.reported_by })
        };
        Some(Gossip { kind, updates: self.updates.iter().filter_map(update).collect() })
    }

    pub fn check(&self) -> Result<(), String> {
        match self.updates.len() {
            n if n > MAX_MEMBERS => Err(format!("updates: {n}, {MAX_MEMBERS} at most")),
            _ => self.kind.as_ref().map(drop).ok_or("gossip kind is missing or unknown".into()),
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
    pub last_sequence: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct CountsResponse {
    #[prost(uint64, tag = "1")]
    pub token: u64,
    #[prost(uint64, tag = "2")]
    pub start: u64,
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    #[prost(uint64, tag = "4")]
    pub base_sequence: u64,
    #[prost(message, repeated, tag = "5")]
    pub entries: Vec<CountRow>,
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
    pub fn from_request(request: ReportRequest) -> CountsRequest {
        CountsRequest { token: request.token, start: request.start, last_sequence: request.last_sequence }
    }

    pub fn to_request(&self) -> ReportRequest {
        ReportRequest { token: self.token, start: self.start, last_sequence: self.last_sequence }
    }
}

impl CountsResponse {
    pub fn from_report(report: CountReport) -> CountsResponse {
        let entry = |r: CountEntry| CountRow { key: r.key, value: r.value, min: r.min, max: r.max };
        let entries = report.entries.into_iter().map(entry).collect();
        CountsResponse {
            token: report.token,
            start: report.start,
            sequence: report.sequence,
            base_sequence: report.base_sequence,
            entries,
        }
    }

    pub fn into_report(self) -> CountReport {
        let entry = |r: CountRow| CountEntry { key: r.key, value: r.value, min: r.min, max: r.max };
        let entries = self.entries.into_iter().map(entry).collect();
        CountReport {
            token: self.token,
            start: self.start,
            sequence: self.sequence,
            base_sequence: self.base_sequence,
            entries,
        }
    }

    pub fn check(&self) -> Result<(), String> {
        match self.entries.len() {
            n if n > MAX_KEYS => Err(format!("entries: {n}, {MAX_KEYS} at most")),
            _ if self.entries.iter().any(|entry| entry.key.len() > 2 * MAX_NAME_LEN) => {
                Err("key: is too long".into())
            }
            _ => Ok(()),
        }
    }
}

#[derive(Clone, PartialEq, Message)]
pub struct EvidenceReport {
    #[prost(uint64, tag = "1")]
    pub start: u64,
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    #[prost(message, repeated, tag = "3")]
    pub observations: Vec<ObservationEntry>,
    #[prost(uint64, tag = "4")]
    pub servers_tried: u64,
    #[prost(uint64, tag = "5")]
    pub servers_bad: u64,
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
    pub fn from_peer_report(report: PeerReport) -> EvidenceReport {
        let observation = |s: ServerObservation| ObservationEntry {
            server: s.server,
            tries: s.tries,
            dropped: s.dropped,
            age_ms: s.age.0 / 1_000_000,
        };
        let observations = report.observations.into_iter().map(observation).collect();
        EvidenceReport {
            start: report.start,
            sequence: report.sequence,
            observations,
            servers_tried: report.servers_tried,
            servers_bad: report.servers_bad,
        }
    }

    pub fn into_peer_report(self) -> PeerReport {
        let observation = |s: ObservationEntry| ServerObservation {
            server: s.server,
            tries: s.tries,
            dropped: s.dropped,
            age: Span::millis(s.age_ms.min(3_600_000)),
        };
        let observations = self.observations.into_iter().map(observation).collect();
        PeerReport {
            start: self.start,
            sequence: self.sequence,
            observations,
            servers_tried: self.servers_tried,
            servers_bad: self.servers_bad,
        }
    }

    pub fn check(&self) -> Result<(), String> {
        match self.observations.len() {
            n if n > MAX_OBSERVATIONS => Err(format!("observations: {n}, {MAX_OBSERVATIONS} at most")),
            _ if self.observations.iter().any(|seen| seen.server.len() > MAX_NAME_LEN) => {
                Err("server: is too long".into())
            }
            _ => Ok(()),
        }
    }
}
