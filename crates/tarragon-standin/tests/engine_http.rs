//! The engine over HTTP: answers, cancelling, load, orders and crashes.

#[path = "common/call.rs"]
mod common;

use std::time::Duration;

use common::call;
use http::StatusCode;
use tarragon_protocol::{engine::CacheEvent, prelude::*};
use tarragon_standin::engine::{self, EngineHandle, EngineSettings, HardwareProfile, answer_token};
use tokio::time::{sleep, timeout};

async fn start() -> EngineHandle {
    let hardware = HardwareProfile::second_generation().scaled(10.0);
    let settings = EngineSettings {
        report_lag: Duration::from_millis(100),
        event_lag: Duration::from_millis(10),
        restart_delay: Duration::from_millis(50),
        load_duration: Duration::from_millis(20),
        ..EngineSettings::new("runner", hardware, "m")
    };
    engine::start(settings).await.unwrap()
}

fn chat(content: &str, stream: bool, id: &str) -> String {
    serde_json::json!({
        "model": "m",
        "stream": stream,
        "messages": [{ "role": "user", "content": content }],
        "tarragon": { "request_id": id },
    })
    .to_string()
}

async fn complete(engine: &EngineHandle, body: &str) -> anyhow::Result<(StatusCode, String)> {
    call("POST", engine.address(), "/v1/chat/completions", &[], body).await
}

/// Waits for a condition, at most two seconds.
async fn eventually<C>(condition: C)
where
    C: Fn() -> bool,
{
    for _ in 0..200 {
        if condition() {
            return;
        }
        sleep(Duration::from_millis(10)).await;
    }
    panic!("the condition did not become true within two seconds");
}

#[tokio::test]
async fn streams_tokens_with_their_index_and_ends_with_done() {
    let engine = start().await;
    let (status, body) = complete(&engine, &chat("hello [answer=3]", true, "r-1")).await.unwrap();
    assert_eq!(status, StatusCode::OK);
    let prompt = "user\nhello [answer=3]\n";
    for index in 0..3 {
        assert!(
            body.contains(&format!("\"content\":\"{}\"", answer_token(prompt, index))),
            "{body}"
        );
        assert!(body.contains(&format!("\"request_id\":\"r-1\",\"index\":{index}")), "{body}");
    }
    assert!(body.ends_with("data: [DONE]\n\n"));
    let (_, whole) = complete(&engine, &chat("hello [answer=3]", false, "r-2")).await.unwrap();
    assert!(whole.contains(&answer_token(prompt, 2)));
    assert_eq!(engine.counters().runs["r-1"], 1);
}

#[tokio::test]
async fn a_closed_connection_or_a_call_cancels() {
    let engine = start().await;
    let body = chat("[answer=60000]", true, "r-1");
    assert!(timeout(Duration::from_millis(200), complete(&engine, &body)).await.is_err());
    eventually(|| engine.counters().cancelled == 1).await;
    let (address, running) = (engine.address(), complete(&engine, &body));
    let cancel = async {
        eventually(|| engine.occupied() == 1).await;
        call("DELETE", address, "/v1/requests/r-1", &[], "").await.unwrap().0
    };
    let (answer, cancelled) = tokio::join!(running, cancel);
    assert_eq!(cancelled, StatusCode::NO_CONTENT);
    assert!(!answer.unwrap().1.contains("[DONE]"));
}

#[tokio::test]
async fn load_reports_lag_and_orders_change_the_engine() {
    let engine = start().await;
    let order = |fencing: u64, model: &str| {
        format!(
            r#"{{"fencing":{fencing},"change":{{"kind":"load","model":"{model}","version":1,"adapter":null}}}}"#
        )
    };
    let (status, _) = call("POST", engine.address(), "/orders", &[], &order(7, "n")).await.unwrap();
    assert_eq!(status, StatusCode::OK);
    let (status, _) = call("POST", engine.address(), "/orders", &[], &order(6, "o")).await.unwrap();
    assert_eq!(status, StatusCode::CONFLICT, "an old fencing number is refused");
    sleep(Duration::from_millis(300)).await;
    let (_, body) = call("GET", engine.address(), "/load", &[], "").await.unwrap();
    let report: LoadReport = serde_json::from_str(&body).unwrap();
    assert!(report.lag_ms >= 100, "{report:?}");
    assert_eq!((report.fencing, report.models.len()), (7, 2));
    assert!(report.last_order_age_ms.is_some());
}

#[tokio::test]
async fn cache_blocks_are_reported_and_exchanged() {
    let (engine, other) = (start().await, start().await);
    complete(&engine, &chat(&"a long prompt ".repeat(100), false, "r-1")).await.unwrap();
    sleep(Duration::from_millis(20)).await;
    let (_, body) = call("GET", engine.address(), "/cache/events?after=0", &[], "").await.unwrap();
    let events: Vec<CacheEvent> = serde_json::from_str(&body).unwrap();
    let blocks = serde_json::json!({ "blocks": events[0].blocks }).to_string();
    let (_, held) = call("POST", other.address(), "/kv/export", &[], &blocks).await.unwrap();
    assert_eq!(held, "{\"blocks\":[]}");
    let (_, held) = call("POST", other.address(), "/kv/import", &[], &blocks).await.unwrap();
    assert_eq!(held, blocks);
}

/// A stream that ended cleanly at a crash would look like a complete answer.
#[tokio::test]
async fn a_crash_resets_connections_and_refuses_new_ones() {
    let engine = start().await;
    engine.crash_on(Some("poison"));
    let long = chat("[answer=60000]", true, "r-1");
    let crash = async {
        eventually(|| engine.occupied() == 1).await;
        complete(&engine, &chat("poison", true, "r-2")).await
    };
    let (beside, crasher) = tokio::join!(complete(&engine, &long), crash);
    assert!(beside.is_err() && crasher.is_err());
    assert!(call("GET", engine.address(), "/load", &[], "").await.is_err());
    sleep(Duration::from_millis(300)).await;
    let (_, body) = call("GET", engine.address(), "/load", &[], "").await.unwrap();
    let report: LoadReport = serde_json::from_str(&body).unwrap();
    assert_eq!(report.state, TargetState::Cold);
    assert_eq!(engine.counters().crashes, 1);
}
