//! The recording: what passed on the sockets, one row for each message, by one monotonic clock. Columnar
//! (parquet), so that an audit can be run again and the rows read with common tools.

use parquet::basic::Compression;
use parquet::data_type::{ByteArray, ByteArrayType, DoubleType, Int64Type};
use parquet::file::properties::WriterProperties;
use parquet::file::reader::{FileReader, SerializedFileReader};
use parquet::file::writer::SerializedFileWriter;
use parquet::record::RowAccessor;
use parquet::schema::parser::parse_message_type;
use std::fs::File;
use std::path::Path;
use std::sync::Arc;

/// What kind of thing passed. The name is what stands in the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The day's facts, as JSON in `text`: rules, routes, parties.
    Day,
    /// A client's call reached a proxy: `n` the client's try, `m` when it was meant to be sent.
    Asked,
    /// A proxy answered a client: `n` the status, `text` how the proxy ended it, where it did.
    Answered,
    /// A client could not send what was due: too many calls were open.
    Unsent,
    /// A proxy's call reached a server, whole: `n` the client's try, `x` the work in microseconds.
    Sent,
    /// A server answered: `n` the status, `m` 1 if it ran, `text` "lost" where the answer was taken away.
    Served,
    Joined,
    Left,
    /// A planner's message reached a proxy: `n` its lines, `m` when it was ordered, `text` turn and nonce.
    Update,
    Acked,
    Nacked,
    /// The list told a planner of a server: `route` the state, `m` its start, `x` its weight.
    Listed,
    /// A server's capacity changed: `x` microseconds of work a second when warm, `m` its start.
    Capacity,
    /// An operator's order on a server, `route` drain or take-back, as it was seen at a planner; or `route` kept: an
    /// order was answered so.
    Ordered,
    /// A planner asked a server how it is.
    Probed,
    /// A planner was asked how many proxies are joined at all: `text` has its figure, `m` when it answered.
    Counted,
    /// The day's script struck: `text` says what.
    Fault,
}

const KINDS: &[(Kind, &str)] = &[
    (Kind::Day, "day"),
    (Kind::Asked, "asked"),
    (Kind::Answered, "answered"),
    (Kind::Unsent, "unsent"),
    (Kind::Sent, "sent"),
    (Kind::Served, "served"),
    (Kind::Joined, "joined"),
    (Kind::Left, "left"),
    (Kind::Update, "update"),
    (Kind::Acked, "acked"),
    (Kind::Nacked, "nacked"),
    (Kind::Listed, "listed"),
    (Kind::Capacity, "capacity"),
    (Kind::Ordered, "ordered"),
    (Kind::Probed, "probed"),
    (Kind::Counted, "counted"),
    (Kind::Fault, "fault"),
];

impl Kind {
    pub fn name(self) -> &'static str {
        KINDS.iter().find(|row| row.0 == self).map_or("?", |row| row.1)
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Nanoseconds since 1970 by the relay's clock.
    pub at: i64,
    pub kind: Kind,
    pub from: String,
    pub to: String,
    pub call: String,
    pub route: String,
    pub n: i64,
    pub m: i64,
    pub x: f64,
    pub text: String,
}

impl Row {
    pub fn new(at: u64, kind: Kind, from: &str, to: &str) -> Row {
        Row {
            at: at as i64,
            kind,
            from: from.into(),
            to: to.into(),
            call: String::new(),
            route: String::new(),
            n: 0,
            m: 0,
            x: 0.0,
            text: String::new(),
        }
    }
}

const SCHEMA: &str = "message recording {
    required int64 at; required binary kind (utf8); required binary from (utf8); required binary to (utf8);
    required binary call (utf8); required binary route (utf8); required int64 n; required int64 m;
    required double x; required binary text (utf8);
}";

/// Rows to a group of the file.
const GROUP: usize = 100_000;

pub fn write(path: &Path, rows: &[Row]) -> Result<(), String> {
    let told = |e: parquet::errors::ParquetError| format!("{}: {e}", path.display());
    let file = File::create(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let schema = Arc::new(parse_message_type(SCHEMA).map_err(told)?);
    let properties = Arc::new(WriterProperties::builder().set_compression(Compression::SNAPPY).build());
    let mut writer = SerializedFileWriter::new(file, schema, properties).map_err(told)?;
    for rows in rows.chunks(GROUP) {
        let mut group = writer.next_row_group().map_err(told)?;
        let mut at = 0;
        while let Some(mut column) = group.next_column().map_err(told)? {
            let text =
                |of: fn(&Row) -> &str| rows.iter().map(|row| ByteArray::from(of(row))).collect::<Vec<_>>();
            let whole = |of: fn(&Row) -> i64| rows.iter().map(of).collect::<Vec<_>>();
            let wrote = match at {
                0 => column.typed::<Int64Type>().write_batch(&whole(|r| r.at), None, None),
                1 => column.typed::<ByteArrayType>().write_batch(&text(|r| r.kind.name()), None, None),
                2 => column.typed::<ByteArrayType>().write_batch(&text(|r| &r.from), None, None),
                3 => column.typed::<ByteArrayType>().write_batch(&text(|r| &r.to), None, None),
                4 => column.typed::<ByteArrayType>().write_batch(&text(|r| &r.call), None, None),
                5 => column.typed::<ByteArrayType>().write_batch(&text(|r| &r.route), None, None),
                6 => column.typed::<Int64Type>().write_batch(&whole(|r| r.n), None, None),
                7 => column.typed::<Int64Type>().write_batch(&whole(|r| r.m), None, None),
                8 => {
                    let values: Vec<f64> = rows.iter().map(|row| row.x).collect();
                    column.typed::<DoubleType>().write_batch(&values, None, None)
                }
                _ => column.typed::<ByteArrayType>().write_batch(&text(|r| &r.text), None, None),
            };
            wrote.map_err(told)?;
            column.close().map_err(told)?;
            at += 1;
        }
        group.close().map_err(told)?;
    }
    writer.close().map_err(told)?;
    Ok(())
}

/// Errors name file, row and column.
pub fn read(path: &Path) -> Result<Vec<Row>, String> {
    let name = path.display();
    let file = File::open(path).map_err(|e| format!("{name}: {e}"))?;
    let reader = SerializedFileReader::new(file).map_err(|e| format!("{name}: not a recording: {e}"))?;
    let found = reader.metadata().file_metadata().schema_descr().num_columns();
    let wanted: Vec<&str> = vec!["at", "kind", "from", "to", "call", "route", "n", "m", "x", "text"];
    let names: Vec<String> = reader
        .metadata()
        .file_metadata()
        .schema_descr()
        .columns()
        .iter()
        .map(|c| c.name().to_string())
        .collect();
    if names != wanted {
        return Err(format!("{name}: {found} columns {}, expected {}", names.join(" "), wanted.join(" ")));
    }
    let mut rows = Vec::new();
    for (at, row) in reader.get_row_iter(None).map_err(|e| format!("{name}: {e}"))?.enumerate() {
        let row = row.map_err(|e| format!("{name}: row {at}: {e}"))?;
        let told =
            |column: usize| format!("{name}: row {at}, column {}: not of the right kind", wanted[column]);
        let text = |c: usize| row.get_string(c).cloned().map_err(|_| told(c));
        let whole = |c: usize| row.get_long(c).map_err(|_| told(c));
        let kind = text(1)?;
        let kind = KINDS.iter().find(|known| known.1 == kind).map(|known| known.0);
        rows.push(Row {
            at: whole(0)?,
            kind: kind.ok_or(format!("{name}: row {at}, column kind: '{}' is not known", text(1)?))?,
            from: text(2)?,
            to: text(3)?,
            call: text(4)?,
            route: text(5)?,
            n: whole(6)?,
            m: whole(7)?,
            x: row.get_double(8).map_err(|_| told(8))?,
            text: text(9)?,
        });
    }
    Ok(rows)
}
