//! One line of a rules file, cut into words and a comment that know their place.

use tarragon_protocol::prelude::*;

/// A word of a line. Offsets are bytes from the start of the line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Word<'a> {
    pub(super) text: &'a str,
    pub(super) start: usize,
}

/// A line with its place in the source.
#[derive(Debug, Clone)]
pub(super) struct RuleLine<'a> {
    pub(super) source: &'a str,
    pub(super) number: u32,
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
        RuleLine { source, number, offset, text, words: cut_words(rule), comment }
    }

    /// The whole line as a word.
    pub(super) fn whole(&self) -> Word<'a> {
        let text = self.text.trim();
        Word { text, start: self.text.len() - self.text.trim_start().len() }
    }

    /// A finding at a word of this line.
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

/// The lines of a source that hold a rule. Blank lines and lines with only a comment are left out.
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

fn cut_words(text: &str) -> Vec<Word<'_>> {
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
