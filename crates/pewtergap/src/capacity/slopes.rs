//! The `measure list|routes|probes|streams|voter|leases|path` commands, which produce the points of
//! docs/capacity/slopes.toml as one line of JSON per size.

use crate::ExitResult;
use clap::Subcommand;
use pewtergap_lab::cluster::duties::STRUCK;
use pewtergap_lab::cluster::measure::with_cluster;
use pewtergap_lab::slopes;
use serde::Serialize;
use serde_json::json;
use std::path::Path;
use std::time::Duration;

#[derive(Subcommand)]
pub enum SlopeCommand {
    /// A planner and a proxy by number of listed servers; no calls, no probes.
    List {
        #[arg(long, value_delimiter = ',', default_value = "200,1000,4000,12000,34000")]
        servers: Vec<usize>,
        /// Servers in one slice of the list; by default 1/51 of them.
        #[arg(long)]
        a_slice: Option<usize>,
        /// Seconds at rest, twice for each size.
        #[arg(long, default_value_t = 8)]
        rest: u64,
    },
    /// A planner by number of routes in its settings, with 200 servers and 10 proxies.
    Routes {
        #[arg(long, value_delimiter = ',', default_value = "1,10,20,40,60")]
        routes: Vec<usize>,
        #[arg(long, default_value_t = 10)]
        rest: u64,
    },
    /// A planner by number of probed servers; no proxies.
    Probes {
        #[arg(long, value_delimiter = ',', default_value = "50,100,200,400,800")]
        servers: Vec<usize>,
        #[arg(long, default_value_t = 10)]
        rest: u64,
    },
    /// A planner by number of proxies without calls.
    Streams {
        #[arg(long, value_delimiter = ',', default_value = "10,50,100,200,400")]
        proxies: Vec<usize>,
        #[arg(long, default_value_t = 10)]
        rest: u64,
    },
    /// The cost of voters by orders per second, by stored entries, and by number of voters.
    Voter {
        #[arg(long, value_delimiter = ',', default_value = "0,25,50,100,200,400")]
        rates: Vec<f64>,
        #[arg(long, value_delimiter = ',', default_value = "2000,5000,10000,20000,40000")]
        entries: Vec<usize>,
        #[arg(long, value_delimiter = ',', default_value = "1,3,5,7")]
        voters: Vec<usize>,
        /// Kills of the leader, for each number of voters of 3 or more.
        #[arg(long, default_value_t = 0)]
        kills: usize,
        /// Seconds for each rate, with five voters.
        #[arg(long, default_value_t = 8)]
        seconds: u64,
    },
    /// The cost of a planner by number of duties, with seven planners.
    Leases {
        #[arg(long, value_delimiter = ',', default_value = "10,25,50,100,200")]
        duties: Vec<usize>,
        /// Kills of a duty holder, with 3, 5 and 7 planners.
        #[arg(long, default_value_t = 0)]
        kills: usize,
        #[arg(long, default_value_t = 10)]
        seconds: u64,
    },
    /// The time that a proxy adds to a request, compared with the same client connected to the servers directly.
    Path {
        #[arg(
            long,
            value_delimiter = ',',
            default_value = "50,200,500,1000,2000,4000,6000,8000,10000,12000,15000,20000,30000"
        )]
        rates: Vec<f64>,
        /// Seconds of one run; each rate has three runs of each kind.
        #[arg(long, default_value_t = 2)]
        seconds: u64,
    },
}

pub fn measure(command: &SlopeCommand) -> ExitResult {
    let program = std::env::current_exe().map_err(|e| (3, e.to_string()))?;
    let dir = std::env::temp_dir().join(format!("pewtergap-slopes-{}", std::process::id()));
    std::fs::create_dir_all(&dir).map_err(|e| (3, e.to_string()))?;
    let result = measure_all(command, &program, &dir);
    let _ = std::fs::remove_dir_all(&dir);
    result.map(|()| 0).map_err(|why| (3, format!("the measurement failed: {why}")))
}

fn print_json(row: &impl Serialize) {
    println!("{}", serde_json::to_string(row).unwrap_or_default());
}

fn measure_all(command: &SlopeCommand, program: &Path, dir: &Path) -> Result<(), String> {
    let seconds = Duration::from_secs;
    match command {
        SlopeCommand::List { servers, a_slice, rest } => {
            for count in servers.iter().filter(|count| **count > 0) {
                print_json(&slopes::by_servers(program, dir, *count, *a_slice, seconds(*rest))?);
            }
        }
        SlopeCommand::Routes { routes, rest } => {
            for count in routes {
                print_json(&slopes::by_routes(program, dir, *count, seconds(*rest))?);
            }
        }
        SlopeCommand::Probes { servers, rest } => {
            for count in servers {
                print_json(&slopes::by_probes(program, dir, *count, seconds(*rest))?);
            }
        }
        SlopeCommand::Streams { proxies, rest } => {
            for count in proxies {
                print_json(&slopes::by_proxies(program, dir, *count, seconds(*rest))?);
            }
        }
        SlopeCommand::Voter { rates, entries, voters, kills, seconds: duration } => {
            with_cluster(program, dir, 5, None, |director| {
                for rate in rates {
                    print_json(&director.measure_voter(*rate, seconds(*duration))?);
                }
                Ok(())
            })?;
            for count in entries {
                with_cluster(program, dir, 5, None, |director| {
                    print_json(&director.measure_filled(*count)?);
                    Ok(())
                })?;
            }
            for count in voters {
                with_cluster(program, dir, *count, None, |director| {
                    print_json(&director.measure_voter(0.0, seconds(*duration))?);
                    if *count > 2 && *kills > 0 {
                        let intervals = director.measure_kills(*kills)?;
                        print_json(&json!({ "voters": count, "without_leader_ms": intervals }));
                    }
                    Ok(())
                })?;
            }
        }
        SlopeCommand::Leases { duties, kills, seconds: duration } => {
            for count in duties {
                with_cluster(program, dir, 7, Some(*count), |director| {
                    print_json(&director.measure_at_rest(*duration)?);
                    Ok(())
                })?;
            }
            for count in [3, 5, 7].into_iter().filter(|_| *kills > 0) {
                let strikes = with_cluster(program, dir, count, Some(2), |director| {
                    director.measure_strikes(STRUCK[0], *kills)
                })?;
                print_json(
                    &json!({ "planners": count, "struck": format!("{:?}", STRUCK[0]), "gone_on_ms": strikes.0 }),
                );
            }
        }
        SlopeCommand::Path { rates, seconds: duration } => {
            slopes::path(program, dir, rates, seconds(*duration), &mut |row| print_json(row))?;
        }
    }
    Ok(())
}
