//! Recovery after a permanent loss of the majority, run by an operator on the file of one surviving member.

use crate::member::founders_digest;
use crate::messages::{self, DiskRecordKind, MemberInfo};
use crate::state_file;
use pewtergap_raft::{Body, Snapshot, WalRecord};
use pewtergap_record::{Command, Record};
use pewtergap_store::WalWriter;
use prost::Message;

/// What the recovered member continues with, and from which log position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recovered {
    pub index: u64,
    pub term: u64,
    pub orders: usize,
    /// Names of the members of the former cluster.
    pub members: Vec<String>,
}

/// Returns the file of a member that continues as the only member of a new cluster, with everything in its
/// own file. Entries that only the lost members had are lost; entries that this member had and that were
/// never committed are treated as committed.
pub fn recover_single_member(bytes: &[u8]) -> Result<(Vec<u8>, Recovered), String> {
    let contents = state_file::read(bytes).map_err(|fault| fault.to_string())?;
    let mut identity = contents.identity.ok_or("the file has no member identity")?;
    if identity.cluster_id == 0 {
        return Err("the member belonged to no cluster".into());
    }
    let log = contents.log;
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
    let member = MemberInfo {
        id: identity.id,
        name: identity.name.clone(),
        address: String::new(),
        is_voter: true,
        is_observer: false,
    };
    // A new cluster id keeps the remaining members of the former cluster from treating this one as theirs.
    identity.founders = vec![member];
    identity.cluster_id = founders_digest(&identity.founders);
    let membership = messages::Membership { members: identity.founders.clone(), retired: Vec::new() };
    let snapshot = Snapshot {
        index,
        term,
        members: messages::decode_membership(membership),
        data: record.encode_snapshot(),
    };
    let mut records = state_file::header_records(&identity, &contents.peer_starts, contents.start_number);
    records.push(messages::encode_record(&WalRecord::Snapshot(snapshot)));
    records.push(messages::encode_record(&WalRecord::HardState { term: log.term, vote: 0 }));
    let records: Vec<Vec<u8>> =
        records.into_iter().map(|record: DiskRecordKind| messages::record_to_bytes(record)).collect();
    let recovered = Recovered { index, term, orders: record.orders().count(), members };
    Ok((WalWriter::default().encode_new_file(&records), recovered))
}
