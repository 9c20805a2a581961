//! Messages of the platform's protocol: parsing what peers send and writing the responses.
//!
//! A message with a missing, repeated, mistyped or out-of-range field is rejected as a whole, and the error names
//! the field and the reason. Names of servers, zones and routes are validated by the caller; unknown fields are
//! ignored.

use crate::array;
use pewtergap_time::Span;
use std::fmt;

/// Bounds beyond any valid report: windows of an hour, ten million calls, a hundred times the capacity.
const MAX_DURATION_MS: f64 = 3_600_000.0;
const MAX_CALLS: u64 = 10_000_000;
const MAX_LOAD: f64 = 1e6;
/// Upper bound of marks and proxy numbers.
const MAX_NUMBER: u64 = 65_535;
const MAX_RATE: f64 = 1e9;

/// Field names in a load report. The protocol specifies the first of each; servers were seen to send the second,
/// which is the name used in the settings. With only the first accepted, the load of every server was unknown.
pub const UTIL: &[&str] = &["util", "cpu"];
pub const IN_FLIGHT: &[&str] = &["inflight", "active"];

/// Statistics of the tries at a server by the proxies of a zone.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerStats<'a> {
    pub zone: &'a str,
    pub server: &'a str,
    pub tries: u64,
    pub dropped: u64,
    pub mean_latency: Span,
    pub period: Span,
    pub util: Option<f64>,
    pub in_flight: Option<f64>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Message<'a> {
    Ping,
    /// A collector registers with its zone.
    Register {
        zone: &'a str,
    },
    ServerStats(ServerStats<'a>),
    Subscribe {
        proxy: u64,
        zone: &'a str,
        calls_per_s: f64,
        bare: bool,
    },
    Applied {
        proxy: u64,
        mark: u64,
        lag: Span,
    },
    Arrivals {
        proxy: u64,
        route: &'a str,
        calls: u64,
        dropped: u64,
        period: Span,
    },
}

/// Why a message is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidMessage {
    pub kind: String,
    pub field: &'static str,
    pub reason: &'static str,
}

impl fmt::Display for InvalidMessage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.field {
            "" => write!(f, "{}: {}", self.kind, self.reason),
            field => write!(f, "{}: {field} {}", self.kind, self.reason),
        }
    }
}

/// The kind for display: at most 16 characters, with non-printable bytes replaced.
fn printable(kind: &[u8]) -> String {
    kind.iter().take(16).map(|b| if b.is_ascii_graphic() { char::from(*b) } else { '?' }).collect()
}

struct Fields<'a> {
    kind: &'a [u8],
    pairs: &'a [&'a [u8]],
}

impl<'a> Fields<'a> {
    fn invalid(&self, field: &'static str, reason: &'static str) -> InvalidMessage {
        InvalidMessage { kind: printable(self.kind), field, reason }
    }

    fn optional_text(&self, field: &'static str) -> Result<Option<&'a str>, InvalidMessage> {
        let mut found = self.pairs.chunks(2).filter(|pair| pair[0] == field.as_bytes());
        let Some(pair) = found.next() else { return Ok(None) };
        if found.next().is_some() {
            return Err(self.invalid(field, "is given twice"));
        }
        std::str::from_utf8(pair[1]).map(Some).map_err(|_| self.invalid(field, "is not text"))
    }

    fn text(&self, field: &'static str) -> Result<&'a str, InvalidMessage> {
        self.optional_text(field)?.ok_or(self.invalid(field, "is missing"))
    }

    fn integer(&self, field: &'static str, max: u64) -> Result<u64, InvalidMessage> {
        let text = self.text(field)?;
        if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
            return Err(self.invalid(field, "is not a whole number"));
        }
        text.parse().ok().filter(|n| *n <= max).ok_or(self.invalid(field, "is out of range"))
    }

    fn parse_number(&self, field: &'static str, text: &str, max: f64) -> Result<f64, InvalidMessage> {
        let number = text.parse::<f64>().map_err(|_| self.invalid(field, "is not a number"))?;
        match (0.0..=max).contains(&number) {
            true => Ok(number),
            false => Err(self.invalid(field, "is out of range")),
        }
    }

    fn number(&self, field: &'static str, max: f64) -> Result<f64, InvalidMessage> {
        self.parse_number(field, self.text(field)?, max)
    }

    fn duration(&self, field: &'static str) -> Result<Span, InvalidMessage> {
        Ok(Span::of_seconds(self.number(field, MAX_DURATION_MS)? / 1e3))
    }

    /// The period over which something was counted, which cannot be zero.
    fn window(&self) -> Result<Span, InvalidMessage> {
        match self.duration("window")? {
            Span(0) => Err(self.invalid("window", "is out of range")),
            period => Ok(period),
        }
    }

    fn counts(&self) -> Result<(u64, u64), InvalidMessage> {
        Ok((self.integer("n", MAX_CALLS)?, self.integer("bad", MAX_CALLS)?))
    }

    /// Utilization and calls in flight; the report is optional, but if present all of it must be valid.
    fn load_report(&self) -> Result<(Option<f64>, Option<f64>), InvalidMessage> {
        let (mut util, mut in_flight) = (None, None);
        let text = self.optional_text("report")?.unwrap_or("");
        for pair in text.split(',').filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once(':').ok_or(self.invalid("report", "is not in pairs"))?;
            let value = self.parse_number("report", value, MAX_LOAD)?;
            match name {
                name if UTIL.contains(&name) => util = Some(value),
                name if IN_FLIGHT.contains(&name) => in_flight = Some(value),
                _ => {}
            }
        }
        Ok((util, in_flight))
    }

    fn flag(&self, field: &'static str) -> Result<bool, InvalidMessage> {
        match self.text(field)? {
            "1" => Ok(true),
            "0" => Ok(false),
            _ => Err(self.invalid(field, "is not 1 or 0")),
        }
    }
}

pub fn parse<'a>(items: &'a [&'a [u8]]) -> Result<Message<'a>, InvalidMessage> {
    let Some((kind, pairs)) = items.split_first() else {
        return Err(InvalidMessage { kind: String::new(), field: "", reason: "no kind" });
    };
    let fields = Fields { kind, pairs };
    if pairs.len() % 2 == 1 {
        return Err(fields.invalid("", "a name without a value"));
    }
    Ok(match *kind {
        b"PING" => Message::Ping,
        b"SOURCE" => Message::Register { zone: fields.text("az")? },
        b"LOAD" => {
            let (tries, dropped) = fields.counts()?;
            if dropped > tries {
                return Err(fields.invalid("bad", "is more than all"));
            }
            // If all tries were dropped, there is no mean latency.
            let mean_latency = if fields.optional_text("avg")?.is_none() && dropped == tries {
                Span(0)
            } else {
                fields.duration("avg")?
            };
            let (util, in_flight) = fields.load_report()?;
            let (zone, server) = (fields.text("az")?, fields.text("host")?);
            Message::ServerStats(ServerStats {
                zone,
                server,
                tries,
                dropped,
                mean_latency,
                period: fields.window()?,
                util,
                in_flight,
            })
        }
        b"SUBSCRIBE" => Message::Subscribe {
            proxy: fields.integer("sidecar", MAX_NUMBER)?,
            zone: fields.text("az")?,
            calls_per_s: fields.number("share", MAX_RATE)?,
            bare: fields.flag("standing")?,
        },
        b"ACK" => Message::Applied {
            proxy: fields.integer("sidecar", MAX_NUMBER)?,
            mark: fields.integer("version", MAX_NUMBER)?,
            lag: fields.duration("lag_ms")?,
        },
        b"RATE" => {
            // Calls that arrive in one window may be dropped in the next, so that more can be dropped than arrived, as
            // was seen under low load.
            let (calls, dropped) = fields.counts()?;
            let (proxy, route) = (fields.integer("sidecar", MAX_NUMBER)?, fields.text("kind")?);
            Message::Arrivals { proxy, route, calls, dropped, period: fields.window()? }
        }
        _ => return Err(fields.invalid("", "the kind is not known")),
    })
}

/// The response to a ping.
pub fn pong() -> Vec<u8> {
    let mut bytes = Vec::new();
    array::write_array(["PONG"], &mut bytes);
    bytes
}

/// Tells a peer why its connection is rejected.
pub fn nack(why: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    array::write_array(["NACK", "why", why], &mut bytes);
    bytes
}

/// One part of a configuration message to a proxy; empty fields are omitted.
#[derive(Clone, Debug, Default)]
pub struct ConfigPart {
    /// The routes it applies to; all if empty.
    pub routes: Vec<String>,
    /// The lines are the whole table and not changes of it.
    pub whole: bool,
    pub lines: Vec<(String, f64)>,
    /// Throttling level and resend policy.
    pub gate: Option<(f64, u8)>,
    pub mark: Option<u64>,
}

impl ConfigPart {
    /// Appends the part; `more` says that another part of the same message follows.
    pub fn write(&self, more: bool, output: &mut Vec<u8>) {
        let routes = self.routes.join("+");
        let lines: Vec<String> = self.lines.iter().map(|(at, weight)| format!("{at}:{weight}")).collect();
        let (lines, gate) = (lines.join(","), self.gate.map(|gate| (gate.0.to_string(), gate.1.to_string())));
        let mark = self.mark.map(|mark| mark.to_string());
        let mut items = vec!["CONFIG"];
        let mut field = |name, value| items.extend([name, value]);
        if !routes.is_empty() {
            field("classes", &routes);
        }
        if self.whole {
            field("whole", "1");
        }
        if !lines.is_empty() {
            field("lines", &lines);
        }
        if let Some((level, retry)) = &gate {
            field("level", level);
            field("retry", retry);
        }
        if let Some(mark) = &mark {
            field("ticket", mark);
        }
        if more {
            field("more", "1");
        }
        array::write_array(items, output);
    }
}
