//! What the messages say, in the house's words, and what is written back.
//!
//! A message is taken whole or not at all: a field that is missing, given twice, of another type or out of range
//! spoils it, and the refusal says which and why. Names of servers, zones and routes are left to whoever knows
//! them; fields that are not known are passed over.

use crate::array;
use pewtergap_time::Span;
use std::fmt;

/// No honest report holds more: windows of an hour, ten million calls, a hundred times the capacity.
const LONGEST_MS: f64 = 3_600_000.0;
const MOST_CALLS: u64 = 10_000_000;
const MOST_LOAD: f64 = 1e6;
/// Marks and proxies are small whole numbers.
const MOST_NUMBER: u64 = 65_535;
const MOST_RATE: f64 = 1e9;

/// Names in a load report. The protocol's page has the first; servers were seen to send the second, the words of
/// the settings. Read by the first alone the planner took every server for one of unknown load.
pub const UTIL: &[&str] = &["util", "cpu"];
pub const IN_FLIGHT: &[&str] = &["inflight", "active"];

/// Of a server's tries, as proxies of a zone saw them.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerStats<'a> {
    pub zone: &'a str,
    pub server: &'a str,
    pub tries: u64,
    pub dropped: u64,
    pub mean: Span,
    pub over: Span,
    pub util: Option<f64>,
    pub in_hand: Option<f64>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Message<'a> {
    Ping,
    /// A collector states its zone.
    Collects {
        zone: &'a str,
    },
    ServerStats(ServerStats<'a>),
    Joins {
        proxy: u64,
        zone: &'a str,
        calls_per_s: f64,
        bare: bool,
    },
    Applied {
        proxy: u64,
        mark: u64,
        after: Span,
    },
    Arrivals {
        proxy: u64,
        route: &'a str,
        calls: u64,
        dropped: u64,
        over: Span,
    },
}

/// Why a message is left out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidMessage {
    pub kind: String,
    pub field: &'static str,
    pub what: &'static str,
}

impl fmt::Display for InvalidMessage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.field {
            "" => write!(f, "{}: {}", self.kind, self.what),
            field => write!(f, "{}: {field} {}", self.kind, self.what),
        }
    }
}

/// A kind as it may be shown: a few plain characters.
fn shown(kind: &[u8]) -> String {
    kind.iter().take(16).map(|b| if b.is_ascii_graphic() { char::from(*b) } else { '?' }).collect()
}

struct Fields<'a> {
    kind: &'a [u8],
    pairs: &'a [&'a [u8]],
}

impl<'a> Fields<'a> {
    fn spoilt(&self, field: &'static str, what: &'static str) -> InvalidMessage {
        InvalidMessage { kind: shown(self.kind), field, what }
    }

    fn text_or_none(&self, field: &'static str) -> Result<Option<&'a str>, InvalidMessage> {
        let mut found = self.pairs.chunks(2).filter(|pair| pair[0] == field.as_bytes());
        let Some(pair) = found.next() else { return Ok(None) };
        if found.next().is_some() {
            return Err(self.spoilt(field, "is given twice"));
        }
        std::str::from_utf8(pair[1]).map(Some).map_err(|_| self.spoilt(field, "is not text"))
    }

    fn text(&self, field: &'static str) -> Result<&'a str, InvalidMessage> {
        self.text_or_none(field)?.ok_or(self.spoilt(field, "is missing"))
    }

    fn whole(&self, field: &'static str, most: u64) -> Result<u64, InvalidMessage> {
        let text = self.text(field)?;
        if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
            return Err(self.spoilt(field, "is not a whole number"));
        }
        text.parse().ok().filter(|n| *n <= most).ok_or(self.spoilt(field, "is out of range"))
    }

    fn checked(&self, field: &'static str, text: &str, most: f64) -> Result<f64, InvalidMessage> {
        let number = text.parse::<f64>().map_err(|_| self.spoilt(field, "is not a number"))?;
        match (0.0..=most).contains(&number) {
            true => Ok(number),
            false => Err(self.spoilt(field, "is out of range")),
        }
    }

    fn number(&self, field: &'static str, most: f64) -> Result<f64, InvalidMessage> {
        self.checked(field, self.text(field)?, most)
    }

    fn span(&self, field: &'static str) -> Result<Span, InvalidMessage> {
        Ok(Span::of_seconds(self.number(field, LONGEST_MS)? / 1e3))
    }

    /// A time over which something was counted is not nothing.
    fn window(&self) -> Result<Span, InvalidMessage> {
        match self.span("window")? {
            Span(0) => Err(self.spoilt("window", "is out of range")),
            span => Ok(span),
        }
    }

    fn counts(&self) -> Result<(u64, u64), InvalidMessage> {
        Ok((self.whole("n", MOST_CALLS)?, self.whole("bad", MOST_CALLS)?))
    }

    /// Utilization and calls in hand; a report that is told must be readable as a whole.
    fn report(&self) -> Result<(Option<f64>, Option<f64>), InvalidMessage> {
        let (mut util, mut in_hand) = (None, None);
        let text = self.text_or_none("report")?.unwrap_or("");
        for pair in text.split(',').filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once(':').ok_or(self.spoilt("report", "is not in pairs"))?;
            let value = self.checked("report", value, MOST_LOAD)?;
            match name {
                name if UTIL.contains(&name) => util = Some(value),
                name if IN_FLIGHT.contains(&name) => in_hand = Some(value),
                _ => {}
            }
        }
        Ok((util, in_hand))
    }

    fn flag(&self, field: &'static str) -> Result<bool, InvalidMessage> {
        match self.text(field)? {
            "1" => Ok(true),
            "0" => Ok(false),
            _ => Err(self.spoilt(field, "is not 1 or 0")),
        }
    }
}

pub fn parse<'a>(items: &'a [&'a [u8]]) -> Result<Message<'a>, InvalidMessage> {
    let Some((kind, pairs)) = items.split_first() else {
        return Err(InvalidMessage { kind: String::new(), field: "", what: "no kind" });
    };
    let fields = Fields { kind, pairs };
    if pairs.len() % 2 == 1 {
        return Err(fields.spoilt("", "a name without a value"));
    }
    Ok(match *kind {
        b"PING" => Message::Ping,
        b"SOURCE" => Message::Collects { zone: fields.text("az")? },
        b"LOAD" => {
            let (tries, dropped) = fields.counts()?;
            if dropped > tries {
                return Err(fields.spoilt("bad", "is more than all"));
            }
            // Where all tries failed there is no mean to tell.
            let mean = if fields.text_or_none("avg")?.is_none() && dropped == tries {
                Span(0)
            } else {
                fields.span("avg")?
            };
            let (util, in_hand) = fields.report()?;
            let (zone, server) = (fields.text("az")?, fields.text("host")?);
            Message::ServerStats(ServerStats {
                zone,
                server,
                tries,
                dropped,
                mean,
                over: fields.window()?,
                util,
                in_hand,
            })
        }
        b"SUBSCRIBE" => Message::Joins {
            proxy: fields.whole("sidecar", MOST_NUMBER)?,
            zone: fields.text("az")?,
            calls_per_s: fields.number("share", MOST_RATE)?,
            bare: fields.flag("standing")?,
        },
        b"ACK" => Message::Applied {
            proxy: fields.whole("sidecar", MOST_NUMBER)?,
            mark: fields.whole("version", MOST_NUMBER)?,
            after: fields.span("lag_ms")?,
        },
        b"RATE" => {
            // Calls that came in one window may be dropped in the next: on a calm day more were than came.
            let (calls, dropped) = fields.counts()?;
            let (proxy, route) = (fields.whole("sidecar", MOST_NUMBER)?, fields.text("kind")?);
            Message::Arrivals { proxy, route, calls, dropped, over: fields.window()? }
        }
        _ => return Err(fields.spoilt("", "the kind is not known")),
    })
}

/// The answer to a sign of life.
pub fn pong() -> Vec<u8> {
    let mut bytes = Vec::new();
    array::write_array(["PONG"], &mut bytes);
    bytes
}

/// For whoever is turned away.
pub fn nack(why: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    array::write_array(["NACK", "why", why], &mut bytes);
    bytes
}

/// One part of an order to a proxy; what is empty is left out.
#[derive(Clone, Debug, Default)]
pub struct ConfigPart {
    /// Names of the routes it is for; none for all.
    pub routes: Vec<String>,
    /// The lines are the whole table.
    pub whole: bool,
    pub lines: Vec<(String, f64)>,
    /// Level and manner of trying again.
    pub gate: Option<(f64, u8)>,
    pub mark: Option<u64>,
}

impl ConfigPart {
    /// `more`: another part of the same message follows.
    pub fn write(&self, more: bool, into: &mut Vec<u8>) {
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
        array::write_array(items, into);
    }
}
