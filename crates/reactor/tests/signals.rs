//! A signal and a peer's bytes in one look at the kernel. A process of its own: signals are the whole process's.

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

const CEILING: Duration = Duration::from_secs(30);

/// Answers each read by what it read; the first one holds it up as long as somebody has the lock.
struct Echo {
    heard: Sender<String>,
    held: Arc<Mutex<()>>,
}

impl Node for Echo {
    fn handle(&mut self, _: Moment, input: Input<'_>, out: &mut Outbox) {
        let told = match input {
            Input::Start => {
                return out.push(Effect::Listen { listener: 1, at: SocketAddr::from(([127, 0, 0, 1], 0)) })
            }
            Input::Listening { at, .. } => at.to_string(),
            Input::Bytes { link, bytes } => {
                out.send(link, bytes.to_vec());
                let _ = self.heard.send(String::from_utf8_lossy(bytes).into_owned());
                return drop(self.held.lock());
            }
            Input::Stop => {
                out.log(Level::Info, "stopped", vec![]);
                out.push(Effect::Exit { code: 0 });
                "stop".into()
            }
            Input::Closed { .. } | Input::Accepted { .. } => return,
            other => format!("{other:?}"),
        };
        let _ = self.heard.send(told);
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}

#[test]
fn a_question_behind_the_signal_to_end_gets_no_answer_any_more() {
    let (sender, heard) = channel();
    let held = Arc::new(Mutex::new(()));
    let mut reactor = Reactor::new(Clock::default(), 1 << 20, PathBuf::new()).unwrap();
    reactor.catch_signals().unwrap();
    reactor.add(Box::new(Echo { heard: sender, held: held.clone() }));
    let ended = std::thread::spawn(move || reactor.run().unwrap().0);
    let hear = || heard.recv_timeout(CEILING).unwrap();
    let at = hear();
    let (mut first, mut second) = (TcpStream::connect(&at).unwrap(), TcpStream::connect(&at).unwrap());
    // The second is known to be taken in before anything is held.
    second.write_all(b"here").unwrap();
    assert_eq!(hear(), "here");
    second.read_exact(&mut [0; 4]).unwrap();
    let lock = held.lock().unwrap();
    first.write_all(b"hold").unwrap();
    assert_eq!(hear(), "hold");
    // While it stands still: the signal first, then the question. The kernel tells of them in this order.
    signal_hook::low_level::raise(SIGTERM).unwrap();
    second.write_all(b"late").unwrap();
    drop(lock);
    assert_eq!(hear(), "stop");
    assert_eq!(ended.join().unwrap(), 0);
    assert!(heard.recv_timeout(CEILING).is_err(), "the question was heard");
    let mut rest = Vec::new();
    let _ = second.read_to_end(&mut rest);
    assert_eq!(rest, b"");
}
