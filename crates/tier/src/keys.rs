//! The record as keys and values, and back.
//!
//! | key | value |
//! | --- | --- |
//! | `server/NAME`, `weight/NAME`, `route/NAME`, `zone/NAME`, `releases`, `duties` | the order that is in force there, a `record::Standing` |
//! | `drain/NAME` | of which start of a server a grace runs, a `record::Drain` |

use pewtergap_record::{ActiveOrder, Drain, Record, Subject};
use prost::Message;
use std::collections::{BTreeMap, BTreeSet};

/// What stands under a key; none: nothing.
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

/// What the record says of these subjects now; both what is ordered of a server and whether a grace runs there.
pub fn of(record: &Record, subjects: &BTreeSet<Subject>) -> Vec<Entry> {
    let mut entries = Vec::new();
    for subject in subjects {
        entries.push((order_key(subject), record.active_order(subject).map(Message::encode_to_vec)));
        if let Subject::Server(name) = subject {
            entries.push((format!("drain/{name}"), record.find_drain(name).map(Message::encode_to_vec)));
        }
    }
    entries
}

/// All that stands.
pub fn whole(record: &Record) -> BTreeMap<String, Vec<u8>> {
    let orders = record.orders().map(|(subject, standing)| (order_key(subject), standing.encode_to_vec()));
    let drains = record.drains().map(|drain| (format!("drain/{}", drain.server), drain.encode_to_vec()));
    orders.chain(drains).collect()
}

/// Puts an entry into a record that only follows; what it is about. A value that is none of its key's is an error: the
/// record stays as it is.
pub fn put(record: &mut Record, key: &str, value: Option<&[u8]>) -> Result<Subject, String> {
    let strange = || format!("no key of this build: '{key}'");
    let subject = match key.split_once('/') {
        Some(("drain", name)) => {
            let drain = value.map(Drain::decode).transpose().map_err(|e| format!("{key}: {e}"))?;
            if drain.as_ref().is_some_and(|drain| drain.server != name) {
                return Err(format!("{key}: a drain of another server"));
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
        _ => return Err(strange()),
    };
    let standing = value.map(ActiveOrder::decode).transpose().map_err(|e| format!("{key}: {e}"))?;
    if let Some(standing) = &standing {
        let wish = standing.order.as_ref().and_then(|order| order.action.as_ref());
        if wish.map(|wish| wish.subject().0).as_ref() != Some(&subject) {
            return Err(format!("{key}: an order on something else"));
        }
    }
    record.set_order(subject.clone(), standing);
    Ok(subject)
}
