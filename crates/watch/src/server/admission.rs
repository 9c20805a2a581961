//! Who is taken in, who is refused and until when, and whose turn it is for a snapshot.

use super::{Act, Server};
use crate::messages::{Hello, Kind, Reason, Refuse, SnapshotDelayed, Welcome, SUPPORTED_VERSIONS};
use crate::pieces::Position;
use crate::scope::Scope;
use crate::session::{row, Event};
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
        let kept = hello.index > 0 && hello.index >= base && !hello.reset;
        let partial_snapshot = hello
            .partial_snapshot
            .filter(|broken| !kept && broken.base >= base && broken.base.max(broken.seen) <= head);
        let version = SUPPORTED_VERSIONS.1.min(hello.max_version);
        let (record_id, machine) = (self.record_id.unwrap_or(0), self.machine.clone());
        let resumes_snapshot = partial_snapshot.is_some();
        acts.push(Act::Say(
            link,
            Kind::Welcome(Welcome { version, record_id, head, machine, resumes_snapshot }),
        ));
        let (scope_number, scope) = (hello.scope.number, Arc::new(Scope::from(hello.scope)));
        let (known, scope) = self.learn(scope);
        self.planners.insert(hello.planner.clone(), link);
        let Some(session) = self.sessions.get_mut(&link) else { return };
        (session.planner, session.start, session.watch_number) =
            (hello.planner, hello.start, hello.watch_number);
        (session.scope, session.known, session.scope_number) = (scope, known, scope_number);
        session.vouched = now;
        session.reset = !kept && !resumes_snapshot;
        session.position = match partial_snapshot {
            Some(broken) if broken.all_keys => Position::at(broken.base),
            Some(broken) => Position::Keys {
                base: broken.base,
                after: (!broken.after.is_empty()).then(|| broken.after.into()),
            },
            None => Position::at(hello.index),
        };
        self.heard(link, acts);
        self.event(now, link, if kept { Event::GoesOn } else { Event::NeedsSnapshot }, "", acts);
    }

    fn admits(&self, hello: &Hello) -> Result<(), (Reason, String)> {
        let refused = |reason, why: String| Err((reason, why));
        if hello.min_version > SUPPORTED_VERSIONS.1 || hello.max_version < SUPPORTED_VERSIONS.0 {
            let (min_version, max_version) = SUPPORTED_VERSIONS;
            return refused(
                Reason::Version,
                format!("versions {min_version} to {max_version} are spoken here"),
            );
        }
        if self.stopping {
            return refused(Reason::Stopping, "the machine ends".into());
        }
        let Some(record_id) = self.record_id else {
            return refused(Reason::Behind, "no record is known here yet".into());
        };
        if hello.record_id != 0 && hello.record_id != record_id {
            return refused(Reason::Record, format!("the record here is {record_id:016x}"));
        }
        let head = self.cache.head();
        if hello.index > head {
            return refused(Reason::Behind, format!("{head} is applied here, {} there", hello.index));
        }
        match self.planners.get(&hello.planner).and_then(|link| self.sessions.get(link)) {
            Some(old) if (old.start, old.watch_number) >= (hello.start, hello.watch_number) => {
                refused(Reason::Replaced, "a newer watch of the planner stands here".into())
            }
            None if self.planners.len() >= self.config.max_watches => {
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
        let retry_after_ms = self.rng.u64(least..=most);
        let refuse = Refuse { reason: reason as i32, detail: why.into(), retry_after_ms };
        acts.push(Act::Say(link, Kind::Refuse(refuse)));
        acts.push(Act::Finish(link));
    }

    pub(super) fn enqueue(&mut self, link: Link, acts: &mut Vec<Act>) {
        let Some(session) = self.sessions.get_mut(&link) else { return };
        if session.position.lost(&self.cache) {
            session.reset = true;
        }
        // One that was broken off and came again has the least to be told.
        let resumes_snapshot = !session.reset && session.number == 0;
        self.queue.retain(|waits| *waits != link);
        match resumes_snapshot {
            true => self.queue.push_front(link),
            false => self.queue.push_back(link),
        }
        if self.snapshots >= self.config.max_snapshots {
            let rounds = 1 + self.queue.len() / self.config.max_snapshots.max(1);
            let in_ms = self.rng.u64(1..=500 * rounds as u64);
            acts.push(Act::Say(link, Kind::SnapshotDelayed(SnapshotDelayed { in_ms })));
        }
    }

    /// Whoever waits for a snapshot and may have it now.
    pub(super) fn turns(&mut self, now: Moment, acts: &mut Vec<Act>) {
        // One that is told at once gives its turn on: by this loop, not by one within it for each that waits.
        if std::mem::replace(&mut self.turning, true) {
            return;
        }
        while self.snapshots < self.config.max_snapshots {
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
