//! The accounting export, driven step by step: what is checked right before sending.

use pewtergap_member::accounting::{AccountingConfig, AccountingSender};
use pewtergap_node::{Effect, Outbox};
use pewtergap_record::AccountingState;
use pewtergap_time::{Moment, Span};
use std::net::SocketAddr;

const NOW: Moment = Moment(1_700_000_000_000_000_000);

#[test]
fn nothing_is_sent_under_a_stale_token_or_for_a_past_period_once_connected() {
    let closed = AccountingState { closed_period: 7, closed_at_index: 3, delivered_period: 6 };
    let later = AccountingState { closed_period: 8, closed_at_index: 9, delivered_period: 7 };
    let cases = [
        ("unchanged", Some(5), closed),
        ("the lease has ended", None, closed),
        ("reassigned meanwhile", Some(9), closed),
        ("delivered by another, next period closed", Some(5), later),
    ];
    let sent = cases.map(|(what, may, state)| {
        let address = SocketAddr::from(([127, 0, 0, 1], 9));
        let mut sender =
            AccountingSender::new(AccountingConfig { address, period: Span::millis(1_000) }, None);
        let mut out = Outbox::default();
        assert_eq!(sender.poll(NOW, 5, closed, Vec::new(), &mut out), None, "it connects");
        sender.on_opened(NOW, may, (state, "{}"), &mut out);
        (what, out.effects.iter().any(|effect| matches!(effect, Effect::Send { .. })))
    });
    assert_eq!(sent.map(|sent| sent.1), [true, false, false, false], "{sent:?}");
}
