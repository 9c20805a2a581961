//! `pewtergap scale` and the hollow planners' process.

use crate::ExitResult;
use clap::Args;
use pewtergap_scale::director::{play, Came, Run};
use pewtergap_scale::faults::{Fault, FAULTS};
use pewtergap_scale::judge::{Planted, PLANTED};
use pewtergap_scale::reckon::{fits, Limits, Need, Size};
use pewtergap_scale::report::{read, write};
use serde_json::json;
use std::path::{Path, PathBuf};
use std::time::Duration;

#[derive(Args)]
pub struct ScaleLine {
    /// Planners in all; several sizes are run one after the other.
    #[arg(long, value_delimiter = ',', required_unless_present = "beside")]
    planners: Vec<usize>,
    /// Control machines; five of them vote at most, the others observe.
    #[arg(long, default_value_t = 11)]
    control: usize,
    #[arg(long, default_value_t = 17)]
    regions: usize,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Of the planners, real ones: processes of the program.
    #[arg(long, default_value_t = 20)]
    real: usize,
    /// Of each real planner.
    #[arg(long, default_value_t = 1)]
    proxies: usize,
    /// What strikes, in this order: machine, leader, region, region-of-machine, restart, deaf, stopped.
    #[arg(long, value_delimiter = ',', value_parser = fault)]
    faults: Vec<Fault>,
    /// Seconds at rest, and seconds for which a fault stands.
    #[arg(long, default_value_t = 10)]
    rest: u64,
    #[arg(long, default_value_t = 10)]
    hold: u64,
    /// The program whose processes are run, where it is another build than this one.
    #[arg(long)]
    program: Option<PathBuf>,
    /// What came of other sizes, from `--json`: they go into the report as well; with no planners the report is all.
    #[arg(long)]
    beside: Vec<PathBuf>,
    /// Shows the judge a break that it must find: taken-back, unheard-counted.
    #[arg(long, value_parser = planted)]
    plant: Option<Planted>,
    /// What came of it as JSON, on standard output.
    #[arg(long)]
    json: bool,
    /// Settings, logs and the report go here, and stay.
    #[arg(long)]
    out: Option<PathBuf>,
}

fn one_of<T: Copy>(known: &[(&str, T)], name: &str) -> Result<T, String> {
    let found = known.iter().find(|known| known.0 == name).map(|known| known.1);
    found.ok_or_else(|| {
        let names: Vec<&str> = known.iter().map(|known| known.0).collect();
        format!("one of {}", names.join(", "))
    })
}

fn fault(name: &str) -> Result<Fault, String> {
    one_of(FAULTS, name)
}

fn planted(name: &str) -> Result<Planted, String> {
    one_of(PLANTED, name)
}

pub fn hollow(file: &Path) -> ExitResult {
    pewtergap_scale::hollow::run(file).map(|()| 0).map_err(|why| (3, why))
}

pub fn scale(line: ScaleLine) -> ExitResult {
    let limits = Limits::here().map_err(|why| (3, why))?;
    let size = |planners: &usize| Size {
        planners: *planners,
        real: line.real,
        proxies: line.proxies,
        control: line.control,
        regions: line.regions,
    };
    let sizes: Vec<Size> = line.planners.iter().map(size).collect();
    let needs = sizes.iter().map(|size| {
        fits(size, &limits).map_err(|why| (2, format!("{} planners are not run:\n{why}", size.planners)))
    });
    // Before any of them is run.
    let needs = needs.collect::<Result<Vec<Need>, _>>()?;
    let own = if cfg!(debug_assertions) { "debug" } else { "release" };
    let (program, build) = match &line.program {
        Some(other) => (other.clone(), format!("{}, director {own}", other.display())),
        None => (std::env::current_exe().map_err(|e| (3, e.to_string()))?, own.to_string()),
    };
    let base = line.out.clone();
    let base =
        base.unwrap_or_else(|| std::env::temp_dir().join(format!("pewtergap-scale-{}", std::process::id())));
    let mut beside: Vec<Came> = Vec::new();
    for file in &line.beside {
        beside.extend(read(file).map_err(|why| (2, why))?);
    }
    let report = |all: &[Came]| {
        let mut whole = [&beside, all].concat();
        whole.sort_by_key(|came| came.size.planners);
        line.out.as_ref().map_or(Ok(()), |out| write(out, &whole)).map_err(|why| (3, why))
    };
    report(&[])?;
    let mut all: Vec<Came> = Vec::new();
    for (size, need) in sizes.iter().zip(needs) {
        let say = |what: &str| eprintln!("{:>5} planners  {what}", size.planners);
        say(&format!(
            "needs {} MiB, {} processes, {} descriptors",
            need.memory >> 20,
            need.processes,
            need.descriptors
        ));
        let run = Run {
            program: &program,
            build: &build,
            dir: base.join(size.planners.to_string()),
            size: *size,
            need,
            memory: limits.memory,
            seed: line.seed,
            faults: line.faults.clone(),
            rest: Duration::from_secs(line.rest),
            hold: Duration::from_secs(line.hold),
            planted: line.plant,
            progress: &say,
        };
        all.push(play(&run).map_err(|why| (3, format!("the scale run failed: {why}")))?);
        // Should a later size fail, what came of this one stays.
        report(&all)?;
    }
    if line.out.is_none() {
        let _ = std::fs::remove_dir_all(&base);
    }
    let broken: usize = all.iter().map(|came| came.breaches.len()).sum();
    if line.json {
        println!("{}", json!({ "runs": all }));
    } else {
        all.iter().for_each(tell);
    }
    Ok(u8::from(broken > 0))
}

fn tell(came: &Came) {
    println!("{} planners, {} control machines, seed {}:", came.size.planners, came.size.control, came.seed);
    for aim in &came.aims {
        let measured = aim.measured.map_or("not measured".into(), |measured| format!("{measured:.2}"));
        let missed = if aim.met() == Some(false) { "  MISSED" } else { "" };
        println!("  {}: {measured} of {} {}{missed}", aim.name, aim.most, aim.unit);
    }
    came.breaches.iter().for_each(|breach| println!("  {breach}"));
    println!("  {} rules broken", came.breaches.len());
}
