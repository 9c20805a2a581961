//! Processes of the program that a run starts: where they listen, what they use, signals.

use rustix::process::{kill_process, Pid, Signal};
use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};

/// Ended with its owner.
pub struct Process {
    child: Child,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    /// Starts `program VERB FILE --announce` on these settings, until all of these doors are open; its doors by name. Settings and log lie in `dir`.
    ///
    /// # Errors
    /// What could not be written or started, or that it ended before it listened.
    pub fn start(
        program: &Path,
        dir: &Path,
        verb: &str,
        name: &str,
        text: &str,
        wanted: &[&str],
    ) -> Result<(Process, HashMap<String, SocketAddr>), String> {
        let told = |e: std::io::Error| format!("{name}: {e}");
        let file = dir.join(format!("{name}.star"));
        std::fs::write(&file, text).map_err(told)?;
        let log = dir.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(log).map_err(told)?;
        let mut child = Command::new(program)
            .args(["--log", "warn", verb, "--announce"])
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .map_err(told)?;
        let out = child.stdout.take();
        let process = Process { child };
        let mut doors = HashMap::new();
        let mut lines = BufReader::new(out.ok_or("no output")?).lines().map_while(Result::ok);
        for line in lines.by_ref() {
            if let ["listening", door, at] = line.split_whitespace().collect::<Vec<_>>()[..] {
                let at = at.parse().map_err(|_| format!("{name} listens at '{at}'"))?;
                doors.insert(door.to_string(), at);
            }
            if wanted.iter().all(|door| doors.contains_key(*door)) {
                // What else it says is read as well: it would wait for a reader, or end without one.
                std::thread::spawn(move || lines.for_each(drop));
                return Ok((process, doors));
            }
        }
        Err(format!("{name} did not start, see its log"))
    }

    /// One that is started already.
    pub fn of(child: Child) -> Process {
        Process { child }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: Signal) {
        let _ = kill_process(Pid::from_child(&self.child), signal);
    }

    /// Time of a processor so far, in milliseconds, and memory in use, in KiB.
    pub fn used(&self) -> (f64, f64) {
        used(self.id())
    }
}

/// Milliseconds of a processor so far, and memory in use in KiB, as the system counts them for a process.
pub fn used(process: u32) -> (f64, f64) {
    let read = |name: &str| std::fs::read_to_string(format!("/proc/{}/{name}", process)).unwrap_or_default();
    let stat = read("stat");
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or("").split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
    let status = read("status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0.0);
    // Clock ticks are hundredths of a second on Linux.
    ((ticks(11) + ticks(12)) * 10.0, kib)
}

/// Descriptors that a process has open; 0 if it is gone.
pub fn descriptors(process: u32) -> usize {
    std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count)
}
