//! Files cut off at every byte, damaged at every byte, and with writes that never reached the disk.

use pewtergap_store::*;

fn rows() -> Vec<Vec<u8>> {
    vec![b"identity".to_vec(), vec![7; 40], Vec::new(), (0..=255).collect(), b"last".to_vec()]
}

/// A file of rows that were synced one by one, and where each ended.
fn file() -> (Vec<u8>, Vec<usize>) {
    let mut pen = WalWriter::default();
    let mut bytes = pen.encode_new_file(&rows()[..1]);
    let mut ends = vec![bytes.len()];
    for row in &rows()[1..] {
        pen.synced_len = pen.end;
        let (at, more) = pen.encode_append(std::slice::from_ref(row));
        assert_eq!(at as usize, bytes.len());
        bytes.extend(more);
        ends.push(bytes.len());
    }
    (bytes, ends)
}

#[test]
fn cut_off_at_any_byte_all_whole_rows_are_found_and_the_rest_is_named() {
    let (bytes, ends) = file();
    assert_eq!(read_wal(&bytes).records, rows());
    assert_eq!(read_wal(&bytes).fault, None);
    for cut in 0..bytes.len() {
        let found = read_wal(&bytes[..cut]);
        let whole = ends.iter().filter(|end| **end <= cut).count();
        assert_eq!(found.records.len(), whole, "cut at {cut}");
        let at = if whole == 0 {
            if cut < 8 {
                0
            } else {
                8
            }
        } else {
            ends[whole - 1]
        };
        let torn = (at < cut || cut == 0)
            .then_some(WalFault::TornTail { offset: at as u64, lost_bytes: (cut - at) as u64 });
        assert_eq!(found.fault, torn, "cut at {cut}");
    }
}

#[test]
fn a_damaged_row_is_named_wherever_the_damage_is_and_never_cut() {
    let (bytes, ends) = file();
    for at in 8..bytes.len() {
        let mut bytes = bytes.clone();
        bytes[at] ^= 0x40;
        let found = read_wal(&bytes);
        let row = ends.iter().filter(|end| **end <= at).count();
        assert_eq!(found.records.len(), row, "damage at {at}");
        let length = at >= ends[ends.len() - 2] && at < ends[ends.len() - 2] + 4;
        match found.fault {
            Some(WalFault::Corrupt { record: named, .. }) => assert_eq!(named, row, "damage at {at}"),
            // The length of the very last row: it cannot be told from one that was cut off.
            Some(WalFault::TornTail { .. }) if length => {}
            other => panic!("damage at {at}: {other:?}"),
        }
    }
    let strange =
        [&b"pgrec\0\0\x02"[..], b"{\"rows\":1}"].map(|bytes| read_wal(bytes).fault.map(|f| f.to_string()));
    assert_eq!(
        strange,
        [Some("written by another version of the program".into()), Some("no file of a member".into())]
    );
}

#[test]
fn what_was_never_synced_may_come_in_parts_and_in_any_order() {
    // Two writes after the last sync: the second reached the disk, of the first some sectors did not.
    let mut pen = WalWriter::default();
    let mut bytes = pen.encode_new_file(&[b"identity".to_vec()]);
    pen.synced_len = pen.end;
    let kept = bytes.len();
    let first = pen.encode_append(&[vec![1; 3000]]).1;
    let second = pen.encode_append(&[vec![2; 100]]).1;
    let hole = bytes.len() + 512..bytes.len() + 1536;
    bytes.extend(first);
    bytes.extend(second);
    bytes[hole].fill(0);
    let found = read_wal(&bytes);
    assert_eq!(found.records, [b"identity"]);
    assert_eq!(
        found.fault,
        Some(WalFault::TornTail { offset: kept as u64, lost_bytes: (bytes.len() - kept) as u64 })
    );
}
