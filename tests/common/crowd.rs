//! Crowds of clients that don't stay inside the limits, and what must hold while they are there.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

use crate::process_meter::ProcessMeter;

/// How long a crowd is watched. Bodies that stop are given up by a process after five seconds.
const CROWD_TIME: Duration = Duration::from_secs(6);
/// Time in which one ordinary call has to be served while the crowd is there, repeated as often as it is refused.
const SERVICE_TIME: Duration = Duration::from_secs(20);
/// Pause of an ordinary caller between two tries.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Pause of a client between two parts that it sends.
const TRICKLE_PAUSE: Duration = Duration::from_secs(2);
/// Time between two clients that connect, so that the queue of new connections doesn't drop them.
const CONNECT_INTERVAL: Duration = Duration::from_millis(1);
/// Time between two parts of a crowd.
const PART_PAUSE: Duration = Duration::from_millis(1_000);
/// Pause of a client that reads slowly.
const READ_PAUSE: Duration = Duration::from_millis(200);
/// Bytes that it reads at once.
const READ_BYTES: usize = 16 << 10;

/// What one client of a crowd does, one step after the other. Its connection stays open until the crowd is dropped.
#[derive(Debug, Clone)]
pub enum ClientStep {
    /// Sends text in which `{id}` stands for an id of its own.
    Head(String),
    /// Sends bytes.
    Send(Arc<[u8]>),
    /// Sends these bytes after each pause, without end.
    Trickle(&'static [u8]),
    /// Reads a little after each pause.
    ReadSlowly,
}

/// Clients that do the same. Each part connects after the one before.
#[derive(Debug, Clone)]
pub struct CrowdPart {
    pub clients: usize,
    pub steps: Vec<ClientStep>,
}

/// The machine of a process.
#[derive(Debug, Clone, Copy)]
pub struct CrowdMachine {
    pub memory_mb: u64,
    pub descriptors: usize,
}

/// Bytes for [`ClientStep::Send`].
pub fn filler(bytes: usize) -> ClientStep {
    ClientStep::Send(vec![b'x'; bytes].into())
}

/// Chunks of one size, which hold so many bytes together. The last one lacks its end.
pub fn chunks(size: usize, bytes: usize) -> ClientStep {
    let mut chunk = format!("{size:x}\r\n").into_bytes();
    chunk.extend(vec![b'x'; size]);
    chunk.extend(b"\r\n");
    let mut all = chunk.repeat(bytes / size);
    all.truncate(all.len() - 3);
    ClientStep::Send(all.into())
}

async fn play_client(caller: SocketAddr, number: usize, arrival: Duration, steps: Vec<ClientStep>) {
    sleep(arrival).await;
    let Ok(mut stream) = TcpStream::connect(caller).await else { return };
    for step in steps {
        // Failed writes are expected: the process may close the connection.
        let _ = match step {
            ClientStep::Head(text) => {
                let text = text.replace('\n', "\r\n").replace("{id}", &format!("{number:016x}"));
                stream.write_all(text.as_bytes()).await
            }
            ClientStep::Send(bytes) => stream.write_all(&bytes).await,
            ClientStep::Trickle(bytes) => trickle(&mut stream, bytes).await,
            ClientStep::ReadSlowly => read_slowly(&mut stream).await,
        };
    }
    std::future::pending::<()>().await;
}

async fn trickle(stream: &mut TcpStream, bytes: &[u8]) -> std::io::Result<()> {
    loop {
        sleep(TRICKLE_PAUSE).await;
        stream.write_all(bytes).await?;
    }
}

async fn read_slowly(stream: &mut TcpStream) -> std::io::Result<()> {
    let mut part = vec![0; READ_BYTES];
    while stream.read(&mut part).await? > 0 {
        sleep(READ_PAUSE).await;
    }
    Ok(())
}

/// Starts the clients of a crowd.
pub fn start_crowd(caller: SocketAddr, parts: &[CrowdPart]) -> JoinSet<()> {
    let mut crowd = JoinSet::new();
    let mut arrival = Duration::ZERO;
    for part in parts {
        for _ in 0..part.clients {
            crowd.spawn(play_client(caller, crowd.len(), arrival, part.steps.clone()));
            arrival += CONNECT_INTERVAL;
        }
        arrival += PART_PAUSE;
    }
    crowd
}

/// The answer to an ordinary call, which is sent on new connections until it is served or its time is over.
pub async fn ordinary_answer(caller: SocketAddr, call: &str) -> String {
    let end = Instant::now() + SERVICE_TIME;
    let mut last = String::new();
    while Instant::now() < end {
        let mut answer = Vec::new();
        let try_once = async {
            let mut stream = TcpStream::connect(caller).await?;
            stream.write_all(call.replace('\n', "\r\n").as_bytes()).await?;
            stream.read_to_end(&mut answer).await
        };
        let left = end.saturating_duration_since(Instant::now());
        let read = timeout(left, try_once).await;
        last = format!("{} ({read:?})", String::from_utf8_lossy(&answer));
        if last.starts_with("HTTP/1.1 200") {
            return last;
        }
        sleep(RETRY_PAUSE).await;
    }
    last
}

/// Plays a crowd and checks that memory and descriptors stay within the machine, and that an ordinary call is
/// served while the crowd is still there.
pub async fn check_crowd(
    name: &str,
    machine: CrowdMachine,
    process: (u32, SocketAddr),
    call: &str,
    parts: &[CrowdPart],
) {
    let (id, caller) = process;
    let before = ordinary_answer(caller, call).await;
    assert!(before.starts_with("HTTP/1.1 200"), "{name}: before the crowd: {before}");
    let crowd = start_crowd(caller, parts);
    let meter = ProcessMeter::new(id, caller);
    let mut peak = meter.watch(CROWD_TIME).await;
    let answer = ordinary_answer(caller, call).await;
    let later = meter.watch(Duration::ZERO).await;
    peak.memory_kb = peak.memory_kb.max(later.memory_kb);
    eprintln!("{name}: {peak:?}");
    assert!(peak.memory_kb > 0, "{name}: the process has ended");
    assert!(
        peak.memory_kb <= machine.memory_mb << 10,
        "{name}: {peak:?} over {} MB",
        machine.memory_mb
    );
    assert!(peak.descriptors <= machine.descriptors, "{name}: {peak:?}, {machine:?}");
    assert!(answer.starts_with("HTTP/1.1 200"), "{name}: {answer}");
    drop(crowd);
}
