//! The syntax of rules: valid rules are parsed, and every error gives a finding at its location.

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use tarragon_config::rules::{DEFAULT_ANSWER_LIMIT, RuleSet, ServiceKind, parse_rules};
use tarragon_protocol::{engine::EngineRole, prelude::*};

const SERVICE: &str = "service pool kind=model idempotent=yes # asked by: A\n";

fn parse(text: &str) -> (RuleSet, FindingList) {
    parse_rules(&[("rules", text)])
}

#[test]
fn reads_every_kind_of_rule() {
    let text = "\n# only a comment\n\
        service pool kind=model idempotent=yes # asked by: A. Bee, a reason, with a comma\n\
        service app kind=plain idempotent=no path=/x answer_limit=10 # asked by: B\r\n\
        workspace w tier=high rate=2.5/s concurrency=3 queued_tokens=4 weight=5 # asked by: B\n\
        model m service=pool replicas=2 adapter=a version=3 role=prefill # asked by: B\n\
        data-centre d state=out # asked by: B\n\
        policy default choose=random admission=tiers # asked by: B";
    let (rules, findings) = parse(text);
    assert_eq!(findings, FindingList::default());
    let pool = &rules.services["pool"];
    assert_eq!((pool.kind, pool.answer_limit), (ServiceKind::Model, DEFAULT_ANSWER_LIMIT));
    assert_eq!(pool.origin.asked_by, "A. Bee");
    assert_eq!(pool.origin.reason.as_deref(), Some("a reason, with a comma"));
    assert_eq!(pool.origin.line, 3);
    assert!(!rules.services["app"].idempotent);
    assert_eq!(rules.workspaces["w"].tier, Some(Tier::High));
    assert_eq!(rules.workspaces["w"].rate, Some(2.5));
    assert_eq!(rules.models["m"].role, EngineRole::Prefill);
    assert!(!rules.data_centres["d"].in_service);
    assert_eq!(rules.policies["default"].admission.as_deref(), Some("tiers"));
}

struct FaultCase {
    line: &'static str,
    column: u32,
    message: &'static str,
}

/// Each error must give exactly one finding, at the word that has to be changed.
#[test]
fn every_error_gives_a_finding_at_its_location() {
    let cases = [
        FaultCase { line: "data-centre d state=in", column: 1, message: "nobody is named" },
        FaultCase { line: "data-centre d state=in # me", column: 25, message: "does not say who" },
        FaultCase {
            line: "data-centre d state=in # asked by: ,",
            column: 25,
            message: "is missing",
        },
        FaultCase { line: "zone d state=in # asked by: A", column: 1, message: "unknown kind" },
        FaultCase { line: "workspace # asked by: A", column: 1, message: "has no name" },
        FaultCase { line: "workspace ö # asked by: A", column: 11, message: "is not a name" },
        FaultCase { line: "workspace w size=1 # asked by: A", column: 13, message: "unknown key" },
        FaultCase { line: "workspace w fast # asked by: A", column: 13, message: "not a field" },
        FaultCase { line: "workspace w rate=5 # asked by: A", column: 18, message: "not a valid" },
        FaultCase {
            line: "workspace w rate=NaN/s # asked by: A",
            column: 18,
            message: "not a valid",
        },
        FaultCase {
            line: "workspace w weight=0 # asked by: A",
            column: 20,
            message: "not a valid",
        },
        FaultCase { line: "workspace w tier= # asked by: A", column: 13, message: "not a valid" },
        FaultCase {
            line: "workspace w weight=1 weight=1 # asked by: A",
            column: 22,
            message: "twice",
        },
        FaultCase { line: "data-centre d # asked by: A", column: 1, message: "`state` is missing" },
        FaultCase {
            line: "service pool kind=plain idempotent=no # asked by: A",
            column: 9,
            message: "a second rule",
        },
        FaultCase {
            line: "model m service=none # asked by: A",
            column: 17,
            message: "no service `none`",
        },
        FaultCase {
            line: "policy none choose=random # asked by: A",
            column: 8,
            message: "no service `none`",
        },
    ];
    for FaultCase { line, column, message } in cases {
        let text = format!("{SERVICE}{line}\n");
        let (_, findings) = parse(&text);
        let [finding] = findings.findings.as_slice() else {
            panic!("`{line}` gave {findings}");
        };
        assert!(finding.message.contains(message), "`{line}` gave {finding}");
        assert_eq!((finding.location.line, finding.location.column), (2, column), "{line}");
        let (start, length) = finding.location.span;
        assert!(text.get(start..start + length).is_some_and(|word| line.contains(word)));
        assert!(!finding.help.is_empty());
    }
}

/// Guards against further findings for the rules that refer to an invalid service rule.
#[test]
fn an_invalid_service_gives_only_one_finding() {
    let (_, findings) = parse(
        "service pool kind=fast idempotent=yes # asked by: A\nmodel m service=pool # asked by: A\n",
    );
    assert_eq!(findings.findings.len(), 1, "{findings}");
}

/// Published parts are parsed as one set: the rules of a model and of its service may be in different parts.
#[test]
fn several_sources_form_one_set_with_findings_in_order() {
    let model = "model m service=pool # asked by: A\nmodel n service=none # asked by: A\n";
    let (rules, findings) =
        parse_rules(&[("rules-1", model), ("rules-0", SERVICE), ("rules-2", SERVICE)]);
    assert_eq!(rules.models.len(), 2);
    let sources: Vec<String> =
        findings.findings.iter().map(|finding| finding.location.source.clone()).collect();
    assert_eq!(sources, ["rules-1", "rules-2"]);
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(6), cases: 512, failure_persistence: None, ..Config::default() })]

    /// Published text can be anything. The parser must neither panic nor report a location outside the text.
    #[test]
    fn any_text_is_parsed_without_panic(text in "\\PC*|([a-z=#./: äñ€0-9\\-\r\n\t]|service|model|asked by:|tier=|rate=){0,80}") {
        let (_, findings) = parse(&text);
        for finding in findings.findings {
            let (start, length) = finding.location.span;
            prop_assert!(text.get(start..start + length).is_some());
        }
    }
}
