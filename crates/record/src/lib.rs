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
//! | a duty under that number | give | held by that planner, under the place in the log as its number | `Kept`, the number |
//! | a duty under another | give, release | as it is: decided too late | `Refused` |
//! | held under that number | release | nobody's, the number stays | `Kept` |
//! | | hand | where it goes when it is free next | `Kept` |
//! | the period after the last closed, under the books' number | close | closed, not arrived | `Kept` |
//! | closed, under the books' number | arrived | arrived; again: as it is | `Kept` |
//! | under an older number | clean, close, arrived | as it is | `Refused` |
//! | in force, not taken back, under the releaser's number | step | reached so far, never less; or taken back for good | `Kept` |
//! | | lease | leases are so long from here on | `Kept` |
//! | | share | a part of a budget has another holder, by the table of `shares` | `Kept` |
//! | a part under another number | share | as it is: decided too late | `Refused` |
//! | | raise | the format of the commands that follow, never a lower one | `Kept` |
//! | | clean | what ran out is gone, the horizon rises, never falls | `Kept` |
#![forbid(unsafe_code)]

mod commands;

pub use commands::{
    Cap, Claim, Clean, Close, Command, Drain, Give, Hand, Moved, Order, Release, Share, Shifts, Step,
    Subject, TakeNumber, Used, Weight, What, Wish, MOST_NAME, MOST_USED, MOST_WHY,
};

use pewtergap_shares::{Budget, Holding};
use prost::Message;
use std::collections::{BTreeMap, VecDeque};

/// Orders in force, drains that run, and ids that are remembered.
pub const MOST_ORDERS: usize = 10_000;
pub const MOST_DRAINS: usize = 100_000;
pub const MOST_IDS: usize = 100_000;
/// Of planners' own commands the last so many are remembered: given again after that, a drain changes nothing and a
/// number is one more. In format 1 they took the places of operators' orders, and more than 111 a second filled them.
pub const MOST_OWN: usize = 4_096;
/// Duties that are known; more get no holder.
pub const MOST_DUTIES: usize = 1_024;
/// Duties that the record itself is touched by.
pub const CLEANING: &str = "cleaning";
pub const BOOKS: &str = "books";
pub const RELEASE: &str = "release";
/// Formats of commands that this build can carry out. Format 4 has no command of its own: it says that everybody who
/// belongs knows observers.
pub const FORMATS: (u32, u32) = (1, 4);
/// From this format on there may be observers; a build that knows none would give them votes.
pub const OBSERVERS: u32 = 4;
/// Budgets that are parted.
pub const MOST_BUDGETS: usize = 16;
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
    /// Of an order in steps: thousandths that are reached, and why it was taken back.
    #[prost(uint32, tag = "4")]
    pub reached: u32,
    #[prost(string, tag = "5")]
    pub back: String,
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
    #[prost(btree_map = "string, message", tag = "8")]
    duties: BTreeMap<String, Duty>,
    #[prost(message, optional, tag = "9")]
    books: Option<Books>,
    /// What the closed period says, fixed when it was closed.
    #[prost(string, tag = "10")]
    extract: String,
    #[prost(uint64, tag = "11")]
    lease: u64,
    #[prost(btree_map = "string, message", tag = "12")]
    budgets: BTreeMap<String, Parted>,
}

/// A budget as it goes into a snapshot.
#[derive(Clone, PartialEq, Message)]
struct Parted {
    #[prost(uint64, tag = "1")]
    free: u64,
    #[prost(uint64, tag = "2")]
    base: u64,
    #[prost(uint64, tag = "3")]
    kept_for: u64,
    #[prost(btree_map = "fixed64, message", tag = "4")]
    holdings: BTreeMap<u64, Held>,
}

#[derive(Clone, PartialEq, Message)]
struct Held {
    #[prost(uint64, tag = "1")]
    base: u64,
    #[prost(uint64, tag = "2")]
    more: u64,
    #[prost(uint64, tag = "3")]
    number: u64,
    #[prost(uint64, tag = "4")]
    start: u64,
}

impl Parted {
    fn of(budget: &Budget) -> Parted {
        let held = |h: &Holding| Held { base: h.base, more: h.more, number: h.number, start: h.start };
        let holdings = budget.holdings.iter().map(|(id, holding)| (*id, held(holding))).collect();
        Parted { free: budget.free, base: budget.base, kept_for: budget.kept_for, holdings }
    }

    fn budget(&self) -> Budget {
        let holding = |h: &Held| Holding { base: h.base, more: h.more, number: h.number, start: h.start };
        let holdings = self.holdings.iter().map(|(id, held)| (*id, holding(held))).collect();
        Budget { free: self.free, base: self.base, kept_for: self.kept_for, holdings }
    }
}

/// A duty; holder 0: nobody's. The number only rises.
#[derive(Clone, PartialEq, Message)]
pub struct Duty {
    #[prost(fixed64, tag = "1")]
    pub holder: u64,
    #[prost(string, tag = "2")]
    pub name: String,
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// Where an operator wants it.
    #[prost(string, tag = "4")]
    pub wanted: String,
    /// When it was given or handed on, by the calendar of whoever said so.
    #[prost(uint64, tag = "5")]
    pub since: u64,
}

/// The books: the last period that was closed, at which place of the log, and the last that arrived.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Books {
    #[prost(uint64, tag = "1")]
    pub closed: u64,
    #[prost(uint64, tag = "2")]
    pub at: u64,
    #[prost(uint64, tag = "3")]
    pub arrived: u64,
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
    duties: BTreeMap<String, Duty>,
    books: Books,
    extract: String,
    lease: u64,
    budgets: BTreeMap<String, Budget>,
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
            Some(What::Give(give)) => self.give(index, command.given, give),
            Some(What::Release(release)) => self.release(index, command.given, release),
            Some(What::Hand(hand)) => self.hand(index, hand),
            Some(What::Close(close)) => self.close(index, close),
            Some(What::Arrived(close)) => self.arrived(index, close),
            Some(What::Lease(length)) => {
                self.lease = *length;
                Answer::Kept(index)
            }
            Some(What::Step(step)) => self.step(index, step),
            Some(What::Share(share)) => self.share(index, share),
            Some(What::Clean(clean)) => {
                if let Err(why) = self.fenced(CLEANING, clean.number) {
                    return Answer::Refused(why);
                }
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
        if order.by_proxies && self.format() < 3 {
            return Answer::Refused("not everybody knows steps by proxies yet".into());
        }
        if !stays {
            self.orders.remove(&subject);
        } else if self.orders.len() >= MOST_ORDERS && !self.orders.contains_key(&subject) {
            return Answer::Refused(format!("{MOST_ORDERS} orders are in force, take one back first"));
        } else {
            self.orders.insert(
                subject,
                Standing { number: index, order: Some(order.clone()), given, ..Standing::default() },
            );
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

    /// What is done under a number that is not the duty's any more is refused. Without the duty there is none.
    fn fenced(&self, duty: &str, number: u64) -> Result<(), String> {
        match self.duties.get(duty).map_or(0, |duty| duty.number) {
            known if known == number => Ok(()),
            known => Err(format!("{duty} is done under number {known} by now, not {number}")),
        }
    }

    fn give(&mut self, index: u64, given: u64, give: &Give) -> Answer {
        if let Err(why) = self.fenced(&give.duty, give.number) {
            return Answer::Refused(why);
        }
        if !self.duties.contains_key(&give.duty) && self.duties.len() >= MOST_DUTIES {
            return Answer::Refused(format!("{MOST_DUTIES} duties are known"));
        }
        let duty = self.duties.entry(give.duty.clone()).or_default();
        (duty.holder, duty.name, duty.number, duty.since) = (give.to, give.name.clone(), index, given);
        Answer::Kept(index)
    }

    fn release(&mut self, index: u64, given: u64, release: &Release) -> Answer {
        if let Err(why) = self.fenced(&release.duty, release.number) {
            return Answer::Refused(why);
        }
        if let Some(duty) = self.duties.get_mut(&release.duty) {
            (duty.holder, duty.since) = (0, given);
        }
        Answer::Kept(index)
    }

    fn hand(&mut self, index: u64, hand: &Hand) -> Answer {
        match self.duties.get_mut(&hand.duty) {
            Some(duty) => duty.wanted = hand.to.clone(),
            None => return Answer::Refused(format!("there is no duty '{}'", hand.duty)),
        }
        Answer::Kept(index)
    }

    fn share(&mut self, index: u64, share: &Share) -> Answer {
        let Some(shift) = share.shift() else { return Answer::Refused("nothing is shared out".into()) };
        if !self.budgets.contains_key(&share.budget) && self.budgets.len() >= MOST_BUDGETS {
            return Answer::Refused(format!("{MOST_BUDGETS} budgets are parted"));
        }
        let budget = self.budgets.entry(share.budget.clone()).or_default();
        budget.shift(index, &shift).map_or_else(Answer::Refused, |()| Answer::Kept(index))
    }

    /// Only up, or back to nothing for good.
    fn step(&mut self, index: u64, step: &Step) -> Answer {
        if let Err(why) = self.fenced(RELEASE, step.number) {
            return Answer::Refused(why);
        }
        match self.orders.values_mut().find(|standing| standing.number == step.order) {
            None => Answer::Refused(format!("order {} is not in force", step.order)),
            Some(order) if !order.back.is_empty() => Answer::Refused("it was taken back".into()),
            Some(order) if !step.why.is_empty() => {
                (order.reached, order.back) = (0, step.why.clone());
                Answer::Kept(index)
            }
            Some(order) => {
                order.reached = order.reached.max(step.reached.min(1_000));
                Answer::Kept(index)
            }
        }
    }

    /// Closed only when the last one arrived: what it says is kept until then, so whoever sends it sends the same.
    fn close(&mut self, index: u64, close: &Close) -> Answer {
        if let Err(why) = self.fenced(BOOKS, close.number) {
            return Answer::Refused(why);
        }
        match self.books {
            books if close.period <= books.closed => Answer::Kept(index),
            books if books.arrived < books.closed => {
                Answer::Refused(format!("period {} has not arrived", books.closed))
            }
            books => {
                self.books = Books { closed: close.period, at: index, ..books };
                self.extract = self.extract_now(close, index);
                Answer::Kept(index)
            }
        }
    }

    fn arrived(&mut self, index: u64, close: &Close) -> Answer {
        if let Err(why) = self.fenced(BOOKS, close.number) {
            return Answer::Refused(why);
        }
        if close.period > self.books.closed {
            return Answer::Refused(format!("period {} is not closed", close.period));
        }
        self.books.arrived = self.books.arrived.max(close.period);
        Answer::Kept(index)
    }

    /// What the record holds, as the receiver gets it: the same bytes from whoever sends it.
    fn extract_now(&self, close: &Close, index: u64) -> String {
        let orders: Vec<serde_json::Value> = self
            .orders
            .values()
            .filter_map(|standing| {
                let order = standing.order.as_ref()?;
                Some(serde_json::json!({ "number": standing.number, "order": order.wish.as_ref()?.words(),
                    "who": order.who, "why": order.why, "until": order.until, "given": standing.given, "reached": standing.reached, "back": standing.back }))
            })
            .collect();
        let drains: Vec<serde_json::Value> = self
            .drains
            .values()
            .map(|d| serde_json::json!({ "server": d.server, "started": d.started, "told": d.told, "grace": d.grace }))
            .collect();
        let mut extract = serde_json::json!({ "period": close.period, "index": index, "number": self.number,
            "orders": orders, "drains": drains });
        if self.format() >= 3 {
            let used = close.used.iter().map(|u| {
                serde_json::json!({ "planner": u.planner, "disk": format!("{:016x}", u.disk), "start": u.start,
                    "route": u.route, "zone": u.zone, "calls": u.calls, "age_ms": u.age_ms })
            });
            extract["used"] = used.collect();
        }
        extract.to_string()
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

    /// What a command may change, before it is carried out; too much is not wrong.
    pub fn touched(&self, command: &Command) -> Vec<Subject> {
        match &command.what {
            Some(What::Clean(clean)) => {
                let over =
                    |s: &Standing| s.order.as_ref().is_none_or(|o| o.until > 0 && o.until <= clean.now);
                let orders = self.orders.iter().filter(|(_, standing)| over(standing));
                let drains = self.drains.values().filter(|d| d.told + d.grace + DRAINED <= clean.now);
                let drains = drains.map(|drain| Subject::Server(drain.server.clone()));
                orders.map(|(subject, _)| subject.clone()).chain(drains).collect()
            }
            Some(What::Step(step)) => {
                let stepped = self.orders.iter().find(|(_, standing)| standing.number == step.order);
                stepped.map(|(subject, _)| subject.clone()).into_iter().collect()
            }
            _ => command.subject().into_iter().collect(),
        }
    }

    /// Whether a clean at this moment would end anything.
    pub fn has_run_out(&self, now: u64) -> bool {
        let ended = |s: &Standing| s.order.as_ref().is_some_and(|o| o.until > 0 && o.until <= now);
        self.orders.values().any(ended)
            || self.horizon + 2 * REMEMBERED < now && !self.ids.is_empty()
            || self.ids.len() > MOST_IDS / 2 && self.horizon + REMEMBERED + 1_000 < now
    }

    /// The orders in force, by subject.
    pub fn orders(&self) -> impl DoubleEndedIterator<Item = (&Subject, &Standing)> + '_ {
        self.orders.iter()
    }

    /// For whoever carries out no commands and is told by others what stands on a subject, or of which start of a server a
    /// drain runs. None: nothing.
    pub fn set(&mut self, subject: Subject, standing: Option<Standing>) {
        match standing {
            Some(standing) => drop(self.orders.insert(subject, standing)),
            None => drop(self.orders.remove(&subject)),
        }
    }

    pub fn set_drain(&mut self, server: &str, drain: Option<Drain>) {
        match drain {
            Some(drain) => drop(self.drains.insert(server.into(), drain)),
            None => drop(self.drains.remove(server)),
        }
    }

    pub fn duties(&self) -> &BTreeMap<String, Duty> {
        &self.duties
    }

    pub fn budget(&self, name: &str) -> Option<&Budget> {
        self.budgets.get(name)
    }

    /// Duties that an operator wants at a planner that does not belong any more.
    pub fn wanted_at_none(&self, belongs: impl Fn(&str) -> bool) -> Vec<String> {
        let lost = |duty: &&Duty| !duty.wanted.is_empty() && !belongs(&duty.wanted);
        let lost = self.duties.iter().filter(|(_, duty)| lost(duty));
        lost.map(|(name, _)| name.clone()).collect()
    }

    /// How long leases are, in milliseconds; 0: nobody has said so.
    pub fn lease(&self) -> u64 {
        self.lease
    }

    /// The books, and what the last closed period says.
    pub fn books(&self) -> (Books, &str) {
        (self.books, &self.extract)
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
            duties: self.duties.clone(),
            books: Some(self.books),
            extract: self.extract.clone(),
            lease: self.lease,
            budgets: self.budgets.iter().map(|(name, budget)| (name.clone(), Parted::of(budget))).collect(),
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
        let books = image.books.unwrap_or_default();
        let Image { ids, number, drains, horizon, format, own, duties, extract, lease, budgets, .. } = image;
        if format > FORMATS.1 {
            return Err(format!("the record stands at format {format}, this build knows {}", FORMATS.1));
        }
        let ids_of_own = own.iter().map(|own| own.id).collect();
        let own_ids = own.into_iter().map(|own| (own.id, own.past)).collect();
        Ok(Record {
            orders,
            ids,
            number,
            drains,
            horizon,
            format,
            own: ids_of_own,
            own_ids,
            duties,
            books,
            extract,
            lease,
            budgets: budgets.iter().map(|(name, parted)| (name.clone(), parted.budget())).collect(),
        })
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
