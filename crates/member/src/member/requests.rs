//! What is asked of a member, until it is answered.

use super::leading::satisfied;
use super::*;

impl Member {
    pub fn request(&mut self, now: Moment, token: u64, what: Request, out: &mut Outbox) {
        if let Request::Command(command) = &what {
            if let Err(why) = command.check() {
                return self.events.push(MemberEvent::Reply { token, reply: Reply::Rejected(why) });
            }
        }
        if let Request::StaleRead = what {
            let reply = Reply::ReadReady { fresh: false, age: self.staleness(now) };
            return self.events.push(MemberEvent::Reply { token, reply });
        }
        if self.waiting.len() >= MOST_WAITING {
            let reply = Reply::Rejected(format!("{MOST_WAITING} requests wait, no more are taken"));
            return self.events.push(MemberEvent::Reply { token, reply });
        }
        let until = now + self.home.request_timeout;
        self.waiting.push_back(Waiting { token, what, until, given: None, read_at: None });
        self.give_all(now, out);
        self.carry_out(now, out);
    }

    /// How old what is known here may be.
    pub fn staleness(&self, now: Moment) -> Span {
        let heard = self.raft().and_then(|agree| agree.last_quorum_contact(now));
        heard.map_or(Span(u64::MAX / 4), |heard| now.since(heard))
    }

    /// Also by one that is about to end: what it hands on.
    pub(super) fn propose_late(&mut self, command: &Command) -> bool {
        let stopping = std::mem::replace(&mut self.stopping, false);
        let proposed = self.propose(command);
        self.stopping = stopping;
        proposed
    }

    pub(super) fn propose(&mut self, command: &Command) -> bool {
        let Stage::Member(agree) = &mut self.stage else { return false };
        if agree.role() != Role::Leader || self.stopping || self.proposed.len() >= 4 * MOST_WAITING {
            return false;
        }
        if self.proposed.contains_key(&command.id) {
            return true;
        }
        match agree.propose(command.encode_to_vec()) {
            Ok((_, index)) => {
                self.proposed.insert(command.id, index);
                let taken = match &command.kind {
                    Some(CommandKind::BudgetShift(share)) => share.taken_from(),
                    _ => None,
                };
                self.taking.extend(taken.map(|from| (command.id, from)));
                true
            }
            Err(_) => false,
        }
    }

    /// Gives what waits to whoever leads.
    pub(super) fn give_all(&mut self, now: Moment, out: &mut Outbox) {
        let Some((leads, leader)) = self.raft().map(|agree| (agree.role() == Role::Leader, agree.leader()))
        else {
            return;
        };
        for at in 0..self.waiting.len() {
            let waiting = &self.waiting[at];
            if waiting.given.is_some_and(|given| now.since(given) < AGAIN) || waiting.read_at.is_some() {
                continue;
            }
            let (token, what) = (waiting.token, waiting.what.clone());
            let given = match (what, leader) {
                (Request::Command(command), _) if leads => self.propose(&command),
                (Request::MemberChange(change), _) if leads => self.change(now, &change).is_ok(),
                (Request::LinearizableRead, _) if leads => {
                    let Stage::Member(agree) = &mut self.stage else { return };
                    self.tokens += 1;
                    let own = self.own.id;
                    // Asked once: its answer comes, or that it cannot be had.
                    let asked = waiting.given.is_none() && agree.request_read(now, self.tokens).is_ok();
                    if asked {
                        self.reads.insert(self.tokens, (own, token));
                    }
                    asked
                }
                (Request::Command(command), Some(leader)) => {
                    let word = peer_message::Kind::Command(command.encode_to_vec());
                    self.peers.send(leader, Lane::Bulk, word, out)
                }
                (Request::MemberChange(change), Some(leader)) => {
                    self.peers.send(leader, Lane::Bulk, peer_message::Kind::MemberChange(change), out)
                }
                (Request::LinearizableRead, Some(leader)) => {
                    self.peers.send(leader, Lane::Urgent, peer_message::Kind::ReadIndexRequest(token), out)
                }
                _ => false,
            };
            if given {
                self.waiting[at].given = Some(now);
            }
        }
    }

    /// Answers what can be answered, and what can no longer wait.
    pub(super) fn answer(&mut self, now: Moment, until: Moment) {
        let applied = self.raft().map_or(0, RaftNode::applied_index);
        let members = self.raft().map(|agree| (agree.committed_members(), agree.commit_index()));
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.retain(|waiting| {
            let known = match &waiting.what {
                Request::Command(command) => {
                    self.record.past_outcome(command.id).map(|answer| match answer {
                        Outcome::Applied(number) => Reply::Committed(number),
                        Outcome::Rejected(why) => Reply::Rejected(why),
                        Outcome::Unknown => Reply::Unknown,
                    })
                }
                Request::MemberChange(change) => {
                    members.as_ref().filter(|m| satisfied(&m.0, change)).map(|m| Reply::Committed(m.1))
                }
                Request::LinearizableRead => waiting
                    .read_at
                    .filter(|at| *at <= applied)
                    .map(|_| Reply::ReadReady { fresh: true, age: Span(0) }),
                Request::StaleRead => None,
            };
            let late = until >= waiting.until;
            let reply = known.or_else(|| {
                late.then(|| match (&waiting.what, waiting.given) {
                    (Request::LinearizableRead | Request::StaleRead, _) => {
                        Reply::ReadReady { fresh: false, age: self.staleness(now) }
                    }
                    (_, Some(_)) => Reply::Unknown,
                    (_, None) => Reply::NoMajority,
                })
            });
            let Some(reply) = reply else { return true };
            self.events.push(MemberEvent::Reply { token: waiting.token, reply });
            false
        });
        self.waiting = waiting;
    }
}
