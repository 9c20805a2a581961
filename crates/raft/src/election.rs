//! Elections. A pre-vote precedes each one, so that a member cut off from the others does not keep raising
//! its term.

use crate::raft_node::RaftNode;
use crate::{Id, Index, Payload, Role, Term};
use pewtergap_time::Moment;

impl RaftNode {
    /// The election timeout passed without a leader: asks the other voters whether they would grant a vote.
    pub(crate) fn start_pre_vote(&mut self, now: Moment) {
        self.reset_election_deadline(now);
        if !self.may_stand() {
            return self.set_role(Role::Follower, None);
        }
        if now < self.no_votes_until {
            self.election_deadline = self.no_votes_until;
            return;
        }
        if self.log.members.1.voters().eq([self.id]) {
            return self.start_election(now, false);
        }
        self.set_role(Role::Trying, None);
        self.votes = [(self.id, true)].into();
        let last_log = self.log.last();
        let others: Vec<Id> = self.other_voters().collect();
        for id in others {
            // Carries the term the election would have; our own term does not change.
            let message =
                crate::Message { term: self.log.term + 1, payload: Payload::PreVoteRequest { last_log } };
            self.actions.push(crate::Action::Send { to: id, message });
        }
    }

    /// Starts an election in the next term.
    pub(crate) fn start_election(&mut self, now: Moment, leader_transfer: bool) {
        if !self.may_stand() {
            return;
        }
        self.adopt_term(now, self.log.term + 1);
        self.set_role(Role::Candidate, None);
        self.vote_for(self.id);
        self.votes.clear();
        let last_log = self.log.last();
        let others: Vec<Id> = self.other_voters().collect();
        for id in others {
            self.send_after_sync(id, Payload::VoteRequest { last_log, leader_transfer });
        }
        // `on_synced` counts our own vote once it is on disk.
        self.flush_records();
    }

    pub(crate) fn other_voters(&self) -> impl Iterator<Item = Id> + '_ {
        self.log.members.1.voters().filter(|id| *id != self.id)
    }

    /// A leader was heard within the election timeout, so an election now would only disrupt it.
    fn has_live_leader(&self, now: Moment) -> bool {
        let leads = self.role == Role::Leader;
        leads
            || self.leader.is_some()
                && self.last_leader_contact.is_some_and(|at| now.since(at) < self.config.election_timeout)
    }

    fn is_log_up_to_date(&self, last_log: (Term, Index)) -> bool {
        last_log >= self.log.last()
    }

    /// Goes by the newest entry. An observer's disk never gets a vote later, so a candidate that counts on
    /// one uses a membership that was never valid.
    fn is_observer(&self) -> bool {
        self.log.members.1.is_observer(self.id)
    }

    pub(crate) fn handle_pre_vote_request(
        &mut self,
        now: Moment,
        from: Id,
        term: Term,
        last_log: (Term, Index),
    ) {
        let granted = term > self.log.term
            && self.is_log_up_to_date(last_log)
            && !self.has_live_leader(now)
            && now >= self.no_votes_until
            && !self.is_observer();
        // A grant carries the term it is for; a refusal carries ours, so that a sender far behind learns of
        // it.
        let term = if granted { term } else { self.log.term };
        let message = crate::Message { term, payload: Payload::PreVoteResponse { granted } };
        self.actions.push(crate::Action::Send { to: from, message });
    }

    pub(crate) fn handle_pre_vote_response(&mut self, now: Moment, from: Id, term: Term, granted: bool) {
        if !granted {
            if term > self.log.term {
                self.adopt_term(now, term);
            }
            return;
        }
        if term == self.log.term + 1 && self.record_vote(from, true) {
            self.start_election(now, false);
        }
    }

    /// Whether we accept a vote request of a newer term at all.
    pub(crate) fn accepts_newer_term(&self, now: Moment, payload: &Payload) -> bool {
        let leader_transfer = matches!(payload, Payload::VoteRequest { leader_transfer: true, .. });
        leader_transfer || !self.has_live_leader(now)
    }

    pub(crate) fn handle_vote_request(&mut self, now: Moment, from: Id, last_log: (Term, Index)) {
        let free = self.log.voted_for == 0 || self.log.voted_for == from;
        let granted = self.role == Role::Follower
            && free
            && self.is_log_up_to_date(last_log)
            && now >= self.no_votes_until
            && !self.is_observer();
        if granted {
            if self.log.voted_for == 0 {
                self.vote_for(from);
            }
            self.reset_election_deadline(now);
        }
        self.send_after_sync(from, Payload::VoteResponse { granted });
    }

    pub(crate) fn handle_vote_response(&mut self, now: Moment, from: Id, granted: bool) {
        if self.record_vote(from, granted) {
            self.become_leader(now);
        }
    }

    fn record_vote(&mut self, from: Id, granted: bool) -> bool {
        self.votes.insert(from, granted);
        let members = &self.log.members.1;
        let yes = self.votes.iter().filter(|(id, yes)| **yes && members.is_voter(**id)).count();
        yes >= members.majority()
    }
}
