//! Crowds of clients that don't stay inside the limits, against a process that reads a store: it lives, its memory
//! and descriptors stay under the bounds of its machine, and an ordinary call is served while they are there.
//!
//! `untrusted_clients.rs` has the crowds that send bodies of the largest size.

#[allow(dead_code, reason = "these tests need only a part of it")]
#[path = "common/crowd.rs"]
mod crowd;
#[path = "common/process_meter.rs"]
mod process_meter;
#[path = "common/served_process.rs"]
mod served_process;
#[allow(dead_code, reason = "these tests need only some of the messages")]
#[path = "../platform/tests/calls/wire.rs"]
mod wire;

use std::net::SocketAddr;

use crowd::{
    ClientStep, CrowdMachine, CrowdPart, check_crowd, chunks, filler, ordinary_answer, start_crowd,
};
use serde_json::{Value, json};
use served_process::ServedProcess;
use tarragon_standin::{
    scripted_target::{ScriptedTarget, TargetStep},
    shared_store::SharedStore,
};
use tokio::{
    sync::Mutex,
    time::{Duration, Instant, sleep},
};
use wire::*;

/// `max-body-bytes` of the configuration.
const BODY_BYTES: usize = 4 << 20;
/// Length of the answers on `/bulk/`.
const ANSWER_BYTES: usize = 4_000_000;
/// Length of the events on `/events/`.
const EVENT_BYTES: usize = 60_000;
/// Time for which calls may last, longer than a test waits for anything.
const CALL_TIME_MS: u64 = 60_000;
const FEW_CONNECTIONS: CrowdMachine = CrowdMachine { memory_mb: 96, descriptors: 400 };
const MANY_CONNECTIONS: CrowdMachine = CrowdMachine { memory_mb: 96, descriptors: 1_000 };
const LITTLE_MEMORY: CrowdMachine = CrowdMachine { memory_mb: 64, descriptors: 1_000 };

/// The tests measure memory, so only one process may be under load at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// Adds a service with a route of its own.
fn add_service(terms: &mut Value, name: &str, kind: &str) {
    let route = json!({
        "name": name, "host": "calls.example", "path-prefix": format!("/{name}/"), "kind": kind,
        "timeout-ms": CALL_TIME_MS, "target-latency-ms": 800, "priority": 0, "service": name,
        "max-attempts": 1, "public": false, "sticky": true, "resumable": false,
        "gap-target-ms": 500,
    });
    terms["routes"].as_array_mut().unwrap().push(route);
    let service = json!({
        "name": name, "health-path": "/healthz", "max-conns": 1_000, "cold-s": 0.0,
        "cold-per-s": 0.0,
    });
    terms["services"].as_array_mut().unwrap().push(service);
}

fn crowd_configuration() -> Value {
    let mut terms = configuration(1);
    terms["limits"] = json!({
        "max-header-bytes": 16_384, "max-body-bytes": BODY_BYTES, "header-timeout-ms": 500,
        "idle-timeout-ms": CALL_TIME_MS,
    });
    for route in terms["routes"].as_array_mut().unwrap() {
        route["timeout-ms"] = json!(CALL_TIME_MS);
    }
    for (name, kind) in
        [("bulk", "non_idempotent"), ("hold", "non_idempotent"), ("events", "streaming")]
    {
        add_service(&mut terms, name, kind);
    }
    for field in ["rate-per-s", "burst"] {
        terms["tenants"][0][field] = json!(1_000_000_000_u64);
    }
    terms
}

/// A process with a target for each service.
struct CrowdedProcess {
    served: ServedProcess,
    _targets: Vec<ScriptedTarget>,
}

impl CrowdedProcess {
    async fn start(name: &str, machine: CrowdMachine) -> CrowdedProcess {
        let store = SharedStore::start().await.unwrap();
        store.put_json("op/config", &crowd_configuration());
        let answer = |bytes: usize| {
            write(&format!(
                "HTTP/1.1 200 OK\nrequest-id: {{id}}\n{SIGNATURE}\ncontent-length: {bytes}\n\n{}",
                "x".repeat(bytes)
            ))
        };
        let event = format!("data: {}\n\n", "x".repeat(EVENT_BYTES));
        let endless = TargetStep::WriteForever(format!("{:x}\r\n{event}\r\n", event.len()));
        let scripts = [
            ("ledger", vec![answer(4)]),
            ("pool", vec![stream_head(), crate::event(1), stream_end()]),
            ("bulk", vec![answer(ANSWER_BYTES)]),
            ("hold", vec![TargetStep::AwaitClose]),
            ("events", vec![stream_head(), endless]),
        ];
        let mut targets = Vec::new();
        for (service, script) in scripts {
            let target = ScriptedTarget::start(vec![script]).await.unwrap();
            let mut entry = registration(service, target.address(), "ready");
            entry["slots"] = json!(400);
            store.put_json(&format!("servers/i-{service}"), &entry);
            targets.push(target);
        }
        let settings =
            json!({ "memory_mb": machine.memory_mb, "max_descriptors": machine.descriptors });
        let served = ServedProcess::start(name, store, settings).await;
        CrowdedProcess { served, _targets: targets }
    }

    fn id(&self) -> (u32, SocketAddr) {
        (self.served.child.id(), self.served.caller)
    }
}

/// The head of a call of a crowd. `further` are headers, one a line.
fn head(path: &str, further: &str) -> ClientStep {
    head_within(CALL_TIME_MS, path, further)
}

fn head_within(deadline_ms: u64, path: &str, further: &str) -> ClientStep {
    ClientStep::Head(format!(
        "POST {path} HTTP/1.1\nhost: calls.example\nrequest-id: {{id}}\ndeadline-ms: {deadline_ms}\n\
         authorization: Bearer {CALLER_KEY}\n{further}\n"
    ))
}

async fn play_crowd(name: &str, machine: CrowdMachine, parts: &[CrowdPart]) {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut process = CrowdedProcess::start(name, machine).await;
    let call = request("POST", "/once/1", "", &"r".repeat(600));
    check_crowd(name, machine, process.id(), &call, parts).await;
    assert!(matches!(process.served.child.try_wait(), Ok(None)), "{name}: the process has ended");
}

/// Guards against memory that grows with a number in a head: review case 6, and the same with many parts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn prompt_parts_that_name_many_tokens() {
    let few = "token-count: 3720,40\nprompt-prefix: 1:4000000000,2:4000000000,3:10\n\
               content-length: 0\n";
    let parts: Vec<String> = (1..1_000).map(|part| format!("{part:x}:400000")).collect();
    let many =
        format!("token-count: 3720,40\nprompt-prefix: {}\ncontent-length: 0\n", parts.join(","));
    let crowd = [
        CrowdPart { clients: 1, steps: vec![head("/stream/1", few)] },
        CrowdPart { clients: 20, steps: vec![head("/stream/1", &many)] },
    ];
    play_crowd("prompt-parts", FEW_CONNECTIONS, &crowd).await;
}

/// Guards against bodies that keep new connections from being accepted: review case 7.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn trickled_bodies_leave_room_for_connections() {
    let length = format!("content-length: {BODY_BYTES}\n");
    let chunked = "transfer-encoding: chunked\n";
    let crowd = [
        CrowdPart {
            clients: 20,
            steps: vec![head("/once/1", &length), filler(8 << 10), ClientStep::Trickle(b"x")],
        },
        CrowdPart {
            clients: 160,
            steps: vec![
                head("/once/1", chunked),
                filler_chunk(900),
                ClientStep::Trickle(b"1\r\nx\r\n"),
            ],
        },
        // Ordinary callers that keep their connections.
        CrowdPart { clients: 80, steps: vec![head("/once/1", "content-length: 0\n")] },
    ];
    play_crowd("trickled", FEW_CONNECTIONS, &crowd).await;
}

/// A whole chunk.
fn filler_chunk(bytes: usize) -> ClientStep {
    let text = format!("{bytes:x}\r\n{}\r\n", "x".repeat(bytes));
    ClientStep::Send(text.into_bytes().into())
}

/// Guards against memory of requests that wait, beside that of bodies: review case 9.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn small_requests_that_wait_beside_large_bodies() {
    let length = format!("content-length: {BODY_BYTES}\n");
    let crowd = [
        CrowdPart { clients: 30, steps: vec![head("/once/1", &length), filler(BODY_BYTES - 100)] },
        CrowdPart { clients: 480, steps: vec![head("/hold/1", "content-length: 0\n")] },
    ];
    play_crowd("waiting", MANY_CONNECTIONS, &crowd).await;
}

/// Guards against answers that stay in memory while their callers read slowly: review case 10.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_answers_that_are_read_slowly() {
    let steps = vec![head("/bulk/1", "content-length: 0\n"), ClientStep::ReadSlowly];
    let crowd = [CrowdPart { clients: 150, steps }];
    play_crowd("slow-answers", FEW_CONNECTIONS, &crowd).await;
}

/// Guards against events that pile up between a target and a caller that reads slowly, or not at all.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_that_are_read_slowly() {
    let call = head("/events/1", "content-length: 0\n");
    let crowd = [
        CrowdPart { clients: 40, steps: vec![call.clone(), ClientStep::ReadSlowly] },
        CrowdPart { clients: 260, steps: vec![call] },
    ];
    play_crowd("slow-streams", MANY_CONNECTIONS, &crowd).await;
}

/// Guards against requests that stay in the receive buffers of connections whose first request still runs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_bodies_behind_requests_that_wait() {
    let length = format!("content-length: {BODY_BYTES}\n");
    let steps = vec![
        head("/hold/1", "content-length: 0\n"),
        head("/once/1", &length),
        filler(BODY_BYTES - 100),
    ];
    play_crowd("pipelined", LITTLE_MEMORY, &[CrowdPart { clients: 500, steps }]).await;
}

/// Guards against small bodies that take all memory and never end: no ordinary body would be accepted beside them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn small_bodies_that_never_end() {
    let length = format!("content-length: {}\n", 60 << 10);
    let steps = vec![head("/once/1", &length), filler((60 << 10) - 100), ClientStep::Trickle(b"x")];
    play_crowd("small-bodies", LITTLE_MEMORY, &[CrowdPart { clients: 500, steps }]).await;
}

/// Guards against memory that each chunk takes, however small, when many clients send such chunks.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_bodies_of_one_byte_chunks() {
    let steps = vec![
        head("/once/1", "transfer-encoding: chunked\n"),
        chunks(1, 64 << 10),
        ClientStep::Trickle(b"1"),
    ];
    play_crowd("byte-chunks", LITTLE_MEMORY, &[CrowdPart { clients: 500, steps }]).await;
}

/// Guards against heads that are kept although they never end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn heads_that_stop_short() {
    const MACHINE: CrowdMachine = CrowdMachine { memory_mb: 40, descriptors: 4_100 };
    let text =
        format!("POST /once/1 HTTP/1.1\nhost: calls.example\nfiller: {}", "x".repeat(16_000));
    let crowd = [CrowdPart { clients: 2_000, steps: vec![ClientStep::Head(text)] }];
    play_crowd("heads", MACHINE, &crowd).await;
}

/// Guards against charges that are lost when callers disconnect: after a crowd has gone, at whatever step, no more
/// is charged or counted as open than before.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nothing_stays_charged_after_a_crowd() {
    const DEADLINE_MS: u64 = 6_000;
    let _alone = ONE_AT_A_TIME.lock().await;
    let process = CrowdedProcess::start("charges", FEW_CONNECTIONS).await;
    let (_, caller) = process.id();
    let before = counted_lines(caller).await;
    let part = |steps| CrowdPart { clients: 8, steps };
    let length = format!("content-length: {BODY_BYTES}\n");
    let empty = "content-length: 0\n";
    let crowd = [
        part(vec![ClientStep::Head("POST /once/1 HTTP/1.1\nhost: calls".to_owned())]),
        part(vec![head_within(DEADLINE_MS, "/once/1", &length), filler(BODY_BYTES / 2)]),
        part(vec![
            head_within(DEADLINE_MS, "/once/1", "transfer-encoding: chunked\n"),
            chunks(1 << 10, 300 << 10),
        ]),
        part(vec![head_within(DEADLINE_MS, "/hold/1", empty)]),
        part(vec![
            head_within(DEADLINE_MS, "/hold/1", empty),
            head_within(DEADLINE_MS, "/once/1", &length),
            filler(64 << 10),
        ]),
        part(vec![head_within(DEADLINE_MS, "/bulk/1", empty), ClientStep::ReadSlowly]),
        part(vec![head_within(DEADLINE_MS, "/events/1", empty)]),
        part(vec![head_within(DEADLINE_MS, "/events/1", empty), ClientStep::ReadSlowly]),
    ];
    let clients: Vec<_> = crowd.chunks(1).map(|part| start_crowd(caller, part)).collect();
    sleep(Duration::from_secs(1)).await;
    drop(clients);
    let call = request("POST", "/once/1", "", &"r".repeat(600));
    let answer = ordinary_answer(caller, &call).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    // A call that must not be repeated runs on after its caller has gone.
    let end = Instant::now() + Duration::from_millis(DEADLINE_MS + 10_000);
    loop {
        let counted = counted_lines(caller).await;
        if counted == before {
            return;
        }
        assert!(Instant::now() < end, "{counted:?} instead of {before:?}");
        sleep(Duration::from_millis(200)).await;
    }
}

/// The lines of the metrics page that tell what a process holds for callers.
async fn counted_lines(caller: SocketAddr) -> Vec<String> {
    const COUNTED: [&str; 3] = ["_memory_bytes{", "_open_requests ", "_gateway_connections "];
    let metrics = SocketAddr::new(caller.ip(), 7_602);
    let page = send(metrics, "GET /metrics HTTP/1.1\nhost: x\nconnection: close\n\n").await;
    let is_counted = |line: &&str| COUNTED.iter().any(|name| line.contains(name));
    let lines = page.lines().filter(is_counted).filter(|line| !line.starts_with('#'));
    Vec::from_iter(lines.map(str::to_owned))
}
