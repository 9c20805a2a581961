//! Duties round the record: a member renews its lease, acts on what it holds, and as the leader gives.
//!
//! A renewal is a read of the record that the leader confirms by a round; nothing is written for it. While a duty is on
//! its way from a planner to another, the leader answers that planner no renewal: it would go on under a lease that is
//! newer than the decision.

use super::parted::Till;
use super::*;
use crate::messages::{HandoffRequest, LeaseRenewal};
use pewtergap_duty::{
    DutyAction as Done, DutyAssigner, DutyAssignment, HeldDuties, LeaseConfig, Move, Planner,
};
use pewtergap_record::{AssignDuty, PinDuty, ReleaseDuty, CLEANING_DUTY};

/// Renewals under way; older ones are given up.
const MOST_RENEWALS: usize = 8;

/// Which duties there are, and how they are held.
#[derive(Clone, Debug)]
pub struct DutyConfig {
    pub lease: LeaseConfig,
    /// Whoever comes back gets none until it has been heard for so long without a gap.
    pub rejoin_delay: Span,
    pub names: Vec<String>,
}

struct Renewal {
    token: u64,
    asked: Moment,
    read_at: Option<Index>,
}

/// What a member that has duties keeps of them.
pub(super) struct Office {
    duties: DutyConfig,
    desk: HeldDuties,
    giver: Option<(DutyAssigner, (Moment, u64))>,
    renewals: Vec<Renewal>,
    renew_at: Moment,
    /// Of whom the lease was renewed.
    leader: Option<Id>,
    /// Duties on their way, by the command that gives them: from whom.
    giving: BTreeMap<u64, Id>,
    /// Commands that release, by duty: number, id, when it was given last.
    releasing: BTreeMap<String, (u64, u64, Moment)>,
    /// Slow by its own measure: until then it takes no duties.
    slow_until: Moment,
    due: Moment,
    lengthened: Moment,
    /// Budgets, where they are parted.
    pub(super) till: Option<Till>,
}

impl Office {
    pub(super) fn new(duties: DutyConfig, till: Option<Till>) -> Office {
        let desk = HeldDuties::new(duties.lease);
        Office {
            duties,
            desk,
            giver: None,
            renewals: Vec::new(),
            renew_at: Moment(0),
            leader: None,
            giving: BTreeMap::new(),
            releasing: BTreeMap::new(),
            slow_until: Moment(0),
            due: Moment(0),
            lengthened: Moment(0),
            till,
        }
    }

    pub(super) fn read_at(&mut self, token: u64, index: Index) -> bool {
        let renewal = self.renewals.iter_mut().find(|renewal| renewal.token == token);
        renewal.map(|renewal| renewal.read_at = Some(index)).is_some()
    }
}

impl Member {
    /// The number under which this planner may do a duty at this very moment.
    pub fn fencing_token(&self, now: Moment, duty: &str) -> Option<u64> {
        self.office.as_ref()?.desk.fencing_token(now, duty)
    }

    /// Who holds a duty by the record, and whether it can be told something now.
    pub fn holder(&self, duty: &str) -> (Id, bool) {
        let Some(duty) = self.record.duties().get(duty) else { return (0, false) };
        let linked = self.peers.welcome(&duty.holder_name).is_some_and(|hello| hello.id == duty.holder);
        (duty.holder, duty.holder != 0 && linked)
    }

    pub fn send_urgent(&self, to: Id, kind: peer_message::Kind, out: &mut Outbox) {
        self.peers.send(to, Lane::Urgent, kind, out);
    }

    pub fn broadcast_urgent(&self, kind: &peer_message::Kind, out: &mut Outbox) {
        let members = self.raft().map(|agree| agree.committed_members()).unwrap_or_default();
        for member in members.list.iter().filter(|member| member.id != 0 && member.id != self.own.id) {
            self.peers.send(member.id, Lane::Urgent, kind.clone(), out);
        }
    }

    /// What this planner holds by its own reckoning, and how long its lease lasts.
    pub fn held_duties(&self, now: Moment) -> Vec<(String, u64, bool)> {
        let Some(office) = &self.office else { return Vec::new() };
        let acts = |duty: &str| office.desk.fencing_token(now, duty).is_some();
        office.desk.held().map(|(duty, number, _)| (duty.to_string(), number, acts(duty))).collect()
    }

    /// Every so often, and after each change of the record.
    pub(super) fn tend(&mut self, now: Moment, out: &mut Outbox) {
        let Some(mut office) = self.office.take() else { return };
        if self.record.format() >= 2 && !matches!(self.stage, Stage::Opening | Stage::Ended) {
            self.lengths(now, &mut office);
            self.renew(now, &mut office, out);
            self.hold(now, &mut office, out);
            self.give_out(now, &mut office, out);
            self.release(now, &mut office, out);
            self.clean(now, &office, out);
            if let Some(till) = &mut office.till {
                self.hold_parts(now, till, out);
            }
        }
        self.office = Some(office);
    }

    /// A turn that comes late by more than the pause that is borne: whatever is done here is done late. It hands on.
    pub(super) fn turn(&mut self, now: Moment, out: &mut Outbox) {
        let Some(office) = &mut self.office else { return };
        let late = now.since(office.due);
        if office.due > Moment(0) && late > office.duties.lease.max_pause {
            office.slow_until = now + office.duties.rejoin_delay;
            office.renew_at = now;
            office.desk.tick(now);
            office.desk.release(None);
            out.log(Level::Warn, "duties_given_up", vec![("late", late.to_string())]);
        }
        office.due = now + HOUSEKEEPING;
    }

    /// Settings may differ while they are changed: a holder believes in the shorter of its own and the record's, a giver
    /// waits for the longer. The record's rises with any leader's, and falls once nobody who belongs says more.
    fn lengths(&mut self, now: Moment, office: &mut Office) {
        let own = office.duties.lease.duration;
        let known = Span::millis(self.record.lease_ms());
        office.desk.set_lease_duration(own.min(known));
        if let Some((giver, _)) = &mut office.giver {
            giver.set_lease_duration(own.max(known));
        }
        let Some(agree) = self.raft().filter(|agree| agree.role() == Role::Leader) else { return };
        let says = |member: &Seated| match member.id == self.own.id {
            true => self.own.lease_ms,
            // One not heard of may believe in whatever the record says.
            false => {
                let seen = self.seen.get(&member.name).filter(|seen| seen.id == member.id);
                seen.map_or(self.record.lease_ms(), |seen| seen.lease_ms)
            }
        };
        let all = agree.members().list.iter().map(says).max().unwrap_or(0).max(self.own.lease_ms);
        if all != self.record.lease_ms() && now.since(office.lengthened) >= AGAIN {
            office.lengthened = now;
            let id = self.rng.u64(1..);
            self.propose(&Command {
                id,
                issued_at_ms: now.0 / 1_000_000,
                kind: Some(CommandKind::SetLease(all)),
            });
        }
    }

    fn renew(&mut self, now: Moment, office: &mut Office, out: &mut Outbox) {
        let Some(agree) = self.raft() else { return };
        let (leads, leader, applied) = (agree.role() == Role::Leader, agree.leader(), agree.applied_index());
        let belongs = agree.committed_members().find(self.own.id).is_some();
        let (done, open): (Vec<_>, Vec<_>) = std::mem::take(&mut office.renewals)
            .into_iter()
            .partition(|renewal| renewal.read_at.is_some_and(|at| at <= applied));
        office.renewals = open;
        for renewal in done {
            office.desk.on_renewed(now, renewal.asked);
            office.till.iter_mut().for_each(|till| till.renewed(renewal.asked));
        }
        if leader != office.leader {
            // Whoever leads now has heard of nobody yet.
            (office.leader, office.renew_at) = (leader, now);
        }
        if now < office.renew_at || !belongs || leader.is_none() {
            return;
        }
        office.renew_at = now + office.duties.lease.renew_interval;
        self.tokens += 1;
        // From before the request leaves.
        let (token, asked) = ((1 << 63) + self.tokens, now);
        let leaves = self.stopping || now < office.slow_until;
        let over = office.renewals.len().saturating_sub(MOST_RENEWALS - 1);
        office.renewals.drain(..over);
        office.renewals.push(Renewal { token, asked, read_at: None });
        match leader {
            _ if leads => self.renewed_by(now, self.own.id, LeaseRenewal { token, leaving: leaves }, office),
            Some(leader) => {
                let word = peer_message::Kind::LeaseRenewal(LeaseRenewal { token, leaving: leaves });
                self.peers.send(leader, Lane::Urgent, word, out);
            }
            None => {}
        }
    }

    /// As the leader: a member asks for its lease.
    pub(super) fn renews(&mut self, now: Moment, from: Id, renew: LeaseRenewal) {
        let Some(mut office) = self.office.take() else { return };
        self.renewed_by(now, from, renew, &mut office);
        self.office = Some(office);
    }

    fn renewed_by(&mut self, now: Moment, from: Id, renew: LeaseRenewal, office: &mut Office) {
        let taking = self.is_taking_from(from);
        let Stage::Member(agree) = &mut self.stage else { return };
        if office.giving.values().any(|holder| *holder == from) || taking {
            return;
        }
        let Some((giver, _)) = &mut office.giver else { return };
        giver.on_renewal(now, from);
        office.till.iter_mut().for_each(|till| till.renews(now, from));
        if renew.leaving {
            giver.on_leaving(from);
        }
        self.tokens += 1;
        if self.reads.len() < MOST_WAITING && agree.request_read(now, self.tokens).is_ok() {
            self.reads.insert(self.tokens, (from, renew.token));
        }
    }

    /// What the record says that is ours, and what of it begins, rests and stops.
    fn hold(&mut self, now: Moment, office: &mut Office, out: &mut Outbox) {
        let own = self.own.id;
        let ours = self.record.duties().iter().filter(|(_, duty)| duty.holder == own);
        office.desk.update_assignments(now, ours.map(|(name, duty)| (name.as_str(), duty.fencing_token)));
        for (duty, number, does) in office.desk.take_actions() {
            let event = match does {
                Done::Start => "duty_begun",
                Done::Resume => "duty_goes_on",
                Done::Pause => "duty_rests",
                Done::Release => "duty_handed_on",
                Done::Stop => "duty_stopped",
                Done::Nothing => continue,
            };
            let fields = vec![("duty", duty), ("number", number.to_string())];
            out.log(if does == Done::Pause { Level::Warn } else { Level::Info }, event, fields);
        }
    }

    fn give_out(&mut self, now: Moment, office: &mut Office, out: &mut Outbox) {
        let proposed = &self.proposed;
        office.giving.retain(|command, _| proposed.contains_key(command));
        let Some(led) = self.raft().and_then(|agree| agree.leading_since()) else {
            office.giver = None;
            office.giving.clear();
            return;
        };
        if office.giver.as_ref().is_none_or(|giver| giver.1 != led) {
            // From now, which is after it began to lead: nobody's lease is counted shorter by that.
            let giver = DutyAssigner::new(now, office.duties.lease, office.duties.rejoin_delay);
            office.giver = Some((giver, led));
            office.giving.clear();
        }
        if !office.giving.is_empty() || self.stopping {
            return;
        }
        let members = self.raft().map(|agree| agree.committed_members()).unwrap_or_default();
        let id_of = |name: &str| members.find_by_name(name).map(|member| member.id).filter(|id| *id != 0);
        let held: BTreeMap<String, DutyAssignment> = self
            .record
            .duties()
            .iter()
            .map(|(name, duty)| {
                let wanted = id_of(&duty.pinned_to);
                (
                    name.clone(),
                    DutyAssignment {
                        holder: duty.holder,
                        fencing_token: duty.fencing_token,
                        pinned_to: wanted,
                    },
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
        let Some((giver, _)) = &mut office.giver else { return };
        for one in giver.plan(now, &office.duties.names, &held, &planners, frozen) {
            match one {
                Move::Assign { duty, to, expected_fencing_token: number } => {
                    let name =
                        planners.iter().find(|p| p.id == to).map(|p| p.name.clone()).unwrap_or_default();
                    let from = held.get(&duty).map_or(0, |held| held.holder);
                    let id = self.rng.u64(1..);
                    let what = Some(CommandKind::AssignDuty(AssignDuty {
                        duty: duty.clone(),
                        holder: to,
                        holder_name: name.clone(),
                        expected_fencing_token: number,
                    }));
                    if self.propose(&Command { id, issued_at_ms: now.0 / 1_000_000, kind: what }) {
                        office.giving.insert(id, from);
                        out.log(Level::Info, "duty_given", vec![("duty", duty), ("to", name)]);
                    }
                }
                Move::RequestRelease { duty, holder, .. } if holder == self.own.id => {
                    office.desk.release(Some(&duty))
                }
                Move::RequestRelease { duty, holder, fencing_token: number } => {
                    let word = peer_message::Kind::HandoffRequest(HandoffRequest { duty, number });
                    self.peers.send(holder, Lane::Urgent, word, out);
                }
            }
        }
    }

    /// The leader asks for a duty.
    pub(super) fn hand_on(&mut self, now: Moment, asked: &HandoffRequest, out: &mut Outbox) {
        if let Some(office) = &mut self.office {
            if office.desk.held().any(|held| held.0 == asked.duty && held.1 == asked.number) {
                office.desk.release(Some(&asked.duty));
            }
        }
        self.tend(now, out);
    }

    /// All duties at the end; the record is told before leadership goes.
    pub(super) fn hand_all(&mut self, now: Moment, out: &mut Outbox) {
        if let Some(office) = &mut self.office {
            office.desk.release(None);
            office.renew_at = now;
        }
        self.tend(now, out);
    }

    fn release(&mut self, now: Moment, office: &mut Office, out: &mut Outbox) {
        let handing = office.desk.releasing();
        office.releasing.retain(|duty, kept| handing.iter().any(|h| h.0 == *duty && h.1 == kept.0));
        for (duty, number) in handing {
            let id = self.rng.u64(1..);
            let kept = office.releasing.entry(duty.clone()).or_insert((number, id, Moment(0)));
            if now.since(kept.2) < AGAIN {
                continue;
            }
            kept.2 = now;
            let what = Some(CommandKind::ReleaseDuty(ReleaseDuty { duty, fencing_token: number }));
            let command = Command { id: kept.1, issued_at_ms: now.0 / 1_000_000, kind: what };
            self.pass_on(&command, out);
        }
    }

    /// To whoever leads; whether it is kept is seen in the record.
    pub(super) fn pass_on(&mut self, command: &Command, out: &mut Outbox) {
        let leader = self.raft().and_then(RaftNode::leader);
        if !self.propose_late(command) {
            if let Some(leader) = leader.filter(|leader| *leader != self.own.id) {
                self.peers.send(
                    leader,
                    Lane::Bulk,
                    peer_message::Kind::Command(command.encode_to_vec()),
                    out,
                );
            }
        }
    }

    fn clean(&mut self, now: Moment, office: &Office, out: &mut Outbox) {
        let ms = now.0 / 1_000_000;
        let due = now.since(self.cleaned) >= Span::millis(1_000);
        let Some(number) = office.desk.fencing_token(now, CLEANING_DUTY).filter(|_| due) else { return };
        self.cleaned = now;
        let members = self.raft().map(|agree| agree.committed_members()).unwrap_or_default();
        // What was wanted at a planner that left is wanted nowhere: it would be put there again if another took the name.
        for duty in self.record.duties_pinned_to_absent(|name| members.find_by_name(name).is_some()) {
            let (who, why) = (CLEANING_DUTY.to_string(), "the planner it was wanted at left".to_string());
            let what = Some(CommandKind::PinDuty(PinDuty {
                duty,
                planner: String::new(),
                issued_by: who,
                reason: why,
            }));
            let hand = Command { id: self.rng.u64(1..), issued_at_ms: ms, kind: what };
            self.pass_on(&hand, out);
        }
        if !self.record.needs_cleanup(ms) {
            return;
        }
        let id = self.rng.u64(1..);
        let clean = Command {
            id,
            issued_at_ms: ms,
            kind: Some(CommandKind::Cleanup(Cleanup { now_ms: ms, fencing_token: number })),
        };
        self.pass_on(&clean, out);
    }
}
