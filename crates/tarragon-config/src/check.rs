//! Checks settings and rules together, so that one run shows everything there is to correct.

use std::{
    fs,
    path::{Path, PathBuf},
};

use indexmap::IndexMap;
use tarragon_protocol::prelude::*;

use crate::{
    rules::{RuleSet, ServiceRule, parse_rules},
    settings::{
        GatewaySettings, ServeSettings, is_gateway_settings, parse_gateway_settings, parse_settings,
    },
};

/// Result of a check.
#[derive(Debug, Clone, Default)]
pub struct CheckReport {
    /// Texts that were checked, by the name that findings give as their source.
    pub sources: IndexMap<String, String>,
    /// Everything that is wrong.
    pub findings: FindingList,
    /// The settings, if they have no finding of their own.
    pub settings: Option<ServeSettings>,
    /// The settings of a process that reads a shared store, if they are such and have no finding.
    pub gateway: Option<GatewaySettings>,
    /// The rules that are valid, if a rules file was read.
    pub rules: Option<RuleSet>,
}

/// Checks a settings file and a rules file. Without `rules`, the rules file that the settings name is
/// checked, if there is one. A file that can't be read is a finding, too.
pub fn check_files(settings: &Path, rules: Option<&Path>) -> CheckReport {
    let mut report = CheckReport::default();
    if let Some((source, text)) = report.read_file(settings) {
        let findings = if is_gateway_settings(&text) {
            let (parsed, findings) = parse_gateway_settings(&source, &text);
            report.gateway = parsed;
            findings
        } else {
            let (parsed, findings) = parse_settings(&source, &text);
            report.settings = parsed;
            findings
        };
        report.findings.findings.extend(findings.findings);
    }
    let named = report.settings.as_ref().and_then(|settings| settings.rules_file.clone());
    let path = rules.map(Path::to_owned).or(named.map(|path| resolve_relative(settings, &path)));
    if let Some(path) = path {
        report.check_rules(&path);
    }
    report.check_together();
    report
}

/// The path of a file that another file names: relative to the directory of the naming file.
pub fn resolve_relative(naming: &Path, named: &Path) -> PathBuf {
    match naming.parent() {
        Some(directory) => directory.join(named),
        None => named.to_owned(),
    }
}

impl CheckReport {
    /// Reads a file and keeps its text for excerpts.
    fn read_file(&mut self, path: &Path) -> Option<(String, String)> {
        let source = path.display().to_string();
        match fs::read_to_string(path) {
            Ok(text) => {
                self.sources.insert(source.clone(), text.clone());
                Some((source, text))
            }
            Err(error) => {
                let location = SourceLocation { source, line: 1, column: 1, span: (0, 0) };
                let message = format!("the file can't be read: {error}");
                let help = "name a readable file of UTF-8 text".to_owned();
                self.findings.push(Finding { location, message, help });
                None
            }
        }
    }

    fn check_rules(&mut self, path: &Path) {
        let Some((source, text)) = self.read_file(path) else { return };
        let (rules, findings) = parse_rules(&[(&source, &text)]);
        self.findings.findings.extend(findings.findings);
        self.rules = Some(rules);
    }

    /// Faults that neither file shows by itself.
    fn check_together(&mut self) {
        let (Some(settings), Some(rules)) = (&self.settings, &self.rules) else { return };
        let Some((source, text)) = self.sources.first() else { return };
        let mut findings = Vec::new();
        for target in &settings.targets {
            if !rules.services.contains_key(&target.service) {
                let message = format!(
                    "target `{}` belongs to service `{}`, which has no rule",
                    target.target, target.service
                );
                let location = place_of_text(source, text, &target.target);
                findings.push(Finding { location, message, help: service_help(&rules.services) });
            }
        }
        self.findings.findings.extend(findings);
    }
}

fn service_help(services: &IndexMap<ServiceName, ServiceRule>) -> String {
    let names: Vec<&str> = services.keys().map(|name| &**name).collect();
    format!("add a service rule, or name one of these services: {}", names.join(", "))
}

/// Place of the first quoted occurrence of a name.
fn place_of_text(source: &str, text: &str, name: &str) -> SourceLocation {
    let quoted = format!("\"{name}\"");
    let start = text.find(&quoted).unwrap_or(0);
    let before = &text[..start];
    let line = before.matches('\n').count() + 1;
    let column = before.chars().rev().take_while(|character| *character != '\n').count() + 1;
    let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
    SourceLocation {
        source: source.to_owned(),
        line: count(line),
        column: count(column),
        span: (start, quoted.len()),
    }
}
