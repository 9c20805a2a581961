//! What the record costs, as ratios in one run: orders a second and their time beside a bare append-and-sync and a
//! bare round trip on loopback; the time without a leader; an empty member brought up.

use super::{name, Director, Started};
use crate::ask::Client;
use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::{json, Value};
use std::fs::OpenOptions;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

/// Times in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Times {
    pub count: u64,
    pub p50: f64,
    pub p99: f64,
    pub worst: f64,
}

pub fn times(all: &[Duration]) -> Times {
    let Ok(mut histogram) = Histogram::<u64>::new(3) else { return Times::default() };
    for one in all {
        let _ = histogram.record((one.as_nanos() as u64).max(1));
    }
    let ms = |nanos: u64| nanos as f64 / 1e6;
    Times {
        count: histogram.len(),
        p50: ms(histogram.value_at_quantile(0.5)),
        p99: ms(histogram.value_at_quantile(0.99)),
        worst: ms(histogram.max()),
    }
}

/// 200 bytes written behind a file and synced, one after the other.
pub fn bare_sync(dir: &Path, rounds: usize) -> std::io::Result<Times> {
    let path = dir.join("bare");
    let mut file = OpenOptions::new().create(true).append(true).open(&path)?;
    let mut all = Vec::new();
    for _ in 0..rounds {
        let begin = Instant::now();
        file.write_all(&[7; 200])?;
        file.sync_data()?;
        all.push(begin.elapsed());
    }
    std::fs::remove_file(path)?;
    Ok(times(&all))
}

/// 200 bytes there and back.
pub fn bare_round_trip(rounds: usize) -> std::io::Result<Times> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let at = listener.local_addr()?;
    let echo = std::thread::spawn(move || -> std::io::Result<()> {
        let (mut stream, _) = listener.accept()?;
        stream.set_nodelay(true)?;
        let mut buffer = [0; 200];
        while stream.read_exact(&mut buffer).is_ok() {
            stream.write_all(&buffer)?;
        }
        Ok(())
    });
    let mut stream = TcpStream::connect(at)?;
    stream.set_nodelay(true)?;
    let (mut all, mut buffer) = (Vec::new(), [3; 200]);
    for _ in 0..rounds {
        let begin = Instant::now();
        stream.write_all(&buffer)?;
        stream.read_exact(&mut buffer)?;
        all.push(begin.elapsed());
    }
    drop(stream);
    let _ = echo.join();
    Ok(times(&all))
}

#[derive(Clone, Debug, Serialize)]
pub struct Orders {
    pub members: usize,
    pub operators: usize,
    pub a_second: f64,
    pub kept: Times,
    pub failed: usize,
}

/// So many operators, each giving one order after the other, at the leader's admin door.
pub fn orders(at: SocketAddr, members: usize, operators: usize, each: usize) -> Orders {
    orders_of(at, members, operators, each, Duration::ZERO)
}

/// An order as an operator's tool puts it, given so long ago.
fn order_of(operator: usize, ago: Duration) -> String {
    let ms = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    let ms = ms.saturating_sub(ago).as_millis() as u64;
    json!({ "id": format!("{:016x}", fastrand::u64(1..)), "given": ms, "who": "lab", "why": "a measurement",
        "order": "weight", "server": format!("s{operator}"), "weight": 1.0 })
    .to_string()
}

/// Given so long ago: the record holds no more than 100,000 ids, those of the last quarter of an hour.
fn orders_of(at: SocketAddr, members: usize, operators: usize, each: usize, ago: Duration) -> Orders {
    let begin = Instant::now();
    let one = |operator: usize| {
        let (mut client, mut all, mut failed) = (Client::new(at), Vec::new(), 0);
        for _ in 0..each {
            let body = order_of(operator, ago);
            let begin = Instant::now();
            match client.call("POST", "/orders", Some(&body)) {
                Ok((200, _)) => all.push(begin.elapsed()),
                _ => failed += 1,
            }
        }
        (all, failed)
    };
    let done: Vec<(Vec<Duration>, usize)> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..operators).map(|operator| scope.spawn(move || one(operator))).collect();
        threads.into_iter().filter_map(|thread| thread.join().ok()).collect()
    });
    let all: Vec<Duration> = done.iter().flat_map(|done| done.0.iter().copied()).collect();
    let failed = done.iter().map(|done| done.1).sum();
    let a_second = all.len() as f64 / begin.elapsed().as_secs_f64();
    Orders { members, operators, a_second, kept: times(&all), failed }
}

#[derive(Clone, Debug, Serialize)]
pub struct BroughtUp {
    pub entries: u64,
    pub seconds: f64,
    /// Bytes on its disk afterwards.
    pub bytes: u64,
    /// Orders meanwhile, beside the same number just before.
    pub before: Times,
    pub meanwhile: Times,
}

/// What a voter spends at a rate of orders; parts of a core, bytes, a second.
#[derive(Clone, Debug, Serialize)]
pub struct Voter {
    pub voters: usize,
    pub orders_per_s: f64,
    pub kept_per_s: f64,
    pub leader_core: f64,
    /// The other voters', on the mean.
    pub other_core: f64,
    /// On all links between voters.
    pub bytes_per_s: f64,
    pub words_per_s: f64,
    pub entries: u64,
    pub leader_memory: f64,
    pub leader_disk: f64,
    pub leader_descriptors: usize,
}

impl Director<'_> {
    /// What voters spend while orders come at a steady rate, none at 0.
    pub fn measure_voter(&mut self, rate: f64, lasts: Duration) -> Result<Voter, String> {
        use std::sync::atomic::Ordering::Relaxed;
        let (leader, admin) = self.leader_admin()?;
        let ids: Vec<u32> = self.running.iter().flatten().map(|running| running.child.id()).collect();
        let id =
            self.running[leader].as_ref().map(|running| running.child.id()).ok_or("the leader is gone")?;
        let spent = || ids.iter().map(|id| crate::process::used(*id).0 / 1e3).sum::<f64>();
        let own = || crate::process::used(id).0 / 1e3;
        let (all_before, own_before) = (spent(), own());
        let bytes = || {
            let passed = self.passed.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
            passed.iter().flatten().sum::<u64>()
        };
        let (bytes_before, words) = (bytes(), self.passed.1.load(Relaxed));
        let (mut client, begun, mut kept) = (Client::new(admin), Instant::now(), 0u32);
        let mut given = 0u32;
        while rate > 0.0 && begun.elapsed() < lasts {
            let due = Duration::from_secs_f64(f64::from(given) / rate);
            std::thread::sleep(due.saturating_sub(begun.elapsed()));
            let body = order_of(given as usize % 16, Duration::ZERO);
            given += 1;
            kept += u32::from(matches!(client.call("POST", "/orders", Some(&body)), Ok((200, _))));
        }
        std::thread::sleep(lasts.saturating_sub(begun.elapsed()));
        let lasted = begun.elapsed().as_secs_f64();
        let (leader_core, all) = ((own() - own_before) / lasted, (spent() - all_before) / lasted);
        let per_s = |before: u64, now: u64| (now - before) as f64 / lasted;
        let view = ask_view(admin);
        let disk = std::fs::metadata(super::record_file(&self.day.dir, leader)).map_or(0, |kept| kept.len());
        Ok(Voter {
            voters: self.day.members,
            orders_per_s: rate,
            kept_per_s: f64::from(kept) / lasted,
            leader_core,
            other_core: (all - leader_core) / (ids.len().max(2) - 1) as f64,
            bytes_per_s: per_s(bytes_before, bytes()),
            words_per_s: per_s(words, self.passed.1.load(Relaxed)),
            entries: view["index"].as_u64().unwrap_or(0),
            leader_memory: crate::process::used(id).1 * 1024.0,
            leader_disk: disk as f64,
            leader_descriptors: crate::process::descriptors(id),
        })
    }

    /// The same after so many entries, for memory and disk: they come at once, at rest it is looked at.
    pub fn measure_filled(&mut self, entries: usize) -> Result<Voter, String> {
        let (_, admin) = self.leader_admin()?;
        let missing =
            (entries as u64).saturating_sub(ask_view(admin)["index"].as_u64().unwrap_or(0)) as usize;
        let put = orders(admin, self.day.members, 16, missing.div_ceil(16));
        if put.failed > 0 {
            return Err(format!("{} of {missing} orders were not kept", put.failed));
        }
        self.measure_voter(0.0, Duration::from_secs(2))
    }

    pub(super) fn leader_admin(&self) -> Result<(usize, SocketAddr), String> {
        let end = Instant::now() + Duration::from_secs(30);
        loop {
            if let Some((at, admin)) = self.leader().and_then(|at| self.admin(at).map(|admin| (at, admin))) {
                return Ok((at, admin));
            }
            if Instant::now() > end {
                return Err("nobody leads".into());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Orders at the leader, by one operator and by many.
    pub fn measure_orders(&mut self, each: usize) -> Result<Vec<Orders>, String> {
        let (_, admin) = self.leader_admin()?;
        Ok([1, 16].map(|operators| orders(admin, self.day.members, operators, each)).to_vec())
    }

    /// Kills of the leader, each until an order that is given afterwards is kept.
    pub fn measure_kills(&mut self, kills: usize) -> Result<Times, String> {
        let mut all = Vec::new();
        for _ in 0..kills {
            let (leader, _) = self.leader_admin()?;
            let lost = Instant::now();
            self.end(leader, rustix::process::Signal::KILL);
            self.until_kept()?;
            all.push(lost.elapsed());
            self.start(leader)?;
            self.wait_up(leader)?;
            self.wait_all_fresh()?;
        }
        Ok(times(&all))
    }

    /// A follower loses its disk after so many entries and comes back with none.
    pub fn measure_bringing_up(&mut self, entries: usize) -> Result<BroughtUp, String> {
        let (leader, admin) = self.leader_admin()?;
        let count = |admin| ask_view(admin)["index"].as_u64().unwrap_or(0);
        let held = count(admin);
        let missing = (entries as u64).saturating_sub(held) as usize;
        // Forgotten two seconds after they were given: more than a million ids have no place.
        let ago = Duration::from_secs(15 * 60 - 2);
        let put = orders_of(admin, self.day.members, 32, missing / 32 + 1, ago);
        if put.failed > 0 {
            return Err(format!("{} of {missing} orders were not kept", put.failed));
        }
        let before = orders(admin, self.day.members, 1, 200).kept;
        let other = (leader + 1) % self.day.members;
        self.end(other, rustix::process::Signal::KILL);
        let path = super::record_file(&self.day.dir, other);
        std::fs::remove_file(&path).map_err(|e| e.to_string())?;
        let begin = Instant::now();
        self.start(other)?;
        self.wait_up(other)?;
        let meanwhile = orders(admin, self.day.members, 1, 200).kept;
        self.wait_all_fresh()?;
        let seconds = begin.elapsed().as_secs_f64();
        let bytes = std::fs::metadata(&path).map_err(|e| e.to_string())?.len();
        Ok(BroughtUp { entries: count(admin), seconds, bytes, before, meanwhile })
    }
}

/// What the record's door says of it.
fn ask_view(admin: SocketAddr) -> Value {
    let view = Client::new(admin).call("GET", "/record", None).map(|answer| answer.1).unwrap_or_default();
    serde_json::from_str(&view).unwrap_or_default()
}

/// A cluster without faults, to measure it.
pub fn with_cluster<T>(
    program: &Path,
    dir: &Path,
    members: usize,
    duties: Option<usize>,
    act: impl FnOnce(&mut Director) -> Result<T, String>,
) -> Result<T, String> {
    let day = super::ClusterDay {
        program,
        dir: dir.join(format!("{}-of-{members}", name(0))),
        members,
        founders: members,
        seed: 1,
        strikes: 0,
        only: Vec::new(),
        planted: None,
        format: None,
        duties,
        sharing: false,
        shares_nothing: None,
    };
    let mut started = Started::new(&day)?;
    started.director.bring_up()?;
    let came = act(&mut started.director);
    drop(started);
    let _ = std::fs::remove_dir_all(&day.dir);
    came
}
