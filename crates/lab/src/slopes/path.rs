//! The time that a proxy adds to a request: the same open-loop client straight to the servers and through the proxy, in turn
//! and back, at rates up to the end of the proxy's core. One kind of request, answered at once; no load generator.
//!
//! Times count from when a request was due, not from when it could be sent: a stalled proxy does not hide what waits for it.

use super::origin::{Heard, Origin};
use super::planner::{catalog, planner, server, Told};
use super::{until, Hall};
use crate::ask::call;
use crate::slopes::Party;
use hdrhistogram::Histogram;
use pewtergap_http::{Limits, Part, Reader, Side};
use serde::Serialize;
use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::path::Path as File;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::Arc;
use std::time::{Duration, Instant};

const SERVERS: usize = 19;
/// Connections that the client keeps; what is due while all are taken waits, and its wait counts.
const CONNS: usize = 32;
/// Waiting requests beyond which the client gives up: the rate is past the end.
const MOST_WAITING: usize = 20_000;
/// After the last request was due.
const LINGER: Duration = Duration::from_millis(500);
const REQUEST: &[u8] = b"GET /r0/x HTTP/1.1\r\nhost: lab\r\n\r\n";

/// What plays of one kind came to; times in seconds.
#[derive(Clone, Debug, Serialize)]
pub struct Played {
    pub answered_per_s: f64,
    pub p50: f64,
    pub p99: f64,
    pub worst: f64,
    /// The 99th percentile of each play by itself: how far two of one kind differ.
    pub p99_of_each: Vec<f64>,
    pub due: u64,
    pub failed: u64,
    /// Due and not answered by the end of their play.
    pub left: u64,
}

#[derive(Clone, Debug, Serialize)]
pub struct Path {
    pub requests_per_s: f64,
    pub direct: Played,
    pub proxied: Played,
    pub added_p50: f64,
    pub added_p99: f64,
    /// Of the proxy, while it had these requests.
    pub core: f64,
    pub memory: f64,
    pub descriptors: usize,
}

impl Path {
    /// Past this rate the proxy's core has no more to give.
    pub fn is_past_the_end(&self) -> bool {
        self.proxied.left as f64 > 0.01 * self.proxied.due as f64
    }
}

struct Conn {
    stream: TcpStream,
    reader: Reader,
    due: Option<Instant>,
    status: u16,
}

/// One play: requests at a rate, drawn from a seed.
struct Play {
    histogram: Histogram<u64>,
    answered: u64,
    failed: u64,
    left: u64,
    lasted: f64,
}

fn dial(to: SocketAddr) -> std::io::Result<Conn> {
    let stream = TcpStream::connect(to)?;
    stream.set_nodelay(true)?;
    stream.set_nonblocking(true)?;
    Ok(Conn { stream, reader: Reader::new(Side::Responses, Limits::default()), due: None, status: 0 })
}

/// Requests go to the targets in turn.
fn play(targets: &[SocketAddr], rate: f64, lasts: Duration, seed: u64) -> Result<Play, String> {
    let told = |e: std::io::Error| e.to_string();
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut conns = (0..CONNS).map(|at| dial(targets[at % targets.len()])).collect::<Result<Vec<_>, _>>();
    let conns = conns.as_mut().map_err(|e| e.to_string())?;
    let mut idle: Vec<usize> = (0..CONNS).collect();
    let mut busy: Vec<usize> = Vec::new();
    let mut waiting: VecDeque<Instant> = VecDeque::new();
    let mut histogram = Histogram::<u64>::new(3).map_err(|e| e.to_string())?;
    let (mut answered, mut failed) = (0, 0);
    let begun = Instant::now();
    let end = begun + lasts;
    let mut gap = || Duration::from_secs_f64(-rng.f64().max(1e-12).ln() / rate);
    let mut next = begun + gap();
    let mut buffer = [0u8; 4096];
    loop {
        let now = Instant::now();
        while next <= now && next < end {
            waiting.push_back(next);
            next += gap();
        }
        if now > end && (waiting.is_empty() && busy.is_empty() || now > end + LINGER)
            || waiting.len() > MOST_WAITING
        {
            break;
        }
        while let Some(at) = idle.pop() {
            let Some(due) = waiting.pop_front() else {
                idle.push(at);
                break;
            };
            // A connection that has no unanswered request takes a few bytes at once.
            conns[at].stream.write_all(REQUEST).map_err(told)?;
            conns[at].due = Some(due);
            busy.push(at);
        }
        busy.retain(|at| {
            let conn = &mut conns[*at];
            let count = match conn.stream.read(&mut buffer) {
                Ok(0) => None,
                Ok(count) => Some(count),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return true,
                Err(_) => None,
            };
            conn.reader.push(&buffer[..count.unwrap_or(0)]);
            let mut whole = false;
            while let Ok(Some(part)) = conn.reader.next_part() {
                match part {
                    Part::Head(head) => conn.status = head.status(),
                    Part::Data(_) => {}
                    Part::End => whole = true,
                }
            }
            if count.is_some() && !whole {
                return true;
            }
            let took = conn.due.take().map_or(Duration::ZERO, |due| due.elapsed());
            if whole && conn.status == 200 {
                answered += 1;
                let _ = histogram.record((took.as_nanos() as u64).max(1));
            } else {
                failed += 1;
            }
            if count.is_none() {
                match dial(targets[*at % targets.len()]) {
                    Ok(anew) => *conn = anew,
                    Err(_) => return false,
                }
            }
            idle.push(*at);
            false
        });
        std::hint::spin_loop();
    }
    let left = (waiting.len() + busy.len()) as u64;
    let lasted = begun.elapsed().min(lasts + LINGER).as_secs_f64();
    Ok(Play { histogram, answered, failed, left, lasted })
}

/// All plays of one kind: percentiles are medians over the plays, so that one in which the machine was busy with something
/// else does not stand for all.
fn joined(plays: &[Play]) -> Played {
    let seconds = |nanos: u64| nanos as f64 / 1e9;
    let each = |quantile: f64| -> Vec<f64> {
        plays.iter().map(|play| seconds(play.histogram.value_at_quantile(quantile))).collect()
    };
    Played {
        answered_per_s: plays.iter().map(|play| play.answered as f64 / play.lasted).sum::<f64>()
            / plays.len() as f64,
        p50: median(each(0.5)),
        p99: median(each(0.99)),
        worst: plays.iter().map(|play| seconds(play.histogram.max())).fold(0.0, f64::max),
        p99_of_each: each(0.99),
        due: plays.iter().map(|play| play.answered + play.failed + play.left).sum(),
        failed: plays.iter().map(|play| play.failed).sum(),
        left: plays.iter().map(|play| play.left).sum(),
    }
}

fn median(mut all: Vec<f64>) -> f64 {
    all.sort_by(f64::total_cmp);
    all.get(all.len() / 2).copied().unwrap_or(0.0)
}

/// Servers, list, planner and proxy once; then each rate, until one is past the end. `told` hears each as it is done.
pub fn path(
    program: &File,
    dir: &File,
    rates: &[f64],
    lasts: Duration,
    told: &mut dyn FnMut(&Path),
) -> Result<Vec<Path>, String> {
    let servers: Vec<IpAddr> = (0..SERVERS).map(server).collect();
    let heard = Arc::<Heard>::default();
    let (for_it, own) = (heard.clone(), servers.clone());
    let origins = Hall::open(dir, vec![Box::new(move || Box::new(Origin::new(for_it, own)))])?;
    until("all servers to listen", || heard.open.load(SeqCst) == SERVERS || heard.failure().is_some())?;
    let port = heard.port().filter(|_| heard.failure().is_none());
    let port = port.ok_or_else(|| heard.failure().unwrap_or_default())?;
    let (list, _, list_at) = catalog(dir, servers.clone(), port, 10, 1)?;
    let planner =
        planner(program, dir, &Told { list: list_at, zones: 1, proxies: 2, routes: 1, probes: false })?;
    let at = planner.doors["proxies"];
    let text = format!(
        "proxy(name = \"measured\", zone = \"z00\", listen = \"127.0.0.1:0\", planners = [\"{at}\"], state_dir = \"{}\",\n    \
         routes = [route(\"r0\", slo_time = \"500ms\", time_limit = \"2s\", repeats = \"repeatable\")])\n",
        dir.display()
    );
    let proxy = Party::start(program, dir, "measured-proxy", "proxy", &text, "clients")?;
    let front = [proxy.doors["clients"]];
    until("a first answer", || call(front[0], "GET", "/r0/x", None).is_ok_and(|answer| answer.0 == 200))?;
    let straight: Vec<SocketAddr> = servers.iter().map(|server| SocketAddr::new(*server, port)).collect();
    let mut rows = Vec::new();
    for (nth, rate) in rates.iter().enumerate() {
        let (mut direct, mut proxied, mut core) = (Vec::new(), Vec::new(), 0.0);
        // In turn and back: what else the machine does falls on both. The same requests each time.
        for through in [false, true, true, false, false, true] {
            let seed = nth as u64;
            if through {
                let before = proxy.processor_s();
                let play = play(&front, *rate, lasts, seed)?;
                core += (proxy.processor_s() - before) / play.lasted / 3.0;
                proxied.push(play);
            } else {
                direct.push(play(&straight, *rate, lasts, seed)?);
            }
        }
        let (direct, proxied) = (joined(&direct), joined(&proxied));
        let row = Path {
            requests_per_s: *rate,
            added_p50: proxied.p50 - direct.p50,
            added_p99: proxied.p99 - direct.p99,
            direct,
            proxied,
            core,
            memory: proxy.memory(),
            descriptors: proxy.descriptors(),
        };
        told(&row);
        let past = row.is_past_the_end();
        rows.push(row);
        if past {
            break;
        }
    }
    drop((proxy, planner, list, origins));
    Ok(rows)
}
