//! `check`: reports all findings in settings and rules at once.

use std::{
    io::{IsTerminal, stdout},
    path::{Path, PathBuf},
    process::ExitCode,
};

use bpaf::Bpaf;
use tarragon_config::{
    check::{CheckReport, check_files},
    rules::RuleSet,
};
use tarragon_protocol::prelude::*;
use tarragon_scheduler::policy::{UnknownPlugin, unknown_plugins};

use crate::{
    excerpt::{ExcerptStyle, render_findings},
    output::{write_answer, write_text},
};

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
    let report = check_all(&arguments.settings, arguments.rules.as_deref());
    if arguments.json {
        write_answer(&serde_json::to_string(&report.findings)?)?;
    } else {
        write_text(&render_report(&report))?;
    }
    Ok(if report.findings.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Checks files and, which the configuration crate can't know, whether the plug-ins that rules name exist.
pub(crate) fn check_all(settings: &Path, rules: Option<&Path>) -> CheckReport {
    let mut report = check_files(settings, rules);
    if let Some(rules) = &report.rules {
        let unknown = unknown_plugins(rules);
        let findings = unknown.iter().filter_map(|plugin| plugin_finding(&report, rules, plugin));
        let findings: Vec<Finding> = findings.collect();
        report.findings.findings.extend(findings);
    }
    report
}

fn plugin_finding(
    report: &CheckReport,
    rules: &RuleSet,
    plugin: &UnknownPlugin,
) -> Option<Finding> {
    let origin = &rules.policies.get(plugin.policy.as_str())?.origin;
    let text = report.sources.get(&origin.source)?;
    let line =
        text.split_inclusive('\n').nth(usize::try_from(origin.line).ok()?.checked_sub(1)?)?;
    let start = line.find(&format!("{}={}", plugin.key, plugin.name))? + plugin.key.len() + 1;
    let before = line.as_ptr().addr() - text.as_ptr().addr();
    let location = SourceLocation {
        source: origin.source.clone(),
        line: origin.line,
        column: u32::try_from(line.get(..start)?.chars().count()).ok()?.saturating_add(1),
        span: (before + start, plugin.name.len()),
    };
    let message = format!("there is no plug-in `{}` for `{}`", plugin.name, plugin.key);
    Some(Finding { location, message, help: format!("write one of {}", plugin.known.join(", ")) })
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
