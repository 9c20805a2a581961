//! The roster with planners that restart, move, leave or are lost with their machine, and with delayed
//! messages.

use pewtergap_time::{Moment, Span};
use pewtergap_watch::messages::{RosterRow, RosterUpdate, MAX_ROWS};
use pewtergap_watch::roster::{Roster, MAX_MACHINES, MAX_PLANNERS};

fn ms(ms: u64) -> Moment {
    Moment(1_000_000_000_000) + Span::millis(ms)
}

/// Machines that update each other every 100 ms, and planners that are heard every second.
struct Network {
    rosters: Vec<Roster>,
    now: u64,
    /// Planner, start, watch number, applied index, machine.
    heard: Vec<(&'static str, u64, u64, u64, usize)>,
    /// Directions in which updates are lost.
    cut: Vec<(usize, usize)>,
}

impl Network {
    fn new(count: usize) -> Network {
        let rosters = (0..count).map(|at| Roster::new(format!("m{at}"), at as u64)).collect();
        Network { rosters, now: 0, heard: Vec::new(), cut: Vec::new() }
    }

    fn advance(&mut self, span: u64) {
        let until = self.now + span;
        while self.now < until {
            self.now += 100;
            let now = ms(self.now);
            if self.now.is_multiple_of(1_000) {
                for (planner, start, watch_number, applied, at) in &self.heard {
                    self.rosters[*at].planner_heard(planner, (*start, *watch_number), *applied, now);
                }
            }
            for from in 0..self.rosters.len() {
                for to in (0..self.rosters.len()).filter(|to| *to != from) {
                    if self.cut.contains(&(from, to)) {
                        continue;
                    }
                    for update in self.rosters[from].updates_for(now, &format!("m{to}")) {
                        self.rosters[to].receive(now, &format!("m{from}"), update).expect("a valid update");
                    }
                }
            }
        }
    }

    /// (expected, at or past, unheard) for an index, as known at this machine.
    fn count(&self, at: usize, index: u64) -> (usize, usize, usize) {
        let found = self.rosters[at].in_force(ms(self.now), index);
        assert_eq!(found.heard + found.unheard_count, found.expected);
        (found.expected, found.at_or_past, found.unheard_count)
    }

    fn lost(&mut self, one: usize, other: usize) {
        let now = ms(self.now);
        self.rosters[one].machine_lost(now, &format!("m{other}"));
        self.rosters[other].machine_lost(now, &format!("m{one}"));
    }
}

#[test]
fn each_machine_counts_all_planners() {
    let mut network = Network::new(3);
    network.heard = vec![("a", 1, 1, 7, 0), ("b", 1, 1, 9, 1), ("c", 1, 1, 8, 2)];
    network.advance(3_000);
    for at in 0..3 {
        assert_eq!((network.count(at, 8), network.count(at, 10)), ((3, 2, 0), (3, 0, 0)));
        let found = network.rosters[at].in_force(ms(network.now), 9);
        assert_eq!((found.lowest, found.at_or_past), (Some(7), 1));
        assert_eq!(found.slowest, [("a".to_string(), 7), ("c".to_string(), 8)]);
        // Heard within one second, reported within two more.
        assert!(found.age.is_some_and(|age| age < Span::millis(3_100)), "{:?}", found.age);
    }
    network.heard[0].3 = 9;
    network.advance(1_200);
    assert_eq!(network.count(2, 9), (3, 2, 0));
}

#[test]
fn a_restarted_planner_counts_only_by_its_new_start() {
    let mut network = Network::new(2);
    network.heard = vec![("a", 1, 4, 9, 0)];
    network.advance(2_000);
    assert_eq!(network.count(1, 9), (1, 1, 0));
    // Its disk was lost, and the new start has not received anything yet.
    network.heard = vec![("a", 2, 1, 0, 1)];
    network.advance(2_000);
    assert_eq!(
        (network.count(0, 9), network.count(1, 9), network.count(0, 0)),
        ((1, 0, 0), (1, 0, 0), (1, 1, 0))
    );
    // A late report of its old start doesn't count anywhere.
    network.rosters[0].planner_heard("a", (1, 4), 9, ms(network.now));
    network.advance(1_000);
    assert_eq!((network.count(0, 9).1, network.count(1, 9).1), (0, 0));
}

#[test]
fn a_planner_that_moves_is_counted_once_and_keeps_its_index() {
    let mut network = Network::new(3);
    network.heard = vec![("a", 1, 1, 9, 0)];
    network.advance(2_000);
    network.heard = vec![("a", 1, 2, 0, 1)];
    network.advance(1_000);
    // The old machine notices the end only now.
    network.rosters[0].watch_ended("a", (1, 1), false);
    network.advance(1_000);
    (0..3).for_each(|at| assert_eq!(network.count(at, 9), (1, 1, 0)));
}

#[test]
fn an_unheard_planner_is_not_counted_and_its_silence_is_reported() {
    let mut network = Network::new(2);
    network.heard = vec![("a", 1, 1, 9, 0), ("b", 1, 1, 9, 0)];
    network.advance(2_000);
    network.heard.pop();
    network.advance(5_000);
    for at in 0..2 {
        assert_eq!(network.count(at, 9), (2, 1, 1));
        let unheard = network.rosters[at].in_force(ms(network.now), 9).unheard;
        assert_eq!(unheard[0].0, "b");
        assert!(unheard[0].1 >= Span::millis(4_000) && unheard[0].1 < Span::millis(6_500), "{unheard:?}");
    }
    // Once heard again, it counts again.
    network.heard.push(("b", 1, 1, 9, 0));
    network.advance(2_000);
    assert_eq!((network.count(0, 9), network.count(1, 9)), ((2, 2, 0), (2, 2, 0)));
}

#[test]
fn a_lost_machines_planners_are_unheard_until_another_reports_them() {
    let mut network = Network::new(3);
    network.heard = vec![("a", 1, 1, 9, 0), ("b", 1, 1, 9, 0), ("c", 1, 1, 9, 1)];
    network.advance(2_000);
    network.heard.retain(|heard| heard.4 != 0);
    network.cut = vec![(0, 1), (0, 2), (1, 0), (2, 0)];
    network.lost(0, 1);
    // A machine that doesn't notice the closed link goes by the silence.
    assert_eq!((network.count(1, 9), network.count(2, 9)), ((3, 1, 2), (3, 3, 0)));
    network.advance(7_500);
    assert_eq!(network.count(2, 9), (3, 1, 2));
    network.heard.push(("a", 1, 2, 9, 2));
    network.advance(2_000);
    assert_eq!((network.count(1, 9), network.count(2, 9)), ((3, 2, 1), (3, 2, 1)));
    // The machine restarts without any state and receives the planners that nobody hears.
    network.rosters[0] = Roster::new("m0".into(), 9);
    network.lost(0, 1);
    network.lost(0, 2);
    network.cut.clear();
    network.advance(2_000);
    (0..3).for_each(|at| assert_eq!(network.count(at, 9), (3, 2, 1), "{at}"));
}

/// Only one side noticed that the link ended. It must get a full report again rather than nothing ever
/// after.
#[test]
fn only_one_side_loses_the_link() {
    let mut network = Network::new(2);
    network.heard = vec![("a", 1, 1, 9, 0)];
    network.advance(2_000);
    let now = ms(network.now);
    network.rosters[1].machine_lost(now, "m0");
    assert_eq!(network.count(1, 9), (1, 0, 1));
    network.advance(3_000);
    assert_eq!(network.count(1, 9), (1, 1, 0));
}

/// A planner moved to a machine that one of the others doesn't hear: its old machine must not confirm it
/// there.
#[test]
fn the_old_machine_does_not_confirm_a_planner_that_moved() {
    let mut network = Network::new(3);
    network.heard = vec![("a", 1, 1, 9, 0), ("b", 1, 1, 9, 0)];
    network.advance(2_000);
    network.cut = vec![(1, 2), (2, 1)];
    network.lost(1, 2);
    network.heard[0] = ("a", 1, 2, 9, 1);
    network.advance(1_500);
    assert_eq!((network.count(0, 9), network.count(2, 9)), ((2, 2, 0), (2, 1, 1)));
    // The planner goes silent here, and another machine's report on it arrives before the others are notified.
    network.heard.pop();
    network.rosters[0].watch_ended("b", (1, 1), false);
    let row =
        RosterRow { planner: "b".into(), start: 1, watch_number: 1, applied: 9, ..RosterRow::default() };
    let update = RosterUpdate { token: 5, echo: 1, rows: vec![row], ..RosterUpdate::default() };
    network.rosters[0].receive(ms(network.now), "m1", update).expect("a valid update");
    network.advance(500);
    assert_eq!(network.count(2, 9), (2, 0, 2));
}

/// The first updates are lost although the link is up: a full report follows, and until then no planner may
/// count as unheard for a long time.
#[test]
fn the_first_updates_are_lost() {
    let mut network = Network::new(2);
    network.heard = vec![("a", 1, 1, 9, 0)];
    assert!(network.rosters[0].updates_for(ms(0), "m1")[0].reset);
    network.advance(2_500);
    assert_eq!(network.count(1, 9), (0, 0, 0));
    network.advance(4_000);
    assert_eq!(network.count(1, 9), (1, 1, 0));

    let mut other = Roster::new("m1".into(), 2);
    for update in network.rosters[0].updates_for(ms(network.now), "m2") {
        other.receive(ms(network.now), "m0", update).expect("a valid update");
    }
    let found = other.in_force(ms(network.now + 300), 9);
    assert_eq!((found.at_or_past, found.unheard), (0, vec![("a".to_string(), Span::millis(300))]));
}

#[test]
fn a_planner_that_left_or_is_forgotten_is_no_longer_expected() {
    let mut network = Network::new(2);
    network.heard = vec![("a", 1, 1, 9, 0), ("b", 1, 1, 9, 0), ("c", 1, 1, 9, 1)];
    network.advance(2_000);
    network.heard.remove(0);
    network.rosters[0].watch_ended("a", (1, 1), true);
    network.advance(1_000);
    (0..2).for_each(|at| assert_eq!(network.count(at, 9), (2, 2, 0)));
    // An older message doesn't bring it back; a new start does.
    network.rosters[1].planner_heard("a", (1, 0), 9, ms(network.now));
    assert_eq!(network.count(1, 9), (2, 2, 0));
    network.heard.push(("a", 2, 1, 9, 1));
    network.advance(2_000);
    (0..2).for_each(|at| assert_eq!(network.count(at, 9), (3, 3, 0)));
    // A planner that is heard can't be forgotten; an unheard one is forgotten at all machines.
    let now = ms(network.now);
    assert!(!network.rosters[0].forget(now, "b") && !network.rosters[0].forget(now, "nobody"));
    network.heard.retain(|heard| heard.0 != "b");
    network.advance(5_000);
    assert_eq!(network.count(1, 9), (3, 2, 1));
    let now = ms(network.now);
    assert!(network.rosters[1].forget(now, "b"));
    network.advance(1_000);
    (0..2).for_each(|at| assert_eq!(network.count(at, 9), (2, 2, 0)));
}

#[test]
fn a_planner_unheard_for_an_hour_is_removed_and_reported() {
    let mut roster = Roster::new("m0".into(), 1);
    roster.planner_heard("a", (1, 1), 9, ms(0));
    roster.watch_ended("a", (1, 1), false);
    roster.updates_for(ms(3_500_000), "m1");
    assert_eq!(roster.in_force(ms(3_500_000), 1).unheard_count, 1);
    roster.updates_for(ms(3_600_001), "m1");
    assert_eq!((roster.planner_count(), roster.forgotten.clone()), (0, vec!["a".to_string()]));
}

/// An update that was delayed by a network partition reports the state at the time of sending.
#[test]
fn a_delayed_update_confirms_the_time_of_sending() {
    let (mut one, mut other) = (Roster::new("m0".into(), 1), Roster::new("m1".into(), 2));
    for update in one.updates_for(ms(0), "m1") {
        other.receive(ms(0), "m0", update).expect("a valid update");
    }
    other.planner_heard("a", (1, 1), 9, ms(0));
    let late = other.updates_for(ms(0), "m0");
    late.into_iter().for_each(|update| one.receive(ms(6_500), "m1", update).expect("a valid update"));
    let (applied, quiet) = one.counted(ms(6_500), "a").expect("within the machine timeout");
    assert!(applied == 9 && quiet >= Span::millis(6_500), "{quiet}");
    assert_eq!(one.counted(ms(7_100), "a"), None);
    assert_eq!(one.in_force(ms(7_100), 9).unheard_count, 1);
}

#[test]
fn planners_and_rows_are_bounded() {
    let mut one = Roster::new("m0".into(), 1);
    let mut other = Roster::new("m1".into(), 2);
    let max = MAX_PLANNERS as u64;
    for at in 0..max + 10 {
        one.planner_heard(&format!("p{at}"), (1, 1), 9, ms(0));
    }
    let found = one.in_force(ms(0), 9);
    assert_eq!((found.expected, found.at_or_past, found.uncounted), (MAX_PLANNERS, MAX_PLANNERS, 10));
    // One that left makes room.
    one.watch_ended("p1", (1, 1), true);
    one.planner_heard("p9000", (1, 2), 9, ms(0));
    assert_eq!((one.planner_count(), one.in_force(ms(0), 9).uncounted), (MAX_PLANNERS, 10));
    let mut updates = 0;
    for at in 0..10 {
        let now = ms(at * 200);
        let batch = one.updates_for(now, "m1");
        assert!(batch.len() <= 4 && batch.iter().all(|update| update.rows.len() <= MAX_ROWS));
        updates += batch.len();
        batch.into_iter().for_each(|update| other.receive(now, "m0", update).expect("a valid update"));
    }
    assert_eq!((other.planner_count(), updates), (MAX_PLANNERS, 16 + 1));
    let row = RosterRow { planner: "p".into(), ..RosterRow::default() };
    let update = RosterUpdate { rows: vec![row; MAX_ROWS + 1], ..RosterUpdate::default() };
    assert!(other.receive(ms(0), "m0", update).is_err());
    (0..MAX_MACHINES + 5).for_each(|at| drop(other.updates_for(ms(0), &format!("x{at}"))));
    assert!(other.receive(ms(0), "x66", RosterUpdate::default()).is_err());
}
