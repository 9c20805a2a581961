//! Which planners carry an order out that goes by steps.

use pewtergap_member::PlannerSet;

#[test]
fn steps_by_proxies_take_planner_after_planner_and_none_goes_back() {
    let all: Vec<String> = ["a", "b", "c"].map(str::to_string).into();
    for number in 1..50 {
        let within = |part: f64| -> Vec<bool> {
            let among = all.iter().map(|name| PlannerSet { name: name.clone(), planners: all.clone() });
            among.map(|among| among.includes(number, part)).collect()
        };
        let counts = [0.0, 0.25, 0.5, 0.75, 1.0].map(|part| within(part).iter().filter(|w| **w).count());
        assert_eq!(counts, [0, 1, 2, 3, 3]);
        let goes_on = within(0.25).iter().zip(within(0.75)).all(|(before, after)| !before || after);
        assert!(goes_on, "order {number}");
    }
}
