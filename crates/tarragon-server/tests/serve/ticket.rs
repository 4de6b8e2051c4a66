//! Calls that must not run twice.

use std::{net::SocketAddr, time::Duration};

use http::Method;
use tarragon_server::settings::{SeedPeer, ServeSettings};
use tarragon_standin::service::{self, CALL_ID, ServiceFault, ServiceHandle, ServiceSettings};

use crate::support::*;

async fn ledger() -> ServiceHandle {
    service::start(ServiceSettings::new("ledger-1")).await.unwrap()
}

async fn ticket(address: SocketAddr) -> String {
    let answer = TestCall::new(Method::POST, "/v1/tickets").send(address).await;
    answer.json()["ticket"].as_str().unwrap().to_owned()
}

fn reserve(ticket: &str, call_id: &str) -> TestCall {
    TestCall::new(Method::POST, "/services/ledger/reserve")
        .with_body("roll=7")
        .with("x-tarragon-ticket", ticket)
        .with(CALL_ID, call_id)
}

/// Guards against a call that runs twice, and against a false "not run".
#[tokio::test]
async fn repeats_replay_the_outcome() {
    bounded(async {
        let service = ledger().await;
        let targets = vec![target("ledger-1", "ledger", service.address())];
        let handle = start(settings("ticket-1", targets)).await;
        let address = handle.caller_address;
        let missing = reserve("", "none").send(address).await;
        assert_eq!((missing.status.as_u16(), missing.outcome()), (428, "not-run"));
        let damaged = reserve("bm90IGEgdGlja2V0", "none").send(address).await;
        assert_eq!((damaged.status.as_u16(), damaged.outcome()), (422, "unknown"));
        let first = ticket(address).await;
        let done = reserve(&first, "call-1").send(address).await;
        let repeat = reserve(&first, "call-1").send(address).await;
        assert_eq!((done.status.as_u16(), done.outcome()), (200, "done"), "{done:?}");
        assert_eq!(repeat.body, done.body);
        let other = reserve(&first, "call-1").with_body("roll=8").send(address).await;
        assert_eq!((other.status.as_u16(), other.outcome()), (422, "unknown"));
        assert_eq!(service.runs_of("call-1"), 1);
        service.fail_next(ServiceFault::CloseAfterRun, 1);
        let second = ticket(address).await;
        for _ in 0..2 {
            let lost = reserve(&second, "call-2").send(address).await;
            assert_eq!((lost.status.as_u16(), lost.outcome()), (502, "unknown"), "{lost:?}");
        }
        assert_eq!(service.runs_of("call-2"), 1);
        handle.shutdown().await.unwrap();
    })
    .await;
}

/// Guards against a pooled connection that the target closed: its call must neither be sent again nor
/// end as unknown.
#[tokio::test]
async fn refused_connection_is_not_run() {
    bounded(async {
        let service = ledger().await;
        let targets = vec![target("ledger-1", "ledger", service.address())];
        let handle = start(settings("ticket-2", targets)).await;
        let address = handle.caller_address;
        let warm = reserve(&ticket(address).await, "call-0").send(address).await;
        assert_eq!(warm.outcome(), "done");
        service.refuse_connections(true);
        let call = reserve(&ticket(address).await, "call-1").with("x-tarragon-deadline-ms", "2000");
        let refused = call.send(address).await;
        assert_eq!(refused.outcome(), "not-run", "{refused:?}");
        assert_eq!(service.runs_of("call-1"), 0);
        handle.shutdown().await.unwrap();
    })
    .await;
}

/// Guards against a second run when two copies of a call are under way.
#[tokio::test]
async fn concurrent_repeats_join_one_run() {
    bounded(async {
        let service = ledger().await;
        service.set_delay(Duration::from_millis(300));
        let targets = vec![target("ledger-1", "ledger", service.address())];
        let handle = start(settings("ticket-3", targets)).await;
        let address = handle.caller_address;
        let ticket = ticket(address).await;
        let call = reserve(&ticket, "call-1");
        let (first, second, third) =
            tokio::join!(call.send(address), call.send(address), call.send(address));
        assert_eq!(first.outcome(), "done");
        assert_eq!(first.body, second.body);
        assert_eq!(first.body, third.body);
        assert_eq!(service.runs_of("call-1"), 1);
        handle.shutdown().await.unwrap();
    })
    .await;
}

/// Settings of two processes that know each other.
pub fn pair(
    name: &str,
    targets: &[tarragon_protocol::platform::PublishedTarget],
) -> [ServeSettings; 2] {
    let ports = [free_address(), free_address()];
    let vm = |index: usize| format!("{name}-{index}");
    [0, 1].map(|index| {
        let mut settings = settings(&vm(index), targets.to_vec());
        settings.peer_address = ports[index];
        settings.seed_peers = vec![SeedPeer {
            vm: vm(1 - index).into(),
            data_centre: "here".into(),
            address: ports[1 - index],
        }];
        settings
    })
}

/// Guards against a call that runs on a process that does not own its ticket.
#[tokio::test]
async fn ticket_of_another_process_is_forwarded_to_its_owner() {
    bounded(async {
        let service = ledger().await;
        let targets = vec![target("ledger-1", "ledger", service.address())];
        let [first, second] = pair("forward", &targets);
        let (owner, other) = tokio::join!(start(first), start(second));
        let ticket_text = ticket(owner.caller_address).await;
        let done = reserve(&ticket_text, "call-1").send(other.caller_address).await;
        assert_eq!((done.status.as_u16(), done.outcome()), (200, "done"), "{done:?}");
        let repeat = reserve(&ticket_text, "call-1").send(owner.caller_address).await;
        assert_eq!(repeat.body, done.body);
        assert_eq!(service.runs_of("call-1"), 1);
        let unused = ticket(owner.caller_address).await;
        owner.abort().await.unwrap();
        for text in [&ticket_text, &unused] {
            let lost = reserve(text, "call-1").send(other.caller_address).await;
            assert_eq!((lost.status.as_u16(), lost.outcome()), (502, "unknown"), "{lost:?}");
        }
        assert_eq!(service.runs_of("call-1"), 1);
        other.shutdown().await.unwrap();
    })
    .await;
}

/// Guards against outcomes that are lost by planned maintenance.
#[tokio::test]
async fn successor_answers_for_a_drained_owner() {
    bounded(async {
        let service = ledger().await;
        let targets = vec![target("ledger-1", "ledger", service.address())];
        let [first, second] = pair("successor", &targets);
        let (owner, other) = tokio::join!(start(first), start(second));
        let used = ticket(owner.caller_address).await;
        let unused = ticket(owner.caller_address).await;
        let done = reserve(&used, "call-1").send(owner.caller_address).await;
        assert_eq!(done.outcome(), "done", "{done:?}");
        let report = owner.shutdown().await.unwrap();
        assert_eq!(report.successor.as_deref(), Some("successor-1"));
        let repeat = reserve(&used, "call-1").send(other.caller_address).await;
        assert_eq!((repeat.outcome(), &repeat.body), ("done", &done.body));
        let sealed = reserve(&unused, "call-2").send(other.caller_address).await;
        assert_eq!(sealed.outcome(), "not-run", "{sealed:?}");
        assert_eq!((service.runs_of("call-1"), service.runs_of("call-2")), (1, 0));
        other.shutdown().await.unwrap();
    })
    .await;
}
