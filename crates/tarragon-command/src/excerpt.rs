//! Findings as labelled excerpts of the texts that they were found in.

use indexmap::IndexMap;
use miette::{
    GraphicalReportHandler, GraphicalTheme, LabeledSpan, MietteDiagnostic, NamedSource, Report,
};
use tarragon_protocol::prelude::*;

/// Columns of a report. A fixed width keeps reports of one text the same everywhere.
const WIDTH: usize = 100;

/// How excerpts are drawn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExcerptStyle {
    /// With colours, for terminals.
    Colours,
    /// Without colours, for files and pipes.
    Plain,
}

/// Draws each finding with an excerpt of its source and what to write instead.
pub fn render_findings(
    findings: &FindingList,
    sources: &IndexMap<String, String>,
    style: ExcerptStyle,
) -> String {
    let theme = match style {
        ExcerptStyle::Colours => GraphicalTheme::unicode(),
        ExcerptStyle::Plain => GraphicalTheme::unicode_nocolor(),
    };
    let handler = GraphicalReportHandler::new_themed(theme).with_width(WIDTH).with_links(false);
    let mut output = String::new();
    for finding in &findings.findings {
        let report = finding_report(finding, sources);
        if handler.render_report(&mut output, report.as_ref()).is_err() {
            output.push_str(&finding.to_string());
        }
        output.push('\n');
    }
    output
}

fn finding_report(finding: &Finding, sources: &IndexMap<String, String>) -> Report {
    let SourceLocation { source, line, column, span } = &finding.location;
    let title = format!("{source}:{line}:{column}: {}", finding.message);
    let diagnostic = MietteDiagnostic::new(title).with_help(finding.help.clone());
    match sources.get(source) {
        Some(text) => {
            let label = LabeledSpan::at(*span, finding.message.clone());
            Report::new(diagnostic.with_label(label))
                .with_source_code(NamedSource::new(source, text.clone()))
        }
        None => Report::new(diagnostic),
    }
}
