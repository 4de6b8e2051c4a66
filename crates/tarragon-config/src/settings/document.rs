//! Typed access to a JSON document with comments. Each error gives a finding, and reading continues.

use std::{net::SocketAddr, ops::RangeInclusive, time::Duration};

use jsonc_parser::{
    ParseOptions,
    ast::{Object, ObjectProp, Value},
    common::{Range, Ranged},
    parse_to_ast,
};
use tarragon_protocol::prelude::*;

/// A source text with the findings about it.
pub(super) struct Document<'a> {
    source: &'a str,
    text: &'a str,
    findings: FindingList,
}

impl<'a> Document<'a> {
    pub(super) fn new(source: &'a str, text: &'a str) -> Document<'a> {
        Document { source, text, findings: FindingList::default() }
    }

    /// Parses the text and returns the top-level object. A text that is not a JSON object gives a finding.
    pub(super) fn parse(&mut self) -> Option<Object<'a>> {
        let options = ParseOptions {
            allow_comments: true,
            allow_loose_object_property_names: false,
            allow_trailing_commas: true,
        };
        match parse_to_ast(self.text, &Default::default(), &options) {
            Ok(result) => match result.value {
                Some(Value::Object(object)) => return Some(object),
                Some(other) => self.add(other.range(), "not a JSON object", "write { … }"),
                None => self.add(Range::new(0, 0), "the settings are empty", "write { … }"),
            },
            Err(error) => {
                let message = format!("not JSON with comments: {}", error.kind());
                self.add(error.range(), message, "correct the syntax at this place");
            }
        }
        None
    }

    /// Adds a finding at a range of the text.
    pub(super) fn add(
        &mut self,
        range: Range,
        message: impl Into<String>,
        help: impl Into<String>,
    ) {
        let location = locate(self.source, self.text, range);
        self.findings.push(Finding { location, message: message.into(), help: help.into() });
    }

    /// Adds a finding at a value.
    pub(super) fn add_at_value(
        &mut self,
        value: &Value<'a>,
        message: impl Into<String>,
        help: impl Into<String>,
    ) {
        self.add(value.range(), message, help);
    }

    /// Returns all findings, in the order of the text.
    pub(super) fn finish(mut self) -> FindingList {
        self.findings.findings.sort_by_key(|finding| finding.location.span);
        self.findings
    }
}

fn locate(source: &str, text: &str, range: Range) -> SourceLocation {
    let start = range.start.min(text.len());
    let before = text.get(..start).unwrap_or_default();
    let line_start = before.rfind('\n').map_or(0, |index| index + 1);
    let one_based = |number: usize| u32::try_from(number).unwrap_or(u32::MAX).saturating_add(1);
    SourceLocation {
        source: source.to_owned(),
        line: one_based(before.matches('\n').count()),
        column: one_based(before[line_start..].chars().count()),
        span: (start, range.end.min(text.len()).saturating_sub(start)),
    }
}

/// Reads the properties of one object. Each name that is read counts as known; [`finish`](Self::finish) reports
/// all others.
pub(super) struct ObjectReader<'o, 'a> {
    object: &'o Object<'a>,
    known_names: Vec<&'static str>,
}

impl<'o, 'a> ObjectReader<'o, 'a> {
    pub(super) fn new(object: &'o Object<'a>) -> ObjectReader<'o, 'a> {
        ObjectReader { object, known_names: Vec::new() }
    }

    /// The range at which findings about missing properties are reported.
    pub(super) fn range(&self) -> Range {
        // Only the opening brace, since a label over the whole object would hide other labels.
        Range::new(self.object.range.start, self.object.range.start + 1)
    }

    /// Returns a property that may be absent.
    pub(super) fn optional(&mut self, name: &'static str) -> Option<&'o ObjectProp<'a>> {
        self.known_names.push(name);
        self.object.properties.iter().find(|property| property.name.as_str() == name)
    }

    /// Returns a property that must be present. `expected` describes a valid value.
    pub(super) fn required(
        &mut self,
        document: &mut Document<'a>,
        name: &'static str,
        expected: &str,
    ) -> Option<&'o ObjectProp<'a>> {
        let property = self.optional(name);
        if property.is_none() {
            let message = format!("`{name}` is missing");
            document.add(self.range(), message, format!("add \"{name}\": {expected}"));
        }
        property
    }

    /// Reports unknown and repeated names.
    pub(super) fn finish(self, document: &mut Document<'a>) {
        for (index, property) in self.object.properties.iter().enumerate() {
            let name = property.name.as_str();
            if !self.known_names.contains(&name) {
                let help = format!("the keys here are {}", self.known_names.join(", "));
                document.add(property.name.range(), format!("unknown key `{name}`"), help);
            } else if self.object.properties[..index]
                .iter()
                .any(|other| other.name.as_str() == name)
            {
                let message = format!("`{name}` is given twice");
                document.add(property.name.range(), message, "keep one of them");
            }
        }
    }
}

/// Reads a string that `parse` accepts. `expected` describes a valid value.
pub(super) fn text_value<'a, T, P>(
    document: &mut Document<'a>,
    value: &Value<'a>,
    expected: &str,
    parse: P,
) -> Option<T>
where
    P: FnOnce(&str) -> Option<T>,
{
    let text = value.as_string_lit();
    let parsed = text.and_then(|text| parse(&text.value));
    if parsed.is_none() {
        let message = match text {
            Some(_) => "not a valid value",
            None => "not a string",
        };
        document.add(value.range(), message, format!("write {expected}"));
    }
    parsed
}

/// Reads a name, with the same syntax as in the rules.
pub(super) fn name_value<'a>(document: &mut Document<'a>, value: &Value<'a>) -> Option<String> {
    text_value(document, value, crate::rules::NAME_HELP, |text| {
        crate::rules::is_name(text).then(|| text.to_owned())
    })
}

/// Reads an IP address with a port. Host names are not accepted, so that no process depends on DNS.
pub(super) fn address_value<'a>(
    document: &mut Document<'a>,
    value: &Value<'a>,
) -> Option<SocketAddr> {
    text_value(document, value, "\"IP:PORT\", for example \"127.0.0.1:8080\"", |text| {
        text.parse().ok()
    })
}

/// Reads a whole number in a range.
pub(super) fn number_value<'a>(
    document: &mut Document<'a>,
    value: &Value<'a>,
    range: RangeInclusive<u64>,
) -> Option<u64> {
    let number = value.as_number_lit().and_then(|number| number.value.parse::<u64>().ok());
    let number = number.filter(|number| range.contains(number));
    if number.is_none() {
        let help = format!("write a whole number from {} to {}", range.start(), range.end());
        document.add(value.range(), "not a valid number", help);
    }
    number
}

/// Reads a number that is not negative.
pub(super) fn non_negative_value<'a>(
    document: &mut Document<'a>,
    value: &Value<'a>,
) -> Option<f64> {
    let number = value.as_number_lit().and_then(|number| number.value.parse::<f64>().ok());
    let number = number.filter(|number| number.is_finite() && *number >= 0.0);
    if number.is_none() {
        document.add(value.range(), "not a valid number", "write a number from 0 on");
    }
    number
}

/// Reads a duration in milliseconds.
pub(super) fn duration_value<'a>(
    document: &mut Document<'a>,
    value: &Value<'a>,
    range_ms: RangeInclusive<u64>,
) -> Option<Duration> {
    number_value(document, value, range_ms).map(Duration::from_millis)
}

/// Reads a list and returns its elements.
pub(super) fn list_value<'o, 'a>(
    document: &mut Document<'a>,
    value: &'o Value<'a>,
    expected: &str,
) -> &'o [Value<'a>] {
    match value.as_array() {
        Some(array) => &array.elements,
        None => {
            document.add(value.range(), "not a list", format!("write {expected}"));
            &[]
        }
    }
}

/// Reads an object.
pub(super) fn object_value<'o, 'a>(
    document: &mut Document<'a>,
    value: &'o Value<'a>,
    expected: &str,
) -> Option<&'o Object<'a>> {
    let object = value.as_object();
    if object.is_none() {
        document.add(value.range(), "not an object", format!("write {expected}"));
    }
    object
}
