//! `pewtergap measure list|routes|probes|streams|voter|leases|path`: what docs/capacity/slopes.toml has its points from, a line of JSON for
//! each size.

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
pub enum Sized {
    /// A planner and a proxy by servers in the list; no calls, no probes.
    List {
        #[arg(long, value_delimiter = ',', default_value = "200,1000,4000,12000,34000")]
        servers: Vec<usize>,
        /// Servers in one slice of the list; left out, a 51st of them.
        #[arg(long)]
        a_slice: Option<usize>,
        /// Seconds at rest, twice a size.
        #[arg(long, default_value_t = 8)]
        rest: u64,
    },
    /// A planner by routes in its settings, 200 servers and 10 proxies.
    Routes {
        #[arg(long, value_delimiter = ',', default_value = "1,10,20,40,60")]
        routes: Vec<usize>,
        #[arg(long, default_value_t = 10)]
        rest: u64,
    },
    /// A planner that probes servers; no proxies.
    Probes {
        #[arg(long, value_delimiter = ',', default_value = "50,100,200,400,800")]
        servers: Vec<usize>,
        #[arg(long, default_value_t = 10)]
        rest: u64,
    },
    /// A planner by proxies that have no calls.
    Streams {
        #[arg(long, value_delimiter = ',', default_value = "10,50,100,200,400")]
        proxies: Vec<usize>,
        #[arg(long, default_value_t = 10)]
        rest: u64,
    },
    /// What voters spend by orders a second, by entries that they hold, and by their number.
    Voter {
        #[arg(long, value_delimiter = ',', default_value = "0,25,50,100,200,400")]
        rates: Vec<f64>,
        #[arg(long, value_delimiter = ',', default_value = "2000,5000,10000,20000,40000")]
        entries: Vec<usize>,
        #[arg(long, value_delimiter = ',', default_value = "1,3,5,7")]
        voters: Vec<usize>,
        /// Kills of the leader, for each number of voters from 3 on.
        #[arg(long, default_value_t = 0)]
        kills: usize,
        /// Seconds of each rate, with five voters.
        #[arg(long, default_value_t = 8)]
        seconds: u64,
    },
    /// What a planner spends by duties held, seven planners.
    Leases {
        #[arg(long, value_delimiter = ',', default_value = "10,25,50,100,200")]
        duties: Vec<usize>,
        /// Kills of a holder, with 3, 5 and 7 planners.
        #[arg(long, default_value_t = 0)]
        kills: usize,
        #[arg(long, default_value_t = 10)]
        seconds: u64,
    },
    /// The time that a proxy adds to a request, beside the same client straight to the servers.
    Path {
        #[arg(
            long,
            value_delimiter = ',',
            default_value = "50,200,500,1000,2000,4000,6000,8000,10000,12000,15000,20000,30000"
        )]
        rates: Vec<f64>,
        /// Seconds of a play; each rate has three of each kind.
        #[arg(long, default_value_t = 2)]
        seconds: u64,
    },
}

pub fn measure(what: &Sized) -> ExitResult {
    let program = std::env::current_exe().map_err(|e| (3, e.to_string()))?;
    let dir = std::env::temp_dir().join(format!("pewtergap-slopes-{}", std::process::id()));
    std::fs::create_dir_all(&dir).map_err(|e| (3, e.to_string()))?;
    let came = sizes(what, &program, &dir);
    let _ = std::fs::remove_dir_all(&dir);
    came.map(|()| 0).map_err(|why| (3, format!("the measurement failed: {why}")))
}

fn tell(row: &impl Serialize) {
    println!("{}", serde_json::to_string(row).unwrap_or_default());
}

fn sizes(what: &Sized, program: &Path, dir: &Path) -> Result<(), String> {
    let seconds = Duration::from_secs;
    match what {
        Sized::List { servers, a_slice, rest } => {
            for count in servers.iter().filter(|count| **count > 0) {
                tell(&slopes::by_servers(program, dir, *count, *a_slice, seconds(*rest))?);
            }
        }
        Sized::Routes { routes, rest } => {
            for count in routes {
                tell(&slopes::by_routes(program, dir, *count, seconds(*rest))?);
            }
        }
        Sized::Probes { servers, rest } => {
            for count in servers {
                tell(&slopes::by_probes(program, dir, *count, seconds(*rest))?);
            }
        }
        Sized::Streams { proxies, rest } => {
            for count in proxies {
                tell(&slopes::by_proxies(program, dir, *count, seconds(*rest))?);
            }
        }
        Sized::Voter { rates, entries, voters, kills, seconds: lasts } => {
            with_cluster(program, dir, 5, None, |director| {
                for rate in rates {
                    tell(&director.measure_voter(*rate, seconds(*lasts))?);
                }
                Ok(())
            })?;
            for count in entries {
                with_cluster(program, dir, 5, None, |director| {
                    tell(&director.measure_filled(*count)?);
                    Ok(())
                })?;
            }
            for count in voters {
                with_cluster(program, dir, *count, None, |director| {
                    tell(&director.measure_voter(0.0, seconds(*lasts))?);
                    if *count > 2 && *kills > 0 {
                        let without = director.measure_kills(*kills)?;
                        tell(&json!({ "voters": count, "without_leader_ms": without }));
                    }
                    Ok(())
                })?;
            }
        }
        Sized::Leases { duties, kills, seconds: lasts } => {
            for count in duties {
                with_cluster(program, dir, 7, Some(*count), |director| {
                    tell(&director.measure_at_rest(*lasts)?);
                    Ok(())
                })?;
            }
            for count in [3, 5, 7].into_iter().filter(|_| *kills > 0) {
                let took = with_cluster(program, dir, count, Some(2), |director| {
                    director.measure_strikes(STRUCK[0], *kills)
                })?;
                tell(
                    &json!({ "planners": count, "struck": format!("{:?}", STRUCK[0]), "gone_on_ms": took.0 }),
                );
            }
        }
        Sized::Path { rates, seconds: lasts } => {
            slopes::path(program, dir, rates, seconds(*lasts), &mut |row| tell(row))?;
        }
    }
    Ok(())
}
