//! The books: what the record holds, sent period by period to a receiver outside, each once.
//!
//! A period is closed in the record first, so what it says is fixed there; then it is sent under its id and the number
//! of the duty, and when the receiver has confirmed, the record is told. Whoever goes on after a lost confirmation sends
//! the same bytes under the same id, and the receiver tells it for a repeat by that.
//!
//! | state | input | next | effect |
//! | --- | --- | --- | --- |
//! | resting | a period is over, the last arrived | resting | close it |
//! | resting | closed and not arrived | sending | dial and send |
//! | sending | confirmed | resting | the record is told that it arrived |
//! | sending | refused, no answer, link lost | resting | again after a pause |

use pewtergap_http::{request, Limits, Part, Reader, Side, StartLine};
use pewtergap_node::{Link, Outbox};
use pewtergap_record::{AccountingState as Kept, CallUsage, CommandKind, PeriodReport};
use pewtergap_time::{Moment, Span};
use std::net::{IpAddr, SocketAddr};

/// An answer that takes longer is none.
const ANSWER: Span = Span::millis(2_000);
const AGAIN: Span = Span::millis(500);
const CLOSES: Span = Span::millis(100);
const BOUNDS: Limits = Limits { head: 4 * 1024, body: 64 * 1024 };

/// Where the books go, and how long a period is.
#[derive(Clone, Copy, Debug)]
pub struct AccountingConfig {
    pub address: SocketAddr,
    pub period: Span,
}

struct Sending {
    link: Link,
    period: u64,
    number: u64,
    reader: Reader,
    status: u16,
    until: Moment,
}

pub struct AccountingSender {
    receiver: AccountingConfig,
    from: Option<IpAddr>,
    sending: Option<Sending>,
    rests_until: Moment,
    pub sent: u64,
    pub refused: u64,
}

impl AccountingSender {
    pub fn new(receiver: AccountingConfig, from: Option<IpAddr>) -> AccountingSender {
        AccountingSender { receiver, from, sending: None, rests_until: Moment(0), sent: 0, refused: 0 }
    }

    pub fn has(&self, link: Link) -> bool {
        self.sending.as_ref().is_some_and(|sending| sending.link == link)
    }

    /// The duty is held under this number now: what the record is to be told, if anything.
    pub fn keep(
        &mut self,
        now: Moment,
        number: u64,
        kept: Kept,
        used: Vec<CallUsage>,
        out: &mut Outbox,
    ) -> Option<CommandKind> {
        if self.sending.as_ref().is_some_and(|sending| now >= sending.until || sending.number != number) {
            self.give_up(now, out);
        }
        if self.sending.is_some() || now < self.rests_until {
            return None;
        }
        if kept.delivered_period < kept.closed_period {
            let link = out.connect(self.receiver.address, self.from);
            let reader = Reader::new(Side::Responses, BOUNDS);
            let until = now + ANSWER;
            self.sending =
                Some(Sending { link, period: kept.closed_period, number, reader, status: 0, until });
            return None;
        }
        // Periods that nobody closed are not made up for: one extract says all that is in force.
        let over = now.0 / self.receiver.period.0.max(1);
        if over <= kept.closed_period {
            return None;
        }
        // Until the record has it.
        self.rests_until = now + CLOSES;
        Some(CommandKind::ClosePeriod(PeriodReport { period: over, fencing_token: number, usage: used }))
    }

    pub fn give_up(&mut self, now: Moment, out: &mut Outbox) {
        if let Some(sending) = self.sending.take() {
            out.cut(sending.link);
            self.rests_until = now + AGAIN;
        }
    }

    /// The link stands: this is the effect. `may`: the number under which the duty is held at this very moment. Given
    /// anew meanwhile, it would send what the record says of a later period under the old period's id.
    pub fn opened(&mut self, now: Moment, may: Option<u64>, kept: (Kept, &str), out: &mut Outbox) {
        let Some(sending) = &self.sending else { return };
        let (books, extract) = kept;
        if may != Some(sending.number) || books.closed_period != sending.period {
            return self.give_up(now, out);
        }
        let (host, number) = (self.receiver.address.to_string(), sending.number.to_string());
        let headers = [
            ("host", host.as_str()),
            ("content-type", "application/json"),
            ("x-fence", number.as_str()),
            ("connection", "close"),
        ];
        let target = format!("/books/{}", sending.period);
        out.send(sending.link, request("POST", &target, &headers, Some(extract.as_bytes())));
        self.sent += 1;
    }

    pub fn bytes(&mut self, now: Moment, bytes: &[u8], out: &mut Outbox) -> Option<CommandKind> {
        let sending = self.sending.as_mut()?;
        sending.reader.push(bytes);
        loop {
            match sending.reader.next_part() {
                Ok(Some(Part::Head(head))) => {
                    if let StartLine::Response { status } = head.first {
                        sending.status = status;
                    }
                }
                Ok(Some(Part::Data(_))) => {}
                Ok(Some(Part::End)) => break,
                Ok(None) => return None,
                Err(_) => {
                    self.give_up(now, out);
                    return None;
                }
            }
        }
        let (status, period, number) = (sending.status, sending.period, sending.number);
        self.give_up(now, out);
        if (200..300).contains(&status) {
            self.rests_until = now + CLOSES;
            return Some(CommandKind::PeriodDelivered(PeriodReport {
                period,
                fencing_token: number,
                usage: Vec::new(),
            }));
        }
        self.refused += 1;
        None
    }

    pub fn closed(&mut self, now: Moment) {
        self.sending = None;
        self.rests_until = now + AGAIN;
    }
}
