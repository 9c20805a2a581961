//! The deployments, with figures inside the ranges of their pages.

use crate::world::{Class, Site};

fn class(
    name: &'static str,
    share: f64,
    work: f64,
    times: (f64, f64),
    worth: f64,
    semantics: &'static str,
) -> Class {
    let writes = semantics == "single_shot";
    Class { name, share, work, aim_s: times.0, deadline_s: times.1, worth, semantics, writes, bound: false }
}

pub fn kigali() -> Site {
    Site {
        zones: vec!["gikondo", "kacyiru", "remera"],
        classes: vec![
            class("item-view", 0.65, 0.155, (1.0, 2.5), 2.0, "free"),
            class("stock-set", 0.24, 0.155, (1.0, 3.0), 3.0, "free"),
            class("sale-record", 0.11, 0.095, (0.6, 1.5), 2.0, "single_shot"),
        ],
        planners: 2,
        proxies: 9,
        by_zone: true,
        throttle: "off",
        pick: "rotate",
        ejects: 5,
        base_mode: 1,
        standing: 5,
        head: 3.0,
        lines_per_s: 2300.0,
        queue_max: 4600.0,
        late_s: 0.2,
        late_most_s: 0.5,
        messages_most: 0,
        messages_over_s: 10.0,
        report_s: 2.0,
        empty_s: 2.9,
        reports: "inline",
        cross_zone: 0.08,
        grace_s: 2.5,
        cold_from: 0.15,
        cold_s: 17.0,
        multiple: 3.0,
        fall_s: 3.0,
        weight_source: "rough",
        least_conns: 233.0,
        sockets: 512,
    }
}

pub fn regina() -> Site {
    Site {
        zones: vec!["regina", "moose-jaw", "swift-current"],
        classes: vec![
            class("image-fetch", 0.49, 0.114, (0.6, 2.0), 1.0, "free"),
            class("cutout", 0.36, 0.19, (1.0, 2.5), 1.0, "free"),
            class("reserve", 0.15, 0.114, (0.6, 2.0), 3.0, "single_shot"),
        ],
        planners: 2,
        proxies: 9,
        by_zone: true,
        throttle: "per_second",
        pick: "rotate",
        ejects: 0,
        base_mode: 1,
        standing: 10,
        head: 4.0,
        lines_per_s: 5700.0,
        queue_max: 5700.0,
        late_s: 0.28,
        late_most_s: 0.7,
        messages_most: 12,
        messages_over_s: 10.0,
        report_s: 2.0,
        empty_s: 3.0,
        reports: "on_probe",
        cross_zone: 0.01,
        grace_s: 3.0,
        cold_from: 0.29,
        cold_s: 18.0,
        multiple: 4.0,
        fall_s: 3.0,
        weight_source: "rough",
        least_conns: 84.0,
        sockets: 512,
    }
}

pub fn santiago() -> Site {
    Site {
        zones: vec!["quilicura", "san-bernardo"],
        classes: vec![
            class("disponibilidad", 0.4, 0.165, (0.8, 2.0), 3.0, "free"),
            class("cotizacion", 0.35, 0.245, (1.5, 5.0), 2.0, "free"),
            class("confirmar", 0.25, 0.165, (0.8, 2.5), 3.0, "single_shot"),
        ],
        planners: 1,
        proxies: 6,
        by_zone: false,
        throttle: "fraction",
        pick: "random",
        ejects: 0,
        base_mode: 0,
        standing: 8,
        head: 3.0,
        lines_per_s: 8000.0,
        queue_max: 12000.0,
        late_s: 0.2,
        late_most_s: 0.5,
        messages_most: 12,
        messages_over_s: 10.0,
        report_s: 0.5,
        empty_s: 2.5,
        reports: "on_probe",
        cross_zone: 0.06,
        grace_s: 1.5,
        cold_from: 0.17,
        cold_s: 18.0,
        multiple: 4.0,
        fall_s: 2.0,
        weight_source: "nominal",
        least_conns: 198.0,
        sockets: 512,
    }
}
