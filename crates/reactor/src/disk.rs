//! Writes and syncs files on a dedicated thread, in the order requested.
//!
//! Contiguous writes to the same file are batched and synced once; batches grow while the disk is busy.
//! The queue is bounded: when it is full, a write is rejected and reported to the node as failed.

use crate::{sockets, Event, Handle, NodeId};
use std::fs::OpenOptions;
use std::io::{self, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};

const MAX_QUEUED_WRITES: usize = 4096;

/// A write at an offset of the file, or a replacement of the whole file if `at` is `None`.
pub struct FileWrite {
    pub name: String,
    pub at: Option<u64>,
    pub bytes: Vec<u8>,
}

pub struct Disk {
    writes: SyncSender<(NodeId, u64, FileWrite)>,
}

impl Disk {
    pub fn new(dir: PathBuf, handle: Handle) -> Disk {
        let (writes, queue) = sync_channel(MAX_QUEUED_WRITES);
        std::thread::spawn(move || run(&dir, &queue, &handle));
        Disk { writes }
    }

    pub fn write(&self, node: NodeId, ticket: u64, write: FileWrite) -> Result<(), String> {
        self.writes.try_send((node, ticket, write)).map_err(|e| match e {
            TrySendError::Full(_) => format!("{MAX_QUEUED_WRITES} writes wait for the disk"),
            TrySendError::Disconnected(_) => "the disk's thread has ended".to_string(),
        })
    }
}

fn run(dir: &Path, queue: &Receiver<(NodeId, u64, FileWrite)>, handle: &Handle) {
    let mut next = queue.recv().ok();
    while let Some(first) = next.take() {
        let mut batch = vec![first];
        // Batches further writes to the same file that continue where the last one ended.
        while let Ok(more) = queue.try_recv() {
            let last = &batch[batch.len() - 1].2;
            let next_offset = last.at.map(|at| at + last.bytes.len() as u64);
            if more.2.name == batch[0].2.name && more.2.at.is_some() && more.2.at == next_offset {
                batch.push(more);
            } else {
                next = Some(more);
                break;
            }
        }
        let result = write_batch(dir, &batch).map_err(|e| e.to_string());
        for (node, ticket, _) in batch {
            if handle.events.send(Event::Synced(node, ticket, result.clone())).is_err() {
                return;
            }
        }
        let _ = handle.waker.wake();
        if next.is_none() {
            next = queue.recv().ok();
        }
    }
}

fn write_batch(dir: &Path, batch: &[(NodeId, u64, FileWrite)]) -> io::Result<()> {
    let first = &batch[0].2;
    let path = dir.join(&first.name);
    let Some(at) = first.at else { return sockets::write_atomically(&path, &first.bytes) };
    let mut file = OpenOptions::new().write(true).open(&path)?;
    file.set_len(at)?;
    file.seek(SeekFrom::Start(at))?;
    for (_, _, write) in batch {
        file.write_all(&write.bytes)?;
    }
    file.sync_data()
}
