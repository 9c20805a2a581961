//! A machine's files: what is on disk, and what is written and not yet known to be.

use pewtergap_time::Moment;
use std::collections::{BTreeMap, VecDeque};

enum Write {
    At(u64, Vec<u8>),
    Whole(Vec<u8>),
}

#[derive(Default)]
pub struct Disk {
    files: BTreeMap<String, Vec<u8>>,
    writes: VecDeque<(u64, String, Write)>,
    /// When the last sync that is under way is answered.
    pub ready: Moment,
}

fn carry_out(files: &mut BTreeMap<String, Vec<u8>>, name: &str, write: Write) {
    match write {
        Write::Whole(bytes) => drop(files.insert(name.into(), bytes)),
        Write::At(at, bytes) => {
            let file = files.entry(name.into()).or_default();
            file.truncate(at as usize);
            file.extend(bytes);
        }
    }
}

impl Disk {
    /// As the machine itself reads it: with all that was written.
    pub fn read(&self, name: &str) -> Option<Vec<u8>> {
        self.files.get(name).cloned()
    }

    pub fn put(&mut self, name: &str, bytes: Option<Vec<u8>>) {
        match bytes {
            Some(bytes) => drop(self.files.insert(name.into(), bytes)),
            None => drop(self.files.remove(name)),
        }
    }

    pub fn append(&mut self, name: String, at: u64, bytes: Vec<u8>, ticket: u64) {
        self.writes.push_back((ticket, name, Write::At(at, bytes)));
    }

    pub fn replace(&mut self, name: String, bytes: Vec<u8>, ticket: u64) {
        self.writes.push_back((ticket, name, Write::Whole(bytes)));
    }

    /// All up to this ticket is on disk.
    pub fn synced(&mut self, ticket: u64) {
        while self.writes.front().is_some_and(|write| write.0 <= ticket) {
            if let Some((_, name, write)) = self.writes.pop_front() {
                carry_out(&mut self.files, &name, write);
            }
        }
    }

    /// The machine lost its power: some of what was not synced is there, in order, and a part of the next.
    pub fn lose(&mut self, rng: &mut fastrand::Rng) {
        let kept = rng.usize(0..=self.writes.len());
        for _ in 0..kept {
            if let Some((_, name, write)) = self.writes.pop_front() {
                carry_out(&mut self.files, &name, write);
            }
        }
        if let Some((_, name, Write::At(at, mut bytes))) = self.writes.pop_front() {
            bytes.truncate(rng.usize(0..=bytes.len()));
            carry_out(&mut self.files, &name, Write::At(at, bytes));
        }
        self.writes.clear();
        self.ready = Moment(0);
    }
}
