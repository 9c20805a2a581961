//! Elections: a trial first, so that a member which hears nobody does not raise terms for ever.

use crate::machine::RaftNode;
use crate::{Id, Index, Payload, Role, Term};
use pewtergap_time::Moment;

impl RaftNode {
    /// No leader was heard for its time: ask whether one would be voted for.
    pub(crate) fn stand(&mut self, now: Moment) {
        self.rest(now);
        if !self.is_member() {
            return self.turn(Role::Follower, None);
        }
        if now < self.hushed {
            self.deadline = self.hushed;
            return;
        }
        if self.log.members.1.voters().eq([self.id]) {
            return self.ask(now, false);
        }
        self.turn(Role::Trying, None);
        self.votes = [(self.id, true)].into();
        let last = self.log.last();
        let others: Vec<Id> = self.others().collect();
        for id in others {
            // In the term it would be; ours stays as it is.
            let message = crate::Message {
                term: self.log.term + 1,
                payload: Payload::PreVoteRequest { last_log: last },
            };
            self.out.push(crate::Action::Send { to: id, message });
        }
    }

    /// Stands in the next term.
    pub(crate) fn ask(&mut self, now: Moment, handed: bool) {
        if !self.is_member() {
            return;
        }
        self.adopt(now, self.log.term + 1);
        self.turn(Role::Candidate, None);
        self.vote_for(self.id);
        self.votes.clear();
        let last = self.log.last();
        let others: Vec<Id> = self.others().collect();
        for id in others {
            self.say(id, Payload::VoteRequest { last_log: last, leader_transfer: handed });
        }
        // Its own vote is counted by `synced`.
        self.hand_over_rows();
    }

    pub(crate) fn others(&self) -> impl Iterator<Item = Id> + '_ {
        self.log.members.1.voters().filter(|id| *id != self.id)
    }

    /// A leader is heard: an election now would only disturb it.
    fn holds_on(&self, now: Moment) -> bool {
        let leads = self.role == Role::Leader;
        leads
            || self.leader.is_some()
                && self.heard.is_some_and(|at| now.since(at) < self.times.election_timeout)
    }

    fn newer_or_same(&self, last: (Term, Index)) -> bool {
        last >= self.log.last()
    }

    /// By the newest entry. No disk that observes ever votes later, so whoever asks it goes by members that never were.
    fn observes(&self) -> bool {
        self.log.members.1.is_observer(self.id)
    }

    pub(crate) fn weigh_trial(&mut self, now: Moment, from: Id, term: Term, last: (Term, Index)) {
        let granted = term > self.log.term
            && self.newer_or_same(last)
            && !self.holds_on(now)
            && now >= self.hushed
            && !self.observes();
        // A grant speaks of the term it is for, a refusal of ours: so that one far behind learns of it.
        let term = if granted { term } else { self.log.term };
        let message = crate::Message { term, payload: Payload::PreVoteResponse { granted } };
        self.out.push(crate::Action::Send { to: from, message });
    }

    pub(crate) fn count_trial(&mut self, now: Moment, from: Id, term: Term, granted: bool) {
        if !granted {
            if term > self.log.term {
                self.adopt(now, term);
            }
            return;
        }
        if term == self.log.term + 1 && self.won(from, true) {
            self.ask(now, false);
        }
    }

    /// Whether a vote in a newer term may be asked of us at all.
    pub(crate) fn weighs(&self, now: Moment, say: &Payload) -> bool {
        let handed = matches!(say, Payload::VoteRequest { leader_transfer: true, .. });
        handed || !self.holds_on(now)
    }

    pub(crate) fn weigh(&mut self, now: Moment, from: Id, last: (Term, Index)) {
        let free = self.log.voted_for == 0 || self.log.voted_for == from;
        let granted = self.role == Role::Follower
            && free
            && self.newer_or_same(last)
            && now >= self.hushed
            && !self.observes();
        if granted {
            if self.log.voted_for == 0 {
                self.vote_for(from);
            }
            self.rest(now);
        }
        self.say(from, Payload::VoteResponse { granted });
    }

    pub(crate) fn count(&mut self, now: Moment, from: Id, granted: bool) {
        if self.won(from, granted) {
            self.begin(now);
        }
    }

    fn won(&mut self, from: Id, granted: bool) -> bool {
        self.votes.insert(from, granted);
        let members = &self.log.members.1;
        let yes = self.votes.iter().filter(|(id, yes)| **yes && members.is_voter(**id)).count();
        yes >= members.majority()
    }
}
