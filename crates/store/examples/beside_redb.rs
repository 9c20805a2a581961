//! Compares this crate's log file with redb in one run: 200-byte records made durable one at a time, 100,000
//! records read back at startup, and what each reports when the last bytes are missing.

use hdrhistogram::Histogram;
use pewtergap_store::{read_wal, WalWriter};
use redb::{Database, Durability, ReadableDatabase, ReadableTable, TableDefinition};
use std::fs::OpenOptions;
use std::io::Write;
use std::path::Path;
use std::time::Instant;

const ROWS: TableDefinition<u64, &[u8]> = TableDefinition::new("rows");
const SYNCED_ROWS: u64 = 2_000;
const TOTAL_ROWS: u64 = 100_000;
const ROW: [u8; 200] = [7; 200];

type BoxResult<T> = Result<T, Box<dyn std::error::Error>>;

fn report(what: &str, times: &Histogram<u64>) {
    let ms = |at: f64| times.value_at_quantile(at) as f64 / 1e6;
    println!("{what}: p50 {:.3} ms, p99 {:.3} ms over {}", ms(0.5), ms(0.99), times.len());
}

fn file(dir: &Path) -> BoxResult<()> {
    let path = dir.join("rows");
    let _ = std::fs::remove_file(&path);
    let mut file = OpenOptions::new().create(true).append(true).open(&path)?;
    let (mut writer, mut times) = (WalWriter::default(), Histogram::<u64>::new(3)?);
    file.write_all(&writer.encode_new_file(&[]))?;
    for _ in 0..SYNCED_ROWS {
        let started = Instant::now();
        let (_, bytes) = writer.encode_append(&[ROW.to_vec()]);
        file.write_all(&bytes)?;
        file.sync_data()?;
        writer.synced_len = writer.end;
        times.record(started.elapsed().as_nanos() as u64)?;
    }
    report("file, a row and its sync", &times);
    for _ in SYNCED_ROWS..TOTAL_ROWS {
        let (_, bytes) = writer.encode_append(&[ROW.to_vec()]);
        file.write_all(&bytes)?;
    }
    file.sync_data()?;
    let started = Instant::now();
    let bytes = std::fs::read(&path)?;
    let found = read_wal(&bytes).records.len();
    println!("file, read back: {found} rows of {} bytes in {:?}", bytes.len(), started.elapsed());
    let cut = read_wal(&bytes[..bytes.len() - 10]);
    println!("file, 10 bytes cut off: {} rows, {:?}", cut.records.len(), cut.fault);
    let mut flipped = bytes.clone();
    flipped[bytes.len() / 2] ^= 1;
    let flipped = read_wal(&flipped);
    println!("file, a bit in the middle: {} rows, {:?}", flipped.records.len(), flipped.fault);
    Ok(())
}

fn rows(path: &Path) -> BoxResult<u64> {
    let base = Database::open(path)?;
    let found = base.begin_read()?.open_table(ROWS)?;
    let mut count = 0;
    for row in found.iter()? {
        count += u64::from(row?.1.value() == ROW);
    }
    Ok(count)
}

fn redb(dir: &Path) -> BoxResult<()> {
    let path = dir.join("redb");
    let base = Database::create(&path)?;
    let mut times = Histogram::<u64>::new(3)?;
    for at in 0..SYNCED_ROWS {
        let started = Instant::now();
        let mut write = base.begin_write()?;
        write.set_durability(Durability::Immediate)?;
        write.open_table(ROWS)?.insert(at, ROW.as_slice())?;
        write.commit()?;
        times.record(started.elapsed().as_nanos() as u64)?;
    }
    report("redb, a row and its commit", &times);
    let write = base.begin_write()?;
    {
        let mut table = write.open_table(ROWS)?;
        for at in SYNCED_ROWS..TOTAL_ROWS {
            table.insert(at, ROW.as_slice())?;
        }
    }
    write.commit()?;
    drop(base);
    let started = Instant::now();
    let found = rows(&path)?;
    let bytes = std::fs::read(&path)?;
    println!("redb, read back: {found} rows of {} bytes in {:?}", bytes.len(), started.elapsed());
    let report = |corrupted: &[u8]| {
        let path = dir.join("corrupted");
        // It may also panic on a corrupt file; both outcomes are reported.
        let found = std::fs::write(&path, corrupted).map_err(Into::into).and_then(|()| {
            std::panic::catch_unwind(|| rows(&path)).unwrap_or_else(|_| Err("it panicked".into()))
        });
        found.map_or_else(|e| format!("an error: {e}"), |rows| format!("{rows} rows, no error"))
    };
    println!("redb, 10 bytes cut off: {}", report(&bytes[..bytes.len() - 10]));
    let row = bytes.windows(ROW.len()).skip(bytes.len() / 2).position(|window| window == ROW);
    let mut flipped = bytes.clone();
    flipped[bytes.len() / 2 + row.unwrap_or(0) + 100] ^= 1;
    println!("redb, a bit of a row in the middle: {}", report(&flipped));
    let corrupted = dir.join("corrupted");
    std::fs::write(&corrupted, &flipped)?;
    let started = Instant::now();
    let whole = Database::open(&corrupted).map(|mut base| base.check_integrity());
    println!("redb, asked to check all of it: {whole:?} in {:?}", started.elapsed());
    Ok(())
}

fn main() -> BoxResult<()> {
    let dir = tempfile::tempdir()?;
    file(dir.path())?;
    redb(dir.path())?;
    file(dir.path())
}
