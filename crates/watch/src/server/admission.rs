//! Who is taken in, who is refused and until when, and whose turn it is for a snapshot.

use super::{Act, Server};
use crate::pieces::Position;
use crate::scope::Scope;
use crate::session::{row, Event};
use crate::words::{Hello, Kind, Later, Reason, Refuse, Welcome, VERSIONS};
use pewtergap_node::Link;
use pewtergap_time::Moment;
use std::sync::Arc;

impl Server {
    pub(super) fn hello(&mut self, now: Moment, link: Link, hello: Hello, acts: &mut Vec<Act>) {
        if let Err((reason, why)) = self.admits(&hello) {
            return self.event(now, link, Event::Refused(reason), &why, acts);
        }
        if let Some(old) = self.planners.get(&hello.planner).copied() {
            self.event(now, old, Event::Refused(Reason::Replaced), "a newer watch of the planner", acts);
        }
        let (base, head) = (self.cache.forgotten(), self.cache.head());
        let kept = hello.place > 0 && hello.place >= base && !hello.anew;
        let broken_off = hello
            .broken_off
            .filter(|broken| !kept && broken.base >= base && broken.base.max(broken.seen) <= head);
        let version = VERSIONS.1.min(hello.highest);
        let (record, machine) = (self.record.unwrap_or(0), self.machine.clone());
        let goes_on = broken_off.is_some();
        acts.push(Act::Say(link, Kind::Welcome(Welcome { version, record, head, machine, goes_on })));
        let (scope_number, scope) = (hello.scope.number, Arc::new(Scope::from(hello.scope)));
        let (known, scope) = self.learn(scope);
        self.planners.insert(hello.planner.clone(), link);
        let Some(session) = self.sessions.get_mut(&link) else { return };
        (session.planner, session.start, session.turn) = (hello.planner, hello.start, hello.turn);
        (session.scope, session.known, session.scope_number) = (scope, known, scope_number);
        session.vouched = now;
        session.anew = !kept && !goes_on;
        session.position = match broken_off {
            Some(broken) if broken.all_keys => Position::at(broken.base),
            Some(broken) => Position::Keys {
                base: broken.base,
                after: (!broken.after.is_empty()).then(|| broken.after.into()),
            },
            None => Position::at(hello.place),
        };
        self.heard(link, acts);
        self.event(now, link, if kept { Event::GoesOn } else { Event::NeedsSnapshot }, "", acts);
    }

    fn admits(&self, hello: &Hello) -> Result<(), (Reason, String)> {
        let refused = |reason, why: String| Err((reason, why));
        if hello.lowest > VERSIONS.1 || hello.highest < VERSIONS.0 {
            let (lowest, highest) = VERSIONS;
            return refused(Reason::Version, format!("versions {lowest} to {highest} are spoken here"));
        }
        if self.stopping {
            return refused(Reason::Stopping, "the machine ends".into());
        }
        let Some(record) = self.record else {
            return refused(Reason::Behind, "no record is known here yet".into());
        };
        if hello.record != 0 && hello.record != record {
            return refused(Reason::Record, format!("the record here is {record:016x}"));
        }
        let head = self.cache.head();
        if hello.place > head {
            return refused(Reason::Behind, format!("{head} is applied here, {} there", hello.place));
        }
        match self.planners.get(&hello.planner).and_then(|link| self.sessions.get(link)) {
            Some(old) if (old.start, old.turn) >= (hello.start, hello.turn) => {
                refused(Reason::Replaced, "a newer watch of the planner stands here".into())
            }
            None if self.planners.len() >= self.terms.most_watches => {
                refused(Reason::Full, format!("{} watches stand here", self.planners.len()))
            }
            _ => Ok(()),
        }
    }

    pub(super) fn refuse(&mut self, link: Link, reason: Reason, why: &str, acts: &mut Vec<Act>) {
        *self.refused.entry(reason).or_default() += 1;
        let (least, most) = match reason {
            Reason::Behind => (200, 1_500),
            Reason::Deaf => (0, 2_000),
            Reason::Full | Reason::Stopping => (2_000, 8_000),
            Reason::Bad | Reason::Replaced => (5_000, 15_000),
            Reason::Version | Reason::Record => (15_000, 45_000),
        };
        let again_ms = self.rng.u64(least..=most);
        let refuse = Refuse { reason: reason as i32, why: why.into(), again_ms };
        acts.push(Act::Say(link, Kind::Refuse(refuse)));
        acts.push(Act::Finish(link));
    }

    pub(super) fn enqueue(&mut self, link: Link, acts: &mut Vec<Act>) {
        let Some(session) = self.sessions.get_mut(&link) else { return };
        if session.position.lost(&self.cache) {
            session.anew = true;
        }
        // One that was broken off and came again has the least to be told.
        let goes_on = !session.anew && session.number == 0;
        self.queue.retain(|waits| *waits != link);
        match goes_on {
            true => self.queue.push_front(link),
            false => self.queue.push_back(link),
        }
        if self.snapshots >= self.terms.most_snapshots {
            let rounds = 1 + self.queue.len() / self.terms.most_snapshots.max(1);
            let in_ms = self.rng.u64(1..=500 * rounds as u64);
            acts.push(Act::Say(link, Kind::Later(Later { in_ms })));
        }
    }

    /// Whoever waits for a snapshot and may have it now.
    pub(super) fn turns(&mut self, now: Moment, acts: &mut Vec<Act>) {
        // One that is told at once gives its turn on: by this loop, not by one within it for each that waits.
        if std::mem::replace(&mut self.turning, true) {
            return;
        }
        while self.snapshots < self.terms.most_snapshots {
            let Some(link) = self.queue.pop_front() else { break };
            let Some(session) = self.sessions.get_mut(&link) else { continue };
            if let Some((next, _)) = row(session.state, Event::Turn) {
                (session.state, session.turned) = (next, now);
                self.snapshots += 1;
                self.pump(now, link, acts);
            }
        }
        self.turning = false;
    }
}
