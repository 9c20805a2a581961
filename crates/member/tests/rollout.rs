//! The rollout controller, driven step by step: how an order in steps advances, and when it is reverted.

use pewtergap_member::rollout::RolloutController;
use pewtergap_record::{AssignDuty, Cap, Command, CommandKind, Order, OrderAction, Record, RELEASE_DUTY};
use pewtergap_time::{Moment, Span};
use std::fmt::Write;

const START: Moment = Moment(1_700_000_000_000_000_000);

struct Harness {
    record: Record,
    controller: RolloutController,
    index: u64,
    ms: u64,
    counts: (u64, u64),
    trace: String,
}

impl Harness {
    fn apply(&mut self, kind: CommandKind) -> u64 {
        self.index += 1;
        let outcome = self
            .record
            .apply(self.index, &Command { id: self.index, issued_at_ms: 1, kind: Some(kind.clone()) });
        let _ = writeln!(self.trace, "{:>5} {}: {outcome:?}", self.ms, describe(&kind));
        self.index
    }

    /// Lets a second pass with this many tries and drops, and applies the controller's commands.
    fn second(&mut self, tries: u64, drops: u64, fencing_token: u64) {
        self.ms += 1_000;
        self.counts = (self.counts.0 + tries, self.counts.1 + drops);
        let now = START + Span::millis(self.ms);
        for kind in self.controller.poll(now, fencing_token, &self.record, self.counts) {
            self.apply(kind);
        }
    }
}

fn describe(kind: &CommandKind) -> String {
    match kind {
        CommandKind::RolloutStep(step) => {
            format!("step to {} under {} {}", step.progress, step.fencing_token, step.revert_reason)
        }
        CommandKind::AssignDuty(assign) => format!("{} to {}", assign.duty, assign.holder_name),
        CommandKind::Order(order) => order.action.as_ref().map_or(String::new(), OrderAction::describe),
        _ => String::new(),
    }
}

fn assign(holder: u64, expected_fencing_token: u64) -> CommandKind {
    CommandKind::AssignDuty(AssignDuty {
        duty: RELEASE_DUTY.into(),
        holder,
        holder_name: format!("p{holder}"),
        expected_fencing_token,
    })
}

fn cap(route: &str) -> CommandKind {
    let action = Some(OrderAction::SetCap(Cap { route: route.into(), level: 0.5 }));
    CommandKind::Order(Order {
        issued_by: "x".into(),
        reason: "y".into(),
        expires_at_ms: 0,
        action,
        steps: 3,
        step_pause_ms: 2_000,
        by_proxies: false,
    })
}

#[test]
fn an_order_advances_step_by_step_and_is_reverted_when_drops_increase() {
    let controller = RolloutController::default();
    let record = Record::default();
    let mut harness = Harness { record, controller, index: 0, ms: 0, counts: (0, 0), trace: String::new() };
    harness.apply(CommandKind::RaiseFormat(2));
    let first = harness.apply(assign(1, 0));
    harness.apply(cap("quiet"));
    (0..4).for_each(|_| harness.second(500, 5, first));
    // The duty moves during the rollout: the new holder observes first, and commands of the former holder are
    // rejected.
    let second = harness.apply(assign(2, first));
    harness.second(500, 5, first);
    harness.second(500, 5, first);
    harness.controller.reset();
    (0..5).for_each(|_| harness.second(500, 5, second));
    // Drops increase with the second order: it is reverted and stays so.
    harness.apply(cap("loud"));
    (0..4).for_each(|_| harness.second(500, 5, second));
    (0..6).for_each(|_| harness.second(500, 100, second));
    // Too few tries: the third order advances.
    harness.apply(cap("idle"));
    (0..8).for_each(|_| harness.second(5, 4, second));
    insta::assert_snapshot!(harness.trace);
}
