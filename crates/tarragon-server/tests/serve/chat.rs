//! Chat completions through one process.

use http_body_util::BodyExt;
use tarragon_protocol::{engine::ChatMessage, prompt::render_prompt};
use tarragon_standin::engine::{self, EngineSettings, HardwareProfile, answer_token};

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
