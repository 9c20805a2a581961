//! What a planner wants to be told of.
//!
//! | key | in scope |
//! | --- | --- |
//! | `server/NAME`, `weight/NAME`, `drain/NAME` | that server is named, or all are |
//! | `route/NAME` | that route is named, or all are |
//! | `zone/NAME`, `releases`, `duties` | always |

use crate::messages::{ScopeMessage, MOST_KEY, MOST_NAME, MOST_WORD};
use prost::Message;
use std::collections::BTreeSet;

/// Bytes of a hello beside its scope.
const MOST_HELLO: usize = MOST_NAME + MOST_KEY + 256;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Scope {
    /// None: all.
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

    /// As it is said, as the so manieth of a planner.
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

    /// Itself where it can be said, or all: told too much, a planner is not wrong.
    pub fn or_all_if_too_large(self) -> Scope {
        let told = self.to_message(0);
        match told.check().is_ok() && told.encoded_len() + MOST_HELLO <= MOST_WORD {
            true => self,
            false => Scope::ALL,
        }
    }
}

impl From<ScopeMessage> for Scope {
    fn from(told: ScopeMessage) -> Scope {
        let names = |all: bool, names: Vec<String>| (!all).then(|| names.into_iter().collect());
        Scope { servers: names(told.all_servers, told.servers), routes: names(told.all_routes, told.routes) }
    }
}
