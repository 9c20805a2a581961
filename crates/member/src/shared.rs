//! What members tell each other of who is heard, of counts and of servers, as protobuf, and the way to the machines' own types.

use crate::words::MOST_NAME;
use pewtergap_counts::{Ask, Part, Row, MOST_KEYS};
use pewtergap_evidence::{Seen, Told, MOST_SEEN};
use pewtergap_gossip::{Message as Gossip, News, Say, State, MOST_KNOWN};
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

const STATES: [State; 3] = [State::Alive, State::Suspect, State::Gone];

impl Gossiped {
    pub fn of(message: &Gossip) -> Gossiped {
        let say = match message.say {
            Say::Ping(token) => Saying::Ping(token),
            Say::Ack(token) => Saying::Ack(token),
            Say::Ask(token, whom) => Saying::Ask(AskFor { token, whom }),
            Say::Nack(token) => Saying::Nack(token),
            Say::Whole(back) => Saying::Whole(back),
        };
        let news = |n: &News| NewsTold {
            subject: n.subject,
            incarnation: n.incarnation,
            state: n.state as u32,
            by: n.by,
        };
        Gossiped { say: Some(say), news: message.news.iter().map(news).collect() }
    }

    pub fn message(&self) -> Option<Gossip> {
        let say = match self.say.as_ref()? {
            Saying::Ping(token) => Say::Ping(*token),
            Saying::Ack(token) => Say::Ack(*token),
            Saying::Ask(ask) => Say::Ask(ask.token, ask.whom),
            Saying::Nack(token) => Say::Nack(*token),
            Saying::Whole(back) => Say::Whole(*back),
        };
        let news = |n: &NewsTold| {
            let state = *STATES.get(n.state as usize)?;
            Some(News { subject: n.subject, incarnation: n.incarnation, state, by: n.by })
        };
        Some(Gossip { say, news: self.news.iter().filter_map(news).collect() })
    }

    pub fn check(&self) -> Result<(), String> {
        match self.news.len() {
            n if n > MOST_KNOWN => Err(format!("news: {n}, {MOST_KNOWN} at most")),
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
    pub fn of(ask: Ask) -> CountsAsk {
        CountsAsk { token: ask.token, start: ask.start, number: ask.number }
    }

    pub fn ask(&self) -> Ask {
        Ask { token: self.token, start: self.start, number: self.number }
    }
}

impl Counts {
    pub fn of(part: Part) -> Counts {
        let row = |r: Row| CountRow { key: r.key, value: r.value, least: r.least, most: r.most };
        let rows = part.rows.into_iter().map(row).collect();
        Counts { token: part.token, start: part.start, number: part.number, after: part.after, rows }
    }

    pub fn part(self) -> Part {
        let row = |r: CountRow| Row { key: r.key, value: r.value, least: r.least, most: r.most };
        let rows = self.rows.into_iter().map(row).collect();
        Part { token: self.token, start: self.start, number: self.number, after: self.after, rows }
    }

    pub fn check(&self) -> Result<(), String> {
        match self.rows.len() {
            n if n > MOST_KEYS => Err(format!("rows: {n}, {MOST_KEYS} at most")),
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
    pub fn of(told: Told) -> EvidenceTold {
        let seen = |s: Seen| SeenTold {
            server: s.server,
            tries: s.tries,
            dropped: s.dropped,
            age_ms: s.age.0 / 1_000_000,
        };
        let rows = told.seen.into_iter().map(seen).collect();
        EvidenceTold { start: told.start, number: told.number, seen: rows, tried: told.tried, bad: told.bad }
    }

    pub fn told(self) -> Told {
        let seen = |s: SeenTold| Seen {
            server: s.server,
            tries: s.tries,
            dropped: s.dropped,
            age: Span::millis(s.age_ms.min(3_600_000)),
        };
        let rows = self.seen.into_iter().map(seen).collect();
        Told { start: self.start, number: self.number, seen: rows, tried: self.tried, bad: self.bad }
    }

    pub fn check(&self) -> Result<(), String> {
        match self.seen.len() {
            n if n > MOST_SEEN => Err(format!("seen: {n}, {MOST_SEEN} at most")),
            _ if self.seen.iter().any(|seen| seen.server.len() > MOST_NAME) => {
                Err("server: is too long".into())
            }
            _ => Ok(()),
        }
    }
}
