//! A crowd of callers sends large and chunked bodies that stop just short of their end. The process says that it is
//! ready; it must go on taking new connections.

#[allow(dead_code)]
mod kit;

use std::{
    io::Write,
    net::TcpStream,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use kit::*;

/// `contact-ms` of the small sites.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Callers of the crowd with a body of 4 MB, and with a chunked body.
const LARGE_BODIES: usize = 40;
const CHUNKED_BODIES: usize = 330;
/// `max-body-bytes` of the sites.
const BODY_BYTES: usize = 4 << 20;
/// Ordinary callers, each with a new connection for each request.
const CALLERS: usize = 10;
const CALL_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time between two bytes of a member of the crowd.
const DRIP_INTERVAL: Duration = Duration::from_secs(2);
const PLAY_TIME: Duration = Duration::from_secs(16);

fn main() {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    let code = play(Path::new(&folder)).unwrap_or_else(|error| {
        eprintln!("the case couldn't run: {error}");
        NOT_RUN
    });
    std::process::exit(code);
}

/// Connections to an address that the process has not accepted yet.
fn waiting_connections(address: std::net::SocketAddr) -> u64 {
    let std::net::SocketAddr::V4(address) = address else { return 0 };
    let ip = u32::from_ne_bytes(address.ip().octets());
    let local = format!("{ip:08X}:{:04X}", address.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let lines = table.lines().filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (_, received) = fields.get(4)?.split_once(':')?;
        (fields[1] == local && fields[3] == "0A").then(|| u64::from_str_radix(received, 16).ok())?
    });
    lines.sum()
}

/// Sends a request on a new connection, which the caller keeps for later ones.
fn exchange_and_keep(
    address: std::net::SocketAddr,
    call: &[u8],
    limit: Duration,
) -> std::io::Result<(Message, TcpStream)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(call)?;
    let answer = MessageReader::new(stream.try_clone()?).message()?;
    Ok((answer, stream))
}

fn play(folder: &Path) -> std::io::Result<i32> {
    let record = Record::create(&folder.join("record.txt"))?;
    let temporary = TemporaryFolder::create("crowd")?;
    let store = Store::start()?;
    store.put("op/config", &configuration(1));
    let runners = [
        Runner::start("ledger", 6, |call, writer| answer_whole(call, writer, ""))?,
        Runner::start("ledger", 6, |call, writer| answer_whole(call, writer, ""))?,
        Runner::start("pool", 5, |call, writer| {
            answer_stream(call, writer, 10, Duration::from_millis(20))
        })?,
    ];
    runners.iter().for_each(|runner| runner.register(&store, "ready", 1));
    let mut process = Process::start(&temporary.0, 1, &[], &store, "")?;
    if !process.wait_until_ready() {
        record.line("the process is not ready");
        return Ok(NOT_RUN);
    }
    thread::sleep(Duration::from_millis(1_500));
    let caller = process.caller;
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for _ in 0..CALLERS {
        let (record, stop) = (record.clone(), stop.clone());
        callers.push(thread::spawn(move || {
            let (mut answers, mut kept) = (Vec::new(), Vec::new());
            while !stop.load(Ordering::Relaxed) {
                let id = request_id();
                let call = call_text("GET", "/read/1", &id, 1_500, "");
                let sent = Instant::now();
                match exchange_and_keep(caller, call.as_bytes(), Duration::from_millis(1_500)) {
                    Ok((answer, stream)) => {
                        kept.push(stream);
                        answers.push(Instant::now());
                        record.line(&format!("request {id} on a new connection: {}", answer.first));
                    }
                    Err(error) => record.line(&format!(
                        "request {id} on a new connection: nothing within {} ms ({error})",
                        sent.elapsed().as_millis()
                    )),
                }
                thread::sleep(CALL_INTERVAL);
            }
            answers
        }));
    }
    thread::sleep(Duration::from_secs(2));
    // They stay open until the end of the case.
    let mut crowd = Vec::new();
    if has_trouble() {
        let part = vec![b'x'; 8 << 10];
        for number in 0..LARGE_BODIES + CHUNKED_BODIES {
            let Ok(mut stream) = TcpStream::connect_timeout(&caller, Duration::from_secs(1)) else {
                continue;
            };
            let _ = stream.set_write_timeout(Some(Duration::from_millis(50)));
            let is_large = number < LARGE_BODIES;
            let length = match is_large {
                true => format!("Content-Length: {BODY_BYTES}\r\n"),
                false => "Transfer-Encoding: chunked\r\n".to_owned(),
            };
            let head = call_text("POST", "/stream/1", &request_id(), 12_000, &length);
            let body = match is_large {
                true => part.clone(),
                false => b"400\r\n".iter().chain(&part[..900]).copied().collect(),
            };
            let _ = stream.write_all(&[head.as_bytes(), &body[..]].concat());
            crowd.push(stream);
        }
        record.line(&format!(
            "{} callers have sent a part of their bodies: {LARGE_BODIES} of {BODY_BYTES} bytes, the others chunked",
            crowd.len()
        ));
    }
    let (began, mut ready) = (Instant::now(), Vec::new());
    let mut dripped = Instant::now();
    while began.elapsed() < PLAY_TIME {
        if dripped.elapsed() >= DRIP_INTERVAL {
            dripped = Instant::now();
            // A member whose connection has ended is left out.
            crowd.retain_mut(|stream| stream.write_all(b"x").is_ok());
            record.line(&format!("{} members of the crowd send one byte more", crowd.len()));
        }
        let asked = Instant::now();
        let is_ready = process.is_ready();
        ready.push((asked, is_ready));
        record.line(&format!(
            "readiness page: {}; connections that wait to be accepted: {}; {} MB",
            if is_ready { "200" } else { "no 200" },
            waiting_connections(caller),
            process.memory_mb()
        ));
        thread::sleep(Duration::from_millis(500));
    }
    stop.store(true, Ordering::Relaxed);
    let mut answers = Vec::new();
    for caller in callers {
        answers.extend(caller.join().unwrap_or_default());
    }
    answers.sort();
    drop(crowd);
    if let Some(end) = process.end() {
        record.line(&format!("the process has ended: {end}"));
        return Ok(BROKEN);
    }
    // The longest time without an answer on any new connection, with the readiness page at 200 all the while.
    let mut longest = Duration::ZERO;
    let ends = answers.iter().copied().chain([began + PLAY_TIME]);
    let mut last = began;
    for end in ends.filter(|end| *end > began) {
        let is_ready =
            ready.iter().filter(|(asked, _)| (last..end).contains(asked)).all(|(_, ready)| *ready);
        if is_ready {
            longest = longest.max(end - last);
        }
        last = end;
    }
    record.line(&format!(
        "longest time in which the process said that it was ready and answered on no new connection: {} ms; {CALLERS} callers tried all the while",
        longest.as_millis()
    ));
    let broken = longest > CONTACT;
    record.line(if broken {
        "BROKEN: no new connection is taken for longer than contact-ms"
    } else {
        "held"
    });
    Ok(if broken { BROKEN } else { HELD })
}
