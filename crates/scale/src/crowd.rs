//! The hollow planners' processes, as the director sees them: asked all together, answered as one.

use crate::hollow::{Crowd, Spec};
use crate::reckon::CROWD;
use crate::sample::{Role, Sampler};
use crate::track::{Answer, Ask, Spread, Told};
use pewtergap_lab::process::Process;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{ChildStdin, ChildStdout, Command, Stdio};

struct One {
    /// Dropped first, so that the process ends by itself.
    orders: ChildStdin,
    answers: BufReader<ChildStdout>,
    process: Process,
}

pub struct Crowds(Vec<One>);

impl Crowds {
    /// Before any is started.
    pub fn none() -> Crowds {
        Crowds(Vec::new())
    }

    /// # Errors
    /// A process could not be started.
    pub fn start(
        program: &Path,
        dir: &Path,
        planners: Vec<Spec>,
        machines: &[(String, SocketAddr)],
        seed: u64,
        sampler: &Sampler,
    ) -> Result<Crowds, String> {
        let mut all = Vec::new();
        for (at, planners) in planners.chunks(CROWD).enumerate() {
            let name = format!("hollow-{at}");
            let told = |e: std::io::Error| format!("{name}: {e}");
            let file = dir.join(format!("{name}.json"));
            let seed = seed.wrapping_mul(1_000_003).wrapping_add(at as u64);
            let crowd = Crowd { planners: planners.to_vec(), machines: machines.to_vec(), seed };
            std::fs::write(&file, serde_json::to_string(&crowd).unwrap_or_default()).map_err(told)?;
            let log = File::create(dir.join(format!("{name}.log"))).map_err(told)?;
            let mut child = Command::new(program)
                .args(["--log", "warn", "hollow"])
                .arg(&file)
                .stdin(Stdio::piped())
                .stdout(Stdio::piped())
                .stderr(log)
                .spawn()
                .map_err(told)?;
            sampler.add(child.id(), Role::Hollow);
            let (orders, answers) = (child.stdin.take(), child.stdout.take());
            let process = Process::of(child);
            let (Some(orders), Some(answers)) = (orders, answers) else { return Err("no pipes".into()) };
            all.push(One { orders, answers: BufReader::new(answers), process });
        }
        Ok(Crowds(all))
    }

    pub fn processes(&self) -> impl Iterator<Item = u32> + '_ {
        self.0.iter().map(|one| one.process.id())
    }

    /// Asked all at once, so that none waits for another.
    ///
    /// # Errors
    /// A process has ended, or says what is no answer.
    pub fn ask(&mut self, ask: &Ask) -> Result<Vec<Answer>, String> {
        let line = serde_json::to_string(ask).map_err(|e| e.to_string())?;
        for one in &mut self.0 {
            writeln!(one.orders, "{line}").map_err(|e| format!("hollow planners: {e}"))?;
        }
        let mut all = Vec::new();
        for one in &mut self.0 {
            let mut line = String::new();
            one.answers.read_line(&mut line).map_err(|e| format!("hollow planners: {e}"))?;
            all.push(serde_json::from_str(&line).map_err(|e| format!("hollow planners said '{line}': {e}"))?);
        }
        Ok(all)
    }

    /// When all had a place: the spread, and at how many it is missing or forgotten.
    ///
    /// # Errors
    /// As [`Crowds::ask`].
    pub fn when(&mut self, place: u64, from: u64, except: Option<usize>) -> Result<(Spread, u64), String> {
        let (mut all, mut lost) = (Spread::default(), 0);
        for answer in self.ask(&Ask::When { place, from, except })? {
            if let Answer::When { spread, missing, forgotten } = answer {
                all.add(&spread);
                lost += missing + forgotten;
            }
        }
        Ok((all, lost))
    }

    /// Outages: the spread, and how many have not ended.
    ///
    /// # Errors
    /// As [`Crowds::ask`].
    pub fn outages(&mut self, ask: &Ask) -> Result<(Spread, u64), String> {
        let (mut all, mut open) = (Spread::default(), 0);
        for answer in self.ask(ask)? {
            if let Answer::Again { spread, missing } | Answer::Back { spread, missing } = answer {
                all.add(&spread);
                open += missing;
            }
        }
        Ok((all, open))
    }

    /// How many had a place by a moment, and of how many that is no longer known.
    ///
    /// # Errors
    /// As [`Crowds::ask`].
    pub fn by(&mut self, place: u64, moment: u64) -> Result<(u64, u64), String> {
        let answers = self.ask(&Ask::By { place, moment })?;
        let pairs = answers.into_iter().map(|answer| match answer {
            Answer::By { count, forgotten } => (count, forgotten),
            _ => (0, 0),
        });
        Ok(pairs.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1)))
    }

    /// # Errors
    /// As [`Crowds::ask`].
    pub fn state(&mut self) -> Result<Told, String> {
        let mut all = Told { lowest: u64::MAX, ..Told::default() };
        for answer in self.ask(&Ask::State)? {
            let Answer::State(told) = answer else { continue };
            all.planners += told.planners;
            all.watching += told.watching;
            told.by_machine.into_iter().for_each(|(name, n)| *all.by_machine.entry(name).or_default() += n);
            all.lowest = all.lowest.min(told.lowest);
            all.highest = all.highest.max(told.highest);
            all.falls += told.falls;
            all.fell = all.fell.or(told.fell);
            all.came += told.came;
            all.went += told.went;
            all.state += told.state;
            all.most_state = all.most_state.max(told.most_state);
            told.lost_why.into_iter().for_each(|(why, n)| *all.lost_why.entry(why).or_default() += n);
        }
        Ok(all)
    }
}
