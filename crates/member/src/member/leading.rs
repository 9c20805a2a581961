//! What a leader does for the others: lets them in, gives votes, changes who belongs, cleans.

use super::*;
use pewtergap_record::{CLEANING_DUTY, OBSERVERS_FORMAT};

impl Member {
    /// An operator's change of members. What is so already is no change.
    pub(super) fn change(&mut self, now: Moment, change: &MemberChange) -> Result<(), RaftError> {
        let Stage::Member(agree) = &mut self.stage else { return Err(RaftError::NotLeader) };
        let mut members = agree.members().clone();
        if satisfied(&members, change) {
            return Ok(());
        }
        let at = members.list.iter().position(|member| member.name == change.name);
        match (at, change.address.is_empty()) {
            (Some(at), true) => retire(&mut members, at, false),
            (Some(at), false) => {
                members.list[at].address = change.address.clone();
                if change.replaced_id != 0 && members.list[at].id == change.replaced_id {
                    retire(&mut members, at, true);
                }
            }
            (None, true) => return Ok(()),
            (None, false) if members.list.iter().filter(|m| !m.is_observer).count() >= MAX_MEMBERS => {
                return Err(RaftError::QueueFull)
            }
            (None, false) => {
                let (name, at) = (change.name.clone(), change.address.clone());
                members.list.push(Seated { id: 0, name, address: at, is_voter: false, is_observer: false });
            }
        }
        agree.change_members(now, members).map(drop)
    }

    /// The record's format rises once everybody who belongs speaks a newer one.
    fn raise(&mut self, now: Moment, out: &mut Outbox) {
        let Some(agree) = self.raft() else { return };
        let speaks = |member: &Seated| match member.id == self.own.id {
            true => self.own.max_format,
            // A place that waits for a disk, and one not heard of yet, may bring any.
            false => self.seen.get(&member.name).filter(|s| s.id == member.id).map_or(0, |s| s.max_format),
        };
        let all = agree.members().list.iter().map(speaks).min().unwrap_or(0);
        if all <= self.record.format() || now.since(self.raised) < AGAIN {
            return;
        }
        self.raised = now;
        let raise = Command {
            id: self.rng.u64(1..),
            issued_at_ms: now.0 / 1_000_000,
            kind: Some(CommandKind::RaiseFormat(all)),
        };
        if self.propose(&raise) {
            out.log(Level::Info, "record_raised", vec![("format", all.to_string())]);
        }
    }

    /// A leader lets in who knocks, gives votes to who has caught up, and cleans.
    pub(super) fn lead(&mut self, now: Moment, out: &mut Outbox) {
        let knocking = self.peers.knocking();
        let Stage::Member(agree) = &mut self.stage else { return };
        let Some((since, _)) = agree.leading_since() else { return };
        let lost = self.home.raft.election_timeout.times(2.0);
        let mut members = agree.members().clone();
        let mut wants = None;
        for (name, id) in &knocking {
            let Some(at) = members.list.iter().position(|member| member.name == *name) else { continue };
            let held = members.list[at].id;
            // One that is still heard keeps its place; whoever comes under its name waits.
            let alive = agree.progress(held).is_some_and(|(_, heard)| now.since(heard.max(since)) < lost);
            if held == *id || held != 0 && alive || members.retired.contains(id) {
                continue;
            }
            retire(&mut members, at, true);
            members.list[at].id = *id;
            wants = Some(("member_let_in", name.clone()));
            break;
        }
        if wants.is_none() && self.record.format() >= OBSERVERS_FORMAT {
            wants = seat_observer(&self.home.observers, &knocking, &mut members);
        }
        if wants.is_none() {
            let learns = |m: &Seated| !m.is_voter && !m.is_observer && m.id != 0;
            let ready = members.list.iter().position(|m| learns(m) && agree.is_caught_up(m.id));
            if let Some(at) = ready {
                members.list[at].is_voter = true;
                wants = Some(("member_votes", members.list[at].name.clone()));
            }
        }
        if let Some((event, name)) = wants {
            if agree.change_members(now, members).is_ok() {
                out.log(Level::Info, event, vec![("member", name)]);
            }
        }
        self.raise(now, out);
        let ms = now.0 / 1_000_000;
        // Where it is a duty, its holder does it.
        let duty = self.office.is_some() && self.record.format() >= 2;
        if !duty && now.since(self.cleaned) >= Span::millis(1_000) && self.record.needs_cleanup(ms) {
            self.cleaned = now;
            let id = self.rng.u64(1..);
            let number = self.record.duties().get(CLEANING_DUTY).map_or(0, |duty| duty.fencing_token);
            let clean = Command {
                id,
                issued_at_ms: ms,
                kind: Some(CommandKind::Cleanup(Cleanup { now_ms: ms, fencing_token: number })),
            };
            self.propose(&clean);
        }
    }
}

/// Who knocks under a name that the settings have as an observer's is seated as one, with its disk's number: a place that
/// waits for a disk would keep the record from being raised. What the settings no longer name stays until an operator
/// removes it.
fn seat_observer(
    observers: &[(String, SocketAddr)],
    knocking: &BTreeMap<String, Id>,
    members: &mut Members,
) -> Option<(&'static str, String)> {
    let seated = members.list.iter().filter(|member| member.is_observer).count();
    let new = |name: &String, id: &Id| members.find_by_name(name).is_none() && !members.retired.contains(id);
    let (name, at, id) = observers
        .iter()
        .filter_map(|(name, at)| Some((name, at, knocking.get(name)?)))
        .find(|(name, _, id)| new(name, id))
        .filter(|_| seated < MAX_OBSERVERS)?;
    let (id, name, at) = (*id, name.clone(), at.to_string());
    members.list.push(Seated { id, name: name.clone(), address: at, is_voter: false, is_observer: true });
    Some(("observer_let_in", name))
}

/// Takes a member's id out; `stays`: its name waits for another disk.
pub(super) fn retire(members: &mut Members, at: usize, stays: bool) {
    let id = members.list[at].id;
    if id != 0 {
        members.retired.push(id);
        let over = members.retired.len().saturating_sub(MOST_RETIRED);
        members.retired.drain(..over);
    }
    if stays {
        (members.list[at].id, members.list[at].is_voter) = (0, false);
    } else {
        members.list.remove(at);
    }
}

pub(super) fn satisfied(members: &Members, change: &MemberChange) -> bool {
    match (members.find_by_name(&change.name), change.address.is_empty()) {
        (member, true) => member.is_none(),
        (Some(member), false) => {
            member.address == change.address && (change.replaced_id == 0 || member.id != change.replaced_id)
        }
        (None, false) => false,
    }
}
