//! The binary as operators and scripts call it.

use std::process::{Command, Output, Stdio};

fn tarragonfront(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_tarragonfront")).args(arguments).output().unwrap()
}

struct CallCase {
    arguments: &'static [&'static str],
    code: i32,
    output: &'static str,
}

/// Scripts decide by the exit code whether to publish.
#[test]
fn exit_codes_and_output() {
    let cases = [
        CallCase {
            arguments: &["check", "examples/settings.jsonc"],
            code: 0,
            output: "no findings in examples/settings.jsonc and examples/oshana.rules",
        },
        CallCase {
            arguments: &["check", "--json", "examples/settings.jsonc", "examples/settings.jsonc"],
            code: 1,
            output: "\"findings\": [",
        },
        CallCase {
            arguments: &["check", "no-such-file"],
            code: 1,
            output: "the file can't be read",
        },
        CallCase { arguments: &["serve", "no-such-file"], code: 1, output: "can't be read" },
        CallCase { arguments: &["dump"], code: 1, output: "name the process by --settings" },
        CallCase { arguments: &["demo", "--seconds", "100"], code: 1, output: "write 3 to 25" },
        CallCase {
            arguments: &["explain", "--metrics", "127.0.0.1:9"],
            code: 1,
            output: "name the request by --path PATH or --head FILE",
        },
        CallCase {
            arguments: &["explain", "--metrics", "127.0.0.1:9", "--path", "/read/1"],
            code: 1,
            output: "127.0.0.1:9 can't be reached",
        },
        CallCase {
            arguments: &["explain", "--address", "127.0.0.1:9"],
            code: 1,
            output: "name the workspace by --workspace NAME",
        },
        CallCase { arguments: &["--help"], code: 0, output: "Available commands" },
    ];
    for CallCase { arguments, code, output } in cases {
        let result = tarragonfront(arguments);
        let text = String::from_utf8_lossy(&[result.stdout, result.stderr].concat()).into_owned();
        assert_eq!(result.status.code(), Some(code), "{arguments:?}: {text}");
        assert!(text.contains(output), "{arguments:?}: {text}");
    }
}

/// An unknown plug-in would silently fall back to the default when the rules are in force.
#[test]
fn unknown_plug_ins_are_findings() {
    let rules = std::env::temp_dir().join(format!("plug-ins-{}.rules", std::process::id()));
    let rules_text = std::fs::read_to_string("examples/oshana.rules").unwrap();
    let rules_text =
        rules_text.replace("policy default choose=least-cost", "policy default choose=fastest");
    std::fs::write(&rules, rules_text).unwrap();
    let result = tarragonfront(&["check", "examples/settings.jsonc", rules.to_str().unwrap()]);
    std::fs::remove_file(&rules).unwrap();
    let output = String::from_utf8_lossy(&result.stdout).into_owned();
    assert_eq!(result.status.code(), Some(1), "{output}");
    assert!(output.contains("there is no plug-in `fastest`") && output.contains("least-cost"));
}

/// `tarragonfront dump | head` must not end in a panic when `head` closes the pipe.
#[test]
fn a_closed_pipe_is_no_failure() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_tarragonfront"))
        .args(["check", "examples/settings.jsonc"])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    drop(child.stdout.take());
    assert_eq!(child.wait().unwrap().code(), Some(0));
}

/// Guards against an on-call engineer who can't find which decisions led to a failed request.
#[test]
fn trace_tells_a_requests_story_in_order() {
    let folder = std::env::temp_dir().join(format!("tarragon-trace-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let log = folder.join("vm-1.log");
    let lines = [
        r#"{"timestamp":"2026-01-01T00:00:03Z","message":"refused","request":"abc","code":"TargetFailed"}"#,
        r#"{"timestamp":"2026-01-01T00:00:01Z","message":"target has changed","target_address":"10.0.0.1:80","leaving":false}"#,
        r#"{"timestamp":"2026-01-01T00:00:02Z","message":"sent","request":"abc","id":17,"target_address":"10.0.0.1:80"}"#,
        r#"{"timestamp":"2026-01-01T00:00:02Z","message":"refused: over the quota","request":17}"#,
        r#"{"timestamp":"2026-01-01T00:00:02Z","message":"sent","request":"other","target_address":"10.0.0.2:80"}"#,
        "a line of another program",
    ];
    std::fs::write(&log, lines.join("\n")).unwrap();
    let path = log.to_str().unwrap();
    let result = tarragonfront(&["trace", "--request", "abc", path]);
    let text = String::from_utf8(result.stdout).unwrap();
    let messages: Vec<&str> = text
        .lines()
        .filter_map(|line| line.split(" vm-1.log ").nth(1)?.split(": ").next())
        .collect();
    assert_eq!(messages, ["target has changed", "sent", "refused", "refused"], "{text}");
    let unknown = tarragonfront(&["trace", "--request", "none", path]);
    assert_eq!(unknown.status.code(), Some(1));
    std::fs::remove_dir_all(&folder).unwrap();
}
