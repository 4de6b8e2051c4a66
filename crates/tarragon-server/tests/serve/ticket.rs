//! Calls that must not run twice.

use std::{net::SocketAddr, time::Duration};

use http::Method;
use tarragon_server::{
    clock::{ProcessClock, RuntimeClock},
    serve::ServeOptions,
    settings::{SeedPeer, ServeSettings},
};
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

/// Guards against a call that a VM dispatches when it resumes, after its caller's deadline: the
/// scheduler's clock stands still while the machine is suspended.
#[tokio::test]
async fn call_is_withheld_after_a_suspension() {
    bounded(async {
        let mut only = ServiceSettings::new("ledger-1");
        only.bears = 1;
        only.delay = Duration::from_millis(800);
        let service = service::start(only).await.unwrap();
        let targets = vec![target("ledger-1", "ledger", service.address())];
        let clock = RuntimeClock::new();
        let options = ServeOptions { clock: ProcessClock::Runtime(clock.clone()), ..options() };
        let handle = start_ready(settings("ticket-5", targets), options).await;
        let address = handle.caller_address;
        let (first, second) = (ticket(address).await, ticket(address).await);
        let running = tokio::spawn(async move { reserve(&first, "call-1").send(address).await });
        until("the first call runs", || service.counters().received == 1).await;
        let repeat = reserve(&second, "call-2").with("x-tarragon-deadline-ms", "5000");
        let waiting = tokio::spawn(async move { (repeat.send(address).await, repeat) });
        until("both are open", || metric(&handle, "tarragon_in_flight", "") == 2.0).await;
        clock.suspend(Duration::from_secs(60));
        assert_eq!(running.await.unwrap().outcome(), "done");
        let (late, repeat) = waiting.await.unwrap();
        assert_eq!(late.outcome(), "not-run", "{late:?}");
        assert_eq!(repeat.send(address).await.outcome(), "not-run");
        assert_eq!(service.runs_of("call-2"), 0);
        handle.shutdown().await.unwrap();
    })
    .await;
}

struct EarlyRefusal {
    name: &'static str,
    header: &'static str,
    value: &'static str,
    path: &'static str,
    status: u16,
}

/// Guards against a false "not run": a repeat that is refused before the owner of its ticket has decided
/// must not let the caller send the call again under a new ticket.
#[tokio::test]
async fn early_refusal_of_a_repeat_says_unknown() {
    let path = "/services/ledger/reserve";
    let case =
        |name, header, value, path, status| EarlyRefusal { name, header, value, path, status };
    let cases = [
        case("faulty tier", "x-tarragon-tier", "top", path, 400),
        case("faulty deadline", "x-tarragon-deadline-ms", "0", path, 400),
        case("unknown service", "x-tarragon-tier", "high", "/services/gone/reserve", 404),
        case("no room", "x-tarragon-tier", "routine", path, 503),
    ];
    bounded(async {
        let service = ledger().await;
        let targets = vec![target("ledger-1", "ledger", service.address())];
        let mut settings = settings("ticket-4", targets);
        // Room for no request below the highest tier.
        settings.limits.streams = 48;
        let handle = start(settings).await;
        let address = handle.caller_address;
        let ticket = ticket(address).await;
        let done = reserve(&ticket, "call-1").send(address).await;
        assert_eq!(done.outcome(), "done", "{done:?}");
        service.set_delay(Duration::from_millis(1_500));
        let mut running = Vec::new();
        for _ in 0..40 {
            let other = self::ticket(address).await;
            running.push(tokio::spawn(async move { reserve(&other, "other").send(address).await }));
        }
        until("requests are open", || metric(&handle, "tarragon_in_flight", "") >= 40.0).await;
        for EarlyRefusal { name, header, value, path, status } in cases {
            let mut repeat = reserve(&ticket, "call-1").with(header, value);
            repeat.path = path.to_owned();
            let answer = repeat.send(address).await;
            assert_eq!((answer.status.as_u16(), answer.outcome()), (status, "unknown"), "{name}");
        }
        running.into_iter().for_each(|call| call.abort());
        handle.abort().await.unwrap();
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
