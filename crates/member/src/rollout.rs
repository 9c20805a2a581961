//! Orders in steps: one planner at a time lets each go on, looks at what follows, and takes it back where it hurts.
//!
//! | state of an order | input | effect |
//! | --- | --- | --- |
//! | not seen before by this releaser | | look for a pause: that is how it was before |
//! | looked at | a pause over, no worse than before | the next step |
//! | looked at | a pause over, worse by more than `WORSE` | taken back, and why |
//! | all of it reached, or taken back | | nothing more |
//!
//! What is looked at is the part of tries dropped by servers, of the proxies of this planner: since all planners carry out
//! the same part of an order, each is a sample of the fleet. Too few tries say nothing, and it goes on.

use pewtergap_record::{CommandKind, Record, RolloutStep};
use pewtergap_time::{Moment, Span};
use std::collections::BTreeMap;

/// More of the tries dropped than before, as a part.
const WORSE: f64 = 0.05;
/// Fewer tries in a pause say nothing.
const FEW: u64 = 50;
/// Orders that are looked at; the others wait for theirs.
const MOST: usize = 64;

/// Tries and drops so far.
pub type TryCounts = (u64, u64);

struct Looked {
    at: Moment,
    from: TryCounts,
    reached: u32,
    /// The part dropped before the first step that this one saw.
    before: Option<f64>,
}

#[derive(Default)]
pub struct RolloutController {
    looked: BTreeMap<u64, Looked>,
}

fn part(from: TryCounts, to: TryCounts) -> Option<f64> {
    let (tries, drops) = (to.0.saturating_sub(from.0), to.1.saturating_sub(from.1));
    (tries >= FEW).then(|| drops as f64 / tries as f64)
}

impl RolloutController {
    /// Held no more: whoever holds it next looks for itself.
    pub fn rest(&mut self) {
        self.looked.clear();
    }

    /// What the record is to be told now, under this number of the duty.
    pub fn look(
        &mut self,
        now: Moment,
        number: u64,
        record: &Record,
        figures: TryCounts,
    ) -> Vec<CommandKind> {
        let open: BTreeMap<u64, (u32, u32, Span)> = record
            .orders()
            .filter_map(|(_, kept)| {
                let order = kept.order.as_ref()?;
                let open = order.steps > 0 && kept.progress < 1_000 && kept.revert_reason.is_empty();
                let pause = Span::millis(order.step_pause_ms.max(1));
                open.then_some((kept.index, (kept.progress, order.steps, pause)))
            })
            .take(MOST)
            .collect();
        self.looked.retain(|order, _| open.contains_key(order));
        let mut said = Vec::new();
        for (order, (reached, steps, pause)) in open {
            let new = Looked { at: now, from: figures, reached, before: None };
            let looked = self.looked.entry(order).or_insert(new);
            if looked.reached != reached {
                (looked.at, looked.from, looked.reached) = (now, figures, reached);
            }
            if now.since(looked.at) < pause {
                continue;
            }
            let seen = part(looked.from, figures);
            // Where the record does not hear it, it is looked at and said again.
            (looked.at, looked.from) = (now, figures);
            let before = *looked.before.get_or_insert(seen.unwrap_or(0.0));
            let (next, why) = match seen {
                Some(seen) if seen > before + WORSE => {
                    let told = format!("{:.1}% dropped, {:.1}% before", seen * 100.0, before * 100.0);
                    (0, told)
                }
                _ => ((reached + 1_000u32.div_ceil(steps.max(1))).min(1_000), String::new()),
            };
            said.push(CommandKind::RolloutStep(RolloutStep {
                order_index: order,
                progress: next,
                fencing_token: number,
                revert_reason: why,
            }));
        }
        said
    }
}
