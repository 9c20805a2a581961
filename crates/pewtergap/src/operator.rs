//! What an operator types: orders, members, the record. Each is one call to a planner's admin door.

use crate::ExitResult;
use clap::{Args, Subcommand};
use pewtergap_lab::ask::call;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime};

#[derive(Args)]
pub struct At {
    /// Admin addresses of planners, tried in turn.
    #[arg(long, value_delimiter = ',', required = true)]
    at: Vec<SocketAddr>,
}

#[derive(Args)]
pub struct OrderLine {
    #[command(flatten)]
    at: At,
    /// Who gives the order.
    #[arg(long)]
    by: String,
    #[arg(long)]
    why: String,
    /// For so long, like 90s, 10m or 2h; without it until taken back.
    #[arg(long = "for")]
    lasts: Option<String>,
    /// In so many steps: each planner carries out what is reached, one of them looks at what follows and lets it go on
    /// or takes it back.
    #[arg(long, default_value_t = 0)]
    steps: u32,
    /// Between two steps.
    #[arg(long, default_value = "5s")]
    pause: String,
    /// Steps are a share of the planners, each with all its proxies, that carry it out whole.
    #[arg(long)]
    by_proxies: bool,
    /// Of an order that was given before and whose answer is not known: 16 hexadecimal digits.
    #[arg(long)]
    id: Option<String>,
    /// Given at a control machine: until all planners that are heard have it in force.
    #[arg(long)]
    wait: bool,
    /// So many seconds at most.
    #[arg(long, default_value_t = 30)]
    patience: u64,
    #[command(subcommand)]
    order: Wish,
}

#[derive(Subcommand)]
enum Wish {
    /// A server takes no more calls, whatever the list says.
    Drain {
        server: String,
    },
    /// It goes by the list again.
    TakeBack {
        server: String,
    },
    /// A server's weight, whatever the list says.
    Weight {
        server: String,
        weight: f64,
    },
    FreeWeight {
        server: String,
    },
    /// Let in no more than this part of a route's calls.
    Cap {
        route: String,
        level: f64,
    },
    Uncap {
        route: String,
    },
    /// No table changes but removals.
    HoldReleases,
    LetReleases,
    /// All servers of a zone take no more calls, whatever the list says.
    DrainZone {
        zone: String,
    },
    TakeBackZone {
        zone: String,
    },
}

#[derive(Subcommand)]
pub enum MembersLine {
    /// Who belongs, and what is known of each.
    List {
        #[command(flatten)]
        at: At,
    },
    /// Another planner may join; it learns first and votes once it has caught up.
    Add {
        name: String,
        address: SocketAddr,
        #[command(flatten)]
        at: At,
    },
    Remove {
        name: String,
        #[command(flatten)]
        at: At,
    },
    /// A majority is lost for good: this planner's disk, while it does not run, goes on alone as a new cluster. What
    /// only the lost ones held is lost.
    Alone {
        settings: std::path::PathBuf,
        /// Said in full, since nothing brings back what is lost by it.
        #[arg(long, required = true)]
        what_is_lost_is_lost: bool,
    },
    /// A planner's disk is given up: another one may come under its name.
    Replace {
        name: String,
        address: SocketAddr,
        #[command(flatten)]
        at: At,
    },
}

/// Who says it, why, and to whom.
#[derive(Args)]
pub struct Said {
    #[arg(long)]
    by: String,
    #[arg(long)]
    why: String,
    #[command(flatten)]
    at: At,
}

#[derive(Subcommand)]
pub enum DutiesLine {
    /// Who holds which duty, under which number, and since when.
    List {
        #[command(flatten)]
        at: At,
    },
    /// A duty goes to this planner and stays there; with no planner wherever it falls.
    Hand {
        duty: String,
        to: Option<String>,
        #[command(flatten)]
        said: Said,
    },
    /// No duty moves but what is lost.
    Hold {
        #[command(flatten)]
        said: Said,
    },
    Let {
        #[command(flatten)]
        said: Said,
    },
}

#[derive(Args)]
pub struct WatchersLine {
    #[command(flatten)]
    at: At,
    /// A place of the record; without it the newest that the machine has applied.
    #[arg(long)]
    place: Option<u64>,
}

#[derive(Args)]
pub struct RecordLine {
    #[command(flatten)]
    at: At,
    /// What this planner knows, without asking the others; its age is told.
    #[arg(long)]
    stale: bool,
}

fn ask(at: &At, method: &str, target: &str, body: Option<&str>) -> ExitResult {
    println!("{}", answered(at, method, target, body)?.trim_end());
    Ok(0)
}

/// Tries the planners in turn. What one may have taken in is given to the next under the same id.
fn answered(at: &At, method: &str, target: &str, body: Option<&str>) -> Result<String, (u8, String)> {
    let (mut last, mut sent) = (String::new(), false);
    for address in &at.at {
        match call(*address, method, target, body) {
            Ok((200, text)) => return Ok(text),
            Ok((status @ (503 | 504), text)) => {
                sent |= status == 504;
                last = format!("{address}: {text}");
            }
            Ok((_, text)) => return Err((1, text)),
            Err((was_sent, why)) => {
                sent |= was_sent;
                last = why;
            }
        }
    }
    let meaning = if sent { "unknown: it may be kept; give it again with the same --id" } else { "not kept" };
    Err((if sent { 4 } else { 3 }, format!("{last}\n{meaning}")))
}

fn lasting(text: &str) -> Result<u64, (u8, String)> {
    let wrong = || (2, format!("--for {text}: a time like 90s, 10m or 2h was expected"));
    let at = text.find(|c: char| !c.is_ascii_digit()).ok_or_else(wrong)?;
    let number: u64 = text[..at].parse().map_err(|_| wrong())?;
    let unit = [("s", 1_000), ("m", 60_000), ("h", 3_600_000)].into_iter().find(|unit| unit.0 == &text[at..]);
    number.checked_mul(unit.ok_or_else(wrong)?.1).ok_or_else(wrong)
}

pub fn order(line: OrderLine) -> ExitResult {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let given = now.as_millis() as u64;
    let id = match &line.id {
        Some(id) => id.clone(),
        None => format!("{:016x}", fastrand::u64(1..)),
    };
    let until = line.lasts.as_deref().map(lasting).transpose()?.map_or(0, |span| given + span);
    let mut body = json!({ "id": id, "given": given, "who": line.by, "why": line.why, "until": until,
        "steps": line.steps, "pause_ms": lasting(&line.pause)?, "by_proxies": line.by_proxies });
    let more = match line.order {
        Wish::Drain { server } => json!({ "order": "drain", "server": server }),
        Wish::TakeBack { server } => json!({ "order": "take-back", "server": server }),
        Wish::Weight { server, weight } => json!({ "order": "weight", "server": server, "weight": weight }),
        Wish::FreeWeight { server } => json!({ "order": "free-weight", "server": server }),
        Wish::Cap { route, level } => json!({ "order": "cap", "route": route, "level": level }),
        Wish::Uncap { route } => json!({ "order": "uncap", "route": route }),
        Wish::HoldReleases => json!({ "order": "hold-releases" }),
        Wish::LetReleases => json!({ "order": "let-releases" }),
        Wish::DrainZone { zone } => json!({ "order": "drain-zone", "zone": zone }),
        Wish::TakeBackZone { zone } => json!({ "order": "take-back-zone", "zone": zone }),
    };
    if let (Value::Object(body), Value::Object(more)) = (&mut body, more) {
        body.extend(more);
    }
    eprintln!("order {id}");
    let kept = answered(&line.at, "POST", "/orders", Some(&body.to_string()))?;
    println!("{}", kept.trim_end());
    match serde_json::from_str::<Value>(&kept).ok().and_then(|kept| kept["number"].as_u64()) {
        Some(place) if line.wait => wait(&line.at, place, Duration::from_secs(line.patience)),
        _ => Ok(0),
    }
}

/// Between two looks at who has an order in force.
const LOOK: Duration = Duration::from_millis(100);

/// Until all planners that are heard have what the record says at a place in force. Control machines are asked in turn: one
/// of them may be lost meanwhile, and one that has just begun knows nobody.
fn wait(at: &At, place: u64, patience: Duration) -> ExitResult {
    let end = Instant::now() + patience;
    let mut told = String::from("nobody answered");
    loop {
        for address in &at.at {
            let view = call(*address, "GET", &format!("/watchers?place={place}"), None);
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
                told = format!("{address} knows no planner");
                continue;
            }
            let done = count("at_or_past") == heard && heard > 0;
            told = in_force(&view);
            if done {
                println!("{told}");
                return Ok(0);
            }
            break;
        }
        if Instant::now() >= end {
            let why = format!("kept as {place}; after {} s: {told}", patience.as_secs());
            return Err((5, why));
        }
        std::thread::sleep(LOOK);
    }
}

/// What of a view of watchers an operator wants to know.
fn in_force(view: &Value) -> String {
    let names = |list: &str, figure: &str, unit: &str| {
        let rows = view[list].as_array().into_iter().flatten();
        let row = |row: &Value| format!("{} ({}{unit})", row["planner"].as_str().unwrap_or("?"), row[figure]);
        rows.map(row).collect::<Vec<_>>().join(", ")
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

/// Who has a place in force, over all control machines.
pub fn watchers(line: WatchersLine) -> ExitResult {
    let target = line.place.map_or("/watchers".into(), |place| format!("/watchers?place={place}"));
    let text = answered(&line.at, "GET", &target, None)?;
    println!("{}", text.trim_end());
    eprintln!("{}", in_force(&serde_json::from_str(&text).unwrap_or_default()));
    Ok(0)
}

pub fn members(line: MembersLine) -> ExitResult {
    let change = |name: String, address: Option<SocketAddr>, replace: bool| {
        let at = address.map_or(String::new(), |address| address.to_string());
        json!({ "name": name, "at": at, "replace": replace }).to_string()
    };
    let (at, body) = match line {
        MembersLine::List { at } => return ask(&at, "GET", "/members", None),
        MembersLine::Alone { settings, .. } => return alone(&settings),
        MembersLine::Add { name, address, at } => (at, change(name, Some(address), false)),
        MembersLine::Remove { name, at } => (at, change(name, None, false)),
        MembersLine::Replace { name, address, at } => (at, change(name, Some(address), true)),
    };
    ask(&at, "POST", "/members", Some(&body))
}

pub fn duties(line: DutiesLine) -> ExitResult {
    let fields = |said: Said| {
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let id = format!("{:016x}", fastrand::u64(1..));
        eprintln!("order {id}");
        json!({ "id": id, "given": now.as_millis() as u64, "who": said.by, "why": said.why })
    };
    let (said, target, more) = match line {
        DutiesLine::List { at } => return ask(&at, "GET", "/duties", None),
        DutiesLine::Hand { duty, to, said } => {
            (said, "/duties", json!({ "duty": duty, "to": to.unwrap_or_default() }))
        }
        DutiesLine::Hold { said } => (said, "/orders", json!({ "order": "hold-duties" })),
        DutiesLine::Let { said } => (said, "/orders", json!({ "order": "let-duties" })),
    };
    let at = At { at: said.at.at.clone() };
    let mut body = fields(said);
    if let (Value::Object(body), Value::Object(more)) = (&mut body, more) {
        body.extend(more);
    }
    ask(&at, "POST", target, Some(&body.to_string()))
}

pub fn shared(at: At) -> ExitResult {
    ask(&at, "GET", "/shared", None)
}

pub fn record(line: RecordLine) -> ExitResult {
    ask(&line.at, "GET", if line.stale { "/record?stale" } else { "/record" }, None)
}

fn alone(settings: &std::path::Path) -> ExitResult {
    let file = crate::fronts::planner_file(settings)?;
    let path = file.dir.join(format!("{}.record", file.member.name));
    let told = |e: std::io::Error| (3, format!("{}: {e}", path.display()));
    let before = std::fs::read(&path).map_err(told)?;
    let refused = |why: String| (3, format!("{}: {why}", path.display()));
    let (after, goes_on) = pewtergap_member::recover_single_member(&before).map_err(refused)?;
    let aside = path.with_extension("record.before-alone");
    std::fs::write(&aside, &before).map_err(told)?;
    pewtergap_reactor::write_atomically(&path, &after).map_err(told)?;
    println!(
        "{} goes on alone from entry {} of term {}, with {} orders in force. It belonged with {}: what only they held \
         is lost, and they are refused until their disks are empty and they are added. The file as it was: {}",
        file.member.name,
        goes_on.index,
        goes_on.term,
        goes_on.orders,
        goes_on.members.join(", "),
        aside.display()
    );
    Ok(0)
}
