//! Work of the leader for the cluster: admits members, grants votes, changes the membership and removes
//! expired data.

use super::*;
use pewtergap_record::{CLEANING_DUTY, OBSERVERS_FORMAT};

impl Member {
    /// Applies an operator's change of members; one that is already in effect changes nothing.
    pub(super) fn apply_member_change(
        &mut self,
        now: Moment,
        change: &MemberChange,
    ) -> Result<(), RaftError> {
        let Stage::Joined(raft) = &mut self.stage else { return Err(RaftError::NotLeader) };
        let mut members = raft.members().clone();
        if is_satisfied(&members, change) {
            return Ok(());
        }
        let position = members.list.iter().position(|member| member.name == change.name);
        match (position, change.address.is_empty()) {
            (Some(at), true) => retire_member(&mut members, at, false),
            (Some(at), false) => {
                members.list[at].address = change.address.clone();
                if change.replaced_id != 0 && members.list[at].id == change.replaced_id {
                    retire_member(&mut members, at, true);
                }
            }
            (None, true) => return Ok(()),
            (None, false) if members.list.iter().filter(|m| !m.is_observer).count() >= MAX_MEMBERS => {
                return Err(RaftError::QueueFull)
            }
            (None, false) => {
                let (name, address) = (change.name.clone(), change.address.clone());
                members.list.push(RaftMember { id: 0, name, address, is_voter: false, is_observer: false });
            }
        }
        raft.change_members(now, members).map(drop)
    }

    /// Raises the record's format once all members support a newer one.
    fn raise_format(&mut self, now: Moment, out: &mut Outbox) {
        let Some(raft) = self.raft() else { return };
        let max_format_of = |member: &RaftMember| match member.id == self.identity.id {
            true => self.identity.max_format,
            // A place without a disk, or a member not heard yet, may turn out to support any format.
            false => self
                .peer_starts
                .get(&member.name)
                .filter(|start| start.id == member.id)
                .map_or(0, |start| start.max_format),
        };
        let supported = raft.members().list.iter().map(max_format_of).min().unwrap_or(0);
        if supported <= self.record.format() || now.since(self.last_raise) < RETRY_INTERVAL {
            return;
        }
        self.last_raise = now;
        let raise = Command {
            id: self.rng.u64(1..),
            issued_at_ms: now.0 / 1_000_000,
            kind: Some(CommandKind::RaiseFormat(supported)),
        };
        if self.propose(&raise) {
            out.log(Level::Info, "record_raised", vec![("format", supported.to_string())]);
        }
    }

    /// Admits connected candidates, promotes learners that have caught up, and removes expired data.
    pub(super) fn run_leader_tasks(&mut self, now: Moment, out: &mut Outbox) {
        let candidates = self.peers.connected_ids();
        let Stage::Joined(raft) = &mut self.stage else { return };
        let Some((leading_since, _)) = raft.leading_since() else { return };
        let contact_timeout = self.config.raft.election_timeout.times(2.0);
        let mut members = raft.members().clone();
        let mut update = None;
        for (name, id) in &candidates {
            let Some(at) = members.list.iter().position(|member| member.name == *name) else { continue };
            let member_id = members.list[at].id;
            // A member that is still heard keeps its place; another disk under its name has to wait.
            let is_heard = raft.progress(member_id).is_some_and(|(_, last_contact)| {
                now.since(last_contact.max(leading_since)) < contact_timeout
            });
            if member_id == *id || member_id != 0 && is_heard || members.retired.contains(id) {
                continue;
            }
            retire_member(&mut members, at, true);
            members.list[at].id = *id;
            update = Some(("member_let_in", name.clone()));
            break;
        }
        if update.is_none() && self.record.format() >= OBSERVERS_FORMAT {
            update = add_observer(&self.config.observers, &candidates, &mut members);
        }
        if update.is_none() {
            let is_learner = |m: &RaftMember| !m.is_voter && !m.is_observer && m.id != 0;
            let caught_up = members.list.iter().position(|m| is_learner(m) && raft.is_caught_up(m.id));
            if let Some(at) = caught_up {
                members.list[at].is_voter = true;
                update = Some(("member_votes", members.list[at].name.clone()));
            }
        }
        if let Some((event, name)) = update {
            if raft.change_members(now, members).is_ok() {
                out.log(Level::Info, event, vec![("member", name)]);
            }
        }
        self.raise_format(now, out);
        let ms = now.0 / 1_000_000;
        // If cleaning is a duty, its holder does it.
        let is_duty = self.duty_state.is_some() && self.record.format() >= 2;
        if !is_duty && now.since(self.last_cleanup) >= Span::millis(1_000) && self.record.needs_cleanup(ms) {
            self.last_cleanup = now;
            let id = self.rng.u64(1..);
            let fencing_token = self.record.duties().get(CLEANING_DUTY).map_or(0, |duty| duty.fencing_token);
            let cleanup = Command {
                id,
                issued_at_ms: ms,
                kind: Some(CommandKind::Cleanup(Cleanup { now_ms: ms, fencing_token })),
            };
            self.propose(&cleanup);
        }
    }
}

/// Adds a connected candidate whose name is configured as an observer's, with its disk id at once: a place
/// that waits for a disk would prevent the record's format from being raised. An observer that is no longer
/// in the settings stays until an operator removes it.
fn add_observer(
    observers: &[(String, SocketAddr)],
    candidates: &BTreeMap<String, Id>,
    members: &mut Members,
) -> Option<(&'static str, String)> {
    let observer_count = members.list.iter().filter(|member| member.is_observer).count();
    let is_new =
        |name: &String, id: &Id| members.find_by_name(name).is_none() && !members.retired.contains(id);
    let (name, address, id) = observers
        .iter()
        .filter_map(|(name, address)| Some((name, address, candidates.get(name)?)))
        .find(|(name, _, id)| is_new(name, id))
        .filter(|_| observer_count < MAX_OBSERVERS)?;
    let (id, name, address) = (*id, name.clone(), address.to_string());
    members.list.push(RaftMember { id, name: name.clone(), address, is_voter: false, is_observer: true });
    Some(("observer_let_in", name))
}

/// Retires a member's id. With `keep_name` its name remains and waits for another disk.
pub(super) fn retire_member(members: &mut Members, at: usize, keep_name: bool) {
    let id = members.list[at].id;
    if id != 0 {
        members.retired.push(id);
        let over = members.retired.len().saturating_sub(MAX_RETIRED_IDS);
        members.retired.drain(..over);
    }
    if keep_name {
        (members.list[at].id, members.list[at].is_voter) = (0, false);
    } else {
        members.list.remove(at);
    }
}

pub(super) fn is_satisfied(members: &Members, change: &MemberChange) -> bool {
    match (members.find_by_name(&change.name), change.address.is_empty()) {
        (member, true) => member.is_none(),
        (Some(member), false) => {
            member.address == change.address && (change.replaced_id == 0 || member.id != change.replaced_id)
        }
        (None, false) => false,
    }
}
