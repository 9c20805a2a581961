//! Following the list: ask for all of it, then watch from there, over HTTP.
//!
//! What may go wrong is a row of the table below. A list older than what was held is doubted: a store that was
//! set back once showed drained servers as ready again. It is asked anew, and believed when it stays.

use crate::endpoints::{parse_version, Slice, SliceList, WatchEvent};
use pewtergap_http::{request, Head, Limits, Part, Reader, Side};
use pewtergap_time::{Moment, Span};
use std::net::SocketAddr;

/// Where the list comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListSource {
    /// The discovery API at an address, under a path.
    Watch { address: SocketAddr, path: String },
    /// A file of the same objects: one `EndpointSliceList`, or a slice a line.
    File { name: String },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Not connected; a timer is set.
    Waiting,
    Dialing,
    Listing,
    Watching,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    Due,
    Opened,
    /// A complete list that is as new as what is held, or newer.
    Newer,
    Older,
    /// One change.
    Changed,
    /// A place in time to go on from.
    Bookmark,
    /// The place to go on from is too old.
    TooOld,
    /// The connection, or what came over it, cannot be used.
    Broken,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Dial,
    /// Ask for what is missing: all, or what changed since the place that is held.
    Ask,
    /// Take the complete list and watch from there.
    TakeAll,
    TakeOne,
    Advance,
    /// Forget the place; ask for all over a new connection.
    Restart,
    BackOff,
    Doubt,
}

use Effect::*;
use Sign::*;
use State::{Dialing, Listing, Waiting, Watching};

/// A pair that is not listed changes nothing.
const STEPS: &[(&[State], Sign, State, Effect)] = &[
    (&[Waiting], Due, Dialing, Dial),
    (&[Dialing], Opened, Listing, Ask),
    (&[Listing], Newer, Watching, TakeAll),
    (&[Listing], Older, Waiting, Doubt),
    (&[Watching], Changed, Watching, TakeOne),
    (&[Watching], Bookmark, Watching, Advance),
    (&[Listing, Watching], TooOld, Waiting, Restart),
    (&[Dialing, Listing, Watching], Broken, Waiting, BackOff),
];

/// The first wait after a failure, and the longest.
const WAITS: (Span, Span) = (Span::millis(100), Span::millis(2_000));
/// Lists in a row that were older than what was held, until one is believed.
const DOUBTS: u32 = 5;
const MOST_LIST: u64 = 64 * 1024 * 1024;
const MOST_LINE: usize = 4 * 1024 * 1024;

/// What the service does about the list.
#[derive(Debug)]
pub enum Action {
    Dial(SocketAddr),
    Send(Vec<u8>),
    /// Close the connection; a wait follows.
    Hangup {
        until: Moment,
    },
    All(Vec<Slice>),
    Put(Slice),
    Delete(String),
    /// For the log: what happened and why.
    Note(&'static str, String),
}

pub struct ListWatch {
    at: SocketAddr,
    path: String,
    state: State,
    reader: Reader,
    /// Body of a complete list, or the part of a watch's line that has come.
    body: Vec<u8>,
    status: u16,
    /// Where to go on from; empty when all must be asked for.
    place: String,
    /// The highest version ever held.
    highest: u64,
    doubts: u32,
    wait: Span,
    pub failures: u64,
}

impl ListWatch {
    pub fn new(at: SocketAddr, path: String, highest: u64) -> ListWatch {
        ListWatch {
            at,
            path,
            state: Waiting,
            reader: reader(),
            body: Vec::new(),
            status: 0,
            place: String::new(),
            highest,
            doubts: 0,
            wait: WAITS.0,
            failures: 0,
        }
    }

    pub fn highest(&self) -> u64 {
        self.highest
    }

    pub fn due(&mut self, now: Moment) -> Vec<Action> {
        self.step(now, Due, String::new(), Vec::new())
    }

    pub fn opened(&mut self, now: Moment) -> Vec<Action> {
        self.step(now, Opened, String::new(), Vec::new())
    }

    pub fn closed(&mut self, now: Moment, why: String) -> Vec<Action> {
        self.step(now, Broken, why, Vec::new())
    }

    pub fn bytes(&mut self, now: Moment, bytes: &[u8]) -> Vec<Action> {
        let mut told = Vec::new();
        self.reader.push(bytes);
        while matches!(self.state, Listing | Watching) {
            let (sign, why) = match self.reader.next_part() {
                Ok(None) => return told,
                Err(wrong) => (Some(Broken), wrong.to_string()),
                Ok(Some(part)) => self.part(now, part, &mut told),
            };
            if let Some(sign) = sign {
                told.extend(self.step(now, sign, why, Vec::new()));
            }
        }
        told
    }

    fn part(&mut self, now: Moment, part: Part, told: &mut Vec<Action>) -> (Option<Sign>, String) {
        match part {
            Part::Head(head) => self.head(&head),
            Part::Data(data) => {
                self.body.extend_from_slice(&data);
                if self.place.is_empty() || self.status != 200 {
                    let long = self.body.len() as u64 > MOST_LIST;
                    return (long.then_some(Broken), format!("a list of more than {MOST_LIST} bytes"));
                }
                self.lines(now, told)
            }
            Part::End if self.place.is_empty() => self.list(now, told),
            Part::End if self.body.is_empty() => (Some(Broken), "the watch ended".into()),
            Part::End => (Some(Broken), "the watch ended within a line".into()),
        }
    }

    fn head(&mut self, head: &Head) -> (Option<Sign>, String) {
        self.body.clear();
        self.status = head.status();
        match self.status {
            200 => (None, String::new()),
            410 => (Some(TooOld), "410 as the answer".into()),
            other => (Some(Broken), format!("status {other}")),
        }
    }

    fn list(&mut self, now: Moment, told: &mut Vec<Action>) -> (Option<Sign>, String) {
        let list: SliceList = match serde_json::from_slice(&self.body) {
            Ok(list) => list,
            Err(e) => return (Some(Broken), format!("the list is not an EndpointSliceList: {e}")),
        };
        self.body = Vec::new();
        let came = parse_version(&list.metadata.resource_version);
        if came < self.highest && self.doubts < DOUBTS {
            return (Some(Older), format!("version {came} after {}", self.highest));
        }
        self.highest = if came == u64::MAX { self.highest } else { came };
        self.place = match list.metadata.resource_version.as_str() {
            "" => "0".into(),
            text => text.into(),
        };
        told.extend(self.step(now, Newer, String::new(), list.items.unwrap_or_default()));
        (None, String::new())
    }

    fn lines(&mut self, now: Moment, told: &mut Vec<Action>) -> (Option<Sign>, String) {
        while let Some(end) = self.body.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = self.body.drain(..=end).collect();
            if line.trim_ascii().is_empty() {
                continue;
            }
            let line: WatchEvent = match serde_json::from_slice(&line) {
                Ok(line) => line,
                Err(e) => return (Some(Broken), format!("a line of the watch is not an event: {e}")),
            };
            if line.kind == "ERROR" {
                let code = line.object.get("code").and_then(serde_json::Value::as_u64).unwrap_or(0);
                let sign = if code == 410 { TooOld } else { Broken };
                return (Some(sign), format!("an ERROR event with code {code}"));
            }
            let slice: Slice = match serde_json::from_value(line.object) {
                Ok(slice) => slice,
                Err(e) => return (Some(Broken), format!("{} of something that is no slice: {e}", line.kind)),
            };
            let came = parse_version(&slice.metadata.resource_version);
            if came != u64::MAX {
                self.highest = self.highest.max(came);
                self.place = self.highest.to_string();
            } else if !slice.metadata.resource_version.is_empty() {
                self.place = slice.metadata.resource_version.clone();
            }
            match line.kind.as_str() {
                "ADDED" | "MODIFIED" => told.extend(self.step(now, Changed, String::new(), vec![slice])),
                "DELETED" => told.push(Action::Delete(slice.metadata.name)),
                "BOOKMARK" => told.extend(self.step(now, Bookmark, String::new(), Vec::new())),
                other => return (Some(Broken), format!("an event of kind '{other}'")),
            }
        }
        if self.body.len() > MOST_LINE {
            return (Some(Broken), format!("a line of the watch is longer than {MOST_LINE} bytes"));
        }
        (None, String::new())
    }

    fn step(&mut self, now: Moment, sign: Sign, why: String, mut slices: Vec<Slice>) -> Vec<Action> {
        let row = STEPS.iter().find(|row| row.0.contains(&self.state) && row.1 == sign);
        let Some((_, _, next, effect)) = row else { return Vec::new() };
        self.state = *next;
        match effect {
            Dial => {
                self.reader = reader();
                self.body.clear();
                vec![Action::Dial(self.at)]
            }
            Ask => {
                self.state = if self.place.is_empty() { Listing } else { Watching };
                vec![Action::Send(self.asked())]
            }
            TakeAll => {
                (self.doubts, self.wait) = (0, WAITS.0);
                vec![Action::All(slices), Action::Send(self.asked())]
            }
            TakeOne => {
                self.wait = WAITS.0;
                slices.pop().into_iter().map(Action::Put).collect()
            }
            Advance => Vec::new(),
            Restart => {
                self.place.clear();
                vec![Action::Note("list_place_too_old", why), Action::Hangup { until: now + WAITS.0 }]
            }
            Doubt => {
                self.doubts += 1;
                vec![Action::Note("list_went_back", why), Action::Hangup { until: now + self.back_off() }]
            }
            BackOff => {
                self.failures += 1;
                vec![Action::Note("list_broken", why), Action::Hangup { until: now + self.back_off() }]
            }
        }
    }

    fn back_off(&mut self) -> Span {
        let wait = self.wait;
        self.wait = self.wait.times(2.0).min(WAITS.1);
        wait
    }

    fn asked(&self) -> Vec<u8> {
        let target = if self.place.is_empty() {
            self.path.clone()
        } else {
            format!("{}?watch=1&allowWatchBookmarks=true&resourceVersion={}", self.path, self.place)
        };
        let host = self.at.to_string();
        request("GET", &target, &[("host", &host), ("accept", "application/json")], None)
    }
}

fn reader() -> Reader {
    // A watch may run for months: what bounds it is a line's length, a list's is checked where it is kept.
    Reader::new(Side::Responses, Limits { head: 16 * 1024, body: u64::MAX })
}
