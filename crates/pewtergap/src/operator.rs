//! Operator commands: orders, members, duties and the record. Each is a request to the admin address of a planner or a
//! control machine.

use crate::ExitResult;
use clap::{Args, Subcommand};
use pewtergap_lab::ask::call;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime};

#[derive(Args)]
pub struct AdminAddresses {
    /// Admin addresses of planners, tried in order.
    #[arg(long, value_delimiter = ',', required = true)]
    at: Vec<SocketAddr>,
}

#[derive(Args)]
pub struct OrderArgs {
    #[command(flatten)]
    at: AdminAddresses,
    /// Name of the operator.
    #[arg(long)]
    by: String,
    #[arg(long)]
    why: String,
    /// Duration of the order, like 90s, 10m or 2h; by default until it is taken back.
    #[arg(long = "for")]
    lasts: Option<String>,
    /// Number of steps of a rollout: each planner applies the current step, and one of them observes the effect and continues
    /// or takes the order back.
    #[arg(long, default_value_t = 0)]
    steps: u32,
    /// Pause between two steps.
    #[arg(long, default_value = "5s")]
    pause: String,
    /// Each step adds planners that apply the order in full with all their proxies.
    #[arg(long)]
    by_proxies: bool,
    /// Id of an earlier order whose result is unknown, to repeat it: 16 hexadecimal digits.
    #[arg(long)]
    id: Option<String>,
    /// Wait until the order is in force at all planners that are heard; needs the address of a control machine.
    #[arg(long)]
    wait: bool,
    /// Wait at most so many seconds.
    #[arg(long, default_value_t = 30)]
    patience: u64,
    #[command(subcommand)]
    order: OrderCommand,
}

#[derive(Subcommand)]
enum OrderCommand {
    /// Send no more calls to a server, whatever the list says.
    Drain {
        server: String,
    },
    /// End a drain: the list applies to the server again.
    TakeBack {
        server: String,
    },
    /// Set the weight of a server, whatever the list says.
    Weight {
        server: String,
        weight: f64,
    },
    FreeWeight {
        server: String,
    },
    /// Admit no more than this fraction of the calls of a route.
    Cap {
        route: String,
        level: f64,
    },
    Uncap {
        route: String,
    },
    /// Allow no changes of tables except removals.
    HoldReleases,
    LetReleases,
    /// Send no more calls to any server of a zone, whatever the list says.
    DrainZone {
        zone: String,
    },
    TakeBackZone {
        zone: String,
    },
}

#[derive(Subcommand)]
pub enum MembersCommand {
    /// List the members and their state.
    List {
        #[command(flatten)]
        at: AdminAddresses,
    },
    /// Add a planner, which receives a vote once it has caught up.
    Add {
        name: String,
        address: SocketAddr,
        #[command(flatten)]
        at: AdminAddresses,
    },
    Remove {
        name: String,
        #[command(flatten)]
        at: AdminAddresses,
    },
    /// Recover from the permanent loss of a majority: turns the disk of this planner, which must not be running, into a new
    /// cluster of one. Entries that only the lost members had are lost.
    Alone {
        settings: std::path::PathBuf,
        /// Required confirmation, since the loss cannot be undone.
        #[arg(long, required = true)]
        what_is_lost_is_lost: bool,
    },
    /// Replace a planner whose disk is lost by a new one of the same name.
    Replace {
        name: String,
        address: SocketAddr,
        #[command(flatten)]
        at: AdminAddresses,
    },
}

/// Who gives an order, why, and where it is sent.
#[derive(Args)]
pub struct Attribution {
    #[arg(long)]
    by: String,
    #[arg(long)]
    why: String,
    #[command(flatten)]
    at: AdminAddresses,
}

#[derive(Subcommand)]
pub enum DutiesCommand {
    /// List the duties with their holders, fencing tokens and times.
    List {
        #[command(flatten)]
        at: AdminAddresses,
    },
    /// Pin a duty to this planner; without a planner, unpin it.
    Hand {
        duty: String,
        to: Option<String>,
        #[command(flatten)]
        said: Attribution,
    },
    /// Move no duties except those of lost holders.
    Hold {
        #[command(flatten)]
        said: Attribution,
    },
    Let {
        #[command(flatten)]
        said: Attribution,
    },
}

#[derive(Args)]
pub struct WatchersArgs {
    #[command(flatten)]
    at: AdminAddresses,
    /// Index in the record; by default the newest that the machine has applied.
    #[arg(long)]
    place: Option<u64>,
}

#[derive(Args)]
pub struct RecordArgs {
    #[command(flatten)]
    at: AdminAddresses,
    /// Read the local state of this planner without asking the others; its age is printed.
    #[arg(long)]
    stale: bool,
}

fn print_response(at: &AdminAddresses, method: &str, target: &str, body: Option<&str>) -> ExitResult {
    println!("{}", request_any(at, method, target, body)?.trim_end());
    Ok(0)
}

/// Sends the request to each planner in turn until one answers. A request that one of them may have accepted is repeated at
/// the next under the same id.
fn request_any(
    at: &AdminAddresses,
    method: &str,
    target: &str,
    body: Option<&str>,
) -> Result<String, (u8, String)> {
    let (mut last, mut sent) = (String::new(), false);
    for address in &at.at {
        match call(*address, method, target, body) {
            Ok((200, text)) => return Ok(text),
            Ok((status @ (503 | 504), text)) => {
                sent |= status == 504;
                last = format!("{address}: {text}");
            }
            Ok((_, text)) => return Err((1, text)),
            Err((was_sent, reason)) => {
                sent |= was_sent;
                last = reason;
            }
        }
    }
    let meaning = if sent { "unknown: it may be kept; give it again with the same --id" } else { "not kept" };
    Err((if sent { 4 } else { 3 }, format!("{last}\n{meaning}")))
}

fn parse_duration_ms(text: &str) -> Result<u64, (u8, String)> {
    let invalid = || (2, format!("--for {text}: a time like 90s, 10m or 2h was expected"));
    let unit_start = text.find(|c: char| !c.is_ascii_digit()).ok_or_else(invalid)?;
    let number: u64 = text[..unit_start].parse().map_err(|_| invalid())?;
    let unit = [("s", 1_000), ("m", 60_000), ("h", 3_600_000)]
        .into_iter()
        .find(|unit| unit.0 == &text[unit_start..]);
    number.checked_mul(unit.ok_or_else(invalid)?.1).ok_or_else(invalid)
}

pub fn order(args: OrderArgs) -> ExitResult {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let given = now.as_millis() as u64;
    let id = match &args.id {
        Some(id) => id.clone(),
        None => format!("{:016x}", fastrand::u64(1..)),
    };
    let until = args.lasts.as_deref().map(parse_duration_ms).transpose()?.map_or(0, |span| given + span);
    let mut body = json!({ "id": id, "given": given, "who": args.by, "why": args.why, "until": until,
        "steps": args.steps, "pause_ms": parse_duration_ms(&args.pause)?, "by_proxies": args.by_proxies });
    let fields = match args.order {
        OrderCommand::Drain { server } => json!({ "order": "drain", "server": server }),
        OrderCommand::TakeBack { server } => json!({ "order": "take-back", "server": server }),
        OrderCommand::Weight { server, weight } => {
            json!({ "order": "weight", "server": server, "weight": weight })
        }
        OrderCommand::FreeWeight { server } => json!({ "order": "free-weight", "server": server }),
        OrderCommand::Cap { route, level } => json!({ "order": "cap", "route": route, "level": level }),
        OrderCommand::Uncap { route } => json!({ "order": "uncap", "route": route }),
        OrderCommand::HoldReleases => json!({ "order": "hold-releases" }),
        OrderCommand::LetReleases => json!({ "order": "let-releases" }),
        OrderCommand::DrainZone { zone } => json!({ "order": "drain-zone", "zone": zone }),
        OrderCommand::TakeBackZone { zone } => json!({ "order": "take-back-zone", "zone": zone }),
    };
    if let (Value::Object(body), Value::Object(fields)) = (&mut body, fields) {
        body.extend(fields);
    }
    eprintln!("order {id}");
    let response = request_any(&args.at, "POST", "/orders", Some(&body.to_string()))?;
    println!("{}", response.trim_end());
    match serde_json::from_str::<Value>(&response).ok().and_then(|response| response["number"].as_u64()) {
        Some(index) if args.wait => wait_until_in_force(&args.at, index, Duration::from_secs(args.patience)),
        _ => Ok(0),
    }
}

/// Interval between two polls of the planners that have an order in force.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Waits until the record up to `index` is in force at all planners that are heard. Asks the control machines in turn, since
/// one of them may be lost in the meantime and a newly started one knows no planners yet.
fn wait_until_in_force(at: &AdminAddresses, index: u64, patience: Duration) -> ExitResult {
    let deadline = Instant::now() + patience;
    let mut status = String::from("nobody answered");
    loop {
        for address in &at.at {
            let view = call(*address, "GET", &format!("/watchers?place={index}"), None);
            let view = match view {
                Ok((200, text)) => serde_json::from_str::<Value>(&text).unwrap_or_default(),
                Ok((404, _)) => {
                    return Err((2, format!("{address} is no control machine: nobody watches it")))
                }
                _ => continue,
            };
            let count = |name: &str| view[name].as_u64().unwrap_or(0);
            let (expected, heard) = (count("expected"), count("heard"));
            if expected == 0 && count("uncounted") == 0 {
                status = format!("{address} knows no planner");
                continue;
            }
            let done = count("at_or_past") == heard && heard > 0;
            status = in_force_summary(&view);
            if done {
                println!("{status}");
                return Ok(0);
            }
            break;
        }
        if Instant::now() >= deadline {
            let reason = format!("kept as {index}; after {} s: {status}", patience.as_secs());
            return Err((5, reason));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Summary of a watchers view for an operator.
fn in_force_summary(view: &Value) -> String {
    let names = |list: &str, figure: &str, unit: &str| {
        let rows = view[list].as_array().into_iter().flatten();
        let format_row =
            |row: &Value| format!("{} ({}{unit})", row["planner"].as_str().unwrap_or("?"), row[figure]);
        rows.map(format_row).collect::<Vec<_>>().join(", ")
    };
    let (unheard, behind) = (names("unheard", "for_ms", " ms"), names("slowest", "place", ""));
    let mut text = format!("in force at {} of {}, unheard: ", view["at_or_past"], view["expected"]);
    text += &match view["unheard_count"].as_u64().unwrap_or(0) {
        0 => "none".into(),
        count => format!("{count}: {unheard}"),
    };
    if !behind.is_empty() {
        text += &format!(", behind: {behind}");
    }
    if view["uncounted"].as_u64().unwrap_or(0) > 0 {
        text += &format!(", of {} nothing is known", view["uncounted"]);
    }
    text
}

/// Prints which planners have an index in force, over all control machines.
pub fn watchers(args: WatchersArgs) -> ExitResult {
    let target = args.place.map_or("/watchers".into(), |index| format!("/watchers?place={index}"));
    let text = request_any(&args.at, "GET", &target, None)?;
    println!("{}", text.trim_end());
    eprintln!("{}", in_force_summary(&serde_json::from_str(&text).unwrap_or_default()));
    Ok(0)
}

pub fn members(command: MembersCommand) -> ExitResult {
    let change = |name: String, address: Option<SocketAddr>, replace: bool| {
        let at = address.map_or(String::new(), |address| address.to_string());
        json!({ "name": name, "at": at, "replace": replace }).to_string()
    };
    let (at, body) = match command {
        MembersCommand::List { at } => return print_response(&at, "GET", "/members", None),
        MembersCommand::Alone { settings, .. } => return recover_alone(&settings),
        MembersCommand::Add { name, address, at } => (at, change(name, Some(address), false)),
        MembersCommand::Remove { name, at } => (at, change(name, None, false)),
        MembersCommand::Replace { name, address, at } => (at, change(name, Some(address), true)),
    };
    print_response(&at, "POST", "/members", Some(&body))
}

pub fn duties(command: DutiesCommand) -> ExitResult {
    let attribution_fields = |said: Attribution| {
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let id = format!("{:016x}", fastrand::u64(1..));
        eprintln!("order {id}");
        json!({ "id": id, "given": now.as_millis() as u64, "who": said.by, "why": said.why })
    };
    let (said, target, fields) = match command {
        DutiesCommand::List { at } => return print_response(&at, "GET", "/duties", None),
        DutiesCommand::Hand { duty, to, said } => {
            (said, "/duties", json!({ "duty": duty, "to": to.unwrap_or_default() }))
        }
        DutiesCommand::Hold { said } => (said, "/orders", json!({ "order": "hold-duties" })),
        DutiesCommand::Let { said } => (said, "/orders", json!({ "order": "let-duties" })),
    };
    let at = AdminAddresses { at: said.at.at.clone() };
    let mut body = attribution_fields(said);
    if let (Value::Object(body), Value::Object(fields)) = (&mut body, fields) {
        body.extend(fields);
    }
    print_response(&at, "POST", target, Some(&body.to_string()))
}

pub fn shared(at: AdminAddresses) -> ExitResult {
    print_response(&at, "GET", "/shared", None)
}

pub fn record(args: RecordArgs) -> ExitResult {
    print_response(&args.at, "GET", if args.stale { "/record?stale" } else { "/record" }, None)
}

fn recover_alone(settings: &std::path::Path) -> ExitResult {
    let file = crate::commands::load_planner_file(settings)?;
    let path = file.dir.join(format!("{}.record", file.member.name));
    let io_error = |e: std::io::Error| (3, format!("{}: {e}", path.display()));
    let before = std::fs::read(&path).map_err(io_error)?;
    let recovery_error = |reason: String| (3, format!("{}: {reason}", path.display()));
    let (after, recovered) = pewtergap_member::recover_single_member(&before).map_err(recovery_error)?;
    let backup = path.with_extension("record.before-alone");
    std::fs::write(&backup, &before).map_err(io_error)?;
    pewtergap_reactor::write_atomically(&path, &after).map_err(io_error)?;
    println!(
        "{} goes on alone from entry {} of term {}, with {} orders in force. It belonged with {}: what only they held \
         is lost, and they are refused until their disks are empty and they are added. The file as it was: {}",
        file.member.name,
        recovered.index,
        recovered.term,
        recovered.orders,
        recovered.members.join(", "),
        backup.display()
    );
    Ok(0)
}
