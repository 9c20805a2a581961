//! Reads the settings of a section one by one; settings that were never read are reported as unknown.

use pewtergap_time::Span;
use serde_json::{Map, Value as Json};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::net::{IpAddr, SocketAddr};

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Location as `file:line:column`.
    pub at: String,
    pub what: String,
}

/// All errors of a script.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(|fault| format!("{}: {}", fault.at, fault.what)).collect();
        write!(f, "{}", lines.join("\n"))
    }
}

/// A type that a setting can have.
pub trait Setting: Sized {
    /// Description of the expected value, for error messages.
    const EXPECTED: &'static str;
    fn parse(value: &Json) -> Option<Self>;
    /// Replaces an invalid value while the remaining settings are checked.
    fn placeholder() -> Self;
}

impl Setting for Span {
    const EXPECTED: &'static str = "a span like \"250ms\", \"2s\" or \"1m\"";
    fn parse(value: &Json) -> Option<Span> {
        let text = value.as_str()?;
        let at = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
        let number: f64 = text[..at].parse().ok()?;
        let unit = match text[at..].trim() {
            "us" => 1e-6,
            "ms" => 1e-3,
            "s" => 1.0,
            "m" => 60.0,
            "h" => 3600.0,
            _ => return None,
        };
        Some(Span::of_seconds(number * unit)).filter(|span| number == 0.0 || span.0 > 0)
    }
    fn placeholder() -> Span {
        Span::millis(1)
    }
}

impl Setting for f64 {
    const EXPECTED: &'static str = "a number of 0 or more";
    fn parse(value: &Json) -> Option<f64> {
        value.as_f64().filter(|n| n.is_finite() && *n >= 0.0)
    }
    fn placeholder() -> f64 {
        1.0
    }
}

/// A fraction between 0 and 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fraction(pub f64);

impl Setting for Fraction {
    const EXPECTED: &'static str = "a part between 0 and 1";
    fn parse(value: &Json) -> Option<Fraction> {
        value.as_f64().filter(|n| (0.0..=1.0).contains(n)).map(Fraction)
    }
    fn placeholder() -> Fraction {
        Fraction(1.0)
    }
}

impl Setting for u64 {
    const EXPECTED: &'static str = "a whole number of 0 or more";
    fn parse(value: &Json) -> Option<u64> {
        value.as_u64()
    }
    fn placeholder() -> u64 {
        1
    }
}

impl Setting for usize {
    const EXPECTED: &'static str = "a whole number of 1 or more";
    fn parse(value: &Json) -> Option<usize> {
        value.as_u64().filter(|n| *n > 0).map(|n| n as usize)
    }
    fn placeholder() -> usize {
        1
    }
}

impl Setting for bool {
    const EXPECTED: &'static str = "True or False";
    fn parse(value: &Json) -> Option<bool> {
        value.as_bool()
    }
    fn placeholder() -> bool {
        false
    }
}

impl Setting for String {
    const EXPECTED: &'static str = "a text of 1 to 200 characters";
    fn parse(value: &Json) -> Option<String> {
        value.as_str().filter(|text| !text.is_empty() && text.len() <= 200).map(str::to_string)
    }
    fn placeholder() -> String {
        "?".into()
    }
}

impl Setting for SocketAddr {
    const EXPECTED: &'static str = "an address and port like \"127.0.0.1:8080\"";
    fn parse(value: &Json) -> Option<SocketAddr> {
        value.as_str()?.parse().ok()
    }
    fn placeholder() -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], 0))
    }
}

impl Setting for IpAddr {
    const EXPECTED: &'static str = "an address like \"127.0.0.1\"";
    fn parse(value: &Json) -> Option<IpAddr> {
        value.as_str()?.parse().ok()
    }
    fn placeholder() -> IpAddr {
        IpAddr::from([127, 0, 0, 1])
    }
}

impl<T: Setting> Setting for Vec<T> {
    const EXPECTED: &'static str = T::EXPECTED;
    fn parse(value: &Json) -> Option<Vec<T>> {
        value.as_array()?.iter().map(T::parse).collect()
    }
    fn placeholder() -> Vec<T> {
        Vec::new()
    }
}

/// The settings given in one call of the script.
pub struct Section<'a> {
    map: &'a Map<String, Json>,
    faults: &'a RefCell<Vec<Fault>>,
    known: RefCell<BTreeSet<String>>,
}

impl<'a> Section<'a> {
    pub fn new(map: &'a Map<String, Json>, faults: &'a RefCell<Vec<Fault>>) -> Section<'a> {
        Section { map, faults, known: RefCell::new(BTreeSet::new()) }
    }

    pub fn kind(&self) -> &'a str {
        self.map.get("$kind").and_then(Json::as_str).unwrap_or("?")
    }

    fn at(&self, name: &str) -> String {
        let at = self.map.get(&format!("$at {name}")).or(self.map.get("$at"));
        at.and_then(Json::as_str).unwrap_or("?").to_string()
    }

    /// Reports an error in a setting.
    pub fn error(&self, name: &str, what: impl fmt::Display) {
        let what = format!("{}(): {name}: {what}", self.kind());
        self.faults.borrow_mut().push(Fault { at: self.at(name), what });
    }

    /// Reports settings that are valid on their own but not together. Ignored if other errors were reported, since
    /// placeholders could conflict for no reason.
    pub fn conflict(&self, name: &str, what: impl fmt::Display) {
        if self.faults.borrow().is_empty() {
            self.error(name, what);
        }
    }

    fn find(&self, name: &str) -> Option<&'a Json> {
        self.known.borrow_mut().insert(name.into());
        self.map.get(name).filter(|value| !value.is_null())
    }

    pub fn optional<T: Setting>(&self, name: &str) -> Option<T> {
        let value = self.find(name)?;
        let read = T::parse(value);
        if read.is_none() {
            let list_prefix = if value.is_array() { "a list, each " } else { "" };
            self.error(name, format!("expected {list_prefix}{}, found {}", T::EXPECTED, render(value)));
        }
        Some(read.unwrap_or_else(T::placeholder))
    }

    pub fn or_default<T: Setting>(&self, name: &str, default: T) -> T {
        self.optional(name).unwrap_or(default)
    }

    pub fn required<T: Setting>(&self, name: &str) -> T {
        self.optional(name).unwrap_or_else(|| {
            self.error(name, format!("is missing, expected {}", T::EXPECTED));
            T::placeholder()
        })
    }

    /// A setting with a fixed set of words as values; the first is the default.
    pub fn choice<T: Copy>(&self, name: &str, words: &[(&str, T)]) -> T {
        let default = words[0].1;
        let Some(value) = self.find(name) else { return default };
        let found = words.iter().find(|word| value.as_str() == Some(word.0));
        found.map_or_else(
            || {
                let names: Vec<String> = words.iter().map(|word| format!("\"{}\"", word.0)).collect();
                self.error(name, format!("expected one of {}, found {}", names.join(", "), render(value)));
                default
            },
            |word| word.1,
        )
    }

    fn subsection(&self, name: &str, kinds: &[&str], value: &'a Json) -> Option<Section<'a>> {
        let map = value.as_object().filter(|map| {
            let kind = map.get("$kind").and_then(Json::as_str);
            kind.is_some_and(|kind| kinds.contains(&kind))
        });
        if map.is_none() {
            let calls: Vec<String> = kinds.iter().map(|kind| format!("{kind}()")).collect();
            self.error(name, format!("expected {}, found {}", calls.join(" or "), render(value)));
        }
        map.map(|map| Section::new(map, self.faults))
    }

    /// An optional section; if it is missing, `read` is called with an empty one.
    pub fn part_or_default<T>(&self, name: &str, kind: &str, read: impl FnOnce(&Section) -> T) -> T {
        let empty = Map::from_iter([
            ("$kind".to_string(), Json::from(kind)),
            ("$at".to_string(), Json::from(self.at(name))),
        ]);
        let found = self.find(name).and_then(|value| self.subsection(name, &[kind], value));
        let section = found.unwrap_or_else(|| Section::new(&empty, self.faults));
        let value = read(&section);
        section.done();
        value
    }

    /// An optional section.
    pub fn optional_part<T>(&self, name: &str, kind: &str, read: impl FnOnce(&Section) -> T) -> Option<T> {
        self.find(name)?;
        Some(self.part_or_default(name, kind, read))
    }

    /// A required section of one of the given kinds.
    pub fn required_part<T>(
        &self,
        name: &str,
        kinds: &[&str],
        read: impl FnOnce(&Section) -> T,
    ) -> Option<T> {
        let Some(value) = self.find(name) else {
            let calls: Vec<String> = kinds.iter().map(|kind| format!("{kind}()")).collect();
            self.error(name, format!("is missing, expected {}", calls.join(" or ")));
            return None;
        };
        let section = self.subsection(name, kinds, value)?;
        let value = read(&section);
        section.done();
        Some(value)
    }

    /// A list of sections of one kind.
    pub fn parts<T>(&self, name: &str, kind: &str, mut read: impl FnMut(&Section) -> T) -> Vec<T> {
        let Some(value) = self.find(name) else { return Vec::new() };
        let Some(list) = value.as_array() else {
            self.error(name, format!("expected a list of {kind}(), found {}", render(value)));
            return Vec::new();
        };
        let mut sections = Vec::new();
        for section in list.iter().filter_map(|value| self.subsection(name, &[kind], value)) {
            sections.push(read(&section));
            section.done();
        }
        sections
    }

    /// Reports settings that were never read as unknown, with the closest known name.
    pub fn done(&self) {
        let known = self.known.borrow();
        for name in self.map.keys().filter(|name| !name.starts_with('$') && !known.contains(*name)) {
            let closest = known.iter().map(|k| (strsim::damerau_levenshtein(k, name), k)).min();
            let hint = closest
                .filter(|closest| closest.0 <= 2)
                .map(|closest| format!(", is \"{}\" meant?", closest.1));
            let names: Vec<&str> = known.iter().map(String::as_str).collect();
            let rest = hint.unwrap_or_else(|| format!(", known are {}", names.join(", ")));
            self.error(name, format!("there is no such setting{rest}"));
        }
    }
}

fn render(value: &Json) -> String {
    if let Some(kind) = value.get("$kind").and_then(Json::as_str) {
        return format!("{kind}()");
    }
    let text = value.to_string();
    let short: String = text.chars().take(60).collect();
    if short.len() < text.len() {
        format!("{short}...")
    } else {
        text
    }
}
