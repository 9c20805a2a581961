//! The books, fed by hand: what is asked at the effect.

use pewtergap_member::accounting::{AccountingConfig, AccountingSender};
use pewtergap_node::{Effect, Outbox};
use pewtergap_record::AccountingState as Kept;
use pewtergap_time::{Moment, Span};
use std::net::SocketAddr;

const NOW: Moment = Moment(1_700_000_000_000_000_000);

#[test]
fn nothing_is_sent_under_a_number_or_of_a_period_that_is_past_when_the_link_stands() {
    let closed = Kept { closed_period: 7, closed_at_index: 3, delivered_period: 6 };
    let later = Kept { closed_period: 8, closed_at_index: 9, delivered_period: 7 };
    let cases = [
        ("as it was", Some(5), closed),
        ("the lease has ended", None, closed),
        ("given anew meanwhile", Some(9), closed),
        ("another sent it and closed the next", Some(5), later),
    ];
    let sent = cases.map(|(what, may, kept)| {
        let address = SocketAddr::from(([127, 0, 0, 1], 9));
        let mut books =
            AccountingSender::new(AccountingConfig { address, period: Span::millis(1_000) }, None);
        let mut out = Outbox::default();
        assert_eq!(books.keep(NOW, 5, closed, Vec::new(), &mut out), None, "it dials");
        books.opened(NOW, may, (kept, "{}"), &mut out);
        (what, out.effects.iter().any(|effect| matches!(effect, Effect::Send { .. })))
    });
    assert_eq!(sent.map(|sent| sent.1), [true, false, false, false], "{sent:?}");
}
