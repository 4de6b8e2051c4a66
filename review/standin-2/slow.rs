//! Callers read their large answers slowly. The process must live and stay within its memory.

#[allow(dead_code)]
mod kit;

use std::{
    io::{Read, Write},
    net::TcpStream,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use kit::*;

/// Memory of a machine of the small sites.
const MEMORY_MB: u64 = 260;
/// Callers whose answers are under way at once, and the bytes of an answer.
const CALLERS: usize = 400;
const ANSWER_BYTES: usize = 4_000_000;
/// A slow caller takes so much each time.
const READ_BYTES: usize = 16 << 10;
const READ_INTERVAL: Duration = Duration::from_millis(200);
const PLAY_TIME: Duration = Duration::from_secs(10);

fn main() {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    let code = play(Path::new(&folder)).unwrap_or_else(|error| {
        eprintln!("the case couldn't run: {error}");
        NOT_RUN
    });
    std::process::exit(code);
}

fn play(folder: &Path) -> std::io::Result<i32> {
    let record = Record::create(&folder.join("record.txt"))?;
    let temporary = TemporaryFolder::create("slow")?;
    let store = Store::start()?;
    store.put("op/config", &configuration(1));
    let body = vec![b'x'; ANSWER_BYTES];
    let mut runners = Vec::new();
    for _ in 0..4 {
        let body = body.clone();
        runners.push(Runner::start("ledger", 6, move |call, writer| {
            let id = call.header("request-id").unwrap_or("");
            let head = format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-signature: {SIGNATURE}\r\ncontent-length: {ANSWER_BYTES}\r\n\r\n");
            writer.write_all(head.as_bytes())?;
            writer.write_all(&body)
        })?);
    }
    runners.iter().for_each(|runner| runner.register(&store, "ready", 1));
    let mut process = Process::start(&temporary.0, 1, &[], &store, "")?;
    if !process.wait_until_ready() {
        record.line("the process is not ready");
        return Ok(NOT_RUN);
    }
    thread::sleep(Duration::from_millis(1_500));
    let caller = process.caller;
    let is_slow = has_trouble();
    let end = Instant::now() + PLAY_TIME;
    for number in 0..CALLERS {
        let record = record.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(8 * number as u64));
            let id = request_id();
            let call = call_text("GET", "/read/1", &id, 1_500, "Connection: close\r\n");
            let Ok(mut stream) = TcpStream::connect(caller) else { return };
            if stream.write_all(call.as_bytes()).is_err() {
                return;
            }
            let mut part = vec![0; READ_BYTES];
            let (mut read, mut first) = (0, true);
            while Instant::now() < end {
                match stream.read(&mut part) {
                    Ok(0) | Err(_) => break,
                    Ok(count) => {
                        if std::mem::take(&mut first) {
                            let line = String::from_utf8_lossy(&part[..30.min(count)]).into_owned();
                            record.line(&format!(
                                "request {id}: {}",
                                line.lines().next().unwrap_or("")
                            ));
                        }
                        read += count;
                    }
                }
                if is_slow {
                    thread::sleep(READ_INTERVAL);
                }
            }
            record.line(&format!("request {id}: {read} bytes read"));
        });
    }
    let (mut peak, mut ended) = (0, None);
    while Instant::now() < end && ended.is_none() {
        peak = peak.max(process.memory_mb());
        ended = process.end();
        thread::sleep(Duration::from_millis(20));
    }
    let run: u64 = runners.iter().map(Runner::seen).sum();
    record.line(&format!(
        "peak {peak} MB of {MEMORY_MB} MB; {run} requests ran; end of the process: {ended:?}"
    ));
    let broken = peak > MEMORY_MB || ended.is_some();
    record.line(if broken {
        "BROKEN: the process holds more than the memory of its machine"
    } else {
        "held"
    });
    Ok(if broken { BROKEN } else { HELD })
}
