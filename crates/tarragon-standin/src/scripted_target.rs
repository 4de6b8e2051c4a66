//! A target that answers byte for byte by a script, for answers that no correct target gives.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};
use tokio_util::sync::CancellationToken;

/// One step of an answer.
#[derive(Debug, Clone)]
pub enum TargetStep {
    /// Writes text; `{id}` stands for the id of the request.
    Write(String),
    /// Writes text when the next request on the same connection has arrived, before its own answer; `{id}`
    /// stands for the id of the request that has this step.
    WriteLate(String),
    /// Waits.
    Pause(Duration),
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
    /// Writes text again and again until the other side closes the connection.
    WriteForever(String),
    /// Waits until the other side closes the connection.
    AwaitClose,
}

/// A request as the target got it.
#[derive(Debug, Clone)]
pub struct SeenRequest {
    /// Request line and headers, in lower case.
    pub head: String,
    /// Body.
    pub body: Vec<u8>,
    /// Number of the connection on which it came, in the order in which they were accepted.
    pub connection: usize,
}

impl SeenRequest {
    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            (key == name).then(|| value.trim())
        })
    }
}

#[derive(Debug, Default)]
struct TargetLog {
    seen: Vec<SeenRequest>,
    closed: usize,
}

/// A target on a loopback port. Dropping it stops it.
#[derive(Debug)]
pub struct ScriptedTarget {
    address: SocketAddr,
    log: Arc<Mutex<TargetLog>>,
    stop: CancellationToken,
}

impl ScriptedTarget {
    /// Starts a target. Each request gets the next script; the last one is repeated.
    pub async fn start(scripts: Vec<Vec<TargetStep>>) -> anyhow::Result<ScriptedTarget> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let target =
            ScriptedTarget { address, log: Arc::default(), stop: CancellationToken::new() };
        let (log, stop) = (target.log.clone(), target.stop.clone());
        tokio::spawn(async move {
            let scripts = Arc::new(scripts);
            for connection in 0.. {
                let accepted = tokio::select! {
                    () = stop.cancelled() => return,
                    accepted = listener.accept() => accepted,
                };
                let Ok((stream, _)) = accepted else { return };
                // Otherwise the second of two writes waits for an acknowledgement, and a reset discards it.
                if stream.set_nodelay(true).is_err() {
                    continue;
                }
                let (scripts, log, stop) = (scripts.clone(), log.clone(), stop.clone());
                tokio::spawn(async move {
                    tokio::select! {
                        () = stop.cancelled() => {}
                        () = serve(stream, connection, &scripts, &log) => {}
                    }
                });
            }
        });
        Ok(target)
    }

    /// Address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Requests so far.
    pub fn seen(&self) -> Vec<SeenRequest> {
        lock(&self.log).seen.clone()
    }

    /// Connections that the other side closed while an answer was under way.
    pub fn closed(&self) -> usize {
        lock(&self.log).closed
    }
}

impl Drop for ScriptedTarget {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

fn lock(log: &Mutex<TargetLog>) -> std::sync::MutexGuard<'_, TargetLog> {
    log.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn serve(
    mut stream: TcpStream,
    connection: usize,
    scripts: &[Vec<TargetStep>],
    log: &Mutex<TargetLog>,
) {
    let mut buffer = Vec::new();
    let mut late = String::new();
    while let Some(request) = read_request(&mut stream, &mut buffer).await {
        let request = SeenRequest { connection, ..request };
        let id = request.header("request-id").unwrap_or("").to_owned();
        let index = {
            let mut log = lock(log);
            log.seen.push(request);
            (log.seen.len() - 1).min(scripts.len().saturating_sub(1))
        };
        if stream.write_all(std::mem::take(&mut late).as_bytes()).await.is_err() {
            return;
        }
        for step in scripts.get(index).into_iter().flatten() {
            match step {
                TargetStep::WriteLate(text) => late.push_str(&text.replace("{id}", &id)),
                TargetStep::Write(text) => {
                    if stream.write_all(text.replace("{id}", &id).as_bytes()).await.is_err() {
                        return;
                    }
                }
                TargetStep::WriteForever(text) => {
                    while stream.write_all(text.as_bytes()).await.is_ok() {}
                    lock(log).closed += 1;
                    return;
                }
                TargetStep::Pause(time) => sleep(*time).await,
                TargetStep::Close => return,
                TargetStep::Reset => {
                    // Unread bytes make the kernel reset the connection.
                    let _ = stream.set_zero_linger();
                    return;
                }
                TargetStep::AwaitClose => {
                    let mut rest = [0; 64];
                    while !matches!(stream.read(&mut rest).await, Ok(0) | Err(_)) {}
                    lock(log).closed += 1;
                    return;
                }
            }
        }
    }
}

/// Reads a request with a body of a stated length.
async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<SeenRequest> {
    loop {
        if let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).to_ascii_lowercase();
            let request = SeenRequest { head, body: Vec::new(), connection: 0 };
            let length: usize =
                request.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
            let whole = end + 4 + length;
            if buffer.len() >= whole {
                let body = buffer[end + 4..whole].to_vec();
                buffer.drain(..whole);
                return Some(SeenRequest { body, ..request });
            }
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
}
