//! A party of a measurement as a process of the program: started from settings, looked at from outside, ended with whoever
//! holds it.

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};

pub struct Process {
    child: Child,
    /// Where it listens, by the names of its doors.
    pub doors: HashMap<String, SocketAddr>,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    /// `pewtergap VERB` with these settings, until the door named `last` is open; what it logs is in `dir`.
    pub fn start(
        program: &Path,
        dir: &Path,
        name: &str,
        verb: &str,
        text: &str,
        last: &str,
    ) -> Result<Process, String> {
        let told = |e: std::io::Error| format!("{name}: {e}");
        let file = dir.join(format!("{name}.star"));
        std::fs::write(&file, text).map_err(told)?;
        let log = File::create(dir.join(format!("{name}.log"))).map_err(told)?;
        let mut child = Command::new(program)
            .args(["--log", "warn", verb, "--announce"])
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .map_err(told)?;
        let out = child.stdout.take();
        let mut process = Process { child, doors: HashMap::new() };
        let mut lines = BufReader::new(out.ok_or("no output")?).lines().map_while(Result::ok);
        for line in lines.by_ref() {
            if let ["listening", door, at] = line.split_whitespace().collect::<Vec<_>>()[..] {
                let at = at.parse().map_err(|_| format!("{name} listens at '{at}'"))?;
                process.doors.insert(door.to_string(), at);
            }
            if process.doors.contains_key(last) {
                // What else it says is read as well: it would wait for a reader, or end without one.
                std::thread::spawn(move || lines.for_each(drop));
                return Ok(process);
            }
        }
        Err(format!("{name} did not start, see its log"))
    }

    /// Milliseconds of a processor so far, and memory in use in KiB.
    pub fn used(&self) -> (f64, f64) {
        used(self.child.id())
    }

    /// Seconds of a processor so far.
    pub fn processor_s(&self) -> f64 {
        self.used().0 / 1e3
    }

    /// Bytes of memory in use.
    pub fn memory(&self) -> f64 {
        self.used().1 * 1024.0
    }

    pub fn descriptors(&self) -> usize {
        descriptors(self.child.id())
    }
}

/// Descriptors that a process holds.
pub fn descriptors(process: u32) -> usize {
    std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count)
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
