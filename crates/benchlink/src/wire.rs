//! The simulator's line protocol: each batch of events is answered with one reply. No decisions are made
//! here.

use pewtergap_planner::interner::Interner;
use pewtergap_planner::{
    Action, Event, ListEntry, ListKind, ListedState, Load, Moment, Planner, ProbeOutcome, ResendPolicy, Span,
};
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;
use std::io::BufRead;

/// A planner instance with its interned names, its zones and routes, and the events of the current batch.
struct Instance {
    planner: Planner,
    servers: Interner<String>,
    proxies: Interner<u64>,
    zones: Vec<String>,
    routes: Vec<String>,
    slices: bool,
    events: Vec<Event>,
}

#[derive(Clone)]
struct ListRow {
    server: String,
    zone: String,
    cell: u64,
    state: ListedState,
    weight: f64,
    last_start: Option<Moment>,
}

#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Instance>,
    banks: HashMap<u64, Vec<ListRow>>,
}

/// The tab-separated fields of a line, read in order. Each error names its field.
struct Fields<'a> {
    parts: std::str::Split<'a, char>,
}

impl<'a> Fields<'a> {
    fn text(&mut self, field: &str) -> Result<&'a str, String> {
        self.parts.next().ok_or(format!("field {field} is missing"))
    }

    fn integer(&mut self, field: &str) -> Result<u64, String> {
        let text = self.text(field)?;
        text.parse().map_err(|_| format!("field {field}: '{text}' is not a whole number"))
    }

    fn integer_or(&mut self, field: &str, absent: u64) -> Result<u64, String> {
        match self.text(field)? {
            "-" => Ok(absent),
            text => text.parse().map_err(|_| format!("field {field}: '{text}' is not a whole number")),
        }
    }

    fn number_or(&mut self, field: &str, absent: f64) -> Result<f64, String> {
        match self.text(field)? {
            "-" => Ok(absent),
            text => text
                .parse::<f64>()
                .ok()
                .filter(|n| n.is_finite() && *n >= 0.0)
                .ok_or(format!("field {field}: '{text}' is not a number of 0 or more")),
        }
    }

    fn flag(&mut self, field: &str) -> Result<bool, String> {
        match self.text(field)? {
            "1" => Ok(true),
            "0" | "-" => Ok(false),
            text => Err(format!("field {field}: '{text}' is not 1 or 0")),
        }
    }

    fn load(&mut self, field: &str) -> Result<Load, String> {
        let mut load = Load::default();
        let text = self.text(field)?;
        for pair in text.split(',').filter(|pair| !pair.is_empty() && *pair != "-") {
            let (name, value) =
                pair.split_once(':').ok_or(format!("field {field}: '{pair}' has no value"))?;
            if value == "-" {
                continue;
            }
            let value = value.parse::<f64>().ok().filter(|n| n.is_finite());
            let value = value.ok_or(format!("field {field}: '{pair}' is not a number"))?;
            match name {
                "cpu" => load.util = Some(value),
                "active" => load.in_flight = Some(value),
                _ => {}
            }
        }
        Ok(load)
    }

    fn end(&mut self) -> Result<(), String> {
        self.parts.next().map_or(Ok(()), |text| Err(format!("field after the last: '{text}'")))
    }
}

fn index_of(names: &[String], name: &str, field: &str) -> Result<usize, String> {
    names.iter().position(|known| known == name).ok_or(format!("field {field}: '{name}' is not known"))
}

fn parse_row(line: &str) -> Result<ListRow, String> {
    let mut fields = Fields { parts: line.split('\t') };
    if fields.text("row")? != "row" {
        return Err("field row: a list is shorter than its count".into());
    }
    let server = fields.text("Server")?.to_string();
    let zone = fields.text("Zone")?.to_string();
    fields.text("Sku")?;
    let cell = fields.integer_or("Cluster", 0)?;
    let state = match fields.text("State")? {
        "Running" => ListedState::Running,
        "Stopping" => ListedState::Stopping,
        "Deleted" => ListedState::Deleted,
        other => return Err(format!("field State: '{other}' is not known")),
    };
    let weight = fields.number_or("Weight", 1.0)?;
    let last_start = Some(fields.integer_or("LastStartNs", 0)?).filter(|at| *at > 0).map(Moment);
    fields.end()?;
    Ok(ListRow { server, zone, cell, state, weight, last_start })
}

impl Host {
    /// Runs until the end of the input. An error names the batch and line at fault.
    pub fn run(&mut self, input: impl BufRead, mut output: impl std::io::Write) -> Result<(), String> {
        let mut lines = input.lines();
        while let Some(first) = lines.next() {
            let first = first.map_err(|e| format!("input: {e}"))?;
            if first.is_empty() {
                continue;
            }
            let mut fields = Fields { parts: first.split('\t') };
            let in_first_line = |e: String| format!("batch line 1: {e}");
            if fields.text("sync").map_err(in_first_line)? != "sync" {
                return Err(format!("batch line 1: message '{first}' where sync was due"));
            }
            let now = Moment(fields.integer("TimeNs").map_err(in_first_line)?);
            let number = fields.integer("frame").map_err(in_first_line)?;
            let at = format!("batch {number}");
            let mut count = 1;
            loop {
                let mut next_line = || {
                    count += 1;
                    match lines.next() {
                        Some(Ok(line)) => Ok((count, line)),
                        Some(Err(e)) => Err(format!("{at} line {count}: input: {e}")),
                        None => Err(format!("{at} line {count}: the input ends inside a batch")),
                    }
                };
                let (line_no, line) = next_line()?;
                if line == "go" {
                    break;
                }
                if line.starts_with("ledger\t") || line == "ledger" {
                    let mut fields = Fields { parts: line.split('\t') };
                    fields.text("ledger")?;
                    let wrong = |e: String| format!("{at} line {line_no}: ledger: {e}");
                    let bank = fields.integer("Bank").map_err(wrong)?;
                    let entries = fields.integer("MembersList").map_err(wrong)?;
                    fields.end().map_err(wrong)?;
                    let mut rows = Vec::new();
                    for _ in 0..entries {
                        let (row_no, text) = next_line()?;
                        rows.push(parse_row(&text).map_err(|e| format!("{at} line {row_no}: row: {e}"))?);
                    }
                    self.banks.insert(bank, rows);
                } else {
                    self.parse_event(now, &line).map_err(|e| format!("{at} line {line_no}: {e}"))?;
                }
            }
            // The reply is built completely before it is written, so an error never leaves half a reply.
            let mut reply = String::new();
            for (who, instance) in &mut self.instances {
                if !instance.events.is_empty() {
                    let events = std::mem::take(&mut instance.events);
                    for action in instance.planner.turn(now, &events) {
                        instance.write_action(*who, &action, &mut reply);
                        if let Action::ReleaseServer { server } = action {
                            instance.servers.release(server);
                        }
                    }
                }
            }
            let _ = writeln!(reply, "next\t{number}");
            output
                .write_all(reply.as_bytes())
                .and_then(|()| output.flush())
                .map_err(|e| format!("output: {e}"))?;
        }
        Ok(())
    }

    fn parse_event(&mut self, now: Moment, line: &str) -> Result<(), String> {
        let mut fields = Fields { parts: line.split('\t') };
        let name = fields.text("message")?;
        self.dispatch(now, name, &mut fields).map_err(|e| format!("{name}: {e}"))
    }

    fn dispatch(&mut self, now: Moment, name: &str, fields: &mut Fields) -> Result<(), String> {
        const MESSAGES: [&str; 14] = [
            "provision",
            "crash_now",
            "members",
            "reminder",
            "echo",
            "whisper",
            "joined",
            "disconnected",
            "roundup",
            "arrivals",
            "hotness",
            "mandate",
            "standing_line",
            "confirmed",
        ];
        if !MESSAGES.contains(&name) {
            return Err("the message is not known".into());
        }
        let who = fields.integer("Who")?;
        if name == "provision" {
            return self.create_instance(now, who, fields);
        }
        if name == "crash_now" {
            self.instances.remove(&who).ok_or(format!("field Who: instance {who} is not known"))?;
            return fields.end();
        }
        let banks = &self.banks;
        let instance =
            self.instances.get_mut(&who).ok_or(format!("field Who: instance {who} is not known"))?;
        let event = instance.parse(name, fields, banks)?;
        fields.end()?;
        instance.events.push(event);
        Ok(())
    }

    fn create_instance(&mut self, now: Moment, who: u64, fields: &mut Fields) -> Result<(), String> {
        let seed = fields.integer("RngSeed")?;
        let mut text = fields.text("BootInfo")?.to_string();
        for more in fields.parts.by_ref() {
            text = text + "\t" + more;
        }
        let start = serde_json::from_str(&text).map_err(|e| e.to_string());
        let start = start.and_then(|text| pewtergap_start::parse(&text));
        let start = start.map_err(|e| format!("field BootInfo: {e}"))?;
        let slices = start.slicing.slices > 0;
        let planner = start.build_planner(now, seed);
        let instance = Instance {
            planner,
            servers: Interner::default(),
            proxies: Interner::default(),
            zones: start.zone_names,
            routes: start.route_names,
            slices,
            events: vec![Event::Tick],
        };
        self.instances.insert(who, instance);
        Ok(())
    }
}

impl Instance {
    fn parse(
        &mut self,
        name: &str,
        fields: &mut Fields,
        banks: &HashMap<u64, Vec<ListRow>>,
    ) -> Result<Event, String> {
        Ok(match name {
            "members" => {
                let kind = match fields.text("How")? {
                    "diff" => ListKind::Changes,
                    "snapshot" => ListKind::Complete,
                    "disk" => ListKind::Kept,
                    "error" => ListKind::Failed,
                    other => return Err(format!("field How: '{other}' is not known")),
                };
                fields.integer_or("Epoch", 0)?;
                let bank = fields.integer_or("Bank", 0)?;
                let rows: &[ListRow] = match kind {
                    ListKind::Failed => &[],
                    _ => banks.get(&bank).ok_or(format!("field Bank: list {bank} is not known"))?,
                };
                let mut entries = Vec::with_capacity(rows.len());
                for row in rows {
                    entries.push(ListEntry {
                        server: self.servers.intern(&row.server),
                        zone: index_of(&self.zones, &row.zone, "Zone")?,
                        cell: row.cell,
                        state: row.state,
                        weight: row.weight,
                        last_start: row.last_start,
                    });
                }
                Event::List { kind, entries }
            }
            "reminder" => {
                fields.integer("Label")?;
                Event::Tick
            }
            "echo" => {
                let server = self.servers.intern(&fields.text("Server")?.to_string());
                let outcome = match fields.text("How")? {
                    "ok" => ProbeOutcome::Answered,
                    "error" => ProbeOutcome::Error,
                    "full" => ProbeOutcome::Rejected,
                    "timeout" | "cancelled" | "moot" => ProbeOutcome::TimedOut,
                    "connect_failed" | "reset" => ProbeOutcome::Unreachable,
                    other => return Err(format!("field How: '{other}' is not known")),
                };
                fields.integer_or("CostTimeNs", 0)?;
                Event::ProbeEnded { server, outcome, load: fields.load("Metrics")? }
            }
            "whisper" => {
                fields.integer("Neighbour")?;
                fields.text("Contents")?;
                Event::Tick
            }
            "joined" => {
                let proxy = self.proxies.intern(&fields.integer("Agent")?);
                let zone = index_of(&self.zones, fields.text("Zone")?, "Zone")?;
                let calls_per_s = fields.number_or("Weight", 0.0)?;
                fields.flag("Active")?;
                Event::ProxyJoined { proxy, zone, calls_per_s }
            }
            "disconnected" => Event::ProxyLeft { proxy: self.proxies.intern(&fields.integer("Agent")?) },
            "roundup" => {
                let dropped = fields.integer_or("Lost", 0)? as f64;
                let period = Span(fields.integer_or("WindowNs", 0)?);
                let mean_latency = Span(fields.integer_or("CostTimeNs", 0)?);
                let zone = index_of(&self.zones, fields.text("Zone")?, "Zone")?;
                let tries = fields.integer_or("Number", 0)? as f64;
                let server = self.servers.intern(&fields.text("Server")?.to_string());
                let load = fields.load("Metrics")?;
                Event::ServerStats { server, zone, tries, dropped, mean_latency, period, load }
            }
            "arrivals" => {
                let proxy = self.proxies.intern(&fields.integer("Agent")?);
                let route = index_of(&self.routes, fields.text("Service")?, "Service")?;
                let calls = fields.integer_or("Number", 0)? as f64;
                let dropped = fields.integer_or("Lost", 0)? as f64;
                let period = Span(fields.integer_or("WindowNs", 0)?);
                Event::Arrivals { proxy, route, calls, dropped, period }
            }
            "hotness" => {
                fields.integer("RouteTable")?;
                index_of(&self.routes, fields.text("Service")?, "Service")?;
                fields.integer_or("Number", 0)?;
                fields.integer_or("Lost", 0)?;
                fields.integer_or("WindowNs", 0)?;
                Event::Tick
            }
            "mandate" => {
                let slice = fields.integer("RouteTable")? as usize;
                Event::SliceAssigned { slice, assigned: fields.flag("Active")? }
            }
            "standing_line" => {
                let server = self.servers.intern(&fields.text("Server")?.to_string());
                let slice = fields.integer("RouteTable")? as usize;
                Event::SliceLine { slice, server, weight: fields.number_or("Weight", 1.0)? }
            }
            _ => {
                let proxy = self.proxies.intern(&fields.integer("Agent")?);
                let mark = fields.integer("Epoch")?;
                fields.integer_or("CostTimeNs", 0)?;
                Event::Applied { proxy, mark }
            }
        })
    }

    fn write_action(&self, who: u64, action: &Action, reply: &mut String) {
        let _ = match action {
            Action::SetLine { table, server, weight } => {
                writeln!(reply, "put_line\t{who}\t{table}\t{}\t{weight}", self.servers.name(*server))
            }
            Action::Bind { proxy, table, routes } if !self.slices => {
                writeln!(reply, "hand_table\t{who}\t{}\t{table}\t{routes}", self.proxies.name(*proxy))
            }
            Action::Bind { .. } => Ok(()),
            Action::SetLevel { table, routes, level, resend } => {
                let how = match resend {
                    ResendPolicy::Never => 0,
                    ResendPolicy::IfNeverRan => 1,
                    ResendPolicy::Once => 2,
                };
                writeln!(reply, "gate_class\t{who}\t{level}\t{routes}\t{how}\t{table}")
            }
            Action::Mark { mark } => writeln!(reply, "checkpoint\t{who}\t{mark}\t0"),
            Action::Probe { server } => writeln!(reply, "probe\t{who}\t{}", self.servers.name(*server)),
            Action::Wake { at } => writeln!(reply, "timer\t{who}\t{}\t0", at.0),
            Action::Log { text } => writeln!(reply, "journal_line\t{who}\t{text}"),
            Action::ReleaseServer { .. } => Ok(()),
            Action::Subscribe => writeln!(reply, "tail\t{who}\t1"),
        };
    }
}
