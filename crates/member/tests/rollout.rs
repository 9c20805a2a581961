//! The releaser, fed by hand: how an order in steps goes on, and when it is taken back.

use pewtergap_member::rollout::RolloutController;
use pewtergap_record::{AssignDuty, Cap, Command, CommandKind, Order, OrderAction, Record, RELEASE_DUTY};
use pewtergap_time::{Moment, Span};
use std::fmt::Write;

const START: Moment = Moment(1_700_000_000_000_000_000);

struct Hand {
    record: Record,
    releaser: RolloutController,
    index: u64,
    ms: u64,
    figures: (u64, u64),
    trace: String,
}

impl Hand {
    fn apply(&mut self, what: CommandKind) -> u64 {
        self.index += 1;
        let answer = self
            .record
            .apply(self.index, &Command { id: self.index, issued_at_ms: 1, kind: Some(what.clone()) });
        let _ = writeln!(self.trace, "{:>5} {}: {answer:?}", self.ms, named(&what));
        self.index
    }

    /// A second, of so many tries and drops, and what the releaser says then.
    fn second(&mut self, tries: u64, drops: u64, number: u64) {
        self.ms += 1_000;
        self.figures = (self.figures.0 + tries, self.figures.1 + drops);
        let now = START + Span::millis(self.ms);
        for what in self.releaser.look(now, number, &self.record, self.figures) {
            self.apply(what);
        }
    }
}

fn named(what: &CommandKind) -> String {
    match what {
        CommandKind::RolloutStep(step) => {
            format!("step to {} under {} {}", step.progress, step.fencing_token, step.revert_reason)
        }
        CommandKind::AssignDuty(give) => format!("{} to {}", give.duty, give.holder_name),
        CommandKind::Order(order) => order.action.as_ref().map_or(String::new(), OrderAction::describe),
        _ => String::new(),
    }
}

fn give(to: u64, number: u64) -> CommandKind {
    CommandKind::AssignDuty(AssignDuty {
        duty: RELEASE_DUTY.into(),
        holder: to,
        holder_name: format!("p{to}"),
        expected_fencing_token: number,
    })
}

fn cap(route: &str) -> CommandKind {
    let wish = Some(OrderAction::SetCap(Cap { route: route.into(), level: 0.5 }));
    CommandKind::Order(Order {
        issued_by: "x".into(),
        reason: "y".into(),
        expires_at_ms: 0,
        action: wish,
        steps: 3,
        step_pause_ms: 2_000,
        by_proxies: false,
    })
}

#[test]
fn an_order_goes_on_step_by_step_and_is_taken_back_where_it_hurts() {
    let releaser = RolloutController::default();
    let record = Record::default();
    let mut hand = Hand { record, releaser, index: 0, ms: 0, figures: (0, 0), trace: String::new() };
    hand.apply(CommandKind::RaiseFormat(2));
    let first = hand.apply(give(1, 0));
    hand.apply(cap("quiet"));
    (0..4).for_each(|_| hand.second(500, 5, first));
    // Handed on in the middle: the next one looks for itself first, and the first one's word counts no more.
    let second = hand.apply(give(2, first));
    hand.second(500, 5, first);
    hand.second(500, 5, first);
    hand.releaser.rest();
    (0..5).for_each(|_| hand.second(500, 5, second));
    // Drops grow with the second order: it goes back, and stays so.
    hand.apply(cap("loud"));
    (0..4).for_each(|_| hand.second(500, 5, second));
    (0..6).for_each(|_| hand.second(500, 100, second));
    // Too few tries say nothing: a third goes on.
    hand.apply(cap("idle"));
    (0..8).for_each(|_| hand.second(5, 4, second));
    insta::assert_snapshot!(hand.trace);
}
