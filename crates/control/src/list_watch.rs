//! Follows the server list over HTTP: requests the whole list, then watches for changes from its version.
//!
//! The table below covers all failures. A list older than the one held is not accepted at first, since a store that
//! was rolled back once showed drained servers as ready again. It is requested again, and accepted if it stays.

use crate::endpoints::{parse_version, Slice, SliceList, WatchEvent};
use pewtergap_http::{request, Head, Limits, Part, Reader, Side};
use pewtergap_time::{Moment, Span};
use std::net::SocketAddr;

/// Where the list comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListSource {
    /// The discovery API at an address, under a path.
    Watch { address: SocketAddr, path: String },
    /// A file with the same objects: one `EndpointSliceList`, or one slice per line.
    File { name: String },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Not connected; a timer is set.
    Waiting,
    Connecting,
    Listing,
    Watching,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    Due,
    Opened,
    /// A complete list that is at least as new as the one held.
    CurrentList,
    OlderList,
    /// One change.
    Changed,
    /// A version to resume from.
    Bookmark,
    /// The version to resume from has expired.
    Expired,
    /// The connection failed or its data is invalid.
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Connect,
    /// Request the whole list, or the changes since the version held.
    Request,
    /// Apply the complete list and watch from its version.
    ApplyList,
    ApplyChange,
    AdvanceVersion,
    /// Discard the version and request the whole list over a new connection.
    Restart,
    BackOff,
    /// Request the list again before it is accepted.
    Confirm,
}

use Effect::*;
use Signal::*;
use State::{Connecting, Listing, Waiting, Watching};

/// A pair of state and signal without a row has no effect.
const STEPS: &[(&[State], Signal, State, Effect)] = &[
    (&[Waiting], Due, Connecting, Connect),
    (&[Connecting], Opened, Listing, Request),
    (&[Listing], CurrentList, Watching, ApplyList),
    (&[Listing], OlderList, Waiting, Confirm),
    (&[Watching], Changed, Watching, ApplyChange),
    (&[Watching], Bookmark, Watching, AdvanceVersion),
    (&[Listing, Watching], Expired, Waiting, Restart),
    (&[Connecting, Listing, Watching], Failed, Waiting, BackOff),
];

/// Delay after a failure: the first, and the longest.
const BACK_OFF: (Span, Span) = (Span::millis(100), Span::millis(2_000));
/// Consecutive older lists that are not accepted.
const MAX_UNCONFIRMED_LISTS: u32 = 5;
const MAX_LIST_LEN: u64 = 64 * 1024 * 1024;
const MAX_LINE_LEN: usize = 4 * 1024 * 1024;

/// What the service has to do for the watch.
#[derive(Debug)]
pub enum Action {
    Connect(SocketAddr),
    Send(Vec<u8>),
    /// Close the connection and retry later.
    Disconnect {
        retry_at: Moment,
    },
    Replace(Vec<Slice>),
    Put(Slice),
    Delete(String),
    /// Log an event with its reason.
    Log(&'static str, String),
}

pub struct ListWatch {
    address: SocketAddr,
    path: String,
    state: State,
    reader: Reader,
    /// The body of a complete list, or the partial line of a watch.
    body: Vec<u8>,
    status: u16,
    /// The version to resume from; empty if the whole list must be requested.
    resume_version: String,
    /// The highest version ever held.
    highest_version: u64,
    unconfirmed_lists: u32,
    delay: Span,
    pub failures: u64,
}

impl ListWatch {
    pub fn new(address: SocketAddr, path: String, highest_version: u64) -> ListWatch {
        ListWatch {
            address,
            path,
            state: Waiting,
            reader: reader(),
            body: Vec::new(),
            status: 0,
            resume_version: String::new(),
            highest_version,
            unconfirmed_lists: 0,
            delay: BACK_OFF.0,
            failures: 0,
        }
    }

    pub fn highest_version(&self) -> u64 {
        self.highest_version
    }

    pub fn due(&mut self, now: Moment) -> Vec<Action> {
        self.step(now, Due, String::new(), Vec::new())
    }

    pub fn opened(&mut self, now: Moment) -> Vec<Action> {
        self.step(now, Opened, String::new(), Vec::new())
    }

    pub fn closed(&mut self, now: Moment, why: String) -> Vec<Action> {
        self.step(now, Failed, why, Vec::new())
    }

    pub fn receive(&mut self, now: Moment, bytes: &[u8]) -> Vec<Action> {
        let mut actions = Vec::new();
        self.reader.push(bytes);
        while matches!(self.state, Listing | Watching) {
            let (signal, why) = match self.reader.next_part() {
                Ok(None) => return actions,
                Err(error) => (Some(Failed), error.to_string()),
                Ok(Some(part)) => self.part(now, part, &mut actions),
            };
            if let Some(signal) = signal {
                actions.extend(self.step(now, signal, why, Vec::new()));
            }
        }
        actions
    }

    fn part(&mut self, now: Moment, part: Part, actions: &mut Vec<Action>) -> (Option<Signal>, String) {
        match part {
            Part::Head(head) => self.head(&head),
            Part::Data(data) => {
                self.body.extend_from_slice(&data);
                if self.resume_version.is_empty() || self.status != 200 {
                    let too_long = self.body.len() as u64 > MAX_LIST_LEN;
                    return (too_long.then_some(Failed), format!("a list of more than {MAX_LIST_LEN} bytes"));
                }
                self.watch_lines(now, actions)
            }
            Part::End if self.resume_version.is_empty() => self.complete_list(now, actions),
            Part::End if self.body.is_empty() => (Some(Failed), "the watch ended".into()),
            Part::End => (Some(Failed), "the watch ended within a line".into()),
        }
    }

    fn head(&mut self, head: &Head) -> (Option<Signal>, String) {
        self.body.clear();
        self.status = head.status();
        match self.status {
            200 => (None, String::new()),
            410 => (Some(Expired), "status 410".into()),
            other => (Some(Failed), format!("status {other}")),
        }
    }

    fn complete_list(&mut self, now: Moment, actions: &mut Vec<Action>) -> (Option<Signal>, String) {
        let list: SliceList = match serde_json::from_slice(&self.body) {
            Ok(list) => list,
            Err(e) => return (Some(Failed), format!("the list is not an EndpointSliceList: {e}")),
        };
        self.body = Vec::new();
        let version = parse_version(&list.metadata.resource_version);
        if version < self.highest_version && self.unconfirmed_lists < MAX_UNCONFIRMED_LISTS {
            return (Some(OlderList), format!("version {version} after {}", self.highest_version));
        }
        self.highest_version = if version == u64::MAX { self.highest_version } else { version };
        self.resume_version = match list.metadata.resource_version.as_str() {
            "" => "0".into(),
            text => text.into(),
        };
        actions.extend(self.step(now, CurrentList, String::new(), list.items.unwrap_or_default()));
        (None, String::new())
    }

    fn watch_lines(&mut self, now: Moment, actions: &mut Vec<Action>) -> (Option<Signal>, String) {
        while let Some(end) = self.body.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = self.body.drain(..=end).collect();
            if line.trim_ascii().is_empty() {
                continue;
            }
            let event: WatchEvent = match serde_json::from_slice(&line) {
                Ok(event) => event,
                Err(e) => return (Some(Failed), format!("a line of the watch is not an event: {e}")),
            };
            if event.kind == "ERROR" {
                let code = event.object.get("code").and_then(serde_json::Value::as_u64).unwrap_or(0);
                let signal = if code == 410 { Expired } else { Failed };
                return (Some(signal), format!("an ERROR event with code {code}"));
            }
            let slice: Slice = match serde_json::from_value(event.object) {
                Ok(slice) => slice,
                Err(e) => {
                    return (
                        Some(Failed),
                        format!("the object of {} is not an EndpointSlice: {e}", event.kind),
                    )
                }
            };
            let version = parse_version(&slice.metadata.resource_version);
            if version != u64::MAX {
                self.highest_version = self.highest_version.max(version);
                self.resume_version = self.highest_version.to_string();
            } else if !slice.metadata.resource_version.is_empty() {
                self.resume_version = slice.metadata.resource_version.clone();
            }
            match event.kind.as_str() {
                "ADDED" | "MODIFIED" => actions.extend(self.step(now, Changed, String::new(), vec![slice])),
                "DELETED" => actions.push(Action::Delete(slice.metadata.name)),
                "BOOKMARK" => actions.extend(self.step(now, Bookmark, String::new(), Vec::new())),
                other => return (Some(Failed), format!("an event of kind '{other}'")),
            }
        }
        if self.body.len() > MAX_LINE_LEN {
            return (Some(Failed), format!("a line of the watch is longer than {MAX_LINE_LEN} bytes"));
        }
        (None, String::new())
    }

    fn step(&mut self, now: Moment, signal: Signal, why: String, mut slices: Vec<Slice>) -> Vec<Action> {
        let row = STEPS.iter().find(|row| row.0.contains(&self.state) && row.1 == signal);
        let Some((_, _, next, effect)) = row else { return Vec::new() };
        self.state = *next;
        match effect {
            Connect => {
                self.reader = reader();
                self.body.clear();
                vec![Action::Connect(self.address)]
            }
            Request => {
                self.state = if self.resume_version.is_empty() { Listing } else { Watching };
                vec![Action::Send(self.request())]
            }
            ApplyList => {
                (self.unconfirmed_lists, self.delay) = (0, BACK_OFF.0);
                vec![Action::Replace(slices), Action::Send(self.request())]
            }
            ApplyChange => {
                self.delay = BACK_OFF.0;
                slices.pop().into_iter().map(Action::Put).collect()
            }
            AdvanceVersion => Vec::new(),
            Restart => {
                self.resume_version.clear();
                vec![
                    Action::Log("list_place_too_old", why),
                    Action::Disconnect { retry_at: now + BACK_OFF.0 },
                ]
            }
            Confirm => {
                self.unconfirmed_lists += 1;
                vec![
                    Action::Log("list_went_back", why),
                    Action::Disconnect { retry_at: now + self.back_off() },
                ]
            }
            BackOff => {
                self.failures += 1;
                vec![Action::Log("list_broken", why), Action::Disconnect { retry_at: now + self.back_off() }]
            }
        }
    }

    fn back_off(&mut self) -> Span {
        let delay = self.delay;
        self.delay = self.delay.times(2.0).min(BACK_OFF.1);
        delay
    }

    fn request(&self) -> Vec<u8> {
        let target = if self.resume_version.is_empty() {
            self.path.clone()
        } else {
            format!("{}?watch=1&allowWatchBookmarks=true&resourceVersion={}", self.path, self.resume_version)
        };
        let host = self.address.to_string();
        request("GET", &target, &[("host", &host), ("accept", "application/json")], None)
    }
}

fn reader() -> Reader {
    // The body of a watch is unbounded, since it may run for months. The lengths of its lines and of lists are checked
    // where they are buffered.
    Reader::new(Side::Responses, Limits { head: 16 * 1024, body: u64::MAX })
}
