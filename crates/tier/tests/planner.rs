//! A planner that watches, fed by hand: what it says to be in force is on its disk.

use pewtergap_node::{Effect, Input, Link, Node, Outbox, NO_FILE};
use pewtergap_protocol::{encode, Frames};
use pewtergap_record::{ActiveOrder, Order, OrderAction};
use pewtergap_time::{Moment, Span};
use pewtergap_watch::messages::{Changes, EntryMessage, Kind, WatchMessage, Welcome};
use prost::Message;

const SETTINGS: &str = r#"
service(name = "p1", zones = ["z"], listen = "127.0.0.1:0", list = list_file("servers.json"),
    routes = [route("r", slo_time = "400ms", time_limit = "2s", repeats = "repeatable")],
    fleet = fleet(proxies = 4), channel = channel(lines_per_s = 2000, most_waiting = 4000),
    rules = rules(drain_grace = "5s", cold_for = "20s"),
    watch = watch(machines = [machine("c1", address = "127.0.0.1:1")]))
"#;

struct Hand {
    planner: Box<dyn Node>,
    now: Moment,
    due: Vec<(Moment, u64)>,
    link: Option<Link>,
    /// The number under which its scope is known.
    scope: u64,
    /// The highest place that it said to be in force.
    said: u64,
    /// Writes that wait for their end, and what was logged.
    writes: Vec<(u64, Vec<u8>)>,
    logged: Vec<&'static str>,
}

impl Hand {
    fn new(file: Result<&[u8], String>) -> Hand {
        let now = Moment(1_700_000_000_000_000_000);
        let script = pewtergap_settings::run("p1.star", SETTINGS).expect("a script");
        let planner = pewtergap_settings::service_file(&script).expect("settings").node(now, 7);
        let (due, writes, logged) = (Vec::new(), Vec::new(), Vec::new());
        let mut hand = Hand { planner, now, due, link: None, scope: 0, said: 0, writes, logged };
        hand.give(Input::Start);
        hand.give(Input::File { name: "p1.watched", bytes: file });
        hand
    }

    fn give(&mut self, input: Input<'_>) {
        let mut out = Outbox::default();
        self.planner.handle(self.now, input, &mut out);
        for effect in out.effects {
            match effect {
                Effect::Connect { link, .. } => self.link = Some(link),
                Effect::Wake { timer, at } => self.due.push((at, timer)),
                Effect::Replace { bytes, ticket, .. } => self.writes.push((ticket, bytes)),
                Effect::Log(line) => self.logged.push(line.event),
                Effect::Send { bytes, .. } => {
                    let mut frames = Frames::<WatchMessage>::default();
                    frames.push(&bytes);
                    match frames.take().expect("a word").and_then(|word| word.kind) {
                        Some(Kind::Hello(hello)) => self.scope = hello.scope.number,
                        Some(Kind::Ack(took)) => self.said = self.said.max(took.applied),
                        Some(Kind::Ping(ping)) => self.said = self.said.max(ping.applied),
                        _ => {}
                    }
                }
                _ => {}
            }
        }
    }

    fn pass(&mut self, ms: u64) {
        let end = self.now + Span::millis(ms);
        while let Some(at) =
            (0..self.due.len()).min_by_key(|at| self.due[*at]).filter(|at| self.due[*at].0 <= end)
        {
            let (when, timer) = self.due.remove(at);
            self.now = self.now.max(when);
            self.give(Input::Due { timer });
        }
        self.now = end;
    }

    /// The write under way ends; what it held.
    fn synced(&mut self, result: Result<(), String>) -> Vec<u8> {
        assert_eq!(self.writes.len(), 1, "one write at a time");
        let (ticket, bytes) = self.writes.remove(0);
        self.give(Input::Synced { ticket, result });
        bytes
    }

    fn hears(&mut self, kind: Kind) {
        let link = self.link.expect("it dials");
        self.give(Input::Bytes { link, bytes: &encode(&WatchMessage::new(kind)) });
    }

    fn told(&mut self, number: u64, place: u64, keys: &[&str]) {
        let entry = |key: &&str| {
            let wish = Some(OrderAction::Drain(key.trim_start_matches("server/").into()));
            let order = Some(Order {
                issued_by: "a".into(),
                reason: "test".into(),
                action: wish,
                ..Order::default()
            });
            let value = Some(ActiveOrder { index: place, order, ..ActiveOrder::default() }.encode_to_vec());
            EntryMessage { key: key.to_string(), index: place, value }
        };
        let entries = keys.iter().map(entry).collect();
        let (reset, done, scope) = (number == 1, true, self.scope);
        self.hears(Kind::Changes(Changes {
            number,
            reset,
            through: place,
            done,
            entries,
            scope,
            head: place,
            ..Changes::default()
        }));
    }

    fn watches(&mut self) {
        // Its first dial is drawn.
        for _ in 0..1_000 {
            if self.link.is_none() {
                self.pass(10);
            }
        }
        let link = self.link.expect("it dials");
        self.give(Input::Opened { link });
        let (record_id, head, machine) = (5, 10, "c1".to_string());
        self.hears(Kind::Welcome(Welcome { version: 1, record_id, head, machine, resumes_snapshot: false }));
    }
}

#[test]
fn what_is_said_to_be_in_force_is_on_the_disk_and_the_next_start_goes_by_it() {
    let mut hand = Hand::new(Err(NO_FILE.into()));
    assert!(!hand.logged.contains(&"watch_begins"), "not before the number of its start is kept");
    hand.synced(Ok(()));
    assert!(hand.logged.contains(&"watch_begins"));
    hand.watches();
    hand.told(1, 10, &["server/10.0.0.1:80"]);
    hand.pass(400);
    assert_eq!((hand.said, hand.writes.len()), (0, 1), "it waits for its disk");
    // Told more meanwhile: that waits for the next write.
    hand.told(2, 11, &["server/10.0.0.2:80"]);
    hand.synced(Ok(()));
    hand.pass(200);
    assert_eq!(hand.said, 10);
    // The disk fails once: in force, and not said to be, until all was written again.
    hand.synced(Err("no space left on device".into()));
    hand.pass(900);
    assert!(hand.logged.contains(&"watched_not_kept"));
    assert_eq!((hand.said, hand.writes.len()), (10, 0));
    hand.pass(400);
    let file = hand.synced(Ok(()));
    hand.pass(200);
    assert_eq!(hand.said, 11);
    // What changes nothing within its scope needs no write.
    hand.told(3, 15, &[]);
    hand.pass(200);
    assert_eq!((hand.said, hand.writes.len()), (15, 0));
    // Another start, from what was written: under a higher number, and by all that it held.
    let first = pewtergap_tier::PlannerFile::decode(&file).expect("its file");
    let mut hand = Hand::new(Ok(&file));
    let kept = pewtergap_tier::PlannerFile::decode(&hand.synced(Ok(()))).expect("its file");
    assert!(kept.start > first.start, "{} after {}", kept.start, first.start);
    assert_eq!(kept.watched, first.watched);
    assert_eq!(kept.watched.map(|watched| (watched.index, watched.entries.len())), Some((11, 2)));
    // Damaged, it is set aside; the tier tells all again.
    let mut damaged = file.clone();
    let middle = damaged.len() / 2;
    damaged[middle] ^= 1;
    let mut hand = Hand::new(Ok(&damaged));
    assert!(hand.logged.contains(&"watched_damaged"));
    let kept = pewtergap_tier::PlannerFile::decode(&hand.synced(Ok(()))).expect("its file");
    assert_eq!(kept.watched, None);
}
