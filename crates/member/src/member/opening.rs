//! A member's start: what its disk held, and how it comes to belong to a cluster.

use super::*;

impl Member {
    pub(super) fn opened(&mut self, now: Moment, bytes: Result<&[u8], String>, out: &mut Outbox) {
        let bytes = match bytes {
            Ok(bytes) => bytes,
            Err(why) if why == NO_FILE => return self.make(now, out),
            // Taken for a new disk, one that could not be read once would have forgotten all it promised.
            Err(why) => return self.end(out, "record_unread", &why),
        };
        match disk::open(bytes) {
            Ok(found) if found.identity.is_some() => self.resume(found, out),
            Ok(_) => self.make(now, out),
            Err(fault @ WalFault::Corrupt { .. }) if !self.alone() => {
                let aside = format!("{}.damaged-{:08x}", self.file_name(), self.rng.u32(..));
                let fields = vec![("why", fault.to_string()), ("kept_as", aside.clone())];
                out.log(Level::Error, "record_damaged", fields);
                out.push(Effect::SaveFile { name: aside, bytes: bytes.to_vec() });
                self.make(now, out);
            }
            Err(fault) => self.end(out, "record_refused", &fault.to_string()),
        }
    }

    pub(super) fn end(&mut self, out: &mut Outbox, event: &'static str, why: &str) {
        out.log(Level::Error, event, vec![("file", self.file_name()), ("why", why.into())]);
        self.stage = Stage::Ended;
        out.push(Effect::Exit { code: 4 });
    }

    /// A new disk has a new id: whoever had this name before is another member.
    pub(super) fn make(&mut self, now: Moment, out: &mut Outbox) {
        (self.own.id, self.own.start, self.own.cluster_id) = (self.rng.u64(1..), 1, 0);
        self.own.nonce = self.rng.u64(1..);
        self.own.founders.clear();
        self.record = Record::default();
        self.seen.clear();
        self.proposed.clear();
        self.peers.hang_up(now, out);
        self.stage = Stage::Making;
        out.log(Level::Info, "record_made", vec![("id", format!("{:016x}", self.own.id))]);
        self.disk.restart(0);
        self.disk.anew(disk::head(&self.own, &self.seen, self.number), Kept::Opened, out);
    }

    pub(super) fn resume(&mut self, found: disk::Found, out: &mut Outbox) {
        if let Some(why) = &found.torn {
            out.log(Level::Warn, "record_cut_back", vec![("why", why.clone())]);
        }
        let identity = found.identity.clone().unwrap_or_default();
        (self.own.id, self.own.cluster_id) = (identity.id, identity.cluster_id);
        (self.own.start, self.own.nonce) = (identity.start + 1, self.rng.u64(1..));
        self.own.founders = identity.founders.clone();
        (self.seen, self.number) = (found.seen.clone(), found.number);
        self.disk.restart(found.whole);
        self.stage = Stage::Making;
        self.disk.add(vec![DiskRecordKind::Identity(self.own.clone())], Kept::Opened, out);
        let fields = vec![
            ("id", format!("{:016x}", self.own.id)),
            ("start", self.own.start.to_string()),
            ("entries", found.log.last().1.to_string()),
        ];
        out.log(Level::Info, "record_opened", fields);
        self.found = Some(found);
    }

    pub(super) fn synced(&mut self, now: Moment, ticket: u64, result: Result<(), String>, out: &mut Outbox) {
        let done = match self.disk.synced(ticket, result) {
            Ok(done) => done,
            // What the disk holds is not known any more, and asking it again would not tell: a start reads it.
            Err(why) => return self.end(out, "record_not_synced", &why),
        };
        for kept in done {
            match kept {
                Kept::Opened if matches!(self.stage, Stage::Making) => self.speak(now, out),
                Kept::Agreed(ticket) => {
                    if let Stage::Member(agree) = &mut self.stage {
                        agree.on_synced(now, ticket);
                    }
                }
                Kept::Number => self.events.push(MemberEvent::StartNumberStored(self.number)),
                _ => {}
            }
        }
        self.carry_out(now, out);
    }

    /// The file is there: from here on others may be spoken to.
    pub(super) fn speak(&mut self, now: Moment, out: &mut Outbox) {
        let found = self.found.take().unwrap_or_default();
        self.stage = Stage::New;
        if self.own.cluster_id != 0 {
            self.join(now, found.log, found.committed, out);
        } else if self.alone() {
            self.establish(now, out);
        }
        self.know(now, out);
        // Whoever welcomed it while its file was still being made said so once: on a slow disk it never joined again.
        for hello in self.peers.welcomes() {
            self.welcomed(now, &hello, out);
        }
        // It may have been another member before, on a disk that was an old copy.
        if std::mem::replace(&mut self.open, true) {
            return;
        }
        if let Some(at) = self.home.listen {
            out.push(Effect::Listen { listener: MEMBER_LISTENER, at });
        }
        out.set_timer(HOUSE, now + HOUSEKEEPING);
    }

    /// Started with settings, or as a build, from before the record was raised: it would read it wrongly.
    pub(super) fn too_new(&mut self, out: &mut Outbox) {
        let (stands, knows) = (self.record.format(), self.home.max_format);
        let why = format!("the record stands at format {stands}, this one speaks up to {knows}");
        self.end(out, "record_refused", &why);
    }

    /// The machine begins with what is on disk.
    pub(super) fn join(&mut self, now: Moment, log: Log, committed: Index, out: &mut Outbox) {
        self.record = Record::default();
        if let Some(snapshot) = log.snapshot.as_ref().filter(|snapshot| !snapshot.data.is_empty()) {
            match Record::decode_snapshot(&snapshot.data) {
                Ok(record) => self.record = record,
                Err(why) => return self.end(out, "record_refused", &why),
            }
        }
        let agree = RaftNode::new(now, self.own.id, self.home.raft, self.rng.u64(..), log, committed);
        self.stage = Stage::Member(Box::new(agree));
        if self.record.format() > self.home.max_format {
            return self.too_new(out);
        }
        self.events.extend([MemberEvent::Restored, MemberEvent::SubjectsChanged(None)]);
    }

    /// All founders are known and none belongs to anything: each of them comes to the same cluster by itself.
    pub(super) fn establish(&mut self, now: Moment, out: &mut Outbox) {
        if !self.alone() && !self.home.founders.iter().any(|member| member.0 == self.home.name) {
            return;
        }
        let mut founders = Vec::new();
        let mut names: Vec<&String> = self.home.founders.iter().map(|member| &member.0).collect();
        names.sort();
        for name in names {
            let id = match *name == self.home.name {
                true => self.own.id,
                false => match self.peers.welcome(name) {
                    Some(hello) if hello.cluster_id == 0 => hello.id,
                    _ => return,
                },
            };
            founders.push(MemberInfo::founder(id, name));
        }
        if founders.is_empty() {
            founders.push(MemberInfo::founder(self.own.id, &self.own.name));
        }
        self.belong(now, founders, out);
    }

    /// Belongs to the cluster of these founders from here on.
    pub(super) fn belong(&mut self, now: Moment, founders: Vec<MemberInfo>, out: &mut Outbox) {
        self.own.cluster_id = founders_digest(&founders);
        self.own.founders = founders.clone();
        let members =
            messages::decode_membership(messages::Membership { members: founders, retired: Vec::new() });
        let mut log = Log::default();
        log.restore(Snapshot { members, ..Snapshot::default() });
        let mut rows = disk::head(&self.own, &self.seen, self.number);
        rows.extend(log.to_records().iter().map(messages::encode_record));
        self.disk.anew(rows, Kept::Note, out);
        out.log(Level::Info, "cluster", vec![("id", format!("{:016x}", self.own.cluster_id))]);
        self.join(now, log, 0, out);
        self.carry_out(now, out);
    }
}
