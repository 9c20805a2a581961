//! A member driven step by step: which peers it accepts, and how it treats its state file.

use pewtergap_member::messages::{peer_message, Hello, MemberInfo, PeerMessage, Rejection};
use pewtergap_member::{Member, MemberConfig};
use pewtergap_node::{Effect, Input, Link, Outbox, NO_FILE};
use pewtergap_protocol::{encode, FrameReader};
use pewtergap_raft::RaftConfig;
use pewtergap_time::{Moment, Span};
use std::net::SocketAddr;

const START: Moment = Moment(1_700_000_000_000_000_000);

struct Harness {
    member: Member,
    out: Outbox,
    now: Moment,
    timers: Vec<(Moment, u64)>,
    file: Vec<u8>,
    /// Writes and syncs succeed.
    disk_works: bool,
    /// Syncs not yet completed, while the disk is slow.
    slow_syncs: Option<Vec<u64>>,
    connections: Vec<Link>,
    observed: Vec<String>,
}

impl Harness {
    fn new(members: &[&str], file: Option<Vec<u8>>) -> Harness {
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        let config = MemberConfig {
            name: "a".into(),
            listen: (members.len() > 1).then_some(address),
            founders: members.iter().map(|name| (name.to_string(), address)).collect(),
            source_ip: None,
            raft: RaftConfig { heartbeat_interval: Span::millis(50), election_timeout: Span::millis(300) },
            request_timeout: Span::millis(1_000),
            seed: if file.is_some() { 10 } else { 9 },
            max_format: 2,
            duties: None,
            accounting: None,
            sharing: None,
            probe_slices: (0, Span(0)),
            observers: Vec::new(),
            serves_watches: false,
        };
        let member = Member::new(config);
        let (out, timers, observed) = (Outbox::default(), Vec::new(), Vec::new());
        let mut harness = Harness {
            member,
            out,
            now: START,
            timers,
            file: Vec::new(),
            disk_works: true,
            slow_syncs: None,
            connections: Vec::new(),
            observed,
        };
        harness.input(Input::Start);
        match file {
            Some(bytes) => {
                harness.file = bytes.clone();
                harness.input(Input::File { name: "a.record", bytes: Ok(&bytes) });
            }
            None => harness.input(Input::File { name: "a.record", bytes: Err(NO_FILE.into()) }),
        }
        harness
    }

    fn input(&mut self, input: Input<'_>) {
        self.member.handle(self.now, input, &mut self.out);
        for effect in std::mem::take(&mut self.out.effects) {
            match effect {
                Effect::Connect { link, .. } => self.connections.push(link),
                Effect::SetTimer { timer, at } => self.timers.push((at, timer)),
                Effect::ReplaceFile { bytes, ticket, .. } => {
                    self.file = bytes;
                    self.synced(ticket);
                }
                Effect::Append { at, bytes, ticket, .. } => {
                    self.file.truncate(at as usize);
                    self.file.extend(bytes);
                    self.synced(ticket);
                }
                Effect::Log(line) => {
                    let why =
                        line.fields.iter().filter(|field| field.0 == "why").map(|field| field.1.as_str());
                    self.observed
                        .push(format!("{} {}", line.event, why.collect::<String>()).trim().to_string());
                }
                Effect::Send { bytes, .. } => {
                    let mut frames: FrameReader<PeerMessage> = FrameReader::default();
                    frames.push(&bytes);
                    let kind = frames.next_message().ok().flatten().and_then(|message| message.kind);
                    match kind {
                        Some(peer_message::Kind::Reject(rejection)) => {
                            self.observed.push(format!("rejected: {}", rejection.reason))
                        }
                        Some(peer_message::Kind::Welcome(_)) => self.observed.push("welcome".into()),
                        _ => {}
                    }
                }
                Effect::Exit { code } => self.observed.push(format!("exit {code}")),
                _ => {}
            }
        }
    }

    fn synced(&mut self, ticket: u64) {
        if let Some(slow_syncs) = &mut self.slow_syncs {
            return slow_syncs.push(ticket);
        }
        let result = if self.disk_works { Ok(()) } else { Err("no space left on device".to_string()) };
        self.input(Input::Synced { ticket, result });
    }

    fn advance(&mut self, ms: u64) {
        let end = self.now + Span::millis(ms);
        while let Some(at) = (0..self.timers.len()).min_by_key(|at| self.timers[*at]) {
            if self.timers[at].0 > end {
                break;
            }
            let (when, timer) = self.timers.remove(at);
            self.now = self.now.max(when);
            self.input(Input::TimerFired { timer });
        }
        self.now = end;
    }

    /// A peer connects and sends this hello; returns the reply and the log events.
    fn connect(&mut self, hello: Hello) -> String {
        let link: Link = self.out.link();
        let from = SocketAddr::from(([127, 0, 0, 9], 9));
        self.observed.clear();
        self.input(Input::Accepted { link, listener: 16, from });
        let bytes = encode(&PeerMessage::new(peer_message::Kind::Hello(hello)));
        self.input(Input::Bytes { link, bytes: &bytes });
        self.observed.join(", ")
    }
}

fn hello(name: &str, id: u64, start: u64) -> Hello {
    Hello { min_format: 1, max_format: 1, name: name.into(), id, start, nonce: start * 7, ..Hello::default() }
}

#[test]
fn unknown_names_other_clusters_formats_and_older_disks_are_rejected_with_the_reason() {
    let mut harness = Harness::new(&["a", "b", "c"], None);
    let mut results = vec![
        ("an unknown name", harness.connect(hello("x", 5, 1))),
        ("our own name", harness.connect(hello("a", 5, 1))),
        ("a newer format", harness.connect(Hello { min_format: 3, max_format: 4, ..hello("b", 5, 1) })),
        ("a newer format among others", harness.connect(Hello { max_format: 3, ..hello("b", 5, 3) })),
        ("the same start again", harness.connect(hello("b", 5, 3))),
        ("an earlier start of that disk", harness.connect(hello("b", 5, 2))),
        ("the same start, another nonce", harness.connect(Hello { nonce: 99, ..hello("b", 5, 3) })),
        ("a new disk", harness.connect(hello("b", 6, 1))),
        ("no id", harness.connect(hello("c", 0, 1))),
    ];
    // A single member has founded a cluster of its own.
    let mut other = Harness::new(&["a"], None);
    other.advance(1_000);
    results.push(("another cluster", other.connect(Hello { cluster_id: 77, ..hello("b", 5, 1) })));
    let results: Vec<String> =
        results.into_iter().map(|(peer, result)| format!("{peer}: {result}")).collect();
    insta::assert_snapshot!(results.join("\n"));
}

#[test]
fn a_state_file_that_fails_a_sync_is_not_trusted_again() {
    let mut harness = Harness::new(&["a"], None);
    harness.advance(500);
    assert!(harness.member.raft().is_some_and(|raft| raft.commit_index() > 0), "it has founded its cluster");
    harness.disk_works = false;
    harness.observed.clear();
    let number = harness.now.0;
    harness.member.use_start_number(number, &mut harness.out);
    harness.input(Input::Reload);
    assert_eq!(harness.observed, ["record_not_synced no space left on device", "exit 4"]);
    // After the failure it does nothing more.
    harness.observed.clear();
    harness.disk_works = true;
    harness.advance(2_000);
    assert_eq!(harness.observed, [""; 0]);
}

#[test]
fn the_state_file_decides_how_a_member_starts() {
    let mut first = Harness::new(&["a", "b", "c"], None);
    first.advance(100);
    first.connect(hello("b", 5, 1));
    let (id, file) = (first.member.id(), first.file.clone());
    let mut results = Vec::new();
    let mut start = |case: &str, members: &[&str], file: Vec<u8>| {
        let harness = Harness::new(members, Some(file));
        let same = if harness.member.id() == id { "the same" } else { "another" };
        results.push(format!("{case}: {same}, {}", harness.observed.join(", ")));
    };
    let flipped = |at: usize| {
        let mut bytes = file.clone();
        bytes[at] ^= 4;
        bytes
    };
    start("unchanged", &["a", "b", "c"], file.clone());
    start("cut off within a record", &["a", "b", "c"], file[..file.len() - 3].to_vec());
    start("damaged, with other members", &["a", "b", "c"], flipped(30));
    start("damaged, single member", &["a"], flipped(30));
    start("not a state file", &["a", "b", "c"], b"{\"items\":[]}".to_vec());
    let mut harness = Harness::new(&["a", "b", "c"], None);
    harness.observed.clear();
    harness.input(Input::File { name: "a.record", bytes: Err("permission denied".into()) });
    results.push(format!("unreadable: {}", harness.observed.join(", ")));
    insta::assert_snapshot!(results.join("\n"));
}

#[test]
fn a_member_welcomed_while_its_file_was_being_created_still_joins() {
    let mut harness = Harness::new(&["a", "b", "c"], None);
    let send = |harness: &mut Harness, link: Link, kind: peer_message::Kind| {
        let bytes = encode(&PeerMessage::new(kind));
        harness.input(Input::Opened { link });
        harness.input(Input::Bytes { link, bytes: &bytes });
    };
    harness.advance(100);
    // A peer reports that this disk is an old copy: the member creates a new file, on a slow disk.
    harness.slow_syncs = Some(Vec::new());
    let rejection = Rejection { old_copy: true, ..Rejection::new("its disk is an older copy of itself") };
    let link = harness.connections[0];
    send(&mut harness, link, peer_message::Kind::Reject(rejection));
    let before = harness.connections.len();
    harness.advance(1_500);
    assert!(harness.connections.len() > before, "it connects again");
    let founders: Vec<MemberInfo> = (5..8)
        .map(|id| MemberInfo {
            id,
            name: format!("m{id}"),
            address: String::new(),
            is_voter: true,
            is_observer: false,
        })
        .collect();
    let cluster_id = pewtergap_member::founders_digest(&founders);
    for link in harness.connections.clone().into_iter().skip(before) {
        for name in ["b", "c"] {
            let welcome = Hello { cluster_id, founders: founders.clone(), ..hello(name, 5, 1) };
            send(&mut harness, link, peer_message::Kind::Welcome(welcome));
        }
    }
    assert!(harness.member.raft().is_none(), "its file is not on disk yet");
    harness.slow_syncs.take().into_iter().flatten().for_each(|ticket| harness.synced(ticket));
    assert!(harness.member.raft().is_some(), "it has joined");
}

/// A leader without sharing in its own settings never re-examined pending budget shifts. A planner that had
/// returned units was then no longer renewed, and lost its duties.
#[test]
fn a_planner_that_returned_budget_units_is_renewed_again_once_that_is_committed() {
    use pewtergap_member::Request;
    use pewtergap_record::{BudgetShift, Command, CommandKind};
    use pewtergap_shares::Shift;
    let mut harness = Harness::new(&["a"], None);
    harness.advance(1_000);
    for (id, shift) in [
        (1, Shift::Claim { by: 7, start: 1, base: 100_000, founders: 1, founded: true }),
        (2, Shift::Back { from: 7, units: 1, number: 1 }),
    ] {
        let kind = Some(CommandKind::BudgetShift(BudgetShift::of("cold", &shift)));
        let command = Command { id, issued_at_ms: harness.now.0 / 1_000_000, kind };
        harness.disk_works = true;
        harness.slow_syncs = Some(Vec::new());
        harness.member.request(harness.now, id, Request::Command(command), &mut harness.out);
        harness.input(Input::TimerFired { timer: u64::MAX });
        assert_eq!(harness.member.is_taking_from(7), id == 2, "while it is not on disk");
        let tickets = harness.slow_syncs.take().unwrap_or_default();
        tickets.into_iter().for_each(|ticket| harness.synced(ticket));
        harness.advance(200);
        assert!(!harness.member.is_taking_from(7));
        assert!(harness.member.record.past_outcome(id).is_some());
    }
}

#[test]
fn a_member_that_is_no_observer_is_encoded_as_by_builds_without_observers() {
    // The cluster id is a hash of these bytes: with other bytes a new build would compute another cluster id
    // than the one on its disk.
    let bytes = prost::Message::encode_to_vec(&MemberInfo::founder(5, "m"));
    assert_eq!(bytes, [9, 5, 0, 0, 0, 0, 0, 0, 0, 18, 1, b'm', 32, 1]);
}
