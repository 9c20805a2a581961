//! Files truncated at every byte, corrupted at every byte, and with writes that never reached the disk.

use pewtergap_store::*;

fn records() -> Vec<Vec<u8>> {
    vec![b"identity".to_vec(), vec![7; 40], Vec::new(), (0..=255).collect(), b"last".to_vec()]
}

/// A file whose records were synced one by one, and the offset where each ends.
fn synced_file() -> (Vec<u8>, Vec<usize>) {
    let mut writer = WalWriter::default();
    let mut bytes = writer.encode_new_file(&records()[..1]);
    let mut ends = vec![bytes.len()];
    for record in &records()[1..] {
        writer.synced_len = writer.end;
        let (at, more) = writer.encode_append(std::slice::from_ref(record));
        assert_eq!(at as usize, bytes.len());
        bytes.extend(more);
        ends.push(bytes.len());
    }
    (bytes, ends)
}

#[test]
fn a_file_truncated_at_any_byte_yields_its_intact_records() {
    let (bytes, ends) = synced_file();
    assert_eq!(read_wal(&bytes).records, records());
    assert_eq!(read_wal(&bytes).fault, None);
    for cut in 0..bytes.len() {
        let contents = read_wal(&bytes[..cut]);
        let intact = ends.iter().filter(|end| **end <= cut).count();
        assert_eq!(contents.records.len(), intact, "cut at {cut}");
        let at = if intact == 0 {
            if cut < 8 {
                0
            } else {
                8
            }
        } else {
            ends[intact - 1]
        };
        let torn = (at < cut || cut == 0)
            .then_some(WalFault::TornTail { offset: at as u64, lost_bytes: (cut - at) as u64 });
        assert_eq!(contents.fault, torn, "cut at {cut}");
    }
}

#[test]
fn corruption_at_any_byte_is_reported_and_never_truncated() {
    let (bytes, ends) = synced_file();
    for at in 8..bytes.len() {
        let mut bytes = bytes.clone();
        bytes[at] ^= 0x40;
        let contents = read_wal(&bytes);
        let record = ends.iter().filter(|end| **end <= at).count();
        assert_eq!(contents.records.len(), record, "damage at {at}");
        let in_last_length = at >= ends[ends.len() - 2] && at < ends[ends.len() - 2] + 4;
        match contents.fault {
            Some(WalFault::Corrupt { record: reported, .. }) => {
                assert_eq!(reported, record, "damage at {at}")
            }
            // With a damaged length field the last record looks like one that was cut off.
            Some(WalFault::TornTail { .. }) if in_last_length => {}
            other => panic!("damage at {at}: {other:?}"),
        }
    }
    let unrecognized =
        [&b"pgrec\0\0\x02"[..], b"{\"rows\":1}"].map(|bytes| read_wal(bytes).fault.map(|f| f.to_string()));
    assert_eq!(
        unrecognized,
        [Some("written by another version of the program".into()), Some("no file of a member".into())]
    );
}

#[test]
fn unsynced_writes_may_be_partial_and_out_of_order() {
    // Two writes follow the last sync: the second reached the disk, the first lost some sectors.
    let mut writer = WalWriter::default();
    let mut bytes = writer.encode_new_file(&[b"identity".to_vec()]);
    writer.synced_len = writer.end;
    let synced = bytes.len();
    let first = writer.encode_append(&[vec![1; 3000]]).1;
    let second = writer.encode_append(&[vec![2; 100]]).1;
    let hole = bytes.len() + 512..bytes.len() + 1536;
    bytes.extend(first);
    bytes.extend(second);
    bytes[hole].fill(0);
    let contents = read_wal(&bytes);
    assert_eq!(contents.records, [b"identity"]);
    assert_eq!(
        contents.fault,
        Some(WalFault::TornTail { offset: synced as u64, lost_bytes: (bytes.len() - synced) as u64 })
    );
}
