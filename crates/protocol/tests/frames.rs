//! Golden frames, and decoding of split, joined, damaged and random bytes.

use pewtergap_protocol::load_report::LoadReport;
use pewtergap_protocol::*;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn update() -> PlannerMessage {
    let change = TableChange {
        table: 3,
        from: 6,
        to: 7,
        set: vec![Line { server: "127.0.0.1:8080".into(), weight: 0.75 }],
        removed: vec!["127.0.0.1:8081".into()],
        gates: vec![Gate { routes: 1, level: 0.6, resend: 0 }],
        ..TableChange::default()
    };
    let binds = vec![Binding { table: 3, routes: 0 }];
    let update = Update { nonce: 9, turn: 12, ordered_at: 5, lines: 4, mark: 2, tables: vec![change], binds };
    PlannerMessage::new(planner_message::Kind::Update(update))
}

fn hello() -> ProxyMessage {
    ProxyMessage::new(proxy_message::Kind::Hello(Hello {
        protocol: VERSION,
        proxy: "p1".into(),
        zone: "north".into(),
        calls_per_s: 2.5,
        held: vec![HeldTable { planner: "a".into(), epoch: 7, table: 3, version: 6 }],
        routes: vec!["search".into()],
    }))
}

#[test]
fn encoded_frames_do_not_change() {
    let mut trace = String::new();
    for (what, bytes) in [
        ("hello", encode(&hello())),
        ("update", encode(&update())),
        ("ack", encode(&ProxyMessage::new(proxy_message::Kind::Ack(Ack { nonce: 9, mark: 2 })))),
        ("bye", encode(&PlannerMessage::new(planner_message::Kind::Bye(Bye { reason: "done".into() })))),
    ] {
        trace += &format!("{what} {}\n", hex(&bytes));
    }
    insta::assert_snapshot!(trace);
}

#[test]
fn frames_are_decoded_whole_however_the_bytes_are_split() {
    let bytes: Vec<u8> = [encode(&update()), encode(&update()), encode(&update())].concat();
    for piece_len in 1..bytes.len() {
        let mut frames = FrameReader::<PlannerMessage>::default();
        let mut count = 0;
        for part in bytes.chunks(piece_len) {
            frames.push(part);
            while let Some(message) = frames.next_message().unwrap() {
                assert_eq!(message, update());
                count += 1;
            }
        }
        assert_eq!((count, frames.buffered()), (3, 0), "pieces of {piece_len} bytes");
    }
}

#[test]
fn errors_name_the_offset_and_the_reason() {
    let mut trace = String::new();
    let mut record = |bytes: &[u8]| {
        let mut frames = FrameReader::<PlannerMessage>::default();
        frames.push(&encode(&update()));
        frames.push(bytes);
        let mut outcome = frames.next_message();
        while let Ok(Some(_)) = outcome {
            outcome = frames.next_message();
        }
        trace += &format!("{}\n", outcome.map_or_else(|error| error.to_string(), |_| "incomplete".into()));
    };
    record(&[0xff, 0xff, 0xff, 0xff, 0]);
    record(&[0, 0, 0, 0]);
    record(&[0, 0, 0, 2, 0x0f, 0x01]);
    record(&[0, 0, 1]);
    let mut record_invalid = |edit: fn(&mut Update)| {
        let mut message = update();
        if let Some(planner_message::Kind::Update(update)) = &mut message.kind {
            edit(update);
        }
        record(&encode(&message));
    };
    record_invalid(|update| update.nonce = 0);
    record_invalid(|update| update.tables[0].to = 6);
    record_invalid(|update| update.tables[0].set[0].weight = f64::NAN);
    record_invalid(|update| update.tables[0].set[0].server = "x".repeat(300));
    record_invalid(|update| update.tables[0].gates[0].level = -1.0);
    record_invalid(|update| update.tables[0].whole = true);
    record_invalid(|update| update.binds = vec![Binding::default(); MAX_TABLES + 1]);
    insta::assert_snapshot!(trace);
}

#[test]
fn damaged_bytes_give_errors_and_buffer_no_more_than_was_pushed() {
    let mut rng = fastrand::Rng::with_seed(7);
    let (mut decoded, mut rejected) = (0, 0);
    for _ in 0..20_000 {
        let mut bytes = encode(&update());
        for _ in 0..rng.usize(1..4) {
            let at = rng.usize(0..bytes.len());
            match rng.u8(0..3) {
                0 => bytes[at] = rng.u8(..),
                1 => bytes.truncate(at.max(1)),
                _ => bytes.insert(at, rng.u8(..)),
            }
        }
        let mut frames = FrameReader::<PlannerMessage>::default();
        for part in bytes.chunks(rng.usize(1..40)) {
            frames.push(part);
            assert!(frames.buffered() <= bytes.len());
            match frames.next_message() {
                Ok(Some(_)) => decoded += 1,
                Ok(None) => {}
                Err(_) => {
                    rejected += 1;
                    break;
                }
            }
        }
    }
    assert!(decoded > 100 && rejected > 1000, "{decoded} decoded, {rejected} rejected");
}

#[test]
fn load_reports_are_parsed_leniently() {
    let mut trace = String::new();
    for text in [
        "TEXT cpu_utilization=0.3,mem_utilization=0.8,named_metrics.in_hand=4",
        "TEXT application_utilization=0.9, cpu_utilization=0.3",
        r#"JSON {"cpu_utilization":0.25,"named_metrics":{"in_hand":2}}"#,
        "cpu_utilization:0.5",
        "TEXT cpu_utilization=high,named_metrics.in_hand=-3",
        "JSON {",
        "BIN CgQIARAB",
        "",
    ] {
        trace += &format!("{text:?} -> {:?}\n", LoadReport::parse(text));
    }
    let report = LoadReport { util: Some(0.5), in_flight: Some(3.0) };
    assert_eq!(LoadReport::parse(&report.to_text()), report);
    insta::assert_snapshot!(trace);
}

#[test]
fn a_reader_for_a_stranger_takes_short_messages_alone_until_it_is_known() {
    // Guards against memory for peers that have not said who they are: each could have sent half of the largest message.
    let mut reader = FrameReader::<ProxyMessage>::with_limit(16);
    reader.push(&17_u32.to_be_bytes());
    let error = reader.next_message().expect_err("too long for a stranger").to_string();
    assert!(error.contains("17 bytes, at most 16 are allowed"), "{error}");
    let mut reader = FrameReader::<ProxyMessage>::with_limit(16);
    reader.lift_limit();
    reader.push(&17_u32.to_be_bytes());
    assert!(reader.next_message().is_ok_and(|message| message.is_none()), "the rest is waited for");
}
