//! Targets that answer a long upload at once and then break off, or answer with a status that HTTP doesn't have:
//! through the process that has the target, and over the relay of another data centre.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures::future::join_all;
use http::Method;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    time::sleep,
};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::{relay::TwoCentres, support::*};

/// Size of an upload. Buffers of sockets on loopback hold less.
const UPLOAD_BYTES: usize = 7 << 20;
/// Receive buffer of a target, so that most of an upload is not written when it answers.
const RECEIVE_BUFFER_BYTES: u32 = 8 << 10;

/// What a target answers to a call as soon as it has read the head.
#[derive(Debug, Clone, Copy)]
struct BrokenAnswer {
    status: &'static str,
    /// Whether its head tells the length of the body.
    framed: bool,
    /// Time after which the connection is reset; it stays open without one.
    reset: Option<Duration>,
}

/// A target that reads the head of each call and nothing of its body.
struct HastyTarget {
    address: SocketAddr,
    _stop: DropGuard,
}

impl HastyTarget {
    async fn start(answer: BrokenAnswer) -> HastyTarget {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(64).unwrap();
        let address = listener.local_addr().unwrap();
        let stop = CancellationToken::new();
        tokio::spawn(stop.clone().run_until_cancelled_owned(accept(listener, answer)));
        HastyTarget { address, _stop: stop.drop_guard() }
    }
}

async fn accept(listener: TcpListener, answer: BrokenAnswer) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve(stream, answer));
    }
}

async fn serve(mut stream: TcpStream, answer: BrokenAnswer) {
    let mut buffer = Vec::new();
    loop {
        let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") else {
            // The process has closed the connection.
            if !stream.read_buf(&mut buffer).await.is_ok_and(|read| read > 0) {
                return;
            }
            continue;
        };
        let head = String::from_utf8_lossy(&buffer[..end]).to_ascii_lowercase();
        if !head.starts_with("get ") {
            return answer_call(stream, &head, answer).await;
        }
        buffer.drain(..end + 4);
        let load = json!({
            "restart": 1, "state": "warm", "bears": 8, "running": 0, "waiting": 0,
            "free_cache_tokens": 0, "models": ["small"], "fencing": 0,
            "last_order_age_ms": null, "lag_ms": 0,
        });
        let body = if head.starts_with("get /cache") { "[]".to_owned() } else { load.to_string() };
        let text = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
    }
}

async fn answer_call(mut stream: TcpStream, head: &str, answer: BrokenAnswer) {
    let tag = head.lines().find_map(|line| line.strip_prefix("x-tarragon-request-id: "));
    let tag = tag.unwrap_or("");
    // A whole chunk of a stream, and the beginning of another one.
    let chunk = json!({
        "id": tag, "object": "chat.completion.chunk", "model": "small",
        "choices": [{"index": 0, "delta": {"content": "one "}, "finish_reason": null}],
        "tarragon": {"request_id": tag, "index": 0, "tokens": 1},
    });
    let body = format!("data: {chunk}\n\ndata: {{\"id\"");
    let framing = match answer.framed {
        true => format!("content-length: {}\r\n", body.len()),
        false => String::new(),
    };
    let text = format!("HTTP/1.1 {}\r\n{framing}\r\n{body}", answer.status);
    // This fails only if the process has closed the connection.
    let _ = stream.write_all(text.as_bytes()).await;
    match answer.reset {
        Some(delay) => {
            sleep(delay).await;
            stream.set_zero_linger().unwrap();
        }
        None => {
            let mut rest = vec![0; 64 << 10];
            while stream.read(&mut rest).await.is_ok_and(|read| read > 0) {}
        }
    }
}

struct CallCase {
    name: &'static str,
    service: &'static str,
    call: fn(usize) -> TestCall,
}

fn chat(stream: bool, bytes: usize) -> TestCall {
    let body = json!({
        "model": "small", "stream": stream, "padding": "x".repeat(bytes),
        "messages": [{"role": "user", "content": "a question"}],
    });
    TestCall::new(Method::POST, "/v1/chat/completions").with_body(body.to_string())
}

const CALLS: [CallCase; 4] = [
    CallCase {
        name: "plain",
        service: "lookup",
        call: |bytes| {
            let call = TestCall::new(Method::POST, "/services/lookup/v1/rolls");
            call.with_body(vec![b'x'; bytes])
        },
    },
    CallCase {
        name: "plain, at most once",
        service: "ledger",
        call: |bytes| {
            let call = TestCall::new(Method::POST, "/services/ledger/reserve");
            call.with_body(vec![b'x'; bytes])
        },
    },
    CallCase { name: "stream", service: "pool", call: |bytes| chat(true, bytes) },
    CallCase { name: "whole text", service: "pool", call: |bytes| chat(false, bytes) },
];

/// Plays a call with a body of so many bytes at a target of its own, once through the process that has it and once
/// over a relay. Returns what is wrong.
async fn play(answer: BrokenAnswer, case: &CallCase, bytes: usize) -> Vec<String> {
    let mut wrong = Vec::new();
    for over_relay in [false, true] {
        let hasty = HastyTarget::start(answer).await;
        let targets = vec![target("hasty-1", case.service, hasty.address)];
        let (deployment, [east, west]) = TwoCentres::start([vec![], targets]).await;
        deployment.publish("data-centre east state=out # asked by: tests\n");
        until("the east is not ready", || !east.is_ready()).await;
        let mut call = (case.call)(bytes);
        if case.service == "ledger" {
            let tickets = TestCall::new(Method::POST, "/v1/tickets");
            let ticket = tickets.send(west.caller_address).await.json()["ticket"].clone();
            call = call.with("x-tarragon-ticket", ticket.as_str().unwrap());
        }
        let address = if over_relay { east.caller_address } else { west.caller_address };
        let got = call.send(address).await;
        let name = format!("{}, {answer:?}, over a relay {over_relay}", case.name);
        let is_cut = got.body.is_none();
        // A stream that breaks off after its head ends with an event that says so.
        let tells_fault = |body: &Bytes| String::from_utf8_lossy(body).contains("\"error\"");
        let is_unfinished = got
            .body
            .as_ref()
            .is_none_or(|body| case.name == "stream" && !got.streamed().1 && tells_fault(body));
        let is_refused = got.status == 502 && !is_cut && got.outcome() == "unknown";
        eprintln!("{name}: {} {}", got.status, got.outcome());
        let is_right = is_refused || got.status == 200 && is_unfinished;
        if !is_right {
            wrong.push(format!("{name}: {got:?}"));
        }
        let (east, west) = tokio::join!(east.shutdown(), west.shutdown());
        assert_eq!(east.unwrap().interrupted + west.unwrap().interrupted, 0);
    }
    wrong
}

/// Guards against a part of an answer that a caller gets as the whole, because the connection is reset while the
/// upload is still being written.
#[tokio::test]
async fn a_part_of_an_answer_to_an_upload_does_not_look_whole() {
    let mut wrong = Vec::new();
    for delay_ms in [0, 40] {
        let reset = Some(Duration::from_millis(delay_ms));
        let answer = BrokenAnswer { status: "200 OK", framed: false, reset };
        let plays = CALLS.iter().map(|case| play(answer, case, UPLOAD_BYTES));
        wrong.extend(join_all(plays).await.concat());
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against an answer of a target with a status that HTTP doesn't have and that callers can't understand. The
/// request may have run.
#[tokio::test]
async fn a_status_outside_http_is_no_answer() {
    let mut wrong = Vec::new();
    for status in ["000 None", "600 Odd", "999 Odd"] {
        let answer = BrokenAnswer { status, framed: true, reset: None };
        let plays = CALLS.iter().map(|case| play(answer, case, 100));
        wrong.extend(join_all(plays).await.concat());
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}
