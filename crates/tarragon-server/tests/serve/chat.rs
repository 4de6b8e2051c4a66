//! Chat completions through one process.

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use tarragon_protocol::{engine::ChatMessage, prompt::render_prompt};
use tarragon_standin::engine::{self, EngineSettings, HardwareProfile, answer_token};
use tokio::net::TcpStream;

use crate::{
    fake::{self, Step},
    support::*,
};

fn expected_text(prompt: &str, tokens: u32) -> String {
    let message = ChatMessage { role: "user".to_owned(), content: prompt.to_owned() };
    let prompt = render_prompt(&[message]);
    (0..tokens).map(|index| answer_token(&prompt, index)).collect()
}

fn fast_engine(name: &str) -> EngineSettings {
    EngineSettings::new(name, HardwareProfile::second_generation().scaled(10.0), "small")
}

/// Guards against an answer that loses, repeats or mixes tokens on its way.
#[tokio::test]
async fn whole_and_streamed_answers_are_the_engine_s() {
    bounded(async {
        let engine = engine::start(fast_engine("runner-1")).await.unwrap();
        let targets = vec![target("runner-1", "pool", engine.address())];
        let handle = start(settings("chat-1", targets)).await;
        let prompt = "which channel first? [answer=40]";
        let streamed = TestCall::chat(prompt, true).send(handle.caller_address).await;
        assert_eq!(streamed.status, 200, "{streamed:?}");
        assert_eq!(streamed.streamed(), (expected_text(prompt, 40), true));
        assert_eq!(streamed.outcome(), "done");
        let whole = TestCall::chat(prompt, false).send(handle.caller_address).await;
        let body = whole.json();
        assert_eq!(body["choices"][0]["message"]["content"], expected_text(prompt, 40));
        assert_eq!(body["usage"]["completion_tokens"], 40);
        handle.shutdown().await.unwrap();
    })
    .await;
}

/// Guards against a stream that loses or repeats tokens when its engine dies.
#[tokio::test]
async fn stream_of_a_dead_engine_resumes_on_another() {
    bounded(async {
        let slow = HardwareProfile::second_generation();
        let first =
            engine::start(EngineSettings::new("runner-1", slow.clone(), "small")).await.unwrap();
        let second = engine::start(EngineSettings::new("runner-2", slow, "small")).await.unwrap();
        let targets = vec![
            target("runner-1", "pool", first.address()),
            target("runner-2", "pool", second.address()),
        ];
        let handle = start(settings("chat-2", targets)).await;
        let prompt = "assess the flood [answer=150]";
        let call = TestCall::chat(prompt, true);
        let response =
            connect(handle.caller_address).await.send_request(call.request()).await.unwrap();
        let mut body = response.into_body();
        let start = body.frame().await.unwrap().unwrap().into_data().unwrap();
        let running = if first.occupied() > 0 { &first } else { &second };
        running.crash().await;
        let rest = body.collect().await.unwrap().to_bytes();
        let events = [start, rest].concat();
        let streamed = read_events(std::str::from_utf8(&events).unwrap());
        assert_eq!(streamed, (expected_text(prompt, 150), true));
        handle.shutdown().await.unwrap();
    })
    .await;
}

/// Guards against work at an engine for a caller that has gone.
#[tokio::test]
async fn caller_that_disconnects_is_cancelled_at_the_engine() {
    bounded(async {
        let slow = HardwareProfile::first_generation();
        let engine = engine::start(EngineSettings::new("runner-1", slow, "small")).await.unwrap();
        let targets = vec![target("runner-1", "pool", engine.address())];
        let handle = start(settings("chat-3", targets)).await;
        for stream in [true, false] {
            let call = TestCall::chat("a long assessment [answer=5000]", stream);
            let mut sender = connect(handle.caller_address).await;
            let answer = tokio::spawn(async move { sender.send_request(call.request()).await });
            until("the engine works", || engine.occupied() == 1).await;
            if stream {
                drop(answer.await.unwrap().unwrap());
            } else {
                answer.abort();
            }
            until("the engine is idle", || engine.occupied() == 0).await;
        }
        until("no request is in flight", || metric(&handle, "tarragon_in_flight", "") == 0.0).await;
        handle.shutdown().await.unwrap();
    })
    .await;
}

struct ScriptCase {
    name: &'static str,
    scripts: Vec<Vec<Step>>,
    text: &'static str,
    done: bool,
    foreign: f64,
    resumed: Vec<u64>,
}

/// Guards against chunks that reach the wrong caller, twice, or with a gap.
#[tokio::test]
async fn faulty_streams_reach_the_caller_whole_or_not_as_done() {
    let good = [Step::Chunk(0, "one "), Step::Chunk(1, "two three ")];
    let cases = [
        ScriptCase {
            name: "foreign",
            scripts: vec![vec![Step::Foreign("stray "), good[0], good[1], Step::End]],
            text: "one two three ",
            done: true,
            foreign: 1.0,
            resumed: vec![0],
        },
        ScriptCase {
            name: "overlap",
            scripts: vec![vec![
                good[0],
                Step::Chunk(0, "one two "),
                Step::Chunk(2, "three "),
                Step::End,
            ]],
            text: "one two three ",
            done: true,
            foreign: 0.0,
            resumed: vec![0],
        },
        ScriptCase {
            name: "gap",
            scripts: vec![
                vec![good[0], Step::Chunk(2, "three "), Step::End],
                vec![Step::Chunk(1, "two three "), Step::End],
            ],
            text: "one two three ",
            done: true,
            foreign: 0.0,
            resumed: vec![0, 1],
        },
        ScriptCase {
            name: "broken",
            scripts: vec![
                vec![good[0], Step::Break],
                vec![Step::Chunk(1, "two three "), Step::End],
            ],
            text: "one two three ",
            done: true,
            foreign: 0.0,
            resumed: vec![0, 1],
        },
    ];
    for case in cases {
        bounded(check_script(case)).await;
    }
}

async fn check_script(case: ScriptCase) {
    let engine = fake::start(case.scripts).await;
    // Two names for one address: a retry needs another target.
    let targets = vec![
        target("runner-1", "pool", engine.address),
        target("runner-2", "pool", engine.address),
    ];
    let handle = start(settings(&format!("script-{}", case.name), targets)).await;
    let call = TestCall::chat("a question", true).with("x-tarragon-deadline-ms", "5000");
    let answer = call.send(handle.caller_address).await;
    assert_eq!(answer.streamed(), (case.text.to_owned(), case.done), "{}", case.name);
    assert_eq!(metric(&handle, "tarragon_foreign_chunks", ""), case.foreign, "{}", case.name);
    assert_eq!(*engine.resumed.lock().unwrap(), case.resumed, "{}", case.name);
    handle.shutdown().await.unwrap();
}

/// Guards against a stream without its end that looks complete.
#[tokio::test]
async fn stream_that_cannot_be_finished_ends_in_an_error_event() {
    bounded(async {
        let script = vec![Step::Chunk(0, "one "), Step::Break];
        let broken = vec![Step::Break];
        let engine = fake::start(vec![script, broken]).await;
        let targets = vec![target("runner-1", "pool", engine.address)];
        let handle = start(settings("chat-error", targets)).await;
        let call = TestCall::chat("a question", true).with("x-tarragon-deadline-ms", "1500");
        let answer = call.send(handle.caller_address).await;
        let body = String::from_utf8(answer.body.unwrap().to_vec()).unwrap();
        assert!(body.contains("event: error\ndata: {\"error\""), "{body}");
        assert!(!body.contains("[DONE]"), "{body}");
        handle.shutdown().await.unwrap();
    })
    .await;
}

/// Guards against callers with HTTP/2 that get no answer, or whose departure is not seen.
#[tokio::test]
async fn http2_callers_are_served_and_seen_to_leave() {
    bounded(async {
        let engine = engine::start(fast_engine("runner-1")).await.unwrap();
        let targets = vec![target("runner-1", "pool", engine.address())];
        let handle = start(settings("chat-h2", targets)).await;
        let stream = TcpStream::connect(handle.caller_address).await.unwrap();
        let (mut sender, connection) =
            http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await.unwrap();
        tokio::spawn(connection);
        let prompt = "two at once [answer=30]";
        let request = || {
            let mut request = TestCall::chat(prompt, true).request();
            *request.uri_mut() = "http://test/v1/chat/completions".parse().unwrap();
            request.headers_mut().remove("host");
            request
        };
        let (first, second) =
            tokio::join!(sender.clone().send_request(request()), sender.send_request(request()));
        for response in [first.unwrap(), second.unwrap()] {
            let body = response.into_body().collect().await.unwrap().to_bytes();
            let streamed = read_events(std::str::from_utf8(&body).unwrap());
            assert_eq!(streamed, (expected_text(prompt, 30), true));
        }
        engine.slow_down(100.0);
        let open = sender.send_request(request()).await.unwrap();
        drop(open);
        until("the engine is idle", || engine.occupied() == 0).await;
        handle.shutdown().await.unwrap();
    })
    .await;
}

/// Guards against a caller that reads nothing and holds a place at an engine.
#[tokio::test]
async fn caller_that_does_not_read_is_given_up() {
    bounded(async {
        // 30 MB, more than the buffers between the engine and the caller hold.
        let text: &'static str = "word ".repeat(2_000).leak();
        let mut script: Vec<Step> =
            (0..3_000).map(|index| Step::Chunk(index * 2_000, text)).collect();
        script.push(Step::End);
        let engine = fake::start(vec![script]).await;
        let targets = vec![target("runner-1", "pool", engine.address)];
        let mut options = options();
        options.timeouts.caller_stall = Duration::from_millis(300);
        let handle = start_ready(settings("chat-stall", targets), options).await;
        let call = TestCall::chat("long", true);
        let response =
            connect(handle.caller_address).await.send_request(call.request()).await.unwrap();
        until("the request is given up", || metric(&handle, "tarragon_in_flight", "") == 0.0).await;
        until("the connection is closed", || metric(&handle, "tarragon_connections", "") == 0.0)
            .await;
        assert!(response.into_body().collect().await.is_err(), "a part looks complete");
        handle.shutdown().await.unwrap();
    })
    .await;
}

/// Guards against a stream that waits for ever for an engine that hangs.
#[tokio::test]
async fn stream_of_a_hanging_engine_moves() {
    bounded(async {
        let (first, second) = tokio::join!(
            engine::start(fast_engine("runner-1")),
            engine::start(fast_engine("runner-2"))
        );
        let engines = [first.unwrap(), second.unwrap()];
        let targets = vec![
            target("runner-1", "pool", engines[0].address()),
            target("runner-2", "pool", engines[1].address()),
        ];
        let mut options = options();
        options.timeouts.idle = Duration::from_millis(300);
        let handle = start_ready(settings("chat-hang", targets), options).await;
        let prompt = "a question [answer=600]";
        let call = TestCall::chat(prompt, true);
        let response =
            connect(handle.caller_address).await.send_request(call.request()).await.unwrap();
        let running = engines.iter().find(|engine| engine.occupied() > 0).expect("one works");
        running.slow_down(1e6);
        let body = response.into_body().collect().await.unwrap().to_bytes();
        let streamed = read_events(std::str::from_utf8(&body).unwrap());
        assert_eq!(streamed, (expected_text(prompt, 600), true));
        handle.shutdown().await.unwrap();
    })
    .await;
}
