//! Orders in steps: the holder of the release duty advances each order step by step, compares the drop rates,
//! and reverts an order that makes them worse.
//!
//! | state of an order | input | effect |
//! | --- | --- | --- |
//! | not seen before by this controller | | observe for one pause to get the drop rate before |
//! | observed | pause over, no worse than before | the next step |
//! | observed | pause over, worse by more than `MAX_DROP_INCREASE` | reverted, with the reason |
//! | completed or reverted | | none |
//!
//! The drop rate is the fraction of tries dropped by servers, as counted by this planner's proxies, or by those
//! of all planners that are heard where counts are shared. All planners apply the same fraction of an order, so
//! each is a sample of the fleet. With too few tries the order advances.

use pewtergap_record::{CommandKind, Record, RolloutStep};
use pewtergap_time::{Moment, Span};
use std::collections::BTreeMap;

/// Increase of the drop rate, as a fraction of the tries, that reverts an order.
const MAX_DROP_INCREASE: f64 = 0.05;
/// With fewer tries in a pause, no drop rate is computed.
const MIN_TRIES: u64 = 50;
/// Orders that are observed at a time; the others wait.
const MAX_ORDERS: usize = 64;

/// Tries and drops so far.
pub type TryCounts = (u64, u64);

struct Observation {
    since: Moment,
    baseline: TryCounts,
    progress: u32,
    /// Drop rate before the first step that this controller observed.
    rate_before: Option<f64>,
}

#[derive(Default)]
pub struct RolloutController {
    observations: BTreeMap<u64, Observation>,
}

fn drop_rate(from: TryCounts, to: TryCounts) -> Option<f64> {
    let (tries, drops) = (to.0.saturating_sub(from.0), to.1.saturating_sub(from.1));
    (tries >= MIN_TRIES).then(|| drops as f64 / tries as f64)
}

impl RolloutController {
    /// The duty is no longer held. The next holder makes its own observations.
    pub fn reset(&mut self) {
        self.observations.clear();
    }

    /// Returns the commands for the record, under the token of the duty.
    pub fn poll(
        &mut self,
        now: Moment,
        fencing_token: u64,
        record: &Record,
        counts: TryCounts,
    ) -> Vec<CommandKind> {
        let open: BTreeMap<u64, (u32, u32, Span)> = record
            .orders()
            .filter_map(|(_, active)| {
                let order = active.order.as_ref()?;
                let open = order.steps > 0 && active.progress < 1_000 && active.revert_reason.is_empty();
                let pause = Span::millis(order.step_pause_ms.max(1));
                open.then_some((active.index, (active.progress, order.steps, pause)))
            })
            .take(MAX_ORDERS)
            .collect();
        self.observations.retain(|order, _| open.contains_key(order));
        let mut commands = Vec::new();
        for (order, (progress, steps, pause)) in open {
            let new = Observation { since: now, baseline: counts, progress, rate_before: None };
            let observation = self.observations.entry(order).or_insert(new);
            if observation.progress != progress {
                (observation.since, observation.baseline, observation.progress) = (now, counts, progress);
            }
            if now.since(observation.since) < pause {
                continue;
            }
            let rate = drop_rate(observation.baseline, counts);
            // If the command is lost, the order is observed for another pause and the command is sent again.
            (observation.since, observation.baseline) = (now, counts);
            let rate_before = *observation.rate_before.get_or_insert(rate.unwrap_or(0.0));
            let (next, revert_reason) = match rate {
                Some(rate) if rate > rate_before + MAX_DROP_INCREASE => {
                    let reason = format!("{:.1}% dropped, {:.1}% before", rate * 100.0, rate_before * 100.0);
                    (0, reason)
                }
                _ => ((progress + 1_000u32.div_ceil(steps.max(1))).min(1_000), String::new()),
            };
            commands.push(CommandKind::RolloutStep(RolloutStep {
                order_index: order,
                progress: next,
                fencing_token,
                revert_reason,
            }));
        }
        commands
    }
}
