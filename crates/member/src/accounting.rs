//! The accounting export: sends the record's accounting data to an external receiver, each period once.
//!
//! A period is first closed in the record, which fixes its contents. The extract is then sent under the period
//! number and the duty's fencing token, and once the receiver has confirmed, the delivery is written to the
//! record. If a confirmation is lost, the next holder sends the same bytes under the same period number, by
//! which the receiver detects the repeat.
//!
//! | state | input | next | effect |
//! | --- | --- | --- | --- |
//! | idle | a period is over, the last one is delivered | idle | close it in the record |
//! | idle | a period is closed and not delivered | sending | connect and send |
//! | sending | confirmed | idle | write the delivery to the record |
//! | sending | rejected, timed out, connection lost | idle | retry after a delay |

use pewtergap_http::{request, Limits, Part, Reader, Side, StartLine};
use pewtergap_node::{Link, Outbox};
use pewtergap_record::{AccountingState, CallUsage, CommandKind, PeriodReport};
use pewtergap_time::{Moment, Span};
use std::net::{IpAddr, SocketAddr};

/// Time allowed for connecting and for the receiver's response.
const RESPONSE_TIMEOUT: Span = Span::millis(2_000);
const RETRY_DELAY: Span = Span::millis(500);
const COMMIT_DELAY: Span = Span::millis(100);
const HTTP_LIMITS: Limits = Limits { head: 4 * 1024, body: 64 * 1024 };

/// Address of the accounting receiver and the length of a period.
#[derive(Clone, Copy, Debug)]
pub struct AccountingConfig {
    pub address: SocketAddr,
    pub period: Span,
}

struct Delivery {
    link: Link,
    period: u64,
    fencing_token: u64,
    reader: Reader,
    status: u16,
    deadline: Moment,
}

pub struct AccountingSender {
    config: AccountingConfig,
    source_ip: Option<IpAddr>,
    delivery: Option<Delivery>,
    idle_until: Moment,
    pub sent: u64,
    pub rejected: u64,
}

impl AccountingSender {
    pub fn new(config: AccountingConfig, source_ip: Option<IpAddr>) -> AccountingSender {
        AccountingSender { config, source_ip, delivery: None, idle_until: Moment(0), sent: 0, rejected: 0 }
    }

    pub fn owns_link(&self, link: Link) -> bool {
        self.delivery.as_ref().is_some_and(|delivery| delivery.link == link)
    }

    /// Polled while the duty is held under this token; returns the command for the record, if any.
    pub fn poll(
        &mut self,
        now: Moment,
        fencing_token: u64,
        state: AccountingState,
        usage: Vec<CallUsage>,
        out: &mut Outbox,
    ) -> Option<CommandKind> {
        if self
            .delivery
            .as_ref()
            .is_some_and(|delivery| now >= delivery.deadline || delivery.fencing_token != fencing_token)
        {
            self.abort(now, out);
        }
        if self.delivery.is_some() || now < self.idle_until {
            return None;
        }
        if state.delivered_period < state.closed_period {
            let link = out.connect(self.config.address, self.source_ip);
            let reader = Reader::new(Side::Responses, HTTP_LIMITS);
            let deadline = now + RESPONSE_TIMEOUT;
            self.delivery = Some(Delivery {
                link,
                period: state.closed_period,
                fencing_token,
                reader,
                status: 0,
                deadline,
            });
            return None;
        }
        // Missed periods are not closed one by one: a single extract covers everything in force.
        let current = now.0 / self.config.period.0.max(1);
        if current <= state.closed_period {
            return None;
        }
        // Time for the record to commit the command.
        self.idle_until = now + COMMIT_DELAY;
        Some(CommandKind::ClosePeriod(PeriodReport { period: current, fencing_token, usage }))
    }

    pub fn abort(&mut self, now: Moment, out: &mut Outbox) {
        if let Some(delivery) = self.delivery.take() {
            out.cut(delivery.link);
            self.idle_until = now + RETRY_DELAY;
        }
    }

    /// The connection is established; this is the fenced effect. `held_token` is the token under which the duty is
    /// held now. If the duty was reassigned meanwhile, the record already holds a later period, which would
    /// be sent under the old period's number.
    pub fn on_opened(
        &mut self,
        now: Moment,
        held_token: Option<u64>,
        accounting: (AccountingState, &str),
        out: &mut Outbox,
    ) {
        let Some(delivery) = &self.delivery else { return };
        let (state, extract) = accounting;
        if held_token != Some(delivery.fencing_token) || state.closed_period != delivery.period {
            return self.abort(now, out);
        }
        let (host, token) = (self.config.address.to_string(), delivery.fencing_token.to_string());
        let headers = [
            ("host", host.as_str()),
            ("content-type", "application/json"),
            ("x-fence", token.as_str()),
            ("connection", "close"),
        ];
        let target = format!("/books/{}", delivery.period);
        out.send(delivery.link, request("POST", &target, &headers, Some(extract.as_bytes())));
        self.sent += 1;
    }

    pub fn on_bytes(&mut self, now: Moment, bytes: &[u8], out: &mut Outbox) -> Option<CommandKind> {
        let delivery = self.delivery.as_mut()?;
        delivery.reader.push(bytes);
        loop {
            match delivery.reader.next_part() {
                Ok(Some(Part::Head(head))) => {
                    if let StartLine::Response { status } = head.first {
                        delivery.status = status;
                    }
                }
                Ok(Some(Part::Data(_))) => {}
                Ok(Some(Part::End)) => break,
                Ok(None) => return None,
                Err(_) => {
                    self.abort(now, out);
                    return None;
                }
            }
        }
        let (status, period, fencing_token) = (delivery.status, delivery.period, delivery.fencing_token);
        self.abort(now, out);
        if (200..300).contains(&status) {
            self.idle_until = now + COMMIT_DELAY;
            return Some(CommandKind::PeriodDelivered(PeriodReport {
                period,
                fencing_token,
                usage: Vec::new(),
            }));
        }
        self.rejected += 1;
        None
    }

    pub fn on_closed(&mut self, now: Moment) {
        self.delivery = None;
        self.idle_until = now + RETRY_DELAY;
    }
}
