//! Many members in one process under seeded delivery: loss, delay, cuts, pauses. Who is lost is found by all, who lives is not
//! held for lost for long; and news in any order, repeated, come to the same.

use pewtergap_gossip::{Gossip, GossipConfig, Id, MemberState, Message, MessageKind, Update};
use pewtergap_time::{Moment, Span};
use proptest::prelude::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const PERIOD: Span = Span::millis(200);

struct World {
    now: Moment,
    all: BTreeMap<Id, Gossip>,
    dead: Vec<Id>,
    /// Until when a member does nothing.
    paused: BTreeMap<Id, Moment>,
    cut: fn(Id, Id) -> bool,
    loss: f64,
    rng: fastrand::Rng,
    ways: BinaryHeap<Reverse<(Moment, u64, Id, Id)>>,
    messages: BTreeMap<u64, Message>,
    sent: u64,
    before: BTreeMap<(Id, Id), MemberState>,
    /// How often somebody that lives was newly held for gone.
    wrong: usize,
    longest_news: usize,
}

fn world(count: u64, loss: f64, seed: u64) -> World {
    let gossip = |id: Id| {
        let mut gossip =
            Gossip::new(Moment(0), id, 1, GossipConfig::with_probe_interval(PERIOD), seed * 1_000 + id);
        gossip.set_members(Moment(0), 1..=count);
        (id, gossip)
    };
    World {
        now: Moment(0),
        all: (1..=count).map(gossip).collect(),
        dead: Vec::new(),
        paused: BTreeMap::new(),
        cut: |_, _| false,
        loss,
        rng: fastrand::Rng::with_seed(seed),
        ways: BinaryHeap::new(),
        messages: BTreeMap::new(),
        sent: 0,
        before: BTreeMap::new(),
        wrong: 0,
        longest_news: 0,
    }
}

impl World {
    fn post(&mut self, from: Id) {
        let Some(gossip) = self.all.get_mut(&from) else { return };
        for (to, message) in gossip.take_messages() {
            if !matches!(message.kind, MessageKind::FullSync(_)) {
                self.longest_news = self.longest_news.max(message.updates.len());
            }
            if self.rng.f64() < self.loss || (self.cut)(from, to) {
                continue;
            }
            self.sent += 1;
            let at = self.now + Span::millis(self.rng.u64(1..20));
            self.ways.push(Reverse((at, self.sent, from, to)));
            self.messages.insert(self.sent, message);
        }
    }

    fn run(&mut self, lasts: Span) {
        let end = self.now + lasts;
        while self.now < end {
            self.now = self.now + Span::millis(5);
            while self.ways.peek().is_some_and(|way| way.0 .0 <= self.now) {
                let Some(Reverse((_, number, from, to))) = self.ways.pop() else { break };
                let Some(message) = self.messages.remove(&number) else { continue };
                if self.dead.contains(&to) {
                    continue;
                }
                if let Some(until) = self.paused.get(&to).filter(|until| **until > self.now) {
                    self.ways.push(Reverse((*until, number, from, to)));
                    self.messages.insert(number, message);
                    continue;
                }
                if let Some(gossip) = self.all.get_mut(&to) {
                    gossip.receive(self.now, from, &message);
                }
                self.post(to);
            }
            let ids: Vec<Id> = self.all.keys().copied().collect();
            for id in ids {
                if self.dead.contains(&id) || self.paused.get(&id).is_some_and(|until| *until > self.now) {
                    continue;
                }
                let now = self.now;
                self.all.get_mut(&id).into_iter().for_each(|gossip| gossip.tick(now));
                self.post(id);
            }
            // What is wrongly believed stays for longer than this.
            if !self.now.0.is_multiple_of(Span::millis(50).0) {
                continue;
            }
            let now_believed = self.beliefs();
            for (pair, state) in &now_believed {
                let lives = !self.dead.contains(&pair.1) && !self.dead.contains(&pair.0);
                if lives && *state == MemberState::Gone && self.before.get(pair) != Some(&MemberState::Gone) {
                    self.wrong += 1;
                }
            }
            self.before = now_believed;
        }
    }

    fn beliefs(&self) -> BTreeMap<(Id, Id), MemberState> {
        let ids: Vec<Id> = self.all.keys().copied().collect();
        let of = |by: &Id, whom: &Id| self.all[by].status(self.now, *whom).map(|known| known.0);
        let pairs = ids.iter().flat_map(|by| ids.iter().map(move |whom| (*by, *whom)));
        pairs.filter_map(|(by, whom)| Some(((by, whom), of(&by, &whom)?))).collect()
    }

    /// How many of the living hold this one for that.
    fn hold(&self, whom: Id, state: MemberState) -> usize {
        let living = self.all.keys().filter(|id| !self.dead.contains(id) && **id != whom);
        living.filter(|by| self.all[by].status(self.now, whom).is_some_and(|known| known.0 == state)).count()
    }
}

#[test]
fn one_that_is_lost_is_found_by_all_and_nobody_else_at_any_loss_up_to_a_tenth() {
    for (count, loss) in [(3, 0.0), (7, 0.01), (20, 0.05), (50, 0.01), (50, 0.1)] {
        let mut world = world(count, loss, 1);
        world.run(Span::millis(10_000));
        assert_eq!(world.wrong, 0, "{count} members, loss {loss}");
        world.dead.push(2);
        world.run(Span::millis(30_000));
        assert_eq!(world.hold(2, MemberState::Gone) as u64, count - 1, "{count} members, loss {loss}");
        assert_eq!(world.wrong, 0, "{count} members, loss {loss}");
        assert!(world.longest_news <= pewtergap_gossip::MAX_UPDATES + 1);
    }
}

#[test]
fn one_that_was_held_for_gone_is_back_everywhere_once_it_is_heard() {
    let mut world = world(7, 0.05, 3);
    world.run(Span::millis(3_000));
    // Stopped for ten seconds; it wakes without knowing.
    world.paused.insert(4, world.now + Span::millis(10_000));
    world.run(Span::millis(9_000));
    assert_eq!(world.hold(4, MemberState::Gone), 6);
    world.run(Span::millis(8_000));
    assert_eq!(world.hold(4, MemberState::Alive), 6);
    assert!(world.all[&4].incarnation() > 1);
    // And in its turn it takes nobody else for lost by what it missed.
    assert!((1..=7).all(|id| world.hold(id, MemberState::Gone) == 0));
}

#[test]
fn both_sides_of_a_cut_hold_each_other_for_gone_and_find_together_again() {
    let mut world = world(7, 0.01, 5);
    world.run(Span::millis(2_000));
    world.cut = |from, to| (from <= 3) != (to <= 3);
    world.run(Span::millis(20_000));
    assert!((1..=3).all(|by| (4..=7)
        .all(|whom| world.all[&by].status(world.now, whom).map(|k| k.0) == Some(MemberState::Gone))));
    world.cut = |_, _| false;
    world.run(Span::millis(20_000));
    assert!((1..=7).all(|id| world.hold(id, MemberState::Alive) == 6), "{:?}", world.beliefs());
}

#[test]
fn one_that_hears_but_is_not_heard_is_asked_by_way_of_others() {
    // 1 cannot be heard by 2 alone: others tell 2 that it lives.
    let mut world = world(5, 0.0, 7);
    world.cut = |from, to| (from, to) == (1, 2);
    world.run(Span::millis(30_000));
    assert_eq!(world.wrong, 0);
    assert!(world.all[&2].status(world.now, 1).is_some_and(|known| known.0 == MemberState::Alive));
}

#[test]
fn a_slow_member_gives_others_more_time_instead_of_accusing_them() {
    let mut world = world(7, 0.0, 11);
    world.run(Span::millis(2_000));
    let mut slowest = 0;
    for _ in 0..40 {
        // It gets a turn now and then, and finds answers that came meanwhile.
        world.paused.insert(3, world.now + Span::millis(900));
        world.run(Span::millis(920));
        slowest = slowest.max(world.all[&3].health_score());
        world.run(Span::millis(80));
    }
    assert!(slowest > 0);
    let accused = world
        .beliefs()
        .into_iter()
        .filter(|((by, _), state)| *by == 3 && *state == MemberState::Gone)
        .count();
    assert_eq!(accused, 0);
}

fn news() -> impl Strategy<Value = Vec<Update>> {
    let state = prop::sample::select(vec![MemberState::Alive, MemberState::Suspect, MemberState::Gone]);
    let one = (2u64..6, 0u64..5, state, 2u64..6);
    let one = one.prop_map(|(subject, incarnation, state, by)| Update {
        member: subject,
        incarnation,
        state,
        reported_by: by,
    });
    prop::collection::vec(one, 0..40)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn news_in_any_order_and_repeated_come_to_the_same(news in news(), seed in any::<u64>()) {
        let after = |news: &[Update]| {
            let mut gossip = Gossip::new(Moment(0), 1, 1, GossipConfig::with_probe_interval(PERIOD), 1);
            gossip.set_members(Moment(0), 1..=6);
            for one in news {
                gossip.receive(Moment(0), 6, &Message { kind: MessageKind::Ack(0), updates: vec![*one] });
            }
            (2..=5).map(|id| gossip.status(Moment(0), id).map(|known| known.0)).collect::<Vec<_>>()
        };
        let mut other = [news.clone(), news.clone()].concat();
        fastrand::Rng::with_seed(seed).shuffle(&mut other);
        prop_assert_eq!(after(&news), after(&other));
    }
}
