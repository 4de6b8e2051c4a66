//! Crowds of clients that don't stay inside the limits, against a process with rules and targets of its own: it
//! lives, its memory and descriptors stay under the bounds of its machine, and an ordinary call is served.

#[allow(dead_code, reason = "these tests need only a part of it")]
#[path = "common/crowd.rs"]
mod crowd;
#[path = "common/process_meter.rs"]
mod process_meter;

use std::{
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
};

use crowd::{ClientStep, CrowdMachine, CrowdPart, check_crowd, chunks, filler};
use serde_json::json;
use tarragon_standin::{
    loopback::unique_loopback_ip,
    scripted_target::{ScriptedTarget, TargetStep},
    service::{self, ServiceHandle, ServiceSettings},
};
use tokio::sync::Mutex;

/// `body_bytes` of the settings.
const BODY_BYTES: usize = 4 << 20;
/// Length of the answers of the service `bulk`.
const ANSWER_BYTES: usize = 4_000_000;
/// What the process takes its machine to have if its settings don't tell.
const MACHINE: CrowdMachine = CrowdMachine { memory_mb: 256, descriptors: 4_100 };

const RULES: &str = "\
service lookup kind=plain idempotent=yes # asked by: tests
service bulk kind=plain idempotent=yes # asked by: tests
service hold kind=plain idempotent=yes # asked by: tests
";

/// The tests measure memory, so only one process may be under load at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// A process of the binary with a target for each service. It is killed when it is dropped.
struct RuledProcess {
    child: Child,
    folder: PathBuf,
    caller: SocketAddr,
    _service: ServiceHandle,
    _targets: [ScriptedTarget; 2],
}

impl RuledProcess {
    async fn start(name: &str) -> RuledProcess {
        let service = service::start(ServiceSettings::new("lookup-1")).await.unwrap();
        let large = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {ANSWER_BYTES}\r\n\r\n{}",
            "x".repeat(ANSWER_BYTES)
        );
        let bulk = ScriptedTarget::start(vec![vec![TargetStep::Write(large)]]).await.unwrap();
        let hold = ScriptedTarget::start(vec![vec![TargetStep::AwaitClose]]).await.unwrap();
        let folder = std::env::temp_dir().join(format!("tarragon-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        std::fs::write(folder.join("crowd.rules"), RULES).unwrap();
        let ip = unique_loopback_ip();
        let address = |port: u16| SocketAddr::from((ip, port));
        let target = |service: &str, address: SocketAddr| {
            json!({
                "target": format!("{service}-1"), "service": service,
                "address": address.to_string(), "checks_fencing": true,
            })
        };
        let settings = json!({
            "vm": "vm-1", "data_centre": "here", "caller_address": address(7_700),
            "peer_address": address(7_701), "admin_address": address(7_702),
            "peer_keys": ["a key of the tests only"], "rules_file": "crowd.rules",
            "targets": [
                target("lookup", service.address()), target("bulk", bulk.address()),
                target("hold", hold.address()),
            ],
        });
        let file = folder.join("settings.jsonc");
        std::fs::write(&file, settings.to_string()).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_tarragonfront"))
            .arg("serve")
            .arg(&file)
            .stdout(std::fs::File::create(folder.join("vm-1.log")).unwrap())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let caller = address(7_700);
        RuledProcess { child, folder, caller, _service: service, _targets: [bulk, hold] }
    }
}

impl Drop for RuledProcess {
    fn drop(&mut self) {
        // Failures are ignored: the process has already ended, or the folder is already removed.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn head_text(service: &str, further: &str) -> String {
    format!(
        "POST /services/{service}/x HTTP/1.1\nhost: calls.example\nx-tarragon-workspace: crews\n\
         x-tarragon-tier: high\nx-tarragon-deadline-ms: 60000\n{further}\n"
    )
}

fn head(service: &str, further: &str) -> ClientStep {
    ClientStep::Head(head_text(service, further))
}

async fn play_crowd(name: &str, clients: usize, steps: Vec<ClientStep>) {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut process = RuledProcess::start(name).await;
    let call = head_text("lookup", "connection: close\ncontent-length: 5\n") + "width";
    let identity = (process.child.id(), process.caller);
    check_crowd(name, MACHINE, identity, &call, &[CrowdPart { clients, steps }]).await;
    assert!(matches!(process.child.try_wait(), Ok(None)), "{name}: the process has ended");
}

/// Guards against clients that exhaust the memory with bodies that lack their last byte.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn server_whole_bodies_a_byte_short() {
    let length = format!("content-length: {BODY_BYTES}\n");
    let steps = vec![head("lookup", &length), filler(BODY_BYTES - 1)];
    play_crowd("server-whole-bodies", 100, steps).await;
}

/// Guards against bodies whose size nothing announces.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn server_large_chunks_that_stop_short() {
    let steps = vec![head("lookup", "transfer-encoding: chunked\n"), chunks(1 << 20, 3 << 20)];
    play_crowd("server-chunks", 100, steps).await;
}

/// Guards against whole bodies that are kept several times while their requests wait.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn server_whole_bodies_that_wait_for_a_target() {
    let length = format!("content-length: {BODY_BYTES}\n");
    play_crowd("server-waiting", 100, vec![head("hold", &length), filler(BODY_BYTES)]).await;
}

/// Guards against answers that stay in memory while their callers read slowly.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn server_large_answers_that_are_read_slowly() {
    let steps = vec![head("bulk", "content-length: 0\n"), ClientStep::ReadSlowly];
    play_crowd("server-slow-answers", 100, steps).await;
}

/// Guards against memory that many small requests take while they wait, beside bodies.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn server_small_requests_that_wait() {
    let steps = vec![head("hold", "content-length: 100\n"), filler(100)];
    play_crowd("server-small-requests", 4_000, steps).await;
}

/// Guards against heads that are kept although they never end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn server_heads_that_stop_short() {
    let steps = vec![ClientStep::Head(format!("POST / HTTP/1.1\nfiller: {}", "x".repeat(64_000)))];
    play_crowd("server-heads", 4_000, steps).await;
}
