//! The part of the record that a planner receives.
//!
//! | key | in scope |
//! | --- | --- |
//! | `server/NAME`, `weight/NAME`, `drain/NAME` | if that server is listed, or all servers are in scope |
//! | `route/NAME` | if that route is listed, or all routes are in scope |
//! | `zone/NAME`, `releases`, `duties` | always |

use crate::messages::{ScopeMessage, MAX_KEY_BYTES, MAX_MESSAGE_BYTES, MAX_NAME_BYTES};
use prost::Message;
use std::collections::BTreeSet;

/// Size limit of a `Hello` without its scope.
const MAX_HELLO_BYTES: usize = MAX_NAME_BYTES + MAX_KEY_BYTES + 256;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Scope {
    /// `None`: all.
    pub servers: Option<BTreeSet<String>>,
    pub routes: Option<BTreeSet<String>>,
}

impl Scope {
    pub const ALL: Scope = Scope { servers: None, routes: None };

    pub fn contains(&self, key: &str) -> bool {
        let named = |names: &Option<BTreeSet<String>>, name: &str| match names {
            Some(names) => names.contains(name),
            None => true,
        };
        match key.split_once('/') {
            Some(("server" | "weight" | "drain", name)) => named(&self.servers, name),
            Some(("route", name)) => named(&self.routes, name),
            _ => true,
        }
    }

    /// `number` identifies the scope among those of one planner.
    pub fn to_message(&self, number: u64) -> ScopeMessage {
        let names = |names: &Option<BTreeSet<String>>| names.iter().flatten().cloned().collect();
        ScopeMessage {
            all_servers: self.servers.is_none(),
            servers: names(&self.servers),
            all_routes: self.routes.is_none(),
            routes: names(&self.routes),
            number,
        }
    }

    /// Widens a scope that is too large for a message to all: receiving too much is harmless.
    pub fn or_all_if_too_large(self) -> Scope {
        let message = self.to_message(0);
        match message.check().is_ok() && message.encoded_len() + MAX_HELLO_BYTES <= MAX_MESSAGE_BYTES {
            true => self,
            false => Scope::ALL,
        }
    }
}

impl From<ScopeMessage> for Scope {
    fn from(message: ScopeMessage) -> Scope {
        let names = |all: bool, names: Vec<String>| (!all).then(|| names.into_iter().collect());
        Scope {
            servers: names(message.all_servers, message.servers),
            routes: names(message.all_routes, message.routes),
        }
    }
}
