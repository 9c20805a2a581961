//! How stand-ins tell the director what it waits for, and the recording what never passes a socket.

use crate::record::{Kind, Row};
use pewtergap_time::Moment;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::Arc;

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

/// Rungs that may wait for the director. It hears them all the time; if they pass this it has stopped, and the
/// stand-ins must not wait for it.
const MOST_RUNGS: usize = 200_000;

#[derive(Clone)]
pub struct Bell {
    sender: SyncSender<Rung>,
    lost: Arc<AtomicU64>,
}

impl Bell {
    pub fn new() -> (Bell, Receiver<Rung>) {
        let (sender, rungs) = sync_channel(MOST_RUNGS);
        (Bell { sender, lost: Arc::default() }, rungs)
    }

    /// Rungs that found no room: what was recorded is then not whole.
    pub fn lost(&self) -> u64 {
        self.lost.load(Ordering::Relaxed)
    }

    /// The director may be gone by the time somebody rings; nothing depends on it then.
    pub fn ring(&self, rung: Rung) {
        if let Err(std::sync::mpsc::TrySendError::Full(_)) = self.sender.try_send(rung) {
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
    }

    pub fn listens(&self, name: &str, at: SocketAddr) {
        self.ring(Rung::Listens(name.into(), at));
    }

    pub fn capacity(&self, now: Moment, server: &str, rate: f64, started: Moment) {
        let row = Row { x: rate, m: started.0 as i64, ..Row::new(now.0, Kind::Capacity, server, "") };
        self.ring(Rung::Row(row));
    }
}
