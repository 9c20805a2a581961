//! The tables of docs/CAPACITY.md, and the page with its tables renewed.

use crate::model::{moves_most, Book, Figure, Over, Role, Situation};
use crate::size::{Pair, PARAMETERS};
use crate::slopes::{Run, Slope};
use crate::worked::Kind;
use crate::write::{amount, factors, in_unit, number, whole};

/// A block of the page: its name between the marks, and what stands there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section {
    pub name: &'static str,
    pub text: String,
}

/// All blocks, in the page's order.
pub fn sections(book: &Book) -> Vec<Section> {
    let runs = runs(book);
    let mut all =
        vec![Section { name: "over", text: over(book, &runs) }, Section { name: "waits", text: waits(book) }];
    for role in Role::ALL {
        all.push(Section { name: mark(role), text: role_table(book, role, &runs) });
    }
    all.push(Section { name: "bounds", text: bounds(book) });
    all.push(Section { name: "parameters", text: parameters(book) });
    all.push(Section { name: "path", text: path(book) });
    all.push(Section { name: "slopes", text: slopes(book, &runs) });
    all.push(Section { name: "runs", text: run_table(&runs) });
    all
}

fn mark(role: Role) -> &'static str {
    match role {
        Role::Voter => "voter",
        Role::ControlMachine => "control-machine",
        Role::Planner => "planner",
        Role::Proxy => "proxy",
        Role::Holder => "holder",
        Role::Operators => "operators",
    }
}

/// What the command prints.
pub fn print(book: &Book) -> String {
    let texts: Vec<String> = sections(book).into_iter().map(|section| section.text).collect();
    texts.join("\n")
}

/// The page with its tables as the book has them; an error for a mark that is missing or there twice.
pub fn renew(page: &str, book: &Book) -> Result<String, String> {
    let (mut rest, mut text) = (page, String::new());
    for section in sections(book) {
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

fn table(head: &[&str], rows: Vec<Vec<String>>) -> String {
    let line = |cells: Vec<String>| format!("| {} |\n", cells.join(" | "));
    let mut text = line(head.iter().map(ToString::to_string).collect());
    text += &format!("|{}\n", " --- |".repeat(head.len()));
    rows.into_iter().for_each(|row| text += &line(row));
    text
}

/// Runs by number, each once.
fn runs(book: &Book) -> Vec<Run> {
    let mut all: Vec<Run> = Vec::new();
    for slope in book.slopes.0.iter().filter(|slope| !slope.points.is_empty()) {
        if !all.contains(&slope.run) {
            all.push(slope.run.clone());
        }
    }
    all
}

fn run_of(slope: &Slope, runs: &[Run]) -> String {
    runs.iter().position(|run| *run == slope.run).map_or("-".into(), |at| (at + 1).to_string())
}

fn kind(book: &Book, figure: &Figure, runs: &[Run]) -> String {
    let kind = kind_alone(book, figure, runs);
    if figure.beyond > 1.05 {
        format!("{kind} (at {} x its largest size)", number(figure.beyond))
    } else {
        kind
    }
}

fn kind_alone(book: &Book, figure: &Figure, runs: &[Run]) -> String {
    match &figure.kind {
        Kind::Measured { slope, .. } => {
            let run = book.slopes.get(slope).map_or("-".into(), |slope| run_of(slope, runs));
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

fn pair(figure: &Figure, pair: Pair) -> (String, String) {
    let [first, second] = pair.0.map(|value| amount(figure.quantity, value));
    let second = if first == second { "same".into() } else { second };
    (first, second)
}

fn both(figure: &Figure, both: Pair) -> String {
    match pair(figure, both) {
        (first, second) if second == "same" => first,
        (first, second) => format!("{first}; {second}"),
    }
}

fn over(book: &Book, runs: &[Run]) -> String {
    let row = |over: &Over| match over {
        Over::Figure(figure, by) => vec![
            factors(*by),
            figure.role.name().into(),
            format!("{}: {}, {}", figure.situation.name(), figure.part, figure.quantity.name()),
            figure.at.map(|at| both(figure, at)).unwrap_or_default(),
            figure.budget.map(|budget| both(figure, budget)).unwrap_or_default(),
            kind(book, figure, runs),
            figure.carried_by.into(),
        ],
        Over::Bound(bound, by) => vec![
            factors(*by),
            bound.role.name().into(),
            format!("bound: {}", bound.name),
            needs(bound.needs),
            whole(bound.most),
            format!("{}{}", bound.source, assumed(bound.parameter)),
            bound.carried_by.into(),
        ],
    };
    let rows = book.over.iter().map(row).collect();
    let head = ["over by", "role", "what", "figure", "budget or bound", "kind", "carried by"];
    format!("### Over its budget, worst first\n\n{}", table(&head, rows))
}

fn assumed(parameter: &str) -> String {
    if parameter.is_empty() {
        String::new()
    } else {
        format!("; assumed: {parameter}")
    }
}

fn needs(needs: Pair) -> String {
    match needs.0.map(number) {
        [first, second] if first == second => whole(needs.0[0]),
        [first, second] => format!("{first}; {second}"),
    }
}

fn waits(book: &Book) -> String {
    let mut rows = Vec::new();
    for slope in &book.slopes.0 {
        let waiting = book.figures.iter().filter(|figure| figure.waits_for.contains(&slope.name)).count();
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

fn role_table(book: &Book, role: Role, runs: &[Run]) -> String {
    let figures: Vec<&Figure> = book.figures.iter().filter(|figure| figure.role == role).collect();
    let mut rows = Vec::new();
    let mut same: Vec<&str> = Vec::new();
    for situation in Situation::ALL {
        let of_it: Vec<&&Figure> = figures.iter().filter(|figure| figure.situation == situation).collect();
        if of_it.is_empty() {
            same.push(situation.name());
        }
        for figure in of_it {
            let (first, second) = match figure.at {
                Some(at) => pair(figure, at),
                None => ("no figure yet".into(), String::new()),
            };
            let kind = match figure.at {
                Some(_) => kind(book, figure, runs),
                None => format!("waits for {}", figure.waits_for.join(", ")),
            };
            let headroom = match figure.headroom() {
                Some(room) if !room.is_finite() => "all".into(),
                Some(room) => format!("{} x", number(room)),
                None => "-".into(),
            };
            rows.push(vec![
                situation.name().into(),
                figure.part.into(),
                figure.quantity.name().into(),
                first,
                second,
                figure.budget.map_or("-".into(), |budget| both(figure, budget)),
                headroom,
                kind,
                figure.carried_by.into(),
            ]);
        }
    }
    let head =
        ["situation", "of what", "quantity", "first", "second", "budget", "headroom", "kind", "carried by"];
    let same = if same.is_empty() {
        String::new()
    } else {
        format!("\nNothing of its own, as at rest: {}.\n", same.join("; "))
    };
    format!("### {}\n\n{}{same}", role.name(), table(&head, rows))
}

fn bounds(book: &Book) -> String {
    let row = |bound: &crate::Bound| {
        let by = factors(bound.factors());
        vec![
            bound.role.name().into(),
            bound.name.into(),
            whole(bound.most),
            bound.source.into(),
            needs(bound.needs) + &assumed(bound.parameter),
            by,
            bound.carried_by.into(),
        ]
    };
    let rows = book.bounds.iter().map(row).collect();
    let head = ["role", "of what", "bound", "where", "the target puts in", "of the bound", "carried by"];
    format!("### Bounds in the program\n\n{}", table(&head, rows))
}

fn parameters(book: &Book) -> String {
    let row = |open: &crate::size::Open| {
        let [first, second] = book.size.pair(open.name).0.map(whole);
        let moves = moves_most(&book.size, &book.slopes, open.name);
        let moves = moves.map_or("budgets alone".into(), |(role, part, quantity, by)| {
            format!("{}: {part}, {}, by {} x", role.name(), quantity.name(), number(by))
        });
        vec![open.name.into(), open.what.into(), first, second, moves]
    };
    let rows = PARAMETERS.iter().map(row).collect();
    let head = ["parameter", "what", "first", "second", "moves most, from first to second"];
    format!("### What the target leaves open\n\n{}", table(&head, rows))
}

/// What was measured on the data path, rate by rate.
fn path(book: &Book) -> String {
    let names = ["proxy.added_p50", "proxy.added_p99", "proxy.core"];
    let points = |name: &str| book.slopes.get(name).map(|slope| slope.points.clone()).unwrap_or_default();
    let at = |name: &str, rate: f64| {
        let found = points(name).into_iter().find(|point| point[0] == rate);
        let unit = book.slopes.get(name).and_then(Slope::spec).map_or("", |spec| spec.unit);
        found.map_or("-".into(), |point| in_unit(unit, point[1]))
    };
    let row = |point: [f64; 2]| {
        let rate = point[0];
        std::iter::once(whole(rate)).chain(names.iter().map(|name| at(name, rate))).collect()
    };
    let rows = points(names[0]).into_iter().map(row).collect();
    let head = ["requests a second", "added, p50", "added, p99", "the proxy's processor time"];
    format!("### Time that one proxy adds, as measured\n\n{}", table(&head, rows))
}

fn slopes(book: &Book, runs: &[Run]) -> String {
    let mut rows = Vec::new();
    for slope in &book.slopes.0 {
        let (Some(spec), false) = (slope.spec(), slope.points.is_empty()) else { continue };
        let sizes = slope.points.iter().map(|point| point[0]);
        let (least, most) = sizes.fold((f64::INFINITY, 0f64), |(least, most), x| (least.min(x), most.max(x)));
        let (line, off) = match slope.fit() {
            Some(fit) => (
                format!(
                    "{} {} {} x",
                    in_unit(spec.unit, fit.base),
                    if fit.rise < 0.0 { "-" } else { "+" },
                    in_unit(spec.unit, fit.rise.abs())
                ),
                format!(
                    "{}, worst {}% of the largest",
                    in_unit(spec.unit, fit.residual),
                    number(fit.worst * 100.0)
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
            format!("{} to {} {}", whole(least), whole(most), spec.x),
            line,
            off,
            run_of(slope, runs),
        ]);
    }
    let head = ["slope", "of what", "points", "measured at", "line", "residual", "run"];
    format!("### Slopes\n\n{}", table(&head, rows))
}

fn run_table(runs: &[Run]) -> String {
    let row = |(at, run): (usize, &Run)| {
        vec![
            (at + 1).to_string(),
            format!("`{}`", run.command),
            run.date.clone(),
            run.build.clone(),
            run.note.clone(),
        ]
    };
    let rows = runs.iter().enumerate().map(row).collect();
    format!("### Runs\n\n{}", table(&["run", "command", "date", "build", "note"], rows))
}
