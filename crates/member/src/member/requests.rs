//! Requests to a member, from submission to reply.

use super::leader::is_satisfied;
use super::*;

impl Member {
    pub fn request(&mut self, now: Moment, token: u64, request: Request, out: &mut Outbox) {
        if let Request::Command(command) = &request {
            if let Err(reason) = command.check() {
                return self.events.push(MemberEvent::Reply { token, reply: Reply::Rejected(reason) });
            }
        }
        if let Request::StaleRead = request {
            let reply = Reply::ReadReady { fresh: false, age: self.staleness(now) };
            return self.events.push(MemberEvent::Reply { token, reply });
        }
        if self.pending.len() >= MAX_PENDING_REQUESTS {
            let reply =
                Reply::Rejected(format!("{MAX_PENDING_REQUESTS} requests are pending, no more are accepted"));
            return self.events.push(MemberEvent::Reply { token, reply });
        }
        let deadline = now + self.config.request_timeout;
        self.pending.push_back(PendingRequest {
            token,
            request,
            deadline,
            submitted_at: None,
            read_index: None,
        });
        self.submit_pending(now, out);
        self.apply_actions(now, out);
    }

    /// How old the state known here may be.
    pub fn staleness(&self, now: Moment) -> Span {
        let last_contact = self.raft().and_then(|raft| raft.last_quorum_contact(now));
        last_contact.map_or(Span(u64::MAX / 4), |last_contact| now.since(last_contact))
    }

    /// Proposes even while this member is stopping, so that it can release its duties.
    pub(super) fn propose_while_stopping(&mut self, command: &Command) -> bool {
        let stopping = std::mem::replace(&mut self.stopping, false);
        let proposed = self.propose(command);
        self.stopping = stopping;
        proposed
    }

    pub(super) fn propose(&mut self, command: &Command) -> bool {
        let Stage::Joined(raft) = &mut self.stage else { return false };
        if raft.role() != Role::Leader || self.stopping || self.proposed.len() >= 4 * MAX_PENDING_REQUESTS {
            return false;
        }
        if self.proposed.contains_key(&command.id) {
            return true;
        }
        match raft.propose(command.encode_to_vec()) {
            Ok((_, index)) => {
                self.proposed.insert(command.id, index);
                let debited = match &command.kind {
                    Some(CommandKind::BudgetShift(shift)) => shift.taken_from(),
                    _ => None,
                };
                self.budget_debits.extend(debited.map(|from| (command.id, from)));
                true
            }
            Err(_) => false,
        }
    }

    /// Submits pending requests to the leader.
    pub(super) fn submit_pending(&mut self, now: Moment, out: &mut Outbox) {
        let Some((is_leader, leader)) = self.raft().map(|raft| (raft.role() == Role::Leader, raft.leader()))
        else {
            return;
        };
        for position in 0..self.pending.len() {
            let pending = &self.pending[position];
            if pending.submitted_at.is_some_and(|at| now.since(at) < RETRY_INTERVAL)
                || pending.read_index.is_some()
            {
                continue;
            }
            let (token, request) = (pending.token, pending.request.clone());
            let submitted = match (request, leader) {
                (Request::Command(command), _) if is_leader => self.propose(&command),
                (Request::MemberChange(change), _) if is_leader => {
                    self.apply_member_change(now, &change).is_ok()
                }
                (Request::LinearizableRead, _) if is_leader => {
                    let Stage::Joined(raft) = &mut self.stage else { return };
                    self.last_token += 1;
                    let own = self.identity.id;
                    // Requested only once: the Raft node always reports a result or a failure.
                    let requested =
                        pending.submitted_at.is_none() && raft.request_read(now, self.last_token).is_ok();
                    if requested {
                        self.reads.insert(self.last_token, (own, token));
                    }
                    requested
                }
                (Request::Command(command), Some(leader)) => {
                    let message = peer_message::Kind::Command(command.encode_to_vec());
                    self.peers.send(leader, Lane::Bulk, message, out)
                }
                (Request::MemberChange(change), Some(leader)) => {
                    self.peers.send(leader, Lane::Bulk, peer_message::Kind::MemberChange(change), out)
                }
                (Request::LinearizableRead, Some(leader)) => {
                    self.peers.send(leader, Lane::Urgent, peer_message::Kind::ReadIndexRequest(token), out)
                }
                _ => false,
            };
            if submitted {
                self.pending[position].submitted_at = Some(now);
            }
        }
    }

    /// Answers the requests whose outcome is known, and those whose deadline is not after `cutoff`.
    pub(super) fn complete_requests(&mut self, now: Moment, cutoff: Moment) {
        let applied = self.raft().map_or(0, RaftNode::applied_index);
        let members = self.raft().map(|raft| (raft.committed_members(), raft.commit_index()));
        let mut pending = std::mem::take(&mut self.pending);
        pending.retain(|pending| {
            let outcome = match &pending.request {
                Request::Command(command) => {
                    self.record.past_outcome(command.id).map(|outcome| match outcome {
                        Outcome::Applied(number) => Reply::Committed(number),
                        Outcome::Rejected(reason) => Reply::Rejected(reason),
                        Outcome::Unknown => Reply::Unknown,
                    })
                }
                Request::MemberChange(change) => {
                    members.as_ref().filter(|m| is_satisfied(&m.0, change)).map(|m| Reply::Committed(m.1))
                }
                Request::LinearizableRead => pending
                    .read_index
                    .filter(|index| *index <= applied)
                    .map(|_| Reply::ReadReady { fresh: true, age: Span(0) }),
                Request::StaleRead => None,
            };
            let expired = cutoff >= pending.deadline;
            let reply = outcome.or_else(|| {
                expired.then(|| match (&pending.request, pending.submitted_at) {
                    (Request::LinearizableRead | Request::StaleRead, _) => {
                        Reply::ReadReady { fresh: false, age: self.staleness(now) }
                    }
                    (_, Some(_)) => Reply::Unknown,
                    (_, None) => Reply::NoMajority,
                })
            });
            let Some(reply) = reply else { return true };
            self.events.push(MemberEvent::Reply { token: pending.token, reply });
            false
        });
        self.pending = pending;
    }
}
