//! Settings files: valid files are parsed, and all errors are reported in one run.

use std::{path::Path, time::Duration};

use tarragon_config::{
    check::check_files,
    settings::{ServeSettings, is_gateway_settings, parse_gateway_settings, parse_settings},
};
use tarragon_protocol::prelude::*;

const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");

fn example_settings() -> ServeSettings {
    let report = check_files(&Path::new(EXAMPLES).join("settings.jsonc"), None);
    assert_eq!(report.findings, FindingList::default());
    assert!(report.rules.is_some());
    report.settings.expect("settings without findings are returned")
}

#[test]
fn example_files_are_valid() {
    let settings = example_settings();
    assert_eq!(settings.targets.len(), 3);
    assert_eq!(settings.limits.grace_period, Duration::from_secs(20));
    for rules in ["oshana.rules", "onitsha.rules"] {
        let settings = Path::new(EXAMPLES).join("settings.jsonc");
        let findings = check_files(&settings, Some(&Path::new(EXAMPLES).join(rules))).findings;
        let faults =
            findings.findings.iter().filter(|finding| finding.location.source.ends_with(rules));
        assert_eq!(faults.count(), 0, "{findings}");
    }
}

/// Guards against a check that an operator has to run once per error.
#[test]
fn five_faults_give_five_findings_in_one_run() {
    let text = r#"{
  "vm": "entry 1", // a space
  "data_centre": "oshakati",
  "caller_address": "localhost:8080",
  "peer_address": "10.0.0.7:8081",
  "admin_address": "10.0.0.7:8082", // not loopback, and no key
  "peer_keys": ["too short"],
  "configuration_service": "10.0.0.9:9100",
  "vm_list": "10.0.0.9:9101",
  "limits": { "body_bytes": 1024, "queue_size": 7 },
}"#;
    let (settings, findings) = parse_settings("settings.jsonc", text);
    assert!(settings.is_none());
    assert_eq!(findings.findings.len(), 5, "{findings}");
    insta::assert_snapshot!(findings);
}

struct FaultCase {
    replace: (&'static str, &'static str),
    message: &'static str,
}

/// Errors that depend on more than one value, and errors that make a single value unusable.
#[test]
fn invalid_and_inconsistent_values_are_reported() {
    let cases = [
        FaultCase {
            replace: ("\"rules_file\": \"oshana.rules\",", "\"vm_list\": \"127.0.0.1:1\","),
            message: "`configuration_service` is missing",
        },
        FaultCase {
            replace: ("\"rules_file\": \"oshana.rules\",", ""),
            message: "neither a platform",
        },
        FaultCase { replace: ("runner-2", "runner-1"), message: "a second target" },
        FaultCase {
            replace: ("\"log_format\": \"text\"", "\"log_format\": 3"),
            message: "not a string",
        },
        FaultCase { replace: ("\"vm\": \"entry-1\"", "\"vm\" \"entry-1\""), message: "not JSON" },
        FaultCase {
            replace: ("\"vm\": \"entry-1\"", "\"vm\": \"a\", \"vm\": \"b\""),
            message: "twice",
        },
        FaultCase {
            replace: ("[\"replace-this-key-by-a-random-one\"]", "[]"),
            message: "0 peer keys",
        },
    ];
    let text = std::fs::read_to_string(Path::new(EXAMPLES).join("settings.jsonc")).unwrap();
    for FaultCase { replace: (from, to), message } in cases {
        assert!(text.contains(from), "{from}");
        let (settings, findings) = parse_settings("settings", &text.replace(from, to));
        assert!(settings.is_none(), "{to}");
        let found = findings.findings.iter().any(|finding| finding.message.contains(message));
        assert!(found, "`{to}` gave {findings}");
    }
}

/// Guards against log lines and dumps of the settings that contain a key.
#[test]
fn debug_output_contains_no_keys() {
    assert!(!format!("{:?}", example_settings()).contains("replace-this"));
}

/// Each prefix of a valid file, as an interrupted editor may leave it, gives findings and no panic.
#[test]
fn a_truncated_file_gives_findings() {
    let text = std::fs::read_to_string(Path::new(EXAMPLES).join("settings.jsonc")).unwrap();
    let end = text.rfind('}').unwrap();
    for cut in (0..end).filter(|cut| text.is_char_boundary(*cut)) {
        let (settings, findings) = parse_settings("settings", &text[..cut]);
        assert!(settings.is_none() && !findings.is_empty(), "cut at {cut}");
    }
}

const GATEWAY: &str = r#"{
  "vm": "edge-1", "data_centre": "north",
  "caller_address": "10.1.0.7:8221", "ready_address": "10.1.0.7:8224",
  "peer_ports": [7600, 7615],
  "seeds": ["10.1.0.25:8229",],
  "store_address": "10.200.1.7:8225",
  "first_start": true,
  "grace_s": 8.5, "heartbeat_ms": 900,
  "bounds": { "retry_ratio": 0.2, "retry_slack": 56, "quota_window_s": 8,
    "change_ms": 3000, "evacuation_ms": 5000, "leave_ms": 2500, "contact_ms": 4000, },
}"#;

/// Guards against contacting peers at the ports listed in `seeds` instead of the peer port, and against parsing
/// the settings of one kind of process as those of the other.
#[test]
fn gateway_settings_are_parsed() {
    assert!(is_gateway_settings(GATEWAY));
    let (settings, findings) = parse_gateway_settings("settings", GATEWAY);
    assert_eq!(findings, FindingList::default());
    let settings = settings.unwrap();
    assert_eq!(settings.seed_addresses(), ["10.1.0.25:7600".parse().unwrap()]);
    assert_eq!(settings.metrics_address(), "10.1.0.7:7602".parse().unwrap());
    assert_eq!(settings.grace, Duration::from_millis(8_500));
    assert_eq!(settings.heartbeat, Duration::from_millis(900));
    assert_eq!(settings.bounds.retry_slack, 56.0);
    assert_eq!(settings.bounds.change_time, Duration::from_secs(3));
    assert_eq!(settings.bounds.evacuation_time, Duration::from_secs(5));
    assert_eq!(settings.bounds.leave_time, Duration::from_millis(2_500));
    assert_eq!(settings.bounds.contact_time, Duration::from_secs(4));
    let example = std::fs::read_to_string(Path::new(EXAMPLES).join("settings.jsonc")).unwrap();
    assert!(!is_gateway_settings(&example));
}

struct MachineCase {
    added: &'static str,
    memory_mb: usize,
    descriptors: usize,
}

/// Guards against a process that doesn't start, or can't serve, because of what the platform tells of its machine.
#[test]
fn limits_of_the_machine_are_taken_or_have_defaults() {
    let cases = [
        MachineCase { added: "", memory_mb: 256, descriptors: 4_100 },
        MachineCase {
            added: "\"memory_mb\": 160, \"max_descriptors\": 1024,",
            memory_mb: 160,
            descriptors: 1_024,
        },
        MachineCase {
            added: "\"memory_mb\": 511.5, \"max_descriptors\": 0,",
            memory_mb: 511,
            descriptors: 128,
        },
        MachineCase { added: "\"memory_mb\": 1,", memory_mb: 32, descriptors: 4_100 },
    ];
    for MachineCase { added, memory_mb, descriptors } in cases {
        let text = GATEWAY.replacen('{', &format!("{{{added}"), 1);
        let (settings, findings) = parse_gateway_settings("settings", &text);
        assert_eq!(findings, FindingList::default(), "{added}");
        let settings = settings.unwrap();
        assert_eq!(settings.memory_bytes, memory_mb << 20, "{added}");
        assert_eq!(settings.max_descriptors, descriptors, "{added}");
    }
}

struct GatewayFaultCase {
    old: &'static str,
    new: &'static str,
    finding: &'static str,
}

/// Guards against a process that starts with unusable settings, and against a check that has to be run once per
/// error.
#[test]
fn errors_in_gateway_settings_give_findings() {
    let faults = [
        GatewayFaultCase {
            old: "[7600, 7615]",
            new: "[7600, 7601]",
            finding: "not a first and a last port",
        },
        GatewayFaultCase {
            old: "\"10.1.0.7:8221\"",
            new: "\"here:80\"",
            finding: "not a valid value",
        },
        GatewayFaultCase { old: "true", new: "\"yes\"", finding: "not a boolean" },
        GatewayFaultCase {
            old: "\"retry_ratio\": 0.2",
            new: "\"retry_ratio\": -1",
            finding: "not a valid number",
        },
        GatewayFaultCase { old: "\"grace_s\"", new: "\"grace\"", finding: "unknown key `grace`" },
    ];
    let mut all = GATEWAY.to_owned();
    for GatewayFaultCase { old, new, finding } in &faults {
        let text = GATEWAY.replace(old, new);
        let (settings, findings) = parse_gateway_settings("settings", &text);
        assert!(settings.is_none());
        assert_eq!(findings.findings.len(), 1, "{findings}");
        assert!(findings.to_string().contains(finding), "{findings}");
        all = all.replace(old, new);
    }
    let (_, findings) = parse_gateway_settings("settings", &all);
    assert_eq!(findings.findings.len(), faults.len(), "{findings}");
}
