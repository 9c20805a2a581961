//! Renders the tables of docs/CAPACITY.md and updates them in the page.

use crate::estimate::Kind;
use crate::format::{format_exact, format_factors, format_in_unit, format_number, format_quantity};
use crate::model::{largest_effect, Figure, Overrun, Report, Role, Situation};
use crate::slopes::{Run, Slope};
use crate::target::{Pair, PARAMETERS};

/// A generated block of the page: the name in its markers, and its text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section {
    pub name: &'static str,
    pub text: String,
}

/// All generated blocks, in the order of the page.
pub fn sections(report: &Report) -> Vec<Section> {
    let runs = runs(report);
    let mut all = vec![
        Section { name: "over", text: overruns(report, &runs) },
        Section { name: "waits", text: pending(report) },
    ];
    for role in Role::ALL {
        all.push(Section { name: marker_name(role), text: role_table(report, role, &runs) });
    }
    all.push(Section { name: "bounds", text: bounds(report) });
    all.push(Section { name: "parameters", text: parameters(report) });
    all.push(Section { name: "path", text: data_path(report) });
    all.push(Section { name: "slopes", text: slopes(report, &runs) });
    all.push(Section { name: "runs", text: run_table(&runs) });
    all
}

fn marker_name(role: Role) -> &'static str {
    match role {
        Role::Voter => "voter",
        Role::ControlMachine => "control-machine",
        Role::Planner => "planner",
        Role::Proxy => "proxy",
        Role::Holder => "holder",
        Role::Operators => "operators",
    }
}

/// The output of the command.
pub fn render(report: &Report) -> String {
    let texts: Vec<String> = sections(report).into_iter().map(|section| section.text).collect();
    texts.join("\n")
}

/// The page with its tables taken from the report. Fails if a marker is missing, duplicated or out of order.
pub fn update_page(page: &str, report: &Report) -> Result<String, String> {
    let (mut rest, mut text) = (page, String::new());
    for section in sections(report) {
        let (begin, end) =
            (format!("<!-- table: {} -->\n", section.name), format!("<!-- end: {} -->\n", section.name));
        if page.matches(&begin).count() != 1 || page.matches(&end).count() != 1 {
            return Err(format!("the page has not one mark '{}'", begin.trim_end()));
        }
        let Some((before, after)) = rest.split_once(&begin) else {
            return Err(format!("'{}' is out of its order", begin.trim_end()));
        };
        let Some((_, after)) = after.split_once(&end) else {
            return Err(format!("'{}' has no end behind it", begin.trim_end()));
        };
        text += &format!("{before}{begin}{}{end}", section.text);
        rest = after;
    }
    Ok(text + rest)
}

fn table(header: &[&str], rows: Vec<Vec<String>>) -> String {
    let line = |cells: Vec<String>| format!("| {} |\n", cells.join(" | "));
    let mut text = line(header.iter().map(ToString::to_string).collect());
    text += &format!("|{}\n", " --- |".repeat(header.len()));
    rows.into_iter().for_each(|row| text += &line(row));
    text
}

/// All distinct runs. A run's number is its position, counted from 1.
fn runs(report: &Report) -> Vec<Run> {
    let mut all: Vec<Run> = Vec::new();
    for slope in report.slopes.0.iter().filter(|slope| !slope.points.is_empty()) {
        if !all.contains(&slope.run) {
            all.push(slope.run.clone());
        }
    }
    all
}

fn run_of(slope: &Slope, runs: &[Run]) -> String {
    runs.iter().position(|run| *run == slope.run).map_or("-".into(), |index| (index + 1).to_string())
}

fn format_kind_and_extrapolation(report: &Report, figure: &Figure, runs: &[Run]) -> String {
    let kind = format_kind(report, figure, runs);
    if figure.beyond > 1.05 {
        format!("{kind} (at {} x its largest size)", format_number(figure.beyond))
    } else {
        kind
    }
}

fn format_kind(report: &Report, figure: &Figure, runs: &[Run]) -> String {
    match &figure.kind {
        Kind::Measured { slope, .. } => {
            let run = report.slopes.get(slope).map_or("-".into(), |slope| run_of(slope, runs));
            format!("measured: {slope}, run {run}")
        }
        Kind::Reckoned { slopes } => format!("reckoned: {}", slopes.join(", ")),
        Kind::Assumed { parameters, slopes } if slopes.is_empty() => {
            format!("assumed: {}", parameters.join(", "))
        }
        Kind::Assumed { parameters, slopes } => {
            format!("assumed: {}; by {}", parameters.join(", "), slopes.join(", "))
        }
    }
}

fn format_pair(figure: &Figure, pair: Pair) -> (String, String) {
    let [first, second] = pair.0.map(|value| format_quantity(figure.quantity, value));
    let second = if first == second { "same".into() } else { second };
    (first, second)
}

fn format_pair_cell(figure: &Figure, values: Pair) -> String {
    match format_pair(figure, values) {
        (first, second) if second == "same" => first,
        (first, second) => format!("{first}; {second}"),
    }
}

fn overruns(report: &Report, runs: &[Run]) -> String {
    let row = |overrun: &Overrun| match overrun {
        Overrun::Figure(figure, factors) => vec![
            format_factors(*factors),
            figure.role.name().into(),
            format!("{}: {}, {}", figure.situation.name(), figure.part, figure.quantity.name()),
            figure.at.map(|at| format_pair_cell(figure, at)).unwrap_or_default(),
            figure.budget.map(|budget| format_pair_cell(figure, budget)).unwrap_or_default(),
            format_kind_and_extrapolation(report, figure, runs),
            figure.carried_by.into(),
        ],
        Overrun::Bound(bound, factors) => vec![
            format_factors(*factors),
            bound.role.name().into(),
            format!("bound: {}", bound.name),
            format_needs(bound.needs),
            format_exact(bound.most),
            format!("{}{}", bound.source, assumed_suffix(bound.parameter)),
            bound.carried_by.into(),
        ],
    };
    let rows = report.over.iter().map(row).collect();
    let header = ["over by", "role", "what", "figure", "budget or bound", "kind", "carried by"];
    format!("### Over its budget, worst first\n\n{}", table(&header, rows))
}

fn assumed_suffix(parameter: &str) -> String {
    if parameter.is_empty() {
        String::new()
    } else {
        format!("; assumed: {parameter}")
    }
}

fn format_needs(needs: Pair) -> String {
    match needs.0.map(format_number) {
        [first, second] if first == second => format_exact(needs.0[0]),
        [first, second] => format!("{first}; {second}"),
    }
}

fn pending(report: &Report) -> String {
    let mut rows = Vec::new();
    for slope in &report.slopes.0 {
        let waiting = report.figures.iter().filter(|figure| figure.waits_for.contains(&slope.name)).count();
        if waiting > 0 {
            let what = slope.spec().map_or("", |spec| spec.what);
            let points = slope.points.len().to_string();
            rows.push(vec![slope.name.clone(), what.into(), points, waiting.to_string()]);
        }
    }
    let text = if rows.is_empty() {
        "None: each figure has its slope.\n".into()
    } else {
        table(&["slope", "of what", "points so far", "figures that wait for it"], rows)
    };
    format!("### Without a figure yet\n\n{text}")
}

fn role_table(report: &Report, role: Role, runs: &[Run]) -> String {
    let figures: Vec<&Figure> = report.figures.iter().filter(|figure| figure.role == role).collect();
    let mut rows = Vec::new();
    let mut unlisted: Vec<&str> = Vec::new();
    for situation in Situation::ALL {
        let in_situation: Vec<&&Figure> =
            figures.iter().filter(|figure| figure.situation == situation).collect();
        if in_situation.is_empty() {
            unlisted.push(situation.name());
        }
        for figure in in_situation {
            let (first, second) = match figure.at {
                Some(at) => format_pair(figure, at),
                None => ("no figure yet".into(), String::new()),
            };
            let kind = match figure.at {
                Some(_) => format_kind_and_extrapolation(report, figure, runs),
                None => format!("waits for {}", figure.waits_for.join(", ")),
            };
            let headroom = match figure.headroom() {
                Some(headroom) if !headroom.is_finite() => "all".into(),
                Some(headroom) => format!("{} x", format_number(headroom)),
                None => "-".into(),
            };
            rows.push(vec![
                situation.name().into(),
                figure.part.into(),
                figure.quantity.name().into(),
                first,
                second,
                figure.budget.map_or("-".into(), |budget| format_pair_cell(figure, budget)),
                headroom,
                kind,
                figure.carried_by.into(),
            ]);
        }
    }
    let header =
        ["situation", "of what", "quantity", "first", "second", "budget", "headroom", "kind", "carried by"];
    let unlisted = if unlisted.is_empty() {
        String::new()
    } else {
        format!("\nNothing of its own, as at rest: {}.\n", unlisted.join("; "))
    };
    format!("### {}\n\n{}{unlisted}", role.name(), table(&header, rows))
}

fn bounds(report: &Report) -> String {
    let row = |bound: &crate::Bound| {
        let factors = format_factors(bound.factors());
        vec![
            bound.role.name().into(),
            bound.name.into(),
            format_exact(bound.most),
            bound.source.into(),
            format_needs(bound.needs) + &assumed_suffix(bound.parameter),
            factors,
            bound.carried_by.into(),
        ]
    };
    let rows = report.bounds.iter().map(row).collect();
    let header = ["role", "of what", "bound", "where", "the target puts in", "of the bound", "carried by"];
    format!("### Bounds in the program\n\n{}", table(&header, rows))
}

fn parameters(report: &Report) -> String {
    let row = |parameter: &crate::target::Parameter| {
        let [first, second] = report.target.pair(parameter.name).0.map(format_exact);
        let effect = largest_effect(&report.target, &report.slopes, parameter.name);
        let effect = effect.map_or("budgets alone".into(), |(role, part, quantity, factor)| {
            format!("{}: {part}, {}, by {} x", role.name(), quantity.name(), format_number(factor))
        });
        vec![parameter.name.into(), parameter.what.into(), first, second, effect]
    };
    let rows = PARAMETERS.iter().map(row).collect();
    let header = ["parameter", "what", "first", "second", "moves most, from first to second"];
    format!("### What the target leaves open\n\n{}", table(&header, rows))
}

/// The measurements of the data path by request rate.
fn data_path(report: &Report) -> String {
    let names = ["proxy.added_p50", "proxy.added_p99", "proxy.core"];
    let points = |name: &str| report.slopes.get(name).map(|slope| slope.points.clone()).unwrap_or_default();
    let at = |name: &str, rate: f64| {
        let found = points(name).into_iter().find(|point| point[0] == rate);
        let unit = report.slopes.get(name).and_then(Slope::spec).map_or("", |spec| spec.unit);
        found.map_or("-".into(), |point| format_in_unit(unit, point[1]))
    };
    let row = |point: [f64; 2]| {
        let rate = point[0];
        std::iter::once(format_exact(rate)).chain(names.iter().map(|name| at(name, rate))).collect()
    };
    let rows = points(names[0]).into_iter().map(row).collect();
    let header = ["requests a second", "added, p50", "added, p99", "the proxy's processor time"];
    format!("### Time that one proxy adds, as measured\n\n{}", table(&header, rows))
}

fn slopes(report: &Report, runs: &[Run]) -> String {
    let mut rows = Vec::new();
    for slope in &report.slopes.0 {
        let (Some(spec), false) = (slope.spec(), slope.points.is_empty()) else { continue };
        let sizes = slope.points.iter().map(|point| point[0]);
        let (min, max) = sizes.fold((f64::INFINITY, 0f64), |(min, max), x| (min.min(x), max.max(x)));
        let (line, error) = match slope.fit() {
            Some(fit) => (
                format!(
                    "{} {} {} x",
                    format_in_unit(spec.unit, fit.intercept),
                    if fit.gradient < 0.0 { "-" } else { "+" },
                    format_in_unit(spec.unit, fit.gradient.abs())
                ),
                format!(
                    "{}, worst {}% of the largest",
                    format_in_unit(spec.unit, fit.residual),
                    format_number(fit.max_relative_error * 100.0)
                ),
            ),
            None => ("one size: no line".into(), "-".into()),
        };
        rows.push(vec![
            slope.name.clone(),
            spec.what.into(),
            format!(
                "{} {}",
                slope.points.len(),
                if slope.points.len() < 5 { "(under five)" } else { "points" }
            ),
            format!("{} to {} {}", format_exact(min), format_exact(max), spec.x),
            line,
            error,
            run_of(slope, runs),
        ]);
    }
    let header = ["slope", "of what", "points", "measured at", "line", "residual", "run"];
    format!("### Slopes\n\n{}", table(&header, rows))
}

fn run_table(runs: &[Run]) -> String {
    let row = |(index, run): (usize, &Run)| {
        vec![
            (index + 1).to_string(),
            format!("`{}`", run.command),
            run.date.clone(),
            run.build.clone(),
            run.note.clone(),
        ]
    };
    let rows = runs.iter().enumerate().map(row).collect();
    format!("### Runs\n\n{}", table(&["run", "command", "date", "build", "note"], rows))
}
