//! Side by side in one run: rows of 200 bytes made durable one after the other, by the file of this crate and by redb;
//! then 100,000 rows read back at a start; then the last bytes cut off, and what each says of it.

use hdrhistogram::Histogram;
use pewtergap_store::{read_wal, WalWriter};
use redb::{Database, Durability, ReadableDatabase, ReadableTable, TableDefinition};
use std::fs::OpenOptions;
use std::io::Write;
use std::path::Path;
use std::time::Instant;

const ROWS: TableDefinition<u64, &[u8]> = TableDefinition::new("rows");
const EACH: u64 = 2_000;
const MANY: u64 = 100_000;
const ROW: [u8; 200] = [7; 200];

type Ended<T> = Result<T, Box<dyn std::error::Error>>;

fn told(what: &str, times: &Histogram<u64>) {
    let ms = |at: f64| times.value_at_quantile(at) as f64 / 1e6;
    println!("{what}: p50 {:.3} ms, p99 {:.3} ms over {}", ms(0.5), ms(0.99), times.len());
}

fn file(dir: &Path) -> Ended<()> {
    let path = dir.join("rows");
    let _ = std::fs::remove_file(&path);
    let mut file = OpenOptions::new().create(true).append(true).open(&path)?;
    let (mut pen, mut times) = (WalWriter::default(), Histogram::<u64>::new(3)?);
    file.write_all(&pen.encode_new_file(&[]))?;
    for _ in 0..EACH {
        let begin = Instant::now();
        let (_, bytes) = pen.encode_append(&[ROW.to_vec()]);
        file.write_all(&bytes)?;
        file.sync_data()?;
        pen.synced_len = pen.end;
        times.record(begin.elapsed().as_nanos() as u64)?;
    }
    told("file, a row and its sync", &times);
    for _ in EACH..MANY {
        let (_, bytes) = pen.encode_append(&[ROW.to_vec()]);
        file.write_all(&bytes)?;
    }
    file.sync_data()?;
    let begin = Instant::now();
    let bytes = std::fs::read(&path)?;
    let found = read_wal(&bytes).records.len();
    println!("file, read back: {found} rows of {} bytes in {:?}", bytes.len(), begin.elapsed());
    let cut = read_wal(&bytes[..bytes.len() - 10]);
    println!("file, 10 bytes cut off: {} rows, {:?}", cut.records.len(), cut.fault);
    let mut flipped = bytes.clone();
    flipped[bytes.len() / 2] ^= 1;
    let flipped = read_wal(&flipped);
    println!("file, a bit in the middle: {} rows, {:?}", flipped.records.len(), flipped.fault);
    Ok(())
}

fn rows(path: &Path) -> Ended<u64> {
    let base = Database::open(path)?;
    let found = base.begin_read()?.open_table(ROWS)?;
    let mut count = 0;
    for row in found.iter()? {
        count += u64::from(row?.1.value() == ROW);
    }
    Ok(count)
}

fn redb(dir: &Path) -> Ended<()> {
    let path = dir.join("redb");
    let base = Database::create(&path)?;
    let mut times = Histogram::<u64>::new(3)?;
    for at in 0..EACH {
        let begin = Instant::now();
        let mut write = base.begin_write()?;
        write.set_durability(Durability::Immediate)?;
        write.open_table(ROWS)?.insert(at, ROW.as_slice())?;
        write.commit()?;
        times.record(begin.elapsed().as_nanos() as u64)?;
    }
    told("redb, a row and its commit", &times);
    let write = base.begin_write()?;
    {
        let mut table = write.open_table(ROWS)?;
        for at in EACH..MANY {
            table.insert(at, ROW.as_slice())?;
        }
    }
    write.commit()?;
    drop(base);
    let begin = Instant::now();
    let found = rows(&path)?;
    let bytes = std::fs::read(&path)?;
    println!("redb, read back: {found} rows of {} bytes in {:?}", bytes.len(), begin.elapsed());
    let told = |spoilt: &[u8]| {
        let path = dir.join("spoilt");
        // What it can't believe it may also panic over; either way it is told.
        let found = std::fs::write(&path, spoilt).map_err(Into::into).and_then(|()| {
            std::panic::catch_unwind(|| rows(&path)).unwrap_or_else(|_| Err("it panicked".into()))
        });
        found.map_or_else(|e| format!("an error: {e}"), |rows| format!("{rows} rows, no error"))
    };
    println!("redb, 10 bytes cut off: {}", told(&bytes[..bytes.len() - 10]));
    let row = bytes.windows(ROW.len()).skip(bytes.len() / 2).position(|window| window == ROW);
    let mut flipped = bytes.clone();
    flipped[bytes.len() / 2 + row.unwrap_or(0) + 100] ^= 1;
    println!("redb, a bit of a row in the middle: {}", told(&flipped));
    let spoilt = dir.join("spoilt");
    std::fs::write(&spoilt, &flipped)?;
    let begin = Instant::now();
    let whole = Database::open(&spoilt).map(|mut base| base.check_integrity());
    println!("redb, asked to check all of it: {whole:?} in {:?}", begin.elapsed());
    Ok(())
}

fn main() -> Ended<()> {
    let dir = tempfile::tempdir()?;
    file(dir.path())?;
    redb(dir.path())?;
    file(dir.path())
}
