//! Requests that are faulty, cut short, too large or too slow.

use std::{net::SocketAddr, time::Duration};

use http::Method;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use crate::support::*;

struct HeaderCase {
    header: &'static str,
    value: &'static str,
    message: &'static str,
}

/// Guards against faulty headers that are guessed at, or refused without a hint.
#[tokio::test]
async fn faulty_headers_are_named() {
    let cases = [
        HeaderCase { header: "x-tarragon-workspace", value: "", message: "is missing" },
        HeaderCase {
            header: "x-tarragon-workspace",
            value: "a b",
            message: "not a workspace name",
        },
        HeaderCase { header: "x-tarragon-tier", value: "", message: "is missing" },
        HeaderCase { header: "x-tarragon-tier", value: "Urgent", message: "send one of urgent" },
        HeaderCase { header: "x-tarragon-deadline-ms", value: "0", message: "from 1 to 600000" },
        HeaderCase {
            header: "x-tarragon-deadline-ms",
            value: "600001",
            message: "from 1 to 600000",
        },
        HeaderCase { header: "x-tarragon-deadline-ms", value: "+5", message: "from 1 to 600000" },
        HeaderCase { header: "x-tarragon-deadline-ms", value: "soon", message: "from 1 to 600000" },
        HeaderCase { header: "x-tarragon-idempotent", value: "yes", message: "true or false" },
        HeaderCase { header: "x-tarragon-attempt", value: "0", message: "from 1 on" },
        HeaderCase { header: "x-tarragon-attempt", value: "-1", message: "from 1 on" },
    ];
    bounded(async {
        let handle = start(settings("headers", Vec::new())).await;
        for HeaderCase { header, value, message } in cases {
            let call = TestCall::chat("hello", true).with(header, value);
            let answer = call.send(handle.caller_address).await;
            let error = answer.json()["error"].clone();
            assert_eq!(answer.status, 400, "{header}: {value}");
            assert_eq!(error["header"], header, "{error}");
            assert!(error["message"].as_str().unwrap().contains(message), "{error}");
            assert_eq!(answer.outcome(), "not-run");
            assert_eq!(answer.header("x-tarragon-request-id").len(), 16);
        }
        handle.shutdown().await.unwrap();
    })
    .await;
}

struct BodyCase {
    name: &'static str,
    body: String,
    status: u16,
    code: &'static str,
}

/// Guards against bodies that are misread or held without a bound.
#[tokio::test]
async fn faulty_bodies_are_refused_as_not_run() {
    let case = |name, body: String, status, code| BodyCase { name, body, status, code };
    let cases = [
        case("no JSON", "hello".into(), 400, "invalid_body"),
        case("no model", r#"{"messages": []}"#.into(), 400, "invalid_body"),
        case("no messages", r#"{"model": "small"}"#.into(), 400, "invalid_body"),
        case(
            "unknown model",
            r#"{"model": "large", "messages": [{"role": "user", "content": "x"}]}"#.into(),
            404,
            "unknown_service",
        ),
        case("too large", "x".repeat(2_000), 413, "invalid_body"),
    ];
    bounded(async {
        let mut settings = settings("bodies", Vec::new());
        settings.limits.body_bytes = 1_000;
        // With a second model service, a model without a rule has no service.
        let rules = settings.rules_file.clone().unwrap();
        let text = std::fs::read_to_string(&rules).unwrap();
        let more = "service other kind=model idempotent=yes # asked by: tests\n";
        std::fs::write(&rules, text + more).unwrap();
        let handle = start(settings).await;
        for BodyCase { name, body, status, code } in cases {
            let call = TestCall::new(Method::POST, "/v1/chat/completions").with_body(body);
            let answer = call.send(handle.caller_address).await;
            assert_eq!(answer.status.as_u16(), status, "{name}: {answer:?}");
            assert_eq!(answer.code(), code, "{name}");
            assert_eq!(answer.outcome(), "not-run", "{name}");
        }
        handle.shutdown().await.unwrap();
    })
    .await;
}

/// Sends raw bytes and returns what comes back until the connection closes.
async fn send_raw(address: SocketAddr, bytes: &[u8], finish: bool) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    if finish {
        stream.shutdown().await.unwrap();
    }
    let mut answer = Vec::new();
    let _ = timeout(Duration::from_secs(5), stream.read_to_end(&mut answer)).await.unwrap();
    String::from_utf8(answer).unwrap()
}

const HEAD: &str = "POST /v1/chat/completions HTTP/1.1\r\nhost: test\r\n\
    x-tarragon-workspace: crews\r\nx-tarragon-tier: high\r\n";

/// Guards against a part of a body that is taken for the whole, and against slow senders that hold
/// connections for ever.
#[tokio::test]
async fn bodies_and_headers_that_stop_are_given_up() {
    bounded(async {
        let mut settings = settings("slow", Vec::new());
        settings.limits.body_timeout = Duration::from_millis(600);
        settings.limits.header_timeout = Duration::from_millis(300);
        let handle = start(settings).await;
        let address = handle.caller_address;
        let cut = format!("{HEAD}content-length: 100\r\n\r\n{{\"model\"");
        let answer = send_raw(address, cut.as_bytes(), true).await;
        assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 400"), "{answer}");
        let answer = send_raw(address, cut.as_bytes(), false).await;
        assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
        assert!(answer.contains("x-tarragon-outcome: not-run"), "{answer}");
        // Headers that stop, and a connection that sends nothing or part of an HTTP/2 preface.
        for bytes in [HEAD.as_bytes(), b"", b"PRI * HT"] {
            let answer = send_raw(address, bytes, false).await;
            assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 408"), "{answer}");
        }
        assert_eq!(metric(&handle, "tarragon_waiting", ""), 0.0);
        handle.shutdown().await.unwrap();
    })
    .await;
}

/// Guards against answers that a load balancer misreads.
#[tokio::test]
async fn health_and_unknown_paths() {
    bounded(async {
        let handle = start(settings("health", Vec::new())).await;
        for (path, status) in [("/health/live", 200), ("/health/ready", 200), ("/nothing", 404)] {
            let answer = TestCall::new(Method::GET, path).send(handle.caller_address).await;
            assert_eq!(answer.status.as_u16(), status, "{path}");
        }
        handle.shutdown().await.unwrap();
    })
    .await;
}

/// Guards against a refusal that its caller never sees because the connection is reset while the body is sent.
#[tokio::test]
async fn refusals_reach_callers_that_are_still_sending() {
    const HALF: usize = 300_000;
    bounded(async {
        let handle = start(settings("sending", Vec::new())).await;
        let mut stream = TcpStream::connect(handle.caller_address).await.unwrap();
        let length = 2 * HALF;
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        for _ in 0..2 {
            stream.write_all(&[b'x'; HALF]).await.unwrap();
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        let mut answer = vec![0; 4_096];
        let read = timeout(Duration::from_secs(5), stream.read(&mut answer)).await.unwrap();
        let answer = String::from_utf8_lossy(&answer[..read.unwrap()]).into_owned();
        assert!(answer.starts_with("HTTP/1.1 400"), "{answer:?}");
        handle.shutdown().await.unwrap();
    })
    .await;
}
