//! A runner answers with a `Keep-Alive` time that is larger than any clock can hold. Its answers must reach their
//! callers, and the process must go on using its runners.

#[allow(dead_code)]
mod kit;

use std::{path::Path, thread, time::Duration};

use kit::*;

/// Calls with the header, and ordinary calls after them.
const CALLS: usize = 24;
/// Clients that send at once.
const CLIENTS: usize = 4;

fn main() {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    let code = play(Path::new(&folder)).unwrap_or_else(|error| {
        eprintln!("the case couldn't run: {error}");
        NOT_RUN
    });
    std::process::exit(code);
}

/// Sends calls from some clients at once. Returns how many got a success.
fn call_all(caller: std::net::SocketAddr, record: &Record, path: &'static str) -> usize {
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let record = record.clone();
            thread::spawn(move || {
                let mut served = 0;
                for _ in 0..CALLS / CLIENTS {
                    let id = request_id();
                    let call = call_text("POST", path, &id, 1_500, "Content-Length: 0\r\n");
                    let answer = exchange(caller, call.as_bytes(), Duration::from_millis(2_000));
                    served +=
                        usize::from(answer.as_ref().is_ok_and(|answer| answer.status() == 200));
                    let text =
                        answer.map(|answer| answer.first).unwrap_or_else(|error| error.to_string());
                    record.line(&format!("request {id} to {path}: {text}"));
                    thread::sleep(Duration::from_millis(100));
                }
                served
            })
        })
        .collect();
    clients.into_iter().map(|client| client.join().unwrap_or(0)).sum()
}

fn play(folder: &Path) -> std::io::Result<i32> {
    let record = Record::create(&folder.join("record.txt"))?;
    let temporary = TemporaryFolder::create("keep")?;
    let store = Store::start()?;
    store.put("op/config", &configuration(1));
    // The whole seconds for which a runner keeps idle connections: without the trouble, a few.
    let time = if has_trouble() { u64::MAX } else { 5 };
    let odd = Switch::new(true.into());
    let mut runners = Vec::new();
    for _ in 0..2 {
        let (odd, record) = (odd.clone(), record.clone());
        runners.push(Runner::start("ledger", 6, move |call, writer| {
            let id = call.header("request-id").unwrap_or("");
            let seconds = if odd.load(std::sync::atomic::Ordering::Relaxed) { time } else { 5 };
            record.line(&format!(
                "a runner runs {id} and answers 200 with Keep-Alive: timeout={seconds}"
            ));
            answer_whole(call, writer, &format!("keep-alive: timeout={seconds}\r\n"))
        })?);
    }
    runners.iter().for_each(|runner| runner.register(&store, "ready", 1));
    let mut process = Process::start(&temporary.0, 1, &[], &store, "")?;
    if !process.wait_until_ready() {
        record.line("the process is not ready");
        return Ok(NOT_RUN);
    }
    thread::sleep(Duration::from_millis(1_500));
    let served = call_all(process.caller, &record, "/once/1");
    let run = runners.iter().map(Runner::seen).sum::<u64>();
    record.line(&format!("{served} of {CALLS} callers got the answer; {run} requests ran"));
    odd.store(false, std::sync::atomic::Ordering::Relaxed);
    // Longer than any deadline, so that nothing of before is under way.
    thread::sleep(Duration::from_secs(15));
    record.line("from here on the runners answer with a common Keep-Alive time");
    let later = call_all(process.caller, &record, "/once/2");
    let later_run = runners.iter().map(Runner::seen).sum::<u64>() - run;
    record.line(&format!(
        "{later} of {CALLS} callers got the answer; {later_run} requests ran; readiness page: {}",
        process.is_ready()
    ));
    if let Some(end) = process.end() {
        record.line(&format!("the process has ended: {end}"));
        return Ok(BROKEN);
    }
    // Sound runners without load: a process that doesn't hang serves all of these.
    let broken = later < CALLS / 2;
    record.line(if broken {
        "BROKEN: the process says that it is ready and serves nothing any more"
    } else {
        "held"
    });
    Ok(if broken { BROKEN } else { HELD })
}
