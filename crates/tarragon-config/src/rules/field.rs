//! The `key=value` fields of a rule.

use tarragon_protocol::prelude::*;

use super::line::{RuleLine, Word};

#[derive(Debug, Clone, Copy)]
struct Field<'a> {
    key: Word<'a>,
    value: Word<'a>,
    used: bool,
}

/// Reads the fields of one rule and collects what is wrong with them. Every key that is asked for is a
/// known key; whatever remains at the end is unknown.
pub(super) struct FieldReader<'l, 'a> {
    line: &'l RuleLine<'a>,
    fields: Vec<Field<'a>>,
    known: Vec<&'static str>,
    findings: FindingList,
}

impl<'l, 'a> FieldReader<'l, 'a> {
    /// Takes all words after the kind and the name.
    pub(super) fn new(line: &'l RuleLine<'a>) -> FieldReader<'l, 'a> {
        let mut reader = FieldReader {
            line,
            fields: Vec::new(),
            known: Vec::new(),
            findings: FindingList::default(),
        };
        for word in line.words.iter().skip(2) {
            reader.add_word(*word);
        }
        reader
    }

    fn add_word(&mut self, word: Word<'a>) {
        let Some((key, value)) = word.text.split_once('=') else {
            let message = format!("`{}` is not a field", word.text);
            let help = "write key=value without spaces, and the comment after #";
            self.findings.push(self.line.finding(word, message, help));
            return;
        };
        let key = Word { text: key, start: word.start };
        let value = Word { text: value, start: word.start + key.text.len() + 1 };
        if self.fields.iter().any(|field| field.key.text == key.text) {
            let message = format!("`{}` is given twice", key.text);
            self.findings.push(self.line.finding(word, message, "keep one of them"));
            return;
        }
        self.fields.push(Field { key, value, used: false });
    }

    /// A field that may be absent. `expected` says what to write.
    pub(super) fn optional<T, P>(
        &mut self,
        key: &'static str,
        expected: &str,
        parse: P,
    ) -> Option<T>
    where
        P: FnOnce(&str) -> Option<T>,
    {
        self.known.push(key);
        let field = self.fields.iter_mut().find(|field| field.key.text == key)?;
        field.used = true;
        let value = field.value;
        let parsed = parse(value.text);
        if parsed.is_none() {
            let message = format!("`{}` is not a valid value of `{key}`", value.text);
            let word = if value.text.is_empty() { field.key } else { value };
            let help = format!("write {key}={expected}");
            self.findings.push(self.line.finding(word, message, help));
        }
        parsed
    }

    /// A field that must be present.
    pub(super) fn required<T, P>(
        &mut self,
        key: &'static str,
        expected: &str,
        parse: P,
    ) -> Option<T>
    where
        P: FnOnce(&str) -> Option<T>,
    {
        if !self.fields.iter().any(|field| field.key.text == key) {
            let message = format!("`{key}` is missing");
            let help = format!("add {key}={expected}");
            self.findings.push(self.line.finding(self.line.whole(), message, help));
        }
        self.optional(key, expected, parse)
    }

    /// Reports unknown keys and returns all findings.
    pub(super) fn finish(mut self) -> FindingList {
        for field in self.fields.iter().filter(|field| !field.used) {
            let message = format!("unknown key `{}`", field.key.text);
            let help = format!("the keys of this rule are {}", self.known.join(", "));
            self.findings.push(self.line.finding(field.key, message, help));
        }
        self.findings
    }
}
