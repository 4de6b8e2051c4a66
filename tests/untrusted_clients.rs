//! Clients that don't stay inside the limits, against a process of the binary: it lives, its memory and descriptors
//! stay under the bounds of its machine, and an ordinary request is answered.
//!
//! The bounds and the sizes of the crowds belong together: without an account of its memory, a process that keeps
//! what each crowd sends is over the bound.

#[path = "common/process_meter.rs"]
mod process_meter;
#[path = "common/served_process.rs"]
mod served_process;
#[allow(dead_code, reason = "these tests need only some of the messages")]
#[path = "../platform/tests/calls/wire.rs"]
mod wire;

use std::{net::SocketAddr, time::Duration};

use process_meter::ProcessMeter;
use serde_json::{Value, json};
use served_process::ServedProcess;
use tarragon_standin::{scripted_target::ScriptedTarget, shared_store::SharedStore};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::Mutex,
    task::JoinSet,
    time::{sleep, timeout},
};
use wire::*;

/// Memory of the machine, in MB: resident memory and bytes that were received and not read.
const MEMORY_MB: u64 = 96;
/// Descriptors of the machine.
const MAX_DESCRIPTORS: usize = 400;
/// `max-body-bytes` of the configuration.
const BODY_BYTES: usize = 4 << 20;
/// Clients of a crowd that sends bodies.
const CROWD: usize = 60;
/// Clients of the crowd that sends nothing.
const IDLE_CROWD: usize = 600;
/// How long a crowd stays. Bodies that stop are given up by a process after five seconds.
const CROWD_TIME: Duration = Duration::from_secs(4);

/// The tests measure memory, so only one process may be under load at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// A process under load, with its only target.
struct CrowdedProcess {
    served: ServedProcess,
    target: ScriptedTarget,
}

fn crowd_configuration() -> Value {
    let mut terms = configuration(1);
    terms["limits"] = json!({
        "max-header-bytes": 16_384, "max-body-bytes": BODY_BYTES, "header-timeout-ms": 500,
        "idle-timeout-ms": 4_000,
    });
    for route in terms["routes"].as_array_mut().unwrap() {
        route["timeout-ms"] = json!(15_000);
    }
    terms
}

impl CrowdedProcess {
    async fn start(name: &str) -> CrowdedProcess {
        let store = SharedStore::start().await.unwrap();
        let target = ScriptedTarget::start(vec![vec![answer_step()]]).await.unwrap();
        store.put_json("op/config", &crowd_configuration());
        register(&store, "ledger", &target, "ready");
        let machine = json!({ "memory_mb": MEMORY_MB, "max_descriptors": MAX_DESCRIPTORS });
        CrowdedProcess { served: ServedProcess::start(name, store, machine).await, target }
    }

    fn lives(&mut self) -> bool {
        matches!(self.served.child.try_wait(), Ok(None))
    }

    fn meter(&self) -> ProcessMeter {
        ProcessMeter::new(self.served.child.id(), self.served.caller)
    }
}

fn answer_step() -> tarragon_standin::scripted_target::TargetStep {
    write(&format!("HTTP/1.1 200 OK\nrequest-id: {{id}}\n{SIGNATURE}\ncontent-length: 4\n\ndone"))
}

/// What one client of a crowd does.
#[derive(Debug, Clone, Copy)]
enum CrowdAction {
    /// Sends a body of the largest size in one piece, without its last byte.
    WholeBody,
    /// The same in pieces of this size.
    Pieces(usize),
    /// Sends chunks of this size, up to this many bytes, and stops inside the last one.
    Chunks(usize, usize),
    /// Announces a body of this size and sends it until the connection is closed.
    Announced(usize),
    /// Sends nothing.
    Idle,
}

struct CrowdCase {
    name: &'static str,
    clients: usize,
    action: CrowdAction,
}

/// Plays one client. Its connection stays open until the task is dropped.
async fn play_client(caller: SocketAddr, number: usize, action: CrowdAction) {
    let Ok(mut stream) = TcpStream::connect(caller).await else { return };
    // Failed writes are expected: the process may close the connection.
    let _ = send_action(&mut stream, number, action).await;
    std::future::pending::<()>().await;
}

async fn send_action(
    stream: &mut TcpStream,
    number: usize,
    action: CrowdAction,
) -> std::io::Result<()> {
    let framing = match action {
        CrowdAction::WholeBody | CrowdAction::Pieces(_) => format!("content-length: {BODY_BYTES}"),
        CrowdAction::Chunks(..) => "transfer-encoding: chunked".to_owned(),
        CrowdAction::Announced(bytes) => format!("content-length: {bytes}"),
        CrowdAction::Idle => return Ok(()),
    };
    let head = format!(
        "POST /once/1 HTTP/1.1\r\nhost: calls.example\r\nrequest-id: {number:016x}\r\n\
         deadline-ms: 15000\r\nauthorization: Bearer {CALLER_KEY}\r\n{framing}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    match action {
        CrowdAction::WholeBody => stream.write_all(&vec![b'x'; BODY_BYTES - 1]).await,
        CrowdAction::Pieces(size) => {
            let piece = vec![b'x'; size];
            let mut left = BODY_BYTES - 1;
            while left > 0 {
                let count = left.min(size);
                stream.write_all(&piece[..count]).await?;
                left -= count;
            }
            Ok(())
        }
        CrowdAction::Chunks(size, bytes) => {
            let mut chunk = format!("{size:x}\r\n").into_bytes();
            chunk.extend(vec![b'x'; size]);
            chunk.extend(b"\r\n");
            let whole = bytes / size - 1;
            // One write of many small chunks, so that the client isn't what takes the time.
            let together = (BODY_BYTES / 64 / chunk.len()).max(1);
            let batch = chunk.repeat(together);
            for _ in 0..whole / together {
                stream.write_all(&batch).await?;
            }
            stream.write_all(&chunk.repeat(whole % together)).await?;
            stream.write_all(&chunk[..chunk.len() - 3]).await
        }
        CrowdAction::Announced(bytes) => {
            let piece = vec![b'x'; BODY_BYTES / 4];
            for _ in 0..bytes / piece.len() {
                stream.write_all(&piece).await?;
            }
            Ok(())
        }
        CrowdAction::Idle => Ok(()),
    }
}

/// The answer to an ordinary request, or an empty text if none came in time.
async fn ordinary_answer(caller: SocketAddr) -> String {
    let text = request("POST", "/once/1", "", &"r".repeat(600));
    timeout(TEST_TIMEOUT, send(caller, &text)).await.unwrap_or_default()
}

async fn play_crowd(case: CrowdCase) {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut process = CrowdedProcess::start(case.name).await;
    let caller = process.served.caller;
    assert_eq!(status(&ordinary_answer(caller).await), 200, "before the crowd");
    let mut crowd = JoinSet::new();
    for number in 0..case.clients {
        crowd.spawn(play_client(caller, number, case.action));
    }
    let peak = process.meter().watch(CROWD_TIME).await;
    eprintln!("{}: {peak:?}", case.name);
    assert!(process.lives(), "{}: the process has ended", case.name);
    assert!(peak.memory_kb <= MEMORY_MB << 10, "{}: {peak:?} over {MEMORY_MB} MB", case.name);
    assert!(
        peak.descriptors <= MAX_DESCRIPTORS,
        "{}: {peak:?} over {MAX_DESCRIPTORS} descriptors",
        case.name
    );
    // Some clients of the crowd are still there.
    let answer = ordinary_answer(caller).await;
    assert_eq!(status(&answer), 200, "{}: {answer}", case.name);
    drop(crowd);
}

/// Guards against clients that exhaust the memory with bodies that lack their last byte.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn whole_bodies_a_byte_short() {
    let case = CrowdCase { name: "whole-bodies", clients: CROWD, action: CrowdAction::WholeBody };
    play_crowd(case).await;
}

/// Guards against the same when the bodies come in pieces.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_in_pieces_a_byte_short() {
    let action = CrowdAction::Pieces(64 << 10);
    play_crowd(CrowdCase { name: "pieces", clients: CROWD, action }).await;
}

/// Guards against bodies whose size nothing announces.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_chunks_that_stop_short() {
    let action = CrowdAction::Chunks(1 << 20, BODY_BYTES);
    play_crowd(CrowdCase { name: "large-chunks", clients: CROWD, action }).await;
}

/// Guards against memory that is taken for each chunk, however small.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_byte_chunks_that_stop_short() {
    let action = CrowdAction::Chunks(1, 64 << 10);
    play_crowd(CrowdCase { name: "small-chunks", clients: CROWD, action }).await;
}

/// Guards against clients that go on after the process has stopped to keep what they send.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chunked_bodies_sent_on_over_the_limit() {
    let action = CrowdAction::Chunks(1 << 20, 16 * BODY_BYTES);
    play_crowd(CrowdCase { name: "endless-chunks", clients: CROWD, action }).await;
}

/// Guards against bodies that are read although their announced size is over the limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_announced_over_the_limit() {
    let action = CrowdAction::Announced(100 * BODY_BYTES);
    play_crowd(CrowdCase { name: "announced", clients: CROWD, action }).await;
}

/// Guards against clients that use up the descriptors, without which the process reaches no target.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idle_connections() {
    play_crowd(CrowdCase { name: "idle", clients: IDLE_CROWD, action: CrowdAction::Idle }).await;
}

/// Guards against bounds that refuse a single request inside the limits: the largest body, sent slowly.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_of_the_largest_size_that_comes_slowly_is_served() {
    const PIECES: usize = 64;
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut process = CrowdedProcess::start("slow-body").await;
    for framing in [format!("content-length: {BODY_BYTES}"), "transfer-encoding: chunked".into()] {
        let mut stream = TcpStream::connect(process.served.caller).await.unwrap();
        let head = format!(
            "POST /once/1 HTTP/1.1\r\nhost: calls.example\r\nrequest-id: 9c41d07be2a35f68\r\n\
             deadline-ms: 15000\r\nauthorization: Bearer {CALLER_KEY}\r\nconnection: close\r\n\
             {framing}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        let piece = vec![b'x'; BODY_BYTES / PIECES];
        for _ in 0..PIECES {
            if framing.contains("chunked") {
                stream.write_all(format!("{:x}\r\n", piece.len()).as_bytes()).await.unwrap();
            }
            stream.write_all(&piece).await.unwrap();
            if framing.contains("chunked") {
                stream.write_all(b"\r\n").await.unwrap();
            }
            sleep(Duration::from_millis(40)).await;
        }
        if framing.contains("chunked") {
            stream.write_all(b"0\r\n\r\n").await.unwrap();
        }
        let mut answer = Vec::new();
        let read = timeout(TEST_TIMEOUT, stream.read_to_end(&mut answer)).await;
        read.expect("the connection ends in time").unwrap();
        let answer = String::from_utf8(answer).unwrap();
        assert_eq!(status(&answer), 200, "{framing}: {answer}");
        let body_bytes = process.target.seen().last().map(|seen| seen.body.len());
        assert_eq!(body_bytes, Some(BODY_BYTES), "{framing}");
    }
    assert!(process.lives());
}
