//! What a planner wants to be told of.
//!
//! | key | in scope |
//! | --- | --- |
//! | `server/NAME`, `weight/NAME`, `drain/NAME` | that server is named, or all are |
//! | `route/NAME` | that route is named, or all are |
//! | `zone/NAME`, `releases`, `duties` | always |

use crate::words::ScopeTold;
use std::collections::BTreeSet;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Scope {
    /// None: all.
    pub servers: Option<BTreeSet<String>>,
    pub routes: Option<BTreeSet<String>>,
}

impl Scope {
    pub const ALL: Scope = Scope { servers: None, routes: None };

    pub fn holds(&self, key: &str) -> bool {
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

    pub fn told(&self) -> ScopeTold {
        let names = |names: &Option<BTreeSet<String>>| names.iter().flatten().cloned().collect();
        ScopeTold {
            all_servers: self.servers.is_none(),
            servers: names(&self.servers),
            all_routes: self.routes.is_none(),
            routes: names(&self.routes),
        }
    }
}

impl From<ScopeTold> for Scope {
    fn from(told: ScopeTold) -> Scope {
        let names = |all: bool, names: Vec<String>| (!all).then(|| names.into_iter().collect());
        Scope { servers: names(told.all_servers, told.servers), routes: names(told.all_routes, told.routes) }
    }
}
