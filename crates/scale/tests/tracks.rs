//! What a hollow process tells of its planners, from steps made by hand.

use pewtergap_scale::track::{answer, Answer, Ask, Spread, Track};
use pewtergap_time::{Moment, Span};

const MS: u64 = 1_000_000;

fn at(ms: u64) -> Moment {
    Moment(ms * MS)
}

fn track(region: usize, steps: &[(u64, u64)]) -> Track {
    let mut track = Track::new(format!("p{region}"), region);
    steps.iter().for_each(|(ms, place)| track.stands(at(*ms), *place));
    track
}

fn when(tracks: &[Track], place: u64, except: Option<usize>) -> (u64, f64, u64, u64) {
    match answer(tracks, &Ask::When { place, from: 10 * MS, except }) {
        Answer::When { spread, missing, forgotten } => {
            (spread.count(), spread.worst_ms(), missing, forgotten)
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn the_first_step_at_or_past_a_place_counts() {
    let tracks = [track(0, &[(11, 3), (15, 5), (30, 9)]), track(1, &[(12, 4)])];
    let (count, worst, missing, forgotten) = when(&tracks, 4, None);
    assert_eq!((count, missing, forgotten), (2, 0, 0));
    assert!((worst - 5.0).abs() < 0.01, "{worst}");
    // A coalesced step brings all places below it; who has not come there is missing, not slow.
    assert_eq!(when(&tracks, 6, None).2, 1);
    assert_eq!(when(&tracks, 6, Some(1)), (1, when(&tracks, 6, None).1, 0, 0));
}

#[test]
fn what_is_no_longer_known_is_said() {
    let mut long = track(0, &[]);
    (1..=600).for_each(|place| long.stands(at(place), place));
    assert_eq!(when(std::slice::from_ref(&long), 5, None).3, 1);
    assert_eq!(when(std::slice::from_ref(&long), 600, None).3, 0);
    // It had it, all the same.
    let told = answer(&[long], &Ask::By { place: 5, moment: 700 * MS });
    assert_eq!(told, Answer::By { count: 0, forgotten: 1 });
}

#[test]
fn a_place_that_falls_is_counted_with_who_and_where() {
    let told = answer(&[track(2, &[(1, 8), (2, 7), (3, 9)])], &Ask::State);
    let Answer::State(told) = told else { panic!("{told:?}") };
    assert_eq!((told.falls, told.fell.as_deref()), (1, Some("p2 from 8 to 7")));
}

#[test]
fn outages_count_from_the_strike_and_from_each_ones_own_loss() {
    let mut lost = track(0, &[]);
    lost.watches(at(1), Some("c1".into()));
    lost.lost(at(20), "closed");
    lost.watches(at(50), Some("c2".into()));
    let mut stood = track(1, &[]);
    stood.watches(at(1), Some("c2".into()));
    let mut gone = track(2, &[]);
    gone.watches(at(1), Some("c1".into()));
    gone.lost(at(20), "closed");
    let tracks = [lost, stood, gone];
    let spread = |ms| Spread::of([Span::millis(ms)].into_iter());
    let again = answer(&tracks, &Ask::Again { since: 10 * MS });
    assert_eq!(again, Answer::Again { spread: spread(40), missing: 1 });
    let back = answer(&tracks, &Ask::Back { since: 10 * MS });
    assert_eq!(back, Answer::Back { spread: spread(30), missing: 1 });
    // Who stood all the time has nothing to catch up with.
    let caught = answer(&tracks, &Ask::Caught { place: 1, since: 30 * MS });
    assert_eq!(caught, Answer::Back { spread: Spread::default(), missing: 2 });
}

#[test]
fn spreads_of_several_processes_are_one() {
    let mut one = Spread::of((1..=50).map(Span::millis));
    one.add(&Spread::of((51..=100).map(Span::millis)));
    assert_eq!(one.count(), 100);
    assert!((one.quantile_ms(0.5) - 50.0).abs() < 0.1, "{}", one.quantile_ms(0.5));
    assert!((one.quantile_ms(0.99) - 99.0).abs() < 0.1, "{}", one.quantile_ms(0.99));
    assert!((one.worst_ms() - 100.0).abs() < 0.1, "{}", one.worst_ms());
}
