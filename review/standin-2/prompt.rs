//! A caller's prompt names parts of very many tokens. The processes must live, stay within their memory and go on
//! answering ordinary callers.

#[allow(dead_code)]
mod kit;

use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use kit::*;

/// Memory of a machine of the small sites.
const MEMORY_MB: u64 = 260;
/// How long the case watches the process after the prompt was sent.
const WATCH_TIME: Duration = Duration::from_secs(12);
/// Ordinary calls are sent at this interval.
const CALL_INTERVAL: Duration = Duration::from_millis(250);

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
    let temporary = TemporaryFolder::create("prompt")?;
    let store = Store::start()?;
    store.put("op/config", &configuration(1));
    let ledger = Runner::start("ledger", 6, |call, writer| answer_whole(call, writer, ""))?;
    let pool = Runner::start("pool", 5, |call, writer| {
        answer_stream(call, writer, 10, Duration::from_millis(20))
    })?;
    ledger.register(&store, "ready", 1);
    pool.register(&store, "ready", 1);
    let mut process = Process::start(&temporary.0, 1, &[], &store, "")?;
    if !process.wait_until_ready() {
        record.line("the process is not ready");
        return Ok(NOT_RUN);
    }
    thread::sleep(Duration::from_millis(1_500));
    // Without the trouble, each part has as many tokens as a prompt of the sites.
    let tokens: u32 = if has_trouble() { 4_000_000_000 } else { 3_720 };
    let id = request_id();
    let headers = format!(
        "Model: m\r\nToken-Count: 3720,40\r\nPrompt-Prefix: 5c1e07a2:{tokens},91bd3f06:{tokens},e4402b7d:250\r\nContent-Length: 0\r\n"
    );
    let call = call_text("POST", "/stream/1", &id, 12_000, &headers);
    let caller = process.caller;
    record.line(&format!(
        "request {id} is sent to /stream/1, its prompt has two parts of {tokens} tokens ({} bytes)",
        call.len()
    ));
    let large = {
        let (record, id) = (record.clone(), id.clone());
        thread::spawn(move || {
            let answer = exchange(caller, call.as_bytes(), Duration::from_secs(15));
            let text = answer.map(|answer| answer.first).unwrap_or_else(|error| error.to_string());
            record.line(&format!("request {id}: {text}"));
        })
    };
    let (mut peak, mut answered, mut missed, mut not_ready) = (0, 0, 0, 0);
    let mut ended = None;
    let end = Instant::now() + WATCH_TIME;
    let watched = thread::scope(|scope| {
        let calls = scope.spawn(|| {
            let (mut answered, mut missed) = (0, 0);
            while Instant::now() < end {
                let id = request_id();
                let call = call_text("GET", "/read/1", &id, 1_500, "");
                let answer = exchange(caller, call.as_bytes(), Duration::from_millis(2_000));
                match answer {
                    Ok(answer) => {
                        answered += 1;
                        record.line(&format!("request {id} to /read/1: {}", answer.first));
                    }
                    Err(error) => {
                        missed += 1;
                        record.line(&format!("request {id} to /read/1: no answer within its 1.5 s and 0.5 s more ({error})"));
                    }
                }
                thread::sleep(CALL_INTERVAL);
            }
            (answered, missed)
        });
        let mut asked = Instant::now();
        while Instant::now() < end {
            peak = peak.max(process.memory_mb());
            if ended.is_none() {
                ended = process.end();
                if let Some(end) = &ended {
                    record.line(&format!("the process has ended: {end}"));
                }
            }
            if asked.elapsed() >= Duration::from_secs(1) {
                asked = Instant::now();
                if !process.is_ready() {
                    not_ready += 1;
                    record.line("the readiness page gave no 200 within a second");
                }
            }
            thread::sleep(Duration::from_millis(10));
        }
        calls.join()
    });
    if let Ok(counts) = watched {
        (answered, missed) = counts;
    }
    let _ = large.join();
    record.line(&format!(
        "peak {peak} MB; ordinary requests answered {answered}, not answered {missed}; readiness missed {not_ready}; requests at the runners: ledger {}, pool {}",
        ledger.seen(), pool.seen()
    ));
    let broken = peak > MEMORY_MB || ended.is_some();
    record.line(if broken {
        "BROKEN: the process holds more than the memory of its machine, whose platform kills it"
    } else {
        "held"
    });
    Ok(if broken { BROKEN } else { HELD })
}
