//! A signal and a peer's bytes reported by the same poll. In a test binary of its own, since signals reach the whole process.

use pewtergap_node::{Effect, Input, Level, Node, Outbox};
use pewtergap_reactor::{Clock, Reactor};
use pewtergap_time::Moment;
use signal_hook::consts::SIGTERM;
use std::any::Any;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(30);

/// Echoes what it reads; each read blocks while the test holds the lock.
struct Echo {
    reports: Sender<String>,
    gate: Arc<Mutex<()>>,
}

impl Node for Echo {
    fn handle(&mut self, _: Moment, input: Input<'_>, out: &mut Outbox) {
        let report = match input {
            Input::Start => {
                return out.push(Effect::Listen { listener: 1, at: SocketAddr::from(([127, 0, 0, 1], 0)) })
            }
            Input::Listening { at, .. } => at.to_string(),
            Input::Bytes { link, bytes } => {
                out.send(link, bytes.to_vec());
                let _ = self.reports.send(String::from_utf8_lossy(bytes).into_owned());
                return drop(self.gate.lock());
            }
            Input::Stop => {
                out.log(Level::Info, "stopped", vec![]);
                out.push(Effect::Exit { code: 0 });
                "stop".into()
            }
            Input::Closed { .. } | Input::Accepted { .. } => return,
            other => format!("{other:?}"),
        };
        let _ = self.reports.send(report);
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}

#[test]
fn a_request_behind_the_stop_signal_gets_no_answer() {
    let (sender, reports) = channel();
    let gate = Arc::new(Mutex::new(()));
    let mut reactor = Reactor::new(Clock::default(), 1 << 20, PathBuf::new()).unwrap();
    reactor.catch_signals().unwrap();
    reactor.add(Box::new(Echo { reports: sender, gate: gate.clone() }));
    let exit_code = std::thread::spawn(move || reactor.run().unwrap().0);
    let next_report = || reports.recv_timeout(TIMEOUT).unwrap();
    let at = next_report();
    let (mut first, mut second) = (TcpStream::connect(&at).unwrap(), TcpStream::connect(&at).unwrap());
    // Makes sure that the second connection is accepted before the reactor is blocked.
    second.write_all(b"here").unwrap();
    assert_eq!(next_report(), "here");
    second.read_exact(&mut [0; 4]).unwrap();
    let lock = gate.lock().unwrap();
    first.write_all(b"hold").unwrap();
    assert_eq!(next_report(), "hold");
    // While the reactor is blocked: first the signal, then the request. The kernel reports them in this order.
    signal_hook::low_level::raise(SIGTERM).unwrap();
    second.write_all(b"late").unwrap();
    drop(lock);
    assert_eq!(next_report(), "stop");
    assert_eq!(exit_code.join().unwrap(), 0);
    assert!(reports.recv_timeout(TIMEOUT).is_err(), "the request was handled");
    let mut rest = Vec::new();
    let _ = second.read_to_end(&mut rest);
    assert_eq!(rest, b"");
}
