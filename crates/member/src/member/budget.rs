//! Budgets divided by the record. A member uses its share while its lease is valid and returns units beyond
//! its fair share; the leader allocates the free units. The lease is renewed together with that of duties.

use super::*;
use crate::sharing::COLD_BUDGET;
use pewtergap_record::BudgetShift;
use pewtergap_shares::{fair_share, BudgetAllocator, BudgetConfig, Holding, LocalShare, Shift, TOTAL_UNITS};

pub(super) struct BudgetState {
    config: BudgetConfig,
    local_share: Option<(LocalShare, (Id, u64))>,
    allocator: Option<(BudgetAllocator, (Moment, u64))>,
    /// The last shift that the local share requested, and the id of its command.
    last_shift: Option<(Shift, u64)>,
}

/// The division of a budget as seen by this member.
#[derive(Clone, Debug, serde::Serialize)]
pub struct BudgetView {
    pub in_force: u64,
    pub whole: u64,
    pub free: u64,
    pub sum: u64,
    /// By disk id in hexadecimal: base units, extra units, version.
    pub holdings: BTreeMap<String, (u64, u64, u64)>,
}

impl BudgetState {
    pub(super) fn new(config: BudgetConfig) -> BudgetState {
        BudgetState { config, local_share: None, allocator: None, last_shift: None }
    }

    pub(super) fn on_renewed(&mut self, sent_at: Moment) {
        self.local_share.iter_mut().for_each(|local_share| local_share.0.on_renewed(sent_at));
    }

    pub(super) fn on_renewal(&mut self, now: Moment, planner: Id) {
        self.allocator.iter_mut().for_each(|allocator| allocator.0.on_renewal(now, planner));
    }
}

impl Member {
    fn holding(&self) -> Option<&Holding> {
        self.record.budget(COLD_BUDGET)?.holdings.get(&self.identity.id)
    }

    /// The fraction of the cold budget that may be used now. `None`: the budget is not divided here.
    pub fn cold_budget_share(&self, now: Moment) -> Option<f64> {
        let state = self.duty_state.as_ref()?.budget.as_ref()?;
        if self.record.format() < 3 || self.is_single() {
            return None;
        }
        if self.retired {
            return Some(0.0);
        }
        let units = state
            .local_share
            .as_ref()
            .map_or(0, |local_share| local_share.0.usable_units(now, self.holding()));
        Some(units as f64 / TOTAL_UNITS as f64)
    }

    pub fn cold_budget_view(&self, now: Moment) -> Option<BudgetView> {
        let recorded = self.record.budget(COLD_BUDGET)?;
        let holding = |h: &Holding| (h.base, h.extra, h.version);
        let holdings = recorded.holdings.iter().map(|(id, h)| (format!("{id:016x}"), holding(h))).collect();
        let in_force = (self.cold_budget_share(now)? * TOTAL_UNITS as f64).round() as u64;
        Some(BudgetView {
            in_force,
            whole: TOTAL_UNITS,
            free: recorded.free,
            sum: recorded.total(),
            holdings,
        })
    }

    /// Whether a proposed command takes units from a planner. Its lease is not renewed before that command is
    /// committed or lost.
    pub fn is_taking_from(&self, planner: Id) -> bool {
        self.budget_debits.values().any(|debited| *debited == planner)
    }

    pub(super) fn update_budget(&mut self, now: Moment, budget: &mut BudgetState, out: &mut Outbox) {
        if self.record.format() < 3 || self.is_single() || self.stopping {
            return;
        }
        let identity = (self.identity.id, self.identity.start);
        if budget.local_share.as_ref().is_none_or(|local_share| local_share.1 != identity) {
            let (founders, own) = (&self.identity.founders, self.identity.id);
            let founded = founders.iter().any(|founder| founder.id == own);
            let local_share =
                LocalShare::new(budget.config, own, self.identity.start, founders.len() as u64, founded);
            budget.local_share = Some((local_share, identity));
        }
        let recorded = self.record.budget(COLD_BUDGET).cloned().unwrap_or_default();
        let participants = self.participant_ids();
        let demands: Option<Vec<f64>> = participants.iter().map(|id| self.demands.get(id).copied()).collect();
        let position = participants.iter().position(|id| *id == self.identity.id);
        let fair_units =
            demands.zip(position).map(|(demands, at)| fair_share(recorded.demand_pool(), &demands, at));
        let holding = self.holding().copied();
        let shift = match &mut budget.local_share {
            Some((local_share, _)) if position.is_some() => {
                local_share.next_shift(now, holding.as_ref(), fair_units)
            }
            _ => None,
        };
        if let Some(shift) = shift {
            // A repeated shift keeps its command id, so it is applied once.
            let id = match &budget.last_shift {
                Some((known, id)) if *known == shift => *id,
                _ => self.rng.u64(1..),
            };
            budget.last_shift = Some((shift, id));
            let kind = Some(CommandKind::BudgetShift(BudgetShift::of(COLD_BUDGET, &shift)));
            self.submit_to_leader(&Command { id, issued_at_ms: now.0 / 1_000_000, kind }, out);
        }
        self.allocate_budget(now, budget, &participants, out);
    }

    pub(super) fn participant_ids(&self) -> Vec<Id> {
        let members = self.raft().map(|raft| raft.committed_members()).unwrap_or_default();
        let with_share = members.list.iter().filter(|member| member.id != 0 && !member.is_observer);
        with_share.map(|member| member.id).collect()
    }

    fn allocate_budget(
        &mut self,
        now: Moment,
        budget: &mut BudgetState,
        participants: &[Id],
        out: &mut Outbox,
    ) {
        let Some(leader_since) = self.raft().and_then(|raft| raft.leading_since()) else {
            budget.allocator = None;
            return;
        };
        if budget.allocator.as_ref().is_none_or(|allocator| allocator.1 != leader_since) {
            budget.allocator = Some((BudgetAllocator::new(now, budget.config), leader_since));
        }
        let proposed = &self.proposed;
        self.pending_allocation = self.pending_allocation.filter(|command| proposed.contains_key(command));
        let (Some((allocator, _)), None) = (&mut budget.allocator, self.pending_allocation) else { return };
        let participants = participants.iter().map(|id| (*id, self.demands.get(id).copied())).collect();
        let recorded = self.record.budget(COLD_BUDGET).cloned().unwrap_or_default();
        let Some(shift) = allocator.next_shift(now, &recorded, &participants) else { return };
        let id = self.rng.u64(1..);
        let kind = Some(CommandKind::BudgetShift(BudgetShift::of(COLD_BUDGET, &shift)));
        if self.propose(&Command { id, issued_at_ms: now.0 / 1_000_000, kind }) {
            self.pending_allocation = Some(id);
            out.log(
                Level::Info,
                "budget_shifted",
                vec![("budget", COLD_BUDGET.into()), ("shift", format!("{shift:?}"))],
            );
        }
    }
}
