//! Failed requests of real processes, explained with the commands in `docs/OPERATIONS.md`.

#[path = "common/served_process.rs"]
mod served_process;
#[path = "../platform/tests/calls/wire.rs"]
mod wire;

use std::{net::SocketAddr, path::Path, process::Command, time::Duration};

use serde_json::json;
use served_process::ServedProcess;
use tarragon_standin::{
    scripted_target::{ScriptedTarget, TargetStep},
    shared_store::SharedStore,
};
use tokio::time::{Instant, sleep};
use wire::*;

/// Starts a process whose services have one target each.
async fn start(name: &str, ledger: &ScriptedTarget, engine: &ScriptedTarget) -> ServedProcess {
    let store = SharedStore::start().await.unwrap();
    store.put_json("op/config", &configuration(1));
    register(&store, "ledger", ledger, "ready");
    register(&store, "pool", engine, "ready");
    let bounds = json!({
        "retry_ratio": 0.2, "retry_slack": 50.0, "quota_window_s": 8.0,
        "quota_overage": 0.25, "quota_slack": 100.0,
    });
    ServedProcess::start(name, store, json!({ "bounds": bounds })).await
}

/// Output of `trace` for a request, once it contains the expected last message or the wait times out.
async fn await_trace(process: &ServedProcess, request: &str, last_message: &str) -> String {
    let end = Instant::now() + TEST_TIMEOUT;
    loop {
        let trace_text = run_trace(&process.folder.join("vm-1.log"), request);
        if trace_text.contains(last_message) || Instant::now() >= end {
            return trace_text;
        }
        sleep(Duration::from_millis(50)).await;
    }
}

fn run_trace(log: &Path, request: &str) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_tarragonfront"))
        .args(["trace", "--request", request])
        .arg(log)
        .output()
        .unwrap();
    String::from_utf8(output.stdout).unwrap()
}

fn request_with_id(id: &str, path: &str, tokens: &str) -> String {
    let text = request("POST", path, &format!("Token-Count: {tokens}\n"), "prompt");
    text.replace("9c41d07be2a35f68", id)
}

fn number_after(trace_text: &str, field: &str) -> Option<u64> {
    let rest = &trace_text[trace_text.find(field)? + field.len()..];
    rest.split_whitespace().next()?.parse().ok()
}

struct FailureCase {
    /// Kind of failure, as in `docs/OPERATIONS.md`.
    kind: &'static str,
    id: &'static str,
    path: &'static str,
    tokens: &'static str,
    status: u16,
    /// Message of the last line of the trace.
    last_message: &'static str,
    /// Texts that the trace must contain, in this order.
    expected_texts: &'static [&'static str],
}

const ANSWER_DELAY: Duration = Duration::from_millis(1_200);

const CASES: &[FailureCase] = &[
    FailureCase {
        kind: "refused though targets seemed free",
        id: "a100000000000001",
        path: "/stream/1",
        tokens: "900000,100000",
        status: 429,
        last_message: " refused: ",
        expected_texts: &[
            "request received: ",
            "workspace=\"depot\"",
            "prompt_tokens=900000",
            "refused: over the quota: ",
            "units=1000000",
            " refused: ",
            "code=\"LimitReached\"",
        ],
    },
    FailureCase {
        kind: "502 though a target ran it",
        id: "a100000000000002",
        path: "/once/1",
        tokens: "10,10",
        status: 502,
        last_message: " refused: ",
        expected_texts: &[
            "request received: ",
            "believed ",
            "target is listed: ",
            "sent: ",
            "answer is incomplete: ",
            "attempt failed: ",
            "end=\"broken\"",
            " refused: ",
            "outcome=\"unknown\"",
            "code=\"TargetFailed\"",
        ],
    },
    FailureCase {
        kind: "late stream",
        id: "a100000000000003",
        path: "/stream/1",
        tokens: "100,50",
        status: 200,
        last_message: "stream completed",
        expected_texts: &[
            "request received: ",
            "sent: ",
            "waited_ms=",
            "stream completed: ",
            "spent_ms=1",
        ],
    },
];

/// Guards against a failed request whose cause an on-call engineer can't find from the logs alone.
#[tokio::test]
async fn logs_show_why_requests_failed() {
    let head = format!("HTTP/1.1 200 OK\nrequest-id: {{id}}\ncontent-length: 9\n{SIGNATURE}\n\n");
    let truncated = vec![write(&format!("{head}part")), TargetStep::Close];
    let ledger = ScriptedTarget::start(vec![truncated]).await.unwrap();
    let late = vec![TargetStep::Pause(ANSWER_DELAY), stream_head(), event(1), stream_end()];
    let engine = ScriptedTarget::start(vec![late]).await.unwrap();
    let process = start("failures", &ledger, &engine).await;
    for case in CASES {
        let FailureCase { kind, id, path, tokens, last_message, expected_texts, .. } = case;
        let answer = send(process.caller, &request_with_id(id, path, tokens)).await;
        assert_eq!(status(&answer), case.status, "{kind}: {answer}");
        let trace_text = await_trace(&process, id, last_message).await;
        let mut rest = trace_text.as_str();
        for text in *expected_texts {
            let found = rest.find(text);
            assert!(found.is_some(), "{kind}: `{text}` is missing or too early in\n{trace_text}");
            rest = &rest[found.unwrap_or(0)..];
        }
        // The objective is 800 ms: a shorter wait in the process shows that it did not cause the delay.
        let waited = number_after(&trace_text, "waited_ms=");
        assert!(waited.is_none_or(|waited| waited < 800), "{kind}: {trace_text}");
    }
}

/// Guards against an explanation that is missing for a process that reads a shared store, and one that shows a key.
#[tokio::test]
async fn a_request_is_explained_from_its_head() {
    let target = || ScriptedTarget::start(vec![vec![]]);
    let (ledger, engine) = (target().await.unwrap(), target().await.unwrap());
    let process = start("explain", &ledger, &engine).await;
    let head = process.folder.join("head.txt");
    std::fs::write(&head, request("POST", "/stream/1", "Token-Count: 70,30\n", "")).unwrap();
    let metrics = SocketAddr::new(process.caller.ip(), 7_602).to_string();
    let output = Command::new(env!("CARGO_BIN_EXE_tarragonfront"))
        .args(["explain", "--metrics", &metrics, "--head"])
        .arg(&head)
        .output()
        .unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    eprintln!("{text}");
    assert!(output.status.success(), "{text}{}", String::from_utf8_lossy(&output.stderr));
    let address = engine.address().to_string();
    let expected = ["\"workspace\": \"depot\"", "\"units\": 100", "\"chosen\": \"", &address];
    expected.iter().for_each(|expected| assert!(text.contains(expected), "{expected}: {text}"));
    assert!(!text.contains(CALLER_KEY), "{text}");
    assert_eq!(ledger.seen().len() + engine.seen().len(), 0);
}
