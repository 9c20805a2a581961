//! Malformed input is reported with its line and field, and no reply is written partially.

use pewtergap_benchlink::Host;

const START: &str = r#"provision	0	7	{"Zones":["a"],"Profiles":[{"Name":"r","Semantics":"free"}]}"#;

/// The error for one event line after a valid start. Also checks that only complete replies were written.
fn rejection(line: &str) -> String {
    let input = format!("sync\t1\t1\n{START}\ngo\nsync\t2\t2\n{line}\ngo\n");
    let mut output = Vec::new();
    let error = Host::default().run(input.as_bytes(), &mut output).err().unwrap_or("accepted".into());
    let text = String::from_utf8_lossy(&output).into_owned();
    assert!(text.ends_with("next\t1\n") || text.ends_with("next\t2\n"), "incomplete reply: {text}");
    format!("{:<44} -> {error}", line.replace('\t', " "))
}

#[test]
fn malformed_lines_are_reported_with_their_field() {
    let lines = [
        "reminder\t0\t1",
        "gossip\t0",
        "reminder\t0",
        "reminder\tx\t1",
        "reminder\t5\t1",
        "reminder\t0\t1\textra",
        "joined\t0\t1\tnowhere\t1\t1",
        "joined\t0\t1\ta\tmany\t1",
        "joined\t0\t1\ta\t1\tyes",
        "members\t0\tdiff\t1\t3",
        "members\t0\tsome\t1\t0",
        "ledger\t0\t1\nreminder\t0\t1",
        "ledger\t0\t1\nrow\ts\ta\tk\t0\tAsleep\t1\t-",
        "roundup\t0\t-1\t1\t1\ta\t1\ts\t-",
        "echo\t0\ts\tok\t1\tcpu",
        "echo\t0\ts\tok\t1\tcpu:full",
        "echo\t0\ts\tasleep\t1\t-",
        "arrivals\t0\t1\tnone\t1\t0\t1",
        "provision\t1\t7\t[]",
        "provision\t1\t7\t{\"Profiles\":[]}",
        "provision\t1\t7\t{\"Profiles\":[{\"Name\":\"r\",\"Semantics\":\"odd\"}]}",
        "provision\t1\t7\t{\"Zones\":1,\"Profiles\":[{\"Name\":\"r\",\"Semantics\":\"free\"}]}",
        "crash_now\t4",
    ];
    insta::assert_snapshot!(lines.map(rejection).join("\n"));
}

#[test]
fn an_incomplete_batch_gets_no_reply() {
    let mut output = Vec::new();
    let input = format!("sync\t1\t1\n{START}\n");
    let error = Host::default().run(input.as_bytes(), &mut output);
    assert!(output.is_empty());
    insta::assert_snapshot!(error.err().unwrap_or_default());
}

#[test]
fn reused_banks_are_read_in_event_order() {
    let row =
        |s: &str| format!("ledger\t0\t1\nrow\t{s}\ta\tk\t0\tRunning\t1\t-\nmembers\t0\tsnapshot\t1\t0\n");
    let input =
        format!("sync\t1\t1\n{START}\n{}{}joined\t0\t3\ta\t1\t1\ngo\n", row("10.0.0.1:1"), row("10.0.0.2:1"));
    let mut output = Vec::new();
    let done = Host::default().run(input.as_bytes(), &mut output);
    assert_eq!(done, Ok(()));
    let kept = |line: &&str| !line.starts_with("timer");
    let text = String::from_utf8_lossy(&output).into_owned();
    insta::assert_snapshot!(text.lines().filter(kept).collect::<Vec<_>>().join("\n"));
}

#[test]
fn a_reused_index_is_written_with_its_new_name() {
    // One server at a time, replaced every 5 s for 10 minutes. Indices are released after two minutes.
    let mut input = format!("sync\t1\t0\n{START}\njoined\t0\t3\ta\t1\t1\ngo\n");
    for step in 1..=120u64 {
        let (ns, row) = (step * 5_000_000_000, format!("row\ts-{step}\ta\tk\t0\tRunning\t1\t-"));
        input +=
            &format!("sync\t{ns}\t{step}\nledger\t{step}\t1\n{row}\nmembers\t0\tsnapshot\t{step}\t{step}\n");
        // Acknowledges the last message, whatever its mark was.
        for mark in step.saturating_sub(3)..2 * step + 2 {
            input += &format!("confirmed\t0\t3\t{mark}\t0\n");
        }
        input += "reminder\t0\t1\ngo\n";
    }
    let mut output = Vec::new();
    assert_eq!(Host::default().run(input.as_bytes(), &mut output), Ok(()));
    let (mut step, mut named) = (0, 0);
    for line in String::from_utf8_lossy(&output).lines() {
        let fields: Vec<&str> = line.split('\t').collect();
        match fields.as_slice() {
            ["next", frame] => step = frame.parse::<u64>().expect("a frame"),
            ["put_line", _, _, server, weight] if *weight != "0" => {
                named += 1;
                assert_eq!(*server, format!("s-{}", step + 1), "after frame {step}");
            }
            _ => {}
        }
    }
    assert!(named > 100, "{named} lines were written");
}
