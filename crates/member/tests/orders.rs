//! Which planners apply an order with steps by proxies.

use pewtergap_member::PlannerSet;

#[test]
fn steps_by_proxies_add_planners_and_never_remove_one() {
    let all: Vec<String> = ["a", "b", "c"].map(str::to_string).into();
    for number in 1..50 {
        let includes_at = |part: f64| -> Vec<bool> {
            let planners = all.iter().map(|name| PlannerSet { name: name.clone(), planners: all.clone() });
            planners.map(|planners| planners.includes(number, part)).collect()
        };
        let counts = [0.0, 0.25, 0.5, 0.75, 1.0].map(|part| includes_at(part).iter().filter(|w| **w).count());
        assert_eq!(counts, [0, 1, 2, 3, 3]);
        let is_monotonic =
            includes_at(0.25).iter().zip(includes_at(0.75)).all(|(before, after)| !before || after);
        assert!(is_monotonic, "order {number}");
    }
}
