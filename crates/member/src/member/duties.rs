//! Duties as the record assigns them: a member renews its lease and acts on the duties it holds, and the
//! leader assigns them.
//!
//! A renewal is a read of the record that the leader confirms with a round; it writes nothing. While a duty
//! is moving from one planner to another, the leader answers no renewals of the former holder, which would
//! otherwise continue under a lease newer than the decision.

use super::budget::BudgetState;
use super::*;
use crate::messages::{HandoffRequest, LeaseRenewal};
use pewtergap_duty::{DutyAction, DutyAssigner, DutyAssignment, HeldDuties, LeaseConfig, Move, Planner};
use pewtergap_record::{AssignDuty, PinDuty, ReleaseDuty, CLEANING_DUTY};

/// Renewals in flight; older ones are dropped.
const MAX_RENEWALS: usize = 8;

/// The duties of a cluster and the terms under which they are held.
#[derive(Clone, Debug)]
pub struct DutyConfig {
    pub lease: LeaseConfig,
    /// A returning planner is assigned no duty before it has been heard without a gap for this time.
    pub rejoin_delay: Span,
    pub names: Vec<String>,
}

struct Renewal {
    token: u64,
    sent_at: Moment,
    read_index: Option<Index>,
}

/// A member's state for duties.
pub(super) struct DutyState {
    config: DutyConfig,
    held_duties: HeldDuties,
    assigner: Option<(DutyAssigner, (Moment, u64))>,
    renewals: Vec<Renewal>,
    next_renewal: Moment,
    /// The leader that renewed the lease last.
    leader: Option<Id>,
    /// Proposed assignments by command id, each with the former holder.
    assigning: BTreeMap<u64, Id>,
    /// Release commands by duty: fencing token, command id, and when it was last submitted.
    releasing: BTreeMap<String, (u64, u64, Moment)>,
    /// This member was slow by its own measurement and takes no duties until then.
    slow_until: Moment,
    next_turn: Moment,
    last_lease_change: Moment,
    /// Budgets, if they are divided among planners.
    pub(super) budget: Option<BudgetState>,
}

impl DutyState {
    pub(super) fn new(config: DutyConfig, budget: Option<BudgetState>) -> DutyState {
        let held_duties = HeldDuties::new(config.lease);
        DutyState {
            config,
            held_duties,
            assigner: None,
            renewals: Vec::new(),
            next_renewal: Moment(0),
            leader: None,
            assigning: BTreeMap::new(),
            releasing: BTreeMap::new(),
            slow_until: Moment(0),
            next_turn: Moment(0),
            last_lease_change: Moment(0),
            budget,
        }
    }

    pub(super) fn on_read_index(&mut self, token: u64, index: Index) -> bool {
        let renewal = self.renewals.iter_mut().find(|renewal| renewal.token == token);
        renewal.map(|renewal| renewal.read_index = Some(index)).is_some()
    }
}

impl Member {
    /// The fencing token under which this planner may act on a duty at this moment.
    pub fn fencing_token(&self, now: Moment, duty: &str) -> Option<u64> {
        self.duty_state.as_ref()?.held_duties.fencing_token(now, duty)
    }

    /// The holder of a duty according to the record, and whether it is connected.
    pub fn holder(&self, duty: &str) -> (Id, bool) {
        let Some(duty) = self.record.duties().get(duty) else { return (0, false) };
        let connected = self.peers.welcome(&duty.holder_name).is_some_and(|hello| hello.id == duty.holder);
        (duty.holder, duty.holder != 0 && connected)
    }

    pub fn send_urgent(&self, to: Id, kind: peer_message::Kind, out: &mut Outbox) {
        self.peers.send(to, Lane::Urgent, kind, out);
    }

    pub fn broadcast_urgent(&self, kind: &peer_message::Kind, out: &mut Outbox) {
        let members = self.raft().map(|raft| raft.committed_members()).unwrap_or_default();
        for member in members.list.iter().filter(|member| member.id != 0 && member.id != self.identity.id) {
            self.peers.send(member.id, Lane::Urgent, kind.clone(), out);
        }
    }

    /// The duties this planner believes it holds: name, fencing token, and whether it may act on each now.
    pub fn held_duties(&self, now: Moment) -> Vec<(String, u64, bool)> {
        let Some(duty_state) = &self.duty_state else { return Vec::new() };
        let acts = |duty: &str| duty_state.held_duties.fencing_token(now, duty).is_some();
        duty_state
            .held_duties
            .held()
            .map(|(duty, fencing_token, _)| (duty.to_string(), fencing_token, acts(duty)))
            .collect()
    }

    /// Runs at each housekeeping and after each change of the record.
    pub(super) fn update_duties(&mut self, now: Moment, out: &mut Outbox) {
        let Some(mut duty_state) = self.duty_state.take() else { return };
        if self.record.format() >= 2 && !matches!(self.stage, Stage::ReadingFile | Stage::Failed) {
            self.apply_lease_duration(now, &mut duty_state);
            self.renew_lease(now, &mut duty_state, out);
            self.update_held_duties(now, &mut duty_state, out);
            self.assign_duties(now, &mut duty_state, out);
            self.submit_releases(now, &mut duty_state, out);
            self.submit_cleanup(now, &duty_state, out);
            if let Some(budget) = &mut duty_state.budget {
                self.update_budget(now, budget, out);
            }
        }
        self.duty_state = Some(duty_state);
    }

    /// Detects a housekeeping turn that is late by more than the allowed pause. Other work of this process is
    /// late as well, so it releases its duties.
    pub(super) fn check_lateness(&mut self, now: Moment, out: &mut Outbox) {
        let Some(duty_state) = &mut self.duty_state else { return };
        let lateness = now.since(duty_state.next_turn);
        if duty_state.next_turn > Moment(0) && lateness > duty_state.config.lease.max_pause {
            duty_state.slow_until = now + duty_state.config.rejoin_delay;
            duty_state.next_renewal = now;
            duty_state.held_duties.tick(now);
            duty_state.held_duties.release(None);
            out.log(Level::Warn, "duties_given_up", vec![("late", lateness.to_string())]);
        }
        duty_state.next_turn = now + HOUSEKEEPING_INTERVAL;
    }

    /// Applies the lease duration. Settings may differ while they are being changed, so a holder uses the
    /// shorter of its own and the record's duration, and the assigner the longer. The record's duration rises
    /// with any leader's, and falls once no member has a longer one.
    fn apply_lease_duration(&mut self, now: Moment, duty_state: &mut DutyState) {
        let own = duty_state.config.lease.duration;
        let recorded = Span::millis(self.record.lease_ms());
        duty_state.held_duties.set_lease_duration(own.min(recorded));
        if let Some((assigner, _)) = &mut duty_state.assigner {
            assigner.set_lease_duration(own.max(recorded));
        }
        let Some(raft) = self.raft().filter(|raft| raft.role() == Role::Leader) else { return };
        let lease_of = |member: &RaftMember| match member.id == self.identity.id {
            true => self.identity.lease_ms,
            // A member that has not been heard may use the duration in the record.
            false => {
                let start = self.peer_starts.get(&member.name).filter(|start| start.id == member.id);
                start.map_or(self.record.lease_ms(), |start| start.lease_ms)
            }
        };
        let longest = raft.members().list.iter().map(lease_of).max().unwrap_or(0).max(self.identity.lease_ms);
        if longest != self.record.lease_ms() && now.since(duty_state.last_lease_change) >= RETRY_INTERVAL {
            duty_state.last_lease_change = now;
            let id = self.rng.u64(1..);
            self.propose(&Command {
                id,
                issued_at_ms: now.0 / 1_000_000,
                kind: Some(CommandKind::SetLease(longest)),
            });
        }
    }

    fn renew_lease(&mut self, now: Moment, duty_state: &mut DutyState, out: &mut Outbox) {
        let Some(raft) = self.raft() else { return };
        let (is_leader, leader, applied) = (raft.role() == Role::Leader, raft.leader(), raft.applied_index());
        let is_member = raft.committed_members().find(self.identity.id).is_some();
        let (done, pending): (Vec<_>, Vec<_>) = std::mem::take(&mut duty_state.renewals)
            .into_iter()
            .partition(|renewal| renewal.read_index.is_some_and(|at| at <= applied));
        duty_state.renewals = pending;
        for renewal in done {
            duty_state.held_duties.on_renewed(now, renewal.sent_at);
            duty_state.budget.iter_mut().for_each(|budget| budget.on_renewed(renewal.sent_at));
        }
        if leader != duty_state.leader {
            // A new leader has not heard any renewals yet.
            (duty_state.leader, duty_state.next_renewal) = (leader, now);
        }
        if now < duty_state.next_renewal || !is_member || leader.is_none() {
            return;
        }
        duty_state.next_renewal = now + duty_state.config.lease.renew_interval;
        self.last_token += 1;
        // The lease counts from before the request is sent.
        let (token, sent_at) = ((1 << 63) + self.last_token, now);
        let leaving = self.stopping || now < duty_state.slow_until;
        let over = duty_state.renewals.len().saturating_sub(MAX_RENEWALS - 1);
        duty_state.renewals.drain(..over);
        duty_state.renewals.push(Renewal { token, sent_at, read_index: None });
        match leader {
            _ if is_leader => {
                self.accept_renewal(now, self.identity.id, LeaseRenewal { token, leaving }, duty_state)
            }
            Some(leader) => {
                let message = peer_message::Kind::LeaseRenewal(LeaseRenewal { token, leaving });
                self.peers.send(leader, Lane::Urgent, message, out);
            }
            None => {}
        }
    }

    /// Handles a lease renewal of a member, as the leader.
    pub(super) fn on_lease_renewal(&mut self, now: Moment, from: Id, renewal: LeaseRenewal) {
        let Some(mut duty_state) = self.duty_state.take() else { return };
        self.accept_renewal(now, from, renewal, &mut duty_state);
        self.duty_state = Some(duty_state);
    }

    fn accept_renewal(&mut self, now: Moment, from: Id, renewal: LeaseRenewal, duty_state: &mut DutyState) {
        let is_debited = self.is_taking_from(from);
        let Stage::Joined(raft) = &mut self.stage else { return };
        if duty_state.assigning.values().any(|holder| *holder == from) || is_debited {
            return;
        }
        let Some((assigner, _)) = &mut duty_state.assigner else { return };
        assigner.on_renewal(now, from);
        duty_state.budget.iter_mut().for_each(|budget| budget.on_renewal(now, from));
        if renewal.leaving {
            assigner.on_leaving(from);
        }
        self.last_token += 1;
        if self.reads.len() < MAX_PENDING_REQUESTS && raft.request_read(now, self.last_token).is_ok() {
            self.reads.insert(self.last_token, (from, renewal.token));
        }
    }

    /// Applies the record's assignments to this planner, and logs the duties that start, pause and stop.
    fn update_held_duties(&mut self, now: Moment, duty_state: &mut DutyState, out: &mut Outbox) {
        let own = self.identity.id;
        let assignments = self.record.duties().iter().filter(|(_, duty)| duty.holder == own);
        duty_state
            .held_duties
            .update_assignments(now, assignments.map(|(name, duty)| (name.as_str(), duty.fencing_token)));
        for (duty, fencing_token, action) in duty_state.held_duties.take_actions() {
            let event = match action {
                DutyAction::Start => "duty_begun",
                DutyAction::Resume => "duty_goes_on",
                DutyAction::Pause => "duty_rests",
                DutyAction::Release => "duty_handed_on",
                DutyAction::Stop => "duty_stopped",
                DutyAction::Nothing => continue,
            };
            let fields = vec![("duty", duty), ("number", fencing_token.to_string())];
            out.log(if action == DutyAction::Pause { Level::Warn } else { Level::Info }, event, fields);
        }
    }

    fn assign_duties(&mut self, now: Moment, duty_state: &mut DutyState, out: &mut Outbox) {
        let proposed = &self.proposed;
        duty_state.assigning.retain(|command, _| proposed.contains_key(command));
        let Some(leader_since) = self.raft().and_then(|raft| raft.leading_since()) else {
            duty_state.assigner = None;
            duty_state.assigning.clear();
            return;
        };
        if duty_state.assigner.as_ref().is_none_or(|assigner| assigner.1 != leader_since) {
            // Counts from now, which is after the election, so no holder's lease is taken to be shorter than
            // it is.
            let assigner = DutyAssigner::new(now, duty_state.config.lease, duty_state.config.rejoin_delay);
            duty_state.assigner = Some((assigner, leader_since));
            duty_state.assigning.clear();
        }
        if !duty_state.assigning.is_empty() || self.stopping {
            return;
        }
        let members = self.raft().map(|raft| raft.committed_members()).unwrap_or_default();
        let id_of = |name: &str| members.find_by_name(name).map(|member| member.id).filter(|id| *id != 0);
        let held: BTreeMap<String, DutyAssignment> = self
            .record
            .duties()
            .iter()
            .map(|(name, duty)| {
                let pinned_to = id_of(&duty.pinned_to);
                (
                    name.clone(),
                    DutyAssignment { holder: duty.holder, fencing_token: duty.fencing_token, pinned_to },
                )
            })
            .collect();
        let planners: Vec<Planner> = members
            .list
            .iter()
            .filter(|member| member.is_voter && member.id != 0)
            .map(|member| Planner { id: member.id, name: member.name.clone() })
            .collect();
        let frozen = self.record.active_order(&Subject::Duties).is_some();
        let Some((assigner, _)) = &mut duty_state.assigner else { return };
        for assignment in assigner.plan(now, &duty_state.config.names, &held, &planners, frozen) {
            match assignment {
                Move::Assign { duty, to: holder, expected_fencing_token } => {
                    let name =
                        planners.iter().find(|p| p.id == holder).map(|p| p.name.clone()).unwrap_or_default();
                    let from = held.get(&duty).map_or(0, |held| held.holder);
                    let id = self.rng.u64(1..);
                    let kind = Some(CommandKind::AssignDuty(AssignDuty {
                        duty: duty.clone(),
                        holder,
                        holder_name: name.clone(),
                        expected_fencing_token,
                    }));
                    if self.propose(&Command { id, issued_at_ms: now.0 / 1_000_000, kind }) {
                        duty_state.assigning.insert(id, from);
                        out.log(Level::Info, "duty_given", vec![("duty", duty), ("to", name)]);
                    }
                }
                Move::RequestRelease { duty, holder, .. } if holder == self.identity.id => {
                    duty_state.held_duties.release(Some(&duty))
                }
                Move::RequestRelease { duty, holder, fencing_token } => {
                    let message = peer_message::Kind::HandoffRequest(HandoffRequest { duty, fencing_token });
                    self.peers.send(holder, Lane::Urgent, message, out);
                }
            }
        }
    }

    /// The leader requests that a duty be released.
    pub(super) fn on_handoff_request(&mut self, now: Moment, request: &HandoffRequest, out: &mut Outbox) {
        if let Some(duty_state) = &mut self.duty_state {
            if duty_state
                .held_duties
                .held()
                .any(|held| held.0 == request.duty && held.1 == request.fencing_token)
            {
                duty_state.held_duties.release(Some(&request.duty));
            }
        }
        self.update_duties(now, out);
    }

    /// Releases all duties on shutdown, written to the record before leadership is transferred.
    pub(super) fn release_all_duties(&mut self, now: Moment, out: &mut Outbox) {
        if let Some(duty_state) = &mut self.duty_state {
            duty_state.held_duties.release(None);
            duty_state.next_renewal = now;
        }
        self.update_duties(now, out);
    }

    fn submit_releases(&mut self, now: Moment, duty_state: &mut DutyState, out: &mut Outbox) {
        let releasing = duty_state.held_duties.releasing();
        duty_state
            .releasing
            .retain(|duty, release| releasing.iter().any(|held| held.0 == *duty && held.1 == release.0));
        for (duty, fencing_token) in releasing {
            let id = self.rng.u64(1..);
            let release = duty_state.releasing.entry(duty.clone()).or_insert((fencing_token, id, Moment(0)));
            if now.since(release.2) < RETRY_INTERVAL {
                continue;
            }
            release.2 = now;
            let kind = Some(CommandKind::ReleaseDuty(ReleaseDuty { duty, fencing_token }));
            let command = Command { id: release.1, issued_at_ms: now.0 / 1_000_000, kind };
            self.submit_to_leader(&command, out);
        }
    }

    /// Submits a command to the leader; the record shows whether it was committed.
    pub(super) fn submit_to_leader(&mut self, command: &Command, out: &mut Outbox) {
        let leader = self.raft().and_then(RaftNode::leader);
        if !self.propose_while_stopping(command) {
            if let Some(leader) = leader.filter(|leader| *leader != self.identity.id) {
                self.peers.send(
                    leader,
                    Lane::Bulk,
                    peer_message::Kind::Command(command.encode_to_vec()),
                    out,
                );
            }
        }
    }

    fn submit_cleanup(&mut self, now: Moment, duty_state: &DutyState, out: &mut Outbox) {
        let ms = now.0 / 1_000_000;
        let due = now.since(self.last_cleanup) >= Span::millis(1_000);
        let Some(fencing_token) = duty_state.held_duties.fencing_token(now, CLEANING_DUTY).filter(|_| due)
        else {
            return;
        };
        self.last_cleanup = now;
        let members = self.raft().map(|raft| raft.committed_members()).unwrap_or_default();
        // Removes pins to planners that left. Otherwise the duty would move to another member that takes the
        // name later.
        for duty in self.record.duties_pinned_to_absent(|name| members.find_by_name(name).is_some()) {
            let (issued_by, reason) =
                (CLEANING_DUTY.to_string(), "the planner it was wanted at left".to_string());
            let kind =
                Some(CommandKind::PinDuty(PinDuty { duty, planner: String::new(), issued_by, reason }));
            let unpin = Command { id: self.rng.u64(1..), issued_at_ms: ms, kind };
            self.submit_to_leader(&unpin, out);
        }
        if !self.record.needs_cleanup(ms) {
            return;
        }
        let id = self.rng.u64(1..);
        let cleanup = Command {
            id,
            issued_at_ms: ms,
            kind: Some(CommandKind::Cleanup(Cleanup { now_ms: ms, fencing_token })),
        };
        self.submit_to_leader(&cleanup, out);
    }
}
