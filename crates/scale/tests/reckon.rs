//! What is refused beforehand, and why.

use pewtergap_scale::reckon::{fits, Limits, Size};

const ROOMY: Limits = Limits { memory: 12 << 30, processes: 300, descriptors: 20_000 };

fn target() -> Size {
    Size { planners: 3_800, real: 20, proxies: 1, control: 11, regions: 17 }
}

#[test]
fn the_target_fits_half_of_a_machine_of_24_gb() {
    let need = fits(&target(), &ROOMY).expect("it fits");
    assert!(need.memory > 1 << 30 && need.processes < 100, "{need:?}");
}

#[test]
fn each_limit_refuses_with_need_and_limit() {
    let need = target().need();
    let refused = |limits: Limits| fits(&target(), &limits).expect_err("it does not fit");
    let memory = refused(Limits { memory: need.memory - 1, ..ROOMY });
    assert!(memory.starts_with("memory: ") && memory.contains("half of the machine's"), "{memory}");
    let processes = refused(Limits { processes: need.processes - 1, ..ROOMY });
    let (n, most) = (need.processes, need.processes - 1);
    assert_eq!(processes, format!("processes: {n} are needed, the limit is {most}"));
    let descriptors = refused(Limits { descriptors: need.descriptors - 1, ..ROOMY });
    let (n, most) = (need.descriptors, need.descriptors - 1);
    assert_eq!(descriptors, format!("descriptors: {n} are needed by one process, the limit is {most}"));
    let none = Limits { memory: 0, processes: 0, descriptors: 0 };
    assert_eq!(refused(none).lines().count(), 3);
}

#[test]
fn sizes_that_make_no_sense_are_refused() {
    let wrong = [
        Size { planners: 0, real: 0, ..target() },
        Size { control: 0, ..target() },
        Size { regions: 0, ..target() },
        Size { planners: 10, real: 11, ..target() },
    ];
    wrong.iter().for_each(|size| assert!(fits(size, &ROOMY).is_err(), "{size:?}"));
}

#[test]
fn voters_are_odd_and_five_at_most() {
    let voters = |control| Size { control, ..target() }.voters();
    assert_eq!([1, 2, 3, 4, 5, 6, 11].map(voters), [1, 1, 3, 3, 5, 5, 5]);
}
