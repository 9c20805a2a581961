//! Maps the record to keys and values, and back.
//!
//! | key | value |
//! | --- | --- |
//! | `server/NAME`, `weight/NAME`, `route/NAME`, `zone/NAME`, `releases`, `duties` | the order in force for it, a `record::ActiveOrder` |
//! | `drain/NAME` | the start of a server whose drain grace is running, a `record::Drain` |

use pewtergap_record::{ActiveOrder, Drain, Record, Subject};
use prost::Message;
use std::collections::{BTreeMap, BTreeSet};

/// A key with its value, or `None` if it was deleted.
pub type Entry = (String, Option<Vec<u8>>);

fn order_key(subject: &Subject) -> String {
    match subject {
        Subject::Server(name) => format!("server/{name}"),
        Subject::Weight(name) => format!("weight/{name}"),
        Subject::Route(name) => format!("route/{name}"),
        Subject::Zone(name) => format!("zone/{name}"),
        Subject::Releases => "releases".into(),
        Subject::Duties => "duties".into(),
    }
}

/// Current entries of these subjects; for a server both its order and its drain.
pub fn entries_for(record: &Record, subjects: &BTreeSet<Subject>) -> Vec<Entry> {
    let mut entries = Vec::new();
    for subject in subjects {
        entries.push((order_key(subject), record.active_order(subject).map(Message::encode_to_vec)));
        if let Subject::Server(name) = subject {
            entries.push((format!("drain/{name}"), record.find_drain(name).map(Message::encode_to_vec)));
        }
    }
    entries
}

/// All entries of the record.
pub fn all_entries(record: &Record) -> BTreeMap<String, Vec<u8>> {
    let orders =
        record.orders().map(|(subject, active_order)| (order_key(subject), active_order.encode_to_vec()));
    let drains = record.drains().map(|drain| (format!("drain/{}", drain.server), drain.encode_to_vec()));
    orders.chain(drains).collect()
}

/// Applies an entry to a record that is only read, and returns its subject. A value that doesn't belong to
/// its key is an error and leaves the record unchanged.
pub fn apply_entry(record: &mut Record, key: &str, value: Option<&[u8]>) -> Result<Subject, String> {
    let unknown = || format!("unknown key '{key}'");
    let subject = match key.split_once('/') {
        Some(("drain", name)) => {
            let drain = value.map(Drain::decode).transpose().map_err(|e| format!("{key}: {e}"))?;
            if drain.as_ref().is_some_and(|drain| drain.server != name) {
                return Err(format!("{key}: the drain belongs to another server"));
            }
            record.set_drain(name, drain);
            return Ok(Subject::Server(name.into()));
        }
        Some(("server", name)) => Subject::Server(name.into()),
        Some(("weight", name)) => Subject::Weight(name.into()),
        Some(("route", name)) => Subject::Route(name.into()),
        Some(("zone", name)) => Subject::Zone(name.into()),
        None if key == "releases" => Subject::Releases,
        None if key == "duties" => Subject::Duties,
        _ => return Err(unknown()),
    };
    let active_order = value.map(ActiveOrder::decode).transpose().map_err(|e| format!("{key}: {e}"))?;
    if let Some(active_order) = &active_order {
        let action = active_order.order.as_ref().and_then(|order| order.action.as_ref());
        if action.map(|action| action.subject().0).as_ref() != Some(&subject) {
            return Err(format!("{key}: the order has another subject"));
        }
    }
    record.set_order(subject.clone(), active_order);
    Ok(subject)
}
