//! Splits a line of a rules file into words and a comment, with their positions.

use tarragon_protocol::prelude::*;

/// A word of a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Word<'a> {
    pub(super) text: &'a str,
    /// Offset in bytes from the start of the line.
    pub(super) start: usize,
}

/// A line with its location in the source.
#[derive(Debug, Clone)]
pub(super) struct RuleLine<'a> {
    pub(super) source: &'a str,
    pub(super) number: u32,
    /// Offset of the line in the source, in bytes.
    offset: usize,
    text: &'a str,
    pub(super) words: Vec<Word<'a>>,
    pub(super) comment: Option<Word<'a>>,
}

impl<'a> RuleLine<'a> {
    fn new(source: &'a str, number: u32, offset: usize, text: &'a str) -> RuleLine<'a> {
        let (rule, comment) = match text.split_once('#') {
            Some((rule, comment)) => (rule, Some(Word { text: comment, start: rule.len() + 1 })),
            None => (text, None),
        };
        RuleLine { source, number, offset, text, words: split_words(rule), comment }
    }

    /// The whole line without surrounding whitespace, as one word.
    pub(super) fn content(&self) -> Word<'a> {
        let text = self.text.trim();
        Word { text, start: self.text.len() - self.text.trim_start().len() }
    }

    /// Creates a finding at a word of this line.
    pub(super) fn finding(
        &self,
        word: Word<'_>,
        message: impl Into<String>,
        help: impl Into<String>,
    ) -> Finding {
        let before = self.text.get(..word.start).unwrap_or(self.text);
        let column = u32::try_from(before.chars().count()).unwrap_or(u32::MAX).saturating_add(1);
        let location = SourceLocation {
            source: self.source.to_owned(),
            line: self.number,
            column,
            span: (self.offset + word.start, word.text.len()),
        };
        Finding { location, message: message.into(), help: help.into() }
    }
}

/// The lines of a source that contain a rule. Blank lines and lines with only a comment are omitted.
pub(super) fn rule_lines<'a>(source: &'a str, text: &'a str) -> Vec<RuleLine<'a>> {
    let mut lines = Vec::new();
    let mut offset = 0;
    for (index, raw) in text.split_inclusive('\n').enumerate() {
        let number = u32::try_from(index).unwrap_or(u32::MAX).saturating_add(1);
        let line = RuleLine::new(source, number, offset, raw.trim_end_matches(['\n', '\r']));
        if !line.words.is_empty() {
            lines.push(line);
        }
        offset += raw.len();
    }
    lines
}

fn split_words(text: &str) -> Vec<Word<'_>> {
    let mut words = Vec::new();
    let mut start = None;
    for (index, character) in text.char_indices() {
        match (character.is_whitespace(), start) {
            (true, Some(first)) => {
                words.push(Word { text: &text[first..index], start: first });
                start = None;
            }
            (false, None) => start = Some(index),
            _ => {}
        }
    }
    if let Some(first) = start {
        words.push(Word { text: &text[first..], start: first });
    }
    words
}
