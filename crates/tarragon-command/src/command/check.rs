//! `check`: reports all findings in settings and rules at once.

use std::{
    io::{IsTerminal, stdout},
    path::PathBuf,
    process::ExitCode,
};

use bpaf::Bpaf;
use tarragon_config::check::{CheckReport, check_files};

use crate::excerpt::{ExcerptStyle, render_findings};

/// Check settings and rules and report all findings
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("check"))]
pub(crate) struct CheckArguments {
    /// Print the findings as JSON
    #[bpaf(long)]
    json: bool,
    /// Settings file
    #[bpaf(positional("SETTINGS"))]
    settings: PathBuf,
    /// Rules file; by default the one that the settings name
    #[bpaf(positional("RULES"))]
    rules: Option<PathBuf>,
}

pub(crate) fn execute(arguments: &CheckArguments) -> anyhow::Result<ExitCode> {
    let report = check_files(&arguments.settings, arguments.rules.as_deref());
    if arguments.json {
        println!("{}", serde_json::to_string_pretty(&report.findings)?);
    } else {
        print!("{}", render_report(&report));
    }
    Ok(if report.findings.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// The whole report as text.
pub(crate) fn render_report(report: &CheckReport) -> String {
    let files: Vec<&str> = report.sources.keys().map(String::as_str).collect();
    let count = report.findings.findings.len();
    if count == 0 {
        return format!("no findings in {}\n", files.join(" and "));
    }
    let style = if stdout().is_terminal() { ExcerptStyle::Colours } else { ExcerptStyle::Plain };
    let excerpts = render_findings(&report.findings, &report.sources, style);
    let noun = if count == 1 { "finding" } else { "findings" };
    format!("{excerpts}{count} {noun}\n")
}
