//! A cluster member: its state file, its connections, the Raft node, and the record that results from the
//! log.
//!
//! A request is answered once its outcome is known. `Committed` means that this member has applied the
//! command itself, so a majority has it on disk. Until then the command is resubmitted to the leader; its id
//! prevents it from being applied twice. A request that times out is `Unknown` if it was ever submitted to a
//! leader, `NoMajority` otherwise.

use crate::accounting::AccountingConfig;
use crate::messages::{
    self, peer_message, DiskRecordKind, Hello, LogPosition, MemberChange, MemberInfo, PeerMessage, ReadIndex,
    Rejection, SUPPORTED_FORMATS,
};
use crate::peers::{Lane, Peers, Received};
use crate::sharing::SharingConfig;
use crate::state_file::{self, StateFile, WritePurpose};
use pewtergap_node::{Effect, Input, Level, Link, Outbox, NO_FILE};
use pewtergap_protocol::encode;
use pewtergap_raft::{
    Action, Body, Id, Index, Log, Member as RaftMember, Members, RaftError, RaftNode, Role,
};
use pewtergap_raft::{RaftConfig, Snapshot};
use pewtergap_record::{Cleanup, Command, CommandKind, Outcome, Record, Subject};
use pewtergap_store::WalFault;
use pewtergap_time::{Moment, Span};
use pewtergap_watch::messages::RosterUpdate;
use prost::Message;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{IpAddr, SocketAddr};

use budget::BudgetState;
pub use budget::BudgetView;
pub use duties::DutyConfig;
use duties::DutyState;

mod budget;
mod duties;
mod leader;
mod requests;
mod startup;

/// Listener id of a member. This and the timer ids are above those of the service in the same process.
pub const MEMBER_LISTENER: u32 = 16;
const RAFT_TIMER: u64 = 1_000;
const HOUSEKEEPING_TIMER: u64 = 1_001;
pub const FIRST_TIMER: u64 = 1_000;

const HOUSEKEEPING_INTERVAL: Span = Span::millis(50);
/// A command that is not yet committed is submitted to the leader again after this time.
const RETRY_INTERVAL: Span = Span::millis(200);
/// Requests that may wait for their reply; further ones are rejected.
const MAX_PENDING_REQUESTS: usize = 1_024;
/// Number of log entries that triggers a snapshot, and the entries retained for members that are slightly
/// behind.
const COMPACTION: (usize, u64) = (4_096, 1_024);
/// Number of replaced ids that are remembered.
const MAX_RETIRED_IDS: usize = 64;
/// Voters and learners.
pub const MAX_MEMBERS: usize = 7;
/// Members that never vote.
pub const MAX_OBSERVERS: usize = 32;

/// Configuration of a member.
#[derive(Clone, Debug)]
pub struct MemberConfig {
    pub name: String,
    /// Address for connections from other members; `None` in a cluster of one.
    pub listen: Option<SocketAddr>,
    /// The founding members, including this one, and the address of each as seen from here.
    pub founders: Vec<(String, SocketAddr)>,
    pub source_ip: Option<IpAddr>,
    pub raft: RaftConfig,
    /// Every request is answered within this time.
    pub request_timeout: Span,
    pub seed: u64,
    /// The newest supported format; an older one is configured while a roll-out may have to be rolled back.
    pub max_format: u32,
    /// `None` disables duties.
    pub duties: Option<DutyConfig>,
    /// Receiver of the accounting export, if there is one.
    pub accounting: Option<AccountingConfig>,
    /// `None` disables sharing.
    pub sharing: Option<SharingConfig>,
    /// Slices of each zone's servers, and the time limit of a probe. With 0 slices every planner probes all
    /// servers.
    pub probe_slices: (usize, Span),
    /// Names that may join as observers, and the address of each as seen from here.
    pub observers: Vec<(String, SocketAddr)>,
    /// This member serves watches, and other control machines send it their rosters.
    pub serves_watches: bool,
}

#[derive(Clone, Debug)]
pub enum Request {
    Command(Command),
    MemberChange(MemberChange),
    /// The current record, confirmed by the leader.
    LinearizableRead,
    /// What is known here, which may be out of date.
    StaleRead,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Committed(u64),
    Rejected(String),
    NoMajority,
    Unknown,
    /// The record may be read now. `fresh`: it holds everything that was committed when the read was
    /// requested; otherwise its state is of the given age.
    ReadReady {
        fresh: bool,
        age: Span,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum MemberEvent {
    Reply {
        token: u64,
        reply: Reply,
    },
    /// The record was restored from a snapshot; the changes that led to it are unknown.
    Restored,
    /// The record changed for these subjects; `None` means any subject.
    SubjectsChanged(Option<BTreeSet<Subject>>),
    /// The number of this start is on disk.
    StartNumberStored(u64),
    /// A probe message of another member.
    Probe(Id, peer_message::Kind),
    /// A sharing message of another member.
    Sharing(Id, peer_message::Kind),
    /// The roster of another control machine.
    Roster(String, RosterUpdate),
    /// A connection to a member was lost.
    PeerLost(Id),
}

struct PendingRequest {
    token: u64,
    request: Request,
    deadline: Moment,
    /// When it was last submitted to a leader.
    submitted_at: Option<Moment>,
    /// The index that a read has to wait for, once the leader has confirmed it.
    read_index: Option<Index>,
}

enum Stage {
    /// The state file is being read.
    ReadingFile,
    /// The state file is being created.
    CreatingFile,
    /// The disk is new: waits until all founders are connected, or until a cluster admits it.
    Unjoined,
    Joined(Box<RaftNode>),
    /// The state file cannot be trusted and no other member can replace it.
    Failed,
}

pub struct Member {
    config: MemberConfig,
    rng: fastrand::Rng,
    stage: Stage,
    identity: Hello,
    loaded: Option<state_file::Contents>,
    file: StateFile,
    peers: Peers,
    /// The last known start of each other member, by name; also on disk.
    peer_starts: BTreeMap<String, Hello>,
    /// The number of this planner's start.
    start_number: u64,
    pub record: Record,
    pending: VecDeque<PendingRequest>,
    /// Reads of other members, by the token given to the Raft node.
    reads: BTreeMap<u64, (Id, u64)>,
    last_token: u64,
    /// Commands proposed by this leader that are in the log and not yet committed.
    proposed: BTreeMap<u64, Index>,
    /// The planner from which each proposed command takes budget units, by command id.
    budget_debits: BTreeMap<u64, Id>,
    /// The budget allocation proposed by this leader, if one is pending.
    pending_allocation: Option<u64>,
    /// Calls per second at each planner, where known.
    pub demands: BTreeMap<Id, f64>,
    last_cleanup: Moment,
    last_raise: Moment,
    last_reconnect: Moment,
    duty_state: Option<DutyState>,
    /// Members as reported by others, used while this one is not a member.
    reported_members: Vec<MemberInfo>,
    /// The commit index that is stored on disk.
    stored_commit: Index,
    raft_timer_at: Option<Moment>,
    stopping: bool,
    /// Its place in the cluster was removed or given to another disk.
    retired: bool,
    /// The listener is open and the timers run.
    listening: bool,
    pub events: Vec<MemberEvent>,
    /// If watches are served: all subjects that commands may have changed since this set was last taken.
    pub touched_subjects: BTreeSet<Subject>,
}

impl Member {
    pub fn new(config: MemberConfig) -> Member {
        let rng = fastrand::Rng::with_seed(config.seed);
        let identity = Hello {
            min_format: SUPPORTED_FORMATS.0,
            max_format: config.max_format,
            name: config.name.clone(),
            ..Hello::default()
        };
        let identity = Hello {
            lease_ms: config.duties.as_ref().map_or(0, |d| d.lease.duration.0 / 1_000_000),
            supports_sharing: config.sharing.is_some(),
            serves_watches: config.serves_watches,
            ..identity
        };
        Member {
            peers: Peers::new(config.source_ip),
            file: StateFile::new(format!("{}.record", config.name)),
            rng,
            stage: Stage::ReadingFile,
            identity,
            loaded: None,
            peer_starts: BTreeMap::new(),
            start_number: 0,
            record: Record::default(),
            pending: VecDeque::new(),
            reads: BTreeMap::new(),
            last_token: 0,
            proposed: BTreeMap::new(),
            budget_debits: BTreeMap::new(),
            pending_allocation: None,
            demands: BTreeMap::new(),
            last_cleanup: Moment(0),
            last_raise: Moment(0),
            last_reconnect: Moment(0),
            duty_state: config.duties.clone().map(|duties| {
                let budget = config.sharing.map(|sharing| BudgetState::new(sharing.budget));
                DutyState::new(duties, budget)
            }),
            reported_members: Vec::new(),
            stored_commit: 0,
            raft_timer_at: None,
            stopping: false,
            retired: false,
            listening: false,
            events: Vec::new(),
            touched_subjects: BTreeSet::new(),
            config,
        }
    }

    pub fn owns_link(&self, link: Link) -> bool {
        self.peers.owns_link(link)
    }

    pub fn file_name(&self) -> String {
        format!("{}.record", self.config.name)
    }

    pub fn raft(&self) -> Option<&RaftNode> {
        match &self.stage {
            Stage::Joined(raft) => Some(raft),
            _ => None,
        }
    }

    pub fn id(&self) -> Id {
        self.identity.id
    }

    /// Id of the cluster; 0 if it belongs to none.
    pub fn cluster_id(&self) -> u64 {
        self.identity.cluster_id
    }

    pub fn disk_starts(&self) -> u64 {
        self.identity.start
    }

    pub fn last_start_number(&self) -> u64 {
        self.start_number
    }

    fn is_single(&self) -> bool {
        self.config.founders.iter().all(|member| member.0 == self.config.name)
    }

    /// Updates the addresses to connect to: founders from the settings, other members from the operator's
    /// changes.
    fn update_peers(&mut self, now: Moment, out: &mut Outbox) {
        let mut wanted: BTreeMap<String, Option<SocketAddr>> = BTreeMap::new();
        match self.raft().filter(|raft| !raft.members().list.is_empty()) {
            Some(raft) => {
                for member in &raft.members().list {
                    wanted.insert(member.name.clone(), member.address.parse().ok());
                }
            }
            None => wanted.extend(self.config.founders.iter().map(|member| (member.0.clone(), None))),
        }
        for (name, address) in &self.config.founders {
            if let Some(known) = wanted.get_mut(name) {
                // The settings apply where the operator has set no address.
                *known = known.or(Some(*address));
            }
        }
        if !self.is_member() {
            for member in &self.reported_members {
                let address = wanted.entry(member.name.clone()).or_default();
                *address = address.or(member.address.parse().ok());
            }
        }
        wanted.remove(&self.config.name);
        self.peers.set_peers(now, &wanted, out);
    }

    fn reject(&mut self, link: Link, rejection: Rejection, out: &mut Outbox) {
        let reason = rejection.reason.clone();
        out.send(link, encode(&PeerMessage::new(peer_message::Kind::Reject(rejection))));
        out.finish(link);
        self.peers.incoming.remove(&link);
        out.log(Level::Warn, "member_refused", vec![("why", reason)]);
    }

    fn reject_retired(&mut self, link: Link, id: Id, out: &mut Outbox) {
        let committed = self.raft().is_some_and(|raft| raft.committed_members().retired.contains(&id));
        let rejection = Rejection::new("an older incarnation: its place was given up or to another disk");
        self.reject(link, Rejection { retired: committed, ..rejection }, out);
    }

    /// Notifies connected members that have been removed or replaced: no other member sends to them any more.
    fn disconnect_retired(&mut self, out: &mut Outbox) {
        let Some(raft) = self.raft() else { return };
        let members = raft.committed_members();
        let ids = self
            .peers
            .incoming
            .iter()
            .filter_map(|(link, incoming)| Some((*link, incoming.hello.as_ref()?.id)));
        let retired: Vec<(Link, Id)> = ids.filter(|(_, id)| members.retired.contains(id)).collect();
        for (link, id) in retired {
            self.reject_retired(link, id, out);
        }
    }

    /// Handles the first message on a connection and decides whether to accept the sender.
    fn on_hello(&mut self, link: Link, hello: Hello, out: &mut Outbox) {
        // A build that supports only older formats would misinterpret commands of the record's format.
        let record_format = self.record.format();
        if hello.min_format > self.config.max_format || hello.max_format < record_format {
            let (min_format, max_format) = (hello.min_format, hello.max_format);
            let why = format!(
                "speaks formats {min_format} to {max_format}, we {record_format} to {}",
                self.config.max_format
            );
            return self.reject(link, Rejection::new(&why), out);
        }
        if hello.cluster_id != 0
            && self.identity.cluster_id != 0
            && hello.cluster_id != self.identity.cluster_id
        {
            return self.reject(link, Rejection::new("of another cluster"), out);
        }
        let members = self.raft().map(|raft| raft.members().clone()).unwrap_or_default();
        // Checked before the name: a removed member no longer has a name in the cluster.
        if members.retired.contains(&hello.id) {
            return self.reject_retired(link, hello.id, out);
        }
        let is_known = members.find_by_name(&hello.name).is_some()
            || members.list.is_empty() && self.config.founders.iter().any(|member| member.0 == hello.name);
        let is_known = is_known || self.config.observers.iter().any(|observer| observer.0 == hello.name);
        let is_known = is_known
            || !self.is_member() && self.reported_members.iter().any(|member| member.name == hello.name);
        if !is_known || hello.name == self.identity.name {
            return self.reject(link, Rejection::new("a stranger: no member has this name"), out);
        }
        if let Some(known) = self.peer_starts.get(&hello.name).filter(|known| known.id == hello.id) {
            if (hello.start, hello.nonce) != (known.start, known.nonce) && hello.start <= known.start {
                return self.reject(
                    link,
                    Rejection { old_copy: true, ..Rejection::new("its disk is an older copy of itself") },
                    out,
                );
            }
        }
        let is_new = self
            .peer_starts
            .get(&hello.name)
            .is_none_or(|known| (known.id, known.start) != (hello.id, hello.start));
        if is_new {
            let start = Hello { founders: Vec::new(), bulk: false, ..hello.clone() };
            self.peer_starts.insert(hello.name.clone(), start.clone());
            self.file.append(vec![DiskRecordKind::PeerStart(start)], WritePurpose::Other, out);
        }
        let welcome = self.current_hello();
        out.send(link, encode(&PeerMessage::new(peer_message::Kind::Welcome(welcome))));
        if let Some(incoming) = self.peers.incoming.get_mut(&link) {
            incoming.hello = Some(hello);
        }
    }

    fn on_bytes(&mut self, now: Moment, link: Link, bytes: &[u8], out: &mut Outbox) {
        match self.peers.receive(link, bytes) {
            Received::Messages(messages) => {
                for message in messages {
                    self.on_message(now, link, message, out);
                }
            }
            Received::Welcome(name, hello) if hello.name != name => {
                let fields = vec![("wanted", name), ("there", hello.name)];
                out.log(Level::Warn, "member_elsewhere", fields);
                out.cut(link);
            }
            Received::Welcome(_, hello) => self.on_welcome(now, &hello, out),
            Received::Rejected(name, rejection) => {
                let fields = vec![("by", name), ("why", rejection.reason)];
                out.log(Level::Warn, "refused_by_member", fields);
                if rejection.retired {
                    self.retire_self(out);
                }
                if rejection.old_copy && !matches!(self.stage, Stage::CreatingFile | Stage::Failed) {
                    // Entries that it acknowledged later are missing on this disk, so it must not continue
                    // under the old id.
                    out.log(Level::Error, "record_is_an_old_copy", vec![("file", self.file_name())]);
                    self.create_file(now, out);
                }
            }
            Received::Invalid(why) => {
                out.log(Level::Warn, "member_closed", vec![("why", why)]);
                out.cut(link);
            }
        }
        self.apply_actions(now, out);
    }

    /// Reconnects to peers that had no cluster. A member that is no founder and connected before the founders
    /// had met was welcomed only by peers without a cluster, and stayed out for as long as its connections
    /// lasted (found with three voters and an observer that start together).
    fn reconnect_if_unjoined(&mut self, now: Moment, out: &mut Outbox) {
        let is_founder = self.config.founders.iter().any(|member| member.0 == self.config.name);
        if matches!(self.stage, Stage::Unjoined)
            && !is_founder
            && now.since(self.last_reconnect) >= RETRY_INTERVAL
        {
            self.last_reconnect = now;
            self.peers.reconnect_unjoined(now, out);
        }
    }

    /// This member's current hello.
    fn current_hello(&self) -> Hello {
        let members =
            self.raft().map(|raft| messages::encode_membership(raft.members()).members).unwrap_or_default();
        Hello { members, ..self.identity.clone() }
    }

    fn is_member(&self) -> bool {
        self.raft().is_some_and(|raft| raft.member(self.identity.id).is_some())
    }

    fn on_welcome(&mut self, now: Moment, hello: &Hello, out: &mut Outbox) {
        if !self.is_member() && !hello.members.is_empty() {
            self.reported_members = hello.members.clone();
        }
        if matches!(self.stage, Stage::Unjoined) {
            if hello.cluster_id != 0 {
                self.join_cluster(now, hello, out);
            } else {
                self.try_found_cluster(now, out);
            }
        }
    }

    /// Joins the cluster of a member that welcomed this one. A founder starts with the others; a later member
    /// has no vote by the founders' list, and learns the current one.
    fn join_cluster(&mut self, now: Moment, hello: &Hello, out: &mut Outbox) {
        if founders_digest(&hello.founders) == hello.cluster_id {
            self.enter_cluster(now, hello.founders.clone(), out);
        }
    }

    fn on_message(&mut self, now: Moment, link: Link, message: PeerMessage, out: &mut Outbox) {
        let Some(kind) = message.kind else { return };
        let Some(from) =
            self.peers.incoming.get(&link).map(|incoming| incoming.hello.as_ref().map(|hello| hello.id))
        else {
            return;
        };
        let (from, kind) = match (from, kind) {
            (None, peer_message::Kind::Hello(hello)) => return self.on_hello(link, hello, out),
            (None, _) => return self.reject(link, Rejection::new("the first word is no hello"), out),
            (Some(from), kind) => (from, kind),
        };
        if let peer_message::Kind::Roster(update) = kind {
            // Accepted from every peer whose hello was accepted, even before it is a known member and in
            // every stage, since each roster update builds on the one before.
            let name = self
                .peers
                .incoming
                .get(&link)
                .and_then(|incoming| Some(incoming.hello.as_ref()?.name.clone()));
            return self.events.extend(
                name.filter(|_| self.config.serves_watches).map(|name| MemberEvent::Roster(name, update)),
            );
        }
        let Stage::Joined(raft) = &mut self.stage else { return };
        match kind {
            peer_message::Kind::Raft(raft_message) => {
                if let Ok(message) = messages::decode_raft(raft_message) {
                    raft.receive(now, from, message);
                }
            }
            peer_message::Kind::Command(bytes) => {
                if let Ok(command) = Command::decode(bytes.as_slice()) {
                    self.propose(&command);
                }
            }
            peer_message::Kind::MemberChange(change) => drop(self.apply_member_change(now, &change)),
            peer_message::Kind::ReadIndexRequest(token) => {
                self.last_token += 1;
                if self.reads.len() < MAX_PENDING_REQUESTS && raft.request_read(now, self.last_token).is_ok()
                {
                    self.reads.insert(self.last_token, (from, token));
                }
            }
            peer_message::Kind::ReadIndex(read) => {
                if self
                    .duty_state
                    .as_mut()
                    .is_some_and(|duty_state| duty_state.on_read_index(read.token, read.index))
                {
                    return self.update_duties(now, out);
                }
                let pending = self.pending.iter_mut().find(|pending| pending.token == read.token);
                if let Some(pending) =
                    pending.filter(|pending| matches!(pending.request, Request::LinearizableRead))
                {
                    pending.read_index = Some(read.index);
                }
            }
            kind @ (peer_message::Kind::ProbeRequest(_)
            | peer_message::Kind::ProbeAccepted(_)
            | peer_message::Kind::ProbeResult(_)) => {
                // If it is dropped, the planner that sent the request probes the server itself.
                if self.events.len() < MAX_PENDING_REQUESTS {
                    self.events.push(MemberEvent::Probe(from, kind));
                }
            }
            kind @ (peer_message::Kind::Gossip(_)
            | peer_message::Kind::CountsRequest(_)
            | peer_message::Kind::CountsResponse(_)
            | peer_message::Kind::Evidence(_)) => {
                // If it is dropped, it is sent again.
                if self.events.len() < MAX_PENDING_REQUESTS {
                    self.events.push(MemberEvent::Sharing(from, kind));
                }
            }
            peer_message::Kind::LeaseRenewal(renewal) => self.on_lease_renewal(now, from, renewal),
            peer_message::Kind::HandoffRequest(request) => self.on_handoff_request(now, &request, out),
            peer_message::Kind::Hello(_)
            | peer_message::Kind::Welcome(_)
            | peer_message::Kind::Reject(_)
            | peer_message::Kind::Roster(_) => {}
        }
    }

    fn housekeeping(&mut self, now: Moment, out: &mut Outbox) {
        out.set_timer(HOUSEKEEPING_TIMER, now + HOUSEKEEPING_INTERVAL);
        self.update_peers(now, out);
        self.reconnect_if_unjoined(now, out);
        self.peers.connect_due(now, out);
        self.disconnect_retired(out);
        self.run_leader_tasks(now, out);
        self.store_commit_index(out);
        let id = self.identity.id;
        if let Stage::Joined(raft) = &self.stage {
            let members = raft.committed_members();
            if members.retired.contains(&id) {
                self.retire_self(out);
            }
        }
        self.check_lateness(now, out);
        self.update_duties(now, out);
        self.submit_pending(now, out);
        self.apply_actions(now, out);
        self.complete_requests(now, now);
    }

    /// Carries out the actions that the Raft node asks for.
    fn apply_actions(&mut self, now: Moment, out: &mut Outbox) {
        let mut touched = Some(BTreeSet::new());
        let mut applied = false;
        loop {
            let Stage::Joined(raft) = &mut self.stage else { return };
            let actions = raft.take_actions(now);
            if actions.is_empty() {
                break;
            }
            for action in actions {
                match action {
                    Action::Send { to, message } => {
                        let entries = match &message.payload {
                            pewtergap_raft::Payload::AppendEntries { entries, .. } => !entries.is_empty(),
                            payload => matches!(payload, pewtergap_raft::Payload::SnapshotChunk { .. }),
                        };
                        let lane = if entries { Lane::Bulk } else { Lane::Urgent };
                        let message = peer_message::Kind::Raft(messages::encode_raft(&message));
                        self.peers.send(to, lane, message, out);
                    }
                    Action::Save { ticket, records, replace_all } => {
                        let records = records.iter().map(messages::encode_record);
                        if replace_all {
                            let mut all = state_file::header_records(
                                &self.identity,
                                &self.peer_starts,
                                self.start_number,
                            );
                            all.extend(records);
                            // The new file does not hold the commit index; the next housekeeping stores it.
                            self.stored_commit = 0;
                            self.file.replace(all, WritePurpose::Raft(ticket), out);
                        } else {
                            self.file.append(records.collect(), WritePurpose::Raft(ticket), out);
                        }
                    }
                    Action::Commit { index, entry } => {
                        if let Body::Command(bytes) = entry.body {
                            if let Ok(command) = Command::decode(bytes.as_slice()) {
                                if self.config.serves_watches {
                                    self.touched_subjects.extend(self.record.affected_subjects(&command));
                                }
                                self.record.apply(index, &command);
                                applied = true;
                                self.proposed.remove(&command.id);
                                self.budget_debits.remove(&command.id);
                                let affects_all = matches!(
                                    command.kind,
                                    Some(CommandKind::Cleanup(_) | CommandKind::RolloutStep(_))
                                );
                                touched = touched.filter(|_| !affects_all);
                                touched.iter_mut().for_each(|all| all.extend(command.subject()));
                            }
                        }
                    }
                    Action::Restore(snapshot) => match Record::decode_snapshot(&snapshot.data) {
                        Ok(record) => {
                            (self.record, touched) = (record, None);
                            self.touched_subjects.clear();
                            self.events.push(MemberEvent::Restored);
                        }
                        Err(why) => return self.fail(out, "record_refused", &why),
                    },
                    Action::ReadReady { token, index } => match self.reads.remove(&token) {
                        Some((from, token)) if from == self.identity.id => {
                            if self
                                .duty_state
                                .as_mut()
                                .is_some_and(|duty_state| duty_state.on_read_index(token, index))
                            {
                                continue;
                            }
                            let pending = self.pending.iter_mut().find(|pending| pending.token == token);
                            pending.into_iter().for_each(|pending| pending.read_index = Some(index));
                        }
                        Some((from, token)) => {
                            let message = peer_message::Kind::ReadIndex(ReadIndex { token, index });
                            self.peers.send(from, Lane::Urgent, message, out);
                        }
                        None => {}
                    },
                    Action::ReadFailed { token } => {
                        let own = self.reads.remove(&token).filter(|read| read.0 == self.identity.id);
                        let pending = self
                            .pending
                            .iter_mut()
                            .find(|pending| own.is_some_and(|own| pending.token == own.1));
                        pending.into_iter().for_each(|pending| pending.submitted_at = None);
                    }
                    Action::LogRegressed { id } => self.on_log_regressed(id, out),
                    Action::RoleChanged => self.log_role_change(out),
                }
            }
        }
        if self.record.format() > self.config.max_format {
            return self.fail_unsupported_format(out);
        }
        self.clear_proposals_unless_leader();
        self.compact(out);
        self.complete_requests(now, Moment(0));
        if touched.as_ref().is_none_or(|touched| !touched.is_empty()) {
            self.events.push(MemberEvent::SubjectsChanged(touched));
        }
        if applied {
            self.update_duties(now, out);
            // Sends what resulted from it at once; the recursion ends when nothing more is committed.
            return self.apply_actions(now, out);
        }
        self.schedule_raft_timer(now, out);
    }

    fn clear_proposals_unless_leader(&mut self) {
        let is_leader = self.raft().is_some_and(|raft| raft.role() == Role::Leader);
        if !is_leader {
            self.proposed.clear();
            self.budget_debits.clear();
        }
    }

    fn compact(&mut self, out: &mut Outbox) {
        let Stage::Joined(raft) = &mut self.stage else { return };
        if raft.entry_count() < COMPACTION.0 + COMPACTION.1 as usize {
            return;
        }
        let (index, data) = (raft.applied_index(), self.record.encode_snapshot());
        let fields = vec![("index", index.to_string()), ("bytes", data.len().to_string())];
        raft.compact(index, data, COMPACTION.1);
        out.log(Level::Debug, "record_compacted", fields);
    }

    /// A member's disk holds less than the member acknowledged to this leader.
    fn on_log_regressed(&mut self, id: Id, out: &mut Outbox) {
        let links: Vec<Link> = self
            .peers
            .incoming
            .iter()
            .filter(|incoming| incoming.1.hello.as_ref().is_some_and(|hello| hello.id == id))
            .map(|incoming| *incoming.0)
            .collect();
        for link in links {
            self.reject(
                link,
                Rejection { old_copy: true, ..Rejection::new("its disk lacks what it acknowledged") },
                out,
            );
        }
        if let Some(known) = self.peer_starts.values_mut().find(|known| known.id == id) {
            // Any start of this disk is now rejected as an older copy.
            known.start = u64::MAX;
            known.nonce = 0;
        }
    }

    fn log_role_change(&mut self, out: &mut Outbox) {
        let Stage::Joined(raft) = &self.stage else { return };
        let leader = raft.leader().and_then(|id| raft.member(id)).map_or("nobody", |m| m.name.as_str());
        let fields = vec![
            ("role", format!("{:?}", raft.role())),
            ("term", raft.term().to_string()),
            ("leader", leader.to_string()),
        ];
        out.log(Level::Info, "leads", fields);
    }

    fn schedule_raft_timer(&mut self, now: Moment, out: &mut Outbox) {
        let Stage::Joined(raft) = &self.stage else { return };
        let due = raft.next_tick().max(now);
        if self.raft_timer_at.is_none_or(|at| at > due || at <= now) {
            self.raft_timer_at = Some(due);
            out.set_timer(RAFT_TIMER, due);
        }
    }

    /// Stores the number of a start; `MemberEvent::StartNumberStored` follows once it is on disk, so nobody
    /// sees the number before.
    pub fn use_start_number(&mut self, number: u64, out: &mut Outbox) -> bool {
        // Before the file has been read nothing may be written: the write would truncate the file.
        if matches!(self.stage, Stage::ReadingFile | Stage::Failed) {
            return false;
        }
        self.start_number = number;
        self.file.append(
            vec![DiskRecordKind::StartNumber(LogPosition { term: 0, index: number })],
            WritePurpose::StartNumber,
            out,
        );
        true
    }

    fn store_commit_index(&mut self, out: &mut Outbox) {
        let commit = self.raft().map_or(0, RaftNode::commit_index);
        if commit != self.stored_commit {
            self.stored_commit = commit;
            self.file.append(vec![DiskRecordKind::Committed(commit)], WritePurpose::Other, out);
        }
    }

    /// Stops submitting commands; the planner continues with the orders it knows.
    fn retire_self(&mut self, out: &mut Outbox) {
        self.retired = true;
        if !std::mem::replace(&mut self.stopping, true) {
            let why = "its place was removed or given to another disk";
            out.log(Level::Error, "record_given_up", vec![("why", why.into())]);
        }
    }

    /// Transfers leadership, if there is another member to take it.
    pub fn stop(&mut self, now: Moment, out: &mut Outbox) {
        self.stopping = true;
        self.release_all_duties(now, out);
        if let Stage::Joined(raft) = &mut self.stage {
            if raft.transfer_leadership(now) {
                out.log(Level::Info, "leadership_handed_over", Vec::new());
            }
        }
        self.store_commit_index(out);
        self.apply_actions(now, out);
    }

    /// Voters and learners other than this member.
    pub fn sharing_peers(&self) -> BTreeMap<Id, String> {
        let members = self.raft().map(|raft| raft.committed_members()).unwrap_or_default();
        let is_peer =
            |member: &RaftMember| member.id != 0 && member.id != self.identity.id && !member.is_observer;
        let others = members.list.into_iter().filter(is_peer);
        others.map(|member| (member.id, member.name)).collect()
    }

    /// Sends a sharing message to a member that supports them. Long messages use the bulk lane and delay no
    /// urgent ones.
    pub fn send_sharing(&self, to: Id, kind: peer_message::Kind, out: &mut Outbox) -> bool {
        let lane = if matches!(kind, peer_message::Kind::Gossip(_)) { Lane::Urgent } else { Lane::Bulk };
        let supports = self.peers.welcomes().iter().any(|hello| hello.id == to && hello.supports_sharing);
        supports && self.peers.send(to, lane, kind, out)
    }

    /// Other members that serve watches and are connected.
    pub fn control_machines(&self) -> BTreeMap<Id, String> {
        let Some(raft) = self.raft() else { return BTreeMap::new() };
        let machines =
            self.peers.bulk_peers().filter(|hello| hello.serves_watches && raft.member(hello.id).is_some());
        machines.map(|hello| (hello.id, hello.name.clone())).collect()
    }

    /// Sends this control machine's roster to another one.
    pub fn send_roster(&self, to: Id, update: RosterUpdate, out: &mut Outbox) -> bool {
        self.peers.send(to, Lane::Bulk, peer_message::Kind::Roster(update), out)
    }

    pub fn random_id(&mut self) -> u64 {
        self.rng.u64(1..)
    }

    /// The members, with what is known here about each.
    pub fn member_views(&self, now: Moment) -> Vec<MemberView> {
        let Some(raft) = self.raft() else { return Vec::new() };
        let view = |member: &RaftMember| {
            let progress = raft.progress(member.id);
            let here = member.id == self.identity.id;
            MemberView {
                name: member.name.clone(),
                id: format!("{:016x}", member.id),
                votes: member.is_voter,
                observes: member.is_observer,
                leads: raft.leader() == Some(member.id),
                here,
                linked: here || self.peers.welcome(&member.name).is_some_and(|hello| hello.id == member.id),
                matched: if here { Some(raft.last().1) } else { progress.map(|progress| progress.0) },
                heard_ms: progress.map(|progress| now.since(progress.1).0 / 1_000_000),
                refused: self.peers.last_rejection(&member.name).map(str::to_string),
            }
        };
        raft.members().list.iter().map(view).collect()
    }

    /// Handles the member's inputs; all others belong to the service beside it.
    pub fn handle(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) {
        if matches!(self.stage, Stage::Failed) {
            return;
        }
        match input {
            Input::Start => out.push(Effect::ReadFile { name: self.file_name() }),
            Input::File { bytes, .. } => self.on_file_read(now, bytes, out),
            Input::Synced { ticket, result } => self.on_synced(now, ticket, result, out),
            Input::Listening { at, .. } => {
                out.log(Level::Info, "listening", vec![("door", "members".into()), ("at", at.to_string())]);
            }
            Input::NotListening { why, .. } => self.fail(out, "not_listening", &why),
            Input::Accepted { link, .. } => self.peers.on_accepted(now, link, out),
            Input::Opened { link } => {
                let hello = self.current_hello();
                self.peers.on_opened(link, &hello, out);
            }
            Input::Bytes { link, bytes } => self.on_bytes(now, link, bytes, out),
            Input::Closed { link, .. } => {
                let lost = self.peers.on_closed(now, link);
                if let (Some(id), Stage::Joined(raft)) = (lost, &mut self.stage) {
                    raft.on_connection_lost(id);
                    self.events.push(MemberEvent::PeerLost(id));
                }
            }
            Input::TimerFired { timer: RAFT_TIMER } => {
                if let Stage::Joined(raft) = &mut self.stage {
                    raft.tick(now);
                }
                self.apply_actions(now, out);
            }
            Input::TimerFired { timer: HOUSEKEEPING_TIMER } => self.housekeeping(now, out),
            _ => {}
        }
    }
}

/// A member in the admin view.
#[derive(Clone, Debug, serde::Serialize)]
pub struct MemberView {
    pub name: String,
    pub id: String,
    pub votes: bool,
    pub observes: bool,
    pub leads: bool,
    pub here: bool,
    pub linked: bool,
    pub matched: Option<Index>,
    pub heard_ms: Option<u64>,
    pub refused: Option<String>,
}

/// The cluster id: a hash of the founders, so other founders make another cluster.
pub fn founders_digest(founders: &[MemberInfo]) -> u64 {
    let bytes: Vec<u8> = founders.iter().flat_map(|member| member.encode_length_delimited_to_vec()).collect();
    xxhash_rust::xxh3::xxh3_64(&bytes).max(1)
}
