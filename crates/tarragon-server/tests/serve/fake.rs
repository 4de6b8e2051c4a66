//! An engine that answers by a script, for answers that no correct engine gives.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use futures::{StreamExt, stream};
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{
    body::{Frame, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpListener;

/// One step of a scripted answer.
#[derive(Debug, Clone, Copy)]
pub enum Step {
    /// A chunk with its first token's position and its words.
    Chunk(u32, &'static str),
    /// A chunk of another request.
    Foreign(&'static str),
    /// The last chunk and the end mark.
    End,
    /// The connection breaks.
    Break,
}

/// Scripts by attempt; the last one is repeated.
pub struct ScriptedEngine {
    pub address: SocketAddr,
    /// Where each attempt resumed.
    pub resumed: Arc<Mutex<Vec<u64>>>,
}

pub async fn start(scripts: Vec<Vec<Step>>) -> ScriptedEngine {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let resumed = Arc::new(Mutex::new(Vec::new()));
    let log = resumed.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (scripts, log) = (scripts.clone(), log.clone());
            let service = service_fn(move |request| answer(request, scripts.clone(), log.clone()));
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    });
    ScriptedEngine { address, resumed }
}

type FakeBody = UnsyncBoxBody<Bytes, std::io::Error>;
type FrameResult = Result<Frame<Bytes>, std::io::Error>;

async fn answer(
    request: Request<Incoming>,
    scripts: Vec<Vec<Step>>,
    log: Arc<Mutex<Vec<u64>>>,
) -> Result<Response<FakeBody>, Infallible> {
    if request.method() != Method::POST {
        let load = json!({
            "restart": 1, "state": "warm", "bears": 8, "running": 0, "waiting": 0,
            "free_cache_tokens": 0, "models": ["small"], "fencing": 0,
            "last_order_age_ms": null, "lag_ms": 0,
        });
        let events = request.uri().path().starts_with("/cache");
        let body = if events { "[]".to_owned() } else { load.to_string() };
        let body = Full::new(Bytes::from(body)).map_err(|never| match never {});
        return Ok(Response::new(body.boxed_unsync()));
    }
    let body = request.into_body().collect().await.unwrap().to_bytes();
    let body: Value = serde_json::from_slice(&body).unwrap();
    let tag = body["tarragon"]["request_id"].as_str().unwrap().to_owned();
    let attempt = {
        let mut log = log.lock().unwrap();
        log.push(body["tarragon"]["resume_from"].as_u64().unwrap());
        log.len() - 1
    };
    let script = &scripts[attempt.min(scripts.len() - 1)];
    let frames: Vec<FrameResult> = script.iter().map(|step| frame(*step, &tag)).collect();
    let frames = stream::iter(frames).then(|frame| async move {
        if frame.is_err() {
            // Lets the frames before a break reach the other side.
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        frame
    });
    Ok(Response::new(StreamBody::new(frames).boxed_unsync()))
}

fn frame(step: Step, tag: &str) -> FrameResult {
    let chunk = |tag: &str, index: u32, text: &str, finish: Option<&str>| {
        let tokens = text.split_whitespace().count();
        let chunk = json!({
            "id": tag, "object": "chat.completion.chunk", "model": "small",
            "choices": [{"index": 0, "delta": {"content": text}, "finish_reason": finish}],
            "tarragon": {"request_id": tag, "index": index, "tokens": tokens},
        });
        format!("data: {chunk}\n\n")
    };
    let text = match step {
        Step::Chunk(index, text) => chunk(tag, index, text, None),
        Step::Foreign(text) => chunk("0000000000000000-1", 0, text, None),
        Step::End => {
            let last = json!({
                "id": tag, "object": "chat.completion.chunk", "model": "small",
                "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
            });
            format!("data: {last}\n\ndata: [DONE]\n\n")
        }
        Step::Break => return Err(std::io::Error::other("scripted")),
    };
    Ok(Frame::data(text.into()))
}
