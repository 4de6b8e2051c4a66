//! Graceful shutdown.

use std::time::Duration;

use http::Method;
use tarragon_standin::engine::{self, EngineSettings, HardwareProfile};

use crate::support::*;

/// Guards against requests that are cut off by planned maintenance.
#[tokio::test]
async fn drain_cuts_off_no_request() {
    bounded(async {
        let fast = HardwareProfile::second_generation();
        let engine = engine::start(EngineSettings::new("runner-1", fast, "small")).await.unwrap();
        let targets = vec![target("runner-1", "pool", engine.address())];
        let handle = start(settings("drain-1", targets)).await;
        let address = handle.caller_address;
        let calls: Vec<_> = (0..8)
            .map(|index| {
                let call = TestCall::chat(&format!("order {index} [answer=60]"), index % 2 == 0);
                tokio::spawn(async move { call.send(address).await })
            })
            .collect();
        until("all are dispatched", || engine.occupied() == 8).await;
        let drain = TestCall::new(Method::POST, "/admin/drain").send(handle.admin_address).await;
        assert_eq!(drain.status, 202);
        until("the process is not ready", || !handle.is_ready()).await;
        let late = TestCall::chat("too late", true).send(address).await;
        assert_eq!((late.status.as_u16(), late.outcome()), (503, "not-run"), "{late:?}");
        assert!(!late.header("retry-after").is_empty(), "{late:?}");
        for (index, call) in calls.into_iter().enumerate() {
            let answer = call.await.unwrap();
            assert_eq!(answer.outcome(), "done", "{answer:?}");
            if index % 2 == 0 {
                assert!(answer.streamed().1);
            }
        }
        let report = handle.wait().await.unwrap();
        assert_eq!((report.interrupted, report.aborted), (0, false));
    })
    .await;
}

/// Guards against a shutdown that hangs: an abort ends at once and tells what it cut off.
#[tokio::test]
async fn abort_ends_at_once_and_reports() {
    bounded(async {
        let slow = HardwareProfile::first_generation();
        let engine = engine::start(EngineSettings::new("runner-1", slow, "small")).await.unwrap();
        let targets = vec![target("runner-1", "pool", engine.address())];
        let handle = start(settings("drain-2", targets)).await;
        let address = handle.caller_address;
        let call = TestCall::chat("long [answer=5000]", true);
        let response = connect(address).await.send_request(call.request()).await.unwrap();
        let report = tokio::time::timeout(Duration::from_secs(1), handle.abort()).await;
        let report = report.unwrap().unwrap();
        assert_eq!((report.interrupted, report.aborted), (1, true));
        assert!(http_body_util::BodyExt::collect(response.into_body()).await.is_err());
        until("the engine is idle", || engine.occupied() == 0).await;
    })
    .await;
}

struct ExitCase {
    name: &'static str,
    streamed: bool,
}

const EXITS: &[ExitCase] = &[
    ExitCase { name: "a whole answer", streamed: false },
    ExitCase { name: "a stream that has begun", streamed: true },
];

/// Guards against callers whose connections are closed without an answer, or without the event that ends a stream
/// which can't be finished, when the process exits before their requests are complete.
#[tokio::test]
async fn requests_that_outlast_the_shutdown_get_a_final_answer() {
    for (index, case) in EXITS.iter().enumerate() {
        bounded(async {
            let slow = HardwareProfile::first_generation();
            let engine =
                engine::start(EngineSettings::new("runner-1", slow, "small")).await.unwrap();
            let targets = vec![target("runner-1", "pool", engine.address())];
            let mut settings = settings(&format!("drain-{}", 3 + index), targets);
            settings.drain_timeout = Duration::from_millis(1_500);
            let handle = start(settings).await;
            let address = handle.caller_address;
            let call = TestCall::chat("long [answer=5000]", case.streamed);
            let mut connection = connect(address).await;
            let answer = tokio::spawn(async move { connection.send_request(call.request()).await });
            until("it runs", || engine.occupied() == 1).await;
            TestCall::new(Method::POST, "/admin/drain").send(handle.admin_address).await;
            let report = handle.wait().await.unwrap();
            assert_eq!((report.interrupted, report.aborted), (1, false), "{}", case.name);
            let answer = answer.await.unwrap();
            let answer = answer.unwrap_or_else(|error| panic!("{}: no answer: {error}", case.name));
            let outcome = answer.headers().get("x-tarragon-outcome").cloned();
            let status = answer.status().as_u16();
            let body = http_body_util::BodyExt::collect(answer.into_body()).await;
            let body = body.unwrap_or_else(|error| panic!("{}: cut: {error}", case.name));
            let text = String::from_utf8(body.to_bytes().to_vec()).unwrap();
            if !case.streamed {
                assert_eq!(outcome.unwrap(), "unknown", "{}: {status}", case.name);
                return;
            }
            assert!(status == 200 && text.contains("event: error"), "{}: {text}", case.name);
            assert!(!read_events(text.split("event: error").next().unwrap()).1, "{text}");
        })
        .await;
    }
}
