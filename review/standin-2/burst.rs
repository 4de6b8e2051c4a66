//! Some callers send bodies of the largest legal size that stop just short of their end, and many others small
//! requests at once. The process must live and stay within its memory.

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
/// Callers without a body. From 2,250 connections on, a process with 4,100 descriptors is not ready.
const SMALL_CALLERS: usize = 2_150;
/// Callers with a body of `max-body-bytes`.
const BODY_CALLERS: usize = 40;
const BODY_BYTES: usize = 4 << 20;
/// Bytes that these bodies lack.
const MISSING_BYTES: usize = 100;
const WATCH_TIME: Duration = Duration::from_secs(8);

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
    let temporary = TemporaryFolder::create("heads")?;
    let store = Store::start()?;
    store.put("op/config", &configuration(1));
    let mut runners = Vec::new();
    for _ in 0..3 {
        runners.push(Runner::start("pool", 5, |call, writer| {
            answer_stream(call, writer, 40, Duration::from_millis(20))
        })?);
    }
    runners.push(Runner::start("ledger", 6, |call, writer| answer_whole(call, writer, ""))?);
    runners.iter().for_each(|runner| runner.register(&store, "ready", 1));
    let mut process = Process::start(&temporary.0, 1, &[], &store, "")?;
    if !process.wait_until_ready() {
        record.line("the process is not ready");
        return Ok(NOT_RUN);
    }
    thread::sleep(Duration::from_millis(1_500));
    record.line(&format!("memory without load: {} MB", process.memory_mb()));
    // Without the trouble, there are no large bodies.
    let trouble = has_trouble();
    let body = vec![b'x'; BODY_BYTES];
    let (mut crowd, mut peak) = (Vec::new(), 0);
    let mut unconnected = 0;
    for number in 0..SMALL_CALLERS + BODY_CALLERS {
        let Ok(mut stream) = TcpStream::connect_timeout(&process.caller, Duration::from_secs(1))
        else {
            unconnected += 1;
            continue;
        };
        let _ = stream.set_write_timeout(Some(Duration::from_millis(500)));
        let length = if trouble && number < BODY_CALLERS { BODY_BYTES } else { 0 };
        let further = format!("Content-Length: {length}\r\n");
        let head = call_text("POST", "/stream/1", &request_id(), 12_000, &further);
        let _ = stream.write_all(head.as_bytes());
        let _ = stream.write_all(&body[..length.saturating_sub(MISSING_BYTES)]);
        crowd.push(stream);
        if number % 100 == 0 {
            peak = peak.max(process.memory_mb());
        }
    }
    record.line(&format!(
        "{} requests are sent, {BODY_CALLERS} of them with a body of {} bytes that stops short; {unconnected} callers could not connect",
        crowd.len(),
        if trouble { BODY_BYTES } else { 0 }
    ));
    let (end, mut ended, mut asked) = (Instant::now() + WATCH_TIME, None, Instant::now());
    while Instant::now() < end && ended.is_none() {
        peak = peak.max(process.memory_mb());
        ended = process.end();
        if asked.elapsed() > Duration::from_secs(1) {
            asked = Instant::now();
            record.line(&format!(
                "{} MB; readiness page: {}",
                process.memory_mb(),
                process.is_ready()
            ));
        }
        thread::sleep(Duration::from_millis(20));
    }
    let mut answers = std::collections::BTreeMap::new();
    for mut stream in crowd {
        let _ = stream.set_read_timeout(Some(Duration::from_millis(1)));
        let mut part = [0; 12];
        let line = match stream.read(&mut part) {
            Ok(12) => String::from_utf8_lossy(&part).into_owned(),
            _ => "no answer yet".to_owned(),
        };
        *answers.entry(line).or_insert(0) += 1;
    }
    record.line(&format!("answers to the crowd: {answers:?}"));
    let call = call_text("GET", "/read/1", &request_id(), 1_500, "");
    let answer = exchange(process.caller, call.as_bytes(), Duration::from_millis(2_000));
    record
        .line(&format!("an ordinary request afterwards: {:?}", answer.map(|answer| answer.first)));
    record.line(&format!("peak {peak} MB of {MEMORY_MB} MB; end of the process: {ended:?}"));
    let broken = peak > MEMORY_MB || ended.is_some();
    record.line(if broken {
        "BROKEN: the process holds more than the memory of its machine, whose platform kills it"
    } else {
        "held"
    });
    Ok(if broken { BROKEN } else { HELD })
}
