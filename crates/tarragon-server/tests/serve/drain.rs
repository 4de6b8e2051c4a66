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
