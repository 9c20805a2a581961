//! The record: what planners hold for others. Commands come in the order of the agreed log; the same commands lead to
//! the same state and the same answers everywhere.
//!
//! Not a store and not agreement: it neither keeps anything on disk nor knows other members. Moments in it are those
//! that commands carry; no clock decides here.
//!
//! | state | command | next | answer |
//! | --- | --- | --- | --- |
//! | id known | any | as it is | the answer it had |
//! | id older than the horizon | any | as it is | `Unknown`: whether it was made can no longer be told |
//! | room for it | order that leaves something | in force on its subject, in place of what was | `Kept` |
//! | | order that takes back | nothing in force on its subject | `Kept` |
//! | too many in force | order on a new subject | as it is | `Refused` |
//! | | number | one more is taken | `Kept`, the number |
//! | no drain of that start | drain | it runs from when it was told | `Kept` |
//! | a drain of that start | drain | as it is: a grace never begins anew | `Kept`, the number of the first |
//! | | raise | the format of the commands that follow, never a lower one | `Kept` |
//! | | clean | what ran out is gone, the horizon rises, never falls | `Kept` |
#![forbid(unsafe_code)]

mod commands;

pub use commands::{
    Cap, Clean, Command, Drain, Order, Subject, TakeNumber, Weight, What, Wish, MOST_NAME, MOST_WHY,
};

use prost::Message;
use std::collections::{BTreeMap, VecDeque};

/// Orders in force, drains that run, and ids that are remembered.
pub const MOST_ORDERS: usize = 10_000;
pub const MOST_DRAINS: usize = 100_000;
pub const MOST_IDS: usize = 100_000;
/// Of planners' own commands the last so many are remembered: given again after that, a drain changes nothing and a
/// number is one more. In format 1 they took the places of operators' orders, and more than 111 a second filled them.
pub const MOST_OWN: usize = 4_096;
/// Formats of commands that this build can carry out.
pub const FORMATS: (u32, u32) = (1, 2);
/// An id is remembered for so long after it was given, in milliseconds: longer than anybody goes on asking.
pub const REMEMBERED: u64 = 15 * 60 * 1000;
/// A drain is remembered for so long after its grace: proxies and planners may have been away.
const DRAINED: u64 = 60 * 60 * 1000;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The number is the place in the log, or for a number taken that number.
    Kept(u64),
    Refused(String),
    Unknown,
}

#[derive(Clone, PartialEq, Message)]
pub struct Standing {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    #[prost(message, optional, tag = "2")]
    pub order: Option<Order>,
    #[prost(uint64, tag = "3")]
    pub given: u64,
}

/// As it goes into a snapshot. Maps are kept in order, so that the same state is the same bytes.
#[derive(Clone, PartialEq, Message)]
struct Image {
    #[prost(message, repeated, tag = "1")]
    orders: Vec<Standing>,
    #[prost(btree_map = "fixed64, message", tag = "2")]
    ids: BTreeMap<u64, Past>,
    #[prost(uint64, tag = "3")]
    number: u64,
    #[prost(btree_map = "string, message", tag = "4")]
    drains: BTreeMap<String, Drain>,
    #[prost(uint64, tag = "5")]
    horizon: u64,
    /// 0: 1.
    #[prost(uint32, tag = "6")]
    format: u32,
    #[prost(message, repeated, tag = "7")]
    own: Vec<Own>,
}

#[derive(Clone, PartialEq, Message)]
struct Own {
    #[prost(fixed64, tag = "1")]
    id: u64,
    #[prost(message, required, tag = "2")]
    past: Past,
}

/// An id's answer; empty `why`: kept.
#[derive(Clone, PartialEq, Message)]
struct Past {
    #[prost(uint64, tag = "1")]
    number: u64,
    #[prost(string, tag = "2")]
    why: String,
    #[prost(uint64, tag = "3")]
    given: u64,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Record {
    orders: BTreeMap<Subject, Standing>,
    ids: BTreeMap<u64, Past>,
    number: u64,
    drains: BTreeMap<String, Drain>,
    /// Ids given before are forgotten.
    horizon: u64,
    format: u32,
    /// Planners' own commands, in their order.
    own: VecDeque<u64>,
    own_ids: BTreeMap<u64, Past>,
}

impl Record {
    /// Carries out the command at a place of the log.
    pub fn apply(&mut self, index: u64, command: &Command) -> Answer {
        if let Some(answer) = self.answered(command.id) {
            return answer;
        }
        if command.given < self.horizon {
            return Answer::Unknown;
        }
        let own = self.format >= 2 && command.what.as_ref().is_some_and(What::is_own);
        // Refused before it is remembered: it may be given again once there is room.
        if self.ids.len() >= MOST_IDS && !own && !matches!(command.what, Some(What::Clean(_))) {
            return Answer::Refused(format!("{MOST_IDS} commands are remembered, no more are taken"));
        }
        let answer = match &command.what {
            Some(What::Order(order)) => self.order(index, command.given, order),
            Some(What::TakeNumber(take)) => {
                self.number = (self.number + 1).max(take.least);
                Answer::Kept(self.number)
            }
            Some(What::Drain(drain)) => self.drain(index, drain),
            Some(What::Raise(format)) => {
                self.format = self.format().max(*format);
                return Answer::Kept(index);
            }
            Some(What::Clean(clean)) => {
                self.clean(clean.now);
                return Answer::Kept(index);
            }
            None => Answer::Refused("no command".into()),
        };
        let (number, why) = match &answer {
            Answer::Kept(number) => (*number, String::new()),
            Answer::Refused(why) => (0, why.clone()),
            Answer::Unknown => return answer,
        };
        let past = Past { number, why, given: command.given };
        if own {
            self.own.push_back(command.id);
            self.own_ids.insert(command.id, past);
            let over = self.own.len().saturating_sub(MOST_OWN);
            for id in self.own.drain(..over) {
                self.own_ids.remove(&id);
            }
        } else {
            self.ids.insert(command.id, past);
        }
        answer
    }

    fn order(&mut self, index: u64, given: u64, order: &Order) -> Answer {
        let Some(wish) = &order.wish else { return Answer::Refused("no order is given".into()) };
        let (subject, stays) = wish.subject();
        if !stays {
            self.orders.remove(&subject);
        } else if self.orders.len() >= MOST_ORDERS && !self.orders.contains_key(&subject) {
            return Answer::Refused(format!("{MOST_ORDERS} orders are in force, take one back first"));
        } else {
            self.orders.insert(subject, Standing { number: index, order: Some(order.clone()), given });
        }
        Answer::Kept(index)
    }

    fn drain(&mut self, index: u64, drain: &Drain) -> Answer {
        match self.drains.get(&drain.server) {
            Some(known) if known.started >= drain.started => return Answer::Kept(index),
            None if self.drains.len() >= MOST_DRAINS => {
                return Answer::Refused(format!("{MOST_DRAINS} drains run"));
            }
            _ => {}
        }
        self.drains.insert(drain.server.clone(), drain.clone());
        Answer::Kept(index)
    }

    fn clean(&mut self, now: u64) {
        self.orders.retain(|_, standing| {
            standing.order.as_ref().is_some_and(|order| order.until == 0 || order.until > now)
        });
        self.drains.retain(|_, drain| drain.told + drain.grace + DRAINED > now);
        self.horizon = self.horizon.max(now.saturating_sub(REMEMBERED));
        let horizon = self.horizon;
        self.ids.retain(|_, past| past.given >= horizon);
    }

    /// Whether a clean at this moment would end anything.
    pub fn has_run_out(&self, now: u64) -> bool {
        let ended = |s: &Standing| s.order.as_ref().is_some_and(|o| o.until > 0 && o.until <= now);
        self.orders.values().any(ended)
            || self.horizon + 2 * REMEMBERED < now && !self.ids.is_empty()
            || self.ids.len() > MOST_IDS / 2 && self.horizon + REMEMBERED + 1_000 < now
    }

    /// The orders in force, by subject.
    pub fn orders(&self) -> impl Iterator<Item = (&Subject, &Standing)> + '_ {
        self.orders.iter()
    }

    pub fn order_on(&self, subject: &Subject) -> Option<&Standing> {
        self.orders.get(subject)
    }

    /// Whether a drain of this start of the server, or of a later one, is kept.
    pub fn drained(&self, server: &str, started: u64) -> bool {
        self.drains.get(server).is_some_and(|drain| drain.started >= started)
    }

    pub fn drain_of(&self, server: &str) -> Option<&Drain> {
        self.drains.get(server)
    }

    pub fn drains(&self) -> impl Iterator<Item = &Drain> + '_ {
        self.drains.values()
    }

    /// The format in which commands are carried out.
    pub fn format(&self) -> u32 {
        self.format.max(FORMATS.0)
    }

    /// The highest number that was taken.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// The answer that an id had, if it is remembered.
    pub fn answered(&self, id: u64) -> Option<Answer> {
        self.ids.get(&id).or_else(|| self.own_ids.get(&id)).map(Past::answer)
    }

    pub fn write(&self) -> Vec<u8> {
        let own = self.own.iter().filter_map(|id| Some(Own { id: *id, past: self.own_ids.get(id)?.clone() }));
        let image = Image {
            orders: self.orders.values().cloned().collect(),
            ids: self.ids.clone(),
            number: self.number,
            drains: self.drains.clone(),
            horizon: self.horizon,
            format: self.format,
            own: own.collect(),
        };
        image.encode_to_vec()
    }

    pub fn read(bytes: &[u8]) -> Result<Record, String> {
        let image = Image::decode(bytes).map_err(|e| format!("no image of a record: {e}"))?;
        let mut orders = BTreeMap::new();
        for standing in image.orders {
            let wish = standing.order.as_ref().and_then(|order| order.wish.as_ref());
            let (subject, _) = wish.ok_or("an order in the image wishes for nothing")?.subject();
            orders.insert(subject, standing);
        }
        let Image { ids, number, drains, horizon, format, own, .. } = image;
        if format > FORMATS.1 {
            return Err(format!("the record stands at format {format}, this build knows {}", FORMATS.1));
        }
        let ids_of_own = own.iter().map(|own| own.id).collect();
        let own_ids = own.into_iter().map(|own| (own.id, own.past)).collect();
        Ok(Record { orders, ids, number, drains, horizon, format, own: ids_of_own, own_ids })
    }
}

impl Past {
    fn answer(&self) -> Answer {
        match self.why.as_str() {
            "" => Answer::Kept(self.number),
            why => Answer::Refused(why.into()),
        }
    }
}
