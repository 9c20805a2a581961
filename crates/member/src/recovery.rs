//! The way on when a majority is lost for good: the operator's deliberate act on what one disk still has.

use crate::disk;
use crate::member::founders_digest;
use crate::messages::{self, DiskRecordKind, MemberInfo};
use pewtergap_raft::{Body, Snapshot, WalRecord};
use pewtergap_record::{Command, Record};
use pewtergap_store::WalWriter;
use prost::Message;

/// What goes on, and from where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recovered {
    pub index: u64,
    pub term: u64,
    pub orders: usize,
    /// Who belonged.
    pub members: Vec<String>,
}

/// The file of a member that goes on alone, as a new cluster, with all that its disk holds. What only the lost ones
/// had is lost; what this one had and no majority ever kept goes on as if it had been.
pub fn recover_single_member(bytes: &[u8]) -> Result<(Vec<u8>, Recovered), String> {
    let found = disk::open(bytes).map_err(|fault| fault.to_string())?;
    let mut identity = found.identity.ok_or("the file says not whose it is")?;
    if identity.cluster_id == 0 {
        return Err("it belonged to no cluster".into());
    }
    let log = found.log;
    let snapshot = log.snapshot.clone().unwrap_or_default();
    let mut record = match snapshot.data.is_empty() {
        true => Record::default(),
        false => Record::decode_snapshot(&snapshot.data)?,
    };
    let (term, index) = log.last();
    for at in snapshot.index + 1..=index {
        if let Some(Body::Command(bytes)) = log.get(at).map(|entry| &entry.body) {
            if let Ok(command) = Command::decode(bytes.as_slice()) {
                record.apply(at, &command);
            }
        }
    }
    let members = log.members.1.list.iter().map(|member| member.name.clone()).collect();
    let seat = MemberInfo {
        id: identity.id,
        name: identity.name.clone(),
        address: String::new(),
        is_voter: true,
        is_observer: false,
    };
    // Another cluster: what is left of the old one must not meet it as the same.
    identity.founders = vec![seat];
    identity.cluster_id = founders_digest(&identity.founders);
    let seats = messages::Membership { members: identity.founders.clone(), retired: Vec::new() };
    let snapshot =
        Snapshot { index, term, members: messages::decode_membership(seats), data: record.encode_snapshot() };
    let mut rows = disk::head(&identity, &found.seen, found.number);
    rows.push(messages::encode_record(&WalRecord::Snapshot(snapshot)));
    rows.push(messages::encode_record(&WalRecord::HardState { term: log.term, vote: 0 }));
    let rows: Vec<Vec<u8>> =
        rows.into_iter().map(|row: DiskRecordKind| messages::record_to_bytes(row)).collect();
    let goes_on = Recovered { index, term, orders: record.orders().count(), members };
    Ok((WalWriter::default().encode_new_file(&rows), goes_on))
}
