//! Parses rules line by line and then checks their references to services.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet, map::Entry};
use tarragon_protocol::prelude::*;

use super::{
    RuleOrigin, RuleSet, ServiceKind,
    field::FieldReader,
    kind,
    line::{RuleLine, Word, rule_lines},
    value,
};

/// Maximum length of a line in bytes, small enough that several lines fit into one part of the published
/// configuration.
const MAX_LINE_BYTES: usize = 4096;
/// Name of the policy that applies to services without one of their own.
const DEFAULT_POLICY: &str = "default";

/// Parses several sources, one after another, into one rule set.
#[derive(Default)]
pub(super) struct RuleParser<'a> {
    rules: RuleSet,
    references: Vec<Reference<'a>>,
    /// Names of invalid service rules. References to them give no further finding.
    invalid_services: IndexSet<&'a str>,
    findings: FindingList,
}

/// A reference to a service, to be checked when all services are known.
struct Reference<'a> {
    line: RuleLine<'a>,
    word: Word<'a>,
    /// Whether the service must be one of model engines.
    needs_model: bool,
}

impl<'a> RuleParser<'a> {
    pub(super) fn read_source(&mut self, source: &'a str, text: &'a str) {
        for line in rule_lines(source, text) {
            self.read_line(line);
        }
    }

    pub(super) fn finish(mut self) -> (RuleSet, FindingList) {
        self.check_references();
        (self.rules, self.findings)
    }

    fn read_line(&mut self, line: RuleLine<'a>) {
        let content = line.content();
        if content.text.len() > MAX_LINE_BYTES {
            let help = format!("write at most {MAX_LINE_BYTES} bytes a rule");
            self.findings.push(line.finding(content, "the line is too long", help));
            return;
        }
        let origin = read_origin(&line, &mut self.findings);
        let Some(name) = read_name(&line, &mut self.findings) else { return };
        let mut fields = FieldReader::new(&line);
        let known = self.read_rule(&line, name, &mut fields, origin);
        if known {
            self.findings.findings.extend(fields.finish().findings);
        }
    }

    /// Parses the fields according to the kind of the rule. Returns false if the kind is unknown.
    fn read_rule(
        &mut self,
        line: &RuleLine<'a>,
        name: Word<'a>,
        fields: &mut FieldReader<'_, 'a>,
        origin: RuleOrigin,
    ) -> bool {
        let findings = &mut self.findings;
        let rules = &mut self.rules;
        match line.words[0].text {
            "service" => {
                let rule = kind::service(fields, origin);
                if rule.is_none() {
                    self.invalid_services.insert(name.text);
                }
                insert(&mut rules.services, line, name, rule, findings, |rule| &rule.origin);
            }
            "workspace" => insert(
                &mut rules.workspaces,
                line,
                name,
                kind::workspace(fields, origin),
                findings,
                |rule| &rule.origin,
            ),
            "model" => {
                let rule = kind::model(fields, origin);
                insert(&mut rules.models, line, name, rule, findings, |rule| &rule.origin);
                self.add_model_service_reference(line);
            }
            "data-centre" => insert(
                &mut rules.data_centres,
                line,
                name,
                kind::data_centre(fields, origin),
                findings,
                |rule| &rule.origin,
            ),
            "policy" => {
                let rule = kind::policy(fields, origin);
                insert(&mut rules.policies, line, name, rule, findings, |rule| &rule.origin);
                if name.text != DEFAULT_POLICY {
                    self.add_reference(line, name, false);
                }
            }
            other => {
                let message = format!("unknown kind of rule `{other}`");
                let help = "start with service, workspace, model, data-centre or policy";
                findings.push(line.finding(line.words[0], message, help));
                return false;
            }
        }
        true
    }

    fn add_model_service_reference(&mut self, line: &RuleLine<'a>) {
        const KEY: &str = "service=";
        let field = line.words.iter().skip(2).find(|word| word.text.starts_with(KEY));
        let Some(field) = field else { return };
        let word = Word { text: &field.text[KEY.len()..], start: field.start + KEY.len() };
        if value::is_name(word.text) {
            self.add_reference(line, word, true);
        }
    }

    fn add_reference(&mut self, line: &RuleLine<'a>, word: Word<'a>, needs_model: bool) {
        self.references.push(Reference { line: line.clone(), word, needs_model });
    }

    fn check_references(&mut self) {
        for Reference { line, word, needs_model } in &self.references {
            match self.rules.services.get(word.text) {
                None if self.invalid_services.contains(word.text) => {}
                None => {
                    let message = format!("there is no service `{}`", word.text);
                    let help = self.service_help();
                    self.findings.push(line.finding(*word, message, help));
                }
                Some(service) if *needs_model && service.kind != ServiceKind::Model => {
                    let message = format!("service `{}` is plain and holds no models", word.text);
                    let help = "name a service with kind=model";
                    self.findings.push(line.finding(*word, message, help));
                }
                Some(_) => {}
            }
        }
    }

    fn service_help(&self) -> String {
        // Keeps the finding readable when there are very many services.
        const MAX_LISTED: usize = 12;
        if self.rules.services.is_empty() {
            return "add a service rule with that name".to_owned();
        }
        let names: Vec<&str> =
            self.rules.services.keys().take(MAX_LISTED).map(|name| &**name).collect();
        format!("add a service rule with that name, or name one of {}", names.join(", "))
    }
}

/// Parses the comment `asked by: NAME[, reason]`. If it is invalid, adds a finding and returns an incomplete
/// origin.
fn read_origin(line: &RuleLine<'_>, findings: &mut FindingList) -> RuleOrigin {
    const HELP: &str = "end the line with `# asked by: NAME, reason`";
    let mut origin =
        RuleOrigin { source: line.source.to_owned(), line: line.number, ..RuleOrigin::default() };
    let Some(comment) = line.comment else {
        findings.push(line.finding(line.content(), "nobody is named who asked for the rule", HELP));
        return origin;
    };
    let Some(rest) = comment.text.trim().strip_prefix("asked by:") else {
        let message = "the comment does not say who asked for the rule";
        findings.push(line.finding(comment, message, HELP));
        return origin;
    };
    let (name, reason) = rest.split_once(',').unwrap_or((rest, ""));
    if name.trim().is_empty() {
        findings.push(line.finding(comment, "the name after `asked by:` is missing", HELP));
    }
    origin.asked_by = name.trim().to_owned();
    origin.reason = Some(reason.trim()).filter(|reason| !reason.is_empty()).map(str::to_owned);
    origin
}

fn read_name<'a>(line: &RuleLine<'a>, findings: &mut FindingList) -> Option<Word<'a>> {
    let Some(name) = line.words.get(1).copied() else {
        let message = "the rule has no name";
        let help = "write kind, name and fields, for example `data-centre oshakati state=in`";
        findings.push(line.finding(line.words[0], message, help));
        return None;
    };
    if value::is_name(name.text) {
        return Some(name);
    }
    let message = format!("`{}` is not a name", name.text);
    findings.push(line.finding(name, message, format!("use {}", value::NAME_HELP)));
    None
}

/// Adds a rule. If one of that kind and name exists already, adds a finding instead.
fn insert<T, O>(
    rules: &mut IndexMap<Arc<str>, T>,
    line: &RuleLine<'_>,
    name: Word<'_>,
    rule: Option<T>,
    findings: &mut FindingList,
    origin: O,
) where
    O: Fn(&T) -> &RuleOrigin,
{
    let Some(rule) = rule else { return };
    match rules.entry(Arc::from(name.text)) {
        Entry::Vacant(entry) => {
            entry.insert(rule);
        }
        Entry::Occupied(entry) => {
            let first = origin(entry.get());
            let message = format!("a second rule for {} `{}`", line.words[0].text, name.text);
            let help = format!("change the rule at {}:{} instead", first.source, first.line);
            findings.push(line.finding(name, message, help));
        }
    }
}
