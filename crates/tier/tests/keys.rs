//! The record as keys and back, and the file of a watching planner.

use pewtergap_record::{
    Cap, Cleanup, Command, CommandKind, Drain, Order, OrderAction, Record, RolloutStep, Subject, Weight,
};
use pewtergap_tier::{encode_planner_file, keys, PlannerFile};
use pewtergap_watch::{SavedState, Scope};
use std::collections::{BTreeMap, BTreeSet};

fn order(id: u64, expires_at_ms: u64, action: OrderAction) -> Command {
    let (issued_by, reason) = ("a".into(), "test".into());
    let order = Order {
        issued_by,
        reason,
        expires_at_ms,
        action: Some(action),
        steps: 0,
        step_pause_ms: 0,
        by_proxies: false,
    };
    Command { id, issued_at_ms: 10, kind: Some(CommandKind::Order(order)) }
}

fn commands() -> Vec<Command> {
    let drain = Drain { server: "s1".into(), started: 3, notified_at_ms: 10, grace_ms: 5_000 };
    let actions = [
        OrderAction::Drain("s1".into()),
        OrderAction::SetWeight(Weight { server: "s1".into(), weight: 2.5 }),
        OrderAction::SetCap(Cap { route: "r".into(), level: 0.25 }),
        OrderAction::DrainZone("z".into()),
        OrderAction::HoldReleases(Cleanup::default()),
        OrderAction::HoldDuties(Cleanup::default()),
    ];
    let orders = (1..).zip(actions).map(|(id, action)| order(id, 100, action));
    orders.chain([Command { id: 7, issued_at_ms: 10, kind: Some(CommandKind::Drain(drain)) }]).collect()
}

/// Collects all that `keys::entries_for` returns after a command.
fn apply_and_collect(
    record: &mut Record,
    entries: &mut BTreeMap<String, Vec<u8>>,
    index: u64,
    command: &Command,
) {
    let touched: BTreeSet<Subject> = record.affected_subjects(command).into_iter().collect();
    record.apply(index, command);
    for (key, value) in keys::entries_for(record, &touched) {
        match value {
            Some(value) => drop(entries.insert(key, value)),
            None => drop(entries.remove(&key)),
        }
    }
}

#[test]
fn the_entries_touched_by_each_command_reproduce_the_record() {
    let (mut record, mut entries) = (Record::default(), BTreeMap::new());
    let mut all = commands();
    all.push(order(8, 0, OrderAction::Undrain("s1".into())));
    all.push(order(9, 0, OrderAction::Drain("s2".into())));
    all.push(Command {
        id: 10,
        issued_at_ms: 10,
        kind: Some(CommandKind::RolloutStep(RolloutStep {
            order_index: 4,
            progress: 500,
            fencing_token: 0,
            revert_reason: String::new(),
        })),
    });
    // After the expiry of all orders that have one, and long after the drain's grace.
    all.push(Command {
        id: 11,
        issued_at_ms: 11,
        kind: Some(CommandKind::Cleanup(Cleanup { now_ms: 1 << 40, fencing_token: 0 })),
    });
    for (index, command) in (1..).zip(&all) {
        apply_and_collect(&mut record, &mut entries, index, command);
        assert_eq!(entries, keys::all_entries(&record), "after {command:?}");
        let mut copy = Record::default();
        for (key, value) in &entries {
            keys::apply_entry(&mut copy, key, Some(value)).expect("a known entry");
        }
        assert!(copy.orders().eq(record.orders()) && copy.drains().eq(record.drains()));
    }
    assert_eq!(entries.keys().collect::<Vec<_>>(), ["server/s2"], "all others have expired");
}

#[test]
fn an_entry_that_does_not_match_its_key_changes_nothing() {
    let (mut record, mut entries) = (Record::default(), BTreeMap::new());
    for (index, command) in (1..).zip(&commands()) {
        apply_and_collect(&mut record, &mut entries, index, command);
    }
    let before = record.clone();
    let entry = |key: &str| entries[key].clone();
    let wrong = [
        ("server/s9", Some(entry("server/s1"))),
        ("weight/s1", Some(entry("server/s1"))),
        ("drain/s2", Some(entry("drain/s1"))),
        ("zone/z", Some(b"\xff\xff".to_vec())),
        ("route/r", Some(Vec::new())),
        ("tenant/t", Some(entry("route/r"))),
        ("holds", None),
        ("drain", None),
    ];
    for (key, value) in wrong {
        assert!(keys::apply_entry(&mut record, key, value.as_deref()).is_err(), "{key}");
        assert_eq!(record, before, "{key}");
    }
}

#[test]
fn the_planner_file_is_read_back_and_damage_to_any_byte_is_detected() {
    let scope = Some(Scope { servers: Some(["s1".to_string()].into()), routes: None });
    let entries = BTreeMap::from([("server/s1".to_string(), vec![1, 2, 3])]);
    let state = SavedState { record_id: 5, index: 77, scope, entries };
    let bytes = encode_planner_file(12, &state.encode());
    assert_eq!(PlannerFile::decode(&bytes), Ok(PlannerFile { start: 12, state: Some(state) }));
    assert_eq!(
        PlannerFile::decode(&encode_planner_file(12, b"")),
        Ok(PlannerFile { start: 12, state: None })
    );
    for at in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[at] ^= 0x40;
        assert!(PlannerFile::decode(&damaged).is_err(), "byte {at}");
        assert!(PlannerFile::decode(&bytes[..at]).is_err(), "truncated at {at}");
    }
}
