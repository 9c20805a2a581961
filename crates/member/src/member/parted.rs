//! Budgets round the record: a member uses its part while its lease says that it may, hands back what is not its due, and as
//! the leader deals out what is free. A renewal is that of duties.

use super::*;
use crate::sharing::COLD_BUDGET;
use pewtergap_record::BudgetShift;
use pewtergap_shares::{fair_share, BudgetAllocator, BudgetConfig, Holding, LocalShare, Shift, TOTAL_UNITS};

pub(super) struct Till {
    terms: BudgetConfig,
    purse: Option<(LocalShare, (Id, u64))>,
    dealer: Option<(BudgetAllocator, (Moment, u64))>,
    /// The command by which the purse last said something.
    said: Option<(Shift, u64)>,
}

/// What of a budget is whose, as seen here.
#[derive(Clone, Debug, serde::Serialize)]
pub struct BudgetView {
    pub in_force: u64,
    pub whole: u64,
    pub free: u64,
    pub sum: u64,
    /// By the disk's number: base, more, number.
    pub holdings: BTreeMap<String, (u64, u64, u64)>,
}

impl Till {
    pub(super) fn new(terms: BudgetConfig) -> Till {
        Till { terms, purse: None, dealer: None, said: None }
    }

    pub(super) fn renewed(&mut self, asked: Moment) {
        self.purse.iter_mut().for_each(|purse| purse.0.on_renewed(asked));
    }

    pub(super) fn renews(&mut self, now: Moment, planner: Id) {
        self.dealer.iter_mut().for_each(|dealer| dealer.0.on_renewal(now, planner));
    }
}

impl Member {
    fn holding(&self) -> Option<&Holding> {
        self.record.budget(COLD_BUDGET)?.holdings.get(&self.own.id)
    }

    /// What may be used of the cold budget at this moment, in parts of it. None: budgets are not parted here.
    pub fn cold_budget_share(&self, now: Moment) -> Option<f64> {
        let till = self.office.as_ref()?.till.as_ref()?;
        if self.record.format() < 3 || self.alone() {
            return None;
        }
        if self.given_up {
            return Some(0.0);
        }
        let units = till.purse.as_ref().map_or(0, |purse| purse.0.usable_units(now, self.holding()));
        Some(units as f64 / TOTAL_UNITS as f64)
    }

    pub fn cold_budget_view(&self, now: Moment) -> Option<BudgetView> {
        let budget = self.record.budget(COLD_BUDGET)?;
        let holding = |h: &Holding| (h.base, h.extra, h.version);
        let holdings = budget.holdings.iter().map(|(id, h)| (format!("{id:016x}"), holding(h))).collect();
        let in_force = (self.cold_budget_share(now)? * TOTAL_UNITS as f64).round() as u64;
        Some(BudgetView { in_force, whole: TOTAL_UNITS, free: budget.free, sum: budget.total(), holdings })
    }

    /// Whether something is on its way from a planner: it is not renewed before that is committed or lost.
    pub fn is_taking_from(&self, planner: Id) -> bool {
        self.taking.values().any(|from| *from == planner)
    }

    pub(super) fn hold_parts(&mut self, now: Moment, till: &mut Till, out: &mut Outbox) {
        if self.record.format() < 3 || self.alone() || self.stopping {
            return;
        }
        let who = (self.own.id, self.own.start);
        if till.purse.as_ref().is_none_or(|purse| purse.1 != who) {
            let (founders, own) = (&self.own.founders, self.own.id);
            let founded = founders.iter().any(|seat| seat.id == own);
            let purse = LocalShare::new(till.terms, own, self.own.start, founders.len() as u64, founded);
            till.purse = Some((purse, who));
        }
        let budget = self.record.budget(COLD_BUDGET).cloned().unwrap_or_default();
        let belong = self.belong_ids();
        let known: Option<Vec<f64>> = belong.iter().map(|id| self.demands.get(id).copied()).collect();
        let at = belong.iter().position(|id| *id == self.own.id);
        let ours = known.zip(at).map(|(known, at)| fair_share(budget.demand_pool(), &known, at));
        let holding = self.holding().copied();
        let said = match &mut till.purse {
            Some((purse, _)) if at.is_some() => purse.next_shift(now, holding.as_ref(), ours),
            _ => None,
        };
        if let Some(shift) = said {
            // The same again keeps its id: it is made once.
            let id = match &till.said {
                Some((known, id)) if *known == shift => *id,
                _ => self.rng.u64(1..),
            };
            till.said = Some((shift, id));
            let what = Some(CommandKind::BudgetShift(BudgetShift::of(COLD_BUDGET, &shift)));
            self.pass_on(&Command { id, issued_at_ms: now.0 / 1_000_000, kind: what }, out);
        }
        self.deal(now, till, &belong, out);
    }

    pub(super) fn belong_ids(&self) -> Vec<Id> {
        let members = self.raft().map(|agree| agree.committed_members()).unwrap_or_default();
        let have_parts = members.list.iter().filter(|member| member.id != 0 && !member.is_observer);
        have_parts.map(|member| member.id).collect()
    }

    fn deal(&mut self, now: Moment, till: &mut Till, belong: &[Id], out: &mut Outbox) {
        let Some(led) = self.raft().and_then(|agree| agree.leading_since()) else {
            till.dealer = None;
            return;
        };
        if till.dealer.as_ref().is_none_or(|dealer| dealer.1 != led) {
            till.dealer = Some((BudgetAllocator::new(now, till.terms), led));
        }
        let proposed = &self.proposed;
        self.dealing = self.dealing.filter(|command| proposed.contains_key(command));
        let (Some((dealer, _)), None) = (&mut till.dealer, self.dealing) else { return };
        let belong = belong.iter().map(|id| (*id, self.demands.get(id).copied())).collect();
        let budget = self.record.budget(COLD_BUDGET).cloned().unwrap_or_default();
        let Some(shift) = dealer.next_shift(now, &budget, &belong) else { return };
        let id = self.rng.u64(1..);
        let what = Some(CommandKind::BudgetShift(BudgetShift::of(COLD_BUDGET, &shift)));
        if self.propose(&Command { id, issued_at_ms: now.0 / 1_000_000, kind: what }) {
            self.dealing = Some(id);
            out.log(
                Level::Info,
                "budget_shifted",
                vec![("budget", COLD_BUDGET.into()), ("shift", format!("{shift:?}"))],
            );
        }
    }
}
