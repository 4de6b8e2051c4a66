//! The report of `check`: all faults of one settings file and one rules file in a single run.

use std::path::Path;

use tarragon_command::{ExcerptStyle, render_findings};
use tarragon_config::check::check_files;

/// Relative to the crate, where tests run: an absolute path would change how lines are wrapped.
const FAULTS: &str = "tests/faults";

/// Five faults that an operator can make in one edit must not need five runs to find.
#[test]
fn five_faults_are_reported_in_one_run() {
    let folder = Path::new(FAULTS);
    let report = check_files(&folder.join("settings.jsonc"), Some(&folder.join("faults.rules")));
    assert_eq!(report.findings.findings.len(), 5 + 3, "{}", report.findings);
    let text = render_findings(&report.findings, &report.sources, ExcerptStyle::Plain);
    insta::assert_snapshot!(text);
}

/// A report that was drawn over a place outside its text would lose the finding.
#[test]
fn a_file_that_cannot_be_read_is_a_finding() {
    let report = check_files(Path::new("no such file"), None);
    let text = render_findings(&report.findings, &report.sources, ExcerptStyle::Plain);
    assert!(text.contains("can't be read"), "{text}");
}
