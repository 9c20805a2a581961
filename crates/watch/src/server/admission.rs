//! Admission of watches, rejections with their retry delay, and the queue for snapshots.

use super::{Action, Server};
use crate::chunks::Position;
use crate::messages::{Hello, Kind, Reason, Rejection, SnapshotDelayed, Welcome, SUPPORTED_VERSIONS};
use crate::scope::Scope;
use crate::session::{transition, Event};
use pewtergap_node::Link;
use pewtergap_time::Moment;
use std::sync::Arc;

impl Server {
    pub(super) fn handle_hello(&mut self, now: Moment, link: Link, hello: Hello, actions: &mut Vec<Action>) {
        if let Err((reason, detail)) = self.check_hello(&hello) {
            return self.apply_event(now, link, Event::Rejected(reason), &detail, actions);
        }
        if let Some(old) = self.planners.get(&hello.planner).copied() {
            self.apply_event(
                now,
                old,
                Event::Rejected(Reason::Replaced),
                "a newer watch of the planner",
                actions,
            );
        }
        let (base, head) = (self.cache.compacted_index(), self.cache.head());
        let can_continue = hello.index > 0 && hello.index >= base && !hello.reset;
        let partial_snapshot = hello.partial_snapshot.filter(|partial| {
            !can_continue && partial.base >= base && partial.base.max(partial.seen) <= head
        });
        let version = SUPPORTED_VERSIONS.1.min(hello.max_version);
        let (record_id, machine) = (self.record_id.unwrap_or(0), self.machine.clone());
        let resumes_snapshot = partial_snapshot.is_some();
        actions.push(Action::Send(
            link,
            Kind::Welcome(Welcome { version, record_id, head, machine, resumes_snapshot }),
        ));
        let (scope_number, scope) = (hello.scope.number, Arc::new(Scope::from(hello.scope)));
        let (scope_id, scope) = self.acquire_scope(scope);
        self.planners.insert(hello.planner.clone(), link);
        let Some(session) = self.sessions.get_mut(&link) else { return };
        (session.planner, session.start, session.watch_number) =
            (hello.planner, hello.start, hello.watch_number);
        (session.scope, session.scope_id, session.scope_number) = (scope, scope_id, scope_number);
        session.as_of = now;
        session.reset = !can_continue && !resumes_snapshot;
        session.position = match partial_snapshot {
            Some(partial) if partial.all_keys => Position::at_index(partial.base),
            Some(partial) => Position::SnapshotKey {
                base: partial.base,
                after: (!partial.after.is_empty()).then(|| partial.after.into()),
            },
            None => Position::at_index(hello.index),
        };
        self.notify_heard(link, actions);
        self.apply_event(
            now,
            link,
            if can_continue { Event::Continued } else { Event::NeedsSnapshot },
            "",
            actions,
        );
    }

    fn check_hello(&self, hello: &Hello) -> Result<(), (Reason, String)> {
        let rejected = |reason, detail: String| Err((reason, detail));
        if hello.min_version > SUPPORTED_VERSIONS.1 || hello.max_version < SUPPORTED_VERSIONS.0 {
            let (min_version, max_version) = SUPPORTED_VERSIONS;
            return rejected(
                Reason::Version,
                format!("versions {min_version} to {max_version} are spoken here"),
            );
        }
        if self.stopping {
            return rejected(Reason::Stopping, "the machine ends".into());
        }
        let Some(record_id) = self.record_id else {
            return rejected(Reason::Behind, "no record is known here yet".into());
        };
        if hello.record_id != 0 && hello.record_id != record_id {
            return rejected(Reason::Record, format!("the record here is {record_id:016x}"));
        }
        let head = self.cache.head();
        if hello.index > head {
            return rejected(Reason::Behind, format!("{head} is applied here, {} there", hello.index));
        }
        match self.planners.get(&hello.planner).and_then(|link| self.sessions.get(link)) {
            Some(old) if (old.start, old.watch_number) >= (hello.start, hello.watch_number) => {
                rejected(Reason::Replaced, "a newer watch of the planner stands here".into())
            }
            None if self.planners.len() >= self.config.max_watches => {
                rejected(Reason::Full, format!("{} watches stand here", self.planners.len()))
            }
            _ => Ok(()),
        }
    }

    pub(super) fn send_rejection(
        &mut self,
        link: Link,
        reason: Reason,
        detail: &str,
        actions: &mut Vec<Action>,
    ) {
        *self.rejections.entry(reason).or_default() += 1;
        let (min_ms, max_ms) = match reason {
            Reason::Behind => (200, 1_500),
            Reason::Deaf => (0, 2_000),
            Reason::Full | Reason::Stopping => (2_000, 8_000),
            Reason::Bad | Reason::Replaced => (5_000, 15_000),
            Reason::Version | Reason::Record => (15_000, 45_000),
        };
        let retry_after_ms = self.rng.u64(min_ms..=max_ms);
        let rejection = Rejection { reason: reason as i32, detail: detail.into(), retry_after_ms };
        actions.push(Action::Send(link, Kind::Rejection(rejection)));
        actions.push(Action::Close(link));
    }

    pub(super) fn enqueue_snapshot(&mut self, link: Link, actions: &mut Vec<Action>) {
        let Some(session) = self.sessions.get_mut(&link) else { return };
        if session.position.is_compacted(&self.cache) {
            session.reset = true;
        }
        // A resumed snapshot goes first, since the least is left to send.
        let resumes_snapshot = !session.reset && session.last_chunk == 0;
        self.snapshot_queue.retain(|waits| *waits != link);
        match resumes_snapshot {
            true => self.snapshot_queue.push_front(link),
            false => self.snapshot_queue.push_back(link),
        }
        if self.active_snapshots >= self.config.max_snapshots {
            let rounds = 1 + self.snapshot_queue.len() / self.config.max_snapshots.max(1);
            let in_ms = self.rng.u64(1..=500 * rounds as u64);
            actions.push(Action::Send(link, Kind::SnapshotDelayed(SnapshotDelayed { in_ms })));
        }
    }

    /// Gives free snapshot slots to those that wait.
    pub(super) fn grant_slots(&mut self, now: Moment, actions: &mut Vec<Action>) {
        // A snapshot that is sent completely at once frees its slot within this loop; nested calls are
        // avoided, which would recurse once per waiting planner.
        if std::mem::replace(&mut self.granting_slots, true) {
            return;
        }
        while self.active_snapshots < self.config.max_snapshots {
            let Some(link) = self.snapshot_queue.pop_front() else { break };
            let Some(session) = self.sessions.get_mut(&link) else { continue };
            if let Some((next, _)) = transition(session.state, Event::SlotGranted) {
                (session.state, session.slot_since) = (next, now);
                self.active_snapshots += 1;
                self.send_chunks(now, link, actions);
            }
        }
        self.granting_slots = false;
    }
}
