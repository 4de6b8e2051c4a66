//! Findings: errors in settings, rules and published values. They are collected with their source location,
//! so that all of them can be reported at once.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Location of a finding in its source.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SourceLocation {
    /// Name of the file or published value.
    pub source: String,
    /// Line number, starting at 1.
    pub line: u32,
    /// Column in characters, starting at 1.
    pub column: u32,
    /// Byte offset and length in the source, to mark the text in an excerpt.
    pub span: (usize, usize),
}

/// One error, with a hint how to correct it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Location of the error.
    #[serde(rename = "place")]
    pub location: SourceLocation,
    /// Description of the error.
    pub message: String,
    /// Hint how to correct the error.
    pub help: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SourceLocation { source, line, column, .. } = &self.location;
        write!(formatter, "{source}:{line}:{column}: {}; {}", self.message, self.help)
    }
}

/// The findings of one check.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FindingList {
    /// Findings, ordered by source and location.
    pub findings: Vec<Finding>,
}

impl FindingList {
    /// Adds a finding.
    pub fn push(&mut self, finding: Finding) {
        self.findings.push(finding);
    }

    /// Whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }
}

impl fmt::Display for FindingList {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.findings.iter().enumerate() {
            if index > 0 {
                formatter.write_str("\n")?;
            }
            finding.fmt(formatter)?;
        }
        Ok(())
    }
}

impl std::error::Error for FindingList {}
