//! Checks settings and rules together, so that one run reports all errors.

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
    /// Texts that were checked, by source name as in the findings.
    pub sources: IndexMap<String, String>,
    /// All findings.
    pub findings: FindingList,
    /// Settings, if they are valid by themselves.
    pub settings: Option<ServeSettings>,
    /// Settings of a process that reads a shared store, if the file contains these and they are valid.
    pub gateway: Option<GatewaySettings>,
    /// All valid rules, if a rules file was read.
    pub rules: Option<RuleSet>,
}

/// Checks a settings file and a rules file. Without `rules`, the rules file named in the settings is checked,
/// if there is one. A file that can't be read gives a finding, too.
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
    let rules_file = report.settings.as_ref().and_then(|settings| settings.rules_file.clone());
    let path =
        rules.map(Path::to_owned).or(rules_file.map(|path| resolve_relative(settings, &path)));
    if let Some(path) = path {
        report.check_rules(&path);
    }
    report.check_consistency();
    report
}

/// Resolves a path that is given in another file, relative to the directory of that file.
pub fn resolve_relative(file: &Path, path: &Path) -> PathBuf {
    match file.parent() {
        Some(directory) => directory.join(path),
        None => path.to_owned(),
    }
}

impl CheckReport {
    /// Reads a file and keeps its text for excerpts. Returns its source name and text.
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

    /// Checks that settings and rules are consistent with each other.
    fn check_consistency(&mut self) {
        let (Some(settings), Some(rules)) = (&self.settings, &self.rules) else { return };
        let Some((source, text)) = self.sources.first() else { return };
        let mut findings = Vec::new();
        for target in &settings.targets {
            if !rules.services.contains_key(&target.service) {
                let message = format!(
                    "target `{}` belongs to service `{}`, which has no rule",
                    target.target, target.service
                );
                let location = locate_quoted(source, text, &target.target);
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

/// Location of the first occurrence of a name in quotes.
fn locate_quoted(source: &str, text: &str, name: &str) -> SourceLocation {
    let quoted = format!("\"{name}\"");
    let start = text.find(&quoted).unwrap_or(0);
    let before = &text[..start];
    let line = before.matches('\n').count() + 1;
    let column = before.chars().rev().take_while(|character| *character != '\n').count() + 1;
    let to_u32 = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
    SourceLocation {
        source: source.to_owned(),
        line: to_u32(line),
        column: to_u32(column),
        span: (start, quoted.len()),
    }
}
