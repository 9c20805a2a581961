//! Writes files and syncs them, on a thread of its own, in the order they were asked for.
//!
//! What waits for the same file is written in one go and synced once: while the disk is busy, more comes together.
//! Bounded by what waits; beyond it a write is refused, and whoever asked for it goes by that.

use crate::{sockets, Handle, NodeId, Told};
use std::fs::OpenOptions;
use std::io::{self, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};

const MOST_WAITING: usize = 4096;

/// At a place of the file, or in place of the file.
pub struct Job {
    pub name: String,
    pub at: Option<u64>,
    pub bytes: Vec<u8>,
}

pub struct Disk {
    jobs: SyncSender<(NodeId, u64, Job)>,
}

impl Disk {
    pub fn new(dir: PathBuf, handle: Handle) -> Disk {
        let (jobs, waiting) = sync_channel(MOST_WAITING);
        std::thread::spawn(move || work(&dir, &waiting, &handle));
        Disk { jobs }
    }

    pub fn write(&self, place: NodeId, ticket: u64, job: Job) -> Result<(), String> {
        self.jobs.try_send((place, ticket, job)).map_err(|e| match e {
            TrySendError::Full(_) => format!("{MOST_WAITING} writes wait for the disk"),
            TrySendError::Disconnected(_) => "the disk's thread has ended".to_string(),
        })
    }
}

fn work(dir: &Path, waiting: &Receiver<(NodeId, u64, Job)>, handle: &Handle) {
    let mut next = waiting.recv().ok();
    while let Some(first) = next.take() {
        let mut together = vec![first];
        // More of the same file, as long as it goes on where the last ended.
        while let Ok(more) = waiting.try_recv() {
            let last = &together[together.len() - 1].2;
            let goes_on = last.at.map(|at| at + last.bytes.len() as u64);
            if more.2.name == together[0].2.name && more.2.at.is_some() && more.2.at == goes_on {
                together.push(more);
            } else {
                next = Some(more);
                break;
            }
        }
        let done = write(dir, &together).map_err(|e| e.to_string());
        for (place, ticket, _) in together {
            if handle.words.send(Told::Synced(place, ticket, done.clone())).is_err() {
                return;
            }
        }
        let _ = handle.waker.wake();
        if next.is_none() {
            next = waiting.recv().ok();
        }
    }
}

fn write(dir: &Path, together: &[(NodeId, u64, Job)]) -> io::Result<()> {
    let first = &together[0].2;
    let path = dir.join(&first.name);
    let Some(at) = first.at else { return sockets::write_atomically(&path, &first.bytes) };
    let mut file = OpenOptions::new().write(true).open(&path)?;
    file.set_len(at)?;
    file.seek(SeekFrom::Start(at))?;
    for (_, _, job) in together {
        file.write_all(&job.bytes)?;
    }
    file.sync_data()
}
