//! How stand-ins tell the director what it waits for, and the recording what never passes a socket.

use crate::record::{Kind, Row};
use pewtergap_time::Moment;
use std::net::SocketAddr;
use std::sync::mpsc::Sender;

#[derive(Clone, Debug, PartialEq)]
pub enum Rung {
    /// A party listens here.
    Listens(String, SocketAddr),
    /// Something could not be opened.
    Failed(String),
    /// A proxy answered a message of its planner for the first time since it joined.
    Bound(String),
    /// A measured proxy answered a message.
    Acked(String, Moment),
    /// For the recording.
    Row(Row),
}

#[derive(Clone)]
pub struct Bell(pub Sender<Rung>);

impl Bell {
    /// The director may be gone by the time somebody rings; nothing depends on it then.
    pub fn ring(&self, rung: Rung) {
        let _ = self.0.send(rung);
    }

    pub fn listens(&self, name: &str, at: SocketAddr) {
        self.ring(Rung::Listens(name.into(), at));
    }

    pub fn capacity(&self, now: Moment, server: &str, rate: f64, started: Moment) {
        let row = Row { x: rate, m: started.0 as i64, ..Row::new(now.0, Kind::Capacity, server, "") };
        self.ring(Rung::Row(row));
    }
}
