//! Who has what in force: planners that restart, move, leave, are lost with their machine; words that come late.

use pewtergap_time::{Moment, Span};
use pewtergap_watch::messages::{RosterRow, RosterUpdate, MOST_ROWS};
use pewtergap_watch::roster::{Roster, MOST_KNOWN, MOST_MACHINES};

fn ms(ms: u64) -> Moment {
    Moment(1_000_000_000_000) + Span::millis(ms)
}

/// Machines that tell each other all 100 ms, and planners that are heard each second.
struct Tier {
    rosters: Vec<Roster>,
    now: u64,
    /// Planner, start, turn, applied; at which machine.
    heard: Vec<(&'static str, u64, u64, u64, usize)>,
    /// Pairs whose words are lost.
    cut: Vec<(usize, usize)>,
}

impl Tier {
    fn new(count: usize) -> Tier {
        let rosters = (0..count).map(|at| Roster::new(format!("m{at}"), at as u64)).collect();
        Tier { rosters, now: 0, heard: Vec::new(), cut: Vec::new() }
    }

    fn pass(&mut self, span: u64) {
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
                    for word in self.rosters[from].updates_for(now, &format!("m{to}")) {
                        self.rosters[to].receive(now, &format!("m{from}"), word).expect("it is well formed");
                    }
                }
            }
        }
    }

    /// (expected, at or past, unheard) of a place, as this machine knows it.
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
    let mut tier = Tier::new(3);
    tier.heard = vec![("a", 1, 1, 7, 0), ("b", 1, 1, 9, 1), ("c", 1, 1, 8, 2)];
    tier.pass(3_000);
    for at in 0..3 {
        assert_eq!((tier.count(at, 8), tier.count(at, 10)), ((3, 2, 0), (3, 0, 0)));
        let found = tier.rosters[at].in_force(ms(tier.now), 9);
        assert_eq!((found.lowest, found.at_or_past), (Some(7), 1));
        assert_eq!(found.slowest, [("a".to_string(), 7), ("c".to_string(), 8)]);
        // Heard within a second, told within two more.
        assert!(found.age.is_some_and(|age| age < Span::millis(3_100)), "{:?}", found.age);
    }
    tier.heard[0].3 = 9;
    tier.pass(1_200);
    assert_eq!(tier.count(2, 9), (3, 2, 0));
}

#[test]
fn a_restarted_planner_counts_only_by_what_its_new_start_said() {
    let mut tier = Tier::new(2);
    tier.heard = vec![("a", 1, 4, 9, 0)];
    tier.pass(2_000);
    assert_eq!(tier.count(1, 9), (1, 1, 0));
    // Its disk was lost: the new start is told nothing yet.
    tier.heard = vec![("a", 2, 1, 0, 1)];
    tier.pass(2_000);
    assert_eq!((tier.count(0, 9), tier.count(1, 9), tier.count(0, 0)), ((1, 0, 0), (1, 0, 0), (1, 1, 0)));
    // What its old start said comes late, and counts nowhere.
    tier.rosters[0].planner_heard("a", (1, 4), 9, ms(tier.now));
    tier.pass(1_000);
    assert_eq!((tier.count(0, 9).1, tier.count(1, 9).1), (0, 0));
}

#[test]
fn one_that_changes_machines_is_one_and_keeps_what_it_has_in_force() {
    let mut tier = Tier::new(3);
    tier.heard = vec![("a", 1, 1, 9, 0)];
    tier.pass(2_000);
    tier.heard = vec![("a", 1, 2, 0, 1)];
    tier.pass(1_000);
    // The old machine hears of its end only now.
    tier.rosters[0].watch_ended("a", (1, 1), false);
    tier.pass(1_000);
    (0..3).for_each(|at| assert_eq!(tier.count(at, 9), (1, 1, 0)));
}

#[test]
fn a_planner_that_is_not_heard_is_not_counted_and_says_since_when() {
    let mut tier = Tier::new(2);
    tier.heard = vec![("a", 1, 1, 9, 0), ("b", 1, 1, 9, 0)];
    tier.pass(2_000);
    tier.heard.pop();
    tier.pass(5_000);
    for at in 0..2 {
        assert_eq!(tier.count(at, 9), (2, 1, 1));
        let unheard = tier.rosters[at].in_force(ms(tier.now), 9).unheard;
        assert_eq!(unheard[0].0, "b");
        assert!(unheard[0].1 >= Span::millis(4_000) && unheard[0].1 < Span::millis(6_500), "{unheard:?}");
    }
    // Heard again, it counts again.
    tier.heard.push(("b", 1, 1, 9, 0));
    tier.pass(2_000);
    assert_eq!((tier.count(0, 9), tier.count(1, 9)), ((2, 2, 0), (2, 2, 0)));
}

#[test]
fn a_lost_machines_planners_are_unheard_until_another_tells_of_them() {
    let mut tier = Tier::new(3);
    tier.heard = vec![("a", 1, 1, 9, 0), ("b", 1, 1, 9, 0), ("c", 1, 1, 9, 1)];
    tier.pass(2_000);
    tier.heard.retain(|heard| heard.4 != 0);
    tier.cut = vec![(0, 1), (0, 2), (1, 0), (2, 0)];
    tier.lost(0, 1);
    // One that is not told of the end finds out by silence.
    assert_eq!((tier.count(1, 9), tier.count(2, 9)), ((3, 1, 2), (3, 3, 0)));
    tier.pass(7_500);
    assert_eq!(tier.count(2, 9), (3, 1, 2));
    tier.heard.push(("a", 1, 2, 9, 2));
    tier.pass(2_000);
    assert_eq!((tier.count(1, 9), tier.count(2, 9)), ((3, 2, 1), (3, 2, 1)));
    // The machine comes back and knows nobody: it is told of those that nobody hears.
    tier.rosters[0] = Roster::new("m0".into(), 9);
    tier.lost(0, 1);
    tier.lost(0, 2);
    tier.cut.clear();
    tier.pass(2_000);
    (0..3).for_each(|at| assert_eq!(tier.count(at, 9), (3, 2, 1), "{at}"));
}

/// Only one of the two noticed that the link ended: it is told all again, not nothing for good.
#[test]
fn a_link_that_only_one_side_lost() {
    let mut tier = Tier::new(2);
    tier.heard = vec![("a", 1, 1, 9, 0)];
    tier.pass(2_000);
    let now = ms(tier.now);
    tier.rosters[1].machine_lost(now, "m0");
    assert_eq!(tier.count(1, 9), (1, 0, 1));
    tier.pass(3_000);
    assert_eq!(tier.count(1, 9), (1, 1, 0));
}

/// A planner moved to a machine that one of the others does not hear: the old one must not vouch for it there.
#[test]
fn one_that_moved_is_not_vouched_for_by_its_old_machine() {
    let mut tier = Tier::new(3);
    tier.heard = vec![("a", 1, 1, 9, 0), ("b", 1, 1, 9, 0)];
    tier.pass(2_000);
    tier.cut = vec![(1, 2), (2, 1)];
    tier.lost(1, 2);
    tier.heard[0] = ("a", 1, 2, 9, 1);
    tier.pass(1_500);
    assert_eq!((tier.count(0, 9), tier.count(2, 9)), ((2, 2, 0), (2, 1, 1)));
    // It goes quiet here, and what another says of that comes before the others are told.
    tier.heard.pop();
    tier.rosters[0].watch_ended("b", (1, 1), false);
    let row =
        RosterRow { planner: "b".into(), start: 1, watch_number: 1, applied: 9, ..RosterRow::default() };
    let word = RosterUpdate { token: 5, echo: 1, rows: vec![row], ..RosterUpdate::default() };
    tier.rosters[0].receive(ms(tier.now), "m1", word).expect("it is well formed");
    tier.pass(500);
    assert_eq!(tier.count(2, 9), (2, 0, 2));
}

/// The first words are lost though the link stands: all is told again, and until then nobody is unheard since long ago.
#[test]
fn first_words_that_are_lost() {
    let mut tier = Tier::new(2);
    tier.heard = vec![("a", 1, 1, 9, 0)];
    assert!(tier.rosters[0].updates_for(ms(0), "m1")[0].reset);
    tier.pass(2_500);
    assert_eq!(tier.count(1, 9), (0, 0, 0));
    tier.pass(4_000);
    assert_eq!(tier.count(1, 9), (1, 1, 0));

    let mut other = Roster::new("m1".into(), 2);
    for word in tier.rosters[0].updates_for(ms(tier.now), "m2") {
        other.receive(ms(tier.now), "m0", word).expect("it is well formed");
    }
    let found = other.in_force(ms(tier.now + 300), 9);
    assert_eq!((found.at_or_past, found.unheard), (0, vec![("a".to_string(), Span::millis(300))]));
}

#[test]
fn one_that_left_or_is_forgotten_is_expected_no_more() {
    let mut tier = Tier::new(2);
    tier.heard = vec![("a", 1, 1, 9, 0), ("b", 1, 1, 9, 0), ("c", 1, 1, 9, 1)];
    tier.pass(2_000);
    tier.heard.remove(0);
    tier.rosters[0].watch_ended("a", (1, 1), true);
    tier.pass(1_000);
    (0..2).for_each(|at| assert_eq!(tier.count(at, 9), (2, 2, 0)));
    // An old word does not bring it back; a new start does.
    tier.rosters[1].planner_heard("a", (1, 0), 9, ms(tier.now));
    assert_eq!(tier.count(1, 9), (2, 2, 0));
    tier.heard.push(("a", 2, 1, 9, 1));
    tier.pass(2_000);
    (0..2).for_each(|at| assert_eq!(tier.count(at, 9), (3, 3, 0)));
    // One that is heard is not forgotten; one that is not is, everywhere.
    let now = ms(tier.now);
    assert!(!tier.rosters[0].forget(now, "b") && !tier.rosters[0].forget(now, "nobody"));
    tier.heard.retain(|heard| heard.0 != "b");
    tier.pass(5_000);
    assert_eq!(tier.count(1, 9), (3, 2, 1));
    let now = ms(tier.now);
    assert!(tier.rosters[1].forget(now, "b"));
    tier.pass(1_000);
    (0..2).for_each(|at| assert_eq!(tier.count(at, 9), (2, 2, 0)));
}

#[test]
fn unheard_for_an_hour_is_forgotten_and_said() {
    let mut roster = Roster::new("m0".into(), 1);
    roster.planner_heard("a", (1, 1), 9, ms(0));
    roster.watch_ended("a", (1, 1), false);
    roster.updates_for(ms(3_500_000), "m1");
    assert_eq!(roster.in_force(ms(3_500_000), 1).unheard_count, 1);
    roster.updates_for(ms(3_600_001), "m1");
    assert_eq!((roster.size(), roster.forgotten.clone()), (0, vec!["a".to_string()]));
}

/// A word that a cut held back says what was so when it was sent.
#[test]
fn a_word_that_comes_late_vouches_for_then() {
    let (mut one, mut other) = (Roster::new("m0".into(), 1), Roster::new("m1".into(), 2));
    for word in one.updates_for(ms(0), "m1") {
        other.receive(ms(0), "m0", word).expect("it is well formed");
    }
    other.planner_heard("a", (1, 1), 9, ms(0));
    let late = other.updates_for(ms(0), "m0");
    late.into_iter().for_each(|word| one.receive(ms(6_500), "m1", word).expect("it is well formed"));
    let (applied, quiet) =
        one.counted(ms(6_500), "a").expect("it is within the bound of what machines may be silent");
    assert!(applied == 9 && quiet >= Span::millis(6_500), "{quiet}");
    assert_eq!(one.counted(ms(7_100), "a"), None);
    assert_eq!(one.in_force(ms(7_100), 9).unheard_count, 1);
}

#[test]
fn planners_and_rows_are_bounded() {
    let mut one = Roster::new("m0".into(), 1);
    let mut other = Roster::new("m1".into(), 2);
    let most = MOST_KNOWN as u64;
    for at in 0..most + 10 {
        one.planner_heard(&format!("p{at}"), (1, 1), 9, ms(0));
    }
    let found = one.in_force(ms(0), 9);
    assert_eq!((found.expected, found.at_or_past, found.uncounted), (MOST_KNOWN, MOST_KNOWN, 10));
    // One that left makes room.
    one.watch_ended("p1", (1, 1), true);
    one.planner_heard("p9000", (1, 2), 9, ms(0));
    assert_eq!((one.size(), one.in_force(ms(0), 9).uncounted), (MOST_KNOWN, 10));
    let mut words = 0;
    for at in 0..10 {
        let now = ms(at * 200);
        let told = one.updates_for(now, "m1");
        assert!(told.len() <= 4 && told.iter().all(|word| word.rows.len() <= MOST_ROWS));
        words += told.len();
        told.into_iter().for_each(|word| other.receive(now, "m0", word).expect("it is well formed"));
    }
    assert_eq!((other.size(), words), (MOST_KNOWN, 16 + 1));
    let row = RosterRow { planner: "p".into(), ..RosterRow::default() };
    let word = RosterUpdate { rows: vec![row; MOST_ROWS + 1], ..RosterUpdate::default() };
    assert!(other.receive(ms(0), "m0", word).is_err());
    (0..MOST_MACHINES + 5).for_each(|at| drop(other.updates_for(ms(0), &format!("x{at}"))));
    assert!(other.receive(ms(0), "x66", RosterUpdate::default()).is_err());
}
