//! A stand-in for the outside receiver of the books: takes a period once, tells repeats by their id, and refuses what
//! comes under a number lower than the highest it has seen.

use crate::bell::{Bell, Rung};
use pewtergap_duty::Fence;
use pewtergap_http::{response, Limits, Part, Reader, Side, StartLine};
use pewtergap_node::{Effect, Input, Link, Node, Outbox};
use pewtergap_time::Moment;
use std::any::Any;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// One sending, as it came in on its socket, and what became of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Sent {
    pub at: Moment,
    pub period: u64,
    pub number: u64,
    pub body: String,
    pub became: Became,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Became {
    /// Taken in: the effect.
    Taken,
    /// Known already, and the same.
    Repeat,
    /// Under a number that is no longer the highest.
    Fenced,
}

pub type Ledger = Arc<Mutex<Vec<Sent>>>;

const BOUNDS: Limits = Limits { head: 4 * 1024, body: 16 * 1024 * 1024 };

struct Conn {
    reader: Reader,
    target: String,
    number: u64,
    body: Vec<u8>,
}

pub struct Receiver {
    bell: Bell,
    ledger: Ledger,
    fence: Fence,
    taken: BTreeMap<u64, String>,
    conns: BTreeMap<Link, Conn>,
    /// So many confirmations are lost on their way.
    lose: usize,
}

impl Receiver {
    pub fn new(bell: Bell, ledger: Ledger) -> Receiver {
        let (fence, taken, conns) = (Fence::default(), BTreeMap::new(), BTreeMap::new());
        Receiver { bell, ledger, fence, taken, conns, lose: 0 }
    }

    fn take(&mut self, now: Moment, conn: Conn) -> u16 {
        let period = conn.target.trim_start_matches("/books/").parse().unwrap_or(0);
        let body = String::from_utf8_lossy(&conn.body).into_owned();
        let became = match self.fence.check("books", conn.number) {
            Err(_) => Became::Fenced,
            Ok(()) if self.taken.contains_key(&period) => Became::Repeat,
            Ok(()) => Became::Taken,
        };
        if became == Became::Taken {
            self.taken.insert(period, body.clone());
        }
        let sent = Sent { at: now, period, number: conn.number, body, became };
        self.ledger.lock().into_iter().for_each(|mut ledger| ledger.push(sent.clone()));
        if became == Became::Fenced {
            409
        } else {
            200
        }
    }
}

impl Node for Receiver {
    fn handle(&mut self, now: Moment, input: Input<'_>, out: &mut Outbox) {
        match input {
            Input::Start => {
                out.push(Effect::Listen { listener: 0, at: SocketAddr::from(([127, 0, 0, 1], 0)) })
            }
            Input::Listening { at, .. } => self.bell.listens("receiver", at),
            Input::NotListening { why, .. } => self.bell.ring(Rung::Failed(why)),
            Input::Accepted { link, .. } => {
                let reader = Reader::new(Side::Requests, BOUNDS);
                let conn = Conn { reader, target: String::new(), number: 0, body: Vec::new() };
                self.conns.insert(link, conn);
            }
            Input::Bytes { link, bytes } => {
                let Some(conn) = self.conns.get_mut(&link) else { return };
                conn.reader.push(bytes);
                loop {
                    match conn.reader.next_part() {
                        Ok(Some(Part::Head(head))) => {
                            conn.number = head.header("x-fence").and_then(|n| n.parse().ok()).unwrap_or(0);
                            if let StartLine::Request { target, .. } = head.first {
                                conn.target = target;
                            }
                        }
                        Ok(Some(Part::Data(data))) => conn.body.extend(data),
                        Ok(Some(Part::End)) => break,
                        Ok(None) => return,
                        Err(_) => return out.cut(link),
                    }
                }
                let Some(conn) = self.conns.remove(&link) else { return };
                let status = self.take(now, conn);
                if self.lose > 0 && status == 200 {
                    self.lose -= 1;
                    return out.cut(link);
                }
                out.send(link, response(status, &[("connection", "close")], Some(b"")));
                out.finish(link);
            }
            Input::Closed { link, .. } => drop(self.conns.remove(&link)),
            Input::Command(word) => {
                self.lose = word.strip_prefix("lose ").and_then(|n| n.parse().ok()).unwrap_or(0)
            }
            _ => {}
        }
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}

/// What passed on the receiver's sockets, judged: each period taken once and the same from everybody, numbers taken in
/// never fall, and no holder sends on after another has begun, but for what was on its way (which the number refuses).
pub fn judge_books(ledger: &[Sent]) -> Vec<super::judge::Breach> {
    let mut breaches = Vec::new();
    let mut breach = |rule, what| breaches.push(super::judge::Breach { rule, what });
    let (mut highest, mut taken) = (0, BTreeMap::new());
    let mut fenced: BTreeMap<u64, usize> = BTreeMap::new();
    for sent in ledger {
        if sent.became == Became::Fenced {
            *fenced.entry(sent.number).or_default() += 1;
            continue;
        }
        if sent.number < highest {
            breach(
                "a number that fell",
                format!("period {} under {} after {highest}", sent.period, sent.number),
            );
        }
        highest = highest.max(sent.number);
        let said = taken.entry(sent.period).or_insert((sent.body.clone(), 0));
        if said.0 != sent.body {
            breach("a period once", format!("period {} was told in two ways", sent.period));
        }
        said.1 += usize::from(sent.became == Became::Taken);
        if said.1 > 1 {
            breach("a period once", format!("period {} was taken twice", sent.period));
        }
    }
    for (number, count) in fenced {
        // One call may have been on its way when its holder was stopped; a second is a holder that goes on.
        if count > 1 {
            breach("two holders", format!("{count} calls under {number} after another had begun"));
        }
    }
    breaches
}
