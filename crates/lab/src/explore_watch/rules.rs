//! The six rules of the tier, and what of the true state they are checked against.
//!
//! | rule | checked |
//! | --- | --- |
//! | the state in force is the log's prefix at its place, within its scope | at each planner that did anything |
//! | a place never falls, not by a restart either | as above |
//! | nothing kept is missing once heard | the two above; and all reach the head and are counted once all is mended |
//! | a told age is never less than the true one | as above, and at all each tenth of a second |
//! | every queue within its bound | at each machine and planner that did anything |
//! | in force never counts one that isn't | at each roster that was told anything |

use super::nodes::{InForce, Log, Planner};
use pewtergap_time::{Moment, Span};

/// From a start to its end, and the highest place that was in force in it.
struct Life {
    to: Option<Moment>,
    place: u64,
}

/// What is true of a planner.
#[derive(Default)]
pub struct Truth {
    lives: Vec<Life>,
    /// The highest place that was ever in force, since its disk was new.
    highest: u64,
}

impl Truth {
    pub fn starts(&mut self) {
        self.lives.push(Life { to: None, place: 0 });
    }

    pub fn ends(&mut self, now: Moment) {
        if let Some(life) = self.lives.last_mut() {
            life.to.get_or_insert(now);
        }
    }

    pub fn lost_its_disk(&mut self) {
        self.highest = 0;
    }

    /// The highest place in force at any moment since.
    pub fn since(&self, moment: Moment) -> Option<u64> {
        let lives = self.lives.iter().filter(|life| life.to.is_none_or(|to| to >= moment));
        lives.map(|life| life.place).max()
    }

    /// Breaks of what is in force at a planner.
    pub fn in_force(&mut self, log: &Log, found: &InForce) -> Vec<(&'static str, String)> {
        let mut broken = Vec::new();
        if found.place < self.highest {
            broken.push(("never back", format!("{} after {}", found.place, self.highest)));
        }
        self.highest = self.highest.max(found.place);
        if let Some(life) = self.lives.last_mut() {
            life.place = life.place.max(found.place);
        }
        let all = log.at(found.place);
        let fits = |key: &str| found.scope.as_ref().is_none_or(|scope| scope.contains(key));
        let expected = all.iter().filter(|entry| fits(entry.0));
        if found.place > 0 && !expected.clone().eq(found.state.iter()) {
            let missing: Vec<&String> =
                expected.filter(|entry| found.state.get(entry.0) != Some(entry.1)).map(|e| e.0).collect();
            let more: Vec<&String> = found.state.keys().filter(|key| !all.contains_key(*key)).collect();
            broken
                .push(("prefix", format!("at {}: missing or other {missing:?}, more {more:?}", found.place)));
        }
        broken
    }
}

/// All that had been kept `age` before now is in force.
pub fn age(log: &Log, now: Moment, own: Moment, planner: &Planner) -> Option<(&'static str, String)> {
    let age = planner.watching.as_ref()?.age(own)?;
    let kept = log.kept_at(now - age);
    let place = planner.in_force.place;
    (kept > place).then(|| {
        let kept_at = log.kept[place as usize].0;
        let true_age = now.since(kept_at);
        ("age", format!("{age} is told, {} was kept {true_age} ago and {place} is in force", place + 1))
    })
}

/// Each that a machine counts had this in force, at a moment that is no older than the machine says.
pub fn counted(
    now: Moment,
    machine: &str,
    counts: impl Iterator<Item = (usize, Option<(u64, Span)>)>,
    truths: &[Truth],
) -> Option<(&'static str, String)> {
    for (at, count) in counts {
        let Some((applied, quiet)) = count else { continue };
        let had = truths[at].since(now - quiet);
        if had.is_none_or(|had| had < applied) {
            let what = format!("{machine} counts p{at} at {applied}, {quiet} ago at most: it had {had:?}");
            return Some(("counted", what));
        }
    }
    None
}

/// Of a planner, what it holds beside its state.
pub fn held(planner: &Planner, most_keys: usize) -> Option<(&'static str, String)> {
    let held = planner.watching.as_ref().map_or(0, |watching| watching.client().pending_len());
    if planner.overflown > 0 {
        return Some(("bounds", "a planner's link had too much waiting".into()));
    }
    (held > most_keys).then(|| ("bounds", format!("{held} keys are held of {most_keys} at most")))
}
