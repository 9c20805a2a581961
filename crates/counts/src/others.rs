//! What others told of their counts, and what it comes to.

use crate::{CountReport, ReportRequest, MAX_KEYS, MAX_PEERS};
use pewtergap_time::{Moment, Span};
use std::collections::{BTreeMap, VecDeque};

/// Windows kept of a planner: a read goes back to the last part of whoever is heard least often.
const MOST_WINDOWS: usize = 64;

/// A count of all planners together. `least` to `most` holds what it was so long ago; none: it may be anything.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CountEstimate {
    pub value: f64,
    pub age: Span,
    pub min: f64,
    pub max: Option<f64>,
    /// Planners that belong and are not heard.
    pub missing_peers: usize,
}

/// From when at the earliest to when at the latest a window reaches, and within what counts were that changed.
#[derive(Clone, Debug)]
struct Window {
    from: Moment,
    to: Moment,
    /// From here on it surely covers, or one after it does.
    sure: Moment,
    rows: BTreeMap<String, (f64, f64)>,
}

#[derive(Clone, Debug)]
struct Heard {
    start: u64,
    number: u64,
    /// When the last part was asked for, and came.
    asked: Moment,
    came: Moment,
    values: BTreeMap<String, f64>,
    windows: VecDeque<Window>,
}

#[derive(Clone, Debug, Default)]
pub struct PeerCounts {
    heard: BTreeMap<u64, Heard>,
    /// Under way, by planner: when its part was asked for, under which number.
    asked: BTreeMap<u64, (Moment, u64)>,
    tokens: u64,
}

impl PeerCounts {
    /// A part may be asked for: what is to be said. None: one is under way. A second question would be answered by the whole,
    /// and the time before it be unknown.
    pub fn request_report(&mut self, now: Moment, of: u64) -> Option<ReportRequest> {
        if self.asked.contains_key(&of) {
            return None;
        }
        self.tokens += 1;
        self.asked.insert(of, (now, self.tokens));
        let (start, number) = self.heard.get(&of).map_or((0, 0), |heard| (heard.start, heard.number));
        Some(ReportRequest { token: self.tokens, start, last_sequence: number })
    }

    /// The way to that one broke, or it took too long: what was asked for does not come, or is not taken when it does.
    pub fn cancel_request(&mut self, of: u64) {
        self.asked.remove(&of);
    }

    /// Questions that have stood for so long.
    pub fn expire_requests(&mut self, now: Moment, within: Span) {
        self.asked.retain(|_, asked| now.since(asked.0) <= within);
    }

    pub fn set_members(&mut self, belong: &[u64]) {
        self.heard.retain(|id, _| belong.contains(id));
        self.asked.retain(|id, _| belong.contains(id));
    }

    /// A part came. False: it is old, or says nothing that was asked for.
    pub fn receive(&mut self, now: Moment, from: u64, part: &CountReport) -> bool {
        let asked = self.asked.get(&from).filter(|asked| asked.1 == part.token);
        let Some(asked) = asked.map(|asked| asked.0) else { return false };
        let known = self.heard.get(&from).map(|heard| (heard.start, heard.number));
        if known.is_some_and(|known| (part.start, part.sequence) <= known)
            || self.heard.len() >= MAX_PEERS && known.is_none()
            || part.entries.len() > MAX_KEYS
            || part.entries.iter().any(|row| !(row.min <= row.value && row.value <= row.max))
        {
            return false;
        }
        self.asked.remove(&from);
        let new = Heard {
            start: part.start,
            number: 0,
            asked,
            came: now,
            values: BTreeMap::new(),
            windows: VecDeque::new(),
        };
        let heard = self.heard.entry(from).or_insert(new.clone());
        let follows =
            part.base_sequence > 0 && (heard.start, heard.number) == (part.start, part.base_sequence);
        if !follows {
            // Whole: nothing is known of the time before, and of another start nothing may stay.
            *heard = new;
        }
        let rows = part.entries.iter().map(|row| (row.key.clone(), (row.min, row.max))).collect();
        // A whole part is of one moment, at the latest of now; what follows it begins there.
        let (from, sure) = if follows { (heard.asked, heard.came) } else { (now, now) };
        heard.windows.push_back(Window { from, to: now, sure, rows });
        if heard.windows.len() > MOST_WINDOWS {
            heard.windows.pop_front();
        }
        for row in &part.entries {
            if row.value == 0.0 {
                heard.values.remove(&row.key);
            } else if heard.values.len() < MAX_KEYS || heard.values.contains_key(&row.key) {
                heard.values.insert(row.key.clone(), row.value);
            }
        }
        (heard.number, heard.asked, heard.came) = (part.sequence, asked, now);
        true
    }

    /// How long ago the last part of a planner was asked for.
    pub fn age(&self, now: Moment, of: u64) -> Option<Span> {
        self.heard.get(&of).map(|heard| now.since(heard.asked))
    }

    pub fn value(&self, of: u64, key: &str) -> f64 {
        self.heard.get(&of).and_then(|heard| heard.values.get(key)).copied().unwrap_or(0.0)
    }

    /// Everything a planner told, and of which start.
    pub fn values(&self, of: u64) -> Option<(u64, &BTreeMap<String, f64>)> {
        self.heard.get(&of).map(|heard| (heard.start, &heard.values))
    }

    /// A count over all who belong, ourselves left out. `fresh`: whoever was not heard for longer counts as unheard, for
    /// nothing at least and for `each` at most.
    pub fn estimate(
        &self,
        now: Moment,
        key: &str,
        belong: &[u64],
        fresh: Span,
        each: Option<f64>,
    ) -> CountEstimate {
        let hears = |id: &&u64| self.heard.get(id).is_some_and(|heard| now.since(heard.asked) <= fresh);
        let heard: Vec<&Heard> = belong.iter().filter(hears).filter_map(|id| self.heard.get(id)).collect();
        let at = heard.iter().map(|heard| heard.asked).min().unwrap_or(now);
        let unheard = belong.len() - heard.len();
        let mut figure = CountEstimate {
            value: 0.0,
            age: now.since(at),
            min: 0.0,
            max: Some(0.0),
            missing_peers: unheard,
        };
        for one in heard {
            let value = one.values.get(key).copied().unwrap_or(0.0);
            let (least, most) = one.within(key, value, at);
            figure.value += value;
            figure.min += least;
            figure.max = figure.max.zip(most).map(|(sum, most)| sum + most);
        }
        for id in belong.iter().filter(|id| !hears(id)) {
            // The last that it said, as the guess; the interval does not believe in it.
            figure.value += self.value(*id, key);
            figure.max = figure.max.zip(each).map(|(sum, each)| sum + each);
        }
        figure
    }
}

impl Heard {
    /// Within what a count was at a moment, by all windows that may have covered it.
    fn within(&self, key: &str, value: f64, at: Moment) -> (f64, Option<f64>) {
        let first = self.windows.front().map_or(self.came, |window| window.sure);
        if at < first {
            // Before its first part nothing is known.
            return (0.0, None);
        }
        // What was not changed in a window was what it is after it: the value is followed back from now.
        let (mut least, mut most, mut after) = (f64::INFINITY, f64::NEG_INFINITY, (value, value));
        for window in self.windows.iter().rev() {
            let here = window.rows.get(key).copied().unwrap_or(after);
            if window.from <= at && at <= window.to {
                (least, most) = (least.min(here.0), most.max(here.1));
            }
            if window.to < at {
                break;
            }
            // Earlier windows end within this one's bounds.
            after = here;
        }
        if least > most {
            (least, most) = after;
        }
        (least, Some(most))
    }
}
