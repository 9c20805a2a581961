//! A watching planner driven by hand: what it reports as applied is on its disk.

use pewtergap_node::{Effect, Input, Link, Node, Outbox, NO_FILE};
use pewtergap_protocol::{encode, FrameReader};
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

struct TestPlanner {
    planner: Box<dyn Node>,
    now: Moment,
    due: Vec<(Moment, u64)>,
    link: Option<Link>,
    /// Number of its scope.
    scope: u64,
    /// The highest index that it reported as applied.
    reported_index: u64,
    /// Writes in progress, and the logged events.
    writes: Vec<(u64, Vec<u8>)>,
    logged: Vec<&'static str>,
}

impl TestPlanner {
    fn new(file: Result<&[u8], String>) -> TestPlanner {
        let now = Moment(1_700_000_000_000_000_000);
        let script = pewtergap_settings::run("p1.star", SETTINGS).expect("a valid script");
        let planner = pewtergap_settings::service_file(&script).expect("valid settings").node(now, 7);
        let (due, writes, logged) = (Vec::new(), Vec::new(), Vec::new());
        let mut planner =
            TestPlanner { planner, now, due, link: None, scope: 0, reported_index: 0, writes, logged };
        planner.handle(Input::Start);
        planner.handle(Input::File { name: "p1.watched", bytes: file });
        planner
    }

    fn handle(&mut self, input: Input<'_>) {
        let mut out = Outbox::default();
        self.planner.handle(self.now, input, &mut out);
        for effect in out.effects {
            match effect {
                Effect::Connect { link, .. } => self.link = Some(link),
                Effect::SetTimer { timer, at } => self.due.push((at, timer)),
                Effect::ReplaceFile { bytes, ticket, .. } => self.writes.push((ticket, bytes)),
                Effect::Log(line) => self.logged.push(line.event),
                Effect::Send { bytes, .. } => {
                    let mut frames = FrameReader::<WatchMessage>::default();
                    frames.push(&bytes);
                    match frames.next_message().expect("a message").and_then(|message| message.kind) {
                        Some(Kind::Hello(hello)) => self.scope = hello.scope.number,
                        Some(Kind::Ack(ack)) => self.reported_index = self.reported_index.max(ack.applied),
                        Some(Kind::Ping(ping)) => self.reported_index = self.reported_index.max(ping.applied),
                        _ => {}
                    }
                }
                _ => {}
            }
        }
    }

    fn advance(&mut self, ms: u64) {
        let end = self.now + Span::millis(ms);
        while let Some(at) =
            (0..self.due.len()).min_by_key(|at| self.due[*at]).filter(|at| self.due[*at].0 <= end)
        {
            let (when, timer) = self.due.remove(at);
            self.now = self.now.max(when);
            self.handle(Input::TimerFired { timer });
        }
        self.now = end;
    }

    /// Ends the write in progress and returns its bytes.
    fn finish_write(&mut self, result: Result<(), String>) -> Vec<u8> {
        assert_eq!(self.writes.len(), 1, "one write at a time");
        let (ticket, bytes) = self.writes.remove(0);
        self.handle(Input::Synced { ticket, result });
        bytes
    }

    fn receive(&mut self, kind: Kind) {
        let link = self.link.expect("a dialled link");
        self.handle(Input::Bytes { link, bytes: &encode(&WatchMessage::new(kind)) });
    }

    fn receive_changes(&mut self, number: u64, index: u64, keys: &[&str]) {
        let entry = |key: &&str| {
            let action = Some(OrderAction::Drain(key.trim_start_matches("server/").into()));
            let order =
                Some(Order { issued_by: "a".into(), reason: "test".into(), action, ..Order::default() });
            let value = Some(ActiveOrder { index, order, ..ActiveOrder::default() }.encode_to_vec());
            EntryMessage { key: key.to_string(), index, value }
        };
        let entries = keys.iter().map(entry).collect();
        let (reset, done, scope) = (number == 1, true, self.scope);
        self.receive(Kind::Changes(Changes {
            number,
            reset,
            through: index,
            done,
            entries,
            scope,
            head: index,
            ..Changes::default()
        }));
    }

    fn establish_watch(&mut self) {
        // The time of its first dial is random.
        for _ in 0..1_000 {
            if self.link.is_none() {
                self.advance(10);
            }
        }
        let link = self.link.expect("a dialled link");
        self.handle(Input::Opened { link });
        let (record_id, head, machine) = (5, 10, "c1".to_string());
        self.receive(Kind::Welcome(Welcome {
            version: 1,
            record_id,
            head,
            machine,
            resumes_snapshot: false,
        }));
    }
}

#[test]
fn a_reported_index_is_on_disk_and_the_next_start_uses_it() {
    let mut planner = TestPlanner::new(Err(NO_FILE.into()));
    assert!(!planner.logged.contains(&"watch_begins"), "not before its start number is saved");
    planner.finish_write(Ok(()));
    assert!(planner.logged.contains(&"watch_begins"));
    planner.establish_watch();
    planner.receive_changes(1, 10, &["server/10.0.0.1:80"]);
    planner.advance(400);
    assert_eq!((planner.reported_index, planner.writes.len()), (0, 1), "waits for the disk write");
    // Changes received meanwhile wait for the next write.
    planner.receive_changes(2, 11, &["server/10.0.0.2:80"]);
    planner.finish_write(Ok(()));
    planner.advance(200);
    assert_eq!(planner.reported_index, 10);
    // The disk fails once: the changes are in force but not reported until all was written again.
    planner.finish_write(Err("no space left on device".into()));
    planner.advance(900);
    assert!(planner.logged.contains(&"watched_not_kept"));
    assert_eq!((planner.reported_index, planner.writes.len()), (10, 0));
    planner.advance(400);
    let file = planner.finish_write(Ok(()));
    planner.advance(200);
    assert_eq!(planner.reported_index, 11);
    // A change out of scope needs no write.
    planner.receive_changes(3, 15, &[]);
    planner.advance(200);
    assert_eq!((planner.reported_index, planner.writes.len()), (15, 0));
    // The next start reads the file: it gets a higher number and the whole saved state.
    let first = pewtergap_tier::PlannerFile::decode(&file).expect("a valid planner file");
    let mut planner = TestPlanner::new(Ok(&file));
    let saved =
        pewtergap_tier::PlannerFile::decode(&planner.finish_write(Ok(()))).expect("a valid planner file");
    assert!(saved.start > first.start, "{} after {}", saved.start, first.start);
    assert_eq!(saved.state, first.state);
    assert_eq!(saved.state.map(|state| (state.index, state.entries.len())), Some((11, 2)));
    // A damaged file is set aside, and the planner gets a snapshot.
    let mut damaged = file.clone();
    let middle = damaged.len() / 2;
    damaged[middle] ^= 1;
    let mut planner = TestPlanner::new(Ok(&damaged));
    assert!(planner.logged.contains(&"watched_damaged"));
    let saved =
        pewtergap_tier::PlannerFile::decode(&planner.finish_write(Ok(()))).expect("a valid planner file");
    assert_eq!(saved.state, None);
}
