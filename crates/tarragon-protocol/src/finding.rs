//! Findings: faults in settings, rules and published values, collected with their place so that all of
//! them can be reported at once.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Where a finding stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SourceLocation {
    /// File or published value.
    pub source: String,
    /// Line, starting at 1.
    pub line: u32,
    /// Column in characters, starting at 1.
    pub column: u32,
    /// Byte offset and length in the source, for a labelled excerpt.
    pub span: (usize, usize),
}

/// One fault, with what to write instead.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Where it is.
    #[serde(rename = "place")]
    pub location: SourceLocation,
    /// What is wrong.
    pub message: String,
    /// What to write instead.
    pub help: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SourceLocation { source, line, column, .. } = &self.location;
        write!(formatter, "{source}:{line}:{column}: {}; {}", self.message, self.help)
    }
}

/// All findings of one check.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FindingList {
    /// In order of source and place.
    pub findings: Vec<Finding>,
}

impl FindingList {
    /// Adds a finding.
    pub fn push(&mut self, finding: Finding) {
        self.findings.push(finding);
    }

    /// Whether nothing was found.
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
