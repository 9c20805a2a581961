//! Reads a file of sizes or slopes: what is wrong is told with file, line and field, all of it at once.

use std::cell::RefCell;
use std::fmt;
use std::ops::{Range, RangeInclusive};
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// One thing that is wrong in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wrong {
    pub file: String,
    /// From 1.
    pub line: usize,
    /// The field with the sections it stands in, or where it was missed; empty for what is not TOML at all.
    pub field: String,
    pub what: String,
}

impl fmt::Display for Wrong {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(to, "{}:{}: ", self.file, self.line)?;
        if !self.field.is_empty() {
            write!(to, "{}: ", self.field)?;
        }
        to.write_str(&self.what)
    }
}

/// All that is wrong in a file, by line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wrongs(pub Vec<Wrong>);

impl fmt::Display for Wrongs {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        to.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for Wrongs {}

/// The text of a file and what was found wrong in it.
pub(crate) struct Source<'a> {
    file: &'a str,
    text: &'a str,
    wrongs: RefCell<Vec<Wrong>>,
}

impl<'a> Source<'a> {
    fn line(&self, at: usize) -> usize {
        1 + self.text.bytes().take(at).filter(|byte| *byte == b'\n').count()
    }

    pub fn wrong(&self, at: usize, field: &str, what: impl Into<String>) {
        let wrong =
            Wrong { file: self.file.into(), line: self.line(at), field: field.into(), what: what.into() };
        self.wrongs.borrow_mut().push(wrong);
    }
}

/// Reads `text` by `take`; what `take` returns counts if nothing was wrong.
pub(crate) fn read<T>(
    file: &str,
    text: &str,
    take: impl for<'a> FnOnce(&mut Part<'a>) -> T,
) -> Result<T, Wrongs> {
    let source = Source { file, text, wrongs: RefCell::default() };
    let came = match DeTable::parse(text) {
        Ok(table) => {
            let mut part = Part::of(&source, String::new(), 0..0, table.get_ref());
            let came = take(&mut part);
            part.end();
            Some(came)
        }
        Err(e) => {
            source.wrong(e.span().map_or(0, |span| span.start), "", e.message());
            None
        }
    };
    let mut wrongs = source.wrongs.into_inner();
    wrongs.sort_by_key(|wrong| wrong.line);
    came.filter(|_| wrongs.is_empty()).ok_or(Wrongs(wrongs))
}

/// A table of a file; fields that nobody asked for are faults.
pub(crate) struct Part<'a> {
    source: &'a Source<'a>,
    path: String,
    span: Range<usize>,
    table: &'a DeTable<'a>,
    asked: Vec<String>,
}

impl<'a> Part<'a> {
    fn of(source: &'a Source<'a>, path: String, span: Range<usize>, table: &'a DeTable<'a>) -> Part<'a> {
        Part { source, path, span, table, asked: Vec::new() }
    }

    /// The field's name with the sections it stands in.
    pub fn field(&self, name: &str) -> String {
        if self.path.is_empty() {
            name.into()
        } else {
            format!("{}.{name}", self.path)
        }
    }

    /// The part is called by `name` from here on, where a name tells more than a place.
    pub fn called(&mut self, name: &str) {
        self.path = format!("{}({name})", self.path);
    }

    fn find(&mut self, name: &str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.asked.push(name.into());
        let found = self.table.iter().find(|(key, _)| key.get_ref().as_ref() == name);
        found.map(|(_, value)| value)
    }

    fn need(&mut self, name: &str) -> Option<&'a Spanned<DeValue<'a>>> {
        let found = self.find(name);
        if found.is_none() {
            self.source.wrong(self.span.start, &self.field(name), "is missing");
        }
        found
    }

    /// A fault in a field that was read, or in the part where it is missing.
    pub fn wrong(&self, name: &str, what: impl Into<String>) {
        let found = self.table.iter().find(|(key, _)| key.get_ref().as_ref() == name);
        let at = found.map_or(self.span.start, |(_, value)| value.span().start);
        self.source.wrong(at, &self.field(name), what);
    }

    /// Nothing was found wrong so far: what was read is no stand-in, and fields may be held against each other.
    pub fn sound(&self) -> bool {
        self.source.wrongs.borrow().is_empty()
    }

    /// A number within bounds; what stands in for a wrong one is never used.
    pub fn number(&mut self, name: &str, within: RangeInclusive<f64>) -> f64 {
        let Some(value) = self.need(name) else { return 1.0 };
        self.within(name, value, &within)
    }

    /// A whole number within bounds.
    pub fn count(&mut self, name: &str, within: RangeInclusive<f64>) -> f64 {
        let came = self.number(name, within);
        if came.fract() != 0.0 {
            self.wrong(name, format!("a whole number was expected, {came} came"));
        }
        came
    }

    fn within(&self, name: &str, value: &Spanned<DeValue<'_>>, within: &RangeInclusive<f64>) -> f64 {
        let wrong = |what: String| {
            self.source.wrong(value.span().start, &self.field(name), what);
            1.0
        };
        let Some(came) = number(value.get_ref()) else {
            return wrong(format!("a number was expected, {} came", value.get_ref().type_str()));
        };
        if !within.contains(&came) {
            return wrong(format!(
                "between {} and {} was expected, {came} came",
                within.start(),
                within.end()
            ));
        }
        came
    }

    /// Two numbers, not the same.
    pub fn pair(&mut self, name: &str, within: RangeInclusive<f64>) -> [f64; 2] {
        let Some(value) = self.need(name) else { return [1.0, 1.0] };
        let Some([first, second]) =
            value.get_ref().as_array().and_then(|all| all.get(0..2).filter(|_| all.len() == 2))
        else {
            self.wrong(name, "two values were expected, [a, b]");
            return [1.0, 1.0];
        };
        let both = [first, second].map(|value| self.within(name, value, &within));
        if both[0] == both[1] {
            self.wrong(name, "two values that differ were expected: the page has its figures at both");
        }
        both
    }

    /// A text that says something.
    pub fn text(&mut self, name: &str) -> String {
        let Some(value) = self.need(name) else { return String::new() };
        match value.get_ref().as_str() {
            Some(text) if !text.trim().is_empty() => text.into(),
            Some(_) => {
                self.wrong(name, "is empty");
                String::new()
            }
            None => {
                self.wrong(name, format!("a text was expected, {} came", value.get_ref().type_str()));
                String::new()
            }
        }
    }

    /// A text that may be left out.
    pub fn note(&mut self, name: &str) -> String {
        if self.find(name).is_some() {
            self.text(name)
        } else {
            String::new()
        }
    }

    /// A day, as TOML writes one.
    pub fn date(&mut self, name: &str) -> String {
        let Some(value) = self.need(name) else { return String::new() };
        match value.get_ref().as_datetime().filter(|when| when.date.is_some() && when.time.is_none()) {
            Some(when) => when.to_string(),
            None => {
                self.wrong(name, "a date was expected, 2026-12-31");
                String::new()
            }
        }
    }

    /// Points of two numbers each: a size, and what was measured there, `least` or more.
    pub fn points(&mut self, name: &str, least: f64) -> Vec<[f64; 2]> {
        let Some(value) = self.need(name) else { return Vec::new() };
        let Some(all) = value.get_ref().as_array() else {
            self.wrong(name, "a list of points was expected, [[x, y], ...]");
            return Vec::new();
        };
        let mut points = Vec::new();
        for point in all.iter() {
            let Some([x, y]) =
                point.get_ref().as_array().and_then(|both| both.get(0..2).filter(|_| both.len() == 2))
            else {
                self.source.wrong(point.span().start, &self.field(name), "a point was expected, [x, y]");
                continue;
            };
            points.push([self.within(name, x, &(0.0..=1e18)), self.within(name, y, &(least..=1e18))]);
        }
        points
    }

    pub fn part<T>(&mut self, name: &str, take: impl FnOnce(&mut Part<'a>) -> T) -> Option<T> {
        let value = self.need(name)?;
        let Some(table) = value.get_ref().as_table() else {
            self.wrong(name, "a section was expected");
            return None;
        };
        let mut part = Part::of(self.source, self.field(name), value.span(), table);
        let came = take(&mut part);
        part.end();
        Some(came)
    }

    /// All sections of this name, `[[name]]`.
    pub fn parts<T>(&mut self, name: &str, mut take: impl FnMut(&mut Part<'a>) -> T) -> Vec<T> {
        let Some(value) = self.need(name) else { return Vec::new() };
        let Some(all) = value.get_ref().as_array() else {
            self.wrong(name, format!("sections were expected, [[{name}]]"));
            return Vec::new();
        };
        let mut came = Vec::new();
        for one in all.iter() {
            let Some(table) = one.get_ref().as_table() else {
                self.source.wrong(one.span().start, &self.field(name), "a section was expected");
                continue;
            };
            let mut part = Part::of(self.source, self.field(name), one.span(), table);
            came.push(take(&mut part));
            part.end();
        }
        came
    }

    fn end(&self) {
        for (key, _) in self.table.iter() {
            if !self.asked.iter().any(|asked| asked == key.get_ref().as_ref()) {
                self.source.wrong(key.span().start, &self.field(key.get_ref()), "there is no such field");
            }
        }
    }
}

fn number(value: &DeValue<'_>) -> Option<f64> {
    let came = match value {
        DeValue::Integer(whole) => i64::from_str_radix(whole.as_str(), whole.radix()).ok()? as f64,
        DeValue::Float(float) => float.as_str().parse().ok()?,
        _ => return None,
    };
    came.is_finite().then_some(came)
}
