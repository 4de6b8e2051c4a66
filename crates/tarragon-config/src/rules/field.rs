//! The `key=value` fields of a rule.

use tarragon_protocol::prelude::*;

use super::line::{RuleLine, Word};

#[derive(Debug, Clone, Copy)]
struct Field<'a> {
    key: Word<'a>,
    value: Word<'a>,
    used: bool,
}

/// Parses the fields of one rule and collects findings about them. Each key that is read counts as known;
/// fields that were never read are reported as unknown by [`finish`](Self::finish).
pub(super) struct FieldReader<'l, 'a> {
    line: &'l RuleLine<'a>,
    fields: Vec<Field<'a>>,
    known_keys: Vec<&'static str>,
    findings: FindingList,
}

impl<'l, 'a> FieldReader<'l, 'a> {
    /// Creates a reader of all words after the kind and the name.
    pub(super) fn new(line: &'l RuleLine<'a>) -> FieldReader<'l, 'a> {
        let mut reader = FieldReader {
            line,
            fields: Vec::new(),
            known_keys: Vec::new(),
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

    /// Reads a field that may be absent. `expected` describes a valid value, for the hint of a finding.
    pub(super) fn optional<T, P>(
        &mut self,
        key: &'static str,
        expected: &str,
        parse: P,
    ) -> Option<T>
    where
        P: FnOnce(&str) -> Option<T>,
    {
        self.known_keys.push(key);
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

    /// Reads a field that must be present. `expected` is as in [`optional`](Self::optional).
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
            self.findings.push(self.line.finding(self.line.content(), message, help));
        }
        self.optional(key, expected, parse)
    }

    /// Reports unknown keys and returns all findings.
    pub(super) fn finish(mut self) -> FindingList {
        for field in self.fields.iter().filter(|field| !field.used) {
            let message = format!("unknown key `{}`", field.key.text);
            let help = format!("the keys of this rule are {}", self.known_keys.join(", "));
            self.findings.push(self.line.finding(field.key, message, help));
        }
        self.findings
    }
}
