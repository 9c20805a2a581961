//! Reads a TOML file of targets or slopes and reports all errors at once, each with file, line and field.

use std::cell::RefCell;
use std::fmt;
use std::ops::{Range, RangeInclusive};
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// One error in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileError {
    pub file: String,
    /// Counted from 1.
    pub line: usize,
    /// The field with its enclosing sections, also if it is missing; empty if the file is not valid TOML.
    pub field: String,
    pub message: String,
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        f.write_str(&self.message)
    }
}

/// All errors in a file, ordered by line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileErrors(pub Vec<FileError>);

impl fmt::Display for FileErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for FileErrors {}

/// The text of a file and the errors found in it so far.
pub(crate) struct Source<'a> {
    file: &'a str,
    text: &'a str,
    errors: RefCell<Vec<FileError>>,
}

impl<'a> Source<'a> {
    fn line(&self, offset: usize) -> usize {
        1 + self.text.bytes().take(offset).filter(|byte| *byte == b'\n').count()
    }

    pub fn error(&self, offset: usize, field: &str, message: impl Into<String>) {
        let error = FileError {
            file: self.file.into(),
            line: self.line(offset),
            field: field.into(),
            message: message.into(),
        };
        self.errors.borrow_mut().push(error);
    }
}

/// Parses `text` and reads it with `read_fields`, whose result is returned if there were no errors.
pub(crate) fn parse<T>(
    file: &str,
    text: &str,
    read_fields: impl for<'a> FnOnce(&mut TableReader<'a>) -> T,
) -> Result<T, FileErrors> {
    let source = Source { file, text, errors: RefCell::default() };
    let result = match DeTable::parse(text) {
        Ok(table) => {
            let mut reader = TableReader::new(&source, String::new(), 0..0, table.get_ref());
            let result = read_fields(&mut reader);
            reader.finish();
            Some(result)
        }
        Err(e) => {
            source.error(e.span().map_or(0, |span| span.start), "", e.message());
            None
        }
    };
    let mut errors = source.errors.into_inner();
    errors.sort_by_key(|error| error.line);
    result.filter(|_| errors.is_empty()).ok_or(FileErrors(errors))
}

/// Reads one table of a file. Fields that were never requested are errors.
pub(crate) struct TableReader<'a> {
    source: &'a Source<'a>,
    path: String,
    span: Range<usize>,
    table: &'a DeTable<'a>,
    requested: Vec<String>,
}

impl<'a> TableReader<'a> {
    fn new(
        source: &'a Source<'a>,
        path: String,
        span: Range<usize>,
        table: &'a DeTable<'a>,
    ) -> TableReader<'a> {
        TableReader { source, path, span, table, requested: Vec::new() }
    }

    /// The name of the field with its enclosing sections.
    pub fn field_path(&self, name: &str) -> String {
        if self.path.is_empty() {
            name.into()
        } else {
            format!("{}.{name}", self.path)
        }
    }

    /// Adds `name` to the path of this table in later errors, for list elements that have a name.
    pub fn set_name(&mut self, name: &str) {
        self.path = format!("{}({name})", self.path);
    }

    fn find(&mut self, name: &str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.requested.push(name.into());
        let found = self.table.iter().find(|(key, _)| key.get_ref().as_ref() == name);
        found.map(|(_, value)| value)
    }

    fn require(&mut self, name: &str) -> Option<&'a Spanned<DeValue<'a>>> {
        let found = self.find(name);
        if found.is_none() {
            self.source.error(self.span.start, &self.field_path(name), "is missing");
        }
        found
    }

    /// Reports an error at a field, or at its table if the field is missing.
    pub fn error(&self, name: &str, message: impl Into<String>) {
        let found = self.table.iter().find(|(key, _)| key.get_ref().as_ref() == name);
        let offset = found.map_or(self.span.start, |(_, value)| value.span().start);
        self.source.error(offset, &self.field_path(name), message);
    }

    /// Whether there are no errors so far. Only then are the values real and may be checked against each other.
    pub fn is_valid(&self) -> bool {
        self.source.errors.borrow().is_empty()
    }

    /// A number within `range`. The placeholder returned for an invalid one is never used.
    pub fn number(&mut self, name: &str, range: RangeInclusive<f64>) -> f64 {
        let Some(value) = self.require(name) else { return 1.0 };
        self.check_range(name, value, &range)
    }

    /// A whole number within `range`.
    pub fn count(&mut self, name: &str, range: RangeInclusive<f64>) -> f64 {
        let value = self.number(name, range);
        if value.fract() != 0.0 {
            self.error(name, format!("a whole number was expected, {value} came"));
        }
        value
    }

    fn check_range(&self, name: &str, value: &Spanned<DeValue<'_>>, range: &RangeInclusive<f64>) -> f64 {
        let fail = |message: String| {
            self.source.error(value.span().start, &self.field_path(name), message);
            1.0
        };
        let Some(number) = finite_number(value.get_ref()) else {
            return fail(format!("a number was expected, {} came", value.get_ref().type_str()));
        };
        if !range.contains(&number) {
            return fail(format!(
                "between {} and {} was expected, {number} came",
                range.start(),
                range.end()
            ));
        }
        number
    }

    /// Two different numbers.
    pub fn pair(&mut self, name: &str, range: RangeInclusive<f64>) -> [f64; 2] {
        let Some(value) = self.require(name) else { return [1.0, 1.0] };
        let Some([first, second]) =
            value.get_ref().as_array().and_then(|items| items.get(0..2).filter(|_| items.len() == 2))
        else {
            self.error(name, "two values were expected, [a, b]");
            return [1.0, 1.0];
        };
        let values = [first, second].map(|value| self.check_range(name, value, &range));
        if values[0] == values[1] {
            self.error(name, "two values that differ were expected: the page has its figures at both");
        }
        values
    }

    /// A non-empty string.
    pub fn text(&mut self, name: &str) -> String {
        let Some(value) = self.require(name) else { return String::new() };
        match value.get_ref().as_str() {
            Some(text) if !text.trim().is_empty() => text.into(),
            Some(_) => {
                self.error(name, "is empty");
                String::new()
            }
            None => {
                self.error(name, format!("a text was expected, {} came", value.get_ref().type_str()));
                String::new()
            }
        }
    }

    /// A string that may be missing; empty then.
    pub fn optional_text(&mut self, name: &str) -> String {
        if self.find(name).is_some() {
            self.text(name)
        } else {
            String::new()
        }
    }

    /// A TOML local date.
    pub fn date(&mut self, name: &str) -> String {
        let Some(value) = self.require(name) else { return String::new() };
        match value
            .get_ref()
            .as_datetime()
            .filter(|datetime| datetime.date.is_some() && datetime.time.is_none())
        {
            Some(datetime) => datetime.to_string(),
            None => {
                self.error(name, "a date was expected, 2026-12-31");
                String::new()
            }
        }
    }

    /// Points `[size, value]`, where the value is at least `min`.
    pub fn points(&mut self, name: &str, min: f64) -> Vec<[f64; 2]> {
        let Some(value) = self.require(name) else { return Vec::new() };
        let Some(items) = value.get_ref().as_array() else {
            self.error(name, "a list of points was expected, [[x, y], ...]");
            return Vec::new();
        };
        let mut points = Vec::new();
        for point in items.iter() {
            let Some([x, y]) =
                point.get_ref().as_array().and_then(|values| values.get(0..2).filter(|_| values.len() == 2))
            else {
                self.source.error(point.span().start, &self.field_path(name), "a point was expected, [x, y]");
                continue;
            };
            points.push([self.check_range(name, x, &(0.0..=1e18)), self.check_range(name, y, &(min..=1e18))]);
        }
        points
    }

    pub fn section<T>(
        &mut self,
        name: &str,
        read_fields: impl FnOnce(&mut TableReader<'a>) -> T,
    ) -> Option<T> {
        let value = self.require(name)?;
        let Some(table) = value.get_ref().as_table() else {
            self.error(name, "a section was expected");
            return None;
        };
        let mut reader = TableReader::new(self.source, self.field_path(name), value.span(), table);
        let result = read_fields(&mut reader);
        reader.finish();
        Some(result)
    }

    /// All elements of the array of tables `[[name]]`.
    pub fn sections<T>(
        &mut self,
        name: &str,
        mut read_fields: impl FnMut(&mut TableReader<'a>) -> T,
    ) -> Vec<T> {
        let Some(value) = self.require(name) else { return Vec::new() };
        let Some(items) = value.get_ref().as_array() else {
            self.error(name, format!("sections were expected, [[{name}]]"));
            return Vec::new();
        };
        let mut results = Vec::new();
        for item in items.iter() {
            let Some(table) = item.get_ref().as_table() else {
                self.source.error(item.span().start, &self.field_path(name), "a section was expected");
                continue;
            };
            let mut reader = TableReader::new(self.source, self.field_path(name), item.span(), table);
            results.push(read_fields(&mut reader));
            reader.finish();
        }
        results
    }

    fn finish(&self) {
        for (key, _) in self.table.iter() {
            if !self.requested.iter().any(|requested| requested == key.get_ref().as_ref()) {
                self.source.error(
                    key.span().start,
                    &self.field_path(key.get_ref()),
                    "there is no such field",
                );
            }
        }
    }
}

fn finite_number(value: &DeValue<'_>) -> Option<f64> {
    let number = match value {
        DeValue::Integer(integer) => i64::from_str_radix(integer.as_str(), integer.radix()).ok()? as f64,
        DeValue::Float(float) => float.as_str().parse().ok()?,
        _ => return None,
    };
    number.is_finite().then_some(number)
}
