//! Runs a script and returns its final value, with the source location of each section.

use crate::read::{Fault, Faults, Section};
use serde_json::{Map, Value as Json};
use starlark::environment::{FrozenModule, GlobalsBuilder, LibraryExtension, Module};
use starlark::eval::Evaluator;
use starlark::starlark_module;
use starlark::syntax::{AstModule, Dialect};
use starlark::values::Value;
use std::cell::RefCell;

/// The kinds of sections, each a function in the script. A positional argument is the section's `name`.
const KINDS: &[&str] = &[
    "service",
    "control_machine",
    "proxy",
    "day",
    "route",
    "list_watch",
    "list_file",
    "fleet",
    "channel",
    "rules",
    "probes",
    "reports",
    "cluster",
    "duties",
    "books",
    "sharing",
    "member",
    "watches",
    "watch",
    "machine",
    "shunning",
    "servers",
    "calls",
    "trouble",
];

/// Maximum evaluation steps: enough for any settings, and a bound for infinite loops.
const MAX_TICKS: u64 = 50_000_000;

#[starlark_module]
fn constructors(builder: &mut GlobalsBuilder) {
    fn _make<'v>(
        #[starlark(require = pos)] kind: &str,
        #[starlark(require = pos)] args: Value<'v>,
        #[starlark(require = pos)] named: Value<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<Value<'v>> {
        let mut section = match named.to_json_value()? {
            Json::Object(named) => named,
            _ => Map::new(),
        };
        if let Json::Array(args) = args.to_json_value()? {
            if args.len() > 1 {
                anyhow::bail!("{kind}(): one argument without a name at most, its name");
            }
            if let Some(name) = args.into_iter().next() {
                section.insert("name".into(), name);
            }
        }
        // The next frame of the call stack is the call in the script.
        if let Some(span) = eval.call_stack_nth_location(1) {
            let text = span.source_span().to_string();
            let begin = span.resolve_span().begin;
            let file = span.filename();
            let at = |line: usize, column: usize| format!("{file}:{}:{}", line + 1, column + 1);
            for name in section.keys().cloned().collect::<Vec<_>>() {
                if let Some((line, column)) = argument_position(&text, &name) {
                    let column = if line == 0 { begin.column + column } else { column };
                    section.insert(format!("$at {name}"), Json::from(at(begin.line + line, column)));
                }
            }
            section.insert("$at".into(), Json::from(at(begin.line, begin.column)));
        }
        section.insert("$kind".into(), Json::from(kind));
        Ok(eval.heap().alloc(Json::Object(section)))
    }
}

/// Line and column of a named argument within the text of a call, ignoring nested calls.
fn argument_position(text: &str, name: &str) -> Option<(usize, usize)> {
    let (mut depth, mut line, mut from, mut quoted) = (0, 0, 0, None);
    for (at, c) in text.char_indices() {
        match (c, quoted) {
            ('\n', _) => (line, from) = (line + 1, at + 1),
            (c, Some(q)) if c == q => quoted = None,
            (_, Some(_)) => {}
            ('"' | '\'', None) => quoted = Some(c),
            ('(' | '[' | '{', None) => depth += 1,
            (')' | ']' | '}', None) => depth -= 1,
            _ => {}
        }
        let before = text[..at].chars().next_back().unwrap_or(' ');
        let starts = depth == 1 && quoted.is_none() && !before.is_alphanumeric() && before != '_';
        if starts && text[at..].starts_with(name) {
            let rest = text[at + name.len()..].trim_start();
            if rest.starts_with('=') && !rest.starts_with("==") {
                return Some((line, at - from));
            }
        }
    }
    None
}

/// The final value of a script.
pub struct Script {
    file: String,
    value: Json,
    faults: RefCell<Vec<Fault>>,
}

fn prelude() -> Result<FrozenModule, starlark::Error> {
    let text: String = KINDS
        .iter()
        .map(|kind| format!("def {kind}(*args, **named):\n    return _make(\"{kind}\", args, named)\n"))
        .collect();
    let ast = AstModule::parse("prelude", text, &Dialect::Extended)?;
    let globals = GlobalsBuilder::extended_by(&[LibraryExtension::Json]).with(constructors).build();
    Module::with_temp_heap(|module| {
        Evaluator::new(&module).eval_module(ast, &globals)?;
        Ok(module.freeze()?)
    })
}

fn to_setting_errors(file: &str, e: &starlark::Error) -> Faults {
    let at = match e.span() {
        Some(span) => {
            let begin = span.resolve_span().begin;
            format!("{}:{}:{}", span.filename(), begin.line + 1, begin.column + 1)
        }
        None => file.to_string(),
    };
    let what = e.without_diagnostic().to_string().lines().next().unwrap_or("").to_string();
    Faults(vec![Fault { at, what }])
}

/// Runs a script; `file` is its name in error messages.
pub fn run(file: &str, text: &str) -> Result<Script, Faults> {
    let to_errors = |e: starlark::Error| to_setting_errors(file, &e);
    let prelude = prelude().map_err(to_errors)?;
    let ast = AstModule::parse(file, text.to_string(), &Dialect::Extended).map_err(to_errors)?;
    let globals = GlobalsBuilder::extended_by(&[LibraryExtension::Print]).build();
    let value = Module::with_temp_heap(|module| {
        module.import_public_symbols(&prelude);
        let mut eval = Evaluator::new(&module);
        eval.set_max_tick_count(MAX_TICKS)?;
        Ok(eval.eval_module(ast, &globals)?.to_json_value()?)
    });
    let value = value.map_err(to_errors)?;
    Ok(Script { file: file.into(), value, faults: RefCell::new(Vec::new()) })
}

impl Script {
    /// The kind of the script's final call.
    pub fn kind(&self) -> &str {
        self.value.get("$kind").and_then(Json::as_str).unwrap_or("")
    }

    /// Reads the final call as a section of this kind; `read` reads its settings. Reports all errors at once.
    pub fn as_kind<T>(&self, kind: &str, read: impl FnOnce(&Section) -> T) -> Result<T, Faults> {
        let error = |what: String| Faults(vec![Fault { at: format!("{}:1:1", self.file), what }]);
        let Some(map) = self.value.as_object().filter(|_| self.kind() == kind) else {
            let found =
                if self.kind().is_empty() { "something else".into() } else { format!("{}()", self.kind()) };
            return Err(error(format!("the script must end with a call of {kind}(), it ends with {found}")));
        };
        let section = Section::new(map, &self.faults);
        let value = read(&section);
        section.done();
        let faults = self.faults.take();
        if faults.is_empty() {
            Ok(value)
        } else {
            Err(Faults(faults))
        }
    }
}
