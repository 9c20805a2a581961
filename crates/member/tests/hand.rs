//! A member fed by hand: whom it speaks with, and what it believes of its disk.

use pewtergap_member::messages::{peer_message, Hello, MemberInfo, PeerMessage, Rejection};
use pewtergap_member::{Member, MemberConfig};
use pewtergap_node::{Effect, Input, Link, Outbox, NO_FILE};
use pewtergap_protocol::{encode, FrameReader};
use pewtergap_raft::RaftConfig;
use pewtergap_time::{Moment, Span};
use std::net::SocketAddr;

const START: Moment = Moment(1_700_000_000_000_000_000);

struct Hand {
    member: Member,
    out: Outbox,
    now: Moment,
    due: Vec<(Moment, u64)>,
    file: Vec<u8>,
    /// Writes and syncs go on.
    disk: bool,
    /// Syncs that are not answered yet, while the disk is slow.
    slow: Option<Vec<u64>>,
    dialled: Vec<Link>,
    seen: Vec<String>,
}

impl Hand {
    fn new(members: &[&str], file: Option<Vec<u8>>) -> Hand {
        let at = SocketAddr::from(([127, 0, 0, 1], 1));
        let post = MemberConfig {
            name: "a".into(),
            listen: (members.len() > 1).then_some(at),
            founders: members.iter().map(|name| (name.to_string(), at)).collect(),
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
        let member = Member::new(post);
        let (out, due, seen) = (Outbox::default(), Vec::new(), Vec::new());
        let mut hand = Hand {
            member,
            out,
            now: START,
            due,
            file: Vec::new(),
            disk: true,
            slow: None,
            dialled: Vec::new(),
            seen,
        };
        hand.give(Input::Start);
        match file {
            Some(bytes) => {
                hand.file = bytes.clone();
                hand.give(Input::File { name: "a.record", bytes: Ok(&bytes) });
            }
            None => hand.give(Input::File { name: "a.record", bytes: Err(NO_FILE.into()) }),
        }
        hand
    }

    fn give(&mut self, input: Input<'_>) {
        self.member.handle(self.now, input, &mut self.out);
        for effect in std::mem::take(&mut self.out.effects) {
            match effect {
                Effect::Connect { link, .. } => self.dialled.push(link),
                Effect::SetTimer { timer, at } => self.due.push((at, timer)),
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
                    self.seen.push(format!("{} {}", line.event, why.collect::<String>()).trim().to_string());
                }
                Effect::Send { bytes, .. } => {
                    let mut frames: FrameReader<PeerMessage> = FrameReader::default();
                    frames.push(&bytes);
                    let word = frames.next_message().ok().flatten().and_then(|word| word.kind);
                    match word {
                        Some(peer_message::Kind::Reject(refuse)) => {
                            self.seen.push(format!("refused: {}", refuse.reason))
                        }
                        Some(peer_message::Kind::Welcome(_)) => self.seen.push("welcome".into()),
                        _ => {}
                    }
                }
                Effect::Exit { code } => self.seen.push(format!("exit {code}")),
                _ => {}
            }
        }
    }

    fn synced(&mut self, ticket: u64) {
        if let Some(slow) = &mut self.slow {
            return slow.push(ticket);
        }
        let result = if self.disk { Ok(()) } else { Err("no space left on device".to_string()) };
        self.give(Input::Synced { ticket, result });
    }

    fn pass(&mut self, ms: u64) {
        let end = self.now + Span::millis(ms);
        while let Some(at) = (0..self.due.len()).min_by_key(|at| self.due[*at]) {
            if self.due[at].0 > end {
                break;
            }
            let (when, timer) = self.due.remove(at);
            self.now = self.now.max(when);
            self.give(Input::TimerFired { timer });
        }
        self.now = end;
    }

    /// Somebody comes in and says this first; what was said to it.
    fn comes(&mut self, hello: Hello) -> String {
        let link: Link = self.out.link();
        let from = SocketAddr::from(([127, 0, 0, 9], 9));
        self.seen.clear();
        self.give(Input::Accepted { link, listener: 16, from });
        let bytes = encode(&PeerMessage::new(peer_message::Kind::Hello(hello)));
        self.give(Input::Bytes { link, bytes: &bytes });
        self.seen.join(", ")
    }
}

fn hello(name: &str, id: u64, start: u64) -> Hello {
    Hello { min_format: 1, max_format: 1, name: name.into(), id, start, nonce: start * 7, ..Hello::default() }
}

#[test]
fn strangers_other_clusters_formats_and_older_disks_are_refused_with_the_reason() {
    let mut hand = Hand::new(&["a", "b", "c"], None);
    let mut told = vec![
        ("a name of nobody", hand.comes(hello("x", 5, 1))),
        ("our own name", hand.comes(hello("a", 5, 1))),
        ("a newer format", hand.comes(Hello { min_format: 3, max_format: 4, ..hello("b", 5, 1) })),
        ("one that speaks a newer one too", hand.comes(Hello { max_format: 3, ..hello("b", 5, 3) })),
        ("the same start again", hand.comes(hello("b", 5, 3))),
        ("an earlier start of that disk", hand.comes(hello("b", 5, 2))),
        ("the same start, drawn anew", hand.comes(Hello { nonce: 99, ..hello("b", 5, 3) })),
        ("a new disk", hand.comes(hello("b", 6, 1))),
        ("no id", hand.comes(hello("c", 0, 1))),
    ];
    // Alone in a cluster of its own, it is of another one than they are.
    let mut other = Hand::new(&["a"], None);
    other.pass(1_000);
    told.push(("of another cluster", other.comes(Hello { cluster_id: 77, ..hello("b", 5, 1) })));
    let told: Vec<String> = told.into_iter().map(|(who, said)| format!("{who}: {said}")).collect();
    insta::assert_snapshot!(told.join("\n"));
}

#[test]
fn a_disk_that_fails_a_sync_is_not_believed_again() {
    let mut hand = Hand::new(&["a"], None);
    hand.pass(500);
    assert!(hand.member.raft().is_some_and(|agree| agree.commit_index() > 0), "it has begun");
    hand.disk = false;
    hand.seen.clear();
    let number = hand.now.0;
    hand.member.use_start_number(number, &mut hand.out);
    hand.give(Input::Reload);
    assert_eq!(hand.seen, ["record_not_synced no space left on device", "exit 4"]);
    // Whatever comes then: it says nothing more.
    hand.seen.clear();
    hand.disk = true;
    hand.pass(2_000);
    assert_eq!(hand.seen, [""; 0]);
}

#[test]
fn what_a_start_finds_decides_what_it_is() {
    let mut first = Hand::new(&["a", "b", "c"], None);
    first.pass(100);
    first.comes(hello("b", 5, 1));
    let (id, file) = (first.member.id(), first.file.clone());
    let mut told = Vec::new();
    let mut start = |what: &str, members: &[&str], file: Vec<u8>| {
        let hand = Hand::new(members, Some(file));
        let same = if hand.member.id() == id { "the same" } else { "another" };
        told.push(format!("{what}: {same}, {}", hand.seen.join(", ")));
    };
    let flipped = |at: usize| {
        let mut bytes = file.clone();
        bytes[at] ^= 4;
        bytes
    };
    start("as it was", &["a", "b", "c"], file.clone());
    start("cut off in a row", &["a", "b", "c"], file[..file.len() - 3].to_vec());
    start("damaged, others to learn from", &["a", "b", "c"], flipped(30));
    start("damaged, alone", &["a"], flipped(30));
    start("of something else", &["a", "b", "c"], b"{\"items\":[]}".to_vec());
    let mut hand = Hand::new(&["a", "b", "c"], None);
    hand.seen.clear();
    hand.give(Input::File { name: "a.record", bytes: Err("permission denied".into()) });
    told.push(format!("unreadable: {}", hand.seen.join(", ")));
    insta::assert_snapshot!(told.join("\n"));
}

#[test]
fn who_was_welcomed_while_its_file_was_still_being_made_joins_all_the_same() {
    let mut hand = Hand::new(&["a", "b", "c"], None);
    let say = |hand: &mut Hand, link: Link, kind: peer_message::Kind| {
        let bytes = encode(&PeerMessage::new(kind));
        hand.give(Input::Opened { link });
        hand.give(Input::Bytes { link, bytes: &bytes });
    };
    hand.pass(100);
    // Another says that this disk is an old copy: it begins anew, and the disk takes its time.
    hand.slow = Some(Vec::new());
    let refuse = Rejection { old_copy: true, ..Rejection::new("its disk is an older copy of itself") };
    let link = hand.dialled[0];
    say(&mut hand, link, peer_message::Kind::Reject(refuse));
    let before = hand.dialled.len();
    hand.pass(1_500);
    assert!(hand.dialled.len() > before, "it dials again");
    let founders: Vec<MemberInfo> = (5..8)
        .map(|id| MemberInfo {
            id,
            name: format!("m{id}"),
            address: String::new(),
            is_voter: true,
            is_observer: false,
        })
        .collect();
    let cluster = pewtergap_member::founders_digest(&founders);
    for link in hand.dialled.clone().into_iter().skip(before) {
        for name in ["b", "c"] {
            let welcome = Hello { cluster_id: cluster, founders: founders.clone(), ..hello(name, 5, 1) };
            say(&mut hand, link, peer_message::Kind::Welcome(welcome));
        }
    }
    assert!(hand.member.raft().is_none(), "its file is not there yet");
    hand.slow.take().into_iter().flatten().for_each(|ticket| hand.synced(ticket));
    assert!(hand.member.raft().is_some(), "it belongs now");
}

/// A leader whose own settings share nothing never looked again at what was on its way: whoever had handed a part back was
/// renewed no more, and lost its duties by it.
#[test]
fn a_planner_that_handed_a_part_back_is_renewed_again_once_that_is_committed() {
    use pewtergap_member::Request;
    use pewtergap_record::{BudgetShift, Command, CommandKind};
    use pewtergap_shares::Shift;
    let mut hand = Hand::new(&["a"], None);
    hand.pass(1_000);
    for (id, shift) in [
        (1, Shift::Claim { by: 7, start: 1, base: 100_000, founders: 1, founded: true }),
        (2, Shift::Back { from: 7, units: 1, number: 1 }),
    ] {
        let what = Some(CommandKind::BudgetShift(BudgetShift::of("cold", &shift)));
        let command = Command { id, issued_at_ms: hand.now.0 / 1_000_000, kind: what };
        hand.disk = true;
        hand.slow = Some(Vec::new());
        hand.member.request(hand.now, id, Request::Command(command), &mut hand.out);
        hand.give(Input::TimerFired { timer: u64::MAX });
        assert_eq!(hand.member.is_taking_from(7), id == 2, "while it is not on disk");
        let tickets = hand.slow.take().unwrap_or_default();
        tickets.into_iter().for_each(|ticket| hand.synced(ticket));
        hand.pass(200);
        assert!(!hand.member.is_taking_from(7));
        assert!(hand.member.record.past_outcome(id).is_some());
    }
}

#[test]
fn a_seat_that_does_not_observe_is_written_as_by_builds_that_know_no_observers() {
    // A cluster's number is a digest of these bytes: with others, a new build would be of another cluster than its disk.
    let bytes = prost::Message::encode_to_vec(&MemberInfo::founder(5, "m"));
    assert_eq!(bytes, [9, 5, 0, 0, 0, 0, 0, 0, 0, 18, 1, b'm', 32, 1]);
}
