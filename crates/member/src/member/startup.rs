//! A member's startup: reading its state file, and founding or joining a cluster.

use super::*;

impl Member {
    pub(super) fn on_file_read(&mut self, now: Moment, bytes: Result<&[u8], String>, out: &mut Outbox) {
        let bytes = match bytes {
            Ok(bytes) => bytes,
            Err(why) if why == NO_FILE => return self.create_file(now, out),
            // If an unreadable disk were treated as a new one, the member would forget its votes and
            // acknowledgements.
            Err(why) => return self.fail(out, "record_unread", &why),
        };
        match state_file::read(bytes) {
            Ok(loaded) if loaded.identity.is_some() => self.resume_file(loaded, out),
            Ok(_) => self.create_file(now, out),
            Err(fault @ WalFault::Corrupt { .. }) if !self.is_single() => {
                let backup = format!("{}.damaged-{:08x}", self.file_name(), self.rng.u32(..));
                let fields = vec![("why", fault.to_string()), ("kept_as", backup.clone())];
                out.log(Level::Error, "record_damaged", fields);
                out.push(Effect::SaveFile { name: backup, bytes: bytes.to_vec() });
                self.create_file(now, out);
            }
            Err(fault) => self.fail(out, "record_refused", &fault.to_string()),
        }
    }

    pub(super) fn fail(&mut self, out: &mut Outbox, event: &'static str, why: &str) {
        out.log(Level::Error, event, vec![("file", self.file_name()), ("why", why.into())]);
        self.stage = Stage::Failed;
        out.push(Effect::Exit { code: 4 });
    }

    /// A new disk gets a new id; the former holder of the name is a different member.
    pub(super) fn create_file(&mut self, now: Moment, out: &mut Outbox) {
        (self.identity.id, self.identity.start, self.identity.cluster_id) = (self.rng.u64(1..), 1, 0);
        self.identity.nonce = self.rng.u64(1..);
        self.identity.founders.clear();
        self.record = Record::default();
        self.peer_starts.clear();
        self.proposed.clear();
        self.peers.reset(now, out);
        self.stage = Stage::CreatingFile;
        out.log(Level::Info, "record_made", vec![("id", format!("{:016x}", self.identity.id))]);
        self.file.resume_at(0);
        self.file.replace(
            state_file::header_records(&self.identity, &self.peer_starts, self.start_number),
            WritePurpose::FileReady,
            out,
        );
    }

    pub(super) fn resume_file(&mut self, loaded: state_file::Contents, out: &mut Outbox) {
        if let Some(why) = &loaded.torn_tail {
            out.log(Level::Warn, "record_cut_back", vec![("why", why.clone())]);
        }
        let identity = loaded.identity.clone().unwrap_or_default();
        (self.identity.id, self.identity.cluster_id) = (identity.id, identity.cluster_id);
        (self.identity.start, self.identity.nonce) = (identity.start + 1, self.rng.u64(1..));
        self.identity.founders = identity.founders.clone();
        (self.peer_starts, self.start_number) = (loaded.peer_starts.clone(), loaded.start_number);
        self.file.resume_at(loaded.valid_len);
        self.stage = Stage::CreatingFile;
        self.file.append(vec![DiskRecordKind::Identity(self.identity.clone())], WritePurpose::FileReady, out);
        let fields = vec![
            ("id", format!("{:016x}", self.identity.id)),
            ("start", self.identity.start.to_string()),
            ("entries", loaded.log.last().1.to_string()),
        ];
        out.log(Level::Info, "record_opened", fields);
        self.loaded = Some(loaded);
    }

    pub(super) fn on_synced(
        &mut self,
        now: Moment,
        ticket: u64,
        result: Result<(), String>,
        out: &mut Outbox,
    ) {
        let done = match self.file.on_synced(ticket, result) {
            Ok(done) => done,
            // The state on disk is unknown, and another sync would not reveal it. The next start reads the
            // file.
            Err(why) => return self.fail(out, "record_not_synced", &why),
        };
        for purpose in done {
            match purpose {
                WritePurpose::FileReady if matches!(self.stage, Stage::CreatingFile) => {
                    self.start_networking(now, out)
                }
                WritePurpose::Raft(ticket) => {
                    if let Stage::Joined(raft) = &mut self.stage {
                        raft.on_synced(now, ticket);
                    }
                }
                WritePurpose::StartNumber => {
                    self.events.push(MemberEvent::StartNumberStored(self.start_number))
                }
                _ => {}
            }
        }
        self.apply_actions(now, out);
    }

    /// The state file is in place: messages may be sent from here on.
    pub(super) fn start_networking(&mut self, now: Moment, out: &mut Outbox) {
        let loaded = self.loaded.take().unwrap_or_default();
        self.stage = Stage::Unjoined;
        if self.identity.cluster_id != 0 {
            self.start_raft(now, loaded.log, loaded.commit_index, out);
        } else if self.is_single() {
            self.try_found_cluster(now, out);
        }
        self.update_peers(now, out);
        // A peer sends its welcome only once. On a slow disk it came while the file was still being created,
        // and the member never joined.
        for welcome in self.peers.welcomes() {
            self.on_welcome(now, &welcome, out);
        }
        // The listener is already open if this member had another id before, on a disk that was an old copy.
        if std::mem::replace(&mut self.listening, true) {
            return;
        }
        if let Some(at) = self.config.listen {
            out.push(Effect::Listen { listener: MEMBER_LISTENER, at });
        }
        out.set_timer(HOUSEKEEPING_TIMER, now + HOUSEKEEPING_INTERVAL);
    }

    /// The settings or the build are older than the record's format and would misread it.
    pub(super) fn fail_unsupported_format(&mut self, out: &mut Outbox) {
        let (record_format, supported) = (self.record.format(), self.config.max_format);
        let why = format!("the record stands at format {record_format}, this one speaks up to {supported}");
        self.fail(out, "record_refused", &why);
    }

    /// Starts the Raft node with the log from disk.
    pub(super) fn start_raft(&mut self, now: Moment, log: Log, commit_index: Index, out: &mut Outbox) {
        self.record = Record::default();
        if let Some(snapshot) = log.snapshot.as_ref().filter(|snapshot| !snapshot.data.is_empty()) {
            match Record::decode_snapshot(&snapshot.data) {
                Ok(record) => self.record = record,
                Err(why) => return self.fail(out, "record_refused", &why),
            }
        }
        let raft =
            RaftNode::new(now, self.identity.id, self.config.raft, self.rng.u64(..), log, commit_index);
        self.stage = Stage::Joined(Box::new(raft));
        if self.record.format() > self.config.max_format {
            return self.fail_unsupported_format(out);
        }
        self.events.extend([MemberEvent::Restored, MemberEvent::SubjectsChanged(None)]);
    }

    /// Founds the cluster once all founders are connected and none belongs to a cluster. Each of them
    /// computes the same cluster id.
    pub(super) fn try_found_cluster(&mut self, now: Moment, out: &mut Outbox) {
        if !self.is_single() && !self.config.founders.iter().any(|member| member.0 == self.config.name) {
            return;
        }
        let mut founders = Vec::new();
        let mut names: Vec<&String> = self.config.founders.iter().map(|member| &member.0).collect();
        names.sort();
        for name in names {
            let id = match *name == self.config.name {
                true => self.identity.id,
                false => match self.peers.welcome(name) {
                    Some(hello) if hello.cluster_id == 0 => hello.id,
                    _ => return,
                },
            };
            founders.push(MemberInfo::founder(id, name));
        }
        if founders.is_empty() {
            founders.push(MemberInfo::founder(self.identity.id, &self.identity.name));
        }
        self.enter_cluster(now, founders, out);
    }

    /// Enters the cluster of these founders.
    pub(super) fn enter_cluster(&mut self, now: Moment, founders: Vec<MemberInfo>, out: &mut Outbox) {
        self.identity.cluster_id = founders_digest(&founders);
        self.identity.founders = founders.clone();
        let members =
            messages::decode_membership(messages::Membership { members: founders, retired: Vec::new() });
        let mut log = Log::default();
        log.restore(Snapshot { members, ..Snapshot::default() });
        let mut records = state_file::header_records(&self.identity, &self.peer_starts, self.start_number);
        records.extend(log.to_records().iter().map(messages::encode_record));
        self.file.replace(records, WritePurpose::Other, out);
        out.log(Level::Info, "cluster", vec![("id", format!("{:016x}", self.identity.cluster_id))]);
        self.start_raft(now, log, 0, out);
        self.apply_actions(now, out);
    }
}
