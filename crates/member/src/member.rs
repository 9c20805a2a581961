//! One planner among others: its disk, its links, the machine that agrees, and the record that follows from it.
//!
//! What is asked of it is answered when it is known: `Kept` when this member has itself applied the command, so that a
//! majority has it on disk. A command is given to the leader again and again until then; its id keeps it from being
//! made twice. What ran out of time is `Unknown` if it was ever given to anybody, `NoMajority` if not.

use crate::accounting::AccountingConfig;
use crate::disk::{self, Disk, Kept};
use crate::messages::{
    self, peer_message, DiskRecordKind, Hello, LogPosition, MemberChange, MemberInfo, PeerMessage, ReadIndex,
    Rejection, SUPPORTED_FORMATS,
};
use crate::peers::{Heard, Lane, Peers};
use crate::sharing::SharingConfig;
use pewtergap_node::{Effect, Input, Level, Link, Outbox, NO_FILE};
use pewtergap_protocol::encode;
use pewtergap_raft::{
    Action as Does, Body, Id, Index, Log, Member as Seated, Members, RaftError, RaftNode, Role,
};
use pewtergap_raft::{RaftConfig, Snapshot};
use pewtergap_record::{Cleanup, Command, CommandKind, Outcome, Record, Subject};
use pewtergap_store::WalFault;
use pewtergap_time::{Moment, Span};
use pewtergap_watch::messages::RosterUpdate;
use prost::Message;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{IpAddr, SocketAddr};

pub use duties::DutyConfig;
use duties::Office;
pub use parted::BudgetView;
use parted::Till;

mod duties;
mod leading;
mod opening;
mod parted;
mod requests;

/// Doors and timers of a member lie beyond those of the service beside it.
pub const MEMBER_LISTENER: u32 = 16;
const TICK: u64 = 1_000;
const HOUSE: u64 = 1_001;
pub const FIRST_TIMER: u64 = 1_000;

const HOUSEKEEPING: Span = Span::millis(50);
/// A command that is not yet kept is given to the leader again after this.
const AGAIN: Span = Span::millis(200);
/// Requests that wait for their answer; more are refused.
const MOST_WAITING: usize = 1_024;
/// Entries after which the log is put into a snapshot, and those kept for members just behind.
const COMPACTED: (usize, u64) = (4_096, 1_024);
/// Ids that were replaced, remembered.
const MOST_RETIRED: usize = 64;
/// Members that vote or learn in order to.
pub const MAX_MEMBERS: usize = 7;
/// Members that never vote.
pub const MAX_OBSERVERS: usize = 32;

/// Who this member is and whom it knows of.
#[derive(Clone, Debug)]
pub struct MemberConfig {
    pub name: String,
    /// Where other members come in; none for one that is alone.
    pub listen: Option<SocketAddr>,
    /// The founding members and where each is reached from here, this one among them.
    pub founders: Vec<(String, SocketAddr)>,
    pub source_ip: Option<IpAddr>,
    pub raft: RaftConfig,
    /// Within this a request is answered, one way or another.
    pub request_timeout: Span,
    pub seed: u64,
    /// The newest format that is spoken: an older one for as long as a roll-out may have to go back.
    pub max_format: u32,
    /// None: there are no duties.
    pub duties: Option<DutyConfig>,
    /// Where the books go, if they are kept.
    pub accounting: Option<AccountingConfig>,
    /// None: nothing is shared.
    pub sharing: Option<SharingConfig>,
    /// Slices of each zone's servers, 0: every planner asks all of them; and how long a probe may take.
    pub probe_slices: (usize, Span),
    /// Who is let in as an observer, and where each is reached from here.
    pub observers: Vec<(String, SocketAddr)>,
    /// It serves watches: others tell it whom they serve.
    pub serves_watches: bool,
}

#[derive(Clone, Debug)]
pub enum Request {
    Command(Command),
    MemberChange(MemberChange),
    /// What the record holds now, or else what is known here.
    LinearizableRead,
    StaleRead,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Committed(u64),
    Rejected(String),
    NoMajority,
    Unknown,
    /// Read it now. Fresh: it holds all that was kept when it was asked for. Otherwise of so long ago.
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
    /// The record was read from a snapshot: what led to it is not known.
    Restored,
    /// The record says something else of these; none: of anything.
    SubjectsChanged(Option<BTreeSet<Subject>>),
    /// The number of this start is on disk.
    StartNumberStored(u64),
    /// About probes, from a member.
    Probe(Id, peer_message::Kind),
    /// Of what members share.
    Sharing(Id, peer_message::Kind),
    /// Whom another control machine serves.
    Roster(String, RosterUpdate),
    /// A way to a member broke.
    PeerLost(Id),
}

struct Waiting {
    token: u64,
    what: Request,
    until: Moment,
    /// When it was last given to somebody.
    given: Option<Moment>,
    /// A read's index, once it is confirmed.
    read_at: Option<Index>,
}

enum Stage {
    /// Its file is being read.
    Opening,
    /// Its file is being made.
    Making,
    /// Its disk is new: it waits for all founders, or to be let in.
    New,
    Member(Box<RaftNode>),
    /// Its disk cannot be believed and there is nobody to learn from.
    Ended,
}

pub struct Member {
    home: MemberConfig,
    rng: fastrand::Rng,
    stage: Stage,
    own: Hello,
    found: Option<disk::Found>,
    disk: Disk,
    peers: Peers,
    /// Starts of other members that were heard of, by name; on disk too.
    seen: BTreeMap<String, Hello>,
    /// The number of this planner's start.
    number: u64,
    pub record: Record,
    waiting: VecDeque<Waiting>,
    /// Reads of other members, by the token given to the machine.
    reads: BTreeMap<u64, (Id, u64)>,
    tokens: u64,
    /// Commands of this leader's that are in the log and not yet committed.
    proposed: BTreeMap<u64, Index>,
    /// Of these, from whom something is taken; and what of a budget is on its way from here.
    taking: BTreeMap<u64, Id>,
    dealing: Option<u64>,
    /// Calls per second at each planner, as far as they are known.
    pub demands: BTreeMap<Id, f64>,
    cleaned: Moment,
    raised: Moment,
    asked_anew: Moment,
    office: Option<Office>,
    /// Who belongs, by others: for as long as this one does not.
    hearsay: Vec<MemberInfo>,
    /// As far as the disk says that entries are committed.
    committed: Index,
    tick_set: Option<Moment>,
    stopping: bool,
    /// Its place is another's by now.
    given_up: bool,
    /// Its door is open and its timers run.
    open: bool,
    pub events: Vec<MemberEvent>,
    /// Where watches are served: all subjects that commands may have changed since they were taken.
    pub touched_subjects: BTreeSet<Subject>,
}

impl Member {
    pub fn new(home: MemberConfig) -> Member {
        let rng = fastrand::Rng::with_seed(home.seed);
        let own = Hello {
            min_format: SUPPORTED_FORMATS.0,
            max_format: home.max_format,
            name: home.name.clone(),
            ..Hello::default()
        };
        let own = Hello {
            lease_ms: home.duties.as_ref().map_or(0, |d| d.lease.duration.0 / 1_000_000),
            shares: home.sharing.is_some(),
            serves_watches: home.serves_watches,
            ..own
        };
        Member {
            peers: Peers::new(home.source_ip),
            disk: Disk::new(format!("{}.record", home.name)),
            rng,
            stage: Stage::Opening,
            own,
            found: None,
            seen: BTreeMap::new(),
            number: 0,
            record: Record::default(),
            waiting: VecDeque::new(),
            reads: BTreeMap::new(),
            tokens: 0,
            proposed: BTreeMap::new(),
            taking: BTreeMap::new(),
            dealing: None,
            demands: BTreeMap::new(),
            cleaned: Moment(0),
            raised: Moment(0),
            asked_anew: Moment(0),
            office: home.duties.clone().map(|duties| {
                let till = home.sharing.map(|shares| Till::new(shares.budget));
                Office::new(duties, till)
            }),
            hearsay: Vec::new(),
            committed: 0,
            tick_set: None,
            stopping: false,
            given_up: false,
            open: false,
            events: Vec::new(),
            touched_subjects: BTreeSet::new(),
            home,
        }
    }

    pub fn owns_link(&self, link: Link) -> bool {
        self.peers.has(link)
    }

    pub fn file_name(&self) -> String {
        format!("{}.record", self.home.name)
    }

    pub fn raft(&self) -> Option<&RaftNode> {
        match &self.stage {
            Stage::Member(agree) => Some(agree),
            _ => None,
        }
    }

    pub fn id(&self) -> Id {
        self.own.id
    }

    /// Of which cluster its record is; 0: it belongs to none yet.
    pub fn cluster_id(&self) -> u64 {
        self.own.cluster_id
    }

    pub fn disk_starts(&self) -> u64 {
        self.own.start
    }

    pub fn last_start_number(&self) -> u64 {
        self.number
    }

    fn alone(&self) -> bool {
        self.home.founders.iter().all(|member| member.0 == self.home.name)
    }

    // ---- links

    /// Who is dialled: founders where the settings say, others where the operator said.
    fn know(&mut self, now: Moment, out: &mut Outbox) {
        let mut wanted: BTreeMap<String, Option<SocketAddr>> = BTreeMap::new();
        match self.raft().filter(|agree| !agree.members().list.is_empty()) {
            Some(agree) => {
                for member in &agree.members().list {
                    wanted.insert(member.name.clone(), member.address.parse().ok());
                }
            }
            None => wanted.extend(self.home.founders.iter().map(|member| (member.0.clone(), None))),
        }
        for (name, at) in &self.home.founders {
            if let Some(known) = wanted.get_mut(name) {
                // Where the operator has said nothing newer, the settings tell.
                *known = known.or(Some(*at));
            }
        }
        if !self.belongs() {
            for seat in &self.hearsay {
                let at = wanted.entry(seat.name.clone()).or_default();
                *at = at.or(seat.address.parse().ok());
            }
        }
        wanted.remove(&self.home.name);
        self.peers.know(now, &wanted, out);
    }

    fn refuse(&mut self, link: Link, refuse: Rejection, out: &mut Outbox) {
        let reason = refuse.reason.clone();
        out.send(link, encode(&PeerMessage::new(peer_message::Kind::Reject(refuse))));
        out.finish(link);
        self.peers.came.remove(&link);
        out.log(Level::Warn, "member_refused", vec![("why", reason)]);
    }

    fn refuse_retired(&mut self, link: Link, id: Id, out: &mut Outbox) {
        let settled = self.raft().is_some_and(|agree| agree.committed_members().retired.contains(&id));
        let refuse = Rejection::new("an older incarnation: its place was given up or to another disk");
        self.refuse(link, Rejection { given_up: settled, ..refuse }, out);
    }

    /// Who was let in before its place was given up is told so: nobody else speaks to it any more.
    fn part(&mut self, out: &mut Outbox) {
        let Some(agree) = self.raft() else { return };
        let members = agree.committed_members();
        let ids = self.peers.came.iter().filter_map(|(link, came)| Some((*link, came.hello.as_ref()?.id)));
        let gone: Vec<(Link, Id)> = ids.filter(|(_, id)| members.retired.contains(id)).collect();
        for (link, id) in gone {
            self.refuse_retired(link, id, out);
        }
    }

    /// A link's first word: who comes, and whether we speak with such a one.
    fn hello(&mut self, link: Link, hello: Hello, out: &mut Outbox) {
        // One that knows less than the record needs would carry out commands as something else.
        let stands = self.record.format();
        if hello.min_format > self.home.max_format || hello.max_format < stands {
            let (lowest, highest) = (hello.min_format, hello.max_format);
            let why =
                format!("speaks formats {lowest} to {highest}, we {stands} to {}", self.home.max_format);
            return self.refuse(link, Rejection::new(&why), out);
        }
        if hello.cluster_id != 0 && self.own.cluster_id != 0 && hello.cluster_id != self.own.cluster_id {
            return self.refuse(link, Rejection::new("of another cluster"), out);
        }
        let members = self.raft().map(|agree| agree.members().clone()).unwrap_or_default();
        // Before its name is looked for: one that was taken out has none any more.
        if members.retired.contains(&hello.id) {
            return self.refuse_retired(link, hello.id, out);
        }
        let known = members.find_by_name(&hello.name).is_some()
            || members.list.is_empty() && self.home.founders.iter().any(|member| member.0 == hello.name);
        let known = known || self.home.observers.iter().any(|observer| observer.0 == hello.name);
        let known = known || !self.belongs() && self.hearsay.iter().any(|seat| seat.name == hello.name);
        if !known || hello.name == self.own.name {
            return self.refuse(link, Rejection::new("a stranger: no member has this name"), out);
        }
        if let Some(seen) = self.seen.get(&hello.name).filter(|seen| seen.id == hello.id) {
            if (hello.start, hello.nonce) != (seen.start, seen.nonce) && hello.start <= seen.start {
                return self.refuse(
                    link,
                    Rejection { old_copy: true, ..Rejection::new("its disk is an older copy of itself") },
                    out,
                );
            }
        }
        let new =
            self.seen.get(&hello.name).is_none_or(|seen| (seen.id, seen.start) != (hello.id, hello.start));
        if new {
            let note = Hello { founders: Vec::new(), bulk: false, ..hello.clone() };
            self.seen.insert(hello.name.clone(), note.clone());
            self.disk.add(vec![DiskRecordKind::PeerSeen(note)], Kept::Note, out);
        }
        let own = self.hello_now();
        out.send(link, encode(&PeerMessage::new(peer_message::Kind::Welcome(own))));
        if let Some(came) = self.peers.came.get_mut(&link) {
            came.hello = Some(hello);
        }
    }

    fn heard(&mut self, now: Moment, link: Link, bytes: &[u8], out: &mut Outbox) {
        match self.peers.heard(link, bytes) {
            Heard::Words(words) => {
                for word in words {
                    self.word(now, link, word, out);
                }
            }
            Heard::Welcome(name, hello) if hello.name != name => {
                let fields = vec![("wanted", name), ("there", hello.name)];
                out.log(Level::Warn, "member_elsewhere", fields);
                out.cut(link);
            }
            Heard::Welcome(_, hello) => self.welcomed(now, &hello, out),
            Heard::Refused(name, refuse) => {
                let fields = vec![("by", name), ("why", refuse.reason)];
                out.log(Level::Warn, "refused_by_member", fields);
                if refuse.given_up {
                    self.give_up(out);
                }
                if refuse.old_copy && !matches!(self.stage, Stage::Making | Stage::Ended) {
                    // What it has acknowledged since is not on this disk: as its old self it must say nothing more.
                    out.log(Level::Error, "record_is_an_old_copy", vec![("file", self.file_name())]);
                    self.make(now, out);
                }
            }
            Heard::Wrong(why) => {
                out.log(Level::Warn, "member_closed", vec![("why", why)]);
                out.cut(link);
            }
        }
        self.carry_out(now, out);
    }

    /// One that is no founder and came before the founders had met was welcomed by nobody who belonged, and stayed out for as
    /// long as its links stood (found with three voters and an observer that start together).
    fn ask_anew(&mut self, now: Moment, out: &mut Outbox) {
        let founds = self.home.founders.iter().any(|member| member.0 == self.home.name);
        if matches!(self.stage, Stage::New) && !founds && now.since(self.asked_anew) >= AGAIN {
            self.asked_anew = now;
            self.peers.ask_anew(now, out);
        }
    }

    /// Who we are, as it is told now.
    fn hello_now(&self) -> Hello {
        let seats =
            self.raft().map(|agree| messages::encode_membership(agree.members()).members).unwrap_or_default();
        Hello { members: seats, ..self.own.clone() }
    }

    fn belongs(&self) -> bool {
        self.raft().is_some_and(|agree| agree.member(self.own.id).is_some())
    }

    fn welcomed(&mut self, now: Moment, hello: &Hello, out: &mut Outbox) {
        if !self.belongs() && !hello.members.is_empty() {
            self.hearsay = hello.members.clone();
        }
        if matches!(self.stage, Stage::New) {
            if hello.cluster_id != 0 {
                self.let_in(now, hello, out);
            } else {
                self.establish(now, out);
            }
        }
    }

    /// A member of a cluster that this new one is to belong to: a founder begins with the others, whoever comes later
    /// has no vote by what the founders said, and learns the rest.
    fn let_in(&mut self, now: Moment, hello: &Hello, out: &mut Outbox) {
        if founders_digest(&hello.founders) == hello.cluster_id {
            self.belong(now, hello.founders.clone(), out);
        }
    }

    fn word(&mut self, now: Moment, link: Link, word: PeerMessage, out: &mut Outbox) {
        let Some(kind) = word.kind else { return };
        let Some(from) = self.peers.came.get(&link).map(|came| came.hello.as_ref().map(|hello| hello.id))
        else {
            return;
        };
        let (from, kind) = match (from, kind) {
            (None, peer_message::Kind::Hello(hello)) => return self.hello(link, hello, out),
            (None, _) => return self.refuse(link, Rejection::new("the first word is no hello"), out),
            (Some(from), kind) => (from, kind),
        };
        if let peer_message::Kind::Roster(told) = kind {
            // From whom a hello was taken, also before it is known here as seated, and whatever the stage: each of these words
            // goes on from the one before it.
            let name = self.peers.came.get(&link).and_then(|came| Some(came.hello.as_ref()?.name.clone()));
            return self.events.extend(
                name.filter(|_| self.home.serves_watches).map(|name| MemberEvent::Roster(name, told)),
            );
        }
        let Stage::Member(agree) = &mut self.stage else { return };
        match kind {
            peer_message::Kind::Raft(agreeing) => {
                if let Ok(message) = messages::decode_raft(agreeing) {
                    agree.receive(now, from, message);
                }
            }
            peer_message::Kind::Command(bytes) => {
                if let Ok(command) = Command::decode(bytes.as_slice()) {
                    self.propose(&command);
                }
            }
            peer_message::Kind::MemberChange(change) => drop(self.change(now, &change)),
            peer_message::Kind::ReadIndexRequest(token) => {
                self.tokens += 1;
                if self.reads.len() < MOST_WAITING && agree.request_read(now, self.tokens).is_ok() {
                    self.reads.insert(self.tokens, (from, token));
                }
            }
            peer_message::Kind::ReadIndex(read) => {
                if self.office.as_mut().is_some_and(|office| office.read_at(read.token, read.index)) {
                    return self.tend(now, out);
                }
                let waiting = self.waiting.iter_mut().find(|waiting| waiting.token == read.token);
                if let Some(waiting) =
                    waiting.filter(|waiting| matches!(waiting.what, Request::LinearizableRead))
                {
                    waiting.read_at = Some(read.index);
                }
            }
            kind @ (peer_message::Kind::ProbeRequest(_)
            | peer_message::Kind::ProbeAccepted(_)
            | peer_message::Kind::ProbeResult(_)) => {
                // Told and lost, the one who asked asks for itself.
                if self.events.len() < MOST_WAITING {
                    self.events.push(MemberEvent::Probe(from, kind));
                }
            }
            kind @ (peer_message::Kind::Gossip(_)
            | peer_message::Kind::CountsRequest(_)
            | peer_message::Kind::CountsResponse(_)
            | peer_message::Kind::Evidence(_)) => {
                // Told and lost, it is told again.
                if self.events.len() < MOST_WAITING {
                    self.events.push(MemberEvent::Sharing(from, kind));
                }
            }
            peer_message::Kind::LeaseRenewal(renew) => self.renews(now, from, renew),
            peer_message::Kind::HandoffRequest(asked) => self.hand_on(now, &asked, out),
            peer_message::Kind::Hello(_)
            | peer_message::Kind::Welcome(_)
            | peer_message::Kind::Reject(_)
            | peer_message::Kind::Roster(_) => {}
        }
    }

    fn house(&mut self, now: Moment, out: &mut Outbox) {
        out.set_timer(HOUSE, now + HOUSEKEEPING);
        self.know(now, out);
        self.ask_anew(now, out);
        self.peers.dial(now, out);
        self.part(out);
        self.lead(now, out);
        self.note_committed(out);
        let id = self.own.id;
        if let Stage::Member(agree) = &self.stage {
            let members = agree.committed_members();
            if members.retired.contains(&id) {
                self.give_up(out);
            }
        }
        self.turn(now, out);
        self.tend(now, out);
        self.give_all(now, out);
        self.carry_out(now, out);
        self.answer(now, now);
    }

    /// Carries out what the machine wants.
    fn carry_out(&mut self, now: Moment, out: &mut Outbox) {
        let mut touched = Some(BTreeSet::new());
        let mut applied = false;
        loop {
            let Stage::Member(agree) = &mut self.stage else { return };
            let effects = agree.take_actions(now);
            if effects.is_empty() {
                break;
            }
            for effect in effects {
                match effect {
                    Does::Send { to, message } => {
                        let entries = match &message.payload {
                            pewtergap_raft::Payload::AppendEntries { entries, .. } => !entries.is_empty(),
                            say => matches!(say, pewtergap_raft::Payload::SnapshotChunk { .. }),
                        };
                        let lane = if entries { Lane::Bulk } else { Lane::Urgent };
                        let word = peer_message::Kind::Raft(messages::encode_raft(&message));
                        self.peers.send(to, lane, word, out);
                    }
                    Does::Save { ticket, records: rows, replace_all: anew } => {
                        let rows = rows.iter().map(messages::encode_record);
                        if anew {
                            let mut all = disk::head(&self.own, &self.seen, self.number);
                            all.extend(rows);
                            // The new file has none of it; it is told again at the next look.
                            self.committed = 0;
                            self.disk.anew(all, Kept::Agreed(ticket), out);
                        } else {
                            self.disk.add(rows.collect(), Kept::Agreed(ticket), out);
                        }
                    }
                    Does::Commit { index, entry } => {
                        if let Body::Command(bytes) = entry.body {
                            if let Ok(command) = Command::decode(bytes.as_slice()) {
                                if self.home.serves_watches {
                                    self.touched_subjects.extend(self.record.affected_subjects(&command));
                                }
                                self.record.apply(index, &command);
                                applied = true;
                                self.proposed.remove(&command.id);
                                self.taking.remove(&command.id);
                                let whole = matches!(
                                    command.kind,
                                    Some(CommandKind::Cleanup(_) | CommandKind::RolloutStep(_))
                                );
                                touched = touched.filter(|_| !whole);
                                touched.iter_mut().for_each(|all| all.extend(command.subject()));
                            }
                        }
                    }
                    Does::Restore(snapshot) => match Record::decode_snapshot(&snapshot.data) {
                        Ok(record) => {
                            (self.record, touched) = (record, None);
                            self.touched_subjects.clear();
                            self.events.push(MemberEvent::Restored);
                        }
                        Err(why) => return self.end(out, "record_refused", &why),
                    },
                    Does::ReadReady { token, index } => match self.reads.remove(&token) {
                        Some((from, token)) if from == self.own.id => {
                            if self.office.as_mut().is_some_and(|office| office.read_at(token, index)) {
                                continue;
                            }
                            let waiting = self.waiting.iter_mut().find(|waiting| waiting.token == token);
                            waiting.into_iter().for_each(|waiting| waiting.read_at = Some(index));
                        }
                        Some((from, token)) => {
                            let word = peer_message::Kind::ReadIndex(ReadIndex { token, index });
                            self.peers.send(from, Lane::Urgent, word, out);
                        }
                        None => {}
                    },
                    Does::ReadFailed { token } => {
                        let own = self.reads.remove(&token).filter(|read| read.0 == self.own.id);
                        let waiting =
                            self.waiting.iter_mut().find(|w| own.is_some_and(|own| w.token == own.1));
                        waiting.into_iter().for_each(|waiting| waiting.given = None);
                    }
                    Does::LogRegressed { id } => self.went_back(id, out),
                    Does::RoleChanged => self.turned(out),
                }
            }
        }
        if self.record.format() > self.home.max_format {
            return self.too_new(out);
        }
        self.proposed_by_no_leader();
        self.compact(out);
        self.answer(now, Moment(0));
        if touched.as_ref().is_none_or(|touched| !touched.is_empty()) {
            self.events.push(MemberEvent::SubjectsChanged(touched));
        }
        if applied {
            self.tend(now, out);
            // What came of it goes out at once; it ends when nothing more is committed.
            return self.carry_out(now, out);
        }
        self.set_tick(now, out);
    }

    fn proposed_by_no_leader(&mut self) {
        let leads = self.raft().is_some_and(|agree| agree.role() == Role::Leader);
        if !leads {
            self.proposed.clear();
            self.taking.clear();
        }
    }

    fn compact(&mut self, out: &mut Outbox) {
        let Stage::Member(agree) = &mut self.stage else { return };
        if agree.entry_count() < COMPACTED.0 + COMPACTED.1 as usize {
            return;
        }
        let (index, data) = (agree.applied_index(), self.record.encode_snapshot());
        let fields = vec![("index", index.to_string()), ("bytes", data.len().to_string())];
        agree.compact(index, data, COMPACTED.1);
        out.log(Level::Debug, "record_compacted", fields);
    }

    /// A member has less on its disk than it acknowledged to this leader.
    fn went_back(&mut self, id: Id, out: &mut Outbox) {
        let links: Vec<Link> = self
            .peers
            .came
            .iter()
            .filter(|came| came.1.hello.as_ref().is_some_and(|hello| hello.id == id))
            .map(|came| *came.0)
            .collect();
        for link in links {
            self.refuse(
                link,
                Rejection { old_copy: true, ..Rejection::new("its disk lacks what it acknowledged") },
                out,
            );
        }
        if let Some(seen) = self.seen.values_mut().find(|seen| seen.id == id) {
            // Whatever start it comes with: this disk is an older copy.
            seen.start = u64::MAX;
            seen.nonce = 0;
        }
    }

    fn turned(&mut self, out: &mut Outbox) {
        let Stage::Member(agree) = &self.stage else { return };
        let leader = agree.leader().and_then(|id| agree.member(id)).map_or("nobody", |m| m.name.as_str());
        let fields = vec![
            ("role", format!("{:?}", agree.role())),
            ("term", agree.term().to_string()),
            ("leader", leader.to_string()),
        ];
        out.log(Level::Info, "leads", fields);
    }

    fn set_tick(&mut self, now: Moment, out: &mut Outbox) {
        let Stage::Member(agree) = &self.stage else { return };
        let due = agree.next_tick().max(now);
        if self.tick_set.is_none_or(|set| set > due || set <= now) {
            self.tick_set = Some(due);
            out.set_timer(TICK, due);
        }
    }

    /// The number of a start: `Told::Numbered` once it is on disk, so that nobody hears it before.
    pub fn use_start_number(&mut self, number: u64, out: &mut Outbox) -> bool {
        // Before its file is read nothing may be written: it would be cut back to nothing.
        if matches!(self.stage, Stage::Opening | Stage::Ended) {
            return false;
        }
        self.number = number;
        self.disk.add(
            vec![DiskRecordKind::StartNumber(LogPosition { term: 0, index: number })],
            Kept::Number,
            out,
        );
        true
    }

    fn note_committed(&mut self, out: &mut Outbox) {
        let commit = self.raft().map_or(0, RaftNode::commit_index);
        if commit != self.committed {
            self.committed = commit;
            self.disk.add(vec![DiskRecordKind::Committed(commit)], Kept::Note, out);
        }
    }

    /// It gives nothing to anybody any more; its planner goes on by what it knew.
    fn give_up(&mut self, out: &mut Outbox) {
        self.given_up = true;
        if !std::mem::replace(&mut self.stopping, true) {
            let why = "its place was given up or to another disk";
            out.log(Level::Error, "record_given_up", vec![("why", why.into())]);
        }
    }

    /// Leadership goes to another one, if there is one.
    pub fn stop(&mut self, now: Moment, out: &mut Outbox) {
        self.stopping = true;
        self.hand_all(now, out);
        if let Stage::Member(agree) = &mut self.stage {
            if agree.transfer_leadership(now) {
                out.log(Level::Info, "leadership_handed_over", Vec::new());
            }
        }
        self.note_committed(out);
        self.carry_out(now, out);
    }

    /// Who belongs and shares, ourselves apart, as far as a way to them stands or stood.
    pub fn sharing_peers(&self) -> BTreeMap<Id, String> {
        let members = self.raft().map(|agree| agree.committed_members()).unwrap_or_default();
        let shares = |member: &Seated| member.id != 0 && member.id != self.own.id && !member.is_observer;
        let others = members.list.into_iter().filter(shares);
        others.map(|member| (member.id, member.name)).collect()
    }

    /// Tells a member something of what is shared, if it knows such words. Long ones wait behind nothing that is urgent.
    pub fn send_sharing(&self, to: Id, kind: peer_message::Kind, out: &mut Outbox) -> bool {
        let lane = if matches!(kind, peer_message::Kind::Gossip(_)) { Lane::Urgent } else { Lane::Bulk };
        let knows = self.peers.welcomes().iter().any(|hello| hello.id == to && hello.shares);
        knows && self.peers.send(to, lane, kind, out)
    }

    /// Others that belong, serve watches and can be told something now.
    pub fn control_machines(&self) -> BTreeMap<Id, String> {
        let Some(agree) = self.raft() else { return BTreeMap::new() };
        let serve =
            self.peers.bulk_ways().filter(|hello| hello.serves_watches && agree.member(hello.id).is_some());
        serve.map(|hello| (hello.id, hello.name.clone())).collect()
    }

    /// Tells another control machine whom this one serves.
    pub fn send_roster(&self, to: Id, told: RosterUpdate, out: &mut Outbox) -> bool {
        self.peers.send(to, Lane::Bulk, peer_message::Kind::Roster(told), out)
    }

    pub fn random_id(&mut self) -> u64 {
        self.rng.u64(1..)
    }

    /// Who belongs, and what is known of each here.
    pub fn member_views(&self, now: Moment) -> Vec<MemberView> {
        let Some(agree) = self.raft() else { return Vec::new() };
        let view = |member: &Seated| {
            let progress = agree.progress(member.id);
            let here = member.id == self.own.id;
            MemberView {
                name: member.name.clone(),
                id: format!("{:016x}", member.id),
                votes: member.is_voter,
                observes: member.is_observer,
                leads: agree.leader() == Some(member.id),
                here,
                linked: here || self.peers.welcome(&member.name).is_some_and(|hello| hello.id == member.id),
                matched: if here { Some(agree.last().1) } else { progress.map(|progress| progress.0) },
                heard_ms: progress.map(|progress| now.since(progress.1).0 / 1_000_000),
                refused: self.peers.refused(&member.name).map(str::to_string),
            }
        };
        agree.members().list.iter().map(view).collect()
    }

    /// Its inputs; the service beside it has all others.
    pub fn handle(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) {
        if matches!(self.stage, Stage::Ended) {
            return;
        }
        match input {
            Input::Start => out.push(Effect::ReadFile { name: self.file_name() }),
            Input::File { bytes, .. } => self.opened(now, bytes, out),
            Input::Synced { ticket, result } => self.synced(now, ticket, result, out),
            Input::Listening { at, .. } => {
                out.log(Level::Info, "listening", vec![("door", "members".into()), ("at", at.to_string())]);
            }
            Input::NotListening { why, .. } => self.end(out, "not_listening", &why),
            Input::Accepted { link, .. } => self.peers.accepted(now, link, out),
            Input::Opened { link } => {
                let own = self.hello_now();
                self.peers.opened(link, &own, out);
            }
            Input::Bytes { link, bytes } => self.heard(now, link, bytes, out),
            Input::Closed { link, .. } => {
                let lost = self.peers.closed(now, link);
                if let (Some(id), Stage::Member(agree)) = (lost, &mut self.stage) {
                    agree.on_connection_lost(id);
                    self.events.push(MemberEvent::PeerLost(id));
                }
            }
            Input::TimerFired { timer: TICK } => {
                if let Stage::Member(agree) = &mut self.stage {
                    agree.tick(now);
                }
                self.carry_out(now, out);
            }
            Input::TimerFired { timer: HOUSE } => self.house(now, out),
            _ => {}
        }
    }
}

/// A member as operators see it.
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

/// A cluster's number, from who founded it: whoever has other founders is of another.
pub fn founders_digest(founders: &[MemberInfo]) -> u64 {
    let bytes: Vec<u8> = founders.iter().flat_map(|seat| seat.encode_length_delimited_to_vec()).collect();
    xxhash_rust::xxh3::xxh3_64(&bytes).max(1)
}
