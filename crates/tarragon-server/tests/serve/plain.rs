//! Calls of plain services that may be repeated.

use http::Method;
use tarragon_standin::service::{self, CALL_ID, ServiceFault, ServiceSettings};

use crate::support::*;

/// Guards against calls that are changed on their way, and against paths outside the rule's prefix.
#[tokio::test]
async fn calls_are_forwarded_whole() {
    bounded(async {
        let service = service::start(ServiceSettings::new("lookup-1")).await.unwrap();
        let targets = vec![target("lookup-1", "lookup", service.address())];
        let handle = start(settings("plain-1", targets)).await;
        let call = TestCall::new(Method::PUT, "/services/lookup/v1/rolls/7?unit=m%C2%B2&x=")
            .with_body("width=4")
            .with(CALL_ID, "call-1");
        let answer = call.send(handle.caller_address).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(answer.outcome(), "done");
        let body = answer.json();
        assert_eq!(body["method"], "PUT");
        assert_eq!(body["path"], "/v1/rolls/7?unit=m%C2%B2&x=");
        assert_eq!(body["body"], "width=4");
        assert_eq!(body["call_id"], "call-1");
        for path in ["/services/lookup/v2", "/services/lookup/v1/../v2", "/services/none/v1"] {
            let answer = TestCall::new(Method::GET, path).send(handle.caller_address).await;
            assert_eq!((answer.status.as_u16(), answer.outcome()), (404, "not-run"), "{path}");
        }
        handle.shutdown().await.unwrap();
    })
    .await;
}

/// Guards against an idempotent call that is given up although another target can run it.
#[tokio::test]
async fn lost_answer_of_an_idempotent_call_is_fetched_again() {
    bounded(async {
        let first = service::start(ServiceSettings::new("lookup-1")).await.unwrap();
        let second = service::start(ServiceSettings::new("lookup-2")).await.unwrap();
        let targets = vec![
            target("lookup-1", "lookup", first.address()),
            target("lookup-2", "lookup", second.address()),
        ];
        let handle = start(settings("plain-2", targets)).await;
        first.fail_next(ServiceFault::CloseAfterRun, 1);
        second.fail_next(ServiceFault::CloseAfterRun, 1);
        let call = TestCall::new(Method::GET, "/services/lookup/v1/rolls").with(CALL_ID, "call-1");
        let answer = call.send(handle.caller_address).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        assert!(first.runs_of("call-1") + second.runs_of("call-1") >= 2);
        handle.shutdown().await.unwrap();
    })
    .await;
}
